"""Detects network partitions between zones, which aren't faults of the hosts behind them."""

from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.records import Host, ZonePath

# Minimum number of unanswered attempts over a path that is considered partitioned.
MIN_UNANSWERED_ATTEMPTS = 40
# With so few hosts, a fault of the path can't be told from faults of the hosts.
MAX_INCONCLUSIVE_HOSTS = 2
# A zone that its own hosts don't serve at this rate gives no evidence about paths to other zones.
MIN_HOME_SUCCESS_RATE = 0.5


class PartitionDetector:
    """Finds the paths over which most hosts of a zone don't answer another zone's proxies."""

    def __init__(self, fleet: FleetState) -> None:
        self.fleet = fleet

    def update(self, now: int) -> None:
        """Marks partitioned paths, and discards the evidence of paths that work again."""
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
                    self._on_partition_end(now, path, other)

    def _on_partition_end(self, now: int, path: ZonePath, zone: int) -> None:
        path.reset_measurements()
        for host in self.fleet.hosts.values():
            if host.zone == zone:
                host.discard_evidence(now)


def _serves_itself(path: ZonePath) -> bool:
    return path.failure_rate.success_rate() > MIN_HOME_SUCCESS_RATE


def _is_unanswered(path: ZonePath, hosts: list[Host]) -> bool:
    """Returns whether attempts at most hosts failed since any host of the zone last answered."""
    attempts = [path.unanswered_attempts[h.id] for h in hosts]
    attempts = [count for count in attempts if count]
    min_hosts = max(MAX_INCONCLUSIVE_HOSTS, len(hosts) / 2)
    return sum(attempts) >= MIN_UNANSWERED_ATTEMPTS and len(attempts) > min_hosts
