"""Reads and compares statuses of members, in the JSON form that passes from a member to the leader.

A host's status has the fields `up` and `token`. A director's is its status report without
incarnation and number, and with its `version`.
"""

from typing import Any, cast

from ironfall.disruption.entry_codec import EntryRejectedError, JsonFields, read_status_report
from ironfall.disruption.json_fields import MAX_INTEGER, MAX_SHOWN_LENGTH, MAX_TEXT_LENGTH
from ironfall.disruption.targets import DIRECTOR_PREFIX, HOST_PREFIX, is_host

Status = dict[str, Any]

BOUNDED_FIELDS = ("proxies", "binding", "waiting")
"""Figures that change constantly; the log has an upper bound of each instead."""
_HOST_FIELDS = {"up", "token"}
_NUMBERING_FIELDS = ("inc", "n")
_UPPER_BOUND_SHARE = 8


def read_status(unit: str, value: Any, where: str) -> Status:
    """Returns a member's status, complete with defaults.

    Raises:
        ValueError: The status is malformed; the text names the place.
    """
    # Nearly all statuses are of hosts and well-formed: this path avoids the slower general reader.
    if unit.startswith(HOST_PREFIX) and _is_host_status(value):
        return cast(Status, value)
    try:
        if unit.startswith(DIRECTOR_PREFIX):
            return _read_director_status(value, where)
        fields = JsonFields(value, where, "up token")
        return {"up": fields.yes("up"), "token": fields.whole("token", 0)}
    except EntryRejectedError as error:
        raise ValueError(str(error)) from None


def _is_host_status(value: Any) -> bool:
    if type(value) is not dict or value.keys() != _HOST_FIELDS:
        return False
    if type(value["up"]) is not bool or type(value["token"]) is not int:
        return False
    return 0 <= value["token"] < MAX_INTEGER


def _read_director_status(value: Any, where: str) -> Status:
    if not isinstance(value, dict):
        raise EntryRejectedError(f"{where} must be an object")
    version_only = {name: field for name, field in value.items() if name == "version"}
    version = JsonFields(version_only, where, "version").name("version", "")
    others = {name: field for name, field in value.items() if name != "version"}
    report = read_status_report({"inc": 0, "n": 0} | others, where)
    for name in _NUMBERING_FIELDS:
        del report[name]
    report["version"] = version
    return report


def check_unit(unit: str) -> str:
    """Returns the unit, if it is `host/NAME` or `director/NAME`; raises `ValueError` otherwise."""
    kind, _, name = unit.partition("/")
    if kind not in ("host", "director") or not 0 < len(name) <= MAX_TEXT_LENGTH:
        raise ValueError(f"{unit[:MAX_SHOWN_LENGTH]} is neither host/NAME nor director/NAME")
    return unit


def upper_bound(figure: int) -> int:
    """Returns what the log has in place of a figure: an eighth more, rounded up."""
    rounded_up_share = -(-figure // _UPPER_BOUND_SHARE)
    return figure + rounded_up_share


def is_bound_current(figure: int, bound: int) -> bool:
    """Whether a logged upper bound still holds for the figure, and is at most twice as large."""
    return figure <= bound and (bound <= 1 or 2 * figure >= bound)


def must_be_logged(logged: Status, status: Status, near_limit: int) -> bool:
    """Whether a director's status differs from the logged one in a way that decisions depend on.

    Args:
        logged: The status that the log has.
        status: The director's present status.
        near_limit: From this use of a limit, in parts per million, a director counts as near it.
    """
    if any(logged[name] != status[name] for name in ("leaving", "token", "took")):
        return True
    if set(logged["silent"]) != set(status["silent"]):
        return True
    if (logged["near"] >= near_limit) != (status["near"] >= near_limit):
        return True
    return not all(is_bound_current(status[name], logged[name]) for name in BOUNDED_FIELDS)


def merge_worst(unit: str, first: Status, second: Status) -> Status:
    """Returns the pessimistic value of each field of two contradicting statuses of one unit."""
    if is_host(unit):
        return {
            "up": first["up"] and second["up"],
            "token": min(first["token"], second["token"]),
        }
    merged = dict(first)
    for name in (*BOUNDED_FIELDS, "bare", "refused", "near"):
        merged[name] = max(first[name], second[name])
    merged["drained"] = {
        host: token
        for host, token in first["drained"].items()
        if second["drained"].get(host) == token
    }
    merged["took"] = _merge_adoptions(first["took"], second["took"])
    merged["silent"] = sorted({*first["silent"], *second["silent"]})
    merged["leaving"] = first["leaving"] and second["leaving"]
    merged["token"] = min(first["token"], second["token"])
    merged["fulfilled"] = min(first["fulfilled"], second["fulfilled"])
    return merged


def _merge_adoptions(first: dict[str, Any], second: dict[str, Any]) -> dict[str, list[int]]:
    """Returns the adoptions that both claim of the same incarnation, with the fewer proxies.

    Adopted proxies count as accounted for, so fewer is the pessimistic value.
    """
    merged = {}
    for director, (incarnation, proxies) in first.items():
        other_incarnation, other_proxies = second.get(director, (None, 0))
        if other_incarnation == incarnation:
            merged[director] = [incarnation, min(proxies, other_proxies)]
    return merged
