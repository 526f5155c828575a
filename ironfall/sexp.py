"""S-expressions whose every atom and list knows its line and column.

The grammar is that of the `sexpdata` library; only its record of places is added, since an operator who is
told "bad value" without a place has to guess which of forty lines is meant.
"""

from dataclasses import dataclass
from string import whitespace
from typing import Any

import sexpdata


@dataclass(frozen=True)
class Fault:
    """One thing that is wrong in a file, and where."""

    file: str
    line: int
    column: int
    what: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.what}"


class Unreadable(Exception):
    """A file that is not taken; `faults` names every cause with its place."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


@dataclass(frozen=True)
class Node:
    """An atom (`value` is a `str`, `int`, `float` or `sexpdata.Symbol`) or a list of nodes."""

    value: Any
    at: int

    @property
    def parts(self) -> list["Node"]:
        return self.value if isinstance(self.value, list) else []

    @property
    def word(self) -> str:
        """The symbol's name, or nothing for what is no symbol."""
        return str(self.value.value()) if isinstance(self.value, sexpdata.Symbol) else ""

    @property
    def head(self) -> str:
        return self.parts[0].word if self.parts else ""


class _Placed(sexpdata.Parser):
    """The library's parser, each result wrapped in a `Node` with its offset."""

    def atom(self, token: str) -> Any:
        # `nil` and `t` are plain words here: the library would make them an empty list and a truth.
        for number in (int, float):
            try:
                return number(token)
            except ValueError:
                pass
        return sexpdata.Symbol(token)

    def parse_sexp(self, i: int) -> tuple[int, list[Node]]:
        text, found = self.string, []
        while i < len(text):
            c, start = text[i], i
            if c in whitespace:
                i += 1
            elif c == self.line_comment:
                end = text.find("\n", i)
                i = len(text) if end < 0 else end + 1
            elif c in self.closing_brackets:
                break
            elif c == "(":
                i, inner = self.parse_sexp(i + 1)
                if text[i : i + 1] != ")":
                    raise _Broken(start, "this list is never closed")
                found.append(Node(inner, start))
                i += 1
            elif c == '"':
                try:
                    i, string = self.parse_str(i)
                except (AttributeError, IndexError):
                    raise _Broken(start, "this string is never closed") from None
                found.append(Node(string, start))
            elif c in self.brackets or c == "'":
                raise _Broken(start, f"only round brackets are used here, not {c}")
            else:
                try:
                    i, atom = self.parse_atom(i)
                except IndexError:
                    raise _Broken(start, "a backslash with nothing after it") from None
                found.append(Node(atom, start))
        return i, found


class _Broken(Exception):
    def __init__(self, at: int, what: str) -> None:
        super().__init__(what)
        self.at, self.what = at, what


class Source:
    """One file's text, its parsed lists, and the faults found in it so far."""

    def __init__(self, file: str, text: str) -> None:
        self.file, self.text = file, text
        self.faults: list[Fault] = []
        self.nodes: list[Node] = []
        try:
            parser = _Placed(text, line_comment=";")
            end, self.nodes = parser.parse_sexp(0)
            if end < len(text):
                raise _Broken(end, "a closing bracket with no opening one")
        except _Broken as broken:
            self.fault(broken.at, broken.what)
            raise Unreadable(self.faults) from None
        except RecursionError:
            self.fault(0, "lists nested too deep to read")
            raise Unreadable(self.faults) from None

    def fault(self, at: int, what: str) -> None:
        line = self.text.count("\n", 0, at) + 1
        column = at - (self.text.rfind("\n", 0, at) + 1) + 1
        self.faults.append(Fault(self.file, line, column, what))
