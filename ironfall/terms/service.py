"""Reads the zones and request classes of a service, and the settings of the decisions."""

from itertools import pairwise

from ironfall import words
from ironfall.decisions.interface import RequestClass, ServiceSettings
from ironfall.sexp import Node, Source
from ironfall.words import GAUGES, SECOND, Facts, Form

DEFAULT_MESSAGE_OVERHEAD = 6.0
"""What a message costs on the control channel in addition to its entries, in entries."""
DEFAULT_MESSAGE_WINDOW = 10 * SECOND
"""The time over which messages are counted against their limit."""

_read_idempotency = words.one_of("never", "keyed", "always")
_read_key_scope = words.one_of("all", "zone", "cell")
_read_admission = words.one_of("share", "none")
_read_list_mode = words.one_of("watched", "asked")


def read_facts(top: Form) -> Facts:
    """Reads the zones, the request classes and the decisions' settings of `(service ...)`."""
    name = top.name()
    zones = top.names("zones")
    classes = _read_classes(top)
    service = _read_service(top, len(zones), [request_class for _, request_class in classes])
    return Facts(name, service, zones, tuple(class_name for class_name, _ in classes))


def _read_classes(top: Form) -> list[tuple[str, RequestClass]]:
    """Returns the request classes and their names; reports if there is none, or one is repeated.

    A repetition is only found if the two follow each other.
    """
    nodes = top.all("class")
    classes = [_read_class(top.source, node) for node in nodes]
    if not classes:
        top.source.fault(top.node.at, '(class "name" ...) is missing in (service ...)')
    for previous, current in pairwise(nodes):
        name = _written_name(current)
        if name is not None and name == _written_name(previous):
            top.source.fault(current.at, f"class {name} occurs a second time")
    return classes


def _written_name(node: Node) -> object:
    """Returns what follows the head of a list, whether or not it is a valid name, or None."""
    return node.parts[1].value if len(node.parts) > 1 else None


def _read_class(source: Source, node: Node) -> tuple[str, RequestClass]:
    """Returns the name and the settings in `(class "name" ...)`."""
    form = Form(source, node)
    name = form.name()
    request_class = RequestClass(
        latency_objective=form.get("expected", words.time),
        deadline=form.get("abandon", words.time),
        priority_weight=form.get("earnings", words.number, 1.0),
        idempotency=form.get("repeatable", _read_idempotency, "never"),
        idempotency_key_scope=form.get("key-scope", _read_key_scope, "all"),
        idempotency_key_lifetime=form.get("key-life", words.time, 0),
    )
    if request_class.idempotency == "keyed" and not request_class.idempotency_key_lifetime:
        source.fault(node.at, "a keyed class needs (key-life TIME): how long hosts remember a key")
    if request_class.latency_objective > request_class.deadline:
        source.fault(node.at, "the expected time is longer than the abandon time")
    if not request_class.latency_objective:
        source.fault(node.at, "the expected time must be above 0")
    form.done()
    return name, request_class


def _read_service(top: Form, zone_count: int, classes: list[RequestClass]) -> ServiceSettings:
    """Returns the decisions' settings, from several sections of `(service ...)`."""
    channel = top.form("channel")
    cold = top.form("cold")
    reports = top.form("reports")
    probes = top.form("probes", required=False)
    host_list = top.form("list", required=False)
    prices = top.form("prices", required=False)
    gauges = _read_gauges(reports)
    return ServiceSettings(
        zones=max(1, zone_count),
        classes=tuple(classes),
        drain_grace=top.get("grace", words.time),
        unassigned_limit=top.get("bare", words.time),
        requests_host_list=host_list.get("mode", _read_list_mode, "watched") == "asked",
        slow_start_time=cold.get("time", words.time),
        slow_start_share=cold.get("share", words.number),
        queue_limit=channel.get("queue", words.number),
        message_overhead=channel.get("head", words.number, DEFAULT_MESSAGE_OVERHEAD),
        message_limit=channel.get("messages", words.count, 0),
        message_window=channel.get("span", words.time, DEFAULT_MESSAGE_WINDOW),
        max_message_delay=channel.get("slowest", words.time),
        report_interval=reports.get("every", words.time, SECOND),
        proxies=top.get("proxies", words.count),
        admits_by_share=top.get("admission", _read_admission, "share") == "share",
        health_checks_allowed=probes.get("allowed", words.yes, False),
        health_check_price=probes.get("price", words.number, 0.0),
        cross_zone_price=prices.get("crossing", words.number, 0.0),
        gauges=gauges,
        entries_per_second=channel.get("pace", words.number),
    )


def _read_gauges(reports: Form) -> tuple[str, ...]:
    """Returns the names that the gauges of hosts have in the decisions' interface."""
    gauges: list[str] = []
    for node in reports.values_of("gauges", required=False) or []:
        if node.word in GAUGES:
            gauges.append(GAUGES[node.word])
            continue
        expected = ", ".join(GAUGES)
        message = f"unknown gauge {words.shown(node)}; expected {expected}"
        reports.source.fault(node.at, message)
    return tuple(gauges)
