"""The roles of a member of a consensus group."""

from enum import StrEnum


class Role(StrEnum):
    """A member's role in its current term; the values are shown to operators.

    A pre-candidate has requested pre-votes: it asks whether its peers would grant their votes in
    the next term.
    """

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"
