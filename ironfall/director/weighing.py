"""How far one proxy's word goes, where nobody can check it: as far as others bear it out. Pure.

No value here is tuned. A proxy names its usual rate when it joins; beyond that it counts for no more than all others
together. Where the others met as much as it did, no figure of its own (the share that fails, the time, a gauge) counts
for more than the largest of another's at any host, and of a host that several met it weighs no more than the next. Who
carries most of the traffic, as it said when it joined, is the main witness and is believed; so is one that is alone.
Two that lie together can't be told from two that do not.
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
    weight: int = 0  # tries, as far as their share and time are borne out

    def add(self, other: "Said") -> None:
        self.tries += other.tries
        self.failed += other.failed
        self.good_time += other.good_time
        self.weight += other.weight
        self.gauges.update(other.gauges)

    @property
    def took(self) -> float:
        return self.good_time / (self.tries - self.failed) if self.tries > self.failed else 0.0

    def figures(self) -> dict[str, float]:
        return {"share": self.failed / self.tries, "took": self.took, **self.gauges}

    def set(self, tries: int, share: float, took: float) -> None:
        self.tries, self.failed = tries, round(share * tries)
        self.good_time = took * (self.tries - self.failed)


@dataclass(slots=True)
class Came:
    """Exchanges of a class that came to a proxy."""

    came: int = 0
    lost: int = 0

    def add(self, other: "Came") -> None:
        self.came += other.came
        self.lost += other.lost


def together(all_said: Collection[Said]) -> Said:
    """What all that spoke of a host met there: shares and times by their weight, of gauges the middle one."""
    said = [s for s in all_said if s.tries and s.weight]
    if len(said) < 2:
        return said[0] if said else Said()
    whole, weight = sum(s.tries for s in said), sum(s.weight for s in said)
    found = Said(whole, round(whole * sum(s.weight * s.failed / s.tries for s in said) / weight))
    good = [(s.weight * (s.tries - s.failed) / s.tries, s.took) for s in said]
    if sum(w for w, _ in good):
        found.good_time = sum(w * t for w, t in good) / sum(w for w, _ in good) * (whole - found.failed)
    for name in sorted({name for s in said for name in s.gauges}):
        values = sorted(s.gauges[name] for s in said if name in s.gauges)
        found.gauges[name] = values[(len(values) - 1) // 2]
    return found


class Weighing:
    def __init__(self) -> None:
        self.usual: dict[int, float] = {}  # what each joined proxy is usually brought in a period, by its own word

    def joined(self, proxy: int, much: float) -> None:
        self.usual[proxy] = much

    def left(self, proxy: int) -> None:
        self.usual.pop(proxy, None)

    def period(self, met: Collection[dict[int, Said]], came: dict[tuple[int, int], Came]) -> None:
        """Cuts what was said in a period, by host and proxy and by proxy and class, to what the others bear out."""
        lines = [(proxy, said) for host in met for proxy, said in host.items() if said.tries > 0]
        main = self._much((proxy, said.tries) for proxy, said in lines)
        for proxy, said in lines:
            part = main[proxy][0]
            if part < 1:
                said.set(max(1, round(said.tries * part)), said.failed / said.tries, said.took)
            said.weight = said.tries
        figures: dict[int, dict[str, float]] = {}
        for proxy, said in lines:
            mine = figures.setdefault(proxy, {})
            for name, value in said.figures().items():
                mine[name] = max(value, mine.get(name, value))
        for proxy, said in lines:
            if not main[proxy][1]:
                self._cut(said, self._largest(proxy, figures))
        for host in met:
            tries = sorted(said.tries for said in host.values())
            for proxy, said in host.items() if len(tries) > 1 else ():
                if proxy in main and not main[proxy][1]:
                    said.weight = min(said.weight, tries[-2])
        self._classes(came)

    def _much(self, spoken: Iterable[tuple[int, int]]) -> dict[int, tuple[float, bool]]:
        """By proxy: what part of its amounts counts, and whether it is the main witness."""
        much: dict[int, float] = {}
        for proxy, amount in spoken:
            much[proxy] = much.get(proxy, 0) + amount
        # Who has said nothing in this period is taken for as busy as usual: else the first to speak is alone.
        whole, found = sum((self.usual | much).values()), {}
        for proxy, mine in much.items():
            others = whole - mine
            counts = min(mine, max(self.usual.get(proxy, 0.0), others)) if others else mine
            found[proxy] = (counts / mine if mine else 1.0, counts > others)
        return found

    @staticmethod
    def _largest(proxy: int, figures: dict[int, dict[str, float]]) -> dict[str, float]:
        """Of each figure the largest of another proxy. One says nothing of shares: it takes two."""
        others = [mine for other, mine in figures.items() if other != proxy]
        found = {}
        for name in sorted({name for mine in others for name in mine}):
            values = [mine[name] for mine in others if name in mine]
            if name != "share" or len(values) > 1:
                found[name] = max(values)
        return found

    @staticmethod
    def _cut(said: Said, most: dict[str, float]) -> None:
        share = min(said.failed / said.tries, most.get("share", 1.0))
        said.set(said.tries, share, min(said.took, most.get("took", said.took)))
        said.gauges = {name: min(value, most.get(name, value)) for name, value in said.gauges.items()}

    def _classes(self, came: dict[tuple[int, int], Came]) -> None:
        main = self._much((proxy, one.came) for (proxy, _), one in came.items())
        for (proxy, _), one in came.items():
            if main[proxy][0] < 1:
                lost = one.lost / max(1, one.came)
                one.came = round(one.came * main[proxy][0])
                one.lost = round(one.came * lost)
        for kind in sorted({kind for _, kind in came}):
            # With three to tell by, none loses the largest part alone.
            those = [(p, one) for (p, k), one in came.items() if k == kind and one.came]
            part = sorted(one.lost / one.came for _, one in those)[-2] if len(those) > 2 else 1.0
            for proxy, one in those:
                if not main[proxy][1]:
                    one.lost = min(one.lost, round(part * one.came))
