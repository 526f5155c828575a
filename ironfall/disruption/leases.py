"""Leases of directors and of permit holders: acquired, renewed, expired."""

from collections.abc import Iterator
from typing import NamedTuple

from ironfall.disruption.entries import ExpireLease, JoinDirector, RenewHolder
from ironfall.disruption.errors import EntryRejectedError
from ironfall.disruption.permits import TAKEN_BACK, Permits
from ironfall.disruption.records import (
    REVERSIBLE_STATES,
    Director,
    Holder,
    PermitState,
)
from ironfall.disruption.reports import Reports
from ironfall.disruption.requests import PermitRequests
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import director_target
from ironfall.disruption.zones import Zones

HOLDER_ROLE = "holder"
DIRECTOR_ROLE = "director"


class DirectorLeases:
    """Directors that join, and leases of theirs that run out."""

    def __init__(
        self, state: LedgerState, permits: Permits, reports: Reports, zones: Zones
    ) -> None:
        """Changes the directors of `state`, and what rests on them."""
        self.state = state
        self.permits = permits
        self.reports = reports
        self.relief = reports.relief
        self.zones = zones

    def join(self, command: JoinDirector) -> dict[str, int]:
        """Acquires or renews a director's lease; answers when it ends."""
        state, name = self.state, command.name
        known = state.directors.get(name)
        self._require_may_join(command, known)
        if not known or command.incarnation > known.incarnation:
            self.register(name, command.incarnation, command.zone, command.version)
            if known:
                self.reports.forget_adoptions_from({name})
            self.permits.check_all_drained()
        lease_until = state.now + state.rules.lease
        state.directors[name].lease_until = lease_until
        self.relief.relieve()
        return {"until": lease_until}

    def _require_may_join(self, command: JoinDirector, known: Director | None) -> None:
        name, incarnation = command.name, command.incarnation
        if known and is_over(known, incarnation):
            raise EntryRejectedError(f"incarnation {incarnation} of {name} is over")
        is_aggregated = name in self.state.aggregated_directors
        if known and incarnation == known.incarnation and is_aggregated:
            raise EntryRejectedError(f"incarnation {incarnation} of {name} is behind observers")
        limit = self.state.rules.directors
        if not known and len(self.state.directors) >= limit:
            raise EntryRejectedError(f"no more than {limit} directors are kept")

    def register(self, name: str, incarnation: int, zone: str, version: str) -> None:
        """Starts a director's new incarnation; proxies of the former one connect anew."""
        state = self.state
        if name in state.directors:
            self.zones.remove_director(name)
            self.reports.forget_status(name)
            state.count_director(name, -1)
        state.directors[name] = Director(zone, incarnation, version)
        state.count_director(name, 1)
        state.requests_settled = False
        state.feasibility_settled = False
        self.permits.end_if_back(director_target(name))

    def expire(self, name: str) -> None:
        """A director's lease ran out."""
        self.state.count_director(name, -1)
        self.state.directors[name].is_live = False
        self.state.count_director(name, 1)
        self.permits.revoke_confirmations(name)
        self.permits.check_all_drained()
        self.relief.relieve()


class HolderLeases:
    """Holders of permits, and what becomes of their requests and permits without a lease."""

    def __init__(self, state: LedgerState, permits: Permits, requests: PermitRequests) -> None:
        """Changes the holders of `state`, and their requests and permits."""
        self.state = state
        self.permits = permits
        self.requests = requests

    def renew(self, command: RenewHolder) -> dict[str, int]:
        """Acquires or renews a holder's lease; answers when it ends."""
        state, name = self.state, command.name
        known = state.holders.get(name)
        if known and is_over(known, command.incarnation):
            raise EntryRejectedError(f"incarnation {command.incarnation} of {name} is over")
        limit = state.rules.holders
        if not known and len(state.holders) >= limit and not self._drop_unused_holder():
            raise EntryRejectedError(f"no more than {limit} holders are kept")
        if not known or command.incarnation > known.incarnation:
            if known and known.is_live:
                self.release(name, "its holder came anew")
            state.holders[name] = Holder(command.incarnation)
        lease_until = state.now + state.rules.lease
        state.holders[name].lease_until = lease_until
        return {"until": lease_until}

    def _drop_unused_holder(self) -> bool:
        """Forgets one holder without a lease, request or permit; whether there was one."""
        busy = {permit.holder for permit in self.state.permits.values()}
        busy |= {request.holder for request in self.state.requests.values()}
        for name, holder in self.state.holders.items():
            if not holder.is_live and name not in busy:
                del self.state.holders[name]
                return True
        return False

    def expire(self, name: str) -> None:
        """A holder's lease ran out."""
        self.state.holders[name].is_live = False
        self.release(name, "its holder's lease lapsed")

    def release(self, holder: str, cause: str) -> None:
        """Refuses a holder's waiting requests; withdraws its permits, or marks them lost."""
        requests = self.state.requests.values()
        for request in [request for request in requests if request.holder == holder]:
            self.requests.drop(request, cause)
        permits = self.state.permits.items()
        for target, permit in [(t, permit) for t, permit in permits if permit.holder == holder]:
            if permit.state in REVERSIBLE_STATES:
                self.permits.withdraw(target, permit, TAKEN_BACK, cause)
            elif permit.state in (PermitState.OUT, PermitState.RETURNING):
                self.permits.move(target, permit, PermitState.LOST, cause)


class ExpiredLease(NamedTuple):
    """A lease that ran out, of a `holder` or a `director`."""

    role: str
    name: str
    incarnation: int


class LeaseExpiry:
    """Leases that ran out, as the leader's entries declare them."""

    def __init__(
        self, state: LedgerState, directors: DirectorLeases, holders: HolderLeases
    ) -> None:
        """Ends leases of `directors` and `holders`."""
        self.state = state
        self.directors = directors
        self.holders = holders

    def expire(self, command: ExpireLease) -> None:
        """Ends a lease, if it ran out by the log's time too."""
        state, name = self.state, command.name
        is_holder = command.role == HOLDER_ROLE
        leases = state.holders if is_holder else state.directors
        lease: Holder | Director | None = leases.get(name)
        if lease is None or lease.incarnation != command.incarnation or not lease.is_live:
            raise EntryRejectedError(
                f"{command.role} {name} has no lease of incarnation {command.incarnation}"
            )
        if not is_holder and name in state.aggregated_directors:
            raise EntryRejectedError(f"{name} is behind observers")
        due = lease.lease_until + state.rules.drift_allowance
        if state.now < due:
            raise EntryRejectedError(f"the lease of {name} ends at {due}, and it is {state.now}")
        if is_holder:
            self.holders.expire(name)
        else:
            self.directors.expire(name)

    def expired(self) -> Iterator[ExpiredLease]:
        """Leases that ran out, for the leader to put their entries."""
        state = self.state
        latest = state.now - state.rules.drift_allowance
        for name, holder in state.holders.items():
            if holder.is_live and holder.lease_until <= latest:
                yield ExpiredLease(HOLDER_ROLE, name, holder.incarnation)
        for name, director in state.directors.items():
            is_due = director.is_live and director.lease_until <= latest
            if is_due and name not in state.aggregated_directors:
                yield ExpiredLease(DIRECTOR_ROLE, name, director.incarnation)


def is_over(known: Holder | Director, incarnation: int) -> bool:
    """Whether an incarnation is older than the known one, or its lease has run out."""
    if incarnation == known.incarnation:
        return not known.is_live
    return incarnation < known.incarnation
