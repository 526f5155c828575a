"""A member's client of its zone's heartbeat aggregators: one message each second."""

import json
import random
import time
from collections.abc import Callable, Mapping, Sequence
from http import HTTPStatus
from typing import Any

from ironfall.api.http import HttpClient
from ironfall.coordinator.sums import is_intact, with_checksum
from ironfall.disruption.settings import SECOND, AggregatorSettings
from ironfall.errors import IronfallError
from ironfall.membership import HeartbeatSender

HEARTBEATS_PATH = "/v1/observe/beats"
CONNECT_TIMEOUT_SECONDS = 0.3
MAX_ANSWER_BYTES = 1 << 24
MAX_ANSWER_TIMEOUT_SECONDS = 2.0
TIMEOUTS_PER_LEASE = 8
"""Two time-outs in a row and the delay before the change of aggregator fit into a lease."""
MAX_SHOWN_BODY_BYTES = 100
MAX_ERROR_LENGTH = 200

DrainMarkers = list[tuple[str, str, int]]
"""The name, the wanted state and the token of each unit."""


class AggregatorUnavailableError(IronfallError, OSError):
    """An aggregator gave no answer, or a malformed one."""


class HeartbeatClient:
    """A `HeartbeatSender` with persistent connections, for one greenlet at a time.

    Attributes:
        sender: Chooses the aggregator, and knows until when the units count as live.
        drain_markers: The coordinators' drain markers, passed on by aggregators.
        markers_read_at: The latest time at which the coordinators are known to have had these, by
            the member's clock; -1 if there are none.
    """

    def __init__(  # noqa: PLR0913 - the member's settings, and what tests replace
        self,
        zone: str,
        aggregators: Sequence[AggregatorSettings],
        lease: int,
        rng: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
        on_change: Callable[[str], None] | None = None,
    ) -> None:
        """Chooses an aggregator of the zone.

        Args:
            zone: The member's zone.
            aggregators: The aggregators of all zones.
            lease: For how long a member counts as live, in tenths of a millisecond.
            rng: The source of jitter.
            monotonic: The member's clock, in seconds.
            on_change: Called with the name at each change of the aggregator.

        Raises:
            ValueError: The zone has no aggregator.
        """
        in_zone = [aggregator for aggregator in aggregators if aggregator.zone == zone]
        names = [aggregator.name for aggregator in in_zone]
        self._monotonic = monotonic
        self.sender = HeartbeatSender(zone, names, self.now(), lease, rng, on_change)
        self.clients = {
            aggregator.name: HttpClient(
                aggregator.address, CONNECT_TIMEOUT_SECONDS, MAX_ANSWER_BYTES
            )
            for aggregator in in_zone
        }
        self._timeout_seconds = min(MAX_ANSWER_TIMEOUT_SECONDS, lease / SECOND / TIMEOUTS_PER_LEASE)
        self.drain_markers: DrainMarkers = []
        self.markers_read_at = -1

    def now(self) -> int:
        """Returns the member's time in tenths of a millisecond."""
        return int(self._monotonic() * SECOND)

    def seconds_until_due(self) -> float:
        """Returns the seconds until the next message is due."""
        return max(0.0, (self.sender.due_at - self.now()) / SECOND)

    def send_heartbeats(
        self,
        units: Mapping[str, tuple[int, dict[str, Any]]],
        idle_times: Mapping[str, int] | None = None,
        first_numbers: Mapping[str, int] | None = None,
    ) -> dict[str, Any]:
        """Sends a message and returns the aggregator's answer.

        The arguments are those of `HeartbeatSender.make_message`.

        Raises:
            AggregatorUnavailableError: There is no valid answer. The sender has been notified.
        """
        sent_at = self.now()
        message = self.sender.make_message(sent_at, units, idle_times, first_numbers)
        name = self.sender.target
        try:
            answer = self._post(name, message)
            self.sender.on_answer(self.now(), name, answer)
            self._take_drain_markers(sent_at, answer)
        except (OSError, ValueError, KeyError, TypeError, RecursionError) as error:
            self.sender.on_failure(self.now(), name)
            text = f"observer {name}: {error}"[:MAX_ERROR_LENGTH]
            raise AggregatorUnavailableError(text) from None
        return dict(answer)

    def _post(self, name: str, message: dict[str, Any]) -> Any:
        """Sends a message to an aggregator and returns the decoded answer."""
        body = json.dumps(message, separators=(",", ":")).encode()
        path = with_checksum(HEARTBEATS_PATH, body)
        answer = self.clients[name].call("POST", path, self._timeout_seconds, body)
        if not is_intact(answer) or answer.status != HTTPStatus.OK:
            shown = answer.body[:MAX_SHOWN_BODY_BYTES].decode("utf-8", "replace").strip()
            raise ConnectionAbortedError(f"{answer.status} {shown}")
        return json.loads(answer.body)

    def _take_drain_markers(self, sent_at: int, answer: Mapping[str, Any]) -> None:
        """Takes an answer's markers, unless newer ones are known.

        Their age counts from when the message was sent, as the answer may have been delayed.
        """
        age = int(answer["marked"])
        if age < 0 or sent_at - age < self.markers_read_at:
            return
        self.drain_markers = [
            (str(unit), str(wanted), int(token))
            for unit, (wanted, token) in dict(answer["marks"]).items()
        ]
        self.markers_read_at = sent_at - age

    def close(self) -> None:
        """Closes the connections."""
        for client in self.clients.values():
            client.close()
