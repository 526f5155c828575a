"""How much load comes to the fleet, and how far it is beyond what the fleet can carry."""

from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.interface import ServiceSettings
from ironfall.decisions.records import REQUESTS_IN_FLIGHT, Host
from ironfall.decisions.report_clock import ReportClock
from ironfall.decisions.time_units import SECOND

# Growth of the best latency with each update, so that it follows a fleet that gets slower.
BEST_LATENCY_GROWTH = 1.005
# Decay of the best throughput with each update.
BEST_THROUGHPUT_DECAY = 0.98
# Share of the best throughput that is taken to be sustainable.
SUSTAINABLE_SHARE = 0.85
# Share of the latency objective's slack that waiting may use up before the fleet is overloaded.
WAITING_SHARE = 0.35
# The slack is never taken to be less than this part of the latency objective.
MIN_SLACK_DIVISOR = 4
# The mix of traffic classes is measured while at least this many requests a second come.
MIN_REQUEST_RATE = 1
# Gauges are relied on once this many report intervals have passed.
GAUGE_WARM_UP_INTERVALS = 5
# Waiting that gauges show is at most this multiple of the waiting that latencies show.
MAX_GAUGE_EXCESS = 3


class LoadEstimate:
    """The load on the fleet, as of the last update.

    Attributes:
        overload: Waiting beside the slack of the latency objective; overloaded above one.
        request_rate: Requests a second from this director's proxies.
        work_rate: Work a second from this director's proxies.
        latency_objective: Mean objective of the mix of traffic classes that comes.
        best_latency: The lowest recent latency, of requests that hardly wait.
        recent_latency: Mean latency of the latest successes; 0 while there are none.
        sustainable_share: Share of the requests that the fleet carried not long ago.
        peer_load_factor: All proxies of the fleet, those of other directors too, by our own.
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
        """Compares the number of all proxies with that of our own."""
        self.peer_load_factor = self.total_proxies / max(1, len(self.fleet.proxies))

    def update(self, now: int) -> None:
        """Estimates the load again from the latest measurements."""
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
        self.overload = self._waiting(now, serving, excess_latency) / (WAITING_SHARE * slack)

    def _waiting(self, now: int, serving: list[Host], excess_latency: float) -> float:
        """Returns the mean time that a request waits.

        Gauges show waiting earlier than latencies do. Where latencies are high with little waiting,
        the network is slow, and shedding load wouldn't help.
        """
        gauged = [h for h in serving if self.report_clock.has_recent_gauge(now, h)]
        if 2 * len(gauged) < len(serving):
            return excess_latency
        if self.report_clock.is_starting(now, GAUGE_WARM_UP_INTERVALS):
            return excess_latency
        throughput = sum(h.successes_per_second for h in gauged) * self.peer_load_factor or 1.0
        waiting = SECOND * sum(h.in_flight for h in gauged) / throughput
        if self.gauges_count_running_requests:
            waiting -= self.best_latency
        return max(0.0, min(MAX_GAUGE_EXCESS * excess_latency, waiting))

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
