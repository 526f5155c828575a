"""What clients are told of their requests."""

from enum import Enum


class Outcome(Enum):
    """The result of a client's request; the values are sent to clients.

    Attributes:
        DONE: committed and applied once; the state machine's answer comes with it.
        READ: the state machine may be read now, within the call.
        NOT_LEADER: nothing was done; the last known leader comes with it, if there is one.
        UNKNOWN_OUTCOME: it may be committed or not; to be retried with the same number.
        OVERLOADED: nothing was done; to be retried later, with jitter.
        TOO_LARGE: nothing was done, nor will be.
        SESSION_EXPIRED: the session or number was discarded; not done now, perhaps done before.
        CHANGE_IN_PROGRESS: another change of members, or nothing of this term, is committed yet.
        NO_CHANGE: the member is there already, or is not there, or is the last voter.
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
