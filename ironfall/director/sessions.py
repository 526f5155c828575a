"""Sessions of joined proxies: what each was sent and has confirmed, and when it expires.

Does no I/O, except through `Session.wake`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from ironfall.decisions.time_units import SECOND
from ironfall.director.channel import Message
from ironfall.errors import IronfallError
from ironfall.publication import Delta, Publication
from ironfall.terms import NUMBERS

POLL_BURST_SECONDS = 2.0
"""The largest poll allowance of a session, in seconds of its poll rate."""


def _ignore_wakeup() -> None:
    """Does nothing, as no poll is held."""


@dataclass(slots=True, eq=False)
class Session:
    """One proxy's session.

    Attributes:
        token: The secret that identifies the session in requests.
        name: The proxy's name.
        number: The proxy's number for the decision engine.
        zone: The number of its zone.
        released: The newest version that has left the channel for the proxy.
        confirmed: The newest version that the proxy has confirmed.
        last_poll_at: When it polled last, or when its last held poll ended, in ticks.
        wake: Wakes the held poll.
        held_polls: The number of polls that are held now.
        newest_poll: The number of its newest poll; an older one that is still held ends.
        last_report: The number of the last load report that was counted.
        poll_allowance: The number of polls allowed now (a token bucket).
        unconfirmed: The messages that have left the channel and are not confirmed.
        awaits_complete_state: Whether a complete state was requested and has not left the channel.
        complete_from: The version of a complete state that has left the channel, until the proxy
            confirms it or a later one; -1 for none. Meanwhile complete states need no request.
        is_new: Whether it has not polled yet.
        request_rate: The usual requests per second, as stated when the proxy joined.
        is_throttled: Whether its name has used up its messages of the window; the decision engine
            does not know the session while it is throttled.
        rejoin_window_until: Until then, in ticks, the decision engine may not know all messages to
            its name within the window.
    """

    token: str
    name: str
    number: int
    zone: int
    released: int
    confirmed: int
    last_poll_at: int
    wake: Callable[[], None] = _ignore_wakeup
    held_polls: int = 0
    newest_poll: int = 0
    last_report: int = 0
    poll_allowance: float = 0.0
    unconfirmed: list[Message] = field(default_factory=list)
    awaits_complete_state: bool = False
    complete_from: int = -1
    is_new: bool = True
    request_rate: float = 0.0
    is_throttled: bool = False
    rejoin_window_until: int = 0


class SessionLimitError(IronfallError):
    """The limit on open sessions is reached.

    Attributes:
        limit: The largest number of sessions.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"{limit} proxies are joined, and no more are taken")
        self.limit = limit


class Sessions:
    """All sessions, by token, by proxy name and by number.

    Attributes:
        new_sessions: The number of sessions that have not polled yet.
    """

    def __init__(self, limit: int, idle_limit: int, polls_per_second: int) -> None:
        """`idle_limit`: time without a poll after which a session expires, in ticks."""
        self.limit = limit
        self.idle_limit = idle_limit
        self.polls_per_second = polls_per_second
        self.by_token: dict[str, Session] = {}
        self.by_name: dict[str, Session] = {}
        self.by_number: dict[int, Session] = {}
        self.new_sessions = 0
        self._next_number = 0

    def open(self, now: int, token: str, name: str, zone: int, version: int) -> Session:
        """Opens a session under the number that was used least recently.

        Raises:
            SessionLimitError: The limit is reached.
        """
        if len(self.by_token) >= self.limit:
            raise SessionLimitError(self.limit)
        while self._next_number in self.by_number:
            self._next_number = (self._next_number + 1) % NUMBERS
        session = Session(token, name, self._next_number, zone, version, version, now)
        session.poll_allowance = POLL_BURST_SECONDS * self.polls_per_second
        self._next_number = (self._next_number + 1) % NUMBERS
        self.new_sessions += 1
        self.by_token[token] = session
        self.by_name[name] = session
        self.by_number[session.number] = session
        return session

    def close(self, session: Session) -> None:
        """Removes a session and wakes its held poll."""
        self.by_token.pop(session.token, None)
        self._mark_polled(session)
        self.by_number.pop(session.number, None)
        if self.by_name.get(session.name) is session:
            del self.by_name[session.name]
        session.wake()

    def expired(self, now: int) -> list[Session]:
        """Returns the sessions without a held poll whose last poll is older than the idle limit."""
        return [
            session
            for session in self.by_token.values()
            if not session.held_polls and now - session.last_poll_at > self.idle_limit
        ]

    def admit_poll(self, now: int, session: Session) -> bool:
        """Takes a poll from the session's token bucket; returns False if it is empty."""
        self._mark_polled(session)
        earned = (now - session.last_poll_at) * self.polls_per_second / SECOND
        max_allowance = POLL_BURST_SECONDS * self.polls_per_second
        session.poll_allowance = min(max_allowance, session.poll_allowance + earned)
        session.last_poll_at = now
        if session.poll_allowance < 1:
            return False
        session.poll_allowance -= 1
        return True

    def confirm(self, session: Session, version: int) -> list[Message]:
        """Records a proxy's confirmation of a version; returns the messages that it confirms.

        Ignores a version that was not released to the proxy, or that is older than the version it
        has confirmed.
        """
        if not session.confirmed <= version <= session.released:
            return []
        session.confirmed = version
        if version >= session.complete_from:
            session.complete_from = -1
        acknowledged = [m for m in session.unconfirmed if m.version <= version]
        session.unconfirmed = [m for m in session.unconfirmed if m.version > version]
        return acknowledged

    def _mark_polled(self, session: Session) -> None:
        if session.is_new:
            self.new_sessions -= 1
        session.is_new = False


class ResyncReason(StrEnum):
    """Why a proxy needs a complete state in place of a delta."""

    REQUESTED = "asked for"
    UNKNOWN_VERSION = "never published"
    COMPACTED = "compacted"


@dataclass(frozen=True, slots=True)
class PollDecision:
    """The answer to a poll.

    Attributes:
        delta: The state to send now; None if the poll is to be held.
        resync_reason: Why a complete state has to be requested through the channel first; None if
            it has not.
    """

    delta: Delta | None
    resync_reason: ResyncReason | None = None


def decide_poll(
    publication: Publication, session: Session, version: int, wants_complete_state: bool
) -> PollDecision:
    """Decides how to answer a poll from a proxy that holds `version`.

    `wants_complete_state`: the proxy cannot apply a delta to that version.
    """
    reason = _resync_reason(publication, session, version, wants_complete_state)
    if reason is not None:
        if session.complete_from < 0:
            return PollDecision(None, reason)
        return PollDecision(publication.delta(session.number, -1, session.released))
    if version < session.released:
        return PollDecision(publication.delta(session.number, version, session.released))
    return PollDecision(None)


def _resync_reason(
    publication: Publication, session: Session, version: int, wants_complete_state: bool
) -> ResyncReason | None:
    if wants_complete_state:
        return ResyncReason.REQUESTED
    if version > session.released:
        return ResyncReason.UNKNOWN_VERSION
    if not publication.reaches(version, session.released):
        return ResyncReason.COMPACTED
    return None
