"""Keeps the points that exceed a sender's memory in files of bounded size.

`spill` puts a point into a short queue; a separate greenlet writes the queue to a ring of files in
a thread. If the disk is slow, the queue fills up, and then points are dropped and counted. Nothing
that serves proxies waits for the disk.
"""

import json
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.threadpool import ThreadPool

from ironfall.metrics.spool import Key, Waiting
from ironfall.storage.segment_ring import SegmentRing, WeightedRecord

MAX_QUEUED_POINTS = 20_000
MAX_POINTS_PER_WRITE = 2_000
RETRY_DELAY = 1.0  # seconds until a failed write is retried; the queue fills in the meantime

Pair = tuple[Key, Waiting]


def record(key: Key, waiting: Waiting) -> WeightedRecord:
    """Encodes a waiting point for the ring; its weight is the number of points it stands for."""
    payload = json.dumps([key[0], key[1], key[2], waiting.value, waiting.how]).encode()
    return WeightedRecord(waiting.count, payload)


def revive(weight: int, payload: bytes) -> Pair:
    """Decodes a record of the ring."""
    series, tags, at, value, how = json.loads(payload)
    return (series, tuple((k, v) for k, v in tags), at), Waiting(value, weight, at, how)


class Overflow:
    """The queue and the ring of files of one sender.

    Args:
        open_ring: Opens the files; runs in the thread.

    Attributes:
        counts: Points by what became of them (found at the start, sent, dropped), and failures.
        held: The number of points that wait, in the queue and in the files.
    """

    def __init__(self, open_ring: Callable[[], SegmentRing]) -> None:
        self.queue: deque[Pair] = deque()
        self.counts: Counter[str] = Counter()
        self.held = 0
        # One thread, since the ring must not be used concurrently; a pool of its own, so that a
        # slow disk does not block the hub's pool, which resolves host names.
        self.pool, self.pool_lock = ThreadPool(1), BoundedSemaphore(1)
        self.ring: SegmentRing = self.pool.apply(open_ring)
        self.held = self.counts["found"] = self.ring.recovered_weight
        self.known_dropped_weight = self.ring.dropped_weight
        self.pending: list[WeightedRecord] = []
        self.wakeup = Event()
        self.greenlet = gevent.spawn(self._run)

    def spill(self, key: Key, waiting: Waiting) -> bool:
        """Queues a point to be written; returns False if the queue is full."""
        if len(self.queue) >= MAX_QUEUED_POINTS:
            return False
        self.queue.append((key, waiting))
        self.held += waiting.count
        self.wakeup.set()
        return True

    def _run_in_thread(self, function: Callable[..., Any], *arguments: Any) -> Any:
        with self.pool_lock:
            return self.pool.apply(function, arguments)

    def _count_dropped(self) -> None:
        """Counts the points that the ring has discarded for lack of space as dropped."""
        dropped, self.known_dropped_weight = (
            self.ring.dropped_weight - self.known_dropped_weight,
            self.ring.dropped_weight,
        )
        self.counts["dropped"] += dropped
        self.held -= dropped

    def _run(self) -> None:
        while True:
            self.wakeup.wait()
            self.wakeup.clear()
            while self.queue:
                batch = [
                    pair for pair, _ in zip(self.queue, range(MAX_POINTS_PER_WRITE), strict=False)
                ]
                try:
                    self._run_in_thread(self.ring.append, [record(*pair) for pair in batch])
                except OSError:
                    self.counts["failures"] += 1
                    gevent.sleep(RETRY_DELAY)
                    continue
                for _ in batch:
                    self.queue.popleft()
                self._count_dropped()

    def take(self, limit: int) -> list[Pair]:
        """Returns the oldest points of the files, at most `limit`; they stay there until `sent`.

        Blocks the calling greenlet while it reads.
        """
        try:
            self.pending = self._run_in_thread(self.ring.peek, limit)
        except OSError:
            self.counts["failures"] += 1
            return []
        self._count_dropped()
        return [revive(*taken_record) for taken_record in self.pending]

    def sent(self, _pairs: list[Pair]) -> None:
        """Removes the points that `take` returned last, and counts them as sent."""
        try:
            weight = self._run_in_thread(self.ring.acknowledge, self.pending)
        except OSError:  # a restart may send these points again, which is harmless
            self.counts["failures"] += 1
            weight = sum(record_weight for record_weight, _ in self.pending)
        self.counts["sent"] += weight
        self.held -= weight

    def stop(self, unsent: list[Pair]) -> None:
        """Saves the queue and `unsent`, the points in the sender's memory, for the next process."""
        self.greenlet.kill()
        try:
            self._run_in_thread(
                self.ring.append, [record(*pair) for pair in [*self.queue, *unsent]]
            )
        except OSError:
            self.counts["failures"] += 1
        self.queue.clear()
        self.pool.kill()
