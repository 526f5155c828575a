"""The rate-limited channel from a director to its proxies."""

from collections import Counter, deque
from dataclasses import dataclass

from ironfall.decisions.time_units import SECOND

NO_CONFIRMATION = -1
"""Stands for a version: the decision engine asked for no confirmation of the message."""

NO_RECIPIENT = -1
"""Stands for a proxy: the session ended while the message was queued."""


@dataclass(slots=True)
class Message:
    """One message to one proxy.

    Attributes:
        proxy: The number of the recipient's session, or `NO_RECIPIENT`.
        version: The version of the publication that the proxy holds after this message.
        entries: The size in table entries, including the overhead per message.
        ordered_at: When the decision engine ordered it, in ticks.
        confirms: The version to confirm, as requested by the decision engine, or
            `NO_CONFIRMATION`.
        is_complete: Whether it carries a complete state and not a delta.
        leaves_at: When it leaves the channel, in ticks.
        proxy_name: The recipient's name, which stays the same across its sessions.
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
    """A FIFO queue that sends table entries at a fixed rate. Does no I/O; times are in ticks.

    Messages are counted by proxy name over a sliding window. The memory for these counts is bounded
    by the messages that are queued and those that the channel can send within the window.

    Attributes:
        queue: The messages that have not been sent, in order.
        backlog: The number of queued entries.
        max_backlog: The largest backlog so far.
        sent_entries: The number of entries sent so far.
        free_at: When the last queued message leaves.
    """

    def __init__(self, entries_per_second: float, window: int = 0) -> None:
        """`window`: how long a message is counted after it was sent, in ticks."""
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
        """Appends a message and sets its departure time."""
        self.free_at = max(self.free_at, float(now)) + message.entries / self.entries_per_tick
        message.leaves_at = self.free_at
        self.queue.append(message)
        self._messages_by_name[message.proxy_name] += 1
        self.backlog += message.entries
        self.max_backlog = max(self.max_backlog, self.backlog)

    def next_departure(self) -> float | None:
        """Returns the departure time of the next message; None if the queue is empty."""
        return self.queue[0].leaves_at if self.queue else None

    def pop_due(self, now: int) -> list[Message]:
        """Removes and returns the messages whose departure time has come, in order."""
        self._expire_log(now)
        due = []
        while self.queue and self.queue[0].leaves_at <= now:
            message = self.queue.popleft()
            self.backlog -= message.entries
            self.sent_entries += message.entries
            self._sent_log.append((now, message.proxy_name))
            due.append(message)
        if not self.queue:
            # Removes the rounding error of the float sums.
            self.backlog = 0.0
        return due

    def messages_in_window(self, now: int, proxy_name: str) -> int:
        """Counts the messages to a name, in all its sessions, queued or sent within the window."""
        self._expire_log(now)
        return self._messages_by_name[proxy_name]

    def tracked_names(self) -> int:
        """Returns the number of names with at least one counted message."""
        return len(self._messages_by_name)

    def logged_messages(self) -> int:
        """Returns the number of sent messages that are still counted."""
        return len(self._sent_log)

    def detach(self, proxy: int) -> None:
        """Removes the recipient of a proxy's queued messages, which keep their place."""
        for message in self.queue:
            if message.proxy == proxy:
                message.proxy = NO_RECIPIENT

    def _expire_log(self, now: int) -> None:
        while self._sent_log and now - self._sent_log[0][0] > self.window:
            name = self._sent_log.popleft()[1]
            self._messages_by_name[name] -= 1
            if not self._messages_by_name[name]:
                del self._messages_by_name[name]
