"""Encodes and decodes the JSON that collectd's write_http plugin posts.

Source: collectd's documentation, write_http ("Format JSON"). The value lists are those of the
binary protocol; an unknown value (null) is a gauge of NaN.

>>> one = ValueList("node7", "exchanges", "", "queue_length", "", 1733000000.5, 1.0, [(GAUGE, 4.0)])
>>> one.series(), one.at, one.values
('node7.exchanges.queue_length', 1733000000.5, [(1, 4.0)])
>>> decode_json(encode_json([one]).encode()) == [one]
True
"""

import json
import math
from typing import Any

from ironfall.metrics.collectd import DERIVE, GAUGE, KINDS, STRING_MOST, ValueList
from ironfall.metrics.point import Malformed

BODY_MOST = 1 << 20
LISTS_MOST = 10_000
VALUES_MOST = 100
_STRINGS = ("host", "plugin", "plugin_instance", "type", "type_instance")


def decode_json(body: bytes) -> list[ValueList]:
    """Returns all value lists of a post; raises `Malformed` if any of them is invalid."""
    if len(body) > BODY_MOST:
        raise Malformed(f"body of {len(body)} bytes exceeds the limit of {BODY_MOST} bytes")
    try:
        rows = json.loads(body)
    except (ValueError, RecursionError) as wrong:
        raise Malformed(f"invalid JSON: {type(wrong).__name__} {str(wrong)[:80]}") from None
    if not isinstance(rows, list) or len(rows) > LISTS_MOST:
        raise Malformed(f"expected a list of at most {LISTS_MOST} value lists")
    return [_list(place, row) for place, row in enumerate(rows)]


def _list(place: int, row: Any) -> ValueList:
    if not isinstance(row, dict):
        raise Malformed(f"value list {place}: expected an object")
    strings = {name: row.get(name, "") for name in _STRINGS}
    for name, text in strings.items():
        if not isinstance(text, str) or len(text) > STRING_MOST:
            raise Malformed(
                f"value list {place}: {name} is not a string of at most {STRING_MOST} characters"
            )
    values, kinds = row.get("values"), row.get("dstypes")
    if (
        not isinstance(values, list)
        or not isinstance(kinds, list)
        or not 0 < len(values) <= VALUES_MOST
    ):
        raise Malformed(f"value list {place}: expected 1 to {VALUES_MOST} values, and dstypes")
    if len(kinds) != len(values) or any(kind not in KINDS for kind in kinds):
        raise Malformed(f"value list {place}: expected one of {KINDS} in dstypes for each value")
    found = [
        _value(place, KINDS.index(kind), value) for kind, value in zip(kinds, values, strict=True)
    ]
    at, interval = (_number(place, name, row.get(name, 0)) for name in ("time", "interval"))
    return ValueList(**strings, at=at, interval=interval, values=found)


def _number(place: int, name: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e11:
        raise Malformed(f"value list {place}: {name} is not a number of seconds from 0 to 1e11")
    return float(value)


def _value(place: int, kind: int, value: Any) -> tuple[int, float]:
    if value is None and kind == GAUGE:
        return kind, math.nan
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Malformed(f"value list {place}: {str(value)[:40]!r} is not a number")
    if kind == GAUGE:
        try:
            return kind, float(value)
        except OverflowError:
            raise Malformed(f"value list {place}: value out of range") from None
    least = -(1 << 63) if kind == DERIVE else 0
    if not least <= value < 1 << 64 or not math.isfinite(value):
        raise Malformed(f"value list {place}: {KINDS[kind]} out of range")
    return kind, int(value)


def encode_json(lists: list[ValueList]) -> str:
    """Returns the value lists as write_http posts them."""
    rows = []
    for one in lists:
        values = [None if math.isnan(v) else v for _, v in one.values]
        names = ["value"] if len(values) == 1 else [f"value{n}" for n in range(len(values))]
        strings = {name: getattr(one, name) for name in _STRINGS}
        rows.append(
            {
                "values": values,
                "dstypes": [KINDS[k] for k, _ in one.values],
                "dsnames": names,
                "time": one.at,
                "interval": one.interval,
                **strings,
            }
        )
    return json.dumps(rows)
