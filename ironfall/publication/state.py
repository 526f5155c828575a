"""A delta, and the checksum over a state."""

from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b

MILLION = 1_000_000  # weights and levels are whole millionths: one text of each number at both ends
MASK = (1 << 64) - 1


@lru_cache(maxsize=65_536)
def entry_sum(key: str, value: int) -> int:
    """One entry's part of the checksum: the first 8 bytes of BLAKE2b of `key=value`, as a number."""
    return int.from_bytes(blake2b(f"{key}={value}".encode(), digest_size=8).digest(), "big")


def line_sum(table: int, host: str, weight: int) -> int:
    return entry_sum(f"line/{table}/{host}", weight)


def out_sum(host: str) -> int:
    return entry_sum(f"out/{host}", 1)


def admit_sum(kind: int, level: int, tries: int) -> int:
    return entry_sum(f"admit/{kind}", level * 4 + tries)


def bind_sum(kind: int, table: int) -> int:
    return entry_sum(f"bind/{kind}", table)


@dataclass(slots=True)
class Delta:
    """From one version to another, or (`start` -1) a whole state. Weights and levels are millionths.

    A line of weight 0 is removed; a host `out` False may be picked again; `binds` name classes by number.
    Changes come in no order: none names a key twice.
    """

    epoch: int
    start: int
    to: int
    checksum: int
    binds: dict[int, int] = field(default_factory=dict)
    lines: list[tuple[int, str, int]] = field(default_factory=list)
    outs: list[tuple[str, bool]] = field(default_factory=list)
    admits: list[tuple[int, int, int]] = field(default_factory=list)  # class, level, tries
    encoded: bytes = field(
        default=b"", compare=False, repr=False
    )  # made once for all who are told it

    @property
    def whole(self) -> bool:
        return self.start < 0

    @property
    def size(self) -> int:
        return len(self.binds) + len(self.lines) + len(self.outs) + len(self.admits)
