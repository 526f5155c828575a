"""A director's lease at the coordinators, and its entries for the ledger. Does no I/O."""

from dataclasses import dataclass
from typing import Any

from ironfall.director.status_report import StatusReport

RENEWALS_PER_LEASE = 3


@dataclass(frozen=True, slots=True)
class DirectorIdentity:
    """How the coordinators identify a director: by name, zone and software version."""

    name: str
    zone: str
    version: str


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """The fleet's settings for directors' leases.

    Attributes:
        duration: The length of a lease, in ticks.
        max_drift: The largest relative difference between the speeds of two clocks.
    """

    duration: int
    max_drift: float


class FleetLease:
    """A lease and the numbers of its status reports.

    Times are ticks of a clock that includes stalls of the process.

    Attributes:
        identity: The lease's holder.
        incarnation: The number of this start of the director, or of its last rejoin after a lost
            lease.
        valid_until: When others may declare the director lost: the end of the lease minus the
            possible clock drift.
    """

    def __init__(
        self, identity: DirectorIdentity, incarnation: int, settings: LeaseSettings
    ) -> None:
        self.identity = identity
        self.incarnation = incarnation
        self.valid_until = 0
        self._renew_interval = settings.duration // RENEWALS_PER_LEASE
        self._valid_ticks = int(settings.duration * (1 - settings.max_drift))
        self._renew_at = 0
        self._report_number = 0

    def is_renewal_due(self, now: int) -> bool:
        """Whether the lease has to be requested or renewed now."""
        return now >= self._renew_at

    def is_valid(self, now: int) -> bool:
        """Whether the lease still holds, so that nobody may declare the director lost."""
        return now < self.valid_until

    def join_entry(self) -> dict[str, Any]:
        """Returns the ledger entry that requests the lease."""
        return {
            "k": "join",
            "director": self.identity.name,
            "inc": self.incarnation,
            "zone": self.identity.zone,
            "version": self.identity.version,
        }

    def on_granted(self, requested_at: int) -> None:
        """Starts the lease at the time of the request, as the answer may have arrived late."""
        self._renew_at = requested_at + self._renew_interval
        self.valid_until = requested_at + self._valid_ticks

    def on_incarnation_over(self) -> None:
        """Starts a newer incarnation: the lease of this one is lost, or a later one is known."""
        self.incarnation += 1
        self._report_number = 0
        self._renew_at = 0
        self.valid_until = 0

    def renew_soon(self) -> None:
        """Makes a renewal due now, as the lease may have expired."""
        self._renew_at = 0

    def report_entry(self, report: StatusReport, leaving: bool, token: int) -> dict[str, Any]:
        """Returns the ledger entry of a status report, under the next report number."""
        self._report_number += 1
        numbers = {"inc": self.incarnation, "n": self._report_number}
        status = status_json(report, leaving, token)
        return {"k": "words", "directors": {self.identity.name: numbers | status}}


def status_json(report: StatusReport, leaving: bool, token: int) -> dict[str, Any]:
    """Returns a status report as it is sent, with the state set by `FleetMember.set_leaving`."""
    return report.as_json() | {"leaving": leaving, "token": token}
