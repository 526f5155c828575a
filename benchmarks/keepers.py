"""Keepers as processes: grants a second over bare appends with fsync, restart behind a snapshot, time to a new leader.

    python -m benchmarks.keepers [pace] [restart] [kills]

All on this machine's loopback and one disk, that of the folder for temporary files; ratios are of one run.
"""

import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path

import gevent

from benchmarks.common import percentile
from ironfall.consensus import Entry, HardState
from ironfall.coordinator.client import CoordinatorClient
from ironfall.coordinator.disk import MemberStore
from ironfall.coordinator.limits import COORDINATOR_LIMITS
from ironfall.coordinator.state_machine import LedgerStateMachine
from ironfall.coordinator.stored_records import AppendWrite, SnapshotWrite
from ironfall.disruption import DisruptionRules
from ironfall.storage.disk import Folder
from tests.keepers import Group, until

SECONDS = 6.0
ASKERS = 96
HOSTS = 2_000


def bare(folder, seconds=3.0, size=300):
    """Appends of about an entry's size, each synced before the next."""
    count, until_, data = 0, time.monotonic() + seconds, b"x" * size
    with open(folder / "bare", "ab", buffering=0) as file:
        while time.monotonic() < until_:
            file.write(data)
            os.fsync(file.fileno())
            count += 1
    return count / seconds


def hosts(count=HOSTS):
    return {
        f"h{n}": {
            "zone": "ab"[n % 2],
            "kind": "disk",
            "tenants": [f"t{n % 50}"],
            "strength": 100,
            "classes": 3,
            "ready": True,
        }
        for n in range(count)
    }


def pace(folder):
    with Group(folder) as group:
        listed = group.asker("registry").propose({"k": "list", "v": 1, "hosts": hosts()}, 10.0)
        assert listed.is_accepted, listed
        counts = {"grants": 0, "entries": 0, "other": 0}
        took = []
        ends = [0.0]

        def put(one, entry):
            began = time.monotonic()
            heard = one.propose(entry, 10.0)
            took.append(time.monotonic() - began)
            counts["entries" if heard.is_accepted else "other"] += 1
            return heard

        def ask(n):
            one, number = group.asker(f"asker{n}"), 0
            put(one, {"k": "hold", "holder": one.name, "inc": 1})
            while time.monotonic() < ends[0]:
                number += 1
                about = {"holder": one.name, "inc": 1, "n": number}
                heard = put(one, {"k": "ask", **about, "units": [f"host/h{n}"], "length": 10_000})
                granted = any(
                    m[0] == f"host/h{n}" and "granted" in m
                    for m in heard.body["answer"].get("moved", ())
                )
                counts["grants"] += granted
                put(one, {"k": "cancel", **about})
                if number % 64 == 0:
                    put(one, {"k": "hold", "holder": one.name, "inc": 1})

        before = bare(folder)
        ends[0] = time.monotonic() + SECONDS
        began = time.monotonic()
        gevent.joinall([gevent.spawn(ask, n) for n in range(ASKERS)], raise_error=True)
        length = time.monotonic() - began
        after = bare(folder)
    appends = (before + after) / 2
    entries, grants = counts["entries"] / length, counts["grants"] / length
    print(f"bare appends with fsync: {before:.0f} and {after:.0f} a second, before and after")
    print(
        f"{ASKERS} askers: {entries:.0f} entries a second, {entries / appends:.2f}x; of them {grants:.0f} grants, "
        f"{grants / appends:.2f}x; answered in {1000 * percentile(took, 0.5):.0f} ms, p99 "
        f"{1000 * percentile(took, 0.99):.0f} ms; not done: {counts['other']}"
    )


def restart(folder, count=1_000_000):
    """A keeper's disk, written as it writes it, with `count` entries behind it: then a process that begins from it."""
    group = Group(folder, 1)
    try:
        store, machine = MemberStore(Folder(group.disk("k1")), "k1"), LedgerStateMachine()
        store.begin_incarnation()
        identity = store.identity
        rules = {"k": "rules", "at": 1, "rules": DisruptionRules().facts()}
        for index, entry in enumerate(
            (rules, {"k": "list", "at": 1, "v": 1, "hosts": hosts(1_000)}), 1
        ):
            machine.apply(
                index, LedgerStateMachine.encode_command("", 0, json.dumps(entry).encode())
            )
        at = int(time.time() * 10_000)
        for n in range(1_024):
            entry = {"k": "hold", "at": at, "holder": f"h{n}", "inc": 1}
            machine.apply(
                n + 3, LedgerStateMachine.encode_command(f"asker{n}", 1, json.dumps(entry).encode())
            )
        head = json.dumps([count, 1, [[identity], []], []]).encode()
        rest = [
            Entry(
                1,
                "ask",
                1,
                n,
                LedgerStateMachine.encode_command(
                    "", 0, json.dumps({"k": "tick", "at": at + n}).encode()
                ),
            )
            for n in range(COORDINATOR_LIMITS.max_log_entries)
        ]
        snapshot = head + b"\n" + machine.snapshot()
        store.write([HardState(1 << 20, 1, identity), SnapshotWrite(count, snapshot, ())])
        for start in range(0, len(rest), 100):
            store.write([AppendWrite(count + 1 + start, rest[start : start + 100])])
        size = sum(p.stat().st_size for p in group.disk("k1").iterdir())
        store.disk.close()
        began = time.monotonic()
        group.start("k1")
        until(lambda: group.told("k1", "node started"), 60.0)
        begun = time.monotonic() - began
        until(lambda: group.here("k1").get("index", 0) > count + len(rest), 60.0)
        process = group.processes["k1"].pid
        memory = next(
            line
            for line in Path(f"/proc/{process}/status").read_text().splitlines()
            if "VmRSS" in line
        )
        print(
            f"{count} entries behind it, {len(rest)} of them after the snapshot of {len(snapshot) / 2**20:.2f} MiB, "
            f"{size / 2**20:.1f} MiB on disk: begun after {begun:.2f} s with the start of the process, leading with "
            f"all applied after {time.monotonic() - began:.2f} s; {memory.split()[1]} KiB resident"
        )
    finally:
        group.__exit__()


def kills(folder, count=20):
    """From the kill to the first ask that the next leader agreed to; an asker goes on meanwhile."""
    with Group(folder) as group:
        times, heard, version = [], [], [0]
        asker = group.asker("registry")
        going = [True]

        def ask():
            while going[0]:
                version[0] += 1
                heard.append(asker.propose({"k": "list", "v": version[0], "hosts": {}}, 20.0))

        asking = gevent.spawn(ask)
        chance = random.Random(1)
        for _ in range(count):
            enough = len(heard) + chance.randint(5, 30)
            until(lambda n=enough: len(heard) > n)
            old = group.leader()
            group.kill(old)
            began = time.monotonic()
            probe = CoordinatorClient([k for k in group.keepers if k[0] != old], "probe", chance)
            until(lambda p=probe: p.propose({"k": "tick"}, 0.5).is_accepted)
            times.append(time.monotonic() - began)
            probe.close()
            group.start(old)
            until(lambda o=old: group.here(o).get("role") == "follower", 20.0)
        going[0] = False
        asking.join()
        judge = group.asker("judge").propose({"k": "list", "v": version[0], "hosts": {}})
    lost = sum(not h.is_accepted for h in heard) + (
        f"no newer than {version[0]}" not in judge.rejection
    )
    print(
        f"{count} kills: a new leader agreed to an ask after {percentile(times, 0.5):.2f} s, at most "
        f"{max(times):.2f} s; {len(heard)} asks meanwhile, {lost} lost or done twice"
    )


def main():
    for name in sys.argv[1:] or ("pace", "restart", "kills"):
        with tempfile.TemporaryDirectory() as folder:
            {"pace": pace, "restart": restart, "kills": kills}[name](Path(folder))


if __name__ == "__main__":
    main()
