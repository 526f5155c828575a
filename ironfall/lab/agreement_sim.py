"""A group of keepers under a virtual clock: the program's own `RaftNode`s, everything round them made up from a seed.

Disks are slow, fail, lose what was not yet durable, are lost whole or come back older; the network delays, loses,
repeats, cuts one way and parts; clocks drift; keepers die and come back; members are changed; askers retry. The judge
looks at histories alone: what askers were told, and what each machine was given to apply.
"""

import heapq
import json
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from ironfall.consensus import (
    Configuration,
    Entry,
    HardState,
    Message,
    Outcome,
    PersistedState,
    RaftLimits,
    RaftNode,
    member_identity,
)

SECOND = 10_000
SMALL = RaftLimits(
    election_timeout=SECOND // 2,
    heartbeat_interval=SECOND // 10,
    disk_timeout=SECOND // 3,
    max_entry_bytes=256,
    max_batch_entries=4,
    max_batch_bytes=400,
    max_batches_in_flight=2,
    max_pending_requests=6,
    max_pending_writes=64,
    max_log_entries=30,
    max_log_bytes=4_000,
    retained_entries=5,
    snapshot_chunk_bytes=150,
    snapshot_chunks_per_step=2,
    max_sessions=3,
    max_answers_per_session=2,
)


class Wrong(Exception):
    """Histories that can't be; the text begins with what must hold."""


class List:
    """The machine: what was applied, in order. An answer is the place; a read the length."""

    def __init__(self, sim: "Sim", name: str) -> None:
        self.sim, self.name, self.values = sim, name, list[str]()

    def apply(self, index: int, entry: bytes) -> bytes:
        self.values.append(entry.decode())
        self.sim.applied(self.name, index, self.values)
        return b"%d" % len(self.values)

    def snapshot_chunks(self) -> Iterator[bytes]:
        whole = json.dumps(self.values).encode()
        return iter([whole[n : n + 200] for n in range(0, len(whole), 200)])

    def restore(self, snapshot: bytes) -> None:
        self.values = json.loads(snapshot)
        if self.values != self.sim.order[: len(self.values)]:
            raise Wrong(
                f"prefix: {self.name} restored {self.values}, others applied {self.sim.order}"
            )


@dataclass
class Disk:
    """What is durable, and what is not yet: operations in order, each with its number."""

    incarnation: int = 0
    boots: int = 0
    term: int = 0
    vote: str = ""
    snapshot: bytes = b""
    base: int = 0
    entries: list[Entry] = field(default_factory=list)
    first: Configuration = field(default_factory=Configuration)
    pending: list[tuple[int, str, tuple[Any, ...]]] = field(default_factory=list)

    def settle(self, count: int) -> int:
        done = 0
        for number, what, about in self.pending[:count]:
            done = number
            if what == "keep":
                self.boots, self.term, self.vote = about
            elif what == "append":
                index, entries = about
                assert index <= self.base + len(self.entries) + 1, "a gap on the disk"
                self.entries = self.entries[: index - self.base - 1] + entries
            else:
                self.base, self.snapshot, self.entries = about
        del self.pending[:count]
        return done

    def crash(self, chance: random.Random) -> None:
        """Some of what was under way is there, whole records up to a point: a torn one is cut at the next start."""
        self.settle(chance.randint(0, len(self.pending)))
        if self.pending and self.pending[0][1] == "append" and chance.random() < 0.5:
            number, what, (index, entries) = self.pending[0]
            self.pending[0] = (number, what, (index, entries[: chance.randint(0, len(entries))]))
            self.settle(1)
        self.pending = []

    def copy(self) -> "Disk":
        return Disk(
            self.incarnation,
            self.boots,
            self.term,
            self.vote,
            self.snapshot,
            self.base,
            list(self.entries),
            self.first,
        )


class Keeper:
    """One keeper over its lives, and the `Environment` of its present member."""

    def __init__(self, sim: "Sim", name: str, first: Configuration) -> None:
        self.sim, self.name, self.disk = sim, name, Disk(first=first)
        self.random_source = sim.chance
        self.copies: list[Disk] = []
        self.member: Any = None
        self.life, self.alarm, self.syncing = 0, 0, False
        self.slow = self.failing = 0  # until when
        self.stopped = 0  # until then nothing is done; what comes waits
        self.rate, self.offset = (
            sim.chance.choice((1.0, 0.97, 1.04, 0.6, 1.5)),
            sim.chance.randrange(1_000_000),
        )

    @property
    def identity(self) -> str:
        return member_identity(self.name, str(self.disk.incarnation))

    def start(self) -> None:
        self.life += 1
        d = self.disk
        found = PersistedState(d.boots, d.term, d.vote, d.snapshot, list(d.entries), d.first)
        self.syncing, self.failing = False, 0
        self.sim.say(
            f"{self.identity} starts: {len(d.entries)} entries after {d.base}, reign {d.term}"
        )
        machine = List(self.sim, self.name)
        self.member = self.sim.member(self.identity, self.sim.bounds, self, machine, found)

    def stop(self) -> None:
        if self.member is not None:
            self.sim.say(f"{self.identity} dies")
            self.life += 1
            self.member = None
            self.disk.crash(self.sim.chance)

    def lose(self) -> None:
        self.disk = Disk(incarnation=self.sim.incarnation())

    def late(self) -> int:
        """What waited for a stopped process comes in any order when it goes on."""
        return self.stopped - self.sim.now + self.sim.chance.randint(1, 500)

    # the way

    def now(self) -> int:
        return self.offset + int(self.sim.now * self.rate)

    def set_timer(self, delay: int) -> None:
        self.alarm += 1
        alarm, life = self.alarm, self.life

        def ring() -> None:
            if (alarm, life) == (self.alarm, self.life) and self.member is not None:
                if self.stopped > self.sim.now:
                    self.sim.after(self.late(), ring)
                else:
                    self.member.on_timer()

        self.sim.after(max(1, int(delay / self.rate) + 1), ring)

    def send(self, to: str, message: Message) -> None:
        self.sim.send(self, to, message)

    def write_hard_state(self, number: int, state: HardState) -> None:
        self._write(number, "keep", state)

    def append_entries(self, number: int, first_index: int, entries: Sequence[Entry]) -> None:
        self._write(number, "append", (first_index, list(entries)))

    def write_snapshot(
        self, number: int, index: int, snapshot: bytes, entries: Sequence[Entry]
    ) -> None:
        self._write(number, "snapshot", (index, snapshot, list(entries)))

    def _write(self, number: int, what: str, about: tuple[Any, ...]) -> None:
        self.disk.pending.append((number, what, about))
        if not self.syncing:
            self._sync()

    def _sync(self) -> None:
        self.syncing, life, count, sim = True, self.life, len(self.disk.pending), self.sim
        slow = self.slow > sim.now
        # What comes in while a sync is under way waits for the next one.
        wait = sim.chance.randint(SECOND // 10, SECOND) if slow else sim.chance.randint(1, 40)

        def synced() -> None:
            if life != self.life:
                return
            if self.stopped > sim.now:
                sim.after(self.late(), synced)
                return
            self.syncing = False
            if self.failing:
                sim.say(f"{self.identity}: the disk fails")
                self.member.on_disk_failed("no space left")
                sim.after(SECOND, lambda: life == self.life and self.again())  # type: ignore[func-returns-value]
                return
            number = self.disk.settle(max(count, 1))
            if self.disk.pending:
                self._sync()
            self.member.on_write_durable(number)

        sim.after(wait, synced)

    def again(self) -> None:
        self.stop()
        self.start()

    def quarantine_disk(self) -> None:
        self.sim.counted["older disks seen"] += 1
        life = self.life

        def anew() -> None:
            if life == self.life:
                self.stop()
                self.lose()
                self.start()

        self.sim.after(SECOND // 10, anew)

    def reply(self, token: int, outcome: Outcome, answer: bytes) -> None:
        value = len(self.member.state_machine.values) if outcome is Outcome.READ else 0
        self.sim.answer(self.name, token, outcome, answer, value)

    def report(self, text: str) -> None:
        self.sim.say(text)


@dataclass
class Act:
    """One thing asked, by its asker's own clock of events; `end` -1: never known."""

    what: str
    value: str
    start: int
    end: int = -1
    result: int = 0


class Asker:
    def __init__(self, sim: "Sim", name: str) -> None:
        self.sim, self.name = sim, name
        self.session = self.number = 0
        self.act: Act | None = None
        self.token, self.target, self.done, self.tries = 0, "", 0, 0

    def begin(self) -> None:
        if self.sim.ending:
            return
        sim = self.sim
        if not self.session:
            self.act = Act("open", "", sim.tick())
        elif sim.chance.random() < 0.35:
            self.act = Act("read", "", sim.tick())
        else:
            self.number += 1
            self.act = Act("append", f"{self.name}.{self.session}.{self.number}", sim.tick())
        sim.acts.append(self.act)
        self.tries = 0
        self.send()

    def send(self) -> None:
        sim, act = self.sim, self.act
        if act is None:
            return
        self.tries += 1
        if act.what == "read":
            act.start = sim.tick()  # a read that was not answered is another one
        token = self.token = sim.token(self)
        to = self.target or sim.chance.choice(sorted(sim.keepers))
        self.target = ""
        about = (
            (token, self.session, self.number, act.value.encode())
            if act.what == "append"
            else (token,)
        )
        sim.ask(to, {"append": "propose", "open": "open_session", "read": "read"}[act.what], about)
        sim.after(
            sim.chance.randint(SECOND // 4, SECOND // 2),
            lambda: self.token == token and self.send(),  # type: ignore[func-returns-value]
        )

    def answered(self, token: int, outcome: Outcome, answer: bytes, value: int) -> None:
        sim, act = self.sim, self.act
        if token != self.token or act is None:
            return
        if outcome in (Outcome.DONE, Outcome.READ):
            act.end, act.result = sim.tick(), value if outcome is Outcome.READ else int(answer)
            if act.what == "open":
                self.session, self.number = act.result, 0
            self.done += 1
        elif outcome is Outcome.SESSION_EXPIRED:
            sim.counted["forgotten"] += 1
            self.session = 0
        else:
            sim.counted[outcome.value] += 1
            self.target = answer.decode().split("/")[0] if outcome is Outcome.NOT_LEADER else ""
            self.token = 0
            retry = self.token = -sim.token(self)
            wait = sim.chance.randint(200, 3_000)
            sim.after(wait, lambda: self.token == retry and self.send())  # type: ignore[func-returns-value]
            return
        self.token, self.act = 0, None
        sim.after(sim.chance.randint(10, 2_000), self.begin)


class Sim:
    def __init__(
        self,
        seed: int,
        keepers: int = 3,
        askers: int = 3,
        length: int = 8 * SECOND,
        faults: float = 1.0,
        member: type[RaftNode] = RaftNode,
        bounds: RaftLimits = SMALL,
    ) -> None:
        self.seed, self.chance, self.member, self.bounds = seed, random.Random(seed), member, bounds
        self.now, self.events, self.count = 0, list[tuple[int, int, Callable[[], Any]]](), 0
        self.told: list[str] = []
        self.order: list[str] = []
        self.at: dict[int, str] = {}
        self.acts: list[Act] = []
        self.ticks = self.tokens = self.incarnations = 0
        self.asked: dict[int, Any] = {}
        self.counted: dict[str, int] = dict.fromkeys(
            ("forgotten", "older disks seen", *(o.value for o in Outcome)), 0
        )
        self.cut: set[tuple[str, str]] = set()
        self.loss, self.ending, self.length, self.faults = 0.0, False, length, faults
        self.quiet = 0  # no fault before this
        names = [f"k{n}" for n in range(keepers)]
        first = Configuration(tuple(member_identity(n, "0") for n in names))
        self.keepers = {n: Keeper(self, n, first) for n in names}
        self.spare = Keeper(self, "spare", Configuration())
        self.spare.disk.incarnation = self.incarnation()
        self.wanted = set(names)
        self.askers = [Asker(self, f"a{n}") for n in range(askers)]

    # time, chance and words

    def after(self, wait: int, what: Callable[[], Any]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + wait, self.count, what))

    def tick(self) -> int:
        self.ticks += 1
        return self.ticks

    def token(self, asker: Any) -> int:
        self.tokens += 1
        self.asked[self.tokens] = asker
        return self.tokens

    def incarnation(self) -> int:
        self.incarnations += 1
        return self.incarnations

    def say(self, what: str) -> None:
        self.told.append(f"{self.now / SECOND:8.4f} {what}")

    # the network

    def send(self, sender: Keeper, to: str, message: Message) -> None:
        name, whom = to.split("/")[0], sender.identity
        if (sender.name, name) in self.cut or self.chance.random() < self.loss:
            return
        for _ in range(2 if self.chance.random() < self.loss / 2 else 1):
            wait = (
                self.chance.randint(5, 100)
                if self.chance.random() > self.loss
                else self.chance.randint(100, 10_000)
            )
            self.after(wait, lambda: self._comes(name, to, whom, message))

    def _comes(self, name: str, to: str, whom: str, message: Message) -> None:
        keeper = self.keepers.get(name)
        if keeper is not None and keeper.stopped > self.now:
            self.after(keeper.late(), lambda: self._comes(name, to, whom, message))
        elif keeper is not None and keeper.member is not None and keeper.identity == to:
            keeper.member.on_message(whom, message)

    def ask(self, name: str, what: str, about: tuple[Any, ...]) -> None:
        def comes() -> None:
            keeper = self.keepers.get(name)
            if keeper is not None and keeper.stopped > self.now:
                self.after(keeper.late(), comes)
            elif keeper is not None and keeper.member is not None:
                getattr(keeper.member, what)(*about)

        if self.chance.random() >= self.loss:
            self.after(self.chance.randint(5, 100), comes)

    def answer(self, name: str, token: int, outcome: Outcome, answer: bytes, value: int) -> None:
        asker = self.asked.pop(token, None)
        if asker is not None and self.chance.random() >= self.loss:
            self.after(
                self.chance.randint(5, 100), lambda: asker.answered(token, outcome, answer, value)
            )

    # faults

    def fault(self) -> None:
        if self.ending:
            return
        self.after(int(self.chance.expovariate(self.faults) * SECOND / 3) + 1, self.fault)
        if self.now < self.quiet:
            return
        chance, keeper = (
            self.chance,
            self.chance.choice(sorted(self.keepers.values(), key=lambda k: k.name)),
        )
        what = chance.choice(
            (
                "dies",
                "dies slow",
                "dies slow",
                "slow",
                "fails",
                "one way",
                "parted",
                "leader parted",
                "leader parted",
                "lossy",
                "heals",
                "heals",
                "lost",
                "older",
                "older",
                "members",
                "all die",
                "stopped",
                "stopped",
            )
        )
        wait = chance.randint(SECOND // 20, SECOND)
        if what == "dies" and keeper.member is not None:
            keeper.stop()
            self.after(wait, lambda: keeper.member is None and keeper.start())  # type: ignore[func-returns-value]
        elif what == "all die" and chance.random() < 0.3:
            for each in sorted(self.keepers.values(), key=lambda k: k.name):
                each.stop()
                self.after(
                    chance.randint(10, SECOND),
                    lambda e=each: e.member is None and e.start(),  # type: ignore[misc]
                )
        elif what == "slow":
            keeper.slow = self.now + 2 * wait
        elif what == "dies slow" and keeper.member is not None:
            # Power fails while a sync hangs, and one of the others hears nothing meanwhile.
            keeper.slow = self.now + wait
            other = chance.choice(sorted(self.keepers))
            self.cut |= {(name, other) for name in self.keepers if name != other}
            self.after(chance.randint(100, SECOND // 4), keeper.stop)
            self.after(SECOND // 4, lambda: setattr(self, "cut", set()))
            self.after(SECOND // 4 + wait // 4, lambda: keeper.member is None and keeper.start())  # type: ignore[func-returns-value]
        elif what == "fails":
            keeper.failing = 1
        elif what == "one way":
            self.cut.add((keeper.name, chance.choice(sorted(self.keepers))))
        elif what == "parted":
            names = sorted(self.keepers)
            half = set(chance.sample(names, chance.randint(1, len(names) - 1)))
            self.cut |= {(a, b) for a in names for b in names if (a in half) != (b in half)}
        elif what == "leader parted" and (leader := self._leader()) is not None:
            self.cut |= {
                pair for name in self.keepers for pair in ((name, leader.name), (leader.name, name))
            }
        elif what == "stopped":
            keeper = self._leader() or keeper
            keeper.stopped = self.now + 2 * wait
        elif what == "lossy":
            self.loss = chance.choice((0.0, 0.05, 0.2))
        elif what == "heals":
            self.cut, self.loss = set(), 0.0
        elif what == "members" and not self._spoilt():
            self._swap()
        elif what in ("lost", "older") and not self._spoilt() and self._whole():
            self._spoil(keeper, what == "older")
        else:
            return
        self.say(
            f"fault: {what} {keeper.name if what not in ('heals', 'members', 'all die') else ''}"
        )

    def _leader(self) -> Keeper | None:
        led = [
            k for k in self.keepers.values() if k.member is not None and k.member.role == "leader"
        ]
        return max(led, key=lambda k: k.member.term) if led else None

    def _whole(self) -> bool:
        """All are there, hold all that is agreed, and are heard: one more disk may go."""
        leader = self._leader()
        if (
            leader is None
            or self.cut
            or self.loss
            or any(k.member is None for k in self.keepers.values())
        ):
            return False
        peers = leader.member.replication.peers
        return len(peers) + 1 == len(self.keepers) and all(
            p.match_index >= leader.member.commit_index for p in peers.values()
        )

    def copy(self) -> None:
        self.after(SECOND, self.copy)
        for keeper in self.keepers.values():
            keeper.copies = [*keeper.copies[-2:], keeper.disk.copy()]

    def _spoilt(self) -> bool:
        """Somebody's disk was lost and it is not yet a voter again, or a change of members is on its way."""
        names = {k.identity for k in self.keepers.values()}
        return (
            any(
                k.member is not None
                and k.member.leader
                and set(k.member.configuration.voters) != names
                for k in self.keepers.values()
            )
            or self._leader() is None
        )

    def _spoil(self, keeper: Keeper, older: bool) -> None:
        copies = [c for c in keeper.copies if c.incarnation == keeper.disk.incarnation]
        if older and not copies:
            return
        self.quiet = self.now + 4 * SECOND
        self.cut, self.loss = set(), 0.0
        keeper.stop()
        if older:
            # Held against what it last answered for: a leader that heard it goes on through this.
            if keeper is self._leader() or self._leader() is None:
                keeper.start()
                return
            keeper.disk = self.chance.choice(copies).copy()
        else:
            keeper.lose()
        self.after(
            self.chance.randint(100, SECOND),
            lambda: keeper.member is None and keeper.start(),  # type: ignore[func-returns-value]
        )

    def _swap(self) -> None:
        """The spare comes in the place of one, or one more comes, or goes."""
        if "spare" in self.keepers:
            if len(self.keepers) > 3:
                self.wanted.discard("spare")
        else:
            self.keepers["spare"] = self.spare
            self.wanted.add("spare")
            if self.spare.member is None:
                self.spare.start()

    def operate(self) -> None:
        """An operator who makes the members what they should be, one change at a time."""
        self.after(SECOND // 5, self.operate)
        leader = self._leader()
        if leader is None:
            return
        held = set(leader.member.configuration.members)
        want = {k.identity for n, k in self.keepers.items() if n in self.wanted}
        for one in sorted(held - want):
            leader.member.remove_member(self.token(self), one)
            return
        for one in sorted(want - held):
            leader.member.add_member(self.token(self), one)
            return
        changes = leader.member.membership_changes
        settled = changes.configurations[-1].index <= leader.member.commit_index
        if settled and "spare" in self.keepers and "spare" not in self.wanted:
            if leader.name != "spare":
                self.spare.stop()
                self.spare.lose()
                del self.keepers["spare"]

    def answered(self, *_about: Any) -> None:
        pass  # the operator looks for itself

    # running and judging

    def applied(self, name: str, index: int, values: list[str]) -> None:
        place, value = len(values) - 1, values[-1]
        if self.at.setdefault(index, value) != value:
            raise Wrong(f"agreed: {name} applied {value} at {index}, another {self.at[index]}")
        if place < len(self.order):
            if self.order[place] != value:
                raise Wrong(
                    f"prefix: {name} applied {value} in place {place + 1}, another {self.order[place]}"
                )
        else:
            self.order.append(value)

    def run(self) -> None:
        for keeper in self.keepers.values():
            keeper.start()
        for asker in self.askers:
            self.after(self.chance.randint(1, SECOND), asker.begin)
        self.after(SECOND, self.operate)
        if self.faults:
            self.after(SECOND, self.fault)
            self.after(SECOND, self.copy)
        self._until(self.length)
        self.say("all heals")
        self.cut, self.loss, self.quiet = set(), 0.0, 1 << 60
        for keeper in self.keepers.values():
            keeper.slow = keeper.stopped = 0
            if keeper.member is None:
                keeper.start()
        self._until(self.length + 4 * SECOND)
        self.ending = True
        self._until(self.length + 6 * SECOND)
        self.judge()

    def _until(self, end: int) -> None:
        while self.events and self.events[0][0] <= end:
            self.now, _, what = heapq.heappop(self.events)
            what()

    def judge(self) -> None:
        judge(self.acts, self.order)
        leader = self._leader()
        if leader is None:
            raise Wrong("converges: no leader")
        for asker in self.askers:
            if asker.act is not None:
                raise Wrong(f"converges: {asker.name} waits for {asker.act}")
        for keeper in self.keepers.values():
            if (values := keeper.member.state_machine.values) != self.order:
                raise Wrong(f"converges: {keeper.name} applied {len(values)} of {len(self.order)}")


def judge(acts: list[Act], order: list[str]) -> None:
    """By histories alone: each confirmed append once, in its place, and all in an order that time allows."""
    place = {value: n for n, value in enumerate(order, 1)}
    if len(place) != len(order):
        twice = next(v for v in order if order.count(v) > 1)
        raise Wrong(f"once: {twice} took effect {order.count(twice)} times")
    moments: list[tuple[int, int, Act, int]] = []
    for act in acts:
        if act.what == "append":
            at = place.get(act.value, 0)
            if act.end >= 0 and at != act.result:
                raise Wrong(
                    f"kept: {act.value} was confirmed in place {act.result}, and is in {at or 'none'}"
                )
            if not at:
                continue
        elif act.what == "read" and act.end >= 0:
            at = act.result
        else:
            continue
        moments.append((act.start, 0, act, at))
        if act.end >= 0:
            moments.append((act.end, 1, act, at))
    most = 0
    for _, ends, act, at in sorted(moments, key=lambda m: m[:2]):
        if ends:
            most = max(most, at)
        elif at < most or act.what == "append" and at == most:
            raise Wrong(
                f"order: {act.what} {act.value} is at {at}, and {most} had been seen before it began"
            )


def run(seed: int, **about: Any) -> tuple[Sim, str]:
    """What was wrong; nothing if all holds."""
    sim = Sim(seed, **about)
    try:
        sim.run()
    except (Wrong, AssertionError) as wrong:
        return sim, f"seed {seed}: {wrong or repr(wrong)}"
    return sim, ""
