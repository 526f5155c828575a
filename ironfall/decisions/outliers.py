"""Outlier detection: ejects hosts that fail or stop responding, and retries them with backoff."""

from collections.abc import Sequence
from dataclasses import dataclass

from ironfall.decisions.channel_capacity import EJECTION_SHARE, ChannelCapacity
from ironfall.decisions.fleet_state import (
    CLASS_EXCLUSION_TIME,
    EXCLUDED_BY_OPERATORS,
    FleetState,
)
from ironfall.decisions.load_estimate import LoadEstimate
from ironfall.decisions.records import MAX_BACKOFF, Host
from ironfall.decisions.slow_start import SlowStart
from ironfall.decisions.withdrawals import HostWithdrawals

# Minimum number of attempts that a host's failures are divided by.
MIN_ATTEMPTS = 6.0
# A host is failing if its share of failures is above this and above a multiple of the usual one.
MAX_FAILURE_SHARE = 0.5
USUAL_FAILURE_FACTOR = 2
# Maximum share of the ready capacity that is ejected. If more seems to fail, overload, late reports
# or a partition are more likely causes than faults of the hosts.
MAX_EJECTED_SHARE = 0.5
# A host counts as silent once this many successes are overdue.
SILENT_AFTER_SUCCESSES = 7
# Failures together with slow successes indicate overload. A host isn't ejected for failures while
# its latency, over enough samples, is above this share of the latency objective.
MIN_LATENCY_MASS = 2
OVERLOADED_LATENCY_SHARE = 0.5
# A host isn't ejected for failures if it serves the proxies of some zone well, over enough
# attempts.
MIN_SERVED_MASS = 3
MAX_SERVED_FAILURE_RATE = 1 / 3
# A class fails on its own if its failure rate is above this minimum and above a multiple of the
# rate of the next worst class, plus an offset.
MIN_CLASS_FAILURE_RATE = 0.1
CLASS_FAILURE_OFFSET = 0.03
CLASS_FAILURE_FACTOR = 3
# A host is excluded from a class if its share of failures is above this fraction of the class's
# share of requests, over a minimum number of attempts, and if enough capacity remains.
CLASS_FAILURE_SHARE = 0.35
MIN_CLASS_ATTEMPTS = 8
MIN_CLASS_CAPACITY_SHARE = 0.3
# Mean failure rate over all zone paths above which proxies, by avoiding failing hosts, overload the
# others.
WIDESPREAD_FAILURE_RATE = 0.25
# Hosts that are warming up aren't restored within this many report intervals after the start.
START_UP_INTERVALS = 10


@dataclass(frozen=True, slots=True)
class FailureEvidence:
    """The failures of all serving hosts.

    Attributes:
        serving: The serving hosts.
        capacity: Sum of the learned weights of all ready hosts.
        attempts: Decayed number of attempts, by host.
        failure_shares: Share of failed attempts, by host.
        usual_failure_share: Lower quartile of the failure shares.
    """

    serving: Sequence[Host]
    capacity: float
    attempts: dict[bytes, float]
    failure_shares: dict[bytes, float]
    usual_failure_share: float

    def by_descending_failure_share(self) -> list[Host]:
        """Returns the serving hosts by descending share of failures."""
        return sorted(self.serving, key=lambda h: -self.failure_shares[h.id])

    def failure_limit(self, min_limit: float) -> float:
        """Returns the share of failures above which a host is an outlier."""
        return max(min_limit, USUAL_FAILURE_FACTOR * self.usual_failure_share)


class OutlierDetector:
    """Ejects outliers from all tables, or from those of a class that fails on its own."""

    def __init__(
        self,
        fleet: FleetState,
        channel: ChannelCapacity,
        load: LoadEstimate,
        slow_start: SlowStart,
        withdrawals: HostWithdrawals,
    ) -> None:
        self.fleet = fleet
        self.channel = channel
        self.load = load
        self.slow_start = slow_start
        self.withdrawals = withdrawals

    def update(self, now: int) -> None:
        """Ejects outliers, and restores hosts after their backoff.

        If one traffic class fails on its own, outliers are excluded only from its tables.
        """
        ready = [h for h in self.fleet.hosts.values() if h.is_ready]
        evidence = _failure_evidence(self.fleet.serving_hosts(), ready)
        failing_class = self._class_that_fails_alone()
        if failing_class is None:
            self._eject_outliers(now, evidence, ready)
        else:
            for host in evidence.by_descending_failure_share():
                self._exclude_from_class(now, host, failing_class, evidence)
        self._restore_after_backoff(now, ready)

    def _class_that_fails_alone(self) -> int | None:
        """Returns the traffic class that fails while the others succeed, or None."""
        classes = self.fleet.traffic_classes
        if len(classes) < 2:  # noqa: PLR2004 - there is no other class to compare with
            return None
        rates = sorted(((c.failure_rate.value, n) for n, c in enumerate(classes)), reverse=True)
        (worst_rate, worst), (next_rate, _) = rates[0], rates[1]
        limit = max(MIN_CLASS_FAILURE_RATE, CLASS_FAILURE_OFFSET + CLASS_FAILURE_FACTOR * next_rate)
        return worst if worst_rate > limit else None

    def _exclude_from_class(
        self, now: int, host: Host, class_index: int, evidence: FailureEvidence
    ) -> None:
        """Excludes a host from the tables of the failing class if it is an outlier there."""
        included = sum(h.weight for h in evidence.serving if h.excluded_until[class_index] <= now)
        remaining = included - host.weight
        class_rate = self.fleet.traffic_classes[class_index].request_rate
        min_limit = CLASS_FAILURE_SHARE * class_rate / (self.load.request_rate or 1.0)
        is_outlier = (
            evidence.failure_shares[host.id] > evidence.failure_limit(min_limit)
            and not self._is_overloaded(host)
            and evidence.attempts[host.id] >= MIN_CLASS_ATTEMPTS
        )
        if is_outlier and remaining > MIN_CLASS_CAPACITY_SHARE * evidence.capacity:
            host.discard_evidence(now)
            host.excluded_until[class_index] = now + CLASS_EXCLUSION_TIME

    def _eject_outliers(self, now: int, evidence: FailureEvidence, ready: Sequence[Host]) -> None:
        ejected = sum(h.weight for h in ready if h.is_withdrawn)
        failure_limit = evidence.failure_limit(MAX_FAILURE_SHARE)
        for host in evidence.by_descending_failure_share():
            is_silent = self._is_silent(host)
            exceeds_limit = evidence.failure_shares[host.id] > failure_limit
            is_failing = exceeds_limit and not self._is_overloaded(host)
            if not (is_failing or is_silent):
                continue
            if ejected + host.weight > MAX_EJECTED_SHARE * evidence.capacity:
                continue
            # If some zone is served well, the path from the others is at fault. The solver lowers
            # the host's weights there.
            if not is_silent and _serves_some_zone(host):
                continue
            if self.channel.fits_one_entry_each(now, EJECTION_SHARE, len(self.fleet.proxies)):
                self._eject(now, host, is_silent)
                ejected += host.weight

    def _eject(self, now: int, host: Host, is_silent: bool) -> None:
        host.retry_at = now + host.backoff
        host.backoff = min(2 * host.backoff, MAX_BACKOFF)
        host.is_silent = is_silent
        self.withdrawals.withdraw(now, host)

    def _is_overloaded(self, host: Host) -> bool:
        """Returns whether a host's successes are so slow that its failures are due to overload.

        Ejecting it would overload the other hosts in turn.
        """
        latency = host.recent_latency
        latency_limit = OVERLOADED_LATENCY_SHARE * self.load.latency_objective
        return latency.mass > MIN_LATENCY_MASS and latency.value > latency_limit

    def _is_silent(self, host: Host) -> bool:
        """Returns whether a host's successes have stopped."""
        if not host.last_success_at:
            return False
        overdue = host.successes_per_second * self.load.report_clock.overdue_seconds(host)
        return overdue > SILENT_AFTER_SUCCESSES

    def _restore_after_backoff(self, now: int, ready: Sequence[Host]) -> None:
        """Restores hosts whose backoff is over, but warming hosts only if the fleet is healthy.

        Proxies avoid hosts that fail, so during widespread failures all their requests would go to
        a cold host that was just restored.
        """
        failures = sum(
            path.failure_rate.mass * (path.failure_rate.value - WIDESPREAD_FAILURE_RATE)
            for paths in self.fleet.zone_paths
            for path in paths
        )
        must_protect_warming = (
            failures > 0
            or self.load.overload > 1
            or self.load.report_clock.is_starting(now, START_UP_INTERVALS)
        )
        self.withdrawals.restore(
            now,
            [
                h
                for h in ready
                if now >= h.retry_at
                and not (must_protect_warming and self.slow_start.is_warming(now, h))
            ],
        )

    def set_excluded_classes(self, now: int, host: Host, class_mask: int) -> None:
        """Excludes a host from the classes in a bit mask, until the operators change it."""
        for index, until in enumerate(host.excluded_until):
            if class_mask >> index & 1:
                host.excluded_until[index] = EXCLUDED_BY_OPERATORS
            elif until == EXCLUDED_BY_OPERATORS:
                host.excluded_until[index] = now


def _failure_evidence(serving: Sequence[Host], ready: Sequence[Host]) -> FailureEvidence:
    attempts = {}
    failure_shares = {}
    for host in serving:
        attempts[host.id] = sum(m.mass for m in host.failure_rates)
        failures = sum(m.mass * m.value for m in host.failure_rates)
        failure_shares[host.id] = failures / max(MIN_ATTEMPTS, attempts[host.id])
    usual = sorted(failure_shares.values())[len(failure_shares) // 4] if failure_shares else 0.0
    capacity = sum(h.weight for h in ready)
    return FailureEvidence(serving, capacity, attempts, failure_shares, usual)


def _serves_some_zone(host: Host) -> bool:
    return any(
        m.mass >= MIN_SERVED_MASS and m.value < MAX_SERVED_FAILURE_RATE for m in host.failure_rates
    )
