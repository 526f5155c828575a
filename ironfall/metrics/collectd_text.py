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

from ironfall.metrics.collectd import DERIVE, GAUGE, KINDS, MAX_STRING_BYTES, ValueList
from ironfall.metrics.point import Malformed

MAX_BODY_BYTES = 1 << 20
MAX_LISTS = 10_000
MAX_VALUES = 100
_STRINGS = ("host", "plugin", "plugin_instance", "type", "type_instance")


def decode_json(body: bytes) -> list[ValueList]:
    """Returns all value lists of a post; raises `Malformed` if any of them is invalid."""
    if len(body) > MAX_BODY_BYTES:
        raise Malformed(f"body of {len(body)} bytes exceeds the limit of {MAX_BODY_BYTES} bytes")
    try:
        rows = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Malformed(f"invalid JSON: {type(error).__name__} {str(error)[:80]}") from None
    if not isinstance(rows, list) or len(rows) > MAX_LISTS:
        raise Malformed(f"expected a list of at most {MAX_LISTS} value lists")
    return [_parse_value_list(index, row) for index, row in enumerate(rows)]


def _parse_value_list(index: int, row: Any) -> ValueList:
    if not isinstance(row, dict):
        raise Malformed(f"value list {index}: expected an object")
    strings = {name: row.get(name, "") for name in _STRINGS}
    for name, text in strings.items():
        if not isinstance(text, str) or len(text) > MAX_STRING_BYTES:
            raise Malformed(
                f"value list {index}: {name} is not a string of at most"
                f" {MAX_STRING_BYTES} characters"
            )
    values, kinds = row.get("values"), row.get("dstypes")
    if (
        not isinstance(values, list)
        or not isinstance(kinds, list)
        or not 0 < len(values) <= MAX_VALUES
    ):
        raise Malformed(f"value list {index}: expected 1 to {MAX_VALUES} values, and dstypes")
    if len(kinds) != len(values) or any(kind not in KINDS for kind in kinds):
        raise Malformed(f"value list {index}: expected one of {KINDS} in dstypes for each value")
    parsed = [
        _parse_value(index, KINDS.index(kind), value)
        for kind, value in zip(kinds, values, strict=True)
    ]
    at, interval = (_parse_seconds(index, name, row.get(name, 0)) for name in ("time", "interval"))
    return ValueList(**strings, at=at, interval=interval, values=parsed)


def _parse_seconds(index: int, name: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e11:
        raise Malformed(f"value list {index}: {name} is not a number of seconds from 0 to 1e11")
    return float(value)


def _parse_value(index: int, kind: int, value: Any) -> tuple[int, float]:
    if value is None and kind == GAUGE:
        return kind, math.nan
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Malformed(f"value list {index}: {str(value)[:40]!r} is not a number")
    if kind == GAUGE:
        try:
            return kind, float(value)
        except OverflowError:
            raise Malformed(f"value list {index}: value out of range") from None
    minimum = -(1 << 63) if kind == DERIVE else 0
    if not minimum <= value < 1 << 64 or not math.isfinite(value):
        raise Malformed(f"value list {index}: {KINDS[kind]} out of range")
    return kind, int(value)


def encode_json(lists: list[ValueList]) -> str:
    """Returns the value lists as write_http posts them."""
    rows = []
    for value_list in lists:
        values = [None if math.isnan(v) else v for _, v in value_list.values]
        names = ["value"] if len(values) == 1 else [f"value{n}" for n in range(len(values))]
        strings = {name: getattr(value_list, name) for name in _STRINGS}
        rows.append(
            {
                "values": values,
                "dstypes": [KINDS[k] for k, _ in value_list.values],
                "dsnames": names,
                "time": value_list.at,
                "interval": value_list.interval,
                **strings,
            }
        )
    return json.dumps(rows)
