"""The agreement explored in the small: votes, offers, disks, deaths, reads and changes of members in every order.

The parts are the program's own `Member`s. Around them is a network that holds what was sent until it comes, in any
order, or never (a loss is a message that does not come), or again; disks that may be late; keepers that die without
what was late. Time is left out: anybody may stand at any moment, and nobody refuses a vote for having heard a leader.
What holds so, holds whatever clocks do. `MUTANTS` are the same with one thing wrong.

What must hold in each state:

- one leader: a reign has no two;
- one vote: none gives two in a reign, also over a death;
- matching: two logs alike at an index and reign are alike up to there;
- agreed: none holds another entry as agreed at an index than others did;
- complete: whoever leads later has all that was agreed in earlier reigns;
- durable: what is agreed is on a majority's disks;
- once: an ask takes effect once, and in the same order everywhere;
- read: a read sees all that was confirmed before it was asked;
- one change: no two changes of members are open in one log.
"""

import json
import pickle
import random
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from ironfall.consensus import (
    Configuration,
    Entry,
    Outcome,
    PersistedState,
    RaftLimits,
    RaftNode,
    Sessions,
)
from ironfall.consensus.node import CANDIDATE, LEADER


class Wrong(Exception):
    """A state in which something that must hold does not; the text begins with what."""


@dataclass(frozen=True)
class Small:
    """How often each thing may happen on one way."""

    keepers: int = 3
    stands: int = 2
    asks: int = 1  # the second is the first again; the third is another
    deaths: int = 0
    late: int = 0  # times that a disk is not at once done with what it was given
    repeats: int = 0
    beats: int = 0
    reads: int = 0
    changes: int = 0
    batch: int = 100  # entries offered at a time
    way: tuple[str, ...] = ()  # what happens first: how each action's name begins


class Even(random.Random):
    """Chance that is always the same: nothing here rests on it."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, k: int) -> int:
        return 0

    def __reduce__(self) -> str:
        return "EVEN"  # one for all states: copying it took a quarter of the time


EVEN = Even()


class Timeless(RaftNode):
    def _hears(self) -> bool:
        return False


class List:
    def __init__(self) -> None:
        self.values: list[str] = []

    def apply(self, index: int, entry: bytes) -> bytes:
        self.values.append(entry.decode())
        return b"%d" % len(self.values)

    def parts(self) -> Iterator[bytes]:
        return iter([json.dumps(self.values).encode()])

    def restore(self, snapshot: bytes) -> None:
        self.values = json.loads(snapshot)


class Post:
    """One keeper's way: messages to the world, writes to a list until they are done."""

    def __init__(self, world: "World", me: str) -> None:
        self.world, self.me = world, me
        self.boots, self.term, self.given, self.entries = 0, 0, "", list[Entry]()
        self.pending: list[tuple[int, str, tuple[Any, ...]]] = []

    def now(self) -> int:
        return 0

    def wake(self, wait: int) -> None:
        pass

    def _send(self, to: str, what: str, about: tuple[Any, ...]) -> None:
        if to in self.world.members:
            self.world.network[f"{to} < {self.me} {what} {about}"] = (self.me, to, what, about)

    def want_vote(self, to: str, *about: Any) -> None:
        self._voted(about[1], self.me)
        self._send(to, "vote_wanted", about)

    def vote(self, to: str, *about: Any) -> None:
        if about[3]:
            self._voted(about[1], to)
        self._send(to, "voted", about)

    def _voted(self, term: int, to: str) -> None:
        before = self.world.votes.setdefault((self.me, term), to)
        if before != to:
            raise Wrong(f"one vote: {self.me} voted for {before} and for {to} in reign {term}")

    def offer(self, to: str, *about: Any) -> None:
        *head, entries, commit = about
        self._send(to, "offered", (*head, tuple(entries), commit))

    def took(self, to: str, *about: Any) -> None:
        self._send(to, "took", about)

    def offer_part(self, to: str, *about: Any) -> None:
        self._send(to, "part_offered", about)

    def took_part(self, to: str, *about: Any) -> None:
        self._send(to, "took_part", about)

    def gone_back(self, to: str, *about: Any) -> None:
        pass  # an answer to what came late, here

    def keep(self, number: int, *about: Any) -> None:
        self.pending.append((number, "keep", about))

    def append(self, number: int, index: int, entries: Sequence[Entry]) -> None:
        self.pending.append((number, "append", (index, tuple(entries))))

    def keep_snapshot(
        self, number: int, index: int, snapshot: bytes, entries: Sequence[Entry]
    ) -> None:
        raise Wrong("no snapshot is due in the small")

    def forsake(self) -> None:
        raise Wrong(f"same: {self.me} is taken for an older disk")

    def settle(self) -> int:
        number = 0
        for each, what, about in self.pending:
            number = each
            if what == "keep":
                self.boots, self.term, self.given = about
            else:
                self.entries[about[0] - 2 :] = about[1]
        self.pending = []
        return number

    def answer(self, token: int, outcome: Outcome, answer: bytes) -> None:
        world = self.world
        if outcome is Outcome.DONE and token < 100:
            world.done = max(world.done, int(answer or b"0"))
        elif outcome is Outcome.READ:
            held = len(world.members[self.me].machine.values)  # type: ignore[attr-defined]
            if held < world.asked[token]:
                raise Wrong(
                    f"read: {self.me} read {held} of the {world.asked[token]} confirmed before"
                )

    def say(self, what: str) -> None:
        pass


Message = tuple[str, str, str, tuple[Any, ...]]


@dataclass
class World:
    kind: type[RaftNode]
    small: Small
    members: dict[str, RaftNode] = field(default_factory=dict)
    posts: dict[str, Post] = field(default_factory=dict)
    network: dict[str, Message] = field(default_factory=dict)  # by a name that says all of it
    stands: int = 0
    asks: int = 0
    deaths: int = 0
    late: int = 0
    repeats: int = 0
    beats: int = 0
    reads: int = 0
    changes: int = 0
    done: int = 0  # asks that were confirmed
    asked: dict[int, int] = field(default_factory=dict)  # by read: asks confirmed before it
    votes: dict[tuple[str, int], str] = field(default_factory=dict)
    led: dict[int, str] = field(default_factory=dict)
    agreed: dict[int, tuple[Entry, int]] = field(
        default_factory=dict
    )  # and the reign that agreed on it

    def begin(self, name: str) -> None:
        post, voters = self.posts[name], [f"m{n}" for n in range(self.small.keepers)]
        # A session is open from the start: its number 1 is that of the entry that the snapshot stands for.
        snapshot = json.dumps([1, 0, [voters, []], [[1, []]]]).encode() + b"\n[]"
        found = PersistedState(
            post.boots, post.term, post.given, snapshot, list(post.entries), Configuration()
        )
        self.members[name] = self.kind(
            name, RaftLimits(batch=self.small.batch), EVEN, post, List(), found
        )

    def flush(self, name: str) -> None:
        post = self.posts[name]
        while post.pending:
            self.members[name].kept(post.settle())


def start(kind: type[RaftNode], small: Small) -> World:
    world = World(kind, small)
    for n in range(small.keepers):
        world.posts[f"m{n}"] = Post(world, f"m{n}")
        world.begin(f"m{n}")
        world.flush(f"m{n}")
    for begins in small.way:
        act = next((act for name, act in actions(world) if name.startswith(begins)), None)
        if act is None:
            raise Wrong(
                f"way: nothing begins with {begins!r} here: {[name for name, _ in actions(world)]}"
            )
        step(world, act, False)
    return world


Act = Callable[[World], str]  # returns whose disk was given something, perhaps


def actions(world: World) -> Iterator[tuple[str, Act]]:
    small = world.small
    for name, member in world.members.items():
        if world.posts[name].pending:
            yield f"{name}'s disk is done", lambda w, n=name: _flush(w, n)  # type: ignore[misc]
        # All are alike at first: that another begins is the same with other names.
        if world.stands < small.stands and member.role != LEADER and (world.stands or name == "m0"):
            yield f"{name} stands", lambda w, n=name: _stand(w, n)  # type: ignore[misc]
        if world.deaths < small.deaths:
            yield f"{name} dies", lambda w, n=name: _die(w, n)  # type: ignore[misc]
        if member.role == LEADER:
            if world.asks < small.asks:
                yield f"{name} is asked", lambda w, n=name: _ask(w, n)  # type: ignore[misc]
            if world.beats < small.beats:
                yield f"{name} beats", lambda w, n=name: _beat(w, n)  # type: ignore[misc]
            if world.reads < small.reads:
                yield f"{name} is to be read", lambda w, n=name: _read(w, n)  # type: ignore[misc]
            if world.changes < small.changes:
                yield f"{name} is to add one", lambda w, n=name: _change(w, n)  # type: ignore[misc]
    for said in sorted(world.network):
        yield said, lambda w, m=said: _comes(w, m, False)  # type: ignore[misc]
        if world.repeats < small.repeats:
            yield f"{said}, again", lambda w, m=said: _comes(w, m, True)  # type: ignore[misc]


def _flush(world: World, name: str) -> str:
    world.flush(name)
    return ""


def _stand(world: World, name: str) -> str:
    world.stands += 1
    world.members[name].stand()
    return name


def _die(world: World, name: str) -> str:
    world.deaths += 1
    world.posts[name].pending = []
    world.begin(name)
    return name


def _ask(world: World, name: str) -> str:
    world.asks += 1
    number = 1 if world.asks < 3 else 2
    world.members[name].ask(world.asks, 1, number, b"xy"[number - 1 : number])
    return name


def _beat(world: World, name: str) -> str:
    world.beats += 1
    world.members[name]._beat()
    return name


def _read(world: World, name: str) -> str:
    world.reads += 1
    world.asked[200 + world.reads] = world.done
    world.members[name].read(200 + world.reads)
    return name


def _change(world: World, name: str) -> str:
    world.changes += 1
    world.members[name].add(100 + world.changes, f"n{world.changes}")
    return name


def _comes(world: World, said: str, again: bool) -> str:
    sender, to, what, about = world.network[said]
    if again:
        world.repeats += 1
    else:
        del world.network[said]
    getattr(world.members[to], what)(sender, *about)
    return to


def step(world: World, act: Act, late: bool) -> None:
    """One thing happens; the disk is done with what it gave it, or late."""
    try:
        name = act(world)
        if late:
            world.late += 1
        elif name:
            world.flush(name)
    except AssertionError as wrong:
        raise Wrong(f"agreed: {wrong}") from None
    prune(world)
    check(world)


def prune(world: World) -> None:
    """What does nothing when it comes is left out: it can come at any time, or not at all."""
    world.network = {said: m for said, m in world.network.items() if not _idle(world, m)}


def _idle(world: World, message: Message) -> bool:
    sender, to, what, about = message
    member, term = world.members[to], about[1]
    # Words of a reign that its receiver's disk is beyond do no more than tell the sender so.
    if term < world.posts[to].term:
        return True
    if term > member.term or world.posts[to].pending:
        return False
    if what == "vote_wanted":
        return bool(term < member.term)
    if what == "voted":
        return not about[3] or member.role != CANDIDATE
    if what == "took":
        peer = member.peers.get(sender)
        _, _, beat, fits, index, _ = about
        return peer is None or bool(
            fits and index <= peer.match and beat <= peer.beat and not peer.probing
        )
    return False


def check(world: World) -> None:
    members = world.members
    for name, member in members.items():
        if member.role == LEADER and world.led.setdefault(member.term, name) != name:
            raise Wrong(f"one leader: {name} and {world.led[member.term]} lead reign {member.term}")
        for index in range(member.log.base + 1, member.commit + 1):
            entry = member.log.at(index)
            if index not in world.agreed:
                world.agreed[index] = (entry, member.term)
                having = sum(
                    p.entries[index - 2 : index - 1] == [entry] for p in world.posts.values()
                )
                if 2 * having <= world.small.keepers and not world.small.changes:
                    raise Wrong(
                        f"durable: {name} holds {index} as agreed, and {having} disks have it"
                    )
            elif world.agreed[index][0] != entry:
                raise Wrong(
                    f"agreed: {name} has {entry} at {index}, others {world.agreed[index][0]}"
                )
        values = member.machine.values  # type: ignore[attr-defined]
        if len(set(values)) != len(values):
            raise Wrong(f"once: {name} applied {values}")
        if sum(index > member.commit for index, _ in member.configs) > 1:
            raise Wrong(f"one change: {name} has {member.configs} open")
    for name, member in members.items():
        if member.role == LEADER:
            for index, (entry, term) in world.agreed.items():
                if member.term > term and (
                    member.log.last < index or member.log.at(index) != entry
                ):
                    raise Wrong(
                        f"complete: {name} leads reign {member.term} without {index}, agreed in {term}"
                    )
    logs = [m.log for m in members.values()]
    for n, one in enumerate(logs):
        for other in logs[n + 1 :]:
            alike = [a == b for a, b in zip(one.entries, other.entries, strict=False)]
            terms_led = [a.term == b.term for a, b in zip(one.entries, other.entries, strict=False)]
            last = max((k for k, same in enumerate(terms_led) if same), default=-1)
            if not all(alike[: last + 1]):
                raise Wrong(f"matching: {one.entries} and {other.entries}")


def key_of(world: World) -> bytes:
    """All that can make a difference from here on."""
    parts: list[Any] = [
        sorted(world.network),
        world.stands,
        world.asks,
        world.deaths,
        world.late,
        world.repeats,
        world.beats,
        world.reads,
        world.changes,
        world.done,
        world.asked,
    ]
    for name, m in world.members.items():
        post = world.posts[name]
        peers = [
            (n, p.next, p.match, p.beat, p.probing, list(p.flight)) for n, p in m.peers.items()
        ]
        parts.append(
            (
                m.role,
                m.leader,
                m.term,
                m.vote,
                m.commit,
                m.log.entries,
                m.writes.durable,
                m.writes.term,
                m.matched,
                m.owed,
                sorted(m.votes),
                peers,
                m.first,
                m.beats,
                m.waiting,
                list(m.reads),
                sorted(m.memory.seen.items()),
                m.up,
                post.boots,
                post.term,
                post.given,
                post.entries,
                post.pending,
            )
        )
    return repr(
        (
            parts,
            sorted(world.votes.items()),
            sorted(world.led.items()),
            sorted(world.agreed.items()),
        )
    ).encode()


def explore(
    kind: type[RaftNode], small: Small, most: int, say: Callable[[int], None] = lambda _n: None
) -> tuple[int, str, list[str]]:
    """States visited, what was wrong (nothing: all hold, and all were visited), and the way there."""
    first = start(kind, small)
    seen = {hash(key_of(first))}
    waiting: deque[tuple[bytes, tuple[str, ...]]] = deque([(pickle.dumps(first), ())])
    while waiting:
        frozen, way = waiting.popleft()
        world: World = pickle.loads(frozen)
        for name, act in actions(world):
            for late in (False, True) if world.late < small.late else (False,):
                following: World = pickle.loads(frozen)
                if late and name.endswith("done"):
                    continue
                called = name + ", its disk late" * late
                try:
                    step(following, act, late)
                except Wrong as wrong:
                    return len(seen), str(wrong), [*way, called]
                if late and not any(p.pending for p in following.posts.values()):
                    continue
                key = hash(key_of(following))
                if key in seen:
                    continue
                seen.add(key)
                waiting.append((pickle.dumps(following), (*way, called)))
                if len(seen) % 10_000 == 0:
                    say(len(seen))
                if len(seen) >= most:
                    return len(seen), f"unfinished: more than {most} states", []
    return len(seen), "", []


def wander(kind: type[RaftNode], small: Small, seed: int, steps: int) -> tuple[str, list[str]]:
    """One long way by chance, deeper than all states can be visited."""
    chance, world, way = random.Random(seed), start(kind, small), list[str]()
    for _ in range(steps):
        possible = list(actions(world))
        if not possible:
            break
        name, act = chance.choice(possible)
        late = world.late < small.late and not name.endswith("done") and chance.random() < 0.3
        way.append(name + ", its disk late" * late)
        try:
            step(world, act, late)
        except Wrong as wrong:
            return str(wrong), way
    return "", way


# what is wrong on purpose


class VotesUnkept(Timeless):
    def _vote_waits(self) -> bool:
        return False

    def vote_wanted(
        self, sender: str, boots: int, term: int, early: bool, index: int, last: int
    ) -> None:
        super().vote_wanted(sender, boots, term, early, index, last)
        if self.owed == sender:
            self.way.vote(sender, self.boots, self.term, False, True)


class VotesForShorter(Timeless):
    def _fresh(self, index: int, last: int) -> bool:
        return True


class VotesTwice(Timeless):
    def vote_wanted(
        self, sender: str, boots: int, term: int, early: bool, index: int, last: int
    ) -> None:
        if term == self.term and self.vote != self.me:
            self.vote = ""
        super().vote_wanted(sender, boots, term, early, index, last)


class CountsOlderReigns(Timeless):
    def _countable(self, index: int) -> bool:
        return True


class CountsBeforeDurable(Timeless):
    def _own(self) -> int:
        return self.log.last


class Unnumbered(Sessions):
    def apply(self, session: int, number: int, effect: Callable[[], bytes]) -> bytes | None:
        return effect()


class AppliesTwice(Timeless):
    def __init__(
        self,
        me: str,
        bounds: RaftLimits,
        chance: random.Random,
        way: Any,
        machine: Any,
        found: PersistedState,
    ) -> None:
        super().__init__(me, bounds, chance, way, machine, found)
        self.sessions = Unnumbered(bounds.sessions, bounds.answers)


class ForgetsReign(Timeless):
    def __init__(
        self,
        me: str,
        bounds: RaftLimits,
        chance: random.Random,
        way: Any,
        machine: Any,
        found: PersistedState,
    ) -> None:
        found.term, found.vote = 0, ""
        super().__init__(me, bounds, chance, way, machine, found)


class ReadsAtOnce(Timeless):
    def _confirmed(self, beat: int, confirmed: int) -> bool:
        return True


class ChangesTwo(Timeless):
    def _settled(self) -> bool:
        return self.commit >= self.first


class TakesMisfits(Timeless):
    """Takes entries whatever comes before them."""

    def offered(
        self,
        sender: str,
        boots: int,
        term: int,
        beat: int,
        before: int,
        last: int,
        entries: Sequence[Entry],
        commit: int,
    ) -> None:
        before = min(before, self.log.last)
        super().offered(
            sender, boots, term, beat, before, self.log.term_at(before) or 0, entries, commit
        )


LED = (
    "m0 stands",
    "m1 < m0 vote_wanted",
    "m0 < m1 voted",
)  # m0 leads reign 1, and none heard of it yet
AGREED = (*LED, "m1 < m0 offered", "m0 < m1 took")
LED_TWICE = ("m1 stands", "m2 < m1 vote_wanted", "m1 < m2 voted")  # then m1 leads reign 2
LED_AGAIN = (
    *LED,
    *LED_TWICE,
    "m0 < m1 vote_wanted",
    "m0 stands",
    "m1 < m0 vote_wanted",
    "m2 < m0 vote_wanted",
    "m0 < m2 voted",
)  # and then m0 reign 3
READABLE = (
    *AGREED,
    *LED_TWICE,
    "m2 < m1 offered",
    "m1 < m2 took",
    "m1 is asked",
)  # and m0 has not heard

MUTANTS: dict[str, tuple[type[RaftNode], str, Small]] = {
    "votes are not kept before they are answered": (
        VotesUnkept,
        "one vote",
        Small(stands=2, deaths=1, late=1, asks=0),
    ),
    "votes for a shorter log": (VotesForShorter, "complete", Small(stands=2, asks=0)),
    "votes twice": (VotesTwice, "one vote", Small(stands=2, asks=0)),
    "counts entries of older reigns": (
        CountsOlderReigns,
        "complete",
        Small(stands=4, asks=0, batch=1, way=LED_AGAIN),
    ),
    "counts what is not yet durable": (
        CountsBeforeDurable,
        "durable",
        Small(stands=1, asks=0, late=1),
    ),
    "applies an ask twice": (AppliesTwice, "once", Small(stands=1, asks=2, way=LED)),
    "forgets its reign when it dies": (ForgetsReign, "one vote", Small(stands=2, deaths=1, asks=0)),
    "reads without the round": (
        ReadsAtOnce,
        "read",
        Small(stands=2, asks=1, reads=1, way=READABLE),
    ),
    "changes two members at once": (
        ChangesTwo,
        "one change",
        Small(stands=1, asks=0, changes=2, way=LED),
    ),
    "takes entries that do not fit": (
        TakesMisfits,
        "matching",
        Small(stands=3, asks=0, way=(*LED, *LED_TWICE, "m2 < m1 offered")),
    ),
}
