"""Sessions of joined proxies: what each was released, has confirmed, and when it is gone. Pure but for `wake`."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ironfall.director.channel import Message
from ironfall.publication import Delta, Publication
from ironfall.terms import NUMBERS

SECOND = 10_000


@dataclass(slots=True, eq=False)
class Session:
    token: str
    name: str
    number: int
    zone: int
    released: int  # the newest version that has left the channel for it
    confirmed: int
    heard: int  # its last poll or the end of its last held one
    wake: Callable[[], None]
    held: int = 0  # polls waiting now
    waiter: int = 0  # the newest poll: an older one that still waits is let go
    sums: int = 0  # the number of the last sums counted
    polls: float = 0.0  # what is left of its allowance
    carried: list[Message] = field(default_factory=list)  # left the channel, not yet confirmed
    resync: bool = False  # a whole state waits in the channel
    whole_at: int = -1  # from when a whole state may be told, until it is confirmed
    fresh: bool = True  # its first poll has not come
    rate: float = 0.0  # exchanges a second, as it said when it joined
    throttled: bool = (
        False  # its name's messages within the span are used up: the decisions do not know it
    )
    anew_until: int = (
        0  # until then the decisions may not know all messages to its name within the span
    )


class Full(Exception):
    """No more sessions are taken."""


class Sessions:
    def __init__(self, most: int, lapse: int, polls_each_second: int) -> None:
        self.most, self.lapse, self.polls = most, lapse, polls_each_second
        self.by_token: dict[str, Session] = {}
        self.by_name: dict[str, Session] = {}
        self.by_number: dict[int, Session] = {}
        self.next = 0
        self.fresh = 0  # sessions whose first poll has not come

    def open(
        self, now: int, token: str, name: str, zone: int, version: int, wake: Callable[[], None]
    ) -> Session:
        if len(self.by_token) >= self.most:
            raise Full
        while self.next in self.by_number:
            self.next = (self.next + 1) % NUMBERS
        session = Session(
            token, name, self.next, zone, version, version, now, wake, polls=2.0 * self.polls
        )
        self.next = (self.next + 1) % NUMBERS  # a number is used again as late as may be
        self.fresh += 1
        self.by_token[token] = self.by_name[name] = self.by_number[session.number] = session
        return session

    def close(self, session: Session) -> None:
        self.by_token.pop(session.token, None)
        self._polled(session)
        self.by_number.pop(session.number, None)
        if self.by_name.get(session.name) is session:
            del self.by_name[session.name]
        session.wake()

    def _polled(self, session: Session) -> None:
        self.fresh -= session.fresh
        session.fresh = False

    def lapsed(self, now: int) -> list[Session]:
        """Those that hold no poll and have not polled for the time allowed: not at the first cut."""
        return [s for s in self.by_token.values() if not s.held and now - s.heard > self.lapse]

    def may_poll(self, now: int, session: Session) -> bool:
        """A tight loop of polls uses up its allowance; the others keep theirs."""
        self._polled(session)
        gained = (now - session.heard) * self.polls / SECOND
        session.polls = min(2.0 * self.polls, session.polls + gained)
        session.heard = now
        if session.polls < 1:
            return False
        session.polls -= 1
        return True

    def confirm(self, session: Session, version: int) -> list[Message]:
        """The proxy holds this version: the messages that it thereby acknowledges, in order."""
        if not session.confirmed <= version <= session.released:
            return []
        session.confirmed = version
        if version >= session.whole_at:
            session.whole_at = -1
        done = [m for m in session.carried if m.version <= version]
        session.carried = [m for m in session.carried if m.version > version]
        return done


def due(
    published: Publication, session: Session, version: int, whole: bool
) -> tuple[Delta | None, str]:
    """What a poll that names a version is told now, if anything, or why a whole state must go by the channel first.

    `whole`: the proxy asks for one, because it can't go on from what it holds.
    """
    never = version > session.released
    if whole or never or not published.reaches(version, session.released):
        if session.whole_at < 0:
            return None, "asked for" if whole else "never published" if never else "compacted"
        return published.delta(session.number, -1, session.released), ""
    return (
        published.delta(session.number, version, session.released)
        if version < session.released
        else None
    ), ""
