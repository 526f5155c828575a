"""collectd's JSON, both ways, as its write_http plugin posts it.

Source: collectd's documentation, write_http ("Format JSON"). Value lists are as in the binary form; unknown values
(null) are gauges of NaN.

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
    """All value lists of a post; raises `Malformed`, and then none of them is taken."""
    if len(body) > BODY_MOST:
        raise Malformed(f"a body of {len(body)} bytes is over the limit of {BODY_MOST}")
    try:
        rows = json.loads(body)
    except (ValueError, RecursionError) as wrong:
        raise Malformed(f"no JSON: {type(wrong).__name__} {str(wrong)[:80]}") from None
    if not isinstance(rows, list) or len(rows) > LISTS_MOST:
        raise Malformed(f"expected a list of at most {LISTS_MOST} value lists")
    return [_list(place, row) for place, row in enumerate(rows)]


def _list(place: int, row: Any) -> ValueList:
    if not isinstance(row, dict):
        raise Malformed(f"value list {place}: expected an object")
    strings = {name: row.get(name, "") for name in _STRINGS}
    for name, text in strings.items():
        if not isinstance(text, str) or len(text) > STRING_MOST:
            raise Malformed(f"value list {place}: {name} is no text of at most {STRING_MOST}")
    values, kinds = row.get("values"), row.get("dstypes")
    if (
        not isinstance(values, list)
        or not isinstance(kinds, list)
        or not 0 < len(values) <= VALUES_MOST
    ):
        raise Malformed(f"value list {place}: expected values and dstypes")
    if len(kinds) != len(values) or any(kind not in KINDS for kind in kinds):
        raise Malformed(f"value list {place}: dstypes that don't fit its values")
    found = [
        _value(place, KINDS.index(kind), value) for kind, value in zip(kinds, values, strict=True)
    ]
    at, interval = (_number(place, name, row.get(name, 0)) for name in ("time", "interval"))
    return ValueList(**strings, at=at, interval=interval, values=found)


def _number(place: int, name: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e11:
        raise Malformed(f"value list {place}: {name} is no time")
    return float(value)


def _value(place: int, kind: int, value: Any) -> tuple[int, float]:
    if value is None and kind == GAUGE:
        return kind, math.nan
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Malformed(f"value list {place}: {str(value)[:40]!r} is no value")
    if kind == GAUGE:
        try:
            return kind, float(value)
        except OverflowError:
            raise Malformed(f"value list {place}: a value out of range") from None
    least = -(1 << 63) if kind == DERIVE else 0
    if not least <= value < 1 << 64 or not math.isfinite(value):
        raise Malformed(f"value list {place}: a {KINDS[kind]} out of range")
    return kind, int(value)


def encode_json(lists: list[ValueList]) -> str:
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
