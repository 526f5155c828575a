"""A director's decisions at fleet size, without sockets: a model of the platform's channel and of its proxies.

Lines, heads and withdrawals cost what the platform's pages say; what a proxy holds follows from what reached it.
Pure but for the decisions themselves, which are the real ones.
"""

import random
from collections import deque

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost, RequestClass, ServiceSettings

SECOND = 10_000
TICK = 500


def terms(**other):
    classes = (
        RequestClass(8_000, 20_000, 1.0, "always", "", 0),
        RequestClass(10_000, 30_000, 2.0, "never", "", 0),
    )
    usual = {
        "zones": 2,
        "classes": classes,
        "requests_host_list": False,
        "drain_grace": 9 * SECOND,
        "slow_start_time": 17 * SECOND,
        "slow_start_share": 0.17,
        "unassigned_limit": 17 * SECOND,
        "queue_limit": 36_000.0,
        "message_overhead": 6.0,
        "message_limit": 20,
        "message_window": 10 * SECOND,
        "max_message_delay": SECOND // 2,
        "report_interval": 2 * SECOND,
        "proxies": 1_500,
        "admits": True,
        "health_checks_allowed": False,
        "health_check_price": 0.0,
        "cross_zone_price": 0.01,
        "gauges": ("q", "lat_ms"),
        "notifies_all_proxies": False,
        "entries_per_second": 4_500.0,
    }
    return ServiceSettings(**{**usual, **other})


def names(what, count):
    return [b"%s-%04d" % (what, n) for n in range(count)]


class Fleet:
    """`Orders` into a channel of so many lines a second; proxies confirm what has reached them."""

    def __init__(self, service, pace=4_500, seed=1):
        self.service, self.pace, self.now = service, pace / SECOND, 100 * SECOND
        self.timers, self.turn = [], {}
        self.channel = deque()  # proxy, lines left to send, marks
        self.tables, self.outs, self.levels = {}, set(), set()
        self.bound, self.came_with, self.written = {}, {}, {}
        self.picks = {}  # by proxy, the hosts that it may pick
        self.most_waiting, self.most_written, self.mark_now = 0.0, 0, -1
        self.told = {}  # by host, when it was told to drain
        self.heard = {}  # by host, after how long the last proxy let go of it
        self.late = set()  # proxies with a host that they pick after the grace
        self.bound_after = {}
        self.joined_at = {}
        self.director = DecisionEngine(self, service, random.Random(seed), self.now)

    # Orders

    def set_weight(self, table, host, weight):
        lines = self.tables.setdefault(table, {})
        for proxy in [p for p, t in self.bound.items() if t == table]:
            self._write(proxy, 1)
        lines[host] = weight
        if not weight:
            del lines[host]

    def assign(self, proxy, table, classes):
        held = self.tables.get(table, {})
        self.came_with.pop(proxy, None)
        self.bound[proxy] = table
        self._write(proxy, 1 + len(held) + len(self.levels) + len(self.outs & held.keys()))

    def withdraw(self, host, out):
        (self.outs.add if out else self.outs.discard)(host)
        for proxy in self.joined_at:
            if host in self._holds(proxy):
                self._write(proxy, 1)

    def admit(self, classes, level, tries):
        self.levels.add(classes)
        for proxy in self.joined_at:
            self._write(proxy, 1)

    def request_confirmation(self, version):
        self.mark_now = version

    def health_check(self, host): ...
    def watch_hosts(self): ...
    def forget(self, host): ...

    def set_timer(self, delay, token):
        self.timers.append((self.now + delay, token))

    # what happens

    def _holds(self, proxy):
        return (
            self.tables.get(self.bound[proxy], {}) if proxy in self.bound else self.came_with[proxy]
        )

    def _write(self, proxy, lines):
        self.turn[proxy] = self.turn.get(proxy, 0) + lines

    def close(self):
        """The end of a turn: one message for each proxy concerned."""
        picks = (
            {table: frozenset(lines) - self.outs for table, lines in self.tables.items()}
            if self.turn
            else {}
        )
        for proxy, lines in self.turn.items():
            mark, bound = self.mark_now, proxy in self.bound
            now_picks = picks[self.bound[proxy]] if bound else self.came_with[proxy] - self.outs
            lines += self.service.message_overhead + (mark >= 0)
            self.channel.append([proxy, lines, mark, bound, now_picks])
            times = self.written.setdefault(proxy, deque())
            times.append(self.now)
            while self.now - times[0] > self.service.message_window:
                times.popleft()
            self.most_written = max(self.most_written, len(times))
        self.turn, self.mark_now = {}, -1
        self.most_waiting = max(self.most_waiting, sum(m[1] for m in self.channel))

    def join(self, proxy, holds=()):
        self.joined_at[proxy], self.came_with[proxy] = self.now, frozenset(holds)
        self.picks[proxy] = self.came_with[proxy]
        self.director.on_proxy_joined(self.now, proxy, proxy % self.service.zones, 1.0)

    def list(self, ready, draining=(), fresh=True):
        zones = self.service.zones
        entries = [ListedHost(h, int(h[-4:]) % zones, True, 1.0, 0) for h in ready]
        entries += [ListedHost(h, int(h[-4:]) % zones, False, 1.0, 0) for h in draining]
        for host in draining:
            self.told.setdefault(host, self.now)
        self.director.on_host_list(self.now, entries, False, fresh)

    def run(self, seconds):
        for _ in range(round(seconds * SECOND / TICK)):
            self.now += TICK
            room = self.pace * TICK
            while self.channel and room > 0:
                message = self.channel[0]
                sent = min(room, message[1])
                message[1] -= sent
                room -= sent
                if message[1] <= 0:
                    self.channel.popleft()
                    self._reached(*message)
            due = [t for t in self.timers if t[0] <= self.now]
            self.timers = [t for t in self.timers if t[0] > self.now]
            for _, token in due:
                self.director.on_timer(self.now, token)
            self.close()
            self._judge()

    def _judge(self):
        grace = self.service.drain_grace
        overdue = {host for host, told in self.told.items() if self.now > told + grace}
        for proxy, picks in self.picks.items() if overdue else ():
            if self.now > self.joined_at[proxy] + grace:
                self.late |= {(proxy, host) for host in picks & overdue}

    def _reached(self, proxy, _lines, mark, bound, picks):
        for host in (self.picks[proxy] - picks) & self.told.keys():
            took = self.now - max(self.told[host], self.joined_at[proxy])
            self.heard[host] = max(took, self.heard.get(host, 0))
        self.picks[proxy] = picks
        if bound:
            self.bound_after.setdefault(proxy, self.now - self.joined_at[proxy])
        if mark >= 0:
            self.director.on_version_applied(self.now, proxy, mark)

    def unbound(self):
        return [p for p in self.joined_at if p not in self.bound_after]
