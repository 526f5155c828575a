"""Bounds of today beside the size asked for. Values are the code's own, as it is imported."""

import inspect
import re
from dataclasses import dataclass
from types import ModuleType

from benchmarks.capacity.formula import Formula, asked, each, formula, known, line
from benchmarks.capacity.places import (
    directors,
    hosts,
    lost_directors,
    lost_hosts,
    lost_service_hosts,
    proxies,
    service_hosts,
    zones,
)
from benchmarks.capacity.roles import LEASE, list_entry, members, open_permits, restart_entries
from ironfall.api import http
from ironfall.consensus import RaftLimits
from ironfall.coordinator import client, peers, program, server
from ironfall.coordinator.limits import COORDINATOR_LIMITS
from ironfall.coordinator.state_machine import LedgerStateMachine
from ironfall.disruption import DisruptionRules, Fence, FleetSettings, entry_codec
from ironfall.disruption.capacity import CLASSES
from ironfall.lab import registry
from ironfall.platform import director as serve
from ironfall.platform import order_outbox, report_listener, startup
from ironfall.proxy import load_reports
from ironfall.proxy import server as proxy
from ironfall.publication import Publication, publisher
from ironfall.storage import records
from ironfall.terms.limits import NUMBERS, Limits


@dataclass(frozen=True)
class Bound:
    """`need` is read at each service of the spread, on the occasion named; it binds where the need is more and no terms
    set it. `terms`: the figure of `(fleet ...)` that it goes by, where that is there."""

    name: str
    place: str
    value: float
    need: Formula
    full: str
    occasion: str = "calm"
    says: str = ""
    terms: str = ""

    @property
    def settable(self) -> bool:
        return self.terms in FleetSettings.__dataclass_fields__


def usual(what: type, name: str) -> float:
    """The usual value of an argument."""
    return float(inspect.signature(what).parameters[name].default)


def literal(module: ModuleType, pattern: str) -> float:
    """A bound that has no name, out of the one line where it stands."""
    (found,) = re.findall(pattern, inspect.getsource(module))
    return float(found)


limits, rules = Limits(), DisruptionRules()
listed = list_entry / each("entries.list_bytes", "hosts")
keepers = known("keepers", 3)
list_row = known("bytes_of_a_list_row", 200)  # as ironfall/platform/startup.py says
REFUSED, LATER = "refused, saying so", "429, asked again"

BOUNDS_OF_TODAY: tuple[Bound, ...] = (
    Bound(
        "hosts of the ledger",
        "disruption/settings.py `DisruptionRules.hosts`",
        rules.hosts,
        hosts,
        REFUSED,
        terms="hosts",
    ),
    Bound(
        "directors of the ledger",
        "disruption/settings.py `DisruptionRules.directors`",
        rules.directors,
        directors,
        REFUSED,
        terms="directors",
    ),
    Bound(
        "holders",
        "disruption/settings.py `DisruptionRules.holders`",
        rules.holders,
        asked("services"),
        REFUSED,
        says="were each service to ask for itself",
        terms="holders",
    ),
    Bound(
        "asks that wait",
        "disruption/settings.py `DisruptionRules.max_waiting_requests`",
        rules.max_waiting_requests,
        asked("services"),
        REFUSED,
        says="were each service to ask at once",
        terms="asks",
    ),
    Bound(
        "asks that ended",
        "disruption/settings.py `DisruptionRules.max_ended_requests`",
        rules.max_ended_requests,
        open_permits,
        "the oldest is forgotten",
        "day",
        says="asked again within the time of a work",
    ),
    Bound(
        "permits open",
        "disruption/settings.py `DisruptionRules.max_permits`",
        rules.max_permits,
        open_permits,
        "asks wait",
        "day",
        terms="permits",
    ),
    Bound(
        "units of one ask",
        "disruption/settings.py `DisruptionRules.max_request_targets`",
        rules.max_request_targets,
        lost_hosts,
        REFUSED,
        "zone",
        says="work on a whole zone as one",
    ),
    Bound(
        "halts",
        "disruption/settings.py `DisruptionRules.halts`",
        rules.halts,
        zones,
        "`halt all` in their place",
        says="one for each zone",
    ),
    Bound(
        "items of a list in one entry",
        "disruption/json_fields.py `MAX_ITEMS`",
        entry_codec.MAX_ITEMS,
        listed,
        REFUSED,
        says="the registry's list at its start, as much as it tells in one",
    ),
    Bound(
        "bytes of an entry, at the ledger",
        "disruption/entry_codec.py `MAX_ENTRY_BYTES`",
        entry_codec.MAX_ENTRY_BYTES,
        list_entry,
        REFUSED,
        says="the same",
    ),
    Bound(
        "bytes of an entry, at the log",
        "coordinator/limits.py `COORDINATOR_LIMITS.max_entry_bytes`",
        COORDINATOR_LIMITS.max_entry_bytes,
        list_entry,
        "400, never to be done",
        says="the same",
    ),
    Bound(
        "bytes of a post to a keeper",
        "coordinator/program.py `MAX_BODY_BYTES`",
        program.MAX_BODY_BYTES,
        list_entry,
        "413",
        says="the same",
    ),
    Bound(
        "tenants of a host",
        "disruption/entry_codec.py `MAX_TENANTS`",
        entry_codec.MAX_TENANTS,
        asked("tenants_a_service"),
        REFUSED,
        says="were each host to serve all tenants of a mean service",
    ),
    Bound(
        "classes",
        "disruption/capacity.py `CLASSES`",
        CLASSES,
        formula(2),
        REFUSED,
        says="two are assumed",
    ),
    Bound(
        "tokens of a fence",
        "disruption/fencing.py `Fence`",
        usual(Fence, "max_targets"),
        hosts,
        "the host's orders refused",
        says="at the registry: every host that was ever drained",
        terms="hosts",
    ),
    Bound(
        "askers",
        "coordinator/state_machine.py `LedgerStateMachine`",
        usual(LedgerStateMachine, "min_clients"),
        members,
        "429 to those who come anew",
        says="directors and agents each ask for themselves",
        terms="hosts",
    ),
    Bound(
        "polls of marks at a keeper",
        "coordinator/server.py `MAX_MARKS_POLLS`",
        server.MAX_MARKS_POLLS,
        hosts / keepers,
        LATER,
        says="agents, dealt over three keepers",
    ),
    Bound(
        "connections at a keeper",
        "terms/limits.py `Limits.held`",
        limits.held,
        (2 * hosts + directors) / keepers,
        "503",
        says="agents ask and poll; dealt over three keepers",
    ),
    Bound(
        "asks in hand of a leader",
        "consensus/limits.py `RaftLimits.max_pending_requests`",
        COORDINATOR_LIMITS.max_pending_requests,
        members,
        LATER,
        "keepers",
        says="all come anew at once",
    ),
    Bound(
        "writes not durable",
        "consensus/limits.py `RaftLimits.max_pending_writes`",
        COORDINATOR_LIMITS.max_pending_writes,
        known("asks_in_hand", COORDINATOR_LIMITS.max_pending_requests),
        LATER,
    ),
    Bound(
        "entries until a snapshot",
        "consensus/limits.py `RaftLimits.max_log_entries`",
        COORDINATOR_LIMITS.max_log_entries,
        members * LEASE,
        "a snapshot; at twice that 429",
        says="were all words entries, of one lease",
    ),
    Bound(
        "bytes of the log until a snapshot",
        "coordinator/limits.py `COORDINATOR_LIMITS.max_log_bytes`",
        COORDINATOR_LIMITS.max_log_bytes,
        list_entry,
        "a snapshot; at twice that 429",
        says="the list alone",
    ),
    Bound(
        "entries offered at a time",
        "consensus/limits.py `RaftLimits.max_batch_entries`",
        COORDINATOR_LIMITS.max_batch_entries,
        restart_entries,
        "the rest waits",
        "day",
        says="of one second",
    ),
    Bound(
        "bytes of a snapshot",
        "coordinator/limits.py `COORDINATOR_LIMITS.max_snapshot_bytes`",
        COORDINATOR_LIMITS.max_snapshot_bytes,
        line("ledger-hosts.snapshot_bytes", hosts, "hosts"),
        "not taken from a peer, and said",
        says="hosts alone; answers kept of askers come on top",
        terms="hosts",
    ),
    Bound(
        "bytes of a record",
        "storage/records.py `MAX_RECORD_BYTES`",
        records.MAX_RECORD_BYTES,
        line("ledger-hosts.snapshot_bytes", hosts, "hosts"),
        "the disk counts as failed",
        says="the snapshot",
    ),
    Bound(
        "sessions of the agreement",
        "coordinator/limits.py `COORDINATOR_LIMITS.max_sessions`",
        COORDINATOR_LIMITS.max_sessions,
        known("leaders", 3),
        REFUSED,
        says=f"one for each reign remembered; {RaftLimits.max_sessions:,} without the keeper's setting",
    ),
    Bound(
        "bytes to a peer",
        "coordinator/peers.py `MAX_QUEUED_BYTES`",
        peers.MAX_QUEUED_BYTES,
        known(
            "flight_bytes",
            COORDINATOR_LIMITS.max_batches_in_flight * COORDINATOR_LIMITS.max_batch_bytes,
        ),
        "the oldest dropped, said anew at a beat",
    ),
    Bound(
        "messages to a peer",
        "coordinator/peers.py `MAX_QUEUED_MESSAGES`",
        peers.MAX_QUEUED_MESSAGES,
        known("flight", COORDINATOR_LIMITS.max_batches_in_flight),
        "the oldest dropped, said anew at a beat",
    ),
    Bound(
        "leases ended at a tick",
        "coordinator/program.py `MAX_LAPSES_PER_TICK`",
        program.MAX_LAPSES_PER_TICK,
        lost_directors,
        "the rest at the next",
        "region",
    ),
    Bound(
        "bytes of a keeper's answer",
        "keeper/client.py `MAX_ANSWER_BYTES`",
        client.MAX_ANSWER_BYTES,
        line("ledger-directors.look_bytes", directors, "directors"),
        "cut, asked of another",
        says="a look",
    ),
    Bound(
        "sessions of a director",
        "terms/limits.py `Limits.sessions`",
        limits.sessions,
        proxies,
        "503",
        "zone",
        says="those of the zone lost come to the others",
    ),
    Bound(
        "proxies joining at a director",
        "terms/limits.py `Limits.joining`",
        limits.joining,
        proxies,
        "503 with a time",
        "directors",
    ),
    Bound(
        "connections at a director",
        "terms/limits.py `Limits.held`",
        limits.held,
        2 * proxies,
        "503",
    ),
    Bound("numbers for proxies", "terms/limits.py `NUMBERS`", NUMBERS, proxies, "503"),
    Bound(
        "body to a director, bytes",
        "terms/limits.py `Limits.body`",
        limits.body,
        service_hosts * 40,
        "413",
        says="a report of every host in 40 bytes; the terms set it",
    ),
    Bound(
        "events that wait for a turn",
        "terms/limits.py `Limits.events`; platform/director.py `MAX_EVENTS`",
        min(limits.events, serve.MAX_EVENTS),
        lost_service_hosts,
        "reports add up, joins and leaves are kept",
        "region",
    ),
    Bound(
        "lines kept for deltas",
        "terms/limits.py `Limits.entries`",
        usual(Publication, "max_changes"),
        service_hosts,
        "whole states",
        says="one turn that moves every weight of one table",
    ),
    Bound(
        "deltas kept for others",
        "publication/publisher.py `MAX_CACHED_DELTAS`",
        publisher.MAX_CACHED_DELTAS,
        proxies,
        "made anew",
        says="where each proxy asks from a version of its own",
    ),
    Bound(
        "bytes of a list at a director",
        "platform/startup.py `MAX_LIST_BYTES`, memory over `LIST_MEMORY_DIVISOR`",
        startup.MAX_LIST_BYTES,
        service_hosts * list_row,
        "cut: what is held stays",
        says="a host in 200 bytes",
    ),
    Bound(
        "bytes of a configuration",
        "platform/startup.py `MAX_CONFIG_BYTES`",
        startup.MAX_CONFIG_BYTES,
        service_hosts * list_row,
        "the old one is kept, and said",
        says="with the list last held in it",
    ),
    Bound(
        "bytes of orders in a call",
        "platform/order_outbox.py `MAX_CALL_BYTES`",
        order_outbox.MAX_CALL_BYTES,
        service_hosts * 40,
        "the rest in the next call",
        says="a line for every host in 40 bytes",
    ),
    Bound(
        "connections that wait to be accepted, `serve`",
        "platform/report_listener.py `BACKLOG`",
        report_listener.BACKLOG,
        proxies,
        "dialled again",
        "directors",
    ),
    Bound(
        "hosts met between two reports",
        "proxy/load_reports.py `MAX_REPORTED_HOSTS`",
        load_reports.MAX_REPORTED_HOSTS,
        service_hosts,
        "tries of more count under none",
    ),
    Bound(
        "exchanges in hand of a proxy",
        "proxy/server.py `MAX_REQUESTS_IN_FLIGHT`",
        proxy.MAX_REQUESTS_IN_FLIGHT,
        asked("requests_per_s") / directors / proxies * 8,
        "503 at once",
        says="of eight seconds each",
    ),
    Bound(
        "requests ahead on a connection",
        "api/http.py `AHEAD_MOST`",
        http.AHEAD_MOST,
        formula(1),
        "read no further",
    ),
    Bound(
        "changes kept by the registry (a stand-in)",
        "lab/registry.py `HISTORY`",
        registry.HISTORY,
        lost_hosts,
        "whole lists to all",
        "zone",
    ),
    Bound(
        "connections at the registry (a stand-in)",
        "lab/registry.py, in `Registry`",
        literal(registry, r"HttpServer\(address, Bounds\((\d+),"),
        directors,
        "503",
        says="one registry for all",
    ),
)
