"""The record of a case: what was sent, answered and run, a line each with its time."""

import time
from pathlib import Path


class Record:
    """Writes `record.txt` of a case.

    Attributes:
        started_at: The monotonic time of the first line.
    """

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", buffering=1)

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, who: str, what: str) -> None:
        """Adds a line."""
        self._file.write(f"{self.now():9.3f} {who:12} {what}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
