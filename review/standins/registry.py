"""A registry as docs/api.md has it: the list of hosts, told whole to whoever asks first."""

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.record import Record

MS_PER_SECOND = 1000
VERSION = 1


class Registry:
    """Serves `GET /v1/list`; the list does not change while a case runs.

    Attributes:
        rows: The hosts by name, as they are told, with the start of their processes.
    """

    def __init__(self, record: Record) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self._record = record

    async def start(self, ip: str, port: int) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, ip, port)

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
        if int(query["after"]) == VERSION:
            await asyncio.sleep(int(query["wait_ms"]) / MS_PER_SECOND)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        else:
            hosts = [self._told(row) for row in self.rows.values()]
            body = json.dumps({"version": VERSION, "whole": True, "hosts": hosts}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self._record.write("registry", f"tells {query.get('who', '')} of {len(hosts)} hosts")
        await writer.drain()

    def _told(self, row: dict[str, Any]) -> dict[str, Any]:
        """Returns a row as it is told, with the age of its process."""
        told = {name: value for name, value in row.items() if name != "started_at"}
        age_ms = round((time.monotonic() - row["started_at"]) * MS_PER_SECOND)
        return told | {"age_ms": age_ms}
