"""Writes that were handed to the disk and are not durable yet."""

from collections import deque
from typing import NamedTuple


class PendingWrite(NamedTuple):
    """A write that is not durable yet.

    Attributes:
        number: Increases by one with each write.
        term: The current term when the write was started.
        last_index: Index of the last entry that is durable after the write; lowered if the log is
            truncated meanwhile.
        started_at: Time in tenths of a millisecond.
    """

    number: int
    term: int
    last_index: int
    started_at: int


class PendingWrites:
    """Tracks which entries and which term are durable.

    Attributes:
        last_number: Number of the last write.
        durable_index: Index of the last entry of this log known to be on the disk.
        durable_term: The last term known to be on the disk; -1 until the first write is durable.
    """

    def __init__(self, durable_index: int) -> None:
        self.last_number = 0
        self.durable_index = durable_index
        self.durable_term = -1
        self._writes: deque[PendingWrite] = deque()
        # Durable index of the log that a snapshot replaces, until the snapshot is durable.
        self._replaced_durable_index = 0

    def __len__(self) -> int:
        return len(self._writes)

    def add(self, term: int, last_index: int, now: int) -> int:
        """Adds a write, and returns its number."""
        self.last_number += 1
        self._writes.append(PendingWrite(self.last_number, term, last_index, now))
        return self.last_number

    def on_durable(self, number: int) -> None:
        """Records that all writes up to `number` are durable."""
        while self._writes and self._writes[0].number <= number:
            write = self._writes.popleft()
            self.durable_index = max(self.durable_index, write.last_index)
            self.durable_term = write.term

    def truncate(self, last_index: int) -> None:
        """Records that entries after `last_index` were removed; no pending write covers them."""
        self.durable_index = min(self.durable_index, last_index)
        self._writes = deque(
            write._replace(last_index=min(write.last_index, last_index)) for write in self._writes
        )

    def replace_log(self) -> None:
        """Records that a snapshot replaces the log, which stays on the disk until it is durable."""
        self._replaced_durable_index = self.reported_durable_index
        self.truncate(0)

    @property
    def reported_durable_index(self) -> int:
        """Index of the last entry on the disk, of this log or of the one being replaced."""
        return self.durable_index or self._replaced_durable_index

    def is_durable(self, number: int) -> bool:
        """Returns whether a write is durable."""
        return not self._writes or self._writes[0].number > number

    def oldest_age(self, now: int) -> int:
        """Returns the age of the oldest pending write; 0 if there is none."""
        return now - self._writes[0].started_at if self._writes else 0
