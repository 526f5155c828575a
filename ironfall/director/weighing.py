"""How far one proxy's word goes, where nobody can check it: as far as others bear it out. Pure.

No value here is tuned. A proxy names its usual rate when it joins; beyond that it counts for no more than all others
together. Where the others met as much as it did, no figure of its own (the share that fails, the time, a gauge) counts
for more than the largest of another's at any host, and of a host that several met it weighs no more than the next. Who
carries most of the traffic, as it said when it joined, is the main witness and is believed; so is one that is alone.
Two that lie together can't be told from two that do not.
"""

from collections.abc import Collection
from dataclasses import dataclass, field


@dataclass(slots=True)
class Said:
    """What one proxy met at a host; or all together, weighed."""

    tries: int = 0
    failed: int = 0
    good_time: float = 0.0  # tenths of a millisecond, of all good ones together
    gauges: dict[str, float] = field(default_factory=dict)
    main: bool = False  # by the main witness of a period

    def add(self, other: "Said") -> None:
        self.tries += other.tries
        self.failed += other.failed
        self.good_time += other.good_time
        self.main = self.main or other.main
        self.gauges.update(other.gauges)

    @property
    def took(self) -> float:
        return self.good_time / (self.tries - self.failed) if self.tries > self.failed else 0.0

    def set(self, tries: int, share: float, took: float) -> None:
        self.tries, self.failed = tries, round(share * tries)
        self.good_time = took * (self.tries - self.failed)

    def cut(self, most: dict[str, float]) -> None:
        share = min(self.failed / self.tries, most.get("share", 1.0))
        self.set(self.tries, share, min(self.took, most.get("took", self.took)))
        self.gauges = {
            name: min(value, most.get(name, value)) for name, value in self.gauges.items()
        }


@dataclass(slots=True)
class Came:
    """Exchanges of a class that came to a proxy."""

    came: int = 0
    lost: int = 0

    def add(self, other: "Came") -> None:
        self.came += other.came
        self.lost += other.lost


def together(all_said: Collection[Said]) -> Said:
    """What all that spoke of a host met there: nobody's shares and times weigh more than of whom met it next most, but
    the main witness's; of gauges the middle one."""
    said = [s for s in all_said if s.tries > 0]
    if len(said) < 2:
        return said[0] if said else Said()
    second = sorted([s.tries for s in said])[-2]
    whole, weight, failed, good, time = 0, 0, 0.0, 0.0, 0.0
    gauges: dict[str, list[float]] = {}
    for one in said:  # hundreds of them for each line of a large fleet: once through
        tries = one.tries
        part = 1.0 if tries <= second or one.main else second / tries
        whole += tries
        weight += tries if part == 1.0 else second
        failed += part * one.failed
        good += part * (tries - one.failed)
        time += part * one.good_time
        for name, value in one.gauges.items():
            gauges.setdefault(name, []).append(value)
    found = Said(whole, round(whole * failed / weight))
    found.good_time = time / good * (whole - found.failed) if good else 0.0
    found.gauges = {
        name: sorted(gauges[name])[(len(gauges[name]) - 1) // 2] for name in sorted(gauges)
    }
    return found


class Weighing:
    """Kept up as sums come in: a period's end looks at proxies, and at the lines of those few alone that are cut."""

    def __init__(self) -> None:
        self.usual: dict[
            int, float
        ] = {}  # what each joined proxy is usually brought in a period, by its own word
        self.tries: dict[int, int] = {}  # in this period, by proxy
        self.figures: dict[
            int, dict[str, float]
        ] = {}  # the largest of each in this period, by proxy

    def joined(self, proxy: int, much: float) -> None:
        self.usual[proxy] = much

    def left(self, proxy: int) -> None:
        self.usual.pop(proxy, None)

    def said(self, proxy: int, said: Said) -> None:
        if said.tries <= 0:
            return
        self.tries[proxy] = self.tries.get(proxy, 0) + said.tries
        mine = self.figures.get(proxy)
        if mine is None:
            mine = self.figures[proxy] = {"share": 0.0, "took": 0.0}
        mine["share"] = max(mine["share"], said.failed / said.tries)
        mine["took"] = max(mine["took"], said.took)
        for name, value in said.gauges.items():
            if value > mine.get(name, -1.0):
                mine[name] = value

    def period(self, met: Collection[dict[int, Said]], came: dict[tuple[int, int], Came]) -> None:
        """Cuts what was said in a period, by host and proxy and by proxy and class, to what the others bear out."""
        much = self._much(self.tries)
        bounds = self._bounds()
        for proxy, (part, main) in much.items():
            most = {} if main else bounds.get(proxy, {})
            if part == 1 and not main and not most:
                continue  # as nearly all: nothing of theirs is beyond the others'
            for said in [host[proxy] for host in met if proxy in host]:
                if said.tries <= 0:
                    continue
                said.main = main
                if part < 1:
                    said.set(max(1, round(said.tries * part)), said.failed / said.tries, said.took)
                if most:
                    said.cut(most)
        self.tries, self.figures = {}, {}
        self._classes(came)

    def _much(self, spoken: dict[int, int]) -> dict[int, tuple[float, bool]]:
        """By proxy: what part of its amounts counts, and whether it is the main witness."""
        # Who has said nothing in this period is taken for as busy as usual: else the first to speak is alone.
        whole, found = sum((self.usual | spoken).values()), {}
        for proxy, mine in spoken.items():
            others = whole - mine
            counts = min(mine, max(self.usual.get(proxy, 0.0), others)) if others else mine
            found[proxy] = (counts / mine if mine else 1.0, counts > others)
        return found

    def _bounds(self) -> dict[int, dict[str, float]]:
        """Of each figure in which a proxy is beyond all others, the largest of another. One says nothing of shares:
        it takes two."""
        found: dict[int, dict[str, float]] = {}
        for name in sorted({name for mine in self.figures.values() for name in mine}):
            values = sorted(
                (mine[name], proxy) for proxy, mine in self.figures.items() if name in mine
            )
            if len(values) > (2 if name == "share" else 1) and values[-1][0] > values[-2][0]:
                found.setdefault(values[-1][1], {})[name] = values[-2][0]
        return found

    def _classes(self, came: dict[tuple[int, int], Came]) -> None:
        spoken: dict[int, int] = {}
        for (proxy, _), one in came.items():
            spoken[proxy] = spoken.get(proxy, 0) + one.came
        much = self._much(spoken)
        for (proxy, _), one in came.items():
            if much[proxy][0] < 1:
                lost = one.lost / max(1, one.came)
                one.came = round(one.came * much[proxy][0])
                one.lost = round(one.came * lost)
        for kind in sorted({kind for _, kind in came}):
            # With three to tell by, none loses the largest part alone.
            those = [(p, one) for (p, k), one in came.items() if k == kind and one.came]
            part = sorted(one.lost / one.came for _, one in those)[-2] if len(those) > 2 else 1.0
            for proxy, one in those:
                if not much[proxy][1]:
                    one.lost = min(one.lost, round(part * one.came))
