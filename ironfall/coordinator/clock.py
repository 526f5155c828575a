"""A coordinator's clocks, and the check that its wall clock agrees with the fleet's."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from ironfall.coordinator.limits import TICKS_PER_SECOND

# The largest difference allowed between this wall clock and a peer's, or the log's time.
MAX_OFFSET_TICKS = TICKS_PER_SECOND
# Older readings of a peer's clock are ignored.
MAX_AGE_TICKS = 5 * TICKS_PER_SECOND


@dataclass(frozen=True)
class SystemClock:
    """The clocks of the machine; tests replace them.

    Attributes:
        monotonic: in seconds; never goes back.
        wall: in seconds since 1970.
    """

    monotonic: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time

    def now_ticks(self) -> int:
        """Returns the monotonic time in tenths of a millisecond."""
        return int(self.monotonic() * TICKS_PER_SECOND)

    def wall_ticks(self) -> int:
        """Returns the time since 1970 in tenths of a millisecond."""
        return int(self.wall() * TICKS_PER_SECOND)


@dataclass(frozen=True)
class _PeerOffset:
    """A reading of a peer's clock.

    Attributes:
        ticks: the peer's wall clock minus this coordinator's monotonic clock.
        heard_at: when the reading came, by the monotonic clock.
    """

    ticks: int
    heard_at: int


class ClockCheck:
    """Compares this coordinator's wall clock with its peers' and the log's.

    All times are in tenths of a millisecond: `wall` since 1970, `now` monotonic.
    """

    def __init__(self, max_offset: int = MAX_OFFSET_TICKS, max_age: int = MAX_AGE_TICKS) -> None:
        self.max_offset = max_offset
        self.max_age = max_age
        self._peers: dict[str, _PeerOffset] = {}

    def on_peer_time(self, peer: str, wall: int, now: int) -> None:
        """Records the wall clock that a peer's message carried."""
        self._peers[peer] = _PeerOffset(wall - now, now)

    def find_fault(self, wall: int, now: int, log_time: int, voters: int) -> str:
        """Returns why this wall clock must not be used; empty if it may be.

        A message may have waited, so that a coordinator that was suspended may find a fault until
        it has handled one or two newer messages.

        Args:
            wall: this coordinator's wall clock.
            now: its monotonic clock.
            log_time: the newest time in the log.
            voters: the number of voters, this coordinator included.
        """
        if wall < log_time - self.max_offset:
            return f"its clock is {(log_time - wall) / TICKS_PER_SECOND:.1f}s behind the log"
        self._peers = {
            peer: offset
            for peer, offset in self._peers.items()
            if now - offset.heard_at <= self.max_age
        }
        differences = [offset.ticks - (wall - now) for offset in self._peers.values()]
        disagreeing = sum(abs(difference) > self.max_offset for difference in differences)
        if 2 * disagreeing > voters:
            median = sorted(differences)[len(differences) // 2]
            return f"its clock is {median / -TICKS_PER_SECOND:+.1f}s apart from most keepers'"
        return ""
