"""The publisher's side: turns orders into versions and deltas, with a bounded history."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ironfall.publication.entries import (
    NO_ADMISSION,
    Entries,
    EntryKey,
    EntryKind,
    PastEntries,
    admission_key,
    weight_key,
    withdrawal_key,
)
from ironfall.publication.state import MILLION, Delta, unpack_admission

# Many proxies request the same delta.
MAX_CACHED_DELTAS = 512
# Old assignments of a proxy are dropped once it has more than this for each class.
MAX_ASSIGNMENTS_PER_CLASS = 4


class Change(NamedTuple):
    """One entry that changed at a version."""

    version: int
    key: EntryKey
    old_value: int
    new_value: int


class Assignment(NamedTuple):
    """From a version on, a proxy's requests of a class use a table."""

    version: int
    request_class: int
    table: int


@dataclass(slots=True)
class View:
    """The entries visible to one proxy: changes since it joined; all once it is assigned.

    Attributes:
        since: The version at which it joined.
        bound: Its assignments, oldest first.
        seen: Entries that it was sent while unassigned, since dropped from the history.
    """

    since: int
    bound: list[Assignment] = field(default_factory=list)
    seen: set[EntryKey] = field(default_factory=set)

    def binds(self, at: int) -> dict[int, int]:
        """Returns its tables as of a version, by request class."""
        return {
            request_class: table for version, request_class, table in self.bound if version <= at
        }


class DeltaKey(NamedTuple):
    """All that a delta depends on: proxies with equal keys are sent the same delta.

    Attributes:
        start: The version it starts from.
        to: The version it leads to.
        since: The version at which the proxy joined; 0 if the delta does not depend on it.
        start_tables: Its tables at version `start`, by request class.
        end_tables: Its tables at version `to`.
    """

    start: int
    to: int
    since: int
    start_tables: tuple[tuple[int, int], ...]
    end_tables: tuple[tuple[int, int], ...]


class Publication:
    """The versions of one epoch. Orders gather until `close`, which makes them the next version.

    Attributes:
        epoch: Distinguishes this publication from those before a restart.
        classes: The number of request classes.
        max_versions: The maximum number of versions in the history.
        max_changes: The maximum number of changes in the history.
        version: The newest version.
        base: The oldest version that a delta can start from.
        tables: The weight of each host, in millionths, by table.
        outs: The withdrawn hosts.
        admits: Admission rate, in millionths, and retry policy, by request class.
        views: The view of each joined proxy.
        log: The changes since `base`, oldest first.
        fresh: The entries that changed since the newest version, with their previous values.
    """

    def __init__(
        self, epoch: int, classes: int, max_versions: int = 2_000, max_changes: int = 50_000
    ) -> None:
        self.epoch = epoch
        self.classes = classes
        self.max_versions = max_versions
        self.max_changes = max_changes
        self.version = 0
        self.base = 0
        self._entries = Entries()
        self.tables = self._entries.tables
        self.outs = self._entries.outs
        self.admits = self._entries.admits
        self.views: dict[int, View] = {}
        self.log: deque[Change] = deque()
        self.fresh: dict[EntryKey, int] = {}
        # The classes of each proxy that were assigned since the newest version.
        self._newly_assigned: dict[int, set[int]] = {}
        self._cached_deltas: OrderedDict[DeltaKey, Delta] = OrderedDict()

    # Orders

    def set_weight(self, table: int, host: str, weight: float) -> None:
        """Sets a table entry; a weight of 0 removes it."""
        self._note_change(weight_key(table, host))
        millionths = 0
        if weight > 0:
            # Not rounded down to 0, which would remove the host from the table.
            millionths = max(1, round(weight * MILLION))
        self._entries.set_weight(table, host, millionths)

    def withdraw(self, host: str, is_withdrawn: bool) -> None:
        """Withdraws a host from all tables, or ends its withdrawal."""
        self._note_change(withdrawal_key(host))
        self._entries.set_withdrawn(host, is_withdrawn)

    def admit(self, classes: int, rate: float, retry_policy: int) -> None:
        """Sets admission rate and retry policy of the classes of a bit mask; 0 is all classes."""
        millionths = min(MILLION, max(0, round(rate * MILLION)))
        for request_class in self._classes_in(classes):
            self._note_change(admission_key(request_class))
            self.admits[request_class] = (millionths, retry_policy)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Assigns a proxy's classes of a bit mask to a table; 0 is all. Ignores unknown proxies."""
        view = self.views.get(proxy)
        if view is None:
            return
        for request_class in self._classes_in(classes):
            view.bound.append(Assignment(self.version + 1, request_class, table))
            self._newly_assigned.setdefault(proxy, set()).add(request_class)

    def join(self, proxy: int) -> int:
        """Adds a proxy, which sees orders from now on; returns the version it starts from."""
        self._newly_assigned.pop(proxy, None)
        self.views[proxy] = View(self.version)
        return self.version

    def leave(self, proxy: int) -> None:
        """Removes a proxy."""
        self.views.pop(proxy, None)
        self._newly_assigned.pop(proxy, None)

    def _note_change(self, key: EntryKey) -> None:
        if key not in self.fresh:
            self.fresh[key] = self._entries.value(key)

    def _classes_in(self, mask: int) -> Iterator[int]:
        for request_class in range(self.classes):
            if mask == 0 or mask >> request_class & 1:
                yield request_class

    # Versions

    def close(self) -> dict[int, int]:
        """Publishes the orders since the last version as the next version.

        Returns:
            The number of entries to send to each affected proxy. Empty, and without a new version,
            if nothing was ordered.
        """
        if not self.fresh and not self._newly_assigned:
            return {}
        self.version += 1
        changes_by_table: dict[int, int] = {}
        common_changes = 0
        for key, before in self.fresh.items():
            self.log.append(Change(self.version, key, before, self._entries.value(key)))
            if key.kind is EntryKind.WEIGHT:
                changes_by_table[key.number] = changes_by_table.get(key.number, 0) + 1
            else:
                common_changes += 1
        costs = {}
        for proxy in self.views:
            cost = common_changes + self._cost(proxy, changes_by_table)
            if cost:
                costs[proxy] = cost
        self.fresh.clear()
        self._newly_assigned.clear()
        self._compact()
        return costs

    def _cost(self, proxy: int, changes_by_table: dict[int, int]) -> int:
        """Returns how many entries of the newest version a proxy needs besides common changes."""
        tables = self.views[proxy].binds(self.version)
        cost = sum(changes_by_table.get(table, 0) for table in set(tables.values()))
        newly_assigned = self._newly_assigned.get(proxy)
        if newly_assigned:
            new_tables = {tables[request_class] for request_class in newly_assigned}
            cost += len(new_tables) + len(self.outs) + len(self.admits)
            cost += sum(len(self.tables.get(table, ())) for table in new_tables)
        return cost

    def _compact(self) -> None:
        """Drops old changes, limiting both their number and their age.

        A few versions that change all entries take as much memory as many that change one each.
        """
        while self.log:
            is_too_long = len(self.log) > self.max_changes
            is_too_old = self.log[0].version <= self.version - self.max_versions
            if not is_too_long and not is_too_old:
                break
            self._drop_oldest_version()
        self.base = max(self.base, self.version - self.max_versions)
        for view in self.views.values():
            if len(view.bound) > MAX_ASSIGNMENTS_PER_CLASS * self.classes:
                self._drop_old_assignments(view)

    def _drop_oldest_version(self) -> None:
        self.base = self.log[0].version
        while self.log and self.log[0].version == self.base:
            key = self.log.popleft().key
            for view in self.views.values():
                # An unassigned proxy is sent all changes since it joined, so their keys must be
                # kept when the history is compacted.
                if not view.bound and view.since < self.base:
                    view.seen.add(key)

    def _drop_old_assignments(self, view: View) -> None:
        """Keeps all assignments since the history's start, and each class's last one before it."""
        newest_old: dict[int, Assignment] = {}
        newer: list[Assignment] = []
        for assignment in view.bound:
            if assignment.version <= self.base:
                newest_old[assignment.request_class] = assignment
            else:
                newer.append(assignment)
        view.bound = [*newest_old.values(), *newer]

    # Deltas

    def reaches(self, start: int, to: int) -> bool:
        """Returns whether a delta can be built: both versions published, and not compacted."""
        return self.base <= start <= to <= self.version

    def delta(self, proxy: int, start: int, to: int) -> Delta:
        """Returns the delta that leads a proxy from version `start` (-1: full state) to `to`.

        Both versions must be within the history; see `reaches`.
        """
        view = self.views[proxy]
        before = view.binds(start) if start >= 0 else {}
        after = view.binds(to)
        key = DeltaKey(
            start=start,
            to=to,
            since=0 if after and before else view.since,
            start_tables=tuple(sorted(before.items())),
            end_tables=tuple(sorted(after.items())),
        )
        delta = self._cached_deltas.get(key)
        if delta is None:
            delta = self._build_delta(view, key)
            self._cached_deltas[key] = delta
            if len(self._cached_deltas) > MAX_CACHED_DELTAS:
                self._cached_deltas.popitem(last=False)
        return delta

    def _build_delta(self, view: View, key: DeltaKey) -> Delta:
        before = dict(key.start_tables)
        after = dict(key.end_tables)
        past = PastEntries(self._entries, self._earlier_values(key.to))
        if key.start >= 0:
            changed = self._changed_between(key.start, key.to)
        else:
            changed = self._sent_while_unassigned(view, key.to)
        delta = Delta(self.epoch, key.start, key.to, checksum=0)
        delta.binds = {
            request_class: table
            for request_class, table in after.items()
            if before.get(request_class) != table
        }
        old_tables = set(before.values())
        new_tables = set(after.values())
        for table in sorted(new_tables - old_tables):
            for host, weight in sorted(past.table(table).items()):
                delta.lines.append((table, host, weight))
        is_first_assignment = bool(after) and not before
        for entry in sorted(changed):
            if entry.kind is EntryKind.WEIGHT:
                if entry.number in old_tables and entry.number in new_tables:
                    delta.lines.append((entry.number, entry.host, past.value(entry)))
            elif not is_first_assignment:
                _add_common_change(delta, entry, past.value(entry))
        if is_first_assignment:
            _add_all_common_entries(delta, past, changed)
        visible = None if after else self._sent_while_unassigned(view, key.to)
        delta.checksum = past.checksum(after, visible)
        return delta

    def _changed_between(self, start: int, to: int) -> set[EntryKey]:
        return {change.key for change in self.log if start < change.version <= to}

    def _sent_while_unassigned(self, view: View, to: int) -> set[EntryKey]:
        return view.seen | self._changed_between(view.since, to)

    def _earlier_values(self, to: int) -> dict[EntryKey, int]:
        """Returns the values at a version of all entries that changed since.

        With these a delta does not contain changes that still wait in the channel.
        """
        earlier_values: dict[EntryKey, int] = {}
        for change in reversed(self.log):
            if change.version <= to:
                break
            earlier_values[change.key] = change.old_value
        for key, before in self.fresh.items():
            earlier_values.setdefault(key, before)
        return earlier_values


def _add_common_change(delta: Delta, key: EntryKey, value: int) -> None:
    """Adds a changed withdrawal or admission to a delta; these apply to all proxies."""
    if key.kind is EntryKind.WITHDRAWAL:
        delta.outs.append((key.host, bool(value)))
    elif value != NO_ADMISSION:
        delta.admits.append((key.number, *unpack_admission(value)))


def _add_all_common_entries(delta: Delta, past: PastEntries, changed: set[EntryKey]) -> None:
    """Adds every withdrawal and admission.

    A proxy that is assigned for the first time needs all of them, also those from before it joined.
    """
    withdrawn = past.withdrawn()
    returned = {key.host for key in changed if key.kind is EntryKind.WITHDRAWAL} - withdrawn
    delta.outs = [(host, True) for host in sorted(withdrawn)]
    delta.outs += [(host, False) for host in sorted(returned)]
    for request_class, admission in sorted(past.admissions().items()):
        delta.admits.append((request_class, *admission))
