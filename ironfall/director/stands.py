"""What a director stands for, in the words that keepers are told each second, from its own records. Pure.

Hosts go by their names alone here, as at the keepers: an address may be another's tomorrow.
"""

from collections.abc import Collection, Iterator
from typing import Any

from ironfall.director.channel import Channel
from ironfall.director.sessions import Session, Sessions
from ironfall.publication import MILLION, Publication
from ironfall.publication.publisher import View

PORTION = 256  # sessions looked at in one go, fewer where hosts drain, so that a turn never waits for more


class Marks:
    """Of each host the newest token that the list showed, and whether it stands there as marked, not to be used."""

    def __init__(self) -> None:
        self.newest: dict[
            str, tuple[int, bool, int]
        ] = {}  # by name: token, whether marked, since when

    def listed(self, now: int, rows: Any, whole: bool) -> None:
        """The list's rows, which the roster has read without a fault. Those without a token are nobody's order."""
        named = set()
        for row in (one for one in rows if isinstance(one, dict)):
            name, token, state = str(row.get("name")), row.get("token", 0), row.get("state")
            named.add(name)
            before, marked, since = self.newest.get(name, (0, False, now))
            if type(token) is not int or not max(1, before) <= token < 1 << 53:
                continue  # told late: a newer order was heard of
            # Of one that is gone nobody says that it is to be used again.
            leaves = state == "draining" or state == "gone" and marked and token == before
            self.newest[name] = (
                token,
                leaves,
                since if leaves and marked and token == before else now,
            )
        if whole:
            self.newest = {name: held for name, held in self.newest.items() if name in named}

    def leaving(self) -> dict[str, tuple[int, int]]:
        """Token and since when, by name."""
        return {
            name: (token, since) for name, (token, leaves, since) in self.newest.items() if leaves
        }


class Stands:
    """`look` goes over the sessions in portions; what it found is `word`."""

    def __init__(
        self,
        publication: Publication,
        sessions: Sessions,
        channel: Channel,
        classes: int,
        queue: float,
        unassigned_limit: int,
        grace: int,
    ) -> None:
        self.publication, self.sessions, self.channel, self.classes = (
            publication,
            sessions,
            channel,
            classes,
        )
        self.queue, self.unassigned_limit, self.grace = queue, unassigned_limit, grace
        self.marks = Marks()
        self.came, self.lost = [0] * classes, 0  # since the last word
        self.bare_since: dict[str, int] = {}  # by token of the session
        self.changed: dict[
            str, int
        ] = {}  # of marked hosts, by id: the version that last changed what is held of it
        self.looked = 0
        self.word: dict[str, Any] = {}

    def arrived(self, kind: int, came: int, lost: int) -> None:
        self.came[kind] += came
        self.lost += lost

    def look(self, now: int, ids: Collection[str], silent: Collection[str]) -> Iterator[None]:
        """`ids`: all hosts that are or were listed, each `NAME@ADDRESS`; `silent`: those out for it, by its evidence.

        Each step is short. Who joins in the middle is seen the next time, a second later, and until then the word
        says of its proxies what was so when it began.
        """
        leaving = self.marks.leaving()
        marked: dict[str, list[str]] = {name: [] for name in leaving}
        for host in ids:
            if (name := host.partition("@")[0]) in marked:
                marked[name].append(host)
        self._follow([host for hosts in marked.values() for host in hosts])
        clear = {
            name: not any(self._holds(host) for host in hosts) for name, hosts in marked.items()
        }
        lines = {
            table: any(h not in self.publication.outs for h in held)
            for table, held in self.publication.tables.items()
        }
        bare: dict[str, int] = {}
        worst = self.channel.backlog / self.queue if self.queue else 0.0
        sessions, portion = (
            list(self.sessions.by_token.values()),
            max(1, PORTION // (1 + len(marked))),
        )
        for n, session in enumerate(sessions):
            if n % portion == portion - 1:
                yield
            view = self.publication.views.get(session.number)
            if view is None or self.sessions.by_token.get(session.token) is not session:
                continue  # left meanwhile
            binds = view.binds(session.confirmed)
            if len(binds) < self.classes or not all(lines.get(table) for table in binds.values()):
                since = bare[session.token] = self.bare_since.get(session.token, now)
                worst = max(
                    worst, (now - since) / self.unassigned_limit if session.held_polls else 0.0
                )
            for name, hosts in marked.items():
                if all(self._rid(session, view, host, len(binds)) for host in hosts):
                    continue
                clear[name] = False
                # One that polls could have been told: the rule's time runs.
                worst = max(
                    worst, (now - leaving[name][1]) / self.grace if session.held_polls else 0.0
                )
        for host in self._since(self.looked):
            if (name := host.partition("@")[0]) in clear:
                clear[name] = False  # it was ordered otherwise while this looked
        self.bare_since = bare
        self.word = {
            "proxies": len(sessions),
            "binding": self._binding(),
            "waiting": round(self.channel.backlog),
            "bare": len(bare),
            **self._shares(),
            "near": min(100 * MILLION, round(worst * MILLION)),
            "drained": {name: token for name, (token, _) in sorted(leaving.items()) if clear[name]},
            "silent": sorted({host.partition("@")[0] for host in silent}),
        }

    def _follow(self, hosts: list[str]) -> None:
        """Bring `changed` up to now, from what the history got since the last look."""
        published, wanted = self.publication, set(hosts)
        held = {host: self.changed.get(host, 0) for host in hosts}
        fresh = wanted - set(self.changed)
        for version, (kind, _, name), _, _ in reversed(published.log):
            if not fresh and version <= self.looked:
                break
            if name in wanted and (kind == "out" or kind == "line" and name not in published.outs):
                held[name] = max(held[name], version)
        for kind, _, name in published.fresh:
            if name in wanted and kind != "admit":
                held[name] = published.version + 1
        # What the history no longer has was changed at its base at the latest.
        lost = wanted if self.looked < published.base else fresh
        self.changed = {
            host: max(version, published.base) if host in lost else version
            for host, version in held.items()
        }
        self.looked = published.version

    def _since(self, version: int) -> Iterator[str]:
        """Hosts of which anything changed after a version."""
        for at, (kind, _, name), _, _ in reversed(self.publication.log):
            if at <= version:
                break
            if kind != "admit":
                yield name
        yield from (name for kind, _, name in self.publication.fresh if kind != "admit")

    def _holds(self, host: str) -> bool:
        """Whether any table, as published, has it to be picked."""
        return host not in self.publication.outs and any(
            host in held for held in self.publication.tables.values()
        )

    def _rid(self, session: Session, view: View, host: str, bound: int) -> bool:
        """Whether this proxy has confirmed tables in which the host can't be picked, and keeps none of before."""
        changed = self.changed[host]
        if session.confirmed < changed:
            return False
        # Bound once, it follows all that stands; not bound, it was told what changed since it joined and picks from
        # what it came with.
        return (
            bound == self.classes
            or host in self.publication.outs
            and (bound > 0 or changed > view.since)
        )

    def _binding(self) -> int:
        """The lines of a whole binding, at most: a table for each class, the longest ones."""
        tables = sorted(map(len, self.publication.tables.values()), reverse=True)[: self.classes]
        return (
            sum(tables) + self.classes + len(self.publication.outs) + len(self.publication.admits)
        )

    def _shares(self) -> dict[str, int]:
        """Refused by its own levels, and fulfilled, of what came since the last word; nothing came: all is well."""
        came = sum(self.came)
        levels = [
            self.publication.admits.get(kind, (MILLION, 0))[0] for kind in range(self.classes)
        ]
        refused = sum(
            n * (MILLION - level) for n, level in zip(self.came, levels, strict=True)
        ) // max(1, came)
        failed = MILLION * min(self.lost, came) // max(1, came)
        self.came, self.lost = [0] * self.classes, 0
        return {"refused": refused, "fulfilled": max(0, MILLION - refused - failed)}
