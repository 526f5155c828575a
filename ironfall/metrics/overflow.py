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

QUEUE_MOST = 20_000
WRITE_MOST = 2_000
AFTER_FAILURE = 1.0  # seconds until a failed write is retried; the queue fills in the meantime

Pair = tuple[Key, Waiting]


def record(key: Key, it: Waiting) -> WeightedRecord:
    """Encodes a waiting point for the ring; its weight is the number of points it stands for."""
    payload = json.dumps([key[0], key[1], key[2], it.value, it.how]).encode()
    return WeightedRecord(it.count, payload)


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
        self.pool, self.turn = ThreadPool(1), BoundedSemaphore(1)
        self.ring: SegmentRing = self.pool.apply(open_ring)
        self.held = self.counts["found"] = self.ring.recovered_weight
        self.lost = self.ring.dropped_weight
        self.taken: list[WeightedRecord] = []
        self.stir = Event()
        self.greenlet = gevent.spawn(self._run)

    def spill(self, key: Key, it: Waiting) -> bool:
        """Queues a point to be written; returns False if the queue is full."""
        if len(self.queue) >= QUEUE_MOST:
            return False
        self.queue.append((key, it))
        self.held += it.count
        self.stir.set()
        return True

    def _call(self, what: Callable[..., Any], *about: Any) -> Any:
        with self.turn:
            return self.pool.apply(what, about)

    def _settle(self) -> None:
        """Counts the points that the ring has discarded for lack of space as dropped."""
        lost, self.lost = self.ring.dropped_weight - self.lost, self.ring.dropped_weight
        self.counts["dropped"] += lost
        self.held -= lost

    def _run(self) -> None:
        while True:
            self.stir.wait()
            self.stir.clear()
            while self.queue:
                some = [pair for pair, _ in zip(self.queue, range(WRITE_MOST), strict=False)]
                try:
                    self._call(self.ring.append, [record(*pair) for pair in some])
                except OSError:
                    self.counts["failures"] += 1
                    gevent.sleep(AFTER_FAILURE)
                    continue
                for _ in some:
                    self.queue.popleft()
                self._settle()

    def take(self, most: int) -> list[Pair]:
        """Returns the oldest points of the files, at most `most`; they stay there until `sent`.

        Blocks the calling greenlet while it reads.
        """
        try:
            self.taken = self._call(self.ring.peek, most)
        except OSError:
            self.counts["failures"] += 1
            return []
        self._settle()
        return [revive(*one) for one in self.taken]

    def sent(self, _pairs: list[Pair]) -> None:
        """Removes the points that `take` returned last, and counts them as sent."""
        try:
            weight = self._call(self.ring.acknowledge, self.taken)
        except OSError:  # a restart may send these points again, which is harmless
            self.counts["failures"] += 1
            weight = sum(w for w, _ in self.taken)
        self.counts["sent"] += weight
        self.held -= weight

    def stop(self, rest: list[Pair]) -> None:
        """Saves the queue and `rest`, the points in the sender's memory, for the next process."""
        self.greenlet.kill()
        try:
            self._call(self.ring.append, [record(*pair) for pair in [*self.queue, *rest]])
        except OSError:
            self.counts["failures"] += 1
        self.queue.clear()
        self.pool.kill()
