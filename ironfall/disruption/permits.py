"""Open permits: their states and transitions, and the commands of their holders."""

from ironfall.disruption.budgets import Budgets
from ironfall.disruption.drain_verification import DrainVerifier
from ironfall.disruption.entries import AdoptPermit, BeginDrain, GiveBack, PermitStep, TakeOut
from ironfall.disruption.errors import EntryRejectedError
from ironfall.disruption.records import (
    DRAINING_STATES,
    REVERSIBLE_STATES,
    UNDRAINED_STATES,
    Permit,
    PermitState,
)
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import is_host, target_name

RETURNED = "back"
"""Stored outcome of a permit whose target is in service again."""
TAKEN_BACK = "taken back"
"""Stored outcome of a permit that was withdrawn before its target was stopped."""


class Permits:
    """Changes the states of permits; each change updates the counts and records a transition."""

    def __init__(self, state: LedgerState, budgets: Budgets, drains: DrainVerifier) -> None:
        """Takes the state whose permits it changes."""
        self.state = state
        self.budgets = budgets
        self.drains = drains

    # commands of holders

    def begin_drain(self, command: BeginDrain) -> dict[str, int]:
        """Starts the drain of a granted permit's target; returns the new token."""
        permit = self.held_permit(command, PermitState.GRANTED)
        self._require_no_halt(command.target, permit)
        self.move(command.target, permit, PermitState.DRAINING)
        self.check_drained(command.target)
        return {"token": permit.token}

    def take_out(self, command: TakeOut) -> dict[str, int]:
        """Allows the drained target to be stopped; returns the new token.

        From then on the permit cannot be withdrawn.
        """
        target = command.target
        permit = self.held_permit(command, *DRAINING_STATES)
        self._require_no_halt(target, permit)
        if obstacle := self.drains.obstacle(target, permit):
            raise EntryRejectedError(f"{target} is not known to be empty: {obstacle}")
        if scope := self.budgets.exceeded_scope(target, permit):
            raise EntryRejectedError(f"{scope} has no room for it any more")
        permit.incarnation_before = self.state.incarnation_of(target)
        self.move(target, permit, PermitState.OUT)
        return {"token": permit.token}

    def give_back(self, command: GiveBack) -> dict[str, int]:
        """Ends the holder's use of a permit; returns the permit's newest token.

        A target that may have been stopped counts as out until it is seen in service.
        """
        permit = self.held_permit(command, *REVERSIBLE_STATES, PermitState.OUT)
        if permit.state in REVERSIBLE_STATES:
            self.withdraw(command.target, permit, RETURNED, "given back")
        else:
            self.move(command.target, permit, PermitState.RETURNING)
        return {"token": permit.token}

    def adopt(self, command: AdoptPermit) -> dict[str, int]:
        """Gives a lost permit back to its restarted holder; returns the new token."""
        self.state.live_holder(command.holder, command.incarnation)
        permit = self.state.permits.get(command.target)
        is_lost = permit is not None and permit.state is PermitState.LOST
        if permit is None or permit.holder != command.holder or not is_lost:
            raise EntryRejectedError(f"{command.holder} lost no permit for {command.target}")
        permit.incarnation = command.incarnation
        permit.recalled_at = self.state.now if permit.recalled_at else 0
        self.move(command.target, permit, PermitState.OUT, "adopted")
        return {"token": permit.token}

    def held_permit(self, step: PermitStep, *states: PermitState) -> Permit:
        """Returns the permit of a command.

        Raises `EntryRejectedError` if the holder has no live lease or no such permit, or if the
        permit's state or the token is not the expected one.
        """
        self.state.live_holder(step.holder, step.incarnation)
        permit = self.state.permits.get(step.target)
        owner = (permit.holder, permit.incarnation) if permit else None
        if permit is None or owner != (step.holder, step.incarnation):
            raise EntryRejectedError(f"{step.holder} has no permit for {step.target}")
        if permit.state not in states:
            raise EntryRejectedError(f"{step.target} is {permit.state}, not {' or '.join(states)}")
        if step.token != permit.token:
            raise EntryRejectedError(
                f"token {step.token} is not the newest of {step.target}, {permit.token}"
            )
        return permit

    def _require_no_halt(self, target: str, permit: Permit) -> None:
        if halt := self.state.halt_on(target, permit.release):
            raise EntryRejectedError(f"halted: {halt}")
        if zone := self.state.unknown_zone_of(target):
            raise EntryRejectedError(f"zone {zone} is unknown: none of its observers is heard")

    # transitions

    def move(self, target: str, permit: Permit, state: PermitState, cause: str = "") -> None:
        """Changes a permit's state under a new token, which orders the fleet to act on it."""
        self._change(target, permit, state, cause, self.state.index)

    def _change(
        self, target: str, permit: Permit, state: PermitState, cause: str, token: int
    ) -> None:
        self.state.count_target(target, -1)
        self.state.undrained_permits += state in UNDRAINED_STATES
        self.state.undrained_permits -= permit.state in UNDRAINED_STATES
        permit.state = state
        permit.since = self.state.now
        permit.cause = cause
        permit.token = token
        self.state.count_target(target, 1)
        self.state.record(target, state, token, cause)

    def end(self, target: str, permit: Permit, outcome: str, cause: str) -> None:
        """Ends a permit and stores its `outcome`."""
        state = self.state
        state.count_target(target, -1)
        state.undrained_permits -= permit.state in UNDRAINED_STATES
        del state.permits[target]
        state.count_target(target, 1)
        state.requests_settled = False
        state.remember_end(permit.request, [[target, outcome]])
        state.record(target, outcome, state.index, cause)

    def withdraw(self, target: str, permit: Permit, outcome: str, cause: str) -> None:
        """Withdraws a permit in a reversible state, with the `outcome` it will end with.

        A granted permit ends at once. Otherwise the drain marker must be removed first.
        """
        if permit.state is PermitState.GRANTED:
            self.end(target, permit, outcome, cause)
        else:
            self.move(target, permit, PermitState.UNDOING, f"{outcome}: {cause}")
            permit.confirmed_by = {}

    def withdraw_request(self, request: str, outcome: str, cause: str) -> bool:
        """Withdraws a request's permits in a reversible state; returns whether there were any."""
        selected = [
            (target, permit)
            for target, permit in self.state.permits.items()
            if permit.request == request and permit.state in REVERSIBLE_STATES
        ]
        for target, permit in selected:
            self.withdraw(target, permit, outcome, cause)
        return bool(selected)

    # transitions caused by reports

    def check_drained(self, target: str) -> None:
        """Moves a permit between `draining` and `empty` by what is confirmed now."""
        permit = self.state.permits.get(target)
        if permit is None or permit.state not in DRAINING_STATES:
            return
        is_empty = not self.drains.obstacle(target, permit)
        state = PermitState.EMPTY if is_empty else PermitState.DRAINING
        if state == permit.state:
            return
        since = permit.since
        self._change(target, permit, state, "", permit.token)
        if not is_empty or is_host(target):
            # `drain_timeout` keeps running, so that a host that never stays empty for long does
            # time out.
            permit.since = since

    def check_all_drained(self) -> None:
        """Calls `check_drained` for every open permit."""
        for target in list(self.state.permits):
            self.check_drained(target)

    def end_if_back(self, target: str) -> None:
        """Ends a permit that is returning, undoing or lost once its target is seen in service."""
        permit = self.state.permits.get(target)
        if permit is None:
            return
        if permit.state not in (PermitState.RETURNING, PermitState.UNDOING, PermitState.LOST):
            return
        has_returned = self._has_host_returned if is_host(target) else self._has_director_returned
        if not has_returned(target_name(target), permit):
            return
        outcome = RETURNED
        if permit.state is PermitState.UNDOING:
            outcome = permit.cause.partition(":")[0]
        self.end(target, permit, outcome, permit.cause)

    def _has_host_returned(self, name: str, permit: Permit) -> bool:
        host = self.state.hosts[name]
        if not host.is_ready or host.marker_token < permit.token:
            return False
        if len(host.silent_to) >= self.state.rules.silence_quorum:
            return False
        if permit.state is PermitState.UNDOING:
            return True
        has_restarted = host.agent_incarnation > permit.incarnation_before
        return host.is_up and (has_restarted or host.acted_token >= permit.token)

    def _has_director_returned(self, name: str, permit: Permit) -> bool:
        director = self.state.directors[name]
        if not director.is_live:
            return False
        if 0 < permit.incarnation_before < director.incarnation:
            return True
        return not director.is_leaving and director.acted_token >= permit.token

    # directors' confirmations

    @staticmethod
    def confirm(director: str, permit: Permit, token: int) -> None:
        """Records, or removes, a director's confirmation of a drain.

        It counts only if `token` is the permit's newest; 0 means that there is none.
        """
        if permit.state in DRAINING_STATES and token == permit.token:
            permit.confirmed_by.setdefault(director)
        else:
            permit.confirmed_by.pop(director, None)

    def revoke_confirmations(self, director: str) -> None:
        """Removes all drain confirmations of a director."""
        for permit in self.state.permits.values():
            permit.confirmed_by.pop(director, None)
