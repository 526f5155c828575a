"""What is known of hosts, directors, holders and permits, what stands, and what there is room for.

Nothing here moves a permit: `Ledger` does, and asks this.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import asdict
from typing import Any

from ironfall.disruption.records import Ask, Director, Halt, Holder, Host, Past, Permit, Zone
from ironfall.disruption.room import HOUR, Scopes, Strength, channel_time
from ironfall.disruption.settings import MILLION, DisruptionRules

Moved = list[list[Any]]


class Standing:
    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self.index = self.now = self.beat = 0
        self.agreed = False  # whether rules have been agreed
        self.rules = DisruptionRules()
        self.listed = 0  # the list's version
        self.hosts: dict[str, Host] = {}
        self.directors: dict[str, Director] = {}
        self.holders: dict[str, Holder] = {}
        self.observed: dict[str, str] = {}  # live directors that observers speak for: their zone
        self.zones: dict[str, Zone] = {}  # what observers say of zones
        self.asks: OrderedDict[str, Ask] = OrderedDict()  # in the order of waiting
        self.permits: dict[str, Permit] = {}  # open ones, by unit
        self.ended: OrderedDict[str, list[Any]] = OrderedDict()
        self.halts: dict[str, Halt] = {}
        self.past: dict[str, Past] = {}
        self.moved: Moved = []
        self.held: dict[str, str] = {}  # scopes that an aged ask keeps free for itself
        self.rested = True  # nothing changed since asks were last served
        self.firm = True  # nor what could ever be granted
        self._derive()

    def _derive(self) -> None:
        """What is counted, made anew from the records."""
        self.scopes, self.strength = Scopes(), Strength()
        self.scopes.rule(self.rules)
        self.asked = {unit: ask.id for ask in self.asks.values() for unit in ask.units}
        self.draining = sum(1 for p in self.permits.values() if p.state in ("granted", "draining"))
        self.channel: tuple[int, int, int, int, int] | None = None
        self.waits = self.live_directors = self.proxies = 0
        self.nearing: set[str] = set()  # live directors with a rule near its limit
        self.cold: set[str] = set()
        self.strays = {name for name, host in self.hosts.items() if host.stray}
        self.behind: dict[str, set[str]] = {}  # live directors behind observers, by zone
        for name, zone in self.observed.items():
            self.behind.setdefault(zone, set()).add(name)
        for name in self.hosts:
            self._count_host(name, 1)
        for name in self.directors:
            self._count_director(name, 1)

    def _known(self, unit: str) -> bool:
        kind, _, name = unit.partition("/")
        return name in self.hosts if kind == "host" else name in self.directors

    def _incarnation(self, unit: str) -> int:
        kind, _, name = unit.partition("/")
        return self.hosts[name].agent if kind == "host" else self.directors[name].incarnation

    def _stands(self, unit: str) -> bool:
        kind, _, name = unit.partition("/")
        if kind == "director":
            return self.directors[name].live
        host = self.hosts[name]
        return host.listed and host.ready and len(host.silent) < self.rules.voices

    def _scopes(self, unit: str) -> list[str]:
        kind, _, name = unit.partition("/")
        if kind == "director":
            return ["directors", f"directors-zone {self.directors[name].zone}"]
        host = self.hosts[name]
        return [
            "fleet",
            f"zone {host.zone}",
            f"kind {host.kind}",
            *(f"tenant {t}" for t in host.tenants),
        ]

    def _halting(self, unit: str, release: str) -> list[str]:
        """The scopes of a halt that stop this."""
        kind, _, name = unit.partition("/")
        if kind == "director":
            return ["all", f"zone {self.directors[name].zone}", f"release {release}"]
        host = self.hosts[name]
        return [
            "all",
            f"zone {host.zone}",
            *(f"tenant {t}" for t in host.tenants),
            f"release {release}",
        ]

    def _halted(self, unit: str, release: str) -> str:
        if not self.halts:
            return ""
        scopes = self._halting(unit, release)
        return next((f"{s} ({self.halts[s].reason})" for s in scopes if s in self.halts), "")

    def _unknown(self, unit: str) -> str:
        """The zone of this where none of the zone's observers is heard: nothing new begins there."""
        if not self.zones:
            return ""
        kind, _, name = unit.partition("/")
        zone = self.hosts[name].zone if kind == "host" else self.directors[name].zone
        return zone if zone in self.zones and self.zones[zone].unknown else ""

    def _doubted(self) -> list[str]:
        """Live directors of unknown zones: no loss, and none to count on when more are to go."""
        return [
            name
            for zone, held in self.zones.items()
            if held.unknown
            for name in self.behind.get(zone, ())
            if "director/" + name not in self.permits
        ]

    def _count(self, unit: str, way: int) -> None:
        kind, _, name = unit.partition("/")
        self._count_host(name, way) if kind == "host" else self._count_director(name, way)

    def _count_host(self, name: str, way: int) -> None:
        host, permit = self.hosts[name], self.permits.get("host/" + name)
        failed = not self._stands("host/" + name)
        out, undoing = (
            failed or permit is not None,
            permit is not None and permit.state == "undoing",
        )
        self.scopes.add(self._scopes("host/" + name), way, out, undoing, permit is None and failed)
        if host.cold:
            (self.cold.add if way > 0 else self.cold.discard)(name)
        lends = host.strength * self.rules.cold // MILLION if host.cold else host.strength
        self.strength.add(
            host.classes,
            way * host.strength,
            0 if out else way * lends,
            way * lends if undoing else 0,
            way * lends if permit else 0,
        )

    def _count_director(self, name: str, way: int) -> None:
        director, permit = self.directors[name], self.permits.get("director/" + name)
        undoing = permit is not None and permit.state == "undoing"
        self.scopes.add(
            self._scopes("director/" + name),
            way,
            not director.live or permit is not None,
            undoing,
            permit is None and not director.live,
        )
        self.proxies += way * director.proxies
        near = way > 0 and director.live and director.near >= self.rules.near
        (self.nearing.add if near else self.nearing.discard)(name)
        self.channel = None

    @property
    def live(self) -> int:
        self._channel()
        return self.live_directors

    def _channel(self) -> tuple[int, int, int, int, int]:
        """Of directors: how many stand, their proxies, those of the others not seen elsewhere, the most lines of a
        binding, and the proxies of those without a lease that were seen nowhere else."""
        if self.channel is None:
            seen: dict[str, int] = {}
            for director in self.directors.values():
                for name, (incarnation, proxies) in director.took.items() if director.live else ():
                    if name in self.directors and self.directors[name].incarnation == incarnation:
                        seen[name] = seen.get(name, 0) + proxies
            standing = staying = moving = binding = unknown = live = 0
            self.waits = 0
            for name, director in self.directors.items():
                left = max(0, director.proxies - seen.get(name, 0))
                binding = max(binding, director.binding)
                live += director.live
                if director.live and "director/" + name not in self.permits:
                    standing += 1
                    staying += director.proxies
                    self.waits = max(self.waits, director.waiting)
                else:
                    # One that never spoke may have had any number: it is known only when it is back or forgotten.
                    moving += director.proxies if director.live else left
                    unknown += 0 if director.live else max(left, not director.spoke)
            self.live_directors = live
            self.channel = standing, staying, moving, binding, unknown
        return self.channel

    def _channel_short(self, hosts: int, directors: list[str], alone: bool = False) -> bool:
        """Whether the channel can't do what is under way, these drains and these directors' proxies."""
        standing, staying, moving, binding, _ = self._channel()
        if not self.directors and not directors:
            return False
        names = [
            d for d in directors if "director/" + d not in self.permits and self.directors[d].live
        ]
        going = sum(self.directors[d].proxies for d in names)
        drains, waiting = self.draining + hosts, self.waits
        if alone:
            back = [self.directors[u[9:]] for u in self.permits if u.startswith("director/")]
            back = [d for d in back if d.live]
            standing, staying = standing + len(back), staying + sum(d.proxies for d in back)
            moving, drains, waiting = moving - sum(d.proxies for d in back), hosts, 0
        time = channel_time(
            self.rules,
            standing - len(names),
            staying - going,
            moving + going,
            binding,
            waiting,
            drains,
        )
        return time > (min(self.rules.bare, self.rules.grace) if drains else self.rules.bare)

    def _hour(self) -> int:
        return self.now // HOUR % 24

    def _need(self, length: int) -> list[tuple[int, int]]:
        # From the hour it is to the hour in which the work ends: the highest of each.
        return self.strength.need(self.rules, self._hour(), (self.now % HOUR + length) // HOUR + 1)

    def _lends(self, units: Iterable[str], alone: bool) -> dict[int, int]:
        less: dict[int, int] = {}
        for unit in units:
            if alone or unit not in self.permits:
                host = self.hosts[unit[5:]]
                if self._stands(unit):
                    lends = (
                        host.strength * self.rules.cold // MILLION if host.cold else host.strength
                    )
                    less[host.classes] = less.get(host.classes, 0) + lends
        return less

    def _more(self, units: list[str], unplanned: bool = True) -> dict[str, int]:
        """How many more would be out by scope; what is out without a permit is counted already."""
        more: dict[str, int] = {}
        for unit in units:
            for scope in self._scopes(unit):
                more[scope] = more.get(scope, 0) + (not unplanned or self._stands(unit))
        return more

    def _short(self, ask: Ask, alone: bool = False) -> list[str]:
        """Every scope that has no room for it now (`alone`: if nothing planned were under way).

        Of one that is not aged some are enough: hundreds may wait at each beat.
        """
        more, doubted = self._more(ask.units), [] if alone or not self.zones else self._doubted()
        if doubted and "directors" in more:
            more["directors"] += len(doubted)
        short = [s for s, n in more.items() if self.scopes.short(s, n, alone)]
        if short and (alone or self.now - ask.since < self.rules.age):
            return short
        hosts = [u for u in ask.units if u.startswith("host/")]
        if hosts:
            have = [self.strength.warm] + ([self.strength.planned] if alone else [])
            # What is out counts for the whole of the longest work: a shorter one may overrun into its hours.
            ends = [
                p.length - (p.state == "out") * (self.now - p.since)
                for p in self.permits.values()
                if not alone
            ]
            if self.strength.lacks(
                self._need(max(ask.length, *ends, 0)), have, self._lends(hosts, alone)
            ):
                short.append("strength")
        directors = {*doubted, *(u[9:] for u in ask.units if u.startswith("director/"))}
        if self._channel_short(len(hosts), sorted(directors), alone):
            short.append("channel")
        if not alone:
            short += [u for u in ask.units if u in self.permits]
        return short

    def _never(self, ask: Ask) -> str:
        """The budget that forbids it even when all is well; nothing if none does."""
        for scope, n in self._more(ask.units, False).items():
            if n > (limit := self.scopes.limit(scope)):
                return f"{scope} allows {limit} out, and {n} are asked for"
        hosts = [u for u in ask.units if u.startswith("host/")]
        less: dict[int, int] = {}
        for unit in hosts:
            host = self.hosts[unit[5:]]
            less[host.classes] = less.get(host.classes, 0) + host.strength
        hours = ask.length // HOUR + 1
        needs = (self.strength.need(self.rules, hour, hours) for hour in range(24))
        if hosts and all(self.strength.lacks(need, [self.strength.whole], less) for need in needs):
            return "strength: what is left does not carry the load at any hour"
        directors = [u[9:] for u in ask.units if u.startswith("director/")]
        # What this many of its own size come to with all the others standing.
        whole, going = self.proxies, sum(self.directors[d].proxies for d in directors)
        standing, binding = len(self.directors) - len(directors), self._channel()[3]
        if self.directors:
            time = channel_time(self.rules, standing, whole - going, going, binding, 0, len(hosts))
            if time > (
                most := min(self.rules.bare, self.rules.grace) if hosts else self.rules.bare
            ):
                return f"channel: it takes {'for ever' if time >= 1 << 60 else time}, and {most} is allowed"
        return ""

    def _over(self, length: int) -> bool:
        """Whether anything at all is over: most entries change nothing, and no permit is looked at for them."""
        return (
            bool(self.scopes.over)
            or self.strength.lacks(
                self._need(length), [self.strength.warm, self.strength.undoing], {}
            )
            or self._channel_short(0, [])
        )

    def _exceeded(self, unit: str, permit: Permit) -> str:
        for scope in self._scopes(unit):
            if self.scopes.short(scope, 0, projected=True):
                return scope
        if unit.startswith("host/"):
            if self.strength.lacks(
                self._need(permit.length), [self.strength.warm, self.strength.undoing], {}
            ):
                return "strength"
        return "channel" if self._channel_short(0, []) else ""

    def _holds_still(self, unit: str, permit: Permit) -> str:
        """What stands against its being empty; nothing when all confirm."""
        standing, _, _, _, unknown = self._channel()
        if unknown:
            return f"{unknown} proxies of directors without a lease were seen nowhere else"
        kind, _, name = unit.partition("/")
        if kind == "director":
            director = self.directors[name]
            if not director.live or not director.leaving or director.acted < permit.token:
                return "it has not said that it is ready to stop"
            return self._unheard(director.zone) if name in self.observed else ""
        live = self.live
        if not live:
            return "no director has a live lease"
        if len(permit.confirms) < live - len(self.observed):
            return (
                f"{live - len(self.observed) - len(permit.confirms)} directors have not confirmed"
            )
        for zone, held in self.zones.items() if self.observed else ():
            if not self.behind.get(zone):
                continue
            if why := self._unheard(zone):
                return why
            if held.confirms.get(name) != permit.token:
                return f"the directors of zone {zone} have not all confirmed"
        host = self.hosts[name]
        if (
            host.quiet < self.rules.empty
            or self.now > host.heard + self.rules.lease
            or host.heard < permit.since
        ):
            return "its agent has not said, lately, that nothing comes"
        return ""

    def _unheard(self, zone: str) -> str:
        held = self.zones[zone]
        if held.unknown:
            return f"zone {zone} is unknown"
        return (
            ""
            if self.now <= held.heard + self.rules.lease
            else f"zone {zone} was not heard, all of it, for a lease"
        )

    def marks(self) -> Iterator[tuple[str, str, int]]:
        """What each open unit is to be, under which token: the leader tells registry and agents until it is so.
        What is out and called back comes first."""
        wanted = {"draining": "leaving", "empty": "leaving", "out": "stopped"}
        permits = sorted(
            self.permits.items(),
            key=lambda i: (not i[1].recalled, i[1].state != "lost", i[1].granted),
        )
        for unit, permit in permits:
            # What a halt calls back and nobody stopped yet is not to be stopped any more; what is stopped stays so
            # until its holder returns it.
            kind, _, name = unit.partition("/")
            if permit.state == "out" and permit.recalled:
                yield unit, "leaving", permit.token
            elif (
                permit.state in ("returning", "lost")
                and kind == "host"
                and self.hosts[name].acted < permit.token
            ):
                # Listed only once its agent acts on this token: an order to stop may still be on its way there, and the
                # agent alone can refuse it.
                yield unit, "starting", permit.token
            elif permit.state != "granted":
                yield unit, wanted.get(permit.state, "ready"), permit.token
        for name in sorted(self.strays):
            yield "host/" + name, "ready", self.hosts[name].stray

    def due(self) -> Iterator[tuple[str, str, int]]:
        """Leases that have run out: role, name, incarnation, for entries `lapse` by the leader."""
        slack = self.rules.lease * self.rules.drift // MILLION
        tables: tuple[tuple[str, dict[str, Any]], ...] = (
            ("holder", self.holders),
            ("director", self.directors),
        )
        for role, table in tables:
            for name, held in table.items():
                if (
                    held.live
                    and self.now >= held.until + slack
                    and (role == "holder" or name not in self.observed)
                ):
                    yield role, name, held.incarnation

    def look(self) -> dict[str, Any]:
        """What operators are shown."""
        return {
            "now": self.now,
            "index": self.index,
            "permits": {
                u: {f: getattr(p, f) for f in p.__slots__} | {"confirms": len(p.confirms)}
                for u, p in self.permits.items()
            },
            "asks": {
                a.id: {"units": a.units, "since": a.since, "short": a.short}
                for a in self.asks.values()
            },
            "halts": {s: asdict(h) for s, h in self.halts.items()},
            "directors": {
                name: [
                    d.live,
                    d.incarnation,
                    d.version,
                    d.proxies,
                    d.waiting,
                    d.bare,
                    d.refused,
                    d.fulfilled,
                    d.zone,
                    d.number,
                ]
                for name, d in self.directors.items()
            },
            "scopes": {
                s: [c.total, c.out, c.unplanned, self.scopes.limit(s)]
                for s, c in self.scopes.counts.items()
            },
        } | (
            {
                "zones": {
                    z: [len(self.behind.get(z, ())), held.heard, held.unknown]
                    for z, held in self.zones.items()
                }
            }
            if self.zones
            else {}
        )
