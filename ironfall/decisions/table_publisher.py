"""Publishes changed table entries, largest changes first."""

from collections.abc import Sequence
from dataclasses import dataclass

from ironfall.decisions.channel_capacity import (
    REQUIRED_UPDATE_SHARE,
    ROUTINE_SHARE,
    URGENT_SHARE,
    ChannelCapacity,
)
from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.interface import OrderSink
from ironfall.decisions.records import Host
from ironfall.decisions.weight_solver import TableWeights, WeightSolver

# A larger change of a table, as the sum of the changes of its entries' shares, is published at
# once.
LARGE_CHANGE = 0.3
# A larger change is published while the channel has capacity to spare; a smaller one waits.
SMALL_CHANGE = 0.08
# An entry is published if its weight changes by more than this fraction.
MIN_RELATIVE_CHANGE = 0.1
# Added to the priorities of removed entries, and of the entries of restored hosts.
REMOVAL_PRIORITY = 2
RESTORATION_PRIORITY = 3


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """A table's new weights and its published ones; lists are in the order of `hosts`.

    Attributes:
        table: Number of the table.
        hosts: The serving hosts of its shard.
        weights: The new weights.
        published: The weights last published; 0 for restored hosts.
        priorities: How urgent it is to publish each entry.
        total_weight: Sum of the new weights, or 1 if it is 0.
        restored_count: Number of restored hosts.
    """

    table: int
    hosts: Sequence[Host]
    weights: list[float]
    published: list[float]
    priorities: list[float]
    total_weight: float
    restored_count: int


class TablePublisher:
    """Computes the tables, and publishes changes as far as the channel has capacity."""

    def __init__(
        self,
        fleet: FleetState,
        channel: ChannelCapacity,
        solver: WeightSolver,
        orders: OrderSink,
    ) -> None:
        self.fleet = fleet
        self.channel = channel
        self.solver = solver
        self.orders = orders

    def publish(self, now: int, *, is_required: bool, restored: Sequence[Host] = ()) -> None:
        """Publishes changed entries of all tables.

        Args:
            now: The current time.
            is_required: Whether small changes are published too.
            restored: Restored hosts, whose entries are all published.
        """
        proxies_by_table = self.fleet.proxies_by_table()
        for shard, hosts in enumerate(self.fleet.serving_hosts_by_shard()):
            for solution in self.solver.solve(now, hosts, shard):
                update = _table_update(solution, hosts, restored)
                proxies = proxies_by_table.get(update.table, [])
                order = self._entries_to_publish(now, update, proxies, is_required)
                self._publish_entries(now, update, proxies, order)

    def _entries_to_publish(
        self, now: int, update: TableUpdate, proxies: Sequence[int], is_required: bool
    ) -> list[int]:
        """Returns the indices of the entries to publish, largest changes first."""
        priorities = update.priorities
        total = update.total_weight
        order = sorted(range(len(priorities)), key=lambda n: -priorities[n])
        order = [
            n for n in order if priorities[n] * total > MIN_RELATIVE_CHANGE * update.weights[n]
        ]
        if not proxies:
            return order
        share = _channel_share(update, is_required)
        available = self.channel.available_entries(now, share, proxies)
        fitting = int(available / len(proxies) - self.channel.message_overhead)
        return order[: max(update.restored_count, fitting)]

    def _publish_entries(
        self, now: int, update: TableUpdate, proxies: Sequence[int], order: Sequence[int]
    ) -> None:
        scale = _publication_scale(update, order)
        for n in order:
            host = update.hosts[n]
            weight = update.weights[n] * scale
            if weight != host.published_weights[update.table]:
                host.published_weights[update.table] = weight
                self.channel.budget.charge(now, proxies)
                self.orders.set_weight(update.table, host.id, weight)


def _table_update(
    solution: TableWeights, hosts: Sequence[Host], restored: Sequence[Host]
) -> TableUpdate:
    table = solution.table
    published = [0.0 if h in restored else h.published_weights[table] for h in hosts]
    return TableUpdate(
        table=table,
        hosts=hosts,
        weights=solution.weights,
        published=published,
        priorities=_priorities(hosts, solution.weights, published, restored),
        total_weight=sum(solution.weights) or 1.0,
        restored_count=sum(h in restored for h in hosts),
    )


def _priorities(
    hosts: Sequence[Host],
    weights: Sequence[float],
    published: Sequence[float],
    restored: Sequence[Host],
) -> list[float]:
    """Returns by how much each entry's share of its table changes.

    Removed entries and those of restored hosts get an addition that puts them first.
    """
    total = sum(weights) or 1.0
    published_total = sum(published) or 1.0
    priorities = []
    for host, weight, old_weight in zip(hosts, weights, published, strict=True):
        priority = abs(weight / total - old_weight / published_total)
        if weight == 0 < old_weight:
            priority += REMOVAL_PRIORITY
        if host in restored:
            priority += RESTORATION_PRIORITY
        priorities.append(priority)
    return priorities


def _channel_share(update: TableUpdate, is_required: bool) -> float:
    """Returns the share of the channel that a table's changes may fill.

    Small changes wait, so that there is capacity when a large one must be published at once.
    """
    if not any(update.published):
        return URGENT_SHARE
    change = sum(update.priorities)
    if is_required or change > LARGE_CHANGE:
        return REQUIRED_UPDATE_SHARE
    if change > SMALL_CHANGE:
        return ROUTINE_SHARE
    return 0.0


def _publication_scale(update: TableUpdate, order: Sequence[int]) -> float:
    """Returns the factor that scales new weights to the published ones of unchanged entries.

    It keeps the proportions right in a table of which only a part is published. If no entry is
    unchanged, the factor scales the weights to a mean of 1.
    """
    unchanged = set(range(len(update.weights))).difference(order)
    published_sum = sum(update.published[n] for n in unchanged)
    wanted_sum = sum(update.weights[n] for n in unchanged)
    if published_sum and wanted_sum:
        return published_sum / wanted_sum
    return len(update.weights) / update.total_weight
