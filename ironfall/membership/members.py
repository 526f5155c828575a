"""An aggregator's settings, its record of each member, and why it rejects a heartbeat."""

from dataclasses import dataclass, field
from enum import Enum, auto

from ironfall.membership.limits import MAX_REPORT_DIFFERENCES
from ironfall.membership.member_status import Status

DEFAULT_MAX_MEMBERS = 16_384


@dataclass(frozen=True, slots=True)
class AggregatorRules:
    """The settings of an aggregator.

    Attributes:
        lease: For how long a member counts as live after a heartbeat, in tenths of a millisecond.
        clock_drift: How far two clocks may run apart, in parts per million.
        near_limit: From this use of a limit, in parts per million, a director counts as near it.
        max_members: Members that it has room for, with those gone that it may not forget yet.
        max_differences: The most differences of one report.
    """

    lease: int
    clock_drift: int
    near_limit: int
    max_members: int = DEFAULT_MAX_MEMBERS
    max_differences: int = MAX_REPORT_DIFFERENCES


@dataclass(slots=True)
class Member:
    """The last heartbeat and status of a unit.

    Attributes:
        incarnation: The unit's incarnation.
        number: The number of its last heartbeat.
        changed_number: The number of the heartbeat that brought `status`.
        heard_at: The latest time, by the aggregator's clock, at which it is proven to have been
            live.
        status: Its last status.
        idle_time: For how long a host had no requests, in tenths of a millisecond.
        reported_status: The status of the last difference.
        reported_at: When that difference was made.
        is_gone: Whether it was silent for too long.
        has_returned: Whether it came back from another aggregator: the leader must learn whose
            status is the newer one.
    """

    incarnation: int
    number: int
    changed_number: int
    heard_at: int
    status: Status
    idle_time: int = 0
    reported_status: Status = field(default_factory=dict)
    reported_at: int = 0
    is_gone: bool = False
    has_returned: bool = False


class RejectionKind(Enum):
    """Why a heartbeat did not count."""

    INCOMPLETE = auto()
    FULL = auto()
    REFUSED = auto()


@dataclass(frozen=True, slots=True)
class Rejection:
    """A heartbeat that did not count; `reason` is for the member's operators."""

    kind: RejectionKind
    reason: str = ""
