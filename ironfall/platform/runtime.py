"""What the parts of a director that do I/O share."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ironfall.platform.log import EventLog


class Counter(Protocol):
    """Counts occurrences by name, for the log's summary."""

    def __call__(self, name: str, amount: int = 1, /) -> None:
        """Adds to a count."""


@dataclass(frozen=True)
class Runtime:
    """The services that each part needs beside its own job.

    Attributes:
        now: Reads the director's clock, in ticks (tenths of a millisecond).
        random: For jitter alone; the decisions have a source of their own.
        log: Takes log events.
        count: Counts occurrences by name.
    """

    now: Callable[[], int]
    random: random.Random
    log: EventLog
    count: Counter
