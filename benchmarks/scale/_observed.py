"""Hollow members that beat at observers as processes of the program, beside three keepers, over loopback.

    python -m benchmarks.scale._observed TERMS FIRST COUNT SEED TOGETHER

The edge is real: `HeartbeatClient` with its sender, HTTP and sums. Of eight members one is a director and seven are hosts,
as 12,000 are to 93,000; a message has the beats of TOGETHER members. With 0 all are directors, with the member that a
director runs and the word it makes, as in `_hollow`. Such a process says `ready`, begins at `go`,
answers `tell` with a line of JSON, comes anew at `anew` (every member under a new incarnation, all it knew
forgotten), lets its directors call one host more silent at each `silent`, and ends when nobody writes to it any more.
"""

import contextlib
import json
import os
import random
import resource
import sys
import time
import urllib.request
from pathlib import Path
from typing import ClassVar

import gevent
from gevent.fileobject import FileObject

from benchmarks.keepers import hosts
from benchmarks.scale._hollow import Counted, CountedClient, Processes, Tally, live, used
from ironfall.director.fleet_lease import DirectorIdentity, LeaseSettings
from ironfall.director.fleet_member import FleetMember
from ironfall.lab import history
from ironfall.membership_server import client as observer_client
from ironfall.membership_server.client import AggregatorUnavailableError, HeartbeatClient
from ironfall.terms import read_terms
from tests.keepers import until
from tests.observed import Observed

DIRECTORS = 8  # one of so many members
SHARED = 1_000  # hollow members of a process
TRIES = 4
STEP = os.sysconf("SC_CLK_TCK")
WORD = {
    "proxies": 8,
    "binding": 0,
    "waiting": 0,
    "bare": 0,
    "refused": 0,
    "fulfilled": 1_000_000,
    "near": 0,
    "leaving": False,
    "token": 0,
    "drained": {},
    "silent": [],
    "took": {},
    "version": "1",
}


def unit_of(n):
    return f"director/d{n}" if n % DIRECTORS == 0 else f"host/h{n}"


class Director:
    """Its membership, with 34 hosts and 8 proxies in records that nothing changes."""

    units: ClassVar = {}
    heard_at = 0.0

    def __init__(self, terms, n, seed, tally):
        fleet, zone = terms.fleet, terms.zones[n % len(terms.zones)]
        self.beats = HeartbeatClient(zone, fleet.observers, fleet.lease, random.Random(seed + n))
        FleetMember(
            live(terms, f"d{n}", tally),
            self.beats,
            DirectorIdentity(f"d{n}", zone, "1"),
            LeaseSettings(fleet.lease, fleet.drift),
            seed + n,
        ).start()


class Members:
    """Those of one message."""

    def __init__(self, terms, numbers, chance, counts):
        self.terms, self.chance, self.counts = terms, chance, counts
        self.zone = terms.zones[numbers[0] // max(DIRECTORS, len(numbers)) % len(terms.zones)]
        self.units = {
            unit_of(n): dict(WORD) if n % DIRECTORS == 0 else {"up": True, "token": 0}
            for n in numbers
        }
        self.inc, self.heard_at = 1, 0.0
        self.begin()

    def begin(self):
        fleet = self.terms.fleet
        self.heard_at = 0.0
        self.beats = HeartbeatClient(
            self.zone, fleet.observers, fleet.lease, self.chance, time.monotonic, self.moved
        )
        self.job = gevent.spawn(self.run)

    def moved(self, _to):
        self.counts["moves"] += 1

    def anew(self):
        self.job.kill()
        self.beats.close()
        self.inc += 1
        self.begin()

    def run(self):
        while True:
            gevent.sleep(self.beats.seconds_until_due())
            try:
                said = self.beats.send_heartbeats(
                    {unit: (self.inc, word) for unit, word in self.units.items()}
                )
                self.counts["answered"] += 1
                self.counts["whole"] += len(said["whole"])
                if not said["whole"] and not self.heard_at:
                    self.heard_at = time.monotonic()
            except AggregatorUnavailableError:
                self.counts["unheard"] += 1


def serve(path, first, count, seed, together):
    terms, counts = (
        read_terms(path, Path(path).read_text()),
        dict.fromkeys(("answered", "whole", "unheard", "moves"), 0),
    )
    members, tally, said = [], Tally(), FileObject(sys.stdin.buffer, "rb")
    observer_client.HttpClient = CountedClient
    print("ready", flush=True)
    while line := said.readline().strip():
        if line == b"go":
            numbers = range(int(first), int(first) + int(count))
            members += [Director(terms, n, int(seed), tally) for n in numbers if together == "0"]
            for at in numbers[:: int(together) or len(numbers)] if members == [] else ():
                numbers = range(at, min(at + int(together), int(first) + int(count)))
                members.append(Members(terms, numbers, random.Random(int(seed) + at), counts))
        elif line == b"anew":
            for one in members:
                one.anew()
        elif line == b"silent":
            for one in members:
                for unit, word in one.units.items():
                    if unit.startswith("director/"):
                        one.units[unit] = word | {
                            "silent": [f"h{n}" for n in range(1, len(word["silent"]) + 2)]
                        }
        else:
            use = resource.getrusage(resource.RUSAGE_SELF)
            print(
                json.dumps(
                    {
                        "cpu": use.ru_utime + use.ru_stime,
                        "at": time.monotonic(),
                        "counts": counts,
                        "sent": Counted.sent,
                        "received": Counted.received,
                        "heard": [one.heard_at for one in members],
                    }
                ),
                flush=True,
            )


class Hollow(Processes):
    def __init__(self, terms, count, seed, together=1):
        super().__init__(
            "benchmarks.scale._observed",
            [
                (terms, first, min(SHARED, count - first), seed, together)
                for first in range(0, count, SHARED)
            ],
        )


class Beside(Observed):
    """Keepers and observers without relays: what is measured is theirs."""

    def terms_of(self, _name):
        return self.file

    def listed(self, size):
        """The hosts of so many members, as the registry tells them, some at a time."""
        every, client = hosts(size), self.asker("registry")
        names = [f"h{n}" for n in range(size) if n % DIRECTORS]
        for at in range(0, len(names), 2_000):
            part = {name: every[name] for name in names[at : at + 2_000]}
            heard = client.propose({"k": "list", "v": 1 + at // 2_000, "hosts": part}, 10.0)
            assert heard.is_accepted, heard

    def all_known(self, size, least=0, directors=0):
        """Whether the log has every director, of an incarnation over `least`, and the leader every member."""
        told = self.standing()
        known = told.get("ledger", {}).get("directors", {}).values()
        shown = told.get("observed", {"observers": {}}).get("observers", {})
        return (
            sum(one[0] and one[1] > least for one in known) == (directors or -(-size // DIRECTORS))
            and not told["observed"].get("unknown", [""])
            and sum(one["members"] for one in shown.values()) >= size
            and all(one["whole"] for one in shown.values())
        )


def resident_mb(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) / 1024


def counts_of(group):
    """What all observers count, together."""
    found = {}
    for _, (host, port) in group.observers:
        with urllib.request.urlopen(f"http://{host}:{port}/v1/observe/look", timeout=5.0) as answer:
            for name, value in json.loads(answer.read())["counts"].items():
                found[name] = found.get(name, 0) + value
    return found


def entries(group):
    return until(lambda: max(group.here(name).get("index", 0) for name in group.names))


def kinds(group, name, after, upto):
    """Entries of each kind of the ledger's in a part of the log, and their bytes, by a keeper's disk; it is killed."""
    group.kill(name)
    found = {}
    for index, entry in enumerate(history.agreed({name: group.disk(name)}), 1):
        if after < index <= upto and entry.kind == "ask":
            body = entry.data.partition(b"\n")[2]
            kind = found.setdefault(json.loads(body)["k"], [0, 0])
            kind[0], kind[1] = kind[0] + 1, kind[1] + len(body)
    return found


class Ended(Exception):
    """A reign ended meanwhile: that is no rest."""


def calm(size, chance, folder, together, seconds):
    """Figures of one second at rest, of the first try that no election falls into."""
    for attempt in range(TRIES):
        with contextlib.suppress(Ended):
            return _calm(size, chance, folder / str(attempt), together, seconds)
    raise Ended(f"in {TRIES} tries")


def _calm(size, chance, folder, together, seconds, settle=12.0):
    """All are known, nothing changes, and every lease was told once."""
    directors = -(-size // DIRECTORS) if together else size
    with (
        Beside(folder, lease="10s") as group,
        Hollow(group.file, size, chance.getrandbits(20), together) as hollow,
    ):
        if together:
            group.listed(size)
        hollow.say(b"go")
        until(lambda: group.all_known(size, directors=directors), 120)
        gevent.sleep(settle)
        leader, terms_led = (
            group.leader(),
            sum(len(group.told(name, "became leader")) for name in group.names),
        )
        watches = [group.processes[name] for name in group.zones]
        keeps = [group.processes[name] for name in group.names]

        def now():
            return {
                "at": time.monotonic(),
                "entries": entries(group),
                "counts": counts_of(group),
                "hollow": hollow.told(),
                "observers": sum(map(used, watches)),
                "leader": used(group.processes[leader]),
                "keepers": sum(map(used, keeps)),
            }

        first = now()
        gevent.sleep(seconds)
        last = now()
        if (
            group.leader() != leader
            or sum(len(group.told(name, "became leader")) for name in group.names) > terms_led
        ):
            raise Ended
        until(lambda: group.all_known(size, directors=directors), 20)
        memory = max(map(resident_mb, watches)), resident_mb(group.processes[leader])
        home = max(group.observer(name)["members"] for name in group.zones)
        said = kinds(group, leader, first["entries"], last["entries"])
    length = last["at"] - first["at"]

    def each(what, within="counts"):
        return (last[within][what] - first[within][what]) / length

    def hollowed(what, within=None):
        pairs = zip(first["hollow"], last["hollow"], strict=True)
        return (
            sum(
                (b[within][what] - a[within][what]) if within else b[what] - a[what]
                for a, b in pairs
            )
            / length
        )

    beats = each("beats")
    return {
        "entries_s": (last["entries"] - first["entries"]) / length,
        "beats_s": beats,
        "not_ticks": float(sum(count for kind, (count, _) in said.items() if kind != "tick")),
        "observer_cpu_ms_s": 1e3 * (last["observers"] - first["observers"]) / length,
        "observer_us_a_beat": 1e6 * (last["observers"] - first["observers"]) / length / beats,
        "leader_cpu_ms_s": 1e3 * (last["leader"] - first["leader"]) / length,
        "keepers_cpu_ms_s": 1e3 * (last["keepers"] - first["keepers"]) / length,
        "member_cpu_us_s": 1e6 * hollowed("cpu") / size,
        "member_bytes_out_s": hollowed("sent") / size,
        "member_bytes_in_s": hollowed("received") / size,
        "unheard_s": hollowed("unheard", "counts"),
        "observer_mb": memory[0],
        "leader_mb": memory[1],
        "largest_home": float(home),
    }


if __name__ == "__main__":
    serve(*sys.argv[1:])
