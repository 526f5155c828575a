"""The decision engine at fleet size, with a model of the platform's channel and of its proxies.

Entries, messages and withdrawals cost what the platform's pages say, and a proxy holds what has
reached it. There are no sockets; the engine is the real one.
"""

import random
from collections import deque
from dataclasses import dataclass

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost, RequestClass, ServiceSettings
from ironfall.decisions.time_units import SECOND

# The step of the model.
TICK = SECOND // 20
NO_VERSION = -1


def terms(**other):
    """Returns the settings of a fleet of 1,500 proxies, with some fields changed."""
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
        "admits_by_share": True,
        "health_checks_allowed": False,
        "health_check_price": 0.0,
        "cross_zone_price": 0.01,
        "gauges": ("q", "lat_ms"),
        "notifies_all_proxies": False,
        "entries_per_second": 4_500.0,
    }
    return ServiceSettings(**{**usual, **other})


def names(prefix, count):
    """Returns the addresses of hosts; the number at the end gives the zone."""
    return [b"%s-%04d" % (prefix, n) for n in range(count)]


@dataclass
class Message:
    """A message in the channel.

    `picks` are the hosts that the proxy may send requests to, once it has the message.
    """

    proxy: int
    entries_left: float
    version: int
    is_assigned: bool
    picks: frozenset


class Fleet:
    """Takes the engine's orders into a channel of so many entries a second.

    Proxies confirm what has reached them.
    """

    def __init__(self, service, pace=4_500, seed=1):
        self.service = service
        self.pace = pace / SECOND
        self.now = 100 * SECOND
        self.timers = []
        # What is ordered now: by proxy the entries of its message, and the version to confirm.
        self.pending = {}
        self.pending_version = NO_VERSION
        self.channel = deque()
        # What was ordered: tables by number, withdrawn hosts, classes with an admitted share, and
        # the table of each proxy.
        self.tables = {}
        self.outs = set()
        self.levels = set()
        self.bound = {}
        # By proxy: when it joined, what it came with, when it was written to, after how long it
        # was assigned, and the hosts that it may send requests to.
        self.joined_at = {}
        self.came_with = {}
        self.message_times = {}
        self.bound_after = {}
        self.picks = {}
        # By host: when it was listed as draining, and after how long the last proxy let go of it.
        self.drained_at = {}
        self.drain_times = {}
        # Proxies and hosts that they may send requests to after the grace.
        self.late = set()
        self.most_waiting = 0.0
        self.most_written = 0
        self.director = DecisionEngine(self, service, random.Random(seed), self.now)

    # Orders of the engine.

    def set_weight(self, table, host, weight):
        entries = self.tables.setdefault(table, {})
        for proxy in [p for p, t in self.bound.items() if t == table]:
            self._write(proxy, 1)
        entries[host] = weight
        if not weight:
            del entries[host]

    def assign(self, proxy, table, classes):
        entries = self.tables.get(table, {})
        self.came_with.pop(proxy, None)
        self.bound[proxy] = table
        withdrawn = self.outs & entries.keys()
        self._write(proxy, 1 + len(entries) + len(self.levels) + len(withdrawn))

    def withdraw(self, host, is_withdrawn):
        if is_withdrawn:
            self.outs.add(host)
        else:
            self.outs.discard(host)
        for proxy in self.joined_at:
            if host in self.named_hosts(proxy):
                self._write(proxy, 1)

    def admit(self, classes, admitted_share, attempts):
        self.levels.add(classes)
        for proxy in self.joined_at:
            self._write(proxy, 1)

    def request_confirmation(self, version):
        self.pending_version = version

    def health_check(self, host): ...
    def watch_hosts(self): ...
    def forget(self, host): ...

    def set_timer(self, delay, token):
        self.timers.append((self.now + delay, token))

    def _write(self, proxy, entries):
        self.pending[proxy] = self.pending.get(proxy, 0) + entries

    # Events.

    def join(self, proxy, holds=()):
        """A proxy joins, with a table of some hosts."""
        self.joined_at[proxy] = self.now
        self.came_with[proxy] = frozenset(holds)
        self.picks[proxy] = self.came_with[proxy]
        self.director.on_proxy_joined(self.now, proxy, proxy % self.service.zones, 1.0)

    def list(self, ready, draining=(), fresh=True):
        """The endpoint list changes."""
        entries = [self._listed(host, True) for host in ready]
        entries += [self._listed(host, False) for host in draining]
        for host in draining:
            self.drained_at.setdefault(host, self.now)
        self.director.on_host_list(self.now, entries, False, fresh)

    def _listed(self, host, is_ready):
        return ListedHost(host, int(host[-4:]) % self.service.zones, is_ready, 1.0, 0)

    def close(self):
        """Sends what was ordered: one message to each proxy concerned."""
        picks = {}
        if self.pending:
            picks = {table: frozenset(hosts) - self.outs for table, hosts in self.tables.items()}
        version = self.pending_version
        for proxy, entries in self.pending.items():
            is_assigned = proxy in self.bound
            if is_assigned:
                now_picks = picks[self.bound[proxy]]
            else:
                now_picks = self.came_with[proxy] - self.outs
            entries += self.service.message_overhead + (version != NO_VERSION)
            self.channel.append(Message(proxy, entries, version, is_assigned, now_picks))
            self._count_message(proxy)
        self.pending = {}
        self.pending_version = NO_VERSION
        waiting = sum(message.entries_left for message in self.channel)
        self.most_waiting = max(self.most_waiting, waiting)

    def _count_message(self, proxy):
        times = self.message_times.setdefault(proxy, deque())
        times.append(self.now)
        while self.now - times[0] > self.service.message_window:
            times.popleft()
        self.most_written = max(self.most_written, len(times))

    def run(self, seconds):
        """Lets time pass: messages arrive, and timers end."""
        for _ in range(round(seconds * SECOND / TICK)):
            self.now += TICK
            self._drain_channel()
            due = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            for _, token in due:
                self.director.on_timer(self.now, token)
            self.close()
            self._find_late_picks()

    def _drain_channel(self):
        left = self.pace * TICK
        while self.channel and left > 0:
            message = self.channel[0]
            sent = min(left, message.entries_left)
            message.entries_left -= sent
            left -= sent
            if message.entries_left <= 0:
                self.channel.popleft()
                self._on_arrival(message)

    def _on_arrival(self, message):
        proxy = message.proxy
        for host in (self.picks[proxy] - message.picks) & self.drained_at.keys():
            took = self.now - max(self.drained_at[host], self.joined_at[proxy])
            self.drain_times[host] = max(took, self.drain_times.get(host, 0))
        self.picks[proxy] = message.picks
        if message.is_assigned:
            self.bound_after.setdefault(proxy, self.now - self.joined_at[proxy])
        if message.version != NO_VERSION:
            self.director.on_version_applied(self.now, proxy, message.version)

    def _find_late_picks(self):
        grace = self.service.drain_grace
        overdue = {host for host, at in self.drained_at.items() if self.now > at + grace}
        if not overdue:
            return
        for proxy, picks in self.picks.items():
            if self.now > self.joined_at[proxy] + grace:
                self.late |= {(proxy, host) for host in picks & overdue}

    # What proxies have.

    def named_hosts(self, proxy):
        """Returns the hosts that a proxy's table names, or those that it came with."""
        if proxy in self.bound:
            return self.tables.get(self.bound[proxy], {})
        return self.came_with[proxy]

    def unbound(self):
        """Returns the proxies that no assignment has reached."""
        return [proxy for proxy in self.joined_at if proxy not in self.bound_after]
