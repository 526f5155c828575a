"""Leases of directors and of permit holders: acquisition, renewal and expiry."""

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
    """Leases of directors."""

    def __init__(
        self, state: LedgerState, permits: Permits, reports: Reports, zones: Zones
    ) -> None:
        """Takes the state whose directors, and dependent permits and zones, it changes."""
        self.state = state
        self.permits = permits
        self.reports = reports
        self.relief = reports.relief
        self.zones = zones

    def join(self, command: JoinDirector) -> dict[str, int]:
        """Acquires or renews a director's lease; returns when the lease ends."""
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
        if known and has_ended(known, incarnation):
            raise EntryRejectedError(f"incarnation {incarnation} of {name} is over")
        is_aggregated = name in self.state.aggregated_directors
        if known and incarnation == known.incarnation and is_aggregated:
            raise EntryRejectedError(f"incarnation {incarnation} of {name} is behind observers")
        limit = self.state.rules.directors
        if not known and len(self.state.directors) >= limit:
            raise EntryRejectedError(f"no more than {limit} directors are kept")

    def register(self, name: str, incarnation: int, zone: str, version: str) -> None:
        """Replaces a director's record for a new incarnation.

        The status of the former one is dropped, since its proxies must connect again.
        """
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
        """Ends a director's lease, and its confirmations of drains."""
        self.state.count_director(name, -1)
        self.state.directors[name].is_live = False
        self.state.count_director(name, 1)
        self.permits.revoke_confirmations(name)
        self.permits.check_all_drained()
        self.relief.relieve()


class HolderLeases:
    """Leases of permit holders, and the release of requests and permits when they end."""

    def __init__(self, state: LedgerState, permits: Permits, requests: PermitRequests) -> None:
        """Takes the state whose holders, and their requests and permits, it changes."""
        self.state = state
        self.permits = permits
        self.requests = requests

    def renew(self, command: RenewHolder) -> dict[str, int]:
        """Acquires or renews a holder's lease; returns when the lease ends."""
        state, name = self.state, command.name
        known = state.holders.get(name)
        if known and has_ended(known, command.incarnation):
            raise EntryRejectedError(f"incarnation {command.incarnation} of {name} is over")
        limit = state.rules.holders
        if not known and len(state.holders) >= limit and not self._evict_unused_holder():
            raise EntryRejectedError(f"no more than {limit} holders are kept")
        if not known or command.incarnation > known.incarnation:
            if known and known.is_live:
                self.release(name, "its holder came anew")
            state.holders[name] = Holder(command.incarnation)
        lease_until = state.now + state.rules.lease
        state.holders[name].lease_until = lease_until
        return {"until": lease_until}

    def _evict_unused_holder(self) -> bool:
        """Removes one holder without a lease, request or permit; returns whether there was one."""
        in_use = {permit.holder for permit in self.state.permits.values()}
        in_use |= {request.holder for request in self.state.requests.values()}
        for name, holder in self.state.holders.items():
            if not holder.is_live and name not in in_use:
                del self.state.holders[name]
                return True
        return False

    def expire(self, name: str) -> None:
        """Ends a holder's lease, and releases its requests and permits."""
        self.state.holders[name].is_live = False
        self.release(name, "its holder's lease lapsed")

    def release(self, holder: str, cause: str) -> None:
        """Refuses a holder's waiting requests; withdraws its permits, or marks them lost.

        Permits in a reversible state are withdrawn. The permit of a target that may have been
        stopped is lost: the target counts as out until it is seen in service.
        """
        requests = self.state.requests.values()
        for request in [request for request in requests if request.holder == holder]:
            self.requests.refuse(request, cause)
        permits = self.state.permits.items()
        for target, permit in [(t, permit) for t, permit in permits if permit.holder == holder]:
            if permit.state in REVERSIBLE_STATES:
                self.permits.withdraw(target, permit, TAKEN_BACK, cause)
            elif permit.state in (PermitState.OUT, PermitState.RETURNING):
                self.permits.move(target, permit, PermitState.LOST, cause)


class ExpiredLease(NamedTuple):
    """An expired lease; `role` is `holder` or `director`."""

    role: str
    name: str
    incarnation: int


class LeaseExpiry:
    """Finds expired leases, and ends those for which the leader appends an entry."""

    def __init__(
        self, state: LedgerState, directors: DirectorLeases, holders: HolderLeases
    ) -> None:
        """Takes the state with the leases; ends them through `directors` and `holders`."""
        self.state = state
        self.directors = directors
        self.holders = holders

    def expire(self, command: ExpireLease) -> None:
        """Ends a lease that has expired by the log's time.

        Raises `EntryRejectedError` if there is no such live lease, if the director's heartbeats go
        through aggregators, or if the lease has not expired.
        """
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
        expires_at = lease.lease_until + state.rules.drift_allowance
        if state.now < expires_at:
            raise EntryRejectedError(
                f"the lease of {name} ends at {expires_at}, and it is {state.now}"
            )
        if is_holder:
            self.holders.expire(name)
        else:
            self.directors.expire(name)

    def expired(self) -> Iterator[ExpiredLease]:
        """Yields the expired leases, for the leader to append an entry for each."""
        state = self.state
        latest_expired = state.now - state.rules.drift_allowance
        for name, holder in state.holders.items():
            if holder.is_live and holder.lease_until <= latest_expired:
                yield ExpiredLease(HOLDER_ROLE, name, holder.incarnation)
        for name, director in state.directors.items():
            is_expired = director.is_live and director.lease_until <= latest_expired
            if is_expired and name not in state.aggregated_directors:
                yield ExpiredLease(DIRECTOR_ROLE, name, director.incarnation)


def has_ended(known: Holder | Director, incarnation: int) -> bool:
    """Returns whether an incarnation is older than the known one, or its lease has ended."""
    if incarnation == known.incarnation:
        return not known.is_live
    return incarnation < known.incarnation
