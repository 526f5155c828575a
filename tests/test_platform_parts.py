"""The platform's modules without I/O: messages, reports, host list, outbox, drain metrics."""

import json
from types import SimpleNamespace

import pytest
from hypothesis import given
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
from ironfall.platform.report_queue import ReportQueue

PARSER = ReportParser(("lagos", "ibadan"), ("lookup", "order"), 150, ("q", "lat_ms"))
GOOD = b"upstream_stats locality=ibadan endpoint=s-1 total=12 errors=3 rtt=41.7 interval=1000.0 metrics=queue:7,util:1"


def fields_of(line):
    return parse_message(line).fields


@given(st.lists(st.integers(1, 9), max_size=80))
def test_lines_are_complete_however_their_bytes_are_split(cuts):
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
def test_bytes_that_cannot_become_a_message_are_rejected_before_the_line_ends(data):
    lines = LineSplitter()
    with pytest.raises(MalformedStreamError):
        for line in lines.feed(data):
            parse_message(line)


def test_a_report_is_converted_to_the_units_and_names_of_the_decision_engine():
    assert PARSER.parse_upstream_report(fields_of(GOOD)) == UpstreamReport(
        1, b"s-1", 12, 3, 417, 10_000, {"q": 7.0}
    )
    line = b"client_stats node=17 route=order total=19 errors=2 interval=1000.0"
    assert PARSER.parse_request_report(fields_of(line)) == RequestReport(17, 1, 19, 2)
    assert (
        PARSER.parse_upstream_report(
            fields_of(b"upstream_stats locality=lagos endpoint=s total=3 errors=3 interval=1")
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
def test_an_upstream_report_with_an_impossible_field_is_invalid(old, new):
    with pytest.raises(InvalidMessageError):
        PARSER.parse_upstream_report(fields_of(GOOD.replace(old, new)))


@pytest.mark.parametrize("bad", [b"node=150", b"node=-1", b"route=x", b"errors=20", b"interval=x"])
def test_a_request_report_with_an_impossible_field_is_invalid(bad):
    line = b"client_stats node=17 route=lookup total=19 errors=0 interval=1000.0"
    name = bad.partition(b"=")[0] + b"="
    line = b" ".join(bad if word.startswith(name) else word for word in line.split(b" "))
    with pytest.raises(InvalidMessageError):
        PARSER.parse_request_report(fields_of(line))


def test_queued_reports_are_added_up_and_taken_once():
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


def apply_rows(hosts, rows, is_complete=True, now=1_000_000, wall_clock_ms=9e6, revision=1):
    update = hosts.apply(
        now, wall_clock_ms, {"revision": revision, "complete": is_complete, "members": rows}
    )
    return update.is_complete, {e.host: e for e in update.hosts}


def test_the_start_time_of_a_host_is_converted_once():
    hosts = HostList(("lagos",))
    first = apply_rows(hosts, [row("a", up=8_999_000), row("b")])[1]
    assert first[b"a"].started == 1_000_000 - 10_000 and first[b"b"].started == 0
    again = apply_rows(
        hosts, [row("a", up=8_999_000), row("b")], now=1_000_300, wall_clock_ms=9e6 + 25
    )[1]
    assert again == first  # although the two clocks drifted a little
    assert (
        apply_rows(hosts, [row("a", up=9e9)], False)[1][b"a"].started == 1_000_000
    )  # never in the future
    late = apply_rows(hosts, [row("a", "leaving", up=8_999_000)], False)[1][b"a"]
    assert (
        late.ready and late.started == 1_000_000
    )  # an outdated row, which names a start before the newest one


def test_an_unreadable_entry_leaves_the_known_one():
    hosts = HostList(("lagos",))
    apply_rows(hosts, [row("a"), row("b")])
    is_complete, found = apply_rows(hosts, [row("a", size="x"), row("b", "leaving")])
    assert is_complete and found[b"a"].ready and not found[b"b"].ready
    is_complete, found = apply_rows(hosts, [{"id": 7}, row("c")])
    assert not is_complete and set(found) == {b"c"} and set(hosts.entries) == {b"a", b"b", b"c"}
    assert hosts.unreadable_count == 2
    with pytest.raises(HostListError):
        apply_rows(hosts, "none")


def test_a_host_that_has_left_is_removed():
    hosts = HostList(("lagos",))
    apply_rows(hosts, [row("a"), row("b"), row("c")])
    assert not apply_rows(hosts, [row("a", "left")], False)[1][b"a"].ready
    apply_rows(hosts, [row("b")])
    assert set(hosts.entries) == {b"b"}


def filled_outbox():
    outbox = OrderOutbox(("lookup", "order"))
    outbox.set_weight(0, b"a", 1.0)
    outbox.set_weight(0, b"b", 1.0)
    outbox.assign(7, 0, 0)
    outbox.assign(8, 0, 2)
    outbox.pending_version = 5
    return outbox


def decoded(orders):
    return [json.loads(order) for order in orders]


def test_a_call_holds_all_waiting_orders_in_order_and_the_confirmation_last():
    assert decoded(filled_outbox().next_call()) == [
        {"verb": "SET", "cluster": 0, "endpoint": "a", "w": 1.0},
        {"verb": "SET", "cluster": 0, "endpoint": "b", "w": 1.0},
        {"verb": "USE", "node": 7, "cluster": 0},
        {"verb": "USE", "node": 8, "cluster": 0, "routes": ["order"]},
        {"verb": "SYNC", "nonce_out": 1, "set": 0},
    ]


def test_an_order_that_the_relay_rejects_is_dropped_and_those_after_it_are_sent():
    outbox = filled_outbox()
    outbox.next_call()
    assert '"node":7' in outbox.complete(2)[1]
    assert [o.get("node") or o["verb"] for o in decoded(outbox.next_call())] == [8, "SYNC"]
    assert outbox.complete(2) is None and outbox.next_call() == []


def test_an_uncertain_call_is_repeated_with_the_newest_order_on_each_subject():
    outbox = filled_outbox()
    outbox.next_call()
    outbox.set_weight(0, b"a", 2.0)
    outbox.withdraw(b"a", True)
    outbox.withdraw(b"a", False)
    outbox.forget_proxy(7)
    outbox.requeue()
    orders = decoded(outbox.next_call())
    assert [o["verb"] for o in orders] == ["SET", "SET", "USE", "IN", "SYNC"]
    assert (
        orders[0]["w"] == 2.0
        and orders[2]["node"] == 8
        and outbox.versions == {orders[-1]["nonce_out"]: 5}
    )


def test_versions_that_wait_for_one_call_share_the_first_of_them():
    # If the call confirmed the last version, the first proxy's confirmation would also count for messages to other
    # proxies that are still in the channel.
    outbox = filled_outbox()
    outbox.next_call()
    outbox.set_weight(1, b"a", 1.0)
    outbox.request_confirmation(6)
    outbox.requeue()
    assert outbox.versions[decoded(outbox.next_call())[-1]["nonce_out"]] == 5
    outbox.set_weight(1, b"a", 2.0)
    outbox.request_confirmation(7)
    outbox.set_weight(1, b"b", 2.0)
    outbox.request_confirmation(8)
    outbox.complete(99)
    assert outbox.versions[decoded(outbox.next_call())[-1]["nonce_out"]] == 7


def test_a_repeated_call_has_a_nonce_of_its_own():
    # With the same nonce, a late confirmation of the first call would confirm the newer orders of the second.
    outbox = filled_outbox()
    first = decoded(outbox.next_call())[-1]["nonce_out"]
    outbox.requeue()
    outbox.set_weight(1, b"a", 2.0)
    second = decoded(outbox.next_call())[-1]["nonce_out"]
    assert first != second and outbox.versions == {second: 5}


def test_nonces_wrap_around_and_few_are_awaited():
    outbox = OrderOutbox(("lookup",))
    for n in range(NONCE_COUNT + 5):
        outbox.set_weight(0, b"a", n + 1.0)
        outbox.request_confirmation(n % 100)
        assert 0 <= decoded(outbox.next_call())[-1]["nonce_out"] < NONCE_COUNT
        outbox.complete(2)
    assert len(outbox.versions) == MAX_AWAITED_NONCES and outbox.last_nonce == 5


def test_orders_too_long_for_one_call_are_split_with_entries_before_assignments():
    outbox = OrderOutbox(("lookup",))
    for n in range(1200):
        outbox.set_weight(0, b"s-%08x" % n, 1.0)
    outbox.assign(1, 0, 0)
    outbox.pending_version = 9
    calls = []
    while orders := outbox.next_call():
        assert len(",".join(orders)) <= MAX_CALL_BYTES
        calls.append(decoded(orders))
        outbox.complete(len(orders))
    # The first call has a nonce too, which proves that it was executed, but it confirms no version.
    assert len(calls) == 2 and all(o["verb"] == "SET" for o in calls[0][:-1])
    assert calls[0][-1]["verb"] == "SYNC" and list(outbox.versions) == [calls[1][-1]["nonce_out"]]
    assert [o["verb"] for o in calls[1]][-2:] == ["USE", "SYNC"]


def test_a_drain_is_confirmed_by_the_last_proxy_that_may_pick_the_host():
    confirmed_drains, budget = [], ChannelBudget(7.0, 100_000, 100_000, lambda version: None)
    drains = DrainMetrics(lambda host, ticks: confirmed_drains.append((host, ticks)))
    host = SimpleNamespace(id=b"s-1", is_ready=True, is_withdrawn=False, withdrawn_at=0, shard=0)
    proxies = {
        n: SimpleNamespace(shard=n // 3) for n in range(4)
    }  # proxy 3 is in another shard, whose tables never name the host
    decisions = SimpleNamespace(hosts={b"s-1": host}, proxies=proxies, budget=budget)
    for proxy in proxies:
        budget.add_proxy(proxy)
        drains.on_proxy_joined(0, proxy)
        if proxy != 2:
            budget.charge(1, (proxy,))
            drains.on_proxy_assigned(1, proxy)
    for proxy in (0, 1, 3):
        budget.confirm(proxy, 1)
    drains.on_batch(5, decisions, False, [0, 1, 3])
    host.is_ready, host.is_withdrawn, host.withdrawn_at = False, True, 10
    # The other proxies get no order for the withdrawal, so their tables did not have the host.
    budget.charge(10, (0,))
    drains.on_batch(10, decisions, True, ())
    budget.confirm(0, 2)
    drains.on_batch(20, decisions, False, [0])
    assert (
        not confirmed_drains and drains.summary(20)["drains_open"] == 1
    )  # proxy 2 still uses the table with which it joined
    budget.charge(30, (2,))
    drains.on_proxy_assigned(30, 2)
    drains.on_batch(30, decisions, False, ())
    assert not confirmed_drains
    budget.confirm(2, 3)
    drains.on_batch(45, decisions, False, [2])
    assert (
        confirmed_drains == [(b"s-1", 35)]
        and drains.summary(50)["joiner_ms"] == 4
        and not drains.unassigned
    )


def test_no_drain_waits_for_a_proxy_that_has_detached():
    confirmed_drains, budget = [], ChannelBudget(7.0, 100_000, 100_000, lambda version: None)
    drains = DrainMetrics(lambda host, ticks: confirmed_drains.append((host, ticks)))
    host = SimpleNamespace(id=b"s-1", is_ready=False, is_withdrawn=False, withdrawn_at=0, shard=0)
    decisions = SimpleNamespace(
        hosts={b"s-1": host}, proxies={1: SimpleNamespace(shard=0)}, budget=budget
    )
    drains.on_proxy_joined(0, 1)
    drains.on_batch(5, decisions, True, ())
    del decisions.proxies[1]
    drains.on_proxy_left(1)
    drains.on_batch(9, decisions, False, ())
    assert confirmed_drains == [(b"s-1", 4)] and not drains.pending
