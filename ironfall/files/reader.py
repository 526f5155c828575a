"""Reads and parses operators' files in a process of its own: what is huge, nested or no file costs a director nothing.

    python -m ironfall.files.reader PATH LIMIT [KNOWN]

Prints one JSON object: `digest`, and unless it is KNOWN `packed` and `set`, or `faults`; or `cause`, when there is
nothing to parse (missing, changed while it was read, a FIFO, no permission, over the limit). Exit 0 in all of these.
"""

import hashlib
import json
import os
import pwd
import resource
import stat
import sys
from typing import Any

from ironfall.files.notation import read_set
from ironfall.files.store import pack
from ironfall.sexp import Unreadable

FRAGMENTS_MOST = 1_000
MEMORY_MOST = 2 * 2**30
SUFFIXES = (".sexp", ".json")


class Unusable(Exception):
    """There is nothing to parse; the text says why."""


def names_in(path: str) -> list[str]:
    """The files of a set: the path itself, or of a folder those with a known suffix, in order."""
    if not os.path.isdir(path):
        return [path]
    names = sorted(
        n for n in os.listdir(path) if n.endswith(SUFFIXES) and not n.startswith((".", "#"))
    )
    if len(names) > FRAGMENTS_MOST:
        raise Unusable(f"{len(names)} fragments, over the limit of {FRAGMENTS_MOST}")
    if not names:
        raise Unusable(f"no fragment ({', '.join(SUFFIXES)}) is there")
    return [os.path.join(path, name) for name in names]


def read_file(path: str, limit: int) -> tuple[bytes, str]:
    """Its bytes and its owner; raises `Unusable`. Never waits for a writer, as opening a FIFO would."""
    handle = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        before = os.fstat(handle)
        if not stat.S_ISREG(before.st_mode):
            raise Unusable(f"{os.path.basename(path)} is no plain file")
        if before.st_size > limit:
            raise Unusable(
                f"{os.path.basename(path)} has {before.st_size} bytes, over the limit of {limit}"
            )
        found = bytearray()
        while data := os.read(handle, 1 << 20):
            found += data
            if len(found) > limit:
                raise Unusable(f"{os.path.basename(path)} has over {limit} bytes")
        after = os.fstat(handle)
        if (before.st_size, before.st_mtime_ns) != (after.st_size, after.st_mtime_ns) or len(
            found
        ) != after.st_size:
            raise Unusable(f"{os.path.basename(path)} changed while it was read")
        try:
            owner = pwd.getpwuid(after.st_uid).pw_name
        except KeyError:
            owner = str(after.st_uid)
        return bytes(found), owner
    finally:
        os.close(handle)


def read(path: str, limit: int, known: str = "") -> dict[str, Any]:
    try:
        fragments, owners, left = [], set(), limit
        for name in names_in(path):
            data, owner = read_file(name, left)
            left -= len(data)
            fragments.append((os.path.basename(name), data))
            owners.add(owner)
        # A fragment that came or went meanwhile makes another set.
        if [os.path.basename(n) for n in names_in(path)] != [n for n, _ in fragments]:
            raise Unusable("fragments came or went while they were read")
    except Unusable as wrong:
        return {"cause": str(wrong)}
    except OSError as wrong:
        return {"cause": f"{wrong.strerror} ({os.path.basename(wrong.filename or path)})"}
    digest = hashlib.sha256()
    for name, data in fragments:
        digest.update(f"{name}:{len(data)}:".encode() + data)
    found: dict[str, Any] = {"digest": digest.hexdigest()[:16], "owner": ", ".join(sorted(owners))}
    if found["digest"] != known:
        try:
            found["set"] = read_set(fragments).as_json()
            found["packed"] = pack({name: data.decode() for name, data in fragments})
        except Unreadable as wrong:
            found["faults"] = [str(fault) for fault in wrong.faults]
    return found


def main() -> None:
    path, limit, *known = sys.argv[1:]
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY_MOST, MEMORY_MOST))
    resource.setrlimit(resource.RLIMIT_CPU, (60, 60))
    try:
        found = read(path, int(limit), *known)
    except MemoryError:
        found = {"cause": f"reading it takes over {MEMORY_MOST >> 20} MiB"}
    json.dump(found, sys.stdout)


if __name__ == "__main__":
    main()
