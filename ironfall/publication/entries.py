"""The current entries, and a view of them at an earlier version."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from ironfall.publication.state import (
    CHECKSUM_MASK,
    admit_sum,
    bind_sum,
    line_sum,
    out_sum,
    pack_admission,
    unpack_admission,
)

NO_ADMISSION = -1


class EntryKind(StrEnum):
    """The kind of an entry."""

    ADMISSION = "admit"
    WEIGHT = "line"
    WITHDRAWAL = "out"


class EntryKey(NamedTuple):
    """Identifies one entry.

    Attributes:
        kind: The kind of the entry.
        number: The table of a weight, the request class of an admission, otherwise 0.
        host: The host of a weight or a withdrawal, otherwise empty.
    """

    kind: EntryKind
    number: int
    host: str


def weight_key(table: int, host: str) -> EntryKey:
    """Returns the key of a table entry; its value is the weight, 0 for none."""
    return EntryKey(EntryKind.WEIGHT, table, host)


def withdrawal_key(host: str) -> EntryKey:
    """Returns the key of a withdrawal; its value is 1 while the host is withdrawn, otherwise 0."""
    return EntryKey(EntryKind.WITHDRAWAL, 0, host)


def admission_key(request_class: int) -> EntryKey:
    """Returns the key of an admission; its value is packed, or `NO_ADMISSION`."""
    return EntryKey(EntryKind.ADMISSION, request_class, "")


class Entries:
    """The current entries, including changes that are not published yet.

    Attributes:
        tables: The weight of each host, in millionths, by table.
        sums: The checksum of each table's entries, not reduced modulo 2^64.
        outs: The withdrawn hosts.
        admits: Admission rate, in millionths, and retry policy, by request class.
    """

    def __init__(self) -> None:
        self.tables: dict[int, dict[str, int]] = {}
        # Updated with each entry: summing a large table anew took most of the time of one change.
        self.sums: dict[int, int] = {}
        self.outs: dict[str, bool] = {}
        self.admits: dict[int, tuple[int, int]] = {}

    def value(self, key: EntryKey) -> int:
        """Returns the value of an entry."""
        if key.kind is EntryKind.WEIGHT:
            return self.tables.get(key.number, {}).get(key.host, 0)
        if key.kind is EntryKind.WITHDRAWAL:
            return int(self.outs.get(key.host, False))
        if key.number not in self.admits:
            return NO_ADMISSION
        return pack_admission(*self.admits[key.number])

    def set_weight(self, table: int, host: str, weight: int) -> None:
        """Sets a table entry, or removes it by a weight of 0."""
        hosts = self.tables.setdefault(table, {})
        total = self.sums.get(table, 0)
        if host in hosts:
            total -= line_sum(table, host, hosts.pop(host))
        if weight:
            hosts[host] = weight
            total += line_sum(table, host, weight)
        self.sums[table] = total

    def set_withdrawn(self, host: str, is_out: bool) -> None:
        """Withdraws a host, or ends its withdrawal."""
        if is_out:
            self.outs[host] = True
        else:
            self.outs.pop(host, None)


class PastEntries:
    """The entries as of an earlier version: the current ones with later changes undone."""

    def __init__(self, entries: Entries, earlier_values: Mapping[EntryKey, int]) -> None:
        """Overrides current entries by the `earlier_values` of all that changed since."""
        self._entries = entries
        self._earlier_values = earlier_values

    def value(self, key: EntryKey) -> int:
        """Returns the value of an entry."""
        return (
            self._earlier_values[key] if key in self._earlier_values else self._entries.value(key)
        )

    def table(self, table: int) -> dict[str, int]:
        """Returns the weights of a table, by host."""
        weights = dict(self._entries.tables.get(table, ()))
        for key, value in self._earlier_values.items():
            if key.kind is EntryKind.WEIGHT and key.number == table:
                weights[key.host] = value
        return {host: weight for host, weight in weights.items() if weight}

    def withdrawn(self) -> set[str]:
        """Returns the withdrawn hosts."""
        hosts = set(self._entries.outs)
        for key, value in self._earlier_values.items():
            if key.kind is not EntryKind.WITHDRAWAL:
                continue
            if value:
                hosts.add(key.host)
            else:
                hosts.discard(key.host)
        return hosts

    def admissions(self) -> dict[int, tuple[int, int]]:
        """Returns admission rate and retry policy, by request class."""
        admissions = dict(self._entries.admits)
        for key, value in self._earlier_values.items():
            if key.kind is not EntryKind.ADMISSION:
                continue
            if value == NO_ADMISSION:
                admissions.pop(key.number, None)
            else:
                admissions[key.number] = unpack_admission(value)
        return admissions

    def checksum(self, assignments: Mapping[int, int], visible: set[EntryKey] | None) -> int:
        """Returns the checksum of a proxy's state.

        Args:
            assignments: The proxy's tables, by request class.
            visible: The withdrawals and admissions that the proxy was sent; `None` for all.
        """
        tables = set(assignments.values())
        total = sum(bind_sum(*assignment) for assignment in assignments.items())
        total += sum(self._entries.sums.get(table, 0) for table in tables)
        total += self._weight_sum_difference(tables)
        for host in self.withdrawn():
            if visible is None or withdrawal_key(host) in visible:
                total += out_sum(host)
        for request_class, (rate, retry_policy) in self.admissions().items():
            if visible is None or admission_key(request_class) in visible:
                total += admit_sum(request_class, rate, retry_policy)
        return total & CHECKSUM_MASK

    def _weight_sum_difference(self, tables: set[int]) -> int:
        """Returns the change of the tables' checksums by undoing weights."""
        difference = 0
        for key, before in self._earlier_values.items():
            if key.kind is not EntryKind.WEIGHT or key.number not in tables:
                continue
            now = self._entries.value(key)
            if now:
                difference -= line_sum(key.number, key.host, now)
            if before:
                difference += line_sum(key.number, key.host, before)
        return difference
