"""The loop that polls the coordinators for drain markers, for an aggregator to pass on."""

import random
from collections.abc import Callable
from typing import Any

import gevent

from ironfall.coordinator.client import CoordinatorClient
from ironfall.membership import HeartbeatAggregator

POLL_HOLD_SECONDS = 1.0
"""For how long coordinators hold a poll while no marker changes."""
MIN_POLL_INTERVAL_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 5.0
MIN_BACKOFF_SECONDS = MAX_BACKOFF_SECONDS / 16
MAX_CAUSE_LENGTH = 200


class MarkerPolls:
    """Polls for drain markers, with backoff after failures.

    Attributes:
        fault: Why the last poll failed; empty if it succeeded.
    """

    def __init__(
        self,
        aggregator: HeartbeatAggregator,
        coordinators: CoordinatorClient,
        rng: random.Random,
        log: Any,
    ) -> None:
        """Starts without markers."""
        self._aggregator = aggregator
        self._coordinators = coordinators
        self._rng = rng
        self._log = log
        self._index = -1
        self.fault = ""

    def run(self, now: Callable[[], int]) -> None:
        """Polls until killed; `now` is the aggregator's clock, in tenths of a millisecond."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            try:
                self._poll(now)
            except (ValueError, TypeError, KeyError) as error:
                cause = str(error)[:MAX_CAUSE_LENGTH]
                if not self.fault:
                    self._log.warning("polling drain markers failed", cause=cause)
                self.fault = cause
                gevent.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(MAX_BACKOFF_SECONDS, 2 * backoff)
            else:
                if self.fault:
                    self._log.info("polling drain markers succeeds again")
                self.fault = ""
                backoff = MIN_BACKOFF_SECONDS
                gevent.sleep(MIN_POLL_INTERVAL_SECONDS)

    def _poll(self, now: Callable[[], int]) -> None:
        asked_at = now()
        answer = self._coordinators.poll_drain_markers(self._index, POLL_HOLD_SECONDS)
        if answer.failure:
            raise ValueError(f"{answer.failure}: {answer.detail}")
        markers = [
            (str(unit), str(wanted), int(token)) for unit, wanted, token in answer.body["marks"]
        ]
        self._index = int(answer.body["index"])
        self._aggregator.on_drain_markers(asked_at, markers)
