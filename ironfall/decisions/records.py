"""Records of one director about hosts, proxies, traffic classes and the paths between zones."""

import math
from collections import Counter
from dataclasses import dataclass, field

from ironfall.decisions.time_units import SECOND

Gauges = dict[str, float]

# Gauges by the name under which a host reports them.
REQUESTS_IN_FLIGHT = "rif"
QUEUE_LENGTH = "q"
LATENCY_MS = "lat_ms"

INITIAL_BACKOFF = 5 * SECOND
MAX_BACKOFF = 60 * SECOND
# A time so long ago that nothing measured since then is affected by it.
LONG_AGO = -10 * MAX_BACKOFF
# Samples that a failure rate needs before half of it is believed.
SUCCESS_PRIOR_MASS = 4


@dataclass(slots=True)
class DecayedMean:
    """A weighted mean; callers decay its mass, so that old samples count less than new ones."""

    value: float = 0.0
    mass: float = 0.0

    def add(self, value: float, mass: float) -> None:
        """Adds samples of a total mass with this mean value."""
        self.mass += mass
        self.value += (value - self.value) * mass / (self.mass or 1.0)

    def success_rate(self) -> float:
        """Returns the success rate of a mean of failures, close to one while samples are few."""
        return 1 - self.value * self.mass / (self.mass + SUCCESS_PRIOR_MASS)


@dataclass(slots=True, eq=False)
class Host:
    """A host of the endpoint list, with the measurements and the decisions about it.

    Attributes:
        id: The address, six bytes.
        zone: Number of its zone.
        started_at: Clock time of the last start; 0 for long ago.
        weight: Learnt weight, in proportion to the load that it can carry.
        failure_rates: Share of failed attempts, by zone of the proxies.
        excluded_until: By traffic class, the time until which its tables leave the host out.
        published_weights: By table, the weight as last sent; 0 where the table does not name it.
        shard: The part of the fleet whose tables alone name the host.
        is_ready: Whether the endpoint list calls it ready.
        is_withdrawn: Whether it is withdrawn from all tables.
        is_silent: Whether it was withdrawn because its usual responses stay away.
        withdrawn_at: When it was last withdrawn.
        last_ready_at: When it was last listed as ready.
        retry_at: When an ejected host may come back.
        backoff: How long the next ejection lasts.
        slow_start_since: When its recovery ramp began.
        evidence_since: Reports on attempts before this time are no evidence against it.
        latency: Latency of successes without queueing, smoothed over a long time.
        recent_latency: Latency of the latest successes.
        successes_per_second: Successes a second, from this director's proxies.
        last_success_at: Time of the last report that had a success; 0 for none.
        in_flight: Requests that wait or run there, by its own gauge, from all proxies.
        gauged_at: When `in_flight` was read.
        slowness_factor: Share of its weight that it is given while it is slow for it.
        min_weight: Lower bound of the learnt weight, set by operators.
        max_weight: Upper bound of the learnt weight, set by operators.
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
        """Takes over the number of requests that wait or run at the host, where it is reported."""
        if REQUESTS_IN_FLIGHT in gauges or QUEUE_LENGTH in gauges:
            self.in_flight = gauges.get(REQUESTS_IN_FLIGHT, gauges.get(QUEUE_LENGTH, 0.0))
            self.gauged_at = now

    def set_weight_bounds(self, min_weight: float, max_weight: float) -> None:
        """Bounds the learnt weight."""
        self.min_weight = min_weight
        self.max_weight = max_weight
        self.weight = min(max_weight, max(min_weight, self.weight))

    def discard_evidence(self, now: int) -> None:
        """Forgets the failures and successes of all attempts up to now."""
        self.evidence_since = now
        self.last_success_at = 0
        self.failure_rates = [DecayedMean() for _ in self.failure_rates]

    def restart(self, now: int, started_at: int) -> None:
        """Begins a new process at the host's address: measurements of the one before are void."""
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


# The table number of a proxy that still uses what it came with.
UNASSIGNED = -1


@dataclass(slots=True)
class Proxy:
    """A connected proxy.

    Attributes:
        zone: Number of its zone.
        joined_at: When it connected.
        request_rate: Requests a second, as measured.
        tables: By traffic class, the table it is assigned to, or `UNASSIGNED`.
        shard: The part of the fleet whose tables it is assigned to.
        usual_request_rate: Requests a second, as it said when it joined.
        is_desynchronized: Whether it can't go on from the tables it holds.
        resynchronized_at: When it was last sent everything again for that reason.
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
        """Returns whether the proxy uses what it came with for the first traffic class."""
        return self.tables[0] == UNASSIGNED

    def is_partly_unassigned(self) -> bool:
        """Returns whether the proxy uses what it came with for any traffic class."""
        return UNASSIGNED in self.tables


@dataclass(slots=True)
class TrafficClass:
    """A class of requests, and how far it is admitted.

    Attributes:
        value_per_work: Priority weight for each unit of work, by which shedding chooses.
        work: Work of a request, for which its latency objective stands.
        max_attempts: Attempts of a request that can't take effect twice.
        is_zone_local: Whether its requests may go to hosts of the proxy's own zone alone.
        request_rate: Requests a second.
        failure_rate: Share of failed requests.
        admitted_share: Share of the requests that proxies admit.
        attempts: Attempts that proxies may make for a request.
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
    """What the proxies of one zone measure at the hosts of a zone.

    Attributes:
        failure_rate: Share of failed attempts.
        latency: Latency of successes.
        unanswered_attempts: By host, the attempts since any host of the zone last answered.
        is_partitioned: Whether the network between the zones is taken to be cut.
    """

    failure_rate: DecayedMean = field(default_factory=DecayedMean)
    latency: DecayedMean = field(default_factory=DecayedMean)
    unanswered_attempts: Counter[bytes] = field(default_factory=Counter)
    is_partitioned: bool = False

    def timely_success_rate(self, latency_objective: float) -> float:
        """Estimates the share of requests that succeed within the latency objective."""
        late = math.exp(-latency_objective / self.latency.value) if self.latency.value else 0.0
        return self.failure_rate.success_rate() * (
            1 - late * self.latency.mass / (self.latency.mass + 1)
        )

    def reset_measurements(self) -> None:
        """Discards the measurements of a path that was partitioned."""
        self.failure_rate = DecayedMean()
        self.latency = DecayedMean()
