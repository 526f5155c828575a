"""The list as discovery tells it, for the decisions. Pure.

A host is called by its id, which is the same at every director; its address may differ and is no concern here.
"""

from dataclasses import dataclass
from typing import Any

from ironfall.decisions.interface import ListedHost

READY = {"active": True, "leaving": False, "left": False}


class BadList(Exception):
    """The answer can't be taken; what is held stays."""


@dataclass(slots=True)
class Held:
    up_since: float  # Unix time, ms; 0 for long ago
    listing: ListedHost


class Hosts:
    def __init__(self, zones: tuple[str, ...]) -> None:
        self.zones = {name: n for n, name in enumerate(zones)}
        self.held: dict[bytes, Held] = {}
        self.passed_over = 0  # entries that could not be read

    def read(self, now: int, clock: float, told: Any) -> tuple[bool, list[ListedHost]]:
        """Whether it is the whole list, and what changed. `clock`: Unix time in ms.

        An entry that can't be read leaves what is held of its host; of a whole list that names
        somebody unreadable, nobody is taken to have left.
        """
        try:
            rows, whole, version = (
                told["members"],
                told["complete"] is True,
                told.get("revision", -1),
            )
        except (KeyError, TypeError, AttributeError) as wrong:
            raise BadList(f"not a list: {type(wrong).__name__} {wrong}") from None
        if not isinstance(rows, list) or not isinstance(version, int):
            raise BadList("not a list: members, or the revision")
        found: dict[bytes, ListedHost] = {}
        for row in rows:
            name, held = self._entry(now, clock, row)
            if held is not None:
                found[name] = held.listing
                if row["phase"] == "left":
                    self.held.pop(name, None)
                else:
                    self.held[name] = held
                continue
            self.passed_over += 1
            if name in self.held:
                found[name] = self.held[name].listing
            elif not name:
                whole = False
        if whole:
            self.held = {name: held for name, held in self.held.items() if name in found}
        return whole, list(found.values())

    def _entry(self, now: int, clock: float, row: Any) -> tuple[bytes, Held | None]:
        name = row.get("id") if isinstance(row, dict) else None
        if not isinstance(name, str) or not 0 < len(name) <= 200:
            return b"", None
        try:
            host = name.encode()
        except UnicodeEncodeError:  # half of a surrogate pair: JSON may say it, no order could
            return b"", None
        up, size, ready = row.get("up_since_ms"), row.get("size"), READY.get(str(row.get("phase")))
        zone = self.zones.get(str(row.get("locality")))
        if ready is None or zone is None or not _number(up, 1e15) or not _number(size, 1e6):
            return host, None
        old = self.held.get(host)
        if old and up < old.up_since and up:
            return host, Held(
                old.up_since, old.listing
            )  # told late, of a start that another has followed
        if old and up in (old.up_since, 0):
            # Worked out once: told again a moment later, it would look like a new start.
            up, started = old.up_since, old.listing.started
        else:
            started = max(1, now - max(0, round((clock - up) * 10))) if up else 0
            if old and up:
                started = max(started, old.listing.started + 1)
        return host, Held(up, ListedHost(host, zone, ready, float(size), started))


def _number(value: Any, most: float) -> bool:
    return (
        isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= most
    )  # nor not a number
