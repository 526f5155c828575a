"""The proxy's side: the tables it holds, and the hosts it can pick."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from ironfall.publication.state import (
    CHECKSUM_MASK,
    MILLION,
    Delta,
    admit_sum,
    bind_sum,
    line_sum,
    out_sum,
)


class Outcome(enum.Enum):
    """The result of applying a delta; only `APPLIED` changes the state."""

    APPLIED = "applied"
    # The proxy is already at that version or a later one. A full state of the same version is
    # applied again.
    REPEATED = "repeated"
    # The delta starts from a version that is not the proxy's: a full state is needed.
    GAP = "gap"
    # The delta is of another epoch.
    FOREIGN = "foreign"
    # The resulting state does not match the delta's checksum: a full state is needed.
    DIFFERS = "differs"


@dataclass(slots=True)
class CachedState:
    """A class's state from before the current session, used until the class is assigned in it.

    Attributes:
        table: The weight of each host, in millionths.
        outs: The withdrawn hosts.
        admit: Admission rate, in millionths, and retry policy; `None` if none was ordered.
    """

    table: dict[str, int] = field(default_factory=dict)
    outs: set[str] = field(default_factory=set)
    admit: tuple[int, int] | None = None


@dataclass(slots=True)
class AppliedState:
    """The state that the current session's deltas produce, with its checksum.

    Attributes:
        binds: The table of each assigned class.
        tables: The weight of each host, by table.
        outs: The withdrawn hosts.
        admits: Admission rate and retry policy, by class.
        checksum: The checksum of the state, not reduced modulo 2^64.
    """

    binds: dict[int, int] = field(default_factory=dict)
    tables: dict[int, dict[str, int]] = field(default_factory=dict)
    outs: set[str] = field(default_factory=set)
    admits: dict[int, tuple[int, int]] = field(default_factory=dict)
    checksum: int = 0

    def assign(self, binds: dict[int, int]) -> None:
        """Assigns classes to tables, and drops tables that no class is assigned to any more."""
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
        """Sets entries of assigned tables, ignoring others; a weight of 0 removes an entry."""
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
        """Withdraws hosts (`True`), or ends their withdrawal (`False`)."""
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
    """The state of one proxy. Each class keeps its state until the next session assigns it.

    Attributes:
        classes: The number of request classes.
        cached: The state that each class uses until it is assigned.
        epoch: The epoch of the current session; -1 before the first.
        version: The version of the state.
        binds: The table of each class that is assigned in this session.
        tables: The weight of each host, in millionths, by table.
        outs: The hosts that were withdrawn in this session.
        admits: Admission rate, in millionths, and retry policy, by class.
        sum: The checksum of this session's state.
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
        """Returns the state that each class would use after the end of this session."""
        return [self._cached_state(request_class) for request_class in range(self.classes)]

    def join(self, epoch: int, version: int) -> None:
        """Begins a new session; the state so far is cached until classes are assigned in it."""
        self.cached = self.cached_states()
        self.epoch = epoch
        self._store(AppliedState(), version)

    def apply(self, delta: Delta) -> Outcome:
        """Applies a delta atomically; returns whether it was applied, or why not."""
        if delta.epoch != self.epoch:
            return Outcome.FOREIGN
        is_same_full_state = delta.whole and delta.to == self.version
        if delta.to <= self.version and not is_same_full_state:
            return Outcome.REPEATED
        if not delta.whole and delta.start != self.version:
            return Outcome.GAP
        state = AppliedState() if delta.whole else self._applied_state()
        state.assign(delta.binds)
        state.set_weights(delta.lines)
        state.withdraw(delta.outs)
        state.admit(delta.admits)
        if state.checksum & CHECKSUM_MASK != delta.checksum:
            return Outcome.DIFFERS
        for host, is_out in delta.outs:
            if not is_out:
                self._clear_cached_withdrawal(host)
        self._store(state, delta.to)
        return Outcome.APPLIED

    def lines(self, request_class: int) -> dict[str, int]:
        """Returns the weights of the hosts that a class picks from, without withdrawn ones."""
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
        # Several earlier directors may each have withdrawn a different host and died before they
        # ended the withdrawal, so that no host is left: better to pick one of those than none. A
        # host that the current director has withdrawn is never picked.
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
        """Returns the hosts that any class picks from; no others need a connection."""
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

    def _clear_cached_withdrawal(self, host: str) -> None:
        for cached in self.cached:
            cached.outs.discard(host)

    def _applied_state(self) -> AppliedState:
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
        self.sum = state.checksum & CHECKSUM_MASK
        self.version = version
