"""A client: a connection to a proxy, over which exchanges are sent at a steady rate."""

import asyncio
import itertools
import random
from dataclasses import dataclass

from ironfall.generated import ironfall_pb2 as pb
from review.standins import frames
from review.standins.record import Record

TOKENS = itertools.count(1)
MS_PER_SECOND = 1000
# Beyond the abandon time, after which an exchange counts as never answered.
ANSWER_MARGIN_S = 0.5


@dataclass(frozen=True)
class Mix:
    """What clients ask for.

    Attributes:
        shares: The share of each class.
        abandon_s: The abandon time of each class, in seconds.
        rate: Exchanges per second of one client.
    """

    shares: tuple[float, ...]
    abandon_s: tuple[float, ...]
    rate: float


class Client:
    """Sends exchanges to one proxy and never repeats one.

    Attributes:
        outcomes: The outcome of each exchange, by token; None if no answer came in time.
    """

    def __init__(self, name: str, mix: Mix, record: Record, seed: int) -> None:
        self.name, self.mix = name, mix
        self.outcomes: dict[int, int | None] = {}
        self._record = record
        self._random = random.Random(seed)
        self._pending: dict[int, asyncio.Future[int]] = {}

    async def connect(self, address: tuple[str, int]) -> None:
        """Connects to a proxy."""
        reader, self._writer = await asyncio.open_connection(*address)
        self._writer.write(frames.encode(hello=pb.Hello(who=self.name)))
        self._reading = asyncio.create_task(self._read(reader))

    async def run(self) -> None:
        """Sends exchanges until it is cancelled."""
        waiting: set[asyncio.Task[None]] = set()
        while True:
            task = asyncio.create_task(self._ask())
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(self._random.expovariate(self.mix.rate))

    async def _ask(self) -> None:
        mix, token = self.mix, next(TOKENS)
        kind = self._random.choices(range(len(mix.shares)), mix.shares)[0]
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._pending[token] = future
        left_ms = round(mix.abandon_s[kind] * MS_PER_SECOND)
        exchange = pb.Exchange(
            id=token, kind=kind, token=token, key=token, left_ms=left_ms, client_try=1
        )
        self._record.write(self.name, f"sends token {token} kind {kind}")
        self._writer.write(frames.encode(exchange=exchange))
        outcome: int | None = None
        try:
            async with asyncio.timeout(mix.abandon_s[kind] + ANSWER_MARGIN_S):
                outcome = await future
        except TimeoutError:
            pass
        self.outcomes[token] = outcome
        text = "nothing" if outcome is None else pb.Outcome.Name(outcome)
        self._record.write(self.name, f"gets {text} for token {token}")

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                frame = await frames.read(reader)
                future = self._pending.pop(frame.answer.id, None)
                if future is not None and not future.done():
                    future.set_result(frame.answer.outcome)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass

    def close(self) -> None:
        """Closes the connection."""
        self._reading.cancel()
        self._writer.close()
