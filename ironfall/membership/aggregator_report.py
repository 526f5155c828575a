"""An aggregator's reports to the leader, their answers, and the JSON objects that carry them.

Times are tenths of a millisecond.
"""

from dataclasses import dataclass
from typing import Any

from ironfall.disruption.entry_codec import EntryRejectedError, JsonFields
from ironfall.membership.errors import MalformedMessageError
from ironfall.membership.heartbeat_codec import JsonObject
from ironfall.membership.member_status import Status
from ironfall.membership.stamps import Stamp, read_integer, read_stamp


@dataclass(frozen=True, slots=True)
class ReportedMember:
    """The state of a member that changed.

    Attributes:
        incarnation: The member's incarnation.
        changed_number: The number of the heartbeat that brought the status.
        age: How long ago it was last heard.
        status: Its status.
        is_gone: Whether it was silent for so long that the aggregator counts it as gone.
    """

    incarnation: int
    changed_number: int
    age: int
    status: Status
    is_gone: bool


@dataclass(frozen=True, slots=True)
class ReportedHeartbeat:
    """The last heartbeat of a unit that the leader asked for.

    Attributes:
        incarnation: The unit's incarnation.
        number: The heartbeat's number.
        idle_time: For how long the host had no requests.
        age: How long ago it was heard.
        status: The unit's status.
    """

    incarnation: int
    number: int
    idle_time: int
    age: int
    status: Status


@dataclass(frozen=True, slots=True)
class AggregatorReport:
    """What an aggregator reports each second.

    Attributes:
        aggregator: The aggregator's name.
        incarnation: The aggregator's incarnation.
        zone: Its zone.
        sequence: Increases with each report of an incarnation.
        leader_stamp: The leader's last stamp, echoed; None if the aggregator has none.
        elapsed: The time on the aggregator's clock since it received the stamp.
        watching_time: For how long members' silence can't have been the aggregator's own fault.
        oldest_age: All members that are neither late nor gone were heard at most so long ago.
        late_ages: The ages of members that are late.
        after_version: The leader has all differences up to this one.
        covered_version: The leader has all up to this one once it has the report.
        version: The number of the last difference.
        members: The differences, by unit.
        wanted: The heartbeats that the leader asked for, by unit.
    """

    aggregator: str
    incarnation: int
    zone: str
    sequence: int
    leader_stamp: Stamp | None
    elapsed: int
    watching_time: int
    oldest_age: int
    late_ages: dict[str, int]
    after_version: int
    covered_version: int
    version: int
    members: dict[str, ReportedMember]
    wanted: dict[str, ReportedHeartbeat]


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """The leader's answer to a report.

    Attributes:
        leader_stamp: The stamp that the aggregator is to echo.
        acknowledged_version: The leader has all differences up to this one.
        incarnation: The highest incarnation of the aggregator that the leader knows.
        reason: Why the report did not count; empty if it did.
        wanted_units: Units of which the leader needs each heartbeat.
        dropped_units: Units that the aggregator may forget if they are gone.
        ended_incarnations: By unit, the highest incarnation that has ended.
    """

    leader_stamp: Stamp | None
    acknowledged_version: int
    incarnation: int
    reason: str
    wanted_units: list[str]
    dropped_units: list[str]
    ended_incarnations: dict[str, int]


def encode_report(report: AggregatorReport) -> JsonObject:
    """Returns the JSON object of a report."""
    stamp = report.leader_stamp
    return {
        "observer": report.aggregator,
        "inc": report.incarnation,
        "zone": report.zone,
        "seq": report.sequence,
        "stamp": stamp.as_json() if stamp else None,
        "since": report.elapsed,
        "watching": report.watching_time,
        "floor": report.oldest_age,
        "late": report.late_ages,
        "after": report.after_version,
        "upto": report.covered_version,
        "version": report.version,
        "members": {unit: _encode_member(member) for unit, member in report.members.items()},
        "wanted": {unit: _encode_heartbeat(wanted) for unit, wanted in report.wanted.items()},
    }


def _encode_member(member: ReportedMember) -> list[Any]:
    return [
        member.incarnation,
        member.changed_number,
        member.age,
        member.status,
        member.is_gone,
    ]


def _encode_heartbeat(heartbeat: ReportedHeartbeat) -> list[Any]:
    return [
        heartbeat.incarnation,
        heartbeat.number,
        heartbeat.idle_time,
        heartbeat.age,
        heartbeat.status,
    ]


def decode_report_answer(answer: Any) -> ReportAnswer:
    """Reads the leader's answer to a report.

    Raises:
        MalformedMessageError: It can't be read.
    """
    try:
        fields = JsonFields(answer, "", "stamp have inc wanted drop over why")
        return ReportAnswer(
            leader_stamp=read_stamp(fields),
            acknowledged_version=fields.whole("have", 0),
            incarnation=fields.whole("inc", 0),
            reason=fields.name("why", ""),
            wanted_units=fields.names("wanted", []),
            dropped_units=fields.names("drop", []),
            ended_incarnations={
                unit: read_integer(incarnation, f"over.{unit}")
                for unit, incarnation in fields.table("over", {}).items()
            },
        )
    except EntryRejectedError as error:
        raise MalformedMessageError(str(error)) from None
