"""The messages between members.

Messages may be lost, delayed, duplicated and reordered. In each, `boot_id` is the sender's (see
`rollback_detection`), and `term` is the sender's current term unless noted otherwise.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ironfall.consensus.log import Entry


@dataclass(frozen=True, slots=True)
class RequestVote:
    """A candidate requests a vote, or a pre-candidate a pre-vote.

    Attributes:
        term: Term of the election; for a pre-vote, the term after the sender's current one.
        is_pre_vote: Whether this only asks if the receiver would grant its vote; a pre-vote changes
            no state there.
        last_index: Index of the sender's last log entry.
        last_term: Term of that entry.
    """

    boot_id: int
    term: int
    is_pre_vote: bool
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """The answer to `RequestVote`.

    Attributes:
        term: Term of the election if the vote is granted, else the sender's current term.
        is_granted: Whether the vote is granted; a granted vote, unlike a pre-vote, is durable at
            the sender.
    """

    boot_id: int
    term: int
    is_pre_vote: bool
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """A leader's heartbeat, with the entries that follow `previous_index`, if any.

    Attributes:
        heartbeat_round: Number of the leader's last heartbeat, returned in the response.
        previous_index: Index of the entry before `entries`.
        previous_term: Term of that entry.
        entries: Entries to be appended, in place of conflicting ones.
        commit_index: The leader's commit index.
    """

    boot_id: int
    term: int
    heartbeat_round: int
    previous_index: int
    previous_term: int
    entries: Sequence[Entry]
    commit_index: int


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """The answer to `AppendEntries`, and to a snapshot chunk of an earlier term's leader.

    Attributes:
        heartbeat_round: Heartbeat round of the message that this answers.
        is_accepted: Whether the sender's log matches the leader's and is durable up to `index`.
        index: See `is_accepted`; if not accepted, an index at which the logs may match.
        durable_index: Index of the last entry on the sender's disk, matching or not; -1 while the
            term is not durable, and in the answer to an earlier term's leader.
    """

    boot_id: int
    term: int
    heartbeat_round: int
    is_accepted: bool
    index: int
    durable_index: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part of a leader's snapshot; also a heartbeat.

    Attributes:
        heartbeat_round: Number of the leader's last heartbeat, returned in the response.
        index: Index of the last entry that the snapshot replaces.
        offset: Offset of `data` in the snapshot, in bytes.
        size: Size of the complete snapshot in bytes.
    """

    boot_id: int
    term: int
    heartbeat_round: int
    index: int
    offset: int
    size: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotChunkResponse:
    """The answer to `SnapshotChunk`.

    Attributes:
        heartbeat_round: Heartbeat round of the message that this answers.
        index: Index of the last entry that the snapshot replaces.
        received_bytes: How many bytes from the start of the snapshot have been received.
    """

    boot_id: int
    term: int
    heartbeat_round: int
    index: int
    received_bytes: int


@dataclass(frozen=True, slots=True)
class DiskRolledBack:
    """Tells a member that its disk lacks state that it confirmed earlier.

    Attributes:
        boot_id: The receiver's boot id, from the message that revealed the rollback.
    """

    boot_id: int


Message = (
    RequestVote
    | VoteResponse
    | AppendEntries
    | AppendResponse
    | SnapshotChunk
    | SnapshotChunkResponse
    | DiskRolledBack
)
