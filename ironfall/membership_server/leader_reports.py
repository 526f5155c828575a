"""The loop that reports an aggregator's differences to the coordinators' leader."""

import random
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ironfall.coordinator.client import CoordinatorClient
from ironfall.membership import HeartbeatAggregator

REPORT_INTERVAL_SECONDS = 1.0
REPORT_JITTER = 0.1
"""The share of the interval by which it varies either way."""
ANSWER_TIMEOUT_SECONDS = 0.8
MIN_REPORT_INTERVAL_SECONDS = 0.3
"""Between two reports, also if an urgent status has arrived."""
MAX_CAUSE_LENGTH = 200


class LeaderReports:
    """Reports each second; without an answer, the next report repeats the differences.

    Attributes:
        made: How many reports were made.
        accepted: How many of them the leader accepted.
        unanswered: How many of them got no answer in time, or were refused as malformed.
        fault: Why the leader accepts no reports; empty if it does.
    """

    def __init__(
        self,
        aggregator: HeartbeatAggregator,
        coordinators: CoordinatorClient,
        rng: random.Random,
        monotonic: Callable[[], float],
        log: Any,
    ) -> None:
        """`monotonic` is the process's clock, in seconds."""
        self._aggregator = aggregator
        self._coordinators = coordinators
        self._rng = rng
        self._monotonic = monotonic
        self._log = log
        self.made = 0
        self.accepted = 0
        self.unanswered = 0
        self.fault = ""
        self._was_in_doubt = False

    def run(self, urgent: Event, now: Callable[[], int]) -> None:
        """Reports until another process of the aggregator's name supersedes this one.

        Args:
            urgent: When it is set, a report is made soon.
            now: The aggregator's clock, in tenths of a millisecond.
        """
        last = self._monotonic()
        due = last + REPORT_INTERVAL_SECONDS * self._rng.random()
        while not self._aggregator.is_superseded:
            urgent.wait(max(0.0, due - self._monotonic()))
            gevent.sleep(max(0.0, last + MIN_REPORT_INTERVAL_SECONDS - self._monotonic()))
            urgent.clear()
            last = self._monotonic()
            jitter = 1 - REPORT_JITTER + 2 * REPORT_JITTER * self._rng.random()
            due = last + REPORT_INTERVAL_SECONDS * jitter
            self._report(now)
        self._log.error(
            "superseded", cause="another process of this name has a higher incarnation; stopping"
        )

    def _report(self, now: Callable[[], int]) -> None:
        report = self._aggregator.make_report(now())
        self._log_reception_doubt()
        self.made += 1
        answer = self._coordinators.send_report(report, ANSWER_TIMEOUT_SECONDS)
        if answer.failure:
            self.unanswered += 1
            self._set_fault(f"{answer.failure}: {answer.detail}")
            return
        try:
            self._aggregator.on_report_answer(now(), report, answer.body)
        except ValueError as error:
            self._set_fault(f"malformed answer of the leader: {error}")
            return
        if self._aggregator.is_superseded:
            return
        reason = str(answer.body.get("why", ""))
        self.accepted += not reason
        # The first report to a leader echoes none of its stamps and can't count; that is no fault.
        stamp = self._aggregator.leader_stamp
        if not reason or stamp is None or report["stamp"] == stamp.as_json():
            self._set_fault(reason)

    def _log_reception_doubt(self) -> None:
        is_in_doubt = self._aggregator.is_reception_in_doubt
        members = len(self._aggregator.members)
        if is_in_doubt and not self._was_in_doubt:
            self._log.warning(
                "heartbeat reception is in doubt",
                members=members,
                cause="the process was suspended, heartbeats come late, there is no room for "
                "members, or at least half are silent at once; silence does not count meanwhile",
            )
        elif self._was_in_doubt and not is_in_doubt:
            self._log.info("heartbeat reception is normal again", members=members)
        self._was_in_doubt = is_in_doubt

    def _set_fault(self, cause: str) -> None:
        """Sets the fault, and logs it if its kind has changed."""
        if _kind(cause) != _kind(self.fault):
            if cause:
                self._log.warning("the leader accepts no reports", cause=cause[:MAX_CAUSE_LENGTH])
            else:
                self._log.info(
                    "the leader accepts reports again", members=len(self._aggregator.members)
                )
        self.fault = cause[:MAX_CAUSE_LENGTH]


def _kind(cause: str) -> str:
    return cause.partition(":")[0]
