"""A registry as docs/api.md has it: the versioned list of hosts, by long polls."""

import asyncio
import json
import math
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.record import Record

MS_PER_SECOND = 1000


class Registry:
    """Serves `GET /v1/list`: the whole list first, then only what changed.

    Attributes:
        rows: The hosts by name, as they are told, with the start of their processes.
        version: Of the newest change.
        spoilt_answers: How many of the next answers have a bad host.
        asked_at: When it was last asked, by who asked.
    """

    def __init__(self, record: Record) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.spoilt_answers = 0
        self.asked_at: dict[str, float] = {}
        self._record = record
        self._changed_in: dict[str, int] = {}
        self._changed = asyncio.Condition()

    async def start(self, ip: str, port: int) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def change(self, name: str, **fields: Any) -> None:
        """Changes the row of a host, and tells it to whoever waits."""
        async with self._changed:
            self.version += 1
            self.rows[name] = self.rows[name] | fields
            self._changed_in[name] = self.version
            self._record.write("registry", f"version {self.version}: {name} has {fields}")
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass  # the headers
                await self._answer(line.decode().split()[1], writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, writer: asyncio.StreamWriter) -> None:
        query = {key: values[0] for key, values in parse_qs(urlsplit(path).query).items()}
        after, who = int(query["after"]), query.get("who", "")
        self.asked_at[who] = time.monotonic()
        self._record.write("registry", f"is asked by {who} for what came after version {after}")
        if after == self.version:
            await self._wait_for_change(after, int(query["wait_ms"]) / MS_PER_SECOND)
        if after == self.version:
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        else:
            body = json.dumps(self._answer_after(after, who)).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()

    def _answer_after(self, after: int, who: str) -> dict[str, Any]:
        is_whole = after < 0
        hosts = [
            self._told(row)
            for name, row in self.rows.items()
            if is_whole or self._changed_in.get(name, 1) > after
        ]
        if self.spoilt_answers:
            self.spoilt_answers -= 1
            hosts[0]["age_ms"] = math.inf
        told = ", ".join(f"{row['name']} {row['state']} age {row['age_ms']}" for row in hosts)
        self._record.write("registry", f"tells {who} version {self.version}: {told}")
        return {"version": self.version, "whole": is_whole, "hosts": hosts}

    def _told(self, row: dict[str, Any]) -> dict[str, Any]:
        """Returns a row as it is told, with the age of its process."""
        told = {name: value for name, value in row.items() if name != "started_at"}
        age_ms = round((time.monotonic() - row["started_at"]) * MS_PER_SECOND)
        return told | {"age_ms": age_ms}

    async def _wait_for_change(self, after: int, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: self.version > after)
        except TimeoutError:
            pass
