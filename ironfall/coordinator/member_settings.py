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
        name: of this coordinator.
        addresses: of all coordinators by name, in the order of the settings file.
        limits: of the consensus node.
    """

    name: str
    addresses: Mapping[str, Address]
    limits: RaftLimits = COORDINATOR_LIMITS
