"""The list of hosts as the registry tells it, with an id of six bytes for each for the module. Pure.

A host is a name at an address: `node7@127.0.2.7:9000`. When two hosts swap addresses, both are new hosts and the
old two are gone: learnt strength and zone belong to the machine, and a withdrawal of the one must not hit the other.
"""

import socket
import struct
from dataclasses import dataclass
from typing import Any

from ironfall.api.exchange import address_of
from ironfall.api.registry import BadList
from ironfall.decisions.interface import ListedHost

STARTS_MOST = 16  # of one host that are remembered


@dataclass(slots=True)
class Entry:
    host: str
    id: bytes
    zone: int
    ready: bool
    weight: float
    incarnation: str
    started: int
    began: dict[str, int]  # by incarnation, as its age told: the present one began last
    was_ready: bool


class Roster:
    def __init__(self, zones: tuple[str, ...], slow_start_time: int) -> None:
        self.zones, self.slow_start_time = zones, slow_start_time
        self.entries: dict[str, Entry] = {}
        self.left: dict[str, Entry] = {}  # no longer listed, as last told: they may come again
        self.ids: dict[
            str, bytes
        ] = {}  # also of `left`: what a host was called must not become another's
        self.hosts: dict[bytes, str] = {}
        self.spares = 0

    def read(self, now: int, rows: Any, whole: bool) -> list[ListedHost]:
        """What changed, for the module. Raises `BadList`, and then nothing of it was taken."""
        if not isinstance(rows, list):
            raise BadList("expected a list of hosts")
        found, seen = [], set()
        for place, row in enumerate(rows):
            found.append(self._entry(now, place, row))
            if found[-1].host in seen:
                raise BadList(f"host {place}: {found[-1].host} is listed twice")
            seen.add(found[-1].host)
        # What was told late is the entry held, and takes nobody off the list.
        fresh = [
            (e, row)
            for e, row in zip(found, rows, strict=True)
            if e is not self.entries.get(e.host)
        ]
        gone = {entry.host for entry, row in fresh if row["state"] == "gone"}
        for entry in found:
            self.entries[entry.host] = entry
            self.left.pop(entry.host, None)
        for name in [n for n in self.entries if n in gone or (whole and n not in seen)]:
            entry = self.left[name] = self.entries.pop(name)
            entry.ready = False  # a late word of an earlier start must not bring it back as it was
            if (
                not entry.was_ready
            ):  # the decisions never heard of it, and will not say when it may be forgotten
                self.forget(entry.id)
        return [ListedHost(e.id, e.zone, e.ready, e.weight, e.started) for e in found]

    def _entry(self, now: int, place: int, row: Any) -> Entry:
        try:
            name, address, zone = str(row["name"]), str(row["address"]), str(row["zone"])
            state, weight = str(row["state"]), float(row.get("weight", 1.0))
            incarnation, age = str(row.get("incarnation", "")), float(row.get("age_ms", 1e12))
        except (KeyError, TypeError, ValueError, AttributeError) as wrong:
            raise BadList(f"host {place}: {type(wrong).__name__} {wrong}") from None
        if state not in ("ready", "draining", "gone"):
            raise BadList(f"host {place} ({name}): unknown state {state!r}")
        if zone not in self.zones:
            raise BadList(f"host {place} ({name}): unknown zone {zone!r}")
        if not name or "@" in name or "/" in name or not 0 <= weight < 1e6 or not 0 <= age:
            raise BadList(f"host {place} ({name}): a bad name, weight or age")
        try:
            ip, port = address_of(f"{name}@{address}")
            packed = socket.inet_aton(ip) + struct.pack(">H", port)
        except (OSError, ValueError, struct.error):
            raise BadList(
                f"host {place} ({name}): {address!r} is no IPv4 address and port"
            ) from None
        host = f"{name}@{address}"
        known = self.entries.get(host) or self.left.get(host)
        incarnation = incarnation or (known.incarnation if known else "")
        began = dict(known.began) if known else {}
        began[incarnation] = min(now - round(age * 10), began.get(incarnation, now))
        if known and began[incarnation] < max(began.values()):
            return known  # told late, of a process that another has followed
        if known and incarnation == known.incarnation:
            started = (
                known.started
            )  # worked out once: an age that arrives late would look like a new start
        elif known:
            started = max(now - round(age * 10), known.started + 1)
        else:
            started = now - round(age * 10) if age * 10 < 2 * self.slow_start_time else 0
        began = dict(sorted(began.items(), key=lambda pair: pair[1])[-STARTS_MOST:])
        place_in, ready = self.zones.index(zone), state == "ready"
        was_ready = ready or (known is not None and known.was_ready)
        return Entry(
            host,
            self._id(host, packed),
            place_in,
            ready,
            weight,
            incarnation,
            started,
            began,
            was_ready,
        )

    def _id(self, host: str, packed: bytes) -> bytes:
        if host not in self.ids:
            # The second host seen at an address can't be called by it: it gets one of 0.0.0.0/8, never an address.
            while packed in self.hosts:
                self.spares = (self.spares + 1) % (1 << 40)
                packed = self.spares.to_bytes(6, "big")
            self.ids[host], self.hosts[packed] = packed, host
        return self.ids[host]

    def forget(self, host: bytes) -> str:
        """The decisions hold nothing of it any more; returns its name, "" if it is listed again meanwhile."""
        name = self.hosts[host]
        if name in self.entries:
            return ""
        self.left.pop(name, None)
        del self.hosts[host], self.ids[name]
        return name
