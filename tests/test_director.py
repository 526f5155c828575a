"""A live director on loopback with stale, greedy, slow or faulty peers.

Each of them is limited, and the others are served as usual.
"""

import copy
import json

import gevent
from gevent import socket

from ironfall.api import codec
from ironfall.api.http import HttpClient
from ironfall.generated import ironfall_pb2 as pb
from ironfall.publication import Holding, Outcome
from tests.rig import Peer, Rig, raw, until


def poll_until_assigned(peer, holding, seconds=6.0):
    """Polls and applies states until every class has a table."""
    with gevent.Timeout(seconds, AssertionError("not every class was assigned a table in time")):
        while len(holding.binds) < holding.classes:
            status, state = peer.poll(version=holding.version)
            if state is not None:
                assert holding.apply(state) is Outcome.APPLIED
            assert status in (200, 204)
    # The next poll confirms the last state; without it the entries stay unconfirmed in the budget.
    status, state = peer.poll(version=holding.version, wait_ms=1)
    if state is not None:
        holding.apply(state)


def bound(rig, name="p1", zone="harbour"):
    peer, holding = rig.peer(name, zone), Holding(3, {})
    holding.join(peer.joined.epoch, peer.joined.version)
    poll_until_assigned(peer, holding)
    return peer, holding


def test_joining_proxy_is_assigned_and_learns_of_a_drain_at_once():
    with Rig() as rig:
        peer, holding = bound(rig)
        assert len(holding.lines(0)) >= 2
        rows = copy.deepcopy(rig.registry.rows)
        rows[0]["state"] = "draining"
        rig.registry.set(rows)
        until(lambda: any(h.startswith("h0@") for h in rig.live.publication.outs))
        until(
            lambda: (
                holding.apply(peer.poll(version=holding.version)[1])
                and any("h0@" in h for h in holding.outs)
            )
        )
        assert not any(h.startswith("h0@") for h in holding.lines(0))


def test_stale_version_is_answered_with_a_complete_state():
    with Rig(
        limits={"versions": 2}, service={"message_window": 5_000}
    ) as rig:  # one complete state per proxy and window
        peer, holding = bound(rig)
        rows = copy.deepcopy(rig.registry.rows)
        for n in range(4):  # four versions; the history keeps two
            rows[n]["state"] = "draining"
            rig.registry.set(copy.deepcopy(rows))
            until(lambda n=n: any(h.startswith(f"h{n}@") for h in rig.live.publication.outs))
        status, state = peer.poll(version=holding.version)
        assert status == 200 and state.whole
        fresh = copy.deepcopy(holding)
        assert fresh.apply(state) is Outcome.APPLIED
        assert {h.split("@")[0] for h in fresh.outs} == {"h0", "h1", "h2", "h3"}
        peer.poll(version=fresh.version, wait_ms=1)  # confirms it; otherwise it is sent again
        # A version that was never published confirms nothing and is answered with a complete state.
        confirmed = rig.live.sessions.by_token[peer.joined.session].confirmed
        status, state = peer.poll(version=10_000)
        assert status == 200 and state.whole
        assert rig.live.sessions.by_token[peer.joined.session].confirmed == confirmed
        assert rig.live.counts["whole states: never published"] == 1
        # An older epoch: the proxy has to join again.
        status, _ = peer.poll(epoch=peer.joined.epoch - 1)
        assert status == 410


def test_answer_that_was_cut_off_is_sent_again_and_applied_once():
    with Rig() as rig:
        peer, holding = rig.peer(), Holding(3, {})
        holding.join(peer.joined.epoch, peer.joined.version)
        session = rig.live.sessions.by_token[peer.joined.session]
        until(lambda: session.released > peer.joined.version)
        sock = socket.create_connection(rig.address, 2)
        sock.sendall(f"GET {peer.path()} HTTP/1.1\r\nAccept: {codec.PROTOBUF}\r\n\r\n".encode())
        assert sock.recv(40)  # only a part of the response header
        sock.close()
        poll_until_assigned(peer, holding)
        held = copy.deepcopy(vars(holding))
        _, again = peer.poll(version=peer.joined.version)
        assert holding.apply(again) is Outcome.REPEATED
        assert vars(holding) == held


def test_two_polls_of_one_session_do_not_starve_each_other():
    with Rig() as rig:
        peer, holding = bound(rig)
        other = HttpClient(rig.address)
        first = gevent.spawn(peer.poll, version=holding.version + 0, wait_ms=5000)
        gevent.sleep(0.05)
        second = gevent.spawn(other.call, "GET", peer.path(version=holding.version, wait_ms=300), 5)
        assert first.get(timeout=4)[0] in (200, 204)
        assert second.get(timeout=4).status in (200, 204)


def test_polls_in_a_tight_loop_are_refused_and_others_are_served():
    with Rig(limits={"polls": 10}) as rig:
        greedy = rig.peer("greedy")
        statuses = [greedy.poll(wait_ms=0)[0] for _ in range(60)]
        assert 429 in statuses
        bound(rig, "calm")


def test_repeated_load_report_counts_once():
    with Rig() as rig:
        peer = rig.peer()
        assert peer.sums(1, h1=(10, 2)) == 204
        assert peer.sums(1, h1=(10, 2)) == 204
        assert rig.live.counts["sums repeated"] == 1
        waiting = [m.attempts for m in rig.live.report_aggregation.upstream.values()]
        ready = [
            m.attempts for m in rig.live.report_aggregation.ready.values() if hasattr(m, "attempts")
        ]
        assert sum(waiting) + sum(ready) <= 10


def test_implausible_load_reports_are_left_out_and_counted():
    with Rig() as rig:
        peer = rig.peer()
        sums = pb.Sums(session=peer.joined.session, number=1, covers_ms=1000)
        sums.met.append(pb.Met(host="nobody@1.2.3.4:5", tries=3))
        sums.met.append(pb.Met(host=next(iter(rig.live.host_list.entries)), tries=3, failed=9))
        sums.came.append(pb.Came(kind=77, came=1))
        assert peer.post("/v1/sums", sums).status == 204
        assert rig.live.counts["sums not understood"] == 3


def test_bodies_headers_and_bytes_beyond_the_limits_are_refused_with_a_reason():
    with Rig(limits={"body": 2000, "header_time": 3_000, "held": 20}) as rig:
        over = b"POST /v1/sums HTTP/1.1\r\nContent-Length: 900000\r\n\r\n"
        assert b"413" in raw(rig.address, over) and b"limit" in raw(rig.address, over)
        assert b"431" in raw(
            rig.address, b"GET /v1/poll HTTP/1.1\r\nA: " + b"x" * 40_000 + b"\r\n\r\n"
        )
        assert b"400" in raw(rig.address, b"\x00\x01\x02 nonsense\r\n\r\n")
        broken = b"POST /v1/join HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\n{x}"
        assert b"400" in raw(rig.address, broken)
        assert b"404" in raw(rig.address, b"GET /nothing HTTP/1.1\r\nConnection: close\r\n\r\n")
        oversized, _ = codec.encode(pb.Join(proxy="a" * 1_000_000), codec.PROTOBUF, "zstd")
        head = f"POST /v1/join HTTP/1.1\r\nContent-Type: {codec.PROTOBUF}\r\nContent-Encoding: zstd\r\n"
        head += "Connection: close\r\n"
        refused = raw(
            rig.address, f"{head}Content-Length: {len(oversized)}\r\n\r\n".encode() + oversized
        )
        assert b"400" in refused and b"over the limit" in refused
        # A request header that stays incomplete is timed out; others are still served.
        slow_header = socket.create_connection(rig.address, 2)
        slow_header.sendall(b"GET /v1/st")
        bound(rig)
        slow_header.settimeout(5)
        assert b"408" in slow_header.recv(500)


def test_proxy_that_stops_reading_is_disconnected_and_delays_nobody():
    with Rig(hosts=500, limits={"write_time": 3_000, "polls": 100_000}) as rig:
        peer, _ = bound(rig, "slow")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sock.connect(rig.address)
        poll_request = f"GET {peer.path(version=0)} HTTP/1.1\r\n\r\n".encode()
        sender = gevent.spawn(
            sock.sendall, poll_request * 250
        )  # megabytes of answers that are never read
        bound(rig, "calm")
        until(lambda: rig.program.server.counts.get("slow readers") == 1, 15)
        sender.kill()
        sock.close()


def test_channel_stays_within_its_queue_limit_when_all_proxies_join_at_once():
    with Rig(hosts=30, service={"proxies": 80, "queue_limit": 3000.0}) as rig:
        started_at = rig.live.clock.now()
        peers = [gevent.spawn(bound, rig, f"p{n}", rig.terms.zones[n % 3]) for n in range(80)]
        gevent.joinall(peers, raise_error=True)
        elapsed = rig.live.clock.now() - started_at
        assert elapsed < rig.terms.service.unassigned_limit
        # The queue as seen by the proxies: entries that were ordered and had not arrived.
        steps = [
            (at, entries)
            for job in peers
            for x in job.value[0].carried.values()
            for at, entries in ((x[0], x[2]), (x[1], -x[2]))
        ]
        waiting = longest = 0
        for _, entries in sorted(steps):
            waiting += entries
            longest = max(longest, waiting)
        assert 0 < longest <= rig.terms.service.queue_limit
        assert (
            len({x[0] for job in peers for x in job.value[0].carried.values()}) > 1
        )  # in several batches


def test_stopping_director_answers_held_polls():
    with Rig() as rig:
        peer, holding = bound(rig)
        held = gevent.spawn(peer.poll, version=holding.version + 0, wait_ms=20_000, seconds=25)
        gevent.sleep(0.1)
        rig.program.stop()
        assert held.get(timeout=5)[0] in (200, 503)


def test_curl_without_headers_gets_json():
    with Rig() as rig:
        client = HttpClient(rig.address)
        body = json.dumps({"proxy": "p1", "zone": "hill", "rate": 3}).encode()
        answer = client.call("POST", "/v1/join", 3, body)
        joined = json.loads(answer.body)
        assert (
            answer.headers["content-type"] == codec.JSON and int(joined["epoch"]) == rig.live.epoch
        )
        bad = client.call("POST", "/v1/join", 3, b'{"proxy": "p1", "zone": "nowhere"}')
        assert bad.status == 400 and b"expected one of harbour" in bad.body


def test_session_ends_after_its_idle_limit_and_not_at_the_first_disconnect():
    with Rig(limits={"lapse": 5_000}) as rig:
        peer, holding = bound(rig)
        peer.client.close()
        assert peer.joined.session in rig.live.sessions.by_token
        assert peer.poll(version=holding.version, wait_ms=10)[0] in (200, 204)
        until(lambda: peer.joined.session not in rig.live.sessions.by_token)
        assert peer.poll()[0] == 410


def test_the_same_name_joining_again_ends_the_earlier_session():
    with Rig() as rig:
        first = rig.peer("p1")
        second = rig.peer("p1")
        assert first.poll()[0] == 410
        assert second.poll(wait_ms=10)[0] in (200, 204)
        assert isinstance(second, Peer)


def test_joins_are_admitted_as_fast_as_new_sessions_poll():
    # When 10 000 proxies joined at once, their sessions expired before the first polls were read;
    # all of them joined again, without end.
    with Rig(limits={"joining": 3}) as rig:
        peers = [rig.peer(f"p{n}") for n in range(3)]
        late = HttpClient(rig.address)
        body, headers = codec.encode(pb.Join(proxy="late", zone="hill", rate=1), codec.PROTOBUF)
        answer = late.call("POST", "/v1/join", 5, body, headers)
        assert answer.status == 503 and 1 <= int(answer.headers["retry-after"]) <= 3
        peers[0].poll(wait_ms=1)
        peers[0].poll(wait_ms=1)
        assert late.call("POST", "/v1/join", 5, body, headers).status == 200
        peers[1].post("/v1/leave", pb.Leave(session=peers[1].joined.session))
        assert rig.live.sessions.new_sessions == 2
