"""The file operations that durable storage is built on, and their implementation in a directory."""

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """The files of one directory, by name without a path. Every method may raise `OSError`.

    A crash may fall between any two calls, or in the middle of one; tests implement this protocol
    with disks that fail.
    """

    def list_names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, creating it if missing; after an error any prefix may be written."""
        ...

    def sync(self, name: str) -> None:
        """Makes a file's content and directory entry durable."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically and durably, replacing any file named `new`."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file durably; does nothing if it is missing."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Shortens a file to `size` bytes."""
        ...


class Folder:
    """A directory of the local file system, locked against use by other processes."""

    def __init__(self, path: Path) -> None:
        """Creates the directory if missing, and locks it.

        Raises:
            OSError: The file system failed, or another process holds the lock.
        """
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(path / ".lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as cause:
            os.close(self.lock)
            raise OSError(cause.errno, f"{path} is in use by another process") from None

    def close(self) -> None:
        """Releases the lock."""
        os.close(self.lock)

    def list_names(self) -> list[str]:
        """Returns the names of all files except hidden ones, sorted."""
        return sorted(
            path.name
            for path in self.path.iterdir()
            if path.is_file() and not path.name.startswith(".")
        )

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, creating it if missing."""
        with open(self.path / name, "ab", buffering=0) as file:
            remaining = memoryview(data)
            # An unbuffered write may write only a part if the disk is nearly full.
            while remaining:
                written = file.write(remaining)
                remaining = remaining[written:]

    def sync(self, name: str) -> None:
        """Makes a file's content and directory entry durable."""
        with open(self.path / name, "rb") as file:
            os.fsync(file.fileno())
        self._sync_directory()

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically and durably, replacing any file named `new`."""
        os.replace(self.path / old, self.path / new)
        self._sync_directory()

    def remove(self, name: str) -> None:
        """Removes a file durably; does nothing if it is missing."""
        (self.path / name).unlink(missing_ok=True)
        self._sync_directory()

    def truncate(self, name: str, size: int) -> None:
        """Shortens a file to `size` bytes."""
        os.truncate(self.path / name, size)

    def _sync_directory(self) -> None:
        """Makes created, renamed and removed directory entries durable."""
        descriptor = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
