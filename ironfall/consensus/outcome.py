"""The outcomes of client requests."""

from enum import Enum


class Outcome(Enum):
    """The outcome of a client's request; the values are sent to clients.

    Attributes:
        DONE: Committed and applied once. The reply carries the state machine's answer.
        READ: The state machine may be read now, within the call of `reply`.
        NOT_LEADER: Nothing was done. The reply carries the last known leader, if any.
        UNKNOWN_OUTCOME: The command may or may not be committed; retry with the same number.
        OVERLOADED: Nothing was done, since too much work is pending or the group has the maximum
            number of members; retry later, with jitter.
        TOO_LARGE: Nothing was done; a retry would fail, too.
        SESSION_EXPIRED: The session or the answer was discarded. The command was not applied now,
            but may have been before.
        CHANGE_IN_PROGRESS: The previous membership change is not committed yet, or no entry of this
            term is.
        NO_CHANGE: The member to add is in the group already, or the member to remove is not in it,
            or is its last voter.
    """

    DONE = "done"
    READ = "read"
    NOT_LEADER = "not the leader"
    UNKNOWN_OUTCOME = "leadership lapsed"
    OVERLOADED = "full"
    TOO_LARGE = "too large"
    SESSION_EXPIRED = "forgotten"
    CHANGE_IN_PROGRESS = "another change is under way"
    NO_CHANGE = "nothing to change"
