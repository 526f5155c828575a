"""Hosts as docs/api.md has them: they run each exchange at once, and answer probes."""

import asyncio
import time

from ironfall.generated import ironfall_pb2 as pb
from review.standins import frames
from review.standins.record import Record

SERVICE_S = 0.2


class Host:
    """One host; it is up from `start` to `stop`.

    Attributes:
        arrivals: When each exchange came.
        in_hand: How many exchanges are running.
    """

    def __init__(self, record: Record, name: str, zone: str, address: tuple[str, int]) -> None:
        self.name, self.zone, self.address = name, zone, address
        self.arrivals: list[float] = []
        self.in_hand = 0
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def id(self) -> str:
        """How exchanges and probes name it."""
        return f"{self.name}@{self.address[0]}:{self.address[1]}"

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def stop(self) -> None:
        """Ends: connections are reset, and what is in hand is gone."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                frame = await frames.read(reader)
                what = frame.WhichOneof("what")
                if what == "exchange":
                    task = asyncio.create_task(self._run(frame.exchange, writer))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                elif what == "probe":
                    gauges = pb.Gauges(inflight=self.in_hand)
                    answer = pb.Answer(id=frame.probe.id, outcome=pb.FULFILLED, gauges=gauges)
                    writer.write(frames.encode(answer=answer))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, exchange: pb.Exchange, writer: asyncio.StreamWriter) -> None:
        self.arrivals.append(time.monotonic())
        outcome = pb.FULFILLED if exchange.host == self.id else pb.REFUSED
        if outcome == pb.FULFILLED:
            self._record.write(self.name, f"runs token {exchange.token}")
            self.in_hand += 1
            await asyncio.sleep(SERVICE_S)
            self.in_hand -= 1
        if not writer.is_closing():
            writer.write(frames.encode(answer=pb.Answer(id=exchange.id, outcome=outcome)))
