"""The consensus limits of coordinators."""

from dataclasses import replace

from ironfall.consensus import RaftLimits
from ironfall.disruption import DisruptionRules

# Tenths of a millisecond, the unit of all times in a member and in the ledger.
TICKS_PER_SECOND = 10_000

# These timeouts let a leader be replaced within two seconds: up to one second of silence, and one
# election without a winner.
COORDINATOR_LIMITS = RaftLimits(
    election_timeout=TICKS_PER_SECOND // 2,
    heartbeat_interval=TICKS_PER_SECOND // 10,
    max_entry_bytes=2**20,
    max_batch_bytes=2**20,
    max_log_bytes=32 * 2**20,
    max_snapshot_bytes=48 * 2**20,
    max_sessions=64,
)


def limits_for(rules: DisruptionRules) -> RaftLimits:
    """Returns limits that admit the snapshot of the largest fleet that the rules allow."""
    max_snapshot_bytes = max(COORDINATOR_LIMITS.max_snapshot_bytes, rules.snapshot)
    return replace(COORDINATOR_LIMITS, max_snapshot_bytes=max_snapshot_bytes)
