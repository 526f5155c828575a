"""Reads the service's settings, as the operators' start message and configuration file name them.

The simulator adapter and the platform share this reading. It imports the standard library alone.
"""

from typing import Any

from ironfall.decisions.interface import RequestClass, ServiceSettings

JsonObject = dict[str, Any]

TICKS_PER_MS = 10
# What an absent key means.
DEFAULT_DRAIN_GRACE_MS = 1000
DEFAULT_UNASSIGNED_LIMIT_MS = 1000
DEFAULT_QUEUE_LIMIT = 1000.0
DEFAULT_MESSAGE_WINDOW_MS = 10_000
DEFAULT_MAX_MESSAGE_DELAY_MS = 1000
DEFAULT_REPORT_INTERVAL_MS = 1000
# A class without a latency objective and a deadline has the shortest objective there is.
MIN_LATENCY_OBJECTIVE = 1

# `RequestClass.idempotency` by the key `Effect`; any other effect is "never".
IDEMPOTENCY_BY_EFFECT = {"pure": "always", "token": "keyed"}
MEMBERSHIP_ON_REQUEST = "on_request"
THROTTLE_BY_FRACTION = "fraction"


def ticks_from_ms(milliseconds: float) -> int:
    """Converts milliseconds to the decisions' unit, tenths of a millisecond."""
    return round(milliseconds * TICKS_PER_MS)


def read_service(settings: JsonObject) -> ServiceSettings:
    """Reads the settings of a service.

    Optional keys may be absent, and unknown ones are skipped.

    Raises:
        KeyError, TypeError, ValueError or AttributeError: A key is missing or has another type.
        NotImplementedError: The service needs a feature that ironfall doesn't have. The simulator
            adapter reports the error's type, so it is not an `IronfallError`.
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
        admits=family.get("ThrottleBy") == THROTTLE_BY_FRACTION,
        health_checks_allowed=bool(limits.get("Probing")),
        health_check_price=prices.get("Probe", 0.0),
        cross_zone_price=prices.get("CrossZone", 0.0),
        gauges=tuple(report.get("Columns") or ()),
        entries_per_second=family.get("LinesPerS", 0.0),
        notifies_all_proxies=False,
    )


def _read_classes(classes: list[JsonObject], zone_local: list[bool]) -> tuple[RequestClass, ...]:
    """Reads the traffic classes; `zone_local` may name fewer, and the others may leave the zone."""
    padded = [*zone_local, *[False] * len(classes)]
    return tuple(
        _read_class(request_class, bool(is_zone_local))
        for request_class, is_zone_local in zip(classes, padded, strict=False)
    )


def _read_class(request_class: JsonObject, is_zone_local: bool) -> RequestClass:
    objective = ticks_from_ms(request_class["Aim"])
    deadline = ticks_from_ms(request_class["Deadline"])
    return RequestClass(
        # An objective of 0 grows with the work of a request, and never past the deadline.
        latency_objective=objective or deadline or MIN_LATENCY_OBJECTIVE,
        deadline=deadline,
        priority_weight=request_class.get("Worth", 1.0),
        idempotency=IDEMPOTENCY_BY_EFFECT.get(request_class.get("Effect", ""), "never"),
        idempotency_key_scope=request_class.get("KeyScope", ""),
        idempotency_key_lifetime=ticks_from_ms(request_class.get("KeyTtl", 0)),
        zone_local=is_zone_local,
    )
