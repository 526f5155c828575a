"""Tracks which proxies are attached, from several feeds of the relay's events. Pure: no I/O.

Each feed first delivers a snapshot of the attached proxies and then each change. All feeds deliver
events in the relay's order, but one may lag behind another. So the events of each proxy (attached,
detached, attached, ...) are numbered, and each feed counts those that it has delivered. An event is
new if its number is higher than any that a feed has delivered, however long another feed takes to
deliver it too.

While one feed continues, attached proxies in the snapshot of another are left as they are. After a
gap of all feeds, an attached proxy may have been detached in between. A proxy that was assigned and
holds no ordered table has restarted, and joins again. One that holds a table may hold another
director's, and is desynchronized until it is assigned again.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

TICKS_PER_SECOND = 10_000
# The relay sends a ping each second.
MAX_IDLE_TICKS = TICKS_PER_SECOND * 3 // 2
MAX_REMEMBERED_NONCES = 64


class ProxyState(NamedTuple):
    """The relay's information on an attached proxy.

    Attributes:
        zone: Index of its zone.
        request_rate: Its approximate usual rate, in requests per second.
        is_cold: Whether it holds no ordered table.
    """

    zone: int
    request_rate: float
    is_cold: bool


class ProxyListener(Protocol):
    """Receives each change once."""

    def on_proxy_joined(self, proxy: int, zone: int, request_rate: float) -> None:
        """Handles a proxy that has attached."""

    def on_proxy_desynchronized(self, proxy: int) -> None:
        """Handles an attached proxy that may hold another director's tables."""

    def on_proxy_left(self, proxy: int) -> None:
        """Handles a proxy that has detached."""

    def on_nonce_confirmed(self, proxy: int, nonce: int) -> None:
        """Handles a proxy that has applied all orders up to those of the nonce's call."""


@dataclass(slots=True, eq=False)
class Feed:
    """The progress of one subscription.

    Attributes:
        opened_at_event: Number of the newest event of all feeds when this one was opened.
        last_received_at: Clock time when it last delivered anything, in ticks.
        had_proxies: Whether any proxy was attached when it was opened.
        is_in_snapshot: Whether its snapshot is still being delivered.
        snapshot_proxies: The proxies in the snapshot so far.
        event_counts: Number of events that it has delivered, by proxy.
    """

    opened_at_event: int
    last_received_at: int
    had_proxies: bool
    is_in_snapshot: bool = True
    snapshot_proxies: set[int] = field(default_factory=set)
    event_counts: dict[int, int] = field(default_factory=dict)


class ProxyStreams:
    """Merges the events of all feeds.

    Attributes:
        attached: The attached proxies.
        assigned: The attached proxies that this director has assigned since they attached.
        feeds: The open feeds.
        last_event: Number of the newest event, counted over all proxies.
        confirmed: The proxies that have confirmed each recent nonce, by nonce.
        gap_count: How often all feeds were interrupted at the same time.
    """

    def __init__(self, listener: ProxyListener, now: Callable[[], int]) -> None:
        self._listener = listener
        self.now = now
        self.attached: set[int] = set()
        self.assigned: set[int] = set()
        self.feeds: list[Feed] = []
        # By proxy, the highest number of an event from any feed; odd while it is attached.
        self._event_counts: dict[int, int] = {}
        # By proxy, the number of its newest event, counted over all proxies.
        self._newest_events: dict[int, int] = {}
        self.last_event = 0
        self.confirmed: OrderedDict[int, set[int]] = OrderedDict()
        self.gap_count = 0

    def open_feed(self) -> Feed:
        """Adds a feed, which delivers its snapshot first."""
        feed = Feed(self.last_event, self.now(), bool(self.attached))
        self.feeds.append(feed)
        return feed

    def close_feed(self, feed: Feed) -> None:
        """Removes a feed that has ended."""
        self.feeds.remove(feed)

    def on_attach(self, feed: Feed, proxy: int, state: ProxyState) -> None:
        """Handles a proxy in the snapshot, or one that has attached since then."""
        if feed.is_in_snapshot and proxy not in feed.snapshot_proxies:
            feed.snapshot_proxies.add(proxy)
            self._on_snapshot_proxy(feed, proxy, state)
            return
        self.end_snapshot(feed)
        delivered = feed.event_counts.get(proxy, 0)
        number = delivered + 1
        if delivered % 2:
            # Already attached, so it has detached in between without an event.
            number += 1
        self._deliver_attach(feed, proxy, number, state)

    def on_detach(self, feed: Feed, proxy: int) -> None:
        """Handles a proxy that has detached."""
        self.end_snapshot(feed)
        delivered = feed.event_counts.get(proxy, 0)
        if delivered % 2:
            self._deliver_detach(feed, proxy, delivered + 1)

    def on_confirmation(self, feed: Feed, proxy: int, nonce: int) -> None:
        """Handles a proxy that has applied all orders up to those of the nonce's call."""
        self.end_snapshot(feed)
        proxies = self.confirmed.get(nonce)
        if proxies is None:
            proxies = set()
            self.confirmed[nonce] = proxies
            while len(self.confirmed) > MAX_REMEMBERED_NONCES:
                self.confirmed.popitem(last=False)
        if proxy not in proxies and proxy in self.attached:
            proxies.add(proxy)
            self._listener.on_nonce_confirmed(proxy, nonce)

    def forget_nonce(self, nonce: int) -> None:
        """Drops old confirmations of a nonce that a new call is about to reuse."""
        self.confirmed.pop(nonce, None)

    def newest_event(self, proxy: int) -> int:
        """Returns the number of a proxy's newest event, 0 if it has none."""
        return self._newest_events.get(proxy, 0)

    def end_snapshot(self, feed: Feed) -> None:
        """Ends a feed's snapshot, unless it has ended.

        Proxies missing from it have detached, except those that attached after the feed was opened.
        """
        if not feed.is_in_snapshot:
            return
        if feed.had_proxies and self._are_others_interrupted(feed):
            self.gap_count += 1
        feed.is_in_snapshot = False
        for proxy, count in list(self._event_counts.items()):
            if proxy in feed.snapshot_proxies:
                continue
            if count % 2 == 0:
                feed.event_counts[proxy] = count
            elif self._newest_events[proxy] > feed.opened_at_event:
                # It attached after the feed was opened: this feed will deliver that event too.
                feed.event_counts[proxy] = count - 1
            else:
                self._deliver_detach(feed, proxy, count + 1)
        feed.snapshot_proxies = set()

    def _are_others_interrupted(self, feed: Feed) -> bool:
        """Returns whether each other feed, if any, is idle or still in its snapshot."""
        since = self.now() - MAX_IDLE_TICKS
        for other in self.feeds:
            if other is feed or other.is_in_snapshot:
                continue
            if other.last_received_at >= since:
                return False
        return True

    def _on_snapshot_proxy(self, feed: Feed, proxy: int, state: ProxyState) -> None:
        count = self._event_counts.get(proxy, 0)
        if count % 2:
            feed.event_counts[proxy] = count
            if proxy not in self.assigned or not self._are_others_interrupted(feed):
                return
            if state.is_cold:
                self._deliver_attach(feed, proxy, count + 2, state)
            else:
                self._listener.on_proxy_desynchronized(proxy)
        elif count and self._newest_events[proxy] > feed.opened_at_event:
            # It detached after this feed was opened, as another feed has delivered: this feed will
            # deliver that event too.
            feed.event_counts[proxy] = count - 1
        else:
            self._deliver_attach(feed, proxy, count + 1, state)

    def _deliver_attach(self, feed: Feed, proxy: int, number: int, state: ProxyState) -> None:
        if not self._is_new(feed, proxy, number):
            return
        if proxy in self.attached:
            self._detach(proxy)
        self.attached.add(proxy)
        self._listener.on_proxy_joined(proxy, state.zone, state.request_rate)

    def _deliver_detach(self, feed: Feed, proxy: int, number: int) -> None:
        if self._is_new(feed, proxy, number) and proxy in self.attached:
            self._detach(proxy)

    def _is_new(self, feed: Feed, proxy: int, number: int) -> bool:
        """Records an event of a feed; returns whether it is the first feed to deliver it."""
        feed.event_counts[proxy] = number
        if number <= self._event_counts.get(proxy, 0):
            return False
        self.last_event += 1
        self._event_counts[proxy] = number
        self._newest_events[proxy] = self.last_event
        return True

    def _detach(self, proxy: int) -> None:
        self.attached.remove(proxy)
        self.assigned.discard(proxy)
        self._listener.on_proxy_left(proxy)
