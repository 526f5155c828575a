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

LISTING, HOLD, SETTLE = 0, 1, 2


class StubHost:
    """A host that answers every request alike.

    The outcome None gives no answer, and "cut" closes the connection instead.
    """

    def __init__(self, name, outcome=pb.FULFILLED):
        self.outcome, self.came = outcome, []
        self.cancelled = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.id = f"{name}@127.0.0.1:{self.server.server_port}"

    def serve(self, sock, _address):
        outbox = Outbox(sock, 1 << 20)
        for one in frames(sock):
            if one.WhichOneof("what") == "exchange":
                self.came.append((one.exchange.token, one.exchange.attempt))
                if self.outcome == "cut":
                    sock.close()
                    return
                if self.outcome is not None:
                    gauges = pb.Gauges(queue=3)
                    outbox.put(
                        frame(
                            answer=pb.Answer(
                                id=one.exchange.id, outcome=self.outcome, gauges=gauges
                            )
                        )
                    )
            self.cancelled += one.WhichOneof("what") == "cancel"


class Bed:
    def __init__(self, hosts, weights=None, seed=7):
        terms = read_terms(str(TERMS), TERMS.read_text())
        self.hosts = hosts
        standing = {h.id: w for h, w in zip(hosts, weights or [MILLION] * len(hosts), strict=True)}
        nowhere = [("127.0.0.1", 9)]
        self.told = []
        config = ProxyConfig(terms, "p1", "hill", 10, ("127.0.0.1", 0), nowhere, seed)
        self.proxy = Proxy(config, self.tell, standing)
        self.proxy.server.start()
        self.link = Link(("127.0.0.1", self.proxy.server.server_port), pb.Hello(who="test"), 1.0)

    def tell(self, what, **about):
        self.told.append((what, about))

    def ask(self, kind=LISTING, token=1, left_ms=4000):
        return self.link.send("exchange", pb.Exchange(kind=kind, token=token, left_ms=left_ms))

    def order(self, lines, level=MILLION, tries=1):
        """Publishes a table for all classes, as a director would."""
        holding = self.proxy.tables
        holding.join(1, 0)
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
        assert holding.apply(delta).value == "applied"
        self.proxy.on_tables_changed()


def test_pick_frequencies_match_the_weights_over_100_000_requests():
    weights = [100_000, 250_000, 500_000, 1_000_000, 1_150_000]
    bed = Bed([StubHost(f"h{n}") for n in range(5)], weights)
    count, good = 100_000, 0
    for first in range(0, count, 500):
        calls = [bed.ask(LISTING, first + n) for n in range(500)]
        good += sum(call.get(timeout=20).outcome == pb.FULFILLED for call in calls)
    assert good == count
    expected = [count * w / sum(weights) for w in weights]
    seen = [len(host.came) for host in bed.hosts]
    chi_squared = sum((s - e) ** 2 / e for s, e in zip(seen, expected, strict=True))
    assert chi_squared < 18.47, (
        seen
    )  # four degrees of freedom, level 0.001; the seed makes it reproducible


def test_request_of_a_class_without_hosts_is_rejected_and_counted():
    bed = Bed([StubHost("a")])
    bed.order([])
    answer = bed.ask().get(timeout=2)
    assert (answer.outcome, answer.cause) == (pb.REFUSED, "no host to pick")
    assert bed.proxy.load.downstream[LISTING] == DownstreamLoad(1, 0)
    assert ("bare", {"kind": LISTING}) in bed.told


def test_requests_in_flight_stay_at_their_host_when_tables_change():
    slow, fresh = StubHost("slow", None), StubHost("fresh")
    bed = Bed([slow])
    call = bed.ask(SETTLE, 9)
    until(lambda: slow.came)
    bed.order([(fresh.id, MILLION)])
    assert bed.ask(SETTLE, 10).get(timeout=2).outcome == pb.FULFILLED
    assert not call.ready() and fresh.came == [(10, 1)]


def test_admission_rate_admits_its_share_and_sheds_the_rest():
    host = StubHost("a")
    bed = Bed([host])
    bed.order([(host.id, MILLION)], level=MILLION // 4)
    answers = [bed.ask(LISTING, n).get(timeout=2) for n in range(400)]
    let_in = sum(a.outcome == pb.FULFILLED for a in answers)
    assert 70 < let_in < 130 and len(host.came) == let_in
    assert all(a.cause == "not let in" for a in answers if a.outcome == pb.REFUSED)


def test_retry_goes_to_another_host_and_only_if_the_policy_allows_it():
    bad, good = StubHost("bad", pb.REFUSED), StubHost("good")
    bed = Bed([bad])
    bed.order([(bad.id, 1_000 * MILLION), (good.id, 1)], tries=1)
    assert (
        bed.ask(SETTLE, 1).get(timeout=2).outcome == pb.FULFILLED
    )  # it provably never ran at the first host
    bed.order([(bad.id, 1_000 * MILLION), (good.id, 1)], tries=0)
    assert bed.ask(SETTLE, 2).get(timeout=2).outcome == pb.REFUSED
    assert bad.came == [(1, 1), (2, 1)] and good.came == [(1, 2)]


def test_write_that_may_have_run_is_never_retried_under_any_policy():
    """The policy alone would allow the retry, but a second execution can't be undone."""
    for outcome in (pb.FAILED, "cut"):
        bad, good = StubHost("bad", outcome), StubHost("good")
        bed = Bed([bad])
        bed.order([(bad.id, 1_000 * MILLION), (good.id, 1)], tries=3)
        assert bed.ask(SETTLE, 1).get(timeout=2).outcome == pb.FAILED
        assert not good.came
        assert bed.ask(LISTING, 2).get(timeout=2).outcome == pb.FULFILLED
        assert good.came == [(2, 2)]


def test_refused_connection_counts_as_an_attempt_that_never_ran():
    gone, good = StubHost("gone"), StubHost("good")
    gone.server.stop()
    bed = Bed([gone])
    bed.order([(gone.id, 1_000 * MILLION), (good.id, 1)])
    assert bed.ask(SETTLE, 1).get(timeout=3).outcome == pb.FULFILLED
    assert bed.proxy.load.upstream[gone.id].failed == 1


def test_abandoned_request_is_cancelled_at_the_host():
    silent = StubHost("silent", None)
    bed = Bed([silent])
    assert bed.ask(SETTLE, 1, left_ms=100).get(timeout=3).outcome == pb.FAILED
    until(lambda: silent.cancelled == 1)
    call = bed.ask(SETTLE, 2)
    until(lambda: len(silent.came) == 2)
    bed.link.cancel(bed.link.last)
    until(lambda: silent.cancelled == 2)
    assert not call.ready()
    until(lambda: bed.proxy.in_flight == 0)
    assert bed.proxy.load.upstream[silent.id].failed == 2
    assert bed.proxy.load.downstream[SETTLE] == DownstreamLoad(2, 2)


def test_host_is_ejected_after_consecutive_failures_while_another_is_left():
    bad, good = StubHost("bad", pb.FAILED), StubHost("good")
    bed = Bed([bad, good])
    for n in range(60):
        bed.ask(SETTLE, n).get(timeout=2)
    assert len(bad.came) == 3
    bed.order([(bad.id, MILLION)])
    assert (
        bed.ask(SETTLE, 99).get(timeout=2).outcome == pb.FAILED
    )  # an ejected host is used if there is no other


def test_malformed_bytes_close_only_the_connection_of_that_client():
    host = StubHost("a")
    bed = Bed([host])
    sock = socket.create_connection(("127.0.0.1", bed.proxy.server.server_port), 1)
    sock.sendall(b"\xff\xff\xff\xff nonsense")
    sock.settimeout(2)
    assert sock.recv(10) == b""
    assert bed.ask().get(timeout=2).outcome == pb.FULFILLED


def test_retries_follow_the_idempotency_of_the_class_and_the_policy():
    always = RequestClass(10_000, 40_000, 1.0, "always", "all", 0)
    keyed = RequestClass(10_000, 40_000, 1.0, "keyed", "all", 80_000)
    zoned = RequestClass(10_000, 40_000, 1.0, "keyed", "zone", 80_000)
    never = RequestClass(10_000, 40_000, 1.0, "never", "all", 0)
    chance = random.Random(3)
    for _ in range(2000):
        way, tries = chance.randrange(4), chance.randrange(1, 4)
        since, ran_not = chance.randrange(100_000), chance.random() < 0.5
        most = (1, 2, 2, 3)[way]
        for kind in (always, keyed, zoned, never):
            again = may_retry(kind, way, AttemptHistory(tries, ran_not, since, 2_500))
            assert not (again and tries >= most)
            if again and not ran_not:
                assert kind is always or (kind is keyed and since + 2_500 < 80_000)
                assert way >= 2


def test_proxy_keeps_its_tables_and_redials_when_no_director_answers():
    host = StubHost("a")
    bed = Bed([host])
    bed.proxy.control_client.start(0)
    until(lambda: len([1 for what, _ in bed.told if what == "unreachable"]) >= 2)
    assert bed.ask().get(timeout=2).outcome == pb.FULFILLED
    gevent.killall(bed.proxy.control_client.greenlets)
