"""Merges the registry's list of hosts and the operators' files. Pure.

Precedence: a host drains if either source drains it. The registry decides where a host runs and
whether it restarted, the file its weight. A pin overrides both until it expires. docs/files.md has
the table.
"""

from dataclasses import dataclass, field
from typing import Any

from ironfall.files.servers import ServerSet

UNBOUNDED = (0.0, 1e6)


class InvalidRowsError(Exception):
    """The registry's rows are not a list of hosts."""


def _host_key(row: dict[str, Any]) -> str:
    return f"{row['name']}@{row['address']}"


@dataclass
class Merge:
    """An immutable state of both sources.

    Attributes:
        rows: The registry's hosts by name and address.
        server_set: What the operators' files say.
        first_named_at: For hosts that only files name, the time when they were first named, in
            seconds since 1970; 0 if before the director's first set, so that they count as warm.
    """

    rows: dict[str, dict[str, Any]] = field(default_factory=dict)
    server_set: ServerSet = field(default_factory=ServerSet)
    first_named_at: dict[str, float] = field(default_factory=dict)

    def with_registry_rows(self, rows: Any, is_complete: bool) -> "Merge":
        """Returns the state after an answer of the registry.

        Args:
            rows: The answer's hosts.
            is_complete: Whether they are all hosts, not only those that changed.

        Raises:
            InvalidRowsError: The rows are not a list of hosts.
        """
        new_rows = {} if is_complete else dict(self.rows)
        try:
            for row in rows:
                new_rows[_host_key(row)] = row
                if row.get("state") == "gone":
                    del new_rows[_host_key(row)]
        except (TypeError, KeyError, AttributeError) as error:
            raise InvalidRowsError(
                f"expected a list of hosts: {type(error).__name__} {error}"
            ) from None
        return Merge(new_rows, self.server_set, self.first_named_at)

    def adopt(self, server_set: ServerSet, adopted_at: float, is_first: bool) -> "Merge":
        """Returns the state with another set.

        Args:
            server_set: The new set.
            adopted_at: Seconds since 1970.
            is_first: Whether the director had no set before. Its hosts then count as warm; hosts
                that a later set adds count as cold.
        """
        first_named_at = {}
        for name, host in server_set.hosts.items():
            if host.address:
                first_named_at[name] = self.first_named_at.get(
                    name, 0.0 if is_first or host.warm else adopted_at
                )
        return Merge(self.rows, server_set, first_named_at)

    def merged_rows(self, now: float) -> list[dict[str, Any]]:
        """Returns the merged hosts in the form of the registry's rows.

        Args:
            now: Seconds since 1970, to which pins and ages refer.
        """
        merged = []
        names = set()
        for row in self.rows.values():
            names.add(row["name"])
            if (merged_row := self._from_registry(row, now)) is not None:
                merged.append(merged_row)
        for name, host in self.server_set.hosts.items():
            # The registry knows where a host runs, so its row takes precedence.
            if host.address and name not in names and host.state != "gone":
                row = {
                    "name": name,
                    "address": host.address,
                    "zone": host.zone,
                    "weight": host.weight or 1.0,
                    "state": "draining" if host.state == "drain" else "ready",
                }
                if since := self.first_named_at.get(name, 0.0):
                    row |= {
                        "incarnation": f"named at {since:.3f}",
                        "age_ms": max(0.0, (now - since) * 1000),
                    }
                merged.append(self._with_bounded_weight(row, now))
        return merged

    def _from_registry(self, row: dict[str, Any], now: float) -> dict[str, Any] | None:
        host = self.server_set.hosts.get(row["name"])
        if host is not None:
            if host.state == "gone":
                return None
            if host.state == "drain":
                row = row | {"state": "draining"}
            if host.weight:
                row = row | {"weight": host.weight}
        return self._with_bounded_weight(row, now)

    def _with_bounded_weight(self, row: dict[str, Any], now: float) -> dict[str, Any]:
        low, high = self.weight_bounds(row["name"], now)
        weight = row.get("weight", 1.0)
        if not isinstance(weight, int | float) or low <= weight <= high:
            return row
        return row | {"weight": min(high, max(low, weight))}

    def weight_bounds(self, name: str, now: float) -> tuple[float, float]:
        """Returns the bounds of a host's learned weight; both are the pin's if it is pinned."""
        pin, bounds = self.server_set.pins.get(name), self.server_set.bounds.get(name)
        if pin and pin.until > now:
            return pin.weight, pin.weight
        return (bounds.floor, bounds.cap) if bounds else UNBOUNDED

    def excluded_classes(self, name: str) -> list[str]:
        """Returns the classes that a host must not serve."""
        host = self.server_set.hosts.get(name)
        return host.keep if host else []
