"""A judge of observers, collector and ledger together, by what members truly said and when. It knows the truth of a
simulation (`Sim`), and shares no function with `ironfall.membership` or `ironfall.disruption`. What it holds against them:

- age: nobody is vouched for, or told of, as heard later than it last spoke;
- word: what the log is told of a member is what it said, and no less doubtful;
- late: an earlier incarnation, or an older number, counts for nothing;
- death: nobody is taken for gone who was heard, nor where no observer was there to hear;
- unknown: a zone that nobody can speak for is called so, and nothing begins in it;
- empty: nobody is out before each live director and the host's agent said so, within a lease;
- back: what was out is back by its agent's own word;
- entries: bounded by second and by bytes, and none at rest;
- level: once all is calm the log knows who is alive, in which incarnation;
- lost: who came and went in a zone apart is known, with its proxies;
- ends: every permit ends.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ironfall.disruption import DisruptionRules
    from ironfall.lab.observers_sim import Post, Sim, Unit

SECOND = 10_000
ENTRIES, BYTES = 4, 256 * 2**10
ROUND = 3  # figures of three clocks, each rounded down


class Broken(Exception):
    """What does not hold: its name, then the entry and the cause."""


class Judge:
    def __init__(self, sim: "Sim", rules: "DisruptionRules") -> None:
        self.sim, self.rules = sim, rules
        self.saids: dict[str, list[dict[str, Any]]] = {}  # by unit: what it said, oldest first
        self.accepted: dict[
            str, list[tuple[int, dict[str, Any], str, int]]
        ] = {}  # when heard, what, by whom, its life
        self.taken: dict[
            str, list[int]
        ] = {}  # by observer: when reports were made that this leader took, whole
        self.zone_taken: dict[str, int] = {}
        self.term = 0
        self.unknown: dict[str, int] = {}
        self.agents: dict[str, tuple[int, int]] = {}
        self.outs: dict[str, tuple[int, int]] = {}  # incarnation and token when it went
        self.drained: dict[str, int] = {}
        self.good: dict[
            str, list[bool]
        ] = {}  # of each second, whether an observer stood, heard and was heard
        self.rest = 0
        self.counts: dict[str, int] = {}

    def _broken(self, name: str, what: str) -> None:
        raise Broken(f"{name}: entry {self.sim.index}: {what}")

    def _count(self, what: str, n: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + n

    # what happens

    def said(self, unit: "Unit", message: dict[str, Any]) -> None:
        beat = message["beats"][unit.name]
        self.saids.setdefault(unit.name, []).append(
            {
                "t": self.sim.now,
                "inc": beat["inc"],
                "n": beat["n"],
                "changed": beat["changed"],
                "word": unit.word(),
                "quiet": beat["quiet"],
            }
        )

    def heard(
        self, post: "Post", unit: "Unit", message: dict[str, Any], answer: dict[str, Any]
    ) -> None:
        if unit.name in [*answer["whole"], *answer["full"], *answer["refused"], *answer["over"]]:
            return
        n, inc = message["beats"][unit.name]["n"], message["beats"][unit.name]["inc"]
        said = next(s for s in reversed(self.saids[unit.name]) if (s["inc"], s["n"]) == (inc, n))
        self.accepted.setdefault(unit.name, []).append((self.sim.now, said, post.name, post.life))

    def fell(self, post: "Post") -> None:
        self._count("observers fell")

    def reported(
        self, post: "Post", made: int, report: dict[str, Any], answer: dict[str, Any]
    ) -> None:
        if self.term != self.sim.term:
            self.term, self.taken, self.zone_taken = self.sim.term, {}, {}
        if "why" in answer:
            return
        self.zone_taken[post.zone] = max(made, self.zone_taken.get(post.zone, 0))
        if report["upto"] == report["version"] == answer["have"]:
            self.taken.setdefault(post.name, []).append(made)

    def digests(self, entries: list[dict[str, Any]]) -> None:
        import json

        if len(entries) > ENTRIES:
            self._broken("entries", f"{len(entries)} in one second")
        for entry in entries:
            if len(json.dumps(entry)) > BYTES:
                self._broken("entries", f"one of {len(json.dumps(entry))} bytes")
        if self.sim.rests():
            self.rest += len(entries)
            if self.rest:
                self._broken("entries", f"at rest, and told of {str(entries[0])[:200]}")
        self._count("digests", len(entries))

    def second(self) -> None:
        sim = self.sim
        for post in sim.posts.values():
            good = post.up and not post.stopped and not post.mute and not post.apart
            self.good.setdefault(post.name, []).append(good)
        limit = self.rules.lease * 102 // 100 + 4 * SECOND
        for zone in sim.zones:
            since = max(sim.leads_at, self.zone_taken.get(zone, 0) if self.term == sim.term else 0)
            if sim.now - since > limit and zone not in self.unknown and sim.known(zone):
                self._broken(
                    "unknown", f"zone {zone} was spoken for by nobody for {sim.now - since}"
                )

    # entries

    def before(self, entry: dict[str, Any]) -> dict[str, Any]:
        return {name: (d.incarnation, d.is_live) for name, d in self.sim.ledger.directors.items()}

    def see(self, entry: dict[str, Any], answer: dict[str, Any], before: dict[str, Any]) -> None:
        if entry["k"] == "digest" and "ok" in answer:
            heard = answer["ok"] if isinstance(answer["ok"], dict) else {}
            self._digest(entry, heard, before)
        for unit, state, token, _ in answer.get("moved", ()):
            if "/" not in unit or unit.startswith("s/"):
                continue
            zone = self.sim.units[unit].zone
            begins = (
                state == "granted"
                or state == "draining"
                and entry["k"] == "drain"
                or (state == "out" and entry["k"] == "out")
            )
            if begins and zone in self.unknown:
                self._broken("unknown", f"{unit} is {state}, and zone {zone} is unknown")
            if state == "draining" and entry["k"] == "drain":
                self.drained[unit] = self.sim.now
            if state == "out" and entry["k"] == "out":
                self._count("outs")
                self._out(unit, entry["token"])
                self.outs[unit] = self.agents.get(unit, (0, 0))[0], token
            if state == "back" and unit in self.outs:
                self._back(unit, *self.outs.pop(unit))

    def _when(self, time: int) -> int:
        return self.sim.leader_clock.at(time)

    def _last(self, unit: str, inc: int) -> int:
        """When it last spoke in an incarnation, by the leader's clock."""
        said = [s for s in reversed(self.saids.get(unit, ())) if s["inc"] == inc]
        return self._when(said[0]["t"]) if said else -(1 << 60)

    def _digest(
        self, entry: dict[str, Any], unheard: dict[str, Any], before: dict[str, Any]
    ) -> None:
        sim, now = self.sim, self._when(self.sim.now)
        for zone, unknown in entry.get("zones", {}).items():
            self._count("zones unknown" if unknown else "zones known")
            if unknown:
                self.unknown[zone] = sim.now
            else:
                self.unknown.pop(zone, None)
        for name, (inc, _, _) in entry.get("came", {}).items():
            if "director/" + name not in unheard:
                self._count("came")
                if inc <= before.get(name, (-1, 0))[0]:
                    self._broken("late", f"{name} comes as {inc}, and {before[name][0]} is known")
                if not any(s["inc"] == inc for s in self.saids.get("director/" + name, ())):
                    self._broken("word", f"{name} never came as {inc}")
        for name, word in entry.get("directors", {}).items():
            if "director/" + name not in unheard:
                self._word(name, word)
        for name, (inc, n, up, quiet, token, age) in entry.get("hosts", {}).items():
            if "host/" + name not in unheard:
                self._host("host/" + name, inc, n, up, quiet, token, now - age)
        for name, (inc, _, _) in entry.get("lapsed", {}).items():
            if "director/" + name not in unheard:
                self._lapsed(name, inc, before)
        for zone, (age, _, _) in entry.get("vouch", {}).items():
            if f"zone {zone}" in unheard:
                continue
            self._count("vouches")
            for name, director in sim.ledger.directors.items():
                unit = "director/" + name
                if director.is_live and sim.units[unit].zone == zone:
                    if (last := self._last(unit, director.incarnation)) < now - age - ROUND:
                        self._broken(
                            "age",
                            f"{name} last spoke {now - last} ago, and zone {zone} is vouched for {age}",
                        )

    def _word(self, name: str, word: dict[str, Any]) -> None:
        said = next(
            (
                s
                for s in self.saids.get("director/" + name, ())
                if (s["inc"], s["n"]) == (word["inc"], word["n"])
            ),
            None,
        )
        if said is None:
            self._broken("word", f"{name} never said {word['inc']} {word['n']}")
            return
        truth = said["word"]
        if (
            word["leaving"]
            and not truth["leaving"]
            or word["token"] > truth["token"]
            or (
                word["proxies"] < truth["proxies"]
                or not set(truth["silent"]) <= set(word["silent"])
            )
        ):
            self._broken("word", f"{name} said {truth}, and the log is told {word}")

    def _host(
        self, unit: str, inc: int, n: int, up: bool, quiet: int, token: int, heard: int
    ) -> None:
        if (inc, n) <= self.agents.get(unit, (0, 0)):
            self._broken("late", f"{unit}: {inc} {n} counts after {self.agents[unit]}")
        self.agents[unit] = inc, n
        if self.sim.lies:
            # The number may be of one who makes things up: then any one beat, heard no earlier, must bear it out.
            late = [
                s
                for s in self.saids.get(unit, ())
                if s["inc"] == inc and self._when(s["t"]) >= heard - ROUND
            ]
            if not any(
                s["word"]["up"] >= up and s["word"]["token"] >= token and s["quiet"] >= quiet
                for s in late
            ):
                self._broken(
                    "word", f"{unit} never said what the log is told: {[inc, n, up, quiet, token]}"
                )
            return
        said = next((s for s in self.saids.get(unit, ()) if (s["inc"], s["n"]) == (inc, n)), None)
        if (
            said is None
            or up
            and not said["word"]["up"]
            or token > said["word"]["token"]
            or quiet > said["quiet"]
        ):
            self._broken(
                "word", f"{unit} said {said}, and the log is told {[inc, n, up, quiet, token]}"
            )
            return
        # Where it says how long nothing came, that is of one beat; else that it lives, of any since.
        last = self._when(said["t"]) if quiet else self._last(unit, inc)
        if last < heard - ROUND:
            self._broken("age", f"{unit} said it at {last}, and the log is told {heard}")

    def _lapsed(self, name: str, inc: int, before: dict[str, Any]) -> None:
        sim, lease, unit = self.sim, self.rules.lease, "director/" + name
        self._count("lapsed")
        zone = sim.units[unit].zone
        if sim.leads_at > sim.now - lease + SECOND // 2:
            self._broken(
                "death", f"{name} is taken for gone by a leader of {sim.now - sim.leads_at}"
            )
        # Seconds apart from all members are nothing that an observer can know of: three, until they are late.
        seconds = lease // SECOND
        if not any(
            post.zone == zone and sum(self.good.get(post.name, [])[-seconds:]) >= seconds - 3
            for post in sim.posts.values()
        ):
            self._broken(
                "death",
                f"{name} is taken for gone, and no observer was there to hear it for a lease",
            )
        if not before.get(name, (0, False))[1]:
            return  # it came and went unheard of: one entry tells both
        for came, beat, post, life in reversed(self.accepted.get(unit, [])):
            if came < sim.now - lease:
                break
            told = any(made > came for made in self.taken.get(post, ())) and self.term == sim.term
            # Its stamp may have been up to a second on its way.
            if (
                beat["t"] > sim.now - lease + SECOND * 3 // 2
                and beat["inc"] == inc
                and told
                and (sim.posts[post].life == life)
            ):
                self._broken(
                    "death",
                    f"{name} is taken for gone, and said {sim.now - beat['t']} ago to {post}: I live",
                )

    def _out(self, unit: str, token: int) -> None:
        sim, host = self.sim, unit[5:]
        since = sim.now - self.rules.lease * 102 // 100 - SECOND
        for name, director in sim.ledger.directors.items():
            saids = self.saids.get("director/" + name, [])
            if director.is_live:
                if not any(
                    s["t"] >= since
                    and s["inc"] == director.incarnation
                    and s["word"]["drained"].get(host) == token
                    for s in reversed(saids)
                ):
                    self._broken(
                        "empty", f"{unit} is out, and {name} has not confirmed within a lease"
                    )
            else:
                last = [
                    beat
                    for _, beat, _, _ in self.accepted.get("director/" + name, [])
                    if beat["inc"] == director.incarnation
                ]
                if last and last[-1]["word"]["proxies"] > 0:
                    self._broken(
                        "empty",
                        f"{unit} is out, and {last[-1]['word']['proxies']} proxies of {name} nowhere",
                    )
        if not any(
            s["t"] >= max(since, self.drained.get(unit, 0))
            and s["quiet"] >= self.rules.min_idle_time
            for s in reversed(self.saids.get(unit, []))
        ):
            self._broken(
                "empty",
                f"{unit} is out, and its agent has not said within a lease that nothing comes",
            )

    def _back(self, unit: str, inc: int, token: int) -> None:
        self._count("backs")
        if not any(
            s["word"]["up"] and (s["inc"] > inc or s["word"]["token"] >= token)
            for s in self.saids[unit]
        ):
            self._broken("back", f"{unit} ends, and its agent has not said that it is back")

    def finish(self) -> None:
        sim = self.sim
        for unit in sim.units.values():
            kind, _, name = unit.name.partition("/")
            if kind == "host":
                host = sim.ledger.hosts.get(name)
                if host is None or (host.agent_incarnation, host.is_up) != (unit.inc, unit.up):
                    self._broken(
                        "level",
                        f"{unit.name} is {unit.inc} {unit.up}, and the log has "
                        f"{host and (host.agent_incarnation, host.is_up)}",
                    )
                continue
            known = sim.ledger.directors.get(name)
            if unit.ghost:
                continue
            if (
                known is None
                or (known.incarnation, known.is_live) != (unit.inc, True)
                or known.proxies < unit.proxies
            ):
                self._broken(
                    "level",
                    f"{name} is {unit.inc} with {unit.proxies} proxies, and the log has "
                    f"{known and (known.incarnation, known.is_live, known.proxies)}",
                )
        if self.unknown:
            self._broken("level", f"{sorted(self.unknown)} are unknown for ever")
        if sim.ledger.permits:
            self._broken("ends", f"{sorted(sim.ledger.permits)[0]} has a permit for ever")

    def ghost(self, unit: "Unit") -> None:
        """Who came while its zone was apart, and went for good, some while after all is well."""
        known = self.sim.ledger.directors.get(unit.name[9:])
        heard = self.accepted.get(unit.name, [])
        kept = [
            (said, beat) for said, beat, post, life in heard if self.sim.posts[post].life == life
        ]
        if kept and heard and kept[-1][1] is heard[-1][1]:
            self._count("came and went apart")
            beat = kept[-1][1]
            if (
                known is None
                or known.is_live
                or known.has_reported
                and known.proxies < beat["word"]["proxies"]
            ):
                has = known and (known.is_live, known.has_reported, known.proxies)
                self._broken(
                    "lost",
                    f"{unit.name} came and went with {beat['word']['proxies']} proxies: {has}",
                )
