"""Client requests: admission, proposals waiting to be committed, and linearizable reads."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ironfall.consensus.log import Entry, EntryKind
from ironfall.consensus.outcome import Outcome
from ironfall.consensus.role import Role

if TYPE_CHECKING:
    from ironfall.consensus.node import RaftNode


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a majority confirms this member's leadership.

    Attributes:
        heartbeat_round: The heartbeat round that a majority must answer. Their answers prove that
            no later leader had been elected when the round was sent.
        index: Index up to which entries must be applied before the read.
        token: Token of the request.
    """

    heartbeat_round: int
    index: int
    token: int


class ClientRequests:
    """The client requests that wait at a leader.

    Attributes:
        proposals: Request tokens by the index of the log entry.
        reads: Pending reads in the order of their arrival.
    """

    def __init__(self, node: RaftNode) -> None:
        self.node = node
        self.proposals: dict[int, int] = {}
        self.reads: deque[PendingRead] = deque()

    def open_session(self, token: int) -> None:
        """See `RaftNode.open_session`."""
        if self.admit(token, 0):
            self._propose(token, Entry(self.node.term, EntryKind.OPEN_SESSION))

    def propose(self, token: int, session: int, number: int, command: bytes) -> None:
        """See `RaftNode.propose`."""
        if self.admit(token, len(command)):
            entry = Entry(self.node.term, EntryKind.COMMAND, session, number, command)
            self._propose(token, entry)

    def admit(self, token: int, size: int) -> bool:
        """Returns whether an entry with `size` bytes of data may be appended; if not, replies."""
        if self.node.role is not Role.LEADER:
            self._reply_not_leader(token)
        elif size > self.node.limits.max_entry_bytes:
            self.reply(token, Outcome.TOO_LARGE)
        elif self._is_overloaded():
            self.reply(token, Outcome.OVERLOADED)
        else:
            return True
        return False

    def _is_overloaded(self) -> bool:
        node = self.node
        limits = node.limits
        return (
            len(self.proposals) >= limits.max_pending_requests
            or len(node.pending_writes) >= limits.max_pending_writes
            or len(node.log.entries) - limits.retained_entries >= 2 * limits.max_log_entries
            or node.log.size >= 2 * limits.max_log_bytes
        )

    def _propose(self, token: int, entry: Entry) -> None:
        self.register_proposal(token)
        self.node.append_entries([entry])
        self.node.replication.send_new_entries()

    def register_proposal(self, token: int) -> None:
        """Registers a request whose reply is due when the next entry to be appended is applied."""
        self.proposals[self.node.log.last_index + 1] = token

    def read(self, token: int) -> None:
        """See `RaftNode.read`."""
        node = self.node
        if node.role is not Role.LEADER:
            self._reply_not_leader(token)
            return
        if len(self.reads) >= node.limits.max_pending_requests:
            self.reply(token, Outcome.OVERLOADED)
            return
        index = max(node.commit_index, node.replication.first_index)
        self.reads.append(PendingRead(node.heartbeat_round + 1, index, token))
        if len(self.reads) == 1:
            node.replication.send_heartbeat()

    def confirm_reads(self) -> None:
        """Replies to the reads whose heartbeat round a majority has answered.

        Starts another heartbeat round if the reads that remain wait for one not sent yet.
        """
        if not self.reads:
            return
        confirmed_round = self.node.replication.confirmed_round()
        while self.reads and self._is_ready(self.reads[0], confirmed_round):
            read = self.reads.popleft()
            self.reply(read.token, Outcome.READ)
        if self.reads and self.reads[0].heartbeat_round > self.node.heartbeat_round:
            self.node.replication.send_heartbeat()

    def _is_ready(self, read: PendingRead, confirmed_round: int) -> bool:
        is_confirmed = self._is_confirmed(read, confirmed_round)
        return is_confirmed and read.index <= self.node.commit_index

    def _is_confirmed(self, read: PendingRead, confirmed_round: int) -> bool:
        return read.heartbeat_round <= confirmed_round

    def on_applied(self, index: int, answer: bytes | None) -> None:
        """Replies to the request whose entry was applied, if it came to this member.

        Args:
            index: Index of the entry.
            answer: The state machine's answer; None if the session expired.
        """
        token = self.proposals.pop(index, None)
        if token is None:
            return
        if answer is None:
            self.reply(token, Outcome.SESSION_EXPIRED)
        else:
            self.reply(token, Outcome.DONE, answer)

    def fail_all(self) -> None:
        """Replies to all waiting requests after leadership was lost."""
        proposals = self.proposals
        reads = self.reads
        self.proposals = {}
        self.reads = deque()
        for token in proposals.values():
            self.reply(token, Outcome.UNKNOWN_OUTCOME)
        for read in reads:
            self.reply(read.token, Outcome.NOT_LEADER)

    def _reply_not_leader(self, token: int) -> None:
        self.reply(token, Outcome.NOT_LEADER, self.node.leader.encode())

    def reply(self, token: int, outcome: Outcome, answer: bytes = b"") -> None:
        """Sends the reply to the client request with this token."""
        self.node.environment.reply(token, outcome, answer)
