"""Settings of a service's fleet, and the disruption rules that the ledger enforces.

`FleetSettings` is what the `(fleet ...)` form of a settings file holds (`settings_reader` parses
it). `DisruptionRules` is the integer form of it that enters the replicated log, so that
coordinators with different files still apply entries identically. Times are in tenths of a
millisecond, shares in parts per million.
"""

from dataclasses import dataclass
from typing import Any

from ironfall.decisions.interface import ServiceSettings

SECOND = 10_000
"""Tenths of a millisecond in a second, the unit of all times here."""
MILLION = 1_000_000
"""Shares are parts per million."""
UNLIMITED_COUNT = 1 << 30
"""A budget's count where only a share limits it."""
MAX_RULE_VALUE = (1 << 53) - 1
"""The largest integer that every JSON reader keeps exactly."""
MIN_RECORDS = 1_024
"""The least that a limit on hosts, directors and other records may be."""
SNAPSHOT_MOST = 2**30 - 2**20
"""Bytes of a snapshot: one record on a coordinator's disk."""
SCOPES = ("fleet", "zone", "kind", "tenant", "directors", "directors-zone")
"""What a budget limits: hosts, or directors, of the whole fleet or of each group of them."""
BUDGET_FIELDS = 3
"""A budget is a scope, a count and a share."""

Budget = tuple[str, int, int]
"""A scope, the most targets out of service in it, and the most as a share of its total."""


@dataclass(frozen=True)
class DisruptionRules:
    """Every figure that the ledger's decisions depend on; enters the log as one entry.

    `RULE_NAMES` has the keys of the log entry.
    """

    # Duration of a lease.
    lease: int = 10 * SECOND
    # The most that two clocks drift apart, in parts per million.
    drift: int = 10_000
    budgets: tuple[Budget, ...] = (
        ("fleet", UNLIMITED_COUNT, 100_000),
        ("directors", UNLIMITED_COUNT, 100_000),
    )
    # Capacity kept above the expected load, in parts per million of it.
    load_margin: int = 200_000
    # How long a request waits before it reserves the scopes that it lacked.
    reservation_age: int = 600 * SECOND
    # How long a draining host must have been idle before it may stop.
    min_idle_time: int = 5 * SECOND
    # How long a granted permit may stay unused.
    begin_timeout: int = 60 * SECOND
    # How long a drain may take.
    drain_timeout: int = 600 * SECOND
    # How long a target may take to return to service, and a holder to return a recalled permit.
    return_timeout: int = 600 * SECOND
    # How many directors must report a host silent for it to count as failed.
    silence_quorum: int = 2
    # The share of a scope that may fail unplanned before it is halted.
    max_unplanned_share: int = 100_000
    # The use of a director's limit at which it counts as near the limit.
    near_limit_share: int = 900_000
    # How long the cause of an automatic halt must be gone; doubles with each halt of a scope.
    recovery_time: int = 60 * SECOND
    # After how many automatic halts only an operator lifts the next one.
    max_automatic_halts: int = 3
    # After how long without an automatic halt a scope's history is forgotten.
    history_lifetime: int = 36_000 * SECOND
    # How long proxies may stay unassigned.
    unassigned_limit: int = 20 * SECOND
    # How long a drain may take to reach every proxy.
    drain_grace: int = 20 * SECOND
    # Table entries per second of a director's channel.
    entries_per_second: int = 1_000
    # Overhead of a message, in table entries.
    message_overhead: int = 8
    # The longest that a message is delayed.
    max_message_delay: int = SECOND
    # The share of its capacity that a host has while it warms up.
    warm_up_share: int = 300_000
    # How long a host warms up.
    warm_up_time: int = 60 * SECOND
    # Limits: waiting requests, targets of a request, open permits, ended requests that are
    # remembered.
    max_waiting_requests: int = 1_024
    max_request_targets: int = 256
    max_permits: int = 4_096
    max_ended_requests: int = 1_024
    # Limits: holders, hosts, directors, halts.
    holders: int = 1_024
    hosts: int = 16_384
    directors: int = 4_096
    halts: int = 256

    def facts(self) -> dict[str, Any]:
        """The rules as the JSON object of a log entry."""
        facts = {key: getattr(self, field) for key, field in RULE_NAMES.items()}
        return facts | {"budgets": [list(budget) for budget in self.budgets]}

    @property
    def members(self) -> int:
        """The most clients that may put entries to the coordinators."""
        return self.hosts + self.directors + self.holders

    @property
    def snapshot(self) -> int:
        """An upper bound of a snapshot's bytes, at names of 32 characters.

        It covers the records of hosts, directors and permits, the last request of each client with
        its answer, and each director's confirmations of 256 simultaneous drains.
        """
        confirmations = self.directors * min(256, self.max_permits)
        return 1_024 * self.members + 256 * self.max_permits + 128 * confirmations

    @property
    def drift_allowance(self) -> int:
        """How far two clocks may drift apart during a lease."""
        return self.lease * self.drift // MILLION


RULE_NAMES = {
    "lease": "lease",
    "drift": "drift",
    "budgets": "budgets",
    "margin": "load_margin",
    "age": "reservation_age",
    "empty": "min_idle_time",
    "begin": "begin_timeout",
    "drain": "drain_timeout",
    "back": "return_timeout",
    "voices": "silence_quorum",
    "unplanned": "max_unplanned_share",
    "near": "near_limit_share",
    "pause": "recovery_time",
    "times": "max_automatic_halts",
    "heal": "history_lifetime",
    "bare": "unassigned_limit",
    "grace": "drain_grace",
    "pace": "entries_per_second",
    "head": "message_overhead",
    "slowest": "max_message_delay",
    "cold": "warm_up_share",
    "warming": "warm_up_time",
    "waiting": "max_waiting_requests",
    "together": "max_request_targets",
    "open": "max_permits",
    "history": "max_ended_requests",
    "holders": "holders",
    "hosts": "hosts",
    "directors": "directors",
    "halts": "halts",
}
"""By key of the log entry, in its order, the field of `DisruptionRules`."""


def rules_from_facts(facts: dict[str, Any]) -> DisruptionRules:
    """Builds rules from the JSON object of a log entry; raises `ValueError`."""
    if unknown := sorted(set(facts) - set(RULE_NAMES)):
        raise ValueError(f"unknown rule {unknown[0]}")
    for name, value in facts.items():
        if name == "budgets":
            _check_budgets(value)
        elif type(value) is not int or not 0 <= value <= MAX_RULE_VALUE:
            raise ValueError(f"rule {name} is no whole number from 0 up")
    _check_minimums(facts)
    values = {RULE_NAMES[key]: value for key, value in facts.items()}
    if "budgets" in facts:
        values["budgets"] = tuple((scope, count, share) for scope, count, share in facts["budgets"])
    return DisruptionRules(**values)


def _check_budgets(value: Any) -> None:
    if not isinstance(value, list) or not all(_is_budget(budget) for budget in value):
        raise ValueError("budgets are [scope, number, parts of a million]")
    if len({budget[0] for budget in value}) < len(value):
        raise ValueError("a scope has two budgets")


def _is_budget(budget: Any) -> bool:
    if not isinstance(budget, list) or len(budget) != BUDGET_FIELDS:
        return False
    scope, count, share = budget
    if scope not in SCOPES or type(count) is not int or type(share) is not int:
        return False
    return count >= 0 and 0 <= share <= MILLION


def _check_minimums(facts: dict[str, Any]) -> None:
    defaults = DisruptionRules().facts()
    for name in ("lease", "pace", "voices", "waiting", "together", "open", "holders", "halts"):
        if facts.get(name, defaults[name]) < 1:
            raise ValueError(f"rule {name} must be above nought")
    for name in ("hosts", "directors"):
        if facts.get(name, defaults[name]) < MIN_RECORDS:
            raise ValueError(f"rule {name} must be at least {MIN_RECORDS}")


@dataclass(frozen=True)
class AggregatorSettings:
    """One heartbeat aggregator: its address, its zone, and the most members it keeps."""

    name: str
    address: tuple[str, int]
    zone: str
    room: int = 16_384


# Settings that enter the rules as they are, and those that enter as parts per million; their names
# are the keys of the log entry too.
_SAME_IN_RULES = (
    "lease",
    "age",
    "empty",
    "begin",
    "drain",
    "back",
    "voices",
    "pause",
    "times",
    "heal",
    "hosts",
    "directors",
    "holders",
)
_SHARES_IN_RULES = ("drift", "margin", "unplanned", "near")


@dataclass(frozen=True)
class FleetSettings:
    """The `(fleet ...)` form of a service's settings; without `keepers` there is no fleet.

    The field names are the settings' keys; `RULE_NAMES` has the rules that explain them; shares are
    fractions of one. Without `observers` members report to the coordinators directly.
    """

    keepers: tuple[tuple[str, tuple[str, int]], ...] = ()
    observers: tuple[AggregatorSettings, ...] = ()
    lease: int = DisruptionRules.lease
    drift: float = DisruptionRules.drift / MILLION
    budgets: tuple[tuple[str, int, float], ...] = ()
    margin: float = DisruptionRules.load_margin / MILLION
    age: int = DisruptionRules.reservation_age
    empty: int = DisruptionRules.min_idle_time
    begin: int = DisruptionRules.begin_timeout
    drain: int = DisruptionRules.drain_timeout
    back: int = DisruptionRules.return_timeout
    voices: int = DisruptionRules.silence_quorum
    unplanned: float = DisruptionRules.max_unplanned_share / MILLION
    near: float = DisruptionRules.near_limit_share / MILLION
    pause: int = DisruptionRules.recovery_time
    times: int = DisruptionRules.max_automatic_halts
    heal: int = DisruptionRules.history_lifetime
    hosts: int = DisruptionRules.hosts
    directors: int = DisruptionRules.directors
    permits: int = DisruptionRules.max_permits
    holders: int = DisruptionRules.holders
    asks: int = DisruptionRules.max_waiting_requests

    def rules(self, service: ServiceSettings) -> DisruptionRules:
        """The rules of these settings and of the service's own limits."""
        values: dict[str, Any] = {RULE_NAMES[name]: getattr(self, name) for name in _SAME_IN_RULES}
        for name in _SHARES_IN_RULES:
            values[RULE_NAMES[name]] = round(getattr(self, name) * MILLION)
        budgets = tuple(
            (scope, count, round(share * MILLION)) for scope, count, share in self.budgets
        )
        return DisruptionRules(
            **values,
            budgets=budgets,
            max_permits=self.permits,
            max_waiting_requests=self.asks,
            unassigned_limit=service.unassigned_limit,
            drain_grace=service.drain_grace,
            entries_per_second=max(1, int(service.entries_per_second)),
            message_overhead=-int(-service.message_overhead // 1),
            max_message_delay=service.max_message_delay,
            warm_up_share=round(service.slow_start_share * MILLION),
            warm_up_time=service.slow_start_time,
        )
