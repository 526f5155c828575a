"""From the instant at which directors hold a host for silent to the ledger's counting it as out, by members, behind
observers; `before_ms` as members speak with the keepers themselves, where so many can, played after it.
"""

import statistics
import tempfile
from pathlib import Path

from benchmarks.scale import host_death
from benchmarks.scale._observed import SHARED, Beside, Hollow
from tests.keepers import until

SIZES = (32, 64, 128, 256, 512)
BY = "members"
FIGURES = {"known_ms": "ms", "longest_ms": "ms", "before_ms": "ms", "before_longest_ms": "ms"}
LEFT_OUT = (
    host_death.LEFT_OUT
    + " One member of eight is a director, before as well, where hosts are none."
)
PROCESSES = 7 + -(-SIZES[-1] // SHARED)
DEATHS, CALM, LOOKS = 5, 1.5, 0.01


def MEMORY_MB(size):
    return 500 + size * 0.5


def play(size, chance):
    with (
        tempfile.TemporaryDirectory() as folder,
        Beside(Path(folder) / "group", lease="10s") as group,
        Hollow(group.file, size, chance.getrandbits(20)) as hollow,
    ):
        group.listed(size)
        hollow.say(b"go")
        until(lambda: group.all_known(size), 60)
        took = host_death.deaths(group, hollow, chance)
    before = host_death.play(size // 8, chance)
    return {
        "known_ms": statistics.median(took),
        "longest_ms": max(took),
        "before_ms": before["known_ms"],
        "before_longest_ms": before["longest_ms"],
    }
