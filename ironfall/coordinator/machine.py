"""What the log's entries are applied to: the ledger, and who asked it what. Pure and deterministic.

An entry's bytes are `NUMBER ASKER`, a line end, and the ledger's own entry. An asker counts its asks up from 1, and so
one that is unknown with a later number was forgotten: what it says may have been done before, and is not done now.
"""

import json
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Any

from ironfall.disruption import Ledger

SECOND = 10_000
FORGOTTEN, FULL = b"forgotten", b"full"


def quiet(index: int, answer: bytes) -> None:
    pass


class Machine:
    def __init__(
        self,
        applied: Callable[[int, bytes], None] = quiet,
        askers: int = 4096,
        answers: int = 4,
        idle: int = 60 * SECOND,
    ) -> None:
        """`askers` are kept, and once rules are agreed as many as the fleet may have members, where these are more.
        `idle`: an asker silent for less than this by the log's time is not forgotten for a new one's sake."""
        self.applied, self.least, self.answers, self.idle = applied, askers, answers, idle
        self.ledger = Ledger()
        # Used longest ago first: when, and its last answers by number.
        self.askers: OrderedDict[str, tuple[int, OrderedDict[int, bytes]]] = OrderedDict()

    @property
    def most(self) -> int:
        rules = self.ledger.rules
        return max(self.least, rules.members) if self.ledger.has_rules else self.least

    @staticmethod
    def entry(asker: str, number: int, entry: bytes) -> bytes:
        return b"%d %s\n%s" % (number, asker.encode(), entry)

    def apply(self, index: int, entry: bytes) -> bytes:
        """`INDEX`, a line end and the ledger's answer; or that it is not told, by one of the words above."""
        head, _, body = entry.partition(b"\n")
        digits, _, name = head.partition(b" ")
        if not name:
            return self._effect(index, body)
        number, asker = int(digits), name.decode()
        known = self.askers.get(asker)
        if known is None:
            if number != 1:
                return FORGOTTEN
            if len(self.askers) >= self.most:
                if self.ledger.now - next(iter(self.askers.values()))[0] < self.idle:
                    return FULL
                self.askers.popitem(last=False)
        given = known[1] if known else OrderedDict[int, bytes]()
        if given and number <= next(reversed(given)):
            return given.get(number, FORGOTTEN)
        given[number] = answer = self._effect(index, body)
        while len(given) > self.answers:
            given.popitem(last=False)
        self.askers.pop(asker, None)
        self.askers[asker] = self.ledger.now, given
        return answer

    def _effect(self, index: int, body: bytes) -> bytes:
        answer = self.ledger.apply(index, body)
        self.applied(index, answer)
        return b"%d\n%s" % (index, answer)

    def snapshot(self) -> bytes:
        return b"".join(self.snapshot_chunks())

    def snapshot_chunks(self, many: int = 256) -> Iterator[bytes]:
        """As `Ledger.parts` has it: as of this call."""
        askers = [
            (asker, used, tuple(given.items())) for asker, (used, given) in self.askers.items()
        ]
        return self._encoded(askers, self.ledger.parts(many), many)

    @staticmethod
    def _encoded(askers: list[Any], ledger: Iterator[bytes], many: int) -> Iterator[bytes]:
        yield b"["
        for start in range(0, len(askers), many):
            part = [
                [a, used, [[n, x.decode()] for n, x in given]]
                for a, used, given in askers[start : start + many]
            ]
            yield (b", " if start else b"") + json.dumps(part).encode()[1:-1]
        yield b"]\n"
        yield from ledger

    def restore(self, snapshot: bytes) -> None:
        head, _, state = snapshot.partition(b"\n")
        self.ledger.restore(state)
        self.askers = OrderedDict(
            (a, (used, OrderedDict((n, x.encode()) for n, x in given)))
            for a, used, given in json.loads(head)
        )
