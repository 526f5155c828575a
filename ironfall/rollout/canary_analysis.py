"""Canary analysis: tests whether directors of a new version perform worse than the others.

A sequential test that may be evaluated each second. A canary's status is compared with the mean of
the baseline directors *of its zone in the same second*, so that daily variation and faults of a
whole zone cancel out. Two sources of uncertainty widen the confidence interval of the mean
difference:

- *between seconds*: blocks of `BLOCK_SECONDS` are taken as normally distributed with unknown
  variance (`sequential_test.anytime_bound`). Ville's inequality bounds the error probability
  however often the test is evaluated;
- *between directors*: each director has a constant offset that does not average out over time. Its
  variance is estimated from the baseline directors' means over the same time, pooled over zones;
  the canaries are new draws of it (Student's prediction interval, applied once).

Each measure gets an equal share of the error level, half of it for either source. The bound holds
provided that blocks and offsets are close to normal, with the same variance for both versions.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from ironfall.rollout.sequential_test import anytime_bound, student_quantile

BLOCK_SECONDS = 5  # longer than the time within which reports are correlated
MIN_DEGREES_OF_FREEDOM = 8  # of the variance between directors, required for a verdict
# Baseline directors with more proxies than this many times the canaries' mean, or fewer than the
# inverse, are not compared.
MAX_LOAD_RATIO = 4.0
MIN_BASELINE = 2  # baseline directors in a zone, required for a comparison
TOLERATED_SHARE = 0.2  # of a harm threshold; smaller differences are not harm
MEASURES = ("refused", "unfulfilled", "bare", "waiting")
# Lower limit of a block's standard deviation, by measure: rounded values may look constant.
MIN_DEVIATIONS = (5e-4, 5e-4, 2e-3, 5e-3)


class Verdict(StrEnum):
    """The result of an analysis; `UNKNOWN` while there is too little data."""

    HARM = "harm"
    FINE = "fine"
    UNKNOWN = ""


@dataclass(frozen=True, slots=True)
class StatusSample:
    """A director's latest status report.

    Attributes:
        zone: The director's zone.
        incarnation: Increases with each start of the director.
        number: Counts the incarnation's reports from 1; 0 if there was none.
        proxies: The number of proxies it serves.
        figures: Values in the order of `MEASURES`: three shares from 0 to 1, and the length of its
            channel's queue in seconds.
    """

    zone: str
    incarnation: int
    number: int
    proxies: int
    figures: tuple[float, float, float, float]


def zeros() -> list[float]:
    """Returns a list of one zero per measure."""
    return [0.0] * len(MEASURES)


def add_figures(sums: Iterable[float], figures: Iterable[float]) -> list[float]:
    """Adds two lists of figures measure by measure."""
    return [a + b for a, b in zip(sums, figures, strict=True)]


@dataclass(slots=True)
class DirectorDifference:
    """One director's differences from its zone's baseline mean, summed over seconds."""

    zone: str = ""
    count: int = 0
    sums: list[float] = field(default_factory=zeros)

    def add(self, zone: str, figures: list[float]) -> None:
        """Adds one second's differences."""
        self.zone = zone
        self.count += 1
        self.sums = add_figures(self.sums, figures)


@dataclass(slots=True)
class BlockStatistics:
    """Mean and squared deviations of closed blocks (Welford), and the open block."""

    count: int = 0
    means: list[float] = field(default_factory=zeros)
    squares: list[float] = field(default_factory=zeros)
    open_seconds: int = 0
    open_sums: list[float] = field(default_factory=zeros)

    def add_second(self, means: list[float]) -> bool:
        """Adds one second's mean differences; returns whether this closed a block."""
        self.open_seconds += 1
        self.open_sums = add_figures(self.open_sums, means)
        if self.open_seconds < BLOCK_SECONDS:
            return False
        self._close()
        return True

    def _close(self) -> None:
        self.count += 1
        for measure, total in enumerate(self.open_sums):
            value = total / BLOCK_SECONDS
            deviation = value - self.means[measure]
            self.means[measure] += deviation / self.count
            self.squares[measure] += deviation * (value - self.means[measure])
        self.open_seconds = 0
        self.open_sums = zeros()

    def standard_error(self, measure: int) -> float:
        """Returns the standard error of a measure's mean; needs two closed blocks."""
        deviation = math.sqrt(self.squares[measure] / (self.count - 1))
        return max(MIN_DEVIATIONS[measure], deviation) / math.sqrt(self.count)


class CanaryAnalysis:
    """The analysis of one wave; `observe` takes each second's status reports."""

    def __init__(
        self, error_level: float, harm_thresholds: tuple[float, float, float, float]
    ) -> None:
        """Detects or rules out differences of `harm_thresholds`, with `error_level` in total."""
        self.tail_level = error_level / len(MEASURES) / 2
        self.harm_thresholds = harm_thresholds
        self.latest: dict[str, tuple[int, int]] = {}  # incarnation and number of the last report
        self.canaries: dict[str, DirectorDifference] = {}
        self.baseline: dict[str, DirectorDifference] = {}
        self.blocks = BlockStatistics()
        self.obstacle = "nothing heard yet"  # why there is no verdict yet
        self.known = Verdict.UNKNOWN
        self.reason = ""

    def observe(
        self,
        samples: Mapping[str, StatusSample],
        canaries: Collection[str],
        baseline: Collection[str],
    ) -> None:
        """Takes one second's status reports.

        Each report counts once: a director whose report is not newer than its last one counts as
        not reporting. A second in which too few canaries report is not evidence of health.
        """
        fresh = self._fresh(samples)
        reporting = [name for name in canaries if name in fresh and fresh[name].proxies]
        if 2 * len(reporting) <= len(canaries):
            self.obstacle = f"{len(reporting)} of {len(canaries)} on trial were heard and in use"
            return
        sums, count = self._compare(fresh, reporting, baseline)
        if 2 * count <= len(canaries):
            compared = f"{count} of {len(canaries)} on trial"
            self.obstacle = f"{compared} have two of like load beside them in their zone"
            return
        if self.blocks.add_second([total / count for total in sums]):
            self.known, self.reason = self._evaluate()
            self.obstacle = self.reason

    def _fresh(self, samples: Mapping[str, StatusSample]) -> dict[str, StatusSample]:
        fresh = {
            name: sample
            for name, sample in samples.items()
            if sample.number
            and (sample.incarnation, sample.number) > self.latest.get(name, (-1, 0))
        }
        for name, sample in fresh.items():
            self.latest[name] = (sample.incarnation, sample.number)
        return fresh

    def _compare(
        self,
        fresh: Mapping[str, StatusSample],
        reporting: list[str],
        baseline: Collection[str],
    ) -> tuple[list[float], int]:
        """Records each director's differences; returns the canaries' sums and their number."""
        sums, count = zeros(), 0
        for zone, (zone_canaries, zone_baseline) in self._by_zone(
            fresh, reporting, baseline
        ).items():
            if len(zone_baseline) < MIN_BASELINE:
                continue
            columns = zip(*(fresh[name].figures for name in zone_baseline), strict=True)
            zone_means = [sum(column) / len(zone_baseline) for column in columns]
            for name in zone_canaries:
                difference = self._record_difference(
                    self.canaries, fresh[name], name, zone, zone_means
                )
                sums, count = add_figures(sums, difference), count + 1
            for name in zone_baseline:
                self._record_difference(self.baseline, fresh[name], name, zone, zone_means)
        return sums, count

    def _by_zone(
        self,
        fresh: Mapping[str, StatusSample],
        reporting: list[str],
        baseline: Collection[str],
    ) -> dict[str, tuple[list[str], list[str]]]:
        """Returns the canaries and the baseline of each zone, including zones without a canary."""
        zones: dict[str, tuple[list[str], list[str]]] = {}
        for name in reporting:
            zones.setdefault(fresh[name].zone, ([], []))[0].append(name)
        load = sum(fresh[name].proxies for name in reporting) / len(reporting)
        for name in baseline:
            if name not in fresh:
                continue
            if load / MAX_LOAD_RATIO <= fresh[name].proxies <= load * MAX_LOAD_RATIO:
                zones.setdefault(fresh[name].zone, ([], []))[1].append(name)
        return zones

    @staticmethod
    def _record_difference(
        table: dict[str, DirectorDifference],
        sample: StatusSample,
        name: str,
        zone: str,
        zone_means: list[float],
    ) -> list[float]:
        difference = [value - base for value, base in zip(sample.figures, zone_means, strict=True)]
        table.setdefault(name, DirectorDifference()).add(zone, difference)
        return difference

    def _director_uncertainty(self) -> tuple[list[float], float]:
        """Returns each measure's standard deviation between directors, and a factor for it.

        The product is the half-width that it adds to the canaries' interval. The factor is infinite
        if too few baseline directors reported.
        """
        max_count = max((difference.count for difference in self.baseline.values()), default=0)
        reporting = [
            difference for difference in self.baseline.values() if 2 * difference.count > max_count
        ]
        zones = count_by_zone(reporting)
        degrees = len(reporting) - len(zones)
        if degrees < MIN_DEGREES_OF_FREEDOM or not self.canaries:
            return zeros(), math.inf
        deviations = [
            math.sqrt(
                sum((difference.sums[measure] / difference.count) ** 2 for difference in reporting)
                / degrees
            )
            for measure in range(len(MEASURES))
        ]
        share = sum(
            (count / len(self.canaries)) ** 2 * (1 / count + 1 / max(1, zones.get(zone, 0)))
            for zone, count in count_by_zone(self.canaries.values()).items()
        )
        return deviations, student_quantile(self.tail_level, degrees) * math.sqrt(share)

    def bounds(self) -> list[tuple[float, float]]:
        """Returns the confidence interval of each measure's difference, unbounded without data."""
        deviations, factor = self._director_uncertainty()
        mean_bound = anytime_bound(self.tail_level, self.blocks.count)
        if math.isinf(mean_bound) or math.isinf(factor):
            return [(-math.inf, math.inf)] * len(MEASURES)
        intervals = []
        for measure, mean in enumerate(self.blocks.means):
            standard_error = self.blocks.standard_error(measure)
            width = mean_bound * standard_error + factor * deviations[measure]
            intervals.append((mean - width, mean + width))
        return intervals

    def verdict(self) -> tuple[Verdict, str]:
        """Returns the verdict so far and its reason, or `UNKNOWN` and what is missing."""
        if self.known:
            return self.known, self.reason
        return Verdict.UNKNOWN, f"not enough heard: {self.obstacle}"

    def _evaluate(self) -> tuple[Verdict, str]:
        bounds = self.bounds()
        for name, (low, high), harm in zip(MEASURES, bounds, self.harm_thresholds, strict=True):
            if low > TOLERATED_SHARE * harm:
                reason = f"{name} is higher by {low:.4f} to {high:.4f} than at the rest"
                return Verdict.HARM, reason
        if all(high < harm for (_, high), harm in zip(bounds, self.harm_thresholds, strict=True)):
            return Verdict.FINE, f"no difference over {self.blocks.count} blocks"
        worst = max(range(len(MEASURES)), key=lambda n: bounds[n][1] / self.harm_thresholds[n])
        highest = f"{MEASURES[worst]} may be higher by up to {bounds[worst][1]:.4f}"
        return Verdict.UNKNOWN, f"after {self.blocks.count} blocks {highest}"


def count_by_zone(differences: Iterable[DirectorDifference]) -> dict[str, int]:
    """Counts directors by zone."""
    counts: dict[str, int] = {}
    for difference in differences:
        counts[difference.zone] = counts.get(difference.zone, 0) + 1
    return counts
