"""Accounts for what was written to the proxies and may still be queued in the channel.

Other modules decide what is written, and how much of the channel it may use.
"""

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

# Version numbers wrap around to 0 at this value.
VERSION_COUNT = 65536


@dataclass(slots=True)
class PendingUpdate:
    """The messages written at one moment that aren't known to have been applied.

    Attributes:
        version: The version number by which proxies confirm it.
        written_at: When it was written.
        entries_by_proxy: Size of each proxy's message in entries, including its overhead.
        entries: Total size of all messages in entries.
    """

    version: int
    written_at: int
    entries_by_proxy: dict[int, float] = field(default_factory=dict)
    entries: float = 0.0


class ChannelBudget:
    """Counts the entries that may still be queued in the channel, and the messages to each proxy.

    Attributes:
        message_overhead: Cost of a message in entries, in addition to those it carries.
        message_window: Length of the sliding window over which messages are counted.
        loss_time: Time after which an unconfirmed update is considered lost.
        request_confirmation: Called with the version of each new update.
        updates: The updates that aren't known to have been applied, oldest first.
        version: Version of the latest update.
    """

    def __init__(
        self,
        message_overhead: float,
        message_window: int,
        loss_time: int,
        request_confirmation: Callable[[int], None],
    ) -> None:
        self.message_overhead = message_overhead
        self.message_window = message_window
        self.loss_time = loss_time
        self.request_confirmation = request_confirmation
        self.updates: list[PendingUpdate] = []
        self.version = 0
        # Times of the updates to any proxy, and of the messages to each proxy since it connected.
        self._update_times: deque[int] = deque()
        self._message_times: dict[int, deque[int]] = {}

    def add_proxy(self, proxy: int) -> None:
        """Starts counting the messages to a proxy."""
        self._message_times[proxy] = deque()

    def remove_proxy(self, proxy: int) -> None:
        """Stops counting the messages to a proxy."""
        self._message_times.pop(proxy, None)

    def charge(self, now: int, proxies: Collection[int], entries: float = 1.0) -> None:
        """Records that each of the given proxies is sent a number of entries.

        The message overhead is added for proxies that have no message at this moment yet.
        """
        if not proxies:
            return
        update = self._update_at(now)
        messages = update.entries_by_proxy
        for proxy in proxies:
            cost = entries
            if proxy not in messages:
                messages[proxy] = 0.0
                cost += self.message_overhead
                times = self._message_times.get(proxy)
                if times is not None:
                    times.append(now)
            messages[proxy] += cost
            update.entries += cost

    def _update_at(self, now: int) -> PendingUpdate:
        """Returns the update of this moment, and creates it if there is none."""
        if not self.updates or self.updates[-1].written_at != now:
            # A counter, because a time truncated to 16 bits would repeat after 6.5536 s.
            self.version = (self.version + 1) % VERSION_COUNT
            self._drop_lost(now)
            self.updates = [*self.updates, PendingUpdate(self.version, now)]
            self.request_confirmation(self.version)
        if not self._update_times or self._update_times[-1] != now:
            self._update_times.append(now)
        return self.updates[-1]

    def _drop_lost(self, now: int) -> None:
        self.updates = [u for u in self.updates if now - u.written_at < self.loss_time]

    def confirm(self, proxy: int, version: int) -> None:
        """Records that a proxy has applied everything up to a version.

        The channel is first in, first out, so older updates have left it for all proxies.
        """
        for n, update in enumerate(self.updates):
            if update.version == version:
                self.updates = self.updates[n:]
                update.entries -= update.entries_by_proxy.pop(proxy, 0.0)
                return

    def unconfirmed_entries(self, now: int) -> float:
        """Returns the number of entries that may still be queued in the channel."""
        self._drop_lost(now)
        return sum(update.entries for update in self.updates)

    def oldest_unconfirmed(self) -> dict[int, int]:
        """Returns, by proxy, when the oldest update was written that it hasn't confirmed.

        Proxies that have confirmed everything are omitted.
        """
        return {
            proxy: update.written_at
            for update in reversed(self.updates)
            for proxy in update.entries_by_proxy
        }

    def max_messages(
        self, now: int, threshold: float, proxies: Collection[int] | None = None
    ) -> int:
        """Returns the highest number of messages to one proxy within the window.

        Only the given proxies are considered; None stands for all. Those with a message at this
        moment are skipped, since more entries can be added to it. No proxy has more messages than
        there were updates, so if there were fewer updates than the threshold, their number is
        returned instead.
        """
        while self._update_times and now - self._update_times[0] > self.message_window:
            self._update_times.popleft()
        update_count = len(self._update_times)
        if update_count < threshold:
            return update_count
        max_count = 0
        for proxy in self._message_times if proxies is None else proxies:
            times = self._message_times.get(proxy) or deque()
            while times and now - times[0] > self.message_window:
                times.popleft()
            if times and times[-1] != now:
                max_count = max(max_count, len(times))
        return max_count
