"""Aggregates reports until the event loop takes them. Pure: no I/O.

Reports on the same subject are added up, so that the size of the queue is bounded by hosts times
zones plus proxies times classes. Of a gauge, only the newest value is kept. The reports need no
weighting or pacing here, since the platform has done both.
"""

from typing import Any, NamedTuple

from ironfall.platform.message_parser import RequestReport, UpstreamReport

# The kinds of event that reports become, which are also written to a record of batches.
UPSTREAM_REPORT_EVENT = "heard"
REQUEST_REPORT_EVENT = "arrived"


class UpstreamKey(NamedTuple):
    """Subject of upstream reports that are added up."""

    zone: int
    host: bytes


class RequestKey(NamedTuple):
    """Subject of request reports that are added up.

    Never equal to an `UpstreamKey`: the types of their fields differ.
    """

    proxy: int
    request_class: int


class ReportQueue:
    """Reports for the next batch of events, in the order in which their subjects first arrived.

    Attributes:
        next_ready_at: Clock time at which more reports become ready by themselves: never.
        ready: The aggregated reports, by subject.
    """

    next_ready_at = 1 << 62

    def __init__(self) -> None:
        self.ready: dict[UpstreamKey | RequestKey, UpstreamReport | RequestReport] = {}

    def add_upstream(self, report: UpstreamReport) -> None:
        """Adds a report on the attempts that a zone's proxies sent to a host."""
        key = UpstreamKey(report.zone, report.host)
        waiting = self.ready.get(key)
        if isinstance(waiting, UpstreamReport):
            report = _merge_upstream(waiting, report)
        self.ready[key] = report

    def add_requests(self, report: RequestReport) -> None:
        """Adds a report on the requests that reached a proxy."""
        key = RequestKey(report.proxy, report.request_class)
        waiting = self.ready.get(key)
        if isinstance(waiting, RequestReport):
            report = report._replace(
                requests=waiting.requests + report.requests,
                unserved=waiting.unserved + report.unserved,
            )
        self.ready[key] = report

    def forget_proxy(self, proxy: int) -> None:
        """Drops the request reports of a proxy that has left."""
        for key in list(self.ready):
            if isinstance(key, RequestKey) and key.proxy == proxy:
                del self.ready[key]

    def calls(self, _now: int) -> list[list[Any]]:
        """Removes and returns all reports as calls: an event's name, then its arguments."""
        calls: list[list[Any]] = []
        for report in self.ready.values():
            is_upstream = isinstance(report, UpstreamReport)
            event = UPSTREAM_REPORT_EVENT if is_upstream else REQUEST_REPORT_EVENT
            calls.append([event, *report])
        self.ready = {}
        return calls


def _merge_upstream(first: UpstreamReport, second: UpstreamReport) -> UpstreamReport:
    first_successes = first.attempts - first.failures
    second_successes = second.attempts - second.failures
    successes = first_successes + second_successes
    mean_latency = 0
    if successes:
        total = first.mean_latency * first_successes + second.mean_latency * second_successes
        mean_latency = round(total / successes)
    return UpstreamReport(
        zone=second.zone,
        host=second.host,
        attempts=first.attempts + second.attempts,
        failures=first.failures + second.failures,
        mean_latency=mean_latency,
        interval=first.interval + second.interval,
        gauges={**first.gauges, **second.gauges},
    )
