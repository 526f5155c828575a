"""Writes the samples of stored data beside this file: `python -m tests.stored.write [FOLDER]`.

The samples in the repository were written by the commit that added them and are never written anew: they stand for the
disks of installations in service. Every later version must open them (`tests/test_stored.py`).
"""

import io
import json
import random
import shutil
import sys
from dataclasses import replace
from pathlib import Path

from ironfall.consensus import Configuration, Outcome, PersistedState, RaftLimits, RaftNode, Role
from ironfall.coordinator.disk import MemberStore
from ironfall.coordinator.state_machine import LedgerStateMachine
from ironfall.coordinator.stored_records import AppendWrite, SnapshotWrite
from ironfall.decisions.events import EventKind
from ironfall.files.store import Adoption, Store, pack
from ironfall.metrics.overflow import record
from ironfall.metrics.spool import Waiting
from ironfall.proxy.table_cache import save_tables
from ironfall.publication import MILLION, Holding
from ironfall.storage.disk import Folder
from ironfall.storage.segment_ring import SegmentRing
from tests.stepped import Stepped, row
from tests.test_permits import RULES, SECOND, Fleet

HERE = Path(__file__).parent
BOUNDS = RaftLimits(max_log_entries=20, retained_entries=4)


class SingleMember:
    """The environment of a group of one member: writes go to its store at once, answers are kept by token."""

    def __init__(self, store, found):
        self.store, self.time, self.due, self.durable, self.answers = store, 0, 0, [], {}
        self.random_source = random.Random(1)
        self.machine = LedgerStateMachine()
        self.member = RaftNode(store.identity, BOUNDS, self, self.machine, found)
        self.confirm()
        while self.member.role is not Role.LEADER:
            self.time = max(self.time + 1, self.due)
            self.member.on_timer()
            self.confirm()

    def now(self):
        return self.time

    def set_timer(self, delay):
        self.due = self.time + delay

    def write_hard_state(self, number, state):
        self.write(number, state)

    def append_entries(self, number, index, entries):
        self.write(number, AppendWrite(index, list(entries)))

    def write_snapshot(self, number, index, snapshot, entries):
        self.write(number, SnapshotWrite(index, snapshot, list(entries)))

    def write(self, number, one):
        self.store.write([one])
        self.durable.append(number)

    def confirm(self):
        while self.durable:
            self.member.on_write_durable(self.durable.pop(0))

    def reply(self, token, outcome, answer):
        self.answers[token] = (outcome, answer)

    def report(self, text): ...

    def propose(self, number, asker, entry):
        """The ledger's answer to one entry, as a member confirms it to the asker."""
        data = LedgerStateMachine.encode_command(asker, number, json.dumps(entry).encode())
        self.member.propose(number, self.session, number, data)
        self.confirm()
        outcome, answer = self.answers.pop(number)
        assert outcome is Outcome.DONE, outcome
        return json.loads(answer.partition(b"\n")[2])

    def open_session(self):
        self.member.open_session(0)
        self.confirm()
        self.session = int(self.answers.pop(0)[1])


def member_disk(folder):
    """A consensus member's disk: a snapshot, a journal after it, a vote and a session."""
    disk = Folder(folder)
    store = MemberStore(disk, "k1")
    store.begin_incarnation()
    store.begin_group(Configuration((store.identity,)))
    group = SingleMember(
        store, PersistedState(initial_configuration=Configuration((store.identity,)))
    )
    group.open_session()
    group.propose(1, "sample", {"k": "rules", "at": 10, "rules": RULES.facts()})
    for number in range(2, 41):
        group.propose(
            number,
            "sample",
            {
                "k": "join",
                "at": number * 100,
                "director": f"d{number % 7}",
                "inc": number,
                "zone": "z0",
                "version": "1",
            },
        )
    group.member.on_timer()
    group.confirm()
    group.propose(41, "sample", {"k": "hold", "at": 9_000, "holder": "s", "inc": 1})
    disk.close()


def torn_member_disk(whole, folder):
    """The same disk after a power loss in the middle of its last record."""
    shutil.copytree(whole, folder)
    journal = max(folder.glob("*.journal"), key=lambda path: int(path.stem))
    journal.write_bytes(journal.read_bytes()[:-5])


def ledger_snapshot():
    """Hosts, directors, zones, holders, requests that wait, permits in every state, halts and past ones."""
    rules = replace(
        RULES,
        budgets=(("fleet", 7, 1_000_000), ("zone", 7, 1_000_000), ("directors", 2, 1_000_000)),
    )
    fleet = Fleet(rules, hosts=24)
    fleet.ok("load", **{"class": 0, "hours": [10] * 24})
    fleet.ok("hold", holder="t", inc=1)
    fleet.do("ask", holder="t", inc=1, n=1, units=["host/h0"], length=600 * SECOND)
    token = fleet.do(
        "drain", holder="t", inc=1, unit="host/h0", token=fleet.ledger.permits["host/h0"].token
    )
    token = token["ok"]["token"]
    fleet.list({"h0": False}, token=token)
    fleet.words(drained={"h0": token})
    fleet.pass_time(6)
    fleet.agents(["h0"], quiet=6 * SECOND)
    assert "ok" in fleet.do("out", holder="t", inc=1, unit="host/h0", token=token)
    fleet.pass_time(110)
    fleet.ok("lapse", role="holder", name="t", inc=1)
    out = fleet.to_out("h1", 1)
    fleet.step("back", "h1", out)
    fleet.to_out("h2", 2)
    fleet.ask(3, "h3", release="r1")
    fleet.step("drain", "h3", fleet.ledger.permits["host/h3"].token)
    fleet.ok("harm", release="r1", reason="more errors")
    token = fleet.to_empty("h4", 4)
    fleet.ok(
        "digest",
        made=fleet.now,
        zones={"z0": False},
        came={"d9": [1, "z0", "2"]},
        directors={"d9": {"inc": 1, "n": 1, "proxies": 4}},
    )
    fleet.ok("digest", made=fleet.now, vouch={"z0": [0, fleet.index, {"h4": token}]})
    fleet.ask(5, "h10")
    fleet.step("drain", "h10", fleet.ledger.permits["host/h10"].token)
    fleet.ask(6, "h6")
    fleet.ask(7, "h7", "h8")
    fleet.ask(8, "h9")
    fleet.ok("cancel", holder="s", inc=1, n=8)
    fleet.ok("halt", scope="zone z1", by="operator", reason="inspection")
    return fleet.ledger.snapshot()


def operator_files(folder):
    """The store of operators' files: adoptions, their effects, a snapshot and a journal after it."""
    disk = Folder(folder)
    store = Store(disk)
    store.open()
    for number in range(1, 4):
        text = f'(servers "resale" (by "o{number}") (host "a{number}" (weight 2)))'
        packed = pack({"hosts.sexp": text})
        store.adopted(
            Adoption(number, 1e9 + number, "sample", f"digest{number}", packed, {"a": 1e9}, "1")
        )
    for turn in range(200):
        store.effect(2, f"effect {turn}")
    store.effect(3, "in effect")
    disk.close()


def proxy_tables(folder):
    """What a proxy keeps over a restart."""
    disk = Folder(folder)
    holding = Holding(2, {"a@127.0.0.1:1": MILLION, "b@127.0.0.1:2": 3})
    holding.cached[1].outs = {"b@127.0.0.1:2"}
    holding.cached[1].admit = (500_000, 2)
    save_tables(disk, holding)
    disk.close()


def metrics_overflow(folder):
    """Measurements that found no room in the sender's memory."""
    disk = Folder(folder)
    ring = SegmentRing(disk, 1 << 16)
    ring.append(
        [
            record(
                ("ironfall.lines", (("zone", "hill"),), 1e9 + n),
                Waiting(n / 2, n + 1, 1e9 + n, "last"),
            )
            for n in range(5)
        ]
    )
    disk.close()


def recorded_turns():
    """A record of turns with every kind of event in it."""
    record = io.StringIO()
    world = Stepped(hosts=9, record=record)
    peers = [
        world.peer(f"p{n}", zone, 20.0 + n)
        for n, zone in enumerate(("harbour", "hill", "plain", "hill"))
    ]
    turns, host = [0], lambda n: world.live.host_list.ids[f"h{n}@{row(n)['address']}"]

    def each():
        turns[0] += 1
        if turns[0] % 10 == 0:
            for peer in peers:
                fails = 20 if turns[0] > 200 else 0
                peer.sums(
                    [
                        (f"h{n}@{row(n)['address']}", 20, fails if n == 4 else 0, 5 + n)
                        for n in range(9)
                    ],
                    [(0, 120, 2), (1, 40, 0)],
                    gauges={"inflight": 2.0, "latency": 4.0},
                )
        if turns[0] % 100 == 0:
            world.live.put(EventKind.HEALTH_CHECK, host(1), turns[0] % 200 == 0, {"rif": 3.0})
            world.live.put(EventKind.GAUGE_READING, host(2), 1000, {"rif": 1.0})

    world.run(8, each=each)
    world.live.put(EventKind.WEIGHT_BOUNDS, host(3), 0.5, 0.75)
    world.live.put(EventKind.EXCLUDED_CLASSES, host(5), 2)
    world.live.put(EventKind.HOST_LIST_FAILED)
    world.live.put(EventKind.PROXY_DESYNCHRONIZED, 1)
    world.run(6, each=each)
    world.list([row(0, "draining"), row(6, "gone"), row(7, start="2", age_ms=10)], whole=False)
    peers.pop().leave()
    world.run(16, each=each)
    return record.getvalue()


def main(folder):
    member_disk(folder / "member")
    torn_member_disk(folder / "member", folder / "member_torn")
    (folder / "ledger.snapshot").write_bytes(ledger_snapshot())
    operator_files(folder / "files")
    proxy_tables(folder / "proxy")
    metrics_overflow(folder / "overflow")
    (folder / "record.turns").write_text(recorded_turns())
    for lock in folder.glob("*/.lock"):
        lock.unlink()


if __name__ == "__main__":
    main(Path(sys.argv[1]) if len(sys.argv) > 1 else HERE)
