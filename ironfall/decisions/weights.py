"""Adapts the weights of hosts to their measured latencies."""

from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.load_estimate import LoadEstimate
from ironfall.decisions.records import Host
from ironfall.decisions.report_clock import ReportClock
from ironfall.decisions.time_units import SECOND

# Minimum numbers of successes for a host's recent latency and for its smoothed latency to be used.
MIN_RECENT_MASS = 3
MIN_LATENCY_MASS = 20
# The requests in flight at a host are divided by at least this rate of successes.
MIN_SUCCESSES_PER_SECOND = 2.0
# A host's weight is reduced in proportion once its latency, multiplied by its weight, is above this
# multiple of the lower quartile of all hosts.
SLOWNESS_TOLERANCE = 1.6
MIN_SLOWNESS_FACTOR = 0.2
SLOWNESS_GAIN = 0.4
# Weights are only learned below this overload; above it, latency mostly reflects queueing.
MAX_LEARNING_OVERLOAD = 0.5
# Smaller relative errors of a weight are noise.
MIN_RELATIVE_ERROR = 0.2
# The error is divided by this for one step, and the factor of a step is bounded.
ERROR_DIVISOR = 5
MIN_WEIGHT_STEP = 0.9
MAX_WEIGHT_STEP = 1.1


class WeightLearner:
    """Adapts the learned weights, and reduces the load on hosts whose latency has just risen."""

    def __init__(self, fleet: FleetState, load: LoadEstimate, report_clock: ReportClock) -> None:
        self.fleet = fleet
        self.load = load
        self.report_clock = report_clock

    def update(self, now: int) -> None:
        """Adapts the weights of all hosts to the latest measurements."""
        self._update_slowness_factors(now)
        self._update_weights()

    def _update_slowness_factors(self, now: int) -> None:
        """Reacts to hosts that have become slow, sooner than the smoothed latency would."""
        latencies = {}
        for host in self.fleet.hosts.values():
            if host.is_ready and host.recent_latency.mass > MIN_RECENT_MASS:
                latencies[host.id] = self._weighted_latency(now, host)
        lower_quartile = sorted(latencies.values())[len(latencies) // 4] if latencies else 0.0
        for host in self.fleet.hosts.values():
            target = 1.0
            if host.id in latencies:
                factor = SLOWNESS_TOLERANCE * lower_quartile / latencies[host.id]
                target = min(1.0, max(MIN_SLOWNESS_FACTOR, factor))
            host.slowness_factor += SLOWNESS_GAIN * (target - host.slowness_factor)

    def _weighted_latency(self, now: int, host: Host) -> float:
        """Returns the latency that a request has at a host now, multiplied by its weight."""
        queueing_time = 0.0
        if self.report_clock.has_recent_gauge(now, host):
            queueing_time = (
                SECOND * host.in_flight / max(MIN_SUCCESSES_PER_SECOND, host.successes_per_second)
            )
        return (host.recent_latency.value + queueing_time) * host.weight

    def _update_weights(self) -> None:
        """Moves weights towards proportionality to the inverse of latency.

        The rate of successes isn't used: it follows the weight, so weights would reinforce
        themselves.
        """
        measured = [
            h
            for h in self.fleet.hosts.values()
            if h.is_ready
            and h.latency.mass > MIN_LATENCY_MASS
            and self.load.overload < MAX_LEARNING_OVERLOAD
        ]
        speed = sum(1 / h.latency.value for h in measured) or 1.0
        scale = sum(h.weight for h in measured) / speed
        for host in measured:
            target_ratio = scale / host.latency.value / host.weight
            if abs(target_ratio - 1) > MIN_RELATIVE_ERROR:
                step = min(
                    MAX_WEIGHT_STEP, max(MIN_WEIGHT_STEP, 1 + (target_ratio - 1) / ERROR_DIVISOR)
                )
                host.weight = min(host.max_weight, max(host.min_weight, host.weight * step))
