"""Stored data of installations in service opens, holds what was in it, and is gone on from (`tests/stored`)."""

import json
import shutil
from collections import Counter

import pytest

from ironfall.coordinator.disk import MemberStore
from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.events import EventKind
from ironfall.director.recorded_batches import replay
from ironfall.disruption import Ledger
from ironfall.files.store import Adoption, Store, pack
from ironfall.metrics.overflow import revive
from ironfall.proxy.table_cache import load_tables, save_tables
from ironfall.publication import MILLION, Holding
from ironfall.storage.disk import Folder
from ironfall.storage.segment_ring import SegmentRing
from ironfall.terms import read_terms
from tests.rig import TERMS
from tests.stored.write import HERE, SingleMember

STATES = {
    "host/h0": "lost",
    "host/h1": "returning",
    "host/h2": "out",
    "host/h3": "undoing",
    "host/h4": "empty",
    "host/h6": "granted",
    "host/h10": "draining",
}


@pytest.fixture
def stored(tmp_path):
    """A copy of the samples that a test may write to."""
    return shutil.copytree(
        HERE, tmp_path / "stored", ignore=shutil.ignore_patterns("*.py", "__pycache__")
    )


def reopened(folder):
    disk = Folder(folder)
    store = MemberStore(disk, "k1")
    found, faults = store.open()
    return disk, SingleMember(store, found), faults


def test_a_members_disk_is_opened_and_gone_on_from(stored):
    disk, group, faults = reopened(stored / "member")
    ledger = group.machine.ledger
    assert not faults and group.store.identity == "k1/26bbc3da"
    assert (group.member.term, group.member.commit_index, group.member.log.last_index) == (
        2,
        44,
        44,
    )
    assert (
        ledger.has_rules and len(ledger.directors) == 7 and ledger.directors["d5"].incarnation == 40
    )
    assert ledger.holders["s"].is_live and ledger.now == 9_000
    group.session = 2
    answer = group.propose(42, "sample", {"k": "hold", "at": 9_500, "holder": "s", "inc": 1})
    assert answer == {"ok": {"until": 9_500 + ledger.rules.lease}}
    disk.close()
    disk, group, faults = reopened(stored / "member")
    assert not faults and group.machine.ledger.now == 9_500 and group.member.commit_index == 46
    disk.close()


def test_a_torn_tail_is_cut_at_the_last_whole_record(stored):
    disk, group, faults = reopened(stored / "member_torn")
    assert len(faults) == 1 and "truncated after" in faults[0]
    ledger = group.machine.ledger
    assert not ledger.holders and len(ledger.directors) == 7  # the last entry was never confirmed
    group.session = 2
    assert "ok" in group.propose(41, "sample", {"k": "hold", "at": 9_000, "holder": "s", "inc": 1})
    disk.close()
    disk, group, faults = reopened(stored / "member_torn")
    assert not faults and group.machine.ledger.holders["s"].is_live
    disk.close()


def test_a_ledgers_snapshot_holds_every_state_and_is_written_as_it_was(stored):
    snapshot = (stored / "ledger.snapshot").read_bytes()
    ledger = Ledger()
    ledger.restore(snapshot)
    assert ledger.snapshot() == snapshot
    shown = ledger.inspect()
    assert {unit: permit["state"] for unit, permit in shown["permits"].items()} == STATES
    assert set(shown["halts"]) == {"release r1", "zone z1"} and shown["halts"]["release r1"]["own"]
    assert list(shown["asks"]) == ["s/1/7"] and shown["zones"]["z0"][:2] == [1, 37_340_000]
    assert len(ledger.hosts) == 24 and set(ledger.directors) == {"d0", "d1", "d2", "d9"}
    assert ledger.holders["s"].is_live and not ledger.holders["t"].is_live
    assert list(json.loads(ledger.apply(ledger.index + 1, b'{"k":"tick","at":37350000}'))) == ["ok"]
    again = Ledger()
    again.restore(ledger.snapshot())
    assert again.snapshot() == ledger.snapshot() and again.now == 37_350_000


def test_a_store_of_operators_files_is_opened_and_gone_on_from(stored):
    store = Store(Folder(stored / "files"))
    last = store.open()
    assert not store.faults and [one.number for one in store.adoptions] == [1, 2, 3]
    assert [one.effect for one in store.adoptions] == ["", "effect 199", "in effect"]
    assert last.texts == {"hosts.sexp": '(servers "resale" (by "o3") (host "a3" (weight 2)))'}
    assert (last.at, last.by, last.digest, last.since, last.summary) == (
        1e9 + 3,
        "sample",
        "digest3",
        {"a": 1e9},
        "1",
    )
    store.adopted(Adoption(4, 2e9, "sample", "digest4", pack(last.texts), {}, "2"))
    store.disk.close()
    assert Store(Folder(stored / "files")).open().number == 4


def test_a_proxys_kept_tables_are_opened_and_written_as_they_were(stored):
    written = (stored / "proxy" / "held").read_bytes()
    disk = Folder(stored / "proxy")
    kept, fault = load_tables(disk, 2)
    assert (
        not fault
        and [k.table for k in kept] == [{"a@127.0.0.1:1": MILLION, "b@127.0.0.1:2": 3}] * 2
    )
    assert [k.outs for k in kept] == [set(), {"b@127.0.0.1:2"}]
    assert [k.admit for k in kept] == [None, (500_000, 2)]
    holding = Holding(2, {})
    holding.cached = kept
    save_tables(disk, holding)
    assert (stored / "proxy" / "held").read_bytes() == written
    disk.close()


def test_the_overflow_of_measurements_is_opened_and_gone_on_from(stored):
    disk = Folder(stored / "overflow")
    ring = SegmentRing(disk, 1 << 16)
    assert not ring.faults and ring.weight == 15
    taken = ring.peek(3)
    (series, tags, at), waiting = revive(*taken[2])
    assert (series, tags, at) == ("ironfall.lines", (("zone", "hill"),), 1e9 + 2)
    assert (waiting.value, waiting.count, waiting.at, waiting.how) == (1.0, 3, 1e9 + 2, "last")
    assert ring.acknowledge(taken) == 6 and ring.weight == 9
    ring.append(taken)
    disk.close()
    again = SegmentRing(Folder(stored / "overflow"), 1 << 16)
    assert (
        not again.faults and again.weight == 21
    )  # what was taken and not all of its file was comes again


def test_a_record_of_turns_replays_without_a_difference(stored):
    lines = (stored / "record.turns").read_text().splitlines()
    kinds = Counter(call[0] for line in lines for call in json.loads(line).get("calls", ()))
    assert set(kinds) == set(EventKind)
    terms = read_terms(str(TERMS), TERMS.read_text())
    assert replay(lines, terms.service, DecisionEngine) == (len(lines), [])
