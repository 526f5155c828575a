"""Delivers the events of frames to the decision engines of all instances."""

import json
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost
from ironfall.platform_settings import read_service, ticks_from_ms
from ironfall.simulator_adapter import frames
from ironfall.simulator_adapter.frames import (
    EventCode,
    EventRecord,
    HostEntry,
    HostState,
    ListScope,
    MalformedFrameError,
    MalformedRecordError,
)
from ironfall.simulator_adapter.orders import InstanceOrders, ReplyWriter


@dataclass(frozen=True, slots=True)
class Instance:
    """One simulated director: its engine, and the names of the gauges in its reports."""

    engine: DecisionEngine
    gauge_names: tuple[str, ...]

    def gauges(self, count: int, values: list[float]) -> dict[str, float]:
        """Returns the gauges of a report by name."""
        return dict(zip(self.gauge_names, values[:count], strict=False))


class Instances:
    """All instances of this process."""

    def __init__(self) -> None:
        self._reply = ReplyWriter()
        self._instances: dict[int, Instance] = {}
        self._list_pages: dict[int, list[HostEntry]] = {}

    def handle_frame(self, batch: int, clock_ms: float, record_count: int, frame: bytes) -> bytes:
        """Delivers the events of a frame to the instances, and returns the reply frame.

        An instance that raises an error is removed and reported in the reply; its remaining events
        are skipped.

        Raises:
            MalformedFrameError: The frame doesn't follow the layout.
        """
        tail_offset = frames.EVENT_RECORD_BYTES * record_count
        if len(frame) < tail_offset:
            raise MalformedFrameError(
                f"batch {batch}",
                f"{record_count} records need {tail_offset} bytes, the frame body has {len(frame)}",
            )
        now = ticks_from_ms(clock_ms)
        failed: set[int] = set()
        for index in range(record_count):
            event = EventRecord(frame, frames.EVENT_RECORD_BYTES * index, tail_offset)
            try:
                self._deliver(now, event, failed)
            except MalformedRecordError as error:
                raise MalformedFrameError(f"batch {batch}, record {index}", str(error)) from None
        return self._reply.finish_reply(batch)

    def _deliver(self, now: int, event: EventRecord, failed: set[int]) -> None:
        if event.code == EventCode.LIST_PAGE:
            self._on_list_page(event)
            return
        number = event.instance
        if number in failed:
            return
        try:
            self._on_event(now, number, event)
        except MalformedRecordError:
            raise
        except Exception as error:  # noqa: BLE001 - the reply reports that the instance failed
            failed.add(number)
            self._instances.pop(number, None)
            self._reply.add_failure(number, f"{type(error).__name__}: {error}")

    def _on_list_page(self, event: EventRecord) -> None:
        page, start, count = frames.LIST_PAGE.unpack_from(event.frame, event.offset)
        entries = event.tail(start, frames.HOST_ENTRY_BYTES * count, "list page entries")
        fields = frames.HOST_ENTRY.iter_unpack(entries)
        self._list_pages[page] = [HostEntry._make(entry) for entry in fields]

    def _on_event(self, now: int, number: int, event: EventRecord) -> None:
        if event.code == EventCode.START:
            self._start(now, number, event)
            return
        if event.code not in frames.EVENT_CODES:
            raise MalformedRecordError(f"unknown event code {event.code}")
        instance = self._instances.get(number)
        if instance is None:
            return
        if event.code == EventCode.STOP:
            del self._instances[number]
        elif event.code == EventCode.HOST_LIST:
            self._on_host_list(now, instance, event)
        elif handler := HANDLERS.get(event.code):
            handler(now, instance, event)

    def _start(self, now: int, number: int, event: EventRecord) -> None:
        seed, start, length = event.unpack(frames.START)
        settings = read_service(json.loads(event.tail(start, length, "settings")))
        orders = InstanceOrders(self._reply, number)
        engine = DecisionEngine(orders, settings, random.Random(seed), now)
        self._instances[number] = Instance(engine, settings.gauges)

    def _on_host_list(self, now: int, instance: Instance, event: EventRecord) -> None:
        scope, _version, page = event.unpack(frames.HOST_LIST)
        if scope == ListScope.FAILED:
            instance.engine.on_host_list_failed()
            return
        if page not in self._list_pages:
            raise MalformedRecordError(f"list page {page} was not sent")
        if scope not in frames.LIST_SCOPES:
            raise MalformedRecordError(f"unknown list scope {scope}")
        entries = _listed_hosts(self._list_pages[page])
        is_complete = scope != ListScope.DELTA
        is_fresh = scope != ListScope.CACHED
        instance.engine.on_host_list(now, entries, is_complete, is_fresh)


def _listed_hosts(entries: list[HostEntry]) -> Iterator[ListedHost]:
    for entry in entries:
        yield ListedHost(
            host=entry.host,
            zone=entry.zone,
            ready=entry.state == HostState.READY,
            weight=entry.weight,
            started=ticks_from_ms(entry.started_ms),
        )


def _on_upstream_report(now: int, instance: Instance, event: EventRecord) -> None:
    fields = event.unpack(frames.UPSTREAM_REPORT)
    zone, host, attempts, failures, latency_ms, covered_ms, gauge_count, *values = fields
    instance.engine.on_upstream_report(
        now,
        zone,
        host,
        attempts,
        failures,
        ticks_from_ms(latency_ms),
        ticks_from_ms(covered_ms),
        instance.gauges(gauge_count, values),
    )


def _on_request_report(now: int, instance: Instance, event: EventRecord) -> None:
    requests, failures, proxy, class_index, _covered = event.unpack(frames.REQUEST_REPORT)
    instance.engine.on_request_report(now, proxy, class_index, requests, failures)


def _on_timer(now: int, instance: Instance, event: EventRecord) -> None:
    (token,) = event.unpack(frames.TIMER)
    instance.engine.on_timer(now, token)


def _on_health_check(now: int, instance: Instance, event: EventRecord) -> None:
    host, result, _price, gauge_count, *values = event.unpack(frames.HEALTH_CHECK_RESULT)
    succeeded = result == frames.HEALTH_CHECK_SUCCEEDED
    instance.engine.on_health_check(now, host, succeeded, instance.gauges(gauge_count, values))


def _on_proxy_joined(now: int, instance: Instance, event: EventRecord) -> None:
    proxy, zone, rate, _has_no_table = event.unpack(frames.PROXY_JOINED)
    instance.engine.on_proxy_joined(now, proxy, zone, rate)


def _on_proxy_left(_now: int, instance: Instance, event: EventRecord) -> None:
    (proxy,) = event.unpack(frames.PROXY_LEFT)
    instance.engine.on_proxy_left(proxy)


def _on_version_applied(now: int, instance: Instance, event: EventRecord) -> None:
    proxy, version = event.unpack(frames.VERSION_APPLIED)
    instance.engine.on_version_applied(now, proxy, version)


# Handlers of the events that are passed on to an engine.
HANDLERS: dict[int, Callable[[int, Instance, EventRecord], None]] = {
    EventCode.UPSTREAM_REPORT: _on_upstream_report,
    EventCode.REQUEST_REPORT: _on_request_report,
    EventCode.TIMER: _on_timer,
    EventCode.HEALTH_CHECK_RESULT: _on_health_check,
    EventCode.PROXY_JOINED: _on_proxy_joined,
    EventCode.PROXY_LEFT: _on_proxy_left,
    EventCode.VERSION_APPLIED: _on_version_applied,
}
