"""The book of what was written to proxies: lines that may still wait in the channel, and messages to each proxy.

A record alone: what is sent, and how much of the channel it may take, the decisions decide. No I/O.
"""

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

MARKS = 65536  # marks are counted, under this


@dataclass(slots=True)
class Moment:
    """What was ordered at one moment, as far as it is not known to have been applied."""

    version: int
    at: int
    lines: dict[int, float] = field(default_factory=dict)  # by proxy, of its message: the head too
    left: float = 0.0  # all of them


class ChannelBudget:
    """`span`: over which messages count; `lost`: after which what was never confirmed went with its stream."""

    def __init__(self, head: float, span: int, lost: int, mark: Callable[[int], None]) -> None:
        self.head, self.span, self.lost, self.mark = head, span, lost, mark
        self.moments: list[Moment] = []
        self.version = 0
        self.times: deque[int] = deque()  # of moments when anybody was written to
        self.written: dict[int, deque[int]] = {}  # by proxy, of messages to it since it joined

    def add_proxy(self, proxy: int) -> None:
        self.written[proxy] = deque()

    def remove_proxy(self, proxy: int) -> None:
        self.written.pop(proxy, None)

    def charge(self, now: int, proxies: Collection[int], lines: float = 1.0) -> None:
        """Lines for each of some proxies, and a head for those that have no message at this moment."""
        if not proxies:
            return
        if not self.moments or self.moments[-1].at != now:
            # Not the time, cut short: two moments 6.5536 s apart would free each other's room.
            self.version = (self.version + 1) % MARKS
            self.moments = [m for m in self.moments if now - m.at < self.lost] + [
                Moment(self.version, now)
            ]
            self.mark(self.version)
        if not self.times or self.times[-1] != now:
            self.times.append(now)
        moment = self.moments[-1]
        for proxy in proxies:
            if proxy in moment.lines:
                moment.lines[proxy] += lines
                moment.left += lines
                continue
            moment.lines[proxy] = lines + self.head
            moment.left += lines + self.head
            if (times := self.written.get(proxy)) is not None:
                times.append(now)

    def confirm(self, proxy: int, version: int) -> None:
        # The channel keeps the order: what was ordered before this has left it.
        for n, it in enumerate(self.moments):
            if it.version == version:
                self.moments = self.moments[n:]
                it.left -= it.lines.pop(proxy, 0.0)
                return

    def unconfirmed_entries(self, now: int) -> float:
        """The lines that may still wait in the channel."""
        self.moments = [m for m in self.moments if now - m.at < self.lost]
        return sum(m.left for m in self.moments)

    def oldest_unconfirmed(self) -> dict[int, int]:
        """By proxy, when the first of what it has not confirmed was ordered; who has confirmed all is not in it."""
        return {proxy: m.at for m in reversed(self.moments) for proxy in m.lines}

    def max_messages(self, now: int, enough: float, proxies: Collection[int] | None = None) -> int:
        """The most messages within the span to one of some proxies, or of all, that has none at this moment.

        Who has one may be written more in it. As many as the moments at the most: where these are fewer than enough,
        it is counted no further.
        """
        while self.times and now - self.times[0] > self.span:
            self.times.popleft()
        found = len(self.times)
        if found < enough:
            return found
        found = 0
        for proxy in self.written if proxies is None else proxies:
            times = self.written.get(proxy) or deque()
            while times and now - times[0] > self.span:
                times.popleft()
            if times and times[-1] != now:
                found = max(found, len(times))
        return found
