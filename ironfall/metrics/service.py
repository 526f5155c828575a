"""The metrics of one director.

Sends its measurements at a fixed interval, receives readings, and hands them to the turn loop.
"""

import os
import time
from pathlib import Path
from typing import Any

import gevent

from ironfall.decisions.events import EventKind
from ironfall.metrics import collectd
from ironfall.metrics.collectd_text import decode_json
from ironfall.metrics.links import (
    CollectdReceiver,
    CollectdSender,
    GraphiteReceiver,
    GraphiteSender,
    RateLimit,
    Sender,
)
from ironfall.metrics.mapping import Mapping
from ironfall.metrics.measures import points
from ironfall.metrics.overflow import Overflow
from ironfall.metrics.readings import Readings
from ironfall.metrics.retention import archives
from ironfall.metrics.rounds import Rounds
from ironfall.metrics.spool import Spool
from ironfall.metrics.terms import MetricsTerms
from ironfall.metrics.types import Types
from ironfall.storage.disk import Folder
from ironfall.storage.segment_ring import SegmentRing

TICKS_PER_SECOND = 10_000
HANDOVER_INTERVAL = 0.2  # seconds; readings of one host and time that come in between are one event


class Metrics:
    """Runs the senders, receivers and round-robin files that the settings name.

    Args:
        live: The running director.
        terms: The settings.
        name: The director's name, part of the name of each series.
        seed: Seeds the retry delays of the senders.
        served: Counters of the HTTP server, by name.
    """

    def __init__(
        self, live: Any, terms: MetricsTerms, name: str, seed: int, served: dict[str, int]
    ) -> None:
        self.live, self.terms, self.name, self.served = live, terms, name, served
        self.readings = Readings(terms.late / TICKS_PER_SECOND, terms.ahead / TICKS_PER_SECOND)
        self.mapping = Mapping(list(terms.readings))
        self.password = Path(terms.key_file).read_text().strip() if terms.key_file else ""
        self.counts: dict[str, int] = {}
        self.post_rate_limit = RateLimit(terms.lines)  # for posts; each receiver has its own
        self.reading_ages: list[float] = []
        self.senders: list[Sender] = []
        self.receivers: list[Any] = []
        self.rounds = (
            Rounds(Path(terms.rounds), archives(terms.keep), terms.series) if terms.rounds else None
        )
        # Keeps directors apart: two of the same name would overwrite each other's series.
        self.prefix = f"{terms.prefix}.{name}"
        if terms.graphite_to:
            overflow = self._open_overflow("graphite")
            self.senders.append(
                GraphiteSender(terms.graphite_to, Spool(terms.spool), seed, overflow)
            )
        if terms.collectd_to:
            interval = terms.every / TICKS_PER_SECOND
            overflow = self._open_overflow("collectd")
            self.senders.append(
                CollectdSender(
                    terms.collectd_to,
                    Spool(terms.spool),
                    seed,
                    name,
                    interval,
                    self._protect,
                    overflow,
                )
            )
        if terms.graphite_listen:
            self.receivers.append(
                GraphiteReceiver(
                    terms.graphite_listen, self.take, terms.connections, terms.lines, self.counts
                )
            )
        if terms.collectd_listen:
            password_of = {terms.user: self.password}.get if terms.user else None
            self.receivers.append(
                CollectdReceiver(
                    terms.collectd_listen,
                    self.take,
                    terms.lines,
                    self.counts,
                    terms.must,
                    password_of,
                )
            )
        self.greenlets = [gevent.spawn(self._measure_loop)] if self.senders or self.rounds else []
        self.greenlets += [gevent.spawn(self._hand_over_loop)] if terms.readings else []

    def stop(self) -> None:
        """Stops all senders, receivers and round-robin files."""
        gevent.killall(self.greenlets)
        for link in [*self.senders, *self.receivers, *([self.rounds] if self.rounds else [])]:
            link.stop()

    def _open_overflow(self, which: str) -> Overflow | None:
        folder, most = Path(self.terms.overflow) / which, self.terms.overflow_most
        return Overflow(lambda: SegmentRing(Folder(folder), most)) if self.terms.overflow else None

    def _protect(self, packet: bytes) -> bytes:
        if not self.terms.user:
            return packet
        if self.terms.must == "encrypted":
            return collectd.encrypt(packet, self.terms.user, self.password, os.urandom(16))
        return collectd.sign(packet, self.terms.user, self.password)

    def take(self, series: str, value: float, at: float, kind: str = "gauge") -> None:
        """Adds a value received from a peer over any protocol.

        Args:
            series: The series, by which the host and the gauge are found.
            value: The value.
            at: When it was measured, in seconds since 1970; 0 for now.
            kind: collectd's kind of the value; "gauge" for protocols without kinds.
        """
        match = self.mapping.find(series)
        if match is None:
            self.counts["series not mapped"] = self.counts.get("series not mapped", 0) + 1
            return
        host, gauge, scale = match
        if kind in ("counter", "derive"):
            self.readings.count(time.time(), host, gauge, value, at, scale)
        elif kind == "gauge":
            self.readings.take(time.time(), host, gauge, value * scale, at)
        else:  # an absolute value is relative to the previous reading, which may be lost
            self.counts["absolute values passed over"] = (
                self.counts.get("absolute values passed over", 0) + 1
            )

    def posted(self, body: bytes) -> int:
        """Adds the value lists that collectd's write_http plugin posted.

        Returns:
            The number of value lists; -1 if they exceed the rate limit, and then none is used.

        Raises:
            Malformed: The body is not valid, and none of it is used.
        """
        lists = decode_json(body)
        if not self.post_rate_limit.allows(len(lists)):
            self.counts["posts over the rate"] = self.counts.get("posts over the rate", 0) + 1
            return -1
        for value_list in lists:
            for reading in collectd.values_of(value_list, Types.bundled()):
                self.take(*reading)
        return len(lists)

    def _hand_over_loop(self) -> None:
        while True:
            gevent.sleep(HANDOVER_INTERVAL)
            self.hand_over()

    def hand_over(self) -> None:
        """Puts the readings since the last call into the director's events for the next turn."""
        wall, now, live = time.time(), self.live.clock.now(), self.live
        hosts: dict[str, tuple[bytes, float]] = {}
        for entry in live.host_list.entries.values():
            # The start of the process as wall time: readings of the previous process are rejected.
            started = wall - (now - entry.started) / TICKS_PER_SECOND if entry.started else 0.0
            name = entry.host.partition("@")[0]
            previous = self.readings.hosts.get(name)
            is_same = (
                previous is not None
                and previous.id == entry.id
                and abs(previous.started - started) < 1
            )
            hosts[name] = (
                entry.id,
                previous.started if is_same and previous is not None else started,
            )
        self.readings.listed(hosts)
        self.reading_ages = []
        for host_id, at, gauges in self.readings.take_new():
            age = max(0.0, wall - at)
            self.reading_ages.append(age)
            live.put(EventKind.GAUGE_READING, host_id, round(age * TICKS_PER_SECOND), gauges)

    def _measure_loop(self) -> None:
        while True:
            gevent.sleep(self.terms.every / TICKS_PER_SECOND)
            sent = {f"{type(s).__name__} {k}": v for s in self.senders for k, v in s.books.items()}
            read = {f"readings {k}": v for k, v in self.readings.counts.items()}
            kept = {f"rounds {k}": v for k, v in self.rounds.counts.items()} if self.rounds else {}
            counts = {**self.served, **self.counts, **sent, **read, **kept}
            for point, how in points(
                self.live, self.prefix, float(int(time.time())), counts, self.reading_ages
            ):
                for sender in self.senders:
                    sender.put(point, how)
                if self.rounds:
                    self.rounds.put(point, how)
