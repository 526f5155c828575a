"""The decisions of a director: which hosts the proxies' tables name, with what weight, and what is let in.

How it is called: one `Director` an instance, made with the orders it acts through, the terms of the service,
its own source of chance and the clock. Each method with no underscore is one thing that can happen; it acts
at once through `Orders`. The interface (`Orders`, `ServiceTerms`, `Listing`) is in `ironfall/interface.py`.
Times are whole tenths of a millisecond. Where each rule comes from is in `docs/design.md`.
"""

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ironfall.interface import ExchangeClass, Listing, Orders, ServiceTerms

SECOND = 10_000
TICK = SECOND // 2  # health twice a second, tables once, as the design gathers them
QUARTER, RAMP = 0.25, 8 * SECOND  # the design's return of a retried or restarted host
FIRST_WAIT, LONGEST_WAIT = 5 * SECOND, 60 * SECOND
SMOOTH = 30 * SECOND  # the design's smoothing of rate and latency
CLASS_FLOOR, FLOOR = 0.08, 0.25  # no class is shut out whole: the worst-served one counts too
EVERYONE = 65535  # the wire's and the interface's table for all joined proxies


Gauge = dict[str, float]


@dataclass(slots=True)
class Mean:
    """A mean over what was heard, the older the less."""

    value: float = 0.0
    mass: float = 0.0

    def add(self, value: float, mass: float, age: float) -> None:
        kept = self.mass * math.exp(-age)
        self.value = (self.value * kept + value * mass) / (kept + mass)
        self.mass = kept + mass


@dataclass(slots=True, eq=False)
class Host:
    """All that is known of one host."""

    id: bytes
    zone: int
    ready: bool = True
    started: int = 0
    share: float = 1.0  # the learnt weight
    out: bool = False  # withdrawn from all tables
    retry_at: int = 0
    wait: int = FIRST_WAIT
    eased: int = -10 * LONGEST_WAIT  # since when it comes back in steps
    latency: Mean = field(default_factory=Mean)
    recent: Mean = field(default_factory=Mean)
    brake: float = 1.0  # how much of its share it is given while it is slow for its share
    gauged: int = -LONGEST_WAIT
    mute: bool = False  # withdrawn for its silence
    queued: float = 0.0  # how long what waits there now will wait, by its own gauge
    flow: float = 0.0  # good answers a second, smoothed
    goods: float = 0.0  # since the last solve
    answered: int = 0  # the last report with a good answer
    tries: list[float] = field(default_factory=list)  # by proxy zone, fading
    fails: list[float] = field(default_factory=list)
    barred: list[int] = field(default_factory=list)  # by proxy zone, until when its lines are taken out
    lines: list[float] = field(default_factory=list)  # as last sent, by table


@dataclass(slots=True)
class Proxy:
    zone: int
    joined: int
    rate: float
    came: float = 0.0  # since the last solve
    bound: bool = False


@dataclass(slots=True)
class Grade:
    """A class of exchanges as far as it is let in."""

    worth: float  # earnings per work, for which the expected time stands
    work: float
    tries: int  # the most ways of trying again that cannot take effect twice
    came: float = 0.0  # since the last solve
    asked: float = 0.0  # a second, smoothed
    level: float = 1.0
    way: int = 1


class Director:
    def __init__(self, orders: Orders, terms: ServiceTerms, chance: random.Random, now: int) -> None:
        self.orders, self.chance = orders, chance
        self.zones = terms.zones
        self.hosts: dict[bytes, Host] = {}
        self.proxies: dict[int, Proxy] = {}
        self.cold_time, self.cold_share = terms.cold_time, terms.cold_share
        self.hold = max(0, (min(terms.bare_time, terms.drain_grace) - terms.slowest_message) // 2)
        self.holds = "rif" in terms.gauges  # a gauge of all it has in hand, not of what waits alone
        self.probes = terms.may_probe and (self.holds or "q" in terms.gauges)
        self.probe_price = terms.probe_price
        self.probed_at = now
        self.fade = math.exp(-TICK / (2 * max(terms.report_every, SECOND)))
        self.report_every = terms.report_every
        self.pace, self.queue, self.head = terms.lines_per_second, terms.queue_limit, terms.message_head
        self.limit, self.span = terms.message_limit, terms.message_span
        self.backlog, self.backlog_at = 0.0, now
        self.moments: deque[int] = deque()
        self.room, self.strain = 6 * terms.crossing_price, 0.0
        # How far the lean goes: staying home is worth the crossing saved, spreading is worth the evenness.
        self.lean = terms.crossing_price**2 / (terms.crossing_price**2 + 0.03**2)
        self.grades = [self._grade(terms, c) for c in terms.classes]
        self.expected = sum(g.work for g in self.grades) / len(self.grades)  # of the mix that comes
        self.admits, self.by_rate = terms.admits, terms.admits_by_rate
        self.let_in, self.least = 1.0, self.expected / 2
        self.met = self.missed = self.best = self.failing = 0.0
        self.known = False  # a list newer than the one kept over the start
        self.started = self.reported = now
        self.heard_tries = self.heard_fails = 0.0  # everywhere, fading
        self.ticks = 0
        orders.wake(TICK, 0)
        if terms.ask_for_list:
            orders.watch_list()

    @staticmethod
    def _grade(terms: ServiceTerms, c: ExchangeClass) -> Grade:
        # A second try after any failure only where it cannot take effect twice.
        everywhere = c.key_scope == "all" and c.key_life >= c.abandon_time + terms.slowest_message
        again = c.repeatable == "always" or (c.repeatable == "keyed" and everywhere)
        return Grade(c.earnings / c.expected_time, float(c.expected_time), 2 if again else 1)

    # The list

    def list_whole(self, now: int, entries: Iterable[Listing], fresh: bool) -> None:
        named = set()
        for entry in entries:
            named.add(entry.host)
            self._list(now, entry)
        for host in self.hosts.values():
            if host.id not in named:
                self._shut(now, host)
        self.known = self.known or fresh
        self._amnesty(now)
        self._lay(now, not any(p.bound for p in self.proxies.values()))

    def list_changed(self, now: int, entries: Iterable[Listing]) -> None:
        for entry in entries:
            self._list(now, entry)
        self.known = True
        self._amnesty(now)

    def list_failed(self) -> None:
        self.orders.wake(SECOND + self.chance.randrange(SECOND), 1)

    def _list(self, now: int, entry: Listing) -> None:
        host = self.hosts.get(entry.host)
        if not entry.ready:
            if host:
                self._shut(now, host)
            return
        if host is None:
            host = self.hosts[entry.host] = Host(entry.host, entry.zone)
            host.tries, host.fails = [0.0] * self.zones, [0.0] * self.zones
            host.lines, host.barred = [0.0] * self.zones, [0] * self.zones
            host.share = entry.weight if entry.weight > 0 else 1.0
            host.started = entry.started
        elif not host.ready or entry.started > host.started:
            # A restarted process is cold: it comes back by steps from what it can surely carry.
            host.ready, host.started, host.wait = True, entry.started, FIRST_WAIT
            host.tries, host.fails = [0.0] * self.zones, [0.0] * self.zones
            host.latency.mass = host.recent.mass = 0.0
            if host.out or self._storm():
                self._withdraw(now, host)
                host.retry_at = now  # with the next tick: a message of its own for each would use them up
            else:
                self._return(now, host)

    def _shut(self, now: int, host: Host) -> None:
        if host.ready:
            host.ready = False
            if self._may(now, 0.95):  # else with the next tick, still within the grace
                self._withdraw(now, host)

    def _withdraw(self, now: int, host: Host) -> None:
        if not host.out:
            host.out = True
            self._pay(now)
            self.orders.withdraw(host.id, True)

    # The proxies

    def joined(self, now: int, proxy: int, zone: int, rate: float) -> None:
        self.proxies[proxy] = Proxy(zone, now, rate)
        if self.known:
            self._bind(now, proxy)

    def left(self, proxy: int) -> None:
        self.proxies.pop(proxy, None)

    def _bind(self, now: int, proxy: int) -> None:
        it = self.proxies[proxy]
        if not self._inside():
            return
        it.bound = True
        self.backlog += self.head + 1 + 2 * len(self.hosts)
        self.orders.bind(proxy, it.zone, 0)

    # What is heard

    def heard(
        self, now: int, zone: int, host: bytes, tries: int, failed: int, cost: int, covers: int, gauge: Gauge
    ) -> None:
        """What a zone's proxies met at a host; it may be gone by now, or never have been listed here."""
        it = self.hosts.get(host)
        if it is None or zone >= self.zones:
            return
        good = tries - failed
        self.reported = now
        self.heard_tries += tries
        self.heard_fails += failed
        # Reports on what was tried before it left speak of the trouble that it left for.
        if now - it.eased > 2 * self.report_every:
            it.tries[zone] += tries
            it.fails[zone] += failed
            if not it.out:
                self.met += tries
                self.missed += failed
        self._gauge(now, it, gauge)
        if good > 0 and cost > 0:
            it.answered = now
            it.goods += good
            it.latency.add(cost, good, covers / SMOOTH)
            it.recent.add(cost, good, covers / (2 * self.report_every))

    def _gauge(self, now: int, host: Host, gauge: Gauge) -> None:
        # What waits now is heard of seconds before its late answers are.
        if "rif" in gauge or "q" in gauge:
            held = gauge["rif"] if "rif" in gauge else gauge["q"]
            host.queued, host.gauged = SECOND * held / max(2.0, host.flow), now

    def arrived(self, proxy: int, kind: int, came: int) -> None:
        it = self.proxies.get(proxy)
        if it and kind < len(self.grades):
            it.came += came
            self.grades[kind].came += came

    def probed(self, now: int, host: bytes, answered: bool, gauge: Gauge) -> None:
        it = self.hosts.get(host)
        if it and answered:
            # Sooner, as the design has it, but after a silence only: who fails fast answers probes all along.
            if it.mute and it.out:
                it.retry_at, it.mute = min(it.retry_at, now + SECOND), False
            self._gauge(now, it, gauge)
        elif it:
            # A jam or a hang swallows probes too: the last gauge before it must not stand for it.
            it.queued, it.gauged = max(it.queued, self.expected), now

    # What comes due

    def woken(self, now: int, token: int) -> None:
        if token == 1:
            self.orders.watch_list()
            return
        self.ticks += 1
        self.heard_tries *= self.fade
        self.heard_fails *= self.fade
        for host in self.hosts.values():
            host.recent.mass *= self.fade
            if not self.probes:
                host.queued *= self.fade
        self.orders.wake(TICK, 0)
        for number, proxy in self.proxies.items():
            if not proxy.bound and (self.known or now - proxy.joined >= self.hold):
                self._bind(now, number)
        self._probe(now)
        self._judge(now)
        self._amnesty(now)
        if self.ticks % 2 == 0:
            self._learn(now)
            self._lay(now, False)
            self._ration(now)

    def _probe(self, now: int) -> None:
        # As often as costs a five-hundredth of what is earned, and no more than the gauges change.
        ready = [h for h in self.hosts.values() if h.ready]
        every = SECOND * max(1.0, len(ready) * self.probe_price / 0.002 / (self._asked() or 100.0))
        if self.probes and now - self.probed_at >= every:
            self.probed_at = now
            for host in ready:
                self.orders.probe(host.id)

    def _judge(self, now: int) -> None:
        inside = self._inside()
        tries, fails = sum(sum(h.tries) for h in inside), sum(sum(h.fails) for h in inside)
        capacity = sum(h.share for h in self.hosts.values() if h.ready)
        lost = sum(h.share for h in self.hosts.values() if h.ready and (h.out or max(h.barred) > now))
        heard = sorted({p.zone for p in self.proxies.values()})
        for host in inside:
            mine, bad = sum(host.tries), sum(host.fails)
            rest = (fails - bad + 1) / (tries - mine + 4)
            # A host that answers late and lets others time out is loaded: the brake lightens it, and its loss
            # would load the others until they fail in turn.
            loaded = host.recent.mass > 2 and host.recent.value > 0.5 * self.expected
            failing = mine >= 6 and bad > mine / 2 and bad / mine > 2 * rest and not loaded
            # A host that takes exchanges and answers none fails no try until proxies give up, seconds later.
            silent = host.flow * (self.reported - host.answered) / SECOND > 7 and host.answered
            # A lost zone may be half of the fleet: take out that much only while the rest is in good order.
            most = 0.6 if silent and rest < 0.25 else 0.4
            if (failing or silent) and lost + host.share < most * capacity:
                if not self._may(now, 0.9):
                    break
                host.retry_at = now + host.wait
                host.wait = min(2 * host.wait, LONGEST_WAIT)
                # Where its own zone is not heard of or some zone is served well, the way there has failed and
                # not the host: its lines go where it fails, and proxies that come back find it in place.
                pairs = zip(host.tries, host.fails, strict=True)
                served = [not silent and t >= 3 and f < t / 3 for t, f in pairs]
                if host.zone in heard and not any(served):
                    lost += host.share
                    host.mute = bool(silent)
                    self._withdraw(now, host)
                else:
                    for zone in heard:
                        if not served[zone]:
                            host.barred[zone] = host.retry_at
                    host.tries, host.fails = [0.0] * self.zones, [0.0] * self.zones
                    host.flow, host.answered = 0.0, 0
                    self._lay(now, True)
        for host in self.hosts.values():
            host.tries = [t * self.fade for t in host.tries]
            host.fails = [f * self.fade for f in host.fails]
            if not host.ready:
                self._withdraw(now, host)
            # Proxies avoid hosts that fail them, and where most do, all they send falls on the one just back:
            # a cold host waits until tries succeed again or it is warm, and where too little was heard yet.
            cold = host.started and now - host.started < self.cold_time
            fresh = now - self.started < 10 * self.report_every
            if cold and (fresh or self._storm()):
                continue
            if host.ready and host.out and now >= host.retry_at and self._may(now, 0.75):
                host.tries, host.fails = [0.0] * self.zones, [0.0] * self.zones
                self._return(now, host)

    def _inside(self) -> list[Host]:
        return [h for h in self.hosts.values() if h.ready and not h.out]

    def _storm(self) -> bool:
        return self.heard_fails > 0.25 * self.heard_tries

    def _return(self, now: int, host: Host) -> None:
        was, host.out = host.out, False
        host.eased = now
        host.flow, host.answered = 0.0, 0
        self._lay(now, True)
        if was:
            self._pay(now)
            self.orders.withdraw(host.id, False)

    def _amnesty(self, now: int) -> None:
        """Evidence never empties the tables: with nothing left, all ready hosts come back."""
        if not self._inside():
            for host in self.hosts.values():
                if host.ready and host.out:
                    self._return(now, host)

    # Weights

    def _learn(self, now: int) -> None:
        if any(p.came for p in self.proxies.values()):
            for p in self.proxies.values():
                p.rate += 0.1 * (p.came * SECOND / max(SECOND, self.report_every) - p.rate)
                p.came = 0.0
        # Thirty seconds of smoothing are too long for a host that slows down or a jam that builds up now.
        known = [h for h in self.hosts.values() if h.ready and h.recent.mass > 3]
        base = sorted(h.recent.value * h.share for h in known)
        usual = base[len(base) // 4] if base else 0.0
        late = {h.id: self._late(now, h, usual) * h.share for h in known}
        marks = sorted(late.values())
        for host in self.hosts.values():
            part = 1.0
            if host.id in late:
                part = min(1.0, max(0.2, 1.6 * marks[len(marks) // 4] / late[host.id]))
            host.brake += 0.4 * (part - host.brake)
            host.flow += 0.2 * (host.goods - host.flow)
            host.goods = 0.0
        seen = [h for h in self.hosts.values() if h.ready and h.latency.mass > 20]
        if not seen:
            return
        # The rate is taken for an equal share: taken as it comes it follows the weight, and the weight would
        # feed on itself until one host holds nearly all.
        scale = sum(h.share for h in seen) / sum(1 / h.latency.value for h in seen)
        for host in seen:
            want = scale / host.latency.value / host.share
            if abs(want - 1) > 0.2:
                host.share *= min(1.1, max(0.9, 1 + (want - 1) / 5))

    def _late(self, now: int, host: Host, usual: float) -> float:
        """How long an exchange sent there now may take: by its gauge while fresh, else by late reports."""
        if not self.probes:
            return host.recent.value + host.queued
        if now - host.gauged > 3 * SECOND:
            return host.recent.value
        return max(1.0, host.queued + (0.0 if self.holds else usual / host.share))

    def _strength(self, now: int, host: Host) -> float:
        if not host.ready:
            return 0.0
        part = 1.0
        if host.started and now - host.started < self.cold_time:
            warm = max(0, now - host.started) / self.cold_time
            # Half of what it can surely carry: after a loss all others are over their limit, and its share
            # grows by as much. Clients that come again and proxies not yet told add to it.
            part = self.cold_share + (1 - self.cold_share) * warm
            part *= (0.5 + 0.5 * warm) / max(1.0, self.strain)
        if now - host.eased < RAMP:
            part = min(part, QUARTER + (1 - QUARTER) * (now - host.eased) / RAMP)
        return host.share * host.brake * part

    def _lay(self, now: int, must: bool) -> None:
        strength = {h.id: self._strength(now, h) for h in self.hosts.values()}
        inside = self._inside()
        total = sum(strength[h.id] for h in inside) or 1.0
        room = 1 + self.room * max(0.0, 1 - self.strain) ** 2  # a strained fleet has none to stay home in
        demand = sum(p.rate for p in self.proxies.values()) or 1.0
        for zone in range(self.zones):
            near = sum(strength[h.id] for h in inside if h.zone == zone)
            asked = sum(p.rate for p in self.proxies.values() if p.zone == zone)
            want = (asked / demand) or 1.0 / self.zones
            even = near / total
            stay = even + self.lean * (min(0.95, room * even / want) - even)
            away = 1.0
            if 0 < near < total:
                away = (1 - stay) / stay * near / (total - near)
            lines = {h: strength[h.id] * (1.0 if h.zone == zone else away) for h in inside}
            if any(h.barred[zone] <= now for h in inside):
                lines = {h: 0.0 if h.barred[zone] > now else w for h, w in lines.items()}
            scale = len(lines) / (sum(lines.values()) or 1.0)
            held = sum(h.lines[zone] for h in inside) or 1.0
            off = sum(abs(w * scale / len(lines) - h.lines[zone] / held) for h, w in lines.items()) / 2
            # Small moves wait, so that messages are left when a large one is needed at once.
            if not (must or (off > 0.15 and self._may(now, 0.85)) or (off > 0.04 and self._may(now, 0.45))):
                continue
            for host, weight in lines.items():
                self._set(now, zone, host, weight * scale)
            for host in self.hosts.values():
                if not host.ready:
                    self._set(now, zone, host, 0.0)

    def _set(self, now: int, table: int, host: Host, weight: float) -> None:
        old = host.lines[table]
        if weight == old or (old and weight and 0.9 < weight / old < 1.11):
            return
        self._pay(now)
        host.lines[table] = weight
        self.orders.set_line(table, host.id, weight)

    def _ration(self, now: int) -> None:
        # A second try after any failure costs the time it gives up at: it pays where hosts fail fast and only
        # feeds a jam where they are slow.
        inside = self._inside()
        mass = sum(h.recent.mass for h in inside)
        slow = sum(h.recent.value * h.recent.mass for h in inside) / mass if mass else 0.0
        # Of the newest reports alone: in a mean over tries a jam, with its many, outweighs what follows it.
        if self.met:
            self.failing += 0.5 * (self.missed / self.met - self.failing)
            self.met = self.missed = 0.0
        again = 0.03 < self.failing < 0.3 and slow < 0.3 * self.expected
        # Shut by how far the fleet is over what it answers in time, let out again more slowly than shut.
        before = self.strain
        # What it takes at best cannot be shed: strain is the wait beside it, as a part of the time left.
        self.least = min(slow or self.expected / 2, 1.005 * self.least)
        self.strain = strain = max(0.0, slow - self.least) / (0.35 * (self.expected - self.least))
        for grade in self.grades:
            grade.asked += 0.3 * (grade.came - grade.asked)
            grade.came = 0.0
        asked, work = self._asked(), sum(g.asked * g.work for g in self.grades)
        if asked > 1:
            self.expected = work / asked
        # Reports are late, so a cut goes on after it has helped, and it lowers what is fulfilled: never shut
        # far below what these hosts have fulfilled for their strength not long ago.
        strength = sum(h.share for h in inside) or 1.0
        self.best = max(0.98 * self.best, sum(h.flow for h in inside) / strength)
        able = 0.85 * self.best * strength / (asked or 1.0)
        # A rise goes on for the seconds that reports are late: shut for what it will be by then.
        if strain > 1:
            strain += 2 * SECOND / max(SECOND, self.report_every) * max(0.0, strain - before)
        if strain > 1:
            cut = self.let_in * max(0.6, 1 - 0.15 * (strain - 1))
            self.let_in = max(min(self.let_in, able), cut, FLOOR)
        else:
            # Quickly up to what they are known to fulfil, feeling the way beyond it.
            step = 1.5 if self.let_in < able else 1.2
            self.let_in = min(1.0, self.let_in * (step + (1 - step) * strain))
        shed = (1 - self.let_in) * work
        for k, grade in sorted(enumerate(self.grades), key=lambda pair: pair[1].worth):
            mine = grade.asked * grade.work
            level = max(CLASS_FLOOR, 1 - shed / mine) if mine else 1.0
            shed = max(0.0, shed - (1 - level) * mine)
            way = grade.tries if again else 1
            moved = abs(level - grade.level) > 0.04 or (level == 1 != grade.level)
            if (way != grade.way or (moved and self.admits)) and self._may(now, 0.8):
                grade.way, grade.level = way, level
                self._pay(now)
                self.orders.admit(EVERYONE, 1 << k, self._rate(grade) if self.by_rate else level, way)

    def _asked(self) -> float:
        return sum(g.asked for g in self.grades)

    def _rate(self, grade: Grade) -> float:
        """Where levels are exchanges a second at each proxy: a share of what the busiest is brought."""
        rates = [p.rate for p in self.proxies.values()] or [1.0]
        return grade.level * grade.asked * max(rates) / (sum(rates) or 1.0) if grade.level < 1 else 1e9

    # The channel

    def _may(self, now: int, part: float) -> bool:
        """Whether an order that can wait fits in this part of what the rules allow of lines and messages."""
        while self.moments and now - self.moments[0] > self.span:
            self.moments.popleft()
        if self.limit and len(self.moments) >= part * self.limit and self.moments[-1] != now:
            return False
        # A third of the pace, since the channel may be slower than agreed and says so to nobody.
        self.backlog = max(0.0, self.backlog - (now - self.backlog_at) / SECOND * self.pace / 3)
        self.backlog_at = now
        return self.backlog + (1 + self.head) * len(self.proxies) < part * self.queue

    def _pay(self, now: int) -> None:
        if not self.moments or self.moments[-1] != now:
            self.moments.append(now)
            self.backlog += self.head * len(self.proxies)
        self.backlog += len(self.proxies)
