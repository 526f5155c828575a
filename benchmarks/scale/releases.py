"""A harmless release of directors by the holder, the judge and the real ledger, under a virtual clock, by directors."""

import time

from ironfall.lab.releases_sim import Sim

SIZES = (30, 60, 120, 480)
BY = "directors"
FIGURES = {
    "seconds": "s of the virtual clock",
    "of_shortest": "ratio",
    "entries": "entries",
    "cpu_s": "s",
    "cpu_ms_s": "ms/s of the virtual clock",
}
COUNTED = frozenset({"seconds", "of_shortest", "entries"})
LEFT_OUT = (
    "Directors are emulated, without faults, and say their words in one entry a second; keepers and their log "
    "are left out, and processor time is that of all: fleet, ledger and holder."
)
PROCESSES = 1
SEED = 1  # of the directors' bents and noise: the same at each size


def MEMORY_MB(size):
    return 80 + size * 0.1


def play(size, chance):
    sim, began = Sim(SEED, "", size, faults=False), time.process_time()
    how = sim.run()
    spent = time.process_time() - began
    assert how == "done", how
    return {
        "seconds": float(sim.seconds),
        "of_shortest": sim.seconds / sim.shortest(),
        "entries": float(sim.index),
        "cpu_s": spent,
        "cpu_ms_s": 1e3 * spent / sim.seconds,
    }
