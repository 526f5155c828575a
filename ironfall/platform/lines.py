"""Lines as collectors write them: bytes into lines, a line into what it says. Pure."""

import math
from typing import NamedTuple

LINE_MOST = 1 << 20  # bytes, agreed
STRANGERS_MOST = 4096  # of a line before its writer has joined, which no hb and no joining is near
KINDS = ("upstream_stats", "client_stats", "telemetry", "hb", "attach", "done")
LONGEST_KIND = max(map(len, KINDS))
COUNT_MOST = 10_000_000  # of exchanges in one report
TIME_MOST = 3_600_000.0  # ms
# What the platform calls gauges, by the words of the settings' columns.
GAUGES = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "latency": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}


class Unreadable(Exception):
    """Whoever writes this goes on with what is no message: nothing it says can be told apart any more."""


class Spoilt(Exception):
    """One message can't be true or lacks something; those beside it are good."""


class Met(NamedTuple):
    """What the proxies of a zone met at a host."""

    zone: int
    host: bytes
    tries: int
    failed: int
    cost: int
    covers: int
    gauges: dict[str, float]


class CameIn(NamedTuple):
    proxy: int
    kind: int
    came: int
    lost: int


class Lines:
    """Whole lines out of bytes as they come in."""

    def __init__(self) -> None:
        self.rest = bytearray()
        self.most = STRANGERS_MOST

    def feed(self, data: bytes) -> list[bytes]:
        """Raises `Unreadable` as soon as what has come in can't become a message, also where it never ends."""
        begun = len(self.rest)
        self.rest += data
        if b"\n" in data:
            *whole, last = bytes(self.rest).split(b"\n")
            self.rest = bytearray(last)
            begun = 0
        else:
            whole = []
        if len(self.rest) > self.most or any(len(line) > self.most for line in whole):
            raise Unreadable(f"a line of over {self.most} bytes")
        if self.rest:
            if not _printable(self.rest[max(0, begun - 1) :].removesuffix(b"\r")):
                raise Unreadable("bytes that are no text")
            # No more of it than a kind has: a line of a mebibyte that comes in drips is not copied for each of them.
            kind = (
                self.rest[: LONGEST_KIND + 2]
                .partition(b" ")[0]
                .removesuffix(b"\r")
                .decode("latin-1")
            )
            if not any(known.startswith(kind) for known in KINDS):
                raise Unreadable(f"a line that begins with {kind[:LONGEST_KIND]!r}")
        return [line.removesuffix(b"\r") for line in whole]


def _printable(data: bytes | bytearray) -> bool:
    return data.isascii() and data.decode("ascii").isprintable()


def words(line: bytes) -> tuple[str, dict[str, str]]:
    """A message's kind and what it names; raises `Unreadable` for what is no message and `Spoilt` for a bad word."""
    if not _printable(line):
        raise Unreadable("bytes that are no text")
    kind, *rest = line.decode("ascii").split(" ")
    if kind not in KINDS:
        raise Unreadable(f"an unknown kind {kind[:LONGEST_KIND]!r}")
    told: dict[str, str] = {}
    for word in rest:
        name, equals, value = word.partition("=")
        if not word:
            continue
        if not equals or name in told:
            raise Spoilt(f"{kind}: {word[:40]!r} is no name=value, or stands twice")
        told[name] = value
    return kind, told


class Reader:
    """Reports into figures, checked against the names that exist."""

    def __init__(
        self,
        zones: tuple[str, ...],
        classes: tuple[str, ...],
        proxies: int,
        gauges: tuple[str, ...],
    ) -> None:
        self.zones = {name: n for n, name in enumerate(zones)}
        self.classes = {name: n for n, name in enumerate(classes)}
        self.proxies = proxies
        self.gauges = {name: name for name in gauges}
        self.gauges |= {theirs: ours for theirs, ours in GAUGES.items() if ours in gauges}

    def zone(self, told: dict[str, str]) -> int:
        found = self.zones.get(told.get("locality", ""), -1)
        if found < 0:
            raise Spoilt(f"locality: {told.get('locality', '')[:40]!r} is none of the zones")
        return found

    def met(self, told: dict[str, str]) -> Met:
        tries, failed = _count(told, "total"), _count(told, "errors")
        if failed > tries:
            raise Spoilt(f"errors: {failed} of {tries} tries")
        # With no good try there is no mean of them.
        cost = _time(told, "rtt") if tries > failed or "rtt" in told else 0.0
        host = told.get("endpoint", "")
        if not host or len(host) > 200:
            raise Spoilt("endpoint: missing, or no name of a host")
        return Met(
            self.zone(told),
            host.encode(),
            tries,
            failed,
            round(cost * 10),
            _span(told),
            self._gauges(told),
        )

    def came(self, told: dict[str, str]) -> CameIn:
        came, lost, proxy = _count(told, "total"), _count(told, "errors"), _count(told, "node")
        kind = self.classes.get(told.get("route", ""), -1)
        if lost > came or proxy >= self.proxies or kind < 0:
            raise Spoilt(
                f"client_stats: {lost} of {came}, proxy {proxy}, class {told.get('route', '')[:40]!r}"
            )
        _span(told)
        return CameIn(proxy, kind, came, lost)

    def _gauges(self, told: dict[str, str]) -> dict[str, float]:
        found: dict[str, float] = {}
        for pair in told.get("metrics", "").split(",") if told.get("metrics") else ():
            name, colon, value = pair.partition(":")
            if not colon:
                raise Spoilt(f"metrics: {pair[:40]!r} is no name:value")
            figure = _figure(value, "metrics", 1e9)
            if name in self.gauges:
                found[self.gauges[name]] = figure
        return found


def _figure(text: str, name: str, most: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value <= most:  # also not a number
        raise Spoilt(f"{name}: {text[:40]!r} is no figure from 0 to {most:g}")
    return value


def _time(told: dict[str, str], name: str) -> float:
    if name not in told:
        raise Spoilt(f"{name}: missing")
    return _figure(told[name], name, TIME_MOST)


def _span(told: dict[str, str]) -> int:
    span = round(_time(told, "interval") * 10)
    if span <= 0:
        raise Spoilt("interval: nought")
    return span


def _count(told: dict[str, str], name: str) -> int:
    text = told.get(name, "")
    if not text.isdigit() or len(text) > 8 or int(text) > COUNT_MOST:
        raise Spoilt(f"{name}: {text[:40]!r} is no number of exchanges")
    return int(text)
