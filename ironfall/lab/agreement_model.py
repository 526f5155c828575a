"""The agreement explored in the small: votes, offers, disks, deaths, reads and changes of members in every order.

The parts are the program's own `RaftNode`s. Around them is a network that holds what was sent until it comes, in any
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
from dataclasses import dataclass, field, replace
from dataclasses import fields as dataclass_fields
from typing import Any

from ironfall.consensus import (
    AppendEntries,
    AppendResponse,
    Configuration,
    DiskRolledBack,
    Entry,
    HardState,
    Message,
    Outcome,
    PersistedState,
    RaftLimits,
    RaftNode,
    RequestVote,
    Role,
    Sessions,
    VoteResponse,
)
from ironfall.consensus.client_requests import ClientRequests, PendingRead
from ironfall.consensus.election import Election, PendingVote
from ironfall.consensus.environment import Environment, StateMachine
from ironfall.consensus.membership_changes import MembershipChanges
from ironfall.consensus.replication import Replication
from ironfall.coordinator.peer_codec import name_of


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
    def hears_leader(self) -> bool:
        return False


class List:
    def __init__(self) -> None:
        self.values: list[str] = []

    def apply(self, index: int, entry: bytes) -> bytes:
        self.values.append(entry.decode())
        return b"%d" % len(self.values)

    def snapshot_chunks(self) -> Iterator[bytes]:
        return iter([json.dumps(self.values).encode()])

    def restore(self, snapshot: bytes) -> None:
        self.values = json.loads(snapshot)


class Post:
    """One keeper's environment: messages to the world, writes to a list until they are done."""

    random_source: random.Random = EVEN

    def __init__(self, world: "World", me: str) -> None:
        self.world, self.me = world, me
        self.boots, self.term, self.given, self.entries = 0, 0, "", list[Entry]()
        self.pending: list[tuple[int, str, tuple[Any, ...]]] = []

    def now(self) -> int:
        return 0

    def set_timer(self, delay: int) -> None:
        pass

    def send(self, to: str, message: Message) -> None:
        if isinstance(message, DiskRolledBack):
            return  # an answer to what came late, here
        if isinstance(message, RequestVote):
            self._voted(message.term, self.me)
        if isinstance(message, VoteResponse) and message.is_granted:
            self._voted(message.term, to)
        if isinstance(message, AppendEntries):
            message = replace(message, entries=tuple(message.entries))
        if to in self.world.members:
            fields = tuple(getattr(message, field.name) for field in dataclass_fields(message))
            name = f"{to} < {self.me} {name_of(message)} {fields}"
            self.world.network[name] = Sent(self.me, to, message)

    def _voted(self, term: int, to: str) -> None:
        before = self.world.votes.setdefault((self.me, term), to)
        if before != to:
            raise Wrong(f"one vote: {self.me} voted for {before} and for {to} in reign {term}")

    def write_hard_state(self, number: int, state: HardState) -> None:
        self.pending.append((number, "keep", tuple(state)))

    def append_entries(self, number: int, first_index: int, entries: Sequence[Entry]) -> None:
        self.pending.append((number, "append", (first_index, tuple(entries))))

    def write_snapshot(
        self, number: int, index: int, snapshot: bytes, entries: Sequence[Entry]
    ) -> None:
        raise Wrong("no snapshot is due in the small")

    def quarantine_disk(self) -> None:
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

    def reply(self, token: int, outcome: Outcome, answer: bytes) -> None:
        world = self.world
        if outcome is Outcome.DONE and token < 100:
            world.done = max(world.done, int(answer or b"0"))
        elif outcome is Outcome.READ:
            held = len(world.members[self.me].state_machine.values)  # type: ignore[attr-defined]
            if held < world.asked[token]:
                raise Wrong(
                    f"read: {self.me} read {held} of the {world.asked[token]} confirmed before"
                )

    def report(self, text: str) -> None:
        pass


@dataclass(frozen=True)
class Sent:
    """A message on its way."""

    sender: str
    to: str
    message: Message


@dataclass
class World:
    kind: type[RaftNode]
    small: Small
    members: dict[str, RaftNode] = field(default_factory=dict)
    posts: dict[str, Post] = field(default_factory=dict)
    network: dict[str, Sent] = field(default_factory=dict)  # by a name that says all of it
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
        limits = RaftLimits(max_batch_entries=self.small.batch)
        self.members[name] = self.kind(name, limits, post, List(), found)

    def flush(self, name: str) -> None:
        post = self.posts[name]
        while post.pending:
            self.members[name].on_write_durable(post.settle())


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
        if (
            world.stands < small.stands
            and member.role is not Role.LEADER
            and (world.stands or name == "m0")
        ):
            yield f"{name} stands", lambda w, n=name: _stand(w, n)  # type: ignore[misc]
        if world.deaths < small.deaths:
            yield f"{name} dies", lambda w, n=name: _die(w, n)  # type: ignore[misc]
        if member.role is Role.LEADER:
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
    world.members[name].election.start()
    return name


def _die(world: World, name: str) -> str:
    world.deaths += 1
    world.posts[name].pending = []
    world.begin(name)
    return name


def _ask(world: World, name: str) -> str:
    world.asks += 1
    number = 1 if world.asks < 3 else 2
    world.members[name].propose(world.asks, 1, number, b"xy"[number - 1 : number])
    return name


def _beat(world: World, name: str) -> str:
    world.beats += 1
    world.members[name].replication.send_heartbeat()
    return name


def _read(world: World, name: str) -> str:
    world.reads += 1
    world.asked[200 + world.reads] = world.done
    world.members[name].read(200 + world.reads)
    return name


def _change(world: World, name: str) -> str:
    world.changes += 1
    world.members[name].add_member(100 + world.changes, f"n{world.changes}")
    return name


def _comes(world: World, said: str, again: bool) -> str:
    sent = world.network[said]
    if again:
        world.repeats += 1
    else:
        del world.network[said]
    world.members[sent.to].on_message(sent.sender, sent.message)
    return sent.to


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


def _idle(world: World, sent: Sent) -> bool:
    message, member = sent.message, world.members[sent.to]
    assert not isinstance(message, DiskRolledBack), "it is never sent here"
    term = message.term
    # Words of a reign that its receiver's disk is beyond do no more than tell the sender so.
    if term < world.posts[sent.to].term:
        return True
    if term > member.term or world.posts[sent.to].pending:
        return False
    if isinstance(message, RequestVote):
        return term < member.term
    if isinstance(message, VoteResponse):
        return not message.is_granted or member.role is not Role.CANDIDATE
    if isinstance(message, AppendResponse):
        peer = member.replication.peers.get(sent.sender)
        return peer is None or (
            message.is_accepted
            and message.index <= peer.match_index
            and message.heartbeat_round <= peer.heartbeat_round
            and not peer.is_probing
        )
    return False


def check(world: World) -> None:
    members = world.members
    for name, member in members.items():
        if member.role is Role.LEADER and world.led.setdefault(member.term, name) != name:
            raise Wrong(f"one leader: {name} and {world.led[member.term]} lead reign {member.term}")
        for index in range(member.log.base_index + 1, member.commit_index + 1):
            entry = member.log.entry_at(index)
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
        values = member.state_machine.values  # type: ignore[attr-defined]
        if len(set(values)) != len(values):
            raise Wrong(f"once: {name} applied {values}")
        configurations = member.membership_changes.configurations
        if sum(one.index > member.commit_index for one in configurations) > 1:
            raise Wrong(f"one change: {name} has {configurations} open")
    for name, member in members.items():
        if member.role is Role.LEADER:
            for index, (entry, term) in world.agreed.items():
                if member.term > term and (
                    member.log.last_index < index or member.log.entry_at(index) != entry
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
            (n, p.next_index, p.match_index, p.heartbeat_round, p.is_probing, list(p.in_flight))
            for n, p in m.replication.peers.items()
        ]
        parts.append(
            (
                m.role,
                m.leader,
                m.term,
                m.vote,
                m.commit_index,
                m.log.entries,
                m.pending_writes.durable_index,
                m.pending_writes.durable_term,
                m.log_receiver.matched_index,
                m.election.pending_vote.candidate if m.election.pending_vote else "",
                sorted(m.election.votes),
                peers,
                m.replication.first_index,
                m.heartbeat_round,
                m.client_requests.proposals,
                list(m.client_requests.reads),
                sorted(m.rollback_detector.attested.items()),
                m.is_boot_durable,
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


class _ElectionUnkept(Election):
    def _is_durable(self, vote: PendingVote) -> bool:
        return True


class VotesUnkept(Timeless):
    election_class = _ElectionUnkept


class _ElectionForShorter(Election):
    def _is_up_to_date(self, message: RequestVote) -> bool:
        return True


class VotesForShorter(Timeless):
    election_class = _ElectionForShorter


class VotesTwice(Timeless):
    def on_request_vote(self, sender: str, message: RequestVote) -> None:
        if message.term == self.term and self.vote != self.identity:
            self.vote = ""
        super().on_request_vote(sender, message)


class _ReplicationOfOlderTerms(Replication):
    def _may_commit(self, index: int) -> bool:
        return True


class CountsOlderReigns(Timeless):
    replication_class = _ReplicationOfOlderTerms


class CountsBeforeDurable(Timeless):
    def durable_index(self) -> int:
        return self.log.last_index


class Unnumbered(Sessions):
    def apply(self, session: int, number: int, effect: Callable[[], bytes]) -> bytes | None:
        return effect()


class AppliesTwice(Timeless):
    def __init__(
        self,
        identity: str,
        limits: RaftLimits,
        environment: Environment,
        state_machine: StateMachine,
        persisted: PersistedState,
    ) -> None:
        super().__init__(identity, limits, environment, state_machine, persisted)
        self.sessions = Unnumbered(limits.max_sessions, limits.max_answers_per_session)


class ForgetsReign(Timeless):
    def __init__(
        self,
        identity: str,
        limits: RaftLimits,
        environment: Environment,
        state_machine: StateMachine,
        persisted: PersistedState,
    ) -> None:
        persisted.term, persisted.vote = 0, ""
        super().__init__(identity, limits, environment, state_machine, persisted)


class _RequestsReadAtOnce(ClientRequests):
    def _is_confirmed(self, read: PendingRead, confirmed_round: int) -> bool:
        return True


class ReadsAtOnce(Timeless):
    client_requests_class = _RequestsReadAtOnce


class _TwoChanges(MembershipChanges):
    def _is_settled(self) -> bool:
        return self.node.commit_index >= self.node.replication.first_index


class ChangesTwo(Timeless):
    membership_changes_class = _TwoChanges


class TakesMisfits(Timeless):
    """Takes entries whatever comes before them."""

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        index = min(message.previous_index, self.log.last_index)
        term = self.log.term_at(index) or 0
        message = replace(message, previous_index=index, previous_term=term)
        super().on_append_entries(sender, message)


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
