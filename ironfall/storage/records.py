"""Checksummed records in a file: length, CRC-32 and payload. No I/O.

Whatever byte a file was truncated or corrupted at, all records before that byte are returned, and
none that was not written.

>>> data = encode_record(b"one") + encode_record(b"two")
>>> decode_records(data)
DecodedRecords(payloads=[b'one', b'two'], valid_bytes=22, fault='')
>>> decode_records(data[:-1])
DecodedRecords(payloads=[b'one'], valid_bytes=11, fault='byte 11: 10 bytes of a record of 11')
"""

import struct
import zlib
from typing import NamedTuple

from ironfall.errors import IronfallError

# Length of the payload in bytes, and its CRC-32; both unsigned, big-endian.
HEADER = struct.Struct(">II")
# A coordinator's snapshot of a large fleet is one record.
MAX_RECORD_BYTES = 2**30


class RecordTooLargeError(IronfallError, ValueError):
    """A payload is larger than `MAX_RECORD_BYTES`."""

    def __init__(self, size: int) -> None:
        super().__init__(f"a record of {size} bytes is over the limit of {MAX_RECORD_BYTES}")
        self.size = size


class DecodedRecords(NamedTuple):
    """What could be read of a file.

    Attributes:
        payloads: of all complete records up to the first fault, in order.
        valid_bytes: size of these records in the file.
        fault: what is wrong with the rest of the file; empty if there is none.
    """

    payloads: list[bytes]
    valid_bytes: int
    fault: str


def encode_record(payload: bytes) -> bytes:
    """Returns a payload with its header.

    Raises:
        RecordTooLargeError: the payload is larger than `MAX_RECORD_BYTES`.
    """
    if len(payload) > MAX_RECORD_BYTES:
        raise RecordTooLargeError(len(payload))
    return HEADER.pack(len(payload), _checksum(payload)) + payload


def decode_records(data: bytes) -> DecodedRecords:
    """Reads records up to the end of the data or the first fault."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        fault = _find_header_fault(data, offset)
        if fault:
            return DecodedRecords(payloads, offset, f"byte {offset}: {fault}")
        length, checksum = HEADER.unpack_from(data, offset)
        start = offset + HEADER.size
        payload = data[start : start + length]
        if not length or _checksum(payload) != checksum:
            fault = f"byte {offset}: a record whose checksum differs"
            return DecodedRecords(payloads, offset, fault)
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return DecodedRecords(payloads, offset, "")


def _find_header_fault(data: bytes, offset: int) -> str:
    """Returns why there is no complete record at `offset`, or an empty text."""
    remaining = len(data) - offset
    if remaining < HEADER.size:
        return f"{remaining} bytes, too few for a record"
    length, _ = HEADER.unpack_from(data, offset)
    if length > MAX_RECORD_BYTES:
        return f"a record of {length} bytes is over the limit"
    if HEADER.size + length > remaining:
        return f"{remaining} bytes of a record of {HEADER.size + length}"
    return ""


def _checksum(payload: bytes) -> int:
    # The CRC starts from the length, so that a run of zero bytes is not taken for an empty record.
    return zlib.crc32(payload, len(payload))
