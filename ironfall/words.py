"""What terms are read with: lists word by word, values with their units, each fault where it stands. No I/O.

Below every package that owns a section of the terms, so that the section can be read there (docs/terms.md).
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ironfall.decisions.interface import ServiceSettings
from ironfall.sexp import Node, Source

SECOND = 10_000
UNITS = {"ms": 10.0, "s": float(SECOND), "min": 60.0 * SECOND}
SIZES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
# What the module calls its gauges, by the operators' words.
GAUGES = {"util": "busy", "queue": "q", "inflight": "rif", "latency": "lat_ms"}


@dataclass(frozen=True)
class Facts:
    """What is known of the service when its sections are read. `service` is what the decisions are handed."""

    name: str
    service: ServiceSettings
    zones: tuple[str, ...]
    classes: tuple[str, ...]

    def zone(self, name: str) -> int:
        return self.zones.index(name)

    def kind(self, name: str) -> int:
        return self.classes.index(name)


class Form:
    """A list `(head word...)` read word by word; what is left over at the end is unknown, here and within."""

    def __init__(self, source: Source, node: Node, skip: int = 1) -> None:
        self.source, self.node = source, node
        self.lists: dict[str, list[Node]] = {}
        self.values = [n for n in node.parts[skip:] if not isinstance(n.value, list)]
        self.asked: set[str] = set()
        self.within: dict[str, Form] = {}
        for part in node.parts[skip:]:
            if isinstance(part.value, list):
                if not part.head:
                    source.fault(part.at, "expected a list that starts with a word")
                self.lists.setdefault(part.head, []).append(part)

    def all(self, head: str) -> list[Node]:
        self.asked.add(head)
        return self.lists.get(head, [])

    def form(self, head: str, must: bool = True) -> "Form":
        """The one list `(head ...)`, an empty one where it may be left out; the same at every call."""
        if head in self.within:
            return self.within[head]
        found = self.all(head)
        if len(found) > 1:
            self.source.fault(found[1].at, f"({head} ...) stands here a second time")
        if not found and must:
            self.source.fault(self.node.at, f"({head} ...) is missing in ({self.node.head} ...)")
        self.within[head] = Form(self.source, found[0] if found else Node([], self.node.at))
        return self.within[head]

    def name(self) -> str:
        """The text in quotes that a list such as `(class "name" ...)` starts with."""
        name = self.values[0].value if self.values and isinstance(self.values[0].value, str) else ""
        if not name:
            self.source.fault(self.node.at, f'expected ({self.node.head} "name" ...)')
        return name

    def names(self, head: str) -> tuple[str, ...]:
        names: list[str] = []
        for node in self.values_of(head, True) or []:
            if not isinstance(node.value, str) or not node.value:
                self.source.fault(node.at, f"({head} ...) takes names in quotes")
            elif node.value in names:
                self.source.fault(node.at, f"{node.value} is named twice")
            else:
                names.append(node.value)
        if self.lists.get(head) and not names:
            self.source.fault(self.lists[head][0].at, f"({head} ...) names nothing")
        return tuple(names)

    def values_of(self, head: str, must: bool) -> list[Node] | None:
        found = self.all(head)
        if len(found) > 1:
            self.source.fault(found[1].at, f"({head} ...) stands here a second time")
        if found:
            return found[0].parts[1:]
        if must and self.node.parts:
            self.source.fault(self.node.at, f"({head} ...) is missing in ({self.node.head} ...)")
        return None

    def get(self, head: str, read: Callable[[Source, Node], Any], usual: Any = None) -> Any:
        """The one value of `(head value)`; `usual` where it may be left out, else it must be there."""
        values = self.values_of(head, usual is None)
        if values is None:
            return usual if usual is not None else _ZERO[read]
        if len(values) != 1:
            at = self.all(head)[0].at
            self.source.fault(at, f"({head} ...) takes one value, not {len(values)}")
            return _ZERO[read]
        return read(self.source, values[0])

    def done(self) -> None:
        for head, nodes in self.lists.items():
            if head and head not in self.asked:
                known = ", ".join(sorted(self.asked)) or "none"
                self.source.fault(nodes[0].at, f"unknown word {head}; expected one of: {known}")
        for form in self.within.values():
            form.done()


def united(source: Source, node: Node, units: dict[str, Any], what: str) -> float | None:
    text = node.word
    digits = text.rstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ%")
    unit = text[len(digits) :]
    try:
        number = float(digits)
    except ValueError:
        number = math.nan
    if unit not in units or not math.isfinite(number) or number < 0:
        shown = text or repr(node.value)
        source.fault(node.at, f"expected {what} with a unit ({', '.join(units)}), not {shown}")
        return None
    return float(number * units[unit])


def time(source: Source, node: Node) -> int:
    return round(united(source, node, UNITS, "a time") or 0)


def size(source: Source, node: Node) -> int:
    return round(united(source, node, SIZES, "a size") or 0)


def number(source: Source, node: Node) -> float:
    if isinstance(node.value, int | float) and node.value >= 0 and math.isfinite(node.value):
        return float(node.value)
    source.fault(
        node.at, f"expected a number from 0 up, without a unit, not {node.word or node.value!r}"
    )
    return 0.0


def count(source: Source, node: Node) -> int:
    if isinstance(node.value, int) and node.value >= 0:
        return node.value
    source.fault(node.at, f"expected a whole number from 0 up, not {node.word or node.value!r}")
    return 0


def address(source: Source, node: Node) -> tuple[str, int]:
    host, _, port = node.value.rpartition(":") if isinstance(node.value, str) else ("", "", "")
    if host and port.isdigit() and int(port) < 65536:
        return host, int(port)
    source.fault(node.at, 'expected an address such as "127.0.0.1:7400"')
    return "", 0


def part(source: Source, node: Node) -> float:
    part = united(source, node, {"%": 0.01}, "a part") or 0.0
    if part > 1:
        source.fault(node.at, f"expected a part of at most 100%, not {node.word}")
    return part


def yes(source: Source, node: Node) -> bool:
    return one_of("yes", "no")(source, node) == "yes"


def one_of(*words: str) -> Callable[[Source, Node], str]:
    def read(source: Source, node: Node) -> str:
        if node.word in words:
            return node.word
        source.fault(
            node.at, f"expected one of {', '.join(words)}, not {node.word or node.value!r}"
        )
        return words[0]

    _ZERO[read] = words[0]
    return read


def text(source: Source, node: Node) -> str:
    if isinstance(node.value, str) and node.value:
        return node.value
    source.fault(node.at, f"expected a text in quotes, not {node.word or repr(node.value)}")
    return ""


_ZERO: dict[Any, Any] = {
    text: "",
    time: 0,
    size: 0,
    number: 0.0,
    count: 0,
    address: ("", 0),
    yes: False,
    part: 0.0,
}
