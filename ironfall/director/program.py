"""The director's program: creates, starts and stops the parts, and shows their status."""

import random
import secrets
import signal
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import gevent
from gevent.event import Event

from ironfall import __version__
from ironfall.api.http import Bounds, HttpServer
from ironfall.coordinator.client import CoordinatorClient
from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.time_units import SECOND
from ironfall.director.clock import Clock
from ironfall.director.fleet_lease import DirectorIdentity, LeaseSettings
from ironfall.director.fleet_member import CoordinatorLedger, FleetMember, LedgerClient
from ironfall.director.health_checks import HealthChecks
from ironfall.director.host_list_watch import HostListWatch
from ironfall.director.http_handlers import DirectorParts, HttpHandlers
from ironfall.director.long_poll_director import LongPollDirector
from ironfall.director.recorded_batches import Decide
from ironfall.files.service import Files
from ironfall.membership_server.client import HeartbeatClient
from ironfall.metrics.service import Metrics
from ironfall.publication import MILLION
from ironfall.terms import Terms

CALLBACK_SLICE_SECONDS = 0.05
"""How long gevent runs ready greenlets before it polls for input.

Proxies poll again as soon as they are answered. With gevent's default of 5 ms, the last answers to
a change would wait behind the next polls of the proxies that were answered first.
"""

SERVER_STOP_SECONDS = 1.0
MAX_CLIENT_NAME_LENGTH = 100
TIMEOUTS_PER_LEASE = 4


class Program:
    """A director. `start` returns once it listens, `wait` once it has been stopped.

    Attributes:
        director: The event loop and its state.
        server: The HTTP server.
        files: The operators' files; None if the settings name none.
        member: The director as a member of the fleet; None if the settings name no coordinators.
        metrics: Sends the measurements and receives gauge readings; set by `start`.
    """

    metrics: Metrics

    def __init__(  # noqa: PLR0913 - command line options, and dependencies that tests replace
        self,
        terms: Terms,
        log: Any,
        name: str = "director",
        zone: str = "",
        seed: int | None = None,
        make_engine: Decide = DecisionEngine,
        record: TextIO | None = None,
        monotonic: Callable[[], float] = time.monotonic,
        coordinators: LedgerClient | HeartbeatClient | None = None,
    ) -> None:
        """`coordinators` replaces the client that the settings describe."""
        self.terms = terms
        self.log = log
        self.name = name
        self.zone = zone or terms.zones[0]
        self.seed = secrets.randbits(63) if seed is None else seed
        # For jitter only; the decision engine has a random generator of its own.
        self._rng = random.Random(self.seed + 1)
        # Increases with each start, unless the machine's clock is set back.
        epoch = time.time_ns() // 1000
        clock = Clock(monotonic)
        self.director = LongPollDirector(terms, self.seed, clock, epoch, make_engine, log, record)
        self.director.tasks = self
        self.files = Files(self.director, terms.files, log) if terms.files.path else None
        if coordinators is None:
            coordinators = self._make_coordinators()
        self.member = self._make_member(coordinators)
        self._parts = DirectorParts(self.director, self.files, self.member)
        self.handle = HttpHandlers(self._parts, self._rng, self.status).handle
        self.server = HttpServer(terms.listen, _server_bounds(terms), self.handle)
        self._health_checks = HealthChecks(self.director, name, self.zone)
        self._host_list_watch = HostListWatch(
            self.director, name, self._rng, self.files, self.member
        )
        self._stopped = Event()
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts all parts.

        Raises:
            OSError: The server cannot listen on its address.
        """
        sys.setswitchinterval(CALLBACK_SLICE_SECONDS)
        self._loop = gevent.spawn(self.director.run)
        self._loop.link_exception(self._on_loop_error)
        if self.files:
            self.files.start()
        gevent.spawn(self._host_list_watch.run)
        self.server.start()
        if self.member:
            self.member.start()
        self.metrics = Metrics(
            self.director, self.terms.metrics, self.name, self.seed, self.server.counts
        )
        self._parts.metrics = self.metrics
        address = f"{self.terms.listen[0]}:{self.server.port}"
        self.log.info("listening", address=address, epoch=self.director.epoch)

    def wait(self) -> int:
        """Waits for SIGTERM, SIGINT or `stop`; returns 0, or 1 if the decision engine failed."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.stop)
        self._stopped.wait()
        return 1 if self._loop is not None and self._loop.exception else 0

    def stop(self) -> None:
        """Stops all parts; a second call does nothing."""
        if self.director.stopping:
            return
        # Answer held polls first, so that proxies switch to another director at once.
        self.director.stop()
        self.server.stop(SERVER_STOP_SECONDS)
        self.metrics.stop()
        if self.files:
            self.files.stop()
        if self.member:
            self.member.stop()
        self.log.info("stopped", turns=self.director.batch_durations.get_total_count())
        self._stopped.set()

    def watch_hosts(self) -> None:
        """Starts the watch of the host list."""
        self._host_list_watch.request()

    def health_check(self, host: str) -> None:
        """Starts a health check."""
        self._health_checks.start_check(host)

    def forget(self, host: str) -> None:
        """Releases the connection that is kept for a host's health checks."""
        self._health_checks.forget(host)

    def status(self) -> dict[str, Any]:
        """Returns the content of `/v1/status`."""
        director = self.director
        publication = director.publication
        status: dict[str, Any] = {
            "name": self.name,
            "epoch": director.epoch,
            "version": publication.version,
            "hosts": len(director.host_list.entries),
            "withdrawn": sorted(publication.outs),
            "proxies": len(director.sessions.by_token),
            "connections": self.server.open,
            "backlog": round(director.channel.backlog, 1),
            "backlog_most": round(director.channel.max_backlog, 1),
            "stalls": director.clock.stalls,
            "turns": director.batch_durations.get_total_count(),
            "turn": _percentiles(director.batch_durations),
            "event_to_turn": _percentiles(director.queue_waits),
            "order_to_applied": _percentiles(director.confirmation_times),
            "levels": {
                self.terms.classes[request_class]: rate / MILLION
                for request_class, (rate, _) in publication.admits.items()
            },
            "counts": {**director.counts, **self.server.counts, **self.metrics.counts},
            "readings": dict(self.metrics.readings.counts),
            "spools": [sender.books for sender in self.metrics.senders],
        }
        if self.files:
            status["files"] = self.files.status()
        if self.member:
            status["member"] = self.member.status()
        return status

    def _on_loop_error(self, loop: gevent.Greenlet) -> None:
        # A director without decisions must not go on: once it has stopped, proxies keep their
        # tables or switch to another director.
        self.log.error("decision engine failed, stopping the director", cause=repr(loop.exception))
        self.stop()

    def _make_coordinators(self) -> LedgerClient | HeartbeatClient | None:
        """Returns a client of the zone's heartbeat aggregators if any, or of the coordinators."""
        fleet = self.terms.fleet
        rng = random.Random(self.seed + 3)
        monotonic = self.director.clock.monotonic
        if any(aggregator.zone == self.zone for aggregator in fleet.observers):
            return HeartbeatClient(
                self.zone, fleet.observers, fleet.lease, rng, monotonic, self._on_aggregator
            )
        if fleet.keepers:
            client_name = f"director {self.name}"[:MAX_CLIENT_NAME_LENGTH]
            client = CoordinatorClient(fleet.keepers, client_name, rng, monotonic)
            return CoordinatorLedger(client, fleet.lease / SECOND / TIMEOUTS_PER_LEASE)
        return None

    def _make_member(
        self, coordinators: LedgerClient | HeartbeatClient | None
    ) -> FleetMember | None:
        if coordinators is None:
            return None
        fleet = self.terms.fleet
        identity = DirectorIdentity(self.name, self.zone, __version__)
        lease = LeaseSettings(fleet.lease, fleet.drift)
        return FleetMember(self.director, coordinators, identity, lease, self.seed + 2)

    def _on_aggregator(self, name: str) -> None:
        self.log.info("switched to another heartbeat aggregator", observer=name)


def _server_bounds(terms: Terms) -> Bounds:
    limits = terms.limits
    return Bounds(
        limits.held,
        limits.body,
        limits.header_time / SECOND,
        limits.idle / SECOND,
        limits.write_time / SECOND,
    )


def _percentiles(histogram: Any) -> dict[str, float]:
    """Returns the median and the 99th percentile in ms of a histogram in microseconds."""
    return {
        f"p{percent}_ms": histogram.get_value_at_percentile(percent) / 1000 for percent in (50, 99)
    }
