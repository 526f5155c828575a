"""A director as a member of the fleet: renews its lease and reports its status each second.

The rest of the director never waits for this: batches and polls go on if all coordinators are down,
silent or return invalid answers.
"""

import random
from collections.abc import Callable
from typing import Any, Protocol

import gevent

from ironfall.coordinator.client import CoordinatorClient
from ironfall.decisions.time_units import SECOND
from ironfall.director import explain
from ironfall.director.fleet_lease import (
    DirectorIdentity,
    FleetLease,
    LeaseSettings,
    status_json,
)
from ironfall.director.long_poll_director import LongPollDirector
from ironfall.director.status_report import StatusLimits, StatusReport, StatusReporter
from ironfall.membership_server.client import AggregatorUnavailableError, HeartbeatClient

REPORT_INTERVAL_SECONDS = 1.0
MIN_HEARTBEAT_WAIT_SECONDS = 0.05
REPORT_JITTER = 0.2
"""Relative variation of the interval, so that directors do not reach a new leader all at once."""

ANSWER_TIMEOUTS_PER_LEASE = 3
RETRIES_PER_LEASE = 5
MAX_CAUSE_LENGTH = 200
MAX_ANSWER_LENGTH = 80
"""Length in characters of an answer quoted in an error."""


class LedgerClient(Protocol):
    """Proposes ledger entries to the coordinators, one at a time."""

    def propose(self, entry: dict[str, Any]) -> Any:
        """Returns the ledger's answer; raises an exception if there is none."""


class CoordinatorLedger:
    """A `LedgerClient` over a `CoordinatorClient`.

    The client numbers its requests and fails over between the coordinators.

    Attributes:
        client: Sends the entries.
        timeout_seconds: The time-out of each entry.
    """

    def __init__(self, client: CoordinatorClient, timeout_seconds: float) -> None:
        self.client = client
        self.timeout_seconds = timeout_seconds

    def propose(self, entry: dict[str, Any]) -> Any:
        """Returns the ledger's answer.

        Raises:
            AggregatorUnavailableError: There is none, and the entry may or may not have taken
                effect. The caller may propose it again: leases, status reports and lists are
                idempotent.
        """
        answer = self.client.propose(entry, self.timeout_seconds)
        if answer.failure:
            raise AggregatorUnavailableError(f"{answer.failure}: {answer.detail}")
        return answer.body.get("answer")


class FleetMember:
    """Renews the lease and sends the status reports in a greenlet of its own.

    Failures are counted, and logged when they begin and end.

    Attributes:
        lease: The director's lease.
        status_reporter: Makes the status reports.
        token: The newest token accepted by `set_leaving`.
        monotonic: The source of the lease's time, in seconds.
    """

    def __init__(
        self,
        director: LongPollDirector,
        coordinators: LedgerClient | HeartbeatClient,
        identity: DirectorIdentity,
        lease_settings: LeaseSettings,
        seed: int,
    ) -> None:
        """`coordinators`: a client of the zone's heartbeat aggregators if there are any."""
        self.director = director
        self.coordinators = coordinators
        service = director.terms.service
        self.status_reporter = StatusReporter(
            director.publication,
            director.sessions,
            director.channel,
            len(director.terms.classes),
            StatusLimits(service.queue_limit, service.unassigned_limit, service.drain_grace),
        )
        # The epoch is the start time in microseconds, so that a few increments of the incarnation
        # stay below the epoch of the next start.
        self.lease = FleetLease(identity, director.epoch, lease_settings)
        self.token = 0
        self.monotonic: Callable[[], float] = director.clock.monotonic
        self._leaving = False
        self._rng = random.Random(seed)
        lease_seconds = lease_settings.duration / SECOND
        self._answer_timeout = lease_seconds / ANSWER_TIMEOUTS_PER_LEASE
        self._max_interval = max(REPORT_INTERVAL_SECONDS, lease_seconds / RETRIES_PER_LEASE)
        self._interval = REPORT_INTERVAL_SECONDS
        self._fault = ""
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the greenlet that reports."""
        if isinstance(self.coordinators, HeartbeatClient):
            self._greenlet = gevent.spawn(self._run_heartbeats, self.coordinators)
        else:
            self._greenlet = gevent.spawn(self._run_reports, self.coordinators)

    def stop(self) -> None:
        """Stops the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def set_leaving(self, token: int, leaving: bool) -> bool:
        """Sets whether the director reports itself as leaving, as ordered under a permit's token.

        Returns False, and changes nothing, if a newer token is known.
        """
        if token < self.token:
            return False
        self.token = token
        self._leaving = leaving
        return True

    def send_report(self, ledger: LedgerClient) -> None:
        """Renews the lease if due, and sends a status report.

        Raises:
            ValueError: An answer is not a valid answer of the ledger.
            Exception: Any exception of the client.
        """
        now = self._now()
        if self.lease.is_renewal_due(now) and not self._renew_lease(ledger, now):
            return
        report = self._update_report()
        answer = ledger.propose(self.lease.report_entry(report, self._leaving, self.token))
        verdicts = answer.get("ok") if isinstance(answer, dict) else None
        if verdicts is None:
            raise ValueError(f"its word was refused: {str(answer)[:MAX_ANSWER_LENGTH]}")
        reason = verdicts.get(self.lease.identity.name) if isinstance(verdicts, dict) else None
        if reason:
            self.lease.renew_soon()
            self._set_fault(f"its word counts for nothing: {reason}")
            return
        self.director.count("words said")
        self._set_fault("")

    def send_heartbeat(self, heartbeats: HeartbeatClient) -> None:
        """Sends a status report to the aggregator, which passes changes on to the coordinators.

        Raises:
            AggregatorUnavailableError: The aggregator gave no valid answer.
        """
        lease = self.lease
        unit = f"director/{lease.identity.name}"
        status = status_json(self._update_report(), self._leaving, self.token)
        status["version"] = lease.identity.version
        answer = heartbeats.send_heartbeats({unit: (lease.incarnation, status)})
        if unit in answer["over"]:
            lease.incarnation = max(lease.incarnation, int(answer["over"][unit]))
            lease.on_incarnation_over()
            self._set_fault(f"not joined: incarnation {answer['over'][unit]} is over")
            return
        if unit in answer["full"] or unit in answer["refused"]:
            reason = answer["refused"].get(unit, "no room")
            self._set_fault(f"its word counts for nothing: {reason}")
            return
        lease.valid_until = max(lease.valid_until, heartbeats.sender.valid_until())
        if unit not in answer["whole"]:
            self.director.count("words said")
        self._set_fault("")

    def status(self) -> dict[str, Any]:
        """Returns the state of the lease for the director's status page."""
        remaining = (self.lease.valid_until - self._now()) / SECOND
        return {
            "incarnation": self.lease.incarnation,
            "lease_s": round(max(0.0, remaining), 1),
            "trouble": self._fault,
        }

    def _run_reports(self, ledger: LedgerClient) -> None:
        while True:
            jitter = 1 - REPORT_JITTER + 2 * REPORT_JITTER * self._rng.random()
            gevent.sleep(self._interval * jitter)
            try:
                with gevent.Timeout(self._answer_timeout, TimeoutError("no answer in time")):
                    self.send_report(ledger)
            except Exception as error:  # noqa: BLE001 - a faulty coordinator must not end the reports
                self._on_failure(error)
                # Retried without limit, as each report and renewal replaces the last one.
                self._interval = min(self._max_interval, 2 * self._interval)
            else:
                self._interval = REPORT_INTERVAL_SECONDS

    def _run_heartbeats(self, heartbeats: HeartbeatClient) -> None:
        while True:
            gevent.sleep(max(MIN_HEARTBEAT_WAIT_SECONDS, heartbeats.seconds_until_due()))
            try:
                self.send_heartbeat(heartbeats)
            except AggregatorUnavailableError as error:
                self._on_failure(error)
            except Exception as error:  # noqa: BLE001 - a faulty aggregator must not end the heartbeats
                self._on_failure(error)
                # The client has set no time for the next heartbeat.
                gevent.sleep(REPORT_INTERVAL_SECONDS)

    def _renew_lease(self, ledger: LedgerClient, now: int) -> bool:
        answer = ledger.propose(self.lease.join_entry())
        if not isinstance(answer, dict) or not ("ok" in answer or "no" in answer):
            raise ValueError(f"no answer of a ledger: {str(answer)[:MAX_ANSWER_LENGTH]}")
        if "no" in answer:
            self.lease.on_incarnation_over()
            self._set_fault(f"not joined: {answer['no']}")
            return False
        self.lease.on_granted(now)
        return True

    def _update_report(self) -> StatusReport:
        director = self.director
        hosts = list(director.host_list.ids)
        for _ in self.status_reporter.update(director.clock.now(), hosts, self._silent_hosts()):
            gevent.sleep(0)
        return self.status_reporter.report

    def _silent_hosts(self) -> list[str]:
        names = self.director.host_list.names
        return [names[host] for host in explain.silent_hosts(self.director.engine) if host in names]

    def _on_failure(self, error: Exception) -> None:
        self.director.count("keepers unheard")
        self._set_fault(f"{type(error).__name__}: {error}")

    def _set_fault(self, cause: str) -> None:
        """Stores the current fault, "" for none; logs when one begins, ends or changes its kind."""
        cause = cause[:MAX_CAUSE_LENGTH]
        if cause.partition(":")[0] != self._fault.partition(":")[0]:
            log = self.director.log
            if cause:
                log.warning("status reports are not accepted, retrying", cause=cause)
            else:
                log.info("status reports are accepted again", incarnation=self.lease.incarnation)
        self._fault = cause

    def _now(self) -> int:
        return int(self.monotonic() * SECOND)
