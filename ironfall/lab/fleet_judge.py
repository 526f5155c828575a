"""The fleet's judge: whether work on hosts and directors kept to what was agreed, from tapes of registry, hosts,
agents, directors and operators alone. What keepers say counts for nothing here. Pure.

    shown   registry: unit, state as it is listed from now on, token acted on, whether that means leaving
    stopped, started   a host's or director's agent: unit, inc, token
    up, down        a host or director itself; `hand`: exchanges that were in hand when it went
    halt, lift      an operator, once a keeper said that it is done: scope

A unit is `host/NAME` or `director/NAME`. Out by order is what was marked as leaving or stopped, until it is shown ready
under a token no older and is up.
"""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ironfall.lab.judge import Rule

SECOND = 10_000
SLACK = 500  # between an agent's act and the end of what it stops, both on the tape
RULES = {
    "budget": "planned work never goes over a budget, and gives way where loss does",
    "halt": "nothing begins after a halt and its lease",
    "hand": "no host is stopped with exchanges in hand, or while the list calls it ready",
    "token": "nobody acts by an older token",
    "ends": "what is out by order comes back",
}


@dataclass(frozen=True)
class Fleet:
    """What the tapes are judged by. Times are tenths of a millisecond, shares of a million."""

    hosts: dict[str, tuple[str, str, tuple[str, ...]]]  # zone, kind, tenants
    directors: dict[str, str]  # zone
    budgets: tuple[tuple[str, int, int], ...]  # scope, number, share
    lease: int
    drift: int
    notice: int  # until a loss must have been heard of, and any order under way been heard
    undo: int  # until what can be undone must be, after that
    ends: int  # the longest that anything may be out by order


@dataclass
class Unit:
    scopes: list[str]
    halts: list[str]  # the scopes of halts that stop it
    up: bool = True
    state: str = "ready"
    planned: int = -1  # since when it is out by order
    stopped: bool = False  # by its agent, and not yet started
    lost: int = -1  # since when it is out by itself
    stops: tuple[int, int] = (-SLACK - 1, 0)  # the last: when, incarnation
    acted: dict[str, int] = field(default_factory=dict)  # newest token by who acted


class FleetJudge:
    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.rules = fleet, {name: Rule() for name in RULES}
        self.units: dict[str, Unit] = {}
        for name, (zone, kind, tenants) in fleet.hosts.items():
            of = [f"tenant {t}" for t in tenants]
            scopes = ["fleet", f"zone {zone}", f"kind {kind}", *of]
            self.units[f"host/{name}"] = Unit(scopes, ["all", f"zone {zone}", *of])
        for name, zone in fleet.directors.items():
            self.units[f"director/{name}"] = Unit(
                ["directors", f"directors-zone {zone}"], ["all", f"zone {zone}"]
            )
        self.total: dict[str, int] = defaultdict(int)
        for unit in self.units.values():
            for scope in unit.scopes:
                self.total[scope] += 1
        budgets = {scope: (number, share) for scope, number, share in fleet.budgets}
        self.limits = {}
        for scope, total in self.total.items():
            if (found := budgets.get(scope.partition(" ")[0])) is not None:
                self.limits[scope] = min(found[0], total * found[1] // 1_000_000)
        self.out: dict[str, int] = defaultdict(int)
        self.undoable: dict[str, int] = defaultdict(int)  # of those out, what is marked and up
        self.over: dict[str, int] = {}  # scopes that are, with what could be undone; since when
        self.losses: deque[tuple[int, str]] = deque()
        self.halts: dict[str, int] = {}
        self.now = self.first = -1

    def read(self, rows: Iterable[dict[str, Any]]) -> "FleetJudge":
        for row in rows:
            handler = getattr(self, "_on_" + str(row["e"]), None)
            if handler:
                self.now = row["t"]
                self.first = self.now if self.first < 0 else self.first
                handler(row["t"], row)
        return self

    def verdict(self, until: int) -> dict[str, Rule]:
        """`until`: the end of the tapes; nothing on them may be just what is wrong."""
        self.now = max(self.now, until)
        for scope in list(self.over):
            self._within(scope)
        for name, unit in self.units.items():
            if unit.planned >= 0:
                self._ends(name, unit, "is still out by order")
        return self.rules

    # what was seen

    def _on_shown(self, t: int, row: dict[str, Any]) -> None:
        name, token, state = row["unit"], row["token"], row["state"]
        if (unit := self.units.get(name)) is None:
            return
        if token:
            self._acts(name, unit, row["who"], token)
        with _Counted(self, unit):
            unit.state = state
            begins = row["leaving"] and unit.planned < 0
            if begins:
                unit.planned = t
            elif state == "ready" and token >= max(unit.acted.values(), default=0):
                self._returned(name, unit)
            self._lost(t, name, unit)
        if begins:
            self._begins(t, name, unit, "is marked")

    def _on_stopped(self, t: int, row: dict[str, Any]) -> None:
        name = row["unit"]
        if (unit := self.units.get(name)) is None:
            return
        self._acts(name, unit, row["who"], row["token"])
        if name.startswith("host/"):
            ready = unit.state == "ready" and unit.up
            self.rules["hand"].measure(
                2.0 * ready, f"{self._at(t)} {name} is stopped while the list calls it ready"
            )
        with _Counted(self, unit):
            unit.planned = t if unit.planned < 0 else unit.planned
            unit.stopped, unit.stops = True, (t, row["inc"])
        self._begins(t, name, unit, "is stopped")

    def _on_started(self, t: int, row: dict[str, Any]) -> None:
        if unit := self.units.get(row["unit"]):
            self._acts(row["unit"], unit, row["who"], row["token"])
            with _Counted(self, unit):
                unit.stopped = False

    def _named(self, row: dict[str, Any]) -> str:
        return (
            f"host/{row['who']}" if f"host/{row['who']}" in self.units else f"director/{row['who']}"
        )

    def _on_up(self, t: int, row: dict[str, Any]) -> None:
        if unit := self.units.get(self._named(row)):
            with _Counted(self, unit):
                unit.up = True
                if unit.state == "ready" and not unit.stopped:
                    self._returned(self._named(row), unit)
                self._lost(t, self._named(row), unit)

    def _on_down(self, t: int, row: dict[str, Any]) -> None:
        name = self._named(row)
        if (unit := self.units.get(name)) is None:
            return
        at, incarnation = unit.stops
        if t - at <= SLACK and incarnation == row["inc"]:
            hand = row.get("hand", 0)
            self.rules["hand"].measure(
                2.0 * (hand > 0), f"{self._at(t)} {name} is stopped with {hand} in hand"
            )
        with _Counted(self, unit):
            unit.up = False
            self._lost(t, name, unit)

    def _on_halt(self, t: int, row: dict[str, Any]) -> None:
        self.halts.setdefault(row["scope"], t)

    def _on_lift(self, _t: int, row: dict[str, Any]) -> None:
        self.halts.pop(row["scope"], None)

    # what follows

    def _returned(self, name: str, unit: Unit) -> None:
        if unit.planned >= 0 and unit.up and not unit.stopped:
            self._ends(name, unit, "came back")
            unit.planned = -1

    def _ends(self, name: str, unit: Unit, what: str) -> None:
        lasted = self.now - unit.planned
        self.rules["ends"].measure(
            lasted / self.fleet.ends,
            f"{self._at(self.now)} {name} {what} after {lasted / SECOND:.1f}s",
        )

    def _lost(self, t: int, name: str, unit: Unit) -> None:
        fails = not unit.up or unit.state != "ready"
        if unit.planned >= 0 or not fails:
            unit.lost = -1
        elif unit.lost < 0:
            unit.lost = t
            self.losses.append((t, name))

    def _acts(self, name: str, unit: Unit, who: str, token: int) -> None:
        newest = unit.acted.get(who, 0)
        text = f"{self._at(self.now)} {who} acts on {name} by {token} after {newest}"
        self.rules["token"].measure(2.0 * (token < newest), text)
        unit.acted[who] = max(token, newest)

    def _begins(self, t: int, name: str, unit: Unit, what: str) -> None:
        lasts = self.fleet.lease + self.fleet.lease * self.fleet.drift // 1_000_000
        for scope in unit.halts:
            if scope in self.halts:
                after = t - self.halts[scope]
                text = f"{self._at(t)} {name} {what} {after / SECOND:.1f}s after {scope} was halted"
                self.rules["halt"].measure(after / lasts, text)
        while self.losses and self.losses[0][0] < t - self.fleet.notice:
            self.losses.popleft()
        # What nobody can have heard of yet is no reason to wait.
        fresh = {
            other for at, other in self.losses if self.units[other].lost == at and other != name
        }
        for scope in unit.scopes:
            if (limit := self.limits.get(scope)) is not None:
                out = self.out[scope] - sum(scope in self.units[other].scopes for other in fresh)
                text = f"{self._at(t)} {name} {what}: {out} are out in {scope}, and {limit} may be"
                self.rules["budget"].measure(out / limit if limit else 2.0, text)

    def count(self, unit: Unit, way: int) -> None:
        for scope in unit.scopes:
            self.out[scope] += way * (unit.planned >= 0 or unit.lost >= 0)
            self.undoable[scope] += way * (unit.planned >= 0 and unit.up and unit.state != "ready")

    def weigh(self, unit: Unit) -> None:
        """Whether planned work gives way where more is out than may be."""
        for scope in unit.scopes:
            over = self.out[scope] > self.limits.get(scope, 1 << 60) and self.undoable[scope] > 0
            if over:
                self.over.setdefault(scope, self.now)
            elif scope in self.over:
                self._within(scope)

    def _within(self, scope: str) -> None:
        lasted = self.now - self.over.pop(scope)
        text = f"{self._at(self.now)} {scope} was over its budget for {lasted / SECOND:.1f}s, and drains went on"
        self.rules["budget"].measure(lasted / (self.fleet.notice + self.fleet.undo), text)

    def _at(self, t: int) -> str:
        return f"{(t - self.first) / SECOND:.2f}s:"


class _Counted:
    """A change of a unit, with the counts moved along."""

    def __init__(self, judge: FleetJudge, unit: Unit) -> None:
        self.judge, self.unit = judge, unit

    def __enter__(self) -> None:
        self.judge.count(self.unit, -1)

    def __exit__(self, *_: object) -> None:
        self.judge.count(self.unit, 1)
        self.judge.weigh(self.unit)
