"""Feeds the status reports of each second to the analyses of unconfirmed waves."""

from collections.abc import Iterable

from ironfall.rollout.canary_analysis import StatusSample
from ironfall.rollout.director_tracker import DirectorTracker
from ironfall.rollout.fleet_view import FleetView
from ironfall.rollout.plan import RolloutPlan
from ironfall.rollout.wave_planner import Wave, is_changed

MIN_BASELINE = 20  # directors of the former version; with fewer, confirmed ones are added
MIN_ZONE_BASELINE = 4  # the same within a zone


class WaveObserver:
    """Selects the reports that count for a wave, and the baseline they are compared with."""

    def __init__(self, plan: RolloutPlan, tracker: DirectorTracker) -> None:
        self.plan = plan
        self.tracker = tracker

    def is_incomplete(self, view: FleetView, wave: Wave, samples: dict[str, StatusSample]) -> bool:
        """Returns whether any director of a wave is still to be changed."""
        if any(
            name in samples and not is_changed(self.plan, view.directors[name])
            for name in wave.names
        ):
            return True
        requested = {name for request in view.requests.values() for name in request.directors}
        return any(name in view.permits or name in requested for name in wave.names)

    def observe(
        self,
        view: FleetView,
        wave: Wave,
        samples: dict[str, StatusSample],
        baseline: list[str],
    ) -> None:
        """Feeds this second's reports to a wave's analysis, without those of unsettled canaries."""
        settled = [
            name
            for name in wave.names
            if name in self.tracker.up_since
            and view.now - self.tracker.up_since[name][1] >= self.plan.settle_time
        ]
        counted = {
            name: sample
            for name, sample in samples.items()
            if name not in wave.names or name in settled
        }
        wave.analysis.observe(counted, wave.names, baseline)

    def baseline(
        self,
        view: FleetView,
        reporting: Iterable[str],
        unconfirmed: set[str],
        confirmed: set[str],
    ) -> list[str]:
        """Returns directors of the former version and, if these are too few, confirmed ones."""
        reporting = list(reporting)
        former = [
            name
            for name in reporting
            if name not in unconfirmed and view.directors[name].version != self.plan.target_version
        ]
        by_zone: dict[str, int] = {}
        for name in former:
            zone = view.directors[name].zone
            by_zone[zone] = by_zone.get(zone, 0) + 1
        added = [
            name
            for name in reporting
            if name in confirmed
            and (
                len(former) < MIN_BASELINE
                or by_zone.get(view.directors[name].zone, 0) < MIN_ZONE_BASELINE
            )
        ]
        return former + added
