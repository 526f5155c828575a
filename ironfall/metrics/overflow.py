"""What a sender's memory has no room for, in files of bounded size, written and read off the serving greenlets.

Points come by `spill` into a short queue; a greenlet of its own writes that to the ring in a thread. A disk that is
slow fills the queue, and then points are dropped and counted. Nothing that serves proxies waits for a disk.
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
AFTER_FAILURE = 1.0  # seconds before a disk that refused is asked again; meanwhile the queue fills, and then drops

Pair = tuple[Key, Waiting]


def record(key: Key, it: Waiting) -> WeightedRecord:
    payload = json.dumps([key[0], key[1], key[2], it.value, it.how]).encode()
    return WeightedRecord(it.count, payload)


def revive(weight: int, payload: bytes) -> Pair:
    series, tags, at, value, how = json.loads(payload)
    return (series, tuple((k, v) for k, v in tags), at), Waiting(value, weight, at, how)


class Overflow:
    """`open_ring` opens the files, in a thread. Counts: found, sent, dropped; `held` is what waits, queue and file."""

    def __init__(self, open_ring: Callable[[], SegmentRing]) -> None:
        self.queue: deque[Pair] = deque()
        self.counts: Counter[str] = Counter()
        self.held = 0
        # One thread: the ring is for one at a time; and never the one that looks up names.
        self.pool, self.turn = ThreadPool(1), BoundedSemaphore(1)
        self.ring: SegmentRing = self.pool.apply(open_ring)
        self.held = self.counts["found"] = self.ring.recovered_weight
        self.lost = self.ring.dropped_weight
        self.taken: list[WeightedRecord] = []
        self.stir = Event()
        self.greenlet = gevent.spawn(self._run)

    def spill(self, key: Key, it: Waiting) -> bool:
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
        """What the ring had no room for is held no longer."""
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
        """The oldest in the file; on the sender's greenlet, which may wait. They stay until `sent`."""
        try:
            self.taken = self._call(self.ring.peek, most)
        except OSError:
            self.counts["failures"] += 1
            return []
        self._settle()
        return [revive(*one) for one in self.taken]

    def sent(self, _pairs: list[Pair]) -> None:
        try:
            weight = self._call(self.ring.acknowledge, self.taken)
        except OSError:  # sent, and may come again after a restart: to send twice is safe
            self.counts["failures"] += 1
            weight = sum(w for w, _ in self.taken)
        self.counts["sent"] += weight
        self.held -= weight

    def stop(self, rest: list[Pair]) -> None:
        """Puts by what waits, also `rest` of the sender's memory, for the next process to send."""
        self.greenlet.kill()
        try:
            self._call(self.ring.append, [record(*pair) for pair in [*self.queue, *rest]])
        except OSError:
            self.counts["failures"] += 1
        self.queue.clear()
        self.pool.kill()
