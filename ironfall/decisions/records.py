"""One director's records of hosts, proxies, traffic classes and the paths between zones."""

import math
from collections import Counter
from dataclasses import dataclass, field

from ironfall.decisions.time_units import SECOND

Gauges = dict[str, float]

# Names of the gauges that hosts report.
REQUESTS_IN_FLIGHT = "rif"
QUEUE_LENGTH = "q"
LATENCY_MS = "lat_ms"

INITIAL_BACKOFF = 5 * SECOND
MAX_BACKOFF = 60 * SECOND
# A time so far in the past that it affects no current measurement.
LONG_AGO = -10 * MAX_BACKOFF
# Number of samples at which a measured failure rate gets half of the weight, against a prior of 0.
SUCCESS_PRIOR_MASS = 4


@dataclass(slots=True)
class DecayedMean:
    """A weighted mean. Callers decay its mass, so that older samples have less weight.

    It is never outside the range of the samples added since its mass was last 0.
    """

    value: float = 0.0
    mass: float = 0.0

    def add(self, value: float, mass: float) -> None:
        """Adds samples with the given mean value and total mass."""
        if mass <= 0:
            return
        if self.mass <= 0:
            # A mean without mass has no value, whatever it was before.
            self.value = value
        low, high = min(self.value, value), max(self.value, value)
        self.mass += mass
        mean = self.value + (value - self.value) * mass / self.mass
        # Where the old mass is negligible, rounding may move the mean beyond the new samples.
        self.value = min(high, max(low, mean))

    def success_rate(self) -> float:
        """Returns the success rate of a mean of failures; with few samples it is close to 1."""
        return 1 - self.value * self.mass / (self.mass + SUCCESS_PRIOR_MASS)


@dataclass(slots=True, eq=False)
class Host:
    """A host of the endpoint list, with its measurements and the decisions about it.

    Attributes:
        id: Its six-byte address.
        zone: Number of its zone.
        started_at: Clock time of its last start; 0 if it started long ago.
        weight: Learned weight, proportional to the load that it can carry.
        failure_rates: Share of failed attempts, by zone of the proxies.
        excluded_until: By traffic class, the time until which its tables exclude the host.
        published_weights: By table, the weight last sent; 0 if the table doesn't contain it.
        shard: The shard of the fleet whose tables may contain the host.
        is_ready: Whether the endpoint list has it as ready.
        is_withdrawn: Whether it is withdrawn from all tables.
        is_silent: Whether it was ejected because successful responses stopped.
        withdrawn_at: When it was last withdrawn.
        last_ready_at: When it was last listed as ready.
        retry_at: When it may return after an ejection.
        backoff: Length of its next ejection.
        slow_start_since: Start of its recovery ramp.
        evidence_since: Attempts before this time don't count as failures of the host.
        latency: Latency of successes without queueing, smoothed over a long time.
        recent_latency: Latency of recent successes.
        successes_per_second: Rate of successes, from this director's proxies.
        last_success_at: Time of the last report with a success; 0 if there was none.
        in_flight: Requests queued or running, from all proxies, by the host's own gauge.
        gauged_at: When `in_flight` was read.
        slowness_factor: Factor that reduces its weight while its latency is raised; 1 for none.
        min_weight: Lower bound of the learned weight, set by operators.
        max_weight: Upper bound of the learned weight, set by operators.
    """

    id: bytes
    zone: int
    started_at: int
    weight: float
    failure_rates: list[DecayedMean]
    excluded_until: list[int]
    published_weights: list[float]
    shard: int = 0
    is_ready: bool = True
    is_withdrawn: bool = False
    is_silent: bool = False
    withdrawn_at: int = 0
    last_ready_at: int = 0
    retry_at: int = 0
    backoff: int = INITIAL_BACKOFF
    slow_start_since: int = LONG_AGO
    evidence_since: int = LONG_AGO
    latency: DecayedMean = field(default_factory=DecayedMean)
    recent_latency: DecayedMean = field(default_factory=DecayedMean)
    successes_per_second: float = 0.0
    last_success_at: int = 0
    in_flight: float = 0.0
    gauged_at: int = -MAX_BACKOFF
    slowness_factor: float = 1.0
    min_weight: float = 0.0
    max_weight: float = 1e6

    def read_gauges(self, now: int, gauges: Gauges) -> None:
        """Updates the number of requests in flight, if the gauges contain it."""
        if REQUESTS_IN_FLIGHT in gauges or QUEUE_LENGTH in gauges:
            self.in_flight = gauges.get(REQUESTS_IN_FLIGHT, gauges.get(QUEUE_LENGTH, 0.0))
            self.gauged_at = now

    def set_weight_bounds(self, min_weight: float, max_weight: float) -> None:
        """Sets the bounds of the learned weight, and clamps the weight to them."""
        self.min_weight = min_weight
        self.max_weight = max_weight
        self.weight = min(max_weight, max(min_weight, self.weight))

    def discard_evidence(self, now: int) -> None:
        """Discards the failures and successes of all attempts up to now."""
        self.evidence_since = now
        self.last_success_at = 0
        self.failure_rates = [DecayedMean() for _ in self.failure_rates]

    def restart(self, now: int, started_at: int) -> None:
        """Resets the record for a new process, to which earlier measurements don't apply."""
        self.is_ready = True
        self.started_at = started_at
        self.backoff = INITIAL_BACKOFF
        self.retry_at = now
        self.slow_start_since = now
        self.latency.mass = 0.0
        self.recent_latency.mass = 0.0
        self.successes_per_second = 0.0
        self.in_flight = 0.0
        self.discard_evidence(now)


# The table number of a proxy that still uses the hosts it had when it connected.
UNASSIGNED = -1


@dataclass(slots=True)
class Proxy:
    """A connected proxy.

    Attributes:
        zone: Number of its zone.
        joined_at: When it connected.
        request_rate: Requests per second, as measured.
        tables: By traffic class, the table it is assigned to, or `UNASSIGNED`.
        shard: The shard of the fleet whose tables it uses.
        usual_request_rate: Requests per second, as the proxy stated when it connected.
        is_desynchronized: Whether its tables don't match the published ones.
        resynchronized_at: When it was last sent all of its tables again for that reason.
    """

    zone: int
    joined_at: int
    request_rate: float
    tables: list[int]
    shard: int = 0
    usual_request_rate: float = 0.0
    is_desynchronized: bool = False
    resynchronized_at: int = -MAX_BACKOFF

    def is_unassigned(self) -> bool:
        """Returns whether the first traffic class has no table assigned."""
        return self.tables[0] == UNASSIGNED

    def is_partly_unassigned(self) -> bool:
        """Returns whether any traffic class has no table assigned."""
        return UNASSIGNED in self.tables


@dataclass(slots=True)
class TrafficClass:
    """A class of requests, and its admission.

    Attributes:
        value_per_work: Priority weight per unit of work; load is shed in ascending order of it.
        work: Work of a request; its latency objective is used as the estimate.
        max_attempts: Maximum attempts per request that can't make a request take effect twice.
        is_zone_local: Whether its requests may only go to hosts in the proxy's own zone.
        request_rate: Requests per second.
        failure_rate: Share of failed requests.
        admitted_share: Share of the requests that proxies admit.
        attempts: Attempts that proxies may make per request.
    """

    value_per_work: float
    work: float
    max_attempts: int
    is_zone_local: bool
    request_rate: float = 0.0
    failure_rate: DecayedMean = field(default_factory=DecayedMean)
    admitted_share: float = 1.0
    attempts: int = 1


@dataclass(slots=True)
class ZonePath:
    """What the proxies of one zone measure at the hosts of the same or another zone.

    Attributes:
        failure_rate: Share of failed attempts.
        latency: Latency of successes.
        unanswered_attempts: By host, the attempts since any host of the zone last succeeded.
        is_partitioned: Whether the network between the zones is considered partitioned.
    """

    failure_rate: DecayedMean = field(default_factory=DecayedMean)
    latency: DecayedMean = field(default_factory=DecayedMean)
    unanswered_attempts: Counter[bytes] = field(default_factory=Counter)
    is_partitioned: bool = False

    def timely_success_rate(self, latency_objective: float) -> float:
        """Estimates the share of requests that succeed within the latency objective."""
        late_share = (
            math.exp(-latency_objective / self.latency.value) if self.latency.value else 0.0
        )
        return self.failure_rate.success_rate() * (
            1 - late_share * self.latency.mass / (self.latency.mass + 1)
        )

    def reset_measurements(self) -> None:
        """Discards the measurements, which a partition made useless."""
        self.failure_rate = DecayedMean()
        self.latency = DecayedMean()
