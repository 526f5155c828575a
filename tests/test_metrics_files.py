"""The overflow files of a spool, round-robin files and their plots, and collectd's JSON and types."""

import doctest
import importlib
import json
import math
import os
import time

import pytest
from click.testing import CliRunner
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.cli import main
from ironfall.metrics import collectd, plot
from ironfall.metrics.collectd import ValueList
from ironfall.metrics.collectd_text import decode_json, encode_json
from ironfall.metrics.links import GraphiteSender
from ironfall.metrics.overflow import Overflow
from ironfall.metrics.point import Malformed, Point
from ironfall.metrics.retention import archives, series_path
from ironfall.metrics.rounds import Rounds, series_of, window
from ironfall.metrics.spool import Spool
from ironfall.storage.disk import Folder
from ironfall.storage.segment_ring import SegmentRing
from tests.disks import Disk
from tests.rig import until
from tests.test_metrics_links import Receiver


def is_balanced(sender):
    totals = sender.books
    return totals["put"] + totals["found"] == totals["sent"] + totals["dropped"] + totals["held"]


def closed_port():
    receiver = Receiver()
    receiver.server.stop()
    return receiver.address


def test_points_that_exceed_memory_are_kept_in_files_and_sent_after_a_restart(tmp_path):
    address = closed_port()
    folder = Folder(tmp_path)
    sender = GraphiteSender(address, Spool(50), 1, Overflow(lambda: SegmentRing(folder, 1 << 20)))
    for n in range(1000):
        sender.put(Point("a", float(n), 1000.0 + 20 * n))
    until(lambda: not sender.overflow.queue)
    assert sender.books["filed"] == 950 and sender.books["dropped"] == 0 and is_balanced(sender)
    sender.stop()
    folder.close()
    receiver = Receiver()
    again = GraphiteSender(
        receiver.address, Spool(50), 1, Overflow(lambda: SegmentRing(Folder(tmp_path), 1 << 20))
    )
    assert again.books["found"] == 1000
    until(lambda: len(receiver.lines) == 1000)
    assert {p.value for p in receiver.lines} == {float(n) for n in range(1000)}
    until(lambda: again.books["held"] == 0)
    assert is_balanced(again) and again.books["sent"] == 1000
    again.stop()


def test_a_full_overflow_drops_and_counts_the_oldest_points(tmp_path):
    sender = GraphiteSender(
        closed_port(), Spool(10), 1, Overflow(lambda: SegmentRing(Folder(tmp_path), 8000))
    )
    for n in range(3000):
        sender.put(Point("a", float(n), 1000.0 + 20 * n))
        if n % 100 == 0:
            until(lambda: not sender.overflow.queue)
    until(lambda: not sender.overflow.queue)
    totals = sender.books
    assert is_balanced(sender) and totals["dropped"] > 2000 and totals["held"] > 50
    assert sum(f.stat().st_size for f in tmp_path.iterdir()) <= 8000 * 1.2
    sender.stop()


def test_with_a_failing_disk_points_are_dropped_and_counted_without_waiting():
    disk = Disk(full_from=1)
    sender = GraphiteSender(
        closed_port(), Spool(10), 1, Overflow(lambda: SegmentRing(disk, 1 << 20))
    )
    begun = time.monotonic()
    for n in range(30_000):
        sender.put(Point("a", float(n), 1000.0 + 20 * n))
    assert time.monotonic() - begun < 20
    until(lambda: sender.books["file_failures"] > 0)
    assert is_balanced(sender) and sender.books["dropped"] > 9_000
    sender.greenlet.kill()
    sender.overflow.greenlet.kill()


def test_a_disk_that_hangs_does_not_block_putting_points():
    released = Event()

    class StuckDisk(Disk):
        def append(self, name, data):
            while not released.is_set():
                time.sleep(0.01)  # blocks the ring's thread, like a disk that does not respond
            super().append(name, data)

    sender = GraphiteSender(
        closed_port(), Spool(10), 1, Overflow(lambda: SegmentRing(StuckDisk(), 1 << 20))
    )
    for n in range(200):
        sender.put(Point("a", float(n), 1000.0 + 20 * n))
    begun = time.monotonic()
    until(lambda: sender.overflow.counts["failures"] == 0 and sender.spool.counts["spilled"] == 190)
    assert time.monotonic() - begun < 5 and is_balanced(sender)
    released.set()
    until(lambda: not sender.overflow.queue)
    sender.stop()


# round-robin files


def test_older_points_are_kept_at_a_coarser_resolution_and_plotted(tmp_path):
    now = int(time.time()) // 10 * 10
    wall = [0.0]
    rounds = Rounds(tmp_path / "rounds", archives("1s:1min,10s:1h"), 10, lambda: wall[0])
    for n in range(301):
        wall[0] = now - 300 + n
        rounds.put(Point("ironfall.d1.turn_ms.p99", float(n % 10), wall[0]), "max")
        if n % 5 == 0:
            rounds.flush()
    rounds.put(Point("ironfall.d1.polls", 4.0, now - 5, (("zone", "hill"),)))
    rounds.put(Point("../../etc/x", 4.0, now))
    rounds.flush()
    assert rounds.counts["failed"] == 1 and rounds.counts["written"] == 302
    there = series_of(tmp_path / "rounds")
    assert list(there) == ["ironfall.d1.polls;zone=hill", "ironfall.d1.turn_ms.p99"]
    path = there["ironfall.d1.turn_ms.p99"]
    assert {v for _, v in window(path, now - 50, now)} == {float(n) for n in range(10)}
    old = window(path, now - 290, now)
    assert {b - a for (a, _), (b, _) in zip(old, old[1:], strict=False)} == {10.0}
    assert {v for _, v in old[:-1]} == {9.0}  # the maximum of ten points
    run = CliRunner().invoke(
        main, ["metrics", "plot", str(tmp_path / "rounds"), "ironfall.*.p99", "--last", "50s"]
    )
    assert run.exit_code == 0 and "most 9" in run.output and "┤" in run.output
    out = tmp_path / "p.png"
    run = CliRunner().invoke(
        main, ["metrics", "plot", str(tmp_path / "rounds"), "*", "--out", str(out)]
    )
    assert run.exit_code == 0 and out.read_bytes().startswith(b"\x89PNG")
    assert (
        CliRunner().invoke(main, ["metrics", "plot", str(tmp_path / "rounds"), "none"]).exit_code
        == 2
    )
    rounds.stop()


def test_series_over_the_limit_are_refused_and_a_corrupt_file_affects_no_other(tmp_path):
    rounds = Rounds(tmp_path, archives("1s:1min"), 5)
    for n in range(9):
        rounds.put(Point(f"s{n}", 1.0, time.time()))
    rounds.flush()
    assert rounds.counts["written"] == 5 and rounds.counts["refused"] == 4
    (tmp_path / "s0.wsp").write_bytes(os.urandom(20))
    for n in range(2):
        rounds.put(Point(f"s{n}", 1.0, time.time()))
    rounds.flush()
    assert rounds.counts["written"] == 6 and rounds.counts["failed"] == 1
    with pytest.raises(Malformed):
        window(tmp_path / "s0.wsp", 0, time.time())
    rounds.stop()


@pytest.mark.parametrize("series", ["", "a..b", "a/../b", "..", "a.b c", "x" * 10 + "/y"])
def test_a_series_path_can_not_leave_its_folder(tmp_path, series):
    with pytest.raises(Malformed):
        series_path(tmp_path, series)


@pytest.mark.parametrize("text", ["", "1s", "x:y", "2s:1h,7s:1d", "10s:1min,1s:1h"])
def test_invalid_retentions_are_refused(text):
    with pytest.raises(Malformed):
        archives(text)


# JSON and types

letters = st.characters(codec="utf-8", categories=("L", "N"))
texts = st.text(letters, min_size=1, max_size=9)
whole = st.integers(0, 2**53)
values = st.lists(
    st.one_of(
        st.tuples(st.just(collectd.GAUGE), st.floats(allow_infinity=False, width=32)),
        st.tuples(st.sampled_from([collectd.COUNTER, collectd.DERIVE, collectd.ABSOLUTE]), whole),
    ),
    min_size=1,
    max_size=4,
)
lists = st.builds(
    ValueList,
    texts,
    texts,
    texts,
    texts,
    texts,
    st.integers(1, 2**31).map(float),
    st.integers(1, 90).map(float),
    values,
)


def comparable(lists):
    # NaN does not equal itself, so it is compared as text.
    return [
        (
            x.host,
            x.plugin,
            x.plugin_instance,
            x.type,
            x.type_instance,
            x.at,
            x.interval,
            [(k, "nan" if math.isnan(v) else v) for k, v in x.values],
        )
        for x in lists
    ]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(lists, min_size=1, max_size=4))
def test_json_round_trips(sent):
    assert comparable(decode_json(encode_json(sent).encode())) == comparable(sent)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.one_of(
        st.binary(max_size=200),
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(st.sampled_from(["values", "dstypes", "time"]), inner, max_size=3)
            ),
            max_leaves=12,
        ).map(lambda v: json.dumps(v).encode()),
    )
)
def test_any_json_body_decodes_or_is_malformed(data):
    try:
        decode_json(data)
    except Malformed:
        pass


@pytest.mark.parametrize(
    "name", ["collectd_text", "types", "retention", "plot", "readings", "mapping"]
)
def test_examples(name):
    assert doctest.testmod(importlib.import_module(f"ironfall.metrics.{name}")).failed == 0


def test_a_window_without_points_says_so():
    assert "no points" in plot.text("a", [], 0.0, 1.0)
