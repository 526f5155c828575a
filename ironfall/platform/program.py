"""`ironfall serve`: a director on the platform, in the foreground, until SIGTERM."""

import gc
import random
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ironfall.decisions.engine import DecisionEngine
from ironfall.director import explain
from ironfall.director.clock import Clock
from ironfall.director.event_loop import BEAT, SECOND, EventLoop
from ironfall.platform import start
from ironfall.platform.calls import Calls
from ironfall.platform.drains import Drains
from ironfall.platform.entry import Entry
from ironfall.platform.hosts import BadList, Hosts
from ironfall.platform.lines import Reader
from ironfall.platform.log import Log
from ironfall.platform.news import News
from ironfall.platform.outbox import NONCES, Outbox
from ironfall.platform.reports import Reports
from ironfall.platform.streams import Streams
from ironfall.platform.watch import Watch

EVENTS_MOST = 20_000  # waiting for a turn
READY_TIME = (
    4.0  # seconds after which it serves by the list it was given, if neither list nor news came
)
SUMMARY = 10 * SECOND
RELOADS, RELOAD_WAIT = (
    7,
    0.2,
)  # tries and seconds: while the old addresses still answer, 1.5 s from the signal
REFUSED = (
    1.0  # seconds until a binding that was refused is taken for lost, if the proxy still stands
)


class Platform:
    """The exit of the turns, and what feeds them."""

    def __init__(
        self,
        assignment: start.Assignment,
        log: Any,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        told, service = assignment, assignment.service
        self.assignment, self.log = assignment, log
        self.chance = random.Random(told.seed + 1)  # of jitter alone: the module's is its own
        self.outbox = Outbox(told.classes, self.chance.randrange(NONCES))
        self.reports, self.hosts = Reports(), Hosts(told.zones)
        self.turns = EventLoop(
            service,
            told.seed,
            Clock(monotonic),
            DecisionEngine,
            log,
            self,
            self.reports,
            EVENTS_MOST,
        )
        count, now = self.turns.count, self.turns.clock.now
        self.streams = Streams(self, now)
        proof_time = min(0.5, service.max_message_delay / SECOND)
        self.calls = Calls(
            told.relay,
            self.outbox,
            proof_time,
            self.chance,
            log,
            count,
            self._unbound,
            self.streams.ordered,
        )
        self.news = News(
            told.relay,
            self.streams,
            told.zones,
            service.proxies,
            self.chance,
            log,
            count,
            self._broken,
        )
        self.watch = Watch(
            told.discovery, self.hosts, now, self._listed, self.chance, log, count, told.list_most
        )
        reader = Reader(told.zones, told.classes, service.proxies, service.gauges)
        self.entry = Entry(
            told.listen,
            reader,
            self.reports,
            lambda host: host in self.hosts.held,
            told.sockets // 4,
            service.report_interval / SECOND,
            log,
            count,
        )
        self.done, self.fresh = Event(), Event()
        self.summed = self.turns.clock.now()
        self.drains, self.new_list = Drains(self._heard), False
        self.confirmed: set[int] = set()  # who confirmed something since the last turn
        self.broken = False
        self.running: list[gevent.Greenlet] = []

    # life

    def start(self) -> None:
        self.entry.start()
        if self.assignment.known is not None:
            try:
                if changes := self.watch.listing(self.assignment.known):
                    self.turns.insist("listed", changes[0], True, False)
            except BadList as wrong:
                self.log.warning("the list of before the start can't be read", cause=str(wrong))
        self.starting = gevent.spawn(self._ready)
        self.starting.link_exception(self._broken)
        for run in (self.turns.run, self.calls.run, self.watch.run):
            self.running.append(gevent.spawn(run))
            self.running[-1].link(self._broken)
        self.news.start()

    def _ready(self) -> None:
        begun = time.monotonic()
        self.fresh.wait(READY_TIME)
        self.news.settled.wait(max(0.0, begun + READY_TIME - time.monotonic()))
        self.entry.ready.set()
        self.log.info(
            "ready",
            seconds=round(time.monotonic() - begun, 3),
            hosts=len(self.hosts.held),
            proxies=len(self.streams.standing),
        )
        agreed = self.assignment.service
        self.log.info(
            "agreed",
            drain_grace_ms=agreed.drain_grace // 10,
            bare_ms=agreed.unassigned_limit // 10,
            lines_each_second=agreed.entries_per_second,
            lines_most=agreed.queue_limit,
            message_head=agreed.message_overhead,
            messages_most=agreed.message_limit,
            slowest_message_ms=agreed.max_message_delay // 10,
            proxies=agreed.proxies,
            report_every_ms=agreed.report_interval // 10,
            cold_ms=agreed.slow_start_time // 10,
        )

    def stop(self) -> None:
        self.done.set()

    def let_go(self) -> None:
        """Lets go of all connections: a process that ends need not."""
        self.entry.server.stop(0)
        self.done.set()
        gevent.killall([self.starting] + self.running + self.news.running + self.news.letting_go)
        self.calls.close()
        self.watch.client.close()

    def _broken(self, greenlet: gevent.Greenlet) -> None:
        # Better no director than one that no longer decides: proxies keep their tables or find another. None of
        # these ends by itself, with an exception or without.
        if self.done.is_set():
            return
        self.log.error("broken", cause=repr(greenlet.exception or greenlet))
        self.broken = True
        self.done.set()

    def reload(self, again: int = RELOADS) -> None:
        """A new configuration: whole or not at all. One that can't be read may be half written: it is read again."""
        try:
            discovery, relay = start.reachable(start.read_file(self.assignment.path))
        except start.Senseless as wrong:
            self.log.error("the new configuration is not taken", cause=str(wrong))
            if again > 1:
                gevent.spawn_later(RELOAD_WAIT, self.reload, again - 1)
            return
        if discovery != self.watch.client.address:
            self.watch.moved(discovery)
        if relay != self.calls.address:
            self.calls.moved(relay)
            self.news.moved(relay)
        self.log.info("new configuration", discovery=discovery, relay=relay)

    def _listed(self, entries: list[Any], whole: bool) -> None:
        self.turns.insist("listed", entries, whole, True)
        self.new_list = True
        self.fresh.set()

    def _unbound(self, proxy: int) -> None:
        # Nearly always it has left, and the news of it is on its way.
        gevent.spawn_later(REFUSED, self._unbound_still, proxy, self.streams.last)

    def _unbound_still(self, proxy: int, word: int) -> None:
        if proxy in self.streams.bound and self.streams.told(proxy) <= word:
            self.strayed(proxy)

    def _heard(self, host: bytes, took: int) -> None:
        grace = self.assignment.service.drain_grace
        self.log.info(
            "drain heard",
            host=host.decode(),
            ms=took // 10,
            of_grace=round(took / max(1, grace), 3),
        )

    # what the news tells

    def joined(self, proxy: int, zone: int, rate: float) -> None:
        self.drains.joined(self.turns.clock.now(), proxy)
        self.turns.put("joined", proxy, zone, rate)

    def strayed(self, proxy: int) -> None:
        self.turns.put("strayed", proxy)

    def left(self, proxy: int) -> None:
        self.outbox.left(proxy)
        self.reports.forget(proxy)
        self.drains.left(proxy)
        self.turns.put("left", proxy)

    def applied(self, proxy: int, nonce: int, latency: float) -> None:
        self.calls.applied(nonce)
        if (mark := self.outbox.marks.get(nonce)) is not None:
            self.confirmed.add(proxy)
            self.turns.put("applied", proxy, mark)

    # the exit of the turns

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        self.outbox.line(table, host, weight)
        if not weight and explain.leaves(self.turns.decisions, host):
            self.log.info("drain", host=host.decode(), table=table)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        if proxy in self.streams.standing:
            self.outbox.assign(proxy, table, classes)
            self.streams.bound.add(proxy)
            self.drains.bound(self.turns.at, proxy)

    def withdraw(self, host: bytes, out: bool) -> None:
        self.outbox.withdraw(host, out)
        what = "withdraw" if out else "return"
        self.log.info(
            what,
            host=host.decode(),
            **explain.withdrawal(self.turns.decisions, host, self.turns.at),
        )

    def admit(self, classes: int, level: float, tries: int) -> None:
        self.outbox.admit(classes, level, tries)
        why = explain.admission(self.turns.decisions)
        self.log.info("admit", classes=classes, share=round(level, 3), tries=tries, **why)

    def health_check(self, host: bytes) -> None: ...  # no probes are to be had here

    def request_confirmation(self, version: int) -> None:
        self.outbox.marked(version)

    def watch_hosts(self) -> None: ...  # it is watched all the time

    def forget(self, host: bytes) -> None: ...  # nothing is kept here of who has left

    def look(self, now: int) -> None:
        if now - self.summed >= SUMMARY:
            self.summed = now
            turns, lengths = self.turns, self.turns.lengths
            self.log.info(
                "summary",
                hosts=len(self.hosts.held),
                proxies=len(self.streams.standing),
                orders=len(self.outbox.waiting),
                **explain.channel(turns.decisions, now),
                turns=lengths.get_total_count(),
                turn_ms=lengths.get_value_at_percentile(99) / 1000,
                wait_ms=turns.waits.get_value_at_percentile(99) / 1000,
                call_ms=round(self.calls.longest * 1000, 1),
                stalls=turns.clock.stalls,
                gaps=self.streams.gaps,
                counts=turns.counts,
                **self.drains.summary(now),
            )
            self.calls.longest = 0.0

    def close(self, now: int) -> None:
        fresh = self.new_list and not self.turns.events
        self.drains.turned(now, self.turns.decisions, fresh, self.confirmed)
        self.new_list &= not fresh
        self.confirmed = set()
        if self.outbox.waiting:
            self.calls.stir.set()

    def release(self, now: int) -> float:
        return BEAT


def main() -> int:
    # From the first moment on, a new configuration ends nobody. The loop tells of a signal once it runs: there is a
    # program by then, and the file may have been read before.
    programs: list[Platform] = []
    gevent.signal_handler(signal.SIGHUP, lambda: programs[0].reload())
    try:
        assignment = start.read()
    except start.Senseless as wrong:
        print(f"ironfall serve: {wrong}", file=sys.stderr)
        return 2
    log = Log(assignment.name)
    program = Platform(assignment, log)
    gevent.signal_handler(signal.SIGTERM, program.stop)
    gevent.signal_handler(signal.SIGINT, program.stop)
    programs.append(program)
    try:
        program.start()
    except OSError as cause:
        print(
            f"ironfall serve: can't listen on {':'.join(map(str, assignment.listen))}: {cause}",
            file=sys.stderr,
        )
        return 1
    gc.freeze()  # what was imported stays: no need to look at it each time
    program.done.wait()
    return 1 if program.broken else 0
