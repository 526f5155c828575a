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
PACKET_MOST = 65_535
STRING_MOST = 128  # the size of collectd's own buffers
_PART, _NUMBER, _GAUGE, _SIGNED = (
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


def values_of(one: ValueList, types: Types) -> Iterator[tuple[str, float, float, str]]:
    """Yields the series, value, time of measurement and kind (by name) of each value."""
    names = types.names(one.type, len(one.values))
    for n, (kind, value) in enumerate(one.values):
        yield one.series(n, names), value, one.at, KINDS[kind]


def decode(
    packet: bytes, secret: Callable[[str], str | None] | None = None, must: str = ""
) -> list[ValueList]:
    """Returns the value lists of a packet.

    Args:
        packet: The datagram as received.
        secret: Returns the password of a user, None if the user is unknown. Without it, signatures
            are not checked and encrypted packets are refused.
        must: The least protection that is accepted: "signed", "encrypted", or empty for any.

    Raises:
        Malformed: Any part of the packet is invalid, or its protection is too weak; nothing of the
            packet is used.
    """
    if len(packet) > PACKET_MOST:
        raise Malformed(f"packet of {len(packet)} bytes exceeds the limit of {PACKET_MOST} bytes")
    kind = _PART.unpack_from(packet)[0] if len(packet) >= 4 else -1
    if kind == ENCRYPTED:
        return _parts(_decrypted(packet, secret))
    if must == "encrypted":
        raise Malformed("the packet is not encrypted")
    if kind == SIGNED and secret is not None:
        return _parts(_verified(packet, secret))
    if must == "signed":
        raise Malformed("the packet is not signed")
    return _parts(packet)


def _parts(packet: bytes) -> list[ValueList]:
    found: list[ValueList] = []
    now = ValueList()
    at = 0
    while at < len(packet):
        if len(packet) - at < 4:
            raise Malformed(f"byte {at}: {len(packet) - at} bytes left, a part has at least 4")
        kind, length = _PART.unpack_from(packet, at)
        if length < 4 or at + length > len(packet):
            raise Malformed(f"byte {at}: part of {length} bytes, but {len(packet) - at} bytes left")
        payload = packet[at + 4 : at + length]
        if kind in _STRINGS:
            setattr(now, _STRINGS[kind], _string(payload, at))
        elif kind in (TIME, TIME_HIGH, INTERVAL, INTERVAL_HIGH):
            if len(payload) != 8:
                raise Malformed(f"byte {at}: number of {len(payload)} bytes, expected 8")
            number = _NUMBER.unpack(payload)[0] / (1 if kind in (TIME, INTERVAL) else 1 << 30)
            setattr(now, "at" if kind in (TIME, TIME_HIGH) else "interval", float(number))
        elif kind == VALUES:
            values = _values(payload, at)
            found.append(
                ValueList(
                    now.host,
                    now.plugin,
                    now.plugin_instance,
                    now.type,
                    now.type_instance,
                    now.at,
                    now.interval,
                    values,
                )
            )
        # Messages, severities and unknown parts are ignored, as the protocol requires.
        at += length
    return found


def _string(payload: bytes, at: int) -> str:
    if not payload.endswith(b"\0") or len(payload) > STRING_MOST:
        raise Malformed(f"byte {at}: string without a final NUL, or over {STRING_MOST} bytes")
    try:
        return payload[:-1].decode()
    except UnicodeDecodeError:
        raise Malformed(f"byte {at}: string is not valid UTF-8") from None


def _values(payload: bytes, at: int) -> list[tuple[int, float]]:
    count = int.from_bytes(payload[:2], "big")
    if len(payload) != 2 + 9 * count or not count:
        raise Malformed(f"byte {at}: {count} values don't fit a payload of {len(payload)} bytes")
    found: list[tuple[int, float]] = []
    for n in range(count):
        kind, raw = payload[2 + n], payload[2 + count + 8 * n : 10 + count + 8 * n]
        if kind == GAUGE:
            found.append((kind, _GAUGE.unpack(raw)[0]))
        elif kind in (COUNTER, ABSOLUTE):
            found.append((kind, _NUMBER.unpack(raw)[0]))
        elif kind == DERIVE:
            found.append((kind, _SIGNED.unpack(raw)[0]))
        else:
            raise Malformed(f"byte {at}: unknown value kind {kind}")
    return found


def _verified(packet: bytes, secret: Callable[[str], str | None]) -> bytes:
    length = _PART.unpack_from(packet)[1]
    if not 36 < length <= len(packet):
        raise Malformed(f"byte 0: signature part of {length} bytes, packet of {len(packet)}")
    mac, name, rest = packet[4:36], packet[36:length], packet[length:]
    password = secret(name.decode("utf-8", "replace"))
    if password is None:
        raise Malformed(f"signed by unknown user {name[:40]!r}")
    if not hmac.compare_digest(mac, hmac.digest(password.encode(), name + rest, "sha256")):
        raise Malformed(f"wrong signature for user {name[:40]!r}")
    return rest


def _decrypted(packet: bytes, secret: Callable[[str], str | None] | None) -> bytes:
    _, length = _PART.unpack_from(packet)
    named = int.from_bytes(packet[4:6], "big")
    begins = 6 + named + 16
    if length != len(packet) or begins + 20 > length:
        raise Malformed(f"byte 0: encrypted part of {length} bytes, packet of {len(packet)}")
    name = packet[6 : 6 + named].decode("utf-8", "replace")
    password = secret(name) if secret else None
    if password is None:
        raise Malformed(f"encrypted by unknown user {name[:40]!r}")
    plain = _ofb(password, packet[begins - 16 : begins], packet[begins:])
    if not hmac.compare_digest(hashlib.sha1(plain[20:]).digest(), plain[:20]):
        raise Malformed(f"wrong checksum in the packet encrypted by {name[:40]!r}")
    return plain[20:]


def _ofb(password: str, iv: bytes, data: bytes) -> bytes:
    key = hashlib.sha256(password.encode()).digest()
    turning = Cipher(algorithms.AES(key), OFB(iv)).encryptor()
    return turning.update(data) + turning.finalize()


def _part(kind: int, payload: bytes) -> bytes:
    return _PART.pack(kind, 4 + len(payload)) + payload


def encode(lists: list[ValueList], most: int = 1452) -> list[bytes]:
    """Returns the value lists as packets of at most `most` bytes.

    Within a packet, a string or time that is already in effect is not repeated. The default limit
    is collectd's own. A single value list that is larger gets a packet of its own.
    """
    packets: list[bytes] = []
    body, said = b"", ValueList()
    for one in lists:
        piece = _piece(one, said)
        if body and len(body) + len(piece) > most:
            packets.append(body)
            body, piece = b"", _piece(one, ValueList())
        body, said = body + piece, one
    return [*packets, body] if body else packets


def _piece(one: ValueList, said: ValueList) -> bytes:
    out = b""
    for kind, name in _STRINGS.items():
        text = getattr(one, name)
        if text != getattr(said, name):
            out += _part(
                kind, text.encode()[: STRING_MOST - 1].decode("utf-8", "ignore").encode() + b"\0"
            )
    for kind, value, old in (
        (TIME_HIGH, one.at, said.at),
        (INTERVAL_HIGH, one.interval, said.interval),
    ):
        if value != old:
            out += _part(kind, _NUMBER.pack(round(value * (1 << 30))))
    kinds = bytes(kind for kind, _ in one.values)
    return out + _part(
        VALUES,
        struct.pack(">H", len(one.values)) + kinds + b"".join(_value(*v) for v in one.values),
    )


def _value(kind: int, value: float) -> bytes:
    if kind == GAUGE:
        return _GAUGE.pack(value)
    if not math.isfinite(value):
        raise ValueError("only a gauge can be NaN or infinite")
    return _SIGNED.pack(int(value)) if kind == DERIVE else _NUMBER.pack(int(value) % (1 << 64))


def sign(packet: bytes, name: str, password: str) -> bytes:
    """Returns the packet with a signature part for user `name` in front."""
    user = name.encode()
    return (
        _PART.pack(SIGNED, 36 + len(user))
        + hmac.digest(password.encode(), user + packet, "sha256")
        + user
        + packet
    )


def encrypt(packet: bytes, name: str, password: str, iv: bytes) -> bytes:
    """Returns the packet encrypted for user `name`.

    `iv` is 16 bytes that must never have been used with this password before.
    """
    user = name.encode()
    sealed = _ofb(password, iv, hashlib.sha1(packet).digest() + packet)
    length = 6 + len(user) + 16 + len(sealed)
    return _PART.pack(ENCRYPTED, length) + struct.pack(">H", len(user)) + user + iv + sealed
