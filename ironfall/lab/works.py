"""Whoever works on hosts in a day: asks for one, drains it, works while it is out, and returns it; and who halts."""

import random
from collections.abc import Callable
from typing import Any

import gevent

from ironfall.director.fleet_member import CoordinatorLedger
from ironfall.lab.agents import Again
from ironfall.lab.tape import SECOND
from ironfall.membership_server.client import AggregatorUnavailableError

PATIENCE = 60.0  # seconds that a step may have to wait
STEPS = {"granted": "drain", "empty": "out"}


class Works:
    """One holder, with a lease of its own. What it can't go on with it gives up: the ledger has a way back for it."""

    def __init__(
        self,
        keepers: Callable[[str], CoordinatorLedger],
        name: str,
        incarnation: int,
        lease: int,
        chance: random.Random,
        tell: Callable[..., None],
        log: Any,
    ) -> None:
        self.keepers, self.name, self.incarnation, self.tell, self.log = (
            keepers,
            name,
            incarnation,
            tell,
            log,
        )
        self.asked, self.ended = 0, 0
        self.holds = keepers(name)
        self.jobs = [Again(self._hold, lease / SECOND / 3, chance, log, "holding a lease")]

    def stop(self) -> None:
        for job in self.jobs:
            job.stop()

    def _hold(self) -> None:
        answer = self.holds.propose({"k": "hold", "holder": self.name, "inc": self.incarnation})
        if "ok" not in answer:
            # What it had out is lost to it, and the leader orders it back.
            self.incarnation += 1
            raise AggregatorUnavailableError(f"no lease: {answer}")

    def work(self, host: str, seconds: float) -> None:
        """On its greenlet, until the host is back or something stood in the way."""
        try:
            with gevent.Timeout(
                2 * PATIENCE + seconds, AggregatorUnavailableError("it took too long")
            ):
                self._work(f"host/{host}", seconds)
        except (OSError, ValueError, KeyError, TypeError) as cause:
            self.log.warning(
                "work given up", host=host, cause=f"{type(cause).__name__}: {cause}"[:200]
            )
        self.ended += 1

    def _work(self, unit: str, seconds: float) -> None:
        way, mine = (
            self.keepers(f"{self.name} {unit}"),
            {"holder": self.name, "inc": self.incarnation},
        )
        self.asked += 1
        ask = {
            "k": "ask",
            **mine,
            "n": self.asked,
            "units": [unit],
            "length": round(seconds * SECOND),
        }
        answer = way.propose(ask)
        while "ok" not in answer:
            if answer["no"].startswith("never"):
                raise AggregatorUnavailableError(answer["no"])
            gevent.sleep(
                0.5
            )  # its lease, the rules or the list may not have come yet, or others ask for it
            answer = way.propose(ask)
        while True:
            gevent.sleep(0.5)
            state, token = self._stands(way, unit)
            if state == "out":
                break
            if state in STEPS:
                way.propose({"k": STEPS[state], **mine, "unit": unit, "token": token})
            elif state not in ("", "draining"):
                raise AggregatorUnavailableError(f"{unit} is {state}")
        gevent.sleep(seconds)
        answer = way.propose({"k": "back", **mine, "unit": unit, "token": token})
        if "ok" not in answer:
            raise AggregatorUnavailableError(answer["no"])

    def _stands(self, way: CoordinatorLedger, unit: str) -> tuple[str, int]:
        """A permit's state, nothing before there is one."""
        heard = way.client.read_status(way.timeout_seconds)
        if heard.failure:
            raise AggregatorUnavailableError(f"{heard.failure}: {heard.detail}")
        permit = heard.body["ledger"]["permits"].get(unit, {"state": "", "token": 0})
        return permit["state"], permit["token"]

    def halt(self, scope: str, seconds: float) -> None:
        way = self.keepers(f"{self.name} halts")
        for what, more in (("halt", {"reason": "a look"}), ("lift", {})):
            for _ in range(20):
                try:
                    if "ok" in way.propose({"k": what, "scope": scope, "by": self.name, **more}):
                        self.tell(what, scope=scope)
                    break
                except OSError:
                    gevent.sleep(0.2)  # said again it is the same halt
            gevent.sleep(seconds if what == "halt" else 0)
