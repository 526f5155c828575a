"""Parses operators' files, S-expressions or JSON, to a `ServerSet`. No I/O.

    (servers "resale" (by "ops")
      (host "h01" (state drain))
      (host "h02" (keep "settle" "hold"))
      (host "h17" (address "127.0.1.9:9000") (zone "hill") (weight 1.5))
      (pin "h03" (weight 0.5) (owner "ops") (reason "slow disk") (until "2026-12-01T15:00:00Z"))
      (bounds "h04" (floor 0.5) (cap 2))
      (leave (remove 60%) (owner "ops") (reason "the hill is being rebuilt")))

The file is a single list, so that a truncated file is never valid. The JSON form is specified by
docs/files.schema.json.
"""

import json
import math
import re
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from ironfall.files.servers import STATES, Bounds, FileHost, Leave, Pin, ServerSet
from ironfall.sexp import Fault, Node, Source, Unreadable

MAX_FAULTS = 50
MAX_DEPTH = 20
NAME = re.compile(r"[^@/\s\"\\]{1,200}\Z")
ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})\Z")
MIN_WEIGHT, MAX_WEIGHT = 0.001, 1000.0

# Kind, name, fields with their places, place.
Row = tuple[str, str, dict[str, tuple[Any, str]], str]


class SetReader:
    """Reads a set from the rows of its fragments.

    The value readers return the value, or report a fault and return a default.

    Attributes:
        faults: Found so far, at most `MAX_FAULTS`.
        server_set: Read so far.
    """

    def __init__(self) -> None:
        """Starts with an empty set."""
        self.faults: list[Fault] = []
        self.server_set = ServerSet()

    def fault(self, place: str, what: str) -> None:
        """Reports a fault at a place, which is `file:line:column`."""
        if len(self.faults) < MAX_FAULTS:
            file, line, column = place.rsplit(":", 2)
            self.faults.append(Fault(file, int(line), int(column), what))

    # Value readers

    def text(self, value: Any, place: str) -> str:
        """Reads a non-empty text."""
        if isinstance(value, str) and value and len(value) <= 500:
            return value
        self.fault(place, "expected a quoted text of 1 to 500 characters")
        return ""

    def number(self, value: Any, place: str) -> float:
        """Reads a weight."""
        if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value):
            if MIN_WEIGHT <= value <= MAX_WEIGHT:
                return float(value)
        self.fault(
            place,
            f"expected a number from {MIN_WEIGHT:g} to {MAX_WEIGHT:g}; "
            "to take a host out of service, drain it",
        )
        return 1.0

    def part(self, value: Any, place: str) -> float:
        """Reads a percentage as a fraction."""
        if (
            isinstance(value, str)
            and re.fullmatch(r"\d{1,3}(\.\d+)?%", value)
            and float(value[:-1]) <= 100
        ):
            return float(value[:-1]) / 100
        self.fault(place, "expected a percentage such as 60%")
        return 0.0

    def time(self, value: Any, place: str) -> float:
        """Reads a time as seconds since 1970."""
        try:
            at = datetime.fromisoformat(value)
            return (at if at.tzinfo else at.replace(tzinfo=UTC)).timestamp()
        except (TypeError, ValueError, OverflowError):
            self.fault(place, 'expected a time such as "2026-12-01T15:00:00Z"')
            return 0.0

    def state(self, value: Any, place: str) -> str:
        """Reads the state of a host."""
        if value in STATES:
            return str(value)
        self.fault(place, f"expected one of {', '.join(STATES)}")
        return "ready"

    def yes(self, value: Any, place: str) -> bool:
        """Reads a yes or no."""
        if value not in ("yes", "no", True, False):
            self.fault(place, "expected yes or no")
        return value in ("yes", True)

    def classes(self, value: Any, place: str) -> list[str]:
        """Reads names of classes."""
        names = value if isinstance(value, list) else [value]
        if (
            names
            and all(isinstance(name, str) and name for name in names)
            and len(set(names)) == len(names) <= 100
        ):
            return list(names)
        self.fault(place, "expected quoted names of classes without duplicates")
        return []

    def address(self, value: Any, place: str) -> str:
        """Reads an IPv4 address with a port."""
        match = ADDRESS.match(value) if isinstance(value, str) else None
        if match and all(int(n) < 256 for n in match.groups()[:4]) and 0 < int(match[5]) < 65536:
            return str(value)
        self.fault(place, 'expected an address such as "127.0.1.9:9000"')
        return ""

    # Rows

    def row(self, row: Row) -> None:
        """Adds a row to the set."""
        kind, name, fields, place = row
        server_set = self.server_set
        if kind == "by":
            server_set.by = name
        elif kind == "leave":
            if server_set.leave:
                self.fault(place, f"a second leave; the first is at {server_set.leave.place}")
            values = self._read_fields(
                kind,
                fields,
                place,
                ("owner", "reason"),
                remove=self.part,
                cold=self.part,
                owner=self.text,
                reason=self.text,
            )
            server_set.leave = Leave(**values, place=place)
        elif not NAME.match(name):
            self.fault(place, f"{name[:40]!r} is not a valid name of a host")
        elif kind == "host":
            values = self._read_fields(
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
            if values.get("address") and not values.get("zone"):
                self.fault(place, f"{name} has an address but no zone")
            self._add_once(server_set.hosts, FileHost(name, **values, place=place))
        elif kind == "pin":
            values = self._read_fields(
                kind,
                fields,
                place,
                ("weight", "owner", "reason", "until"),
                weight=self.number,
                owner=self.text,
                reason=self.text,
                until=self.time,
            )
            defaults = {"weight": 1.0, "owner": "", "reason": "", "until": 0.0}
            self._add_once(server_set.pins, Pin(name, **{**defaults, **values}, place=place))
        elif kind == "bounds":
            values = self._read_fields(kind, fields, place, (), floor=self.number, cap=self.number)
            bounds = Bounds(name, **values, place=place)
            if bounds.floor > bounds.cap:
                self.fault(place, f"the floor of {name} is above its cap")
            self._add_once(server_set.bounds, bounds)

    def _add_once(self, into: dict[str, Any], item: Any) -> None:
        if item.name in into:
            self.fault(
                item.place,
                f"{item.name} is given twice; the first is at {into[item.name].place}",
            )
        else:
            into[item.name] = item

    def _read_fields(
        self,
        kind: str,
        fields: dict[str, tuple[Any, str]],
        place: str,
        required: tuple[str, ...],
        **readers: Callable[[Any, str], Any],
    ) -> dict[str, Any]:
        values = {}
        for word, (value, at) in fields.items():
            if word not in readers:
                self.fault(
                    at, f"unknown word {word!r} in {kind}; expected one of: {', '.join(readers)}"
                )
            else:
                values[word] = readers[word](value, at)
        for word in required:
            if word not in fields:
                self.fault(place, f"{kind} needs {word}")
        return values


def read_set(fragments: list[tuple[str, bytes]]) -> ServerSet:
    """Parses the fragments of a set.

    Args:
        fragments: Names and contents, in order.

    Raises:
        Unreadable: With all faults and their places.
    """
    reader = SetReader()
    for name, data in fragments:
        try:
            text = data.decode()
        except UnicodeDecodeError as error:
            line = data.count(b"\n", 0, error.start) + 1
            column = error.start - data.rfind(b"\n", 0, error.start)
            reader.faults.append(Fault(name, line, column, "invalid UTF-8"))
            continue
        try:
            rows, service = (_read_json if name.endswith(".json") else _read_sexp)(
                reader, name, text
            )
        except Unreadable as error:
            reader.faults += error.faults[:MAX_FAULTS]
            continue
        if reader.server_set.service not in ("", service):
            reader.fault(
                f"{name}:1:1",
                f"servers of service {service!r}, but an earlier fragment has "
                f"{reader.server_set.service!r}",
            )
        reader.server_set.service = service
        for row in rows:
            reader.row(row)
    if not fragments:
        raise Unreadable([Fault("", 0, 0, "no fragments")])
    if reader.faults:
        raise Unreadable(reader.faults[:MAX_FAULTS])
    return reader.server_set


def _read_sexp(reader: SetReader, name: str, text: str) -> tuple[list[Row], str]:
    depth = _depth(text)
    if depth > MAX_DEPTH:
        raise Unreadable(
            [Fault(name, 1, 1, f"lists nested {depth} deep, over the limit of {MAX_DEPTH}")]
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
    return [row for node in top[2:] if (row := _read_row(reader, places, node))], service


def _read_row(reader: SetReader, places: "_Places", node: Node) -> Row | None:
    place, kind = places.text(node.at), node.head
    if kind not in ("host", "pin", "bounds", "leave", "by"):
        reader.fault(
            place,
            f"expected a list of by, host, pin, bounds or leave, not {kind or node.value!r:.40}",
        )
        return None
    parts, first = node.parts[1:], ""
    if kind != "leave":
        if not parts or not isinstance(parts[0].value, str):
            reader.fault(place, f'expected ({kind} "name" ...)')
            return None
        first, parts = parts[0].value, parts[1:]
    fields: dict[str, tuple[Any, str]] = {}
    for part in parts:
        at = places.text(part.at)
        is_list = part.head == "keep" and len(part.parts) > 2
        if not part.head or (len(part.parts) != 2 and not is_list):
            reader.fault(at, f"expected (word value) in ({kind} ...)")
        elif part.head in fields:
            reader.fault(at, f"{part.head} is given twice")
        else:
            value = part.parts[1]
            read_value = (
                [one.word or one.value for one in part.parts[1:]]
                if is_list
                else value.word or value.value
            )
            fields[part.head] = (read_value, places.text(value.at))
    return kind, first, fields, place


class _Places:
    """Converts offsets to lines and columns; fast, for files with ten thousand hosts."""

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.starts = [0, *(match.end() for match in re.finditer("\n", text))]

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
    for char in text:
        if comment:
            comment = char != "\n"
        elif quoted:
            quoted, escaped = char != '"' or escaped, char == "\\" and not escaped
        elif char == '"':
            quoted = True
        elif char == ";":
            comment = True
        elif char == "(":
            depth += 1
            deepest = max(deepest, depth)
        elif char == ")":
            depth -= 1
    return deepest


def _read_json(reader: SetReader, name: str, text: str) -> tuple[list[Row], str]:
    try:
        document = json.loads(text, object_pairs_hook=_object_from_pairs)
    except json.JSONDecodeError as error:
        raise Unreadable([Fault(name, error.lineno, error.colno, error.msg)]) from None
    except (ValueError, RecursionError) as error:
        what = str(error) if isinstance(error, ValueError) else "nested too deeply"
        raise Unreadable([Fault(name, 1, 1, what)]) from None
    if (
        not isinstance(document, dict)
        or not isinstance(document.get("servers"), str)
        or not document["servers"]
    ):
        raise Unreadable(
            [Fault(name, 1, 1, 'expected an object with "servers", the service\'s name')]
        )
    rows: list[Row] = []
    place = f"{name}:1:1"
    for key, value in document.items():
        if key == "by":
            rows.append(("by", reader.text(value, place), {}, place))
        elif key == "leave" and isinstance(value, dict):
            rows.append(("leave", "", {k: (v, place) for k, v in value.items()}, place))
        elif key in ("hosts", "pins", "bounds") and isinstance(value, list):
            kind = {"hosts": "host", "pins": "pin"}.get(str(key), str(key))
            for number, one in enumerate(value):
                if not isinstance(one, dict) or not isinstance(one.get("name"), str):
                    reader.fault(place, f'{key}[{number}]: expected an object with a "name"')
                    continue
                # The JSON parser gives no places, so the place has the entry's number instead.
                at = f"{name} {key}[{number}]:1:1"
                rows.append(
                    (kind, one["name"], {k: (v, at) for k, v in one.items() if k != "name"}, at)
                )
        elif key != "servers":
            reader.fault(
                place,
                f"unknown {key!r}, or a value of the wrong type; "
                "expected servers, by, hosts, pins, bounds or leave",
            )
    return rows, document["servers"]


def _object_from_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        duplicate = next(k for n, (k, _) in enumerate(pairs) if k in [j for j, _ in pairs[:n]])
        raise ValueError(f"{duplicate!r} is given twice in one object")
    return result
