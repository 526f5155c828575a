"""Replication on a follower: receives entries and snapshots from the leader."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ironfall.consensus.log import Entry
from ironfall.consensus.messages import (
    AppendEntries,
    AppendResponse,
    SnapshotChunk,
    SnapshotChunkResponse,
)
from ironfall.consensus.role import Role

if TYPE_CHECKING:
    from ironfall.consensus.node import RaftNode


@dataclass
class IncomingSnapshot:
    """A snapshot that is being received.

    Attributes:
        index: Index of the last entry that the snapshot replaces; 0 if none is being received.
        size: Size of the complete snapshot in bytes.
        data: The bytes received so far, from the start of the snapshot.
    """

    index: int = 0
    size: int = 0
    data: bytearray = field(default_factory=bytearray)

    def matches(self, message: SnapshotChunk) -> bool:
        """Returns whether a chunk belongs to this snapshot."""
        return (self.index, self.size) == (message.index, message.size)


class LogReceiver:
    """The state of a follower.

    Attributes:
        matched_index: Index up to which the log is known to match that of this term's leader.
        incoming: The snapshot that is being received.
    """

    def __init__(self, node: RaftNode) -> None:
        self.node = node
        self.matched_index = 0
        self.incoming = IncomingSnapshot()

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Appends the entries if the log matches at the entry before them, and answers."""
        if not self._accept_leader(sender, message):
            return
        log = self.node.log
        entries = message.entries
        previous_index = message.previous_index
        previous_term = message.previous_term
        if previous_index < log.base_index:
            # Entries up to the base are committed, so they match the leader's.
            entries = entries[log.base_index - previous_index :]
            previous_index = log.base_index
            previous_term = log.base_term
        if log.term_at(previous_index) != previous_term:
            self._send_response(is_accepted=False, index=self._possible_match(previous_index))
            return
        if not self._append_new(previous_index, entries):
            return
        self.matched_index = max(self.matched_index, previous_index + len(entries))
        self.node.advance_commit_index(min(message.commit_index, self.matched_index))
        self.acknowledge()

    def _accept_leader(self, sender: str, message: AppendEntries | SnapshotChunk) -> bool:
        """Returns whether the sender leads this term or a later one, and follows it if so."""
        node = self.node
        if not node.is_trusted_sender(sender, message.boot_id, message.term):
            return False
        if message.term < node.term:
            response = AppendResponse(
                node.boot_id,
                node.term,
                message.heartbeat_round,
                is_accepted=False,
                index=0,
                durable_index=-1,
            )
            node.environment.send(sender, response)
            return False
        assert node.role is not Role.LEADER or message.term > node.term, (
            f"{node.identity}: {sender} leads term {message.term} as well"
        )
        node.become_follower(message.term, sender)
        node.heartbeat_round = message.heartbeat_round
        return True

    def _possible_match(self, previous_index: int) -> int:
        """Returns where the logs may match, skipping all entries of a conflicting term."""
        node = self.node
        index = min(previous_index - 1, node.log.last_index)
        term = node.log.term_at(previous_index)
        if term is None:
            return index
        while index > node.commit_index and node.log.term_at(index) == term:
            index -= 1
        return index

    def _append_new(self, previous_index: int, entries: Sequence[Entry]) -> bool:
        """Appends the entries that are not in the log yet, in place of conflicting ones.

        Returns:
            Whether all entries are in the log now; False if too many writes are pending.
        """
        node = self.node
        position = self._first_new(previous_index, entries)
        if position == len(entries):
            return True
        if len(node.pending_writes) >= node.limits.max_pending_writes:
            return False
        first_index = previous_index + 1 + position
        if first_index <= node.log.last_index:
            node.truncate_log(first_index)
        node.append_entries(entries[position:])
        return True

    def _first_new(self, previous_index: int, entries: Sequence[Entry]) -> int:
        """Returns the position of the first entry that is not in the log."""
        for position, entry in enumerate(entries):
            if self.node.log.term_at(previous_index + 1 + position) != entry.term:
                return position
        return len(entries)

    def acknowledge(self) -> None:
        """Tells the leader up to which index the log matches and is durable."""
        index = min(self.matched_index, self.node.durable_index())
        self._send_response(is_accepted=True, index=index)

    def _send_response(self, *, is_accepted: bool, index: int) -> None:
        node = self.node
        durable_index = -1
        if node.pending_writes.durable_term == node.term:
            durable_index = node.pending_writes.reported_durable_index
        response = AppendResponse(
            node.boot_id, node.term, node.heartbeat_round, is_accepted, index, durable_index
        )
        node.environment.send(node.leader, response)

    def on_snapshot_chunk(self, sender: str, message: SnapshotChunk) -> None:
        """Adds a chunk to the snapshot being received; installs the snapshot if complete."""
        if not self._accept_leader(sender, message):
            return
        node = self.node
        if message.index <= node.commit_index:
            self._send_chunk_response(sender, message, message.size)
            return
        if message.size > node.limits.max_snapshot_bytes:
            node.environment.report(
                f"{node.identity} rejects a snapshot of {message.size} bytes from {sender}:"
                f" over the limit of {node.limits.max_snapshot_bytes}"
            )
            return
        if not self.incoming.matches(message) and message.offset == 0:
            self.incoming = IncomingSnapshot(message.index, message.size)
        received_bytes = self._add_chunk(message)
        self._send_chunk_response(sender, message, received_bytes)

    def _add_chunk(self, message: SnapshotChunk) -> int:
        """Adds a chunk; returns how many bytes of its snapshot have been received."""
        incoming = self.incoming
        if not incoming.matches(message):
            return 0
        if message.offset == len(incoming.data) and not self.node.is_disk_stuck():
            incoming.data += message.data
            if len(incoming.data) >= message.size:
                self.node.snapshots.install(message.index, bytes(incoming.data))
                self.incoming = IncomingSnapshot()
                return message.size
        return len(incoming.data)

    def _send_chunk_response(
        self, leader: str, message: SnapshotChunk, received_bytes: int
    ) -> None:
        node = self.node
        response = SnapshotChunkResponse(
            node.boot_id, node.term, message.heartbeat_round, message.index, received_bytes
        )
        node.environment.send(leader, response)
