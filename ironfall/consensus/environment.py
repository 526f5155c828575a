"""The interfaces of a member: what its process provides, and the state machine it replicates.

No method of these interfaces may call back into the member.
"""

import random
from collections.abc import Iterator, Sequence
from typing import NamedTuple, Protocol

from ironfall.consensus.log import Entry
from ironfall.consensus.messages import Message
from ironfall.consensus.outcome import Outcome


class HardState(NamedTuple):
    """State that must be durable before the member answers any message.

    Attributes:
        boot_id: Identifies this start of the member.
        term: The current term.
        vote: Member that got this member's vote in the term; empty if none.
    """

    boot_id: int
    term: int
    vote: str


class Clock(Protocol):
    """Time in tenths of a millisecond. Used for timeouts only, so safety does not depend on it."""

    def now(self) -> int:
        """Returns the time, which never decreases and need not be accurate."""
        ...

    def set_timer(self, delay: int) -> None:
        """Schedules a call of `on_timer` after `delay`; replaces the timer set before."""
        ...


class Transport(Protocol):
    """The network to the other members."""

    def send(self, to: str, message: Message) -> None:
        """Sends a message, which may be lost, delayed, duplicated or reordered."""
        ...


class Storage(Protocol):
    """The disk. Writes become durable in the order of their numbers.

    The process calls `on_write_durable` when all writes up to a number are durable, but never from
    within these methods.
    """

    def write_hard_state(self, number: int, state: HardState) -> None:
        """Replaces the hard state."""
        ...

    def append_entries(self, number: int, first_index: int, entries: Sequence[Entry]) -> None:
        """Replaces all entries from index `first_index` on by `entries`."""
        ...

    def write_snapshot(
        self, number: int, index: int, snapshot: bytes, entries: Sequence[Entry]
    ) -> None:
        """Replaces the snapshot and all entries; `entries` are those after index `index`."""
        ...

    def quarantine_disk(self) -> None:
        """Marks the disk unusable: it lacks state that the member confirmed to its peers.

        The member must never start from it again.
        """
        ...


class ClientReplies(Protocol):
    """Replies to clients."""

    def reply(self, token: int, outcome: Outcome, answer: bytes) -> None:
        """Sends the reply to the request that came with `token`."""
        ...


class EventLog(Protocol):
    """The log for operators."""

    def report(self, text: str) -> None:
        """Logs a change of state of this member or of a peer."""
        ...


class Environment(Clock, Transport, Storage, ClientReplies, EventLog, Protocol):
    """All interfaces together, and the random source of election timeouts and boot ids."""

    @property
    def random_source(self) -> random.Random:
        """A generator that nothing else draws from during a call of this member."""
        ...


class StateMachine(Protocol):
    """The replicated state machine.

    It must be deterministic: the same snapshot and entries give the same answers and state.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies the command committed at `index`, and returns the answer to the client."""
        ...

    def snapshot_chunks(self) -> Iterator[bytes]:
        """Returns the state as of this call in chunks.

        Later commands are applied while the chunks are read, and must not show in them.
        """
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        ...
