"""Plain TCP forwarding between a zone's proxies and a director, which can be cut, held or broken on command."""

import random
import socket
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import StreamServer


class Wire:
    def __init__(
        self,
        to: tuple[str, int],
        zones: tuple[str, str],
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.to, self.zones = to, zones
        self.open = True
        self.flows = Event()
        self.flows.set()
        self.pairs: set[tuple[socket.socket, socket.socket]] = set()
        self.server = StreamServer(listen, self._serve, backlog=1024)
        self.server.start()
        self.port: int = self.server.server_port

    def _serve(self, near: socket.socket, _address: Any) -> None:
        try:
            self.flows.wait()
            if not self.open:
                raise ConnectionRefusedError("cut")
            far = gevent.socket.create_connection(self.to, 2.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)  # the time to connect is not one to wait for the next bytes
        pair = (near, far)
        self.pairs.add(pair)
        for sock in pair:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = gevent.spawn(self._copy, far, near)
        self._copy(near, far)
        back.join()
        self.pairs.discard(pair)
        near.close()
        far.close()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(64 * 1024):
                self.flows.wait()
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self) -> None:
        """Streams across break, and none comes up until `heal`."""
        self.open = False
        self.drop(1.0, random.Random(0))

    def hold(self) -> None:
        """Nothing passes, and nobody is told, until `heal`."""
        self.flows.clear()

    def heal(self) -> None:
        self.open = True
        self.flows.set()

    def drop(self, part: float, chance: random.Random) -> int:
        """Close a part of the connections."""
        dropped = 0
        for near, far in list(self.pairs):
            if chance.random() < part:
                dropped += 1
                for sock in (near, far):
                    try:
                        sock.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass
        return dropped
