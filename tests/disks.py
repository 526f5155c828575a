"""A disk in memory on which a test can make the process crash, or writes fail for lack of space."""

import errno
import random


class Died(BaseException):
    """The process crashed in an operation; not an `OSError`, so that no handler of `OSError` catches it."""


class Disk:
    """The files of a directory, with the methods of `ironfall.storage.disk.Disk`.

    `done` counts the operations that change files. The process crashes in operation number `dies_at`, which may take
    place in part or not at all. Appends, syncs and renames from number `full_from` up to, but not including,
    `full_until` fail for lack of space. `crash()` may lose or corrupt what was not synced.
    """

    def __init__(self, seed=0, dies_at=-1, full_from=-1, full_until=1 << 60):
        self.rng = random.Random(seed)
        self.files, self.synced = {}, {}
        self.dies_at, self.full_from, self.full_until, self.done = dies_at, full_from, full_until, 0

    def _step(self, needs_space=True):
        self.done += 1
        if needs_space and self.full_from >= 0 and self.full_from <= self.done < self.full_until:
            raise OSError(errno.ENOSPC, "no space left")
        return self.done == self.dies_at

    def crash(self):
        """Keeps what a machine may find after a power loss: any prefix of the unsynced bytes, perhaps corrupted."""
        for name, data in self.files.items():
            synced_bytes = self.synced.get(name, 0)
            tail_bytes = self.rng.randint(0, len(data) - synced_bytes)
            tail = bytearray(data[synced_bytes : synced_bytes + tail_bytes])
            if tail and self.rng.random() < 0.3:
                tail[self.rng.randrange(len(tail))] ^= 0x55
            self.files[name] = data[:synced_bytes] + bytes(tail)
            self.synced[name] = len(self.files[name])
        self.dies_at = -1
        return self

    def list_names(self):
        return sorted(self.files)

    def read(self, name):
        if name not in self.files:
            raise FileNotFoundError(name)
        return self.files[name]

    def append(self, name, data):
        crashes = False
        try:
            crashes = self._step()
        except OSError:
            # When the disk becomes full, a part of the data may be written.
            self.files[name] = self.files.get(name, b"") + data[: self.rng.randint(0, len(data))]
            raise
        self.files[name] = self.files.get(name, b"") + (
            data[: self.rng.randint(0, len(data))] if crashes else data
        )
        if crashes:
            raise Died

    def sync(self, name):
        if self._step():
            raise Died
        self.synced[name] = len(self.files[name])

    def rename(self, old, new):
        crashes = self._step()
        if not crashes or self.rng.random() < 0.5:
            self.files[new], self.synced[new] = self.files.pop(old), self.synced.pop(old, 0)
        if crashes:
            raise Died

    def remove(self, name):
        crashes = self._step(False)
        if not crashes or self.rng.random() < 0.5:
            self.files.pop(name, None)
            self.synced.pop(name, None)
        if crashes:
            raise Died

    def truncate(self, name, size):
        crashes = self._step(False)
        if not crashes or self.rng.random() < 0.5:
            self.files[name] = self.files[name][:size]
            self.synced[name] = min(self.synced.get(name, 0), size)
        if crashes:
            raise Died
