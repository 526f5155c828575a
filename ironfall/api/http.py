"""HTTP/1.1 over gevent: one greenlet a connection, reading as if blocking; httptools reads the bytes.

Bounds and their answers: too many connections 503, a request that takes too long to come in 408, a body over the
limit 413, malformed bytes 400, each with a plain reason; a reader too slow for its answer is cut. None of them
holds up another connection.
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
AHEAD_MOST = 256  # requests of one connection that wait for the answers before theirs
CHUNK = 64 * 1024


class Gone(Exception):
    """The peer closed its connection while its answer was being waited for."""


class Refused(Exception):
    """A request that is answered with a status and a plain reason instead of what it asked for."""

    def __init__(self, status: int, reason: str, retry_after: float = 0) -> None:
        super().__init__(reason)
        self.status, self.reason, self.retry_after = status, reason, retry_after


@dataclass
class Answer:
    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass
class Bounds:
    """Seconds and bytes; see `ironfall.terms.Limits`."""

    connections: int
    body: int
    request_time: float
    idle: float
    write_time: float


class Request:
    """One request as it is read off the connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.method, self.path, self.query = "", "", {}  # type: str, str, dict[str, str]
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.keep = True
        self.size = 0

    # for handlers

    def number(self, name: str, usual: int | None = None) -> int:
        text = self.query.get(name)
        if text is None and usual is not None:
            return usual
        if text is None or not text.lstrip("-").isdigit() or len(text) > 20:
            raise Refused(400, f"query parameter {name}: expected a whole number, not {text!r}")
        return int(text)

    def hold(self, event: Event, seconds: float) -> bool:
        """Wait for the event; False when the time is up. Raises `Gone` as soon as the peer closes."""
        watcher = gevent.get_hub().loop.io(self.sock.fileno(), 1)
        watcher.start(event.set)
        try:
            with Timeout(seconds, False):
                while True:
                    event.wait()
                    if not self._readable():
                        return True
                    # The peer sent more while it waits for its answer: read it when this one is answered.
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
    """What httptools calls as bytes come in: requests, one after another, those sent ahead waiting their turn."""

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
        elif query:  # as most are: three times faster
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
    """Serves `handle(request) -> Answer` on a listening socket."""

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
        return int(self.server.server_port)

    def start(self) -> None:
        self.server.start()

    def stop(self, seconds: float = 1.0) -> None:
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
        """Read and answer one request; whether the connection goes on."""
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
        """Until a request is whole; False when the peer is done or idle."""
        sock.settimeout(self.bounds.idle)
        try:
            data = b"" if incoming.begun else sock.recv(CHUNK)
        except TimeoutError:
            return False
        if not data and not incoming.begun:
            return False
        incoming.parser.feed_data(data)
        if incoming.ready:
            return True  # as nearly all: whole in one piece, and no timer is needed
        with Timeout(
            self.bounds.request_time, Refused(408, "the request took too long to come in")
        ):
            while data := sock.recv(CHUNK):
                incoming.parser.feed_data(data)
                if incoming.ready:
                    return True
        return False

    def _send(self, sock: socket.socket, answer: Answer, keep: bool) -> bool:
        lines = [f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, 'Other')}"]
        lines += [f"{name}: {value}" for name, value in answer.headers.items()]
        lines += [f"Content-Length: {len(answer.body)}"] if answer.status != 204 else []
        lines += ["" if keep else "Connection: close"]
        text = "\r\n".join(line for line in lines if line) + "\r\n\r\n"
        data = text.encode("latin-1") + answer.body
        try:
            try:
                # Nearly always all of it goes at once, and nothing has to wait.
                sent = sock._sock.send(data)  # type: ignore[attr-defined]
            except BlockingIOError:
                sent = 0
            if sent < len(data):
                # A reader that takes nothing would keep its greenlet and its answer for ever.
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
    """Whether the peer of an idle connection has closed it, or says what it was not asked for."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)  # type: ignore[attr-defined]
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class HttpClient:
    """One kept connection to a server; calls go one after another. Not for use by two greenlets at once."""

    def __init__(
        self, address: tuple[str, int], connect_time: float = 1.0, answer_most: int = 1 << 26
    ) -> None:
        self.address, self.connect_time, self.answer_most = address, connect_time, answer_most
        self.sock: socket.socket | None = None
        self.received = 0  # bytes of the last answer, whole or not
        self.over = False

    def call(
        self,
        method: str,
        path: str,
        seconds: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """The answer; raises OSError (a cut, a refusal, a time-out, or bytes that are no HTTP)."""
        try:
            return self._call(method, path, seconds, body, headers or {})
        except BaseException:
            self.close()
            raise

    def _call(
        self, method: str, path: str, seconds: float, body: bytes, headers: dict[str, str]
    ) -> Answer:
        if self.sock is not None and ended(self.sock):
            self.close()  # closed while it was idle, or with an answer to nothing that would be taken for the next
        if self.sock is None:
            self.sock = gevent.socket.create_connection(self.address, self.connect_time)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.over:
            raise ConnectionAbortedError("no longer wanted")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address[0]}:{self.address[1]}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.received = 0
        self.sock.settimeout(seconds)
        self.sock.sendall("\r\n".join(lines).encode("latin-1") + body)
        reading = _Reading(self.answer_most)
        parser, most = reading.parser, self.answer_most + HEADERS_MOST
        with Timeout(seconds, TimeoutError("no answer in time")):
            while not reading.whole:
                data = self.sock.recv(CHUNK)
                self.received += len(data)
                if not data:
                    raise ConnectionResetError(
                        "the connection was closed before the answer was whole"
                    )
                if self.received > most:
                    raise ConnectionAbortedError("the answer is over the limit")
                try:
                    parser.feed_data(data)
                except (httptools.HttpParserError, httptools.HttpParserUpgrade) as wrong:
                    if reading.whole and not isinstance(wrong, httptools.HttpParserUpgrade):
                        reading.keep = False  # it is whole, and what follows it is not HTTP
                    else:
                        raise ConnectionAbortedError(f"the answer is not HTTP: {wrong}") from None
        if not reading.keep:
            self.close()
        return Answer(reading.status, bytes(reading.body), reading.headers)

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def end(self) -> None:
        """For good: a call that waits is broken off, and one that is still being connected is not made."""
        self.over = True
        self.close()


class _Reading:
    def __init__(self, most: int) -> None:
        self.most, self.body, self.status = most, bytearray(), 0
        self.whole, self.more = False, False  # the answer, and whether anything follows it
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
            raise ValueError("the answer is over the limit")

    def on_message_complete(self) -> None:
        if self.more:
            self.keep = False  # of what follows the answer, nobody knows what it answers
            return
        # Asked here and not after: once the message is over the parser has forgotten, and would say no.
        self.keep = self.parser.should_keep_alive()
        self.status, self.whole = self.parser.get_status_code(), True
