"""The evidence behind orders, read from the decision engine's records for the logs.

Engines other than `DecisionEngine` keep no such records; for those the functions return an empty
result, or False.
"""

from typing import Any

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.records import Host
from ironfall.decisions.time_units import SECOND, TICKS_PER_MS

# A withdrawal within this time after the start of a slow start is caused by the restart.
RECENT_RESTART_TICKS = 1_000


def withdrawal(engine: Any, host: bytes, now: int) -> dict[str, Any]:
    """Returns the cause and the figures behind the start or the end of a host's withdrawal."""
    record = _record_of(engine, host)
    if record is None:
        return {}
    latency_ms = record.recent_latency.value / TICKS_PER_MS
    retry_seconds = max(0, record.retry_at - now) / SECOND
    return {
        "cause": _withdrawal_cause(record, now),
        "failing": [round(rate.value, 3) for rate in record.failure_rates],
        "tries": [round(rate.mass, 1) for rate in record.failure_rates],
        "answers_ms": round(latency_ms, 1),
        "waiting": round(record.in_flight, 1),
        "retry_s": round(retry_seconds, 1),
    }


def _withdrawal_cause(host: Host, now: int) -> str:
    if not host.is_ready:
        return "drains or is gone from the list"
    if host.is_silent:
        return "silent: the expected responses are missing"
    is_restart = host.started_at and host.slow_start_since >= host.evidence_since
    if is_restart and now - host.slow_start_since < RECENT_RESTART_TICKS:
        return "restarted: its load is restored in steps"
    return "failing"


def is_draining(engine: Any, host: bytes) -> bool:
    """Returns whether a host is draining or has left the host list."""
    record = _record_of(engine, host)
    return record is not None and not record.is_ready


def silent_hosts(engine: Any) -> list[bytes]:
    """Returns the hosts that are withdrawn as silent although the host list calls them ready."""
    if not isinstance(engine, DecisionEngine):
        return []
    return [
        host.id
        for host in engine.hosts.values()
        if host.is_withdrawn and host.is_silent and host.is_ready
    ]


def channel(engine: Any, now: int) -> dict[str, Any]:
    """Returns the unconfirmed entries in the channel, their limit, and the number of shards."""
    if not isinstance(engine, DecisionEngine):
        return {}
    return {
        "lines": round(engine.budget.unconfirmed_entries(now)),
        "lines_most": round(engine.channel.queue_limit),
        "parts": engine.fleet.shard_count,
    }


def admission(engine: Any) -> dict[str, Any]:
    """Returns the figures behind the admission rates."""
    if not isinstance(engine, DecisionEngine):
        return {}
    return {
        "strain": round(engine.load.overload, 2),
        "let_in": round(engine.admission.admitted_share, 3),
        "asked": round(engine.load.request_rate, 1),
    }


def _record_of(engine: Any, host: bytes) -> Host | None:
    return engine.hosts.get(host) if isinstance(engine, DecisionEngine) else None
