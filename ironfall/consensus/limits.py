"""Timeouts and limits of a member. Times are in tenths of a millisecond."""

from dataclasses import dataclass

TICKS_PER_SECOND = 10_000


@dataclass(frozen=True)
class RaftLimits:
    """Timeouts in tenths of a millisecond, sizes in bytes.

    Attributes:
        election_timeout: Time without a message from the leader before an election starts; each
            timeout is drawn at random between this and twice this.
        heartbeat_interval: Time between a leader's heartbeats.
        disk_timeout: A leader steps down if a write takes longer than this.
        max_entry_bytes: Size of a client's command.
        max_batch_entries: Entries in one message.
        max_batch_bytes: Size of the entries in one message.
        max_batches_in_flight: Batches sent to a peer and not acknowledged yet.
        max_pending_requests: Proposals that wait at a leader; reads have a separate limit of the
            same size.
        max_pending_writes: Writes handed to the disk and not durable yet.
        max_log_entries: Entries in the log, beyond `retained_entries`, before a snapshot is due; at
            twice this, client requests except reads are rejected.
        max_log_bytes: Like `max_log_entries`, in bytes and including the retained entries.
        retained_entries: Entries kept in memory although a snapshot replaces them, so that peers
            slightly behind need no snapshot; none if the log exceeds half of `max_log_bytes`.
        snapshot_chunks_per_step: Chunks of a snapshot made at a time; other work is done between
            the steps.
        snapshot_chunk_bytes: Bytes of a snapshot sent in one message.
        max_snapshot_bytes: A larger snapshot from a leader is rejected.
        max_sessions: Client sessions; the least recently used one is discarded for a new one.
        max_answers_per_session: Last answers kept per session, for retries.
        max_members: Voters and learners together.
    """

    election_timeout: int = TICKS_PER_SECOND
    heartbeat_interval: int = TICKS_PER_SECOND // 10
    disk_timeout: int = TICKS_PER_SECOND // 2
    max_entry_bytes: int = 64 * 1024
    max_batch_entries: int = 128
    max_batch_bytes: int = 1024 * 1024
    max_batches_in_flight: int = 4
    max_pending_requests: int = 1024
    max_pending_writes: int = 4096
    max_log_entries: int = 10_000
    max_log_bytes: int = 16 * 1024 * 1024
    retained_entries: int = 1_000
    snapshot_chunks_per_step: int = 8
    snapshot_chunk_bytes: int = 256 * 1024
    max_snapshot_bytes: int = 256 * 1024 * 1024
    max_sessions: int = 1024
    max_answers_per_session: int = 4
    max_members: int = 7
