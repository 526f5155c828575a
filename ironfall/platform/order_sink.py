"""Passes the decision engine's orders, batch by batch, to the outbox and the log."""

from collections.abc import Callable

from ironfall.director import explain
from ironfall.director.event_loop import MAX_WAIT_SECONDS, EventLoop
from ironfall.platform.drain_metrics import DrainMetrics
from ironfall.platform.log import EventLog
from ironfall.platform.order_outbox import OrderOutbox
from ironfall.platform.proxy_streams import ProxyStreams
from ironfall.platform.relay_client import RelayClient


class PlatformSink:
    """The event loop's order sink; `connect` it to the loop and the relay client before use."""

    def __init__(
        self,
        outbox: OrderOutbox,
        streams: ProxyStreams,
        drains: DrainMetrics,
        log: EventLog,
        on_clock_read: Callable[[int], None],
    ) -> None:
        """`on_clock_read` gets the time in ticks whenever the event loop reads the clock."""
        self._outbox = outbox
        self._streams = streams
        self._drains = drains
        self._log = log
        self._on_clock_read = on_clock_read
        self._event_loop: EventLoop
        self._relay: RelayClient
        self._has_new_list = False
        # The proxies that have confirmed anything since the last batch.
        self._confirmed_proxies: set[int] = set()

    def connect(self, event_loop: EventLoop, relay: RelayClient) -> None:
        """Sets the event loop that gives the orders, and the client to wake when orders wait."""
        self._event_loop = event_loop
        self._relay = relay

    def on_host_list(self) -> None:
        """Handles a host list that was queued in the event loop."""
        self._has_new_list = True

    def on_confirmation(self, proxy: int) -> None:
        """Handles a proxy's confirmation that was queued in the event loop."""
        self._confirmed_proxies.add(proxy)

    # Orders of the decision engine

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Sets a table entry."""
        self._outbox.set_weight(table, host, weight)
        if not weight and explain.is_draining(self._event_loop.engine, host):
            self._log.info("drain", host=host.decode(), table=table)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Assigns a proxy's classes to a table, if it is still attached."""
        if proxy not in self._streams.attached:
            return
        self._outbox.assign(proxy, table, classes)
        self._streams.assigned.add(proxy)
        self._drains.on_proxy_assigned(self._event_loop.batch_time, proxy)

    def withdraw(self, host: bytes, is_withdrawn: bool) -> None:
        """Withdraws a host from all tables, or restores it."""
        self._outbox.withdraw(host, is_withdrawn)
        evidence = explain.withdrawal(self._event_loop.engine, host, self._event_loop.batch_time)
        event = "withdraw" if is_withdrawn else "return"
        self._log.info(event, host=host.decode(), **evidence)

    def admit(self, classes: int, admitted_share: float, attempts: int) -> None:
        """Sets the admitted share and attempts per request of the classes in a bit mask; 0: all."""
        self._outbox.admit(classes, admitted_share, attempts)
        evidence = explain.admission(self._event_loop.engine)
        self._log.info(
            "admit", classes=classes, share=round(admitted_share, 3), tries=attempts, **evidence
        )

    def health_check(self, host: bytes) -> None:
        """Does nothing: the platform offers no health checks."""

    def request_confirmation(self, version: int) -> None:
        """Requests that proxies confirm all orders up to a version."""
        self._outbox.request_confirmation(version)

    def watch_hosts(self) -> None:
        """Does nothing: the host list is always watched."""

    def forget(self, host: bytes) -> None:
        """Does nothing: no record of a host is kept here."""

    # Steps of the event loop

    def on_clock_read(self, now: int) -> None:
        """Runs whenever the event loop reads the clock, so also before each batch."""
        self._on_clock_read(now)

    def end_batch(self, now: int) -> None:
        """Ends a batch: its orders may be sent."""
        # A list that was queued while the batch ran is processed by the next one.
        has_processed_list = self._has_new_list and not self._event_loop.events
        decisions = self._event_loop.engine
        self._drains.on_batch(now, decisions, has_processed_list, self._confirmed_proxies)
        if has_processed_list:
            self._has_new_list = False
        self._confirmed_proxies = set()
        if self._outbox.waiting:
            self._relay.has_orders.set()

    def send_due(self, now: int) -> float:  # noqa: ARG002 - the event loop's interface
        """Returns the longest wait, in seconds, since no orders are scheduled for later."""
        return MAX_WAIT_SECONDS
