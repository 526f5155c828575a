"""Sends messages to the other coordinators: JSON over HTTP, a connection and a queue for each.

Consensus tolerates lost messages: the queues are bounded, and drop the oldest while a peer accepts
none. Each message names the incarnations of both ends, so that those of earlier ones are ignored.
"""

import json
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

import gevent
from gevent.event import Event

from ironfall.api.http import HttpClient
from ironfall.coordinator.peer_codec import Envelope
from ironfall.coordinator.sums import with_checksum

MAX_QUEUED_MESSAGES = 128
# The size of entries and snapshots in the messages queued for one peer.
MAX_QUEUED_BYTES = 8 * 2**20
# Once the entries and snapshots of a post have this size, later messages go into the next post.
MAX_POST_BYTES = 2 * 2**20
CONNECT_TIMEOUT_S = 0.3
ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 1 << 16
MIN_RETRY_DELAY_S = 0.02
RETRY_JITTER_S = 0.05
MESSAGES_PATH = "/v1/peer/said"

Address = tuple[str, int]
Spawn = Callable[[Callable[[], None]], gevent.Greenlet]


def name_of(identity: str) -> str:
    """Returns the name of a coordinator without its incarnation."""
    return identity.partition("/")[0]


@dataclass(frozen=True)
class _QueuedMessage:
    envelope: Envelope
    payload_bytes: int


class PeerConnection:
    """The connection to one coordinator, and its queue.

    Attributes:
        dropped: messages dropped because the queue was full.
        failures: posts that failed.
    """

    def __init__(self, address: Address, random_source: random.Random, spawn: Spawn) -> None:
        """Starts the loop that sends, with `spawn`."""
        self.dropped = 0
        self.failures = 0
        self._client = HttpClient(address, CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES)
        self._random_source = random_source
        self._queue: deque[_QueuedMessage] = deque()
        self._queued_bytes = 0
        self._was_queued = Event()
        self._loop = spawn(self._run)

    @property
    def is_idle(self) -> bool:
        """Whether no message is queued."""
        return not self._queue

    def send(self, envelope: Envelope, payload_bytes: int) -> None:
        """Queues a message; never waits."""
        self._queue.append(_QueuedMessage(envelope, payload_bytes))
        self._queued_bytes += payload_bytes
        while self._is_over_bounds():
            dropped = self._queue.popleft()
            self._queued_bytes -= dropped.payload_bytes
            self.dropped += 1
        self._was_queued.set()

    def _is_over_bounds(self) -> bool:
        if len(self._queue) > MAX_QUEUED_MESSAGES:
            return True
        return self._queued_bytes > MAX_QUEUED_BYTES and len(self._queue) > 1

    def stop(self) -> None:
        """Closes the connection and drops queued messages."""
        self._loop.kill(block=False)
        self._client.close()

    def _run(self) -> None:
        while True:
            self._was_queued.wait()
            self._was_queued.clear()
            while self._queue:
                if not self._post(self._next_batch()):
                    # Not retried: consensus sends newer messages by itself.
                    self.failures += 1
                    jitter_s = RETRY_JITTER_S * self._random_source.random()
                    gevent.sleep(MIN_RETRY_DELAY_S + jitter_s)

    def _next_batch(self) -> list[Envelope]:
        batch: list[Envelope] = []
        batch_bytes = 0
        while self._queue and batch_bytes < MAX_POST_BYTES:
            message = self._queue.popleft()
            batch.append(message.envelope)
            batch_bytes += message.payload_bytes
            self._queued_bytes -= message.payload_bytes
        return batch

    def _post(self, batch: list[Envelope]) -> bool:
        """Returns whether the peer has accepted the messages."""
        messages = [envelope.to_json() for envelope in batch]
        body = json.dumps(messages, ensure_ascii=False).encode()
        path = with_checksum(MESSAGES_PATH, body)
        try:
            answer = self._client.call("POST", path, ANSWER_TIMEOUT_S, body)
        except OSError:
            return False
        return answer.status == HTTPStatus.NO_CONTENT


class PeerNetwork:
    """The connections to all other coordinators, by name."""

    def __init__(
        self, addresses: Mapping[str, Address], random_source: random.Random, spawn: Spawn
    ) -> None:
        self._connections = {
            name: PeerConnection(address, random_source, spawn)
            for name, address in addresses.items()
        }

    def has_peer(self, identity: str) -> bool:
        """Returns whether there is a coordinator with this identity's name."""
        return name_of(identity) in self._connections

    def send(self, envelope: Envelope, payload_bytes: int = 0) -> None:
        """Sends a message; drops it if its receiver is unknown."""
        connection = self._connections.get(name_of(envelope.receiver))
        if connection is not None:
            connection.send(envelope, payload_bytes)

    @property
    def is_idle(self) -> bool:
        """Whether no message is queued."""
        return all(connection.is_idle for connection in self._connections.values())

    def stop(self) -> None:
        """Closes all connections."""
        for connection in self._connections.values():
            connection.stop()
