"""The timeouts and bounds of a member. Times are in tenths of a millisecond."""

from dataclasses import dataclass

TICKS_PER_SECOND = 10_000


@dataclass(frozen=True)
class RaftLimits:
    """Timeouts in tenths of a millisecond, sizes in bytes.

    Attributes:
        election_timeout: until a silent leader is replaced; randomized up to twice this.
        heartbeat_interval: between a leader's heartbeats.
        disk_timeout: a leader with a write that takes longer steps down.
        max_entry_bytes: of a client's command.
        max_batch_entries: sent in one message.
        max_batch_bytes: of the entries sent in one message.
        max_batches_in_flight: sent to a peer and not acknowledged.
        max_pending_requests: proposals waiting at a leader; as many reads again.
        max_pending_writes: given to the disk and not yet durable.
        max_log_entries: until a snapshot is due; at twice this, clients are rejected.
        max_log_bytes: the same in bytes.
        retained_entries: kept in memory behind a snapshot, for peers that lag a little.
        snapshot_chunks_per_step: made at a time, between which other work goes on.
        snapshot_chunk_bytes: of a snapshot sent in one message.
        max_snapshot_bytes: a larger snapshot is not accepted from a peer.
        max_sessions: of clients; the least recently used is discarded.
        max_answers_per_session: the last ones are kept, for retries.
        max_members: voters and learners.
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
