"""The leader's tick, once a second: everything that depends on time alone."""

from ironfall.disruption.budget_relief import BudgetRelief
from ironfall.disruption.halts import WHOLE_FLEET, Halts
from ironfall.disruption.permits import TAKEN_BACK, Permits
from ironfall.disruption.records import DRAINING_STATES, Permit, PermitState
from ironfall.disruption.requests import PermitRequests
from ironfall.disruption.state import LedgerState


class Ticker:
    """Ends warm-ups, handles overdue permits, lifts halts and serves waiting requests."""

    def __init__(
        self, state: LedgerState, requests: PermitRequests, halts: Halts, relief: BudgetRelief
    ) -> None:
        """Takes the state whose records it changes, directly and through the other components."""
        self.state = state
        self.permits: Permits = requests.permits
        self.requests = requests
        self.halts = halts
        self.relief = relief

    def tick(self) -> None:
        """Runs everything that is due."""
        self._halt_after_gap()
        self._end_warm_ups()
        for target, permit in list(self.state.permits.items()):
            self._check_permit(target, permit)
        self.relief.relieve()
        self.halts.recover()
        if not self.state.requests_settled or self.requests.has_any_aged():
            self.requests.serve()

    def _halt_after_gap(self) -> None:
        """Halts the whole fleet if there was no tick for longer than a lease.

        Such a gap means that the coordinators had no quorum.
        """
        state = self.state
        gap = state.now - (state.last_tick or state.now)
        state.last_tick = state.now
        if gap > state.rules.lease + state.rules.drift_allowance:
            self.halts.halt_automatically(WHOLE_FLEET, "no quorum was seen for a lease")

    def _end_warm_ups(self) -> None:
        state = self.state
        latest_start = state.now - state.rules.warm_up_time
        warmed_up = [n for n in state.warming_hosts if state.hosts[n].started_at <= latest_start]
        for name in warmed_up:
            state.count_host(name, -1)
            state.hosts[name].is_warming_up = False
            state.count_host(name, 1)
            state.requests_settled = False

    def _check_permit(self, target: str, permit: Permit) -> None:
        """Checks a permit's drain; withdraws a permit that is overdue, or marks it lost."""
        rules = self.state.rules
        time_in_state = self.state.now - permit.since
        if permit.state in DRAINING_STATES:
            if time_in_state >= rules.drain_timeout:
                self.permits.withdraw(target, permit, TAKEN_BACK, "it drained too long")
            else:
                self.permits.check_drained(target)
        elif permit.state is PermitState.GRANTED:
            if time_in_state >= rules.begin_timeout:
                self.permits.withdraw(target, permit, TAKEN_BACK, "nothing was begun")
        elif permit.state is PermitState.OUT:
            if permit.recalled_at and self.state.now - permit.recalled_at >= rules.return_timeout:
                cause = "called back, and its holder did not return it"
                self.permits.move(target, permit, PermitState.LOST, cause)
        elif permit.state is PermitState.RETURNING and time_in_state >= rules.return_timeout:
            self.permits.move(target, permit, PermitState.LOST, "it was not seen back")
