"""What the decision engine is given at start, and the orders that it acts through.

Times are whole tenths of a millisecond. A host is its address of six bytes; a table, zone, traffic
class or proxy is its number.
"""

from dataclasses import dataclass
from typing import NamedTuple, Protocol


class ListedHost(NamedTuple):
    """An entry of the endpoint list.

    Attributes:
        host: Address of the host.
        zone: Its zone.
        ready: Whether it may serve; false if it drains or has left.
        weight: Its initial weight; 0 for the usual one.
        started: Clock time of its last start; 0 for long ago.
    """

    host: bytes
    zone: int
    ready: bool
    weight: float
    started: int


@dataclass(frozen=True)
class RequestClass:
    """A traffic class, as the service's owner describes it.

    Attributes:
        latency_objective: Time within which a request should succeed.
        deadline: Time after which a request is given up.
        priority_weight: Value of a request that succeeds within its objective.
        idempotency: "always", "keyed" (with an idempotency key) or "never".
        idempotency_key_scope: Where keys hold; "all" for all hosts.
        idempotency_key_lifetime: How long a key holds.
        zone_local: Whether it may go to hosts of the proxy's own zone alone.
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
    """What the service's owner and its operators agreed on, as read at start.

    Attributes:
        zones: Number of zones.
        classes: The traffic classes.
        requests_host_list: Whether the endpoint list must be asked for.
        drain_grace: Time after which no proxy may use a draining host.
        slow_start_time: How long a host warms up after its start.
        slow_start_share: Capacity of a host at its start, as a share of its usual one.
        unassigned_limit: Time after which a proxy that joined must be assigned.
        queue_limit: Most entries that may wait in the channel to the proxies.
        message_overhead: Entries that a message costs beside those it carries.
        message_limit: Most messages to a proxy within the window; 0 for no limit.
        message_window: The time over which messages are counted.
        max_message_delay: Most time that a message takes on its way.
        report_interval: How often load reports come.
        proxies: Number of the proxies of all directors.
        admits: Whether proxies admit shares of requests; where they admit rates, these are left
            alone.
        health_checks_allowed: Whether health checks may be ordered.
        health_check_price: Price of a health check; 0 if it isn't known.
        cross_zone_price: Price of a request that crosses zones.
        gauges: Names of the gauges that hosts report.
        entries_per_second: Pace of the channel; 0 if it isn't known.
        notifies_all_proxies: Whether a withdrawal is an entry for every proxy, or only for those
            whose tables name the host.
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
    admits: bool
    health_checks_allowed: bool
    health_check_price: float
    cross_zone_price: float
    gauges: tuple[str, ...]
    entries_per_second: float = 0.0
    notifies_all_proxies: bool = True


class OrderSink(Protocol):
    """Orders that go out to proxies, hosts and the endpoint list."""

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Sets a host's weight in a table; 0 removes it."""

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Assigns a proxy to a table for the traffic classes of a mask."""

    def withdraw(self, host: bytes, out: bool) -> None:
        """Withdraws a host from all tables, or ends its withdrawal."""

    def admit(self, classes: int, level: float, tries: int) -> None:
        """Sets the admitted share and the attempts of the traffic classes of a mask."""

    def health_check(self, host: bytes) -> None:
        """Orders a health check of a host."""

    def request_confirmation(self, version: int) -> None:
        """Asks proxies to confirm what is ordered now by a version."""

    def watch_hosts(self) -> None:
        """Asks for the endpoint list."""

    def forget(self, host: bytes) -> None:
        """Tells that no record of a host is left: it is in no table and withdrawn nowhere."""


class Orders(OrderSink, Protocol):
    """All orders of the engine; timers stay with the caller that delivers events."""

    def set_timer(self, delay: int, token: int) -> None:
        """Has `on_timer` called with the token after a delay."""
