"""The ledger: a deterministic state machine whose only input is the replicated log."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from ironfall.disruption import entries, snapshot, views
from ironfall.disruption.budget_relief import BudgetRelief
from ironfall.disruption.budgets import Budgets
from ironfall.disruption.digests import Digests
from ironfall.disruption.drain_verification import DrainVerifier
from ironfall.disruption.entry_codec import EntryRejectedError, decode
from ironfall.disruption.halts import Halts
from ironfall.disruption.host_list import HostList
from ironfall.disruption.leases import DirectorLeases, ExpiredLease, HolderLeases, LeaseExpiry
from ironfall.disruption.permits import Permits
from ironfall.disruption.records import Director, Halt, Holder, Host, Permit, PermitRequest, Zone
from ironfall.disruption.removal import TargetRemoval
from ironfall.disruption.reports import Reports
from ironfall.disruption.requests import PermitRequests
from ironfall.disruption.settings import DisruptionRules
from ironfall.disruption.snapshot import RECORDS_PER_PART
from ironfall.disruption.state import LedgerState
from ironfall.disruption.tick import Ticker
from ironfall.disruption.zones import Zones


@dataclass(frozen=True)
class LedgerComponents:
    """The types of a ledger's components; simulations replace some of them with faulty ones."""

    state: type[LedgerState] = LedgerState
    budgets: type[Budgets] = Budgets
    drains: type[DrainVerifier] = DrainVerifier
    permits: type[Permits] = Permits
    requests: type[PermitRequests] = PermitRequests
    halts: type[Halts] = Halts
    relief: type[BudgetRelief] = BudgetRelief
    reports: type[Reports] = Reports
    digests: type[Digests] = Digests
    holders: type[HolderLeases] = HolderLeases


class Ledger:
    """Applies log entries; writes and restores snapshots of its whole state."""

    def __init__(self, components: LedgerComponents | None = None) -> None:
        """Creates an empty ledger, to which the first log entry can be applied."""
        types = components or LedgerComponents()
        state = self.state = types.state()
        self.budgets = types.budgets(state)
        permits = self.permit_manager = types.permits(state, self.budgets, types.drains(state))
        self.request_queue = types.requests(state, self.budgets, permits)
        self.halt_manager = types.halts(state, permits)
        self.relief = types.relief(state, self.budgets, permits, self.halt_manager)
        self.reports = types.reports(state, permits, self.relief)
        self.zone_records = Zones(state)
        self.director_leases = DirectorLeases(state, permits, self.reports, self.zone_records)
        self.holder_leases = types.holders(state, permits, self.request_queue)
        self.lease_expiry = LeaseExpiry(state, self.director_leases, self.holder_leases)
        self.digests = types.digests(state, self.director_leases, self.reports, self.zone_records)
        self._handlers = self._command_handlers()

    def _command_handlers(self) -> dict[type, Callable[[Any], Any]]:
        """Returns the handler of each type of command; a handler returns its answer or None."""
        state, permits, requests = self.state, self.permit_manager, self.request_queue
        host_list = HostList(state, permits, self.relief)
        removal = TargetRemoval(state, requests, self.reports, self.zone_records)
        ticker = Ticker(state, requests, self.halt_manager, self.relief)
        return {
            entries.SetRules: self._set_rules,
            entries.SetLoad: self._set_load,
            entries.UpdateHostList: host_list.update,
            entries.JoinDirector: self.director_leases.join,
            entries.RenewHolder: self.holder_leases.renew,
            entries.ExpireLease: self.lease_expiry.expire,
            entries.StatusReports: self.reports.apply_status_reports,
            entries.HostReports: self.reports.apply_host_reports,
            entries.Digest: self.digests.apply,
            entries.RequestPermits: requests.submit,
            entries.CancelRequest: requests.cancel,
            entries.BeginDrain: permits.begin_drain,
            entries.TakeOut: permits.take_out,
            entries.GiveBack: permits.give_back,
            entries.AdoptPermit: permits.adopt,
            entries.ForgetTarget: removal.forget,
            entries.ImposeHalt: self.halt_manager.halt,
            entries.LiftHalt: self.halt_manager.lift,
            entries.ReportHarm: self.halt_manager.report_harm,
            entries.Tick: lambda _tick: ticker.tick(),
        }

    # the log

    def apply(self, index: int, entry: bytes) -> bytes:
        """Applies a log entry and returns its answer as JSON; never raises.

        An entry that is rejected, or was applied already, is answered with the reason.
        """
        state = self.state
        if index <= state.index:
            return snapshot.compact_json({"no": f"entry {index} was applied already"})
        state.index = index
        state.transitions = []
        answer: dict[str, Any]
        try:
            answer = {"ok": self._apply(decode(entry, state.rules.hosts)) or True}
        except EntryRejectedError as error:
            answer = {"no": str(error)}
        if state.transitions:
            answer["moved"] = state.transitions
        return snapshot.compact_json(answer)

    def _apply(self, entry: entries.Entry) -> Any:
        # The log's time never goes back, even if a new leader's clock is behind.
        self.state.now = max(self.state.now, entry.at)
        return self.apply_command(entry.command)

    def apply_command(self, command: entries.Command) -> Any:
        """Applies a command; returns its answer, or raises `EntryRejectedError`."""
        return self._handlers[type(command)](command)

    def _set_rules(self, command: entries.SetRules) -> None:
        self.state.rules = command.rules
        self.state.has_rules = True
        self.state.requests_settled = False
        self.state.feasibility_settled = False
        self.state.recompute_counts()
        self.relief.relieve()

    def _set_load(self, command: entries.SetLoad) -> None:
        self.state.capacity.set_load(command.traffic_class, command.hours)
        self.state.requests_settled = False
        self.state.feasibility_settled = False
        self.relief.relieve()

    # snapshots

    def snapshot(self) -> bytes:
        """Returns the whole state as JSON."""
        return b"".join(self.parts())

    def parts(self, records_per_part: int = RECORDS_PER_PART) -> Iterator[bytes]:
        """Captures the whole state now; yields it in parts of at most `records_per_part` records.

        The parts are encoded as they are consumed.
        """
        return snapshot.encode_in_parts(self.state, records_per_part)

    def restore(self, stored: bytes) -> None:
        """Replaces the state with that of a snapshot.

        Raises `ValueError`, `KeyError` or `TypeError` if `stored` is not a valid snapshot. The
        ledger is then unchanged, except if the fault is in the value of a record's field.
        """
        snapshot.restore(self.state, stored)

    # views

    def drain_markers(self) -> Iterator[views.DrainMarker]:
        """Yields the condition ordered for each target, by open permits and orphaned drains."""
        return views.drain_markers(self.state)

    def expired_leases(self) -> Iterator[ExpiredLease]:
        """Yields the expired leases, for each of which the leader proposes an entry."""
        return self.lease_expiry.expired()

    def inspect(self) -> dict[str, Any]:
        """Returns the view of the ledger that operators get, as JSON values."""
        return views.inspect(self.state)

    # records

    @property
    def index(self) -> int:
        """The log index of the newest applied entry."""
        return self.state.index

    @property
    def now(self) -> int:
        """The log's time, in tenths of a millisecond since 1970."""
        return self.state.now

    @property
    def has_rules(self) -> bool:
        """Whether rules have been set."""
        return self.state.has_rules

    @property
    def rules(self) -> DisruptionRules:
        """The rules in force."""
        return self.state.rules

    @property
    def hosts(self) -> dict[str, Host]:
        """Hosts by name."""
        return self.state.hosts

    @property
    def directors(self) -> dict[str, Director]:
        """Directors by name."""
        return self.state.directors

    @property
    def holders(self) -> dict[str, Holder]:
        """Permit holders by name."""
        return self.state.holders

    @property
    def zones(self) -> dict[str, Zone]:
        """Zones whose directors report through heartbeat aggregators, by name."""
        return self.state.zones

    @property
    def requests(self) -> dict[str, PermitRequest]:
        """Waiting requests by id, oldest first."""
        return self.state.requests

    @property
    def permits(self) -> dict[str, Permit]:
        """Open permits by target."""
        return self.state.permits

    @property
    def halts(self) -> dict[str, Halt]:
        """Halts by scope."""
        return self.state.halts
