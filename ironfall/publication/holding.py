"""The proxy's side: the tables it holds, and the hosts it picks from."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from ironfall.publication.state import MASK, MILLION, Delta, admit_sum, bind_sum, line_sum, out_sum


class Outcome(enum.Enum):
    """What became of a delta."""

    APPLIED = "applied"
    # The proxy is at that version or past it: nothing changed.
    REPEATED = "repeated"
    # It starts from another version than the proxy's: a full state is needed.
    GAP = "gap"
    # It is of another epoch.
    FOREIGN = "foreign"
    # Its checksum is not that of the state it leads to: a full state is needed.
    DIFFERS = "differs"


@dataclass(slots=True)
class CachedState:
    """The state from before the present session, used until the class is assigned in it.

    Attributes:
        table: The weight of each host, in millionths.
        outs: The withdrawn hosts.
        admit: Admission rate, in millionths, and retry policy, if ordered.
    """

    table: dict[str, int] = field(default_factory=dict)
    outs: set[str] = field(default_factory=set)
    admit: tuple[int, int] | None = None


@dataclass(slots=True)
class AppliedState:
    """What the present session's deltas lead to, with its checksum.

    Attributes:
        binds: The table of each assigned class.
        tables: The weight of each host, by table.
        outs: The withdrawn hosts.
        admits: Admission rate and retry policy, by class.
        checksum: Of all of it, not reduced.
    """

    binds: dict[int, int] = field(default_factory=dict)
    tables: dict[int, dict[str, int]] = field(default_factory=dict)
    outs: set[str] = field(default_factory=set)
    admits: dict[int, tuple[int, int]] = field(default_factory=dict)
    checksum: int = 0

    def assign(self, binds: dict[int, int]) -> None:
        """Assigns classes to tables, and drops the tables that no class is assigned to any more."""
        for request_class, table in binds.items():
            if request_class in self.binds:
                self.checksum -= bind_sum(request_class, self.binds[request_class])
            self.binds[request_class] = table
            self.checksum += bind_sum(request_class, table)
        used = set(self.binds.values())
        for table in list(self.tables):
            if table in used:
                continue
            for host, weight in self.tables.pop(table).items():
                self.checksum -= line_sum(table, host, weight)

    def set_weights(self, entries: Iterable[tuple[int, str, int]]) -> None:
        """Sets entries of the tables that are used; a weight of 0 removes one."""
        used = set(self.binds.values())
        for table, host, weight in entries:
            if table not in used:
                continue
            hosts = self.tables.setdefault(table, {})
            if host in hosts:
                self.checksum -= line_sum(table, host, hosts.pop(host))
            if weight > 0:
                hosts[host] = weight
                self.checksum += line_sum(table, host, weight)

    def withdraw(self, changes: Iterable[tuple[str, bool]]) -> None:
        """Withdraws hosts or, where a change says `False`, returns them."""
        for host, is_out in changes:
            if is_out and host not in self.outs:
                self.outs.add(host)
                self.checksum += out_sum(host)
            elif not is_out and host in self.outs:
                self.outs.remove(host)
                self.checksum -= out_sum(host)

    def admit(self, changes: Iterable[tuple[int, int, int]]) -> None:
        """Sets admission rates and retry policies."""
        for request_class, rate, retry_policy in changes:
            if request_class in self.admits:
                self.checksum -= admit_sum(request_class, *self.admits[request_class])
            self.admits[request_class] = (rate, retry_policy)
            self.checksum += admit_sum(request_class, rate, retry_policy)


class Holding:
    """The state of one proxy. It outlives a session: it is cached until the proxy is assigned anew.

    Attributes:
        classes: The number of request classes.
        cached: What each class uses until it is assigned.
        epoch: The epoch of the present session; -1 before the first.
        version: The version of the state.
        binds: The table of each class that was assigned in this session.
        tables: The weight of each host, in millionths, by table.
        outs: The hosts that were withdrawn in this session.
        admits: Admission rate, in millionths, and retry policy, by class.
        sum: The checksum of the state of this session.
    """

    def __init__(self, classes: int, initial_table: dict[str, int]) -> None:
        self.classes = classes
        self.cached = [CachedState(dict(initial_table)) for _ in range(classes)]
        self.epoch = -1
        self.version = -1
        self.binds: dict[int, int] = {}
        self.tables: dict[int, dict[str, int]] = {}
        self.outs: set[str] = set()
        self.admits: dict[int, tuple[int, int]] = {}
        self.sum = 0

    def cached_states(self) -> list[CachedState]:
        """Returns what each class would go by after the end of this session."""
        return [self._cached_state(request_class) for request_class in range(self.classes)]

    def join(self, epoch: int, version: int) -> None:
        """Begins a new session: what was held is cached for as long as nothing new is assigned."""
        self.cached = self.cached_states()
        self.epoch = epoch
        self._store(AppliedState(), version)

    def apply(self, delta: Delta) -> Outcome:
        """Applies a delta completely or not at all."""
        if delta.epoch != self.epoch:
            return Outcome.FOREIGN
        is_same_full_state = delta.whole and delta.to == self.version
        if delta.to <= self.version and not is_same_full_state:
            return Outcome.REPEATED
        if not delta.whole and delta.start != self.version:
            return Outcome.GAP
        state = AppliedState() if delta.whole else self._copy()
        state.assign(delta.binds)
        state.set_weights(delta.lines)
        state.withdraw(delta.outs)
        state.admit(delta.admits)
        if state.checksum & MASK != delta.checksum:
            return Outcome.DIFFERS
        for host, is_out in delta.outs:
            if not is_out:
                self._return_cached(host)
        self._store(state, delta.to)
        return Outcome.APPLIED

    def lines(self, request_class: int) -> dict[str, int]:
        """Returns the weights of the hosts that a class picks from, without those withdrawn."""
        if request_class in self.binds:
            table = self.tables.get(self.binds[request_class], {})
            return {host: weight for host, weight in table.items() if host not in self.outs}
        cached = self.cached[request_class]
        not_withdrawn_now = {
            host: weight for host, weight in cached.table.items() if host not in self.outs
        }
        not_withdrawn = {
            host: weight for host, weight in not_withdrawn_now.items() if host not in cached.outs
        }
        # Several earlier directors may each have withdrawn another host and not lived to return it:
        # rather one of those than none. A host that the present director has withdrawn is never
        # picked.
        return not_withdrawn or not_withdrawn_now

    def admitted(self, request_class: int, default_policy: int) -> tuple[float, int]:
        """Returns the admitted share of a class and its retry policy."""
        admission = self.admits.get(request_class)
        if admission is None and request_class not in self.binds:
            admission = self.cached[request_class].admit
        if admission is None:
            return 1.0, default_policy
        rate, retry_policy = admission
        return rate / MILLION, retry_policy

    def named(self) -> set[str]:
        """Returns all hosts that any class picks from; connections to others are not needed."""
        hosts: set[str] = set()
        for request_class in range(self.classes):
            hosts.update(self.lines(request_class))
        return hosts

    def _cached_state(self, request_class: int) -> CachedState:
        admission = self.admits.get(request_class)
        if request_class in self.binds:
            table = self.tables.get(self.binds[request_class], {})
            return CachedState(dict(table), set(self.outs), admission)
        cached = self.cached[request_class]
        if admission is None:
            admission = cached.admit
        return CachedState(dict(cached.table), cached.outs | self.outs, admission)

    def _return_cached(self, host: str) -> None:
        for cached in self.cached:
            cached.outs.discard(host)

    def _copy(self) -> AppliedState:
        return AppliedState(
            binds=dict(self.binds),
            tables={table: dict(hosts) for table, hosts in self.tables.items()},
            outs=set(self.outs),
            admits=dict(self.admits),
            checksum=self.sum,
        )

    def _store(self, state: AppliedState, version: int) -> None:
        self.binds = state.binds
        self.tables = state.tables
        self.outs = state.outs
        self.admits = state.admits
        self.sum = state.checksum & MASK
        self.version = version
