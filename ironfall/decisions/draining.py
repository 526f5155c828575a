"""Withdraws hosts that drain or were removed from the endpoint list, and later drops them."""

from ironfall.decisions.channel_capacity import (
    ROUTINE_SHARE,
    URGENT_SHARE,
    ChannelCapacity,
)
from ironfall.decisions.fleet_state import FleetState, ProxiesByTable
from ironfall.decisions.interface import OrderSink
from ironfall.decisions.records import MAX_BACKOFF, Host
from ironfall.decisions.withdrawals import HostWithdrawals

# A withdrawal is repeated if a proxy that connected within this time after it is overdue for its
# assignment. The record of a withdrawn host that isn't ready is removed after this time.
WITHDRAWAL_LIFETIME = MAX_BACKOFF
# Entries to remove a withdrawn host: one to remove it from a table, one to end its withdrawal.
RELEASE_ENTRIES = 2


class DrainControl:
    """Withdraws hosts that are no longer ready, in as few batches as the channel allows."""

    def __init__(
        self,
        fleet: FleetState,
        channel: ChannelCapacity,
        withdrawals: HostWithdrawals,
        orders: OrderSink,
    ) -> None:
        self.fleet = fleet
        self.channel = channel
        self.withdrawals = withdrawals
        self.orders = orders

    def drain(self, now: int) -> None:
        """Withdraws hosts that drain or were removed from the endpoint list.

        If the channel lacks the capacity for all of them at once, as when a zone is lost, updates
        that aren't urgent wait and the hosts go in a few large batches. In many small ones, the
        message overhead would use up the channel.
        """
        leaving = self._leaving_hosts(now)
        proxies_by_table = self.fleet.proxies_by_table() if leaving else {}
        fitting = self._count_fitting(now, leaving, proxies_by_table)
        if fitting >= self._min_batch_size(len(leaving)):
            for host in leaving[:fitting]:
                self.withdrawals.withdraw(now, host, proxies_by_table)
        awaited_entries = 0.0
        if len(leaving) > fitting:
            proxies = max(1, len(self.fleet.proxies))
            available = self.channel.available_entries(now, URGENT_SHARE)
            awaited_entries = max(proxies * self.channel.message_overhead, available) + proxies
        self.channel.awaited_drain_entries = awaited_entries
        self.withdrawals.restore_unserved_locations(now)

    def _leaving_hosts(self, now: int) -> list[Host]:
        """Returns the hosts to withdraw, followed by those whose withdrawal is to be repeated."""
        unassigned = [p.joined_at for p in self.fleet.proxies.values() if p.is_unassigned()]
        # While assignments wait in a fleet with several shards, they are sent before drains that
        # began later and have more time left. The assignments tell the proxies of those drains.
        can_wait_after = now
        if 0 < self.channel.assignment_factor < 1:
            can_wait_after = min(unassigned, default=now) + self.channel.assignment_deadline // 2
        leaving = []
        for host in self.fleet.hosts.values():
            can_wait = can_wait_after < host.last_ready_at > now - self.channel.assignment_deadline
            if not host.is_ready and not host.is_withdrawn and not can_wait:
                leaving.append(host)
        repeated = self._withdrawals_to_repeat(now, unassigned)
        # To repeat more withdrawals than a shard may have hosts would cost more entries than to
        # assign the proxies.
        if len(repeated) <= self.channel.max_hosts_per_shard:
            leaving += repeated
        return leaving

    def _withdrawals_to_repeat(self, now: int, unassigned: list[int]) -> list[Host]:
        """Returns withdrawn hosts that proxies which connected later may still use."""
        overdue = (at for at in unassigned if now - at > self.channel.assignment_deadline)
        last_overdue = max(overdue, default=-WITHDRAWAL_LIFETIME)
        return [
            h
            for h in self.fleet.hosts.values()
            if not h.is_ready
            and h.is_withdrawn
            and 0 < last_overdue - h.withdrawn_at < WITHDRAWAL_LIFETIME
        ]

    def _count_fitting(
        self, now: int, leaving: list[Host], proxies_by_table: ProxiesByTable
    ) -> int:
        """Returns how many of the hosts can be withdrawn at once, in their order."""
        available = self.channel.available_entries(now, URGENT_SHARE)
        fitting = 0
        cost = 0.0
        notified = set[int]()
        for host in leaving:
            proxies = self.withdrawals.notified_proxies(host, proxies_by_table)
            new_messages = len(set(proxies) - notified)
            cost += len(proxies) + self.channel.message_overhead * new_messages
            notified.update(proxies)
            if cost <= available:
                fitting += 1
        return fitting

    def _min_batch_size(self, leaving: int) -> float:
        """Returns the minimum number of hosts to withdraw in one batch."""
        overhead = self.channel.message_overhead
        proxies = max(1, len(self.fleet.proxies))
        entries_per_proxy = self.channel.queue_limit / proxies - overhead
        return min(leaving, self.fleet.shard_count * min(overhead, entries_per_proxy / 2))

    def forget_removed_hosts(self, now: int) -> None:
        """Ends the withdrawals of hosts withdrawn long ago that aren't ready, and drops them.

        Otherwise each assignment would contain an entry for every host ever withdrawn. Unassigned
        proxies may hold tables from before the withdrawal, so this waits until there are none.
        """
        if any(p.is_partly_unassigned() for p in self.fleet.proxies.values()):
            return
        proxies_by_table = self.fleet.proxies_by_table()
        removed = [
            h
            for h in self.fleet.hosts.values()
            if not h.is_ready and h.is_withdrawn and now - h.withdrawn_at > WITHDRAWAL_LIFETIME
        ]
        for host in removed:
            proxies = self.withdrawals.notified_proxies(host, proxies_by_table)
            needed = (RELEASE_ENTRIES + self.channel.message_overhead) * len(proxies)
            if self.channel.available_entries(now, ROUTINE_SHARE) < needed:
                return
            self._forget(now, host, proxies, proxies_by_table)

    def _forget(
        self, now: int, host: Host, proxies: list[int], proxies_by_table: ProxiesByTable
    ) -> None:
        budget = self.channel.budget
        for table, weight in enumerate(host.published_weights):
            if weight > 0:
                budget.charge(now, proxies_by_table.get(table, ()))
                self.orders.set_weight(table, host.id, 0.0)
        budget.charge(now, proxies)
        self.orders.withdraw(host.id, False)
        del self.fleet.hosts[host.id]
        self.orders.forget(host.id)
