"""A consensus node that can be barred from leading, and that can transfer its leadership."""

from ironfall.consensus import RaftNode, Role


class CoordinatorNode(RaftNode):
    """Adds a bar on leading and leadership transfer to `RaftNode`.

    Attributes:
        leadership_bar: why this node must not lead; empty if it may.
    """

    leadership_bar = ""

    def set_leadership_bar(self, reason: str) -> None:
        """Bars this node from leading, for a reason; an empty reason lifts the bar."""
        self.leadership_bar = reason
        if reason:
            self.step_down(reason)

    def on_timer(self) -> None:
        """Handles the timer; starts no election while this node must not lead."""
        if self.leadership_bar and self.role is not Role.LEADER:
            self.election.reset_timer()
        else:
            super().on_timer()

    def most_advanced_voter(self) -> str:
        """Returns the other voter with the longest matching log; empty if there is none."""
        voters = [
            (peer.match_index, identity)
            for identity, peer in self.replication.peers.items()
            if identity in self.configuration.voters
        ]
        _, identity = max(voters, default=(0, ""))
        return identity

    def on_leader_leaving(self, sender: str, term: int, successor: str) -> None:
        """Handles a leader that leaves: voters may vote at once, the successor starts an election.

        Args:
            sender: the leader's identity.
            term: the leader's term.
            successor: the identity of the member that starts an election.
        """
        if (sender, term) != (self.leader, self.term) or self.role is not Role.FOLLOWER:
            return
        self.leader = ""
        if successor == self.identity:
            self.environment.report(f"{self.identity} takes over the leadership of {sender}")
            # Delayed until the other voters know: a member that hears a leader grants no vote.
            self.election.expire_in(self.limits.heartbeat_interval // 4)
