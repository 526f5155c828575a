"""Client of the coordinators: for directors, registries, agents, observers and operators.

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
from ironfall.coordinator.sums import NAME, asked, whole

CONNECT = 0.3
# Timeouts of the first attempt and of the longest. A suspended coordinator accepts connections and
# answers nothing while another one already leads, so the first is short. They grow because retries
# don't help a coordinator with a slow disk; it answers that an outcome is unknown before 6 s.
SOON, LATE = 1.0, 6.0
FIRST, MOST = 0.05, 1.0  # before jitter
ANSWER_MOST = 1 << 26  # bytes
# Sent without a checksum by the HTTP server, before the coordinator sees the request.
UNSUMMED = (408, 413, 429, 431, 503)


@dataclass(frozen=True)
class CoordinatorAnswer:
    """The outcome of a call.

    Attributes:
        why: the call failed because of this; empty if a coordinator answered it, and for a
            proposal if it was committed. `refused`: malformed, never applied; `doubt`: may have
            been applied or may still be; `forgotten`: not applied now, but perhaps before; `full`:
            the coordinators are overloaded; `silent`: no coordinator answered for good within the
            time; `busy`: another call of this client is in progress.
            From a single attempt also `unmade`: the connection was refused; `cut`: the request may
            have arrived, no intact answer came; `other`: any other answer.
        told: the decoded answer.
        text: the failure's details, for people.
    """

    why: str = ""
    told: dict[str, Any] = field(default_factory=dict)
    text: str = ""

    @property
    def no(self) -> str:
        """The ledger's reason for rejecting a committed entry; empty if it accepted it."""
        answer = self.told.get("answer", {})
        return str(answer.get("no", "")) if isinstance(answer, dict) else ""

    @property
    def done(self) -> bool:
        """Whether the call succeeded and the ledger did not reject the entry."""
        return not self.why and not self.no


def _drawn() -> str:
    return secrets.token_hex(4)


class _Lines:
    """A persistent connection to each coordinator, for one greenlet at a time."""

    def __init__(self) -> None:
        self.clients: dict[str, HttpClient] = {}
        self.free = BoundedSemaphore(1)

    def to(self, name: str, address: tuple[str, int]) -> HttpClient:
        return self.clients.setdefault(name, HttpClient(address, CONNECT, ANSWER_MOST))

    def close(self) -> None:
        for client in self.clients.values():
            client.close()


class CoordinatorClient:
    """One client of the coordinators.

    Calls report failures in their results and raise nothing but what kills a greenlet. `seconds`
    bounds a call.

    Attributes:
        keepers: addresses of the coordinators by name.
        base: this client's name.
        asker: this client's name with a random token, under which its proposals are counted.
        number: of its last proposal.
        leader: the coordinator to try first; empty if unknown.
        order: the coordinators' names, the next one to try first.
        counts: `failures`, attempts without an answer; `tries again`, retries after a delay.
    """

    def __init__(
        self,
        keepers: Sequence[tuple[str, tuple[str, int]]],
        asker: str,
        chance: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
        fresh: Callable[[], str] = _drawn,
    ) -> None:
        """Connects to nothing yet.

        Args:
            keepers: names and addresses.
            asker: name of this client.
            chance: random source of the order of coordinators and of jitter.
            monotonic: clock, in seconds.
            fresh: draws a token that tells sessions of this client from each other; each
                numbers its proposals from 1.
        """
        self.keepers, self.base, self.chance, self.monotonic = (
            dict(keepers),
            asker,
            chance,
            monotonic,
        )
        self.fresh, self.leader = fresh, ""
        self.order = list(self.keepers)
        self.chance.shuffle(self.order)  # spreads clients over the coordinators
        # Proposals take effect in order, one at a time; nothing else waits for them.
        (
            self.asks,
            self.looks,
            self.polls,
            self.reports,
        ) = (_Lines(), _Lines(), _Lines(), _Lines())
        self.counts: dict[str, int] = {}
        self._anew()

    def _anew(self) -> None:
        self.asker, self.number, self.known = f"{self.base}/{self.fresh()}", 0, False

    def close(self) -> None:
        """Closes all connections."""
        for lines in (
            self.asks,
            self.looks,
            self.polls,
            self.reports,
        ):
            lines.close()

    def ask(self, entry: dict[str, Any], seconds: float = 5.0) -> CoordinatorAnswer:
        """Proposes an entry for the ledger, to take effect at most once.

        Retries have the same number, so that a repeated one is answered but not applied again.
        """
        until = self.monotonic() + seconds
        return self._alone(self.asks, seconds, lambda: self._ask(entry, until))

    def _alone(
        self, lines: _Lines, seconds: float, what: Callable[[], CoordinatorAnswer]
    ) -> CoordinatorAnswer:
        if not lines.free.acquire(timeout=seconds):
            return CoordinatorAnswer(
                "busy", text="another call of this client is still in progress"
            )
        try:
            return what()
        finally:
            lines.free.release()

    def _ask(self, entry: dict[str, Any], until: float) -> CoordinatorAnswer:
        self.number += 1
        body = json.dumps({"asker": self.asker, "number": self.number, "entry": entry}).encode()
        heard = self._said(until, body)
        if not heard.why:
            self.known = True
        elif heard.why == "forgotten" or not self.known:
            # The first number opens the session: had it been lost, every later one would count as
            # forgotten.
            self._anew()
        return heard

    def _said(self, until: float, body: bytes) -> CoordinatorAnswer:
        doubt = False

        def judge(answer: Answer, told: dict[str, Any]) -> CoordinatorAnswer | None:
            nonlocal doubt
            if answer.status == 410:
                return CoordinatorAnswer(
                    "forgotten",
                    told,
                    "the coordinators no longer know its outcome: look up the state",
                )
            doubt = doubt or answer.status == 409
            return None

        heard, cut = self._round(self.asks, until, "POST", "/v1/fleet/entries", body, judge)
        if heard.why in ("silent", "full", "refused") and (doubt or cut):
            return CoordinatorAnswer("doubt", heard.told, heard.text)
        return heard

    def observed(self, report: dict[str, Any], seconds: float) -> CoordinatorAnswer:
        """Sends an observer's report to the leader.

        Retries within `seconds` are the same report, which counts once; after a failure the next
        report has what this one did not deliver. An answer that says why the report was ignored is
        a success here: `told` has it.
        """
        until, body = (
            self.monotonic() + seconds,
            json.dumps(report, separators=(",", ":")).encode(),
        )

        def judge(answer: Answer, told: dict[str, Any]) -> CoordinatorAnswer | None:
            return CoordinatorAnswer("", told) if answer.status == 200 and "stamp" in told else None

        return self._alone(
            self.reports,
            seconds,
            lambda: self._round(self.reports, until, "POST", "/v1/fleet/observed", body, judge)[0],
        )

    def look(self, seconds: float = 5.0) -> CoordinatorAnswer:
        """Reads the state, as a majority confirms it after the start of this call."""
        until = self.monotonic() + seconds
        return self._alone(
            self.looks,
            seconds,
            lambda: self._round(self.looks, until, "GET", "/v1/fleet/look", b"")[0],
        )

    def replace(self, name: str, seconds: float = 10.0) -> CoordinatorAnswer:
        """Replaces a coordinator that lost its disk by the member that it is now."""
        body, until = json.dumps({"replace": name}).encode(), self.monotonic() + seconds
        return self._alone(
            self.looks,
            seconds,
            lambda: self._round(self.looks, until, "POST", "/v1/fleet/members", body)[0],
        )

    def here(self, name: str, seconds: float = 1.0) -> CoordinatorAnswer:
        """Reads one coordinator's own view, without asking the others; tries once."""
        return self._alone(
            self.looks,
            seconds,
            lambda: self._try(self.looks, name, "GET", "/v1/fleet/look?here=1", b"", seconds)[1],
        )

    def marks(self, after: int, wait: float = 10.0) -> CoordinatorAnswer:
        """Polls the drain markers, from any coordinator that hears a leader.

        Returns when they have changed after index `after`, or after `wait` seconds. Fails as
        `silent` after one attempt at each coordinator; the caller retries after a delay of its own.
        """
        return self._alone(self.polls, wait, lambda: self._marks(after, wait))

    def _marks(self, after: int, wait: float) -> CoordinatorAnswer:
        path = f"/v1/fleet/marks?after={after}&wait={wait * 1000:.0f}"
        for name in list(self.order):
            _, heard = self._try(self.polls, name, "GET", path, b"", wait + 2)
            if not heard.why and isinstance(heard.told.get("marks"), list):
                return heard
            self._last(name)
        return CoordinatorAnswer("silent", text="no coordinator answered with drain markers")

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _last(self, name: str) -> None:
        self.order.remove(name)
        self.order.append(name)

    def _try(
        self,
        lines: _Lines,
        name: str,
        method: str,
        path: str,
        body: bytes,
        seconds: float,
    ) -> tuple[Answer | None, CoordinatorAnswer]:
        try:
            told_to = asked(path, body) if body else path
            answer = lines.to(name, self.keepers[name]).call(method, told_to, seconds, body)
            if not whole(answer) and (NAME in answer.headers or answer.status not in UNSUMMED):
                raise ConnectionAbortedError("its answer does not match its checksum")
        except OSError as cause:
            self._count("failures")
            # Over a connection that was refused nothing can have arrived.
            why = "unmade" if isinstance(cause, ConnectionRefusedError) else "cut"
            return None, CoordinatorAnswer(why, text=f"{name}: {cause}")
        try:
            told = json.loads(answer.body)
        except (ValueError, RecursionError):
            told = {"why": bytes(answer.body[:200]).decode("utf-8", "replace").strip()}
        if not isinstance(told, dict):
            told = {"why": "its answer is not a JSON object"}
        if answer.status == 200 and "why" not in told:
            return answer, CoordinatorAnswer("", told)
        return answer, CoordinatorAnswer("other", told, f"{name}: {told.get('why', answer.status)}")

    def _round(
        self,
        lines: _Lines,
        until: float,
        method: str,
        path: str,
        body: bytes,
        judge: Callable[[Answer, dict[str, Any]], CoordinatorAnswer | None] = lambda answer, told: (
            None
        ),
    ) -> tuple[CoordinatorAnswer, bool]:
        """Retries until a coordinator gives a final answer or the time is up.

        Args:
            lines: to send over.
            until: the deadline by this client's clock, in seconds.
            method: of the request.
            path: without the checksum.
            body: empty if there is none.
            judge: returns the result for an answer that is final, else None.

        Returns:
            The result, and whether an attempt may have arrived though no answer came.
        """
        wait, patience, last, cut, full, follow = (
            FIRST,
            SOON,
            "no coordinator was asked within the time",
            False,
            False,
            0,
        )
        while (left := until - self.monotonic()) > 0:
            name = self.leader if self.leader in self.keepers else self.order[0]
            answer, heard = self._try(lines, name, method, path, body, min(patience, left))
            if not heard.why:
                self.leader = name
                return heard, cut
            last, self.leader = heard.text, ""
            cut = cut or heard.why == "cut"
            if answer is None:
                patience = min(LATE, 1.5 * patience)
            else:
                if (found := judge(answer, heard.told)) is not None:
                    self.leader = "" if found.why else name
                    return found, cut
                if answer.status in (400, 404, 405, 413, 431):
                    return CoordinatorAnswer("refused", heard.told, last), cut
                full = answer.status == 429
                if (
                    answer.status == 421
                    and heard.told.get("leader") in self.keepers
                    and follow < len(self.order)
                ):
                    # Redirected to the leader: tried without a delay, but no more often in a row
                    # than there are coordinators.
                    self.leader, follow = str(heard.told["leader"]), follow + 1
                    continue
            if name in self.order:
                self._last(name)
            self._count("tries again")
            follow = 0
            gevent.sleep(
                max(
                    0.0,
                    min(wait * (0.5 + self.chance.random()), until - self.monotonic()),
                )
            )
            wait = min(MOST, 2 * wait)
        return CoordinatorAnswer("full" if full else "silent", text=last), cut
