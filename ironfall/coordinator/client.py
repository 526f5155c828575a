"""Client of the coordinators, for directors, registries, agents, aggregators and operators.

A proposal keeps its number while it is sent to one coordinator after another, until its outcome is
known, so that it takes effect once. Imports neither the consensus nor the ledger.
"""

import json
import random
import secrets
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore

from ironfall.api.http import Answer, HttpClient
from ironfall.coordinator.sums import CHECKSUM_HEADER_KEY, is_intact, with_checksum

CONNECT_TIMEOUT_S = 0.3
# Timeouts of the first attempt and of the longest. A suspended coordinator accepts connections and
# answers nothing while another one already leads, so the first is short. They grow because retries
# don't help a coordinator with a slow disk; it answers that an outcome is unknown before 6 s.
MIN_ATTEMPT_TIMEOUT_S, MAX_ATTEMPT_TIMEOUT_S = 1.0, 6.0
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0  # before jitter
MAX_ANSWER_BYTES = 1 << 26  # bytes
# Sent without a checksum by the HTTP server, before the coordinator sees the request.
STATUSES_WITHOUT_CHECKSUM = (408, 413, 429, 431, 503)
# The request is malformed. The last four are sent before its checksum is verified, so the request
# may have been corrupted on its way.
STATUSES_OF_REFUSAL = (400, 404, 405, 413, 431)
UNVERIFIED_STATUSES_OF_REFUSAL = (404, 405, 413, 431)


@dataclass(frozen=True)
class CoordinatorAnswer:
    """The outcome of a call.

    Attributes:
        failure: the call failed because of this; empty if a coordinator answered it, and for a
            proposal if it was committed. `refused`: malformed, never applied; `doubt`: may have
            been applied or may still be; `forgotten`: not applied now, but perhaps before; `full`:
            the coordinators are overloaded; `silent`: no coordinator gave a final answer within the
            time; `busy`: another call of this client is in progress.
            From a single attempt also `unmade`: the connection was refused; `cut`: the request may
            have arrived, no intact answer came; `other`: any other answer.
        body: the decoded answer.
        detail: the failure's details, for people.
    """

    failure: str = ""
    body: dict[str, Any] = field(default_factory=dict)
    detail: str = ""

    @property
    def rejection(self) -> str:
        """The ledger's reason for rejecting a committed entry; empty if it accepted it."""
        answer = self.body.get("answer", {})
        return str(answer.get("no", "")) if isinstance(answer, dict) else ""

    @property
    def is_accepted(self) -> bool:
        """Whether the call succeeded and the ledger did not reject the entry."""
        return not self.failure and not self.rejection


def _random_token() -> str:
    return secrets.token_hex(4)


def _is_final_refusal(answers: Sequence[tuple[int, Any]]) -> bool:
    """Returns whether the last of the answers, by status and reason, refuses the request for good.

    One sent before the request's checksum was verified must be confirmed by an equal answer.
    """
    status, _ = answers[-1]
    if status in UNVERIFIED_STATUSES_OF_REFUSAL:
        return answers.count(answers[-1]) > 1
    return status in STATUSES_OF_REFUSAL


class _Connections:
    """A persistent connection to each coordinator, for one greenlet at a time."""

    def __init__(self) -> None:
        self.clients: dict[str, HttpClient] = {}
        self.lock = BoundedSemaphore(1)

    def client_for(self, name: str, address: tuple[str, int]) -> HttpClient:
        return self.clients.setdefault(
            name, HttpClient(address, CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES)
        )

    def close(self) -> None:
        for client in self.clients.values():
            client.close()


class CoordinatorClient:
    """One client of the coordinators.

    Calls report failures in their results and raise nothing but what kills a greenlet. `seconds`
    bounds a call.

    Attributes:
        addresses: addresses of the coordinators by name.
        name: this client's name.
        session_name: this client's name with a random token, under which its proposals are counted.
        last_number: the number of its last proposal.
        leader: the coordinator to try first; empty if unknown.
        order: the coordinators' names, the next one to try first.
        counts: `failures`, attempts without an answer; `tries again`, retries after a delay.
    """

    def __init__(
        self,
        coordinators: Sequence[tuple[str, tuple[str, int]]],
        name: str,
        random_source: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
        new_token: Callable[[], str] = _random_token,
    ) -> None:
        """Connects to nothing yet.

        Args:
            coordinators: names and addresses.
            name: this client's name.
            random_source: draws the order of coordinators and jitter.
            monotonic: this client's clock, in seconds.
            new_token: draws a token that tells sessions of this client from each other; each
                numbers its proposals from 1.
        """
        self.addresses, self.name, self.random_source, self.monotonic = (
            dict(coordinators),
            name,
            random_source,
            monotonic,
        )
        self.new_token, self.leader = new_token, ""
        self.order = list(self.addresses)
        self.random_source.shuffle(self.order)  # spreads clients over the coordinators
        # Proposals take effect in order, one at a time; nothing else waits for them.
        (
            self.proposal_connections,
            self.read_connections,
            self.poll_connections,
            self.report_connections,
        ) = (_Connections(), _Connections(), _Connections(), _Connections())
        self.counts: dict[str, int] = {}
        self._begin_session()

    def _begin_session(self) -> None:
        self.session_name, self.last_number, self.is_session_open = (
            f"{self.name}/{self.new_token()}",
            0,
            False,
        )

    def close(self) -> None:
        """Closes all connections."""
        for connections in (
            self.proposal_connections,
            self.read_connections,
            self.poll_connections,
            self.report_connections,
        ):
            connections.close()

    def propose(self, entry: dict[str, Any], seconds: float = 5.0) -> CoordinatorAnswer:
        """Proposes an entry for the ledger, to take effect at most once.

        Retries have the same number, so that a repeated one is answered but not applied again.
        """
        deadline = self.monotonic() + seconds
        return self._run_exclusively(
            self.proposal_connections, seconds, lambda: self._propose(entry, deadline)
        )

    def _run_exclusively(
        self, connections: _Connections, seconds: float, call: Callable[[], CoordinatorAnswer]
    ) -> CoordinatorAnswer:
        if not connections.lock.acquire(timeout=seconds):
            return CoordinatorAnswer(
                "busy", detail="another call of this client is still in progress"
            )
        try:
            return call()
        finally:
            connections.lock.release()

    def _propose(self, entry: dict[str, Any], deadline: float) -> CoordinatorAnswer:
        self.last_number += 1
        body = json.dumps(
            {"asker": self.session_name, "number": self.last_number, "entry": entry}
        ).encode()
        result = self._send_proposal(deadline, body)
        if not result.failure:
            self.is_session_open = True
        elif result.failure == "forgotten" or not self.is_session_open:
            # The first number opens the session: had it been lost, every later one would count as
            # forgotten.
            self._begin_session()
        return result

    def _send_proposal(self, deadline: float, body: bytes) -> CoordinatorAnswer:
        is_in_doubt = False

        def interpret(answer: Answer, told: dict[str, Any]) -> CoordinatorAnswer | None:
            nonlocal is_in_doubt
            if answer.status == 410:
                return CoordinatorAnswer(
                    "forgotten",
                    told,
                    "the coordinators no longer know its outcome: look up the state",
                )
            is_in_doubt = is_in_doubt or answer.status == 409
            return None

        result, may_have_arrived = self._retry_until(
            self.proposal_connections, deadline, "POST", "/v1/fleet/entries", body, interpret
        )
        if result.failure in ("silent", "full", "refused") and (is_in_doubt or may_have_arrived):
            return CoordinatorAnswer("doubt", result.body, result.detail)
        return result

    def send_report(self, report: dict[str, Any], seconds: float) -> CoordinatorAnswer:
        """Sends a heartbeat aggregator's report to the leader.

        Retries within `seconds` are the same report, which counts once; after a failure the next
        report has what this one did not deliver. An answer that says why the report was ignored is
        a success here: `body` has it.
        """
        deadline, body = (
            self.monotonic() + seconds,
            json.dumps(report, separators=(",", ":")).encode(),
        )

        def interpret(answer: Answer, told: dict[str, Any]) -> CoordinatorAnswer | None:
            return CoordinatorAnswer("", told) if answer.status == 200 and "stamp" in told else None

        return self._run_exclusively(
            self.report_connections,
            seconds,
            lambda: self._retry_until(
                self.report_connections, deadline, "POST", "/v1/fleet/observed", body, interpret
            )[0],
        )

    def read_status(self, seconds: float = 5.0) -> CoordinatorAnswer:
        """Reads the state, as a majority confirms it after the start of this call."""
        deadline = self.monotonic() + seconds
        return self._run_exclusively(
            self.read_connections,
            seconds,
            lambda: self._retry_until(
                self.read_connections, deadline, "GET", "/v1/fleet/look", b""
            )[0],
        )

    def replace_member(self, name: str, seconds: float = 10.0) -> CoordinatorAnswer:
        """Replaces the former member of a coordinator that lost its disk by its present one."""
        body, deadline = json.dumps({"replace": name}).encode(), self.monotonic() + seconds
        return self._run_exclusively(
            self.read_connections,
            seconds,
            lambda: self._retry_until(
                self.read_connections, deadline, "POST", "/v1/fleet/members", body
            )[0],
        )

    def read_own_status(self, name: str, seconds: float = 1.0) -> CoordinatorAnswer:
        """Reads one coordinator's own view, without asking the others; tries once."""
        return self._run_exclusively(
            self.read_connections,
            seconds,
            lambda: self._try_once(
                self.read_connections, name, "GET", "/v1/fleet/look?here=1", b"", seconds
            )[1],
        )

    def poll_drain_markers(self, after: int, wait: float = 10.0) -> CoordinatorAnswer:
        """Polls the drain markers, from any coordinator that hears a leader.

        Returns when they have changed after index `after`, or after `wait` seconds. Fails as
        `silent` after one attempt at each coordinator; the caller retries after a delay of its own.
        """
        return self._run_exclusively(
            self.poll_connections, wait, lambda: self._poll_markers(after, wait)
        )

    def _poll_markers(self, after: int, wait: float) -> CoordinatorAnswer:
        path = f"/v1/fleet/marks?after={after}&wait={wait * 1000:.0f}"
        for name in list(self.order):
            _, result = self._try_once(self.poll_connections, name, "GET", path, b"", wait + 2)
            if not result.failure and isinstance(result.body.get("marks"), list):
                return result
            self._move_to_end(name)
        return CoordinatorAnswer("silent", detail="no coordinator answered with drain markers")

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _move_to_end(self, name: str) -> None:
        self.order.remove(name)
        self.order.append(name)

    def _try_once(
        self,
        connections: _Connections,
        name: str,
        method: str,
        path: str,
        body: bytes,
        seconds: float,
    ) -> tuple[Answer | None, CoordinatorAnswer]:
        try:
            target = with_checksum(path, body) if body else path
            answer = connections.client_for(name, self.addresses[name]).call(
                method, target, seconds, body
            )
            if not is_intact(answer) and (
                CHECKSUM_HEADER_KEY in answer.headers
                or answer.status not in STATUSES_WITHOUT_CHECKSUM
            ):
                raise ConnectionAbortedError("its answer does not match its checksum")
        except OSError as cause:
            self._count("failures")
            # Over a connection that was refused nothing can have arrived.
            why = "unmade" if isinstance(cause, ConnectionRefusedError) else "cut"
            return None, CoordinatorAnswer(why, detail=f"{name}: {cause}")
        try:
            told = json.loads(answer.body)
        except (ValueError, RecursionError):
            told = {"why": bytes(answer.body[:200]).decode("utf-8", "replace").strip()}
        if not isinstance(told, dict):
            told = {"why": "its answer is not a JSON object"}
        if answer.status == 200 and "why" not in told:
            return answer, CoordinatorAnswer("", told)
        return answer, CoordinatorAnswer("other", told, f"{name}: {told.get('why', answer.status)}")

    def _retry_until(
        self,
        connections: _Connections,
        deadline: float,
        method: str,
        path: str,
        body: bytes,
        interpret: Callable[
            [Answer, dict[str, Any]], CoordinatorAnswer | None
        ] = lambda answer, told: None,
    ) -> tuple[CoordinatorAnswer, bool]:
        """Retries until a coordinator gives a final answer or the time is up.

        Args:
            connections: those to send over.
            deadline: by this client's clock, in seconds.
            method: the HTTP method.
            path: the path without the checksum.
            body: the request's body; empty if there is none.
            interpret: returns the result for an answer that is final, else None.

        Returns:
            The result, and whether an attempt may have arrived though no answer came.
        """
        delay_s, timeout_s, last_text, may_have_arrived, is_full, redirects = (
            MIN_RETRY_DELAY_S,
            MIN_ATTEMPT_TIMEOUT_S,
            "no coordinator was asked within the time",
            False,
            False,
            0,
        )
        answers: list[tuple[int, Any]] = []
        while (remaining_s := deadline - self.monotonic()) > 0:
            name = self.leader if self.leader in self.addresses else self.order[0]
            answer, result = self._try_once(
                connections, name, method, path, body, min(timeout_s, remaining_s)
            )
            if not result.failure:
                self.leader = name
                return result, may_have_arrived
            last_text, self.leader = result.detail, ""
            may_have_arrived = may_have_arrived or result.failure == "cut"
            if answer is None:
                timeout_s = min(MAX_ATTEMPT_TIMEOUT_S, 1.5 * timeout_s)
            else:
                if (final := interpret(answer, result.body)) is not None:
                    self.leader = "" if final.failure else name
                    return final, may_have_arrived
                answers.append((answer.status, result.body.get("why")))
                if _is_final_refusal(answers):
                    return CoordinatorAnswer("refused", result.body, last_text), may_have_arrived
                is_full = answer.status == 429
                if (
                    answer.status == 421
                    and result.body.get("leader") in self.addresses
                    and redirects < len(self.order)
                ):
                    # Redirected to the leader: tried without a delay, but no more often in a row
                    # than there are coordinators.
                    self.leader, redirects = str(result.body["leader"]), redirects + 1
                    continue
            if name in self.order:
                self._move_to_end(name)
            self._count("tries again")
            redirects = 0
            gevent.sleep(
                max(
                    0.0,
                    min(delay_s * (0.5 + self.random_source.random()), deadline - self.monotonic()),
                )
            )
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
        return CoordinatorAnswer(
            "full" if is_full else "silent", detail=last_text
        ), may_have_arrived
