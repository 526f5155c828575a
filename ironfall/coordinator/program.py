"""A coordinator as a program: start and stop, periodic work, and the creation of a group."""

from __future__ import annotations

import json
import random
import secrets
import signal
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event

from ironfall.api.http import Bounds as HttpBounds
from ironfall.api.http import HttpClient, HttpServer
from ironfall.consensus import Configuration, Outcome, RaftLimits
from ironfall.coordinator.clock import SystemClock
from ironfall.coordinator.limits import TICKS_PER_SECOND, limits_for
from ironfall.coordinator.member import CoordinatorMember
from ironfall.coordinator.member_settings import MemberSettings
from ironfall.coordinator.observed import ObserverReports
from ironfall.coordinator.server import MAX_MARKS_WAIT_S, CoordinatorApi
from ironfall.coordinator.sums import is_intact
from ironfall.storage.disk import Disk
from ironfall.terms import Terms

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

# The largest body of a request, also of one from a peer.
MAX_BODY_BYTES = 16 * 2**20
TICK_S = 1.0
PROPOSAL_TIMEOUT_S = 2 * TICK_S
# Expired leases that one tick ends; the next tick ends more.
MAX_LAPSES_PER_TICK = 256
# How often a blank coordinator asks its peers for their identities, before jitter.
GROUP_SEARCH_PERIOD_S = 0.15
CONNECT_TIMEOUT_S = 0.3
IDENTITY_TIMEOUT_S = 0.5
MAX_IDENTITY_BYTES = 1 << 16
SERVER_STOP_TIMEOUT_S = 0.2
SEED_BITS = 63


@dataclass(frozen=True)
class CoordinatorOptions:
    """How a coordinator runs, in addition to the settings file.

    Attributes:
        may_found_group: whether this coordinator may create a group if all are blank.
        seed: the seed of all randomness; None for a random one.
        limits: the limits of consensus; None for those that follow from the settings.
        clock: the machine's clocks.
    """

    may_found_group: bool = False
    seed: int | None = None
    limits: RaftLimits | None = None
    clock: SystemClock = field(default_factory=SystemClock)


@dataclass(frozen=True)
class _PeerIdentity:
    """A peer's answer about its identity.

    Attributes:
        identity: name and incarnation.
        is_blank: whether it belongs to no group yet.
        initial_configuration: its group's; empty if it doesn't know it.
    """

    identity: str
    is_blank: bool
    initial_configuration: Configuration


class Program:
    """A running coordinator. `start` returns once it listens, `wait` once it has stopped."""

    def __init__(
        self,
        terms: Terms,
        name: str,
        disk: Disk,
        log: FilteringBoundLogger,
        options: CoordinatorOptions | None = None,
    ) -> None:
        """Takes the settings, and the name of this coordinator in them."""
        options = options or CoordinatorOptions()
        seed = secrets.randbits(SEED_BITS) if options.seed is None else options.seed
        rules = terms.fleet.rules(terms.service)
        addresses = dict(terms.fleet.keepers)
        settings = MemberSettings(name, addresses, options.limits or limits_for(rules))
        self.log = log
        self.options = options
        self.rules = json.loads(json.dumps(rules.facts()))
        self._random_source = random.Random(seed)
        self.member = CoordinatorMember(settings, disk, options.clock, self._random_source, log)
        zones = {observer.name: observer.zone for observer in terms.fleet.observers}
        self.observer_reports = ObserverReports(self.member, zones) if zones else None
        self.api = CoordinatorApi(self.member, self.observer_reports)
        self.server = HttpServer(addresses[name], _http_bounds(terms), self.api.handle)
        self._loops: list[gevent.Greenlet] = []
        self._done = Event()

    def start(self) -> None:
        """Listens, and starts the member and the periodic work."""
        self.server.start()
        self.member.start()
        for loop in (self._run_ticks, self._find_group, self.api.watch):
            self._loops.append(self.member.spawn(loop))
        if self.observer_reports is not None:
            self._loops.append(self.member.spawn(self.observer_reports.run_urgent))
        self.member.broken.rawlink(lambda _: self._done.set())
        self.log.info("listening", port=self.server.port)

    def wait(self) -> int:
        """Waits for SIGTERM, SIGINT or an internal error; returns the exit code, 1 for an error."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self.stop)
        self._done.wait()
        return 1 if self.member.broken.is_set() else 0

    def stop(self) -> None:
        """Transfers leadership and stops."""
        if self._done.is_set():
            return
        self.member.leave()
        self.server.stop(SERVER_STOP_TIMEOUT_S)
        for loop in self._loops:
            loop.kill(block=False)
        self.log.info("stopped")
        self._done.set()

    # Periodic work.

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            self.member.send_clock()
            self.member.check_clock()
            if self.member.session and self._propose_due() and self.observer_reports is not None:
                self.observer_reports.propose_digests()

    def _propose_due(self) -> bool:
        """Proposes the entries that are due by time alone; returns whether all were committed.

        An entry whose outcome is unknown is found due again at the next tick, by the leader then.
        """
        for entry in self._due_entries():
            reply = self.member.propose("", 0, entry, PROPOSAL_TIMEOUT_S)
            if reply.outcome is not Outcome.DONE:
                return False
        return True

    def _due_entries(self) -> list[dict[str, Any]]:
        ledger = self.member.state_machine.ledger
        entries: list[dict[str, Any]] = []
        if not ledger.has_rules or ledger.rules.facts() != self.rules:
            entries.append({"k": "rules", "rules": self.rules})
        entries.append({"k": "tick"})
        for role, name, incarnation in islice(ledger.expired_leases(), MAX_LAPSES_PER_TICK):
            entries.append({"k": "lapse", "role": role, "name": name, "inc": incarnation})
        return entries

    # Creation of a group.

    def _find_group(self) -> None:
        """Asks the peers for this member's group whenever it is blank, until killed.

        Any peer of a group knows whether the group was created with this member. A group is created
        only if all coordinators are blank and an operator has allowed it.
        """
        clients = self._peer_clients()
        was_reported = False
        while True:
            gevent.sleep(GROUP_SEARCH_PERIOD_S * (0.5 + self._random_source.random()))
            node = self.member.node
            if not self.member.is_blank or node is None:
                was_reported = False
                continue
            identity = node.identity
            peers = {name: _ask_identity(client) for name, client in clients.items()}
            configuration = self._initial_configuration(identity, peers)
            if configuration is not None and self.member.is_blank:
                self.member.start(configuration)
            elif not was_reported and all(peers.values()):
                was_reported = True
                self.log.warning(
                    "member of no group",
                    identity=identity,
                    waits="to be added by an operator, or for a group to begin",
                )

    def _peer_clients(self) -> dict[str, HttpClient]:
        settings = self.member.settings
        return {
            name: HttpClient(address, CONNECT_TIMEOUT_S, MAX_IDENTITY_BYTES)
            for name, address in settings.addresses.items()
            if name != settings.name
        }

    def _initial_configuration(
        self, identity: str, peers: Mapping[str, _PeerIdentity | None]
    ) -> Configuration | None:
        """Returns the initial configuration of this member's group; None if it has no group."""
        for peer in peers.values():
            if peer is not None and identity in peer.initial_configuration.voters:
                return peer.initial_configuration
        if not self.options.may_found_group or not all(_may_found(p) for p in peers.values()):
            return None
        settings = self.member.settings
        identities = {name: peer.identity for name, peer in peers.items() if peer is not None}
        identities[settings.name] = identity
        configuration = Configuration(tuple(identities[name] for name in settings.addresses))
        self.log.info("group created", members=list(configuration.voters))
        return configuration


def _may_found(peer: _PeerIdentity | None) -> bool:
    return peer is not None and peer.is_blank and not peer.initial_configuration.voters


def _ask_identity(client: HttpClient) -> _PeerIdentity | None:
    """Returns a peer's identity; None if it gives no usable answer."""
    try:
        answer = client.call("GET", "/v1/peer/who", IDENTITY_TIMEOUT_S)
        if not is_intact(answer):
            return None
        body = json.loads(answer.body)
        if not isinstance(body["first"][0], list):
            return None
        configuration = Configuration.from_json(body["first"])
        return _PeerIdentity(body["identity"], bool(body["blank"]), configuration)
    except (OSError, ValueError, KeyError, TypeError, IndexError):
        return None


def _http_bounds(terms: Terms) -> HttpBounds:
    limits = terms.limits
    return HttpBounds(
        limits.held,
        MAX_BODY_BYTES,
        limits.header_time / TICKS_PER_SECOND,
        MAX_MARKS_WAIT_S + limits.idle / TICKS_PER_SECOND,
        limits.write_time / TICKS_PER_SECOND,
    )
