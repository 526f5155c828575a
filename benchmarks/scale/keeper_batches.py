"""Words of hosts' agents that three keepers take a second, by words an entry: twelve askers, each of its own hosts."""

import tempfile
from pathlib import Path

from benchmarks.keepers import hosts
from benchmarks.scale._hollow import asked_for

SIZES = (1, 16, 64, 256, 1_024)
BY = "words an entry"
FIGURES = {
    "entries_s": "1/s",
    "words_s": "1/s",
    "of_appends": "ratio",
    "answer_ms": "ms",
    "leader_us": "us",
    "follower_us": "us",
    "keeper_cpu_ms_s": "ms/s",
}
LEFT_OUT = (
    "Askers are greenlets of one process, as one who gathers words would be; 50 tenants in all."
)
ASKERS, LISTED = 12, 4_000
PROCESSES = 4


def MEMORY_MB(size):
    return 300 + size


def play(size, chance):
    def listed(group):
        registry, lines = group.asker("registry"), list(hosts(size * ASKERS).items())
        for start in range(0, len(lines), LISTED):
            part = dict(lines[start : start + LISTED])
            heard = registry.propose({"k": "list", "v": start + 1, "hosts": part}, 20.0)
            assert heard.is_accepted, heard

    def entry(n, count):
        word = {"inc": 1, "n": count, "up": True, "quiet": 0, "token": 0}
        return {"k": "agents", "hosts": {f"h{n * size + h}": word for h in range(size)}}

    with tempfile.TemporaryDirectory() as folder:
        found = asked_for(Path(folder) / "group", ASKERS, entry, listed)
    return found | {"words_s": size * found["entries_s"]}
