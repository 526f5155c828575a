"""At the leader: what all observers report, and the digests for the log made of it. It begins anew with each reign."""

import heapq
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import chain
from typing import Any

from ironfall.disruption import Ledger
from ironfall.disruption.entry_codec import (
    EntryRejectedError,
    JsonFields,
    status_as_reported,
)
from ironfall.disruption.settings import MILLION, SECOND
from ironfall.membership.limits import LATE_AFTER, MAX_REPORT_DIFFERENCES
from ironfall.membership.member_status import (
    BOUNDED_FIELDS,
    Status,
    check_unit,
    merge_worst,
    must_be_logged,
    read_status,
    upper_bound,
)
from ironfall.membership.stamps import latest_proven_time, read_integer

ENTRIES = 4  # digests a second
BYTES = 128 * 2**10  # of one, but for what zones are vouched for
LINES = 8_192  # differences taken in a second: a new leader is told of everybody at once, and has its own beat to keep
DRAINS = "draining", "empty"


@dataclass(slots=True)
class Evidence:
    """What one observer last heard of a unit; `heard` by the leader's clock, as proven."""

    inc: int
    changed: int
    heard: int
    word: Status
    gone: bool = False
    n: int = 0  # the newest that is known, at least `changed`
    quiet: int = 0
    at: int = -1  # when what `n` and `quiet` are of was said
    zone: str = ""
    home: str = ""  # the observer that heard it
    seen: int = -1  # the latest that any says to have heard it, in this incarnation


@dataclass(slots=True)
class Seat:
    """An observer, in one incarnation, as its reports have it."""

    zone: str
    inc: int
    since: int  # since when its reports have come without a gap
    seq: int = 0
    have: int = 0
    whole: bool = False  # whether all that it holds was told
    proven: int = -1  # when its last report was made
    watching: int = 0
    sure: int = -1  # when it last reported without doubting itself
    floor: int = -1  # all its members but those late or gone were heard then or later
    late: dict[str, int] = field(default_factory=dict)
    members: dict[str, Evidence] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)
    drops: tuple[int, list[str]] = (
        -1,
        [],
    )  # what it was told to drop, by the time of that answer's stamp


class DigestCollector:
    """Soft state, of one reign. `report` answers an observer; once a second, after the tick, `digests` gives the
    entries that are due: each is put before the next is, and where one was not agreed the rest is left for the next
    second."""

    def __init__(self, term: int, now: int, observers: Mapping[str, str], ledger: Ledger) -> None:
        """`observers`: the zone of each, of the terms."""
        self.term, self.began, self.observers, self.ledger = term, now, dict(observers), ledger
        self.seats: dict[str, Seat] = {}
        self.known: dict[str, int] = {}  # the highest incarnation of each observer
        self.where: dict[str, set[str]] = {}  # of a unit, the observers that have it
        self.former: dict[str, Evidence] = {}  # what was heard by observers that have restarted
        self.dirty: dict[
            str, None
        ] = {}  # units of which the log may lack something, in the order they came
        self.unlisted: set[str] = set()
        self.listed = -1
        self.over: dict[
            str, int
        ] = {}  # incarnations of directors that the ledger holds for gone, and yet are heard
        self.checks: list[tuple[int, str]] = []  # when which director may be absent
        self.checked: set[str] = set()
        self.lines = 0  # taken since the last digests
        self.wanted: set[str] = set()
        self.voices: set[str] = set()  # hosts that directors without a lease called silent
        self.voices_at = -1
        self._look_for(now)

    # reports

    def report(self, now: int, message: Any) -> dict[str, Any]:
        """The answer to a report. Raises `ValueError` naming the place of what is malformed."""
        said = self._read(message)
        name, inc = said["observer"], said["inc"]
        answer: dict[str, Any] = {
            "stamp": [self.term, now],
            "have": 0,
            "inc": self.known.get(name, inc),
        }
        if self.observers.get(name) != said["zone"]:
            return answer | {"why": f"{name} of zone {said['zone']} is no observer of the terms"}
        if inc < self.known.get(name, 0):
            return answer | {"why": f"incarnation {inc} of {name} is over"}
        seat = self.seats.get(name)
        if seat is None or inc > seat.inc:
            if seat is not None:
                self._retire(name, seat)
            seat = self.seats[name] = Seat(said["zone"], inc, now)
            self.known[name] = answer["inc"] = inc
        answer["have"] = seat.have
        if said["seq"] <= seat.seq:
            return answer | {"why": "it was said before, or too late"}
        stamp, since = said["stamp"], said["since"]
        if not self._mine(now, stamp):
            return answer | {
                "why": "it echoes no stamp of this reign: say it again with the one here"
            }
        self._take(
            now,
            name,
            seat,
            said,
            lambda age: latest_proven_time(now, stamp[1], since, age, self.ledger.rules.drift),
        )
        answer["have"] = seat.have
        drop = self._droppable(seat)
        seat.drops = now, drop
        wanted = sorted(unit for unit in self.wanted | self.voices if unit in seat.members)
        over = {unit: inc for unit, inc in self.over.items() if unit in seat.members}
        return answer | {
            "wanted": wanted[:MAX_REPORT_DIFFERENCES],
            "drop": drop,
            "over": dict(list(over.items())[:MAX_REPORT_DIFFERENCES]),
        }

    def _mine(self, now: int, stamp: list[int] | None) -> bool:
        return stamp is not None and stamp[0] == self.term and stamp[1] <= now

    def _read(self, message: Any) -> dict[str, Any]:
        try:
            f = JsonFields(
                message,
                "",
                "observer inc zone seq stamp since watching floor late after upto version members "
                "wanted",
            )
            said: dict[str, Any] = {"observer": f.name("observer"), "zone": f.name("zone")}
            said |= {
                x: f.whole(x)
                for x in ("inc", "seq", "since", "watching", "floor", "after", "upto", "version")
            }
            stamp = f.held.get("stamp")
            if stamp is not None and (
                not isinstance(stamp, list) or [type(x) for x in stamp] != [int, int]
            ):
                raise EntryRejectedError("stamp must be a reign and a time")
            said["stamp"] = stamp
            said["late"] = {
                check_unit(u): read_integer(age, f"late.{u}") for u, age in f.table("late").items()
            }
            members = f.table("members")
            if len(members) > MAX_REPORT_DIFFERENCES:
                raise EntryRejectedError(
                    f"members are {MAX_REPORT_DIFFERENCES} at most in a report"
                )
            said["members"] = {
                u: _line(u, one, f"members.{u}", (int, int, int, dict, bool))
                for u, one in members.items()
            }
            said["wanted"] = {
                u: _line(u, one, f"wanted.{u}", (int, int, int, int, dict))
                for u, one in f.table("wanted").items()
            }
        except EntryRejectedError as wrong:
            raise ValueError(str(wrong)) from None
        return said

    def _take(self, now: int, name: str, seat: Seat, said: dict[str, Any], when: Any) -> None:
        sent, third = when(0), self.ledger.rules.lease // 3
        seat.seq = said["seq"]
        if seat.proven < 0 or sent - seat.proven > third:
            seat.since = sent  # a gap: of what was in it nobody knows
        seat.proven = max(seat.proven, sent)
        seat.watching = max(seat.since, when(said["watching"]))
        if said["watching"]:
            seat.sure = seat.proven
        if said["stamp"][1] == seat.drops[0]:
            self._dropped(name, seat, seat.drops[1])  # it had the answer that told of them
        told = said["after"] <= seat.have and (
            not said["members"] or self.lines < LINES
        )  # else it is said again
        self.lines += len(said["members"]) if told else 0
        seat.whole = told and said["upto"] >= said["version"]
        if not seat.whole:
            # Whom a floor speaks of is known only with all differences: what the last one said is written down.
            for unit, one in seat.members.items():
                one.heard = self._heard(seat, unit, one)
            seat.floor, seat.late = -1, {}
        if told:
            seat.have = max(seat.have, said["upto"])
            for unit, (inc, changed, age, word, gone) in said["members"].items():
                self._hear(
                    name,
                    seat,
                    unit,
                    Evidence(inc, changed, when(age), word, gone, changed, zone=seat.zone),
                )
        if seat.whole:
            seat.floor, seat.late = (
                when(said["floor"]),
                {u: when(age) for u, age in said["late"].items()},
            )
        for unit, (inc, n, quiet, age, word) in said["wanted"].items():
            held = seat.members.get(unit)
            if held is not None and held.inc == inc and n >= held.n:
                held.n, held.quiet, held.at, held.word = n, quiet, when(age), word
                self.dirty[unit] = None

    def _hear(self, name: str, seat: Seat, unit: str, one: Evidence) -> None:
        seat.members[unit] = one
        self.where.setdefault(unit, set()).add(name)
        (seat.gone.add if one.gone else seat.gone.discard)(unit)
        self.dirty[unit] = None
        if unit in self.over and one.inc > self.over[unit]:
            del self.over[unit]
        if (before := self.former.get(unit)) and (before.inc, before.changed) <= (
            one.inc,
            one.changed,
        ):
            del self.former[unit]

    def _retire(self, name: str, seat: Seat) -> None:
        """What an observer heard before it restarted was heard; of its new table it says nothing."""
        for unit, one in seat.members.items():
            one.heard = self._heard(seat, unit, one)
            before = self.former.get(unit)
            if before is None or (before.inc, before.changed, before.heard) <= (
                one.inc,
                one.changed,
                one.heard,
            ):
                self.former[unit] = one
            self.where[unit].discard(name)

    def _droppable(self, seat: Seat) -> list[str]:
        drop: list[str] = []
        for unit in seat.gone:
            if unit not in self.dirty and self._ended(unit, seat.members[unit]):
                drop.append(unit)
                if len(drop) >= MAX_REPORT_DIFFERENCES:
                    break
        return drop

    def _ended(self, unit: str, one: Evidence) -> bool:
        """Of a director that is gone the log must first know how it ended, for its proxies are somewhere."""
        known = self.ledger.directors.get(unit[9:])
        if unit.startswith("host/"):
            return True
        return known is not None and (
            known.incarnation > one.inc or known.incarnation == one.inc and not known.is_live
        )

    def _dropped(self, name: str, seat: Seat, units: list[str]) -> None:
        for unit in units:
            if (one := seat.members.get(unit)) is not None and one.gone:
                del seat.members[unit]
                seat.gone.discard(unit)
                self.where[unit].discard(name)
                self._forget(unit)

    def _forget(self, unit: str) -> None:
        if not self.where.get(unit) and unit not in self.former:
            self.where.pop(unit, None)
            self.over.pop(unit, None)

    # evidence

    def _heard(self, seat: Seat, unit: str, one: Evidence) -> int:
        """When an observer last heard it: with the floor, unless it is named apart."""
        if one.gone or seat.floor < 0:
            return one.heard
        return seat.late.get(unit, max(one.heard, seat.floor))

    def evidence(self, unit: str) -> Evidence | None:
        """The newest that is known of a unit. An older word says nothing any more, not that it lives either; but where
        another observer says that it heard the same beat, or the unit at much the same time, they contradict each
        other: then the worse word counts, and of the same beat the older time."""
        found = [self.former[unit]] if unit in self.former else []
        for name in self.where.get(unit, ()):
            seat = self.seats[name]
            one = seat.members[unit]
            found.append(
                Evidence(
                    one.inc,
                    one.changed,
                    self._heard(seat, unit, one),
                    one.word,
                    one.gone,
                    one.n,
                    one.quiet,
                    one.at,
                    one.zone,
                    name,
                )
            )
        if not found:
            return None
        newest = max(found, key=lambda one: (one.inc, one.changed, one.home))
        seen = max(one.heard for one in found if one.inc == newest.inc)
        for one in found if len(found) > 1 else ():
            if (
                one is not newest
                and one.inc == newest.inc
                and (one.changed == newest.changed or one.heard > newest.heard - 2 * LATE_AFTER)
            ):
                newest = self._join(unit, newest, one)
        newest.seen = seen
        return newest

    @staticmethod
    def _join(unit: str, one: Evidence, other: Evidence) -> Evidence:
        heard = min(one.heard, other.heard) if one.changed == other.changed else one.heard
        beat = min(one, other, key=lambda e: (e.quiet, e.at))  # number and quiet are of one beat
        return Evidence(
            one.inc,
            one.changed,
            heard,
            merge_worst(unit, one.word, other.word),
            one.gone and other.gone,
            beat.n,
            beat.quiet,
            min(one.at, other.at),
            one.zone,
            one.home,
        )

    def _stands(self, seat: Seat, now: int) -> bool:
        return now - seat.proven <= self.ledger.rules.lease // 3

    def _least(self) -> int:
        rules = self.ledger.rules
        return rules.lease + rules.lease * rules.drift // MILLION

    def unknown(self, now: int, zone: str) -> bool:
        """Whether nobody can speak for a zone, where it is known as unknown now or not."""
        seats = [seat for seat in self.seats.values() if seat.zone == zone]
        before = zone in self.ledger.zones and bool(self.ledger.zones[zone].unknown_since)
        if before:
            lease = self.ledger.rules.lease
            return not any(
                s.whole and now - s.watching >= lease and self._stands(s, now) for s in seats
            )
        return now - max([self.began, *(s.sure for s in seats)]) > self._least()

    def absent(self, now: int, name: str) -> tuple[int, int]:
        """How long nobody heard a director, where it is to be taken for gone, else -1; and when to look again."""
        director, one = self.ledger.directors[name], self.evidence("director/" + name)
        zone, least = director.zone, self._least()
        heard = self.began
        if one is not None and one.inc == director.incarnation:
            heard = max(heard, one.seen)  # what they contradict each other in is no death either
        # Where its home has not watched all the while, or is not known: it may be on its way to the other, or still in
        # the ears of one that stood still.
        home = self.seats.get(one.home) if one is not None else None
        watched = home is not None and self._stands(home, now) and home.watching <= now - least
        patience = least if watched else least + self.ledger.rules.lease
        if now - heard < patience:
            return -1, heard + patience
        known = zone in self.ledger.zones and not self.ledger.zones[zone].unknown_since
        return now - heard if known and self._watched(now, zone) else -1, now + SECOND

    def _watched(self, now: int, zone: str) -> bool:
        """Whether an observer was there all the while to hear whoever lives in a zone, and none has more to tell."""
        since = now - self._least()
        stand = [s for s in self.seats.values() if s.zone == zone and self._stands(s, now)]
        return all(s.whole for s in stand) and any(s.watching <= since for s in stand)

    def _sure(self, now: int, zone: str, heard: int) -> bool:
        """Whether no observer of a zone can have heard, and lost, a later word than one of `heard`."""
        seats = [self.seats.get(name) for name, its in self.observers.items() if its == zone]
        return all(
            s is not None and s.whole and s.since <= heard and self._stands(s, now) for s in seats
        )

    # digests

    def digests(self, now: int, made: int) -> Iterator[dict[str, Any]]:
        """Entries of kind `digest` for this second, without `at`. `made`: the log's time now. Nothing here is taken for
        known until the ledger shows it: what was not agreed is due again."""
        parts = _Parts(made)
        zones = {}
        for zone in sorted(set(self.observers.values())):
            held = self.ledger.zones.get(zone)
            if (unknown := self.unknown(now, zone)) != bool(held and held.unknown_since):
                zones[zone] = unknown
        parts.put({"zones": zones} if zones else {})
        if self.listed != self.ledger.state.list_version:
            self.listed = self.ledger.state.list_version
            self.dirty.update(dict.fromkeys(sorted(self.unlisted)))
            self.unlisted.clear()
        self.lines = 0
        self._look_for(now)
        self._lapse(now, parts)
        self._want()
        left = self._differences(now, parts)
        vouched = {}
        if any(p.state in DRAINS for p in self.ledger.permits.values()) and not parts.full:
            vouched = self._vouches(now, left)
        yield from parts.entries(vouched)

    def _look_for(self, now: int) -> None:
        """Each director behind observers is looked at when it may be absent: at rest once a lease, not all at once."""
        if fresh := sorted(self.ledger.state.aggregated_directors.keys() - self.checked):
            self.checked.update(fresh)
            for n, name in enumerate(fresh):
                heapq.heappush(self.checks, (now + self._least() * n // len(fresh), name))

    def _lapse(self, now: int, parts: "_Parts") -> None:
        while self.checks and self.checks[0][0] <= now and not parts.full:
            _, name = heapq.heappop(self.checks)
            self.checked.discard(name)
            self.dirty["director/" + name] = (
                None  # now and then all of it is compared, whatever was missed
            )
            if name not in self.ledger.state.aggregated_directors:
                continue
            age, again = self.absent(now, name)
            self.checked.add(name)
            heapq.heappush(self.checks, (max(again, now + SECOND), name))
            if age >= 0:
                director, one = self.ledger.directors[name], self.evidence("director/" + name)
                sure = one is not None and self._sure(now, director.zone, one.heard)
                rows: dict[str, Any] = {"lapsed": {name: [director.incarnation, age, sure]}}
                if (
                    one is not None
                    and one.inc == director.incarnation
                    and one.n >= director.sequence
                ):
                    # The last that anybody heard of it, unrounded: its proxies are somewhere.
                    rows["directors"] = {name: _said(one)}
                parts.put(rows)

    def _want(self) -> None:
        """Hosts of which the ledger needs to hear each second, or each change."""
        ledger = self.ledger
        self.wanted = {unit for unit in ledger.permits if unit.startswith("host/")}
        if self.voices_at < 0 or ledger.now - self.voices_at >= ledger.rules.lease:
            self.voices_at = ledger.now
            self.voices = {
                "host/" + h
                for d in ledger.directors.values()
                if not d.is_live
                for h in d.silent_hosts
            }
            for unit in [
                u for u, one in self.former.items() if u not in self.dirty and self._ended(u, one)
            ]:
                del self.former[unit]
                self._forget(unit)

    def _differences(self, now: int, parts: "_Parts") -> set[str]:
        """What the log lacks; and of whom something is left to be told."""
        left: set[str] = set()
        drains = {unit for unit, permit in self.ledger.permits.items() if permit.state in DRAINS}
        # Whose doubt matters most: directors, hosts that drain, the others.
        directors = [unit for unit in self.dirty if unit.startswith("director/")]
        first = (
            {*directors, *(unit for unit in self.dirty if unit in drains)}
            if drains
            else set(directors)
        )
        rest = (unit for unit in list(self.dirty) if unit not in first)
        for unit in chain(directors, sorted(first.difference(directors)), rest):
            if parts.full:
                if not unit.startswith("director/"):
                    break
                left.add(unit)
                continue
            one = self.evidence(unit)
            row = (
                None
                if one is None
                else self._host(now, unit, one, drains)
                if unit.startswith("host/")
                else (self._director(now, unit, one, parts))
            )
            if row is None:
                del self.dirty[unit]
            elif row:
                parts.put({"hosts": {unit[5:]: row}})
        return left

    def _host(self, now: int, unit: str, one: Evidence, drains: set[str]) -> list[Any] | None:
        """Its row, or None: the log has it."""
        host = self.ledger.hosts.get(unit[5:])
        if host is None:
            self.unlisted.add(unit)
            return None
        # How long nothing came is of one beat, and goes under its number: it may be an older one than the last change.
        n, said = one.n if one.at >= 0 else max(one.n, one.changed), one.word
        fresh = unit in drains or bool(host.silent_to) and said["up"] and unit in self.voices
        same = (one.inc, said["up"]) == (host.agent_incarnation, host.is_up) and said[
            "token"
        ] <= host.acted_token
        if (one.inc, n) <= (host.agent_incarnation, host.agent_sequence) or same and not fresh:
            return None
        return [
            one.inc,
            n,
            said["up"],
            one.quiet if one.at >= 0 else 0,
            said["token"],
            max(0, now - (one.at if one.at >= 0 else one.heard)),
        ]

    def _director(self, now: int, unit: str, one: Evidence, parts: "_Parts") -> list[Any] | None:
        """Puts what the log lacks; None: it lacks nothing."""
        name, ledger = unit[9:], self.ledger
        known = ledger.directors.get(name)
        if known is not None and (
            one.inc < known.incarnation
            or one.inc == known.incarnation
            and (not known.is_live or name not in ledger.state.aggregated_directors)
        ):
            if not one.gone:
                self.over[unit] = known.incarnation  # it is heard: it is to come under a newer one
            return None
        if known is None or one.inc > known.incarnation:
            if known is None and len(ledger.directors) >= ledger.rules.directors:
                return []  # told again when there is room; the ledger's refusal of others says what is full
            rows: dict[str, Any] = {
                "came": {name: [one.inc, one.zone, one.word["version"]]},
                "directors": {name: _said(one) | self._roofs(one)},
            }
            if one.gone and now - one.heard >= self._least() and self._watched(now, one.zone):
                # It came and went while nobody could tell of it: never alive by the log, and its proxies somewhere.
                rows |= {
                    "lapsed": {
                        name: [one.inc, now - one.heard, self._sure(now, one.zone, one.heard)]
                    },
                    "directors": {name: _said(one)},
                }
            parts.put(rows)
            return []
        told = status_as_reported(known)
        word = one.word | {
            "silent": [h for h in one.word["silent"] if h in ledger.hosts],
            "took": {d: p for d, p in one.word["took"].items() if d in ledger.directors},
            "token": max(known.acted_token, one.word["token"]),
        }
        if any(host not in ledger.hosts for host in one.word["silent"]):
            self.unlisted.add(unit)
        if (
            known.has_reported
            and not must_be_logged(told, word, ledger.rules.near_limit_share)
            or one.n < known.sequence
        ):
            return None
        parts.put({"directors": {name: _said(one) | self._roofs(one)}})
        return []

    def _roofs(self, one: Evidence) -> dict[str, int]:
        return {x: upper_bound(one.word[x]) for x in BOUNDED_FIELDS}

    def _vouches(self, now: int, left: set[str]) -> dict[str, list[Any]]:
        """Of each zone of which all directors were heard within a lease, and the log has all that they said."""
        ledger, vouched = self.ledger, {}
        open_hosts = {
            u[5:]: p.token
            for u, p in ledger.permits.items()
            if u.startswith("host/") and p.state in DRAINS
        }
        unsettled = {
            one.zone
            for unit in left
            if unit.startswith("director/") and (one := self.evidence(unit))
        }
        for zone, names in ledger.state.aggregated_by_zone.items():
            held = ledger.zones[zone]
            if not names or held.unknown_since or zone in unsettled:
                continue
            oldest, confirms = 0, dict(open_hosts)
            for name in names:
                one = self.evidence("director/" + name)
                if one is None or one.gone or one.inc != ledger.directors[name].incarnation:
                    break
                oldest = max(oldest, now - one.heard)
                drained = one.word["drained"]
                confirms = {
                    host: token for host, token in confirms.items() if drained.get(host) == token
                }
            else:
                if oldest <= ledger.rules.lease:
                    vouched[zone] = [
                        oldest,
                        held.changed_index,
                        None if confirms == held.confirmed_drains else confirms,
                    ]
        return vouched

    # operators

    def look(self, now: int) -> dict[str, Any]:
        """What operators are shown of zones and their observers, ages in tenths of a millisecond (-1: never heard)."""
        shown: dict[str, Any] = {}
        for name, zone in sorted(self.observers.items()):
            seat = self.seats.get(name)
            heard = now - seat.proven if seat and seat.proven >= 0 else -1
            shown[name] = {
                "zone": zone,
                "heard": heard,
                "members": len(seat.members) if seat else 0,
                "gone": len(seat.gone) if seat else 0,
                "whole": bool(seat and seat.whole),
            }
        return {
            "observers": shown,
            "unknown": sorted(z for z, held in self.ledger.zones.items() if held.unknown_since),
            "pending": len(self.dirty),
        }

    def figures(self, name: str) -> Status | None:
        """A director's last word, as it was said: the log has roofs."""
        one = self.evidence("director/" + name)
        return one.word if one else None


class _Parts:
    """What is put into entries, of bounded bytes and number."""

    def __init__(self, made: int) -> None:
        self.made, self.done = made, list[dict[str, Any]]()
        self.held: dict[str, dict[str, Any]] = {}
        self.size = 0

    @property
    def full(self) -> bool:
        return len(self.done) >= ENTRIES - 1 and self.size > BYTES - 4_096

    def put(self, rows: dict[str, dict[str, Any]]) -> None:
        """Rows that go together: never in two entries."""
        if not rows:
            return
        size = len(json.dumps(rows))
        if self.held and self.size + size > BYTES and len(self.done) < ENTRIES - 1:
            self._close()
        for part, held in rows.items():
            self.held.setdefault(part, {}).update(held)
        self.size += size

    def _close(self) -> None:
        self.done.append({"k": "digest", "made": self.made} | self.held)
        self.held, self.size = {}, 0

    def entries(self, vouched: dict[str, Any]) -> list[dict[str, Any]]:
        """With what is vouched for in the last: all that it rests on is in the log then."""
        if vouched:
            self.held["vouch"] = vouched
        if self.held:
            self._close()
        return self.done


def _said(one: Evidence) -> Status:
    """A word as the log takes it."""
    word = {k: v for k, v in one.word.items() if k not in ("drained", "version")}
    return word | {"inc": one.inc, "n": max(one.n, one.changed)}


def _line(unit: str, held: Any, where: str, kinds: tuple[type, ...]) -> list[Any]:
    check_unit(unit)
    if not isinstance(held, list) or [type(x) for x in held] != list(kinds):
        raise EntryRejectedError(
            f"{where} must be a list of {', '.join(k.__name__ for k in kinds)}"
        )
    return [
        read_status(unit, x, where)
        if type(x) is dict
        else x
        if type(x) is bool
        else read_integer(x, where)
        for x in held
    ]
