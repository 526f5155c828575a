"""Which reading of a host's gauge counts, whatever order they come in. No I/O; times are seconds since 1970.

By measured time, not by arrival: the newest counts. Of two measured at one moment that disagree, the one that says more
load: to spare a host that could have carried more costs less than to jam one. What is too old, from the future, or from
before the host's present process is left out, and each reason is counted.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

VERDICTS = (
    "taken",
    "disagreed",
    "repeated",
    "older",
    "late",
    "future",
    "before its start",
    "no number",
    "unknown host",
    "no rate yet",
)


@dataclass(slots=True)
class Held:
    at: float
    value: float
    fresh: bool  # not yet handed to the decisions


@dataclass(slots=True)
class Known:
    """A host of the list: the start of its present process, 0 for long ago."""

    id: bytes
    started: float
    gauges: dict[str, Held] = field(default_factory=dict)
    rates: dict[str, "Rate"] = field(default_factory=dict)


class Readings:
    """Bounded by the hosts of the list times the gauges mapped: what no host is behind is not kept."""

    def __init__(self, late: float, ahead: float) -> None:
        self.late, self.ahead = late, ahead
        self.hosts: dict[str, Known] = {}
        self.counts: Counter[str] = Counter()

    def listed(self, hosts: dict[str, tuple[bytes, float]]) -> None:
        """The list as it is now: by name, id and start. What is gone is forgotten, with its readings."""
        kept = {}
        for name, (number, started) in hosts.items():
            old = self.hosts.get(name)
            same = old is not None and old.id == number and old.started == started
            kept[name] = old if same and old is not None else Known(number, started)
        self.hosts = kept

    def take(self, now: float, name: str, gauge: str, value: float, at: float) -> str:
        """One reading; which of VERDICTS it was."""
        verdict = self._verdict(now, name, gauge, value, at or now)
        self.counts[verdict] += 1
        return verdict

    def count(
        self, now: float, name: str, gauge: str, value: float, at: float, scale: float = 1.0
    ) -> str:
        """One reading of a counter: what it grew by a second since the one before, times `scale`, is the gauge.

        The first after a start, one out of order and the first after a reset tell no rate. A reading that would be
        left out as a gauge doesn't move the counter either.
        """
        known, at = self.hosts.get(name), at or now
        verdict = self._time(now, known, at)
        if known is not None and not verdict:
            rate = known.rates.setdefault(gauge, Rate()).next(at, value)
            if rate is not None:
                return self.take(now, name, gauge, rate * scale, at)
            verdict = "no rate yet"
        self.counts[verdict] += 1
        return verdict

    def _time(self, now: float, known: Known | None, at: float) -> str:
        """Why a reading of that time is left out; nothing where it is not."""
        if known is None:
            return "unknown host"
        if at > now + self.ahead:
            return "future"
        if at < now - self.late:
            return "late"
        return "before its start" if at < known.started else ""

    def _verdict(self, now: float, name: str, gauge: str, value: float, at: float) -> str:
        known = self.hosts.get(name)
        if known is None or not math.isfinite(value) or value < 0:
            return "no number" if known else "unknown host"
        if wrong := self._time(now, known, at):
            return wrong
        held = known.gauges.get(gauge)
        if held is None or at > held.at:
            known.gauges[gauge] = Held(at, value, True)
            return "taken"
        if at < held.at:
            return "older"
        if value == held.value:
            return "repeated"
        if value > held.value:
            known.gauges[gauge] = Held(at, value, True)
        return "disagreed"

    def hand(self) -> list[tuple[bytes, float, dict[str, float]]]:
        """Readings not handed on yet: a host's id, when measured, and the gauges of that moment, oldest first.

        Each moment by itself: the decisions keep the newest, and two gauges handed on under the older one's time would
        leave them with another than when they had come one by one.
        """
        handed = []
        for known in self.hosts.values():
            moments: dict[float, dict[str, float]] = {}
            for gauge, held in known.gauges.items():
                if held.fresh:
                    moments.setdefault(held.at, {})[gauge] = held.value
                    held.fresh = False
            handed += [(known.id, at, moments[at]) for at in sorted(moments)]
        return handed


class Rate:
    """What a counter grows by a second, from one reading to the next.

    >>> rate = Rate()
    >>> rate.next(0.0, 100), rate.next(2.0, 300), rate.next(4.0, 2**32 - 1), rate.next(5.0, 9), rate.next(6.0, 5)
    (None, 100.0, 2147483497.5, 10.0, None)
    """

    def __init__(self) -> None:
        self.at, self.value = -math.inf, 0.0

    def next(self, at: float, value: float) -> float | None:
        """None for the first, for one out of order, and after a reset: a smaller value wraps only from near a bound."""
        if at <= self.at or not math.isfinite(value):
            return None
        before, when, first = self.value, self.at, math.isinf(self.at)
        self.at, self.value = at, value
        if first:
            return None
        if value >= before:
            return (value - before) / (at - when)
        for bound in (2.0**32, 2.0**64):
            if before < bound and before > 0.9 * bound and value < 0.1 * bound:
                return (value + bound - before) / (at - when)
        return None
