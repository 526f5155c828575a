"""Encodes messages as protobuf, optionally compressed with zstandard, or as JSON. No I/O."""

from collections.abc import Iterable
from typing import Any

import zstandard
from google.protobuf import json_format
from google.protobuf.message import DecodeError, Message

from ironfall.generated import ironfall_pb2 as pb
from ironfall.publication import Delta

PROTOBUF, JSON = "application/x-protobuf", "application/json"
# Below this size, a zstandard frame costs more than it saves.
MIN_COMPRESSED_BYTES = 400
_compressor = zstandard.ZstdCompressor(level=1)


class Undecodable(Exception):
    """A body can't be decoded as the expected message; the text says what is wrong and where."""


def encode(message: Message, accept: str, encodings: str = "") -> tuple[bytes, dict[str, str]]:
    """Returns the body and its headers, as protobuf if the peer accepts that and as JSON otherwise.

    Args:
        message: The message to encode.
        accept: The peer's `Accept` header.
        encodings: The peer's `Accept-Encoding` header; zstd compresses protobuf bodies.
    """
    if PROTOBUF not in accept:
        plain = {"preserving_proto_field_name": True, "always_print_fields_with_no_presence": True}
        text = json_format.MessageToJson(message, **plain)
        return text.encode() + b"\n", {"Content-Type": JSON}
    return _finish_protobuf(message.SerializeToString(), encodings)


def decode(
    message_type: type[Any], body: bytes, content_type: str, encoding: str, max_bytes: int
) -> Any:
    """Returns the message of type `message_type` in a body.

    Args:
        message_type: The protobuf class of the expected message.
        body: The body as received.
        content_type: Its `Content-Type` header; an empty one stands for JSON.
        encoding: Its `Content-Encoding` header; empty or zstd.
        max_bytes: The limit on the size of a decompressed body.

    Raises:
        Undecodable: The body is malformed, of an unknown type, or too large when decompressed.
    """
    if encoding == "zstd":
        body = _decompress(body, max_bytes)
    elif encoding:
        raise Undecodable(f"unknown Content-Encoding {encoding}; zstd is understood")
    message = message_type()
    try:
        if content_type.startswith(PROTOBUF):
            message.ParseFromString(body)
        elif content_type.startswith(JSON) or not content_type:
            json_format.Parse(body.decode(), message)
        else:
            raise Undecodable(
                f"unknown Content-Type {content_type}; {PROTOBUF} and {JSON} are understood"
            )
    except (DecodeError, json_format.ParseError, UnicodeDecodeError, RecursionError) as error:
        raise Undecodable(
            f"the body is no {message_type.DESCRIPTOR.name}: {str(error)[:200]}"
        ) from None
    return message


def _decompress(body: bytes, max_bytes: int) -> bytes:
    # A few bytes can decompress to gigabytes, so the declared size is checked first.
    try:
        size = zstandard.get_frame_parameters(body).content_size
        if size > max_bytes:
            raise Undecodable(f"the body unpacks to {size} bytes, over the limit of {max_bytes}")
        return zstandard.ZstdDecompressor().decompress(body, max_output_size=max_bytes)
    except zstandard.ZstdError as error:
        raise Undecodable(f"the body is no zstd frame: {error}") from None


def encode_state(
    delta: Delta, carried: list[tuple[int, int, int]], accept: str, encodings: str = ""
) -> tuple[bytes, dict[str, str]]:
    """Returns what `encode(pack_state(delta, carried), accept, encodings)` does, from a cache.

    The part that is the same for many proxies is encoded once and cached in the delta: protobuf
    messages that are concatenated decode as one merged message.
    """
    if PROTOBUF not in accept:
        return encode(pack_state(delta, carried), accept, encodings)
    if not delta.encoded:
        delta.encoded = pack_state(delta).SerializeToString()
    carried_only = pb.State(
        carried=[pb.Carried(version=v, waited_us=waited, lines=n) for v, waited, n in carried]
    )
    return _finish_protobuf(delta.encoded + carried_only.SerializeToString(), encodings)


def _finish_protobuf(body: bytes, encodings: str) -> tuple[bytes, dict[str, str]]:
    """Returns the body, compressed if that pays and the peer accepts it, and its headers."""
    headers = {"Content-Type": PROTOBUF}
    if "zstd" in encodings and len(body) >= MIN_COMPRESSED_BYTES:
        body = _compressor.compress(body)
        headers["Content-Encoding"] = "zstd"
    return body, headers


def pack_state(delta: Delta, carried: Iterable[tuple[int, int, int]] = ()) -> pb.State:
    """Returns a delta as a message.

    Args:
        delta: The delta.
        carried: The messages of the control channel that it carries: of each the version, the
            microseconds that it waited, and the number of its lines.
    """
    return pb.State(
        epoch=delta.epoch,
        start=delta.start,
        to=delta.to,
        checksum=delta.checksum,
        binds=[pb.Bind(kind=k, table=t) for k, t in sorted(delta.binds.items())],
        lines=[pb.Line(table=t, host=h, weight=w) for t, h, w in delta.lines],
        turns=[pb.Turn(host=h, out=out) for h, out in delta.outs],
        admits=[pb.Admit(kind=k, level=level, tries=tries) for k, level, tries in delta.admits],
        carried=[pb.Carried(version=v, waited_us=waited, lines=n) for v, waited, n in carried],
    )


def unpack_state(state: pb.State) -> Delta:
    """Returns the delta in a message; its `carried` field is ignored."""
    return Delta(
        epoch=state.epoch,
        start=state.start,
        to=state.to,
        checksum=state.checksum,
        binds={b.kind: b.table for b in state.binds},
        lines=[(line.table, line.host, line.weight) for line in state.lines],
        outs=[(t.host, t.out) for t in state.turns],
        admits=[(a.kind, a.level, a.tries) for a in state.admits],
    )
