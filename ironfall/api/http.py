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

REASON_PHRASES = {
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
MAX_HEADER_BYTES = 16 * 1024
# Pipelined requests of one connection.
AHEAD_MOST = 256
RECEIVE_BYTES = 64 * 1024


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
        keep_alive: Whether the connection stays open after the answer.
        header_bytes: The size of the request line and the headers so far.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.method, self.path, self.query = "", "", {}  # type: str, str, dict[str, str]
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.keep_alive = True
        self.header_bytes = 0

    def number(self, name: str, default: int | None = None) -> int:
        """Returns a query parameter as a whole number, or `default` if it is absent.

        Raises:
            Refused: It is malformed, or absent although there is no default.
        """
        text = self.query.get(name)
        if text is None and default is not None:
            return default
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
                    if not self._has_input():
                        return True
                    # The client pipelined another request, which is read after this one's answer.
                    watcher.stop()
                    event.clear()
            return False
        finally:
            watcher.stop()
            watcher.close()

    def _has_input(self) -> bool:
        try:
            if not self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):  # type: ignore[attr-defined]
                raise Gone
            return True
        except BlockingIOError:
            return False
        except OSError:
            raise Gone from None


class _RequestReader:
    """Assembles requests from the parser's callbacks.

    Attributes:
        complete: The complete requests, in order; more than one if the client pipelines them.
        request: The request that is being received, or the last one.
        has_partial: Whether part of another request has arrived after the complete ones.
    """

    def __init__(self, sock: socket.socket, max_body_bytes: int) -> None:
        self.sock, self.max_body_bytes = sock, max_body_bytes
        self.parser = httptools.HttpRequestParser(self)
        self.complete: deque[Request] = deque()
        self.request = Request(sock)
        self.has_partial = False

    def on_message_begin(self) -> None:
        self.request, self.has_partial = Request(self.sock), True

    def on_url(self, url: bytes) -> None:
        path, _, query = url.decode("latin-1").partition("?")
        self.request.path += path
        if "%" in query or "+" in query:
            self.request.query.update(parse_qsl(query, max_num_fields=32))
        elif query:
            # Most queries have no escapes; this is three times as fast as `parse_qsl`.
            self.request.query.update(part.partition("=")[::2] for part in query.split("&", 32))
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._count_header_bytes(len(name) + len(value))

    def _count_header_bytes(self, added_bytes: int) -> None:
        self.request.header_bytes += added_bytes
        if self.request.header_bytes > MAX_HEADER_BYTES:
            raise Refused(431, f"request line and headers are over {MAX_HEADER_BYTES} bytes")

    def on_headers_complete(self) -> None:
        length = self.request.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.max_body_bytes:
            raise Refused(
                413, f"a body of {length} bytes is over the limit of {self.max_body_bytes}"
            )

    def on_body(self, body: bytes) -> None:
        self.request.body += body
        if len(self.request.body) > self.max_body_bytes:
            raise Refused(413, f"the body is over the limit of {self.max_body_bytes} bytes")

    def on_message_complete(self) -> None:
        self.request.method = self.parser.get_method().decode()
        self.request.keep_alive = self.parser.should_keep_alive()
        self.complete.append(self.request)
        self.has_partial = False
        if len(self.complete) > AHEAD_MOST:
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

    def _count(self, event: str) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1

    def _serve(self, sock: socket.socket, _address: tuple[str, int]) -> None:
        self.open += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            if self.open > self.bounds.connections:
                self._count("connections")
                self._send(sock, _error_answer(Refused(503, "too many connections", 1)), False)
            else:
                reader = _RequestReader(sock, self.bounds.body)
                while self._serve_request(sock, reader):
                    pass
        except (OSError, Gone):
            pass
        finally:
            self.open -= 1
            sock.close()

    def _serve_request(self, sock: socket.socket, reader: _RequestReader) -> bool:
        """Reads and answers one request; returns whether the connection stays open."""
        keep_alive = False
        try:
            if not reader.complete and not self._read_request(sock, reader):
                return False
            request = reader.complete.popleft()
            keep_alive = request.keep_alive
            answer = self.handle(request)
        except Refused as refused:
            self._count(str(refused.status))
            answer = _error_answer(refused)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            refusal = (
                cause if isinstance(cause, Refused) else Refused(400, f"malformed HTTP: {error}")
            )
            self._count(str(refusal.status))
            answer, keep_alive = _error_answer(refusal), False
        return self._send(sock, answer, keep_alive) and keep_alive

    def _read_request(self, sock: socket.socket, reader: _RequestReader) -> bool:
        """Reads until a request is complete; returns False if the client closed or stays idle.

        Raises:
            Refused: A request began to arrive but took too long.
        """
        sock.settimeout(self.bounds.idle)
        try:
            data = b"" if reader.has_partial else sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return False
        if not data and not reader.has_partial:
            return False
        reader.parser.feed_data(data)
        if reader.complete:
            # Nearly every request arrives in one piece, and needs no timer.
            return True
        with Timeout(
            self.bounds.request_time, Refused(408, "the request took too long to come in")
        ):
            while data := sock.recv(RECEIVE_BYTES):
                reader.parser.feed_data(data)
                if reader.complete:
                    return True
        return False

    def _send(self, sock: socket.socket, answer: Answer, keep_alive: bool) -> bool:
        """Returns whether the client took the answer in time."""
        lines = [f"HTTP/1.1 {answer.status} {REASON_PHRASES.get(answer.status, 'Other')}"]
        lines += [f"{name}: {value}" for name, value in answer.headers.items()]
        lines += [f"Content-Length: {len(answer.body)}"] if answer.status != 204 else []
        lines += ["" if keep_alive else "Connection: close"]
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


def _error_answer(refused: Refused) -> Answer:
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
        max_answer_bytes: The largest body of an answer, in bytes.
        sock: The connection, if there is one.
        received: The bytes received of the last answer, complete or not.
        is_shut_down: Whether `end` was called.
    """

    def __init__(
        self, address: tuple[str, int], connect_time: float = 1.0, max_answer_bytes: int = 1 << 26
    ) -> None:
        self.address, self.connect_time, self.max_answer_bytes = (
            address,
            connect_time,
            max_answer_bytes,
        )
        self.sock: socket.socket | None = None
        self.received = 0
        self.is_shut_down = False

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
        if self.is_shut_down:
            raise ConnectionAbortedError("the client was shut down before it sent the request")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address[0]}:{self.address[1]}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.received = 0
        self.sock.settimeout(seconds)
        self.sock.sendall("\r\n".join(lines).encode("latin-1") + body)
        reader = _ResponseReader(self.max_answer_bytes)
        parser, max_received = reader.parser, self.max_answer_bytes + MAX_HEADER_BYTES
        with Timeout(seconds, TimeoutError(f"no complete answer within {seconds:g} s")):
            while not reader.is_complete:
                data = self.sock.recv(RECEIVE_BYTES)
                self.received += len(data)
                if not data:
                    raise ConnectionResetError(
                        "the server closed the connection before the answer was complete"
                    )
                if self.received > max_received:
                    raise ConnectionAbortedError(
                        f"the answer with its headers exceeds the limit of {max_received} bytes"
                    )
                try:
                    parser.feed_data(data)
                except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
                    if reader.is_complete and not isinstance(error, httptools.HttpParserUpgrade):
                        # The answer is complete; what follows it is malformed.
                        reader.keep_alive = False
                    else:
                        raise ConnectionAbortedError(f"malformed HTTP answer: {error}") from None
        if not reader.keep_alive:
            self.close()
        return Answer(reader.status, bytes(reader.body), reader.headers)

    def close(self) -> None:
        """Closes the connection, if there is one; the next call opens another."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def end(self) -> None:
        """Closes the client for good: a call that waits fails, as do all later ones."""
        self.is_shut_down = True
        self.close()


class _ResponseReader:
    """Assembles one answer from the parser's callbacks; what follows the answer is ignored.

    Attributes:
        is_complete: Whether the answer is complete.
        has_trailing_message: Whether another message follows the answer.
        keep_alive: Whether the connection can be used for another call.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes, self.body, self.status = max_body_bytes, bytearray(), 0
        self.is_complete, self.has_trailing_message = False, False
        self.headers: dict[str, str] = {}
        self.parser = httptools.HttpResponseParser(self)
        self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.has_trailing_message:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_begin(self) -> None:
        if self.is_complete:
            self.has_trailing_message = True

    def on_body(self, body: bytes) -> None:
        if not self.has_trailing_message:
            self.body += body
        if len(self.body) > self.max_body_bytes:
            raise ValueError(
                f"the body of the answer exceeds the limit of {self.max_body_bytes} bytes"
            )

    def on_message_complete(self) -> None:
        if self.has_trailing_message:
            # No call belongs to a further message.
            self.keep_alive = False
            return
        # The parser knows this only within the callback; afterwards it always returns False.
        self.keep_alive = self.parser.should_keep_alive()
        self.status, self.is_complete = self.parser.get_status_code(), True
