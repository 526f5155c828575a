"""Limits the influence of one proxy's load reports by those of the other proxies.

Does no I/O. The limits follow from the reports alone:

- A proxy states its usual request rate when it joins. Beyond that rate its volume counts for no
  more than the volume of all other proxies together.
- If the others sent at least as much, none of its figures (failure share, latency, a gauge) counts
  for more than the largest figure of another proxy at any host. At a host with several reporters it
  weighs no more than the reporter with the second most attempts.
- The figures of the dominant reporter, which carries most of the traffic according to its stated
  rate, are not limited; nor are the reports of a proxy that is alone.

Two proxies that report the same false figures cannot be told from two that are right.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

FAILURE_SHARE = "share"
MEAN_LATENCY = "took"
"""The keys of the two figures in every report; the other keys are names of gauges."""

MIN_CLASS_REPORTERS = 3
"""With fewer reports of a request class it is unknown which of them is too large."""

Bounds = dict[str, float]
"""The upper bound of each figure, by name."""


class ProxyClass(NamedTuple):
    """A proxy and a request class, by their numbers."""

    proxy: int
    request_class: int


@dataclass(slots=True)
class UpstreamReport:
    """The attempts of one proxy, or several proxies together, at a host.

    Attributes:
        attempts: The requests sent to the host.
        failed: Those of them that failed.
        total_latency: The sum over all that succeeded, in ticks.
        gauges: The host's newest gauges, by name.
        is_dominant: Whether it includes a report of a period's dominant reporter.
    """

    attempts: int = 0
    failed: int = 0
    total_latency: float = 0.0
    gauges: dict[str, float] = field(default_factory=dict)
    is_dominant: bool = False

    @property
    def failure_share(self) -> float:
        """The share of attempts that failed; `attempts` must not be 0."""
        return self.failed / self.attempts

    @property
    def mean_latency(self) -> float:
        """The mean latency of all that succeeded, in ticks; 0 if none did."""
        succeeded = self.attempts - self.failed
        return self.total_latency / succeeded if succeeded > 0 else 0.0

    def add(self, other: "UpstreamReport") -> None:
        """Adds a later report: counts are added, gauges are replaced."""
        self.attempts += other.attempts
        self.failed += other.failed
        self.total_latency += other.total_latency
        self.is_dominant = self.is_dominant or other.is_dominant
        self.gauges.update(other.gauges)

    def rescale(self, attempts: int, failure_share: float, mean_latency: float) -> None:
        """Sets the counts to match this number of attempts, failure share and mean latency."""
        self.attempts = attempts
        self.failed = round(failure_share * attempts)
        self.total_latency = mean_latency * (self.attempts - self.failed)

    def limit(self, bounds: Bounds) -> None:
        """Limits each figure to its bound."""
        failure_share = min(self.failure_share, bounds.get(FAILURE_SHARE, 1.0))
        mean_latency = min(self.mean_latency, bounds.get(MEAN_LATENCY, self.mean_latency))
        self.rescale(self.attempts, failure_share, mean_latency)
        self.gauges = {
            name: min(value, bounds.get(name, value)) for name, value in self.gauges.items()
        }


@dataclass(slots=True)
class DownstreamReport:
    """Requests of one class that a proxy received.

    Attributes:
        requests: The number of requests.
        failed: The number of those that failed.
    """

    requests: int = 0
    failed: int = 0

    def add(self, other: "DownstreamReport") -> None:
        """Adds a later report."""
        self.requests += other.requests
        self.failed += other.failed


def merge_reports(reports: Iterable[UpstreamReport]) -> UpstreamReport:
    """Merges the reports of all proxies about one host.

    No proxy's failure share and latency weigh more than those of the proxy with the second most
    attempts, except the dominant reporter's. Each gauge becomes the lower median of its values.
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
    # In one pass, as a large fleet has hundreds of reports for each host.
    for report in used:
        report_attempts = report.attempts
        counts_fully = report_attempts <= second_most or report.is_dominant
        share = 1.0 if counts_fully else second_most / report_attempts
        attempts += report_attempts
        weight += report_attempts if counts_fully else second_most
        failed += share * report.failed
        succeeded += share * (report_attempts - report.failed)
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
    """How much of a proxy's volume in a period counts."""

    share: float  # the part that counts
    is_dominant: bool


class ReportWeighting:
    """Tracks volumes and largest figures per proxy, and limits the reports of a period.

    At the end of a period, only the reports of the few proxies beyond a bound are visited.
    """

    def __init__(self) -> None:
        self._usual_volume: dict[int, float] = {}
        self._volume: dict[int, int] = {}
        self._largest: dict[int, dict[str, float]] = {}

    def on_proxy_joined(self, proxy: int, requests_per_period: float) -> None:
        """Stores the usual volume that a proxy stated when it joined."""
        self._usual_volume[proxy] = requests_per_period

    def on_proxy_left(self, proxy: int) -> None:
        """Removes the usual volume of a proxy."""
        self._usual_volume.pop(proxy, None)

    def on_report(self, proxy: int, report: UpstreamReport) -> None:
        """Adds a report to the figures of the current period."""
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
        """Limits the reports of a period by those of the other proxies.

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
                    _limit_report(report, volume, own_bounds)
        self._volume = {}
        self._largest = {}
        self._limit_downstream(downstream)

    def _count_volumes(self, volumes: dict[int, int]) -> dict[int, _Volume]:
        # Proxies without a report in this period count with their usual volume: otherwise the first
        # to report would count as alone.
        total = sum((self._usual_volume | volumes).values())
        result = {}
        for proxy, volume in volumes.items():
            others = total - volume
            counted_volume = float(volume)
            if others:
                counted_volume = min(volume, max(self._usual_volume.get(proxy, 0.0), others))
            result[proxy] = _Volume(
                counted_volume / volume if volume else 1.0, counted_volume > others
            )
        return result

    def _bounds_by_proxy(self) -> dict[int, Bounds]:
        """Returns, for each figure where one proxy exceeds all others, the second largest value.

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

    def _limit_downstream(self, downstream: dict[ProxyClass, DownstreamReport]) -> None:
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
        """Limits a class's largest failure share to the second largest if enough proxies report."""
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


def _limit_report(report: UpstreamReport, volume: _Volume, bounds: Bounds) -> None:
    report.is_dominant = volume.is_dominant
    if volume.share < 1:
        attempts = max(1, round(report.attempts * volume.share))
        report.rescale(attempts, report.failure_share, report.mean_latency)
    if bounds:
        report.limit(bounds)
