"""The real `ironfall serve`, a process of its own, between stand-ins: a relay, an agent with the list, collectors.

The stand-ins are those of the tests (`tests/platform_rig.py`), in this process and on cores of their own. The relay
carries orders out as the platform does: it knows what each table names and confirms a call for the proxies that it
concerned. Three zones, two classes, reports each second from one collector a zone; all the service's proxies and
reports are this director's, and the channel grows with the proxies. Bytes are those of TCP's payload.
"""

import json
import os
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import gevent
from gevent import socket

from benchmarks.common import free_port
from benchmarks.scale._machine import Beside, cores
from tests.platform_rig import SETTINGS, Agent, Relay
from tests.rig import until

FIGURES = {
    "cpu_ms_s": "ms/s",
    "rss_mb": "MB",
    "out_bytes_s": "B/s",
    "in_bytes_s": "B/s",
    "change_cpu_ms": "ms",
    "change_bytes": "B",
    "yardstick_ms": "ms",
}
LEFT_OUT = "Hosts, proxies and what goes between them; relay, agent, collectors are stand-ins, the director is whole."
ZONES = ("lagos", "ibadan", "abuja")
LINES_EACH, QUEUE_EACH, EXCHANGES = (
    3,
    24,
    20,
)  # of the channel for each proxy; a second that come to each host
SETTLE, PAIRS = 1.0, 3  # seconds after the last binding; drains and returns, one change a second
ANSWERED = 0.3  # seconds by which a whole list that was asked for is there
TRANSIT = 0.1  # seconds from an order to its confirmation
INFO = struct.Struct("=120xQQ")  # of TCP_INFO: bytes acknowledged, bytes received


def memory_mb(size):
    return 200 + size * 0.2


class Tally:
    """Bytes on connections, of those that are open and those that were."""

    def __init__(self):
        self.open, self.closed = set(), [0, 0]

    def read(self):
        """Sent and received, on this side."""
        told = [self._info(sock) for sock in self.open]
        return [sum(column) for column in zip(self.closed, *told, strict=True)]

    @staticmethod
    def _info(sock):
        return INFO.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO.size))

    def close(self, sock):
        if sock in self.open:
            self.open.discard(sock)
            self.closed = [a + b for a, b in zip(self.closed, self._info(sock), strict=True)]

    def watch(self, server):
        """All that a server accepts from now on."""
        tally, serve = self, server._handle

        class Noted(socket.socket):
            def close(self):
                tally.close(self)
                super().close()

        def handle(sock, address):
            noted = Noted(fileno=sock.detach())
            tally.open.add(noted)
            serve(noted, address)

        server.set_handle(handle)


class Carrying(Relay):
    """Carries orders out: what each table names, who is bound to it, whom a call concerned."""

    def __init__(self):
        self.tables, self.uses, self.outs, self.confirming = {}, {}, set(), []
        super().__init__()

    def _ping(self):
        while True:
            gevent.sleep(1.0)
            self.send_event("ping")

    def _handle_message(self, sock, call):
        super()._handle_message(sock, call)
        if call["method"] == "commit":
            orders = call["params"]["orders"]
            gevent.spawn_later(
                TRANSIT, self._confirm, self._carry(orders), orders[-1].get("nonce_out")
            )
            self.calls, self.orders = [], []

    def _carry(self, orders):
        concerned = set()
        for order in orders:
            verb = order["verb"]
            if verb == "SET":
                table = self.tables.setdefault(order["cluster"], {})
                table[order["endpoint"]] = order["w"]
                if not order["w"]:
                    del table[order["endpoint"]]
                concerned.update(
                    n for n, used in self.uses.items() if order["cluster"] in used.values()
                )
            elif verb == "USE":
                used = self.uses.setdefault(order["node"], {})
                used.update(
                    dict.fromkeys(order.get("routes", ("lookup", "order")), order["cluster"])
                )
                concerned.add(order["node"])
            elif verb in ("OUT", "IN"):
                named = {
                    cluster for cluster, table in self.tables.items() if order["endpoint"] in table
                }
                concerned.update(
                    n for n, used in self.uses.items() if named.intersection(used.values())
                )
            elif verb == "LIMIT":
                concerned.update(self.attached)
        return concerned

    def _confirm(self, concerned, nonce):
        if nonce is not None:
            for proxy in sorted(concerned):
                self.send_event("done", node=proxy, nonce=nonce, latency=1000 * TRANSIT)


class ListedHost(Agent):
    def __init__(self, count):
        self.wholes = 0
        super().__init__(count)

    def handle(self, request):
        self.wholes += "index" not in request.query
        return super().handle(request)

    @staticmethod
    def row(name, n=0, phase="active"):
        n = int(name.partition("-")[2])
        return {
            "id": name,
            "host_port": f"127.0.{n // 250 + 9}.{n % 250 + 1}:80",
            "locality": ZONES[n % 3],
            "flavor": "m",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }


class Collectors:
    """One a zone: what its proxies met at each host and what came to each of them, each second."""

    def __init__(self, address, hosts, proxies, chance):
        self.address, self.hosts, self.proxies, self.chance, self.sent = (
            address,
            hosts,
            proxies,
            chance,
            0,
        )
        self.usual = [chance.uniform(180, 480) for _ in range(hosts)]  # ms that each answers in
        self.running = [gevent.spawn(self._run, n) for n in range(len(ZONES))]

    def _run(self, zone):
        sock = socket.create_connection(self.address, 5)
        self._send(sock, [f"telemetry locality={ZONES[zone]}"])
        gevent.sleep(zone / len(ZONES))
        while True:
            self._send(sock, self.lines(zone))
            gevent.sleep(1.0)

    def _send(self, sock, lines):
        data = "".join(line + "\r\n" for line in lines).encode()
        sock.sendall(data)
        self.sent += len(data)

    def lines(self, zone):
        chance, tries = self.chance, round(EXCHANGES / len(ZONES))
        for n, usual in enumerate(self.usual):
            gauges = f"queue:{chance.randrange(3)},latency_ms:{usual * chance.gauss(1, 0.05):.1f}"
            yield (
                f"upstream_stats locality={ZONES[zone]} endpoint=s-{n} total={tries} errors=0 "
                f"rtt={usual * max(0.2, chance.gauss(1, 0.2)):.1f} interval=1000.0 metrics={gauges}"
            )
        came = EXCHANGES * self.hosts / self.proxies / 2
        for proxy in range(zone, self.proxies, len(ZONES)):
            for name in ("lookup", "order"):
                total = int(came + chance.random())
                yield f"client_stats node={proxy} route={name} total={total} errors=0 interval=1000.0"


class Span(NamedTuple):
    seconds: float
    cpu_ms: float
    reports: int  # bytes of them to the director
    to: int  # all other bytes to it
    out: int


class Serving:
    """The director's process among its stand-ins; a block."""

    def __init__(self, hosts, proxies, chance):
        self.hosts, self.proxies, self.tally = hosts, proxies, Tally()
        self.relay, self.agent = Carrying(), ListedHost(hosts)
        self.tally.watch(self.relay.server)
        self.tally.watch(self.agent.server.server)
        for proxy in range(proxies):
            self.relay.attached[proxy] = {
                "locality": ZONES[proxy % 3],
                "w": EXCHANGES * hosts / proxies,
                "cold": True,
            }
        self.address, self.chance = ("127.0.0.1", free_port()), chance

    def config(self):
        info = {
            **SETTINGS["FamilyInfo"],
            "ProxyCount": self.proxies,
            "QueueCap": float(QUEUE_EACH * self.proxies),
            "LinesPerS": float(LINES_EACH * self.proxies),
        }
        contract = {**SETTINGS["Contract"], "StopSendingWithin": 9000.0}
        settings = {**SETTINGS, "Dcs": list(ZONES), "FamilyInfo": info, "Contract": contract}
        return {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self.agent.address),
            "relay": {"address": "{}:{}".format(*self.relay.address)},
            "seed": "8c1f",
            "settings": settings,
            "limits": {"sockets": 256},
            "known": None,
        }

    def __enter__(self):
        self.usual_cores = os.sched_getaffinity(0)
        self.core, rest = cores()
        path = Path(tempfile.mkdtemp(prefix="ironfall-scale-")) / "config.json"
        path.write_text(json.dumps(self.config()))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ironfall", "serve"],
            stderr=subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(path)},
        )
        os.sched_setaffinity(self.process.pid, {self.core})
        os.sched_setaffinity(0, rest)
        until(self._ready, 20)
        self.collectors = Collectors(self.address, self.hosts, self.proxies, self.chance)
        until(lambda: len(self.relay.uses) == self.proxies, 60)
        gevent.sleep(SETTLE)
        return self

    def __exit__(self, *_):
        gevent.killall(self.collectors.running)
        self.process.terminate()
        self.process.wait()
        self.relay.stop()
        self.agent.server.stop(0)
        os.sched_setaffinity(0, self.usual_cores)

    def _ready(self):
        try:
            with socket.create_connection(self.address, 1) as sock:
                sock.sendall(b"hb\r\n")
                return sock.recv(100) == b"hb_ok\r\n"
        except OSError:
            return False

    def cpu_ms(self):
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e6

    def rss_mb(self):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        raise SystemExit("the director has ended")

    def whole(self):
        """Until the director has the whole list anew, as each six seconds: all spans hold as many."""
        asked = self.agent.wholes
        until(lambda: self.agent.wholes > asked, 20)
        gevent.sleep(ANSWERED)

    def span(self, wholes, beside=None):
        """From one whole list to the next, so many times: seconds, processor time, bytes of reports, to it, from it."""
        doing = gevent.spawn(beside) if beside else None
        before = [time.monotonic(), self.cpu_ms(), self.collectors.sent, *self.tally.read()]
        for _ in range(wholes):
            self.whole()
        after = [time.monotonic(), self.cpu_ms(), self.collectors.sent, *self.tally.read()]
        if doing:
            doing.get()
        return Span(*(b - a for a, b in zip(before, after, strict=True)))

    def change(self):
        for name in self.chance.sample(range(self.hosts), PAIRS):
            for phase in ("leaving", "active"):
                self.agent.set(f"s-{name}", phase)
                gevent.sleep(1.0)


def measure(hosts, proxies, chance):
    with Serving(hosts, proxies, chance) as serving:
        serving.whole()
        with Beside(serving.core) as machine:
            rest = serving.span(1)
        cpu, rss, yardstick = machine.undisturbed(rest.cpu_ms), serving.rss_mb(), machine.mean_ms()
        # The changes take half of it: lines that move while a host comes back are in it to the last.
        with Beside(serving.core) as machine:
            change = serving.span(2, serving.change)
    return {
        "cpu_ms_s": cpu / rest.seconds,
        "rss_mb": rss,
        "out_bytes_s": rest.out / rest.seconds,
        "in_bytes_s": (rest.to + rest.reports) / rest.seconds,
        # At rest the processor time goes by the reports; their number differs by one between two spans as long.
        "change_cpu_ms": (machine.undisturbed(change.cpu_ms) - cpu * change.reports / rest.reports)
        / PAIRS,
        "change_bytes": (change.to + change.out - 2 * (rest.to + rest.out)) / PAIRS,
        "yardstick_ms": yardstick,
    }
