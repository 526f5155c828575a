"""What became of each director during a rollout: its incarnations, its deaths, lost zones."""

from ironfall.rollout.fleet_view import FleetView, PermitView
from ironfall.rollout.plan import SECOND, RolloutPlan
from ironfall.rollout.wave_planner import Wave, is_changed

OUT_STATES = ("out", "returning")
# Alternatives for how much more deadly the target version is, mixed evenly.
DEATH_ODDS = (5.0, 50.0, 500.0)
DEATH_ERROR_LEVEL = 2e-3  # the probability that chance deaths look like harm, over all time


class DirectorTracker:
    """Follows the ledger's view from second to second; decides nothing."""

    def __init__(self, plan: RolloutPlan, holder: str) -> None:
        self.plan = plan
        self.holder = holder
        self.spoke: dict[str, tuple[int, int, int]] = {}  # incarnation, report number, when
        self.survivors: dict[str, tuple[int, bool]] = {}  # incarnation, has the target version
        self.lost_zones: dict[str, int] = {}  # zones of which most were gone: when last
        self.reset()

    def reset(self) -> None:
        """Forgets what was observed of the target version, for a rollback or a new attempt."""
        self.let_out: set[str] = set()
        self.up: dict[str, tuple[int, int]] = {}  # of changed directors: incarnation, since when
        self.duplicates: dict[str, int] = {}  # how often two incarnations spoke at once
        self.deaths: dict[str, int] = {}  # with the target version
        self.evidence = [1.0] * len(DEATH_ODDS)

    def observe(self, view: FleetView, waves: list[Wave]) -> None:
        """Takes the ledger's view of this second."""
        self._observe_zones(view)
        self._observe_reports(view)
        self._observe_permits(view)
        self._observe_starts(view, waves)
        self._observe_deaths(view)

    def _observe_zones(self, view: FleetView) -> None:
        counts: dict[str, list[int]] = {}  # gone and live
        for name, director in view.directors.items():
            if name not in view.permits:
                counts.setdefault(director.zone, [0, 0])[director.is_live] += 1
        for zone, (gone, live) in counts.items():
            if live < gone:
                self.lost_zones[zone] = view.now

    def _observe_reports(self, view: FleetView) -> None:
        for name, director in view.directors.items():
            before = self.spoke.get(name)
            if (
                before
                and director.incarnation > before[0]
                and name not in view.permits
                and view.now - before[2] <= SECOND
            ):
                # A director that died is silent before it returns: the older one still speaks.
                self.duplicates[name] = self.duplicates.get(name, 0) + 1
            current = (director.incarnation, director.sample.number)
            if before is None or current != before[:2]:
                self.spoke[name] = (*current, view.now)

    def _observe_permits(self, view: FleetView) -> None:
        for name, permit in view.permits.items():
            if self._is_forward(permit) and permit.state in OUT_STATES:
                if permit.is_recalled:
                    self.let_out.discard(name)
                else:
                    self.let_out.add(name)

    def _is_forward(self, permit: PermitView) -> bool:
        return permit.holder == self.holder and permit.release == self.plan.name

    def _observe_starts(self, view: FleetView, waves: list[Wave]) -> None:
        for name in [name for wave in waves for name in wave.names]:
            director = view.directors.get(name)
            if director is None or name in view.permits or not director.is_live:
                continue
            if name not in self.let_out and not is_changed(self.plan, director):
                continue
            last = self.up.get(name)
            if last is None or last[0] != director.incarnation:
                self.up[name] = director.incarnation, view.now

    def _observe_deaths(self, view: FleetView) -> None:
        """Weighs each unplanned death by which version died.

        A death falls upon one of the zone's survivors: the likelihood ratios of `DEATH_ODDS` form
        an e-value, and a zone that is lost whole tells nothing.
        """
        alive: dict[str, list[int]] = {}  # former and target version
        for name, (_, has_target) in self.survivors.items():
            if name not in view.permits:
                alive.setdefault(view.directors[name].zone, [0, 0])[has_target] += 1
        for name, (incarnation, has_target) in list(self.survivors.items()):
            director = view.directors[name]
            survived = director.is_live and director.incarnation == incarnation
            if name in view.permits or survived:
                continue
            former, changed = alive[director.zone]
            if former and changed:
                self._weigh_death(changed / (former + changed), has_target)
            alive[director.zone][has_target] -= 1
            self.deaths[name] = self.deaths.get(name, 0) + has_target
        self.survivors = {
            name: (director.incarnation, director.version == self.plan.target_version)
            for name, director in view.directors.items()
            if director.is_live and name not in view.permits
        }

    def _weigh_death(self, share: float, has_target: bool) -> None:
        for n, odds in enumerate(DEATH_ODDS):
            raised = odds * share / (1 + (odds - 1) * share)
            self.evidence[n] *= raised / share if has_target else (1 - raised) / (1 - share)

    @property
    def shows_deadly_version(self) -> bool:
        """Whether deaths fall upon the target version beyond chance."""
        return sum(self.evidence) / len(DEATH_ODDS) >= 1 / DEATH_ERROR_LEVEL

    def is_overdue(self, view: FleetView, name: str, permit: PermitView, limit: int) -> bool:
        """Returns whether a director should have come up, in a zone that stood all that time."""
        since = max(permit.since, self.lost_zones.get(view.directors[name].zone, 0))
        return permit.state in OUT_STATES and view.now - since >= limit
