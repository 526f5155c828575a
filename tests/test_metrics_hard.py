"""Hard cases of readings and measurements.

Wrong clocks, two directors of one name, any order of arrival, partly received lines, wrong values.
"""

import json
import random
import time
from pathlib import Path

import gevent
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.api.http import HttpClient
from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost
from ironfall.director.recorded_batches import OrderRecorder
from ironfall.lab.day import read_day
from ironfall.lab.hosts import Fleet
from ironfall.lab.nodes import Nodes
from ironfall.metrics import collectd
from ironfall.metrics.collectd_text import encode_json
from ironfall.metrics.graphite import parse_line
from ironfall.metrics.links import GraphiteSender
from ironfall.metrics.point import Point
from ironfall.metrics.readings import Readings
from ironfall.metrics.spool import Spool
from ironfall.metrics.terms import MetricsTerms
from ironfall.terms import read_terms
from tests.rig import Rig, until
from tests.test_director import bound
from tests.test_metrics_links import HERE, Receiver, find_host, is_balanced, rig

WALL = 1_700_000_000
TERMS = Path(__file__).parent.parent / "deploy" / "terms" / "registro.sexp"
SERVICE = read_terms(str(TERMS), TERMS.read_text()).service
HOSTS = (b"host a", b"host b")

reading = st.tuples(
    st.sampled_from("ab"), st.sampled_from(["q", "busy"]), st.integers(0, 9), st.integers(-40, 0)
)


def decided_state(readings, group_size):
    """Returns the decision engine's state of each host after the readings, handed over in groups."""
    director = DecisionEngine(OrderRecorder(), SERVICE, random.Random(1), 0)
    director.on_host_list(0, [ListedHost(host, 0, True, 1.0, 0) for host in HOSTS], True, True)
    state = Readings(30.0, 2.0)
    state.listed({"a": (HOSTS[0], 0.0), "b": (HOSTS[1], 0.0)})
    now = 10_000_000
    for n, (name, gauge, value, ago) in enumerate(readings):
        state.take(WALL, name, gauge, float(value), WALL + ago)
        if n % group_size == group_size - 1 or n == len(readings) - 1:
            for host, at, gauges in state.take_new():
                director.on_gauge_reading(now, host, round((WALL - at) * 10_000), gauges)
    return [(director.hosts[h].in_flight, director.hosts[h].gauged_at) for h in HOSTS]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(reading, min_size=1, max_size=14), st.integers(0, 999), st.integers(1, 5))
def test_the_decision_engines_state_does_not_depend_on_the_order_of_readings(
    readings, seed, group_size
):
    # One value for each time: of two that disagree the larger counts, so the delay until the
    # larger one arrives would affect the outcome, not just the order.
    readings = list({(n, g, at): (n, g, v, at) for n, g, v, at in readings}.values())
    shuffled = list(readings)
    random.Random(seed).shuffle(shuffled)
    stale_left_out = sorted((r for r in readings if r[3] >= -30), key=lambda r: r[3])
    assert decided_state(shuffled, group_size) == decided_state(stale_left_out, 1)


def packet(host, value, at, kind=collectd.GAUGE, name="inflight"):
    value_list = collectd.ValueList(host, "exchanges", "", "gauge", name, at, 1.0, [(kind, value)])
    return collectd.encode([value_list])[0]


def collectd_rig(**more):
    pattern = ("{host}.exchanges.gauge-inflight", "rif", 1.0)
    rate = ("{host}.exchanges.gauge-busy", "rif", 0.5)
    return Rig(metrics=MetricsTerms(collectd_listen=HERE, readings=(pattern, rate), **more))


def test_readings_from_a_clock_that_is_an_hour_off_are_rejected_and_counted():
    with collectd_rig() as running:
        metrics = running.program.metrics
        until(lambda: metrics.readings.hosts)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        to = ("127.0.0.1", metrics.receivers[0].port)
        for off in (3600, -3600):
            sock.sendto(packet("h1", 99.0, time.time() + off), to)
        sock.sendto(packet("h2", 5.0, time.time()), to)
        until(lambda: find_host(running, "h2").in_flight == 5.0)
        assert find_host(running, "h1").in_flight == 0.0
        assert metrics.readings.counts["future"] == metrics.readings.counts["late"] == 1
        status = json.loads(HttpClient(running.address).call("GET", "/v1/status", 5).body)
        assert status["readings"]["future"] == 1


def test_counters_become_rates_and_a_reset_gives_no_spike():
    with collectd_rig() as running:
        metrics = running.program.metrics
        until(lambda: metrics.readings.hosts)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        to, at = ("127.0.0.1", metrics.receivers[0].port), time.time() - 5
        for n, value in enumerate((1000, 1008, 2, 12)):  # a reset between the second and the third
            sock.sendto(packet("h1", value, at + n, collectd.DERIVE, "busy"), to)
        until(lambda: sum(metrics.readings.counts.values()) == 4)
        metrics.hand_over()
        until(
            lambda: find_host(running, "h1").in_flight == 5.0
        )  # 10 per second, scaled by 0.5 in the settings
        assert metrics.readings.counts["no rate yet"] == 2


def test_a_post_of_value_lists_is_used_completely_or_not_at_all():
    with collectd_rig() as running:
        metrics, client = running.program.metrics, HttpClient(running.address)
        until(lambda: metrics.readings.hosts)
        lists = [
            collectd.ValueList(
                h, "exchanges", "", "gauge", "inflight", time.time(), 1.0, [(collectd.GAUGE, 6.0)]
            )
            for h in ("h1", "h2")
        ]
        good = encode_json(lists).encode()
        assert (
            client.call("POST", "/v1/readings", 5, good.replace(b'"gauge"]', b'"other"]', 1)).status
            == 400
        )
        assert not metrics.readings.counts
        assert client.call("POST", "/v1/readings", 5, good).status == 200
        until(
            lambda: find_host(running, "h1").in_flight == find_host(running, "h2").in_flight == 6.0
        )
    with rig() as running:
        assert HttpClient(running.address).call("POST", "/v1/readings", 5, b"x").status == 400
    with Rig() as running:
        assert HttpClient(running.address).call("POST", "/v1/readings", 5, b"[]").status == 404


def test_200_000_unknown_names_by_collectd_use_no_memory_and_the_director_serves():
    with collectd_rig(lines=1_000_000) as running:
        metrics = running.program.metrics
        until(lambda: metrics.readings.hosts)
        before = len(metrics.counts)

        def flood():
            for n in range(0, 200_000, 20):
                lists = [
                    collectd.ValueList(
                        f"x{n + k}",
                        "exchanges",
                        "",
                        "gauge",
                        "inflight",
                        time.time(),
                        1.0,
                        [(collectd.GAUGE, 1.0)],
                    )
                    for k in range(20)
                ]
                for data in collectd.encode(lists):
                    running.program.metrics.receivers[0]._handle_datagram(data, None)
                if n % 1000 == 0:
                    gevent.sleep(0)

        job = gevent.spawn(flood)
        bound(running)
        job.get(timeout=60)
        assert metrics.readings.counts["unknown host"] == 200_000
        assert len(metrics.readings.hosts) <= 6 and len(metrics.counts) <= before + 2


def test_two_directors_of_one_name_are_visible_by_their_epochs():
    receiver = Receiver()
    with rig(graphite_to=receiver.address), rig(graphite_to=receiver.address):
        epochs = "ironfall.director.own.epoch"
        until(lambda: len({p.value for p in receiver.lines if p.series == epochs}) == 2)


def test_a_receiver_that_closes_within_a_line_loses_only_what_it_had_read():
    taken = []

    def read_part_and_close(sock, _address):
        taken.append(sock.recv(30))
        sock.close()

    server = gevent.server.StreamServer(HERE, read_part_and_close)
    server.start()
    spool = Spool(10_000)
    sender = GraphiteSender(("127.0.0.1", server.server_port), spool, 1)
    for n in range(400):
        sender.put(Point("a.series.of.some.length", float(n), 1000.0 + n))
    until(lambda: len(taken) >= 1)
    server.stop()
    until(lambda: spool.counts["failures"] + spool.counts["refusals"] > 0 or not spool.waiting)
    receiver = Receiver()
    sender.to = receiver.address
    for n in range(400, 500):
        sender.put(Point("a.series.of.some.length", float(n), 1000.0 + n))
    until(lambda: {p.value for p in receiver.lines} >= {float(n) for n in range(400, 500)}, 40)
    until(lambda: not spool.waiting)
    assert is_balanced(spool) and spool.counts["sent"] == 500
    whole = [parse_line(line) for data in taken for line in data.split(b"\n")[:-1]]
    assert all(p.series == "a.series.of.some.length" for p in whole)
    sender.stop()


def test_emulated_collectd_delays_repeats_and_falsifies_readings():
    day = read_day(
        "d",
        "terms t\nhosts centro 2\nproxies centro 1\ndirector centro\ndemand 1\nclass c share 100%\n"
        "readings every 20ms delay 1ms spread 50ms late 30% repeat 50%\nat 0s lie h01 0 for 9s",
    )
    terms = read_terms(str(TERMS), TERMS.read_text().replace('"lookup"', '"c"'))
    day.classes["position"] = day.classes["c"]
    fleet = Fleet(day, terms, lambda _name: lambda *_a, **_b: None, 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(HERE)
    sock.settimeout(5)
    fleet.start()
    for host in fleet.hosts.values():
        host.running = 1
    fleet.trouble("lie", ["h01", "0"], 9.0)
    Nodes(fleet, day.readings, [("centro", sock.getsockname())], 1)
    seen = []
    until(lambda: all(h.gauges.util for h in fleet.hosts.values()))
    while len(seen) < 200:
        seen += collectd.decode(sock.recv(2000))
    utils = [(v.host, v.at, v.values[0][1]) for v in seen if v.type_instance == "util"]
    assert {u for h, _, u in utils if h == "h01"} == {0.0} and max(
        u for h, _, u in utils if h == "h02"
    ) > 0
    assert len(set(utils)) < len(utils)  # repeated
    times = [at for h, at, _ in utils if h == "h02"]
    assert times != sorted(times)  # out of order
    for host in fleet.hosts.values():
        host.die()
