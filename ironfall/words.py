"""Reads the lists and values of settings files, and reports each error at its place. No I/O.

A `Form` looks up the lists within a list by their first word; the value readers (`time`, `count`,
`address` ...) check one value and its unit. The packages read their sections of the settings with
these; see docs/terms.md.
"""

import math
import string
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from ironfall.decisions.interface import ServiceSettings
from ironfall.sexp import Node, Source

# Times are whole ticks of a tenth of a millisecond.
TICKS_PER_MS = 10
SECOND = 1_000 * TICKS_PER_MS
TICKS_PER_UNIT = {"ms": float(TICKS_PER_MS), "s": float(SECOND), "min": 60.0 * SECOND}
BYTES_PER_UNIT = {"B": 1.0, "KiB": 1024.0, "MiB": 1024.0 * 1024.0}
FRACTION_PER_UNIT = {"%": 0.01}
MAX_PORT = 65_535
# The names of gauges in the decisions' interface, by their names in settings.
GAUGES = {"util": "busy", "queue": "q", "inflight": "rif", "latency": "lat_ms"}

_UNIT_CHARACTERS = string.ascii_letters + "%"

Value = TypeVar("Value")


@dataclass(frozen=True)
class Facts:
    """The basic settings of a service, which the readers of its sections refer to.

    Attributes:
        name: The service's name.
        service: The settings that the decisions work from.
        zones: Names of the zones, by number.
        classes: Names of the request classes, by number.
    """

    name: str
    service: ServiceSettings
    zones: tuple[str, ...]
    classes: tuple[str, ...]

    def zone(self, name: str) -> int:
        """Returns the number of a zone; raises ValueError for an unknown name."""
        return self.zones.index(name)

    def kind(self, name: str) -> int:
        """Returns the number of a request class; raises ValueError for an unknown name."""
        return self.classes.index(name)


@dataclass(frozen=True)
class ValueReader(Generic[Value]):
    """A callable that checks one node and converts it to a value.

    Attributes:
        read: Converts the node; reports an error and returns a placeholder if it can't.
        placeholder: Stands for a missing value, so that reading goes on and finds further errors.
    """

    read: Callable[[Source, Node], Value]
    placeholder: Value

    def __call__(self, source: Source, node: Node) -> Value:
        """Returns the value of a node; reports errors to `source`."""
        return self.read(source, node)


class Form:
    """A list `(head ...)` whose inner lists are looked up by their first word.

    `done` reports the inner lists that were not looked up.

    Attributes:
        source: The file, to which errors are reported.
        node: The list itself.
        lists: The lists that are its elements, by their first word, in the order of the file.
        values: The atoms that are its elements, after the first `skip` ones.
    """

    def __init__(self, source: Source, node: Node, skip: int = 1) -> None:
        self.source = source
        self.node = node
        self.lists: dict[str, list[Node]] = {}
        self.values: list[Node] = []
        self._known_heads: set[str] = set()
        self._forms: dict[str, Form] = {}
        for part in node.parts[skip:]:
            if not isinstance(part.value, list):
                self.values.append(part)
                continue
            if not part.head:
                source.fault(part.at, "expected a list that starts with a word")
            self.lists.setdefault(part.head, []).append(part)

    def all(self, head: str) -> list[Node]:
        """Returns the lists `(head ...)`, in the order of the file."""
        self._known_heads.add(head)
        return self.lists.get(head, [])

    def form(self, head: str, required: bool = True) -> "Form":
        """Returns the list `(head ...)`, or an empty one if it is absent; the same at every call.

        Reports a second list, and a missing one if it is `required`.
        """
        if head in self._forms:
            return self._forms[head]
        found = self.all(head)
        self._report_second(head, found)
        if not found and required:
            self._report_missing(head)
        form = Form(self.source, found[0] if found else Node([], self.node.at))
        self._forms[head] = form
        return form

    def name(self) -> str:
        """Returns the name in a list such as `(class "name" ...)`.

        Reports a missing or empty one, and returns an empty text then.
        """
        name = self.values[0].value if self.values else None
        if isinstance(name, str) and name:
            return name
        self.source.fault(self.node.at, f'expected ({self.node.head} "name" ...)')
        return ""

    def names(self, head: str) -> tuple[str, ...]:
        """Returns the names in the required list `(head "name" ...)`; reports repeated ones."""
        names: list[str] = []
        for node in self.values_of(head, required=True) or []:
            if not isinstance(node.value, str) or not node.value:
                self.source.fault(node.at, f"({head} ...) takes names in quotes")
            elif node.value in names:
                self.source.fault(node.at, f"{node.value} is named twice")
            else:
                names.append(node.value)
        if self.lists.get(head) and not names:
            self.source.fault(self.lists[head][0].at, f"({head} ...) needs at least one name")
        return tuple(names)

    def values_of(self, head: str, required: bool) -> list[Node] | None:
        """Returns the elements of the list `(head ...)` after its head; None if it is absent.

        Reports a second list, and a missing one if it is `required` and this form is not empty.
        """
        found = self.all(head)
        self._report_second(head, found)
        if found:
            return found[0].parts[1:]
        if required and self.node.parts:
            self._report_missing(head)
        return None

    def get(self, head: str, read: ValueReader[Value], default: Value | None = None) -> Value:
        """Returns the value in `(head value)`, which is required if there is no default.

        Reports a missing or malformed value, and returns the reader's placeholder then.
        """
        values = self.values_of(head, required=default is None)
        if values is None:
            return read.placeholder if default is None else default
        if len(values) != 1:
            at = self.lists[head][0].at
            self.source.fault(at, f"({head} ...) takes one value, not {len(values)}")
            return read.placeholder
        return read(self.source, values[0])

    def done(self) -> None:
        """Reports the lists that were not looked up, here and in the forms within."""
        for head, nodes in self.lists.items():
            if head and head not in self._known_heads:
                known = ", ".join(sorted(self._known_heads)) or "none"
                self.source.fault(nodes[0].at, f"unknown word {head}; expected one of: {known}")
        for form in self._forms.values():
            form.done()

    def _report_second(self, head: str, found: list[Node]) -> None:
        if len(found) > 1:
            self.source.fault(found[1].at, f"({head} ...) occurs a second time")

    def _report_missing(self, head: str) -> None:
        self.source.fault(self.node.at, f"({head} ...) is missing in ({self.node.head} ...)")


def _value_reader(
    placeholder: Value,
) -> Callable[[Callable[[Source, Node], Value]], ValueReader[Value]]:
    """Returns a decorator that makes a function a value reader with this placeholder."""

    def wrap(read: Callable[[Source, Node], Value]) -> ValueReader[Value]:
        return ValueReader(read, placeholder)

    return wrap


@_value_reader(placeholder=0)
def time(source: Source, node: Node) -> int:
    """Reads a time such as `250ms`, and returns whole ticks of 0.1 ms."""
    return round(_read_with_unit(source, node, TICKS_PER_UNIT, "a time"))


@_value_reader(placeholder=0)
def size(source: Source, node: Node) -> int:
    """Reads a size such as `64KiB`, and returns bytes."""
    return round(_read_with_unit(source, node, BYTES_PER_UNIT, "a size"))


@_value_reader(placeholder=0.0)
def part(source: Source, node: Node) -> float:
    """Reads a share such as `20%`, and returns a fraction; over 100% is reported but returned."""
    fraction = _read_with_unit(source, node, FRACTION_PER_UNIT, "a percentage")
    if fraction > 1:
        source.fault(node.at, f"expected a percentage of at most 100%, not {node.word}")
    return fraction


@_value_reader(placeholder=0.0)
def number(source: Source, node: Node) -> float:
    """Reads a finite number from 0 up, without a unit."""
    if isinstance(node.value, int | float) and node.value >= 0 and math.isfinite(node.value):
        return float(node.value)
    expected = "expected a number from 0 up, without a unit"
    source.fault(node.at, f"{expected}, not {_quoted(node)}")
    return 0.0


@_value_reader(placeholder=0)
def count(source: Source, node: Node) -> int:
    """Reads a whole number from 0 up."""
    if isinstance(node.value, int) and node.value >= 0:
        return node.value
    source.fault(node.at, f"expected a whole number from 0 up, not {_quoted(node)}")
    return 0


@_value_reader(placeholder=("", 0))
def address(source: Source, node: Node) -> tuple[str, int]:
    """Reads a quoted `"HOST:PORT"`, and returns host and port."""
    host, _, port = node.value.rpartition(":") if isinstance(node.value, str) else ("", "", "")
    if host and port.isdigit() and int(port) <= MAX_PORT:
        return host, int(port)
    source.fault(node.at, 'expected an address such as "127.0.0.1:7400"')
    return "", 0


def one_of(*words: str) -> ValueReader[str]:
    """Returns a reader of one of these symbols; the first stands for a missing or unknown one."""

    @_value_reader(placeholder=words[0])
    def read(source: Source, node: Node) -> str:
        if node.word in words:
            return node.word
        source.fault(node.at, f"expected one of {', '.join(words)}, not {_quoted(node)}")
        return words[0]

    return read


_read_yes_or_no = one_of("yes", "no")


@_value_reader(placeholder=False)
def yes(source: Source, node: Node) -> bool:
    """Reads `yes` or `no`, and returns whether it is `yes`; anything else is reported, and true."""
    return _read_yes_or_no(source, node) == "yes"


@_value_reader(placeholder="")
def text(source: Source, node: Node) -> str:
    """Reads a quoted text that is not empty."""
    if isinstance(node.value, str) and node.value:
        return node.value
    source.fault(node.at, f"expected a text in quotes, not {shown(node)}")
    return ""


def shown(node: Node) -> str:
    """Returns a node for an error message: a symbol as written, anything else as its `repr`."""
    return node.word or repr(node.value)


def _quoted(node: Node) -> str:
    """Returns a node for an error message, with symbols in quotes too."""
    return repr(node.word or node.value)


def _read_with_unit(
    source: Source, node: Node, factor_per_unit: Mapping[str, float], expected: str
) -> float:
    """Returns a symbol such as `250ms` in the base unit; reports a malformed one and returns 0."""
    digits = node.word.rstrip(_UNIT_CHARACTERS)
    unit = node.word[len(digits) :]
    try:
        amount = float(digits)
    except ValueError:
        amount = math.nan
    if unit not in factor_per_unit or not math.isfinite(amount) or amount < 0:
        units = ", ".join(factor_per_unit)
        source.fault(node.at, f"expected {expected} with a unit ({units}), not {shown(node)}")
        return 0.0
    return abs(amount) * factor_per_unit[unit]  # a written -0 becomes 0
