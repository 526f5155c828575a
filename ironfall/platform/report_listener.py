"""Listens on the director's address for collectors' reports and for heartbeats.

A connection that has not joined within a second is closed. If there are too many of them, the
oldest are closed, so that they can't use up the file descriptors that the relay, discovery and
collectors need.
"""

import contextlib
import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Self

import gevent
import gevent.socket
from gevent.event import Event
from gevent.server import StreamServer

from ironfall.platform.message_parser import (
    MAX_LINE_BYTES,
    InvalidMessageError,
    LineSplitter,
    MalformedStreamError,
    MessageKind,
    parse_message,
)
from ironfall.platform.report_intake import ReportIntake
from ironfall.platform.runtime import Runtime
from ironfall.platform.sockets import Address, read, read_until

JOIN_TIMEOUT_S = 1.0
REJECT_TIMEOUT_S = 0.2
MIN_WRITE_TIMEOUT_S = 0.001
# A collector whose zone has traffic reports in each interval. It is closed after the longer of this
# time and this number of intervals without data.
MIN_IDLE_TIMEOUT_S = 30.0
IDLE_TIMEOUT_INTERVALS = 10
BACKLOG = 512
# Connections accepted at once. Up to this many descriptors may be open beyond the limits until the
# connections that were closed to make room have ended.
MAX_ACCEPTED_AT_ONCE = 16
# Lines of one connection that are handled before other greenlets run.
LINES_PER_SLICE = 64
# A zone has one collector. The others are its connections that broke without notice, and new ones
# after a reconnect.
COLLECTORS_PER_ZONE = 4
MIN_COLLECTORS = 48
HEARTBEAT_ANSWER = b"hb_ok\r\n"
REJECTION = b"reject\r\n"

Connections = OrderedDict[gevent.Greenlet, None]


@dataclass(frozen=True)
class ListenerLimits:
    """Limits on connections.

    Attributes:
        unjoined: Maximum number of connections that have not joined.
        joined: Maximum number of collectors.
        idle_timeout_s: Seconds without data after which a collector is closed.
    """

    unjoined: int
    joined: int
    idle_timeout_s: float

    @classmethod
    def for_service(cls, zones: int, report_interval_s: float, max_unjoined: int) -> Self:
        """Derives the limits from the service's settings."""
        return cls(
            unjoined=max_unjoined,
            joined=max(MIN_COLLECTORS, COLLECTORS_PER_ZONE * zones),
            idle_timeout_s=max(MIN_IDLE_TIMEOUT_S, IDLE_TIMEOUT_INTERVALS * report_interval_s),
        )


class ReportListener:
    """The server at the director's address, with one greenlet for each connection.

    Attributes:
        is_ready: Set once the director can serve proxies; heartbeats are answered from then on.
        unjoined: The connections that have not joined, oldest first.
        joined: The collectors, ordered by the time of their last data, oldest first.
        server: The listening server.
    """

    def __init__(
        self, address: Address, intake: ReportIntake, limits: ListenerLimits, runtime: Runtime
    ) -> None:
        self._intake = intake
        self._limits = limits
        self._runtime = runtime
        self.is_ready = Event()
        self.unjoined: Connections = OrderedDict()
        self.joined: Connections = OrderedDict()
        self.server = StreamServer(address, self._serve, backlog=BACKLOG)
        self.server.max_accept = MAX_ACCEPTED_AT_ONCE

    def start(self) -> None:
        """Starts to listen; raises `OSError` if the address is not available."""
        self.server.start()

    def _serve(self, sock: gevent.socket.socket, _address: object) -> None:
        connection = gevent.getcurrent()
        self._admit(self.unjoined, connection, self._limits.unjoined)
        try:
            self._read_messages(sock, connection)
        except MalformedStreamError as error:
            is_unjoined = connection in self.unjoined
            self._runtime.count("strangers rejected" if is_unjoined else "collectors cut")
            if connection in self.joined:
                self._runtime.log.info(
                    "closing a collector that sent malformed data", cause=str(error)
                )
            _reject(sock)
        except TimeoutError:
            if connection in self.unjoined:
                self._runtime.count("strangers too slow")
                _reject(sock)
            elif connection in self.joined:
                self._runtime.count("collectors silent")
        except OSError:
            pass  # the peer closed the connection
        finally:
            self.unjoined.pop(connection, None)
            self.joined.pop(connection, None)
            sock.close()

    def _admit(self, connections: Connections, connection: gevent.Greenlet, limit: int) -> None:
        """Adds a connection, and closes the oldest ones if there are more than the limit."""
        connections[connection] = None
        while len(connections) > limit:
            oldest, _ = connections.popitem(last=False)
            oldest.kill(block=False)
            self._runtime.count("connections let go for newer ones")

    def _read_messages(self, sock: gevent.socket.socket, connection: gevent.Greenlet) -> None:
        splitter = LineSplitter()
        if not self._read_until_joined(sock, connection, splitter):
            return
        while data := read(sock, self._limits.idle_timeout_s):
            if connection not in self.joined:
                return  # closed in the meantime to make room for a newer one
            self.joined.move_to_end(connection)
            self._handle_lines(sock, splitter.feed(data))

    def _read_until_joined(
        self, sock: gevent.socket.socket, connection: gevent.Greenlet, splitter: LineSplitter
    ) -> bool:
        """Reads until the collector joins; also handles lines received with the joining message.

        Returns:
            Whether it has joined.

        Raises:
            TimeoutError: It has not joined in time, even if it sent other data.
        """
        deadline = time.monotonic() + JOIN_TIMEOUT_S
        while data := read_until(sock, deadline):
            lines = splitter.feed(data)
            for index, line in enumerate(lines):
                _yield_periodically(index)
                if not line:
                    continue
                if not self._is_joining_message(line):
                    deadline += self._wait_until_ready()
                    _answer_heartbeat(sock, deadline)
                    continue
                if connection not in self.unjoined:
                    return False  # closed in the meantime to make room for a newer one
                del self.unjoined[connection]
                self._admit(self.joined, connection, self._limits.joined)
                splitter.max_line_bytes = MAX_LINE_BYTES
                self._handle_lines(sock, lines[index + 1 :])
                return True
            gevent.sleep(0)
            # Checked only after the read: if the director itself stalled past the deadline, the
            # data that had arrived by then still counts.
            if time.monotonic() > deadline:
                raise TimeoutError(f"the peer sent data but did not join within {JOIN_TIMEOUT_S} s")
        return False

    def _is_joining_message(self, line: bytes) -> bool:
        """Returns whether a line is a joining message; before it, only heartbeats are allowed.

        Raises:
            MalformedStreamError: The line is neither.
        """
        try:
            kind, fields = parse_message(line)
            if kind is MessageKind.TELEMETRY:
                self._intake.check_zone(fields)
        except InvalidMessageError as error:
            raise MalformedStreamError(str(error)) from None
        if kind not in (MessageKind.TELEMETRY, MessageKind.HEARTBEAT):
            raise MalformedStreamError(f"{kind} received before the joining message")
        return kind is MessageKind.TELEMETRY

    def _wait_until_ready(self) -> float:
        """Waits until heartbeats may be answered; returns the seconds waited."""
        if self.is_ready.is_set():
            return 0.0
        started = time.monotonic()
        self.is_ready.wait()
        return time.monotonic() - started

    def _handle_lines(self, sock: gevent.socket.socket, lines: list[bytes]) -> None:
        for index, line in enumerate(lines):
            self._handle_line(sock, line)
            _yield_periodically(index)
        gevent.sleep(0)

    def _handle_line(self, sock: gevent.socket.socket, line: bytes) -> None:
        """Handles a collector's message; an invalid one is counted and skipped."""
        if not line:
            return
        try:
            message = parse_message(line)
            if message.kind is MessageKind.HEARTBEAT:
                sock.sendall(HEARTBEAT_ANSWER)
            else:
                self._intake.accept(message)
        except InvalidMessageError:
            self._runtime.count("reports passed over")
        else:
            self._runtime.count("reports")


def _yield_periodically(line_index: int) -> None:
    # A peer that sends without pause always has data to read, so no other greenlet would run.
    if line_index % LINES_PER_SLICE == LINES_PER_SLICE - 1:
        gevent.sleep(0)


def _answer_heartbeat(sock: gevent.socket.socket, deadline: float) -> None:
    sock.settimeout(max(MIN_WRITE_TIMEOUT_S, deadline - time.monotonic()))
    sock.sendall(HEARTBEAT_ANSWER)


def _reject(sock: gevent.socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.settimeout(REJECT_TIMEOUT_S)
        sock.sendall(REJECTION)
