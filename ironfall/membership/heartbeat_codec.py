"""Heartbeat messages, their answers, and the JSON objects that carry them.

Times are tenths of a millisecond.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ironfall.disruption.entry_codec import EntryRejectedError, JsonFields
from ironfall.membership.errors import MalformedMessageError
from ironfall.membership.limits import MAX_HEARTBEATS_PER_MESSAGE
from ironfall.membership.member_status import Status, check_unit, read_status
from ironfall.membership.stamps import Stamp, read_stamp

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat of a unit.

    Attributes:
        incarnation: The unit's incarnation.
        number: Increases with each heartbeat of an incarnation.
        changed_number: The number of the heartbeat that last carried a new status.
        zone: The unit's zone.
        idle_time: For how long a host had no requests, in tenths of a millisecond.
        status: The new status, or None if the aggregator has it.
    """

    incarnation: int
    number: int
    changed_number: int
    zone: str
    idle_time: int
    status: Status | None


@dataclass(frozen=True, slots=True)
class HeartbeatMessage:
    """The heartbeats of all units of one process.

    Attributes:
        heartbeats: By unit.
        stamp: The aggregator's last stamp, echoed; None if the process has none.
        elapsed: The time on the member's clock since it received the stamp.
    """

    heartbeats: Mapping[str, Heartbeat]
    stamp: Stamp | None
    elapsed: int


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """An aggregator's answer to a message of heartbeats.

    Attributes:
        aggregator: The aggregator's name.
        stamp: The stamp that the member is to echo.
        incomplete_units: Units whose status the aggregator needs.
        full_units: Units that the aggregator has no room for.
        refused_units: By unit, why its heartbeat did not count.
        ended_incarnations: By unit, the highest incarnation that has ended.
        drain_markers: By unit, the wanted state and its token.
        switch_spread: Members that change to another aggregator spread their first messages over
            this time.
        markers_age: How old the drain markers are at most; -1 if there are none.
        upstream_age: The age of the last report that the leader accepted; -1 if there is none.
    """

    aggregator: str
    stamp: Stamp
    incomplete_units: list[str]
    full_units: list[str]
    refused_units: dict[str, str]
    ended_incarnations: dict[str, int]
    drain_markers: dict[str, tuple[str, int]]
    switch_spread: int
    markers_age: int
    upstream_age: int


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """What a member reads of an answer; the fields are those of `HeartbeatAnswer`.

    Attributes:
        stamp: Echoed as it came.
    """

    stamp: list[int]
    incomplete_units: set[str]
    full_units: set[str]
    refused_units: dict[str, str]
    ended_incarnations: dict[str, int]
    switch_spread: int
    upstream_age: int


def encode_heartbeat(heartbeat: Heartbeat) -> JsonObject:
    """Returns the JSON object of a heartbeat."""
    encoded: JsonObject = {
        "inc": heartbeat.incarnation,
        "n": heartbeat.number,
        "zone": heartbeat.zone,
        "quiet": heartbeat.idle_time,
    }
    if heartbeat.status is not None:
        encoded["word"] = heartbeat.status
    encoded["changed"] = heartbeat.changed_number
    return encoded


def encode_message(
    heartbeats: Mapping[str, Heartbeat], stamp: list[int] | None, elapsed: int
) -> JsonObject:
    """Returns the JSON object of a message; `stamp` is echoed as it came."""
    beats = {unit: encode_heartbeat(heartbeat) for unit, heartbeat in heartbeats.items()}
    return {"beats": beats, "stamp": stamp, "since": elapsed}


def decode_message(message: Any) -> HeartbeatMessage:
    """Reads a message of heartbeats.

    Raises:
        MalformedMessageError: It can't be read.
    """
    try:
        fields = JsonFields(message, "", "beats stamp since")
        beats = fields.table("beats")
        _check_count(beats)
        stamp = read_stamp(fields)
        elapsed = fields.whole("since", 0)
        heartbeats = {unit: _decode_heartbeat(unit, beat) for unit, beat in beats.items()}
    except (EntryRejectedError, ValueError) as error:
        raise MalformedMessageError(str(error)) from None
    return HeartbeatMessage(heartbeats, stamp, elapsed)


def _check_count(beats: JsonObject) -> None:
    if len(beats) > MAX_HEARTBEATS_PER_MESSAGE:
        raise EntryRejectedError(f"beats are {MAX_HEARTBEATS_PER_MESSAGE} at most in a message")


def _decode_heartbeat(unit: str, beat: Any) -> Heartbeat:
    place = f"beats.{check_unit(unit)}"
    fields = JsonFields(beat, place, "inc n changed zone quiet word")
    status = None
    if beat.get("word") is not None:
        status = read_status(unit, beat["word"], fields.where + "word")
    return Heartbeat(
        incarnation=fields.whole("inc"),
        number=fields.whole("n"),
        changed_number=fields.whole("changed"),
        zone=fields.name("zone"),
        idle_time=fields.whole("quiet", 0),
        status=status,
    )


def encode_answer(answer: HeartbeatAnswer) -> JsonObject:
    """Returns the JSON object of an answer."""
    return {
        "observer": answer.aggregator,
        "inc": answer.stamp.incarnation,
        "stamp": answer.stamp.as_json(),
        "whole": answer.incomplete_units,
        "full": answer.full_units,
        "refused": answer.refused_units,
        "over": answer.ended_incarnations,
        "marks": {unit: list(marker) for unit, marker in answer.drain_markers.items()},
        "spread": answer.switch_spread,
        "marked": answer.markers_age,
        "upstream": answer.upstream_age,
    }


def decode_answer(answer: Mapping[str, Any]) -> ReceivedAnswer:
    """Reads what a member needs of an answer.

    Raises:
        MalformedMessageError: It can't be read.
    """
    try:
        return ReceivedAnswer(
            stamp=list(answer["stamp"]),
            incomplete_units=set(answer["whole"]),
            full_units=set(answer["full"]),
            refused_units=dict(answer["refused"]),
            ended_incarnations=dict(answer["over"]),
            upstream_age=int(answer["upstream"]),
            switch_spread=int(answer["spread"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessageError(f"malformed answer of an observer: {error}") from None
