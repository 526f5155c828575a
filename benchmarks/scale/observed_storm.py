"""All members come anew at once while the keepers start again, as `join_storm` has it of directors alone; and all come
anew with the keepers there. Seconds until the log has every director, and observers every member.
"""

import tempfile
import time
from pathlib import Path

from benchmarks.scale._observed import SHARED, Beside, Hollow, entries, kinds, used
from tests.keepers import until

SIZES = (125, 250, 500, 1_000, 2_000)
BY = "members"
FIGURES = {
    "anew_s": "s",
    "anew_entries": "entries",
    "anew_bytes": "B",
    "leader_s": "s",
    "restart_s": "s",
    "restart_entries": "entries",
    "restart_bytes": "B",
    "keeper_cpu_s": "s",
    "observer_cpu_s": "s",
}
LEFT_OUT = (
    "Members are their heartbeats alone, with words that never change; one of eight is a director."
)
PROCESSES = 7 + -(-SIZES[-1] // SHARED)
LONGEST = 90.0


def MEMORY_MB(size):
    return 500 + size * 0.15 + 60 * size / SHARED


def play(size, chance):
    with (
        tempfile.TemporaryDirectory() as folder,
        Beside(Path(folder) / "group", lease="10s") as group,
        Hollow(group.file, size, chance.getrandbits(20)) as hollow,
    ):
        group.listed(size)
        hollow.say(b"go")
        until(lambda: group.all_known(size), LONGEST)
        watches = [group.processes[name] for name in group.zones]
        spent, before = sum(map(used, watches)), entries(group)

        def anew(least):
            began = time.monotonic()
            hollow.say(b"anew")
            until(lambda: group.all_known(size, least), LONGEST)
            return time.monotonic() - began

        took = anew(1)
        between = entries(group)
        for name in group.names:
            group.kill(name)
        began = time.monotonic()
        for name in group.names:
            group.start(name)
        hollow.say(b"anew")
        leads = until(lambda: group.leader() and time.monotonic() - began, LONGEST)
        until(lambda: group.all_known(size, 2), LONGEST)
        again, after = time.monotonic() - began, entries(group)
        spent = sum(map(used, watches)) - spent
        kept = sum(used(group.processes[name]) for name in group.names)
        first = {
            kind: one
            for kind, one in kinds(group, group.leader(), before, between).items()
            if kind != "tick"
        }
        other = next(name for name in group.names if group.processes[name].poll() is None)
        second = {
            kind: one for kind, one in kinds(group, other, between, after).items() if kind != "tick"
        }
    return {
        "anew_s": took,
        "anew_entries": float(sum(one[0] for one in first.values())),
        "anew_bytes": float(sum(one[1] for one in first.values())),
        "leader_s": leads,
        "restart_s": again,
        "restart_entries": float(sum(one[0] for one in second.values())),
        "restart_bytes": float(sum(one[1] for one in second.values())),
        "keeper_cpu_s": kept,
        "observer_cpu_s": spent,
    }
