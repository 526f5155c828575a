"""Status reports of directors, and reports of host agents."""

from collections.abc import Collection

from ironfall.disruption.budget_relief import BudgetRelief
from ironfall.disruption.entries import HostReport, HostReports, StatusReport, StatusReports
from ironfall.disruption.permits import Permits
from ironfall.disruption.records import Director, Host
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import director_target, host_target

NOT_NEWER = "no newer than what it said before"
NOT_LISTED = "not a host of the list"


class Reports:
    """Applies reports; answers with the cause of each rejected one by name."""

    def __init__(self, state: LedgerState, permits: Permits, relief: BudgetRelief) -> None:
        """Takes the state whose hosts, directors and dependent permits it changes."""
        self.state = state
        self.permits = permits
        self.relief = relief

    # directors

    def apply_status_reports(self, command: StatusReports) -> dict[str, str]:
        """Applies many directors' reports; returns the causes of rejected ones by director."""
        rejected: dict[str, str] = {}
        affected: set[str] = set()
        for name, report in command.reports.items():
            director = self.state.directors.get(name)
            is_live = director is not None and director.is_live
            if director is None or not is_live or report.incarnation != director.incarnation:
                rejected[name] = "no live lease of this incarnation"
            elif report.sequence <= director.sequence:
                rejected[name] = NOT_NEWER
            else:
                affected |= self.apply_status_report(name, director, report)
        self.check_affected(affected)
        self.relief.relieve()
        return rejected

    def check_affected(self, targets: set[str]) -> None:
        """Checks the drains of these targets; called once for many reports, which is cheaper."""
        for target in sorted(targets):
            self.permits.check_drained(target)

    def apply_status_report(self, name: str, director: Director, report: StatusReport) -> set[str]:
        """Applies a director's report; returns the targets whose drains it may affect."""
        adopted_before = director.adopted_proxies
        self.state.count_director(name, -1)
        self._copy_status(director, report)
        self.state.count_director(name, 1)
        changed_drains = self._update_drained_hosts(name, director, report)
        self._update_silent_hosts(name, director, report)
        self.permits.end_if_back(director_target(name))
        affected = {director_target(name), *map(host_target, changed_drains)}
        if adopted_before != director.adopted_proxies:
            affected.update(self.state.permits)
        return affected

    def _copy_status(self, director: Director, report: StatusReport) -> None:
        director.sequence = report.sequence
        director.has_reported = True
        director.proxies = report.proxies
        director.assignment_entries = report.assignment_entries
        director.waiting_entries = report.waiting_entries
        director.unassigned_proxies = report.unassigned_proxies
        director.rejected_share = report.rejected_share
        director.succeeded_share = report.succeeded_share
        director.limit_use = report.limit_use
        director.is_leaving = report.is_leaving
        director.acted_token = max(director.acted_token, report.token)
        director.adopted_proxies = {
            other: adoption
            for other, adoption in report.adopted_proxies.items()
            if other in self.state.directors
        }

    def _update_drained_hosts(
        self, name: str, director: Director, report: StatusReport
    ) -> set[str]:
        """Records the drains that a director confirms; returns the hosts for which that changed.

        Most reports repeat earlier confirmations, which are already recorded.
        """
        permits = self.state.permits
        drained = {
            host: token
            for host, token in report.drained_hosts.items()
            if host_target(host) in permits
        }
        changed = {host for host, _ in director.drained_hosts.items() ^ drained.items()}
        for host in sorted(changed):
            if permit := permits.get(host_target(host)):
                self.permits.confirm(name, permit, drained.get(host, 0))
        director.drained_hosts = drained
        return changed

    def _update_silent_hosts(self, name: str, director: Director, report: StatusReport) -> None:
        silent = {host for host in report.silent_hosts if host in self.state.hosts}
        for host in sorted(silent.symmetric_difference(director.silent_hosts)):
            if host in self.state.hosts:
                self._set_silent(host, name, host in silent)
        director.silent_hosts = sorted(silent)

    def _set_silent(self, name: str, director: str, is_silent: bool) -> None:
        """Records whether a director reports a host as silent."""
        host = self.state.hosts[name]
        self.state.count_host(name, -1)
        if is_silent and director not in host.silent_to:
            host.silent_to = [*host.silent_to, director]
        elif not is_silent:
            host.silent_to = [other for other in host.silent_to if other != director]
        self.state.count_host(name, 1)
        self.state.requests_settled = False
        self.permits.end_if_back(host_target(name))

    def forget_status(self, name: str) -> None:
        """Discards a director's reports of silent hosts and its confirmations of drains."""
        for host in self.state.directors[name].silent_hosts:
            if host in self.state.hosts:
                self._set_silent(host, name, False)
        self.permits.revoke_confirmations(name)

    def forget_adoptions_from(self, names: Collection[str]) -> None:
        """Discards reports of proxies that were adopted from these directors."""
        for other in self.state.directors.values():
            if not other.adopted_proxies.keys().isdisjoint(names):
                other.adopted_proxies = {
                    name: adoption
                    for name, adoption in other.adopted_proxies.items()
                    if name not in names
                }

    # host agents

    def apply_host_reports(self, command: HostReports) -> dict[str, str]:
        """Applies many host agents' reports; returns the causes of rejected ones by host."""
        rejected: dict[str, str] = {}
        for name, report in command.reports.items():
            if cause := self.apply_host_report(name, report, self.state.now):
                rejected[name] = cause
        self.relief.relieve()
        return rejected

    def apply_host_report(self, name: str, report: HostReport, heard_at: int) -> str:
        """Applies a host agent's report, heard at `heard_at` by the log's time.

        Returns why it is rejected, or an empty string.
        """
        host = self.state.hosts.get(name)
        if host is None:
            return NOT_LISTED
        newest = host.agent_incarnation, host.agent_sequence
        if (report.incarnation, report.sequence) <= newest:
            return NOT_NEWER
        host.agent_incarnation = report.incarnation
        host.agent_sequence = report.sequence
        host.agent_heard_at = heard_at
        host.is_up = report.is_up
        host.idle_time = report.idle_time
        host.acted_token = max(host.acted_token, report.token)
        if host.is_up and host.silent_to:
            self._clear_silence_of_lapsed_directors(name, host)
        target = host_target(name)
        if target in self.state.permits:
            self.permits.check_drained(target)
            self.permits.end_if_back(target)
        return ""

    def _clear_silence_of_lapsed_directors(self, name: str, host: Host) -> None:
        """Removes reports of silence by directors without a lease.

        Such a director will not report that the host answers again, so the report of the host's own
        agent counts instead.
        """
        directors = self.state.directors
        for director in [other for other in host.silent_to if not directors[other].is_live]:
            directors[director].silent_hosts = [
                other for other in directors[director].silent_hosts if other != name
            ]
            self._set_silent(name, director, False)
