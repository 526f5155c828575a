"""What was given to the disk and is not yet confirmed: numbered, and confirmed in order."""

from collections import deque
from typing import NamedTuple


class Write(NamedTuple):
    number: int
    term: int
    last: int  # of the log, when this is durable; less when it was cut since
    since: int


class Writes:
    def __init__(self, durable: int) -> None:
        self.number = 0
        self.waiting: deque[Write] = deque()
        self.durable, self.term = (
            durable,
            -1,
        )  # what is known to be on the disk: the last entry, the reign
        self.former = 0  # the same of the log that a snapshot takes the place of

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, term: int, last: int, now: int) -> int:
        self.number += 1
        self.waiting.append(Write(self.number, term, last, now))
        return self.number

    def kept(self, number: int) -> None:
        while self.waiting and self.waiting[0].number <= number:
            write = self.waiting.popleft()
            self.durable, self.term = max(self.durable, write.last), write.term

    def cut(self, last: int) -> None:
        """Entries after `last` are gone from the log: what confirms them from here on confirms less."""
        self.durable = min(self.durable, last)
        self.waiting = deque(w._replace(last=min(w.last, last)) for w in self.waiting)

    def replaced(self) -> None:
        """By a snapshot, under way to the disk; until it is there, what was is."""
        self.former = self.told
        self.cut(0)

    @property
    def told(self) -> int:
        """The last entry that the disk is known to hold, of this log or the one before the snapshot."""
        return self.durable or self.former

    def done(self, number: int) -> bool:
        return not self.waiting or self.waiting[0].number > number

    def age(self, now: int) -> int:
        return now - self.waiting[0].since if self.waiting else 0
