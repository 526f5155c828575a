"""Dials and reads with time limits that the director's own standstill does not use up."""

import random
import socket
import time

import gevent
import gevent.socket

Address = tuple[str, int]
READ_BYTES = 64 * 1024


class Backoff:
    """Exponential backoff with jitter between attempts of what fails."""

    def __init__(self, first_s: float, longest_s: float, source: random.Random) -> None:
        """Starts with the first delay; each next is twice as long, up to the longest."""
        self._first_s = first_s
        self._longest_s = longest_s
        self._random = source
        self._next_s = first_s

    def wait(self) -> None:
        """Waits for half to one and a half times the delay, and doubles it."""
        gevent.sleep(self._next_s * (0.5 + self._random.random()))
        self._next_s = min(self._longest_s, 2 * self._next_s)

    def reset(self) -> None:
        """Goes back to the first delay, after a success."""
        self._next_s = self._first_s


def dial(address: Address, timeout_s: float) -> gevent.socket.socket:
    """Opens a connection that sends small messages at once; raises `OSError` if it can't."""
    sock = gevent.socket.create_connection(address, timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read(sock: gevent.socket.socket, timeout_s: float) -> bytes:
    """Returns the next bytes, or none at the end of the stream.

    Raises:
        TimeoutError: Nothing came in time.
    """
    sock.settimeout(timeout_s)
    try:
        return bytes(sock.recv(READ_BYTES))
    except TimeoutError:
        # A process that was stopped finds its time up and the bytes there: the peer was not late.
        return read_available(sock)


def read_until(sock: gevent.socket.socket, deadline: float) -> bytes:
    """Reads as `read` does, up to a point in monotonic time.

    A deadline does not move with each piece of an answer, as a time limit for each read would.
    """
    left_s = deadline - time.monotonic()
    return read(sock, left_s) if left_s > 0 else read_available(sock)


def read_available(sock: gevent.socket.socket) -> bytes:
    """Returns bytes that are there already.

    Raises:
        TimeoutError: None are.
    """
    try:
        return bytes(sock._sock.recv(READ_BYTES, socket.MSG_DONTWAIT))
    except BlockingIOError:
        raise TimeoutError("nothing came in time") from None
