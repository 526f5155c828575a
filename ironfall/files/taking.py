"""When what stands at a path is a change to take: whole, and still the same. Pure; times are seconds of any clock that
only goes on.

A file that was put in place by a rename is whole, for whoever renamed it had written it. Anything else is taken when
two readings, `settle` apart, are alike. What was refused is not read again until it changes.
"""

from dataclasses import dataclass
from typing import Any


@dataclass
class Taking:
    settle: float
    signature: Any = None  # of what stood there at the last look: names, inodes, sizes, times
    adopted: str = ""  # digests
    candidate: str = ""
    refused: str = ""
    renamed: bool = False
    due: float | None = None  # when to read
    tries: int = 0

    def look(self, now: float, signature: Any, renamed: bool = False) -> bool:
        """What stands there now (None: nothing), and whether a rename put it there. True: read it."""
        if signature != self.signature:
            # Inodes are reused and clocks jump: only a difference counts, never which is later.
            self.signature, self.candidate, self.tries = signature, "", 0
            self.renamed = renamed
            self.due = None if signature is None else now if renamed else now + self.settle / 2
        return self.due is not None and now >= self.due

    def read(self, now: float, digest: str) -> str:
        """What was read, "" where it could not be: `again` for once more later, `same`, or `take`."""
        if not digest:
            # Changed under the reading, most likely: the next look or the next try finds it whole.
            self.tries += 1
            self.due = now + self.settle * min(32, 2**self.tries) if self.tries < 12 else None
            self.candidate = ""
            return "again"
        if digest in (self.adopted, self.refused):
            self.due = None
            return "same"
        if self.renamed or digest == self.candidate:
            self.due = None
            return "take"
        self.candidate, self.due = digest, now + self.settle
        return "again"

    def took(self, digest: str) -> None:
        self.adopted, self.refused = digest, ""

    def refuse(self, digest: str) -> None:
        self.refused = digest
