"""The status that a director reports to the coordinators each second. Does no I/O.

Hosts are identified by name only, as at the coordinators, because an address may later belong to
another host.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ironfall.director.channel import Channel
from ironfall.director.host_list import HostState
from ironfall.director.sessions import Session, Sessions
from ironfall.publication import MILLION, Publication
from ironfall.publication.publisher import View

SESSIONS_PER_STEP = 256
"""Sessions visited per step of an update; fewer if hosts drain, to bound the delay of batches."""

MAX_LIMIT_USE = 100 * MILLION
MAX_TOKEN = 1 << 53
"""Tokens are below this, so that every JSON reader represents them exactly."""


class DrainMarker(NamedTuple):
    """The newest drain order for a host, as shown in the host list.

    Attributes:
        token: The order's fencing token.
        is_draining: Whether the host must not be used.
        since: When the list first showed this state, in ticks.
    """

    token: int
    is_draining: bool
    since: int


class DrainMarkers:
    """The newest drain marker of each host, by host name."""

    def __init__(self) -> None:
        self._newest: dict[str, DrainMarker] = {}

    def on_host_list(self, now: int, rows: Any, is_complete: bool) -> None:
        """Reads markers from rows validated by `HostList.read`; a row without token has none."""
        named = set()
        for row in rows:
            if not isinstance(row, dict):
                continue
            name = str(row.get("name"))
            named.add(name)
            known = self._newest.get(name, DrainMarker(0, False, now))
            marker = _read_marker(now, row, known)
            if marker is not None:
                self._newest[name] = marker
        if is_complete:
            self._newest = {name: marker for name, marker in self._newest.items() if name in named}

    def draining(self) -> dict[str, DrainMarker]:
        """Returns the markers of the draining hosts, by name."""
        return {name: marker for name, marker in self._newest.items() if marker.is_draining}


def _read_marker(now: int, row: dict[str, Any], known: DrainMarker) -> DrainMarker | None:
    """Returns a row's marker; None if it has none, or one older than the known marker."""
    token = row.get("token", 0)
    if type(token) is not int or not max(1, known.token) <= token < MAX_TOKEN:
        return None
    was_draining = known.is_draining and token == known.token
    # A host that is gone stays draining: the list does not say that it may be used again.
    is_gone = row.get("state") == HostState.GONE
    is_draining = row.get("state") == HostState.DRAINING or (is_gone and was_draining)
    since = known.since if is_draining and was_draining else now
    return DrainMarker(token, is_draining, since)


@dataclass(frozen=True, slots=True)
class StatusReport:
    """A director's status.

    Attributes:
        proxies: The number of its sessions.
        assignment_entries: The largest number of table entries in a full assignment.
        backlog_entries: The number of table entries queued in the channel.
        unassigned_proxies: The number of proxies that lack a usable table for some class.
        rejected: Requests rejected by admission control per million since the last report.
        succeeded: Requests that succeeded per million since the last report.
        limit_use: The used share of the limit closest to being reached, in millionths.
        drained: The tokens of the drains that every proxy has confirmed, by host name.
        silent: The names of hosts that are withdrawn because they are silent.
    """

    proxies: int = 0
    assignment_entries: int = 0
    backlog_entries: int = 0
    unassigned_proxies: int = 0
    rejected: int = 0
    succeeded: int = MILLION
    limit_use: int = 0
    drained: dict[str, int] = field(default_factory=dict)
    silent: list[str] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        """Returns the report as it is sent to the coordinators."""
        return {
            "proxies": self.proxies,
            "binding": self.assignment_entries,
            "waiting": self.backlog_entries,
            "bare": self.unassigned_proxies,
            "refused": self.rejected,
            "fulfilled": self.succeeded,
            "near": self.limit_use,
            "drained": self.drained,
            "silent": self.silent,
        }


@dataclass(frozen=True, slots=True)
class StatusLimits:
    """The limits that `StatusReport.limit_use` refers to.

    Attributes:
        queue_entries: The largest number of table entries queued in the channel; 0 for no limit.
        unassigned_ticks: How long a proxy may be without an assignment.
        drain_ticks: How long a drain may take.
    """

    queue_entries: float
    unassigned_ticks: int
    drain_ticks: int


@dataclass(slots=True)
class _Drain:
    """The state of a drain during one update."""

    marker: DrainMarker
    hosts: list[str] = field(default_factory=list)
    is_confirmed: bool = False


class StatusReporter:
    """Builds status reports; `update` visits the sessions in steps and then replaces `report`."""

    def __init__(
        self,
        publication: Publication,
        sessions: Sessions,
        channel: Channel,
        classes: int,
        limits: StatusLimits,
    ) -> None:
        self.publication = publication
        self.sessions = sessions
        self.channel = channel
        self.classes = classes
        self.limits = limits
        self.markers = DrainMarkers()
        self.report = StatusReport()
        self._requests_by_class = [0] * classes
        self._failed = 0
        self._unassigned_since: dict[str, int] = {}
        self._last_changes: dict[str, int] = {}
        self._seen_version = 0

    def on_request_report(self, request_class: int, requests: int, failed: int) -> None:
        """Counts requests received by a proxy for the next report."""
        self._requests_by_class[request_class] += requests
        self._failed += failed

    def update(self, now: int, hosts: Collection[str], silent: Collection[str]) -> Iterator[None]:
        """Builds a new report in short steps; yields after each step.

        A proxy that joins during an update is included in the next one, a second later; until then
        the report describes the proxies that were joined when the update began.

        Args:
            now: The time in ticks.
            hosts: All hosts that are or were listed, each `NAME@ADDRESS`.
            silent: The hosts that are withdrawn because they are silent.
        """
        drains = self._listed_drains(hosts)
        usable_tables = {
            table: any(host not in self.publication.outs for host in entries)
            for table, entries in self.publication.tables.items()
        }
        unassigned: dict[str, int] = {}
        limits = self.limits
        limit_use = self.channel.backlog / limits.queue_entries if limits.queue_entries else 0.0
        sessions = list(self.sessions.by_token.values())
        step_size = max(1, SESSIONS_PER_STEP // (1 + len(drains)))
        for index, session in enumerate(sessions):
            if index % step_size == step_size - 1:
                yield
            view = self.publication.views.get(session.number)
            if view is None or self.sessions.by_token.get(session.token) is not session:
                continue  # The session ended during the update.
            tables = view.binds(session.confirmed)
            if len(tables) < self.classes or not all(map(usable_tables.get, tables.values())):
                since = self._unassigned_since.get(session.token, now)
                unassigned[session.token] = since
                if session.held_polls:
                    limit_use = max(limit_use, (now - since) / limits.unassigned_ticks)
            limit_use = max(limit_use, self._check_drains(now, drains, session, view, len(tables)))
        self._unconfirm_changed(drains)
        self._unassigned_since = unassigned
        self.report = self._make_report(len(sessions), drains, limit_use, silent)

    def _make_report(
        self, proxies: int, drains: dict[str, _Drain], limit_use: float, silent: Collection[str]
    ) -> StatusReport:
        rejected, succeeded = self._pop_shares()
        return StatusReport(
            proxies=proxies,
            assignment_entries=self._assignment_entries(),
            backlog_entries=round(self.channel.backlog),
            unassigned_proxies=len(self._unassigned_since),
            rejected=rejected,
            succeeded=succeeded,
            limit_use=min(MAX_LIMIT_USE, round(limit_use * MILLION)),
            drained={
                name: drain.marker.token
                for name, drain in sorted(drains.items())
                if drain.is_confirmed
            },
            silent=sorted({_host_name(host) for host in silent}),
        )

    def _listed_drains(self, hosts: Collection[str]) -> dict[str, _Drain]:
        """Returns the listed drains; one is confirmed so far if no table offers its host."""
        drains = {name: _Drain(marker) for name, marker in self.markers.draining().items()}
        for host in hosts:
            drain = drains.get(_host_name(host))
            if drain is not None:
                drain.hosts.append(host)
        self._update_last_changes([host for drain in drains.values() for host in drain.hosts])
        for drain in drains.values():
            drain.is_confirmed = not any(self._is_offered(host) for host in drain.hosts)
        return drains

    def _check_drains(
        self, now: int, drains: dict[str, _Drain], session: Session, view: View, assigned: int
    ) -> float:
        """Marks drains that a proxy has not confirmed; returns the used share of the drain time."""
        limit_use = 0.0
        for drain in drains.values():
            if all(self._has_drained(session, view, host, assigned) for host in drain.hosts):
                continue
            drain.is_confirmed = False
            # Only a proxy that polls counts: one that does not may be gone.
            if session.held_polls:
                limit_use = max(limit_use, (now - drain.marker.since) / self.limits.drain_ticks)
        return limit_use

    def _unconfirm_changed(self, drains: dict[str, _Drain]) -> None:
        """Marks drains unconfirmed if orders changed their hosts during the update."""
        for host in self._hosts_changed_since(self._seen_version):
            drain = drains.get(_host_name(host))
            if drain is not None:
                drain.is_confirmed = False

    def _update_last_changes(self, hosts: list[str]) -> None:
        """Updates, for each host, the version that last changed its entries at the proxies."""
        publication = self.publication
        wanted = set(hosts)
        added = wanted - set(self._last_changes)
        changes = {host: self._last_changes.get(host, 0) for host in hosts}
        for version, (kind, _, host), _, _ in reversed(publication.log):
            if not added and version <= self._seen_version:
                break
            is_change = kind == "out" or (kind == "line" and host not in publication.outs)
            if host in wanted and is_change:
                changes[host] = max(changes[host], version)
        for kind, _, host in publication.fresh:
            if host in wanted and kind != "admit":
                changes[host] = publication.version + 1
        # Changes that are no longer in the history happened at its base version at the latest.
        unknown = wanted if self._seen_version < publication.base else added
        self._last_changes = {
            host: max(version, publication.base) if host in unknown else version
            for host, version in changes.items()
        }
        self._seen_version = publication.version

    def _hosts_changed_since(self, version: int) -> Iterator[str]:
        """Yields the hosts that changed after a version."""
        for changed_at, (kind, _, host), _, _ in reversed(self.publication.log):
            if changed_at <= version:
                break
            if kind != "admit":
                yield host
        yield from (host for kind, _, host in self.publication.fresh if kind != "admit")

    def _is_offered(self, host: str) -> bool:
        """Whether any published table offers the host."""
        if host in self.publication.outs:
            return False
        return any(host in entries for entries in self.publication.tables.values())

    def _has_drained(self, session: Session, view: View, host: str, assigned: int) -> bool:
        """Whether the proxy has confirmed that none of its tables offers the host.

        `assigned`: the number of classes for which the proxy has confirmed a table.
        """
        changed_at = self._last_changes[host]
        if session.confirmed < changed_at:
            return False
        # A fully assigned proxy receives every change. Before that it receives only changes since
        # it joined, and goes on using the tables it had before.
        if assigned == self.classes:
            return True
        return host in self.publication.outs and (assigned > 0 or changed_at > view.since)

    def _assignment_entries(self) -> int:
        """Returns the entries of the largest full assignment: a table for each class."""
        longest = sorted(map(len, self.publication.tables.values()), reverse=True)[: self.classes]
        others = len(self.publication.outs) + len(self.publication.admits)
        return sum(longest) + self.classes + others

    def _pop_shares(self) -> tuple[int, int]:
        """Returns the rejected and the succeeded of a million requests since the last report.

        Without any request, all count as succeeded.
        """
        requests = sum(self._requests_by_class)
        rejected = 0
        for request_class, count in enumerate(self._requests_by_class):
            admitted, _ = self.publication.admits.get(request_class, (MILLION, 0))
            rejected += count * (MILLION - admitted)
        rejected //= max(1, requests)
        failed = MILLION * min(self._failed, requests) // max(1, requests)
        self._requests_by_class = [0] * self.classes
        self._failed = 0
        return rejected, max(0, MILLION - rejected - failed)


def _host_name(host: str) -> str:
    return host.partition("@")[0]
