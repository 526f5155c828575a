"""Records in a file: length, checksum, payload. No I/O.

A file that was cut or garbled anywhere still tells all of its records before that place, and nothing that was not
written: a record counts only whole and with its checksum.

>>> data = encode_record(b"one") + encode_record(b"two")
>>> decode_records(data)
([b'one', b'two'], 22, '')
>>> decode_records(data[:-1])
([b'one'], 11, 'byte 11: 10 bytes of a record of 11')
"""

import struct
import zlib

HEAD = struct.Struct(">II")
RECORD_MOST = 2**30  # a keeper's snapshot of a large fleet is one record


def encode_record(payload: bytes) -> bytes:
    if len(payload) > RECORD_MOST:
        raise ValueError(f"a record of {len(payload)} bytes is over the limit of {RECORD_MOST}")
    return HEAD.pack(len(payload), zlib.crc32(payload, len(payload))) + payload


def decode_records(data: bytes) -> tuple[list[bytes], int, str]:
    """Whole records in order, the bytes that they take, and what was wrong with the rest (nothing: all good)."""
    found: list[bytes] = []
    at = 0
    while at < len(data):
        rest = len(data) - at
        if rest < HEAD.size:
            return found, at, f"byte {at}: {rest} bytes, too few for a record"
        length, checksum = HEAD.unpack_from(data, at)
        if length > RECORD_MOST:
            return found, at, f"byte {at}: a record of {length} bytes is over the limit"
        if HEAD.size + length > rest:
            return found, at, f"byte {at}: {rest} bytes of a record of {HEAD.size + length}"
        payload = data[at + HEAD.size : at + HEAD.size + length]
        # The length goes into the checksum: a run of noughts is no empty record's.
        if zlib.crc32(payload, length) != checksum or not length:
            return found, at, f"byte {at}: a record whose checksum differs"
        found.append(payload)
        at += HEAD.size + length
    return found, at, ""
