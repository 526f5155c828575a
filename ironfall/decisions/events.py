"""The kinds of events that the engine receives, and of orders that it issues.

The values are the names in recorded batches, so they must not change.
"""

from enum import StrEnum


class EventKind(StrEnum):
    """Kinds of events; the values are their names in recorded batches."""

    HOST_LIST = "listed"
    WEIGHT_BOUNDS = "held_between"
    EXCLUDED_CLASSES = "kept_from"
    HOST_LIST_FAILED = "list_failed"
    PROXY_JOINED = "joined"
    PROXY_DESYNCHRONIZED = "strayed"
    PROXY_LEFT = "left"
    VERSION_APPLIED = "applied"
    HEALTH_CHECK = "probed"
    GAUGE_READING = "gauged"
    UPSTREAM_REPORT = "heard"
    REQUEST_REPORT = "arrived"
    TIMER = "woken"


class OrderKind(StrEnum):
    """Kinds of orders; the values are their names in recorded batches."""

    SET_WEIGHT = "set_line"
    ASSIGN = "bind"
    WITHDRAW = "withdraw"
    ADMIT = "admit"
    HEALTH_CHECK = "probe"
    REQUEST_CONFIRMATION = "mark"
    WATCH_HOSTS = "watch_list"
    SET_TIMER = "wake"
    FORGET = "forget"
