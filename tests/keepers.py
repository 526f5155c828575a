"""Groups of coordinators as processes, on loopback, with their disks in a folder of the test."""

import os
import random
import re
import signal
import sys
from pathlib import Path

import gevent
from gevent import subprocess

from ironfall.coordinator.client import CoordinatorClient
from ironfall.lab.play import free_ports
from ironfall.lab.relayed import Relayed
from ironfall.lab.transcript import Logs
from ironfall.terms import read_terms

ROOT = Path(__file__).parent.parent
TERMS = ROOT / "deploy" / "terms" / "fleet.sexp"


def until(condition, seconds=20.0):
    """Waits until `condition` returns something true, and returns that.

    Fails after `seconds`; the default is far more than any wait takes.
    """
    with gevent.Timeout(seconds, AssertionError(f"condition not met within {seconds} s")):
        while not (value := condition()):
            gevent.sleep(0.01)
    return value


def coordinator_addresses(count):
    """Returns addresses that nothing else takes before the coordinators listen there.

    The host is different for each test process, and the ports are below the ephemeral range, so
    that a relay or client that is opened meanwhile can't take one.
    """
    host = f"127.{1 + os.getpid() % 254}.0.3"
    return [f"{host}:{port}" for port in free_ports(host, count)]


def terms_with(count):
    """Returns the example settings with `count` coordinators at free addresses."""
    keepers = " ".join(
        f'(keeper "k{n}" "{address}")' for n, address in enumerate(coordinator_addresses(count), 1)
    )
    before, *_, after = re.split(r'\(keeper "k\d" "[\d.:]+"\)', TERMS.read_text())
    return before + keepers + after


class Group:
    """Coordinators k1, k2 and so on, started on entry of the context and killed on exit.

    Attributes:
        folder: has the settings, the logs and the disks.
        file: the settings.
        keepers: the coordinators' names and addresses.
        names: the coordinators' names.
        logs: the logs by name.
        processes: the processes by name.
        looker: a client that only reads.
    """

    def __init__(self, folder, count=3, **lines):
        """Writes the settings: the example's, with `lines` in the fleet block by name."""
        folder.mkdir(exist_ok=True)
        self.folder, self.file = folder, folder / "fleet.sexp"
        text = terms_with(count)
        for line, value in lines.items():
            text = text.replace("(lease 10s)", "") if line == "lease" else text
            text = text.replace("(margin", f"({line} {value})\n    (margin")
        self.file.write_text(text)
        self.keepers = read_terms(str(self.file), self.file.read_text()).fleet.keepers
        self.names = [name for name, _ in self.keepers]
        self.logs = Logs({name: folder / f"{name}.log" for name in self.names})
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
        for client in self.askers:
            client.close()

    def start(self, name, *options):
        command = [
            sys.executable,
            "-m",
            "ironfall",
            "--log",
            "json",
            "keeper",
            str(self.terms_of(name)),
            "--name",
            name,
            "--disk",
            str(self.disk(name)),
            *options,
        ]
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen(command, stderr=log, cwd=ROOT)

    def check_processes(self):
        """Fails with the log of a process that exited with an error, rather than after a time-out."""
        for name, process in self.processes.items():
            if (code := process.poll()) is not None and code > 0:
                log = (self.folder / f"{name}.log").read_text()
                raise AssertionError(f"{name} ended with {code}:\n{log}")

    def terms_of(self, _name):
        """Returns the settings file of a coordinator."""
        return self.file

    def disk(self, name):
        return self.folder / name

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name, which):
        os.kill(self.processes[name].pid, getattr(signal, which))

    def told(self, name, event):
        """Returns the lines of an event that a coordinator logged, over all restarts."""
        return [line for line in self.logs.all(name) if line["event"] == event]

    def asker(self, name):
        """Returns a new client."""
        self.askers.append(CoordinatorClient(self.keepers, name, random.Random(1)))
        return self.askers[-1]

    def here(self, name):
        """Returns a coordinator's own view."""
        return self.looker.read_own_status(name, 0.5).body

    def leader(self, *but):
        """Waits for a leader that a majority confirms, other than `but`; returns its name."""

        def confirmed_leader():
            self.check_processes()
            result = self.looker.read_status(0.5)
            return (
                result.body["leader"]
                if not result.failure and result.body["leader"] not in but
                else ""
            )

        return until(confirmed_leader)

    def voters(self):
        return self.looker.read_status().body["members"][0]


class Faulted(Group):
    """A group with a relay, which can inject faults, on each way between two coordinators or from a
    client to a coordinator.
    """

    def __init__(self, folder, count=3, seed=1, tell=lambda message, fate: None, **lines):
        self.relayed = Relayed(folder, seed, tell)
        self.faults = self.relayed.faults
        super().__init__(folder, count, **lines)

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        self.relayed.stop()

    def terms_of(self, name):
        return self.relayed.copy(name, self.file.read_text(), self.keepers)

    def client(self, name, first=""):
        return self.relayed.client(name, self.keepers, first)

    def granted(self, *but):
        """Kills all; returns the units granted according to the disks of all but `but`, in order."""
        for name in self.names:
            self.kill(name)
        return self.relayed.granted([name for name in self.names if name not in but])
