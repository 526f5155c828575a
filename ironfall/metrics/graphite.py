"""Graphite's plaintext protocol, both ways: `path value time` lines, tagged series as `name;tag=value;...`.

Source: Graphite's documentation, "Feeding In Your Data" and "Graphite Tag Support". The pickle form is never read: to
unpickle what a peer sent is to run it.

>>> parse_line(b"servers.node7.util 0.4 1733000000")
Point(series='servers.node7.util', value=0.4, at=1733000000.0, tags=())
>>> format_line(Point("turn;x", 1.5, 1733000000.0, (("zone", "hill"),)))
b'turn_x;zone=hill 1.5 1733000000\\n'
"""

import math
import re
from collections.abc import Iterator

from ironfall.metrics.point import Malformed, Point

LINE_MOST = 2048
_SERIES = re.compile(r"[A-Za-z0-9_.%:@/#+-]{1,512}\Z")
_BAD = re.compile(r"[^A-Za-z0-9_.%:@/#+-]")
_TAG = re.compile(r"[^;!^=~ ][^;!^= ]*\Z")


def parse_line(line: bytes) -> Point:
    """One line without its end; raises `Malformed`."""
    if len(line) > LINE_MOST:
        raise Malformed(f"a line of {len(line)} bytes is over the limit of {LINE_MOST}")
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError as wrong:
        raise Malformed(f"byte {wrong.start} is not ASCII") from None
    if len(words) not in (2, 3):
        raise Malformed(f"expected a path, a value and a time, not {len(words)} words")
    name, *tagged = words[0].split(";")
    if not _SERIES.match(name):
        raise Malformed(f"{name[:40]!r} is no path")
    tags = []
    for tag in tagged[:32]:
        key, _, value = tag.partition("=")
        if not key or not _TAG.match(key) or not value or not _TAG.match(value):
            raise Malformed(f"{tag[:40]!r} is no tag")
        tags.append((key, value))
    return Point(
        name,
        _number(words[1], "value"),
        _time(words[2] if len(words) == 3 else "-1"),
        tuple(sorted(tags)),
    )


def _number(word: str, what: str) -> float:
    try:
        number = float(word) if "_" not in word else math.nan
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise Malformed(f"{word[:40]!r} is no {what}")
    return number


def _time(word: str) -> float:
    at = _number(word, "time")
    if at == -1:
        return 0.0
    if not 0 < at < 1e11:
        raise Malformed(f"{word[:40]!r} is no time")
    return at


def format_line(point: Point) -> bytes:
    """The line with its end. What a path can't hold becomes `_`: a name is never a reason to lose its value."""
    name = _BAD.sub("_", point.series)[:512] or "_"
    tags = "".join(f";{_BAD.sub('_', k)}={_BAD.sub('_', v)}" for k, v in sorted(point.tags))
    at = f"{point.at:.0f}" if point.at else "-1"
    return f"{name}{tags} {point.value!r} {at}\n".encode()


class Lines:
    """Bytes of a stream into lines, with no more held than one line's limit."""

    def __init__(self) -> None:
        self.held = bytearray()
        self.skipping = False

    def feed(self, data: bytes) -> Iterator[bytes | Malformed]:
        """Each whole line, or what was wrong with it. An over-long line is told once and passed over to its end."""
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
                yield Malformed(f"a line is over the limit of {LINE_MOST} bytes")
            self.skipping = True
            self.held.clear()
