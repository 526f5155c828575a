"""Takes a director through the states of its permit: drain, stop, start, return."""

from ironfall.rollout.actions import RolloutActions
from ironfall.rollout.director_tracker import OUT_STATES, DirectorTracker
from ironfall.rollout.fleet_view import FleetView, PermitView
from ironfall.rollout.plan import RolloutPlan

ROLLBACK_START_TIMEOUTS = 3  # start timeouts after which a rolled-back director counts as stuck


class PermitSteps:
    """Takes the next step of a permit in each of its states; a failed step is repeated."""

    def __init__(
        self, plan: RolloutPlan, actions: RolloutActions, tracker: DirectorTracker
    ) -> None:
        self.plan = plan
        self.actions = actions
        self.tracker = tracker

    def advance(
        self, view: FleetView, name: str, permit: PermitView, is_rolling_back: bool
    ) -> None:
        """Takes the next step of one permit.

        Raises:
            OSError: the coordinators or the site did not answer.
        """
        token = permit.token
        if permit.state == "granted":
            if token := self.actions.advance_permit("drain", name, token):
                self.actions.set_leaving(name, True, token)
        elif permit.state == "draining":
            self.actions.set_leaving(name, True, token)
        elif permit.state == "undoing":
            self.actions.set_leaving(name, False, token)
        elif permit.state == "lost":
            self.actions.adopt_permit(name)
        elif permit.state == "empty":
            # The ledger refuses because of a halt, a withdrawn confirmation or a full budget, and
            # then advances the permit itself.
            if token := self.actions.advance_permit("out", name, token):
                self._change(view, name, permit, token, is_rolling_back)
        elif permit.state in OUT_STATES:
            self._change(view, name, permit, token, is_rolling_back)

    def _change(
        self, view: FleetView, name: str, permit: PermitView, token: int, is_rolling_back: bool
    ) -> None:
        """Installs the version that a director is to run, and returns its permit."""
        wants_former = is_rolling_back or permit.release != self.plan.name
        versions = self.actions.running_versions(name)
        target = self._target(permit, versions, is_rolling_back, wants_former)
        is_ambiguous = target == self.plan.former_version and len(versions) > 1
        if target not in versions or is_ambiguous:
            self.actions.install_version(name, target, token)
        if permit.state != "returning":
            token = self.actions.advance_permit("back", name, token) or token
        self.actions.set_leaving(name, False, token)
        if wants_former and permit.state != "empty":
            self._halt_if_stuck(view, name, permit)

    def _target(
        self, permit: PermitView, versions: list[str], is_rolling_back: bool, wants_former: bool
    ) -> str:
        if permit.is_recalled and not is_rolling_back:
            # A director that still runs is left as it is; a stopped one gets the former version.
            return versions[0] if versions else self.plan.former_version
        return self.plan.former_version if wants_former else self.plan.target_version

    def _halt_if_stuck(self, view: FleetView, name: str, permit: PermitView) -> None:
        limit = ROLLBACK_START_TIMEOUTS * self.plan.start_timeout
        scope = self.plan.rollback_scope
        if self.tracker.is_overdue(view, name, permit, limit) and scope not in view.halts:
            reason = f"{name} does not come up with {self.plan.former_version} either"
            self.actions.halt(scope, reason)
