"""The registry's list and the operators' files into one list, and what holds learnt weights. Pure.

Who wins: a drain in either place drains; the registry knows where a host is and whether it restarted; the file knows
what it should weigh; a pin is above both, until it expires. docs/files.md has the table.
"""

from dataclasses import dataclass, field
from typing import Any

from ironfall.files.servers import ServerSet

FREE = (0.0, 1e6)


class Misshapen(Exception):
    """The registry's rows are not a list of hosts."""


def _key(row: dict[str, Any]) -> str:
    return f"{row['name']}@{row['address']}"


@dataclass
class Merge:
    """`since`: of hosts that files alone name, when they were first named; 0 for before anyone looked, and so warm."""

    rows: dict[str, dict[str, Any]] = field(default_factory=dict)  # the registry's
    told: ServerSet = field(default_factory=ServerSet)
    since: dict[str, float] = field(default_factory=dict)

    def registry(self, rows: Any, whole: bool) -> "Merge":
        """As it is after the registry's answer. Raises `Misshapen`."""
        held = {} if whole else dict(self.rows)
        try:
            for row in rows:
                held[_key(row)] = row
                if row.get("state") == "gone":
                    del held[_key(row)]
        except (TypeError, KeyError, AttributeError) as wrong:
            raise Misshapen(f"expected a list of hosts: {type(wrong).__name__} {wrong}") from None
        return Merge(held, self.told, self.since)

    def adopt(self, told: ServerSet, at: float, first: bool) -> "Merge":
        """As it is with another set, adopted at that time. Hosts new to a director that has run are taken as cold."""
        since = {}
        for name, host in told.hosts.items():
            if host.address:
                since[name] = self.since.get(name, 0.0 if first or host.warm else at)
        return Merge(self.rows, told, since)

    def merged(self, now: float) -> list[dict[str, Any]]:
        """Rows as a registry would tell them. `now` is wall time, for pins and ages."""
        found = []
        names = set()
        for row in self.rows.values():
            names.add(row["name"])
            if (one := self._registered(row, now)) is not None:
                found.append(one)
        for name, host in self.told.hosts.items():
            # The registry's own host of that name counts where there is one: it knows where it runs.
            if host.address and name not in names and host.state != "gone":
                row = {
                    "name": name,
                    "address": host.address,
                    "zone": host.zone,
                    "weight": host.weight or 1.0,
                    "state": "draining" if host.state == "drain" else "ready",
                }
                if since := self.since.get(name, 0.0):
                    row |= {
                        "incarnation": f"named at {since:.3f}",
                        "age_ms": max(0.0, (now - since) * 1000),
                    }
                found.append(self._weighed(row, now))
        return found

    def _registered(self, row: dict[str, Any], now: float) -> dict[str, Any] | None:
        host = self.told.hosts.get(row["name"])
        if host is not None:
            if host.state == "gone":
                return None
            if host.state == "drain":
                row = row | {"state": "draining"}
            if host.weight:
                row = row | {"weight": host.weight}
        return self._weighed(row, now)

    def _weighed(self, row: dict[str, Any], now: float) -> dict[str, Any]:
        low, high = self.held(row["name"], now)
        weight = row.get("weight", 1.0)
        if not isinstance(weight, int | float) or low <= weight <= high:
            return row
        return row | {"weight": min(high, max(low, weight))}

    def held(self, name: str, now: float) -> tuple[float, float]:
        """What a host's learnt weight is held between; the same twice for a pin."""
        pin, bounds = self.told.pins.get(name), self.told.bounds.get(name)
        if pin and pin.until > now:
            return pin.weight, pin.weight
        return (bounds.floor, bounds.cap) if bounds else FREE

    def kept(self, name: str) -> list[str]:
        """Classes that are kept off a host."""
        host = self.told.hosts.get(name)
        return host.keep if host else []
