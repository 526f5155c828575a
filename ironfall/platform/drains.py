"""How soon drains and bindings are heard of: what of the grace each drain took until its last proxy was told. Pure.

For the logs alone, read off the module's own records: it decides nothing. A proxy has heard of a drain once it has
confirmed all that was ordered up to its binding and, if its table named the host, up to the host's leaving the tables.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class Drain:
    at: int  # when the director was told
    awaits: set[
        int
    ]  # the bound proxies whose tables may still name the host; beside them all who join unbound


class Drains:
    def __init__(self, heard: Callable[[bytes, int], None]) -> None:
        self.say = heard  # of a host, how long it took
        self.open: dict[bytes, Drain] = {}
        self.known: set[bytes] = (
            set()
        )  # hosts that drain or are gone, of which the module still has a record
        self.unbound: dict[int, int] = {}  # by proxy, when it joined; the first come first
        self.bound_at: dict[int, int] = {}  # by proxy, when its first binding was ordered
        self.heard, self.worst, self.worst_joiner = 0, 0, 0

    def joined(self, now: int, proxy: int) -> None:
        self.left(proxy)
        self.unbound[proxy] = now

    def left(self, proxy: int) -> None:
        self.unbound.pop(proxy, None)
        self.bound_at.pop(proxy, None)
        for drain in self.open.values():
            drain.awaits.discard(proxy)

    def bound(self, now: int, proxy: int) -> None:
        self.bound_at.setdefault(proxy, now)

    def turned(self, now: int, director: Any, fresh: bool, confirmed: Collection[int]) -> None:
        """After each turn; `fresh` where it took a list, `confirmed`: who confirmed something in it."""
        if not (fresh or confirmed or self.open):
            return
        hosts, proxies, oldest = (
            director.hosts,
            director.proxies,
            director.budget.oldest_unconfirmed(),
        )
        if fresh:
            gone = {h.id for h in hosts.values() if not h.is_ready}
            for host in gone - self.known:
                part = hosts[host].shard
                self.open[host] = Drain(
                    now, {n for n, p in proxies.items() if p.shard == part} - self.unbound.keys()
                )
            self.known = gone
            self.open = {host: drain for host, drain in self.open.items() if host in gone}
        for proxy in [p for p in confirmed if p in self.unbound and p in proxies]:
            if oldest.get(proxy, now + 1) > self.bound_at.get(proxy, now):
                joined, part = self.unbound.pop(proxy), proxies[proxy].shard
                self.worst_joiner = max(self.worst_joiner, now - joined)
                for host, drain in self.open.items():
                    if joined <= drain.at and host in hosts and hosts[host].shard == part:
                        drain.awaits.add(proxy)
        first = next(iter(self.unbound.values()), now + 1)
        for host, drain in list(self.open.items()):
            it = hosts.get(host)
            if it and it.is_withdrawn:
                # Who was not written to for it had a table that did not name it any more.
                drain.awaits = {
                    n for n in drain.awaits if oldest.get(n, now + 1) <= it.withdrawn_at
                }
            if first > drain.at and not drain.awaits:
                del self.open[host]
                self.heard += 1
                self.worst = max(self.worst, now - drain.at)
                self.say(host, now - drain.at)

    def summary(self, now: int) -> dict[str, Any]:
        """Times in milliseconds; `drain_open_ms` of the oldest drain that somebody joined has not heard of."""
        oldest = max((now - d.at for d in self.open.values()), default=0)
        return {
            "drains": self.heard,
            "drain_ms": self.worst // 10,
            "drains_open": len(self.open),
            "drain_open_ms": oldest // 10,
            "joiner_ms": self.worst_joiner // 10,
            "unbound": len(self.unbound),
        }
