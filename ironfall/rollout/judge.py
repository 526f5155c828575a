"""Do directors of a new version do worse than the rest? A sequential test that may be looked at each second.

Each second a director's word is set against the mean of the rest *of its zone and in that second*, so that the day's
swing and what hits a whole zone cancel. Two doubts widen the mean of what those on trial differ by:

- *between seconds*: blocks of `BLOCK` seconds are taken as normal with unknown spread; the always-valid t-test by a
  normal mixture over the effect's size and the right Haar measure over the spread (Lai 1976; Wang and Ramdas, "Anytime-
  valid t-tests and confidence sequences for Gaussian means with unknown variance", 2024). Its e-value is a martingale
  without a difference, so Ville's inequality bounds the error however often it is looked at;
- *between directors*: each has a bent of its own that no time averages away. Its spread is that of the rest's own means
  over the same time, pooled over zones; those on trial are new draws of it (Student's prediction interval, once).

Half of each measure's share of `level` goes to either. The bound holds as far as blocks are near normal, and bents near
normal and alike for both versions.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from statistics import NormalDist

BLOCK = 5  # seconds: longer than what one word shares with the next
LEAST = 8  # degrees of freedom of the spread between directors; with fewer nothing is said
LIKE = 4.0  # times as many proxies, or as few: still a like load
TOLERATED = 0.2  # of a harm's size: a difference that small is none
SCALE = 25.0  # the mixture's variance, in that of a block: with little level the first bounds come sooner
MEASURES = ("refused", "unfulfilled", "bare", "waiting")
FLOORS = (
    5e-4,
    5e-4,
    2e-3,
    5e-3,
)  # of a block's spread: figures are rounded, and rounded alike look certain


@dataclass(frozen=True, slots=True)
class Word:
    """What a director said last: shares are parts of one, `figures` in the order of `MEASURES`, waiting in seconds of
    the channel."""

    zone: str
    incarnation: int
    number: int
    proxies: int
    figures: tuple[float, float, float, float]


def student(tail: float, freedom: int) -> float:
    """The quantile that Student's t exceeds with this probability: Cornish and Fisher's series, good from 8 degrees."""
    z, v = NormalDist().inv_cdf(1 - tail), freedom
    return (
        z
        + (z**3 + z) / (4 * v)
        + (5 * z**5 + 16 * z**3 + 3 * z) / (96 * v**2)
        + (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / (384 * v**3)
    )


def always(level: float, count: int) -> float:
    """How far the mean of so many blocks may lie from the truth, in standard errors, at any time; endless at first."""
    if count < 2:
        return math.inf
    more = 1 + count * SCALE
    ratio = (math.sqrt(more) / level) ** (2 / count)
    return math.sqrt((count - 1) * (ratio - 1) / (1 - ratio / more)) if ratio < more else math.inf


@dataclass(slots=True)
class _Own:
    """One director's differences from its zone's rest, summed."""

    zone: str = ""
    count: int = 0
    sums: list[float] = field(default_factory=lambda: [0.0] * len(MEASURES))

    def add(self, zone: str, figures: list[float]) -> None:
        self.zone, self.count = zone, self.count + 1
        for n, value in enumerate(figures):
            self.sums[n] += value


class Judge:
    """Of one wave. `second` gives what was heard; `found` what follows from all of it."""

    def __init__(self, level: float, harms: tuple[float, float, float, float]) -> None:
        """`harms`: the differences that are found, or ruled out, with an error of `level` in all."""
        self.half, self.harms = level / len(MEASURES) / 2, harms
        self.latest: dict[str, tuple[int, int]] = {}
        self.tried: dict[str, _Own] = {}
        self.rest: dict[str, _Own] = {}
        self.open, self.open_sums = 0, [0.0] * len(MEASURES)
        self.blocks, self.means = 0, [0.0] * len(MEASURES)
        self.squares = [0.0] * len(MEASURES)  # of differences from the mean (Welford)
        self.why, self.known, self.because = "nothing heard yet", "", ""

    def second(
        self, words: Mapping[str, Word], tried: Collection[str], rest: Collection[str]
    ) -> None:
        """A word counts once: one that is not newer than the last is missing, and missing is not good."""
        fresh = {
            n: w
            for n, w in words.items()
            if w.number and (w.incarnation, w.number) > self.latest.get(n, (-1, 0))
        }
        self.latest.update((n, (w.incarnation, w.number)) for n, w in fresh.items())
        used = [n for n in tried if n in fresh and fresh[n].proxies]
        if 2 * len(used) <= len(tried):
            self.why = f"{len(used)} of {len(tried)} on trial were heard and in use"
            return
        zones: dict[str, tuple[list[str], list[str]]] = {}
        for name in used:
            zones.setdefault(fresh[name].zone, ([], []))[0].append(name)
        load = sum(fresh[n].proxies for n in used) / len(used)
        for name in rest:  # zones with nobody on trial tell how directors differ
            if name in fresh and load / LIKE <= fresh[name].proxies <= load * LIKE:
                zones.setdefault(fresh[name].zone, ([], []))[1].append(name)
        sums, count = [0.0] * len(MEASURES), 0
        for zone, (mine, others) in zones.items():
            if len(others) < 2:
                continue
            usual = [
                sum(part) / len(others)
                for part in zip(*(fresh[n].figures for n in others), strict=True)
            ]
            for table, names in ((self.tried, mine), (self.rest, others)):
                for name in names:
                    apart = [
                        value - base for value, base in zip(fresh[name].figures, usual, strict=True)
                    ]
                    table.setdefault(name, _Own()).add(zone, apart)
                    if table is self.tried:
                        sums, count = [a + b for a, b in zip(sums, apart, strict=True)], count + 1
        if 2 * count <= len(tried):
            self.why = (
                f"{count} of {len(tried)} on trial have two of like load beside them in their zone"
            )
            return
        self.open += 1
        self.open_sums = [a + b / count for a, b in zip(self.open_sums, sums, strict=True)]
        if self.open == BLOCK:
            self._close()

    def _close(self) -> None:
        self.blocks += 1
        for n, total in enumerate(self.open_sums):
            value = total / BLOCK
            before = value - self.means[n]
            self.means[n] += before / self.blocks
            self.squares[n] += before * (value - self.means[n])
        self.open, self.open_sums = 0, [0.0] * len(MEASURES)
        self.known, self.because = self._found()
        self.why = self.because

    def _between(self) -> tuple[list[float], float]:
        """The spread between directors of each measure, and by how many of it those on trial may differ by chance;
        endless where too few are heard."""
        most = max((own.count for own in self.rest.values()), default=0)
        heard = [own for own in self.rest.values() if 2 * own.count > most]
        zones: dict[str, int] = {}
        for own in heard:
            zones[own.zone] = zones.get(own.zone, 0) + 1
        freedom = len(heard) - len(zones)
        if freedom < LEAST or not self.tried:
            return [0.0] * len(MEASURES), math.inf
        spreads = [
            math.sqrt(sum((o.sums[k] / o.count) ** 2 for o in heard) / freedom)
            for k in range(len(MEASURES))
        ]
        mine: dict[str, int] = {}
        for own in self.tried.values():
            mine[own.zone] = mine.get(own.zone, 0) + 1
        part = sum(
            (m / len(self.tried)) ** 2 * (1 / m + 1 / max(1, zones.get(z, 0)))
            for z, m in mine.items()
        )
        return spreads, student(self.half, freedom) * math.sqrt(part)

    def bounds(self) -> list[tuple[float, float]]:
        """Lowest and highest difference of each measure that may be the truth."""
        spreads, times = self._between()
        errors = always(self.half, self.blocks)
        found = []
        for n, mean in enumerate(self.means):
            if math.isinf(errors) or math.isinf(times):
                found.append((-math.inf, math.inf))
                continue
            noise = max(FLOORS[n], math.sqrt(self.squares[n] / (self.blocks - 1))) / math.sqrt(
                self.blocks
            )
            width = errors * noise + times * spreads[n]
            found.append((mean - width, mean + width))
        return found

    def found(self) -> tuple[str, str]:
        """`harm`, `fine`, or nothing: not enough was heard. With the reason."""
        return self.known, self.because if self.known else f"not enough heard: {self.why}"

    def _found(self) -> tuple[str, str]:
        bounds = self.bounds()
        for name, (low, high), harm in zip(MEASURES, bounds, self.harms, strict=True):
            if low > TOLERATED * harm:
                return "harm", f"{name} is higher by {low:.4f} to {high:.4f} than at the rest"
        if all(high < harm for (_, high), harm in zip(bounds, self.harms, strict=True)):
            return "fine", f"no difference over {self.blocks} blocks"
        worst = max(range(len(MEASURES)), key=lambda n: bounds[n][1] / self.harms[n])
        return (
            "",
            f"after {self.blocks} blocks {MEASURES[worst]} may be higher by up to {bounds[worst][1]:.4f}",
        )
