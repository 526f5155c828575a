"""The live director of the long-poll protocol: event loop, publication, channel and sessions."""

import math
from dataclasses import dataclass
from typing import Any, Protocol, TextIO

from hdrh.histogram import HdrHistogram

from ironfall.decisions.events import EventKind
from ironfall.decisions.time_units import MICROSECONDS_PER_TICK
from ironfall.director.channel import Channel, Message
from ironfall.director.clock import Clock
from ironfall.director.event_loop import HISTOGRAM_DIGITS, EventLoop
from ironfall.director.host_list import HostList
from ironfall.director.long_poll_sink import LongPollSink
from ironfall.director.recorded_batches import Decide
from ironfall.director.report_aggregation import ReportAggregation
from ironfall.director.sessions import ResyncReason, Session, Sessions
from ironfall.publication import Publication
from ironfall.terms import Terms

MAX_CONFIRMATION_MICROSECONDS = 600_000_000


class BackgroundTasks(Protocol):
    """Tasks that the decision engine starts and that run in the background."""

    def watch_hosts(self) -> None:
        """Starts the watch of the host list."""

    def health_check(self, host: str) -> None:
        """Starts a health check of a host; the result is queued as an event."""

    def forget(self, host: str) -> None:
        """Releases the connection that is kept for a host's health checks."""


@dataclass(slots=True)
class ZoneTraffic:
    """The table entries and messages sent to the proxies of a zone."""

    entries: float = 0.0
    messages: int = 0

    def add(self, message: Message) -> None:
        """Counts a message."""
        self.entries += message.entries
        self.messages += 1


class LongPollDirector(EventLoop):
    """A director of the long-poll protocol.

    Attributes:
        tasks: The background tasks; set by the owner before `run`.
        epoch: The number of this start of the process; versions are counted within an epoch.
        all_classes: The mask of all request classes.
        throttled: Throttled sessions by number.
        sent_by_zone: What was sent to the proxies of each zone, without ended sessions.
        confirmation_times: Times from an order to the proxy's confirmation, in microseconds.
    """

    tasks: BackgroundTasks

    def __init__(  # noqa: PLR0913 - the program's options, and dependencies that tests replace
        self,
        terms: Terms,
        seed: int,
        clock: Clock,
        epoch: int,
        make_engine: Decide,
        log: Any,
        record: TextIO | None = None,
    ) -> None:
        self.terms = terms
        self.epoch = epoch
        self.clock = clock
        limits = terms.limits
        service = terms.service
        self.publication = Publication(epoch, len(terms.classes), limits.versions, limits.entries)
        self.channel = Channel(terms.entries_per_second, service.message_window)
        self.report_aggregation = ReportAggregation(
            clock.now(), service.report_interval, terms.report_lines
        )
        self.host_list = HostList(terms.zones, service.slow_start_time)
        self.sessions = Sessions(limits.sessions, limits.lapse, limits.polls)
        self.throttled: dict[int, Session] = {}
        self.all_classes = (1 << len(terms.classes)) - 1
        self.sent_by_zone = [ZoneTraffic() for _ in terms.zones]
        self.confirmation_times = HdrHistogram(1, MAX_CONFIRMATION_MICROSECONDS, HISTOGRAM_DIGITS)
        sink = LongPollSink(self)
        reports = self.report_aggregation
        super().__init__(
            service, seed, clock, make_engine, log, sink, reports, limits.events, record
        )

    def join(self, session: Session, request_rate: float) -> None:
        """Registers a proxy that has opened a session; `request_rate` in requests per second."""
        session.request_rate = request_rate
        version = self.publication.join(session.number)
        session.released = version
        session.confirmed = version
        self.report_aggregation.on_proxy_joined(session.number, request_rate)
        now = self.clock.now()
        if self.is_near_message_limit(now, session.name, 1):
            self.throttle(session)
        else:
            self._announce(now, session)

    def is_near_message_limit(self, now: int, name: str, reserve: int) -> bool:
        """Whether a name has at most `reserve` messages left within the window.

        False for a name without messages: it has not rejoined in a loop, however low the limit is.
        """
        limit = self.service.message_limit
        sent = self.channel.messages_in_window(now, name)
        return limit > 0 and sent > 0 and sent >= limit - reserve

    def throttle(self, session: Session) -> None:
        """Stops messages to a name that joins too often; its session stays open."""
        session.is_throttled = True
        self.throttled[session.number] = session
        self.put(EventKind.PROXY_LEFT, session.number)
        self.count("sessions throttled")
        self.log.info("session throttled", proxy=session.name, number=session.number)

    def resume_throttled(self, now: int) -> None:
        """Announces throttled sessions whose names have two messages left, or were sent none."""
        for session in list(self.throttled.values()):
            if self.is_near_message_limit(now, session.name, 1):
                continue
            session.is_throttled = False
            # The decision engine did not see a request for a complete state made while the session
            # was throttled; the next poll repeats it.
            session.awaits_complete_state = False
            del self.throttled[session.number]
            self._announce(now, session)

    def end_session(self, session: Session, reason: str) -> None:
        """Ends a session; its unconfirmed messages are lost, queued ones lose their recipient."""
        self.sessions.close(session)
        self.throttled.pop(session.number, None)
        for message in session.unconfirmed:
            self.on_message_lost(message)
        self.publication.leave(session.number)
        self.channel.detach(session.number)
        self.report_aggregation.on_proxy_left(session.number)
        self.put(EventKind.PROXY_LEFT, session.number)
        self.log.info("proxy left", proxy=session.name, number=session.number, why=reason)

    def request_complete_state(self, session: Session, reason: ResyncReason) -> None:
        """Makes the engine assign the proxy again, so that it accounts for the complete state."""
        if session.awaits_complete_state:
            return
        if self.put(EventKind.PROXY_DESYNCHRONIZED, session.number):
            session.awaits_complete_state = True
            self.count(f"whole states: {reason.value}")
            self.log.info("complete state requested", proxy=session.name, cause=reason.value)

    def on_message_confirmed(self, message: Message) -> None:
        """Passes a proxy's confirmation of a message to the decision engine."""
        if message.confirms < 0:
            return
        if self.put(EventKind.VERSION_APPLIED, message.proxy, message.confirms):
            elapsed = (self.clock.now() - message.ordered_at) * MICROSECONDS_PER_TICK
            self.confirmation_times.record_value(max(1, elapsed))

    def on_message_lost(self, message: Message) -> None:
        """Frees the channel budget of a message that will never be confirmed."""
        if message.confirms >= 0:
            self.put(EventKind.VERSION_APPLIED, message.proxy, message.confirms)

    def stop(self) -> None:
        """Stops the loop and wakes all held polls."""
        super().stop()
        for session in list(self.sessions.by_token.values()):
            session.wake()

    def _announce(self, now: int, session: Session) -> None:
        """Announces a session to the decision engine, which counts none of its earlier messages."""
        if self.channel.messages_in_window(now, session.name):
            # The queued messages to its name were ordered before, and leave by `free_at`.
            last_departure = max(now, math.ceil(self.channel.free_at))
            session.rejoin_window_until = last_departure + self.service.message_window
        self.put(EventKind.PROXY_JOINED, session.number, session.zone, session.request_rate)
