"""collectd's types, which name the values of a value list.

Source: types.db(5) in collectd's documentation.

>>> types = Types("load shortterm:GAUGE:0:5000, midterm:GAUGE:0:U")
>>> types.names("load", 2), types.names("load", 3), types.names("other", 1)
(('shortterm', 'midterm'), ('value0', 'value1', 'value2'), ('value',))
>>> Types("load shortterm:GAUGE")
Traceback (most recent call last):
ironfall.metrics.point.Malformed: line 1: 'shortterm:GAUGE' is not name:KIND:min:max
"""

from functools import cache
from importlib.resources import files

from ironfall.metrics.point import Malformed

KINDS = ("COUNTER", "GAUGE", "DERIVE", "ABSOLUTE")


class Types:
    """The names of values by type, from a text in the format of types.db; raises `Malformed`."""

    def __init__(self, text: str) -> None:
        self.sources: dict[str, tuple[str, ...]] = {}
        for number, line in enumerate(text.splitlines(), 1):
            name, _, rest = line.partition("#")[0].strip().partition(" ")
            if name:
                self.sources[name] = tuple(
                    _parse_source(number, part.strip()) for part in rest.split(",")
                )

    @staticmethod
    @cache
    def bundled() -> "Types":
        """Returns the types in the `types.db` of this package."""
        return Types(files("ironfall.metrics").joinpath("types.db").read_text())

    def names(self, kind: str, count: int) -> tuple[str, ...]:
        """Returns the names of the `count` values of type `kind`.

        They are numbered if the type is unknown or has another number of values.
        """
        found = self.sources.get(kind, ())
        if len(found) == count:
            return found
        return ("value",) if count == 1 else tuple(f"value{n}" for n in range(count))


def _parse_source(number: int, part: str) -> str:
    words = part.split(":")
    if len(words) != 4 or words[1] not in KINDS or not words[0]:
        raise Malformed(f"line {number}: {part!r} is not name:KIND:min:max")
    for bound in words[2:]:
        try:
            float(bound if bound != "U" else "0")
        except ValueError:
            raise Malformed(f"line {number}: {bound!r} is not a number or U") from None
    return words[0]
