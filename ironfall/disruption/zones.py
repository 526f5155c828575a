"""Zones whose directors report through heartbeat aggregators: availability and attestations."""

from ironfall.disruption.entries import ZoneAttestation
from ironfall.disruption.records import Zone
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import host_target


class Zones:
    """Keeps a record of each zone that has live aggregated directors or is unknown."""

    def __init__(self, state: LedgerState) -> None:
        """Takes the state whose zones it changes."""
        self.state = state

    def set_unknown(self, zone: str, is_unknown: bool) -> None:
        """Records whether none of the zone's aggregators is heard."""
        state = self.state
        record = state.zones.setdefault(zone, Zone(state.index))
        if bool(record.unknown_since) != is_unknown:
            record.unknown_since = max(1, state.now) if is_unknown else 0
            state.requests_settled = False
            state.record(f"zone {zone}", "unknown" if is_unknown else "known", state.index)
        self._drop_if_unused(zone)

    def add_director(self, name: str, zone: str) -> None:
        """Records that a live director's heartbeats go through the zone's aggregators."""
        self.state.aggregated_directors[name] = zone
        self.state.aggregated_by_zone.setdefault(zone, set()).add(name)
        self._on_directors_changed(zone)

    def remove_director(self, name: str) -> None:
        """Records that a director is gone or no longer reports through aggregators."""
        zone = self.state.aggregated_directors.pop(name, None)
        if zone is not None:
            self.state.aggregated_by_zone[zone].discard(name)
            self._on_directors_changed(zone)

    def _on_directors_changed(self, zone: str) -> None:
        """Discards attestations, since they were made for another set of directors."""
        record = self.state.zones.setdefault(zone, Zone())
        record.changed_index = self.state.index
        record.heard_at = 0
        record.confirmed_drains = {}
        self._drop_if_unused(zone)

    def _drop_if_unused(self, zone: str) -> None:
        if not self.state.aggregated_by_zone.get(zone) and not self.state.zones[zone].unknown_since:
            self.state.aggregated_by_zone.pop(zone, None)
            del self.state.zones[zone]

    def apply_attestation(self, zone: str, attestation: ZoneAttestation, heard_at: int) -> str:
        """Applies an attestation; returns why it is rejected, or an empty string."""
        record = self.state.zones.get(zone)
        if record is None or record.changed_index != attestation.changed_index:
            changed_index = record.changed_index if record else 0
            return (
                f"its directors changed at {changed_index}, "
                f"and {attestation.changed_index} is meant"
            )
        if record.unknown_since:
            return "it is unknown"
        record.heard_at = heard_at
        if attestation.confirmed_drains is not None:
            record.confirmed_drains = {
                host: token
                for host, token in attestation.confirmed_drains.items()
                if host_target(host) in self.state.permits
            }
        return ""
