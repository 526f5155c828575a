r"""Encodes and decodes Graphite's plaintext protocol: `path value time` lines.

A tagged series is written `name;tag=value;...`.

Source: Graphite's documentation, "Feeding In Your Data" and "Graphite Tag Support". The pickle
protocol is not supported: unpickling data from a peer lets the peer run code.

>>> parse_line(b"servers.node7.util 0.4 1733000000")
Point(series='servers.node7.util', value=0.4, at=1733000000.0, tags=())
>>> format_line(Point("turn;x", 1.5, 1733000000.0, (("zone", "hill"),)))
b'turn_x;zone=hill 1.5 1733000000\n'
"""

import math
import re
from collections.abc import Iterator

from ironfall.metrics.point import Malformed, Point

LINE_MOST = 2048
_SERIES = re.compile(r"[A-Za-z0-9_.%:@/#+-]{1,512}\Z")
_NOT_ALLOWED = re.compile(r"[^A-Za-z0-9_.%:@/#+-]")
_TAG = re.compile(r"[^;!^=~ ][^;!^= ]*\Z")


def parse_line(line: bytes) -> Point:
    """Returns the point of one line without its newline; raises `Malformed`."""
    if len(line) > LINE_MOST:
        raise Malformed(f"line of {len(line)} bytes exceeds the limit of {LINE_MOST} bytes")
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError as error:
        raise Malformed(f"byte {error.start} is not ASCII") from None
    if len(words) not in (2, 3):
        raise Malformed(f"expected a path, a value and a time, found {len(words)} words")
    name, *tag_words = words[0].split(";")
    if not _SERIES.match(name):
        raise Malformed(f"{name[:40]!r} is not a valid path")
    tags = []
    for tag in tag_words[:32]:
        key, _, value = tag.partition("=")
        if not key or not _TAG.match(key) or not value or not _TAG.match(value):
            raise Malformed(f"{tag[:40]!r} is not a valid tag")
        tags.append((key, value))
    return Point(
        name,
        _parse_number(words[1], "value"),
        _parse_time(words[2] if len(words) == 3 else "-1"),
        tuple(sorted(tags)),
    )


def _parse_number(word: str, what: str) -> float:
    try:
        number = float(word) if "_" not in word else math.nan
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise Malformed(f"{word[:40]!r} is not a valid {what}")
    return number


def _parse_time(word: str) -> float:
    at = _parse_number(word, "time")
    if at == -1:
        return 0.0
    if not 0 < at < 1e11:
        raise Malformed(f"{word[:40]!r} is not a valid time")
    return at


def format_line(point: Point) -> bytes:
    """Returns the line of a point, with its newline.

    Characters that are not allowed in a path are replaced by `_`, so that no value is lost because
    of its name.
    """
    name = _NOT_ALLOWED.sub("_", point.series)[:512] or "_"
    tags = "".join(
        f";{_NOT_ALLOWED.sub('_', k)}={_NOT_ALLOWED.sub('_', v)}" for k, v in sorted(point.tags)
    )
    at = f"{point.at:.0f}" if point.at else "-1"
    return f"{name}{tags} {point.value!r} {at}\n".encode()


class Lines:
    """Splits a byte stream into lines and buffers at most one line's limit between calls."""

    def __init__(self) -> None:
        self.held = bytearray()
        self.skipping = False

    def feed(self, data: bytes) -> Iterator[bytes | Malformed]:
        """Yields each complete line, or an error for one that is too long.

        A line that is too long gives one error and is skipped up to its end.
        """
        self.held += data
        while (end := self.held.find(b"\n")) >= 0:
            line = bytes(self.held[:end]).rstrip(b"\r")
            del self.held[: end + 1]
            if self.skipping:
                self.skipping = False
            elif line.strip():
                yield line
        if len(self.held) > LINE_MOST:
            if not self.skipping:
                yield Malformed(f"line exceeds the limit of {LINE_MOST} bytes")
            self.skipping = True
            self.held.clear()
