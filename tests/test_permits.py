"""The ledger of permits: single cases, determinism of replay, seeded histories and faulty ledgers."""

import json
import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall import terms
from ironfall.disruption import DisruptionRules, Fence, Ledger, read_fleet
from ironfall.disruption.channel import ChannelWork, channel_time
from ironfall.disruption.settings import SECOND, rules_from_facts
from ironfall.lab.permits_sim import MUTANTS, play
from ironfall.sexp import Source
from ironfall.words import Form
from tests import fleet as fleet_model

RULES = DisruptionRules(
    budgets=(("fleet", 3, 1_000_000), ("zone", 2, 1_000_000), ("directors", 1, 1_000_000)),
    lease=100 * SECOND,
    reservation_age=60 * SECOND,
    min_idle_time=5 * SECOND,
    max_unplanned_share=500_000,
)

ENTRY_KEYS = (
    "at rules v hosts director directors inc zone holder n units length scope by reason".split()
)
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(ENTRY_KEYS), inner, max_size=8)
    ),
    max_leaves=12,
)


class Fleet:
    """A ledger with hosts in two zones, three directors and one holder; each call appends an entry."""

    def __init__(self, rules=RULES, hosts=8, capacity=10):
        # `sequences` has the number of the newest report by kind.
        self.ledger, self.index, self.now, self.v, self.sequences = (
            Ledger(),
            0,
            3_600 * SECOND,
            0,
            {},
        )
        self.do("rules", rules=rules.facts())
        self.names = [f"h{n}" for n in range(hosts)]
        self.capacity = capacity
        self.list({h: True for h in self.names})
        for d in ("d0", "d1", "d2"):
            self.do("join", director=d, inc=1, zone="z0")
        self.words()
        self.agents()
        self.do("hold", holder="s", inc=1)

    def do(self, kind, **fields):
        self.index += 1
        return json.loads(
            self.ledger.apply(self.index, json.dumps({"k": kind, "at": self.now} | fields).encode())
        )

    def ok(self, kind, **fields):
        answer = self.do(kind, **fields)
        assert "ok" in answer, answer
        return answer

    def rejection(self, kind, **fields):
        answer = self.do(kind, **fields)
        assert "no" in answer, answer
        return answer["no"]

    def list(self, ready, **more):
        self.v += 1
        host = {
            "kind": "k",
            "tenants": ["t"],
            "strength": self.capacity,
            "classes": 1,
            "started": 0,
        }
        return self.ok(
            "list",
            v=self.v,
            hosts={
                name: host | {"zone": f"z{int(name[1:]) % 2}", "ready": is_ready} | more
                for name, is_ready in ready.items()
            },
        )

    def words(self, names=("d0", "d1", "d2"), inc=1, **more):
        self.sequences["d"] = self.sequences.get("d", 0) + 1
        report = {"inc": inc, "n": self.sequences["d"], "proxies": 10, "binding": 5} | more
        return self.ok("words", directors=dict.fromkeys(names, report))

    def agents(self, names=None, **more):
        self.sequences["a"] = self.sequences.get("a", 0) + 1
        report = {"inc": 1, "n": self.sequences["a"], "up": True} | more
        return self.ok("agents", hosts=dict.fromkeys(names or self.names, report))

    def ask(self, number, *hosts, length=600 * SECOND, **more):
        return self.do(
            "ask",
            holder="s",
            inc=1,
            n=number,
            units=[f"host/{host}" for host in hosts],
            length=length,
            **more,
        )

    def step(self, kind, host, token, inc=1):
        return self.do(kind, holder="s", inc=inc, unit=f"host/{host}", token=token)

    def pass_time(self, seconds, with_ticks=True):
        for _ in range(int(seconds)):
            self.now += SECOND
            if with_ticks:
                self.ok("tick")
        self.do("hold", holder="s", inc=1)

    def permit_state(self, host):
        permit = self.ledger.permits.get(f"host/{host}")
        return permit.state if permit else ""

    def to_empty(self, host, number):
        self.ask(number, host)
        token = self.step("drain", host, self.ledger.permits[f"host/{host}"].token)["ok"]["token"]
        self.list({host: False}, token=token)
        self.words(drained={host: token})
        self.pass_time(6)
        self.agents([host], quiet=6 * SECOND)
        return token

    def to_out(self, host, number):
        return self.step("out", host, self.to_empty(host, number))["ok"]["token"]


def test_permit_ends_only_after_the_target_reports_the_newest_token():
    fleet = Fleet()
    token = fleet.to_empty("h0", 1)
    assert fleet.permit_state("h0") == "empty"
    out = fleet.step("out", "h0", token)["ok"]["token"]
    assert "newest" in fleet.step("back", "h0", token)["no"]
    back = fleet.step("back", "h0", out)["ok"]["token"]
    assert fleet.permit_state("h0") == "returning"
    fleet.list({"h0": True}, token=out)  # reported before the order to return
    fleet.agents(["h0"], inc=2)
    # An order to stop may still be in flight to the agent, so the host is listed as ready only once
    # the agent has acted on the newer token.
    assert fleet.permit_state("h0") == "returning" and list(fleet.ledger.drain_markers()) == [
        ("host/h0", "starting", back)
    ]
    fleet.agents(["h0"], inc=2, token=back)
    assert list(fleet.ledger.drain_markers()) == [("host/h0", "ready", back)]
    fleet.list({"h0": True}, token=back)
    assert fleet.permit_state("h0") == "" and fleet.ask(1, "h0")["ok"]["state"] == {
        "host/h0": "back"
    }


def test_target_is_not_stopped_until_every_director_confirms_its_drain():
    fleet = Fleet()
    fleet.ask(1, "h0")
    token = fleet.step("drain", "h0", fleet.ledger.permits["host/h0"].token)["ok"]["token"]
    fleet.pass_time(6)
    fleet.agents(["h0"], quiet=6 * SECOND)
    fleet.words(("d0", "d1"), drained={"h0": token})
    assert "1 directors have not confirmed" in fleet.step("out", "h0", token)["no"]
    fleet.words(("d2",), drained={"h0": token - 1})
    assert "confirmed" in fleet.step("out", "h0", token)["no"]
    fleet.words(("d2",), drained={"h0": token})
    assert fleet.permit_state("h0") == "empty"
    fleet.words(("d1",))  # proxies with old tables have connected to it
    assert (
        fleet.permit_state("h0") == "draining"
        and "confirmed" in fleet.step("out", "h0", token)["no"]
    )


def test_lapsed_director_blocks_drains_until_its_proxies_are_adopted():
    fleet = Fleet(
        DisruptionRules(
            **(
                vars(RULES)
                | {"budgets": (("fleet", 3, 1_000_000),), "unassigned_limit": 10_000 * SECOND}
            )
        )
    )
    assert "ends at" in fleet.rejection("lapse", role="director", name="d2", inc=1)
    fleet.now += 60 * SECOND
    for d in ("d0", "d1"):
        fleet.ok("join", director=d, inc=1, zone="z0")
    fleet.ok("hold", holder="s", inc=1)
    fleet.now += 42 * SECOND
    fleet.ok("lapse", role="director", name="d2", inc=1)
    token = fleet.to_empty("h0", 1)
    assert "10 proxies" in fleet.step("out", "h0", token)["no"]
    fleet.words(("d0",), drained={"h0": token}, took={"d2": [1, 9]})
    fleet.words(("d1",), drained={"h0": token}, took={"d2": [0, 5]})  # of an earlier incarnation
    assert "1 proxies" in fleet.step("out", "h0", token)["no"]
    fleet.words(("d1",), drained={"h0": token}, took={"d2": [1, 1]})
    assert "ok" in fleet.step("out", "h0", token)


def test_unplanned_loss_withdraws_the_newest_reversible_permits():
    fleet = Fleet()
    fleet.to_out("h0", 1)
    first, second = fleet.ask(2, "h1"), fleet.ask(3, "h3")
    assert first["moved"][0][1] == second["moved"][0][1] == "granted"
    fleet.list({"h5": False})  # zone z1: three out, two allowed, so the newest permit is withdrawn
    assert (fleet.permit_state("h0"), fleet.permit_state("h1"), fleet.permit_state("h3")) == (
        "out",
        "granted",
        "",
    )
    fleet.list({"h2": False})  # the fleet: four out, three allowed; a stopped host keeps its permit
    assert (fleet.permit_state("h0"), fleet.permit_state("h1")) == ("out", "")
    assert "asked" in str(fleet.ask(4, "h7"))


def test_lapsed_holder_keeps_its_permit_counted_until_it_is_adopted():
    fleet = Fleet()
    fleet.to_out("h0", 1)
    fleet.now += 102 * SECOND
    for d in ("d0", "d1", "d2"):
        fleet.ok("join", director=d, inc=1, zone="z0")
    fleet.ok("lapse", role="holder", name="s", inc=1)
    assert fleet.permit_state("h0") == "lost" and fleet.ledger.state.scopes.counts["fleet"].out == 1
    assert "is over" in fleet.rejection("hold", holder="s", inc=1)
    fleet.ok("hold", holder="s", inc=2)
    token = fleet.ok("adopt", holder="s", inc=2, unit="host/h0")["ok"]["token"]
    assert "ok" in fleet.step("back", "h0", token, inc=2)


def test_request_is_granted_whole_and_reserves_room_once_aged():
    fleet = Fleet()
    fleet.ask(1, "h0")
    fleet.ask(2, "h2", "h4")  # zone z0 has room for one more
    assert fleet.permit_state("h2") == fleet.permit_state("h4") == ""
    # A younger request is granted while the older one waits.
    assert fleet.ask(3, "h6")["moved"][0][1] == "granted"
    fleet.step("back", "h6", fleet.ledger.permits["host/h6"].token)
    fleet.pass_time(58)  # an unused permit is withdrawn only after 60 s
    fleet.step("drain", "h0", fleet.ledger.permits["host/h0"].token)
    fleet.pass_time(3)
    # The room is reserved for the aged request.
    assert fleet.ask(4, "h6")["moved"][0][1:] == ["asked", fleet.index, ""]
    assert "granted" in str(fleet.ask(5, "h1"))  # the other zone is not reserved
    token = fleet.step("back", "h0", fleet.ledger.permits["host/h0"].token)["ok"]["token"]
    fleet.list({"h0": True}, token=token)
    fleet.pass_time(1)
    assert (
        fleet.permit_state("h2") == fleet.permit_state("h4") == "granted"
        and fleet.permit_state("h6") == ""
    )


def test_infeasible_request_is_rejected_with_the_limit():
    fleet = Fleet()
    assert "zone z0 allows 2" in fleet.ask(1, "h0", "h2", "h4")["no"]
    fleet.ok("load", **{"class": 0}, hours=[60] * 24)
    # Six hosts carry 60, but the load margin requires 72.
    assert "strength" in fleet.ask(2, "h0", "h1")["no"]
    assert "not known" in fleet.ask(3, "nobody")["no"]
    assert "fleet" not in str(fleet.ask(4, "h0"))


def test_capacity_is_checked_for_every_hour_of_the_work():
    fleet = Fleet()
    hours = [10] * 24
    hours[2] = 65
    fleet.ok("load", **{"class": 0}, hours=hours)
    assert "granted" in str(fleet.ask(1, "h0", length=600 * SECOND))
    assert "granted" not in str(fleet.ask(2, "h1", length=4_000 * SECOND))
    assert fleet.ledger.requests["s/1/2"].lacking_scopes == ["strength"]


def test_capacity_of_one_class_does_not_serve_another():
    # The number of hosts that serve class 1 too; class 0 has ample capacity in either case.
    for hosts_of_class_1, granted in ((3, True), (2, False)):
        fleet = Fleet()
        fleet.list({f"h{n}": True for n in range(hosts_of_class_1)}, classes=3)
        fleet.ok("load", **{"class": 0}, hours=[20] * 24)
        fleet.ok("load", **{"class": 1}, hours=[15] * 24)
        assert ("granted" in str(fleet.ask(1, "h0"))) is granted
        assert "granted" in str(fleet.ask(2, "h7"))


def test_halt_withdraws_reversible_permits_recalls_others_and_blocks_grants():
    fleet = Fleet()
    fleet.to_out("h0", 1)
    token = fleet.to_empty("h1", 2)
    fleet.ask(3, "h3")
    answer = fleet.ok("halt", scope="all", by="ann", reason="smoke")
    assert [m[:2] for m in answer["moved"]] == [
        ["all", "halted"],
        ["host/h1", "undoing"],
        ["host/h3", "halted"],
    ]
    # The recall also cancels the order to stop, in case the agent has not carried it out yet.
    assert (
        next(fleet.ledger.drain_markers())[:2] == ("host/h0", "leaving")
        and fleet.ledger.permits["host/h0"].recalled_at
    )
    assert "undoing" in fleet.step("out", "h1", token)["no"]
    assert fleet.ask(4, "h5")["moved"][0][1] == "asked"
    fleet.ok("lift", scope="all", by="ann")
    fleet.pass_time(1)
    assert fleet.permit_state("h5") == "granted" and not fleet.ledger.permits["host/h0"].recalled_at
    assert next(fleet.ledger.drain_markers())[:2] == ("host/h0", "stopped")


def test_recalled_permit_is_lost_after_the_return_timeout():
    fleet = Fleet(DisruptionRules(**(vars(RULES) | {"return_timeout": 20 * SECOND})))
    token = fleet.to_out("h0", 1)
    fleet.ok("halt", scope="tenant t", by="ann", reason="smoke")
    fleet.pass_time(21)
    assert fleet.permit_state("h0") == "lost" and next(fleet.ledger.drain_markers())[:2] == (
        "host/h0",
        "starting",
    )
    assert "lost" in fleet.step("back", "h0", token)["no"]
    fleet.list({"h0": True}, token=fleet.ledger.permits["host/h0"].token)
    assert fleet.permit_state("h0") == "lost"  # the list alone may be outdated, with the host down
    fleet.agents(["h0"], inc=2)
    assert fleet.permit_state("h0") == ""


def test_orphaned_drain_marker_is_ordered_removed():
    fleet = Fleet()
    fleet.ask(1, "h0")
    token = fleet.step("drain", "h0", fleet.ledger.permits["host/h0"].token)["ok"]["token"]
    fleet.ok("forget", unit="host/h0", by="ann")
    fleet.list({"h0": False}, token=token)  # the marker was set before the permit ended
    ((target, condition, newer),) = fleet.ledger.drain_markers()
    assert (target, condition) == ("host/h0", "ready") and newer > token
    fleet.list({"h0": True}, token=newer)
    assert not list(fleet.ledger.drain_markers())


def test_automatic_halts_recover_after_doubling_times_until_the_limit():
    fleet = Fleet()
    waits = []
    for _ in range(4):
        fleet.ok("harm", release="r", reason="refusals")
        for second in range(300):
            fleet.pass_time(1)
            if not fleet.ledger.halts:
                waits.append(second)
                break
    assert waits == [60, 120, 240] and list(fleet.ledger.halts) == ["release r"]
    fleet.ok("lift", scope="release r", by="ann")
    assert not fleet.ledger.halts


def test_director_permit_requires_channel_time_for_its_proxies():
    # Twenty proxies move to two directors: one second of delay, plus 10 messages each of 8 + 5 + 1
    # entries at 100 entries a second, is 2.4 s.
    for unassigned_limit, granted in ((24_000, True), (23_999, False)):
        rules = DisruptionRules(
            **(
                vars(RULES)
                | {
                    "unassigned_limit": unassigned_limit,
                    "entries_per_second": 100,
                    "budgets": (("directors", 1, 1_000_000),),
                }
            )
        )
        fleet = Fleet(rules)
        fleet.words(("d2",), proxies=20)
        answer = fleet.do("ask", holder="s", inc=1, n=1, units=["director/d2"], length=SECOND)
        assert ("granted" in str(answer)) is granted and ("channel" in str(answer)) is not granted


@pytest.mark.parametrize(
    "entry, cause",
    [
        (b"\xff", "must be JSON"),
        (b"[" * 100_000, "must be JSON"),
        (b"[]", "unknown kind"),
        (b'{"k":"tick"}', "at is missing"),
        (b'{"k":"tick","at":1.5}', "at must be"),
        (b'{"k":"tick","at":true}', "at must be"),
        (b'{"k":"tick","at":1,"x":1}', "unknown field x"),
        (b'{"k":"hold","at":1,"holder":"","inc":1}', "holder must be"),
        (b'{"k":"list","at":1,"v":1,"hosts":{"h":{"zone":1}}}', "hosts.h.zone must be"),
        (b'{"k":"halt","at":1,"scope":"zone","by":"a","reason":"b"}', "scope must be"),
        (b'{"k":"rules","at":1,"rules":{"hosts":1023}}', "at least 1024"),
        (b'{"k":["tick"],"at":1}', "unknown kind"),
        (b'{"k":"hold","at":1,"holder":"\\ud800","inc":1,"z":0}', "unknown field"),
    ],
)
def test_malformed_entries_are_rejected_and_change_nothing(entry, cause):
    ledger = Ledger()
    before = json.loads(ledger.snapshot())
    assert cause in json.loads(ledger.apply(1, entry))["no"]
    assert json.loads(ledger.snapshot()) | {"index": 0} == before


def test_fence_rejects_older_tokens_also_after_a_restart():
    fence = Fence(max_targets=1)
    assert fence.allows("host/a", 5) and fence.allows("host/a", 5) and not fence.allows("host/a", 4)
    fence = Fence(fence.state(), max_targets=1)
    assert (
        not fence.allows("host/a", 4)
        and fence.allows("host/a", 6)
        and not fence.allows("host/b", 9)
    )


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_seeded_histories_violate_no_invariant(first):
    for seed in range(first, first + 20):
        _, violation = play(seed)
        assert not violation, (seed, violation)


@pytest.mark.parametrize("name", MUTANTS)
def test_each_faulty_ledger_is_detected_by_its_invariant(name):
    mutant, expected = MUTANTS[name]
    found = (play(seed, mutant)[1].partition(":")[0] for seed in range(120))
    assert next((invariant for invariant in found if invariant in expected), ""), expected


@settings(max_examples=5, deadline=None)
@given(st.integers(1_000, 9_999), st.data())
def test_replay_is_deterministic_also_across_snapshot_restores(seed, data):
    sim, _ = play(seed)
    restored_at = data.draw(st.sets(st.integers(0, len(sim.history) - 1), max_size=3))
    replayed = Ledger()
    for n, (index, entry, answer) in enumerate(sim.history):
        if n in restored_at:
            snapshot, replayed = replayed.snapshot(), Ledger()
            replayed.restore(snapshot)
            assert replayed.snapshot() == snapshot
        assert replayed.apply(index, entry) == answer
        if n in restored_at:
            assert "already" in str(replayed.apply(index, entry))
    assert replayed.snapshot() == sim.ledger.snapshot()


@settings(max_examples=200, deadline=None)
@given(
    ANY_JSON,
    st.sampled_from("rules load list join hold lapse words agents ask out halt tick".split()),
)
def test_any_json_entry_is_answered_and_leaves_a_restorable_state(entry, kind):
    ledger = Ledger()
    if isinstance(entry, dict):
        entry = {"at": 1} | entry | {"k": kind}
    answer = json.loads(ledger.apply(1, json.dumps(entry).encode()))
    assert ("ok" in answer) != ("no" in answer)
    restored = Ledger()
    restored.restore(ledger.snapshot())
    assert restored.snapshot() == ledger.snapshot()


def fleet_of(text):
    """Parses a `(fleet ...)` form as `read_terms` does; returns the settings and the errors."""
    source = Source("fleet.sexp", text)
    form = Form(source, source.nodes[0])
    fleet = read_fleet(form, None)
    form.done()
    return fleet, [str(f) for f in source.faults]


def test_settings_become_the_rules_of_the_log():
    fleet, faults = fleet_of("""(fleet (keeper "k1" "127.0.0.1:1") (keeper "k2" "127.0.0.1:2")
      (keeper "k3" "127.0.0.1:3")
      (lease 5s) (drift 1%) (budget fleet (number 20) (share 5%)) (budget directors (number 1)) (margin 25%)
      (halt (unplanned 4%) (times 2)))""")
    assert not faults and fleet.keepers[2] == ("k3", ("127.0.0.1", 3)) and fleet.times == 2
    service = terms.read_terms("charts.sexp", Path("deploy/terms/charts.sexp").read_text()).service
    rules = fleet.rules(service)
    assert rules.budgets == (("fleet", 20, 50_000), ("directors", 1, 1_000_000))
    assert (rules.lease, rules.drift, rules.load_margin, rules.max_unplanned_share) == (
        50_000,
        10_000,
        250_000,
        40_000,
    )
    assert (rules.unassigned_limit, rules.entries_per_second) == (
        service.unassigned_limit,
        int(service.entries_per_second),
    )
    assert rules_from_facts(json.loads(json.dumps(rules.facts()))) == rules


def test_every_settings_error_is_reported_at_its_position():
    _, faults = fleet_of("""(fleet (keeper "k1" "127.0.0.1:1") (keeper "k1" "127.0.0.1:1")
 (lease 0s) (voices 1) (drift 60%)
 (budget fleet) (budget planet (number 1)) (budget zone (number 1)) (budget zone (number 2))
 (halt (near 120%) (often 3)) (colour 3))""")
    expected = {
        "1:44": "k1 is defined twice",
        "1:1": "(budget directors ...) is missing",
        "2:2": "must be greater than 0",
        "2:13": "(voices N) must be at least 2",
        "2:24": "clocks drift by 50%",
        "3:2": "needs (number",
        "3:17": "expected (budget SCOPE",
        "3:69": "budget of scope zone is defined twice",
        "4:14": "at most 100%",
        "4:20": "unknown word often",
        "4:31": "unknown word colour",
    }
    assert "not 2" in faults[1]  # the number of keepers, at the same position as another error
    found = {":".join(f.split(":")[1:3]): f for f in faults}
    assert found.keys() == expected.keys() and len(faults) == len(expected) + 1
    assert all(cause in found[place] for place, cause in expected.items()), faults


def json_paths(entry, path=()):
    for key, value in entry.items() if isinstance(entry, dict) else enumerate(entry):
        yield (*path, key)
        if isinstance(value, dict | list):
            yield from json_paths(value, (*path, key))


@pytest.mark.parametrize("seed", [3, 7])
def test_counters_match_the_records_after_mutated_entries(seed):
    random_source, ledger = random.Random(seed), Ledger()
    values = [
        "host/h0",
        "host/h1",
        "director/d0",
        "h1",
        "d0",
        "s0",
        0,
        1,
        2,
        10**9,
        True,
        "all",
        "zone z0",
        [],
        {},
    ]
    for index, entry, _ in play(seed)[0].history:
        mutated = json.loads(entry)
        path = random_source.choice(list(json_paths(mutated)))
        if random_source.random() < 0.3 and path not in (("k",), ("at",)):
            inner = mutated
            for key in path[:-1]:
                inner = inner[key]
            inner[path[-1]] = random_source.choice([*values, random_source.randrange(index + 1)])
        ledger.apply(index, json.dumps(mutated).encode())
    restored = Ledger()
    restored.restore(ledger.snapshot())
    for each in (ledger, restored):
        state = each.state
        each.counters = (
            state.scopes.counts,
            state.capacity.in_service,
            state.capacity.total,
            state.capacity.undoing,
            state.capacity.planned,
            state.undrained_permits,
            state.requested_targets,
            state.warming_hosts,
            state.orphaned_drains,
            state.channel_load(),
        )
    assert restored.counters == ledger.counters


@pytest.mark.parametrize("staying, moving, drains", [(300, 75, 0), (300, 300, 0), (300, 150, 12)])
def test_channel_time_bounds_the_modelled_channel(staying, moving, drains):
    """Runs the decision engine on a model of the channel.

    All moving proxies are assigned, and all draining hosts withdrawn, within the computed time.
    """
    service = fleet_model.terms()
    fleet, hosts = fleet_model.Fleet(service), fleet_model.names(b"a", 200)
    fleet.list(hosts)
    fleet.run(2)
    for proxy in range(staying):
        fleet.join(proxy, hosts[:5])
        if proxy % 20 == 19:
            fleet.close()
            fleet.run(0.2)
    fleet.run(20)
    assignment_entries = (
        1 + max(len(fleet.tables[table]) for table in set(fleet.bound.values())) + len(fleet.levels)
    )
    started_at, withdrawal_time = fleet.now, 0
    for proxy in range(staying, staying + moving):
        fleet.join(proxy, hosts[:5])
    if drains:
        fleet.list(hosts[drains:], hosts[:drains])
    fleet.close()
    for _ in range(100):
        fleet.run(0.1)
        if any(picks & set(hosts[:drains]) for picks in fleet.picks.values()):
            withdrawal_time = fleet.now - started_at
    rules = DisruptionRules(
        message_overhead=6, max_message_delay=service.max_message_delay, entries_per_second=4_500
    )
    expected = channel_time(rules, ChannelWork(1, staying, moving, assignment_entries, 0, drains))
    assignment_time = max(fleet.bound_after[proxy] for proxy in range(staying, staying + moving))
    assert max(assignment_time, withdrawal_time) <= expected + fleet_model.TICK
    # The computed time is not far above the modelled one.
    assert drains or assignment_time >= expected - 2 * fleet_model.TICK


def test_halt_command_rejects_an_unknown_zone_before_any_request():
    from click.testing import CliRunner

    from ironfall.cli import main

    result = CliRunner().invoke(
        main, ["fleet", "halt", "deploy/terms/fleet.sexp", "zone esat", "--reason", "power"]
    )
    assert (
        result.exit_code == 2
        and "no zone 'esat' in these settings; expected one of: east, west" in result.output
    )
