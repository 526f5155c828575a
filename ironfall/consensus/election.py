"""Leader election: pre-votes, votes, and the election timer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ironfall.consensus.messages import RequestVote, VoteResponse
from ironfall.consensus.role import Role

if TYPE_CHECKING:
    from ironfall.consensus.node import RaftNode


@dataclass
class PendingVote:
    """A vote that is granted but not yet durable.

    Attributes:
        candidate: Member that gets the vote; this member itself if it is a candidate.
        write_number: Number of the write that makes the vote durable.
    """

    candidate: str
    write_number: int


class Election:
    """A member's part in elections.

    Attributes:
        votes: Members that granted the pre-vote or vote that this member requested.
        pending_vote: Vote to be sent, or counted if it is this member's own, once it is durable.
        deadline: Time at which an election starts unless a leader is heard first.
    """

    def __init__(self, node: RaftNode) -> None:
        self.node = node
        self.votes: set[str] = set()
        self.pending_vote: PendingVote | None = None
        self.deadline = 0

    # Election timer.

    def reset_timer(self) -> None:
        """Restarts the timer with a new random election timeout."""
        environment = self.node.environment
        self.deadline = environment.now() + self._random_timeout()
        environment.set_timer(self.deadline - environment.now())

    def expire_in(self, delay: int) -> None:
        """Sets the deadline to `delay` from now, in tenths of a millisecond."""
        environment = self.node.environment
        self.deadline = environment.now() + delay
        environment.set_timer(delay)

    def _random_timeout(self) -> int:
        timeout = self.node.limits.election_timeout
        return timeout + int(self.node.environment.random_source.random() * timeout)

    def on_timer(self) -> None:
        """Requests pre-votes if the deadline has passed without a message from a leader."""
        node = self.node
        now = node.environment.now()
        if node.leader and node.leader_heard_at + node.limits.election_timeout > self.deadline:
            self.deadline = node.leader_heard_at + self._random_timeout()
        if now < self.deadline:
            node.environment.set_timer(self.deadline - now)
            return
        self.reset_timer()
        is_voter = node.identity in node.configuration.voters
        if node.can_participate() and is_voter and not node.is_disk_stuck():
            self._request_pre_votes()

    # Candidate.

    def _request_pre_votes(self) -> None:
        node = self.node
        node.leader = ""
        node.role = Role.PRE_CANDIDATE
        self.votes = {node.identity}
        self._send_requests(node.term + 1, is_pre_vote=True)
        if node.configuration.has_quorum(self.votes):
            self.start()

    def start(self) -> None:
        """Becomes a candidate in the next term; requests votes once its own vote is durable."""
        node = self.node
        node.role = Role.CANDIDATE
        node.leader = ""
        node.term += 1
        node.vote = node.identity
        node.log_receiver.matched_index = 0
        self.votes = set()
        self.pending_vote = PendingVote(node.identity, node.write_hard_state())

    def _request_votes(self) -> None:
        node = self.node
        if node.role is not Role.CANDIDATE:
            return
        self._count_vote(node.identity)
        # The only voter of a group has already won with its own vote.
        if node.role is Role.CANDIDATE:
            self._send_requests(node.term, is_pre_vote=False)

    def _send_requests(self, term: int, *, is_pre_vote: bool) -> None:
        node = self.node
        log = node.log
        for peer in node.peer_identities():
            request = RequestVote(node.boot_id, term, is_pre_vote, log.last_index, log.last_term)
            node.environment.send(peer, request)

    def on_vote_response(self, sender: str, message: VoteResponse) -> None:
        """Counts a granted pre-vote or vote; enters a later term that a refusal names."""
        node = self.node
        # A granted pre-vote carries the next term, which the sender has not entered.
        is_granted_pre_vote = message.is_pre_vote and message.is_granted
        sender_term = message.term - is_granted_pre_vote
        if not node.is_trusted_sender(sender, message.boot_id, sender_term):
            return
        if not message.is_granted:
            if message.term > node.term:
                node.become_follower(message.term, "")
            return
        if message.is_pre_vote:
            self._on_pre_vote(sender, message.term)
            return
        node.rollback_detector.record(sender, message.boot_id, message.term, 0)
        if node.role is Role.CANDIDATE and message.term == node.term:
            self._count_vote(sender)

    def _on_pre_vote(self, voter: str, term: int) -> None:
        node = self.node
        if node.role is not Role.PRE_CANDIDATE or term != node.term + 1:
            return
        self.votes.add(voter)
        if node.configuration.has_quorum(self.votes):
            self.start()

    def _count_vote(self, voter: str) -> None:
        self.votes.add(voter)
        if self.node.configuration.has_quorum(self.votes):
            self.node.replication.become_leader()

    # Voter.

    def on_request_vote(self, sender: str, message: RequestVote) -> None:
        """Grants or refuses a vote or pre-vote; sends no answer while a live leader is heard."""
        node = self.node
        # A pre-vote carries the next term, which the sender has not entered.
        sender_term = message.term - message.is_pre_vote
        if not node.is_trusted_sender(sender, message.boot_id, sender_term, message.last_index):
            return
        if not node.configuration.voters or node.hears_leader():
            return
        if message.is_pre_vote:
            self._answer_pre_vote(sender, message)
            return
        if message.term > node.term:
            node.become_follower(message.term, "")
        if message.term == node.term and self._may_vote_for(sender, message):
            self._grant_vote(sender)
        else:
            self._send_response(sender, is_granted=False)

    def _answer_pre_vote(self, sender: str, message: RequestVote) -> None:
        node = self.node
        is_granted = message.term > node.term and self._is_up_to_date(message)
        term = message.term if is_granted else node.term
        response = VoteResponse(node.boot_id, term, is_pre_vote=True, is_granted=is_granted)
        node.environment.send(sender, response)

    def _may_vote_for(self, candidate: str, message: RequestVote) -> bool:
        return self._is_up_to_date(message) and self.node.vote in ("", candidate)

    def _is_up_to_date(self, message: RequestVote) -> bool:
        """Returns whether the candidate's log is at least as up to date as this member's."""
        log = self.node.log
        return (message.last_term, message.last_index) >= (log.last_term, log.last_index)

    def _grant_vote(self, candidate: str) -> None:
        node = self.node
        if not node.vote:
            node.vote = candidate
            self.pending_vote = PendingVote(candidate, node.write_hard_state())
            self.reset_timer()
        if self.pending_vote is None or self._is_durable(self.pending_vote):
            self.pending_vote = None
            self._send_response(candidate, is_granted=True)

    def send_pending_vote(self) -> None:
        """Sends the pending vote once durable; if it is this candidate's own, requests votes."""
        pending = self.pending_vote
        if pending is None or not self._is_durable(pending):
            return
        self.pending_vote = None
        if pending.candidate == self.node.identity:
            self._request_votes()
        else:
            self._send_response(pending.candidate, is_granted=True)

    def _is_durable(self, vote: PendingVote) -> bool:
        return self.node.pending_writes.is_durable(vote.write_number)

    def _send_response(self, candidate: str, *, is_granted: bool) -> None:
        node = self.node
        response = VoteResponse(node.boot_id, node.term, is_pre_vote=False, is_granted=is_granted)
        node.environment.send(candidate, response)
