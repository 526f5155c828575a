"""What a keeper answers: peers, and clients of the fleet's log. JSON by HTTP; docs/keepers.md has the paths."""

import json
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ironfall.api.http import Answer, HttpClient, Refused, Request
from ironfall.consensus import Outcome
from ironfall.coordinator.machine import FORGOTTEN, FULL
from ironfall.coordinator.member import LEADER, Keeper
from ironfall.coordinator.observed import Observed
from ironfall.coordinator.sums import SUM, answered, asked, whole

ASK_TIME = 5.0  # seconds until an ask is answered with doubt
LOOK_TIME = 3.0
MARKS_TIME = 30.0  # the longest a poll of marks is held
POLLS = 2048  # of marks, held at once
ASKERS = 128  # characters of a name
# Many entries may be applied while marks are polled for: these are looked at again no sooner than this. And a leader
# that falls silent sets off nothing.
MARKS_EVERY, HEARS_EVERY = 0.02, 0.1


def _answer(status: int, told: Any, retry: bool = False) -> Answer:
    headers = {"Retry-After": "1"} if retry else {}
    return _sealed(status, json.dumps(told, separators=(",", ":")).encode() + b"\n", headers)


def _sealed(status: int, body: bytes, headers: dict[str, str]) -> Answer:
    return Answer(
        status, body, {"Content-Type": "application/json", SUM: answered(status, body), **headers}
    )


class Api:
    def __init__(self, keeper: Keeper, observed: Observed | None = None) -> None:
        """`observed`: where the terms name observers."""
        self.keeper, self.observed = keeper, observed
        self.polls: set[Event] = set()
        self.marked: tuple[int, Any] = (0, None)  # since which index, and what the marks are
        self.marked_at, self.heard = -1, False
        self.routes: dict[tuple[str, str], Callable[[Request], Answer]] = {
            ("POST", "/v1/peer/said"): self._said,
            ("GET", "/v1/peer/who"): self._who,
            ("POST", "/v1/fleet/entries"): self._entries,
            ("POST", "/v1/fleet/members"): self._members,
            ("GET", "/v1/fleet/look"): self._look,
            ("GET", "/v1/fleet/marks"): self._marks,
        }
        if observed is not None:
            self.routes["POST", "/v1/fleet/observed"] = self._observed

    def handle(self, request: Request) -> Answer:
        try:
            return self._handle(request)
        except Refused as refused:
            return _answer(refused.status, {"why": refused.reason}, bool(refused.retry_after))

    def _handle(self, request: Request) -> Answer:
        route = self.routes.get((request.method, request.path))
        if route is None:
            known = request.path in (path for _, path in self.routes)
            raise Refused(405 if known else 404, f"no {request.method} {request.path} here")
        if self.keeper.ending and not request.path.startswith("/v1/peer/"):
            return _answer(503, {"why": "this keeper is stopping; turn to another"}, True)
        if (
            "sum" in request.query
            and asked(request.path, request.body) != f"{request.path}?sum={request.query['sum']}"
        ):
            raise Refused(408, "it was spoilt on its way: say it again")
        return route(request)

    def _body(self, request: Request) -> Any:
        try:
            return json.loads(bytes(request.body))
        except (ValueError, RecursionError) as wrong:
            raise Refused(400, f"the body is no JSON: {wrong}") from None

    # peers

    def _said(self, request: Request) -> Answer:
        if "sum" not in request.query:
            raise Refused(400, "what a keeper says has its sum with it")
        try:
            self.keeper.said(self._body(request))
        except (ValueError, TypeError, KeyError, AttributeError) as wrong:
            raise Refused(400, f"not what a keeper says: {type(wrong).__name__} {wrong}") from None
        return Answer(204)

    def _who(self, request: Request) -> Answer:
        keeper, member = self.keeper, self.keeper.member
        if member is None:
            return _answer(503, {"why": "its disk can't be used"}, True)
        return _answer(
            200,
            {
                "identity": member.identity,
                "blank": keeper.blank,
                "first": keeper.store.first.to_json(),
                "reign": member.term,
                "leader": member.leader,
                "index": member.commit_index,
            },
        )

    # clients

    def _away(self, leader: bytes | str) -> Answer:
        name = (leader.decode() if isinstance(leader, bytes) else leader).partition("/")[0]
        if name in self.keeper.group and name != self.keeper.name:
            host, port = self.keeper.group[name]
            return _answer(421, {"leader": name, "address": f"{host}:{port}"})
        return _answer(503, {"why": self.keeper.barred or "no leader is known here"}, True)

    def _outcome(self, outcome: Outcome, answer: Any) -> Answer:
        """What is not done."""
        if outcome is Outcome.NOT_LEADER:
            return self._away(answer)
        if outcome is Outcome.UNKNOWN_OUTCOME:
            return _answer(409, {"why": "doubt"})
        if outcome is Outcome.OVERLOADED:
            return _answer(429, {"why": "full"}, True)
        if outcome is Outcome.TOO_LARGE:
            return _answer(
                400, {"why": f"an entry has at most {self.keeper.bounds.max_entry_bytes} bytes"}
            )
        return _answer(503, {"why": self.keeper.barred or outcome.value}, True)

    def _entries(self, request: Request) -> Answer:
        told = self._body(request)
        if not isinstance(told, dict) or set(told) != {"asker", "number", "entry"}:
            raise Refused(400, "expected an object of asker, number and entry")
        asker, number, entry = told["asker"], told["number"], told["entry"]
        if not isinstance(asker, str) or not 0 < len(asker) <= ASKERS or not asker.isprintable():
            raise Refused(400, f"asker: expected a text of up to {ASKERS} characters")
        if type(number) is not int or not 0 < number < 1 << 53:
            raise Refused(400, "number: expected a whole number from 1 up")
        if not isinstance(entry, dict) or not isinstance(entry.get("k"), str):
            raise Refused(400, "entry: expected an object with its kind as k")
        outcome, answer = self.keeper.ask(asker, number, entry, ASK_TIME)
        if outcome is not Outcome.DONE:
            return self._outcome(outcome, answer)
        if answer == FORGOTTEN:
            return _answer(410, {"why": "forgotten"})
        if answer == FULL:
            return self._outcome(Outcome.OVERLOADED, b"")
        index, _, said = answer.partition(b"\n")
        return _sealed(200, b'{"index":%s,"answer":%s}\n' % (index, said), {})

    def _observed(self, request: Request) -> Answer:
        """An observer's report. Its stamp proves what it says, and where this leads no more nothing of it comes into
        the log: no round among keepers is made for it."""
        if "sum" not in request.query:
            raise Refused(400, "what an observer says has its sum with it")
        keeper, member = self.keeper, self.keeper.member
        keeper.awake()
        if member is None or member.role != LEADER or keeper.member is not member:
            return self._away(member.leader if member else "")
        assert self.observed is not None
        collector = self.observed.collector()
        if collector is None:
            return _answer(503, {"why": "a reign that has only begun"}, True)
        try:
            return _answer(200, self.observed.report(collector, self._body(request)))
        except ValueError as wrong:
            raise Refused(400, str(wrong)) from None

    def _seen(self) -> dict[str, Any]:
        member, ledger = self.keeper.member, self.keeper.machine.ledger.inspect()
        assert member is not None
        return {
            "index": member.commit_index,
            "reign": member.term,
            "leader": member.leader.partition("/")[0],
            "members": member.configuration.to_json(),
            "ledger": ledger,
            **({"observed": self.observed.look(ledger)} if self.observed else {}),
        }

    def _look(self, request: Request) -> Answer:
        keeper, member = self.keeper, self.keeper.member
        if request.number("here", 0):
            if member is None:
                return _answer(200, {"role": "none", "why": "its disk can't be used"})
            role = (
                "stranger" if member.identity not in member.configuration.members else member.role
            )
            age = 0 if role == "leader" else max(0, keeper.now() - member.leader_heard_at)
            return _answer(
                200,
                {
                    **self._seen(),
                    "role": role,
                    "age": age,
                    "identity": member.identity,
                    "off": keeper.barred,
                    "failed": member.disk_failure,
                },
            )
        outcome, answer = keeper.call("read", LOOK_TIME, read=self._seen)
        return _answer(200, answer) if outcome is Outcome.READ else self._outcome(outcome, answer)

    def watch(self) -> None:
        """Polls of marks are woken by a change alone, however many entries come."""
        while True:
            self.keeper.changed.wait(HEARS_EVERY)
            self.keeper.changed.clear()
            member, before = self.keeper.member, (self.heard, self.marked[0])
            self.heard = member is not None and member.hears_leader() and not self.keeper.ending
            if member is not None and member.commit_index != self.marked_at:
                self.marked_at, marks = (
                    member.commit_index,
                    list(self.keeper.machine.ledger.drain_markers()),
                )
                if marks != self.marked[1]:
                    self.marked = member.commit_index, marks
            if (self.heard, self.marked[0]) != before:
                for poll in self.polls:
                    poll.set()
            gevent.sleep(MARKS_EVERY)

    def _marks(self, request: Request) -> Answer:
        after, wait = (
            request.number("after", 0),
            min(MARKS_TIME, max(0, request.number("wait", 0)) / 1000),
        )
        if len(self.polls) >= POLLS:
            return _answer(429, {"why": "full"}, True)
        poll = Event()
        self.polls.add(poll)
        try:
            if self.heard and self.marked[0] <= after:
                request.hold(poll, wait)
        finally:
            self.polls.discard(poll)
        if not self.heard:
            return _answer(503, {"why": "no leader is heard here"}, True)
        return _answer(200, {"index": self.marked_at, "marks": self.marked[1]})

    def _members(self, request: Request) -> Answer:
        """A keeper whose disk was lost, by the incarnation it has now, in place of the one it had."""
        told, keeper = self._body(request), self.keeper
        name = told.get("replace") if isinstance(told, dict) else None
        if name not in keeper.group or name == keeper.name:
            raise Refused(400, f"replace: expected another keeper of {', '.join(keeper.group)}")
        member = keeper.member
        if member is None or member.role != "leader":
            return self._away(member.leader if member else "")
        try:
            answer = HttpClient(keeper.group[name]).call("GET", "/v1/peer/who", 2.0)
            who = json.loads(answer.body)["identity"] if whole(answer) else ""
        except (OSError, ValueError, KeyError, TypeError) as wrong:
            return _answer(503, {"why": f"{name} does not say who it is: {wrong}"}, True)
        if not isinstance(who, str) or who.partition("/")[0] != name:
            return _answer(503, {"why": f"{name} says that it is {who}"}, True)
        former = [
            m for m in member.configuration.members if m.partition("/")[0] == name and m != who
        ]
        steps = [("remove_member", one) for one in former] + (
            [("add_member", who)] if who not in member.configuration.members else []
        )
        for what, one in steps:
            outcome, answer = keeper.call(what, ASK_TIME, one)
            if outcome not in (Outcome.DONE, Outcome.NO_CHANGE):
                return self._outcome(outcome, answer)
        return _answer(200, {"identity": who, "replaced": former})
