"""Detects members whose disk was rolled back: restored from a copy, or reverted by its hardware.

Members remember what each peer has answered for. A peer that comes back knowing less has an older
disk, which would break its promises. A boot id is a count, raised durably at each start before
anything is sent, and random bits: two boots of one count are a disk and its copy.
"""

import random
from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

BOOT_RANDOM_BITS = 20


def next_boot_id(previous: int, random_source: random.Random) -> int:
    """Returns the boot id of a start that follows the boot `previous`."""
    count = _boot_count(previous) + 1
    return (count << BOOT_RANDOM_BITS) + random_source.getrandbits(BOOT_RANDOM_BITS)


def _boot_count(boot_id: int) -> int:
    return boot_id >> BOOT_RANDOM_BITS


class SenderStatus(Enum):
    """What a message shows of its sender's disk.

    Attributes:
        TRUSTED: it holds all that the sender answered for.
        EARLIER_BOOT: a late message, or a rolled-back disk; the sender itself can tell.
        ROLLED_BACK: it was rolled back, which is seen for the first time.
        KNOWN_ROLLED_BACK: it was rolled back, as seen before.
    """

    TRUSTED = "trusted"
    EARLIER_BOOT = "earlier boot"
    ROLLED_BACK = "rolled back"
    KNOWN_ROLLED_BACK = "known rolled back"


class Attestation(NamedTuple):
    """The most that a member has answered for, which its disk must hold.

    Attributes:
        boot_id: of the member when it was heard last.
        term: of a vote or of accepted entries.
        last_index: of entries accepted in that term.
    """

    boot_id: int
    term: int
    last_index: int


class RollbackDetector:
    """Remembers the attestations of a bounded number of members; the oldest is forgotten."""

    def __init__(self, max_members: int) -> None:
        self.max_members = max_members
        self.attested: OrderedDict[str, Attestation] = OrderedDict()
        self.rolled_back: OrderedDict[str, None] = OrderedDict()

    def check(
        self, sender: str, boot_id: int, term: int, durable_index: int | None
    ) -> SenderStatus:
        """Compares a message with the sender's attestations.

        Args:
            sender: identity of the member.
            boot_id: of its message.
            term: that its disk holds.
            durable_index: of the last entry on its disk; None if the message doesn't tell.
        """
        if sender in self.rolled_back:
            return SenderStatus.KNOWN_ROLLED_BACK
        attested = self.attested.get(sender)
        if attested is None or attested.boot_id == boot_id:
            return SenderStatus.TRUSTED
        boot_count = _boot_count(boot_id)
        attested_count = _boot_count(attested.boot_id)
        if boot_count < attested_count:
            return SenderStatus.EARLIER_BOOT
        if boot_count > attested_count and _holds(attested, term, durable_index):
            if durable_index is not None:
                self.attested[sender] = attested._replace(boot_id=boot_id)
            return SenderStatus.TRUSTED
        self.rolled_back[sender] = None
        while len(self.rolled_back) > self.max_members:
            self.rolled_back.popitem(last=False)
        return SenderStatus.ROLLED_BACK

    def record(self, sender: str, boot_id: int, term: int, last_index: int) -> None:
        """The sender voted in `term`, or accepted entries up to `last_index` in it, durably."""
        attested = self.attested.pop(sender, Attestation(boot_id, 0, 0))
        if term > attested.term:
            attested = Attestation(boot_id, term, last_index)
        elif term == attested.term:
            last_index = max(attested.last_index, last_index)
            attested = Attestation(boot_id, term, last_index)
        self.attested[sender] = attested._replace(boot_id=boot_id)
        while len(self.attested) > self.max_members:
            self.attested.popitem(last=False)


def _holds(attested: Attestation, term: int, durable_index: int | None) -> bool:
    """Returns whether a disk with this term and last entry holds what was attested."""
    if term != attested.term:
        return term > attested.term
    return durable_index is None or durable_index >= attested.last_index
