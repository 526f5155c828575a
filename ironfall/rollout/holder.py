"""A release against real keepers: its lease, its looks, its entries, and the hands that stop and start directors."""

import random
import time
from collections.abc import Callable
from typing import Any, Protocol

import gevent

from ironfall.coordinator.client import CoordinatorAnswer, CoordinatorClient
from ironfall.rollout.release import Order, Release
from ironfall.rollout.view import View, view_of

SECOND = 10_000
EVERY = 1.0  # seconds between two looks


class Hands(Protocol):
    """Whoever stops and starts directors: a site's own. Each call is an order, done soon and elsewhere, so that none
    holds up the rest; under a token older than the newest of that director it does nothing (`Fence`)."""

    def tell(self, director: str, leaving: bool, token: int) -> None:
        """It is to let its proxies go and say so in its words, or no longer."""
        ...

    def renew(self, director: str, version: str, token: int) -> None:
        """Stop every process of that name, then start one of this version."""
        ...

    def runs(self, director: str) -> list[str]:
        """The versions that its processes were started as."""
        ...


class Unheard(OSError):
    """No keeper said what became of an entry: the next look shows it."""


class Holder:
    """`once` is a second's work; `run` does it until the release has ended. A new `Holder` with the same order and name
    goes on where a former one died."""

    def __init__(
        self,
        keepers: CoordinatorClient,
        order: Order,
        hands: Hands,
        name: str,
        pace: int,
        lease: int,
        chance: random.Random,
        log: Any,
        monotonic: Callable[[], float] = time.monotonic,
        incarnation: int = 0,
    ) -> None:
        """`pace`: lines a second of one channel; `lease` in tenths of a millisecond, as the terms have them."""
        self.keepers, self.hands, self.name, self.pace, self.chance = (
            keepers,
            hands,
            name,
            pace,
            chance,
        )
        self.log, self.monotonic = log, monotonic
        # Counts up over starts, in millionths of a second.
        self.incarnation, self.number = incarnation or time.time_ns() // 1000, 0
        self.third, self.held, self.patience = (
            lease / SECOND / 3,
            -1e9,
            max(1.0, lease / SECOND / 3),
        )
        self.release, self.trouble = Release(order, name, self), ""
        self.view: View | None = None

    # a second

    def run(self, every: float = EVERY) -> str:
        while self.release.state not in ("done", "back: all are"):
            try:
                self.once()
                self._trouble("")
            except OSError as cause:
                # Tried for ever: each look begins from what is, and nothing is done twice by its number or token.
                self._trouble(str(cause)[:200])
            gevent.sleep(every * (0.8 + 0.4 * self.chance.random()))
        return self.release.state

    def once(self) -> None:
        """Raises `OSError` where nobody answers."""
        now = self.monotonic()
        if now - self.held >= self.third:
            if no := self._say({"k": "hold", "holder": self.name, "inc": self.incarnation}).no:
                # The lease lapsed: what it had out is lost to this incarnation, and taken up by the next.
                self.incarnation, self.number = self.incarnation + 1, 0
                raise Unheard(no)
            self.held = now
        heard = self.keepers.look(self.patience)
        if heard.why:
            raise Unheard(f"{heard.why}: {heard.text}")
        self.view = view_of(heard.told["ledger"], self.pace)
        self.release.look(self.view)

    def status(self) -> dict[str, object]:
        return (
            self.release.status(self.view)
            if self.view
            else {"state": self.release.state, "why": self.trouble}
        )

    def _trouble(self, cause: str) -> None:
        if cause.partition(":")[0] != self.trouble.partition(":")[0]:
            self.log.info("release", trouble=cause or "none any more")
        self.trouble = cause

    def _say(self, entry: dict[str, Any]) -> CoordinatorAnswer:
        heard = self.keepers.ask(entry, self.patience)
        if heard.why:
            raise Unheard(f"{heard.why}: {heard.text}")
        return heard

    # the way of the release

    def _mine(self, kind: str, **fields: Any) -> CoordinatorAnswer:
        return self._say({"k": kind, "holder": self.name, "inc": self.incarnation} | fields)

    def ask(self, units: list[str], length: int, release: str) -> str:
        self.number += 1
        return self._mine("ask", n=self.number, units=units, length=length, release=release).no

    def cancel(self, ask: str) -> str:
        return self._mine("cancel", n=int(ask.rpartition("/")[2])).no

    def step(self, kind: str, director: str, token: int) -> int:
        heard = self._mine(kind, unit=f"director/{director}", token=token)
        if heard.no:
            self.log.info("not done", step=kind, director=director, why=heard.no)
            return 0
        return int(heard.told["answer"]["ok"]["token"])

    def adopt(self, director: str) -> str:
        return self._mine("adopt", unit=f"director/{director}").no

    def harm(self, release: str, reason: str) -> str:
        return self._say({"k": "harm", "release": release, "reason": reason[:250]}).no

    def halt(self, scope: str, reason: str) -> str:
        return self._say({"k": "halt", "scope": scope, "by": self.name, "reason": reason[:250]}).no

    def tell(self, director: str, leaving: bool, token: int) -> None:
        self.hands.tell(director, leaving, token)

    def renew(self, director: str, version: str, token: int) -> None:
        self.hands.renew(director, version, token)

    def runs(self, director: str) -> list[str]:
        return self.hands.runs(director)

    def note(self, what: str, **about: object) -> None:
        self.log.info(what, **{k: v for k, v in about.items() if k != "event"})
