"""The real director without sockets: its clock is handed in, its loop is stepped, its handlers are called."""

from dataclasses import replace

import structlog

from ironfall.api import codec
from ironfall.api.http import Refused, Request
from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.events import EventKind
from ironfall.director.program import Program
from ironfall.generated import ironfall_pb2 as pb
from ironfall.publication import Holding, Outcome
from ironfall.terms import read_terms
from tests.rig import TERMS

ZONES = ("harbour", "hill", "plain")


def row(number, state="ready", start="1", age_ms=1e9, zone=None):
    """A host as the registry tells it; the zones take turns."""
    return {
        "name": f"h{number}",
        "address": f"127.0.9.{number % 250 + 1}:{9000 + number // 250}",
        "zone": zone or ZONES[number % 3],
        "state": state,
        "incarnation": start,
        "age_ms": age_ms,
    }


def name(number):
    return f"h{number}@{row(number)['address']}"


class Stepped:
    def __init__(
        self, hosts=6, make_engine=DecisionEngine, seed=1, service=(), limits=(), record=None
    ):
        terms = read_terms(str(TERMS), TERMS.read_text())
        self.terms = replace(
            terms,
            service=replace(terms.service, **dict(service)),
            limits=replace(terms.limits, **dict(limits)),
        )
        self.at = 1_000.0
        self.program = Program(
            self.terms,
            structlog.get_logger(),
            seed=seed,
            make_engine=make_engine,
            record=record,
            monotonic=lambda: self.at,
        )
        self.live = self.program.director
        self.live.tasks = self
        self.probes, self.peers, self.forgotten = [], {}, []
        self.left = []  # what left the channel: when, and to whom
        pop_due = self.live.channel.pop_due
        self.live.channel.pop_due = lambda now: [
            self.left.append((now, m.proxy)) or m for m in pop_due(now)
        ]
        self.live.begin()
        self.list([row(n) for n in range(hosts)])

    # the director's background tasks

    def watch_hosts(self): ...

    def health_check(self, host):
        self.probes.append(host)

    def forget(self, host):
        self.forgotten.append(host)

    # what happens

    @property
    def now(self):
        return self.live.clock.now()

    def list(self, rows, whole=True):
        self.live.put(
            EventKind.HOST_LIST, self.live.host_list.read(self.now, rows, whole), whole, True
        )

    def run(self, seconds, every=0.05, each=lambda: None):
        """Time goes on; every peer polls after each step."""
        for _ in range(round(seconds / every)):
            self.at += every
            self.live.step()
            for peer in list(self.peers.values()):
                peer.poll()
            each()

    def peer(self, name="p1", zone="harbour", rate=10.0, standing=()):
        peer = self.peers[name] = Peer(self, name, zone, rate, dict.fromkeys(standing, 1))
        peer.join()
        return peer


class Peer:
    """One proxy's end, as docs/api.md has it, with no more than it must do."""

    def __init__(self, stepped, name, zone, rate, standing=()):
        self.stepped, self.name, self.zone, self.rate = stepped, name, zone, rate
        self.holding = Holding(3, dict(standing))
        self.joined, self.last, self.whole, self.sent = None, None, 0, 0
        self.messages = []  # of the channel: when ordered, when come, lines, version

    def call(self, method, path, message=None, **query):
        request = Request(None)
        request.method, request.path = method, path
        request.query = {word: str(value) for word, value in query.items()}
        request.headers = {"accept": codec.PROTOBUF, "content-type": codec.PROTOBUF}
        request.body = bytearray(message.SerializeToString() if message is not None else b"")
        try:
            answer = self.stepped.program.handle(request)
            return answer.status, answer.body
        except Refused as refused:
            return refused.status, b""

    def join(self):
        status, body = self.call(
            "POST", "/v1/join", pb.Join(proxy=self.name, zone=self.zone, rate=self.rate)
        )
        if status == 200:
            self.joined, self.sent, self.whole = pb.Joined.FromString(body), 0, 0
            self.holding.join(self.joined.epoch, self.joined.version)
        return status

    def leave(self):
        self.stepped.peers.pop(self.name, None)
        return self.call("POST", "/v1/leave", pb.Leave(session=self.joined.session))[0]

    def poll(self, lose=False, **about):
        """`lose`: the answer does not come."""
        about = {
            "session": self.joined.session,
            "epoch": self.joined.epoch,
            "version": self.holding.version,
            "whole": self.whole,
            "wait_ms": 0,
        } | about
        status, body = self.call("GET", "/v1/poll", **about)
        if status == 200 and not lose:
            told = codec.decode(pb.State, body, codec.PROTOBUF, "", 1 << 24)
            now = self.stepped.now
            self.messages += [
                (now - x.waited_us // 100, now, x.lines, x.version) for x in told.carried
            ]
            self.last = codec.unpack_state(told)
            outcome = self.holding.apply(self.last)
            self.whole = int(outcome in (Outcome.GAP, Outcome.DIFFERS))
        return status

    def sums(self, met=(), came=(), covers_ms=1000, gauges=None):
        """`met`: host, tries, failed, milliseconds a good one; `came`: class, came, lost."""
        self.sent += 1
        sums = pb.Sums(session=self.joined.session, number=self.sent, covers_ms=covers_ms)
        for host, tries, failed, took in met:
            sums.met.append(
                pb.Met(
                    host=host,
                    tries=tries,
                    failed=failed,
                    good_us=int((tries - failed) * took * 1000),
                    gauges=pb.Gauges(**(gauges or {})),
                )
            )
        for kind, much, lost in came:
            sums.came.append(pb.Came(kind=kind, came=much, lost=lost))
        return self.call("POST", "/v1/sums", sums)[0]
