"""Keeps a director's measurements in round-robin files, which need no server.

Each series has a file of fixed size in which older points have a coarser resolution. The format is
whisper, Graphite's own, so that Graphite's tools can read the files. Points are buffered for some
seconds and written in a thread: if the disk is slow or full, points are dropped and counted, and
nothing else is affected.
"""

import os
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import gevent
import whisper
from gevent.threadpool import ThreadPool

from ironfall.metrics.point import Malformed, Point
from ironfall.metrics.retention import series_path

WRITE_INTERVAL = 5.0
MAX_WAITING_POINTS = 50_000  # points that wait to be written
AGGREGATION_METHODS = {"last": "last", "mean": "average", "max": "max"}


class Rounds:
    """The round-robin files of one folder.

    Args:
        folder: The folder of the files; created if it does not exist.
        retentions: The retentions of new files, as returned by `archives`.
        max_series: The limit of series; points of further series are counted as refused.
        clock: Returns the time in seconds since 1970.
    """

    def __init__(
        self,
        folder: Path,
        retentions: list[tuple[int, int]],
        max_series: int,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.folder, self.retentions, self.max_series, self.clock = (
            folder,
            retentions,
            max_series,
            clock,
        )
        self.buffered: dict[
            tuple[str, tuple[tuple[str, str], ...]], tuple[str, list[tuple[int, float]]]
        ] = {}
        self.waiting = 0
        self.counts: Counter[str] = Counter()
        folder.mkdir(parents=True, exist_ok=True)
        self.existing = {path for path in folder.rglob("*.wsp")}
        self.pool = ThreadPool(1)
        self.greenlet = gevent.spawn(self._run)

    def put(self, point: Point, how: str = "last") -> None:
        """Buffers a point; `how`, a key of AGGREGATION_METHODS, aggregates older points."""
        self.counts["put"] += 1
        if self.waiting >= MAX_WAITING_POINTS:
            self.counts["dropped"] += 1
            return
        self.waiting += 1
        self.buffered.setdefault((point.series, point.tags), (how, []))[1].append(
            (int(point.at), point.value)
        )

    def _run(self) -> None:
        while True:
            gevent.sleep(WRITE_INTERVAL)
            self.flush()

    def flush(self) -> None:
        """Writes the buffered points, and blocks the calling greenlet until they are written."""
        buffered, self.buffered, self.waiting = self.buffered, {}, 0
        self.pool.apply(self._write, (buffered,))

    def _write(self, buffered: dict) -> None:  # type: ignore[type-arg]
        for (series, tags), (how, points) in buffered.items():
            try:
                path = series_path(self.folder, series, tags)
                if path not in self.existing:
                    if len(self.existing) >= self.max_series:
                        self.counts["refused"] += len(points)
                        continue
                    path.parent.mkdir(parents=True, exist_ok=True)
                    # Created under a temporary name, so that a director that is killed meanwhile
                    # leaves no incomplete file.
                    temporary = path.with_suffix(".new")
                    temporary.unlink(missing_ok=True)
                    whisper.create(str(temporary), self.retentions, 0.0, AGGREGATION_METHODS[how])
                    os.replace(temporary, path)
                    self.existing.add(path)
                whisper.update_many(str(path), points, int(self.clock()))
                self.counts["written"] += len(points)
            except (OSError, Malformed, whisper.WhisperException):
                self.counts["failed"] += len(points)

    def stop(self) -> None:
        """Writes the buffered points and stops."""
        self.greenlet.kill()
        self.flush()
        self.pool.kill()


def window(path: Path, since: float, until: float) -> list[tuple[float, float]]:
    """Returns the points of a file between two times, in order.

    Raises:
        Malformed: The file can't be read as a whisper file.
    """
    try:
        fetched = whisper.fetch(str(path), int(since), int(until), int(time.time()))
    except (OSError, whisper.WhisperException) as error:
        raise Malformed(f"{path}: {error}") from None
    if fetched is None:
        return []
    (start, _, step), values = fetched
    return [(float(start + n * step), v) for n, v in enumerate(values) if v is not None]


def series_of(folder: Path) -> dict[str, Path]:
    """Returns the files of the folder by the names of their series."""
    return {
        ".".join(p.relative_to(folder).with_suffix("").parts): p
        for p in sorted(folder.rglob("*.wsp"))
    }
