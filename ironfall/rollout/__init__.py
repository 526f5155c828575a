"""Rollouts of directors to a new version: waves, canary analysis, rollback.

`Rollout.step(FleetView)` is called each second with what the ledger shows; it acts by
`RolloutActions`. `RolloutRunner` does that against real coordinators. docs/releases.md has the
states and the ways back.
"""

from ironfall.rollout.actions import RolloutActions
from ironfall.rollout.canary_analysis import CanaryAnalysis, StatusSample, Verdict
from ironfall.rollout.fleet_view import FleetView, read_fleet_view
from ironfall.rollout.plan import RolloutPlan
from ironfall.rollout.rollout import Rollout
from ironfall.rollout.states import RolloutState

__all__ = [
    "CanaryAnalysis",
    "FleetView",
    "Rollout",
    "RolloutActions",
    "RolloutPlan",
    "RolloutState",
    "StatusSample",
    "Verdict",
    "read_fleet_view",
]
