"""The heartbeat aggregator as a program.

It receives heartbeats of a zone's members, and each second reports changes to the coordinators'
leader. Only calls that never yield to other greenlets access its state.
"""

import random
import secrets
import signal
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ironfall.api.http import Bounds, HttpServer
from ironfall.coordinator.client import CoordinatorClient
from ironfall.disruption.settings import MILLION, SECOND
from ironfall.membership import AggregatorRules, HeartbeatAggregator
from ironfall.membership_server.leader_reports import LeaderReports
from ironfall.membership_server.listener import HeartbeatListener
from ironfall.membership_server.marker_polls import MarkerPolls
from ironfall.terms import Terms

MAX_MESSAGE_BYTES = 8 * 2**20
"""Enough for the most heartbeats of a message, each with its status."""
SPARE_CONNECTIONS = 256
"""For operators, and members that reconnect before their old connection is closed."""
STOP_TIMEOUT_SECONDS = 0.2
MAX_CLIENT_NAME_LENGTH = 100
SEED_BITS = 63


class Program:
    """A running aggregator: `start` returns once it listens, `wait` once it has stopped.

    Attributes:
        server: The HTTP server.
        aggregator: The state of the zone's members.
        coordinators: The client of the coordinators.
        done: Set when it has stopped.
        status: The exit code.
    """

    def __init__(  # noqa: PLR0913 - the options of the command line, and what tests replace
        self,
        terms: Terms,
        name: str,
        log: Any,
        seed: int | None = None,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Raises `KeyError` if the settings have no aggregator of this name."""
        self._settings = {aggregator.name: aggregator for aggregator in terms.fleet.observers}[name]
        self.log = log
        self._monotonic = monotonic
        self._rng = random.Random(secrets.randbits(SEED_BITS) if seed is None else seed)
        self.aggregator = self._make_aggregator(terms, int(wall() * MILLION))
        client_name = f"observer {name}"[:MAX_CLIENT_NAME_LENGTH]
        self.coordinators = CoordinatorClient(
            terms.fleet.keepers, client_name, self._rng, monotonic
        )
        self._listener = HeartbeatListener(self.aggregator, self.now, self._inspect)
        self.server = HttpServer(self._settings.address, self._bounds(terms), self._listener.handle)
        self._reports = LeaderReports(self.aggregator, self.coordinators, self._rng, monotonic, log)
        self._polls = MarkerPolls(self.aggregator, self.coordinators, self._rng, log)
        self.status = 0
        self.done = Event()
        self._loops: list[gevent.Greenlet] = []

    def _make_aggregator(self, terms: Terms, incarnation: int) -> HeartbeatAggregator:
        fleet = terms.fleet
        rules = AggregatorRules(
            lease=fleet.lease,
            clock_drift=round(fleet.drift * MILLION),
            near_limit=fleet.rules(terms.service).near_limit_share,
            max_members=self._settings.room,
        )
        return HeartbeatAggregator(
            self._settings.name, self._settings.zone, incarnation, self.now(), rules
        )

    def _bounds(self, terms: Terms) -> Bounds:
        limits = terms.limits
        return Bounds(
            connections=self._settings.room + SPARE_CONNECTIONS,
            body=MAX_MESSAGE_BYTES,
            request_time=limits.header_time / SECOND,
            idle=limits.idle / SECOND,
            write_time=limits.write_time / SECOND,
        )

    def now(self) -> int:
        """Returns the process's time in tenths of a millisecond."""
        return int(self._monotonic() * SECOND)

    def start(self) -> None:
        """Listens, and starts to report and to poll for markers."""
        self.server.start()
        self._loops = [gevent.spawn(self._run_reports), gevent.spawn(self._polls.run, self.now)]
        for loop in self._loops:
            loop.link_exception(self._on_loop_error)
        self.log.info(
            "listening",
            port=self.server.port,
            zone=self.aggregator.zone,
            incarnation=self.aggregator.incarnation,
        )

    def wait(self) -> int:
        """Waits for SIGTERM, SIGINT or `stop`.

        Returns:
            The exit code: 0, or 1 if another process has its name or a loop failed.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self.stop)
        self.done.wait()
        return self.status

    def stop(self) -> None:
        """Stops listening and reporting."""
        if self.done.is_set():
            return
        self.server.stop(STOP_TIMEOUT_SECONDS)
        for loop in self._loops:
            loop.kill(block=False)
        self.coordinators.close()
        self.log.info("stopped", members=len(self.aggregator.members))
        self.done.set()

    def _run_reports(self) -> None:
        self._reports.run(self._listener.urgent, self.now)
        self._fail()

    def _on_loop_error(self, loop: gevent.Greenlet) -> None:
        # An aggregator that answers members but does not report must end, so that members change
        # to the other one.
        self.log.error("a background loop failed; stopping", cause=repr(loop.exception))
        self._fail()

    def _fail(self) -> None:
        self.status = 1
        gevent.spawn(self.stop)

    def _inspect(self) -> dict[str, Any]:
        """Returns what operators are shown."""
        shown = self.aggregator.inspect(self.now())
        shown["counts"] = {
            "messages": self._listener.messages,
            "beats": self._listener.heartbeats,
            "received": self._listener.received_bytes,
            "reports": self._reports.made,
            "reported": self._reports.accepted,
            "unheard": self._reports.unanswered,
        }
        shown["connections"] = self.server.open
        shown["trouble"] = self._reports.fault or self._polls.fault
        return shown
