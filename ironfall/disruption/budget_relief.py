"""Withdraws permits when unplanned losses put a scope over its budget."""

from ironfall.disruption.budgets import Budgets
from ironfall.disruption.halts import Halts
from ironfall.disruption.permits import TAKEN_BACK, Permits
from ironfall.disruption.records import REVERSIBLE_STATES
from ironfall.disruption.state import LedgerState


class BudgetRelief:
    """Brings scopes back under budget after entries that may change what is out of service."""

    def __init__(
        self, state: LedgerState, budgets: Budgets, permits: Permits, halts: Halts
    ) -> None:
        """Takes the state whose permits it withdraws and whose scopes it halts."""
        self.state = state
        self.budgets = budgets
        self.permits = permits
        self.halts = halts

    def relieve(self) -> None:
        """Withdraws the newest permits of scopes over their limit, then imposes automatic halts.

        Only permits in a reversible state are withdrawn, each with all such permits of the same
        request. Does nothing until rules are set.
        """
        if not self.state.has_rules:
            return
        self._withdraw_newest()
        self.halts.halt_for_causes()

    def _withdraw_newest(self) -> None:
        permits = self.state.permits
        newest_first = sorted(
            (
                (permit.grant_token, target)
                for target, permit in permits.items()
                if permit.state in REVERSIBLE_STATES
            ),
            reverse=True,
        )
        if not newest_first:
            return
        longest_duration = max(permit.duration for permit in permits.values())
        if not self.budgets.is_anything_exceeded(longest_duration):
            return
        for _, target in newest_first:
            permit = permits.get(target)
            if permit is None or permit.state not in REVERSIBLE_STATES:
                continue
            if scope := self.budgets.exceeded_scope(target, permit):
                cause = f"{scope} is over its budget"
                self.permits.withdraw_request(permit.request, TAKEN_BACK, cause)
