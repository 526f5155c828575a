"""Which host a class's next try goes to, and whether there may be one. No I/O."""

import bisect
import random
from collections.abc import Set
from itertools import accumulate

from ironfall.decisions.interface import RequestClass
from ironfall.publication import Holding
from ironfall.terms import ProxyTerms


class Picking:
    """Weighted draws from a `Holding`, with the cumulated weights kept until the tables change."""

    def __init__(self, holding: Holding, terms: ProxyTerms, chance: random.Random) -> None:
        self.holding, self.terms, self.chance = holding, terms, chance
        self.ready: dict[int, tuple[list[str], list[int]]] = {}
        self.failed_in_row: dict[str, int] = {}
        self.shunned: dict[str, int] = {}  # until when

    def changed(self) -> None:
        self.ready.clear()
        # Hosts come and go: of one that no table names no row of failures is kept.
        if self.failed_in_row:
            named = self.holding.named()
            self.failed_in_row = {h: n for h, n in self.failed_in_row.items() if h in named}

    def pick(self, now: int, kind: int, passed: Set[str] = frozenset()) -> str | None:
        """A host by weight, not among those `passed` over; None where there is no line to pick.

        A host shunned for its failures is passed over only while another is left.
        """
        hosts, sums = self.ready.get(kind) or self._ready(kind)
        if not hosts:
            return None
        shunned = {h for h, until in self.shunned.items() if until > now} if self.shunned else set()
        if not passed and not shunned:
            return hosts[bisect.bisect_right(sums, self.chance.randrange(sums[-1]))]
        weights = self.holding.lines(kind)
        for leave in (passed | shunned, passed):
            left = [(h, w) for h, w in weights.items() if h not in leave]
            if left:
                names, parts = zip(*left, strict=True)
                return str(self.chance.choices(names, parts)[0])
        return None

    def _ready(self, kind: int) -> tuple[list[str], list[int]]:
        lines = self.holding.lines(kind)
        self.ready[kind] = list(lines), list(accumulate(lines.values()))
        return self.ready[kind]

    def ended(self, now: int, host: str, good: bool) -> None:
        """A try of this proxy's at a host has ended."""
        if not self.terms.shun_after:
            return
        if good:
            self.failed_in_row.pop(host, None)
            return
        row = self.failed_in_row[host] = self.failed_in_row.get(host, 0) + 1
        if row >= self.terms.shun_after:
            self.shunned = {h: until for h, until in self.shunned.items() if until > now}
            self.shunned[host] = now + self.terms.shun_time
            del self.failed_in_row[host]


def may_try_again(
    kind: RequestClass, way: int, tries: int, never_ran: bool, since_first: int, margin: int
) -> bool:
    """Whether an exchange that was tried `tries` times may be tried at another host.

    `way` is what was ordered: 0 no other try, 1 one after proof that it never ran, 2 one after any failure, 3 two.
    `since_first` is the time since the first try that may have run was sent, `margin` what the next may still take
    to arrive. The order alone is not enough: a second effect can't be called back, so the terms are asked as well.
    """
    if tries >= (1, 2, 2, 3)[way]:
        return False
    if never_ran:
        return True
    if way < 2:
        return False
    if kind.idempotency == "always":
        return True
    return (
        kind.idempotency == "keyed"
        and kind.idempotency_key_scope == "all"
        and since_first + margin < kind.idempotency_key_lifetime
    )
