"""Raft consensus: a replicated log shared by a few members. Does no I/O of its own.

`RaftNode` is one member. Its process passes it client requests (`open_session`, `propose`, `read`,
`add_member`, `remove_member`), peers' messages (`on_message`), completed writes
(`on_write_durable`, `on_disk_failed`) and timer events (`on_timer`). It acts through the
`Environment` and applies committed entries to the `StateMachine`; both are passed to its
constructor.

What the process must guarantee is in docs/fleet.md, part "The process". Source: Ongaro,
"Consensus: Bridging Theory and Practice" (2014).
"""

from ironfall.consensus.configuration import Configuration
from ironfall.consensus.environment import Environment, HardState, StateMachine
from ironfall.consensus.limits import RaftLimits
from ironfall.consensus.log import Entry, EntryKind, Log
from ironfall.consensus.messages import (
    AppendEntries,
    AppendResponse,
    DiskRolledBack,
    Message,
    RequestVote,
    SnapshotChunk,
    SnapshotChunkResponse,
    VoteResponse,
)
from ironfall.consensus.node import RaftNode
from ironfall.consensus.outcome import Outcome
from ironfall.consensus.persisted_state import PersistedState, member_identity
from ironfall.consensus.role import Role
from ironfall.consensus.sessions import Sessions

__all__ = [
    "AppendEntries",
    "AppendResponse",
    "Configuration",
    "DiskRolledBack",
    "Entry",
    "EntryKind",
    "Environment",
    "HardState",
    "Log",
    "Message",
    "Outcome",
    "PersistedState",
    "RaftLimits",
    "RaftNode",
    "RequestVote",
    "Role",
    "Sessions",
    "SnapshotChunk",
    "SnapshotChunkResponse",
    "StateMachine",
    "VoteResponse",
    "member_identity",
]
