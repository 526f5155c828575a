"""A member's side: at which observer it beats, what it says there, and when it turns to another."""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ironfall.permits.terms import SECOND

EVERY = SECOND  # between two beats, jittered by a fifth
AGAIN = SECOND // 10  # until what an observer asked for is said
FAILURES = 2  # in a row, before it turns to another


class Homing:
    """Of all units of one process, a director's one or a machine's hosts. When `now >= due` the process says
    `message(...)` at observer `home`, and tells what came of it by `answered` or `failed`."""

    def __init__(self, zone: str, observers: Sequence[str], now: int, lease: int, chance: random.Random,
                 move: Callable[[str], None] = lambda to: None) -> None:  # fmt: skip
        """`observers`: those of its zone, by name; raises `ValueError` where there is none. `move` is told each change
        of home."""
        if not observers:
            raise ValueError(f"zone {zone} has no observer")
        self.zone, self.lease, self.chance, self.move = zone, lease, chance, move
        self.order = list(observers)
        chance.shuffle(self.order)
        self.home = self.order[0]
        self.due = now + chance.randrange(EVERY)  # not all of a fleet at once
        self.spread = lease // 4
        self.failures, self.moved_at, self.leaving = 0, now - lease, ""
        self.stamp: tuple[list[int], int] | None = None  # of home, and when it came
        self.numbers: dict[str, tuple[int, int, int]] = {}  # by unit: incarnation, beats, the last with a new word
        self.words: dict[str, Any] = {}  # as last heard by home
        self.said: dict[str, Any] = {}  # in the message under way
        self.over: dict[str, int] = {}  # incarnations that the keepers hold for gone: the owner takes a newer
        self.heard_at = -1  # when home last answered, and how old by then its own hearing upstream was
        self.upstream = -1

    def message(self, now: int, units: Mapping[str, tuple[int, dict[str, Any]]],
                quiet: Mapping[str, int] | None = None,
                first: Mapping[str, int] | None = None) -> dict[str, Any]:  # fmt: skip
        """What is to be said at `home`. `units`: incarnation and word of each; `quiet`: how long nothing came, of
        hosts; `first`: where the beats of an incarnation begin, if not from 0."""
        if self.leaving:
            self.home, self.leaving, self.moved_at = self.leaving, "", now
            self.words, self.stamp, self.failures = {}, None, 0  # it knows nothing of what the other was told
            self.move(self.home)
        beats: dict[str, Any] = {}
        self.said = {}
        for unit, (inc, word) in units.items():
            known, n, changed = self.numbers.get(unit, (-1, 0, 0))
            if known != inc:
                n, changed = (first or {}).get(unit, 0), 0
                self.words.pop(unit, None)
            n += 1
            beats[unit] = {"inc": inc, "n": n, "zone": self.zone, "quiet": (quiet or {}).get(unit, 0)}
            if self.words.get(unit) != word:
                changed = n
                if self.stamp is not None:  # before there is one nothing counts, and it is asked for whole
                    beats[unit]["word"] = self.said[unit] = word
            beats[unit]["changed"] = changed
            self.numbers[unit] = inc, n, changed
        for unit in [u for u in self.numbers if u not in units]:
            del self.numbers[unit]
            self.words.pop(unit, None)
        self.due = now + EVERY * 4 // 5 + self.chance.randrange(EVERY * 2 // 5)
        stamp, came = self.stamp or (None, now)
        return {"beats": beats, "stamp": stamp, "since": now - came}

    def answered(self, now: int, name: str, answer: Mapping[str, Any]) -> None:
        """What observer `name` answered to the last message, at `now`. Raises `ValueError` for what is no answer."""
        try:
            stamp, whole, full = list(answer["stamp"]), set(answer["whole"]), list(answer["full"])
            refused, over = dict(answer["refused"]), dict(answer["over"])
            self.upstream, self.spread = int(answer["upstream"]), int(answer["spread"])
        except (KeyError, TypeError, ValueError) as wrong:
            raise ValueError(f"no answer of an observer: {wrong}") from None
        if name != self.home:
            return  # it has turned to another meanwhile
        self.stamp, self.heard_at, self.failures = (stamp, now), now, 0
        for unit, word in self.said.items():
            if unit not in whole and unit not in refused and unit not in full:
                self.words[unit] = word
        for unit in whole:
            self.words.pop(unit, None)
        self.over = over
        if whole:
            self.due = min(self.due, now + AGAIN)
        # Full, or heard by nobody itself: the other may do better.
        if full or self.upstream > self.lease // 2:
            self._leave(now)

    def failed(self, now: int, name: str) -> None:
        """Observer `name` gave no answer in time, or none that could be read."""
        if name != self.home:
            return
        self.failures += 1
        # The word may have been heard and may not: it is said again, under the number of that beat.
        for unit in self.said:
            self.words.pop(unit, None)
        wait = min(EVERY << min(self.failures - 1, 8), max(EVERY, self.lease // 5))
        self.due = now + wait // 2 + self.chance.randrange(max(1, wait // 2))
        if self.failures >= FAILURES:
            self._leave(now)

    def _leave(self, now: int) -> None:
        others = [name for name in self.order if name != self.home]
        if self.leaving or not others or now - self.moved_at < self.lease:
            return
        # All of a zone's members may see the same at once, and the other has room for them and not for their haste.
        self.leaving = others[0]
        self.order.remove(self.leaving)
        self.order.append(self.leaving)
        self.due = now + self.chance.randrange(max(1, self.spread))

    def lasts(self, now: int) -> int:
        """Until when others may not take its units for gone, as far as it was told: 0 where it does not know."""
        if self.heard_at < 0 or self.upstream < 0:
            return 0
        return self.heard_at - self.upstream + self.lease
