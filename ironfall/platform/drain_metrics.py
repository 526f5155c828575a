"""Measures how soon proxies confirm drains and assignments, for the log. Pure: no I/O.

The figures come from the decision engine's records. A proxy has confirmed a drain once it has
confirmed all orders up to its assignment and, if its table named the host, all orders up to the
host's withdrawal.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.time_units import TICKS_PER_MS


@dataclass(slots=True)
class PendingDrain:
    """A drain that some proxies have not confirmed yet.

    Attributes:
        started_at: When the director received the drain, in ticks.
        unconfirmed: The assigned proxies whose tables may still name the host. The drain also waits
            for proxies that had joined by then and have no confirmed assignment; they are not in
            this set.
    """

    started_at: int
    unconfirmed: set[int]


class DrainMetrics:
    """Tracks unconfirmed drains and assignments, and the longest times to confirm them.

    Attributes:
        pending: The unconfirmed drains, by host.
        unassigned: When each proxy without a confirmed assignment joined, in ticks, oldest first.
    """

    def __init__(self, on_confirmed: Callable[[bytes, int], None]) -> None:
        """`on_confirmed` gets each host whose drain is confirmed, and the ticks that it took."""
        self._on_confirmed = on_confirmed
        self.pending: dict[bytes, PendingDrain] = {}
        # Hosts that drain or have left the list, and that the decision engine has a record of.
        self._draining_hosts: set[bytes] = set()
        self.unassigned: dict[int, int] = {}
        # When the first assignment of each proxy was ordered, in ticks.
        self._assigned_at: dict[int, int] = {}
        self._confirmed_count = 0
        self._longest_drain = 0
        self._longest_assignment = 0

    def on_proxy_joined(self, now: int, proxy: int) -> None:
        """Handles a proxy that has attached."""
        self.on_proxy_left(proxy)
        self.unassigned[proxy] = now

    def on_proxy_left(self, proxy: int) -> None:
        """Handles a proxy that has detached: no drain waits for it."""
        self.unassigned.pop(proxy, None)
        self._assigned_at.pop(proxy, None)
        for drain in self.pending.values():
            drain.unconfirmed.discard(proxy)

    def on_proxy_assigned(self, now: int, proxy: int) -> None:
        """Handles an assignment that was ordered."""
        self._assigned_at.setdefault(proxy, now)

    def on_batch(
        self, now: int, decisions: DecisionEngine, has_new_list: bool, confirmed: Collection[int]
    ) -> None:
        """Handles the end of a batch of events.

        Args:
            now: The director's clock, in ticks.
            decisions: The decision engine, whose records are read.
            has_new_list: Whether the batch held a host list.
            confirmed: The proxies whose confirmations were in the batch.
        """
        if not (has_new_list or confirmed or self.pending):
            return
        oldest_unconfirmed = decisions.budget.oldest_unconfirmed()
        if has_new_list:
            self._start_drains(now, decisions)
        self._confirm_assignments(now, decisions, confirmed, oldest_unconfirmed)
        self._confirm_drains(now, decisions, oldest_unconfirmed)

    def summary(self, now: int) -> dict[str, int]:
        """Returns the figures for the log; times are in milliseconds.

        `drain_open_ms` is the age of the oldest drain that some joined proxy has not confirmed.
        """
        ages = [now - drain.started_at for drain in self.pending.values()]
        return {
            "drains": self._confirmed_count,
            "drain_ms": self._longest_drain // TICKS_PER_MS,
            "drains_open": len(self.pending),
            "drain_open_ms": max(ages, default=0) // TICKS_PER_MS,
            "joiner_ms": self._longest_assignment // TICKS_PER_MS,
            "unbound": len(self.unassigned),
        }

    def _start_drains(self, now: int, decisions: DecisionEngine) -> None:
        hosts = decisions.hosts
        draining = {host.id for host in hosts.values() if not host.is_ready}
        for host in draining - self._draining_hosts:
            shard = hosts[host].shard
            proxies = {n for n, proxy in decisions.proxies.items() if proxy.shard == shard}
            self.pending[host] = PendingDrain(now, proxies - self.unassigned.keys())
        self._draining_hosts = draining
        self.pending = {host: drain for host, drain in self.pending.items() if host in draining}

    def _confirm_assignments(
        self,
        now: int,
        decisions: DecisionEngine,
        confirmed: Collection[int],
        oldest_unconfirmed: dict[int, int],
    ) -> None:
        hosts, proxies = decisions.hosts, decisions.proxies
        for proxy in confirmed:
            if proxy not in self.unassigned or proxy not in proxies:
                continue
            if oldest_unconfirmed.get(proxy, now + 1) <= self._assigned_at.get(proxy, now):
                continue
            joined_at = self.unassigned.pop(proxy)
            self._longest_assignment = max(self._longest_assignment, now - joined_at)
            shard = proxies[proxy].shard
            for host, drain in self.pending.items():
                if joined_at <= drain.started_at and host in hosts and hosts[host].shard == shard:
                    drain.unconfirmed.add(proxy)

    def _confirm_drains(
        self, now: int, decisions: DecisionEngine, oldest_unconfirmed: dict[int, int]
    ) -> None:
        first_unassigned = next(iter(self.unassigned.values()), now + 1)
        for name, drain in list(self.pending.items()):
            host = decisions.hosts.get(name)
            if host and host.is_withdrawn:
                # A proxy that got no order for the withdrawal had a table without the host.
                drain.unconfirmed = {
                    proxy
                    for proxy in drain.unconfirmed
                    if oldest_unconfirmed.get(proxy, now + 1) <= host.withdrawn_at
                }
            if first_unassigned > drain.started_at and not drain.unconfirmed:
                self._finish_drain(now, name)

    def _finish_drain(self, now: int, host: bytes) -> None:
        elapsed = now - self.pending.pop(host).started_at
        self._confirmed_count += 1
        self._longest_drain = max(self._longest_drain, elapsed)
        self._on_confirmed(host, elapsed)
