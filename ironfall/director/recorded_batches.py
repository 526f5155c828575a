"""Records of batches: the names of events and orders, the codec, and the replay.

A record is a text file with one JSON object per line. The first holds the seed, the start time and
the first orders. Each further one holds a batch: its clock time, its events as lists of a name and
arguments, and the resulting orders. Hosts are written in hexadecimal. The names of events and
orders are part of the file format, and differ from the names of the methods.
"""

import json
import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TextIO

from ironfall.decisions.events import EventKind, OrderKind
from ironfall.decisions.interface import ListedHost, Orders, OrderSink, ServiceSettings

EVENT_METHODS = {
    EventKind.HOST_LIST: "on_host_list",
    EventKind.WEIGHT_BOUNDS: "set_weight_bounds",
    EventKind.EXCLUDED_CLASSES: "set_excluded_classes",
    EventKind.HOST_LIST_FAILED: "on_host_list_failed",
    EventKind.PROXY_JOINED: "on_proxy_joined",
    EventKind.PROXY_DESYNCHRONIZED: "on_proxy_desynchronized",
    EventKind.PROXY_LEFT: "on_proxy_left",
    EventKind.VERSION_APPLIED: "on_version_applied",
    EventKind.HEALTH_CHECK: "on_health_check",
    EventKind.GAUGE_READING: "on_gauge_reading",
    EventKind.UPSTREAM_REPORT: "on_upstream_report",
    EventKind.REQUEST_REPORT: "on_request_report",
    EventKind.TIMER: "on_timer",
}
"""The decision engine's method for each kind of event."""

TIMELESS_EVENTS = frozenset(
    {EventKind.PROXY_LEFT, EventKind.WEIGHT_BOUNDS, EventKind.HOST_LIST_FAILED}
)
"""Events whose method has no time argument."""

HOST_ARGUMENTS = {
    EventKind.WEIGHT_BOUNDS: 1,
    EventKind.EXCLUDED_CLASSES: 1,
    EventKind.HEALTH_CHECK: 1,
    EventKind.GAUGE_READING: 1,
    EventKind.UPSTREAM_REPORT: 2,
}
"""The index of the host in a recorded call, for events that have one."""

RecordedCall = list[Any]
"""A recorded event: its name, then the arguments of its method without the time."""

RecordedOrder = list[Any]
"""A recorded order: its name, then the arguments of its method."""

Decide = Callable[[Orders, ServiceSettings, random.Random, int], Any]
"""Creates a decision engine with the methods of `EVENT_METHODS`; the int is the start time."""


class OrderRecorder:
    """Records orders."""

    def __init__(self) -> None:
        self.recorded: list[RecordedOrder] = []

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Records the order."""
        self.recorded.append([OrderKind.SET_WEIGHT, table, host.hex(), weight])

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Records the order."""
        self.recorded.append([OrderKind.ASSIGN, proxy, table, classes])

    def withdraw(self, host: bytes, is_withdrawn: bool) -> None:
        """Records the order."""
        self.recorded.append([OrderKind.WITHDRAW, host.hex(), is_withdrawn])

    def admit(self, classes: int, admitted_share: float, attempts: int) -> None:
        """Records the order."""
        self.recorded.append([OrderKind.ADMIT, classes, admitted_share, attempts])

    def health_check(self, host: bytes) -> None:
        """Records the order."""
        self.recorded.append([OrderKind.HEALTH_CHECK, host.hex()])

    def request_confirmation(self, version: int) -> None:
        """Records the order."""
        self.recorded.append([OrderKind.REQUEST_CONFIRMATION, version])

    def watch_hosts(self) -> None:
        """Records the order."""
        self.recorded.append([OrderKind.WATCH_HOSTS])

    def set_timer(self, delay: int, token: int) -> None:
        """Records the order."""
        self.recorded.append([OrderKind.SET_TIMER, delay, token])

    def forget(self, host: bytes) -> None:
        """Records the order."""
        self.recorded.append([OrderKind.FORGET, host.hex()])


class RecordingSink(OrderRecorder):
    """Records orders and passes them on: timers to the event loop, all others to the sink."""

    def __init__(self, sink: OrderSink, set_timer: Callable[[int, int], None]) -> None:
        """`set_timer`: called with a delay in ticks and a token."""
        super().__init__()
        self.sink = sink
        self._set_timer = set_timer

    def pop_recorded(self) -> list[RecordedOrder]:
        """Returns and clears the orders recorded since the last call."""
        recorded = self.recorded
        self.recorded = []
        return recorded

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Records the order and passes it on."""
        super().set_weight(table, host, weight)
        self.sink.set_weight(table, host, weight)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Records the order and passes it on."""
        super().assign(proxy, table, classes)
        self.sink.assign(proxy, table, classes)

    def withdraw(self, host: bytes, is_withdrawn: bool) -> None:
        """Records the order and passes it on."""
        super().withdraw(host, is_withdrawn)
        self.sink.withdraw(host, is_withdrawn)

    def admit(self, classes: int, admitted_share: float, attempts: int) -> None:
        """Records the order and passes it on."""
        super().admit(classes, admitted_share, attempts)
        self.sink.admit(classes, admitted_share, attempts)

    def health_check(self, host: bytes) -> None:
        """Records the order and passes it on."""
        super().health_check(host)
        self.sink.health_check(host)

    def request_confirmation(self, version: int) -> None:
        """Records the order and passes it on."""
        super().request_confirmation(version)
        self.sink.request_confirmation(version)

    def watch_hosts(self) -> None:
        """Records the order and passes it on."""
        super().watch_hosts()
        self.sink.watch_hosts()

    def set_timer(self, delay: int, token: int) -> None:
        """Records the order and sets the timer."""
        super().set_timer(delay, token)
        self._set_timer(delay, token)

    def forget(self, host: bytes) -> None:
        """Records the order and passes it on."""
        super().forget(host)
        self.sink.forget(host)


class RecordWriter:
    """Writes a record to a text file."""

    def __init__(self, file: TextIO) -> None:
        self._file = file

    def write_start(self, seed: int, now: int, orders: list[RecordedOrder]) -> None:
        """Writes the first line of the record."""
        self._write({"seed": seed, "now": now, "orders": orders})

    def write_batch(self, now: int, calls: list[RecordedCall], orders: list[RecordedOrder]) -> None:
        """Writes a batch, unless it has neither events nor orders."""
        if calls or orders:
            self._write({"now": now, "calls": calls, "orders": orders})

    def _write(self, line: dict[str, Any]) -> None:
        self._file.write(json.dumps(line, default=bytes.hex) + "\n")


def apply_call(decisions: Any, now: int, call: RecordedCall) -> None:
    """Passes an event to the decision engine."""
    kind, *arguments = call
    method = getattr(decisions, EVENT_METHODS[kind])
    if kind in TIMELESS_EVENTS:
        method(*arguments)
    else:
        method(now, *arguments)


class ReplayResult(NamedTuple):
    """The number of batches, and a text for each batch whose orders differ from the record."""

    batches: int
    differences: list[str]


def replay(lines: Iterable[str], settings: ServiceSettings, make_engine: Decide) -> ReplayResult:
    """Replays a record on a new decision engine and compares its orders with the record."""
    differences: list[str] = []
    batches = 0
    recorder = OrderRecorder()
    decisions = None
    for line in lines:
        batch = json.loads(line)
        now = batch["now"]
        recorder.recorded = []
        if decisions is None:
            decisions = make_engine(recorder, settings, random.Random(batch["seed"]), now)
        for call in batch.get("calls", ()):
            apply_call(decisions, now, _decode_call(call))
        batches += 1
        orders = json.loads(json.dumps(recorder.recorded))
        if orders != batch["orders"]:
            differences.append(f"batch {batches} at {now}: {orders} instead of {batch['orders']}")
    return ReplayResult(batches, differences)


def _decode_call(call: RecordedCall) -> RecordedCall:
    kind = EventKind(call[0])
    decoded = list(call)
    if kind is EventKind.HOST_LIST:
        decoded[1] = [ListedHost(bytes.fromhex(row[0]), *row[1:]) for row in call[1]]
    elif kind in HOST_ARGUMENTS:
        index = HOST_ARGUMENTS[kind]
        decoded[index] = bytes.fromhex(call[index])
    return decoded
