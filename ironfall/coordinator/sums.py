"""Checksums of requests to coordinators and of their answers.

A byte that is corrupted on its way may leave JSON that is valid, and wrong. TCP's checksum has only
16 bits, and covers neither what a relay does nor a faulty memory.
"""

import zlib

from ironfall.api.http import Answer

CHECKSUM_HEADER = "X-Sum"  # header of an answer; a request has its checksum in the query, as `sum`
CHECKSUM_HEADER_KEY = CHECKSUM_HEADER.lower()


def with_checksum(path: str, body: bytes | bytearray) -> str:
    """Returns a request's path with the checksum of path and body as its query."""
    return f"{path}?sum={zlib.crc32(path.encode() + body)}"


def answer_checksum(status: int, body: bytes) -> str:
    """Returns the checksum of an answer."""
    return str(zlib.crc32(b"%d " % status + body))


def is_intact(answer: Answer) -> bool:
    """Returns whether an answer has a checksum that matches it."""
    return answer.headers.get(CHECKSUM_HEADER_KEY) == answer_checksum(answer.status, answer.body)
