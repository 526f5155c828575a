"""Withdraws hosts from all tables, and restores them."""

from collections.abc import Iterable

from ironfall.decisions.channel_capacity import RECOVERY_SHARE, ChannelCapacity
from ironfall.decisions.fleet_state import FleetState, ProxiesByTable
from ironfall.decisions.interface import OrderSink
from ironfall.decisions.records import UNASSIGNED, Host
from ironfall.decisions.table_publisher import TablePublisher


class HostWithdrawals:
    """Orders withdrawals and restorations, and accounts for the entries that they cost."""

    def __init__(
        self,
        fleet: FleetState,
        channel: ChannelCapacity,
        publisher: TablePublisher,
        orders: OrderSink,
    ) -> None:
        self.fleet = fleet
        self.channel = channel
        self.publisher = publisher
        self.orders = orders

    def withdraw(
        self, now: int, host: Host, proxies_by_table: ProxiesByTable | None = None
    ) -> None:
        """Withdraws a host from all tables.

        Args:
            now: The current time.
            host: The host.
            proxies_by_table: `FleetState.proxies_by_table()`, if the caller has it already.
        """
        table_proxies = proxies_by_table or self.fleet.proxies_by_table()
        self.channel.budget.charge(now, self.notified_proxies(host, table_proxies))
        if self._is_announced(host):
            self.orders.withdraw(host.id, True)
        if self.fleet.shard_count > 1 and not host.is_ready:
            # It isn't expected to return, and assignments cost less without its entries.
            for table, weight in enumerate(host.published_weights):
                if weight > 0:
                    host.published_weights[table] = 0.0
                    self.orders.set_weight(table, host.id, 0.0)
        host.is_withdrawn = True
        host.withdrawn_at = now

    def notified_proxies(self, host: Host, proxies_by_table: ProxiesByTable) -> list[int]:
        """Returns the proxies for which the withdrawal of a host costs an entry.

        Which hosts unassigned proxies use isn't known, so each is assumed to use those of one
        shard.
        """
        if self.fleet.notifies_all_proxies:
            return list(self.fleet.proxies)
        notified = dict[int, None]()
        for table, weight in enumerate(host.published_weights):
            if weight > 0:
                notified.update(dict.fromkeys(proxies_by_table.get(table, ())))
        if self._is_announced(host):
            for number in proxies_by_table.get(UNASSIGNED, ()):
                if (number + host.shard) % self.fleet.shard_count == 0:
                    notified[number] = None
        return list(notified)

    def _is_announced(self, host: Host) -> bool:
        """Returns whether proxies are sent the withdrawal; else only table entries are removed."""
        return self.fleet.shard_count == 1 or host.is_ready or host.is_withdrawn

    def restore(self, now: int, hosts: Iterable[Host]) -> None:
        """Restores withdrawn hosts with a recovery ramp, as many as the channel has capacity for.

        Each costs an entry in every table, and one to end its withdrawal.
        """
        available = self.channel.available_entries(now, RECOVERY_SHARE)
        per_proxy = available / max(1, len(self.fleet.proxies)) - self.channel.message_overhead
        max_restored = max(0, int(per_proxy * self.fleet.shard_count / (1 + self.fleet.zones)))
        restored = [h for h in hosts if h.is_withdrawn][:max_restored]
        if not restored:
            return
        proxies_by_table = self.fleet.proxies_by_table()
        for host in restored:
            host.is_withdrawn = False
            host.slow_start_since = now
            host.discard_evidence(now)
            self.channel.budget.charge(now, self.notified_proxies(host, proxies_by_table))
        self.publisher.publish(now, is_required=True, restored=restored)
        for host in restored:
            self.orders.withdraw(host.id, False)

    def restore_unserved_locations(self, now: int) -> None:
        """Restores the ready hosts of locations where ejections leave no serving host."""
        served = self.fleet.served_locations()
        self.restore(
            now,
            [
                h
                for h in self.fleet.hosts.values()
                if h.is_ready and self.fleet.location(h) not in served
            ],
        )
