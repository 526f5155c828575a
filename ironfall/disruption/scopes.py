"""Counts of targets in total and out of service by scope.

A scope is `fleet`, `directors`, or a kind and a name such as `zone west`. The counts are updated as
targets change, so that nothing here iterates over the fleet. They are integers, so that counts
recomputed after a restore are equal.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ironfall.disruption.settings import MILLION, DisruptionRules

NO_LIMIT = 1 << 60


@dataclass(slots=True)
class ScopeCount:
    """The targets of a scope, and those of them that are out of service."""

    total: int = 0
    out: int = 0
    # Of those out: with a permit that is being undone, and so never stopped.
    undoing: int = 0
    # Of those out: failed, without a permit.
    unplanned: int = 0


_NO_TARGETS = ScopeCount()


@dataclass(slots=True)
class TargetCondition:
    """What one target adds to the counts of its scopes."""

    is_out: bool
    is_undoing: bool
    is_unplanned: bool


class ScopeCounts:
    """Counts by scope, and the sets of scopes that are over their budget or have failed targets.

    A fleet has thousands of scopes, and most entries change none of them: the sets
    `over_budget` and `with_failures` avoid iterating over all.
    """

    def __init__(self, rules: DisruptionRules) -> None:
        """Starts without targets, under the budgets of `rules`."""
        self.counts: dict[str, ScopeCount] = {}
        self.budgets = {scope: (count, share) for scope, count, share in rules.budgets}
        # Scopes that stay over their budget after all undoing permits end.
        self.over_budget: set[str] = set()
        self.with_failures: set[str] = set()

    def add(self, scopes: Iterable[str], sign: int, target: TargetCondition) -> None:
        """Counts a target in its scopes (`sign` 1), or takes it out of them (-1)."""
        for scope in scopes:
            count = self.counts.setdefault(scope, ScopeCount())
            count.total += sign
            count.out += sign * target.is_out
            count.undoing += sign * target.is_undoing
            count.unplanned += sign * target.is_unplanned
            if not count.total:
                del self.counts[scope]
            staying_out = count.out - count.undoing
            if 0 < staying_out > self.limit(scope):
                self.over_budget.add(scope)
            else:
                self.over_budget.discard(scope)
            if count.unplanned:
                self.with_failures.add(scope)
            else:
                self.with_failures.discard(scope)

    def limit(self, scope: str) -> int:
        """Returns how many targets may be out of service; a share is rounded down, even to 0."""
        budget = self.budgets.get(scope.partition(" ")[0])
        if budget is None:
            return NO_LIMIT
        count, share = budget
        return min(count, self.counts.get(scope, _NO_TARGETS).total * share // MILLION)

    def has_room(self, scope: str, more: int) -> bool:
        """Returns whether `more` targets may be out of service in addition to those out now."""
        return self.counts.get(scope, _NO_TARGETS).out + more <= self.limit(scope)

    def has_room_without_planned(self, scope: str, more: int) -> bool:
        """Returns whether `more` targets could be out of service if no permit were open."""
        return self.counts.get(scope, _NO_TARGETS).unplanned + more <= self.limit(scope)

    def is_exceeded(self, scope: str) -> bool:
        """Returns whether the scope stays over its limit after all undoing permits end."""
        count = self.counts.get(scope, _NO_TARGETS)
        return count.out - count.undoing > self.limit(scope)


def set_membership(members: set[str], name: str, is_member: bool) -> None:
    """Adds the name to the set, or removes it."""
    if is_member:
        members.add(name)
    else:
        members.discard(name)
