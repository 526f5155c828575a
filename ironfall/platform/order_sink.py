"""Takes the decisions' orders, batch by batch, and passes them to the outbox and the log."""

from collections.abc import Callable

from ironfall.director import explain
from ironfall.director.event_loop import MAX_WAIT_SECONDS, EventLoop
from ironfall.platform.drain_metrics import DrainMetrics
from ironfall.platform.log import EventLog
from ironfall.platform.order_outbox import OrderOutbox
from ironfall.platform.proxy_streams import ProxyStreams
from ironfall.platform.relay_client import RelayClient


class PlatformSink:
    """The event loop's sink for orders, connected to the loop and the relay after they are made."""

    def __init__(
        self,
        outbox: OrderOutbox,
        streams: ProxyStreams,
        drains: DrainMetrics,
        log: EventLog,
        on_poll: Callable[[int], None],
    ) -> None:
        """Orders go to the outbox; `on_poll` is called with the clock's time before each batch."""
        self._outbox = outbox
        self._streams = streams
        self._drains = drains
        self._log = log
        self._on_poll = on_poll
        self._event_loop: EventLoop
        self._relay: RelayClient
        self._has_new_list = False
        # The proxies that confirmed anything since the last batch.
        self._confirmed_proxies: set[int] = set()

    def connect(self, event_loop: EventLoop, relay: RelayClient) -> None:
        """Sets the loop whose orders these are, and the client that is woken when orders wait."""
        self._event_loop = event_loop
        self._relay = relay

    def on_host_list(self) -> None:
        """Handles a host list that was put to the event loop."""
        self._has_new_list = True

    def on_confirmation(self, proxy: int) -> None:
        """Handles a proxy's confirmation that was put to the event loop."""
        self._confirmed_proxies.add(proxy)

    # Orders of the decisions

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Sets a table entry."""
        self._outbox.set_weight(table, host, weight)
        if not weight and explain.is_draining(self._event_loop.decisions, host):
            self._log.info("drain", host=host.decode(), table=table)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Assigns a proxy's classes to a table, if it is still attached."""
        if proxy not in self._streams.attached:
            return
        self._outbox.assign(proxy, table, classes)
        self._streams.assigned.add(proxy)
        self._drains.on_proxy_assigned(self._event_loop.at, proxy)

    def withdraw(self, host: bytes, out: bool) -> None:
        """Withdraws a host from all tables, or returns it."""
        self._outbox.withdraw(host, out)
        evidence = explain.withdrawal(self._event_loop.decisions, host, self._event_loop.at)
        event = "withdraw" if out else "return"
        self._log.info(event, host=host.decode(), **evidence)

    def admit(self, classes: int, level: float, tries: int) -> None:
        """Sets the admitted share of some classes, and how they are retried."""
        self._outbox.admit(classes, level, tries)
        evidence = explain.admission(self._event_loop.decisions)
        self._log.info("admit", classes=classes, share=round(level, 3), tries=tries, **evidence)

    def health_check(self, host: bytes) -> None:
        """Does nothing: the platform offers no health checks."""

    def request_confirmation(self, version: int) -> None:
        """Asks proxies to confirm all orders up to a version."""
        self._outbox.request_confirmation(version)

    def watch_hosts(self) -> None:
        """Does nothing: the host list is always watched."""

    def forget(self, host: bytes) -> None:
        """Does nothing: no record of a host is kept here."""

    # Steps of the event loop

    def look(self, now: int) -> None:
        """Runs before each batch, at least as often as the loop reads the clock."""
        self._on_poll(now)

    def close(self, now: int) -> None:
        """Ends a batch: its orders may leave."""
        # A list that was put while the batch ran is taken by the next one.
        has_processed_list = self._has_new_list and not self._event_loop.events
        decisions = self._event_loop.decisions
        self._drains.on_batch(now, decisions, has_processed_list, self._confirmed_proxies)
        if has_processed_list:
            self._has_new_list = False
        self._confirmed_proxies = set()
        if self._outbox.waiting:
            self._relay.has_orders.set()

    def release(self, now: int) -> float:  # noqa: ARG002 - the event loop's interface
        """Returns the seconds until the loop is needed again; nothing leaves by itself."""
        return MAX_WAIT_SECONDS
