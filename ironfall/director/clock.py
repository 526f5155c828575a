"""A monotonic clock that excludes stalls of the director's own process."""

from collections.abc import Callable

from ironfall.decisions.time_units import SECOND

STALL_TICKS = SECOND
"""A longer gap between two readings is a stall: the event loop reads the clock every 0.1 s."""


class Clock:
    """Monotonic time minus the time the process was stopped, swapped out or not scheduled.

    Sessions, health checks, reports and the decision engine all use this clock, so that a director
    does not mistake its own stall for silence of its peers.

    Attributes:
        monotonic: The source of time, in seconds.
        stalls: The number of stalls so far.
        stalled: The total length of all stalls, in seconds.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.stalls = 0
        self.stalled = 0.0
        self._last_reading = monotonic()

    def now(self) -> int:
        """Returns the current time in ticks, excluding stalls."""
        reading = self.monotonic()
        gap = reading - self._last_reading
        if gap * SECOND > STALL_TICKS:
            self.stalls += 1
            self.stalled += gap
        self._last_reading = reading
        return int((reading - self.stalled) * SECOND)
