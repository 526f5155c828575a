"""Digests: what heartbeat aggregators heard from members, collected by the leader."""

from dataclasses import replace

from ironfall.disruption.entries import (
    AgedHostReport,
    Digest,
    DirectorArrival,
    DirectorLapse,
    StatusReport,
    ZoneAttestation,
)
from ironfall.disruption.leases import DirectorLeases
from ironfall.disruption.reports import Reports
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import director_target, host_target
from ironfall.disruption.zones import Zones

NO_AGGREGATED_LEASE = "no live lease of this incarnation behind observers"


class Digests:
    """Applies digests; answers with the cause of each rejected part by name."""

    def __init__(
        self, state: LedgerState, leases: DirectorLeases, reports: Reports, zones: Zones
    ) -> None:
        """Takes the state whose hosts, directors, zones and dependent permits it changes."""
        self.state = state
        self.leases = leases
        self.reports = reports
        self.zones = zones

    def apply(self, digest: Digest) -> dict[str, str]:
        """Applies the parts of a digest in order; returns the causes of rejected ones by name."""
        made_at = min(digest.made_at, self.state.now)
        rejected: dict[str, str] = {}
        for zone, is_unknown in digest.zones.items():
            self.zones.set_unknown(zone, is_unknown)
        self._apply_arrivals(digest.arrivals, rejected)
        affected = self._apply_status_reports(digest.directors, rejected)
        self._apply_host_reports(digest.hosts, made_at, rejected)
        self._apply_lapses(digest.lapses, made_at, rejected)
        self._apply_attestations(digest.attestations, made_at, rejected)
        if digest.zones or digest.arrivals or digest.lapses or digest.attestations:
            self.reports.permits.check_all_drained()
        self.reports.check_affected(affected)
        self.reports.relief.relieve()
        return rejected

    def _apply_arrivals(
        self, arrivals: dict[str, DirectorArrival], rejected: dict[str, str]
    ) -> None:
        returning = {name for name in arrivals if name in self.state.directors}
        for name, arrival in arrivals.items():
            if cause := self._arrival_rejection(name, arrival.incarnation):
                rejected[director_target(name)] = cause
            else:
                self.leases.register(name, arrival.incarnation, arrival.zone, arrival.version)
                self.zones.add_director(name, arrival.zone)
        if returning:
            self.reports.forget_adoptions_from(returning)

    def _arrival_rejection(self, name: str, incarnation: int) -> str:
        known = self.state.directors.get(name)
        if known and incarnation <= known.incarnation:
            is_present = known.is_live and incarnation == known.incarnation
            return "it came already" if is_present else "it is over"
        limit = self.state.rules.directors
        if not known and len(self.state.directors) >= limit:
            return f"no more than {limit} directors are kept"
        return ""

    def _apply_status_reports(
        self, reports: dict[str, StatusReport], rejected: dict[str, str]
    ) -> set[str]:
        """Applies status reports; returns the targets whose drains they may affect."""
        affected: set[str] = set()
        for name, report in reports.items():
            director = self.state.directors.get(name)
            is_aggregated = name in self.state.aggregated_directors
            if director is None or not is_aggregated or report.incarnation != director.incarnation:
                rejected[director_target(name)] = NO_AGGREGATED_LEASE
            elif report.sequence < director.sequence:
                rejected[director_target(name)] = "older than what it said before"
            else:
                # Attestations of the zone confirm its drains instead.
                report = replace(report, drained_hosts={})
                affected |= self.reports.apply_status_report(name, director, report)
        return affected

    def _apply_host_reports(
        self, reports: dict[str, AgedHostReport], made_at: int, rejected: dict[str, str]
    ) -> None:
        for name, aged in reports.items():
            heard_at = max(0, made_at - aged.age)
            if cause := self.reports.apply_host_report(name, aged.report, heard_at):
                rejected[host_target(name)] = cause

    def _apply_lapses(
        self, lapses: dict[str, DirectorLapse], made_at: int, rejected: dict[str, str]
    ) -> None:
        # Read before the loop, because the removal of a director resets the time of its zone.
        heard_at = {zone: record.heard_at for zone, record in self.state.zones.items()}
        for name, lapse in lapses.items():
            if cause := self._lapse_rejection(name, lapse, made_at, heard_at):
                rejected[director_target(name)] = cause
                continue
            director = self.state.directors[name]
            self.state.count_director(name, -1)
            director.is_live = False
            if not lapse.is_final_report_known:
                # Its last report may have been lost with its aggregator, so the number of its
                # proxies is not known.
                director.has_reported = False
            self.state.count_director(name, 1)
            self.zones.remove_director(name)

    def _lapse_rejection(
        self, name: str, lapse: DirectorLapse, made_at: int, heard_at: dict[str, int]
    ) -> str:
        """Returns why an aggregated director's lease cannot be ended, or an empty string."""
        zone = self.state.aggregated_directors.get(name)
        if zone is None or self.state.directors[name].incarnation != lapse.incarnation:
            return NO_AGGREGATED_LEASE
        min_age = self.state.rules.lease + self.state.rules.drift_allowance
        if lapse.age < min_age:
            return f"it was heard {lapse.age} ago, and a lease lasts {min_age}"
        if self.state.zones[zone].unknown_since:
            return "its zone is unknown"
        if made_at - lapse.age < heard_at[zone]:
            return "all of its zone were heard since"
        return ""

    def _apply_attestations(
        self, attestations: dict[str, ZoneAttestation], made_at: int, rejected: dict[str, str]
    ) -> None:
        for zone, attestation in attestations.items():
            heard_at = max(0, made_at - attestation.age)
            if cause := self.zones.apply_attestation(zone, attestation, heard_at):
                rejected[f"zone {zone}"] = cause
