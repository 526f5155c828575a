"""As `observed`, the members of a machine sharing a message of 64: what rest costs the log and the leader at sizes that
hollow members by themselves would need many machines for.
"""

import tempfile
from pathlib import Path

from benchmarks.scale import observed
from benchmarks.scale._observed import SHARED, calm

SIZES = (1_000, 2_000, 4_000, 8_000, 16_000)
BY, FIGURES, COUNTED = observed.BY, observed.FIGURES, observed.COUNTED
LEFT_OUT = (
    observed.LEFT_OUT
    + " 64 members share a message: their cost at an observer is less than by themselves."
)
PROCESSES = 7 + -(-SIZES[-1] // SHARED)
TOGETHER, SECONDS = 64, 10.0


def MEMORY_MB(size):
    return 500 + size * 0.05 + 60 * size / SHARED


def play(size, chance):
    with tempfile.TemporaryDirectory() as folder:
        found = calm(size, chance, Path(folder), TOGETHER, SECONDS)
    return {name: found[name] for name in FIGURES}
