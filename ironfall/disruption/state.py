"""The ledger's records and the counts derived from them.

Hosts, directors and their permits are counted. Before such a record changes, it is taken out of the
counts with `count_...(name, -1)`; afterwards it is counted again with `count_...(name, 1)`.
"""

from collections import OrderedDict

from ironfall.disruption.capacity import HOUR, HOURS, CapacityByClass
from ironfall.disruption.channel import ChannelLoad, compute_channel_load
from ironfall.disruption.errors import EntryRejectedError
from ironfall.disruption.records import (
    UNDRAINED_STATES,
    Director,
    Halt,
    HaltHistory,
    Holder,
    Host,
    Permit,
    PermitRequest,
    PermitState,
    Transition,
    Zone,
)
from ironfall.disruption.scopes import ScopeCounts, TargetCondition, set_membership
from ironfall.disruption.settings import MILLION, DisruptionRules
from ironfall.disruption.targets import (
    director_target,
    host_target,
    is_host,
    target_name,
)


class LedgerState:
    """Owns all records of the ledger and the counts derived from them, and answers lookups."""

    def __init__(self) -> None:
        """Creates the empty state that precedes the first log entry."""
        self.clear()

    def clear(self) -> None:
        """Resets to the empty state that precedes the first log entry."""
        self.index = 0
        # The log's time: the latest time of any applied entry.
        self.now = 0
        self.last_tick = 0
        self.has_rules = False
        self.rules = DisruptionRules()
        self.list_version = 0
        self._clear_records()
        # Transitions caused so far by the entry being applied.
        self.transitions: list[Transition] = []
        # Whether nothing has changed since the waiting requests were last examined.
        self.requests_settled = True
        # Whether nothing has changed since then that decides which requests can ever be granted.
        self.feasibility_settled = True
        self.capacity = CapacityByClass()
        self.recompute_counts()

    def _clear_records(self) -> None:
        self.hosts: dict[str, Host] = {}
        self.directors: dict[str, Director] = {}
        self.holders: dict[str, Holder] = {}
        # Zones of the live directors whose heartbeats go through aggregators, by director.
        self.aggregated_directors: dict[str, str] = {}
        self.zones: dict[str, Zone] = {}
        # Waiting requests, oldest first.
        self.requests: OrderedDict[str, PermitRequest] = OrderedDict()
        # Open permits by target.
        self.permits: dict[str, Permit] = {}
        # Outcomes of ended requests: a list of [target, state] for each request.
        self.ended_requests: OrderedDict[str, list[list[str]]] = OrderedDict()
        self.halts: dict[str, Halt] = {}
        self.halt_history: dict[str, HaltHistory] = {}
        # By scope, the aged request that reserves it.
        self.reservations: dict[str, str] = {}

    def recompute_counts(self) -> None:
        """Recomputes every count from the records; keeps the expected load."""
        self.scopes = ScopeCounts(self.rules)
        loads = self.capacity.loads
        self.capacity = CapacityByClass()
        for traffic_class, hours in loads.items():
            self.capacity.set_load(traffic_class, hours)
        self.requested_targets = {
            target: request.id for request in self.requests.values() for target in request.targets
        }
        self.undrained_permits = sum(
            permit.state in UNDRAINED_STATES for permit in self.permits.values()
        )
        self._channel_load: ChannelLoad | None = None
        self.proxies = 0
        # Live directors that are near one of their limits.
        self.directors_near_limit: set[str] = set()
        self.warming_hosts: set[str] = set()
        self.orphaned_drains = {name for name, host in self.hosts.items() if host.orphaned_drain}
        self.aggregated_by_zone: dict[str, set[str]] = {}
        for name, zone in self.aggregated_directors.items():
            self.aggregated_by_zone.setdefault(zone, set()).add(name)
        for name in self.hosts:
            self.count_host(name, 1)
        for name in self.directors:
            self.count_director(name, 1)

    # counts

    def count_target(self, target: str, sign: int) -> None:
        """Adds a target to the counts (`sign` is 1) or takes it out of them (-1)."""
        if is_host(target):
            self.count_host(target_name(target), sign)
        else:
            self.count_director(target_name(target), sign)

    def count_host(self, name: str, sign: int) -> None:
        """Adds a host to the counts (`sign` is 1) or takes it out of them (-1)."""
        target = host_target(name)
        host = self.hosts[name]
        permit = self.permits.get(target)
        has_failed = not self.is_serving(target)
        condition = TargetCondition(
            is_out=has_failed or permit is not None,
            is_undoing=permit is not None and permit.state is PermitState.UNDOING,
            is_unplanned=has_failed and permit is None,
        )
        self.scopes.add(_host_scopes(host), sign, condition)
        if host.is_warming_up:
            set_membership(self.warming_hosts, name, sign > 0)
        self._count_capacity(host, sign, condition, permit is not None)

    def _count_capacity(
        self, host: Host, sign: int, condition: TargetCondition, has_permit: bool
    ) -> None:
        capacity, mask = self.capacity, host.class_mask
        capacity.add(capacity.total, mask, sign * host.capacity)
        present = sign * self.present_capacity(host)
        if not condition.is_out:
            capacity.add(capacity.in_service, mask, present)
        if condition.is_undoing:
            capacity.add(capacity.undoing, mask, present)
        if has_permit:
            capacity.add(capacity.planned, mask, present)

    def present_capacity(self, host: Host) -> int:
        """Returns a host's capacity, reduced to the warm-up share while it warms up."""
        if host.is_warming_up:
            return host.capacity * self.rules.warm_up_share // MILLION
        return host.capacity

    def count_director(self, name: str, sign: int) -> None:
        """Adds a director to the counts (`sign` is 1) or takes it out of them (-1)."""
        target = director_target(name)
        director = self.directors[name]
        permit = self.permits.get(target)
        condition = TargetCondition(
            is_out=not director.is_live or permit is not None,
            is_undoing=permit is not None and permit.state is PermitState.UNDOING,
            is_unplanned=not director.is_live and permit is None,
        )
        self.scopes.add(self.scopes_of(target), sign, condition)
        self.proxies += sign * director.proxies
        is_near_limit = director.is_live and director.limit_use >= self.rules.near_limit_share
        set_membership(self.directors_near_limit, name, sign > 0 and is_near_limit)
        self._channel_load = None

    def channel_load(self) -> ChannelLoad:
        """Returns the load of the directors' channels; cached until a director changes."""
        if self._channel_load is None:
            self._channel_load = compute_channel_load(self.directors, self.permits)
        return self._channel_load

    # lookups by target

    def is_known(self, target: str) -> bool:
        """Returns whether the ledger has a record of this host or director."""
        return target_name(target) in (self.hosts if is_host(target) else self.directors)

    def incarnation_of(self, target: str) -> int:
        """Returns the incarnation of a host's agent or of a director."""
        name = target_name(target)
        if is_host(target):
            return self.hosts[name].agent_incarnation
        return self.directors[name].incarnation

    def zone_of(self, target: str) -> str:
        """Returns the zone of a host or director."""
        name = target_name(target)
        return self.hosts[name].zone if is_host(target) else self.directors[name].zone

    def is_serving(self, target: str) -> bool:
        """Returns whether list, reports and leases show a target in service; ignores its permit."""
        name = target_name(target)
        if not is_host(target):
            return self.directors[name].is_live
        host = self.hosts[name]
        return host.is_listed and host.is_ready and len(host.silent_to) < self.rules.silence_quorum

    def scopes_of(self, target: str) -> list[str]:
        """Returns the budget scopes in which a target counts."""
        name = target_name(target)
        if not is_host(target):
            return ["directors", f"directors-zone {self.directors[name].zone}"]
        return _host_scopes(self.hosts[name])

    def halt_scopes_of(self, target: str, release: str) -> list[str]:
        """Returns the scopes whose halts block a permit of this release for this target."""
        name = target_name(target)
        if not is_host(target):
            return ["all", f"zone {self.directors[name].zone}", f"release {release}"]
        host = self.hosts[name]
        tenants = [f"tenant {tenant}" for tenant in host.tenants]
        return ["all", f"zone {host.zone}", *tenants, f"release {release}"]

    def halt_on(self, target: str, release: str) -> str:
        """Returns the halt that blocks such a permit, with its reason; empty if none does."""
        if not self.halts:
            return ""
        for scope in self.halt_scopes_of(target, release):
            if scope in self.halts:
                return f"{scope} ({self.halts[scope].reason})"
        return ""

    def unknown_zone_of(self, target: str) -> str:
        """Returns the target's zone if no aggregator of it is heard from, else an empty text."""
        if not self.zones:
            return ""
        zone = self.zone_of(target)
        return zone if zone in self.zones and self.zones[zone].unknown_since else ""

    def directors_in_unknown_zones(self) -> list[str]:
        """Returns the live directors without a permit in zones whose aggregators are silent.

        Nothing is known of them: they cannot be counted as failed, nor relied on.
        """
        return [
            name
            for zone, record in self.zones.items()
            if record.unknown_since
            for name in self.aggregated_by_zone.get(zone, ())
            if director_target(name) not in self.permits
        ]

    # other lookups and changes

    def hour(self) -> int:
        """Returns the current hour of the day (UTC) by the log's time."""
        return self.now // HOUR % HOURS

    def live_holder(self, name: str, incarnation: int) -> Holder:
        """Returns the holder; raises `EntryRejectedError` if its lease is not live."""
        holder = self.holders.get(name)
        if holder is None or not holder.is_live or holder.incarnation != incarnation:
            raise EntryRejectedError(f"{name} holds no live lease of incarnation {incarnation}")
        if self.now >= holder.lease_until:
            raise EntryRejectedError(
                f"the lease of {name} ended at {holder.lease_until}, and it is {self.now}"
            )
        return holder

    def record(self, subject: str, state: str, token: int, cause: str = "") -> None:
        """Adds a transition to the answer of the entry being applied."""
        self.transitions.append(Transition(subject, state, token, cause))

    def remember_end(self, request: str, outcomes: list[list[str]]) -> None:
        """Records the outcomes of a request's targets.

        Beyond `max_ended_requests`, the request that was updated least recently is dropped.
        """
        self.ended_requests.setdefault(request, []).extend(outcomes)
        self.ended_requests.move_to_end(request)
        while len(self.ended_requests) > self.rules.max_ended_requests:
            self.ended_requests.popitem(last=False)

    def set_orphaned_drain(self, name: str, host: Host, is_orphaned: bool) -> None:
        """Records whether a host's drain marker outlived its permit and must be removed."""
        if is_orphaned:
            host.orphaned_drain = host.orphaned_drain or self.index
        else:
            host.orphaned_drain = 0
        set_membership(self.orphaned_drains, name, is_orphaned)


def _host_scopes(host: Host) -> list[str]:
    tenants = [f"tenant {tenant}" for tenant in host.tenants]
    return ["fleet", f"zone {host.zone}", f"kind {host.kind}", *tenants]
