"""Services shared by the components of a director that do I/O."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ironfall.platform.log import EventLog


class Counter(Protocol):
    """Counts occurrences by name, for the summary in the log."""

    def __call__(self, name: str, amount: int = 1, /) -> None:
        """Adds to a count."""


@dataclass(frozen=True)
class Runtime:
    """The services that each component uses.

    Attributes:
        now: Reads the director's clock, in ticks (tenths of a millisecond).
        random: Only for jitter; the decision engine has its own generator.
        log: Takes log events.
        count: Counts occurrences by name.
    """

    now: Callable[[], int]
    random: random.Random
    log: EventLog
    count: Counter
