"""One keeper's part in the agreement: follower, asking (pre-vote), candidate, leader.

What it answers rests on what the disk has confirmed (`writes`), and nothing goes out before its boot is. Writes are
confirmed in order, so that nothing is put off by name: at each confirmation what is owed is looked at anew.
"""

import json
import random
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice

from ironfall.consensus.configuration import Configuration, members_of
from ironfall.consensus.environment import Machine, Outcome, RaftLimits, Way
from ironfall.consensus.log import Entry, Log
from ironfall.consensus.pending_writes import Writes
from ironfall.consensus.rollback_detection import DRAWN, Memory, Word
from ironfall.consensus.sessions import Sessions

FOLLOWER, ASKING, CANDIDATE, LEADER = "follower", "asking", "candidate", "leader"


def member_identity(name: str, incarnation: str) -> str:
    """The incarnation is drawn when the disk is first made: a lost disk's keeper is another member."""
    return f"{name}/{incarnation}"


@dataclass
class PersistedState:
    """What was on the disk at start. At the first start of a group, `first` alone: the same at each of them."""

    boots: int = 0
    term: int = 0
    vote: str = ""
    snapshot: bytes = b""
    entries: list[Entry] = field(default_factory=list)  # those after the snapshot
    first: Configuration = field(default_factory=Configuration)  # nobody: it waits to be added


@dataclass
class Peer:
    next: int
    heard: int
    match: int = 0
    beat: int = 0
    probing: bool = True  # where its log fits is not known yet: one offer at a time
    flight: deque[int] = field(default_factory=deque)  # last index of each batch under way
    part: tuple[int, int] = (0, 0)  # index of the snapshot that it is being sent, bytes of it taken


@dataclass
class Making:
    """A snapshot that is made in parts, as of an entry that was agreed."""

    index: int
    parts: Iterator[bytes]
    made: list[bytes]


class RaftNode:
    def __init__(
        self,
        me: str,
        bounds: RaftLimits,
        chance: random.Random,
        way: Way,
        machine: Machine,
        found: PersistedState,
    ) -> None:
        self.me, self.bounds, self.chance, self.way, self.machine = me, bounds, chance, way, machine
        self.sessions = Sessions(bounds.sessions, bounds.answers)
        self.boots = ((found.boots >> DRAWN) + 1 << DRAWN) + chance.getrandbits(DRAWN)
        self.log, self.commit, self.snapshot, self.snap_index = Log(), 0, found.snapshot, 0
        self.configs: list[tuple[int, Configuration]] = [(0, found.first)]
        if found.snapshot:
            self._restore(found.snapshot)
        self.log.append(found.entries)
        for n, entry in enumerate(found.entries, self.log.base + 1):
            if entry.kind == "members":
                self.configs.append((n, members_of(entry.data)))
        self.term, self.vote = found.term, found.vote
        if self.log.last_term > self.term:
            self.term, self.vote = self.log.last_term, ""
        self.role, self.leader, self.heard = FOLLOWER, "", -bounds.election
        self.up = self.stale = False
        self.failed = ""
        self.writes, self.matched = Writes(self.log.last), 0
        self.owed, self.vote_number = (
            "",
            0,
        )  # a vote given and not yet durable: to whom, by which write
        self.votes: set[str] = set()
        self.peers: dict[str, Peer] = {}
        self.first, self.beats, self.next_beat = 0, 0, 0
        self.waiting: dict[int, int] = {}  # index: token
        self.reads: deque[tuple[int, int, int]] = deque()  # beat, index, token
        self.coming: tuple[tuple[int, int], bytearray] = (
            (0, 0),
            bytearray(),
        )  # a snapshot: index and size, what came
        self.making: Making | None = None  # a snapshot of which parts are still to come
        self.memory = Memory(8 * bounds.members)
        self._keep()
        self._draw()

    @property
    def members(self) -> Configuration:
        return self.configs[-1][1]

    # the disk

    def _number(self) -> int:
        return self.writes.add(self.term, self.log.last, self.way.now())

    def _keep(self) -> None:
        self.way.keep(self._number(), self.boots, self.term, self.vote)

    def _append(self, entries: Sequence[Entry]) -> None:
        start = self.log.last + 1
        for n, entry in enumerate(entries, start):
            if entry.kind == "members":
                self.configs.append((n, members_of(entry.data)))
        self.log.append(entries)
        self.way.append(self._number(), start, entries)

    def _cut(self, index: int) -> None:
        assert index > self.commit, f"{self.me}: entry {index} was agreed, and is to be cut"
        self.log.cut(index)
        self.writes.cut(index - 1)
        while self.configs[-1][0] >= index:
            self.configs.pop()

    def kept(self, number: int) -> None:
        """All writes up to `number` are durable."""
        if self.failed or self.stale:
            return
        self.writes.kept(number)
        self.up = self.writes.term >= 0
        if self.writes.term != self.term:
            return
        if self.owed and not self._vote_waits():
            to, self.owed = self.owed, ""
            if to == self.me:
                self._ask_votes()
            else:
                self.way.vote(to, self.boots, self.term, False, True)
        if self.role == LEADER:
            self._settle()
        elif self.leader and self.matched:
            self._took(True, self.matched)

    def _vote_waits(self) -> bool:
        return not self.writes.done(self.vote_number)

    def disk_failed(self, why: str) -> None:
        """Nothing after the last `kept` is known to be there: it takes no more part until it is begun anew."""
        self.failed = why
        self._lapse(f"the disk failed: {why}")
        self.role, self.owed = FOLLOWER, ""

    def _stuck(self) -> bool:
        return self.writes.age(self.way.now()) > self.bounds.disk

    # reigns and roles

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self._lapse(f"reign {term} was heard of")
            self.term, self.vote, self.owed, self.leader, self.matched = term, "", "", "", 0
            self._keep()
        self.role = FOLLOWER
        if leader:
            self.leader, self.heard = leader, self.way.now()

    def _lapse(self, why: str) -> None:
        """No leader any more. What was asked may come into effect or not; what was to be read was not."""
        if self.role != LEADER:
            return
        self.role, self.leader = FOLLOWER, ""
        self.way.say(f"{self.me} leads reign {self.term} no more: {why}")
        waiting, reads = self.waiting, self.reads
        self.waiting, self.reads, self.peers = {}, deque(), {}
        for token in waiting.values():
            self.way.answer(token, Outcome.UNKNOWN_OUTCOME, b"")
        for _, _, token in reads:
            self.way.answer(token, Outcome.NOT_LEADER, b"")
        self._draw()

    def _draw(self) -> None:
        self.due = (
            self.way.now() + self.bounds.election + int(self.chance.random() * self.bounds.election)
        )
        self.way.wake(self.due - self.way.now())

    def _hears(self) -> bool:
        """A leader that lives: who would unseat it is not listened to."""
        return (
            self.role == LEADER
            or bool(self.leader)
            and self.way.now() - self.heard < self.bounds.election
        )

    def _part(self) -> bool:
        return self.up and not self.failed and not self.stale

    def woken(self) -> None:
        now = self.way.now()
        if self.role == LEADER:
            live = {m for m, peer in self.peers.items() if now - peer.heard < self.bounds.election}
            if self._stuck():
                self._lapse("the disk takes too long")
            elif not self.members.quorum(live | {self.me}):
                self._lapse("no quorum was heard")
            else:
                if now >= self.next_beat:
                    self._beat()
                self.way.wake(self.next_beat - now)
            return
        if self.leader and self.heard + self.bounds.election > self.due:
            self.due = (
                self.heard + self.bounds.election + int(self.chance.random() * self.bounds.election)
            )
        if now < self.due:
            self.way.wake(self.due - now)
            return
        self._draw()
        if self._part() and self.me in self.members.voters and not self._stuck():
            self.leader, self.role, self.votes = "", ASKING, {self.me}
            for to in self._others():
                self.way.want_vote(
                    to, self.boots, self.term + 1, True, self.log.last, self.log.last_term
                )
            if self.members.quorum(self.votes):
                self.stand()

    def stand(self) -> None:
        """A majority would vote for it. Votes are asked for once its own is durable, and with it its log."""
        self.role, self.leader, self.votes, self.matched = CANDIDATE, "", set(), 0
        self.term, self.vote, self.owed = self.term + 1, self.me, self.me
        self._keep()
        self.vote_number = self.writes.number

    def _ask_votes(self) -> None:
        if self.role != CANDIDATE:
            return
        self._counted(self.me)
        for to in self._others() if self.role == CANDIDATE else ():
            self.way.want_vote(to, self.boots, self.term, False, self.log.last, self.log.last_term)

    def _others(self) -> list[str]:
        return [m for m in self.members.all if m != self.me]

    # what peers say of themselves

    def _same(self, sender: str, boots: int, term: int, durable: int | None = None) -> bool:
        """Is it the one that was heard before? One of an older disk has forgotten what it answered for."""
        if not self._part():
            return False
        word = self.memory.word(sender, boots, term, durable)
        if word is Word.GONE:
            self.way.say(
                f"{self.me}: {sender} came with an older disk, and counts no more until it is added anew"
            )
        if word is not Word.SAME:
            self.way.gone_back(sender, boots)
        return word is Word.SAME

    def gone_back(self, sender: str, boots: int) -> None:
        """A peer has heard more of this member than its disk knows."""
        if boots == self.boots and not self.stale:
            self._lapse("its disk is older than what it answered for")
            self.stale, self.role, self.owed = True, FOLLOWER, ""
            self.way.say(
                f"{self.me} has an older disk, says {sender}: to be removed, and added as a new one"
            )
            self.way.forsake()

    # votes

    def vote_wanted(
        self, sender: str, boots: int, term: int, early: bool, index: int, last: int
    ) -> None:
        if (
            not self._same(sender, boots, term - early, index)
            or not self.members.voters
            or self._hears()
        ):
            return
        if early:
            given = term > self.term and self._fresh(index, last)
            self.way.vote(sender, self.boots, term if given else self.term, True, given)
            return
        if term > self.term:
            self._follow(term, "")
        if term < self.term or not self._fresh(index, last) or self.vote not in ("", sender):
            self.way.vote(sender, self.boots, self.term, False, False)
            return
        if not self.vote:
            self.vote = sender
            self._keep()
            self.vote_number = self.writes.number
            self._draw()
        self._give(sender)

    def _give(self, sender: str) -> None:
        if self._vote_waits():
            self.owed = sender
        else:
            self.way.vote(sender, self.boots, self.term, False, True)

    def _fresh(self, index: int, last: int) -> bool:
        return (last, index) >= (self.log.last_term, self.log.last)

    def voted(self, sender: str, boots: int, term: int, early: bool, given: bool) -> None:
        if not self._same(sender, boots, term - (early and given)):
            return
        if not given:
            if term > self.term:
                self._follow(term, "")
            return
        if not early:
            self.memory.saw(sender, boots, term, 0)
        if early and self.role == ASKING and term == self.term + 1:
            self.votes.add(sender)
            if self.members.quorum(self.votes):
                self.stand()
        elif not early and self.role == CANDIDATE and term == self.term:
            self._counted(sender)

    def _counted(self, voter: str) -> None:
        self.votes.add(voter)
        if self.members.quorum(self.votes):
            now = self.way.now()
            self.role, self.leader, self.first, self.beats = LEADER, self.me, self.log.last + 1, 0
            self.peers = {m: Peer(self.log.last + 1, now) for m in self._others()}
            self.way.say(f"{self.me} leads reign {self.term}")
            self._append([Entry(self.term, "begin")])
            self._beat()
            self.way.wake(self.bounds.beat)

    # leading

    def _beat(self) -> None:
        self._make()
        self.beats += 1
        self.next_beat = self.way.now() + self.bounds.beat
        for to, peer in self.peers.items():
            self._feed(to, peer, True)
        self._readable()

    def _feed(self, to: str, peer: Peer, beat: bool) -> None:
        if peer.next <= self.log.base:
            if beat:
                self._feed_part(to, peer)
            return
        while beat or len(peer.flight) < (1 if peer.probing else self.bounds.flight):
            room = len(peer.flight) < (1 if peer.probing else self.bounds.flight)
            entries = (
                self.log.after(peer.next - 1, self.bounds.batch, self.bounds.batch_bytes)
                if room
                else []
            )
            if not entries and not beat:
                return
            before = peer.next - 1
            self.way.offer(
                to,
                self.boots,
                self.term,
                self.beats,
                before,
                self.log.term_at(before) or 0,
                entries,
                self.commit,
            )
            beat = False
            if entries:
                peer.next += len(entries)
                peer.flight.append(peer.next - 1)

    def _feed_part(self, to: str, peer: Peer) -> None:
        index, start = self.snap_index, peer.part[1] if peer.part[0] == self.snap_index else 0
        peer.part = (index, start)
        part = self.snapshot[start : start + self.bounds.part]
        self.way.offer_part(
            to, self.boots, self.term, self.beats, index, start, len(self.snapshot), part
        )

    def _answers(self, sender: str, term: int, beat: int) -> Peer | None:
        """Whoever answers this leader's beat, heard now; nobody where it does not lead that reign."""
        if term > self.term:
            self._follow(term, "")
        peer = self.peers.get(sender)
        if self.role != LEADER or term != self.term or peer is None:
            return None
        peer.heard, peer.beat = self.way.now(), max(peer.beat, beat)
        return peer

    def took(
        self, sender: str, boots: int, term: int, beat: int, fits: bool, index: int, durable: int
    ) -> None:
        if not self._same(sender, boots, term, durable if durable >= 0 else None):
            return
        if (peer := self._answers(sender, term, beat)) is None:
            return
        if fits:
            if index:
                self.memory.saw(sender, boots, term, index)
            peer.match, peer.probing = max(peer.match, index), False
            peer.next = max(peer.next, index + 1)
            while peer.flight and peer.flight[0] <= index:
                peer.flight.popleft()
        else:
            peer.next, peer.probing = max(peer.match + 1, min(index + 1, peer.next - 1)), True
            peer.flight.clear()
        self._settle()
        if self.role == LEADER and sender in self.peers:
            self._promote(sender, peer)
            self._feed(sender, peer, False)
            self._readable()

    def took_part(
        self, sender: str, boots: int, term: int, beat: int, index: int, size: int
    ) -> None:
        if not self._same(sender, boots, term):
            return
        if (peer := self._answers(sender, term, beat)) is None:
            return
        if peer.next <= self.log.base and peer.part[0] == index == self.snap_index:
            # Less than before: it came back without what was not yet durable there. The next beat goes on from that.
            more, peer.part = size > peer.part[1], (index, size)
            if size >= len(self.snapshot):
                peer.next, peer.probing, peer.part = index + 1, True, (0, 0)
                peer.flight.clear()
            if more:
                self._feed(sender, peer, True)
        self._readable()

    def _own(self) -> int:
        return self.writes.durable if self.writes.term == self.term else 0

    def _settle(self) -> None:
        """Agreed is what a majority has durable, up to an entry of this reign."""
        matched = {m: peer.match for m, peer in self.peers.items()}
        agreed = self.members.agreed({**matched, self.me: self._own()})
        if agreed > self.commit and self._countable(agreed):
            self._advance(agreed)

    def _countable(self, index: int) -> bool:
        return self.log.term_at(index) == self.term

    def _tell(self) -> None:
        for to, peer in self.peers.items():
            self._feed(to, peer, False)

    # asks

    def _room(self, token: int, size: int) -> bool:
        if self.role != LEADER:
            self.way.answer(token, Outcome.NOT_LEADER, self.leader.encode())
        elif size > self.bounds.entry:
            self.way.answer(token, Outcome.LARGE, b"")
        elif (
            len(self.waiting) >= self.bounds.asks
            or len(self.writes) >= self.bounds.writes
            or len(self.log.entries) - self.bounds.tail >= 2 * self.bounds.log
            or self.log.size >= 2 * self.bounds.log_bytes
        ):
            self.way.answer(token, Outcome.OVERLOADED, b"")
        else:
            return True
        return False

    def open(self, token: int) -> None:
        """A session for one who will ask: its number is the answer."""
        if self._room(token, 0):
            self._propose(token, Entry(self.term, "open"))

    def ask(self, token: int, session: int, number: int, entry: bytes) -> None:
        """Numbers of a session rise. Asked again with the same number, it takes effect once."""
        if self._room(token, len(entry)):
            self._propose(token, Entry(self.term, "ask", session, number, entry))

    def _propose(self, token: int, entry: Entry) -> None:
        self.waiting[self.log.last + 1] = token
        self._append([entry])
        self._tell()

    def read(self, token: int) -> None:
        """Told to read once a majority has said, since this call, that there is no later reign."""
        if self.role != LEADER:
            self.way.answer(token, Outcome.NOT_LEADER, self.leader.encode())
        elif len(self.reads) >= self.bounds.asks:
            self.way.answer(token, Outcome.OVERLOADED, b"")
        else:
            self.reads.append((self.beats + 1, max(self.commit, self.first), token))
            if len(self.reads) == 1:
                self._beat()

    def _readable(self) -> None:
        beats = {m: peer.beat for m, peer in self.peers.items()}
        confirmed = self.members.agreed({**beats, self.me: self.beats})
        while (
            self.reads
            and self._confirmed(self.reads[0][0], confirmed)
            and self.reads[0][1] <= self.commit
        ):
            self.way.answer(self.reads.popleft()[2], Outcome.READ, b"")
        if self.reads and self.reads[0][0] > self.beats:
            self._beat()

    def _confirmed(self, beat: int, confirmed: int) -> bool:
        return beat <= confirmed

    # members

    def add(self, token: int, one: str) -> None:
        """As a learner, and with a vote once it has what is agreed."""
        if self._changeable(token):
            if one in self.members.all:
                self.way.answer(token, Outcome.NEEDLESS, b"")
            elif len(self.members.all) >= self.bounds.members:
                self.way.answer(token, Outcome.OVERLOADED, b"")
            else:
                self._change(self.members.learning(one), token)

    def remove(self, token: int, one: str) -> None:
        if self._changeable(token):
            if one not in self.members.all or self.members.voters == (one,):
                self.way.answer(token, Outcome.NEEDLESS, b"")
            else:
                self._change(self.members.without(one), token)

    def _changeable(self, token: int) -> bool:
        if not self._room(token, 0):
            return False
        if not self._settled():
            self.way.answer(token, Outcome.BUSY, b"")
            return False
        return True

    def _settled(self) -> bool:
        """One change at a time, and none before this reign has agreed on anything (Ongaro, 2015: the bug in both)."""
        return self.configs[-1][0] <= self.commit and self.commit >= self.first

    def _promote(self, one: str, peer: Peer) -> None:
        if one in self.members.learners and peer.match >= self.commit and self._settled():
            self._change(self.members.promoted(one), None)

    def _change(self, members: Configuration, token: int | None) -> None:
        if token is not None:
            self.waiting[self.log.last + 1] = token
        now, before = self.way.now(), self.peers
        self._append([Entry(self.term, "members", data=members.data())])
        self.peers = {m: before.get(m) or Peer(self.log.last, now) for m in self._others()}
        self._settle()
        self._tell()

    # following

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
        if not self._heeds(sender, boots, term, beat):
            return
        self.beats = beat
        entries = entries[max(0, self.log.base - before) :]
        if before < self.log.base:
            before, last = (
                self.log.base,
                self.log.base_term,
            )  # what is behind the base is agreed, and alike
        if self.log.term_at(before) != last:
            self._took(False, self._back(before))
            return
        fresh = next(
            (n for n, e in enumerate(entries, 1) if self.log.term_at(before + n) != e.term), 0
        )
        if fresh:
            if len(self.writes) >= self.bounds.writes:
                return  # offered again with a later beat
            if before + fresh <= self.log.last:
                self._cut(before + fresh)
            self._append(entries[fresh - 1 :])
        self.matched = max(self.matched, before + len(entries))
        self._advance(min(commit, self.matched))
        self._took(True, self.matched)

    def _heeds(self, sender: str, boots: int, term: int, beat: int) -> bool:
        if not self._same(sender, boots, term):
            return False
        if term < self.term:
            self.way.took(sender, self.boots, self.term, beat, False, 0, -1)
            return False
        assert self.role != LEADER or term > self.term, (
            f"{self.me}: {sender} leads reign {term} too"
        )
        self._follow(term, sender)
        return True

    def _back(self, before: int) -> int:
        """Where it might fit: a whole reign back at a time."""
        index = min(before - 1, self.log.last)
        term = self.log.term_at(before)
        while term is not None and index > self.commit and self.log.term_at(index) == term:
            index -= 1
        return index

    def _took(self, fits: bool, index: int) -> None:
        if fits:
            index = min(index, self._own())
        durable = self.writes.told if self.writes.term == self.term else -1
        self.way.took(self.leader, self.boots, self.term, self.beats, fits, index, durable)

    def part_offered(
        self,
        sender: str,
        boots: int,
        term: int,
        beat: int,
        index: int,
        start: int,
        size: int,
        part: bytes,
    ) -> None:
        if not self._heeds(sender, boots, term, beat):
            return
        self.beats = beat
        if index <= self.commit:
            self.way.took_part(sender, self.boots, self.term, beat, index, size)
            return
        if size > self.bounds.snapshot:
            self.way.say(
                f"{self.me}: a snapshot of {size} bytes is over the bound of {self.bounds.snapshot}"
            )
            return
        if self.coming[0] != (index, size) and start == 0:
            self.coming = ((index, size), bytearray())
        key, came = self.coming
        if key == (index, size) and start == len(came) and not self._stuck():
            came += part
            if len(came) >= size:
                self._install(index, bytes(came))
                self.coming = ((0, 0), bytearray())
                self.way.took_part(sender, self.boots, self.term, beat, index, size)
                return
        self.way.took_part(
            sender, self.boots, self.term, beat, index, len(came) if key == (index, size) else 0
        )

    # what is agreed

    def _advance(self, to: int) -> None:
        while self.commit < to:
            self.commit += 1
            self._apply(self.commit, self.log.at(self.commit))
        if self.role == LEADER:
            self._readable()
        long = (
            len(self.log.entries) > self.bounds.log + self.bounds.tail
            or self.log.size > self.bounds.log_bytes
        )
        if self.making is None and long and self.commit - self.snap_index > self.bounds.log // 2:
            self._shorten()
        self._make()

    def _apply(self, index: int, entry: Entry) -> None:
        answer: bytes | None = b""
        if entry.kind == "open":
            answer = self.sessions.open(index)
        elif entry.kind == "ask":
            answer = self.sessions.apply(
                entry.session, entry.number, lambda: self.machine.apply(index, entry.data)
            )
        token = self.waiting.pop(index, None)
        if token is not None:
            self.way.answer(
                token, Outcome.FORGOTTEN if answer is None else Outcome.DONE, answer or b""
            )
        if entry.kind == "members" and self.role == LEADER and index == self.configs[-1][0]:
            if self.me not in self.members.voters:
                self._lapse("it was removed")

    # snapshots

    def _shorten(self) -> None:
        """Takes a snapshot of all that is agreed, to be made in parts: a large one takes longer than an election."""
        term = self.log.term_at(self.commit)
        members = [m for n, m in self.configs if n <= self.commit][-1]
        head = json.dumps([self.commit, term, members.plain(), self.sessions.plain()]).encode()
        self.making = Making(self.commit, self.machine.parts(), [head, b"\n"])

    def _make(self) -> None:
        if (making := self.making) is None:
            return
        more = list(islice(making.parts, self.bounds.making))
        making.made += more
        if len(more) == self.bounds.making:
            return
        self.making = None
        self.snapshot, self.snap_index = b"".join(making.made), making.index
        # A short tail stays for those who lag a little; on disk the snapshot alone stands for it.
        self.log.rebase(max(self.log.base, making.index - self.bounds.tail))
        if self.log.size > self.bounds.log_bytes // 2:
            self.log.rebase(making.index)
        self._keep_snapshot()

    def _keep_snapshot(self) -> None:
        rest = self.log.entries[self.snap_index - self.log.base :]
        self.way.keep_snapshot(self._number(), self.snap_index, self.snapshot, rest)
        late = [(n, m) for n, m in self.configs if n > self.snap_index]
        early = [(n, m) for n, m in self.configs if n <= self.snap_index]
        self.configs = early[-1:] + late

    def _install(self, index: int, snapshot: bytes) -> None:
        keeps = self.log.term_at(index) == json.loads(snapshot.split(b"\n", 1)[0])[1]
        rest = self.log.entries[index - self.log.base :] if keeps else []
        configs = [(n, m) for n, m in self.configs if n > index] if keeps else []
        self._restore(snapshot)
        self.log.append(rest)
        self.configs += configs
        self.snapshot = snapshot
        if not keeps:
            self.writes.replaced()
        self.matched = max(self.matched, index)
        self._keep_snapshot()

    def _restore(self, snapshot: bytes) -> None:
        head, state = snapshot.split(b"\n", 1)
        index, term, members, sessions = json.loads(head)
        self.making = None  # of what was before
        self.sessions.restore(sessions)
        self.machine.restore(state)
        self.log, self.commit, self.snap_index = Log(index, term), index, index
        self.configs = [(index, Configuration.of(members))]
