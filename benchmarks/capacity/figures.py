"""The one file that all figures of the page come from, read and checked whole; and measurements taken into it."""

import datetime
import math
import re
from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import tomlkit
from tomlkit import TOMLDocument
from tomlkit.items import Table

from benchmarks.scale.frame import fit, no_figure, off

# The numbers of the operators, with what each counts.
ASKED = {
    "directors": "directors",
    "hosts": "hosts",
    "services": "services",
    "routes_a_service": "routes",
    "tenants_a_service": "tenants",
    "regions": "regions",
    "zones": "zones",
    "requests_per_s": "1/s",
    "added_ms": "ms",
    "changes_per_day": "1/day",
    "in_force_s": "s",
    "core_share": "core",
    "memory_mb": "MB",
    "control_bytes_s": "B/s",
    "machines": "machines",
    "failures_per_day": "1/day",
    "restarts_per_day": "1/day",
    "zone_loss_per_days": "days",
    "region_apart_s": "s",
    "rack_hosts": "hosts",
    "zipf_exponent": "",
}
# What the numbers leave open; each stands in the file with a value, a unit and why.
ASSUMED = (
    "proxies_a_director",
    "peak",
    "service_zones",
    "cores",
    "memory_gb",
    "channel_lines_s",
    "channel_head",
    "hand_at_once",
    "hand_s",
    "out_s",
    "held_still_hosts",
)
SLOPE = {
    "by": str,
    "unit": str,
    "fixed": float,
    "slope": float,
    "residual": float,
    "sizes": list,
    "values": list,
    "repeats": int,
    "counted": bool,
    "command": str,
    "day": str,
    "seed": int,
    "left_out": str,
}
SLOPE_OPTIONAL = {"predicted": float, "bend": str}
COUNT = {"value": float, "unit": str, "command": str, "day": str}
MECHANISM = {"what": str, "module": str}
EMPTY = ("unit", "longest_kind")  # texts that may say nothing
NOTHING = 1e-12  # beside another
DIGITS = 6  # of a figure that is written down
LIKE = 1e-5  # a fit written down and the fit of its values may differ by so much of it
DAY = {
    "hosts": int,
    "directors": int,
    "hours": int,
    "command": str,
    "day": str,
    "seed": int,
    "left_out": str,
    "findings": list,
    "steps": list,
}
STEP = {
    "step": str,
    "entries": int,
    "bytes": int,
    "cpu_s": float,
    "longest_ms": float,
    "longest_kind": str,
    "open": int,
}
STEP_OPTIONAL = {"kinds": str}


class Faulty(Exception):
    """The file is not what it has to be; a line for each fault, with its key."""


@dataclass(frozen=True)
class Slope:
    """A figure by size: `fixed + slope * size`, the points it goes through, and how it was come by."""

    name: str
    by: str
    unit: str
    fixed: float
    slope: float
    residual: float
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    command: str
    day: str
    seed: int
    counted: bool
    left_out: str
    predicted: float | None = None
    bend: str = ""

    def at(self, size: float) -> float:
        """Within the span what was measured, in proportion between two sizes; outside it by the line's slope, but what
        falls is not taken to fall on beyond the largest."""
        if size <= self.sizes[0]:
            return max(0.0, self.values[0] + self.slope * (size - self.sizes[0]))
        if size >= self.sizes[-1]:
            return self.values[-1] + max(0.0, self.slope) * (size - self.sizes[-1])
        n = bisect_right(self.sizes, size)
        part = (size - self.sizes[n - 1]) / (self.sizes[n] - self.sizes[n - 1])
        return self.values[n - 1] + part * (self.values[n] - self.values[n - 1])

    @property
    def off(self) -> float | None:
        return None if self.predicted is None else off(self.predicted, self.values[-1])


@dataclass(frozen=True)
class Assumed:
    value: float
    unit: str
    why: str


@dataclass(frozen=True)
class Count:
    value: float
    unit: str
    command: str
    day: str


@dataclass(frozen=True)
class Mechanism:
    what: str
    module: str


@dataclass(frozen=True)
class Step:
    """What the ledger was given in a part of a day; `open`: the most permits at a time."""

    step: str
    entries: int
    bytes: int
    cpu_s: float
    longest_ms: float
    longest_kind: str
    open: int
    kinds: str = ""  # of a step without entries: what was done, the longest of each in milliseconds


@dataclass(frozen=True)
class Day:
    """A day of the pure parts under a virtual clock."""

    hosts: int
    directors: int
    hours: int
    command: str
    day: str
    seed: int
    left_out: str
    findings: list[str]
    steps: list[Step]


@dataclass(frozen=True)
class Capacity:
    """The file, checked."""

    asked: Mapping[str, float]
    assumed: Mapping[str, Assumed]
    slopes: Mapping[str, Slope]
    counts: Mapping[str, Count]
    mechanisms: Mapping[str, Mechanism]
    days: Mapping[str, Day]


def kind_is(value: Any, kind: type) -> bool:
    if kind is float:
        return (
            isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
        )
    return type(value) is kind or kind is not int and kind is not bool and isinstance(value, kind)


class Reading:
    """Tables read by name; what is wrong is gathered with its place."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def table(self, held: Any, where: str) -> Mapping[str, Any]:
        if isinstance(held, Mapping):
            return held
        self.faults.append(f"{where}: a table is wanted")
        return {}

    def fields(
        self,
        held: Any,
        where: str,
        wanted: Mapping[str, type],
        more: Mapping[str, type] | None = None,
    ) -> dict[str, Any] | None:
        """All of `wanted`, what there is of `more`, and nothing else; None where something is wrong."""
        before, table, all_of = (
            len(self.faults),
            self.table(held, where),
            {**wanted, **(more or {})},
        )
        for name, kind in all_of.items():
            if name not in table:
                if name in wanted:
                    self.faults.append(f"{where}.{name}: missing")
            elif not kind_is(table[name], kind):
                self.faults.append(f"{where}.{name}: {table[name]!r} is no {kind.__name__}")
            elif kind is str and name not in EMPTY and not table[name].strip():
                self.faults.append(f"{where}.{name}: says nothing")
        self.unknown(table, all_of, where)
        return dict(table) if len(self.faults) == before else None

    def unknown(self, table: Mapping[str, Any], known: Any, where: str) -> None:
        self.faults += [f"{where}.{name}: unknown" for name in table if name not in known]


def read(held: Any) -> Capacity:
    """The file's tables (as `tomllib` gives them); raises `Faulty` with all that is wrong."""
    reading = Reading()
    top = reading.table(held, "the file")
    reading.faults += [
        f"{name}: unknown"
        for name in top
        if name not in ("asked", "assumed", "slope", "count", "mechanism", "day")
    ]
    asked = reading.table(top.get("asked"), "asked")
    given = reading.fields(asked, "asked", dict.fromkeys(ASKED, float)) or {}
    reading.faults += [
        f"asked.{name}: {value} must be above nought" for name, value in given.items() if value <= 0
    ]
    if given and given["services"] != int(given["services"]):
        reading.faults.append("asked.services: a whole number is wanted")
    held_assumed = reading.table(top.get("assumed"), "assumed")
    reading.unknown(held_assumed, ASSUMED, "assumed")
    assumed = {}
    for name in ASSUMED:
        if name not in held_assumed:
            reading.faults.append(f"assumed.{name}: missing")
        elif fields := reading.fields(
            held_assumed[name], f"assumed.{name}", {"value": float, "unit": str, "why": str}
        ):
            assumed[name] = Assumed(**fields)
            if fields["value"] <= 0:
                reading.faults.append(
                    f"assumed.{name}.value: {fields['value']} must be above nought"
                )
    slopes = {}
    for what, figures in reading.table(top.get("slope", {}), "slope").items():
        for figure, one in reading.table(figures, f"slope.{what}").items():
            if slope := _slope(reading, f"{what}.{figure}", one):
                slopes[slope.name] = slope
    counts, mechanisms = {}, {}
    for name, one in reading.table(top.get("count", {}), "count").items():
        if fields := reading.fields(one, f"count.{name}", COUNT):
            counts[name] = Count(**fields)
            _day(reading, f"count.{name}", fields["day"])
    for name, one in reading.table(top.get("mechanism", {}), "mechanism").items():
        if fields := reading.fields(one, f"mechanism.{name}", MECHANISM):
            mechanisms[name] = Mechanism(**fields)
    days = {}
    for name, one in reading.table(top.get("day", {}), "day").items():
        if fields := reading.fields(one, f"day.{name}", DAY):
            _day(reading, f"day.{name}", fields["day"])
            if not all(isinstance(text, str) for text in fields["findings"]):
                reading.faults.append(f"day.{name}.findings: texts are wanted")
            read_steps = [
                reading.fields(step, f"day.{name}.steps.{n}", STEP, STEP_OPTIONAL)
                for n, step in enumerate(fields["steps"])
            ]
            days[name] = Day(**{**fields, "steps": [Step(**step) for step in read_steps if step]})
    if reading.faults:
        raise Faulty("\n".join(reading.faults))
    return Capacity(given, assumed, slopes, counts, mechanisms, days)


def _day(reading: Reading, where: str, day: str) -> None:
    try:
        datetime.date.fromisoformat(day)
    except ValueError:
        reading.faults.append(f"{where}.day: {day!r} is no day such as 2026-12-02")


def _slope(reading: Reading, name: str, held: Any) -> Slope | None:
    where = f"slope.{name}"
    fields = reading.fields(held, where, SLOPE, SLOPE_OPTIONAL)
    if fields is None:
        return None
    before, sizes, values = len(reading.faults), fields["sizes"], fields["values"]
    _day(reading, where, fields["day"])
    if not all(kind_is(s, int) and s > 0 for s in sizes) or any(
        a >= b for a, b in zip(sizes, sizes[1:], strict=False)
    ):
        reading.faults.append(f"{where}.sizes: whole numbers upward are wanted")
    elif not sizes or (why := no_figure(sizes)):
        reading.faults.append(f"{where}.sizes: {why if sizes else 'none'}")
    if not all(kind_is(v, float) for v in values) or len(values) != len(sizes):
        reading.faults.append(f"{where}.values: one number for each size is wanted")
    if len(reading.faults) > before:
        return None
    line, largest = fit(sizes, values), max(abs(v) for v in values) or 1.0
    for one, wanted, beside in (
        ("fixed", line.fixed, largest),
        ("slope", line.slope, largest / sizes[-1]),
        ("residual", line.residual, 1.0),
    ):
        if abs(fields[one] - wanted) > LIKE * abs(wanted) + NOTHING * beside:
            reading.faults.append(
                f"{where}.{one}: {fields[one]} is not of the line through its values, {wanted:.6g}"
            )
    if len(reading.faults) > before:
        return None
    del fields["repeats"]
    return Slope(name=name, **{**fields, "sizes": tuple(sizes), "values": tuple(values)})


def rounded(value: float, beside: float = 0.0) -> float:
    """As it is written down; nought where it is nothing beside another."""
    return 0.0 if abs(value) < NOTHING * beside else float(f"{value:.{DIGITS}g}")


def take(document: TOMLDocument, measured: Any, prefix: str = "") -> list[str]:
    """A measurement's JSON into the file, or that of a virtual day, in place of what it had of it; the names taken.
    Raises `Faulty`. `prefix`: before its name, where it stands beside one of another version.

    The line is fitted here from the values, so that all lines of the page are made in one way.
    """
    reading = Reading()
    if isinstance(measured, Mapping) and "steps" in measured:
        return _take_day(document, measured)
    frame = {
        "what": str,
        "by": str,
        "day": str,
        "seed": int,
        "repeats": int,
        "sizes": list,
        "left_out": str,
        "command": str,
        "figures": dict,
    }
    top = reading.fields(measured, "measured", frame)
    if top is None:
        raise Faulty("\n".join(reading.faults))
    if why := no_figure(top["sizes"]):
        raise Faulty(f"measured.sizes: {why}")
    what, taken = prefix + top["what"], tomlkit.table()
    for figure, row in top["figures"].items():
        wanted = {
            "unit": str,
            "counted": bool,
            "values": list,
            "fixed": float,
            "slope": float,
            "residual": float,
        }
        fields = reading.fields(
            row, f"measured.figures.{figure}", wanted, {"predicted": object, "measured": float}
        )
        if fields is None:
            raise Faulty("\n".join(reading.faults))
        taken[figure] = _taken(top, fields)
    slopes = document.setdefault("slope", tomlkit.table(is_super_table=True))
    bends = {figure: row["bend"] for figure, row in slopes.get(what, {}).items() if "bend" in row}
    for figure, why in bends.items():
        if figure in taken:
            taken[figure]["bend"] = why
    slopes[what] = taken
    return [f"{what}.{figure}" for figure in taken]


def _take_day(document: TOMLDocument, measured: Mapping[str, Any]) -> list[str]:
    """What the page shows of it; what else it tells is left out."""
    reading = Reading()
    top = reading.fields(
        {name: one for name, one in measured.items() if name in DAY}, "measured", DAY
    )
    steps = []
    for n, held in enumerate(top["steps"] if top else ()):
        told = {
            name: one
            for name, one in reading.table(held, f"measured.steps.{n}").items()
            if name in STEP
        }
        if step := reading.fields(told, f"measured.steps.{n}", STEP):
            steps.append(
                {name: rounded(one) if STEP[name] is float else one for name, one in step.items()}
            )
            kinds = (
                reading.table(held.get("kinds", {}), f"measured.steps.{n}.kinds")
                if not step["entries"]
                else {}
            )
            if all(
                isinstance(one, Mapping) and kind_is(one.get("longest_s"), float)
                for one in kinds.values()
            ):
                told = {kind: f"{one['longest_s'] * 1000:.3g} ms" for kind, one in kinds.items()}
                steps[-1] |= (
                    {"kinds": ", ".join(f"{kind} {ms}" for kind, ms in told.items())}
                    if told
                    else {}
                )
    if reading.faults or top is None:
        raise Faulty("\n".join(reading.faults))
    table = tomlkit.table()
    for name in DAY:
        table[name] = top[name]
    table["command"], table["steps"] = _command(top["command"]), tomlkit.array()
    for step in steps:
        table["steps"].add_line(
            {name: step[name] for name in (*STEP, *STEP_OPTIONAL) if name in step}
        )
    table["steps"].add_line(indent="")
    name = f"of-{top['hosts']}"
    document.setdefault("day", tomlkit.table(is_super_table=True))[name] = table
    return [f"day.{name}"]


def _command(text: str) -> str:
    """Without the file that it wrote, and those that it read by their names alone."""
    return re.sub(r" /(\S*/)?", " ", re.sub(r" --json \S+", "", text))


def _taken(top: Mapping[str, Any], row: Mapping[str, Any]) -> Table:
    sizes, values = top["sizes"], [rounded(v) for v in row["values"]]
    line, before, largest = fit(sizes, values), fit(sizes[:-1], values[:-1]), max(map(abs, values))
    one = tomlkit.table()
    for name, value in (
        ("by", top["by"]),
        ("unit", row["unit"]),
        ("fixed", rounded(line.fixed, largest)),
        ("slope", rounded(line.slope, largest / sizes[-1])),
        ("residual", rounded(line.residual, 1.0)),
        ("sizes", sizes),
        ("values", values),
        ("predicted", rounded(before.at(sizes[-1]))),
        ("repeats", top["repeats"]),
        ("counted", row["counted"]),
        ("command", _command(top["command"])),
        ("day", top["day"]),
        ("seed", top["seed"]),
        ("left_out", top["left_out"]),
    ):
        one[name] = value
    return one
