"""The ledger by hosts: entries of one second of calm, snapshot and restore, without keepers.

Hosts as in the fleet asked for: with their services' tenants, 115 for 34 hosts. `few`: the same with 50 tenants in all.
"""

from benchmarks.scale._ledgers import Fleet, memory, packed

SIZES = (1_000, 2_000, 4_000, 8_000, 16_000, 93_000)
BY = "hosts"
FIGURES = {
    "word_us": "us",
    "word_walks": "records",
    "list_us": "us",
    "list_walks": "records",
    "tick_us": "us",
    "tick_walks": "records",
    "few_word_us": "us",
    "few_tick_us": "us",
    "few_word_walks": "records",
    "snapshot_ms": "ms",
    "snapshot_bytes": "B",
    "restore_ms": "ms",
    "memory_bytes": "B",
}
COUNTED = frozenset({"word_walks", "list_walks", "tick_walks", "few_word_walks", "snapshot_bytes"})
LEFT_OUT = "Keepers, log and disk are left out: a ledger alone applies entries, each of one host's word or line."
DIRECTORS = 64
PROCESSES = 1


def MEMORY_MB(size):
    return 60 + size * 0.01


def play(size, chance):
    held, fleet = memory(size, DIRECTORS), Fleet(size, DIRECTORS)
    snapshot, size_, restore = packed(fleet)
    kinds = (("word", fleet.agent), ("list", fleet.changed), ("tick", fleet.tick))
    found = {f"{name}_walks": float(fleet.walked(entry)) for name, entry in kinds}
    found |= {f"{name}_us": fleet.timed(entry) for name, entry in kinds}
    del fleet, kinds
    few = Fleet(size, DIRECTORS, 50)
    few_walks = float(few.walked(few.agent))
    return found | {
        "few_word_us": few.timed(few.agent),
        "few_tick_us": few.timed(few.tick),
        "few_word_walks": few_walks,
        "snapshot_ms": snapshot,
        "snapshot_bytes": float(size_),
        "restore_ms": restore,
        "memory_bytes": held,
    }
