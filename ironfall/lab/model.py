"""The long-poll protocol explored exhaustively in the small: orders, polls, losses, repeats, restarts in every order.

The parts are the program's own: `Publication`, `Holding`, and `due`, which decides what a poll is told. Around them are
a channel that releases when it likes, a network that delays, drops, repeats and overtakes, a director that restarts
under a new epoch, and proxies that join, poll and apply. Every state that can be reached is visited once; what must
hold is checked in each. `MUTANTS` are the same with one thing wrong: each must be caught, or a check of ours says
nothing.

What must hold, of each proxy in each state:

- exact: what it holds at a version is what the director published for it up to there: no change missed, none twice;
- onward: within a session its version never goes back;
- receipt: what the director takes as confirmed, the proxy holds;
- supplied: it always has a line to pick from, and none that it was told to send nothing to;
- converges: when everything that waits is delivered and nothing more happens, it holds the newest version.
"""

import copy
import pickle
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from ironfall.director.sessions import PollDecision, Session, Sessions, decide_poll
from ironfall.publication import Delta, Holding, Outcome, Publication

TABLE = 0
# What each epoch's director orders, a version each. Hosts come, change, are withdrawn, return and leave.
SCRIPTS = (
    (
        ("line", "a", 1.0, "b", 2.0, "bind"),
        ("out", "a", True),
        ("line", "b", 3.0),
        ("out", "a", False),
    ),
    (
        ("line", "b", 1.0, "c", 1.0, "bind"),
        ("line", "c", 0.0),
        ("out", "b", False),
        ("line", "b", 2.0),
    ),
)
STANDING = {"s": 1_000_000}


class Wrong(Exception):
    """A state in which something that must hold does not; the text says what."""


@dataclass
class Proxy:
    holding: Holding
    joined: int = -1  # the epoch of its session; -1 none
    poll: tuple[int, int, int, bool] | None = None  # under way: session, epoch, version, whole
    states: list[tuple[Delta, bool]] = field(
        default_factory=list
    )  # under way to it; whether it came once already
    whole: bool = False
    session: int = -1


@dataclass
class World:
    """One state. `truth`: what each version of this epoch is, by proxy, as seen at its publication."""

    epoch: int
    published: Publication
    sessions: dict[int, Session]
    proxies: list[Proxy]
    truth: dict[tuple[int, int, int], Any] = field(default_factory=dict)
    opened: int = 0
    repeats: int = 0
    losses: int = 0


@dataclass(frozen=True)
class Bounds:
    proxies: int = 2
    versions: int = 3
    epochs: int = 2
    history: int = 1  # versions that a delta can start from: compaction in reach
    repeats: int = 1
    losses: int = 1


class Rules:
    """The parts as they are; mutants replace one."""

    def publication(self, epoch: int, bounds: Bounds) -> Publication:
        return Publication(epoch, 1, bounds.history)

    def due(
        self, published: Publication, session: Session, version: int, whole: bool
    ) -> PollDecision:
        return decide_poll(published, session, version, whole)

    def confirm(self, session: Session, version: int) -> None:
        _SESSIONS.confirm(session, version)

    def apply(self, holding: Holding, delta: Delta) -> Outcome:
        return holding.apply(delta)

    def join(self, holding: Holding, epoch: int, version: int) -> None:
        holding.join(epoch, version)


_SESSIONS = Sessions(10, 10, 10)


class _Loose(Rules):
    """A mutant of the proxy's side: the checksum is its last defence, and is taken away with what is wrong."""

    def apply(self, holding: Holding, delta: Delta) -> Outcome:
        if delta.epoch != holding.epoch:
            return self.foreign(holding, delta)
        if delta.to <= holding.version and not delta.whole:
            return self.again(holding, delta)
        if not delta.whole and delta.start != holding.version:
            return self.gap(holding, delta)
        return self.take(holding, delta)

    def take(self, holding: Holding, delta: Delta) -> Outcome:
        binds = {} if delta.whole else dict(holding.binds)
        tables = {} if delta.whole else {t: dict(rows) for t, rows in holding.tables.items()}
        outs = set() if delta.whole else set(holding.outs)
        binds.update(delta.binds)
        for table, host, weight in delta.lines:
            tables.setdefault(table, {}).pop(host, None)
            if weight:
                tables[table][host] = weight
        for host, out in delta.outs:
            (outs.add if out else outs.discard)(host)
        holding.binds, holding.tables, holding.outs, holding.version = binds, tables, outs, delta.to
        return Outcome.APPLIED

    def foreign(self, holding: Holding, delta: Delta) -> Outcome:
        return Outcome.FOREIGN

    def again(self, holding: Holding, delta: Delta) -> Outcome:
        return Outcome.REPEATED

    def gap(self, holding: Holding, delta: Delta) -> Outcome:
        return Outcome.GAP


class TakesGaps(_Loose):
    def gap(self, holding: Holding, delta: Delta) -> Outcome:
        return self.take(holding, delta)


class TakesOld(_Loose):
    def again(self, holding: Holding, delta: Delta) -> Outcome:
        return self.take(holding, delta)


class TakesForeign(_Loose):
    def foreign(self, holding: Holding, delta: Delta) -> Outcome:
        return self.take(holding, delta)


class ForgetsAtJoin(Rules):
    def join(self, holding: Holding, epoch: int, version: int) -> None:
        holding.__init__(holding.classes, {})  # type: ignore[misc]
        holding.join(epoch, version)


class BelievesReceipts(Rules):
    def confirm(self, session: Session, version: int) -> None:
        session.confirmed = session.released


class TellsBeyondItsHistory(Rules):
    def due(
        self, published: Publication, session: Session, version: int, whole: bool
    ) -> PollDecision:
        if not whole and session.released > version:
            return PollDecision(published.delta(session.number, version, session.released))
        return decide_poll(published, session, version, whole)


class NeverTellsWhole(Rules):
    def due(
        self, published: Publication, session: Session, version: int, whole: bool
    ) -> PollDecision:
        return PollDecision(decide_poll(published, session, version, whole).delta)


MUTANTS: dict[str, tuple[type[Rules], str]] = {
    "takes gaps": (TakesGaps, "onward"),
    "takes old ones": (TakesOld, "onward"),
    "takes another epoch's": (TakesForeign, "onward"),
    "forgets at joining": (ForgetsAtJoin, "supplied"),
    "believes receipts": (BelievesReceipts, "receipt"),
    "tells beyond its history": (TellsBeyondItsHistory, "exact"),
    "never tells a whole state": (NeverTellsWhole, "converges"),
}


class Explorer:
    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self.bounds, self.rules = bounds, rules

    def start(self) -> World:
        proxies = [Proxy(Holding(1, dict(STANDING))) for _ in range(self.bounds.proxies)]
        return World(0, self.rules.publication(0, self.bounds), {}, proxies)

    # what can happen: each a name and a change of a copy

    def actions(self, world: World) -> Iterator[tuple[str, Callable[[World], None]]]:
        bounds = self.bounds
        if world.published.version < bounds.versions and world.sessions:
            yield "order", self._order
        if world.epoch + 1 < bounds.epochs:
            yield "restart", self._restart
        for number, session in world.sessions.items():
            if session.released < world.published.version or session.awaits_complete_state:
                yield f"release {number}", lambda w, n=number: self._release(w, n)  # type: ignore[misc]
        for n, proxy in enumerate(world.proxies):
            if proxy.joined < 0:
                yield f"p{n} joins", lambda w, n=n: self._join(w, n)  # type: ignore[misc]
                continue
            if proxy.poll is None:
                if all(came for _, came in proxy.states):
                    yield f"p{n} polls", lambda w, n=n: self._poll(w, n)  # type: ignore[misc]
                elif world.losses < bounds.losses:
                    # Its time ran out; the answer is still under way, and will overtake or be overtaken.
                    yield f"p{n} polls again", lambda w, n=n: self._poll_again(w, n)  # type: ignore[misc]
            else:
                yield f"p{n}'s poll comes", lambda w, n=n: self._poll_comes(w, n)  # type: ignore[misc]
                if world.losses < bounds.losses:
                    yield f"p{n}'s poll is lost", lambda w, n=n: self._poll_lost(w, n)  # type: ignore[misc]
            for k, (_, came) in enumerate(proxy.states):
                yield f"state {k} comes to p{n}", lambda w, n=n, k=k: self._comes(w, n, k, False)  # type: ignore[misc]
                if not came and world.repeats < bounds.repeats:
                    yield (
                        f"state {k} comes to p{n}, and will again",
                        lambda w, n=n, k=k: self._comes(w, n, k, True),  # type: ignore[misc]
                    )
                if world.losses < bounds.losses:
                    yield f"state {k} to p{n} is lost", lambda w, n=n, k=k: self._lost(w, n, k)  # type: ignore[misc]

    def _order(self, world: World) -> None:
        published = world.published
        what, *about = SCRIPTS[world.epoch][published.version]
        if about and about[-1] == "bind":
            for number in world.sessions:
                published.assign(number, TABLE, 0)
            about = about[:-1]
        if what == "line":
            for host, weight in zip(about[::2], about[1::2], strict=True):
                published.set_weight(TABLE, host, weight)  # type: ignore[arg-type]
        else:
            published.withdraw(about[0], about[1])  # type: ignore[arg-type]
        published.close()
        self._note(world)

    def _note(self, world: World) -> None:
        """The truth of this version, by what the publisher holds now and not by any history."""
        published = world.published
        for number in world.sessions:
            bound = bool(published.views[number].bound)
            lines = dict(published.tables.get(TABLE, {})) if bound else {}
            world.truth[world.epoch, number, published.version] = (
                bound,
                lines,
                set(published.outs),
            )

    def _restart(self, world: World) -> None:
        world.epoch += 1
        world.published = self.rules.publication(world.epoch, self.bounds)
        world.sessions = {}

    def _release(self, world: World, number: int) -> None:
        session = world.sessions[number]
        session.released = world.published.version
        if session.awaits_complete_state:
            session.awaits_complete_state, session.complete_from = False, session.released

    def _join(self, world: World, n: int) -> None:
        proxy, number = world.proxies[n], world.opened
        world.opened += 1
        version = world.published.join(number)
        world.sessions[number] = Session(
            str(number), f"p{n}", number, 0, version, version, 0, _nothing
        )
        # A director that has ordered binds a joiner at once, as the decisions do sooner or later.
        self._note(world)
        proxy.joined, proxy.session, proxy.whole = world.epoch, number, False
        self.rules.join(proxy.holding, world.epoch, version)

    def _poll(self, world: World, n: int) -> None:
        proxy = world.proxies[n]
        proxy.poll = (proxy.session, proxy.joined, proxy.holding.version, proxy.whole)

    def _poll_again(self, world: World, n: int) -> None:
        world.losses += 1
        self._poll(world, n)

    def _poll_lost(self, world: World, n: int) -> None:
        world.proxies[n].poll = None
        world.losses += 1

    def _poll_comes(self, world: World, n: int) -> None:
        proxy = world.proxies[n]
        assert proxy.poll is not None
        number, epoch, version, whole = proxy.poll
        if epoch != world.epoch or number not in world.sessions:
            proxy.poll, proxy.joined = None, -1  # told to join again
            return
        session = world.sessions[number]
        self.rules.confirm(session, version)
        decision = self.rules.due(world.published, session, version, whole)
        if decision.resync_reason:
            session.awaits_complete_state = True
        delta = decision.delta
        if delta is not None:
            proxy.states.append((delta, False))
            proxy.poll = None
        # Else the poll is held: it comes again when something has changed.

    def _comes(self, world: World, n: int, k: int, again: bool) -> None:
        proxy = world.proxies[n]
        delta, _ = proxy.states[k]
        if again:
            proxy.states[k] = (delta, True)
            world.repeats += 1
        else:
            del proxy.states[k]
        before = proxy.holding.version if proxy.holding.epoch == delta.epoch else -1
        outcome = self.rules.apply(proxy.holding, delta)
        if proxy.holding.epoch == delta.epoch and proxy.holding.version < before:
            raise Wrong(f"onward: p{n} went back from version {before} to {proxy.holding.version}")
        if outcome in (Outcome.GAP, Outcome.DIFFERS):
            proxy.whole = True
        elif outcome is Outcome.APPLIED:
            proxy.whole = False

    def _lost(self, world: World, n: int, k: int) -> None:
        del world.proxies[n].states[k]
        world.losses += 1

    # what must hold

    def check(self, world: World) -> None:
        for n, proxy in enumerate(world.proxies):
            holding = proxy.holding
            lines = holding.lines(0)
            if not lines:
                raise Wrong(f"supplied: p{n} has no line")
            if holding.outs & lines.keys():
                raise Wrong(
                    f"supplied: p{n} may pick {holding.outs & lines.keys()}, which is withdrawn"
                )
            truth = world.truth.get((proxy.joined, proxy.session, holding.version))
            if proxy.joined >= 0 and truth is not None:
                bound, rows, outs = truth
                held = dict(holding.tables.get(TABLE, {})) if holding.binds else {}
                if bool(holding.binds) != bound or held != rows or (bound and holding.outs != outs):
                    told = f"holds {held}, {holding.outs}; published were {rows}, {outs}"
                    raise Wrong(f"exact: p{n} at version {holding.version} {told}")
            session = world.sessions.get(proxy.session)
            if (
                session is not None
                and proxy.joined == world.epoch
                and session.confirmed > holding.version
            ):
                raise Wrong(
                    f"receipt: p{n} holds {holding.version} and is taken to hold {session.confirmed}"
                )

    def settle(self, world: World) -> None:
        """Whatever is under way comes, and polls go on: does it get there?"""
        world = copy.deepcopy(world)
        for _ in range(12):
            for n, proxy in enumerate(world.proxies):
                while proxy.states:
                    self._comes(world, n, 0, False)
                if proxy.joined < 0:
                    self._join(world, n)
                if proxy.poll is None:
                    self._poll(world, n)
                self._poll_comes(world, n)
            for number in world.sessions:
                self._release(world, number)
            self.check(world)
        for n, proxy in enumerate(world.proxies):
            if proxy.joined != world.epoch or proxy.holding.version != world.published.version:
                raise Wrong(
                    f"converges: p{n} stays at version {proxy.holding.version} of {world.published.version}"
                )

    # exploring

    def explore(
        self, most: int, say: Callable[[int], None] = lambda _n: None
    ) -> tuple[int, str, list[str]]:
        """States visited, what was wrong (nothing: all hold, and all were visited), and the way there."""
        first = self.start()
        seen = {key_of(first)}
        waiting: deque[tuple[World, tuple[str, ...]]] = deque([(first, ())])
        while waiting:
            world, way = waiting.popleft()
            frozen = pickle.dumps(world)
            for name, act in self.actions(world):
                following: World = pickle.loads(frozen)
                try:
                    act(following)
                    key = key_of(following)
                    if key in seen:
                        continue
                    self.check(following)
                    self.settle(following)
                except Wrong as wrong:
                    return len(seen), str(wrong), [*way, name]
                seen.add(key)
                waiting.append((following, (*way, name)))
                if len(seen) % 10_000 == 0:
                    say(len(seen))
                if len(seen) >= most:
                    return len(seen), f"unfinished: more than {most} states", []
        return len(seen), "", []


def _nothing() -> None:
    pass


def key_of(world: World) -> bytes:
    """All that can make a difference from here on. Sessions that were lost, and memos, can't."""
    published, current = world.published, {p.session for p in world.proxies}
    rank = {number: n for n, number in enumerate(sorted(current | set(world.sessions)))}
    sessions, proxies = [], []
    for number, s in sorted(world.sessions.items()):
        if number in current:
            view = published.views[number]
            sessions.append(
                (
                    rank[number],
                    s.released,
                    s.confirmed,
                    s.awaits_complete_state,
                    s.complete_from,
                    view.since,
                    tuple(view.bound),
                    tuple(sorted(view.seen)),
                )
            )
    for p in world.proxies:
        poll = p.poll and (rank.get(p.poll[0], -1), *p.poll[1:])
        states = [(d.epoch, d.start, d.to, d.checksum, came) for d, came in p.states]
        proxies.append((p.joined, rank.get(p.session, -1), poll, p.whole, _held(p.holding), states))
    return repr(
        (
            world.epoch,
            published.version,
            published.base,
            len(published.log),
            sessions,
            proxies,
            world.repeats,
            world.losses,
        )
    ).encode()


def _held(holding: Holding) -> Any:
    kept = [(sorted(k.table.items()), sorted(k.outs)) for k in holding.cached]
    tables = sorted((t, sorted(rows.items())) for t, rows in holding.tables.items())
    return (
        holding.epoch,
        holding.version,
        sorted(holding.binds.items()),
        tables,
        sorted(holding.outs),
        kept,
    )
