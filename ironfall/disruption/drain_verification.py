"""Verification that a draining target is empty and may be stopped."""

from ironfall.disruption.records import Permit
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import is_host, target_name


class DrainVerifier:
    """Finds what prevents a draining target from being taken out of service.

    Obstacles are returned as text; an empty string means that there is none.
    """

    def __init__(self, state: LedgerState) -> None:
        """Takes the state whose reports it uses, which it never changes."""
        self.state = state

    def obstacle(self, target: str, permit: Permit) -> str:
        """Returns why the target is not known to be empty."""
        unaccounted = self.state.channel_load().unaccounted_proxies
        if unaccounted:
            return f"{unaccounted} proxies of directors without a lease were seen nowhere else"
        name = target_name(target)
        if not is_host(target):
            return self._director_obstacle(name, permit)
        return self._confirmation_obstacle(name, permit) or self._agent_obstacle(name, permit)

    def _director_obstacle(self, name: str, permit: Permit) -> str:
        director = self.state.directors[name]
        is_ready = director.is_leaving and director.acted_token >= permit.token
        if not director.is_live or not is_ready:
            return "it has not said that it is ready to stop"
        if name in self.state.aggregated_directors:
            return self.attestation_gap(director.zone)
        return ""

    def _confirmation_obstacle(self, name: str, permit: Permit) -> str:
        """Returns why it is not known that all directors' proxies stopped using the host."""
        state = self.state
        live = state.channel_load().live_directors
        if not live:
            return "no director has a live lease"
        expected = live - len(state.aggregated_directors)
        if len(permit.confirmed_by) < expected:
            return f"{expected - len(permit.confirmed_by)} directors have not confirmed"
        if not state.aggregated_directors:
            return ""
        for zone, record in state.zones.items():
            if not state.aggregated_by_zone.get(zone):
                continue
            if gap := self.attestation_gap(zone):
                return gap
            if record.confirmed_drains.get(name) != permit.token:
                return f"the directors of zone {zone} have not all confirmed"
        return ""

    def _agent_obstacle(self, name: str, permit: Permit) -> str:
        host, rules = self.state.hosts[name], self.state.rules
        is_idle = host.idle_time >= rules.min_idle_time
        is_recent = self.state.now <= host.agent_heard_at + rules.lease
        if not is_idle or not is_recent or host.agent_heard_at < permit.since:
            return "its agent has not said, lately, that nothing comes"
        return ""

    def attestation_gap(self, zone: str) -> str:
        """Returns why there is no valid attestation of the directors of a zone."""
        record = self.state.zones[zone]
        if record.unknown_since:
            return f"zone {zone} is unknown"
        if self.state.now > record.heard_at + self.state.rules.lease:
            return f"zone {zone} was not heard, all of it, for a lease"
        return ""
