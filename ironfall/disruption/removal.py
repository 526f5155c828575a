"""Removal of hosts and directors that an operator declares permanently gone."""

from ironfall.disruption.entries import ForgetTarget
from ironfall.disruption.errors import EntryRejectedError
from ironfall.disruption.permits import RETURNED, Permits
from ironfall.disruption.reports import Reports
from ironfall.disruption.requests import PermitRequests
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import is_host, target_name
from ironfall.disruption.zones import Zones


class TargetRemoval:
    """Removes a target's record, with its request and permit."""

    def __init__(
        self,
        state: LedgerState,
        requests: PermitRequests,
        reports: Reports,
        zones: Zones,
    ) -> None:
        """Takes the state in which it changes every record that names a removed target."""
        self.state = state
        self.permits: Permits = requests.permits
        self.requests = requests
        self.reports = reports
        self.zones = zones

    def forget(self, command: ForgetTarget) -> None:
        """Removes a target that will never return to service.

        For a host that the registry lists as ready only the permit ends, which stayed open because
        the host's agent never reported again; the host's record is kept. Raises
        `EntryRejectedError` if the target is unknown or in service.
        """
        state, target = self.state, command.target
        if not state.is_known(target):
            raise EntryRejectedError(f"{target} is not known")
        is_ready = self._require_gone(target)
        request = state.requests.get(state.requested_targets.get(target, ""))
        if request:
            self.requests.refuse(request, f"{target} is forgotten by {command.operator}")
        if permit := state.permits.get(target):
            self.permits.end(target, permit, RETURNED, f"forgotten by {command.operator}")
        if not is_host(target):
            self._remove_director(target_name(target))
        elif not is_ready:
            self._remove_host(target_name(target))
        state.requests_settled = False
        state.feasibility_settled = False
        self.reports.relief.relieve()

    def _require_gone(self, target: str) -> bool:
        """Returns whether the target is a host listed as ready; rejects targets in service."""
        state, name = self.state, target_name(target)
        if is_host(target):
            is_ready = state.hosts[name].is_listed and state.hosts[name].is_ready
            if is_ready and target not in state.permits:
                raise EntryRejectedError(f"{target} is on the list, ready")
            return is_ready
        if state.directors[name].is_live and not state.unknown_zone_of(target):
            raise EntryRejectedError(f"{target} has a live lease")
        return False

    def _remove_host(self, name: str) -> None:
        state = self.state
        state.count_host(name, -1)
        del state.hosts[name]
        state.orphaned_drains.discard(name)
        for director in state.directors.values():
            director.silent_hosts = [host for host in director.silent_hosts if host != name]

    def _remove_director(self, name: str) -> None:
        self.zones.remove_director(name)
        self.reports.forget_status(name)
        self.reports.forget_adoptions_from({name})
        self.state.count_director(name, -1)
        del self.state.directors[name]
        self.permits.check_all_drained()
