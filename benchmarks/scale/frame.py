"""The frame of the scale measurements: sizes upward, medians, a line; the next size foretold before it is played.

A measurement is a module beside this one, named after WHAT with `-` as `_`, that states

    SIZES: tuple[int, ...]                   four or more over a span of sixteen times
    BY: str                                  what a size counts, e.g. "hosts"
    FIGURES: dict[str, str]                  name of a figure -> its unit, e.g. {"cpu_ms_s": "ms/s"}
    LEFT_OUT: str                            one sentence: what the hollow processes leave out
    COUNTED: frozenset[str] = frozenset()    of FIGURES: counts, the same in each repeat
    MEMORY_MB: Callable[[int], float]        expected memory at a size
    PROCESSES: int                           processes it starts at most
    def play(size: int, chance: random.Random) -> dict[str, float]      one repeat; every figure named

Repeats of a size get the same chance: what differs between them is the machine's, and a count that differs is wrong.
"""

import ast
import importlib
import math
import random
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

HERE = Path(__file__).parent
FRAME = {"__init__", "__main__", "frame"}
FEWEST, SPAN, QUARTER, MOST_PROCESSES = 4, 16, 0.25, 200
NOTHING = 1e-6  # of the largest value: what is less has no share of its own


class Refused(Exception):
    """The measurement isn't begun, or is no figure: the text says why."""


@dataclass(frozen=True)
class Fit:
    """`fixed + slope * size`; the residual is the largest departure of a point, a share of what was measured there."""

    fixed: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        return self.fixed + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The line of least squares through two points or more, of different sizes.

    Squares of departures as a share of what was measured: by plain ones the largest size alone would decide, and the
    fixed cost, which small sizes tell, would be anything.
    """
    whole = max(abs(v) for v in values) or 1.0
    scales = [max(abs(v), whole * NOTHING) if v else whole for v in values]
    weights = [(whole / scale) ** 2 for scale in scales]
    total = sum(weights)
    middle = sum(w * s for w, s in zip(weights, sizes, strict=True)) / total
    mean = sum(w * v for w, v in zip(weights, values, strict=True)) / total
    across = sum(w * (s - middle) ** 2 for w, s in zip(weights, sizes, strict=True))
    slope = (
        sum(w * (s - middle) * v for w, s, v in zip(weights, sizes, values, strict=True)) / across
    )
    fixed = mean - slope * middle
    residual = max(
        abs(fixed + slope * s - v) / by for s, v, by in zip(sizes, values, scales, strict=True)
    )
    return Fit(fixed, slope, residual)


def off(predicted: float, measured: float) -> float:
    """How far the prediction lies from the measurement, as a share of the measurement."""
    if measured == 0:
        return 0.0 if predicted == 0 else math.inf
    return (predicted - measured) / abs(measured)


def span(sizes: Sequence[int]) -> float:
    return sizes[-1] / sizes[0]


def memory_mb(meminfo: str) -> float:
    """All of the machine's memory, from the text of /proc/meminfo."""
    for line in meminfo.splitlines():
        words = line.split()
        if words[:1] == ["MemTotal:"]:
            return int(words[1]) / 1024
    raise Refused("/proc/meminfo: no line MemTotal, so that half of the memory isn't known")


@dataclass
class What:
    """A measurement's statement, checked."""

    name: str
    sizes: tuple[int, ...]
    by: str
    figures: dict[str, str]
    left_out: str
    counted: frozenset[str]
    memory: Callable[[int], float]
    processes: int
    play: Callable[[int, random.Random], dict[str, float]]

    @classmethod
    def of(cls, name: str, module: Any) -> "What":
        stated = ("SIZES", "BY", "FIGURES", "LEFT_OUT", "MEMORY_MB", "PROCESSES", "play")
        if missing := [n for n in stated if not hasattr(module, n)]:
            raise Refused(f"{name}: states no {', '.join(missing)}")
        counted = frozenset(getattr(module, "COUNTED", ()))
        if unknown := counted - set(module.FIGURES):
            raise Refused(
                f"{name}: COUNTED names {', '.join(sorted(unknown))}, no figure of FIGURES"
            )
        return cls(
            name,
            tuple(module.SIZES),
            module.BY,
            dict(module.FIGURES),
            module.LEFT_OUT,
            counted,
            module.MEMORY_MB,
            module.PROCESSES,
            module.play,
        )


def listed(folder: Path = HERE) -> dict[str, str]:
    """Every measurement by name, with the first line of its docstring; nothing is imported for it."""
    found = {}
    for path in sorted(folder.glob("*.py")):
        tree = ast.parse(path.read_text())
        # What has nothing to play is shared by those that have.
        if path.stem not in FRAME and any(
            isinstance(one, ast.FunctionDef) and one.name == "play" for one in tree.body
        ):
            text = ast.get_docstring(tree) or "says nothing of itself"
            found[path.stem.replace("_", "-")] = text.splitlines()[0]
    return found


def load(name: str) -> What:
    """The measurement of that name; raises `Refused` naming those there are."""
    if name not in listed():
        raise Refused(f"no measurement {name!r}; there are {', '.join(listed())}")
    return What.of(name, importlib.import_module(f"benchmarks.scale.{name.replace('-', '_')}"))


def sizes_from(text: str) -> tuple[int, ...]:
    """`34,136,544`: whole numbers, each above the one before."""
    try:
        sizes = tuple(int(word) for word in text.split(","))
    except ValueError:
        raise Refused(f"--sizes {text}: whole numbers with commas between are wanted") from None
    if sizes[0] < 1 or any(a >= b for a, b in zip(sizes, sizes[1:], strict=False)):
        raise Refused(f"--sizes {text}: sizes from 1 on, each above the one before, are wanted")
    return sizes


def no_figure(sizes: Sequence[int]) -> str:
    """Why these sizes give a look and no figure; empty where they give one."""
    if len(sizes) < FEWEST:
        return f"{len(sizes)} sizes, {FEWEST} are the fewest for a slope"
    if span(sizes) < SPAN:
        return f"sizes {sizes[0]} to {sizes[-1]} span {span(sizes):.1f} times, {SPAN} are the least for a slope"
    return ""


def check(what: What, sizes: Sequence[int], all_mb: float, kept: bool) -> None:
    """Raises `Refused` where it would take too much of the machine, or where what is kept would be no figure."""
    need = max(what.memory(size) for size in sizes)
    if need > all_mb / 2:
        raise Refused(
            f"{what.name} at {sizes[-1]} {what.by} is expected to take {need:,.0f} MB; half of the machine's "
            f"{all_mb:,.0f} MB is the most"
        )
    if what.processes > MOST_PROCESSES:
        raise Refused(
            f"{what.name} starts {what.processes} processes; {MOST_PROCESSES} are the most"
        )
    if kept and (why := no_figure(sizes)):
        raise Refused(f"--json is for figures: {why}")


def medians(what: What, size: int, repeats: Sequence[dict[str, float]]) -> dict[str, float]:
    """A figure each; raises `Refused` for one that is missing, too many or no number, and for a count that differs."""
    for one in repeats:
        if wrong := set(what.figures) ^ set(one):
            raise Refused(
                f"{what.name} at {size} {what.by}: {', '.join(sorted(wrong))} stated or given, not both"
            )
        if wrong := {n for n, v in one.items() if not math.isfinite(v)}:
            raise Refused(
                f"{what.name} at {size} {what.by}: {', '.join(sorted(wrong))} is no finite number"
            )
    differ = [
        f"{n} ({', '.join(f'{one[n]:g}' for one in repeats)})"
        for n in what.figures
        if n in what.counted and len({one[n] for one in repeats}) > 1
    ]
    if differ:
        raise Refused(
            f"{what.name} at {size} {what.by}: counts that differ between repeats: {'; '.join(differ)}"
        )
    return {n: statistics.median(one[n] for one in repeats) for n in what.figures}


@dataclass
class Found:
    """What was played so far, by size upward."""

    what: What
    sizes: list[int] = field(default_factory=list)
    values: dict[str, list[float]] = field(default_factory=dict)
    predicted: dict[str, float] = field(
        default_factory=dict
    )  # of the size played last, from those before it

    def foretell(self, size: int) -> dict[str, float]:
        """Each figure at the next size, from the line through those played; nothing below two."""
        if len(self.sizes) >= 2:
            self.predicted = {n: fit(self.sizes, v).at(size) for n, v in self.values.items()}
        return self.predicted

    def take(self, size: int, figures: dict[str, float]) -> None:
        self.sizes.append(size)
        for name, value in figures.items():
            self.values.setdefault(name, []).append(value)

    def rows(self) -> dict[str, dict[str, Any]]:
        """Per figure what is kept of it; predicted only where there were sizes enough."""
        found = {}
        for name, values in self.values.items():
            line = fit(self.sizes, values) if len(values) > 1 else Fit(values[0], 0.0, 0.0)
            found[name] = {
                "unit": self.what.figures[name],
                "counted": name in self.what.counted,
                "values": values,
                "fixed": line.fixed,
                "slope": line.slope,
                "residual": line.residual,
                "predicted": self.predicted.get(name),
                "measured": values[-1],
            }
        return found


def account(found: Found) -> list[str]:
    """The lines that end a measurement: each fit, and for the largest size what was foretold and what was measured."""
    lines = []
    by, largest = found.what.by, found.sizes[-1]
    for name, row in found.rows().items():
        text = f"{name}: fixed {row['fixed']:.4g}, slope {row['slope']:.4g} {row['unit']} by {by}"
        text += f", residual {row['residual']:.1%}"
        if row["predicted"] is not None:
            away = off(row["predicted"], row["measured"])
            text += f"; at {largest} predicted {row['predicted']:.4g}, measured {row['measured']:.4g}, off {away:+.1%}"
            if abs(away) > QUARTER:
                text += f" BENDS between {found.sizes[-2]} and {largest} {by}"
        lines.append(text)
    if why := no_figure(found.sizes):
        lines.append(f"A look and no figure: {why}.")
    return lines


class Progress:
    """Where the measurement is: one line rewritten on a terminal, a line each elsewhere."""

    def __init__(self, out: TextIO) -> None:
        self.out, self.alive, self.width = out, out.isatty(), 0

    def say(self, text: str) -> None:
        self.out.write(f"\r{text:<{self.width}}" if self.alive else f"{text}\n")
        self.out.flush()
        self.width = len(text)

    def clear(self) -> None:
        if self.alive:
            self.out.write(f"\r{'':<{self.width}}\r")
            self.out.flush()


def drive(
    what: What,
    sizes: Sequence[int],
    repeats: int,
    seed: int,
    say: Callable[[str], None],
    progress: Progress,
) -> Found:
    """Plays the sizes upward; what the sizes before foretell of one is said before it is played."""
    found, began = Found(what), time.monotonic()

    def told(figures: dict[str, float]) -> str:
        return ", ".join(
            f"{name} {value:.4g} {what.figures[name]}" for name, value in figures.items()
        )

    for size in sizes:
        if foretold := found.foretell(size):
            say(f"{size} {what.by}, foretold: {told(foretold)}")
        played = []
        for n in range(repeats):
            took = time.monotonic() - began
            progress.say(
                f"{what.name}: {size} {what.by}, repeat {n + 1} of {repeats}, {took:.0f} s"
            )
            played.append(what.play(size, random.Random(f"{seed}/{size}")))
        progress.clear()
        figures = medians(what, size, played)
        found.take(size, figures)
        say(f"{size} {what.by}, measured: {told(figures)}")
    return found


def kept(found: Found, day: str, seed: int, repeats: int, command: str) -> dict[str, Any]:
    """What `--json` writes."""
    what = found.what
    return {
        "what": what.name,
        "by": what.by,
        "day": day,
        "seed": seed,
        "repeats": repeats,
        "sizes": found.sizes,
        "left_out": what.left_out,
        "command": command,
        "figures": found.rows(),
    }
