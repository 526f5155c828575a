"""The five rules, plainly: slow, with no index and no code of what it checks, to be held against the brief's sentences.

`Rules` is told what the list said, what each turn ordered, who joined, what was sent where and what ran. It keeps a
whole copy of all tables for each version. `broken` is raised with the first thing that is not as it must be.
"""

import json

SECOND = 10_000
MILLION = 1_000_000


class Broken(Exception):
    """The text starts with the rule: bare, twice, drains, cold, queue, or picks."""


class Rules:
    def __init__(self, terms):
        self.terms, self.now = terms, 0
        self.names = {}  # of hosts, by id in hex
        self.tables, self.outs, self.admits = {}, set(), {}
        self.versions = {0: ({}, set(), {})}  # all of it, as of each
        self.told = []  # every withdrawal and return: version, host, out
        self.sessions = {}  # by number: [name, joined at version, binds as (version, class, table), kept]
        self.waiting = []  # of the channel: lines, when it leaves, the proxy's name
        self.free, self.most = 0.0, 0.0
        self.listed = {}  # host: [(when, state, started)]
        self.joined = {}  # proxy: since when it is in touch
        self.bare = {}  # proxy and class: since when without a line
        self.came = {}  # host and start: times
        self.ran = {}  # exchange: times and hosts

    # what happens

    def list(self, now, hosts):
        """A whole list as the director was told it: host to (state, started)."""
        for host in set(self.listed) - set(hosts):
            if self.listed[host][-1][1] != "gone":
                self.listed[host].append((now, "gone", 0))
        for host, (state, started) in hosts.items():
            self.listed.setdefault(host, []).append((now, state, started))

    def join(self, number, name, version, kept, now):
        """`kept`: by class what it held before, a table and the hosts withdrawn from it."""
        self.sessions[number] = [name, version, [], kept]
        self.joined[name] = now

    def out_of_touch(self, name):
        self.joined.pop(name, None)
        for key in [key for key in self.bare if key[0] == name]:
            del self.bare[key]

    def end(self, number):
        self.sessions.pop(number, None)

    def turn(self, text, version):
        """One recorded turn."""
        turn = json.loads(text)
        now = turn.get("now", 0)
        lines, everybody, binds, mark = {}, set(), [], 0
        for what, *about in turn["orders"]:
            if what == "set_line":
                table, host, weight = about[0], self.names[about[1]], about[2]
                self.tables.setdefault(table, {})[host] = (
                    max(1, round(weight * MILLION)) if weight > 0 else 0
                )
                lines.setdefault(table, set()).add(host)
            elif what == "withdraw":
                host, out = self.names[about[0]], about[1]
                self.outs = self.outs | {host} if out else self.outs - {host}
                self.told.append((version, host, out))
                everybody.add(host)
            elif what == "admit":
                for kind in range(len(self.terms.classes)):
                    if about[0] == 0 or about[0] >> kind & 1:
                        self.admits[kind] = (about[1], about[2])
                        everybody.add(kind)
            elif what == "bind":
                binds.append(about)
            elif what == "mark":
                mark = 1
        fresh = {}
        for number, table, classes in binds:
            for kind in range(len(self.terms.classes)):
                if number in self.sessions and (classes == 0 or classes >> kind & 1):
                    self.sessions[number][2].append((version, kind, table))
                    fresh.setdefault(number, set()).add(table)
        self.versions[version] = (
            {t: dict(rows) for t, rows in self.tables.items()},
            set(self.outs),
            dict(self.admits),
        )
        for number, (name, _, _, _) in self.sessions.items():
            # A message has a head, and a line for each thing that changes at this proxy; a table bound has them all.
            bound = {
                self.bound(number, kind, version) for kind in range(len(self.terms.classes))
            } - {None}
            much = len(everybody) + sum(len(lines.get(table, ())) for table in bound)
            for table in fresh.get(number, ()):
                much += 1 + len([w for w in self.tables.get(table, {}).values() if w])
            if number in fresh:
                much += len(self.outs) + len(self.admits)
            if much:
                much += self.terms.service.message_overhead + mark
                self.free = max(self.free, now) + much * SECOND / self.terms.entries_per_second
                self.waiting.append((much, self.free, name))

    def sent(self, proxy, host, start, now):
        """A joined proxy sends an exchange to a host."""
        self.came.setdefault((host, start), []).append(now)
        if proxy not in self.joined:
            return
        history = [entry for entry in self.listed.get(host, []) if entry[0] <= now]
        if history and history[-1][1] != "ready":
            since = history[-1][0]
            for when, state, _ in reversed(history):
                if state == "ready":
                    break
                since = when
            late = now - max(since, self.joined[proxy])
            if late > self.terms.service.drain_grace:
                raise Broken(f"drains: {proxy} sends to {host} {late / SECOND:.1f}s after it left")

    def took_effect(self, exchange, kind, now):
        self.ran.setdefault(exchange, []).append(now)
        terms = self.terms.service.classes[kind]
        first, again = self.ran[exchange][0], len(self.ran[exchange]) > 1
        if again and (
            terms.idempotency == "never"
            or (terms.idempotency == "keyed" and now - first >= terms.idempotency_key_lifetime)
        ):
            raise Broken(
                f"twice: exchange {exchange} of {self.terms.classes[kind]} took effect again"
            )

    # what must hold

    def bound(self, number, kind, version):
        found = None
        for at, which, table in self.sessions[number][2]:
            if which == kind and at <= version:
                found = table
        return found

    def picks(self, number, kind, version):
        """What a proxy may pick from, by docs/api.md, when it holds a version."""
        name, joined, _, kept = self.sessions[number]
        tables, outs, _ = self.versions[max(v for v in self.versions if v <= version)]
        table = self.bound(number, kind, version)
        if table is not None:
            return {h: w for h, w in tables.get(table, {}).items() if w and h not in outs}
        before, earlier = dict(kept[kind][0]), set(kept[kind][1])
        mine = set()
        for at, host, out in self.told:
            if joined < at <= version:
                mine = mine | {host} if out else mine - {host}
                earlier = earlier if out else earlier - {host}
        if any(self.bound(number, k, version) is not None for k in range(len(kept))):
            mine = outs  # bound for another class, it has been told of all that stand
        told = {h: w for h, w in before.items() if h not in mine}
        return {h: w for h, w in told.items() if h not in earlier} or told

    def holds(self, number, kind, version, real):
        wanted = self.picks(number, kind, version)
        if wanted != real:
            raise Broken(
                f"picks: {self.sessions[number][0]} at {version} picks class {kind} from {real}, not {wanted}"
            )

    def step(self, now, lines, capacity):
        """`lines`: by joined proxy and class how many; `capacity` of a host at a time, cold or warm, a second."""
        service = self.terms.service
        # A proxy is without a host only while one is listed that is ready and warm.
        warm = any(
            told[-1][1] == "ready" and now - told[-1][2] >= service.slow_start_time
            for told in self.listed.values()
        )
        for key, many in lines.items():
            if many or not warm or key[0] not in self.joined:
                self.bare.pop(key, None)
            elif now - self.bare.setdefault(key, now) > service.unassigned_limit:
                since = (now - self.bare[key]) / SECOND
                raise Broken(f"bare: {key[0]} has had no host for class {key[1]} for {since:.1f}s")
        for (host, start), times in self.came.items():
            late = [t for t in times if now - self.terms.fall_time < t <= now]
            able = capacity(host, start, now) * self.terms.fall_time / SECOND
            if len(late) > self.terms.fall_multiple * able:
                raise Broken(
                    f"cold: {host} of start {start} is sent {len(late)} where it can do {able:.1f}"
                )
        waits = sum(much for much, leaves, _ in self.waiting if leaves > now)
        self.most = max(self.most, waits)
        if waits > service.queue_limit:
            raise Broken(f"queue: {waits:.0f} lines wait, {service.queue_limit:.0f} may")
        for name in {name for _, _, name in self.waiting}:
            left = [
                at
                for _, at, who in self.waiting
                if who == name and now - service.message_window < at <= now
            ]
            if service.message_limit and len(left) > service.message_limit:
                raise Broken(
                    f"queue: {name} is written {len(left)} messages, {service.message_limit} may be"
                )
        return waits
