"""The messages between members.

Messages may be lost, delayed, repeated and reordered. `boot_id` in each is the sender's (see
`rollback_detection`), and `term` is the sender's current term unless said otherwise.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ironfall.consensus.log import Entry


@dataclass(frozen=True, slots=True)
class RequestVote:
    """A candidate asks for a vote, or a pre-candidate for a pre-vote.

    Attributes:
        term: of the election; in a pre-vote, the term that would follow the sender's.
        is_pre_vote: only asks whether the receiver would vote, and changes nothing.
        last_index: index of the sender's last log entry.
        last_term: term of that entry.
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
        term: of the election if the vote is granted, else the sender's current term.
        is_granted: for a vote, it is durable at the sender.
    """

    boot_id: int
    term: int
    is_pre_vote: bool
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """A leader's heartbeat, with the entries that follow `previous_index`, if any.

    Attributes:
        heartbeat_round: number of the leader's last heartbeat, returned in the response.
        previous_index: index of the entry before `entries`.
        previous_term: term of that entry.
        entries: to be appended, in place of entries that conflict.
        commit_index: the leader's.
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
    """The answer to `AppendEntries`.

    Attributes:
        heartbeat_round: of the message answered.
        is_accepted: the log matches the leader's up to `index`, and is durable there.
        index: if not accepted, where the logs may match.
        durable_index: last entry on the sender's disk, matching or not; -1 while the term is
            not durable.
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
        heartbeat_round: number of the leader's last heartbeat, returned in the response.
        index: of the last entry that the snapshot replaces.
        offset: of `data` in the snapshot, in bytes.
        size: of the whole snapshot in bytes.
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
        heartbeat_round: of the message answered.
        index: of the last entry that the snapshot replaces.
        received_bytes: of the snapshot, counted from its start.
    """

    boot_id: int
    term: int
    heartbeat_round: int
    index: int
    received_bytes: int


@dataclass(frozen=True, slots=True)
class DiskRolledBack:
    """Tells a member that its disk lacks what it answered for.

    Attributes:
        boot_id: the receiver's, as it was in the message that showed it.
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
