"""The live director over the long-poll protocol: the turn loop, and its exit into publication, channel and sessions."""

import math
from typing import Any, Protocol, TextIO

from hdrh.histogram import HdrHistogram

from ironfall.director import explain
from ironfall.director.channel import Channel, Message
from ironfall.director.clock import Clock
from ironfall.director.event_loop import BEAT, SECOND, Decide, EventLoop
from ironfall.director.intake import Intake
from ironfall.director.roster import Roster
from ironfall.director.sessions import Session, Sessions
from ironfall.publication import Publication
from ironfall.terms import Terms


class World(Protocol):
    """What the turn loop sets going and does not wait for."""

    def watch(self) -> None: ...
    def health_check(self, host: str) -> None: ...
    def forget(self, host: str) -> None: ...


class LongPoll:
    """The exit: a turn's orders into the publication, and one message for each proxy concerned into the channel."""

    def __init__(self, live: "Live") -> None:
        self.live = live
        self.mark_now = -1
        self.bound: dict[int, int] = {}  # classes by proxy, as a mask
        self.said: list[tuple[str, dict[str, Any]]] = []
        self.checked = live.clock.now()

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        name = self.live.roster.hosts[host]
        self.live.publication.set_weight(table, name, weight)
        self.said.append(("line", {"table": table, "host": name, "weight": round(weight, 4)}))

    def assign(self, proxy: int, table: int, classes: int) -> None:
        self.live.publication.assign(proxy, table, classes)
        self.bound[proxy] = self.bound.get(proxy, 0) | (classes or self.live.every)
        session = self.live.sessions.by_number.get(proxy)
        self.said.append(
            (
                "bind",
                {"proxy": session.name if session else proxy, "table": table, "classes": classes},
            )
        )

    def withdraw(self, host: bytes, out: bool) -> None:
        name = self.live.roster.hosts[host]
        self.live.publication.withdraw(name, out)
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
        # Not called a level here: in a log that is how grave a line is.
        said = {"classes": classes, "share": round(level, 4), "tries": tries}
        self.said.append(("admit", {**said, **explain.admission(self.live.decisions)}))

    def health_check(self, host: bytes) -> None:
        self.live.world.health_check(self.live.roster.hosts[host])

    def request_confirmation(self, version: int) -> None:
        self.mark_now = version

    def watch_hosts(self) -> None:
        self.live.world.watch()

    def forget(self, host: bytes) -> None:
        if name := self.live.roster.forget(host):
            self.live.world.forget(name)

    def look(self, now: int) -> None:
        if now - self.checked >= SECOND // 5:
            self.checked = now
            for session in self.live.sessions.expired(now):
                self.live.leave(session, "no poll within the time allowed")
            self.live.resume(now)

    def close(self, now: int) -> None:
        live, mark = self.live, self.mark_now
        costs = live.publication.close()
        head = live.service.message_overhead + (mark >= 0)
        for proxy, lines in costs.items():
            session = live.sessions.by_number.get(proxy)
            if session is not None and session.is_throttled:
                continue  # what it misses comes with its next binding
            whole = (
                session is not None
                and session.awaits_complete_state
                and self.bound.get(proxy) == live.every
            )
            name = session.name if session else ""
            live.channel.enqueue(
                now,
                Message(
                    proxy, live.publication.version, lines + head, now, mark, whole, proxy_name=name
                ),
            )
            if (
                session is not None
                and now < session.rejoin_window_until
                and live.spent(now, name, 0)
            ):
                live.throttle(session)
        for what, about in self.said:
            live.log.info(what, version=live.publication.version, **about)
        self.said, self.mark_now, self.bound = [], -1, {}

    def release(self, now: int) -> float:
        live = self.live
        for message in live.channel.take_due(now):
            session = live.sessions.by_number.get(message.proxy)
            if session is None:
                live.gone(message)
                continue
            session.released = max(session.released, message.version)
            if message.is_complete:
                session.awaits_complete_state, session.complete_from = False, message.version
            session.unconfirmed.append(message)
            lines, messages = live.by_zone[session.zone]
            live.by_zone[session.zone] = (lines + message.entries, messages + 1)
            message.leaves_at = now
            session.wake()
        leaves = live.channel.next_departure()
        return BEAT if leaves is None else (leaves - now) / SECOND


class Live(EventLoop):
    """One director. `world` is set by whoever starts it, before `run`."""

    world: World

    def __init__(
        self,
        terms: Terms,
        seed: int,
        clock: Clock,
        epoch: int,
        decide: Decide,
        log: Any,
        record: TextIO | None = None,
    ) -> None:
        self.terms, self.epoch, self.clock = terms, epoch, clock
        limits = terms.limits
        self.publication = Publication(epoch, len(terms.classes), limits.versions, limits.entries)
        self.channel = Channel(terms.entries_per_second, terms.service.message_window)
        self.intake = Intake(clock.now(), terms.service.report_interval, terms.report_lines)
        self.roster = Roster(terms.zones, terms.service.slow_start_time)
        self.sessions = Sessions(limits.sessions, limits.lapse, limits.polls)
        self.throttled: dict[int, Session] = {}  # by number
        self.every = (1 << len(terms.classes)) - 1
        self.by_zone = [(0.0, 0)] * len(
            terms.zones
        )  # lines and messages that left, to proxies still there
        self.applies = HdrHistogram(1, 600_000_000, 3)  # from order to the proxy's confirmation
        super().__init__(
            terms.service,
            seed,
            clock,
            decide,
            log,
            LongPoll(self),
            self.intake,
            limits.events,
            record,
        )

    def join(self, session: Session, rate: float) -> None:
        session.request_rate = rate
        session.released = session.confirmed = self.publication.join(session.number)
        self.intake.joined(session.number, rate)
        now = self.clock.now()
        if self.spent(now, session.name, 1):
            self.throttle(session)
        else:
            self._tell(now, session)

    def _tell(self, now: int, session: Session) -> None:
        """The decisions take it for a proxy of its own, to which nothing was written yet."""
        if self.channel.messages_in_window(now, session.name):
            # What waits for its name was written before, and leaves by `free_at`.
            session.rejoin_window_until = (
                max(now, math.ceil(self.channel.free_at)) + self.service.message_window
            )
        self.put("joined", session.number, session.zone, session.request_rate)

    def spent(self, now: int, name: str, spare: int) -> bool:
        """Whether all messages that a name may be written in the span are used up, but for some to spare.

        A name that was written none has not joined in a loop, however few it may be written.
        """
        written, limit = self.channel.messages_in_window(now, name), self.service.message_limit
        return limit > 0 and written > 0 and written >= limit - spare

    def throttle(self, session: Session) -> None:
        """A name that joins anew too often: its session goes on, and the decisions write to it no more."""
        session.is_throttled, self.throttled[session.number] = True, session
        self.put("left", session.number)
        self.count("sessions throttled")
        self.log.info("throttled", proxy=session.name, number=session.number)

    def resume(self, now: int) -> None:
        """The decisions bind those again whose names may be written a binding and one message more."""
        for session in [s for s in self.throttled.values() if not self.spent(now, s.name, 1)]:
            # A whole state that it asked for meanwhile the decisions have not heard of: its next poll asks again.
            session.is_throttled = session.awaits_complete_state = False
            del self.throttled[session.number]
            self._tell(now, session)

    def leave(self, session: Session, why: str) -> None:
        self.sessions.close(session)
        self.throttled.pop(session.number, None)
        # What left the channel for it will not be acknowledged any more, and takes up no room all the same.
        for message in session.unconfirmed:
            self.gone(message)
        self.publication.leave(session.number)
        self.channel.detach(session.number)
        self.intake.forget(session.number)
        self.put("left", session.number)
        self.log.info("proxy left", proxy=session.name, number=session.number, why=why)

    def want_whole(self, session: Session, why: str) -> None:
        """A whole state for a proxy that can't be told a delta: the decisions bind it anew, and count its lines."""
        if not session.awaits_complete_state and self.put("strayed", session.number):
            session.awaits_complete_state = True
            self.count(f"whole states: {why}")
            self.log.info("whole state", proxy=session.name, cause=why)

    def applied(self, message: Message) -> None:
        """A proxy has confirmed a message."""
        if message.confirms >= 0 and self.put("applied", message.proxy, message.confirms):
            self.applies.record_value(max(1, (self.clock.now() - message.ordered_at) * 100))

    def gone(self, message: Message) -> None:
        """A message that nobody will confirm takes up no more of the channel."""
        if message.confirms >= 0:
            self.put("applied", message.proxy, message.confirms)

    def stop(self) -> None:
        super().stop()
        for session in list(self.sessions.by_token.values()):
            session.wake()
