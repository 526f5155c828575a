"""The roles of a member of a consensus group."""

from enum import StrEnum


class Role(StrEnum):
    """What a member is in its current term; the values are shown to operators.

    A pre-candidate has asked for pre-votes: whether its peers would vote for it in the next term.
    """

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"
