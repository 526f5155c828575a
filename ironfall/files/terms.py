"""The `(files ...)` part of a service's terms: where operators' servers and weights stand, and what a change may do."""

from dataclasses import dataclass


@dataclass(frozen=True)
class FilesTerms:
    """No path: no files. Times are tenths of a millisecond, sizes bytes, parts of the ready capacity."""

    path: str = ""
    store: str = ""  # a folder; none: nothing is kept over a restart
    settle: int = 2_000
    poll: int = 10_000
    most: int = 16 * 2**20
    read_time: int = 200_000
    remove: float = 0.3
    cold: float = 0.5
