"""Runs a director on the platform in this process, against fakes of the relay, the discovery agent and collectors."""

import contextlib
import json
import subprocess
import sys
from dataclasses import replace

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ironfall.api.http import Answer, Bounds, HttpServer
from ironfall.platform.director import PlatformDirector
from ironfall.platform.startup import read_startup_config
from tests.rig import until

SETTINGS = {
    "Dcs": ["lagos", "ibadan"],
    "RequestClasses": [
        {"Name": n, "Aim": 800.0, "Deadline": 2000.0, "Worth": 1.0} for n in ("lookup", "order")
    ],
    "Contract": {"StopSendingWithin": 3000.0, "Cold": 10000.0, "StartCapacity": 0.3},
    "FamilyInfo": {
        "ProxyCount": 20,
        "QueueCap": 4000.0,
        "Overhead": 6.0,
        "MessagesMost": 20,
        "UpdateWindow": 10000.0,
        "Bare": 2000.0,
        "TransitMax": 400.0,
        "ReportEvery": 1000.0,
        "ThrottleBy": "fraction",
    },
    "Report": {"Columns": ["q", "lat_ms"]},
}


class RecordingLog:
    """Records log events as pairs of a name and the fields."""

    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append((event, fields))

    warning = error = info


class Relay:
    """A fake relay that records orders and feeds proxy events to its subscribers.

    `answers` says how the next calls are handled, one entry for each; without one, all orders are accepted:

    * a number: that many orders are executed, and the answer is that number;
    * "error": no order is executed, and the answer is an error;
    * "mute": executed, but not answered;
    * "cut": executed, then the connection is closed without an answer;
    * "spoilt": executed, and the answer is malformed;
    * "lost": not executed, and the connection is closed;
    * a function of connection and call, which does all of it itself.
    """

    def __init__(self):
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)
        self.orders, self.calls, self.answers = [], [], []
        self.attached, self.feeds, self.connections = {}, [], set()
        self.pinging = gevent.spawn(self._ping)

    def _serve(self, sock, _):
        self.connections.add(sock)
        try:
            for line in sock.makefile("rb"):
                self._handle_message(sock, json.loads(line))
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(sock)
            self.feeds = [f for f in self.feeds if f is not sock]
            sock.close()

    def _handle_message(self, sock, call):
        if call["method"] == "subscribe":
            self._send(sock, {"id": call["id"], "result": True})
            for proxy, state in self.attached.items():
                self._send(sock, {"method": "attach", "params": {"node": proxy, **state}})
            self.feeds.append(sock)
            return
        orders = call["params"]["orders"]
        self.calls.append(orders)
        answer = self.answers.pop(0) if self.answers else len(orders)
        if answer == "error":
            self._send(sock, {"id": call["id"], "error": {"code": 1, "message": "too_many_calls"}})
            return
        if callable(answer):
            answer(sock, call)
            return
        if answer == "lost":
            raise OSError
        self.orders += orders[: answer if isinstance(answer, int) else len(orders)]
        if answer == "cut":
            raise OSError
        if answer == "spoilt":
            self._send(sock, {"id": call["id"], "result": {"ok_count": "x"}})
        elif answer != "mute":
            self._send(sock, {"id": call["id"], "result": {"ok_count": answer}})

    def _send(self, sock, message):
        sock.sendall(json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n")

    def send_event(self, method, **params):
        """Sends an event to all subscribers."""
        for sock in self.feeds:
            # A connection that was closed a moment ago may still be in the list.
            with contextlib.suppress(OSError):
                self._send(sock, {"method": method, "params": params})

    def attach(self, proxy, zone="lagos", cold=True):
        self.attached[proxy] = {"locality": zone, "w": 2.0, "cold": cold}
        self.send_event("attach", node=proxy, **self.attached[proxy])

    def detach(self, proxy):
        del self.attached[proxy]
        self.send_event("detach", node=proxy)

    def confirm(self, nonce):
        """Has all attached proxies confirm the call with a nonce."""
        for proxy in self.attached:
            self.send_event("done", node=proxy, nonce=nonce, latency=50.0)

    def _ping(self):
        while True:
            gevent.sleep(0.1)
            self.send_event("ping")

    def cut(self):
        for sock in list(self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def assigned(self):
        """Returns the proxies that any executed order has assigned to a table."""
        return {o["node"] for o in self.orders if o["verb"] == "USE"}

    def stop(self):
        self.pinging.kill()
        self.server.stop(0)
        self.cut()


class Agent:
    """A fake discovery agent, which serves the host list by long polls; while `mute`, it does not answer."""

    def __init__(self, count=6):
        self.rows = {f"s-{n}": self.row(f"s-{n}", n) for n in range(count)}
        self.version, self.changed, self.changed_rows, self.requests = 1, Event(), {}, []
        self.mute = False
        self.server = HttpServer(("127.0.0.1", 0), Bounds(50, 4096, 2, 60, 2), self.handle)
        self.server.start()
        self.address = ("127.0.0.1", self.server.port)

    @staticmethod
    def row(name, n=0, phase="active"):
        return {
            "id": name,
            "host_port": f"127.0.9.{n + 1}:80",
            "locality": ("lagos", "ibadan")[n % 2],
            "flavor": "m",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def handle(self, request):
        after = request.number("index", -1)
        self.requests.append(after)
        while self.mute:
            gevent.sleep(0.05)
        if after >= self.version:
            self.changed.clear()
            request.hold(self.changed, request.number("wait") / 1000)
        rows = (
            list(self.rows.values())
            if after < 0
            else [r for r, v in self.changed_rows.values() if v > after]
        )
        return Answer(
            200,
            json.dumps({"revision": self.version, "complete": after < 0, "members": rows}).encode(),
        )

    def set(self, name, phase):
        self.version += 1
        row = {**self.rows.get(name, self.row(name)), "phase": phase}
        self.rows[name] = row
        self.changed_rows[name] = (row, self.version)
        if phase == "left":
            del self.rows[name]
        self.changed.set()


class PlatformRig:
    """A running director with its fakes, and the configuration file that it was started with."""

    def __init__(self, tmp_path, hosts=6, relay=None, agent=None, **changes):
        self.relay, self.agent, self.log = relay or Relay(), agent or Agent(hosts), RecordingLog()
        self.path = tmp_path / "config.json"
        self.changes = changes
        self.write_config()
        config = replace(
            read_startup_config({"RELAY_CONFIG": str(self.path)}), listen=("127.0.0.1", 0)
        )
        self.director = PlatformDirector(config, self.log)
        self.director.start()
        self.address = ("127.0.0.1", self.director.listener.server.server_port)

    def write_config(self):
        config = {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "discovery": "{}:{}".format(*self.agent.address),
            "relay": {"address": "{}:{}".format(*self.relay.address)},
            "seed": "8c1f",
            "settings": SETTINGS,
            "limits": {"sockets": 256},
            "known": None,
            **self.changes,
        }
        self.path.write_text(json.dumps(config))

    def __enter__(self):
        until(self.director.listener.is_ready.is_set)
        return self

    def __exit__(self, *_):
        self.director.shut_down()
        self.relay.stop()
        self.agent.server.stop(0)

    def count(self, name):
        return self.director.event_loop.counts.get(name, 0)

    def dial(self, data=b""):
        sock = socket.create_connection(self.address, 5)
        sock.settimeout(5)
        sock.sendall(data)
        return sock


def read_to_end(sock):
    """Returns all bytes received until the peer closes the connection."""
    received = b""
    try:
        while data := sock.recv(4096):
            received += data
    except ConnectionResetError:
        pass
    return received


def start_flood(address, data, times):
    """Starts a process that sends `data` without pause, `times` times or until the connection is closed."""
    code = (
        "import socket, sys; s = socket.create_connection((sys.argv[1], int(sys.argv[2]))); "
        "d = bytes.fromhex(sys.argv[3]); sys.stdout.write('x'); sys.stdout.flush()\n"
        "try:\n for _ in range(int(sys.argv[4])): s.sendall(d)\n"
        "except OSError: pass"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", code, address[0], str(address[1]), data.hex(), str(times)],
        stdout=subprocess.PIPE,
    )
    return process


def has_sent_all(rig):
    """Returns whether no order is in flight to the relay or waiting."""
    return not rig.director.outbox.in_flight and not rig.director.outbox.waiting


def withdrawal_order(name):
    return {"verb": "OUT", "endpoint": name}


REPORT = b"upstream_stats locality=lagos endpoint=s-0 total=12 errors=0 rtt=41.7 interval=1000.0 metrics=queue:7\r\n"
