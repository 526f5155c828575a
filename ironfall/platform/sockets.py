"""Dials, backs off, and reads with timeouts that ignore stalls of the director's own process."""

import random
import socket
import time

import gevent
import gevent.socket

Address = tuple[str, int]
READ_BYTES = 64 * 1024


class Backoff:
    """Exponential backoff with jitter between attempts of a failing operation."""

    def __init__(self, initial_delay_s: float, max_delay_s: float, source: random.Random) -> None:
        """Delays begin at `initial_delay_s` and double with each wait, up to `max_delay_s`."""
        self._initial_delay_s = initial_delay_s
        self._max_delay_s = max_delay_s
        self._random = source
        self._next_delay_s = initial_delay_s

    def wait(self) -> None:
        """Waits for half to one and a half times the delay, and doubles it."""
        gevent.sleep(self._next_delay_s * (0.5 + self._random.random()))
        self._next_delay_s = min(self._max_delay_s, 2 * self._next_delay_s)

    def reset(self) -> None:
        """Goes back to the first delay, after a success."""
        self._next_delay_s = self._initial_delay_s


def dial(address: Address, timeout_s: float) -> gevent.socket.socket:
    """Opens a TCP connection without Nagle's delay; raises `OSError` if it can't."""
    sock = gevent.socket.create_connection(address, timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read(sock: gevent.socket.socket, timeout_s: float) -> bytes:
    """Returns the next bytes, or empty bytes at the end of the stream.

    Raises:
        TimeoutError: No data arrived in time.
    """
    sock.settimeout(timeout_s)
    try:
        return bytes(sock.recv(READ_BYTES))
    except TimeoutError:
        # After a stall of this process, the timeout may expire although the data arrived in time.
        return read_available(sock)


def read_until(sock: gevent.socket.socket, deadline: float) -> bytes:
    """Reads like `read`, with a deadline in monotonic time.

    Unlike a timeout for each read, a deadline does not move with each piece that arrives.
    """
    remaining_s = deadline - time.monotonic()
    return read(sock, remaining_s) if remaining_s > 0 else read_available(sock)


def read_available(sock: gevent.socket.socket) -> bytes:
    """Returns the bytes that have arrived already.

    Raises:
        TimeoutError: None have arrived.
    """
    try:
        return bytes(sock._sock.recv(READ_BYTES, socket.MSG_DONTWAIT))
    except BlockingIOError:
        raise TimeoutError("no data arrived in time") from None
