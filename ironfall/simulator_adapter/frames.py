"""Layout of the simulator's frames.

A request frame consists of a header, event records of equal size, and a tail with data that records
refer to by offset. A reply consists of a header, order records and a tail. All numbers are
big-endian; times are in milliseconds. The adapter imports only the decisions, the settings and the
standard library, so its errors don't derive from `IronfallError`.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

EVENT_RECORD_BYTES = 56
ORDER_RECORD_BYTES = 16
HOST_ENTRY_BYTES = 25

# Batch number, clock time, number of bytes after the length field, number of records.
REQUEST_HEADER = struct.Struct(">IdII")
# The length includes the record count, although it is part of the header.
RECORD_COUNT_BYTES = 4
# Batch number, number of records, total length of the records and the tail in bytes.
REPLY_HEADER = struct.Struct(">III")

# An event record starts with its code and, except for a list page, the number of the instance.
EVENT_INSTANCE = struct.Struct(">BH")
EVENT_BODY_OFFSET = EVENT_INSTANCE.size
# Code, page number, offset of the page's entries in the tail, number of entries.
LIST_PAGE = struct.Struct(">xBII")

# Bodies of event records.
# Random seed, offset and length of the settings in the tail.
START = struct.Struct(">QII")
# Host, result, price, number of gauges, values of the gauges.
HEALTH_CHECK_RESULT = struct.Struct(">6sHdBffff")
# Zone, host, attempts, failures, latency, covered time, number of gauges, values of the gauges.
UPSTREAM_REPORT = struct.Struct(">H6sIIddBffff")
# Proxy, zone, requests per second, whether it has no table yet.
PROXY_JOINED = struct.Struct(">HHfB")
PROXY_LEFT = struct.Struct(">H")
# Scope, version, page number.
HOST_LIST = struct.Struct(">BQB")
# Requests, failures, proxy, traffic class, covered time.
REQUEST_REPORT = struct.Struct(">IIHHd")
TIMER = struct.Struct(">I")
# Proxy, version.
VERSION_APPLIED = struct.Struct(">HQ")

# The fields of a `HostEntry`.
HOST_ENTRY = struct.Struct(">6sHHHBfd")

# Addresses an order to all proxies.
ALL_PROXIES = 65535


class EventCode(IntEnum):
    """Kinds of event records; the adapter ignores those of unused kinds."""

    HEALTH_CHECK_RESULT = 16
    UNUSED_17 = 17
    UPSTREAM_REPORT = 18
    LIST_PAGE = 19
    PROXY_JOINED = 20
    HOST_LIST = 21
    UNUSED_22 = 22
    STOP = 23
    REQUEST_REPORT = 24
    TIMER = 25
    UNUSED_26 = 26
    UNUSED_27 = 27
    VERSION_APPLIED = 28
    START = 29
    PROXY_LEFT = 30


EVENT_CODES = frozenset(EventCode)


class OrderCode(IntEnum):
    """Kinds of order records."""

    WATCH_HOSTS = 16
    HEALTH_CHECK = 17
    REQUEST_CONFIRMATION = 18
    INSTANCE_FAILED = 19
    ASSIGN = 20
    SET_TIMER = 21
    SET_WEIGHT = 22
    WITHDRAW = 24
    ADMIT = 26


class ListScope(IntEnum):
    """What an endpoint list event contains."""

    CACHED = 0
    DELTA = 1
    FAILED = 2
    FULL = 3


LIST_SCOPES = frozenset(ListScope)


class HostState(IntEnum):
    """State of a host in a list page."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


# Result of a successful health check.
HEALTH_CHECK_SUCCEEDED = 0


class HostEntry(NamedTuple):
    """An entry of a list page.

    Attributes:
        host: Address of the host.
        zone: Number of its zone.
        model: Its model, which the engine doesn't use.
        cell: Its cell, which the engine doesn't use.
        state: Its `HostState`.
        weight: Its initial weight; 0 for the default.
        started_ms: Clock time of its last start; 0 if it started long ago.
    """

    host: bytes
    zone: int
    model: int
    cell: int
    state: int
    weight: float
    started_ms: float


class MalformedFrameError(ValueError):
    """A frame that doesn't follow the layout.

    Attributes:
        location: The frame, batch or record at fault.
        problem: What is wrong with it.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}")
        self.location = location
        self.problem = problem


class MalformedRecordError(ValueError):
    """A record that doesn't follow the layout; the caller adds its batch and index."""


@dataclass(frozen=True, slots=True)
class EventRecord:
    """One event record of a frame.

    Attributes:
        frame: The frame without its header: all records and the tail.
        offset: Offset of the record in `frame`.
        tail_offset: Offset of the tail in `frame`.
    """

    frame: bytes
    offset: int
    tail_offset: int

    @property
    def code(self) -> int:
        """The event code, which may be unknown."""
        return self.frame[self.offset]

    @property
    def instance(self) -> int:
        """The number of the instance that the event is for."""
        instance: int = EVENT_INSTANCE.unpack_from(self.frame, self.offset)[1]
        return instance

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Returns the fields of the record's body."""
        return layout.unpack_from(self.frame, self.offset + EVENT_BODY_OFFSET)

    def tail(self, start: int, length: int, name: str) -> bytes:
        """Returns a part of the tail.

        Args:
            start: Offset of the part in the tail.
            length: Its length in bytes.
            name: Name of the part, for the error message.

        Raises:
            MalformedRecordError: The part isn't inside the frame.
        """
        begin = self.tail_offset + start
        if begin + length > len(self.frame):
            raise MalformedRecordError(
                f"{name} end at byte {begin + length} of a frame body of {len(self.frame)} bytes"
            )
        return self.frame[begin : begin + length]
