"""The replicated log in memory: the entries after a base index; a snapshot replaces the others."""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

# Assumed size of an entry without its data, for the limits on log and batch sizes.
ENTRY_OVERHEAD_BYTES = 32


class EntryKind(StrEnum):
    """The kind of an entry's content; the values are stored and sent."""

    TERM_START = "begin"
    COMMAND = "ask"
    OPEN_SESSION = "open"
    CONFIGURATION = "members"

    def __repr__(self) -> str:
        """Returns the repr of the plain text, equal to that of a kind read from a disk or peer."""
        return repr(self.value)


class Entry(NamedTuple):
    """An entry of the log.

    Attributes:
        term: Term of the leader that appended the entry.
        kind: An `EntryKind`, as text.
        session: Number of the client's session, for a command.
        number: Number of the command in its session.
        data: A command, or an encoded `Configuration`.
    """

    term: int
    kind: str
    session: int = 0
    number: int = 0
    data: bytes = b""

    @property
    def size(self) -> int:
        """Bytes that this entry counts towards the size limits."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


class Log:
    """Entries by index, from 1. Those up to `base_index` were discarded.

    Attributes:
        base_index: Index of the last entry that was discarded.
        base_term: Term of that entry, the only one known of the discarded entries.
        entries: The entries after it.
        size: Size of `entries` in bytes.
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
        """Returns an entry's term; None if the log does not reach it or it was discarded."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index: int) -> Entry:
        """Returns an entry, which must be in `entries`."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int) -> list[Entry]:
        """Returns all entries after `index`, which must be at or after `base_index`."""
        return self.entries[index - self.base_index :]

    def append(self, entries: Sequence[Entry]) -> None:
        """Adds entries at the end."""
        self.entries += entries
        self.size += _total_size(entries)

    def truncate_from(self, index: int) -> None:
        """Removes all entries from `index` on."""
        assert index > self.base_index, (
            f"cannot truncate from entry {index}: the last discarded entry is {self.base_index}"
        )
        position = index - self.base_index - 1
        self.size -= _total_size(self.entries[position:])
        del self.entries[position:]

    def discard_up_to(self, index: int) -> None:
        """Discards all entries up to `index`, which must be in the log."""
        term = self.term_at(index)
        assert term is not None, f"cannot discard up to entry {index}: it is not in the log"
        count = index - self.base_index
        self.size -= _total_size(self.entries[:count])
        del self.entries[:count]
        self.base_index = index
        self.base_term = term

    def batch_after(self, index: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Returns entries after `index` within both limits, but at least one if there is any."""
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
