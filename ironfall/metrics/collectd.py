"""Encodes and decodes collectd's binary network protocol, plain, signed and encrypted.

Source: collectd's documentation, "Binary protocol" and "Networking introduction". A packet is a
sequence of *parts* (type, length, payload). A string or time stays in effect until the next part
of the same type, and each *values* part makes a value list with the strings and times in effect.
Numbers are big-endian, except gauges, which are little-endian doubles.

A signed packet begins with a part that holds the HMAC-SHA-256 of the username and everything after
it. An encrypted packet is a single part: the username, a 16-byte IV, and, encrypted with AES-256 in
OFB mode, the SHA-1 digest of the parts followed by the parts. The key is the SHA-256 digest of the
password.
"""

import hashlib
import hmac
import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

from ironfall.metrics.point import Malformed
from ironfall.metrics.types import Types

try:  # newer versions keep OFB in the module of modes that new protocols should not use
    from cryptography.hazmat.decrepit.ciphers.modes import OFB
except ImportError:
    from cryptography.hazmat.primitives.ciphers.modes import OFB

HOST, TIME, PLUGIN, PLUGIN_INSTANCE, TYPE, TYPE_INSTANCE, VALUES, INTERVAL = range(8)
TIME_HIGH, INTERVAL_HIGH = 8, 9
MESSAGE, SEVERITY, SIGNED, ENCRYPTED = 0x100, 0x101, 0x200, 0x210
COUNTER, GAUGE, DERIVE, ABSOLUTE = range(4)
KINDS = ("counter", "gauge", "derive", "absolute")
MAX_PACKET_BYTES = 65_535
MAX_STRING_BYTES = 128  # the size of collectd's own buffers
_PART_HEADER, _UINT64, _DOUBLE, _INT64 = (
    struct.Struct(">HH"),
    struct.Struct(">Q"),
    struct.Struct("<d"),
    struct.Struct(">q"),
)
_STRINGS = {
    HOST: "host",
    PLUGIN: "plugin",
    PLUGIN_INSTANCE: "plugin_instance",
    TYPE: "type",
    TYPE_INSTANCE: "type_instance",
}


@dataclass(slots=True)
class ValueList:
    """Values that were measured together.

    Attributes:
        host: The host that measured them.
        plugin: The plugin that measured them.
        plugin_instance: The instance of the plugin; may be empty.
        type: The type, which names the values (see `Types`).
        type_instance: The instance of the type; may be empty.
        at: When they were measured, in seconds since 1970.
        interval: The measuring interval in seconds.
        values: Each value with its kind (COUNTER, GAUGE, DERIVE or ABSOLUTE). A gauge is a float,
            NaN if unknown; the other kinds are integers.
    """

    host: str = ""
    plugin: str = ""
    plugin_instance: str = ""
    type: str = ""
    type_instance: str = ""
    at: float = 0.0
    interval: float = 0.0
    values: list[tuple[int, float]] = field(default_factory=list)

    def series(self, n: int = 0, names: tuple[str, ...] = ("value",)) -> str:
        """Returns the series name of value `n`, the same as collectd's own Graphite writer uses.

        Args:
            n: The index of the value.
            names: The names of the values; used if the list has several.

        Returns:
            `host.plugin-instance.type-instance[.name]`.
        """
        host = self.host.replace(".", "_")
        plugin = self.plugin + (f"-{self.plugin_instance}" if self.plugin_instance else "")
        kind = self.type + (f"-{self.type_instance}" if self.type_instance else "")
        source = f".{names[n]}" if len(self.values) > 1 and n < len(names) else ""
        return f"{host}.{plugin}.{kind}{source}"


def values_of(value_list: ValueList, types: Types) -> Iterator[tuple[str, float, float, str]]:
    """Yields the series, value, time of measurement and kind (by name) of each value."""
    names = types.names(value_list.type, len(value_list.values))
    for n, (kind, value) in enumerate(value_list.values):
        yield value_list.series(n, names), value, value_list.at, KINDS[kind]


def decode(
    packet: bytes, password_of: Callable[[str], str | None] | None = None, required: str = ""
) -> list[ValueList]:
    """Returns the value lists of a packet.

    Args:
        packet: The datagram as received.
        password_of: Returns the password of a user, None if the user is unknown. Without it,
            signatures are not checked and encrypted packets are refused.
        required: The least protection that is accepted: "signed", "encrypted", or empty for any.

    Raises:
        Malformed: Any part of the packet is invalid, or its protection is too weak; nothing of the
            packet is used.
    """
    if len(packet) > MAX_PACKET_BYTES:
        raise Malformed(
            f"packet of {len(packet)} bytes exceeds the limit of {MAX_PACKET_BYTES} bytes"
        )
    kind = _PART_HEADER.unpack_from(packet)[0] if len(packet) >= 4 else -1
    if kind == ENCRYPTED:
        return _parse_parts(_decrypt(packet, password_of))
    if required == "encrypted":
        raise Malformed("the packet is not encrypted")
    if kind == SIGNED and password_of is not None:
        return _parse_parts(_verify(packet, password_of))
    if required == "signed":
        raise Malformed("the packet is not signed")
    return _parse_parts(packet)


def _parse_parts(packet: bytes) -> list[ValueList]:
    value_lists: list[ValueList] = []
    current = ValueList()
    offset = 0
    while offset < len(packet):
        if len(packet) - offset < 4:
            raise Malformed(
                f"byte {offset}: {len(packet) - offset} bytes left, a part has at least 4"
            )
        kind, length = _PART_HEADER.unpack_from(packet, offset)
        if length < 4 or offset + length > len(packet):
            raise Malformed(
                f"byte {offset}: part of {length} bytes, but {len(packet) - offset} bytes left"
            )
        payload = packet[offset + 4 : offset + length]
        if kind in _STRINGS:
            setattr(current, _STRINGS[kind], _parse_string(payload, offset))
        elif kind in (TIME, TIME_HIGH, INTERVAL, INTERVAL_HIGH):
            if len(payload) != 8:
                raise Malformed(f"byte {offset}: number of {len(payload)} bytes, expected 8")
            number = _UINT64.unpack(payload)[0] / (1 if kind in (TIME, INTERVAL) else 1 << 30)
            setattr(current, "at" if kind in (TIME, TIME_HIGH) else "interval", float(number))
        elif kind == VALUES:
            values = _parse_values(payload, offset)
            value_lists.append(
                ValueList(
                    current.host,
                    current.plugin,
                    current.plugin_instance,
                    current.type,
                    current.type_instance,
                    current.at,
                    current.interval,
                    values,
                )
            )
        # Messages, severities and unknown parts are ignored, as the protocol requires.
        offset += length
    return value_lists


def _parse_string(payload: bytes, offset: int) -> str:
    if not payload.endswith(b"\0") or len(payload) > MAX_STRING_BYTES:
        raise Malformed(
            f"byte {offset}: string without a final NUL, or over {MAX_STRING_BYTES} bytes"
        )
    try:
        return payload[:-1].decode()
    except UnicodeDecodeError:
        raise Malformed(f"byte {offset}: string is not valid UTF-8") from None


def _parse_values(payload: bytes, offset: int) -> list[tuple[int, float]]:
    count = int.from_bytes(payload[:2], "big")
    if len(payload) != 2 + 9 * count or not count:
        raise Malformed(
            f"byte {offset}: {count} values don't fit a payload of {len(payload)} bytes"
        )
    values: list[tuple[int, float]] = []
    for n in range(count):
        kind, raw = payload[2 + n], payload[2 + count + 8 * n : 10 + count + 8 * n]
        if kind == GAUGE:
            values.append((kind, _DOUBLE.unpack(raw)[0]))
        elif kind in (COUNTER, ABSOLUTE):
            values.append((kind, _UINT64.unpack(raw)[0]))
        elif kind == DERIVE:
            values.append((kind, _INT64.unpack(raw)[0]))
        else:
            raise Malformed(f"byte {offset}: unknown value kind {kind}")
    return values


def _verify(packet: bytes, password_of: Callable[[str], str | None]) -> bytes:
    length = _PART_HEADER.unpack_from(packet)[1]
    if not 36 < length <= len(packet):
        raise Malformed(f"byte 0: signature part of {length} bytes, packet of {len(packet)}")
    mac, name, rest = packet[4:36], packet[36:length], packet[length:]
    password = password_of(name.decode("utf-8", "replace"))
    if password is None:
        raise Malformed(f"signed by unknown user {name[:40]!r}")
    if not hmac.compare_digest(mac, hmac.digest(password.encode(), name + rest, "sha256")):
        raise Malformed(f"wrong signature for user {name[:40]!r}")
    return rest


def _decrypt(packet: bytes, password_of: Callable[[str], str | None] | None) -> bytes:
    _, length = _PART_HEADER.unpack_from(packet)
    name_length = int.from_bytes(packet[4:6], "big")
    data_start = 6 + name_length + 16
    if length != len(packet) or data_start + 20 > length:
        raise Malformed(f"byte 0: encrypted part of {length} bytes, packet of {len(packet)}")
    name = packet[6 : 6 + name_length].decode("utf-8", "replace")
    password = password_of(name) if password_of else None
    if password is None:
        raise Malformed(f"encrypted by unknown user {name[:40]!r}")
    plain = _apply_ofb(password, packet[data_start - 16 : data_start], packet[data_start:])
    if not hmac.compare_digest(hashlib.sha1(plain[20:]).digest(), plain[:20]):
        raise Malformed(f"wrong checksum in the packet encrypted by {name[:40]!r}")
    return plain[20:]


def _apply_ofb(password: str, iv: bytes, data: bytes) -> bytes:
    key = hashlib.sha256(password.encode()).digest()
    cipher = Cipher(algorithms.AES(key), OFB(iv)).encryptor()
    return cipher.update(data) + cipher.finalize()


def _encode_part(kind: int, payload: bytes) -> bytes:
    return _PART_HEADER.pack(kind, 4 + len(payload)) + payload


def encode(lists: list[ValueList], max_bytes: int = 1452) -> list[bytes]:
    """Returns the value lists as packets of at most `most` bytes.

    Within a packet, a string or time that is already in effect is not repeated. The default limit
    is collectd's own. A single value list that is larger gets a packet of its own.
    """
    packets: list[bytes] = []
    body, previous = b"", ValueList()
    for value_list in lists:
        encoded = _encode_value_list(value_list, previous)
        if body and len(body) + len(encoded) > max_bytes:
            packets.append(body)
            body, encoded = b"", _encode_value_list(value_list, ValueList())
        body, previous = body + encoded, value_list
    return [*packets, body] if body else packets


def _encode_value_list(value_list: ValueList, previous: ValueList) -> bytes:
    encoded = b""
    for kind, name in _STRINGS.items():
        text = getattr(value_list, name)
        if text != getattr(previous, name):
            encoded += _encode_part(
                kind,
                text.encode()[: MAX_STRING_BYTES - 1].decode("utf-8", "ignore").encode() + b"\0",
            )
    for kind, value, previous_value in (
        (TIME_HIGH, value_list.at, previous.at),
        (INTERVAL_HIGH, value_list.interval, previous.interval),
    ):
        if value != previous_value:
            encoded += _encode_part(kind, _UINT64.pack(round(value * (1 << 30))))
    kinds = bytes(kind for kind, _ in value_list.values)
    return encoded + _encode_part(
        VALUES,
        struct.pack(">H", len(value_list.values))
        + kinds
        + b"".join(_encode_value(*v) for v in value_list.values),
    )


def _encode_value(kind: int, value: float) -> bytes:
    if kind == GAUGE:
        return _DOUBLE.pack(value)
    if not math.isfinite(value):
        raise ValueError("only a gauge can be NaN or infinite")
    return _INT64.pack(int(value)) if kind == DERIVE else _UINT64.pack(int(value) % (1 << 64))


def sign(packet: bytes, name: str, password: str) -> bytes:
    """Returns the packet with a signature part for user `name` in front."""
    user = name.encode()
    return (
        _PART_HEADER.pack(SIGNED, 36 + len(user))
        + hmac.digest(password.encode(), user + packet, "sha256")
        + user
        + packet
    )


def encrypt(packet: bytes, name: str, password: str, iv: bytes) -> bytes:
    """Returns the packet encrypted for user `name`.

    `iv` is 16 bytes that must never have been used with this password before.
    """
    user = name.encode()
    encrypted = _apply_ofb(password, iv, hashlib.sha1(packet).digest() + packet)
    length = 6 + len(user) + 16 + len(encrypted)
    return (
        _PART_HEADER.pack(ENCRYPTED, length) + struct.pack(">H", len(user)) + user + iv + encrypted
    )
