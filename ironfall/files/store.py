"""What was adopted, kept over restarts: a journal of adoptions with a snapshot of the last ones."""

import base64
import json
import zlib
from dataclasses import dataclass, field
from typing import Any

from ironfall.durable.disk import Disk
from ironfall.durable.journal import Journal
from ironfall.files.servers import ServerSet

KEPT = 50  # adoptions that can be gone back to
SNAPSHOT_EVERY = 200  # records


@dataclass
class Adoption:
    """`number` counts from 1; `at` is seconds since 1970; `effect` is filled in when it is known."""

    number: int
    at: float
    by: str
    digest: str
    texts: dict[str, str]
    told: ServerSet
    since: dict[str, float]
    summary: str
    effect: str = ""

    def as_json(self) -> dict[str, Any]:
        texts = base64.b64encode(zlib.compress(json.dumps(self.texts).encode())).decode()
        return {"number": self.number, "at": self.at, "by": self.by, "digest": self.digest, "texts": texts,
                "told": self.told.as_json(), "since": self.since, "summary": self.summary,
                "effect": self.effect}  # fmt: skip

    @staticmethod
    def from_json(told: dict[str, Any]) -> "Adoption":
        texts = json.loads(zlib.decompress(base64.b64decode(told["texts"])))
        return Adoption(told["number"], told["at"], told["by"], told["digest"], texts,
                        ServerSet.from_json(told["told"]), told["since"], told["summary"], told["effect"])  # fmt: skip


@dataclass
class Store:
    """Blocking: to be called off the serving greenlets. `open()` first."""

    disk: Disk
    adoptions: list[Adoption] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    unwritten: list[bytes] = field(default_factory=list)  # records that the disk refused, in order

    def open(self) -> Adoption | None:
        """The last set that was adopted. Records that can't be understood are named in `faults` and passed over."""
        self.journal = Journal(self.disk)
        found = self.journal.open()
        self.faults += found.faults
        for payload in [found.snapshot or b"", *found.records]:
            try:
                if payload:
                    self._apply(json.loads(payload))
            except (ValueError, KeyError, TypeError, zlib.error) as wrong:
                self.faults.append(f"a record that is not understood: {type(wrong).__name__} {wrong}")
        return self.adoptions[-1] if self.adoptions else None

    def _apply(self, record: dict[str, Any]) -> None:
        if record["kind"] == "history":
            self.adoptions = [Adoption.from_json(one) for one in record["adoptions"]]
        elif record["kind"] == "adopted":
            self.adoptions.append(Adoption.from_json(record["adoption"]))
            del self.adoptions[:-KEPT]
        elif record["kind"] == "effect":
            for one in self.adoptions:
                if one.number == record["number"]:
                    one.effect = record["effect"]

    @property
    def next_number(self) -> int:
        return self.adoptions[-1].number + 1 if self.adoptions else 1

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
        if len(self.unwritten) > KEPT or self.journal.since >= SNAPSHOT_EVERY:
            everything = {"kind": "history", "adoptions": [one.as_json() for one in self.adoptions]}
            self.journal.snapshot(json.dumps(everything).encode())
            self.unwritten.clear()
        while self.unwritten:
            self.journal.append(self.unwritten[0])
            del self.unwritten[0]
