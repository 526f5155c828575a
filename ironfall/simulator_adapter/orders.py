"""Encodes the engines' orders in a reply frame."""

import struct
from typing import Any

from ironfall.decisions.time_units import TICKS_PER_MS
from ironfall.simulator_adapter.frames import (
    ALL_PROXIES,
    ORDER_RECORD_BYTES,
    REPLY_HEADER,
    OrderCode,
)


class ReplyWriter:
    """Builds the reply for all instances, whose records share a tail."""

    def __init__(self) -> None:
        self._records = bytearray()
        self._tail = bytearray()

    def add_record(self, record: bytes) -> None:
        """Adds an order record."""
        self._records += record.ljust(ORDER_RECORD_BYTES, b"\0")

    def add_failure(self, instance: int, text: str) -> None:
        """Adds a record that reports the failure of an instance, with the cause."""
        blob = text.encode()
        fields = OrderCode.INSTANCE_FAILED, instance, len(self._tail), len(blob)
        self.add_record(struct.pack(">BHII", *fields))
        self._tail += blob

    def finish_reply(self, batch: int) -> bytes:
        """Returns the reply frame for a batch, and clears the writer for the next one."""
        records = len(self._records) // ORDER_RECORD_BYTES
        header = REPLY_HEADER.pack(batch, records, len(self._records) + len(self._tail))
        frame = header + bytes(self._records) + bytes(self._tail)
        self._records.clear()
        self._tail.clear()
        return frame


class InstanceOrders:
    """Writes each order of one instance to the reply."""

    def __init__(self, reply: ReplyWriter, instance: int) -> None:
        self._reply = reply
        self._instance = instance

    def _add(self, fields_format: str, code: OrderCode, *fields: Any) -> None:
        self._reply.add_record(struct.pack(">BH" + fields_format, code, self._instance, *fields))

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Sets a host's weight in a table."""
        self._add("H6sf", OrderCode.SET_WEIGHT, table, host, weight)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Assigns a proxy to a table for the traffic classes in a bit mask."""
        self._add("HHH", OrderCode.ASSIGN, proxy, table, classes)

    def withdraw(self, host: bytes, is_withdrawn: bool) -> None:
        """Withdraws a host if `is_withdrawn`, else ends its withdrawal."""
        self._add("6sB", OrderCode.WITHDRAW, host, is_withdrawn)

    def admit(self, classes: int, admitted_share: float, attempts: int) -> None:
        """Sets the admitted share and the attempts per request of the classes in a bit mask."""
        self._add("fBHH", OrderCode.ADMIT, admitted_share, attempts, classes, ALL_PROXIES)

    def health_check(self, host: bytes) -> None:
        """Orders a health check."""
        self._add("6s", OrderCode.HEALTH_CHECK, host)

    def request_confirmation(self, version: int) -> None:
        """Asks proxies to confirm a version number."""
        self._add("QB", OrderCode.REQUEST_CONFIRMATION, version, 0)

    def watch_hosts(self) -> None:
        """Requests the endpoint list."""
        self._add("B", OrderCode.WATCH_HOSTS, 1)

    def set_timer(self, delay: int, token: int) -> None:
        """Sets a timer."""
        self._add("dI", OrderCode.SET_TIMER, delay / TICKS_PER_MS, token)

    def forget(self, host: bytes) -> None:
        """Does nothing, since the simulator has no records of its own to drop."""
