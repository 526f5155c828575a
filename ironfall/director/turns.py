"""The turn: all that came in since the last one, in one order, at one clock reading, put to the decisions.

One greenlet (`Live.run`) owns the module, the publication and the channel; others only put events into a bounded
queue or add sums to the intake. The seed, the terms and the sequence of turns determine every order, so that a
record of turns can be played again (`replay`).
"""

import heapq
import json
import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, TextIO

import gevent
from gevent.event import Event
from hdrh.histogram import HdrHistogram

from ironfall.director import explain
from ironfall.director.channel import Channel, Message
from ironfall.director.clock import Clock
from ironfall.director.intake import Intake, Met
from ironfall.director.roster import Roster
from ironfall.director.sessions import Session, Sessions
from ironfall.director.weighing import Came, together
from ironfall.interface import Listing, Orders, ServiceTerms
from ironfall.publication import Publication
from ironfall.terms import Terms

SECOND = 10_000
GAP = 40  # between two turns at the least, so that what comes together is decided together
BEAT = 0.1  # seconds; the loop reads the clock at least that often, and so sees its own standstill
# Events of one turn go to the module in this order; those of a kind in the order in which they came.
KINDS = ("listed", "held_between", "kept_from", "list_failed", "joined", "strayed", "applied", "probed", "gauged")
RANK = {kind: rank for rank, kind in enumerate(KINDS)}
RANK["left"] = RANK["strayed"] = RANK["joined"]  # as they came: who joined and left between two turns has left

Decide = Callable[[Orders, ServiceTerms, random.Random, int], Any]


class World(Protocol):
    """What the turn loop sets going and does not wait for."""

    def watch(self) -> None: ...
    def probe(self, host: str) -> None: ...
    def forget(self, host: str) -> None: ...


class Given:
    """`Orders` of the live director: into the publication, the timers and the world."""

    def __init__(self, live: "Live") -> None:
        self.live = live
        self.mark_now = -1
        self.bound: dict[int, int] = {}  # classes by proxy, as a mask
        self.orders: list[list[Any]] = []
        self.said: list[tuple[str, dict[str, Any]]] = []

    def set_line(self, table: int, host: bytes, weight: float) -> None:
        name = self.live.roster.hosts[host]
        self.live.publication.set_line(table, name, weight)
        self.orders.append(["set_line", table, host.hex(), weight])
        self.said.append(("line", {"table": table, "host": name, "weight": round(weight, 4)}))

    def bind(self, proxy: int, table: int, classes: int) -> None:
        self.live.publication.bind(proxy, table, classes)
        self.bound[proxy] = self.bound.get(proxy, 0) | (classes or self.live.every)
        self.orders.append(["bind", proxy, table, classes])
        session = self.live.sessions.by_number.get(proxy)
        self.said.append(("bind", {"proxy": session.name if session else proxy, "table": table, "classes": classes}))

    def withdraw(self, host: bytes, out: bool) -> None:
        name = self.live.roster.hosts[host]
        self.live.publication.withdraw(name, out)
        self.orders.append(["withdraw", host.hex(), out])
        evidence = explain.withdrawal(self.live.decisions, host, self.live.at)
        # Who is listed no more comes back nowhere: its withdrawal is let go.
        what = "withdraw" if out else "return" if name in self.live.roster.entries else "let go"
        if out:
            self.live.count(f"withdrawals: {evidence.get('cause', 'unknown').partition(':')[0]}")
        elif what == "return":
            self.live.count("returns")
        self.said.append((what, {"host": name, **evidence}))

    def admit(self, classes: int, level: float, tries: int) -> None:
        self.live.publication.admit(classes, level, tries)
        self.orders.append(["admit", classes, level, tries])
        # Not called a level here: in a log that is how grave a line is.
        said = {"classes": classes, "share": round(level, 4), "tries": tries}
        self.said.append(("admit", {**said, **explain.admission(self.live.decisions)}))

    def probe(self, host: bytes) -> None:
        self.orders.append(["probe", host.hex()])
        self.live.world.probe(self.live.roster.hosts[host])

    def mark(self, version: int) -> None:
        self.orders.append(["mark", version])
        self.mark_now = version

    def watch_list(self) -> None:
        self.orders.append(["watch_list"])
        self.live.world.watch()

    def wake(self, delay: int, token: int) -> None:
        self.orders.append(["wake", delay, token])
        self.live.later(self.live.at + delay, token)

    def forget(self, host: bytes) -> None:
        self.orders.append(["forget", host.hex()])
        if name := self.live.roster.forget(host):
            self.live.world.forget(name)


class Live:
    """One director. `world` is set by whoever starts it, before `run`."""

    world: World

    def __init__(self, terms: Terms, seed: int, clock: Clock, epoch: int, decide: Decide, log: Any,
                 record: TextIO | None = None) -> None:  # fmt: skip
        self.terms, self.clock, self.epoch, self.log, self.record = terms, clock, epoch, log, record
        self.decide, self.seed = decide, seed
        limits = terms.limits
        now = self.at = clock.now()
        self.publication = Publication(epoch, len(terms.classes), limits.versions, limits.entries)
        self.channel = Channel(terms.lines_each_second)
        self.intake = Intake(now, terms.service.report_every, terms.report_lines)
        self.roster = Roster(terms.zones, terms.service.cold_time)
        self.sessions = Sessions(limits.sessions, limits.lapse, limits.polls)
        self.every = (1 << len(terms.classes)) - 1
        self.events: deque[tuple[int, str, tuple[Any, ...]]] = deque()
        self.timers: list[tuple[int, int, int]] = []
        self.timed = 0
        self.stir = Event()
        self.stopping = False
        self.counts: dict[str, int] = {}
        self.by_zone = [(0.0, 0)] * len(terms.zones)  # lines and messages that left, to proxies still there
        self.lengths = HdrHistogram(1, 60_000_000, 3)  # microseconds of a turn
        self.waits = HdrHistogram(1, 60_000_000, 3)  # from event to the turn that takes it
        self.applies = HdrHistogram(1, 600_000_000, 3)  # from order to the proxy's confirmation
        self.given = Given(self)
        self.decisions: Any = None

    def count(self, what: str, more: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + more

    # what other greenlets do

    def put(self, what: str, *about: Any) -> bool:
        """An event for the next turn. False when the queue is full: the sender is held back.

        Sessions begin and end whatever waits: a join is refused before it is begun.
        """
        if len(self.events) >= self.terms.limits.events and what not in ("left", "joined"):
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

    def leave(self, session: Session, why: str) -> None:
        self.sessions.close(session)
        # What left the channel for it will not be acknowledged any more, and takes up no room all the same.
        for message in session.carried:
            self._gone(message)
        self.publication.leave(session.number)
        self.channel.forget(session.number)
        self.intake.forget(session.number)
        self.put("left", session.number)
        self.log.info("proxy left", proxy=session.name, number=session.number, why=why)

    def want_whole(self, session: Session, why: str) -> None:
        """A whole state for a proxy that can't be told a delta: the decisions bind it anew, and count its lines."""
        if not session.resync and self.put("strayed", session.number):
            session.resync = True
            self.count(f"whole states: {why}")
            self.log.info("whole state", proxy=session.name, cause=why)

    # the loop

    def run(self) -> None:
        self.begin()
        while not self.stopping:
            wait = self.step()
            self.stir.clear()
            self.stir.wait(wait)

    def begin(self) -> None:
        self.at = self.last_turn = self.checked = self.clock.now()
        self.decisions = self.decide(self.given, self.terms.service, random.Random(self.seed), self.at)
        if self.record:
            first = {"seed": self.seed, "now": self.at, "orders": self.given.orders}
            self.record.write(json.dumps(first) + "\n")
        self._close(self.at)
        if not self.terms.service.ask_for_list:
            self.world.watch()

    def step(self) -> float:
        """What is due now; the seconds until something may be due again."""
        stalls = self.clock.stalls
        now = self.clock.now()
        if self.clock.stalls != stalls:
            self.log.warning("stood still", stalls=self.clock.stalls, seconds=round(self.clock.stalled, 1))
        if now - self.checked >= SECOND // 5:
            self.checked = now
            for session in self.sessions.lapsed(now):
                self.leave(session, "no poll within the time allowed")
        due = bool(self.events) or bool(self.timers and self.timers[0][0] <= now) or now >= self.intake.next
        due = due or (bool(self.intake.ready) and now - self.last_turn >= SECOND // 20)
        if due and now - self.last_turn >= GAP:
            self.turn(now)
            self.last_turn = now
        self._release(now)
        wait = BEAT
        if self.events:
            wait = min(wait, (self.last_turn + GAP - now) / SECOND)
        if self.timers:
            wait = min(wait, (self.timers[0][0] - now) / SECOND)
        if (leaves := self.channel.due()) is not None:
            wait = min(wait, (leaves - now) / SECOND)
        return max(0.0005, wait)

    def stop(self) -> None:
        self.stopping = True
        self.stir.set()
        for session in list(self.sessions.by_token.values()):
            session.wake()

    def turn(self, now: int) -> None:
        begun = self.clock.monotonic()
        self.at = now
        events = sorted(self.events, key=lambda e: RANK[e[1]])
        self.events.clear()
        calls: list[list[Any]] = []
        for came, what, about in events:
            self.waits.record_value(max(1, (now - came) * 100))
            self._event(now, what, about, calls)
        for _what, number, at, it in self.intake.hand(now):
            if isinstance(it, Met):
                said = together(it.whole().values())
                good = said.tries - said.failed
                cost = round(said.good_time / good) if good else 0
                call = ["heard", number, at, said.tries, said.failed, cost, it.ends - it.begins, said.gauges]
                self._call(now, call, calls)
            elif isinstance(it, Came):
                self._call(now, ["arrived", number, at, it.came, it.lost], calls)
        while self.timers and self.timers[0][0] <= now:
            self._call(now, ["woken", heapq.heappop(self.timers)[2]], calls)
        self._close(now, calls)
        self.lengths.record_value(max(1, int((self.clock.monotonic() - begun) * 1e6)))

    def _gone(self, message: Message) -> None:
        if message.mark >= 0:
            message.proxy = -1
            self.put("applied", message)

    def _event(self, now: int, what: str, about: tuple[Any, ...], calls: list[list[Any]]) -> None:
        if what == "applied":
            message: Message = about[0]
            if message.proxy >= 0:
                self.applies.record_value(max(1, (now - message.ordered) * 100))
            self._call(now, ["applied", message.mark], calls)
        else:
            self._call(now, [what, *about], calls)

    def _call(self, now: int, call: list[Any], calls: list[list[Any]]) -> None:
        calls.append(call)
        put_to(self.decisions, now, call)

    def _close(self, now: int, calls: list[list[Any]] | None = None) -> None:
        """Gather what was ordered at this turn into one message for each proxy concerned."""
        orders, mark = self.given.orders, self.given.mark_now
        costs = self.publication.close()
        head = self.terms.service.message_head + (mark >= 0)
        for proxy, lines in costs.items():
            session = self.sessions.by_number.get(proxy)
            whole = session is not None and session.resync and self.given.bound.get(proxy) == self.every
            self.channel.put(now, Message(proxy, self.publication.version, lines + head, now, mark, whole))
        for what, about in self.given.said:
            self.log.info(what, version=self.publication.version, **about)
        if self.record and calls is not None and (calls or orders):
            self.record.write(json.dumps({"now": now, "calls": calls, "orders": orders}, default=_plain) + "\n")
        self.given.orders, self.given.said, self.given.mark_now, self.given.bound = [], [], -1, {}

    def _release(self, now: int) -> None:
        for message in self.channel.leave(now):
            session = self.sessions.by_number.get(message.proxy)
            if session is None:
                self._gone(message)
                continue
            session.released = max(session.released, message.version)
            if message.whole:
                session.resync, session.whole_at = False, message.version
            session.carried.append(message)
            lines, messages = self.by_zone[session.zone]
            self.by_zone[session.zone] = (lines + message.lines, messages + 1)
            message.leaves = now
            session.wake()


def _plain(value: Any) -> Any:
    return value.hex() if isinstance(value, bytes) else value


def put_to(decisions: Any, now: int, call: list[Any]) -> None:
    """One recorded call, on a director."""
    what, *about = call
    if what in ("left", "held_between"):
        getattr(decisions, what)(*about)
    elif what == "list_failed":
        decisions.list_failed()
    else:
        getattr(decisions, what)(now, *about)


class _Plainly:
    """`Orders` that are only written down."""

    def __init__(self) -> None:
        self.orders: list[list[Any]] = []

    def __getattr__(self, what: str) -> Callable[..., None]:
        return lambda *about: self.orders.append([what, *map(_plain, about)])


def replay(lines: Any, terms: ServiceTerms, decide: Decide) -> tuple[int, list[str]]:
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
            put_to(decisions, turn["now"], _revive(call))
        turns += 1
        given = json.loads(json.dumps(orders.orders))
        if given != turn["orders"]:
            differing.append(f"turn {turns} at {turn['now']}: {given} in place of {turn['orders']}")
    return turns, differing


def _revive(call: list[Any]) -> list[Any]:
    if call[0] == "listed":
        return ["listed", [Listing(bytes.fromhex(row[0]), *row[1:]) for row in call[1]], *call[2:]]
    if call[0] in ("heard", "probed", "gauged", "held_between", "kept_from"):
        place = 2 if call[0] == "heard" else 1
        return [*call[:place], bytes.fromhex(call[place]), *call[place + 1 :]]
    return call
