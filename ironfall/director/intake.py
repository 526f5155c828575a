"""Sums from proxies, gathered by zone and host, handed on at the agreed number of lines a second, oldest first.

Pure. What waits adds up, so that memory is bounded by hosts x proxies and proxies x classes whatever arrives, and no
exchange is counted twice; a proxy's gauge is replaced by its newer one. `weighing` says how far each word goes.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from ironfall.director.weighing import Came, Said, Weighing, together

SECOND = 10_000
LATER_MOST = 4  # periods of a line that waits, before they are added up


@dataclass(slots=True)
class Met:
    """What a zone's proxies met at a host, by proxy."""

    begins: int
    ends: int
    said: dict[int, Said] = field(default_factory=dict)
    later: list[dict[int, Said]] = field(
        default_factory=list
    )  # of periods that came while it waited

    @property
    def tries(self) -> int:
        return sum(s.tries for said in (self.said, *self.later) for s in said.values())

    def add(self, other: "Met") -> None:
        # Added up as it is handed on: for a large fleet's lines all at once it would hold up a turn.
        self.begins, self.ends = min(self.begins, other.begins), max(self.ends, other.ends)
        self.later.append(other.said)
        if len(self.later) >= LATER_MOST:
            self.whole()

    def whole(self) -> dict[int, Said]:
        for more in self.later:
            for proxy, said in more.items():
                if proxy in self.said:
                    self.said[proxy].add(said)
                else:
                    self.said[proxy] = said
        self.later = []
        return self.said


class Intake:
    def __init__(self, now: int, every: int, entries_per_second: float) -> None:
        self.every, self.rate = every, entries_per_second / SECOND
        self.met: OrderedDict[tuple[int, bytes], Met] = OrderedDict()
        self.came: OrderedDict[tuple[int, int], Came] = OrderedDict()
        self.ready: OrderedDict[tuple[str, int, object], Any] = OrderedDict()
        self.weighing = Weighing()
        self.next = now + every
        self.credit, self.paid = 0.0, now

    def joined(self, proxy: int, rate: float) -> None:
        self.weighing.joined(proxy, rate * self.every / SECOND)

    def add_met(
        self,
        now: int,
        covers: int,
        proxy: int,
        zone: int,
        host: bytes,
        tries: int,
        failed: int,
        good_time: float,
        gauges: dict[str, float],
    ) -> None:
        said = Said(tries, failed, good_time, gauges)
        self.weighing.said(proxy, said)
        it = self.met.get((zone, host))
        if it is None:
            self.met[zone, host] = Met(now - covers, now, {proxy: said})
            return
        it.begins, it.ends = min(it.begins, now - covers), now
        if proxy in it.said:
            it.said[proxy].add(said)
        else:
            it.said[proxy] = said

    def add_came(self, proxy: int, kind: int, came: int, lost: int) -> None:
        self.came.setdefault((proxy, kind), Came()).add(Came(came, lost))

    def forget(self, proxy: int) -> None:
        """A proxy has left: its number may be another's next."""
        self.weighing.left(proxy)
        for waiting in [k for k in self.came if k[0] == proxy]:
            del self.came[waiting]
        for key in [k for k in self.ready if k[0] == "came" and k[1] == proxy]:
            del self.ready[key]

    def hand(self, now: int) -> list[tuple[str, int, object, Met | Came]]:
        """The lines whose time has come: ("met", zone, host, Met) and ("came", proxy, class, Came)."""
        if now >= self.next:
            # The rest of the last period stays in front: the oldest first.
            self.weighing.period([met.said for met in self.met.values()], self.came)
            fresh: dict[tuple[str, int, object], Any] = {
                ("met", *key): met for key, met in self.met.items()
            }
            fresh |= {("came", *key): came for key, came in self.came.items()}
            for key, it in fresh.items():
                if key in self.ready:
                    self.ready[key].add(it)
                else:
                    self.ready[key] = it
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

    def calls(self, now: int) -> list[list[Any]]:
        """What `hand` hands on, as calls on the decisions."""
        made: list[list[Any]] = []
        for _what, number, about, it in self.hand(now):
            if isinstance(it, Met):
                said = together(it.whole().values())
                good = said.tries - said.failed
                cost = round(said.good_time / good) if good else 0
                made.append(
                    [
                        "heard",
                        number,
                        about,
                        said.tries,
                        said.failed,
                        cost,
                        it.ends - it.begins,
                        said.gauges,
                    ]
                )
            else:
                made.append(["arrived", number, about, it.came, it.lost])
        return made


def sane(tries: int, failed: int, good_us: int) -> bool:
    """Whether a line of a proxy's sums can be true; what can't be is not guessed at."""
    return 0 <= failed <= tries <= 10_000_000 and 0 <= good_us < 1e13 and math.isfinite(good_us)
