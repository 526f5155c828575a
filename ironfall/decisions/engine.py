"""The decision engine: receives events, and issues orders to proxies.

An instance takes the sink of its orders, the service's settings, a random source of its own and the
current time. Each `on_...` method handles one kind of event; the caller does all I/O. The settings
and orders are defined in `ironfall.decisions.interface`; `docs/design.md` names the sources of the
algorithms.
"""

import random
from collections.abc import Iterable

from ironfall.decisions.admission import AdmissionControl
from ironfall.decisions.assignment import ProxyAssigner
from ironfall.decisions.channel_budget import ChannelBudget
from ironfall.decisions.channel_capacity import ChannelCapacity
from ironfall.decisions.draining import DrainControl
from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.health_checks import HealthChecker
from ironfall.decisions.host_list import HostListUpdater
from ironfall.decisions.interface import ListedHost, Orders, ServiceSettings
from ironfall.decisions.load_estimate import LoadEstimate
from ironfall.decisions.measurements import Measurements, UpstreamReport
from ironfall.decisions.outliers import OutlierDetector
from ironfall.decisions.partitions import PartitionDetector
from ironfall.decisions.records import Gauges, Host, Proxy
from ironfall.decisions.report_clock import ReportClock
from ironfall.decisions.sharding import ShardPlacement
from ironfall.decisions.slow_start import SlowStart
from ironfall.decisions.table_publisher import TablePublisher
from ironfall.decisions.time_units import SECOND, UPDATE_INTERVAL
from ironfall.decisions.weight_solver import WeightSolver
from ironfall.decisions.weights import WeightLearner
from ironfall.decisions.withdrawals import HostWithdrawals

# Timer tokens.
UPDATE_TIMER = 0
WATCH_TIMER = 1
# Tables are computed at every second update.
UPDATES_PER_SOLUTION = 2


class DecisionEngine:
    """Decides the weights of hosts in tables, admission, and the assignment of proxies.

    Attributes:
        fleet: The records of hosts, proxies, traffic classes and zone paths.
        channel: Limits on what may be written to the proxies.
        load: The load on the fleet.
        admission: Admission control.
    """

    def __init__(
        self, orders: Orders, settings: ServiceSettings, random_source: random.Random, now: int
    ) -> None:
        self.orders = orders
        self.random_source = random_source
        self.updates = 0
        self._make_state(settings, now)
        self._make_table_control(settings)
        self._make_health_control(settings)
        orders.set_timer(UPDATE_INTERVAL, UPDATE_TIMER)
        if settings.requests_host_list:
            orders.watch_hosts()

    def _make_state(self, settings: ServiceSettings, now: int) -> None:
        self.fleet = FleetState(settings)
        self.channel = ChannelCapacity(settings, self.orders.request_confirmation)
        self.report_clock = ReportClock(settings.report_interval, now)
        self.load = LoadEstimate(self.fleet, self.report_clock, settings)
        self.measurements = Measurements(self.fleet, self.load, self.report_clock)
        self.slow_start = SlowStart(settings.slow_start_time, settings.slow_start_share)

    def _make_table_control(self, settings: ServiceSettings) -> None:
        fleet, channel, orders = self.fleet, self.channel, self.orders
        shards = ShardPlacement(fleet, channel, self.random_source)
        solver = WeightSolver(fleet, self.load, self.slow_start, settings.cross_zone_price)
        self.publisher = TablePublisher(fleet, channel, solver, orders)
        self.withdrawals = HostWithdrawals(fleet, channel, self.publisher, orders)
        self.draining = DrainControl(fleet, channel, self.withdrawals, orders)
        self.assigner = ProxyAssigner(fleet, channel, shards, orders)
        self.host_list = HostListUpdater(fleet, channel, shards, self.withdrawals)

    def _make_health_control(self, settings: ServiceSettings) -> None:
        self.health_checker = HealthChecker(self.fleet, self.load, self.orders, settings)
        self.partitions = PartitionDetector(self.fleet)
        self.outliers = OutlierDetector(
            self.fleet,
            self.channel,
            self.load,
            self.slow_start,
            self.withdrawals,
        )
        self.weight_learner = WeightLearner(self.fleet, self.load, self.report_clock)
        self.admission = AdmissionControl(
            self.fleet,
            self.channel,
            self.load,
            self.orders,
            sheds_load=settings.admits_by_share,
        )

    @property
    def hosts(self) -> dict[bytes, Host]:
        """The records of hosts, by address."""
        return self.fleet.hosts

    @property
    def proxies(self) -> dict[int, Proxy]:
        """The records of connected proxies, by number."""
        return self.fleet.proxies

    @property
    def budget(self) -> ChannelBudget:
        """The record of what was written to the proxies and may still be queued."""
        return self.channel.budget

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], is_complete: bool, is_fresh: bool
    ) -> None:
        """Handles an endpoint list, or changes to it.

        Args:
            now: The current time.
            entries: The listed hosts.
            is_complete: Whether the list is complete; else it contains only changes.
            is_fresh: Whether it is newer than the list cached before the start.
        """
        self.host_list.apply(now, list(entries), is_complete=is_complete)
        self.fleet.has_fresh_list = self.fleet.has_fresh_list or is_fresh
        self.draining.drain(now)
        none_assigned = all(p.is_unassigned() for p in self.fleet.proxies.values())
        self.publisher.publish(now, is_required=none_assigned)

    def on_host_list_failed(self) -> None:
        """Requests the endpoint list again, after a delay with jitter."""
        self.orders.set_timer(SECOND + self.random_source.randrange(SECOND), WATCH_TIMER)

    def on_proxy_joined(self, now: int, proxy: int, zone: int, request_rate: float) -> None:
        """Handles the connection of a proxy, which states its usual requests per second."""
        self.assigner.add_proxy(now, proxy, zone, request_rate)

    def on_proxy_left(self, proxy: int) -> None:
        """Handles the end of a proxy's connection."""
        self.assigner.remove_proxy(proxy)

    def on_version_applied(self, now: int, proxy: int, version: int) -> None:
        """Handles a proxy's confirmation of all orders up to a version."""
        self.channel.budget.confirm(proxy, version)
        if self.channel.drains_can_continue(now):
            self.draining.drain(now)

    def on_proxy_desynchronized(
        self,
        now: int,  # noqa: ARG002 - all events of a proxy or host take the time
        proxy: int,
    ) -> None:
        """Marks a proxy whose tables don't match the published ones, to be sent them all again."""
        self.assigner.mark_desynchronized(proxy)

    def on_upstream_report(  # noqa: PLR0913 - recorded batches and three packages call it like this
        self,
        now: int,
        zone: int,
        host: bytes,
        attempts: int,
        failures: int,
        latency: int,
        covered_time: int,
        gauges: Gauges,
    ) -> None:
        """Handles a load report on what a zone's proxies measured at a host.

        Args:
            now: The current time.
            zone: Zone of the proxies.
            host: The host, which may have been removed from the endpoint list.
            attempts: Number of attempts at the host.
            failures: Number of attempts that failed.
            latency: Mean latency of the successes; 0 if unknown.
            covered_time: Length of the period in which the attempts were made.
            gauges: The host's gauges, by name.
        """
        report = UpstreamReport(zone, host, attempts, failures, latency, covered_time, gauges)
        self.measurements.on_upstream_report(now, report)

    def on_request_report(
        self,
        now: int,  # noqa: ARG002 - all events of a proxy or host take the time
        proxy: int,
        class_index: int,
        requests: int,
        failures: int,
    ) -> None:
        """Handles a report on the requests of a class at a proxy, and how many of them failed."""
        self.measurements.on_request_report(proxy, class_index, requests, failures)

    def on_health_check(self, now: int, host: bytes, succeeded: bool, gauges: Gauges) -> None:
        """Handles the result of a health check."""
        self.measurements.on_health_check(now, host, succeeded, gauges)

    def on_gauge_reading(self, now: int, host: bytes, age: int, gauges: Gauges) -> None:
        """Handles gauges of a host that another process read `age` ago."""
        self.measurements.on_gauge_reading(now, host, age, gauges)

    def set_weight_bounds(self, host: bytes, min_weight: float, max_weight: float) -> None:
        """Sets the operators' bounds of a host's learned weight; equal bounds fix it."""
        record = self.fleet.hosts.get(host)
        if record is not None:
            record.set_weight_bounds(min_weight, max_weight)

    def set_excluded_classes(self, now: int, host: bytes, class_mask: int) -> None:
        """Excludes a host from the classes in a bit mask, which get tables of their own."""
        record = self.fleet.hosts.get(host)
        if record is not None:
            self.outliers.set_excluded_classes(now, record, class_mask)

    def on_timer(self, now: int, token: int) -> None:
        """Handles the expiry of a timer that the engine set."""
        if token != UPDATE_TIMER:
            self.orders.watch_hosts()
            return
        self.updates += 1
        self.load.update_peer_load_factor()
        self.orders.set_timer(UPDATE_INTERVAL, UPDATE_TIMER)
        self.measurements.decay(now)
        self.draining.drain(now)
        self.health_checker.order_checks()
        self.partitions.update(now)
        self.outliers.update(now)
        self.assigner.assign_waiting(now)
        if self.updates % UPDATES_PER_SOLUTION == 0:
            self.weight_learner.update(now)
            self.load.update(now)
            self.admission.update(now)
            self.publisher.publish(now, is_required=False)
            self.draining.forget_removed_hosts(now)
