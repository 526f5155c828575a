"""The evidence behind an order, read from the records of the decisions for the logs."""

from typing import Any

from ironfall.decisions.engine import DecisionEngine


def withdrawal(director: Any, host: bytes, now: int) -> dict[str, Any]:
    """Why a host was taken out or came back, in figures an operator can check."""
    it = director.hosts.get(host) if isinstance(director, DecisionEngine) else None
    if it is None:
        return {}
    cause = "failing"
    if not it.is_ready:
        cause = "drains or is gone from the list"
    elif it.is_silent:
        cause = "silent: its usual answers stay away"
    elif (
        it.started_at
        and it.slow_start_since >= it.evidence_since
        and now - it.slow_start_since < 1_000
    ):
        cause = "restarted: it comes back in steps"
    return {
        "cause": cause,
        "failing": [round(m.value, 3) for m in it.failure_rates],
        "tries": [round(m.mass, 1) for m in it.failure_rates],
        "answers_ms": round(it.recent_latency.value / 10, 1),
        "waiting": round(it.in_flight, 1),
        "retry_s": round(max(0, it.retry_at - now) / 10_000, 1),
    }


def leaves(director: Any, host: bytes) -> bool:
    """Whether a line that goes does so because its host drains or is gone."""
    it = director.hosts.get(host) if isinstance(director, DecisionEngine) else None
    return it is not None and not it.is_ready


def silent(director: Any) -> list[bytes]:
    """Hosts that are out for their silence, and that the list calls ready."""
    hosts = director.hosts.values() if isinstance(director, DecisionEngine) else ()
    return [it.id for it in hosts if it.is_withdrawn and it.is_silent and it.is_ready]


def channel(director: Any, now: int) -> dict[str, Any]:
    """What the decisions take to wait in the channel, beside the most that may."""
    if not isinstance(director, DecisionEngine):
        return {}
    return {
        "lines": round(director.budget.unconfirmed_entries(now)),
        "lines_most": round(director.channel.queue_limit),
        "parts": director.fleet.shard_count,
    }


def admission(director: Any) -> dict[str, Any]:
    """What the admission rates were set by."""
    if not isinstance(director, DecisionEngine):
        return {}
    return {
        "strain": round(director.load.overload, 2),
        "let_in": round(director.admission.admitted_share, 3),
        "asked": round(director.load.request_rate, 1),
    }
