"""Halts of new work: imposed by operators, or automatically, with recovery and history."""

from collections.abc import Iterator

from ironfall.disruption.entries import ImposeHalt, LiftHalt, ReportHarm
from ironfall.disruption.errors import EntryRejectedError
from ironfall.disruption.permits import Permits
from ironfall.disruption.records import REVERSIBLE_STATES, Halt, HaltHistory
from ironfall.disruption.settings import MILLION
from ironfall.disruption.state import LedgerState

WHOLE_FLEET = "all"
"""The scope of a halt of the whole fleet."""
AUTOMATIC = "itself"
"""Author of an automatic halt, as sent and stored."""
HALTED = "halted"
LIFTED = "lifted"
RECOVERED = "calm"
"""Cause sent when an automatic halt ends by itself."""


class Halts:
    """Imposes and lifts halts.

    A halt withdraws the permits of its scope that are in a reversible state and recalls the others.
    """

    def __init__(self, state: LedgerState, permits: Permits) -> None:
        """Takes the state whose halts and permits it changes."""
        self.state = state
        self.permits = permits

    # commands

    def halt(self, command: ImposeHalt) -> None:
        """Imposes an operator's halt, which only an operator can lift."""
        halts, limit = self.state.halts, self.state.rules.halts
        if command.scope not in halts and len(halts) >= limit:
            raise EntryRejectedError(f"no more than {limit} halts are kept: halt all")
        self.impose(command.scope, Halt(command.operator, command.reason, self.state.now, False))

    def lift(self, command: LiftHalt) -> None:
        """Lifts a halt on an operator's command; an automatic halt's history is cleared."""
        if command.scope not in self.state.halts:
            raise EntryRejectedError(f"{command.scope} is not halted")
        halt = self.state.halts.pop(command.scope)
        if halt.is_automatic:
            self.state.halt_history.pop(command.scope, None)
        self._end_recalls(command.scope, command.operator)

    def report_harm(self, command: ReportHarm) -> None:
        """Halts a release that canary analysis found harmful."""
        self.halt_automatically(f"release {command.release}", f"harm: {command.reason}")

    # imposing and ending

    def impose(self, scope: str, halt: Halt) -> None:
        """Halts a scope, withdraws permits in a reversible state and recalls the others."""
        self.state.halts[scope] = halt
        self.state.record(scope, HALTED, self.state.index, halt.reason)
        for target, permit in list(self.state.permits.items()):
            if scope not in self.state.halt_scopes_of(target, permit.release):
                continue
            if permit.state in REVERSIBLE_STATES:
                self.permits.withdraw(target, permit, HALTED, f"{scope}: {halt.reason}")
            else:
                permit.recalled_at = permit.recalled_at or max(1, self.state.now)

    def _end_recalls(self, scope: str, cause: str) -> None:
        """Records the end of a halt, and the end of recalls that no other halt requires."""
        self.state.requests_settled = False
        self.state.record(scope, LIFTED, self.state.index, cause)
        for target, permit in self.state.permits.items():
            if permit.recalled_at and not self.state.halt_on(target, permit.release):
                permit.recalled_at = 0

    # automatic halts

    def halt_automatically(self, scope: str, reason: str) -> None:
        """Halts a scope for a cause that the ledger detected.

        A halt already in force stays, and its recovery starts over. Once `rules.halts` scopes are
        halted, the whole fleet is halted instead.
        """
        halts, limit = self.state.halts, self.state.rules.halts
        if scope in halts:
            halts[scope].recovering_since = 0
            return
        if len(halts) >= limit:
            scope = WHOLE_FLEET
        if scope in halts:
            return
        self._record_automatic_halt(scope)
        self.impose(scope, Halt(AUTOMATIC, reason, self.state.now, True))

    def _record_automatic_halt(self, scope: str) -> None:
        state = self.state
        history = state.halt_history.setdefault(scope, HaltHistory(0, state.now))
        if state.now - history.last_at > state.rules.history_lifetime:
            history.count = 0
        history.count += 1
        history.last_at = state.now
        if len(state.halt_history) > state.rules.halts:
            evictable = [(h.last_at, s) for s, h in state.halt_history.items() if s != scope]
            del state.halt_history[min(evictable)[1]]

    def halt_for_causes(self) -> None:
        """Halts every scope for which there is a cause now."""
        for scope, reason in list(self._automatic_halt_causes()):
            self.halt_automatically(scope, reason)

    def _automatic_halt_causes(self) -> Iterator[tuple[str, str]]:
        """Yields each scope that must be halted automatically now, with the reason."""
        state = self.state
        for scope in sorted(state.scopes.with_failures):
            if not scope.startswith(("fleet", "zone ")):
                continue
            count = state.scopes.counts[scope]
            # A single failed host never halts a scope, not even a small one where it exceeds the
            # share.
            allowed = max(1, count.total * state.rules.max_unplanned_share // MILLION)
            if count.unplanned > allowed:
                yield (WHOLE_FLEET if scope == "fleet" else scope), "unplanned loss"
        if len(state.directors_near_limit) >= state.rules.silence_quorum:
            yield WHOLE_FLEET, "a rule is near its limit"

    def recover(self) -> None:
        """Lifts automatic halts whose cause has been gone for the recovery time.

        The time doubles with each automatic halt of a scope. After `rules.max_automatic_halts` of
        them, only an operator can lift the next one.
        """
        state, rules = self.state, self.state.rules
        causes = {scope for scope, _ in self._automatic_halt_causes()}
        for scope, halt in list(state.halts.items()):
            history = state.halt_history.get(scope)
            if not halt.is_automatic or history is None:
                continue
            if history.count > rules.max_automatic_halts:
                continue
            if scope in causes:
                halt.recovering_since = 0
            elif not halt.recovering_since:
                halt.recovering_since = state.now
            elif state.now - halt.recovering_since >= rules.recovery_time << (history.count - 1):
                del state.halts[scope]
                self._end_recalls(scope, RECOVERED)
