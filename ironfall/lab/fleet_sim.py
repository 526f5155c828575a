"""A small fleet round the ledger under a virtual clock, with the registry's and the agents' own code, taped and judged.

The keepers here are one ledger that answers, or does not. Words come late or never, marks late and old ones again;
registry and agents start anew from what they kept, are cut off, and have full disks. In the second part all heals.

    python -m ironfall.lab.fleet_sim [SEEDS [FIRST]]
"""

import heapq
import json
import random
import sys
from collections.abc import Callable
from typing import Any

from ironfall.disruption import DisruptionRules, Fence, Ledger
from ironfall.disruption.budget_relief import BudgetRelief
from ironfall.disruption.budgets import Budgets
from ironfall.disruption.records import Permit, PermitRequest
from ironfall.disruption.state import LedgerState
from ironfall.lab.agents import Agent, Agents, Marks
from ironfall.lab.fleet_judge import Fleet, FleetJudge
from ironfall.lab.judge import Rule
from ironfall.lab.permits_sim import wrong_ledger
from ironfall.lab.registry import Marking, Telling

SECOND = 10_000
STEP = SECOND // 2
FAULTED, CALM = 240, 240  # steps
RULES = DisruptionRules(
    lease=8 * SECOND,
    min_idle_time=2 * SECOND,
    begin_timeout=10 * SECOND,
    drain_timeout=30 * SECOND,
    return_timeout=20 * SECOND,
    load_margin=0,
    max_unplanned_share=600_000,
    recovery_time=4 * SECOND,
    warm_up_time=0,
    entries_per_second=100_000,
    silence_quorum=2,
    budgets=(("fleet", 2, 500_000), ("zone", 1, 1_000_000), ("directors", 1, 500_000)),
)
LATE = 4 * SECOND  # the most that a keeper's marks are behind


class SimProcess:
    def __init__(self, sim: "Sim", name: str) -> None:
        self.sim, self.name = sim, name
        self.up, self.incarnation, self.held, self.last = True, 1, False, 0
        self.ends: list[int] = []  # of exchanges in hand

    def hand(self) -> int:
        return sum(end > self.sim.now for end in self.ends)

    def came(self) -> int:
        return self.last

    def stop(self, token: int) -> None:
        self.sim.tell(
            self.name, "stopped", unit=f"host/{self.name}", inc=self.incarnation, token=token
        )
        self.held = True
        self.fall()

    def start(self, token: int) -> None:
        if self.held:
            self.sim.tell(
                self.name, "started", unit=f"host/{self.name}", inc=self.incarnation, token=token
            )
            self.held = False
            self.rise()

    def fall(self) -> None:
        if self.up:
            self.sim.tell(self.name, "down", inc=self.incarnation, hand=self.hand())
            self.up, self.ends = False, []
            self.sim.listed(self.name)

    def rise(self) -> None:
        if not self.up and not self.held:
            self.up, self.incarnation, self.last = True, self.incarnation + 1, self.sim.now
            self.sim.tell(self.name, "up", inc=self.incarnation)
            self.sim.listed(self.name)


class Sim:
    marking: type[Marking] = Marking
    agent: type[Agent] = Agent
    ledger_of: Callable[[], Ledger] = Ledger

    def __init__(self, seed: int) -> None:
        self.chance, self.now, self.index, self.seq = random.Random(seed), 1000 * SECOND, 0, 0
        self.calm, self.tape = False, []  # type: bool, list[dict[str, Any]]
        self.ledger = self.ledger_of()
        self.hosts = {f"h{n}": SimProcess(self, f"h{n}") for n in range(8)}
        self.zones = {name: f"z{n % 2}" for n, name in enumerate(self.hosts)}
        self.way: list[tuple[int, int, Callable[[], Any]]] = []
        self.disk: dict[str, Any] = {"tokens": {}, "leaving": []}  # the registry's
        self.disks: dict[str, dict[str, int]] = {name: {} for name in self.hosts}
        self.full: set[str] = set()
        self.cut: set[str] = (
            set()
        )  # who does not hear keepers, nor is heard: hosts' agents, the registry
        self.gone: set[str] = set()  # off the list, as the registry knows it
        self.starts = 0
        self.directors = {
            name: {"inc": 1, "n": 0, "drained": {}, "since": {}} for name in ("d1", "d2")
        }
        self.asked = 0
        self.marked: list[tuple[int, Marks]] = [(0, [])]  # as keepers that lag still tell them
        self.begin_registry()
        self.begin_agents()
        self.put("rules", rules=RULES.facts())

    def tell(self, who: str, what: str, **about: Any) -> None:
        self.tape.append({"t": self.now, "e": what, "who": who, **about})

    def put(self, kind: str, **fields: Any) -> Any:
        self.index += 1
        return json.loads(
            self.ledger.apply(self.index, json.dumps({"k": kind, "at": self.now} | fields).encode())
        )

    def after(self, act: Callable[[], Any], late: int) -> None:
        self.seq += 1
        heapq.heappush(self.way, (self.now + (0 if self.calm else late), self.seq, act))

    # registry and agents, from what they kept

    def begin_registry(self) -> None:
        self.starts += 1
        tell = lambda what, **about: self.tell("registry", what, **about)  # noqa: E731
        self.registry = self.marking(self.disk["tokens"], self.disk["leaving"], self.keep, tell)
        self.telling = Telling(self.starts << 32)
        self.shown: dict[str, dict[str, Any]] = {}
        for name in self.hosts:
            self.show(name)

    def keep(self, **about: Any) -> None:
        if "registry" in self.full:
            raise OSError("no space")
        self.disk = self.disk | json.loads(json.dumps(about))

    def begin_agents(self) -> None:
        self.agents = Agents([], lambda: self.now)
        for name in self.hosts:
            self.begin_agent(name)

    def begin_agent(self, name: str) -> None:
        fence = Fence(self.disks[name])

        def save() -> None:
            if name in self.full:
                raise OSError("no space")
            self.disks[name] = fence.state()

        tell = lambda what, **about: self.tell(name, what, **about)  # noqa: E731
        lasts = RULES.lease - RULES.lease * RULES.drift // 1_000_000 - LATE
        self.agents.agents[name] = self.agent(
            name, self.hosts[name], fence, save, self.now, self.now, SECOND // 2, lasts, tell
        )

    def listed(self, name: str) -> None:
        def seen() -> None:
            (self.gone.discard if self.hosts[name].up else self.gone.add)(name)
            self.show(name)

        self.after(seen, self.chance.randrange(SECOND))

    def show(self, name: str) -> None:
        row = self.registry.dress({"name": name, "state": "gone" if name in self.gone else "ready"})
        if row != self.shown.get(name):  # whoever marks what is gone shows a newer token
            self.shown[name] = row
            self.tell(
                "registry",
                "shown",
                unit=f"host/{name}",
                state=row["state"],
                token=row.get("token", 0),
                leaving=name in self.registry.leaving,
            )
        self.telling.changed(
            name,
            {
                "zone": self.zones[name],
                "kind": "k",
                "strength": 1,
                "classes": 1,
                "ready": row["state"] == "ready",
                "token": row.get("token", 0),
                "started": 0,
            },
        )

    # half a second

    def run(self) -> dict[str, Rule]:
        for step in range(FAULTED + CALM):
            self.now += STEP
            if step == FAULTED:
                self.heal()
            if not self.calm:
                self.faults()
            while self.way and self.way[0][0] <= self.now:
                heapq.heappop(self.way)[2]()
            self.exchanges()
            self.orders()
            if step % 2:
                self.words()
                self.holder()
                if self.calm or self.chance.random() < 0.95:
                    for role, name, inc in list(self.ledger.expired_leases()):
                        self.put("lapse", role=role, name=name, inc=inc)
                    self.put("tick")
        return FleetJudge(self.fleet()).read(self.tape).verdict(self.now)

    def fleet(self) -> Fleet:
        # A loss is noticed by the list within a second, told within a few; a beat and a mark later all is under way.
        return Fleet(
            {name: (zone, "k", ()) for name, zone in self.zones.items()},
            {"d1": "z0", "d2": "z1"},
            RULES.budgets,
            RULES.lease,
            RULES.drift,
            30 * SECOND,
            30 * SECOND,
            150 * SECOND,
        )

    def heal(self) -> None:
        self.calm = True
        self.cut.clear()
        self.full.clear()
        for host in self.hosts.values():
            host.rise()
        for scope in list(self.ledger.halts):
            self.lift(scope)

    def lift(self, scope: str) -> None:
        if "ok" in self.put("lift", scope=scope, by="ann"):
            self.tell("operators", "lift", scope=scope)

    def faults(self) -> None:
        pick, names = self.chance, [*self.hosts, "registry"]
        if pick.random() < 0.01:
            host = pick.choice(list(self.hosts.values()))
            host.fall() if host.up else host.rise()
        if pick.random() < 0.01:
            host = pick.choice(list(self.hosts.values()))
            host.rise()
        for held in (self.cut, self.full):
            if pick.random() < 0.05:
                held.add(name := pick.choice(names))
                # The judge's figures leave room for one such: what can't be reached can't be taken back.
                self.after(lambda h=held, n=name: h.discard(n), pick.randrange(15 * SECOND))  # type: ignore[misc]
        if pick.random() < 0.05:
            name = pick.choice([*self.hosts, *["registry"] * 8])
            self.begin_registry() if name == "registry" else self.begin_agent(name)
            # It may turn to a keeper that lags.
            self.mark(name, self.marked[0][1])
        if pick.random() < 0.02:
            scope = pick.choice(["all", "zone z0"])
            if scope in self.ledger.halts:
                self.lift(scope)
            elif "ok" in self.put("halt", scope=scope, by="ann", reason="a look"):
                self.tell("operators", "halt", scope=scope)

    def exchanges(self) -> None:
        for name, host in self.hosts.items():
            row = self.shown[name]
            # Proxies hold a withdrawn host for a while; one now and then has an old table.
            drained = all(name in d["drained"] for d in self.directors.values())  # type: ignore[operator]
            if (
                host.up
                and row["state"] != "gone"
                and self.chance.random() < (0.03 if drained else 0.9)
            ):
                host.last = self.now
                host.ends.append(self.now + self.chance.randrange(2 * SECOND))
            host.ends = [end for end in host.ends if end > self.now]

    def orders(self) -> None:
        marks = [(unit, want, token) for unit, want, token in self.ledger.drain_markers()]
        self.marked = [
            *((at, old) for at, old in self.marked if at > self.now - LATE),
            (self.now, marks),
        ]
        for name in [*self.hosts, "registry"]:
            if name not in self.cut and self.chance.random() < 0.5:
                self.after(
                    lambda n=name: self.mark(n, marks),  # type: ignore[misc]
                    self.chance.choice([0, 0, self.chance.randrange(LATE)]),
                )

    def mark(self, name: str, marks: Marks) -> None:
        try:
            if name == "registry":
                for changed in self.registry.marked(marks):
                    self.show(changed)
            else:
                self.agents.marked([mark for mark in marks if mark[0] == f"host/{name}"])
        except OSError:
            pass  # told again

    def words(self) -> None:
        for name, it in self.directors.items():
            drained, since = it["drained"], it["since"]
            for host, row in self.shown.items():
                if row["state"] == "draining" and "token" in row:
                    if self.now - since.setdefault(host, self.now) > 2 * SECOND:  # type: ignore[attr-defined]
                        drained[host] = row["token"]  # type: ignore[index]
                else:
                    since.pop(host, None), drained.pop(host, None)  # type: ignore[attr-defined]
            it["n"] += 1  # type: ignore[operator]
            self.put("join", director=name, inc=1, zone="z0" if name == "d1" else "z1")
            word = {"inc": 1, "n": it["n"], "proxies": 4, "binding": 8, "drained": dict(drained)}  # type: ignore[call-overload]
            if self.calm or self.chance.random() < 0.9:
                self.put("words", directors={name: word})
        self.agents.cut = self.cut
        self.agents.say(self)
        if "registry" not in self.cut and (entry := self.telling.entry()):
            if "ok" in self.put(entry["k"], v=entry["v"], hosts=entry["hosts"], gone=entry["gone"]):
                self.telling.told(entry)

    def propose(self, entry: dict[str, Any]) -> Any:
        """The agents' way to the keepers."""
        return self.put(**{("kind" if k == "k" else k): v for k, v in entry.items()})

    def marks(self, after: int, wait: int) -> tuple[int, Marks]:
        return self.index, list(self.ledger.drain_markers())

    def holder(self) -> None:
        self.put("hold", holder="s", inc=1)
        if not self.calm and self.chance.random() < 0.3:
            self.asked += 1
            units = [
                f"host/{h}"
                for h in self.chance.sample(list(self.hosts), self.chance.choice([1, 1, 2]))
            ]
            self.put("ask", holder="s", inc=1, n=self.asked, units=units, length=5 * SECOND)
        for unit, permit in list(self.ledger.permits.items()):
            step = {"granted": "drain", "empty": "out", "out": "back"}.get(permit.state)
            # Work takes its time, and goes on for a while after a halt.
            if step == "back" and not self.calm and self.chance.random() < 0.85:
                continue
            if step:
                self.put(step, holder="s", inc=1, unit=unit, token=permit.token)


class _Open(Fence):
    def allows(self, unit: str, token: int) -> bool:
        self.tokens[unit] = token
        return True


class TakesOlder(Marking):
    """Wrong: shows what any mark says, however old."""

    def __init__(self, *about: Any) -> None:
        super().__init__(*about)
        self.fence = _Open(self.fence.tokens)


class ForgetsWhatItKept(Marking):
    """Wrong: starts without its tokens."""

    def __init__(self, tokens: dict[str, int], *about: Any) -> None:
        super().__init__({}, *about)


class NeverReady(Marking):
    """Wrong: once marked, always marked."""

    def marked(self, marks: Marks) -> list[str]:
        return super().marked([mark for mark in marks if mark[1] != "ready"])


class StopsAtOnce(Agent):
    """Wrong: stops its host whatever is in hand."""

    def quiet(self, now: int) -> int:
        return 1 << 40


class TakesOldOrders(Agent):
    """Wrong: does what any mark says, however old."""

    def __init__(self, *about: Any) -> None:
        super().__init__(*about)
        self.fence = _Open(self.fence.tokens)


class HearsNoHalt(LedgerState):
    """Wrong: lets work begin under a halt."""

    def halt_on(self, target: str, release: str) -> str:
        return ""


class CountsNothing(Budgets):
    """Wrong: lets out as many as are asked for."""

    def shortages(self, request: PermitRequest) -> list[str]:
        return []

    def shortages_without_planned(self, request: PermitRequest) -> list[str]:
        return []

    def is_anything_exceeded(self, duration: int) -> bool:
        return False

    def exceeded_scope(self, target: str, permit: Permit) -> str:
        return ""


class KeepsWhatIsOver(BudgetRelief):
    """Wrong: takes nothing back when loss eats the budget, and begins nothing more either."""

    def relieve(self) -> None:
        self.halts.halt_for_causes()


WRONG: dict[str, tuple[dict[str, Any], str]] = {
    "a registry that takes older tokens": ({"marking": TakesOlder}, "token"),
    "a registry that forgets its tokens": ({"marking": ForgetsWhatItKept}, "token"),
    "a registry that never unmarks": ({"marking": NeverReady}, "ends"),
    "an agent that stops a host with exchanges in hand": ({"agent": StopsAtOnce}, "hand"),
    "an agent that takes older tokens": ({"agent": TakesOldOrders}, "token"),
    "keepers that begin after a halt": ({"ledger_of": wrong_ledger(state=HearsNoHalt)}, "halt"),
    "keepers that let two out where one may be": (
        {"ledger_of": wrong_ledger(budgets=CountsNothing)},
        "budget",
    ),
}


def wrong(name: str) -> type[Sim]:
    return type("Wrong", (Sim,), WRONG[name][0])


if __name__ == "__main__":
    count, first = [*map(int, sys.argv[1:3]), *(100, 0)[len(sys.argv[1:3]) :]]
    worst: dict[str, float] = {}
    for seed in range(first, first + count):
        for name, rule in Sim(seed).run().items():
            worst[name] = max(worst.get(name, 0.0), rule.worst)
            for text in rule.breaks[:1]:
                print(f"seed {seed}: {name}: {text}")
    print({name: round(value, 2) for name, value in worst.items()})
