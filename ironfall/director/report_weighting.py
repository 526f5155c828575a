"""Limits how far one proxy's load reports count, by what the other proxies report. Pure.

No value here is tuned:

- A proxy names its usual rate when it joins. Beyond that it counts for no more than all others
  together.
- Where the others sent as much as it did, none of its figures (failure share, latency, a gauge)
  counts for more than the largest of another proxy at any host. Of a host that several report, it
  weighs no more than the next one.
- The dominant reporter, which by its rate at joining carries most of the traffic, is believed; so
  is one that is alone.

Two proxies that report the same false figures can't be told from two that are right.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

FAILURE_SHARE = "share"
MEAN_LATENCY = "took"
"""Names of the two figures that every report has; the others are the names of its gauges."""

MIN_CLASS_REPORTERS = 3
"""Reports of a request class below this number don't tell which of them is too large."""

Bounds = dict[str, float]
"""The largest value that counts, by the name of the figure."""


class ProxyClass(NamedTuple):
    """A proxy and a request class, by their numbers."""

    proxy: int
    request_class: int


@dataclass(slots=True)
class UpstreamReport:
    """What one proxy, or several together, saw at a host.

    Attributes:
        attempts: The requests sent to the host.
        failed: Those of them that failed.
        total_latency: Of all that succeeded together, in ticks.
        gauges: The host's newest gauges, by name.
        is_dominant: Whether the dominant reporter of a period had a part in it.
    """

    attempts: int = 0
    failed: int = 0
    total_latency: float = 0.0
    gauges: dict[str, float] = field(default_factory=dict)
    is_dominant: bool = False

    @property
    def failure_share(self) -> float:
        """The share of attempts that failed; there must be any."""
        return self.failed / self.attempts

    @property
    def mean_latency(self) -> float:
        """The mean of all that succeeded, in ticks; 0 if none did."""
        succeeded = self.attempts - self.failed
        return self.total_latency / succeeded if succeeded > 0 else 0.0

    def add(self, other: "UpstreamReport") -> None:
        """Adds a later report: counts add up, and its gauges replace those here."""
        self.attempts += other.attempts
        self.failed += other.failed
        self.total_latency += other.total_latency
        self.is_dominant = self.is_dominant or other.is_dominant
        self.gauges.update(other.gauges)

    def rescale(self, attempts: int, failure_share: float, mean_latency: float) -> None:
        """Replaces the counts by ones that have this number, share and mean."""
        self.attempts = attempts
        self.failed = round(failure_share * attempts)
        self.total_latency = mean_latency * (self.attempts - self.failed)

    def limit(self, bounds: Bounds) -> None:
        """Lowers each figure to its bound."""
        failure_share = min(self.failure_share, bounds.get(FAILURE_SHARE, 1.0))
        mean_latency = min(self.mean_latency, bounds.get(MEAN_LATENCY, self.mean_latency))
        self.rescale(self.attempts, failure_share, mean_latency)
        self.gauges = {
            name: min(value, bounds.get(name, value)) for name, value in self.gauges.items()
        }


@dataclass(slots=True)
class DownstreamReport:
    """Requests of one class that came to a proxy.

    Attributes:
        requests: All of them.
        failed: Those that did not succeed.
    """

    requests: int = 0
    failed: int = 0

    def add(self, other: "DownstreamReport") -> None:
        """Adds a later report."""
        self.requests += other.requests
        self.failed += other.failed


def merge_reports(reports: Iterable[UpstreamReport]) -> UpstreamReport:
    """Merges what all proxies saw at one host.

    No proxy's failure share and latency weigh more than those of the one with the second most
    attempts, except the dominant reporter's. Of each gauge the lower median counts.
    """
    used = [report for report in reports if report.attempts > 0]
    if not used:
        return UpstreamReport()
    if len(used) == 1:
        return used[0]
    second_most = sorted([report.attempts for report in used])[-2]
    attempts, weight = 0, 0
    failed, succeeded, latency = 0.0, 0.0, 0.0
    gauges: dict[str, list[float]] = {}
    # One pass: a large fleet has hundreds of reports for each host.
    for report in used:
        own = report.attempts
        counts_fully = own <= second_most or report.is_dominant
        share = 1.0 if counts_fully else second_most / own
        attempts += own
        weight += own if counts_fully else second_most
        failed += share * report.failed
        succeeded += share * (own - report.failed)
        latency += share * report.total_latency
        for name, value in report.gauges.items():
            gauges.setdefault(name, []).append(value)
    merged = UpstreamReport(attempts, round(attempts * failed / weight))
    if succeeded:
        merged.total_latency = latency / succeeded * (attempts - merged.failed)
    merged.gauges = {name: _lower_median(gauges[name]) for name in sorted(gauges)}
    return merged


def _lower_median(values: list[float]) -> float:
    return sorted(values)[(len(values) - 1) // 2]


class _Volume(NamedTuple):
    """How a proxy's volume in a period counts."""

    share: float  # the part of it that counts
    is_dominant: bool


class ReportWeighting:
    """Bounds on each proxy's reports, kept up to date as they come in.

    At the end of a period only the reports of those few proxies are visited that are beyond a
    bound.
    """

    def __init__(self) -> None:
        self._usual_volume: dict[int, float] = {}
        self._volume: dict[int, int] = {}
        self._largest: dict[int, dict[str, float]] = {}

    def on_proxy_joined(self, proxy: int, requests_per_period: float) -> None:
        """`requests_per_period`: what it usually serves, as it said when it joined."""
        self._usual_volume[proxy] = requests_per_period

    def on_proxy_left(self, proxy: int) -> None:
        """Forgets the usual volume of a proxy."""
        self._usual_volume.pop(proxy, None)

    def on_report(self, proxy: int, report: UpstreamReport) -> None:
        """Takes a report into the figures of the current period."""
        if report.attempts <= 0:
            return
        self._volume[proxy] = self._volume.get(proxy, 0) + report.attempts
        largest = self._largest.get(proxy)
        if largest is None:
            largest = self._largest[proxy] = {FAILURE_SHARE: 0.0, MEAN_LATENCY: 0.0}
        largest[FAILURE_SHARE] = max(largest[FAILURE_SHARE], report.failure_share)
        largest[MEAN_LATENCY] = max(largest[MEAN_LATENCY], report.mean_latency)
        for name, value in report.gauges.items():
            if value > largest.get(name, -1.0):
                largest[name] = value

    def end_period(
        self,
        upstream: Collection[dict[int, UpstreamReport]],
        downstream: dict[ProxyClass, DownstreamReport],
    ) -> None:
        """Lowers the reports of a period to what the other proxies' reports support.

        `upstream`: for each host and zone, the reports by proxy.
        """
        bounds = self._bounds_by_proxy()
        for proxy, volume in self._count_volumes(self._volume).items():
            own_bounds = {} if volume.is_dominant else bounds.get(proxy, {})
            if volume.share == 1 and not volume.is_dominant and not own_bounds:
                continue
            for by_proxy in upstream:
                report = by_proxy.get(proxy)
                if report is not None and report.attempts > 0:
                    _weigh(report, volume, own_bounds)
        self._volume = {}
        self._largest = {}
        self._weigh_downstream(downstream)

    def _count_volumes(self, volumes: dict[int, int]) -> dict[int, _Volume]:
        # Who has reported nothing in this period counts with its usual volume: otherwise the first
        # would be alone.
        total = sum((self._usual_volume | volumes).values())
        counted = {}
        for proxy, own in volumes.items():
            others = total - own
            counts = float(own)
            if others:
                counts = min(own, max(self._usual_volume.get(proxy, 0.0), others))
            counted[proxy] = _Volume(counts / own if own else 1.0, counts > others)
        return counted

    def _bounds_by_proxy(self) -> dict[int, Bounds]:
        """Of each figure in which one proxy is beyond all others, the largest value of another.

        A failure share is bounded only if at least two others reported.
        """
        bounds: dict[int, Bounds] = {}
        for name in sorted({name for largest in self._largest.values() for name in largest}):
            values = sorted(
                (largest[name], proxy)
                for proxy, largest in self._largest.items()
                if name in largest
            )
            others_needed = 2 if name == FAILURE_SHARE else 1
            if len(values) > others_needed and values[-1][0] > values[-2][0]:
                bounds.setdefault(values[-1][1], {})[name] = values[-2][0]
        return bounds

    def _weigh_downstream(self, downstream: dict[ProxyClass, DownstreamReport]) -> None:
        totals: dict[int, int] = {}
        for key, report in downstream.items():
            totals[key.proxy] = totals.get(key.proxy, 0) + report.requests
        volumes = self._count_volumes(totals)
        for key, report in downstream.items():
            share = volumes[key.proxy].share
            if share < 1:
                failure_share = report.failed / max(1, report.requests)
                report.requests = round(report.requests * share)
                report.failed = round(report.requests * failure_share)
        for request_class in sorted({key.request_class for key in downstream}):
            self._limit_failures(request_class, downstream, volumes)

    @staticmethod
    def _limit_failures(
        request_class: int,
        downstream: dict[ProxyClass, DownstreamReport],
        volumes: dict[int, _Volume],
    ) -> None:
        """Lowers a class's largest failure share to the second largest if enough proxies report."""
        reports = [
            (key.proxy, report)
            for key, report in downstream.items()
            if key.request_class == request_class and report.requests
        ]
        bound = 1.0
        if len(reports) >= MIN_CLASS_REPORTERS:
            bound = sorted(report.failed / report.requests for _, report in reports)[-2]
        for proxy, report in reports:
            if not volumes[proxy].is_dominant:
                report.failed = min(report.failed, round(bound * report.requests))


def _weigh(report: UpstreamReport, volume: _Volume, bounds: Bounds) -> None:
    report.is_dominant = volume.is_dominant
    if volume.share < 1:
        attempts = max(1, round(report.attempts * volume.share))
        report.rescale(attempts, report.failure_share, report.mean_latency)
    if bounds:
        report.limit(bounds)
