"""The client end of the keepers: asks numbered once, said to one keeper after another until it is known what came of
them. For directors, registry, agents and operators; it imports nothing of the agreement or the ledger.
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

CONNECT = 0.3  # seconds
# One try's first and longest patience: a keeper that was stopped takes connections and answers none, while another has
# long been leading; and one whose disk is slow is not helped by many askings. Doubt is answered before 6 s.
SOON, LATE = 1.0, 6.0
FIRST, MOST = 0.05, 1.0  # seconds between tries, before jitter
ANSWER_MOST = 1 << 26
UNSUMMED = (408, 413, 429, 431, 503)  # by the HTTP end, before a keeper saw what was asked


@dataclass(frozen=True)
class CoordinatorAnswer:
    """What came of it. `why` is empty where it was agreed; then `told` holds the keepers' answer.

    An entry that was agreed may still be refused by the ledger: `no` has its reason. Else why not: `refused` (never
    done), `doubt` (may come into effect yet), `forgotten` (not done now, perhaps before), `full`, `silent` (nobody
    answers), `busy` (another ask of ours waits).
    """

    why: str = ""
    told: dict[str, Any] = field(default_factory=dict)
    text: str = ""

    @property
    def no(self) -> str:
        answer = self.told.get("answer", {})
        return str(answer.get("no", "")) if isinstance(answer, dict) else ""

    @property
    def done(self) -> bool:
        return not self.why and not self.no


def _drawn() -> str:
    return secrets.token_hex(4)


class _Lines:
    """A kept connection to each keeper, for one greenlet at a time."""

    def __init__(self) -> None:
        self.clients: dict[str, HttpClient] = {}
        self.free = BoundedSemaphore(1)

    def to(self, name: str, address: tuple[str, int]) -> HttpClient:
        return self.clients.setdefault(name, HttpClient(address, CONNECT, ANSWER_MOST))

    def close(self) -> None:
        for client in self.clients.values():
            client.close()


class CoordinatorClient:
    """One asker. Nothing here raises but what ends a greenlet; `seconds` bounds each call."""

    def __init__(
        self,
        keepers: Sequence[tuple[str, tuple[str, int]]],
        asker: str,
        chance: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
        fresh: Callable[[], str] = _drawn,
    ) -> None:
        """`fresh` draws what tells one life of this asker from another; an asker counts its asks from 1."""
        self.keepers, self.base, self.chance, self.monotonic = (
            dict(keepers),
            asker,
            chance,
            monotonic,
        )
        self.fresh, self.leader = fresh, ""
        self.order = list(self.keepers)
        self.chance.shuffle(self.order)  # not all askers at the first keeper
        # Asks come into effect in order, one at a time; neither a held poll nor a look waits for them.
        self.asks, self.looks, self.polls, self.reports = _Lines(), _Lines(), _Lines(), _Lines()
        self.counts: dict[str, int] = {}
        self._anew()

    def _anew(self) -> None:
        self.asker, self.number, self.known = f"{self.base}/{self.fresh()}", 0, False

    def close(self) -> None:
        for lines in (self.asks, self.looks, self.polls, self.reports):
            lines.close()

    def ask(self, entry: dict[str, Any], seconds: float = 5.0) -> CoordinatorAnswer:
        """Put into the log once: said again with the same number, it has its effect and its answer no second time."""
        until = self.monotonic() + seconds
        return self._alone(self.asks, seconds, lambda: self._ask(entry, until))

    def _alone(
        self, lines: _Lines, seconds: float, what: Callable[[], CoordinatorAnswer]
    ) -> CoordinatorAnswer:
        if not lines.free.acquire(timeout=seconds):
            return CoordinatorAnswer("busy", text="another call of this asker waits")
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
            # The first number opens the asker: were it lost, every later one would count as forgotten.
            self._anew()
        return heard

    def _said(self, until: float, body: bytes) -> CoordinatorAnswer:
        doubt = False

        def judge(answer: Answer, told: dict[str, Any]) -> CoordinatorAnswer | None:
            nonlocal doubt
            if answer.status == 410:
                return CoordinatorAnswer(
                    "forgotten", told, "it was forgotten: what came of it is to be looked at"
                )
            doubt = doubt or answer.status == 409
            return None

        heard, cut = self._round(self.asks, until, "POST", "/v1/fleet/entries", body, judge)
        if heard.why in ("silent", "full", "refused") and (doubt or cut):
            return CoordinatorAnswer("doubt", heard.told, heard.text)
        return heard

    def observed(self, report: dict[str, Any], seconds: float) -> CoordinatorAnswer:
        """An observer's report, to the leader. Said again within `seconds` it is the same one and counts once; what it
        did not bring the next one does. `told` has the answer, also where that says why it counts for nothing."""
        until, body = self.monotonic() + seconds, json.dumps(report, separators=(",", ":")).encode()

        def judge(answer: Answer, told: dict[str, Any]) -> CoordinatorAnswer | None:
            return CoordinatorAnswer("", told) if answer.status == 200 and "stamp" in told else None

        return self._alone(
            self.reports,
            seconds,
            lambda: self._round(self.reports, until, "POST", "/v1/fleet/observed", body, judge)[0],
        )

    def look(self, seconds: float = 5.0) -> CoordinatorAnswer:
        """What stands, agreed by a majority since this call."""
        until = self.monotonic() + seconds
        return self._alone(
            self.looks,
            seconds,
            lambda: self._round(self.looks, until, "GET", "/v1/fleet/look", b"")[0],
        )

    def replace(self, name: str, seconds: float = 10.0) -> CoordinatorAnswer:
        """A keeper whose disk was lost, as the member that it is now."""
        body, until = json.dumps({"replace": name}).encode(), self.monotonic() + seconds
        return self._alone(
            self.looks,
            seconds,
            lambda: self._round(self.looks, until, "POST", "/v1/fleet/members", body)[0],
        )

    def here(self, name: str, seconds: float = 1.0) -> CoordinatorAnswer:
        """One keeper's own view, at once."""
        return self._alone(
            self.looks,
            seconds,
            lambda: self._try(self.looks, name, "GET", "/v1/fleet/look?here=1", b"", seconds)[1],
        )

    def marks(self, after: int, wait: float = 10.0) -> CoordinatorAnswer:
        """Marks once they changed after index `after`, or when `wait` seconds are over; from any keeper that hears a
        leader. `silent` after one try at each: whoever polls tries again, after a pause of its own."""
        return self._alone(self.polls, wait, lambda: self._marks(after, wait))

    def _marks(self, after: int, wait: float) -> CoordinatorAnswer:
        path = f"/v1/fleet/marks?after={after}&wait={wait * 1000:.0f}"
        for name in list(self.order):
            _, heard = self._try(self.polls, name, "GET", path, b"", wait + 2)
            if not heard.why and isinstance(heard.told.get("marks"), list):
                return heard
            self._last(name)
        return CoordinatorAnswer("silent", text="no keeper tells marks")

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _last(self, name: str) -> None:
        self.order.remove(name)
        self.order.append(name)

    def _try(
        self, lines: _Lines, name: str, method: str, path: str, body: bytes, seconds: float
    ) -> tuple[Answer | None, CoordinatorAnswer]:
        try:
            told_to = asked(path, body) if body else path
            answer = lines.to(name, self.keepers[name]).call(method, told_to, seconds, body)
            if not whole(answer) and (NAME in answer.headers or answer.status not in UNSUMMED):
                raise ConnectionAbortedError("its answer was spoilt on its way")
        except OSError as cause:
            self._count("failures")
            # A connection that was never made carried nothing.
            why = "unmade" if isinstance(cause, ConnectionRefusedError) else "cut"
            return None, CoordinatorAnswer(why, text=f"{name}: {cause}")
        try:
            told = json.loads(answer.body)
        except (ValueError, RecursionError):
            told = {"why": bytes(answer.body[:200]).decode("utf-8", "replace").strip()}
        if not isinstance(told, dict):
            told = {"why": "no answer of a keeper's"}
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
        """Until one answers for good or the time is up; and whether a try may have come through unseen."""
        wait, patience, last, cut, full, follow = (
            FIRST,
            SOON,
            "no keeper was asked",
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
                    # Told who leads: at once, but no more often than there are keepers without a pause.
                    self.leader, follow = str(heard.told["leader"]), follow + 1
                    continue
            if name in self.order:
                self._last(name)
            self._count("tries again")
            follow = 0
            gevent.sleep(
                max(0.0, min(wait * (0.5 + self.chance.random()), until - self.monotonic()))
            )
            wait = min(MOST, 2 * wait)
        return CoordinatorAnswer("full" if full else "silent", text=last), cut
