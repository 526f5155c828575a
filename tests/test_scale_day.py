"""The day of a whole fleet in the small, its judge, and the bounds that a large one is sized by."""

import json
from itertools import islice

import pytest

from benchmarks.day import Day
from ironfall.coordinator.limits import COORDINATOR_LIMITS, limits_for
from ironfall.coordinator.state_machine import FULL, LedgerStateMachine
from ironfall.disruption import DisruptionRules, Ledger
from ironfall.disruption.settings import SECOND, SNAPSHOT_MOST
from ironfall.lab import permits_sim
from ironfall.lab.permits_counted import CountedJudge
from ironfall.lab.registry import Marking, Telling
from ironfall.storage.records import MAX_RECORD_BYTES
from tests.test_permits import Fleet, fleet_of

HOST = {"zone": "z", "kind": "k", "tenants": ["t"], "strength": 1, "classes": 1, "ready": True}


def day(hosts, hours=6):
    return Day(hosts, hosts // 8, hours, 2, 1, lambda text: None).run()


@pytest.fixture(scope="module")
def days():
    return {hosts: day(hosts) for hosts in (930, 1_860)}


def test_an_ordinary_day_ends_with_the_judges_quiet_and_all_its_work_done(days):
    for one in days.values():
        assert one.done["hosts"] >= one.restarts > 0 and one.done["failures"] == one.failures
        assert not one.due and not one.ledger.permits and not one.ledger.requests
        assert all(
            name in one.steps
            for name in ("rack", "zone", "zone back", "region's hour", "region back")
        )


def counts(one):
    return {
        step: [
            s.entries,
            s.bytes,
            s.largest,
            {k: [r[0], *r[3:]] for k, r in s.kinds.items() if "call" not in k},
        ]
        for step, s in one.steps.items()
        if not step.startswith("snapshot")
    }


def test_the_same_day_has_the_same_entries_bytes_and_visits(days):
    again = day(930)
    assert (
        counts(again) == counts(days[930])
        and again.ledger.snapshot() == days[930].ledger.snapshot()
    )


@pytest.mark.parametrize(
    "step, kind, visits",
    [
        ("calm minute", "join", 2),
        ("calm minute", "tick", 0),
        ("calm hour", "tick", 0),
        ("restarts", "hold", 2),
    ],
)
def test_an_entry_that_changes_little_looks_at_as_many_records_in_a_fleet_of_twice_the_size(
    days, step, kind, visits
):
    small, large = (one.steps[step].kinds[kind] for one in days.values())
    assert small[0] and small[3] == large[3] == visits, (small, large)


def test_the_steps_of_a_permit_look_at_as_many_records_in_a_fleet_of_twice_the_size():
    def visits(hosts):
        one = Day(hosts, hosts // 8, 24, 1, 1, lambda text: None)
        one.load()
        one.at("restarts")
        one.wave(5)
        return {kind: row[3] for kind, row in one.step.kinds.items()}

    small, large = visits(930), visits(1_860)
    same = ("hold", "drain", "out", "back")
    assert [small[kind] for kind in same] == [large[kind] for kind in same]


@pytest.mark.parametrize(
    "step, kind, each", [("load", "list", 5), ("load", "agents", 3), ("calm minute", "agents", 3)]
)
def test_an_entry_of_many_looks_at_a_few_records_for_each_that_it_names(days, step, kind, each):
    for one in days.values():
        _, _, _, visits, items = one.steps[step].kinds[kind]
        assert (
            items == len(one.hosts) and visits <= each * items + 100
        )  # and the scopes of the fleet once


def test_the_counted_judge_says_what_the_plain_one_says(monkeypatch):
    class Both(CountedJudge):
        def see(self, index, entry, answer):
            super().see(index, entry, answer)
            if self.rules and index % 5 == 0:
                self.check()

    monkeypatch.setattr(permits_sim, "Judge", Both)
    for seed in range(6):
        assert not permits_sim.play(seed)[1]


@pytest.mark.parametrize("name", permits_sim.MUTANTS)
def test_the_counted_judge_catches_each_wrong_ledger_by_name(name, monkeypatch):
    monkeypatch.setattr(permits_sim, "Judge", CountedJudge)
    mutant, names = permits_sim.MUTANTS[name]
    found = (permits_sim.play(seed, mutant)[1].partition(":")[0] for seed in range(120))
    assert next((said for said in found if said in names), ""), names


def test_a_counted_sum_that_is_wrong_is_said():
    one = CountedJudge()
    fleet = Fleet()
    for kind, fields in (
        ("rules", {"rules": json.loads(json.dumps(fleet.ledger.rules.facts()))}),
        ("list", {"v": 1, "hosts": {"h0": HOST, "h1": HOST}}),
    ):
        one.see(1, {"k": kind, "at": 1, **fields}, {"ok": True})
    one.check()
    one.full["whole"].add("zone z")
    with pytest.raises(permits_sim.Broken, match="judge"):
        one.check()


# snapshots in parts


# Each table of a snapshot: the ledger's own name of it, and of each field in their order the stored name and its own.
STORED = {
    "hosts": (
        "hosts",
        "zone kind tenants strength:capacity classes:class_mask listed:is_listed ready:is_ready mark:marker_token "
        "started:started_at cold:is_warming_up agent:agent_incarnation heard:agent_heard_at number:agent_sequence "
        "up:is_up acted:acted_token quiet:idle_time silent:silent_to stray:orphaned_drain",
    ),
    "directors": (
        "directors",
        "zone incarnation version until:lease_until live:is_live number:sequence spoke:has_reported proxies "
        "binding:assignment_entries waiting:waiting_entries bare:unassigned_proxies refused:rejected_share "
        "fulfilled:succeeded_share near:limit_use leaving:is_leaving acted:acted_token drained:drained_hosts "
        "silent:silent_hosts took:adopted_proxies",
    ),
    "holders": ("holders", "incarnation until:lease_until live:is_live asked:last_request"),
    "asks": (
        "requests",
        "id holder incarnation units:targets length:duration release since:requested_at short:lacking_scopes",
    ),
    "permits": (
        "permits",
        "ask:request holder incarnation length:duration release granted:grant_token token state since cause "
        "recalled:recalled_at before:incarnation_before confirms:confirmed_by",
    ),
    "halts": ("halts", "by:imposed_by reason since own:is_automatic calm:recovering_since"),
    "past": ("halt_history", "times:count last:last_at"),
}


def plain(ledger):
    """Every table of records whole, as one JSON."""
    state = ledger.state

    def table(name):
        own, fields = STORED[name]
        pairs = [(f.partition(":")[0], f.rpartition(":")[2]) for f in fields.split()]
        held = getattr(state, own)
        for one in held.values():
            assert [f for _, f in pairs] == list(one.__slots__), "every field is stored, in order"
        return [
            [
                n,
                {
                    f: list(one.confirmed_by) if f == "confirms" else getattr(one, attribute)
                    for f, attribute in pairs
                },
            ]
            for n, one in held.items()
        ]

    head = {"index": state.index, "now": state.now, "beat": state.last_tick}
    head |= {"agreed": state.has_rules}
    rest = {
        "ended": list(state.ended_requests.items()),
        "held": list(state.reservations.items()),
        "rested": state.requests_settled,
        "firm": state.feasibility_settled,
        "loads": sorted(state.capacity.loads.items()),
    }
    head |= {"rules": ledger.rules.facts(), "listed": state.list_version}
    whole = head | {n: table(n) for n in STORED} | rest
    return json.dumps(whole, separators=(",", ":")).encode()


@pytest.mark.parametrize("many", [1, 3, 256])
def test_a_snapshot_in_parts_is_that_of_its_moment_whatever_is_applied_meanwhile(many):
    sim = permits_sim.Sim(3)
    cuts = {}
    put = sim.put

    def both(kind, **fields):
        put(kind, **fields)
        for parts, got in cuts.values():
            got += islice(parts, 2)
        if sim.index % 40 == 0:
            cuts[plain(sim.ledger)] = (sim.ledger.parts(many), [])

    sim.put = both
    sim.run()
    assert len(cuts) > 10
    for taken, (parts, got) in cuts.items():
        assert b"".join([*got, *parts]) == taken
        again = Ledger()
        again.restore(taken)
        assert again.snapshot() == taken
    assert plain(sim.ledger) == sim.ledger.snapshot()


def test_a_part_of_a_snapshot_is_no_longer_in_a_larger_fleet():
    def longest(hosts):
        ledger = Ledger()
        ledger.apply(
            1,
            json.dumps(
                {"k": "list", "at": 1, "v": 1, "hosts": {f"h{n:05}": HOST for n in range(hosts)}}
            ).encode(),
        )
        return max(len(part) for part in ledger.parts())

    assert longest(1_000) == longest(9_000)


def test_a_keeper_that_was_restored_halts_in_the_same_order_as_one_that_was_not():
    rules = DisruptionRules(budgets=(("fleet", 99, 1_000_000),), max_unplanned_share=0)
    fleet = Fleet(rules)  # z0: h0, h2, h4, h6; z1: the others
    fleet.list({"h0": True, "h2": True, "h4": True, "h6": True}, zone="z2")
    fleet.list(
        {"h0": True, "h2": True, "h4": True, "h6": True}, zone="z0"
    )  # the zone is counted anew, after z1
    again = Ledger()
    again.restore(fleet.ledger.snapshot())
    lost = {f"h{n}": HOST | {"zone": f"z{n % 2}", "ready": False, "strength": 10} for n in range(8)}
    entry = json.dumps({"k": "list", "at": fleet.now, "v": fleet.v + 1, "hosts": lost}).encode()
    assert again.apply(fleet.index + 1, entry) == fleet.ledger.apply(fleet.index + 1, entry)
    assert len(again.halts) == 3 and again.snapshot() == fleet.ledger.snapshot()


# bounds, by the settings

KEEPER = (
    '(fleet (keeper "k1" "127.0.0.1:1") (budget fleet (number 1)) (budget directors (number 1))'
)


def test_the_terms_say_how_many_are_kept_and_the_rest_follows():
    fleet, faults = fleet_of(
        KEEPER + " (hosts 93000) (directors 12000) (permits 9000) (holders 2000) (asks 3000))"
    )
    assert not faults
    sizes = {
        "hosts": fleet.hosts,
        "directors": fleet.directors,
        "max_permits": fleet.permits,
        "holders": fleet.holders,
        "max_waiting_requests": fleet.asks,
    }
    assert sizes == {
        "hosts": 93_000,
        "directors": 12_000,
        "max_permits": 9_000,
        "holders": 2_000,
        "max_waiting_requests": 3_000,
    }
    rules = DisruptionRules(**sizes)
    assert (
        limits_for(rules).max_snapshot_bytes
        == rules.snapshot
        > COORDINATOR_LIMITS.max_snapshot_bytes
        and rules.members == 107_000
    )
    usual, faults = fleet_of(KEEPER + ")")
    assert not faults and (usual.hosts, usual.directors, usual.permits) == (16_384, 4_096, 4_096)
    assert SNAPSHOT_MOST < MAX_RECORD_BYTES


def test_sizes_that_are_too_small_or_too_large_are_refused_with_their_place():
    _, faults = fleet_of(
        KEEPER + "\n (hosts 1023) (directors 0)\n (permits 1) (holders 1) (asks 1023))"
    )
    assert [f.split(":")[1:3] for f in faults] == [
        ["2", "2"],
        ["2", "15"],
        ["3", "2"],
        ["3", "14"],
        ["3", "26"],
    ]
    assert all("at least 1024" in f for f in faults)
    _, faults = fleet_of(KEEPER + "\n (hosts 2000000))")
    assert len(faults) == 1 and ":2:2: " in faults[0]
    assert "a snapshot of this many records may take" in faults[0]
    assert f"the limit is {SNAPSHOT_MOST}" in faults[0]


def listed(rules, hosts, together=256 * 1024):
    ledger, telling, index = Ledger(), Telling(0, together), 1
    ledger.apply(1, json.dumps({"k": "rules", "at": 1, "rules": rules.facts()}).encode())
    for n in range(hosts):
        telling.changed(f"h{n:05}", HOST)
    while entry := telling.entry():
        index += 1
        packed = json.dumps(entry | {"at": index}).encode()
        assert len(packed) < COORDINATOR_LIMITS.max_entry_bytes
        if "no" in (told := json.loads(ledger.apply(index, packed))):
            return ledger, index, told["no"]
        telling.told(entry)
    return ledger, index, ""


def test_a_list_of_more_hosts_than_an_entry_takes_comes_as_versions_in_sequence():
    ledger, index, no = listed(DisruptionRules(hosts=20_000), 20_000)
    assert (
        not no
        and index > 4
        and len(ledger.hosts) == 20_000
        and ledger.state.scopes.counts["fleet"].total == 20_000
    )
    ledger, _, no = listed(DisruptionRules(), 20_000)
    assert no == "no more than 16384 hosts are kept" and len(ledger.hosts) <= 16_384


def test_hosts_that_are_gone_come_in_parts_too():
    telling = Telling(0, 100)
    for n in range(50):
        telling.changed(f"h{n}", None if n % 2 else HOST)
    told = []
    while entry := telling.entry():
        told += [*entry["hosts"], *entry["gone"]]
        telling.told(entry)
    assert sorted(told) == sorted(f"h{n}" for n in range(50)) and telling.number > 20


def test_a_director_may_name_as_many_silent_hosts_as_are_kept():
    ledger, index, _ = listed(DisruptionRules(hosts=20_000), 20_000)
    for n, entry in enumerate(
        (
            {"k": "join", "director": "d", "inc": 1, "zone": "z"},
            {"k": "words", "directors": {"d": {"inc": 1, "n": 1, "silent": sorted(ledger.hosts)}}},
        )
    ):
        told = json.loads(ledger.apply(index + 1 + n, json.dumps(entry | {"at": index}).encode()))
    assert told == {"ok": True} and len(ledger.directors["d"].silent_hosts) == 20_000


def test_the_registrys_fence_takes_as_many_hosts_as_the_terms_say():
    def marked(hosts):
        marking = Marking({}, [], lambda **kept: None, lambda *said, **about: None, hosts)
        return len(marking.marked([(f"host/h{n}", "leaving", 1) for n in range(20_000)]))

    assert (marked(20_000), marked(16_384)) == (20_000, 16_384)


def test_as_many_may_ask_as_the_agreed_rules_let_be_members():
    machine = LedgerStateMachine(min_clients=2)

    def ask(index, asker, entry):
        return machine.apply(
            index,
            LedgerStateMachine.encode_command(
                asker, 1, json.dumps(entry | {"at": SECOND}).encode()
            ),
        )

    assert [ask(n, f"a{n}", {"k": "tick"}) == FULL for n in (1, 2, 3)] == [False, False, True]
    rules = json.dumps({"k": "rules", "at": 1, "rules": DisruptionRules().facts()}).encode()
    machine.apply(4, LedgerStateMachine.encode_command("", 0, rules))  # the leader's own
    assert machine.max_clients == 16_384 + 4_096 + 1_024 and ask(5, "a3", {"k": "tick"}) != FULL
    again = LedgerStateMachine(min_clients=2)
    again.restore(machine.snapshot())
    assert again.max_clients == machine.max_clients
