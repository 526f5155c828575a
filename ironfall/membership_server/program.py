"""The observer as a program: it hears a zone's members, and says each second what changed to the leader of the keepers.

Its state is touched by calls that never wait, and so by one greenlet at a time: the answer to a message is made in one
piece. All of it is soft: a new one knows nothing and says so.
"""

import json
import random
import secrets
import signal
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ironfall.api.http import Answer, Bounds, HttpServer, Refused, Request
from ironfall.coordinator.client import CoordinatorClient
from ironfall.coordinator.sums import SUM, answered, asked
from ironfall.membership import AggregatorRules, HeartbeatAggregator
from ironfall.membership.member_status import must_be_logged
from ironfall.terms import Terms

SECOND = 10_000
MILLION = 1_000_000
BODY = 8 * 2**20  # of a message of beats: 1,024 with their words
OTHERS = 256  # connections beside those of members: operators, and members that come anew before the old one is known
EVERY, PATIENCE = (
    1.0,
    0.8,
)  # seconds between reports, and for the answer of one: the next says what it did not bring
SOON = 0.3  # the least between two, where something came that others wait for
MARKS_WAIT = 1.0  # seconds that keepers hold a poll of marks
MARKS_LEAST, MARKS_AGAIN = 0.05, 5.0  # between two polls at least, and between two tries at most


class Program:
    """A running observer. `start()` returns once it listens; `wait()` until it was told to stop."""

    def __init__(
        self,
        terms: Terms,
        name: str,
        log: Any,
        seed: int | None = None,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Raises `KeyError` where the terms name no such observer."""
        fleet, limits = terms.fleet, terms.limits
        own = {one.name: one for one in fleet.observers}[name]
        self.log, self.monotonic = log, monotonic
        self.chance = random.Random(secrets.randbits(63) if seed is None else seed)
        self.observer = HeartbeatAggregator(
            name,
            own.zone,
            int(wall() * MILLION),
            self.now(),
            AggregatorRules(
                fleet.lease,
                round(fleet.drift * MILLION),
                fleet.rules(terms.service).near,
                own.room,
            ),
        )
        self.keepers = CoordinatorClient(
            fleet.keepers, f"observer {name}"[:100], self.chance, monotonic
        )
        bounds = Bounds(
            own.room + OTHERS,
            BODY,
            limits.header_time / SECOND,
            limits.idle / SECOND,
            limits.write_time / SECOND,
        )
        self.server = HttpServer(own.address, bounds, self.handle)
        self.counts = {
            "messages": 0,
            "beats": 0,
            "received": 0,
            "reports": 0,
            "reported": 0,
            "unheard": 0,
        }
        self.trouble, self.deaf, self.status = "", "", 0
        self.doubts, self.index = False, -1
        self.done, self.urgent = Event(), Event()
        self.loops: list[gevent.Greenlet] = []

    def now(self) -> int:
        return int(self.monotonic() * SECOND)

    # life

    def start(self) -> None:
        self.server.start()
        self.loops = [gevent.spawn(loop) for loop in (self._report, self._mark)]
        for loop in self.loops:
            loop.link_exception(self._broken)
        self.log.info(
            "listening",
            port=self.server.port,
            zone=self.observer.zone,
            incarnation=self.observer.incarnation,
        )

    def wait(self) -> int:
        """Until SIGTERM or SIGINT; 0, or 1 where another has its name or what must hold did not."""
        for which in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(which, self.stop)
        self.done.wait()
        return self.status

    def stop(self) -> None:
        if self.done.is_set():
            return
        self.server.stop(0.2)
        for loop in self.loops:
            loop.kill(block=False)
        self.keepers.close()
        self.log.info("stopped", members=len(self.observer.members))
        self.done.set()

    def _broken(self, loop: gevent.Greenlet) -> None:
        # Better no observer than one that answers members and tells nobody: they turn to the other.
        self.log.error("broken", cause=repr(loop.exception))
        self._fail()

    def _fail(self) -> None:
        self.status = 1
        gevent.spawn(self.stop)

    # members

    def handle(self, request: Request) -> Answer:
        routes = {
            ("POST", "/v1/observe/beats"): self._beats,
            ("GET", "/v1/observe/look"): self._look,
        }
        try:
            route = routes.get((request.method, request.path))
            if route is None:
                known = request.path in (path for _, path in routes)
                raise Refused(405 if known else 404, f"no {request.method} {request.path} here")
            return _answer(200, route(request))
        except Refused as refused:
            return _answer(refused.status, {"why": refused.reason})

    def _beats(self, request: Request) -> Any:
        if "sum" not in request.query:
            raise Refused(400, "what members say has its sum with it")
        if asked(request.path, request.body) != f"{request.path}?sum={request.query['sum']}":
            raise Refused(408, "it was spoilt on its way: say it again")
        self.counts["messages"] += 1
        self.counts["received"] += len(request.body)
        try:
            message = json.loads(bytes(request.body))
        except (ValueError, RecursionError) as wrong:
            raise Refused(400, f"the body is no JSON: {wrong}") from None
        told = self._told(message)
        try:
            answer = self.observer.on_heartbeats(self.now(), message)
        except ValueError as wrong:
            raise Refused(400, str(wrong)) from None
        self.counts["beats"] += len(message["beats"])
        if any(self._matters(unit, word) for unit, word in told.items()):
            self.urgent.set()
        return answer

    def _told(self, message: Any) -> dict[str, Any]:
        """What the leader was told of those that say a new word."""
        beats, members = (
            message.get("beats") if isinstance(message, dict) else None,
            self.observer.members,
        )
        return {
            unit: members[unit].reported_status
            for unit, one in (beats.items() if isinstance(beats, dict) else ())
            if unit in members and isinstance(one, dict) and one.get("word")
        }

    def _matters(self, unit: str, told: Any) -> bool:
        word = self.observer.members[unit].status
        if word == told or unit.startswith("host/"):
            return bool(word != told)
        return bool(
            word["drained"] != told["drained"]
            or must_be_logged(told, word, self.observer.rules.near_limit)
        )

    def _look(self, request: Request) -> Any:
        return self.observer.inspect(self.now()) | {
            "counts": self.counts,
            "connections": self.server.open,
            "trouble": self.trouble or self.deaf,
        }

    # the leader

    def _report(self) -> None:
        last = self.monotonic()
        due = last + EVERY * self.chance.random()
        while True:
            self.urgent.wait(max(0.0, due - self.monotonic()))
            gevent.sleep(max(0.0, last + SOON - self.monotonic()))
            self.urgent.clear()
            last = self.monotonic()
            due = last + EVERY * (0.9 + 0.2 * self.chance.random())
            report = self.observer.make_report(self.now())
            self._doubts()
            self.counts["reports"] += 1
            heard = self.keepers.observed(report, PATIENCE)
            if heard.why:
                self.counts["unheard"] += 1
                self._trouble(f"{heard.why}: {heard.text}")
                continue
            try:
                self.observer.on_report_answer(self.now(), report, heard.told)
            except ValueError as wrong:
                self._trouble(f"no answer of a leader: {wrong}")
                continue
            if self.observer.is_superseded:
                self.log.error(
                    "superseded", cause="another process reports under this name, and began later"
                )
                return self._fail()
            why = str(heard.told.get("why", ""))
            self.counts["reported"] += not why
            # The first report to a leader echoes nothing of it, and counts for nothing: no trouble.
            if (
                not why
                or self.observer.leader_stamp is None
                or report["stamp"] == self.observer.leader_stamp.as_json()
            ):
                self._trouble(why)

    def _doubts(self) -> None:
        doubts = self.observer.doubts_itself
        if doubts and not self.doubts:
            self.log.warning(
                "doubts itself",
                members=len(self.observer.members),
                cause="it stood still, hears late, "
                "has no room, or hears too few at once: it declares nobody absent",
            )
        elif self.doubts and not doubts:
            self.log.info("trusts itself", members=len(self.observer.members))
        self.doubts = doubts

    def _trouble(self, cause: str) -> None:
        if cause.partition(":")[0] != self.trouble.partition(":")[0]:
            if cause:
                self.log.warning("the leader does not hear this observer", cause=cause[:200])
            else:
                self.log.info("the leader hears this observer", members=len(self.observer.members))
        self.trouble = cause[:200]

    # marks

    def _mark(self) -> None:
        wait = MARKS_AGAIN / 16
        while True:
            began = self.now()
            heard = self.keepers.marks(self.index, MARKS_WAIT)
            try:
                if heard.why:
                    raise ValueError(f"{heard.why}: {heard.text}")
                marks = [
                    (str(unit), str(want), int(token)) for unit, want, token in heard.told["marks"]
                ]
                self.index = int(heard.told["index"])
                self.observer.on_drain_markers(began, marks)
            except (ValueError, TypeError, KeyError) as wrong:
                if not self.deaf:
                    self.log.warning("no keeper tells marks", cause=str(wrong)[:200])
                self.deaf = str(wrong)[:200]
                gevent.sleep(wait * (0.5 + self.chance.random()))
                wait = min(MARKS_AGAIN, 2 * wait)
            else:
                if self.deaf:
                    self.log.info("keepers tell marks")
                self.deaf, wait = "", MARKS_AGAIN / 16
                gevent.sleep(MARKS_LEAST)


def _answer(status: int, told: Any) -> Answer:
    body = json.dumps(told, separators=(",", ":")).encode() + b"\n"
    return Answer(status, body, {"Content-Type": "application/json", SUM: answered(status, body)})
