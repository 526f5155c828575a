"""A coordinator's HTTP API, for peers and for clients of the ledger (docs/keepers.md)."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import gevent
from gevent.event import Event

from ironfall.api.http import Answer, HttpClient, Refused, Request
from ironfall.consensus import Outcome, Role
from ironfall.coordinator.coordinator_node import CoordinatorNode
from ironfall.coordinator.member import CoordinatorMember
from ironfall.coordinator.observed import ObserverReports
from ironfall.coordinator.peers import name_of
from ironfall.coordinator.pending_replies import Reply
from ironfall.coordinator.state_machine import FORGOTTEN, FULL
from ironfall.coordinator.sums import CHECKSUM_HEADER, answer_checksum, is_intact, with_checksum

# After this the outcome of an entry or of a membership change counts as unknown.
PROPOSAL_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 3.0
IDENTITY_TIMEOUT_S = 2.0
MAX_MARKS_WAIT_S = 30.0
MAX_MARKS_POLLS = 2048
MAX_CLIENT_NAME_CHARACTERS = 128
MAX_CLIENT_NUMBER = 1 << 53
MILLISECONDS_PER_SECOND = 1000
# Drain markers are compared no more often than this, however many entries are applied.
MIN_MARKS_PERIOD_S = 0.02
# A leader that falls silent causes no event, so that it is checked at least this often.
MAX_MARKS_PERIOD_S = 0.1
STRANGER = "stranger"

Handler = Callable[[Request], Answer]


def _answer_json(status: int, body: Any, retry: bool = False) -> Answer:
    """Returns an answer with a JSON body; `retry` asks the client to try again after a second."""
    headers = {"Retry-After": "1"} if retry else {}
    encoded = json.dumps(body, separators=(",", ":")).encode() + b"\n"
    return _answer_with_checksum(status, encoded, headers)


def _answer_with_checksum(status: int, body: bytes, headers: Mapping[str, str]) -> Answer:
    all_headers = {
        "Content-Type": "application/json",
        CHECKSUM_HEADER: answer_checksum(status, body),
        **headers,
    }
    return Answer(int(status), body, all_headers)


@dataclass(frozen=True)
class _ClientEntry:
    """An entry that a client proposes.

    Attributes:
        client: the client that proposes.
        number: the number of the client's proposal.
        entry: the ledger's entry.
    """

    client: str
    number: int
    entry: dict[str, Any]

    @staticmethod
    def decode(body: Any) -> "_ClientEntry":
        """Reads a request's body.

        Raises:
            Refused: it is malformed.
        """
        if not isinstance(body, dict) or set(body) != {"asker", "number", "entry"}:
            raise Refused(HTTPStatus.BAD_REQUEST, "expected an object of asker, number and entry")
        client = body["asker"]
        number = body["number"]
        entry = body["entry"]
        if not _is_client_name(client):
            expected = f"a text of up to {MAX_CLIENT_NAME_CHARACTERS} characters"
            raise Refused(HTTPStatus.BAD_REQUEST, f"asker: expected {expected}")
        if type(number) is not int or not 0 < number < MAX_CLIENT_NUMBER:
            raise Refused(HTTPStatus.BAD_REQUEST, "number: expected a whole number from 1 up")
        if not isinstance(entry, dict) or not isinstance(entry.get("k"), str):
            expected = "an object with its kind as k"
            raise Refused(HTTPStatus.BAD_REQUEST, f"entry: expected {expected}")
        return _ClientEntry(client, number, entry)


def _is_client_name(name: Any) -> bool:
    if not isinstance(name, str) or not name.isprintable():
        return False
    return 0 < len(name) <= MAX_CLIENT_NAME_CHARACTERS


@dataclass(frozen=True)
class _Marks:
    """The ledger's drain markers, and the index since which they are unchanged."""

    index: int
    marks: Any


class CoordinatorApi:
    """Answers the requests of peers and clients."""

    def __init__(
        self, member: CoordinatorMember, observer_reports: ObserverReports | None = None
    ) -> None:
        """Takes the member; `observer_reports` is None if the settings name no aggregators."""
        self.member = member
        self.observer_reports = observer_reports
        self._polls: set[Event] = set()
        self._marks = _Marks(0, None)
        # The index up to which the markers were compared.
        self._compared_index = -1
        self._hears_leader = False
        self._routes: dict[tuple[str, str], Handler] = {
            ("POST", "/v1/peer/said"): self._post_peer_messages,
            ("GET", "/v1/peer/who"): self._get_identity,
            ("POST", "/v1/fleet/entries"): self._post_entry,
            ("POST", "/v1/fleet/members"): self._post_member,
            ("GET", "/v1/fleet/look"): self._get_status,
            ("GET", "/v1/fleet/marks"): self._get_marks,
        }
        if observer_reports is not None:
            self._routes["POST", "/v1/fleet/observed"] = self._post_observer_report

    def handle(self, request: Request) -> Answer:
        """Answers a request."""
        try:
            return self._dispatch(request)
        except Refused as refused:
            body = {"why": refused.reason}
            return _answer_json(refused.status, body, bool(refused.retry_after))

    def _dispatch(self, request: Request) -> Answer:
        handler = self._routes.get((request.method, request.path))
        if handler is None:
            is_known = request.path in (path for _, path in self._routes)
            status = HTTPStatus.METHOD_NOT_ALLOWED if is_known else HTTPStatus.NOT_FOUND
            raise Refused(status, f"no {request.method} {request.path} here")
        if self.member.is_stopping and not request.path.startswith("/v1/peer/"):
            body = {"why": "this keeper is stopping; turn to another"}
            return _answer_json(HTTPStatus.SERVICE_UNAVAILABLE, body, retry=True)
        self._check_checksum(request)
        return handler(request)

    def _check_checksum(self, request: Request) -> None:
        checksum = request.query.get("sum")
        if checksum is None:
            return
        if with_checksum(request.path, request.body) != f"{request.path}?sum={checksum}":
            raise Refused(HTTPStatus.REQUEST_TIMEOUT, "it was spoilt on its way: say it again")

    def _require_checksum(self, request: Request, sender: str) -> None:
        if "sum" not in request.query:
            raise Refused(HTTPStatus.BAD_REQUEST, f"what {sender} says has its sum with it")

    def _decode_body(self, request: Request) -> Any:
        try:
            return json.loads(bytes(request.body))
        except (ValueError, RecursionError) as cause:
            reason = f"the body is no JSON: {cause}"
            raise Refused(HTTPStatus.BAD_REQUEST, reason) from None

    # Peers.

    def _post_peer_messages(self, request: Request) -> Answer:
        self._require_checksum(request, "a keeper")
        try:
            self.member.on_peer_messages(self._decode_body(request))
        except (ValueError, TypeError, KeyError, AttributeError) as cause:
            reason = f"not what a keeper says: {type(cause).__name__} {cause}"
            raise Refused(HTTPStatus.BAD_REQUEST, reason) from None
        return Answer(int(HTTPStatus.NO_CONTENT))

    def _get_identity(self, request: Request) -> Answer:  # noqa: ARG002 - as all handlers
        node = self.member.node
        if node is None:
            body = {"why": "its disk can't be used"}
            return _answer_json(HTTPStatus.SERVICE_UNAVAILABLE, body, retry=True)
        return _answer_json(
            HTTPStatus.OK,
            {
                "identity": node.identity,
                "blank": self.member.is_blank,
                "first": self.member.store.initial_configuration.to_json(),
                "reign": node.term,
                "leader": node.leader,
                "index": node.commit_index,
            },
        )

    # Outcomes.

    def _redirect(self, leader: str) -> Answer:
        """Returns an answer that names the leader, or says that none is known."""
        name = name_of(leader)
        settings = self.member.settings
        if name in settings.addresses and name != settings.name:
            host, port = settings.addresses[name]
            body = {"leader": name, "address": f"{host}:{port}"}
            return _answer_json(HTTPStatus.MISDIRECTED_REQUEST, body)
        body = {"why": self.member.leadership_bar or "no leader is known here"}
        return _answer_json(HTTPStatus.SERVICE_UNAVAILABLE, body, retry=True)

    def _answer_failure(self, reply: Reply) -> Answer:
        """Returns the answer to a request that was not done."""
        outcome = reply.outcome
        if outcome is Outcome.NOT_LEADER:
            return self._redirect(reply.answer.decode())
        if outcome is Outcome.UNKNOWN_OUTCOME:
            return _answer_json(HTTPStatus.CONFLICT, {"why": "doubt"})
        if outcome is Outcome.OVERLOADED:
            return _answer_json(HTTPStatus.TOO_MANY_REQUESTS, {"why": "full"}, retry=True)
        if outcome is Outcome.TOO_LARGE:
            max_bytes = self.member.settings.limits.max_entry_bytes
            body = {"why": f"an entry has at most {max_bytes} bytes"}
            return _answer_json(HTTPStatus.BAD_REQUEST, body)
        body = {"why": self.member.leadership_bar or outcome.value}
        return _answer_json(HTTPStatus.SERVICE_UNAVAILABLE, body, retry=True)

    # Entries and reports.

    def _post_entry(self, request: Request) -> Answer:
        proposed = _ClientEntry.decode(self._decode_body(request))
        reply = self.member.propose(
            proposed.client, proposed.number, proposed.entry, PROPOSAL_TIMEOUT_S
        )
        if reply.outcome is not Outcome.DONE:
            return self._answer_failure(reply)
        if reply.answer == FORGOTTEN:
            return _answer_json(HTTPStatus.GONE, {"why": "forgotten"})
        if reply.answer == FULL:
            return self._answer_failure(Reply(Outcome.OVERLOADED))
        index, _, answer = reply.answer.partition(b"\n")
        body = b'{"index":%s,"answer":%s}\n' % (index, answer)
        return _answer_with_checksum(HTTPStatus.OK, body, {})

    def _post_observer_report(self, request: Request) -> Answer:
        """Accepts a report of an aggregator, without asking a majority if this member still leads.

        The report's stamp proves when it was made, and if this member no longer leads, nothing of
        the report is committed.
        """
        self._require_checksum(request, "an observer")
        node = self.member.node
        self.member.catch_up_timer()
        if node is None or node.role is not Role.LEADER or self.member.node is not node:
            return self._redirect(node.leader if node else "")
        assert self.observer_reports is not None
        collector = self.observer_reports.collector()
        if collector is None:
            body = {"why": "a reign that has only begun"}
            return _answer_json(HTTPStatus.SERVICE_UNAVAILABLE, body, retry=True)
        try:
            return _answer_json(
                HTTPStatus.OK, self.observer_reports.report(collector, self._decode_body(request))
            )
        except ValueError as cause:
            raise Refused(HTTPStatus.BAD_REQUEST, str(cause)) from None

    # Status.

    def _get_status(self, request: Request) -> Answer:
        """Answers with the state as a majority confirms it, or with this member's own view."""
        if request.number("here", 0):
            return self._answer_own_status()
        result = self.member.read(self._read_status, READ_TIMEOUT_S)
        if result.reply.outcome is not Outcome.READ:
            return self._answer_failure(result.reply)
        return _answer_json(HTTPStatus.OK, result.state)

    def _answer_own_status(self) -> Answer:
        node = self.member.node
        if node is None:
            body = {"role": "none", "why": "its disk can't be used"}
            return _answer_json(HTTPStatus.OK, body)
        is_member = node.identity in node.configuration.members
        silence = 0
        if not is_member or node.role is not Role.LEADER:
            silence = max(0, self.member.clock.now_ticks() - node.leader_heard_at)
        return _answer_json(
            HTTPStatus.OK,
            {
                **self._read_status(),
                "role": node.role if is_member else STRANGER,
                "age": silence,
                "identity": node.identity,
                "off": self.member.leadership_bar,
                "failed": node.disk_failure,
            },
        )

    def _read_status(self) -> dict[str, Any]:
        node = self.member.node
        ledger = self.member.state_machine.ledger.inspect()
        assert node is not None
        status = {
            "index": node.commit_index,
            "reign": node.term,
            "leader": name_of(node.leader),
            "members": node.configuration.to_json(),
            "ledger": ledger,
        }
        if self.observer_reports is not None:
            status["observed"] = self.observer_reports.look(ledger)
        return status

    # Drain markers.

    def watch(self) -> None:
        """Wakes polls when markers change or a leader is lost or heard again, until killed."""
        while True:
            self.member.changed.wait(MAX_MARKS_PERIOD_S)
            self.member.changed.clear()
            if self._update_marks():
                for poll in self._polls:
                    poll.set()
            gevent.sleep(MIN_MARKS_PERIOD_S)

    def _update_marks(self) -> bool:
        """Returns whether the markers, or whether a leader is heard, have changed."""
        node = self.member.node
        before = (self._hears_leader, self._marks.index)
        is_running = node is not None and not self.member.is_stopping
        self._hears_leader = is_running and node is not None and node.hears_leader()
        if node is not None and node.commit_index != self._compared_index:
            self._compared_index = node.commit_index
            marks = list(self.member.state_machine.ledger.drain_markers())
            if marks != self._marks.marks:
                self._marks = _Marks(node.commit_index, marks)
        return (self._hears_leader, self._marks.index) != before

    def _get_marks(self, request: Request) -> Answer:
        after = request.number("after", 0)
        wait_ms = max(0, request.number("wait", 0))
        wait_s = min(MAX_MARKS_WAIT_S, wait_ms / MILLISECONDS_PER_SECOND)
        if len(self._polls) >= MAX_MARKS_POLLS:
            return _answer_json(HTTPStatus.TOO_MANY_REQUESTS, {"why": "full"}, retry=True)
        poll = Event()
        self._polls.add(poll)
        try:
            if self._hears_leader and self._marks.index <= after:
                request.hold(poll, wait_s)
        finally:
            self._polls.discard(poll)
        if not self._hears_leader:
            body = {"why": "no leader is heard here"}
            return _answer_json(HTTPStatus.SERVICE_UNAVAILABLE, body, retry=True)
        body_of_marks = {"index": self._compared_index, "marks": self._marks.marks}
        return _answer_json(HTTPStatus.OK, body_of_marks)

    # Members.

    def _post_member(self, request: Request) -> Answer:
        """Replaces the former member of a coordinator that lost its disk; only the leader does."""
        name = self._replaced_name(self._decode_body(request))
        node = self.member.node
        if node is None or node.role is not Role.LEADER:
            return self._redirect(node.leader if node else "")
        try:
            identity = self._ask_identity(name)
        except (OSError, ValueError, KeyError, TypeError) as cause:
            body = {"why": f"{name} does not say who it is: {cause}"}
            return _answer_json(HTTPStatus.SERVICE_UNAVAILABLE, body, retry=True)
        if not isinstance(identity, str) or name_of(identity) != name:
            body = {"why": f"{name} says that it is {identity}"}
            return _answer_json(HTTPStatus.SERVICE_UNAVAILABLE, body, retry=True)
        return self._replace(node, name, identity)

    def _replaced_name(self, body: Any) -> str:
        settings = self.member.settings
        name = body.get("replace") if isinstance(body, dict) else None
        if name not in settings.addresses or name == settings.name:
            known = ", ".join(settings.addresses)
            reason = f"replace: expected another keeper of {known}"
            raise Refused(HTTPStatus.BAD_REQUEST, reason)
        return str(name)

    def _ask_identity(self, name: str) -> Any:
        client = HttpClient(self.member.settings.addresses[name])
        answer = client.call("GET", "/v1/peer/who", IDENTITY_TIMEOUT_S)
        return json.loads(answer.body)["identity"] if is_intact(answer) else ""

    def _replace(self, node: CoordinatorNode, name: str, identity: str) -> Answer:
        members = node.configuration.members
        former = [member for member in members if name_of(member) == name and member != identity]
        for member in former:
            reply = self.member.request(CoordinatorNode.remove_member, PROPOSAL_TIMEOUT_S, member)
            if reply.outcome not in (Outcome.DONE, Outcome.NO_CHANGE):
                return self._answer_failure(reply)
        if identity not in members:
            reply = self.member.request(CoordinatorNode.add_member, PROPOSAL_TIMEOUT_S, identity)
            if reply.outcome not in (Outcome.DONE, Outcome.NO_CHANGE):
                return self._answer_failure(reply)
        return _answer_json(HTTPStatus.OK, {"identity": identity, "replaced": former})
