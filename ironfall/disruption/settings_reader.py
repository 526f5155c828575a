"""Reads the `(fleet ...)` form of a service's settings."""

from typing import Any

from ironfall import words
from ironfall.disruption.settings import (
    BUDGET_SCOPES,
    MIN_RECORDS,
    SECOND,
    SNAPSHOT_MOST,
    UNLIMITED_COUNT,
    AggregatorSettings,
    DisruptionRules,
    FleetSettings,
)
from ironfall.sexp import Node, Source
from ironfall.words import Facts, Form

RECORD_LIMIT_KEYS = ("hosts", "directors", "permits", "holders", "asks")
"""The settings that limit the number of records of a kind."""
MIN_LEASE_WITH_AGGREGATORS = 6 * SECOND
"""Aggregators report once a second and count as present for a third of a lease."""
COORDINATOR_COUNTS = (1, 3, 5)
KEEPER_FORM_LENGTH = 3
OBSERVER_FORM_VALUES = 2
MIN_AGGREGATORS_PER_ZONE = 2
MAX_CLOCK_DRIFT = 0.5
"""With clocks that drift this much or more, no lease can be relied on."""

_LEASE_KEYS = ("lease", "drift", "margin", "age", "empty", "begin", "drain", "back", "voices")
_HALT_KEYS = ("unplanned", "near", "pause", "times", "heal")
_SHARE_KEYS = ("drift", "margin", "unplanned", "near")
_COUNT_KEYS = ("voices", "times")

Address = tuple[str, int]


def read_fleet(form: Form, facts: Facts) -> FleetSettings:
    """Returns the fleet's settings; reports each fault, with its place, to the form's source."""
    if not form.node.parts:
        return FleetSettings()
    keepers = _read_coordinators(form)
    observers = _read_aggregators(form, facts, [address for _, address in keepers])
    budgets = _read_budgets(form)
    halt = form.form("halt", False)
    values = {name: _read_setting(form, name) for name in _LEASE_KEYS}
    values |= {name: _read_setting(halt, name) for name in _HALT_KEYS}
    _check_positive(form, halt, values)
    defaults = FleetSettings()
    values |= {
        name: form.get(name, words.count, getattr(defaults, name)) for name in RECORD_LIMIT_KEYS
    }
    _check_record_limits(form, values)
    _check_leases_and_quorum(form, values, has_aggregators=bool(observers))
    return FleetSettings(keepers=keepers, observers=observers, budgets=budgets, **values)


def _read_setting(form: Form, name: str) -> Any:
    """Returns the time, count or share under a key, or its default."""
    read: words.ValueReader[Any] = words.time
    if name in _SHARE_KEYS:
        read = words.part
    elif name in _COUNT_KEYS:
        read = words.count
    return form.get(name, read, getattr(FleetSettings, name))


def _is_text(node: Node) -> bool:
    return isinstance(node.value, str) and bool(node.value)


def _read_coordinators(form: Form) -> tuple[tuple[str, Address], ...]:
    source = form.source
    keepers: list[tuple[str, Address]] = []
    for node in form.all("keeper"):
        if len(node.parts) != KEEPER_FORM_LENGTH or not _is_text(node.parts[1]):
            source.fault(node.at, 'expected (keeper "NAME" "ADDRESS")')
            continue
        name = str(node.parts[1].value)
        address = words.address(source, node.parts[2])
        if name in dict(keepers):
            source.fault(node.parts[1].at, f"keeper {name} is defined twice")
        elif address in [known for _, known in keepers]:
            source.fault(node.parts[2].at, f"keeper {name} has the address of another keeper")
        keepers.append((name, address))
    if len(keepers) not in COORDINATOR_COUNTS:
        source.fault(
            form.node.at, f"a fleet needs 3 or 5 keepers (or 1 for a trial), not {len(keepers)}"
        )
    return tuple(keepers)


def _read_budgets(form: Form) -> tuple[tuple[str, int, float], ...]:
    budgets: list[tuple[str, int, float]] = []
    for node in form.all("budget"):
        budgets += _read_budget(form.source, node, [scope for scope, _, _ in budgets])
    known = [scope for scope, _, _ in budgets]
    for scope in ("fleet", "directors"):
        if scope not in known:
            form.source.fault(
                form.node.at,
                f"(budget {scope} ...) is missing: without it, all could be out of service at once",
            )
    return tuple(budgets)


def _read_budget(source: Source, node: Node, known: list[str]) -> list[tuple[str, int, float]]:
    form = Form(source, node)
    scope = form.values[0].word if len(form.values) == 1 else ""
    if scope not in BUDGET_SCOPES:
        source.fault(
            node.at,
            f"expected (budget SCOPE ...), where SCOPE is one of {', '.join(BUDGET_SCOPES)}",
        )
    if scope in known:
        source.fault(node.at, f"the budget of scope {scope} is defined twice")
    if not form.lists.get("number") and not form.lists.get("share"):
        source.fault(node.at, "a budget needs (number N), (share N%) or both")
    count = form.get("number", words.count, UNLIMITED_COUNT)
    share = form.get("share", words.part, 1.0)
    form.done()
    if scope in BUDGET_SCOPES and scope not in known:
        return [(scope, count, share)]
    return []


def _check_positive(form: Form, halt: Form, values: dict[str, Any]) -> None:
    for name, place in (("lease", form), ("empty", form), ("voices", form), ("pause", halt)):
        if not values[name]:
            form.source.fault(place.lists[name][0].at, f"({name} ...) must be greater than 0")


def _check_record_limits(form: Form, values: dict[str, Any]) -> None:
    for name in RECORD_LIMIT_KEYS:
        if values[name] < MIN_RECORDS:
            form.source.fault(
                form.lists[name][0].at,
                f"({name} ...) must be at least {MIN_RECORDS}: a lower limit saves no space",
            )
    rules = DisruptionRules(
        hosts=values["hosts"], directors=values["directors"], holders=values["holders"]
    )
    if rules.snapshot > SNAPSHOT_MOST:
        given = [name for name in RECORD_LIMIT_KEYS if name in form.lists]
        largest = max(given, key=lambda name: values[name])
        form.source.fault(
            form.lists[largest][0].at,
            f"a snapshot of this many records may take {rules.snapshot} bytes; "
            f"the limit is {SNAPSHOT_MOST}",
        )


def _check_leases_and_quorum(form: Form, values: dict[str, Any], has_aggregators: bool) -> None:
    if values["drift"] >= MAX_CLOCK_DRIFT:
        form.source.fault(
            form.lists["drift"][0].at,
            "no lease can be relied on if clocks drift by 50% or more; set a lower drift",
        )
    if has_aggregators and 0 < values["lease"] < MIN_LEASE_WITH_AGGREGATORS:
        form.source.fault(
            form.lists["lease"][0].at,
            "with observers, a lease must be at least 6s: they report once a second",
        )
    if values["voices"] == 1:
        form.source.fault(
            form.lists["voices"][0].at,
            "(voices N) must be at least 2: one director's report cannot prove a host failed",
        )


def _read_aggregators(
    form: Form, facts: Facts, used_addresses: list[Address]
) -> tuple[AggregatorSettings, ...]:
    found: list[AggregatorSettings] = []
    first_node_by_zone: dict[str, Node] = {}
    for node in form.all("observer"):
        aggregator = _read_aggregator(Form(form.source, node), facts, found, used_addresses)
        if aggregator is None:
            continue
        found.append(aggregator)
        used_addresses = [*used_addresses, aggregator.address]
        first_node_by_zone.setdefault(aggregator.zone, node)
    for zone, node in first_node_by_zone.items():
        count = sum(aggregator.zone == zone for aggregator in found)
        if zone and count < MIN_AGGREGATORS_PER_ZONE:
            form.source.fault(
                node.at,
                f"zone {zone} has only one observer: if it fails, nothing is known of the zone",
            )
    return tuple(found)


def _read_aggregator(
    form: Form, facts: Facts, found: list[AggregatorSettings], used_addresses: list[Address]
) -> AggregatorSettings | None:
    source = form.source
    if len(form.values) != OBSERVER_FORM_VALUES or not _is_text(form.values[0]):
        source.fault(form.node.at, 'expected (observer "NAME" "ADDRESS" (zone "ZONE"))')
        return None
    name = str(form.values[0].value)
    address = words.address(source, form.values[1])
    zone = form.get("zone", words.text)
    room = form.get("room", words.count, AggregatorSettings.room)
    form.done()
    if name in [aggregator.name for aggregator in found]:
        source.fault(form.values[0].at, f"observer {name} is defined twice")
    if address in used_addresses:
        source.fault(
            form.values[1].at, f"observer {name} has the address of another keeper or observer"
        )
    if zone and facts is not None and zone not in facts.zones:
        expected = ", ".join(facts.zones)
        source.fault(form.lists["zone"][0].at, f"unknown zone {zone}; expected one of: {expected}")
    if not MIN_RECORDS <= room <= AggregatorSettings.room:
        source.fault(
            form.lists["room"][0].at,
            f"(room N) must be from {MIN_RECORDS} to {AggregatorSettings.room} members",
        )
    return AggregatorSettings(name, address, zone, room)
