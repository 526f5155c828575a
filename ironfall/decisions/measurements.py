"""Adds load reports, health checks and gauges to the records, and decays them over time."""

import math
from typing import NamedTuple

from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.load_estimate import LoadEstimate
from ironfall.decisions.records import LATENCY_MS, QUEUE_LENGTH, DecayedMean, Gauges, Host, ZonePath
from ironfall.decisions.report_clock import ReportClock
from ironfall.decisions.time_units import SECOND, TICKS_PER_MS, UPDATE_INTERVAL

# Time constants of the decay of latency without queueing, and of request rates.
LATENCY_DECAY_TIME = 30 * SECOND
RATE_DECAY_TIME = 8 * SECOND
# Evidence decays over at least this many report intervals.
EVIDENCE_REPORT_INTERVALS = 2.0
# The resolution of reported latencies: a shorter one is as good as unknown.
MIN_LATENCY_TICKS = 1
# Attempts may have been made up to this long before the period that their report covers.
REPORT_DELAY_ALLOWANCE = SECOND
# If a zone serves at least this share of its requests in time, a failed health check is the fault
# of the host alone.
HEALTHY_ZONE_SUCCESS_RATE = 0.8
# Above this failure rate, over at least this many attempts, a host's gauge isn't trusted if it
# shows fewer requests in flight than before.
SUSPECT_FAILURE_RATE = 0.5
MIN_EVIDENCE_MASS = 3


class UpstreamReport(NamedTuple):
    """A load report on what a zone's proxies measured at one host.

    Attributes:
        zone: Zone of the proxies.
        host: The host, which may have been removed from the endpoint list.
        attempts: Number of attempts at the host.
        failures: Number of attempts that failed.
        latency: Mean latency of the successes; 0 if unknown.
        covered_time: Length of the period in which the attempts were made.
        gauges: The host's gauges, by name.
    """

    zone: int
    host: bytes
    attempts: int
    failures: int
    latency: int
    covered_time: int
    gauges: Gauges


class Measurements:
    """Adds measurements to the records of hosts, zone paths, proxies and traffic classes."""

    def __init__(self, fleet: FleetState, load: LoadEstimate, report_clock: ReportClock) -> None:
        self.fleet = fleet
        self.load = load
        self.report_clock = report_clock

    def on_upstream_report(self, now: int, report: UpstreamReport) -> None:
        """Adds a load report, unless it has no attempts or its host or zone is unknown."""
        host = self.fleet.hosts.get(report.host)
        if host is None or report.zone >= self.fleet.zones or report.attempts <= 0:
            return
        path = self.fleet.zone_paths[report.zone][host.zone]
        self.report_clock.on_report(now, report.covered_time)
        _add_failures(now, host, path, report)
        host.read_gauges(now, report.gauges)
        successes = report.attempts - report.failures
        if successes > 0:
            path.unanswered_attempts.clear()
        else:
            path.unanswered_attempts[host.id] += report.attempts
        if successes > 0 and report.latency >= MIN_LATENCY_TICKS:
            _add_successes(now, host, path, successes, report)

    def on_request_report(
        self, proxy_number: int, class_index: int, requests: int, failures: int
    ) -> None:
        """Adds the requests of a class at a proxy, and how many of them failed."""
        proxy = self.fleet.proxies.get(proxy_number)
        if proxy is None or class_index >= len(self.fleet.traffic_classes):
            return
        traffic_class = self.fleet.traffic_classes[class_index]
        proxy.request_rate += requests * SECOND / RATE_DECAY_TIME
        traffic_class.request_rate += requests * SECOND / RATE_DECAY_TIME
        failure_rate = min(1.0, failures / max(1, requests))
        traffic_class.failure_rate.add(failure_rate, requests)

    def on_health_check(self, now: int, host_id: bytes, succeeded: bool, gauges: Gauges) -> None:
        """Adds the result of a health check."""
        host = self.fleet.hosts.get(host_id)
        if host is None:
            return
        if succeeded:
            # A host that fails fast still answers health checks, so success brings the retry
            # forward only for a host that was ejected because it was silent.
            if host.is_silent:
                host.retry_at = min(host.retry_at, now + SECOND)
            host.read_gauges(now, gauges)
            return
        own_path = self.fleet.zone_paths[host.zone][host.zone]
        success_rate = own_path.timely_success_rate(self.load.latency_objective)
        if success_rate < HEALTHY_ZONE_SUCCESS_RATE:
            # Health checks get lost in overload, so the last gauge is out of date.
            throughput = host.successes_per_second * self.load.peer_load_factor
            estimated_in_flight = throughput * self.load.latency_objective / SECOND
            host.read_gauges(now, {QUEUE_LENGTH: max(host.in_flight, estimated_in_flight)})

    def on_gauge_reading(self, now: int, host_id: bytes, age: int, gauges: Gauges) -> None:
        """Adds gauges that another process read `age` ago."""
        host = self.fleet.hosts.get(host_id)
        if host is None or now - age <= host.gauged_at:
            return
        # A host that accepts requests but answers none may report that it is idle.
        is_suspect = host.is_silent or any(
            m.mass >= MIN_EVIDENCE_MASS and m.value > SUSPECT_FAILURE_RATE
            for m in host.failure_rates
        )
        min_in_flight = host.in_flight if is_suspect else 0.0
        host.read_gauges(now - age, gauges)
        host.in_flight = max(min_in_flight, host.in_flight)

    def decay(self, now: int) -> None:
        """Decays all measurements by one update interval, and records which hosts are ready now."""
        evidence_time = max(
            EVIDENCE_REPORT_INTERVALS * self.report_clock.report_interval,
            self.report_clock.report_spacing,
        )
        evidence_decay = math.exp(-UPDATE_INTERVAL / evidence_time)
        rate_decay = math.exp(-UPDATE_INTERVAL / RATE_DECAY_TIME)
        latency_decay = math.exp(-UPDATE_INTERVAL / LATENCY_DECAY_TIME)
        evidence: list[DecayedMean] = []
        for row in self.fleet.zone_paths:
            for path in row:
                evidence += [path.failure_rate, path.latency]
        for host in self.fleet.hosts.values():
            evidence += [host.recent_latency, *host.failure_rates]
            host.latency.mass *= latency_decay
            host.successes_per_second *= rate_decay
            if host.is_ready:
                host.last_ready_at = now
        for traffic_class in self.fleet.traffic_classes:
            evidence.append(traffic_class.failure_rate)
            traffic_class.request_rate *= rate_decay
        for mean in evidence:
            mean.mass *= evidence_decay
        for proxy in self.fleet.proxies.values():
            proxy.request_rate *= rate_decay


def _add_failures(now: int, host: Host, path: ZonePath, report: UpstreamReport) -> None:
    """Adds the failures of a report, unless it may cover attempts before `evidence_since`.

    Such attempts show the fault for which the host was withdrawn.
    """
    if now - report.covered_time - REPORT_DELAY_ALLOWANCE <= host.evidence_since:
        return
    failure_rate = report.failures / report.attempts
    host.failure_rates[report.zone].add(failure_rate, report.attempts)
    if not host.is_withdrawn:
        path.failure_rate.add(failure_rate, report.attempts)


def _add_successes(
    now: int, host: Host, path: ZonePath, successes: int, report: UpstreamReport
) -> None:
    host.last_success_at = now
    host.successes_per_second += successes * SECOND / RATE_DECAY_TIME
    host.recent_latency.add(report.latency, successes)
    path.latency.add(report.latency, successes)
    latency = _latency_without_network(report)
    # Slow responses get less weight: under overload they show queueing, which isn't wanted here.
    confidence = min(1.0, host.latency.value / latency) if host.latency.mass else 1.0
    host.latency.add(latency, successes * confidence * confidence)


def _latency_without_network(report: UpstreamReport) -> float:
    """Returns the latency that the host measured, or the proxies' if the host's is unknown."""
    latency = report.gauges.get(LATENCY_MS, 0.0) * TICKS_PER_MS
    return latency if latency >= MIN_LATENCY_TICKS else report.latency
