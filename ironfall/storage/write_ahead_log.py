"""A write-ahead log with a snapshot: a crash loses no record whose append returned.

Generation N has two files: `N.snapshot` with a single record, and `N.journal` with the records
written since. A snapshot is written under a temporary name, synced and renamed; only then are the
generations before the previous one removed. The first record after the snapshot creates its
journal. A torn tail is truncated after the last complete record, and reported.
"""

from contextlib import suppress
from dataclasses import dataclass, field

from ironfall.storage.disk import Disk
from ironfall.storage.records import decode_records, encode_record

SNAPSHOT = "snapshot"
JOURNAL = "journal"
UNFINISHED_SNAPSHOT = "writing"


@dataclass
class RecoveredLog:
    """The content of a log when it was opened.

    Attributes:
        snapshot: Payload of the snapshot; None if there is none.
        records: Payloads written after the snapshot, in order.
        faults: Damage found, one text per file.
    """

    snapshot: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class WriteAheadLog:
    """Appends records durably, and replaces them by a snapshot. Call `open` first; not thread-safe.

    Attributes:
        generation: Number of the current snapshot; 0 before the first.
        records_since_snapshot: Number of records in the journal.
    """

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.generation = 0
        self.records_since_snapshot = 0
        # Size of the journal up to its last complete record, in bytes.
        self._valid_bytes = 0
        # Whether the journal may end in part of a record, because an append failed and what it
        # wrote could not be truncated yet.
        self._has_torn_tail = False

    def open(self) -> RecoveredLog:
        """Reads the newest readable snapshot and its journal, and truncates a torn tail.

        Raises:
            OSError: The disk failed.
        """
        recovered = RecoveredLog()
        names = self.disk.list_names()
        self._read_newest_snapshot(names, recovered)
        if self._journal_name in names:
            self._read_journal(recovered)
        self.records_since_snapshot = len(recovered.records)
        return recovered

    def _read_newest_snapshot(self, names: list[str], recovered: RecoveredLog) -> None:
        generations = [_generation_of(name) for name in names if _has_kind(name, SNAPSHOT)]
        for generation in sorted(generations, reverse=True):
            name = f"{generation}.{SNAPSHOT}"
            decoded = decode_records(self.disk.read(name))
            if len(decoded.payloads) == 1 and not decoded.fault:
                self.generation = generation
                recovered.snapshot = decoded.payloads[0]
                return
            fault = decoded.fault or f"expected 1 record, found {len(decoded.payloads)}"
            recovered.faults.append(f"{name}: {fault}; looking for an older snapshot")

    def _read_journal(self, recovered: RecoveredLog) -> None:
        name = self._journal_name
        decoded = decode_records(self.disk.read(name))
        recovered.records = decoded.payloads
        self._valid_bytes = decoded.valid_bytes
        if decoded.fault:
            recovered.faults.append(
                f"{name}: {decoded.fault}; truncated after {len(decoded.payloads)} complete records"
            )
            self.disk.truncate(name, decoded.valid_bytes)

    def append(self, payload: bytes) -> None:
        """Appends a record, which is durable when this returns.

        Raises:
            OSError: The disk failed; the record is not in the log, and what was written of it is
                removed before the next append.
        """
        name = self._journal_name
        if self._has_torn_tail:
            self.disk.truncate(name, self._valid_bytes)
            self._has_torn_tail = False
        data = encode_record(payload)
        self._has_torn_tail = True
        try:
            self.disk.append(name, data)
            self.disk.sync(name)
        except OSError:
            self._truncate_torn_tail()
            raise
        self._has_torn_tail = False
        self._valid_bytes += len(data)
        self.records_since_snapshot += 1

    def _truncate_torn_tail(self) -> None:
        """Removes what a failed append wrote; if that fails too, the next append tries again."""
        name = self._journal_name
        with suppress(OSError):
            if name in self.disk.list_names():
                self.disk.truncate(name, self._valid_bytes)
            self._has_torn_tail = False

    def write_snapshot(self, payload: bytes) -> None:
        """Replaces the snapshot and all records by a new snapshot.

        Raises:
            OSError: The disk failed; the snapshot and the records are unchanged.
        """
        next_generation = self.generation + 1
        snapshot_name = f"{next_generation}.{SNAPSHOT}"
        try:
            # Files of this generation can only be left from a snapshot that was unreadable. They
            # must go first: after a failure below, an old snapshot file would pass for the new one.
            self.disk.remove(f"{next_generation}.{JOURNAL}")
            self.disk.remove(snapshot_name)
            unfinished_name = f"{next_generation}.{UNFINISHED_SNAPSHOT}"
            write_file_atomically(self.disk, unfinished_name, snapshot_name, payload)
        except OSError:
            if snapshot_name not in self.disk.list_names():
                raise
        previous_generation = self.generation
        self.generation = next_generation
        self.records_since_snapshot = 0
        self._valid_bytes = 0
        self._has_torn_tail = False
        self._remove_generations_before(previous_generation)

    def _remove_generations_before(self, kept_generation: int) -> None:
        """Removes older files, but keeps `kept_generation` in case the newest is unreadable."""
        for name in self.disk.list_names():
            if not _has_kind(name, SNAPSHOT, JOURNAL, UNFINISHED_SNAPSHOT):
                continue
            if _generation_of(name) < kept_generation:
                # A file that could not be removed is tried again with the next snapshot.
                with suppress(OSError):
                    self.disk.remove(name)

    @property
    def _journal_name(self) -> str:
        return f"{self.generation}.{JOURNAL}"


def write_file_atomically(disk: Disk, temporary_name: str, name: str, payload: bytes) -> None:
    """Replaces a file by one with a single record; a crash leaves the old or the new file.

    Raises:
        OSError: The disk failed; the file may have been replaced.
    """
    disk.remove(temporary_name)
    disk.append(temporary_name, encode_record(payload))
    disk.sync(temporary_name)
    disk.rename(temporary_name, name)


def _generation_of(name: str) -> int:
    return int(name.partition(".")[0])


def _has_kind(name: str, *kinds: str) -> bool:
    number, _, kind = name.partition(".")
    return number.isdigit() and kind in kinds
