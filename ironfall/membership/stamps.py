"""Stamps: a receiver's clock readings, echoed by the sender to bound when a message was made.

Clocks of two machines are never compared. The receiver hands out its own time; the sender returns
it with the time that passed on the sender's clock since. This tells the receiver when the message
was made at the earliest.
"""

from dataclasses import dataclass
from typing import Any

from ironfall.disruption.entry_codec import EntryRejectedError, JsonFields
from ironfall.disruption.settings import MILLION

STAMP_LENGTH = 2
INTEGER_LIMIT = 1 << 62
"""Incarnations and times in messages are below it."""


@dataclass(frozen=True, slots=True)
class Stamp:
    """A clock reading of one incarnation of the process that handed it out."""

    incarnation: int
    time: int

    def as_json(self) -> list[int]:
        """Returns the stamp in its JSON form."""
        return [self.incarnation, self.time]


def latest_proven_time(now: int, stamp_time: int, elapsed: int, age: int, drift: int) -> int:
    """Returns the latest time at which the information is certain to have been current.

    The time is one of the receiver's clock.

    Args:
        now: The receiver's clock; the result is never later.
        stamp_time: The time that the receiver handed out.
        elapsed: The time on the sender's clock since it received the stamp.
        age: How old the information was when the message was made.
        drift: How far the two clocks may run apart, in parts per million.
    """
    offset = elapsed - age
    drift_bound = abs(offset) * drift // MILLION
    return min(now, stamp_time + offset - drift_bound)


def read_stamp(fields: JsonFields) -> Stamp | None:
    """Reads the optional field `stamp`; raises `EntryRejectedError`."""
    value = fields.held.get("stamp")
    if value is None:
        return None
    if not isinstance(value, list) or len(value) != STAMP_LENGTH:
        raise EntryRejectedError(f"{fields.where}stamp must be an incarnation and a time")
    incarnation, time = value
    return Stamp(read_integer(incarnation, "stamp"), read_integer(time, "stamp"))


def read_integer(value: Any, where: str) -> int:
    """Returns the value, if it is an integer from 0 and below `INTEGER_LIMIT`.

    Raises:
        EntryRejectedError: It is not.
    """
    if type(value) is not int or not 0 <= value < INTEGER_LIMIT:
        raise EntryRejectedError(f"{where} must be a whole number")
    return value
