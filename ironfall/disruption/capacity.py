"""Capacity of hosts by traffic class, compared with the expected load by hour of the day."""

from collections.abc import Iterable

from ironfall.disruption.settings import MILLION, SECOND, DisruptionRules

CLASSES = 8
"""The most traffic classes; capacity is checked for every set of them, 255 at most."""
HOUR = 3_600 * SECOND
HOURS = 24

ClassNeed = tuple[int, int]
"""A mask of classes, and the total capacity needed from hosts that serve any of them."""
CapacityByMask = dict[int, int]


class CapacityByClass:
    """Capacity of the hosts summed by class mask, and the expected load of each class.

    The sums are updated as hosts change. They are integers, so that sums recomputed after a restore
    are equal.
    """

    def __init__(self) -> None:
        """Starts without hosts and without expected load."""
        # All hosts, at the capacity they have when warmed up.
        self.total: CapacityByMask = {}
        # Hosts in service, at their present capacity.
        self.in_service: CapacityByMask = {}
        # Hosts whose permit is being undone: they were never stopped.
        self.undoing: CapacityByMask = {}
        # Hosts under a permit.
        self.planned: CapacityByMask = {}
        # The expected load in each hour of the day (UTC), by class.
        self.loads: dict[int, list[int]] = {}
        self._needs: dict[tuple[int, int], list[ClassNeed]] = {}

    def set_load(self, traffic_class: int, hours: list[int]) -> None:
        """Replaces the expected load of a class, given for each hour of the day (UTC)."""
        self.loads[traffic_class] = hours
        self._needs = {}

    @staticmethod
    def add(table: CapacityByMask, class_mask: int, change: int) -> None:
        """Adds `change` to a sum in `table`, and removes the sum if it becomes zero."""
        if not change:
            return
        table[class_mask] = table.get(class_mask, 0) + change
        if not table[class_mask]:
            del table[class_mask]

    def needs(self, rules: DisruptionRules, hour: int, hours: int) -> list[ClassNeed]:
        """Returns the capacity needed by each set of loaded classes for `hours` from `hour` on.

        That is the sum of the highest loads of its classes in these hours, plus the load margin.
        """
        key = hour, min(HOURS, hours)
        if key not in self._needs:
            self._needs[key] = self._compute_needs(rules, *key)
        return self._needs[key]

    def _compute_needs(self, rules: DisruptionRules, hour: int, hours: int) -> list[ClassNeed]:
        highest = {
            traffic_class: max(loads[(hour + n) % HOURS] for n in range(hours))
            for traffic_class, loads in self.loads.items()
        }
        loaded = sorted(c for c in highest if highest[c])
        needs = []
        for mask in range(1, 1 << CLASSES):
            chosen = [c for c in range(CLASSES) if mask >> c & 1]
            if any(c not in loaded for c in chosen):
                continue
            load = sum(highest[c] for c in chosen)
            needs.append((mask, -(-load * (MILLION + rules.load_margin) // MILLION)))
        return needs


def lacks_capacity(
    needs: list[ClassNeed], available: Iterable[CapacityByMask], removed: CapacityByMask
) -> bool:
    """Returns whether any set of classes has less capacity than it needs.

    `available` is summed, and `removed` subtracted. By Hall's theorem the load can be distributed
    over the hosts if, and only if, no set lacks capacity.
    """
    remaining = {mask: -value for mask, value in removed.items()}
    for table in available:
        for mask, value in table.items():
            remaining[mask] = remaining.get(mask, 0) + value
    return any(
        sum(value for mask, value in remaining.items() if mask & chosen) < load
        for chosen, load in needs
    )
