"""Checksummed records in a file: length, CRC-32 and payload. No I/O.

If a file is truncated or corrupted, decoding returns the records before the first fault and no
record that was not written.

>>> data = encode_record(b"one") + encode_record(b"two")
>>> decode_records(data)
DecodedRecords(payloads=[b'one', b'two'], valid_bytes=22, fault='')
>>> decode_records(data[:-1])
DecodedRecords(payloads=[b'one'], valid_bytes=11, fault='byte 11: record truncated: 10 of 11 bytes')
"""

import struct
import zlib
from typing import NamedTuple

from ironfall.errors import IronfallError

# Length of the payload in bytes, and its CRC-32; both unsigned, big-endian.
HEADER = struct.Struct(">II")
# Large, because a coordinator's snapshot of a large fleet is a single record.
MAX_RECORD_BYTES = 2**30


class RecordTooLargeError(IronfallError, ValueError):
    """A payload is larger than `MAX_RECORD_BYTES`."""

    def __init__(self, size: int) -> None:
        super().__init__(f"record of {size} bytes is over the limit of {MAX_RECORD_BYTES}")
        self.size = size


class DecodedRecords(NamedTuple):
    """The readable content of a file.

    Attributes:
        payloads: Payloads of all valid records before the first fault, in order.
        valid_bytes: Size of these records in the file.
        fault: What is wrong with the rest of the file; empty if nothing is.
    """

    payloads: list[bytes]
    valid_bytes: int
    fault: str


def encode_record(payload: bytes) -> bytes:
    """Returns a payload with its header.

    Raises:
        RecordTooLargeError: The payload is larger than `MAX_RECORD_BYTES`.
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
        # Zero bytes would pass for an empty record with a matching checksum.
        if not length or _checksum(payload) != checksum:
            fault = f"byte {offset}: record is empty or its checksum does not match"
            return DecodedRecords(payloads, offset, fault)
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return DecodedRecords(payloads, offset, "")


def _find_header_fault(data: bytes, offset: int) -> str:
    """Returns why there is no complete record at `offset`, or an empty text."""
    remaining = len(data) - offset
    if remaining < HEADER.size:
        return f"record header truncated: {remaining} of {HEADER.size} bytes"
    length, _ = HEADER.unpack_from(data, offset)
    if length > MAX_RECORD_BYTES:
        return f"record length of {length} bytes is over the limit of {MAX_RECORD_BYTES} bytes"
    if HEADER.size + length > remaining:
        return f"record truncated: {remaining} of {HEADER.size + length} bytes"
    return ""


def _checksum(payload: bytes) -> int:
    # The length is the CRC's initial value, so that a damaged length changes the checksum too.
    return zlib.crc32(payload, len(payload))
