"""The states of a rollout, as logged and shown to operators."""

from enum import StrEnum


class RolloutState(StrEnum):
    """Where a rollout stands, as logged and shown."""

    WAITING = "waiting"
    GOING_ON = "going on"
    HALTED = "halted"
    DONE = "done"
    ROLLING_BACK = "back"
    ROLLED_BACK = "back: all are"
    ROLLED_BACK_PARTLY = "back: all but some"


class Direction(StrEnum):
    """What the halt of the rollout's scope asks for."""

    FORWARD = "on"
    BACK = "back"
    HALTED = "halted"
