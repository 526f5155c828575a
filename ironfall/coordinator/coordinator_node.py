"""A consensus node that can be kept from leading, and that hands its leadership over."""

from ironfall.consensus import RaftNode, Role


class CoordinatorNode(RaftNode):
    """Adds to `RaftNode` what coordinators need beside Raft.

    Attributes:
        leadership_bar: why this node must not lead; empty if it may.
    """

    leadership_bar = ""

    def set_leadership_bar(self, reason: str) -> None:
        """Keeps this node from leading, with a reason; with an empty one, allows it again."""
        self.leadership_bar = reason
        if reason:
            self.step_down(reason)

    def on_timer(self) -> None:
        """Starts no election while this node must not lead."""
        if self.leadership_bar and self.role is not Role.LEADER:
            self.election.reset_timer()
        else:
            super().on_timer()

    def most_advanced_voter(self) -> str:
        """Returns the voter whose log matches furthest; empty if there is no other voter."""
        voters = [
            (peer.match_index, identity)
            for identity, peer in self.replication.peers.items()
            if identity in self.configuration.voters
        ]
        _, identity = max(voters, default=(0, ""))
        return identity

    def on_leader_leaving(self, sender: str, term: int, successor: str) -> None:
        """The leader hands its leadership over: its voters may vote, and the successor asks them.

        Args:
            sender: identity of the leader.
            term: that it leads.
            successor: identity of the member that starts an election.
        """
        if (sender, term) != (self.leader, self.term) or self.role is not Role.FOLLOWER:
            return
        self.leader = ""
        if successor == self.identity:
            self.environment.report(f"{self.identity} takes over the leadership of {sender}")
            # Not before the others know: a member that hears a leader gives no vote.
            self.election.expire_in(self.limits.heartbeat_interval // 4)
