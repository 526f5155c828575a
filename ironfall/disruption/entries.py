"""The ledger's commands: one frozen dataclass for each kind of log entry.

`entry_codec` decodes them from JSON. Times are in tenths of a millisecond, shares in parts per
million. A report's `sequence` increases within an `incarnation`; its `token` is that of the newest
order its sender acted on.
"""

from dataclasses import dataclass

from ironfall.disruption.settings import DisruptionRules


@dataclass(frozen=True, slots=True)
class SetRules:
    """Sets the rules that the leader read from its settings."""

    rules: DisruptionRules


@dataclass(frozen=True, slots=True)
class SetLoad:
    """Sets the expected load of a traffic class for each hour of the day (UTC)."""

    traffic_class: int
    hours: list[int]


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host as listed by the registry."""

    zone: str
    kind: str
    tenants: list[str]
    capacity: int
    class_mask: int
    is_ready: bool
    token: int
    started_at: int


@dataclass(frozen=True, slots=True)
class UpdateHostList:
    """The changes to the host list at a version."""

    version: int
    hosts: dict[str, ListedHost]
    removed: list[str]


@dataclass(frozen=True, slots=True)
class JoinDirector:
    """Acquires or renews a director's lease."""

    name: str
    incarnation: int
    zone: str
    version: str


@dataclass(frozen=True, slots=True)
class RenewHolder:
    """Acquires or renews a permit holder's lease."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ExpireLease:
    """Ends a lease that the leader saw expire; `role` is `holder` or `director`."""

    role: str
    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """A director's status report, which replaces its previous one.

    `records.Director` explains the fields.
    """

    incarnation: int
    sequence: int
    proxies: int
    assignment_entries: int
    waiting_entries: int
    unassigned_proxies: int
    rejected_share: int
    succeeded_share: int
    limit_use: int
    is_leaving: bool
    token: int
    drained_hosts: dict[str, int]
    silent_hosts: list[str]
    adopted_proxies: dict[str, list[int]]


@dataclass(frozen=True, slots=True)
class StatusReports:
    """Status reports by director."""

    reports: dict[str, StatusReport]


@dataclass(frozen=True, slots=True)
class HostReport:
    """A report from a host's agent."""

    incarnation: int
    sequence: int
    is_up: bool
    idle_time: int
    token: int


@dataclass(frozen=True, slots=True)
class HostReports:
    """Agent reports by host."""

    reports: dict[str, HostReport]


@dataclass(frozen=True, slots=True)
class DirectorArrival:
    """A new incarnation of a director, first heard by an aggregator."""

    incarnation: int
    zone: str
    version: str


@dataclass(frozen=True, slots=True)
class AgedHostReport:
    """An agent report that an aggregator received `age` ago."""

    report: HostReport
    age: int


@dataclass(frozen=True, slots=True)
class DirectorLapse:
    """A director from which no aggregator has heard for `age`.

    `is_final_report_known` is false if it may have sent a report later than the newest in the log.
    """

    incarnation: int
    age: int
    is_final_report_known: bool


@dataclass(frozen=True, slots=True)
class ZoneAttestation:
    """States that every live director of a zone was heard at most `age` ago.

    It applies to the set of directors whose last change is at log index `changed_index`.
    `confirmed_drains` maps each host to the drain token that all of them confirm; None means that
    it has not changed since the previous attestation.
    """

    age: int
    changed_index: int
    confirmed_drains: dict[str, int] | None


@dataclass(frozen=True, slots=True)
class Digest:
    """Data from aggregators that the log does not have yet; ages are as of `made_at`."""

    made_at: int
    # Whether each zone is unknown: no aggregator of the zone is heard from.
    zones: dict[str, bool]
    arrivals: dict[str, DirectorArrival]
    directors: dict[str, StatusReport]
    hosts: dict[str, AgedHostReport]
    lapses: dict[str, DirectorLapse]
    attestations: dict[str, ZoneAttestation]


@dataclass(frozen=True, slots=True)
class RequestPermits:
    """Requests permits for all targets together; `number` increases within an incarnation."""

    holder: str
    incarnation: int
    number: int
    targets: list[str]
    duration: int
    release: str

    @property
    def request_id(self) -> str:
        """The id under which the request is stored and referred to in answers."""
        return request_id(self.holder, self.incarnation, self.number)


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancels a holder's request by its number."""

    holder: str
    incarnation: int
    number: int

    @property
    def request_id(self) -> str:
        """The id under which the request is stored and referred to in answers."""
        return request_id(self.holder, self.incarnation, self.number)


def request_id(holder: str, incarnation: int, number: int) -> str:
    """Returns the id under which a request is stored and referred to in answers."""
    return f"{holder}/{incarnation}/{number}"


@dataclass(frozen=True, slots=True)
class PermitStep:
    """A step that a holder takes with a permit; `token` is the permit's newest."""

    holder: str
    incarnation: int
    target: str
    token: int


class BeginDrain(PermitStep):
    """Starts to drain the target of a granted permit."""

    __slots__ = ()


class TakeOut(PermitStep):
    """Takes the drained target out of service, so that it may be stopped."""

    __slots__ = ()


class GiveBack(PermitStep):
    """Orders the target back into service: the holder has finished with it."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class AdoptPermit:
    """A restarted holder takes over a lost permit."""

    holder: str
    incarnation: int
    target: str


@dataclass(frozen=True, slots=True)
class ForgetTarget:
    """An operator declares a host or director permanently gone."""

    target: str
    operator: str


@dataclass(frozen=True, slots=True)
class ImposeHalt:
    """An operator halts a scope: `all`, `zone NAME`, `tenant NAME` or `release NAME`."""

    scope: str
    operator: str
    reason: str


@dataclass(frozen=True, slots=True)
class LiftHalt:
    """An operator lifts a halt."""

    scope: str
    operator: str


@dataclass(frozen=True, slots=True)
class ReportHarm:
    """Halts a release that canary analysis found harmful."""

    release: str
    reason: str


@dataclass(frozen=True, slots=True)
class Tick:
    """The leader's tick, once a second, which triggers everything that depends on time alone."""


Command = (
    SetRules
    | SetLoad
    | UpdateHostList
    | JoinDirector
    | RenewHolder
    | ExpireLease
    | StatusReports
    | HostReports
    | Digest
    | RequestPermits
    | CancelRequest
    | BeginDrain
    | TakeOut
    | GiveBack
    | AdoptPermit
    | ForgetTarget
    | ImposeHalt
    | LiftHalt
    | ReportHarm
    | Tick
)


@dataclass(frozen=True, slots=True)
class Entry:
    """A log entry: a command and the leader's time when it was proposed."""

    at: int
    command: Command
