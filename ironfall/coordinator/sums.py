"""A sum over what is said to and by keepers: a byte spoilt on its way may leave JSON that is whole, and wrong.

The network's own sum has 16 bits, and says nothing of what a relay or a faulty memory did.
"""

import zlib

from ironfall.api.http import Answer

SUM = "X-Sum"  # of an answer; of a question it stands in the query, as `sum`
NAME = SUM.lower()


def asked(path: str, body: bytes | bytearray) -> str:
    return f"{path}?sum={zlib.crc32(path.encode() + body)}"


def answered(status: int, body: bytes) -> str:
    return str(zlib.crc32(b"%d " % status + body))


def whole(answer: Answer) -> bool:
    return answer.headers.get(NAME) == answered(answer.status, answer.body)
