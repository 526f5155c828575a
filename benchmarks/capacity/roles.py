"""What each role needs on each occasion, what it may, and the mechanism that carries it, by name.

A need and a limit are formulas; where what they rest on is not measured there is no factor. `after`: the need with a
mechanism in, by its name in the file. Safety: past the limit something could be taken down that may not be, or a halt,
a lease or a drain doesn't come through; all else is comfort.
"""

from dataclasses import dataclass, field

from benchmarks.capacity.figures import Capacity, Faulty
from benchmarks.capacity.formula import (
    Formula,
    asked,
    assumed,
    count,
    each,
    first,
    known,
    line,
    most,
)
from benchmarks.capacity.places import (
    DAY,
    OCCASIONS,
    Place,
    Service,
    changes,
    directors,
    hosts,
    lost_directors,
    lost_hosts,
    lost_service_hosts,
    met_directors,
    met_hosts,
    proxies,
    regions,
    service_directors,
    service_hosts,
    share,
    spread,
    turned,
    zones,
)
from ironfall.coordinator.limits import COORDINATOR_LIMITS
from ironfall.disruption.settings import MILLION, SECOND, DisruptionRules
from ironfall.lab import registry

ALL = tuple(OCCASIONS)
MISSING = "missing"
WHOLE = Service("all", 1.0)


@dataclass(frozen=True)
class Row:
    """`need` over `limit` is the factor; without a limit none was asked for. `services`: read at each of the spread."""

    role: str
    what: str
    unit: str
    on: tuple[str, ...]
    need: Formula
    limit: Formula | None
    carried: str
    services: bool = False
    safety: bool = False
    after: dict[str, tuple[Formula, str]] = field(default_factory=dict)
    says: str = ""


@dataclass(frozen=True)
class Cell:
    """A row read at a place."""

    row: Row
    place: Place
    need: float | None
    limit: float | None
    missing: tuple[str, ...]
    beyond: tuple[str, ...]

    @property
    def factor(self) -> float | None:
        return None if self.need is None or self.limit is None else self.need / self.limit


CORE = asked("core_share") * 1000  # milliseconds of processor time in each second
MEMORY, WIRE, IN_FORCE = asked("memory_mb"), asked("control_bytes_s"), asked("in_force_s")
ELECTION = known("election_ms", COORDINATOR_LIMITS.election_timeout * 1000 / SECOND)
LEASE = known("lease_s", DisruptionRules.lease / SECOND)
CORE_WHOLE = known("ms_of_a_core", 1000)
BUDGET = known(
    "fleet_budget", dict((b[0], b[2]) for b in DisruptionRules.budgets)["fleet"] / MILLION
)
MEBI = known("MiB", 1 << 20)

# A whole director: grown by proxies at the mean service's hosts, and by hosts beyond these.
more_hosts = service_hosts - assumed("held_still_hosts")


def whole(figure: str) -> Formula:
    return (
        line(f"serve-proxies.{figure}", proxies, "proxies")
        + each(f"serve-hosts.{figure}", "hosts") * more_hosts
    )


def changed(figure: str) -> Formula:
    """Of drains with their returns, of the service."""
    return turned / 2 * share * line(f"serve-hosts.{figure}", service_hosts, "hosts")


def member(figure: str) -> Formula:
    return first(f"member.{figure}", "members")


member_bytes = member("bytes_out_s") + member("bytes_in_s")
agent_bytes = first("agent.bytes_out_s", "hosts") + first("agent.bytes_in_s", "hosts")
entries_at_rest = directors * member("entries_s") + hosts * first("agent.entries_s", "hosts")
room = most("keeper-entries.entries_s")
service_turned = turned * share
decided = (
    line("decisions-proxies.cpu_ms_s", proxies, "proxies")
    + each("decisions-hosts.cpu_ms_s", "hosts") * more_hosts
)
turn_ms = line("decisions-hosts.worst_turn_ms", service_hosts, "hosts")
members = directors + hosts
paced, PACE = asked("requests_per_s") / directors, "exchanges a second"
machines = asked("machines") * assumed("cores") * CORE_WHOLE
led_ms = line("observers.leader_ms_s", members, "members")
died_ms = line("observed-death.known_ms", service_directors, "members")
# Of a member each; by itself, and as a director with its whole membership.
observed_bytes = most("observed.member_bytes_out_s", "members") + most(
    "observed.member_bytes_in_s", "members"
)
OBSERVERS, HOMING = "`ironfall/membership/`", "`ironfall/membership/heartbeat_sender.py`"
COLLECTOR = "`ironfall/membership/digest_collector.py`: digests"
keepers_edge = directors * member("keeper_cpu_ms_s") + hosts * first(
    "agent.keeper_cpu_ms_s", "hosts"
)
open_permits = turned / 2 * assumed("out_s")
marks_s = turned / 2 * each("entries.restart_marks", "hosts")
# What the registry (a stand-in) tells keepers in one entry at its start: all of its list, or so many bytes.
TOGETHER = float(getattr(registry, "TOGETHER", 0))
list_entry = known("TOGETHER", TOGETHER) if TOGETHER else line("entries.list_bytes", hosts, "hosts")
own_marks = marks_s * each("entries.marks_bytes", "hosts") / hosts
restart_entries = turned / 2 * each("entries.restart_entries", "hosts")
turned_apart = restart_entries * asked("region_apart_s") / regions
registry_ms = turned * line("registry-watchers.change_cpu_ms", met_directors, "watchers")


# A word of each member each second, an entry each.
def ledger_words(of: str = "") -> Formula:
    return directors * line(f"{of}ledger-directors.word_us", directors, "directors") + hosts * line(
        f"{of}ledger-hosts.word_us", hosts, "hosts"
    )


# Measured anew, on a ledger that counts by what an entry changes.
COUNTED, BY_CHANGES = "counted-", "`ironfall/disruption/ledger.py`: by what an entry changes"


def observed(figure: str) -> Formula:
    return line(f"observed-director.{figure}", directors, "members")


def ledger(figure: str, of: str = "") -> Formula:
    """By hosts with few directors, and by more directors."""
    grown = each(f"{of}ledger-directors.{figure}", "directors")
    return line(f"{of}ledger-hosts.{figure}", hosts, "hosts") + grown * directors


SERVE, PROXY, WAY, LIST = (
    "director in service",
    "proxies and their exchange",
    "request's way",
    "registry",
)
MEMBER, AGENT, KEEPER, RELEASE, CONFIG = (
    "membership",
    "host's agent",
    "keeper and ledger",
    "releases",
    "configuration",
)
OBSERVER = "observer"
ROLES = (SERVE, PROXY, WAY, LIST, MEMBER, AGENT, OBSERVER, KEEPER, RELEASE, CONFIG)

ROWS: tuple[Row, ...] = (
    Row(
        SERVE,
        "processor time, all it does",
        "ms/s",
        ALL,
        whole("cpu_ms_s") + member("cpu_ms_s") + changed("change_cpu_ms"),
        CORE,
        "`ironfall/director/event_loop.py`, one turn for all proxies",
        services=True,
        says="the stricter reading, planned by",
    ),
    Row(
        SERVE,
        "processor time, the decisions alone",
        "ms/s",
        ALL,
        decided + service_turned * turn_ms,
        CORE,
        "`ironfall/decisions/engine.py`, every weight of every table each time",
        services=True,
    ),
    Row(
        SERVE,
        "memory",
        "MB",
        ALL,
        whole("rss_mb"),
        MEMORY,
        "`ironfall/platform/`, the standard library, gevent and httptools",
        services=True,
    ),
    Row(
        SERVE,
        "bytes in and out, all",
        "B/s",
        ALL,
        whole("out_bytes_s") + whole("in_bytes_s") + changed("change_bytes") + member_bytes,
        WIRE,
        "`ironfall/platform/order_outbox.py`: one call a turn, the newest word of each order",
        services=True,
        says="the stricter reading",
    ),
    Row(
        SERVE,
        "longest turn",
        "s",
        ALL,
        turn_ms / 1000,
        IN_FORCE,
        "`ironfall/decisions/engine.py`, in one call",
        services=True,
    ),
    Row(
        SERVE,
        "all its proxies come at once: the turn",
        "s",
        ("zone", "region", "directors"),
        line("decisions-hosts.join_turn_ms", service_hosts, "hosts") / 1000,
        IN_FORCE,
        "`ironfall/decisions/engine.py`: bound at a pace",
        services=True,
    ),
    Row(
        SERVE,
        "hosts lost until all its proxies are told",
        "s",
        ("day", "rack", "zone", "region"),
        turn_ms / 1000
        + (assumed("channel_head") + lost_service_hosts + 1) / assumed("channel_lines_s"),
        IN_FORCE,
        "`ironfall/decisions/engine.py` and `ironfall/decisions/channel_budget.py`: a message a proxy, in the channel's pace",
        services=True,
        says="by the pace assumed, all its hosts in one message",
    ),
    Row(
        PROXY,
        "held by one proxy",
        "MB",
        ALL,
        line("holding.held_bytes", service_hosts, "hosts") / MEBI,
        None,
        "`ironfall/publication/holding.py`",
        services=True,
    ),
    Row(
        PROXY,
        "change applied by one proxy",
        "ms/s",
        ALL,
        service_turned * line("holding.apply_us", service_hosts, "hosts") / 1000,
        None,
        "`ironfall/publication/holding.py`: tables copied for each delta",
        services=True,
    ),
    Row(
        PROXY,
        "changes to all proxies of a director",
        "B/s",
        ALL,
        service_turned * proxies * line("holding.change_bytes", service_hosts, "hosts"),
        WIRE,
        "`ironfall/publication/publisher.py`: deltas",
        services=True,
    ),
    Row(
        PROXY,
        "hosts lost told to all proxies of a director",
        "B/s",
        ("rack", "zone", "region"),
        lost_service_hosts
        * proxies
        * line("holding.change_bytes", service_hosts, "hosts")
        / IN_FORCE,
        WIRE,
        "`ironfall/publication/publisher.py`: deltas",
        services=True,
        says="all at once, spread over the time allowed",
    ),
    Row(
        PROXY,
        "whole states to all proxies of a director",
        "B/s",
        ("zone", "region", "directors"),
        proxies * line("holding.state_bytes", service_hosts, "hosts") / IN_FORCE,
        WIRE,
        "`ironfall/publication/publisher.py` and zstandard; resumed after a restart: missing",
        services=True,
        says="all at once, spread over the time allowed",
    ),
    Row(
        PROXY,
        "polls held by a director: memory",
        "MB",
        ALL,
        proxies * each("polls.rss_kb", "proxies") / 1024,
        MEMORY,
        "`ironfall/api/http.py`, a greenlet each",
    ),
    Row(
        PROXY,
        "polls held by a director: processor time",
        "ms/s",
        ALL,
        proxies * each("polls.cpu_ms_s", "proxies"),
        CORE,
        "`ironfall/api/http.py`, a greenlet each",
    ),
    Row(
        PROXY,
        "polls held by a director: bytes",
        "B/s",
        ALL,
        proxies * each("polls.bytes_s", "proxies"),
        WIRE,
        "`ironfall/api/http.py`, asked anew each `wait`",
    ),
    Row(
        WAY,
        "added to an exchange, 99 in 100",
        "ms",
        ALL,
        line("through.added_ms_p99", paced, PACE),
        asked("added_ms"),
        "`ironfall/proxy/request_forwarding.py`: picked by weight, handed on",
        says="all of a director's exchanges through one proxy",
    ),
    Row(
        WAY,
        "processor time of all proxies of a director",
        "ms/s",
        ALL,
        paced * line("through.cpu_us_exchange", paced, PACE) / 1000,
        None,
        "`ironfall/proxy/request_forwarding.py`",
    ),
    Row(
        LIST,
        "processor time of one registry for all",
        "ms/s",
        ALL,
        registry_ms,
        CORE_WHOLE,
        "`ironfall/lab/registry.py` (a stand-in): each watcher is told each change",
    ),
    Row(
        LIST,
        "bytes to all directors",
        "B/s",
        ALL,
        turned * line("registry-watchers.change_bytes", met_directors, "watchers"),
        directors * WIRE,
        "`ironfall/lab/registry.py` (a stand-in): what changed",
    ),
    Row(
        LIST,
        "hosts lost told to their directors",
        "s",
        ("rack", "zone", "region"),
        lost_hosts * line("registry-watchers.change_cpu_ms", met_directors, "watchers") / 1000,
        IN_FORCE,
        "`ironfall/lab/registry.py` (a stand-in)",
    ),
    Row(
        LIST,
        "whole lists to those that come anew",
        "s",
        ("zone", "region", "directors"),
        lost_directors * line("registry-hosts.whole_cpu_ms", met_hosts, "hosts") / 1000,
        IN_FORCE,
        "`ironfall/lab/registry.py` (a stand-in): the list made anew for each",
    ),
    Row(
        LIST,
        "a whole list to a director",
        "B/s",
        ("zone", "region", "directors"),
        line("registry-hosts.whole_bytes", service_hosts, "hosts") / IN_FORCE,
        WIRE,
        "`ironfall/lab/registry.py` (a stand-in), JSON",
        services=True,
        says="over the time allowed",
    ),
    Row(
        MEMBER,
        "processor time",
        "ms/s",
        ALL,
        member("cpu_ms_s"),
        CORE,
        "`ironfall/director/fleet_member.py`, a word each second",
        says="what being one of a fleet costs: the milder reading",
        after={"observers": (observed("member_cpu_us_s") / 1000, HOMING)},
    ),
    Row(
        MEMBER,
        "bytes in and out",
        "B/s",
        ALL,
        member_bytes,
        WIRE,
        "`ironfall/director/fleet_member.py`, its word whole each second",
        says="the milder reading",
        after={
            "observers": (observed("member_bytes_out_s") + observed("member_bytes_in_s"), HOMING)
        },
    ),
    Row(
        AGENT,
        "bytes in and out",
        "B/s",
        ALL,
        agent_bytes,
        WIRE,
        "an operator's own; `ironfall/lab/agents.py` (a stand-in), word and poll each second",
        says="nothing is asked of it; held against a director's limit",
        after={"observers": (observed_bytes, HOMING)},
    ),
    Row(
        AGENT,
        "marks told to it",
        "B/s",
        ALL,
        marks_s * line("entries.marks_bytes", open_permits, "hosts"),
        WIRE,
        "`ironfall/coordinator/server.py`: all marks to all who poll, at each change",
        says="nothing is asked of it; held against a director's limit. Of all agents times as much at the keepers",
        after={"observers": (own_marks, "its own marks alone, with a beat")},
    ),
    Row(
        OBSERVER,
        "processor time of one, with all of its zone",
        "ms/s",
        ALL,
        line("observed.observer_cpu_ms_s", members / zones, "members"),
        machines / (2 * zones),
        OBSERVERS,
        says="two a zone, dealt over the machines for control",
    ),
    Row(
        OBSERVER,
        "processor time of all",
        "ms/s",
        ALL,
        line("observed-rest.observer_cpu_ms_s", members, "members"),
        machines,
        OBSERVERS,
    ),
    Row(
        OBSERVER,
        "memory of one",
        "MB",
        ALL,
        most("observed.observer_mb", "members"),
        MEMORY,
        OBSERVERS,
        says="held against a director's",
    ),
    Row(
        KEEPER,
        "entries at rest",
        "1/s",
        ALL,
        entries_at_rest,
        room,
        "`ironfall/coordinator/`: an entry for each word",
        safety=True,
        says="past it words are refused, leases lapse, and an operator's halt waits with the rest",
        after={"observers": (line("observed-rest.entries_s", members, "members"), OBSERVERS)},
    ),
    Row(
        KEEPER,
        "entries of drains and returns",
        "1/s",
        ("day",),
        restart_entries,
        room,
        "`ironfall/disruption/`: a permit each",
        safety=True,
    ),
    Row(
        KEEPER,
        "processor time for the edge of all members",
        "ms/s",
        ALL,
        keepers_edge,
        3 * CORE_WHOLE,
        "`ironfall/coordinator/server.py`, three processes of one core each",
        safety=True,
        after={
            "observers": (line("observed-rest.keepers_cpu_ms_s", members, "members"), OBSERVERS)
        },
    ),
    Row(
        KEEPER,
        "processor time of the ledger for words",
        "ms/s",
        ALL,
        ledger_words() / 1000,
        CORE_WHOLE,
        "`ironfall/disruption/ledger.py`: a walk over scopes for each word",
        safety=True,
        after={
            "counted": (ledger_words(COUNTED) / 1000, BY_CHANGES),
            "observers": (led_ms + ledger("tick_us", COUNTED) / 1000, COLLECTOR),
        },
    ),
    Row(
        KEEPER,
        "longest entry",
        "ms",
        ALL,
        line("ledger-hosts.list_us", hosts, "hosts") / 1000,
        ELECTION,
        "`ironfall/disruption/ledger.py`, in one call",
        safety=True,
        says="of one host's line; longer than an election stops the group",
        after={
            "counted": (line("counted-ledger-hosts.list_us", hosts, "hosts") / 1000, BY_CHANGES)
        },
    ),
    Row(
        KEEPER,
        "tick",
        "ms",
        ALL,
        ledger("tick_us") / 1000,
        ELECTION,
        "`ironfall/disruption/ledger.py`, in one call",
        safety=True,
        after={"counted": (ledger("tick_us", COUNTED) / 1000, BY_CHANGES)},
    ),
    Row(
        KEEPER,
        "snapshot",
        "ms",
        ALL,
        ledger("snapshot_ms"),
        ELECTION,
        "`Ledger.snapshot`, in one call",
        safety=True,
        after={
            "counted": (count("snapshot_stop_ms"), "`Ledger.parts`: taken at once, made in parts")
        },
    ),
    Row(
        KEEPER,
        "restored from a snapshot",
        "ms",
        ("keepers", "region"),
        ledger("restore_ms"),
        ELECTION,
        "`Ledger.restore`, in one call",
        safety=True,
        after={"counted": (ledger("restore_ms", COUNTED), "`Ledger.restore`, in one call")},
    ),
    Row(
        KEEPER,
        "snapshot's bytes",
        "B",
        ALL,
        ledger("snapshot_bytes"),
        known("COORDINATOR_LIMITS.max_snapshot_bytes", COORDINATOR_LIMITS.max_snapshot_bytes),
        "`ironfall/coordinator/member.py`: parts of 256 KiB",
        safety=True,
    ),
    Row(
        KEEPER,
        "the ledger's memory",
        "MB",
        ALL,
        ledger("memory_bytes") / MEBI,
        assumed("memory_gb") * 1024,
        "`ironfall/disruption/records.py`",
    ),
    Row(
        KEEPER,
        "the list's entry at a registry's start",
        "B",
        ("keepers", "region"),
        list_entry,
        known("COORDINATOR_LIMITS.max_entry_bytes", COORDINATOR_LIMITS.max_entry_bytes),
        "`Telling.entry`, in parts"
        if TOGETHER
        else f"`Telling.entry`, all in one; in parts: {MISSING}",
        safety=True,
        says="an entry over the bound is refused for good",
    ),
    Row(
        KEEPER,
        "all members heard again",
        "s",
        ("keepers",),
        members / room,
        LEASE,
        "`ironfall/coordinator/client.py`: tried again with jitter",
        safety=True,
        says="what takes longer than a lease lapses directors that live",
        after={"observers": (line("observers.leader_new_s", members, "members"), COLLECTOR)},
    ),
    Row(
        KEEPER,
        "all directors hold a lease again",
        "s",
        ("keepers",),
        line("join-storm.all_s", directors, "members"),
        LEASE,
        "`ironfall/director/fleet_member.py`: joined anew with jitter",
        safety=True,
        says="by directors alone, from the keepers' start",
        after={"observers": (line("observed-storm.restart_s", directors, "members"), OBSERVERS)},
    ),
    Row(
        KEEPER,
        "a host's death known to the ledger",
        "s",
        ("day", "rack", "zone"),
        line("host-death.known_ms", service_directors, "members") / 1000,
        IN_FORCE,
        "`ironfall/disruption/state.py`: the second voice",
        services=True,
        says="from the directors' seeing it",
        after={"observers": (died_ms / 1000, OBSERVERS)},
    ),
    Row(
        KEEPER,
        "a zone's members gone, and come anew",
        "s",
        ("zone",),
        (2 * lost_directors + lost_hosts) / room,
        IN_FORCE,
        "`ironfall/coordinator/program.py`: a lapse and a join each",
        safety=True,
        after={"observers": (line("observers.zone_entries", members, "members") / room, COLLECTOR)},
    ),
    Row(
        KEEPER,
        "a region's hour brought level",
        "s",
        ("region",),
        (2 * lost_directors + lost_hosts + turned_apart) / room,
        IN_FORCE,
        "`ironfall/director/fleet_member.py`, `ironfall/lab/registry.py`: all said anew",
    ),
    Row(
        KEEPER,
        "processor time of keepers and registry together",
        "ms/s",
        ALL,
        ledger_words() / 1000 + keepers_edge + registry_ms,
        machines,
        f"each one process; dealt over the machines: {MISSING}",
    ),
    Row(
        KEEPER,
        "hosts of a region that stay out for its hour",
        "hosts",
        ("region",),
        asked("restarts_per_day") / DAY * assumed("out_s") / regions,
        BUDGET * hosts / regions,
        f"held out by their permits; brought back without keepers: {MISSING}",
        safety=True,
        says="those out when it was cut off; nothing begins there, and it can't be halted by itself",
    ),
    Row(
        RELEASE,
        "entries of a service's release",
        "1/s",
        ("day",),
        line("releases.entries", service_directors, "directors")
        / line("releases.seconds", service_directors, "directors"),
        room,
        "`ironfall/rollout/`, a permit each",
        services=True,
    ),
    Row(
        RELEASE,
        "a service's release",
        "s",
        ("day",),
        line("releases.seconds", service_directors, "directors"),
        None,
        "`ironfall/rollout/`, in waves",
        services=True,
    ),
    Row(
        CONFIG,
        "a change to a service's directors",
        "s",
        ("day",),
        service_directors * assumed("hand_s") / assumed("hand_at_once"),
        IN_FORCE,
        f"by hand: a file and SIGHUP (`ironfall/platform/director.py`); {MISSING}",
        services=True,
    ),
    Row(
        CONFIG,
        "a change to all directors",
        "s",
        ("day",),
        directors * assumed("hand_s") / assumed("hand_at_once"),
        IN_FORCE,
        f"by hand: a file and SIGHUP (`ironfall/platform/director.py`); {MISSING}",
        says="the hand can do so many at once; nothing says when it is in force",
    ),
    Row(
        CONFIG,
        "changes to the services that they concern",
        "1/s",
        ALL,
        changes * directors / asked("services"),
        assumed("hand_at_once") / assumed("hand_s"),
        f"by hand; {MISSING}",
    ),
    Row(
        CONFIG,
        "each change to all directors",
        "1/s",
        ALL,
        changes * directors,
        assumed("hand_at_once") / assumed("hand_s"),
        f"by hand; {MISSING}",
        says="were each change one for all",
    ),
)


def places(capacity: Capacity, row: Row, occasion: str) -> list[Place]:
    services = spread(capacity.asked) if row.services else (WHOLE,)
    return [Place(capacity, service, OCCASIONS[occasion]) for service in services]


def read_at(row: Row, place: Place, need: Formula) -> Cell:
    missing = need.missing(place) + (row.limit.missing(place) if row.limit else [])
    if missing:
        return Cell(row, place, None, None, tuple(missing), ())
    limit = row.limit.of(place) if row.limit else None
    return Cell(row, place, need.of(place), limit, (), tuple(need.beyond(place)))


def cells(capacity: Capacity, row: Row, occasion: str, mechanism: str = "") -> list[Cell]:
    """One for each service of the spread, or one for all."""
    need = row.after[mechanism][0] if mechanism else row.need
    return [read_at(row, place, need) for place in places(capacity, row, occasion)]


def check(capacity: Capacity) -> None:
    """Raises `Faulty` where a measurement's sizes count something else than a formula takes them for."""
    place = Place(capacity, WHOLE, OCCASIONS["calm"])
    faults = set()
    for row in ROWS:
        formulas = [
            row.need,
            *(after for after, _ in row.after.values()),
            *([row.limit] if row.limit else []),
        ]
        for use in (use for one in formulas for use in one.uses):
            slope = place.capacity.slopes.get(use.name)
            if slope and use.by and slope.by != use.by:
                faults.add(
                    f"slope.{use.name}.by: {slope.by!r}, and {row.what!r} takes it for {use.by!r}"
                )
    if faults:
        raise Faulty("\n".join(sorted(faults)))
