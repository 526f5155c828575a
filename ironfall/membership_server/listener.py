"""The aggregator's HTTP interface: heartbeats of members, and its state for operators."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from gevent.event import Event

from ironfall.api.http import Answer, Refused, Request
from ironfall.coordinator.sums import CHECKSUM_HEADER, answer_checksum, with_checksum
from ironfall.disruption.targets import is_host
from ironfall.membership import HeartbeatAggregator
from ironfall.membership.member_status import Status, must_be_logged
from ironfall.membership_server.client import HEARTBEATS_PATH

INSPECT_PATH = "/v1/observe/look"


class HeartbeatListener:
    """Answers requests without yielding, so that each request is handled atomically.

    Attributes:
        messages: How many messages of heartbeats were received.
        heartbeats: How many heartbeats the well-formed messages had.
        received_bytes: The size of all messages.
        urgent: Set when a status was received that the leader must have soon.
    """

    def __init__(
        self,
        aggregator: HeartbeatAggregator,
        now: Callable[[], int],
        inspect: Callable[[], dict[str, Any]],
    ) -> None:
        """`inspect` returns what operators are shown; `now` is in tenths of a millisecond."""
        self._aggregator = aggregator
        self._now = now
        self._inspect = inspect
        self.messages = 0
        self.heartbeats = 0
        self.received_bytes = 0
        self.urgent = Event()
        self._routes: dict[tuple[str, str], Callable[[Request], dict[str, Any]]] = {
            ("POST", HEARTBEATS_PATH): self._on_heartbeats,
            ("GET", INSPECT_PATH): lambda _request: self._inspect(),
        }

    def handle(self, request: Request) -> Answer:
        """Answers a request."""
        try:
            body = self._route(request)(request)
        except Refused as refused:
            return _answer_json(refused.status, {"why": refused.reason})
        return _answer_json(HTTPStatus.OK, body)

    def _route(self, request: Request) -> Callable[[Request], dict[str, Any]]:
        route = self._routes.get((request.method, request.path))
        if route is None:
            is_known = any(path == request.path for _, path in self._routes)
            status = HTTPStatus.METHOD_NOT_ALLOWED if is_known else HTTPStatus.NOT_FOUND
            raise Refused(status, f"no {request.method} {request.path} here")
        return route

    def _on_heartbeats(self, request: Request) -> dict[str, Any]:
        _check_sum(request)
        self.messages += 1
        self.received_bytes += len(request.body)
        try:
            message = json.loads(bytes(request.body))
        except (ValueError, RecursionError) as error:
            raise Refused(HTTPStatus.BAD_REQUEST, f"the body is no JSON: {error}") from None
        reported = self._reported_statuses(message)
        try:
            answer = self._aggregator.on_heartbeats(self._now(), message)
        except ValueError as error:
            raise Refused(HTTPStatus.BAD_REQUEST, str(error)) from None
        self.heartbeats += len(message["beats"])
        if any(self._is_urgent(unit, status) for unit, status in reported.items()):
            self.urgent.set()
        return answer

    def _reported_statuses(self, message: Any) -> dict[str, Status]:
        """Returns the last reported status of each member for which the message has a new one.

        The message has not been validated yet.
        """
        beats = message.get("beats") if isinstance(message, dict) else None
        if not isinstance(beats, dict):
            return {}
        members = self._aggregator.members
        return {
            unit: members[unit].reported_status
            for unit, beat in beats.items()
            if unit in members and isinstance(beat, dict) and beat.get("word")
        }

    def _is_urgent(self, unit: str, reported: Status) -> bool:
        """Whether decisions depend on the leader having the member's new status soon."""
        status = self._aggregator.members[unit].status
        if status == reported:
            return False
        if is_host(unit) or status["drained"] != reported["drained"]:
            return True
        return must_be_logged(reported, status, self._aggregator.rules.near_limit)


def _check_sum(request: Request) -> None:
    if "sum" not in request.query:
        raise Refused(HTTPStatus.BAD_REQUEST, "what members say has its sum with it")
    if with_checksum(request.path, request.body) != f"{request.path}?sum={request.query['sum']}":
        raise Refused(HTTPStatus.REQUEST_TIMEOUT, "it was spoilt on its way: say it again")


def _answer_json(status: int, value: dict[str, Any]) -> Answer:
    body = json.dumps(value, separators=(",", ":")).encode() + b"\n"
    return Answer(
        status,
        body,
        {"Content-Type": "application/json", CHECKSUM_HEADER: answer_checksum(status, body)},
    )
