"""The proxy's side: what it holds, and what it picks from."""

import enum
from dataclasses import dataclass, field

from ironfall.publication.state import MASK, MILLION, Delta, admit_sum, bind_sum, line_sum, out_sum


class Outcome(enum.Enum):
    APPLIED = "applied"
    REPEATED = "repeated"  # already held: nothing changed
    GAP = "gap"  # it starts from another version than the one held: a whole state is wanted
    FOREIGN = "foreign"  # of another epoch
    DIFFERS = (
        "differs"  # the checksum is not that of the state it leads to: a whole state is wanted
    )


@dataclass(slots=True)
class Kept:
    """What a class goes by until it is bound: the table and orders of before the present session."""

    table: dict[str, int] = field(default_factory=dict)
    outs: set[str] = field(default_factory=set)
    admit: tuple[int, int] | None = None


class Holding:
    """The tables of one proxy. Nothing it holds is lost by a session's end: it is kept until bound anew."""

    def __init__(self, classes: int, standing: dict[str, int]) -> None:
        self.classes = classes
        self.kept = [Kept(dict(standing)) for _ in range(classes)]
        self.epoch, self.version = -1, -1
        self.binds: dict[int, int] = {}
        self.tables: dict[int, dict[str, int]] = {}
        self.outs: set[str] = set()
        self.admits: dict[int, tuple[int, int]] = {}
        self.sum = 0

    def as_kept(self) -> list[Kept]:
        """What each class goes by, as it would be kept over the end of this session."""
        found = []
        for kind, kept in enumerate(self.kept):
            bound = kind in self.binds
            table = self.tables.get(self.binds[kind], {}) if bound else kept.table
            outs = set(self.outs) if bound else kept.outs | self.outs
            found.append(
                Kept(dict(table), outs, self.admits.get(kind, None if bound else kept.admit))
            )
        return found

    def join(self, epoch: int, version: int) -> None:
        """A new session began: what was held is kept for as long as nothing new is bound."""
        self.kept = self.as_kept()
        self.epoch, self.version, self.sum = epoch, version, 0
        self.binds, self.tables, self.outs, self.admits = {}, {}, set(), {}

    def apply(self, delta: Delta) -> Outcome:
        if delta.epoch != self.epoch:
            return Outcome.FOREIGN
        if delta.to <= self.version and not (delta.whole and delta.to == self.version):
            return Outcome.REPEATED
        if not delta.whole and delta.start != self.version:
            return Outcome.GAP
        # Worked out beside what is held, and taken whole or not at all.
        binds, tables = (dict(self.binds), {t: dict(rows) for t, rows in self.tables.items()})
        outs, admits = set(self.outs), dict(self.admits)
        total = self.sum
        if delta.whole:
            binds, tables, outs, admits, total = {}, {}, set(), {}, 0
        for kind, table in delta.binds.items():
            total += bind_sum(kind, table) - (bind_sum(kind, binds[kind]) if kind in binds else 0)
            binds[kind] = table
        used = set(binds.values())
        for table in [t for t in tables if t not in used]:
            total -= sum(line_sum(table, h, w) for h, w in tables.pop(table).items())
        for table, host, weight in delta.lines:
            if table not in used:
                continue
            rows = tables.setdefault(table, {})
            total -= line_sum(table, host, rows.pop(host)) if host in rows else 0
            if weight > 0:
                rows[host] = weight
                total += line_sum(table, host, weight)
        for host, out in delta.outs:
            total += (out_sum(host) if out and host not in outs else 0) - (
                out_sum(host) if not out and host in outs else 0
            )
            (outs.add if out else outs.discard)(host)
        for kind, level, tries in delta.admits:
            total += admit_sum(kind, level, tries) - (
                admit_sum(kind, *admits[kind]) if kind in admits else 0
            )
            admits[kind] = (level, tries)
        if total & MASK != delta.checksum:
            return Outcome.DIFFERS
        for host, out in delta.outs:
            for kept in self.kept if not out else ():
                kept.outs.discard(host)
        self.binds, self.tables, self.outs, self.admits = binds, tables, outs, admits
        self.sum, self.version = total & MASK, delta.to
        return Outcome.APPLIED

    def lines(self, kind: int) -> dict[str, int]:
        """What a class picks from: hosts with their weights, without those withdrawn."""
        if kind in self.binds:
            table = self.tables.get(self.binds[kind], {})
            return {h: w for h, w in table.items() if h not in self.outs}
        kept = self.kept[kind]
        told = {h: w for h, w in kept.table.items() if h not in self.outs}
        # Directors before this one may each have withdrawn another host, and none lived to tell of its return: rather
        # one of those than nobody. Whom this director withdrew is never picked.
        return {h: w for h, w in told.items() if h not in kept.outs} or told

    def admitted(self, kind: int, usual_tries: int) -> tuple[float, int]:
        """The share of a class that is let in, and its way of trying again."""
        held = self.admits.get(kind)
        if held is None and kind not in self.binds:
            held = self.kept[kind].admit
        return (held[0] / MILLION, held[1]) if held else (1.0, usual_tries)

    def named(self) -> set[str]:
        """All hosts in any table held; connections to others are not needed."""
        return {h for kind in range(self.classes) for h in self.lines(kind)}
