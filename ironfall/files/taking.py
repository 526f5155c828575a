"""Decides when the content of the watched path is a complete change. Pure.

Times are seconds of a monotonic clock. A file put in place by a rename is complete, as its writer
had finished it. Any other content is adopted once two readings, `settle_s` apart, are equal.
Refused content is not read again until it changes.
"""

from dataclasses import dataclass
from typing import Any


@dataclass
class ChangeDetector:
    """The state of the watched path.

    Attributes:
        settle_s: Time between the two readings of content that was written in place.
        signature: Of the path when it was last observed: names, inodes, sizes and times.
        adopted: Digest of the adopted set.
        candidate: Digest of the last reading, if a second one must confirm it.
        refused: Digest of the last refused set.
        was_renamed: Whether a rename put the current content in place.
        next_read_at: When to read; None to wait for a change.
        failed_reads: Readings that failed since the last change.
    """

    settle_s: float
    signature: Any = None
    adopted: str = ""
    candidate: str = ""
    refused: str = ""
    was_renamed: bool = False
    next_read_at: float | None = None
    failed_reads: int = 0

    def observe(self, now: float, signature: Any, was_renamed: bool = False) -> bool:
        """Takes the path's current signature and returns whether to read the path now.

        Args:
            now: The time.
            signature: None if nothing is at the path.
            was_renamed: Whether a rename put the content in place.
        """
        if signature != self.signature:
            # Inodes are reused and clocks jump, so signatures are compared for equality, not order.
            self.signature, self.candidate, self.failed_reads = signature, "", 0
            self.was_renamed = was_renamed
            self.next_read_at = (
                None if signature is None else now if was_renamed else now + self.settle_s / 2
            )
        return self.next_read_at is not None and now >= self.next_read_at

    def on_read(self, now: float, digest: str) -> str:
        """Returns what to do with a reading.

        Args:
            now: The time.
            digest: Of the content; empty if it could not be read.

        Returns:
            `take` to adopt it, `same` if it was adopted or refused before, `again` to read again.
        """
        if not digest:
            # Probably changed during the reading; a later reading will find it complete.
            self.failed_reads += 1
            self.next_read_at = (
                now + self.settle_s * min(32, 2**self.failed_reads)
                if self.failed_reads < 12
                else None
            )
            self.candidate = ""
            return "again"
        if digest in (self.adopted, self.refused):
            self.next_read_at = None
            return "same"
        if self.was_renamed or digest == self.candidate:
            self.next_read_at = None
            return "take"
        self.candidate, self.next_read_at = digest, now + self.settle_s
        return "again"

    def set_adopted(self, digest: str) -> None:
        """Records the digest of the set that was adopted."""
        self.adopted, self.refused = digest, ""

    def set_refused(self, digest: str) -> None:
        """Records the digest of a set that was refused."""
        self.refused = digest
