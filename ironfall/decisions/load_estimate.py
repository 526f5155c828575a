"""Estimates the load on the fleet, and by how much it exceeds what the fleet can sustain."""

from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.interface import ServiceSettings
from ironfall.decisions.records import REQUESTS_IN_FLIGHT, Host
from ironfall.decisions.report_clock import ReportClock
from ironfall.decisions.time_units import SECOND

# Factor by which the best latency grows with each update, so that it follows a fleet that becomes
# slower.
BEST_LATENCY_GROWTH = 1.005
# Factor by which the best throughput decays with each update.
BEST_THROUGHPUT_DECAY = 0.98
# Share of the best throughput that is considered sustainable.
SUSTAINABLE_SHARE = 0.85
# Share of the slack in the latency objective that queueing may use before the fleet counts as
# overloaded.
QUEUEING_SHARE = 0.35
# The slack is at least the latency objective divided by this.
MIN_SLACK_DIVISOR = 4
# The mix of traffic classes is measured above this many requests per second.
MIN_REQUEST_RATE = 1
# Gauges are used once this many report intervals have passed since the start.
GAUGE_WARM_UP_INTERVALS = 5
# The queueing time derived from gauges is capped at this multiple of the excess latency.
MAX_GAUGE_EXCESS = 3


class LoadEstimate:
    """The load on the fleet, as of the last update.

    Attributes:
        overload: Queueing time in proportion to the share of the latency objective's slack that it
            may use; the fleet is overloaded above 1.
        request_rate: Requests per second from this director's proxies.
        work_rate: Work per second from this director's proxies.
        latency_objective: Mean latency objective, weighted by the current mix of traffic classes.
        best_latency: Lowest recent latency, an estimate of latency without queueing.
        recent_latency: Mean latency of recent successes; 0 while there are none.
        sustainable_share: Share of the requests that the fleet is known to sustain.
        peer_load_factor: Number of proxies of all directors, divided by that of this director.
    """

    def __init__(
        self, fleet: FleetState, report_clock: ReportClock, settings: ServiceSettings
    ) -> None:
        self.fleet = fleet
        self.report_clock = report_clock
        self.gauges_count_running_requests = REQUESTS_IN_FLIGHT in settings.gauges
        self.total_proxies = max(1, settings.proxies)
        classes = fleet.traffic_classes
        self.latency_objective = sum(c.work for c in classes) / len(classes)
        self.best_latency = self.latency_objective / 2
        self.best_throughput = 0.0
        self.recent_latency = 0.0
        self.overload = 0.0
        self.request_rate = 0.0
        self.work_rate = 0.0
        self.sustainable_share = 0.0
        self.peer_load_factor = 1.0

    def update_peer_load_factor(self) -> None:
        """Updates the ratio of all proxies to this director's proxies."""
        self.peer_load_factor = self.total_proxies / max(1, len(self.fleet.proxies))

    def update(self, now: int) -> None:
        """Updates the estimate from the latest measurements."""
        serving = self.fleet.serving_hosts()
        self._update_latency(serving)
        self._update_overload(now, serving)
        self._update_rates()
        self._update_sustainable_share(serving)

    def _update_latency(self, serving: list[Host]) -> None:
        mass = sum(h.recent_latency.mass for h in serving) or 1.0
        total = sum(h.recent_latency.value * h.recent_latency.mass for h in serving)
        self.recent_latency = total / mass
        measured = self.recent_latency or self.latency_objective / 2
        self.best_latency = min(measured, BEST_LATENCY_GROWTH * self.best_latency)

    def _update_overload(self, now: int, serving: list[Host]) -> None:
        excess_latency = max(0.0, self.recent_latency - self.best_latency)
        slack = max(
            self.latency_objective - self.best_latency, self.latency_objective / MIN_SLACK_DIVISOR
        )
        self.overload = self._queueing_time(now, serving, excess_latency) / (QUEUEING_SHARE * slack)

    def _queueing_time(self, now: int, serving: list[Host], excess_latency: float) -> float:
        """Returns the mean time that a request waits in queues.

        Gauges show queueing earlier than latencies do. If latencies are high with little queueing,
        the network is slow, and shedding load wouldn't help.
        """
        gauged = [h for h in serving if self.report_clock.has_recent_gauge(now, h)]
        if 2 * len(gauged) < len(serving):
            return excess_latency
        if self.report_clock.is_starting(now, GAUGE_WARM_UP_INTERVALS):
            return excess_latency
        throughput = sum(h.successes_per_second for h in gauged) * self.peer_load_factor or 1.0
        queueing_time = SECOND * sum(h.in_flight for h in gauged) / throughput
        if self.gauges_count_running_requests:
            queueing_time -= self.best_latency
        return max(0.0, min(MAX_GAUGE_EXCESS * excess_latency, queueing_time))

    def _update_rates(self) -> None:
        classes = self.fleet.traffic_classes
        self.request_rate = sum(c.request_rate for c in classes)
        self.work_rate = sum(c.request_rate * c.work for c in classes)
        if self.request_rate > MIN_REQUEST_RATE:
            self.latency_objective = self.work_rate / self.request_rate

    def _update_sustainable_share(self, serving: list[Host]) -> None:
        weight = sum(h.weight for h in serving) or 1.0
        throughput = sum(h.successes_per_second for h in serving) / weight
        self.best_throughput = max(BEST_THROUGHPUT_DECAY * self.best_throughput, throughput)
        sustainable = SUSTAINABLE_SHARE * self.best_throughput * weight
        self.sustainable_share = sustainable / (self.request_rate or 1.0)
