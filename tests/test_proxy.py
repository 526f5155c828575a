"""The proxy, between clients and stub hosts on loopback."""

import random

import gevent
from gevent import socket
from gevent.server import StreamServer

from ironfall.api.exchange import Link, Outbox, frame, frames
from ironfall.decisions.interface import RequestClass
from ironfall.generated import ironfall_pb2 as pb
from ironfall.proxy.load_balancing import AttemptHistory, may_retry
from ironfall.proxy.load_reports import DownstreamLoad
from ironfall.proxy.server import Proxy, ProxyConfig
from ironfall.publication import MILLION, Delta
from ironfall.publication.state import admit_sum, bind_sum, line_sum
from ironfall.terms import read_terms
from tests.rig import TERMS, until

LISTING, HOLD, SETTLE = 0, 1, 2  # the request classes of the settings in `TERMS`


class StubHost:
    """A host that answers every request alike.

    The outcome None gives no answer, and "cut" closes the connection instead.
    """

    def __init__(self, name, outcome=pb.FULFILLED):
        self.outcome, self.received = outcome, []
        self.cancelled = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.id = f"{name}@127.0.0.1:{self.server.server_port}"

    def serve(self, sock, _address):
        outbox = Outbox(sock, 1 << 20)
        for message in frames(sock):
            if message.WhichOneof("what") == "exchange":
                self.received.append((message.exchange.token, message.exchange.attempt))
                if self.outcome == "cut":
                    sock.close()
                    return
                if self.outcome is not None:
                    gauges = pb.Gauges(queue=3)
                    outbox.put(
                        frame(
                            answer=pb.Answer(
                                id=message.exchange.id, outcome=self.outcome, gauges=gauges
                            )
                        )
                    )
            self.cancelled += message.WhichOneof("what") == "cancel"


class ProxyHarness:
    def __init__(self, hosts, weights=None, seed=7):
        terms = read_terms(str(TERMS), TERMS.read_text())
        self.hosts = hosts
        initial_table = {
            h.id: w for h, w in zip(hosts, weights or [MILLION] * len(hosts), strict=True)
        }
        unreachable_directors = [("127.0.0.1", 9)]
        self.events = []
        config = ProxyConfig(terms, "p1", "hill", 10, ("127.0.0.1", 0), unreachable_directors, seed)
        self.proxy = Proxy(config, self.log_event, initial_table)
        self.proxy.server.start()
        self.link = Link(("127.0.0.1", self.proxy.server.server_port), pb.Hello(who="test"), 1.0)

    def log_event(self, event, **fields):
        self.events.append((event, fields))

    def send(self, kind=LISTING, token=1, left_ms=4000):
        return self.link.send("exchange", pb.Exchange(kind=kind, token=token, left_ms=left_ms))

    def assign(self, lines, level=MILLION, tries=1):
        """Publishes a table for all classes, as a director would."""
        tables = self.proxy.tables
        tables.join(1, 0)
        total = sum(line_sum(5, h, w) for h, w in lines) + sum(bind_sum(k, 5) for k in range(3))
        total += sum(admit_sum(k, level, tries) for k in range(3))
        delta = Delta(
            1,
            0,
            1,
            total % (1 << 64),
            {k: 5 for k in range(3)},
            [(5, h, w) for h, w in lines],
            [],
            [(k, level, tries) for k in range(3)],
        )
        assert tables.apply(delta).value == "applied"
        self.proxy.on_tables_changed()


def test_pick_frequencies_match_the_weights_over_100_000_requests():
    weights = [100_000, 250_000, 500_000, 1_000_000, 1_150_000]
    harness = ProxyHarness([StubHost(f"h{n}") for n in range(5)], weights)
    count, good = 100_000, 0
    for first in range(0, count, 500):
        calls = [harness.send(LISTING, first + n) for n in range(500)]
        good += sum(call.get(timeout=20).outcome == pb.FULFILLED for call in calls)
    assert good == count
    expected = [count * w / sum(weights) for w in weights]
    seen = [len(host.received) for host in harness.hosts]
    chi_squared = sum((s - e) ** 2 / e for s, e in zip(seen, expected, strict=True))
    assert chi_squared < 18.47, (
        seen
    )  # four degrees of freedom, level 0.001; the seed makes it reproducible


def test_request_of_a_class_without_hosts_is_rejected_and_counted():
    harness = ProxyHarness([StubHost("a")])
    harness.assign([])
    answer = harness.send().get(timeout=2)
    assert (answer.outcome, answer.cause) == (pb.REFUSED, "no host to pick")
    assert harness.proxy.load.downstream[LISTING] == DownstreamLoad(1, 0)
    assert ("bare", {"kind": LISTING}) in harness.events


def test_requests_in_flight_stay_at_their_host_when_tables_change():
    slow, replacement = StubHost("slow", None), StubHost("fresh")
    harness = ProxyHarness([slow])
    call = harness.send(SETTLE, 9)
    until(lambda: slow.received)
    harness.assign([(replacement.id, MILLION)])
    assert harness.send(SETTLE, 10).get(timeout=2).outcome == pb.FULFILLED
    assert not call.ready() and replacement.received == [(10, 1)]


def test_admission_rate_admits_its_share_and_sheds_the_rest():
    host = StubHost("a")
    harness = ProxyHarness([host])
    harness.assign([(host.id, MILLION)], level=MILLION // 4)
    answers = [harness.send(LISTING, n).get(timeout=2) for n in range(400)]
    admitted = sum(a.outcome == pb.FULFILLED for a in answers)
    assert 70 < admitted < 130 and len(host.received) == admitted
    assert all(a.cause == "not let in" for a in answers if a.outcome == pb.REFUSED)


def test_retry_goes_to_another_host_and_only_if_the_policy_allows_it():
    bad, good = StubHost("bad", pb.REFUSED), StubHost("good")
    harness = ProxyHarness([bad])
    harness.assign([(bad.id, 1_000 * MILLION), (good.id, 1)], tries=1)
    assert (
        harness.send(SETTLE, 1).get(timeout=2).outcome == pb.FULFILLED
    )  # it provably never ran at the first host
    harness.assign([(bad.id, 1_000 * MILLION), (good.id, 1)], tries=0)
    assert harness.send(SETTLE, 2).get(timeout=2).outcome == pb.REFUSED
    assert bad.received == [(1, 1), (2, 1)] and good.received == [(1, 2)]


def test_write_that_may_have_run_is_never_retried_under_any_policy():
    """The policy alone would allow the retry, but a second execution can't be undone."""
    for outcome in (pb.FAILED, "cut"):
        bad, good = StubHost("bad", outcome), StubHost("good")
        harness = ProxyHarness([bad])
        harness.assign([(bad.id, 1_000 * MILLION), (good.id, 1)], tries=3)
        assert harness.send(SETTLE, 1).get(timeout=2).outcome == pb.FAILED
        assert not good.received
        assert harness.send(LISTING, 2).get(timeout=2).outcome == pb.FULFILLED
        assert good.received == [(2, 2)]


def test_refused_connection_counts_as_an_attempt_that_never_ran():
    gone, good = StubHost("gone"), StubHost("good")
    gone.server.stop()
    harness = ProxyHarness([gone])
    harness.assign([(gone.id, 1_000 * MILLION), (good.id, 1)])
    assert harness.send(SETTLE, 1).get(timeout=3).outcome == pb.FULFILLED
    assert harness.proxy.load.upstream[gone.id].failed == 1


def test_abandoned_request_is_cancelled_at_the_host():
    silent = StubHost("silent", None)
    harness = ProxyHarness([silent])
    assert harness.send(SETTLE, 1, left_ms=100).get(timeout=3).outcome == pb.FAILED
    until(lambda: silent.cancelled == 1)
    call = harness.send(SETTLE, 2)
    until(lambda: len(silent.received) == 2)
    harness.link.cancel(harness.link.last)
    until(lambda: silent.cancelled == 2)
    assert not call.ready()
    until(lambda: harness.proxy.in_flight == 0)
    assert harness.proxy.load.upstream[silent.id].failed == 2
    assert harness.proxy.load.downstream[SETTLE] == DownstreamLoad(2, 2)


def test_host_is_ejected_after_consecutive_failures_while_another_is_left():
    bad, good = StubHost("bad", pb.FAILED), StubHost("good")
    harness = ProxyHarness([bad, good])
    for n in range(60):
        harness.send(SETTLE, n).get(timeout=2)
    assert len(bad.received) == 3
    harness.assign([(bad.id, MILLION)])
    assert (
        harness.send(SETTLE, 99).get(timeout=2).outcome == pb.FAILED
    )  # an ejected host is used if there is no other


def test_malformed_bytes_close_only_the_connection_of_that_client():
    host = StubHost("a")
    harness = ProxyHarness([host])
    sock = socket.create_connection(("127.0.0.1", harness.proxy.server.server_port), 1)
    sock.sendall(b"\xff\xff\xff\xff nonsense")
    sock.settimeout(2)
    assert sock.recv(10) == b""
    assert harness.send().get(timeout=2).outcome == pb.FULFILLED


def test_retries_follow_the_idempotency_of_the_class_and_the_policy():
    always = RequestClass(10_000, 40_000, 1.0, "always", "all", 0)
    keyed = RequestClass(10_000, 40_000, 1.0, "keyed", "all", 80_000)
    zoned = RequestClass(10_000, 40_000, 1.0, "keyed", "zone", 80_000)
    never = RequestClass(10_000, 40_000, 1.0, "never", "all", 0)
    random_source = random.Random(3)
    for _ in range(2000):
        policy, attempts = random_source.randrange(4), random_source.randrange(1, 4)
        since_first, never_ran = random_source.randrange(100_000), random_source.random() < 0.5
        max_attempts = (1, 2, 2, 3)[policy]
        for request_class in (always, keyed, zoned, never):
            retries = may_retry(
                request_class, policy, AttemptHistory(attempts, never_ran, since_first, 2_500)
            )
            assert not (retries and attempts >= max_attempts)
            if retries and not never_ran:
                assert request_class is always or (
                    request_class is keyed and since_first + 2_500 < 80_000
                )
                assert policy >= 2


def test_proxy_keeps_its_tables_and_reconnects_when_no_director_answers():
    host = StubHost("a")
    harness = ProxyHarness([host])
    harness.proxy.control_client.start(0)
    until(lambda: len([1 for event, _ in harness.events if event == "unreachable"]) >= 2)
    assert harness.send().get(timeout=2).outcome == pb.FULFILLED
    gevent.killall(harness.proxy.control_client.greenlets)
