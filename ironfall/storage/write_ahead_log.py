"""An append-only journal with a snapshot: what was confirmed is there after any crash, and nothing else is.

Files of a generation N: `N.snapshot`, one record, whole or not there, and `N.journal`, the records since. A snapshot is
written under another name, synced and renamed; the journal that follows it is begun by the first record. Older
generations are removed only after that. A tail that was torn is cut at the last whole record, and said.
"""

from dataclasses import dataclass, field

from ironfall.storage.disk import Disk
from ironfall.storage.records import decode_records, encode_record


@dataclass
class Found:
    """What was there at start: the snapshot's payload (None: there was none), records since, and what was wrong."""

    snapshot: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class WriteAheadLog:
    """Not to be used by two at once. `open()` first."""

    def __init__(self, disk: Disk) -> None:
        self.disk, self.generation = disk, 0
        self.since = 0  # records since the snapshot
        self.size = 0  # bytes of the journal that are known to be whole
        self.torn = False  # an append failed: what it left must be cut before the next

    def open(self) -> Found:
        found = Found()
        names = self.disk.names()
        kept = sorted((int(n.split(".")[0]) for n in names if _is(n, "snapshot")), reverse=True)
        for generation in kept:
            payloads, _, fault = decode_records(self.disk.read(f"{generation}.snapshot"))
            if len(payloads) == 1 and not fault:
                self.generation, found.snapshot = generation, payloads[0]
                break
            found.faults.append(
                f"{generation}.snapshot: {fault or 'not one record'}; an older one is used"
            )
        name = f"{self.generation}.journal"
        if name in names:
            data = self.disk.read(name)
            found.records, self.size, fault = decode_records(data)
            if fault:
                found.faults.append(
                    f"{name}: {fault}; cut after {len(found.records)} whole records"
                )
                self.disk.cut(name, self.size)
        self.since = len(found.records)
        return found

    def append(self, payload: bytes) -> None:
        """The record is durable when this returns. Raises `OSError`, and then it is not there and never will be."""
        name = f"{self.generation}.journal"
        if self.torn:
            self.disk.cut(name, self.size)
            self.torn = False
        data = encode_record(payload)
        self.torn = True
        try:
            self.disk.append(name, data)
            self.disk.sync(name)
        except OSError:
            self._mend(name)
            raise
        self.torn = False
        self.size += len(data)
        self.since += 1

    def _mend(self, name: str) -> None:
        try:
            if name in self.disk.names():
                self.disk.cut(name, self.size)
            self.torn = False
        except OSError:
            pass  # tried again before the next record

    def snapshot(self, payload: bytes) -> None:
        """In place of all records so far. Raises `OSError`, and then snapshot and records are as they were."""
        following = self.generation + 1
        try:
            # What has that number already is left over from a snapshot that was garbled since. Were it there still, a
            # snapshot that failed below would look as if it had come to be.
            self.disk.remove(f"{following}.journal")
            self.disk.remove(f"{following}.snapshot")
            write_file_atomically(
                self.disk, f"{following}.writing", f"{following}.snapshot", payload
            )
        except OSError:
            if f"{following}.snapshot" not in self.disk.names():
                raise
        old, self.generation = self.generation, following
        self.since = self.size = 0
        self.torn = False
        # One generation is kept, for the day on which the newest can't be read.
        for name in self.disk.names():
            if _is(name, "snapshot", "journal", "writing") and int(name.split(".")[0]) < old:
                try:
                    self.disk.remove(name)
                except OSError:
                    pass  # it will be tried again with the next snapshot


def write_file_atomically(disk: Disk, fresh: str, name: str, payload: bytes) -> None:
    """One record as a file of its own, written as `fresh` and renamed: whole or as it was before."""
    disk.remove(fresh)
    disk.append(fresh, encode_record(payload))
    disk.sync(fresh)
    disk.rename(fresh, name)


def _is(name: str, *kinds: str) -> bool:
    number, _, kind = name.partition(".")
    return number.isdigit() and kind in kinds
