"""Applies the endpoint list to the records of hosts."""

from collections.abc import Sequence

from ironfall.decisions.channel_capacity import RESTART_SHARE, ChannelCapacity
from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.interface import ListedHost
from ironfall.decisions.records import DecayedMean, Host
from ironfall.decisions.sharding import ShardPlacement
from ironfall.decisions.withdrawals import HostWithdrawals


class HostListUpdater:
    """Adds hosts, and tracks their restarts and whether they are ready."""

    def __init__(
        self,
        fleet: FleetState,
        channel: ChannelCapacity,
        shards: ShardPlacement,
        withdrawals: HostWithdrawals,
    ) -> None:
        self.fleet = fleet
        self.channel = channel
        self.shards = shards
        self.withdrawals = withdrawals

    def apply(self, now: int, entries: Sequence[ListedHost], *, is_complete: bool) -> None:
        """Applies an endpoint list, or changes to it.

        Args:
            now: The current time.
            entries: The listed hosts.
            is_complete: Whether the list is complete, so that unlisted hosts were removed.
        """
        self.shards.choose_shard_count(entries)
        for entry in entries:
            self._apply_entry(now, entry)
        if is_complete:
            listed = {entry.host for entry in entries}
            for host in self.fleet.hosts.values():
                if host.id not in listed:
                    host.is_ready = False
        self.shards.count_ready_hosts(self.fleet.hosts.values())

    def _apply_entry(self, now: int, entry: ListedHost) -> None:
        host = self.fleet.hosts.get(entry.host)
        if host is None:
            if entry.ready:
                self._add_host(entry)
            return
        if 0 < entry.started < host.started_at:
            # A late entry about a process that a newer one has replaced.
            return
        is_restart = not host.is_ready or entry.started > host.started_at
        if entry.ready and is_restart:
            self._restart(now, host, entry.started)
        else:
            host.is_ready = entry.ready

    def _add_host(self, entry: ListedHost) -> None:
        fleet = self.fleet
        fleet.hosts[entry.host] = Host(
            id=entry.host,
            zone=entry.zone,
            started_at=entry.started,
            weight=entry.weight if entry.weight > 0 else 1.0,
            failure_rates=[DecayedMean() for _ in range(fleet.zones)],
            excluded_until=[0] * len(fleet.traffic_classes),
            published_weights=[0.0] * (fleet.shard_count * fleet.tables_per_shard),
            shard=self.shards.place_host(entry.zone),
        )

    def _restart(self, now: int, host: Host, started_at: int) -> None:
        """Resets the record of a restarted host, and withdraws the host, since it is cold.

        If the channel lacks the capacity, the host stays in its tables, and its weight ramps up.
        """
        host.restart(now, max(started_at, host.started_at))
        if host.is_withdrawn:
            return
        if self.channel.fits_one_entry_each(now, RESTART_SHARE, len(self.fleet.proxies)):
            self.withdrawals.withdraw(now, host)
