"""A member's side: at which observer it beats, what it says there, and when it turns to another."""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ironfall.disruption.settings import SECOND

EVERY = SECOND  # between two beats, jittered by a fifth
AGAIN = SECOND // 10  # until what an observer asked for is said
FAILURES = 2  # in a row, before it turns to another


class HeartbeatSender:
    """Of all units of one process, a director's one or a machine's hosts. When `now >= due` the process says
    `message(...)` at observer `target`, and tells what came of it by `answered` or `failed`."""

    def __init__(
        self,
        zone: str,
        observers: Sequence[str],
        now: int,
        lease: int,
        chance: random.Random,
        move: Callable[[str], None] = lambda to: None,
    ) -> None:
        """`observers`: those of its zone, by name; raises `ValueError` where there is none. `move` is told each change
        of home."""
        if not observers:
            raise ValueError(f"zone {zone} has no observer")
        self.zone, self.lease, self.chance, self.move = zone, lease, chance, move
        self.order = list(observers)
        chance.shuffle(self.order)
        self.home, self.homed_at = self.order[0], now
        self.due = now + chance.randrange(EVERY)  # not all of a fleet at once
        self.spread = lease // 4
        self.failures = 0
        self.trial = ""  # another observer, that is asked how it does before it is home
        self.bad: dict[
            str, int
        ] = {}  # observers that did not answer, had no room or were not heard: until when
        self.stamp: tuple[list[int], int] | None = None  # of home, and when it came
        self.numbers: dict[
            str, tuple[int, int, int]
        ] = {}  # by unit: incarnation, beats, the last with a new word
        self.words: dict[str, Any] = {}  # as last heard by home
        self.said: dict[str, Any] = {}  # in the message under way
        self.over: dict[
            str, int
        ] = {}  # incarnations that the keepers hold for gone: the owner takes a newer
        self.heard_at = (
            -1
        )  # when home last answered, and how old by then its own hearing upstream was
        self.upstream = -1

    @property
    def target(self) -> str:
        """Where the next message goes."""
        return self.trial or self.home

    def message(
        self,
        now: int,
        units: Mapping[str, tuple[int, dict[str, Any]]],
        quiet: Mapping[str, int] | None = None,
        first: Mapping[str, int] | None = None,
    ) -> dict[str, Any]:
        """What is to be said at `target`. `units`: incarnation and word of each; `quiet`: how long nothing came, of
        hosts; `first`: where the beats of an incarnation begin, if not from 0."""
        beats: dict[str, Any] = {}
        self.said = {}
        stamp, came = self.stamp if self.stamp and not self.trial else (None, now)
        for unit, (inc, word) in units.items():
            known, n, changed = self.numbers.get(unit, (-1, 0, 0))
            if known != inc:
                n, changed = (first or {}).get(unit, 0), 0
                self.words.pop(unit, None)
            n += 1
            beats[unit] = {
                "inc": inc,
                "n": n,
                "zone": self.zone,
                "quiet": (quiet or {}).get(unit, 0),
            }
            if stamp is not None and self.words.get(unit) != word:
                changed = n
                beats[unit]["word"] = self.said[unit] = (
                    word  # without a stamp nothing counts, and it is asked for
                )
            beats[unit]["changed"] = changed
            self.numbers[unit] = inc, n, changed
        for unit in [u for u in self.numbers if u not in units]:
            del self.numbers[unit]
            self.words.pop(unit, None)
        self.due = now + EVERY * 4 // 5 + self.chance.randrange(EVERY * 2 // 5)
        return {"beats": beats, "stamp": stamp, "since": now - came}

    def answered(self, now: int, name: str, answer: Mapping[str, Any]) -> None:
        """What observer `name` answered to the last message, at `now`. Raises `ValueError` for what is no answer."""
        try:
            stamp, whole, full = list(answer["stamp"]), set(answer["whole"]), list(answer["full"])
            refused, over = dict(answer["refused"]), dict(answer["over"])
            upstream, spread = int(answer["upstream"]), int(answer["spread"])
        except (KeyError, TypeError, ValueError) as wrong:
            raise ValueError(f"no answer of an observer: {wrong}") from None
        if name != self.target:
            return  # it has turned to another meanwhile
        if self.trial:
            self.trial = ""
            if not self.failures and not 0 <= upstream <= self.lease // 2:
                self.bad[name] = now + self.lease
                self.due = now + AGAIN
                return  # no better than home, which answers
            self.home, self.homed_at, self.words, self.failures = name, now, {}, 0
            self.move(name)
        self.stamp, self.heard_at, self.failures = (stamp, now), now, 0
        self.upstream, self.spread, self.over = upstream, max(1, spread), over
        for unit, word in self.said.items():
            if unit not in whole and unit not in refused and unit not in full:
                self.words[unit] = word
        for unit in whole:
            self.words.pop(unit, None)
        if whole:
            self.due = min(self.due, now + AGAIN)
        # Full, or heard by nobody itself: the other may do better.
        if (
            full
            or upstream > self.lease // 2
            or upstream < 0
            and now - self.homed_at > self.lease // 2
        ):
            self._leave(now)

    def failed(self, now: int, name: str) -> None:
        """Observer `name` gave no answer in time, or none that could be read."""
        if name != self.target:
            return
        # The word may have been heard and may not: it is said again, under the number of that beat.
        for unit in self.said:
            self.words.pop(unit, None)
        if self.trial:
            self.trial, self.bad[name] = "", now + self.lease
        else:
            self.failures += 1
        wait = min(EVERY << min(max(0, self.failures - 1), 8), max(EVERY, self.lease // 5))
        self.due = now + wait // 2 + self.chance.randrange(max(1, wait // 2))
        if self.failures >= FAILURES:
            self._leave(now)

    def _leave(self, now: int) -> None:
        """Look whether another does better; one that did no better is asked again a lease later, or half of one where
        home does not answer at all."""
        self.bad[self.home] = now + self.lease
        others = [name for name in self.order if name != self.home]
        until = min((self.bad.get(name, 0), name) for name in others) if others else None
        if (
            self.trial
            or until is None
            or until[0] > now + (self.lease // 2 if self.failures else 0)
        ):
            return
        self.trial = until[1]
        # All of a zone's members may see the same at once, and the other has room for them and not for their haste.
        self.due = now + self.chance.randrange(self.spread)

    def lasts(self, now: int) -> int:
        """Until when others may not take its units for gone, as far as it was told: 0 where it does not know."""
        if self.heard_at < 0 or self.upstream < 0:
            return 0
        return self.heard_at - self.upstream + self.lease
