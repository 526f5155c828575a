"""Subscribes twice to the relay's proxy events, so that one broken connection loses none."""

import json
from collections.abc import Callable
from typing import Any

import gevent
import gevent.socket
from gevent.event import Event

from ironfall.errors import IronfallError
from ironfall.platform.proxy_feed import Feed, ProxyState
from ironfall.platform.proxy_streams import ProxyStreams
from ironfall.platform.runtime import Runtime
from ironfall.platform.sockets import Address, Backoff, dial, read

FEED_COUNT = 2
DIAL_TIMEOUT_S = 0.5
# A reachable relay sends a ping every second.
IDLE_TIMEOUT_S = 3.5
MAX_LINE_BYTES = 1 << 20
MAX_REQUEST_RATE = 1e9
MAX_QUOTED_LENGTH = 80  # bytes of a line in an error message
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
SUBSCRIBE = b'{"jsonrpc":"2.0","id":1,"method":"subscribe"}\n'


class MalformedEventError(IronfallError):
    """A feed delivered a line that is not an event, or the relay ended the feed."""


class AbandonedFeedError(IronfallError):
    """A feed was idle for so long that another has replaced it."""


class EventDecoder:
    """Decodes the relay's notifications and passes them to the `ProxyStreams`."""

    def __init__(self, streams: ProxyStreams, zones: tuple[str, ...], proxies: int) -> None:
        self._streams = streams
        self._zones = {name: index for index, name in enumerate(zones)}
        self._proxies = proxies

    def handle_line(self, feed: Feed, line: bytes) -> None:
        """Handles one line of a feed.

        Raises:
            MalformedEventError: The line is not an event, or rejects the subscription.
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
            raise MalformedEventError(
                f"malformed event {line[:MAX_QUOTED_LENGTH]!r}: {cause}"
            ) from None
        if not is_subscribed:
            raise MalformedEventError(f"subscription rejected: {line[:MAX_QUOTED_LENGTH]!r}")

    def _handle_event(self, feed: Feed, method: str, params: dict[str, Any]) -> None:
        if method == "ping":
            self._streams.end_snapshot(feed)
        elif method == "detach":
            self._streams.on_detach(feed, self._decode_proxy(params))
        elif method == "done":
            proxy = self._decode_proxy(params)
            nonce = int(params["nonce"])
            float(params["latency"])  # unused, but an event without it is malformed
            self._streams.on_confirmation(feed, proxy, nonce)
        elif method == "attach":
            state = self._decode_state(params)
            self._streams.on_attach(feed, self._decode_proxy(params), state)

    def _decode_state(self, params: dict[str, Any]) -> ProxyState:
        zone = self._zones[params["locality"]]
        request_rate = float(params["w"])
        is_cold = bool(params["cold"])
        if not 0 <= request_rate < MAX_REQUEST_RATE:
            raise ValueError(f"w is not a number from 0 to {MAX_REQUEST_RATE:g}")
        return ProxyState(zone, request_rate, is_cold)

    def _decode_proxy(self, params: dict[str, Any]) -> int:
        proxy = int(params["node"])
        if not 0 <= proxy < self._proxies:
            raise ValueError(f"no proxy has the number {proxy}")
        return proxy


class ProxySubscription:
    """The connections that deliver events; each reconnects when it breaks.

    Attributes:
        has_snapshot: Set once a feed has delivered its snapshot.
        greenlets: The greenlets that read the feeds of the current address.
        retiring_greenlets: The greenlets of earlier addresses, which continue until a feed of the
            current address is settled.
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
        self.greenlets: list[gevent.Greenlet] = []
        self.retiring_greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Starts the feeds of the current address."""
        self.greenlets = [gevent.spawn(self._run_feed, self._address) for _ in range(FEED_COUNT)]
        for greenlet in self.greenlets:
            greenlet.link_exception(self._on_failure)

    def change_address(self, address: Address) -> None:
        """Subscribes at another relay; open feeds continue until one there is settled."""
        self._address = address
        self.retiring_greenlets += self.greenlets
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
            # Retrying is always safe, because each feed begins with a snapshot. There is no limit
            # to the retries: a director is of no use without proxy events.
            backoff.wait()

    def _read_until_broken(self, sock: gevent.socket.socket) -> bool:
        """Reads one connection to its end; returns whether it delivered its snapshot."""
        feed = self._streams.open_feed()
        try:
            self._read_feed(sock, feed)
        except (OSError, MalformedEventError, AbandonedFeedError) as error:
            self._runtime.count("news broken")
            self._runtime.log.info(
                "proxy event feed broken; reconnecting", cause=f"{type(error).__name__}: {error}"
            )
        finally:
            self._streams.close_feed(feed)
            sock.close()
        return not feed.is_in_snapshot

    def _read_feed(self, sock: gevent.socket.socket, feed: Feed) -> None:
        sock.settimeout(DIAL_TIMEOUT_S)
        sock.sendall(SUBSCRIBE)
        partial = b""
        while data := read(sock, IDLE_TIMEOUT_S):
            *lines, partial = (partial + data).split(b"\n")
            if len(partial) > MAX_LINE_BYTES:
                raise MalformedEventError(f"line longer than {MAX_LINE_BYTES} bytes")
            self._streams.on_received(feed)
            if feed.is_abandoned:
                raise AbandonedFeedError("idle during a gap that another feed has ended")
            for line in lines:
                self._decoder.handle_line(feed, line)
            gevent.sleep(0)  # let other greenlets run: a snapshot may be large
            if not feed.is_in_snapshot:
                self.has_snapshot.set()
            if feed.is_settled(self._streams.now()):
                self._end_retiring_feeds()
        # Nothing that the relay sent before a regular end is missing.
        self._streams.on_received(feed)
        raise MalformedEventError("the relay closed the connection")

    def _end_retiring_feeds(self) -> None:
        """Ends the feeds of earlier addresses, if a feed of the current address calls this."""
        if self.retiring_greenlets and gevent.getcurrent() in self.greenlets:
            gevent.killall(self.retiring_greenlets, block=False)
            self.retiring_greenlets = []
