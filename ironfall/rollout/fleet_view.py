"""What the ledger shows operators, as far as a rollout reads it."""

from dataclasses import dataclass
from typing import Any

from ironfall.rollout.canary_analysis import StatusSample

MILLION = 1_000_000
MAX_QUEUE_SECONDS = 5.0  # a longer queue counts as this much
DIRECTOR_PREFIX = "director/"


@dataclass(frozen=True, slots=True)
class DirectorView:
    """A director as the ledger knows it."""

    is_live: bool
    incarnation: int
    version: str
    zone: str
    sample: StatusSample


@dataclass(frozen=True, slots=True)
class PermitView:
    """An open permit. `since` is the ledger's time of its state; `token` fences its orders."""

    holder: str
    release: str
    state: str
    token: int
    since: int
    is_recalled: bool
    before: int  # the director's incarnation when it was let out


@dataclass(frozen=True, slots=True)
class RequestView:
    """A permit request that waits: its directors, and since when by the ledger's time."""

    directors: list[str]
    since: int


@dataclass(frozen=True, slots=True)
class HaltView:
    """A halted scope."""

    by: str
    reason: str
    is_automatic: bool  # it lifts itself after recovery


@dataclass(frozen=True, slots=True)
class BudgetView:
    """How many of a scope may be out, are out unplanned, and are out in all."""

    limit: int
    unplanned: int
    out: int


@dataclass(frozen=True, slots=True)
class FleetView:
    """The ledger at one moment. Permits and requests are keyed by director and by request."""

    now: int  # ticks of a tenth of a millisecond of the ledger's time
    directors: dict[str, DirectorView]
    permits: dict[str, PermitView]
    requests: dict[str, RequestView]
    halts: dict[str, HaltView]
    budgets: dict[str, BudgetView]


def read_fleet_view(inspected: dict[str, Any], entries_per_second: int) -> FleetView:
    """Reads what the ledger's inspection shows.

    Args:
        inspected: The ledger's answer, by its wire names.
        entries_per_second: The pace of one channel, to turn waiting entries into seconds.
    """
    return FleetView(
        now=inspected["now"],
        directors={
            name: _read_director(row, entries_per_second)
            for name, row in inspected["directors"].items()
        },
        permits={
            target.removeprefix(DIRECTOR_PREFIX): _read_permit(permit)
            for target, permit in inspected["permits"].items()
            if target.startswith(DIRECTOR_PREFIX)
        },
        requests={
            name: RequestView(_directors(request["units"]), request["since"])
            for name, request in inspected["asks"].items()
        },
        halts={
            scope: HaltView(halt["by"], halt["reason"], halt["own"])
            for scope, halt in inspected["halts"].items()
        },
        budgets={
            scope: BudgetView(limit, unplanned, out)
            for scope, (_, out, unplanned, limit) in inspected["scopes"].items()
            if scope.startswith("directors")
        },
    )


def _directors(targets: list[str]) -> list[str]:
    return [
        target.removeprefix(DIRECTOR_PREFIX)
        for target in targets
        if target.startswith(DIRECTOR_PREFIX)
    ]


def _read_director(row: list[Any], entries_per_second: int) -> DirectorView:
    is_live, incarnation, version, proxies, waiting, unassigned = row[:6]
    rejected, succeeded, zone, number = row[6:]
    figures = (
        rejected / MILLION,
        1 - succeeded / MILLION,
        min(1.0, unassigned / max(1, proxies)),
        min(MAX_QUEUE_SECONDS, waiting / entries_per_second),
    )
    sample = StatusSample(zone, incarnation, number, proxies, figures)
    return DirectorView(is_live, incarnation, version, zone, sample)


def _read_permit(permit: dict[str, Any]) -> PermitView:
    return PermitView(
        holder=permit["holder"],
        release=permit["release"],
        state=permit["state"],
        token=permit["token"],
        since=permit["since"],
        is_recalled=permit["recalled"] > 0,
        before=permit["before"],
    )
