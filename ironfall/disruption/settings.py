"""Settings of a service's fleet, and the disruption rules that the ledger enforces.

`FleetSettings` has the values of the `(fleet ...)` form of a settings file (`settings_reader` reads
it). `DisruptionRules` is the form that enters the replicated log, so that coordinators with
different settings files still apply entries identically; it has integers only. Times are in tenths
of a millisecond, shares in parts per million.
"""

from dataclasses import dataclass
from typing import Any

from ironfall.decisions.interface import ServiceSettings

SECOND = 10_000
"""Tenths of a millisecond, the unit of all times here, in a second."""
MILLION = 1_000_000
"""Parts per million of a whole: the unit of shares."""
UNLIMITED_COUNT = 1 << 30
"""The count of a budget that is limited by its share only."""
MAX_RULE_VALUE = (1 << 53) - 1
"""The largest integer that every JSON parser keeps exact."""
MIN_RECORDS = 1_024
"""The lowest value of a limit on the number of hosts, directors or other records."""
SNAPSHOT_MOST = 2**30 - 2**20
"""The most bytes of a snapshot, which is one record on a coordinator's disk."""
BUDGET_SCOPES = ("fleet", "zone", "kind", "tenant", "directors", "directors-zone")
"""What a budget covers: hosts or directors, of the whole fleet or of each group of them."""
BUDGET_LENGTH = 3
"""The items of a budget in JSON: a scope, a count and a share."""

Budget = tuple[str, int, int]
"""A scope, the most targets out of service in it, and the same limit as a share of its total."""


@dataclass(frozen=True)
class DisruptionRules:
    """Every parameter of the ledger's decisions; one log entry sets them all.

    `RULE_NAMES` has their keys in the log entry.
    """

    # Duration of a lease.
    lease: int = 10 * SECOND
    # The most by which two clocks drift apart, in parts per million of the elapsed time.
    drift: int = 10_000
    budgets: tuple[Budget, ...] = (
        ("fleet", UNLIMITED_COUNT, 100_000),
        ("directors", UNLIMITED_COUNT, 100_000),
    )
    # Capacity kept in service above the expected load, as a share of that load.
    load_margin: int = 200_000
    # How long a request waits before it reserves the scopes that lacked room for it.
    reservation_age: int = 600 * SECOND
    # How long a draining host must have been idle before it may be stopped.
    min_idle_time: int = 5 * SECOND
    # How long a granted permit may stay unused.
    begin_timeout: int = 60 * SECOND
    # How long a drain may take.
    drain_timeout: int = 600 * SECOND
    # How long a target may take to return to service, and a holder to return a recalled permit.
    return_timeout: int = 600 * SECOND
    # How many directors must report a host silent for it to count as failed.
    silence_quorum: int = 2
    # The share of a scope that may fail unplanned before the scope is halted.
    max_unplanned_share: int = 100_000
    # The use of a limit from which on a director counts as near it.
    near_limit_share: int = 900_000
    # How long the cause of an automatic halt must be gone before the halt is lifted; doubles with
    # each automatic halt of the scope.
    recovery_time: int = 60 * SECOND
    # After this many automatic halts of a scope, only an operator can lift the next one.
    max_automatic_halts: int = 3
    # How long after its last automatic halt a scope's halt history is dropped.
    history_lifetime: int = 36_000 * SECOND
    # How long proxies may stay unassigned.
    unassigned_limit: int = 20 * SECOND
    # How long a drain may take to reach every proxy.
    drain_grace: int = 20 * SECOND
    # The rate of a director's channel, in table entries per second.
    entries_per_second: int = 1_000
    # The overhead of a message, in table entries.
    message_overhead: int = 8
    # The longest delay of a message.
    max_message_delay: int = SECOND
    # The share of its full capacity that a host has while it warms up.
    warm_up_share: int = 300_000
    # How long a host warms up.
    warm_up_time: int = 60 * SECOND
    # Limits on waiting requests, targets of a request, open permits, and ended requests whose
    # outcome is kept.
    max_waiting_requests: int = 1_024
    max_request_targets: int = 256
    max_permits: int = 4_096
    max_ended_requests: int = 1_024
    # Limits on holders, hosts, directors and halts.
    holders: int = 1_024
    hosts: int = 16_384
    directors: int = 4_096
    halts: int = 256

    def facts(self) -> dict[str, Any]:
        """Returns the rules as the JSON object of a log entry."""
        facts = {key: getattr(self, field) for key, field in RULE_NAMES.items()}
        return facts | {"budgets": [list(budget) for budget in self.budgets]}

    @property
    def members(self) -> int:
        """The most clients that may send entries to the coordinators."""
        return self.hosts + self.directors + self.holders

    @property
    def snapshot(self) -> int:
        """An upper bound on the bytes of a snapshot, for names of 32 characters.

        It covers the records of hosts, directors and permits, the last request of each client with
        its answer, and each director's confirmations of 256 simultaneous drains.
        """
        confirmations = self.directors * min(256, self.max_permits)
        return 1_024 * self.members + 256 * self.max_permits + 128 * confirmations

    @property
    def drift_allowance(self) -> int:
        """The time by which two clocks may drift apart during a lease."""
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
"""The field of `DisruptionRules` for each key of the log entry, in the order of the entry."""


def rules_from_facts(facts: dict[str, Any]) -> DisruptionRules:
    """Builds rules from the JSON object of a log entry; missing keys get their defaults.

    Raises `ValueError` for an unknown key or a value that is not allowed.
    """
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
    if not isinstance(budget, list) or len(budget) != BUDGET_LENGTH:
        return False
    scope, count, share = budget
    if scope not in BUDGET_SCOPES or type(count) is not int or type(share) is not int:
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
    """One heartbeat aggregator; `room` is the most members that it keeps."""

    name: str
    address: tuple[str, int]
    zone: str
    room: int = 16_384


# Settings that enter the rules unchanged, and those that are converted to parts per million. Their
# names are also the keys of the log entry.
_SETTINGS_COPIED_TO_RULES = (
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
_SETTINGS_CONVERTED_TO_PPM = ("drift", "margin", "unplanned", "near")


@dataclass(frozen=True)
class FleetSettings:
    """The `(fleet ...)` form of a service's settings.

    The field names are the keys of the settings; `RULE_NAMES` leads to the rules that explain them.
    Shares are fractions of 1. `keepers` are the coordinators by name and address; without them the
    service has no fleet. `observers` are the heartbeat aggregators; without them, members report to
    the coordinators directly.
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
        """Returns the rules that follow from these settings and from the service's own limits."""
        values: dict[str, Any] = {
            RULE_NAMES[name]: getattr(self, name) for name in _SETTINGS_COPIED_TO_RULES
        }
        for name in _SETTINGS_CONVERTED_TO_PPM:
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
