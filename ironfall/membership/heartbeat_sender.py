"""A member's side of heartbeats: which aggregator it reports to, what it sends, when it changes.

Only one message is in flight at a time. There is no I/O and no clock: callers pass the time.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ironfall.disruption.settings import SECOND
from ironfall.membership.heartbeat_codec import (
    Heartbeat,
    JsonObject,
    ReceivedAnswer,
    decode_answer,
    encode_message,
)
from ironfall.membership.member_status import Status

HEARTBEAT_INTERVAL = SECOND
"""Between two heartbeats, varied by up to a fifth."""
RESEND_DELAY = SECOND // 10
"""Before the next message, if the aggregator needs a status or a candidate was rejected."""
FAILURES_BEFORE_SWITCH = 2
MAX_BACKOFF_DOUBLINGS = 8


@dataclass(slots=True)
class _UnitProgress:
    """The numbers of one unit's last heartbeats."""

    incarnation: int
    number: int
    changed_number: int = 0
    """The number of the last heartbeat that carried a new status."""


@dataclass(frozen=True, slots=True)
class _ReceivedStamp:
    """A stamp of the current aggregator, and the member's time at which it came."""

    stamp: list[int]
    received_at: int


class HeartbeatSender:
    """Makes the heartbeats of all units of one process: one director, or the hosts of a machine.

    When `now >= due_at`, the process sends `make_message(...)` to the aggregator `target`, and
    reports the outcome by `on_answer` or `on_failure`.

    Attributes:
        current_aggregator: The aggregator that the member reports to.
        due_at: When the next message is due.
        stamp: The current aggregator's last stamp; a heartbeat without one does not count.
        acknowledged: By unit, the status that the current aggregator has.
        ended_incarnations: By unit, the highest incarnation that has ended; the unit's process has
            to take a newer one.
    """

    def __init__(  # noqa: PLR0913 - the member's settings, and what tests replace
        self,
        zone: str,
        aggregators: Sequence[str],
        now: int,
        lease: int,
        rng: random.Random,
        on_change: Callable[[str], None] | None = None,
    ) -> None:
        """Chooses one of the zone's aggregators at random; raises `ValueError` if there is none.

        `lease` is for how long a member counts as live after a heartbeat. `on_change` is called
        with the name at each change of the current aggregator.
        """
        if not aggregators:
            raise ValueError(f"zone {zone} has no observer")
        self.zone = zone
        self.lease = lease
        self._rng = rng
        self._on_change = on_change
        self.aggregators = list(aggregators)
        rng.shuffle(self.aggregators)
        self.current_aggregator = self.aggregators[0]
        self._current_since = now
        # The members of a fleet that starts must not all send at the same time.
        self.due_at = now + rng.randrange(HEARTBEAT_INTERVAL)
        self._switch_spread = lease // 4
        self._failures = 0
        self._candidate = ""
        self._avoided_until: dict[str, int] = {}
        self.stamp: _ReceivedStamp | None = None
        self._progress: dict[str, _UnitProgress] = {}
        self.acknowledged: dict[str, Status] = {}
        self._in_flight: dict[str, Status] = {}
        self.ended_incarnations: dict[str, int] = {}
        self._answered_at = -1
        self._upstream_age = -1

    @property
    def target(self) -> str:
        """The aggregator that the next message goes to: the current one, or a candidate."""
        return self._candidate or self.current_aggregator

    @property
    def is_trying_candidate(self) -> bool:
        """Whether the next message probes another aggregator."""
        return bool(self._candidate)

    def make_message(
        self,
        now: int,
        units: Mapping[str, tuple[int, Status]],
        idle_times: Mapping[str, int] | None = None,
        first_numbers: Mapping[str, int] | None = None,
    ) -> JsonObject:
        """Returns the message that is to be sent to `target`.

        Args:
            now: The present time.
            units: The incarnation and the status of each unit.
            idle_times: For how long hosts had no requests.
            first_numbers: The number after which an incarnation's heartbeats start, if not 0.
        """
        idle_times = idle_times or {}
        first_numbers = first_numbers or {}
        # A candidate has given no stamp, and needs no status before it is the current aggregator.
        stamp = None if self._candidate else self.stamp
        self._in_flight = {}
        heartbeats: dict[str, Heartbeat] = {}
        for unit, (incarnation, status) in units.items():
            progress = self._advance(unit, incarnation, first_numbers.get(unit, 0))
            is_status_sent = stamp is not None and self.acknowledged.get(unit) != status
            if is_status_sent:
                progress.changed_number = progress.number
                self._in_flight[unit] = status
            heartbeats[unit] = Heartbeat(
                incarnation=incarnation,
                number=progress.number,
                changed_number=progress.changed_number,
                zone=self.zone,
                idle_time=idle_times.get(unit, 0),
                status=status if is_status_sent else None,
            )
        self._forget_all_but(units)
        self.due_at = now + self._jittered_interval()
        if stamp is None:
            return encode_message(heartbeats, None, 0)
        return encode_message(heartbeats, stamp.stamp, now - stamp.received_at)

    def _jittered_interval(self) -> int:
        jitter = self._rng.randrange(HEARTBEAT_INTERVAL * 2 // 5)
        return HEARTBEAT_INTERVAL * 4 // 5 + jitter

    def _advance(self, unit: str, incarnation: int, first_number: int) -> _UnitProgress:
        """Counts a heartbeat of the unit, from the start if its incarnation is new."""
        progress = self._progress.get(unit)
        if progress is None or progress.incarnation != incarnation:
            progress = _UnitProgress(incarnation, first_number)
            self._progress[unit] = progress
            self.acknowledged.pop(unit, None)
        progress.number += 1
        return progress

    def _forget_all_but(self, units: Mapping[str, Any]) -> None:
        for unit in self._progress.keys() - units.keys():
            del self._progress[unit]
            self.acknowledged.pop(unit, None)

    def on_answer(self, now: int, name: str, answer: Mapping[str, Any]) -> None:
        """Takes the aggregator's answer to the last message.

        Raises:
            MalformedMessageError: The answer can't be read.
        """
        received = decode_answer(answer)
        if name != self.target:
            return
        if self._candidate and not self._accept_candidate(now, received):
            return
        self.stamp = _ReceivedStamp(received.stamp, now)
        self._answered_at = now
        self._failures = 0
        self._upstream_age = received.upstream_age
        self._switch_spread = max(1, received.switch_spread)
        self.ended_incarnations = received.ended_incarnations
        self._acknowledge(received)
        if received.incomplete_units:
            self.due_at = min(self.due_at, now + RESEND_DELAY)
        if received.full_units or self._is_cut_off(now):
            self._consider_switch(now)

    def _accept_candidate(self, now: int, received: ReceivedAnswer) -> bool:
        """Makes the candidate the current aggregator, unless it is no better than the current one.

        It is no better if the current one answers and the leader has not accepted the candidate's
        reports recently.
        """
        candidate = self._candidate
        self._candidate = ""
        is_reported_upstream = 0 <= received.upstream_age <= self.lease // 2
        if not self._failures and not is_reported_upstream:
            self._avoided_until[candidate] = now + self.lease
            self.due_at = now + RESEND_DELAY
            return False
        self.current_aggregator = candidate
        self._current_since = now
        self.acknowledged = {}
        if self._on_change is not None:
            self._on_change(candidate)
        return True

    def _acknowledge(self, received: ReceivedAnswer) -> None:
        for unit, status in self._in_flight.items():
            if unit not in received.refused_units and unit not in received.full_units:
                self.acknowledged[unit] = status
        for unit in received.incomplete_units:
            self.acknowledged.pop(unit, None)

    def _is_cut_off(self, now: int) -> bool:
        """Whether the leader accepts the current aggregator's reports too late, or not at all."""
        half_lease = self.lease // 2
        if self._upstream_age < 0:
            return now - self._current_since > half_lease
        return self._upstream_age > half_lease

    def on_failure(self, now: int, name: str) -> None:
        """Notes that the aggregator gave no answer in time, or none that can be read."""
        if name != self.target:
            return
        # The status may not have arrived: it is sent again under a new number.
        for unit in self._in_flight:
            self.acknowledged.pop(unit, None)
        if self._candidate:
            self._avoided_until[self._candidate] = now + self.lease
            self._candidate = ""
        else:
            self._failures += 1
        half_backoff = self._backoff() // 2
        self.due_at = now + half_backoff + self._rng.randrange(max(1, half_backoff))
        if self._failures >= FAILURES_BEFORE_SWITCH:
            self._consider_switch(now)

    def _backoff(self) -> int:
        doublings = min(max(0, self._failures - 1), MAX_BACKOFF_DOUBLINGS)
        return min(HEARTBEAT_INTERVAL << doublings, max(HEARTBEAT_INTERVAL, self.lease // 5))

    def _consider_switch(self, now: int) -> None:
        """Chooses another aggregator to try next, if one may be tried yet.

        One that failed or was no better is tried again a lease later, or half a lease later if the
        current one does not answer at all.
        """
        self._avoided_until[self.current_aggregator] = now + self.lease
        others = [name for name in self.aggregators if name != self.current_aggregator]
        if self._candidate or not others:
            return
        avoided_until, name = min((self._avoided_until.get(name, 0), name) for name in others)
        tolerance = self.lease // 2 if self._failures else 0
        if avoided_until > now + tolerance:
            return
        self._candidate = name
        # All of a zone's members may see the same fault at once and overload the other aggregator.
        self.due_at = now + self._rng.randrange(self._switch_spread)

    def valid_until(self) -> int:
        """Returns the time until which its units are certain to count as live; 0 if unknown."""
        if self._answered_at < 0 or self._upstream_age < 0:
            return 0
        return self._answered_at - self._upstream_age + self.lease
