"""Sums from proxies, gathered by zone and host, handed on at the agreed number of lines a second, oldest first.

Pure. What waits adds up, so that memory is bounded by hosts x zones and proxies x classes whatever arrives, and no
exchange is counted twice or lost; a gauge is replaced by a newer one.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

SECOND = 10_000


@dataclass(slots=True)
class Met:
    """What a zone's proxies met at a host."""

    begins: int
    ends: int
    tries: int = 0
    failed: int = 0
    good_time: float = 0.0  # tenths of a millisecond, of all good ones together
    gauges: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Came:
    """Exchanges of a class that came to a proxy."""

    came: int = 0
    lost: int = 0


class Intake:
    def __init__(self, now: int, every: int, lines_each_second: float) -> None:
        self.every, self.rate = every, lines_each_second / SECOND
        self.met: OrderedDict[tuple[int, bytes], Met] = OrderedDict()
        self.came: OrderedDict[tuple[int, int], Came] = OrderedDict()
        self.ready: OrderedDict[tuple[str, int, object], Met | Came] = OrderedDict()
        self.next = now + every
        self.credit, self.paid = 0.0, now

    def add_met(self, now: int, covers: int, zone: int, host: bytes, tries: int, failed: int,
                good_time: float, gauges: dict[str, float]) -> None:  # fmt: skip
        key = ("met", zone, host)
        it = self.ready.get(key) or self.met.get((zone, host))
        if not isinstance(it, Met):
            it = self.met[zone, host] = Met(now - covers, now)
        it.begins, it.ends = min(it.begins, now - covers), now
        it.tries += tries
        it.failed += failed
        it.good_time += good_time
        it.gauges.update(gauges)

    def add_came(self, proxy: int, kind: int, came: int, lost: int) -> None:
        it = self.ready.get(("came", proxy, kind)) or self.came.get((proxy, kind))
        if not isinstance(it, Came):
            it = self.came[proxy, kind] = Came()
        it.came += came
        it.lost += lost

    def forget(self, proxy: int) -> None:
        """A proxy has left: its number may be another's next."""
        for waiting in [k for k in self.came if k[0] == proxy]:
            del self.came[waiting]
        for key in [k for k in self.ready if k[0] == "came" and k[1] == proxy]:
            del self.ready[key]

    def hand(self, now: int) -> list[tuple[str, int, object, Met | Came]]:
        """The lines whose time has come: ("met", zone, host, Met) and ("came", proxy, class, Came)."""
        if now >= self.next:
            # The rest of the last period stays in front: the oldest first.
            for (zone, host), met in self.met.items():
                self.ready[("met", zone, host)] = met
            for (proxy, kind), came in self.came.items():
                self.ready[("came", proxy, kind)] = came
            self.met.clear()
            self.came.clear()
            self.next = now + self.every
        self.credit = min(self.rate * self.every, self.credit + (now - self.paid) * self.rate)
        self.paid = now
        handed = []
        while self.ready and self.credit >= 1:
            (what, number, about), it = self.ready.popitem(last=False)
            handed.append((what, number, about, it))
            self.credit -= 1
        return handed


def sane(tries: int, failed: int, good_us: int) -> bool:
    """Whether a line of a proxy's sums can be true; what can't be is not guessed at."""
    return 0 <= failed <= tries <= 10_000_000 and 0 <= good_us < 1e13 and math.isfinite(good_us)
