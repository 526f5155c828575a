"""A queue in files, of bounded size: the oldest file goes whole when there is no room, and what it held is counted."""

from dataclasses import dataclass

from ironfall.storage.disk import Disk
from ironfall.storage.records import decode_records, encode_record

PARTS = 8


@dataclass
class _Part:
    number: int
    size: int
    weight: int  # what its records not yet taken stand for

    @property
    def name(self) -> str:
        return f"{self.number}.part"


class SegmentRing:
    """Records with a weight each, first in first out, in at most `cap` bytes. Blocking; for one thread at a time.

    A record is the weight as four bytes and the payload. What was taken and not yet `done` when a process ends comes
    again in the next one: whoever takes must stand a repeat.
    """

    def __init__(self, disk: Disk, cap: int) -> None:
        self.disk, self.cap = disk, cap
        self.parts: list[_Part] = []
        self.taken: list[tuple[int, bytes]] = []  # of the oldest part, in order, not yet done
        self.reading = -1  # number of the part that `taken` is from
        self.dropped = 0  # weight that had no room
        self.faults: list[str] = []
        for number in sorted(
            int(n[:-5]) for n in disk.names() if n.endswith(".part") and n[:-5].isdigit()
        ):
            records, size, fault = self._records(f"{number}.part")
            if fault:
                self.faults.append(f"{number}.part: {fault}")
                disk.cut(f"{number}.part", size)
            if records:
                self.parts.append(_Part(number, size, sum(w for w, _ in records)))
            else:
                disk.remove(f"{number}.part")
        self.found = self.held

    @property
    def held(self) -> int:
        return sum(part.weight for part in self.parts)

    @property
    def size(self) -> int:
        return sum(part.size for part in self.parts)

    def _records(self, name: str) -> tuple[list[tuple[int, bytes]], int, str]:
        payloads, size, fault = decode_records(self.disk.read(name))
        return [(int.from_bytes(p[:4], "big"), p[4:]) for p in payloads if len(p) >= 4], size, fault

    def put(self, records: list[tuple[int, bytes]]) -> None:
        """All of them, or raises `OSError` and none counts as held."""
        if not records:
            return
        data = b"".join(
            encode_record(weight.to_bytes(4, "big") + payload) for weight, payload in records
        )
        last = self.parts[-1] if self.parts else None
        if last is None or last.size + len(data) > self.cap // PARTS or last.number == self.reading:
            last = _Part(last.number + 1 if last else max(0, self.reading + 1), 0, 0)
            self.parts.append(last)
        try:
            self.disk.append(last.name, data)
        except OSError:
            try:
                self.disk.cut(last.name, last.size)
            except OSError:
                pass
            if not last.size:
                self.parts.remove(last)
            raise
        last.size += len(data)
        last.weight += sum(weight for weight, _ in records)
        while self.size > self.cap and len(self.parts) > 1:
            self._drop()

    def _drop(self) -> None:
        oldest = self.parts.pop(0)
        self.dropped += oldest.weight
        if oldest.number == self.reading:
            self.taken, self.reading = [], -1
        self.disk.remove(oldest.name)

    def take(self, most: int) -> list[tuple[int, bytes]]:
        """The oldest; they stay until `done`."""
        if not self.taken and self.parts:
            oldest = self.parts[0]
            self.taken, _, fault = self._records(oldest.name)
            self.reading = oldest.number
            lost = oldest.weight - sum(w for w, _ in self.taken)
            if lost:  # garbled under our hands
                self.faults.append(f"{oldest.name}: {fault}")
                self.dropped += lost
                oldest.weight -= lost
            if not self.taken:
                self._drop()
        return self.taken[:most]

    def done(self, records: list[tuple[int, bytes]]) -> int:
        """Those that were taken first are dealt with; their weight, nought for what was dropped meanwhile."""
        if (
            not self.parts
            or self.parts[0].number != self.reading
            or self.taken[: len(records)] != records
        ):
            return 0
        del self.taken[: len(records)]
        weight = sum(w for w, _ in records)
        self.parts[0].weight -= weight
        if not self.taken:
            self.disk.remove(self.parts.pop(0).name)
            self.reading = -1
        return weight
