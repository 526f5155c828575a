"""Entries that three keepers take a second, by askers, each with one entry after another; bare appends in the same run.

`leader_us`, `follower_us`: processor time of an entry there; the leader's alone bounds what any machine takes.
"""

import tempfile
from pathlib import Path

from benchmarks.scale._hollow import asked_for

SIZES = (6, 12, 24, 48, 96)
BY = "askers"
FIGURES = {
    "entries_s": "1/s",
    "of_appends": "ratio",
    "answer_ms": "ms",
    "leader_us": "us",
    "follower_us": "us",
    "keeper_cpu_ms_s": "ms/s",
}
LEFT_OUT = "Askers are greenlets of one process and renew a holder's lease, the smallest entry; the ledger is empty."
PROCESSES = 4


def MEMORY_MB(size):
    return 300 + size


def play(size, chance):
    def entry(n, _count):
        return {"k": "hold", "holder": f"holder{n}", "inc": 1}

    with tempfile.TemporaryDirectory() as folder:
        return asked_for(Path(folder) / "group", size, entry)
