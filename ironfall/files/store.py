"""Adopted sets, kept over restarts in a journal with snapshots of the last adoptions."""

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

MAX_ADOPTIONS = 50  # that can be restored
RECORDS_PER_SNAPSHOT = 200


def pack(texts: dict[str, str]) -> str:
    """Compresses the fragments of a set for a record."""
    return base64.b64encode(zlib.compress(json.dumps(texts).encode())).decode()


@dataclass
class Adoption:
    """A set that was adopted. Its fields are stored under their own names.

    Only the texts of the set are stored, not the parsed set as well: encoding ten thousand hosts
    blocks the director.

    Attributes:
        number: Counted from 1.
        at: Seconds since 1970.
        by: The author.
        digest: Of the texts.
        packed: The texts, by `pack`.
        since: `Merge.first_named_at`.
        summary: The changes.
        effect: What followed; empty until it is known.
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
        """The fragments by name."""
        texts: dict[str, str] = json.loads(zlib.decompress(base64.b64decode(self.packed)))
        return texts

    @cached_property
    def server_set(self) -> ServerSet:
        """The parsed set."""
        return read_set([(name, text.encode()) for name, text in self.texts.items()])

    def as_json(self) -> dict[str, Any]:
        """Returns the fields as a JSON object."""
        return {field.name: getattr(self, field.name) for field in fields(self)}


@dataclass
class Store:
    """The journal of adoptions. Its methods block: don't call them on a greenlet that serves.

    Attributes:
        disk: Of the journal.
        adoptions: The last ones, oldest first.
        faults: What `open` could not read.
        unwritten: Records that the disk did not take, in order.
    """

    disk: Disk
    adoptions: list[Adoption] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    unwritten: list[bytes] = field(default_factory=list)

    def open(self) -> Adoption | None:
        """Opens the store, before any other call, and returns the last adoption.

        Records that can't be read are reported in `faults` and skipped.
        """
        self.journal = WriteAheadLog(self.disk)
        contents = self.journal.open()
        self.faults += contents.faults
        for payload in [contents.snapshot or b"", *contents.records]:
            try:
                if payload:
                    self._apply(json.loads(payload))
            except (ValueError, KeyError, TypeError, zlib.error) as error:
                self.faults.append(f"record skipped: {type(error).__name__} {error}")
        while self.adoptions:
            try:
                _ = self.adoptions[-1].server_set
                return self.adoptions[-1]
            except (ValueError, KeyError, TypeError, zlib.error, Unreadable) as error:
                last = self.adoptions.pop()
                self.faults.append(
                    f"adoption {last.number} can't be read, trying the one before: "
                    f"{type(error).__name__} {error}"[:500]
                )
        return None

    def _apply(self, record: dict[str, Any]) -> None:
        if record["kind"] == "history":
            self.adoptions = [Adoption(**adoption) for adoption in record["adoptions"]]
        elif record["kind"] == "adopted":
            self.adoptions.append(Adoption(**record["adoption"]))
            del self.adoptions[:-MAX_ADOPTIONS]
        elif record["kind"] == "effect":
            for adoption in self.adoptions:
                if adoption.number == record["number"]:
                    adoption.effect = record["effect"]

    def adopted(self, adoption: Adoption) -> None:
        """Adds an adoption.

        Raises:
            OSError: It could not be made durable. It is in `adoptions` nevertheless, and is written
                before the next record.
        """
        self.adoptions.append(adoption)
        del self.adoptions[:-MAX_ADOPTIONS]
        self._write({"kind": "adopted", "adoption": adoption.as_json()})

    def effect(self, number: int, effect: str) -> None:
        """Records the effect of an adoption; raises OSError as `adopted` does."""
        for adoption in self.adoptions:
            if adoption.number == number:
                adoption.effect = effect
        self._write({"kind": "effect", "number": number, "effect": effect})

    def _write(self, record: dict[str, Any]) -> None:
        self.unwritten.append(json.dumps(record).encode())
        self.retry()

    def retry(self) -> None:
        """Writes the records that the disk did not take; raises OSError if it still doesn't.

        If there are more than `MAX_ADOPTIONS`, one snapshot replaces them.
        """
        if (
            len(self.unwritten) > MAX_ADOPTIONS
            or self.journal.records_since_snapshot >= RECORDS_PER_SNAPSHOT
        ):
            snapshot = {
                "kind": "history",
                "adoptions": [adoption.as_json() for adoption in self.adoptions],
            }
            self.journal.write_snapshot(json.dumps(snapshot).encode())
            self.unwritten.clear()
        while self.unwritten:
            self.journal.append(self.unwritten[0])
            del self.unwritten[0]
