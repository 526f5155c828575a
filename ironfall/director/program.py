"""The director as a program: the long-poll protocol's server end, the registry's watcher and the probes."""

import json
import random
import secrets
import signal
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import gevent
from gevent.event import Event

from ironfall import __version__
from ironfall.api import codec
from ironfall.api.exchange import Link, address_of, read_gauges
from ironfall.api.http import Answer, Bounds, Gone, HttpClient, HttpServer, Refused, Request
from ironfall.api.registry import BadList
from ironfall.coordinator.client import CoordinatorClient
from ironfall.decisions.engine import DecisionEngine
from ironfall.director.clock import Clock
from ironfall.director.event_loop import Decide
from ironfall.director.intake import sane
from ironfall.director.live import Live
from ironfall.director.member import Keepers, Member, Way
from ironfall.director.sessions import Session, SessionLimitError, decide_poll
from ironfall.files.service import Files
from ironfall.generated import ironfall_pb2 as pb
from ironfall.membership_server.client import HeartbeatClient
from ironfall.metrics.point import Malformed
from ironfall.metrics.service import Metrics
from ironfall.terms import Terms

SECOND = 10_000
PROBES_MOST = 64  # in flight; a host that is asked for one more is passed over this time
LIST_WAIT = 10.0  # seconds a watch is held by the registry
ANSWERS_FIRST = 0.05
UNPACKED = 8  # a body may unpack to this many times its limit


class Program:
    """A running director. `start()` returns once it listens; `wait()` until it was told to stop."""

    def __init__(
        self,
        terms: Terms,
        log: Any,
        name: str = "director",
        zone: str = "",
        seed: int | None = None,
        decide: Decide = DecisionEngine,
        record: TextIO | None = None,
        monotonic: Callable[[], float] = time.monotonic,
        keepers: Keepers | HeartbeatClient | None = None,
    ) -> None:
        self.terms, self.log, self.name = terms, log, name
        self.zone = zone or terms.zones[0]
        seed = secrets.randbits(63) if seed is None else seed
        self.seed = seed
        self.chance = random.Random(seed + 1)  # of jitter alone: the module's is its own
        # Ordered over starts, as long as the machine's clock is not set back by hand.
        epoch = time.time_ns() // 1000
        self.live = Live(terms, seed, Clock(monotonic), epoch, decide, log, record)
        self.live.world = self
        limits = terms.limits
        bounds = Bounds(
            limits.held,
            limits.body,
            limits.header_time / SECOND,
            limits.idle / SECOND,
            limits.write_time / SECOND,
        )
        self.server = HttpServer(terms.listen, bounds, self.handle)
        self.asked, self.done = Event(), Event()
        self.links: dict[str, Link] = {}
        self.probing: set[str] = set()
        self.loop: gevent.Greenlet | None = None
        self.files = Files(self.live, terms.files, log) if terms.files.path else None
        self.member: Member | None = None
        fleet = terms.fleet
        if keepers is None and any(one.zone == self.zone for one in fleet.observers):
            keepers = HeartbeatClient(
                self.zone,
                fleet.observers,
                fleet.lease,
                random.Random(seed + 3),
                monotonic,
                lambda to: log.info("beats at another observer", observer=to),
            )
        elif keepers is None and fleet.keepers:
            client = CoordinatorClient(
                fleet.keepers, f"director {name}"[:100], random.Random(seed + 3), monotonic
            )
            keepers = Way(client, fleet.lease / SECOND / 4)
        if keepers is not None:
            self.member = Member(
                self.live,
                keepers,
                name,
                self.zone,
                __version__,
                fleet.lease,
                fleet.drift,
                seed + 2,
                monotonic,
            )

    # life

    def start(self) -> None:
        # gevent runs what was woken for this long before it looks for input. Proxies poll again as soon as they
        # are answered: at the usual 5 ms the last answers of a change wait behind the first proxies' next polls.
        sys.setswitchinterval(ANSWERS_FIRST)
        self.loop = gevent.spawn(self.live.run)
        self.loop.link_exception(self._broken)
        if self.files:
            self.files.start()
        gevent.spawn(self._watch_list)
        self.server.start()
        if self.member:
            self.member.start()
        self.metrics = Metrics(
            self.live, self.terms.metrics, self.name, self.seed, self.server.counts
        )
        self.log.info(
            "listening", address=f"{self.terms.listen[0]}:{self.server.port}", epoch=self.live.epoch
        )

    def wait(self) -> int:
        """Until SIGTERM or SIGINT; 0, or 1 when the decisions broke."""
        for which in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(which, self.stop)
        self.done.wait()
        return 1 if self.loop is not None and self.loop.exception else 0

    def stop(self) -> None:
        if self.live.stopping:
            return  # told twice, as by a second signal
        # Held polls are let go first, with a plain answer, so that proxies turn to another director at once.
        self.live.stop()
        self.server.stop(1.0)
        self.metrics.stop()
        if self.files:
            self.files.stop()
        if self.member:
            self.member.stop()
        self.log.info("stopped", turns=self.live.lengths.get_total_count())
        self.done.set()

    def _broken(self, loop: gevent.Greenlet) -> None:
        # Better no director than one that no longer decides: proxies keep their tables or find another.
        self.log.error("the decisions broke", cause=repr(loop.exception))
        self.stop()

    # World, for the turn loop

    def watch(self) -> None:
        self.asked.set()

    def forget(self, host: str) -> None:
        if link := self.links.pop(host, None):
            link.close()

    def health_check(self, host: str) -> None:
        if host in self.probing or len(self.probing) >= PROBES_MOST:
            self.live.count("probes passed over")
            return
        self.probing.add(host)
        gevent.spawn(self._probe, host)

    def _probe(self, host: str) -> None:
        stalls, answer = self.live.clock.stalls, None
        try:
            with gevent.Timeout(self.terms.probe_timeout / SECOND, False):
                link = self.links.get(host)
                if link is None or not link.open:
                    hello = pb.Hello(who=f"director {self.name}", zone=self.zone)
                    link = self.links[host] = Link(
                        address_of(host), hello, self.terms.probe_timeout / SECOND
                    )
                answer = link.send("probe", pb.Probe(host=host)).get()
        except OSError:
            pass
        finally:
            self.probing.discard(host)
        self.live.count("probes")
        if stalls != self.live.clock.stalls:
            return  # the silence may have been the director's own
        good = answer is not None and answer.outcome == pb.FULFILLED
        gauges = read_gauges(answer.gauges) if answer is not None else {}
        known = self.live.roster.ids.get(host)
        if known is not None:
            self.live.put("probed", known, good, gauges)

    # the list

    def _watch_list(self) -> None:
        client = HttpClient(self.terms.registry)
        after, wait = -1, 0.2
        while not self.live.stopping:
            self.asked.wait()
            if self.terms.service.requests_host_list:
                self.asked.clear()
            while not self.live.stopping:
                try:
                    after = self._ask(client, after)
                    wait = 0.2
                except (OSError, BadList) as cause:
                    self.live.count("list failures")
                    self.log.warning("list failed", cause=str(cause))
                    if self.terms.service.requests_host_list:
                        self.live.put("list_failed")
                        break
                    # Safe to ask again at any time: an answer replaces what is held. No end to it, for
                    # without a list there is no director; the wait grows to five seconds.
                    gevent.sleep(wait * (0.5 + self.chance.random()))
                    wait = min(5.0, 2 * wait)

    def _ask(self, client: HttpClient, after: int) -> int:
        # Asked by name: an operator sees at the registry who was told what.
        path = f"/v1/list?after={after}&wait_ms={LIST_WAIT * 1000:.0f}&who={self.name}"
        answer = client.call("GET", path, LIST_WAIT + 2)
        if answer.status == 204:
            return after
        if answer.status != 200:
            raise BadList(f"the registry answers {answer.status}")
        try:
            told = json.loads(answer.body)
            version, whole, rows = int(told["version"]), bool(told["whole"]), told["hosts"]
        except (ValueError, KeyError, TypeError) as wrong:
            raise BadList(f"not a list: {type(wrong).__name__} {wrong}") from None
        if self.files:
            self.files.registry(rows, whole)
        else:
            listing = self.live.roster.read(self.live.clock.now(), rows, whole)
            self.live.insist(
                "listed", listing, whole, True
            )  # the registry waits, and adds up what comes meanwhile
        if self.member:
            self.member.stands.marks.listed(self.live.clock.now(), rows, whole)
        return version

    # the protocol

    def handle(self, request: Request) -> Answer:
        route = (request.method, request.path)
        if self.live.stopping:
            raise Refused(503, "this director is stopping; turn to another", 1)
        if route == ("GET", "/v1/poll"):
            return self._poll(request)
        if route == ("POST", "/v1/sums"):
            return self._sums(request)
        if route == ("GET", "/v1/files"):
            return self._files(request)
        if route == ("POST", "/v1/readings"):
            return self._readings(request)
        if route == ("POST", "/v1/join"):
            return self._join(request)
        if route == ("POST", "/v1/leave"):
            return self._leave(request)
        if route == ("POST", "/v1/leaving"):
            return self._leaving(request)
        if route == ("GET", "/v1/status"):
            return Answer(
                200,
                json.dumps(self.status(), indent=1).encode() + b"\n",
                {"Content-Type": codec.JSON},
            )
        known = (
            "/v1/poll",
            "/v1/sums",
            "/v1/join",
            "/v1/leave",
            "/v1/readings",
            "/v1/files",
            "/v1/leaving",
            "/v1/status",
        )
        raise Refused(
            405 if request.path in known else 404, f"no {request.method} {request.path} here"
        )

    def _decode(self, kind: type[Any], request: Request) -> Any:
        form, encoding = (
            request.headers.get("content-type", ""),
            request.headers.get("content-encoding", ""),
        )
        try:
            return codec.decode(
                kind, bytes(request.body), form, encoding, UNPACKED * self.terms.limits.body
            )
        except codec.Undecodable as wrong:
            raise Refused(400, str(wrong)) from None

    def _encode(self, request: Request, message: Any) -> Answer:
        return Answer(200, *codec.encode(message, *_accepted(request)))

    def _session(self, token: str) -> Session:
        session = self.live.sessions.by_token.get(token)
        if session is None:
            raise Refused(410, "no such session here: join again")
        return session

    def _join(self, request: Request) -> Answer:
        join, live = self._decode(pb.Join, request), self.live
        if not join.proxy or len(join.proxy) > 200:
            raise Refused(400, "proxy: expected a name of up to 200 bytes")
        if join.zone not in self.terms.zones:
            raise Refused(
                400, f"zone: expected one of {', '.join(self.terms.zones)}, not {join.zone!r}"
            )
        if not 0 <= join.rate < 1e9:
            raise Refused(400, "rate: expected exchanges a second from 0 up")
        if len(live.events) >= self.terms.limits.events:
            raise Refused(503, "too many events wait for a turn", 1)
        # A herd is let in as fast as it can be served: sessions opened faster lapse before their first poll is read,
        # and all of them come again.
        if live.sessions.new_sessions >= self.terms.limits.joining:
            live.count("joins put off")
            raise Refused(
                503,
                f"{live.sessions.new_sessions} proxies are joining now",
                self.chance.randint(1, 3),
            )
        old = live.sessions.by_name.get(join.proxy)
        if old is not None:
            live.leave(old, "joined anew")
        zone = self.terms.zone(join.zone)
        try:
            token = secrets.token_urlsafe(12)
            session = live.sessions.open(live.clock.now(), token, join.proxy, zone, 0, lambda: None)
        except SessionLimitError as error:
            raise Refused(503, str(error), 2) from None
        live.join(session, join.rate)
        self.log.info(
            "proxy joined", proxy=join.proxy, zone=join.zone, number=session.number, rate=join.rate
        )
        return self._encode(
            request,
            pb.Joined(
                session=token,
                epoch=live.epoch,
                version=session.released,
                wait_ms=self.terms.limits.wait // 10,
                report_ms=self.terms.service.report_interval // 10,
            ),
        )

    def _leave(self, request: Request) -> Answer:
        self.live.leave(self._session(self._decode(pb.Leave, request).session), "said so")
        return Answer(204)

    def _poll(self, request: Request) -> Answer:
        live = self.live
        session = self._session(request.query.get("session", ""))
        epoch, version = request.number("epoch"), request.number("version")
        if epoch != live.epoch:
            live.count("polls of another epoch")
            raise Refused(410, f"epoch {epoch} is not that of this director: join again")
        if not live.sessions.admit_poll(live.clock.now(), session):
            raise Refused(429, f"over {self.terms.limits.polls} polls a second", 1)
        for message in live.sessions.confirm(session, version):
            live.applied(message)
        whole = request.number("whole", 0) == 1
        wait = min(self.terms.limits.wait / SECOND, max(0, request.number("wait_ms", 10**9)) / 1000)
        # Jittered, so that ten thousand polls begun at one moment do not end at one.
        until = time.monotonic() + wait * (0.8 + 0.2 * self.chance.random())
        session.wake()
        event = Event()
        session.wake, session.newest_poll = event.set, session.newest_poll + 1
        mine = session.newest_poll
        session.held_polls += 1
        try:
            while True:
                if live.sessions.by_token.get(session.token) is not session:
                    raise Refused(410, "this session has ended: join again")
                if live.stopping:
                    raise Refused(503, "this director is stopping; turn to another", 1)
                if session.newest_poll != mine:
                    return Answer(204)  # a newer poll of this session has taken over
                decision = decide_poll(live.publication, session, version, whole)
                if decision.resync_reason:
                    live.want_whole(session, decision.resync_reason.value)
                delta = decision.delta
                if delta is not None:
                    carried = [
                        (m.version, int(m.leaves_at - m.ordered_at) * 100, round(m.entries))
                        for m in session.unconfirmed
                    ]
                    return Answer(200, *codec.encode_state(delta, carried, *_accepted(request)))
                event.clear()
                left = until - time.monotonic()
                if left <= 0 or not request.hold(event, left):
                    return Answer(204)
        except Gone:
            live.count("polls cut")
            raise
        finally:
            session.held_polls -= 1
            session.last_poll_at = live.clock.now()

    def _sums(self, request: Request) -> Answer:
        sums, live = self._decode(pb.Sums, request), self.live
        session, now = self._session(sums.session), self.live.clock.now()
        if (
            session.is_throttled
        ):  # the decisions would pass over what came to a proxy that they do not know
            raise Refused(
                429,
                "this name has joined anew too often: its sums are taken once it is bound again",
                1,
            )
        if sums.number <= session.last_report:
            live.count("sums repeated")  # a retry whose first try came through: counted once
            return Answer(204)
        session.last_report = sums.number
        covers = min(60 * SECOND, max(10, sums.covers_ms * 10))
        for met in sums.met:
            host = live.roster.ids.get(met.host)
            if host is None or not sane(met.tries, met.failed, met.good_us):
                live.count("sums not understood")
                continue
            live.intake.add_met(
                now,
                covers,
                session.number,
                session.zone,
                host,
                met.tries,
                met.failed,
                met.good_us / 100,
                read_gauges(met.gauges),
            )
        for came in sums.came:
            if came.kind >= len(self.terms.classes) or came.came > 10_000_000:
                live.count("sums not understood")
                continue
            live.intake.add_came(session.number, came.kind, came.came, min(came.lost, came.came))
            if self.member:
                self.member.stands.arrived(came.kind, came.came, min(came.lost, came.came))
        return Answer(204)

    def _files(self, request: Request) -> Answer:
        if not self.files:
            raise Refused(404, "the terms of this service name no files")
        told: Any = {"status": self.files.status(), "history": self.files.history()}
        if number := request.number("number", 0):
            told = self.files.texts(int(number))
            if told is None:
                raise Refused(404, f"no adoption {number:g} is kept here")
        return Answer(
            200, json.dumps(told, indent=1).encode() + b"\n", {"Content-Type": codec.JSON}
        )

    def _leaving(self, request: Request) -> Answer:
        """Whoever is to stop this director asks that it says so to the keepers, or that it stays after all."""
        if not self.member:
            raise Refused(404, "the terms of this service name no keepers")
        token, leaving = request.number("token"), request.number("leaving")
        if not 0 < token < 1 << 53 or leaving not in (0, 1):
            raise Refused(400, "expected token from 1 up, and leaving as 1 or 0")
        if not self.member.ordered(token, leaving == 1):
            raise Refused(
                409, f"{self.member.token} is the newest token heard of, and {token} is older"
            )
        return Answer(204)

    def _readings(self, request: Request) -> Answer:
        if not self.terms.metrics.readings:
            raise Refused(404, "the terms of this service name no readings")
        if self.terms.metrics.must:
            raise Refused(403, f"readings must be {self.terms.metrics.must}, which a post is not")
        try:
            count = self.metrics.posted(bytes(request.body))
        except Malformed as wrong:
            raise Refused(400, str(wrong)) from None
        if count < 0:
            raise Refused(429, f"over {self.terms.metrics.lines} readings a second", 1)
        return Answer(
            200, json.dumps({"lists": count}).encode() + b"\n", {"Content-Type": codec.JSON}
        )

    def status(self) -> dict[str, Any]:
        live = self.live

        def spread(histogram: Any) -> dict[str, float]:
            return {f"p{p}_ms": histogram.get_value_at_percentile(p) / 1000 for p in (50, 99)}

        return {
            "name": self.name,
            "epoch": live.epoch,
            "version": live.publication.version,
            "hosts": len(live.roster.entries),
            "withdrawn": sorted(live.publication.outs),
            "proxies": len(live.sessions.by_token),
            "connections": self.server.open,
            "backlog": round(live.channel.backlog, 1),
            "backlog_most": round(live.channel.max_backlog, 1),
            "stalls": live.clock.stalls,
            "turns": live.lengths.get_total_count(),
            "turn": spread(live.lengths),
            "event_to_turn": spread(live.waits),
            "order_to_applied": spread(live.applies),
            "levels": {
                self.terms.classes[k]: v / 1e6 for k, (v, _) in live.publication.admits.items()
            },
            "counts": {**live.counts, **self.server.counts, **self.metrics.counts},
            "readings": dict(self.metrics.readings.counts),
            "spools": [s.books for s in self.metrics.senders],
            **({"files": self.files.status()} if self.files else {}),
            **({"member": self.member.status()} if self.member else {}),
        }


def _accepted(request: Request) -> tuple[str, str]:
    """The forms and the encodings that the peer takes."""
    return request.headers.get("accept", ""), request.headers.get("accept-encoding", "")
