"""The session of a proxy with a director: join, poll for tables, report load, fail over.

The proxy keeps its tables while no director answers. Retries back off with jitter, so that the
proxies of a director that died don't reach the next one at the same moment.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

import gevent

from ironfall.api import codec
from ironfall.api.http import Answer, HttpClient
from ironfall.generated import ironfall_pb2 as pb
from ironfall.proxy.environment import Environment
from ironfall.proxy.load_reports import LoadSums
from ironfall.publication import Holding, Outcome

# Retries of a poll at the same director before the proxy turns to another.
MAX_POLL_RETRIES = 2
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
REQUEST_TIMEOUT_S = 2.0
# How long a response may take beyond the time for which the director may hold a poll.
POLL_GRACE_S = 2.0
# The pause after a poll that was rate-limited, to which up to a second of jitter is added.
RATE_LIMITED_PAUSE_S = 1.0
# The interval of load reports outside a session.
DEFAULT_REPORT_INTERVAL_S = 1.0
REPORT_JITTER = 0.1
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ControlClientConfig:
    """The identity of a proxy, and the directors that it may join.

    Attributes:
        name: The name of the proxy.
        zone: Its zone.
        rate: The requests per second that it expects.
        directors: Addresses, in the order in which they are tried.
    """

    name: str
    zone: str
    rate: float
    directors: list[tuple[str, int]]


class SessionOutcome(Enum):
    """Why a session ended, which decides what director is joined next."""

    # The director could not be reached or refused: the backoff grows.
    NOT_JOINED = "not joined"
    # Another director is joined.
    DIRECTOR_LOST = "director lost"
    # The director no longer knows the session, or began another epoch: it is joined again.
    REJOIN = "rejoin"


class ControlClient:
    """Keeps the tables of a proxy up to date and reports its load, in a greenlet each.

    Attributes:
        tables: The tables that are kept up to date.
        session: The present session, if any.
        address: The director that is joined, or was last.
        counts: How often each outcome of a call occurred.
    """

    def __init__(
        self,
        config: ControlClientConfig,
        tables: Holding,
        load: LoadSums,
        environment: Environment,
        on_tables_changed: Callable[[], None],
    ) -> None:
        self.config = config
        self.tables = tables
        self.load = load
        self.environment = environment
        self.on_tables_changed = on_tables_changed
        self.session: pb.Joined | None = None
        self.address = config.directors[0]
        self.counts: dict[str, int] = {}
        self.greenlets: list[gevent.Greenlet] = []
        self._needs_full_state = False

    def start(self, first_director: int) -> None:
        """Starts the greenlets; `first_director` is the index of the director to ask first."""
        self.greenlets = [
            gevent.spawn(self.run_sessions, first_director),
            gevent.spawn(self.run_load_reports),
        ]

    def stop(self) -> None:
        """Ends the greenlets."""
        gevent.killall(self.greenlets)

    def run_sessions(self, first_director: int) -> None:
        """Joins one director after the other, for ever."""
        director = first_director
        backoff_s = MIN_BACKOFF_S
        while True:
            self.address = self.config.directors[director % len(self.config.directors)]
            outcome = self._run_session()
            if outcome is not SessionOutcome.NOT_JOINED:
                backoff_s = MIN_BACKOFF_S
            if outcome is not SessionOutcome.REJOIN:
                director += 1
            gevent.sleep(self._with_jitter(backoff_s))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def run_load_reports(self) -> None:
        """Reports the load at the interval that the director asked for, for ever."""
        client = HttpClient(self.address)
        unacknowledged: pb.Sums | None = None
        reported_session: pb.Joined | None = None
        while True:
            gevent.sleep(self._report_interval_s())
            session = self.session
            if session is None:
                continue
            if session is not reported_session:
                # A report that the previous director did not acknowledge is of no use to this one.
                client.close()
                client = HttpClient(self.address)
                unacknowledged = None
                reported_session = session
            if unacknowledged is None:
                unacknowledged = self.load.make_report(self.environment.clock(), session.session)
            if self._send_report(client, unacknowledged):
                unacknowledged = None

    def _run_session(self) -> SessionOutcome:
        client = HttpClient(self.address)
        outcome = SessionOutcome.NOT_JOINED
        try:
            session = self._join(client)
            if session is not None:
                # Stands if polling raises an error.
                outcome = SessionOutcome.DIRECTOR_LOST
                outcome = self._poll_until_session_ends(client, session)
        except OSError as error:
            self._log_event("unreachable", director=self.address, cause=str(error))
        client.close()
        self.session = None
        return outcome

    def _join(self, client: HttpClient) -> pb.Joined | None:
        sent = self.environment.clock()
        config = self.config
        request = pb.Join(proxy=config.name, zone=config.zone, rate=config.rate)
        response = _call(client, "POST", "/v1/join", REQUEST_TIMEOUT_S, request)
        if response.status != HTTPStatus.OK:
            self._count(f"join refused {response.status}")
            return None
        session: pb.Joined = _decode(pb.Joined, response)
        self.session = session
        self.tables.join(session.epoch, session.version)
        self.load.number = 0
        self.on_tables_changed()
        self._log_event(
            "joined",
            director=self.address,
            epoch=session.epoch,
            version=session.version,
            sent=sent,
        )
        return session

    def _poll_until_session_ends(self, client: HttpClient, session: pb.Joined) -> SessionOutcome:
        failures = 0
        self._needs_full_state = False
        while True:
            sent = self.environment.clock()
            try:
                response, state = self._poll(client, session)
            except OSError as error:
                self._log_failed_poll(sent, error)
                failures += 1
                if failures > MAX_POLL_RETRIES:
                    return SessionOutcome.DIRECTOR_LOST
                # A poll is idempotent: a delta that arrives twice is applied once.
                gevent.sleep(self._with_jitter(MIN_BACKOFF_S * failures))
                continue
            failures = 0
            outcome = self._on_poll_response(response, state, sent)
            if outcome is not None:
                return outcome

    def _poll(self, client: HttpClient, session: pb.Joined) -> tuple[Answer, pb.State | None]:
        path = (
            f"/v1/poll?session={session.session}&epoch={session.epoch}"
            f"&version={self.tables.version}&whole={int(self._needs_full_state)}"
        )
        response = _call(client, "GET", path, session.wait_ms / MS_PER_SECOND + POLL_GRACE_S)
        if response.status != HTTPStatus.OK:
            return response, None
        return response, _decode(pb.State, response)

    def _log_failed_poll(self, sent: int, error: OSError) -> None:
        self._log_event(
            "cut",
            director=self.address,
            sent=sent,
            cause=str(error),
            # The peer closed the connection, as opposed to a timeout.
            closed=isinstance(error, ConnectionError),
        )

    def _on_poll_response(
        self, response: Answer, state: pb.State | None, sent: int
    ) -> SessionOutcome | None:
        """Returns why the session is over, or None if it goes on."""
        if response.status == HTTPStatus.NO_CONTENT:
            self._log_event("still", director=self.address, sent=sent)
            return None
        if state is not None:
            return self._on_state(state, sent)
        self._log_event("session ended", director=self.address, sent=sent, status=response.status)
        self._count(f"poll refused {response.status}")
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            gevent.sleep(RATE_LIMITED_PAUSE_S + self.environment.random_source.random())
            return None
        if response.status == HTTPStatus.GONE:
            return SessionOutcome.REJOIN
        return SessionOutcome.DIRECTOR_LOST

    def _on_state(self, state: pb.State, sent: int) -> SessionOutcome | None:
        outcome = self.tables.apply(codec.unpack_state(state))
        self._count(outcome.value)
        self._needs_full_state = outcome in (Outcome.GAP, Outcome.DIFFERS)
        if outcome is Outcome.FOREIGN:
            return SessionOutcome.REJOIN
        self.on_tables_changed()
        self._log_event(
            "told", director=self.address, sent=sent, state=state, outcome=outcome.value
        )
        return None

    def _report_interval_s(self) -> float:
        interval_s = DEFAULT_REPORT_INTERVAL_S
        if self.session is not None:
            interval_s = self.session.report_ms / MS_PER_SECOND
        jitter = REPORT_JITTER * self.environment.random_source.random()
        return interval_s * (1 - REPORT_JITTER / 2 + jitter)

    def _send_report(self, client: HttpClient, report: pb.Sums) -> bool:
        """Returns whether the director has answered the report for good.

        Otherwise it is sent again under its number, so that it is counted once.
        """
        try:
            response = _call(client, "POST", "/v1/sums", REQUEST_TIMEOUT_S, report)
        except OSError:
            self._count("sums sent again")
            return False
        if response.status != HTTPStatus.NO_CONTENT:
            self._count(f"sums refused {response.status}")
        return response.status not in (
            HTTPStatus.TOO_MANY_REQUESTS,
            HTTPStatus.SERVICE_UNAVAILABLE,
        )

    def _with_jitter(self, seconds: float) -> float:
        return seconds * (0.5 + self.environment.random_source.random())

    def _count(self, outcome: str) -> None:
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def _log_event(self, event: str, **fields: Any) -> None:
        self.environment.log_event(event, **fields)


def _call(
    client: HttpClient, method: str, path: str, timeout_s: float, message: Any = None
) -> Answer:
    headers = {"Accept": codec.PROTOBUF, "Accept-Encoding": "zstd"}
    body = b""
    if message is not None:
        body, content_headers = codec.encode(message, codec.PROTOBUF, "zstd")
        headers.update(content_headers)
    return client.call(method, path, timeout_s, body, headers)


def _decode(message_type: type[Any], response: Answer) -> Any:
    content_type = response.headers.get("content-type", "")
    encoding = response.headers.get("content-encoding", "")
    try:
        return codec.decode(message_type, response.body, content_type, encoding, MAX_MESSAGE_BYTES)
    except codec.Undecodable as error:
        raise ConnectionAbortedError(str(error)) from None
