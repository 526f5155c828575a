"""Encodes and decodes snapshots: the whole state as JSON, under the names given in tables here."""

import json
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from operator import attrgetter, itemgetter
from typing import Any

from ironfall.disruption.records import (
    Director,
    Halt,
    HaltHistory,
    Holder,
    Host,
    Permit,
    PermitRequest,
    PermitState,
    Zone,
)
from ironfall.disruption.settings import rules_from_facts
from ironfall.disruption.state import LedgerState

RECORDS_PER_PART = 256
"""The most records in one part of a snapshot."""
PERMIT_PART_DIVISOR = 128
"""A part has fewer permits than other records by this factor.

A permit is larger: it lists every director that confirmed its drain.
"""


class FieldNames:
    """Maps the fields of a record type to their stored names, in the order of both."""

    def __init__(self, **stored_names: str) -> None:
        """Takes the stored name of each field of the record type, in the order of its fields."""
        self.fields = tuple(stored_names)
        self.stored = tuple(stored_names.values())
        self._field_of = {stored: name for name, stored in stored_names.items()}
        self._values = attrgetter(*self.fields)
        self._stored_values = itemgetter(*self.stored)

    def values(self, record: Any) -> tuple[Any, ...]:
        """Returns the values of a record's fields, in their order."""
        values: tuple[Any, ...] = self._values(record)
        return values

    def encode(self, record: Any) -> dict[str, Any]:
        """Returns a record as a dictionary under its stored names."""
        return dict(zip(self.stored, self._values(record), strict=True))

    def decode(self, record_type: Callable[..., Any], stored: Mapping[str, Any]) -> Any:
        """Returns a stored record as a `record_type` object; missing fields get their defaults.

        Raises `KeyError` for an unknown stored name.
        """
        if len(stored) == len(self.stored):
            return record_type(*self._stored_values(stored))
        return record_type(**{self._field_of[name]: value for name, value in stored.items()})


HOST_FIELDS = FieldNames(
    zone="zone",
    kind="kind",
    tenants="tenants",
    capacity="strength",
    class_mask="classes",
    is_listed="listed",
    is_ready="ready",
    marker_token="mark",
    started_at="started",
    is_warming_up="cold",
    agent_incarnation="agent",
    agent_heard_at="heard",
    agent_sequence="number",
    is_up="up",
    acted_token="acted",
    idle_time="quiet",
    silent_to="silent",
    orphaned_drain="stray",
)
DIRECTOR_FIELDS = FieldNames(
    zone="zone",
    incarnation="incarnation",
    version="version",
    lease_until="until",
    is_live="live",
    sequence="number",
    has_reported="spoke",
    proxies="proxies",
    assignment_entries="binding",
    waiting_entries="waiting",
    unassigned_proxies="bare",
    rejected_share="refused",
    succeeded_share="fulfilled",
    limit_use="near",
    is_leaving="leaving",
    acted_token="acted",
    drained_hosts="drained",
    silent_hosts="silent",
    adopted_proxies="took",
)
ZONE_FIELDS = FieldNames(
    changed_index="changed",
    heard_at="heard",
    confirmed_drains="confirms",
    unknown_since="unknown",
)
HOLDER_FIELDS = FieldNames(
    incarnation="incarnation", lease_until="until", is_live="live", last_request="asked"
)
REQUEST_FIELDS = FieldNames(
    id="id",
    holder="holder",
    incarnation="incarnation",
    targets="units",
    duration="length",
    release="release",
    requested_at="since",
    lacking_scopes="short",
)
PERMIT_FIELDS = FieldNames(
    request="ask",
    holder="holder",
    incarnation="incarnation",
    duration="length",
    release="release",
    grant_token="granted",
    token="token",
    state="state",
    since="since",
    cause="cause",
    recalled_at="recalled",
    incarnation_before="before",
    confirmed_by="confirms",
)
HALT_FIELDS = FieldNames(
    imposed_by="by",
    reason="reason",
    since="since",
    is_automatic="own",
    recovering_since="calm",
)
HISTORY_FIELDS = FieldNames(count="times", last_at="last")


@dataclass(frozen=True)
class StoredTable:
    """A table of records: its stored name, its field of the state, and the type of its records."""

    stored_name: str
    field: str
    record_type: type
    field_names: FieldNames


TABLES = (
    StoredTable("hosts", "hosts", Host, HOST_FIELDS),
    StoredTable("directors", "directors", Director, DIRECTOR_FIELDS),
    StoredTable("holders", "holders", Holder, HOLDER_FIELDS),
    StoredTable("asks", "requests", PermitRequest, REQUEST_FIELDS),
    StoredTable("permits", "permits", Permit, PERMIT_FIELDS),
    StoredTable("halts", "halts", Halt, HALT_FIELDS),
    StoredTable("past", "halt_history", HaltHistory, HISTORY_FIELDS),
)
"""The tables in the order in which a snapshot has them."""

# Single values of the state, stored before or after the tables: field by stored name.
_VALUES = {
    "index": "index",
    "now": "now",
    "beat": "last_tick",
    "agreed": "has_rules",
    "listed": "list_version",
    "rested": "requests_settled",
    "firm": "feasibility_settled",
}
_LEADING_VALUES = ("index", "now", "beat", "agreed")


def compact_json(value: Any) -> bytes:
    """Encodes a value as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def encode_in_parts(
    state: LedgerState, records_per_part: int = RECORDS_PER_PART
) -> Iterator[bytes]:
    """Encodes a snapshot in parts of at most `records_per_part` records.

    The state is captured before this returns, with as little work as possible; the parts are
    encoded as they are consumed. Entries applied meanwhile do not affect them.
    """
    head: dict[str, Any] = {name: getattr(state, _VALUES[name]) for name in _LEADING_VALUES}
    head["rules"] = state.rules.facts()
    head["listed"] = state.list_version
    tables = [(table, _capture(state, table)) for table in TABLES]
    tail: dict[str, Any] = {
        "ended": [[request, list(outcomes)] for request, outcomes in state.ended_requests.items()],
        "held": list(state.reservations.items()),
        "rested": state.requests_settled,
        "firm": state.feasibility_settled,
        "loads": sorted(state.capacity.loads.items()),
    }
    if state.aggregated_directors or state.zones:
        tail["observed"] = list(state.aggregated_directors.items())
        tail["zones"] = [[name, ZONE_FIELDS.encode(zone)] for name, zone in state.zones.items()]
    return _encode_parts(head, tables, tail, records_per_part)


def _capture(state: LedgerState, table: StoredTable) -> list[tuple[str, tuple[Any, ...]]]:
    """Returns the name and the current field values of each record of a table."""
    records: dict[str, Any] = getattr(state, table.field)
    rows = zip(records, map(table.field_names.values, records.values()), strict=True)
    if table.record_type is not Permit:
        return list(rows)
    # `confirmed_by`, the last field, is the only value that is modified in place.
    return [(name, (*values[:-1], list(values[-1]))) for name, values in rows]


def _encode_parts(
    head: dict[str, Any],
    tables: list[tuple[StoredTable, list[tuple[str, tuple[Any, ...]]]]],
    tail: dict[str, Any],
    records_per_part: int,
) -> Iterator[bytes]:
    yield compact_json(head)[:-1]
    for table, rows in tables:
        yield b',"%s":[' % table.stored_name.encode()
        part_size = (
            max(1, records_per_part // PERMIT_PART_DIVISOR)
            if table.record_type is Permit
            else records_per_part
        )
        stored = table.field_names.stored
        for start in range(0, len(rows), part_size):
            part = [
                [name, dict(zip(stored, values, strict=True))]
                for name, values in rows[start : start + part_size]
            ]
            yield (b"," if start else b"") + compact_json(part)[1:-1]
        yield b"]"
    yield b"," + compact_json(tail)[1:]


def restore(state: LedgerState, snapshot: bytes) -> None:
    """Replaces the state with that of a snapshot.

    Raises `ValueError`, `KeyError` or `TypeError` if `snapshot` is not a valid snapshot. The state
    is then unchanged, except if the fault is in the value of a record's field: those are not
    checked before the state is replaced.
    """
    stored = json.loads(snapshot)
    tables = {table.field: _decode_table(table, stored[table.stored_name]) for table in TABLES}
    aggregated = dict(stored.get("observed", ()))
    zones = {name: ZONE_FIELDS.decode(Zone, zone) for name, zone in stored.get("zones", ())}
    rules = rules_from_facts(stored["rules"])
    loads = [(int(traffic_class), list(hours)) for traffic_class, hours in stored["loads"]]
    values = {field: stored[name] for name, field in _VALUES.items()}
    ended = OrderedDict(stored["ended"])
    reservations = dict(stored["held"])
    state.clear()
    for field, table in tables.items():
        setattr(state, field, table)
    for field, value in values.items():
        setattr(state, field, value)
    state.rules = rules
    state.ended_requests = ended
    state.reservations = reservations
    state.aggregated_directors = aggregated
    state.zones = zones
    state.recompute_counts()
    for traffic_class, hours in loads:
        state.capacity.set_load(traffic_class, hours)


def _decode_table(table: StoredTable, rows: list[Any]) -> OrderedDict[str, Any]:
    record_type, decode = table.record_type, table.field_names.decode
    records = OrderedDict((name, decode(record_type, stored)) for name, stored in rows)
    if record_type is Permit:
        for permit in records.values():
            permit.state = PermitState(permit.state)
            permit.confirmed_by = dict.fromkeys(permit.confirmed_by)
    return records
