"""The ledger by directors: a word, a tick, what releases look at, snapshot and restore, without keepers."""

import json
import statistics
import time

from benchmarks.scale._ledgers import Fleet, memory, packed

SIZES = (60, 240, 960, 3_840, 12_000)
BY = "directors"
FIGURES = {
    "word_us": "us",
    "word_walks": "records",
    "join_us": "us",
    "tick_us": "us",
    "tick_walks": "records",
    "due_us": "us",
    "look_ms": "ms",
    "look_bytes": "B",
    "snapshot_ms": "ms",
    "snapshot_bytes": "B",
    "restore_ms": "ms",
    "memory_bytes": "B",
}
COUNTED = frozenset({"word_walks", "tick_walks", "look_bytes", "snapshot_bytes"})
LEFT_OUT = (
    "Keepers, log and disk are left out, and all but 1,000 hosts of 50 tenants: a ledger alone applies "
    "entries, each of one director's word."
)
HOSTS, TENANTS = 1_000, 50
PROCESSES = 1


def MEMORY_MB(size):
    return 100 + size * 0.02


def spent(what, times=5):
    took = []
    for _ in range(times):
        began = time.process_time()
        found = what()
        took.append(time.process_time() - began)
    return statistics.median(took), found


def play(size, chance):
    held, fleet = memory(HOSTS, size, TENANTS), Fleet(HOSTS, size, TENANTS)
    snapshot, size_, restore = packed(fleet)

    def renewed(n):
        return fleet.entry("join", director=fleet.directors[n * 7_919 % size], inc=1, zone="z0")

    walked = (("word", fleet.said), ("tick", fleet.tick))
    found = {f"{name}_walks": float(fleet.walked(entry)) for name, entry in walked}
    look, seen = spent(lambda: json.dumps(fleet.ledger.inspect(), separators=(",", ":")).encode())
    found |= {
        f"{name}_us": fleet.timed(entry)
        for name, entry in (("word", fleet.said), ("join", renewed), ("tick", fleet.tick))
    }
    due, _ = spent(lambda: list(fleet.ledger.expired_leases()))
    return found | {
        "due_us": due * 1e6,
        "look_ms": look * 1e3,
        "look_bytes": float(len(seen)),
        "snapshot_ms": snapshot,
        "snapshot_bytes": float(size_),
        "restore_ms": restore,
        "memory_bytes": held,
    }
