"""Runs a rollout against real coordinators: its lease, inspections and ledger entries."""

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import gevent

from ironfall.coordinator.client import CoordinatorAnswer, CoordinatorClient
from ironfall.rollout.fleet_view import DIRECTOR_PREFIX, FleetView, read_fleet_view
from ironfall.rollout.plan import SECOND, RolloutPlan
from ironfall.rollout.rollout import Rollout
from ironfall.rollout.states import RolloutState

STEP_SECONDS = 1.0  # interval of steps before jitter
MIN_TIMEOUT_SECONDS = 1.0
RENEWALS_PER_LEASE = 3
MAX_REASON_LENGTH = 250  # characters of an entry's reason
MAX_ERROR_LENGTH = 200  # characters of a logged error
FINAL_STATES = (RolloutState.DONE, RolloutState.ROLLED_BACK)


class SiteActions(Protocol):
    """How a site stops and starts its directors.

    Each call only issues an order, which is carried out asynchronously, so that no director delays
    the others. An order with an older token than the director's newest must have no effect
    (`ironfall.disruption.Fence`).
    """

    def set_leaving(self, director: str, is_leaving: bool, token: int) -> None:
        """Tells a director to drain its proxies and to report it in its status, or to stay."""
        ...

    def install_version(self, director: str, version: str, token: int) -> None:
        """Stops every process of a director, then starts one of this version."""
        ...

    def running_versions(self, director: str) -> list[str]:
        """Returns the version that each running process of the director was started with."""
        ...


class CoordinatorsUnavailableError(OSError):
    """No coordinator gave an answer; an entry may or may not have been applied.

    The next inspection of the ledger shows which.
    """


@dataclass(frozen=True)
class RunnerSettings:
    """Settings of the service that a rollout needs, with its clock and random source.

    Attributes:
        entries_per_second: The rate of one director's channel.
        lease: The duration of the rollout's lease as a permit holder, in ticks of 0.1 ms.
        chance: The random source for the jitter of steps.
        monotonic: The clock, in seconds.
    """

    entries_per_second: int
    lease: int
    chance: random.Random
    monotonic: Callable[[], float] = time.monotonic

    @property
    def renewal_seconds(self) -> float:
        """The interval of lease renewals."""
        return self.lease / SECOND / RENEWALS_PER_LEASE


class RolloutRunner:
    """Implements `RolloutActions` with the coordinators and the site.

    `step` does one second's work, `run` repeats it until the rollout has ended. A new runner with
    the same plan resumes the rollout of one that died.
    """

    def __init__(
        self,
        coordinators: CoordinatorClient,
        site: SiteActions,
        plan: RolloutPlan,
        settings: RunnerSettings,
        log: Any,
    ) -> None:
        self.coordinators = coordinators
        self.site = site
        self.settings = settings
        self.log = log
        self.name = plan.scope  # the holder of the rollout's permits
        # Increases with each start: microseconds since 1970.
        self.incarnation = time.time_ns() // 1000
        self.request_number = 0
        self.renewed_at = -math.inf
        self.timeout = max(MIN_TIMEOUT_SECONDS, settings.renewal_seconds)
        self.rollout = Rollout(plan, self.name, self)
        self.last_error = ""
        self.view: FleetView | None = None

    def run(self, interval: float = STEP_SECONDS) -> str:
        """Steps every `interval` seconds, with jitter, until the rollout is done or rolled back.

        Returns the final state. Failures are retried without limit: each step starts from the
        ledger's current view, and entries are numbered or carry a token, so that none is applied
        twice.
        """
        while self.rollout.state not in FINAL_STATES:
            try:
                self.step()
                self._set_error("")
            except OSError as cause:
                self._set_error(str(cause)[:MAX_ERROR_LENGTH])
            gevent.sleep(interval * (0.8 + 0.4 * self.settings.chance.random()))
        return self.rollout.state

    def step(self) -> None:
        """Renews the lease when due, and steps the rollout.

        Raises:
            OSError: the coordinators or the site did not answer.
        """
        now = self.settings.monotonic()
        if now - self.renewed_at >= self.settings.renewal_seconds:
            self._renew()
            self.renewed_at = now
        answer = self.coordinators.read_status(self.timeout)
        if answer.failure:
            raise CoordinatorsUnavailableError(f"{answer.failure}: {answer.detail}")
        self.view = read_fleet_view(answer.body["ledger"], self.settings.entries_per_second)
        self.rollout.step(self.view)

    def _renew(self) -> None:
        entry = {"k": "hold", "holder": self.name, "inc": self.incarnation}
        if refusal := self._propose(entry).rejection:
            # The lease expired: permits of this incarnation are lost, and the next one adopts them.
            self.incarnation += 1
            self.request_number = 0
            raise CoordinatorsUnavailableError(refusal)

    def status(self) -> dict[str, object]:
        """Returns the rollout's status for operators."""
        if self.view is None:
            return {"state": self.rollout.state, "why": self.last_error}
        return self.rollout.status(self.view)

    def _set_error(self, cause: str) -> None:
        if cause.partition(":")[0] != self.last_error.partition(":")[0]:
            self.log.info("release", trouble=cause or "none")
        self.last_error = cause

    def _propose(self, entry: dict[str, Any]) -> CoordinatorAnswer:
        answer = self.coordinators.propose(entry, self.timeout)
        if answer.failure:
            raise CoordinatorsUnavailableError(f"{answer.failure}: {answer.detail}")
        return answer

    def _propose_own(self, kind: str, **fields: Any) -> CoordinatorAnswer:
        """Proposes an entry in the name of this holder and incarnation."""
        return self._propose({"k": kind, "holder": self.name, "inc": self.incarnation} | fields)

    # Implementation of `RolloutActions`.

    def request_permits(self, targets: list[str], duration: int, release: str) -> str:
        """Requests permits for all targets together; returns the reason if refused."""
        self.request_number += 1
        return self._propose_own(
            "ask", n=self.request_number, units=targets, length=duration, release=release
        ).rejection

    def cancel_request(self, request: str) -> str:
        """Withdraws a waiting request; returns the reason if refused."""
        return self._propose_own("cancel", n=int(request.rpartition("/")[2])).rejection

    def advance_permit(self, step: str, director: str, token: int) -> int:
        """Takes the step `drain`, `out` or `back`; returns the new token, 0 if refused."""
        answer = self._propose_own(step, unit=f"{DIRECTOR_PREFIX}{director}", token=token)
        if answer.rejection:
            self.log.info("permit step refused", step=step, director=director, why=answer.rejection)
            return 0
        return int(answer.body["answer"]["ok"]["token"])

    def adopt_permit(self, director: str) -> str:
        """Takes over a permit whose holder lost its lease; returns the reason if refused."""
        return self._propose_own("adopt", unit=f"{DIRECTOR_PREFIX}{director}").rejection

    def report_harm(self, release: str, reason: str) -> str:
        """Reports that a release does harm; returns the reason if refused."""
        entry = {"k": "harm", "release": release, "reason": reason[:MAX_REASON_LENGTH]}
        return self._propose(entry).rejection

    def halt(self, scope: str, reason: str) -> str:
        """Halts a scope until an operator lifts the halt; returns the reason if refused."""
        reason = reason[:MAX_REASON_LENGTH]
        return self._propose(
            {"k": "halt", "scope": scope, "by": self.name, "reason": reason}
        ).rejection

    def set_leaving(self, director: str, is_leaving: bool, token: int) -> None:
        """Tells a director to drain its proxies, or to stay in service."""
        self.site.set_leaving(director, is_leaving, token)

    def install_version(self, director: str, version: str, token: int) -> None:
        """Stops all processes of a director, then starts one of this version."""
        self.site.install_version(director, version, token)

    def running_versions(self, director: str) -> list[str]:
        """Returns the version of each running process of a director."""
        return self.site.running_versions(director)

    def log_event(self, event: str, **fields: object) -> None:
        """Logs an event; drops a field called `event`, which would collide with the event name."""
        self.log.info(event, **{key: value for key, value in fields.items() if key != "event"})
