"""One member of a consensus group: its state, and the events that its process reports.

What a member answers rests on what its disk has confirmed, and nothing is sent before its boot id
is durable. Writes complete in order, so at each completion the pending answer is looked at anew.

The work is divided among components, which share the node's state: `Election`, `Replication` (of a
leader), `LogReceiver` (of a follower), `Snapshots`, `ClientRequests` and `MembershipChanges`.
"""

from collections.abc import Sequence
from typing import ClassVar

from ironfall.consensus.client_requests import ClientRequests
from ironfall.consensus.configuration import Configuration
from ironfall.consensus.election import Election
from ironfall.consensus.environment import Environment, HardState, StateMachine
from ironfall.consensus.limits import RaftLimits
from ironfall.consensus.log import Entry, EntryKind, Log
from ironfall.consensus.log_receiver import LogReceiver
from ironfall.consensus.membership_changes import MembershipChanges
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
from ironfall.consensus.pending_writes import PendingWrites
from ironfall.consensus.persisted_state import PersistedState
from ironfall.consensus.replication import Replication
from ironfall.consensus.role import Role
from ironfall.consensus.rollback_detection import RollbackDetector, SenderStatus, next_boot_id
from ironfall.consensus.sessions import Sessions
from ironfall.consensus.snapshots import Snapshots

# Attestations are remembered of this many times as many members as a group may have.
REMEMBERED_GENERATIONS = 8


class RaftNode:
    """A member of a consensus group. Its methods must not be called from within each other.

    Attributes:
        identity: this member's, see `member_identity`.
        limits: timeouts and bounds.
        environment: the ports to its process.
        state_machine: what committed commands are applied to.
        boot_id: of this start.
        term: the current term.
        vote: who was voted for in this term; empty if nobody.
        role: in this term.
        leader: of this term, as far as known; empty if not.
        leader_heard_at: when the leader was last heard.
        heartbeat_round: number of the last heartbeat, sent as leader or heard as follower.
        log: entries that follow the snapshot, and a few before.
        commit_index: of the last entry known to be committed; all up to it are applied.
        sessions: of clients, as of `commit_index`.
        pending_writes: to the disk.
        is_boot_durable: nothing is sent before.
        is_disk_rolled_back: a peer has said so; this member takes no more part.
        disk_failure: why the disk failed; empty if it did not. This member takes no more part.
        rollback_detector: remembers what peers answered for.
    """

    election_class: ClassVar[type[Election]] = Election
    replication_class: ClassVar[type[Replication]] = Replication
    client_requests_class: ClassVar[type[ClientRequests]] = ClientRequests
    membership_changes_class: ClassVar[type[MembershipChanges]] = MembershipChanges

    def __init__(
        self,
        identity: str,
        limits: RaftLimits,
        environment: Environment,
        state_machine: StateMachine,
        persisted: PersistedState,
    ) -> None:
        self.identity = identity
        self.limits = limits
        self.environment = environment
        self.state_machine = state_machine
        self.boot_id = next_boot_id(persisted.boot_id, environment.random_source)
        self.term = persisted.term
        self.vote = persisted.vote
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_heard_at = -limits.election_timeout
        self.heartbeat_round = 0
        self.log = Log()
        self.commit_index = 0
        self.sessions = Sessions(limits.max_sessions, limits.max_answers_per_session)
        self.is_boot_durable = False
        self.is_disk_rolled_back = False
        self.disk_failure = ""
        self.rollback_detector = RollbackDetector(REMEMBERED_GENERATIONS * limits.max_members)
        self.election = self.election_class(self)
        self.replication = self.replication_class(self)
        self.log_receiver = LogReceiver(self)
        self.snapshots = Snapshots(self)
        self.client_requests = self.client_requests_class(self)
        self.membership_changes = self.membership_changes_class(self)
        self._restore(persisted)
        self.pending_writes = PendingWrites(self.log.last_index)
        self.write_hard_state()
        self.election.reset_timer()

    def _restore(self, persisted: PersistedState) -> None:
        self.membership_changes.reset(0, persisted.initial_configuration)
        if persisted.snapshot:
            self.snapshots.restore(persisted.snapshot)
        self.membership_changes.on_entries_appended(self.log.last_index + 1, persisted.entries)
        self.log.append(persisted.entries)
        if self.log.last_term > self.term:
            self.term = self.log.last_term
            self.vote = ""

    @property
    def configuration(self) -> Configuration:
        """The latest configuration in the log, which counts before it is committed."""
        return self.membership_changes.current

    def peer_identities(self) -> list[str]:
        """Returns all other members."""
        return [member for member in self.configuration.members if member != self.identity]

    # Requests of clients and operators.

    def open_session(self, token: int) -> None:
        """Opens a session; the answer is its number."""
        self.client_requests.open_session(token)

    def propose(self, token: int, session: int, number: int, command: bytes) -> None:
        """Replicates and applies a command, once, however often its number is proposed.

        Args:
            token: returned with the reply.
            session: as answered to `open_session`.
            number: rises with each command of a session.
            command: for the state machine.
        """
        self.client_requests.propose(token, session, number, command)

    def read(self, token: int) -> None:
        """Replies `READ` when the state machine holds all that was confirmed before this call."""
        self.client_requests.read(token)

    def add_member(self, token: int, member: str) -> None:
        """Adds a learner, which becomes a voter when it is up to date."""
        self.membership_changes.add(token, member)

    def remove_member(self, token: int, member: str) -> None:
        """Removes a voter or learner."""
        self.membership_changes.remove(token, member)

    # Messages of peers.

    def on_message(self, sender: str, message: Message) -> None:
        """Handles a message of another member."""
        match message:
            case AppendEntries():
                self.on_append_entries(sender, message)
            case AppendResponse():
                self.on_append_response(sender, message)
            case RequestVote():
                self.on_request_vote(sender, message)
            case VoteResponse():
                self.on_vote_response(sender, message)
            case SnapshotChunk():
                self.on_snapshot_chunk(sender, message)
            case SnapshotChunkResponse():
                self.on_snapshot_chunk_response(sender, message)
            case DiskRolledBack():
                self.on_disk_rolled_back(sender, message)

    def on_request_vote(self, sender: str, message: RequestVote) -> None:
        """A candidate asks for a vote."""
        self.election.on_request_vote(sender, message)

    def on_vote_response(self, sender: str, message: VoteResponse) -> None:
        """A peer grants or refuses a vote."""
        self.election.on_vote_response(sender, message)

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        """The leader sends a heartbeat, perhaps with entries."""
        self.log_receiver.on_append_entries(sender, message)

    def on_append_response(self, sender: str, message: AppendResponse) -> None:
        """A peer answers a heartbeat."""
        self.replication.on_append_response(sender, message)

    def on_snapshot_chunk(self, sender: str, message: SnapshotChunk) -> None:
        """The leader sends part of its snapshot."""
        self.log_receiver.on_snapshot_chunk(sender, message)

    def on_snapshot_chunk_response(self, sender: str, message: SnapshotChunkResponse) -> None:
        """A peer answers part of a snapshot."""
        self.replication.on_snapshot_chunk_response(sender, message)

    def on_disk_rolled_back(self, sender: str, message: DiskRolledBack) -> None:
        """A peer remembers more of this member than its disk holds."""
        if message.boot_id != self.boot_id or self.is_disk_rolled_back:
            return
        self.step_down("its disk is older than what it answered for")
        self.is_disk_rolled_back = True
        self.role = Role.FOLLOWER
        self.election.pending_vote = None
        self.environment.report(
            f"{self.identity} has an older disk, says {sender}:"
            " to be removed, and added as a new one"
        )
        self.environment.quarantine_disk()

    # Events of the disk and the clock.

    def on_write_durable(self, number: int) -> None:
        """All writes up to `number` are durable."""
        if self.disk_failure or self.is_disk_rolled_back:
            return
        self.pending_writes.on_durable(number)
        self.is_boot_durable = self.pending_writes.durable_term >= 0
        if self.pending_writes.durable_term != self.term:
            return
        self.election.send_pending_vote()
        if self.role is Role.LEADER:
            self.replication.advance_commit_index()
        elif self.leader and self.log_receiver.matched_index:
            self.log_receiver.acknowledge()

    def on_disk_failed(self, reason: str) -> None:
        """Writes after the last durable one are lost: this member takes no more part."""
        self.disk_failure = reason
        self.step_down(f"the disk failed: {reason}")
        self.role = Role.FOLLOWER
        self.election.pending_vote = None

    def on_timer(self) -> None:
        """The time set by `set_timer` has come, or may have."""
        if self.role is Role.LEADER:
            self.replication.on_timer()
        else:
            self.election.on_timer()

    # State shared by the components.

    def can_participate(self) -> bool:
        """Returns whether this member may answer its peers."""
        return self.is_boot_durable and not self.disk_failure and not self.is_disk_rolled_back

    def is_disk_stuck(self) -> bool:
        """Returns whether a write takes too long."""
        age = self.pending_writes.oldest_age(self.environment.now())
        return age > self.limits.disk_timeout

    def hears_leader(self) -> bool:
        """Returns whether there is a live leader, who must not be replaced."""
        if self.role is Role.LEADER:
            return True
        silence = self.environment.now() - self.leader_heard_at
        return bool(self.leader) and silence < self.limits.election_timeout

    def durable_index(self) -> int:
        """Returns the last durable entry; 0 while the current term is not durable."""
        if self.pending_writes.durable_term != self.term:
            return 0
        return self.pending_writes.durable_index

    def is_trusted_sender(
        self, sender: str, boot_id: int, term: int, durable_index: int | None = None
    ) -> bool:
        """Returns whether a message may be handled: not if the sender's disk was rolled back.

        Args:
            sender: identity of the member.
            boot_id: of its message.
            term: that its disk holds.
            durable_index: of the last entry on its disk; None if the message doesn't tell.
        """
        if not self.can_participate():
            return False
        status = self.rollback_detector.check(sender, boot_id, term, durable_index)
        if status is SenderStatus.TRUSTED:
            return True
        if status is SenderStatus.ROLLED_BACK:
            self.environment.report(
                f"{self.identity}: {sender} came with an older disk,"
                " and counts no more until it is added anew"
            )
        self.environment.send(sender, DiskRolledBack(boot_id))
        return False

    # Changes of state shared by the components.

    def begin_write(self) -> int:
        """Returns the number of a write that makes the log and the term durable."""
        now = self.environment.now()
        return self.pending_writes.add(self.term, self.log.last_index, now)

    def write_hard_state(self) -> int:
        """Writes boot id, term and vote; returns the number of the write."""
        number = self.begin_write()
        state = HardState(self.boot_id, self.term, self.vote)
        self.environment.write_hard_state(number, state)
        return number

    def append_entries(self, entries: Sequence[Entry]) -> None:
        """Adds entries to the log and to the disk's."""
        first_index = self.log.last_index + 1
        self.membership_changes.on_entries_appended(first_index, entries)
        self.log.append(entries)
        self.environment.append_entries(self.begin_write(), first_index, entries)

    def truncate_log(self, index: int) -> None:
        """Removes all entries from `index` on; the next append removes them from the disk."""
        assert index > self.commit_index, (
            f"{self.identity}: entry {index} was agreed, and is to be cut"
        )
        self.log.truncate_from(index)
        self.pending_writes.truncate(index - 1)
        self.membership_changes.on_log_truncated(index)

    def become_follower(self, term: int, leader: str) -> None:
        """Enters a term, if it is later, and follows its leader, if there is one.

        Args:
            term: not before the current one.
            leader: who was heard; empty if only the term was.
        """
        if term > self.term:
            self.step_down(f"reign {term} was heard of")
            self.term = term
            self.vote = ""
            self.leader = ""
            self.election.pending_vote = None
            self.log_receiver.matched_index = 0
            self.write_hard_state()
        self.role = Role.FOLLOWER
        if leader:
            self.leader = leader
            self.leader_heard_at = self.environment.now()

    def step_down(self, reason: str) -> None:
        """Ends this member's leadership, if it leads; the outcome of proposals is unknown."""
        if self.role is not Role.LEADER:
            return
        self.role = Role.FOLLOWER
        self.leader = ""
        self.environment.report(f"{self.identity} leads reign {self.term} no more: {reason}")
        self.replication.peers = {}
        self.client_requests.fail_all()
        self.election.reset_timer()

    def advance_commit_index(self, index: int) -> None:
        """Applies all entries up to `index`, which are committed."""
        while self.commit_index < index:
            self.commit_index += 1
            self._apply(self.commit_index, self.log.entry_at(self.commit_index))
        if self.role is Role.LEADER:
            self.client_requests.confirm_reads()
        self.snapshots.start_if_due()
        self.snapshots.continue_making()

    def _apply(self, index: int, entry: Entry) -> None:
        answer: bytes | None = b""
        if entry.kind == EntryKind.OPEN_SESSION:
            answer = self.sessions.open(index)
        elif entry.kind == EntryKind.COMMAND:
            answer = self.sessions.apply(
                entry.session, entry.number, lambda: self.state_machine.apply(index, entry.data)
            )
        self.client_requests.on_applied(index, answer)
        if entry.kind == EntryKind.CONFIGURATION:
            self.membership_changes.on_committed(index)
