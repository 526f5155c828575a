"""A write-ahead log with a snapshot: a crash loses nothing that was confirmed.

A generation N has two files: `N.snapshot` with a single record, and `N.journal` with the records
written since. A snapshot is written under another name, synced and renamed; its journal is created
by the first record after it. Older generations are removed only then. A torn tail is truncated to
the last complete record and reported.
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
    """What was on the disk when a log was opened.

    Attributes:
        snapshot: the payload of the snapshot; None if there is none.
        records: the payloads written after the snapshot, in order.
        faults: what was damaged, one text for each file.
    """

    snapshot: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class WriteAheadLog:
    """Appends records durably, and replaces them by a snapshot. Call `open` first; not thread-safe.

    Attributes:
        generation: number of the current snapshot; 0 before the first.
        records_since_snapshot: how many records the journal holds.
    """

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.generation = 0
        self.records_since_snapshot = 0
        # Bytes of the journal that are known to be complete records.
        self._valid_bytes = 0
        # An append failed, and what it left could not be truncated yet.
        self._has_torn_tail = False

    def open(self) -> RecoveredLog:
        """Reads the newest readable snapshot and its journal, and truncates a torn tail.

        Raises:
            OSError: the disk failed.
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
            fault = decoded.fault or "not one record"
            recovered.faults.append(f"{name}: {fault}; an older one is used")

    def _read_journal(self, recovered: RecoveredLog) -> None:
        name = self._journal_name
        decoded = decode_records(self.disk.read(name))
        recovered.records = decoded.payloads
        self._valid_bytes = decoded.valid_bytes
        if decoded.fault:
            recovered.faults.append(
                f"{name}: {decoded.fault}; cut after {len(decoded.payloads)} whole records"
            )
            self.disk.truncate(name, decoded.valid_bytes)

    def append(self, payload: bytes) -> None:
        """Writes a record, which is durable when this returns.

        Raises:
            OSError: the record is not in the log, and never will be.
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
        """Removes what a failed append left; if that fails too, the next append tries again."""
        name = self._journal_name
        with suppress(OSError):
            if name in self.disk.list_names():
                self.disk.truncate(name, self._valid_bytes)
            self._has_torn_tail = False

    def write_snapshot(self, payload: bytes) -> None:
        """Replaces the snapshot and all records by a new snapshot.

        Raises:
            OSError: the snapshot and the records are as they were.
        """
        next_generation = self.generation + 1
        snapshot_name = f"{next_generation}.{SNAPSHOT}"
        try:
            # Files of this generation are left over from a snapshot that turned out to be
            # unreadable. If one were still there, a failure below would look like a snapshot that
            # was written.
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
        """Removes older files. The previous generation is kept in case the newest can't be read."""
        for name in self.disk.list_names():
            if not _has_kind(name, SNAPSHOT, JOURNAL, UNFINISHED_SNAPSHOT):
                continue
            if _generation_of(name) < kept_generation:
                # What could not be removed is tried again with the next snapshot.
                with suppress(OSError):
                    self.disk.remove(name)

    @property
    def _journal_name(self) -> str:
        return f"{self.generation}.{JOURNAL}"


def write_file_atomically(disk: Disk, temporary_name: str, name: str, payload: bytes) -> None:
    """Replaces a file by one with a single record; a crash leaves the old or the new file.

    Raises:
        OSError: the disk failed; the file may have been replaced.
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
