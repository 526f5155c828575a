"""The log in memory: entries after a base that a snapshot stands for."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple


class Entry(NamedTuple):
    term: int
    kind: str  # begin, ask, open, members
    session: int = 0
    number: int = 0
    data: bytes = b""

    @property
    def size(self) -> int:
        return len(self.data) + 32


class Log:
    """Indices from 1. `base` and all before it are gone, and known by the base's reign alone."""

    def __init__(self, base: int = 0, term: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.base, self.base_term = base, term
        self.entries = list(entries)
        self.size = sum(e.size for e in self.entries)

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """None: not there, or gone behind the base."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last else None

    def at(self, index: int) -> Entry:
        return self.entries[index - self.base - 1]

    def append(self, entries: Sequence[Entry]) -> None:
        self.entries += entries
        self.size += sum(e.size for e in entries)

    def cut(self, index: int) -> None:
        """All from `index` on goes."""
        assert index > self.base, f"entry {index} is behind the base {self.base}"
        self.size -= sum(e.size for e in self.entries[index - self.base - 1 :])
        del self.entries[index - self.base - 1 :]

    def rebase(self, base: int) -> None:
        """All up to `base` goes; it must be there."""
        term = self.term_at(base)
        assert term is not None, f"no entry {base} to begin from"
        self.size -= sum(e.size for e in self.entries[: base - self.base])
        del self.entries[: base - self.base]
        self.base, self.base_term = base, term

    def after(self, index: int, most: int, size: int) -> list[Entry]:
        """From `index` + 1 on, at most `most` of at most `size` bytes; always one, if there is one."""
        start = index - self.base
        taken = self.entries[start : start + most]
        for n, entry in enumerate(taken):
            size -= entry.size
            if size < 0 and n:
                return taken[:n]
        return taken
