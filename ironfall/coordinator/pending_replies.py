"""Requests to a consensus node that wait for its reply."""

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
        outcome: the request's outcome.
        answer: the state machine's if it was done, the leader's identity if this node does not
            lead; else empty.
    """

    outcome: Outcome
    answer: bytes = b""


@dataclass(frozen=True)
class ReadReply(Generic[State]):
    """A node's reply to a read.

    Attributes:
        reply: the outcome.
        state: what was read; None unless the outcome is `READ`.
    """

    reply: Reply
    state: State | None


@dataclass
class _PendingReply:
    """A request that waits for its reply.

    Attributes:
        result: set to the reply.
        on_readable: reads the state machine while it may be read; None if nothing is read.
    """

    result: "AsyncResult[Reply]"
    on_readable: Callable[[], None] | None


class PendingReplies:
    """Pending requests by token; the node bounds their number."""

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
        """Discards a request whose reply is no longer waited for."""
        self._pending.pop(token, None)

    def resolve(self, token: int, reply: Reply) -> None:
        """Passes a reply to its request; ignores it if the request was discarded."""
        pending = self._pending.pop(token, None)
        if pending is None:
            return
        if reply.outcome is Outcome.READ and pending.on_readable is not None:
            pending.on_readable()
        pending.result.set(reply)

    def fail_all(self) -> None:
        """Ends all requests with an unknown outcome, as the node has stopped."""
        for token in list(self._pending):
            self.resolve(token, Reply(Outcome.UNKNOWN_OUTCOME))
