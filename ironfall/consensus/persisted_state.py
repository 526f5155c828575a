"""The state that a member keeps on its disk, and its identity."""

from dataclasses import dataclass, field

from ironfall.consensus.configuration import Configuration
from ironfall.consensus.log import Entry


def member_identity(name: str, incarnation: str) -> str:
    """Returns the identity of a member.

    The incarnation is drawn at the first use of a disk, so that a process that lost its disk comes
    back as a different member.
    """
    return f"{name}/{incarnation}"


@dataclass
class PersistedState:
    """The state read from the disk at start.

    Attributes:
        boot_id: Boot id of the previous start.
        term: The current term.
        vote: Member that got this member's vote in the term; empty if none.
        snapshot: The last snapshot; empty if there is none.
        entries: Entries after the snapshot.
        initial_configuration: The group's first configuration, the same on all its members; empty
            for a member that waits to be added.
    """

    boot_id: int = 0
    term: int = 0
    vote: str = ""
    snapshot: bytes = b""
    entries: list[Entry] = field(default_factory=list)
    initial_configuration: Configuration = field(default_factory=Configuration)
