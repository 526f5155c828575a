"""Collects aggregators' reports at the leader, and makes digests of them for the log.

All of its state is soft: it starts empty in each leader term. Units are `host/NAME` or
`director/NAME`. Times and durations are tenths of a millisecond; times are the leader's clock.
"""

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

MAX_DIGESTS_PER_SECOND = 4
MAX_DIGEST_BYTES = 128 * 2**10
"""Of one digest, without its attestations."""
MAX_DIFFERENCES_PER_SECOND = 8_192
"""A new leader gets all members at once, and this must not hold up its own periodic work."""
DRAINING_STATES = "draining", "empty"


@dataclass(slots=True)
class Evidence:
    """What one aggregator last heard of a unit.

    Attributes:
        inc: The unit's incarnation.
        changed: The number of the heartbeat that last brought a new status.
        heard_at: The latest time at which the unit is proven to have been live.
        word: The unit's status.
        is_gone: Whether the aggregator counts the unit as gone.
        n: The number of the newest heartbeat that is known, `changed` or higher.
        idle_time: For how long a host had no requests, as of heartbeat `n`.
        heartbeat_at: When the heartbeat of `n` and `idle_time` was made; -1 if the aggregator
            reported no single heartbeat.
        zone: The aggregator's zone.
        aggregator: The name of the aggregator that heard it.
        latest_heard_at: The latest time at which any aggregator heard the unit in this
            incarnation; -1 if that was not determined.
    """

    inc: int
    changed: int
    heard_at: int
    word: Status
    is_gone: bool = False
    n: int = 0
    idle_time: int = 0
    heartbeat_at: int = -1
    zone: str = ""
    aggregator: str = ""
    latest_heard_at: int = -1


@dataclass(slots=True)
class AggregatorState:
    """One incarnation of an aggregator, as its reports describe it.

    Attributes:
        zone: Its zone.
        incarnation: Its incarnation.
        reporting_since: Since when its reports have come without a gap.
        sequence: The number of its last report.
        acknowledged_version: The leader has all its differences up to this one.
        is_complete: Whether the leader has all its differences.
        reported_at: When its last report was made; -1 before the first.
        watching_since: Since when a member's silence can't be the aggregator's own fault.
        last_trusted_at: When it last reported that its reception was not in doubt; -1 if never.
        oldest_heard_at: All its members that are neither late nor gone were heard at this time or
            later; -1 if that is unknown.
        late_heard_at: By unit, when its late members were heard.
        members: By unit, what it heard.
        gone_units: The members that it counts as gone.
        offered_drops: The stamp time of the last answer, and the units that it may forget by that
            answer.
    """

    zone: str
    incarnation: int
    reporting_since: int
    sequence: int = 0
    acknowledged_version: int = 0
    is_complete: bool = False
    reported_at: int = -1
    watching_since: int = 0
    last_trusted_at: int = -1
    oldest_heard_at: int = -1
    late_heard_at: dict[str, int] = field(default_factory=dict)
    members: dict[str, Evidence] = field(default_factory=dict)
    gone_units: set[str] = field(default_factory=set)
    offered_drops: tuple[int, list[str]] = (
        -1,
        [],
    )


class DigestCollector:
    """Takes the reports of one leader term, and makes digests of what the log lacks.

    `report` answers an aggregator. Once a second, after the tick, `digests` yields the entries that
    are due. Each is proposed before the next is taken; once one is not committed, the rest waits
    for the next second.

    Attributes:
        term: The leader's term.
        started_at: When the collector was made.
        aggregator_zones: The zone of each aggregator in the settings.
        ledger: The state machine that the log is applied to.
        aggregators: The state of each aggregator that has reported.
        highest_incarnations: The highest incarnation of each aggregator.
        aggregators_by_unit: By unit, the aggregators that have it as a member.
        former_evidence: By unit, what was heard by aggregators that have restarted since.
        dirty_units: Units of which the log may lack something, in the order in which they came.
        unlisted_units: Units that wait for the host list to name a host.
        list_version: The version of the host list that was last seen; -1 before the first.
        ended_incarnations: By unit, the log's incarnation of a director that is still heard under
            this one or an older one, and has to take a newer one.
        liveness_checks: A heap of times and directors that may be absent by then.
        scheduled_directors: The directors that have a liveness check.
        differences_taken: Differences of reports since the last digests.
        wanted_units: Hosts of which the ledger needs each heartbeat.
        suspected_hosts: Units of hosts that directors reported as silent before their lease ended.
        suspected_hosts_at: The log time at which these were read; -1 before the first time.
    """

    def __init__(
        self, term: int, now: int, aggregator_zones: Mapping[str, str], ledger: Ledger
    ) -> None:
        """Starts without any report; `aggregator_zones` has the zone of each aggregator."""
        self.term, self.started_at, self.aggregator_zones, self.ledger = (
            term,
            now,
            dict(aggregator_zones),
            ledger,
        )
        self.aggregators: dict[str, AggregatorState] = {}
        self.highest_incarnations: dict[str, int] = {}
        self.aggregators_by_unit: dict[str, set[str]] = {}
        self.former_evidence: dict[str, Evidence] = {}
        self.dirty_units: dict[str, None] = {}
        self.unlisted_units: set[str] = set()
        self.list_version = -1
        self.ended_incarnations: dict[str, int] = {}
        self.liveness_checks: list[tuple[int, str]] = []
        self.scheduled_directors: set[str] = set()
        self.differences_taken = 0
        self.wanted_units: set[str] = set()
        self.suspected_hosts: set[str] = set()
        self.suspected_hosts_at = -1
        self._schedule_liveness_checks(now)

    # Reports.

    def report(self, now: int, message: Any) -> dict[str, Any]:
        """Takes an aggregator's report and returns the answer, both as JSON objects.

        Raises:
            ValueError: The report is malformed; the text names the place.
        """
        report = self._decode_report(message)
        name, incarnation = report["observer"], report["inc"]
        answer: dict[str, Any] = {
            "stamp": [self.term, now],
            "have": 0,
            "inc": self.highest_incarnations.get(name, incarnation),
        }
        if self.aggregator_zones.get(name) != report["zone"]:
            return answer | {"why": f"{name} of zone {report['zone']} is no observer of the terms"}
        if incarnation < self.highest_incarnations.get(name, 0):
            return answer | {"why": f"incarnation {incarnation} of {name} is over"}
        aggregator = self.aggregators.get(name)
        if aggregator is None or incarnation > aggregator.incarnation:
            if aggregator is not None:
                self._retire_incarnation(name, aggregator)
            aggregator = self.aggregators[name] = AggregatorState(report["zone"], incarnation, now)
            self.highest_incarnations[name] = answer["inc"] = incarnation
        answer["have"] = aggregator.acknowledged_version
        if report["seq"] <= aggregator.sequence:
            return answer | {"why": "it was said before, or too late"}
        stamp, elapsed = report["stamp"], report["since"]
        if not self._is_own_stamp(now, stamp):
            return answer | {
                "why": "it echoes no stamp of this reign: say it again with the one here"
            }
        self._apply_report(
            now,
            name,
            aggregator,
            report,
            lambda age: latest_proven_time(now, stamp[1], elapsed, age, self.ledger.rules.drift),
        )
        answer["have"] = aggregator.acknowledged_version
        drop = self._droppable_units(aggregator)
        aggregator.offered_drops = now, drop
        wanted = sorted(
            unit for unit in self.wanted_units | self.suspected_hosts if unit in aggregator.members
        )
        ended_incarnations = {
            unit: incarnation
            for unit, incarnation in self.ended_incarnations.items()
            if unit in aggregator.members
        }
        return answer | {
            "wanted": wanted[:MAX_REPORT_DIFFERENCES],
            "drop": drop,
            "over": dict(list(ended_incarnations.items())[:MAX_REPORT_DIFFERENCES]),
        }

    def _is_own_stamp(self, now: int, stamp: list[int] | None) -> bool:
        return stamp is not None and stamp[0] == self.term and stamp[1] <= now

    def _decode_report(self, message: Any) -> dict[str, Any]:
        try:
            fields = JsonFields(
                message,
                "",
                "observer inc zone seq stamp since watching floor late after upto version members "
                "wanted",
            )
            report: dict[str, Any] = {
                "observer": fields.name("observer"),
                "zone": fields.name("zone"),
            }
            report |= {
                name: fields.whole(name)
                for name in ("inc", "seq", "since", "watching", "floor", "after", "upto", "version")
            }
            stamp = fields.held.get("stamp")
            if stamp is not None and (
                not isinstance(stamp, list) or [type(part) for part in stamp] != [int, int]
            ):
                raise EntryRejectedError("stamp must be a reign and a time")
            report["stamp"] = stamp
            report["late"] = {
                check_unit(unit): read_integer(age, f"late.{unit}")
                for unit, age in fields.table("late").items()
            }
            members = fields.table("members")
            if len(members) > MAX_REPORT_DIFFERENCES:
                raise EntryRejectedError(
                    f"members are {MAX_REPORT_DIFFERENCES} at most in a report"
                )
            report["members"] = {
                unit: _decode_row(unit, row, f"members.{unit}", (int, int, int, dict, bool))
                for unit, row in members.items()
            }
            report["wanted"] = {
                unit: _decode_row(unit, row, f"wanted.{unit}", (int, int, int, int, dict))
                for unit, row in fields.table("wanted").items()
            }
        except EntryRejectedError as error:
            raise ValueError(str(error)) from None
        return report

    def _apply_report(
        self,
        now: int,
        name: str,
        aggregator: AggregatorState,
        report: dict[str, Any],
        proven_time: Any,
    ) -> None:
        made_at, max_gap = proven_time(0), self.ledger.rules.lease // 3
        aggregator.sequence = report["seq"]
        if aggregator.reported_at < 0 or made_at - aggregator.reported_at > max_gap:
            # What it heard during a gap between two reports is unknown.
            aggregator.reporting_since = made_at
        aggregator.reported_at = max(aggregator.reported_at, made_at)
        aggregator.watching_since = max(aggregator.reporting_since, proven_time(report["watching"]))
        if report["watching"]:
            aggregator.last_trusted_at = aggregator.reported_at
        if report["stamp"][1] == aggregator.offered_drops[0]:
            # It echoes the stamp of the answer that offered these.
            self._drop_units(name, aggregator, aggregator.offered_drops[1])
        # Differences that are not taken come again with the next report.
        are_taken = report["after"] <= aggregator.acknowledged_version and (
            not report["members"] or self.differences_taken < MAX_DIFFERENCES_PER_SECOND
        )
        self.differences_taken += len(report["members"]) if are_taken else 0
        aggregator.is_complete = are_taken and report["upto"] >= report["version"]
        if not aggregator.is_complete:
            # Which members an oldest time covers is known only with all differences. What the last
            # report proved is stored with each member before that report's time is discarded.
            for unit, evidence in aggregator.members.items():
                evidence.heard_at = self._heard_at(aggregator, unit, evidence)
            aggregator.oldest_heard_at, aggregator.late_heard_at = -1, {}
        if are_taken:
            aggregator.acknowledged_version = max(aggregator.acknowledged_version, report["upto"])
            for unit, (incarnation, changed_number, age, status, is_gone) in report[
                "members"
            ].items():
                self._store_evidence(
                    name,
                    aggregator,
                    unit,
                    Evidence(
                        incarnation,
                        changed_number,
                        proven_time(age),
                        status,
                        is_gone,
                        changed_number,
                        zone=aggregator.zone,
                    ),
                )
        if aggregator.is_complete:
            aggregator.oldest_heard_at, aggregator.late_heard_at = (
                proven_time(report["floor"]),
                {unit: proven_time(age) for unit, age in report["late"].items()},
            )
        for unit, (incarnation, number, idle_time, age, status) in report["wanted"].items():
            member = aggregator.members.get(unit)
            if member is not None and member.inc == incarnation and number >= member.n:
                member.n, member.idle_time, member.heartbeat_at, member.word = (
                    number,
                    idle_time,
                    proven_time(age),
                    status,
                )
                self.dirty_units[unit] = None

    def _store_evidence(
        self, name: str, aggregator: AggregatorState, unit: str, evidence: Evidence
    ) -> None:
        aggregator.members[unit] = evidence
        self.aggregators_by_unit.setdefault(unit, set()).add(name)
        (aggregator.gone_units.add if evidence.is_gone else aggregator.gone_units.discard)(unit)
        self.dirty_units[unit] = None
        if unit in self.ended_incarnations and evidence.inc > self.ended_incarnations[unit]:
            del self.ended_incarnations[unit]
        if (former := self.former_evidence.get(unit)) and (former.inc, former.changed) <= (
            evidence.inc,
            evidence.changed,
        ):
            del self.former_evidence[unit]

    def _retire_incarnation(self, name: str, aggregator: AggregatorState) -> None:
        """Keeps what an aggregator heard before it restarted; its new reports don't have it."""
        for unit, evidence in aggregator.members.items():
            evidence.heard_at = self._heard_at(aggregator, unit, evidence)
            former = self.former_evidence.get(unit)
            if former is None or (former.inc, former.changed, former.heard_at) <= (
                evidence.inc,
                evidence.changed,
                evidence.heard_at,
            ):
                self.former_evidence[unit] = evidence
            self.aggregators_by_unit[unit].discard(name)

    def _droppable_units(self, aggregator: AggregatorState) -> list[str]:
        droppable: list[str] = []
        for unit in aggregator.gone_units:
            if unit not in self.dirty_units and self._is_end_logged(unit, aggregator.members[unit]):
                droppable.append(unit)
                if len(droppable) >= MAX_REPORT_DIFFERENCES:
                    break
        return droppable

    def _is_end_logged(self, unit: str, evidence: Evidence) -> bool:
        """Whether the log needs no more evidence of a unit that is gone.

        Of a director, the log must have the end first, as its proxies have to be accounted for.
        """
        director = self.ledger.directors.get(unit[9:])
        if unit.startswith("host/"):
            return True
        return director is not None and (
            director.incarnation > evidence.inc
            or director.incarnation == evidence.inc
            and not director.is_live
        )

    def _drop_units(self, name: str, aggregator: AggregatorState, units: list[str]) -> None:
        for unit in units:
            if (evidence := aggregator.members.get(unit)) is not None and evidence.is_gone:
                del aggregator.members[unit]
                aggregator.gone_units.discard(unit)
                self.aggregators_by_unit[unit].discard(name)
                self._forget_if_unheard(unit)

    def _forget_if_unheard(self, unit: str) -> None:
        if not self.aggregators_by_unit.get(unit) and unit not in self.former_evidence:
            self.aggregators_by_unit.pop(unit, None)
            self.ended_incarnations.pop(unit, None)

    # Evidence.

    def _heard_at(self, aggregator: AggregatorState, unit: str, evidence: Evidence) -> int:
        """Returns when an aggregator last heard a unit.

        It is the aggregator's oldest time or later, unless the report has the unit as late.
        """
        if evidence.is_gone or aggregator.oldest_heard_at < 0:
            return evidence.heard_at
        return aggregator.late_heard_at.get(
            unit, max(evidence.heard_at, aggregator.oldest_heard_at)
        )

    def evidence(self, unit: str) -> Evidence | None:
        """Returns the newest evidence of a unit, or None if there is none.

        Older evidence is ignored, also as a sign of life. But if another aggregator claims to have
        heard the same heartbeat, or the unit at about the same time, the two contradict each other:
        then the worse value of each field of the status counts, and of the same heartbeat the
        earlier time.
        """
        candidates = [self.former_evidence[unit]] if unit in self.former_evidence else []
        for name in self.aggregators_by_unit.get(unit, ()):
            aggregator = self.aggregators[name]
            evidence = aggregator.members[unit]
            candidates.append(
                Evidence(
                    evidence.inc,
                    evidence.changed,
                    self._heard_at(aggregator, unit, evidence),
                    evidence.word,
                    evidence.is_gone,
                    evidence.n,
                    evidence.idle_time,
                    evidence.heartbeat_at,
                    evidence.zone,
                    name,
                )
            )
        if not candidates:
            return None
        newest = max(
            candidates, key=lambda evidence: (evidence.inc, evidence.changed, evidence.aggregator)
        )
        latest_heard_at = max(
            evidence.heard_at for evidence in candidates if evidence.inc == newest.inc
        )
        for evidence in candidates if len(candidates) > 1 else ():
            if (
                evidence is not newest
                and evidence.inc == newest.inc
                and (
                    evidence.changed == newest.changed
                    or evidence.heard_at > newest.heard_at - 2 * LATE_AFTER
                )
            ):
                newest = self._merge_contradicting(unit, newest, evidence)
        newest.latest_heard_at = latest_heard_at
        return newest

    @staticmethod
    def _merge_contradicting(unit: str, evidence: Evidence, other: Evidence) -> Evidence:
        heard_at = (
            min(evidence.heard_at, other.heard_at)
            if evidence.changed == other.changed
            else evidence.heard_at
        )
        # The number and the idle time must come from the same heartbeat.
        earlier = min(
            evidence, other, key=lambda candidate: (candidate.idle_time, candidate.heartbeat_at)
        )
        return Evidence(
            evidence.inc,
            evidence.changed,
            heard_at,
            merge_worst(unit, evidence.word, other.word),
            evidence.is_gone and other.is_gone,
            earlier.n,
            earlier.idle_time,
            min(evidence.heartbeat_at, other.heartbeat_at),
            evidence.zone,
            evidence.aggregator,
        )

    def _is_reporting(self, aggregator: AggregatorState, now: int) -> bool:
        return now - aggregator.reported_at <= self.ledger.rules.lease // 3

    def _lease_with_drift(self) -> int:
        rules = self.ledger.rules
        return rules.lease + rules.lease * rules.drift // MILLION

    def is_zone_unknown(self, now: int, zone: str) -> bool:
        """Whether no aggregator's reports tell which of a zone's members are silent.

        If the log has the zone as unknown, it stays so until an aggregator that still reports, and
        of which the leader has all differences, has watched for a lease. Otherwise it becomes
        unknown once, for a lease and the allowance for clock drift, no aggregator has reported
        that its reception is not in doubt.
        """
        states = [aggregator for aggregator in self.aggregators.values() if aggregator.zone == zone]
        is_logged_unknown = zone in self.ledger.zones and bool(
            self.ledger.zones[zone].unknown_since
        )
        if is_logged_unknown:
            lease = self.ledger.rules.lease
            return not any(
                state.is_complete
                and now - state.watching_since >= lease
                and self._is_reporting(state, now)
                for state in states
            )
        return (
            now - max([self.started_at, *(state.last_trusted_at for state in states)])
            > self._lease_with_drift()
        )

    def check_absence(self, now: int, name: str) -> tuple[int, int]:
        """Checks whether a director has been silent for too long.

        Returns:
            For how long nobody heard it if it is to be declared absent, or else -1; and the time
            of the next check.
        """
        director, evidence = self.ledger.directors[name], self.evidence("director/" + name)
        zone, full_lease = director.zone, self._lease_with_drift()
        heard_at = self.started_at
        if evidence is not None and evidence.inc == director.incarnation:
            # A contradiction between aggregators is no proof of absence: the latest time counts.
            heard_at = max(heard_at, evidence.latest_heard_at)
        # If its aggregator is unknown or has not watched for a whole lease, the director may be
        # changing to the other one, or its heartbeats may wait at one that was suspended.
        aggregator = self.aggregators.get(evidence.aggregator) if evidence is not None else None
        is_watched = (
            aggregator is not None
            and self._is_reporting(aggregator, now)
            and aggregator.watching_since <= now - full_lease
        )
        tolerance = full_lease if is_watched else full_lease + self.ledger.rules.lease
        if now - heard_at < tolerance:
            return -1, heard_at + tolerance
        is_zone_known = zone in self.ledger.zones and not self.ledger.zones[zone].unknown_since
        return now - heard_at if is_zone_known and self._was_watched(
            now, zone
        ) else -1, now + SECOND

    def _was_watched(self, now: int, zone: str) -> bool:
        """Whether one of a zone's aggregators has watched for a lease, and all are complete.

        Those that have not reported recently are left out.
        """
        since = now - self._lease_with_drift()
        reporting = [
            state
            for state in self.aggregators.values()
            if state.zone == zone and self._is_reporting(state, now)
        ]
        return all(state.is_complete for state in reporting) and any(
            state.watching_since <= since for state in reporting
        )

    def _is_final_status_known(self, now: int, zone: str, heard_at: int) -> bool:
        """Whether no aggregator of a zone can have heard, and lost, a status after `heard_at`."""
        states = [
            self.aggregators.get(name)
            for name, aggregator_zone in self.aggregator_zones.items()
            if aggregator_zone == zone
        ]
        return all(
            state is not None
            and state.is_complete
            and state.reporting_since <= heard_at
            and self._is_reporting(state, now)
            for state in states
        )

    # Digests.

    def digests(self, now: int, made_at: int) -> Iterator[dict[str, Any]]:
        """Yields this second's entries of kind `digest`, without `at`; `made_at` is the log's time.

        Nothing counts as logged until the ledger shows it: what was not committed is due again.
        """
        builder = _DigestBuilder(made_at)
        zones = {}
        for zone in sorted(set(self.aggregator_zones.values())):
            logged = self.ledger.zones.get(zone)
            if (is_unknown := self.is_zone_unknown(now, zone)) != bool(
                logged and logged.unknown_since
            ):
                zones[zone] = is_unknown
        builder.add({"zones": zones} if zones else {})
        if self.list_version != self.ledger.state.list_version:
            self.list_version = self.ledger.state.list_version
            self.dirty_units.update(dict.fromkeys(sorted(self.unlisted_units)))
            self.unlisted_units.clear()
        self.differences_taken = 0
        self._schedule_liveness_checks(now)
        self._add_lapses(now, builder)
        self._update_wanted_units()
        unlogged = self._add_differences(now, builder)
        attestations = {}
        if (
            any(permit.state in DRAINING_STATES for permit in self.ledger.permits.values())
            and not builder.is_full
        ):
            attestations = self._attestations(now, unlogged)
        yield from builder.build(attestations)

    def _schedule_liveness_checks(self, now: int) -> None:
        """Schedules a liveness check for each director that joined by aggregators and has none.

        The first checks are spread over a lease, and so are the later ones while nothing changes.
        """
        if unscheduled := sorted(
            self.ledger.state.aggregated_directors.keys() - self.scheduled_directors
        ):
            self.scheduled_directors.update(unscheduled)
            for position, name in enumerate(unscheduled):
                heapq.heappush(
                    self.liveness_checks,
                    (now + self._lease_with_drift() * position // len(unscheduled), name),
                )

    def _add_lapses(self, now: int, builder: "_DigestBuilder") -> None:
        while self.liveness_checks and self.liveness_checks[0][0] <= now and not builder.is_full:
            _, name = heapq.heappop(self.liveness_checks)
            self.scheduled_directors.discard(name)
            # Each check compares the director with the log, in case a difference was missed.
            self.dirty_units["director/" + name] = None
            if name not in self.ledger.state.aggregated_directors:
                continue
            age, next_check = self.check_absence(now, name)
            self.scheduled_directors.add(name)
            heapq.heappush(self.liveness_checks, (max(next_check, now + SECOND), name))
            if age >= 0:
                director, evidence = self.ledger.directors[name], self.evidence("director/" + name)
                is_final = evidence is not None and self._is_final_status_known(
                    now, director.zone, evidence.heard_at
                )
                rows: dict[str, Any] = {"lapsed": {name: [director.incarnation, age, is_final]}}
                if (
                    evidence is not None
                    and evidence.inc == director.incarnation
                    and evidence.n >= director.sequence
                ):
                    # Its last status goes to the log without rounding up, as its proxies have to
                    # be accounted for.
                    rows["directors"] = {name: _loggable_status(evidence)}
                builder.add(rows)

    def _update_wanted_units(self) -> None:
        """Updates the hosts whose heartbeats the ledger needs.

        Once a lease, also forgets former evidence that the log no longer needs.
        """
        ledger = self.ledger
        self.wanted_units = {unit for unit in ledger.permits if unit.startswith("host/")}
        if (
            self.suspected_hosts_at < 0
            or ledger.now - self.suspected_hosts_at >= ledger.rules.lease
        ):
            self.suspected_hosts_at = ledger.now
            self.suspected_hosts = {
                "host/" + host
                for director in ledger.directors.values()
                if not director.is_live
                for host in director.silent_hosts
            }
            for unit in [
                unit
                for unit, evidence in self.former_evidence.items()
                if unit not in self.dirty_units and self._is_end_logged(unit, evidence)
            ]:
                del self.former_evidence[unit]
                self._forget_if_unheard(unit)

    def _add_differences(self, now: int, builder: "_DigestBuilder") -> set[str]:
        """Adds what the log lacks to `builder`; returns the directors that it had no room for."""
        unlogged: set[str] = set()
        draining = {
            unit for unit, permit in self.ledger.permits.items() if permit.state in DRAINING_STATES
        }
        # By how much decisions depend on them: directors, hosts that drain, other hosts.
        directors = [unit for unit in self.dirty_units if unit.startswith("director/")]
        first = (
            {*directors, *(unit for unit in self.dirty_units if unit in draining)}
            if draining
            else set(directors)
        )
        rest = (unit for unit in list(self.dirty_units) if unit not in first)
        for unit in chain(directors, sorted(first.difference(directors)), rest):
            if builder.is_full:
                if not unit.startswith("director/"):
                    break
                unlogged.add(unit)
                continue
            evidence = self.evidence(unit)
            row = (
                None
                if evidence is None
                else self._host_row(now, unit, evidence, draining)
                if unit.startswith("host/")
                else (self._add_director(now, unit, evidence, builder))
            )
            if row is None:
                del self.dirty_units[unit]
            elif row:
                builder.add({"hosts": {unit[5:]: row}})
        return unlogged

    def _host_row(
        self, now: int, unit: str, evidence: Evidence, draining: set[str]
    ) -> list[Any] | None:
        """Returns a host's row for a digest, or None if the log needs none."""
        host = self.ledger.hosts.get(unit[5:])
        if host is None:
            self.unlisted_units.add(unit)
            return None
        # The idle time belongs to one heartbeat and is logged under its number, which may be lower
        # than that of the last change.
        number, status = (
            evidence.n if evidence.heartbeat_at >= 0 else max(evidence.n, evidence.changed),
            evidence.word,
        )
        is_update_needed = (
            unit in draining
            or bool(host.silent_to)
            and status["up"]
            and unit in self.suspected_hosts
        )
        is_unchanged = (evidence.inc, status["up"]) == (
            host.agent_incarnation,
            host.is_up,
        ) and status["token"] <= host.acted_token
        if (
            (evidence.inc, number) <= (host.agent_incarnation, host.agent_sequence)
            or is_unchanged
            and not is_update_needed
        ):
            return None
        return [
            evidence.inc,
            number,
            status["up"],
            evidence.idle_time if evidence.heartbeat_at >= 0 else 0,
            status["token"],
            max(
                0,
                now - (evidence.heartbeat_at if evidence.heartbeat_at >= 0 else evidence.heard_at),
            ),
        ]

    def _add_director(
        self, now: int, unit: str, evidence: Evidence, builder: "_DigestBuilder"
    ) -> list[Any] | None:
        """Adds what the log lacks of a director to `builder`; returns None if it lacks nothing."""
        name, ledger = unit[9:], self.ledger
        director = ledger.directors.get(name)
        if director is not None and (
            evidence.inc < director.incarnation
            or evidence.inc == director.incarnation
            and (not director.is_live or name not in ledger.state.aggregated_directors)
        ):
            if not evidence.is_gone:
                # It is still heard: it has to take a newer incarnation.
                self.ended_incarnations[unit] = director.incarnation
            return None
        if director is None or evidence.inc > director.incarnation:
            if director is None and len(ledger.directors) >= ledger.rules.directors:
                # Retried until there is room. The ledger names the limit when it rejects a director
                # that joins without aggregators.
                return []
            rows: dict[str, Any] = {
                "came": {name: [evidence.inc, evidence.zone, evidence.word["version"]]},
                "directors": {name: _loggable_status(evidence) | self._upper_bounds(evidence)},
            }
            if (
                evidence.is_gone
                and now - evidence.heard_at >= self._lease_with_drift()
                and self._was_watched(now, evidence.zone)
            ):
                # It came and went while no aggregator could report it. The log never has it as
                # live, but has to account for its proxies.
                rows |= {
                    "lapsed": {
                        name: [
                            evidence.inc,
                            now - evidence.heard_at,
                            self._is_final_status_known(now, evidence.zone, evidence.heard_at),
                        ]
                    },
                    "directors": {name: _loggable_status(evidence)},
                }
            builder.add(rows)
            return []
        logged = status_as_reported(director)
        status = evidence.word | {
            "silent": [host for host in evidence.word["silent"] if host in ledger.hosts],
            "took": {
                former: adoption
                for former, adoption in evidence.word["took"].items()
                if former in ledger.directors
            },
            "token": max(director.acted_token, evidence.word["token"]),
        }
        if any(host not in ledger.hosts for host in evidence.word["silent"]):
            self.unlisted_units.add(unit)
        if (
            director.has_reported
            and not must_be_logged(logged, status, ledger.rules.near_limit_share)
            or evidence.n < director.sequence
        ):
            return None
        builder.add(
            {"directors": {name: _loggable_status(evidence) | self._upper_bounds(evidence)}}
        )
        return []

    def _upper_bounds(self, evidence: Evidence) -> dict[str, int]:
        return {name: upper_bound(evidence.word[name]) for name in BOUNDED_FIELDS}

    def _attestations(self, now: int, unlogged: set[str]) -> dict[str, list[Any]]:
        """Returns attestations of zones whose directors were all heard within a lease.

        A zone gets none if it is unknown, or if one of its directors is in `unlogged`. Each
        attestation has the age of the oldest evidence, the log index at which the zone's set of
        directors changed, and by host the token of drains that all of them confirm; None in place
        of these if the log has them.
        """
        ledger, attestations = self.ledger, {}
        open_hosts = {
            unit[5:]: permit.token
            for unit, permit in ledger.permits.items()
            if unit.startswith("host/") and permit.state in DRAINING_STATES
        }
        unsettled_zones = {
            evidence.zone
            for unit in unlogged
            if unit.startswith("director/") and (evidence := self.evidence(unit))
        }
        for zone, names in ledger.state.aggregated_by_zone.items():
            logged = ledger.zones[zone]
            if not names or logged.unknown_since or zone in unsettled_zones:
                continue
            oldest_age, confirmed = 0, dict(open_hosts)
            for name in names:
                evidence = self.evidence("director/" + name)
                if (
                    evidence is None
                    or evidence.is_gone
                    or evidence.inc != ledger.directors[name].incarnation
                ):
                    break
                oldest_age = max(oldest_age, now - evidence.heard_at)
                drained = evidence.word["drained"]
                confirmed = {
                    host: token for host, token in confirmed.items() if drained.get(host) == token
                }
            else:
                if oldest_age <= ledger.rules.lease:
                    attestations[zone] = [
                        oldest_age,
                        logged.changed_index,
                        None if confirmed == logged.confirmed_drains else confirmed,
                    ]
        return attestations

    # Operators.

    def look(self, now: int) -> dict[str, Any]:
        """Returns what operators are shown of zones and aggregators; an age of -1 means never."""
        shown: dict[str, Any] = {}
        for name, zone in sorted(self.aggregator_zones.items()):
            aggregator = self.aggregators.get(name)
            age = now - aggregator.reported_at if aggregator and aggregator.reported_at >= 0 else -1
            shown[name] = {
                "zone": zone,
                "heard": age,
                "members": len(aggregator.members) if aggregator else 0,
                "gone": len(aggregator.gone_units) if aggregator else 0,
                "whole": bool(aggregator and aggregator.is_complete),
            }
        return {
            "observers": shown,
            "unknown": sorted(
                zone for zone, logged in self.ledger.zones.items() if logged.unknown_since
            ),
            "pending": len(self.dirty_units),
        }

    def latest_status(self, name: str) -> Status | None:
        """Returns a director's last status with exact figures; the log has upper bounds of some."""
        evidence = self.evidence("director/" + name)
        return evidence.word if evidence else None


class _DigestBuilder:
    """Distributes rows over a bounded number of digests of bounded size."""

    def __init__(self, made_at: int) -> None:
        self.made_at, self.digests = made_at, list[dict[str, Any]]()
        self.parts: dict[str, dict[str, Any]] = {}
        self.size = 0

    @property
    def is_full(self) -> bool:
        return (
            len(self.digests) >= MAX_DIGESTS_PER_SECOND - 1 and self.size > MAX_DIGEST_BYTES - 4_096
        )

    def add(self, rows: dict[str, dict[str, Any]]) -> None:
        """Adds rows that belong together: they go into the same digest."""
        if not rows:
            return
        size = len(json.dumps(rows))
        if (
            self.parts
            and self.size + size > MAX_DIGEST_BYTES
            and len(self.digests) < MAX_DIGESTS_PER_SECOND - 1
        ):
            self._close()
        for part, part_rows in rows.items():
            self.parts.setdefault(part, {}).update(part_rows)
        self.size += size

    def _close(self) -> None:
        self.digests.append({"k": "digest", "made": self.made_at} | self.parts)
        self.parts, self.size = {}, 0

    def build(self, attestations: dict[str, Any]) -> list[dict[str, Any]]:
        """Returns the digests; attestations go into the last, after all that they depend on."""
        if attestations:
            self.parts["vouch"] = attestations
        if self.parts:
            self._close()
        return self.digests


def _loggable_status(evidence: Evidence) -> Status:
    """Returns the status in the form that the log has, with its incarnation and number."""
    status = {
        name: value for name, value in evidence.word.items() if name not in ("drained", "version")
    }
    return status | {"inc": evidence.inc, "n": max(evidence.n, evidence.changed)}


def _decode_row(unit: str, row: Any, where: str, kinds: tuple[type, ...]) -> list[Any]:
    check_unit(unit)
    if not isinstance(row, list) or [type(value) for value in row] != list(kinds):
        raise EntryRejectedError(
            f"{where} must be a list of {', '.join(kind.__name__ for kind in kinds)}"
        )
    return [
        read_status(unit, value, where)
        if type(value) is dict
        else value
        if type(value) is bool
        else read_integer(value, where)
        for value in row
    ]
