"""The event loop: passes queued events to the decision engine in batches.

All events of a batch carry one clock reading. One greenlet (`EventLoop.run`) owns the decision
engine and the sink of its orders. Other greenlets only put events into a bounded queue or add to
the aggregated reports. The seed, the settings and the sequence of batches determine every order, so
that a record of batches can be replayed (`recorded_batches`). The loop is independent of the
protocol: its sink collects the orders of a batch and turns them into messages (`long_poll_sink` for
the long-poll protocol, `ironfall.platform` for the platform protocol).
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
from ironfall.decisions.time_units import MICROSECONDS_PER_TICK, SECOND
from ironfall.director.clock import Clock
from ironfall.director.recorded_batches import (
    Decide,
    RecordedCall,
    RecordingSink,
    RecordWriter,
    apply_call,
)

MIN_BATCH_INTERVAL_TICKS = 40
"""Minimum time between two batches, so that events that arrive together share a batch."""

REPORT_BATCH_INTERVAL_TICKS = SECOND // 20
"""Minimum time between two batches if only reports are waiting."""

MAX_WAIT_SECONDS = 0.1
"""The longest wait between two clock readings; much longer gaps reveal stalls (`STALL_TICKS`)."""

MIN_WAIT_SECONDS = 0.0005
FULL_QUEUE_RETRY_SECONDS = 0.05
MAX_RECORDED_MICROSECONDS = 60_000_000
HISTOGRAM_DIGITS = 3

BATCH_ORDER = {
    EventKind.HOST_LIST: 0,
    EventKind.WEIGHT_BOUNDS: 1,
    EventKind.EXCLUDED_CLASSES: 2,
    EventKind.HOST_LIST_FAILED: 3,
    # These share a rank to keep their order: a proxy that joined and left between two batches must
    # end as one that left.
    EventKind.PROXY_JOINED: 4,
    EventKind.PROXY_DESYNCHRONIZED: 4,
    EventKind.PROXY_LEFT: 4,
    EventKind.VERSION_APPLIED: 5,
    EventKind.HEALTH_CHECK: 6,
    EventKind.GAUGE_READING: 7,
}
"""The rank of queued events within a batch; events of the same rank keep their queue order."""

ALWAYS_QUEUED = frozenset({EventKind.PROXY_JOINED, EventKind.PROXY_LEFT})
"""Events queued even if the queue is full: joins are limited earlier, before a session opens."""


class BatchSink(OrderSink, Protocol):
    """Collects the orders of a batch and turns them into messages."""

    def on_clock_read(self, now: int) -> None:
        """Does periodic work outside batches; called on every step of the loop."""

    def end_batch(self, now: int) -> None:
        """Ends a batch and turns its orders into messages."""

    def send_due(self, now: int) -> float:
        """Sends the messages that are due; returns the seconds until the next one is due."""


class AggregatedReports(Protocol):
    """Load reports, aggregated until a batch takes them.

    Attributes:
        next_ready_at: When the current period ends and its reports become ready, in ticks.
    """

    next_ready_at: int

    @property
    def ready(self) -> Sized:
        """The reports that the next batch can take."""

    def calls(self, now: int) -> list[RecordedCall]:
        """Removes the reports that are due and returns them as calls on the decision engine."""


class QueuedEvent(NamedTuple):
    """An event in the queue."""

    queued_at: int
    kind: EventKind
    arguments: tuple[Any, ...]


class Timer(NamedTuple):
    """A timer of the decision engine; `sequence` orders timers that are due at the same time."""

    due_at: int
    sequence: int
    token: int


def microseconds_histogram() -> HdrHistogram:
    """Returns an empty histogram of times in microseconds."""
    return HdrHistogram(1, MAX_RECORDED_MICROSECONDS, HISTOGRAM_DIGITS)


class EventLoop:
    """The event loop and its state.

    Attributes:
        batch_time: The time of the current or last batch, in ticks.
        events: The queued events.
        counts: Counters by name, for status and metrics.
        batch_durations: Durations of batches, in microseconds.
        queue_waits: Times that events were queued, in microseconds.
        orders: The recorder that the decision engine gives its orders to.
        engine: The decision engine; None until `begin`.
    """

    def __init__(  # noqa: PLR0913 - unrelated collaborators of the loop
        self,
        service: ServiceSettings,
        seed: int,
        clock: Clock,
        make_engine: Decide,
        log: Any,
        sink: BatchSink,
        reports: AggregatedReports,
        max_events: int,
        record: TextIO | None = None,
    ) -> None:
        """`max_events` is the capacity of the queue; all batches are written to `record`."""
        self.service = service
        self.seed = seed
        self.clock = clock
        self.make_engine = make_engine
        self.log = log
        self.sink = sink
        self.reports = reports
        self.max_events = max_events
        self.record = RecordWriter(record) if record else None
        self.batch_time = clock.now()
        self.events: deque[QueuedEvent] = deque()
        self.stopping = False
        self.counts: dict[str, int] = {}
        self.batch_durations = microseconds_histogram()
        self.queue_waits = microseconds_histogram()
        self.orders = RecordingSink(sink, self._set_timer)
        self.engine: Any = None
        self._last_batch_at = self.batch_time
        self._timers: list[Timer] = []
        self._timers_set = 0
        self._wakeup = Event()

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter in `counts`."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def put(self, kind: EventKind | str, *arguments: Any) -> bool:
        """Queues an event for the next batch; False if the queue is full.

        `arguments` are passed to the decision engine's method, after the time if it takes one.
        """
        kind = EventKind(kind)
        if len(self.events) >= self.max_events and kind not in ALWAYS_QUEUED:
            self.count("events refused")
            return False
        self.events.append(QueuedEvent(self.clock.now(), kind, arguments))
        self._wakeup.set()
        return True

    def put_blocking(self, kind: EventKind | str, *arguments: Any) -> None:
        """Queues an event; blocks the greenlet while the queue is full."""
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
        """Creates the decision engine and processes its first orders."""
        self.batch_time = self.clock.now()
        self._last_batch_at = self.batch_time
        rng = random.Random(self.seed)
        self.engine = self.make_engine(self.orders, self.service, rng, self.batch_time)
        orders = self.orders.pop_recorded()
        if self.record:
            self.record.write_start(self.seed, self.batch_time, orders)
        self.sink.end_batch(self.batch_time)
        if not self.service.requests_host_list:
            self.sink.watch_hosts()

    def step(self) -> float:
        """Runs one iteration; returns the seconds until the next one is due."""
        now = self._read_clock()
        self.sink.on_clock_read(now)
        if self._is_batch_due(now):
            self.run_batch(now)
            self._last_batch_at = now
        wait = min(MAX_WAIT_SECONDS, self.sink.send_due(now))
        if self.events:
            wait = min(wait, (self._last_batch_at + MIN_BATCH_INTERVAL_TICKS - now) / SECOND)
        if self._timers:
            wait = min(wait, (self._timers[0].due_at - now) / SECOND)
        return max(MIN_WAIT_SECONDS, wait)

    def run_batch(self, now: int) -> None:
        """Passes events, due reports and expired timers to the engine; closes the batch."""
        started_at = self.clock.monotonic()
        self.batch_time = now
        calls: list[RecordedCall] = []
        for event in self._pop_events():
            waited = (now - event.queued_at) * MICROSECONDS_PER_TICK
            self.queue_waits.record_value(max(1, waited))
            self._apply(now, [event.kind, *event.arguments], calls)
        for call in self.reports.calls(now):
            self._apply(now, call, calls)
        while self._timers and self._timers[0].due_at <= now:
            self._apply(now, [EventKind.TIMER, heapq.heappop(self._timers).token], calls)
        self.sink.end_batch(now)
        orders = self.orders.pop_recorded()
        if self.record:
            self.record.write_batch(now, calls, orders)
        self.batch_durations.record_value(max(1, int((self.clock.monotonic() - started_at) * 1e6)))

    def _read_clock(self) -> int:
        stalls = self.clock.stalls
        now = self.clock.now()
        if self.clock.stalls != stalls:
            stalled = round(self.clock.stalled, 1)
            self.log.warning("process stalled", stalls=self.clock.stalls, seconds=stalled)
        return now

    def _is_batch_due(self, now: int) -> bool:
        since_last = now - self._last_batch_at
        if since_last < MIN_BATCH_INTERVAL_TICKS:
            return False
        if self.events or now >= self.reports.next_ready_at:
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
        apply_call(self.engine, now, call)

    def _set_timer(self, delay: int, token: int) -> None:
        self._timers_set += 1
        heapq.heappush(self._timers, Timer(self.batch_time + delay, self._timers_set, token))
