"""Sharding of a fleet that is too large for every table to contain every host."""

import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from ironfall.decisions.channel_capacity import ChannelCapacity
from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.interface import ListedHost
from ironfall.decisions.records import Host, Proxy

# Number of hosts that an empty zone of a shard counts as when the load per host is compared.
EMPTY_ZONE_HOSTS = 1e-9


class ShardPlacement:
    """Places hosts and proxies in shards, so that the load per host is even."""

    def __init__(
        self, fleet: FleetState, channel: ChannelCapacity, random_source: random.Random
    ) -> None:
        self.fleet = fleet
        self.channel = channel
        self.random_source = random_source
        # Both by zone and shard; the load is the proxies' usual requests per second.
        self.ready_hosts = Counter[tuple[int, int]]()
        self.placed_load = defaultdict[tuple[int, int], float](float)

    def choose_shard_count(self, entries: Sequence[ListedHost]) -> None:
        """Sets the number of shards from an endpoint list, unless hosts are known already."""
        if not self.fleet.hosts:
            ready = sum(entry.ready for entry in entries)
            self.fleet.shard_count = max(1, round(ready / self.channel.max_hosts_per_shard))

    def place_host(self, zone: int) -> int:
        """Returns the shard of a new host: the one with the fewest ready hosts of its zone."""
        shards = range(self.fleet.shard_count)
        shard = self._least_loaded([self.ready_hosts[zone, s] for s in shards])
        self.ready_hosts[zone, shard] += 1
        return shard

    def count_ready_hosts(self, hosts: Iterable[Host]) -> None:
        """Recounts the ready hosts after a change of the endpoint list."""
        self.ready_hosts = Counter((h.zone, h.shard) for h in hosts if h.is_ready)

    def place_proxy(self, proxy: Proxy) -> None:
        """Places a proxy in the shard where its zone has the least load per host."""
        loads = []
        for shard in range(self.fleet.shard_count):
            key = proxy.zone, shard
            loads.append((self.placed_load[key] + 1) / (self.ready_hosts[key] or EMPTY_ZONE_HOSTS))
        proxy.shard = self._least_loaded(loads)
        self.placed_load[proxy.zone, proxy.shard] += proxy.usual_request_rate

    def remove_proxy(self, proxy: Proxy) -> None:
        """Subtracts a proxy's load from its shard."""
        self.placed_load[proxy.zone, proxy.shard] -= proxy.usual_request_rate

    def _least_loaded(self, loads: Sequence[float]) -> int:
        """Returns the index of the lowest load.

        Ties are broken at random, so that directors don't all group the same hosts.
        """
        candidates = [n for n, load in enumerate(loads) if load == min(loads)]
        if len(candidates) > 1:
            return self.random_source.choice(candidates)
        return candidates[0]
