"""The two forms of a file of servers, S-expressions and JSON, into one `ServerSet`. No I/O.

    (servers "resale" (by "ops")
      (host "h01" (state drain))
      (host "h02" (keep "settle" "hold"))
      (host "h17" (address "127.0.1.9:9000") (zone "hill") (weight 1.5))
      (pin "h03" (weight 0.5) (owner "ops") (reason "slow disk") (until "2026-12-01T15:00:00Z"))
      (bounds "h04" (floor 0.5) (cap 2))
      (leave (remove 60%) (owner "ops") (reason "the hill is being rebuilt")))

The whole file is one list: a file that was cut anywhere is never a file that says less. JSON: docs/files.schema.json.
"""

import json
import math
import re
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from ironfall.files.servers import STATES, Bounds, FileHost, Leave, Pin, ServerSet
from ironfall.sexp import Fault, Node, Source, Unreadable

FAULTS_MOST = 50
DEEPEST = 20
NAME = re.compile(r"[^@/\s\"\\]{1,200}\Z")
ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})\Z")
WEIGHT_LEAST, WEIGHT_MOST = 0.001, 1000.0

Row = tuple[
    str, str, dict[str, tuple[Any, str]], str
]  # kind, name, fields with their places, place


class Reading:
    """One set being read from its fragments, and what is wrong so far."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.found = ServerSet()

    def fault(self, place: str, what: str) -> None:
        if len(self.faults) < FAULTS_MOST:
            file, line, column = place.rsplit(":", 2)
            self.faults.append(Fault(file, int(line), int(column), what))

    # values: each is right or a fault with its place

    def text(self, value: Any, place: str) -> str:
        if isinstance(value, str) and value and len(value) <= 500:
            return value
        self.fault(place, "expected a text in quotes, of at most 500 characters")
        return ""

    def number(self, value: Any, place: str) -> float:
        if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value):
            if WEIGHT_LEAST <= value <= WEIGHT_MOST:
                return float(value)
        self.fault(
            place,
            f"expected a number from {WEIGHT_LEAST:g} to {WEIGHT_MOST:g}; to take a host out, drain it",
        )
        return 1.0

    def part(self, value: Any, place: str) -> float:
        if (
            isinstance(value, str)
            and re.fullmatch(r"\d{1,3}(\.\d+)?%", value)
            and float(value[:-1]) <= 100
        ):
            return float(value[:-1]) / 100
        self.fault(place, "expected a part such as 60%")
        return 0.0

    def time(self, value: Any, place: str) -> float:
        try:
            at = datetime.fromisoformat(value)
            return (at if at.tzinfo else at.replace(tzinfo=UTC)).timestamp()
        except (TypeError, ValueError, OverflowError):
            self.fault(place, 'expected a time such as "2026-12-01T15:00:00Z"')
            return 0.0

    def state(self, value: Any, place: str) -> str:
        if value in STATES:
            return str(value)
        self.fault(place, f"expected one of {', '.join(STATES)}")
        return "ready"

    def yes(self, value: Any, place: str) -> bool:
        if value not in ("yes", "no", True, False):
            self.fault(place, "expected yes or no")
        return value in ("yes", True)

    def classes(self, value: Any, place: str) -> list[str]:
        found = value if isinstance(value, list) else [value]
        if (
            found
            and all(isinstance(one, str) and one for one in found)
            and len(set(found)) == len(found) <= 100
        ):
            return list(found)
        self.fault(place, "expected names of classes in quotes, each once")
        return []

    def address(self, value: Any, place: str) -> str:
        found = ADDRESS.match(value) if isinstance(value, str) else None
        if found and all(int(n) < 256 for n in found.groups()[:4]) and 0 < int(found[5]) < 65536:
            return str(value)
        self.fault(place, 'expected an address such as "127.0.1.9:9000"')
        return ""

    # rows

    def row(self, row: Row) -> None:
        kind, name, fields, place = row
        found = self.found
        if kind == "by":
            found.by = name
        elif kind == "leave":
            if found.leave:
                self.fault(place, f"a second leave; the first is at {found.leave.place}")
            got = self._fields(
                kind,
                fields,
                place,
                ("owner", "reason"),
                remove=self.part,
                cold=self.part,
                owner=self.text,
                reason=self.text,
            )
            found.leave = Leave(**got, place=place)
        elif not NAME.match(name):
            self.fault(place, f"{name[:40]!r} is no name of a host")
        elif kind == "host":
            got = self._fields(
                kind,
                fields,
                place,
                (),
                address=self.address,
                zone=self.text,
                weight=self.number,
                state=self.state,
                warm=self.yes,
                keep=self.classes,
            )
            if got.get("address") and not got.get("zone"):
                self.fault(place, f"{name} has an address and no zone")
            self._once(found.hosts, FileHost(name, **got, place=place))
        elif kind == "pin":
            got = self._fields(
                kind,
                fields,
                place,
                ("weight", "owner", "reason", "until"),
                weight=self.number,
                owner=self.text,
                reason=self.text,
                until=self.time,
            )
            usual = {"weight": 1.0, "owner": "", "reason": "", "until": 0.0}
            self._once(found.pins, Pin(name, **{**usual, **got}, place=place))
        elif kind == "bounds":
            got = self._fields(kind, fields, place, (), floor=self.number, cap=self.number)
            bounds = Bounds(name, **got, place=place)
            if bounds.floor > bounds.cap:
                self.fault(place, f"the floor of {name} is above its cap")
            self._once(found.bounds, bounds)

    def _once(self, into: dict[str, Any], it: Any) -> None:
        if it.name in into:
            self.fault(
                it.place,
                f"{it.name} stands here a second time; the first is at {into[it.name].place}",
            )
        else:
            into[it.name] = it

    def _fields(
        self,
        kind: str,
        fields: dict[str, tuple[Any, str]],
        place: str,
        must: tuple[str, ...],
        **readers: Callable[[Any, str], Any],
    ) -> dict[str, Any]:
        got = {}
        for word, (value, at) in fields.items():
            if word not in readers:
                self.fault(
                    at, f"unknown word {word!r} in {kind}; expected one of: {', '.join(readers)}"
                )
            else:
                got[word] = readers[word](value, at)
        for word in must:
            if word not in fields:
                self.fault(place, f"{kind} needs {word}")
        return got


def read_set(fragments: list[tuple[str, bytes]]) -> ServerSet:
    """The set that the fragments (name and bytes, in order) make together; raises `Unreadable` with every place."""
    reading = Reading()
    for name, data in fragments:
        try:
            text = data.decode()
        except UnicodeDecodeError as wrong:
            line = data.count(b"\n", 0, wrong.start) + 1
            column = wrong.start - data.rfind(b"\n", 0, wrong.start)
            reading.faults.append(Fault(name, line, column, "a byte that is no UTF-8"))
            continue
        try:
            rows, service = (_json if name.endswith(".json") else _lists)(reading, name, text)
        except Unreadable as wrong:
            reading.faults += wrong.faults[:FAULTS_MOST]
            continue
        if reading.found.service not in ("", service):
            reading.fault(
                f"{name}:1:1", f"servers of {service!r}, beside those of {reading.found.service!r}"
            )
        reading.found.service = service
        for row in rows:
            reading.row(row)
    if not fragments:
        raise Unreadable([Fault("", 0, 0, "no file with servers is there")])
    if reading.faults:
        raise Unreadable(reading.faults[:FAULTS_MOST])
    return reading.found


def _lists(reading: Reading, name: str, text: str) -> tuple[list[Row], str]:
    depth = _depth(text)
    if depth > DEEPEST:
        raise Unreadable(
            [Fault(name, 1, 1, f"lists nested {depth} deep, over the limit of {DEEPEST}")]
        )
    source = Source(name, text)
    places = _Places(name, text)
    if len(source.nodes) != 1 or source.nodes[0].head != "servers":
        at = (
            source.nodes[1].at
            if len(source.nodes) > 1
            else source.nodes[0].at
            if source.nodes
            else 0
        )
        raise Unreadable(
            [
                Fault(
                    name,
                    *places.of(at),
                    'expected one list (servers "service" ...) and nothing else',
                )
            ]
        )
    top = source.nodes[0].parts
    service = top[1].value if len(top) > 1 and isinstance(top[1].value, str) else ""
    if not service:
        raise Unreadable(
            [Fault(name, *places.of(source.nodes[0].at), 'expected (servers "service" ...)')]
        )
    return [row for node in top[2:] if (row := _row(reading, places, node))], service


def _row(reading: Reading, places: "_Places", node: Node) -> Row | None:
    place, kind = places.text(node.at), node.head
    if kind not in ("host", "pin", "bounds", "leave", "by"):
        reading.fault(
            place,
            f"expected a list of by, host, pin, bounds or leave, not {kind or node.value!r:.40}",
        )
        return None
    parts, first = node.parts[1:], ""
    if kind != "leave":
        if not parts or not isinstance(parts[0].value, str):
            reading.fault(place, f'expected ({kind} "name" ...)')
            return None
        first, parts = parts[0].value, parts[1:]
    fields: dict[str, tuple[Any, str]] = {}
    for part in parts:
        at = places.text(part.at)
        several = part.head == "keep" and len(part.parts) > 2
        if not part.head or (len(part.parts) != 2 and not several):
            reading.fault(at, f"expected (word value) in ({kind} ...)")
        elif part.head in fields:
            reading.fault(at, f"{part.head} stands here a second time")
        else:
            value = part.parts[1]
            told = (
                [one.word or one.value for one in part.parts[1:]]
                if several
                else value.word or value.value
            )
            fields[part.head] = (told, places.text(value.at))
    return kind, first, fields, place


class _Places:
    """Lines and columns of offsets that only grow: a file of ten thousand hosts has as many."""

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.starts = [0, *(found.end() for found in re.finditer("\n", text))]

    def of(self, at: int) -> tuple[int, int]:
        from bisect import bisect_right

        line = bisect_right(self.starts, at)
        return line, at - self.starts[line - 1] + 1

    def text(self, at: int) -> str:
        line, column = self.of(at)
        return f"{self.name}:{line}:{column}"


def _depth(text: str) -> int:
    depth = deepest = 0
    quoted = escaped = comment = False
    for c in text:
        if comment:
            comment = c != "\n"
        elif quoted:
            quoted, escaped = c != '"' or escaped, c == "\\" and not escaped
        elif c == '"':
            quoted = True
        elif c == ";":
            comment = True
        elif c == "(":
            depth += 1
            deepest = max(deepest, depth)
        elif c == ")":
            depth -= 1
    return deepest


def _json(reading: Reading, name: str, text: str) -> tuple[list[Row], str]:
    try:
        told = json.loads(text, object_pairs_hook=_pairs)
    except json.JSONDecodeError as wrong:
        raise Unreadable([Fault(name, wrong.lineno, wrong.colno, wrong.msg)]) from None
    except (ValueError, RecursionError) as wrong:
        what = str(wrong) if isinstance(wrong, ValueError) else "nested too deep to read"
        raise Unreadable([Fault(name, 1, 1, what)]) from None
    if (
        not isinstance(told, dict)
        or not isinstance(told.get("servers"), str)
        or not told["servers"]
    ):
        raise Unreadable(
            [Fault(name, 1, 1, 'expected an object with "servers", the service\'s name')]
        )
    rows: list[Row] = []
    place = f"{name}:1:1"
    for key, value in told.items():
        if key == "by":
            rows.append(("by", reading.text(value, place), {}, place))
        elif key == "leave" and isinstance(value, dict):
            rows.append(("leave", "", {k: (v, place) for k, v in value.items()}, place))
        elif key in ("hosts", "pins", "bounds") and isinstance(value, list):
            kind = {"hosts": "host", "pins": "pin"}.get(str(key), str(key))
            for number, one in enumerate(value):
                if not isinstance(one, dict) or not isinstance(one.get("name"), str):
                    reading.fault(place, f'{key}[{number}]: expected an object with a "name"')
                    continue
                # JSON's reader keeps no places: the entry's number stands in the file's name.
                at = f"{name} {key}[{number}]:1:1"
                rows.append(
                    (kind, one["name"], {k: (v, at) for k, v in one.items() if k != "name"}, at)
                )
        elif key != "servers":
            reading.fault(
                place,
                f"unknown or misshapen {key!r}; expected servers, by, hosts, pins, bounds, leave",
            )
    return rows, told["servers"]


def _pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        twice = next(k for n, (k, _) in enumerate(pairs) if k in [j for j, _ in pairs[:n]])
        raise ValueError(f"{twice!r} stands twice in one object")
    return found
