"""Settings that the decision engine starts with, and the orders that it issues.

Times are integers in tenths of a millisecond. A host is identified by its six-byte address; a
table, zone, traffic class or proxy by its number.
"""

from dataclasses import dataclass
from typing import NamedTuple, Protocol


class ListedHost(NamedTuple):
    """An entry of the endpoint list.

    Attributes:
        host: Address of the host.
        zone: Number of its zone.
        ready: Whether it may serve; false if it is draining or was removed.
        weight: Its initial weight; 0 for the default.
        started: Clock time of its last start; 0 if it started long ago.
    """

    host: bytes
    zone: int
    ready: bool
    weight: float
    started: int


@dataclass(frozen=True)
class RequestClass:
    """A traffic class, as configured by the service's owner.

    Attributes:
        latency_objective: Time within which a request should succeed.
        deadline: Time after which a request is abandoned.
        priority_weight: Value of a request that succeeds within its objective.
        idempotency: "always", "keyed" (with an idempotency key) or "never".
        idempotency_key_scope: Where a key is recognized; "all" for all hosts.
        idempotency_key_lifetime: How long a key is recognized.
        zone_local: Whether requests may only go to hosts in the proxy's own zone.
    """

    latency_objective: int
    deadline: int
    priority_weight: float
    idempotency: str
    idempotency_key_scope: str
    idempotency_key_lifetime: int
    zone_local: bool = False


@dataclass(frozen=True)
class ServiceSettings:
    """Settings agreed between the service's owner and its operators, read at start.

    Attributes:
        zones: Number of zones.
        classes: The traffic classes.
        requests_host_list: Whether the endpoint list has to be requested.
        drain_grace: Time after which no proxy may use a draining host.
        slow_start_time: How long a host warms up after its start.
        slow_start_share: Capacity of a host at its start, as a share of its full capacity.
        unassigned_limit: Time within which a proxy that connects must be assigned.
        queue_limit: Maximum number of entries queued in the channel to the proxies.
        message_overhead: Cost of a message in entries, in addition to those it carries.
        message_limit: Maximum number of messages to a proxy per window; 0 for no limit.
        message_window: Length of the sliding window over which messages are counted.
        max_message_delay: Maximum delivery time of a message.
        report_interval: Time between load reports.
        proxies: Number of proxies of all directors together.
        admits_by_share: Whether proxies admit a share of requests. If they limit rates instead, no
            order is issued because a share changed.
        health_checks_allowed: Whether health checks may be ordered.
        health_check_price: Price of a health check; 0 if unknown.
        cross_zone_price: Price of a request that crosses zones.
        gauges: Names of the gauges that hosts report.
        entries_per_second: Throughput of the channel; 0 if unknown.
        notifies_all_proxies: Whether a withdrawal costs an entry for every proxy, or only for those
            whose tables contain the host.
    """

    zones: int
    classes: tuple[RequestClass, ...]
    requests_host_list: bool
    drain_grace: int
    slow_start_time: int
    slow_start_share: float
    unassigned_limit: int
    queue_limit: float
    message_overhead: float
    message_limit: int
    message_window: int
    max_message_delay: int
    report_interval: int
    proxies: int
    admits_by_share: bool
    health_checks_allowed: bool
    health_check_price: float
    cross_zone_price: float
    gauges: tuple[str, ...]
    entries_per_second: float = 0.0
    notifies_all_proxies: bool = True


class OrderSink(Protocol):
    """Receives the orders to proxies, to hosts and to the source of the endpoint list."""

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Sets a host's weight in a table; 0 removes the host from it."""

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Assigns a proxy to a table for the traffic classes in the bit mask `classes`."""

    def withdraw(self, host: bytes, is_withdrawn: bool) -> None:
        """Withdraws a host from all tables if `is_withdrawn`, else ends its withdrawal."""

    def admit(self, classes: int, admitted_share: float, attempts: int) -> None:
        """Sets the admitted share and the attempts per request of the classes in a bit mask."""

    def health_check(self, host: bytes) -> None:
        """Orders a health check of a host."""

    def request_confirmation(self, version: int) -> None:
        """Asks proxies to confirm this moment's orders, under a version number."""

    def watch_hosts(self) -> None:
        """Requests the endpoint list."""

    def forget(self, host: bytes) -> None:
        """Reports that a host is in no table, isn't withdrawn, and has no record any more."""


class Orders(OrderSink, Protocol):
    """All orders of the engine, including timers, which the caller that delivers events runs."""

    def set_timer(self, delay: int, token: int) -> None:
        """Schedules a call of `on_timer` with the token after a delay."""
