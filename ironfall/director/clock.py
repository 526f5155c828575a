"""A monotonic clock that excludes the time during which the director's own process stood still."""

from collections.abc import Callable

SECOND = 10_000
"""Ticks of a second. Times of the decisions and the director are whole tenths of a millisecond."""

STALL_TICKS = SECOND
"""A longer gap between two readings is a stall: the event loop reads ten times a second."""


class Clock:
    """Monotonic time less the time that the process was stopped, swapped out or starved.

    Sessions, health checks, reports and the decisions' own time spans are all read from this clock,
    so that a director does not mistake its own stall for silence of its peers.

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
        """Returns the current time in ticks; a stall since the last reading is left out."""
        reading = self.monotonic()
        gap = reading - self._last_reading
        if gap * SECOND > STALL_TICKS:
            self.stalls += 1
            self.stalled += gap
        self._last_reading = reading
        return int((reading - self.stalled) * SECOND)
