"""What the decisions are handed at start (`ServiceTerms`) and what they act through (`Orders`).

Times are whole tenths of a millisecond. A host is its six bytes, a table, zone, class or proxy its number.
"""

from dataclasses import dataclass
from typing import NamedTuple, Protocol


class ListedHost(NamedTuple):
    """What the list says of a host."""

    host: bytes
    zone: int
    ready: bool
    weight: float
    started: int  # clock time of the last start, 0 for long ago


@dataclass(frozen=True)
class RequestClass:
    latency_objective: int
    deadline: int
    priority_weight: float
    idempotency: str  # "always", "keyed" or "never"
    idempotency_key_scope: str
    idempotency_key_lifetime: int
    zone_local: bool = False  # it may go to hosts of the proxy's own zone alone


@dataclass(frozen=True)
class ServiceSettings:
    """What the service's owner and its operators agreed on, as read at start."""

    zones: int
    classes: tuple[RequestClass, ...]
    requests_host_list: bool
    drain_grace: int
    slow_start_time: int
    slow_start_share: float
    unassigned_limit: int
    queue_limit: float
    message_overhead: float
    message_limit: int  # 0 for none
    message_window: int
    max_message_delay: int
    report_interval: int
    proxies: int  # of all directors
    admits: bool  # levels are shares; where they are rates at each proxy they are left alone
    health_checks_allowed: bool
    health_check_price: float
    cross_zone_price: float
    gauges: tuple[str, ...]
    entries_per_second: float = 0.0  # the channel's pace; 0 where it is not known
    notifies_all_proxies: bool = (
        True  # a withdrawal is a line at each proxy, or only where its tables name the host
    )


class OrderSink(Protocol):
    """Orders that go out."""

    def set_weight(self, table: int, host: bytes, weight: float) -> None: ...
    def assign(self, proxy: int, table: int, classes: int) -> None: ...
    def withdraw(self, host: bytes, out: bool) -> None: ...
    def admit(self, classes: int, level: float, tries: int) -> None: ...
    def health_check(self, host: bytes) -> None: ...
    def request_confirmation(self, version: int) -> None: ...
    def watch_hosts(self) -> None: ...
    def forget(
        self, host: bytes
    ) -> None: ...  # in no table, withdrawn nowhere, and no record of it is kept


class Orders(OrderSink, Protocol):
    """All that the decisions order: timers stay with whoever puts the turns to them."""

    def set_timer(self, delay: int, token: int) -> None: ...
