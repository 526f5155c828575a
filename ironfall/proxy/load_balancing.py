"""Choice of the host of an attempt, and whether a request may be retried. No I/O."""

import bisect
import random
from collections.abc import Set
from dataclasses import dataclass
from enum import IntEnum
from itertools import accumulate

from ironfall.decisions.interface import RequestClass
from ironfall.publication import Holding
from ironfall.terms import ProxyTerms


class RetryPolicy(IntEnum):
    """The retries that a director allows for a class of requests, by number on the wire."""

    NONE = 0
    # One retry, if the first attempt provably never ran.
    IF_NEVER_RAN = 1
    # One retry after any failure.
    ONE = 2
    # Two retries after any failure.
    TWO = 3


# By retry policy, the first attempt included.
MAX_ATTEMPTS = (1, 2, 2, 3)


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """The attempts of a request so far. Times are in ticks of 0.1 ms.

    Attributes:
        attempts: The number of attempts made.
        never_ran: Whether no attempt can have run at its host.
        since_first: The time since the first attempt that may have run was sent.
        margin: The time that the next attempt may take to arrive at its host.
    """

    attempts: int
    never_ran: bool
    since_first: int
    margin: int


@dataclass(frozen=True, slots=True)
class WeightedHosts:
    """The hosts of a class with their cumulative weights, as weighted draws need them."""

    hosts: list[str]
    cumulative_weights: list[int]


class LoadBalancer:
    """Weighted random choice among the hosts of a class.

    A host whose attempts from this proxy failed several times in a row is ejected for a while.

    Attributes:
        consecutive_failures: By host, the failed attempts since the last successful one.
        ejected_until: By ejected host, the tick at which its ejection ends.
    """

    def __init__(self, tables: Holding, settings: ProxyTerms, random_source: random.Random) -> None:
        self.tables = tables
        self.settings = settings
        self.random_source = random_source
        self.consecutive_failures: dict[str, int] = {}
        self.ejected_until: dict[str, int] = {}
        self._weighted_hosts: dict[int, WeightedHosts] = {}

    def on_tables_changed(self) -> None:
        """Drops derived weights, and the failure counts of hosts that no table names any more."""
        self._weighted_hosts.clear()
        if not self.consecutive_failures:
            return
        named = self.tables.named()
        self.consecutive_failures = {
            host: count for host, count in self.consecutive_failures.items() if host in named
        }

    def pick(self, now: int, request_class: int, excluded: Set[str] = frozenset()) -> str | None:
        """Returns a host by weight, or None if the class has no host that isn't excluded.

        Args:
            now: The time, in ticks.
            request_class: The index of the class of the request.
            excluded: Hosts that are never returned. An ejected host is returned only if every
                other host is excluded or ejected too.
        """
        weighted = self._weighted_hosts.get(request_class)
        if weighted is None:
            weighted = self._derive_weighted_hosts(request_class)
        if not weighted.hosts:
            return None
        ejected = self._ejected_hosts(now)
        if not excluded and not ejected:
            draw = self.random_source.randrange(weighted.cumulative_weights[-1])
            return weighted.hosts[bisect.bisect_right(weighted.cumulative_weights, draw)]
        weights = self.tables.lines(request_class)
        for avoided in (excluded | ejected, excluded):
            candidates = {host: weight for host, weight in weights.items() if host not in avoided}
            if candidates:
                return self.random_source.choices(list(candidates), list(candidates.values()))[0]
        return None

    def on_attempt_ended(self, now: int, host: str, succeeded: bool) -> None:
        """Counts an attempt of this proxy; ejects the host after too many failures in a row."""
        if not self.settings.shun_after:
            return
        if succeeded:
            self.consecutive_failures.pop(host, None)
            return
        failures = self.consecutive_failures.get(host, 0) + 1
        self.consecutive_failures[host] = failures
        if failures >= self.settings.shun_after:
            self._eject(now, host)

    def _eject(self, now: int, host: str) -> None:
        self.ejected_until = {
            other: until for other, until in self.ejected_until.items() if until > now
        }
        self.ejected_until[host] = now + self.settings.shun_time
        del self.consecutive_failures[host]

    def _ejected_hosts(self, now: int) -> set[str]:
        return {host for host, until in self.ejected_until.items() if until > now}

    def _derive_weighted_hosts(self, request_class: int) -> WeightedHosts:
        weights = self.tables.lines(request_class)
        weighted = WeightedHosts(list(weights), list(accumulate(weights.values())))
        self._weighted_hosts[request_class] = weighted
        return weighted


def may_retry(request_class: RequestClass, retry_policy: int, history: AttemptHistory) -> bool:
    """Returns whether a failed request may be attempted at another host.

    The policy alone does not suffice, since a second effect can't be undone: an attempt that may
    have run is repeated only if the class is idempotent, and within the lifetime of the
    idempotency key if it is idempotent by a key.

    Args:
        request_class: The settings of the class of the request.
        retry_policy: A `RetryPolicy`, as ordered by the director.
        history: The attempts so far.
    """
    if history.attempts >= MAX_ATTEMPTS[retry_policy]:
        return False
    if history.never_ran:
        return True
    if retry_policy < RetryPolicy.ONE:
        return False
    if request_class.idempotency == "always":
        return True
    return (
        request_class.idempotency == "keyed"
        and request_class.idempotency_key_scope == "all"
        and history.since_first + history.margin < request_class.idempotency_key_lifetime
    )
