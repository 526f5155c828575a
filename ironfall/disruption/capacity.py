"""Capacity of hosts by traffic class, against the expected load by hour of the day."""

from collections.abc import Iterable

from ironfall.disruption.settings import MILLION, SECOND, DisruptionRules

CLASSES = 8
"""Traffic classes at most: every set of them is examined."""
HOUR = 3_600 * SECOND
HOURS = 24

ClassNeed = tuple[int, int]
"""A set of classes (a mask) and the capacity that hosts serving any of them must have together."""
CapacityByMask = dict[int, int]


class CapacityByClass:
    """Sums of the hosts' capacity by class mask, kept up to date as hosts change; all integers."""

    def __init__(self) -> None:
        """Starts without hosts and without expected load."""
        # Of all hosts, none of them warming up.
        self.total: CapacityByMask = {}
        # Of hosts in service, as they are now.
        self.in_service: CapacityByMask = {}
        # Of hosts on their way back that were never stopped.
        self.undoing: CapacityByMask = {}
        # Of hosts under a permit.
        self.planned: CapacityByMask = {}
        # By class, the expected load of each hour of the day (UTC).
        self.loads: dict[int, list[int]] = {}
        self._needs: dict[tuple[int, int], list[ClassNeed]] = {}

    def set_load(self, traffic_class: int, hours: list[int]) -> None:
        """Replaces the expected load of a class."""
        self.loads[traffic_class] = hours
        self._needs = {}

    @staticmethod
    def add(table: CapacityByMask, class_mask: int, change: int) -> None:
        """Adds to one of the sums; sums of zero are dropped."""
        if not change:
            return
        table[class_mask] = table.get(class_mask, 0) + change
        if not table[class_mask]:
            del table[class_mask]

    def needs(self, rules: DisruptionRules, hour: int, hours: int) -> list[ClassNeed]:
        """For each set of classes, the highest load, with its margin, of `hours` from `hour` on."""
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
    """Whether any set of classes has less than its need.

    By Hall's theorem the load can be distributed over the hosts if, and only if, none has.
    """
    left = {mask: -value for mask, value in removed.items()}
    for table in available:
        for mask, value in table.items():
            left[mask] = left.get(mask, 0) + value
    return any(
        sum(value for mask, value in left.items() if mask & chosen) < load for chosen, load in needs
    )
