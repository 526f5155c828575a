"""From the instant at which directors hold a host for silent to the ledger's counting it as out, by members.

The ledger counts it at the second voice; an agent that is silent, or says that its process is down, takes nothing out.
"""

import statistics
import tempfile
import time
from pathlib import Path

import gevent

from benchmarks.keepers import hosts
from benchmarks.scale._hollow import SHARED, WARM, Hollow
from tests.keepers import Group, until

SIZES = (5, 10, 20, 40, 80)
BY = "members"
FIGURES = {"known_ms": "ms", "longest_ms": "ms"}
LEFT_OUT = (
    "Directors are their membership alone and all see the silence in one instant: the time until the decisions "
    "see it comes on top, and it is the same before and after any mechanism here."
)
PROCESSES = 3 + SIZES[-1] // SHARED + 1
DEATHS, CALM = 5, 1.5  # in a play, so many seconds apart
LOOKS = 0.01


def MEMORY_MB(size):
    return 250 + size * 0.5 + 40 * size / SHARED


def deaths(group, hollow, chance):
    """Milliseconds from each host's death until the leader's ledger has it out."""
    leader, took = group.leader(), []

    def out():
        gevent.sleep(LOOKS)
        return group.here(leader).get("ledger", {}).get("scopes", {}).get("fleet", (0, 0))[1]

    for n in range(DEATHS):
        gevent.sleep(CALM * (0.5 + chance.random()))
        began = time.monotonic()
        hollow.say(b"silent")
        until(lambda n=n: out() > n)
        took.append(1e3 * (time.monotonic() - began))
    return took


def play(size, chance):
    with (
        tempfile.TemporaryDirectory() as folder,
        Group(Path(folder) / "group") as group,
        Hollow("member", group.file, size, chance.getrandbits(20)) as hollow,
    ):
        heard = group.asker("registry").propose({"k": "list", "v": 1, "hosts": hosts(100)}, 10.0)
        assert heard.is_accepted, heard
        hollow.say(b"go")
        gevent.sleep(WARM)
        took = deaths(group, hollow, chance)
    return {"known_ms": statistics.median(took), "longest_ms": max(took)}
