"""Load reports, aggregated by zone and host and passed on at a limited rate, oldest first.

Does no I/O. Waiting reports are merged, so that memory is bounded by hosts x proxies and proxies x
classes, and no request is counted twice. `report_weighting` limits the influence of each proxy's
reports.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from ironfall.decisions.events import EventKind
from ironfall.decisions.time_units import SECOND
from ironfall.director.recorded_batches import RecordedCall
from ironfall.director.report_weighting import (
    DownstreamReport,
    ProxyClass,
    ReportWeighting,
    UpstreamReport,
    merge_reports,
)

MAX_UNMERGED_PERIODS = 4
"""Number of periods of a host's reports at which they are merged."""

MAX_REPORTED_REQUESTS = 10_000_000
"""The largest number of requests in one line of a load report."""

MAX_REPORTED_LATENCY_US = 1e13
"""The largest sum of latencies in one line of a load report, in microseconds."""


class ZoneHost(NamedTuple):
    """A zone's number and a host's id."""

    zone: int
    host: bytes


@dataclass(slots=True)
class ZoneReport:
    """The reports of a zone's proxies about a host.

    Attributes:
        begins: The start of the covered time, in ticks.
        ends: The end of the covered time, in ticks.
        by_proxy: The reports, by proxy.
        later_periods: The reports of later periods, which ended while this one waited.
    """

    begins: int
    ends: int
    by_proxy: dict[int, UpstreamReport] = field(default_factory=dict)
    later_periods: list[dict[int, UpstreamReport]] = field(default_factory=list)

    @property
    def attempts(self) -> int:
        """The number of attempts of all proxies and periods."""
        periods = (self.by_proxy, *self.later_periods)
        return sum(report.attempts for period in periods for report in period.values())

    def append(self, other: "ZoneReport") -> None:
        """Appends a later period.

        Periods are merged when they are passed on: merging those of all hosts of a large fleet at
        once would delay a batch.
        """
        self.begins = min(self.begins, other.begins)
        self.ends = max(self.ends, other.ends)
        self.later_periods.append(other.by_proxy)
        if len(self.later_periods) >= MAX_UNMERGED_PERIODS:
            self.merge_periods()

    def add(self, proxy: int, report: UpstreamReport) -> None:
        """Adds one proxy's report."""
        if proxy in self.by_proxy:
            self.by_proxy[proxy].add(report)
        else:
            self.by_proxy[proxy] = report

    def merge_periods(self) -> dict[int, UpstreamReport]:
        """Merges all periods into the first; returns the reports by proxy."""
        for period in self.later_periods:
            for proxy, report in period.items():
                self.add(proxy, report)
        self.later_periods = []
        return self.by_proxy


ReportKey = ZoneHost | ProxyClass
ReadyReport = ZoneReport | DownstreamReport


class ReportAggregation:
    """The reports of the current period, and those of ended periods that wait.

    Attributes:
        upstream: The current period's reports, by zone and host.
        downstream: The current period's reports, by proxy and request class.
        ready: Reports of ended periods, oldest first.
        next_ready_at: When the current period ends, in ticks.
    """

    def __init__(self, now: int, period: int, entries_per_second: float) -> None:
        """`period` in ticks; `entries_per_second`: the rate at which reports are passed on."""
        self.period = period
        self.entries_per_tick = entries_per_second / SECOND
        self.upstream: OrderedDict[ZoneHost, ZoneReport] = OrderedDict()
        self.downstream: OrderedDict[ProxyClass, DownstreamReport] = OrderedDict()
        self.ready: OrderedDict[ReportKey, ReadyReport] = OrderedDict()
        self.weighting = ReportWeighting()
        self.next_ready_at = now + period
        self._credit = 0.0
        self._credited_at = now

    def on_proxy_joined(self, proxy: int, requests_per_second: float) -> None:
        """Stores the usual request rate of a proxy, as stated when it joined."""
        self.weighting.on_proxy_joined(proxy, requests_per_second * self.period / SECOND)

    def on_proxy_left(self, proxy: int) -> None:
        """Drops a proxy's downstream reports, as its number may be reused; keeps upstream ones."""
        self.weighting.on_proxy_left(proxy)
        for key in [key for key in self.downstream if key.proxy == proxy]:
            del self.downstream[key]
        for ready in [k for k in self.ready if isinstance(k, ProxyClass) and k.proxy == proxy]:
            del self.ready[ready]

    def add_upstream(
        self, now: int, covers: int, proxy: int, key: ZoneHost, report: UpstreamReport
    ) -> None:
        """Adds a proxy's report about a host that covers the last `covers` ticks."""
        self.weighting.on_report(proxy, report)
        zone_report = self.upstream.get(key)
        if zone_report is None:
            self.upstream[key] = ZoneReport(now - covers, now, {proxy: report})
            return
        zone_report.begins = min(zone_report.begins, now - covers)
        zone_report.ends = now
        zone_report.add(proxy, report)

    def add_downstream(self, proxy: int, request_class: int, requests: int, failed: int) -> None:
        """Adds the requests of a class that a proxy received."""
        report = self.downstream.setdefault(ProxyClass(proxy, request_class), DownstreamReport())
        report.add(DownstreamReport(requests, failed))

    def pop_due(self, now: int) -> list[tuple[ReportKey, ReadyReport]]:
        """Removes and returns the reports that may be passed on now, oldest first."""
        if now >= self.next_ready_at:
            self._end_period(now)
        earned = (now - self._credited_at) * self.entries_per_tick
        self._credit = min(self.entries_per_tick * self.period, self._credit + earned)
        self._credited_at = now
        due = []
        while self.ready and self._credit >= 1:
            due.append(self.ready.popitem(last=False))
            self._credit -= 1
        return due

    def calls(self, now: int) -> list[RecordedCall]:
        """Removes the reports that are due and returns them as calls on the decision engine."""
        return [_as_call(key, report) for key, report in self.pop_due(now)]

    def _end_period(self, now: int) -> None:
        by_proxy = [report.by_proxy for report in self.upstream.values()]
        self.weighting.end_period(by_proxy, self.downstream)
        # Waiting reports of earlier periods stay in front.
        for zone_host, zone_report in self.upstream.items():
            waiting = self.ready.setdefault(zone_host, zone_report)
            if waiting is not zone_report:
                assert isinstance(waiting, ZoneReport)
                waiting.append(zone_report)
        for proxy_class, downstream in self.downstream.items():
            earlier = self.ready.setdefault(proxy_class, downstream)
            if earlier is not downstream:
                assert isinstance(earlier, DownstreamReport)
                earlier.add(downstream)
        self.upstream.clear()
        self.downstream.clear()
        self.next_ready_at = now + self.period


def _as_call(key: ReportKey, report: ReadyReport) -> RecordedCall:
    if isinstance(report, DownstreamReport):
        return [EventKind.REQUEST_REPORT, *key, report.requests, report.failed]
    merged = merge_reports(report.merge_periods().values())
    succeeded = merged.attempts - merged.failed
    latency = round(merged.total_latency / succeeded) if succeeded else 0
    covers = report.ends - report.begins
    counts = (merged.attempts, merged.failed, latency, covers, merged.gauges)
    return [EventKind.UPSTREAM_REPORT, *key, *counts]


def is_plausible(attempts: int, failed: int, total_latency_us: float) -> bool:
    """Whether the figures of a line in a proxy's report are possible; other lines are skipped."""
    if not 0 <= failed <= attempts <= MAX_REPORTED_REQUESTS:
        return False
    return math.isfinite(total_latency_us) and 0 <= total_latency_us < MAX_REPORTED_LATENCY_US
