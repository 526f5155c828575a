"""Directors on the platform beside bad input on each kind of connection: calm, at the address, from the agent, from
the relay. Four processes side by side in one run, each with stand-ins of its own and the same list, proxies and drains.

Told of each: from a drain's place in the list to its order at the relay, the 99th percentile of its turns, memory and
descriptors at the most, whether the tables at the end are the calm one's, and what it counted. `--seconds N` (30).
"""

import contextlib
import json
import os
import random
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent
from gevent import socket

from benchmarks.common import free_port, percentile
from tests.platform_rig import REPORT, SETTINGS, Agent, Relay, start_flood

HOSTS, PROXIES = 60, 40
BAD = [
    b"\x16\x03\x01",
    b"GET / HTTP/1.1\r\n\r\n",
    b"hb\r\n" * 50,
    b"",
    b"telemetry loc",
    b"telemetry locality=accra\r\n",
    REPORT,
    b"attach node=1\r\n",
    b"telemetry locality=" + b"x" * 9000,
]


class SpoilingAgent(Agent):
    """Every third answer is no list: an error, no JSON, another shape."""

    def handle(self, request):
        answer = super().handle(request)
        self.turn = getattr(self, "turn", 0) + 1
        if self.turn % 3 == 0:
            answer.status = (200, 503, 200)[self.turn // 3 % 3]
            answer.body = (b"{", b"no", b'{"revision": -3, "members": 5}')[self.turn // 3 % 3]
        return answer


class Director:
    def __init__(self, how, folder):
        self.how, self.relay = how, Relay()
        self.agent = (SpoilingAgent if how == "list" else Agent)(HOSTS)
        self.port, path, self.log = free_port(), folder / f"{how}.json", folder / f"{how}.log"
        settings = {
            **SETTINGS,
            "FamilyInfo": {
                **SETTINGS["FamilyInfo"],
                "ProxyCount": PROXIES,
                "QueueCap": 200_000.0,
                "MessagesMost": 0,
            },
        }
        path.write_text(
            json.dumps(
                {
                    "name": how,
                    "listen": f"127.0.0.1:{self.port}",
                    "settings": settings,
                    "seed": "7",
                    "discovery": "{}:{}".format(*self.agent.address),
                    "relay": {"address": "{}:{}".format(*self.relay.address)},
                    "limits": {"sockets": 256, "memory_mb": 64},
                }
            )
        )
        environment = {**os.environ, "RELAY_CONFIG": str(path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ironfall", "serve"], env=environment, stderr=open(self.log, "w")
        )
        self.took, self.memory, self.files, self.helpers = [], 0, 0, []
        for proxy in range(PROXIES):
            self.relay.attached[proxy] = {
                "locality": ("lagos", "ibadan")[proxy % 2],
                "w": 2.0,
                "cold": True,
            }

    def measure(self):
        proc = Path(f"/proc/{self.process.pid}")
        self.memory = max(
            self.memory, int(re.search(r"VmRSS:\s+(\d+)", (proc / "status").read_text())[1])
        )
        self.files = max(self.files, len(os.listdir(proc / "fd")))

    def drain(self, name):
        begun = time.monotonic()
        self.agent.set(name, "leaving")
        order = {"verb": "OUT", "endpoint": name}
        with gevent.Timeout(10, False):
            while order not in self.relay.orders:
                gevent.sleep(0.002)
        self.took.append((time.monotonic() - begun) * 1000)

    def confirm(self):
        told = 0
        while True:
            for call in self.relay.calls[told:]:
                for order in call:
                    if order["verb"] == "SYNC":
                        with contextlib.suppress(OSError):
                            self.relay.confirm(order["nonce_out"])
            told = len(self.relay.calls)
            gevent.sleep(0.05)

    def rude(self, chance, until):
        if self.how == "address":
            self.helpers += [
                start_flood(
                    ("127.0.0.1", self.port), b"telemetry locality=lagos\r\n" + REPORT * 64, 10**6
                ),
                start_flood(
                    ("127.0.0.1", self.port), b"telemetry locality=lagos\r\n" + b"\r\n" * 999, 10**6
                ),
            ]
            crowd = []
            while time.monotonic() < until:
                with contextlib.suppress(OSError):
                    sock = socket.create_connection(("127.0.0.1", self.port), 1)
                    sock.sendall(chance.choice(BAD))
                    crowd.append(sock)
                for sock in crowd[:-150]:
                    sock.close()
                del crowd[:-150]
                gevent.sleep(0.004)
        while self.how == "relay" and time.monotonic() < until:
            self.relay.answers = [chance.choice([10**9, "spoilt", "cut", "mute", "error"])]
            gevent.sleep(0.3)

    def tables(self):
        lines = {}
        for order in self.relay.orders:
            if order["verb"] == "SET":
                lines[order["cluster"], order["endpoint"]] = order["w"] > 0
            elif order["verb"] in ("OUT", "IN"):
                lines[order["endpoint"]] = order["verb"] == "OUT"
            elif order["verb"] == "USE":
                lines[order["node"]] = order["cluster"]
        return {key: value for key, value in lines.items() if value is not False}

    def stop(self):
        self.process.terminate()
        for helper in self.helpers:
            helper.kill()
            helper.wait()
        return self.process.wait(5)


def main(seconds):
    folder, chance = Path(tempfile.mkdtemp()), random.Random(1)
    directors = [Director(how, folder) for how in ("calm", "address", "list", "relay")]
    ends = time.monotonic() + seconds
    gevent.sleep(3)
    for it in directors:
        gevent.spawn(it.confirm)
        gevent.spawn(it.rude, chance, ends - 3)
    n = 0
    while time.monotonic() < ends - 3:
        drains = [gevent.spawn(it.drain, f"s-{n % HOSTS}") for it in directors]
        for it in directors:
            it.measure()
        gevent.joinall(drains)
        n = min(n + 1, HOSTS - 3)
        gevent.sleep(0.4)
    gevent.sleep(max(0.0, ends - time.monotonic()))
    codes = [it.stop() for it in directors]
    for it, code in zip(directors, codes, strict=True):
        said = [json.loads(line) for line in it.log.read_text().splitlines() if '"summary"' in line]
        last = said[-1] if said else {}
        same = it.tables() == directors[0].tables()
        print(
            f"{it.how:8} drains {len(it.took)}, to the order p50 {percentile(it.took, 0.5):.0f} p99 "
            f"{percentile(it.took, 0.99):.0f} ms; turns p99 {last.get('turn_ms')} ms; {it.memory / 1024:.1f} MB; "
            f"{it.files} descriptors; exit {code}; tables {'as calm' if same else 'DIFFER'}"
        )
        print("         ", last.get("counts"))
        if not same:
            print(
                "         ",
                sorted(map(str, it.tables().items() ^ directors[0].tables().items()))[:8],
            )


if __name__ == "__main__":
    main(float(sys.argv[2]) if sys.argv[1:2] == ["--seconds"] else 30.0)
