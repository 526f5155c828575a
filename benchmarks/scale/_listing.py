"""The list's side: `ironfall/lab/registry.py`, a stand-in for a registry, in a process and on a core of its own.

Its hosts are no more than what it asks of them; watchers are HTTP clients of the kind that directors watch with.
"""

import json
import os
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import gevent
from gevent import subprocess
from gevent.fileobject import FileObject

from benchmarks.scale._machine import cores
from ironfall.api.http import HttpClient
from ironfall.lab.registry import Registry

WAIT = 20.0  # seconds that a watcher lets a call be held


def row(n):
    """What the stand-in asks of a host."""
    address = (f"127.{n // 62_500 + 1}.{n // 250 % 250}.{n % 250 + 1}", 9000)
    name, zone = f"host{n}", "abc"[n % 3]
    return SimpleNamespace(
        name=name, id=name, address=address, zone=zone, incarnation=1, started=1.0
    )


def serve(hosts):
    """Prints its port; then each line on standard input is a host and its state from now on."""
    fleet = SimpleNamespace(hosts={f"host{n}": row(n) for n in range(hosts)}, listed=None)
    registry = Registry(("127.0.0.1", 0), fleet, lambda _what, **_about: None)
    registry.start()
    print(registry.server.port, flush=True)
    for line in FileObject(sys.stdin.fileno(), "r"):
        host, state = line.split()
        registry.change(fleet.hosts[host], state, 0.0)


class Served:
    """The registry's process; a block, in which all else keeps off its core."""

    def __init__(self, hosts):
        self.hosts = hosts

    def __enter__(self):
        self.usual_cores = os.sched_getaffinity(0)
        self.core, rest = cores()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.scale._listing", str(self.hosts)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        os.sched_setaffinity(self.process.pid, {self.core})
        os.sched_setaffinity(0, rest)
        with gevent.Timeout(20, SystemExit("the registry did not come up")):
            self.address = ("127.0.0.1", int(self.process.stdout.readline()))
        return self

    def __exit__(self, *_):
        self.process.terminate()
        self.process.wait()
        os.sched_setaffinity(0, self.usual_cores)

    def change(self, n, state):
        self.process.stdin.write(f"host{n} {state}\n".encode())
        self.process.stdin.flush()

    def cpu_ms(self):
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e6

    def rss_mb(self):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        raise SystemExit("the registry has ended")


class Watcher:
    """One that watches the list as a director does; `seen` is the newest version it has read."""

    def __init__(self, address, name):
        self.client, self.name, self.seen, self.size, self.at, self.rows = (
            HttpClient(address),
            name,
            -1,
            0,
            0.0,
            0,
        )

    def ask(self, wait=WAIT):
        path = f"/v1/list?after={self.seen}&wait_ms={wait * 1000:.0f}&who={self.name}"
        answer = self.client.call("GET", path, wait + 10)
        if answer.status == 200:
            told = json.loads(answer.body)
            self.seen, self.rows = told["version"], len(told["hosts"])
            self.size, self.at = len(answer.body), time.monotonic()

    def run(self):
        while True:
            self.ask()


if __name__ == "__main__":
    serve(int(sys.argv[1]))
