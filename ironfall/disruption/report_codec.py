"""Decodes reports of directors and host agents, and the leader's digests of them, from JSON."""

from typing import Any

from ironfall.disruption.entries import (
    AgedHostReport,
    Digest,
    DirectorArrival,
    DirectorLapse,
    HostReport,
    HostReports,
    StatusReport,
    StatusReports,
    ZoneAttestation,
)
from ironfall.disruption.errors import EntryRejectedError
from ironfall.disruption.json_fields import MAX_ITEMS, JsonFields, boolean, row, text, whole
from ironfall.disruption.records import Director
from ironfall.disruption.settings import MILLION

MAX_LIMIT_USE = 100 * MILLION
"""The highest use of a limit that a report may state: 100 times the limit, in parts per million."""
ADOPTION_LENGTH = 2
ARRIVAL_LENGTH = 3
HOST_ROW_LENGTH = 6
LAPSE_LENGTH = 3
ATTESTATION_LENGTH = 3

_STATUS_FIELDS = (
    "inc n proxies binding waiting bare refused fulfilled near leaving token drained silent took"
)


def read_status_report(value: Any, where: str, max_items: int = MAX_ITEMS) -> dict[str, Any]:
    """Checks a director's status report and returns its JSON form with defaults filled in.

    Args:
        value: the decoded JSON value.
        where: the path of the report in the message or entry, for errors.
        max_items: the most items of a list or object in it.

    Raises:
        EntryRejectedError: the report is malformed; the text names the field.
    """
    fields = JsonFields(value, where, _STATUS_FIELDS, max_items)
    drained = {
        host: whole(token, fields.where + "drained")
        for host, token in fields.table("drained", {}).items()
    }
    adopted = {
        name: _read_adoption(pair, fields.where + "took")
        for name, pair in fields.table("took", {}).items()
    }
    report: dict[str, Any] = {
        "inc": fields.whole("inc"),
        "n": fields.whole("n"),
        "drained": drained,
        "took": adopted,
        "silent": fields.names("silent", []),
        "leaving": fields.yes("leaving", False),
        "near": fields.whole("near", 0, MAX_LIMIT_USE),
        "token": fields.whole("token", 0),
    }
    for name in ("proxies", "binding", "waiting", "bare"):
        report[name] = fields.whole(name, 0)
    for name in ("refused", "fulfilled"):
        report[name] = fields.whole(name, 0, MILLION)
    return report


def _read_adoption(value: Any, where: str) -> list[int]:
    """Reads a former director's incarnation and the number of its proxies that were adopted."""
    if not isinstance(value, list) or len(value) != ADOPTION_LENGTH:
        raise EntryRejectedError(f"{where} must name an incarnation and a number of proxies")
    return [whole(number, where) for number in value]


def _decode_status_report(value: Any, where: str, max_items: int) -> StatusReport:
    report = read_status_report(value, where, max_items)
    return StatusReport(
        incarnation=report["inc"],
        sequence=report["n"],
        proxies=report["proxies"],
        assignment_entries=report["binding"],
        waiting_entries=report["waiting"],
        unassigned_proxies=report["bare"],
        rejected_share=report["refused"],
        succeeded_share=report["fulfilled"],
        limit_use=report["near"],
        is_leaving=report["leaving"],
        token=report["token"],
        drained_hosts=report["drained"],
        silent_hosts=report["silent"],
        adopted_proxies=report["took"],
    )


def status_as_reported(director: Director) -> dict[str, Any]:
    """Returns part of a director's status in the ledger, under a status report's JSON names."""
    return {
        "proxies": director.proxies,
        "binding": director.assignment_entries,
        "waiting": director.waiting_entries,
        "leaving": director.is_leaving,
        "near": director.limit_use,
        "took": director.adopted_proxies,
        "silent": director.silent_hosts,
        "token": director.acted_token,
    }


def _read_status_table(
    fields: JsonFields, default: dict[str, Any] | None
) -> dict[str, StatusReport]:
    return {
        name: _decode_status_report(value, f"directors.{name}", fields.max_items)
        for name, value in fields.table("directors", default).items()
    }


def read_status_reports(fields: JsonFields) -> StatusReports:
    """Reads the directors' reports of an entry."""
    return StatusReports(_read_status_table(fields, None))


def read_host_reports(fields: JsonFields) -> HostReports:
    """Reads the host agents' reports of an entry."""
    return HostReports(
        {
            name: _read_host_report(value, f"hosts.{name}", fields.max_items)
            for name, value in fields.table("hosts").items()
        }
    )


def _read_host_report(value: Any, where: str, max_items: int) -> HostReport:
    fields = JsonFields(value, where, "inc n up quiet token", max_items)
    return HostReport(
        fields.whole("inc"),
        fields.whole("n"),
        fields.yes("up"),
        fields.whole("quiet", 0),
        fields.whole("token", 0),
    )


def read_digest(fields: JsonFields) -> Digest:
    """Reads a leader's digest; all rows but status reports are lists, to keep the entry small."""
    made_at = fields.whole("made")
    zones = {
        name: boolean(value, f"zones.{name}") for name, value in fields.table("zones", {}).items()
    }
    arrivals = {
        name: _read_arrival(value, f"came.{name}")
        for name, value in fields.table("came", {}).items()
    }
    directors = _read_status_table(fields, {})
    hosts = {
        name: _read_host_row(value, f"hosts.{name}")
        for name, value in fields.table("hosts", {}).items()
    }
    lapses = {
        name: _read_lapse(value, f"lapsed.{name}")
        for name, value in fields.table("lapsed", {}).items()
    }
    attestations = {
        name: _read_attestation(value, f"vouch.{name}")
        for name, value in fields.table("vouch", {}).items()
    }
    return Digest(made_at, zones, arrivals, directors, hosts, lapses, attestations)


def _read_arrival(value: Any, where: str) -> DirectorArrival:
    incarnation, zone, version = row(value, where, ARRIVAL_LENGTH)
    whole(incarnation, where)
    text(zone, where)
    if version != "":
        text(version, where)
    return DirectorArrival(incarnation, zone, version)


def _read_host_row(value: Any, where: str) -> AgedHostReport:
    incarnation, sequence, is_up, idle_time, token, age = row(value, where, HOST_ROW_LENGTH)
    report = HostReport(
        whole(incarnation, where),
        whole(sequence, where),
        boolean(is_up, where),
        whole(idle_time, where),
        whole(token, where),
    )
    return AgedHostReport(report, whole(age, where))


def _read_lapse(value: Any, where: str) -> DirectorLapse:
    incarnation, age, is_known = row(value, where, LAPSE_LENGTH)
    return DirectorLapse(whole(incarnation, where), whole(age, where), boolean(is_known, where))


def _read_attestation(value: Any, where: str) -> ZoneAttestation:
    is_row = isinstance(value, list) and len(value) == ATTESTATION_LENGTH
    if not is_row or not isinstance(value[2], dict | None):
        raise EntryRejectedError(
            f"{where} must be an age, an index and the hosts confirmed, or null"
        )
    age, changed_index, confirmed = value
    whole(age, where)
    whole(changed_index, where)
    for host, token in (confirmed or {}).items():
        whole(token, f"{where}.{text(host, where)}")
    return ZoneAttestation(age, changed_index, confirmed)
