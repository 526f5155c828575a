"""What observers report to this keeper while it leads, and the digests that it puts into the log of it."""

from itertools import islice
from typing import Any

import gevent
from gevent.event import Event

from ironfall.consensus import Outcome, Role
from ironfall.coordinator.member import CoordinatorMember
from ironfall.membership import DigestCollector
from ironfall.membership.digest_collector import ENTRIES

SOON = 0.25  # seconds that what is waited for may wait for more like it
PATIENCE = 2.0  # seconds for an entry; what is in doubt is found due again


class Observed:
    """A collector for each reign, made anew: what was said to an earlier one proves nothing to the next."""

    def __init__(self, keeper: CoordinatorMember, observers: dict[str, str]) -> None:
        """`observers`: the zone of each, of the terms."""
        self.keeper, self.observers = keeper, observers
        self.made: tuple[Any, int] = (None, 0)  # of which machine and reign
        self.held: DigestCollector | None = None
        self.urgent, self.early, self.putting = Event(), 0, False

    def collector(self) -> DigestCollector | None:
        """Of this reign; None where this keeper leads none, or has not opened it yet."""
        keeper, member = self.keeper, self.keeper.node
        if member is None or member.role is not Role.LEADER or not keeper.session:
            self.held, self.made = None, (None, 0)
            return None
        # The machine too: a keeper that began anew from its disk has another.
        if (
            self.held is None
            or self.made[0] is not keeper.state_machine
            or self.made[1] != member.term
        ):
            self.held = DigestCollector(
                member.term, keeper.clock.now_ticks(), self.observers, keeper.state_machine.ledger
            )
            self.made = keeper.state_machine, member.term
        return self.held

    def report(self, collector: DigestCollector, message: Any) -> dict[str, Any]:
        """The answer to an observer. Raises `ValueError` naming the place of what is malformed."""
        answer = collector.report(self.keeper.clock.now_ticks(), message)
        if "why" not in answer and any(
            self._waited_for(unit, row[3]) for unit, row in message["members"].items()
        ):
            self.urgent.set()
        return answer

    def _waited_for(self, unit: str, word: dict[str, Any]) -> bool:
        """Whether it changes who is out, or what may go out."""
        ledger, name = self.keeper.state_machine.ledger, unit.partition("/")[2]
        if unit.startswith("host/"):
            return name in ledger.hosts and (
                ledger.hosts[name].is_up != word["up"] or unit in ledger.permits
            )
        known = ledger.directors.get(name)
        if known is None or not known.is_live:
            return False
        return set(known.silent_hosts) != set(
            word.get("silent", ())
        ) or known.is_leaving != word.get("leaving", False)

    def put(self) -> None:
        """Once a second, after the tick: this second's digests, until one of them is not agreed."""
        self._put(ENTRIES - self.early)
        self.early = 0

    def hasten(self) -> None:
        """A loop: what is waited for goes sooner, an entry at a time, within the number of a second."""
        while True:
            self.urgent.wait()
            gevent.sleep(SOON)
            self.urgent.clear()
            if self.early < ENTRIES - 1:
                self.early += self._put(1)

    def _put(self, most: int) -> int:
        """How many were put."""
        keeper, collector, count = self.keeper, self.collector(), 0
        if collector is None or not keeper.state_machine.ledger.has_rules or self.putting:
            return 0  # what is due is due at the next second too
        self.putting = True
        try:
            made = max(keeper.clock.wall_ticks(), keeper.state_machine.ledger.now)
            for entry in islice(collector.digests(keeper.clock.now_ticks(), made), most):
                count += 1
                if (
                    keeper.propose("", 0, entry, PATIENCE).outcome is not Outcome.DONE
                    or self.held is not collector
                ):
                    break
        finally:
            self.putting = False
        return count

    def look(self, ledger: dict[str, Any]) -> dict[str, Any]:
        """What operators are shown of observers. What directors said last comes into `ledger`, a look at it, in place
        of roofs: a release judges by that."""
        collector = self.collector()
        if collector is None:
            return {}
        for name, row in ledger["directors"].items():
            one = collector.evidence("director/" + name)
            if one is not None and one.inc == row[1] and max(one.n, one.changed) >= row[9]:
                row[3:8] = (
                    one.word[x] for x in ("proxies", "waiting", "bare", "refused", "fulfilled")
                )
                row[9] = max(one.n, one.changed)
        return collector.look(self.keeper.clock.now_ticks())
