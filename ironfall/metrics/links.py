"""The sockets of the metrics: receivers with their limits, senders that never hold up what serves proxies.

A sender has a greenlet of its own and a spool between it and everybody else: to put a point is to write into a bounded
dictionary. A receiver that stops reading, refuses or is gone costs points, counted, and nothing else.
"""

import errno
import fcntl
import random
import socket
import sys
import termios
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import DatagramServer, StreamServer

from ironfall.metrics import collectd
from ironfall.metrics.graphite import Lines, format_line, parse_line
from ironfall.metrics.overflow import Overflow
from ironfall.metrics.point import Malformed, Point
from ironfall.metrics.spool import Key, Spool, Waiting
from ironfall.metrics.types import Types

BATCH = 500
SEND_TIME = 5.0  # seconds a receiver may take nothing before it is cut
ACK_LOOK = 0.005
FIRST_WAIT, LONGEST_WAIT = 0.2, 30.0

Take = Callable[..., None]  # series, value, measured at (0: now), and for a counter what kind it is


class Allowance:
    """So many lines a second, of all peers together; the rest is passed over and counted."""

    def __init__(self, lines: int) -> None:
        self.lines, self.left, self.second = lines, lines, 0

    def take(self, lines: int = 1) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.left = second, self.lines
        self.left -= lines
        return self.left >= 0


class GraphiteReceiver:
    """Plaintext over TCP and UDP on one address, each connection a greenlet."""

    def __init__(
        self,
        address: tuple[str, int],
        take: Take,
        connections: int,
        lines: int,
        counts: dict[str, int],
    ) -> None:
        self.take, self.connections, self.counts = take, connections, counts
        self.allowance, self.open = Allowance(lines), 0
        self.tcp = StreamServer(address, self._serve, backlog=128)
        self.tcp.start()
        self.port: int = self.tcp.server_port
        self.udp = DatagramServer((address[0], self.port), self._datagram)
        self.udp.start()

    def stop(self) -> None:
        self.tcp.stop(0)
        self.udp.stop()

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _serve(self, sock: socket.socket, _address: Any) -> None:
        if self.open >= self.connections:
            self._count("graphite connections refused")
            sock.close()
            return
        self.open += 1
        lines = Lines()
        sock.settimeout(120)
        try:
            while data := sock.recv(64 * 1024):
                for line in lines.feed(data):
                    self._line(line)
                gevent.sleep(0)  # a flood must leave the others their turn
        except OSError:
            pass
        finally:
            self.open -= 1
            sock.close()

    def _datagram(self, data: bytes, _address: Any) -> None:
        for line in Lines().feed(data if data.endswith(b"\n") else data + b"\n"):
            self._line(line)

    def _line(self, line: bytes | Malformed) -> None:
        if not self.allowance.take():
            self._count("graphite lines over the rate")
            return
        try:
            if isinstance(line, Malformed):
                raise line
            point = parse_line(line)
        except Malformed:
            self._count("graphite lines malformed")
            return
        self.take(point.series, point.value, point.at)


class CollectdReceiver:
    """Binary packets over UDP."""

    def __init__(
        self,
        address: tuple[str, int],
        take: Take,
        lines: int,
        counts: dict[str, int],
        must: str = "",
        secret: Callable[[str], str | None] | None = None,
    ) -> None:
        self.take, self.counts, self.must, self.secret = take, counts, must, secret
        self.types = Types.own()
        self.allowance = Allowance(lines)
        self.udp = DatagramServer(address, self._datagram)
        self.udp.start()
        self.port: int = self.udp.server_port

    def stop(self) -> None:
        self.udp.stop()

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _datagram(self, data: bytes, _address: Any) -> None:
        if not self.allowance.take():
            self._count("collectd packets over the rate")
            return
        try:
            lists = collectd.decode(data, self.secret, self.must)
        except Malformed:
            self._count("collectd packets malformed")
            return
        for one in lists:
            for reading in collectd.values_of(one, self.types):
                self.take(*reading)


class Sender:
    """Sends a spool by `connect` and `write`; both may block, on this greenlet alone."""

    def __init__(self, spool: Spool, seed: int, overflow: Overflow | None = None) -> None:
        self.spool, self.chance, self.overflow = spool, random.Random(seed), overflow
        if overflow:
            spool.spill = overflow.spill
        self.stir = Event()
        self.sock: socket.socket | None = None
        self.greenlet = gevent.spawn(self._run)

    def put(self, point: Point, how: str = "last") -> None:
        self.spool.put(point, how)
        self.stir.set()

    def stop(self) -> None:
        self.greenlet.kill()
        if self.sock:
            self.sock.close()
        if self.overflow:
            self.overflow.stop([*self.spool.waiting.items()])

    @property
    def books(self) -> dict[str, int]:
        """put + found = sent + dropped + held, at all times; `found` was in the overflow's file at start."""
        counts, over = self.spool.counts, self.overflow
        more = over.counts if over else Counter[str]()
        return {
            "put": counts["put"],
            "found": more["found"],
            "sent": counts["sent"] + more["sent"],
            "dropped": counts["dropped"] + more["dropped"],
            "held": self.spool.held + (over.held if over else 0),
            "folded": counts["folded"],
            "filed": over.held if over else 0,
            "refusals": counts["refusals"],
            "failures": counts["failures"],
            "file_failures": more["failures"],
        }

    def _next(
        self,
    ) -> tuple[list[tuple[Key, Waiting]], Callable[[list[tuple[Key, Waiting]]], None]] | None:
        """What to send next, the newest first: what waits in memory, then what was put by in the file."""
        if batch := self.spool.take(BATCH):
            return batch, self.spool.sent
        if self.overflow and (batch := self.overflow.take(BATCH)):
            return batch, self.overflow.sent
        return None

    def _run(self) -> None:
        wait = FIRST_WAIT
        while True:
            self.stir.clear()
            while following := self._next():
                batch, sent = following
                try:
                    self.sock = self.sock or self.connect()
                    self.write(self.sock, batch)
                except OSError as cause:
                    # What was under way may have come in part: Graphite keeps the last value of a second, so that
                    # sending it again changes nothing.
                    self.spool.counts[
                        "failures" if cause.errno != errno.ECONNREFUSED else "refusals"
                    ] += 1
                    if self.sock:
                        self.sock.close()
                        self.sock = None
                    gevent.sleep(wait * (0.5 + self.chance.random()))
                    wait = min(LONGEST_WAIT, 2 * wait)
                    continue
                sent(batch)
                wait = FIRST_WAIT
            self.stir.wait()

    def connect(self) -> socket.socket:
        raise NotImplementedError

    def write(self, sock: socket.socket, batch: list[tuple[Key, Waiting]]) -> None:
        raise NotImplementedError


class GraphiteSender(Sender):
    def __init__(
        self, to: tuple[str, int], spool: Spool, seed: int, overflow: Overflow | None = None
    ) -> None:
        self.to = to
        super().__init__(spool, seed, overflow)

    def connect(self) -> socket.socket:
        sock: socket.socket = gevent.socket.create_connection(self.to, SEND_TIME)
        sock.settimeout(SEND_TIME)
        return sock

    def write(self, sock: socket.socket, batch: list[tuple[Key, Waiting]]) -> None:
        # A receiver that closed is noticed by reading: the first write after it would seem to succeed.
        try:
            if sock._sock.recv(1, socket.MSG_DONTWAIT) == b"":  # type: ignore[attr-defined]
                raise ConnectionResetError("the receiver closed")
        except BlockingIOError:
            pass
        lines = (format_line(Point(series, it.value, at, tags)) for (series, tags, at), it in batch)
        sock.sendall(b"".join(lines))
        # Taken by this machine's kernel is not sent: what it still holds at a cut would be lost and counted as come.
        ends = time.monotonic() + SEND_TIME
        while _unacknowledged(sock):
            if time.monotonic() > ends:
                raise TimeoutError("the receiver takes nothing")
            gevent.sleep(ACK_LOOK)


def _unacknowledged(sock: socket.socket) -> int:
    """Bytes that the peer's machine has not acknowledged."""
    return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4), sys.byteorder)


class CollectdSender(Sender):
    """Over UDP, where nothing tells whether it came: sent is sent."""

    def __init__(
        self,
        to: tuple[str, int],
        spool: Spool,
        seed: int,
        host: str,
        every: float,
        seal: Callable[[bytes], bytes] = lambda packet: packet,
        overflow: Overflow | None = None,
    ) -> None:
        self.to, self.host, self.every, self.seal = to, host, every, seal
        super().__init__(spool, seed, overflow)

    def connect(self) -> socket.socket:
        sock: socket.socket = gevent.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.connect(self.to)
        return sock

    def write(self, sock: socket.socket, batch: list[tuple[Key, Waiting]]) -> None:
        lists = []
        for (series, tags, at), it in batch:
            plugin, _, name = series.partition(".")
            name = ".".join([name, *(value for _, value in tags)])
            lists.append(
                collectd.ValueList(
                    self.host,
                    plugin,
                    "",
                    "gauge",
                    name[:120],
                    at,
                    self.every,
                    [(collectd.GAUGE, it.value)],
                )
            )
        for packet in collectd.encode(lists):
            sock.send(self.seal(packet))
