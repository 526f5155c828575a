"""Sums from proxies, gathered by zone and host, handed on at the agreed number of lines a second, oldest first.

Pure. What waits adds up, so that memory is bounded by hosts x proxies and proxies x classes whatever arrives, and no
exchange is counted twice; a proxy's gauge is replaced by its newer one. Nobody can check a proxy's word, so none
outweighs the others': what one alone says of a host or a class counts as far as others bear it out.
"""

import math
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

SECOND = 10_000


@dataclass(slots=True)
class Said:
    """What one proxy met at a host; or all together, weighed."""

    tries: int = 0
    failed: int = 0
    good_time: float = 0.0  # tenths of a millisecond, of all good ones together
    gauges: dict[str, float] = field(default_factory=dict)

    def add(self, other: "Said") -> None:
        self.tries += other.tries
        self.failed += other.failed
        self.good_time += other.good_time
        self.gauges.update(other.gauges)


@dataclass(slots=True)
class Met:
    """What a zone's proxies met at a host, by proxy."""

    begins: int
    ends: int
    said: dict[int, Said] = field(default_factory=dict)

    @property
    def tries(self) -> int:
        return sum(s.tries for s in self.said.values())

    def add(self, other: "Met") -> None:
        self.begins, self.ends = min(self.begins, other.begins), max(self.ends, other.ends)
        for proxy, said in other.said.items():
            self.said.setdefault(proxy, Said()).add(said)

    def weighed(self) -> Said:
        return weighed(self.said.values())


@dataclass(slots=True)
class Came:
    """Exchanges of a class that came to a proxy."""

    came: int = 0
    lost: int = 0

    def add(self, other: "Came") -> None:
        self.came += other.came
        self.lost += other.lost


def weighed(all_said: Collection[Said]) -> Said:
    """Together: the tries of no proxy count for more than all others', its failures and times for no more than those
    of the proxy that tried most beside it, its times for no longer than another's longest; of gauges the middle."""
    said = sorted((s for s in all_said if s.tries), key=lambda s: s.tries)
    if len(said) < 2:
        return said[0] if said else Said()
    total, most, second = sum(s.tries for s in said), said[-1].tries, said[-2].tries
    together = Said(min(total, 2 * (total - most)))
    parts = [min(1.0, second / s.tries) for s in said]
    heard = sum(s.tries * part for s, part in zip(said, parts, strict=True))
    together.failed = round(together.tries * sum(s.failed * p for s, p in zip(said, parts, strict=True)) / heard)
    good = [((s.tries - s.failed) * p, s.good_time / (s.tries - s.failed))
            for s, p in zip(said, parts, strict=True) if s.tries > s.failed]  # fmt: skip
    if good:
        longest = sorted(took for _, took in good)[-2:][0]
        mean = sum(n * min(took, longest) for n, took in good) / sum(n for n, _ in good)
        together.good_time = mean * (together.tries - together.failed)
    for name in sorted({name for s in said for name in s.gauges}):
        values = sorted(s.gauges[name] for s in said if name in s.gauges)
        together.gauges[name] = values[(len(values) - 1) // 2]
    return together


def level(lines: Collection[Came]) -> None:
    """Of a class: no proxy is brought more than all others, or, with three to tell by, loses the largest part alone."""
    if len(lines) < 2:
        return
    top = max(lines, key=lambda it: it.came)
    rest = sum(it.came for it in lines) - top.came
    if 0 < rest < top.came:
        top.came, top.lost = rest, round(top.lost * rest / top.came)
    if len(lines) > 2:
        part = sorted(it.lost / max(1, it.came) for it in lines)[-2]
        for it in lines:
            it.lost = min(it.lost, round(part * it.came))


class Intake:
    def __init__(self, now: int, every: int, lines_each_second: float) -> None:
        self.every, self.rate = every, lines_each_second / SECOND
        self.met: OrderedDict[tuple[int, bytes], Met] = OrderedDict()
        self.came: OrderedDict[tuple[int, int], Came] = OrderedDict()
        self.ready: OrderedDict[tuple[str, int, object], Any] = OrderedDict()
        self.next = now + every
        self.credit, self.paid = 0.0, now

    def add_met(self, now: int, covers: int, proxy: int, zone: int, host: bytes, tries: int, failed: int,
                good_time: float, gauges: dict[str, float]) -> None:  # fmt: skip
        one = Met(now - covers, now, {proxy: Said(tries, failed, good_time, gauges)})
        if (zone, host) in self.met:
            self.met[zone, host].add(one)
        else:
            self.met[zone, host] = one

    def add_came(self, proxy: int, kind: int, came: int, lost: int) -> None:
        self.came.setdefault((proxy, kind), Came()).add(Came(came, lost))

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
            for kind in {kind for _, kind in self.came}:
                level([it for (_, k), it in self.came.items() if k == kind])
            fresh: dict[tuple[str, int, object], Any] = {("met", *key): met for key, met in self.met.items()}
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


def sane(tries: int, failed: int, good_us: int) -> bool:
    """Whether a line of a proxy's sums can be true; what can't be is not guessed at."""
    return 0 <= failed <= tries <= 10_000_000 and 0 <= good_us < 1e13 and math.isfinite(good_us)
