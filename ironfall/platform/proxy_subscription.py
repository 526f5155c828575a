"""Subscribes to the relay's events on proxies, twice, so that a broken connection loses nothing."""

import json
from collections.abc import Callable
from typing import Any

import gevent
import gevent.socket
from gevent.event import Event

from ironfall.errors import IronfallError
from ironfall.platform.proxy_streams import Feed, ProxyState, ProxyStreams
from ironfall.platform.runtime import Runtime
from ironfall.platform.sockets import Address, Backoff, dial, read

FEED_COUNT = 2
DIAL_TIMEOUT_S = 0.5
# A relay in reach sends a ping each second.
MAX_SILENCE_S = 3.5
MAX_LINE_BYTES = 1 << 20
MAX_REQUEST_RATE = 1e9
MAX_QUOTED_LENGTH = 80  # bytes of a line that an error message repeats
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
SUBSCRIBE = b'{"jsonrpc":"2.0","id":1,"method":"subscribe"}\n'


class MalformedEventError(IronfallError):
    """A feed delivered what is no event, or has ended."""


class EventDecoder:
    """Decodes the relay's notifications and hands them to the streams."""

    def __init__(self, streams: ProxyStreams, zones: tuple[str, ...], proxies: int) -> None:
        self._streams = streams
        self._zones = {name: index for index, name in enumerate(zones)}
        self._proxies = proxies

    def handle_line(self, feed: Feed, line: bytes) -> None:
        """Handles one line of a feed.

        Raises:
            MalformedEventError: The line is no event.
        """
        try:
            message = json.loads(line)
            method = message.get("method")
            if method is not None:
                self._handle_event(feed, method, message.get("params", {}))
                return
            is_subscribed = message.get("result") is True
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            ArithmeticError,
            RecursionError,
        ) as error:
            cause = f"{type(error).__name__} {error}"
            raise MalformedEventError(f"{cause} in {line[:MAX_QUOTED_LENGTH]!r}") from None
        if not is_subscribed:
            raise MalformedEventError(f"not subscribed: {line[:MAX_QUOTED_LENGTH]!r}")

    def _handle_event(self, feed: Feed, method: str, params: dict[str, Any]) -> None:
        if method == "ping":
            self._streams.end_snapshot(feed)
        elif method == "detach":
            self._streams.on_detach(feed, self._proxy(params))
        elif method == "done":
            proxy = self._proxy(params)
            nonce = int(params["nonce"])
            float(params["latency"])  # not used, but an event without it is malformed
            self._streams.on_confirmation(feed, proxy, nonce)
        elif method == "attach":
            state = self._state(params)
            self._streams.on_attach(feed, self._proxy(params), state)

    def _state(self, params: dict[str, Any]) -> ProxyState:
        zone = self._zones[params["locality"]]
        request_rate = float(params["w"])
        is_cold = bool(params["cold"])
        if not 0 <= request_rate < MAX_REQUEST_RATE:
            raise ValueError("w")
        return ProxyState(zone, request_rate, is_cold)

    def _proxy(self, params: dict[str, Any]) -> int:
        proxy = int(params["node"])
        if not 0 <= proxy < self._proxies:
            raise ValueError(f"proxy {proxy}")
        return proxy


class ProxySubscription:
    """The connections that carry events, each dialled anew when it breaks.

    Attributes:
        has_snapshot: Set once a feed has delivered its snapshot.
        feeds: The greenlets that read the feeds of the current address.
        retiring_feeds: Those of earlier addresses, which go on until the new address has delivered
            a snapshot.
    """

    def __init__(
        self,
        address: Address,
        streams: ProxyStreams,
        decoder: EventDecoder,
        runtime: Runtime,
        on_failure: Callable[[gevent.Greenlet], None],
    ) -> None:
        self._address = address
        self._streams = streams
        self._decoder = decoder
        self._runtime = runtime
        self._on_failure = on_failure
        self.has_snapshot = Event()
        self.feeds: list[gevent.Greenlet] = []
        self.retiring_feeds: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Starts the feeds of the current address."""
        self.feeds = [gevent.spawn(self._run_feed, self._address) for _ in range(FEED_COUNT)]
        for feed in self.feeds:
            feed.link_exception(self._on_failure)

    def change_address(self, address: Address) -> None:
        """Subscribes elsewhere; open feeds go on until the new ones have delivered a snapshot."""
        self._address = address
        self.retiring_feeds += self.feeds
        self.start()

    def _run_feed(self, address: Address) -> None:
        backoff = Backoff(FIRST_BACKOFF_S, MAX_BACKOFF_S, self._runtime.random)
        while address == self._address:
            try:
                sock = dial(address, DIAL_TIMEOUT_S)
            except OSError:
                self._runtime.count("news dials failed")
            else:
                if self._read_until_broken(sock):
                    backoff.reset()
            # Subscribing again is always safe, since each feed begins with a snapshot. It never
            # ends, for a director without events on proxies can do nothing.
            backoff.wait()

    def _read_until_broken(self, sock: gevent.socket.socket) -> bool:
        """Reads one connection to its end; whether it delivered its snapshot."""
        feed = self._streams.open_feed()
        try:
            self._read_feed(sock, feed)
        except (OSError, MalformedEventError) as error:
            self._runtime.count("news broken")
            self._runtime.log.info("news broken", cause=f"{type(error).__name__}: {error}")
        finally:
            self._streams.close_feed(feed)
            sock.close()
        return not feed.is_in_snapshot

    def _read_feed(self, sock: gevent.socket.socket, feed: Feed) -> None:
        sock.settimeout(DIAL_TIMEOUT_S)
        sock.sendall(SUBSCRIBE)
        partial = b""
        while data := read(sock, MAX_SILENCE_S):
            *lines, partial = (partial + data).split(b"\n")
            if len(partial) > MAX_LINE_BYTES:
                raise MalformedEventError(f"a line of over {MAX_LINE_BYTES} bytes")
            feed.last_received_at = self._streams.now()
            for line in lines:
                self._decoder.handle_line(feed, line)
            gevent.sleep(0)  # a snapshot may be large: let other greenlets run
            if not feed.is_in_snapshot:
                self._on_snapshot_delivered()
        raise MalformedEventError("the end")

    def _on_snapshot_delivered(self) -> None:
        self.has_snapshot.set()
        if self.retiring_feeds and gevent.getcurrent() in self.feeds:
            gevent.killall(self.retiring_feeds, block=False)
            self.retiring_feeds = []
