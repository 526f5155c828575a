"""What observers report to this keeper while it leads, and the digests that it puts into the log of it."""

from typing import Any

from ironfall.agreement import Outcome
from ironfall.keeper.keeper import LEADER, Keeper
from ironfall.observers import Collector

PATIENCE = 2.0  # seconds for an entry; what is in doubt is found due again


class Observed:
    """A collector for each reign, made anew: what was said to an earlier one proves nothing to the next."""

    def __init__(self, keeper: Keeper, observers: dict[str, str]) -> None:
        """`observers`: the zone of each, of the terms."""
        self.keeper, self.observers = keeper, observers
        self.made: tuple[Any, int] = (None, 0)  # of which machine and reign
        self.held: Collector | None = None

    def collector(self) -> Collector | None:
        """Of this reign; None where this keeper leads none, or has not opened it yet."""
        keeper, member = self.keeper, self.keeper.member
        if member is None or member.role != LEADER or not keeper.session:
            self.held, self.made = None, (None, 0)
            return None
        # The machine too: a keeper that began anew from its disk has another.
        if self.held is None or self.made[0] is not keeper.machine or self.made[1] != member.reign:
            self.held = Collector(member.reign, keeper.now(), self.observers, keeper.machine.ledger)
            self.made = keeper.machine, member.reign
        return self.held

    def put(self) -> None:
        """Once a second, after the tick: this second's digests, until one of them is not agreed."""
        keeper, collector = self.keeper, self.collector()
        if collector is None or not keeper.machine.ledger.agreed:
            return
        made = max(keeper.wall(), keeper.machine.ledger.now)
        for entry in collector.digests(keeper.now(), made):
            if keeper.ask("", 0, entry, PATIENCE)[0] is not Outcome.DONE or self.held is not collector:
                return

    def look(self, ledger: dict[str, Any]) -> dict[str, Any]:
        """What operators are shown of observers. What directors said last comes into `ledger`, a look at it, in place
        of roofs: a release judges by that."""
        collector = self.collector()
        if collector is None:
            return {}
        for name, row in ledger["directors"].items():
            one = collector.evidence("director/" + name)
            if one is not None and one.inc == row[1] and max(one.n, one.changed) >= row[9]:
                row[3:8] = (one.word[x] for x in ("proxies", "waiting", "bare", "refused", "fulfilled"))
                row[9] = max(one.n, one.changed)
        return collector.look(self.keeper.now())
