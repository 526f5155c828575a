"""Keepers, observers and members as processes on loopback, with a relay between any two that speak."""

import json
import os
import sys
import urllib.request
from dataclasses import replace

import structlog
from gevent import subprocess

from ironfall.director.program import Program
from ironfall.lab.day import read_day
from ironfall.lab.fleet_judge import FleetJudge
from ironfall.lab.hosts import Fleet as HostFleet
from ironfall.lab.play import beside_keepers, fleet_of, free_ports
from ironfall.lab.registry import Registry
from ironfall.lab.tape import Tape, read
from ironfall.publication import Holding
from ironfall.storage.disk import Folder
from ironfall.terms import read_terms
from tests.keepers import ROOT, Faulted
from tests.rig import Peer
from tests.test_fleet_members import DAY

SECOND = 10_000
ZONES = {"o1": "east", "o2": "east", "o3": "west", "o4": "west"}


class Observed(Faulted):
    """Three keepers, and observers of their own for both zones."""

    def __init__(self, folder, count=3, lease="6s", empty="1s", names=tuple(ZONES), **about):
        self.zones = {name: ZONES[name] for name in names}
        super().__init__(folder, count, lease=lease, empty=empty, **about)
        # At an address of this process's own: a relay begun meanwhile could be given a port that was free.
        ip = f"127.{1 + os.getpid() % 254}.0.2"
        ports = free_ports(ip, len(names))
        lines = "".join(
            f'\n    (observer "{name}" "{ip}:{port}" (zone "{zone}"))'
            for (name, zone), port in zip(self.zones.items(), ports, strict=True)
        )
        self.file.write_text(
            self.file.read_text().replace("\n    (budget", lines + "\n    (budget", 1)
        )
        self.terms = read_terms(str(self.file), self.file.read_text())
        self.observers = [(one.name, one.address) for one in self.terms.fleet.observers]

    def __enter__(self):
        super().__enter__()
        for name in self.zones:
            self.watch(name)
        return self

    def terms_of(self, name):
        others = [*self.keepers, *(() if name in dict(self.keepers) else self.observers)]
        return self.relayed.copy(name, self.file.read_text(), others)

    def watch(self, name):
        command = [
            sys.executable,
            "-m",
            "ironfall",
            "--log",
            "json",
            "observer",
            str(self.terms_of(name)),
            "--name",
            name,
        ]
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen(command, stderr=log, cwd=ROOT)

    def told_by(self, name, event):
        return [
            line
            for line in map(json.loads, (self.folder / f"{name}.log").read_text().splitlines())
            if line["event"] == event
        ]

    def observer(self, name):
        """What one shows of itself; nothing where it does not answer."""
        host, port = dict(self.observers)[name]
        try:
            with urllib.request.urlopen(
                f"http://{host}:{port}/v1/observe/look", timeout=1.0
            ) as answer:
                return json.loads(answer.read())
        except OSError:
            return {}

    def standing(self):
        return self.looker.read_status(2.0).body

    def ledger(self):
        return self.standing().get(
            "ledger", {"permits": {}, "directors": {}, "zones": {}, "hosts": {}}
        )

    def zone(self, zone):
        """How many directors observers speak for, when they were vouched for, and since when it is unknown."""
        return self.ledger().get("zones", {}).get(zone, [0, 0, 0])

    def knows(self, *names):
        """Whether the leader has heard all that these hold, and they hear it."""
        shown = self.standing().get("observed", {}).get("observers", {})
        return all(
            shown.get(name, {}).get("whole") and 0 <= shown[name]["heard"] < SECOND * 2
            for name in names
        )


class Members:
    """Hosts with agents, registry, and a director in each zone, with their own ways to the observers."""

    def __init__(self, group):
        self.group, zones = group, list(dict.fromkeys(group.zones.values()))
        copies = {
            who: read_terms(who, group.terms_of(who).read_text())
            for who in ("registry", "agents", "d1", "d2")
        }
        self.terms, folder = copies["d1"], group.folder
        text = (
            DAY + "director west\n"
            if "west" in zones
            else DAY.replace("hosts west 5 cores 2\n", "")
        )
        self.day = read_day(str(folder / "x.day"), text)
        self.tape = Tape(folder / "all.tape")
        self.lab = HostFleet(self.day, self.terms, self.tape.teller, 1, "127.77")
        self.registry = Registry(("127.0.0.1", 0), self.lab, self.tape.teller("registry"))
        self.lab.start()
        self.disk = Folder(folder / "kept")
        self.jobs = beside_keepers(
            self.lab, self.registry, copies["registry"], self.disk, 1, copies["agents"]
        )
        self.registry.start()
        at = ("127.0.0.1", self.registry.server.port)
        self.directors = {
            name: Program(
                replace(copies[name], listen=("127.0.0.1", 0), registry=at),
                structlog.get_logger(),
                name,
                zone,
                seed=n,
            )
            for n, (name, zone) in enumerate(zip(("d1", "d2"), zones, strict=False), 1)
        }
        for one in self.directors.values():
            one.start()
        self.live = self.directors["d1"].director
        self.address = ("127.0.0.1", self.directors["d1"].server.port)

    def joined(self):
        """Every director and host is known to the ledger by observers."""
        ledger = self.group.ledger()
        return (
            all(ledger["directors"].get(name, [0])[0] for name in self.directors)
            and ledger["scopes"]["fleet"][:2] == [len(self.lab.hosts), 0]
            and self.group.knows(*self.group.zones)
        )

    def follow(self):
        """A proxy that does as it is told."""
        peer, holding = Peer(self, "p1", "east", 10.0), Holding(2, {})
        holding.join(peer.joined.epoch, peer.joined.version)
        while True:
            _, state = peer.poll(version=holding.version, wait_ms=500)
            if state is not None:
                holding.apply(state)

    def stop(self):
        for job in self.jobs:
            job.stop()
        for one in self.directors.values():
            one.stop()
        self.registry.server.stop(0)
        for host in self.lab.hosts.values():
            host.die()
        self.disk.close()
        self.tape.flush()

    def judged(self):
        rows = list(read(self.group.folder / "all.tape"))
        rules = FleetJudge(fleet_of(self.day, self.terms)).read(rows).verdict(0)
        assert not any(rule.breaks for rule in rules.values()), rules
        return rows
