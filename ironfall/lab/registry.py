"""A stand-in for the registry: the list of hosts, asked and watched, told late, versioned.

Beside keepers (`Registry.beside`) it shows a host as draining for as long as their newest mark says so, and tells them
each change of the list.
"""

import json
import random
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

import gevent
from gevent.event import Event

from ironfall.api.http import Answer, Bounds, HttpServer, Refused, Request
from ironfall.disruption import DisruptionRules, Fence
from ironfall.lab.agents import Again, Follow, Keepers, Kept, Marks
from ironfall.lab.day import HostLine
from ironfall.lab.hosts import Fleet, Host

HISTORY = 500
TOGETHER = 768 * 1024  # bytes of hosts told at a time: a keeper takes an entry of 1 MiB


def kind_of(line: HostLine) -> str:
    return f"{line.cores} cores"


class Marking:
    """Which hosts keepers want marked, by the newest token of each; pure. `save` keeps it before it is shown."""

    def __init__(
        self,
        tokens: dict[str, int],
        leaving: list[str],
        save: Callable[..., None],
        tell: Callable[..., None],
        hosts: int = DisruptionRules.hosts,
    ) -> None:
        self.fence, self.leaving, self.save, self.tell = (
            Fence(tokens, hosts),
            set(leaving),
            save,
            tell,
        )
        self.shown = dict(self.fence.tokens)

    def marked(self, marks: Marks) -> list[str]:
        """The hosts that are now to be shown otherwise. Raises `OSError` where that can't be kept: nothing changed,
        and it is to be told again."""
        leaving, changed = set(self.leaving), []
        for unit, want, token in marks:
            kind, _, name = unit.partition("/")
            if kind != "host":
                continue
            # What starts stays as it is shown until its agent is heard to have acted: then it is told as ready.
            if not self.fence.allows(unit, token):
                self.tell("older", unit=unit, token=token, newest=self.fence.tokens.get(unit, 0))
            # Under one token it goes to ready and no more back: that would be a late word.
            elif want != "starting" and (
                self.shown.get(unit) != token or want == "ready" and name in leaving
            ):
                changed.append(name)
                (leaving.discard if want == "ready" else leaving.add)(name)
        if changed:
            self.save(tokens=self.fence.state(), leaving=sorted(leaving))
            self.leaving, self.shown = leaving, self.fence.state()
        return changed

    def dress(self, row: dict[str, Any]) -> dict[str, Any]:
        """A row as it is shown: with the token acted on, and draining where its host alone would say ready."""
        token = self.shown.get(f"host/{row['name']}", 0)
        state = (
            "draining" if row["state"] == "ready" and row["name"] in self.leaving else row["state"]
        )
        return row | {"state": state} | ({"token": token} if token else {})


class Telling:
    """What keepers are still to be told of the list; pure. Of each host the last word, so it is bounded by them.

    A list too long for one entry comes as several, each under a version of its own: what is not listed yet is asked for
    by nobody, and budgets are shares of those that are."""

    def __init__(self, number: int, together: int = TOGETHER) -> None:
        self.number, self.together = number, together  # over all that an earlier start told; bytes
        self.due: dict[str, dict[str, Any] | None] = {}  # None: it is gone

    def changed(self, name: str, said: dict[str, Any] | None) -> None:
        self.due.pop(name, None)
        self.due[name] = said

    def entry(self) -> dict[str, Any] | None:
        """Told anew under a higher number where nobody knows what became of the last one: states may come twice."""
        if not self.due:
            return None
        self.number += 1
        hosts: dict[str, dict[str, Any]] = {}
        gone: list[str] = []
        size = 0
        for name, said in self.due.items():
            size += len(json.dumps([name, said]))
            if size > self.together and (hosts or gone):
                break
            if said is None:
                gone.append(name)
            else:
                hosts[name] = said
        return {"k": "list", "v": self.number, "hosts": hosts, "gone": gone}

    def told(self, entry: dict[str, Any]) -> None:
        for name in [*entry["hosts"], *entry["gone"]]:
            if name in self.due and self.due[name] is entry["hosts"].get(name):
                del self.due[name]


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
        self.raw: dict[str, dict[str, Any]] = {}  # rows as hosts alone would have them
        self.marking: Marking | None = None
        self.telling: Telling | None = None
        self.jobs: list[Again] = []
        fleet.listed = self.change
        self.server = HttpServer(address, Bounds(1000, 4096, 2.0, 60.0, 3.0), self.handle)

    def start(self) -> None:
        for host in self.fleet.hosts.values():
            self._row(host, "ready", 0)
        self.server.start()

    # beside keepers

    def beside(
        self,
        hears: Keepers,
        tells: Keepers,
        kept: Kept,
        wall: Callable[[float], int],
        chance: random.Random,
        log: Any,
        hosts: int = DisruptionRules.hosts,
    ) -> None:
        """Before `start`. `wall`: a monotonic time (seconds) as tenths of a millisecond since 1970. `hosts`: the terms'
        `(hosts N)`."""
        self.marking = Marking(
            kept.state["tokens"], kept.state.get("leaving", []), kept.save, self.tell, hosts
        )
        self.telling, self.wall = Telling(kept.first()), wall
        follow = Follow(hears, self._marked)
        self.jobs = [
            Again(follow.once, 0.0, chance, log, "following marks"),
            Again(partial(self._tells, tells), 0.25, chance, log, "telling the list"),
        ]

    def _marked(self, marks: Marks) -> None:
        assert self.marking is not None
        for name in self.marking.marked(marks):
            for host, row in [(h, r) for h, r in self.raw.items() if r["name"] == name]:
                self._show(host, row)

    def _tells(self, keepers: Keepers) -> None:
        assert self.telling is not None
        while (entry := self.telling.entry()) is not None:
            answer = keepers.propose(entry)
            if not isinstance(answer, dict) or "ok" not in answer:
                raise ValueError(f"the list was refused: {str(answer)[:80]}")
            self.telling.told(entry)

    def _say(self, row: dict[str, Any]) -> None:
        """Keepers know hosts by name: one that came to another address is the same machine."""
        if self.telling is None or self.marking is None:
            return
        name, line = row["name"], self.fleet.hosts[row["name"]].line
        others = [r for r in self.raw.values() if r["name"] == name]
        if row["state"] == "gone":
            if not others:
                self.telling.changed(name, None)
            return
        self.telling.changed(
            name,
            {
                "zone": row["zone"],
                "kind": kind_of(line),
                "strength": round(1000 * line.cores * line.speed),
                "classes": (1 << len(self.fleet.terms.classes)) - 1,
                "ready": row["state"] == "ready",
                "token": row.get("token", 0),
                "started": self.wall(row["began"]),
            },
        )

    def change(self, host: Host, state: str, late: float) -> None:
        # Taken down as it is now and told later; an older change never overtakes a newer one of the same host.
        self.order[host.id] = self.order.get(host.id, 0) + 1
        row = self._describe(host, state)
        gevent.spawn_later(late + self.late, self._publish, host.id, row, self.order[host.id])

    def _describe(self, host: Host, state: str) -> dict[str, Any]:
        began = host.started
        return {
            "name": host.name,
            "address": f"{host.address[0]}:{host.address[1]}",
            "zone": host.zone,
            "state": state,
            "weight": 1.0,
            "incarnation": str(host.incarnation),
            "began": began,
        }

    def _row(self, host: Host, state: str, order: int) -> None:
        row = self.raw[host.id] = self._describe(host, state)
        self.rows[host.id] = self.marking.dress(row) if self.marking else row
        self.order[host.id] = order
        self._say(self.rows[host.id])

    def _publish(self, host: str, row: dict[str, Any], order: int) -> None:
        if order < self.published.get(host, 0):
            return
        self.published[host] = order
        if row["state"] == "gone":
            self.raw.pop(host, None)
        else:
            self.raw[host] = row
        self._show(host, row)

    def _show(self, host: str, row: dict[str, Any]) -> None:
        if self.marking:
            row = self.marking.dress(row)
            self.tell(
                "shown",
                unit=f"host/{row['name']}",
                state=row["state"],
                token=row.get("token", 0),
                leaving=row["name"] in self.marking.leaving,
            )
        self.version += 1
        if row["state"] == "gone":
            self.rows.pop(host, None)
        else:
            self.rows[host] = row
        self._say(row)
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
        named = [
            [f"{r['name']}@{r['address']}", r["state"], int(r["began"] * 10_000)] for r in rows
        ]
        self.tell(
            "listed", to=request.query.get("who", ""), whole=whole, version=self.version, rows=named
        )
        return Answer(200, body, {"Content-Type": "application/json"})
