"""The page's tables as Markdown, and the page between its markers."""

import re
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from benchmarks.capacity.bounds import BOUNDS_OF_TODAY, Bound
from benchmarks.capacity.figures import ASKED, Capacity, Faulty
from benchmarks.capacity.places import OCCASIONS, SAID, Place, spread
from benchmarks.capacity.roles import ROLES, ROWS, Cell, Row, cells
from benchmarks.scale.frame import QUARTER
from ironfall.coordinator.limits import COORDINATOR_LIMITS
from ironfall.disruption.settings import SECOND

MARKER = re.compile(r"<!-- table: ([\w-]+) -->")
END = "<!-- end -->"
NOT_MEASURED, BEYOND = "not measured", "†"
MEGA, ELECTION_MS = 1e6, COORDINATOR_LIMITS.election_timeout * 1000 / SECOND
MOVED = 4  # factors told of an assumption


def number(value: float) -> str:
    """Three digits that count; thousands with commas."""
    if value == 0 or not abs(value) < 1e15:
        return f"{value:g}"
    short = float(f"{value:.3g}")
    if abs(short) >= 100:
        return f"{short:,.0f}"
    return f"{short:.3g}" if abs(short) >= 0.001 else f"{short:.1e}"


def plain(value: float) -> str:
    return f"{value:,.0f}" if value == int(value) else f"{value:g}"


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]


@dataclass(frozen=True)
class Worst:
    """A row where it is worst: a cell for each service of the spread, or one for all, each with its own occasions."""

    row: Row
    on: tuple[str, ...]
    cells: list[Cell]

    @property
    def factor(self) -> float:
        return max((c.factor for c in self.cells if c.factor is not None), default=-1.0)


def worst_of(capacity: Capacity, row: Row, mechanism: str = "") -> Worst:
    read = {name: cells(capacity, row, name, mechanism) for name in row.on}
    found, on = [], set()
    for several in zip(*read.values(), strict=True):
        worst = max(several, key=lambda c: c.factor if c.factor is not None else c.need or 0.0)
        found.append(worst)
        on |= {name for name, c in zip(read, several, strict=True) if c.need == worst.need}
    return Worst(row, tuple(name for name in row.on if name in on), found)


def ranked(capacity: Capacity) -> list[Worst]:
    """All rows that have a factor, the worst first."""
    found = [worst_of(capacity, row) for row in ROWS]
    return sorted((w for w in found if w.factor >= 0), key=lambda w: -w.factor)


def titles(names: Sequence[str], row: Row) -> str:
    if len(names) == len(row.on) > 1:
        return "any"
    return ", ".join(OCCASIONS[n].name for n in names)


def _shown(read: Sequence[Cell], figure: Callable[[Cell], float | None]) -> str:
    """A figure at each service; none for what is not measured."""
    if read[0].missing:
        return NOT_MEASURED
    values = [figure(c) for c in read]
    return " / ".join(
        "-" if v is None else number(v) + (BEYOND if c.beyond else "")
        for v, c in zip(values, read, strict=True)
    )


def factors(capacity: Capacity) -> list[str]:
    mechanisms = list(capacity.mechanisms)
    head = ["factor", "role", "what", "on", "need", "limit", "", "carried by"] + [
        f"with {m}" for m in mechanisms
    ]
    rows = []
    for one in ranked(capacity):
        row = one.row
        limits = dict.fromkeys(number(c.limit) for c in one.cells if c.limit is not None)
        rows.append(
            [
                _shown(one.cells, lambda c: c.factor),
                row.role,
                row.what,
                titles(one.on, row),
                f"{_shown(one.cells, lambda c: c.need)} {row.unit}",
                f"{' / '.join(limits)} {row.unit}",
                "safety" if row.safety else "",
                row.carried,
                *(_with(capacity, row, m) for m in mechanisms),
            ]
        )
    return table(head, rows)


def _with(capacity: Capacity, row: Row, mechanism: str) -> str:
    if mechanism not in row.after:
        return ""
    after = worst_of(capacity, row, mechanism)
    return _shown(after.cells, lambda c: c.factor) if not after.cells[0].missing else NOT_MEASURED


def ranking(capacity: Capacity) -> list[str]:
    """What is over its limit: safety before comfort, then the highest factor."""
    over = [w for w in ranked(capacity) if w.factor > 1]
    over.sort(key=lambda w: not w.row.safety)
    return table(
        ["", "what is over its limit", "factor", "safety or comfort", "rests on", "carried by"],
        [
            [
                str(n),
                f"{w.row.role}: {w.row.what}",
                _shown(w.cells, lambda c: c.factor),
                "safety" if w.row.safety else "comfort",
                _rests(w.row),
                w.row.carried,
            ]
            for n, w in enumerate(over, 1)
        ],
    )


def _rests(row: Row) -> str:
    uses = row.need.uses + (row.limit.uses if row.limit else ())
    used = [use.name for use in uses] + list(row.need.counts)
    return ", ".join(dict.fromkeys(used)) or "assumptions alone"


def asked_for(capacity: Capacity) -> list[str]:
    return table(
        ["asked", "number", "unit"],
        [[n, plain(capacity.asked[n]), unit] for n, unit in ASKED.items()],
    )


def derived(capacity: Capacity) -> list[str]:
    services, asked = spread(capacity.asked), capacity.asked
    whole = {
        "hosts": asked["hosts"],
        "directors": asked["directors"],
        "requests a second": asked["requests_per_s"],
        "routes": asked["routes_a_service"] * asked["services"],
        "tenants": asked["tenants_a_service"] * asked["services"],
    }
    rows = [[name, *(number(all_of * s.share) for s in services)] for name, all_of in whole.items()]
    return table(["of a service", *(s.name for s in services)], rows)


def occasions(capacity: Capacity) -> list[str]:
    rows = []
    services = spread(capacity.asked)
    for one in OCCASIONS.values():
        places = [Place(capacity, s, one) for s in services]
        rows.append(
            [
                one.name,
                one.says,
                number(one.changes.of(places[0])),
                number(one.turned.of(places[0])),
                number(one.hosts.of(places[0])),
                number(one.directors.of(places[0])),
                " / ".join(number(one.service_hosts.of(p)) for p in places),
            ]
        )
    return table(
        [
            "occasion",
            "what",
            "changes a second",
            "hosts turned a second",
            "hosts in one instant",
            "directors in one instant",
            "a service's hosts in one instant",
        ],
        rows,
    )


def assumptions(capacity: Capacity) -> list[str]:
    return table(
        ["assumed", "value", "unit", "why"],
        [[n, plain(a.value), a.unit, a.why] for n, a in capacity.assumed.items()],
    )


def doubled(capacity: Capacity) -> list[str]:
    """What comes of the factors, where an assumption is out by two."""
    before, rows = {id(w.row): w for w in ranked(capacity)}, []
    for name, one in capacity.assumed.items():
        other = replace(
            capacity, assumed={**capacity.assumed, name: replace(one, value=2 * one.value)}
        )
        moved = [w for w in ranked(other) if abs(w.factor / before[id(w.row)].factor - 1) > 0.01]
        told = [
            f"{w.row.role}: {w.row.what} {number(before[id(w.row)].factor)} to {number(w.factor)}"
            for w in moved
        ]
        told[MOVED:] = [f"{len(told) - MOVED} more"] if len(told) > MOVED else []
        rows.append([name, "; ".join(told) or "none"])
    return table(["assumed, doubled", "factors that move, the worst of each"], rows)


def names(capacity: Capacity) -> list[str]:
    return table(["name", "is"], [[f"`{name}`", says] for name, says in SAID.items()])


def roles(capacity: Capacity) -> list[str]:
    """Each role's formulas, with figures where each is worst."""
    lines = []
    for role in ROLES:
        lines += ["", f"### {role[0].upper()}{role[1:]}", ""]
        rows = []
        for row in (r for r in ROWS if r.role == role):
            one = worst_of(capacity, row)
            limit = f"`{row.limit.text}`" if row.limit else "none asked"
            missing = f" ({', '.join(one.cells[0].missing)})" if one.cells[0].missing else ""
            rows.append(
                [
                    row.what,
                    f"`{row.need.text}`",
                    f"{_shown(one.cells, lambda c: c.need)}{missing}",
                    row.unit,
                    titles(one.on, row),
                    limit,
                    _shown(one.cells, lambda c: c.factor) if row.limit else "-",
                    row.says,
                ]
            )
        lines += table(
            ["what", "need", "at the size asked", "unit", "worst on", "limit", "factor", ""], rows
        )
    return lines[1:]


def needs(capacity: Capacity) -> list[str]:
    """On each occasion, of what is measured and goes by it."""
    rows = []
    for row in ROWS:
        read = {name: cells(capacity, row, name) for name in row.on}
        told = {
            name: _shown(one, lambda c: c.need) for name, one in read.items() if not one[0].missing
        }
        if len(set(told.values())) > 1 or told and len(row.on) < len(OCCASIONS):
            rows.append(
                [f"{row.role}: {row.what}", row.unit, *(told.get(name, "") for name in OCCASIONS)]
            )
    return table(["what", "unit", *(o.name for o in OCCASIONS.values())], rows)


def matrix(capacity: Capacity) -> list[str]:
    """Each role on each occasion: the worst factor among what is measured, and how much of it is not."""
    rows = []
    for role in ROLES:
        line = [role]
        for occasion in OCCASIONS:
            read = [
                cells(capacity, row, occasion)
                for row in ROWS
                if row.role == role and occasion in row.on
            ]
            measured = [c for c in read if c[0].factor is not None]
            best = max(measured, key=lambda c: max(x.factor or 0 for x in c), default=None)
            unknown = sum(1 for c in read if c[0].missing)
            told = [f"{_shown(best, lambda c: c.factor)} {best[0].row.what}"] if best else []
            told += [f"{unknown} not measured"] if unknown else []
            line.append("; ".join(told) or "nothing of its own")
        rows.append(line)
    return table(["role", *(o.name for o in OCCASIONS.values())], rows)


def slopes(capacity: Capacity) -> list[str]:
    rows = []
    for one in capacity.slopes.values():
        away = (
            "-"
            if one.off is None
            else f"{one.off:+.0%}" + (" bends" if abs(one.off) > QUARTER else "")
        )
        span = f"{plain(one.sizes[0])} to {plain(one.sizes[-1])} {one.by}"
        rows.append(
            [
                one.name,
                one.unit,
                number(one.fixed),
                number(one.slope),
                span,
                f"{one.residual:.0%}",
                "-" if one.predicted is None else number(one.predicted),
                number(one.values[-1]),
                away,
                "counted" if one.counted else one.day,
                one.bend,
            ]
        )
    head = [
        "figure",
        "unit",
        "fixed",
        "slope",
        "sizes",
        "residual",
        "foretold",
        "measured",
        "off",
        "day",
        "",
    ]
    return table(head, rows)


def commands(capacity: Capacity) -> list[str]:
    """Each command once, with its figures' left-out."""
    found: dict[tuple[str, str], list[str]] = {}
    for one in capacity.slopes.values():
        found.setdefault((one.command, one.left_out), []).append(one.name.partition(".")[0])
    rows = [[what[0], f"`{command}`", left_out] for (command, left_out), what in found.items()]
    rows += [
        [name, f"`{c.command}`", f"a count: {number(c.value)} {c.unit}, {c.day}"]
        for name, c in capacity.counts.items()
    ]
    return table(["measurement", "command", "left out"], rows)


def unmeasured(capacity: Capacity) -> list[str]:
    missing: dict[str, list[str]] = {}
    for row in ROWS:
        for name in cells(capacity, row, row.on[0])[0].missing:
            missing.setdefault(name, []).append(f"{row.role}: {row.what}")
    if not missing:
        return ["All that the formulas rest on is measured."]
    return table(
        ["not measured", "wanted by"],
        [[f"`{n}`", "; ".join(by)] for n, by in sorted(missing.items())],
    )


def days(capacity: Capacity) -> list[str]:
    """The virtual days, largest first: steps, and what was found."""
    if not capacity.days:
        return [NOT_MEASURED]
    rows, told = [], []
    for one in sorted(capacity.days.values(), key=lambda d: -d.hosts):
        for step in one.steps:
            longest = (
                f"{number(step.longest_ms)} ({step.longest_kind})"
                if step.longest_kind
                else step.kinds or "-"
            )
            share = number(step.longest_ms / ELECTION_MS) if step.longest_kind else ""
            rows.append(
                [
                    plain(one.hosts),
                    plain(one.directors),
                    step.step,
                    plain(step.entries),
                    number(step.bytes / MEGA),
                    number(step.cpu_s),
                    longest,
                    share,
                    plain(step.open),
                ]
            )
        told += ["", f"`{one.command}`, {one.day}, {one.hours} hours. Left out: {one.left_out}"]
        told += [f"- {text}" for text in one.findings]
    head = [
        "hosts",
        "directors",
        "step",
        "entries",
        "MB",
        "processor s",
        "longest entry, ms",
        "of an election",
        "permits open, at most",
    ]
    return table(head, rows) + told


def _bound(capacity: Capacity, bound: Bound) -> list[str]:
    places = [Place(capacity, s, OCCASIONS[bound.occasion]) for s in spread(capacity.asked)]
    if missing := bound.need.missing(places[0]):
        return [
            bound.name,
            bound.place,
            plain(bound.value),
            f"{NOT_MEASURED} ({', '.join(missing)})",
            NOT_MEASURED,
            bound.full,
            bound.says,
        ]
    needs = [bound.need.of(p) for p in places]
    shown = " / ".join(dict.fromkeys(number(n) for n in needs))
    over = [p.service.name for p, n in zip(places, needs, strict=True) if n > bound.value]
    if over and bound.settable:
        set_by = f"set by `({bound.terms} N)`"
        return [bound.name, bound.place, plain(bound.value), shown, set_by, bound.full, bound.says]
    binds = (
        "no" if not over else "**yes**" if len(over) == len(places) else f"**{', '.join(over)}**"
    )
    return [bound.name, bound.place, plain(bound.value), shown, binds, bound.full, bound.says]


def bounds(capacity: Capacity) -> list[str]:
    rows = [_bound(capacity, bound) for bound in BOUNDS_OF_TODAY]
    rows.sort(key=lambda row: (row[4] == "no", row[4].startswith("set by")))
    return table(
        ["bound", "place, in `ironfall/`", "today", "wanted", "binds", "when full", "where"], rows
    )


def mechanisms(capacity: Capacity) -> list[str]:
    if not capacity.mechanisms:
        return ["None is in yet."]
    rows = []
    for name, one in capacity.mechanisms.items():
        for row in (r for r in ROWS if name in r.after):
            before, after = worst_of(capacity, row), worst_of(capacity, row, name)
            missing = f" ({', '.join(after.cells[0].missing)})" if after.cells[0].missing else ""
            rows.append(
                [
                    name,
                    f"{row.role}: {row.what}",
                    _shown(before.cells, lambda c: c.factor),
                    _shown(after.cells, lambda c: c.factor) + missing,
                    f"`{row.after[name][0].text}`",
                    row.after[name][1],
                ]
            )
        rows.append([name, one.what, "", "", "", one.module])
    return table(
        ["mechanism", "what", "factor without", "factor with", "need with it", "carried by"], rows
    )


TABLES: dict[str, Callable[[Capacity], list[str]]] = {
    "factors": factors,
    "ranking": ranking,
    "asked": asked_for,
    "derived": derived,
    "assumed": assumptions,
    "doubled": doubled,
    "names": names,
    "roles": roles,
    "occasions": occasions,
    "matrix": matrix,
    "needs": needs,
    "slopes": slopes,
    "commands": commands,
    "unmeasured": unmeasured,
    "days": days,
    "bounds": bounds,
    "mechanisms": mechanisms,
}


def printed(page: str, capacity: Capacity) -> str:
    """The page with its tables made anew between their markers. Raises `Faulty` for markers that don't fit."""
    lines, out, seen = page.splitlines(), [], []  # type: list[str], list[str], list[str]
    n = 0
    while n < len(lines):
        out.append(lines[n])
        if found := MARKER.fullmatch(lines[n].strip()):
            name = found[1]
            if name not in TABLES or name in seen:
                raise Faulty(
                    f"line {n + 1}: table {name} is {'there twice' if name in seen else 'unknown'}"
                )
            try:
                end = lines.index(END, n)
            except ValueError:
                raise Faulty(f"line {n + 1}: table {name} has no end") from None
            seen.append(name)
            out += ["", *TABLES[name](capacity), "", END]
            n = end
        n += 1
    if missing := [name for name in TABLES if name not in seen]:
        raise Faulty(f"the page has no table {', '.join(missing)}")
    return "\n".join(out) + "\n"


def differs(page: str, made: str) -> str:
    """The first line that differs, with both; empty where none does."""
    ours, theirs = page.splitlines(), made.splitlines()
    for n in range(max(len(ours), len(theirs))):
        a, b = (lines[n] if n < len(lines) else "(nothing)" for lines in (ours, theirs))
        if a != b:
            return f"line {n + 1} of the page: {a}\n  is made now:  {b}"
    return "" if page == made else "the page's last line ends otherwise"
