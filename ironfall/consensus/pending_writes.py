"""Writes that were given to the disk and are not yet durable."""

from collections import deque
from typing import NamedTuple


class PendingWrite(NamedTuple):
    """A write under way.

    Attributes:
        number: rises by one with each write.
        term: the current term when it was given.
        last_index: of the log when it is durable; less if the log was truncated since.
        started_at: time in tenths of a millisecond.
    """

    number: int
    term: int
    last_index: int
    started_at: int


class PendingWrites:
    """Tracks which entries and which term are durable.

    Attributes:
        last_number: of the last write.
        durable_index: of the last entry of this log that is known to be on the disk.
        durable_term: the last term that is known to be on the disk; -1 before any.
    """

    def __init__(self, durable_index: int) -> None:
        self.last_number = 0
        self.durable_index = durable_index
        self.durable_term = -1
        self._waiting: deque[PendingWrite] = deque()
        # The durable index of the log that a snapshot under way takes the place of.
        self._replaced_durable_index = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, term: int, last_index: int, now: int) -> int:
        """Returns the number of a new write."""
        self.last_number += 1
        self._waiting.append(PendingWrite(self.last_number, term, last_index, now))
        return self.last_number

    def on_durable(self, number: int) -> None:
        """All writes up to `number` are durable."""
        while self._waiting and self._waiting[0].number <= number:
            write = self._waiting.popleft()
            self.durable_index = max(self.durable_index, write.last_index)
            self.durable_term = write.term

    def truncate(self, last_index: int) -> None:
        """Entries after `last_index` left the log: writes under way make fewer of it durable."""
        self.durable_index = min(self.durable_index, last_index)
        self._waiting = deque(
            write._replace(last_index=min(write.last_index, last_index)) for write in self._waiting
        )

    def replace_log(self) -> None:
        """A snapshot replaces the log; until it is durable, the disk holds the earlier one."""
        self._replaced_durable_index = self.reported_durable_index
        self.truncate(0)

    @property
    def reported_durable_index(self) -> int:
        """Last entry known to be on the disk, of this log or of the one that is being replaced."""
        return self.durable_index or self._replaced_durable_index

    def is_durable(self, number: int) -> bool:
        """Returns whether a write is durable."""
        return not self._waiting or self._waiting[0].number > number

    def oldest_age(self, now: int) -> int:
        """Returns how long the oldest write has been under way; 0 if there is none."""
        return now - self._waiting[0].started_at if self._waiting else 0
