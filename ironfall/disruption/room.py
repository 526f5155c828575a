"""What there is room for: budgets by scope, strength by class, and the channel of the directors that stand.

Counters only, moved by a unit's change: nothing here walks the fleet. All figures are whole numbers, so that sums kept
and sums made anew after a restore are the same.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ironfall.disruption.settings import MILLION, SECOND, DisruptionRules

CLASSES = 8  # every set of them is looked at
HOUR = 3_600 * SECOND


def channel_time(
    rules: DisruptionRules,
    standing: int,
    staying: int,
    moving: int,
    binding: int,
    waiting: int,
    drains: int,
) -> int:
    """Tenths of a millisecond until the proxies of those out are bound, and what drains is withdrawn, by those that
    stand: `staying` proxies of theirs and `moving` ones that join them, evenly; `binding` lines of a proxy's tables,
    `waiting` the most lines that wait at one of them. A message costs its lines, `head` and its mark."""
    if not standing:
        return 1 << 60
    joins = -(-moving // standing)
    own = -(-(staying + moving) // standing)
    lines = waiting + joins * (rules.head + binding + 1) + drains * own * (rules.head + 2)
    return rules.slowest + -(-lines * SECOND // rules.pace)


@dataclass(slots=True)
class Count:
    total: int = 0
    out: int = 0
    undoing: int = 0  # of those out: on their way back, nothing was stopped
    unplanned: int = 0  # of those out: without a permit


class Scopes:
    """Totals and outs by scope; a scope is its kind and name, as `zone west`.

    `over` are those with more out than may be once all is back that is coming back by itself, `failed` those with any
    out without a permit: a fleet has thousands of scopes, and most entries change none of them.
    """

    def __init__(self) -> None:
        self.counts: dict[str, Count] = {}
        self.budgets: dict[str, tuple[int, int]] = {}
        self.over: set[str] = set()
        self.failed: set[str] = set()

    def rule(self, rules: DisruptionRules) -> None:
        self.budgets = {scope: (number, share) for scope, number, share in rules.budgets}

    def add(
        self, scopes: Iterable[str], way: int, out: bool, undoing: bool, unplanned: bool
    ) -> None:
        for scope in scopes:
            count = self.counts.setdefault(scope, Count())
            count.total += way
            count.out += way * out
            count.undoing += way * undoing
            count.unplanned += way * unplanned
            if not count.total:
                del self.counts[scope]
            stays = count.out - count.undoing
            (self.over.add if stays and stays > self.limit(scope) else self.over.discard)(scope)
            (self.failed.add if count.unplanned else self.failed.discard)(scope)

    def limit(self, scope: str) -> int:
        """The most that may be out, rounded down: a share of few is none."""
        if (budget := self.budgets.get(scope.partition(" ")[0])) is None:
            return 1 << 60
        return min(budget[0], self.counts.get(scope, _NONE).total * budget[1] // MILLION)

    def short(self, scope: str, more: int, alone: bool = False, projected: bool = False) -> bool:
        """Whether `more` out would be too many; `alone`: were nothing planned out; `projected`: once all is back
        that is coming back by itself."""
        count = self.counts.get(scope, _NONE)
        out = count.unplanned if alone else count.out - (count.undoing if projected else 0)
        return out + more > self.limit(scope)


_NONE = Count()


class Strength:
    """What hosts carry by the set of classes that they take (a mask), against the load expected."""

    def __init__(self) -> None:
        self.whole: dict[int, int] = {}  # all hosts, all warm
        self.warm: dict[int, int] = {}  # what is left
        self.undoing: dict[int, int] = {}  # of the hosts on their way back, nothing stopped
        self.planned: dict[int, int] = {}  # of the hosts out by permit
        self.loads: dict[int, list[int]] = {}  # by class, of each hour of the day
        self.needs: dict[tuple[int, int], list[tuple[int, int]]] = {}

    def load(self, kind: int, hours: list[int]) -> None:
        self.loads[kind] = hours
        self.needs = {}

    def add(self, mask: int, whole: int, warm: int, undoing: int, planned: int) -> None:
        for table, more in (
            (self.whole, whole),
            (self.warm, warm),
            (self.undoing, undoing),
            (self.planned, planned),
        ):
            if more:
                table[mask] = table.get(mask, 0) + more
                if not table[mask]:
                    del table[mask]

    def need(self, rules: DisruptionRules, hour: int, hours: int) -> list[tuple[int, int]]:
        """Of each set of classes, the load with its margin, at its highest from this hour on for so many."""
        key = hour, min(24, hours)
        if key not in self.needs:
            most = {
                k: max(h[(hour + n) % 24] for n in range(key[1])) for k, h in self.loads.items()
            }
            kinds = sorted(k for k in most if most[k])
            self.needs[key] = [
                (
                    chosen,
                    -(
                        -sum(most[k] for k in kinds if chosen >> k & 1)
                        * (MILLION + rules.margin)
                        // MILLION
                    ),
                )
                for chosen in range(1, 1 << CLASSES)
                if all(k in kinds for k in range(CLASSES) if chosen >> k & 1)
            ]
        return self.needs[key]

    def lacks(
        self, need: list[tuple[int, int]], have: Iterable[dict[int, int]], less: dict[int, int]
    ) -> bool:
        """Whether any set of classes has less than its need (Hall's condition: else the load can be laid out)."""
        held: dict[int, int] = {mask: -value for mask, value in less.items()}
        for table in have:
            for mask, value in table.items():
                held[mask] = held.get(mask, 0) + value
        return any(
            sum(v for mask, v in held.items() if mask & chosen) < load for chosen, load in need
        )
