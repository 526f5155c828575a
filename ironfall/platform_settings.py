"""What the operators agreed on, as their start message and their director's configuration both name it.

One reading for the drill and for the platform; standard library only, since the drill has nothing else.
"""

from typing import Any

from ironfall.decisions.interface import ExchangeClass, ServiceTerms

REPEATABLE = {"pure": "always", "token": "keyed"}


def tenths(ms: float) -> int:
    return round(ms * 10)


def read_service(top: dict[str, Any]) -> ServiceTerms:
    """Optional keys may be absent and unknown ones are skipped; raises `KeyError` or its like where one is needed."""
    info, rules, limits = top.get("FamilyInfo", {}), top.get("Contract", {}), top.get("Limits", {})
    prices = top.get("Prices", {})
    if info.get("KeyRanges", 0):
        raise NotImplementedError(
            "this site has slices (KeyRanges > 0), which ironfall does not serve yet"
        )
    homes = [*info.get("HomeOnly", ()), *[False] * len(top["RequestClasses"])]
    classes = tuple(
        ExchangeClass(
            # An aim of nought grows with the work alone (AimStretch), and never past the deadline.
            expected_time=tenths(c["Aim"]) or tenths(c["Deadline"]) or 1,
            abandon_time=tenths(c["Deadline"]),
            earnings=c.get("Worth", 1.0),
            repeatable=REPEATABLE.get(c.get("Effect", ""), "never"),
            key_scope=c.get("KeyScope", ""),
            key_life=tenths(c.get("KeyTtl", 0)),
            home=bool(home),
        )
        for c, home in zip(top["RequestClasses"], homes, strict=False)
    )
    report = top.get("Report", {})
    return ServiceTerms(
        zones=len(top.get("Dcs", [])) or 1,
        classes=classes,
        ask_for_list=top.get("MembershipMode") == "on_request",
        drain_grace=tenths(rules.get("StopSendingWithin", 1000)),
        cold_time=tenths(rules.get("Cold", 0)),
        cold_share=rules.get("StartCapacity", 1.0),
        bare_time=tenths(info.get("Bare", 1000)),
        queue_limit=info.get("QueueCap", 1000.0),
        message_head=info.get("Overhead", 0.0),
        message_limit=info.get("MessagesMost", 0),
        message_span=tenths(info.get("UpdateWindow", 10000)),
        slowest_message=tenths(info.get("TransitMax", 1000)),
        report_every=tenths(info.get("ReportEvery", 1000)),
        proxies=info.get("ProxyCount", 0),
        admits=info.get("ThrottleBy") == "fraction",
        may_probe=bool(limits.get("Probing")),
        probe_price=prices.get("Probe", 0.0),
        crossing_price=prices.get("CrossZone", 0.0),
        gauges=tuple(report.get("Columns") or ()),
        lines_each_second=info.get("LinesPerS", 0.0),
        told_all=False,
    )
