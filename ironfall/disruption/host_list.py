"""Applies the registry's changes to the host list."""

from ironfall.disruption.budget_relief import BudgetRelief
from ironfall.disruption.entries import ListedHost, UpdateHostList
from ironfall.disruption.errors import EntryRejectedError
from ironfall.disruption.permits import Permits
from ironfall.disruption.records import Host
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import host_target


class HostList:
    """Applies changes of the registry's list to the hosts' records."""

    def __init__(self, state: LedgerState, permits: Permits, relief: BudgetRelief) -> None:
        """Takes the state whose hosts it changes; ends the permits of hosts back in service."""
        self.state = state
        self.permits = permits
        self.relief = relief

    def update(self, command: UpdateHostList) -> None:
        """Applies the changes at a version.

        Raises `EntryRejectedError` if the version is no newer than the last one, or if there would
        be more than `rules.hosts` hosts.
        """
        state = self.state
        if command.version <= state.list_version:
            raise EntryRejectedError(
                f"the list's version {command.version} is no newer than {state.list_version}"
            )
        added = sum(1 for name in command.hosts if name not in state.hosts)
        if len(state.hosts) + added > state.rules.hosts:
            raise EntryRejectedError(f"no more than {state.rules.hosts} hosts are kept")
        state.list_version = command.version
        for name, listed in command.hosts.items():
            self._update_host(name, listed)
        for name in command.removed:
            if name in state.hosts:
                self._remove_host(name)
        state.requests_settled = False
        self.relief.relieve()

    def _update_host(self, name: str, listed: ListedHost) -> None:
        host = self._uncounted_record(name, listed)
        host.is_listed = True
        host.is_ready = listed.is_ready
        host.marker_token = listed.token
        host.started_at = listed.started_at
        host.is_warming_up = self.state.now < host.started_at + self.state.rules.warm_up_time
        self.state.count_host(name, 1)
        target = host_target(name)
        is_marked = not host.is_ready and host.marker_token > 0
        is_orphaned = is_marked and target not in self.state.permits
        self.state.set_orphaned_drain(name, host, is_orphaned)
        self.permits.end_if_back(target)

    def _uncounted_record(self, name: str, listed: ListedHost) -> Host:
        """Returns the host's record, new or taken out of the counts, with the listed attributes."""
        state = self.state
        if name not in state.hosts:
            state.feasibility_settled = False
            host = Host(
                listed.zone, listed.kind, listed.tenants, listed.capacity, listed.class_mask
            )
            state.hosts[name] = host
            return host
        state.count_host(name, -1)
        host = state.hosts[name]
        if (host.capacity, host.zone) != (listed.capacity, listed.zone):
            state.feasibility_settled = False
        host.zone = listed.zone
        host.kind = listed.kind
        host.tenants = listed.tenants
        host.capacity = listed.capacity
        host.class_mask = listed.class_mask
        return host

    def _remove_host(self, name: str) -> None:
        self.state.count_host(name, -1)
        self.state.hosts[name].is_listed = False
        self.state.hosts[name].is_ready = False
        self.state.count_host(name, 1)
