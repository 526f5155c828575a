"""Publishes the table entries that have changed, the largest changes first."""

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

# A table's change, as the sum of the changes of its entries' shares, that is published at once.
LARGE_CHANGE = 0.3
# The change that is published while the channel is rather empty; a smaller one waits.
SMALL_CHANGE = 0.08
# An entry is published if its weight changes by more than this part of it.
MIN_RELATIVE_CHANGE = 0.1
# Priorities of entries that are removed, and of those of hosts that come back.
REMOVAL_PRIORITY = 2
RECOVERY_PRIORITY = 3


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """A table's solution beside what was published; lists are in the order of the hosts.

    Attributes:
        table: Number of the table.
        hosts: The serving hosts of its shard.
        weights: The solution.
        published: The weights as last published; 0 for hosts that come back.
        priorities: How urgent it is to publish each entry.
        total_weight: Sum of the solution, or 1 if it is empty.
        recovered_count: Number of the hosts that come back.
    """

    table: int
    hosts: Sequence[Host]
    weights: list[float]
    published: list[float]
    priorities: list[float]
    total_weight: float
    recovered_count: int


class TablePublisher:
    """Solves for the tables and publishes what has changed, as far as the channel holds it."""

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

    def publish(self, now: int, *, is_required: bool, recovered: Sequence[Host] = ()) -> None:
        """Publishes changed entries of all tables.

        Args:
            now: The time.
            is_required: Whether small changes are published too.
            recovered: Hosts that come back, all of whose entries are published.
        """
        proxies_by_table = self.fleet.proxies_by_table()
        for shard, hosts in enumerate(self.fleet.serving_hosts_by_shard()):
            for solution in self.solver.solve(now, hosts, shard):
                update = _table_update(solution, hosts, recovered)
                users = proxies_by_table.get(update.table, [])
                order = self._entries_to_publish(now, update, users, is_required)
                self._publish_entries(now, update, users, order)

    def _entries_to_publish(
        self, now: int, update: TableUpdate, users: Sequence[int], is_required: bool
    ) -> list[int]:
        """Returns the positions of the entries to publish, the largest changes first."""
        priorities = update.priorities
        total = update.total_weight
        order = sorted(range(len(priorities)), key=lambda n: -priorities[n])
        order = [
            n for n in order if priorities[n] * total > MIN_RELATIVE_CHANGE * update.weights[n]
        ]
        if not users:
            return order
        share = _channel_share(update, is_required)
        available = self.channel.available_entries(now, share, users)
        fitting = int(available / len(users) - self.channel.message_overhead)
        return order[: max(update.recovered_count, fitting)]

    def _publish_entries(
        self, now: int, update: TableUpdate, users: Sequence[int], order: Sequence[int]
    ) -> None:
        scale = _publication_scale(update, order)
        for n in order:
            host = update.hosts[n]
            weight = update.weights[n] * scale
            if weight != host.published_weights[update.table]:
                host.published_weights[update.table] = weight
                self.channel.budget.charge(now, users)
                self.orders.set_weight(update.table, host.id, weight)


def _table_update(
    solution: TableWeights, hosts: Sequence[Host], recovered: Sequence[Host]
) -> TableUpdate:
    table = solution.table
    published = [0.0 if h in recovered else h.published_weights[table] for h in hosts]
    return TableUpdate(
        table=table,
        hosts=hosts,
        weights=solution.weights,
        published=published,
        priorities=_priorities(hosts, solution.weights, published, recovered),
        total_weight=sum(solution.weights) or 1.0,
        recovered_count=sum(h in recovered for h in hosts),
    )


def _priorities(
    hosts: Sequence[Host],
    weights: Sequence[float],
    published: Sequence[float],
    recovered: Sequence[Host],
) -> list[float]:
    """Returns how much each entry's share of the table changes; removals and recoveries first."""
    total = sum(weights) or 1.0
    published_total = sum(published) or 1.0
    priorities = []
    for host, weight, old_weight in zip(hosts, weights, published, strict=True):
        priority = abs(weight / total - old_weight / published_total)
        if weight == 0 < old_weight:
            priority += REMOVAL_PRIORITY
        if host in recovered:
            priority += RECOVERY_PRIORITY
        priorities.append(priority)
    return priorities


def _channel_share(update: TableUpdate, is_required: bool) -> float:
    """Small changes wait, so that the channel has capacity when a large one is needed at once."""
    if not any(update.published):
        return URGENT_SHARE
    change = sum(update.priorities)
    if is_required or change > LARGE_CHANGE:
        return REQUIRED_UPDATE_SHARE
    if change > SMALL_CHANGE:
        return ROUTINE_SHARE
    return 0.0


def _publication_scale(update: TableUpdate, order: Sequence[int]) -> float:
    """Scales new weights to the entries that stay, so that a table sent in part is right so far."""
    unchanged = set(range(len(update.weights))).difference(order)
    published_sum = sum(update.published[n] for n in unchanged)
    wanted_sum = sum(update.weights[n] for n in unchanged)
    if published_sum and wanted_sum:
        return published_sum / wanted_sum
    return len(update.weights) / update.total_weight
