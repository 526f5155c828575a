"""The requests to a consensus node that wait for its reply."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from gevent.event import AsyncResult

from ironfall.consensus import Outcome

State = TypeVar("State")


@dataclass(frozen=True)
class Reply:
    """A node's reply.

    Attributes:
        outcome: what became of the request.
        answer: the state machine's, or the leader's identity; empty for other outcomes.
    """

    outcome: Outcome
    answer: bytes = b""


@dataclass(frozen=True)
class ReadReply(Generic[State]):
    """A node's reply to a read.

    Attributes:
        reply: as to other requests.
        state: what was read; None unless the outcome is `READ`.
    """

    reply: Reply
    state: State | None


@dataclass
class _PendingReply:
    """A request that waits.

    Attributes:
        result: gets the reply.
        on_readable: reads the state machine while it may be read; None if nothing is read.
    """

    result: "AsyncResult[Reply]"
    on_readable: Callable[[], None] | None


class PendingReplies:
    """Requests by token. Their number is bounded by the node."""

    def __init__(self) -> None:
        self._pending: dict[int, _PendingReply] = {}
        self._last_token = 0

    def register(
        self, on_readable: Callable[[], None] | None = None
    ) -> "tuple[int, AsyncResult[Reply]]":
        """Returns a new token, and the result to wait for."""
        self._last_token += 1
        result: AsyncResult[Reply] = AsyncResult()
        self._pending[self._last_token] = _PendingReply(result, on_readable)
        return self._last_token, result

    def discard(self, token: int) -> None:
        """Nobody waits for this reply any longer."""
        self._pending.pop(token, None)

    def resolve(self, token: int, reply: Reply) -> None:
        """Passes a reply on, if somebody waits for it."""
        pending = self._pending.pop(token, None)
        if pending is None:
            return
        if reply.outcome is Outcome.READ and pending.on_readable is not None:
            pending.on_readable()
        pending.result.set(reply)

    def fail_all(self) -> None:
        """The node is gone: the outcome of all requests is unknown."""
        for token in list(self._pending):
            self.resolve(token, Reply(Outcome.UNKNOWN_OUTCOME))
