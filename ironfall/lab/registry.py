"""A stand-in for the registry: the list of hosts, asked and watched, told late, versioned."""

import json
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ironfall.api.http import Answer, Bounds, HttpServer, Refused, Request
from ironfall.lab.hosts import Fleet, Host

HISTORY = 500


class Registry:
    """`GET /v1/list?after=VERSION&wait_ms=N&who=NAME`: changes since a version, or the whole list, or 204."""

    def __init__(self, address: tuple[str, int], fleet: Fleet, tell: Callable[..., None]) -> None:
        self.fleet, self.tell = fleet, tell
        self.rows: dict[str, dict[str, Any]] = {}
        self.began: dict[str, float] = {}
        self.log: deque[tuple[int, str, dict[str, Any]]] = deque(maxlen=HISTORY)
        self.version = 1
        self.waiters: set[Event] = set()
        self.order: dict[str, int] = {}  # the last change taken down of each host
        self.published: dict[str, int] = {}
        self.late = 0.0  # how much longer every change takes now
        fleet.listed = self.change
        self.server = HttpServer(address, Bounds(1000, 4096, 2.0, 60.0, 3.0), self.handle)

    def start(self) -> None:
        for host in self.fleet.hosts.values():
            self._row(host, "ready", 0)
        self.server.start()

    def change(self, host: Host, state: str, late: float) -> None:
        # Taken down as it is now and told later; an older change never overtakes a newer one of the same host.
        self.order[host.id] = self.order.get(host.id, 0) + 1
        row = self._describe(host, state)
        gevent.spawn_later(late + self.late, self._publish, host.id, row, self.order[host.id])

    def _describe(self, host: Host, state: str) -> dict[str, Any]:
        began = host.started
        return {"name": host.name, "address": f"{host.address[0]}:{host.address[1]}", "zone": host.zone, "state": state,
                "weight": 1.0, "incarnation": str(host.incarnation), "began": began}  # fmt: skip

    def _row(self, host: Host, state: str, order: int) -> None:
        self.rows[host.id] = self._describe(host, state)
        self.order[host.id] = order

    def _publish(self, host: str, row: dict[str, Any], order: int) -> None:
        if order < self.published.get(host, 0):
            return
        self.published[host] = order
        self.version += 1
        if row["state"] == "gone":
            self.rows.pop(host, None)
        else:
            self.rows[host] = row
        self.log.append((self.version, host, row))
        for waiter in self.waiters:
            waiter.set()

    def handle(self, request: Request) -> Answer:
        if (request.method, request.path) != ("GET", "/v1/list"):
            raise Refused(404, "only GET /v1/list is here")
        after, wait = request.number("after", -1), request.number("wait_ms", 0) / 1000
        if after >= self.version:
            waiter = Event()
            self.waiters.add(waiter)
            try:
                if not request.hold(waiter, wait):
                    return Answer(204)
            finally:
                self.waiters.discard(waiter)
        first = self.log[0][0] if self.log else self.version + 1
        whole = after < first - 1
        if whole:
            rows = list(self.rows.values())
        else:
            rows = list({host: row for version, host, row in self.log if version > after}.values())
        now = time.monotonic()
        told = [row | {"age_ms": round((now - row["began"]) * 1000)} for row in rows]
        body = json.dumps({"version": self.version, "whole": whole, "hosts": told}).encode()
        named = [[f"{r['name']}@{r['address']}", r["state"], int(r["began"] * 10_000)] for r in rows]
        self.tell("listed", to=request.query.get("who", ""), whole=whole, version=self.version, rows=named)
        return Answer(200, body, {"Content-Type": "application/json"})
