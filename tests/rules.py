"""A plain model of the rules that a director, its publication and the proxies must keep: every proxy has hosts, no
request takes effect twice, drains end in time, cold hosts aren't overloaded, the channel's limits hold, and proxies pick
from their tables. It is simple rather than fast and shares no code with what it checks, so that it is easy to verify.

`Rules` receives the endpoint lists, the orders of each batch, the proxies that join, the attempts that they send, and
the requests that take effect. It keeps a complete copy of all tables for each version. The first violation of a rule
raises `Broken`.
"""

import json

SECOND = 10_000
MILLION = 1_000_000


class Broken(Exception):
    """A violated rule; the text starts with its name: bare, twice, drains, cold, queue, or picks."""


class Rules:
    def __init__(self, terms):
        self.terms, self.now = terms, 0
        self.names = {}  # names of hosts, by address in hex
        self.tables, self.withdrawn, self.admission = {}, set(), {}
        self.versions = {
            0: ({}, set(), {})
        }  # by version, a copy of the tables, the withdrawn hosts and the admission
        self.withdrawal_changes = []  # every withdrawal and its end: (version, host, whether it is withdrawn)
        self.sessions = {}  # by number: [proxy, version at joining, assignments (version, class, table), initial state]
        self.queued = []  # messages in the channel: (entries, when it is sent, proxy)
        self.channel_free_at, self.max_backlog = 0.0, 0.0
        self.list_history = {}  # by host: [(time, state, start)]
        self.connected_since = {}  # by proxy, since when it is connected
        self.without_host_since = {}  # by proxy and class, since when it has had no host
        self.attempt_times = {}  # by host and its start, the times of attempts
        self.effects = {}  # by request, the times at which it took effect

    # Events.

    def on_list(self, now, hosts):
        """Records a complete endpoint list as the director received it; `hosts` maps each to (state, start)."""
        for host in set(self.list_history) - set(hosts):
            if self.list_history[host][-1][1] != "gone":
                self.list_history[host].append((now, "gone", 0))
        for host, (state, started) in hosts.items():
            self.list_history.setdefault(host, []).append((now, state, started))

    def on_join(self, number, name, version, initial_state, now):
        """Records that a proxy joined; `initial_state` has the table and withdrawn hosts that it held before, by class."""
        self.sessions[number] = [name, version, [], initial_state]
        self.connected_since[name] = now

    def on_unreachable(self, name):
        self.connected_since.pop(name, None)
        for key in [key for key in self.without_host_since if key[0] == name]:
            del self.without_host_since[key]

    def on_session_end(self, number):
        self.sessions.pop(number, None)

    def on_batch(self, text, version):
        """Applies the orders of one recorded batch."""
        batch = json.loads(text)
        now = batch.get("now", 0)
        changed_entries, changes_for_all, assignments, confirmation = {}, set(), [], 0
        for order, *arguments in batch["orders"]:
            if order == "set_line":
                table, host, weight = arguments[0], self.names[arguments[1]], arguments[2]
                self.tables.setdefault(table, {})[host] = (
                    max(1, round(weight * MILLION)) if weight > 0 else 0
                )
                changed_entries.setdefault(table, set()).add(host)
            elif order == "withdraw":
                host, is_withdrawn = self.names[arguments[0]], arguments[1]
                self.withdrawn = (
                    self.withdrawn | {host} if is_withdrawn else self.withdrawn - {host}
                )
                self.withdrawal_changes.append((version, host, is_withdrawn))
                changes_for_all.add(host)
            elif order == "admit":
                for class_index in range(len(self.terms.classes)):
                    if arguments[0] == 0 or arguments[0] >> class_index & 1:
                        self.admission[class_index] = (arguments[1], arguments[2])
                        changes_for_all.add(class_index)
            elif order == "bind":
                assignments.append(arguments)
            elif order == "mark":
                confirmation = 1
        new_tables = {}
        for number, table, classes in assignments:
            for class_index in range(len(self.terms.classes)):
                if number in self.sessions and (classes == 0 or classes >> class_index & 1):
                    self.sessions[number][2].append((version, class_index, table))
                    new_tables.setdefault(number, set()).add(table)
        self.versions[version] = (
            {t: dict(weights) for t, weights in self.tables.items()},
            set(self.withdrawn),
            dict(self.admission),
        )
        for number, (name, _, _, _) in self.sessions.items():
            # A message has an overhead and an entry for each change at this proxy; a newly assigned table is sent whole.
            tables = {
                self.assigned_table(number, class_index, version)
                for class_index in range(len(self.terms.classes))
            } - {None}
            entries = len(changes_for_all) + sum(
                len(changed_entries.get(table, ())) for table in tables
            )
            for table in new_tables.get(number, ()):
                entries += 1 + len([w for w in self.tables.get(table, {}).values() if w])
            if number in new_tables:
                entries += len(self.withdrawn) + len(self.admission)
            if entries:
                entries += self.terms.service.message_overhead + confirmation
                self.channel_free_at = (
                    max(self.channel_free_at, now)
                    + entries * SECOND / self.terms.entries_per_second
                )
                self.queued.append((entries, self.channel_free_at, name))

    def on_attempt(self, proxy, host, start, now):
        """Checks an attempt that a proxy sends to a host."""
        self.attempt_times.setdefault((host, start), []).append(now)
        if proxy not in self.connected_since:
            return
        history = [entry for entry in self.list_history.get(host, []) if entry[0] <= now]
        if history and history[-1][1] != "ready":
            since = history[-1][0]
            for listed_at, state, _ in reversed(history):
                if state == "ready":
                    break
                since = listed_at
            overdue = now - max(since, self.connected_since[proxy])
            if overdue > self.terms.service.drain_grace:
                raise Broken(
                    f"drains: {proxy} sends to {host} {overdue / SECOND:.1f}s after it was no longer ready"
                )

    def on_effect(self, request, class_index, now):
        self.effects.setdefault(request, []).append(now)
        request_class = self.terms.service.classes[class_index]
        first, is_repeated = self.effects[request][0], len(self.effects[request]) > 1
        if is_repeated and (
            request_class.idempotency == "never"
            or (
                request_class.idempotency == "keyed"
                and now - first >= request_class.idempotency_key_lifetime
            )
        ):
            raise Broken(
                f"twice: request {request} of {self.terms.classes[class_index]} took effect again"
            )

    # Checks.

    def assigned_table(self, number, class_index, version):
        assigned = None
        for assigned_at, assigned_class, table in self.sessions[number][2]:
            if assigned_class == class_index and assigned_at <= version:
                assigned = table
        return assigned

    def expected_weights(self, number, class_index, version):
        """Returns the weights of the hosts that a proxy at a version may pick from, as docs/api.md defines them."""
        name, joined, _, initial_state = self.sessions[number]
        tables, all_withdrawn, _ = self.versions[max(v for v in self.versions if v <= version)]
        table = self.assigned_table(number, class_index, version)
        if table is not None:
            return {h: w for h, w in tables.get(table, {}).items() if w and h not in all_withdrawn}
        initial_weights, initially_withdrawn = (
            dict(initial_state[class_index][0]),
            set(initial_state[class_index][1]),
        )
        withdrawn = set()
        for changed_at, host, is_withdrawn in self.withdrawal_changes:
            if joined < changed_at <= version:
                withdrawn = withdrawn | {host} if is_withdrawn else withdrawn - {host}
                initially_withdrawn = (
                    initially_withdrawn if is_withdrawn else initially_withdrawn - {host}
                )
        if any(
            self.assigned_table(number, k, version) is not None for k in range(len(initial_state))
        ):
            withdrawn = all_withdrawn  # assigned for another class, it has received all withdrawals in force
        remaining = {h: w for h, w in initial_weights.items() if h not in withdrawn}
        return {h: w for h, w in remaining.items() if h not in initially_withdrawn} or remaining

    def check_tables(self, number, class_index, version, actual):
        expected = self.expected_weights(number, class_index, version)
        if expected != actual:
            raise Broken(
                f"picks: {self.sessions[number][0]} at version {version} picks class {class_index} from {actual}, not {expected}"
            )

    def check(self, now, entry_counts, capacity):
        """Checks that no proxy lacks hosts, no cold host is overloaded and the channel is within its limits.

        Returns the number of queued entries.

        Args:
            now: The current time.
            entry_counts: By joined proxy and class, the number of entries in its table.
            capacity: Function of a host, its start and a time; returns the requests per second that it can serve then.
        """
        service = self.terms.service
        # A proxy may be without a host while no listed host is ready and warm.
        warm = any(
            history[-1][1] == "ready" and now - history[-1][2] >= service.slow_start_time
            for history in self.list_history.values()
        )
        for key, count in entry_counts.items():
            if count or not warm or key[0] not in self.connected_since:
                self.without_host_since.pop(key, None)
            elif now - self.without_host_since.setdefault(key, now) > service.unassigned_limit:
                since = (now - self.without_host_since[key]) / SECOND
                raise Broken(f"bare: {key[0]} has had no host for class {key[1]} for {since:.1f}s")
        for (host, start), times in self.attempt_times.items():
            recent = [t for t in times if now - self.terms.fall_time < t <= now]
            servable = capacity(host, start, now) * self.terms.fall_time / SECOND
            if len(recent) > self.terms.fall_multiple * servable:
                raise Broken(
                    f"cold: start {start} of {host} was sent {len(recent)} requests in {self.terms.fall_time / SECOND:.1f}s but can serve {servable:.1f}"
                )
        backlog = sum(entries for entries, sent_at, _ in self.queued if sent_at > now)
        self.max_backlog = max(self.max_backlog, backlog)
        if backlog > service.queue_limit:
            raise Broken(
                f"queue: {backlog:.0f} entries are queued, the limit is {service.queue_limit:.0f}"
            )
        for name in {name for _, _, name in self.queued}:
            sent = [
                sent_at
                for _, sent_at, proxy in self.queued
                if proxy == name and now - service.message_window < sent_at <= now
            ]
            if service.message_limit and len(sent) > service.message_limit:
                raise Broken(
                    f"queue: {name} was sent {len(sent)} messages within a window, the limit is {service.message_limit}"
                )
        return backlog
