"""Exchange frames over TCP: a four-byte length, then one `Frame`. `Link` keeps a connection that many share."""

import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent.event import AsyncResult
from google.protobuf.message import DecodeError

from ironfall.generated import ironfall_pb2 as pb

HEAD = struct.Struct(">I")
FRAME_MOST = 64 * 1024
GAUGES = ("util", "queue", "inflight", "latency")
# The module's names of gauges, by those on the wire.
NAMES = {"util": "busy", "queue": "q", "inflight": "rif", "latency": "lat_ms"}


def address_of(host: str) -> tuple[str, int]:
    """
    >>> address_of("node7@127.0.2.7:9000")
    ('127.0.2.7', 9000)
    """
    ip, _, port = host.rpartition("@")[2].rpartition(":")
    return ip, int(port)


class BadFrame(OSError):
    """The peer's bytes are no frame; the connection is of no more use."""


def frame(**what: Any) -> bytes:
    body = pb.Frame(**what).SerializeToString()
    return bytes(HEAD.pack(len(body)) + body)


def frames(sock: socket.socket) -> Iterator[pb.Frame]:
    """Frames until the peer closes; raises `BadFrame` on what is none, OSError on a cut."""
    held = bytearray()
    while True:
        while len(held) >= 4:
            (length,) = HEAD.unpack_from(held)
            if length > FRAME_MOST:
                raise BadFrame(f"a frame of {length} bytes is over the limit of {FRAME_MOST}")
            if len(held) < 4 + length:
                break
            try:
                yield pb.Frame.FromString(bytes(held[4 : 4 + length]))
            except DecodeError:
                raise BadFrame("the bytes are no frame") from None
            del held[: 4 + length]
        data = sock.recv(64 * 1024)
        if not data:
            return
        held += data


def read_gauges(gauges: pb.Gauges) -> dict[str, float]:
    """Gauges that are there, by the module's names; what is not finite or below nought is no reading."""
    found = {}
    for name in GAUGES:
        if gauges.HasField(name):
            value = getattr(gauges, name)
            if 0 <= value < 1e9:
                found[NAMES[name]] = value
    return found


class Outbox:
    """Frames to one peer, written by one greenlet: many at once go in one send. Bounded by frames."""

    def __init__(self, sock: socket.socket, most: int = 4096) -> None:
        self.sock, self.most = sock, most
        self.waiting: list[bytes] = []
        self.wake = gevent.event.Event()
        self.writer = gevent.spawn(self._write)

    def put(self, data: bytes) -> bool:
        """False when the peer takes nothing and the box is full."""
        if len(self.waiting) >= self.most or self.writer.dead:
            return False
        self.waiting.append(data)
        self.wake.set()
        return True

    def _write(self) -> None:
        try:
            while True:
                self.wake.wait()
                self.wake.clear()
                data, self.waiting = b"".join(self.waiting), []
                self.sock.sendall(data)
        except OSError:
            pass

    def close(self) -> None:
        self.writer.kill(block=False)


class Link:
    """A connection to a host or proxy on which exchanges go side by side.

    `send` returns an `AsyncResult` that ends with the `Answer`, or with None when the connection is lost: the
    exchange may then have run.
    """

    def __init__(
        self,
        address: tuple[str, int],
        hello: pb.Hello,
        connect_time: float,
        lost: Callable[["Link"], None] = lambda _link: None,
    ) -> None:
        """Connects; raises OSError."""
        self.sock = gevent.socket.create_connection(address, connect_time)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lost = lost
        self.calls: dict[int, AsyncResult] = {}
        self.last = 0
        self.open = True
        self.outbox = Outbox(self.sock)
        self.outbox.put(frame(hello=hello))
        self.reader = gevent.spawn(self._read)

    def send(self, what: str, message: Any) -> AsyncResult:
        self.last = self.last % 0xFFFF_FFFF + 1
        message.id = self.last
        result = AsyncResult()
        self.calls[self.last] = result
        if not self.open or not self.outbox.put(frame(**{what: message})):
            self.calls.pop(self.last, None)
            result.set(None)
        return result

    def cancel(self, number: int) -> None:
        """Whoever gives up on an exchange says so at once; its answer, if one comes, is passed over."""
        if self.calls.pop(number, None) is not None:
            self.outbox.put(frame(cancel=pb.Cancel(id=number)))

    def _read(self) -> None:
        try:
            for one in frames(self.sock):
                if one.WhichOneof("what") == "answer":
                    call = self.calls.pop(one.answer.id, None)
                    if call is not None:
                        call.set(one.answer)
        except OSError:
            pass
        self.close()

    def close(self) -> None:
        if self.open:
            self.open = False
            self.outbox.close()
            self.sock.close()
            calls, self.calls = self.calls, {}
            for call in calls.values():
                call.set(None)
            self.lost(self)
            self.reader.kill(block=False)
