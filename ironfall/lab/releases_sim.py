"""Seeded releases at a fleet of directors with the real ledger, and a judge that knows the truth.

Directors have bents of their own, noise that lasts a few seconds, a daily swing and shocks by zone; proxies move when
one stops and drift back. Words are lost or late; directors and a zone die by themselves; the holder dies at any call.

    python -m ironfall.lab.releases_sim [SEEDS [FIRST [DIRECTORS]]]
"""

import json
import math
import random
import statistics
import sys
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from ironfall.disruption import DisruptionRules, Fence, Ledger
from ironfall.disruption.channel import ChannelWork, channel_time
from ironfall.disruption.settings import MILLION
from ironfall.rollout import (
    CanaryAnalysis,
    FleetView,
    Rollout,
    RolloutPlan,
    RolloutState,
    StatusSample,
    Verdict,
    read_fleet_view,
)
from ironfall.rollout.fleet_view import PermitView
from ironfall.rollout.states import Direction
from ironfall.rollout.wave_planner import Wave

SECOND = 10_000
HARMS = ("refuses", "bare", "crashes", "waits", "never", "older", "twice")
UNHEARD = (
    "unused",
    "mute",
    "dies",
)  # to be held: nobody joins it, it says nothing more, or one is lost and stays so
LEASE, RAMP = 10, 20.0


class Broken(Exception):
    """What does not hold, by name."""


class Died(Exception):
    """The holder, in the middle of a call."""


@dataclass
class SimDirector:
    zone: str
    bent: tuple[float, float, float, float]
    leave_time: int
    start_time: int
    weight: float
    version: str = "1"
    ordered: str = "1"
    inc: int = 1
    n: int = 0
    alive: bool = True
    up_at: int = 0  # when the process answers; it runs before that
    running: bool = True
    zombie: bool = False  # a second process of the name lives on
    proxies: float = 0.0
    leaving: bool = False
    left_at: int = 0
    acted: int = 0
    noise: list[float] = field(default_factory=lambda: [0.0] * 4)
    back_at: int = 0  # of what died by itself
    fence: Fence = field(default_factory=Fence)
    renewed: int = 0


class Sim:
    """One release. `harm`: one of `HARMS` or `UNHEARD`, or nothing; `surge`: refusals everywhere from a minute on."""

    def __init__(
        self,
        seed: int,
        harm: str = "",
        directors: int = 230,
        zones: int = 8,
        make: type[Rollout] = Rollout,
        faults: bool = True,
        order: RolloutPlan | None = None,
        losses: float = 0.3,
        surge: float = 0.0,
    ) -> None:
        self.chance, self.kind, self.faults, self.make = random.Random(seed), harm, faults, make
        self.ledger, self.index, self.now, self.start = Ledger(), 0, 36_000, 36_000  # seconds
        self.losses, self.surge = losses, surge
        self.order, self.inc, self.asked = order or RolloutPlan("r2", "1", "2"), 0, 0
        pick = self.chance
        self.phase = pick.random() * 86_400
        self.directors = {
            f"d{n}": SimDirector(
                f"z{n % zones}",
                (
                    pick.gauss(0, 0.002),
                    pick.gauss(0, 0.001),
                    abs(pick.gauss(0, 0.01)),
                    pick.gauss(0, 0.02),
                ),
                pick.randint(3, 8),
                pick.randint(8, 25),
                pick.uniform(0.7, 1.4),
            )
            for n in range(directors)
        }
        self.proxies = 10 * directors
        for one in self.directors.values():
            one.proxies = 10 * one.weight
        share = 200_000 if directors // zones >= 5 else 1_000_000
        whole = max(100_000, MILLION // directors + 1)
        self.rules = DisruptionRules(
            budgets=(
                ("fleet", 1 << 30, MILLION),
                ("directors", 1 << 30, whole),
                ("directors-zone", 1 << 30, share),
            ),
            lease=LEASE * SECOND,
            max_unplanned_share=500_000,
            return_timeout=600 * SECOND,
        )
        self.put("rules", rules=self.rules.facts())
        for name, one in self.directors.items():
            self.put("join", director=name, inc=1, zone=one.zone, version="1")
        self.notes: list[tuple[int, str, dict[str, object]]] = []
        self.out_planned: dict[str, int] = {}  # stopped by us, since when
        self.changed: set[str] = set()  # ever run with the new version
        self.dead_since: dict[str, int] = {}
        self.halts: dict[str, int] = {}
        self.harmed_at = self.harmed_with = self.went_on_unheard = 0
        self.deaths = 0
        self.seconds = 0
        self.holder: Rollout | None = None
        self.next_holder = 0
        self.calls, self.dies_at = 0, 0
        self.most_ahead = 0
        if faults:
            self.dies_at = pick.randrange(10, 6 * directors)
        loses = faults and zones > 2 and pick.random() < 0.3
        self.lost_zone = (
            (f"z{pick.randrange(zones)}", pick.randrange(100, 600)) if loses else ("", 0)
        )

    def put(self, kind: str, **fields: Any) -> dict[str, Any]:
        self.index += 1
        entry = {"k": kind, "at": self.now * SECOND} | fields
        answer: dict[str, Any] = json.loads(
            self.ledger.apply(self.index, json.dumps(entry).encode())
        )
        return answer

    # the way of a release

    def call(self, kind: str, **fields: Any) -> str:
        return str(self.say(kind, **fields).get("no", ""))

    def say(self, kind: str, **fields: Any) -> dict[str, Any]:
        """An entry by the holder: it may be lost, or come into effect unheard, or the holder dies before or after."""
        self.calls += 1
        dies = self.dies_at and self.calls >= self.dies_at
        if dies and self.chance.random() < 0.5:
            raise Died
        draw = self.chance.random() if self.faults else 1.0
        if draw < 0.01:
            raise OSError("lost")
        answer = self.put(kind, **fields)
        if dies:
            raise Died
        if draw < 0.02:
            raise OSError("in doubt")
        return answer

    def request_permits(self, targets: list[str], duration: int, release: str) -> str:
        self.asked += 1
        return self.call(
            "ask",
            holder="rel",
            inc=self.inc,
            n=self.asked,
            units=targets,
            length=duration,
            release=release,
        )

    def cancel_request(self, request: str) -> str:
        return self.call("cancel", holder="rel", inc=self.inc, n=int(request.rpartition("/")[2]))

    def advance_permit(self, step: str, director: str, token: int) -> int:
        answer = self.say(
            step, holder="rel", inc=self.inc, unit=f"director/{director}", token=token
        )
        return int(answer["ok"]["token"]) if "ok" in answer else 0

    def adopt_permit(self, director: str) -> str:
        return self.call("adopt", holder="rel", inc=self.inc, unit=f"director/{director}")

    def report_harm(self, release: str, reason: str) -> str:
        if self.kind in UNHEARD:
            raise Broken(f"{self.kind}: not enough was heard, and yet: {reason}")
        self.harmed_at = self.harmed_at or self.now
        self.harmed_with = self.harmed_with or len(self.changed)
        return self.call("harm", release=release, reason=reason)

    def halt(self, scope: str, reason: str) -> str:
        return self.call("halt", scope=scope, by="rel", reason=reason)

    def set_leaving(self, director: str, is_leaving: bool, token: int) -> None:
        one = self.directors[director]
        if one.alive and one.up_at <= self.now and one.fence.allows(f"director/{director}", token):
            if is_leaving and not one.leaving:
                one.left_at = self.now + one.leave_time
            one.leaving, one.acted = is_leaving, max(one.acted, token)

    def install_version(self, director: str, version: str, token: int) -> None:
        self.calls += 1
        dies = self.dies_at and self.calls >= self.dies_at
        if dies and self.chance.random() < 0.3:
            raise Died
        one = self.directors[director]
        if one.fence.allows(f"director/{director}", token):
            if one.running and one.alive:
                self._may_stop(director)
                one.running = one.alive = False
                self.dead_since[director] = self.now
            if dies and self.chance.random() < 0.5:
                raise Died  # stopped, and nothing started
            self._start(director, version)
        if dies:
            raise Died

    def running_versions(self, director: str) -> list[str]:
        one = self.directors[director]
        return ([one.ordered] if one.running else []) + (["1"] if one.zombie else [])

    def log_event(self, event: str, **fields: object) -> None:
        self.notes.append((self.now - self.start, event, fields))

    # the truth

    def _start(self, name: str, version: str) -> None:
        one, pick = self.directors[name], self.chance
        one.zombie = self.kind == "twice" and version == "2"
        if version == "2":
            self.changed.add(name)
        actual = "1" if self.kind == "older" and version == "2" else version
        one.version, one.alive, one.running, one.leaving, one.n = actual, True, True, False, 0
        one.ordered = version
        one.up_at = self.now + one.start_time + pick.randint(0, 2)
        if self.kind == "never" and version == "2":
            one.up_at = 1 << 60
        one.inc, one.acted, one.renewed = one.inc + 1, 0, self.now
        if self._zone_dead(one):
            one.alive = one.running = False
        self.dead_since.setdefault(name, self.now)

    def _zone_dead(self, one: SimDirector) -> bool:
        zone, since = self.lost_zone
        return one.zone == zone and since <= self.now - self.start < since + 240

    def _may_stop(self, name: str) -> None:
        """A process that answers is to be stopped by an order."""
        one, permit = self.directors[name], self.ledger.permits.get(f"director/{name}")
        if permit is None or permit.state not in ("out", "returning"):
            raise Broken(f"{name} is stopped and was not let out")
        if not self._answers(one):
            return  # it is out already
        gone = [
            n
            for n, d in self.directors.items()
            if n in self.out_planned
            or not self._answers(d)
            and self.now - self.dead_since.get(n, self.now) > LEASE + 2
        ]
        for scope, names in (
            ("directors", self.directors),
            (
                f"directors-zone {one.zone}",
                [n for n, d in self.directors.items() if d.zone == one.zone],
            ),
        ):
            limit = self.rules.budgets[1 if scope == "directors" else 2][2] * len(names) // MILLION
            if len([n for n in {*gone, name} if n in names]) > limit:
                raise Broken(f"{scope} allows {limit} out, and {name} is stopped as one more")
        for scope, since in self.halts.items():
            release = permit.release
            if scope in ("all", f"zone {one.zone}", f"release {release}") and self.now > since:
                raise Broken(f"{name} is stopped under the halt of {scope}")
        self.out_planned[name] = self.now

    def _answers(self, one: SimDirector) -> bool:
        return one.alive and one.up_at <= self.now

    def _look(self) -> None:
        """What holds at every second."""
        halts = {scope: h.since // SECOND for scope, h in self.ledger.halts.items()}
        self.halts = {s: self.halts.get(s, self.now) for s in halts}
        for name, one in self.directors.items():
            if self._answers(one):
                self.dead_since.pop(name, None)
                self.out_planned.pop(name, None)
            else:
                self.dead_since.setdefault(name, self.now)

    def live_with(self, version: str) -> list[str]:
        return [n for n, d in self.directors.items() if self._answers(d) and d.version == version]

    # a second

    def fleet(self) -> None:
        pick, t = self.chance, self.now - self.start
        for one in self.directors.values():
            if self._zone_dead(one) and one.alive:
                one.alive = one.running = False
                one.back_at = self.now + 240 + pick.randint(0, 30)
            elif one.alive and self.faults and pick.random() < self.losses / 3600:
                one.alive = one.running = False
                one.back_at = self.now + pick.choice([20, 60, 600])
            elif one.alive and one.version == "2" and self.kind in ("crashes", "dies"):
                if self._answers(one) and self.now >= one.up_at + 60:
                    one.alive = one.running = False
                    one.back_at = self.now + 8 if self.kind == "crashes" else 1 << 60
            elif (
                not one.alive
                and one.back_at
                and self.now >= one.back_at
                and not self._zone_dead(one)
            ):
                one.alive = one.running = True
                one.inc, one.n, one.leaving, one.acted, one.back_at = one.inc + 1, 0, False, 0, 0
                one.up_at = self.now + 1
        live = [d for d in self.directors.values() if self._answers(d) and not d.leaving]
        total = sum(d.weight for d in live) or 1.0
        for one in self.directors.values():
            if not self._answers(one):
                one.proxies = 0.0
            else:
                goal = self.proxies * one.weight / total if one in live else 0.0
                if self.kind == "unused" and one.version == "2":
                    goal = 0.0
                one.proxies += (goal - one.proxies) / (RAMP if goal > one.proxies else 3)
        swing = (
            (self.surge if t > 60 else 0.0)
            + 0.01
            + 0.005 * math.sin(2 * math.pi * (t + self.phase) / 3_600)
        )
        shocks = {
            z: pick.gauss(0, 0.003) for z in sorted({d.zone for d in self.directors.values()})
        }
        words: dict[str, Any] = {}
        for name, one in self.directors.items():
            if not self._answers(one):
                continue
            if (
                self.ledger.directors[name].incarnation != one.inc
                or not self.ledger.directors[name].is_live
                or t % 3 == 0
            ):
                if not self.faults or pick.random() > 0.02:
                    answer = self.put(
                        "join", director=name, inc=one.inc, zone=one.zone, version=one.version
                    )
                    if "no" in answer:
                        one.inc, one.n = one.inc + 1, 0
            one.n += 1
            one.noise = [
                0.7 * a + pick.gauss(0, s)
                for a, s in zip(one.noise, (0.004, 0.002, 0.01, 0.05), strict=True)
            ]
            bad = self.kind if one.version == "2" else ""
            proxies = round(one.proxies)
            refused = (
                swing
                + shocks[one.zone]
                + one.bent[0]
                + one.noise[0]
                + (0.04 if bad == "refuses" else 0)
            )
            failed = 0.005 + one.bent[1] + one.noise[1]
            bare = one.bent[2] + abs(one.noise[2]) + (0.3 if bad == "bare" else 0)
            waiting = 0.1 + one.bent[3] + one.noise[3] + (1.5 if bad == "waits" else 0)
            if self.faults and pick.random() < 0.03 or bad == "mute" and self.now >= one.up_at + 45:
                continue  # lost, or never said
            refused, bare = min(1.0, max(0.0, refused)), min(1.0, bare)
            took = {}
            if not words:  # proxies join others at once; one of them says it of all
                took = {
                    n: [d.incarnation, d.proxies]
                    for n, d in self.ledger.directors.items()
                    if not d.is_live
                }
            words[name] = {
                "inc": one.inc,
                "n": one.n,
                "took": took,
                "proxies": proxies,
                "binding": 40,
                "token": one.acted,
                "leaving": one.leaving and self.now >= one.left_at,
                "bare": sum(pick.random() < bare for _ in range(proxies)),
                "refused": round(refused * MILLION),
                "waiting": round(max(0.0, waiting) * self.rules.entries_per_second),
                "fulfilled": round(max(0.0, 1 - refused - max(0.0, failed)) * MILLION),
            }
        self.put("words", directors=words)

    def hold(self) -> None:
        if self.holder is None:
            if self.now < self.next_holder:
                return
            self.inc, self.asked = self.inc + 1, 0
            self.holder = self.make(self.order, "rel", self)
        try:
            if self.now % 3 == 0 or not self.ledger.holders.get("rel"):
                answer = self.put("hold", holder="rel", inc=self.inc)
                if "no" in answer:
                    raise Died
            elif self.ledger.holders["rel"].incarnation != self.inc:
                return
            self.holder.step(read_fleet_view(self.ledger.inspect(), self.rules.entries_per_second))
        except Died:
            self.deaths += 1
            self.holder, self.next_holder = None, self.now + self.chance.choice([1, 5, 30])
            self.dies_at = self.calls + self.chance.randrange(10, 6 * len(self.directors))
            if self.deaths >= 3:
                self.dies_at = 0
        except OSError:
            pass

    def run(self, most: int = 6_000, each: Callable[["Sim"], None] = lambda sim: None) -> str:
        """How it ended; raises `Broken`."""
        while self.seconds < most:
            self.now, self.seconds = self.now + 1, self.seconds + 1
            self.fleet()
            for role, name, inc in list(self.ledger.expired_leases()):
                self.put("lapse", role=role, name=name, inc=inc)
            self.put("tick")
            if self.now % 7 != 0 or not self.faults:
                self.hold()
            self._look()
            each(self)
            state = self.holder.state if self.holder else ""
            held = self.ledger.halts.get(f"release {self.order.name}")
            if state == RolloutState.DONE:
                return self._ended("done")
            if state == RolloutState.ROLLED_BACK and not self.live_with("2"):
                return self._ended("back")
            if held and held.reason.startswith("held"):
                return self._ended("held")
        return self._ended("never ended")

    def _ended(self, how: str) -> str:
        if how == "done":
            if self.live_with("1"):
                raise Broken("done, and some run the former version")
            if any(p.release == self.order.name for p in self.ledger.permits.values()):
                raise Broken("done, and permits are open")
        if self.kind in HARMS and how == "done":
            raise Broken(f"{self.kind}: a harmful release went through")
        if self.kind in HARMS and self.harmed_with > max(2, len(self.directors) // 10):
            raise Broken(f"{self.kind}: stopped at {self.harmed_with} of {len(self.directors)}")
        if self.kind in HARMS and how == "never ended":
            raise Broken(
                f"{self.kind}: neither stopped nor taken back whole: {self.holder and self.holder.reason}"
            )
        if not self.kind and how == "never ended":
            raise Broken(f"never ended: {self.holder and (self.holder.state, self.holder.reason)}")
        if self.kind in UNHEARD and how == "done":
            raise Broken(f"{self.kind}: it went through, and not enough was heard")
        return how

    def shortest(self) -> float:
        """Seconds that budgets and channel need at least for all, none waiting for any word, verdict or holder."""
        most = self.rules.budgets[1][2] * len(self.directors) // MILLION
        n = len(self.directors)

        def channel(out: int) -> int:
            return channel_time(
                self.rules,
                ChannelWork(
                    directors=n - out,
                    staying_proxies=self.proxies * (n - out) // n,
                    moving_proxies=self.proxies * out // n,
                    assignment_entries=40,
                    waiting_entries=100,
                    drains=0,
                ),
            )

        while most > 1 and channel(most) > self.rules.unassigned_limit:
            most -= 1
        spans = {name: d.leave_time + d.start_time for name, d in self.directors.items()}
        longest = sum(spans.values()) / most
        for zone in {d.zone for d in self.directors.values()}:
            its = [spans[name] for name, d in self.directors.items() if d.zone == zone]
            longest = max(
                longest, sum(its) / max(1, self.rules.budgets[2][2] * len(its) // MILLION)
            )
        return longest


class _Sampled(CanaryAnalysis):
    """One threshold on one sample."""

    def observe(
        self,
        samples: Mapping[str, StatusSample],
        canaries: Collection[str],
        baseline: Collection[str],
    ) -> None:
        mine, others = (
            [samples[n].figures[0] for n in names if n in samples] for names in (canaries, baseline)
        )
        if mine and others:
            apart = statistics.mean(mine) - statistics.mean(others)
            self.known = Verdict.HARM if apart > 0.4 * self.harm_thresholds[0] else Verdict.FINE
            self.reason = f"{apart:.4f}"


class _Trusting(CanaryAnalysis):
    """Goes on when not enough is heard."""

    def verdict(self) -> tuple[Verdict, str]:
        known, why = super().verdict()
        return known or Verdict.FINE, why


class _Repeating(CanaryAnalysis):
    """Counts what a director said once in every second."""

    def observe(
        self,
        samples: Mapping[str, StatusSample],
        canaries: Collection[str],
        baseline: Collection[str],
    ) -> None:
        self.latest = {}
        super().observe(samples, canaries, baseline)


class _Former(CanaryAnalysis):
    """Compares with what the rest said at another time."""

    then: Mapping[str, StatusSample] = {}

    def observe(
        self,
        samples: Mapping[str, StatusSample],
        canaries: Collection[str],
        baseline: Collection[str],
    ) -> None:
        self.then = self.then or {n: samples[n] for n in baseline if n in samples}
        self.latest = {}
        current = {name: sample for name, sample in samples.items() if name in canaries}
        super().observe(current | dict(self.then), canaries, baseline)


def judged(analysis: type[CanaryAnalysis]) -> type[Rollout]:
    class Wrong(Rollout):
        def _new_wave(self, names: list[str]) -> Wave:
            wave = super()._new_wave(names)
            wave.analysis = analysis(self.plan.error_level, self.plan.harm_thresholds)
            return wave

    return Wrong


class _Forgets(Rollout):
    """Takes back all waves but the last."""

    last: tuple[str, ...] = ()

    def _request(self, names: list[str], release: str) -> None:
        if release == self.plan.name:
            self.last = tuple(names)
        super()._request(names, release)

    def _roll_back(self, view: FleetView) -> None:
        self.actions.log_event("back", but=self.last)
        kept = {n: s for n, s in view.directors.items() if n not in self.last}
        super()._roll_back(replace(view, directors=kept))


class _Hasty(Rollout):
    """Stops what was not let out."""

    def _advance_permit(
        self, view: FleetView, name: str, permit: PermitView, is_rolling_back: bool
    ) -> None:
        if permit.state == "draining":
            self.actions.install_version(name, self.plan.target_version, permit.token)
        super()._advance_permit(view, name, permit, is_rolling_back)


class _Deaf(Rollout):
    """Goes on under a halt."""

    def _read_direction(self, view: FleetView) -> Direction:
        return Direction.FORWARD


# Each with the kind of release that it is caught at, and by what.
WRONG: dict[str, tuple[type[Rollout], dict[str, Any], str]] = {
    "one threshold on one sample": (judged(_Sampled), {}, "harmless, and taken back"),
    "goes on when not enough is heard": (
        judged(_Trusting),
        {"harm": "unused"},
        "not enough was heard",
    ),
    "forgets the way back of the last wave": (
        _Forgets,
        {"harm": "refuses"},
        "neither stopped nor taken back whole",
    ),
    "counts a word twice": (judged(_Repeating), {"harm": "mute"}, "not enough was heard"),
    "compares with another time": (judged(_Former), {"surge": 0.05}, "harmless, and taken back"),
    "stops before it may": (_Hasty, {}, "was not let out"),
    "goes on under its halt": (_Deaf, {"harm": "refuses"}, "neither stopped nor taken back whole"),
}


def quantiles(values: Sequence[float]) -> str:
    if len(values) < 2:
        return str([round(v, 2) for v in values])
    cut = statistics.quantiles(values, n=20, method="inclusive")
    return f"5% {cut[0]:.2f}, half {cut[9]:.2f}, 95% {cut[18]:.2f}, most {max(values):.2f}"


def play(seeds: range, directors: int) -> int:
    broken = 0
    for harm in ("", *HARMS, *UNHEARD):
        ends: dict[str, int] = {}
        times, stops, ratios = [], [], []
        for seed in seeds:
            sim = Sim(seed, harm, directors)
            try:
                how = sim.run()
            except Broken as cause:
                broken, how = broken + 1, f"broken, seed {seed}: {cause}"
            ends[how] = ends.get(how, 0) + 1
            times.append(float(sim.seconds))
            ratios.append(sim.seconds / sim.shortest())
            if sim.harmed_at:
                stops.append(float(sim.harmed_at - sim.start))
        print(
            f"{harm or 'harmless'}: {ends}\n  seconds {quantiles(times)}; of the shortest {quantiles(ratios)}"
        )
        if stops:
            print(f"  to stop {quantiles(stops)}", flush=True)
    return broken


if __name__ == "__main__":
    count, first, many = (*map(int, sys.argv[1:]), *(10, 0, 230)[len(sys.argv) - 1 :])
    sys.exit(bool(play(range(first, first + count), many)))
