"""Who asked, and what they were answered: part of the replicated state, so that a retry takes effect once.

A session's number is the index of the entry that opened it, so none is ever given twice. When the table is full the one
used longest ago goes, by index and so alike everywhere; what comes of it later is forgotten, never applied.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any


class Sessions:
    def __init__(self, most: int, answers: int) -> None:
        self.most, self.answers = most, answers
        self.table: OrderedDict[int, OrderedDict[int, bytes]] = (
            OrderedDict()
        )  # used longest ago first

    def open(self, index: int) -> bytes:
        while len(self.table) >= self.most:
            self.table.popitem(last=False)
        self.table[index] = OrderedDict()
        return b"%d" % index

    def apply(self, session: int, number: int, effect: Callable[[], bytes]) -> bytes | None:
        """The answer, by its effect or as it was given before; None: forgotten."""
        given = self.table.get(session)
        if given is None:
            return None
        self.table.move_to_end(session)
        if given and number <= next(reversed(given)):
            return given.get(number)
        given[number] = answer = effect()
        while len(given) > self.answers:
            given.popitem(last=False)
        return answer

    def plain(self) -> list[Any]:
        return [[s, [[n, a.hex()] for n, a in given.items()]] for s, given in self.table.items()]

    def restore(self, plain: list[Any]) -> None:
        self.table = OrderedDict(
            (s, OrderedDict((n, bytes.fromhex(a)) for n, a in given)) for s, given in plain
        )
