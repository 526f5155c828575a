"""The five rules and the account, from nothing but what crossed the sockets.

The judge rebuilds what each proxy held from the states it was sent, when it was joined from its answered polls, what
each director knew from the lists it was told, and the load on cold hosts from what came to them. Pure.
"""

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ironfall.generated import ironfall_pb2 as pb
from ironfall.lab.day import Day
from ironfall.lab.hosts import Budget
from ironfall.publication import Delta, Holding
from ironfall.terms import Terms

SECOND = 10_000
SLACK = 500  # 50 ms: a try may be on its way, and stand on the tape, while an order is applied
RULES = {
    "bare": "a joined proxy has a line for each class",
    "twice": "no effect happens twice",
    "drains": "drains are kept within the grace",
    "cold": "no cold host is pushed over",
    "queue": "the channel's queue and messages stay within their limits",
}


@dataclass
class Rule:
    """How near a rule came to its limit (1 is the limit), and each time it was broken."""

    worst: float = 0.0
    breaks: list[str] = field(default_factory=list)

    def measure(self, part: float, text: str) -> None:
        self.worst = max(self.worst, part)
        if part > 1:
            self.breaks.append(text)


@dataclass
class Second:
    asked: int = 0
    priority_weight: float = 0.0
    fulfilled: float = 0.0  # earnings fulfilled within the expected time
    late: int = 0
    refused: int = 0
    failed: int = 0


@dataclass
class Verdict:
    rules: dict[str, Rule]
    seconds: list[Second]
    by_class: dict[str, tuple[float, float]]  # earnings fulfilled, asked for
    figure: float
    exchanges: int
    lag: float
    tries: int

    @property
    def kept(self) -> bool:
        return not any(rule.breaks for rule in self.rules.values())


@dataclass
class Joined:
    """One stretch in which a proxy was surely joined."""

    begins: int
    ends: int
    director: str


@dataclass
class ProxyTape:
    holding: Holding
    stretches: list[Joined] = field(default_factory=list)
    told_at: list[int] = field(default_factory=list)
    bare: list[list[tuple[int, bool]]] = field(
        default_factory=list
    )  # by class: from when it has (no) line
    session: int = 0
    carried: set[tuple[int, int]] = field(default_factory=set)
    # ordered, left, lines, epoch, session
    messages: list[tuple[int, int, float, int, int]] = field(default_factory=list)
    spent: dict[tuple[int, int], int] = field(default_factory=dict)


class Judge:
    """`meta` names the director behind each address that proxies dial, and the start of the day."""

    def __init__(self, day: Day, terms: Terms, meta: dict[str, Any]) -> None:
        self.day, self.terms, self.meta = day, terms, meta
        self.rules = {name: Rule() for name in RULES}
        self.proxies: dict[str, ProxyTape] = {}
        self.tries: dict[str, list[tuple[int, str]]] = defaultdict(list)
        self.lists: dict[str, list[tuple[int, bool, list[Any]]]] = defaultdict(list)
        self.as_listed: dict[str, tuple[str, int]] = {}  # the registry's last word on each host
        self.drained: set[str] = set()  # by name: what operators' files drain
        self.ran: dict[int, list[dict[str, Any]]] = defaultdict(list)
        self.ups: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.came: dict[tuple[str, int], list[tuple[int, float, str]]] = defaultdict(list)
        self.fell: list[tuple[int, str, int]] = []
        self.asked: dict[int, tuple[int, int]] = {}
        self.ended: dict[int, tuple[int, int]] = {}
        self.lag = 0.0
        self.spans: dict[
            str, list[tuple[int, int]]
        ] = {}  # of each director, when a ready, warm host was listed

    # reading

    def read(self, rows: Iterable[dict[str, Any]]) -> None:
        for row in rows:
            handler = getattr(self, "_on_" + row["e"].replace(" ", "_"), None)
            if handler:
                handler(row["t"], row)

    def _on_starts(self, t: int, row: dict[str, Any]) -> None:
        holding = Holding(len(self.terms.classes), row["standing"])
        self.proxies[row["who"]] = ProxyTape(holding, bare=[[] for _ in self.terms.classes])
        self._look(t, row["who"])

    def _on_joined(self, t: int, row: dict[str, Any]) -> None:
        tape = self.proxies[row["who"]]
        tape.holding.join(row["epoch"], row["version"])
        tape.session += 1
        tape.stretches.append(Joined(t, t, self._director(row["director"])))
        self._look(t, row["who"])

    def _director(self, address: list[Any]) -> str:
        return str(self.meta["directors"][f"{address[0]}:{address[1]}"])

    def _on_told(self, t: int, row: dict[str, Any]) -> None:
        tape, state = self.proxies[row["who"]], row["state"]
        delta = Delta(
            state["epoch"],
            state["start"],
            state["to"],
            state["checksum"],
            {k: v for k, v in state["binds"]},
            [tuple(x) for x in state["lines"]],
            [tuple(x) for x in state["outs"]],
            [tuple(x) for x in state["admits"]],
        )
        tape.holding.apply(delta)
        tape.told_at.append(t)
        self._contact(t, row, tape)
        self._look(t, row["who"])
        fresh = 0.0
        for version, waited_us, lines in state["carried"]:
            key = (state["epoch"], version)
            if key not in tape.carried:
                tape.carried.add(key)
                fresh += lines
                tape.messages.append((t - waited_us // 100, t, lines, state["epoch"], tape.session))
        # What a director does not count would not show in its queue: an answer must cost what it carries,
        # unless it was told before and lost on the way.
        key = (state["start"], state["to"])
        paid = max(fresh, tape.spent.get(key, 0))
        tape.spent[key] = int(paid)
        if delta.size > paid and fresh:
            text = f"{_at(self, t)} {row['who']} was sent {delta.size} lines, counted as {paid:g}"
            self.rules["queue"].breaks.append(text)

    def _on_still(self, t: int, row: dict[str, Any]) -> None:
        self._contact(t, row, self.proxies[row["who"]])

    _on_session_ended = _on_still  # an answer too, if a last one

    def _on_cut(self, t: int, row: dict[str, Any]) -> None:
        # A connection that was closed was there until then; one that went silent may have been cut long before.
        if row["closed"]:
            self._contact(t, row, self.proxies[row["who"]])

    def _contact(self, t: int, row: dict[str, Any], tape: ProxyTape) -> None:
        last = tape.stretches[-1]
        if row["sent"] - last.ends <= SLACK:
            last.ends = t
        else:  # the stream was cut in between: joined again from when this poll was sent
            tape.stretches.append(Joined(row["sent"], t, last.director))

    def _look(self, t: int, who: str) -> None:
        tape = self.proxies[who]
        for kind, changes in enumerate(tape.bare):
            none = not tape.holding.lines(kind)
            if not changes or changes[-1][1] != none:
                changes.append((t, none))

    def _on_try(self, t: int, row: dict[str, Any]) -> None:
        self.tries[row["who"]].append((t, row["host"]))

    def _on_listed(self, t: int, row: dict[str, Any]) -> None:
        rows = [[host, self._filed(host, state), began] for host, state, began in row["rows"]]
        self.lists[row["to"]].append((t, row["whole"], rows))
        for host, state, began in row["rows"]:
            self.as_listed[host] = (state, began)

    def _filed(self, host: str, state: str) -> str:
        return "draining" if state == "ready" and host.partition("@")[0] in self.drained else state

    def _on_filed(self, t: int, row: dict[str, Any]) -> None:
        """Operators put a whole set in place: directors are told by it, as by the registry's list."""
        self.drained = set(row["drained"])
        rows = [
            [host, self._filed(host, state), began]
            for host, (state, began) in self.as_listed.items()
        ]
        for told in self.lists.values():
            told.append((t, False, rows))

    def _on_ran(self, _t: int, row: dict[str, Any]) -> None:
        self.ran[row["token"]].append(row)

    def _on_up(self, _t: int, row: dict[str, Any]) -> None:
        self.ups[row["host"]].append(row)

    def _on_came(self, t: int, row: dict[str, Any]) -> None:
        self.came[row["host"], row["inc"]].append((t, row["work"], row["by"]))

    def _on_fell(self, t: int, row: dict[str, Any]) -> None:
        self.fell.append((t, row["host"], row["inc"]))

    def _on_asked(self, _t: int, row: dict[str, Any]) -> None:
        self.asked[row["token"]] = (row["at"], row["kind"])

    def _on_ended(self, t: int, row: dict[str, Any]) -> None:
        self.ended[row["token"]] = (t, row["outcome"])

    def _on_asked_all(self, _t: int, row: dict[str, Any]) -> None:
        self.lag = row["lag"]

    # judging

    def verdict(self) -> Verdict:
        self._known()
        self._bare()
        self._twice()
        self._drains()
        self._cold()
        self._queue()
        return self._account()

    def _known(self) -> None:
        """What each director's list said, by host: (from when, state, started)."""
        self.known: dict[str, dict[str, list[tuple[int, str, int]]]] = {}
        for director, lists in self.lists.items():
            known: dict[str, list[tuple[int, str, int]]] = defaultdict(list)
            for t, whole, rows in lists:
                named = set()
                for host, state, began in rows:
                    known[host].append((t, state, began))
                    named.add(host)
                for host in [
                    h for h in known if whole and h not in named and known[h][-1][1] != "gone"
                ]:
                    known[host].append((t, "gone", 0))
            self.known[director] = known

    def _bare(self) -> None:
        rule, limit = self.rules["bare"], self.terms.service.unassigned_limit
        for who, tape in self.proxies.items():
            for kind, changes in enumerate(tape.bare):
                for n, (since, none) in enumerate(changes):
                    until = changes[n + 1][0] if n + 1 < len(changes) else 1 << 62
                    for joined in tape.stretches if none else ():
                        begins, ends = max(since, joined.begins), min(until, joined.ends)
                        while begins < ends:
                            # Only while the director's list shows a host that is ready and warm.
                            ready, change = self._ready(joined.director, begins)
                            stop = min(ends, change)
                            if ready:
                                text = f"{_at(self, begins)} {who} had no line for {self.terms.classes[kind]}"
                                rule.measure(
                                    (stop - begins) / limit,
                                    f"{text} for {(stop - begins) / SECOND:.1f}s",
                                )
                            begins = max(stop, begins + 1)

    def _ready(self, director: str, at: int) -> tuple[bool, int]:
        """Whether a ready, warm host was listed to the director at a time, and until when that stays so."""
        spans = self._spans(director)
        for begins, ends in spans:
            if begins <= at < ends:
                return True, ends
        return False, min((b for b, _ in spans if b > at), default=1 << 62)

    def _spans(self, director: str) -> list[tuple[int, int]]:
        if director not in self.spans:
            spans = []
            for told in self.known.get(director, {}).values():
                for n, (t, state, began) in enumerate(told):
                    until = told[n + 1][0] if n + 1 < len(told) else 1 << 62
                    begins = max(t, began + self.terms.service.slow_start_time)
                    if state == "ready" and begins < until:
                        spans.append((begins, until))
            merged: list[tuple[int, int]] = []
            for begins, ends in sorted(spans):
                if merged and begins <= merged[-1][1]:
                    merged[-1] = (merged[-1][0], max(ends, merged[-1][1]))
                else:
                    merged.append((begins, ends))
            self.spans[director] = merged
        return self.spans[director]

    def _twice(self) -> None:
        rule = self.rules["twice"]
        for token, runs in self.ran.items():
            kind = self.terms.service.classes[runs[0]["kind"]]
            if kind.idempotency != "always" and len(runs) > 1:
                where = ", ".join(
                    f"{r['host']} (try {r['client_try']}.{r['attempt']})" for r in runs
                )
                name = self.terms.classes[runs[0]["kind"]]
                rule.measure(
                    2.0, f"{_at(self, runs[-1]['t'])} {name} {token:x} took effect at {where}"
                )

    def _drains(self) -> None:
        rule, grace = self.rules["drains"], self.terms.service.drain_grace
        for who, tape in self.proxies.items():
            begins = [j.begins for j in tape.stretches]
            for t, host in self.tries.get(who, ()):
                place = bisect_right(begins, t) - 1
                if place < 0 or tape.stretches[place].ends < t:
                    continue
                joined = tape.stretches[place]
                told = self.known.get(joined.director, {}).get(host, [])
                at = bisect_right([x[0] for x in told], t) - 1
                if at < 0 or told[at][1] == "ready":
                    continue
                while at > 0 and told[at - 1][1] != "ready":
                    at -= 1  # draining first, gone later: the grace runs from the first
                since = max(told[at][0], joined.begins)
                text = f"{_at(self, t)} {who} sent to {host}, {(t - since) / SECOND:.2f}s after {joined.director}"
                rule.measure(
                    (t - since - SLACK) / grace, f"{text} was told that it is {told[at][1]}"
                )

    def _cold(self) -> None:
        rule, terms, day = self.rules["cold"], self.terms, self.day
        grace, within = terms.service.drain_grace, terms.fall_time
        for host, ups in self.ups.items():
            for up in ups:
                if not up["cold"]:
                    continue
                slack = 2 * max(c.work for c in day.classes.values()) / up["speed"]
                budget = Budget(
                    up["started"] / SECOND,
                    up["cores"],
                    day.cold_start,
                    day.slow_start_time,
                    terms.fall_multiple,
                    within / SECOND,
                    slack,
                )
                window: deque[tuple[int, float, str]] = deque()
                for t, work, by in self.came.get((host, up["inc"]), ()):
                    fell = budget.add(t / SECOND, work)
                    window.append((t, work, by))
                    while window[0][0] <= t - within:
                        window.popleft()
                    knew = sum(
                        w
                        for at, w, who in window
                        if self._knew(who, host, up["started"], at, grace)
                    )
                    if knew >= 2 / 3 * sum(w for _, w, _ in window):
                        rule.worst = max(
                            rule.worst, budget.worst if fell else min(budget.worst, 1.0)
                        )
                        if fell:
                            text = f"{_at(self, t)} {host} was pushed over {(t - up['started']) / SECOND:.1f}s"
                            rule.breaks.append(f"{text} after its start by proxies that knew of it")
                    if fell:
                        break

    def _knew(self, who: str, host: str, started: int, at: int, grace: int) -> bool:
        tape = self.proxies.get(who)
        if tape is None:
            return False
        place = bisect_right([j.begins for j in tape.stretches], at) - 1
        if place < 0:
            return False
        told = self.known.get(tape.stretches[place].director, {}).get(host, [])
        heard = next((t for t, state, began in told if state == "ready" and began >= started), None)
        if heard is None or heard > at:
            return False
        message = bisect_right(tape.told_at, at)
        return at > heard + grace or (message > 0 and tape.told_at[message - 1] > heard)

    def _queue(self) -> None:
        rule, service = self.rules["queue"], self.terms.service
        steps: dict[int, list[tuple[int, float]]] = defaultdict(list)
        for who, tape in self.proxies.items():
            by_session: dict[int, list[int]] = defaultdict(list)
            for ordered, left, lines, epoch, session in tape.messages:
                steps[epoch] += [(ordered, lines), (left, -lines)]
                by_session[session].append(ordered)
            for moments in by_session.values() if service.message_limit else ():
                moments.sort()
                for n, first in enumerate(moments):
                    count = bisect_right(moments, first + service.message_window - 1) - n
                    text = f"{_at(self, first)} {who} was written {count} messages"
                    rule.measure(
                        count / service.message_limit,
                        f"{text} within {service.message_window / SECOND:g}s",
                    )
        for changes in steps.values():
            waits = 0.0
            for t, lines in sorted(changes):
                waits += lines
                rule.measure(
                    waits / service.queue_limit,
                    f"{_at(self, t)} {waits:g} lines waited in a channel",
                )

    def _account(self) -> Verdict:
        start = self.meta["starts"]
        classes = self.terms.service.classes
        seconds = [Second() for _ in range(int(self.day.length) + 1)]
        by_class = {name: (0.0, 0.0) for name in self.terms.classes}
        for token, (at, kind) in self.asked.items():
            second = seconds[min(len(seconds) - 1, max(0, (at - start) // SECOND))]
            worth = classes[kind].priority_weight
            ended, outcome = self.ended.get(token, (1 << 62, pb.FAILED))
            good = outcome == pb.FULFILLED and ended - at <= classes[kind].latency_objective
            second.asked += 1
            second.priority_weight += worth
            second.fulfilled += worth * good
            second.late += outcome == pb.FULFILLED and not good
            second.refused += outcome == pb.REFUSED
            second.failed += outcome == pb.FAILED
            had, all_ = by_class[self.terms.classes[kind]]
            by_class[self.terms.classes[kind]] = (had + worth * good, all_ + worth)
        asked = sum(s.priority_weight for s in seconds)
        figure = sum(s.fulfilled for s in seconds) / asked if asked else 0.0
        tries = sum(map(len, self.tries.values()))
        return Verdict(self.rules, seconds, by_class, figure, len(self.asked), self.lag, tries)


def _at(judge: Judge, t: int) -> str:
    return f"{(t - judge.meta['starts']) / SECOND:.2f}s:"
