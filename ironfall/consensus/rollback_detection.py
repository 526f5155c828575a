"""Detects members whose disk was rolled back: restored from a copy, or reverted by its hardware.

Members remember what each peer has confirmed. A peer whose disk holds less after a restart was
rolled back, and might contradict its earlier votes and acknowledgements. A boot id consists of a
count, durably incremented at each start before anything is sent, and random bits. Two boot ids with
the same count come from a disk and a copy of it.
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
    """What a message shows about its sender's disk.

    Attributes:
        TRUSTED: The disk holds all that the sender confirmed, as far as the message shows.
        EARLIER_BOOT: The message is late or the disk was rolled back; the sender can tell which.
        ROLLED_BACK: The disk was rolled back, detected with this message.
        KNOWN_ROLLED_BACK: The disk was rolled back, detected before.
    """

    TRUSTED = "trusted"
    EARLIER_BOOT = "earlier boot"
    ROLLED_BACK = "rolled back"
    KNOWN_ROLLED_BACK = "known rolled back"


class Attestation(NamedTuple):
    """The latest state that a member has confirmed, which its disk must hold.

    Attributes:
        boot_id: Last boot id with which the member confirmed state, or showed by its last durable
            index that its disk still holds that state.
        term: Term of its last vote or accepted entries.
        last_index: Index of the last entry accepted in that term; 0 if none.
    """

    boot_id: int
    term: int
    last_index: int


class RollbackDetector:
    """Remembers the attestations of at most `max_members` members, and discards the oldest."""

    def __init__(self, max_members: int) -> None:
        self.max_members = max_members
        self.attested: OrderedDict[str, Attestation] = OrderedDict()
        self.rolled_back: OrderedDict[str, None] = OrderedDict()

    def check(
        self, sender: str, boot_id: int, term: int, durable_index: int | None
    ) -> SenderStatus:
        """Compares a message with the sender's attestation; records a rolled-back disk.

        Args:
            sender: Identity of the sender.
            boot_id: Boot id in its message.
            term: Term that its disk holds.
            durable_index: Index of the last entry on its disk; None if unknown.
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
        if boot_count > attested_count and _covers(attested, term, durable_index):
            if durable_index is not None:
                self.attested[sender] = attested._replace(boot_id=boot_id)
            return SenderStatus.TRUSTED
        self.rolled_back[sender] = None
        while len(self.rolled_back) > self.max_members:
            self.rolled_back.popitem(last=False)
        return SenderStatus.ROLLED_BACK

    def record(self, sender: str, boot_id: int, term: int, last_index: int) -> None:
        """Records that the sender confirmed a vote in `term`, or its entries up to `last_index`."""
        attested = self.attested.pop(sender, Attestation(boot_id, 0, 0))
        if term > attested.term:
            attested = Attestation(boot_id, term, last_index)
        elif term == attested.term:
            last_index = max(attested.last_index, last_index)
            attested = Attestation(boot_id, term, last_index)
        self.attested[sender] = attested._replace(boot_id=boot_id)
        while len(self.attested) > self.max_members:
            self.attested.popitem(last=False)


def _covers(attested: Attestation, term: int, durable_index: int | None) -> bool:
    """Returns whether a disk with this term and last entry holds what was attested."""
    if term != attested.term:
        return term > attested.term
    return durable_index is None or durable_index >= attested.last_index
