"""Clients: exchanges at times drawn ahead, waiting for no answer; repeated by the client where that is safe."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate

import gevent

from ironfall.api.exchange import Link
from ironfall.generated import ironfall_pb2 as pb
from ironfall.lab.day import Day
from ironfall.terms import Terms


@dataclass(frozen=True)
class Asked:
    at: float  # seconds from the start
    proxy: int
    kind: int
    key: int
    token: int


def rates(day: Day, seed: int) -> list[float]:
    """Exchanges a second that come to each proxy: most little, some far more; the sum is the day's demand."""
    chance = random.Random(seed)
    parts = [chance.lognormvariate(0, 0.7) for _ in day.proxies]
    return [day.demand * part / sum(parts) for part in parts]


def draw(day: Day, terms: Terms, seed: int) -> list[Asked]:
    """All exchanges of a day, from its seed alone: every director is asked the same."""
    chance = random.Random(seed)
    shares = [day.classes[name].share for name in terms.classes]
    popular = list(accumulate(1 / (n + 1) ** 0.8 for n in range(day.keys)))
    asked, by = [], list(accumulate(rates(day, seed)))
    at = chance.expovariate(day.demand)
    while at < day.length:
        proxy = chance.choices(range(len(by)), cum_weights=by)[0]
        kind = chance.choices(range(len(shares)), shares)[0]
        key = chance.choices(range(day.keys), cum_weights=popular)[0]
        asked.append(Asked(at, proxy, kind, key, chance.getrandbits(63)))
        at += chance.expovariate(day.demand)
    return asked


class Clients:
    def __init__(
        self,
        day: Day,
        terms: Terms,
        proxies: list[tuple[str, int]],
        tell: Callable[..., None],
        seed: int,
    ) -> None:
        self.day, self.terms, self.proxies, self.tell = day, terms, proxies, tell
        self.asked = draw(day, terms, seed)
        self.chance = random.Random(seed + 1)
        self.links: dict[int, Link] = {}
        self.worst_lag = 0.0

    def run(self, starts: float) -> None:
        """Ask everything, from the monotonic time `starts` on, and wait for the last answer."""
        running = set()
        for one in self.asked:
            wait = starts + one.at - time.monotonic()
            if wait > 0:
                gevent.sleep(wait)
            else:
                self.worst_lag = max(self.worst_lag, -wait)
            job = gevent.spawn(self._ask, one, starts + one.at)
            running.add(job)
            job.rawlink(running.discard)
        gevent.joinall(list(running))
        self.tell("asked all", lag=round(self.worst_lag, 4), exchanges=len(self.asked))

    def _link(self, proxy: int) -> Link | None:
        link = self.links.get(proxy)
        if link is None or not link.open:
            try:
                link = self.links[proxy] = Link(self.proxies[proxy], pb.Hello(who="clients"), 1.0)
            except OSError:
                return None
        return link

    def _ask(self, one: Asked, intended: float) -> None:
        kind = self.terms.service.classes[one.kind]
        ends = intended + kind.deadline / 10_000
        proxy = self.day.proxies[one.proxy][0]
        self.tell("asked", token=one.token, kind=one.kind, at=int(intended * 10_000), proxy=proxy)
        outcome, cause = int(pb.REFUSED), "no connection"
        first_sent, tries = 0.0, 0
        for tries in range(1, self.day.retries + 2):
            sent = time.monotonic()
            outcome, cause = self._try(one, tries, ends)
            first_sent = first_sent or sent
            left = ends - time.monotonic()
            if outcome == pb.FULFILLED or left <= 0 or tries > self.day.retries:
                break
            keyed = kind.idempotency == "keyed" and kind.idempotency_key_scope == "all"
            fresh = (
                time.monotonic() - first_sent
            ) * 10_000 + kind.deadline / 4 < kind.idempotency_key_lifetime
            if outcome != pb.REFUSED and kind.idempotency != "always" and not (keyed and fresh):
                break
            gevent.sleep(0.05 * 2 ** (tries - 1) * (0.5 + self.chance.random()))
        self.tell("ended", token=one.token, outcome=int(outcome), cause=cause, tries=tries)

    def _try(self, one: Asked, tries: int, ends: float) -> tuple[int, str]:
        link = self._link(one.proxy)
        left = ends - time.monotonic()
        if link is None or left <= 0:
            return pb.REFUSED, "no connection"
        call = link.send(
            "exchange",
            pb.Exchange(
                kind=one.kind,
                token=one.token,
                key=one.key,
                attempt=1,
                left_ms=max(1, int(left * 1000)),
                client_try=tries,
            ),
        )
        number = link.last
        try:
            answer = call.get(timeout=left)
        except gevent.Timeout:
            link.cancel(number)
            return pb.FAILED, "given up"
        return (
            (answer.outcome, answer.cause) if answer is not None else (pb.FAILED, "connection lost")
        )
