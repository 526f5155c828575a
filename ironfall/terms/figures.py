"""Checks a service's settings for contradictions, and derives figures from them."""

from ironfall.decisions.interface import RequestClass, ServiceSettings
from ironfall.disruption.settings import UNLIMITED_COUNT, FleetSettings
from ironfall.terms.limits import NUMBERS
from ironfall.terms.whole import Terms
from ironfall.words import SECOND, TICKS_PER_MS, Form

# A withdrawal of a host sends each proxy one table entry and one drain marker.
ENTRIES_OF_WITHDRAWAL = 2

_IDEMPOTENCY_TEXTS = {"always": "may be repeated", "never": "never twice", "keyed": "keyed"}

Row = tuple[str, str]
"""The name of a figure, and the figure with its unit."""


def report_contradictions(top: Form, terms: Terms) -> None:
    """Reports settings that are well-formed but contradict each other, each at its place.

    Args:
        top: The form `(service ...)` that the settings were read from; its source gets the errors.
        terms: The settings.
    """
    _check_delays(top, terms.service)
    if terms.entries_per_second <= 0:
        _report(top, "channel", "the pace of the channel must be above 0")
        return
    _check_channel(top, terms)
    _check_limits(top, terms)


def _report(top: Form, head: str, message: str) -> None:
    """Reports an error at the list `(head ...)`, or at `(service ...)` if there is no such list."""
    at = top.lists[head][0].at if head in top.lists else top.node.at
    top.source.fault(at, message)


def _check_delays(top: Form, service: ServiceSettings) -> None:
    """Checks the guarantees that hosts and joining proxies are given: two times and a share."""
    slowest = _ms(service.max_message_delay)
    if service.drain_grace <= service.max_message_delay:
        _report(
            top,
            "grace",
            f"the grace of {_ms(service.drain_grace)} must exceed the delay of the slowest "
            f"message, {slowest}: no drain could be completed in time",
        )
    if service.unassigned_limit <= service.max_message_delay:
        _report(
            top,
            "bare",
            f"the bare time of {_ms(service.unassigned_limit)} must exceed the delay of the "
            f"slowest message, {slowest}: no joining proxy could be assigned a table in time",
        )
    if not 0 < service.slow_start_share <= 1:
        share = service.slow_start_share
        message = f"a cold host's share must be above 0 and at most 1, not {share:g}"
        _report(top, "cold", message)


def _check_channel(top: Form, terms: Terms) -> None:
    """Checks that the queue and the pace of the channel allow a withdrawal at every proxy."""
    service = terms.service
    entries = _withdrawal_entries(service)
    if service.queue_limit < entries:
        _report(
            top,
            "channel",
            f"a queue of {service.queue_limit:g} lines doesn't hold one withdrawal at "
            f"{service.proxies} proxies, {entries:g} lines",
        )
    seconds = entries / terms.entries_per_second
    if seconds * SECOND > service.drain_grace - service.max_message_delay:
        _report(
            top,
            "channel",
            f"at {terms.entries_per_second:g} lines a second one withdrawal at {service.proxies} "
            f"proxies takes {seconds:.1f}s, longer than the grace minus the delay of the slowest "
            f"message, {_ms(service.drain_grace - service.max_message_delay)}",
        )


def _check_limits(top: Form, terms: Terms) -> None:
    """Checks the limit on sessions, and the number of hosts that a proxy starts with."""
    sessions = terms.limits.sessions
    proxies = terms.service.proxies
    limited = f"sessions are limited to {sessions}"
    if sessions > NUMBERS:
        _report(top, "limits", f"{limited}, and proxies have only {NUMBERS} numbers")
    if sessions < proxies:
        _report(top, "limits", f"{limited}, fewer than the {proxies} proxies of this service")
    if terms.proxy.standing < 1:
        _report(
            top, "proxy", "(standing ...) must be at least 1: a proxy starts with at least one host"
        )


def show(terms: Terms) -> list[Row]:
    """Returns the main settings and figures derived from them, for display."""
    rows = [
        ("service", terms.name),
        ("zones", ", ".join(terms.zones)),
    ]
    rows += _channel_rows(terms)
    for name, request_class in zip(terms.classes, terms.service.classes, strict=True):
        rows.append((f"class {name}", _class_text(request_class)))
    if terms.fleet.keepers:
        rows += _fleet_rows(terms.fleet)
    return rows


def _channel_rows(terms: Terms) -> list[Row]:
    """Returns the capacity of the control channel, and what its delay leaves of the time limits."""
    service = terms.service
    entries = _withdrawal_entries(service)
    withdrawal_ms = entries / terms.entries_per_second * 1000
    queue_ms = service.queue_limit / terms.entries_per_second * 1000
    grace_left = service.drain_grace - service.max_message_delay
    limit_left = min(service.unassigned_limit, service.drain_grace) - service.max_message_delay
    return [
        (
            "one withdrawal at every proxy",
            f"{entries:g} lines, {withdrawal_ms:.0f}ms of the channel",
        ),
        ("withdrawals that the queue holds at once", f"{service.queue_limit / entries:.1f}"),
        ("the queue, in time", f"{queue_ms:.0f}ms"),
        ("left of the grace after the slowest message", _ms(grace_left)),
        ("a joiner keeps its own tables for at most", _ms(max(0, limit_left // 2))),
    ]


def _class_text(request_class: RequestClass) -> str:
    """Returns a description of a request class."""
    objective = _ms(request_class.latency_objective)
    idempotency = _IDEMPOTENCY_TEXTS[request_class.idempotency]
    return f"earns {request_class.priority_weight:g} within {objective}, {idempotency}"


def _fleet_rows(fleet: FleetSettings) -> list[Row]:
    """Returns the coordinators, how many of them may fail, and the disruption budgets."""
    coordinators = [f"{name} {host}:{port}" for name, (host, port) in fleet.keepers]
    halt_delay = round(fleet.lease * (1 + fleet.drift))
    rows = [
        ("keepers", ", ".join(coordinators)),
        ("keepers that may be lost", f"{(len(coordinators) - 1) // 2}"),
        ("a halt is true for who is cut off after", _ms(halt_delay)),
    ]
    for scope, count, share in fleet.budgets:
        rows.append((f"out at once of {scope}", f"at most {_budget_text(count, share)}"))
    return rows


def _budget_text(count: int, share: float) -> str:
    """Returns the count and the share of a budget, each only if it limits anything."""
    bounds: list[str] = []
    if count < UNLIMITED_COUNT:
        bounds.append(f"{count}")
    if share < 1:
        bounds.append(f"{share:.1%}")
    return " and ".join(bounds) or "all"


def _withdrawal_entries(service: ServiceSettings) -> float:
    """Returns the table entries that withdrawing one host at every proxy costs on the channel."""
    return (service.message_overhead + ENTRIES_OF_WITHDRAWAL) * max(1, service.proxies)


def _ms(ticks: int) -> str:
    """Returns a time in ticks of 0.1 ms as a text in milliseconds."""
    return f"{ticks / TICKS_PER_MS:g}ms"
