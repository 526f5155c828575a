"""What was adopted, kept over restarts: a journal of adoptions with a snapshot of the last ones."""

import base64
import json
import zlib
from dataclasses import dataclass, field, fields
from functools import cached_property
from typing import Any

from ironfall.files.notation import read_set
from ironfall.files.servers import ServerSet
from ironfall.sexp import Unreadable
from ironfall.storage.disk import Disk
from ironfall.storage.write_ahead_log import WriteAheadLog

KEPT = 50  # adoptions that can be gone back to
SNAPSHOT_EVERY = 200  # records


def pack(texts: dict[str, str]) -> str:
    """The fragments of a set, small, as a record keeps them."""
    return base64.b64encode(zlib.compress(json.dumps(texts).encode())).decode()


@dataclass
class Adoption:
    """`number` counts from 1; `at` is seconds since 1970; `effect` is filled in when it is known.

    Of a set only the texts are kept: to write ten thousand hosts down a second time stood in the director's way.
    """

    number: int
    at: float
    by: str
    digest: str
    packed: str
    since: dict[str, float]
    summary: str
    effect: str = ""

    @property
    def texts(self) -> dict[str, str]:
        found: dict[str, str] = json.loads(zlib.decompress(base64.b64decode(self.packed)))
        return found

    @cached_property
    def told(self) -> ServerSet:
        return read_set([(name, text.encode()) for name, text in self.texts.items()])

    def as_json(self) -> dict[str, Any]:
        return {field.name: getattr(self, field.name) for field in fields(self)}


@dataclass
class Store:
    """Blocking: to be called off the serving greenlets. `open()` first."""

    disk: Disk
    adoptions: list[Adoption] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    unwritten: list[bytes] = field(default_factory=list)  # records that the disk refused, in order

    def open(self) -> Adoption | None:
        """The last set that was adopted. Records that can't be understood are named in `faults` and passed over."""
        self.journal = WriteAheadLog(self.disk)
        found = self.journal.open()
        self.faults += found.faults
        for payload in [found.snapshot or b"", *found.records]:
            try:
                if payload:
                    self._apply(json.loads(payload))
            except (ValueError, KeyError, TypeError, zlib.error) as wrong:
                self.faults.append(
                    f"a record that is not understood: {type(wrong).__name__} {wrong}"
                )
        while self.adoptions:
            try:
                _ = self.adoptions[-1].told
                return self.adoptions[-1]
            except (ValueError, KeyError, TypeError, zlib.error, Unreadable) as wrong:
                last = self.adoptions.pop()
                self.faults.append(
                    f"adoption {last.number} is not understood: {type(wrong).__name__} {wrong}"[
                        :500
                    ]
                )
        return None

    def _apply(self, record: dict[str, Any]) -> None:
        if record["kind"] == "history":
            self.adoptions = [Adoption(**one) for one in record["adoptions"]]
        elif record["kind"] == "adopted":
            self.adoptions.append(Adoption(**record["adoption"]))
            del self.adoptions[:-KEPT]
        elif record["kind"] == "effect":
            for one in self.adoptions:
                if one.number == record["number"]:
                    one.effect = record["effect"]

    def adopted(self, adoption: Adoption) -> None:
        """Raises `OSError` where it could not be made durable; it counts here, and is written before the next."""
        self.adoptions.append(adoption)
        del self.adoptions[:-KEPT]
        self._write({"kind": "adopted", "adoption": adoption.as_json()})

    def effect(self, number: int, effect: str) -> None:
        for one in self.adoptions:
            if one.number == number:
                one.effect = effect
        self._write({"kind": "effect", "number": number, "effect": effect})

    def _write(self, record: dict[str, Any]) -> None:
        self.unwritten.append(json.dumps(record).encode())
        self.retry()

    def retry(self) -> None:
        """Writes what the disk refused earlier. More than can be gone back to becomes one snapshot."""
        if len(self.unwritten) > KEPT or self.journal.records_since_snapshot >= SNAPSHOT_EVERY:
            everything = {"kind": "history", "adoptions": [one.as_json() for one in self.adoptions]}
            self.journal.write_snapshot(json.dumps(everything).encode())
            self.unwritten.clear()
        while self.unwritten:
            self.journal.append(self.unwritten[0])
            del self.unwritten[0]
