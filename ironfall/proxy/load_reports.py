"""The outcomes of a proxy's requests and attempts, summed up between two load reports. No I/O."""

from dataclasses import dataclass, field

from ironfall.api.exchange import GAUGE_NAMES
from ironfall.generated import ironfall_pb2 as pb
from ironfall.proxy.environment import TICKS_PER_MS

# Attempts at further hosts between two reports are not reported.
MAX_REPORTED_HOSTS = 5_000

MICROSECONDS_PER_TICK = 100


@dataclass(slots=True)
class UpstreamLoad:
    """The attempts at one host.

    Attributes:
        attempts: All attempts that ended.
        failed: Those that did not succeed.
        success_us: The latency of the successful ones, summed up, in microseconds.
        gauges: The latest gauges that the host sent, by name.
    """

    attempts: int = 0
    failed: int = 0
    success_us: int = 0
    gauges: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class DownstreamLoad:
    """The requests of one class: those that arrived, and those that failed."""

    requests: int = 0
    failed: int = 0


class LoadSums:
    """The load since the last report was made.

    Attributes:
        number: The number of the last report in the session; 0 before the first.
        since: The tick of the last report.
        upstream: The attempts, by host.
        downstream: The requests, by class.
    """

    def __init__(self, now: int, class_count: int) -> None:
        self.class_count = class_count
        self.number = 0
        self._reset(now)

    def on_attempt_ended(
        self, host: str, succeeded: bool, duration: int, gauges: dict[str, float]
    ) -> None:
        """Counts an attempt that took `duration` ticks."""
        load = self.upstream.get(host)
        if load is None:
            if len(self.upstream) >= MAX_REPORTED_HOSTS:
                return
            load = UpstreamLoad()
            self.upstream[host] = load
        load.attempts += 1
        if succeeded:
            load.success_us += duration * MICROSECONDS_PER_TICK
        else:
            load.failed += 1
        if gauges:
            load.gauges = gauges

    def on_request_arrived(self, request_class: int) -> None:
        """Counts a request of a client."""
        self.downstream[request_class].requests += 1

    def on_request_failed(self, request_class: int) -> None:
        """Counts a failure, also that of a request that arrived before the last report."""
        self.downstream[request_class].failed += 1

    def make_report(self, now: int, session: str) -> pb.Sums:
        """Returns the next numbered report and starts the sums of the one after it."""
        self.number += 1
        covers_ms = max(1, (now - self.since) // TICKS_PER_MS)
        report = pb.Sums(session=session, number=self.number, covers_ms=covers_ms)
        for host, upstream in self.upstream.items():
            report.met.append(_encode_upstream(host, upstream))
        for request_class, downstream in enumerate(self.downstream):
            if downstream.requests:
                report.came.append(
                    pb.Came(kind=request_class, came=downstream.requests, lost=downstream.failed)
                )
        self._reset(now)
        return report

    def _reset(self, now: int) -> None:
        self.since = now
        self.upstream: dict[str, UpstreamLoad] = {}
        self.downstream = [DownstreamLoad() for _ in range(self.class_count)]


def _encode_upstream(host: str, load: UpstreamLoad) -> pb.Met:
    gauges = {
        wire_name: load.gauges[name]
        for wire_name, name in GAUGE_NAMES.items()
        if name in load.gauges
    }
    return pb.Met(
        host=host,
        tries=load.attempts,
        failed=load.failed,
        good_us=load.success_us,
        gauges=pb.Gauges(**gauges),
    )
