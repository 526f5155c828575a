"""The stored form of a member's state: a line of JSON, then the bytes that it gives sizes of.

Stored names and the order of fields are fixed, as later versions read the same disks.
"""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from ironfall.consensus import Configuration, Entry, HardState

HARD_STATE = "keep"
APPEND = "append"
LINE_END = b"\n"


@dataclass(frozen=True, slots=True)
class AppendWrite:
    """Replaces all entries from `first_index` on."""

    first_index: int
    entries: Sequence[Entry]


@dataclass(frozen=True, slots=True)
class SnapshotWrite:
    """Replaces the snapshot and all entries; `entries` are those after `index`."""

    index: int
    snapshot: bytes
    entries: Sequence[Entry]


Write = HardState | AppendWrite | SnapshotWrite


@dataclass(frozen=True)
class SnapshotRecord:
    """All that a member starts from, except for later writes.

    Attributes:
        name: the coordinator's name.
        incarnation: that of the member on this disk.
        initial_configuration: the group's; empty for a member that waits to be added.
        hard_state: boot id, term and vote.
        index: that of the last entry that the snapshot replaces; 0 if there is none.
        snapshot: the node's snapshot; empty if there is none.
        entries: the entries after it.
    """

    name: str
    incarnation: str
    initial_configuration: Configuration
    hard_state: HardState
    index: int
    snapshot: bytes
    entries: Sequence[Entry]

    def encode(self) -> bytes:
        """Returns the stored form."""
        head = {
            "name": self.name,
            "incarnation": self.incarnation,
            "first": self.initial_configuration.to_json(),
            "standing": self.hard_state,
            "index": self.index,
            "size": len(self.snapshot),
            "entries": _entry_heads(self.entries),
        }
        data = [self.snapshot, *(entry.data for entry in self.entries)]
        return _join(head, data)

    @staticmethod
    def decode(record: bytes) -> "SnapshotRecord":
        """Reads the stored form."""
        head, data = _split(record)
        size = head["size"]
        entries, _ = _read_entries(head["entries"], data, size)
        return SnapshotRecord(
            head["name"],
            head["incarnation"],
            Configuration.from_json(head["first"]),
            HardState(*head["standing"]),
            head["index"],
            bytes(data[:size]),
            entries,
        )


def encode_journal_record(writes: Iterable[HardState | AppendWrite]) -> bytes:
    """Returns the stored form of writes that become durable together."""
    heads: list[list[object]] = []
    data: list[bytes] = []
    for write in writes:
        if isinstance(write, HardState):
            heads.append([HARD_STATE, *write])
        else:
            heads.append([APPEND, write.first_index, _entry_heads(write.entries)])
            data += [entry.data for entry in write.entries]
    return _join(heads, data)


def decode_journal_record(record: bytes) -> list[HardState | AppendWrite]:
    """Reads the stored form."""
    heads, data = _split(record)
    writes: list[HardState | AppendWrite] = []
    offset = 0
    for kind, *fields in heads:
        if kind == HARD_STATE:
            writes.append(HardState(*fields))
            continue
        first_index, entry_heads = fields
        entries, offset = _read_entries(entry_heads, data, offset)
        writes.append(AppendWrite(first_index, entries))
    return writes


def _entry_heads(entries: Sequence[Entry]) -> list[list[object]]:
    return [[e.term, e.kind, e.session, e.number, len(e.data)] for e in entries]


def _read_entries(heads: list[Any], data: memoryview, offset: int) -> tuple[list[Entry], int]:
    """Returns entries whose data begins at `offset`, and the offset after them."""
    entries = []
    for term, kind, session, number, size in heads:
        entry_data = bytes(data[offset : offset + size])
        entries.append(Entry(term, kind, session, number, entry_data))
        offset += size
    return entries, offset


def _join(head: object, data: Iterable[bytes]) -> bytes:
    return b"".join((json.dumps(head).encode(), LINE_END, *data))


def _split(record: bytes) -> tuple[Any, memoryview]:
    """Returns the decoded line, and the bytes after it."""
    line, _, _ = record.partition(LINE_END)
    return json.loads(line), memoryview(record)[len(line) + len(LINE_END) :]
