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

A connection that has failed silently looks like one on which nothing happens, and one that lags may
still deliver events from before the snapshot. So the proxies of a snapshot are unverified until
another feed has delivered something that the relay sent later, and again after a late event. If all
feeds that could verify them become idle or end, there was a gap, and those that are still open are
abandoned.
"""

from collections.abc import Callable
from typing import Protocol

from ironfall.platform.nonce_confirmations import NonceConfirmations
from ironfall.platform.proxy_feed import (
    MAX_EVENT_LAG_TICKS,
    MAX_SNAPSHOT_LAG_TICKS,
    Feed,
    ProxyState,
    UnverifiedProxy,
)


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


class ProxyStreams:
    """Merges the events of all feeds.

    Attributes:
        attached: The attached proxies.
        assigned: The attached proxies that this director has assigned since they attached.
        feeds: The open feeds.
        last_event: Number of the newest event, counted over all proxies.
        confirmations: Which proxies have confirmed recent nonces.
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
        self.confirmations = NonceConfirmations()
        self.gap_count = 0

    def open_feed(self) -> Feed:
        """Adds a feed, which delivers its snapshot first."""
        feed = Feed(dict(self._event_counts), self.now())
        self.feeds.append(feed)
        return feed

    def close_feed(self, feed: Feed) -> None:
        """Removes a feed that has ended."""
        self.feeds.remove(feed)
        for other in self.feeds:
            self._verify_snapshot(other)

    def on_received(self, feed: Feed) -> None:
        """Handles bytes that a feed has delivered, or its regular end, before their events.

        The events of a feed that is abandoned by then must not be passed on.
        """
        now = self.now()
        feed.last_received_at = now
        for unverified in self.feeds:
            if now >= unverified.next_verification():
                self._verify_snapshot(unverified)
        feed.forget_verified(now)

    def on_attach(self, feed: Feed, proxy: int, state: ProxyState) -> None:
        """Handles a proxy in the snapshot, or one that has attached since then."""
        if feed.is_in_snapshot and proxy not in feed.snapshot_proxies:
            feed.snapshot_proxies.add(proxy)
            self._on_snapshot_proxy(feed, proxy, state)
            return
        self.end_snapshot(feed)
        self._note_change(feed, proxy, state)
        delivered = feed.event_counts.get(proxy, 0)
        number = delivered + 1
        if delivered % 2:
            # Already attached, so it has detached in between without an event.
            number += 1
        if proxy in feed.unverified and not self._has_other_delivered(feed, proxy, number):
            # A feed that has ended delivered as many events, perhaps from before this one's
            # snapshot. To join once too often is better than never.
            count = self._event_counts[proxy]
            number = max(number, count + 1 + count % 2)
        self._deliver_attach(feed, proxy, number, state)

    def _has_other_delivered(self, feed: Feed, proxy: int, number: int) -> bool:
        """Returns whether another open feed has delivered an event of a proxy, by its number."""
        others = (other for other in self.feeds if other is not feed)
        return any(other.event_counts.get(proxy, 0) >= number for other in others)

    def on_detach(self, feed: Feed, proxy: int) -> None:
        """Handles a proxy that has detached."""
        self.end_snapshot(feed)
        self._note_change(feed, proxy, None)
        delivered = feed.event_counts.get(proxy, 0)
        if not delivered % 2:
            return
        number = delivered + 1
        if proxy in feed.unverified and not self._has_other_delivered(feed, proxy, number):
            # As in `on_attach`.
            count = self._event_counts[proxy]
            number = max(number, count + count % 2)
        self._deliver_detach(feed, proxy, number)

    def on_confirmation(self, feed: Feed, proxy: int, nonce: int) -> None:
        """Handles a proxy that has applied all orders up to those of the nonce's call."""
        self.end_snapshot(feed)
        if proxy in self.attached and self.confirmations.add(nonce, proxy):
            self._listener.on_nonce_confirmed(proxy, nonce)

    def forget_nonce(self, nonce: int) -> None:
        """Drops old confirmations of a nonce that a new call is about to reuse."""
        self.confirmations.forget(nonce)

    def newest_event(self, proxy: int) -> int:
        """Returns the number of a proxy's newest event, 0 if it has none."""
        return self._newest_events.get(proxy, 0)

    def end_snapshot(self, feed: Feed) -> None:
        """Ends a feed's snapshot, unless it has ended.

        Proxies missing from it have detached, except those that attached after the feed was opened.
        """
        if not feed.is_in_snapshot:
            return
        feed.is_in_snapshot = False
        absent = [proxy for proxy in self._event_counts if proxy not in feed.snapshot_proxies]
        for proxy in absent:
            self._deliver_detach(feed, proxy, feed.least_count(proxy, is_attached=False))
            self._add_unverified(feed, proxy, None, proxy in self.assigned)
        feed.snapshot_proxies = set()
        if not self._is_any_other_live(feed):
            self._count_gap(feed)

    def _is_any_other_live(self, feed: Feed) -> bool:
        now = self.now()
        others = (other for other in self.feeds if other is not feed)
        return any(not other.is_in_snapshot and not other.is_idle(now) for other in others)

    def _count_gap(self, feed: Feed) -> None:
        if feed.had_proxies:
            self.gap_count += 1

    def _on_snapshot_proxy(self, feed: Feed, proxy: int, state: ProxyState) -> None:
        was_assigned = proxy in self.assigned
        self._deliver_attach(feed, proxy, feed.least_count(proxy, is_attached=True), state)
        self._add_unverified(feed, proxy, state, was_assigned)

    def _add_unverified(
        self, feed: Feed, proxy: int, state: ProxyState | None, was_assigned: bool
    ) -> None:
        """Adds a proxy of which a snapshot tells that it is attached or, by no state, detached."""
        now = self.now()
        # The snapshot may include events that another feed has delivered since this one was opened;
        # if it does not, this feed is to deliver them too.
        is_ambiguous = self._event_counts[proxy] > feed.event_counts[proxy]
        lag = MAX_EVENT_LAG_TICKS if is_ambiguous else MAX_SNAPSHOT_LAG_TICKS
        feed.unverified[proxy] = UnverifiedProxy(state, was_assigned, now + lag)
        feed.snapshot_at = now
        self._verify_proxy(feed, proxy)

    def _note_change(self, feed: Feed, proxy: int, state: ProxyState | None) -> None:
        """Records that a feed delivers an event of a proxy now, and the proxy's state by it."""
        now = self.now()
        for other in self.feeds:
            other.postpone_verification(proxy, now)
        if proxy in feed.unverified:
            feed.unverified[proxy].state = state

    def _verify_snapshot(self, feed: Feed) -> None:
        """Verifies the proxies of a snapshot of which that can be done now."""
        had_gap = False
        for proxy in list(feed.unverified):
            had_gap = self._verify_proxy(feed, proxy) or had_gap
        if had_gap:
            self._count_gap(feed)

    def _verify_proxy(self, feed: Feed, proxy: int) -> bool:
        """Verifies a proxy of a snapshot if possible; returns whether a gap had to be ended."""
        now = self.now()
        in_snapshot = feed.unverified[proxy]
        others = [other for other in self.feeds if other is not feed]
        if in_snapshot.was_verified:
            # Only the number of its events is in doubt, as long as any other feed may know better.
            verifiers = [other for other in others if other.is_continuing]
        else:
            verifiers = [other for other in others if other.can_verify(proxy)]
        if all(other.is_idle(now) for other in verifiers):
            for other in verifiers:
                other.is_abandoned = True
            feed.on_verified(proxy)
            if all(other.is_abandoned for other in others):
                # No other feed is left that could deliver events from before the snapshot.
                del feed.recently_verified[proxy]
            return self._end_gap(feed, proxy, in_snapshot)
        newest = max(other.last_received_at for other in verifiers)
        if min(feed.last_received_at, newest) >= in_snapshot.verifiable_at:
            feed.on_verified(proxy)
            self._adopt_count(feed, proxy)
        return False

    def _adopt_count(self, feed: Feed, proxy: int) -> None:
        """Counts a proxy's events from before a feed's snapshot that another has delivered late."""
        count = self._event_counts[proxy]
        if count % 2 == feed.event_counts[proxy] % 2:
            feed.event_counts[proxy] = count

    def _end_gap(self, feed: Feed, proxy: int, in_snapshot: UnverifiedProxy) -> bool:
        """Brings a proxy to its state by one feed, after a gap of all others.

        Returns whether this passed on anything.
        """
        count = self._event_counts[proxy]
        was_attached = count % 2 == 1
        state = in_snapshot.state
        feed.event_counts[proxy] = count
        if state is None:
            if was_attached:
                self._deliver_detach(feed, proxy, count + 1)
            return was_attached
        if was_attached:
            return self._restore(feed, proxy, state, in_snapshot)
        self._deliver_attach(feed, proxy, count + 1, state)
        return True

    def _restore(
        self, feed: Feed, proxy: int, state: ProxyState, in_snapshot: UnverifiedProxy
    ) -> bool:
        """Has an assigned proxy assigned again, unless that was only ordered after the gap.

        Returns whether it is assigned again.
        """
        may_precede_gap = in_snapshot.was_assigned or in_snapshot.has_changed
        if proxy not in self.assigned or not may_precede_gap:
            return False
        if state.is_cold:
            self._deliver_attach(feed, proxy, self._event_counts[proxy] + 2, state)
        else:
            self._listener.on_proxy_desynchronized(proxy)
        return True

    def _deliver_attach(self, feed: Feed, proxy: int, number: int, state: ProxyState) -> None:
        if not self._record_event(feed, proxy, number):
            return
        if proxy in self.attached:
            self._detach(proxy)
        self.attached.add(proxy)
        self._listener.on_proxy_joined(proxy, state.zone, state.request_rate)

    def _deliver_detach(self, feed: Feed, proxy: int, number: int) -> None:
        if self._record_event(feed, proxy, number) and proxy in self.attached:
            self._detach(proxy)

    def _record_event(self, feed: Feed, proxy: int, number: int) -> bool:
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
