"""A proxy's tables on its disk, by which it routes after a restart until it joins a director.

The cache is one record with a checksum in one file that is replaced atomically: a proxy that is
killed at any moment finds the previous cache or the new one. Sessions, epochs and versions are not
cached.
"""

import json
from typing import Any

from ironfall.publication.holding import CachedState, Holding
from ironfall.storage.disk import Disk
from ironfall.storage.records import decode_records
from ironfall.storage.write_ahead_log import write_file_atomically

CACHE_FILE = "held"
TEMPORARY_FILE = "held.writing"
FORMAT_VERSION = 1


def encode_tables(states: list[CachedState]) -> bytes:
    """Encodes the cached state of each class as JSON."""
    rows = [
        {"table": state.table, "outs": sorted(state.outs), "admit": state.admit} for state in states
    ]
    return json.dumps({"form": FORMAT_VERSION, "classes": rows}).encode()


def decode_tables(data: bytes, class_count: int) -> list[CachedState]:
    """Decodes what `encode_tables` returned.

    Raises:
        ValueError: The data is malformed, or is for another number of classes.
    """
    try:
        document = json.loads(data)
        version = document["form"]
        rows = document["classes"]
        if version != FORMAT_VERSION or len(rows) != class_count:
            raise ValueError(
                f"format {version} with {len(rows)} classes, "
                f"expected {FORMAT_VERSION} with {class_count}"
            )
        return [_decode_state(row) for row in rows]
    except (KeyError, TypeError, IndexError, AttributeError) as error:
        raise ValueError(f"{type(error).__name__} {error}") from None


def _decode_state(row: Any) -> CachedState:
    weights = {str(host): int(weight) for host, weight in row["table"].items() if int(weight) > 0}
    admission = None
    if row["admit"]:
        admission = (int(row["admit"][0]), int(row["admit"][1]))
    return CachedState(weights, {str(host) for host in row["outs"]}, admission)


def save_tables(disk: Disk, tables: Holding) -> None:
    """Replaces the cache. Blocks.

    Raises:
        OSError: The disk failed; the previous cache is still there.
    """
    write_file_atomically(disk, TEMPORARY_FILE, CACHE_FILE, encode_tables(tables.cached_states()))


def load_tables(disk: Disk, class_count: int) -> tuple[list[CachedState] | None, str]:
    """Reads the cache.

    Returns:
        The state of each class, or None if there is no cache or it can't be used as a whole; and
        the reason why it can't be used, or an empty string.
    """
    try:
        if CACHE_FILE not in disk.list_names():
            return None, ""
        records, _, fault = decode_records(disk.read(CACHE_FILE))
        if fault or len(records) != 1:
            return None, fault or f"{len(records)} records instead of one"
        states = decode_tables(records[0], class_count)
    except (OSError, ValueError) as error:
        return None, str(error)
    if not all(state.table.keys() - state.outs for state in states):
        return None, "a class has no host in service"
    return states, ""
