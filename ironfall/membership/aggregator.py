"""One of a zone's heartbeat aggregators: what it heard of members, and what it reports.

It makes no decisions. Its state is soft: a new aggregator has no members, and its reports show so.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ironfall.disruption.settings import SECOND
from ironfall.disruption.targets import is_host
from ironfall.membership.aggregator_report import (
    AggregatorReport,
    ReportedHeartbeat,
    ReportedMember,
    decode_report_answer,
    encode_report,
)
from ironfall.membership.difference_log import DifferenceLog
from ironfall.membership.heartbeat_codec import (
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatMessage,
    JsonObject,
    decode_message,
    encode_answer,
)
from ironfall.membership.limits import LATE_AFTER
from ironfall.membership.member_status import must_be_logged
from ironfall.membership.members import AggregatorRules, Member, Rejection, RejectionKind
from ironfall.membership.stamps import Stamp, latest_proven_time

MAX_REPORT_INTERVAL = 2 * SECOND
"""After a longer pause between two reports, the process counts as having been suspended."""
LEASES_UNTIL_GONE = 2


@dataclass(slots=True)
class _Silence:
    """For how long members have been silent, as a report has it."""

    oldest_age: int = 0
    heard_members: int = 0
    late_ages: dict[str, int] = field(default_factory=dict)


class HeartbeatAggregator:
    """Answers heartbeats, and reports differences to the leader.

    `on_heartbeats` answers members. Once a second `make_report` is sent to the leader, and its
    answer given to `on_report_answer`. `on_drain_markers` takes the coordinators' drain markers.

    Attributes:
        incarnation: Increases with each start; the leader's answer shows if it knows a higher one.
        members: The last heartbeat and status of each unit.
        watching_since: Since when a member's silence can't be the aggregator's own fault.
        reported_at: When the last report was made.
        leader_stamp: The leader's last stamp.
        is_superseded: Whether another process of its name has a higher incarnation; this one must
            stop then.
    """

    def __init__(
        self, name: str, zone: str, incarnation: int, now: int, rules: AggregatorRules
    ) -> None:
        """Starts without members; the incarnation may be the microseconds since 1970."""
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.rules = rules
        self.members: dict[str, Member] = {}
        self.differences = DifferenceLog()
        self.watching_since = now
        self.reported_at = now
        self.leader_stamp: Stamp | None = None
        self._leader_stamp_at = 0
        self._sequence = 0
        self._report_sent_at = 0
        self._report_accepted_at = -1
        self._wanted_units: set[str] = set()
        self._ended_incarnations: dict[str, int] = {}
        self._drain_markers: dict[str, tuple[str, int]] = {}
        self._markers_read_at = -1
        self._heartbeats = 0
        self._late_heartbeats = 0
        self.is_superseded = False

    @property
    def is_reception_in_doubt(self) -> bool:
        """Whether the last report found that members' silence may be the aggregator's own fault."""
        return self.watching_since == self.reported_at and bool(self.members)

    # Members.

    def on_heartbeats(self, now: int, message: Any) -> JsonObject:
        """Takes a message of heartbeats and returns its answer, both as JSON objects.

        Raises:
            MalformedMessageError: The message can't be read; nothing of it counts.
        """
        decoded = decode_message(message)
        heard_at = self._proven_time(now, decoded.stamp, decoded.elapsed)
        answer = self._empty_answer(now, decoded)
        for unit, heartbeat in decoded.heartbeats.items():
            if heard_at >= 0:
                self._heartbeats += 1
                self._late_heartbeats += heard_at < now - self.rules.lease // 4
            ended_incarnation = self._ended_incarnations.get(unit, -1)
            if heartbeat.incarnation <= ended_incarnation:
                answer.ended_incarnations[unit] = ended_incarnation
            elif heard_at < 0:
                answer.incomplete_units.append(unit)
                if unit in self.members:
                    self.members[unit].has_returned = True
            elif rejection := self._on_heartbeat(now, heard_at, unit, heartbeat):
                _add_rejection(answer, unit, rejection)
        if answer.full_units:
            # It can't tell whether members that it has no room for are silent.
            self.watching_since = now
        return encode_answer(answer)

    def _empty_answer(self, now: int, message: HeartbeatMessage) -> HeartbeatAnswer:
        return HeartbeatAnswer(
            aggregator=self.name,
            stamp=Stamp(self.incarnation, now),
            incomplete_units=[],
            full_units=[],
            refused_units={},
            ended_incarnations={},
            drain_markers={
                unit: self._drain_markers[unit]
                for unit in message.heartbeats
                if unit in self._drain_markers
            },
            switch_spread=self.rules.lease // 4,
            markers_age=_age(now, self._markers_read_at),
            upstream_age=_age(now, self._report_accepted_at),
        )

    def _proven_time(self, now: int, stamp: Stamp | None, elapsed: int) -> int:
        """Returns when a message was made at the earliest; -1 if its stamp proves nothing."""
        if stamp is None or stamp.incarnation != self.incarnation or stamp.time > now:
            return -1
        return latest_proven_time(now, stamp.time, elapsed, 0, self.rules.clock_drift)

    def _on_heartbeat(
        self, now: int, heard_at: int, unit: str, heartbeat: Heartbeat
    ) -> Rejection | None:
        """Takes one heartbeat; returns why it does not count, or None if it does."""
        member = self.members.get(unit)
        is_new = member is None or member.incarnation != heartbeat.incarnation
        if rejection := self._rejection(heartbeat, member, is_new):
            return rejection
        if member is None:
            member = Member(0, 0, 0, 0, {})
            self.members[unit] = member
        member.heard_at = heard_at if is_new else max(member.heard_at, heard_at)
        member.incarnation = heartbeat.incarnation
        member.number = heartbeat.number
        member.changed_number = heartbeat.changed_number
        member.idle_time = heartbeat.idle_time
        if heartbeat.status is not None:
            member.status = heartbeat.status
        has_reappeared = member.is_gone or member.has_returned
        if is_new or has_reappeared or self._must_be_reported(now, unit, member):
            member.is_gone = False
            member.has_returned = False
            self.record_difference(now, unit, member)
        return None

    def _rejection(
        self, heartbeat: Heartbeat, member: Member | None, is_new: bool
    ) -> Rejection | None:
        if heartbeat.zone != self.zone:
            reason = f"zone {heartbeat.zone} is not this observer's, {self.zone}"
            return Rejection(RejectionKind.REFUSED, reason)
        if heartbeat.changed_number > heartbeat.number:
            reason = "it changed in a beat that is yet to come"
            return Rejection(RejectionKind.REFUSED, reason)
        if member is not None:
            last_heard = (member.incarnation, member.number)
            if (heartbeat.incarnation, heartbeat.number) <= last_heard:
                return Rejection(RejectionKind.REFUSED, "no newer than what it said before")
        if heartbeat.status is None:
            if member is None or is_new or member.changed_number != heartbeat.changed_number:
                return Rejection(RejectionKind.INCOMPLETE)
        elif member is None and len(self.members) >= self.rules.max_members:
            return Rejection(RejectionKind.FULL)
        return None

    def _must_be_reported(self, now: int, unit: str, member: Member) -> bool:
        """Whether the leader needs the new status now; other changes are reported once a lease."""
        status = member.status
        reported = member.reported_status
        if status == reported:
            return False
        if is_host(unit) or now - member.reported_at >= self.rules.lease:
            return True
        if reported["version"] != status["version"] or reported["drained"] != status["drained"]:
            return True
        return must_be_logged(reported, status, self.rules.near_limit)

    def record_difference(self, now: int, unit: str, member: Member) -> None:
        """Adds the member's state to the differences that reports carry until acknowledged."""
        self.differences.record(unit)
        member.reported_status = member.status
        member.reported_at = now

    # Drain markers.

    def on_drain_markers(self, asked_at: int, markers: list[tuple[str, str, int]]) -> None:
        """Takes the markers (unit, wanted state, token) of a poll that was made at `asked_at`."""
        self._drain_markers = {unit: (wanted, token) for unit, wanted, token in markers}
        self._markers_read_at = asked_at

    # The leader.

    def make_report(self, now: int) -> JsonObject:
        """Returns the next report; differences without an acknowledgement are part of it again."""
        was_suspended = now - self.reported_at > MAX_REPORT_INTERVAL
        are_heartbeats_late = 2 * self._late_heartbeats > self._heartbeats
        if was_suspended or are_heartbeats_late:
            self.watching_since = now
        self.reported_at = now
        self._heartbeats = 0
        self._late_heartbeats = 0
        silence = self._expire_members(now)
        if silence.heard_members <= len(silence.late_ages):
            # If at least half of the members are late, or there are none, the fault may be its own.
            self.watching_since = now
        pending = self.differences.pending(self.rules.max_differences)
        self._sequence += 1
        self._report_sent_at = now
        report = AggregatorReport(
            aggregator=self.name,
            incarnation=self.incarnation,
            zone=self.zone,
            sequence=self._sequence,
            leader_stamp=self.leader_stamp,
            elapsed=now - self._leader_stamp_at if self.leader_stamp else 0,
            watching_time=now - self.watching_since,
            oldest_age=silence.oldest_age,
            late_ages=silence.late_ages,
            after_version=self.differences.acknowledged,
            covered_version=self.differences.version_covered(pending),
            version=self.differences.version,
            members={unit: _reported_member(now, self.members[unit]) for unit in pending},
            wanted=self._wanted_heartbeats(now),
        )
        return encode_report(report)

    def _expire_members(self, now: int) -> _Silence:
        """Marks members as gone that were silent for too long; returns the ages of the others."""
        silence = _Silence()
        for unit, member in self.members.items():
            if member.is_gone:
                continue
            age = now - member.heard_at
            if age >= LEASES_UNTIL_GONE * self.rules.lease:
                member.is_gone = True
                self.record_difference(now, unit, member)
            elif age >= LATE_AFTER:
                silence.late_ages[unit] = age
            else:
                silence.oldest_age = max(silence.oldest_age, age)
                silence.heard_members += 1
        return silence

    def _wanted_heartbeats(self, now: int) -> dict[str, ReportedHeartbeat]:
        heartbeats = {}
        for unit in sorted(self._wanted_units):
            member = self.members.get(unit)
            if member is None or member.is_gone:
                continue
            heartbeats[unit] = ReportedHeartbeat(
                incarnation=member.incarnation,
                number=member.number,
                idle_time=member.idle_time,
                age=now - member.heard_at,
                status=member.status,
            )
        return heartbeats

    def on_report_answer(self, now: int, report: Mapping[str, Any], answer: Any) -> None:
        """Takes the leader's answer to `report`.

        Raises:
            MalformedMessageError: The answer can't be read.
        """
        decoded = decode_report_answer(answer)
        if decoded.incarnation > self.incarnation:
            # If the leader has taken reports of this process, another one uses its name. Otherwise
            # the clock was set back since an earlier start, and it takes a higher incarnation.
            self.is_superseded = self.is_superseded or self._report_accepted_at >= 0
            self.incarnation = decoded.incarnation + 1
            self.leader_stamp = None
            return
        is_late = report["inc"] != self.incarnation or report["seq"] != self._sequence
        if is_late:
            return
        self.leader_stamp = decoded.leader_stamp
        self._leader_stamp_at = now
        self.differences.acknowledge(decoded.acknowledged_version)
        if decoded.reason:
            return
        self._report_accepted_at = self._report_sent_at
        self._wanted_units = set(decoded.wanted_units)
        self._drop_gone(decoded.dropped_units)
        self._ended_incarnations = decoded.ended_incarnations

    def _drop_gone(self, units: list[str]) -> None:
        for unit in units:
            member = self.members.get(unit)
            if member is not None and member.is_gone:
                del self.members[unit]
                self.differences.forget(unit)

    # Operators.

    def inspect(self, now: int) -> JsonObject:
        """Returns what operators are shown."""
        present = [member for member in self.members.values() if not member.is_gone]
        late = [member for member in present if now - member.heard_at >= LATE_AFTER]
        return {
            "observer": self.name,
            "zone": self.zone,
            "inc": self.incarnation,
            "members": len(self.members),
            "room": self.rules.max_members,
            "gone": len(self.members) - len(present),
            "late": len(late),
            "upstream": _age(now, self._report_accepted_at),
            "watching": now - self.watching_since,
            "differences": self.differences.version - self.differences.acknowledged,
            "superseded": self.is_superseded,
        }


def _add_rejection(answer: HeartbeatAnswer, unit: str, rejection: Rejection) -> None:
    if rejection.kind is RejectionKind.INCOMPLETE:
        answer.incomplete_units.append(unit)
    elif rejection.kind is RejectionKind.FULL:
        answer.full_units.append(unit)
    else:
        answer.refused_units[unit] = rejection.reason


def _reported_member(now: int, member: Member) -> ReportedMember:
    return ReportedMember(
        incarnation=member.incarnation,
        changed_number=member.changed_number,
        age=now - member.heard_at,
        status=member.status,
        is_gone=member.is_gone,
    )


def _age(now: int, time: int) -> int:
    """Returns how long ago a time was; -1 if it never was."""
    return now - time if time >= 0 else -1
