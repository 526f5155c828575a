"""What follows from the terms: what of them can't be kept, and the derived figures for people."""

from ironfall.terms.limits import NUMBERS
from ironfall.terms.whole import Terms
from ironfall.words import SECOND, Form


def contradictions(top: Form, terms: Terms) -> None:
    """What is well written but can't be kept; each is named where it is written."""
    source, service = top.source, terms.service

    def against(heads: str, what: str) -> None:
        source.fault(top.lists[heads][0].at if heads in top.lists else top.node.at, what)

    if service.drain_grace <= service.max_message_delay:
        against(
            "grace",
            f"a grace of {_ms(service.drain_grace)} is no longer than the slowest message takes, "
            f"{_ms(service.max_message_delay)}: no drain could be kept",
        )
    if service.unassigned_limit <= service.max_message_delay:
        against(
            "bare",
            f"a bare time of {_ms(service.unassigned_limit)} is no longer than the slowest message takes, "
            f"{_ms(service.max_message_delay)}: no joining proxy could be kept supplied",
        )
    if not 0 < service.slow_start_share <= 1:
        against(
            "cold",
            f"a cold host's share must be above 0 and at most 1, not {service.slow_start_share:g}",
        )
    if terms.entries_per_second <= 0:
        against("channel", "the pace of the channel must be above nought")
        return
    # A line, its head and the mark at every proxy: what one withdrawal costs.
    least = (service.message_overhead + 2) * max(1, service.proxies)
    if service.queue_limit < least:
        against(
            "channel",
            f"a queue of {service.queue_limit:g} lines doesn't hold one withdrawal at "
            f"{service.proxies} proxies, {least:g} lines",
        )
    seconds = least / terms.entries_per_second
    if seconds * SECOND > service.drain_grace - service.max_message_delay:
        against(
            "channel",
            f"at {terms.entries_per_second:g} lines a second one withdrawal at {service.proxies} "
            f"proxies takes {seconds:.1f}s, longer than the grace leaves",
        )
    if terms.limits.sessions > NUMBERS:
        against(
            "limits",
            f"sessions are limited to {terms.limits.sessions}, and proxies have only {NUMBERS} numbers",
        )
    if terms.limits.sessions < service.proxies:
        against(
            "limits",
            f"sessions are limited to {terms.limits.sessions}, fewer than the {service.proxies} "
            "proxies of this service",
        )
    if terms.proxy.standing < 1:
        against("proxy", "a proxy starts with at least one standing line")


def _ms(tenths: int) -> str:
    return f"{tenths / 10:g}ms"


def show(terms: Terms) -> list[tuple[str, str]]:
    """The derived figures, each with its name, for people."""
    service, pace = terms.service, terms.entries_per_second
    one = (service.message_overhead + 2) * max(1, service.proxies)
    rows = [
        ("service", terms.name),
        ("zones", ", ".join(terms.zones)),
        (
            "one withdrawal at every proxy",
            f"{one:g} lines, {one / pace * 1000:.0f}ms of the channel",
        ),
        ("withdrawals that the queue holds at once", f"{service.queue_limit / one:.1f}"),
        ("the queue, in time", f"{service.queue_limit / pace * 1000:.0f}ms"),
        (
            "left of the grace after the slowest message",
            _ms(service.drain_grace - service.max_message_delay),
        ),
        (
            "a joiner keeps its own tables for at most",
            _ms(
                max(
                    0,
                    (min(service.unassigned_limit, service.drain_grace) - service.max_message_delay)
                    // 2,
                )
            ),
        ),
    ]
    for name, kind in zip(terms.classes, service.classes, strict=True):
        again = {"always": "may be repeated", "never": "never twice", "keyed": "keyed"}[
            kind.idempotency
        ]
        text = f"earns {kind.priority_weight:g} within {_ms(kind.latency_objective)}, {again}"
        rows.append((f"class {name}", text))
    if fleet := terms.fleet if terms.fleet.keepers else None:
        rows.append(
            ("keepers", ", ".join(f"{n} {host}:{port}" for n, (host, port) in fleet.keepers))
        )
        rows.append(("keepers that may be lost", f"{(len(fleet.keepers) - 1) // 2}"))
        rows.append(
            ("a halt is true for who is cut off after", _ms(round(fleet.lease * (1 + fleet.drift))))
        )
        for scope, number, share in fleet.budgets:
            text = " and ".join([f"{number}"] * (number < 1 << 30) + [f"{share:.1%}"] * (share < 1))
            rows.append((f"out at once of {scope}", f"at most {text or 'all'}"))
    return rows
