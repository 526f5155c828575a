"""The units whose state the leader lacks, in the order in which they changed."""

from collections import OrderedDict
from collections.abc import Sequence


class DifferenceLog:
    """Numbers the changes of units; only a unit's last change is kept.

    Attributes:
        version: The number of the last change.
        acknowledged: The leader has all changes up to this number.
    """

    def __init__(self) -> None:
        self.version = 0
        self.acknowledged = 0
        self._versions: OrderedDict[str, int] = OrderedDict()

    def record(self, unit: str) -> None:
        """Notes that a unit changed."""
        self.version += 1
        self._versions[unit] = self.version
        self._versions.move_to_end(unit)

    def acknowledge(self, version: int) -> None:
        """Notes that the leader has all changes up to a number."""
        self.acknowledged = min(version, self.version)

    def forget(self, unit: str) -> None:
        """Drops a unit's last change."""
        del self._versions[unit]

    def pending(self, limit: int) -> list[str]:
        """Returns at most `limit` units that the leader lacks, the earliest changed first."""
        units: list[str] = []
        for unit in reversed(self._versions):
            if self._versions[unit] <= self.acknowledged:
                break
            units.append(unit)
        units.reverse()
        return units[:limit]

    def version_covered(self, pending: Sequence[str]) -> int:
        """Returns up to which number the leader has all changes once it has these units'."""
        return self._versions[pending[-1]] if pending else self.version
