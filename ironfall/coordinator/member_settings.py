"""Which member of which group a coordinator is."""

from collections.abc import Mapping
from dataclasses import dataclass

from ironfall.consensus import RaftLimits
from ironfall.coordinator.limits import COORDINATOR_LIMITS
from ironfall.coordinator.peers import Address


@dataclass(frozen=True)
class MemberSettings:
    """Which member of which group.

    Attributes:
        name: this coordinator's name.
        addresses: all coordinators' addresses by name, in the order of the settings file.
        limits: the consensus node's limits.
    """

    name: str
    addresses: Mapping[str, Address]
    limits: RaftLimits = COORDINATOR_LIMITS
