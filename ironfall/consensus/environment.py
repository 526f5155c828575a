"""The ports of a member: what its process provides, and the state machine it replicates.

No method of a port may call back into the member.
"""

import random
from collections.abc import Iterator, Sequence
from typing import NamedTuple, Protocol

from ironfall.consensus.log import Entry
from ironfall.consensus.messages import Message
from ironfall.consensus.outcome import Outcome


class HardState(NamedTuple):
    """What a member must have made durable before it answers.

    Attributes:
        boot_id: of this start of the member.
        term: the current term.
        vote: who was voted for in this term; empty if nobody.
    """

    boot_id: int
    term: int
    vote: str


class Clock(Protocol):
    """Time in tenths of a millisecond. Only timeouts rest on it."""

    def now(self) -> int:
        """Returns the time, which never goes back and need not be accurate."""
        ...

    def set_timer(self, delay: int) -> None:
        """Calls `on_timer` after `delay`; replaces the timer set before."""
        ...


class Transport(Protocol):
    """The network to the other members."""

    def send(self, to: str, message: Message) -> None:
        """Sends a message, which may be lost, delayed, repeated and overtaken."""
        ...


class Storage(Protocol):
    """The disk. Writes are made durable in the order of their numbers.

    `on_write_durable` is called, never from within these methods, when all writes up to a number
    are durable.
    """

    def write_hard_state(self, number: int, state: HardState) -> None:
        """Replaces the hard state."""
        ...

    def append_entries(self, number: int, first_index: int, entries: Sequence[Entry]) -> None:
        """Replaces all entries from `first_index` on."""
        ...

    def write_snapshot(
        self, number: int, index: int, snapshot: bytes, entries: Sequence[Entry]
    ) -> None:
        """Replaces the snapshot and all entries; `entries` are those after `index`."""
        ...

    def quarantine_disk(self) -> None:
        """The disk lacks what was answered for: the member must never start from it again."""
        ...


class ClientReplies(Protocol):
    """The way back to clients."""

    def reply(self, token: int, outcome: Outcome, answer: bytes) -> None:
        """Answers the request that came with `token`."""
        ...


class EventLog(Protocol):
    """The log that operators read."""

    def report(self, text: str) -> None:
        """Logs a change of this member's or a peer's state."""
        ...


class Environment(Clock, Transport, Storage, ClientReplies, EventLog, Protocol):
    """All ports together, and the source of election timeouts and boot ids."""

    @property
    def random_source(self) -> random.Random:
        """A generator that only this member draws from while it is called."""
        ...


class StateMachine(Protocol):
    """Deterministic: the same entries from the same snapshot give the same answers and state."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command, and returns the answer to the client."""
        ...

    def snapshot_chunks(self) -> Iterator[bytes]:
        """Returns the state as of this call; it is read while later commands are applied."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a snapshot's."""
        ...
