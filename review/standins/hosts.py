"""Hosts as docs/api.md has them: they run each exchange at once, and answer probes."""

import asyncio

from ironfall.generated import ironfall_pb2 as pb
from review.standins import frames
from review.standins.record import Record


class Host:
    """One host; it is up from `start` to `stop`."""

    def __init__(self, record: Record, name: str, zone: str, address: tuple[str, int]) -> None:
        self.name, self.zone, self.address = name, zone, address
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def id(self) -> str:
        """How exchanges and probes name it."""
        return f"{self.name}@{self.address[0]}:{self.address[1]}"

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def stop(self) -> None:
        """Ends."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                frame = await frames.read(reader)
                what = frame.WhichOneof("what")
                if what in ("exchange", "probe"):
                    self._answer(getattr(frame, what), what, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(
        self, asked: pb.Exchange | pb.Probe, what: str, writer: asyncio.StreamWriter
    ) -> None:
        outcome = pb.FULFILLED if asked.host == self.id else pb.REFUSED
        if what == "exchange" and outcome == pb.FULFILLED:
            self._record.write(self.name, f"runs token {asked.token}")
        gauges = pb.Gauges(inflight=0)
        writer.write(frames.encode(answer=pb.Answer(id=asked.id, outcome=outcome, gauges=gauges)))
