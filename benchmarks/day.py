"""A day of a whole fleet in one ledger under a virtual clock, the judges of permits and of the fleet watching.

    python -m benchmarks.day [--hosts N] [--directors N] [--hours H] [--calm SECONDS] [--seed N] [--after FILE...]
                             [--json FILE]

Everything round the ledger is a stand-in in this process: one that tells the list, one that speaks for directors and
for hosts' agents, holders with restarts to do. For each step it prints entries, their bytes, the units that an entry
visits (counted), the processor's time, the longest entry and the bytes of a snapshot; whatever takes longer than an
election is a FINDING. `--after`: the JSON of smaller runs, from which figures are predicted before this one is played.
"""

import argparse
import gc
import json
import os
import posix
import random
import resource
import subprocess
import sys
import tempfile
import time
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from pathlib import Path

from ironfall.coordinator.disk import MemberStore
from ironfall.coordinator.limits import COORDINATOR_LIMITS, limits_for
from ironfall.coordinator.stored_records import SnapshotWrite
from ironfall.disruption import DisruptionRules, Ledger
from ironfall.disruption.settings import SECOND
from ironfall.lab.fleet_judge import Fleet, FleetJudge
from ironfall.lab.permits_counted import CountedJudge
from ironfall.storage.disk import Folder

HOUR = 3_600 * SECOND
HOSTS, DIRECTORS, ZONES, REGIONS, TENANTS = 93_000, 12_000, 157, 59, 2_700
RESTARTS, FAILURES, RACK = 8_100, 150, 40
KINDS, HOLDERS, WAVES = 4, 16, 144
PROXIES, BINDING = 8, 40
FACTS = (
    "count",
    "cpu_s",
    "longest_s",
    "visits",
    "items",
)  # of a kind of entry; items: the most named in one
ELECTION = COORDINATOR_LIMITS.election_timeout / SECOND
ENTRY = COORDINATOR_LIMITS.max_entry_bytes - 4_096  # bytes of an entry, with room for its head
EVERY = 10  # seconds between beats where nothing is under way
STEPS = (
    "load",
    "calm minute",
    "calm hour",
    "restarts",
    "rack",
    "zone",
    "zone back",
    "region's hour",
    "region back",
    "calls",
    "snapshot",
    "restore",
)
LEFT_OUT = (
    "words at rest and the renewals of leases are played for the calm minute alone, in entries of many; for the rest "
    "of the day a member speaks when something changed, no lapse is said of a director that lives, and the leader's "
    f"beat comes once in {EVERY} s where nothing is under way. Collections of garbage are off. No disk, no network."
)


class Visits(dict):
    """A table that counts the records looked at, by name or in passing."""

    count = 0

    def __getitem__(self, name):
        Visits.count += 1
        return super().__getitem__(name)

    def get(self, name, usual=None):
        Visits.count += 1
        return super().get(name, usual)

    def __iter__(self):
        for name in super().__iter__():
            Visits.count += 1
            yield name

    def values(self):
        for one in super().values():
            Visits.count += 1
            yield one

    def items(self):
        for pair in super().items():
            Visits.count += 1
            yield pair


@dataclass
class Step:
    """What was measured of a part of the day. `seconds` is the processor's time in the ledger alone."""

    entries: int = 0
    bytes: int = 0
    largest: int = 0
    seconds: float = 0.0
    longest: float = 0.0
    longest_kind: str = ""
    refused: Counter = field(default_factory=Counter)
    kinds: dict = field(
        default_factory=lambda: defaultdict(lambda: [0, 0.0, 0.0, 0, 0])
    )  # as FACTS names them
    open: int = 0  # permits, at most


@dataclass
class SimHost:
    zone: str
    tenant: str
    kind: str
    inc: int = 1
    n: int = 0
    started: int = 0
    token: int = 0
    ready: bool = True


@dataclass
class SimDirector:
    zone: str
    inc: int = 1
    n: int = 0
    proxies: int = PROXIES
    up: bool = True
    heard: bool = True
    silent: list = field(default_factory=list)
    took: dict = field(default_factory=dict)
    leaving: bool = False
    token: int = 0


def plain(what):
    return json.dumps(what, separators=(",", ":"))


def spread(total, parts):
    """Zipf's, exponent 1: sizes of so many parts of the whole, each at least four."""
    weights = [1 / n for n in range(1, parts + 1)]
    rest = total - 4 * parts
    sizes = [4 + int(rest * w / sum(weights)) for w in weights]
    sizes[0] += total - sum(sizes)
    return sizes


class Day:
    def __init__(
        self,
        hosts=HOSTS,
        directors=DIRECTORS,
        hours=24,
        calm=60,
        seed=1,
        say=print,
        make=Ledger,
        judge=CountedJudge,
    ):
        self.chance, self.hours, self.calm, self.say = random.Random(seed), hours, calm, say
        self.size = hosts / HOSTS
        zones, regions = max(16, round(ZONES * self.size)), max(6, round(REGIONS * self.size))
        self.zones = [f"z{z}" for z in range(zones)]
        self.region = {f"z{z}": f"r{z % regions}" for z in range(zones)}
        services = spread(hosts, max(16, round(TENANTS * self.size)))
        tenants = [f"s{n}" for n, size in enumerate(services) for _ in range(size)]
        self.chance.shuffle(tenants)
        self.hosts = {
            f"h{n:05}": SimHost(f"z{n % zones}", tenants[n], f"k{n // zones % KINDS}")
            for n in range(hosts)
        }
        self.directors = {f"d{n:05}": SimDirector(f"z{n % zones}") for n in range(directors)}
        self.ledger, self.judge, self.index = make(), judge(), 0
        self.now, self.version, self.beats = 10 * 24 * HOUR, 0, 0
        self.begins, self.held = self.now, 0
        self.steps, self.step = {}, Step()
        self.numbers = Counter()
        self.restarts = round(RESTARTS * self.size * hours / 24)
        self.failures = max(1, round(FAILURES * self.size * hours / 24))
        self.due = deque(self.chance.sample(list(self.hosts), self.restarts))
        self.due_directors = deque(
            self.chance.sample(list(self.directors), round(self.restarts * directors / hosts))
        )
        self.done = Counter()
        self.failed = deque()  # hosts down by themselves, and until when
        self.away = set()  # zones that keepers do not hear, or that are lost
        self.findings = []
        budgets = (
            ("fleet", 1 << 30, 100_000),
            ("zone", 1 << 30, 200_000),
            ("kind", 1 << 30, 200_000),
            ("tenant", 1 << 30, 250_000),
            ("directors", 1 << 30, 50_000),
            ("directors-zone", 1 << 30, 200_000),
        )
        self.rules = DisruptionRules(
            budgets=budgets,
            hosts=max(1_024, hosts),
            directors=max(1_024, directors),
            drain_grace=30 * SECOND,
            unassigned_limit=30 * SECOND,
            max_unplanned_share=150_000,
        )
        self.tape = FleetJudge(
            Fleet(
                {n: (h.zone, h.kind, (h.tenant,)) for n, h in self.hosts.items()},
                {n: d.zone for n, d in self.directors.items()},
                budgets,
                self.rules.lease,
                self.rules.drift,
                self.rules.lease + 3 * SECOND,
                self.rules.lease + 3 * SECOND,
                4 * HOUR,
            )
        )

    # the log

    def put(self, kind, **fields):
        entry = {"k": kind, "at": self.now} | fields
        return self.apply(kind, entry, plain(entry).encode())

    def apply(self, kind, entry, packed, items=1):
        self.index += 1
        assert len(packed) <= COORDINATOR_LIMITS.max_entry_bytes, (
            f"an entry of {len(packed)} bytes: {kind}"
        )
        row = self.step.kinds[kind]
        row[0] += 1
        if row[0] <= 2 or row[0] % 500 == 0:
            row[3] = max(row[3], self.visits(packed))
        began = time.process_time()
        answer = self.ledger.apply(self.index, packed)
        took = time.process_time() - began
        row[1] += took
        row[2] = max(row[2], took)
        self.step.seconds += took
        if took > self.step.longest:
            self.step.longest, self.step.longest_kind = took, kind
        row[4] = max(row[4], items)
        self.step.entries += 1
        self.step.bytes += len(packed)
        self.step.largest = max(self.step.largest, len(packed))
        self.step.open = max(self.step.open, len(self.ledger.permits))
        told = json.loads(answer)
        if "no" in told:
            self.step.refused[f"{kind}: {self._class(told['no'])}"] += 1
        self.judge.see(self.index, entry, told)
        return told

    @staticmethod
    def _class(text):
        return " ".join("N" if any(c.isdigit() for c in word) else word for word in text.split())[
            :90
        ]

    def visits(self, packed):
        """Records that an entry looks at, counted in a copy of this process: its time counts for nothing."""
        # Not by `os`, which is gevent's where it has patched the process: the child would wait for its loop.
        reads, writes = posix.pipe()
        if not (child := posix.fork()):
            ledger, state, told = self.ledger, self.ledger.state, b"0"
            try:
                for name in ("hosts", "directors", "permits", "holders"):
                    setattr(state, name, Visits(getattr(state, name)))
                state.scopes.counts = Visits(state.scopes.counts)
                Visits.count = 0
                ledger.apply(self.index, packed)
                told = str(Visits.count).encode()
            finally:
                posix.write(writes, told)
                posix._exit(0)
        posix.close(writes)
        count = int(posix.read(reads, 64))  # one write, and short: whole
        posix.close(reads)
        try:
            posix.waitpid(child, 0)
        except ChildProcessError:
            pass  # a loop of gevent's has waited for it already
        return count

    def many(self, kind, table, rows, **fields):
        """As few entries as hold them all, each within the keepers' bound."""
        part, texts, size = {}, [], 0

        def put():
            head = {"k": kind, "at": self.now} | {k: v() for k, v in fields.items()}
            packed = f'{plain(head)[:-1]},"{table}":{{{",".join(texts)}}}}}'
            return self.apply(kind, head | {table: part}, packed.encode(), len(part))

        for name, row in rows:
            text = f'"{name}":{plain(row)}'
            if part and size + len(text) > ENTRY:
                yield put()
                part, texts, size = {}, [], 0
            part[name] = row
            texts.append(text)
            size += len(text) + 1
        if part:
            yield put()

    def tell(self, kind, table, rows, **fields):
        for told in self.many(kind, table, rows, **fields):
            assert told.get("ok") is True, f"{kind} was not heard: {str(told)[:200]}"

    def tick(self, seconds, every=1):
        for _ in range(0, int(seconds), every):
            self.now += every * SECOND
            self.beats += 1
            self.put("tick")

    # what is told

    def _version(self):
        self.version += 1
        return self.version

    def list(self, names):
        self.tell("list", "hosts", ((n, self.line(n)) for n in names), v=self._version)

    def line(self, name):
        host = self.hosts[name]
        return {
            "zone": host.zone,
            "kind": host.kind,
            "tenants": [host.tenant],
            "strength": 100,
            "classes": 15 if host.kind != "k3" else 7,
            "ready": host.ready,
            "token": host.token,
            "started": host.started,
        }

    def agents(self, names, **more):
        self.tell("agents", "hosts", ((n, self.agent(n, **more)) for n in names))

    def agent(self, name, **more):
        host = self.hosts[name]
        host.n += 1
        return {"inc": host.inc, "n": host.n, "up": True, "quiet": 0, "token": host.token} | more

    def words(self, names, drained=None):
        self.tell("words", "directors", ((n, self.word(n, drained)) for n in names))

    def word(self, name, drained=None):
        director = self.directors[name]
        director.n += 1
        word = {
            "inc": director.inc,
            "n": director.n,
            "proxies": director.proxies,
            "binding": BINDING,
            "waiting": 20,
            "refused": 1_000,
            "fulfilled": 990_000,
            "near": 300_000,
        }
        more = {
            "drained": drained,
            "silent": list(director.silent),
            "leaving": director.leaving,
            "took": {d: list(pair) for d, pair in director.took.items()},
            "token": director.token,
        }
        return word | {k: v for k, v in more.items() if v}

    def join(self, name):
        director = self.directors[name]
        told = self.put("join", director=name, inc=director.inc, zone=director.zone)
        assert "ok" in told, told

    def hold(self):
        """Holders ask for their leases anew before they do anything, where half of it is gone."""
        if self.now - self.held >= self.rules.lease // 2:
            self.held = self.now
            for n in range(HOLDERS):
                assert "ok" in self.put("hold", holder=f"holder{n}", inc=1)

    def heard(self):
        return [n for n, d in self.directors.items() if d.up and d.heard]

    def seen(self, event, who, **about):
        self.tape.read([{"e": event, "t": self.now, "who": who, **about}])

    def shown(self, name, state, leaving=False):
        host = self.hosts[name]
        self.seen(
            "shown", "registry", unit=f"host/{name}", state=state, token=host.token, leaving=leaving
        )

    # restarts

    def ask(self, units):
        self.hold()
        for unit in units:
            holder = f"holder{sum(self.numbers.values()) % HOLDERS}"
            self.numbers[holder] += 1
            self.put(
                "ask",
                holder=holder,
                inc=1,
                n=self.numbers[holder],
                units=[unit],
                length=600 * SECOND,
            )

    def act(self, kind, unit):
        self.hold()
        permit = self.ledger.permits[unit]
        return self.put(kind, holder=permit.holder, inc=1, unit=unit, token=permit.token)

    def among(self, *states, kind="host/"):
        return [
            u for u, p in self.ledger.permits.items() if p.state in states and u.startswith(kind)
        ]

    def drain(self):
        """What was granted is marked, and directors confirm."""
        for unit in self.among("granted"):
            self.act("drain", unit)
        fresh = []
        for unit in self.among("draining", "empty"):
            host = self.hosts[unit[5:]]
            if host.ready:
                host.ready, host.token = False, self.ledger.permits[unit].token
                fresh.append(unit[5:])
                self.shown(unit[5:], "draining", True)
        if fresh:
            self.list(fresh)
        if drained := {
            u[5:]: self.ledger.permits[u].token for u in self.among("draining", "empty")
        }:
            self.words(self.heard(), drained)
            self.tick(6)
            self.agents(
                [n for n in drained if self.hosts[n].zone not in self.away], quiet=6 * SECOND
            )

    def stop(self):
        stopped = []
        for unit in self.among("empty"):
            if "ok" not in self.act("out", unit):
                continue
            host = self.hosts[unit[5:]]
            host.token = self.ledger.permits[unit].token
            self.seen("stopped", unit[5:], unit=unit, inc=host.inc, token=host.token)
            self.seen("down", unit[5:], inc=host.inc, hand=0)
            stopped.append(unit[5:])
        if stopped:
            self.agents(stopped, up=False)

    def start(self, out=True):
        """What is out comes back (or not yet), and so does what the ledger undoes."""
        for unit in self.among("out") if out else ():
            self.act("back", unit)
        states = ("undoing", "returning", "lost") if out else ("undoing",)
        back = [u[5:] for u in self.among(*states) if self.hosts[u[5:]].zone not in self.away]
        for name in back:
            host, permit = self.hosts[name], self.ledger.permits[f"host/{name}"]
            host.token, host.ready = permit.token, True
            if permit.state != "undoing":
                self.done["hosts"] += 1
                host.inc, host.n, host.started = host.inc + 1, 0, self.now
                self.seen("started", name, unit=f"host/{name}", token=host.token)
                self.seen("up", name)
            else:
                self.due.append(name)  # it was not restarted: again, later
            self.shown(name, "ready")
        if back:
            self.agents(back)
            self.list(back)

    def restart_directors(self, count):
        """Each hands its proxies to a neighbour, goes, and comes anew under the next incarnation."""
        names = []
        while self.due_directors and len(names) < count:
            names.append(self.due_directors.popleft())
        self.due_directors.extend(n for n in names if not self._can(n))
        names = [n for n in names if self._can(n)]
        self.ask([f"director/{n}" for n in names])
        others = [n for n in self.heard() if n not in names]
        for unit in self.among("granted", kind="director/"):
            self.act("drain", unit)
            name, other = unit[9:], others[self.chance.randrange(len(others))]
            one = self.directors[name]
            one.leaving, one.token, one.proxies = True, self.ledger.permits[unit].token, 0
            self.directors[other].proxies += PROXIES
            self.words([name, other])
            if "ok" in self.act("out", unit):
                one.inc, one.n, one.leaving, one.token = one.inc + 1, 0, False, 0
                self.tick(1)
                self.act("back", unit)
                self.join(name)
                self.done["directors"] += unit not in self.ledger.permits
            else:
                one.leaving, one.token = False, self.ledger.permits[unit].token
                self.act("back", unit)
                one.token = self.ledger.permits[unit].token
                self.due_directors.append(name)
            one.proxies = PROXIES
            self.directors[other].proxies -= PROXIES
            self.words([name, other])

    def _can(self, name):
        return self.directors[name].up and self.directors[name].heard

    def begin(self, count):
        """So many restarts more are asked for and drained."""
        names = []
        for _ in range(min(count, len(self.due))):
            name = self.due.popleft()
            fits = self.hosts[name].ready and self.hosts[name].zone not in self.away
            (
                names
                if fits and f"host/{name}" not in self.ledger.state.requested_targets
                else self.due
            ).append(name)
        self.ask([f"host/{n}" for n in names])
        self.tick(1)
        self.drain()

    def wave(self, count):
        """A round of restarts; what is not let out in it waits for the next."""
        self.begin(count)
        self.stop()
        self.tick(30)
        self.start()

    # what fails

    def fall(self, names):
        for name in names:
            host = self.hosts[name]
            host.ready = False
            self.seen("down", name, inc=host.inc)
            self.shown(name, "away")
        self.list(names)

    def rise(self, names):
        for name in names:
            host = self.hosts[name]
            host.ready, host.inc, host.n, host.started = True, host.inc + 1, 0, self.now
            self.seen("up", name)
            self.shown(name, "ready")
        self.agents(names)
        self.list(names)

    def standing(self):
        return [
            n
            for n, h in self.hosts.items()
            if h.ready and h.zone not in self.away and f"host/{n}" not in self.ledger.permits
        ]

    def fail(self):
        """One host that two directors miss, and the list after them; it is back within the hour."""
        name = self.chance.choice(self.standing())
        voices = self.chance.sample(self.heard(), 2)
        for one in voices:
            self.directors[one].silent.append(name)
        self.words(voices)
        self.fall([name])
        self.failed.append((self.now + 1_800 * SECOND, name, voices))
        self.done["failures"] += 1

    def mend(self):
        while self.failed and self.failed[0][0] <= self.now:
            _, name, voices = self.failed.popleft()
            for one in voices:
                if name in self.directors[one].silent:
                    self.directors[one].silent.remove(name)
            self.words([v for v in voices if self._can(v)])
            if self.hosts[name].zone not in self.away:
                self.rise([name])

    def lapse(self, names):
        """Their leases end, and others take their proxies up."""
        self.tick(11)
        for name in names:
            told = self.put("lapse", role="director", name=name, inc=self.directors[name].inc)
            assert told.get("ok") is True, told

    def taken(self, names, way):
        """The proxies of these directors are at others, one at each (or no more)."""
        others = [n for n in self.heard() if n not in names]
        for n, name in enumerate(name for name in names for _ in range(PROXIES)):
            other = self.directors[others[n % len(others)]]
            other.proxies += way
            pair = other.took.setdefault(name, [self.directors[name].inc, 0])
            pair[1] += way
            if not pair[1]:
                del other.took[name]
        self.words(others[: min(len(others), len(names) * PROXIES)])

    def inside(self, zones):
        return (
            [n for n, h in self.hosts.items() if h.zone in zones],
            [n for n, d in self.directors.items() if d.zone in zones],
        )

    # the day

    def at(self, name):
        self.step = self.steps.setdefault(name, Step())

    def until(self, hour):
        """Waves of restarts and single failures, and beats between, to this hour of the day."""
        every = 24 * HOUR // WAVES
        ends = self.begins + round(hour * HOUR * self.hours / 24)
        while self.now < ends:
            self.at("restarts")
            begun, left = self.now, max(1, self._waves_left())
            self.mend()
            part = (self.now - self.begins) / (HOUR * self.hours)
            while self.done["failures"] < self.failures * part - 0.5:
                self.fail()
            self.wave(len(self.due) // left)
            self.restart_directors(len(self.due_directors) // left)
            self.tick(max(0, (min(ends, begun + every) - self.now) // SECOND), EVERY)

    def _waves_left(self):
        return (self.begins + self.hours * HOUR - self.now) * WAVES // (24 * HOUR)

    def run(self):
        gc.disable()
        try:
            self._run()
        finally:
            gc.enable()
        return self

    def _run(self):
        self.load()
        self.calm_minute()
        self.at("calm hour")
        self.tick(3_600, EVERY)
        self.ends("calm hour")
        self.until(9)
        self.rack()
        self.until(12)
        self.zone()
        self.until(16)
        self.region_apart()
        self.until(23)
        self.at("restarts")
        for _ in range(12):  # what is left of the day's work
            self.mend()
            if (
                not self.due
                and not self.ledger.requests
                and not self.ledger.permits
                and not self.due_directors
            ):
                break
            self.wave(max(1, len(self.due) // 2))
            self.restart_directors(len(self.due_directors))
            self.tick(300, EVERY)
        self.ends("restarts")
        self.calls()
        self.keep()
        self.judge.finish()
        for rule, found in self.tape.verdict(self.now).items():
            assert not found.breaks, f"{rule}: {found}"

    def ends(self, name):
        """The end of a step: sums are held against walks, and what was measured is said."""
        self.judge.check()
        step = self.steps[name]
        self.say(
            f"{name}: {step.entries} entries, {step.bytes / 1e6:.2f} MB, {step.seconds:.2f} s of processor, "
            f"longest {step.longest * 1e3:.1f} ms ({step.longest_kind}), open at most {step.open}"
        )
        for kind, (count, seconds, longest, visits, items) in sorted(step.kinds.items()):
            each = seconds / max(1, count) * 1e3
            self.say(
                f"    {kind:11}{count:7}, {each:9.3f} ms each, at most {longest * 1e3:8.1f}; visits {visits} "
                f"for at most {items} named"
            )
        for cause, times in step.refused.most_common(4):
            self.say(f"    refused {times} times, {cause}")
        if step.longest > ELECTION:
            self.finding(f"{name}: an entry of {step.longest_kind} takes {step.longest:.2f} s")

    def finding(self, text):
        self.findings.append(text)
        self.say(f"FINDING: {text}, and an election is {ELECTION} s")

    def load(self):
        self.at("load")
        self.put("rules", rules=self.rules.facts())
        for kind in range(4):
            hours = [
                round(len(self.hosts) * 100 * (0.10 + 0.03 * (8 <= hour < 20)))
                for hour in range(24)
            ]
            self.put("load", **{"class": kind}, hours=hours)
        self.list(self.hosts)
        for name in self.directors:
            self.join(name)
        self.words(self.directors)
        self.agents(self.hosts)
        self.ends("load")

    def calm_minute(self):
        """At the full rate: a word of each member each second, a lease asked for anew at each third of it."""
        self.at("calm minute")
        for second in range(self.calm):
            self.tick(1)
            for n, name in enumerate(self.directors):
                if (n + second) % 3 == 0:
                    self.join(name)
            self.words(self.directors)
            self.agents(self.hosts)
        self.ends("calm minute")

    def rack(self):
        """In the middle of a round, so that there is something to take back."""
        self.at("rack")
        self.begin(8)
        zone = self.chance.choice(self.zones)
        names = [n for n in self.standing() if self.hosts[n].zone == zone]
        lost = names[: min(RACK, len(names) // 4)]
        self.fall(lost)
        self.tick(1)
        self.start(False)
        self.stop()
        self.tick(599)
        self.start()
        self.rise(lost)
        self.tick(120)
        self.ends("rack")

    def zone(self):
        self.at("zone")
        self.begin(56)
        zone = self.chance.choice(self.zones)
        hosts, directors = self.inside({zone})
        self.away.add(zone)
        lost = [n for n in hosts if self.hosts[n].ready]
        self.fall(lost)
        marked = [n for n in hosts if n not in set(lost)]
        for name in marked:
            self.seen("down", name, inc=self.hosts[name].inc)
        for name in directors:
            self.directors[name].up = False
            self.seen("down", name, inc=self.directors[name].inc)
        self.tick(1)
        self.start(False)
        self.lapse(directors)
        self.taken(directors, 1)
        self.stop()
        self.tick(20)
        self.start()
        self.tick(1_800, EVERY)
        self.ends("zone")
        self.at("zone back")
        self.away.discard(zone)
        self.taken(directors, -1)
        for name in directors:
            one = self.directors[name]
            one.up, one.inc, one.n, one.proxies, one.silent = True, one.inc + 1, 0, PROXIES, []
            self.seen("up", name)
            self.join(name)
        self.words(directors)
        for name in marked:
            self.hosts[name].inc, self.hosts[name].n, self.hosts[name].started = (
                self.hosts[name].inc + 1,
                0,
                self.now,
            )
            self.seen("up", name)
        self.rise(lost)
        self.tick(120)
        self.start()
        self.tick(300, EVERY)
        self.ends("zone back")

    def region_apart(self):
        """It lives on; keepers hear none of its directors and agents, and its proxies are seen nowhere else."""
        self.at("region's hour")
        region = self.chance.choice(
            sorted({r for r in self.region.values()} - {self.region[z] for z in self.away})
        )
        zones = {z for z, r in self.region.items() if r == region}
        hosts, directors = self.inside(zones)
        self.away |= zones
        for name in directors:
            self.directors[name].heard = False
        self.lapse(directors)
        outs = self.step.kinds["out"][0]
        self.begin(56)
        draining = len(self.among("draining"))
        self.stop()
        drained = draining + len(self.among("out"))
        self.say(
            f"region apart: {len(hosts)} hosts, {len(directors)} directors; of {drained} hosts drained elsewhere "
            f"{self.step.kinds['out'][0] - outs} were let out"
        )
        fell = [n for n in hosts if self.hosts[n].ready][:3]
        for _ in range(12):
            self.tick(300, EVERY)
            self.start(False)
        self.ends("region's hour")
        self.at("region back")
        self.away -= zones
        for name in directors:
            one = self.directors[name]
            one.heard, one.inc, one.n = True, one.inc + 1, 0
            self.join(name)
        self.words(directors)
        for name in fell:  # what happened there meanwhile
            host = self.hosts[name]
            host.inc, host.n, host.started = host.inc + 1, 0, self.now - 600 * SECOND
        self.agents(hosts)
        self.list(fell)
        self.tick(120)
        self.start()
        self.ends("region back")

    def calls(self):
        """What a keeper asks of its ledger beside entries, in the middle of a round."""
        self.at("calls")
        names = self.standing()[:56]
        self.ask([f"host/{n}" for n in names])
        self.tick(1)
        self.drain()
        self.call("due", lambda: sum(1 for _ in self.ledger.expired_leases()))
        self.call("marks", lambda: len(list(self.ledger.drain_markers())))
        self.call("look", lambda: len(json.dumps(self.ledger.inspect())))
        self.ends("calls")

    def call(self, name, what):
        began = time.process_time()
        got = what()
        took = time.process_time() - began
        self.step.kinds[f"call {name}"] = [1, took, took, 0, got]
        if took > ELECTION:
            self.finding(f"a call of {name} takes {took:.2f} s")

    def keep(self):
        """A snapshot with a round of drains under way, and without; a restore of each in a process of its own."""
        for name in ("snapshot", "snapshot at rest"):
            row = self.steps.setdefault(name, Step()).kinds
            began = time.process_time()
            packed = self.ledger.snapshot()
            took = time.process_time() - began
            row["snapshot"] = [1, took, took, 0, len(packed)]
            if took > ELECTION:
                self.finding(f"a {name} takes {took:.2f} s in one call")
            began = time.process_time()
            parts = self.ledger.parts()
            row["taken"] = [
                1,
                time.process_time() - began,
                time.process_time() - began,
                0,
                len(self.ledger.hosts),
            ]
            row["part"] = self.parts(parts)
            row["written"] = written(packed)
            self.say(
                f"{name}: taken in {row['taken'][2] * 1e3:.1f} ms, then {row['part'][0]} parts of at most "
                f"{row['part'][2] * 1e3:.1f} ms; on this disk {row['written'][2]:.2f} s after"
            )
            if row["written"][2] > COORDINATOR_LIMITS.disk_timeout / SECOND:
                self.findings.append(
                    f"a {name} is durable after {row['written'][2]:.2f} s, and a leader whose disk "
                    f"takes over {COORDINATOR_LIMITS.disk_timeout / SECOND} s lapses"
                )
                self.say(f"FINDING: {self.findings[-1]}")
            if len(packed) > (most := limits_for(self.rules).max_snapshot_bytes):
                self.findings.append(
                    f"a {name} has {len(packed)} bytes, over the keepers' bound of {most}"
                )
                self.say(f"FINDING: {self.findings[-1]}")
            row["restore"] = restored(packed)
            took, memory, collected = row["restore"][2], row["restore"][3], row["restore"].pop()
            row["collection"] = [1, collected, collected, 0, 0]
            if collected > ELECTION:
                self.finding(
                    f"a full collection of garbage takes {collected:.2f} s beside a restored ledger alone"
                )
            if took > ELECTION:
                self.finding(f"a restore of a {name} takes {took:.2f} s in one call")
            self.say(
                f"{name}: {len(packed) / 1e6:.1f} MB in {row['snapshot'][2]:.2f} s; restored in {took:.2f} s, "
                f"{memory / 1024:.0f} MB resident with it, a full collection {collected:.2f} s"
            )
            if name == "snapshot":
                self.at("calls")
                self.stop()
                self.tick(30)
                self.start()
                self.tick(120)
                self.start()

    @staticmethod
    def parts(parts):
        seconds, longest, size, count = 0.0, 0.0, 0, 0
        while True:
            began = time.process_time()
            part = next(parts, None)
            took = time.process_time() - began
            if part is None:
                return [count, seconds, longest, 0, size]
            seconds, longest, size, count = (
                seconds + took,
                max(longest, took),
                max(size, len(part)),
                count + 1,
            )

    def facts(self):
        steps = [
            {
                "step": name,
                "entries": s.entries,
                "bytes": s.bytes,
                "largest_bytes": s.largest,
                "cpu_s": s.seconds,
                "longest_ms": s.longest * 1e3,
                "longest_kind": s.longest_kind,
                "open": s.open,
                "refused": dict(s.refused),
                "kinds": {k: dict(zip(FACTS, row, strict=True)) for k, row in s.kinds.items()},
            }
            for name, s in self.steps.items()
        ]
        return {
            "what": "day",
            "day": time.strftime("%Y-%m-%d"),
            "hosts": len(self.hosts),
            "directors": len(self.directors),
            "zones": len(self.zones),
            "hours": self.hours,
            "calm_s": self.calm,
            "left_out": LEFT_OUT,
            "done": dict(self.done),
            "findings": self.findings,
            "steps": steps,
            "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        }


RESTORE = """
import gc, resource, sys, time
from ironfall.disruption import Ledger
data, ledger = open(sys.argv[1], "rb").read(), Ledger()
began = time.process_time()
ledger.restore(data)
took = time.process_time() - began
assert ledger.snapshot() == data
size = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
began = time.process_time()
gc.collect()
print(took, size, time.process_time() - began)
"""


def written(packed):
    """Seconds of the clock until it is durable in the folder for temporary files."""
    with tempfile.TemporaryDirectory() as folder:
        store = MemberStore(Folder(Path(folder)), "k1")
        store.begin_incarnation()
        began = time.monotonic()
        store.write([SnapshotWrite(1, packed, [])])
        return [1, 0.0, time.monotonic() - began, 0, len(packed)]


def restored(packed):
    """Seconds, and KiB resident at most, of a process that restores it and makes the same snapshot of it again; then
    the seconds of a full collection of garbage there."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "snapshot"
        file.write_bytes(packed)
        told = subprocess.run(
            [sys.executable, "-c", RESTORE, str(file)],
            check=True,
            capture_output=True,
            text=True,
            env=os.environ | {"PYTHONPATH": str(Path(__file__).parents[1])},
        )
    took, memory, collected = told.stdout.split()
    return [1, float(took), float(took), int(memory), len(packed), float(collected)]


FIGURES = ("entries", "bytes", "cpu_s", "longest_ms")


def predicted(before, hosts):
    """By the line through the two largest of the smaller runs, each step's figures at this many hosts."""
    first, second = sorted(before, key=lambda one: one["hosts"])[-2:]
    part = (hosts - first["hosts"]) / (second["hosts"] - first["hosts"])
    found = {}
    for one in second["steps"]:
        former = next((s for s in first["steps"] if s["step"] == one["step"]), None)
        for name in FIGURES if former else ():
            found[one["step"], name] = former[name] + part * (one[name] - former[name])
        for kind in ("snapshot", "restore"):
            if former and kind in one["kinds"]:
                for name in ("cpu_s", "items"):
                    a, b = former["kinds"][kind][name], one["kinds"][kind][name]
                    found[one["step"], f"{kind} {name}"] = a + part * (b - a)
    return found


def measured(facts):
    found = {}
    for one in facts["steps"]:
        found.update({(one["step"], name): one[name] for name in FIGURES})
        for kind in ("snapshot", "restore"):
            if kind in one["kinds"]:
                found.update(
                    {
                        (one["step"], f"{kind} {n}"): one["kinds"][kind][n]
                        for n in ("cpu_s", "items")
                    }
                )
    return found


def main():
    args = argparse.ArgumentParser()
    args.add_argument("--hosts", type=int, default=HOSTS)
    args.add_argument("--directors", type=int)
    args.add_argument("--hours", type=int, default=24)
    args.add_argument("--calm", type=int, default=60)
    args.add_argument("--seed", type=int, default=1)
    args.add_argument("--after", nargs="*", default=[])
    args.add_argument("--json")
    asked = args.parse_args()
    directors = asked.directors or round(asked.hosts * DIRECTORS / HOSTS)

    def say(text):
        print(text, flush=True)

    say(
        f"{asked.hosts} hosts, {directors} directors, {asked.hours} h, seed {asked.seed}. Left out: {LEFT_OUT}"
    )
    before = [json.loads(Path(one).read_text()) for one in asked.after]
    expected = predicted(before, asked.hosts) if len(before) > 1 else {}
    for (step, name), value in expected.items():
        say(f"predicted, {step}: {name} {value:.4g}")
    day = Day(asked.hosts, directors, asked.hours, asked.calm, asked.seed, say).run()
    words = [Path(word).name if "/" in word else word for word in sys.argv[1:]]
    facts = day.facts() | {
        "seed": asked.seed,
        "command": " ".join(["python -m benchmarks.day", *words]),
    }
    got = measured(facts)
    facts["predicted"] = [
        [step, name, value, got[step, name]]
        for (step, name), value in expected.items()
        if (step, name) in got
    ]
    for step, name, value, found in facts["predicted"]:
        off = f", {(found / value - 1) * 100:+.0f}%" if value > 0 else ""
        say(f"{step}: {name} predicted {value:.4g}, measured {found:.4g}{off}")
    say(
        f"done: {facts['done']}; {facts['memory_mb']:.0f} MB at most; the judges are quiet; "
        f"{len(day.findings)} findings"
    )
    if asked.json:
        Path(asked.json).write_text(json.dumps(facts, indent=1))


if __name__ == "__main__":
    main()
