"""Layout of the simulator's frames.

A request frame is a header, event records of equal size and a tail that records point into; a reply
is a header, order records and a tail. All numbers are big-endian; times are milliseconds. The
adapter imports the decisions, the settings and the standard library alone, so its errors do not
derive from `IronfallError`.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

EVENT_RECORD_BYTES = 56
ORDER_RECORD_BYTES = 16
HOST_ENTRY_BYTES = 25

# Number of the batch, clock time, length of what follows the length field, number of records.
REQUEST_HEADER = struct.Struct(">IdII")
# The length counts the number of records, which stands in the header, as well.
RECORD_COUNT_BYTES = 4
# Number of the batch, number of records, length of records and tail.
REPLY_HEADER = struct.Struct(">III")

# An event record begins with its code and, but for a list page, the number of the instance.
EVENT_INSTANCE = struct.Struct(">BH")
EVENT_BODY_OFFSET = EVENT_INSTANCE.size
# A list page has its code, its own number, where its entries begin in the tail, and their number.
LIST_PAGE = struct.Struct(">xBII")

# Bodies of event records. Seed, offset and length of the settings in the tail.
START = struct.Struct(">QII")
# Host, result, price, number of gauges, gauges.
HEALTH_CHECK_RESULT = struct.Struct(">6sHdBffff")
# Zone, host, attempts, failures, latency, covered time, number of gauges, gauges.
UPSTREAM_REPORT = struct.Struct(">H6sIIddBffff")
# Proxy, zone, requests a second, whether it holds no table.
PROXY_JOINED = struct.Struct(">HHfB")
PROXY_LEFT = struct.Struct(">H")
# Scope, version, number of the list page.
HOST_LIST = struct.Struct(">BQB")
# Requests, failures, proxy, traffic class, covered time.
REQUEST_REPORT = struct.Struct(">IIHHd")
TIMER = struct.Struct(">I")
# Proxy, version.
VERSION_APPLIED = struct.Struct(">HQ")

# The fields of a `HostEntry`.
HOST_ENTRY = struct.Struct(">6sHHHBfd")

# The table of an order that goes to all proxies.
ALL_PROXIES = 65535


class EventCode(IntEnum):
    """Kinds of event records; unused ones are valid, and have no meaning for the engine."""

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
    """What the list page of an endpoint list holds."""

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


# Result of a health check that the host answered.
HEALTH_CHECK_SUCCEEDED = 0


class HostEntry(NamedTuple):
    """An entry of a list page.

    Attributes:
        host: Address of the host.
        zone: Its zone.
        model: Its model, which the engine doesn't use.
        cell: Its cell, which the engine doesn't use.
        state: Its `HostState`.
        weight: Its initial weight; 0 for the usual one.
        started_ms: Clock time of its last start; 0 for long ago.
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
        place: The frame, batch or record.
        problem: What is wrong there.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem


class MalformedRecordError(ValueError):
    """A record that doesn't follow the layout; who reads the frame adds the place."""


@dataclass(frozen=True, slots=True)
class EventRecord:
    """One event record of a frame.

    Attributes:
        frame: What follows the frame's header: all records and the tail.
        offset: Where the record begins.
        tail_offset: Where the tail begins.
    """

    frame: bytes
    offset: int
    tail_offset: int

    @property
    def code(self) -> int:
        """The kind of the record, which may be unknown."""
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

        Raises:
            MalformedRecordError: The part isn't inside the frame.
        """
        begin = self.tail_offset + start
        if begin + length > len(self.frame):
            raise MalformedRecordError(f"{name} past the frame")
        return self.frame[begin : begin + length]
