"""The hosts listed by the registry, each with a six-byte id for the decision engine.

Does no I/O. A host is identified by name and address: `node7@127.0.2.7:9000`. Two hosts that swap
addresses count as two new hosts, and the old two as gone: learned capacity and zone belong to the
machine, and a withdrawal of one must not affect the other.
"""

import socket
import struct
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from ironfall.api.exchange import address_of
from ironfall.api.registry import BadList
from ironfall.decisions.interface import ListedHost
from ironfall.decisions.time_units import TICKS_PER_MS

MAX_REMEMBERED_STARTS = 16
"""Number of incarnations of one host whose start times are kept."""

MAX_WEIGHT = 1e6
UNKNOWN_AGE_MS = 1e12
"""Assumed for a row without an age: the host started long ago."""

RESERVED_IDS = 1 << 40
"""Number of ids within 0.0.0.0/8, which is no host's address."""

ID_BYTES = 6


class HostState(StrEnum):
    """States of a listed host; the values are the registry's."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class HostRow:
    """A validated row of the registry's list.

    Attributes:
        host: Name and address, `NAME@ADDRESS`.
        packed_address: The address as four bytes and the port as two.
        zone: The number of its zone.
        state: Whether the host may be used.
        weight: The weight set by the registry.
        incarnation: Identifies the current process; empty if the row names none.
        age_ms: How long ago that process started.
    """

    host: str
    packed_address: bytes
    zone: int
    state: HostState
    weight: float
    incarnation: str
    age_ms: float


@dataclass(slots=True)
class HostEntry:
    """The stored state of a host.

    Attributes:
        host: Name and address, `NAME@ADDRESS`.
        id: The id for the decision engine.
        zone: The number of its zone.
        ready: Whether the host may be used.
        weight: The weight set by the registry.
        incarnation: Identifies the current process.
        started: When that process started, in ticks; 0 for long ago.
        start_times: The start time of each remembered incarnation, derived from its age, in ticks.
        was_ready: Whether it was ever ready, and so is known to the decision engine.
    """

    host: str
    id: bytes
    zone: int
    ready: bool
    weight: float
    incarnation: str
    started: int
    start_times: dict[str, int]
    was_ready: bool


class HostList:
    """The current host list, and the hosts that have left it and may return.

    Attributes:
        entries: The listed hosts, by host.
        ids: Ids by host, including hosts that have left: an id must not be reassigned while it is
            in use.
        names: Hosts by id.
    """

    def __init__(self, zones: tuple[str, ...], slow_start_time: int) -> None:
        """`slow_start_time` in ticks."""
        self.zones = zones
        self.slow_start_time = slow_start_time
        self.entries: dict[str, HostEntry] = {}
        self.ids: dict[str, bytes] = {}
        self.names: dict[bytes, str] = {}
        self._removed: dict[str, HostEntry] = {}
        self._reserved_ids = 0

    def read(self, now: int, rows: Any, is_complete: bool) -> list[ListedHost]:
        """Applies rows of the registry; returns the hosts of the rows for the decision engine.

        `is_complete`: the rows are the complete list, not only the changed rows.

        Raises:
            BadList: `rows` is not a list of valid rows; no row is applied.
        """
        entries, gone = self._read_rows(now, rows)
        for entry in entries:
            self.entries[entry.host] = entry
            self._removed.pop(entry.host, None)
        seen = {entry.host for entry in entries}
        for host in list(self.entries):
            if host in gone or (is_complete and host not in seen):
                self._remove(host)
        return [
            ListedHost(entry.id, entry.zone, entry.ready, entry.weight, entry.started)
            for entry in entries
        ]

    def forget(self, host_id: bytes) -> str:
        """Removes a host that the decision engine has forgotten.

        Returns the host, or "" if it has been listed again in the meantime.
        """
        host = self.names[host_id]
        if host in self.entries:
            return ""
        self._removed.pop(host, None)
        del self.names[host_id]
        del self.ids[host]
        return host

    def _read_rows(self, now: int, rows: Any) -> tuple[list[HostEntry], set[str]]:
        """Returns the entries of all rows, and the hosts whose state is gone."""
        if not isinstance(rows, list):
            raise BadList("expected a list of hosts")
        entries: list[HostEntry] = []
        seen: set[str] = set()
        gone: set[str] = set()
        for index, row in enumerate(rows):
            parsed = _parse_row(index, row, self.zones)
            entry = self._entry_for(now, parsed)
            if entry.host in seen:
                raise BadList(f"host {index}: {entry.host} is listed twice")
            entries.append(entry)
            seen.add(entry.host)
            # A late row of an earlier process yields the stored entry and must not remove the host.
            is_late = entry is self.entries.get(entry.host)
            if parsed.state is HostState.GONE and not is_late:
                gone.add(entry.host)
        return entries, gone

    def _entry_for(self, now: int, row: HostRow) -> HostEntry:
        known = self.entries.get(row.host) or self._removed.get(row.host)
        incarnation = row.incarnation
        start_times: dict[str, int] = {}
        if known:
            incarnation = incarnation or known.incarnation
            start_times = dict(known.start_times)
        start = now - round(row.age_ms * TICKS_PER_MS)
        start_times[incarnation] = min(start, start_times.get(incarnation, now))
        if known and start_times[incarnation] < max(start_times.values()):
            # The row is of an earlier process that has been replaced.
            return known
        newest = sorted(start_times.items(), key=lambda pair: pair[1])[-MAX_REMEMBERED_STARTS:]
        is_ready = row.state is HostState.READY
        return HostEntry(
            host=row.host,
            id=self._host_id(row),
            zone=row.zone,
            ready=is_ready,
            weight=row.weight,
            incarnation=incarnation,
            started=self._start_time(now, row, incarnation, known),
            start_times=dict(newest),
            was_ready=is_ready or (known is not None and known.was_ready),
        )

    def _start_time(self, now: int, row: HostRow, incarnation: str, known: HostEntry | None) -> int:
        start = now - round(row.age_ms * TICKS_PER_MS)
        if known and incarnation == known.incarnation:
            # Computed once: an age that arrives late would look like a new start.
            return known.started
        if known:
            return max(start, known.started + 1)
        if row.age_ms * TICKS_PER_MS < 2 * self.slow_start_time:
            return start
        return 0

    def _host_id(self, row: HostRow) -> bytes:
        if row.host not in self.ids:
            host_id = row.packed_address
            # Another host has this address as its id: use a reserved id.
            while host_id in self.names:
                self._reserved_ids = (self._reserved_ids + 1) % RESERVED_IDS
                host_id = self._reserved_ids.to_bytes(ID_BYTES, "big")
            self.ids[row.host] = host_id
            self.names[host_id] = row.host
        return self.ids[row.host]

    def _remove(self, host: str) -> None:
        entry = self.entries.pop(host)
        self._removed[host] = entry
        # A late row of an earlier process must not restore it as ready.
        entry.ready = False
        if not entry.was_ready:
            # The decision engine does not know it, and so will not order it to be forgotten.
            self.forget(entry.id)


def _parse_row(index: int, row: Any, zones: tuple[str, ...]) -> HostRow:
    try:
        name = str(row["name"])
        address = str(row["address"])
        zone = str(row["zone"])
        state = str(row["state"])
        weight = float(row.get("weight", 1.0))
        incarnation = str(row.get("incarnation", ""))
        age_ms = float(row.get("age_ms", UNKNOWN_AGE_MS))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadList(f"host {index}: {type(error).__name__} {error}") from None
    if state not in list(HostState):
        raise BadList(f"host {index} ({name}): unknown state {state!r}")
    if zone not in zones:
        raise BadList(f"host {index} ({name}): unknown zone {zone!r}")
    has_bad_name = not name or "@" in name or "/" in name
    if has_bad_name or not 0 <= weight < MAX_WEIGHT or not age_ms >= 0:
        raise BadList(f"host {index} ({name}): invalid name, weight or age")
    host = f"{name}@{address}"
    try:
        ip, port = address_of(host)
        packed = socket.inet_aton(ip) + struct.pack(">H", port)
    except (OSError, ValueError, struct.error):
        raise BadList(
            f"host {index} ({name}): {address!r} is not an IPv4 address and port"
        ) from None
    return HostRow(host, packed, zones.index(zone), HostState(state), weight, incarnation, age_ms)
