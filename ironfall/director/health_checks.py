"""Health checks of hosts, as ordered by the decision engine."""

import contextlib

import gevent

from ironfall.api.exchange import Link, address_of, read_gauges
from ironfall.decisions.events import EventKind
from ironfall.decisions.time_units import SECOND
from ironfall.director.long_poll_director import LongPollDirector
from ironfall.generated import ironfall_pb2 as pb

MAX_RUNNING_CHECKS = 64
"""Checks ordered beyond this number are skipped."""


class HealthChecks:
    """Checks hosts over persistent connections; each result is queued as an event."""

    def __init__(self, director: LongPollDirector, name: str, zone: str) -> None:
        """`name` and `zone` of the director are sent to hosts when a connection opens."""
        self.director = director
        self._hello_name = f"director {name}"
        self._zone = zone
        self._timeout_seconds = director.terms.probe_timeout / SECOND
        self._links: dict[str, Link] = {}
        self._running: set[str] = set()

    def start_check(self, host: str) -> None:
        """Starts a check, unless one of this host or too many others are running."""
        if host in self._running or len(self._running) >= MAX_RUNNING_CHECKS:
            self.director.count("probes passed over")
            return
        self._running.add(host)
        gevent.spawn(self._check, host)

    def forget(self, host: str) -> None:
        """Closes the connection to a host."""
        link = self._links.pop(host, None)
        if link:
            link.close()

    def _check(self, host: str) -> None:
        stalls = self.director.clock.stalls
        answer = None
        try:
            with gevent.Timeout(self._timeout_seconds, False), contextlib.suppress(OSError):
                answer = self._link(host).send("probe", pb.Probe(host=host)).get()
        finally:
            self._running.discard(host)
        self.director.count("probes")
        if stalls != self.director.clock.stalls:
            return  # The time-out may be due to the stall of this process.
        succeeded = answer is not None and answer.outcome == pb.FULFILLED
        gauges = read_gauges(answer.gauges) if answer is not None else {}
        host_id = self.director.host_list.ids.get(host)
        if host_id is not None:
            self.director.put(EventKind.HEALTH_CHECK, host_id, succeeded, gauges)

    def _link(self, host: str) -> Link:
        link = self._links.get(host)
        if link is None or not link.open:
            hello = pb.Hello(who=self._hello_name, zone=self._zone)
            link = Link(address_of(host), hello, self._timeout_seconds)
            self._links[host] = link
        return link
