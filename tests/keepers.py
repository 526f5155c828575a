"""Keepers as processes of the program, on loopback, with their disks in a folder of the test's."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import gevent

from ironfall.keeper.client import Keepers
from ironfall.lab import history
from ironfall.lab.between import Between, Faults, offers
from ironfall.terms import read_terms

ROOT = Path(__file__).parent.parent
TERMS = ROOT / "deploy" / "terms" / "fleet.sexp"


def until(true, seconds=10.0):
    """What holds at last; fails when nothing does within a time far longer than it takes."""
    with gevent.Timeout(seconds, AssertionError("it did not come about in time")):
        while not (found := true()):
            gevent.sleep(0.01)
    return found


def free_ports(count):
    holders = [socket.socket() for _ in range(count)]
    for one in holders:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in holders]
    for one in holders:
        one.close()
    return ports


def terms_with(count):
    """The example's text, with as many keepers at free ports."""
    text, ports = TERMS.read_text(), free_ports(count)
    lines = [f'(keeper "k{n}" "127.0.0.1:{port}")' for n, port in enumerate(ports, 1)]
    for n in (1, 2, 3):
        text = text.replace(f'(keeper "k{n}" "127.0.0.1:781{n}")', " ".join(lines) if n == 1 else "")
    return text


class Group:
    def __init__(self, folder, count=3, **lines):
        """`lines` of the terms' fleet, in place of what the example has."""
        folder.mkdir(exist_ok=True)
        self.folder, self.file = folder, folder / "fleet.sexp"
        text = terms_with(count)
        for line, value in lines.items():
            text = text.replace("(lease 10s)", "") if line == "lease" else text
            text = text.replace("(margin", f"({line} {value})\n    (margin")
        self.file.write_text(text)
        self.keepers = read_terms(str(self.file), self.file.read_text()).fleet.keepers
        self.names = [name for name, _ in self.keepers]
        self.processes, self.askers = {}, []
        self.looker = self.asker("looker")

    def __enter__(self):
        for n, name in enumerate(self.names):
            self.start(name, "--found", "--seed", str(n))
        self.leader()
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for one in self.askers:
            one.close()

    def start(self, name, *options):
        command = [sys.executable, "-m", "ironfall", "--log", "json", "keeper", str(self.terms_of(name)),
                   "--name", name, "--disk", str(self.disk(name)), *options]  # fmt: skip
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen(command, stderr=log, cwd=ROOT)

    def terms_of(self, _name):
        return self.file

    def disk(self, name):
        return self.folder / name

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name, which):
        os.kill(self.processes[name].pid, getattr(signal, which))

    def told(self, name, event):
        """What its log says of an event, over all of its lives."""
        lines = map(json.loads, (self.folder / f"{name}.log").read_text().splitlines())
        return [line for line in lines if line["event"] == event]

    def asker(self, name):
        self.askers.append(Keepers(self.keepers, name, random.Random(1)))
        return self.askers[-1]

    def here(self, name):
        return self.looker.here(name, 0.5).told

    def leader(self, *but):
        """Who is seen to lead by a majority, none of `but`."""
        def found():
            heard = self.looker.look(0.5)
            return heard.told["leader"] if not heard.why and heard.told["leader"] not in but else ""

        return until(found)

    def voters(self):
        return self.looker.look().told["members"][0]


class Asker(Keepers):
    """One that takes down what it was told."""

    told = ()

    def _ask(self, entry, until):
        number, asker = self.number + 1, self.asker
        heard = super()._ask(entry, until)
        self.told.append((asker, number, entry, heard.why, heard.told))
        return heard


class Faulted(Group):
    """A relay between any two: keepers, and whoever asks them."""

    def __init__(self, folder, count=3, seed=1, tell=lambda message, fate: None, **lines):
        self.faults, self.told_all = Faults(random.Random(seed), tell), []
        self.between = Between(self.faults)
        self.ruled = self.faults.at(offers("rules"))
        super().__init__(folder, count, **lines)

    def __exit__(self, *about):
        super().__exit__(*about)
        self.between.stop()

    def terms_of(self, name):
        file = self.folder / f"{name}.sexp"
        file.write_text(self.between.copy(self.file.read_text(), name, self.keepers))
        return file

    def client(self, name):
        """Through relays, and all that it is told is judged in the end."""
        ways = [(keeper, self.between.way(name, keeper, address)) for keeper, address in self.keepers]
        self.askers.append(Asker(ways, name, random.Random(1)))
        self.askers[-1].told = self.told_all
        return self.askers[-1]

    def judged(self, *but):
        """All ended, what is on the disks held against what was told."""
        for name in self.names:
            self.kill(name)
        found = history.applied(history.agreed({n: self.disk(n) for n in self.names if n not in but}))
        return found, history.judge(found, self.told_all)
