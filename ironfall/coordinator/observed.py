"""Observers' reports to this coordinator while it leads, and the digests that it proposes."""

from itertools import islice
from typing import Any

import gevent
from gevent.event import Event

from ironfall.consensus import Outcome, Role
from ironfall.coordinator.member import CoordinatorMember
from ironfall.membership import DigestCollector
from ironfall.membership.digest_collector import ENTRIES

# An urgent change waits this long for others, so that they share a digest.
SOON = 0.25
# An entry whose outcome is unknown after this is found due again later.
PATIENCE = 2.0


class Observed:
    """Collects observers' reports and proposes digests of them, as leader.

    Each term has a collector of its own: what was reported in an earlier term proves nothing in the
    next.
    """

    def __init__(self, keeper: CoordinatorMember, observers: dict[str, str]) -> None:
        """Begins without a collector.

        Args:
            keeper: proposes the digests.
            observers: zone of each by name, from the settings.
        """
        self.keeper, self.observers = keeper, observers
        self.made: tuple[Any, int] = (None, 0)  # state machine and term
        self.held: DigestCollector | None = None
        # Digests proposed ahead of the present second's count against its limit.
        self.urgent, self.early, self.putting = Event(), 0, False

    def collector(self) -> DigestCollector | None:
        """Returns this term's collector; None unless this member leads with an open session."""
        keeper, member = self.keeper, self.keeper.node
        if member is None or member.role is not Role.LEADER or not keeper.session:
            self.held, self.made = None, (None, 0)
            return None
        # The state machine is compared too: a node that was restarted from its disk has another.
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
        """Takes an observer's report and returns the answer to it.

        Raises:
            ValueError: the report is malformed; the message names the place.
        """
        answer = collector.report(self.keeper.clock.now_ticks(), message)
        if "why" not in answer and any(
            self._waited_for(unit, row[3]) for unit, row in message["members"].items()
        ):
            self.urgent.set()
        return answer

    def _waited_for(self, unit: str, word: dict[str, Any]) -> bool:
        """Returns whether a unit's status changes who is out of service or may be taken out."""
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
        """Proposes this second's digests until one is not committed; called after each tick."""
        self._put(ENTRIES - self.early)
        self.early = 0

    def hasten(self) -> None:
        """Proposes urgent digests early, one at a time, within the limit of each second; a loop."""
        while True:
            self.urgent.wait()
            gevent.sleep(SOON)
            self.urgent.clear()
            if self.early < ENTRIES - 1:
                self.early += self._put(1)

    def _put(self, most: int) -> int:
        """Proposes up to `max_count` digests; returns how many."""
        keeper, collector, count = self.keeper, self.collector(), 0
        if collector is None or not keeper.state_machine.ledger.has_rules or self.putting:
            return 0  # what is due now is still due at the next second
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
        """Returns what operators are shown of observers.

        In `ledger`, what `Ledger.inspect` returned, replaces the upper bounds that the log has of
        directors' counts by the counts that were reported last: a rollout decides by them.
        """
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
