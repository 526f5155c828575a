"""The director's HTTP handlers of the long-poll protocol (docs/api.md)."""

import json
import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent.event import Event

from ironfall.api import codec
from ironfall.api.exchange import read_gauges
from ironfall.api.http import Answer, Gone, Refused, Request
from ironfall.decisions.time_units import MICROSECONDS_PER_TICK, SECOND, TICKS_PER_MS
from ironfall.director.fleet_member import FleetMember
from ironfall.director.long_poll_director import LongPollDirector
from ironfall.director.report_aggregation import MAX_REPORTED_REQUESTS, ZoneHost, is_plausible
from ironfall.director.report_weighting import UpstreamReport
from ironfall.director.sessions import Session, SessionLimitError, decide_poll
from ironfall.director.status_report import MAX_TOKEN
from ironfall.files.service import Files
from ironfall.generated import ironfall_pb2 as pb
from ironfall.metrics.point import Malformed
from ironfall.metrics.service import Metrics

MAX_UNPACKED_RATIO = 8
"""The largest size of a decompressed body, as a multiple of the limit on a body."""

MAX_NAME_LENGTH = 200
MAX_REQUEST_RATE = 1e9
MIN_COVERED_TICKS = 10
MAX_COVERED_TICKS = 60 * SECOND
POLL_JITTER = 0.2
"""The share by which a held poll may end early, to spread polls that began at the same time."""

JOIN_RETRY_SECONDS = (1, 3)
UNLIMITED_WAIT_MS = 10**9


@dataclass
class DirectorParts:
    """The director and the optional parts of its program, as used by the handlers."""

    director: LongPollDirector
    files: Files | None = None
    member: FleetMember | None = None
    metrics: Metrics | None = None


@dataclass(frozen=True, slots=True)
class HeldPoll:
    """A poll that is held until there is something to send.

    Attributes:
        session: The session of the proxy that polls.
        number: Its number among the session's polls.
        version: The version that the proxy holds.
        wants_complete_state: Whether the proxy cannot apply a delta to that version.
        deadline: When it is answered at the latest, in seconds of the monotonic clock.
        wakeup: Set when there may be something to send.
    """

    session: Session
    number: int
    version: int
    wants_complete_state: bool
    deadline: float
    wakeup: Event


class HttpHandlers:
    """Routes and answers HTTP requests; `handle` is called by the HTTP server."""

    def __init__(
        self, parts: DirectorParts, rng: random.Random, status: Callable[[], dict[str, Any]]
    ) -> None:
        """`rng`: for jitter; `status`: returns the content of `/v1/status`."""
        self.parts = parts
        self.director = parts.director
        self.terms = parts.director.terms
        self._rng = rng
        self._status = status
        self._routes: dict[tuple[str, str], Callable[[Request], Answer]] = {
            ("GET", "/v1/poll"): self._poll,
            ("POST", "/v1/sums"): self._load_report,
            ("GET", "/v1/files"): self._files,
            ("POST", "/v1/readings"): self._readings,
            ("POST", "/v1/join"): self._join,
            ("POST", "/v1/leave"): self._leave,
            ("POST", "/v1/leaving"): self._leaving,
            ("GET", "/v1/status"): self._show_status,
        }
        self._paths = {path for _, path in self._routes}

    def handle(self, request: Request) -> Answer:
        """Answers a request.

        Raises:
            Refused: The request is refused, with a status code and a reason.
            Gone: The connection was closed while the request was held.
        """
        if self.director.stopping:
            raise Refused(503, "this director is stopping; turn to another", 1)
        handler = self._routes.get((request.method, request.path))
        if handler is None:
            status = 405 if request.path in self._paths else 404
            raise Refused(status, f"no {request.method} {request.path} here")
        return handler(request)

    def _join(self, request: Request) -> Answer:
        join = self._decode(pb.Join, request)
        self._check_join(join)
        director = self.director
        earlier = director.sessions.by_name.get(join.proxy)
        if earlier is not None:
            director.end_session(earlier, "replaced by a new session of the same name")
        zone = self.terms.zone(join.zone)
        token = secrets.token_urlsafe(12)
        now = director.clock.now()
        try:
            session = director.sessions.open(now, token, join.proxy, zone, 0)
        except SessionLimitError as error:
            raise Refused(503, str(error), 2) from None
        director.join(session, join.rate)
        director.log.info(
            "proxy joined", proxy=join.proxy, zone=join.zone, number=session.number, rate=join.rate
        )
        joined = pb.Joined(
            session=token,
            epoch=director.epoch,
            version=session.released,
            wait_ms=self.terms.limits.wait // TICKS_PER_MS,
            report_ms=self.terms.service.report_interval // TICKS_PER_MS,
        )
        return Answer(200, *codec.encode(joined, *_accepted(request)))

    def _check_join(self, join: pb.Join) -> None:
        director, limits = self.director, self.terms.limits
        if not join.proxy or len(join.proxy) > MAX_NAME_LENGTH:
            raise Refused(400, "proxy: expected a name of up to 200 bytes")
        if join.zone not in self.terms.zones:
            zones = ", ".join(self.terms.zones)
            raise Refused(400, f"zone: expected one of {zones}, not {join.zone!r}")
        if not 0 <= join.rate < MAX_REQUEST_RATE:
            raise Refused(400, "rate: expected exchanges a second from 0 up")
        if len(director.events) >= limits.events:
            raise Refused(503, "too many events wait for a turn", 1)
        # If sessions open faster than the director can read their first polls, they expire unpolled
        # and all the proxies join again.
        joining = director.sessions.new_sessions
        if joining >= limits.joining:
            director.count("joins put off")
            retry_after = self._rng.randint(*JOIN_RETRY_SECONDS)
            raise Refused(503, f"{joining} proxies are joining now", retry_after)

    def _leave(self, request: Request) -> Answer:
        session = self._session(self._decode(pb.Leave, request).session)
        self.director.end_session(session, "leave request")
        return Answer(204)

    def _poll(self, request: Request) -> Answer:
        director = self.director
        session = self._session(request.query.get("session", ""))
        epoch = request.number("epoch")
        version = request.number("version")
        if epoch != director.epoch:
            director.count("polls of another epoch")
            raise Refused(410, f"epoch {epoch} is not that of this director: join again")
        if not director.sessions.admit_poll(director.clock.now(), session):
            raise Refused(429, f"over {self.terms.limits.polls} polls a second", 1)
        for message in director.sessions.confirm(session, version):
            director.on_message_confirmed(message)
        poll = self._open_poll(request, session, version)
        session.held_polls += 1
        try:
            return self._await_state(request, poll)
        except Gone:
            director.count("polls cut")
            raise
        finally:
            session.held_polls -= 1
            session.last_poll_at = director.clock.now()

    def _open_poll(self, request: Request, session: Session, version: int) -> HeldPoll:
        """Registers a poll as the session's newest; an older one that is held ends."""
        wants_complete_state = request.number("whole", 0) == 1
        requested_wait = max(0, request.number("wait_ms", UNLIMITED_WAIT_MS)) / 1000
        wait = min(self.terms.limits.wait / SECOND, requested_wait)
        jitter = 1 - POLL_JITTER + POLL_JITTER * self._rng.random()
        deadline = time.monotonic() + wait * jitter
        session.wake()
        wakeup = Event()
        session.wake = wakeup.set
        session.newest_poll += 1
        number = session.newest_poll
        return HeldPoll(session, number, version, wants_complete_state, deadline, wakeup)

    def _await_state(self, request: Request, poll: HeldPoll) -> Answer:
        """Holds a poll until there is a state to send, its deadline, or a newer poll."""
        director, session = self.director, poll.session
        while True:
            if director.sessions.by_token.get(session.token) is not session:
                raise Refused(410, "this session has ended: join again")
            if director.stopping:
                raise Refused(503, "this director is stopping; turn to another", 1)
            if session.newest_poll != poll.number:
                return Answer(204)
            decision = decide_poll(
                director.publication, session, poll.version, poll.wants_complete_state
            )
            if decision.resync_reason is not None:
                director.request_complete_state(session, decision.resync_reason)
            if decision.delta is not None:
                carried = _carried_messages(session)
                state = codec.encode_state(decision.delta, carried, *_accepted(request))
                return Answer(200, *state)
            poll.wakeup.clear()
            remaining = poll.deadline - time.monotonic()
            if remaining <= 0 or not request.hold(poll.wakeup, remaining):
                return Answer(204)

    def _load_report(self, request: Request) -> Answer:
        report = self._decode(pb.Sums, request)
        director = self.director
        session = self._session(report.session)
        now = director.clock.now()
        if session.is_throttled:
            # The decision engine would ignore reports of a proxy that it does not know.
            reason = (
                "this name has joined anew too often: its sums are taken once it is bound again"
            )
            raise Refused(429, reason, 1)
        if report.number <= session.last_report:
            # A retry of a report that has already been counted.
            director.count("sums repeated")
            return Answer(204)
        session.last_report = report.number
        covers = max(MIN_COVERED_TICKS, report.covers_ms * TICKS_PER_MS)
        covers = min(MAX_COVERED_TICKS, covers)
        for upstream in report.met:
            self._add_upstream(now, covers, session, upstream)
        for downstream in report.came:
            self._add_downstream(session, downstream)
        return Answer(204)

    def _add_upstream(self, now: int, covers: int, session: Session, entry: pb.Met) -> None:
        director = self.director
        host = director.host_list.ids.get(entry.host)
        if host is None or not is_plausible(entry.tries, entry.failed, entry.good_us):
            director.count("sums not understood")
            return
        latency = entry.good_us / MICROSECONDS_PER_TICK
        report = UpstreamReport(entry.tries, entry.failed, latency, read_gauges(entry.gauges))
        key = ZoneHost(session.zone, host)
        director.report_aggregation.add_upstream(now, covers, session.number, key, report)

    def _add_downstream(self, session: Session, entry: pb.Came) -> None:
        director = self.director
        if entry.kind >= len(self.terms.classes) or entry.came > MAX_REPORTED_REQUESTS:
            director.count("sums not understood")
            return
        failed = min(entry.lost, entry.came)
        director.report_aggregation.add_downstream(session.number, entry.kind, entry.came, failed)
        if self.parts.member:
            reporter = self.parts.member.status_reporter
            reporter.on_request_report(entry.kind, entry.came, failed)

    def _files(self, request: Request) -> Answer:
        files = self.parts.files
        if not files:
            raise Refused(404, "the terms of this service name no files")
        content: Any = {"status": files.status(), "history": files.history()}
        number = request.number("number", 0)
        if number:
            content = files.texts(int(number))
            if content is None:
                raise Refused(404, f"no adoption {number:g} is kept here")
        return _json_answer(json.dumps(content, indent=1) + "\n")

    def _leaving(self, request: Request) -> Answer:
        """Sets whether this director reports itself as leaving."""
        member = self.parts.member
        if not member:
            raise Refused(404, "the terms of this service name no keepers")
        token = request.number("token")
        leaving = request.number("leaving")
        if not 0 < token < MAX_TOKEN or leaving not in (0, 1):
            raise Refused(400, "expected token from 1 up, and leaving as 1 or 0")
        if not member.set_leaving(token, leaving == 1):
            reason = f"{member.token} is the newest token heard of, and {token} is older"
            raise Refused(409, reason)
        return Answer(204)

    def _readings(self, request: Request) -> Answer:
        settings = self.terms.metrics
        metrics = self.parts.metrics
        if not settings.readings or metrics is None:
            raise Refused(404, "the terms of this service name no readings")
        if settings.must:
            raise Refused(403, f"readings must be {settings.must}, which a post is not")
        try:
            count = metrics.posted(bytes(request.body))
        except Malformed as error:
            raise Refused(400, str(error)) from None
        if count < 0:
            raise Refused(429, f"over {settings.lines} readings a second", 1)
        return _json_answer(json.dumps({"lists": count}) + "\n")

    def _show_status(self, _request: Request) -> Answer:
        return _json_answer(json.dumps(self._status(), indent=1) + "\n")

    def _session(self, token: str) -> Session:
        session = self.director.sessions.by_token.get(token)
        if session is None:
            raise Refused(410, "no such session here: join again")
        return session

    def _decode(self, message_type: type[Any], request: Request) -> Any:
        content_type = request.headers.get("content-type", "")
        encoding = request.headers.get("content-encoding", "")
        max_unpacked = MAX_UNPACKED_RATIO * self.terms.limits.body
        try:
            return codec.decode(
                message_type, bytes(request.body), content_type, encoding, max_unpacked
            )
        except codec.Undecodable as error:
            raise Refused(400, str(error)) from None


def _carried_messages(session: Session) -> list[tuple[int, int, int]]:
    """Returns version, microseconds in the channel and entries of each unconfirmed message."""
    return [
        (
            message.version,
            int(message.leaves_at - message.ordered_at) * MICROSECONDS_PER_TICK,
            round(message.entries),
        )
        for message in session.unconfirmed
    ]


def _json_answer(text: str) -> Answer:
    return Answer(200, text.encode(), {"Content-Type": codec.JSON})


def _accepted(request: Request) -> tuple[str, str]:
    """Returns the content types and the encodings that the client accepts."""
    return request.headers.get("accept", ""), request.headers.get("accept-encoding", "")
