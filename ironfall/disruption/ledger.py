"""The state machine: who may be out, by the entries of the log alone."""

import json
from collections import OrderedDict
from collections.abc import Collection, Iterator, Sequence
from operator import attrgetter
from typing import Any

from ironfall.disruption.entries import EntryRejectedError, decode
from ironfall.disruption.records import (
    REVERSIBLE,
    Ask,
    Director,
    Halt,
    Holder,
    Host,
    Past,
    Permit,
    Zone,
)
from ironfall.disruption.settings import MILLION, DisruptionRules, rules_from_facts
from ironfall.disruption.standing import Standing

Moved = list[list[Any]]
# Tables of records in the order of a snapshot. Their lists and tables are put anew and never changed where they stand,
# for a snapshot in parts still reads those of its moment; `confirms` alone grows, and is copied.
KINDS: dict[str, Any] = {
    "hosts": Host,
    "directors": Director,
    "holders": Holder,
    "asks": Ask,
    "permits": Permit,
    "halts": Halt,
    "past": Past,
}


class Ledger(Standing):
    """One method for each kind of entry, called by `entries.decode`; one that may not be done raises `Refused` and
    changes nothing."""

    # the log's side

    def apply(self, index: int, entry: bytes) -> bytes:
        """The answer to an entry; never raises. An entry that was applied already is not applied again."""
        if index <= self.index:
            return _packed({"no": f"entry {index} was applied already"})
        self.index, self.moved = index, []
        try:
            answer: dict[str, Any] = {"ok": decode(entry, self) or True}
        except EntryRejectedError as refused:
            answer = {"no": str(refused)}
        if self.moved:
            answer["moved"] = self.moved
        return _packed(answer)

    def snapshot(self) -> bytes:
        return b"".join(self.parts())

    def parts(self, many: int = 256) -> Iterator[bytes]:
        """A snapshot in parts of so many records. It is taken at once, as cheaply as may be; what is applied while the
        parts are made changes none of them."""
        plain = {
            "index": self.index,
            "now": self.now,
            "beat": self.beat,
            "agreed": self.agreed,
            "rules": self.rules.facts(),
            "listed": self.listed,
        }
        tables = [(name, _taken(getattr(self, name))) for name in KINDS]
        after = {
            "ended": [[ask, list(ends)] for ask, ends in self.ended.items()],
            "held": list(self.held.items()),
            "rested": self.rested,
            "firm": self.firm,
            "loads": sorted(self.strength.loads.items()),
            # Without observers a snapshot is what it was before there were any.
            **(
                {"observed": list(self.observed.items()), "zones": _zones(self.zones)}
                if self.observed or self.zones
                else {}
            ),
        }
        return _encoded(plain, tables, after, many)

    def restore(self, snapshot: bytes) -> None:
        """Raises `ValueError` (or `KeyError`, `TypeError`) for what is no snapshot, and is then as it was."""
        held = json.loads(snapshot)
        tables = {
            name: OrderedDict((k, kind(**one)) for k, one in held[name])
            for name, kind in KINDS.items()
        }
        for permit in tables["permits"].values():
            permit.confirms = dict.fromkeys(permit.confirms)
        observed = dict(held.get("observed", ()))
        zones = {name: Zone(**one) for name, one in held.get("zones", ())}
        rules, loads = (
            rules_from_facts(held["rules"]),
            [(int(kind), list(hours)) for kind, hours in held["loads"]],
        )
        self._clear()
        for name, table in tables.items():
            setattr(self, name, table)
        for name in ("index", "now", "beat", "agreed", "listed", "rested", "firm"):
            setattr(self, name, held[name])
        self.rules, self.ended, self.held = rules, OrderedDict(held["ended"]), dict(held["held"])
        self.observed, self.zones = observed, zones
        self._derive()
        for kind, hours in loads:
            self.strength.load(kind, hours)

    def at(self, time: int) -> None:
        """The log's time: it never goes back, whatever a new leader's clock says."""
        self.now = max(self.now, time)

    # rules, list, loads

    def agree(self, rules: DisruptionRules) -> None:
        self.rules, self.agreed, self.rested, self.firm = rules, True, False, False
        loads = self.strength.loads
        self._derive()
        for kind, hours in loads.items():
            self.strength.load(kind, hours)
        self._spare()

    def load(self, kind: int, hours: list[int]) -> None:
        self.strength.load(kind, hours)
        self.rested = self.firm = False
        self._spare()

    def list_hosts(self, version: int, hosts: dict[str, dict[str, Any]], gone: list[str]) -> None:
        """What the registry's list says, a change at a time."""
        if version <= self.listed:
            raise EntryRejectedError(f"the list's version {version} is no newer than {self.listed}")
        if len(self.hosts) + sum(1 for h in hosts if h not in self.hosts) > self.rules.hosts:
            raise EntryRejectedError(f"no more than {self.rules.hosts} hosts are kept")
        self.listed = version
        for name, said in hosts.items():
            if name in self.hosts:
                self._count_host(name, -1)
                host = self.hosts[name]
                self.firm = self.firm and (host.strength, host.zone) == (
                    said["strength"],
                    said["zone"],
                )
                host.zone, host.kind, host.tenants = said["zone"], said["kind"], said["tenants"]
                host.strength, host.classes = said["strength"], said["classes"]
            else:
                self.firm = False
                host = self.hosts[name] = Host(
                    *(said[k] for k in ("zone", "kind", "tenants", "strength", "classes"))
                )
            host.listed, host.ready, host.mark, host.started = (
                True,
                said["ready"],
                said["token"],
                said["started"],
            )
            host.cold = self.now < host.started + self.rules.warming
            self._count_host(name, 1)
            self._stray(
                name, host, not host.ready and host.mark > 0 and "host/" + name not in self.permits
            )
            self._seen_back("host/" + name)
        for name in gone:
            if name in self.hosts:
                self._count_host(name, -1)
                self.hosts[name].listed = self.hosts[name].ready = False
                self._count_host(name, 1)
        self.rested = False
        self._spare()

    def _stray(self, name: str, host: Host, stray: bool) -> None:
        """A mark that was under way when its permit was ended by an operator's word stays until it is ordered off."""
        host.stray = (host.stray or self.index) if stray else 0
        (self.strays.add if stray else self.strays.discard)(name)

    # members

    def join(self, name: str, incarnation: int, zone: str, version: str) -> dict[str, int]:
        """A director's lease, asked for or renewed."""
        known = self.directors.get(name)
        if known and (
            incarnation < known.incarnation or incarnation == known.incarnation and not known.live
        ):
            raise EntryRejectedError(f"incarnation {incarnation} of {name} is over")
        if known and incarnation == known.incarnation and name in self.observed:
            raise EntryRejectedError(f"incarnation {incarnation} of {name} is behind observers")
        if not known and len(self.directors) >= self.rules.directors:
            raise EntryRejectedError(f"no more than {self.rules.directors} directors are kept")
        if not known or incarnation > known.incarnation:
            self._come(name, incarnation, zone, version)
            if known:
                self._forget_took({name})
            self._look_all()
        until = self.directors[name].until = self.now + self.rules.lease
        self._spare()
        return {"until": until}

    def _come(self, name: str, incarnation: int, zone: str, version: str) -> None:
        if name in self.directors:
            self._unwatch(name)
            self._forget_words(name)
            self._count_director(name, -1)
        # What the former one held is held by others or by nobody: its proxies join anew.
        self.directors[name] = Director(zone, incarnation, version)
        self._count_director(name, 1)
        self.rested = self.firm = False
        self._seen_back("director/" + name)

    def hold(self, name: str, incarnation: int) -> dict[str, int]:
        """A holder's lease, asked for or renewed."""
        known = self.holders.get(name)
        if known and (
            incarnation < known.incarnation or incarnation == known.incarnation and not known.live
        ):
            raise EntryRejectedError(f"incarnation {incarnation} of {name} is over")
        if not known and len(self.holders) >= self.rules.holders and not self._room_for_holder():
            raise EntryRejectedError(f"no more than {self.rules.holders} holders are kept")
        if not known or incarnation > known.incarnation:
            if known and known.live:
                self._left(name, "its holder came anew")
            self.holders[name] = Holder(incarnation)
        until = self.holders[name].until = self.now + self.rules.lease
        return {"until": until}

    def _room_for_holder(self) -> bool:
        busy = {p.holder for p in self.permits.values()} | {a.holder for a in self.asks.values()}
        for name, holder in self.holders.items():
            if not holder.live and name not in busy:
                del self.holders[name]
                return True
        return False

    def lapse(self, role: str, name: str, incarnation: int) -> None:
        """The leader heard nothing for a whole lease by its own clock."""
        held: Holder | Director | None = (
            self.holders.get(name) if role == "holder" else self.directors.get(name)
        )
        if held is None or held.incarnation != incarnation or not held.live:
            raise EntryRejectedError(f"{role} {name} has no lease of incarnation {incarnation}")
        if role == "director" and name in self.observed:
            raise EntryRejectedError(f"{name} is behind observers")
        due = held.until + self.rules.lease * self.rules.drift // MILLION
        if self.now < due:
            raise EntryRejectedError(f"the lease of {name} ends at {due}, and it is {self.now}")
        if role == "holder":
            held.live = False
            self._left(name, "its holder's lease lapsed")
            return
        self._count_director(name, -1)
        held.live = False
        self._count_director(name, 1)
        self._confirm_none(name)
        self._look_all()
        self._spare()

    def _left(self, holder: str, cause: str) -> None:
        for ask in [a for a in self.asks.values() if a.holder == holder]:
            self._drop(ask, "refused", cause)
        for unit, permit in [(u, p) for u, p in self.permits.items() if p.holder == holder]:
            if permit.state in REVERSIBLE:
                self._undo(unit, permit, "taken back", cause)
            elif permit.state in ("out", "returning"):
                self._move(unit, permit, "lost", cause, order=True)

    # what members say

    def words(self, said: dict[str, dict[str, Any]]) -> dict[str, str]:
        """What directors stand for, many in one entry; each that counts for nothing is answered by name."""
        unheard: dict[str, str] = {}
        touched: set[str] = set()
        for name, word in said.items():
            director = self.directors.get(name)
            if director is None or not director.live or word["inc"] != director.incarnation:
                unheard[name] = "no live lease of this incarnation"
            elif word["n"] <= director.number:
                unheard[name] = "no newer than what it said before"
            else:
                touched.update(self._word(name, director, word))
        # Together at the end: a digest of all directors is counted once, not once for each of them.
        for unit in sorted(touched):
            self._look(unit)
        self._spare()
        return unheard

    def _word(self, name: str, director: Director, word: dict[str, Any]) -> set[str]:
        """The units that it may concern."""
        self._count_director(name, -1)
        for figure in (
            "proxies",
            "binding",
            "waiting",
            "bare",
            "refused",
            "fulfilled",
            "near",
            "leaving",
        ):
            setattr(director, figure, word[figure])
        director.number, director.spoke, director.acted = (
            word["n"],
            True,
            max(director.acted, word["token"]),
        )
        before, director.took = (
            director.took,
            {d: pair for d, pair in word["took"].items() if d in self.directors},
        )
        self._count_director(name, 1)
        drained = {
            host: token for host, token in word["drained"].items() if "host/" + host in self.permits
        }
        # Most words repeat what was confirmed: what is the same was counted when it was first said.
        fresh = {host for host, _ in director.drained.items() ^ drained.items()}
        for host in sorted(fresh):
            if permit := self.permits.get("host/" + host):
                self._confirm(name, permit, drained.get(host, 0))
        touched = {"director/" + name, *("host/" + host for host in fresh)}
        director.drained = drained
        silent = {host for host in word["silent"] if host in self.hosts}
        for host in sorted(silent.symmetric_difference(director.silent)):
            if host in self.hosts:
                self._silence(host, name, host in silent)
        director.silent = sorted(silent)
        self._seen_back("director/" + name)
        return touched if before == director.took else touched | set(self.permits)

    def _silence(self, name: str, director: str, silent: bool) -> None:
        self._count_host(name, -1)
        host = self.hosts[name]
        if silent and director not in host.silent:
            host.silent = [*host.silent, director]
        elif not silent:
            host.silent = [voice for voice in host.silent if voice != director]
        self._count_host(name, 1)
        self.rested = False
        self._seen_back("host/" + name)

    def _forget_words(self, name: str) -> None:
        for host in self.directors[name].silent:
            if host in self.hosts:
                self._silence(host, name, False)
        self._confirm_none(name)

    def _forget_took(self, names: Collection[str]) -> None:
        for other in self.directors.values():
            if not other.took.keys().isdisjoint(names):
                other.took = {name: pair for name, pair in other.took.items() if name not in names}

    def _confirm(self, director: str, permit: Permit, token: int) -> None:
        confirmed = permit.state in ("draining", "empty") and token == permit.token
        if confirmed:
            permit.confirms.setdefault(director)
        else:
            permit.confirms.pop(director, None)

    def _confirm_none(self, director: str) -> None:
        for permit in self.permits.values():
            permit.confirms.pop(director, None)

    def agents(self, said: dict[str, dict[str, Any]]) -> dict[str, str]:
        """What hosts' own agents say, many in one entry."""
        unheard: dict[str, str] = {}
        for name, word in said.items():
            host = self.hosts.get(name)
            if host is None:
                unheard[name] = "not a host of the list"
            elif (word["inc"], word["n"]) <= (host.agent, host.number):
                unheard[name] = "no newer than what it said before"
            else:
                self._agent(name, host, word, self.now)
        self._spare()
        return unheard

    def _agent(self, name: str, host: Host, word: dict[str, Any], heard: int) -> None:
        host.agent, host.number, host.up = word["inc"], word["n"], word["up"]
        host.quiet, host.heard, host.acted = word["quiet"], heard, max(host.acted, word["token"])
        # A director that is gone never takes its word back: its voice ends with the host's own.
        for voice in [v for v in host.silent if not self.directors[v].live] if host.up else ():
            self.directors[voice].silent = [
                one for one in self.directors[voice].silent if one != name
            ]
            self._silence(name, voice, False)
        self._look("host/" + name)
        self._seen_back("host/" + name)

    # what observers say of members, gathered by the leader

    def digest(
        self,
        made: int,
        zones: dict[str, bool],
        came: dict[str, list[Any]],
        directors: dict[str, dict[str, Any]],
        hosts: dict[str, list[Any]],
        lapsed: dict[str, list[Any]],
        vouch: dict[str, tuple[int, int, dict[str, int] | None]],
    ) -> dict[str, str]:
        """Differences, ages as of `made` by the log's time; each part that counts for nothing is answered by name."""
        made, unheard, touched = min(made, self.now), dict[str, str](), set[str]()
        for zone, unknown in zones.items():
            self._know(zone, unknown)
        anew = {name for name in came if name in self.directors}
        for name, (incarnation, zone, version) in came.items():
            if why := self._late(name, incarnation):
                unheard["director/" + name] = why
            else:
                self._come(name, incarnation, zone, version)
                self.observed[name] = zone
                self.behind.setdefault(zone, set()).add(name)
                self._changed(zone)
        if anew:
            self._forget_took(anew)
        for name, word in directors.items():
            director = self.directors.get(name)
            if director is None or name not in self.observed or word["inc"] != director.incarnation:
                unheard["director/" + name] = "no live lease of this incarnation behind observers"
            elif word["n"] < director.number:
                unheard["director/" + name] = "older than what it said before"
            else:
                touched |= self._word(name, director, word | {"drained": {}})  # that goes by zones
        for name, (incarnation, number, up, quiet, token, age) in hosts.items():
            host = self.hosts.get(name)
            if host is None:
                unheard["host/" + name] = "not a host of the list"
            elif (incarnation, number) <= (host.agent, host.number):
                unheard["host/" + name] = "no newer than what it said before"
            else:
                word = {"inc": incarnation, "n": number, "up": up, "quiet": quiet, "token": token}
                self._agent(name, host, word, max(0, made - age))
        heard = {zone: held.heard for zone, held in self.zones.items()}
        for name, (incarnation, age, sure) in lapsed.items():
            if why := self._holds_lease(name, incarnation, age, made, heard):
                unheard["director/" + name] = why
            else:
                self._count_director(name, -1)
                self.directors[name].live = False
                # What it said last may be lost with its observer: then any number of proxies are nowhere.
                self.directors[name].spoke = self.directors[name].spoke and sure
                self._count_director(name, 1)
                self._unwatch(name)
        for zone, (age, changed, confirms) in vouch.items():
            if why := self._vouch(zone, max(0, made - age), changed, confirms):
                unheard[f"zone {zone}"] = why
        if zones or came or lapsed or vouch:
            self._look_all()
        for unit in sorted(touched):
            self._look(unit)
        self._spare()
        return unheard

    def _know(self, zone: str, unknown: bool) -> None:
        held = self.zones.setdefault(zone, Zone(self.index))
        if bool(held.unknown) != unknown:
            held.unknown, self.rested = (max(1, self.now), False) if unknown else (0, False)
            self.moved.append([f"zone {zone}", "unknown" if unknown else "known", self.index, ""])
        self._trim(zone)

    def _late(self, name: str, incarnation: int) -> str:
        known = self.directors.get(name)
        if known and incarnation <= known.incarnation:
            return (
                "it came already"
                if known.live and incarnation == known.incarnation
                else "it is over"
            )
        full = not known and len(self.directors) >= self.rules.directors
        return f"no more than {self.rules.directors} directors are kept" if full else ""

    def _holds_lease(
        self, name: str, incarnation: int, age: int, made: int, heard: dict[str, int]
    ) -> str:
        """Why a director that observers speak for can't be taken for gone."""
        if name not in self.observed or self.directors[name].incarnation != incarnation:
            return "no live lease of this incarnation behind observers"
        least = self.rules.lease + self.rules.lease * self.rules.drift // MILLION
        if age < least:
            return f"it was heard {age} ago, and a lease lasts {least}"
        if self.zones[self.observed[name]].unknown:
            return "its zone is unknown"
        return "all of its zone were heard since" if made - age < heard[self.observed[name]] else ""

    def _vouch(self, zone: str, heard: int, changed: int, confirms: dict[str, int] | None) -> str:
        held = self.zones.get(zone)
        if held is None or held.changed != changed:
            return f"its directors changed at {held.changed if held else 0}, and {changed} is meant"
        if held.unknown:
            return "it is unknown"
        held.heard = heard
        if confirms is not None:
            held.confirms = {
                host: token for host, token in confirms.items() if "host/" + host in self.permits
            }
        return ""

    def _unwatch(self, name: str) -> None:
        if (zone := self.observed.pop(name, None)) is not None:
            self.behind[zone].discard(name)
            self._changed(zone)

    def _changed(self, zone: str) -> None:
        """What was vouched for was another set of directors."""
        held = self.zones.setdefault(zone, Zone())
        held.changed, held.heard, held.confirms = self.index, 0, {}
        self._trim(zone)

    def _trim(self, zone: str) -> None:
        if not self.behind.get(zone) and not self.zones[zone].unknown:
            self.behind.pop(zone, None)
            del self.zones[zone]

    # asks

    def ask(
        self,
        holder: str,
        incarnation: int,
        number: int,
        units: list[str],
        length: int,
        release: str,
    ) -> dict[str, Any]:
        """May these be out, all together? The same number again is answered with what became of it."""
        held = self._live(holder, incarnation)
        name = f"{holder}/{incarnation}/{number}"
        if number <= held.asked:
            if not (state := self._ask_state(name)):
                raise EntryRejectedError(
                    f"{number} was refused, forgotten, or came after {held.asked}: ask under a new number"
                )
            return {"ask": name, "state": state}
        if not self.agreed:
            raise EntryRejectedError("no rules are agreed yet")
        if len(units) > self.rules.together:
            raise EntryRejectedError(f"an ask names at most {self.rules.together} units")
        if len(self.asks) >= self.rules.waiting:
            raise EntryRejectedError(f"{self.rules.waiting} asks wait already")
        for unit in units:
            if not self._known(unit):
                raise EntryRejectedError(f"{unit} is not known")
            if unit in self.asked:
                raise EntryRejectedError(f"{unit} is asked for by {self.asked[unit]}")
        ask = Ask(name, holder, incarnation, units, length, release, self.now)
        if never := self._never(ask):
            raise EntryRejectedError(f"never: {never}")
        held.asked = number
        self.asks[name] = ask
        self.asked.update((unit, name) for unit in units)
        if self._try(ask):
            self.moved.append([name, "asked", self.index, ask.short[-1] if ask.short else ""])
        return {"ask": name, "state": self._ask_state(name), "token": self.index}

    def cancel(self, holder: str, incarnation: int, number: int) -> None:
        """The holder needs it no more: what waits or can be undone is; what is out is to be returned."""
        self._live(holder, incarnation)
        name = f"{holder}/{incarnation}/{number}"
        if ask := self.asks.get(name):
            self._drop(ask, "refused", "cancelled")
            return
        undone = [
            (u, p) for u, p in self.permits.items() if p.ask == name and p.state in REVERSIBLE
        ]
        if not undone:
            raise EntryRejectedError(f"nothing of {name} waits or can be undone")
        for unit, permit in undone:
            self._undo(unit, permit, "taken back", "cancelled")

    def _ask_state(self, name: str) -> dict[str, str]:
        if name in self.asks:
            return {unit: "asked" for unit in self.asks[name].units}
        found = {unit: p.state for unit, p in self.permits.items() if p.ask == name}
        ended = self.ended.get(name)
        return dict(ended) | found if ended else found

    def _live(self, holder: str, incarnation: int) -> Holder:
        held = self.holders.get(holder)
        if held is None or not held.live or held.incarnation != incarnation:
            raise EntryRejectedError(f"{holder} holds no live lease of incarnation {incarnation}")
        if self.now >= held.until:
            raise EntryRejectedError(
                f"the lease of {holder} ended at {held.until}, and it is {self.now}"
            )
        return held

    # a permit's life

    def _held(self, holder: str, incarnation: int, unit: str, token: int, *states: str) -> Permit:
        self._live(holder, incarnation)
        permit = self.permits.get(unit)
        if permit is None or permit.holder != holder or permit.incarnation != incarnation:
            raise EntryRejectedError(f"{holder} has no permit for {unit}")
        if permit.state not in states:
            raise EntryRejectedError(f"{unit} is {permit.state}, not {' or '.join(states)}")
        if token != permit.token:
            raise EntryRejectedError(f"token {token} is not the newest of {unit}, {permit.token}")
        return permit

    def drain(self, holder: str, incarnation: int, unit: str, token: int) -> dict[str, int]:
        permit = self._held(holder, incarnation, unit, token, "granted")
        if halt := self._halted(unit, permit.release):
            raise EntryRejectedError(f"halted: {halt}")
        if zone := self._unknown(unit):
            raise EntryRejectedError(f"zone {zone} is unknown: none of its observers is heard")
        self._move(unit, permit, "draining", order=True)
        self._look(unit)
        return {"token": permit.token}

    def out(self, holder: str, incarnation: int, unit: str, token: int) -> dict[str, int]:
        """The one step that can't be taken back."""
        permit = self._held(holder, incarnation, unit, token, "draining", "empty")
        if halt := self._halted(unit, permit.release):
            raise EntryRejectedError(f"halted: {halt}")
        if zone := self._unknown(unit):
            raise EntryRejectedError(f"zone {zone} is unknown: none of its observers is heard")
        if why := self._holds_still(unit, permit):
            raise EntryRejectedError(f"{unit} is not known to be empty: {why}")
        if short := self._exceeded(unit, permit):
            raise EntryRejectedError(f"{short} has no room for it any more")
        permit.before = self._incarnation(unit)
        self._move(unit, permit, "out", order=True)
        return {"token": permit.token}

    def give_back(self, holder: str, incarnation: int, unit: str, token: int) -> dict[str, int]:
        """The holder is done (or begins nothing): the unit is to come back, and counts until it is seen."""
        permit = self._held(holder, incarnation, unit, token, *REVERSIBLE, "out")
        if permit.state in REVERSIBLE:
            self._undo(unit, permit, "back", "given back")
        else:
            self._move(unit, permit, "returning", order=True)
        return {"token": permit.token}

    def adopt(self, holder: str, incarnation: int, unit: str) -> dict[str, int]:
        """A holder that came anew takes up what its former incarnation had out."""
        self._live(holder, incarnation)
        permit = self.permits.get(unit)
        if permit is None or permit.holder != holder or permit.state != "lost":
            raise EntryRejectedError(f"{holder} lost no permit for {unit}")
        permit.incarnation, permit.recalled = incarnation, min(1, permit.recalled) * self.now
        self._move(unit, permit, "out", "adopted", order=True)
        return {"token": permit.token}

    def forget(self, unit: str, by: str) -> None:
        """An operator's word that this is gone for good: the way out where a host or director never comes back.

        Of a host that the list calls ready only the permit ends: its agent is what never spoke again.
        """
        kind, _, name = unit.partition("/")
        if not self._known(unit):
            raise EntryRejectedError(f"{unit} is not known")
        ready = kind == "host" and self.hosts[name].listed and self.hosts[name].ready
        if ready and unit not in self.permits:
            raise EntryRejectedError(f"{unit} is on the list, ready")
        if kind == "director" and self.directors[name].live and not self._unknown(unit):
            raise EntryRejectedError(f"{unit} has a live lease")
        if ask := self.asks.get(self.asked.get(unit, "")):
            self._drop(ask, "refused", f"{unit} is forgotten by {by}")
        if permit := self.permits.get(unit):
            self._end(unit, permit, "back", f"forgotten by {by}")
        if kind == "host" and not ready:
            self._count_host(name, -1)
            del self.hosts[name]
            self.strays.discard(name)
            for director in self.directors.values():
                director.silent = [host for host in director.silent if host != name]
        elif kind == "director":
            self._unwatch(name)
            self._forget_words(name)
            self._forget_took({name})
            self._count_director(name, -1)
            del self.directors[name]
            self._look_all()
        self.rested = self.firm = False
        self._spare()

    def _look(self, unit: str) -> None:
        permit = self.permits.get(unit)
        if permit is None or permit.state not in ("draining", "empty"):
            return
        state = "draining" if self._holds_still(unit, permit) else "empty"
        if state != permit.state:
            since = permit.since
            self._move(unit, permit, state)
            if state == "draining" or unit.startswith("host/"):
                permit.since = since  # the time of draining goes on: a host that is never empty for long is stuck

    def _look_all(self) -> None:
        for unit in list(self.permits):
            self._look(unit)

    def _seen_back(self, unit: str) -> None:
        """Back is what was seen: by the list, or a director's lease, under an order no older than the way back."""
        permit = self.permits.get(unit)
        if permit is None or permit.state not in ("returning", "undoing", "lost"):
            return
        kind, _, name = unit.partition("/")
        if kind == "host":
            host = self.hosts[name]
            stopped = permit.state != "undoing"
            seen = host.ready and host.mark >= permit.token and len(host.silent) < self.rules.voices
            if stopped:
                seen = (
                    seen and host.up and (host.agent > permit.before or host.acted >= permit.token)
                )
        else:
            director = self.directors[name]
            seen = director.live and (
                director.incarnation > permit.before if permit.before else False
            )
            seen = seen or director.live and not director.leaving and director.acted >= permit.token
        if seen:
            ends = {"undoing": permit.cause.partition(":")[0]}
            self._end(unit, permit, ends.get(permit.state, "back"), permit.cause)

    def _undo(self, unit: str, permit: Permit, end: str, cause: str) -> None:
        """The way back of what is reversible. Nothing was marked yet for what is granted alone."""
        if permit.state == "granted":
            self._end(unit, permit, end, cause)
        else:
            self._move(unit, permit, "undoing", f"{end}: {cause}", order=True)
            permit.confirms = {}

    def _move(
        self, unit: str, permit: Permit, state: str, cause: str = "", order: bool = False
    ) -> None:
        """`order`: the fleet is to do something, under a newer token."""
        self._count(unit, -1)
        self.draining += (state in ("granted", "draining")) - (
            permit.state in ("granted", "draining")
        )
        permit.state, permit.since, permit.cause = state, self.now, cause
        if order:
            permit.token = self.index
        self._count(unit, 1)
        self.moved.append([unit, state, permit.token, cause])

    def _end(self, unit: str, permit: Permit, state: str, cause: str) -> None:
        self._count(unit, -1)
        self.draining -= permit.state in ("granted", "draining")
        del self.permits[unit]
        self._count(unit, 1)
        self.rested = False
        self._past(permit.ask, [[unit, state]])
        self.moved.append([unit, state, self.index, cause])

    def _drop(self, ask: Ask, state: str, cause: str) -> None:
        del self.asks[ask.id]
        for unit in ask.units:
            del self.asked[unit]
        self.rested = False
        self.held = {scope: by for scope, by in self.held.items() if by != ask.id}
        self._past(ask.id, [[unit, state] for unit in ask.units])
        self.moved.append([ask.id, state, self.index, cause])

    def _past(self, ask: str, ends: list[Any]) -> None:
        self.ended.setdefault(ask, []).extend(ends)
        self.ended.move_to_end(ask)
        while len(self.ended) > self.rules.history:
            self.ended.popitem(last=False)

    # granting

    def _try(self, ask: Ask) -> str:
        """Grant it if there is room for all of it, and no older one keeps that room for itself; else what it waits
        for: `halted`, `kept` or `short`."""
        for unit in ask.units:
            if self._halted(unit, ask.release):
                return "halted"
            if self._unknown(unit):
                return "unknown"
        if self.held:
            scopes = {
                "strength",
                "channel",
                *ask.units,
                *(s for u in ask.units for s in self._scopes(u)),
            }
            if any(scope in scopes and by != ask.id for scope, by in self.held.items()):
                return "kept"
        if short := self._short(ask):
            ask.short = [*ask.short, *(scope for scope in short if scope not in ask.short)]
            return "short"
        if len(self.permits) + len(ask.units) > self.rules.open:
            return "short"
        del self.asks[ask.id]
        for unit in ask.units:
            del self.asked[unit]
            self._count(unit, -1)
            self.permits[unit] = Permit(
                ask.id,
                ask.holder,
                ask.incarnation,
                ask.length,
                ask.release,
                self.index,
                self.index,
                "granted",
                self.now,
            )
            self.draining += 1
            self._count(unit, 1)
            if unit[5:] in self.strays and unit.startswith("host/"):
                self._stray(unit[5:], self.hosts[unit[5:]], False)
            self.moved.append([unit, "granted", self.index, ask.id])
        self.held = {scope: by for scope, by in self.held.items() if by != ask.id}
        return ""

    def _serve(self) -> None:
        """All who wait, oldest first. An aged one that stands in wait for planned work alone keeps every scope that
        was ever too full for it from younger ones: each scope then empties, and stays so. The oldest of all is kept
        from nothing, so that each is the oldest once."""
        self.held = {}
        for ask in list(self.asks.values()):
            if not self.firm and (never := self._never(ask)):
                self._drop(ask, "refused", f"never: {never}")
            elif self._try(ask) == "short" and self.now - ask.since >= self.rules.age:
                if not self._short(ask, alone=True):
                    for scope in ask.short:
                        self.held.setdefault(scope, ask.id)
        self.rested = self.firm = True

    # loss, halts

    def _spare(self) -> None:
        """What failed by itself eats the budget: as long as a scope is over it, the newest that can be undone are."""
        if not self.agreed:
            return
        newest = sorted(
            ((p.granted, u) for u, p in self.permits.items() if p.state in REVERSIBLE), reverse=True
        )
        for _, unit in (
            newest if newest and self._over(max(p.length for p in self.permits.values())) else ()
        ):
            permit = self.permits.get(unit)
            if permit and permit.state in REVERSIBLE and (scope := self._exceeded(unit, permit)):
                for other, its in [(u, p) for u, p in self.permits.items() if p.ask == permit.ask]:
                    if its.state in REVERSIBLE:
                        self._undo(other, its, "taken back", f"{scope} is over its budget")
        self._watch()

    def halt(self, scope: str, by: str, reason: str) -> None:
        """An operator's word."""
        if scope not in self.halts and len(self.halts) >= self.rules.halts:
            raise EntryRejectedError(f"no more than {self.rules.halts} halts are kept: halt all")
        self._halt(scope, by, reason, False)

    def lift(self, scope: str, by: str) -> None:
        if scope not in self.halts:
            raise EntryRejectedError(f"{scope} is not halted")
        halt = self.halts.pop(scope)
        if halt.own:
            self.past.pop(scope, None)
        self._lifted(scope, by)

    def _lifted(self, scope: str, by: str) -> None:
        self.rested = False
        self.moved.append([scope, "lifted", self.index, by])
        for unit, permit in self.permits.items():
            if permit.recalled and not self._halted(unit, permit.release):
                permit.recalled = 0

    def harm(self, release: str, reason: str) -> None:
        """A verdict on a canary, computed outside, halts its release."""
        self._halt_self(f"release {release}", f"harm: {reason}")

    def _halt_self(self, scope: str, reason: str) -> None:
        if scope in self.halts:
            self.halts[scope].calm = 0
            return
        if len(self.halts) >= self.rules.halts:
            scope = "all"
        if scope in self.halts:
            return
        past = self.past.setdefault(scope, Past(0, self.now))
        if self.now - past.last > self.rules.heal:
            past.times = 0
        past.times, past.last = past.times + 1, self.now
        if len(self.past) > self.rules.halts:
            del self.past[min((p.last, s) for s, p in self.past.items() if s != scope)[1]]
        self._halt(scope, "itself", reason, True)

    def _halt(self, scope: str, by: str, reason: str, own: bool) -> None:
        self.halts[scope] = Halt(by, reason, self.now, own)
        self.moved.append([scope, "halted", self.index, reason])
        for unit, permit in list(self.permits.items()):
            if scope in self._halting(unit, permit.release):
                if permit.state in REVERSIBLE:
                    self._undo(unit, permit, "halted", f"{scope}: {reason}")
                else:
                    permit.recalled = permit.recalled or max(1, self.now)

    def _causes(self) -> Iterator[tuple[str, str]]:
        """What halts by itself, as it stands now."""
        for scope in sorted(self.scopes.failed):
            count = self.scopes.counts[scope]
            # A share of few hosts is reached by one: two at least, for one host that fails is every day's.
            most = max(1, count.total * self.rules.unplanned // MILLION)
            if scope.startswith(("fleet", "zone ")) and count.unplanned > most:
                yield ("all" if scope == "fleet" else scope), "unplanned loss"
        if len(self.nearing) >= self.rules.voices:
            yield "all", "a rule is near its limit"

    def _watch(self) -> None:
        for scope, reason in list(self._causes()):
            self._halt_self(scope, reason)

    def tick(self) -> None:
        """The leader's beat, once a second: what is due by time alone."""
        gap, self.beat = self.now - (self.beat or self.now), self.now
        if gap > self.rules.lease + self.rules.lease * self.rules.drift // MILLION:
            self._halt_self("all", "no quorum was seen for a lease")
        for name in [
            n for n in self.cold if self.now >= self.hosts[n].started + self.rules.warming
        ]:
            self._count_host(name, -1)
            self.hosts[name].cold = False
            self._count_host(name, 1)
            self.rested = False
        for unit, permit in list(self.permits.items()):
            waited, rules = self.now - permit.since, self.rules
            if permit.state == "granted" and waited >= rules.begin:
                self._undo(unit, permit, "taken back", "nothing was begun")
            elif permit.state in ("draining", "empty") and waited >= rules.drain:
                self._undo(unit, permit, "taken back", "it drained too long")
            elif (
                permit.state == "out"
                and permit.recalled
                and self.now - permit.recalled >= rules.back
            ):
                self._move(
                    unit,
                    permit,
                    "lost",
                    "called back, and its holder did not return it",
                    order=True,
                )
            elif permit.state == "returning" and waited >= rules.back:
                self._move(unit, permit, "lost", "it was not seen back", order=True)
            else:
                self._look(unit)
        self._spare()
        self._calm()
        if not self.rested or any(self.now - a.since >= self.rules.age for a in self.asks.values()):
            self._serve()

    def _calm(self) -> None:
        """Own halts go after calm, twice as long each time; after `times` only by an operator."""
        causes = {scope for scope, _ in self._causes()}
        for scope, halt in list(self.halts.items()):
            past = self.past.get(scope)
            if not halt.own or past is None or past.times > self.rules.times:
                continue
            if scope in causes:
                halt.calm = 0
            elif not halt.calm:
                halt.calm = self.now
            elif self.now - halt.calm >= self.rules.pause << (past.times - 1):
                del self.halts[scope]
                self._lifted(scope, "calm")


def _taken(table: dict[str, Any]) -> tuple[Sequence[str], list[tuple[str, Any]]]:
    """The names of a table's fields, and of each record its name and values as they are now."""
    if not table:
        return (), []
    fields: Sequence[str] = next(iter(table.values())).__slots__
    rows = zip(table, map(attrgetter(*fields), table.values()), strict=True)
    if "confirms" in fields:
        at = fields.index("confirms")
        return fields, [(name, (*one[:at], list(one[at]), *one[at + 1 :])) for name, one in rows]
    return fields, list(rows)


def _zones(zones: dict[str, Zone]) -> list[Any]:
    """Few, and their confirmations are put anew, never changed where they stand."""
    return [
        [name, {field: getattr(one, field) for field in Zone.__slots__}]
        for name, one in zones.items()
    ]


def _encoded(
    plain: dict[str, Any], tables: list[tuple[str, Any]], after: dict[str, Any], many: int
) -> Iterator[bytes]:
    yield _packed(plain)[:-1]
    for table, (fields, rows) in tables:
        yield b',"%s":[' % table.encode()
        few = (
            max(1, many // 128) if table == "permits" else many
        )  # each with all directors that confirmed
        for start in range(0, len(rows), few):
            part = [
                [name, dict(zip(fields, values, strict=True))]
                for name, values in rows[start : start + few]
            ]
            yield (b"," if start else b"") + _packed(part)[1:-1]
        yield b"]"
    yield b"," + _packed(after)[1:]


def _packed(what: Any) -> bytes:
    return json.dumps(what, separators=(",", ":")).encode()
