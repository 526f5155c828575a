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
class LatestReading:
    """The latest reading of a gauge."""

    at: float
    value: float
    is_new: bool  # not yet handed to the decision engine


@dataclass(slots=True)
class HostState:
    """A listed host.

    Attributes:
        id: The host's id.
        started: When its current process started; 0 if that was long ago.
        gauges: The latest reading of each gauge.
        rates: The state of each gauge that is derived from a counter.
    """

    id: bytes
    started: float
    gauges: dict[str, LatestReading] = field(default_factory=dict)
    rates: dict[str, "CounterRate"] = field(default_factory=dict)


class Readings:
    """The latest readings of the listed hosts.

    Memory is bounded by listed hosts times mapped gauges: nothing is kept for unlisted hosts.

    Args:
        late: Readings that are older than this, in seconds, are rejected.
        ahead: Readings that are further in the future than this, in seconds, are rejected.
    """

    def __init__(self, late: float, ahead: float) -> None:
        self.late, self.ahead = late, ahead
        self.hosts: dict[str, HostState] = {}
        self.counts: Counter[str] = Counter()

    def listed(self, hosts: dict[str, tuple[bytes, float]]) -> None:
        """Replaces the list of hosts: the id and the start of the process, by name.

        Readings of hosts that are gone, have a new id or were restarted are discarded.
        """
        kept = {}
        for name, (host_id, started) in hosts.items():
            previous = self.hosts.get(name)
            is_same = (
                previous is not None and previous.id == host_id and previous.started == started
            )
            kept[name] = (
                previous if is_same and previous is not None else HostState(host_id, started)
            )
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
        host, at = self.hosts.get(name), at or now
        verdict = self._time_verdict(now, host, at)
        if host is not None and not verdict:
            rate = host.rates.setdefault(gauge, CounterRate()).next(at, value)
            if rate is not None:
                return self.take(now, name, gauge, rate * scale, at)
            verdict = "no rate yet"
        self.counts[verdict] += 1
        return verdict

    def _time_verdict(self, now: float, host: HostState | None, at: float) -> str:
        """Returns the verdict that rejects a reading of that time, or an empty string."""
        if host is None:
            return "unknown host"
        if at > now + self.ahead:
            return "future"
        if at < now - self.late:
            return "late"
        return "before its start" if at < host.started else ""

    def _verdict(self, now: float, name: str, gauge: str, value: float, at: float) -> str:
        host = self.hosts.get(name)
        if host is None or not math.isfinite(value) or value < 0:
            return "no number" if host else "unknown host"
        if rejection := self._time_verdict(now, host, at):
            return rejection
        latest = host.gauges.get(gauge)
        if latest is None or at > latest.at:
            host.gauges[gauge] = LatestReading(at, value, True)
            return "taken"
        if at < latest.at:
            return "older"
        if value == latest.value:
            return "repeated"
        if value > latest.value:
            host.gauges[gauge] = LatestReading(at, value, True)
        return "disagreed"

    def take_new(self) -> list[tuple[bytes, float, dict[str, float]]]:
        """Returns the readings that have not been returned before, oldest first for each host.

        Gauges with different times are returned separately. The decision engine keeps the newest
        reading, and grouping two gauges under the older time would give it another state than if
        they had arrived one by one.

        Returns:
            The host's id, the time of measurement and the gauges of that time.
        """
        new_readings = []
        for host in self.hosts.values():
            gauges_by_time: dict[float, dict[str, float]] = {}
            for gauge, latest in host.gauges.items():
                if latest.is_new:
                    gauges_by_time.setdefault(latest.at, {})[gauge] = latest.value
                    latest.is_new = False
            new_readings += [(host.id, at, gauges_by_time[at]) for at in sorted(gauges_by_time)]
        return new_readings


class CounterRate:
    """Computes how much a counter grows per second between two readings.

    >>> rate = CounterRate()
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
        previous, previous_at, is_first = self.value, self.at, math.isinf(self.at)
        self.at, self.value = at, value
        if is_first:
            return None
        if value >= previous:
            return (value - previous) / (at - previous_at)
        for bound in (2.0**32, 2.0**64):
            if previous < bound and previous > 0.9 * bound and value < 0.1 * bound:
                return (value + bound - previous) / (at - previous_at)
        return None
