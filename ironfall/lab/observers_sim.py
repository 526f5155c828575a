"""Seeded histories of observers: the real observers, collector, ledger and members' side, all around them emulated.

Each machine has a clock of its own with its own drift. Messages come late, twice or never; observers are killed,
stopped and continued, cut off on one side or both, restarted as an older incarnation; leaders change; members die,
restart and go from one observer to the other; a zone is apart for long. Then all heals, and the ledger must know what
is true.

    python -m ironfall.lab.observers_sim [SEEDS [FIRST [SECONDS]]]     # SECONDS of faults in each
"""

import heapq
import json
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from ironfall.disruption import DisruptionRules, Ledger
from ironfall.disruption.digests import Digests
from ironfall.disruption.drain_verification import DrainVerifier
from ironfall.disruption.entries import Digest, HostReport
from ironfall.disruption.permits import Permits
from ironfall.disruption.records import Permit, PermitState
from ironfall.disruption.reports import Reports
from ironfall.disruption.settings import MILLION, SECOND
from ironfall.disruption.state import LedgerState
from ironfall.lab.observers_judge import Broken, Judge
from ironfall.lab.permits_sim import wrong_ledger
from ironfall.membership import (
    AggregatorRules,
    DigestCollector,
    HeartbeatAggregator,
    HeartbeatSender,
)
from ironfall.membership.heartbeat_codec import Heartbeat
from ironfall.membership.members import Member, Rejection
from ironfall.membership.stamps import Stamp

FAULTED, CALM = 100, 80  # seconds
TIMEOUT = SECOND  # of a beat or a report
RULES = DisruptionRules(
    lease=6 * SECOND,
    drift=10_000,
    reservation_age=20 * SECOND,
    min_idle_time=2 * SECOND,
    begin_timeout=20 * SECOND,
    drain_timeout=40 * SECOND,
    return_timeout=30 * SECOND,
    max_unplanned_share=1_000_000,
    recovery_time=4 * SECOND,
    warm_up_time=0,
    unassigned_limit=1_000 * SECOND,
    drain_grace=1_000 * SECOND,
    budgets=(("fleet", 4, 1_000_000), ("zone", 3, 1_000_000), ("directors", 2, 1_000_000)),
)


class Clock:
    """One machine's: monotonic, drifting by its own part of a million, from a zero of its own."""

    def __init__(self, chance: random.Random, drift: int) -> None:
        self.zero, self.rate = chance.randrange(10**9), MILLION + chance.randint(-drift, drift)

    def at(self, time: int) -> int:
        return self.zero + time * self.rate // MILLION


@dataclass
class Unit:
    """A director or a host with its agent: the truth."""

    name: str
    zone: str
    clock: Clock
    sender: HeartbeatSender
    alive: bool = True
    cut: bool = False  # its beats do not come through
    inc: int = 1
    asked: int = 0  # the message under way
    proxies: int = 0
    drained: dict[str, int] = field(default_factory=dict)
    silent: list[str] = field(default_factory=list)
    leaving: bool = False
    up: bool = True
    token: int = 0  # the newest order acted on
    quiet: int = 0  # since when nothing comes
    mark: str = "ready"  # a host's, at the registry
    mark_token: int = 0
    ghost: bool = False  # it came while its zone was apart, and went for good

    def word(self) -> dict[str, Any]:
        if self.name.startswith("host/"):
            return {"up": self.up, "token": self.token}
        return {
            "proxies": self.proxies,
            "binding": 5,
            "waiting": 3,
            "drained": dict(self.drained),
            "near": 100_000,
            "silent": sorted(self.silent),
            "leaving": self.leaving,
            "token": self.token,
        }


@dataclass
class Post:
    """An observer's machine."""

    name: str
    zone: str
    clock: Clock
    core: HeartbeatAggregator
    up: bool = True
    stopped: bool = False  # by a signal: what comes waits
    deaf: bool = False  # the leader's answers do not come
    mute: bool = False  # nor do its reports go
    apart: bool = False  # from its members
    waits: list[Callable[[], None]] = field(default_factory=list)
    life: int = 0  # counts up with each start


class Sim:
    def __init__(
        self,
        seed: int,
        observer: type[HeartbeatAggregator] = HeartbeatAggregator,
        collector: type[DigestCollector] = DigestCollector,
        ledger: Callable[[], Ledger] = Ledger,
        apart: bool = False,
        lies: bool = False,
        faulted: int = FAULTED,
    ) -> None:
        """`apart`: one zone is cut off from the keepers for most of the history. `lies`: all stands, and observers say
        better things of members that are the other's."""
        self.chance = pick = random.Random(seed)
        self.make_observer, self.make_collector = observer, collector
        self.ledger, self.index, self.now, self.seq = ledger(), 0, 0, 0
        self.way: list[tuple[int, int, Callable[[], None]]] = []
        self.calm, self.apart, self.lies, self.faulted = False, apart, lies, faulted
        self.history: list[tuple[int, bytes, bytes]] = []
        self.zones = [f"z{n}" for n in range(pick.randint(2, 3))]
        self.wall, self.leader_clock, self.term = 10**13, Clock(pick, 4_000), 0
        self.leads, self.leads_at, self.changed_at = False, 0, 0
        self.judge = Judge(self, RULES)
        self.put("rules", rules=RULES.facts())
        self.posts: dict[str, Post] = {}
        for zone in self.zones:
            for letter in "ab":
                clock = Clock(pick, 4_000)
                name = f"o-{zone}-{letter}"
                self.posts[name] = Post(name, zone, clock, self.core(name, zone, 1, clock))
        self.terms = {post.name: post.zone for post in self.posts.values()}
        self.units: dict[str, Unit] = {}
        for zone in self.zones:
            mine = [n for n, z in self.terms.items() if z == zone]
            for n in range(pick.randint(2, 4)):
                self.unit(f"director/d{n}-{zone}", zone, mine)
            for n in range(pick.randint(3, 5)):
                self.unit(f"host/h{n}-{zone}", zone, mine)
        self.version = 0
        self.told: dict[str, Any] = {}
        self.number, self.holder, self.busy = 0, 1, 0
        self.tokens: dict[str, int] = {}
        self.until: dict[str, int] = {}
        self.collector: DigestCollector | None = None
        self.lead()

    def core(self, name: str, zone: str, inc: int, clock: Clock) -> HeartbeatAggregator:
        return self.make_observer(
            name,
            zone,
            inc,
            clock.at(self.now),
            AggregatorRules(RULES.lease, RULES.drift, RULES.near_limit_share, 1_024, 2),
        )

    def unit(self, name: str, zone: str, observers: list[str]) -> None:
        clock, chance = Clock(self.chance, 4_000), random.Random(self.chance.random())
        self.units[name] = Unit(
            name,
            zone,
            clock,
            HeartbeatSender(zone, observers, clock.at(0), RULES.lease, chance),
            proxies=self.chance.randint(0, 12),
            quiet=0,
        )

    # the log

    def put(self, kind: str, **fields: Any) -> Any:
        """An entry, agreed at once; the leader's wall may have been set back."""
        self.index += 1
        packed = json.dumps(
            {"k": kind, "at": max(self.log_time(), self.ledger.now)} | fields
        ).encode()
        before = self.judge.before(json.loads(packed))
        answer = self.ledger.apply(self.index, packed)
        self.history.append((self.index, packed, answer))
        self.judge.see(json.loads(packed), json.loads(answer), before)
        return json.loads(answer)

    def log_time(self) -> int:
        return self.wall + self.now

    def later(self, wait: int, act: Callable[[], None]) -> None:
        self.seq += 1
        heapq.heappush(self.way, (self.now + wait, self.seq, act))

    def late(self) -> int:
        """How long a message is on its way."""
        if self.calm or self.chance.random() < 0.9:
            return self.chance.randint(5, 300)
        return self.chance.randrange(4 * SECOND)

    def send(self, act: Callable[[], None]) -> None:
        for _ in range(1 if self.calm else self.chance.choices([0, 1, 2], [2, 94, 4])[0]):
            self.later(self.late(), act)

    # leaders

    def lead(self) -> None:
        self.term += 1
        self.leads, self.leads_at = True, self.now
        self.leader_clock = Clock(self.chance, 4_000)
        self.wall += 0 if self.calm else self.chance.randint(-SECOND // 4, SECOND // 4)
        self.collector = self.make_collector(
            self.term, self.leader_clock.at(self.now), self.terms, self.ledger
        )
        self.later(SECOND, lambda term=self.term: self.second(term))  # type: ignore[misc]

    def second(self, term: int) -> None:
        """The leader's beat."""
        if term != self.term or not self.leads or self.collector is None:
            return
        self.put("tick")
        for role, name, inc in list(self.ledger.expired_leases()):
            self.put("lapse", role=role, name=name, inc=inc)
        made = max(self.log_time(), self.ledger.now)
        entries = list(self.collector.digests(self.leader_clock.at(self.now), made))
        self.judge.digests(entries)
        for entry in entries:
            if not self.calm and self.chance.random() < 0.01:
                break  # not agreed
            self.put(**{("kind" if k == "k" else k): v for k, v in entry.items()})
        self.list()
        self.marks()
        self.judge.second()
        self.later(SECOND, lambda: self.second(term))

    # observers

    def observe(self, post: Post, life: int) -> None:
        if life != post.life:
            return
        if post.stopped:
            post.waits.append(lambda: self.observe(post, life))
            return
        report, made = (
            json.loads(json.dumps(post.core.make_report(post.clock.at(self.now)))),
            self.now,
        )
        if not post.mute:
            self.send(lambda: self.take_report(post, life, made, report))
        self.later(
            SECOND * 9 // 10 + self.chance.randrange(SECOND // 5), lambda: self.observe(post, life)
        )

    def take_report(self, post: Post, life: int, made: int, report: dict[str, Any]) -> None:
        if not self.leads or self.collector is None or post.mute:
            return
        answer = json.loads(
            json.dumps(self.collector.report(self.leader_clock.at(self.now), report))
        )
        self.judge.reported(post, made, report, answer)
        if not post.deaf:
            self.send(
                lambda: self.run_at(
                    post,
                    life,
                    lambda: post.core.on_report_answer(post.clock.at(self.now), report, answer),
                )
            )

    def run_at(self, post: Post, life: int, act: Callable[[], None]) -> None:
        if life != post.life or not post.up:
            return
        if post.stopped:
            post.waits.append(act)
        else:
            act()

    # members

    def beat(self, unit: Unit) -> None:
        """One step of a member's own loop."""
        now = unit.clock.at(self.now)
        if unit.alive and not unit.asked and now >= unit.sender.due_at:
            target = unit.sender.target
            quiet = (
                max(0, now - unit.clock.at(unit.quiet)) if unit.up and unit.mark != "ready" else 0
            )
            message = json.loads(
                json.dumps(
                    unit.sender.make_message(
                        now, {unit.name: (unit.inc, unit.word())}, {unit.name: quiet}
                    )
                )
            )
            self.judge.said(unit, message)
            self.seq += 1
            unit.asked = asked = self.seq
            if not unit.cut:
                self.send(lambda: self.hear(unit, asked, target, message))
            self.later(TIMEOUT, lambda: self.timeout(unit, asked, target))
        self.later(SECOND // 20, lambda: self.beat(unit))

    def hear(self, unit: Unit, asked: int, name: str, message: dict[str, Any]) -> None:
        post = self.posts[name]
        life = post.life
        if post.apart or unit.cut:
            return

        def act() -> None:
            answer = json.loads(
                json.dumps(post.core.on_heartbeats(post.clock.at(self.now), message))
            )
            self.judge.heard(post, unit, message, answer)
            self.later(self.late(), lambda: self.answered(unit, asked, name, answer))

        self.run_at(post, life, act)

    def answered(self, unit: Unit, asked: int, name: str, answer: dict[str, Any]) -> None:
        if unit.asked != asked or not unit.alive or unit.cut:
            return
        unit.asked = 0
        unit.sender.on_answer(unit.clock.at(self.now), name, answer)
        if unit.sender.ended_incarnations.get(unit.name, -1) >= unit.inc:
            unit.inc = unit.sender.ended_incarnations[unit.name] + 1

    def timeout(self, unit: Unit, asked: int, name: str) -> None:
        if unit.asked == asked and unit.alive:
            unit.asked = 0
            unit.sender.on_failure(unit.clock.at(self.now), name)

    # faults

    def run(self) -> None:
        """Raises `Broken` for what does not hold."""
        for unit in self.units.values():
            self.later(self.chance.randrange(SECOND), lambda u=unit: self.beat(u))  # type: ignore[misc]
        for post in self.posts.values():
            self.later(self.chance.randrange(SECOND), lambda p=post: self.observe(p, 0))  # type: ignore[misc]
        self.later(SECOND, self.step)
        while self.way and self.now <= (self.faulted + CALM) * SECOND:
            self.now, _, act = heapq.heappop(self.way)
            act()
        self.judge.finish()

    def step(self) -> None:
        """Each second: faults, and work."""
        if self.now < self.faulted * SECOND:
            if self.now > 15 * SECOND:
                self.faults()
        elif not self.calm:
            self.heal()
        if self.now == (self.faulted + CALM // 2) * SECOND and "director/ghost" in self.units:
            self.judge.ghost(self.units["director/ghost"])
            self.put(
                "forget", unit="director/ghost", by="ann"
            )  # its proxies stand against every `out`
        self.live()
        self.work()
        self.later(SECOND, self.step)

    def faults(self) -> None:
        pick = self.chance
        if self.lies:
            for unit in self.units.values():
                if pick.random() < 0.2:
                    self.lie(unit)
            return
        if self.apart:
            if self.now == 30 * SECOND:
                mine = [n for n, z in self.terms.items() if z == self.zones[0]]
                self.unit("director/ghost", self.zones[0], mine)
                ghost = self.units["director/ghost"]
                ghost.ghost, ghost.proxies = True, 7
                self.beat(ghost)
            elif self.now == 60 * SECOND:
                self.units["director/ghost"].alive = False
            for post in self.posts.values():
                if post.zone == self.zones[0]:
                    post.mute = post.deaf = True
        if pick.random() < 0.06:
            post = pick.choice(list(self.posts.values()))
            what = pick.choice(["kill", "stop", "deaf", "mute", "apart", "both", "zone apart"])
            if what == "kill":
                self.kill(post, pick.randint(0, 20) * SECOND)
            elif what == "stop" and not post.stopped:
                post.stopped = True
                self.later(pick.randint(1, 12) * SECOND, lambda: self.go_on(post))
            elif what == "both":
                for other in self.posts.values():
                    if other.zone == post.zone:
                        self.kill(other, pick.randint(0, 25) * SECOND)
            elif what == "zone apart":
                for other in self.posts.values():
                    if other.zone == post.zone:
                        other.apart = True
                        self.later(
                            pick.randint(4, 25) * SECOND,
                            lambda o=other: setattr(o, "apart", False),  # type: ignore[misc]
                        )
            else:
                setattr(post, what, True)
                self.later(pick.randint(1, 20) * SECOND, lambda: setattr(post, what, False))
        if pick.random() < 0.03:
            self.leads = False
            self.later(pick.randint(1, 5) * SECOND, lambda: None if self.leads else self.lead())
        if pick.random() < 0.06:
            unit = pick.choice(list(self.units.values()))
            if unit.alive and not unit.ghost:
                unit.alive, unit.asked = False, 0
                self.later(pick.randint(1, 30) * SECOND, lambda: self.rise(unit))
        if pick.random() < 0.03:
            unit = pick.choice(list(self.units.values()))
            unit.cut = True
            self.later(pick.randint(1, 12) * SECOND, lambda: setattr(unit, "cut", False))
        if pick.random() < 0.01:
            self.put("halt", scope="all", by="ann", reason="a look")
            self.later(5 * SECOND, lambda: self.put("lift", scope="all", by="ann") and None)

    def lie(self, unit: Unit) -> None:
        """The other observer says that it heard what the leader was told already, just now, and with all that one
        could wish for."""
        other = next(
            p
            for p in self.posts.values()
            if p.zone == unit.zone and p.name != unit.sender.current_aggregator
        )
        state = (
            self.collector.aggregators.get(unit.sender.current_aggregator)
            if self.collector
            else None
        )
        told = state.members.get(unit.name) if state else None
        home, known = (
            self.posts[unit.sender.current_aggregator].core.members.get(unit.name),
            other.core.members.get(unit.name),
        )
        if (
            told is None
            or home is None
            or home.incarnation != told.inc
            or known is not None
            and ((known.incarnation, known.changed_number) >= (told.inc, told.changed))
        ):
            return
        word: dict[str, Any] = home.status | {"token": self.index}
        if unit.name.startswith("host/"):
            word |= {"up": True}
        else:
            opened = {
                u[5:]: p.token for u, p in self.ledger.permits.items() if u.startswith("host/")
            }
            word |= {"proxies": 0, "drained": opened, "leaving": True, "silent": []}
        now, age = (
            other.clock.at(self.now),
            self.posts[unit.sender.current_aggregator].clock.at(self.now) - home.heard_at,
        )
        one = Member(home.incarnation, home.number, told.changed, now - age, word, 9 * SECOND)
        other.core.members[unit.name] = one
        other.core.record_difference(now, unit.name, one)

    def kill(self, post: Post, wait: int) -> None:
        if not post.up:
            return
        post.up, post.stopped, post.waits, post.life = False, False, [], post.life + 1
        self.judge.fell(post)
        self.later(wait, lambda: self.restart(post))

    def restart(self, post: Post) -> None:
        if post.up:
            return
        # Now and then its clock was set back meanwhile: an older incarnation.
        inc = post.core.incarnation + (1 if self.calm or self.chance.random() < 0.8 else -1)
        post.up, post.core = True, self.core(post.name, post.zone, max(0, inc), post.clock)
        self.observe(post, post.life)

    def go_on(self, post: Post) -> None:
        post.stopped = False
        waits, post.waits = post.waits, []
        for act in waits:
            act()

    def rise(self, unit: Unit) -> None:
        if not unit.alive and not unit.ghost:
            unit.alive, unit.inc, unit.asked, unit.drained = True, unit.inc + 1, 0, {}
            unit.up, unit.quiet, unit.leaving, unit.silent = (
                unit.mark != "stopped",
                self.now,
                False,
                [],
            )
            unit.sender.stamp, unit.sender.acknowledged = None, {}  # its process is a new one
            unit.proxies = self.chance.randint(0, 12)

    def heal(self) -> None:
        self.calm = True
        for unit in self.units.values():
            unit.cut = False
            self.rise(unit)
        for post in self.posts.values():
            post.deaf = post.mute = post.apart = False
            if post.stopped:
                self.go_on(post)
            self.restart(post)
        if not self.leads:
            self.lead()

    # work

    def live(self) -> None:
        """What directors and hosts do by themselves."""
        pick = self.chance
        marked = {u.name[5:]: u.mark_token for u in self.units.values() if u.mark == "leaving"}
        for unit in self.units.values():
            if not unit.alive:
                continue
            if unit.name.startswith("director/"):
                if not self.calm:
                    unit.proxies = max(0, unit.proxies + pick.choice([0, 0, 0, 0, -1, 1, 3]))
                unit.drained = {h: t for h, t in unit.drained.items() if marked.get(h) == t}
                for host, token in marked.items():
                    if pick.random() < 0.5:
                        unit.drained[host] = token
                    elif not self.calm and pick.random() < 0.1:
                        unit.drained.pop(host, None)
                unit.silent = [
                    u.name[5:]
                    for u in self.units.values()
                    if u.name.startswith("host/") and not u.alive
                ]
            elif not self.calm and pick.random() < 0.03:
                unit.quiet = self.now  # something came after all

    def work(self) -> None:
        pick = self.chance
        if not self.leads:
            return
        held = self.ledger.holders.get("s")
        if held is not None and not held.is_live:
            self.holder, self.number = held.incarnation + 1, 0
        self.put("hold", holder="s", inc=self.holder)
        if self.now < (self.faulted + CALM // 8) * SECOND and pick.random() < 0.2:
            self.number += 1
            host = pick.choice([u for u in self.units if u.startswith("host/")])
            self.put(
                "ask", holder="s", inc=self.holder, n=self.number, units=[host], length=5 * SECOND
            )
        for unit, permit in list(self.ledger.permits.items()):
            step = {"granted": "drain", "draining": "out", "empty": "out", "out": "back"}.get(
                permit.state
            )
            if step == "out" and permit.state == "draining" and pick.random() < 0.9:
                step = None
            if step == "back" and self.now < self.until.setdefault(
                unit, self.now + pick.randrange(8) * SECOND
            ):
                step = None
            if step and pick.random() < 0.8:
                self.put(step, holder="s", inc=self.holder, unit=unit, token=permit.token)
            if permit.state == "lost":
                self.put("adopt", holder="s", inc=self.holder, unit=unit)
        if self.now > (self.faulted + CALM // 2) * SECOND:
            for ask in list(self.ledger.requests.values()):
                self.put("cancel", holder="s", inc=self.holder, n=int(ask.id.rpartition("/")[2]))
        if self.calm:
            for scope in list(self.ledger.halts):
                self.put("lift", scope=scope, by="ann")

    def rests(self) -> bool:
        """Whether all has long been calm, and nothing was out for a while: what ends is a change, and is told."""
        self.busy = self.now if self.ledger.permits else self.busy
        return self.now > (self.faulted + CALM - 15) * SECOND and self.now - self.busy > 5 * SECOND

    def known(self, zone: str) -> bool:
        """Whether the ledger has directors there."""
        return any(d.zone == zone for d in self.ledger.directors.values())

    def list(self) -> None:
        lines = {}
        for unit in self.units.values():
            if unit.name.startswith("host/"):
                ready = unit.mark == "ready" and unit.up and unit.alive
                lines[unit.name[5:]] = {
                    "zone": unit.zone,
                    "kind": "k",
                    "tenants": ["t"],
                    "strength": 10,
                    "classes": 1,
                    "ready": ready,
                    "token": unit.mark_token,
                }
        changed = {
            n: line
            for n, line in lines.items()
            if self.told.get(n) != line or n not in self.ledger.hosts
        }
        if changed:
            self.version += 1
            self.put("list", v=self.version, hosts=changed)
            self.told = lines

    def marks(self) -> None:
        """Registry and agents poll the keepers."""
        for name, want, token in list(self.ledger.drain_markers()):
            unit = self.units.get(name)
            if unit is not None and (self.calm or self.chance.random() < 0.7):
                self.later(self.late(), lambda u=unit, w=want, t=token: self.do(u, w, t))  # type: ignore[misc]

    def do(self, unit: Unit, want: str, token: int) -> None:
        if token < max(unit.mark_token, unit.token):
            return
        if want != "starting" and (unit.mark_token, unit.mark) != (token, "ready"):
            if unit.mark == "ready" and want != "ready":
                unit.quiet = self.now + self.chance.randrange(2 * SECOND)
            unit.mark, unit.mark_token = want, token
        if unit.alive:
            if want == "stopped":
                unit.up, unit.token = False, token
            elif want in ("starting", "ready"):
                if not unit.up:
                    unit.up, unit.inc, unit.quiet = True, unit.inc + 1, self.now
                unit.token = token


class RoundsAges(HeartbeatAggregator):
    def make_report(self, now: int) -> dict[str, Any]:
        return super().make_report(now) | {"floor": 0, "late": {}}


class CountsFromArrival(HeartbeatAggregator):
    def _proven_time(self, now: int, stamp: Stamp | None, elapsed: int) -> int:
        return -1 if super()._proven_time(now, stamp, elapsed) < 0 else now


class TakesAnyStamp(HeartbeatAggregator):
    def _proven_time(self, now: int, stamp: Stamp | None, elapsed: int) -> int:
        return now if stamp is not None else -1


class TakesOldWords(HeartbeatAggregator):
    def _on_heartbeat(
        self, now: int, heard_at: int, unit: str, heartbeat: Heartbeat
    ) -> Rejection | None:
        if (one := self.members.get(unit)) is not None and heartbeat.status is not None:
            one.number = -1 if one.incarnation <= heartbeat.incarnation else one.number
        return super()._on_heartbeat(now, heard_at, unit, heartbeat)


class ForgetsWhoIsGone(HeartbeatAggregator):
    def make_report(self, now: int) -> dict[str, Any]:
        lost = 2 * self.rules.lease
        for unit in [u for u, one in self.members.items() if now - one.heard_at >= lost]:
            del self.members[unit]
            self.differences.forget(unit)
        return super().make_report(now)


class NeverDoubtsItself(HeartbeatAggregator):
    def make_report(self, now: int) -> dict[str, Any]:
        return super().make_report(now) | {"watching": 1 << 40}


class BuriesThemTogether(DigestCollector):
    def _was_watched(self, now: int, zone: str) -> bool:
        return True

    def is_zone_unknown(self, now: int, zone: str) -> bool:
        return False


class KeepsThemAlive(DigestCollector):
    def _heard_at(self, aggregator: Any, unit: str, evidence: Any) -> int:
        return int(
            super()._heard_at(aggregator, unit, evidence)
            if aggregator.oldest_heard_at < 0
            else aggregator.reported_at
        )


class KnowsEveryZone(DigestCollector):
    def is_zone_unknown(self, now: int, zone: str) -> bool:
        return False


class TrustsHalfATable(DigestCollector):
    def _apply_report(
        self,
        now: int,
        name: str,
        aggregator: Any,
        report: dict[str, Any],
        proven_time: Any,
    ) -> None:
        super()._apply_report(now, name, aggregator, report, proven_time)
        aggregator.is_complete, aggregator.oldest_heard_at = True, proven_time(report["floor"])


class TakesAnyReign(DigestCollector):
    def _is_own_stamp(self, now: int, stamp: list[int] | None) -> bool:
        if stamp is not None:
            stamp[1] = now
        return stamp is not None


class TellsAll(DigestCollector):
    def _add_differences(self, now: int, builder: Any) -> set[str]:
        for unit in self.aggregators_by_unit:
            if (
                (one := self.evidence(unit)) is not None
                and unit.startswith("host/")
                and unit[5:] in self.ledger.hosts
            ):
                builder.add(
                    {
                        "hosts": {
                            unit[5:]: [
                                one.inc,
                                one.n,
                                one.word["up"],
                                0,
                                one.word["token"],
                                max(0, now - one.heard_at),
                            ]
                        }
                    }
                )
        return super()._add_differences(now, builder)


class HearsTheFormer(DigestCollector):
    def evidence(self, unit: str) -> Any:
        names = sorted(
            self.aggregators_by_unit.get(unit, ()),
            key=lambda name: self.aggregators[name].members[unit].changed,
        )
        kept, self.aggregators_by_unit[unit] = (
            self.aggregators_by_unit.get(unit, set()),
            set(names[:1]),
        )
        try:
            return super().evidence(unit)
        finally:
            self.aggregators_by_unit[unit] = kept


class KnowsAtOnce(DigestCollector):
    def __init__(self, term: int, now: int, observers: Any, ledger: Ledger) -> None:
        super().__init__(term, now, observers, ledger)
        self.started_at = now - ledger.rules.lease * 3

    def _was_watched(self, now: int, zone: str) -> bool:
        return any(state.zone == zone for state in self.aggregators.values())


class BeginsInTheUnknown(LedgerState):
    def unknown_zone_of(self, target: str) -> str:
        return ""


class BelievesAnOldVouch(DrainVerifier):
    def attestation_gap(self, zone: str) -> str:
        return ""


class AsksNoZone(DrainVerifier):
    def obstacle(self, target: str, permit: Permit) -> str:
        why = super().obstacle(target, permit)
        return "" if "have not all confirmed" in why else why


class HearsHostsAtOnce(Reports):
    def apply_host_report(self, name: str, report: HostReport, heard_at: int) -> str:
        idle = replace(report, idle_time=self.state.rules.min_idle_time)
        return super().apply_host_report(name, idle, self.state.now)


class TakesTheNewerWord(DigestCollector):
    @staticmethod
    def _merge_contradicting(unit: str, evidence: Any, other: Any) -> Any:
        return evidence


class SaysBetterThings(HeartbeatAggregator):
    def make_report(self, now: int) -> dict[str, Any]:
        said = super().make_report(now)
        for unit, line in said["members"].items():
            better: dict[str, Any] = (
                {"up": True} if unit.startswith("host/") else {"proxies": 0, "silent": []}
            )
            line[3] = line[3] | better
        return said


class TellsNothingOfHosts(DigestCollector):
    def _host_row(self, now: int, unit: str, evidence: Any, draining: set[str]) -> list[Any] | None:
        return (
            super()._host_row(now, unit, evidence, draining) if unit in self.wanted_units else None
        )


class RepeatsItself(DigestCollector):
    def _host_row(self, now: int, unit: str, evidence: Any, draining: set[str]) -> list[Any] | None:
        return [
            evidence.inc,
            evidence.changed,
            evidence.word["up"],
            0,
            evidence.word["token"],
            max(0, now - evidence.heard_at),
        ]


class TakesLateWords(Digests):
    def apply(self, digest: Digest) -> dict[str, str]:
        for name in digest.hosts:
            if host := self.state.hosts.get(name):
                host.agent_incarnation, host.agent_sequence = 0, 0
        return super().apply(digest)


class TakesReadyForBack(Permits):
    def end_if_back(self, target: str) -> None:
        permit = self.state.permits.get(target)
        on_its_way = (PermitState.RETURNING, PermitState.LOST)
        if permit and permit.state in on_its_way and target.startswith("host/"):
            self.end(target, permit, "back", "")
        else:
            super().end_if_back(target)


class NeverSeesBack(Permits):
    def end_if_back(self, target: str) -> None:
        pass


class Hasty(HeartbeatSender):
    def _consider_switch(self, now: int) -> None:
        super()._consider_switch(now)
        self.due_at = now if self.is_trying_candidate else self.due_at


# Wrong ones, what must be said of each, and the first seed by which it is.
MUTANTS: dict[str, tuple[dict[str, Any], set[str], int]] = {
    "an observer that gives no ages": ({"observer": RoundsAges}, {"age"}, 0),
    "an observer that counts from arrival": ({"observer": CountsFromArrival}, {"age"}, 0),
    "an observer that takes stamps of another incarnation": (
        {"observer": TakesAnyStamp},
        {"age"},
        0,
    ),
    "an observer that takes late words": ({"observer": TakesOldWords}, {"late", "word", "age"}, 18),
    "an observer that forgets who is gone": ({"observer": ForgetsWhoIsGone}, {"lost"}, 3),
    "an observer that never doubts itself": ({"observer": NeverDoubtsItself}, {"death"}, 4),
    "an observer that says better things": ({"observer": SaysBetterThings}, {"word"}, 0),
    "a collector that buries a zone with its observers": (
        {"collector": BuriesThemTogether},
        {"death"},
        0,
    ),
    "a collector that takes a silent observer's members for alive": (
        {"collector": KeepsThemAlive},
        {"age"},
        0,
    ),
    "a collector that knows every zone": ({"collector": KnowsEveryZone}, {"unknown"}, 1),
    "a collector that trusts half a table": ({"collector": TrustsHalfATable}, {"age"}, 1),
    "a collector that takes stamps of another reign": ({"collector": TakesAnyReign}, {"age"}, 0),
    "a collector that tells all each second": ({"collector": TellsAll}, {"entries"}, 0),
    "a collector that hears the former observer": (
        {"collector": HearsTheFormer},
        {"age", "word", "death"},
        0,
    ),
    "a collector that takes the newer word of two": (
        {"collector": TakesTheNewerWord},
        {"worse"},
        5,
    ),
    "a collector that tells nothing of hosts": ({"collector": TellsNothingOfHosts}, {"level"}, 0),
    "a new leader that takes not yet heard for gone": ({"collector": KnowsAtOnce}, {"death"}, 0),
    "a ledger that begins in an unknown zone": (
        {"ledger": wrong_ledger(state=BeginsInTheUnknown)},
        {"unknown"},
        0,
    ),
    "a ledger that believes an old vouch": (
        {"ledger": wrong_ledger(drains=BelievesAnOldVouch)},
        {"empty"},
        0,
    ),
    "a ledger that asks no zone": ({"ledger": wrong_ledger(drains=AsksNoZone)}, {"empty"}, 0),
    "a ledger that takes a host for quiet": (
        {"ledger": wrong_ledger(reports=HearsHostsAtOnce)},
        {"empty"},
        4,
    ),
    "a ledger that takes late words": (
        {"ledger": wrong_ledger(digests=TakesLateWords), "collector": RepeatsItself},
        {"late"},
        0,
    ),
    "a ledger that takes ready for back": (
        {"ledger": wrong_ledger(permits=TakesReadyForBack)},
        {"back"},
        0,
    ),
    "a ledger that sees nobody back": (
        {"ledger": wrong_ledger(permits=NeverSeesBack)},
        {"ends"},
        2,
    ),
}


def play(seed: int, **made: Any) -> tuple[Sim, str]:
    """A history and what was broken in it, if anything. Each fourth has a zone apart, each eighth observers that
    contradict each other and nothing else: what is broken there is that the worse word did not count."""
    sim = Sim(seed, apart=seed % 4 == 3, lies=seed % 8 == 5, **made)
    try:
        sim.run()
    except Broken as broken:
        return sim, f"worse: {broken}" if sim.lies else str(broken)
    return sim, ""


def herd(sender: type[HeartbeatSender] = HeartbeatSender, members: int = 600) -> str:
    """The members of an observer that died, and what was broken in how they came to the other, if anything."""
    lease = 10 * SECOND
    came: list[int] = []
    homes = []
    for n in range(members):
        one = sender("z", ["a", "b"], 0, lease, random.Random(n))
        one.current_aggregator, one.aggregators = "a", ["a", "b"]
        homes.append(one)
    for now in range(0, lease, SECOND // 20):
        for one in homes:
            if now >= one.due_at and one.target == "a":
                one.make_message(now, {"host/h": (1, dict[str, Any]())})
                one.on_failure(now, "a")
            elif now >= one.due_at and one.current_aggregator == "a":
                came.append(now)
                one.current_aggregator = "b"
    if len(came) < members or max(came) > lease * 6 // 10:
        return (
            f"pace: {members - len(came)} of {members} are nowhere, the last came after {max(came)}"
        )
    most = max(
        sum(at <= c < at + SECOND // 10 for c in came) for at in range(0, lease, SECOND // 10)
    )
    return (
        f"pace: {most} of {members} came within a tenth of a second" if most > members // 12 else ""
    )


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    first = int(sys.argv[2]) if len(sys.argv) > 2 else 0
    made = {"faulted": int(sys.argv[3])} if len(sys.argv) > 3 else {}
    entries, bad = 0, 0
    counts: dict[str, int] = {}
    for seed in range(first, first + seeds):
        sim, broken = play(seed, **made)
        entries += sim.index
        for what, n in sim.judge.counts.items():
            counts[what] = counts.get(what, 0) + n
        if broken:
            bad += 1
            print(f"seed {seed}: {broken}", flush=True)
    print(f"{seeds} histories, {entries} entries, {bad} broken; {counts}")


if __name__ == "__main__":
    main()
