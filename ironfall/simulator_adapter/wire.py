"""Frames of the bench's wire: what comes in becomes calls on a director, what it orders becomes records."""

import json
import random
import struct
from collections.abc import Iterable
from typing import Any, BinaryIO

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost
from ironfall.platform_settings import read_service, tenths

EVENT, ACTION, ENTRY = 56, 16, 25
HEAD = struct.Struct(">IdII")
REPLY = struct.Struct(">III")
LISTED = struct.Struct(">6sHHHBfd")
OBSERVED = struct.Struct(">H6sIIddBffff")
PROBED = struct.Struct(">6sHdBffff")
INTAKE = struct.Struct(">IIHHd")
ATTACHED = struct.Struct(">HHfB")
GONE, READY, DRAINING = 0, 1, 2
DELTA, FAILED, FULL, CACHED = 1, 2, 3, 0
EVERYONE = 65535  # in place of a table: all joined proxies


class Malformed(Exception):
    """The frame is not one; the text says what is wrong and where."""


class Writer:
    """The reply being written: one for the process, since a frame's records share a tail."""

    def __init__(self) -> None:
        self.records, self.tail = bytearray(), bytearray()

    def add(self, fields: bytes) -> None:
        self.records += fields.ljust(ACTION, b"\0")

    def text(self, code: int, instance: int, text: str) -> None:
        blob = text.encode()
        self.add(struct.pack(">BHII", code, instance, len(self.tail), len(blob)))
        self.tail += blob

    def reply(self, number: int) -> bytes:
        frame = REPLY.pack(number, len(self.records) // ACTION, len(self.records) + len(self.tail))
        frame += bytes(self.records) + bytes(self.tail)
        self.records.clear()
        self.tail.clear()
        return frame


class WireOrders:
    """`Orders` of one instance, each written into the reply as it is given."""

    def __init__(self, writer: Writer, instance: int) -> None:
        self.writer, self.instance = writer, instance

    def _add(self, form: str, code: int, *fields: Any) -> None:
        self.writer.add(struct.pack(">BH" + form, code, self.instance, *fields))

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        self._add("H6sf", 22, table, host, weight)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        self._add("HHH", 20, proxy, table, classes)

    def withdraw(self, host: bytes, out: bool) -> None:
        self._add("6sB", 24, host, out)

    def admit(self, classes: int, level: float, tries: int) -> None:
        self._add("fBHH", 26, level, tries, classes, EVERYONE)

    def health_check(self, host: bytes) -> None:
        self._add("6s", 17, host)

    def request_confirmation(self, version: int) -> None:
        self._add("QB", 18, version, 0)

    def watch_hosts(self) -> None:
        self._add("B", 16, 1)

    def set_timer(self, delay: int, token: int) -> None:
        self._add("dI", 21, delay / 10, token)

    def forget(self, host: bytes) -> None: ...


class Bench:
    """All instances of this process, fed frame by frame."""

    def __init__(self) -> None:
        self.writer = Writer()
        self.directors: dict[int, DecisionEngine] = {}
        self.columns: dict[int, tuple[str, ...]] = {}
        self.pages: dict[int, list[tuple[Any, ...]]] = {}

    def play(self, number: int, clock: float, count: int, body: bytes) -> bytes:
        tail = EVENT * count
        if len(body) < tail:
            raise Malformed(
                f"batch {number}: {count} records need {tail} bytes, the frame has {len(body)}"
            )
        now = tenths(clock)
        broken: set[int] = set()
        for at in range(0, tail, EVENT):
            code = body[at]
            if code == 19:
                page, start, entries = struct.unpack_from(">BII", body, at + 1)
                begin, end = tail + start, tail + start + ENTRY * entries
                if end > len(body):
                    raise Malformed(
                        f"batch {number}, record {at // EVENT}: list entries run past the frame"
                    )
                self.pages[page] = list(LISTED.iter_unpack(body[begin:end]))
                continue
            instance = int.from_bytes(body[at + 1 : at + 3], "big")
            if instance in broken:
                continue
            try:
                self._event(code, instance, now, body, at, tail)
            except Malformed as wrong:
                raise Malformed(f"batch {number}, record {at // EVENT}: {wrong}") from None
            except Exception as cause:  # the wire has a report for this, which names the cause
                broken.add(instance)
                self.directors.pop(instance, None)
                self.writer.text(19, instance, f"{type(cause).__name__}: {cause}")
        return self.writer.reply(number)

    def _event(self, code: int, instance: int, now: int, body: bytes, at: int, tail: int) -> None:
        if code == 29:
            seed, start, length = struct.unpack_from(">QII", body, at + 3)
            if tail + start + length > len(body):
                raise Malformed("the start message runs past the frame")
            terms = read_service(json.loads(body[tail + start : tail + start + length]))
            orders = WireOrders(self.writer, instance)
            self.columns[instance] = terms.gauges
            self.directors[instance] = DecisionEngine(orders, terms, random.Random(seed), now)
            return
        if code not in (16, 17, 18, 20, 21, 22, 23, 24, 25, 26, 27, 28, 30):
            raise Malformed(f"unknown event code {code}")
        director = self.directors.get(instance)
        if director is None:
            return
        if code == 18:
            zone, host, tries, failed, cost, covers, n, *values = OBSERVED.unpack_from(body, at + 3)
            gauge = dict(zip(self.columns[instance], values[:n], strict=False))
            director.on_upstream_report(
                now, zone, host, tries, failed, tenths(cost), tenths(covers), gauge
            )
        elif code == 24:
            came, lost, proxy, kind, _covers = INTAKE.unpack_from(body, at + 3)
            director.on_request_report(now, proxy, kind, came, lost)
        elif code == 25:
            director.on_timer(now, int.from_bytes(body[at + 3 : at + 7], "big"))
        elif code == 16:
            host, result, _cost, n, *values = PROBED.unpack_from(body, at + 3)
            gauge = dict(zip(self.columns[instance], values[:n], strict=False))
            director.on_health_check(now, host, result == 0, gauge)
        elif code == 20:
            proxy, zone, rate, _fresh = ATTACHED.unpack_from(body, at + 3)
            director.on_proxy_joined(now, proxy, zone, rate)
        elif code == 28:
            proxy, version = (
                int.from_bytes(body[at + 3 : at + 5], "big"),
                int.from_bytes(body[at + 5 : at + 13], "big"),
            )
            director.on_version_applied(now, proxy, version)
        elif code == 30:
            director.on_proxy_left(int.from_bytes(body[at + 3 : at + 5], "big"))
        elif code == 21:
            scope, _version, page = struct.unpack_from(">BQB", body, at + 3)
            if scope == FAILED:
                director.on_host_list_failed()
            else:
                if page not in self.pages:
                    raise Malformed(f"page {page} was never given")
                if scope not in (DELTA, FULL, CACHED):
                    raise Malformed(f"unknown scope {scope}")
                director.on_host_list(now, self._listing(page), scope != DELTA, scope != CACHED)
        elif code == 23:
            del self.directors[instance]

    def _listing(self, page: int) -> Iterable[ListedHost]:
        for host, zone, _model, _cell, state, weight, started in self.pages[page]:
            yield ListedHost(host, zone, state == READY, weight, tenths(started))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    bench = Bench()
    done = 0
    while head := source.read(HEAD.size):
        if len(head) < HEAD.size:
            raise Malformed(f"frame {done}: the header ends after {len(head)} of {HEAD.size} bytes")
        number, clock, length, count = HEAD.unpack(head)
        body = source.read(length - 4) if length >= 4 else b""
        if length < 4 or len(body) < length - 4:
            raise Malformed(
                f"batch {number}: the frame ends after {len(body)} of {length - 4} bytes"
            )
        sink.write(bench.play(number, clock, count, body))
        sink.flush()
        done += 1
