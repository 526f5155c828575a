"""Detection of harm that the target version does."""

from ironfall.rollout.actions import RolloutActions
from ironfall.rollout.canary_analysis import Verdict
from ironfall.rollout.director_tracker import DirectorTracker
from ironfall.rollout.fleet_view import FleetView
from ironfall.rollout.plan import RolloutPlan
from ironfall.rollout.wave_planner import Wave

MAX_DUPLICATES = 2  # observations of duplicate processes of one director that count as harm


class HarmDetector:
    """Checks each second for late starts, deaths, wrong versions, verdicts and duplicates."""

    def __init__(
        self, plan: RolloutPlan, holder: str, tracker: DirectorTracker, actions: RolloutActions
    ) -> None:
        self.plan = plan
        self.holder = holder
        self.tracker = tracker
        self.actions = actions
        self.query_count = 0  # queries for running processes, made to one director at a time

    def find(self, view: FleetView, waves: list[Wave]) -> str:
        """Returns a description of the first harm found, empty if there is none."""
        return (
            self._late_start(view)
            or self._deaths()
            or self._wave_harm(view, waves)
            or self._duplicate_process(view, waves)
        )

    def _late_start(self, view: FleetView) -> str:
        for name, permit in view.permits.items():
            is_forward = permit.holder == self.holder and permit.release == self.plan.name
            if not is_forward or permit.is_recalled:
                continue
            if self.tracker.is_overdue(view, name, permit, self.plan.start_timeout):
                return f"{name} never came up"
        return ""

    def _deaths(self) -> str:
        for name, count in self.tracker.deaths.items():
            if count >= self.plan.max_deaths:
                return f"{name} died {count} times"
        if self.tracker.shows_excess_deaths:
            total = sum(self.tracker.deaths.values())
            return f"{total} deaths with the new version, few without"
        return ""

    def _wave_harm(self, view: FleetView, waves: list[Wave]) -> str:
        for wave in waves:
            for name in wave.names:
                if reason := self._director_harm(view, name):
                    return reason
            verdict, reason = wave.analysis.verdict()
            if verdict is Verdict.HARM:
                return reason
        return ""

    def _director_harm(self, view: FleetView, name: str) -> str:
        director = view.directors.get(name)
        if name in view.permits or director is None or name not in self.tracker.up_since:
            return ""
        if director.is_live and director.version != self.plan.target_version:
            return f"{name} runs {director.version or 'no version'}, older than agreed"
        if self.tracker.duplicates.get(name, 0) >= MAX_DUPLICATES:
            return f"{name} is up twice"
        return ""

    def _duplicate_process(self, view: FleetView, waves: list[Wave]) -> str:
        """Queries one canary per second in turn, since a query may run a command at the site."""
        canaries = [
            name
            for wave in waves
            for name in wave.names
            if name in self.tracker.up_since and name not in view.permits
        ]
        if not canaries:
            return ""
        self.query_count += 1
        name = canaries[self.query_count % len(canaries)]
        try:
            versions = self.actions.running_versions(name)
        except OSError as cause:
            self.actions.log_event("running versions unknown", director=name, why=str(cause))
            return ""
        return f"{name} is up twice" if len(versions) > 1 else ""
