"""Detects network partitions between zones, which are no fault of the hosts behind them."""

from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.records import Host, ZonePath

# Unanswered attempts over a path before it can be taken for partitioned.
MIN_UNANSWERED_ATTEMPTS = 40
# Of so few hosts, it can't be told whether they fail or the path to them.
MAX_INCONCLUSIVE_HOSTS = 2
# A zone whose own hosts don't serve it can't tell that a path to another is at fault.
MIN_HOME_SUCCESS_RATE = 0.5


class PartitionDetector:
    """Finds the paths over which most hosts of a zone answer none of another zone's proxies."""

    def __init__(self, fleet: FleetState) -> None:
        self.fleet = fleet

    def update(self, now: int) -> None:
        """Marks the paths that are partitioned, and forgets the evidence from those that healed."""
        serving = self.fleet.serving_hosts()
        hosts_by_zone = [[h for h in serving if h.zone == z] for z in range(self.fleet.zones)]
        partitioned = {
            (zone, other)
            for zone, paths in enumerate(self.fleet.zone_paths)
            if hosts_by_zone[zone] and _serves_itself(paths[zone])
            for other, path in enumerate(paths)
            if other != zone and _is_unanswered(path, hosts_by_zone[other])
        }
        for zone, paths in enumerate(self.fleet.zone_paths):
            for other, path in enumerate(paths):
                was_partitioned = path.is_partitioned
                path.is_partitioned = (zone, other) in partitioned
                if was_partitioned and not path.is_partitioned:
                    self._on_healed(now, path, other)

    def _on_healed(self, now: int, path: ZonePath, zone: int) -> None:
        path.reset_measurements()
        for host in self.fleet.hosts.values():
            if host.zone == zone:
                host.discard_evidence(now)


def _serves_itself(path: ZonePath) -> bool:
    return path.failure_rate.success_rate() > MIN_HOME_SUCCESS_RATE


def _is_unanswered(path: ZonePath, hosts: list[Host]) -> bool:
    """Returns whether most hosts were tried in vain since anybody there last answered."""
    attempts = [path.unanswered_attempts[h.id] for h in hosts]
    attempts = [count for count in attempts if count]
    min_hosts = max(MAX_INCONCLUSIVE_HOSTS, len(hosts) / 2)
    return sum(attempts) >= MIN_UNANSWERED_ATTEMPTS and len(attempts) > min_hosts
