"""The publisher's side: orders in, versions and deltas out, bounded history."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ironfall.publication.state import (
    MASK,
    MILLION,
    Delta,
    admit_sum,
    bind_sum,
    line_sum,
    out_sum,
)

# What changed at one version: the key, its value before and after. A table's line, a withdrawal or a level.
Key = tuple[str, int, str]
MEMO = 512  # deltas kept because many proxies ask for the same one


@dataclass(slots=True)
class View:
    """What one proxy sees: what was ordered since it joined, and all there is once it is bound."""

    since: int
    bound: list[tuple[int, int, int]] = field(
        default_factory=list
    )  # version, class, table; in order
    seen: set[Key] = field(
        default_factory=set
    )  # told while unbound, and since gone from the history

    def binds(self, at: int) -> dict[int, int]:
        return {kind: table for version, kind, table in self.bound if version <= at}


class Publication:
    """Versions of one epoch. Orders gather until `close`, which makes them the next version."""

    def __init__(
        self, epoch: int, classes: int, versions: int = 2_000, entries: int = 50_000
    ) -> None:
        self.epoch, self.classes = epoch, classes
        self.versions, self.entries = versions, entries
        self.version = 0
        self.base = 0  # the oldest version that a delta can start from
        self.tables: dict[int, dict[str, int]] = {}
        self.sums: dict[
            int, int
        ] = {}  # of each table's lines: adding up thousands took most of a change of one
        self.outs: dict[str, bool] = {}
        self.admits: dict[int, tuple[int, int]] = {}
        self.views: dict[int, View] = {}
        self.log: deque[tuple[int, Key, int, int]] = deque()
        self.fresh: dict[Key, int] = {}  # changed since the last version, with the value before
        self.bound: dict[int, set[int]] = {}  # classes bound since the last version, by proxy
        self.memo: OrderedDict[tuple[object, ...], Delta] = OrderedDict()

    # orders

    def set_weight(self, table: int, host: str, weight: float) -> None:
        held = self.tables.setdefault(table, {})
        self.fresh.setdefault(("line", table, host), held.get(host, 0))
        # A line that is there is never rounded to none: that would take the host out of the table.
        units = max(1, round(weight * MILLION)) if weight > 0 else 0
        total = self.sums.get(table, 0)
        if host in held:
            total -= line_sum(table, host, held.pop(host))
        if units:
            held[host] = units
            total += line_sum(table, host, units)
        self.sums[table] = total

    def withdraw(self, host: str, out: bool) -> None:
        self.fresh.setdefault(("out", 0, host), int(self.outs.get(host, False)))
        self.outs[host] = out
        if not out:
            del self.outs[host]

    def admit(self, kinds: int, level: float, tries: int) -> None:
        for kind in range(self.classes):
            if kinds == 0 or kinds >> kind & 1:
                self.fresh.setdefault(("admit", kind, ""), self._admit(kind))
                self.admits[kind] = (min(MILLION, max(0, round(level * MILLION))), tries)

    def assign(self, proxy: int, table: int, kinds: int) -> None:
        view = self.views.get(proxy)
        for kind in range(self.classes) if view else ():
            if kinds == 0 or kinds >> kind & 1:
                view.bound.append((self.version + 1, kind, table))  # type: ignore[union-attr]
                self.bound.setdefault(proxy, set()).add(kind)

    def join(self, proxy: int) -> int:
        """The proxy sees what is ordered from here on; returns the version it starts from."""
        self.bound.pop(proxy, None)
        self.views[proxy] = View(self.version)
        return self.version

    def leave(self, proxy: int) -> None:
        self.views.pop(proxy, None)
        self.bound.pop(proxy, None)

    def _admit(self, kind: int) -> int:
        level, tries = self.admits.get(kind, (-1, 0))
        return -1 if level < 0 else level * 4 + tries

    # versions

    def close(self) -> dict[int, int]:
        """Make what was ordered the next version; the lines it costs at each proxy that it concerns.

        Where nothing was ordered there is no new version and nobody is concerned.
        """
        if not self.fresh and not self.bound:
            return {}
        self.version += 1
        tables: dict[int, int] = {}
        everybody = 0
        for key, before in self.fresh.items():
            kind, number, name = key
            after = self._value(key)
            self.log.append((self.version, key, before, after))
            if kind == "line":
                tables[number] = tables.get(number, 0) + 1
            else:
                everybody += 1
        costs = {}
        for proxy, view in self.views.items():
            binds = view.binds(self.version)
            new = self.bound.get(proxy, ())
            lines = everybody + sum(tables.get(t, 0) for t in set(binds.values()))
            if new:
                whole = {binds[k] for k in new}
                lines += len(whole) + sum(len(self.tables.get(t, ())) for t in whole)
                lines += len(self.outs) + len(self.admits)
            if lines:
                costs[proxy] = lines
        self.fresh.clear()
        self.bound.clear()
        self._compact()
        return costs

    def _value(self, key: Key) -> int:
        kind, number, name = key
        if kind == "line":
            return self.tables.get(number, {}).get(name, 0)
        return int(self.outs.get(name, False)) if kind == "out" else self._admit(number)

    def _compact(self) -> None:
        # Both bounds: a few versions that change all lines weigh as much as many that change one.
        while self.log and (
            len(self.log) > self.entries or self.log[0][0] <= self.version - self.versions
        ):
            self.base = self.log[0][0]
            while self.log and self.log[0][0] == self.base:
                key = self.log.popleft()[1]
                for view in self.views.values():
                    # An unbound proxy is told by what changed since it joined: that must outlive the history.
                    if not view.bound and view.since < self.base:
                        view.seen.add(key)
        self.base = max(self.base, self.version - self.versions)
        for view in self.views.values():
            if len(view.bound) > 4 * self.classes:
                old = {k: (v, k, t) for v, k, t in view.bound if v <= self.base}
                view.bound = [*old.values(), *(b for b in view.bound if b[0] > self.base)]

    # what goes out

    def reaches(self, start: int, to: int) -> bool:
        """Whether a delta between the two can be told: neither compacted away nor never published."""
        return self.base <= start <= to <= self.version

    def delta(self, proxy: int, start: int, to: int) -> Delta:
        """What leads the proxy from `start` (-1: from nothing) to `to`; both must be within the history."""
        view = self.views[proxy]
        before, after = (view.binds(start) if start >= 0 else {}), view.binds(to)
        memo = (
            start,
            to,
            0 if after and before else view.since,
            *sorted(before.items()),
            -1,
            *sorted(after.items()),
        )
        found = self.memo.get(memo)
        if found is None:
            found = self._delta(view, start, to, before, after)
            self.memo[memo] = found
            if len(self.memo) > MEMO:
                self.memo.popitem(last=False)
        return found

    def _delta(
        self, view: View, start: int, to: int, before: dict[int, int], after: dict[int, int]
    ) -> Delta:
        delta = Delta(self.epoch, start, to, 0)
        old_tables = set(before.values()) if start >= 0 else set()
        new_tables = set(after.values()) - old_tables
        undone = self._undone(to)
        if start >= 0:
            changed = {key for version, key, _, _ in self.log if start < version <= to}
            delta.binds = {k: t for k, t in after.items() if before.get(k) != t}
        else:
            changed = self._since(view, to)
            delta.binds = dict(after)
        for table in sorted(new_tables):
            delta.lines += [(table, h, w) for h, w in sorted(self._table(table, undone).items())]
        first_bound = bool(after) and not before
        for key in sorted(changed):
            kind, number, name = key
            value = undone[key] if key in undone else self._value(key)
            if kind == "line" and number in old_tables & set(after.values()):
                delta.lines.append((number, name, value))
            elif kind == "out" and not first_bound:
                delta.outs.append((name, bool(value)))
            elif kind == "admit" and not first_bound and value >= 0:
                delta.admits.append((number, value // 4, value % 4))
        if first_bound:
            # Bound for the first time it follows all that stands, also what was ordered before it joined.
            delta.outs = [(h, True) for h in sorted(self._outs(undone))]
            gone = {n for k, _, n in changed if k == "out"} - {h for h, _ in delta.outs}
            delta.outs += [(h, False) for h in sorted(gone)]
            delta.admits = [(k, v // 4, v % 4) for k, v in sorted(self._admits(undone).items())]
        delta.checksum = self._checksum(view, to, after, undone)
        return delta

    def _since(self, view: View, to: int) -> set[Key]:
        return view.seen | {key for version, key, _, _ in self.log if view.since < version <= to}

    def _undone(self, to: int) -> dict[Key, int]:
        """Values as of a version, of the keys that changed since: what still waits in the channel is not told."""
        undone: dict[Key, int] = {}
        for version, key, before, _ in reversed(self.log):
            if version <= to:
                break
            undone[key] = before
        for key, before in self.fresh.items():
            undone.setdefault(key, before)
        return undone

    def _table(self, table: int, undone: dict[Key, int]) -> dict[str, int]:
        lines = dict(self.tables.get(table, ()))
        for (kind, number, name), value in undone.items():
            if kind == "line" and number == table:
                lines[name] = value
        return {h: w for h, w in lines.items() if w}

    def _outs(self, undone: dict[Key, int]) -> set[str]:
        outs = set(self.outs)
        for (kind, _, name), value in undone.items():
            if kind == "out":
                (outs.add if value else outs.discard)(name)
        return outs

    def _admits(self, undone: dict[Key, int]) -> dict[int, int]:
        admits = {k: self._admit(k) for k in self.admits}
        admits.update({number: v for (kind, number, _), v in undone.items() if kind == "admit"})
        return {k: v for k, v in admits.items() if v >= 0}

    def _checksum(self, view: View, to: int, binds: dict[int, int], undone: dict[Key, int]) -> int:
        total = sum(bind_sum(k, t) for k, t in binds.items())
        bound = set(binds.values())
        total += sum(self.sums.get(table, 0) for table in bound)
        for (kind, table, host), before in undone.items():
            if kind == "line" and table in bound:
                now = self.tables.get(table, {}).get(host, 0)
                total -= line_sum(table, host, now) if now else 0
                total += line_sum(table, host, before) if before else 0
        outs: Iterable[str] = self._outs(undone)
        admits: Iterable[int] = self._admits(undone)
        if not binds:
            seen = self._since(view, to)
            outs = [h for h in outs if ("out", 0, h) in seen]
            admits = [k for k in admits if ("admit", k, "") in seen]
        total += sum(out_sum(h) for h in outs)
        values = self._admits(undone)
        total += sum(admit_sum(k, values[k] // 4, values[k] % 4) for k in admits)
        return total & MASK
