"""Reads and parses operators' files in a separate process, to protect the director from bad files.

    python -m ironfall.files.reader PATH LIMIT [KNOWN_DIGEST]

Huge or deeply nested files, or what is not a file at all, take no time or memory of the director.
Prints a JSON object: `digest` and `owner`; unless the digest is KNOWN_DIGEST, also `set` and
`packed`, or `faults`. Or only `cause` if there was nothing to parse: the path is missing, changed
during the reading, is no regular file, is not readable or is over the limit. Exits with 0 in all of
these cases.
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

MAX_FRAGMENTS = 1_000
MAX_MEMORY_BYTES = 2 * 2**30
SUFFIXES = (".sexp", ".json")


class UnusableFileError(Exception):
    """There is nothing to parse; the text says why."""


def fragment_paths(path: str) -> list[str]:
    """Returns the files of a set: the path, or a folder's files with a known suffix, in order.

    Raises:
        UnusableFileError: A folder has no fragments or too many.
    """
    if not os.path.isdir(path):
        return [path]
    names = sorted(
        name
        for name in os.listdir(path)
        if name.endswith(SUFFIXES) and not name.startswith((".", "#"))
    )
    if len(names) > MAX_FRAGMENTS:
        raise UnusableFileError(f"{len(names)} fragments, over the limit of {MAX_FRAGMENTS}")
    if not names:
        raise UnusableFileError(f"the folder has no fragments ({', '.join(SUFFIXES)})")
    return [os.path.join(path, name) for name in names]


def read_file(path: str, limit: int) -> tuple[bytes, str]:
    """Returns a file's bytes and the name of its owner.

    Does not wait for a writer, as opening a FIFO in the usual way would.

    Raises:
        UnusableFileError: It is no regular file, over the limit, or changed during the reading.
    """
    handle = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        before = os.fstat(handle)
        if not stat.S_ISREG(before.st_mode):
            raise UnusableFileError(f"{os.path.basename(path)} is not a regular file")
        if before.st_size > limit:
            raise UnusableFileError(
                f"{os.path.basename(path)} has {before.st_size} bytes, over the limit of {limit}"
            )
        content = bytearray()
        while data := os.read(handle, 1 << 20):
            content += data
            if len(content) > limit:
                raise UnusableFileError(f"{os.path.basename(path)} has over {limit} bytes")
        after = os.fstat(handle)
        if (before.st_size, before.st_mtime_ns) != (after.st_size, after.st_mtime_ns) or len(
            content
        ) != after.st_size:
            raise UnusableFileError(f"{os.path.basename(path)} changed while it was read")
        try:
            owner = pwd.getpwuid(after.st_uid).pw_name
        except KeyError:
            owner = str(after.st_uid)
        return bytes(content), owner
    finally:
        os.close(handle)


def read(path: str, limit: int, known_digest: str = "") -> dict[str, Any]:
    """Reads and parses a file, or a folder of fragments.

    Args:
        path: Of the file or the folder.
        limit: Of the size of all fragments together, in bytes.
        known_digest: A set with this digest is not parsed.

    Returns:
        The object that the module's description specifies.
    """
    try:
        fragments, owners, bytes_left = [], set(), limit
        for name in fragment_paths(path):
            data, owner = read_file(name, bytes_left)
            bytes_left -= len(data)
            fragments.append((os.path.basename(name), data))
            owners.add(owner)
        # If a fragment was added or removed meanwhile, this is a mixture of two sets.
        if [os.path.basename(name) for name in fragment_paths(path)] != [
            name for name, _ in fragments
        ]:
            raise UnusableFileError("fragments were added or removed while they were read")
    except UnusableFileError as error:
        return {"cause": str(error)}
    except OSError as error:
        return {"cause": f"{error.strerror} ({os.path.basename(error.filename or path)})"}
    digest = hashlib.sha256()
    for name, data in fragments:
        digest.update(f"{name}:{len(data)}:".encode() + data)
    result: dict[str, Any] = {"digest": digest.hexdigest()[:16], "owner": ", ".join(sorted(owners))}
    if result["digest"] != known_digest:
        try:
            result["set"] = read_set(fragments).as_json()
            result["packed"] = pack({name: data.decode() for name, data in fragments})
        except Unreadable as error:
            result["faults"] = [str(fault) for fault in error.faults]
    return result


def main() -> None:
    """Reads the files that the command line names and prints the result."""
    path, limit, *known_digest = sys.argv[1:]
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY_BYTES, MAX_MEMORY_BYTES))
    resource.setrlimit(resource.RLIMIT_CPU, (60, 60))
    try:
        result = read(path, int(limit), *known_digest)
    except MemoryError:
        result = {"cause": f"reading it takes over {MAX_MEMORY_BYTES >> 20} MiB"}
    json.dump(result, sys.stdout)


if __name__ == "__main__":
    main()
