"""The director's clock: whole tenths of a millisecond that stand still while the director does."""

from collections.abc import Callable

STALL = 10_000  # the loop reads the clock ten times a second: a jump of a second is the director's own standstill


class Clock:
    """Monotonic time less the times the process stood still (was stopped, swapped out, or starved).

    Against a director that takes its own gap for everybody's silence: sessions, probes, reports and the module's
    own spans are all read from this clock, so that none of them sees the gap.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.behind = 0.0
        self.last = monotonic()
        self.stalls = 0
        self.stalled = 0.0  # seconds in all

    def now(self) -> int:
        read = self.monotonic()
        gap = read - self.last
        if gap * 10_000 > STALL:
            self.behind += gap
            self.stalls += 1
            self.stalled += gap
        self.last = read
        return int((read - self.behind) * 10_000)
