"""Chooses which directors are changed next, and how many at a time."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from ironfall.rollout.canary_analysis import CanaryAnalysis
from ironfall.rollout.fleet_view import BudgetView, DirectorView, FleetView
from ironfall.rollout.plan import RolloutPlan

UNLIMITED = 1 << 30
MIN_ZONE_BASELINE = 3  # directors of a zone that are left in service for comparison
MIN_CANARY_STAGE = 2  # directors
NO_BUDGET = BudgetView(limit=1, unplanned=0, out=0)


@dataclass
class Wave:
    """Directors that are changed and analysed together."""

    names: list[str]
    number: int
    analysis: CanaryAnalysis
    began_at: int = 0  # ticks; 0 until the analysis begins


def is_changed(plan: RolloutPlan, director: DirectorView) -> bool:
    """Returns whether a director is live with the target version."""
    return director.is_live and director.version == plan.target_version


class WavePlanner:
    """Orders directors and sizes waves by the ledger's budgets."""

    def __init__(self, plan: RolloutPlan) -> None:
        self.plan = plan
        self.size_limit = UNLIMITED  # lowered if the ledger can never grant as many together

    def order(self, view: FleetView) -> list[str]:
        """Returns all directors, alternating between zones, and by a hash within each.

        The hash makes the order independent of naming schemes, and the same for every process that
        resumes the rollout.
        """
        zones: dict[str, list[str]] = {}
        for name in sorted(view.directors, key=self._hash):
            zones.setdefault(view.directors[name].zone, []).append(name)
        ranked = [
            (rank, self._hash(zone), name)
            for zone, names in zones.items()
            for rank, name in enumerate(names)
        ]
        return [name for _, _, name in sorted(ranked)]

    def _hash(self, name: str) -> bytes:
        return hashlib.sha256(f"{self.plan.name} {name}".encode()).digest()

    def max_out(self, view: FleetView) -> int:
        """Returns how many directors the budgets allow out at once; at least one."""
        by_zone = sum(
            max(0, budget.limit - budget.unplanned)
            for scope, budget in view.budgets.items()
            if scope != "directors"
        )
        overall = view.budgets.get("directors", NO_BUDGET)
        return max(1, min(by_zone, overall.limit - overall.unplanned, self.size_limit))

    def canary_stage(self, view: FleetView) -> int:
        """Returns how many directors must be confirmed before waves may overlap."""
        share = int(len(view.directors) * self.plan.canary_share)
        return max(MIN_CANARY_STAGE, min(share, 1 + self.max_out(view)))

    def fit(self, view: FleetView, names: Iterable[str], limit: int, free_only: bool) -> list[str]:
        """Returns the first of `names` that the budgets allow out together, at most `limit`.

        Args:
            view: The ledger's view.
            names: Candidates in order of preference.
            limit: The maximum number to return.
            free_only: Whether to count only the budget that is free now, or also what planned work
                uses.
        """
        room = {
            scope: budget.limit - (budget.out if free_only else budget.unplanned)
            for scope, budget in view.budgets.items()
        }
        selected: list[str] = []
        for name in names:
            zone = view.directors[name].zone
            scopes = ["directors", f"directors-zone {zone}"]
            # One director of a halted zone would delay its whole wave.
            is_halted = f"zone {zone}" in view.halts
            has_room = all(room.get(scope, 0) > 0 for scope in scopes)
            if len(selected) < limit and not is_halted and has_room:
                selected.append(name)
                for scope in scopes:
                    room[scope] -= 1
        return selected

    def remaining(self, view: FleetView) -> list[str]:
        """Returns the live directors of other versions without an open permit, in order."""
        return [
            name
            for name in self.order(view)
            if view.directors[name].is_live
            and view.directors[name].version != self.plan.target_version
            and name not in view.permits
        ]

    def comparable(
        self, view: FleetView, candidates: list[str], unconfirmed: set[str]
    ) -> list[str]:
        """Returns the candidates whose zone keeps enough others in service to compare with."""
        in_service: dict[str, int] = {}
        total: dict[str, int] = {}
        for name, director in view.directors.items():
            zone = director.zone
            total[zone] = total.get(zone, 0) + 1
            if director.is_live and name not in unconfirmed and name not in view.permits:
                in_service[zone] = in_service.get(zone, 0) + 1
        selected = []
        for name in candidates:
            zone = view.directors[name].zone
            if in_service.get(zone, 0) > min(MIN_ZONE_BASELINE, total[zone] - 1):
                in_service[zone] -= 1
                selected.append(name)
        return selected
