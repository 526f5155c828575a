"""The event loop: puts the events since the last batch to the decisions, at one clock reading.

One greenlet (`EventLoop.run`) owns the decisions and the sink of their orders. Others only put
events into a bounded queue, or add to the aggregated reports. The seed, the settings and the
sequence of batches determine every order, so that a record of batches can be replayed
(`recorded_batches`). The loop knows no protocol: the sink that it is given gathers a batch's orders
and closes them into messages (`long_poll_sink` for the long-poll protocol, `ironfall.platform` for
the platform's).
"""

import heapq
import random
from collections import deque
from collections.abc import Sized
from typing import Any, NamedTuple, Protocol, TextIO

import gevent
from gevent.event import Event
from hdrh.histogram import HdrHistogram

from ironfall.decisions.events import EventKind
from ironfall.decisions.interface import OrderSink, ServiceSettings
from ironfall.director.clock import SECOND as SECOND  # `ironfall.platform` imports it from here.
from ironfall.director.clock import Clock
from ironfall.director.recorded_batches import (
    Decide,
    RecordedCall,
    RecordingSink,
    RecordWriter,
    apply_call,
)

MIN_BATCH_INTERVAL_TICKS = 40
"""Between two batches, so that events that come together are decided together."""

REPORT_BATCH_INTERVAL_TICKS = SECOND // 20
"""Between two batches, where only reports wait."""

MAX_WAIT_SECONDS = 0.1
"""The loop reads the clock at least that often, and so notices a stall of its process."""

MIN_WAIT_SECONDS = 0.0005
FULL_QUEUE_RETRY_SECONDS = 0.05
MICROSECONDS_PER_TICK = 100
MAX_RECORDED_MICROSECONDS = 60_000_000
HISTOGRAM_DIGITS = 3

BATCH_ORDER = {
    EventKind.HOST_LIST: 0,
    EventKind.WEIGHT_BOUNDS: 1,
    EventKind.EXCLUDED_CLASSES: 2,
    EventKind.HOST_LIST_FAILED: 3,
    # Of one rank: a proxy that joined and left between two batches has left.
    EventKind.PROXY_JOINED: 4,
    EventKind.PROXY_DESYNCHRONIZED: 4,
    EventKind.PROXY_LEFT: 4,
    EventKind.VERSION_APPLIED: 5,
    EventKind.HEALTH_CHECK: 6,
    EventKind.GAUGE_READING: 7,
}
"""The rank of queued events within a batch; those of a rank keep the order in which they came."""

ALWAYS_QUEUED = frozenset({EventKind.PROXY_JOINED, EventKind.PROXY_LEFT})
"""Events that the queue takes when it is full: a join is refused before its session is opened."""


class BatchSink(OrderSink, Protocol):
    """Gathers the orders of a batch and closes them into messages."""

    def look(self, now: int) -> None:
        """Does what is due apart from batches; called as often as the loop reads the clock."""

    def close(self, now: int) -> None:
        """Ends a batch: its orders become messages."""

    def release(self, now: int) -> float:
        """Sends what may leave by now; returns the seconds until more may."""


class AggregatedReports(Protocol):
    """Load reports, added up until a batch takes them.

    Attributes:
        next: When more is ready whatever is ready now, in ticks.
    """

    next: int

    @property
    def ready(self) -> Sized:
        """The reports that a batch can take."""

    def calls(self, now: int) -> list[RecordedCall]:
        """Takes the reports that are due, as calls on the decisions."""


class QueuedEvent(NamedTuple):
    """An event that waits for a batch."""

    queued_at: int
    kind: EventKind
    arguments: tuple[Any, ...]


class Timer(NamedTuple):
    """A timer of the decisions; `sequence` orders those that are due at the same time."""

    due_at: int
    sequence: int
    token: int


def microseconds_histogram() -> HdrHistogram:
    """Returns an empty histogram of times in microseconds."""
    return HdrHistogram(1, MAX_RECORDED_MICROSECONDS, HISTOGRAM_DIGITS)


class EventLoop:
    """The loop and its state.

    Attributes:
        at: The time of the current or last batch, in ticks.
        events: The events that wait for a batch.
        counts: Numbers of what happened, by name, for status and metrics.
        lengths: How long batches took, in microseconds.
        waits: How long events waited for their batch, in microseconds.
        orders: What the decisions give their orders to.
        decisions: The decisions; None until `begin`.
    """

    def __init__(  # noqa: PLR0913 - the loop's collaborators; no two of them belong together
        self,
        service: ServiceSettings,
        seed: int,
        clock: Clock,
        decide: Decide,
        log: Any,
        sink: BatchSink,
        reports: AggregatedReports,
        max_events: int,
        record: TextIO | None = None,
    ) -> None:
        """`max_events` is the capacity of the queue; to `record` all batches are written."""
        self.service = service
        self.seed = seed
        self.clock = clock
        self.decide = decide
        self.log = log
        self.sink = sink
        self.reports = reports
        self.max_events = max_events
        self.record = RecordWriter(record) if record else None
        self.at = clock.now()
        self.events: deque[QueuedEvent] = deque()
        self.stopping = False
        self.counts: dict[str, int] = {}
        self.lengths = microseconds_histogram()
        self.waits = microseconds_histogram()
        self.orders = RecordingSink(sink, self._set_timer)
        self.decisions: Any = None
        self._last_batch_at = self.at
        self._timers: list[Timer] = []
        self._timers_set = 0
        self._wakeup = Event()

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a number in `counts`."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def put(self, kind: EventKind | str, *arguments: Any) -> bool:
        """Queues an event for the next batch; False if the queue is full.

        `arguments` are those of the decisions' method after the time.
        """
        kind = EventKind(kind)
        if len(self.events) >= self.max_events and kind not in ALWAYS_QUEUED:
            self.count("events refused")
            return False
        self.events.append(QueuedEvent(self.clock.now(), kind, arguments))
        self._wakeup.set()
        return True

    def insist(self, kind: EventKind | str, *arguments: Any) -> None:
        """Queues an event that must not be lost: blocks the greenlet until the queue has room."""
        while not self.put(kind, *arguments):
            gevent.sleep(FULL_QUEUE_RETRY_SECONDS)

    def run(self) -> None:
        """Runs the loop until `stop`."""
        self.begin()
        while not self.stopping:
            wait = self.step()
            self._wakeup.clear()
            self._wakeup.wait(wait)

    def stop(self) -> None:
        """Ends `run` after the current batch."""
        self.stopping = True
        self._wakeup.set()

    def begin(self) -> None:
        """Makes the decisions and takes the orders that they start with."""
        self.at = self.clock.now()
        self._last_batch_at = self.at
        chance = random.Random(self.seed)
        self.decisions = self.decide(self.orders, self.service, chance, self.at)
        orders = self.orders.pop_recorded()
        if self.record:
            self.record.write_start(self.seed, self.at, orders)
        self.sink.close(self.at)
        if not self.service.requests_host_list:
            self.sink.watch_hosts()

    def step(self) -> float:
        """Does what is due now; returns the seconds until something may be due again."""
        now = self._read_clock()
        self.sink.look(now)
        if self._is_batch_due(now):
            self.run_batch(now)
            self._last_batch_at = now
        wait = min(MAX_WAIT_SECONDS, self.sink.release(now))
        if self.events:
            wait = min(wait, (self._last_batch_at + MIN_BATCH_INTERVAL_TICKS - now) / SECOND)
        if self._timers:
            wait = min(wait, (self._timers[0].due_at - now) / SECOND)
        return max(MIN_WAIT_SECONDS, wait)

    def run_batch(self, now: int) -> None:
        """Puts events, due reports and expired timers to the decisions, and closes the batch."""
        began = self.clock.monotonic()
        self.at = now
        calls: list[RecordedCall] = []
        for event in self._pop_events():
            waited = (now - event.queued_at) * MICROSECONDS_PER_TICK
            self.waits.record_value(max(1, waited))
            self._apply(now, [event.kind, *event.arguments], calls)
        for call in self.reports.calls(now):
            self._apply(now, call, calls)
        while self._timers and self._timers[0].due_at <= now:
            self._apply(now, [EventKind.TIMER, heapq.heappop(self._timers).token], calls)
        self.sink.close(now)
        orders = self.orders.pop_recorded()
        if self.record:
            self.record.write_batch(now, calls, orders)
        self.lengths.record_value(max(1, int((self.clock.monotonic() - began) * 1e6)))

    def _read_clock(self) -> int:
        stalls = self.clock.stalls
        now = self.clock.now()
        if self.clock.stalls != stalls:
            stalled = round(self.clock.stalled, 1)
            self.log.warning("stood still", stalls=self.clock.stalls, seconds=stalled)
        return now

    def _is_batch_due(self, now: int) -> bool:
        since_last = now - self._last_batch_at
        if since_last < MIN_BATCH_INTERVAL_TICKS:
            return False
        if self.events or now >= self.reports.next:
            return True
        if self._timers and self._timers[0].due_at <= now:
            return True
        return bool(self.reports.ready) and since_last >= REPORT_BATCH_INTERVAL_TICKS

    def _pop_events(self) -> list[QueuedEvent]:
        events = sorted(self.events, key=lambda event: BATCH_ORDER[event.kind])
        self.events.clear()
        return events

    def _apply(self, now: int, call: RecordedCall, calls: list[RecordedCall]) -> None:
        calls.append(call)
        apply_call(self.decisions, now, call)

    def _set_timer(self, delay: int, token: int) -> None:
        self._timers_set += 1
        heapq.heappush(self._timers, Timer(self.at + delay, self._timers_set, token))
