"""Views of the ledger: for operators, and for the leader, which orders drains."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from ironfall.disruption.records import Director, Permit, PermitState
from ironfall.disruption.snapshot import HALT_FIELDS, PERMIT_FIELDS
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import host_target, is_host, target_name

READY = "ready"
LEAVING = "leaving"
STOPPED = "stopped"
STARTING = "starting"

_CONDITION_OF_STATE: dict[str, str] = {
    PermitState.DRAINING: LEAVING,
    PermitState.EMPTY: LEAVING,
    PermitState.OUT: STOPPED,
}


class DrainMarker(NamedTuple):
    """The condition ordered for a target, and the token of the order."""

    target: str
    condition: str
    token: int


def drain_markers(state: LedgerState) -> Iterator[DrainMarker]:
    """Yields the markers of open permits that are past `granted`, and of orphaned drains.

    Recalled permits come first, then lost ones, then the others by age; orphaned drains come last.
    The leader sends the markers to the registry and to the agents until the targets are in the
    ordered condition.
    """
    permits = sorted(state.permits.items(), key=lambda item: _marker_order(item[1]))
    for target, permit in permits:
        if permit.state is not PermitState.GRANTED:
            yield DrainMarker(target, _condition(state, target, permit), permit.token)
    for name in sorted(state.orphaned_drains):
        yield DrainMarker(host_target(name), READY, state.hosts[name].orphaned_drain)


def _marker_order(permit: Permit) -> tuple[bool, bool, int]:
    return not permit.recalled_at, permit.state is not PermitState.LOST, permit.grant_token


def _condition(state: LedgerState, target: str, permit: Permit) -> str:
    if permit.state is PermitState.OUT and permit.recalled_at:
        # A target that is still running must no longer be stopped; one that is stopped stays so
        # until its holder returns the permit.
        return LEAVING
    may_be_stopped = permit.state in (PermitState.RETURNING, PermitState.LOST)
    if may_be_stopped and is_host(target) and not _has_agent_acted(state, target, permit):
        # An order to stop may still be in transit to the agent, and only the agent can reject it.
        # The host is listed as ready only after its agent has acted on the newer token.
        return STARTING
    return _CONDITION_OF_STATE.get(permit.state, READY)


def _has_agent_acted(state: LedgerState, target: str, permit: Permit) -> bool:
    return state.hosts[target_name(target)].acted_token >= permit.token


def inspect(state: LedgerState) -> dict[str, Any]:
    """Returns the view of the ledger that operators get, as JSON values."""
    shown: dict[str, Any] = {
        "now": state.now,
        "index": state.index,
        "permits": {
            target: PERMIT_FIELDS.encode(permit) | {"confirms": len(permit.confirmed_by)}
            for target, permit in state.permits.items()
        },
        "asks": {
            request.id: {
                "units": request.targets,
                "since": request.requested_at,
                "short": request.lacking_scopes,
            }
            for request in state.requests.values()
        },
        "halts": {scope: HALT_FIELDS.encode(halt) for scope, halt in state.halts.items()},
        "directors": {name: _director_row(director) for name, director in state.directors.items()},
        "scopes": {
            scope: [count.total, count.out, count.unplanned, state.scopes.limit(scope)]
            for scope, count in state.scopes.counts.items()
        },
    }
    if state.zones:
        shown["zones"] = {
            name: [len(state.aggregated_by_zone.get(name, ())), zone.heard_at, zone.unknown_since]
            for name, zone in state.zones.items()
        }
    return shown


def _director_row(director: Director) -> list[Any]:
    return [
        director.is_live,
        director.incarnation,
        director.version,
        director.proxies,
        director.waiting_entries,
        director.unassigned_proxies,
        director.rejected_share,
        director.succeeded_share,
        director.zone,
        director.sequence,
    ]
