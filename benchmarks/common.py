"""What the measurements share: a registry that tells what it is set to, and programs as processes of their own."""

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent
from gevent import socket
from gevent.event import Event

from ironfall.api.http import Answer, Bounds, HttpServer

TERMS = """(service "measured"
  (zones "a" "b" "c")
  (class "read" (expected 2s) (abandon 6s) (repeatable always))
  (class "write" (expected 2s) (abandon 6s) (repeatable never))
  (grace 3s) (bare 6s)
  (cold (share 0.2) (time 10s) (multiple 4) (within 2s))
  (channel (queue {queue}) (pace {pace}) (head 6) (messages 0) (slowest 600ms))
  (reports (every 1s) (lines 400) (gauges queue))
  (proxies {proxies})
  (list (registry "127.0.0.1:{registry}") (mode watched))
  (limits (sessions 20000) (connections 30000) (polls 100000) (wait 60s))
  (listen "127.0.0.1:{port}"))
"""


def percentile(values, part):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


class Registry:
    def __init__(self, hosts):
        self.rows = [
            {
                "name": f"h{n}",
                "address": f"127.0.{8 + n // 200}.{n % 200 + 1}:9000",
                "zone": "abc"[n % 3],
                "state": "ready",
                "incarnation": "1",
            }
            for n in range(hosts)
        ]
        self.version, self.stir = 1, Event()
        self.server = HttpServer(("127.0.0.1", 0), Bounds(50, 4096, 2, 60, 2), self.handle)
        self.server.start()
        self.port = self.server.port

    def handle(self, request):
        if request.number("after") >= self.version and not request.hold(self.stir, 20):
            return Answer(204)
        self.stir.clear()
        body = {"version": self.version, "whole": True, "hosts": self.rows}
        return Answer(200, json.dumps(body).encode())

    def drain(self, n):
        self.rows[n]["state"] = "draining"
        self.version += 1
        self.stir.set()


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Process:
    """A program of its own, ended with the block."""

    def __init__(self, *words, port=0):
        self.words, self.port = words, port

    def __enter__(self):
        self.process = subprocess.Popen([sys.executable, *self.words], stderr=subprocess.DEVNULL)
        ends = time.monotonic() + 20
        while time.monotonic() < ends:
            try:
                socket.create_connection(("127.0.0.1", self.port), 1).close()
                return self
            except OSError:
                gevent.sleep(0.05)
        raise SystemExit(f"{self.words} did not come up")

    def __exit__(self, *_):
        self.process.terminate()
        self.process.wait()

    def memory(self):
        """Resident bytes."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024
        return 0


def director(registry, proxies, pace=100_000_000, queue=10_000_000, wait=60):
    """`wait`: whole seconds that a poll is held at the most."""
    port = free_port()
    text = TERMS.format(registry=registry.port, port=port, proxies=proxies, pace=pace, queue=queue)
    path = Path(tempfile.mkdtemp()) / "measured.sexp"
    path.write_text(text.replace("(wait 60s)", f"(wait {wait}s)"))
    return Process("-m", "ironfall", "director", str(path), "--seed", "1", port=port)
