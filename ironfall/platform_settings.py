"""Reads the service's settings from the start message or the configuration file.

The simulator adapter and the platform program share this module. It imports only the standard
library and the engine's interface.
"""

from typing import Any

from ironfall.decisions.interface import RequestClass, ServiceSettings
from ironfall.decisions.time_units import TICKS_PER_MS

JsonObject = dict[str, Any]

# Defaults of optional keys.
DEFAULT_DRAIN_GRACE_MS = 1000
DEFAULT_UNASSIGNED_LIMIT_MS = 1000
DEFAULT_QUEUE_LIMIT = 1000.0
DEFAULT_MESSAGE_WINDOW_MS = 10_000
DEFAULT_MAX_MESSAGE_DELAY_MS = 1000
DEFAULT_REPORT_INTERVAL_MS = 1000
# Objective of a class that has neither a latency objective nor a deadline: the shortest possible.
MIN_LATENCY_OBJECTIVE = 1

# `RequestClass.idempotency` by the value of `Effect`; any other value means "never".
IDEMPOTENCY_BY_EFFECT = {"pure": "always", "token": "keyed"}
MEMBERSHIP_ON_REQUEST = "on_request"
THROTTLE_BY_FRACTION = "fraction"


def ticks_from_ms(milliseconds: float) -> int:
    """Converts milliseconds to the engine's time unit, tenths of a millisecond."""
    return round(milliseconds * TICKS_PER_MS)


def read_service(settings: JsonObject) -> ServiceSettings:
    """Reads the settings of a service; unknown keys are ignored.

    Raises:
        KeyError, TypeError, ValueError or AttributeError: A required key is missing, or a value has
            the wrong type.
        NotImplementedError: The service needs a feature that ironfall doesn't have. The simulator
            adapter reports the error's type, so it isn't an `IronfallError`.
    """
    family = settings.get("FamilyInfo", {})
    contract = settings.get("Contract", {})
    limits = settings.get("Limits", {})
    prices = settings.get("Prices", {})
    report = settings.get("Report", {})
    if family.get("KeyRanges", 0):
        raise NotImplementedError(
            "this site has slices (KeyRanges > 0), which ironfall does not serve yet"
        )
    return ServiceSettings(
        zones=len(settings.get("Dcs", [])) or 1,
        classes=_read_classes(settings["RequestClasses"], family.get("HomeOnly", ())),
        requests_host_list=settings.get("MembershipMode") == MEMBERSHIP_ON_REQUEST,
        drain_grace=ticks_from_ms(contract.get("StopSendingWithin", DEFAULT_DRAIN_GRACE_MS)),
        slow_start_time=ticks_from_ms(contract.get("Cold", 0)),
        slow_start_share=contract.get("StartCapacity", 1.0),
        unassigned_limit=ticks_from_ms(family.get("Bare", DEFAULT_UNASSIGNED_LIMIT_MS)),
        queue_limit=family.get("QueueCap", DEFAULT_QUEUE_LIMIT),
        message_overhead=family.get("Overhead", 0.0),
        message_limit=family.get("MessagesMost", 0),
        message_window=ticks_from_ms(family.get("UpdateWindow", DEFAULT_MESSAGE_WINDOW_MS)),
        max_message_delay=ticks_from_ms(family.get("TransitMax", DEFAULT_MAX_MESSAGE_DELAY_MS)),
        report_interval=ticks_from_ms(family.get("ReportEvery", DEFAULT_REPORT_INTERVAL_MS)),
        proxies=family.get("ProxyCount", 0),
        admits_by_share=family.get("ThrottleBy") == THROTTLE_BY_FRACTION,
        health_checks_allowed=bool(limits.get("Probing")),
        health_check_price=prices.get("Probe", 0.0),
        cross_zone_price=prices.get("CrossZone", 0.0),
        gauges=tuple(report.get("Columns") or ()),
        entries_per_second=family.get("LinesPerS", 0.0),
        notifies_all_proxies=False,
    )


def _read_classes(classes: list[JsonObject], zone_local: list[bool]) -> tuple[RequestClass, ...]:
    """Reads the traffic classes; those beyond the end of `zone_local` aren't zone-local."""
    padded = [*zone_local, *[False] * len(classes)]
    return tuple(
        _read_class(request_class, bool(is_zone_local))
        for request_class, is_zone_local in zip(classes, padded, strict=False)
    )


def _read_class(request_class: JsonObject, is_zone_local: bool) -> RequestClass:
    objective = ticks_from_ms(request_class["Aim"])
    deadline = ticks_from_ms(request_class["Deadline"])
    return RequestClass(
        # An objective of 0 means that it grows with a request's work, up to the deadline.
        latency_objective=objective or deadline or MIN_LATENCY_OBJECTIVE,
        deadline=deadline,
        priority_weight=request_class.get("Worth", 1.0),
        idempotency=IDEMPOTENCY_BY_EFFECT.get(request_class.get("Effect", ""), "never"),
        idempotency_key_scope=request_class.get("KeyScope", ""),
        idempotency_key_lifetime=ticks_from_ms(request_class.get("KeyTtl", 0)),
        zone_local=is_zone_local,
    )
