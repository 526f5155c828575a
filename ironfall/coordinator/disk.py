"""A member's disk: a snapshot record and a journal of later writes.

The snapshot record names the coordinator and its incarnation, so that one rename of a file makes a
coordinator that lost its disk a new member. Only a torn tail may be cut: a last record that was
never confirmed. Records before it were confirmed; if one is corrupted, the disk counts as lost.
"""

import secrets
from collections.abc import Sequence

from ironfall.consensus import Configuration, Entry, HardState, PersistedState, member_identity
from ironfall.coordinator.stored_records import (
    AppendWrite,
    SnapshotRecord,
    SnapshotWrite,
    Write,
    decode_journal_record,
    encode_journal_record,
)
from ironfall.errors import IronfallError
from ironfall.storage.disk import Disk
from ironfall.storage.records import HEADER, decode_records
from ironfall.storage.write_ahead_log import RecoveredLog, WriteAheadLog

INCARNATION_BYTES = 4
SNAPSHOT_SUFFIX = "snapshot"
JOURNAL_SUFFIX = "journal"
LENGTH_BYTES = 4


class DiskLostError(IronfallError):
    """The disk lacks data that was confirmed as durable."""


class MemberStore:
    """A coordinator's files. Blocking and not thread-safe; methods raise `OSError`.

    Attributes:
        incarnation: a random token, drawn when a new member begins on this disk.
        initial_configuration: the group's; empty for a member that waits to be added.
        hard_state: the last one written.
    """

    def __init__(self, disk: Disk, name: str) -> None:
        self.disk = disk
        self.name = name
        self.incarnation = ""
        self.initial_configuration = Configuration()
        self.hard_state = HardState(0, 0, "")
        self._log = WriteAheadLog(disk)

    @property
    def identity(self) -> str:
        """The member's identity: name and incarnation."""
        return member_identity(self.name, self.incarnation)

    def open(self) -> tuple[PersistedState, list[str]]:
        """Reads the disk.

        Returns:
            The member's state, and the damage that was repaired.

        Raises:
            DiskLostError: the disk lacks data that was confirmed as durable.
            FileNotFoundError: the disk is blank.
            OSError: the disk failed, or belongs to another coordinator.
        """
        self._log = WriteAheadLog(self.disk)
        newest = self._newest_generation()
        if not newest:
            raise FileNotFoundError("the disk is blank")
        self._check_for_losses(newest)
        recovered = self._log.open()
        if recovered.snapshot is None:
            raise DiskLostError("; ".join(recovered.faults) or "its snapshot can't be read")
        record = SnapshotRecord.decode(recovered.snapshot)
        if record.name != self.name:
            raise OSError(f"the disk belongs to coordinator {record.name}, not to {self.name}")
        self.incarnation = record.incarnation
        self.initial_configuration = record.initial_configuration
        self.hard_state = record.hard_state
        entries = self._replay(record, recovered)
        return self._persisted_state(record.snapshot, entries), recovered.faults

    def _replay(self, record: SnapshotRecord, recovered: RecoveredLog) -> list[Entry]:
        """Applies the journal; returns the entries after the snapshot."""
        base = record.index
        entries = list(record.entries)
        for journal_record in recovered.records:
            for write in decode_journal_record(journal_record):
                if isinstance(write, HardState):
                    self.hard_state = write
                    continue
                last_index = base + len(entries)
                if not base < write.first_index <= last_index + 1:
                    raise DiskLostError(
                        f"the journal has entry {write.first_index} after entry {last_index}"
                    )
                entries[write.first_index - base - 1 :] = write.entries
        return entries

    def _persisted_state(self, snapshot: bytes, entries: list[Entry]) -> PersistedState:
        state = self.hard_state
        return PersistedState(
            state.boot_id, state.term, state.vote, snapshot, entries, self.initial_configuration
        )

    def _check_for_losses(self, newest: int) -> None:
        """Checks that nothing is missing of the newest generation.

        A journal without its snapshot, or a complete record after a corrupted one, shows that
        confirmed data is gone: starting from the rest would undo what was acknowledged.
        """
        names = self.disk.list_names()
        snapshot_name = f"{newest}.{SNAPSHOT_SUFFIX}"
        if snapshot_name not in names:
            raise DiskLostError(f"{snapshot_name} is missing")
        fault = decode_records(self.disk.read(snapshot_name)).fault
        if fault:
            raise DiskLostError(f"{snapshot_name}: {fault}")
        journal_name = f"{newest}.{JOURNAL_SUFFIX}"
        if journal_name not in names:
            return
        data = self.disk.read(journal_name)
        decoded = decode_records(data)
        if decoded.fault and _has_record_after(data, decoded.valid_bytes):
            raise DiskLostError(f"{journal_name}: {decoded.fault}, and complete records follow")

    def _newest_generation(self) -> int:
        """Returns the newest generation, 0 if there is none; ignores unfinished snapshots."""
        newest = 0
        for name in self.disk.list_names():
            number, _, kind = name.partition(".")
            if number.isdigit() and kind in (SNAPSHOT_SUFFIX, JOURNAL_SUFFIX):
                newest = max(newest, int(number))
        return newest

    def begin_incarnation(self) -> PersistedState:
        """Begins a new member on this disk, which waits to be added to a group."""
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.hard_state = HardState(0, 0, "")
        return self._begin(Configuration(), [])

    def begin_group(
        self, initial_configuration: Configuration, entries: Sequence[Entry] = ()
    ) -> PersistedState:
        """Makes the group's initial configuration durable, for the present member."""
        return self._begin(initial_configuration, list(entries))

    def _begin(self, configuration: Configuration, entries: list[Entry]) -> PersistedState:
        self.initial_configuration = configuration
        self._log = WriteAheadLog(self.disk)
        self._log.generation = self._newest_generation()
        self._write_snapshot(SnapshotWrite(0, b"", entries))
        return self._persisted_state(b"", entries)

    def write(self, writes: Sequence[Write]) -> None:
        """Makes all the writes durable."""
        last_snapshot: SnapshotWrite | None = None
        later: list[HardState | AppendWrite] = []
        for write in writes:
            if isinstance(write, SnapshotWrite):
                # A snapshot includes all entries after it, so that earlier writes are obsolete,
                # except for the hard state.
                self._note_hard_state(later)
                last_snapshot = write
                later = []
            else:
                later.append(write)
        if last_snapshot is not None:
            self._write_snapshot(last_snapshot)
        self._note_hard_state(later)
        if later:
            self._log.append(encode_journal_record(later))

    def _note_hard_state(self, writes: Sequence[HardState | AppendWrite]) -> None:
        for write in writes:
            if isinstance(write, HardState):
                self.hard_state = write

    def _write_snapshot(self, write: SnapshotWrite) -> None:
        record = SnapshotRecord(
            self.name,
            self.incarnation,
            self.initial_configuration,
            self.hard_state,
            write.index,
            write.snapshot,
            write.entries,
        )
        self._log.write_snapshot(record.encode())
        # The log counts a snapshot as written once it is renamed. The rename must be durable too,
        # since a vote may be written nowhere else.
        self.disk.sync(f"{self._log.generation}.{SNAPSHOT_SUFFIX}")


def _has_record_after(data: bytes, offset: int) -> bool:
    """Returns whether a complete record begins anywhere after `offset`.

    Journal records are well under 16 MiB: the first byte of their length is zero, a byte that the
    text of entries never has.
    """
    start = data.find(b"\0", offset + 1)
    while start >= 0:
        length = int.from_bytes(data[start : start + LENGTH_BYTES], "big")
        if decode_records(data[start : start + HEADER.size + 1 + length]).payloads:
            return True
        start = data.find(b"\0", start + 1)
    return False
