"""What collectors told until a turn takes it. Pure.

What waits adds up, so that it is bounded by hosts x zones and proxies x classes whatever arrives; of gauges the newest
stands. The platform has weighed and paced the reports already.
"""

from typing import Any

from ironfall.platform.lines import CameIn, Met


class Reports:
    next = 1 << 62  # nothing is ready but what is here

    def __init__(self) -> None:
        self.ready: dict[tuple[Any, ...], Met | CameIn] = {}

    def met(self, it: Met) -> None:
        key = ("met", it.zone, it.host)
        old = self.ready.get(key)
        if isinstance(old, Met):
            good, more = old.tries - old.failed, it.tries - it.failed
            cost = round((old.cost * good + it.cost * more) / (good + more)) if good + more else 0
            it = Met(
                it.zone,
                it.host,
                old.tries + it.tries,
                old.failed + it.failed,
                cost,
                old.covers + it.covers,
                {**old.gauges, **it.gauges},
            )
        self.ready[key] = it

    def came(self, it: CameIn) -> None:
        key = ("came", it.proxy, it.kind)
        old = self.ready.get(key)
        if isinstance(old, CameIn):
            it = CameIn(it.proxy, it.kind, old.came + it.came, old.lost + it.lost)
        self.ready[key] = it

    def forget(self, proxy: int) -> None:
        for key in [k for k in self.ready if k[0] == "came" and k[1] == proxy]:
            del self.ready[key]

    def calls(self, now: int) -> list[list[Any]]:
        made: list[list[Any]] = [
            ["heard" if isinstance(it, Met) else "arrived", *it] for it in self.ready.values()
        ]
        self.ready = {}
        return made
