"""Decodes log entries from JSON into typed commands and rejects malformed ones.

The JSON names of entries and of their fields are defined only here and in `report_codec`.
"""

import json
from collections.abc import Callable
from typing import Any

from ironfall.disruption.capacity import CLASSES, HOURS
from ironfall.disruption.entries import (
    AdoptPermit,
    BeginDrain,
    CancelRequest,
    Command,
    Entry,
    ExpireLease,
    ForgetTarget,
    GiveBack,
    ImposeHalt,
    JoinDirector,
    LiftHalt,
    ListedHost,
    RenewHolder,
    ReportHarm,
    RequestPermits,
    SetLoad,
    SetRules,
    TakeOut,
    Tick,
    UpdateHostList,
)
from ironfall.disruption.errors import EntryRejectedError
from ironfall.disruption.json_fields import MAX_ITEMS, JsonFields, whole
from ironfall.disruption.report_codec import (
    read_digest,
    read_host_reports,
    read_status_report,
    read_status_reports,
    status_as_reported,
)
from ironfall.disruption.settings import rules_from_facts
from ironfall.disruption.targets import DIRECTOR_PREFIX, HOST_PREFIX

__all__ = [
    "MAX_ENTRY_BYTES",
    "MAX_ITEMS",
    "MAX_TENANTS",
    "EntryRejectedError",
    "JsonFields",
    "decode",
    "read_status_report",
    "status_as_reported",
]

MAX_ENTRY_BYTES = 8 * 2**20
MAX_TENANTS = 64
"""The most tenants of one host."""


def decode(entry: bytes, max_hosts: int) -> Entry:
    """Decodes a log entry.

    Args:
        entry: the entry as JSON.
        max_hosts: the most hosts that the rules allow; if it is above `MAX_ITEMS`, lists and
            objects may have as many items.

    Raises:
        EntryRejectedError: the entry is malformed; the text names the field.
    """
    if len(entry) > MAX_ENTRY_BYTES:
        raise EntryRejectedError(f"an entry has at most {MAX_ENTRY_BYTES} bytes")
    try:
        decoded = json.loads(entry)
    except (ValueError, RecursionError):
        raise EntryRejectedError("an entry must be JSON") from None
    kind = decoded.get("k") if isinstance(decoded, dict) else None
    if not isinstance(kind, str) or kind not in _READERS:
        raise EntryRejectedError(f"unknown kind of entry; expected one of: {', '.join(_READERS)}")
    read, known = _READERS[kind]
    fields = JsonFields(decoded, "", f"k at {known}", max(MAX_ITEMS, max_hosts))
    at = fields.whole("at")
    return Entry(at, read(fields))


def _read_rules(fields: JsonFields) -> SetRules:
    try:
        return SetRules(rules_from_facts(fields.table("rules")))
    except ValueError as error:
        raise EntryRejectedError(str(error)) from None


def _read_load(fields: JsonFields) -> SetLoad:
    traffic_class = fields.whole("class", maximum=CLASSES - 1)
    hours = fields.get("hours")
    if not isinstance(hours, list) or len(hours) != HOURS:
        raise EntryRejectedError(f"hours must be {HOURS} loads")
    return SetLoad(traffic_class, [whole(load, "hours") for load in hours])


def _read_host_list(fields: JsonFields) -> UpdateHostList:
    version = fields.whole("v")
    removed = fields.names("gone", [])
    hosts = {
        name: _read_listed_host(name, value, fields.max_items)
        for name, value in fields.table("hosts", {}).items()
    }
    return UpdateHostList(version, hosts, removed)


def _read_listed_host(name: str, value: Any, max_items: int) -> ListedHost:
    known = "zone kind tenants strength classes ready token started"
    fields = JsonFields(value, f"hosts.{name}", known, max_items)
    host = ListedHost(
        zone=fields.name("zone"),
        kind=fields.name("kind"),
        tenants=fields.names("tenants", []),
        capacity=fields.whole("strength"),
        class_mask=fields.whole("classes", maximum=(1 << CLASSES) - 1),
        is_ready=fields.yes("ready"),
        token=fields.whole("token", 0),
        started_at=fields.whole("started", 0),
    )
    if len(host.tenants) > MAX_TENANTS:
        raise EntryRejectedError(f"hosts.{name} has more than {MAX_TENANTS} tenants")
    return host


def _read_director_join(fields: JsonFields) -> JoinDirector:
    return JoinDirector(
        fields.name("director"),
        fields.whole("inc"),
        fields.name("zone"),
        fields.name("version", ""),
    )


def _read_holder_renewal(fields: JsonFields) -> RenewHolder:
    return RenewHolder(fields.name("holder"), fields.whole("inc"))


def _read_lease_expiry(fields: JsonFields) -> ExpireLease:
    command = ExpireLease(fields.name("role"), fields.name("name"), fields.whole("inc"))
    if command.role not in ("holder", "director"):
        raise EntryRejectedError("role must be holder or director")
    return command


def _read_request(fields: JsonFields) -> RequestPermits:
    command = RequestPermits(
        holder=fields.name("holder"),
        incarnation=fields.whole("inc"),
        number=fields.whole("n"),
        targets=fields.names("units"),
        duration=fields.whole("length"),
        release=fields.name("release", ""),
    )
    if not command.targets:
        raise EntryRejectedError("units names nothing")
    if command.number < 1:
        raise EntryRejectedError("n counts from 1")
    for target in command.targets:
        if not target.startswith((HOST_PREFIX, DIRECTOR_PREFIX)):
            raise EntryRejectedError(f"{target} is neither host/NAME nor director/NAME")
    return command


def _read_cancel(fields: JsonFields) -> CancelRequest:
    return CancelRequest(fields.name("holder"), fields.whole("inc"), fields.whole("n"))


def _read_step(fields: JsonFields) -> tuple[str, int, str, int]:
    """Returns holder, incarnation, target and token."""
    return (
        fields.name("holder"),
        fields.whole("inc"),
        fields.name("unit"),
        fields.whole("token"),
    )


def _read_begin_drain(fields: JsonFields) -> BeginDrain:
    return BeginDrain(*_read_step(fields))


def _read_take_out(fields: JsonFields) -> TakeOut:
    return TakeOut(*_read_step(fields))


def _read_give_back(fields: JsonFields) -> GiveBack:
    return GiveBack(*_read_step(fields))


def _read_adopt(fields: JsonFields) -> AdoptPermit:
    return AdoptPermit(fields.name("holder"), fields.whole("inc"), fields.name("unit"))


def _read_forget_target(fields: JsonFields) -> ForgetTarget:
    return ForgetTarget(fields.name("unit"), fields.name("by"))


def _read_halt_scope(fields: JsonFields) -> str:
    scope = fields.name("scope")
    is_named = scope.startswith(("zone ", "tenant ", "release ")) and scope.partition(" ")[2]
    if scope != "all" and not is_named:
        raise EntryRejectedError("scope must be all, zone NAME, tenant NAME or release NAME")
    return scope


def _read_halt(fields: JsonFields) -> ImposeHalt:
    return ImposeHalt(_read_halt_scope(fields), fields.name("by"), fields.name("reason"))


def _read_lift(fields: JsonFields) -> LiftHalt:
    return LiftHalt(_read_halt_scope(fields), fields.name("by"))


def _read_harm_report(fields: JsonFields) -> ReportHarm:
    return ReportHarm(fields.name("release"), fields.name("reason"))


def _read_tick(_fields: JsonFields) -> Tick:
    return Tick()


_STEP_FIELDS = "holder inc unit token"

# By kind of entry: the function that reads it, and the names of its fields.
_READERS: dict[str, tuple[Callable[[JsonFields], Command], str]] = {
    "rules": (_read_rules, "rules"),
    "load": (_read_load, "class hours"),
    "list": (_read_host_list, "v hosts gone"),
    "join": (_read_director_join, "director inc zone version"),
    "hold": (_read_holder_renewal, "holder inc"),
    "lapse": (_read_lease_expiry, "role name inc"),
    "words": (read_status_reports, "directors"),
    "agents": (read_host_reports, "hosts"),
    "digest": (read_digest, "made zones came directors hosts lapsed vouch"),
    "ask": (_read_request, "holder inc n units length release"),
    "cancel": (_read_cancel, "holder inc n"),
    "drain": (_read_begin_drain, _STEP_FIELDS),
    "out": (_read_take_out, _STEP_FIELDS),
    "back": (_read_give_back, _STEP_FIELDS),
    "adopt": (_read_adopt, "holder inc unit"),
    "forget": (_read_forget_target, "unit by"),
    "halt": (_read_halt, "scope by reason"),
    "lift": (_read_lift, "scope by"),
    "harm": (_read_harm_report, "release reason"),
    "tick": (_read_tick, ""),
}
