"""Metrics receivers that pause, refuse, reset and come back, and peers that flood or send invalid data.

The director keeps serving, and put = sent + dropped + held.
"""

import time
from dataclasses import replace

import gevent
import graphyte
from gevent import socket

from ironfall.metrics import collectd
from ironfall.metrics.graphite import parse_line
from ironfall.metrics.links import CollectdSender, GraphiteSender
from ironfall.metrics.point import Point
from ironfall.metrics.spool import Spool
from ironfall.metrics.terms import MetricsTerms
from tests.rig import Rig, until
from tests.test_director import bound

HERE = ("127.0.0.1", 0)


class Receiver:
    """A Graphite receiver that can stop reading, close its connections and stop listening."""

    def __init__(self):
        self.lines, self.may_read = [], gevent.event.Event()
        self.may_read.set()
        self.socks = []
        self.server = gevent.server.StreamServer(HERE, self.serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)

    def serve(self, sock, _address):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socks.append(sock)
        held = b""
        try:
            while True:
                self.may_read.wait()
                data = sock.recv(4096)
                if not data:
                    return
                held += data
                *whole, held = held.split(b"\n")
                self.lines += [parse_line(line) for line in whole]
        except OSError:
            pass

    def reset(self):
        for sock in self.socks:
            sock.close()
        self.socks.clear()


def is_balanced(spool):
    return spool.counts["put"] == spool.counts["sent"] + spool.counts["dropped"] + spool.held


def find_host(running, name):
    hosts = running.live.engine.hosts.values()
    return next(h for h in hosts if running.live.host_list.names[h.id].startswith(f"{name}@"))


def rig(**metrics):
    terms = MetricsTerms(every=200, readings=(("servers.{host}.inflight", "rif", 1.0),), **metrics)
    return Rig(metrics=terms)


def test_series_of_measurements_begin_with_the_directors_name():
    receiver = Receiver()
    with rig(graphite_to=receiver.address) as running:
        bound(running)
        until(
            lambda: any(
                p.series.endswith("order_to_applied_ms.p99") and p.value > 0 for p in receiver.lines
            )
        )
        names = {p.series for p in receiver.lines}
        assert all(name.startswith("ironfall.director.") for name in names)
        assert {"ironfall.director.turn_ms.p99", "ironfall.director.polls.held"} <= names


def test_with_a_receiver_that_does_not_read_points_are_dropped_and_serving_continues():
    receiver = Receiver()
    with rig(graphite_to=receiver.address, spool=300) as running:
        spool = running.program.metrics.senders[0].spool
        until(lambda: receiver.lines)
        receiver.may_read.clear()
        filler = Point("filler", 0.0, 0.0)
        for n in range(200_000):  # far more than the socket's buffers and the spool hold
            spool.put(replace(filler, at=float(n % 5000), series=f"filler{n}"))
            if n % 500 == 0:
                gevent.sleep(0)
                assert len(spool.waiting) <= 300
        assert spool.counts["dropped"] > 0 and is_balanced(spool)
        begun = time.monotonic()
        for n in range(5):
            bound(running, f"p{n}")
        assert time.monotonic() - begun < 20
        receiver.may_read.set()
        spool_was = spool.counts["sent"]
        until(lambda: spool.counts["sent"] > spool_was, 20)
        assert is_balanced(spool)


def test_points_arrive_after_a_receiver_resets_stops_and_comes_back():
    receiver = Receiver()
    spool = Spool(10_000)
    sender = GraphiteSender(receiver.address, spool, 1)
    for n in range(10):
        sender.put(Point("a", float(n), 1.0 + n))
    until(lambda: len(receiver.lines) == 10)
    receiver.reset()
    receiver.server.stop()
    gevent.sleep(0.05)
    for n in range(10, 20):
        sender.put(Point("a", float(n), 1.0 + n))
    until(lambda: spool.counts["refusals"] + spool.counts["failures"] > 0)
    receiver.server = gevent.server.StreamServer(receiver.address, receiver.serve)
    receiver.server.start()
    until(lambda: {p.value for p in receiver.lines} == {float(n) for n in range(20)}, 20)
    until(lambda: not spool.waiting)
    assert is_balanced(spool) and spool.counts["sent"] == 20
    sender.stop()


def test_readings_arrive_by_tcp_from_a_client_library_and_by_udp():
    with rig(graphite_listen=HERE) as running:
        receiver, readings = running.program.metrics.receivers[0], running.program.metrics.readings
        until(lambda: readings.hosts)
        client = graphyte.Sender("127.0.0.1", port=receiver.port)
        gevent.get_hub().threadpool.apply(client.send, ("servers.h1.inflight", 7))
        host = find_host(running, "h1")
        until(lambda: host.in_flight == 7.0)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        at = time.time() + 1
        lines = f"servers.h1.inflight 9 {at:.0f}\nservers.h99.inflight 1 {at:.0f}\nx 1 1"
        sock.sendto(lines.encode(), ("127.0.0.1", receiver.port))
        until(lambda: host.in_flight == 9.0)
        assert readings.counts["unknown host"] == 1


def test_a_flood_of_unknown_names_and_invalid_lines_leaves_the_director_serving():
    with rig(graphite_listen=HERE, lines=1_000_000) as running:
        metrics = running.program.metrics
        sock = socket.create_connection(("127.0.0.1", metrics.receivers[0].port))

        def flood():
            for n in range(0, 50_000, 500):
                sock.sendall(
                    b"".join(b"storm.n%d.x 1 1700000000\n\xff\xfe\n" % (n + k) for k in range(500))
                )

        job = gevent.spawn(flood)
        bound(running)
        job.get(timeout=30)
        until(lambda: metrics.counts.get("graphite lines malformed") == 50_000, 20)
        assert metrics.counts["series not mapped"] == 50_000
        assert len(metrics.readings.hosts) <= 6


def test_lines_over_the_rate_limit_are_dropped():
    with rig(graphite_listen=HERE, lines=10) as running:
        sock = socket.create_connection(("127.0.0.1", running.program.metrics.receivers[0].port))
        sock.sendall(b"a.b 1 2\n" * 1000)
        counts = running.program.metrics.counts
        until(lambda: counts.get("graphite lines over the rate", 0) >= 900)


def test_only_correctly_signed_collectd_packets_are_read(tmp_path):
    (tmp_path / "key").write_text("a secret\n")
    patterns = (("{host}.exchanges.gauge-inflight", "rif", 1.0),)
    key = str(tmp_path / "key")
    terms = MetricsTerms(
        collectd_listen=HERE, must="signed", user="ops", key_file=key, readings=patterns
    )
    with Rig(metrics=terms) as running:
        metrics = running.program.metrics
        until(lambda: metrics.readings.hosts)
        to = ("127.0.0.1", metrics.receivers[0].port)
        one = collectd.ValueList(
            "h2", "exchanges", "", "gauge", "inflight", time.time(), 1.0, [(collectd.GAUGE, 5.0)]
        )
        packet = collectd.encode([one])[0]
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        wrong, right = (
            collectd.sign(packet, "ops", password) for password in ("wrong", "a secret")
        )
        for data in (packet, wrong, b"\0" * 40, right):
            sock.sendto(data, to)
        host = find_host(running, "h2")
        until(lambda: host.in_flight == 5.0)
        assert metrics.counts["collectd packets malformed"] == 3


def test_points_sent_by_collectd_decode_as_gauges():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(HERE)
    sock.settimeout(5)
    sender = CollectdSender(sock.getsockname(), Spool(100), 1, "d1", 1.0)
    sender.put(Point("ironfall.turn_ms.p99", 2.5, 1_700_000_000.0))
    (one,) = collectd.decode(sock.recv(2000))
    assert (one.host, one.plugin, one.type, one.type_instance) == (
        "d1",
        "ironfall",
        "gauge",
        "turn_ms.p99",
    )
    assert one.at == 1_700_000_000.0 and one.values == [(collectd.GAUGE, 2.5)]
    sender.stop()
