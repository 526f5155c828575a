"""Seeded histories of the ledger: hosts, directors, holders and operators that fail at all times, over a bad network.

Everything outside the ledger is here in the small, with the truth known: a registry and agents that hold a `Fence`,
directors whose proxies move when they die, holders that die with work out. Words come late, twice and out of order. The
first part of a history is faulted; in the second all heals (but holders stay dead), and every permit must end.

    python -m ironfall.lab.permits_sim [SEEDS [FIRST]]
"""

import heapq
import json
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from ironfall.disruption import DisruptionRules, Fence, Ledger
from ironfall.disruption.budget_relief import BudgetRelief
from ironfall.disruption.budgets import Budgets
from ironfall.disruption.capacity import ClassNeed
from ironfall.disruption.channel import ChannelLoad
from ironfall.disruption.drain_verification import DrainVerifier
from ironfall.disruption.entries import PermitStep, StatusReports
from ironfall.disruption.halts import Halts
from ironfall.disruption.leases import HolderLeases
from ironfall.disruption.ledger import LedgerComponents
from ironfall.disruption.permits import Permits
from ironfall.disruption.records import (
    Halt,
    HaltHistory,
    Holder,
    Permit,
    PermitRequest,
    PermitState,
)
from ironfall.disruption.reports import Reports
from ironfall.disruption.requests import PermitRequests
from ironfall.disruption.settings import SECOND
from ironfall.disruption.state import LedgerState
from ironfall.lab.permits_judge import Broken, Judge

FAULTED, CALM = 90, 240  # steps of a second


@dataclass
class SimHost:
    zone: str
    tenants: list[str]
    strength: int
    classes: int
    kind: str
    mark: str = "ready"  # the registry's
    token: int = 0
    up: bool = True
    alive: bool = True  # False: failed by itself
    stopped: bool = False  # by an order
    inc: int = 1
    started: int = 0
    quiet: int = 0
    fence: Fence = field(default_factory=Fence)


@dataclass
class SimDirector:
    zone: str
    proxies: int
    inc: int = 1
    n: int = 0
    alive: bool = True
    leaving: bool = False
    stopped: bool = False
    acted: int = 0
    held: int = 0  # proxies when it died
    drained: dict[str, int] = field(default_factory=dict)
    silent: list[str] = field(default_factory=list)
    took: dict[str, list[int]] = field(default_factory=dict)
    fence: Fence = field(default_factory=Fence)


@dataclass
class SimHolder:
    inc: int = 1
    alive: bool = True
    cut: bool = False  # its leases are not renewed, and its steps come through
    number: int = 0
    tokens: dict[str, int] = field(default_factory=dict)  # former ones, to send again
    until: dict[str, int] = field(default_factory=dict)  # work's end, by unit


class Sim:
    def __init__(
        self, seed: int, make: Callable[[], Ledger] = Ledger, rules: DisruptionRules | None = None
    ) -> None:
        self.chance = random.Random(seed)
        self.ledger, self.judge, self.index = make(), Judge(), 0
        self.now, self.skew, self.seq, self.calm = (
            self.chance.randrange(24) * 3_600 * SECOND + SECOND,
            0,
            0,
            False,
        )
        self.history: list[tuple[int, bytes, bytes]] = []
        self.way: list[tuple[int, int, Callable[[], Any]]] = []
        pick = self.chance
        zones = [f"z{n}" for n in range(pick.randint(1, 3))]
        self.hosts = {
            f"h{n}": SimHost(
                pick.choice(zones),
                pick.sample(["t0", "t1", "t2"], pick.randint(1, 2)),
                pick.randint(5, 10),
                pick.choice([1, 2, 3, 3, 3]),
                pick.choice(["a", "b"]),
            )
            for n in range(pick.randint(5, 16))
        }
        self.directors = {
            f"d{n}": SimDirector(pick.choice(zones), pick.randint(0, 20))
            for n in range(pick.randint(1, 5))
        }
        self.holders = {f"s{n}": SimHolder() for n in range(pick.randint(1, 3))}
        self.registry, self.version = Fence(), 0
        self.told: dict[str, dict[str, Any]] = {}  # what the list said last
        share = pick.choice([200_000, 400_000, 1_000_000])
        self.rules = rules or DisruptionRules(
            lease=8 * SECOND,
            reservation_age=20 * SECOND,
            min_idle_time=2 * SECOND,
            begin_timeout=10 * SECOND,
            drain_timeout=40 * SECOND,
            return_timeout=25 * SECOND,
            max_unplanned_share=pick.choice([200_000, 500_000, 1_000_000]),
            recovery_time=4 * SECOND,
            warm_up_time=15 * SECOND,
            max_automatic_halts=pick.randint(1, 3),
            budgets=(
                ("fleet", pick.randint(1, 6), share),
                ("zone", pick.randint(1, 3), 1_000_000),
                ("tenant", pick.randint(1, 4), 1_000_000),
                ("directors", pick.randint(1, 2), 1_000_000),
            ),
            entries_per_second=pick.choice([200, 2_000, 20_000]),
        )
        self.put("rules", rules=self.rules.facts())
        if pick.random() < 0.5:
            most = sum(h.strength for h in self.hosts.values())
            for kind in (0, 1):
                self.put(
                    "load", **{"class": kind}, hours=[pick.randint(0, most // 3) for _ in range(24)]
                )

    # the log and the network

    def put(self, kind: str, **fields: Any) -> None:
        """An entry, at the leader's clock, which may have stepped back with a new leader."""
        entry = {"k": kind, "at": max(0, self.now - self.skew)} | fields
        self.index += 1
        packed = json.dumps(entry).encode()
        answer = self.ledger.apply(self.index, packed)
        self.history.append((self.index, packed, answer))
        self.judge.see(self.index, json.loads(packed), json.loads(answer))

    def send(self, kind: str, **fields: Any) -> None:
        """By the network: late, twice, or never."""
        copies = 1 if self.calm else self.chance.choices([0, 1, 2], [3, 90, 7])[0]
        for _ in range(copies):
            self.after(lambda: self.put(kind, **fields))

    def after(self, act: Callable[[], Any]) -> None:
        self.seq += 1
        late = 0 if self.calm or self.chance.random() < 0.6 else self.chance.randrange(4 * SECOND)
        heapq.heappush(self.way, (self.now + late, self.seq, act))

    # a second

    def run(self) -> None:
        """Raises `Broken` for what does not hold."""
        for step in range(FAULTED + CALM):
            self.now += SECOND
            if step == FAULTED:
                self.heal()
            if not self.calm:
                self.faults()
            while self.way and self.way[0][0] <= self.now:
                heapq.heappop(self.way)[2]()
            self.members()
            for name, holder in self.holders.items():
                if holder.alive:
                    self.work(name, holder)
            self.lead()
            self.true()
            if step == FAULTED + CALM // 5:
                self.give_up()
            if self.calm and not self.ledger.permits and not self.ledger.requests:
                break
        self.judge.finish()

    def heal(self) -> None:
        self.calm, self.skew = True, 0
        for host in self.hosts.values():
            host.alive = True
        for name, director in self.directors.items():
            if not director.alive and not director.stopped:
                self.rise(name, director)
        for name, holder in self.holders.items():
            holder.alive, holder.cut = self.chance.random() < 0.3, False
            if holder.alive and not self.ledger.holders.get(name):
                holder.alive = False

    def give_up(self) -> None:
        """An ask may wait for an hour of less load, and a history is minutes: its holder needs it no more."""
        for ask in list(self.ledger.requests.values()):
            if "strength" in ask.lacking_scopes:
                self.put(
                    "cancel",
                    holder=ask.holder,
                    inc=ask.incarnation,
                    n=int(ask.id.rpartition("/")[2]),
                )

    def faults(self) -> None:
        pick = self.chance
        if pick.random() < 0.05:
            host = pick.choice(list(self.hosts.values()))
            host.alive = not host.alive
            if host.alive and not host.stopped:
                host.inc, host.started, host.quiet = host.inc + 1, self.now, 0
        if pick.random() < 0.05:
            name, director = pick.choice(list(self.directors.items()))
            self.fall(name, director) if director.alive else self.rise(name, director)
        if pick.random() < 0.05:
            name, holder = pick.choice(list(self.holders.items()))
            if holder.alive and not holder.cut and pick.random() < 0.5:
                holder.cut = True
            elif holder.alive:
                holder.alive = False
            else:
                self.holders[name] = SimHolder(holder.inc + 1)
        if pick.random() < 0.02:
            scope = pick.choice(["all", "zone z0", "tenant t0", "release r0"])
            if scope in self.ledger.halts and pick.random() < 0.7:
                self.put("lift", scope=scope, by="ann")
            else:
                self.put("halt", scope=scope, by="ann", reason="a look")
        if pick.random() < 0.01:
            self.put("harm", release=pick.choice(["r0", "r1"]), reason="refusals")
        if pick.random() < 0.02:
            self.skew = pick.choice([0, 0, pick.randrange(5 * SECOND)])
        if pick.random() < 0.01:
            self.now += pick.randrange(12 * SECOND)  # nobody leads
        if pick.random() < 0.02:
            self.put(
                "forget",
                unit=pick.choice([*("host/" + h for h in self.hosts), "director/d0"]),
                by="ann",
            )
        if pick.random() < 0.05 and self.history:
            self.put(
                **{("kind" if k == "k" else k): v for k, v in self.replayed().items() if k != "at"}
            )

    def replayed(self) -> dict[str, Any]:
        entry: dict[str, Any] = json.loads(self.chance.choice(self.history)[1])
        return entry if entry["k"] not in ("lift", "forget", "rules", "load") else {"k": "tick"}

    def fall(self, name: str, director: SimDirector) -> None:
        """Its proxies join others, some later, some never."""
        director.alive, director.held, director.drained, director.took = (
            False,
            director.proxies,
            {},
            {},
        )
        for _ in range(director.proxies):
            self.after(lambda: self.rejoin(name, director.inc))
        director.proxies = 0

    def rejoin(self, name: str, inc: int) -> None:
        standing = [d for d in self.directors.values() if d.alive]
        if standing and (self.calm or self.chance.random() < 0.9):
            other = self.chance.choice(standing)
            other.proxies += 1
            if other is not self.directors[name]:
                had = other.took.get(name, [inc, 0])
                other.took[name] = [inc, had[1] + 1 if had[0] == inc else 1]
                other.drained = {}  # whoever comes holds old tables
        elif standing:
            self.after(lambda: self.rejoin(name, inc))

    def rise(self, name: str, director: SimDirector) -> None:
        director.alive, director.leaving, director.stopped = True, False, False
        director.inc, director.n, director.silent, director.acted = director.inc + 1, 0, [], 0

    def members(self) -> None:
        pick = self.chance
        for name, director in self.directors.items():
            if not director.alive:
                continue
            known = self.ledger.directors.get(name)
            if known and known.incarnation == director.inc and not known.is_live:
                director.inc, director.n = director.inc + 1, 0  # told that this one is over
            if pick.random() < 0.5:
                self.send("join", director=name, inc=director.inc, zone=director.zone)
            for host_name, host in self.hosts.items():
                if host.mark != "ready":
                    if pick.random() < 0.5:
                        director.drained[host_name] = host.token
                else:
                    director.drained.pop(host_name, None)
            fallen = [h for h, host in self.hosts.items() if not (host.alive and host.up)]
            director.silent = [
                h for h in fallen if self.hosts[h].mark == "ready" and pick.random() < 0.7
            ]
            if not self.calm and pick.random() < 0.03:
                director.silent.append(
                    pick.choice([h for h in self.hosts if h not in director.silent] or ["nobody"])
                )
            director.n += 1
            word = {
                "inc": director.inc,
                "n": director.n,
                "proxies": director.proxies,
                "binding": 5,
                "waiting": pick.randrange(9),
                "leaving": director.leaving,
                "token": director.acted,
                "drained": dict(director.drained),
                "silent": director.silent,
                "took": {k: list(v) for k, v in director.took.items()},
                "near": 950_000 if not self.calm and pick.random() < 0.005 else 100_000,
            }
            self.send("words", directors={name: word})
        said = {}
        for name, host in self.hosts.items():
            up = host.alive and host.up
            host.quiet = (
                host.quiet + SECOND if up and host.mark != "ready" and pick.random() < 0.97 else 0
            )
            if up and pick.random() < 0.7:
                said[name] = {
                    "inc": host.inc,
                    "n": self.now,
                    "up": True,
                    "quiet": host.quiet,
                    "token": host.fence.state().get("host/" + name, 0),
                }
        self.send("agents", hosts=said)

    def work(self, name: str, holder: SimHolder) -> None:
        pick = self.chance
        if not holder.cut and (pick.random() < 0.6 or name not in self.ledger.holders):
            self.send("hold", holder=name, inc=holder.inc)
        if not self.calm and pick.random() < 0.15:
            units = [
                f"host/{h}" for h in pick.sample(list(self.hosts), pick.choice([1, 1, 1, 2, 3]))
            ]
            if pick.random() < 0.15:
                units = [f"director/{pick.choice(list(self.directors))}"]
            holder.number += 1
            self.send(
                "ask",
                holder=name,
                inc=holder.inc,
                n=holder.number,
                units=units,
                length=pick.choice([SECOND, 5_000 * SECOND]),
                release=pick.choice(["", "r0", "r1"]),
            )
        if not self.calm and pick.random() < 0.02 and holder.number:
            self.send("cancel", holder=name, inc=holder.inc, n=pick.randint(1, holder.number))
        for unit, permit in list(self.ledger.permits.items()):
            if permit.holder != name:
                continue
            if permit.state == "lost" and permit.incarnation != holder.inc and pick.random() < 0.3:
                self.send("adopt", holder=name, inc=holder.inc, unit=unit)
            token = (
                holder.tokens.get(unit, 0)
                if not self.calm and pick.random() < 0.1
                else permit.token
            )
            holder.tokens[unit] = permit.token
            step = {"granted": "drain", "draining": "out", "empty": "out", "out": "back"}.get(
                permit.state
            )
            if step == "out" and permit.state == "draining" and pick.random() < 0.9:
                step = None
            if step == "back" and self.now < holder.until.setdefault(
                unit, self.now + pick.randrange(12) * SECOND
            ):
                step = None
            if not self.calm and pick.random() < 0.02:
                step = "back"
            if step and pick.random() < 0.8:
                self.send(step, holder=name, inc=holder.inc, unit=unit, token=token)
            if step == "back":
                holder.until.pop(unit, None)

    def lead(self) -> None:
        if not self.calm and self.chance.random() < 0.03:
            return
        for role, name, inc in list(self.ledger.expired_leases()):
            self.put("lapse", role=role, name=name, inc=inc)
        self.put("tick")
        if self.calm:
            for scope in list(self.ledger.halts):
                self.put("lift", scope=scope, by="ann")
        lines = {name: self.line(name) for name in self.hosts}
        # One that is on the list and was forgotten is listed again.
        changed = {
            n: line
            for n, line in lines.items()
            if self.told.get(n) != line or n not in self.ledger.hosts
        }
        if changed and (self.calm or self.chance.random() < 0.8):
            self.version += 1
            self.put("list", v=self.version, hosts=changed)
            self.told = lines
        for unit, mark, token in list(self.ledger.drain_markers()):
            if self.calm or self.chance.random() < 0.8:
                self.after(lambda u=unit, m=mark, t=token: self.do(u, m, t))  # type: ignore[misc]

    def line(self, name: str) -> dict[str, Any]:
        host = self.hosts[name]
        return {
            "zone": host.zone,
            "kind": host.kind,
            "tenants": host.tenants,
            "strength": host.strength,
            "classes": host.classes,
            "ready": host.mark == "ready" and host.up and host.alive,
            "token": host.token,
            "started": host.started,
        }

    def do(self, unit: str, mark: str, token: int) -> None:
        """The leader's order at the registry and the unit's agent, each with its own fence."""
        kind, _, name = unit.partition("/")
        if kind == "director":
            director = self.directors[name]
            if director.fence.allows(unit, token):
                if mark == "ready" and director.stopped:
                    self.rise(name, director)
                elif mark == "stopped" and director.alive:
                    self.fall(name, director)
                    director.stopped = True
                director.leaving = mark != "ready"
                director.acted = max(director.acted, token)
            return
        host = self.hosts[name]
        # What starts stays on the list as it is until its agent is heard to have acted.
        if self.registry.allows(unit, token) and mark != "starting":
            host.mark, host.token = "ready" if mark == "ready" else "leaving", token
        if host.alive and host.fence.allows(unit, token):
            if mark == "stopped":
                host.up, host.stopped = False, True
            elif mark in ("starting", "ready") and host.stopped:
                host.up, host.stopped, host.inc, host.started = True, False, host.inc + 1, self.now

    def true(self) -> None:
        """What was stopped by an order counts as out, whoever forgot it."""
        for name, host in self.hosts.items():
            if (
                host.stopped
                and name in self.ledger.hosts
                and f"host/{name}" not in self.ledger.permits
            ):
                if self.ledger.hosts[name].is_ready:
                    raise Broken(
                        f"truth: entry {self.index}: host/{name} is stopped, and is taken for ready"
                    )


def wrong_ledger(**components: Any) -> Callable[[], Ledger]:
    """Makes ledgers with these components, by their names in `LedgerComponents`."""
    return partial(Ledger, LedgerComponents(**components))


class FreesOnLapse(HolderLeases):
    def release(self, holder: str, cause: str) -> None:
        super().release(holder, cause)
        for target, permit in list(self.state.permits.items()):
            if permit.state == PermitState.LOST:
                self.permits.end(target, permit, "back", cause)


class SeesNoLoss(LedgerState):
    def is_serving(self, target: str) -> bool:
        return True


class KeepsWhatIsOver(BudgetRelief):
    def relieve(self) -> None:
        self.halts.halt_for_causes()


class AsksNobody(DrainVerifier):
    def obstacle(self, target: str, permit: Permit) -> str:
        return ""


class ForgetsWhoLapsed(LedgerState):
    def channel_load(self) -> ChannelLoad:
        return replace(super().channel_load(), unaccounted_proxies=0)


class TakesAnyToken(Permits):
    def held_permit(self, step: PermitStep, *states: PermitState) -> Permit:
        permit = self.state.permits.get(step.target)
        newest = replace(step, token=permit.token) if permit else step
        return super().held_permit(newest, *states)


class TakesDeadLeases(LedgerState):
    def live_holder(self, name: str, incarnation: int) -> Holder:
        return self.holders.get(name) or super().live_holder(name, incarnation)


class HearsNoHalt(LedgerState):
    def halt_on(self, target: str, release: str) -> str:
        return ""


class LiftsForOperators(Halts):
    def impose(self, scope: str, halt: Halt) -> None:
        super().impose(scope, replace(halt, is_automatic=True))
        self.state.halt_history.setdefault(scope, HaltHistory(1, self.state.now))


class GrantsParts(PermitRequests):
    def try_grant(self, request: PermitRequest) -> str:
        if len(request.targets) > 1 and self.budgets.shortages(request):
            self.state.requested_targets.pop(request.targets.pop(), None)
        return super().try_grant(request)


class TakesLateWords(Reports):
    def apply_status_reports(self, command: StatusReports) -> dict[str, str]:
        reports = dict(command.reports)
        for name, report in reports.items():
            if known := self.state.directors.get(name):
                reports[name] = replace(
                    report, incarnation=known.incarnation, sequence=known.sequence + 1
                )
        return super().apply_status_reports(StatusReports(reports))


class TakesReadyForBack(Permits):
    def end_if_back(self, target: str) -> None:
        permit = self.state.permits.get(target)
        on_its_way = (PermitState.RETURNING, PermitState.UNDOING, PermitState.LOST)
        if permit and permit.state in on_its_way and target.startswith("host/"):
            if self.state.hosts[target[5:]].is_ready:
                self.end(target, permit, "back", "")


class NeverSeesBack(Permits):
    def end_if_back(self, target: str) -> None:
        pass


class ServesTheYoung(PermitRequests):
    def try_grant(self, request: PermitRequest) -> str:
        self.state.reservations = {}
        return super().try_grant(request)


class ForgetsStrength(Budgets):
    def capacity_needs(self, duration: int) -> list[ClassNeed]:
        return []


class ForgetsTheChannel(Budgets):
    def is_channel_short(self, drains: int, directors: list[str]) -> bool:
        return False

    def is_channel_short_without_planned(self, drains: int, directors: list[str]) -> bool:
        return False


# Wrong ledgers, and what must be said of each.
MUTANTS: dict[str, tuple[Callable[[], Ledger], set[str]]] = {
    "frees a place when a lease lapses": (wrong_ledger(holders=FreesOnLapse), {"seen"}),
    "counts what is planned alone": (wrong_ledger(state=SeesNoLoss), {"budget"}),
    "takes nothing back": (wrong_ledger(relief=KeepsWhatIsOver), {"budget"}),
    "asks nobody whether a host is empty": (wrong_ledger(drains=AsksNobody), {"empty"}),
    "forgets proxies of a director that lapsed": (wrong_ledger(state=ForgetsWhoLapsed), {"empty"}),
    "takes any token": (wrong_ledger(permits=TakesAnyToken), {"token"}),
    "takes a lease that ran out": (wrong_ledger(state=TakesDeadLeases), {"lease"}),
    "lets work begin under a halt": (wrong_ledger(state=HearsNoHalt), {"halt"}),
    "lifts what operators halted": (wrong_ledger(halts=LiftsForOperators), {"halt"}),
    "grants an ask in part": (wrong_ledger(requests=GrantsParts), {"whole"}),
    "takes late words": (wrong_ledger(reports=TakesLateWords), {"late"}),
    "takes ready for back": (wrong_ledger(permits=TakesReadyForBack), {"seen"}),
    "never sees one back": (wrong_ledger(permits=NeverSeesBack), {"ends"}),
    "serves the young first": (wrong_ledger(requests=ServesTheYoung), {"starved"}),
    "forgets strength": (wrong_ledger(budgets=ForgetsStrength), {"strength"}),
    "forgets the channel": (wrong_ledger(budgets=ForgetsTheChannel), {"channel"}),
}


def play(seed: int, make: Callable[[], Ledger] = Ledger) -> tuple[Sim, str]:
    """A history and what was broken in it, if anything."""
    sim = Sim(seed, make)
    try:
        sim.run()
    except Broken as broken:
        return sim, str(broken)
    return sim, ""


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    first = int(sys.argv[2]) if len(sys.argv) > 2 else 0
    entries, bad = 0, 0
    ends: dict[str, int] = {}
    for seed in range(first, first + seeds):
        sim, broken = play(seed)
        entries += sim.index
        for _, _, answer in sim.history:
            for _, state, _, _ in json.loads(answer).get("moved", ()):
                ends[state] = ends.get(state, 0) + 1
        if broken:
            bad += 1
            print(f"seed {seed}: {broken}", flush=True)
    print(f"{seeds} histories, {entries} entries, {bad} broken; {ends}")


if __name__ == "__main__":
    main()
