"""The decisions of one director alone, at rest and while all proxies come to it: processor time by sizes.

Under a model of the platform's channel and proxies (`tests/fleet.py`), whose own time is not counted; no sockets.
Three zones, two classes, reports each second; the channel grows with the proxies.
"""

import random
import time
from collections.abc import Callable
from typing import Any

from benchmarks.scale._machine import Spans
from tests.fleet import SECOND, TICK, Fleet, names, terms

FIGURES = {
    "cpu_ms_s": "ms/s",
    "worst_turn_ms": "ms",
    "join_turn_ms": "ms",
    "parts": "parts",
    "yardstick_ms": "ms",
}
COUNTED = frozenset({"parts"})
LEFT_OUT = "Sockets, codecs and the turn loop; the model of the channel is there, and its time is not counted."
ZONES, LINES_EACH, QUEUE_EACH = (
    3,
    3,
    24.0,
)  # of the channel, for each proxy: lines a second, and waiting at the most
EXCHANGES = 20  # a second that come to each host
JOINING, SETTLING = (
    2,
    28,
)  # seconds of the director's clock: all proxies come, and all is quiet again
SLICES, SLICE = 8, 15  # spans of rest, and the seconds of each
EVENTS = (
    "on_timer",
    "on_host_list",
    "on_proxy_joined",
    "on_version_applied",
    "on_upstream_report",
    "on_request_report",
)
ORDERS = (
    "set_weight",
    "assign",
    "withdraw",
    "admit",
    "request_confirmation",
    "set_timer",
    "forget",
)


class Metered(Fleet):
    """Knows what the director's processor time was, less that of the model which takes its orders."""

    def __init__(self, hosts: int, proxies: int, chance: random.Random) -> None:
        self.spent, self.began = 0.0, 0.0
        for name in ORDERS:
            setattr(self, name, self._apart(getattr(self, name)))
        service = terms(
            proxies=proxies,
            zones=ZONES,
            report_interval=SECOND,
            queue_limit=QUEUE_EACH * proxies,
            entries_per_second=LINES_EACH * proxies,
        )
        super().__init__(service, LINES_EACH * proxies)
        for name in EVENTS:
            setattr(self.director, name, self._counted(getattr(self.director, name)))
        self.chance, self.listed = chance, names(b"a", hosts)
        # Hosts answer at speeds of their own, which wander: some weights move all the time, as they do in service.
        self.usual = {host: 3_000 * chance.uniform(0.6, 1.6) for host in self.listed}
        self.drift = dict.fromkeys(self.listed, 0.0)

    def _counted(self, call: Callable[..., None]) -> Callable[..., None]:
        def run(*about: Any) -> None:
            self.began = time.process_time()
            call(*about)
            self.spent += time.process_time() - self.began

        return run

    def _apart(self, call: Callable[..., None]) -> Callable[..., None]:
        def run(*about: Any) -> None:
            self.spent += time.process_time() - self.began
            call(*about)
            self.began = time.process_time()

        return run

    def report(self, zone: int) -> None:
        """A zone's collector, each interval: what its proxies met at each host, what came to each of them."""
        every, zones, chance = self.service.report_interval, self.service.zones, self.chance
        tries = round(EXCHANGES * every / SECOND / zones)
        for host, usual in self.usual.items():
            self.drift[host] = 0.98 * self.drift[host] + chance.gauss(0, 0.03)
            speed = usual * (1 + max(-0.5, self.drift[host]))
            met = speed * max(0.2, chance.gauss(1, 0.2))  # the mean of some twenty answers
            gauges = {
                "q": float(chance.randrange(3)),
                "lat_ms": round(speed * chance.gauss(1, 0.05) / 10, 1),
            }
            failed = int(chance.random() < 0.002 * tries)
            self.director.on_upstream_report(
                self.now, zone, host, tries, failed, round(met), every, gauges
            )
        classes, mine = len(self.service.classes), [p for p in self.joined_at if p % zones == zone]
        came = EXCHANGES * len(self.listed) * every / SECOND / zones / classes / max(1, len(mine))
        for proxy in mine:
            for kind in range(classes):
                self.director.on_request_report(
                    self.now, proxy, kind, int(came + chance.random()), 0
                )

    def play(self, seconds: float) -> float:
        """The longest turn, in seconds of processor time."""
        longest, every, zones = 0.0, self.service.report_interval, self.service.zones
        for _ in range(round(seconds * SECOND / TICK)):
            before = self.spent
            for zone in range(zones):
                if (self.now - zone * every // zones) % every < TICK:
                    self.report(zone)
            self.run(TICK / SECOND)
            longest = max(longest, self.spent - before)
        return longest

    def come(self) -> float:
        """All proxies join within two seconds; the longest turn until all are at rest."""
        steps, proxies, longest = round(JOINING * SECOND / TICK), self.service.proxies, 0.0
        for step in range(steps):
            before = self.spent
            for proxy in range(step * proxies // steps, (step + 1) * proxies // steps):
                self.join(proxy, self.chance.sample(self.listed, 5))
            self.close()
            joined = self.spent - before
            longest = max(longest, joined + self.play(TICK / SECOND))
        return max(longest, self.play(SETTLING))


def memory_mb(size: int) -> float:
    return 60 + size * 0.05


def measure(hosts: int, proxies: int, chance: random.Random) -> dict[str, float]:
    fleet = Metered(hosts, proxies, chance)
    fleet.list(fleet.listed)
    coming = Spans()
    coming.take(lambda: {"join_turn_ms": 1000 * fleet.come()})
    if fleet.unbound():
        raise SystemExit(f"{len(fleet.unbound())} of {proxies} proxies were not bound")
    spans = Spans()

    def rest() -> dict[str, float]:
        spent = fleet.spent
        worst = fleet.play(SLICE)
        return {"cpu_ms_s": 1000 * (fleet.spent - spent) / SLICE, "worst_turn_ms": 1000 * worst}

    for _ in range(SLICES):
        spans.take(rest)
    return {**coming.middle(), **spans.middle(), "parts": fleet.director.fleet.shard_count}
