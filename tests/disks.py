"""A disk in memory that dies, fills up, or refuses, at the operation that a test names."""

import errno
import random


class Died(BaseException):
    """The process was killed here; no `except OSError` may catch it."""


class Disk:
    """`dies_at`: which operation is the last, and takes place in part. After `crash()` what was not synced is torn."""

    def __init__(self, seed=0, dies_at=-1, full_from=-1, full_until=1 << 60):
        self.chance = random.Random(seed)
        self.files, self.synced = {}, {}
        self.dies_at, self.full_from, self.full_until, self.done = dies_at, full_from, full_until, 0

    def _step(self, writes=True):
        self.done += 1
        if writes and self.full_from >= 0 and self.full_from <= self.done < self.full_until:
            raise OSError(errno.ENOSPC, "no space left")
        return self.done == self.dies_at

    def crash(self):
        """What a machine finds after it lost its power: of unsynced bytes a part, maybe garbled."""
        for name, data in self.files.items():
            safe = self.synced.get(name, 0)
            rest = bytearray(data[safe : safe + self.chance.randint(0, len(data) - safe)])
            if rest and self.chance.random() < 0.3:
                rest[self.chance.randrange(len(rest))] ^= 0x55
            self.files[name] = data[:safe] + bytes(rest)
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
        dies = False
        try:
            dies = self._step()
        except OSError:
            # A disk that fills up has taken a part.
            self.files[name] = self.files.get(name, b"") + data[: self.chance.randint(0, len(data))]
            raise
        self.files[name] = self.files.get(name, b"") + (
            data[: self.chance.randint(0, len(data))] if dies else data
        )
        if dies:
            raise Died

    def sync(self, name):
        if self._step():
            raise Died
        self.synced[name] = len(self.files[name])

    def rename(self, old, new):
        dies = self._step()
        if not dies or self.chance.random() < 0.5:
            self.files[new], self.synced[new] = self.files.pop(old), self.synced.pop(old, 0)
        if dies:
            raise Died

    def remove(self, name):
        dies = self._step(False)
        if not dies or self.chance.random() < 0.5:
            self.files.pop(name, None)
            self.synced.pop(name, None)
        if dies:
            raise Died

    def truncate(self, name, size):
        dies = self._step(False)
        if not dies or self.chance.random() < 0.5:
            self.files[name] = self.files[name][:size]
            self.synced[name] = min(self.synced.get(name, 0), size)
        if dies:
            raise Died
