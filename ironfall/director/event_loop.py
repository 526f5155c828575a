"""The turn: all that came in since the last one, in one order, at one clock reading, put to the decisions.

One greenlet (`EventLoop.run`) owns the module and the exit; others only put events into a bounded queue or add sums to
the intake. The seed, the terms and the sequence of turns determine every order, so that a record of turns can be
played again (`replay`). The loop knows no protocol: it is handed an exit that gathers a turn's orders and closes
them into messages (`live` for the long-poll protocol, `ironfall.platform` for the platform's).
"""

import heapq
import json
import random
from collections import deque
from collections.abc import Callable, Sized
from typing import Any, Protocol, TextIO

import gevent
from gevent.event import Event
from hdrh.histogram import HdrHistogram

from ironfall.decisions.interface import ListedHost, Orders, OrderSink, ServiceSettings
from ironfall.director.clock import Clock

SECOND = 10_000
GAP = 40  # between two turns at the least, so that what comes together is decided together
BEAT = 0.1  # seconds; the loop reads the clock at least that often, and so sees its own standstill
# Events of one turn go to the module in this order; those of a kind in the order in which they came.
KINDS = (
    "listed",
    "held_between",
    "kept_from",
    "list_failed",
    "joined",
    "strayed",
    "applied",
    "probed",
    "gauged",
)
RANK = {kind: rank for rank, kind in enumerate(KINDS)}
RANK["left"] = RANK["strayed"] = RANK[
    "joined"
]  # as they came: who joined and left between two turns has left

# A record of turns names events and orders as it did before their methods were renamed.
EVENT_METHODS = {
    "listed": "on_host_list",
    "held_between": "set_weight_bounds",
    "kept_from": "set_excluded_classes",
    "list_failed": "on_host_list_failed",
    "joined": "on_proxy_joined",
    "strayed": "on_proxy_desynchronized",
    "left": "on_proxy_left",
    "applied": "on_version_applied",
    "probed": "on_health_check",
    "gauged": "on_gauge_reading",
    "heard": "on_upstream_report",
    "arrived": "on_request_report",
    "woken": "on_timer",
}
TIMELESS_EVENTS = frozenset({"left", "held_between", "list_failed"})  # called without the time
ORDER_NAMES = {
    "set_weight": "set_line",
    "assign": "bind",
    "withdraw": "withdraw",
    "admit": "admit",
    "health_check": "probe",
    "request_confirmation": "mark",
    "watch_hosts": "watch_list",
    "set_timer": "wake",
    "forget": "forget",
}

Decide = Callable[[Orders, ServiceSettings, random.Random, int], Any]


class BatchSink(OrderSink, Protocol):
    """What a turn's orders go out by: it gathers them as they are given and closes them into messages."""

    def look(self, now: int) -> None: ...  # before a turn, at least as often as the clock is read
    def close(self, now: int) -> None: ...
    def release(self, now: int) -> float: ...  # what leaves by itself; the seconds until more does


class Sums(Protocol):
    """What proxies met and what came to them, until a turn takes it."""

    next: int  # when more is ready whatever is ready now

    @property
    def ready(self) -> Sized: ...
    def calls(self, now: int) -> list[list[Any]]: ...


class RecordingSink:
    """`Orders` as the decisions are handed them: written down for the record and passed on; timers stay here."""

    def __init__(self, turns: "EventLoop", way: BatchSink) -> None:
        self.turns, self.exit = turns, way
        self.orders: list[list[Any]] = []

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        self.orders.append(["set_line", table, host.hex(), weight])
        self.exit.set_weight(table, host, weight)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        self.orders.append(["bind", proxy, table, classes])
        self.exit.assign(proxy, table, classes)

    def withdraw(self, host: bytes, out: bool) -> None:
        self.orders.append(["withdraw", host.hex(), out])
        self.exit.withdraw(host, out)

    def admit(self, classes: int, level: float, tries: int) -> None:
        self.orders.append(["admit", classes, level, tries])
        self.exit.admit(classes, level, tries)

    def health_check(self, host: bytes) -> None:
        self.orders.append(["probe", host.hex()])
        self.exit.health_check(host)

    def request_confirmation(self, version: int) -> None:
        self.orders.append(["mark", version])
        self.exit.request_confirmation(version)

    def watch_hosts(self) -> None:
        self.orders.append(["watch_list"])
        self.exit.watch_hosts()

    def set_timer(self, delay: int, token: int) -> None:
        self.orders.append(["wake", delay, token])
        self.turns.later(self.turns.at + delay, token)

    def forget(self, host: bytes) -> None:
        self.orders.append(["forget", host.hex()])
        self.exit.forget(host)


class EventLoop:
    def __init__(
        self,
        service: ServiceSettings,
        seed: int,
        clock: Clock,
        decide: Decide,
        log: Any,
        way: BatchSink,
        intake: Sums,
        most: int,
        record: TextIO | None = None,
    ) -> None:
        self.service, self.clock, self.log, self.record = service, clock, log, record
        self.decide, self.seed, self.exit, self.sums, self.most = decide, seed, way, intake, most
        self.at = clock.now()
        self.events: deque[tuple[int, str, tuple[Any, ...]]] = deque()
        self.timers: list[tuple[int, int, int]] = []
        self.timed = 0
        self.stir = Event()
        self.stopping = False
        self.counts: dict[str, int] = {}
        self.lengths = HdrHistogram(1, 60_000_000, 3)  # microseconds of a turn
        self.waits = HdrHistogram(1, 60_000_000, 3)  # from event to the turn that takes it
        self.given = RecordingSink(self, way)
        self.decisions: Any = None

    def count(self, what: str, more: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + more

    # what other greenlets do

    def put(self, what: str, *about: Any) -> bool:
        """An event for the next turn. False when the queue is full: the sender is held back.

        Sessions begin and end whatever waits: a join is refused before it is begun.
        """
        if len(self.events) >= self.most and what not in ("left", "joined"):
            self.count("events refused")
            return False
        self.events.append((self.clock.now(), what, about))
        self.stir.set()
        return True

    def insist(self, what: str, *about: Any) -> None:
        """An event that may not be lost: waits, on the caller's greenlet, until the queue has room."""
        while not self.put(what, *about):
            gevent.sleep(0.05)

    def later(self, at: int, token: int) -> None:
        self.timed += 1
        heapq.heappush(self.timers, (at, self.timed, token))

    # the loop

    def run(self) -> None:
        self.begin()
        while not self.stopping:
            wait = self.step()
            self.stir.clear()
            self.stir.wait(wait)

    def begin(self) -> None:
        self.at = self.last_turn = self.clock.now()
        self.decisions = self.decide(self.given, self.service, random.Random(self.seed), self.at)
        if self.record:
            first = {"seed": self.seed, "now": self.at, "orders": self.given.orders}
            self.record.write(json.dumps(first) + "\n")
        self._close(self.at)
        if not self.service.requests_host_list:
            self.exit.watch_hosts()

    def step(self) -> float:
        """What is due now; the seconds until something may be due again."""
        stalls = self.clock.stalls
        now = self.clock.now()
        if self.clock.stalls != stalls:
            self.log.warning(
                "stood still", stalls=self.clock.stalls, seconds=round(self.clock.stalled, 1)
            )
        self.exit.look(now)
        due = (
            bool(self.events)
            or bool(self.timers and self.timers[0][0] <= now)
            or now >= self.sums.next
        )
        due = due or (bool(self.sums.ready) and now - self.last_turn >= SECOND // 20)
        if due and now - self.last_turn >= GAP:
            self.turn(now)
            self.last_turn = now
        wait = min(BEAT, self.exit.release(now))
        if self.events:
            wait = min(wait, (self.last_turn + GAP - now) / SECOND)
        if self.timers:
            wait = min(wait, (self.timers[0][0] - now) / SECOND)
        return max(0.0005, wait)

    def stop(self) -> None:
        self.stopping = True
        self.stir.set()

    def turn(self, now: int) -> None:
        begun = self.clock.monotonic()
        self.at = now
        events = sorted(self.events, key=lambda e: RANK[e[1]])
        self.events.clear()
        calls: list[list[Any]] = []
        for came, what, about in events:
            self.waits.record_value(max(1, (now - came) * 100))
            self._call(now, [what, *about], calls)
        for call in self.sums.calls(now):
            self._call(now, call, calls)
        while self.timers and self.timers[0][0] <= now:
            self._call(now, ["woken", heapq.heappop(self.timers)[2]], calls)
        self._close(now, calls)
        self.lengths.record_value(max(1, int((self.clock.monotonic() - begun) * 1e6)))

    def _call(self, now: int, call: list[Any], calls: list[list[Any]]) -> None:
        calls.append(call)
        apply_event(self.decisions, now, call)

    def _close(self, now: int, calls: list[list[Any]] | None = None) -> None:
        """Gather what was ordered at this turn into one message for each proxy concerned."""
        self.exit.close(now)
        if self.record and calls is not None and (calls or self.given.orders):
            turn = {"now": now, "calls": calls, "orders": self.given.orders}
            self.record.write(json.dumps(turn, default=_plain) + "\n")
        self.given.orders = []


def _plain(value: Any) -> Any:
    return value.hex() if isinstance(value, bytes) else value


def apply_event(decisions: Any, now: int, call: list[Any]) -> None:
    """Applies one recorded call to the decisions."""
    name, *arguments = call
    method = getattr(decisions, EVENT_METHODS[name])
    if name in TIMELESS_EVENTS:
        method(*arguments)
    else:
        method(now, *arguments)


class _Plainly:
    """`Orders` that are only written down."""

    def __init__(self) -> None:
        self.orders: list[list[Any]] = []

    def __getattr__(self, method: str) -> Callable[..., None]:
        name = ORDER_NAMES[method]
        return lambda *about: self.orders.append([name, *map(_plain, about)])


def replay(lines: Any, terms: ServiceSettings, decide: Decide) -> tuple[int, list[str]]:
    """Put recorded turns to a fresh director: how many turns, and those whose orders differ from the record."""
    differing: list[str] = []
    turns = 0
    orders, decisions = _Plainly(), None
    for line in lines:
        turn = json.loads(line)
        orders.orders = []
        if decisions is None:
            decisions = decide(orders, terms, random.Random(turn["seed"]), turn["now"])
        for call in turn.get("calls", ()):
            apply_event(decisions, turn["now"], _revive(call))
        turns += 1
        given = json.loads(json.dumps(orders.orders))
        if given != turn["orders"]:
            differing.append(f"turn {turns} at {turn['now']}: {given} in place of {turn['orders']}")
    return turns, differing


def _revive(call: list[Any]) -> list[Any]:
    if call[0] == "listed":
        return [
            "listed",
            [ListedHost(bytes.fromhex(row[0]), *row[1:]) for row in call[1]],
            *call[2:],
        ]
    if call[0] in ("heard", "probed", "gauged", "held_between", "kept_from"):
        place = 2 if call[0] == "heard" else 1
        return [*call[:place], bytes.fromhex(call[place]), *call[place + 1 :]]
    return call
