"""The replicated log in memory: the entries after a base index, which a snapshot stands for."""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

# Size of an entry without its data, for the bounds of logs and batches.
ENTRY_OVERHEAD_BYTES = 32


class EntryKind(StrEnum):
    """What an entry holds; the values are stored and sent."""

    TERM_START = "begin"
    COMMAND = "ask"
    OPEN_SESSION = "open"
    CONFIGURATION = "members"

    def __repr__(self) -> str:
        """Returns the same as for the text, as which a kind is read from disks and peers."""
        return repr(self.value)


class Entry(NamedTuple):
    """An entry of the log.

    Attributes:
        term: of the leader that appended it.
        kind: an `EntryKind`, as text.
        session: the client's, for a command.
        number: of a command in its session.
        data: a command, or an encoded `Configuration`.
    """

    term: int
    kind: str
    session: int = 0
    number: int = 0
    data: bytes = b""

    @property
    def size(self) -> int:
        """Bytes that this entry counts for."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


class Log:
    """Entries by index, from 1. Of those up to `base_index`, only the last one's term is known.

    Attributes:
        base_index: of the last entry that was discarded.
        base_term: term of that entry.
        entries: those after it.
        size: of `entries` in bytes.
    """

    def __init__(
        self, base_index: int = 0, base_term: int = 0, entries: Iterable[Entry] = ()
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)
        self.size = _total_size(self.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns an entry's term; None if it is not there, or was discarded."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index: int) -> Entry:
        """Returns an entry, which must be there."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int) -> list[Entry]:
        """Returns all entries after `index`, which must not be before the base."""
        return self.entries[index - self.base_index :]

    def append(self, entries: Sequence[Entry]) -> None:
        """Adds entries at the end."""
        self.entries += entries
        self.size += _total_size(entries)

    def truncate_from(self, index: int) -> None:
        """Removes all entries from `index` on."""
        assert index > self.base_index, f"entry {index} is behind the base {self.base_index}"
        position = index - self.base_index - 1
        self.size -= _total_size(self.entries[position:])
        del self.entries[position:]

    def discard_up_to(self, index: int) -> None:
        """Moves the base to `index`, which must be there."""
        term = self.term_at(index)
        assert term is not None, f"no entry {index} to begin from"
        count = index - self.base_index
        self.size -= _total_size(self.entries[:count])
        del self.entries[:count]
        self.base_index = index
        self.base_term = term

    def batch_after(self, index: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Returns entries after `index` within both bounds, and at least one if there is one."""
        start = index - self.base_index
        batch = self.entries[start : start + max_entries]
        remaining_bytes = max_bytes
        for position, entry in enumerate(batch):
            remaining_bytes -= entry.size
            if remaining_bytes < 0 and position:
                return batch[:position]
        return batch


def _total_size(entries: Iterable[Entry]) -> int:
    return sum(entry.size for entry in entries)
