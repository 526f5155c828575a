"""Changes of leadership, and the consensus session of this coordinator while it leads.

The session numbers the leader's proposals. Clients have separate sessions, in the state machine.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from ironfall.consensus import Outcome, Role
from ironfall.coordinator.coordinator_node import CoordinatorNode
from ironfall.coordinator.pending_replies import Reply

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

RETRY_DELAY_S = 0.05


@dataclass(frozen=True)
class _Leadership:
    """Who led at the last check."""

    is_leader: bool
    term: int
    leader: str


class LeaderSession:
    """Detects and logs changes of leadership, and opens a session when this coordinator leads.

    Attributes:
        number: the session's number; 0 until it is open.
    """

    def __init__(
        self,
        log: FilteringBoundLogger,
        open_session: Callable[[], Reply],
        spawn: Callable[[Callable[[int], None], int], object],
    ) -> None:
        """Begins without a session; `spawn` runs a function with its argument."""
        self.number = 0
        self._log = log
        self._open_session = open_session
        self._spawn = spawn
        self._last_command = 0
        self._was_opened = Event()
        self._leadership: _Leadership | None = None

    def note_leadership(self, node: CoordinatorNode) -> bool:
        """Returns whether the leadership changed since the last call."""
        now = _Leadership(node.role is Role.LEADER, node.term, node.leader)
        before = self._leadership
        if now == before:
            return False
        self._leadership = now
        if now.is_leader:
            if before is None or not before.is_leader or before.term != now.term:
                self._on_became_leader(node)
        elif now.leader and (
            before is None or (before.term, before.leader) != (now.term, now.leader)
        ):
            self._log.info("follows leader", reign=now.term, leader=now.leader)
        return True

    def _on_became_leader(self, node: CoordinatorNode) -> None:
        self.number = 0
        self._last_command = 0
        self._was_opened.clear()
        self._log.info("became leader", reign=node.term, entries=node.log.last_index)
        self._spawn(self._open, node.term)

    def _leads(self, term: int) -> bool:
        leadership = self._leadership
        return leadership is not None and leadership.is_leader and leadership.term == term

    def _open(self, term: int) -> None:
        while self._leads(term) and not self.number:
            reply = self._open_session()
            if self._leads(term) and reply.outcome is Outcome.DONE:
                self.number = int(reply.answer)
                self._was_opened.set()
            else:
                gevent.sleep(RETRY_DELAY_S)

    def wait(self, timeout_s: float) -> bool:
        """Waits for the session; returns whether it was opened within the time."""
        return bool(self._was_opened.wait(timeout_s))

    def next_command(self) -> int:
        """Returns the number of the next proposal."""
        self._last_command += 1
        return self._last_command
