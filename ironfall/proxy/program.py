"""The proxy as a program: exchanges in from clients, out to hosts, answers back."""

import json
import random
import socket
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult, Event
from gevent.server import StreamServer
from gevent.threadpool import ThreadPool

from ironfall.api.exchange import Link, Outbox, frame, frames, read_gauges
from ironfall.api.http import HttpClient
from ironfall.generated import ironfall_pb2 as pb
from ironfall.proxy.follow import Follower
from ironfall.proxy.hosts import Hosts
from ironfall.proxy.keep import load, save
from ironfall.proxy.picking import Picking, may_try_again
from ironfall.proxy.sums import Gathered
from ironfall.publication import MILLION, Holding
from ironfall.storage.disk import Disk
from ironfall.terms import Terms

SECOND = 10_000
IN_HAND_MOST = 20_000  # exchanges at once; more are refused at once
STANDING_TRIES = 30
KEPT_TRIES = 2  # of the list, by a proxy that has tables to start with
KEEP_EVERY = 1.0  # seconds between two writings


def now() -> int:
    return int(time.monotonic() * SECOND)


def quiet(_what: str, **_about: Any) -> None:
    pass


class Proxy:
    def __init__(
        self,
        terms: Terms,
        name: str,
        zone: str,
        rate: float,
        listen: tuple[str, int],
        directors: list[tuple[str, int]],
        seed: int,
        tell: Callable[..., None] = quiet,
        standing: dict[str, int] | None = None,
        disk: Disk | None = None,
    ) -> None:
        """`disk`: where what it holds outlives it; `standing`: what it starts with, a few of the list's if left out."""
        self.terms, self.name, self.zone, self.tell, self.disk = terms, name, zone, tell, disk
        self.chance = random.Random(seed)
        kept, wrong = load(disk, len(terms.classes)) if disk else (None, "")
        if wrong:
            tell("kept tables not taken", cause=wrong)
        if kept and standing is None:
            standing = {}
            # Who was drained meanwhile must not be sent to; a list that is silent is not waited for.
            rows = self._rows(KEPT_TRIES)
            gone = {host for k in kept for host in k.table} - set(rows) if rows else set()
            for one in kept:
                one.outs |= gone if one.table.keys() - one.outs - gone else set()
        standing = self._standing() if standing is None else standing
        self.holding = Holding(len(terms.classes), standing)
        if kept:
            self.holding.cached = kept
            tell("kept tables taken", lines=[len(k.table) for k in kept])
        self.dirty = Event()
        self.picking = Picking(self.holding, terms.proxy, self.chance)
        self.gathered = Gathered(now(), len(terms.classes))
        self.hosts = Hosts(
            pb.Hello(who=name, zone=zone), terms.proxy.connect_time / SECOND, terms.proxy.streams
        )
        self.follower = Follower(
            name,
            zone,
            rate,
            directors,
            self.holding,
            self.gathered,
            now,
            self.chance,
            self._changed,
            tell,
        )
        self.in_hand = 0
        self.served = 0
        self.server = StreamServer(listen, self._client, backlog=256)
        tell("starts", zone=zone, standing=standing)

    def start(self, first: int = 0) -> None:
        self.server.start()
        self.follower.start(first)
        self.keeping = gevent.spawn(self._keep, self.disk) if self.disk else None

    def stop(self) -> None:
        self.follower.stop()
        if self.keeping is not None:
            self.keeping.kill()
        self.server.stop(0.2)

    def _standing(self) -> dict[str, int]:
        """A few hosts of the list, in the proxy's own zone where three are there; the list is read no more."""
        rows = self._rows(STANDING_TRIES)
        if not rows:
            raise ConnectionError("the list of hosts can't be had to start with")
        home = [host for host, zone in rows.items() if zone == self.zone]
        hosts = home if len(home) >= 3 else list(rows)
        return {
            host: MILLION
            for host in self.chance.sample(hosts, min(len(hosts), self.terms.proxy.standing))
        }

    def _rows(self, tries: int) -> dict[str, str]:
        """Hosts of the list that are ready, each with its zone; none where it can't be had."""
        client = HttpClient(self.terms.registry)
        for attempt in range(tries):
            try:
                answer = client.call("GET", f"/v1/list?after=-1&wait_ms=0&who={self.name}", 2.0)
                rows = [row for row in json.loads(answer.body)["hosts"] if row["state"] == "ready"]
                if rows:
                    return {f"{row['name']}@{row['address']}": row["zone"] for row in rows}
            except (OSError, ValueError, KeyError, TypeError):
                pass
            if attempt + 1 < tries:
                gevent.sleep(min(2.0, 0.1 * 1.5**attempt) * (0.5 + self.chance.random()))
        return {}

    def _keep(self, disk: Disk) -> None:
        """Writes what is held soon after it changed, in a thread; a disk that refuses costs nothing else."""
        pool = ThreadPool(1)
        while True:
            self.dirty.wait()
            self.dirty.clear()
            try:
                pool.apply(save, (disk, self.holding))
            except OSError as cause:
                self.tell("tables not kept", cause=str(cause))
            gevent.sleep(KEEP_EVERY)

    def _changed(self) -> None:
        self.picking.changed()
        self.dirty.set()
        self.hosts.keep(self.holding.named())

    # from clients

    def _client(self, sock: socket.socket, _address: tuple[str, int]) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        outbox = Outbox(sock, 20_000)
        running: dict[int, gevent.Greenlet] = {}
        try:
            for one in frames(sock):
                what = one.WhichOneof("what")
                if what == "exchange" and one.exchange.kind < len(self.terms.classes):
                    number = one.exchange.id
                    if self.in_hand >= IN_HAND_MOST:
                        outbox.put(
                            frame(
                                answer=pb.Answer(
                                    id=number, outcome=pb.REFUSED, cause="too many in hand"
                                )
                            )
                        )
                        continue
                    running[number] = gevent.spawn(self._serve, one.exchange, outbox, running)
                elif what == "exchange":
                    refusal = pb.Answer(
                        id=one.exchange.id, outcome=pb.REFUSED, cause="unknown class"
                    )
                    outbox.put(frame(answer=refusal))
                elif what == "cancel" and one.cancel.id in running:
                    running.pop(one.cancel.id).kill(block=False)
        except OSError:
            pass
        finally:
            # A client that is gone has given up on all it had in hand.
            gevent.killall(list(running.values()), block=False)
            outbox.close()
            sock.close()

    def _serve(
        self, exchange: pb.Exchange, outbox: Outbox, running: dict[int, gevent.Greenlet]
    ) -> None:
        self.in_hand += 1
        number, kind = exchange.id, exchange.kind
        came = self.gathered.came[kind]
        came[0] += 1
        lost = True
        try:
            answer = self._exchange(exchange)
            lost = answer.outcome == pb.FAILED
            answer.id = number
            outbox.put(frame(answer=answer))
        finally:
            self.in_hand -= 1
            self.served += 1
            running.pop(number, None)
            # The sums may have been cut since: what is lost now is lost in the present ones.
            self.gathered.came[kind][1] += lost

    def _exchange(self, exchange: pb.Exchange) -> pb.Answer:
        kind, terms = exchange.kind, self.terms.service.classes[exchange.kind]
        level, way = self.holding.admitted(kind, self.terms.proxy.usual_tries)
        if level < 1 and self.chance.random() >= level:
            return pb.Answer(outcome=pb.REFUSED, cause="not let in")
        begun = now()
        ends = begun + min(exchange.left_ms * 10, terms.deadline)
        passed: set[str] = set()
        first_ran, never_ran = 0, True
        while True:
            host = self.picking.pick(begun, kind, passed)
            if host is None:
                if not passed:
                    self.tell("bare", kind=kind)
                    return pb.Answer(outcome=pb.REFUSED, cause="no host to pick")
                break
            passed.add(host)
            left = ends - begun
            if left <= 0:
                break
            if way >= 2 and may_try_again(terms, way, len(passed), False, 0, 0):
                left = min(left, round(self.terms.proxy.try_share * terms.latency_objective))
            outcome, cause = self._try(host, exchange, len(passed), left)
            if outcome == pb.FULFILLED:
                return pb.Answer(outcome=pb.FULFILLED)
            if outcome == pb.FAILED:
                never_ran, first_ran = False, first_ran or begun
            begun = now()
            since = begun - first_ran if first_ran else 0
            margin = self.terms.proxy.connect_time
            if not may_try_again(terms, way, len(passed), never_ran, since, margin):
                return pb.Answer(outcome=pb.REFUSED if never_ran else pb.FAILED, cause=cause)
        return pb.Answer(
            outcome=pb.REFUSED if never_ran else pb.FAILED, cause="no time or host left"
        )

    def _try(self, host: str, exchange: pb.Exchange, attempt: int, left: int) -> tuple[int, str]:
        """One try at one host: its outcome, and why. What is given up on is called off at the host at once."""
        begun, good = now(), False
        gauges: dict[str, float] = {}
        link: Link | None = None
        number, outcome, cause = 0, pb.FAILED, "given up by the client"
        try:
            link = self.hosts.link(host)
            if link is None:
                outcome, cause = pb.REFUSED, "no connection"
                return outcome, cause
            self.tell("try", token=exchange.token, kind=exchange.kind, host=host, attempt=attempt)
            # The client's own message, changed: its number there was noted before, and a frame is made at once.
            exchange.attempt, exchange.left_ms, exchange.host = attempt, max(1, left // 10), host
            call: AsyncResult = link.send("exchange", exchange)
            number = link.last
            try:
                answer = call.get(timeout=max(0.001, (left - (now() - begun)) / SECOND))
            except gevent.Timeout:
                cause = "no answer in time"
                return outcome, cause
            number = 0
            if answer is None:
                cause = "connection lost"
                return outcome, cause
            outcome, cause = answer.outcome, answer.cause
            if answer.HasField("gauges"):
                gauges = read_gauges(answer.gauges)
            good = outcome == pb.FULFILLED
            return outcome, cause
        finally:
            if link is not None and number:
                link.cancel(number)
            self.gathered.tried(host, good, now() - begun, gauges)
            self.picking.ended(now(), host, good)
