"""What a member keeps on its disk, and its identity."""

from dataclasses import dataclass, field

from ironfall.consensus.configuration import Configuration
from ironfall.consensus.log import Entry


def member_identity(name: str, incarnation: str) -> str:
    """Returns the identity of a member.

    The incarnation is drawn when a disk is first used, so that a process that lost its disk is
    another member.
    """
    return f"{name}/{incarnation}"


@dataclass
class PersistedState:
    """What was on the disk at start.

    Attributes:
        boot_id: of the last start.
        term: the current term.
        vote: who was voted for in this term; empty if nobody.
        snapshot: the last one; empty if there is none.
        entries: those after the snapshot.
        initial_configuration: the group's first one, the same on all its members; empty for a
            member that waits to be added.
    """

    boot_id: int = 0
    term: int = 0
    vote: str = ""
    snapshot: bytes = b""
    entries: list[Entry] = field(default_factory=list)
    initial_configuration: Configuration = field(default_factory=Configuration)
