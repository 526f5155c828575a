"""Hosts' agents in calm: hollow ones, each by itself, against three keepers; a word each second, marks polled.

`words_s` below the number of hosts: words wait for answers longer than a second, and the keepers are behind;
`reigns` over one: their leader lost the others meanwhile. Larger sizes are for finding where that is.
"""

import tempfile
from pathlib import Path

from benchmarks.keepers import hosts
from benchmarks.scale._hollow import SHARED, calm

SIZES = (50, 200, 400, 800)
BY = "hosts"
FIGURES = {
    "entries_s": "1/s",
    "words_s": "1/s",
    "polls_s": "1/s",
    "cpu_ms_s": "ms/s",
    "keeper_cpu_ms_s": "ms/s",
    "bytes_out_s": "B/s",
    "bytes_in_s": "B/s",
    "answer_ms": "ms",
    "tries_again_s": "1/s",
    "reigns": "reigns",
}
LEFT_OUT = (
    "Hosts are their agents alone, whose process always serves, and no mark stands; 50 tenants in all; bytes "
    "are those of HTTP, without heads of TCP and IP."
)
PROCESSES = 3 + SIZES[-1] // SHARED


def MEMORY_MB(size):
    return 250 + size * 0.5 + 40 * size / SHARED


def play(size, chance):
    def listed(group):
        heard = group.asker("registry").propose({"k": "list", "v": 1, "hosts": hosts(size)}, 10.0)
        assert heard.is_accepted, heard

    with tempfile.TemporaryDirectory() as folder:
        found, more = calm("agent", size, chance, Path(folder) / "group", listed)
    return found | {"words_s": more("agents", "counts"), "polls_s": more("polls", "counts")}
