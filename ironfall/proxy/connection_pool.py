"""Persistent connections to hosts, opened on demand, each shared by many requests at once."""

from gevent.event import AsyncResult

from ironfall.api.exchange import Link, address_of
from ironfall.generated import ironfall_pb2 as pb

MAX_CONNECTIONS_PER_HOST = 8


class ConnectionPool:
    """The connections of a proxy, by host.

    Attributes:
        hello: The first message on each connection.
        connect_timeout_s: The time to wait for a connection to be established.
        max_streams: The most requests in flight on one connection.
        connections: The open connections of each host.
        connecting: Ends with the connection, or with None if it can't be established.
    """

    def __init__(self, hello: pb.Hello, connect_timeout_s: float, max_streams: int) -> None:
        self.hello = hello
        self.connect_timeout_s = connect_timeout_s
        self.max_streams = max_streams
        self.connections: dict[str, list[Link]] = {}
        self.connecting: dict[str, AsyncResult] = {}

    def acquire(self, host: str) -> Link | None:
        """Returns a connection with a free stream; blocks while one is being established.

        Returns None if the host can't be reached or all its connections are full. Nothing was
        sent to the host then.
        """
        while True:
            connections = self.connections.get(host, [])
            for connection in connections:
                if connection.open and len(connection.calls) < self.max_streams:
                    return connection
            if len(connections) >= MAX_CONNECTIONS_PER_HOST:
                return None
            if host not in self.connecting:
                return self._connect(host)
            if self.connecting[host].get() is None:
                return None

    def close_unused(self, named_hosts: set[str]) -> None:
        """Closes the idle connections of the hosts that no table names any more."""
        for host in list(self.connections):
            if host in named_hosts:
                continue
            for connection in list(self.connections.get(host, ())):
                if not connection.calls:
                    connection.close()

    def _connect(self, host: str) -> Link | None:
        result = AsyncResult()
        self.connecting[host] = result
        connection = None
        try:
            connection = Link(
                address_of(host),
                self.hello,
                self.connect_timeout_s,
                lambda lost: self._on_connection_lost(host, lost),
            )
            self.connections.setdefault(host, []).append(connection)
        except OSError:
            pass
        finally:
            del self.connecting[host]
            result.set(connection)
        return connection

    def _on_connection_lost(self, host: str, lost: Link) -> None:
        remaining = [link for link in self.connections.get(host, ()) if link is not lost]
        if remaining:
            self.connections[host] = remaining
        else:
            self.connections.pop(host, None)
