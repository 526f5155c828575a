"""The clock, the random source and the event log that the modules of a proxy share."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

TICKS_PER_SECOND = 10_000
TICKS_PER_MS = 10


class EventLog(Protocol):
    """Receives the events of a proxy, for records and tests."""

    def __call__(self, event: str, /, **fields: Any) -> None:
        """Records an event and its fields."""


@dataclass(frozen=True, slots=True)
class Environment:
    """What a proxy needs of the process it runs in.

    Attributes:
        clock: Returns the monotonic time, in ticks of 0.1 ms.
        random_source: For jitter and weighted choices.
        log_event: Receives the events of the proxy.
    """

    clock: Callable[[], int]
    random_source: random.Random
    log_event: EventLog


def monotonic_ticks() -> int:
    """Returns the monotonic time, in ticks of 0.1 ms."""
    return int(time.monotonic() * TICKS_PER_SECOND)


def ignore_event(_event: str, /, **_fields: Any) -> None:
    """Discards an event; the event log of a proxy whose events nobody reads."""
