"""The channel from a director to its proxies: messages in order, each as long as its lines at the agreed pace."""

from collections import Counter, deque
from dataclasses import dataclass

SECOND = 10_000


@dataclass(slots=True)
class Message:
    proxy: int
    version: int
    lines: float
    ordered: int
    mark: int  # -1 for none
    whole: bool  # a whole state in place of changes
    leaves: float = 0.0
    name: str = ""  # of the proxy, in whatever session


class Channel:
    """Pure. The backlog is what was ordered and has not left; times are tenths of a millisecond.

    Messages are counted by name over `span`, a sliding window log: its bound is what the channel sends in a span and
    what waits, so that it is never full.
    """

    def __init__(self, entries_per_second: float, span: int = 0) -> None:
        self.pace, self.span = entries_per_second / SECOND, span
        self.counts: Counter[str] = (
            Counter()
        )  # of names with a message that waits or left within the span
        self.log: deque[tuple[int, str]] = deque()  # when what was counted left
        self.waiting: deque[Message] = deque()
        self.backlog = 0.0
        self.most = 0.0  # the largest backlog so far
        self.free_at = 0.0
        self.sent = 0.0  # lines that left

    def put(self, now: int, message: Message) -> None:
        self.free_at = max(self.free_at, float(now)) + message.lines / self.pace
        message.leaves = self.free_at
        self.waiting.append(message)
        self.counts[message.name] += 1
        self.backlog += message.lines
        self.most = max(self.most, self.backlog)

    def due(self) -> float | None:
        """When the next message leaves."""
        return self.waiting[0].leaves if self.waiting else None

    def leave(self, now: int) -> list[Message]:
        """Those whose time has come, in order."""
        self._forget_old(now)
        gone = []
        while self.waiting and self.waiting[0].leaves <= now:
            message = self.waiting.popleft()
            self.backlog -= message.lines
            self.sent += message.lines
            self.log.append((now, message.name))
            gone.append(message)
        if not self.waiting:
            self.backlog = 0.0
        return gone

    def written(self, now: int, name: str) -> int:
        """The messages to a name that wait or left within the span, those of its sessions that ended too."""
        self._forget_old(now)
        return self.counts[name]  # a Counter: asking adds no name

    def _forget_old(self, now: int) -> None:
        while self.log and now - self.log[0][0] > self.span:
            name = self.log.popleft()[1]
            self.counts[name] -= 1
            if not self.counts[name]:
                del self.counts[name]

    def forget(self, proxy: int) -> None:
        """A stream has ended: what waits for it leaves in its time, to nobody, as it would on a real line."""
        for message in self.waiting:
            if message.proxy == proxy:
                message.proxy = -1
