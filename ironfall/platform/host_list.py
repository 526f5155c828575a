"""Holds the host list from discovery in the form that the decision engine reads. Pure: no I/O.

A host is identified by its id, which is the same for every director. Its address may differ between
directors and is not read.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from ironfall.decisions.interface import ListedHost
from ironfall.decisions.time_units import TICKS_PER_MS
from ironfall.errors import IronfallError

PHASE_LEFT = "left"
# Whether proxies may use a host, by its phase.
READY_BY_PHASE = {"active": True, "leaving": False, PHASE_LEFT: False}
MAX_HOST_NAME_LENGTH = 200
MAX_UP_SINCE_MS = 1e15
MAX_SIZE = 1e6


class HostListError(IronfallError):
    """An answer of discovery is not a host list; the current list is kept."""


@dataclass(slots=True)
class HostEntry:
    """One host of the list.

    Attributes:
        up_since_ms: Unix time of its last start, in milliseconds; 0 for long ago.
        listing: The host in the form that the decision engine reads.
    """

    up_since_ms: float
    listing: ListedHost


class HostListUpdate(NamedTuple):
    """The hosts in one answer of discovery.

    Attributes:
        hosts: The hosts that the answer names.
        is_complete: Whether the answer is the complete list: hosts that it lacks have left.
    """

    hosts: list[ListedHost]
    is_complete: bool


class HostList:
    """The current host list.

    Attributes:
        entries: The hosts by identifier.
        unreadable_count: Number of entries so far that could not be read.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        self._zones = {name: index for index, name in enumerate(zones)}
        self.entries: dict[bytes, HostEntry] = {}
        self.unreadable_count = 0

    def apply(self, now: int, wall_clock_ms: float, answer: Any) -> HostListUpdate:
        """Applies a decoded answer of discovery and returns its hosts.

        A host whose entry is unreadable keeps its current entry. If a complete list has an entry
        whose host can't be identified, it is treated as incomplete: no host is removed.

        Args:
            now: The director's clock, in ticks.
            wall_clock_ms: Unix time, in milliseconds.
            answer: The decoded JSON.

        Raises:
            HostListError: The answer as a whole is not a host list.
        """
        rows, is_complete = _read_envelope(answer)
        named: dict[bytes, ListedHost] = {}
        for row in rows:
            host, entry = self._read_row(now, wall_clock_ms, row)
            if entry is not None:
                named[host] = entry.listing
                self._store(host, entry, row["phase"])
                continue
            self.unreadable_count += 1
            if host in self.entries:
                named[host] = self.entries[host].listing
            elif not host:
                is_complete = False
        if is_complete:
            self.entries = {host: entry for host, entry in self.entries.items() if host in named}
        return HostListUpdate(list(named.values()), is_complete)

    def listings(self) -> dict[bytes, ListedHost]:
        """Returns the hosts in the form that the decision engine reads, by identifier."""
        return {host: entry.listing for host, entry in self.entries.items()}

    def _store(self, host: bytes, entry: HostEntry, phase: str) -> None:
        if phase == PHASE_LEFT:
            self.entries.pop(host, None)
        else:
            self.entries[host] = entry

    def _read_row(self, now: int, wall_clock_ms: float, row: Any) -> tuple[bytes, HostEntry | None]:
        """Returns the host (empty if the row names none) and its entry (`None` if unreadable)."""
        host = _host_identifier(row)
        if not host:
            return host, None
        up_since_ms = row.get("up_since_ms")
        size = row.get("size")
        is_ready = READY_BY_PHASE.get(str(row.get("phase")))
        zone = self._zones.get(str(row.get("locality")))
        if is_ready is None or zone is None:
            return host, None
        if not _is_number(up_since_ms, MAX_UP_SINCE_MS) or not _is_number(size, MAX_SIZE):
            return host, None
        known = self.entries.get(host)
        if known and 0 < up_since_ms < known.up_since_ms:
            # Out of date: the host has restarted since the start that this row names.
            return host, HostEntry(known.up_since_ms, known.listing)
        if known and up_since_ms in (known.up_since_ms, 0):
            # Converted only once: with drifting clocks, a second conversion would give another
            # time and look like a restart.
            up_since_ms = known.up_since_ms
            started = known.listing.started
        else:
            started = _started_at(now, wall_clock_ms, up_since_ms, known)
        return host, HostEntry(up_since_ms, ListedHost(host, zone, is_ready, float(size), started))


def _read_envelope(answer: Any) -> tuple[list[Any], bool]:
    """Returns the rows of an answer and whether it is the complete list."""
    try:
        rows = answer["members"]
        is_complete = answer["complete"] is True
        revision = answer.get("revision", -1)
    except (KeyError, TypeError, AttributeError) as error:
        raise HostListError(f"not a host list: {type(error).__name__} {error}") from None
    if not isinstance(rows, list) or not isinstance(revision, int):
        raise HostListError("not a host list: members is not an array, or revision not an integer")
    return rows, is_complete


def _host_identifier(row: Any) -> bytes:
    """Returns the identifier of a row's host; empty if it has none that an order could name."""
    name = row.get("id") if isinstance(row, dict) else None
    if not isinstance(name, str) or len(name) > MAX_HOST_NAME_LENGTH:
        return b""
    try:
        return name.encode()
    except UnicodeEncodeError:  # JSON may hold half of a surrogate pair
        return b""


def _started_at(now: int, wall_clock_ms: float, up_since_ms: float, known: HostEntry | None) -> int:
    """Converts a start from Unix time to the director's clock, in ticks; 0 for long ago."""
    if not up_since_ms:
        return 0
    age = max(0, round((wall_clock_ms - up_since_ms) * TICKS_PER_MS))
    started = max(1, now - age)
    if known:
        started = max(started, known.listing.started + 1)
    return started


def _is_number(value: Any, maximum: float) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    # Also false for NaN.
    return 0 <= value <= maximum
