"""A member's way to its zone's observers: one message of heartbeats each second, for the units of one process."""

import json
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ironfall.api.http import HttpClient
from ironfall.coordinator.sums import asked, whole
from ironfall.disruption.settings import AggregatorSettings
from ironfall.membership import HeartbeatSender

SECOND = 10_000
PATH = "/v1/observe/beats"
CONNECT = 0.3  # seconds
ANSWER_MOST = 1 << 24
Marks = list[tuple[str, str, int]]  # unit, what it is to be, token


class AggregatorUnavailableError(OSError):
    """An observer gave no answer, or none that could be read."""


class HeartbeatClient:
    """A `Homing` with kept connections. For one greenlet at a time; nothing of it is waited for longer than
    `patience` seconds. Times are tenths of a millisecond of the clock that is handed in."""

    def __init__(
        self,
        zone: str,
        observers: Sequence[AggregatorSettings],
        lease: int,
        chance: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
        move: Callable[[str], None] = lambda to: None,
    ) -> None:
        """`observers`: those of the terms, of which its zone's are taken. Raises `ValueError` where the zone has none.
        `move` is told each change of observer."""
        own = [one for one in observers if one.zone == zone]
        self.monotonic = monotonic
        self.sender = HeartbeatSender(
            zone, [one.name for one in own], self.now(), lease, chance, move
        )
        self.clients = {one.name: HttpClient(one.address, CONNECT, ANSWER_MOST) for one in own}
        # Two that fail in a row and the wait before the move fit into a lease.
        self.patience = min(2.0, lease / SECOND / 8)
        self.marks: Marks = []
        self.marked_at = -1  # when keepers said these, at the latest; -1: never
        self.said = self.sent = self.received = (
            0  # messages that were answered, and bytes of bodies
        )

    def now(self) -> int:
        return int(self.monotonic() * SECOND)

    def wait(self) -> float:
        """Seconds until the next message is due."""
        return max(0.0, (self.sender.due_at - self.now()) / SECOND)

    def say(
        self,
        units: Mapping[str, tuple[int, dict[str, Any]]],
        quiet: Mapping[str, int] | None = None,
        first: Mapping[str, int] | None = None,
    ) -> dict[str, Any]:
        """The answer of the observer that it beats at; arguments as `Homing.message` has them. Raises `Unheard` where
        there is none; the homing knows then."""
        now = self.now()
        message = self.sender.make_message(now, units, quiet, first)
        name = self.sender.target
        body = json.dumps(message, separators=(",", ":")).encode()
        self.sent += len(body)
        try:
            answer = self.clients[name].call("POST", asked(PATH, body), self.patience, body)
            self.received += len(answer.body)
            if not whole(answer) or answer.status != 200:
                raise ConnectionAbortedError(
                    f"{answer.status} {answer.body[:100].decode('utf-8', 'replace').strip()}"
                )
            told = json.loads(answer.body)
            self.sender.on_answer(self.now(), name, told)
            self._marked(now, told)
        except (OSError, ValueError, KeyError, TypeError, RecursionError) as cause:
            self.sender.on_failure(self.now(), name)
            raise AggregatorUnavailableError(f"observer {name}: {cause}"[:200]) from None
        self.said += 1
        return dict(told)

    def _marked(self, sent: int, told: Mapping[str, Any]) -> None:
        """Their age counts from when they were asked for: the answer may have come late. What another observer, or an
        answer before, told as younger stays."""
        age = int(told["marked"])
        if age < 0 or sent - age < self.marked_at:
            return
        self.marks = [
            (str(unit), str(want), int(token))
            for unit, (want, token) in dict(told["marks"]).items()
        ]
        self.marked_at = sent - age

    def close(self) -> None:
        for client in self.clients.values():
            client.close()
