"""Unit tests of parts of the director and the lab that do no I/O, and of the codecs."""

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.api import codec
from ironfall.api.registry import BadList
from ironfall.director.channel import Channel, Message
from ironfall.director.clock import Clock
from ironfall.director.host_list import HostList
from ironfall.director.report_aggregation import ReportAggregation, ZoneHost, ZoneReport
from ironfall.director.report_weighting import UpstreamReport
from ironfall.director.sessions import SessionLimitError, Sessions
from ironfall.generated import ironfall_pb2 as pb
from ironfall.lab.clients import draw
from ironfall.lab.day import BadDay, load, read_day
from ironfall.lab.hosts import Budget
from ironfall.publication import Delta
from ironfall.terms import read_terms
from tests.rig import TERMS


def test_clock_excludes_stalls_of_the_process():
    time = [100.0]
    clock = Clock(lambda: time[0])
    start = clock.now()
    time[0] += 0.5
    assert clock.now() == start + 5_000
    time[0] += 60
    assert clock.now() == start + 5_000 and clock.stalls == 1
    time[0] += 0.1
    assert clock.now() == start + 6_000


def test_channel_sends_messages_in_order_at_its_rate():
    channel = Channel(1_000)  # entries per second
    for n in range(5):
        channel.enqueue(0, Message(n, 1, 10, 0, -1, False))
    assert channel.backlog == 50 and channel.next_departure() == 100
    assert [m.proxy for m in channel.pop_due(250)] == [0, 1]
    channel.detach(3)
    assert [m.proxy for m in channel.pop_due(500)] == [2, -1, 4]
    assert channel.backlog == 0 and channel.max_backlog == 50
    channel.enqueue(10_000, Message(9, 2, 10, 10_000, -1, False))
    assert channel.next_departure() == 10_100  # idle time earns no credit


def test_channel_counts_messages_by_name_while_they_wait_and_for_a_window_after_they_left():
    channel = Channel(1_000, 5_000)
    for number, name in ((0, "a"), (1, "a"), (2, "b")):  # two sessions of one name
        channel.enqueue(0, Message(number, 1, 10, 0, -1, False, proxy_name=name))
    channel.detach(0)  # a detached message still counts as sent
    assert [channel.messages_in_window(0, name) for name in "abc"] == [2, 1, 0]
    channel.pop_due(100)
    channel.pop_due(300)
    assert [channel.messages_in_window(5_100, name) for name in "ab"] == [2, 1]
    assert [channel.messages_in_window(5_101, name) for name in "ab"] == [1, 1]
    assert [channel.messages_in_window(5_301, name) for name in "abc"] == [0, 0, 0]
    assert not channel.tracked_names() and not channel.logged_messages()


def test_channel_tracks_no_more_names_than_it_can_send_to_within_a_window():
    # Many names that are sent one message each must not evict the count of a name over the limit.
    channel, max_tracked = (
        Channel(1_000, 5_000),
        0,
    )  # 7 entries per message: 71 are sent in a window, 72 including both its ends
    for now in range(0, 100_000, 10):
        if channel.backlog < 70:
            channel.enqueue(
                now,
                Message(
                    now, now, 7, now, -1, False, proxy_name=f"n{now}" if now % 1_000 else "loops"
                ),
            )
        channel.pop_due(now)
        max_tracked = max(max_tracked, channel.tracked_names())
        assert (
            channel.messages_in_window(now, "loops") <= 5 + 1 + 1
        )  # one per second of the window, both ends, and the queued one
    assert 60 < max_tracked <= 72 + 10 and channel.logged_messages() <= 72


def test_report_aggregation_passes_on_each_attempt_once_within_its_rate():
    rng, now, due_counts, pending_attempts = random.Random(5), 0, [], 0
    aggregation = ReportAggregation(0, 10_000, 20.0)
    for _ in range(600):
        now += 1_000
        for _ in range(rng.randrange(5)):
            attempts = rng.randrange(1, 9)
            pending_attempts += attempts
            key = ZoneHost(rng.randrange(2), bytes([rng.randrange(30)]))
            report = UpstreamReport(attempts, 0, 5.0, {"q": 1.0})
            aggregation.add_upstream(now, 1_000, 7, key, report)
        due = aggregation.pop_due(now)
        due_counts.append(len(due))
        pending_attempts -= sum(r.attempts for _, r in due if isinstance(r, ZoneReport))
        assert len(aggregation.upstream) + len(aggregation.ready) <= 2 * 2 * 30
    for start in range(0, 590):
        assert sum(due_counts[start : start + 10]) <= 2 * 20 + 1
    remaining = [
        *aggregation.upstream.values(),
        *(m for m in aggregation.ready.values() if isinstance(m, ZoneReport)),
    ]
    assert pending_attempts == sum(m.attempts for m in remaining)


def test_downstream_reports_of_a_proxy_that_left_are_dropped():
    aggregation = ReportAggregation(0, 10, 1000)
    aggregation.add_downstream(4, 0, 10, 1)
    aggregation.pop_due(20)
    aggregation.add_downstream(4, 1, 10, 1)
    aggregation.on_proxy_left(4)
    assert not aggregation.downstream and not aggregation.ready


ROW = {
    "name": "a",
    "address": "127.0.0.1:1",
    "zone": "x",
    "state": "ready",
    "incarnation": "1",
    "age_ms": 100,
}


def test_host_list_reports_a_restart_once_and_does_not_mistake_a_late_age_for_one():
    host_list = HostList(("x",), 100_000)
    (first,) = host_list.read(50_000, [ROW], True)
    assert first.started == 49_000
    (again,) = host_list.read(60_000, [{**ROW, "age_ms": 900}], True)
    assert again.started == first.started
    (restarted,) = host_list.read(70_000, [{**ROW, "incarnation": "2", "age_ms": 5}], True)
    assert restarted.started > first.started and restarted.host == first.host


def test_hosts_that_swap_addresses_are_new_hosts_with_ids_of_their_own():
    host_list = HostList(("x", "y"), 100_000)
    other = {**ROW, "name": "b", "address": "127.0.0.1:2", "zone": "y"}
    before = host_list.read(0, [ROW, other], True)
    after = host_list.read(
        1, [{**ROW, "address": "127.0.0.1:2"}, {**other, "address": "127.0.0.1:1"}], True
    )
    assert len({listing.host for listing in [*before, *after]}) == 4
    assert [listing.zone for listing in after] == [0, 1]


@pytest.mark.parametrize(
    "row",
    [
        {},
        {**ROW, "zone": "z"},
        {**ROW, "state": "?"},
        {**ROW, "address": "nowhere"},
        {**ROW, "weight": "x"},
        7,
        None,
        {**ROW, "address": "127.0.0.1:99999"},
        {**ROW, "weight": -1},
        {**ROW, "name": "a@b"},
        {**ROW, "age_ms": -5},
    ],
)
def test_host_list_with_an_invalid_row_is_refused_as_a_whole(row):
    host_list = HostList(("x",), 100_000)
    with pytest.raises(BadList, match="host 1"):
        host_list.read(0, [ROW, row], True)
    assert not host_list.entries


def test_sessions_are_limited_and_reuse_numbers_last():
    sessions = Sessions(2, 1_000, 10)
    one, _two = (sessions.open(0, str(n), f"p{n}", 0, 0) for n in range(2))
    with pytest.raises(SessionLimitError):
        sessions.open(0, "x", "p9", 0, 0)
    sessions.close(one)
    assert sessions.open(0, "y", "p3", 0, 0).number == 2
    assert {s.name for s in sessions.expired(2_000)} == {"p1", "p3"}


def test_only_a_released_version_can_be_confirmed():
    sessions = Sessions(2, 1_000, 10)
    session = sessions.open(0, "a", "p", 0, 3)
    session.released = 5
    session.unconfirmed = [Message(0, v, 1, 0, v, False) for v in (4, 5)]
    assert sessions.confirm(session, 9) == [] and sessions.confirm(session, 2) == []
    assert [m.version for m in sessions.confirm(session, 4)] == [4]
    assert [m.version for m in sessions.confirm(session, 5)] == [5]
    assert sessions.confirm(session, 5) == []


def test_budget_of_a_cold_host_is_exceeded_by_a_burst_and_not_by_an_even_load():
    budget = Budget(0.0, 4, 0.25, 8.0, 3.0, 2.0, 0.0)
    assert not any(budget.add(0.01 * n, 0.01) for n in range(800))  # the load of one core
    burst = Budget(0.0, 4, 0.25, 8.0, 3.0, 2.0, 0.0)
    assert any(burst.add(0.001 * n, 0.1) for n in range(200))


CONTENT_TYPES = ["", codec.JSON, codec.PROTOBUF, "text/x"]
small = st.integers(0, 2**31 - 1)
deltas = st.builds(
    Delta,
    small,
    st.integers(-1, 2**31),
    small,
    st.integers(0, 2**64 - 1),
    st.dictionaries(st.integers(0, 9), st.integers(0, 65_534), max_size=4),
    st.lists(
        st.tuples(st.integers(0, 65_534), st.text(max_size=8), st.integers(0, 2**40)), max_size=30
    ),
    st.lists(st.tuples(st.text(max_size=8), st.booleans()), max_size=9),
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 10**6), st.integers(0, 3)), max_size=4),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(deltas)
def test_both_codecs_carry_the_same_state(delta):
    for accept, encodings in ((codec.PROTOBUF, ""), (codec.PROTOBUF, "zstd"), (codec.JSON, "")):
        body, headers = codec.encode(codec.pack_state(delta, [(1, 2, 3)]), accept, encodings)
        back = codec.decode(
            pb.State, body, headers["Content-Type"], headers.get("Content-Encoding", ""), 1 << 20
        )
        assert codec.unpack_state(back) == delta
        for _ in range(2):  # the second time from the cache
            body, headers = codec.encode_state(delta, [(1, 2, 3)], accept, encodings)
            again = codec.decode(
                pb.State,
                body,
                headers["Content-Type"],
                headers.get("Content-Encoding", ""),
                1 << 20,
            )
            assert again == back


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.binary(max_size=80), st.sampled_from(CONTENT_TYPES), st.sampled_from(["", "zstd", "gzip"])
)
def test_any_bytes_decode_to_a_message_or_raise_undecodable(body, content_type, encoding):
    try:
        codec.decode(pb.Sums, body, content_type, encoding, 1000)
    except codec.Undecodable as error:
        assert str(error)


def test_requests_drawn_for_a_day_depend_only_on_the_seed():
    day = load(TERMS.parent.parent / "days" / "small.day")
    terms = read_terms(str(TERMS), TERMS.read_text())
    assert draw(day, terms, 4) == draw(day, terms, 4) != draw(day, terms, 5)


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("at 3s crash h99 for 2s", "no host is called 'h99'"),
        ("at 3s crash h01", "expected for TIME"),
        ("at 3s melt h01", "unknown trouble 'melt'"),
        ("at x crash h01 for 2s", "expected a time"),
        ("hosts a two", "expected a number of hosts"),
        ("break 3", "unknown word 'break'"),
        ("at 1s break 300%", "expected a part"),
        ("demand 5 6", "'6' is left over"),
        (
            "at 1s restart o1\nat 2s kill o2 for 1s\nat 3s mute o1 for 1s\nat 4s restart k1",
            "no host is called 'k1'",
        ),
    ],
)
def test_error_in_a_day_file_names_the_line(line, message):
    text = "terms t\nhosts a 2\nproxies a 1\ndirector a\ndemand 5\nclass c share 100% work 50ms\n"
    with pytest.raises(BadDay) as caught:
        read_day("d", text + line)
    place = f"d:{7 + line.count(chr(10))}: "
    assert str(caught.value).startswith(place) and message in str(caught.value), json.dumps(
        str(caught.value)
    )
