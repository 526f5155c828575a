"""The states of a rollout, and its direction."""

from enum import StrEnum


class RolloutState(StrEnum):
    """The state of a rollout; the values are logged and shown to operators."""

    WAITING = "waiting"
    GOING_ON = "going on"
    HALTED = "halted"
    DONE = "done"
    ROLLING_BACK = "back"
    ROLLED_BACK = "back: all are"
    ROLLED_BACK_PARTLY = "back: all but some"


class Direction(StrEnum):
    """Where to take the rollout, according to the halt of its scope."""

    FORWARD = "on"
    BACK = "back"
    HALTED = "halted"
