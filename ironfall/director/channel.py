"""The channel from a director to its proxies, which sends table entries at a fixed rate."""

from collections import Counter, deque
from dataclasses import dataclass

from ironfall.director.clock import SECOND

NO_CONFIRMATION = -1
"""In place of a version: the decisions want no confirmation of the message."""

NO_RECIPIENT = -1
"""In place of a proxy: its session has ended while the message waited."""


@dataclass(slots=True)
class Message:
    """One message to one proxy.

    Attributes:
        proxy: The number of the recipient's session, or `NO_RECIPIENT`.
        version: The version of the publication that the message brings the proxy to.
        entries: The length in table entries, its overhead among them.
        ordered_at: When the decisions ordered it, in ticks.
        confirms: The version whose confirmation the decisions asked for, or `NO_CONFIRMATION`.
        is_complete: Whether it carries a complete state in place of a delta.
        leaves_at: When it leaves the channel, in ticks.
        proxy_name: The recipient's name, which is the same over its sessions.
    """

    proxy: int
    version: int
    entries: float
    ordered_at: int
    confirms: int
    is_complete: bool
    leaves_at: float = 0.0
    proxy_name: str = ""


class Channel:
    """A queue of messages, each taking as long as its entries need. Pure; times are in ticks.

    Messages are counted by proxy name over a sliding window. The record of them is bounded by what
    the channel can send within the window and what waits.

    Attributes:
        queue: The messages that have not left, in order.
        backlog: The entries that wait.
        max_backlog: The largest backlog so far.
        sent_entries: The entries that have left.
        free_at: When the last message in the queue leaves.
    """

    def __init__(self, entries_per_second: float, window: int = 0) -> None:
        """`window`: how long a message counts after it has left, in ticks."""
        self.entries_per_tick = entries_per_second / SECOND
        self.window = window
        self.queue: deque[Message] = deque()
        self.backlog = 0.0
        self.max_backlog = 0.0
        self.sent_entries = 0.0
        self.free_at = 0.0
        self._sent_log: deque[tuple[int, str]] = deque()
        self._messages_by_name: Counter[str] = Counter()

    def enqueue(self, now: int, message: Message) -> None:
        """Appends a message and sets when it leaves."""
        self.free_at = max(self.free_at, float(now)) + message.entries / self.entries_per_tick
        message.leaves_at = self.free_at
        self.queue.append(message)
        self._messages_by_name[message.proxy_name] += 1
        self.backlog += message.entries
        self.max_backlog = max(self.max_backlog, self.backlog)

    def next_departure(self) -> float | None:
        """Returns when the next message leaves; None if the queue is empty."""
        return self.queue[0].leaves_at if self.queue else None

    def pop_due(self, now: int) -> list[Message]:
        """Removes and returns the messages whose time to leave has come, in order."""
        self._expire_log(now)
        due = []
        while self.queue and self.queue[0].leaves_at <= now:
            message = self.queue.popleft()
            self.backlog -= message.entries
            self.sent_entries += message.entries
            self._sent_log.append((now, message.proxy_name))
            due.append(message)
        if not self.queue:
            # Sums of floats leave a remainder.
            self.backlog = 0.0
        return due

    def messages_in_window(self, now: int, proxy_name: str) -> int:
        """Counts the messages to a name, over all its sessions, that wait or left in the window."""
        self._expire_log(now)
        return self._messages_by_name[proxy_name]

    def tracked_names(self) -> int:
        """Returns the number of names that any message is counted for."""
        return len(self._messages_by_name)

    def logged_messages(self) -> int:
        """Returns the number of messages that have left and are still counted."""
        return len(self._sent_log)

    def detach(self, proxy: int) -> None:
        """Ends a session: its messages keep their place in the channel, and go to nobody."""
        for message in self.queue:
            if message.proxy == proxy:
                message.proxy = NO_RECIPIENT

    def _expire_log(self, now: int) -> None:
        while self._sent_log and now - self._sent_log[0][0] > self.window:
            name = self._sent_log.popleft()[1]
            self._messages_by_name[name] -= 1
            if not self._messages_by_name[name]:
                del self._messages_by_name[name]
