"""The timer of a consensus node."""

from collections.abc import Callable

from gevent.event import Event

from ironfall.coordinator.clock import SystemClock
from ironfall.coordinator.limits import TICKS_PER_SECOND

NEVER = 1 << 62
MAX_WAIT_S = 60.0


class NodeTimer:
    """Calls `on_expired` at the time set last. Times are in tenths of a millisecond."""

    def __init__(
        self, clock: SystemClock, fallback_delay: int, on_expired: Callable[[], None]
    ) -> None:
        """Takes the callback, and the delay after which it is called again if no time is set."""
        self._clock = clock
        self._fallback_delay = fallback_delay
        self._on_expired = on_expired
        self._expires_at = NEVER
        self._was_set = Event()

    def set(self, delay: int) -> None:
        """Sets the time, in place of the one set before."""
        self._expires_at = self._clock.now_ticks() + max(1, delay)
        self._was_set.set()

    def disarm(self) -> None:
        """Cancels the time set before."""
        self._expires_at = NEVER

    def is_overdue(self, tolerance: int) -> bool:
        """Returns whether the time has passed by more than `tolerance`."""
        return self._clock.now_ticks() > self._expires_at + tolerance

    def run(self) -> None:
        """Calls the callback at each set time, until killed."""
        while True:
            wait_s = (self._expires_at - self._clock.now_ticks()) / TICKS_PER_SECOND
            if wait_s <= 0:
                self._expires_at = self._clock.now_ticks() + self._fallback_delay
                self._on_expired()
            elif not self._was_set.wait(min(wait_s, MAX_WAIT_S)):
                continue
            self._was_set.clear()
