"""The parts of the metrics without I/O: readings in any order, counters that wrap, full spools."""

import doctest
import importlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.metrics.mapping import pattern_error
from ironfall.metrics.point import Point
from ironfall.metrics.readings import VERDICTS, Readings
from ironfall.metrics.spool import Spool

NOW = 1_700_000_000.0


def new_readings():
    readings = Readings(late=30.0, ahead=2.0)
    readings.listed({"a": (b"a", 0.0), "b": (b"b", NOW - 5)})
    return readings


numbers = st.one_of(st.floats(), st.integers(-2, 9).map(float))
times = st.integers(-40, 5).map(lambda s: NOW + s)
reading = st.tuples(
    st.sampled_from(["a", "b", "gone"]), st.sampled_from(["q", "busy"]), numbers, times
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(reading, max_size=25), st.integers(0, 99))
def test_the_result_does_not_depend_on_the_order_of_readings(readings, seed):
    shuffled = list(readings)
    random.Random(seed).shuffle(shuffled)
    ends = []
    for order in (readings, shuffled, sorted(readings, key=lambda r: r[3])):
        state = new_readings()
        for name, gauge, value, at in order:
            assert state.take(NOW, name, gauge, value, at) in VERDICTS
        ends.append(sorted(state.take_new()))
        assert state.take_new() == []
        assert sum(state.counts.values()) == len(readings)
    assert ends[0] == ends[1] == ends[2]
    for host, at, _ in ends[0]:
        assert NOW - 30 <= at <= NOW + 2 and (host != b"b" or at >= NOW - 5)


def test_200_000_unknown_series_use_no_memory():
    state = new_readings()
    for n in range(200_000):
        state.take(NOW, f"x{n}", "q", 1.0, NOW)
    assert len(state.hosts) == 2 and state.counts["unknown host"] == 200_000


def test_a_restart_discards_readings_of_the_previous_process():
    state = new_readings()
    state.take(NOW, "a", "q", 7.0, NOW)
    state.listed({"a": (b"a", NOW + 1)})
    assert state.take_new() == [] and state.take(NOW + 2, "a", "q", 7.0, NOW) == "before its start"


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.one_of(st.tuples(st.integers(0, 6), st.integers(0, 60)), st.just("send")), max_size=120
    ),
    st.integers(1, 12),
)
def test_a_spool_counts_every_point_and_stays_within_its_limit(steps, most):
    spool, put = Spool(most), 0
    for step in steps:
        if step == "send":
            spool.sent(spool.take(3))
        else:
            spool.put(
                Point(f"s{step[0]}", 1.0, float(step[1])), ("last", "mean", "max")[step[0] % 3]
            )
            put += 1
        assert len(spool.waiting) <= most
        assert put == spool.counts["sent"] + spool.counts["dropped"] + spool.held


def test_a_full_spool_folds_seconds_into_tens_before_it_drops():
    spool = Spool(40)
    for second in range(100):
        spool.put(Point("gauge", float(second), float(second)), "mean")
        spool.put(Point("counter", float(second), float(second)), "last")
    assert spool.counts["dropped"] == 0 and spool.counts["folded"] > 0
    values = {(key[0], key[2]): it.value for key, it in spool.waiting.items()}
    assert values["counter", 10.0] == 19.0 and values["gauge", 10.0] == 14.5


@pytest.mark.parametrize(
    "pattern", ["", "a..b", "{host}.{host}", "a.b", "a b.{host}", "{node}.x", "{host}.a*"]
)
def test_an_invalid_pattern_is_refused(pattern):
    assert pattern_error(pattern)


@pytest.mark.parametrize("name", ["mapping", "readings", "graphite"])
def test_examples(name):
    assert doctest.testmod(importlib.import_module(f"ironfall.metrics.{name}")).failed == 0
