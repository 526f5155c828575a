"""What a member acts through, the machine it applies entries to, and the bounds it holds to."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ironfall.consensus.log import Entry

SECOND = 10_000


class Outcome(Enum):
    DONE = "done"  # in effect, once; the machine's answer comes with it
    READ = "read"  # the machine may be read now, within the call
    NOT_LEADER = (
        "not the leader"  # nothing was done; the leader last heard comes with it, or nothing
    )
    UNKNOWN_OUTCOME = (
        "leadership lapsed"  # may come into effect or not: ask again, with the same number
    )
    OVERLOADED = "full"  # nothing was done; later, with jitter
    LARGE = "too large"  # nothing was done, nor ever will be
    FORGOTTEN = (
        "forgotten"  # its session went, or its number was passed: not done now, perhaps done before
    )
    BUSY = "another change is under way"  # or this reign has nothing committed yet
    NEEDLESS = "nothing to change"  # it is there already, or not there, or would leave nobody


class Way(Protocol):
    """Calls must not call back into the member. A message may be lost, late, repeated and overtaken."""

    def now(self) -> int:
        """Tenths of a millisecond; never goes back. Need not be right: only timeouts rest on it."""
        ...

    def wake(
        self, wait: int
    ) -> None: ...  # one alarm: a later call takes the place of the one before

    # to a peer; `boots` is the sender's, and so is `reign` but in early votes, which are of the reign that would follow

    # `index` and `last`: the sender's last entry and its reign
    def want_vote(
        self, to: str, boots: int, term: int, early: bool, index: int, last: int
    ) -> None: ...
    def vote(self, to: str, boots: int, term: int, early: bool, given: bool) -> None: ...
    # `before` and `last`: the entry before these and its reign; `beat` comes back in the answer
    def offer(
        self,
        to: str,
        boots: int,
        term: int,
        beat: int,
        before: int,
        last: int,
        entries: Sequence[Entry],
        commit: int,
    ) -> None: ...
    # `fits`: durable here and alike up to `index`; else it may fit from there. `durable`: the last entry on the disk,
    # alike or not; -1 while the reign is not there
    def took(
        self, to: str, boots: int, term: int, beat: int, fits: bool, index: int, durable: int
    ) -> None: ...
    # of a snapshot of `size` bytes up to entry `index`, from byte `start`; the answer says how many bytes are there
    def offer_part(
        self,
        to: str,
        boots: int,
        term: int,
        beat: int,
        index: int,
        start: int,
        size: int,
        part: bytes,
    ) -> None: ...
    def took_part(
        self, to: str, boots: int, term: int, beat: int, index: int, size: int
    ) -> None: ...
    def gone_back(
        self, to: str, boots: int
    ) -> None: ...  # `boots` is what the receiver said of itself

    # to the disk, in the order of the numbers; `kept` when durable up to one, never from within the call

    def keep(self, number: int, boots: int, term: int, vote: str) -> None: ...
    def append(
        self, number: int, index: int, entries: Sequence[Entry]
    ) -> None: ...  # in place of all from `index` on
    # `entries` are all that follow the snapshot: nothing from before is needed any more
    def keep_snapshot(
        self, number: int, index: int, snapshot: bytes, entries: Sequence[Entry]
    ) -> None: ...

    def forsake(
        self,
    ) -> (
        None
    ): ...  # what it holds is older than what was answered for: never to be begun from again

    # to those who ask, by the token that came with it; and to people

    def answer(self, token: int, outcome: Outcome, answer: bytes) -> None: ...
    def say(self, what: str) -> None: ...


class Machine(Protocol):
    """Deterministic: the same entries from the same snapshot give the same answers and state."""

    def apply(self, index: int, entry: bytes) -> bytes: ...
    # A snapshot as of this call, in parts that are made one after the other; what is applied meanwhile is not in them.
    def parts(self) -> Iterator[bytes]: ...
    def restore(self, snapshot: bytes) -> None: ...


@dataclass(frozen=True)
class RaftLimits:
    election: int = (
        SECOND  # until a silent leader is replaced: this to twice this, drawn anew each time
    )
    beat: int = SECOND // 10
    disk: int = SECOND // 2  # a write not durable after this: no leader
    entry: int = 64 * 1024  # bytes
    batch: int = 128  # entries offered at a time
    batch_bytes: int = 1024 * 1024
    flight: int = 4  # batches offered to a peer and not yet taken
    asks: int = 1024  # waiting at a leader, reads as many again
    writes: int = 4096  # given to the disk and not yet durable
    log: int = 10_000  # entries until a snapshot is due
    log_bytes: int = 16 * 1024 * 1024  # the same; twice either, and no more is taken from askers
    tail: int = 1_000  # entries kept behind a snapshot for one who lags a little
    making: int = 8  # parts of a snapshot made at a time, between which all else goes on
    part: int = 256 * 1024
    snapshot: int = 256 * 1024 * 1024  # bytes; what is larger is not taken from a peer
    sessions: int = 1024
    answers: int = 4  # kept of a session, the last ones
    members: int = 7
