"""Assembles one director on the platform, and starts, reloads and stops it."""

import random
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.time_units import SECOND, TICKS_PER_MS
from ironfall.director.clock import Clock
from ironfall.director.event_loop import EventLoop
from ironfall.platform.drain_metrics import DrainMetrics
from ironfall.platform.host_list import HostList, HostListError, HostListUpdate
from ironfall.platform.list_watch import HostListWatch
from ironfall.platform.log import EventLog
from ironfall.platform.message_parser import ReportParser
from ironfall.platform.order_outbox import NONCE_COUNT, OrderOutbox
from ironfall.platform.order_sink import PlatformSink
from ironfall.platform.proxy_streams import ProxyStreams
from ironfall.platform.proxy_subscription import EventDecoder, ProxySubscription
from ironfall.platform.relay_client import RelayClient
from ironfall.platform.report_intake import ReportIntake
from ironfall.platform.report_listener import ListenerLimits, ReportListener
from ironfall.platform.report_queue import ReportQueue
from ironfall.platform.runtime import Runtime
from ironfall.platform.startup import (
    StartupConfig,
    StartupError,
    read_config_file,
    read_endpoints,
)
from ironfall.platform.status_log import SummaryLog, log_settings

MAX_EVENTS = 20_000  # that may wait for a batch
# The director is ready after this time even without a host list from discovery or a snapshot of the
# attached proxies; it then uses the host list of its configuration.
READY_TIMEOUT_S = 4.0
# Attempts to read a new configuration file, which may be only partly written. The old addresses
# keep answering for 1.5 s after the signal.
RELOAD_ATTEMPTS = 7
RELOAD_DELAY_S = 0.2
# Delay before a rejected assignment is repeated, if the proxy is still attached.
REJECTED_ASSIGNMENT_DELAY_S = 1.0
MAX_CONFIRMATION_WAIT_S = 0.5
# Connections that have not joined may use one file descriptor in this many.
UNJOINED_SOCKET_DIVISOR = 4


class PlatformDirector:
    """A director with all its components.

    Attributes:
        config: The startup configuration.
        event_loop: Passes all events to the decision engine.
        is_done: Set when the director is to stop.
        has_failed: Whether it stops because one of its greenlets ended.
        greenlets: The greenlets that run for as long as the director does.
    """

    def __init__(
        self,
        config: StartupConfig,
        log: EventLog,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self.config = config
        self._log = log
        # Only for jitter and nonces: the decision engine has its own generator.
        self._random = random.Random(config.seed + 1)
        self.outbox = OrderOutbox(config.classes, self._random.randrange(NONCE_COUNT))
        self.reports = ReportQueue()
        self.hosts = HostList(config.zones)
        clock = Clock(monotonic)
        self.streams = ProxyStreams(self, clock.now)
        self.drains = DrainMetrics(self._on_drain_confirmed)
        self.sink = PlatformSink(self.outbox, self.streams, self.drains, log, self._on_clock_read)
        self.event_loop = self._make_event_loop(clock)
        runtime = Runtime(clock.now, self._random, log, self.event_loop.count)
        self.relay = self._make_relay_client(runtime)
        self.sink.connect(self.event_loop, self.relay)
        self.subscription = self._make_subscription(runtime)
        self.watch = self._make_watch(runtime)
        self.listener = self._make_listener(runtime)
        self.summary = self._make_summary()
        self.is_done = Event()
        self.has_failed = False
        self._has_host_list = Event()
        self.greenlets: list[gevent.Greenlet] = []

    def _make_event_loop(self, clock: Clock) -> EventLoop:
        return EventLoop(
            self.config.service,
            self.config.seed,
            clock,
            DecisionEngine,
            self._log,
            self.sink,
            self.reports,
            MAX_EVENTS,
        )

    def _make_relay_client(self, runtime: Runtime) -> RelayClient:
        max_message_delay_s = self.config.service.max_message_delay / SECOND
        return RelayClient(
            self.config.endpoints.relay,
            self.outbox,
            min(MAX_CONFIRMATION_WAIT_S, max_message_delay_s),
            self,
            runtime,
        )

    def _make_subscription(self, runtime: Runtime) -> ProxySubscription:
        decoder = EventDecoder(self.streams, self.config.zones, self.config.service.proxies)
        return ProxySubscription(
            self.config.endpoints.relay, self.streams, decoder, runtime, self._on_failure
        )

    def _make_watch(self, runtime: Runtime) -> HostListWatch:
        return HostListWatch(
            self.config.endpoints.discovery,
            self.hosts,
            self._on_host_list,
            runtime,
            self.config.max_list_bytes,
        )

    def _make_listener(self, runtime: Runtime) -> ReportListener:
        config = self.config
        service = config.service
        parser = ReportParser(config.zones, config.classes, service.proxies, service.gauges)
        intake = ReportIntake(parser, self.reports, lambda host: host in self.hosts.entries)
        limits = ListenerLimits.for_service(
            len(config.zones),
            service.report_interval / SECOND,
            config.max_sockets // UNJOINED_SOCKET_DIVISOR,
        )
        return ReportListener(config.listen, intake, limits, runtime)

    def _make_summary(self) -> SummaryLog:
        return SummaryLog(
            self.hosts,
            self.streams,
            self.outbox,
            self.relay,
            self.drains,
            self.event_loop,
            self._log,
            last_logged_at=self.event_loop.clock.now(),
        )

    # Lifecycle

    def start(self) -> None:
        """Starts all components; raises `OSError` if the director can't listen on its address."""
        self.listener.start()
        self._apply_known_list()
        self._startup = gevent.spawn(self._become_ready)
        self._startup.link_exception(self._on_failure)
        for run in (self.event_loop.run, self.relay.run, self.watch.run):
            greenlet = gevent.spawn(run)
            self.greenlets.append(greenlet)
            greenlet.link(self._on_failure)
        self.subscription.start()

    def stop(self) -> None:
        """Requests the director to stop."""
        self.is_done.set()

    def shut_down(self) -> None:
        """Stops all components and closes the connections to the relay and the discovery agent.

        Connections accepted by the listener stay open until their own greenlets end. Not needed
        when the process exits afterwards.
        """
        self.listener.server.stop(0)
        self.is_done.set()
        subscribers = [*self.subscription.greenlets, *self.subscription.retiring_greenlets]
        gevent.killall([self._startup, *self.greenlets, *subscribers])
        self.relay.close()
        self.watch.client.close()

    def reload(self, attempts: int = RELOAD_ATTEMPTS) -> None:
        """Reads the configuration file again and applies both of its addresses, or neither.

        A file that can't be read may be only partly written, so it is read up to `attempts` times.
        """
        try:
            discovery, relay = read_endpoints(read_config_file(self.config.path))
        except StartupError as error:
            self._log.error(
                "new configuration not applied; keeping the current addresses", cause=str(error)
            )  # noqa: TRY400 - no traceback
            if attempts > 1:
                gevent.spawn_later(RELOAD_DELAY_S, self.reload, attempts - 1)
            return
        if discovery != self.watch.client.address:
            self.watch.change_address(discovery)
        if relay != self.relay.address:
            self.relay.change_address(relay)
            self.subscription.change_address(relay)
        self._log.info("new configuration applied", discovery=discovery, relay=relay)

    def _apply_known_list(self) -> None:
        """Passes the host list of the configuration, if it has one, to the event loop."""
        if self.config.known_list is None:
            return
        try:
            update = self.watch.apply(self.config.known_list)
        except HostListError as error:
            self._log.warning(
                "known host list of the configuration is invalid; starting without it",
                cause=str(error),
            )
            return
        if update is not None:
            self.event_loop.put_blocking("listed", update.hosts, True, False)

    def _become_ready(self) -> None:
        started = time.monotonic()
        self._has_host_list.wait(READY_TIMEOUT_S)
        remaining_s = max(0.0, started + READY_TIMEOUT_S - time.monotonic())
        self.subscription.has_snapshot.wait(remaining_s)
        self.listener.is_ready.set()
        self._log.info(
            "ready",
            seconds=round(time.monotonic() - started, 3),
            hosts=len(self.hosts.entries),
            proxies=len(self.streams.attached),
        )
        log_settings(self._log, self.config.service)

    def _on_failure(self, greenlet: gevent.Greenlet) -> None:
        """Stops the director when one of its greenlets has ended, with or without an exception.

        A director that no longer decides is worse than none: without one, proxies keep their tables
        or use another director.
        """
        if self.is_done.is_set():
            return
        self._log.error(
            "greenlet ended unexpectedly; stopping the director",
            cause=repr(greenlet.exception or greenlet),
        )
        self.has_failed = True
        self.is_done.set()

    # Events from the components

    def _on_clock_read(self, now: int) -> None:
        self.summary.log_if_due(now)

    def _on_host_list(self, update: HostListUpdate) -> None:
        self.event_loop.put_blocking("listed", update.hosts, update.is_complete, True)
        self.sink.on_host_list()
        self._has_host_list.set()

    def on_proxy_joined(self, proxy: int, zone: int, request_rate: float) -> None:
        """Handles a proxy that has attached."""
        self.drains.on_proxy_joined(self.event_loop.clock.now(), proxy)
        self.event_loop.put("joined", proxy, zone, request_rate)

    def on_proxy_desynchronized(self, proxy: int) -> None:
        """Handles an attached proxy that may hold another director's tables."""
        self.event_loop.put("strayed", proxy)

    def on_proxy_left(self, proxy: int) -> None:
        """Handles a proxy that has detached."""
        self.outbox.forget_proxy(proxy)
        self.reports.forget_proxy(proxy)
        self.drains.on_proxy_left(proxy)
        self.event_loop.put("left", proxy)

    def on_nonce_confirmed(self, proxy: int, nonce: int) -> None:
        """Handles a proxy that has applied all orders up to those of the nonce's call."""
        self.relay.on_nonce_confirmed(nonce)
        version = self.outbox.versions.get(nonce)
        if version is not None:
            self.sink.on_confirmation(proxy)
            self.event_loop.put("applied", proxy, version)

    def on_call_started(self, nonce: int) -> None:
        """Handles a call that is about to be sent under a nonce."""
        self.streams.forget_nonce(nonce)

    def on_assignment_rejected(self, proxy: int) -> None:
        """Handles an assignment that the relay rejected.

        Nearly always the proxy has detached and its detach event has not arrived yet.
        """
        gevent.spawn_later(
            REJECTED_ASSIGNMENT_DELAY_S, self._repeat_assignment, proxy, self.streams.last_event
        )

    def _repeat_assignment(self, proxy: int, rejected_at_event: int) -> None:
        """Triggers a new assignment unless the proxy has detached or rejoined in the meantime."""
        has_changed = self.streams.newest_event(proxy) > rejected_at_event
        if proxy in self.streams.assigned and not has_changed:
            self.on_proxy_desynchronized(proxy)

    def _on_drain_confirmed(self, host: bytes, elapsed: int) -> None:
        grace = max(1, self.config.service.drain_grace)
        self._log.info(
            "drain confirmed",
            host=host.decode(),
            ms=elapsed // TICKS_PER_MS,
            of_grace=round(elapsed / grace, 3),
        )
