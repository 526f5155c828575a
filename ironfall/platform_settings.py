"""What the operators agreed on, as their start message and their director's configuration both name it.

One reading for the drill and for the platform; standard library only, since the drill has nothing else.
"""

from typing import Any

from ironfall.decisions.interface import RequestClass, ServiceSettings

REPEATABLE = {"pure": "always", "token": "keyed"}


def tenths(ms: float) -> int:
    return round(ms * 10)


def read_service(top: dict[str, Any]) -> ServiceSettings:
    """Optional keys may be absent and unknown ones are skipped; raises `KeyError` or its like where one is needed."""
    info, rules, limits = top.get("FamilyInfo", {}), top.get("Contract", {}), top.get("Limits", {})
    prices = top.get("Prices", {})
    if info.get("KeyRanges", 0):
        raise NotImplementedError(
            "this site has slices (KeyRanges > 0), which ironfall does not serve yet"
        )
    homes = [*info.get("HomeOnly", ()), *[False] * len(top["RequestClasses"])]
    classes = tuple(
        RequestClass(
            # An aim of nought grows with the work alone (AimStretch), and never past the deadline.
            latency_objective=tenths(c["Aim"]) or tenths(c["Deadline"]) or 1,
            deadline=tenths(c["Deadline"]),
            priority_weight=c.get("Worth", 1.0),
            idempotency=REPEATABLE.get(c.get("Effect", ""), "never"),
            idempotency_key_scope=c.get("KeyScope", ""),
            idempotency_key_lifetime=tenths(c.get("KeyTtl", 0)),
            zone_local=bool(zone_local),
        )
        for c, zone_local in zip(top["RequestClasses"], homes, strict=False)
    )
    report = top.get("Report", {})
    return ServiceSettings(
        zones=len(top.get("Dcs", [])) or 1,
        classes=classes,
        requests_host_list=top.get("MembershipMode") == "on_request",
        drain_grace=tenths(rules.get("StopSendingWithin", 1000)),
        slow_start_time=tenths(rules.get("Cold", 0)),
        slow_start_share=rules.get("StartCapacity", 1.0),
        unassigned_limit=tenths(info.get("Bare", 1000)),
        queue_limit=info.get("QueueCap", 1000.0),
        message_overhead=info.get("Overhead", 0.0),
        message_limit=info.get("MessagesMost", 0),
        message_window=tenths(info.get("UpdateWindow", 10000)),
        max_message_delay=tenths(info.get("TransitMax", 1000)),
        report_interval=tenths(info.get("ReportEvery", 1000)),
        proxies=info.get("ProxyCount", 0),
        admits=info.get("ThrottleBy") == "fraction",
        health_checks_allowed=bool(limits.get("Probing")),
        health_check_price=prices.get("Probe", 0.0),
        cross_zone_price=prices.get("CrossZone", 0.0),
        gauges=tuple(report.get("Columns") or ()),
        entries_per_second=info.get("LinesPerS", 0.0),
        notifies_all_proxies=False,
    )
