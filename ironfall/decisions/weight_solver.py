"""Computes table weights that load hosts by their capacity and keep traffic in its zone."""

from collections.abc import Sequence
from dataclasses import dataclass

from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.load_estimate import LoadEstimate
from ironfall.decisions.records import Host
from ironfall.decisions.slow_start import SlowStart

# Share of its capacity that a host of another zone has in the initial weights.
OTHER_ZONE_SHARE = 0.03
# Exponents by which worse paths to other zones, and failures of hosts, reduce initial weights.
PATH_QUALITY_POWER = 3
FAILURE_POWER = 2
# Limit of the load on hosts of the proxies' own zone, relative to an even distribution, above which
# other zones are used. The limit grows with the advantage of the proxies' own zone.
BASE_LOAD_LIMIT = 1.02
LOCALITY_GAIN = 3
SOLVER_ITERATIONS = 12
# A weight below this fraction of a host's even share doesn't justify an entry and its connections.
MIN_SHARE_OF_EVEN = 0.2
# Number of hosts behind partitioned paths that each table still contains, and the share of the
# table that each gets.
PATH_PROBES = 3
PATH_PROBE_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class TableDemand:
    """The demand on one table.

    Attributes:
        table: Number of the table.
        zone: Zone of its proxies.
        work: Work per second, in an arbitrary unit that is the same for all tables of a solution.
        class_index: The traffic class whose table it is; None for the shared table.
        is_zone_local: Whether it may only contain hosts of its own zone.
    """

    table: int
    zone: int
    work: float
    class_index: int | None
    is_zone_local: bool


@dataclass(frozen=True, slots=True)
class TableWeights:
    """The weights of one table, one for each serving host of the shard, in the same order."""

    table: int
    weights: list[float]


class WeightSolver:
    """Computes the weights of the tables of one shard at a time."""

    def __init__(
        self,
        fleet: FleetState,
        load: LoadEstimate,
        slow_start: SlowStart,
        cross_zone_price: float,
    ) -> None:
        self.fleet = fleet
        self.load = load
        self.slow_start = slow_start
        self.cross_zone_price = cross_zone_price

    def solve(self, now: int, hosts: Sequence[Host], shard: int) -> list[TableWeights]:
        """Returns the weights of each table of a shard that is in use."""
        overload = self.load.overload
        capacities = [self.slow_start.effective_weight(now, h, overload) for h in hosts]
        demands = self._demands(now, shard)
        rows = []
        load_limits = []
        for demand in demands:
            path_values = self._path_values(demand.zone)
            load_limits.append(self._load_limit(demand.zone, path_values))
            rows.append(self._initial_row(now, demand, path_values, hosts, capacities))
        _level_load(demands, rows, load_limits, capacities)
        for demand, row in zip(demands, rows, strict=True):
            self._drop_small_shares(now, row, hosts, capacities)
            self._add_path_probes(demand, row, hosts)
        return [TableWeights(d.table, row) for d, row in zip(demands, rows, strict=True)]

    def _demands(self, now: int, shard: int) -> list[TableDemand]:
        """Returns the demand on each table of a shard that is in use."""
        classes = self.fleet.traffic_classes
        total = self.load.request_rate * self.load.latency_objective or 1.0
        class_shares = [c.request_rate * c.work / total for c in classes]
        separate = [group - 1 for group in self.fleet.class_table_groups(now) if group]
        zone_rates = self._request_rates_by_zone(shard)
        shared = 1 - sum(class_shares[index] for index in separate)
        demands = [
            TableDemand(self.fleet.table_number(shard, 0, zone), zone, shared * rate, None, False)
            for zone, rate in enumerate(zone_rates)
        ]
        for index in separate:
            is_zone_local = classes[index].is_zone_local
            for zone, rate in enumerate(zone_rates):
                table = self.fleet.table_number(shard, 1 + index, zone)
                work = class_shares[index] * rate
                demands.append(TableDemand(table, zone, work, index, is_zone_local))
        return demands

    def _request_rates_by_zone(self, shard: int) -> list[float]:
        proxies = [p for p in self.fleet.proxies.values() if p.shard == shard]
        return [
            sum(p.request_rate for p in proxies if p.zone == zone)
            for zone in range(self.fleet.zones)
        ]

    def _path_values(self, zone: int) -> list[float]:
        """Returns, by zone of the hosts, the share of a zone's requests that succeed in time."""
        objective = self.load.latency_objective
        return [path.timely_success_rate(objective) for path in self.fleet.zone_paths[zone]]

    def _load_limit(self, zone: int, path_values: Sequence[float]) -> float:
        """Returns the relative load on the zone's own hosts above which other zones are used.

        Traffic that stays in its zone saves the price of crossing and the losses on the paths to
        other zones. The advantage counts less the closer the fleet is to overload.
        """
        advantage = self.cross_zone_price + path_values[zone] - _best_other(zone, path_values)
        headroom = max(0.0, 1 - self.load.overload)
        return BASE_LOAD_LIMIT + max(0.0, LOCALITY_GAIN * advantage) * headroom**2

    def _path_shares(self, zone: int, path_values: Sequence[float]) -> list[float]:
        """Returns, by zone of the hosts, the share of their capacity in the initial weights."""
        best = _best_other(zone, path_values)
        shares = []
        for other, value in enumerate(path_values):
            if other == zone:
                share = 1.0
            else:
                share = OTHER_ZONE_SHARE * (value / best) ** PATH_QUALITY_POWER
            if self.fleet.zone_paths[zone][other].is_partitioned:
                share = 0.0
            shares.append(share)
        return shares

    def _initial_row(
        self,
        now: int,
        demand: TableDemand,
        path_values: Sequence[float],
        hosts: Sequence[Host],
        capacities: Sequence[float],
    ) -> list[float]:
        """Returns the initial weights of one table."""
        zone = demand.zone
        path_shares = self._path_shares(zone, path_values)
        usable_capacities = [
            capacity if h.zone == zone or not demand.is_zone_local else 0.0
            for capacity, h in zip(capacities, hosts, strict=True)
        ]
        # A host that fails a share of the attempts is likely to continue to do so.
        row = [
            capacity * path_shares[h.zone] * h.failure_rates[zone].success_rate() ** FAILURE_POWER
            for capacity, h in zip(usable_capacities, hosts, strict=True)
        ]
        if (index := demand.class_index) is not None:
            row = [
                0.0 if h.excluded_until[index] > now else weight
                for weight, h in zip(row, hosts, strict=True)
            ]
        return row if any(row) else usable_capacities

    def _drop_small_shares(
        self, now: int, row: list[float], hosts: Sequence[Host], capacities: Sequence[float]
    ) -> None:
        """Limits the weights of warming hosts, and drops entries with a small share."""
        scale = sum(row) / (sum(capacities) or 1.0)
        for n, (capacity, host) in enumerate(zip(capacities, hosts, strict=True)):
            if self.slow_start.is_warming(now, host):
                row[n] = min(row[n], capacity * scale)
            if row[n] < MIN_SHARE_OF_EVEN * capacity * scale:
                row[n] = 0.0

    def _add_path_probes(
        self, demand: TableDemand, row: list[float], hosts: Sequence[Host]
    ) -> None:
        """Adds a few hosts behind partitioned paths, to detect when the paths work again."""
        if demand.is_zone_local:
            return
        paths = self.fleet.zone_paths[demand.zone]
        unreachable = [n for n, h in enumerate(hosts) if paths[h.zone].is_partitioned]
        for n in sorted(unreachable, key=lambda n: -hosts[n].weight)[:PATH_PROBES]:
            row[n] = PATH_PROBE_SHARE * sum(row)


def _best_other(zone: int, path_values: Sequence[float]) -> float:
    """Returns the best value of a path to another zone, or 1 if there is none."""
    others = (value for other, value in enumerate(path_values) if other != zone)
    return max(others, default=0.0) or 1.0


def _level_load(
    demands: Sequence[TableDemand],
    rows: list[list[float]],
    load_limits: Sequence[float],
    capacities: Sequence[float],
) -> None:
    """Iteratively reduces the weights of hosts that are loaded beyond a table's limit."""
    even_load = sum(d.work for d in demands) / (sum(capacities) or 1.0) or 1.0
    for _ in range(SOLVER_ITERATIONS):
        host_loads = [0.0] * len(capacities)
        for demand, row in zip(demands, rows, strict=True):
            scale = demand.work / (sum(row) or 1.0) / even_load
            host_loads = [
                host_load + scale * weight
                for host_load, weight in zip(host_loads, row, strict=True)
            ]
        relative_loads = [
            host_load / capacity if capacity else 0.0
            for host_load, capacity in zip(host_loads, capacities, strict=True)
        ]
        for n, limit in enumerate(load_limits):
            rows[n] = [
                weight * limit / relative_load if relative_load > limit else weight
                for weight, relative_load in zip(rows[n], relative_loads, strict=True)
            ]
