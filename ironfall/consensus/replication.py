"""Replication on a leader: sends heartbeats, entries and snapshots to peers, commits entries."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ironfall.consensus.log import Entry, EntryKind
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
class PeerProgress:
    """What a leader knows about a peer.

    Attributes:
        next_index: Index of the next entry to be sent.
        heard_at: Time of its last answer.
        match_index: Index up to which its log matches and is durable.
        heartbeat_round: Number of the last heartbeat that it answered.
        is_probing: Whether it is unknown where its log matches; one batch is sent at a time.
        in_flight: Last index of each batch that is not acknowledged yet.
        snapshot_index: Index of the snapshot that is being sent to it.
        snapshot_offset: How many bytes of that snapshot it has received.
    """

    next_index: int
    heard_at: int
    match_index: int = 0
    heartbeat_round: int = 0
    is_probing: bool = True
    in_flight: deque[int] = field(default_factory=deque)
    snapshot_index: int = 0
    snapshot_offset: int = 0


class Replication:
    """The state of a leader.

    Attributes:
        peers: Progress of all other members; empty unless this member leads.
        first_index: Index of the first entry of this member's last term as leader.
        next_heartbeat_at: Time in tenths of a millisecond.
    """

    def __init__(self, node: RaftNode) -> None:
        self.node = node
        self.peers: dict[str, PeerProgress] = {}
        self.first_index = 0
        self.next_heartbeat_at = 0

    def become_leader(self) -> None:
        """Becomes leader; appends an entry of its term, with which earlier ones are committed."""
        node = self.node
        node.role = Role.LEADER
        node.leader = node.identity
        node.heartbeat_round = 0
        self.first_index = node.log.last_index + 1
        self.peers = {}
        self.update_peers(self.first_index)
        node.environment.report(f"{node.identity} became leader of term {node.term}")
        node.append_entries([Entry(node.term, EntryKind.TERM_START)])
        self.send_heartbeat()
        node.environment.set_timer(node.limits.heartbeat_interval)

    def update_peers(self, next_index: int) -> None:
        """Adjusts `peers` to the configuration; new peers are sent entries from `next_index` on."""
        now = self.node.environment.now()
        known = self.peers
        self.peers = {}
        for peer in self.node.peer_identities():
            self.peers[peer] = known.get(peer) or PeerProgress(next_index, now)

    def on_timer(self) -> None:
        """Sends a heartbeat if due; steps down if the disk is stuck or no quorum answered."""
        node = self.node
        now = node.environment.now()
        if node.is_disk_stuck():
            node.step_down("a disk write takes too long")
        elif not node.configuration.has_quorum(self._live_members(now)):
            node.step_down("no quorum of voters answered within the election timeout")
        else:
            if now >= self.next_heartbeat_at:
                self.send_heartbeat()
            node.environment.set_timer(self.next_heartbeat_at - now)

    def _live_members(self, now: int) -> set[str]:
        timeout = self.node.limits.election_timeout
        live = {identity for identity, peer in self.peers.items() if now - peer.heard_at < timeout}
        live.add(self.node.identity)
        return live

    # Requests to peers.

    def send_heartbeat(self) -> None:
        """Starts a heartbeat round: sends to all peers, even without new entries."""
        node = self.node
        node.snapshots.make_next_chunks()
        node.heartbeat_round += 1
        self.next_heartbeat_at = node.environment.now() + node.limits.heartbeat_interval
        for identity, peer in self.peers.items():
            self._send(identity, peer, is_heartbeat=True)
        node.client_requests.confirm_reads()

    def send_new_entries(self) -> None:
        """Sends new entries to the peers that have room for another batch in flight."""
        for identity, peer in self.peers.items():
            self._send(identity, peer, is_heartbeat=False)

    def _send(self, identity: str, peer: PeerProgress, *, is_heartbeat: bool) -> None:
        if peer.next_index <= self.node.log.base_index:
            if is_heartbeat:
                self._send_snapshot_chunk(identity, peer)
            return
        must_send = is_heartbeat
        while must_send or self._has_room(peer):
            entries = self._next_batch(peer)
            if not entries and not must_send:
                return
            self._send_entries(identity, peer, entries)
            must_send = False

    def _has_room(self, peer: PeerProgress) -> bool:
        max_batches = 1 if peer.is_probing else self.node.limits.max_batches_in_flight
        return len(peer.in_flight) < max_batches

    def _next_batch(self, peer: PeerProgress) -> list[Entry]:
        if not self._has_room(peer):
            return []
        limits = self.node.limits
        return self.node.log.batch_after(
            peer.next_index - 1, limits.max_batch_entries, limits.max_batch_bytes
        )

    def _send_entries(self, identity: str, peer: PeerProgress, entries: list[Entry]) -> None:
        node = self.node
        previous_index = peer.next_index - 1
        message = AppendEntries(
            node.boot_id,
            node.term,
            node.heartbeat_round,
            previous_index,
            node.log.term_at(previous_index) or 0,
            entries,
            node.commit_index,
        )
        node.environment.send(identity, message)
        if entries:
            peer.next_index += len(entries)
            peer.in_flight.append(peer.next_index - 1)

    def _send_snapshot_chunk(self, identity: str, peer: PeerProgress) -> None:
        node = self.node
        snapshot = node.snapshots.data
        if peer.snapshot_index != node.snapshots.index:
            peer.snapshot_index = node.snapshots.index
            peer.snapshot_offset = 0
        offset = peer.snapshot_offset
        message = SnapshotChunk(
            node.boot_id,
            node.term,
            node.heartbeat_round,
            peer.snapshot_index,
            offset,
            len(snapshot),
            snapshot[offset : offset + node.limits.snapshot_chunk_bytes],
        )
        node.environment.send(identity, message)

    # Responses from peers.

    def on_append_response(self, sender: str, message: AppendResponse) -> None:
        """Updates a peer's progress, commits what a majority has, and sends more entries."""
        node = self.node
        durable_index = message.durable_index if message.durable_index >= 0 else None
        if not node.is_trusted_sender(sender, message.boot_id, message.term, durable_index):
            return
        peer = self._on_any_response(sender, message)
        if peer is None:
            return
        if message.is_accepted:
            self._on_accepted(sender, peer, message)
        else:
            self._on_mismatch(peer, message.index)
        self.advance_commit_index()
        if node.role is Role.LEADER and sender in self.peers:
            node.membership_changes.promote_if_caught_up(sender, peer.match_index)
            self._send(sender, peer, is_heartbeat=False)
            node.client_requests.confirm_reads()

    def _on_any_response(
        self, sender: str, message: AppendResponse | SnapshotChunkResponse
    ) -> PeerProgress | None:
        """Returns the sender's progress; None unless this member leads the term of the answer."""
        node = self.node
        if message.term > node.term:
            node.become_follower(message.term, "")
        peer = self.peers.get(sender)
        if node.role is not Role.LEADER or message.term != node.term or peer is None:
            return None
        peer.heard_at = node.environment.now()
        peer.heartbeat_round = max(peer.heartbeat_round, message.heartbeat_round)
        return peer

    def _on_accepted(self, sender: str, peer: PeerProgress, message: AppendResponse) -> None:
        index = message.index
        if index:
            self.node.rollback_detector.record(sender, message.boot_id, message.term, index)
        peer.match_index = max(peer.match_index, index)
        peer.next_index = max(peer.next_index, index + 1)
        peer.is_probing = False
        while peer.in_flight and peer.in_flight[0] <= index:
            peer.in_flight.popleft()

    def _on_mismatch(self, peer: PeerProgress, index: int) -> None:
        """Goes back to `index`, where the logs may match, but not below `match_index`."""
        peer.next_index = max(peer.match_index + 1, min(index + 1, peer.next_index - 1))
        peer.is_probing = True
        peer.in_flight.clear()

    def on_snapshot_chunk_response(self, sender: str, message: SnapshotChunkResponse) -> None:
        """Updates how much of the snapshot a peer has, and sends the next chunk."""
        if not self.node.is_trusted_sender(sender, message.boot_id, message.term):
            return
        peer = self._on_any_response(sender, message)
        if peer is None:
            return
        is_needed = peer.next_index <= self.node.log.base_index
        if is_needed and peer.snapshot_index == message.index == self.node.snapshots.index:
            self._on_snapshot_progress(sender, peer, message.received_bytes)
        self.node.client_requests.confirm_reads()

    def _on_snapshot_progress(self, sender: str, peer: PeerProgress, received_bytes: int) -> None:
        # A peer that restarted may have less than before; the next heartbeat resumes from there.
        has_progressed = received_bytes > peer.snapshot_offset
        peer.snapshot_offset = received_bytes
        if received_bytes >= len(self.node.snapshots.data):
            peer.next_index = peer.snapshot_index + 1
            peer.is_probing = True
            peer.in_flight.clear()
            peer.snapshot_index = 0
            peer.snapshot_offset = 0
        if has_progressed:
            self._send(sender, peer, is_heartbeat=True)

    # Commitment.

    def advance_commit_index(self) -> None:
        """Commits the entries that are durable at a majority, if the last is of this term."""
        node = self.node
        durable = {identity: peer.match_index for identity, peer in self.peers.items()}
        durable[node.identity] = node.durable_index()
        index = node.configuration.quorum_value(durable)
        if index > node.commit_index and self._may_commit(index):
            node.advance_commit_index(index)

    def _may_commit(self, index: int) -> bool:
        """Returns whether the entry is of this term; earlier ones are only committed with it."""
        return self.node.log.term_at(index) == self.node.term

    def confirmed_round(self) -> int:
        """Returns the number of the last heartbeat round that a majority has answered."""
        rounds = {identity: peer.heartbeat_round for identity, peer in self.peers.items()}
        rounds[self.node.identity] = self.node.heartbeat_round
        return self.node.configuration.quorum_value(rounds)
