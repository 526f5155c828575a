"""A delta between two versions, and the checksum over a state."""

from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b

# Weights and rates are whole millionths, since both ends must format them identically to sum them.
MILLION = 1_000_000
# A checksum is the sum of its entries' checksums modulo 2^64.
CHECKSUM_MASK = (1 << 64) - 1
CHECKSUM_BYTES = 8
# Admissions are summed as one number; retry policies are less than this.
RETRY_POLICY_COUNT = 4
ENTRY_SUM_CACHE_SIZE = 65_536


@lru_cache(maxsize=ENTRY_SUM_CACHE_SIZE)
def entry_sum(key: str, value: int) -> int:
    """Returns one entry's checksum: the 8-byte BLAKE2b digest of `key=value`."""
    digest = blake2b(f"{key}={value}".encode(), digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, "big")


def line_sum(table: int, host: str, weight: int) -> int:
    """Returns the checksum of a table entry."""
    return entry_sum(f"line/{table}/{host}", weight)


def out_sum(host: str) -> int:
    """Returns the checksum of a withdrawal."""
    return entry_sum(f"out/{host}", 1)


def admit_sum(request_class: int, rate: int, retry_policy: int) -> int:
    """Returns the checksum of an admission rate and its retry policy."""
    return entry_sum(f"admit/{request_class}", pack_admission(rate, retry_policy))


def bind_sum(request_class: int, table: int) -> int:
    """Returns the checksum of an assignment."""
    return entry_sum(f"bind/{request_class}", table)


def pack_admission(rate: int, retry_policy: int) -> int:
    """Packs an admission rate and its retry policy into one number."""
    return rate * RETRY_POLICY_COUNT + retry_policy


def unpack_admission(value: int) -> tuple[int, int]:
    """Returns the admission rate and the retry policy of a packed number."""
    return divmod(value, RETRY_POLICY_COUNT)


@dataclass(slots=True)
class Delta:
    """The changes between two versions, or a full state. Weights and rates are in millionths.

    The order of the changes has no meaning, since no key occurs twice.

    Attributes:
        epoch: The epoch of both versions.
        start: The version it starts from; -1 for a full state.
        to: The version it leads to.
        checksum: The checksum of the state at version `to`.
        binds: The table of each request class that was assigned.
        lines: Table, host and weight of each changed entry; a weight of 0 removes it.
        outs: The hosts that were withdrawn (`True`) or may be picked again (`False`).
        admits: Request class, admission rate and retry policy of each changed admission.
        encoded: The encoded message, shared by all proxies that it is sent to.
    """

    epoch: int
    start: int
    to: int
    checksum: int
    binds: dict[int, int] = field(default_factory=dict)
    lines: list[tuple[int, str, int]] = field(default_factory=list)
    outs: list[tuple[str, bool]] = field(default_factory=list)
    admits: list[tuple[int, int, int]] = field(default_factory=list)
    encoded: bytes = field(default=b"", compare=False, repr=False)

    @property
    def whole(self) -> bool:
        """Whether it is a full state."""
        return self.start < 0

    @property
    def size(self) -> int:
        """The number of its changes."""
        return len(self.binds) + len(self.lines) + len(self.outs) + len(self.admits)
