"""The few things that durable state does to a folder, as an interface: a real one, and in tests one that fails."""

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Names are plain, without folders. All raise `OSError`; each is what a crash can fall between."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def append(self, name: str, data: bytes) -> None: ...
    def sync(self, name: str) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def cut(self, name: str, size: int) -> None: ...


class Folder:
    """A folder of the machine's. Renames and new names are synced with the folder itself."""

    def __init__(self, path: Path) -> None:
        """Raises `OSError`, also where another process holds this folder: two would cut each other's files."""
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(path / ".lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as cause:
            os.close(self.lock)
            raise OSError(cause.errno, f"{path} is in use by another process") from None

    def close(self) -> None:
        os.close(self.lock)

    def names(self) -> list[str]:
        return sorted(
            p.name for p in self.path.iterdir() if p.is_file() and not p.name.startswith(".")
        )

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        with open(self.path / name, "ab", buffering=0) as file:
            view = memoryview(data)
            while view:  # an unbuffered write may take a part, on a disk that is nearly full
                view = view[file.write(view) :]

    def sync(self, name: str) -> None:
        with open(self.path / name, "rb") as file:
            os.fsync(file.fileno())
        self._sync_folder()

    def rename(self, old: str, new: str) -> None:
        os.replace(self.path / old, self.path / new)
        self._sync_folder()

    def remove(self, name: str) -> None:
        (self.path / name).unlink(missing_ok=True)
        self._sync_folder()

    def cut(self, name: str, size: int) -> None:
        os.truncate(self.path / name, size)

    def _sync_folder(self) -> None:
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
