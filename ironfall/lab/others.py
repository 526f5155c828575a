"""Other directors for the same harness: baselines to compare with, and wrong ones that the judge must catch.

Each takes what `Director` takes and is called as it is. None is used outside the laboratory.
"""

import random
from collections.abc import Iterable
from typing import Any

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost, Orders, ServiceSettings


class Even:
    """One table of all ready hosts, alike, for all proxies; changes at once. Gauges and reports are passed over."""

    def __init__(
        self, orders: Orders, terms: ServiceSettings, chance: random.Random, now: int
    ) -> None:
        self.orders, self.terms, self.now = orders, terms, now
        self.ready: dict[bytes, bool] = {}
        self.marks = 0
        if terms.requests_host_list:
            orders.watch_hosts()

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], whole: bool, fresh: bool
    ) -> None:
        for host, ready in self._states(entries, whole).items():
            if ready != self.ready.get(host, False):
                self.orders.set_weight(0, host, float(ready))
                self.orders.withdraw(host, not ready)
            self.ready[host] = ready

    def _states(self, entries: Iterable[ListedHost], whole: bool) -> dict[bytes, bool]:
        """Whether each host that is named is ready; of a whole list, what it leaves out is not."""
        left_out = {host: False for host in self.ready} if whole else {}
        return left_out | {e.host: e.ready for e in entries}

    def on_host_list_failed(self) -> None:
        self.orders.set_timer(10_000, 1)

    def on_proxy_joined(self, now: int, proxy: int, zone: int, rate: float) -> None:
        self.orders.assign(proxy, 0, 0)

    def on_timer(self, now: int, token: int) -> None:
        if token:
            self.orders.watch_hosts()

    def on_proxy_desynchronized(self, now: int, proxy: int) -> None:
        self.orders.assign(proxy, 0, 0)

    def on_proxy_left(self, proxy: int) -> None: ...
    def on_version_applied(self, now: int, proxy: int, version: int) -> None: ...
    def on_upstream_report(self, now: int, *about: Any) -> None: ...
    def on_request_report(self, now: int, *about: Any) -> None: ...
    def on_health_check(self, now: int, *about: Any) -> None: ...
    def on_gauge_reading(self, now: int, *about: Any) -> None: ...
    def set_weight_bounds(self, *about: Any) -> None: ...
    def set_excluded_classes(self, *about: Any) -> None: ...


class HandsOff(Even):
    """Standing tables stay; hosts that drain or are gone are withdrawn, and nothing else is ordered."""

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], whole: bool, fresh: bool
    ) -> None:
        for host, ready in self._states(entries, whole).items():
            if ready != self.ready.get(host, True):
                self.orders.withdraw(host, not ready)
            self.ready[host] = ready

    def on_proxy_desynchronized(self, now: int, proxy: int) -> None: ...

    def on_proxy_joined(self, now: int, proxy: int, zone: int, rate: float) -> None:
        for host, ready in self.ready.items():
            if not ready:
                self.orders.withdraw(host, True)


class DeafToDrains(Even):
    """Wrong: never takes out what drains or is gone."""

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], whole: bool, fresh: bool
    ) -> None:
        super().on_host_list(now, [e for e in entries if e.ready], False, fresh)


class Emptying(Even):
    """Wrong: takes every host out as soon as one drains."""

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], whole: bool, fresh: bool
    ) -> None:
        entries = list(entries)
        super().on_host_list(now, entries, whole, fresh)
        if any(not e.ready for e in entries):
            for host in self.ready:
                self.orders.withdraw(host, True)


class RushingCold(Even):
    """Wrong: gives a host that has just started nearly all there is."""

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], whole: bool, fresh: bool
    ) -> None:
        entries = list(entries)
        super().on_host_list(now, entries, whole, fresh)
        for entry in entries:
            if entry.ready and entry.started and now - entry.started < self.terms.slow_start_time:
                self.orders.set_weight(0, entry.host, 200.0)


class Repeating(Even):
    """Wrong: orders two more tries after any failure, for all classes."""

    def on_proxy_joined(self, now: int, proxy: int, zone: int, rate: float) -> None:
        super().on_proxy_joined(now, proxy, zone, rate)
        self.orders.admit(0, 1.0, 3)


class Flooding(Even):
    """Wrong: sends every line to everyone, ten times a second."""

    def __init__(
        self, orders: Orders, terms: ServiceSettings, chance: random.Random, now: int
    ) -> None:
        super().__init__(orders, terms, chance, now)
        orders.set_timer(1_000, 0)
        self.turn = 0

    def on_timer(self, now: int, token: int) -> None:
        super().on_timer(now, token)
        if not token:
            self.turn += 1
            self.orders.set_timer(1_000, 0)
            for host, ready in self.ready.items():
                if ready:
                    self.orders.set_weight(0, host, 1.0 + self.turn % 2)


DIRECTORS: dict[str, Any] = {
    "ironfall": DecisionEngine,
    "even": Even,
    "withdrawals-only": HandsOff,
    "deaf-to-drains": DeafToDrains,
    "emptying": Emptying,
    "rushing-cold": RushingCold,
    "repeating": Repeating,
    "flooding": Flooding,
}
WRONG = {
    "deaf-to-drains": "drains",
    "emptying": "bare",
    "rushing-cold": "cold",
    "repeating": "twice",
    "flooding": "queue",
}
