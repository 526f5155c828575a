"""Parses S-expressions, and keeps the place of every atom and list in the file.

The grammar is that of the `sexpdata` library, restricted to round brackets. This module adds the
offset of each value, so that an error can name the line and column of its cause.
"""

from dataclasses import dataclass
from string import whitespace
from typing import Any

import sexpdata

from ironfall.errors import IronfallError


@dataclass(frozen=True)
class Fault:
    """An error in a file, with its place; lines and columns are counted from 1."""

    file: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.message}"


class Unreadable(IronfallError):
    """A file is rejected; `faults` holds every error found in it."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


@dataclass(frozen=True)
class Node:
    """An atom or a list, with its place.

    Attributes:
        value: A `str` (quoted text), `int`, `float` or `sexpdata.Symbol`, or a list of nodes.
        at: Offset of the first character in the file's text, in characters.
    """

    value: Any
    at: int

    @property
    def parts(self) -> list["Node"]:
        """Returns the elements of a list; none for an atom."""
        return self.value if isinstance(self.value, list) else []

    @property
    def word(self) -> str:
        """Returns the name of a symbol; an empty text for any other value."""
        return str(self.value.value()) if isinstance(self.value, sexpdata.Symbol) else ""

    @property
    def head(self) -> str:
        """Returns the name of the symbol that a list starts with; empty if there is none."""
        return self.parts[0].word if self.parts else ""


class _SyntaxFaultError(IronfallError):
    """The text breaks the grammar at the offset `at`, in characters."""

    def __init__(self, at: int, message: str) -> None:
        super().__init__(message)
        self.at = at
        self.message = message


class _PlacedParser(sexpdata.Parser):
    """The library's parser, which wraps each result in a `Node` that holds its offset."""

    def atom(self, token: str) -> int | float | sexpdata.Symbol:
        """Returns the value of an unquoted token.

        `nil` and `t` are symbols; the library would make them an empty list and a truth value.
        """
        for number_type in (int, float):
            try:
                return number_type(token)
            except ValueError:
                continue
        return sexpdata.Symbol(token)

    def parse_sexp(self, start: int) -> tuple[int, list[Node]]:
        """Parses the nodes from the offset `start` up to a closing bracket or the end of the text.

        Returns:
            The offset of the closing bracket or of the end of the text, and the nodes.

        Raises:
            _SyntaxFaultError: The text breaks the grammar.
            RecursionError: Lists are nested too deep.
        """
        text = self.string
        nodes: list[Node] = []
        position = self._skip_blanks(start)
        while position < len(text) and text[position] not in self.closing_brackets:
            node_start = position
            if text[node_start] == "(":
                position, value = self.parse_sexp(node_start + 1)
                if text[position : position + 1] != ")":
                    raise _SyntaxFaultError(node_start, "this list is never closed")
                position += 1
            elif text[node_start] == '"':
                position, value = self._parse_quoted(node_start)
            else:
                position, value = self._parse_token(node_start)
            nodes.append(Node(value, node_start))
            position = self._skip_blanks(position)
        return position, nodes

    def _skip_blanks(self, start: int) -> int:
        """Returns the offset of the first character from `start` on outside blanks and comments."""
        text = self.string
        position = start
        while position < len(text):
            if text[position] == self.line_comment:
                line_end = text.find("\n", position)
                if line_end < 0:
                    return len(text)
                position = line_end
            elif text[position] not in whitespace:
                break
            position += 1
        return position

    def _parse_quoted(self, start: int) -> tuple[int, Any]:
        """Returns the offset after the quoted text at `start`, and its content."""
        try:
            end, content = self.parse_str(start)
        except (AttributeError, IndexError):
            raise _SyntaxFaultError(start, "this string is never closed") from None
        return end, content

    def _parse_token(self, start: int) -> tuple[int, Any]:
        """Returns the offset after the number or symbol at `start`, and its value."""
        first = self.string[start]
        if first in self.brackets or first == "'":
            raise _SyntaxFaultError(start, f"only round brackets are used here, not {first}")
        try:
            end, value = self.parse_atom(start)
        except IndexError:
            raise _SyntaxFaultError(start, "a backslash with nothing after it") from None
        return end, value


class Source:
    """The text of a file, its parsed lists, and the errors found in it so far.

    Attributes:
        file: The file's name in errors.
        text: The file's content.
        faults: The errors reported by `fault`, in that order.
        nodes: The top-level values of the file.

    Raises:
        Unreadable: The text is not a sequence of well-formed S-expressions.
    """

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self.text = text
        self.faults: list[Fault] = []
        try:
            self.nodes = _parse(text)
        except _SyntaxFaultError as error:
            self.fault(error.at, error.message)
            raise Unreadable(self.faults) from None
        except RecursionError:
            self.fault(0, "lists are nested too deep")
            raise Unreadable(self.faults) from None

    def fault(self, at: int, message: str) -> None:
        """Records an error at the offset `at` of the text, in characters; does not raise."""
        line = self.text.count("\n", 0, at) + 1
        line_start = self.text.rfind("\n", 0, at) + 1
        self.faults.append(Fault(self.file, line, at - line_start + 1, message))


def _parse(text: str) -> list[Node]:
    """Returns the top-level nodes of `text`; raises `_SyntaxFaultError` or `RecursionError`."""
    end, nodes = _PlacedParser(text, line_comment=";").parse_sexp(0)
    if end < len(text):
        raise _SyntaxFaultError(end, "a closing bracket with no opening one")
    return nodes
