"""The keeper as a program: its beat, the founding of a group, and its end."""

import json
import random
import secrets
import signal
import time
from collections.abc import Callable
from itertools import islice
from typing import Any

import gevent
from gevent.event import Event

from ironfall.api.http import Bounds as HttpBounds
from ironfall.api.http import HttpClient, HttpServer
from ironfall.consensus import Configuration, Outcome, RaftLimits
from ironfall.coordinator.member import LOOKS, Keeper, bounds_of
from ironfall.coordinator.observed import Observed
from ironfall.coordinator.server import MARKS_TIME, Api
from ironfall.coordinator.sums import whole
from ironfall.storage.disk import Disk
from ironfall.terms import Terms

SECOND = 10_000
BODY = 16 * 2**20  # of a post, by peers too
TICK = 1.0  # seconds
LAPSES = 256  # leases ended at one tick; the rest at the next


class Program:
    """A running keeper. `start()` returns once it listens; `wait()` until it was told to stop."""

    def __init__(
        self,
        terms: Terms,
        name: str,
        disk: Disk,
        log: Any,
        found: bool = False,
        seed: int | None = None,
        bounds: RaftLimits | None = None,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """`found`: where all keepers are blank, they may begin a group. `bounds`: by default those that the terms'
        sizes ask for."""
        self.log, self.founds = log, found
        self.chance = random.Random(secrets.randbits(63) if seed is None else seed)
        group = terms.fleet.keepers
        rules = terms.fleet.rules(terms.service)
        self.rules = json.loads(json.dumps(rules.facts()))
        self.keeper = Keeper(
            name, group, disk, self.chance, log, bounds or bounds_of(rules), monotonic, wall
        )
        limits = terms.limits
        http = HttpBounds(
            limits.held,
            BODY,
            limits.header_time / SECOND,
            MARKS_TIME + limits.idle / SECOND,
            limits.write_time / SECOND,
        )
        observers = {one.name: one.zone for one in terms.fleet.observers}
        self.observed = Observed(self.keeper, observers) if observers else None
        self.api = Api(self.keeper, self.observed)
        self.server = HttpServer(dict(group)[name], http, self.api.handle)
        self.done = Event()

    def start(self) -> None:
        self.server.start()
        self.keeper.begin()
        self.loops = [
            self.keeper.spawn(loop) for loop in (self._beat, self._find_group, self.api.watch)
        ]
        if self.observed is not None:
            self.loops.append(self.keeper.spawn(self.observed.hasten))
        self.keeper.broken.rawlink(lambda _: self.done.set())
        self.log.info("listening", port=self.server.port)

    def wait(self) -> int:
        """Until SIGTERM or SIGINT; 0, or 1 when what must hold did not."""
        for which in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(which, self.stop)
        self.done.wait()
        return 1 if self.keeper.broken.is_set() else 0

    def stop(self) -> None:
        if self.done.is_set():
            return
        self.keeper.leave()
        self.server.stop(0.2)
        for loop in self.loops:
            loop.kill(block=False)
        self.log.info("stopped")
        self.done.set()

    def _beat(self) -> None:
        """Once a second: clocks compared, and by the leader what is due by time alone."""
        keeper = self.keeper
        while True:
            gevent.sleep(TICK)
            keeper.tell_clocks()
            keeper.look_at_clock()
            ledger = keeper.machine.ledger
            if not keeper.session:
                continue
            entries: list[dict[str, Any]] = [{"k": "tick"}]
            if not ledger.has_rules or ledger.rules.facts() != self.rules:
                entries.insert(0, {"k": "rules", "rules": self.rules})
            entries += [
                {"k": "lapse", "role": role, "name": name, "inc": inc}
                for role, name, inc in islice(ledger.expired_leases(), LAPSES)
            ]
            for entry in entries:
                # What is in doubt is found due again at the next beat, by whoever leads then.
                if keeper.ask("", 0, entry, 2 * TICK)[0] is not Outcome.DONE:
                    break
            else:
                if self.observed is not None:
                    self.observed.put()

    def _find_group(self) -> None:
        """A blank keeper asks the others who they are. One that its group began with is told so by any of them; a
        group is begun only where all are blank, and an operator said that it may."""
        clients = {
            n: HttpClient(address, 0.3, 1 << 16)
            for n, address in self.keeper.group.items()
            if n != self.keeper.name
        }
        said = False
        while True:
            gevent.sleep(LOOKS * (0.5 + self.chance.random()))
            keeper = self.keeper
            if not keeper.blank or keeper.member is None:
                said = False
                continue
            me, others = keeper.member.me, {n: _who(client) for n, client in clients.items()}
            first = next(
                (
                    Configuration.of(w["first"])
                    for w in others.values()
                    if w and me in w["first"][0]
                ),
                None,
            )
            if (
                first is None
                and self.founds
                and all(w and w["blank"] and not w["first"][0] for w in others.values())
            ):
                identities = {n: w["identity"] for n, w in others.items() if w} | {keeper.name: me}
                first = Configuration(tuple(identities[n] for n in keeper.group))
                self.log.info("group begun", members=list(first.voters))
            if first is not None and keeper.blank:
                keeper.begin(first)
            elif not said and all(others.values()):
                said = True
                self.log.warning(
                    "stranger",
                    identity=me,
                    waits="to be added by an operator, or for a group to begin",
                )


def _who(client: HttpClient) -> Any:
    try:
        answer = client.call("GET", "/v1/peer/who", 0.5)
        who = json.loads(answer.body) if whole(answer) else {"first": [None]}
        return (
            who if isinstance(who["first"][0], list) and {"blank", "identity"} <= set(who) else None
        )
    except (OSError, ValueError, KeyError, TypeError, IndexError):
        return None
