"""Reads and dials with an end to each wait, which a director's own standstill does not use up."""

import random
import socket
import time

import gevent
import gevent.socket

CHUNK = 64 * 1024


class Backoff:
    """Waits between tries of what fails: jittered, each twice the last up to a bound, short again after a reset."""

    def __init__(self, first: float, most: float, chance: random.Random) -> None:
        self.first, self.most, self.chance = first, most, chance
        self.next = first

    def wait(self) -> None:
        gevent.sleep(self.next * (0.5 + self.chance.random()))
        self.next = min(self.most, 2 * self.next)

    def reset(self) -> None:
        self.next = self.first


def dial(address: tuple[str, int], seconds: float) -> gevent.socket.socket:
    sock = gevent.socket.create_connection(address, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read(sock: gevent.socket.socket, seconds: float) -> bytes:
    """What comes next, b"" at the end; raises `TimeoutError` when nothing came in time."""
    sock.settimeout(seconds)
    try:
        return bytes(sock.recv(CHUNK))
    except TimeoutError:
        # A process that was stopped finds its time up and the answer there: it was not the peer that was late.
        return waiting(sock)


def read_by(sock: gevent.socket.socket, until: float) -> bytes:
    """As `read`, with the monotonic time by which it must have come: what comes in drips has no more time."""
    left = until - time.monotonic()
    return read(sock, left) if left > 0 else waiting(sock)


def waiting(sock: gevent.socket.socket) -> bytes:
    """What has come in already; raises `TimeoutError` where nothing has."""
    try:
        return bytes(sock._sock.recv(CHUNK, socket.MSG_DONTWAIT))
    except BlockingIOError:
        raise TimeoutError("nothing came in time") from None
