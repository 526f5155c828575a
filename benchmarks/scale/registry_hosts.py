"""The stand-in for the registry by hosts: the whole list to one watcher, and one change of it."""

import statistics
import time

import gevent

from benchmarks.scale._listing import Served, Watcher
from benchmarks.scale._machine import Spans, yardstick_on

SIZES = (1_000, 2_500, 6_400, 16_000)
BY = "hosts"
FIGURES = {
    "rss_mb": "MB",
    "whole_cpu_ms": "ms",
    "whole_ms": "ms",
    "whole_bytes": "B",
    "change_bytes": "B",
    "change_rows": "rows",
    "yardstick_ms": "ms",
}
COUNTED = frozenset({"change_rows"})
LEFT_OUT = "A registry in service: it is the laboratory's stand-in, with one watcher, which reads the JSON."
PROCESSES = 1
TIMES, SETTLE = 7, 0.1


def MEMORY_MB(size):
    return 150 + size * 0.01


def play(size, chance):
    with Served(size) as served:
        spans, times = Spans(lambda: yardstick_on(served.core)), []

        def whole():
            watcher, cpu, begun = Watcher(served.address, "w"), served.cpu_ms(), time.monotonic()
            watcher.ask(0)
            times.append(1000 * (watcher.at - begun))
            if watcher.rows != size:
                raise RuntimeError(f"{watcher.rows} of {size} hosts were told")
            found = {"whole_cpu_ms": served.cpu_ms() - cpu}
            whole.bytes, whole.seen = watcher.size, watcher.seen
            watcher.client.close()
            return found

        for _ in range(TIMES):
            spans.take(whole)
        watcher = Watcher(served.address, "w")
        watcher.seen = whole.seen
        served.change(chance.randrange(size), "draining")
        gevent.sleep(SETTLE)
        watcher.ask()
        rss = served.rss_mb()
    return {
        **spans.middle(),
        "rss_mb": rss,
        "whole_ms": statistics.median(times),
        "whole_bytes": whole.bytes,
        "change_bytes": watcher.size,
        "change_rows": watcher.rows,
    }
