"""Assigns proxies to tables, at the rate that the channel allows."""

from collections import Counter
from dataclasses import dataclass, replace

from ironfall.decisions.channel_capacity import (
    ASSIGNMENT_ENTRIES,
    ASSIGNMENT_SHARE,
    RESYNCHRONIZATION_RESERVE,
    URGENT_SHARE,
    ChannelCapacity,
)
from ironfall.decisions.fleet_state import FleetState, Location
from ironfall.decisions.interface import OrderSink
from ironfall.decisions.records import UNASSIGNED, Host, Proxy
from ironfall.decisions.sharding import ShardPlacement

# `ChannelCapacity.assignment_factor` while assignments wait for capacity, in a fleet with one shard
# and with several.
WAITING_FACTOR = 1.0
WAITING_FACTOR_WITH_SHARDS = 0.5


@dataclass(frozen=True, slots=True)
class AssignmentContext:
    """Data shared by all assignments of one update.

    Attributes:
        hosts_by_shard: The serving hosts of each shard.
        served_locations: The locations that have a serving host.
        target_tables: By shard and zone, the table of each traffic class.
        withdrawn_by_shard: Number of withdrawn hosts in each shard.
    """

    hosts_by_shard: list[list[Host]]
    served_locations: set[Location]
    target_tables: dict[tuple[int, int], list[int]]
    withdrawn_by_shard: Counter[int]


@dataclass(frozen=True, slots=True)
class Assignment:
    """The assignment of one proxy.

    Attributes:
        number: Number of the proxy.
        proxy: Its record.
        target_tables: By traffic class, the table it should use.
        is_resynchronization: Whether the proxy is sent all of its tables again.
    """

    number: int
    proxy: Proxy
    target_tables: list[int]
    is_resynchronization: bool = False

    def classes_to_move(self, table: int) -> list[int]:
        """Returns the traffic classes that should use a table but don't yet."""
        return [
            index
            for index, target in enumerate(self.target_tables)
            if target == table != self.proxy.tables[index]
        ]


class ProxyAssigner:
    """Keeps the records of proxies, and assigns each to the tables of its zone and shard."""

    def __init__(
        self,
        fleet: FleetState,
        channel: ChannelCapacity,
        shards: ShardPlacement,
        orders: OrderSink,
    ) -> None:
        self.fleet = fleet
        self.channel = channel
        self.shards = shards
        self.orders = orders

    def add_proxy(self, now: int, number: int, zone: int, request_rate: float) -> None:
        """Records a proxy that connected; a later call of `assign_waiting` assigns it."""
        self.remove_proxy(number)
        proxy = Proxy(
            zone=zone % self.fleet.zones,
            joined_at=now,
            request_rate=request_rate,
            tables=[UNASSIGNED] * len(self.fleet.traffic_classes),
            usual_request_rate=request_rate,
        )
        self.fleet.proxies[number] = proxy
        self.channel.budget.add_proxy(number)
        self.shards.place_proxy(proxy)

    def remove_proxy(self, number: int) -> None:
        """Removes the record of a proxy that disconnected."""
        self.channel.budget.remove_proxy(number)
        proxy = self.fleet.proxies.pop(number, None)
        if proxy is not None:
            self.shards.remove_proxy(proxy)

    def mark_desynchronized(self, number: int) -> None:
        """Marks a proxy to be sent all of its tables again."""
        proxy = self.fleet.proxies.get(number)
        if proxy is not None:
            proxy.is_desynchronized = True

    def assign_waiting(self, now: int) -> None:
        """Assigns as many proxies as fit, and leaves the rest of the channel to urgent updates."""
        fleet = self.fleet
        context = self._context(now)
        factor = WAITING_FACTOR if fleet.shard_count == 1 else WAITING_FACTOR_WITH_SHARDS
        self.channel.assignment_factor = WAITING_FACTOR
        has_waiting = False
        for number, proxy in self._most_urgent_first(now):
            if fleet.location(proxy) not in context.served_locations:
                self._move_to_served_shard(proxy, context)
            target = context.target_tables[proxy.shard, proxy.zone]
            if target == proxy.tables and not proxy.is_desynchronized:
                continue
            if not self._assign(now, Assignment(number, proxy, target), context):
                has_waiting = True
        if any(not h.is_ready and not h.is_withdrawn for h in fleet.hosts.values()):
            has_waiting = True
        self.channel.assignment_factor = factor if has_waiting else 0.0

    def _context(self, now: int) -> AssignmentContext:
        fleet = self.fleet
        groups = fleet.class_table_groups(now)
        target_tables = {
            (shard, zone): [fleet.table_number(shard, group, zone) for group in groups]
            for shard in range(fleet.shard_count)
            for zone in range(fleet.zones)
        }
        return AssignmentContext(
            hosts_by_shard=fleet.serving_hosts_by_shard(),
            served_locations=fleet.served_locations(),
            target_tables=target_tables,
            withdrawn_by_shard=Counter(h.shard for h in fleet.hosts.values() if h.is_withdrawn),
        )

    def _most_urgent_first(self, now: int) -> list[tuple[int, Proxy]]:
        """Sorts proxies by urgency, then by descending request rate.

        Proxies state their own rate when they connect, so overdue proxies come first: otherwise
        ones that reconnect repeatedly could delay them.
        """

        def urgency(item: tuple[int, Proxy]) -> tuple[bool, bool, float]:
            proxy = item[1]
            is_overdue = (
                proxy.is_partly_unassigned()
                and now - proxy.joined_at > self.channel.assignment_deadline
            )
            return not proxy.is_desynchronized, not is_overdue, -proxy.request_rate

        return sorted(self.fleet.proxies.items(), key=urgency)

    def _move_to_served_shard(self, proxy: Proxy, context: AssignmentContext) -> None:
        """Moves a proxy to another shard that has a serving host in its zone, if there is one."""
        location = self.fleet.location(proxy)
        if any(zone == location[1] for _, zone in context.served_locations):
            self.shards.remove_proxy(proxy)
            self.shards.place_proxy(proxy)

    def _assign(self, now: int, assignment: Assignment, context: AssignmentContext) -> bool:
        """Assigns a proxy to its tables; returns False if one of them has to wait for capacity.

        It also returns True if a resynchronization has to wait, or if the proxy waits for a fresh
        endpoint list.
        """
        proxy, target = assignment.proxy, assignment.target_tables
        # At most one resynchronization per window, so that a proxy which desynchronizes repeatedly
        # takes neither the others' capacity nor more messages than it may receive.
        may_resynchronize = now - proxy.resynchronized_at >= self.channel.message_window
        must_resynchronize = proxy.is_desynchronized and may_resynchronize
        if target == proxy.tables and not must_resynchronize:
            return True
        waiting_time = now - proxy.joined_at
        if not self.fleet.has_fresh_list and waiting_time < self.channel.assignment_deadline:
            return True
        if must_resynchronize:
            assignment = replace(assignment, is_resynchronization=True)
            if not self._fits_resynchronization(now, assignment, context):
                return True
            proxy.is_desynchronized = False
            proxy.resynchronized_at = now
            proxy.tables = [UNASSIGNED] * len(target)
        fits = [
            self._assign_table(now, table, assignment, context) for table in dict.fromkeys(target)
        ]
        return all(fits)

    def _message_entries(self, proxy: Proxy, context: AssignmentContext) -> int:
        """Returns the number of entries in an assignment message, without those of the table."""
        withdrawn = context.withdrawn_by_shard[proxy.shard]
        return ASSIGNMENT_ENTRIES + withdrawn + len(self.fleet.traffic_classes)

    def _fits_resynchronization(
        self, now: int, assignment: Assignment, context: AssignmentContext
    ) -> bool:
        """Returns whether all tables of a proxy can be sent at once.

        The proxy applies no updates until it has them, so they may use the urgent share of the
        message limit, and half of the queue. The rest of the queue is reserved for other proxies.
        """
        proxy = assignment.proxy
        hosts = context.hosts_by_shard[proxy.shard]
        message_entries = self._message_entries(proxy, context)
        needed = sum(
            self.channel.message_overhead + message_entries + _count_entries(hosts, table)
            for table in set(assignment.target_tables)
        )
        reserve = RESYNCHRONIZATION_RESERVE * self.channel.queue_limit
        return self.channel.available_entries(now, URGENT_SHARE) - reserve >= needed

    def _assign_table(
        self, now: int, table: int, assignment: Assignment, context: AssignmentContext
    ) -> bool:
        """Assigns a proxy to one table; returns False if the channel lacks the capacity."""
        number, proxy = assignment.number, assignment.proxy
        classes = assignment.classes_to_move(table)
        if not classes:
            return True
        entries = _count_entries(context.hosts_by_shard[proxy.shard], table)
        served = context.served_locations
        if not entries and (not served or self.fleet.location(proxy) in served):
            # The table's entries have not been published yet.
            return True
        message_entries = self._message_entries(proxy, context)
        if not assignment.is_resynchronization:
            available = self.channel.available_entries(now, ASSIGNMENT_SHARE, (number,))
            if available < self.channel.message_overhead + message_entries + entries:
                return False
        self.channel.budget.charge(now, (number,), message_entries + entries)
        for index in classes:
            proxy.tables[index] = table
        self.orders.assign(number, table, sum(1 << index for index in classes))
        return True


def _count_entries(hosts: list[Host], table: int) -> int:
    """Returns the number of hosts in a table."""
    return sum(h.published_weights[table] > 0 for h in hosts)
