"""The progress of one subscription to the relay's proxy events. Pure: no I/O."""

from dataclasses import dataclass, field
from typing import NamedTuple

from ironfall.decisions.time_units import SECOND

# The relay sends a ping each second.
MAX_IDLE_TICKS = SECOND * 3 // 2
# A feed that delivers anything this long after another's snapshot has continued up to it.
MAX_SNAPSHOT_LAG_TICKS = SECOND // 4
# An event that one feed has delivered is delivered by each other feed within this time, or never.
MAX_EVENT_LAG_TICKS = SECOND * 3


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


@dataclass(slots=True)
class UnverifiedProxy:
    """A proxy that may have had events before a snapshot which no feed has delivered.

    Attributes:
        state: Its newest state by the feed of the snapshot, None while it is detached there.
        was_assigned: Whether it was attached and assigned when the snapshot was delivered.
        verifiable_at: Clock time from which on it is verified by what two feeds deliver, in ticks.
        was_verified: Whether it was verified before, and only its number of events is in doubt.
        has_changed: Whether any feed has delivered an event of it since the snapshot.
    """

    state: ProxyState | None
    was_assigned: bool
    verifiable_at: int
    was_verified: bool = False
    has_changed: bool = False


@dataclass(slots=True, eq=False)
class Feed:
    """The progress of one subscription.

    Attributes:
        counts_at_opening: Number of events of each proxy that any feed had delivered when this one
            was opened.
        last_received_at: Clock time when it last delivered anything, in ticks.
        is_in_snapshot: Whether its snapshot is still being delivered.
        snapshot_proxies: The proxies in the snapshot so far.
        event_counts: Number of events that it has delivered, by proxy.
        unverified: The proxies, by number, of which it is not verified yet that no event before
            its snapshot is missing.
        recently_verified: Those that are verified, but of which another feed may still deliver
            events from before the snapshot.
        snapshot_at: Clock time when it last delivered a part of its snapshot, in ticks.
        is_abandoned: Whether another feed has replaced it, as it was idle. Its counts are no longer
            those of the others, so it must not deliver any more events.
    """

    counts_at_opening: dict[int, int]
    last_received_at: int
    is_in_snapshot: bool = True
    snapshot_proxies: set[int] = field(default_factory=set)
    event_counts: dict[int, int] = field(default_factory=dict)
    unverified: dict[int, UnverifiedProxy] = field(default_factory=dict)
    recently_verified: dict[int, UnverifiedProxy] = field(default_factory=dict)
    snapshot_at: int = 0
    is_abandoned: bool = False

    @property
    def had_proxies(self) -> bool:
        """Whether any proxy was attached when it was opened."""
        return any(count % 2 for count in self.counts_at_opening.values())

    @property
    def is_verified(self) -> bool:
        """Whether its snapshot is complete, and no event before it is missing."""
        return not self.is_in_snapshot and not self.unverified

    def is_settled(self, now: int) -> bool:
        """Returns whether it is verified, and no other feed delivers earlier events any more."""
        return self.is_verified and not self._may_late_events_follow(now)

    @property
    def is_continuing(self) -> bool:
        """Whether it has delivered its snapshot, and all events since then up to its position."""
        return not self.is_in_snapshot and not self.is_abandoned

    def can_verify(self, proxy: int) -> bool:
        """Returns whether it has delivered all events of a proxy, up to its own position."""
        unverified = self.unverified.get(proxy)
        return self.is_continuing and (unverified is None or unverified.was_verified)

    def is_idle(self, now: int) -> bool:
        """Returns whether it has missed a ping, so that its connection may have failed."""
        return self.last_received_at < now - MAX_IDLE_TICKS

    def next_verification(self) -> int:
        """Returns the clock time before which no unverified proxy can be verified, in ticks."""
        return min((proxy.verifiable_at for proxy in self.unverified.values()), default=0)

    def least_count(self, proxy: int, is_attached: bool) -> int:
        """Returns the least number of events of a proxy that its snapshot can include."""
        count = self.counts_at_opening.get(proxy, 0)
        return count if count % 2 == is_attached else count + 1

    def on_verified(self, proxy: int) -> None:
        """Handles a proxy that two feeds agree on, or of which a gap has been ended."""
        verified = self.unverified.pop(proxy)
        verified.was_verified = True
        self.recently_verified[proxy] = verified

    def postpone_verification(self, proxy: int, now: int) -> None:
        """Handles an event of a proxy, which other feeds may deliver later than one has.

        Also takes back the verification of a proxy if the event may be from before the snapshot.
        """
        verified = self.recently_verified.pop(proxy, None)
        if verified is not None and self._may_late_events_follow(now):
            self.unverified[proxy] = verified
        unverified = self.unverified.get(proxy)
        if unverified is not None:
            unverified.verifiable_at = now + MAX_EVENT_LAG_TICKS
            unverified.has_changed = True

    def forget_verified(self, now: int) -> None:
        """Drops the verified proxies once all events from before the snapshot are delivered."""
        if not self._may_late_events_follow(now):
            self.recently_verified.clear()

    def _may_late_events_follow(self, now: int) -> bool:
        return now < self.snapshot_at + MAX_EVENT_LAG_TICKS
