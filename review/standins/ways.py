"""Ways between processes over loopback: TCP relays that can be cut or held back."""

from collections.abc import Callable

import gevent
import gevent.socket
from gevent.server import StreamServer

CONNECT_TIMEOUT_S = 1.0
RECEIVE_BYTES = 64 * 1024


class Way:
    """A relay from one process to another, which passes everything on until it is cut.

    Attributes:
        address: Where the one process finds the other.
        is_cut: Whether connections are closed as soon as they are made.
    """

    def __init__(self, ip: str, to: tuple[str, int]) -> None:
        self.is_cut = False
        self._to = to
        self._open: set[gevent.socket.socket] = set()
        self._server = StreamServer((ip, 0), self._serve)
        self._server.start()
        self.address = (ip, int(self._server.server_port))

    def cut(self) -> None:
        """Closes all connections, and from now on each new one."""
        self.is_cut = True
        for sock in list(self._open):
            sock.close()

    def lead_to(self, to: tuple[str, int]) -> None:
        """Leads to another address from now on; closes all connections."""
        self._to = to
        for sock in list(self._open):
            sock.close()

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop(0)

    def _serve(self, near: gevent.socket.socket, _address: object) -> None:
        if self.is_cut:
            near.close()
            return
        try:
            far = gevent.socket.create_connection(self._to, CONNECT_TIMEOUT_S)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        self._open |= {near, far}
        back = gevent.spawn(self._pump, far, near)
        self._pump(near, far)
        back.join()
        self._open -= {near, far}

    def _pump(self, source: gevent.socket.socket, sink: gevent.socket.socket) -> None:
        try:
            while data := source.recv(RECEIVE_BYTES):
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            sock.close()


def until(condition: Callable[[], object], seconds: float, pause: float = 0.05) -> bool:
    """Waits until a condition holds; returns whether it did within some time."""
    with gevent.Timeout(seconds, False):
        while not condition():
            gevent.sleep(pause)
        return True
    return False
