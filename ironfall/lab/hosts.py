"""Emulated hosts: they wait their service times, warm up, fill, fall over, and go wrong on command.

A host has cores (a try in service holds one), a waiting room, a cap on connections whose handshakes cost work, a
start from cold, keys it met lately that cost it less, and gauges that lag. All of it is emulated.
"""

import random
import socket
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

from ironfall.api.exchange import Outbox, frame, frames
from ironfall.generated import ironfall_pb2 as pb
from ironfall.lab.day import Day, HostLine, part_of, seconds_of
from ironfall.terms import Terms

KEEPS_KEYS, KEY_GAIN, KEYS_MOST = 5.0, 0.2, 500
GAUGE_EVERY = 0.4
PROBE_WORK, PROBES_AT_ONCE = 0.003, 4


class Budget:
    """The work sent to a cold host over any window, beside what it can do in it: the fourth rule's measure.

    Pure. Work and capacity are in seconds of the host's cores; times are seconds.
    """

    def __init__(
        self,
        started: float,
        cores: float,
        cold: float,
        slow_start_time: float,
        multiple: float,
        within: float,
        slack: float,
    ) -> None:
        self.started, self.cores, self.cold, self.slow_start_time = (
            started,
            cores,
            cold,
            slow_start_time,
        )
        self.multiple, self.within, self.slack = multiple, within, slack
        self.sent: deque[tuple[float, float]] = deque()
        self.sum = 0.0
        self.worst = 0.0  # of the allowance

    def capacity(self, now: float) -> float:
        warm = (
            min(1.0, max(0.0, now - self.started) / self.slow_start_time)
            if self.slow_start_time
            else 1.0
        )
        return self.cores * (self.cold + (1 - self.cold) * warm)

    def add(self, now: float, work: float) -> bool:
        """Whether the host falls over by it."""
        if now - self.started >= self.slow_start_time:
            return False
        self.sent.append((now, work))
        self.sum += work
        while self.sent[0][0] <= now - self.within:
            self.sum -= self.sent.popleft()[1]
        begins = max(self.started, now - self.within)
        # A window that begins with the start counts whole: a short burst right after it can spend the budget.
        middle = (self.capacity(begins) + self.capacity(begins + self.within)) / 2
        allowed = self.multiple * middle * self.within + self.slack
        self.worst = max(self.worst, self.sum / allowed)
        return self.sum > allowed


class Host:
    def __init__(self, fleet: "Fleet", line: HostLine, address: tuple[str, int]) -> None:
        self.fleet, self.line, self.name, self.zone = fleet, line, line.name, line.zone
        self.address = address
        self.tell = fleet.teller(line.name)
        self.server: StreamServer | None = None
        self.incarnation = 0
        self.fell = False
        self.errors, self.slow, self.paused_until = 0.0, 1.0, 0.0
        self.failing_class = -1
        self.lies, self.unread = 1.0, False  # what its collectd makes of its gauges
        self.held_down = False  # its agent stopped it: nothing but its agent starts it
        self.met = 0.0  # when the last exchange came
        self.running = self.waiting = 0
        self._new()

    def _new(self) -> None:
        self.cores = BoundedSemaphore(self.line.cores)
        self.running = self.waiting = self.connections = self.probes = 0
        self.keys: OrderedDict[int, float] = OrderedDict()
        self.latency, self.gauges = 0.0, pb.Gauges(util=0, queue=0, inflight=0, latency=0)
        self.hung = Event()
        self.hung.set()
        self.socks: set[socket.socket] = set()
        self.work: set[gevent.Greenlet] = set()
        self.silent = False

    def start(self, cold: bool) -> None:
        day, terms = self.fleet.day, self.fleet.terms
        self.incarnation += 1
        now = time.monotonic()
        self.started = now if cold else now - 10 * day.slow_start_time
        slack = 2 * max(c.work for c in day.classes.values()) / self.line.speed
        self.budget = Budget(
            self.started,
            self.line.cores,
            day.cold_start,
            day.slow_start_time,
            terms.fall_multiple,
            terms.fall_time / 10_000,
            slack,
        )
        self.server = StreamServer(self.address, self._connection, backlog=256)
        self.server.start()
        self.address = (self.address[0], self.server.server_port)
        self.updater = gevent.spawn(self._gauge)
        self.tell(
            "up",
            cold=cold,
            inc=self.incarnation,
            host=self.id,
            started=int(self.started * 10_000),
            cores=self.line.cores,
            speed=self.line.speed,
        )

    @property
    def id(self) -> str:
        return f"{self.name}@{self.address[0]}:{self.address[1]}"

    @property
    def up(self) -> bool:
        return self.server is not None

    def die(self) -> None:
        """The process ends: connections are reset and what it had in hand is gone."""
        if self.server is None:
            return
        self.server.stop(0)
        self.server = None
        self.updater.kill(block=False)
        self.tell("down", inc=self.incarnation, host=self.id, hand=len(self.work))
        gevent.killall(list(self.work), block=False)
        for sock in list(self.socks):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.close()
            except OSError:
                pass
        self._new()

    def order_down(self, token: int) -> None:
        """Its agent's act: the work on the host may begin."""
        self.tell("stopped", unit=f"host/{self.name}", inc=self.incarnation, token=token)
        self.held_down = True
        self.die()

    def order_up(self, token: int) -> None:
        if self.held_down:
            self.tell("started", unit=f"host/{self.name}", inc=self.incarnation, token=token)
            self.held_down = False
            self.fleet.revive(self)

    def cut_from(self, zone: str) -> bool:
        return self.silent or (zone != self.zone and bool({zone, self.zone} & self.fleet.cut))

    # serving

    def _connection(self, sock: socket.socket, _address: Any) -> None:
        if self.connections >= self.line.connections:
            self.tell("full", host=self.id)
            sock.close()
            return
        self.connections += 1
        self.socks.add(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        outbox, who, zone = Outbox(sock, 20_000), "", self.zone
        mine: dict[int, gevent.Greenlet] = {}
        try:
            gevent.spawn(self._cost, self.line.handshake)
            for one in frames(sock):
                what = one.WhichOneof("what")
                if what == "hello":
                    who, zone = one.hello.who, one.hello.zone
                elif self.cut_from(zone):
                    continue
                elif what == "exchange":
                    job = gevent.spawn(self._exchange, one.exchange, outbox, who, zone)
                    mine[one.exchange.id] = job
                    self.work.add(job)
                    job.rawlink(partial(self._ended, mine, one.exchange.id))
                elif what == "cancel" and one.cancel.id in mine:
                    # What waits is dropped; what runs goes on, and is answered to nobody.
                    job = mine[one.cancel.id]
                    if getattr(job, "waits", False):
                        job.kill(block=False)
                elif what == "probe":
                    gevent.spawn(self._probe, one.probe, outbox, zone)
        except OSError:
            pass
        finally:
            outbox.close()
            self.socks.discard(sock)
            self.connections = max(0, self.connections - 1)
            sock.close()

    def _ended(self, mine: dict[int, gevent.Greenlet], number: int, job: gevent.Greenlet) -> None:
        self.work.discard(job)
        mine.pop(number, None)

    def _cost(self, seconds: float) -> None:
        cores = self.cores
        with cores:
            gevent.sleep(seconds / self.line.speed)

    def _exchange(self, exchange: pb.Exchange, outbox: Outbox, who: str, zone: str) -> None:
        begun = time.monotonic()

        def answer(outcome: int, cause: str = "") -> None:
            if not self.cut_from(zone):
                gauges = self.gauges if self.fleet.reports else None
                back = pb.Answer(id=exchange.id, outcome=outcome, cause=cause, gauges=gauges)  # type: ignore[arg-type]
                outbox.put(frame(answer=back))

        self.met = begun
        if exchange.host != self.id:
            return answer(pb.REFUSED, "misdirected: another host has this address now")
        work = self._work(exchange)
        self.tell(
            "came",
            host=self.id,
            inc=self.incarnation,
            by=who,
            kind=exchange.kind,
            work=round(work, 5),
            token=exchange.token,
            attempt=exchange.attempt,
        )
        if self.budget.add(begun, work):
            self.tell("fell", host=self.id, inc=self.incarnation)
            self.fell = True
            self.fleet.fallen(self)
            return None
        if self.chance.random() < self.errors or exchange.kind == self.failing_class:
            # The worst kind of error: the effect took place, and the answer says that it failed.
            self._effect(exchange, who)
            gevent.sleep(0.002)
            return answer(pb.FAILED, "an error")
        if self.waiting >= self.line.queue:
            return answer(pb.REFUSED, "full")
        job, cores, hung = gevent.getcurrent(), self.cores, self.hung
        self.waiting += 1
        job.waits = True
        try:
            hung.wait()
            cores.acquire()
        finally:
            job.waits = False
            self.waiting = max(0, self.waiting - 1)
        try:
            if (time.monotonic() - begun) * 1000 > exchange.left_ms:
                return answer(pb.REFUSED, "its time was over before it began")
            self._effect(exchange, who)
            self.running += 1
            warm = self.budget.capacity(time.monotonic()) / self.line.cores
            took = work * self.slow / warm
            gevent.sleep(took)
            while (rest := self.paused_until - time.monotonic()) > 0:
                gevent.sleep(rest)
            hung.wait()
            self.latency += 0.2 * (took * 1000 - self.latency)
            answer(pb.FULFILLED)
        finally:
            self.running = max(0, self.running - 1)
            cores.release()
        return None

    @property
    def chance(self) -> random.Random:
        return self.fleet.chance

    def _work(self, exchange: pb.Exchange) -> float:
        now = time.monotonic()
        met = self.keys.pop(exchange.key, -KEEPS_KEYS)
        self.keys[exchange.key] = now
        if len(self.keys) > KEYS_MOST:
            self.keys.popitem(last=False)
        gain = 1 - KEY_GAIN * (now - met < KEEPS_KEYS)
        # Drawn from the exchange itself, so that the same exchange costs the same wherever it goes.
        drawn = random.Random(exchange.token).expovariate(1.0)
        mean = self.fleet.works[exchange.kind]
        return min(4.0, 0.3 + 0.7 * drawn) * mean * gain / self.line.speed

    def _effect(self, exchange: pb.Exchange, who: str) -> None:
        if self.fleet.drops(exchange):
            self.tell("dropped", host=self.id, token=exchange.token)
        else:
            self.tell(
                "ran",
                host=self.id,
                inc=self.incarnation,
                kind=exchange.kind,
                token=exchange.token,
                by=who,
                attempt=exchange.attempt,
                client_try=exchange.client_try,
            )

    def _probe(self, probe: pb.Probe, outbox: Outbox, zone: str) -> None:
        if probe.host != self.id or self.probes >= PROBES_AT_ONCE or not self.hung.is_set():
            if self.hung.is_set() and not self.cut_from(zone):
                outbox.put(
                    frame(answer=pb.Answer(id=probe.id, outcome=pb.REFUSED, cause="not now"))
                )
            return
        self.probes += 1
        try:
            gevent.sleep(0.001)
            gevent.spawn(self._cost, PROBE_WORK)
            if not self.cut_from(zone):
                outbox.put(
                    frame(answer=pb.Answer(id=probe.id, outcome=pb.FULFILLED, gauges=self.gauges))
                )
        finally:
            self.probes = max(0, self.probes - 1)

    def _gauge(self) -> None:
        while True:
            gevent.sleep(GAUGE_EVERY * (0.8 + 0.4 * self.chance.random()))
            noise = 0.95 + 0.1 * self.chance.random()
            self.gauges = pb.Gauges(
                util=self.running / self.line.cores,
                queue=self.waiting * noise,
                inflight=(self.waiting + self.running) * noise,
                latency=self.latency,
            )


class Fleet:
    """All hosts of a day in one process, with the list that tells of them late."""

    def __init__(
        self,
        day: Day,
        terms: Terms,
        teller: Callable[[str], Callable[..., None]],
        seed: int,
        net: str = "127.0",
    ) -> None:
        self.day, self.terms, self.teller = day, terms, teller
        self.chance = random.Random(seed)
        self.cut: set[str] = set()
        # Gauges come with answers only where there is no other way to them.
        read = bool(day.readings and terms.metrics.readings)
        self.reports = (
            bool(terms.service.gauges) and not terms.service.health_checks_allowed and not read
        )
        self.works = [day.classes[name].work for name in terms.classes]
        self.tokens: dict[int, float] = {}
        self.hosts: dict[str, Host] = {}
        self.listed: Callable[[Host, str, float], None] = lambda _host, _state, _late: None
        zones = list(terms.zones)
        for n, line in enumerate(day.hosts):
            block = zones.index(line.zone) + 1 + 32 * (n // 250)
            self.hosts[line.name] = Host(self, line, (f"{net}.{block}.{n % 250 + 1}", 0))

    def start(self) -> None:
        for host in self.hosts.values():
            host.start(cold=False)

    def drops(self, exchange: pb.Exchange) -> bool:
        """Whether the hosts know the token of a keyed write, and so do nothing for it."""
        kind = self.terms.service.classes[exchange.kind]
        if kind.idempotency != "keyed":
            return False
        now = time.monotonic()
        known = now - self.tokens.get(exchange.token, -1e9) < kind.idempotency_key_lifetime / 10_000
        if not known:
            self.tokens[exchange.token] = now
        return known

    def fallen(self, host: Host) -> None:
        host.die()
        self.listed(host, "gone", self._notice())

    def _notice(self) -> float:
        return 0.5 + self.chance.random()

    def revive(self, host: Host, cold: bool = True) -> None:
        if not host.fell and not host.up and not host.held_down:
            host.start(cold)
            self.listed(host, "ready", 0.2 + 0.4 * self.chance.random())

    def crash(self, host: Host, seconds: float) -> None:
        host.die()
        self.listed(host, "gone", self._notice())
        gevent.spawn_later(seconds, self.revive, host)

    def trouble(self, what: str, words: list[str], seconds: float) -> None:
        """One trouble begins. What lasts ends by itself."""
        host = self.hosts.get(words[0]) if words else None
        if what == "lose":
            for one in [h for h in self.hosts.values() if h.zone == words[0]]:
                self.crash(one, seconds)
        elif what == "cut":
            self.cut.add(words[0])
            gevent.spawn_later(seconds, self.cut.discard, words[0])
        elif host is None:
            raise ValueError(f"no such host for {what}")
        elif what == "crash":
            self.crash(host, seconds)
        elif what == "restart":
            host.die()
            self.revive(host)
        elif what == "vanish":
            host.silent = True
            self.listed(host, "gone", 3.0 + self.chance.random())
            gevent.spawn_later(seconds, self._vanished, host)
        elif what == "hang":
            host.hung.clear()
            gevent.spawn_later(seconds, host.hung.set)
        elif what == "drain":
            self.listed(host, "draining", 0.1)
            gevent.spawn_later(seconds, self._drained, host)
        elif what == "unlist":
            self.listed(host, "gone", 0.0)
            gevent.spawn_later(seconds, self.listed, host, "ready", 0.0)
        elif what == "refuse":
            # The list goes on naming it, and nothing listens there.
            host.die()
            gevent.spawn_later(seconds, self.revive, host)
        elif what == "errors":
            host.errors = part_of(words[1])
            gevent.spawn_later(seconds, setattr, host, "errors", 0.0)
        elif what == "slow":
            host.slow = float(words[1])
            gevent.spawn_later(seconds, setattr, host, "slow", 1.0)
        elif what == "classfail":
            host.failing_class = self.terms.kind(words[1])
            gevent.spawn_later(seconds, setattr, host, "failing_class", -1)
        elif what == "pause":
            gevent.spawn(self._pauses, host, seconds_of(words[1]), seconds)
        elif what == "lie":
            host.lies = float(words[1])
            gevent.spawn_later(seconds, setattr, host, "lies", 1.0)
        elif what == "unread":
            host.unread = True
            gevent.spawn_later(seconds, setattr, host, "unread", False)
        elif what == "swap":
            self._swap(host, self.hosts[words[1]])
        else:
            raise ValueError(f"hosts know no trouble called {what}")

    def _vanished(self, host: Host) -> None:
        host.die()
        self.revive(host)

    def _drained(self, host: Host) -> None:
        self.listed(host, "gone", 0.0)
        gevent.spawn_later(1.0, host.die)

    def _pauses(self, host: Host, pause: float, seconds: float) -> None:
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            host.paused_until = time.monotonic() + pause
            gevent.sleep(pause + 1.0 + self.chance.random())

    def _swap(self, one: Host, other: Host) -> None:
        one.die()
        other.die()
        self.listed(one, "gone", 0.0)
        self.listed(other, "gone", 0.0)
        one.address, other.address = other.address, one.address
        self.revive(one)
        self.revive(other)
