"""What a proxy holds, on its disk: one that restarts picks at once, also where neither director nor registry answers.

One checked record in one file, written beside and renamed: a proxy that is killed at any moment finds the last whole
one, or none. It is no session: versions and epochs are not kept, and what was kept counts as held before joining.
"""

import json

from ironfall.publication.holding import CachedState, Holding
from ironfall.storage.disk import Disk
from ironfall.storage.records import decode_records
from ironfall.storage.write_ahead_log import write_file_atomically

NAME, FRESH = "held", "held.writing"


def pack(kept: list[CachedState]) -> bytes:
    rows = [{"table": k.table, "outs": sorted(k.outs), "admit": k.admit} for k in kept]
    return json.dumps({"form": 1, "classes": rows}).encode()


def unpack(data: bytes, classes: int) -> list[CachedState]:
    """Raises ValueError for what is none, also for another number of classes."""
    try:
        told = json.loads(data)
        if told["form"] != 1 or len(told["classes"]) != classes:
            raise ValueError(f"of form {told['form']} and {len(told['classes'])} classes")
        found = []
        for row in told["classes"]:
            table = {str(h): int(w) for h, w in row["table"].items() if int(w) > 0}
            admit = row["admit"] and (int(row["admit"][0]), int(row["admit"][1]))
            found.append(CachedState(table, {str(h) for h in row["outs"]}, admit or None))
        return found
    except (KeyError, TypeError, IndexError, AttributeError) as wrong:
        raise ValueError(f"{type(wrong).__name__} {wrong}") from None


def save(disk: Disk, holding: Holding) -> None:
    """Blocking. Raises `OSError`, and then what was kept before is still there."""
    write_file_atomically(disk, FRESH, NAME, pack(holding.cached_states()))


def load(disk: Disk, classes: int) -> tuple[list[CachedState] | None, str]:
    """What was kept, and what was wrong with it. Nothing is taken of what is torn or has no line for a class."""
    try:
        if NAME not in disk.list_names():
            return None, ""
        records, _, fault = decode_records(disk.read(NAME))
        if fault or len(records) != 1:
            return None, fault or f"{len(records)} records in place of one"
        kept = unpack(records[0], classes)
    except (OSError, ValueError) as wrong:
        return None, str(wrong)
    if not all(k.table.keys() - k.outs for k in kept):
        return None, "a class without a line"
    return kept, ""
