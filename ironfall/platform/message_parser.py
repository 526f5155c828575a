"""Parses the lines that collectors send to a director's address. Pure: no I/O.

A message is one line of text, terminated by CRLF: its kind, then `name=value` fields separated by
spaces.
"""

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from ironfall.errors import IronfallError

MAX_LINE_BYTES = 1 << 20
# Of a line on a connection that has not joined: a heartbeat or a joining message is far shorter.
MAX_UNJOINED_LINE_BYTES = 4096
MAX_COUNT = 10_000_000  # requests or attempts in one report
MAX_COUNT_DIGITS = 8
MAX_TIME_MS = 3_600_000.0
MAX_GAUGE_VALUE = 1e9
MAX_HOST_NAME_LENGTH = 200
MAX_QUOTED_LENGTH = 40  # characters of a peer's text that an error message repeats
TICKS_PER_MS = 10

# The platform's gauge names, and the column names of the settings that mean the same.
GAUGE_COLUMNS = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "latency": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}

Fields = Mapping[str, str]


class MessageKind(StrEnum):
    """The first word of a message, as it is written on the wire."""

    UPSTREAM_STATS = "upstream_stats"
    CLIENT_STATS = "client_stats"
    TELEMETRY = "telemetry"
    HEARTBEAT = "hb"
    ATTACH = "attach"
    DONE = "done"


KINDS_BY_NAME = {kind.value: kind for kind in MessageKind}
MAX_KIND_LENGTH = max(map(len, KINDS_BY_NAME))


class MalformedStreamError(IronfallError):
    """The bytes are no messages, so that nothing else on the connection can be trusted either."""


class InvalidMessageError(IronfallError):
    """One message lacks a field or holds an impossible value; the messages beside it are good."""


class Message(NamedTuple):
    """One parsed line: its kind and its fields by name."""

    kind: MessageKind
    fields: Fields


class UpstreamReport(NamedTuple):
    """The outcomes of the attempts that one zone's proxies sent to one host during an interval.

    Attributes:
        zone: Index of the proxies' zone.
        host: Identifier of the host.
        attempts: All attempts of the interval.
        failures: Those of them that failed.
        mean_latency: Mean time of the attempts that succeeded, in ticks (tenths of a millisecond).
        interval: Length of the interval, in ticks.
        gauges: The host's own most recent load figures, by column name.
    """

    zone: int
    host: bytes
    attempts: int
    failures: int
    mean_latency: int
    interval: int
    gauges: dict[str, float]


class RequestReport(NamedTuple):
    """The requests of one class that reached one proxy.

    Attributes:
        proxy: Number of the proxy.
        request_class: Index of the request class.
        requests: All requests of the interval.
        unserved: Requests that the proxy admitted and could not serve.
    """

    proxy: int
    request_class: int
    requests: int
    unserved: int


class LineSplitter:
    """Splits a byte stream into lines and rejects early what cannot become a message.

    Attributes:
        max_line_bytes: The longest line that is accepted.
    """

    def __init__(self) -> None:
        self.max_line_bytes = MAX_UNJOINED_LINE_BYTES
        self._partial = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Takes the next bytes and returns the lines that they complete, without line ends.

        Raises:
            MalformedStreamError: The bytes so far cannot become a message, even if the line never
                ends.
        """
        checked = len(self._partial)
        self._partial += data
        lines: list[bytes] = []
        if b"\n" in data:
            *lines, last = bytes(self._partial).split(b"\n")
            self._partial = bytearray(last)
            checked = 0
        if any(len(line) > self.max_line_bytes for line in (*lines, self._partial)):
            raise MalformedStreamError(f"a line of over {self.max_line_bytes} bytes")
        if self._partial:
            self._check_partial(checked)
        return [line.removesuffix(b"\r") for line in lines]

    def _check_partial(self, checked: int) -> None:
        """Checks an unfinished line, of which the first `checked` bytes were checked before."""
        unchecked = self._partial[max(0, checked - 1) :]
        if not _is_printable(unchecked.removesuffix(b"\r")):
            raise MalformedStreamError("bytes that are no text")
        # Only as many bytes as a kind has: a long line in small pieces is not copied for each
        # piece.
        beginning = self._partial[: MAX_KIND_LENGTH + 2]
        kind = beginning.partition(b" ")[0].removesuffix(b"\r").decode("latin-1")
        if not any(known.startswith(kind) for known in KINDS_BY_NAME):
            raise MalformedStreamError(f"a line that begins with {kind[:MAX_KIND_LENGTH]!r}")


def _is_printable(data: bytes | bytearray) -> bool:
    return data.isascii() and data.decode("ascii").isprintable()


def parse_message(line: bytes) -> Message:
    """Parses one complete line.

    Raises:
        MalformedStreamError: The line is no message.
        InvalidMessageError: A field is not `name=value`, or stands twice.
    """
    if not _is_printable(line):
        raise MalformedStreamError("bytes that are no text")
    kind_name, *parts = line.decode("ascii").split(" ")
    kind = KINDS_BY_NAME.get(kind_name)
    if kind is None:
        raise MalformedStreamError(f"an unknown kind {kind_name[:MAX_KIND_LENGTH]!r}")
    fields: dict[str, str] = {}
    for part in parts:
        if not part:
            continue
        name, equals, value = part.partition("=")
        if not equals or name in fields:
            quoted = repr(part[:MAX_QUOTED_LENGTH])
            raise InvalidMessageError(f"{kind}: {quoted} is no name=value, or stands twice")
        fields[name] = value
    return Message(kind, fields)


class ReportParser:
    """Turns the fields of reports into figures, checked against the service's names."""

    def __init__(
        self,
        zones: tuple[str, ...],
        classes: tuple[str, ...],
        proxies: int,
        gauges: tuple[str, ...],
    ) -> None:
        self.zones = {name: index for index, name in enumerate(zones)}
        self._classes = {name: index for index, name in enumerate(classes)}
        self._proxies = proxies
        self._gauge_columns = {name: name for name in gauges}
        for name, column in GAUGE_COLUMNS.items():
            if column in gauges:
                self._gauge_columns[name] = column

    def zone(self, fields: Fields) -> int:
        """Returns the index of the zone that `locality` names.

        Raises:
            InvalidMessageError: It names none of the zones.
        """
        name = fields.get("locality", "")
        zone = self.zones.get(name)
        if zone is None:
            raise InvalidMessageError(
                f"locality: {name[:MAX_QUOTED_LENGTH]!r} is none of the zones"
            )
        return zone

    def upstream_report(self, fields: Fields) -> UpstreamReport:
        """Reads an `upstream_stats` message.

        Raises:
            InvalidMessageError: A field is missing or impossible.
        """
        attempts = _count(fields, "total")
        failures = _count(fields, "errors")
        if failures > attempts:
            raise InvalidMessageError(f"errors: {failures} of {attempts} tries")
        latency_ms = 0.0
        # Without a successful attempt the mean of their times may be missing.
        if attempts > failures or "rtt" in fields:
            latency_ms = _time_ms(fields, "rtt")
        host = fields.get("endpoint", "")
        if not 0 < len(host) <= MAX_HOST_NAME_LENGTH:
            raise InvalidMessageError("endpoint: missing, or no name of a host")
        return UpstreamReport(
            zone=self.zone(fields),
            host=host.encode(),
            attempts=attempts,
            failures=failures,
            mean_latency=round(latency_ms * TICKS_PER_MS),
            interval=_interval(fields),
            gauges=self._gauges(fields),
        )

    def request_report(self, fields: Fields) -> RequestReport:
        """Reads a `client_stats` message.

        Raises:
            InvalidMessageError: A field is missing or impossible.
        """
        requests = _count(fields, "total")
        unserved = _count(fields, "errors")
        proxy = _count(fields, "node")
        class_name = fields.get("route", "")
        request_class = self._classes.get(class_name)
        if unserved > requests or proxy >= self._proxies or request_class is None:
            quoted = repr(class_name[:MAX_QUOTED_LENGTH])
            raise InvalidMessageError(
                f"client_stats: {unserved} of {requests}, proxy {proxy}, class {quoted}"
            )
        _interval(fields)
        return RequestReport(proxy, request_class, requests, unserved)

    def _gauges(self, fields: Fields) -> dict[str, float]:
        gauges: dict[str, float] = {}
        text = fields.get("metrics")
        if not text:
            return gauges
        for pair in text.split(","):
            name, colon, value_text = pair.partition(":")
            if not colon:
                raise InvalidMessageError(f"metrics: {pair[:MAX_QUOTED_LENGTH]!r} is no name:value")
            value = _number(value_text, "metrics", MAX_GAUGE_VALUE)
            column = self._gauge_columns.get(name)
            if column is not None:
                gauges[column] = value
        return gauges


def _number(text: str, name: str, maximum: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    # Also false where the value is not a number.
    if not 0 <= value <= maximum:
        quoted = repr(text[:MAX_QUOTED_LENGTH])
        raise InvalidMessageError(f"{name}: {quoted} is no figure from 0 to {maximum:g}")
    return value


def _time_ms(fields: Fields, name: str) -> float:
    if name not in fields:
        raise InvalidMessageError(f"{name}: missing")
    return _number(fields[name], name, MAX_TIME_MS)


def _interval(fields: Fields) -> int:
    """The length of a report's interval, in ticks."""
    interval = round(_time_ms(fields, "interval") * TICKS_PER_MS)
    if interval <= 0:
        raise InvalidMessageError("interval: nought")
    return interval


def _count(fields: Fields, name: str) -> int:
    text = fields.get(name, "")
    if not text.isdigit() or len(text) > MAX_COUNT_DIGITS or int(text) > MAX_COUNT:
        quoted = repr(text[:MAX_QUOTED_LENGTH])
        raise InvalidMessageError(f"{name}: {quoted} is no number of exchanges")
    return int(text)
