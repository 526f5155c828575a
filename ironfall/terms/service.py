"""The facts of a service: its zones and classes, and what the decisions are handed."""

from ironfall import words
from ironfall.decisions.interface import RequestClass, ServiceSettings
from ironfall.sexp import Node, Source
from ironfall.words import GAUGES, SECOND, Facts, Form

_REPEATABLE = words.one_of("never", "keyed", "always")
_SCOPE = words.one_of("all", "zone", "cell")
_LEVELS = words.one_of("share", "none")
_LIST = words.one_of("watched", "asked")


def _class(source: Source, node: Node) -> tuple[str, RequestClass]:
    form = Form(source, node)
    name = form.name()
    kind = RequestClass(
        latency_objective=form.get("expected", words.time),
        deadline=form.get("abandon", words.time),
        priority_weight=form.get("earnings", words.number, 1.0),
        idempotency=form.get("repeatable", _REPEATABLE, "never"),
        idempotency_key_scope=form.get("key-scope", _SCOPE, "all"),
        idempotency_key_lifetime=form.get("key-life", words.time, 0),
    )
    if kind.idempotency == "keyed" and not kind.idempotency_key_lifetime:
        source.fault(node.at, "a keyed class needs (key-life TIME): how long hosts drop a repeat")
    if kind.latency_objective > kind.deadline:
        source.fault(node.at, "the expected time is longer than the abandon time")
    if not kind.latency_objective:
        source.fault(node.at, "the expected time must be above nought")
    form.done()
    return name, kind


def read_facts(top: Form) -> Facts:
    source, name = top.source, top.name()
    zones = top.names("zones")
    classes = [_class(source, node) for node in top.all("class")]
    if not classes:
        source.fault(top.node.at, '(class "name" ...) is missing in (service ...)')
    for first, again in zip(top.all("class"), top.all("class")[1:], strict=False):
        if len(again.parts) > 1 and again.parts[1].value in [p.value for p in first.parts[1:2]]:
            source.fault(again.at, f"class {again.parts[1].value} stands here a second time")
    channel, cold, reports = top.form("channel"), top.form("cold"), top.form("reports")
    probes, listing, prices = (top.form(w, False) for w in ("probes", "list", "prices"))
    gauges = []
    for node in reports.values_of("gauges", False) or []:
        if node.word in GAUGES:
            gauges.append(GAUGES[node.word])
        else:
            source.fault(
                node.at,
                f"unknown gauge {node.word or repr(node.value)}; expected {', '.join(GAUGES)}",
            )
    grace, bare = top.get("grace", words.time), top.get("bare", words.time)
    service = ServiceSettings(
        zones=max(1, len(zones)),
        classes=tuple(kind for _, kind in classes),
        requests_host_list=listing.get("mode", _LIST, "watched") == "asked",
        drain_grace=grace,
        slow_start_time=cold.get("time", words.time),
        slow_start_share=cold.get("share", words.number),
        unassigned_limit=bare,
        queue_limit=channel.get("queue", words.number),
        message_overhead=channel.get("head", words.number, 6.0),
        message_limit=channel.get("messages", words.count, 0),
        message_window=channel.get("span", words.time, 10 * SECOND),
        max_message_delay=channel.get("slowest", words.time),
        report_interval=reports.get("every", words.time, SECOND),
        proxies=top.get("proxies", words.count),
        admits=top.get("admission", _LEVELS, "share") == "share",
        health_checks_allowed=probes.get("allowed", words.yes, False),
        health_check_price=probes.get("price", words.number, 0.0),
        cross_zone_price=prices.get("crossing", words.number, 0.0),
        gauges=tuple(gauges),
        entries_per_second=channel.get("pace", words.number),
    )
    return Facts(name, service, zones, tuple(n for n, _ in classes))
