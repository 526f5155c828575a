"""A director in this process, a registry that tells what the test sets, and peers that misbehave on purpose."""

import json
import time
from dataclasses import replace
from pathlib import Path

import gevent
import structlog
from gevent import socket
from gevent.event import Event

from ironfall.api import codec
from ironfall.api.http import Answer, Bounds, HttpClient, HttpServer
from ironfall.director.program import Program
from ironfall.generated import ironfall_pb2 as pb
from ironfall.terms import read_terms

TERMS = Path(__file__).parent.parent / "deploy" / "terms" / "resale.sexp"
structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))


def until(true, seconds=10.0):
    """Wait until something holds; fails when it does not within a time far longer than it takes."""
    with gevent.Timeout(seconds, AssertionError("it did not come about in time")):
        while not true():
            gevent.sleep(0.005)


class ListStub:
    def __init__(self, count, zones=("harbour", "hill", "plain")):
        self.rows = [
            {
                "name": f"h{n}",
                "address": f"127.0.{n // 250 + 9}.{n % 250 + 1}:9000",
                "zone": zones[n % len(zones)],
                "state": "ready",
                "incarnation": "1",
            }
            for n in range(count)
        ]
        self.version, self.changed = 1, Event()
        self.server = HttpServer(("127.0.0.1", 0), Bounds(50, 4096, 2, 60, 2), self.handle)
        self.server.start()

    def handle(self, request):
        after = request.number("after")
        if after >= self.version:
            self.changed.clear()
            if not request.hold(self.changed, 5):
                return Answer(204)
        body = {"version": self.version, "whole": True, "hosts": self.rows}
        return Answer(200, json.dumps(body).encode())

    def set(self, rows):
        self.rows, self.version = rows, self.version + 1
        self.changed.set()


class Rig:
    def __init__(self, hosts=6, seed=1, keepers=None, **changes):
        self.registry = ListStub(hosts)
        terms = read_terms(str(TERMS), TERMS.read_text())
        service = replace(terms.service, **changes.pop("service", {}))
        limits = replace(terms.limits, **changes.pop("limits", {}))
        self.terms = replace(
            terms,
            listen=("127.0.0.1", 0),
            registry=("127.0.0.1", self.registry.server.port),
            limits=limits,
            service=service,
            **changes,
        )
        self.program = Program(self.terms, structlog.get_logger(), seed=seed, coordinators=keepers)
        self.program.start()
        self.live = self.program.director
        self.address = ("127.0.0.1", self.program.server.port)

    def __enter__(self):
        until(lambda: len(self.live.host_list.entries) >= len(self.registry.rows))
        return self

    def __exit__(self, *_):
        self.program.stop()
        self.registry.server.stop(0)

    def peer(self, name="p1", zone="harbour", rate=10.0):
        return Peer(self, name, zone, rate)


class Peer:
    """One proxy's end of the protocol, a call at a time."""

    def __init__(self, rig, name, zone, rate):
        self.rig = rig
        self.client = HttpClient(rig.address)
        answer = self.post("/v1/join", pb.Join(proxy=name, zone=zone, rate=rate))
        assert answer.status == 200, answer
        self.joined = pb.Joined.FromString(answer.body)
        self.carried = {}

    def post(self, path, message, seconds=5):
        body, headers = codec.encode(message, codec.PROTOBUF)
        return self.client.call("POST", path, seconds, body, {**headers, "Accept": codec.PROTOBUF})

    def path(self, version=None, epoch=None, wait_ms=3000, whole=0):
        version = self.joined.version if version is None else version
        epoch = self.joined.epoch if epoch is None else epoch
        return f"/v1/poll?session={self.joined.session}&epoch={epoch}&version={version}&wait_ms={wait_ms}&whole={whole}"

    def poll(self, seconds=8, **about):
        answer = self.client.call(
            "GET", self.path(**about), seconds, headers={"Accept": codec.PROTOBUF}
        )
        state = None
        if answer.status == 200:
            told = codec.decode(pb.State, answer.body, codec.PROTOBUF, "", 1 << 20)
            state = codec.unpack_state(told)
            now = time.monotonic()
            for carried in told.carried:  # when it was ordered and when it came, by version
                times = (now - carried.waited_us / 1e6, now, carried.lines)
                self.carried.setdefault(carried.version, times)
        return answer.status, state

    def sums(self, number, **met):
        sums = pb.Sums(session=self.joined.session, number=number, covers_ms=1000)
        for host, (tries, failed) in met.items():
            name = next(h for h in self.rig.live.host_list.entries if h.startswith(host + "@"))
            sums.met.append(
                pb.Met(host=name, tries=tries, failed=failed, good_us=(tries - failed) * 100_000)
            )
        return self.post("/v1/sums", sums).status


def raw(address, data, wait=3.0):
    """Send bytes and read until the peer closes."""
    sock = socket.create_connection(address, 2)
    sock.settimeout(wait)
    sock.sendall(data)
    found = b""
    try:
        while more := sock.recv(65536):
            found += more
    except OSError:
        pass
    sock.close()
    return found
