"""Regression tests for faults found in the director.

Peers misbehave within the protocol, events come late or twice, hosts and proxies come and go. Most
tests step the real director without sockets (tests/stepped.py).
"""

import heapq
import random
from dataclasses import replace

import pytest

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost
from ironfall.director.host_list import HostList
from ironfall.director.report_aggregation import ReportAggregation, ZoneHost, ZoneReport
from ironfall.director.report_weighting import ProxyClass, UpstreamReport, merge_reports
from ironfall.proxy.load_balancing import LoadBalancer
from ironfall.publication import Holding
from ironfall.terms import ProxyTerms, Unreadable, read_terms
from tests.play import BOOT, USUAL, Recorder, act, host
from tests.rig import TERMS
from tests.stepped import Stepped, name, row


def max_within(times, window):
    """Returns the largest number of times within any window."""
    return max((sum(t <= x < t + window for x in times) for t in times), default=0)


# Hosts that come and go.


def test_replaced_hosts_are_forgotten_and_joining_proxies_are_still_assigned():
    # Every host ever withdrawn was counted as an entry of each assignment, so that after enough
    # replacements no assignment fitted into the channel.
    stepped = Stepped(hosts=6, service={"queue_limit": 200.0})
    stepped.peer("old", standing=[name(0)])
    for generation in range(1, 31):
        stepped.list([row(6 * generation + n) for n in range(6)])
        stepped.run(15, 0.25)
    stepped.run(70, 0.25)
    live, joiner = stepped.live, stepped.peer("late", standing=[name(180)])
    stepped.run(stepped.terms.service.unassigned_limit / 10_000)
    assert len(joiner.holding.binds) == 3, "not every class was assigned a table in time"
    assert len(live.engine.hosts) == len(live.host_list.ids) == len(live.host_list.names) == 6
    assert not live.publication.outs and all(len(t) <= 6 for t in live.publication.tables.values())
    assert stepped.peers["old"].holding.lines(0).keys() == {name(180 + n) for n in range(6)}
    assert len(stepped.forgotten) == 180


def test_host_that_returns_before_it_is_forgotten_keeps_its_id():
    stepped = Stepped(hosts=6)
    stepped.peer()
    first = dict(stepped.live.host_list.ids)
    stepped.list([row(n) for n in range(5)])
    stepped.run(40, 0.25)
    stepped.list([row(n) for n in range(6)])
    stepped.run(40, 0.25)
    assert stepped.live.host_list.ids == first and not stepped.live.publication.outs
    assert name(5) in stepped.peers["p1"].holding.lines(0)


def test_id_of_a_forgotten_host_is_not_reused_while_it_is_in_use():
    host_list, zones = HostList(("x",), 100_000), {"zone": "x"}
    one, two, three = ({**row(0), **zones, "name": n} for n in "abc")
    host_list.read(0, [one], True)
    (second,) = host_list.read(0, [two], True)
    host_list.forget(host_list.ids["a@" + one["address"]])
    (third,) = host_list.read(0, [two, three], True)[1:]
    assert third.host != second.host
    host_list.forget(second.host)
    assert host_list.ids["b@" + two["address"]] == second.host  # it is still listed


def test_host_that_is_gone_or_was_never_ready_leaves_the_host_list():
    host_list = HostList(("x",), 100_000)
    rows = [{**row(n), "zone": "x"} for n in range(2)]
    (one, _) = host_list.read(0, [rows[0], {**rows[1], "state": "draining"}], True)
    (listing,) = host_list.read(1, [{**rows[0], "state": "gone"}], False)
    assert listing.host == one.host and not listing.ready and len(host_list.entries) == 1
    host_list.read(2, [], True)
    assert list(host_list.ids) == [name(0)]  # the engine knows only this one
    assert host_list.forget(one.host) == name(0) and not host_list.names


def test_loss_of_a_third_of_the_hosts_is_published_in_few_batches_over_a_slow_channel():
    # Withdrawn one by one as channel budget became free, each with the message overhead for every
    # proxy, the last host was removed after 8 s instead of 3 s.
    stepped = Stepped(hosts=90, service={"queue_limit": 400.0, "proxies": 20})
    stepped.live.channel.entries_per_tick = 400 / 10_000
    for n in range(20):
        stepped.peer(f"p{n}", ("harbour", "hill", "plain")[n % 3])
    stepped.run(30, 0.1)
    stepped.list([row(n) for n in range(30, 90)])
    stepped.run(4)
    gone = {name(n) for n in range(30)}
    assert not any(gone & peer.holding.lines(0).keys() for peer in stepped.peers.values())
    assert stepped.live.channel.max_backlog <= 400


def test_a_proxy_keeps_no_record_of_hosts_that_no_table_names():
    holding = Holding(1, {"a": 1, "b": 1})
    balancer = LoadBalancer(holding, ProxyTerms(shun_after=2, shun_time=10), random.Random(1))
    for n in range(1000):
        balancer.on_attempt_ended(n, f"gone{n}", False)
        balancer.on_attempt_ended(n, f"shunned{n}", False)
        balancer.on_attempt_ended(n, f"shunned{n}", False)
    balancer.on_attempt_ended(1000, "a", False)
    balancer.on_tables_changed()
    assert balancer.consecutive_failures == {"a": 1} and len(balancer.ejected_until) <= 11


# Proxies that come and go.


def test_proxy_that_joins_and_leaves_between_two_batches_has_left():
    # Leave events were passed on before join events, so that such a proxy stayed known forever.
    stepped = Stepped()
    peer = stepped.peer("brief")
    peer.leave()
    stepped.run(1)
    assert not stepped.live.engine.proxies


def test_proxy_that_rejoins_while_the_event_queue_is_full_is_not_lost():
    # The end of its earlier session took the last place in the queue, and the join was lost.
    stepped = Stepped(limits={"events": 10})
    peer = stepped.peer()
    stepped.run(2)
    while len(stepped.live.events) < 9:
        stepped.live.put("list_failed")
    assert peer.join() == 200
    stepped.run(2)
    assert len(peer.holding.binds) == 3


def test_unconfirmed_messages_to_a_proxy_that_left_take_up_no_budget():
    # One name that joined every half second had the assignments of ten seconds counted as waiting,
    # so that no other proxy was assigned.
    waits = {}
    for loops in (False, True):
        stepped = Stepped(hosts=30, service={"queue_limit": 400.0})
        for n in range(4):
            stepped.peer(f"calm{n}")
        stepped.run(20)
        if loops:
            looping = stepped.peer("looping", rate=1e6)
            del stepped.peers["looping"]  # it never polls
        joined = 0
        for n in range(40):
            if loops:
                looping.join()
            stepped.run(0.6, 0.1)
            if n == 20:
                late, joined = stepped.peer("late", standing=[name(0)]), stepped.now
            if n > 20 and loops not in waits and len(late.holding.binds) == 3:
                waits[loops] = stepped.now - joined
    assert waits[True] <= waits[False] + 10_000, waits


def test_proxies_that_rejoin_in_a_loop_do_not_delay_another_proxys_assignment():
    # Assignments are ordered by the rate that a joining proxy states: twenty names that stated a
    # high rate kept all others out.
    stepped = Stepped(hosts=30, service={"proxies": 9})
    calm = stepped.peer("calm")
    stepped.run(10)
    loops = [stepped.peer(f"loop{n}", rate=1e6) for n in range(100)]
    for peer in loops:
        del stepped.peers[peer.name]  # they never poll
    late, waited = stepped.peer("late", standing=[name(0)]), 0
    while len(late.holding.binds) < 3:
        for peer in loops:
            assert peer.join() in (200, 503)
        stepped.run(0.6)
        waited += 6_000
        assert waited < stepped.terms.service.unassigned_limit
    assert stepped.live.channel.max_backlog <= stepped.terms.service.queue_limit
    assert max(at - ordered for ordered, at, *_ in calm.messages) < 10_000


def test_proxy_that_rejoins_in_a_loop_stays_within_the_message_limit():
    stepped = Stepped(hosts=12, service={"message_limit": 12})
    peer = stepped.peer()
    for n in range(40):
        stepped.run(0.5)
        stepped.list([row(k, "draining" if k == n % 12 and n % 2 else "ready") for k in range(12)])
        peer.join()
    sent = [at for at, to in stepped.left if to >= 0]  # all of it to this name, the only one
    assert max_within(sent, stepped.terms.service.message_window) <= 12


class MessageLog:
    """Records when messages were enqueued and sent, by proxy name over all its sessions."""

    def __init__(self, stepped):
        self.stepped, self.enqueued, self.sent = stepped, {}, {}
        self.channel = stepped.live.channel
        self.enqueue, self.channel.enqueue = self.channel.enqueue, self._record_enqueued
        self.pop_due, self.channel.pop_due = self.channel.pop_due, self._record_sent

    def _name(self, number):
        session = self.stepped.live.sessions.by_number.get(number)
        return session.name if session else ""

    def _record_enqueued(self, now, message):
        self.enqueued.setdefault(self._name(message.proxy), []).append(now)
        self.enqueue(now, message)

    def _record_sent(self, now):
        due = self.pop_due(now)
        for message in due:
            self.sent.setdefault(self._name(message.proxy), []).append(now)
        return due

    def max_by_name(self):
        window, names = self.stepped.terms.service.message_window, self.enqueued.keys() - {""}
        return {
            name: max(
                max_within(times.get(name, []), window) for times in (self.enqueued, self.sent)
            )
            for name in names
        }


class HostListChurn:
    """Advances time while the host list changes: a host drains, then is ready again, in turn."""

    def __init__(self, stepped, hosts, every):
        self.stepped, self.hosts, self.every, self.changes, self.steps = stepped, hosts, every, 0, 0

    def run(self, seconds):
        self.stepped.run(seconds, 0.05, self._step)

    def _step(self):
        self.steps += 1
        if self.every and self.steps % round(self.every / 0.05) == 0:
            self.changes += 1
            drains = self.changes % self.hosts if self.changes % 2 else -1
            self.stepped.list(
                [row(n, "draining" if n == drains else "ready") for n in range(self.hosts)]
            )


def rejoin_until_throttled(peer, run):
    """Rejoins until the session is throttled."""
    for _ in range(60):
        run(0.6)
        peer.join()
        if peer.stepped.live.throttled:
            return
    raise AssertionError("not throttled after 60 joins")


@pytest.mark.parametrize("limit", [1, 2, 12, 20])
@pytest.mark.parametrize("how", ["rejoins", "leaves and joins", "expires", "mixed"])
def test_no_pattern_of_rejoining_exceeds_the_message_limit_of_a_name(how, limit):
    stepped = Stepped(hosts=12, service={"message_limit": limit}, limits={"lapse": 2_000})
    message_log, rng = MessageLog(stepped), random.Random(limit)
    churn = HostListChurn(stepped, 12, 0.5)
    peer = stepped.peer("loops")
    for _ in range(60):
        churn.run(rng.choice([0.1, 0.5, 0.55, 0.8]))
        way = rng.choice(["rejoins", "leaves and joins", "expires"]) if how == "mixed" else how
        if way == "leaves and joins":
            assert peer.leave() == 204
        elif way == "expires":
            del stepped.peers["loops"]
            stepped.run(0.6)
            assert peer.poll() == 410
        stepped.peers["loops"] = peer
        assert peer.join() == 200
    assert 0 < message_log.max_by_name()["loops"] <= limit


def test_throttled_proxy_is_assigned_again_and_receives_what_it_missed():
    stepped = Stepped(hosts=12)
    peer, churn = stepped.peer("loops"), HostListChurn(stepped, 12, 0.5)
    for _ in range(40):
        churn.run(0.5)
        peer.join()
    rejoin_until_throttled(peer, churn.run)
    assert peer.poll(whole=1) == 204  # refused, as a complete state is a message too
    churn.run(stepped.terms.service.message_window / 10_000)
    stepped.list([row(n) for n in range(11)])
    stepped.run(stepped.terms.service.message_window / 10_000 + 2)
    live = stepped.live
    assert not live.throttled and peer.holding.outs == set(live.publication.outs)
    assert (
        peer.holding.binds.keys() == {0, 1, 2}
        and peer.holding.tables[0] == live.publication.tables[0]
    )
    assert name(11) not in peer.holding.lines(0) and peer.whole == 0


def test_proxy_that_is_throttled_within_a_session_keeps_it_and_loses_nothing():
    # One restart among many changes: messages sent before the restart still count.
    stepped = Stepped(hosts=12, service={"message_limit": 12})
    message_log, churn = MessageLog(stepped), HostListChurn(stepped, 12, 0.5)
    peer = stepped.peer("restarts")
    stepped.peer("calm")
    churn.run(20)
    peer.join()
    session = peer.joined.session
    churn.run(20)
    assert stepped.live.counts["sessions throttled"] >= 1
    stepped.run(12)
    live, calm = stepped.live, stepped.peers["calm"].holding
    assert session in live.sessions.by_token and not live.throttled
    assert peer.holding.tables == calm.tables == {0: live.publication.tables[0]} and peer.whole == 0
    assert (peer.holding.outs, peer.holding.admits, peer.holding.sum) == (
        calm.outs,
        calm.admits,
        calm.sum,
    )
    assert message_log.max_by_name()["restarts"] <= 12


@pytest.mark.parametrize("every, restarts", [(0, [1.0] * 8), (1.0, [2.0, 2.0, 2.0]), (0.4, [1.0])])
def test_proxy_that_restarts_a_few_times_is_assigned_within_the_limit(every, restarts):
    stepped = Stepped(hosts=12)
    peer, churn = stepped.peer("restarts"), HostListChurn(stepped, 12, every)
    churn.run(12)
    for pause in restarts:
        peer.join()
        churn.run(pause)
    limit_seconds = stepped.terms.service.unassigned_limit / 10_000
    churn.run(max(0.0, limit_seconds - restarts[-1]))
    assert len(peer.holding.binds) == 3
    assert (
        max_within([at for at, to in stepped.left if to >= 0], stepped.terms.service.message_window)
        <= 20
    )
    assert every == 0.4 or "sessions throttled" not in stepped.live.counts


def test_proxies_that_rejoin_in_a_loop_do_not_use_up_the_messages_or_time_of_others():
    results = {}
    for loops in (0, 8):
        stepped = Stepped(hosts=12, service={"proxies": 10})
        message_log, churn = MessageLog(stepped), HostListChurn(stepped, 12, 0.5)
        calm, once = stepped.peer("calm"), stepped.peer("once", "hill")
        looping = [stepped.peer(f"loop{n}", rate=1e6) for n in range(loops)]
        for n in range(60):
            churn.run(0.5)
            for peer in looping:
                assert peer.join() == 200
            if n == 30:
                once.join()
        results[loops] = (
            [max(at - ordered for ordered, at, *_ in p.messages) for p in (calm, once)],
            calm.holding.sum,
        )
        max_messages = message_log.max_by_name()
        assert max(max_messages.values()) <= stepped.terms.service.message_limit
        assert not any(s.name in ("calm", "once") for s in stepped.live.throttled.values())
    assert all(
        late <= usual + 2_000 for late, usual in zip(results[8][0], results[0][0], strict=True)
    ), results


def test_throttled_session_that_ends_is_removed():
    stepped = Stepped(hosts=12, service={"message_limit": 4})
    peer, churn = stepped.peer("loops"), HostListChurn(stepped, 12, 0.5)
    rejoin_until_throttled(peer, churn.run)
    peer.leave()
    stepped.run(12)
    assert (
        not stepped.live.throttled
        and not stepped.live.engine.proxies
        and not stepped.live.publication.views
    )


def test_complete_state_requested_by_a_throttled_session_is_requested_again():
    # The engine never saw the request, and the director took the state for already requested.
    stepped = Stepped(hosts=12, service={"message_limit": 4})
    peer = stepped.peer("loops")
    rejoin_until_throttled(peer, stepped.run)
    peer.whole = 1
    stepped.run(12)
    assert stepped.live.counts["whole states: asked for"] == 2
    assert not peer.whole and peer.holding.binds.keys() == {0, 1, 2}


def test_throttled_sessions_take_no_channel_budget_from_others():
    stepped = Stepped(hosts=12, service={"message_limit": 12, "queue_limit": 400.0, "proxies": 12})
    peers, churn = [stepped.peer(f"p{n}") for n in range(10)], HostListChurn(stepped, 12, 0.4)
    churn.run(12)
    for peer in peers:
        peer.join()
    for _ in range(200):
        if len(stepped.live.throttled) < 10:
            churn.run(0.05)
    assert len(stepped.live.throttled) == 10
    for _ in range(10):  # while they are throttled
        stepped.list([row(n, "draining" if n == 5 else "ready") for n in range(12)])
        stepped.run(0.2)
        stepped.list([row(n) for n in range(12)])
        stepped.run(0.2)
    assert stepped.live.engine.budget.unconfirmed_entries(stepped.now) < 100
    late = stepped.peer("late", standing=[name(0)])
    stepped.run(1.5)
    assert len(late.holding.binds) == 3


def test_first_session_of_a_name_is_never_throttled_however_low_the_message_limit():
    stepped = Stepped(service={"message_limit": 1, "message_window": 50_000})
    stepped.peer()
    stepped.run(30)
    assert not stepped.live.throttled and "sessions throttled" not in stepped.live.counts


def test_load_reports_of_a_throttled_session_are_deferred_and_none_accepted_is_lost():
    stepped = Stepped(hosts=12, service={"message_limit": 4})
    peer, churn = stepped.peer("loops"), HostListChurn(stepped, 12, 0.5)
    stepped.peer("calm", "hill")
    rejoin_until_throttled(peer, churn.run)
    assert peer.sums(came=[(0, 8, 1)]) == 429
    for _ in range(200):
        if stepped.live.throttled:
            churn.run(0.1)
    stepped.run(0.1)
    peer.sent -= 1  # send the same number again, as the report was refused
    assert (
        not stepped.live.engine.fleet.traffic_classes[0].request_rate
        and peer.sums(came=[(0, 8, 1)]) == 204
    )
    stepped.run(1.5)
    assert (
        0.8 < stepped.live.engine.fleet.traffic_classes[0].request_rate <= 1
    )  # 8 requests over the 8 s of the average


def test_session_limit_above_the_available_proxy_numbers_is_refused_at_start():
    text = TERMS.read_text().replace("(listen", "(limits (sessions 70000))\n  (listen")
    with pytest.raises(Unreadable, match="sessions are limited to 70000.*65535"):
        read_terms("t", text)


# Complete states.


def complete_state_requester(stepped, name="greedy"):
    peer = stepped.peers.pop(name)
    return lambda: peer.poll(whole=1, version=max(0, peer.holding.version))


@pytest.mark.parametrize("requesters", [1, 8])
def test_endless_requests_for_complete_states_break_no_limit_and_delay_nobody(requesters):
    # Complete states bypassed the engine's channel budget and the message limit of proxies.
    waits = []
    for greedy in (0, requesters):
        stepped = Stepped(hosts=60, service={"queue_limit": 600.0, "proxies": 12})
        for n in range(4):
            stepped.peer(f"calm{n}", ("harbour", "hill", "plain")[n % 3])
        for n in range(requesters):
            stepped.peer(f"greedy{n}")
        stepped.run(15)
        requests = [complete_state_requester(stepped, f"greedy{n}") for n in range(greedy)]
        started_at, latencies = stepped.now, []
        for n in range(20):
            rows = [row(k, "draining" if k in (n, n + 1) else "ready") for k in range(60)]
            stepped.list(rows)
            listed_at = stepped.now
            stepped.run(1.0, 0.02, lambda requests=requests: [request() for request in requests])
            latencies += [
                at - listed_at
                for p in stepped.peers.values()
                if p.name.startswith("calm")
                for ordered, at, *_ in p.messages
                if 0 <= ordered - listed_at < 1_000
            ]
        waits.append(max(latencies))
        assert stepped.live.channel.max_backlog <= stepped.terms.service.queue_limit
        for session in stepped.live.sessions.by_token.values():
            times = [at for at, to in stepped.left if to == session.number and at >= started_at]
            assert (
                max_within(times, stepped.terms.service.message_window)
                <= stepped.terms.service.message_limit
            )
    assert waits[1] <= waits[0] + 2_000, waits


def test_needed_complete_state_arrives_soon():
    stepped = Stepped()
    peer = stepped.peer()
    stepped.run(5)
    peer.holding.tables[0][name(0)] += 1  # its table differs without its knowledge
    peer.holding.sum += 12345
    stepped.list([row(n, "draining" if n == 3 else "ready") for n in range(6)])
    stepped.run(1.5)
    assert (
        name(3) not in peer.holding.lines(0)
        and peer.holding.version == stepped.live.publication.version
    )
    assert peer.whole == 0 and peer.holding.tables[0] == stepped.live.publication.tables[0]


# Events that come late, twice or out of order.


def run_engine(*steps, terms=USUAL):
    """Runs an engine through events `(seconds, text)`; returns it and the recorder."""
    recorder = Recorder()
    recorder.now = BOOT
    engine = DecisionEngine(recorder, terms, random.Random(1), BOOT)
    for at, words in steps:
        recorder.schedule(BOOT + round(at * 10_000), words.split())
    end = BOOT + round(steps[-1][0] * 10_000)
    while recorder.due[0][0] <= end:
        recorder.now, _, words = heapq.heappop(recorder.due)
        act(engine, recorder.now, words)
    return engine, recorder


START = [(0, "list a:0 b:0 c:0 d:0"), (0.1, "join 1:0 2:0")]


def test_late_update_of_an_earlier_process_does_not_drain_the_current_one():
    steps = [*START, (4, "change a:0~3.5"), (12, "change a:0~1!")]
    engine, _ = run_engine(*steps, (13, "change a:0!"), (13.1, "failed"))
    assert not engine.hosts[
        host("a")
    ].is_ready  # the last update names no process, so it applies to the current one
    engine, _ = run_engine(*steps, (12.1, "failed"))
    assert engine.hosts[host("a")].is_ready and not engine.hosts[host("a")].is_withdrawn


def test_late_update_of_an_earlier_process_ends_neither_a_drain_nor_a_slow_start():
    engine, _ = run_engine(
        *START, (4, "change a:0~3.5"), (5, "change a:0~3.5!"), (6, "change a:0~1"), (7, "failed")
    )
    assert not engine.hosts[host("a")].is_ready and engine.hosts[host("a")].is_withdrawn
    engine, _ = run_engine(
        *START, (4, "change a:0~3.5"), (5, "change a:0~3.5!"), (6, "change a:0"), (6, "failed")
    )
    assert engine.hosts[host("a")].started_at == BOOT + 35_000  # its slow start goes on


def test_rows_of_a_replaced_incarnation_are_ignored():
    host_list = HostList(("x",), 100_000)
    states = [("1", 1e9, "ready"), ("2", 100, "ready"), ("1", 1e9, "gone"), ("2", 400, "ready")]
    rows = [
        {**row(0), "zone": "x", "incarnation": i, "age_ms": a, "state": s} for i, a, s in states
    ]
    listings = [host_list.read(200_000 + 1_000 * n, [one], True)[0] for n, one in enumerate(rows)]
    assert [s.ready for s in listings] == [True] * 4
    assert listings[1].started == listings[2].started == listings[3].started > listings[0].started
    host_list.read(250_000, [], True)
    (late,) = host_list.read(
        260_000, [rows[0]], True
    )  # of the first process, after the second left the list
    assert not late.ready and late.started == listings[1].started
    (quiet,) = host_list.read(300_000, [{**rows[1], "incarnation": ""}], True)
    assert quiet.started == listings[1].started  # a row without an incarnation starts no new one


def test_restarted_host_in_slow_start_is_not_judged_by_its_previous_process():
    full = replace(USUAL, queue_limit=26.0)
    reports = [
        (n, f"heard 0 {h} 20 {18 if h == 'a' and n > 4 else 0} 300")
        for n in range(1, 6)
        for h in "abcd"
    ]
    engine, _ = run_engine(*START, *reports, (5.2, "change a:0~5.1"), (5.3, "failed"), terms=full)
    record = engine.hosts[host("a")]
    assert not record.is_withdrawn and record.is_ready, (
        "the channel should have been too full to withdraw it"
    )
    assert not record.last_success_at and not record.successes_per_second and not record.in_flight
    assert not any(m.mass for m in record.failure_rates)


@pytest.mark.parametrize("seed", range(4))
def test_reordered_and_repeated_events_of_a_host_end_in_the_state_of_its_newest_process(seed):
    rng = random.Random(seed)
    words = [
        "change a:0~3!",
        "change a:0~3",
        "change a:0~8",
        "probe a ok 3",
        "heard 0 a 9 9 0",
        "heard 0 a 9 0 300",
    ]
    steps = [(10 + n / 10, word) for n, word in enumerate(rng.sample(words * 2, 12))]
    engine, recorder = run_engine(
        *START,
        (9.9, "change a:0~9"),
        *steps,
        (12, "change a:0~9!"),
        (12.5, "change a:0~8"),
        (13, "probe a ok 0"),
        (30, "failed"),
    )
    record = engine.hosts[host("a")]
    assert record.is_withdrawn and not record.is_ready and record.started_at == BOOT + 90_000
    assert not [
        order
        for order in recorder.orders
        if order.verb == "return" and order.arguments == ("a",) and order.at > BOOT + 120_000
    ]


# Confirmations.


def test_confirmations_requested_65536_ticks_apart_are_distinct():
    # The identifier was the time modulo 2**16: two requests 6.5536 s apart shared one, and the
    # confirmation of the older freed the budget of both.
    recorder, now = Recorder(), BOOT
    recorder.request_confirmation = lambda version: versions.append(version)
    versions = []
    engine = DecisionEngine(recorder, USUAL, random.Random(1), now)
    engine.on_host_list(now, [ListedHost(host(h), 0, True, 1.0, 0) for h in "abcd"], True, True)
    for proxy in (1, 2):
        engine.on_proxy_joined(now, proxy, 0, 10.0)
    engine.withdrawals.withdraw(now, engine.hosts[host("a")])
    engine.withdrawals.withdraw(now + 65_536, engine.hosts[host("b")])
    before = engine.channel.available_entries(now + 65_536, 1.0)
    engine.on_version_applied(now + 65_536, 1, versions[-2])
    freed = engine.channel.available_entries(now + 65_536, 1.0) - before
    assert versions[-1] != versions[-2] and freed <= 2 * (2 + USUAL.message_overhead)


def test_updates_that_are_never_confirmed_are_not_kept_forever():
    recorder = Recorder()
    recorder.request_confirmation = lambda version: None
    engine = DecisionEngine(recorder, USUAL, random.Random(1), BOOT)
    engine.on_host_list(BOOT, [ListedHost(host(h), 0, True, 1.0, 0) for h in "abcd"], True, True)
    engine.on_proxy_joined(BOOT, 1, 0, 10.0)
    for n in range(1, 2000):
        engine.withdrawals.withdraw(BOOT + n * 5_000, engine.hosts[host("abcd"[n % 4])])
        engine.channel.available_entries(BOOT + n * 5_000, 0.5)
    assert len(engine.budget.updates) <= 21


# False reports of one proxy.


HOST = bytes(6)


def merged_report(*reports, rates=()):
    """Merges one period's reports (proxy, attempts, failed, milliseconds, gauges) of a host."""
    aggregation = ReportAggregation(0, 10_000, 1_000.0)
    for proxy, rate in dict(rates).items():
        aggregation.on_proxy_joined(proxy, rate)
    for proxy, attempts, failed, latency_ms, gauges in reports:
        latency = (attempts - failed) * latency_ms * 10.0
        report = UpstreamReport(attempts, failed, latency, gauges)
        aggregation.add_upstream(5_000, 10_000, proxy, ZoneHost(0, HOST), report)
    (report,) = (
        report for _, report in aggregation.pop_due(10_000) if isinstance(report, ZoneReport)
    )
    return merge_reports(report.merge_periods().values())


HONEST = [(n, 10 + n, 1, 200 + 10 * n, {"rif": 4.0 + n}) for n in range(5)]


def test_consistent_reports_are_passed_on_unchanged():
    report = merged_report(*HONEST)
    assert (report.attempts, report.failed) == (60, 5)
    assert 210 < report.total_latency / 10 / 55 < 230 and report.gauges == {"rif": 6.0}
    assert merged_report(HONEST[0]).attempts == 10 and merged_report(HONEST[0]).gauges == {
        "rif": 4.0
    }  # a single report is not limited


def test_reports_of_the_dominant_proxy_count_beside_idle_proxies():
    # Limited by the reports of idle proxies, it could report neither failures nor high latency.
    idle = [(n, 1, 0, 50, {"rif": 0.0}) for n in (1, 2)]
    report = merged_report(
        (7, 100, 80, 900, {"rif": 30.0}), *idle, rates={7: 100.0, 1: 1.0, 2: 1.0}
    )
    assert (report.attempts, report.failed) == (102, 80) and report.total_latency / 10 / 22 > 800
    busier = merged_report((7, 400, 320, 900, {"rif": 30.0}), rates={7: 100.0, 1: 1.0})
    assert (busier.attempts, busier.failed) == (
        100,
        80,
    )  # limited to its stated volume
    alone = merged_report((7, 400, 320, 900, {"rif": 30.0}), rates={7: 100.0})
    assert (alone.attempts, alone.failed) == (400, 320)


@pytest.mark.parametrize(
    "false_report", [(9, 10_000_000, 10_000_000, 0, {}), (9, 500, 500, 0, {"rif": 1e8})]
)
def test_one_proxy_that_reports_only_failures_does_not_outweigh_the_others(false_report):
    report = merged_report(*HONEST, false_report)
    assert (
        report.attempts <= 120
        and report.failed / report.attempts < 0.3
        and report.gauges["rif"] <= 8.0
    )


@pytest.mark.parametrize(
    "false_report", [(9, 10_000_000, 0, 1, {"rif": 0.0}), (9, 1_000, 0, 60_000, {})]
)
def test_one_proxy_that_reports_only_successes_does_not_hide_a_failing_host(false_report):
    report = merged_report(
        *((p, tries, tries - 1, 300, {"rif": 50.0}) for p, tries, *_ in HONEST), false_report
    )
    assert (
        report.attempts <= 120
        and report.failed / report.attempts > 0.7
        and report.gauges["rif"] == 50.0
    )
    assert report.total_latency <= 3_000.0 * 1.01 * (report.attempts - report.failed)


def downstream_reports(*reports):
    aggregation = ReportAggregation(0, 10_000, 1_000.0)
    for proxy, requests, failed in reports:
        aggregation.add_downstream(proxy, 0, requests, failed)
    due = aggregation.pop_due(10_000)
    return {key.proxy: report for key, report in due if isinstance(key, ProxyClass)}


def test_one_proxy_does_not_outweigh_the_others_in_downstream_reports():
    lines = downstream_reports((1, 40, 0), (2, 60, 3), (3, 50, 1), (9, 10_000_000, 10_000_000))
    assert lines[9].requests == 150 and lines[9].failed <= 8
    assert [(lines[n].requests, lines[n].failed) for n in (1, 2, 3)] == [(40, 0), (60, 3), (50, 1)]
    assert downstream_reports((1, 40, 39))[1].failed == 39  # a single report is not limited


def test_false_reports_neither_withdraw_hosts_nor_keep_failing_ones():
    def run_reports(has_false_reports):
        stepped = Stepped(hosts=6, service={"proxies": 6})
        for n in range(6):
            stepped.peer(f"p{n}", standing=[name(0)])
        stepped.run(3)
        for second in range(25):
            for n, peer in enumerate(stepped.peers.values()):
                bad = n == 0 and has_false_reports
                met = [
                    (
                        name(h),
                        *(
                            (10**7, 10**7, 0)
                            if bad and h != 5
                            else (10**7, 0, 1)
                            if bad
                            else (10, 10 if h == 5 and second > 5 else 0, 200)
                        ),
                    )
                    for h in range(6)
                ]
                assert peer.sums(met, [(0, 10**7, 10**7)] if bad else [(0, 60, 3)]) == 204
            stepped.run(1, 0.1)
        return stepped.live.counts, stepped

    for has_false_reports in (False, True):
        counts, stepped = run_reports(has_false_reports)
        assert counts.get("withdrawals: failing", 0) >= 1, (has_false_reports, counts)
        assert set(stepped.live.publication.outs) <= {name(5)}, has_false_reports
        assert len(stepped.peers["p3"].holding.lines(0)) >= 5
        assert stepped.live.publication.admits.get(0, (1_000_000, 0))[0] == 1_000_000
