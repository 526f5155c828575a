"""Kept connections to hosts, opened as they are needed, shared by many exchanges at once."""

from gevent.event import AsyncResult

from ironfall.api.exchange import Link, address_of
from ironfall.generated import ironfall_pb2 as pb

CONNECTIONS_MOST = 8  # to one host


class Hosts:
    def __init__(self, hello: pb.Hello, connect_time: float, streams: int) -> None:
        self.hello, self.connect_time, self.streams = hello, connect_time, streams
        self.links: dict[str, list[Link]] = {}
        self.opening: dict[str, AsyncResult] = {}

    def link(self, host: str) -> Link | None:
        """A connection with room, or None: the host can't be reached, and nothing was sent."""
        while True:
            links = self.links.get(host, ())
            for link in links:
                if link.open and len(link.calls) < self.streams:
                    return link
            if len(links) >= CONNECTIONS_MOST:
                return None
            if host not in self.opening:
                return self._open(host)
            if self.opening[host].get() is None:
                return None

    def _open(self, host: str) -> Link | None:
        self.opening[host] = opening = AsyncResult()
        link = None
        try:
            link = Link(
                address_of(host), self.hello, self.connect_time, lambda lost: self._lost(host, lost)
            )
            self.links.setdefault(host, []).append(link)
        except OSError:
            pass
        finally:
            del self.opening[host]
            opening.set(link)
        return link

    def _lost(self, host: str, link: Link) -> None:
        left = [other for other in self.links.get(host, ()) if other is not link]
        if left:
            self.links[host] = left
        else:
            self.links.pop(host, None)

    def keep(self, named: set[str]) -> None:
        """Close what no table names any more, once nothing is in flight there."""
        for host in [h for h in self.links if h not in named]:
            for link in list(self.links.get(host, ())):
                if not link.calls:
                    link.close()
