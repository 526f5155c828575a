"""A director's lease at the coordinators, and the entries that it sends them. Pure."""

from dataclasses import dataclass
from typing import Any

from ironfall.director.status_report import StatusReport

RENEWALS_PER_LEASE = 3


@dataclass(frozen=True, slots=True)
class DirectorIdentity:
    """What the coordinators know a director by: its name, zone and software version."""

    name: str
    zone: str
    version: str


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """What the fleet's settings say of a director's lease.

    Attributes:
        duration: In ticks.
        max_drift: The share of the time by which two clocks may drift apart.
    """

    duration: int
    max_drift: float


class FleetLease:
    """The lease, and the numbers of its reports. Times are ticks of a clock that never stops.

    Attributes:
        identity: The lease's owner.
        incarnation: The number of this start of the director, or of its last return after a lost
            lease.
        valid_until: When others may take the director for lost: the lease's end less what its clock
            may drift.
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
        """Whether it is time to ask for the lease, or for its renewal."""
        return now >= self._renew_at

    def is_valid(self, now: int) -> bool:
        """Whether nobody may take the director for lost yet."""
        return now < self.valid_until

    def join_entry(self) -> dict[str, Any]:
        """Returns the entry that asks for the lease."""
        return {
            "k": "join",
            "director": self.identity.name,
            "inc": self.incarnation,
            "zone": self.identity.zone,
            "version": self.identity.version,
        }

    def on_granted(self, requested_at: int) -> None:
        """Starts the lease from when it was requested: the answer may have come late."""
        self._renew_at = requested_at + self._renew_interval
        self.valid_until = requested_at + self._valid_ticks

    def on_incarnation_over(self) -> None:
        """Returns under a newer incarnation: this one is lost, or a later one is known."""
        self.incarnation += 1
        self._report_number = 0
        self._renew_at = 0
        self.valid_until = 0

    def renew_soon(self) -> None:
        """Makes a renewal due: the lease may have lapsed."""
        self._renew_at = 0

    def report_entry(self, report: StatusReport, leaving: bool, token: int) -> dict[str, Any]:
        """Returns the entry of a status report, under the next number."""
        self._report_number += 1
        numbers = {"inc": self.incarnation, "n": self._report_number}
        status = status_json(report, leaving, token)
        return {"k": "words", "directors": {self.identity.name: numbers | status}}


def status_json(report: StatusReport, leaving: bool, token: int) -> dict[str, Any]:
    """Returns a status report as it is sent, with what `FleetMember.set_leaving` was last told."""
    return report.as_json() | {"leaving": leaving, "token": token}
