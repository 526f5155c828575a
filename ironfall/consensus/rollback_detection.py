"""What peers answered for: who comes back knowing less has an older disk, and is another than it says.

A boot is a count, raised durably at each start before anything is sent, and some bits drawn: two boots of one count are
a disk and its copy.
"""

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

DRAWN = 20  # bits


class Word(Enum):
    SAME = "same"
    LATE = (
        "late"  # or older: not to be told apart here, but by the sender, who knows its present boot
    )
    GONE = "gone back"  # seen just now
    AGAIN = "gone back before"


class Seen(NamedTuple):
    """The most that a member has answered for: what its disk must hold if it is the same."""

    boots: int
    term: int
    last: int


class Memory:
    """Bounded: the oldest is forgotten."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.seen: OrderedDict[str, Seen] = OrderedDict()
        self.gone: OrderedDict[str, None] = OrderedDict()

    def word(self, sender: str, boots: int, term: int, durable: int | None) -> Word:
        """`durable`: the last entry on its disk, where it says so."""
        if sender in self.gone:
            return Word.AGAIN
        seen = self.seen.get(sender)
        if seen is None or seen.boots == boots:
            return Word.SAME
        if boots >> DRAWN < seen.boots >> DRAWN:
            return Word.LATE
        if boots >> DRAWN > seen.boots >> DRAWN:
            if term > seen.term or term == seen.term and (durable is None or durable >= seen.last):
                if durable is not None:
                    self.seen[sender] = seen._replace(boots=boots)
                return Word.SAME
        self.gone[sender] = None
        while len(self.gone) > self.most:
            self.gone.popitem(last=False)
        return Word.GONE

    def saw(self, sender: str, boots: int, term: int, last: int) -> None:
        """It answered for a vote in this reign, or for entries up to `last` in it: durable, both."""
        seen = self.seen.pop(sender, Seen(boots, 0, 0))
        if term > seen.term:
            seen = Seen(boots, term, last)
        elif term == seen.term:
            seen = Seen(boots, term, max(seen.last, last))
        self.seen[sender] = seen._replace(boots=boots)
        while len(self.seen) > self.most:
            self.seen.popitem(last=False)
