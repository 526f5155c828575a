"""What the decisions are handed at start (`ServiceTerms`) and what they act through (`Orders`).

Times are whole tenths of a millisecond. A host is its six bytes, a table, zone, class or proxy its number.
"""

from dataclasses import dataclass
from typing import NamedTuple, Protocol


class Listing(NamedTuple):
    """What the list says of a host."""

    host: bytes
    zone: int
    ready: bool
    weight: float
    started: int  # clock time of the last start, 0 for long ago


@dataclass(frozen=True)
class ExchangeClass:
    expected_time: int
    abandon_time: int
    earnings: float
    repeatable: str  # "always", "keyed" or "never"
    key_scope: str
    key_life: int
    home: bool = False  # it may go to hosts of the proxy's own zone alone


@dataclass(frozen=True)
class ServiceTerms:
    """What the service's owner and its operators agreed on, as read at start."""

    zones: int
    classes: tuple[ExchangeClass, ...]
    ask_for_list: bool
    drain_grace: int
    cold_time: int
    cold_share: float
    bare_time: int
    queue_limit: float
    message_head: float
    message_limit: int  # 0 for none
    message_span: int
    slowest_message: int
    report_every: int
    proxies: int  # of all directors
    admits: bool  # levels are shares; where they are rates at each proxy they are left alone
    may_probe: bool
    probe_price: float
    crossing_price: float
    gauges: tuple[str, ...]
    lines_each_second: float = 0.0  # the channel's pace; 0 where it is not known
    told_all: bool = (
        True  # a withdrawal is a line at each proxy, or only where its tables name the host
    )


class Sent(Protocol):
    """Orders that go out."""

    def set_line(self, table: int, host: bytes, weight: float) -> None: ...
    def bind(self, proxy: int, table: int, classes: int) -> None: ...
    def withdraw(self, host: bytes, out: bool) -> None: ...
    def admit(self, classes: int, level: float, tries: int) -> None: ...
    def probe(self, host: bytes) -> None: ...
    def mark(self, version: int) -> None: ...
    def watch_list(self) -> None: ...
    def forget(
        self, host: bytes
    ) -> None: ...  # in no table, withdrawn nowhere, and no record of it is kept


class Orders(Sent, Protocol):
    """All that the decisions order: timers stay with whoever puts the turns to them."""

    def wake(self, delay: int, token: int) -> None: ...
