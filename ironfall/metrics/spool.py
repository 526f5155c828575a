"""Points that wait to be sent: bounded, folded before any is lost, the oldest lost first and counted. No I/O."""

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ironfall.metrics.point import Point

FOLD = 10.0  # seconds that are made one when there is no room

Key = tuple[str, tuple[tuple[str, str], ...], float]


@dataclass(slots=True)
class Waiting:
    value: float
    count: int
    at: float
    how: str


class Spool:
    """`how` of a series is `last` (counters, which only grow), `mean` or `max` (gauges, latencies)."""

    def __init__(
        self, most: int, spill: Callable[[Key, Waiting], bool] = lambda _key, _waiting: False
    ) -> None:
        self.most, self.spill = (
            most,
            spill,
        )  # `spill`: whether what has no room here is kept elsewhere
        self.waiting: OrderedDict[Key, Waiting] = OrderedDict()
        self.rest = 0  # puts until it is worth folding again
        self.counts: Counter[str] = Counter()

    def put(self, point: Point, how: str = "last") -> None:
        self.counts["put"] += 1
        self.rest -= 1
        self._add(
            self.waiting,
            (point.series, point.tags, point.at),
            Waiting(point.value, 1, point.at, how),
        )
        if len(self.waiting) > self.most and self.rest <= 0:
            before = len(self.waiting)
            self._fold()
            # Folding looks at all that waits. Where it makes little room, a flood of names would pay that for each.
            self.rest = 0 if 20 * (before - len(self.waiting)) >= self.most else self.most // 20
        while len(self.waiting) > self.most:
            key, lost = self.waiting.popitem(last=False)
            self.counts["spilled" if self.spill(key, lost) else "dropped"] += lost.count

    @staticmethod
    def _add(into: OrderedDict[Key, Waiting], key: Key, it: Waiting) -> None:
        held = into.get(key)
        if held is None:
            into[key] = it
            return
        whole = held.count + it.count
        mean = (held.value * held.count + it.value * it.count) / whole
        held.value = (
            mean if it.how == "mean" else max(held.value, it.value) if it.how == "max" else it.value
        )
        held.count, held.at = whole, max(held.at, it.at)

    def _fold(self) -> None:
        """Second by second becomes ten by ten, but for the newest ten seconds."""
        newest = max(it.at for it in self.waiting.values())
        folded: OrderedDict[Key, Waiting] = OrderedDict()
        for (series, tags, at), it in self.waiting.items():
            slot = at - at % FOLD if at < newest - FOLD else at
            self._add(folded, (series, tags, slot), it)
        self.counts["folded"] += len(self.waiting) - len(folded)
        self.waiting = folded

    def take(self, most: int) -> list[tuple[Key, Waiting]]:
        """The oldest, to be sent; they wait on until `sent`."""
        return [pair for _, pair in zip(range(most), self.waiting.items(), strict=False)]

    def sent(self, taken: list[tuple[Key, Waiting]]) -> None:
        for key, it in taken:
            if self.waiting.get(key) is it:
                del self.waiting[key]
                self.counts["sent"] += it.count

    @property
    def held(self) -> int:
        """Points that wait here, as they were put: put = sent from here + spilled + dropped + held, at all times."""
        return sum(it.count for it in self.waiting.values())
