"""Stand-ins of the operators' platform: discovery's agent and the relay with its proxies.

They follow `PROTOCOL.md` of the kit's node pages and the sections on orders of `WIRE-ironfall.md`.
"""

import contextlib
import json
import socket
import struct
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .processes import Record, now

PING_S = 1.0
MESSAGE_S = 0.1  # from an order until a proxy has applied it
BARE_MS = 3000.0
COLD_MS = 10000.0
BARE_SLACK_S = 0.3  # PROTOCOL.md: time limits are 300 ms longer
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Agent:
    """Discovery's agent: `GET /v1/servers`, the whole list or a watch."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.up_since_ms: dict[str, int] = {}
        self.told: list[tuple[float, str, str]] = []
        self.condition = threading.Condition()
        agent = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1  # an answer goes out in one piece
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                agent.answer(self)

            def log_message(self, *_arguments: Any) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def set(self, host: str, zone: str, phase: str) -> None:
        """Changes the phase of a host."""
        self.set_many([host], zone, phase)

    def set_many(self, hosts: list[str], zone: str, phase: str) -> None:
        """Changes the phase of hosts in one revision."""
        with self.condition:
            self.revision += 1
            for host in hosts:
                self.rows[host] = {
                    "id": host,
                    "host_port": "127.0.0.1:9",
                    "locality": zone,
                    "flavor": "m",
                    "cell": 0,
                    "phase": phase,
                    "size": 1.0,
                    "up_since_ms": self.up_since_ms.get(host, 0),
                }
                self.changed_at[host] = self.revision
            self.condition.notify_all()
        self.record("discovery", revision=self.revision, host="+".join(hosts), phase=phase)

    def answer(self, handler: BaseHTTPRequestHandler) -> None:
        """Answers one request."""
        query = {key: values[0] for key, values in parse_qs(urlsplit(handler.path).query).items()}
        after, wait = int(query.get("index", "-1")), int(query.get("wait", "0")) / 1000
        with self.condition:
            self.condition.wait_for(lambda: self.revision > after, wait)
            rows = [row for host, row in self.rows.items() if self.changed_at[host] > after]
            if after < 0:
                rows = [row for row in rows if row["phase"] != "left"]
            answer = {"revision": self.revision, "complete": after < 0, "members": rows}
        body = json.dumps(answer).encode()
        try:
            handler.send_response(200)
            handler.send_header("Content-Length", str(len(body)))
            handler.end_headers()
            handler.wfile.write(body)
            handler.wfile.flush()
        except OSError:
            return
        if rows:
            told = " ".join(f"{row['id']}:{row['phase']}" for row in rows)
            self.record("list told", after=after, revision=answer["revision"], rows=told)
        self.told += [(now(), row["id"], row["phase"]) for row in rows]

    def told_at(self, host: str, phase: str) -> float | None:
        """Returns when the director was first told a host's phase."""
        return next(
            (at for at, told, state in list(self.told) if (told, state) == (host, phase)), None
        )


@dataclass
class Proxy:
    """A proxy of the relay: what it holds, and since when a class has no line.

    `tables` holds the table of each class that is bound; the others go by `standing`.
    """

    zone: str
    standing: list[str]
    joined: bool = False
    tables: dict[str, int] = field(default_factory=dict)
    outs: set[str] = field(default_factory=set)


class Relay:
    """The relay: takes orders, keeps its proxies' tables, and tells news to subscribers."""

    def __init__(self, record: Record, classes: list[str]) -> None:
        self.record, self.classes = record, classes
        self.lock = threading.RLock()
        self.tables: dict[int, dict[str, float]] = {}
        self.withdrawn: set[str] = set()
        self.proxies: dict[int, Proxy] = {}
        self.feeds: list[socket.socket] = []
        self.silent: set[socket.socket] = set()
        self.sockets: set[socket.socket] = set()
        self.refuses = False
        self.calls = 0
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    # Proxies

    def join(self, node: int, zone: str, standing: list[str]) -> None:
        """Starts a proxy, which holds only its standing table, and attaches it."""
        with self.lock:
            self.proxies[node] = Proxy(zone, standing, joined=True)
            self.record("proxy joins", node=node, standing="+".join(standing))
            self._tell("attach", **self._state(node))

    def leave(self, node: int) -> None:
        """Ends a proxy's process."""
        with self.lock:
            del self.proxies[node]
            self.record("proxy ends", node=node)
            self._tell("detach", node=node)

    def lines(self, node: int, route: str) -> set[str]:
        """Returns the hosts that a proxy can pick for a class."""
        with self.lock:
            proxy = self.proxies[node]
            table = proxy.tables.get(route)
            named = set(proxy.standing) if table is None else set(self.tables.get(table, {}))
            return named - proxy.outs

    def is_bound(self, node: int) -> bool:
        """Returns whether all classes of a proxy go by tables that were ordered."""
        with self.lock:
            return set(self.proxies[node].tables) == set(self.classes)

    def _state(self, node: int) -> dict[str, Any]:
        proxy = self.proxies[node]
        return {"node": node, "locality": proxy.zone, "w": 5.0, "cold": not proxy.tables}

    # Connections

    def cut(self, sock: socket.socket) -> None:
        """Resets a connection."""
        self.record("relay resets a connection")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        with self.lock:
            if sock in self.feeds:
                self.feeds.remove(sock)
        sock.shutdown(socket.SHUT_RD)
        sock.close()

    def cut_way(self, silent: socket.socket, reset: socket.socket) -> None:
        """Cuts the way to the director: one connection falls silent for good, one is reset.

        New connections are reset until `mend_way`.
        """
        self.record("a connection with news falls silent, with a ping as its last word")
        with self.lock:
            self._send(silent, {"method": "ping"})
            self.silent.add(silent)
            self.refuses = True
        self.cut(reset)

    def mend_way(self) -> None:
        """Lets new connections come up."""
        self.refuses = False
        self.record("relay takes connections")

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            if self.refuses:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            for line in sock.makefile("rb"):
                call = json.loads(line)
                if call["method"] == "subscribe":
                    self._subscribe(sock, call["id"])
                else:
                    self._commit(sock, call)
        except (OSError, ValueError):
            pass
        with self.lock:
            self.sockets.discard(sock)
            if sock in self.feeds:
                self.feeds.remove(sock)

    def _subscribe(self, sock: socket.socket, number: int) -> None:
        with self.lock:
            self.record("relay subscribed", feeds=len(self.feeds) + 1)
            self._send(sock, {"id": number, "result": True})
            for node in self.proxies:
                self._send(sock, {"method": "attach", "params": self._state(node)})
            self.feeds.append(sock)
        threading.Thread(target=self._ping, args=(sock,), daemon=True).start()

    def _ping(self, sock: socket.socket) -> None:
        while sock in self.feeds:
            with self.lock:
                self._send(sock, {"method": "ping"})
            time.sleep(PING_S)

    def _send(self, sock: socket.socket, message: dict[str, Any]) -> None:
        if sock in self.silent:
            return
        with contextlib.suppress(OSError):
            sock.sendall(json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n")

    def _tell(self, method: str, **params: Any) -> None:
        heard = sum(sock not in self.silent for sock in self.feeds)
        self.record("news", method=method, feeds=heard, params=json.dumps(params))
        for sock in self.feeds:
            self._send(sock, {"method": method, "params": params})

    # Orders

    def _commit(self, sock: socket.socket, call: dict[str, Any]) -> None:
        orders = call["params"]["orders"]
        with self.lock:
            self.calls += 1
            reached: set[int] = set()
            done = 0
            for order in orders:
                if not self._order(order, reached):
                    break
                done += 1
            self.record("call", taken=done, of=len(orders), orders=json.dumps(orders))
            self._send(sock, {"id": call["id"], "result": {"ok_count": done}})

    def _order(self, order: dict[str, Any], reached: set[int]) -> bool:
        verb, host = order["verb"], order.get("endpoint", "")
        table, routes = order.get("cluster"), order.get("routes", self.classes)
        if verb == "SET":
            lines = self.tables.setdefault(table, {})
            lines.pop(host, None)
            if order["w"] > 0:
                lines[host] = order["w"]
            reached |= {n for n, p in self.proxies.items() if table in p.tables.values()}
        elif verb == "DEL":
            self.tables.pop(table, None)
        elif verb == "USE":
            proxy = self.proxies.get(order["node"])
            if proxy is None or not proxy.joined:
                return False
            if not proxy.tables:
                proxy.outs = set()
            proxy.tables.update(dict.fromkeys(routes, table))
            proxy.outs |= self.withdrawn
            reached.add(order["node"])
        elif verb in ("OUT", "IN"):
            (self.withdrawn.add if verb == "OUT" else self.withdrawn.discard)(host)
            for node, proxy in self.proxies.items():
                (proxy.outs.add if verb == "OUT" else proxy.outs.discard)(host)
                reached.add(node)
        elif verb == "SYNC":
            self._confirm_later(order["nonce_out"], set(reached))
        return True

    def _confirm_later(self, nonce: int, nodes: set[int]) -> None:
        def confirm() -> None:
            time.sleep(MESSAGE_S)
            with self.lock:
                for node in sorted(nodes & set(self.proxies)):
                    self._tell("done", node=node, nonce=nonce, latency=MESSAGE_S * 1000)

        threading.Thread(target=confirm, daemon=True).start()


def heartbeat(port: int) -> bool:
    """Asks a director for a sign of life; returns whether it answers."""
    try:
        with socket.create_connection(("127.0.0.1", port), 1) as sock:
            sock.settimeout(1)
            sock.sendall(b"hb\r\n")
            return sock.recv(64).startswith(b"hb_ok")
    except OSError:
        return False


CLASSES = ("lookup", "order")
ZONES = ("lagos", "ibadan")


def write_config(path: Path, port: int, agent: Agent, relay: Relay, **family: Any) -> None:
    """Writes a director's configuration, with the figures of a small deployment.

    `family` replaces figures of `FamilyInfo`.
    """
    classes = [
        {"Name": name, "Aim": 800.0, "Deadline": 2000.0, "Worth": 1.0, "Effect": effect}
        for name, effect in zip(CLASSES, ("pure", "side_effect"), strict=True)
    ]
    family_info = {
        "ProxyCount": 6,
        "QueueCap": 5000.0,
        "Overhead": 6.0,
        "LinesPerS": 4500.0,
        "MessagesMost": 20,
        "UpdateWindow": 10000.0,
        "Bare": BARE_MS,
        "TransitMax": 260.0,
        "Propagation": 100.0,
        "ReportEvery": 2000.0,
        "ReportsPerS": 75.0,
        "ThrottleBy": "fraction",
        "Bootstrap": 3,
        "HomeOnly": [False, False],
    }
    settings = {
        "Dcs": list(ZONES),
        "FleetSize": 1,
        "Me": 0,
        "Zone": 0,
        "RequestClasses": classes,
        "Contract": {
            "StopSendingWithin": 3000.0,
            "Cold": COLD_MS,
            "StartCapacity": 0.17,
            "FallMultiple": 4.0,
            "OverloadFor": 3000.0,
        },
        "FamilyInfo": {**family_info, **family},
        "MembershipMode": "pushed",
        "Report": {"Columns": ["q", "lat_ms"], "Via": "piggyback"},
    }
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": agent.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "relay": {"address": relay.address},
        "known": {"revision": 1, "complete": True, "members": []},
        "settings": settings,
    }
    path.write_text(json.dumps(config))


class BareWatch:
    """Measures how long a joined proxy has no line while an open, warm host is listed as ready.

    `home_only` names the classes that only hosts of the proxy's own zone are open to.
    """

    def __init__(self, record: Record, agent: Agent, relay: Relay, home_only: set[str]) -> None:
        self.record, self.agent, self.relay, self.home_only = record, agent, relay, home_only
        self.longest = 0.0
        self.worst = ""
        self.stopped = False
        self._since: dict[tuple[int, str], float] = {}
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while not self.stopped:
            for node in list(self.relay.proxies):
                for route in CLASSES:
                    self._look(node, route)
            time.sleep(0.02)

    def _look(self, node: int, route: str) -> None:
        key = (node, route)
        with self.relay.lock:
            proxy = self.relay.proxies.get(node)
            is_bare = proxy is not None and not self.relay.lines(node, route)
        if not is_bare or proxy is None or not self._is_any_ready(proxy.zone, route):
            if self._since.pop(key, None) is not None:
                self.record("a line again, or no host", node=node, route=route)
            return
        if key not in self._since:
            self._since[key] = now()
            self.record("no line though a host is ready", node=node, route=route)
        lasted = now() - self._since[key]
        if lasted > self.longest:
            self.longest = lasted
            self.worst = f"proxy {node} had no line for {route} for {lasted:.1f} s"

    def _is_any_ready(self, zone: str, route: str) -> bool:
        latest: dict[str, str] = {}
        for _, host, phase in list(self.agent.told):
            latest[host] = phase
        warm_before = time.time() * 1000 - COLD_MS
        return any(
            phase == "active"
            and (route not in self.home_only or self.agent.rows[host]["locality"] == zone)
            and self.agent.up_since_ms.get(host, 0) <= warm_before
            for host, phase in latest.items()
        )
