"""The platform's pure parts: lines, reports, the list, orders that wait, and who is joined."""

import json
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.decisions.channel_budget import ChannelBudget
from ironfall.platform.drain_metrics import DrainMetrics
from ironfall.platform.host_list import HostList, HostListError
from ironfall.platform.message_parser import (
    InvalidMessageError,
    LineSplitter,
    MalformedStreamError,
    ReportParser,
    RequestReport,
    UpstreamReport,
    parse_message,
)
from ironfall.platform.order_outbox import (
    MAX_AWAITED_NONCES,
    MAX_CALL_BYTES,
    NONCE_COUNT,
    OrderOutbox,
)
from ironfall.platform.proxy_streams import ProxyState, ProxyStreams
from ironfall.platform.report_queue import ReportQueue

PARSER = ReportParser(("lagos", "ibadan"), ("lookup", "order"), 150, ("q", "lat_ms"))
GOOD = b"upstream_stats locality=ibadan endpoint=s-1 total=12 errors=3 rtt=41.7 interval=1000.0 metrics=queue:7,util:1"


def told(line):
    return parse_message(line).fields


@given(st.lists(st.integers(1, 9), max_size=80))
def test_lines_come_whole_however_their_bytes_come(cuts):
    lines, data, found, at = LineSplitter(), b"hb\r\n" + GOOD + b"\r\nhb\n", [], 0
    for cut in [*cuts, len(data)]:
        found += lines.feed(data[at : at + cut])
        at += cut
    assert found == [b"hb", GOOD, b"hb"]


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01",
        b"GET / HTTP/1.1\r\n",
        b"{",
        b"hb" + b" x" * 5000,
        b"upstream_stats \xff",
        b"upstream_statsx",
        b"SET ",
    ],
)
def test_what_can_become_no_message_is_found_out_before_it_ends(data):
    lines = LineSplitter()
    with pytest.raises(MalformedStreamError):
        for line in lines.feed(data):
            parse_message(line)


def test_a_report_becomes_figures_in_the_decisions_units_and_names():
    assert PARSER.upstream_report(told(GOOD)) == UpstreamReport(
        1, b"s-1", 12, 3, 417, 10_000, {"q": 7.0}
    )
    line = b"client_stats node=17 route=order total=19 errors=2 interval=1000.0"
    assert PARSER.request_report(told(line)) == RequestReport(17, 1, 19, 2)
    assert (
        PARSER.upstream_report(
            told(b"upstream_stats locality=lagos endpoint=s total=3 errors=3 interval=1")
        ).mean_latency
        == 0
    )


@pytest.mark.parametrize(
    "old, new",
    [
        (b"total=12", b"total=-1"),
        (b"total=12", b"total=1e2"),
        (b"total=12", b"total=99999999999"),
        (b"total=12 ", b""),
        (b"errors=3", b"errors=13"),
        (b"rtt=41.7 ", b""),
        (b"rtt=41.7", b"rtt=nan"),
        (b"rtt=41.7", b"rtt=inf"),
        (b"rtt=41.7", b"rtt=-1"),
        (b"interval=1000.0", b"interval=0"),
        (b"ibadan", b"accra"),
        (b"queue:7", b"queue:x"),
        (b"queue:7", b"queue"),
        (b"endpoint=s-1", b"endpoint="),
        (b"errors=3", b"errors=3 errors=3"),
        (b"errors=3", b"errors"),
    ],
)
def test_a_spoilt_report_is_passed_over(old, new):
    with pytest.raises(InvalidMessageError):
        PARSER.upstream_report(told(GOOD.replace(old, new)))


@pytest.mark.parametrize("bad", [b"node=150", b"node=-1", b"route=x", b"errors=20", b"interval=x"])
def test_a_spoilt_count_is_passed_over(bad):
    line = b"client_stats node=17 route=lookup total=19 errors=0 interval=1000.0"
    name = bad.partition(b"=")[0] + b"="
    line = b" ".join(bad if word.startswith(name) else word for word in line.split(b" "))
    with pytest.raises(InvalidMessageError):
        PARSER.request_report(told(line))


def test_what_waits_for_a_turn_adds_up_and_is_handed_on_once():
    reports = ReportQueue()
    reports.add_upstream(UpstreamReport(0, b"a", 4, 0, 100, 10, {"q": 1.0}))
    reports.add_upstream(UpstreamReport(0, b"a", 4, 2, 400, 10, {"q": 2.0}))
    reports.add_requests(RequestReport(3, 1, 5, 1))
    reports.add_requests(RequestReport(3, 1, 5, 0))
    reports.add_requests(RequestReport(4, 1, 5, 0))
    reports.forget_proxy(4)
    assert reports.calls(0) == [
        ["heard", 0, b"a", 8, 2, 200, 20, {"q": 2.0}],
        ["arrived", 3, 1, 10, 1],
    ]
    assert reports.calls(0) == []


def row(name, phase="active", up=0, zone="lagos", size=1.0):
    return {"id": name, "locality": zone, "phase": phase, "up_since_ms": up, "size": size}


def read(hosts, rows, whole=True, now=1_000_000, clock=9e6, version=1):
    update = hosts.apply(now, clock, {"revision": version, "complete": whole, "members": rows})
    return update.is_complete, {e.host: e for e in update.hosts}


def test_a_hosts_start_is_worked_out_once():
    hosts = HostList(("lagos",))
    first = read(hosts, [row("a", up=8_999_000), row("b")])[1]
    assert first[b"a"].started == 1_000_000 - 10_000 and first[b"b"].started == 0
    again = read(hosts, [row("a", up=8_999_000), row("b")], now=1_000_300, clock=9e6 + 25)[1]
    assert again == first  # though the clocks went apart a little
    assert (
        read(hosts, [row("a", up=9e9)], False)[1][b"a"].started == 1_000_000
    )  # never in the future
    late = read(hosts, [row("a", "leaving", up=8_999_000)], False)[1][b"a"]
    assert (
        late.ready and late.started == 1_000_000
    )  # told late, of a start that another has followed


def test_an_entry_that_cannot_be_read_leaves_what_is_held():
    hosts = HostList(("lagos",))
    read(hosts, [row("a"), row("b")])
    whole, found = read(hosts, [row("a", size="x"), row("b", "leaving")])
    assert whole and found[b"a"].ready and not found[b"b"].ready
    whole, found = read(hosts, [{"id": 7}, row("c")])
    assert not whole and set(found) == {b"c"} and set(hosts.entries) == {b"a", b"b", b"c"}
    assert hosts.unreadable_count == 2
    with pytest.raises(HostListError):
        read(hosts, "none")


def test_a_host_that_has_left_is_kept_nowhere():
    hosts = HostList(("lagos",))
    read(hosts, [row("a"), row("b"), row("c")])
    assert not read(hosts, [row("a", "left")], False)[1][b"a"].ready
    read(hosts, [row("b")])
    assert set(hosts.entries) == {b"b"}


def outbox():
    it = OrderOutbox(("lookup", "order"))
    it.set_weight(0, b"a", 1.0)
    it.set_weight(0, b"b", 1.0)
    it.assign(7, 0, 0)
    it.assign(8, 0, 2)
    it.pending_version = 5
    return it


def said(orders):
    return [json.loads(order) for order in orders]


def test_a_call_says_all_that_waits_in_order_and_its_mark_last():
    assert said(outbox().next_call()) == [
        {"verb": "SET", "cluster": 0, "endpoint": "a", "w": 1.0},
        {"verb": "SET", "cluster": 0, "endpoint": "b", "w": 1.0},
        {"verb": "USE", "node": 7, "cluster": 0},
        {"verb": "USE", "node": 8, "cluster": 0, "routes": ["order"]},
        {"verb": "SYNC", "nonce_out": 1, "set": 0},
    ]


def test_an_order_that_the_relay_stops_at_is_dropped_and_what_follows_goes():
    it = outbox()
    it.next_call()
    assert '"node":7' in it.complete(2)[1]
    assert [o.get("node") or o["verb"] for o in said(it.next_call())] == [8, "SYNC"]
    assert it.complete(2) is None and it.next_call() == []


def test_what_may_not_have_been_done_goes_again_with_the_newest_word_of_each():
    it = outbox()
    it.next_call()
    it.set_weight(0, b"a", 2.0)
    it.withdraw(b"a", True)
    it.withdraw(b"a", False)
    it.forget_proxy(7)
    it.requeue()
    orders = said(it.next_call())
    assert [o["verb"] for o in orders] == ["SET", "SET", "USE", "IN", "SYNC"]
    assert (
        orders[0]["w"] == 2.0
        and orders[2]["node"] == 8
        and it.versions == {orders[-1]["nonce_out"]: 5}
    )


def test_turns_that_wait_for_one_call_share_its_first_mark():
    # By the last, the first confirmation freed what the others had written to proxies that had not confirmed.
    it = outbox()
    it.next_call()
    it.set_weight(1, b"a", 1.0)
    it.request_confirmation(6)
    it.requeue()
    assert it.versions[said(it.next_call())[-1]["nonce_out"]] == 5
    it.set_weight(1, b"a", 2.0)
    it.request_confirmation(7)
    it.set_weight(1, b"b", 2.0)
    it.request_confirmation(8)
    it.complete(99)
    assert it.versions[said(it.next_call())[-1]["nonce_out"]] == 7


def test_the_same_orders_said_again_are_confirmed_under_a_number_of_their_own():
    # By one and the same, the late confirmation of the first spoke for the second, and for what was newer in it.
    it = outbox()
    first = said(it.next_call())[-1]["nonce_out"]
    it.requeue()
    it.set_weight(1, b"a", 2.0)
    second = said(it.next_call())[-1]["nonce_out"]
    assert first != second and it.versions == {second: 5}


def test_numbers_of_calls_are_used_again_and_few_are_kept():
    it = OrderOutbox(("lookup",))
    for n in range(NONCE_COUNT + 5):
        it.set_weight(0, b"a", n + 1.0)
        it.request_confirmation(n % 100)
        assert 0 <= said(it.next_call())[-1]["nonce_out"] < NONCE_COUNT
        it.complete(2)
    assert len(it.versions) == MAX_AWAITED_NONCES and it.last_nonce == 5


def test_what_is_too_long_for_a_call_goes_in_several_with_lines_before_their_bindings():
    it = OrderOutbox(("lookup",))
    for n in range(1200):
        it.set_weight(0, b"s-%08x" % n, 1.0)
    it.assign(1, 0, 0)
    it.pending_version = 9
    calls = []
    while orders := it.next_call():
        assert len(",".join(orders)) <= MAX_CALL_BYTES
        calls.append(said(orders))
        it.complete(len(orders))
    # The first has a number too, by which it is known to be carried out, but it speaks for no turn.
    assert len(calls) == 2 and all(o["verb"] == "SET" for o in calls[0][:-1])
    assert calls[0][-1]["verb"] == "SYNC" and list(it.versions) == [calls[1][-1]["nonce_out"]]
    assert [o["verb"] for o in calls[1]][-2:] == ["USE", "SYNC"]


class Told:
    """What a `ProxyStreams` makes of its feeds."""

    def __init__(self):
        self.said, self.at = [], 0
        self.streams = ProxyStreams(self, lambda: self.at)

    def on_proxy_joined(self, proxy, zone, rate):
        self.said.append(("joined", proxy))

    def on_proxy_left(self, proxy):
        self.said.append(("left", proxy))

    def on_proxy_desynchronized(self, proxy):
        self.said.append(("strayed", proxy))

    def on_nonce_confirmed(self, proxy, mark):
        self.said.append(("applied", proxy, mark))

    def feed(self, *standing, cold=False):
        feed = self.streams.open_feed()
        for proxy in standing:
            self.streams.on_attach(feed, proxy, ProxyState(0, 1.0, cold))
        self.streams.end_snapshot(feed)
        return feed

    def taken(self):
        said, self.said = self.said, []
        return said


def test_two_feeds_tell_everything_once():
    told = Told()
    first, second = told.feed(1, 2), told.feed(1, 2)
    streams = told.streams
    streams.on_detach(first, 1)
    streams.on_attach(first, 1, ProxyState(0, 1.0, False))
    streams.on_detach(second, 1)
    streams.on_detach(first, 1)
    streams.on_attach(second, 1, ProxyState(0, 1.0, False))
    streams.on_detach(second, 1)
    streams.on_confirmation(second, 2, 5)
    streams.on_confirmation(first, 2, 5)
    assert told.taken() == [
        ("joined", 1),
        ("joined", 2),
        ("left", 1),
        ("joined", 1),
        ("left", 1),
        ("applied", 2, 5),
    ]


def test_who_stands_stays_as_it_was_while_one_feed_goes_on():
    told = Told()
    first, second = told.feed(1, 2), told.feed(1, 2)
    told.streams.assigned |= {1, 2}
    told.streams.close_feed(first)
    told.taken()
    told.feed(1, 2, cold=True)
    assert told.taken() == [] and told.streams.gap_count == 0
    told.at += 20_000  # the second is silent: it may have told nothing for all that time
    third = told.feed(1, 2)
    assert told.taken() == [("strayed", 1), ("strayed", 2)]
    told.streams.close_feed(second)
    told.streams.close_feed(third)


def test_after_a_break_of_all_feeds_each_is_taken_for_what_it_may_be():
    told = Told()
    feed = told.feed(1, 2, 3, 4)
    told.streams.assigned |= {1, 2, 3}
    told.streams.close_feed(feed)
    told.taken()
    feed = told.streams.open_feed()
    for proxy, cold in ((1, True), (2, False), (4, False), (5, True)):
        told.streams.on_attach(feed, proxy, ProxyState(0, 1.0, cold))
    assert told.taken() == [("left", 1), ("joined", 1), ("strayed", 2), ("joined", 5)]
    told.streams.end_snapshot(feed)
    assert told.taken() == [("left", 3)] and told.streams.gap_count == 1


def test_a_feed_may_be_any_time_behind_the_other_and_any_number_of_words():
    # Told by time and by a few last words, a word that came later was news again: it took a standing proxy out.
    told = Told()
    first, second = told.feed(1), told.feed(1)
    told.taken()
    for _ in range(50):
        told.streams.on_detach(first, 1)
        told.streams.on_attach(first, 1, ProxyState(0, 1.0, False))
    assert len(told.taken()) == 100 and told.streams.attached == {1}
    told.at += 10 * 20_000
    for _ in range(50):
        told.streams.on_detach(second, 1)
        told.streams.on_attach(second, 1, ProxyState(0, 1.0, False))
    assert told.taken() == [] and told.streams.attached == {1}
    told.streams.on_detach(second, 1)
    assert told.taken() == [("left", 1)]


def test_what_stood_when_a_feed_was_asked_and_has_left_by_the_others_word_is_not_joined_anew():
    told = Told()
    first = told.feed(1)
    second = told.streams.open_feed()
    told.streams.on_detach(first, 1)
    told.taken()
    told.streams.on_attach(
        second, 1, ProxyState(0, 1.0, False)
    )  # what stood when it was asked, a moment before
    told.streams.end_snapshot(second)
    told.streams.on_detach(second, 1)
    assert told.taken() == []
    told.streams.on_attach(first, 1, ProxyState(0, 1.0, True))
    told.streams.on_attach(second, 1, ProxyState(0, 1.0, True))
    assert told.taken() == [("joined", 1)]


def test_who_joins_anew_without_a_word_of_leaving_is_joined_anew_once():
    told = Told()
    first, second = told.feed(1), told.feed(1)
    told.taken()
    told.streams.on_attach(first, 1, ProxyState(0, 1.0, True))
    told.streams.on_attach(second, 1, ProxyState(0, 1.0, True))
    assert told.taken() == [("left", 1), ("joined", 1)]


@settings(max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 3), max_size=60), st.data())
def test_whatever_the_pace_and_the_breaks_of_two_feeds_they_agree_on_who_is_joined(moves, data):
    # One truth, told by both feeds in its order, each at its own pace; one or the other breaks and begins anew with
    # what stands by then. As long as none breaks, nothing is told twice.
    told, truth, joined, breaks = Told(), [], set(), 0
    for proxy in moves:
        truth.append((proxy, proxy not in joined))
        joined ^= {proxy}
    feeds = [[told.feed(), 0], [told.feed(), 0]]
    while any(at < len(truth) for _, at in feeds):
        told.at += data.draw(st.sampled_from([0, 0, 30_000]))
        pair = data.draw(st.sampled_from([p for p in feeds if p[1] < len(truth)]))
        if data.draw(st.integers(0, 15)) == 0:
            breaks += 1
            told.streams.close_feed(pair[0])
            newest = max(at for _, at in feeds)
            pair[1] = data.draw(st.integers(newest, len(truth)))
            stands = set()
            for proxy, _ in truth[: pair[1]]:
                stands ^= {proxy}
            pair[0] = told.feed(*sorted(stands))
            continue
        proxy, attached = truth[pair[1]]
        pair[1] += 1
        if attached:
            told.streams.on_attach(pair[0], proxy, ProxyState(0, 1.0, False))
        else:
            told.streams.on_detach(pair[0], proxy)
    assert told.streams.attached == joined
    if not breaks:
        assert len(told.said) == len(truth)


def test_a_drain_is_heard_when_the_last_proxy_that_may_pick_the_host_has_confirmed_it():
    heard, budget = [], ChannelBudget(7.0, 100_000, 100_000, lambda version: None)
    drains = DrainMetrics(lambda host, took: heard.append((host, took)))
    host = SimpleNamespace(id=b"s-1", is_ready=True, is_withdrawn=False, withdrawn_at=0, shard=0)
    joined = {
        n: SimpleNamespace(shard=n // 3) for n in range(4)
    }  # 3 is of another part, whose tables never name it
    director = SimpleNamespace(hosts={b"s-1": host}, proxies=joined, budget=budget)
    for proxy in joined:
        budget.add_proxy(proxy)
        drains.on_proxy_joined(0, proxy)
        if proxy != 2:
            budget.charge(1, (proxy,))
            drains.on_proxy_assigned(1, proxy)
    for proxy in (0, 1, 3):
        budget.confirm(proxy, 1)
    drains.on_batch(5, director, False, [0, 1, 3])
    host.is_ready, host.is_withdrawn, host.withdrawn_at = False, True, 10
    budget.charge(10, (0,))  # who was not written to for it had a table without it
    drains.on_batch(10, director, True, ())
    budget.confirm(0, 2)
    drains.on_batch(20, director, False, [0])
    assert not heard and drains.summary(20)["drains_open"] == 1  # 2 goes on by what it came with
    budget.charge(30, (2,))
    drains.on_proxy_assigned(30, 2)
    drains.on_batch(30, director, False, ())
    assert not heard
    budget.confirm(2, 3)
    drains.on_batch(45, director, False, [2])
    assert (
        heard == [(b"s-1", 35)] and drains.summary(50)["joiner_ms"] == 4 and not drains.unassigned
    )


def test_who_leaves_is_waited_for_by_no_drain():
    heard, budget = [], ChannelBudget(7.0, 100_000, 100_000, lambda version: None)
    drains = DrainMetrics(lambda host, took: heard.append((host, took)))
    host = SimpleNamespace(id=b"s-1", is_ready=False, is_withdrawn=False, withdrawn_at=0, shard=0)
    director = SimpleNamespace(
        hosts={b"s-1": host}, proxies={1: SimpleNamespace(shard=0)}, budget=budget
    )
    drains.on_proxy_joined(0, 1)
    drains.on_batch(5, director, True, ())
    del director.proxies[1]
    drains.on_proxy_left(1)
    drains.on_batch(9, director, False, ())
    assert heard == [(b"s-1", 4)] and not drains.pending
