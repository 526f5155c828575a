"""Messages between keepers: JSON by HTTP, one kept connection and one bounded queue to each.

They are messages of the agreement, and may be lost: where a peer takes none, the oldest go. Each names the incarnations
of both ends, so that one for or from an earlier life of a keeper is nobody's.
"""

import json
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ironfall.api.http import HttpClient
from ironfall.coordinator.sums import asked

WAITING = 128  # messages to a peer
BYTES = 8 * 2**20  # of what they carry
TOGETHER = 2 * 2**20  # bytes of messages in one post
CONNECT, ANSWER = 0.3, 1.0  # seconds
PATH = "/v1/peer/said"


class Peer:
    """One way to one keeper's address. `said` never waits."""

    def __init__(
        self, address: tuple[str, int], chance: random.Random, spawn: Callable[..., gevent.Greenlet]
    ) -> None:
        self.client, self.chance = HttpClient(address, CONNECT, 1 << 16), chance
        self.queue: deque[tuple[int, dict[str, Any]]] = deque()
        self.size, self.dropped, self.failures = 0, 0, 0
        self.more = Event()
        self.loop = spawn(self._run)

    def said(self, message: dict[str, Any], size: int = 0) -> None:
        self.queue.append((size, message))
        self.size += size
        while len(self.queue) > WAITING or self.size > BYTES and len(self.queue) > 1:
            self.size -= self.queue.popleft()[0]
            self.dropped += 1
        self.more.set()

    def stop(self) -> None:
        self.loop.kill(block=False)
        self.client.close()

    def _run(self) -> None:
        while True:
            self.more.wait()
            self.more.clear()
            while self.queue:
                messages, size = [], 0
                while self.queue and size < TOGETHER:
                    more, message = self.queue.popleft()
                    messages.append(message)
                    size, self.size = size + more, self.size - more
                try:
                    body = json.dumps(messages, ensure_ascii=False).encode()
                    answer = self.client.call("POST", asked(PATH, body), ANSWER, body)
                    failed = answer.status != 204
                except OSError:
                    failed = True
                if failed:
                    # Not sent again: the agreement says it anew, and what it says then is newer.
                    self.failures += 1
                    gevent.sleep(0.02 + 0.05 * self.chance.random())
