"""The environment of a coordinator's consensus node: clock, peers, disk, clients, log."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from ironfall.consensus import Entry, HardState, Message, Outcome
from ironfall.coordinator import peer_codec
from ironfall.coordinator.clock import SystemClock
from ironfall.coordinator.disk_writer import DiskWriter
from ironfall.coordinator.node_timer import NodeTimer
from ironfall.coordinator.pending_replies import PendingReplies, Reply
from ironfall.coordinator.stored_records import AppendWrite, SnapshotWrite

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger


class NodeEnvironment:
    """Implements `ironfall.consensus.Environment`.

    Attributes:
        random_source: draws election timeouts and boot ids.
        writer: writes to the disk; None while the node is not running.
        timer: the node's timer.
        replies: requests that wait for a reply.
        on_quarantine: called when the disk turns out to have been rolled back.
    """

    def __init__(
        self,
        clock: SystemClock,
        timer: NodeTimer,
        random_source: random.Random,
        send: Callable[[str, str, Sequence[object], int], None],
        log: FilteringBoundLogger,
    ) -> None:
        """Has no writer yet; `send` takes receiver, name, fields and payload bytes of a message."""
        self.timer = timer
        self.random_source = random_source
        self.writer: DiskWriter | None = None
        self.replies = PendingReplies()
        self.on_quarantine: Callable[[], None] = _ignore
        self._clock = clock
        self._send = send
        self._log = log

    def now(self) -> int:
        """Returns the monotonic time in tenths of a millisecond."""
        return self._clock.now_ticks()

    def set_timer(self, delay: int) -> None:
        """Sets the node's timer."""
        self.timer.set(delay)

    def send(self, to: str, message: Message) -> None:
        """Queues a message to a peer."""
        size = peer_codec.payload_bytes(message)
        self._send(to, peer_codec.name_of(message), peer_codec.encode(message), size)

    def write_hard_state(self, number: int, state: HardState) -> None:
        """Queues a write of the hard state."""
        if self.writer is not None:
            self.writer.put(number, state)

    def append_entries(self, number: int, first_index: int, entries: Sequence[Entry]) -> None:
        """Queues a write of entries."""
        if self.writer is not None:
            self.writer.put(number, AppendWrite(first_index, list(entries)))

    def write_snapshot(
        self, number: int, index: int, snapshot: bytes, entries: Sequence[Entry]
    ) -> None:
        """Queues a write of a snapshot."""
        if self.writer is not None:
            self.writer.put(number, SnapshotWrite(index, snapshot, list(entries)))

    def quarantine_disk(self) -> None:
        """Reports that the disk was rolled back, so that this process starts as a new member."""
        self.on_quarantine()

    def reply(self, token: int, outcome: Outcome, answer: bytes) -> None:
        """Passes a reply to the request that waits for it."""
        self.replies.resolve(token, Reply(outcome, answer))

    def report(self, text: str) -> None:
        """Logs a change of the node's state."""
        self._log.info("consensus state changed", said=text)


def _ignore() -> None:
    pass
