"""Keeping up with a director: join, poll, apply, report; another director when this one is gone.

What is held stays held whatever becomes of directors. Every wait between dials grows and is jittered, so that the
proxies of a director that died do not all come to the next one at the same moment.
"""

import random
from collections.abc import Callable
from typing import Any

import gevent

from ironfall.api import codec
from ironfall.api.http import Answer, HttpClient
from ironfall.generated import ironfall_pb2 as pb
from ironfall.proxy.sums import Gathered
from ironfall.publication import Holding, Outcome

SAME_AGAIN = 2  # dials of the same director within a session that was cut, before another is asked
FIRST_WAIT, LONGEST_WAIT = 0.1, 5.0
ANSWER_TIME = 2.0  # beyond what a poll may be held


class Follower:
    """Two greenlets a proxy: one polls, one reports. `tell(what, **about)` is told of all that crosses the socket."""

    def __init__(
        self,
        name: str,
        zone: str,
        rate: float,
        directors: list[tuple[str, int]],
        holding: Holding,
        gathered: Gathered,
        now: Callable[[], int],
        chance: random.Random,
        changed: Callable[[], None],
        tell: Callable[..., None],
    ) -> None:
        self.name, self.zone, self.rate, self.directors = name, zone, rate, directors
        self.holding, self.gathered, self.now, self.chance = holding, gathered, now, chance
        self.changed, self.tell = changed, tell
        self.session: pb.Joined | None = None
        self.address = directors[0]
        self.counts: dict[str, int] = {}

    def start(self, first: int) -> None:
        self.first = first
        self.greenlets = [gevent.spawn(self._follow), gevent.spawn(self._report)]

    def stop(self) -> None:
        gevent.killall(self.greenlets)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # tables

    def _follow(self) -> None:
        place, wait = self.first, FIRST_WAIT
        while True:
            self.address = self.directors[place % len(self.directors)]
            client = HttpClient(self.address)
            try:
                if self._join(client):
                    wait = FIRST_WAIT
                    again = self._polls(client)
                else:
                    again = False
            except OSError as cause:
                again = False
                self.tell("unreachable", director=self.address, cause=str(cause))
            client.close()
            self.session = None
            if again:
                wait = FIRST_WAIT  # the director is there but knows us no more: it is asked anew at once
            else:
                place += 1
            gevent.sleep(wait * (0.5 + self.chance.random()))
            wait = min(LONGEST_WAIT, 2 * wait)

    def _call(
        self, client: HttpClient, method: str, path: str, seconds: float, message: Any = None
    ) -> Answer:
        headers = {"Accept": codec.PROTOBUF, "Accept-Encoding": "zstd"}
        body = b""
        if message is not None:
            body, form = codec.encode(message, codec.PROTOBUF, "zstd")
            headers.update(form)
        return client.call(method, path, seconds, body, headers)

    def _join(self, client: HttpClient) -> bool:
        sent = self.now()
        answer = self._call(
            client,
            "POST",
            "/v1/join",
            2.0,
            pb.Join(proxy=self.name, zone=self.zone, rate=self.rate),
        )
        if answer.status != 200:
            self.count(f"join refused {answer.status}")
            return False
        session: pb.Joined = self._read(pb.Joined, answer)
        self.session = session
        self.holding.join(session.epoch, session.version)
        self.gathered.number = 0
        self.changed()
        self.tell(
            "joined", director=self.address, epoch=session.epoch, version=session.version, sent=sent
        )
        return True

    def _read(self, kind: type[Any], answer: Answer) -> Any:
        form, encoding = (
            answer.headers.get("content-type", ""),
            answer.headers.get("content-encoding", ""),
        )
        try:
            return codec.decode(kind, answer.body, form, encoding, 64 * 1024 * 1024)
        except codec.Undecodable as wrong:
            raise ConnectionAbortedError(str(wrong)) from None

    def _polls(self, client: HttpClient) -> bool:
        """Poll until the session is over; whether the same director should be asked again."""
        assert self.session
        cuts, whole = 0, 0
        while True:
            sent = self.now()
            path = (
                f"/v1/poll?session={self.session.session}&epoch={self.session.epoch}"
                f"&version={self.holding.version}&whole={whole}"
            )
            try:
                answer = self._call(client, "GET", path, self.session.wait_ms / 1000 + ANSWER_TIME)
                state = self._read(pb.State, answer) if answer.status == 200 else None
            except OSError as cause:
                closed = isinstance(
                    cause, ConnectionError
                )  # the peer's own word, unlike a time that ran out
                self.tell("cut", director=self.address, sent=sent, cause=str(cause), closed=closed)
                cuts += 1
                if cuts > SAME_AGAIN:
                    return False
                # Safe: a poll changes nothing, and a delta that came twice is not applied twice.
                gevent.sleep(FIRST_WAIT * cuts * (0.5 + self.chance.random()))
                continue
            cuts = 0
            if answer.status == 204:
                self.tell("still", director=self.address, sent=sent)
            elif state is not None:
                outcome = self.holding.apply(codec.unpack_state(state))
                self.count(outcome.value)
                whole = int(outcome in (Outcome.GAP, Outcome.DIFFERS))
                if outcome is Outcome.FOREIGN:
                    return True
                self.changed()
                self.tell(
                    "told", director=self.address, sent=sent, state=state, outcome=outcome.value
                )
            else:
                self.tell("session ended", director=self.address, sent=sent, status=answer.status)
                self.count(f"poll refused {answer.status}")
                if answer.status == 429:
                    gevent.sleep(1 + self.chance.random())
                    continue
                return answer.status == 410

    # sums

    def _report(self) -> None:
        client, waiting, joined = HttpClient(self.address), None, None
        while True:
            every = self.session.report_ms / 1000 if self.session else 1.0
            gevent.sleep(every * (0.95 + 0.1 * self.chance.random()))
            if self.session is None:
                continue
            if self.session is not joined:
                # What was not reported to the director before this one is evidence for nobody.
                client.close()
                client, waiting, joined = HttpClient(self.address), None, self.session
            if waiting is None:
                waiting = self.gathered.report(self.now(), joined.session)
            try:
                answer = self._call(client, "POST", "/v1/sums", 2.0, waiting)
                if answer.status != 204:
                    self.count(f"sums refused {answer.status}")
                if answer.status != 429 and answer.status != 503:
                    waiting = None
            except OSError:
                # Sent again with its number, so that it is counted once; meanwhile the next ones add up.
                self.count("sums sent again")
