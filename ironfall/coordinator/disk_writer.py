"""Makes the writes of a consensus node durable, in order, on a separate thread."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

from ironfall.consensus import HardState
from ironfall.coordinator.disk import MemberStore
from ironfall.coordinator.stored_records import Write

# Once the entries of a journal record have this size, later writes go into the next record.
MAX_BATCH_BYTES = 4 * 2**20


class _QueuedWrite(NamedTuple):
    number: int
    write: Write


class DiskWriter:
    """Makes writes durable without blocking the event loop."""

    def __init__(
        self,
        store: MemberStore,
        pool: ThreadPool,
        on_durable: Callable[[int], None],
        on_failed: Callable[[str], None],
        spawn: Callable[[Callable[[], None]], gevent.Greenlet],
    ) -> None:
        """Starts the loop that writes.

        Args:
            store: the disk to write to.
            pool: has a single thread, on which the store is used.
            on_durable: called on the event loop when all writes up to a number are durable.
            on_failed: called with the reason when a write failed; no write follows.
            spawn: runs the loop.
        """
        self._store = store
        self._pool = pool
        self._on_durable = on_durable
        self._on_failed = on_failed
        # Bounded by the node, which then rejects requests.
        self._queue: deque[_QueuedWrite] = deque()
        self._was_queued = Event()
        self._is_stopped = False
        self._loop = spawn(self._run)

    def put(self, number: int, write: Write) -> None:
        """Queues a write; never waits."""
        self._queue.append(_QueuedWrite(number, write))
        self._was_queued.set()

    def stop(self) -> None:
        """Drops queued writes. A write in progress ends before any other use of the pool."""
        self._is_stopped = True
        self._loop.kill(block=False)

    def _run(self) -> None:
        while True:
            self._was_queued.wait()
            self._was_queued.clear()
            while self._queue:
                last_number, batch = self._next_batch()
                failure = self._write(batch)
                if self._is_stopped:
                    # The next start of the node has write numbers of its own.
                    return
                if failure:
                    self._on_failed(failure)
                    return
                self._on_durable(last_number)

    def _next_batch(self) -> tuple[int, list[Write]]:
        """Returns the number of the last write of a batch, and its writes."""
        batch: list[Write] = []
        batch_bytes = 0
        last_number = 0
        while self._queue and batch_bytes < MAX_BATCH_BYTES:
            last_number, write = self._queue.popleft()
            batch.append(write)
            if not isinstance(write, HardState):
                batch_bytes += sum(entry.size for entry in write.entries)
        return last_number, batch

    def _write(self, batch: list[Write]) -> str:
        """Returns why the writes failed; empty if they are durable."""
        try:
            self._pool.apply(self._store.write, (batch,))
        except (OSError, ValueError) as cause:
            # ValueError: a record is over its size limit.
            return str(cause) or repr(cause)
        return ""
