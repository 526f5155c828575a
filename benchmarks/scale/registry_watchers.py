"""The stand-in for the registry by watchers, with 34 hosts: processor time, bytes and time of one change to all."""

import statistics
import time

import gevent

from benchmarks.scale._listing import Served, Watcher
from benchmarks.scale._machine import Spans, yardstick_on
from tests.rig import until

SIZES = (60, 150, 380, 960)
BY = "watchers"
FIGURES = {
    "rss_mb": "MB",
    "change_cpu_ms": "ms",
    "change_ms": "ms",
    "change_bytes": "B",
    "rows": "rows",
    "yardstick_ms": "ms",
}
COUNTED = frozenset({"rows"})
LEFT_OUT = "A registry in service: it is the laboratory's stand-in, for 1,000 connections; watchers keep nothing."
PROCESSES = 1
HOSTS, CHANGES, SETTLE = 34, 10, 0.3


def MEMORY_MB(size):
    return 150 + size * 0.2


def play(size, chance):
    with Served(HOSTS) as served:
        watchers = [Watcher(served.address, f"w{n}") for n in range(size)]
        running = [gevent.spawn(watcher.run) for watcher in watchers]
        until(lambda: all(watcher.seen > 0 for watcher in watchers), 30)
        gevent.sleep(SETTLE)
        spans, times, sizes, rows = Spans(lambda: yardstick_on(served.core)), [], [], []

        def change():
            host, before, cpu = chance.randrange(HOSTS), watchers[0].seen, served.cpu_ms()
            begun = time.monotonic()
            served.change(host, "draining" if len(times) % 2 == 0 else "ready")
            until(lambda: all(watcher.seen > before for watcher in watchers))
            times.append(1000 * (max(watcher.at for watcher in watchers) - begun))
            sizes.append(sum(watcher.size for watcher in watchers))
            rows.append(sum(watcher.rows for watcher in watchers))
            gevent.sleep(SETTLE)
            return {"change_cpu_ms": served.cpu_ms() - cpu}

        for _ in range(CHANGES):
            spans.take(change)
        rss = served.rss_mb()
        gevent.killall(running)
    return {
        **spans.middle(),
        "rss_mb": rss,
        "change_ms": statistics.median(times),
        "change_bytes": statistics.median(sizes),
        "rows": max(rows),
    }
