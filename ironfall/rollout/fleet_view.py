"""The part of the ledger's inspection that a rollout reads, as typed records."""

from dataclasses import dataclass
from typing import Any

from ironfall.rollout.canary_analysis import StatusSample

MILLION = 1_000_000
MAX_QUEUE_SECONDS = 5.0  # longer queues count as this
DIRECTOR_PREFIX = "director/"


@dataclass(frozen=True, slots=True)
class DirectorView:
    """A director's state in the ledger, with its latest status report."""

    is_live: bool
    incarnation: int
    version: str
    zone: str
    sample: StatusSample


@dataclass(frozen=True, slots=True)
class PermitView:
    """An open permit; `since` is when it entered its state, `token` fences the holder's orders."""

    holder: str
    release: str
    state: str
    token: int
    since: int
    is_recalled: bool
    incarnation_before: int  # the director's incarnation when it was taken out of service


@dataclass(frozen=True, slots=True)
class RequestView:
    """A waiting permit request: its directors, and the ledger time since when it waits."""

    directors: list[str]
    since: int


@dataclass(frozen=True, slots=True)
class HaltView:
    """A halted scope."""

    by: str
    reason: str
    is_automatic: bool  # lifted by the ledger itself after recovery


@dataclass(frozen=True, slots=True)
class BudgetView:
    """How many directors of a scope may be out, are out unplanned, and are out in total."""

    limit: int
    unplanned: int
    out: int


@dataclass(frozen=True, slots=True)
class FleetView:
    """The ledger at one moment. Permits are keyed by director name, requests by request name."""

    now: int  # ticks of a tenth of a millisecond of the ledger's time
    directors: dict[str, DirectorView]
    permits: dict[str, PermitView]
    requests: dict[str, RequestView]
    halts: dict[str, HaltView]
    budgets: dict[str, BudgetView]


def read_fleet_view(inspected: dict[str, Any], entries_per_second: int) -> FleetView:
    """Converts the answer to a ledger inspection.

    Args:
        inspected: The answer, with the field names of the wire.
        entries_per_second: The rate of one channel, to convert queued entries to seconds.
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
        incarnation_before=permit["before"],
    )
