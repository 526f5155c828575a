"""Queue of permit requests, each granted for all of its targets together or refused."""

from typing import Any

from ironfall.disruption.budgets import CAPACITY_SCOPE, CHANNEL_SCOPE, Budgets
from ironfall.disruption.entries import CancelRequest, RequestPermits
from ironfall.disruption.errors import EntryRejectedError
from ironfall.disruption.permits import TAKEN_BACK, Permits
from ironfall.disruption.records import Holder, Permit, PermitRequest, PermitState
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import is_host, target_name

REQUESTED = "asked"
"""State of a target whose request waits, as sent in answers."""
REFUSED = "refused"
"""Stored outcome of a request that was never granted."""

GRANTED = ""
"""Result of `PermitRequests.try_grant` for a granted request; `BLOCKED_BY_...` are the others."""
BLOCKED_BY_HALT = "halted"
BLOCKED_BY_UNKNOWN_ZONE = "unknown"
BLOCKED_BY_RESERVATION = "reserved"
BLOCKED_BY_SHORTAGE = "short"


class PermitRequests:
    """Queues requests and grants them, oldest first."""

    def __init__(self, state: LedgerState, budgets: Budgets, permits: Permits) -> None:
        """Takes the state whose requests it changes and in which it opens permits."""
        self.state = state
        self.budgets = budgets
        self.permits = permits

    # commands of holders

    def submit(self, command: RequestPermits) -> dict[str, Any]:
        """Grants a new request or queues it; answers with the states of its targets.

        A repeated request is answered with the states its targets have now. Raises
        `EntryRejectedError` if the request exceeds a limit or can never be granted.
        """
        holder = self.state.live_holder(command.holder, command.incarnation)
        request_id = command.request_id
        if command.number <= holder.last_request:
            return self._answer_repeated(command, holder)
        self._require_admissible(command)
        request = PermitRequest(
            id=request_id,
            holder=command.holder,
            incarnation=command.incarnation,
            targets=command.targets,
            duration=command.duration,
            release=command.release,
            requested_at=self.state.now,
        )
        if reason := self.budgets.infeasibility(request):
            raise EntryRejectedError(f"never: {reason}")
        holder.last_request = command.number
        self.state.requests[request_id] = request
        self.state.requested_targets.update((target, request_id) for target in request.targets)
        if self.try_grant(request):
            scopes = request.lacking_scopes
            self.state.record(request_id, REQUESTED, self.state.index, scopes[-1] if scopes else "")
        return {"ask": request_id, "state": self._states_of(request_id), "token": self.state.index}

    def _answer_repeated(self, command: RequestPermits, holder: Holder) -> dict[str, Any]:
        request_id = command.request_id
        states = self._states_of(request_id)
        if not states:
            raise EntryRejectedError(
                f"{command.number} was refused, forgotten, or came after {holder.last_request}: "
                "ask under a new number"
            )
        return {"ask": request_id, "state": states}

    def _require_admissible(self, command: RequestPermits) -> None:
        state, rules = self.state, self.state.rules
        if not state.has_rules:
            raise EntryRejectedError("no rules are agreed yet")
        if len(command.targets) > rules.max_request_targets:
            raise EntryRejectedError(f"an ask names at most {rules.max_request_targets} units")
        if len(state.requests) >= rules.max_waiting_requests:
            raise EntryRejectedError(f"{rules.max_waiting_requests} asks wait already")
        for target in command.targets:
            if not state.is_known(target):
                raise EntryRejectedError(f"{target} is not known")
            if target in state.requested_targets:
                raise EntryRejectedError(
                    f"{target} is asked for by {state.requested_targets[target]}"
                )

    def cancel(self, command: CancelRequest) -> None:
        """Refuses a waiting request, or withdraws a granted one's permits in a reversible state."""
        self.state.live_holder(command.holder, command.incarnation)
        request_id = command.request_id
        if request := self.state.requests.get(request_id):
            self.refuse(request, "cancelled")
        elif not self.permits.withdraw_request(request_id, TAKEN_BACK, "cancelled"):
            raise EntryRejectedError(f"nothing of {request_id} waits or can be undone")

    def _states_of(self, request_id: str) -> dict[str, str]:
        """Returns the state or outcome of each target of a request; empty if it is not kept."""
        if request_id in self.state.requests:
            return dict.fromkeys(self.state.requests[request_id].targets, REQUESTED)
        states: dict[str, str] = {
            t: end for t, end in self.state.ended_requests.get(request_id, ())
        }
        for target, permit in self.state.permits.items():
            if permit.request == request_id:
                states[target] = permit.state
        return states

    def refuse(self, request: PermitRequest, cause: str) -> None:
        """Removes a waiting request from the queue as refused."""
        state = self.state
        self._dequeue(request)
        state.requests_settled = False
        state.remember_end(request.id, [[target, REFUSED] for target in request.targets])
        state.record(request.id, REFUSED, state.index, cause)

    def _dequeue(self, request: PermitRequest) -> None:
        state = self.state
        del state.requests[request.id]
        for target in request.targets:
            del state.requested_targets[target]
        state.reservations = {
            scope: request_id
            for scope, request_id in state.reservations.items()
            if request_id != request.id
        }

    # granting

    def try_grant(self, request: PermitRequest) -> str:
        """Grants a request if there is room for all of its targets that no older one reserves.

        Returns `GRANTED`, or what blocks the request.
        """
        for target in request.targets:
            if self.state.halt_on(target, request.release):
                return BLOCKED_BY_HALT
            if self.state.unknown_zone_of(target):
                return BLOCKED_BY_UNKNOWN_ZONE
        if self.state.reservations and self._is_reserved(request):
            return BLOCKED_BY_RESERVATION
        if lacking := self.budgets.shortages(request):
            new = [scope for scope in lacking if scope not in request.lacking_scopes]
            request.lacking_scopes = [*request.lacking_scopes, *new]
            return BLOCKED_BY_SHORTAGE
        if len(self.state.permits) + len(request.targets) > self.state.rules.max_permits:
            return BLOCKED_BY_SHORTAGE
        self._grant(request)
        return GRANTED

    def _is_reserved(self, request: PermitRequest) -> bool:
        """Returns whether another request reserves a scope that this one needs."""
        scopes = {CAPACITY_SCOPE, CHANNEL_SCOPE, *request.targets}
        for target in request.targets:
            scopes.update(self.state.scopes_of(target))
        return any(
            scope in scopes and request_id != request.id
            for scope, request_id in self.state.reservations.items()
        )

    def _grant(self, request: PermitRequest) -> None:
        state = self.state
        self._dequeue(request)
        for target in request.targets:
            state.count_target(target, -1)
            state.permits[target] = Permit(
                request=request.id,
                holder=request.holder,
                incarnation=request.incarnation,
                duration=request.duration,
                release=request.release,
                grant_token=state.index,
                token=state.index,
                state=PermitState.GRANTED,
                since=state.now,
            )
            state.undrained_permits += 1
            state.count_target(target, 1)
            if is_host(target) and target_name(target) in state.orphaned_drains:
                name = target_name(target)
                state.set_orphaned_drain(name, state.hosts[name], False)
            state.record(target, PermitState.GRANTED, state.index, request.id)

    def serve(self) -> None:
        """Grants the waiting requests that can be granted, oldest first.

        A request of `reservation_age` that only planned work blocks reserves every scope that ever
        lacked room for it, so that younger requests do not take the room. No reservation holds
        back the oldest request, and every request becomes the oldest in time.
        """
        state = self.state
        state.reservations = {}
        for request in list(state.requests.values()):
            reason = "" if state.feasibility_settled else self.budgets.infeasibility(request)
            if reason:
                self.refuse(request, f"never: {reason}")
            elif self.try_grant(request) == BLOCKED_BY_SHORTAGE:
                self._reserve_if_aged(request)
        state.requests_settled = True
        state.feasibility_settled = True

    def has_any_aged(self) -> bool:
        """Returns whether any request has waited long enough to reserve scopes."""
        latest = self.state.now - self.state.rules.reservation_age
        return any(request.requested_at <= latest for request in self.state.requests.values())

    def _reserve_if_aged(self, request: PermitRequest) -> None:
        if self.state.now - request.requested_at < self.state.rules.reservation_age:
            return
        if self.budgets.shortages_without_planned(request):
            return
        for scope in request.lacking_scopes:
            self.state.reservations.setdefault(scope, request.id)
