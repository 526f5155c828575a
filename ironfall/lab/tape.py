"""What crossed the sockets, one JSON object a line, as hosts, proxies and clients saw it. Times: tenths of a ms."""

import heapq
import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from google.protobuf.message import Message

from ironfall.api.codec import unpack_state

SECOND = 10_000


class Tape:
    """Written through a buffer; `who` stands on every line. The clock is the machine's, the same in all processes."""

    def __init__(self, path: str | Path) -> None:
        self.file = open(path, "a", buffering=1 << 16)

    def teller(self, who: str) -> Any:
        def tell(what: str, **about: Any) -> None:
            row = {"t": int(time.monotonic() * SECOND), "e": what, "who": who}
            for name, value in about.items():
                row[name] = _plain(value)
            self.file.write(json.dumps(row, separators=(",", ":")) + "\n")

        return tell

    def flush(self) -> None:
        self.file.flush()


def _plain(value: Any) -> Any:
    if not isinstance(value, Message):
        return value
    delta = unpack_state(value)
    return {
        "epoch": delta.epoch,
        "start": delta.start,
        "to": delta.to,
        "checksum": delta.checksum,
        "binds": sorted(delta.binds.items()),
        "lines": delta.lines,
        "outs": delta.outs,
        "admits": delta.admits,
        "carried": [(c.version, c.waited_us, c.lines) for c in value.carried],
    }


def read(*paths: str | Path) -> Iterator[dict[str, Any]]:
    """All rows in the order of their times. A line cut short by a kill ends its tape."""
    yield from heapq.merge(*map(_rows, paths), key=lambda row: row["t"])


def _rows(path: str | Path) -> Iterator[dict[str, Any]]:
    with open(path) as file:
        for line in file:
            try:
                yield json.loads(line)
            except ValueError:
                return
