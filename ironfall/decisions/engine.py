"""The decisions of a director: which hosts the proxies' tables name, with what weight, and what is let in.

How it is called: one `Director` an instance, made with the orders it acts through, the terms of the service,
its own source of chance and the clock. Each method with no underscore is one thing that can happen. Its
interface (`Orders`, `ServiceTerms`) is in `ironfall/decisions/interface.py`; `docs/design.md` has the sources.
"""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from ironfall.decisions.channel_budget import ChannelBudget
from ironfall.decisions.interface import ListedHost, Orders, RequestClass, ServiceSettings

SECOND = 10_000  # times are whole tenths of a millisecond
TICK = SECOND // 2  # health twice a second, tables once, as the design gathers them
QUARTER, RAMP = 0.25, 8 * SECOND  # the design's return of a retried or restarted host
FIRST_WAIT, LONGEST_WAIT = 5 * SECOND, 60 * SECOND
NEVER = 1 << 62
BAR = (
    4 * FIRST_WAIT
)  # a host barred for a class serves the others meanwhile: no haste to try it there
SMOOTH, STREAM = (
    30 * SECOND,
    8 * SECOND,
)  # the design's smoothing of latency; that of what comes and goes
CLASS_FLOOR, FLOOR = 0.08, 0.25  # no class is shut out whole: the worst-served one counts too
THIN = 0.03  # an away line's part of its strength where the solve begins
CUT = 40  # tries in a row that failed at the hosts of a zone, and the way there is cut, not they
FEELERS, FEEL = (
    3,
    0.01,
)  # the lines, and the part of a table each, that find out when it is open again

Gauge = dict[str, float]


@dataclass(slots=True)
class Mean:
    value: float = 0.0
    mass: float = 0.0

    def add(self, value: float, mass: float) -> None:
        self.mass += mass
        self.value += (value - self.value) * mass / (self.mass or 1.0)

    def good(
        self,
    ) -> float:  # of a share that fails: what is left, doubted while it rests on little
        return 1 - self.value * self.mass / (self.mass + 4)


@dataclass(slots=True, eq=False)
class Host:
    id: bytes
    zone: int
    started: int
    share: float  # the learnt weight
    failing: list[Mean]  # the share of tries that fail, by proxy zone
    barred: list[int]  # by class, until when its lines in the tables of that class are taken out
    lines: list[float]  # by table, as last sent
    part: int = 0  # of the fleet, whose tables alone name it
    ready: bool = True
    out: bool = False  # withdrawn from all tables
    mute: bool = False  # withdrawn for its silence
    told: int = 0  # when it was last withdrawn
    seen: int = 0  # when it was last listed as ready
    retry_at: int = 0
    wait: int = FIRST_WAIT
    eased: int = -10 * LONGEST_WAIT  # since when it comes back in steps
    judged: int = -10 * LONGEST_WAIT  # what was tried before is no evidence any more
    latency: Mean = field(default_factory=Mean)
    recent: Mean = field(default_factory=Mean)
    flow: float = 0.0  # good answers a second
    answered: int = 0  # the last report with a good answer
    held: float = 0.0  # what waits there, by its own gauge, with all proxies' exchanges
    gauged: int = -LONGEST_WAIT
    brake: float = 1.0  # how much of its share it is given while it is slow for its share
    floor: float = 0.0  # what its operators hold its share between
    cap: float = 1e6

    def gauge(self, now: int, gauge: Gauge) -> None:
        # What waits now is heard of seconds before its late answers are.
        if "rif" in gauge or "q" in gauge:
            self.held, self.gauged = gauge.get("rif", gauge.get("q", 0.0)), now


@dataclass(slots=True)
class Proxy:
    zone: int
    joined: int
    rate: float
    tables: list[int]  # by class; -1 for what it came with
    part: int = 0  # of the fleet, whose tables it is bound to
    usual: float = 0.0  # exchanges a second, as it said when it joined
    strayed: bool = False  # it can't go on from what it holds
    resent: int = -LONGEST_WAIT  # when it was last sent all anew for that


@dataclass(slots=True)
class Grade:
    """A class of exchanges as far as it is let in."""

    worth: float  # earnings per work, for which the expected time stands
    work: float
    tries: int  # the most ways of trying again that cannot take effect twice
    zone_local: bool  # it may go to hosts of the proxy's own zone alone
    asked: float = 0.0  # a second
    failing: Mean = field(default_factory=Mean)
    level: float = 1.0
    way: int = 1


class DecisionEngine:
    def __init__(
        self, orders: Orders, terms: ServiceSettings, chance: random.Random, now: int
    ) -> None:
        self.orders, self.chance, self.zones = orders, chance, terms.zones
        self.hosts: dict[bytes, Host] = {}
        self.proxies: dict[int, Proxy] = {}
        self.everyone = max(1, terms.proxies)
        self.slow_start_time, self.slow_start_share = terms.slow_start_time, terms.slow_start_share
        self.hold = max(
            0, (min(terms.unassigned_limit, terms.drain_grace) - terms.max_message_delay) // 2
        )
        self.holds = "rif" in terms.gauges  # a gauge of all it has in hand, not of what waits alone
        self.probes = terms.health_checks_allowed and (self.holds or "q" in terms.gauges)
        self.probing, self.turn = (
            0.002 / (terms.health_check_price or 0.002),
            0.0,
        )  # for 1/500 of what is earned
        self.report_interval, self.spacing = terms.report_interval, float(terms.report_interval)
        self.queue, self.head = terms.queue_limit, terms.message_overhead + 1
        self.limit, self.span = terms.message_limit, terms.message_window
        pace = terms.entries_per_second or math.inf
        # A full channel at a third of its pace has sent it all by then: what is unconfirmed still was lost.
        lost = round(max(10.0, 3 * self.queue / pace) * SECOND)
        self.budget = ChannelBudget(self.head, self.span, lost, orders.request_confirmation)
        # What leaves until the next tick has heard of it: more only makes whatever comes after it wait.
        self.soon = min(0.5 * self.queue, pace * (TICK + 2 * terms.max_message_delay) / SECOND)
        # So many hosts a part has: a zone's are what its table holds if all proxies are bound in half of the
        # grace, the rest being for drains, but fewer than a message's head would save little.
        each = min(0.95 * self.queue, 0.5 * pace * terms.drain_grace / SECOND) / self.everyone
        self.homes = sum(c.zone_local for c in terms.classes)  # each has tables of its own
        most = max(self.head, (each - self.head - 2 - len(terms.classes)) / (1 + self.homes))
        self.names = math.inf if terms.notifies_all_proxies else self.zones * most
        # The fleet's parts have tables of their own. By zone and part: ready hosts, usual exchanges a second.
        self.parts, self.able, self.notifies_all_proxies = (
            1,
            Counter[tuple[int, int]](),
            terms.notifies_all_proxies,
        )
        self.dealt = defaultdict[tuple[int, int], float](float)
        self.cross_zone_price, self.strain, self.joiners = terms.cross_zone_price, 0.0, 0.0
        # What a zone's proxies meet at the hosts of each: the share that fails, and how long the others take.
        self.ways = [[(Mean(), Mean()) for _ in range(terms.zones)] for _ in range(terms.zones)]
        # By the same: what was tried at whom since anybody there answered, and the ways that are cut.
        self.lost = [[Counter[bytes]() for _ in range(terms.zones)] for _ in range(terms.zones)]
        self.cuts: set[tuple[int, int]] = set()
        self.grades = [self._grade(terms, c) for c in terms.classes]
        self.each = self.zones * (
            1 + len(self.grades)
        )  # tables of a part: all classes, each class apart
        self.expected = sum(g.work for g in self.grades) / len(self.grades)  # of the mix that comes
        self.admits, self.let_in, self.least = terms.admits, 1.0, self.expected / 2
        self.best, self.asked, self.others = 0.0, 0.0, 1.0
        self.known, self.draining = (
            False,
            0.0,
        )  # a list newer than that kept; room awaited, hosts still to go
        self.started, self.reported, self.shut, self.ticks = now, now, 0, 0
        orders.set_timer(TICK, 0)
        if terms.requests_host_list:
            orders.watch_hosts()

    @staticmethod
    def _grade(terms: ServiceSettings, c: RequestClass) -> Grade:
        # A second try after any failure only where it cannot take effect twice.
        lasts = (
            c.idempotency_key_scope == "all"
            and c.idempotency_key_lifetime >= c.deadline + terms.max_message_delay
        )
        again = c.idempotency == "always" or (c.idempotency == "keyed" and lasts)
        return Grade(
            c.priority_weight / c.latency_objective,
            float(c.latency_objective),
            1 + again,
            c.zone_local,
        )

    def on_host_list(
        self, now: int, entries: Iterable[ListedHost], whole: bool, fresh: bool
    ) -> None:
        """The list, whole or its changes; not fresh: as it was kept over the start."""
        entries = list(entries)
        self.parts = (
            self.parts if self.hosts else max(1, round(sum(e.ready for e in entries) / self.names))
        )
        for host, zone, ready, weight, started in entries:
            it = self.hosts.get(host)
            if it and 0 < started < it.started:
                continue  # a late word of a process that another has followed
            if it is None and ready:
                lines, kinds = [0.0] * self.parts * self.each, [0] * len(self.grades)
                failing, share = [Mean() for _ in range(self.zones)], weight if weight > 0 else 1.0
                part = self._lightest([self.able[zone, p] for p in range(self.parts)])
                self.able[zone, part] += 1
                self.hosts[host] = Host(host, zone, started, share, failing, kinds, lines, part)
            elif it and ready and (not it.ready or started > it.started):
                # A restarted process is cold: out at once, or eased where it is if the channel is full.
                it.ready, it.started = True, max(started, it.started)
                it.wait, it.retry_at, it.eased = FIRST_WAIT, now, now
                it.latency.mass = it.recent.mass = it.flow = it.held = 0.0
                self._forget(now, it)
                if not it.out and self._room(now, 0.6) > (1 + self.head) * len(self.proxies):
                    self._withdraw(now, it)
            elif it:
                it.ready = ready
        named = {entry.host for entry in entries}
        for it in self.hosts.values() if whole else ():
            it.ready = it.ready and it.id in named
        self.known = self.known or fresh
        self.able = Counter((h.zone, h.part) for h in self.hosts.values() if h.ready)
        self._drain(now)
        self._lay(now, not any(p.tables[0] >= 0 for p in self.proxies.values()))

    def _lightest(self, loads: Sequence[float]) -> int:
        # By chance where several are: what shares a part at one director is spread over all parts at another.
        least = [n for n, load in enumerate(loads) if load == min(loads)]
        return self.chance.choice(least) if len(least) > 1 else least[0]

    def on_host_list_failed(self) -> None:
        self.orders.set_timer(SECOND + self.chance.randrange(SECOND), 1)

    def _drain(self, now: int) -> None:
        # What drains or is gone leaves all tables, also of joiners that wait to be bound. If the channel does
        # not hold a lost zone at once all else waits, and it goes in few portions: in many, heads use it up.
        unbound, hosts = (
            [p.joined for p in self.proxies.values() if p.tables[0] < 0],
            self.hosts.values(),
        )
        late = max((at for at in unbound if now - at > self.hold), default=-LONGEST_WAIT)
        again = [h for h in hosts if not h.ready and h.out and 0 < late - h.told < LONGEST_WAIT]
        # Of more than a table names, binding the joiners is the shorter word.
        # With parts, joiners hear of drains by their binding: it goes before what drains much later.
        later = min(unbound, default=now) + self.hold // 2 if 0 < self.joiners < 1 else now
        gone = [
            h for h in hosts if not h.ready and not h.out and not later < h.seen > now - self.hold
        ]
        gone += again * (len(again) <= self.names)
        each, used, room = (
            max(1, len(self.proxies)),
            self._users() if gone else {},
            self._room(now, 0.95),
        )
        fits, cost, reached, most = 0, 0.0, set[int](), self.queue / each - self.head
        for host in gone:
            holders = self._holders(host, used)
            cost += len(holders) + self.head * len(set(holders) - reached)
            reached.update(holders)
            fits += cost <= room
        for host in (
            gone[:fits] if fits >= min(len(gone), self.parts * min(self.head, most / 2)) else ()
        ):
            self._withdraw(now, host, used)
        self.draining = (max(each * self.head, self._room(now, 0.95)) + each) * (len(gone) > fits)
        # Evidence never empties the tables: with nothing left, all ready hosts come back.
        held = {self._place(h) for h in self._inside()}
        self._return(
            now, [h for h in self.hosts.values() if h.ready and self._place(h) not in held]
        )

    def _place(self, it: Host | Proxy) -> tuple[int, int]:  # where a proxy needs a host
        return it.part, it.zone if self.homes else 0

    def _withdraw(self, now: int, host: Host, used: dict[int, list[int]] | None = None) -> None:
        self.budget.charge(now, self._holders(host, used or self._users()))
        if self._called_out(host):
            self.orders.withdraw(host.id, True)
        # It will not be back: its lines go, and with them what each binding would pay for it.
        gone = self.parts > 1 and not host.ready
        for table in (n for n, line in enumerate(host.lines) if gone and line > 0):
            host.lines[table] = 0.0
            self.orders.set_weight(table, host.id, 0.0)
        host.out, host.told = True, now

    def _called_out(self, host: Host) -> bool:  # to all, or its lines alone go from a part's tables
        return self.parts == 1 or host.ready or host.out

    def _users(self) -> dict[int, list[int]]:
        """The proxies that use each table, and under -1 those that hold what they came with."""
        used = defaultdict[int, list[int]](list)
        for number, table in ((n, t) for n, p in self.proxies.items() for t in set(p.tables)):
            used[table].append(number)
        return used

    def _holders(self, host: Host, used: dict[int, list[int]]) -> list[int]:
        """Where a withdrawal is a line. What proxies came with isn't known: as much as a part's tables."""
        named = [
            number for n, line in enumerate(host.lines) if line > 0 for number in used.get(n, ())
        ]
        if self._called_out(host):
            named += [n for n in used.get(-1, ()) if (n + host.part) % self.parts == 0]
        return list(dict.fromkeys(self.proxies if self.notifies_all_proxies else named))

    def _let_go(self, now: int) -> None:
        # Every host ever withdrawn would cost each binding a line, until none fits. Who is not bound may hold
        # a table of before the withdrawal.
        if any(min(p.tables) < 0 for p in self.proxies.values()):
            return
        used = self._users()
        for host in [
            h for h in self.hosts.values() if not h.ready and h.out and now - h.told > LONGEST_WAIT
        ]:
            holders = self._holders(host, used)
            if self._room(now, 0.45) < (2 + self.head) * len(holders):
                return
            for table in (n for n, line in enumerate(host.lines) if line > 0):
                self.budget.charge(now, used.get(table, ()))
                self.orders.set_weight(table, host.id, 0.0)
            self.budget.charge(now, holders)
            self.orders.withdraw(host.id, False)
            del self.hosts[host.id]
            self.orders.forget(host.id)

    def on_proxy_joined(self, now: int, proxy: int, zone: int, rate: float) -> None:
        self.on_proxy_left(proxy)
        it = self.proxies[proxy] = Proxy(
            zone % self.zones, now, rate, [-1] * len(self.grades), 0, rate
        )
        self.budget.add_proxy(proxy)
        self._deal(it)

    def _deal(self, it: Proxy) -> None:
        loads = [
            (self.dealt[it.zone, n] + 1) / (self.able[it.zone, n] or 1e-9)
            for n in range(self.parts)
        ]
        it.part = self._lightest(loads)
        self.dealt[it.zone, it.part] += it.usual

    def on_proxy_left(self, proxy: int) -> None:
        self.budget.remove_proxy(proxy)
        if it := self.proxies.pop(proxy, None):
            self.dealt[it.zone, it.part] -= it.usual

    def on_version_applied(self, now: int, proxy: int, version: int) -> None:
        self.budget.confirm(proxy, version)
        if 0 < self.draining <= self._room(now, 0.95):
            self._drain(now)

    def on_proxy_desynchronized(self, now: int, proxy: int) -> None:
        """A proxy can't go on from what it holds, or says so: it is bound anew, with all there is."""
        if it := self.proxies.get(proxy):
            it.strayed = True

    def _bind(self, now: int) -> None:
        """Bind as many as the channel holds beside what cannot wait, those with the most traffic first."""
        # The traffic is their own word: who has waited for long goes before those who come again and again.
        due = {
            n for n, p in self.proxies.items() if min(p.tables) < 0 and now - p.joined > self.hold
        }
        inside, self.joiners, short = self._by_part(), 1.0, False
        held, own = {self._place(h) for h in self._inside()}, self._own(now)
        outs = Counter(h.part for h in self.hosts.values() if h.out)
        for number, it in sorted(
            self.proxies.items(),
            key=lambda pair: (not pair[1].strayed, pair[0] not in due, -pair[1].rate),
        ):
            if self._place(it) not in held and any(zone == self._place(it)[1] for _, zone in held):
                self.dealt[it.zone, it.part] -= it.usual
                self._deal(it)
            wanted = [it.part * self.each + it.zone + self.zones * kind for kind in own]
            # Whoever strays without end takes neither the others' channel nor more messages than it may get.
            anew = it.strayed and now - it.resent >= self.span
            if (wanted == it.tables and not anew) or not (
                self.known or now - it.joined >= self.hold
            ):
                continue
            hosts, more = inside[it.part], 2 + outs[it.part] + len(self.grades)
            if anew:
                # It hears of nothing until then: one message is left for it, and half of the queue.
                whole = sum(
                    self.head + more + sum(h.lines[t] > 0 for h in hosts) for t in set(wanted)
                )
                if self._room(now, 0.95) - 0.45 * self.queue < whole:
                    continue
                it.strayed, it.resent, it.tables = False, now, [-1] * len(wanted)
            for table in dict.fromkeys(wanted):
                kinds = [k for k, t in enumerate(wanted) if t == table != it.tables[k]]
                lines = sum(h.lines[table] > 0 for h in hosts)
                if not kinds or not lines and (not held or self._place(it) in held):
                    continue
                if not anew and self._room(now, 0.5, (number,)) < self.head + more + lines:
                    short = True
                    continue
                self.budget.charge(now, (number,), more + lines)
                it.tables = [table if k in kinds else t for k, t in enumerate(it.tables)]
                self.orders.assign(number, table, sum(1 << k for k in kinds))
        short |= any(not h.ready and not h.out for h in self.hosts.values())
        self.joiners = short * (0.5 if self.parts > 1 else 1.0)

    def on_upstream_report(
        self,
        now: int,
        zone: int,
        host: bytes,
        tries: int,
        failed: int,
        cost: int,
        covers: int,
        gauge: Gauge,
    ) -> None:
        """What a zone's proxies met at a host; it may be gone by now, or never have been listed here."""
        it = self.hosts.get(host)
        if it is None or zone >= self.zones or tries <= 0:
            return
        good, (failing, took) = tries - failed, self.ways[zone][it.zone]
        self.reported = now
        self.spacing += 0.02 * (covers - self.spacing)
        # Reports on what was tried before it left speak of the trouble that it left for.
        if now - covers - SECOND > it.judged:
            it.failing[zone].add(failed / tries, tries)
            if not it.out:
                failing.add(failed / tries, tries)
        it.gauge(now, gauge)
        if good > 0:
            self.lost[zone][it.zone].clear()
        else:
            self.lost[zone][it.zone][host] += tries
        if good > 0 and cost > 0:
            it.answered = now
            it.flow += good * SECOND / STREAM
            it.recent.add(cost, good)
            took.add(cost, good)
            # Of what it takes when little waits: a jam says nothing of its speed.
            work = gauge.get("lat_ms", 0.0) * 10 or cost
            calm = min(1.0, it.latency.value / work) if it.latency.mass else 1.0
            it.latency.add(work, good * calm * calm)

    def on_request_report(self, now: int, proxy: int, kind: int, came: int, lost: int) -> None:
        it = self.proxies.get(proxy)
        if it and kind < len(self.grades):
            it.rate += came * SECOND / STREAM
            self.grades[kind].asked += came * SECOND / STREAM
            self.grades[kind].failing.add(min(1.0, lost / max(1, came)), came)

    def on_health_check(self, now: int, host: bytes, answered: bool, gauge: Gauge) -> None:
        it = self.hosts.get(host)
        if it and answered:
            # Sooner, but after a silence only: who fails fast answers probes all along.
            it.retry_at = min(it.retry_at, now + SECOND) if it.mute else it.retry_at
            it.gauge(now, gauge)
        elif it and self._worth(it.zone, it.zone) < 0.8:
            # A jam swallows probes: its last gauge must not stand. Unless it is the way there that does.
            it.gauge(now, {"q": max(it.held, it.flow * self.others * self.expected / SECOND)})

    def on_gauge_reading(self, now: int, host: bytes, age: int, gauge: Gauge) -> None:
        """A reading that others took some time ago. It is no answer of its own: nothing comes back for it."""
        it = self.hosts.get(host)
        if it and now - age > it.gauged:
            # A host that takes all and answers nothing may well be called idle: what its proxies met stands.
            held = it.held * (it.mute or any(m.mass >= 3 and m.value > 0.5 for m in it.failing))
            it.gauge(now - age, gauge)
            it.held = max(held, it.held)

    def set_weight_bounds(self, host: bytes, floor: float, cap: float) -> None:
        """What its operators hold its learnt weight between; the same twice is a weight fixed by hand."""
        if it := self.hosts.get(host):
            it.floor, it.cap = floor, cap
            it.share = min(cap, max(floor, it.share))

    def set_excluded_classes(self, now: int, host: bytes, kinds: int) -> None:
        """Classes that its operators keep off a host, as a mask: they get tables of their own, without it."""
        if it := self.hosts.get(host):
            for kind, until in enumerate(it.barred):
                it.barred[kind] = NEVER if kinds >> kind & 1 else now if until == NEVER else until

    def _own(
        self, now: int
    ) -> list[int]:  # by class, 0 for the tables of all or the number of its own
        until = [
            max((h.barred[k] for h in self.hosts.values()), default=0)
            for k in range(len(self.grades))
        ]
        return [
            (1 + k) * (g.zone_local or 0 < until[k] > now - BAR) for k, g in enumerate(self.grades)
        ]

    def on_timer(self, now: int, token: int) -> None:
        if token:
            self.orders.watch_hosts()
            return
        self.ticks, self.others = self.ticks + 1, self.everyone / max(1, len(self.proxies))
        self.orders.set_timer(TICK, 0)
        # Over how long evidence fades: with many hosts each is heard of seldom.
        spans = max(2.0 * self.report_interval, self.spacing), STREAM, SMOOTH
        fade, stream, slowly = (math.exp(-TICK / span) for span in spans)
        fading = [mean for row in self.ways for way in row for mean in way]
        for host in self.hosts.values():
            fading += [host.recent, *host.failing]
            host.latency.mass, host.flow = host.latency.mass * slowly, host.flow * stream
            host.seen = now if host.ready else host.seen
        for grade in self.grades:
            grade.failing.mass, grade.asked = grade.failing.mass * fade, grade.asked * stream
        for mean in fading:
            mean.mass *= fade
        for proxy in self.proxies.values():
            proxy.rate *= stream
        self._drain(now)
        self._probe()
        self._look_out(now)
        self._judge(now)
        self._bind(now)
        if self.ticks % 2 == 0:
            self._learn(now)
            self._ration(now)
            self._lay(now, False)
            self._let_go(now)

    def _probe(self) -> None:
        ready = [h for h in self.hosts.values() if h.ready]
        first = int(self.turn)
        self.turn += min(self.probing * (self.asked or 100.0), len(ready)) * TICK / SECOND
        for n in range(first, int(self.turn)) if self.probes else ():
            self.orders.health_check(ready[n % len(ready)].id)

    def _look_out(self, now: int) -> None:
        """Which ways are cut: most hosts of a zone, of three or more, answer none of another's proxies, whose
        own serve them. Of fewer it can't be told whether it is they that fail."""
        homes = [[h.id for h in self._inside() if h.zone == zone] for zone in range(self.zones)]
        cuts = set[tuple[int, int]]()
        for zone, row in enumerate(self.lost):
            if homes[zone] and self.ways[zone][zone][0].good() > 0.5:
                tried = [[lost[h] for h in homes[y] if lost[h]] for y, lost in enumerate(row)]
                cuts |= {
                    (zone, y)
                    for y, each in enumerate(tried)
                    if y != zone and sum(each) >= CUT and len(each) > max(2, len(homes[y]) / 2)
                }
        for zone, other in self.cuts - cuts:
            self.ways[zone][other] = (Mean(), Mean())
            for host in (h for h in self.hosts.values() if h.zone == other):
                self._forget(now, host)
        self.cuts = cuts

    def _judge(self, now: int) -> None:
        inside = self._inside()
        tries = {h.id: sum(m.mass for m in h.failing) for h in inside}
        bad = {
            h.id: sum(m.mass * m.value for m in h.failing) / max(6.0, tries[h.id]) for h in inside
        }
        usual = sorted(bad.values())[len(bad) // 4] if bad else 0.0
        ready = [h for h in self.hosts.values() if h.ready]
        capacity = sum(h.share for h in ready)
        lost = sum(h.share for h in ready if h.out)
        # The class that fails while the others do well, if there is one.
        lost_by = sorted(((g.failing.value, k) for k, g in enumerate(self.grades)), reverse=True)
        sick = (
            lost_by[0][1]
            if lost_by[0][0] > max(0.1, 0.03 + 3 * sum(v for v, _ in lost_by[1:2]))
            else -1
        )
        for host in sorted(inside, key=lambda h: -bad[h.id]):
            # Late answers beside time-outs are load: withdrawn for it, it would load the others in turn.
            calm = host.recent.mass <= 2 or host.recent.value <= 0.5 * self.expected
            if sick >= 0 and len(self.grades) > 1:
                # One class fails at hosts that serve the others: they leave the tables of that class alone.
                left = sum(h.share for h in inside if h.barred[sick] <= now) - host.share
                failing = bad[host.id] > max(
                    0.35 * self.grades[sick].asked / (self.asked or 1.0), 2 * usual
                )
                if failing and calm and tries[host.id] >= 8 and left > 0.3 * capacity:
                    self._forget(now, host)
                    host.barred[sick] = now + BAR
                continue
            # Late reports or a director's standstill are nobody's silence: the newest of all is the clock.
            overdue = (self.reported - host.answered - 1.5 * self.spacing) / SECOND
            silent = bool(host.answered) and host.flow * overdue > 7
            failing = bad[host.id] > max(0.5, 2 * usual) and calm
            # Most of a fleet looking bad at once is load, late reports or a cut.
            if not (failing or silent) or lost + host.share > 0.5 * capacity:
                continue
            # Where some zone is served well it is the way that fails: its lines are light there already.
            served = [not silent and m.mass >= 3 and m.value < 1 / 3 for m in host.failing]
            if not any(served) and self._room(now, 0.9) > (1 + self.head) * len(self.proxies):
                host.retry_at, host.wait = now + host.wait, min(2 * host.wait, LONGEST_WAIT)
                host.mute = silent
                self._withdraw(now, host)
                lost += host.share
        # Proxies avoid hosts that fail them: in a storm all they send falls on a cold one just back.
        storm = sum(m.mass * (m.value - 0.25) for row in self.ways for m, _ in row) > 0
        wait = storm or self.strain > 1 or now - self.started < 10 * self.report_interval
        self._return(
            now, [h for h in ready if now >= h.retry_at and not (wait and self._warm(now, h) < 1)]
        )

    def _forget(
        self, now: int, host: Host
    ) -> None:  # what was tried until now is no evidence any more
        host.judged, host.answered = now, 0
        host.failing = [Mean() for _ in range(self.zones)]

    def _by_part(self) -> list[list[Host]]:
        return [[h for h in self._inside() if h.part == n] for n in range(self.parts)]

    def _inside(self) -> list[Host]:
        return [h for h in self.hosts.values() if h.ready and not h.out]

    def _warm(self, now: int, host: Host) -> float:
        return (
            min(1.0, max(0, now - host.started) / (self.slow_start_time or 1))
            if host.started
            else 1.0
        )

    def _return(self, now: int, hosts: Iterable[Host]) -> None:
        """Back into the tables, in portions: a line in each table, and one to end the withdrawal."""
        room = self._room(now, 0.75) / max(1, len(self.proxies)) - self.head
        hosts = [h for h in hosts if h.out][: max(0, int(room * self.parts / (1 + self.zones)))]
        used = self._users() if hosts else {}
        for host in hosts:
            host.out, host.eased = False, now
            self._forget(now, host)
            self.budget.charge(now, self._holders(host, used))
        if hosts:
            self._lay(now, True, hosts)
        for host in hosts:
            self.orders.withdraw(host.id, False)

    def _learn(self, now: int) -> None:
        # Thirty seconds of smoothing are too long for a host that slows down or jams now: so the brake.
        late = {}
        for host in (h for h in self.hosts.values() if h.ready and h.recent.mass > 3):
            fresh = now - host.gauged < max(3 * SECOND, 1.5 * self.spacing)
            waits = SECOND * host.held / max(2.0, host.flow) if fresh else 0.0
            late[host.id] = (host.recent.value + waits) * host.share
        usual = sorted(late.values())[len(late) // 4] if late else 0.0
        for host in self.hosts.values():
            part = min(1.0, max(0.2, 1.6 * usual / late[host.id])) if host.id in late else 1.0
            host.brake += 0.4 * (part - host.brake)
        # The rate is taken for an equal share: as it comes it follows the weight, which would feed on itself.
        seen = [
            h for h in self.hosts.values() if h.ready and h.latency.mass > 20 and self.strain < 0.5
        ]
        scale = sum(h.share for h in seen) / (sum(1 / h.latency.value for h in seen) or 1.0)
        for host in seen:
            want = scale / host.latency.value / host.share
            if abs(want - 1) > 0.2:
                share = host.share * min(1.1, max(0.9, 1 + (want - 1) / 5))
                host.share = min(host.cap, max(host.floor, share))

    def _strength(self, now: int, host: Host) -> float:
        # Half of what a cold host can surely carry: clients that come again, proxies not yet told add to it.
        warm = self._warm(now, host)
        part = (
            (self.slow_start_share + (1 - self.slow_start_share) * warm)
            * (1 + warm)
            / max(2.0, 2 * self.strain)
        )
        ramp = min(1.0, QUARTER + (1 - QUARTER) * (now - host.eased) / RAMP)
        return host.share * host.brake * min(ramp, part if warm < 1 else 1.0)

    def _worth(self, zone: int, other: int) -> float:
        # About the share of a zone's exchanges at another's hosts that is fulfilled in the expected time.
        failing, took = self.ways[zone][other]
        late = math.exp(-self.expected / took.value) if took.value else 0.0
        return failing.good() * (1 - late * took.mass / (took.mass + 1))

    def _streams(self, now: int, part: int) -> list[tuple[int, int, float, bool]]:
        """What comes to each of a part's tables in use: table, zone, work a second, if home alone."""
        works = [g.asked * g.work / (self.asked * self.expected or 1.0) for g in self.grades]
        apart = [kind - 1 for kind in self._own(now) if kind]
        kinds = [(0, 1 - sum(works[k] for k in apart), False)]
        kinds += [(1 + k, works[k], self.grades[k].zone_local) for k in apart]
        mine = [p for p in self.proxies.values() if p.part == part]
        asked = [sum(p.rate for p in mine if p.zone == z) for z in range(self.zones)]
        tables = [
            (part * self.each + self.zones * n, share, zone_local) for n, share, zone_local in kinds
        ]
        return [
            (table + z, z, share * a, zone_local)
            for table, share, zone_local in tables
            for z, a in enumerate(asked)
        ]

    def _spread(self, now: int, inside: list[Host], part: int) -> list[tuple[int, list[float]]]:
        """The tables: each host at its strength, home first, and none brought more than its zone's room."""
        strength = [self._strength(now, h) for h in inside]
        streams, rows, rooms = self._streams(now, part), [], []
        pairs = list(zip(strength, inside, strict=True))
        for table, zone, _, zone_local in streams:
            # Staying home is worth the crossing saved and what the way out loses, while home is not strained.
            values = [self._worth(zone, y) for y in range(self.zones)]
            best = max((v for y, v in enumerate(values) if y != zone), default=0.0) or 1.0
            room = (
                max(0.0, 3 * (self.cross_zone_price + values[zone] - best))
                * max(0.0, 1 - self.strain) ** 2
            )
            rooms.append(1.02 + room)
            ways = [1.0 if y == zone else THIN * (v / best) ** 3 for y, v in enumerate(values)]
            ways = [0.0 if (zone, y) in self.cuts else way for y, way in enumerate(ways)]
            reach = [s * (h.zone == zone or not zone_local) for s, h in pairs]
            # What it fails now it will go on failing: a part of its line, for failures that come and go.
            row = [
                s * ways[h.zone] * h.failing[zone].good() ** 2
                for s, h in zip(reach, inside, strict=True)
            ]
            if kind := table % self.each // self.zones:
                row = [
                    0.0 if h.barred[kind - 1] > now else w for w, h in zip(row, inside, strict=True)
                ]
            rows.append(row if any(row) else reach)
        even = sum(d for _, _, d, _ in streams) / (sum(strength) or 1.0) or 1.0
        for _ in range(12):
            load = [0.0] * len(inside)
            for (_, _, demand, _), row in zip(streams, rows, strict=True):
                each = demand / (sum(row) or 1.0) / even
                load = [x + each * w for x, w in zip(load, row, strict=True)]
            over = [x / s if s else 0.0 for x, s in zip(load, strength, strict=True)]
            for n, room in enumerate(rooms):
                rows[n] = [
                    w * room / x if x > room else w for w, x in zip(rows[n], over, strict=True)
                ]
        for (_, zone, _, zone_local), row in zip(streams, rows, strict=True):
            # None leans on a cold host, nor names one to carry little: that costs connections and lines.
            whole = sum(row) / (sum(strength) or 1.0)
            for n, (s, h) in enumerate(pairs):
                row[n] = min(row[n], s * whole) if self._warm(now, h) < 1 else row[n]
                row[n] *= row[n] >= 0.2 * s * whole
            away = [
                n
                for n, (_, h) in enumerate(pairs)
                if (zone, h.zone) in self.cuts and not zone_local
            ]
            for n in sorted(away, key=lambda n: -inside[n].share)[:FEELERS]:
                row[n] = FEEL * sum(row)
        return [(table, row) for (table, *_), row in zip(streams, rows, strict=True)]

    def _lay(self, now: int, must: bool, back: Sequence[Host] = ()) -> None:
        """Send what has moved, the largest moves first, as far as the channel holds it."""
        used, parts = self._users(), enumerate(self._by_part())
        for inside, (table, row) in (
            (hosts, it) for n, hosts in parts for it in self._spread(now, hosts, n)
        ):
            held, users = (
                [0.0 if h in back else h.lines[table] for h in inside],
                used.get(table, ()),
            )
            all_held, all_row = sum(held) or 1.0, sum(row) or 1.0
            trio = zip(inside, row, held, strict=True)
            gains = [
                abs(w / all_row - x / all_held) + 2 * (w == 0 < x) + 3 * (h in back)
                for h, w, x in trio
            ]
            # Small moves wait, so that room is left when a large one is needed at once, or a table is bare.
            part = 0.65 if must or sum(gains) > 0.3 else 0.45 if sum(gains) > 0.08 else 0.0
            part = part if any(held) else 0.95
            order = sorted(range(len(row)), key=lambda n: -gains[n])
            order = [n for n in order if gains[n] * all_row > 0.1 * row[n]]
            if users:
                fits = int(self._room(now, part, users) / len(users) - self.head)
                order = order[: max(sum(h in back for h in inside), fits)]
            # Weighed against what stays, so that half a table sent is right as far as it goes.
            rest = set(range(len(row))).difference(order)
            stay, want = sum(held[n] for n in rest), sum(row[n] for n in rest)
            scale = stay / want if stay and want else len(row) / all_row
            for n in order:
                if row[n] * scale != inside[n].lines[table]:
                    inside[n].lines[table] = row[n] * scale
                    self.budget.charge(now, users)
                    self.orders.set_weight(table, inside[n].id, row[n] * scale)

    def _ration(self, now: int) -> None:
        inside = self._inside()
        mass = sum(h.recent.mass for h in inside) or 1.0
        slow = sum(h.recent.value * h.recent.mass for h in inside) / mass
        # Strain is the wait beside the best answer time, as a part of the time left.
        self.least = min(slow or self.expected / 2, 1.005 * self.least)
        late, left = max(0.0, slow - self.least), max(self.expected - self.least, self.expected / 4)
        self.strain = strain = self._waiting(now, inside, late) / (0.35 * left)
        self.asked, work = (
            sum(g.asked for g in self.grades),
            sum(g.asked * g.work for g in self.grades),
        )
        self.expected = work / self.asked if self.asked > 1 else self.expected
        # Reports are late and a cut goes on after it helped: not far below what was fulfilled not long ago.
        strength = sum(h.share for h in inside) or 1.0
        self.best = max(0.98 * self.best, sum(h.flow for h in inside) / strength)
        able = 0.85 * self.best * strength / (self.asked or 1.0)
        if strain > 1 and now - self.shut > 2 * (self.spacing - self.report_interval):
            # Reports that wait for their turn go on telling of the jam that the last step was made for.
            self.let_in = max(
                min(self.let_in, able), self.let_in * max(0.6, 1.15 - 0.15 * strain), FLOOR
            )
            self.shut = now
        elif strain <= 1:
            # Quickly up to what they are known to fulfil, feeling the way beyond it.
            step = 1.5 if self.let_in < able else 1.1
            self.let_in = min(1.0, self.let_in * (step + (1 - step) * strain))
        shed = (1 - self.let_in) * work
        for k, grade in sorted(enumerate(self.grades), key=lambda pair: pair[1].worth):
            mine = grade.asked * grade.work
            level = max(CLASS_FLOOR, 1 - shed / mine) if mine else 1.0
            shed = max(0.0, shed - (1 - level) * mine)
            # A second try pays where hosts fail fast; where they are slow it feeds the jam.
            way = (
                grade.tries
                if 0.03 < grade.failing.value < 0.4 and slow < 0.3 * self.expected
                else 1
            )
            moved = self.admits and (abs(level - grade.level) > 0.04 or level == 1 != grade.level)
            if (moved or way != grade.way) and self._room(now, 0.8) > (1 + self.head) * len(
                self.proxies
            ):
                grade.way, grade.level = way, level
                self.budget.charge(now, self.proxies)
                self.orders.admit(1 << k, level, way)

    def _waiting(self, now: int, inside: list[Host], late: float) -> float:
        # Gauges are early, and where answers are late with little waiting it is the way: nothing to shed for.
        gauged = [h for h in inside if now - h.gauged < max(3 * SECOND, 1.5 * self.spacing)]
        if 2 * len(gauged) < len(inside) or now - self.started < 5 * self.report_interval:
            return late
        flow = sum(h.flow for h in gauged) * self.others or 1.0
        waits = SECOND * sum(h.held for h in gauged) / flow - self.least * self.holds
        return max(0.0, min(3 * late, waits))

    def _room(self, now: int, part: float, to: Collection[int] | None = None) -> float:
        """How many lines still fit in this part of what the rules allow, to some proxies or to all."""
        messages = part * self.limit or math.inf
        if self.budget.max_messages(now, messages, to) >= messages or (
            self.draining and part < 0.95
        ):
            return 0.0
        # Who waits to be bound comes before all that can be put off.
        most = self.soon * self.joiners if self.joiners and part < 0.95 else self.queue
        return min(part * self.queue, most) - self.budget.unconfirmed_entries(now)
