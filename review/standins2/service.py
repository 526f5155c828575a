"""Stand-ins of a small service: registry, hosts and clients, as docs/api.md describes them."""

import contextlib
import json
import socket
import struct
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ironfall.generated import ironfall_pb2 as pb

from .processes import Record, now

HEAD = struct.Struct(">I")
Row = dict[str, Any]
GRACE_S = 3.0
ON_ITS_WAY_S = 0.05  # docs/lab.md, rule `drains`: 50 ms for what was on its way
TERMS = """(service "small"
  (zones "east" "west")
  (class "lookup" (expected 800ms) (abandon 2s) (earnings 1) (repeatable always))
  (class "order"  (expected 1s)    (abandon 3s) (earnings 2) (repeatable never))
  (grace 3s)
  (bare 5s)
  (cold (share 0.2) (time 10s) (multiple 4) (within 3s))
  (channel (queue 5000) (pace 4500) (head 6) (messages 20) (span 10s) (slowest 500ms))
  (reports (every 1s) (lines 75) (gauges queue latency))
  (prices (crossing 0.01))
  (proxies 6)
  (list (registry "{registry}") (mode watched))
  (listen "127.0.0.1:{port}")
  {more}
  (proxy (standing 5) (shun-after 3) (shun-time 4s)))
"""


class Registry:
    """Answers `GET /v1/list`: changes after a version, the whole list, or 204."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 1
        self.rows: dict[str, Row] = {}
        self.began: dict[str, float] = {}
        self.changed_at: dict[str, int] = {}
        self.gone: dict[str, Row] = {}
        self.told: dict[str, list[tuple[float, str, str, str]]] = {}
        self.condition = threading.Condition()
        registry = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1  # an answer goes out in one piece
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                registry.answer(self)

            def log_message(self, *_arguments: Any) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def list(self, host: "Host", began: float) -> None:
        """Lists a host that started at a monotonic time."""
        about = {"address": host.address, "zone": host.zone, "state": "ready", "incarnation": "1"}
        self.set(host.name, began, **about)

    def set(self, name: str, began: float | None = None, **fields: Any) -> float:
        """Changes a host's row, and its start in monotonic time; returns when that began."""
        at = now()
        with self.condition:
            self.version += 1
            row = {**self.rows.get(name, {"name": name}), **fields}
            if began is not None:
                self.began[name] = began
            self.changed_at[name] = self.version
            if row.get("state") == "gone":
                self.rows.pop(name, None)
                self.gone[name] = row
            else:
                self.gone.pop(name, None)
                self.rows[name] = row
            self.condition.notify_all()
        self.record("registry", version=self.version, host=name, **fields)
        return at

    def answer(self, handler: BaseHTTPRequestHandler) -> None:
        """Answers one request."""
        query = {key: values[0] for key, values in parse_qs(urlsplit(handler.path).query).items()}
        after, wait = int(query.get("after", "-1")), int(query.get("wait_ms", "0")) / 1000
        with self.condition:
            self.condition.wait_for(lambda: self.version > after, wait)
            version, whole = self.version, after < 0
            names = [n for n, v in self.changed_at.items() if whole or v > after]
            rows = [self._row(n) for n in names if not whole or n in self.rows]
        try:
            if version <= after:
                handler.send_response(204)
                handler.end_headers()
                return
            body = json.dumps({"version": version, "whole": whole, "hosts": rows}).encode()
            handler.send_response(200)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(body)))
            handler.end_headers()
            handler.wfile.write(body)
        except OSError:
            return
        who = query.get("who", "")
        rows_told = " ".join(f"{r['name']}:{r['state']}:{r.get('incarnation', '')}" for r in rows)
        self.record("list told", to=who, after=after, version=version, rows=rows_told)
        for row in rows:
            entry = (now(), row["name"], row["state"], row.get("incarnation", ""))
            self.told.setdefault(who, []).append(entry)

    def _row(self, name: str) -> Row:
        row = dict(self.rows.get(name) or self.gone[name])
        if name in self.began:
            row["age_ms"] = round((time.monotonic() - self.began[name]) * 1000)
        return row

    def told_at(self, who: str, name: str, state: str, after: float = 0.0) -> float | None:
        """Returns when someone was first told a host's state after a time; None if not yet."""
        for at, host, told, _ in list(self.told.get(who, ())):
            if host == name and told == state and at >= after:
                return at
        return None


def write_terms(path: Path, registry: Registry, port: int, more: str = "") -> None:
    """Writes the terms of a small service; `more` are further lists."""
    path.write_text(TERMS.format(registry=registry.address, port=port, more=more))


def read_frames(sock: socket.socket, take: Callable[[pb.Frame], None]) -> None:
    """Reads frames until the peer closes."""
    received = bytearray()
    while data := sock.recv(65536):
        received += data
        while len(received) >= HEAD.size:
            (length,) = HEAD.unpack_from(received)
            if len(received) < HEAD.size + length:
                break
            frame = pb.Frame.FromString(bytes(received[HEAD.size : HEAD.size + length]))
            del received[: HEAD.size + length]
            take(frame)


def encode_frame(**fields: Any) -> bytes:
    """Returns an encoded frame."""
    body = pb.Frame(**fields).SerializeToString()
    return HEAD.pack(len(body)) + body


class Host:
    """A host that fulfils each exchange meant for it at once, and answers probes."""

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name, self.zone = name, zone
        self.arrivals: list[tuple[float, int]] = []
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind((address, 0))
        self.server.listen(64)
        self.address = f"{address}:{self.server.getsockname()[1]}"
        self.id = f"{name}@{self.address}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self.server.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        def take(frame: pb.Frame) -> None:
            kind = frame.WhichOneof("what")
            if kind == "exchange":
                is_own = frame.exchange.host == self.id
                if is_own:
                    self.arrivals.append((now(), frame.exchange.token))
                outcome = pb.FULFILLED if is_own else pb.REFUSED
                sock.sendall(encode_frame(answer=pb.Answer(id=frame.exchange.id, outcome=outcome)))
            elif kind == "probe":
                gauges = pb.Gauges(util=0.1, queue=0, inflight=0, latency=2)
                sock.sendall(
                    encode_frame(
                        answer=pb.Answer(id=frame.probe.id, outcome=pb.FULFILLED, gauges=gauges)
                    )
                )

        try:
            read_frames(sock, take)
        except OSError:
            pass
        finally:
            sock.close()


class Client:
    """Sends exchanges of one class to a proxy at a steady rate and counts the answers."""

    def __init__(self, port: int, rate: float, first_token: int) -> None:
        self.port, self.rate = port, rate
        self.token = self.first_token = first_token
        self.sent = 0
        self.outcomes: dict[int, int] = {}
        self.answers: list[tuple[float, int, str]] = []
        self.stopped = False
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while not self.stopped:
            try:
                with socket.create_connection(("127.0.0.1", self.port), 2) as sock:
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    threading.Thread(target=self._read, args=(sock,), daemon=True).start()
                    sock.sendall(encode_frame(hello=pb.Hello(who="client", zone="")))
                    while not self.stopped:
                        self._send(sock)
                        time.sleep(1 / self.rate)
            except OSError:
                time.sleep(0.2)

    def _send(self, sock: socket.socket) -> None:
        self.token += 1
        self.sent += 1
        exchange = pb.Exchange(
            id=self.sent, kind=0, token=self.token, attempt=1, left_ms=2000, client_try=1
        )
        sock.sendall(encode_frame(exchange=exchange))

    def _read(self, sock: socket.socket) -> None:
        def take(frame: pb.Frame) -> None:
            if frame.WhichOneof("what") == "answer":
                outcome = frame.answer.outcome
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
                self.answers.append((now(), outcome, frame.answer.cause))

        with contextlib.suppress(OSError):
            read_frames(sock, take)
