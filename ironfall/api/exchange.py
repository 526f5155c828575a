"""The exchange protocol over TCP, between clients, proxies and hosts.

A frame is a four-byte length, most significant byte first, and a protobuf `Frame`. A `Link` is a
connection on which many exchanges run at once.
"""

import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent.event import AsyncResult
from google.protobuf.message import DecodeError

from ironfall.generated import ironfall_pb2 as pb

HEAD = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024
WIRE_GAUGES = ("util", "queue", "inflight", "latency")
# The names of gauges in the decisions' interface, by their names on the wire.
GAUGE_NAMES = {"util": "busy", "queue": "q", "inflight": "rif", "latency": "lat_ms"}


def address_of(host: str) -> tuple[str, int]:
    """Returns the address of a host, which its id ends with.

    >>> address_of("node7@127.0.2.7:9000")
    ('127.0.2.7', 9000)
    """
    ip, _, port = host.rpartition("@")[2].rpartition(":")
    return ip, int(port)


class FrameError(OSError):
    """The peer sent bytes that are no frame; the connection can't be used any further."""


def frame(**what: Any) -> bytes:
    """Returns an encoded frame; the keyword is the field of `Frame` that the message goes into."""
    body = pb.Frame(**what).SerializeToString()
    return bytes(HEAD.pack(len(body)) + body)


def frames(sock: socket.socket) -> Iterator[pb.Frame]:
    """Yields the frames that a peer sends until it closes the connection.

    Raises:
        FrameError: The bytes are malformed, or a frame is too large.
        OSError: The connection is lost.
    """
    received = bytearray()
    while True:
        while len(received) >= 4:
            (length,) = HEAD.unpack_from(received)
            if length > MAX_FRAME_BYTES:
                raise FrameError(
                    f"a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
                )
            if len(received) < 4 + length:
                break
            try:
                yield pb.Frame.FromString(bytes(received[4 : 4 + length]))
            except DecodeError:
                raise FrameError(f"malformed frame of {length} bytes") from None
            del received[: 4 + length]
        data = sock.recv(64 * 1024)
        if not data:
            return
        received += data


def read_gauges(gauges: pb.Gauges) -> dict[str, float]:
    """Returns the gauges that are set, by their names in the decisions' interface.

    Values that are negative, not finite, or 1e9 and more are left out.
    """
    readings = {}
    for name in WIRE_GAUGES:
        if gauges.HasField(name):
            value = getattr(gauges, name)
            if 0 <= value < 1e9:
                readings[GAUGE_NAMES[name]] = value
    return readings


class Outbox:
    """A bounded queue of frames to one peer; a greenlet writes all that wait in one send.

    Attributes:
        max_frames: The most frames that may wait.
        waiting: The encoded frames that wait.
        wake: Set when there are frames to write.
        writer: The greenlet that writes; it ends when the connection is lost.
    """

    def __init__(self, sock: socket.socket, max_frames: int = 4096) -> None:
        self.sock, self.max_frames = sock, max_frames
        self.waiting: list[bytes] = []
        self.wake = gevent.event.Event()
        self.writer = gevent.spawn(self._write)

    def put(self, data: bytes) -> bool:
        """Queues an encoded frame; returns False if the queue is full or the connection is lost."""
        if len(self.waiting) >= self.max_frames or self.writer.dead:
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
        """Stops writing and discards the frames that wait; the socket stays open."""
        self.writer.kill(block=False)


class Link:
    """A connection to a host or proxy on which many exchanges run at once.

    Attributes:
        calls: The results that are still to come, by the id of the exchange or probe.
        last: The id of the last exchange or probe that was sent.
        open: Whether the connection is usable.
        on_lost: Called once with this link when the connection is closed, by either side.
    """

    def __init__(
        self,
        address: tuple[str, int],
        hello: pb.Hello,
        connect_timeout_s: float,
        on_lost: Callable[["Link"], None] = lambda _link: None,
    ) -> None:
        """Connects and sends `hello`.

        Args:
            address: Where to connect to.
            hello: The first message on the connection.
            connect_timeout_s: The time to wait for the connection to be established.
            on_lost: Called with this link when the connection is closed.

        Raises:
            OSError: The connection can't be established.
        """
        self.sock = gevent.socket.create_connection(address, connect_timeout_s)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_lost = on_lost
        self.calls: dict[int, AsyncResult] = {}
        self.last = 0
        self.open = True
        self.outbox = Outbox(self.sock)
        self.outbox.put(frame(hello=hello))
        self.reader = gevent.spawn(self._read)

    def send(self, what: str, message: Any) -> AsyncResult:
        """Sends an exchange or a probe, whose `id` is set.

        Args:
            what: The field of `Frame` that the message goes into.
            message: The message.

        Returns:
            A result that ends with the `Answer`, or with None when the connection is lost or can't
            take the message; the exchange may have run all the same.
        """
        self.last = self.last % 0xFFFF_FFFF + 1
        message.id = self.last
        result = AsyncResult()
        self.calls[self.last] = result
        if not self.open or not self.outbox.put(frame(**{what: message})):
            self.calls.pop(self.last, None)
            result.set(None)
        return result

    def cancel(self, number: int) -> None:
        """Tells the peer that an exchange is given up; an answer that still comes is ignored."""
        if self.calls.pop(number, None) is not None:
            self.outbox.put(frame(cancel=pb.Cancel(id=number)))

    def _read(self) -> None:
        try:
            for message in frames(self.sock):
                if message.WhichOneof("what") == "answer":
                    call = self.calls.pop(message.answer.id, None)
                    if call is not None:
                        call.set(message.answer)
        except OSError:
            pass
        self.close()

    def close(self) -> None:
        """Closes the connection, if it is open; the results still to come end with None."""
        if self.open:
            self.open = False
            self.outbox.close()
            self.sock.close()
            calls, self.calls = self.calls, {}
            for call in calls.values():
                call.set(None)
            self.on_lost(self)
            self.reader.kill(block=False)
