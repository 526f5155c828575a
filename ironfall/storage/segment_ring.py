"""A bounded queue of records in segment files; drops its oldest segment when it is full."""

from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

from ironfall.storage.disk import Disk
from ironfall.storage.records import decode_records, encode_record

# A new segment is started before the newest one exceeds 1/SEGMENTS_PER_RING of the ring's bytes.
SEGMENTS_PER_RING = 8
SEGMENT_SUFFIX = ".part"
WEIGHT_BYTES = 4


class WeightedRecord(NamedTuple):
    """A payload and its weight: the number of measurements in it, counted if it is dropped."""

    weight: int
    payload: bytes


@dataclass
class _Segment:
    """A file of the ring.

    Attributes:
        number: Increases with each segment; the stem of its file's name.
        size: Size in bytes.
        weight: Weight of the records that are not acknowledged.
    """

    number: int
    size: int
    weight: int

    @property
    def name(self) -> str:
        return f"{self.number}{SEGMENT_SUFFIX}"


class SegmentRing:
    """A first-in, first-out queue of weighted records in at most `max_bytes`, or in one segment.

    Methods block, and are not thread-safe.

    In a file, a record consists of its weight in four bytes and its payload. After a restart, all
    records of a segment that was not completely acknowledged are returned again, so readers must
    tolerate duplicates.

    Attributes:
        segments: The segments, oldest first.
        recovered_weight: Weight of the records found on the disk at start.
        dropped_weight: Weight of the records that were dropped for lack of room since the start, or
            found corrupted after it.
        faults: Damage found, one text per file.
    """

    def __init__(self, disk: Disk, max_bytes: int) -> None:
        """Reads the segments on the disk, and truncates each at its first fault.

        Raises:
            OSError: The disk failed.
        """
        self.disk = disk
        self.max_bytes = max_bytes
        self.segments: list[_Segment] = []
        self.dropped_weight = 0
        self.faults: list[str] = []
        # Records of the oldest segment that were read but not acknowledged, and the number of that
        # segment; -1 if none was read.
        self._unacknowledged: list[WeightedRecord] = []
        self._reading_number = -1
        for number in sorted(_segment_numbers(disk.list_names())):
            self._recover_segment(number)
        self.recovered_weight = self.weight

    @property
    def weight(self) -> int:
        """Weight of all records that are not acknowledged."""
        return sum(segment.weight for segment in self.segments)

    @property
    def size(self) -> int:
        """Size of all segments in bytes."""
        return sum(segment.size for segment in self.segments)

    def _recover_segment(self, number: int) -> None:
        segment = _Segment(number, 0, 0)
        records, size, fault = self._read_segment(segment)
        if fault:
            self.faults.append(f"{segment.name}: {fault}")
            self.disk.truncate(segment.name, size)
        if not records:
            self.disk.remove(segment.name)
            return
        segment.size = size
        segment.weight = _total_weight(records)
        self.segments.append(segment)

    def _read_segment(self, segment: _Segment) -> tuple[list[WeightedRecord], int, str]:
        """Returns a segment's valid records, their size in bytes, and the fault after them."""
        payloads, size, fault = decode_records(self.disk.read(segment.name))
        records = [_decode(payload) for payload in payloads if len(payload) >= WEIGHT_BYTES]
        return records, size, fault

    def append(self, records: list[WeightedRecord]) -> None:
        """Adds all the records; drops the oldest segments if the ring exceeds `max_bytes`.

        Raises:
            OSError: The disk failed: none of the records was added, or the oldest segment's file
                could not be removed.
        """
        if not records:
            return
        data = b"".join(encode_record(_encode(record)) for record in records)
        segment = self._segment_for(len(data))
        try:
            self.disk.append(segment.name, data)
        except OSError:
            self._undo_append(segment)
            raise
        segment.size += len(data)
        segment.weight += _total_weight(records)
        while self.size > self.max_bytes and len(self.segments) > 1:
            self._drop_oldest()

    def _segment_for(self, added_bytes: int) -> _Segment:
        """Returns the newest segment, or a new one if that is full or being read."""
        if not self.segments:
            return self._start_segment(max(0, self._reading_number + 1))
        newest = self.segments[-1]
        is_full = newest.size + added_bytes > self.max_bytes // SEGMENTS_PER_RING
        if is_full or newest.number == self._reading_number:
            return self._start_segment(newest.number + 1)
        return newest

    def _start_segment(self, number: int) -> _Segment:
        segment = _Segment(number, 0, 0)
        self.segments.append(segment)
        return segment

    def _undo_append(self, segment: _Segment) -> None:
        """Removes what a failed append wrote; if that fails, the next start truncates it."""
        with suppress(OSError):
            self.disk.truncate(segment.name, segment.size)
        if not segment.size:
            self.segments.remove(segment)

    def _drop_oldest(self) -> None:
        oldest = self.segments.pop(0)
        self.dropped_weight += oldest.weight
        if oldest.number == self._reading_number:
            self._unacknowledged = []
            self._reading_number = -1
        self.disk.remove(oldest.name)

    def peek(self, max_records: int) -> list[WeightedRecord]:
        """Returns up to `max_records` of the oldest segment; they stay until acknowledged.

        Raises:
            OSError: The disk failed.
        """
        if not self._unacknowledged and self.segments:
            self._load_oldest()
        return self._unacknowledged[:max_records]

    def _load_oldest(self) -> None:
        oldest = self.segments[0]
        self._unacknowledged, _, fault = self._read_segment(oldest)
        self._reading_number = oldest.number
        lost_weight = oldest.weight - _total_weight(self._unacknowledged)
        if lost_weight:
            # The file was corrupted after it was written or recovered.
            self.faults.append(f"{oldest.name}: {fault}")
            self.dropped_weight += lost_weight
            oldest.weight -= lost_weight
        if not self._unacknowledged:
            self._drop_oldest()

    def acknowledge(self, records: list[WeightedRecord]) -> int:
        """Removes the records that the last `peek` returned.

        Returns:
            Their weight; 0 if they were dropped meanwhile.

        Raises:
            OSError: The disk failed. The records are removed, but may be returned again after a
                restart.
        """
        if not self.segments or self.segments[0].number != self._reading_number:
            return 0
        if self._unacknowledged[: len(records)] != records:
            return 0
        del self._unacknowledged[: len(records)]
        weight = _total_weight(records)
        self.segments[0].weight -= weight
        if not self._unacknowledged:
            finished = self.segments.pop(0)
            self.disk.remove(finished.name)
            self._reading_number = -1
        return weight


def _segment_numbers(names: list[str]) -> list[int]:
    stems = [name.removesuffix(SEGMENT_SUFFIX) for name in names if name.endswith(SEGMENT_SUFFIX)]
    return [int(stem) for stem in stems if stem.isdigit()]


def _total_weight(records: list[WeightedRecord]) -> int:
    return sum(weight for weight, _ in records)


def _encode(record: WeightedRecord) -> bytes:
    weight, payload = record
    return weight.to_bytes(WEIGHT_BYTES, "big") + payload


def _decode(payload: bytes) -> WeightedRecord:
    weight = int.from_bytes(payload[:WEIGHT_BYTES], "big")
    return WeightedRecord(weight, payload[WEIGHT_BYTES:])
