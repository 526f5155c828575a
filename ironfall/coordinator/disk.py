"""What a keeper holds on disk: a snapshot record with all that it began from, and a journal of what was written since.

A record is a line of JSON and, after it, the bytes that it counts. The snapshot's line names the keeper and its
incarnation, so that one rename makes a lost disk's keeper another member. Only a record that was never confirmed may
be cut: a tail that was torn. What is garbled before that was once confirmed, and the disk counts as lost.
"""

import json
import secrets
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

from ironfall.consensus import Configuration, Entry, PersistedState, member_identity
from ironfall.storage.disk import Disk
from ironfall.storage.records import HEADER, decode_records
from ironfall.storage.write_ahead_log import WriteAheadLog

TOGETHER = 4 * 2**20  # bytes of a record: what waits longer goes into the next one


class Lost(Exception):
    """The disk lacks what was confirmed on it."""


class Keep(NamedTuple):
    boots: int
    term: int
    vote: str


class Append(NamedTuple):
    start: int  # in place of all from there on
    entries: Sequence[Entry]


class Snapshot(NamedTuple):
    up_to: int
    snapshot: bytes
    entries: Sequence[Entry]


Write = Keep | Append | Snapshot


def _plain(entries: Sequence[Entry]) -> list[Any]:
    return [[e.term, e.kind, e.session, e.number, len(e.data)] for e in entries]


def _entries(plain: list[Any], data: memoryview, at: int) -> tuple[list[Entry], int]:
    found = []
    for term, kind, session, number, size in plain:
        found.append(Entry(term, kind, session, number, bytes(data[at : at + size])))
        at += size
    return found, at


def _parted(record: bytes) -> tuple[Any, memoryview]:
    head, _, _ = record.partition(b"\n")
    return json.loads(head), memoryview(record)[len(head) + 1 :]


class Store:
    """One keeper's files. Blocking, and for one thread at a time. All raise `OSError`."""

    def __init__(self, disk: Disk, name: str) -> None:
        self.disk, self.name, self.journal = disk, name, WriteAheadLog(disk)
        self.incarnation, self.first = "", Configuration()
        self.standing = Keep(0, 0, "")

    @property
    def identity(self) -> str:
        return member_identity(self.name, self.incarnation)

    def open(self) -> tuple[PersistedState, list[str]]:
        """What was there, and what was said of it. Raises `Lost`, and `FileNotFoundError` for a blank disk."""
        self.journal = WriteAheadLog(self.disk)
        newest = self._newest()
        if not newest:
            raise FileNotFoundError("the disk is blank")
        self._look_for_losses(newest)
        found = self.journal.open()
        if found.snapshot is None:
            raise Lost("; ".join(found.faults) or "its snapshot can't be read")
        head, data = _parted(found.snapshot)
        if head["name"] != self.name:
            raise OSError(f"the disk is that of keeper {head['name']}, not of {self.name}")
        self.incarnation, self.first = head["incarnation"], Configuration.from_json(head["first"])
        self.standing, base = Keep(*head["standing"]), head["index"]
        snapshot = bytes(data[: head["size"]])
        entries, _ = _entries(head["entries"], data, head["size"])
        for record in found.records:
            writes, data = _parted(record)
            at = 0
            for what, *about in writes:
                if what == "keep":
                    self.standing = Keep(*about)
                    continue
                index, plain = about
                if not base < index <= base + len(entries) + 1:
                    raise Lost(f"entry {index} follows {base + len(entries)}")
                more, at = _entries(plain, data, at)
                entries[index - base - 1 :] = more
        return PersistedState(*self.standing, snapshot, entries, self.first), found.faults

    def _look_for_losses(self, newest: int) -> None:
        """What is older than the newest snapshot doesn't count. A journal without it, and a whole record behind a
        garbled one, were confirmed: to go on from what is left would be to go back."""
        names = self.disk.list_names()
        if f"{newest}.snapshot" not in names:
            raise Lost(f"{newest}.snapshot is not there")
        _, _, fault = decode_records(self.disk.read(f"{newest}.snapshot"))
        if fault:
            raise Lost(f"{newest}.snapshot: {fault}")
        if f"{newest}.journal" in names:
            data = self.disk.read(f"{newest}.journal")
            _, at, fault = decode_records(data)
            if fault and _whole_behind(data, at):
                raise Lost(f"{newest}.journal: {fault}, and whole records after it")

    def _newest(self) -> int:
        """The generation; nought: none. What was only being written when it died is none."""
        parts = [n.partition(".") for n in self.disk.list_names()]
        return max(
            (int(n) for n, _, kind in parts if n.isdigit() and kind in ("snapshot", "journal")),
            default=0,
        )

    def begin(
        self, first: Configuration | None = None, entries: Sequence[Entry] = ()
    ) -> PersistedState:
        """Anew, as another incarnation; with `first`, as the same: it has heard who its group began with."""
        self.journal = WriteAheadLog(self.disk)
        if first is None:
            self.incarnation, self.standing = secrets.token_hex(4), Keep(0, 0, "")
        self.first = first or Configuration()
        self.journal.generation = self._newest()
        self._snapshot(Snapshot(0, b"", entries))
        return PersistedState(
            *self.standing, entries=list(entries), initial_configuration=self.first
        )

    def _snapshot(self, write: Snapshot) -> None:
        head = {
            "name": self.name,
            "incarnation": self.incarnation,
            "first": self.first.to_json(),
            "standing": self.standing,
            "index": write.up_to,
            "size": len(write.snapshot),
            "entries": _plain(write.entries),
        }
        self.journal.write_snapshot(
            b"".join(
                (json.dumps(head).encode(), b"\n", write.snapshot, *(e.data for e in write.entries))
            )
        )
        # The journal takes a snapshot for done once it has its name: the name must be durable too, for a vote may
        # stand nowhere else.
        self.disk.sync(f"{self.journal.generation}.snapshot")

    def write(self, writes: Sequence[Write]) -> None:
        """All durable when this returns."""
        whole = max((n for n, w in enumerate(writes, 1) if isinstance(w, Snapshot)), default=0)
        for one in writes[:whole]:
            if isinstance(one, Keep):
                self.standing = one
        if whole:
            # A snapshot comes with all that follows it: what was to be written before it no longer matters.
            self._snapshot(writes[whole - 1])  # type: ignore[arg-type]
        plain: list[Any] = []
        data: list[bytes] = []
        for one in writes[whole:]:
            if isinstance(one, Keep):
                self.standing = one
                plain.append(["keep", *one])
            elif isinstance(one, Append):
                plain.append(["append", one.start, _plain(one.entries)])
                data += [e.data for e in one.entries]
        if plain:
            self.journal.append(b"".join((json.dumps(plain).encode(), b"\n", *data)))


def _whole_behind(data: bytes, at: int) -> bool:
    """Records are far under 16 MiB: their first byte is nought, which no entry's text has."""
    at = data.find(b"\0", at + 1)
    while at >= 0:
        if decode_records(
            data[at : at + HEADER.size + 1 + int.from_bytes(data[at : at + 4], "big")]
        )[0]:
            return True
        at = data.find(b"\0", at + 1)
    return False


class Writer:
    """Writes in order on a thread of its own: a slow sync stops nobody. `kept` is told back on the loop."""

    def __init__(
        self,
        store: Store,
        pool: ThreadPool,
        kept: Callable[[int], None],
        failed: Callable[[str], None],
        spawn: Callable[..., gevent.Greenlet],
    ) -> None:
        self.store, self.pool, self.kept, self.failed = store, pool, kept, failed
        self.queue: deque[tuple[int, Write]] = (
            deque()
        )  # bounded by the member, which takes no more at its bound
        self.more = Event()
        self.stopped = False
        self.loop = spawn(self._run)

    def put(self, number: int, write: Write) -> None:
        self.queue.append((number, write))
        self.more.set()

    def stop(self) -> None:
        """What is under way may still come to be; the pool's one thread is done with it before anything else."""
        self.stopped = True
        self.loop.kill(block=False)

    def _run(self) -> None:
        while True:
            self.more.wait()
            self.more.clear()
            while self.queue:
                number, writes, size = 0, list[Write](), 0
                while self.queue and size < TOGETHER:
                    number, one = self.queue.popleft()
                    writes.append(one)
                    size += sum(e.size for e in one.entries) if not isinstance(one, Keep) else 0
                try:
                    self.pool.apply(self.store.write, (writes,))
                    why = ""
                except (OSError, ValueError) as cause:  # ValueError: over the bound of a record
                    why = str(cause) or repr(cause)
                if self.stopped:
                    return  # just before its end was to be told: the next beginning has numbers of its own
                if why:
                    self.failed(why)
                    return
                self.kept(number)
