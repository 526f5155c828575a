"""Learned weights under reports with impossible latencies: the engine goes on, and no host's weight is spoilt."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost
from ironfall.decisions.records import LATENCY_MS, DecayedMean
from ironfall.decisions.time_units import SECOND, UPDATE_INTERVAL
from tests.play import BOOT, USUAL, Recorder

HOSTS = (b"host-0", b"host-1", b"host-2", b"host-3")
REPORT_INTERVAL = 2 * SECOND
ATTEMPTS = 60
# Latencies that a spoilt report may name: all are above 0 and below the resolution of a report.
TINY_LATENCIES_MS = (5e-324, 1e-300, 1e-15, 1e-9, 1e-3, 0.04)


class Fleet:
    """An engine, one proxy and four equally fast hosts, whose reports come every two seconds."""

    def __init__(self):
        self.now = BOOT
        settings = replace(USUAL, gauges=("q", LATENCY_MS))
        self.engine = DecisionEngine(Recorder(), settings, random.Random(1), BOOT)
        self.list_hosts()
        self.engine.on_proxy_joined(BOOT, 1, 0, 10.0)

    def list_hosts(self, restarted=()):
        entries = [
            ListedHost(host, 0, True, 1.0, self.now if host in restarted else 0) for host in HOSTS
        ]
        self.engine.on_host_list(self.now, entries, True, True)

    def pass_time(self, ticks):
        for _ in range(ticks // UPDATE_INTERVAL):
            self.now += UPDATE_INTERVAL
            self.engine.on_timer(self.now, 0)

    def report(self, latency_ms=31.5, host_latencies_ms=None):
        """Passes two seconds, then reports on each host; both latencies may be replaced by host."""
        self.pass_time(REPORT_INTERVAL)
        for host in HOSTS:
            gauges = {"q": 1.0, LATENCY_MS: (host_latencies_ms or {}).get(host, latency_ms)}
            self.engine.on_upstream_report(
                self.now, 0, host, ATTEMPTS, 0, 417, REPORT_INTERVAL, gauges
            )

    def weights(self):
        return [self.engine.hosts[host].weight for host in HOSTS]


@pytest.mark.parametrize("spoilt_ms", TINY_LATENCIES_MS)
@pytest.mark.parametrize("situation", ["new", "restarted", "long silent", "in service"])
def test_a_latency_close_to_0_neither_stops_the_engine_nor_moves_weights(situation, spoilt_ms):
    # Without earlier samples that count, the mean latency took the spoilt value or was rounded to 0; weights are
    # divided by it.
    fleet = Fleet()
    for _ in range(0 if situation == "new" else 5):
        fleet.report()
    if situation == "restarted":
        fleet.list_hosts(restarted=HOSTS[:1])
    if situation == "long silent":
        fleet.pass_time(1800 * SECOND)
    fleet.report(host_latencies_ms={HOSTS[0]: spoilt_ms})
    for _ in range(20):
        fleet.report()
    assert all(0.8 < weight < 1.25 for weight in fleet.weights())


@pytest.mark.parametrize("spoilt_ms", TINY_LATENCIES_MS)
def test_latencies_close_to_0_in_all_reports_leave_the_weights_to_the_proxies_latency(spoilt_ms):
    fleet = Fleet()
    for _ in range(20):
        fleet.report(latency_ms=spoilt_ms)
    assert fleet.weights() == [1.0] * len(HOSTS)
    assert fleet.engine.hosts[HOSTS[0]].latency.value == pytest.approx(417)


@given(
    st.lists(
        st.tuples(st.floats(5e-324, 1e10), st.floats(0, 1e7), st.sampled_from([1.0, 0.5, 1e-9, 0])),
        min_size=1,
        max_size=20,
    )
)
def test_a_decayed_mean_stays_among_the_samples_that_it_was_made_from(samples):
    # Rounding took it to 0 or below where a new sample was much smaller than a value without mass.
    mean, lowest, highest = DecayedMean(), 0.0, 0.0
    for value, mass, decay in samples:
        is_empty = mean.mass == 0
        mean.add(value, mass)
        if mass and is_empty:
            lowest = highest = value
        elif mass:
            lowest, highest = min(lowest, value), max(highest, value)
        assert lowest <= mean.value <= highest
        mean.mass *= decay
