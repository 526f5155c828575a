"""The ledger of who may be out: pointed cases, the same state from the same entries, seeds and mutants."""

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

WORDS = "at rules v hosts director directors inc zone holder n units length scope by reason".split()
ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(WORDS), inner, max_size=8)
    ),
    max_leaves=12,
)


class Fleet:
    """Eight hosts in two zones, three directors, one holder; each step is an entry."""

    def __init__(self, rules=RULES, hosts=8, strength=10):
        self.ledger, self.index, self.now, self.v, self.n = Ledger(), 0, 3_600 * SECOND, 0, {}
        self.do("rules", rules=rules.facts())
        self.names = [f"h{n}" for n in range(hosts)]
        self.strength = strength
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

    def no(self, kind, **fields):
        answer = self.do(kind, **fields)
        assert "no" in answer, answer
        return answer["no"]

    def list(self, ready, **more):
        self.v += 1
        one = {"kind": "k", "tenants": ["t"], "strength": self.strength, "classes": 1, "started": 0}
        return self.ok(
            "list",
            v=self.v,
            hosts={
                h: one | {"zone": f"z{int(h[1:]) % 2}", "ready": r} | more for h, r in ready.items()
            },
        )

    def words(self, names=("d0", "d1", "d2"), inc=1, **more):
        self.n["d"] = self.n.get("d", 0) + 1
        word = {"inc": inc, "n": self.n["d"], "proxies": 10, "binding": 5} | more
        return self.ok("words", directors=dict.fromkeys(names, word))

    def agents(self, names=None, **more):
        self.n["a"] = self.n.get("a", 0) + 1
        word = {"inc": 1, "n": self.n["a"], "up": True} | more
        return self.ok("agents", hosts=dict.fromkeys(names or self.names, word))

    def ask(self, n, *units, length=600 * SECOND, **more):
        return self.do(
            "ask", holder="s", inc=1, n=n, units=[f"host/{u}" for u in units], length=length, **more
        )

    def step(self, kind, host, token, inc=1):
        return self.do(kind, holder="s", inc=inc, unit=f"host/{host}", token=token)

    def pass_time(self, seconds, beat=True):
        for _ in range(int(seconds)):
            self.now += SECOND
            if beat:
                self.ok("tick")
        self.do("hold", holder="s", inc=1)

    def state(self, host):
        permit = self.ledger.permits.get(f"host/{host}")
        return permit.state if permit else ""

    def to_empty(self, host, n):
        self.ask(n, host)
        token = self.step("drain", host, self.ledger.permits[f"host/{host}"].token)["ok"]["token"]
        self.list({host: False}, token=token)
        self.words(drained={host: token})
        self.pass_time(6)
        self.agents([host], quiet=6 * SECOND)
        return token

    def to_out(self, host, n):
        return self.step("out", host, self.to_empty(host, n))["ok"]["token"]


def test_a_permit_from_ask_to_seen_back():
    fleet = Fleet()
    token = fleet.to_empty("h0", 1)
    assert fleet.state("h0") == "empty"
    out = fleet.step("out", "h0", token)["ok"]["token"]
    assert "newest" in fleet.step("back", "h0", token)["no"]
    back = fleet.step("back", "h0", out)["ok"]["token"]
    assert fleet.state("h0") == "returning"
    fleet.list({"h0": True}, token=out)  # a word from before the order
    fleet.agents(["h0"], inc=2)
    # An order to stop may still be on its way to the agent: the list waits until it acts on the newer.
    assert fleet.state("h0") == "returning" and list(fleet.ledger.drain_markers()) == [
        ("host/h0", "starting", back)
    ]
    fleet.agents(["h0"], inc=2, token=back)
    assert list(fleet.ledger.drain_markers()) == [("host/h0", "ready", back)]
    fleet.list({"h0": True}, token=back)
    assert fleet.state("h0") == "" and fleet.ask(1, "h0")["ok"]["state"] == {"host/h0": "back"}


def test_nothing_is_out_without_every_confirmation():
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
    assert fleet.state("h0") == "empty"
    fleet.words(("d1",))  # proxies with old tables have joined it
    assert fleet.state("h0") == "draining" and "confirmed" in fleet.step("out", "h0", token)["no"]


def test_a_director_that_lapsed_blocks_until_its_proxies_are_seen_elsewhere():
    fleet = Fleet(
        DisruptionRules(
            **(
                vars(RULES)
                | {"budgets": (("fleet", 3, 1_000_000),), "unassigned_limit": 10_000 * SECOND}
            )
        )
    )
    assert "ends at" in fleet.no("lapse", role="director", name="d2", inc=1)
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


def test_what_failed_by_itself_takes_back_the_newest_that_can_be_undone():
    fleet = Fleet()
    fleet.to_out("h0", 1)
    first, second = fleet.ask(2, "h1"), fleet.ask(3, "h3")
    assert first["moved"][0][1] == second["moved"][0][1] == "granted"
    fleet.list({"h5": False})  # zone z1: three of two, so one of them goes
    assert (fleet.state("h0"), fleet.state("h1"), fleet.state("h3")) == ("out", "granted", "")
    fleet.list({"h2": False})  # the fleet: four of three; what is out stays
    assert (fleet.state("h0"), fleet.state("h1")) == ("out", "")
    assert "asked" in str(fleet.ask(4, "h7"))


def test_a_lapse_frees_no_place():
    fleet = Fleet()
    fleet.to_out("h0", 1)
    fleet.now += 102 * SECOND
    for d in ("d0", "d1", "d2"):
        fleet.ok("join", director=d, inc=1, zone="z0")
    fleet.ok("lapse", role="holder", name="s", inc=1)
    assert fleet.state("h0") == "lost" and fleet.ledger.state.scopes.counts["fleet"].out == 1
    assert "is over" in fleet.no("hold", holder="s", inc=1)
    fleet.ok("hold", holder="s", inc=2)
    token = fleet.ok("adopt", holder="s", inc=2, unit="host/h0")["ok"]["token"]
    assert "ok" in fleet.step("back", "h0", token, inc=2)


def test_all_or_nothing_and_an_old_ask_keeps_its_room():
    fleet = Fleet()
    fleet.ask(1, "h0")
    fleet.ask(2, "h2", "h4")  # zone z0 has room for one more
    assert fleet.state("h2") == fleet.state("h4") == ""
    assert fleet.ask(3, "h6")["moved"][0][1] == "granted"  # young ones pass
    fleet.step("back", "h6", fleet.ledger.permits["host/h6"].token)
    fleet.pass_time(58)  # what nobody began is taken back only after 60 s
    fleet.step("drain", "h0", fleet.ledger.permits["host/h0"].token)
    fleet.pass_time(3)
    assert fleet.ask(4, "h6")["moved"][0][1:] == ["asked", fleet.index, ""]  # kept for the old one
    assert "granted" in str(fleet.ask(5, "h1"))  # another zone is not kept
    token = fleet.step("back", "h0", fleet.ledger.permits["host/h0"].token)["ok"]["token"]
    fleet.list({"h0": True}, token=token)
    fleet.pass_time(1)
    assert fleet.state("h2") == fleet.state("h4") == "granted" and fleet.state("h6") == ""


def test_what_can_never_be_granted_is_refused_by_name():
    fleet = Fleet()
    assert "zone z0 allows 2" in fleet.ask(1, "h0", "h2", "h4")["no"]
    fleet.ok("load", **{"class": 0}, hours=[60] * 24)
    assert (
        "strength" in fleet.ask(2, "h0", "h1")["no"]
    )  # six of ten carry 60, and a fifth more is wanted
    assert "not known" in fleet.ask(3, "nobody")["no"]
    assert "fleet" not in str(fleet.ask(4, "h0"))


def test_strength_is_asked_of_every_hour_that_the_work_spans():
    fleet = Fleet()
    hours = [10] * 24
    hours[2] = 65
    fleet.ok("load", **{"class": 0}, hours=hours)
    assert "granted" in str(fleet.ask(1, "h0", length=600 * SECOND))
    assert "granted" not in str(fleet.ask(2, "h1", length=4_000 * SECOND))
    assert fleet.ledger.requests["s/1/2"].lacking_scopes == ["strength"]


def test_strength_of_one_class_is_none_of_another():
    for strong, granted in (
        (3, True),
        (2, False),
    ):  # hosts for class 1, beside those for class 0 that are plenty
        fleet = Fleet()
        fleet.list({f"h{n}": True for n in range(strong)}, classes=3)
        fleet.ok("load", **{"class": 0}, hours=[20] * 24)
        fleet.ok("load", **{"class": 1}, hours=[15] * 24)
        assert ("granted" in str(fleet.ask(1, "h0"))) is granted
        assert "granted" in str(fleet.ask(2, "h7"))


def test_a_halt_takes_back_what_it_can_and_lets_nothing_begin():
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
    # What its agent has not stopped yet it does not stop any more.
    assert (
        next(fleet.ledger.drain_markers())[:2] == ("host/h0", "leaving")
        and fleet.ledger.permits["host/h0"].recalled_at
    )
    assert "undoing" in fleet.step("out", "h1", token)["no"]
    assert fleet.ask(4, "h5")["moved"][0][1] == "asked"
    fleet.ok("lift", scope="all", by="ann")
    fleet.pass_time(1)
    assert fleet.state("h5") == "granted" and not fleet.ledger.permits["host/h0"].recalled_at
    assert next(fleet.ledger.drain_markers())[:2] == ("host/h0", "stopped")


def test_a_holder_that_does_not_return_what_is_called_back_loses_it():
    fleet = Fleet(DisruptionRules(**(vars(RULES) | {"return_timeout": 20 * SECOND})))
    token = fleet.to_out("h0", 1)
    fleet.ok("halt", scope="tenant t", by="ann", reason="smoke")
    fleet.pass_time(21)
    assert fleet.state("h0") == "lost" and next(fleet.ledger.drain_markers())[:2] == (
        "host/h0",
        "starting",
    )
    assert "lost" in fleet.step("back", "h0", token)["no"]
    fleet.list({"h0": True}, token=fleet.ledger.permits["host/h0"].token)
    assert fleet.state("h0") == "lost"  # the list alone may be old word of a host that is down
    fleet.agents(["h0"], inc=2)
    assert fleet.state("h0") == ""


def test_a_mark_that_outlives_its_permit_is_ordered_off():
    fleet = Fleet()
    fleet.ask(1, "h0")
    token = fleet.step("drain", "h0", fleet.ledger.permits["host/h0"].token)["ok"]["token"]
    fleet.ok("forget", unit="host/h0", by="ann")
    fleet.list({"h0": False}, token=token)  # it had been under way
    ((unit, mark, newer),) = fleet.ledger.drain_markers()
    assert (unit, mark) == ("host/h0", "ready") and newer > token
    fleet.list({"h0": True}, token=newer)
    assert not list(fleet.ledger.drain_markers())


def test_own_halts_lift_themselves_ever_later_and_then_not_at_all():
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


def test_a_director_goes_only_as_the_channel_carries_its_proxies():
    # Twenty proxies move to two directors: one second of the way, and 10 each of 8 + 5 + 1 lines at 100 a second.
    for bare, granted in ((24_000, True), (23_999, False)):
        rules = DisruptionRules(
            **(
                vars(RULES)
                | {
                    "unassigned_limit": bare,
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
def test_malformed_entries_are_refused_and_change_nothing(entry, cause):
    ledger = Ledger()
    before = json.loads(ledger.snapshot())
    assert cause in json.loads(ledger.apply(1, entry))["no"]
    assert json.loads(ledger.snapshot()) | {"index": 0} == before


def test_a_fence_refuses_older_tokens_after_a_restart_too():
    fence = Fence(max_targets=1)
    assert fence.allows("host/a", 5) and fence.allows("host/a", 5) and not fence.allows("host/a", 4)
    fence = Fence(fence.state(), max_targets=1)
    assert (
        not fence.allows("host/a", 4)
        and fence.allows("host/a", 6)
        and not fence.allows("host/b", 9)
    )


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_seeded_histories_hold(first):
    for seed in range(first, first + 20):
        _, broken = play(seed)
        assert not broken, (seed, broken)


@pytest.mark.parametrize("name", MUTANTS)
def test_each_wrong_ledger_is_caught_by_name(name):
    mutant, names = MUTANTS[name]
    found = (play(seed, mutant)[1].partition(":")[0] for seed in range(120))
    assert next((said for said in found if said in names), ""), names


@settings(max_examples=5, deadline=None)
@given(st.integers(1_000, 9_999), st.data())
def test_the_same_entries_make_the_same_state_and_a_restore_changes_nothing(seed, data):
    sim, _ = play(seed)
    cuts = data.draw(st.sets(st.integers(0, len(sim.history) - 1), max_size=3))
    again = Ledger()
    for n, (index, entry, answer) in enumerate(sim.history):
        if n in cuts:
            held, again = again.snapshot(), Ledger()
            again.restore(held)
            assert again.snapshot() == held
        assert again.apply(index, entry) == answer
        if n in cuts:
            assert "already" in str(again.apply(index, entry))
    assert again.snapshot() == sim.ledger.snapshot()


@settings(max_examples=200, deadline=None)
@given(
    ANYTHING,
    st.sampled_from("rules load list join hold lapse words agents ask out halt tick".split()),
)
def test_whatever_comes_is_answered(entry, kind):
    ledger = Ledger()
    if isinstance(entry, dict):
        entry = {"at": 1} | entry | {"k": kind}
    answer = json.loads(ledger.apply(1, json.dumps(entry).encode()))
    assert ("ok" in answer) != ("no" in answer)
    again = Ledger()
    again.restore(ledger.snapshot())
    assert again.snapshot() == ledger.snapshot()


def fleet_of(text):
    """The section as `read_terms` reads it."""
    source = Source("fleet.sexp", text)
    form = Form(source, source.nodes[0])
    fleet = read_fleet(form, None)
    form.done()
    return fleet, [str(f) for f in source.faults]


def test_terms_become_the_rules_of_the_log():
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


def test_every_fault_of_the_terms_has_its_place():
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
    assert "not 2" in faults[1]  # keepers, at the same place
    found = {":".join(f.split(":")[1:3]): f for f in faults}
    assert found.keys() == expected.keys() and len(faults) == len(expected) + 1
    assert all(cause in found[place] for place, cause in expected.items()), faults


def places(entry, path=()):
    for key, value in entry.items() if isinstance(entry, dict) else enumerate(entry):
        yield (*path, key)
        if isinstance(value, dict | list):
            yield from places(value, (*path, key))


@pytest.mark.parametrize("seed", [3, 7])
def test_twisted_entries_are_answered_and_counters_are_those_of_the_records(seed):
    chance, ledger = random.Random(seed), Ledger()
    strange = [
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
        held = json.loads(entry)
        at = chance.choice(list(places(held)))
        if chance.random() < 0.3 and at not in (("k",), ("at",)):
            inner = held
            for key in at[:-1]:
                inner = inner[key]
            inner[at[-1]] = chance.choice([*strange, chance.randrange(index + 1)])
        ledger.apply(index, json.dumps(held).encode())
    again = Ledger()
    again.restore(ledger.snapshot())
    for one in (ledger, again):
        state = one.state
        one.told = (
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
    assert again.told == ledger.told


@pytest.mark.parametrize("staying, moving, drains", [(300, 75, 0), (300, 300, 0), (300, 150, 12)])
def test_the_channel_takes_what_the_formula_says(staying, moving, drains):
    """Against the decisions themselves in the model of the channel: bound, and withdrawn, within it."""
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
    binding = (
        1 + max(len(fleet.tables[table]) for table in set(fleet.bound.values())) + len(fleet.levels)
    )
    begun, late = fleet.now, 0
    for proxy in range(staying, staying + moving):
        fleet.join(proxy, hosts[:5])
    if drains:
        fleet.list(hosts[drains:], hosts[:drains])
    fleet.close()
    for _ in range(100):
        fleet.run(0.1)
        if any(picks & set(hosts[:drains]) for picks in fleet.picks.values()):
            late = fleet.now - begun
    rules = DisruptionRules(
        message_overhead=6, max_message_delay=service.max_message_delay, entries_per_second=4_500
    )
    expected = channel_time(rules, ChannelWork(1, staying, moving, binding, 0, drains))
    bound = max(fleet.bound_after[proxy] for proxy in range(staying, staying + moving))
    assert max(bound, late) <= expected + fleet_model.TICK
    assert drains or bound >= expected - 2 * fleet_model.TICK  # not by far too careful


def test_a_halt_of_a_zone_that_is_none_is_refused_before_anybody_is_asked():
    from click.testing import CliRunner

    from ironfall.cli import main

    said = CliRunner().invoke(
        main, ["fleet", "halt", "deploy/terms/fleet.sexp", "zone esat", "--reason", "power"]
    )
    assert (
        said.exit_code == 2
        and "no zone 'esat' in these terms; they name: east, west" in said.output
    )
