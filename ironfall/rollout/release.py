"""One release of directors: waves forward, the verdict, and waves back.

What it goes by is the ledger and what directors say; what it keeps besides (which wave is being listened to, and what
was heard) can be lost: a new holder begins to listen anew, and takes for confirmed no more than the rules let be.
"""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from ironfall.rollout.judge import Judge
from ironfall.rollout.view import Held, Seen, View

SECOND = 10_000
FAILURES = 3  # of steps in one look: then it is the way to all of them
TRIES = 3  # of one on the way back: what says nothing more is never empty, and is an operator's
BESIDE = 3  # of a zone that are not on trial
DEATHS = 2e-3  # the error by deaths: that they fall upon the new version by chance, however long it is watched
ODDS = (5.0, 50.0, 500.0)  # times as deadly, as an alternative; mixed evenly


@dataclass(frozen=True)
class Order:
    """What an operator asks for. Times in tenths of a millisecond."""

    name: str
    former: str
    wanted: str
    up: int = 120 * SECOND  # from let out to a lease; longer: it never came up
    settle: int = 15 * SECOND  # after its lease, until its words count
    limit: int = 900 * SECOND  # of listening to one wave
    length: int = 120 * SECOND  # of the work on one, told to the ledger
    patience: int = 60 * SECOND  # of an ask that waits, before it is made smaller
    least: int = (
        120 * SECOND
    )  # of listening to each wave of the first tenth: some harm takes its time
    again: int = 3  # deaths of one director with the new version
    ahead: int = 4  # full waves that may be changed and not yet confirmed, once the first tenth is
    tenth: float = (
        0.1  # changed and listened to before the rest follows without a pause between waves
    )
    level: float = 0.01  # of error by figures, over all waves
    harms: tuple[float, float, float, float] = (
        0.03,
        0.03,
        0.2,
        1.0,
    )  # refused, unfulfilled, bare, seconds waiting


class Way(Protocol):
    """How a release acts. Each may be called again with the same, and raises `OSError` where nobody answers; those
    that give a text give the ledger's refusal, or nothing."""

    def ask(self, units: list[str], length: int, release: str) -> str: ...
    def cancel(self, ask: str) -> str: ...
    def step(self, kind: str, director: str, token: int) -> int:
        """`drain`, `out` or `back`: the new token, nought where the ledger refused."""
        ...

    def adopt(self, director: str) -> str: ...
    def harm(self, release: str, reason: str) -> str: ...
    def halt(self, scope: str, reason: str) -> str: ...
    def tell(self, director: str, leaving: bool, token: int) -> None: ...
    def renew(self, director: str, version: str, token: int) -> None:
        """Stop all that runs there, start this version."""
        ...

    def runs(self, director: str) -> list[str]:
        """The versions that processes of that name were started as; more than one is one too many."""
        ...

    def note(self, what: str, **about: object) -> None: ...


@dataclass
class Wave:
    names: list[str]
    number: int
    judge: Judge
    begun: int = 0  # listening, once all that were changed are up


class Release:
    """`holder`: the name under which asks and permits stand in the ledger, the same over its incarnations."""

    def __init__(self, order: Order, holder: str, way: Way) -> None:
        self.order, self.holder, self.way = order, holder, way
        self.back_name = f"{order.name} back"
        self.waves: list[Wave] = []  # not confirmed; each wave that was asked for, the oldest first
        self.confirmed: set[str] = set()
        self.outs: set[str] = set()  # those that were let out to be changed
        self.ups: dict[str, tuple[int, int]] = {}  # of those changed: incarnation, and since when
        self.spoke: dict[
            str, tuple[int, int, int]
        ] = {}  # incarnation, number of the last word, when
        self.twice: dict[str, int] = {}
        self.stood: dict[
            str, tuple[int, bool]
        ] = {}  # of those that lived: incarnation, whether with the new version
        self.tries: dict[str, int] = {}
        self.lost: dict[str, int] = {}  # zones of which most were gone: when last
        self.deaths: dict[str, int] = {}  # with the new version
        self.evidence = [1.0] * len(ODDS)
        self.count, self.cap, self.held, self.turn = 0, 1 << 30, 0, 0
        self.adopted = False
        self.state, self.why = "waiting", ""

    # what operators see

    def status(self, view: View) -> dict[str, object]:
        """Of each director where it is, and of the whole what it waits for."""
        asked = {unit[9:] for units, _ in view.asks.values() for unit in units}
        trial = {name for wave in self.waves for name in wave.names}
        where = {}
        for name, seen in view.directors.items():
            if name in view.permits and view.permits[name].release in (
                self.order.name,
                self.back_name,
            ):
                where[name] = (
                    "out" if view.permits[name].state in ("out", "returning", "lost") else "asked"
                )
            elif name in asked:
                where[name] = "asked"
            elif seen.version == self.order.wanted:
                where[name] = "up" if name in trial else "confirmed"
            else:
                where[name] = "waiting"
        return {"state": self.state, "why": self.why, "directors": where}

    # each second

    def look(self, view: View) -> None:
        """Raises what `Way` raises; whatever was left undone is seen undone at the next look."""
        if not self.adopted:
            self._adopt(view)
        direction = self._direction(view)
        back = direction == "back"
        self._watch(view)
        if direction == "on" and (reason := self._harmful(view)):
            # The verdict halts at once. That halt would lift itself after calm, and nothing says that the harm is
            # gone: the second entry makes it one that a person's word alone lifts.
            self.way.note("harm", release=self.order.name, reason=reason)
            self.way.harm(self.order.name, reason)
            self.way.halt(f"release {self.order.name}", f"harm: {reason}")
            self._say("back", reason)
            return
        failed: list[OSError] = []
        for name, held in sorted(view.permits.items()):
            if held.holder == self.holder and held.release in (self.order.name, self.back_name):
                try:
                    self._step(view, name, held, back)
                except (
                    OSError
                ) as cause:  # one director's hands that fail are not to hold up the others
                    failed.append(cause)
            if len(failed) == FAILURES:
                break
        if back:
            self._go_back(view)
        elif direction == "on":
            self._listen(view)
            self._go_on(view)
        if failed:
            raise failed[0]

    def _say(self, state: str, why: str = "") -> None:
        if state != self.state or why != self.why and state not in ("going on", "back"):
            self.way.note("release", name=self.order.name, state=state, why=why)
        self.state, self.why = state, why

    def _direction(self, view: View) -> str:
        """By the halt of its scope: `on` without one; `back` where its reason begins so or with harm; else `halted`."""
        scope = f"release {self.order.name}"
        halt = view.halts.get(scope)
        if halt is None:
            for wave in [w for w in self.waves if w.number == self.held]:
                # Held since too little was heard, and lifted: the operator's word is what the wave is confirmed by.
                self.waves.remove(wave)
                self._confirm(wave, "an operator's word")
            self.held = 0
            return "on"
        who, reason, own = halt
        if reason.startswith(("harm", "back")):
            if own:
                self.way.halt(scope, reason)  # whoever found it died before it made it last
            self._forget_trial()
            self._say("back", reason)
            return "back"
        self._say("halted", f"{who}: {reason}")
        return "halted"

    def _forget_trial(self) -> None:
        """On the way back nothing is on trial; lifted, all of it is listened to anew."""
        self.waves, self.confirmed, self.adopted, self.outs, self.ups = [], set(), False, set(), {}
        self.deaths, self.evidence, self.twice = {}, [1.0] * len(ODDS), {}

    def _adopt(self, view: View) -> None:
        """Whoever held it before went no further than the rules let it: what must have been confirmed counts as that,
        the last in the order is listened to anew."""
        self.adopted, self.count = True, self.count + 1
        up = [name for name in self._order(view) if self._changed(view.directors[name])]
        under = [
            name
            for name, held in view.permits.items()
            if held.holder == self.holder and held.release == self.order.name
        ]
        so_far = len(up) + len(under)
        known = (
            max(0, so_far - self.order.ahead * self._most(view))
            if so_far > self._first(view)
            else 0
        )
        self.confirmed = set(up[:known])
        if trial := up[known:] + under:
            self.waves = [self._wave(trial)]
        for name in up:
            self.ups[name] = view.directors[name].incarnation, view.now

    def _wave(self, names: list[str]) -> Wave:
        self.count += 1
        # Shares that sum to the whole level, whatever the number of waves.
        part = 6 / (math.pi * self.count) ** 2
        return Wave(names, self.count, Judge(self.order.level * part, self.order.harms))

    def _changed(self, seen: Seen) -> bool:
        return seen.live and seen.version == self.order.wanted

    def _order(self, view: View) -> list[str]:
        """The same for whoever holds it: zones by turns, in each by a hash that has nothing to do with names."""
        zones: dict[str, list[str]] = {}
        for name in sorted(view.directors, key=self._drawn):
            zones.setdefault(view.directors[name].zone, []).append(name)
        turns = [
            (n, self._drawn(zone), name)
            for zone, names in zones.items()
            for n, name in enumerate(names)
        ]
        return [name for _, _, name in sorted(turns)]

    def _drawn(self, name: str) -> bytes:
        return hashlib.sha256(f"{self.order.name} {name}".encode()).digest()

    def _first(self, view: View) -> int:
        """How many are changed before waves may follow each other."""
        return max(2, min(int(len(view.directors) * self.order.tenth), 1 + self._most(view)))

    def _most(self, view: View) -> int:
        """The most that budgets let out together."""
        zones = sum(
            max(0, limit - lost) for s, (limit, lost, _) in view.rooms.items() if s != "directors"
        )
        limit, lost, _ = view.rooms.get("directors", (1, 0, 0))
        return max(1, min(zones, limit - lost, self.cap))

    def _fit(self, view: View, names: Iterable[str], most: int, now: bool) -> list[str]:
        """The first of them that have room together, in what is free `now` or in all that is not lost by itself, and
        whose zone is not halted: one of those would hold up its whole wave."""
        room = {
            scope: limit - (out if now else lost)
            for scope, (limit, lost, out) in view.rooms.items()
        }
        found: list[str] = []
        for name in names:
            scopes = ["directors", f"directors-zone {view.directors[name].zone}"]
            halted = f"zone {view.directors[name].zone}" in view.halts
            if len(found) < most and not halted and all(room.get(s, 0) > 0 for s in scopes):
                found.append(name)
                for scope in scopes:
                    room[scope] -= 1
        return found

    # asks

    def _go_on(self, view: View) -> None:
        under = {
            n
            for n, h in view.permits.items()
            if h.holder == self.holder and h.release == self.order.name
        }
        asked = {unit[9:] for ask in self._mine(view) for unit in view.asks[ask][0]}
        trial = {name for wave in self.waves for name in wave.names}
        stray = [
            n
            for n in self._order(view)
            if n not in trial | self.confirmed
            and (n in under or n in asked or self._changed(view.directors[n]))
        ]
        if (
            stray
        ):  # an ask whose answer never came; or one that comes by itself with the new version
            self.waves.append(self._wave(stray))
            trial |= set(stray)
        left = [
            name
            for name in self._order(view)
            if view.directors[name].live
            and view.directors[name].version != self.order.wanted
            and name not in view.permits
        ]
        for (
            wave
        ) in self.waves:  # what was asked for and taken back, or refused, is a wave's no more
            gone = [n for n in wave.names if n in left and n not in asked]
            if gone:
                wave.names = [n for n in wave.names if n not in gone]
        self.waves = [wave for wave in self.waves if wave.names]
        if self._resize(view, False) or asked:
            return
        changed = sum(map(self._changed, view.directors.values()))
        if not left:
            out = any(
                h.release == self.order.name
                or view.directors[n].live
                and not self._changed(view.directors[n])
                for n, h in view.permits.items()
            )
            missing = [n for n, seen in view.directors.items() if not seen.live]
            if not self.waves and not out:
                self._say(
                    "done" if changed else "waiting",
                    f"{len(missing)} are not heard" if missing else "",
                )
            return
        if view.halts.get("all"):
            return self._say("halted", view.halts["all"][1])
        self._say("going on", f"{changed} of {len(view.directors)} changed")
        first, most = self._first(view), self._most(view)
        so_far = len(self.confirmed | trial)
        if not self.confirmed:
            size = 1
        elif so_far < first or len(self.confirmed) < first:
            size = first - so_far
        else:
            size = min(most, self.order.ahead * most - len(trial))
        if self.waves and len(self.confirmed) < first or size < 1:
            return
        flowing = len(self.confirmed) >= first
        if flowing and size < min(len(left), most // 4):
            return
        compared = self._compared(view, left, trial)
        names = self._fit(view, compared, size, now=flowing and bool(under))
        # A few places that came free are not worth an ask: it is all or nothing, and is told with its wave.
        if flowing and len(names) < min(len(left), size, max(1, most // 4)):
            return
        if names:
            self._ask(names, self.order.name)
            if self.state == "going on":
                self.waves.append(self._wave(names))

    def _go_back(self, view: View) -> None:
        if (
            self._resize(view, True)
            or any(self._mine(view))
            or f"release {self.back_name}" in view.halts
        ):
            return
        names = [
            name
            for name in self._order(view)
            if self._changed(view.directors[name]) and name not in view.permits
        ]
        held = [h for h in view.permits.values() if h.holder == self.holder]
        stuck = [name for name in names if self.tries.get(name, 0) >= TRIES]
        names = [name for name in names if name not in stuck]
        if not names:
            but = f"; but {', '.join(stuck[:3])}: not drained in {TRIES} tries" if stuck else ""
            return self._say(
                "back" if held else "back: all but some" if stuck else "back: all are",
                self.why + but,
            )
        found = self._fit(view, names, self._most(view), now=bool(held))
        if found and len(found) >= min(len(names), max(1, self._most(view) // 4)):
            self.tries |= {name: self.tries.get(name, 0) + 1 for name in found}
            self._ask(found, self.back_name)

    def _compared(self, view: View, left: list[str], trial: set[str]) -> list[str]:
        """Those whose zone keeps some beside them: where all are on trial nothing can be compared."""
        rest: dict[str, int] = {}
        whole: dict[str, int] = {}
        for name, seen in view.directors.items():
            whole[seen.zone] = whole.get(seen.zone, 0) + 1
            if seen.live and name not in trial and name not in view.permits:
                rest[seen.zone] = rest.get(seen.zone, 0) + 1
        found = []
        for name in left:
            zone = view.directors[name].zone
            if rest.get(zone, 0) > min(BESIDE, whole[zone] - 1):
                rest[zone] -= 1
                found.append(name)
        return found

    def _mine(self, view: View) -> Iterable[str]:
        return (ask for ask in view.asks if ask.startswith(f"{self.holder}/"))

    def _asked(self, view: View, name: str) -> bool:
        return any(f"director/{name}" in units for units, _ in view.asks.values())

    def _ask(self, names: list[str], release: str) -> None:
        why = self.way.ask([f"director/{name}" for name in names], self.order.length, release)
        if why.startswith("never") and len(names) > 1:
            self.cap = len(names) // 2  # the rest of the names come with later waves
        if why:
            self._say("waiting", why)

    def _resize(self, view: View, back: bool) -> bool:
        """An ask that waits too long waits for what may be lost for long: it is made as small as what is free. One of
        the other way is wanted no more."""
        for ask in list(self._mine(view)):
            units, since = view.asks[ask]
            names = [unit[9:] for unit in units]
            if any(
                view.directors[n].live and self._changed(view.directors[n]) != back for n in names
            ):
                self.way.cancel(ask)
                return True
            free = self._fit(view, names, len(names), now=True)
            if view.now - since >= self.order.patience and 0 < len(free) < len(names):
                self.way.cancel(ask)
                return True
        return False

    # the steps of a permit

    def _step(self, view: View, name: str, held: Held, back: bool) -> None:
        way, token, forward = self.way, held.token, held.release == self.order.name
        if held.state == "granted":
            if token := way.step("drain", name, token):
                way.tell(name, True, token)
        elif held.state == "draining":
            way.tell(name, True, token)
        elif held.state == "empty" and not (token := way.step("out", name, token)):
            pass  # a halt, a confirmation taken back, or no room any more: the ledger moves it on
        elif held.state == "undoing":
            way.tell(name, False, token)
        elif held.state == "lost":
            way.adopt(name)
        elif held.state in ("empty", "out", "returning"):
            runs = way.runs(name)
            target = self.order.former if back or not forward else self.order.wanted
            if held.recalled and not back:
                target = (
                    runs[0] if runs else self.order.former
                )  # what was not stopped stays, what was comes as it was
            if target not in runs or target == self.order.former and len(runs) > 1:
                way.renew(name, target, token)
            if held.state != "returning":
                token = way.step("back", name, token) or token
            way.tell(name, False, token)
            if (
                (back or not forward)
                and held.state != "empty"
                and self._late(view, name, held, 3 * self.order.up)
            ):
                if (scope := f"release {self.back_name}") not in view.halts:
                    way.halt(scope, f"{name} does not come up with {self.order.former} either")

    def _late(self, view: View, name: str, held: Held, most: int) -> bool:
        """Whether it should have come up, in a zone that stands all that time."""
        since = max(held.since, self.lost.get(view.directors[name].zone, 0))
        return held.state in ("out", "returning") and view.now - since >= most

    # verdicts

    def _watch(self, view: View) -> None:
        """What became of each that was changed: its incarnations, its deaths, whether two speak at once."""
        stands: dict[str, list[int]] = {}
        for name, seen in view.directors.items():
            if name not in view.permits:
                stands.setdefault(seen.zone, [0, 0])[seen.live] += 1
        self.lost |= {zone: view.now for zone, (gone, live) in stands.items() if live < gone}
        for name, seen in view.directors.items():
            before = self.spoke.get(name)
            if (
                before
                and seen.incarnation > before[0]
                and name not in view.permits
                and view.now - before[2] <= SECOND
            ):
                # Whoever dies is silent before it comes again: this one spoke a moment ago.
                self.twice[name] = self.twice.get(name, 0) + 1
            if before is None or (seen.incarnation, seen.word.number) != before[:2]:
                self.spoke[name] = seen.incarnation, seen.word.number, view.now
        for name, held in view.permits.items():
            if (
                held.holder == self.holder
                and held.release == self.order.name
                and held.state in ("out", "returning")
            ):
                (self.outs.discard if held.recalled else self.outs.add)(name)
        for wave in self.waves:
            for name in wave.names:
                last, one = self.ups.get(name), view.directors.get(name)
                if one is None or name in view.permits or not one.live:
                    continue
                if name not in self.outs and not self._changed(one):
                    continue
                if last is None or last[0] != one.incarnation:
                    self.ups[name] = one.incarnation, view.now
        self._mourn(view)

    def _mourn(self, view: View) -> None:
        """Who died by itself, with which version. Each death falls upon one of the zone's that lived: an e-value of the
        odds that the new version's die more readily, so that a zone that is lost whole tells nothing."""
        alive: dict[str, list[int]] = {}
        for name, (_, new) in self.stood.items():
            if name not in view.permits:
                alive.setdefault(view.directors[name].zone, [0, 0])[new] += 1
        for name, (incarnation, new) in list(self.stood.items()):
            seen = view.directors[name]
            if name in view.permits or seen.live and seen.incarnation == incarnation:
                continue
            former, changed = alive[seen.zone]
            if former and changed:
                share = changed / (former + changed)
                for n, odds in enumerate(ODDS):
                    raised = odds * share / (1 + (odds - 1) * share)
                    self.evidence[n] *= raised / share if new else (1 - raised) / (1 - share)
            alive[seen.zone][new] -= 1
            self.deaths[name] = self.deaths.get(name, 0) + new
        self.stood = {
            n: (s.incarnation, s.version == self.order.wanted)
            for n, s in view.directors.items()
            if s.live and n not in view.permits
        }

    def _harmful(self, view: View) -> str:
        """What shows harm without any figure."""
        for name, held in view.permits.items():
            ours = (
                held.holder == self.holder and held.release == self.order.name and not held.recalled
            )
            if ours and self._late(view, name, held, self.order.up):
                return f"{name} never came up"
        for name, count in self.deaths.items():
            if count >= self.order.again:
                return f"{name} died {count} times"
        if sum(self.evidence) / len(ODDS) >= 1 / DEATHS:
            return f"{sum(self.deaths.values())} deaths with the new version, few without"
        for wave in self.waves:
            for name in wave.names:
                one = view.directors.get(name)
                if name in view.permits or one is None or name not in self.ups:
                    continue
                if one.live and one.version != self.order.wanted:
                    return f"{name} runs {one.version or 'no version'}, older than agreed"
                if self.twice.get(name, 0) >= 2:
                    return f"{name} is up twice"
            verdict, why = wave.judge.found()
            if verdict == "harm":
                return why
        return self._doubled(view)

    def _doubled(self, view: View) -> str:
        """One of those on trial is asked for at each look, by turns: it may cost a site a process."""
        trial = [
            n for wave in self.waves for n in wave.names if n in self.ups and n not in view.permits
        ]
        if trial:
            self.turn += 1
            name = trial[self.turn % len(trial)]
            try:
                return f"{name} is up twice" if len(self.way.runs(name)) > 1 else ""
            except OSError as cause:
                self.way.note("runs", director=name, why=str(cause))
        return ""

    # listening

    def _listen(self, view: View) -> None:
        words = {
            name: seen.word
            for name, seen in view.directors.items()
            if seen.live and name not in view.permits
        }
        trial = {name for wave in self.waves for name in wave.names}
        for wave in list(self.waves):
            still = [n for n in wave.names if n in words and not self._changed(view.directors[n])]
            if still or any(n in view.permits or self._asked(view, n) for n in wave.names):
                continue
            wave.begun = wave.begun or view.now
            settled = [
                n
                for n in wave.names
                if n in self.ups and view.now - self.ups[n][1] >= self.order.settle
            ]
            wave.judge.second(
                {n: w for n, w in words.items() if n not in wave.names or n in settled},
                wave.names,
                self._rest(view, words, trial, wave),
            )
            verdict, why = wave.judge.found()
            missing = [n for n in wave.names if n not in words]
            # One of many that was lost by itself and stays so is on trial no more: what befell it was weighed above.
            waited = view.now - wave.begun >= 2 * self.order.up
            if len(self.confirmed) < self._first(view) and view.now - wave.begun < self.order.least:
                continue
            if verdict == "fine" and (not missing or waited and 2 * len(missing) < len(wave.names)):
                wave.names = [n for n in wave.names if n in words]
                self.waves.remove(wave)
                self._confirm(wave, why)
            elif view.now - wave.begun >= self.order.limit and verdict != "harm":
                # Never on by default: the operator says whether it goes on (lift) or back (halt anew, "back: ...").
                reason = f"{', '.join(missing[:3])} not up; {why}" if missing else why
                self.way.halt(f"release {self.order.name}", f"held: wave {wave.number}: {reason}")
                self.held = wave.number
                return

    def _rest(self, view: View, words: Iterable[str], trial: set[str], wave: Wave) -> list[str]:
        """Those of the former version; where too few are left, in a zone or in all, those confirmed too."""
        left: dict[str, int] = {}
        former = [
            n for n in words if n not in trial and view.directors[n].version != self.order.wanted
        ]
        for name in former:
            left[view.directors[name].zone] = left.get(view.directors[name].zone, 0) + 1
        more = [n for n in words if n in self.confirmed]
        return former + [
            n for n in more if len(former) < 20 or left.get(view.directors[n].zone, 0) < 4
        ]

    def _confirm(self, wave: Wave, why: str) -> None:
        self.confirmed |= set(wave.names)
        self.way.note(
            "wave confirmed",
            release=self.order.name,
            wave=wave.number,
            directors=len(wave.names),
            why=why,
        )
