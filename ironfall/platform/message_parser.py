"""Parses the messages that collectors send to a director. Pure: no I/O.

A message is one line of printable ASCII that ends with CRLF: its kind, then `name=value` fields,
separated by spaces.
"""

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from ironfall.decisions.time_units import TICKS_PER_MS
from ironfall.errors import IronfallError

MAX_LINE_BYTES = 1 << 20
# Limit for connections that have not joined: heartbeats and joining messages are far shorter.
MAX_UNJOINED_LINE_BYTES = 4096
MAX_COUNT = 10_000_000  # requests or attempts in one report
MAX_COUNT_DIGITS = 8
MAX_TIME_MS = 3_600_000.0
MAX_GAUGE_VALUE = 1e9
MAX_HOST_NAME_LENGTH = 200
MAX_QUOTED_LENGTH = 40  # characters of a peer's text in an error message

# The settings' column names by the platform's equivalent gauge names.
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
    """The bytes are not messages: nothing else on the connection can be trusted either."""


class InvalidMessageError(IronfallError):
    """One message lacks a field or has an invalid value; other messages are not affected."""


class Message(NamedTuple):
    """One parsed line: its kind and its fields by name."""

    kind: MessageKind
    fields: Fields


class UpstreamReport(NamedTuple):
    """The outcomes of the attempts from one zone's proxies to one host in an interval.

    Attributes:
        zone: Index of the proxies' zone.
        host: Identifier of the host.
        attempts: Number of attempts.
        failures: Number of failed attempts.
        mean_latency: Mean latency of the successful attempts, in ticks (tenths of a millisecond).
        interval: Length of the interval, in ticks.
        gauges: The most recent load figures that the host itself gave, by column name.
    """

    zone: int
    host: bytes
    attempts: int
    failures: int
    mean_latency: int
    interval: int
    gauges: dict[str, float]


class RequestReport(NamedTuple):
    """The requests of one class that reached one proxy in an interval.

    Attributes:
        proxy: Number of the proxy.
        request_class: Index of the request class.
        requests: Number of requests.
        unserved: Number of requests that the proxy admitted but could not serve.
    """

    proxy: int
    request_class: int
    requests: int
    unserved: int


class LineSplitter:
    """Splits a byte stream into lines, and rejects bytes early that can't become a message.

    Attributes:
        max_line_bytes: The longest line that is accepted.
    """

    def __init__(self) -> None:
        self.max_line_bytes = MAX_UNJOINED_LINE_BYTES
        self._partial = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the lines that they complete, without line ends.

        Raises:
            MalformedStreamError: A line is too long, or the incomplete last line can't become a
                message.
        """
        checked = len(self._partial)
        self._partial += data
        lines: list[bytes] = []
        if b"\n" in data:
            *lines, last = bytes(self._partial).split(b"\n")
            self._partial = bytearray(last)
            checked = 0
        if any(len(line) > self.max_line_bytes for line in (*lines, self._partial)):
            raise MalformedStreamError(f"line longer than {self.max_line_bytes} bytes")
        if self._partial:
            self._check_partial(checked)
        return [line.removesuffix(b"\r") for line in lines]

    def _check_partial(self, checked: int) -> None:
        """Checks an incomplete line, whose first `checked` bytes have been checked before."""
        unchecked = self._partial[max(0, checked - 1) :]
        if not _is_printable(unchecked.removesuffix(b"\r")):
            raise MalformedStreamError("bytes that are not printable ASCII")
        # Copies only as many bytes as a kind may have, not the whole line for each piece received.
        beginning = self._partial[: MAX_KIND_LENGTH + 2]
        kind = beginning.partition(b" ")[0].removesuffix(b"\r").decode("latin-1")
        if not any(known.startswith(kind) for known in KINDS_BY_NAME):
            raise MalformedStreamError(
                f"line of no known kind: it begins with {kind[:MAX_KIND_LENGTH]!r}"
            )


def _is_printable(data: bytes | bytearray) -> bool:
    return data.isascii() and data.decode("ascii").isprintable()


def parse_message(line: bytes) -> Message:
    """Parses one complete line.

    Raises:
        MalformedStreamError: The line is not a message.
        InvalidMessageError: A field is not `name=value`, or is repeated.
    """
    if not _is_printable(line):
        raise MalformedStreamError("bytes that are not printable ASCII")
    kind_name, *parts = line.decode("ascii").split(" ")
    kind = KINDS_BY_NAME.get(kind_name)
    if kind is None:
        raise MalformedStreamError(f"unknown message kind {kind_name[:MAX_KIND_LENGTH]!r}")
    fields: dict[str, str] = {}
    for part in parts:
        if not part:
            continue
        name, equals, value = part.partition("=")
        if not equals or name in fields:
            quoted = repr(part[:MAX_QUOTED_LENGTH])
            raise InvalidMessageError(f"{kind}: {quoted} is not name=value, or is repeated")
        fields[name] = value
    return Message(kind, fields)


class ReportParser:
    """Converts the fields of reports, checking names against those of the service."""

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

    def parse_zone(self, fields: Fields) -> int:
        """Returns the index of the zone that the field `locality` names.

        Raises:
            InvalidMessageError: The service has no such zone.
        """
        name = fields.get("locality", "")
        zone = self.zones.get(name)
        if zone is None:
            raise InvalidMessageError(
                f"locality: {name[:MAX_QUOTED_LENGTH]!r} is not a zone of the service"
            )
        return zone

    def parse_upstream_report(self, fields: Fields) -> UpstreamReport:
        """Reads an `upstream_stats` message.

        Raises:
            InvalidMessageError: A field is missing or invalid.
        """
        attempts = _parse_count(fields, "total")
        failures = _parse_count(fields, "errors")
        if failures > attempts:
            raise InvalidMessageError(f"errors: {failures} failures of only {attempts} attempts")
        latency_ms = 0.0
        # `rtt`, the mean latency of the successful attempts, may be missing if there are none.
        if attempts > failures or "rtt" in fields:
            latency_ms = _parse_time_ms(fields, "rtt")
        host = fields.get("endpoint", "")
        if not 0 < len(host) <= MAX_HOST_NAME_LENGTH:
            raise InvalidMessageError(
                f"endpoint: missing, or longer than {MAX_HOST_NAME_LENGTH} characters"
            )
        return UpstreamReport(
            zone=self.parse_zone(fields),
            host=host.encode(),
            attempts=attempts,
            failures=failures,
            mean_latency=round(latency_ms * TICKS_PER_MS),
            interval=_parse_interval(fields),
            gauges=self._parse_gauges(fields),
        )

    def parse_request_report(self, fields: Fields) -> RequestReport:
        """Reads a `client_stats` message.

        Raises:
            InvalidMessageError: A field is missing or invalid.
        """
        requests = _parse_count(fields, "total")
        unserved = _parse_count(fields, "errors")
        proxy = _parse_count(fields, "node")
        class_name = fields.get("route", "")
        request_class = self._classes.get(class_name)
        if unserved > requests or proxy >= self._proxies or request_class is None:
            quoted = repr(class_name[:MAX_QUOTED_LENGTH])
            raise InvalidMessageError(
                "client_stats: more errors than requests, or an unknown proxy or class: "
                f"{unserved} of {requests}, proxy {proxy}, class {quoted}"
            )
        _parse_interval(fields)
        return RequestReport(proxy, request_class, requests, unserved)

    def _parse_gauges(self, fields: Fields) -> dict[str, float]:
        gauges: dict[str, float] = {}
        text = fields.get("metrics")
        if not text:
            return gauges
        for pair in text.split(","):
            name, colon, value_text = pair.partition(":")
            if not colon:
                raise InvalidMessageError(
                    f"metrics: {pair[:MAX_QUOTED_LENGTH]!r} is not name:value"
                )
            value = _parse_number(value_text, "metrics", MAX_GAUGE_VALUE)
            column = self._gauge_columns.get(name)
            if column is not None:
                gauges[column] = value
        return gauges


def _parse_number(text: str, name: str, maximum: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    # Also false for NaN.
    if not 0 <= value <= maximum:
        quoted = repr(text[:MAX_QUOTED_LENGTH])
        raise InvalidMessageError(f"{name}: {quoted} is not a number from 0 to {maximum:g}")
    return value


def _parse_time_ms(fields: Fields, name: str) -> float:
    if name not in fields:
        raise InvalidMessageError(f"{name}: missing")
    return _parse_number(fields[name], name, MAX_TIME_MS)


def _parse_interval(fields: Fields) -> int:
    """Returns the length of a report's interval, in ticks."""
    interval = round(_parse_time_ms(fields, "interval") * TICKS_PER_MS)
    if interval <= 0:
        raise InvalidMessageError("interval: must be more than 0")
    return interval


def _parse_count(fields: Fields, name: str) -> int:
    text = fields.get(name, "")
    if not text.isdigit() or len(text) > MAX_COUNT_DIGITS or int(text) > MAX_COUNT:
        quoted = repr(text[:MAX_QUOTED_LENGTH])
        raise InvalidMessageError(f"{name}: {quoted} is not an integer from 0 to {MAX_COUNT}")
    return int(text)
