"""Tracks each director's starts and unplanned deaths during a rollout, and lost zones."""

from ironfall.rollout.fleet_view import FleetView, PermitView
from ironfall.rollout.plan import SECOND, RolloutPlan
from ironfall.rollout.wave_planner import Wave, is_changed

OUT_STATES = ("out", "returning")
# Alternative hypotheses, weighted equally: how many times higher the odds of a death are with the
# target version.
DEATH_ODDS = (5.0, 50.0, 500.0)
DEATH_ERROR_LEVEL = 2e-3  # probability that random deaths count as harm, over a whole rollout


class DirectorTracker:
    """Observes the ledger's view each second; takes no actions itself."""

    def __init__(self, plan: RolloutPlan, holder: str) -> None:
        self.plan = plan
        self.holder = holder
        self.last_reports: dict[str, tuple[int, int, int]] = {}  # incarnation, report number, when
        self.at_risk: dict[str, tuple[int, bool]] = {}  # incarnation, has the target version
        self.lost_zones: dict[str, int] = {}  # when most of the zone's directors were last not live
        self.reset()

    def reset(self) -> None:
        """Discards observations of the target version, for a rollback or a new attempt."""
        self.taken_out: set[str] = set()
        # Of changed directors: the incarnation, and when it was first seen up.
        self.up_since: dict[str, tuple[int, int]] = {}
        self.duplicates: dict[str, int] = {}  # how often two incarnations reported within a second
        self.deaths: dict[str, int] = {}  # with the target version
        self.evidence = [1.0] * len(DEATH_ODDS)

    def observe(self, view: FleetView, waves: list[Wave]) -> None:
        """Takes this second's view of the ledger."""
        self._observe_zones(view)
        self._observe_reports(view)
        self._observe_permits(view)
        self._observe_starts(view, waves)
        self._observe_deaths(view)

    def _observe_zones(self, view: FleetView) -> None:
        counts: dict[str, list[int]] = {}  # not live, live
        for name, director in view.directors.items():
            if name not in view.permits:
                counts.setdefault(director.zone, [0, 0])[director.is_live] += 1
        for zone, (gone, live) in counts.items():
            if live < gone:
                self.lost_zones[zone] = view.now

    def _observe_reports(self, view: FleetView) -> None:
        for name, director in view.directors.items():
            last = self.last_reports.get(name)
            if (
                last
                and director.incarnation > last[0]
                and name not in view.permits
                and view.now - last[2] <= SECOND
            ):
                # A restarted director does not report for a while, so the older process still runs.
                self.duplicates[name] = self.duplicates.get(name, 0) + 1
            current = (director.incarnation, director.sample.number)
            if last is None or current != last[:2]:
                self.last_reports[name] = (*current, view.now)

    def _observe_permits(self, view: FleetView) -> None:
        for name, permit in view.permits.items():
            if self._is_forward(permit) and permit.state in OUT_STATES:
                if permit.is_recalled:
                    self.taken_out.discard(name)
                else:
                    self.taken_out.add(name)

    def _is_forward(self, permit: PermitView) -> bool:
        return permit.holder == self.holder and permit.release == self.plan.name

    def _observe_starts(self, view: FleetView, waves: list[Wave]) -> None:
        for name in [name for wave in waves for name in wave.names]:
            director = view.directors.get(name)
            if director is None or name in view.permits or not director.is_live:
                continue
            if name not in self.taken_out and not is_changed(self.plan, director):
                continue
            last = self.up_since.get(name)
            if last is None or last[0] != director.incarnation:
                self.up_since[name] = director.incarnation, view.now

    def _observe_deaths(self, view: FleetView) -> None:
        """Updates the evidence with each unplanned death, by the version of the director.

        Under the null hypothesis a death strikes any live director of the zone alike. The
        likelihood ratios of the alternatives `DEATH_ODDS` form an e-value. The loss of a whole zone
        is no evidence.
        """
        alive: dict[str, list[int]] = {}  # by zone: former, target version
        for name, (_, has_target) in self.at_risk.items():
            if name not in view.permits:
                alive.setdefault(view.directors[name].zone, [0, 0])[has_target] += 1
        for name, (incarnation, has_target) in list(self.at_risk.items()):
            director = view.directors[name]
            survived = director.is_live and director.incarnation == incarnation
            if name in view.permits or survived:
                continue
            former, changed = alive[director.zone]
            if former and changed:
                self._weigh_death(changed / (former + changed), has_target)
            alive[director.zone][has_target] -= 1
            self.deaths[name] = self.deaths.get(name, 0) + has_target
        self.at_risk = {
            name: (director.incarnation, director.version == self.plan.target_version)
            for name, director in view.directors.items()
            if director.is_live and name not in view.permits
        }

    def _weigh_death(self, share: float, has_target: bool) -> None:
        for n, odds in enumerate(DEATH_ODDS):
            share_at_odds = odds * share / (1 + (odds - 1) * share)
            self.evidence[n] *= (
                share_at_odds / share if has_target else (1 - share_at_odds) / (1 - share)
            )

    @property
    def shows_excess_deaths(self) -> bool:
        """Whether deaths with the target version are more frequent than chance explains."""
        return sum(self.evidence) / len(DEATH_ODDS) >= 1 / DEATH_ERROR_LEVEL

    def is_overdue(self, view: FleetView, name: str, permit: PermitView, limit: int) -> bool:
        """Returns whether a director has been out for `limit` ticks without a loss of its zone."""
        since = max(permit.since, self.lost_zones.get(view.directors[name].zone, 0))
        return permit.state in OUT_STATES and view.now - since >= limit
