"""Other engines for the same harness: baselines to compare with, and faulty ones.

Each takes what `DecisionEngine` takes and receives the same events. The faulty ones break one rule
each, which the checkers must find. None is used outside the laboratory.
"""

import random
from collections.abc import Callable, Iterable
from typing import Any

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost, Orders, ServiceSettings
from ironfall.decisions.time_units import SECOND

# The one table that the baselines use, and the mask that stands for all traffic classes.
TABLE = 0
ALL_CLASSES = 0
# Tokens of timers.
UPDATE_TIMER = 0
WATCH_TIMER = 1


class EvenEngine:
    """Puts all ready hosts into one table with equal weights, and changes it at once.

    Load reports, gauges and the settings of operators are ignored.
    """

    def __init__(
        self, orders: Orders, settings: ServiceSettings, _random_source: random.Random, _now: int
    ) -> None:
        self.orders = orders
        self.settings = settings
        self.is_ready: dict[bytes, bool] = {}
        if settings.requests_host_list:
            orders.watch_hosts()

    def on_host_list(
        self, _now: int, entries: Iterable[ListedHost], is_complete: bool, _is_fresh: bool
    ) -> None:
        """Adds ready hosts to the table, and withdraws the others."""
        for host, is_ready in self._states(entries, is_complete).items():
            if is_ready != self.is_ready.get(host, False):
                self.orders.set_weight(TABLE, host, float(is_ready))
                self.orders.withdraw(host, not is_ready)
            self.is_ready[host] = is_ready

    def _states(self, entries: Iterable[ListedHost], is_complete: bool) -> dict[bytes, bool]:
        """Returns whether each host is ready; those that a complete list leaves out are not."""
        left_out = dict.fromkeys(self.is_ready, False) if is_complete else {}
        return left_out | {entry.host: entry.ready for entry in entries}

    def on_host_list_failed(self) -> None:
        """Asks for the endpoint list again, after a second."""
        self.orders.set_timer(SECOND, WATCH_TIMER)

    def on_proxy_joined(self, _now: int, proxy: int, _zone: int, _request_rate: float) -> None:
        """Assigns the proxy to the table."""
        self.orders.assign(proxy, TABLE, ALL_CLASSES)

    def on_timer(self, _now: int, token: int) -> None:
        """Asks for the endpoint list, if that is what the timer was set for."""
        if token != UPDATE_TIMER:
            self.orders.watch_hosts()

    def on_proxy_desynchronized(self, _now: int, proxy: int) -> None:
        """Assigns the proxy again."""
        self.orders.assign(proxy, TABLE, ALL_CLASSES)

    def on_proxy_left(self, proxy: int) -> None:
        """Does nothing: proxies aren't recorded."""

    def on_version_applied(self, now: int, proxy: int, version: int) -> None:
        """Does nothing: the channel isn't accounted for."""

    def on_upstream_report(self, now: int, *report: Any) -> None:
        """Ignores load reports."""

    def on_request_report(self, now: int, *report: Any) -> None:
        """Ignores load reports."""

    def on_health_check(self, now: int, *result: Any) -> None:
        """Ignores health checks."""

    def on_gauge_reading(self, now: int, *reading: Any) -> None:
        """Ignores gauges."""

    def set_weight_bounds(self, *bounds: Any) -> None:
        """Ignores the settings of operators."""

    def set_excluded_classes(self, *classes: Any) -> None:
        """Ignores the settings of operators."""


class WithdrawalsOnlyEngine(EvenEngine):
    """Leaves proxies with the tables they have, and withdraws hosts that drain or are gone."""

    def on_host_list(
        self, _now: int, entries: Iterable[ListedHost], is_complete: bool, _is_fresh: bool
    ) -> None:
        """Withdraws hosts that aren't ready, and lets them come back."""
        for host, is_ready in self._states(entries, is_complete).items():
            if is_ready != self.is_ready.get(host, True):
                self.orders.withdraw(host, not is_ready)
            self.is_ready[host] = is_ready

    def on_proxy_desynchronized(self, now: int, proxy: int) -> None:
        """Does nothing: the proxy keeps its table."""

    def on_proxy_joined(self, _now: int, _proxy: int, _zone: int, _request_rate: float) -> None:
        """Repeats the withdrawals for the proxy."""
        for host, is_ready in self.is_ready.items():
            if not is_ready:
                self.orders.withdraw(host, True)


class IgnoresDrainsEngine(EvenEngine):
    """Faulty: never withdraws hosts that drain or are gone."""

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], _is_complete: bool, is_fresh: bool
    ) -> None:
        """Takes the ready hosts alone."""
        super().on_host_list(now, [entry for entry in entries if entry.ready], False, is_fresh)


class WithdrawsAllEngine(EvenEngine):
    """Faulty: withdraws every host as soon as one drains."""

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], is_complete: bool, is_fresh: bool
    ) -> None:
        """Withdraws all hosts if one isn't ready."""
        entries = list(entries)
        super().on_host_list(now, entries, is_complete, is_fresh)
        if any(not entry.ready for entry in entries):
            for host in self.is_ready:
                self.orders.withdraw(host, True)


class OverloadsColdHostsEngine(EvenEngine):
    """Faulty: gives nearly all requests to a host that has just started."""

    COLD_HOST_WEIGHT = 200.0

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], is_complete: bool, is_fresh: bool
    ) -> None:
        """Gives hosts that warm up far more weight than the others."""
        entries = list(entries)
        super().on_host_list(now, entries, is_complete, is_fresh)
        for entry in entries:
            is_cold = entry.started and now - entry.started < self.settings.slow_start_time
            if entry.ready and is_cold:
                self.orders.set_weight(TABLE, entry.host, self.COLD_HOST_WEIGHT)


class RetriesAlwaysEngine(EvenEngine):
    """Faulty: allows two more attempts after any failure, for all traffic classes."""

    ATTEMPTS = 3

    def on_proxy_joined(self, now: int, proxy: int, zone: int, request_rate: float) -> None:
        """Allows retries of requests that may take effect twice."""
        super().on_proxy_joined(now, proxy, zone, request_rate)
        self.orders.admit(ALL_CLASSES, 1.0, self.ATTEMPTS)


class FloodsChannelEngine(EvenEngine):
    """Faulty: publishes every entry ten times a second."""

    INTERVAL = SECOND // 10

    def __init__(
        self, orders: Orders, settings: ServiceSettings, random_source: random.Random, now: int
    ) -> None:
        super().__init__(orders, settings, random_source, now)
        orders.set_timer(self.INTERVAL, UPDATE_TIMER)
        self.updates = 0

    def on_timer(self, now: int, token: int) -> None:
        """Changes the weight of all hosts."""
        super().on_timer(now, token)
        if token != UPDATE_TIMER:
            return
        self.updates += 1
        self.orders.set_timer(self.INTERVAL, UPDATE_TIMER)
        for host, is_ready in self.is_ready.items():
            if is_ready:
                self.orders.set_weight(TABLE, host, 1.0 + self.updates % 2)


# All engines, by the name under which the laboratory's commands and recorded days know them.
ENGINES: dict[str, Callable[..., Any]] = {
    "ironfall": DecisionEngine,
    "even": EvenEngine,
    "withdrawals-only": WithdrawalsOnlyEngine,
    "deaf-to-drains": IgnoresDrainsEngine,
    "emptying": WithdrawsAllEngine,
    "rushing-cold": OverloadsColdHostsEngine,
    "repeating": RetriesAlwaysEngine,
    "flooding": FloodsChannelEngine,
}
# The rule that each faulty engine breaks.
BROKEN_RULES = {
    "deaf-to-drains": "drains",
    "emptying": "bare",
    "rushing-cold": "cold",
    "repeating": "twice",
    "flooding": "queue",
}
