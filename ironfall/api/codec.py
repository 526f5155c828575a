"""Messages as bytes: protobuf with zstandard for programs, JSON for people with curl. No I/O."""

from collections.abc import Iterable
from typing import Any

import zstandard
from google.protobuf import json_format
from google.protobuf.message import DecodeError, Message

from ironfall.generated import ironfall_pb2 as pb
from ironfall.publication import Delta

PROTOBUF, JSON = "application/x-protobuf", "application/json"
COMPRESS_FROM = 400  # bytes; below that the frame costs more than it saves
_compressor = zstandard.ZstdCompressor(level=1)


class Undecodable(Exception):
    """The body is not the message it should be; the text says what and where."""


def encode(message: Message, accept: str, encodings: str = "") -> tuple[bytes, dict[str, str]]:
    """The body and its headers, in the first form that the peer accepts; JSON where it names no form."""
    if PROTOBUF not in accept:
        plain = {"preserving_proto_field_name": True, "always_print_fields_with_no_presence": True}
        text = json_format.MessageToJson(message, **plain)
        return text.encode() + b"\n", {"Content-Type": JSON}
    return _protobuf(message.SerializeToString(), encodings)


def decode(kind: type[Any], body: bytes, form: str, encoding: str, most: int) -> Any:
    """A message of `kind`; raises `Undecodable`, also where it would unpack to more than `most` bytes."""
    if encoding == "zstd":
        body = _unpack(body, most)
    elif encoding:
        raise Undecodable(f"unknown Content-Encoding {encoding}; zstd is understood")
    message = kind()
    try:
        if form.startswith(PROTOBUF):
            message.ParseFromString(body)
        elif form.startswith(JSON) or not form:
            json_format.Parse(body.decode(), message)
        else:
            raise Undecodable(f"unknown Content-Type {form}; {PROTOBUF} and {JSON} are understood")
    except (DecodeError, json_format.ParseError, UnicodeDecodeError, RecursionError) as cause:
        raise Undecodable(f"the body is no {kind.DESCRIPTOR.name}: {str(cause)[:200]}") from None
    return message


def _unpack(body: bytes, most: int) -> bytes:
    # A few bytes can unpack to gigabytes: the stated size is checked before anything is unpacked.
    try:
        size = zstandard.get_frame_parameters(body).content_size
        if size > most:
            raise Undecodable(f"the body unpacks to {size} bytes, over the limit of {most}")
        return zstandard.ZstdDecompressor().decompress(body, max_output_size=most)
    except zstandard.ZstdError as cause:
        raise Undecodable(f"the body is no zstd frame: {cause}") from None


def encode_state(
    delta: Delta, carried: list[tuple[int, int, int]], accept: str, encodings: str = ""
) -> tuple[bytes, dict[str, str]]:
    """As `encode(pack_state(...))`. The part that many proxies are told alike is made once and kept with the delta:
    protobuf messages that follow each other are one message."""
    if PROTOBUF not in accept:
        return encode(pack_state(delta, carried), accept, encodings)
    if not delta.encoded:
        delta.encoded = pack_state(delta).SerializeToString()
    own = pb.State(
        carried=[pb.Carried(version=v, waited_us=waited, lines=n) for v, waited, n in carried]
    )
    return _protobuf(delta.encoded + own.SerializeToString(), encodings)


def _protobuf(body: bytes, encodings: str) -> tuple[bytes, dict[str, str]]:
    headers = {"Content-Type": PROTOBUF}
    if "zstd" in encodings and len(body) >= COMPRESS_FROM:
        body = _compressor.compress(body)
        headers["Content-Encoding"] = "zstd"
    return body, headers


def pack_state(delta: Delta, carried: Iterable[tuple[int, int, int]] = ()) -> pb.State:
    """A delta and the channel's messages that it carries (version, microseconds waited, lines)."""
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
