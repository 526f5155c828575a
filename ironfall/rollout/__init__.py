"""Rollouts of directors to a new version: waves, canary analysis, rollback.

`Rollout.step(FleetView)` is called each second with the ledger's current view and acts through
`RolloutActions`. `RolloutRunner` drives it against real coordinators. docs/releases.md describes
the states and how a rollout is rolled back.
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
