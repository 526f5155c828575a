"""Sessions of joined proxies: what each was sent, has confirmed, and when it expires.

Pure but for `Session.wake`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from ironfall.director.channel import Message
from ironfall.director.clock import SECOND
from ironfall.errors import IronfallError
from ironfall.publication import Delta, Publication
from ironfall.terms import NUMBERS

POLL_BURST_SECONDS = 2.0
"""The poll allowance that a session can save up, as a multiple of a second's."""


def _ignore_wakeup() -> None:
    """Wakes nothing: no poll is held."""


@dataclass(slots=True, eq=False)
class Session:
    """One proxy's session.

    Attributes:
        token: The secret that the proxy names its session by.
        name: The proxy's name.
        number: The proxy's number for the decisions.
        zone: The number of its zone.
        released: The newest version that has left the channel for it.
        confirmed: The newest version that it has confirmed.
        last_poll_at: When it polled last, or when its last held poll ended, in ticks.
        wake: Lets its held poll look again.
        held_polls: The number of polls that are held now.
        newest_poll: The number of its newest poll; an older one that is still held ends.
        last_report: The number of the last load report that was counted.
        poll_allowance: What is left of its allowance of polls.
        unconfirmed: The messages that have left the channel and that it has not confirmed.
        awaits_complete_state: Whether a complete state waits in the channel.
        complete_from: The version from which a complete state may be sent until one is confirmed;
            -1 for none.
        is_new: Whether its first poll has not come.
        request_rate: Requests a second that it usually serves, as it said when it joined.
        is_throttled: Whether its name has used up its messages of the window: the decisions do not
            know it now.
        rejoin_window_until: Until then the decisions may not know all messages to its name within
            the window.
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
    """No more sessions are taken.

    Attributes:
        limit: The largest number of sessions.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"{limit} proxies are joined, and no more are taken")
        self.limit = limit


class Sessions:
    """All sessions, by token, by proxy name and by number.

    Attributes:
        new_sessions: The number of sessions whose first poll has not come.
    """

    def __init__(self, limit: int, idle_limit: int, polls_per_second: int) -> None:
        """`idle_limit`: ticks without a poll after which a session expires."""
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
        """Returns the sessions that hold no poll and whose last one is past the idle limit."""
        return [
            session
            for session in self.by_token.values()
            if not session.held_polls and now - session.last_poll_at > self.idle_limit
        ]

    def admit_poll(self, now: int, session: Session) -> bool:
        """Takes a poll from the session's allowance (a token bucket); False if none is left."""
        self._mark_polled(session)
        earned = (now - session.last_poll_at) * self.polls_per_second / SECOND
        most = POLL_BURST_SECONDS * self.polls_per_second
        session.poll_allowance = min(most, session.poll_allowance + earned)
        session.last_poll_at = now
        if session.poll_allowance < 1:
            return False
        session.poll_allowance -= 1
        return True

    def confirm(self, session: Session, version: int) -> list[Message]:
        """Takes a proxy's confirmation of a version; returns the messages that it acknowledges.

        A version that was never released to it, or is older than what it confirmed, changes
        nothing.
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
    """What a poll is answered.

    Attributes:
        delta: The state to send now; None if the poll is to be held.
        resync_reason: Why a complete state has to go through the channel first; None if none has
            to.
    """

    delta: Delta | None
    resync_reason: ResyncReason | None = None


def decide_poll(
    publication: Publication, session: Session, version: int, wants_complete_state: bool
) -> PollDecision:
    """Decides what a poll from a proxy at `version` is answered.

    `wants_complete_state`: the proxy can't go on from the version that it holds.
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
