"""The sockets of the metrics: rate-limited receivers, and senders that never delay serving proxies.

Each sender has its own greenlet, and a spool decouples it from its callers: putting a point only
writes into a bounded dictionary. If the remote receiver stops reading, refuses connections or is
down, points are dropped and counted, and nothing else is affected.
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

BATCH_POINTS = 500
SEND_TIMEOUT = 5.0  # seconds without progress before the connection is closed
ACK_POLL_INTERVAL = 0.005
MIN_RETRY_WAIT, MAX_RETRY_WAIT = 0.2, 30.0

OnValue = Callable[..., None]  # series, value, time of measurement (0: now), collectd kind


class RateLimit:
    """Limits the lines a second of all peers together; callers drop and count the excess."""

    def __init__(self, lines: int) -> None:
        self.lines, self.left, self.second = lines, lines, 0

    def allows(self, lines: int = 1) -> bool:
        """Counts `lines` in the current second; returns whether they are within the limit."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.left = second, self.lines
        self.left -= lines
        return self.left >= 0


class GraphiteReceiver:
    """Receives plaintext over TCP and UDP on one address, with a greenlet for each connection."""

    def __init__(
        self,
        address: tuple[str, int],
        on_value: OnValue,
        connections: int,
        lines: int,
        counts: dict[str, int],
    ) -> None:
        self.on_value, self.connections, self.counts = on_value, connections, counts
        self.rate_limit, self.open = RateLimit(lines), 0
        self.tcp = StreamServer(address, self._serve_connection, backlog=128)
        self.tcp.start()
        self.port: int = self.tcp.server_port
        self.udp = DatagramServer((address[0], self.port), self._handle_datagram)
        self.udp.start()

    def stop(self) -> None:
        """Closes the listening sockets."""
        self.tcp.stop(0)
        self.udp.stop()

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _serve_connection(self, sock: socket.socket, _address: Any) -> None:
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
                    self._handle_line(line)
                gevent.sleep(0)  # lets other greenlets run during a flood
        except OSError:
            pass
        finally:
            self.open -= 1
            sock.close()

    def _handle_datagram(self, data: bytes, _address: Any) -> None:
        for line in Lines().feed(data if data.endswith(b"\n") else data + b"\n"):
            self._handle_line(line)

    def _handle_line(self, line: bytes | Malformed) -> None:
        if not self.rate_limit.allows():
            self._count("graphite lines over the rate")
            return
        try:
            if isinstance(line, Malformed):
                raise line
            point = parse_line(line)
        except Malformed:
            self._count("graphite lines malformed")
            return
        self.on_value(point.series, point.value, point.at)


class CollectdReceiver:
    """Receives binary packets over UDP."""

    def __init__(
        self,
        address: tuple[str, int],
        on_value: OnValue,
        lines: int,
        counts: dict[str, int],
        required: str = "",
        password_of: Callable[[str], str | None] | None = None,
    ) -> None:
        self.on_value, self.counts, self.required, self.password_of = (
            on_value,
            counts,
            required,
            password_of,
        )
        self.types = Types.bundled()
        self.rate_limit = RateLimit(lines)
        self.udp = DatagramServer(address, self._handle_datagram)
        self.udp.start()
        self.port: int = self.udp.server_port

    def stop(self) -> None:
        """Closes the socket."""
        self.udp.stop()

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _handle_datagram(self, data: bytes, _address: Any) -> None:
        if not self.rate_limit.allows():
            self._count("collectd packets over the rate")
            return
        try:
            lists = collectd.decode(data, self.password_of, self.required)
        except Malformed:
            self._count("collectd packets malformed")
            return
        for value_list in lists:
            for reading in collectd.values_of(value_list, self.types):
                self.on_value(*reading)


class Sender:
    """Sends the points of a spool; `connect` and `write` may block the sender's own greenlet."""

    def __init__(self, spool: Spool, seed: int, overflow: Overflow | None = None) -> None:
        self.spool, self.random, self.overflow = spool, random.Random(seed), overflow
        if overflow:
            spool.spill = overflow.spill
        self.wakeup = Event()
        self.sock: socket.socket | None = None
        self.greenlet = gevent.spawn(self._run)

    def put(self, point: Point, how: str = "last") -> None:
        """Adds a point to the spool and wakes the sender; see `Spool` for `how`."""
        self.spool.put(point, how)
        self.wakeup.set()

    def stop(self) -> None:
        """Stops sending; with an overflow, saves the unsent points there."""
        self.greenlet.kill()
        if self.sock:
            self.sock.close()
        if self.overflow:
            self.overflow.stop([*self.spool.waiting.items()])

    @property
    def books(self) -> dict[str, int]:
        """The counts of points and failures; put + found = sent + dropped + held at all times.

        `found` is what the overflow's files held at the start.
        """
        counts, overflow = self.spool.counts, self.overflow
        file_counts = overflow.counts if overflow else Counter[str]()
        return {
            "put": counts["put"],
            "found": file_counts["found"],
            "sent": counts["sent"] + file_counts["sent"],
            "dropped": counts["dropped"] + file_counts["dropped"],
            "held": self.spool.held + (overflow.held if overflow else 0),
            "folded": counts["folded"],
            "filed": overflow.held if overflow else 0,
            "refusals": counts["refusals"],
            "failures": counts["failures"],
            "file_failures": file_counts["failures"],
        }

    def _next_batch(
        self,
    ) -> tuple[list[tuple[Key, Waiting]], Callable[[list[tuple[Key, Waiting]]], None]] | None:
        """Returns the next batch and the function that confirms it; memory first, then files."""
        if batch := self.spool.take(BATCH_POINTS):
            return batch, self.spool.sent
        if self.overflow and (batch := self.overflow.take(BATCH_POINTS)):
            return batch, self.overflow.sent
        return None

    def _run(self) -> None:
        wait = MIN_RETRY_WAIT
        while True:
            self.wakeup.clear()
            while next_batch := self._next_batch():
                batch, confirm = next_batch
                try:
                    self.sock = self.sock or self.connect()
                    self.write(self.sock, batch)
                except OSError as error:
                    # Part of the batch may have arrived. Sending it again is harmless, because
                    # Graphite keeps the last value of a second.
                    self.spool.counts[
                        "failures" if error.errno != errno.ECONNREFUSED else "refusals"
                    ] += 1
                    if self.sock:
                        self.sock.close()
                        self.sock = None
                    gevent.sleep(wait * (0.5 + self.random.random()))
                    wait = min(MAX_RETRY_WAIT, 2 * wait)
                    continue
                confirm(batch)
                wait = MIN_RETRY_WAIT
            self.wakeup.wait()

    def connect(self) -> socket.socket:
        """Returns a new socket to the remote receiver; raises `OSError`."""
        raise NotImplementedError

    def write(self, sock: socket.socket, batch: list[tuple[Key, Waiting]]) -> None:
        """Sends the batch; raises `OSError` if it may not have arrived."""
        raise NotImplementedError


class GraphiteSender(Sender):
    """Sends plaintext over TCP; a batch counts as sent once the peer's kernel acknowledged it."""

    def __init__(
        self, to: tuple[str, int], spool: Spool, seed: int, overflow: Overflow | None = None
    ) -> None:
        self.to = to
        super().__init__(spool, seed, overflow)

    def connect(self) -> socket.socket:
        """Connects with a timeout, which then also applies to each write."""
        sock: socket.socket = gevent.socket.create_connection(self.to, SEND_TIMEOUT)
        sock.settimeout(SEND_TIMEOUT)
        return sock

    def write(self, sock: socket.socket, batch: list[tuple[Key, Waiting]]) -> None:
        """Sends the batch and waits until the peer has acknowledged all of it."""
        # Only a read shows that the receiver has closed the connection: the first write after that
        # would appear to succeed.
        try:
            if sock._sock.recv(1, socket.MSG_DONTWAIT) == b"":  # type: ignore[attr-defined]
                raise ConnectionResetError("receiver closed the connection")
        except BlockingIOError:
            pass
        lines = (
            format_line(Point(series, waiting.value, at, tags))
            for (series, tags, at), waiting in batch
        )
        sock.sendall(b"".join(lines))
        # Data in this machine's send buffer is not yet delivered: if the connection broke, it would
        # be lost but counted as sent.
        deadline = time.monotonic() + SEND_TIMEOUT
        while _unacknowledged(sock):
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"receiver did not acknowledge all data within {SEND_TIMEOUT:g} s"
                )
            gevent.sleep(ACK_POLL_INTERVAL)


def _unacknowledged(sock: socket.socket) -> int:
    """Returns the number of bytes that the peer's kernel has not acknowledged."""
    return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4), sys.byteorder)


class CollectdSender(Sender):
    """Sends binary packets over UDP, where delivery is unknown: what was sent counts as sent."""

    def __init__(
        self,
        to: tuple[str, int],
        spool: Spool,
        seed: int,
        host: str,
        interval: float,
        protect: Callable[[bytes], bytes] = lambda packet: packet,
        overflow: Overflow | None = None,
    ) -> None:
        self.to, self.host, self.interval, self.protect = to, host, interval, protect
        super().__init__(spool, seed, overflow)

    def connect(self) -> socket.socket:
        """Returns a UDP socket that sends to the remote address."""
        sock: socket.socket = gevent.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.connect(self.to)
        return sock

    def write(self, sock: socket.socket, batch: list[tuple[Key, Waiting]]) -> None:
        """Sends the batch as gauges of this host; the first component of a series is the plugin."""
        lists = []
        for (series, tags, at), waiting in batch:
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
                    self.interval,
                    [(collectd.GAUGE, waiting.value)],
                )
            )
        for packet in collectd.encode(lists):
            sock.send(self.protect(packet))
