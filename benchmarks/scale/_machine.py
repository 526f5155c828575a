"""Processor time as it is on a core that nobody disturbs.

Where others keep the machine busy the same work takes up to twice the processor time, by turns of seconds or minutes,
and a slope taken across such a turn is the machine's. So a fixed piece of work is timed on the same core before and
after each span, and the span's processor time is told as if that piece had taken `UNDISTURBED_MS`. What it took is a
figure of its own (`yardstick_ms`): times that, and over this, is what the clock said.
"""

import os
import time
from pathlib import Path

import gevent

UNDISTURBED_MS = (
    1.6  # 2026-12-02: 1.5 to 1.8 in quiet spans, 3.1 to 3.7 in busy ones (AMD EPYC, Python 3.11)
)
STEADY = 1.25  # a span in which the machine changed more than this is none


def yardstick_ms(times=5):
    """Milliseconds of processor time of the fixed piece of work, the middle of some."""
    found = []
    for _ in range(times):
        begun = time.process_time()
        held = {n: float(n) for n in range(2_000)}
        for n in range(20_000):
            held[n % 2_000] += n * 0.5
        found.append((time.process_time() - begun) * 1000)
    return sorted(found)[times // 2]


def yardstick_on(core):
    """The same on a certain core, where somebody else's process runs."""
    mine = os.sched_getaffinity(0)
    os.sched_setaffinity(0, {core})
    try:
        return yardstick_ms(3)
    finally:
        os.sched_setaffinity(0, mine)


class Beside:
    """A block during which the piece of work is timed on somebody else's core, twice a second."""

    def __init__(self, core):
        self.core, self.found = core, []

    def __enter__(self):
        self.running = gevent.spawn(self._run)
        return self

    def _run(self):
        while True:
            self.found.append(yardstick_on(self.core))
            gevent.sleep(0.5)

    def __exit__(self, *_):
        self.running.kill()

    def mean_ms(self):
        return sum(self.found) / len(self.found)

    def undisturbed(self, cpu):
        """What a processor time of the block would have been with nobody else there."""
        return cpu * UNDISTURBED_MS / self.mean_ms()


def cores(seconds=0.3):
    """The core of the program that is measured, the idlest that this process may use, and those of all around it."""
    mine, before = os.sched_getaffinity(0), idle()
    time.sleep(seconds)
    after = idle()
    first = max(mine, key=lambda core: (after[core] - before[core], -core))
    return first, mine - {first} or {first}


def idle():
    """Ticks that each core has been idle for."""
    rows = (line.split() for line in Path("/proc/stat").read_text().splitlines())
    return {
        int(row[0][3:]): int(row[4]) for row in rows if row[0].startswith("cpu") and row[0] != "cpu"
    }


class Spans:
    """Spans of a measurement, each with what the machine was like; the middle one of those in which it was steady."""

    def __init__(self, yardstick=yardstick_ms):
        self.yardstick, self.found, self.yardsticks = yardstick, [], []

    def take(self, play):
        """`play()` gives figures by name, all of them processor time."""
        before = self.yardstick()
        figures = play()
        after = self.yardstick()
        slow = (before + after) / 2 / UNDISTURBED_MS
        self.yardsticks.append((before + after) / 2)
        steady = max(before, after) <= STEADY * min(before, after)
        self.found.append((steady, {name: value / slow for name, value in figures.items()}))

    def middle(self):
        steady = [figures for good, figures in self.found if good] or [
            figures for _, figures in self.found
        ]
        found = {name: sorted(one[name] for one in steady)[len(steady) // 2] for name in steady[0]}
        return {**found, "yardstick_ms": sorted(self.yardsticks)[len(self.yardsticks) // 2]}
