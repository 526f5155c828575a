"""Members at rest behind observers, each by itself: two observers in each of two zones, three keepers; what it takes.

`beats_s` below the number of members: observers, or the hollow members, are behind.
"""

import tempfile
from pathlib import Path

from benchmarks.scale._observed import SHARED, calm

SIZES = (125, 250, 500, 1_000, 2_000)
BY = "members"
FIGURES = {
    "entries_s": "1/s",
    "not_ticks": "entries",
    "beats_s": "1/s",
    "observer_cpu_ms_s": "ms/s",
    "leader_cpu_ms_s": "ms/s",
    "keepers_cpu_ms_s": "ms/s",
    "member_cpu_us_s": "us/s",
    "member_bytes_out_s": "B/s",
    "member_bytes_in_s": "B/s",
    "unheard_s": "1/s",
    "observer_mb": "MB",
    "leader_mb": "MB",
}
LEFT_OUT = (
    "Members are their heartbeats alone, with words that never change; one of eight is a director; bytes are "
    "those of HTTP, without heads of TCP and IP."
)
COUNTED = frozenset({"not_ticks"})  # of ten seconds
PROCESSES = 7 + -(-SIZES[-1] // SHARED)
TOGETHER, SECONDS = 1, 10.0


def MEMORY_MB(size):
    return 500 + size * 0.15 + 60 * size / SHARED


def play(size, chance):
    with tempfile.TemporaryDirectory() as folder:
        found = calm(size, chance, Path(folder), TOGETHER, SECONDS)
    return {name: found[name] for name in FIGURES}
