"""collectd's text forms, both ways: the JSON that its write_http plugin posts, and PUTVAL lines.

Source: collectd's documentation, write_http ("Format JSON") and "Plain text protocol". Value lists are as in the binary
form; unknown values (null, U, nan) are gauges of NaN.

>>> [one] = decode_putval('PUTVAL "node7/exchanges/queue_length" interval=1 1733000000.5:4')
>>> one.series(), one.at, one.values
('node7.exchanges.queue_length', 1733000000.5, [(1, 4.0)])
>>> encode_putval(one)
'PUTVAL "node7/exchanges/queue_length" interval=1 1733000000.500:4.0'
>>> decode_json(encode_json([one]).encode()) == [one]
True
"""

import json
import math
import re
from typing import Any

from ironfall.metrics.collectd import DERIVE, GAUGE, KINDS, STRING_MOST, ValueList
from ironfall.metrics.point import Malformed

BODY_MOST = 1 << 20
LISTS_MOST = 10_000
VALUES_MOST = 100
LINE_MOST = 4096
_STRINGS = ("host", "plugin", "plugin_instance", "type", "type_instance")
_PUTVAL = re.compile(r'PUTVAL\s+(?:"([^"\\]*)"|(\S+))((?:\s+[a-z_]+=\S+)*)((?:\s+[0-9.N]+(?::[^\s:]+)+)+)\s*\Z', re.I)


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
    if not isinstance(values, list) or not isinstance(kinds, list) or not 0 < len(values) <= VALUES_MOST:
        raise Malformed(f"value list {place}: expected values and dstypes")
    if len(kinds) != len(values) or any(kind not in KINDS for kind in kinds):
        raise Malformed(f"value list {place}: dstypes that don't fit its values")
    found = [_value(place, KINDS.index(kind), value) for kind, value in zip(kinds, values, strict=True)]
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
        rows.append({"values": values, "dstypes": [KINDS[k] for k, _ in one.values], "dsnames": names,
                     "time": one.at, "interval": one.interval, **strings})  # fmt: skip
    return json.dumps(rows)


def decode_putval(line: str) -> list[ValueList]:
    """A value list for each time that the line names; raises `Malformed`. Values are taken as gauges: what they
    really are stands in a types.db that the line's reader may not have."""
    found = _PUTVAL.match(line) if len(line) <= LINE_MOST else None
    if not found:
        raise Malformed(f"{line[:40]!r} is no PUTVAL line")
    identifier, options, values = found[1] or found[2] or "", found[3], found[4]
    parts = identifier.split("/")
    if len(parts) != 3 or not all(parts):
        raise Malformed(f"{identifier[:40]!r} is not host/plugin-instance/type-instance")
    plugin, _, plugin_instance = parts[1].partition("-")
    kind, _, type_instance = parts[2].partition("-")
    interval = 0.0
    for option in options.split():
        if option.startswith("interval="):
            interval = _plain(option[9:])
    lists = []
    for word in values.split():
        at, *each = word.split(":")
        when = 0.0 if at in ("N", "n") else _plain(at)
        numbers = [(GAUGE, math.nan if v in ("U", "u") else _plain(v)) for v in each[:VALUES_MOST]]
        lists.append(ValueList(parts[0], plugin, plugin_instance, kind, type_instance, when, interval, numbers))
    return lists


def _plain(word: str) -> float:
    try:
        number = float(word) if "_" not in word else math.nan
    except ValueError:
        number = math.nan
    if not math.isfinite(number) or abs(number) > 1e300:
        raise Malformed(f"{word[:40]!r} is no number")
    return number


def encode_putval(one: ValueList) -> str:
    plugin = one.plugin + (f"-{one.plugin_instance}" if one.plugin_instance else "")
    kind = one.type + (f"-{one.type_instance}" if one.type_instance else "")
    identifier = "/".join(p.replace("/", "_").replace('"', "_").replace("\\", "_") for p in (one.host, plugin, kind))
    values = ":".join("U" if math.isnan(v) else repr(v) if k == GAUGE else str(int(v)) for k, v in one.values)
    at = f"{one.at:.3f}" if one.at else "N"
    return f'PUTVAL "{identifier}" interval={one.interval:g} {at}:{values}'
