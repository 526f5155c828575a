"""The relay's news, over two connections at once so that a break of one loses nothing."""

import json
import random
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ironfall.platform.sockets import Backoff, dial, read
from ironfall.platform.start import Address
from ironfall.platform.streams import Feed, Streams

FEEDS = 2
DIAL_TIME = 0.5
SILENT = 3.5  # seconds; a relay in reach says something every second
LINE_MOST = 1 << 20
WAIT_FIRST, WAIT_MOST = 0.02, 0.5  # between two dials, jittered
SUBSCRIBE = b'{"jsonrpc":"2.0","id":1,"method":"subscribe"}\n'


class Unreadable(Exception):
    """A feed that tells what is no news."""


class News:
    def __init__(
        self,
        address: Address,
        streams: Streams,
        zones: tuple[str, ...],
        proxies: int,
        chance: random.Random,
        log: Any,
        count: Callable[[str], None],
        broken: Callable[[gevent.Greenlet], None],
    ) -> None:
        self.address, self.streams, self.proxies = address, streams, proxies
        self.zones = {name: n for n, name in enumerate(zones)}
        self.chance, self.log, self.count, self.broken = chance, log, count, broken
        self.settled = Event()
        self.running: list[gevent.Greenlet] = []
        self.letting_go: list[gevent.Greenlet] = []

    def start(self) -> None:
        self.running = [gevent.spawn(self._run, self.address) for _ in range(FEEDS)]
        for feed in self.running:
            feed.link_exception(self.broken)

    def moved(self, address: Address) -> None:
        """The relay listens elsewhere: what is open goes on until all that stands was told there."""
        self.address = address
        self.letting_go += self.running
        self.start()

    def _run(self, address: Address) -> None:
        backoff = Backoff(WAIT_FIRST, WAIT_MOST, self.chance)
        while address == self.address:
            try:
                sock = dial(address, DIAL_TIME)
            except OSError:
                self.count("news dials failed")
            else:
                feed = self.streams.opened()
                try:
                    self._read(sock, feed)
                except (OSError, Unreadable) as cause:
                    self.count("news broken")
                    self.log.info("news broken", cause=f"{type(cause).__name__}: {cause}")
                finally:
                    self.streams.lost(feed)
                    sock.close()
                if not feed.fresh:
                    backoff.reset()
            # Safe to ask again at any time: what stands is told anew. No end to it, for without news there is no
            # director.
            backoff.wait()

    def _read(self, sock: Any, feed: Feed) -> None:
        sock.settimeout(DIAL_TIME)
        sock.sendall(SUBSCRIBE)
        rest = b""
        while data := read(sock, SILENT):
            *whole, rest = (rest + data).split(b"\n")
            if len(rest) > LINE_MOST:
                raise Unreadable(f"a line of over {LINE_MOST} bytes")
            feed.heard = self.streams.now()
            for line in whole:
                self.take(feed, line)
            gevent.sleep(0)  # what stands may be much: the others have their turn
            if feed.fresh:
                continue
            self.settled.set()
            if self.letting_go and gevent.getcurrent() in self.running:
                gevent.killall(self.letting_go, block=False)
                self.letting_go = []
        raise Unreadable("the end")

    def take(self, feed: Feed, line: bytes) -> None:
        try:
            told = json.loads(line)
            what, about = told.get("method"), told.get("params", {})
            if what is None:
                if told.get("result") is not True:
                    raise Unreadable(f"not subscribed: {line[:80]!r}")
            elif what == "ping":
                self.streams.settle(feed)
            elif what == "detach":
                self.streams.detach(feed, self._proxy(about))
            elif what == "done":
                self.streams.done(
                    feed, self._proxy(about), int(about["nonce"]), float(about["latency"])
                )
            elif what == "attach":
                fact = (self.zones[about["locality"]], float(about["w"]), bool(about["cold"]))
                if not 0 <= fact[1] < 1e9:
                    raise ValueError("w")
                self.streams.attach(feed, self._proxy(about), fact)
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            ArithmeticError,
            RecursionError,
        ) as wrong:
            raise Unreadable(f"{type(wrong).__name__} {wrong} in {line[:80]!r}") from None

    def _proxy(self, about: dict[str, Any]) -> int:
        proxy = int(about["node"])
        if not 0 <= proxy < self.proxies:
            raise ValueError(f"proxy {proxy}")
        return proxy
