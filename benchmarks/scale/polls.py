"""Held polls on one director of the long-poll protocol: memory, processor time, bytes, and one change to all.

Hollow proxies run the real client (`ironfall/proxy/control_client.py`: join, poll, apply, again) against the real director, a
process and a core of its own; they share four processes. At rest means one round of all polls, each held for 16 to
20 s as usual, told by the second of a poll's mean hold. A change is a host of 34 that drains.
"""

import json
import os
import random
import statistics
import sys
import time
from pathlib import Path

import gevent
from gevent import socket, subprocess
from gevent.fileobject import FileObject

from benchmarks.common import Registry, director
from benchmarks.scale._machine import Beside, cores
from ironfall.proxy import control_client
from ironfall.proxy.control_client import ControlClient, ControlClientConfig
from ironfall.proxy.environment import Environment
from ironfall.proxy.load_reports import LoadSums
from ironfall.publication import Holding

SIZES = (250, 1_000, 2_000, 4_000)
BY = "proxies"
FIGURES = {
    "rss_kb": "KB",
    "cpu_ms_s": "ms/s",
    "bytes_s": "B/s",
    "change_ms": "ms",
    "change_cpu_ms": "ms",
    "change_bytes": "B",
    "yardstick_ms": "ms",
}
LEFT_OUT = "The proxies' sums and data plane; a change ends when hollow proxies on few cores have all applied it."
PROCESSES = 5
HOSTS, CHANGES, HOLLOW, CLASSES = 34, 5, 4, 2
WAIT, SPREAD = (
    20,
    0.9,
)  # seconds that a poll is held at the most; its mean hold is this part of them
QUIET = 1.0  # seconds after a change, by which every poll is there again


def MEMORY_MB(size):
    return 250 + size * 0.25


class Counted(control_client.HttpClient):
    """Counts the bytes of its connections, both ways."""

    clients = []

    def __init__(self, *about):
        super().__init__(*about)
        self.before = 0
        self.clients.append(self)

    def count(self):
        info = (
            self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 136)
            if self.sock
            else bytes(136)
        )
        return (
            self.before
            + int.from_bytes(info[120:128], sys.byteorder)
            + int.from_bytes(info[128:], sys.byteorder)
        )

    def close(self):
        self.before = self.count()
        super().close()


class Proxy:
    def __init__(self, port, n):
        self.out, self.holding = {}, Holding(CLASSES, {})
        self.client = ControlClient(
            ControlClientConfig(f"p{n}", "abc"[n % 3], 1.0, [("127.0.0.1", port)]),
            self.holding,
            LoadSums(0, CLASSES),
            Environment(lambda: 0, random.Random(n), self.tell),
            lambda: None,
        )
        gevent.spawn(self.client.run_sessions, 0)

    def tell(self, what, **about):
        if what == "told":
            for turn in about["state"].turns:
                if turn.out:
                    self.out.setdefault(turn.host.partition("@")[0], time.monotonic())

    def bound(self):
        return len(self.holding.binds) == CLASSES


def hollow(port, first, count):
    """Answers each line on standard input: `bound`, `bytes`, or a host, with when the last had heard of its drain."""
    control_client.HttpClient = Counted
    proxies = [Proxy(port, n) for n in range(first, first + count)]
    for line in FileObject(sys.stdin.fileno(), "r"):
        word, found = line.strip(), None
        if word == "bytes":
            found = sum(client.count() for client in Counted.clients)
        while found is None:
            gevent.sleep(0.01)
            if word == "bound" and all(proxy.bound() for proxy in proxies):
                found = count
            elif word != "bound" and all(word in proxy.out for proxy in proxies):
                found = max(proxy.out[word] for proxy in proxies)
        print(json.dumps(found), flush=True)


class Hollow:
    """The processes of the hollow proxies; a block."""

    def __init__(self, port, count):
        each = [count // HOLLOW + (n < count % HOLLOW) for n in range(HOLLOW)]
        self.running = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.scale.polls",
                    str(port),
                    str(sum(each[:n])),
                    str(each[n]),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            for n in range(HOLLOW)
        ]

    def ask(self, word):
        for process in self.running:
            process.stdin.write(f"{word}\n".encode())
            process.stdin.flush()
        with gevent.Timeout(60, SystemExit(f"no answer to {word} within a minute")):
            return [json.loads(process.stdout.readline()) for process in self.running]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.running:
            process.terminate()
            process.wait()


def cpu_ms(process):
    return int(Path(f"/proc/{process.process.pid}/schedstat").read_text().split()[0]) / 1e6


def play(size, chance):
    registry, usual_cores = Registry(HOSTS), os.sched_getaffinity(0)
    core, rest = cores()
    os.sched_setaffinity(0, rest)
    try:
        with director(registry, size, wait=WAIT) as process, Hollow(process.port, size) as proxies:
            os.sched_setaffinity(process.process.pid, {core})
            return measure(size, registry, process, proxies, core)
    finally:
        registry.server.stop(0)
        os.sched_setaffinity(0, usual_cores)


def measure(size, registry, process, proxies, core):
    proxies.ask("bound")
    gevent.sleep(QUIET)
    rss, times, began = process.memory() / 1024, [], sum(proxies.ask("bytes"))
    with Beside(core) as machine:
        cpu = cpu_ms(process)
        for n in range(CHANGES):
            begun = time.monotonic()
            registry.drain(n)
            times.append(1000 * (max(proxies.ask(f"h{n}")) - begun))
            gevent.sleep(QUIET)
        changing = machine.undisturbed(cpu_ms(process) - cpu)
    changed = sum(proxies.ask("bytes"))
    with Beside(core) as machine:
        cpu = cpu_ms(process)
        gevent.sleep(WAIT + QUIET)
        at_rest = machine.undisturbed(cpu_ms(process) - cpu)
    held = WAIT * SPREAD
    return {
        "rss_kb": rss,
        "cpu_ms_s": at_rest / held,
        "bytes_s": (sum(proxies.ask("bytes")) - changed) / held,
        "change_ms": statistics.median(times),
        "change_cpu_ms": changing / CHANGES,
        "change_bytes": (changed - began) / CHANGES,
        "yardstick_ms": machine.mean_ms(),
    }


if __name__ == "__main__":
    hollow(*map(int, sys.argv[1:4]))
