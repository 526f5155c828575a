"""One rollout of directors: waves forward, a verdict on each, and waves back.

Each step derives from the ledger and from what directors report. The remaining state (which waves
are being analysed, and what was observed) is in memory only: a process that resumes the rollout
analyses again, and takes as confirmed only the changed directors that exceed the limit on
unconfirmed ones.
"""

import math

from ironfall.rollout.actions import RolloutActions
from ironfall.rollout.canary_analysis import CanaryAnalysis, StatusSample, Verdict
from ironfall.rollout.director_tracker import DirectorTracker
from ironfall.rollout.fleet_view import DIRECTOR_PREFIX, FleetView, PermitView
from ironfall.rollout.harm_detection import HarmDetector
from ironfall.rollout.permit_steps import PermitSteps
from ironfall.rollout.plan import RolloutPlan
from ironfall.rollout.states import Direction, RolloutState
from ironfall.rollout.wave_observer import WaveObserver
from ironfall.rollout.wave_planner import Wave, WavePlanner, is_changed

MAX_FAILURES = 3  # of permit steps in one second, after which all others are assumed to fail too
MAX_ROLLBACK_ATTEMPTS = 3  # for one director; one that never drains is left to an operator
MIN_REQUEST_DIVISOR = 4  # a request is for at least a quarter of the directors that may be out
MAX_NAMES_SHOWN = 3


class Rollout:
    """A rollout's state machine; `step` is called each second with the ledger's view."""

    def __init__(self, plan: RolloutPlan, holder: str, actions: RolloutActions) -> None:
        """`holder` owns the permits and requests in the ledger; it is the same after a restart."""
        self.plan = plan
        self.holder = holder
        self.actions = actions
        self.planner = WavePlanner(plan)
        self.tracker = DirectorTracker(plan, holder)
        self.detector = HarmDetector(plan, holder, self.tracker, actions)
        self.observer = WaveObserver(plan, self.tracker)
        self.permit_steps = PermitSteps(plan, actions, self.tracker)
        self.waves: list[Wave] = []  # requested and not yet confirmed, the oldest first
        self.confirmed: set[str] = set()
        self.rollback_attempts: dict[str, int] = {}
        self.wave_count = 0
        self.held_wave = 0  # number of the wave whose analysis ended without a verdict; 0 for none
        self.has_resumed = False
        self.state = RolloutState.WAITING
        self.reason = ""

    # Status for operators.

    def status(self, view: FleetView) -> dict[str, object]:
        """Returns the state, its reason, and the progress of each director."""
        requested = {name for request in view.requests.values() for name in request.directors}
        unconfirmed = self._unconfirmed()
        directors = {
            name: self._director_status(view, name, requested, unconfirmed)
            for name in view.directors
        }
        return {"state": self.state, "why": self.reason, "directors": directors}

    def _director_status(
        self, view: FleetView, name: str, requested: set[str], unconfirmed: set[str]
    ) -> str:
        permit = view.permits.get(name)
        if permit and permit.release in self.plan.releases:
            return "out" if permit.state in ("out", "returning", "lost") else "asked"
        if name in requested:
            return "asked"
        if view.directors[name].version != self.plan.target_version:
            return "waiting"
        return "up" if name in unconfirmed else "confirmed"

    # The step of each second.

    def step(self, view: FleetView) -> None:
        """Does what is due in this second.

        Raises:
            OSError: the coordinators or the site did not answer; the next step tries again.
        """
        if not self.has_resumed:
            self._resume(view)
        direction = self._read_direction(view)
        self.tracker.observe(view, self.waves)
        if direction is Direction.FORWARD and (reason := self.detector.find(view, self.waves)):
            self._halt_for_harm(reason)
            return
        failures = self._advance_permits(view, direction is Direction.BACK)
        if direction is Direction.BACK:
            self._roll_back(view)
        elif direction is Direction.FORWARD:
            self._analyse_waves(view)
            self._go_forward(view)
        if failures:
            raise failures[0]

    def _halt_for_harm(self, reason: str) -> None:
        # The harm report halts the scope at once, but that halt ends by itself after a quiet
        # period, which does not show that the harm is gone: the second entry replaces it by one
        # that only an operator lifts.
        self.actions.log_event("harm found", release=self.plan.name, reason=reason)
        self.actions.report_harm(self.plan.name, reason)
        self.actions.halt(self.plan.scope, f"harm: {reason}")
        self._set_state(RolloutState.ROLLING_BACK, reason)

    def _advance_permits(self, view: FleetView, is_rolling_back: bool) -> list[OSError]:
        """Advances own permits; an unreachable director does not delay the others."""
        failures: list[OSError] = []
        for name, permit in sorted(view.permits.items()):
            if permit.holder == self.holder and permit.release in self.plan.releases:
                try:
                    self._advance_permit(view, name, permit, is_rolling_back)
                except OSError as cause:
                    failures.append(cause)
            if len(failures) == MAX_FAILURES:
                break
        return failures

    def _advance_permit(
        self, view: FleetView, name: str, permit: PermitView, is_rolling_back: bool
    ) -> None:
        self.permit_steps.advance(view, name, permit, is_rolling_back)

    def _set_state(self, state: RolloutState, reason: str = "") -> None:
        changes_often = state in (RolloutState.GOING_ON, RolloutState.ROLLING_BACK)
        if state != self.state or (reason != self.reason and not changes_often):
            self.actions.log_event("release", name=self.plan.name, state=state, why=reason)
        self.state = state
        self.reason = reason

    def _read_direction(self, view: FleetView) -> Direction:
        """Reads the halt of the rollout's scope: `harm` or `back` asks for a rollback."""
        halt = view.halts.get(self.plan.scope)
        if halt is None:
            self._confirm_held_wave()
            return Direction.FORWARD
        if halt.reason.startswith(("harm", "back")):
            if halt.is_automatic:
                # The process that found the harm died before it made the halt permanent.
                self.actions.halt(self.plan.scope, halt.reason)
            self._discard_waves()
            self._set_state(RolloutState.ROLLING_BACK, halt.reason)
            return Direction.BACK
        self._set_state(RolloutState.HALTED, f"{halt.by}: {halt.reason}")
        return Direction.HALTED

    def _confirm_held_wave(self) -> None:
        """Confirms the wave that was held without a verdict, since an operator lifted the halt."""
        for wave in [wave for wave in self.waves if wave.number == self.held_wave]:
            self.waves.remove(wave)
            self._confirm(wave, "an operator's word")
        self.held_wave = 0

    def _discard_waves(self) -> None:
        """Discards all waves for a rollback; if its halt is lifted, all are analysed again."""
        self.waves = []
        self.confirmed = set()
        self.has_resumed = False
        self.tracker.reset()

    def _resume(self, view: FleetView) -> None:
        """Resumes the work of a former process.

        That process kept to the limit on unconfirmed directors: all changed directors beyond the
        limit must have been confirmed and count as such, and the last ones in the order are
        analysed again.
        """
        self.has_resumed = True
        self.wave_count += 1
        up = [name for name in self.planner.order(view) if self._is_changed(view, name)]
        under_way = [name for name, permit in view.permits.items() if self._is_forward(permit)]
        changed = len(up) + len(under_way)
        confirmed_count = 0
        if changed > self.planner.canary_stage(view):
            confirmed_count = max(
                0, changed - self.plan.max_waves_ahead * self.planner.max_out(view)
            )
        self.confirmed = set(up[:confirmed_count])
        if unconfirmed := up[confirmed_count:] + under_way:
            self.waves = [self._new_wave(unconfirmed)]
        for name in up:
            self.tracker.up_since[name] = view.directors[name].incarnation, view.now

    def _new_wave(self, names: list[str]) -> Wave:
        self.wave_count += 1
        # The shares of all waves sum to the whole error level, whatever their number.
        share = 6 / (math.pi * self.wave_count) ** 2
        analysis = CanaryAnalysis(self.plan.error_level * share, self.plan.harm_thresholds)
        return Wave(names, self.wave_count, analysis)

    def _is_changed(self, view: FleetView, name: str) -> bool:
        return is_changed(self.plan, view.directors[name])

    def _is_forward(self, permit: PermitView) -> bool:
        return permit.holder == self.holder and permit.release == self.plan.name

    def _unconfirmed(self) -> set[str]:
        return {name for wave in self.waves for name in wave.names}

    # Permit requests for the target version.

    def _go_forward(self, view: FleetView) -> None:
        under_way = {name for name, permit in view.permits.items() if self._is_forward(permit)}
        own_requests = self._own_requests(view)
        requested = {name for request in own_requests for name in view.requests[request].directors}
        self._adopt_untracked(view, under_way | requested)
        remaining = self.planner.remaining(view)
        unconfirmed = self._unconfirmed()  # includes what is dropped below, until the next second
        self._drop_returned(remaining, requested)
        if self._shrink_request(view, is_rolling_back=False) or requested:
            return
        changed = sum(self._is_changed(view, name) for name in view.directors)
        if not remaining:
            self._finish(view, changed)
            return
        if halt := view.halts.get("all"):
            self._set_state(RolloutState.HALTED, halt.reason)
            return
        self._set_state(RolloutState.GOING_ON, f"{changed} of {len(view.directors)} changed")
        self._request_wave(view, remaining, unconfirmed, bool(under_way))

    def _adopt_untracked(self, view: FleetView, active: set[str]) -> None:
        """Makes a wave of changed or requested directors that are in none.

        Either the answer to a request was lost, or a director started with the target version
        without a permit.
        """
        tracked = self._unconfirmed() | self.confirmed
        untracked = [
            name
            for name in self.planner.order(view)
            if name not in tracked and (name in active or self._is_changed(view, name))
        ]
        if untracked:
            self.waves.append(self._new_wave(untracked))

    def _drop_returned(self, remaining: list[str], requested: set[str]) -> None:
        """Removes from waves the directors whose request was withdrawn or refused."""
        for wave in self.waves:
            returned = [name for name in wave.names if name in remaining and name not in requested]
            if returned:
                wave.names = [name for name in wave.names if name not in returned]
        self.waves = [wave for wave in self.waves if wave.names]

    def _finish(self, view: FleetView, changed: int) -> None:
        is_out = any(
            permit.release == self.plan.name
            or (view.directors[name].is_live and not self._is_changed(view, name))
            for name, permit in view.permits.items()
        )
        if self.waves or is_out:
            return
        missing = sum(not director.is_live for director in view.directors.values())
        state = RolloutState.DONE if changed else RolloutState.WAITING
        self._set_state(state, f"{missing} are not heard" if missing else "")

    def _request_wave(
        self, view: FleetView, remaining: list[str], unconfirmed: set[str], is_under_way: bool
    ) -> None:
        stage, max_out = self.planner.canary_stage(view), self.planner.max_out(view)
        is_canary_stage = len(self.confirmed) < stage
        size = self._wave_size(stage, max_out, unconfirmed)
        if (self.waves and is_canary_stage) or size < 1:
            return
        # A request is granted whole or not at all, so it waits until there is room for enough.
        worthwhile = max_out // MIN_REQUEST_DIVISOR
        if not is_canary_stage and size < min(len(remaining), worthwhile):
            return
        candidates = self.planner.comparable(view, remaining, unconfirmed)
        free_only = not is_canary_stage and is_under_way
        names = self.planner.fit(view, candidates, size, free_only)
        if not is_canary_stage and len(names) < min(len(remaining), size, max(1, worthwhile)):
            return
        if names:
            self._request(names, self.plan.name)
            if self.state == RolloutState.GOING_ON:
                self.waves.append(self._new_wave(names))

    def _wave_size(self, stage: int, max_out: int, unconfirmed: set[str]) -> int:
        if not self.confirmed:
            return 1
        started = len(self.confirmed | unconfirmed)
        if started < stage or len(self.confirmed) < stage:
            return stage - started
        return min(max_out, self.plan.max_waves_ahead * max_out - len(unconfirmed))

    def _own_requests(self, view: FleetView) -> list[str]:
        return [request for request in view.requests if request.startswith(f"{self.holder}/")]

    def _request(self, names: list[str], release: str) -> None:
        targets = [f"{DIRECTOR_PREFIX}{name}" for name in names]
        refusal = self.actions.request_permits(targets, self.plan.work_duration, release)
        if refusal.startswith("never") and len(names) > 1:
            self.planner.size_limit = (
                len(names) // 2
            )  # the remaining directors come with later waves
        if refusal:
            self._set_state(RolloutState.WAITING, refusal)

    def _shrink_request(self, view: FleetView, is_rolling_back: bool) -> bool:
        """Cancels a request that is obsolete, or that has waited too long for budget.

        The next request is limited to the budget that is free. Returns whether one was cancelled.
        """
        for request in self._own_requests(view):
            waiting = view.requests[request]
            names = waiting.directors
            is_obsolete = any(
                view.directors[name].is_live and self._is_changed(view, name) != is_rolling_back
                for name in names
            )
            if is_obsolete:
                self.actions.cancel_request(request)
                return True
            free = self.planner.fit(view, names, len(names), free_only=True)
            is_overdue = view.now - waiting.since >= self.plan.request_timeout
            if is_overdue and 0 < len(free) < len(names):
                self.actions.cancel_request(request)
                return True
        return False

    # Permit requests for the rollback.

    def _roll_back(self, view: FleetView) -> None:
        if self._shrink_request(view, is_rolling_back=True):
            return
        if self._own_requests(view) or self.plan.rollback_scope in view.halts:
            return
        changed = [
            name
            for name in self.planner.order(view)
            if self._is_changed(view, name) and name not in view.permits
        ]
        attempts = self.rollback_attempts
        stuck = [name for name in changed if attempts.get(name, 0) >= MAX_ROLLBACK_ATTEMPTS]
        names = [name for name in changed if name not in stuck]
        is_under_way = any(permit.holder == self.holder for permit in view.permits.values())
        if not names:
            self._finish_rollback(stuck, is_under_way)
            return
        max_out = self.planner.max_out(view)
        selected = self.planner.fit(view, names, max_out, free_only=is_under_way)
        if selected and len(selected) >= min(len(names), max(1, max_out // MIN_REQUEST_DIVISOR)):
            for name in selected:
                attempts[name] = attempts.get(name, 0) + 1
            self._request(selected, self.plan.rollback_name)

    def _finish_rollback(self, stuck: list[str], is_under_way: bool) -> None:
        note = ""
        if stuck:
            shown = ", ".join(stuck[:MAX_NAMES_SHOWN])
            note = f"; but {shown}: not drained in {MAX_ROLLBACK_ATTEMPTS} tries"
        state = RolloutState.ROLLED_BACK_PARTLY if stuck else RolloutState.ROLLED_BACK
        self._set_state(RolloutState.ROLLING_BACK if is_under_way else state, self.reason + note)

    # Analysis.

    def _analyse_waves(self, view: FleetView) -> None:
        samples = {
            name: director.sample
            for name, director in view.directors.items()
            if director.is_live and name not in view.permits
        }
        unconfirmed = self._unconfirmed()
        for wave in list(self.waves):
            if self.observer.is_incomplete(view, wave, samples):
                continue
            wave.began_at = wave.began_at or view.now
            baseline = self.observer.baseline(view, samples, unconfirmed, self.confirmed)
            self.observer.observe(view, wave, samples, baseline)
            if not self._conclude(view, wave, samples):
                return

    def _conclude(self, view: FleetView, wave: Wave, samples: dict[str, StatusSample]) -> bool:
        """Confirms or holds a wave by its verdict; returns whether to go on with the next wave."""
        verdict, reason = wave.analysis.verdict()
        missing = [name for name in wave.names if name not in samples]
        duration = view.now - wave.began_at
        is_canary_stage = len(self.confirmed) < self.planner.canary_stage(view)
        if is_canary_stage and duration < self.plan.min_analysis_time:
            return True
        # A minority of the wave that died and stays away does not delay it: the harm detector has
        # already counted those deaths.
        may_omit_missing = duration >= 2 * self.plan.start_timeout and 2 * len(missing) < len(
            wave.names
        )
        if verdict is Verdict.FINE and (not missing or may_omit_missing):
            wave.names = [name for name in wave.names if name in samples]
            self.waves.remove(wave)
            self._confirm(wave, reason)
        elif duration >= self.plan.analysis_timeout and verdict is not Verdict.HARM:
            self._hold(wave, missing, reason)
            return False
        return True

    def _hold(self, wave: Wave, missing: list[str], reason: str) -> None:
        """Halts the rollout because a wave got no verdict in time.

        An operator lifts the halt to go on, or halts again with reason `back: ...` to roll back.
        """
        if missing:
            reason = f"{', '.join(missing[:MAX_NAMES_SHOWN])} not up; {reason}"
        self.actions.halt(self.plan.scope, f"held: wave {wave.number}: {reason}")
        self.held_wave = wave.number

    def _confirm(self, wave: Wave, reason: str) -> None:
        self.confirmed |= set(wave.names)
        self.actions.log_event(
            "wave confirmed",
            release=self.plan.name,
            wave=wave.number,
            directors=len(wave.names),
            why=reason,
        )
