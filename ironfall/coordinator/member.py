"""One keeper's life: its member of the agreement, begun from the disk, ended when the disk fails, begun again."""

import json
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

import gevent
from gevent.event import AsyncResult, Event
from gevent.threadpool import ThreadPool

from ironfall.consensus import (
    Configuration,
    Entry,
    HardState,
    Message,
    Outcome,
    PersistedState,
    RaftLimits,
    RaftNode,
    Role,
)
from ironfall.coordinator import peer_codec
from ironfall.coordinator.clock import Clock
from ironfall.coordinator.disk import Append, Keep, Lost, Snapshot, Store, Writer
from ironfall.coordinator.machine import Machine
from ironfall.coordinator.peers import Peer
from ironfall.disruption import DisruptionRules
from ironfall.storage.disk import Disk

SECOND = 10_000
LEADER, FOLLOWER = "leader", "follower"
# A leader is replaced within two seconds of its end: half a second to a second of silence, and one split vote.
BOUNDS = RaftLimits(
    election_timeout=SECOND // 2,
    heartbeat_interval=SECOND // 10,
    max_entry_bytes=2**20,
    max_batch_bytes=2**20,
    max_log_bytes=32 * 2**20,
    max_snapshot_bytes=48 * 2**20,
    max_sessions=64,
)
AGAIN_FIRST, AGAIN_MOST = 0.5, 30.0  # seconds until the disk is tried again
LOOKS = 0.15  # seconds between two looks of a blank keeper for its group


def bounds_of(rules: DisruptionRules) -> RaftLimits:
    """For keepers of a ledger with these rules: a snapshot of as large a fleet as it may hold is taken from a peer."""
    return replace(BOUNDS, max_snapshot_bytes=max(BOUNDS.max_snapshot_bytes, rules.snapshot))


class Part(RaftNode):
    """A member that can be kept from leading, and hands its reign over."""

    barred = ""

    def bar(self, why: str) -> None:
        self.barred = why
        if why:
            self.step_down(why)

    def on_timer(self) -> None:
        if self.barred and self.role is not Role.LEADER:
            self.election.reset_timer()
        else:
            super().on_timer()

    def heir(self) -> str:
        """Who has most of the log of those that vote."""
        voters = [
            (peer.match_index, identity)
            for identity, peer in self.replication.peers.items()
            if identity in self.configuration.voters
        ]
        return max(voters, default=(0, ""))[1]

    def left(self, sender: str, term: int, heir: str) -> None:
        """The leader goes: its voters listen to another at once, and the heir asks them."""
        if (sender, term) == (self.leader, self.term) and self.role is Role.FOLLOWER:
            self.leader = ""
            if heir == self.identity:
                self.environment.report(f"{self.identity} is handed what {sender} led")
                # A while later, when the others know too: who still hears a leader gives no vote.
                self.election.expire_in(self.limits.heartbeat_interval // 4)


class Keeper:
    """The member's `Environment`. `changed` is set anew at whatever may matter to one who waits."""

    def __init__(
        self,
        name: str,
        group: Sequence[tuple[str, tuple[str, int]]],
        disk: Disk,
        chance: random.Random,
        log: Any,
        bounds: RaftLimits = BOUNDS,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.name, self.group, self.random_source, self.log, self.bounds = (
            name,
            dict(group),
            chance,
            log,
            bounds,
        )
        self.monotonic, self._wall = monotonic, wall
        self.store, self.pool, self.clock = Store(disk, name), ThreadPool(1), Clock()
        self.writer: Writer | None = None
        self.member: Part | None = None
        self.machine = Machine()
        self.alarm_at, self.alarm = 1 << 62, Event()
        self.waiting: dict[int, AsyncResult[tuple[Outcome, Any]]] = {}
        self.reading: dict[int, Callable[[], Any]] = {}
        self.tokens = self.number = 0
        self.session = 0  # of this reign's leader, for what it puts into the log
        self.seen = ("", 0, "")
        self.barred, self.ending, self.pause = "", False, AGAIN_FIRST
        self.changed, self.broken, self.opened = Event(), Event(), Event()
        self.beginning: gevent.Greenlet | None = None
        self.peers = {n: Peer(address, chance, self.spawn) for n, address in group if n != name}
        self.alarms = self.spawn(self._alarms)

    # life

    def begin(self, first: Configuration | None = None, renew: bool = False) -> None:
        """From what the disk holds. Whatever was under way on it is over before it is read, for it has one thread."""
        if self.ending or self.beginning is not None and not self.beginning.ready():
            return
        self.end()
        self.beginning = self.spawn(self._begin, first, renew)

    def end(self) -> None:
        if self.writer is not None:
            self.writer.stop()
        member, self.member, self.writer = self.member, None, None
        if member is not None and member.role == LEADER:
            member.bar("it ends")
            self._look(member)
        self.alarm_at = 1 << 62
        for token in list(self.waiting):
            self.reply(token, Outcome.UNKNOWN_OUTCOME, b"")

    def _begin(self, first: Configuration | None, renew: bool) -> None:
        while True:
            try:
                found, notes = self.pool.apply(self._read, (first, renew))
                break
            except OSError as cause:
                # Safe to try at any time: what was confirmed is read back, what was not is cut, and nothing is
                # answered for before a write of the new beginning is durable.
                pause = self.pause * (0.5 + self.random_source.random())
                self.pause = min(AGAIN_MOST, 2 * self.pause)
                self.log.error("disk can't be used", cause=str(cause), again_s=round(pause, 1))
                gevent.sleep(pause)
        for event, about in notes:
            self.log.warning(event, cause=about)
        self.machine = Machine(self._applied)
        self.writer = Writer(self.store, self.pool, self._kept, self._failed, self.spawn)
        self.member = Part(self.store.identity, self.bounds, self, self.machine, found)
        self.member.bar(self.barred)
        self.log.info(
            "begun",
            identity=self.store.identity,
            reign=self.member.term,
            entries=self.member.log.last_index,
            members=list(self.member.configuration.voters),
        )
        self.changed.set()

    def _read(
        self, first: Configuration | None, renew: bool
    ) -> tuple[PersistedState, list[tuple[str, str]]]:
        """On the disk's thread, where nothing may be logged: what is to be said comes back."""
        try:
            if renew:
                raise Lost("it is older than what was answered for")
            found, faults = self.store.open()
        except FileNotFoundError:
            return self.store.begin(), []
        except Lost as lost:
            return self.store.begin(), [("disk lost", str(lost))]
        if first is not None and not found.snapshot and not found.initial_configuration.voters:
            found = self.store.begin(first, found.entries)
        return found, [("disk mended", fault) for fault in faults]

    @property
    def blank(self) -> bool:
        """Of no group yet, as far as it knows."""
        member = self.member
        return member is not None and not member.configuration.members and not member.log.last_index

    def _failed(self, cause: str) -> None:
        pause = self.pause * (0.5 + self.random_source.random())
        self.pause = min(AGAIN_MOST, 2 * self.pause)
        self.log.error("disk failed", cause=cause, again_s=round(pause, 1))
        self._tell("on_disk_failed", cause)
        gevent.spawn_later(pause, self.begin)

    def _kept(self, number: int) -> None:
        self.pause = AGAIN_FIRST
        self._tell("on_write_durable", number)

    # the member is told, and what came of it is looked at

    def _tell(self, what: str, *about: Any) -> None:
        member = self.member
        if member is None:
            return
        try:
            getattr(member, what)(*about)
        except Exception as wrong:
            self.break_off(what, wrong)
            return
        self._look(member)

    def break_off(self, what: str, wrong: BaseException | None) -> None:
        """What must hold does not: better no keeper than one that goes on with a part of it."""
        if not self.broken.is_set():
            self.log.error("broken", by=what, cause=repr(wrong), exc_info=wrong)
            self.ending = True
            self.broken.set()
            self.end()

    def spawn(self, what: Callable[..., None], *about: Any) -> gevent.Greenlet:
        """A loop that must not end by itself unseen."""
        loop = gevent.spawn(what, *about)
        loop.link_exception(lambda one: self.break_off(what.__name__, one.exception))
        return loop

    def _look(self, member: Part) -> None:
        now = (member.role if member.role == LEADER else FOLLOWER, member.term, member.leader)
        if now == self.seen:
            return
        before, self.seen = self.seen, now
        role, term, leader = now
        if role == LEADER and before[:2] != (LEADER, term):
            self.session, self.number = 0, 0
            self.opened.clear()
            self.log.info("leads", reign=term, entries=member.log.last_index)
            self.spawn(self._open, term)
        elif role == FOLLOWER and leader and (term, leader) != before[1:]:
            self.log.info("follows", reign=term, leader=leader)
        self.changed.set()

    def _applied(self, index: int, answer: bytes) -> None:
        if self.member is not None and self.member.role == LEADER and b'"moved"' in answer:
            for unit, *about in json.loads(answer)["moved"]:
                self.log.info("moved", index=index, unit=unit, to=about)
        self.changed.set()

    def said(self, messages: Any) -> None:
        """By peers. Raises `ValueError`, `TypeError`, `KeyError` or `AttributeError` for what is none."""
        for message in messages:
            sender, what, about = message["from"], message["what"], message["about"]
            if message["to"] != self.store.identity or sender.partition("/")[0] not in self.peers:
                continue  # an earlier incarnation's, or nobody's
            self.clock.heard(sender, int(message["at"]), self.now())
            if what == "left" and self.member is not None:
                self._tell("left", sender, *about)
            elif (decoded := peer_codec.decode(what, about)) is not None:
                self._tell("on_message", sender, decoded)

    def _alarms(self) -> None:
        while True:
            wait = (self.alarm_at - self.now()) / SECOND
            if wait <= 0:
                self.alarm_at = self.now() + self.bounds.election_timeout
                self._tell("on_timer")
            elif not self.alarm.wait(min(wait, 60.0)):
                continue
            self.alarm.clear()

    # the way

    def now(self) -> int:
        return int(self.monotonic() * SECOND)

    def wall(self) -> int:
        return int(self._wall() * SECOND)

    def set_timer(self, delay: int) -> None:
        self.alarm_at = self.now() + max(1, delay)
        self.alarm.set()

    def _send(self, to: str, what: str, about: Sequence[Any], size: int = 0) -> None:
        if peer := self.peers.get(to.partition("/")[0]):
            peer.said(
                {
                    "from": self.store.identity,
                    "to": to,
                    "what": what,
                    "about": about,
                    "at": self.wall(),
                },
                size,
            )

    def send(self, to: str, message: Message) -> None:
        size = peer_codec.payload_bytes(message)
        self._send(to, peer_codec.name_of(message), peer_codec.encode(message), size)

    def write_hard_state(self, number: int, state: HardState) -> None:
        if self.writer is not None:
            self.writer.put(number, Keep(*state))

    def append_entries(self, number: int, first_index: int, entries: Sequence[Entry]) -> None:
        if self.writer is not None:
            self.writer.put(number, Append(first_index, list(entries)))

    def write_snapshot(
        self, number: int, index: int, snapshot: bytes, entries: Sequence[Entry]
    ) -> None:
        if self.writer is not None:
            self.writer.put(number, Snapshot(index, snapshot, list(entries)))

    def quarantine_disk(self) -> None:
        gevent.spawn(self.begin, None, True)

    def reply(self, token: int, outcome: Outcome, answer: bytes) -> None:
        read, waiter = self.reading.pop(token, None), self.waiting.pop(token, None)
        if waiter is not None:
            waiter.set((outcome, read() if outcome is Outcome.READ and read else answer))

    def report(self, text: str) -> None:
        self.log.info("agreement", said=text)

    # what is asked of it

    def awake(self) -> None:
        """Where this process stood still: first of all, does it still lead?"""
        if self.now() > self.alarm_at + self.bounds.heartbeat_interval:
            self._tell("on_timer")

    def call(
        self, what: str, seconds: float, *about: Any, read: Callable[[], Any] | None = None
    ) -> tuple[Outcome, Any]:
        """Told to the member, and waited for. The member's own bounds hold for how many may wait."""
        if self.member is None:
            return Outcome.NOT_LEADER, b""
        self.awake()
        self.tokens += 1
        token = self.tokens
        waiter: AsyncResult[tuple[Outcome, Any]] = AsyncResult()
        self.waiting[token] = waiter
        if read is not None:
            self.reading[token] = read
        self._tell(what, token, *about)
        try:
            outcome, answer = waiter.get(timeout=seconds)
            return outcome, answer
        except gevent.Timeout:
            return Outcome.UNKNOWN_OUTCOME, b""
        finally:
            self.waiting.pop(token, None)
            self.reading.pop(token, None)

    def _open(self, term: int) -> None:
        """The agreement's session of this reign: askers have their own in the machine, and this one is the leader's."""
        while self.seen[:2] == (LEADER, term) and not self.session:
            outcome, answer = self.call("open_session", 5.0)
            if self.seen[:2] == (LEADER, term) and outcome is Outcome.DONE:
                self.session = int(answer)
                self.opened.set()
            else:
                gevent.sleep(0.05)

    def ask(
        self, asker: str, number: int, entry: dict[str, Any], seconds: float
    ) -> tuple[Outcome, bytes]:
        """Into the log, under the log's time. `asker` nobody: the leader's own, which it never says twice."""
        member = self.member
        if member is None or member.role != LEADER:
            return Outcome.NOT_LEADER, member.leader.encode() if member else b""
        self.look_at_clock()
        if not self.opened.wait(min(seconds, 1.0)) or self.member is not member or not self.session:
            return Outcome.CHANGE_IN_PROGRESS, b""  # a reign that has only begun, or is over by now
        at = max(self.wall(), self.machine.ledger.now)
        body = json.dumps({**entry, "at": at}, separators=(",", ":")).encode()
        self.number += 1
        data = Machine.entry(asker, number, body)
        return self.call("propose", seconds, self.session, self.number, data)

    def look_at_clock(self) -> None:
        member = self.member
        if member is None:
            return
        why = self.clock.off(
            self.wall(), self.now(), self.machine.ledger.now, len(member.configuration.voters)
        )
        if bool(why) != bool(self.barred):
            self.barred = why
            self.log.warning(
                "clock off" if why else "clock good again", **({"cause": why} if why else {})
            )
            member.bar(why)
            self._look(member)

    def tell_clocks(self) -> None:
        member = self.member
        for to in member.configuration.members if member else ():
            if to != member.identity:  # type: ignore[union-attr]
                self._send(to, "clock", ())

    def leave(self) -> None:
        """Hands its reign over, if it has one; what waits is in doubt, and is asked again of the next."""
        self.ending = True
        member = self.member
        if member is not None and member.role == LEADER:
            heir, term = member.heir(), member.term
            for to in member.configuration.voters:
                if to != member.identity:
                    self._send(to, "left", (term, heir))
            member.bar("it ends")
            self._look(member)
            until = self.monotonic() + 0.3
            while any(p.queue for p in self.peers.values()) and self.monotonic() < until:
                gevent.sleep(0.005)
            gevent.sleep(0.02)
        self.end()
        self.changed.set()
        self.alarms.kill(block=False)
        for peer in self.peers.values():
            peer.stop()
