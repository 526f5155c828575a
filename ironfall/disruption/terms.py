"""The `(fleet ...)` part of a service's terms: who keeps the ledger, and what may be out.

`rules` makes of them the figures that enter the log, so that keepers with unlike files still hold the same ledger.
Times are tenths of a millisecond, shares parts of a million.
"""

from dataclasses import asdict, dataclass, fields
from typing import Any

from ironfall import words
from ironfall.decisions.interface import ServiceSettings
from ironfall.sexp import Node, Source
from ironfall.words import Facts, Form

SECOND = 10_000
MILLION = 1_000_000
SIZES = ("hosts", "directors", "permits", "holders", "asks")  # how many of each are kept
SNAPSHOT_MOST = 2**30 - 2**20  # bytes: one record on a keeper's disk
SHORTEST = 6 * SECOND  # a lease beside observers
# What a budget counts: hosts, or directors, of the whole fleet or of each of their groups.
SCOPES = ("fleet", "zone", "kind", "tenant", "directors", "directors-zone")


@dataclass(frozen=True)
class DisruptionRules:
    """All that the ledger counts by, as one entry of the log."""

    lease: int = 10 * SECOND
    drift: int = 10_000  # of two clocks against each other, of a million
    budgets: tuple[tuple[str, int, int], ...] = (
        ("fleet", 1 << 30, 100_000),
        ("directors", 1 << 30, 100_000),
    )
    margin: int = 200_000
    age: int = 600 * SECOND
    empty: int = 5 * SECOND
    begin: int = 60 * SECOND  # granted, and no drain begun
    drain: int = 600 * SECOND
    back: int = 600 * SECOND  # returning, and not seen back; or called back, and not returned
    voices: int = 2  # directors whose word takes a host for silent
    unplanned: int = 100_000
    near: int = 900_000
    pause: int = 60 * SECOND
    times: int = 3
    heal: int = 36_000 * SECOND
    bare: int = 20 * SECOND
    grace: int = 20 * SECOND
    pace: int = 1_000  # lines a second of one director's channel
    head: int = 8
    slowest: int = SECOND
    cold: int = 300_000
    warming: int = 60 * SECOND
    waiting: int = 1_024  # asks
    together: int = 256  # units of an ask
    open: int = 4_096  # permits
    history: int = 1_024  # asks that ended
    holders: int = 1_024
    hosts: int = 16_384
    directors: int = 4_096
    halts: int = 256

    def facts(self) -> dict[str, Any]:
        return asdict(self) | {"budgets": [list(b) for b in self.budgets]}

    @property
    def members(self) -> int:
        """The most that may ask keepers for anything."""
        return self.hosts + self.directors + self.holders

    @property
    def snapshot(self) -> int:
        """Bytes that a snapshot may come to, at names of 32 characters: records of hosts, directors and permits, who
        asked and was answered what, and each director's confirmations of 256 drains at once."""
        return 1_024 * self.members + 256 * self.open + 128 * self.directors * min(256, self.open)


def rules_of(facts: dict[str, Any]) -> DisruptionRules:
    """`Rules` from an entry; raises `ValueError` with what is wrong in it."""
    usual = DisruptionRules()
    known = {f.name for f in fields(DisruptionRules)}
    if unknown := sorted(set(facts) - known):
        raise ValueError(f"unknown rule {unknown[0]}")
    for name, value in facts.items():
        if name == "budgets":
            if not isinstance(value, list) or not all(
                isinstance(b, list)
                and len(b) == 3
                and b[0] in SCOPES
                and type(b[1]) is int
                and type(b[2]) is int
                and b[1] >= 0
                and 0 <= b[2] <= MILLION
                for b in value
            ):
                raise ValueError("budgets are [scope, number, parts of a million]")
            if len({b[0] for b in value}) < len(value):
                raise ValueError("a scope has two budgets")
        elif type(value) is not int or not 0 <= value < 1 << 53:
            raise ValueError(f"rule {name} is no whole number from 0 up")
    for name in ("lease", "pace", "voices", "waiting", "together", "open", "holders", "halts"):
        if facts.get(name, getattr(usual, name)) < 1:
            raise ValueError(f"rule {name} must be above nought")
    for name in ("hosts", "directors"):
        if facts.get(name, getattr(usual, name)) < 1_024:
            raise ValueError(f"rule {name} must be at least 1024")
    return DisruptionRules(
        **(
            facts | {"budgets": tuple((b[0], b[1], b[2]) for b in facts["budgets"])}
            if "budgets" in facts
            else facts
        )
    )


@dataclass(frozen=True)
class AggregatorSettings:
    """One observer: where it listens, whose members it hears, and for how many it has room."""

    name: str
    address: tuple[str, int]
    zone: str
    room: int = 16_384


@dataclass(frozen=True)
class FleetSettings:
    """No keepers: the fleet's parts are not there. Shares are parts of one."""

    keepers: tuple[tuple[str, tuple[str, int]], ...] = ()
    observers: tuple[
        AggregatorSettings, ...
    ] = ()  # none: members speak with the keepers themselves
    lease: int = DisruptionRules.lease
    drift: float = DisruptionRules.drift / MILLION
    budgets: tuple[tuple[str, int, float], ...] = ()
    margin: float = DisruptionRules.margin / MILLION
    age: int = DisruptionRules.age
    empty: int = DisruptionRules.empty
    begin: int = DisruptionRules.begin
    drain: int = DisruptionRules.drain
    back: int = DisruptionRules.back
    voices: int = DisruptionRules.voices
    unplanned: float = DisruptionRules.unplanned / MILLION
    near: float = DisruptionRules.near / MILLION
    pause: int = DisruptionRules.pause
    times: int = DisruptionRules.times
    heal: int = DisruptionRules.heal
    hosts: int = DisruptionRules.hosts
    directors: int = DisruptionRules.directors
    permits: int = DisruptionRules.open
    holders: int = DisruptionRules.holders
    asks: int = DisruptionRules.waiting

    def rules(self, service: ServiceSettings) -> DisruptionRules:
        shares = {
            name: round(getattr(self, name) * MILLION)
            for name in ("drift", "margin", "unplanned", "near")
        }
        same = (
            "lease",
            "age",
            "empty",
            "begin",
            "drain",
            "back",
            "voices",
            "pause",
            "times",
            "heal",
            "hosts",
            "directors",
            "holders",
        )
        return DisruptionRules(
            **{name: getattr(self, name) for name in same},
            **shares,
            open=self.permits,
            waiting=self.asks,
            budgets=tuple(
                (scope, number, round(share * MILLION)) for scope, number, share in self.budgets
            ),
            bare=service.unassigned_limit,
            grace=service.drain_grace,
            pace=max(1, int(service.entries_per_second)),
            head=-int(-service.message_overhead // 1),
            slowest=service.max_message_delay,
            cold=round(service.slow_start_share * MILLION),
            warming=service.slow_start_time,
        )


def read_fleet(form: Form, facts: Facts) -> FleetSettings:
    source, usual = form.source, FleetSettings()
    if not form.node.parts:
        return usual
    keepers: list[tuple[str, tuple[str, int]]] = []
    for node in form.all("keeper"):
        if (
            len(node.parts) != 3
            or not isinstance(node.parts[1].value, str)
            or not node.parts[1].value
        ):
            source.fault(node.at, 'expected (keeper "NAME" "ADDRESS")')
            continue
        name, address = node.parts[1].value, words.address(source, node.parts[2])
        if name in dict(keepers):
            source.fault(node.parts[1].at, f"keeper {name} is named twice")
        elif address in [a for _, a in keepers]:
            source.fault(node.parts[2].at, f"keeper {name} stands at another's address")
        keepers.append((name, address))
    if len(keepers) not in (1, 3, 5):
        source.fault(
            form.node.at, f"a fleet has 3 or 5 keepers (or 1, for a trial), not {len(keepers)}"
        )
    observers = _observers(form, facts, [address for _, address in keepers])
    budgets: list[tuple[str, int, float]] = []
    for node in form.all("budget"):
        budgets += _budget(source, node, [scope for scope, _, _ in budgets])
    for scope in ("fleet", "directors"):
        if scope not in [s for s, _, _ in budgets]:
            source.fault(
                form.node.at, f"(budget {scope} ...) is missing: without it all may be out at once"
            )
    halt = form.form("halt", False)
    shares = {"drift": words.part, "margin": words.part}
    read = {
        name: form.get(
            name,
            shares.get(name, words.count if name == "voices" else words.time),
            getattr(usual, name),
        )
        for name in ("lease", "drift", "margin", "age", "empty", "begin", "drain", "back", "voices")
    }
    kinds = {"unplanned": words.part, "near": words.part, "times": words.count}
    read |= {
        name: halt.get(name, kinds.get(name, words.time), getattr(usual, name))
        for name in ("unplanned", "near", "pause", "times", "heal")
    }
    for name, where in (("lease", form), ("empty", form), ("voices", form), ("pause", halt)):
        if not read[name]:
            source.fault(where.lists[name][0].at, f"({name} ...) must be above nought")
    read |= {name: form.get(name, words.count, getattr(usual, name)) for name in SIZES}
    for name in SIZES:
        if read[name] < 1_024:
            source.fault(
                form.lists[name][0].at,
                f"({name} ...) is at least 1024: fewer are kept in the same room",
            )
    if (
        DisruptionRules(
            hosts=read["hosts"], directors=read["directors"], holders=read["holders"]
        ).snapshot
        > SNAPSHOT_MOST
    ):
        largest = max((name for name in SIZES if name in form.lists), key=lambda name: read[name])
        source.fault(
            form.lists[largest][0].at, f"a snapshot of so many may be over {SNAPSHOT_MOST} bytes"
        )
    if read["drift"] >= 0.5:
        source.fault(
            form.lists["drift"][0].at, "clocks that drift by half of the time keep no lease"
        )
    if observers and 0 < read["lease"] < SHORTEST:
        # A report comes each 0.9 to 1.1 s, and an observer stands for a third of a lease after the last one.
        source.fault(
            form.lists["lease"][0].at,
            "beside observers a lease is 6s at least: they report each second",
        )
    if read["voices"] == 1:
        source.fault(
            form.lists["voices"][0].at, "one director's word is one voice: (voices N) is at least 2"
        )
    return FleetSettings(
        keepers=tuple(keepers), observers=observers, budgets=tuple(budgets), **read
    )


def _observers(
    form: Form, facts: Facts, taken: list[tuple[str, int]]
) -> tuple[AggregatorSettings, ...]:
    source, found = form.source, list[AggregatorSettings]()
    first: dict[str, Node] = {}  # of a zone
    for node in form.all("observer"):
        one = Form(source, node)
        if (
            len(one.values) != 2
            or not isinstance(one.values[0].value, str)
            or not one.values[0].value
        ):
            source.fault(node.at, 'expected (observer "NAME" "ADDRESS" (zone "ZONE"))')
            continue
        name, address = one.values[0].value, words.address(source, one.values[1])
        zone, room = (
            one.get("zone", words.text),
            one.get("room", words.count, AggregatorSettings.room),
        )
        one.done()
        if name in [o.name for o in found]:
            source.fault(one.values[0].at, f"observer {name} is named twice")
        if address in taken:
            source.fault(one.values[1].at, f"observer {name} stands at another's address")
        if zone and facts is not None and zone not in facts.zones:
            source.fault(
                one.lists["zone"][0].at,
                f"unknown zone {zone}; expected one of: {', '.join(facts.zones)}",
            )
        if not 1_024 <= room <= AggregatorSettings.room:
            source.fault(
                one.lists["room"][0].at,
                f"(room N) is from 1024 to {AggregatorSettings.room} members",
            )
        found.append(AggregatorSettings(name, address, zone, room))
        taken = [*taken, address]
        first.setdefault(zone, node)
    for zone, node in first.items():
        if zone and sum(o.zone == zone for o in found) < 2:
            source.fault(
                node.at,
                f"zone {zone} has one observer: were it lost, nobody could speak for the zone",
            )
    return tuple(found)


def _budget(source: Source, node: Node, known: list[str]) -> list[tuple[str, int, float]]:
    form = Form(source, node)
    scope = form.values[0].word if len(form.values) == 1 else ""
    if scope not in SCOPES:
        source.fault(node.at, f"expected (budget SCOPE ...), the scope one of {', '.join(SCOPES)}")
    if scope in known:
        source.fault(node.at, f"a second budget of {scope}")
    if not form.lists.get("number") and not form.lists.get("share"):
        source.fault(node.at, "a budget needs (number N), (share N%) or both")
    number, share = form.get("number", words.count, 1 << 30), form.get("share", words.part, 1.0)
    form.done()
    return [(scope, number, share)] if scope in SCOPES and scope not in known else []
