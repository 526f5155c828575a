"""The ledger's records: hosts, directors, zones, holders, permit requests, permits and halts.

All of them are stored in snapshots; `snapshot` maps their fields to the stored names. Times are in
tenths of a millisecond of the log's time; 0 stands for "never" or "not". Shares are in parts per
million.

Lists and dictionaries in records are replaced, never modified in place, because a snapshot that is
still being encoded refers to them. Only `Permit.confirmed_by` is modified in place; the snapshot
copies it.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class PermitState(StrEnum):
    """The states of an open permit; the values are sent in answers and stored in snapshots."""

    GRANTED = "granted"
    DRAINING = "draining"
    EMPTY = "empty"
    OUT = "out"
    RETURNING = "returning"
    UNDOING = "undoing"
    LOST = "lost"


REVERSIBLE_STATES = (PermitState.GRANTED, PermitState.DRAINING, PermitState.EMPTY)
"""States in which the target may not be stopped yet, so that the permit can be withdrawn."""
DRAINING_STATES = (PermitState.DRAINING, PermitState.EMPTY)
UNDRAINED_STATES = (PermitState.GRANTED, PermitState.DRAINING)
"""States whose drain still needs time in the directors' channels."""


@dataclass(slots=True)
class Host:
    """A host: its list entry, its agent's newest report, and what directors report of it."""

    zone: str
    kind: str
    tenants: list[str]
    capacity: int
    # One bit for each traffic class that it serves.
    class_mask: int
    is_listed: bool = True
    is_ready: bool = False
    # The newest token that the registry acted on for this host.
    marker_token: int = 0
    started_at: int = 0
    is_warming_up: bool = True
    # Incarnation, time and sequence number of the agent's newest report.
    agent_incarnation: int = 0
    agent_heard_at: int = 0
    agent_sequence: int = 0
    is_up: bool = True
    # The newest token that the agent acted on.
    acted_token: int = 0
    # How long the host had been without requests when its agent last reported.
    idle_time: int = 0
    # Directors that report the host silent.
    silent_to: list[str] = field(default_factory=list)
    # Token of the order that removes an orphaned drain: a drain marker that outlived its permit.
    # 0 if there is none.
    orphaned_drain: int = 0


@dataclass(slots=True)
class Director:
    """A director's lease and its newest status report."""

    zone: str
    incarnation: int
    version: str = ""
    lease_until: int = 0
    is_live: bool = True
    # The sequence number of its newest report within the incarnation.
    sequence: int = 0
    has_reported: bool = False
    proxies: int = 0
    # Table entries of one assignment, and the most that are queued in any one proxy's channel.
    assignment_entries: int = 0
    waiting_entries: int = 0
    unassigned_proxies: int = 0
    rejected_share: int = 0
    succeeded_share: int = 0
    # The highest use of any of its limits, as a share of that limit.
    limit_use: int = 0
    is_leaving: bool = False
    acted_token: int = 0
    # By host, the token under which this director removed it from its tables.
    drained_hosts: dict[str, int] = field(default_factory=dict)
    silent_hosts: list[str] = field(default_factory=list)
    # By former director: its incarnation, and how many of its proxies this director has adopted.
    adopted_proxies: dict[str, list[int]] = field(default_factory=dict)


@dataclass(slots=True)
class Zone:
    """What the heartbeat aggregators of a zone attest for all of its live directors together."""

    # The log index at which the zone's set of directors last changed; attestations for another set
    # are rejected.
    changed_index: int = 0
    # When the director that has been silent longest was last heard.
    heard_at: int = 0
    # By host, the token under which all of the directors confirm its drain.
    confirmed_drains: dict[str, int] = field(default_factory=dict)
    # Since when no aggregator of the zone has been heard; 0 if one is heard.
    unknown_since: int = 0


@dataclass(slots=True)
class Holder:
    """A client that requests and holds permits while its lease is live."""

    incarnation: int
    lease_until: int = 0
    is_live: bool = True
    # The highest request number of this incarnation.
    last_request: int = 0


@dataclass(slots=True)
class PermitRequest:
    """A waiting request to take all of its targets out of service together."""

    id: str
    holder: str
    incarnation: int
    targets: list[str]
    duration: int
    release: str
    requested_at: int
    # Every scope that lacked room for the request at some time while it waited.
    lacking_scopes: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Permit:
    """An open permit of one target."""

    request: str
    holder: str
    incarnation: int
    duration: int
    release: str
    # The token of the grant, by which permits are ordered by age, and that of the newest order.
    grant_token: int
    token: int
    state: PermitState
    since: int
    cause: str = ""
    # When a halt recalled it.
    recalled_at: int = 0
    # The target's incarnation when it was taken out of service.
    incarnation_before: int = 0
    # Directors that confirmed the drain, in the order of their reports; the values are unused.
    confirmed_by: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class Halt:
    """A halt of new work in a scope, imposed by an operator or automatically."""

    imposed_by: str
    reason: str
    since: int
    is_automatic: bool
    # Since when the cause of an automatic halt has been gone.
    recovering_since: int = 0


@dataclass(slots=True)
class HaltHistory:
    """How often a scope was halted automatically, and when last."""

    count: int
    last_at: int


class Transition(NamedTuple):
    """A change caused by an entry: the new state of a target, request or scope.

    The entry's answer has it as a list.
    """

    subject: str
    state: str
    token: int
    cause: str
