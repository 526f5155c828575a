"""One of a zone's observers: what it heard of members, and what it reports. It decides nothing."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from ironfall.disruption.entry_codec import EntryRejectedError, JsonFields
from ironfall.disruption.settings import SECOND
from ironfall.membership.limits import (
    LATE_AFTER,
    MAX_HEARTBEATS_PER_MESSAGE,
    MAX_REPORT_DIFFERENCES,
)
from ironfall.membership.member_status import Status, check_unit, must_be_logged, read_status
from ironfall.membership.stamps import latest_proven_time, read_integer

STILL = 2 * SECOND  # between two reports: longer, and it stood still


@dataclass(slots=True)
class Member:
    """A unit as it was last heard."""

    inc: int
    n: int
    changed: int
    heard: int  # by this observer's clock, as proven
    word: Status
    quiet: int = 0
    told: Status = field(
        default_factory=dict
    )  # the word of the last difference, and when that was made
    told_at: int = 0
    gone: bool = False
    anew: bool = (
        False  # it came back from another observer: the leader must know whose word is the newer
    )


class HeartbeatAggregator:
    """Soft state: a new one knows nothing, and says so. `beats` answers members; once a second `report` is said to the
    leader and its answer given to `reported`; `marked` takes what a poll of the keepers' marks brought."""

    def __init__(
        self,
        name: str,
        zone: str,
        inc: int,
        now: int,
        lease: int,
        drift: int,
        near: int,
        room: int = 16_384,
        part: int = MAX_REPORT_DIFFERENCES,
    ) -> None:
        """`inc` counts up over starts (millionths of a second since 1970 will do: the leader knows a higher one and
        says so). `drift` and `near` of a million, `room` in members, those that are gone and not yet in the log among
        them; `part`: differences of one report."""
        self.name, self.zone, self.inc = name, zone, inc
        self.lease, self.drift, self.near, self.room, self.part = lease, drift, near, room, part
        self.members: dict[str, Member] = {}
        self.changes: OrderedDict[str, int] = (
            OrderedDict()
        )  # by unit, the version of its last difference: oldest first
        self.version = self.acked = self.seq = 0
        self.watching = self.reported_at = now
        self.stamp: tuple[int, int] | None = None  # the leader's, and when it came
        self.stamp_at = self.sent_at = 0
        self.taken = -1  # when the last report that is known to be taken was made
        self.wanted: set[str] = set()
        self.over: dict[str, int] = {}  # of members: incarnations up to this are over
        self.marks: dict[str, tuple[str, int]] = {}
        self.marked_at = -1
        self.beaten = self.slow = 0  # beats since the last report, and those of them that came late
        self.superseded = False  # another of this name has a higher incarnation: this one is to end

    # members

    def beats(self, now: int, message: Any) -> dict[str, Any]:
        """The answer to a message of beats. Raises `ValueError` naming the place of what is malformed; then nothing of
        the message counts."""
        said, stamp, since = self._read(message)
        heard = self._proven(now, stamp, since)
        whole: list[str] = []
        full: list[str] = []
        refused: dict[str, str] = {}
        over: dict[str, int] = {}
        for unit, beat in said.items():
            self.beaten += heard >= 0
            self.slow += 0 <= heard < now - self.lease // 4
            if beat["inc"] <= self.over.get(unit, -1):
                over[unit] = self.over[unit]
            elif heard < 0:
                whole.append(unit)
                if unit in self.members:
                    self.members[unit].anew = True
            elif why := self._beat(now, heard, unit, beat):
                (whole if why == "whole" else full).append(unit) if why in (
                    "whole",
                    "full",
                ) else refused.update({unit: why})
        if full:
            self.watching = now  # whom there was no room for it can't miss
        marks = {unit: list(self.marks[unit]) for unit in said if unit in self.marks}
        return {
            "observer": self.name,
            "inc": self.inc,
            "stamp": [self.inc, now],
            "whole": whole,
            "full": full,
            "refused": refused,
            "over": over,
            "marks": marks,
            "spread": self.lease // 4,
            "marked": now - self.marked_at if self.marked_at >= 0 else -1,
            "upstream": now - self.taken if self.taken >= 0 else -1,
        }

    def _proven(self, now: int, stamp: tuple[int, int] | None, since: int) -> int:
        """When a message was said, whatever time it was on its way; -1: a stamp of another incarnation, or none, proves
        nothing."""
        if stamp is None or stamp[0] != self.inc or stamp[1] > now:
            return -1
        return latest_proven_time(now, stamp[1], since, 0, self.drift)

    def _read(self, message: Any) -> tuple[dict[str, dict[str, Any]], tuple[int, int] | None, int]:
        try:
            f = JsonFields(message, "", "beats stamp since")
            beats = f.table("beats")
            if len(beats) > MAX_HEARTBEATS_PER_MESSAGE:
                raise EntryRejectedError(
                    f"beats are {MAX_HEARTBEATS_PER_MESSAGE} at most in a message"
                )
            stamp = _stamp(f)
            since = f.whole("since", 0)
            said: dict[str, dict[str, Any]] = {}
            for unit, one in beats.items():
                b = JsonFields(one, f"beats.{check_unit(unit)}", "inc n changed zone quiet word")
                word = (
                    read_status(unit, one["word"], b.where + "word")
                    if one.get("word") is not None
                    else None
                )
                said[unit] = {
                    "inc": b.whole("inc"),
                    "n": b.whole("n"),
                    "changed": b.whole("changed"),
                    "zone": b.name("zone"),
                    "quiet": b.whole("quiet", 0),
                    "word": word,
                }
        except EntryRejectedError as wrong:
            raise ValueError(str(wrong)) from None
        return said, stamp, since

    def _beat(self, now: int, heard: int, unit: str, beat: dict[str, Any]) -> str:
        """Why it does not count, if so."""
        if beat["zone"] != self.zone:
            return f"zone {beat['zone']} is not this observer's, {self.zone}"
        if beat["changed"] > beat["n"]:
            return "it changed in a beat that is yet to come"
        one = self.members.get(unit)
        if one is not None and (beat["inc"], beat["n"]) <= (one.inc, one.n):
            return "no newer than what it said before"
        word, fresh = beat["word"], one is None or one.inc != beat["inc"]
        if word is None and (one is None or fresh or one.changed != beat["changed"]):
            return "whole"
        if one is None:
            if len(self.members) >= self.room:
                return "full"
            one = self.members[unit] = Member(0, 0, 0, 0, {})
        one.heard = heard if fresh else max(one.heard, heard)
        one.inc, one.n, one.changed, one.quiet = (
            beat["inc"],
            beat["n"],
            beat["changed"],
            beat["quiet"],
        )
        if word is not None:
            one.word = word
        if fresh or one.gone or one.anew or self._differs(now, unit, one):
            one.gone = one.anew = False
            self._change(now, unit, one)
        return ""

    def _differs(self, now: int, unit: str, one: Member) -> bool:
        """Whether the leader is to be told anew. Figures that decide nothing go to it once a lease."""
        if one.word == one.told:
            return False
        if (
            unit.startswith("host/")
            or now - one.told_at >= self.lease
            or one.told["version"] != one.word["version"]
        ):
            return True
        return one.told["drained"] != one.word["drained"] or must_be_logged(
            one.told, one.word, self.near
        )

    def _change(self, now: int, unit: str, one: Member) -> None:
        self.version += 1
        self.changes[unit] = self.version
        self.changes.move_to_end(unit)
        one.told, one.told_at = one.word, now

    # marks

    def marked(self, asked: int, marks: list[tuple[str, str, int]]) -> None:
        """What keepers want of units, by a poll that was asked at `asked`: no older than that."""
        self.marks = {unit: (want, token) for unit, want, token in marks}
        self.marked_at = asked

    # the leader

    def report(self, now: int) -> dict[str, Any]:
        """Once a second. Without an answer the next says all again that this one did."""
        if now - self.reported_at > STILL or 2 * self.slow > self.beaten:
            self.watching = now  # it stood still, or hears late: nobody's silence says anything
        self.reported_at, self.beaten, self.slow = now, 0, 0
        oldest, late, heard = 0, dict[str, int](), 0
        for unit, one in self.members.items():
            age = now - one.heard
            if one.gone:
                continue
            if age >= 2 * self.lease:
                one.gone = True
                self._change(now, unit, one)
            elif age >= LATE_AFTER:
                late[unit] = age
            else:
                oldest, heard = max(oldest, age), heard + 1
        if heard <= len(late):
            self.watching = (
                now  # most are silent at once, or nobody is heard: it may be its own ear
            )
        fresh: list[str] = []
        for unit in reversed(self.changes):
            if self.changes[unit] <= self.acked:
                break
            fresh.append(unit)
        part = fresh[::-1][: self.part]
        self.seq, self.sent_at = self.seq + 1, now
        members = {}
        for unit in part:
            one = self.members[unit]
            members[unit] = [one.inc, one.changed, now - one.heard, one.word, one.gone]
        wanted = {}
        for unit in sorted(self.wanted):
            if (held := self.members.get(unit)) is not None and not held.gone:
                wanted[unit] = [held.inc, held.n, held.quiet, now - held.heard, held.word]
        return {
            "observer": self.name,
            "inc": self.inc,
            "zone": self.zone,
            "seq": self.seq,
            "stamp": list(self.stamp) if self.stamp else None,
            "since": now - self.stamp_at if self.stamp else 0,
            "watching": now - self.watching,
            "floor": oldest,
            "late": late,
            "after": self.acked,
            "upto": self.changes[part[-1]] if part else self.version,
            "version": self.version,
            "members": members,
            "wanted": wanted,
        }

    def reported(self, now: int, report: dict[str, Any], answer: Any) -> None:
        """What the leader answered to `report`, at `now`. Raises `ValueError` for what is no answer."""
        try:
            f = JsonFields(answer, "", "stamp have inc wanted drop over why")
            stamp, have, inc, why = (
                _stamp(f),
                f.whole("have", 0),
                f.whole("inc", 0),
                f.name("why", ""),
            )
            wanted, drop = f.names("wanted", []), f.names("drop", [])
            over = {
                unit: read_integer(held, f"over.{unit}")
                for unit, held in f.table("over", {}).items()
            }
        except EntryRejectedError as wrong:
            raise ValueError(str(wrong)) from None
        if inc > self.inc:
            # Its clock stepped back before it started; or, where it was heard before, another has its name.
            self.superseded = self.superseded or self.taken >= 0
            self.inc, self.stamp = inc + 1, None
            return
        if report["inc"] != self.inc or report["seq"] != self.seq:
            return  # a late answer
        self.stamp, self.stamp_at = stamp, now
        self.acked = min(have, self.version)
        if why:
            return
        self.taken = self.sent_at
        self.wanted = set(wanted)
        for unit in drop:
            if (one := self.members.get(unit)) is not None and one.gone:
                del self.members[unit], self.changes[unit]
        self.over = over

    def look(self, now: int) -> dict[str, Any]:
        """What operators are shown."""
        return {
            "observer": self.name,
            "zone": self.zone,
            "inc": self.inc,
            "members": len(self.members),
            "room": self.room,
            "gone": sum(one.gone for one in self.members.values()),
            "late": sum(
                not one.gone and now - one.heard >= LATE_AFTER for one in self.members.values()
            ),
            "upstream": now - self.taken if self.taken >= 0 else -1,
            "watching": now - self.watching,
            "differences": self.version - self.acked,
            "superseded": self.superseded,
        }


def _stamp(f: JsonFields) -> tuple[int, int] | None:
    held = f.held.get("stamp")
    if held is None:
        return None
    if not isinstance(held, list) or len(held) != 2:
        raise EntryRejectedError(f"{f.where}stamp must be an incarnation and a time")
    return read_integer(held[0], "stamp"), read_integer(held[1], "stamp")
