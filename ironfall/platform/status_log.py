"""Logs the service's settings once, and a summary of the director's state periodically."""

from dataclasses import dataclass

from ironfall.decisions.interface import ServiceSettings
from ironfall.decisions.time_units import SECOND, TICKS_PER_MS
from ironfall.director import explain
from ironfall.director.event_loop import EventLoop
from ironfall.platform.drain_metrics import DrainMetrics
from ironfall.platform.host_list import HostList
from ironfall.platform.log import EventLog
from ironfall.platform.order_outbox import OrderOutbox
from ironfall.platform.proxy_streams import ProxyStreams
from ironfall.platform.relay_client import RelayClient

SUMMARY_INTERVAL = 10 * SECOND  # ticks
MS_PER_SECOND = 1000
MICROSECONDS_PER_MS = 1000
TAIL_PERCENTILE = 99


def log_settings(log: EventLog, settings: ServiceSettings) -> None:
    """Logs the operators' settings that are needed to interpret the rest of the log."""
    log.info(
        "service settings",
        drain_grace_ms=settings.drain_grace // TICKS_PER_MS,
        bare_ms=settings.unassigned_limit // TICKS_PER_MS,
        lines_each_second=settings.entries_per_second,
        lines_most=settings.queue_limit,
        message_head=settings.message_overhead,
        messages_most=settings.message_limit,
        slowest_message_ms=settings.max_message_delay // TICKS_PER_MS,
        proxies=settings.proxies,
        report_every_ms=settings.report_interval // TICKS_PER_MS,
        cold_ms=settings.slow_start_time // TICKS_PER_MS,
    )


@dataclass
class SummaryLog:
    """Logs the periodic summary of one director.

    Attributes:
        hosts: The host list.
        streams: The attached proxies.
        outbox: The waiting orders.
        relay: The client that sends them.
        drains: Measures how soon drains are confirmed.
        event_loop: The event loop, with its counters.
        log: Receives the summary.
        last_logged_at: Clock time of the last summary, in ticks.
    """

    hosts: HostList
    streams: ProxyStreams
    outbox: OrderOutbox
    relay: RelayClient
    drains: DrainMetrics
    event_loop: EventLoop
    log: EventLog
    last_logged_at: int

    def log_if_due(self, now: int) -> None:
        """Logs a summary if the last one is at least `SUMMARY_INTERVAL` old."""
        if now - self.last_logged_at < SUMMARY_INTERVAL:
            return
        self.last_logged_at = now
        loop = self.event_loop
        batch_us = loop.batch_durations.get_value_at_percentile(TAIL_PERCENTILE)
        wait_us = loop.queue_waits.get_value_at_percentile(TAIL_PERCENTILE)
        self.log.info(
            "summary",
            hosts=len(self.hosts.entries),
            proxies=len(self.streams.attached),
            orders=len(self.outbox.waiting),
            **explain.channel(loop.engine, now),
            turns=loop.batch_durations.get_total_count(),
            turn_ms=batch_us / MICROSECONDS_PER_MS,
            wait_ms=wait_us / MICROSECONDS_PER_MS,
            call_ms=round(self.relay.longest_call_s * MS_PER_SECOND, 1),
            stalls=loop.clock.stalls,
            gaps=self.streams.gap_count,
            counts=loop.counts,
            **self.drains.summary(now),
        )
        self.relay.longest_call_s = 0.0
