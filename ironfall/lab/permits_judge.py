"""A judge of the ledger apart from its code: histories of entries and answers in, what was broken out.

It keeps its own records, walks them all for each question, and shares no function with `ironfall.disruption`. What it
holds against a history:

- budget: planned work begins only within number and share of each scope, counting what failed; and as long as a scope
  is over, nothing in it stays on the way out that could go back;
- strength, channel: what is left carries the load with its margin; the directors that stand bind in time;
- halt: nothing begins under a halt, what can go back does at once, and an operator's halt goes by their word alone;
- token, lease: a step is taken under the newest token, by a holder whose lease is live;
- empty: nobody is out before all directors, and the host's agent, have confirmed; no director is unaccounted for;
- seen: what was out ends when it was seen back, or by an operator's word;
- late: words of an earlier incarnation, or older ones, are answered as such;
- whole: an ask is granted for all of its units or none;
- starved: no younger ask takes, again, the room that an aged one waits for;
- ends: once all is calm every permit and every ask has ended.
"""

import math
from dataclasses import dataclass, field
from itertools import chain, combinations
from typing import Any

MILLION = 1_000_000
HOUR = 36_000_000
GOING = ("granted", "draining", "empty")


class Broken(Exception):
    """What does not hold: its name, then the entry and the cause."""


@dataclass
class Unit:
    """A permit as the answers tell of it."""

    ask: str
    state: str = "granted"
    token: int = 0
    out: bool = False
    drained: int = 0
    before: int = 0


@dataclass
class Asked:
    units: list[str]
    length: int
    release: str
    since: int
    holder: str
    waits: bool = True
    full: set[str] = field(default_factory=set)  # scopes seen too full at a tick since it was aged


class Judge:
    def __init__(self) -> None:
        self.now = self.index = 0
        self.rules: dict[str, Any] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.directors: dict[str, dict[str, Any]] = {}
        self.holders: dict[str, dict[str, Any]] = {}
        self.agents: dict[str, dict[str, Any]] = {}
        self.loads: dict[int, list[int]] = {}
        self.units: dict[str, Unit] = {}
        self.asks: dict[str, Asked] = {}
        self.halts: dict[str, bool] = {}  # whether an operator's
        self.aged = ""  # the oldest that waits for planned work alone, as of the last tick

    def see(self, index: int, entry: dict[str, Any], answer: dict[str, Any]) -> None:
        """The next entry that was applied; raises `Broken`."""
        self.index = index
        if "no" not in answer or answer.get("moved"):
            self.now = max(self.now, entry["at"])
        if "ok" in answer:
            getattr(self, "_" + entry["k"], lambda e, a: None)(entry, answer["ok"])
        for what, state, token, cause in answer.get("moved", ()):
            self._moved(entry, what, state, token, cause)
        if "ok" in answer:
            self._granted(entry, answer.get("moved", ()))
            if entry["k"] not in ("hold", "ask", "drain", "out", "back", "adopt", "cancel"):
                self._over()
            if entry["k"] == "tick":
                self._waits()

    def finish(self) -> None:
        if self.units:
            self._broken(
                "ends",
                f"{sorted(self.units)[0]} is {self.units[sorted(self.units)[0]].state} for ever",
            )
        if waits := [a for a, ask in self.asks.items() if ask.waits]:
            self._broken("ends", f"{waits[0]} waits for ever")

    def _broken(self, name: str, what: str) -> None:
        raise Broken(f"{name}: entry {self.index}: {what}")

    # entries that were taken

    def _rules(self, entry: dict[str, Any], answer: Any) -> None:
        self.rules = entry["rules"]

    def _load(self, entry: dict[str, Any], answer: Any) -> None:
        self.loads[entry["class"]] = entry["hours"]

    def _list(self, entry: dict[str, Any], answer: Any) -> None:
        for name, said in entry.get("hosts", {}).items():
            self.hosts[name] = {"tenants": [], "token": 0, "started": 0, **said}
        for name in entry.get("gone", ()):
            self.hosts[name]["ready"] = False

    def _join(self, entry: dict[str, Any], answer: Any) -> None:
        name, known = entry["director"], self.directors.get(entry["director"])
        if known and (
            entry["inc"] < known["inc"] or entry["inc"] == known["inc"] and not known["live"]
        ):
            self._broken("late", f"a lease of an earlier incarnation of {name}")
        if not known or known["inc"] != entry["inc"]:
            self.directors[name] = {
                "inc": entry["inc"],
                "n": -1,
                "zone": entry["zone"],
                "live": True,
                "word": {},
            }

    def _hold(self, entry: dict[str, Any], answer: Any) -> None:
        self.holders[entry["holder"]] = {
            "inc": entry["inc"],
            "until": self.now + self.rules["lease"],
        }

    def _lapse(self, entry: dict[str, Any], answer: Any) -> None:
        if entry["role"] == "director":
            self.directors[entry["name"]]["live"] = False
        else:
            self.holders[entry["name"]]["until"] = 0

    def _words(self, entry: dict[str, Any], answer: Any) -> None:
        for name, word in entry["directors"].items():
            known = self.directors.get(name)
            fresh = (
                known and known["live"] and known["inc"] == word["inc"] and word["n"] > known["n"]
            )
            heard = answer is True or name not in answer
            if bool(fresh) != heard:
                self._broken("late", f"a word of {name} {'counts' if heard else 'does not count'}")
            if known and fresh:
                known["n"] = word["n"]
                known["word"] = word | {
                    "silent": [h for h in word.get("silent", ()) if h in self.hosts]
                }

    def _agents(self, entry: dict[str, Any], answer: Any) -> None:
        for name, word in entry["hosts"].items():
            known = self.agents.get(name)
            if name in self.hosts and (
                not known or (word["inc"], word["n"]) > (known["inc"], known["n"])
            ):
                token = max(word.get("token", 0), known["token"] if known else 0)
                self.agents[name] = word | {"heard": self.now, "token": token}
                for director in self.directors.values() if word["up"] else ():
                    if not director["live"]:
                        director["word"]["silent"] = [
                            h for h in director["word"].get("silent", ()) if h != name
                        ]

    def _ask(self, entry: dict[str, Any], answer: Any) -> None:
        if answer["ask"] not in self.asks:
            self.asks[answer["ask"]] = Asked(
                entry["units"], entry["length"], entry.get("release", ""), self.now, entry["holder"]
            )

    def _forget(self, entry: dict[str, Any], answer: Any) -> None:
        kind, _, name = entry["unit"].partition("/")
        if kind == "director":
            del self.directors[name]
        elif not self.hosts[name]["ready"]:
            del self.hosts[name]
            self.agents.pop(name, None)
            for director in self.directors.values():
                director["word"]["silent"] = [
                    h for h in director["word"].get("silent", ()) if h != name
                ]

    # what the answers say was moved

    def _moved(self, entry: dict[str, Any], what: str, state: str, token: int, cause: str) -> None:
        if state == "halted" and "/" not in what:
            self.halts[what] = entry["k"] == "halt"
        elif state == "lifted":
            if self.halts.pop(what, False) and entry["k"] != "lift":
                self._broken("halt", f"the operators' halt of {what} went without their word")
        elif what in self.asks:
            self.asks[what].waits = state == "asked"
        elif state == "granted":
            ask = next((a for a, held in self.asks.items() if a == cause), "")
            if not ask or what in self.units:
                self._broken("whole", f"{what} is granted to nobody who asked, or twice")
            self.units[what] = Unit(ask, token=token)
            self._begins(what)
        elif what not in self.units:
            self._broken("seen", f"{what} is {state} without a permit")
        else:
            self._step(entry, what, self.units[what], state, token)

    def _step(self, entry: dict[str, Any], what: str, held: Unit, state: str, token: int) -> None:
        if token < held.token:
            self._broken("token", f"{what} got an older token")
        if state in ("draining", "out") and entry["k"] in ("drain", "out"):
            self._begins(what)
            if entry["token"] != held.token:
                self._broken(
                    "token",
                    f"{what} is {state} by token {entry['token']}, and {held.token} is the newest",
                )
            holder = self.holders.get(entry["holder"])
            if not holder or holder["inc"] != entry["inc"] or self.now >= holder["until"]:
                self._broken(
                    "lease", f"{what} is {state} by {entry['holder']}, who holds no live lease"
                )
        if state == "out" and held.state != "lost":
            if entry["k"] != "out":
                self._broken("lease", f"{what} is out by nobody's word")
            self._empty(what, held)
            held.out, held.before = True, self._incarnation(what)
        if state == "undoing" and held.out:
            self._broken("seen", f"{what} was out, and is undone as if it was not")
        if state in ("back", "taken back", "halted", "refused"):
            if held.state != "granted" and entry["k"] != "forget":
                self._seen(what, held)
            del self.units[what]
            return
        if state == "draining" and entry["k"] == "drain":
            held.drained = self.now
        held.state, held.token = state, token

    def _incarnation(self, what: str) -> int:
        kind, _, name = what.partition("/")
        return int(
            self.agents.get(name, {}).get("inc", 0)
            if kind == "host"
            else self.directors[name]["inc"]
        )

    def _seen(self, what: str, held: Unit) -> None:
        kind, _, name = what.partition("/")
        if kind == "host":
            host, agent = self.hosts[name], self.agents.get(name, {})
            if not host["ready"] or host.get("token", 0) < held.token:
                self._broken(
                    "seen", f"{what} ends, and the list does not show it under token {held.token}"
                )
            if held.out and not (
                agent.get("up") and (agent["inc"] > held.before or agent["token"] >= held.token)
            ):
                self._broken("seen", f"{what} ends, and its agent has not said that it is back")
        else:
            director = self.directors[name]
            acted = director["word"].get("token", 0) >= held.token and not director["word"].get(
                "leaving"
            )
            if not director["live"] or not (acted or held.out and director["inc"] > held.before):
                self._broken(
                    "seen", f"{what} ends, and has no lease under a newer incarnation or token"
                )

    def _empty(self, what: str, held: Unit) -> None:
        for name, director in self.directors.items():
            if not director["live"]:
                left = director["word"].get("proxies", 0) - self._elsewhere(name, director["inc"])
                if left > 0 or not director["word"]:
                    self._broken(
                        "empty", f"{what} is out, and {left} proxies of {name} are nowhere"
                    )
        kind, _, own = what.partition("/")
        if kind == "director":
            word = self.directors[own]["word"]
            if not word.get("leaving") or word.get("token", 0) < held.token:
                self._broken("empty", f"{what} is out, and has not said that it may stop")
            return
        for name, director in self.directors.items():
            if director["live"] and director["word"].get("drained", {}).get(own) != held.token:
                self._broken("empty", f"{what} is out, and {name} has not confirmed")
        agent = self.agents.get(own, {"quiet": 0, "heard": 0})
        if (
            agent.get("quiet", 0) < self.rules["empty"]
            or agent["heard"] < held.drained
            or (self.now - agent["heard"] > self.rules["lease"])
        ):
            self._broken("empty", f"{what} is out, and its agent has not said that nothing comes")
        if not any(d["live"] for d in self.directors.values()):
            self._broken("empty", f"{what} is out, and no director stands")

    def _elsewhere(self, name: str, inc: int) -> int:
        pairs = [
            d["word"].get("took", {}).get(name, (0, 0))
            for d in self.directors.values()
            if d["live"]
        ]
        return sum(proxies for of, proxies in pairs if of == inc)

    # what may begin

    def _halting(self, what: str) -> list[str]:
        kind, _, name = what.partition("/")
        unit = self.units.get(what)
        release = self.asks[unit.ask].release if unit else ""
        place = self.hosts[name] if kind == "host" else self.directors[name]
        tenants = [f"tenant {t}" for t in place.get("tenants", ())]
        return ["all", f"zone {place['zone']}", f"release {release}", *tenants]

    def _begins(self, what: str) -> None:
        for scope in self._halting(what):
            if scope in self.halts:
                self._broken("halt", f"{what} begins, and {scope} is halted")

    def _fails(self, what: str) -> bool:
        kind, _, name = what.partition("/")
        if kind == "director":
            return not self.directors[name]["live"]
        voices = sum(name in d["word"].get("silent", ()) for d in self.directors.values())
        return not self.hosts[name]["ready"] or voices >= self.rules["voices"]

    def _scopes(self, what: str) -> list[str]:
        kind, _, name = what.partition("/")
        if kind == "director":
            return ["directors", f"directors-zone {self.directors[name]['zone']}"]
        host = self.hosts[name]
        return [
            "fleet",
            f"zone {host['zone']}",
            f"kind {host['kind']}",
            *(f"tenant {t}" for t in host["tenants"]),
        ]

    def _all(self) -> list[str]:
        return [*(f"host/{h}" for h in self.hosts), *(f"director/{d}" for d in self.directors)]

    def _room(self, undoing: bool, planned: bool = True, more: tuple[str, ...] = ()) -> list[str]:
        """Scopes over their budgets, were `more` out too. `undoing`: these count; `planned`: permits do at all."""
        total: dict[str, int] = {}
        out: dict[str, int] = {}
        for what in self._all():
            unit = self.units.get(what)
            counts = what in more or (
                planned and (undoing or unit.state != "undoing") if unit else self._fails(what)
            )
            for scope in self._scopes(what):
                total[scope] = total.get(scope, 0) + 1
                out[scope] = out.get(scope, 0) + counts
        full = []
        for scope in total:
            for kind, number, share in self.rules["budgets"]:
                if scope.split(" ")[0] == kind and out[scope] > min(
                    number, total[scope] * share // MILLION
                ):
                    full.append(scope)
        return full

    def _lends(self, name: str) -> int:
        host = self.hosts[name]
        cold = self.now < host.get("started", 0) + self.rules["warming"]
        return int(host["strength"] * self.rules["cold"] // MILLION if cold else host["strength"])

    def _weak(self, length: int, undoing: bool) -> bool:
        first, hours = self.now // HOUR, (self.now % HOUR + length) // HOUR + 1
        most = {
            k: max(h[(first + n) % 24] for n in range(min(24, hours)))
            for k, h in self.loads.items()
        }
        kinds = [k for k in most if most[k]]
        standing = []
        for name in self.hosts:
            unit = self.units.get(f"host/{name}")
            if unit.state == "undoing" and undoing if unit else not self._fails(f"host/{name}"):
                standing.append((self.hosts[name]["classes"], self._lends(name)))
        for chosen in chain.from_iterable(combinations(kinds, n) for n in range(1, len(kinds) + 1)):
            need = math.ceil(
                sum(most[k] for k in chosen) * (1 + self.rules["margin"] / MILLION) - 1e-9
            )
            if sum(s for mask, s in standing if any(mask >> k & 1 for k in chosen)) < need:
                return True
        return False

    def _slow(self) -> bool:
        rules, standing, staying, moving = self.rules, 0, 0, 0
        waiting = binding = 0
        for name, director in self.directors.items():
            word = director["word"]
            proxies, binding = word.get("proxies", 0), max(binding, word.get("binding", 0))
            if director["live"] and f"director/{name}" not in self.units:
                standing, staying, waiting = (
                    standing + 1,
                    staying + proxies,
                    max(waiting, word.get("waiting", 0)),
                )
            elif director["live"]:
                moving += proxies
            else:
                moving += max(0, proxies - self._elsewhere(name, director["inc"]))
        if not self.directors:
            return False
        drains = sum(u.state in ("granted", "draining") for u in self.units.values())
        if not standing:
            return True
        lines = waiting + math.ceil(moving / standing) * (rules["head"] + binding + 1)
        lines += drains * math.ceil((staying + moving) / standing) * (rules["head"] + 2)
        most = min(rules["bare"], rules["grace"]) if drains else rules["bare"]
        return bool(rules["slowest"] + math.ceil(lines * 10_000 / rules["pace"]) > most)

    def _granted(self, entry: dict[str, Any], moved: Any) -> None:
        granted = [what for what, state, _, _ in moved if state == "granted"]
        for ask in dict.fromkeys(self.units[w].ask for w in granted if w in self.units):
            asked = self.asks[ask]
            asked.waits = False
            if set(asked.units) - set(granted):
                self._broken("whole", f"{ask} is granted in part")
        outs = [what for what, state, _, _ in moved if state == "out" and entry["k"] == "out"]
        touched = {scope for what in granted + outs for scope in self._scopes(what)}
        if full := [s for s in self._room(bool(granted)) if s in touched] if touched else []:
            self._broken(
                "budget", f"{(granted + outs)[0]} begins, and {full[0]} is over its budget"
            )
        for what in granted + outs:
            if what.startswith("host/") and self._weak(
                self.asks[self.units[what].ask].length, not granted
            ):
                self._broken("strength", f"{what} begins, and what is left does not carry the load")
        if touched and self._slow():
            self._broken(
                "channel", f"{(granted + outs)[0]} begins, and the channel is too slow for it"
            )
        old = self.asks.get(self.aged)
        if (
            old
            and old.waits
            and granted
            and all(
                self.asks[self.units[w].ask].since >= old.since and self.units[w].ask != self.aged
                for w in granted
                if w in self.units
            )
            and self._alone(old)
        ):
            # One that had failed already takes no room.
            takes = {
                scope for what in granted if not self._fails(what) for scope in self._scopes(what)
            }
            taken = takes & old.full & set(self._room(True, True, tuple(old.units)))
            if taken:
                self._broken(
                    "starved",
                    f"{granted[0]} takes room in {sorted(taken)[0]} that {self.aged} waits for",
                )

    def _over(self) -> None:
        """Nothing that can go back stays on its way out of a scope that is over, or under a halt."""
        going = [what for what, unit in self.units.items() if unit.state in GOING]
        if going:
            full = set(self._room(False))
            for what in going:
                if scopes := full.intersection(self._scopes(what)):
                    self._broken(
                        "budget", f"{what} goes on, and {sorted(scopes)[0]} is over its budget"
                    )
                if scopes := set(self.halts).intersection(self._halting(what)):
                    self._broken("halt", f"{what} goes on, and {sorted(scopes)[0]} is halted")

    def _alone(self, ask: Asked) -> bool:
        if any(self._halts_ask(ask, u) for u in ask.units):
            return False
        return not self._room(True, False, tuple(ask.units)) and not self.loads

    def _halts_ask(self, ask: Asked, what: str) -> bool:
        return f"release {ask.release}" in self.halts or any(
            s in self.halts for s in self._halting(what)
        )

    def _waits(self) -> None:
        """The oldest ask that is aged, and that only planned work stands against. Where loads are stated, or directors
        asked for, it may wait for strength or the channel: those histories say nothing here."""
        self.aged = ""
        for name, ask in self.asks.items():
            if not ask.waits or self.now - ask.since < self.rules["age"]:
                continue
            if (
                self._alone(ask)
                and not any(u.startswith("director/") for u in ask.units)
                and not self._slow()
            ):
                ask.full.update(self._room(True, True, tuple(ask.units)))
                self.aged = name
                break
