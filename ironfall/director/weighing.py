"""How far one proxy's word goes, where nobody can check it: as far as others bear it out. Pure.

No value here is tuned, and none can be asked of the terms, which do not say how much a proxy may honestly meet. The
bound is the others: nobody's largest figure of a period counts for more than the largest of another, at whatever host.
Where a host is spoken of by several, shares and times are those of all alike, and gauges the middle one. Two that lie
together can't be told from two that do not; nor, of two proxies, which one lies. A proxy that is alone is believed.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field


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

    @property
    def took(self) -> float:
        return self.good_time / (self.tries - self.failed) if self.tries > self.failed else 0.0

    def figures(self) -> dict[str, float]:
        return {"tries": self.tries, "share": self.failed / (self.tries or 1), "took": self.took, **self.gauges}

    def cut(self, bounds: dict[str, float]) -> None:
        """To no more than the bounds, of each figure that has one."""
        share = min(self.failed / (self.tries or 1), bounds.get("share", 1.0))
        took = min(self.took, bounds.get("took", self.took))
        self.tries = int(min(self.tries, bounds.get("tries", self.tries)))
        self.failed = round(share * self.tries)
        self.good_time = took * (self.tries - self.failed)
        self.gauges = {name: min(value, bounds.get(name, value)) for name, value in self.gauges.items()}


@dataclass(slots=True)
class Came:
    """Exchanges of a class that came to a proxy."""

    came: int = 0
    lost: int = 0

    def add(self, other: "Came") -> None:
        self.came += other.came
        self.lost += other.lost


def together(all_said: Collection[Said]) -> Said:
    """Of a host, by all that spoke of it: nobody's failures and times weigh more than of whom met it next most."""
    said = sorted((s for s in all_said if s.tries), key=lambda s: s.tries)
    if len(said) < 2:
        return said[0] if said else Said()
    whole, weights = sum(s.tries for s in said), [min(s.tries, said[-2].tries) for s in said]
    share = sum(w * s.failed / s.tries for w, s in zip(weights, said, strict=True)) / sum(weights)
    found = Said(whole, round(whole * share))
    good = [(w * (s.tries - s.failed) / s.tries, s.took) for w, s in zip(weights, said, strict=True)]
    if any(w for w, _ in good):
        found.good_time = sum(w * t for w, t in good) / sum(w for w, _ in good) * (whole - found.failed)
    for name in sorted({name for s in said for name in s.gauges}):
        values = sorted(s.gauges[name] for s in said if name in s.gauges)
        found.gauges[name] = values[(len(values) - 1) // 2]
    return found


class Weighing:
    """`usual`: each joined proxy's largest figures of when it spoke last; before that, what it said when it joined."""

    def __init__(self) -> None:
        self.usual: dict[int, dict[str, float]] = {}

    def joined(self, proxy: int, much: float) -> None:
        """`much`: exchanges that usually come to it in a period."""
        self.usual[proxy] = {"tries": much, "came": much}

    def left(self, proxy: int) -> None:
        self.usual.pop(proxy, None)

    def period(self, met: Iterable[tuple[int, Said]], came: dict[tuple[int, int], Came]) -> None:
        """Cuts what each proxy said of hosts, and of classes, to what the others bear out."""
        lines = list(met)
        fresh: dict[int, dict[str, float]] = {}
        for proxy, said in lines:
            mine = fresh.setdefault(proxy, {})
            for name, value in said.figures().items():
                mine[name] = max(value, mine.get(name, value))
        for (proxy, _), one in came.items():
            mine = fresh.setdefault(proxy, {})
            mine["came"] = mine.get("came", 0) + one.came
        largest = {proxy: figures | fresh.get(proxy, {}) for proxy, figures in (self.usual | fresh).items()}
        bounds = {proxy: self._bounds(proxy, largest) for proxy in fresh}
        for proxy, said in lines:
            said.cut(bounds[proxy])
        everywhere = sum(figures.get("came", 0) for figures in largest.values())
        for (proxy, _), one in came.items():
            # Of one class no more than all others were brought of all.
            bound = int(everywhere - largest[proxy]["came"])
            if one.came > bound and len(largest) > 1:
                one.came, one.lost = bound, round(one.lost * bound / one.came)
        for kind in sorted({kind for _, kind in came}):
            # With three to tell by, none loses the largest part alone.
            those = [one for (_, k), one in came.items() if k == kind and one.came]
            part = sorted(one.lost / one.came for one in those)[-2] if len(those) > 2 else 1.0
            for one in those:
                one.lost = min(one.lost, round(part * one.came))
        for proxy in self.usual.keys() & fresh.keys():
            mine = largest[proxy]
            rest = {"came": everywhere - mine["came"]} if "came" in mine and len(largest) > 1 else {}
            most = bounds[proxy] | rest
            self.usual[proxy] = {name: min(value, most.get(name, value)) for name, value in mine.items()}

    @staticmethod
    def _bounds(proxy: int, largest: dict[int, dict[str, float]]) -> dict[str, float]:
        """Of each figure of a host, the largest of another proxy. One says nothing of shares: it takes two."""
        others = [figures for other, figures in largest.items() if other != proxy]
        found = {}
        for name in sorted({name for figures in others for name in figures} - {"came"}):
            values = [figures[name] for figures in others if name in figures]
            if name != "share" or len(values) > 1:
                found[name] = max(values)
        return found
