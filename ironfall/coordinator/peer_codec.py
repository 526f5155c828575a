"""The wire form of the messages between coordinators: a name and a list of fields, in JSON.

Names and the order of fields are fixed: coordinators of different versions talk to each other.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from ironfall.consensus import (
    AppendEntries,
    AppendResponse,
    DiskRolledBack,
    Entry,
    Message,
    RequestVote,
    SnapshotChunk,
    SnapshotChunkResponse,
    VoteResponse,
)


@dataclass(frozen=True)
class Field:
    """A field of a message.

    Attributes:
        name: the field's name in the message's dataclass.
        decode: reads the JSON value; raises what the function `decode` of this module raises.
        encode: returns the JSON value.
    """

    name: str
    decode: Callable[[Any], Any]
    encode: Callable[[Any], Any]


def encode_entries(entries: Sequence[Entry]) -> list[Any]:
    """Returns entries as lists of term, kind, session, number and data."""
    return [[e.term, e.kind, e.session, e.number, _encode_bytes(e.data)] for e in entries]


def decode_entries(encoded: Any) -> list[Entry]:
    """Reads entries.

    Raises:
        ValueError, TypeError, AttributeError: it is no list of entries.
    """
    return [
        Entry(int(term), str(kind), int(session), int(number), _decode_bytes(data))
        for term, kind, session, number, data in encoded
    ]


def _encode_bytes(data: bytes) -> str:
    return data.decode("latin-1")


def _decode_bytes(text: Any) -> bytes:
    return bytes(text.encode("latin-1"))


def _unchanged(value: Any) -> Any:
    return value


def _integer(name: str) -> Field:
    return Field(name, int, _unchanged)


def _boolean(name: str) -> Field:
    return Field(name, bool, _unchanged)


# Names of the messages that are not of the consensus: one compares clocks (no fields), and one
# transfers leadership (fields: term, identity of the successor).
CLOCK = "clock"
LEADER_LEAVING = "left"

NAMES: dict[type[Message], str] = {
    RequestVote: "vote_wanted",
    VoteResponse: "voted",
    AppendEntries: "offered",
    AppendResponse: "took",
    SnapshotChunk: "part_offered",
    SnapshotChunkResponse: "took_part",
    DiskRolledBack: "gone_back",
}

FIELDS: dict[type[Message], tuple[Field, ...]] = {
    RequestVote: (
        _integer("boot_id"),
        _integer("term"),
        _boolean("is_pre_vote"),
        _integer("last_index"),
        _integer("last_term"),
    ),
    VoteResponse: (
        _integer("boot_id"),
        _integer("term"),
        _boolean("is_pre_vote"),
        _boolean("is_granted"),
    ),
    AppendEntries: (
        _integer("boot_id"),
        _integer("term"),
        _integer("heartbeat_round"),
        _integer("previous_index"),
        _integer("previous_term"),
        Field("entries", decode_entries, encode_entries),
        _integer("commit_index"),
    ),
    AppendResponse: (
        _integer("boot_id"),
        _integer("term"),
        _integer("heartbeat_round"),
        _boolean("is_accepted"),
        _integer("index"),
        _integer("durable_index"),
    ),
    SnapshotChunk: (
        _integer("boot_id"),
        _integer("term"),
        _integer("heartbeat_round"),
        _integer("index"),
        _integer("offset"),
        _integer("size"),
        Field("data", _decode_bytes, _encode_bytes),
    ),
    SnapshotChunkResponse: (
        _integer("boot_id"),
        _integer("term"),
        _integer("heartbeat_round"),
        _integer("index"),
        _integer("received_bytes"),
    ),
    DiskRolledBack: (_integer("boot_id"),),
}

TYPES: dict[str, type[Message]] = {name: kind for kind, name in NAMES.items()}


@dataclass(frozen=True)
class Envelope:
    """A message with its sender and receiver.

    Attributes:
        sender: the sending coordinator's identity.
        receiver: the receiving coordinator's identity.
        name: the message's wire name.
        fields: the message's fields, in their order.
        sent_at: the sender's wall clock, in tenths of a millisecond since 1970.
    """

    sender: str
    receiver: str
    name: str
    fields: Sequence[Any]
    sent_at: int

    def to_json(self) -> dict[str, Any]:
        """Returns the wire form."""
        return {
            "from": self.sender,
            "to": self.receiver,
            "what": self.name,
            "about": self.fields,
            "at": self.sent_at,
        }

    @staticmethod
    def from_json(encoded: Any) -> "Envelope":
        """Reads the wire form.

        Raises:
            ValueError, TypeError, KeyError: it is no envelope.
        """
        return Envelope(
            encoded["from"],
            encoded["to"],
            encoded["what"],
            encoded["about"],
            int(encoded["at"]),
        )


def name_of(message: Message) -> str:
    """Returns the wire name of a message."""
    return NAMES[type(message)]


def encode(message: Message) -> list[Any]:
    """Returns the fields of a message in their order."""
    fields = FIELDS[type(message)]
    return [field.encode(getattr(message, field.name)) for field in fields]


def decode(name: str, values: Any) -> Message | None:
    """Returns the message with this wire name; None if there is no such message.

    Raises:
        ValueError, TypeError, AttributeError: the values are not those of such a message.
    """
    kind = TYPES.get(name)
    if kind is None:
        return None
    fields = zip(FIELDS[kind], values, strict=True)
    return kind(**{field.name: field.decode(value) for field, value in fields})


def payload_bytes(message: Message) -> int:
    """Returns how many bytes of entries or of a snapshot a message carries."""
    if isinstance(message, AppendEntries):
        return sum(entry.size for entry in message.entries)
    if isinstance(message, SnapshotChunk):
        return len(message.data)
    return 0
