"""Directors, agents and the lab's registry with the coordinators, and the fleet judge."""

import copy
import itertools
import random
import time
from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest
import structlog
from gevent.server import StreamServer

from ironfall.director import fleet_member
from ironfall.director.channel import Channel
from ironfall.director.fleet_lease import DirectorIdentity, FleetLease, LeaseSettings
from ironfall.director.fleet_member import CoordinatorLedger
from ironfall.director.program import Program
from ironfall.director.sessions import Sessions
from ironfall.director.status_report import StatusLimits, StatusReport, StatusReporter
from ironfall.disruption import Fence, FleetSettings
from ironfall.disruption.settings import AggregatorSettings
from ironfall.lab.agents import Agent, Kept
from ironfall.lab.day import read_day
from ironfall.lab.fleet_judge import Fleet, FleetJudge
from ironfall.lab.fleet_sim import WRONG, Sim, wrong
from ironfall.lab.hosts import Fleet as HostFleet
from ironfall.lab.play import beside_keepers, fleet_of
from ironfall.lab.registry import Marking, Registry, Telling
from ironfall.lab.tape import Tape, read
from ironfall.lab.works import Works
from ironfall.publication import Holding, Publication
from ironfall.storage.disk import Folder
from ironfall.terms import read_terms
from tests.disks import Disk as FakeDisk
from tests.keepers import Group
from tests.rig import Peer, Rig, until
from tests.test_director import bound

SECOND = 10_000
H0, H1 = "h0@10.0.0.1:1", "h1@10.0.0.2:1"


class DirectorState:
    """The publication, sessions and status reporter of a director, without its event loop."""

    def __init__(self):
        self.publication = Publication(1, 2, max_versions=50)
        self.sessions = Sessions(10_000, 4 * SECOND, 40)
        limits = StatusLimits(100.0, 6 * SECOND, 3 * SECOND)
        self.reporter = StatusReporter(self.publication, self.sessions, Channel(1000.0), 2, limits)
        for table in (0, 1):
            for host in (H0, H1):
                self.publication.set_weight(table, host, 1.0)
        self.publication.close()

    def join(self, name, assigned=True):
        session = self.sessions.open(0, name, name, 0, 0)
        session.released = session.confirmed = self.publication.join(session.number)
        if assigned:
            self.assign(session)
        return session

    def assign(self, session, confirmed=True):
        for kind in (0, 1):
            self.publication.assign(session.number, kind, 1 << kind)
        self.publication.close()
        session.released = self.publication.version
        session.confirmed = self.publication.version if confirmed else session.confirmed

    def set_marker(self, token, state="draining", at=0, name="h0", is_complete=False):
        self.reporter.markers.on_host_list(
            at, [{"name": name, "state": state, "token": token}], is_complete
        )

    def withdraw(self, host=H0, out=True):
        self.publication.withdraw(host, out)
        self.publication.close()

    def updated_report(self, now=0, silent=()):
        for _ in self.reporter.update(now, [H0, H1], list(silent)):
            pass
        return self.reporter.report.as_json()


def confirm(director, *sessions):
    for session in sessions:
        session.confirmed = session.released = director.publication.version


def test_drain_is_confirmed_once_no_joined_proxy_can_pick_the_host():
    director = DirectorState()
    first, second = director.join("p1"), director.join("p2")
    director.set_marker(7)
    assert director.updated_report()["drained"] == {}, "the host is still in the tables"
    director.withdraw()
    assert director.updated_report()["drained"] == {}, (
        "the withdrawal is not confirmed by any proxy"
    )
    confirm(director, first)
    assert director.updated_report()["drained"] == {}
    confirm(director, second)
    assert director.updated_report()["drained"] == {"h0": 7}
    late = director.join("p3", assigned=False)
    assert director.updated_report()["drained"] == {}, (
        "a proxy that joined with an old table uses it until it is assigned another"
    )
    director.assign(late, confirmed=False)
    assert director.updated_report()["drained"] == {}
    confirm(director, late)
    assert director.updated_report()["drained"] == {"h0": 7}
    director.withdraw(out=False)
    director.withdraw()
    assert director.updated_report()["drained"] == {}, (
        "the host was back in a version that a proxy may hold"
    )
    confirm(director, first, second, late)
    director.set_marker(6, "ready")
    assert director.updated_report()["drained"] == {"h0": 7}, (
        "an order with an older token is ignored"
    )
    director.set_marker(9, "ready")
    assert director.updated_report()["drained"] == {}


@pytest.mark.parametrize("seed", range(30))
def test_host_of_a_confirmed_drain_is_in_no_proxys_tables(seed):
    """Compares with the proxies' states under random orders, polls, compactions and joins."""
    rng, director = random.Random(seed), DirectorState()
    director.publication.max_versions = 6
    holdings, confirmed_drains = {}, 0
    director.set_marker(5)
    for n in range(300):
        action = rng.choice(
            (
                "out",
                "in",
                "join",
                "assign",
                "poll",
                "poll",
                "poll",
                "leave",
                "weight",
                "report",
                "report",
            )
        )
        session = rng.choice(list(holdings)) if holdings else None
        if action in ("out", "in"):
            if (H0 in director.publication.outs) != (
                action == "out"
            ) and rng.random() < 0.3 + 0.6 * (action == "out"):
                director.withdraw(out=action == "out")
        elif action == "weight":
            director.publication.set_weight(
                rng.randrange(2), rng.choice((H0, H1)), rng.choice((0.0, 1.0, 2.0))
            )
            director.publication.close()
        elif action == "join" and len(holdings) < 4:
            session = director.join(f"p{n}", assigned=False)
            holdings[session] = Holding(2, {H0: 1, H1: 1})
            holdings[session].join(1, session.confirmed)
        elif action == "assign" and session:
            director.assign(session, confirmed=False)
        elif action == "leave" and session:
            director.sessions.close(session)
            director.publication.leave(session.number)
            del holdings[session]
        elif action == "poll" and session:
            session.released = director.publication.version
            start = (
                session.confirmed
                if director.publication.reaches(session.confirmed, session.released)
                else -1
            )
            holdings[session].apply(
                director.publication.delta(session.number, start, session.released)
            )
            session.confirmed = holdings[session].version
        elif action == "report":
            if director.updated_report()["drained"]:
                confirmed_drains += 1
                assert not any(H0 in holding.named() for holding in holdings.values()), n
    assert confirmed_drains, "no drain was confirmed with this seed"
    oldest_allowed = director.publication.version - 6
    assert director.publication.base >= oldest_allowed, "the history was never compacted"


def test_status_report_shows_unassigned_proxies_shares_and_limit_use():
    director = DirectorState()
    director.join("p1")
    unassigned = director.join("p2", assigned=False)
    unassigned.held_polls = 1
    for request_class, requests, failed in ((0, 60, 6), (1, 40, 0)):
        director.reporter.on_request_report(request_class, requests, failed)
    director.publication.admit(2, 0.5, 1)
    director.publication.close()
    report = director.updated_report(now=0, silent=[H1])
    assert (report["proxies"], report["bare"], report["silent"]) == (2, 1, ["h1"])
    assert report["binding"] == 2 * 2 + 2 + 0 + 1
    assert (report["refused"], report["fulfilled"]) == (200_000, 740_000)
    assert director.updated_report(now=3 * SECOND)["near"] == 500_000
    unassigned.held_polls = 0
    assert director.updated_report(now=4 * SECOND)["near"] == 0, (
        "a proxy that does not poll may be gone"
    )
    assert director.updated_report()["fulfilled"] == 1_000_000
    director.withdraw(H0)
    director.withdraw(H1)
    assert director.updated_report()["bare"] == 2


def test_status_report_is_made_in_steps():
    director = DirectorState()
    for n in range(1000):
        director.join(f"p{n}", assigned=False)
    assert sum(1 for _ in director.reporter.update(0, [H0], [])) == 3
    for session in director.sessions.by_token.values():
        for kind in (0, 1):
            director.publication.assign(session.number, kind, 1 << kind)
    director.publication.close()
    director.set_marker(3)
    director.withdraw()
    confirm(director, *director.sessions.by_token.values())
    assert director.updated_report()["drained"] == {"h0": 3}
    steps = director.reporter.update(0, [H0], [])
    next(steps)
    director.withdraw(out=False)
    for _ in steps:
        pass
    assert director.reporter.report.as_json()["drained"] == {}, (
        "the host came back during the update"
    )


def test_lease_starts_at_its_request_and_is_requested_again_under_a_new_incarnation():
    identity = DirectorIdentity("d1", "hill", "1")
    lease = FleetLease(identity, 100, LeaseSettings(9 * SECOND, 0.1))
    report = StatusReport()
    assert lease.is_renewal_due(1)
    lease.on_granted(1000)
    assert not lease.is_renewal_due(1000 + 3 * SECOND - 1) and lease.is_renewal_due(
        1000 + 3 * SECOND
    )
    assert lease.is_valid(1000 + 8 * SECOND) and not lease.is_valid(1000 + int(8.1 * SECOND))
    assert [lease.report_entry(report, False, 0)["directors"]["d1"]["n"] for _ in range(3)] == [
        1,
        2,
        3,
    ]
    lease.on_incarnation_over()
    assert lease.is_renewal_due(1000) and not lease.is_valid(1000)
    entry = lease.report_entry(StatusReport(proxies=1), True, 7)["directors"]["d1"]
    status = {"proxies": 1, "leaving": True, "token": 7}
    assert entry == report.as_json() | {"inc": 101, "n": 1} | status


def silent_server(sock, _address):
    gevent.sleep(600)


def faulty_server(sock, _address):
    for n in itertools.count():
        sock.recv(9999)
        body = (b"ok", b"[]", b'{"index":1,"answer":7}', b'{"index":1,"answer":{"ok":3}}', b"\xff")[
            n % 5
        ]
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


@pytest.mark.parametrize("who", ["keepers", "observers"])
@pytest.mark.parametrize("how", [silent_server, faulty_server])
def test_batches_and_polls_go_on_with_silent_or_faulty_coordinators_or_aggregators(
    how, who, monkeypatch
):
    monkeypatch.setattr(fleet_member, "REPORT_INTERVAL_SECONDS", 0.2)
    connections = []
    server = StreamServer(
        ("127.0.0.1", 0), lambda sock, address: connections.append(address) or how(sock, address)
    )
    server.start()
    address = "127.0.0.1", server.server_port
    fleet = FleetSettings(keepers=(("k1", address),), lease=4 * SECOND)
    if who == "observers":
        fleet = replace(
            fleet,
            observers=tuple(AggregatorSettings(name, address, "east") for name in ("o1", "o2")),
        )
    with Rig(fleet=fleet) as rig:
        peer, holding = bound(rig)
        until(lambda: connections)
        longest, batches = 0.0, rig.live.batch_durations.get_total_count()
        for _ in range(10):
            started_at = time.monotonic()
            assert peer.poll(version=holding.version, wait_ms=20)[0] in (200, 204)
            longest = max(longest, time.monotonic() - started_at)
        assert (
            longest < 1.0
        )  # a director that waited for its coordinators would hold the poll for their time-out
        assert peer.sums(1, h1=(10, 2)) == 204
        until(lambda: rig.live.batch_durations.get_total_count() > batches + 1)
        until(lambda: rig.live.counts.get("keepers unheard"))
        assert rig.program.status()["member"]["trouble"]
    server.stop(0)


def test_director_joins_reports_a_drain_and_rejoins_after_its_lease_expired(monkeypatch):
    monkeypatch.setattr(fleet_member, "REPORT_INTERVAL_SECONDS", 0.2)
    expired, entries = [], []

    def propose(entry):
        entries.append(entry)
        if entry["k"] == "join":
            return (
                {"no": "incarnation is over"} if entry["inc"] in expired else {"ok": {"until": 5}}
            )
        inc = entry["directors"]["director"]["inc"]
        return {"ok": {"director": "no live lease"} if inc in expired else True}

    with Rig(keepers=SimpleNamespace(propose=propose)) as rig:
        peer, holding = bound(rig)
        rows = copy.deepcopy(rig.registry.rows)
        rows[0] |= {"state": "draining", "token": 41}
        rig.registry.set(rows)

        def reports():
            return [e["directors"]["director"] for e in entries if e["k"] == "words"]

        until(
            lambda: (
                reports()
                and reports()[-1]["drained"] == {}
                and any("h0@" in h for h in rig.live.publication.outs)
            )
        )
        status, state = peer.poll(version=holding.version)
        assert holding.apply(state) and any("h0@" in h for h in holding.outs)
        assert not any(report["drained"] for report in reports()), (
            "the withdrawal is published and not confirmed"
        )
        peer.poll(version=holding.version, wait_ms=1)
        until(lambda: reports()[-1]["drained"] == {"h0": 41} and reports()[-1]["proxies"] == 1)
        statuses = [
            peer.client.call("POST", f"/v1/leaving?token={n}&leaving={on}", 2).status
            for n, on in ((5, 1), (4, 0), (0, 1), (5, 7))
        ]
        assert statuses == [204, 409, 400, 400]
        until(lambda: (reports()[-1]["leaving"], reports()[-1]["token"]) == (True, 5))
        expired.append(rig.live.epoch)
        until(lambda: reports()[-1]["inc"] == rig.live.epoch + 1, 15)
        assert [report["n"] for report in reports() if report["inc"] == rig.live.epoch + 1][0] == 1


# Agents and the lab's registry.


class Process:
    def __init__(self):
        self.up, self.incarnation, self.busy, self.last, self.held, self.did = (
            True,
            1,
            0,
            0,
            False,
            [],
        )

    def hand(self):
        return self.busy

    def came(self):
        return self.last

    def stop(self, token):
        self.up, self.held = False, True
        self.did.append(("stop", token))

    def start(self, token):
        if self.held:
            self.up, self.held, self.incarnation = True, False, self.incarnation + 1
            self.did.append(("start", token))


def make_agent(disk, process=None, now=0):
    kept = Kept(disk, "h0.kept")
    fence = Fence(kept.state["tokens"])
    process = process or Process()
    return Agent(
        "h0",
        process,
        fence,
        lambda: kept.save(tokens=fence.state()),
        kept.first(),
        now,
        SECOND,
        5 * SECOND,
        lambda *_, **__: None,
    )


def test_agent_stops_only_an_idle_host_and_reports_the_order_it_acted_on():
    agent = make_agent(FakeDisk())
    assert agent.ordered(0, "leaving", 5) and agent.word(10)["token"] == 5
    agent.process.busy, agent.process.last = 1, 4 * SECOND
    assert agent.ordered(5 * SECOND, "stopped", 8) and agent.process.up
    assert (agent.word(5 * SECOND)["quiet"], agent.word(5 * SECOND)["token"]) == (0, 5)
    agent.process.busy = 0
    agent.act(5 * SECOND - 1)
    assert agent.process.up, "a request came less than the quiet time ago"
    agent.act(5 * SECOND)
    assert agent.process.did == [("stop", 8)]
    report = agent.word(6 * SECOND)
    assert (report["up"], report["token"], report["quiet"]) == (False, 8, 2 * SECOND)
    assert agent.ordered(7 * SECOND, "starting", 9) and agent.process.did[-1] == ("start", 9)
    assert agent.word(7 * SECOND)["quiet"] == 0 and agent.word(7 * SECOND)["inc"] == 2
    assert not agent.ordered(8 * SECOND, "stopped", 8) and agent.process.up


def test_stop_order_that_is_not_repeated_is_not_executed():
    agent = make_agent(FakeDisk())
    agent.process.busy = 1
    agent.ordered(0, "stopped", 8)
    agent.process.busy = 0
    agent.act(5 * SECOND + 1)
    assert agent.process.up, "a halt may have revoked the order without reaching the agent"
    agent.ordered(6 * SECOND, "leaving", 8)
    agent.ordered(7 * SECOND, "stopped", 8)
    assert not agent.process.up, "the halt was lifted and the order repeated"


def test_agent_executes_no_older_order_after_a_restart_or_full_disk_and_rejects_a_truncated_file():
    disk = FakeDisk()
    agent = make_agent(disk)
    assert agent.ordered(0, "leaving", 20)
    first = [agent.word(n)["n"] for n in range(9)][-1]
    again = make_agent(disk)
    assert not again.ordered(9 * SECOND, "stopped", 12) and again.process.up
    assert again.word(1)["n"] > first, "report numbers increase across restarts"
    again.process.busy = 1
    assert again.ordered(9 * SECOND, "stopped", 20)  # accepted; waits for the host to be idle
    again.process.busy, disk.full_from = 0, 0
    with pytest.raises(OSError):
        again.ordered(9 * SECOND, "stopped", 21)
    again.act(9 * SECOND)
    assert again.process.up and again.word(1)["token"] == 0, (
        "neither the newer nor the older order is executed"
    )
    disk.full_from = -1
    assert again.ordered(9 * SECOND, "stopped", 21) and not again.process.up
    assert make_agent(disk).fence.tokens == {"host/h0": 21}
    disk.files["h0.kept"] = disk.files["h0.kept"][:-2]
    with pytest.raises(ValueError, match="h0.kept: byte 0"):
        make_agent(disk)


def make_marking(disk):
    kept = Kept(disk, "registry.kept")
    return Marking(
        kept.state["tokens"], kept.state.get("leaving", []), kept.save, lambda *_, **__: None
    )


def test_registry_shows_the_newest_drain_mark_and_keeps_it_over_a_restart():
    disk, row = FakeDisk(), {"name": "h0", "state": "ready"}
    marking = make_marking(disk)
    assert marking.dress(row) == row
    assert marking.marked([("host/h0", "leaving", 7), ("director/d1", "leaving", 8)]) == ["h0"]
    assert marking.dress(row) == row | {"state": "draining", "token": 7}
    assert marking.dress(row | {"state": "gone"})["state"] == "gone"
    assert marking.marked([("host/h0", "leaving", 7)]) == [], "a repeated order changes nothing"
    marking = make_marking(disk)
    assert (
        marking.dress(row)["state"] == "draining"
        and marking.marked([("host/h0", "ready", 6)]) == []
    )
    assert marking.marked([("host/h0", "starting", 9)]) == [] and marking.dress(row)["token"] == 7
    disk.full_from = 0
    with pytest.raises(OSError):
        marking.marked([("host/h0", "ready", 9)])
    assert marking.dress(row) == row | {"state": "draining", "token": 7}
    disk.full_from = -1
    assert marking.marked([("host/h0", "ready", 9)]) == ["h0"] and marking.dress(row) == row | {
        "token": 9
    }
    assert marking.marked([("host/h0", "leaving", 9)]) == [], (
        "a late order under the token of the return to ready"
    )


def test_host_list_changes_are_sent_until_they_are_acknowledged():
    telling = Telling(5)
    assert telling.entry() is None
    telling.changed("h0", {"ready": True})
    telling.changed("h1", None)
    first = telling.entry()
    assert (first["v"], list(first["hosts"]), first["gone"]) == (6, ["h0"], ["h1"])
    telling.changed("h0", {"ready": False})  # while the first update is in transit
    telling.told(first)
    second = telling.entry()
    assert (second["v"], second["hosts"], second["gone"]) == (7, {"h0": {"ready": False}}, [])
    assert telling.entry()["v"] == 8, (
        "the last update is unacknowledged and so is sent again under a newer number"
    )


# The fleet judge.


def find_broken_rules(*rows, budgets=(("fleet", 1, 1_000_000), ("zone", 1, 1_000_000))):
    hosts = {f"h{n}": (f"z{n % 2}", "k", ("t",)) for n in range(4)}
    fleet = Fleet(
        hosts,
        {"d1": "z0", "d2": "z1"},
        (*budgets, ("directors", 1, 1_000_000)),
        8 * SECOND,
        0,
        2 * SECOND,
        3 * SECOND,
        60 * SECOND,
    )
    rows = sorted(rows, key=lambda row: row[0])
    tape = [{"t": int(t * SECOND), "e": what, "who": who, **about} for t, what, who, about in rows]
    rules = FleetJudge(fleet).read(tape).verdict(100 * SECOND)
    return {name for name, rule in rules.items() if rule.breaks}


def list_row(t, host, state, token):
    return (
        t,
        "shown",
        "registry",
        {"unit": f"host/{host}", "state": state, "token": token, "leaving": state == "draining"},
    )


def agent_action(t, what, who, token, unit=None):
    return t, what, who, {"unit": unit or f"host/{who}", "inc": 1, "token": token}


def process_state(t, who, hand=0, what="down"):
    return t, what, who, {"inc": 1, "hand": hand}


MAINTENANCE = [
    list_row(1, "h0", "draining", 5),
    agent_action(9, "stopped", "h0", 7),
    process_state(9.01, "h0"),
    agent_action(20, "started", "h0", 9),
    process_state(20.1, "h0", 0, "up"),
    list_row(21, "h0", "ready", 9),
]


@pytest.mark.parametrize(
    "broken_rule, rows",
    [
        ("", MAINTENANCE),
        (
            "budget",
            [
                *MAINTENANCE[:2],
                list_row(19, "h1", "draining", 12),
                *MAINTENANCE[3:],
                list_row(25, "h1", "ready", 14),
            ],
        ),
        (
            "budget",
            [process_state(0.5, "h2"), *[(t + 9, *row) for t, *row in MAINTENANCE]],
        ),  # lost long before, with planned work on top
        (
            "",
            [
                process_state(1.5, "h2"),
                process_state(4, "h2", 0, "up"),
                *[(t + 2, *row) for t, *row in MAINTENANCE],
            ],
        ),  # the loss is not known yet
        (
            "budget",
            [
                list_row(1, "h0", "draining", 5),
                process_state(3, "h2"),
                list_row(10, "h0", "ready", 7),
            ],
        ),  # the planned work was called off too late
        (
            "",
            [
                list_row(1, "h0", "draining", 5),
                process_state(3, "h2"),
                list_row(7, "h0", "ready", 7),
            ],
        ),
        (
            "halt",
            [
                (0.1, "halt", "operators", {"scope": "zone z0"}),
                *[(t + 9, *row) for t, *row in MAINTENANCE],
            ],
        ),
        (
            "",
            [
                (0.1, "halt", "operators", {"scope": "zone z1"}),
                *[(t + 9, *row) for t, *row in MAINTENANCE],
            ],
        ),
        (
            "",
            [
                (0.1, "halt", "operators", {"scope": "all"}),
                (2, "lift", "operators", {"scope": "all"}),
                *[(t + 9, *row) for t, *row in MAINTENANCE],
            ],
        ),
        (
            "halt",
            [
                MAINTENANCE[0],
                (1.1, "halt", "operators", {"scope": "tenant t"}),
                *[(t + 3, *row) for t, *row in MAINTENANCE[1:]],
            ],
        ),
        ("hand", [*MAINTENANCE[:2], process_state(9.01, "h0", 2), *MAINTENANCE[3:]]),
        ("hand", MAINTENANCE[1:]),  # stopped while the list calls it ready
        (
            "token",
            [*MAINTENANCE[:-1], list_row(21, "h0", "ready", 9), list_row(22, "h0", "ready", 8)],
        ),
        (
            "token",
            [
                *MAINTENANCE,
                list_row(22, "h0", "draining", 12),
                agent_action(23, "stopped", "h0", 7),
                agent_action(24, "started", "h0", 15),
                list_row(25, "h0", "ready", 15),
            ],
        ),
        ("ends", MAINTENANCE[:-1]),
        ("ends", MAINTENANCE[:3]),
        (
            "budget",
            [
                agent_action(1, "stopped", "d1", 3, "director/d1"),
                process_state(1.01, "d1"),
                agent_action(2, "stopped", "d2", 4, "director/d2"),
                process_state(2.01, "d2"),
                agent_action(3, "started", "d1", 5, "director/d1"),
                process_state(3, "d1", 0, "up"),
                agent_action(4, "started", "d2", 6, "director/d2"),
                process_state(4, "d2", 0, "up"),
            ],
        ),
    ],
)
def test_fleet_judge_finds_the_broken_rule_and_no_other(broken_rule, rows):
    assert find_broken_rules(*rows) == ({broken_rule} if broken_rule else set())


@pytest.mark.parametrize("seed", range(8))
def test_simulated_fleet_under_faults_breaks_no_rule(seed):
    sim = Sim(seed)
    assert not any(rule.breaks for rule in sim.run().values())
    assert any(row["e"] == "started" for row in sim.tape), "no host was restarted"


@pytest.mark.parametrize("name", WRONG)
def test_fleet_judge_detects_each_faulty_actor(name):
    rule = WRONG[name][1]
    assert any(wrong(name)(seed).run()[rule].breaks for seed in range(12))


# All parts with a real coordinator.

DAY = """terms fleet.sexp
length 60s
hosts east 5 cores 2
hosts west 5 cores 2
proxies east 1
director east
demand 10
class lookup share 60% work 20ms
class order share 40% work 20ms
"""


class CompleteFleet:
    """Hosts, agents, registry and a director in this process, and a coordinator process."""

    def __init__(self, group):
        copies = {
            who: read_terms(who, group.terms_of(who).read_text())
            for who in ("registry", "agents", "d1")
        }
        self.terms = copies["d1"]
        folder = group.folder
        self.day = read_day(str(folder / "x.day"), DAY)
        self.tape = Tape(folder / "all.tape")
        self.lab = HostFleet(self.day, self.terms, self.tape.teller, 1, "127.77")
        self.registry = Registry(("127.0.0.1", 0), self.lab, self.tape.teller("registry"))
        self.lab.start()
        self.disk = Folder(folder / "kept")
        self.jobs = beside_keepers(
            self.lab, self.registry, copies["registry"], self.disk, 1, copies["agents"]
        )
        self.registry.start()
        own = replace(
            copies["d1"], listen=("127.0.0.1", 0), registry=("127.0.0.1", self.registry.server.port)
        )
        self.director = Program(own, structlog.get_logger(), "d1", "east", seed=1)
        self.director.start()
        self.live, self.address = self.director.director, ("127.0.0.1", self.director.server.port)

    def stop(self):
        for job in self.jobs:
            job.stop()
        self.director.stop()
        self.registry.server.stop(0)
        for host in self.lab.hosts.values():
            host.die()
        self.disk.close()
        self.tape.flush()

    def follow(self):
        """Runs a proxy that applies every state."""
        peer, holding = Peer(self, "p1", "east", 10.0), Holding(2, {})
        holding.join(peer.joined.epoch, peer.joined.version)
        while True:
            _, state = peer.poll(version=holding.version, wait_ms=500)
            if state is not None:
                holding.apply(state)


def test_host_is_stopped_and_restarted_by_a_real_coordinator_director_agent_and_registry(tmp_path):
    group = Group(tmp_path, 1)
    group.file.write_text(group.file.read_text().replace("(lease 10s)", "(lease 3s) (empty 1s)"))
    with group:
        fleet = CompleteFleet(group)
        proxy, host, record = (
            gevent.spawn(fleet.follow),
            fleet.lab.hosts["h03"],
            fleet.tape.teller("operators"),
        )
        works = Works(
            lambda who: CoordinatorLedger(group.asker(who), 2.0),
            "s",
            1,
            3 * SECOND,
            random.Random(1),
            record,
            fleet.live.log,
        )
        try:
            until(lambda: fleet.director.status()["member"]["lease_s"] > 0)
            works.halt("zone east", 0)
            gevent.spawn(works.work, "h03", 0.5)
            until(lambda: "h03" in str(fleet.live.publication.outs) and host.up)
            until(lambda: not host.up, 20)
            until(lambda: works.ended and fleet.registry.rows[host.id]["state"] == "ready", 20)
            read_state = group.asker("end").read_status
            until(lambda: read_state().body.get("ledger", {}).get("permits") == {})
        finally:
            works.stop()
            proxy.kill()
            fleet.stop()
    rows = list(read(tmp_path / "all.tape"))
    assert not any(
        r.breaks
        for r in FleetJudge(fleet_of(fleet.day, fleet.terms)).read(rows).verdict(0).values()
    )
    events = [row["e"] for row in rows if "scope" in row or "unit" in row and row["e"] != "shown"]
    assert events == ["halt", "lift", "stopped", "started"]
