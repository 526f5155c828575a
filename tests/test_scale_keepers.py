"""Counts of the keepers' side that tell how its work grows with a fleet: exact, and the same each time."""

import json
import os
import subprocess
import sys

import pytest

from benchmarks.scale._hollow import Idle, Tally, live
from benchmarks.scale._ledgers import Fleet
from ironfall.director.fleet_lease import DirectorIdentity, LeaseSettings
from ironfall.director.fleet_member import FleetMember
from ironfall.disruption import DisruptionRules, Fence, Ledger
from ironfall.lab.agents import Agent, Agents
from ironfall.terms import read_terms
from tests.keepers import ROOT, TERMS

SECOND = 10_000
TENANTS, ZONES = 50, 4


def kinds(fleet):
    return {
        "word of a host": fleet.agent,
        "word of a director": fleet.said,
        "line of the list": fleet.changed,
        "tick": fleet.tick,
    }


def walks(fleet):
    return {kind: fleet.walked(entry) for kind, entry in kinds(fleet).items()}


def test_what_an_entry_walks_over_does_not_grow_with_hosts():
    few, many = (Fleet(hosts, 8, TENANTS, ZONES) for hosts in (100, 1_600))
    assert set(few.ledger.state.scopes.counts) == set(many.ledger.state.scopes.counts), (
        "else they are no two sizes of one fleet"
    )
    assert walks(few) == walks(many)


@pytest.mark.parametrize("directors", [8, 64])
def test_an_entry_walks_over_scopes_and_directors_and_permits_and_no_more_than_a_few_times(
    directors,
):
    fleet = Fleet(400, directors, TENANTS, ZONES)
    ledger = fleet.ledger
    scopes, permits = len(ledger.state.scopes.counts), len(ledger.permits)
    # At a host's word: budgets, then what halts by itself; at a director's the channel is counted anew as well; a tick
    # looks for the causes of halts once more, to end them.
    most = {
        "word of a host": 2 * scopes + directors,
        "word of a director": 2 * scopes + 3 * directors,
        "line of the list": 2 * scopes + directors,
        "tick": 3 * scopes + 2 * directors,
    }
    for kind, count in walks(fleet).items():
        assert count <= most[kind] + 3 * permits, kind


def test_a_walk_is_counted_record_by_record():
    fleet = Fleet(100, 8, TENANTS, ZONES)

    def walked(_n):
        assert (
            len(list(fleet.ledger.hosts)) == 100 and len(list(fleet.ledger.directors.items())) == 8
        )
        return fleet.entry("hold", holder="work", inc=1)

    assert fleet.walked(walked) == 108, (
        "a lease of a holder is renewed without a walk, and the rest is ours"
    )
    assert type(fleet.ledger.hosts) is dict and fleet.ledger.hosts, "the ledger goes on as before"


class Recorded:
    """Keepers that take every entry."""

    def __init__(self):
        self.entries = []

    def propose(self, entry):
        self.entries.append(entry["k"])
        return {"ok": True}


@pytest.mark.parametrize("count", [1, 16])
def test_at_rest_a_director_is_one_entry_a_second_and_a_lease_each_third(count):
    terms, now = read_terms("fleet", TERMS.read_text()), [0.0]
    lease, keepers = 9 * SECOND, [Recorded() for _ in range(count)]
    members = [
        FleetMember(
            live(terms, f"d{n}", Tally()),
            one,
            DirectorIdentity(f"d{n}", "east", "1"),
            LeaseSettings(lease, 0.01),
            n,
        )
        for n, one in enumerate(keepers)
    ]
    for one in members:
        one.monotonic = lambda: now[0]
    for second in range(60):
        now[0] = float(second)
        for one, ledger in zip(members, keepers, strict=True):
            one.send_report(ledger)
    assert [(one.entries.count("words"), one.entries.count("join")) for one in keepers] == [
        (60, 20)
    ] * count


@pytest.mark.parametrize("count", [1, 16])
def test_at_rest_agents_are_one_entry_a_second_for_each_process_that_runs_them(count):
    def agent(n):
        return Agent(
            f"h{n}", Idle(), Fence(), lambda: None, 0, 0, SECOND, SECOND, lambda *_, **__: None
        )

    alone, together = Recorded(), Recorded()
    by_themselves = [Agents([agent(n)], lambda: 0) for n in range(count)]
    shared = Agents([agent(n) for n in range(count)], lambda: 0)
    for _ in range(10):
        for one in by_themselves:
            one.say(alone)
        shared.say(together)
    assert (len(alone.entries), len(together.entries)) == (10 * count, 10)


def test_only_two_voices_of_directors_or_the_list_take_a_silent_host_out():
    ledger, index = Ledger(), 0

    def put(kind, at, **fields):
        nonlocal index
        index += 1
        answer = json.loads(
            ledger.apply(index, json.dumps({"k": kind, "at": at * SECOND} | fields).encode())
        )
        assert "ok" in answer, answer

    def out():
        return ledger.state.scopes.counts["fleet"].unplanned

    line = {"zone": "z", "kind": "k", "tenants": [], "strength": 100, "classes": 1, "ready": True}
    put("rules", 0, rules=DisruptionRules(silence_quorum=2).facts())
    put("list", 0, v=1, hosts={"h0": line, "h1": line})
    for name in ("d0", "d1"):
        put("join", 0, director=name, inc=1, zone="z")
    put("agents", 1, hosts={"h0": {"inc": 1, "n": 1, "up": False}})
    assert out() == 0, "its agent says that its process is down"
    for second in range(2, 3_600):
        put("tick", second)
    assert out() == 0, "and has been silent for an hour"
    put("words", 3_600, directors={"d0": {"inc": 1, "n": 1, "silent": ["h0"]}})
    assert out() == 0, "one voice"
    put("words", 3_600, directors={"d1": {"inc": 1, "n": 1, "silent": ["h0"]}})
    assert out() == 1
    put("list", 3_600, v=2, hosts={"h1": line | {"ready": False}})
    assert out() == 2, "the list by itself"


PLAYED = """
import zlib
from ironfall.lab.releases_sim import Broken, Sim
sim = Sim(1, "", 16)
try:
    sim.run(60)
except Broken as cause:
    print(cause)
print(sim.index, zlib.crc32(sim.ledger.snapshot()))
"""


def test_a_seed_of_the_releases_plays_the_same_in_every_process():
    told = {
        subprocess.run(
            [sys.executable, "-c", PLAYED],
            env=os.environ | {"PYTHONHASHSEED": str(n)},
            cwd=ROOT,
            capture_output=True,
            check=True,
        ).stdout
        for n in (1, 2, 3)
    }
    assert len(told) == 1, told
