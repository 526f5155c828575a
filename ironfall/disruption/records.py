"""The ledger's records: one for each host, director, zone, holder, permit request, permit and halt.

Each is a part of a snapshot: `snapshot` maps the fields to their stored names. Times are in tenths
of a millisecond of the log's time; 0 stands for "never" or "not". Shares are in parts per million.

Lists and dictionaries in records are replaced, never changed in place: a snapshot that is being
written still refers to those of its moment. `Permit.confirmed_by` alone is changed in place, and
copied by the snapshot.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class PermitState(StrEnum):
    """The states of an open permit; the values are sent and stored."""

    GRANTED = "granted"
    DRAINING = "draining"
    EMPTY = "empty"
    OUT = "out"
    RETURNING = "returning"
    UNDOING = "undoing"
    LOST = "lost"


REVERSIBLE_STATES = (PermitState.GRANTED, PermitState.DRAINING, PermitState.EMPTY)
"""States in which nothing was stopped yet, so that the permit can be withdrawn."""
DRAINING_STATES = (PermitState.DRAINING, PermitState.EMPTY)
UNDRAINED_STATES = (PermitState.GRANTED, PermitState.DRAINING)
"""States that still occupy the directors' channel."""


@dataclass(slots=True)
class Host:
    """A host: its list entry, its agent's newest report, and what directors report."""

    zone: str
    kind: str
    tenants: list[str]
    capacity: int
    # A bit for each traffic class that it serves.
    class_mask: int
    is_listed: bool = True
    is_ready: bool = False
    # The newest token that the registry acted on for this host.
    marker_token: int = 0
    started_at: int = 0
    is_warming_up: bool = True
    # The incarnation that the newest agent report came from, its time and its number within the
    # incarnation.
    agent_incarnation: int = 0
    agent_heard_at: int = 0
    agent_sequence: int = 0
    is_up: bool = True
    # The newest token that the agent acted on.
    acted_token: int = 0
    # How long the host had received no request when its agent last reported.
    idle_time: int = 0
    # Directors that report it silent.
    silent_to: list[str] = field(default_factory=list)
    # The token of the order that ends an orphaned drain (a drain marker that outlived its permit);
    # 0: there is none.
    orphaned_drain: int = 0


@dataclass(slots=True)
class Director:
    """A director's lease and its newest status report."""

    zone: str
    incarnation: int
    version: str = ""
    lease_until: int = 0
    is_live: bool = True
    # The number of its newest report within the incarnation.
    sequence: int = 0
    has_reported: bool = False
    proxies: int = 0
    # Table entries of one assignment, and the most that wait in one proxy's channel.
    assignment_entries: int = 0
    waiting_entries: int = 0
    unassigned_proxies: int = 0
    rejected_share: int = 0
    succeeded_share: int = 0
    # The highest use of any of its limits.
    limit_use: int = 0
    is_leaving: bool = False
    acted_token: int = 0
    # By host, the token under which this director withdrew it from its tables.
    drained_hosts: dict[str, int] = field(default_factory=dict)
    silent_hosts: list[str] = field(default_factory=list)
    # By former director, its incarnation and how many of its proxies this one has adopted.
    adopted_proxies: dict[str, list[int]] = field(default_factory=dict)


@dataclass(slots=True)
class Zone:
    """What heartbeat aggregators attest of a zone's live directors, all of them together."""

    # The log index at which the set of directors last changed: attestations of another set are
    # rejected.
    changed_index: int = 0
    # When the director that was heard longest ago was heard.
    heard_at: int = 0
    # By host, the token under which all of them confirm its drain.
    confirmed_drains: dict[str, int] = field(default_factory=dict)
    # Since when no aggregator of the zone is heard; 0: one is.
    unknown_since: int = 0


@dataclass(slots=True)
class Holder:
    """A client that requests and holds permits, under a lease."""

    incarnation: int
    lease_until: int = 0
    is_live: bool = True
    # The highest request number of this incarnation.
    last_request: int = 0


@dataclass(slots=True)
class PermitRequest:
    """A request that waits: may these targets be out of service, all together?"""

    id: str
    holder: str
    incarnation: int
    targets: list[str]
    duration: int
    release: str
    requested_at: int
    # Every scope that was ever too full for it.
    lacking_scopes: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Permit:
    """An open permit of one target."""

    request: str
    holder: str
    incarnation: int
    duration: int
    release: str
    # The token of the grant, which orders permits by age, and of the newest order.
    grant_token: int
    token: int
    state: PermitState
    since: int
    cause: str = ""
    # Since when a halt recalls it.
    recalled_at: int = 0
    # The target's incarnation when it was taken out of service.
    incarnation_before: int = 0
    # Directors that confirmed the drain, in the order of their reports.
    confirmed_by: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class Halt:
    """A halt of new work in a scope, by an operator or automatic."""

    imposed_by: str
    reason: str
    since: int
    is_automatic: bool
    # Since when the cause of an automatic halt is gone.
    recovering_since: int = 0


@dataclass(slots=True)
class HaltHistory:
    """How often a scope was halted automatically, and when last."""

    count: int
    last_at: int


class Transition(NamedTuple):
    """A change that an entry caused: the new state of a target, request or scope.

    Sent in the entry's answer, as a list.
    """

    subject: str
    state: str
    token: int
    cause: str
