"""A bounded buffer of points to be sent. No I/O.

When it is full, it first combines older points into coarser ones, and then drops and counts the
oldest.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ironfall.metrics.point import Point

FOLD_SECONDS = 10.0  # seconds of points that are combined into one when there is no room

Key = tuple[str, tuple[tuple[str, str], ...], float]


@dataclass(slots=True)
class Waiting:
    """A point that waits to be sent.

    Attributes:
        value: The value.
        count: The number of points that were combined into it.
        at: The latest time of those points, in seconds since 1970.
        how: How points of its series are combined (see `Spool`).
    """

    value: float
    count: int
    at: float
    how: str


class Spool:
    """Holds the points of a sender until they are sent.

    Points of one series are combined by `how`: `last` (counters, which only grow), `mean` or `max`
    (gauges, latencies).

    Args:
        max_entries: The limit of entries, each one point or several combined ones.
        spill: Called with an entry that has no room; returns whether it is kept elsewhere.
    """

    def __init__(
        self, max_entries: int, spill: Callable[[Key, Waiting], bool] = lambda _key, _waiting: False
    ) -> None:
        self.max_entries, self.spill = max_entries, spill
        self.waiting: OrderedDict[Key, Waiting] = OrderedDict()
        self.puts_until_fold = 0  # puts until folding is tried again
        self.counts: Counter[str] = Counter()

    def put(self, point: Point, how: str = "last") -> None:
        """Adds a point; makes room if the spool is full."""
        self.counts["put"] += 1
        self.puts_until_fold -= 1
        self._add(
            self.waiting,
            (point.series, point.tags, point.at),
            Waiting(point.value, 1, point.at, how),
        )
        if len(self.waiting) > self.max_entries and self.puts_until_fold <= 0:
            before = len(self.waiting)
            self._fold()
            # Folding visits all entries. If it made little room, it is not repeated at once:
            # otherwise a flood of different series would cost a full pass for each point.
            self.puts_until_fold = (
                0
                if 20 * (before - len(self.waiting)) >= self.max_entries
                else self.max_entries // 20
            )
        while len(self.waiting) > self.max_entries:
            key, oldest = self.waiting.popitem(last=False)
            self.counts["spilled" if self.spill(key, oldest) else "dropped"] += oldest.count

    @staticmethod
    def _add(into: OrderedDict[Key, Waiting], key: Key, waiting: Waiting) -> None:
        existing = into.get(key)
        if existing is None:
            into[key] = waiting
            return
        count = existing.count + waiting.count
        mean = (existing.value * existing.count + waiting.value * waiting.count) / count
        existing.value = (
            mean
            if waiting.how == "mean"
            else max(existing.value, waiting.value)
            if waiting.how == "max"
            else waiting.value
        )
        existing.count, existing.at = count, max(existing.at, waiting.at)

    def _fold(self) -> None:
        """Combines points into slots of FOLD_SECONDS, except for the newest FOLD_SECONDS."""
        newest = max(waiting.at for waiting in self.waiting.values())
        folded: OrderedDict[Key, Waiting] = OrderedDict()
        for (series, tags, at), waiting in self.waiting.items():
            slot = at - at % FOLD_SECONDS if at < newest - FOLD_SECONDS else at
            self._add(folded, (series, tags, slot), waiting)
        self.counts["folded"] += len(self.waiting) - len(folded)
        self.waiting = folded

    def take(self, limit: int) -> list[tuple[Key, Waiting]]:
        """Returns the oldest entries, at most `limit`; they stay in the spool until `sent`."""
        return [pair for _, pair in zip(range(limit), self.waiting.items(), strict=False)]

    def sent(self, taken: list[tuple[Key, Waiting]]) -> None:
        """Removes entries that were sent, unless they were replaced meanwhile."""
        for key, waiting in taken:
            if self.waiting.get(key) is waiting:
                del self.waiting[key]
                self.counts["sent"] += waiting.count

    @property
    def held(self) -> int:
        """The number of points that wait; put = sent + spilled + dropped + held at all times."""
        return sum(waiting.count for waiting in self.waiting.values())
