"""Aggregators' reports to this coordinator while it leads, and the digests that it proposes."""

from itertools import islice
from typing import Any

import gevent
from gevent.event import Event

from ironfall.consensus import Outcome, Role
from ironfall.coordinator.member import CoordinatorMember
from ironfall.membership import DigestCollector
from ironfall.membership.digest_collector import MAX_DIGESTS_PER_SECOND

# An urgent change waits this long for others, so that they share a digest.
URGENT_BATCH_DELAY_S = 0.25
# An entry whose outcome is unknown after this is found due again later.
PROPOSAL_TIMEOUT_S = 2.0


class ObserverReports:
    """Collects heartbeat aggregators' reports and proposes digests of them, as leader.

    Each term has a collector of its own: what was reported in an earlier term proves nothing in the
    next.
    """

    def __init__(self, member: CoordinatorMember, observers: dict[str, str]) -> None:
        """Begins without a collector.

        Args:
            member: proposes the digests.
            observers: the zone of each aggregator by name, from the settings.
        """
        self.member, self.observers = member, observers
        self._collector_origin: tuple[Any, int] = (None, 0)  # state machine and term
        self._collector: DigestCollector | None = None
        # Urgent digests proposed since the last tick count against the limit of the next one.
        self._has_urgent, self._early_count, self._is_proposing = Event(), 0, False

    def collector(self) -> DigestCollector | None:
        """Returns this term's collector; None unless this member leads with an open session."""
        member, node = self.member, self.member.node
        if node is None or node.role is not Role.LEADER or not member.session:
            self._collector, self._collector_origin = None, (None, 0)
            return None
        # The state machine is compared too: a node that was restarted from its disk has another.
        if (
            self._collector is None
            or self._collector_origin[0] is not member.state_machine
            or self._collector_origin[1] != node.term
        ):
            self._collector = DigestCollector(
                node.term, member.clock.now_ticks(), self.observers, member.state_machine.ledger
            )
            self._collector_origin = member.state_machine, node.term
        return self._collector

    def report(self, collector: DigestCollector, message: Any) -> dict[str, Any]:
        """Takes an aggregator's report and returns the answer to it.

        Raises:
            ValueError: the report is malformed; the message names the place.
        """
        answer = collector.report(self.member.clock.now_ticks(), message)
        if "why" not in answer and any(
            self._is_urgent(unit, row[3]) for unit, row in message["members"].items()
        ):
            self._has_urgent.set()
        return answer

    def _is_urgent(self, unit: str, status: dict[str, Any]) -> bool:
        """Returns whether a status changes which units are out of service or may be taken out."""
        ledger, name = self.member.state_machine.ledger, unit.partition("/")[2]
        if unit.startswith("host/"):
            return name in ledger.hosts and (
                ledger.hosts[name].is_up != status["up"] or unit in ledger.permits
            )
        director = ledger.directors.get(name)
        if director is None or not director.is_live:
            return False
        return set(director.silent_hosts) != set(
            status.get("silent", ())
        ) or director.is_leaving != status.get("leaving", False)

    def propose_digests(self) -> None:
        """Proposes this second's digests until one is not committed; called after each tick."""
        self._propose(MAX_DIGESTS_PER_SECOND - self._early_count)
        self._early_count = 0

    def run_urgent(self) -> None:
        """Proposes urgent digests early, within the limit of each second, until killed."""
        while True:
            self._has_urgent.wait()
            gevent.sleep(URGENT_BATCH_DELAY_S)
            self._has_urgent.clear()
            if self._early_count < MAX_DIGESTS_PER_SECOND - 1:
                self._early_count += self._propose(1)

    def _propose(self, max_count: int) -> int:
        """Proposes up to `max_count` digests; returns how many."""
        member, collector, count = self.member, self.collector(), 0
        if collector is None or not member.state_machine.ledger.has_rules or self._is_proposing:
            return 0  # what is due now is still due at the next second
        self._is_proposing = True
        try:
            made_at = max(member.clock.wall_ticks(), member.state_machine.ledger.now)
            for entry in islice(collector.digests(member.clock.now_ticks(), made_at), max_count):
                count += 1
                if (
                    member.propose("", 0, entry, PROPOSAL_TIMEOUT_S).outcome is not Outcome.DONE
                    or self._collector is not collector
                ):
                    break
        finally:
            self._is_proposing = False
        return count

    def look(self, ledger: dict[str, Any]) -> dict[str, Any]:
        """Returns what operators are shown of aggregators.

        Also replaces upper bounds of directors' counts in `ledger`, a result of `Ledger.inspect`,
        by the counts that were last reported, as rollouts decide by them.
        """
        collector = self.collector()
        if collector is None:
            return {}
        for name, row in ledger["directors"].items():
            evidence = collector.evidence("director/" + name)
            if (
                evidence is not None
                and evidence.inc == row[1]
                and max(evidence.n, evidence.changed) >= row[9]
            ):
                row[3:8] = (
                    evidence.word[x] for x in ("proxies", "waiting", "bare", "refused", "fulfilled")
                )
                row[9] = max(evidence.n, evidence.changed)
        return collector.look(self.member.clock.now_ticks())
