"""The judge of the ledger for a fleet too large to be walked at each question.

Its answers rest on sums that it moves by what an entry and its answer name; `check` holds them against the plain
judge's walks over all of its records, and raises `Broken` where the two differ. It shares no function with the ledger.
"""

from collections import Counter, defaultdict
from typing import Any, NamedTuple

from ironfall.lab.permits_judge import MILLION, Judge, Unit


class Counts(NamedTuple):
    """What a unit adds to each of its scopes: whether it is out by whom `_room` asks for."""

    scopes: tuple[str, ...]
    whole: bool  # with what is undone
    ahead: bool  # once all that is undone is back
    failed: bool  # were nothing planned out


class CountedJudge(Judge):
    def __init__(self) -> None:
        super().__init__()
        self.voices: dict[str, set[str]] = defaultdict(set)
        self.counted: dict[str, Counts] = {}
        self.totals: Counter[str] = Counter()
        self.outs: dict[str, Counter[str]] = {
            way: Counter() for way in ("whole", "ahead", "failed")
        }
        self.full: dict[str, set[str]] = {way: set() for way in self.outs}
        self.stands: dict[
            str, tuple[int, int, bool]
        ] = {}  # a host's classes, strength, whether it is undone
        self.strengths: dict[bool, Counter[int]] = {False: Counter(), True: Counter()}
        self.warming: set[str] = set()
        self.channel: tuple[int, ...] | None = None  # of directors, until one of them changes

    def see(self, index: int, entry: dict[str, Any], answer: dict[str, Any]) -> None:
        if entry["k"] in ("words", "join", "lapse", "forget"):
            self.channel = None
        super().see(index, entry, answer)

    # records that a unit's counts rest on: each is followed by a new count

    def _rules(self, entry: dict[str, Any], answer: Any) -> None:
        super()._rules(entry, answer)
        for what in self._all():
            self._recount(what)
        for scope in self.totals:
            self._weigh(scope)

    def _list(self, entry: dict[str, Any], answer: Any) -> None:
        super()._list(entry, answer)
        for name in [*entry.get("hosts", ()), *entry.get("gone", ())]:
            self._recount(f"host/{name}")

    def _join(self, entry: dict[str, Any], answer: Any) -> None:
        name, before = entry["director"], self.directors.get(entry["director"])
        super()._join(entry, answer)
        if self.directors[name] is not before:
            self._voice(name, before["word"].get("silent", ()) if before else (), ())
            self._recount(f"director/{name}")

    def _lapse(self, entry: dict[str, Any], answer: Any) -> None:
        super()._lapse(entry, answer)
        if entry["role"] == "director":
            self._recount(f"director/{entry['name']}")

    def _words(self, entry: dict[str, Any], answer: Any) -> None:
        before = {
            n: self.directors[n]["word"].get("silent", ())
            for n in entry["directors"]
            if n in self.directors
        }
        super()._words(entry, answer)
        for name, silent in before.items():
            self._voice(name, silent, self.directors[name]["word"].get("silent", ()))

    def _voice(self, director: str, before: Any, after: Any) -> None:
        for host in set(before) ^ set(after):
            (self.voices[host].add if host in after else self.voices[host].discard)(director)
            self._recount(f"host/{host}")

    def _agents(self, entry: dict[str, Any], answer: Any) -> None:
        """As the plain one, but a dead director's voice is looked for among those that the host has."""
        for name, word in entry["hosts"].items():
            known = self.agents.get(name)
            if name in self.hosts and (
                not known or (word["inc"], word["n"]) > (known["inc"], known["n"])
            ):
                token = max(word.get("token", 0), known["token"] if known else 0)
                self.agents[name] = word | {"heard": self.now, "token": token}
                for director in sorted(self.voices.get(name, ())) if word["up"] else ():
                    if not (one := self.directors[director])["live"]:
                        before = one["word"]["silent"]
                        one["word"]["silent"] = [h for h in before if h != name]
                        self._voice(director, before, one["word"]["silent"])

    def _forget(self, entry: dict[str, Any], answer: Any) -> None:
        kind, _, name = entry["unit"].partition("/")
        before = list(self.directors[name]["word"].get("silent", ())) if kind == "director" else []
        super()._forget(entry, answer)
        if kind == "director":
            self._voice(name, before, ())
        elif name not in self.hosts:
            self.voices.pop(name, None)
        self._recount(entry["unit"])

    def _moved(self, entry: dict[str, Any], what: str, state: str, token: int, cause: str) -> None:
        super()._moved(entry, what, state, token, cause)
        if what.startswith(("host/", "director/")):
            self._recount(what)
            if what.startswith("director/"):
                self.channel = None

    # the sums

    def _recount(self, what: str) -> None:
        kind, _, name = what.partition("/")
        known = name in (self.hosts if kind == "host" else self.directors)
        unit, fails = self.units.get(what), known and self._fails(what)
        now: Counts | None = None
        if known:
            now = Counts(
                tuple(self._scopes(what)),
                bool(unit) or fails,
                unit.state != "undoing" if unit else fails,
                not unit and fails,
            )
        before = self.counted.get(what)
        if now != before:
            for counts, way in ((before, -1), (now, 1)):
                if counts:
                    self._add(counts, way)
            for scope in {*(before.scopes if before else ()), *(now.scopes if now else ())}:
                self._weigh(scope)
            if now:
                self.counted[what] = now
            else:
                self.counted.pop(what, None)
        if kind == "host":
            self._restand(name, unit, fails, known)

    def _add(self, counts: Counts, way: int) -> None:
        for scope in counts.scopes:
            self.totals[scope] += way
            for name in self.outs:
                self.outs[name][scope] += way * getattr(counts, name)

    def _limit(self, scope: str) -> int:
        for kind, number, share in self.rules.get("budgets", ()):
            if scope.split(" ")[0] == kind:
                return int(min(number, self.totals[scope] * share // MILLION))
        return 1 << 60

    def _weigh(self, scope: str) -> None:
        for way, full in self.full.items():
            over = self.totals[scope] > 0 and self.outs[way][scope] > self._limit(scope)
            (full.add if over else full.discard)(scope)

    def _restand(self, name: str, unit: Unit | None, fails: bool, known: bool) -> None:
        if before := self.stands.pop(name, None):
            self.strengths[before[2]][before[0]] -= before[1]
            self.warming.discard(name)
        if known and (unit.state == "undoing" if unit else not fails):
            host, undone = self.hosts[name], unit is not None
            self.stands[name] = host["classes"], host["strength"], undone
            self.strengths[undone][host["classes"]] += host["strength"]
            if self.now < host.get("started", 0) + self.rules["warming"]:
                self.warming.add(name)

    # what the judge asks for

    def _fails(self, what: str) -> bool:
        kind, _, name = what.partition("/")
        if kind == "director":
            return not self.directors[name]["live"]
        return (
            not self.hosts[name]["ready"] or len(self.voices.get(name, ())) >= self.rules["voices"]
        )

    def _room(self, undoing: bool, planned: bool = True, more: tuple[str, ...] = ()) -> list[str]:
        way = ("whole" if undoing else "ahead") if planned else "failed"
        full = set(self.full[way])
        extra = Counter(
            scope
            for what in more
            if what in self.counted and not getattr(self.counted[what], way)
            for scope in self.counted[what].scopes
        )
        full.update(s for s, n in extra.items() if self.outs[way][s] + n > self._limit(s))
        return sorted(full)

    def _weak(self, length: int, undoing: bool) -> bool:
        standing = Counter(self.strengths[False])
        if undoing:
            standing.update(self.strengths[True])
        for name in sorted(self.warming):
            classes, strength, undone = self.stands[name]
            if self.now >= self.hosts[name].get("started", 0) + self.rules["warming"]:
                self.warming.discard(name)
            elif undoing or not undone:
                standing[classes] -= strength - self._lends(name)
        # The plain judge's own comparison, over one host for each set of classes in place of all.
        hosts, self.hosts = (
            self.hosts,
            {
                f"{c}": {
                    "classes": c,
                    "strength": s,
                    "ready": True,
                    "started": -self.rules["warming"],
                }
                for c, s in standing.items()
            },
        )
        voices, self.voices, units, self.units = self.voices, defaultdict(set), self.units, {}
        try:
            return super()._weak(length, undoing)
        finally:
            self.hosts, self.voices, self.units = hosts, voices, units

    def _slow(self) -> bool:
        """Directors are walked once after each change of one; drains are counted each time."""
        if self.channel is None:
            rows = []
            for name, director in self.directors.items():
                word = director["word"]
                here = director["live"] and f"director/{name}" not in self.units
                proxies = word.get("proxies", 0)
                left = (
                    proxies
                    if director["live"]
                    else max(0, proxies - self._elsewhere(name, director["inc"]))
                )
                rows.append(
                    (
                        here,
                        proxies if here else left,
                        word.get("waiting", 0) * here,
                        word.get("binding", 0),
                    )
                )
            self.channel = (
                sum(r[0] for r in rows),
                sum(r[1] for r in rows if r[0]),
                sum(r[1] for r in rows if not r[0]),
                max((r[2] for r in rows), default=0),
                max((r[3] for r in rows), default=0),
            )
        standing, staying, moving, waiting, binding = self.channel
        if not self.directors or not standing:
            return bool(self.directors)
        rules, drains = (
            self.rules,
            sum(u.state in ("granted", "draining") for u in self.units.values()),
        )
        lines = waiting + -(-moving // standing) * (rules["head"] + binding + 1)
        lines += drains * -(-(staying + moving) // standing) * (rules["head"] + 2)
        most = min(rules["bare"], rules["grace"]) if drains else rules["bare"]
        return bool(rules["slowest"] + -(-lines * 10_000 // rules["pace"]) > most)

    # against the walks

    def check(self) -> None:
        """Raises `Broken` where a sum is not what a walk over all records finds."""
        plain = Judge.__new__(Judge)
        plain.__dict__.update({n: v for n, v in self.__dict__.items() if n in Judge().__dict__})
        voices = Counter(
            host for d in self.directors.values() for host in d["word"].get("silent", ())
        )
        if voices != Counter({h: len(v) for h, v in self.voices.items() if v}):
            self._broken("judge", "the voices counted are not those of the words")
        plain._fails = self._fails  # type: ignore[method-assign]  # its own walk is by hosts times directors
        for undoing, planned in ((True, True), (False, True), (True, False)):
            if sorted(plain._room(undoing, planned)) != self._room(undoing, planned):
                self._broken("judge", "a sum by scope is not that of the records")
        for undoing in (True, False):
            for length in (0, 86_400 * 10_000):
                if plain._weak(length, undoing) != self._weak(length, undoing):
                    self._broken("judge", "strength counted is not that of the records")
        if plain._slow() != self._slow():
            self._broken("judge", "the channel counted is not that of the records")
