"""One member of a consensus group: its state, and its handlers for the events of its process.

A member only confirms what is durable on its disk, and sends nothing before its boot id is durable.
Writes complete in order, so each completion checks whether the pending answer can be sent.

The work is divided among components that share the node's state: `Election`, `Replication` (on a
leader), `LogReceiver` (on a follower), `Snapshots`, `ClientRequests` and `MembershipChanges`.
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

# Attestations are kept for this many times the maximum number of members.
REMEMBERED_GENERATIONS = 8


class RaftNode:
    """A member of a consensus group. The process must not call it from within another call.

    Attributes:
        identity: This member's identity, see `member_identity`.
        limits: Timeouts and limits.
        environment: Interfaces to the process.
        state_machine: What committed commands are applied to.
        boot_id: Identifies this start.
        term: The current term.
        vote: Member that got this member's vote in the term; empty if none.
        role: Role in the current term.
        leader: Leader of the term; empty if unknown.
        leader_heard_at: Time of the last message from the leader.
        heartbeat_round: Number of the last heartbeat, sent as leader or received as follower.
        log: Entries after the snapshot, and a few before it.
        commit_index: Index of the last entry known to be committed; all up to it are applied.
        sessions: Client sessions as of `commit_index`.
        pending_writes: Writes handed to the disk and not durable yet.
        is_boot_durable: Whether the boot id is durable; nothing is sent before.
        is_disk_rolled_back: Whether a peer reported that this disk was rolled back; if so, this
            member no longer participates.
        disk_failure: Why the disk failed; empty if it did not. After a failure this member no
            longer participates.
        rollback_detector: Remembers what peers have confirmed.
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
        """The latest configuration in the log, which takes effect before it is committed."""
        return self.membership_changes.current

    def peer_identities(self) -> list[str]:
        """Returns the identities of all other members."""
        return [member for member in self.configuration.members if member != self.identity]

    # Requests from clients and operators.

    def open_session(self, token: int) -> None:
        """Opens a client session; the answer is its number."""
        self.client_requests.open_session(token)

    def propose(self, token: int, session: int, number: int, command: bytes) -> None:
        """Replicates and applies a command, only once even if its number is proposed repeatedly.

        Args:
            token: Passed back with the reply.
            session: Session number, from the answer to `open_session`.
            number: Number of the command; must increase with each command of a session.
            command: Command for the state machine.
        """
        self.client_requests.propose(token, session, number, command)

    def read(self, token: int) -> None:
        """Replies `READ` once the state machine reflects all writes confirmed before this call."""
        self.client_requests.read(token)

    def add_member(self, token: int, member: str) -> None:
        """Adds a learner, which becomes a voter once it is up to date."""
        self.membership_changes.add(token, member)

    def remove_member(self, token: int, member: str) -> None:
        """Removes a voter or learner."""
        self.membership_changes.remove(token, member)

    # Messages from peers.

    def on_message(self, sender: str, message: Message) -> None:
        """Handles a message from another member."""
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
        """Handles a request for a vote or pre-vote."""
        self.election.on_request_vote(sender, message)

    def on_vote_response(self, sender: str, message: VoteResponse) -> None:
        """Handles a peer's answer to a request for a vote or pre-vote."""
        self.election.on_vote_response(sender, message)

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Handles a leader's heartbeat and the entries in it."""
        self.log_receiver.on_append_entries(sender, message)

    def on_append_response(self, sender: str, message: AppendResponse) -> None:
        """Handles a peer's answer to a heartbeat."""
        self.replication.on_append_response(sender, message)

    def on_snapshot_chunk(self, sender: str, message: SnapshotChunk) -> None:
        """Handles a chunk of a leader's snapshot."""
        self.log_receiver.on_snapshot_chunk(sender, message)

    def on_snapshot_chunk_response(self, sender: str, message: SnapshotChunkResponse) -> None:
        """Handles a peer's answer to a snapshot chunk."""
        self.replication.on_snapshot_chunk_response(sender, message)

    def on_disk_rolled_back(self, sender: str, message: DiskRolledBack) -> None:
        """Stops participating, since a peer reports that this disk lacks confirmed state."""
        if message.boot_id != self.boot_id or self.is_disk_rolled_back:
            return
        self.step_down("its disk was rolled back")
        self.is_disk_rolled_back = True
        self.role = Role.FOLLOWER
        self.election.pending_vote = None
        self.environment.report(
            f"{self.identity} stops participating: {sender} reported that this member's disk was"
            " rolled back; remove this member and add it with a new identity"
        )
        self.environment.quarantine_disk()

    # Disk and timer events.

    def on_write_durable(self, number: int) -> None:
        """Records that all writes up to `number` are durable, and sends what waited for them."""
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
        """Stops participating, because writes after the last durable one are lost."""
        self.disk_failure = reason
        self.step_down(f"the disk failed: {reason}")
        self.role = Role.FOLLOWER
        self.election.pending_vote = None

    def on_timer(self) -> None:
        """Does what is due; may be called before the time set by `set_timer`."""
        if self.role is Role.LEADER:
            self.replication.on_timer()
        else:
            self.election.on_timer()

    # State shared by the components.

    def can_participate(self) -> bool:
        """Returns whether this member may communicate with its peers."""
        return self.is_boot_durable and not self.disk_failure and not self.is_disk_rolled_back

    def is_disk_stuck(self) -> bool:
        """Returns whether the oldest pending write is older than `disk_timeout`."""
        age = self.pending_writes.oldest_age(self.environment.now())
        return age > self.limits.disk_timeout

    def hears_leader(self) -> bool:
        """Returns whether a live leader is known, so that no vote may be granted."""
        if self.role is Role.LEADER:
            return True
        elapsed = self.environment.now() - self.leader_heard_at
        return bool(self.leader) and elapsed < self.limits.election_timeout

    def durable_index(self) -> int:
        """Returns the index of the last durable entry; 0 while the current term is not durable."""
        if self.pending_writes.durable_term != self.term:
            return 0
        return self.pending_writes.durable_index

    def is_trusted_sender(
        self, sender: str, boot_id: int, term: int, durable_index: int | None = None
    ) -> bool:
        """Returns whether a message may be handled.

        It may not if this member can't participate, or if the message shows an earlier boot or a
        rolled-back disk of the sender, of which the sender is then notified.

        Args:
            sender: Identity of the sender.
            boot_id: Boot id in its message.
            term: Term that its disk holds.
            durable_index: Index of the last entry on its disk; None if unknown.
        """
        if not self.can_participate():
            return False
        status = self.rollback_detector.check(sender, boot_id, term, durable_index)
        if status is SenderStatus.TRUSTED:
            return True
        if status is SenderStatus.ROLLED_BACK:
            self.environment.report(
                f"{self.identity} ignores {sender}: its disk was rolled back;"
                " remove it and add it with a new identity"
            )
        self.environment.send(sender, DiskRolledBack(boot_id))
        return False

    # State changes shared by the components.

    def begin_write(self) -> int:
        """Registers a write that makes the current log and term durable; returns its number."""
        now = self.environment.now()
        return self.pending_writes.add(self.term, self.log.last_index, now)

    def write_hard_state(self) -> int:
        """Writes boot id, term and vote; returns the number of the write."""
        number = self.begin_write()
        state = HardState(self.boot_id, self.term, self.vote)
        self.environment.write_hard_state(number, state)
        return number

    def append_entries(self, entries: Sequence[Entry]) -> None:
        """Appends entries to the log in memory and on the disk."""
        first_index = self.log.last_index + 1
        self.membership_changes.on_entries_appended(first_index, entries)
        self.log.append(entries)
        self.environment.append_entries(self.begin_write(), first_index, entries)

    def truncate_log(self, index: int) -> None:
        """Removes all entries from `index` on; the next append removes them from the disk."""
        assert index > self.commit_index, (
            f"{self.identity}: cannot truncate from entry {index}, which is committed"
        )
        self.log.truncate_from(index)
        self.pending_writes.truncate(index - 1)
        self.membership_changes.on_log_truncated(index)

    def become_follower(self, term: int, leader: str) -> None:
        """Enters `term` if it is later than the current one, and follows its leader if known.

        Args:
            term: The current term or a later one.
            leader: Leader of the term; empty if unknown.
        """
        if term > self.term:
            self.step_down(f"a message with the later term {term} was received")
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
        """Ends this member's leadership, if it leads; pending proposals get `UNKNOWN_OUTCOME`."""
        if self.role is not Role.LEADER:
            return
        self.role = Role.FOLLOWER
        self.leader = ""
        self.environment.report(
            f"{self.identity} stepped down as leader of term {self.term}: {reason}"
        )
        self.replication.peers = {}
        self.client_requests.fail_all()
        self.election.reset_timer()

    def advance_commit_index(self, index: int) -> None:
        """Applies all entries up to `index`, which must be committed."""
        while self.commit_index < index:
            self.commit_index += 1
            self._apply(self.commit_index, self.log.entry_at(self.commit_index))
        if self.role is Role.LEADER:
            self.client_requests.confirm_reads()
        self.snapshots.start_if_due()
        self.snapshots.make_next_chunks()

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
