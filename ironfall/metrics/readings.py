"""Selects which reading of a host's gauge is used, regardless of the order of arrival. No I/O.

The reading with the latest time of measurement is used. If two readings of the same time disagree,
the higher load is used: underusing a host costs less than overloading one. Readings that are too
old, from the future, or from before the start of the host's current process are rejected, and
each reason is counted. Times are seconds since 1970.
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
    """The latest reading of a gauge."""

    at: float
    value: float
    fresh: bool  # not yet handed to the decision engine


@dataclass(slots=True)
class Known:
    """A listed host.

    Attributes:
        id: The host's id.
        started: When its current process started; 0 if that was long ago.
        gauges: The latest reading of each gauge.
        rates: The state of each gauge that is derived from a counter.
    """

    id: bytes
    started: float
    gauges: dict[str, Held] = field(default_factory=dict)
    rates: dict[str, "Rate"] = field(default_factory=dict)


class Readings:
    """The latest readings of the listed hosts.

    Memory is bounded by listed hosts times mapped gauges: nothing is kept for unlisted hosts.

    Args:
        late: Readings that are older than this, in seconds, are rejected.
        ahead: Readings that are further in the future than this, in seconds, are rejected.
    """

    def __init__(self, late: float, ahead: float) -> None:
        self.late, self.ahead = late, ahead
        self.hosts: dict[str, Known] = {}
        self.counts: Counter[str] = Counter()

    def listed(self, hosts: dict[str, tuple[bytes, float]]) -> None:
        """Replaces the list of hosts: the id and the start of the process, by name.

        Readings of hosts that are gone, have a new id or were restarted are discarded.
        """
        kept = {}
        for name, (number, started) in hosts.items():
            old = self.hosts.get(name)
            same = old is not None and old.id == number and old.started == started
            kept[name] = old if same and old is not None else Known(number, started)
        self.hosts = kept

    def take(self, now: float, name: str, gauge: str, value: float, at: float) -> str:
        """Adds a reading of a gauge; returns its verdict, one of VERDICTS."""
        verdict = self._verdict(now, name, gauge, value, at or now)
        self.counts[verdict] += 1
        return verdict

    def count(
        self, now: float, name: str, gauge: str, value: float, at: float, scale: float = 1.0
    ) -> str:
        """Adds a reading of a counter; the gauge is its growth per second, times `scale`.

        The growth is that since the previous reading. The first reading, the first after a reset
        and one that is out of order give no rate. A reading whose time would be rejected for a
        gauge does not update the counter either.

        Returns:
            The verdict, one of VERDICTS.
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
        """Returns the verdict that rejects a reading of that time, or an empty string."""
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
        """Returns the readings that have not been returned before, oldest first for each host.

        Gauges with different times are returned separately. The decision engine keeps the newest
        reading, and grouping two gauges under the older time would give it another state than if
        they had arrived one by one.

        Returns:
            The host's id, the time of measurement and the gauges of that time.
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
    """Computes how much a counter grows per second between two readings.

    >>> rate = Rate()
    >>> rate.next(0.0, 100), rate.next(2.0, 300), rate.next(4.0, 2**32 - 1)
    (None, 100.0, 2147483497.5)
    >>> rate.next(5.0, 9), rate.next(6.0, 5)
    (10.0, None)
    """

    def __init__(self) -> None:
        self.at, self.value = -math.inf, 0.0

    def next(self, at: float, value: float) -> float | None:
        """Returns the rate since the previous reading, or None if there is none.

        There is none for the first reading, a reading out of order, and after a reset. A smaller
        value counts as a 32-bit or 64-bit wrap only if the previous value was near that bound.
        """
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
