"""An HTTP/1.1 server and client on gevent, one greenlet per connection; httptools parses.

The server answers 503 to too many connections, 408 to a request that takes too long to arrive, 413
to a body over the limit, 431 to headers over the limit, 429 to too many pipelined requests, and 400
to malformed bytes, each with a reason as plain text. It closes the connection of a client that
reads its answer too slowly. None of these delays another connection.
"""

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import gevent
import httptools
from gevent import Timeout
from gevent.event import Event
from gevent.server import StreamServer

REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
HEADERS_MOST = 16 * 1024
# Pipelined requests of one connection.
AHEAD_MOST = 256
CHUNK = 64 * 1024


class Gone(Exception):
    """The client closed its connection while its request was waiting for an event."""


class Refused(Exception):
    """A request is answered with an error.

    Attributes:
        status: The status of the answer.
        reason: The body of the answer, as plain text.
        retry_after: The seconds to send as `Retry-After`; 0 sends no such header.
    """

    def __init__(self, status: int, reason: str, retry_after: float = 0) -> None:
        super().__init__(reason)
        self.status, self.reason, self.retry_after = status, reason, retry_after


@dataclass
class Answer:
    """An HTTP response. The names of received headers are in lower case."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass
class Bounds:
    """The limits of a server, in seconds and bytes; `ironfall.terms.Limits` sets them.

    Attributes:
        connections: Open connections.
        body: The size of a request's body.
        request_time: The time for a complete request to arrive.
        idle: The time for which a connection may stay open without a request.
        write_time: The time for a client to read an answer.
    """

    connections: int
    body: int
    request_time: float
    idle: float
    write_time: float


class Request:
    """An HTTP request, filled in while it is received.

    Attributes:
        sock: The connection that it arrives on.
        method: The method.
        path: The path, without the query.
        query: The parameters of the query.
        headers: The headers, by name in lower case.
        body: The body.
        keep: Whether the connection stays open after the answer.
        size: The bytes of the request line and the headers so far.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.method, self.path, self.query = "", "", {}  # type: str, str, dict[str, str]
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.keep = True
        self.size = 0

    def number(self, name: str, usual: int | None = None) -> int:
        """Returns a query parameter as a whole number, or `usual` if it is absent.

        Raises:
            Refused: It is malformed, or absent although there is no default.
        """
        text = self.query.get(name)
        if text is None and usual is not None:
            return usual
        if text is None or not text.lstrip("-").isdigit() or len(text) > 20:
            raise Refused(400, f"query parameter {name}: expected a whole number, not {text!r}")
        return int(text)

    def hold(self, event: Event, seconds: float) -> bool:
        """Blocks until the event is set; returns False if that took longer than `seconds`.

        Raises:
            Gone: The client closed the connection meanwhile.
        """
        watcher = gevent.get_hub().loop.io(self.sock.fileno(), 1)
        watcher.start(event.set)
        try:
            with Timeout(seconds, False):
                while True:
                    event.wait()
                    if not self._readable():
                        return True
                    # The client pipelined another request, which is read after this one's answer.
                    watcher.stop()
                    event.clear()
            return False
        finally:
            watcher.stop()
            watcher.close()

    def _readable(self) -> bool:
        try:
            if not self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):  # type: ignore[attr-defined]
                raise Gone
            return True
        except BlockingIOError:
            return False
        except OSError:
            raise Gone from None


class _Incoming:
    """Assembles requests from the parser's callbacks.

    Attributes:
        ready: The complete requests, in order; more than one if the client pipelines them.
        request: The request that is being received, or the last one.
        begun: Whether part of another request has arrived after the complete ones.
    """

    def __init__(self, sock: socket.socket, body_most: int) -> None:
        self.sock, self.body_most = sock, body_most
        self.parser = httptools.HttpRequestParser(self)
        self.ready: deque[Request] = deque()
        self.request = Request(sock)
        self.begun = False

    def on_message_begin(self) -> None:
        self.request, self.begun = Request(self.sock), True

    def on_url(self, url: bytes) -> None:
        path, _, query = url.decode("latin-1").partition("?")
        self.request.path += path
        if "%" in query or "+" in query:
            self.request.query.update(parse_qsl(query, max_num_fields=32))
        elif query:
            # Most queries have no escapes; this is three times as fast as `parse_qsl`.
            self.request.query.update(part.partition("=")[::2] for part in query.split("&", 32))
        self._grown(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._grown(len(name) + len(value))

    def _grown(self, more: int) -> None:
        self.request.size += more
        if self.request.size > HEADERS_MOST:
            raise Refused(431, f"request line and headers are over {HEADERS_MOST} bytes")

    def on_headers_complete(self) -> None:
        length = self.request.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.body_most:
            raise Refused(413, f"a body of {length} bytes is over the limit of {self.body_most}")

    def on_body(self, body: bytes) -> None:
        self.request.body += body
        if len(self.request.body) > self.body_most:
            raise Refused(413, f"the body is over the limit of {self.body_most} bytes")

    def on_message_complete(self) -> None:
        self.request.method = self.parser.get_method().decode()
        self.request.keep = self.parser.should_keep_alive()
        self.ready.append(self.request)
        self.begun = False
        if len(self.ready) > AHEAD_MOST:
            raise Refused(
                429, f"more than {AHEAD_MOST} requests were sent ahead of their answers", 1
            )


class HttpServer:
    """Serves HTTP requests on a listening socket.

    Attributes:
        bounds: The limits.
        handle: Returns the answer to a request, or raises `Refused`, or `Gone` for no answer.
        open: The number of open connections.
        counts: How often each limit or error occurred; error answers are counted by status.
    """

    def __init__(
        self,
        listener: socket.socket | tuple[str, int],
        bounds: Bounds,
        handle: Callable[[Request], Answer],
    ) -> None:
        self.bounds, self.handle = bounds, handle
        self.open = 0
        self.counts: dict[str, int] = {}
        self.server = StreamServer(listener, self._serve, backlog=1024)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self.server.server_port)

    def start(self) -> None:
        """Starts to accept connections."""
        self.server.start()

    def stop(self, seconds: float = 1.0) -> None:
        """Stops accepting; open connections have `seconds` to end before they are aborted."""
        self.server.stop(seconds)

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _serve(self, sock: socket.socket, _address: tuple[str, int]) -> None:
        self.open += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            if self.open > self.bounds.connections:
                self._count("connections")
                self._send(sock, _plain(Refused(503, "too many connections", 1)), False)
            else:
                incoming = _Incoming(sock, self.bounds.body)
                while self._one(sock, incoming):
                    pass
        except (OSError, Gone):
            pass
        finally:
            self.open -= 1
            sock.close()

    def _one(self, sock: socket.socket, incoming: _Incoming) -> bool:
        """Reads and answers one request; returns whether the connection stays open."""
        keep = False
        try:
            if not incoming.ready and not self._read(sock, incoming):
                return False
            request = incoming.ready.popleft()
            keep = request.keep
            answer = self.handle(request)
        except Refused as refused:
            self._count(str(refused.status))
            answer = _plain(refused)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as wrong:
            cause = wrong.__context__
            told = cause if isinstance(cause, Refused) else Refused(400, f"malformed HTTP: {wrong}")
            self._count(str(told.status))
            answer, keep = _plain(told), False
        return self._send(sock, answer, keep) and keep

    def _read(self, sock: socket.socket, incoming: _Incoming) -> bool:
        """Reads until a request is complete; returns False if the client closed or stays idle.

        Raises:
            Refused: A request began to arrive but took too long.
        """
        sock.settimeout(self.bounds.idle)
        try:
            data = b"" if incoming.begun else sock.recv(CHUNK)
        except TimeoutError:
            return False
        if not data and not incoming.begun:
            return False
        incoming.parser.feed_data(data)
        if incoming.ready:
            # Nearly every request arrives in one piece, and needs no timer.
            return True
        with Timeout(
            self.bounds.request_time, Refused(408, "the request took too long to come in")
        ):
            while data := sock.recv(CHUNK):
                incoming.parser.feed_data(data)
                if incoming.ready:
                    return True
        return False

    def _send(self, sock: socket.socket, answer: Answer, keep: bool) -> bool:
        """Returns whether the client took the answer in time."""
        lines = [f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, 'Other')}"]
        lines += [f"{name}: {value}" for name, value in answer.headers.items()]
        lines += [f"Content-Length: {len(answer.body)}"] if answer.status != 204 else []
        lines += ["" if keep else "Connection: close"]
        text = "\r\n".join(line for line in lines if line) + "\r\n\r\n"
        data = text.encode("latin-1") + answer.body
        try:
            try:
                # Nearly always the socket buffer takes the whole answer without blocking.
                sent = sock._sock.send(data)  # type: ignore[attr-defined]
            except BlockingIOError:
                sent = 0
            if sent < len(data):
                # Without a timeout, a client that never reads would hold this greenlet for ever.
                sock.settimeout(self.bounds.write_time)
                sock.sendall(data[sent:])
        except TimeoutError:
            self._count("slow readers")
            return False
        return True


def _plain(refused: Refused) -> Answer:
    headers = {"Content-Type": "text/plain; charset=utf-8"}
    if refused.retry_after:
        headers["Retry-After"] = f"{max(1, round(refused.retry_after))}"
    return Answer(refused.status, f"{refused.reason}\n".encode(), headers)


def ended(sock: socket.socket) -> bool:
    """Returns whether the peer of an idle connection closed it or sent unsolicited bytes."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)  # type: ignore[attr-defined]
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class HttpClient:
    """A client with one persistent connection, for use by one greenlet at a time.

    Attributes:
        address: The server's address.
        connect_time: The seconds to wait for a connection to be established.
        answer_most: The largest body of an answer, in bytes.
        sock: The connection, if there is one.
        received: The bytes received of the last answer, complete or not.
        over: Whether `end` was called.
    """

    def __init__(
        self, address: tuple[str, int], connect_time: float = 1.0, answer_most: int = 1 << 26
    ) -> None:
        self.address, self.connect_time, self.answer_most = address, connect_time, answer_most
        self.sock: socket.socket | None = None
        self.received = 0
        self.over = False

    def call(
        self,
        method: str,
        path: str,
        seconds: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends a request and returns the answer; connects first if necessary.

        Args:
            method: The method.
            path: The path and the query.
            seconds: The time for the complete answer to arrive.
            body: The body.
            headers: Further headers.

        Raises:
            OSError: The connection was refused or lost, the answer took too long, is over the limit
                or is not HTTP. The connection is closed then.
        """
        try:
            return self._call(method, path, seconds, body, headers or {})
        except BaseException:
            self.close()
            raise

    def _call(
        self, method: str, path: str, seconds: float, body: bytes, headers: dict[str, str]
    ) -> Answer:
        if self.sock is not None and ended(self.sock):
            # Unsolicited bytes would be taken for the answer to this request.
            self.close()
        if self.sock is None:
            self.sock = gevent.socket.create_connection(self.address, self.connect_time)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.over:
            raise ConnectionAbortedError("the client was shut down before it sent the request")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address[0]}:{self.address[1]}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.received = 0
        self.sock.settimeout(seconds)
        self.sock.sendall("\r\n".join(lines).encode("latin-1") + body)
        reading = _Reading(self.answer_most)
        parser, most = reading.parser, self.answer_most + HEADERS_MOST
        with Timeout(seconds, TimeoutError(f"no complete answer within {seconds:g} s")):
            while not reading.whole:
                data = self.sock.recv(CHUNK)
                self.received += len(data)
                if not data:
                    raise ConnectionResetError(
                        "the server closed the connection before the answer was complete"
                    )
                if self.received > most:
                    raise ConnectionAbortedError(
                        f"the answer with its headers exceeds the limit of {most} bytes"
                    )
                try:
                    parser.feed_data(data)
                except (httptools.HttpParserError, httptools.HttpParserUpgrade) as wrong:
                    if reading.whole and not isinstance(wrong, httptools.HttpParserUpgrade):
                        # The answer is complete; what follows it is malformed.
                        reading.keep = False
                    else:
                        raise ConnectionAbortedError(f"malformed HTTP answer: {wrong}") from None
        if not reading.keep:
            self.close()
        return Answer(reading.status, bytes(reading.body), reading.headers)

    def close(self) -> None:
        """Closes the connection, if there is one; the next call opens another."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def end(self) -> None:
        """Closes the client for good: a call that waits fails, as do all later ones."""
        self.over = True
        self.close()


class _Reading:
    """Assembles one answer from the parser's callbacks; what follows the answer is ignored.

    Attributes:
        whole: Whether the answer is complete.
        more: Whether another message follows the answer.
        keep: Whether the connection can be used for another call.
    """

    def __init__(self, most: int) -> None:
        self.most, self.body, self.status = most, bytearray(), 0
        self.whole, self.more = False, False
        self.headers: dict[str, str] = {}
        self.parser = httptools.HttpResponseParser(self)
        self.keep = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.more:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_begin(self) -> None:
        if self.whole:
            self.more = True

    def on_body(self, body: bytes) -> None:
        if not self.more:
            self.body += body
        if len(self.body) > self.most:
            raise ValueError(f"the body of the answer exceeds the limit of {self.most} bytes")

    def on_message_complete(self) -> None:
        if self.more:
            # No call belongs to a further message.
            self.keep = False
            return
        # The parser knows this only within the callback; afterwards it always returns False.
        self.keep = self.parser.should_keep_alive()
        self.status, self.whole = self.parser.get_status_code(), True
