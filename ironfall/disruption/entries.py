"""Commands to the ledger: one frozen dataclass for each kind of entry of the log.

`entry_codec` decodes them from JSON. Times are in tenths of a millisecond, shares in parts per
million. A report's `sequence` counts up within an `incarnation`; a `token` is the newest order that
its sender acted on.
"""

from dataclasses import dataclass

from ironfall.disruption.settings import DisruptionRules


@dataclass(frozen=True, slots=True)
class SetRules:
    """The leader's rules, from its settings."""

    rules: DisruptionRules


@dataclass(frozen=True, slots=True)
class SetLoad:
    """The expected load of a traffic class in each hour of the day (UTC)."""

    traffic_class: int
    hours: list[int]


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host as the registry's list has it."""

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
    """What changed in the host list at a version."""

    version: int
    hosts: dict[str, ListedHost]
    removed: list[str]


@dataclass(frozen=True, slots=True)
class JoinDirector:
    """A director acquires or renews its lease."""

    name: str
    incarnation: int
    zone: str
    version: str


@dataclass(frozen=True, slots=True)
class RenewHolder:
    """A holder of permits acquires or renews its lease."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ExpireLease:
    """The leader saw a lease run out; `role` is `holder` or `director`."""

    role: str
    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """A director's status, which replaces its earlier one (fields: `records.Director`)."""

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
    """Directors' status reports by name."""

    reports: dict[str, StatusReport]


@dataclass(frozen=True, slots=True)
class HostReport:
    """A report of a host's agent."""

    incarnation: int
    sequence: int
    is_up: bool
    idle_time: int
    token: int


@dataclass(frozen=True, slots=True)
class HostReports:
    """Host agents' reports by host."""

    reports: dict[str, HostReport]


@dataclass(frozen=True, slots=True)
class DirectorArrival:
    """A director's incarnation that aggregators hear for the first time."""

    incarnation: int
    zone: str
    version: str


@dataclass(frozen=True, slots=True)
class AgedHostReport:
    """A report of a host's agent that aggregators heard some time ago."""

    report: HostReport
    age: int


@dataclass(frozen=True, slots=True)
class DirectorLapse:
    """A director that no aggregator has heard for `age`.

    `is_final_report_known` is false if it may have reported after the last report that the log has.
    """

    incarnation: int
    age: int
    is_final_report_known: bool


@dataclass(frozen=True, slots=True)
class ZoneAttestation:
    """That all live directors of a zone were heard at most `age` ago.

    It holds for the set of directors as it changed last at `changed_index`. `confirmed_drains` has,
    by host, the token that they all confirm; None if it is the same as in the attestation before.
    """

    age: int
    changed_index: int
    confirmed_drains: dict[str, int] | None


@dataclass(frozen=True, slots=True)
class Digest:
    """What aggregators heard and the log does not have yet; ages are as of `made_at`."""

    made_at: int
    # Whether each zone is unknown (none of its aggregators is heard).
    zones: dict[str, bool]
    arrivals: dict[str, DirectorArrival]
    directors: dict[str, StatusReport]
    hosts: dict[str, AgedHostReport]
    lapses: dict[str, DirectorLapse]
    attestations: dict[str, ZoneAttestation]


@dataclass(frozen=True, slots=True)
class RequestPermits:
    """A request for permits of all these targets; `number` counts up in an incarnation."""

    holder: str
    incarnation: int
    number: int
    targets: list[str]
    duration: int
    release: str

    @property
    def request_id(self) -> str:
        """The name under which the request is kept and answered."""
        return request_id(self.holder, self.incarnation, self.number)


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """A holder no longer needs what it requested under this number."""

    holder: str
    incarnation: int
    number: int

    @property
    def request_id(self) -> str:
        """The name under which the request is kept and answered."""
        return request_id(self.holder, self.incarnation, self.number)


def request_id(holder: str, incarnation: int, number: int) -> str:
    """The name under which a request is kept and answered."""
    return f"{holder}/{incarnation}/{number}"


@dataclass(frozen=True, slots=True)
class PermitStep:
    """A step that a holder takes with a permit, under the permit's newest token."""

    holder: str
    incarnation: int
    target: str
    token: int


class BeginDrain(PermitStep):
    """The target of a granted permit begins to drain."""

    __slots__ = ()


class TakeOut(PermitStep):
    """The drained target is to be stopped."""

    __slots__ = ()


class GiveBack(PermitStep):
    """The holder is done with the target."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class AdoptPermit:
    """A restarted holder takes up a lost permit."""

    holder: str
    incarnation: int
    target: str


@dataclass(frozen=True, slots=True)
class ForgetTarget:
    """An operator declares that a host or director is gone for good."""

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
    """Canary analysis found a release harmful: the release is halted."""

    release: str
    reason: str


@dataclass(frozen=True, slots=True)
class Tick:
    """The leader's tick, once a second: what is due by time alone."""


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
    """An entry of the log: a command, and the leader's time when it was put."""

    at: int
    command: Command
