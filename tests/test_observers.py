"""Observers: pointed cases of each part, what the log gets by size, histories by seeds, and wrong ones by name."""

import json
import random
from dataclasses import replace

import pytest

from ironfall.disruption import DisruptionRules, Ledger, read_fleet
from ironfall.disruption.settings import SECOND
from ironfall.lab.observers_sim import MUTANTS, RULES, Hasty, herd, play
from ironfall.membership import (
    AggregatorRules,
    DigestCollector,
    HeartbeatAggregator,
    HeartbeatSender,
)
from ironfall.membership.member_status import merge_worst, must_be_logged, read_status, upper_bound
from ironfall.membership.stamps import latest_proven_time
from ironfall.sexp import Source
from ironfall.words import Facts, Form

WORD = {"proxies": 10, "binding": 5, "waiting": 0}
UP = {"up": True, "token": 0}
T = 10**10  # a monotonic clock's


class Fleet:
    """Zones of two observers, their members, the collector and the ledger, over a way without faults; one clock."""

    def __init__(self, zones=2, directors=2, hosts=3, rules=RULES):
        self.ledger, self.index, self.now, self.rules = Ledger(), 0, T, rules
        self.sizes = []  # of the entries of digests, by second
        self.put("rules", rules=rules.facts())
        self.zones = [f"z{n}" for n in range(zones)]
        self.observers = {
            f"o-{z}-{x}": HeartbeatAggregator(
                f"o-{z}-{x}",
                z,
                1,
                T,
                AggregatorRules(rules.lease, rules.drift, rules.near_limit_share),
            )
            for z in self.zones
            for x in "ab"
        }
        self.words, self.zone, self.homes, self.quiet = {}, {}, {}, {}
        for z in self.zones:
            for n in range(directors):
                self.member(f"director/{z}-{n}", z, WORD | {"version": "1"})
            for n in range(hosts):
                self.member(f"host/{z}-{n}", z, UP)
        self.incs = dict.fromkeys(self.words, 1)
        self.dead, self.down = set(), set()
        self.put(
            "list",
            v=1,
            hosts={
                u[5:]: {
                    "zone": z,
                    "kind": "k",
                    "tenants": ["t"],
                    "strength": 10,
                    "classes": 1,
                    "ready": True,
                }
                for u, z in self.zone.items()
                if u.startswith("host/")
            },
        )
        self.lead()

    def member(self, unit, zone, word):
        names = [name for name, one in self.observers.items() if one.zone == zone]
        self.words[unit], self.zone[unit] = word, zone
        self.homes[unit] = HeartbeatSender(zone, names, T, self.rules.lease, random.Random(unit))

    def lead(self):
        self.term = getattr(self, "reign", 0) + 1
        terms = {name: one.zone for name, one in self.observers.items()}
        self.collector = DigestCollector(self.term, self.now, terms, self.ledger)

    def put(self, kind, **fields):
        self.index += 1
        entry = {"k": kind, "at": self.now} | fields
        answer = json.loads(self.ledger.apply(self.index, json.dumps(entry).encode()))
        assert "ok" in answer, answer
        return answer["ok"]

    def beat(self, unit):
        home, target = self.homes[unit], self.homes[unit].target
        message = home.make_message(
            self.now, {unit: (self.incs[unit], self.words[unit])}, {unit: self.quiet.get(unit, 0)}
        )
        if target in self.down:
            return home.on_failure(self.now, target)
        answer = self.observers[target].on_heartbeats(self.now, json.loads(json.dumps(message)))
        return home.on_answer(self.now, target, json.loads(json.dumps(answer)))

    def tell(self, name):
        report = self.observers[name].make_report(self.now)
        answer = self.collector.report(self.now, json.loads(json.dumps(report)))
        self.observers[name].on_report_answer(self.now, report, json.loads(json.dumps(answer)))
        return report

    def second(self, seconds=1, lead=True):
        for _ in range(seconds):
            for _ in range(10):
                self.now += SECOND // 10
                for unit in self.words:
                    if unit not in self.dead and self.now >= self.homes[unit].due_at:
                        self.beat(unit)
            self.reports = {
                name: self.tell(name) for name in self.observers if name not in self.down
            }
            if lead:
                self.put("tick")
                entries = list(self.collector.digests(self.now, max(self.now, self.ledger.now)))
                self.sizes.append([len(json.dumps(entry)) for entry in entries])
                for entry in entries:
                    self.put("digest", **{k: v for k, v in entry.items() if k != "k"})

    def live(self):
        return sum(d.is_live for d in self.ledger.directors.values())


def test_a_stamp_proves_no_later_than_the_word_was_said():
    # Said half a second after the stamp came, and three on its way; the clocks may differ by a hundredth.
    assert (
        latest_proven_time(T + 4 * SECOND, T, SECOND // 2, 0, 10_000)
        == T + SECOND // 2 - SECOND // 200
    )
    # Heard before the stamp came: further back, by the drift too.
    assert latest_proven_time(T, T - SECOND, 0, SECOND, 10_000) == T - 2 * SECOND - SECOND // 100
    assert latest_proven_time(T, T, 5 * SECOND, 0, 0) == T


def test_a_beat_counts_from_its_stamp_however_late_or_often_it_comes():
    one = HeartbeatAggregator("o", "z", 7, T, AggregatorRules(10 * SECOND, 0, 900_000))
    beat = {"inc": 1, "n": 1, "changed": 1, "zone": "z", "word": UP}
    message = {"beats": {"host/h": beat}, "stamp": None, "since": 0}
    answer = one.on_heartbeats(T, message)
    assert answer["whole"] == ["host/h"] and not one.members  # nothing proves when it was said
    message |= {"stamp": answer["stamp"], "since": SECOND // 2}
    one.on_heartbeats(T + 5 * SECOND, message)
    assert one.members["host/h"].heard_at == T + SECOND // 2
    assert "no newer" in one.on_heartbeats(T + 6 * SECOND, message)["refused"]["host/h"]
    assert one.on_heartbeats(T, message | {"stamp": [6, T]})["whole"] == [
        "host/h"
    ]  # another incarnation's
    assert one.members["host/h"].heard_at == T + SECOND // 2
    later = {
        "beats": {"host/h": beat | {"n": 2, "word": None}},
        "stamp": [7, T + 6 * SECOND],
        "since": 0,
    }
    assert not one.on_heartbeats(T + 7 * SECOND, later)["whole"]
    changed = {
        "beats": {"host/h": beat | {"n": 3, "changed": 3, "word": None}},
        "stamp": [7, T + 6 * SECOND],
    }
    assert one.on_heartbeats(T + 7 * SECOND, changed)["whole"] == [
        "host/h"
    ]  # it says that it changed, and not how
    older = {"beats": {"host/h": beat | {"inc": 0, "n": 9}}, "stamp": [7, T + 6 * SECOND]}
    assert "no newer" in one.on_heartbeats(T + 7 * SECOND, older)["refused"]["host/h"]
    assert (
        "not this observer's"
        in one.on_heartbeats(T, {"beats": {"host/x": beat | {"zone": "y"}}, "stamp": [7, T]})[
            "refused"
        ]["host/x"]
    )


def test_malformed_messages_are_refused_with_their_place_and_change_nothing():
    one, ledger = (
        HeartbeatAggregator("o", "z", 7, T, AggregatorRules(10 * SECOND, 0, 900_000)),
        Ledger(),
    )
    good = {"inc": 1, "n": 1, "changed": 1, "zone": "z", "word": UP}
    for beats, cause in (
        ({"host/h": good | {"n": -1}}, "beats.host/h.n must be a whole number"),
        (
            {"host/a": good, "host/h": good | {"word": {"up": 1}}},
            "beats.host/h.word.up must be true or false",
        ),
        ({"planet/h": good}, "neither host/NAME nor director/NAME"),
        (
            {"director/d": good | {"word": {"drained": {"h": "x"}}}},
            "beats.director/d.word.drained must be a whole",
        ),
        ({"host/h": good | {"colour": 3}}, "unknown field beats.host/h.colour"),
        ({f"host/{n}": good for n in range(1_025)}, "1024 at most"),
        ([], "must be an object"),
    ):
        with pytest.raises(ValueError, match=cause.replace(".", r"\.")):
            one.on_heartbeats(T, {"beats": beats, "stamp": [7, T], "since": 0})
    assert not one.members
    collector = DigestCollector(1, T, {"o": "z"}, ledger)
    report = one.make_report(T)
    for more, cause in (
        ({"floor": -1}, "floor"),
        ({"late": {"x": 1}}, "neither host/NAME"),
        ({"members": {"host/h": [1, 1, 0, UP]}}, "members.host/h must be a list"),
        ({"stamp": [1]}, "stamp"),
        ({"colour": 1}, "unknown field colour"),
    ):
        with pytest.raises(ValueError, match=cause):
            collector.report(T, report | more)
    with pytest.raises(ValueError, match="have must be a whole number"):
        one.on_report_answer(T, report, {"stamp": [1, T], "have": "x"})
    assert (
        not collector.aggregators
        and "no observer of the terms" in collector.report(T, report | {"zone": "y"})["why"]
    )


def test_of_two_words_said_to_be_the_same_the_worse_counts():
    more = {"drained": {"h": 3, "g": 1}, "leaving": True, "token": 9, "silent": ["x"]}
    one = read_status("director/d", WORD | more, "")
    other = read_status(
        "director/d", WORD | {"proxies": 12, "drained": {"h": 3, "g": 2}, "silent": ["y"]}, ""
    )
    both = merge_worst("director/d", one, other)
    assert both == merge_worst("director/d", other, one) | {"version": ""}
    assert (both["proxies"], both["drained"], both["leaving"], both["token"]) == (
        12,
        {"h": 3},
        False,
        0,
    )
    assert both["silent"] == ["x", "y"]
    assert merge_worst("host/h", {"up": True, "token": 9}, {"up": False, "token": 3}) == {
        "up": False,
        "token": 3,
    }


def test_two_observers_that_contradict_each_other_let_nothing_be_believed():
    fleet = Fleet(zones=1, directors=1, hosts=1)
    fleet.second(10)
    unit = "director/z0-0"
    mine, other = sorted(
        fleet.observers, key=lambda name: unit not in fleet.observers[name].members
    )
    liar = fleet.observers[other]
    true = fleet.observers[mine].members[unit]
    # The same beat, told by the other observer with a better word and a younger age.
    liar.on_heartbeats(
        fleet.now,
        {
            "beats": {
                unit: {
                    "inc": 1,
                    "n": true.number,
                    "changed": true.changed_number,
                    "zone": "z0",
                    "word": WORD | {"proxies": 0, "drained": {"z0-0": 5}, "version": "1"},
                }
            },
            "stamp": [1, fleet.now],
            "since": 0,
        },
    )
    fleet.tell(other)
    one = fleet.collector.evidence(unit)
    assert (one.word["proxies"], one.word["drained"]) == (10, {}) and one.heard_at <= true.heard_at
    # One that the member said later counts alone, whoever has the older.
    true.changed_number += 1
    fleet.observers[mine].record_difference(fleet.now, unit, true)
    fleet.tell(mine)
    assert fleet.collector.evidence(unit).word["proxies"] == 10


def test_a_contradiction_is_no_death_and_nobody_is_vouched_for_by_it():
    fleet = Fleet(zones=1, directors=3, hosts=3)
    fleet.second(10)
    unit = "director/z0-1"
    mine, other = sorted(
        fleet.observers, key=lambda name: unit not in fleet.observers[name].members
    )
    true = fleet.observers[mine].members[unit]
    fleet.observers[other].on_heartbeats(
        fleet.now,
        {
            "beats": {
                unit: {
                    "inc": 1,
                    "n": true.number,
                    "changed": true.changed_number,
                    "zone": "z0",
                    "word": WORD | {"version": "1"},
                }
            },
            "stamp": [1, fleet.now],
            "since": 0,
        },
    )
    fleet.second(8)  # the other's grows old, and home hears it all the while
    one = fleet.collector.evidence(unit)
    assert one.heard_at < fleet.now - RULES.lease < one.latest_heard_at and fleet.live() == 3


def test_who_goes_to_the_other_observer_and_back_is_heard_by_the_one_it_is_at():
    fleet = Fleet(zones=1, directors=3, hosts=3)
    fleet.second(10)
    home = fleet.homes["director/z0-1"]
    first = home.current_aggregator
    for name in (
        home.aggregators[0] if home.aggregators[0] != first else home.aggregators[1],
        first,
    ):
        home.current_aggregator, home.stamp, home.acknowledged = name, None, {}
        fleet.second(2)
        one = fleet.collector.evidence("director/z0-1")
        assert one.aggregator == name and one.heard_at > fleet.now - 3 * SECOND


def test_members_at_rest_cost_the_log_nothing_whatever_their_number():
    counts = []
    for hosts in (5, 20, 80):
        fleet = Fleet(zones=3, directors=hosts // 5, hosts=hosts)
        fleet.second(12)
        assert fleet.live() == 3 * (hosts // 5) and fleet.collector.look(fleet.now)["pending"] == 0
        fleet.sizes = []
        fleet.second(20)
        counts.append(sum(len(second) for second in fleet.sizes))
        report = len(json.dumps(fleet.reports["o-z0-a"]))
        assert (
            report < 300 and not fleet.reports["o-z0-a"]["members"]
        )  # nor do reports grow with them
    assert counts == [0, 0, 0]


def test_a_zones_loss_costs_entries_by_the_zone_and_batches():
    entries = []
    for hosts in (10, 160):
        fleet = Fleet(zones=2, directors=hosts // 10, hosts=hosts)
        fleet.second(15)
        fleet.sizes = []
        fleet.dead = {u for u, z in fleet.zone.items() if z == "z0"}
        fleet.down = {"o-z0-a", "o-z0-b"}
        fleet.second(20)
        assert fleet.ledger.zones["z0"].unknown_since and fleet.live() == 2 * (
            hosts // 10
        )  # unknown, and nobody's death
        entries.append(sum(len(second) for second in fleet.sizes))
        fleet.down = set()
        for name in ("o-z0-a", "o-z0-b"):  # restarted, and so are the machines, in new incarnations
            fleet.observers[name] = HeartbeatAggregator(
                name,
                "z0",
                2,
                fleet.now,
                AggregatorRules(RULES.lease, RULES.drift, RULES.near_limit_share),
            )
        fleet.dead, fleet.sizes = set(), []
        fleet.incs = {u: 1 + (fleet.zone[u] == "z0") for u in fleet.incs}
        fleet.second(20)
        assert not fleet.ledger.zones["z0"].unknown_since and fleet.live() == 2 * (hosts // 10)
        assert all(d.incarnation == 1 + (d.zone == "z0") for d in fleet.ledger.directors.values())
        assert all(h.agent_incarnation == 1 + (h.zone == "z0") for h in fleet.ledger.hosts.values())
        assert max(len(second) for second in fleet.sizes) <= 4 and sum(map(len, fleet.sizes)) <= 10
    assert entries[0] == entries[1] == 1


def test_a_director_that_falls_silent_lapses_where_somebody_was_there_to_hear_it():
    fleet = Fleet(zones=2, directors=3, hosts=3)
    fleet.second(12)
    fleet.words["director/z0-0"] = WORD | {"proxies": 11, "version": "1"}
    fleet.second(2)
    fleet.dead = {"director/z0-0"}
    fleet.second(4)
    assert fleet.live() == 6
    fleet.second(5)
    lapsed = fleet.ledger.directors["z0-0"]
    # The last that it said, unrounded: both observers stood all the while.
    assert fleet.live() == 5 and (lapsed.is_live, lapsed.has_reported, lapsed.proxies) == (
        False,
        True,
        11,
    )
    # It speaks again in the same incarnation: it is told that this one is over.
    fleet.dead = set()
    fleet.second(3)
    assert (
        fleet.homes["director/z0-0"].ended_incarnations == {"director/z0-0": 1}
        and fleet.live() == 5
    )
    fleet.incs["director/z0-0"] = 2
    fleet.second(3)
    assert fleet.live() == 6 and fleet.ledger.directors["z0-0"].incarnation == 2


def test_a_director_that_dies_with_its_observer_may_have_had_any_number_of_proxies():
    fleet = Fleet(zones=1, directors=4, hosts=3)
    fleet.words["director/z0-0"] = WORD | {"proxies": 0, "version": "1"}
    fleet.second(12)
    fleet.dead, fleet.down = {"director/z0-0"}, {fleet.homes["director/z0-0"].current_aggregator}
    fleet.second(20)
    lapsed = fleet.ledger.directors["z0-0"]
    assert (lapsed.is_live, lapsed.proxies, lapsed.has_reported, fleet.live()) == (
        False,
        0,
        False,
        3,
    )
    assert (
        fleet.ledger.state.channel_load().unaccounted_proxies == 1
    )  # unaccounted, until it is back or forgotten


def test_an_observer_that_dies_is_not_the_death_of_its_members():
    fleet = Fleet(zones=1, directors=6, hosts=6)
    fleet.second(12)
    before = {u: h.current_aggregator for u, h in fleet.homes.items()}
    assert set(before.values()) == {"o-z0-a", "o-z0-b"}
    fleet.down, fleet.sizes = {"o-z0-a"}, []
    fleet.second(20)
    assert {h.current_aggregator for h in fleet.homes.values()} == {"o-z0-b"} and fleet.live() == 6
    assert not any(fleet.sizes)  # nothing changed that the log needs


def test_a_new_leader_takes_nobody_for_gone_whom_it_has_not_yet_heard_of():
    fleet = Fleet(zones=2, directors=3, hosts=3)
    fleet.second(12)
    fleet.down = set(fleet.observers)
    fleet.lead()
    fleet.second(5)
    assert fleet.live() == 6 and not any(z.unknown_since for z in fleet.ledger.zones.values())
    fleet.second(3)
    assert fleet.live() == 6 and all(z.unknown_since for z in fleet.ledger.zones.values())
    fleet.down = set()
    fleet.second(10)
    assert fleet.live() == 6 and not any(z.unknown_since for z in fleet.ledger.zones.values())


def test_an_observer_without_room_sends_members_on_and_misses_nobody():
    one = HeartbeatAggregator("o", "z", 7, T, AggregatorRules(10 * SECOND, 0, 900_000, 1))
    beat = {"inc": 1, "n": 1, "changed": 1, "zone": "z", "word": UP}
    assert one.on_heartbeats(
        T + SECOND, {"beats": {"host/a": beat, "host/b": beat}, "stamp": [7, T]}
    )["full"] == ["host/b"]
    assert len(one.members) == 1 and one.watching_since == T + SECOND
    home = HeartbeatSender("z", ["o", "p"], T, 10 * SECOND, random.Random(1))
    home.current_aggregator, first = (
        "o",
        {
            "stamp": [7, T],
            "whole": [],
            "full": ["host/b"],
            "refused": {},
            "over": {},
            "spread": 10,
            "upstream": 0,
        },
    )
    home.aggregators = ["o", "p"]
    home.make_message(T, {"host/b": (1, UP)})
    home.on_answer(T, "o", first)
    assert home.target == "p" and not home.make_message(T + SECOND, {"host/b": (1, UP)})["beats"][
        "host/b"
    ].get("word")
    home.on_answer(T + SECOND, "p", first | {"full": [], "whole": ["host/b"]})
    assert (
        home.current_aggregator == "p"
        and home.make_message(T + 2 * SECOND, {"host/b": (1, UP)})["beats"]["host/b"]["word"] == UP
    )


def test_members_of_a_dead_observer_go_to_the_other_at_a_pace():
    assert herd() == ""
    assert herd(Hasty).startswith("pace: ")


def test_a_region_apart_is_brought_level_by_differences():
    fleet = Fleet(zones=2, directors=4, hosts=40)
    fleet.second(12)
    for name in ("o-z0-a", "o-z0-b"):
        fleet.observers[name].rules = replace(fleet.observers[name].rules, max_differences=8)
    kept, before = fleet.tell, {u: home.current_aggregator for u, home in fleet.homes.items()}
    fleet.tell = lambda name: (
        kept(name) if "z1" in name else fleet.observers[name].make_report(fleet.now)
    )
    fleet.second(60)
    assert fleet.ledger.zones["z0"].unknown_since
    fleet.incs = {
        u: i + (u in ("host/z0-1", "host/z0-2", "director/z0-3")) for u, i in fleet.incs.items()
    }
    fleet.second(20)
    fleet.tell, told = kept, []
    for _ in range(10):
        fleet.second()
        told += [
            u for name, r in fleet.reports.items() if name.startswith("o-z0") for u in r["members"]
        ]
    # What changed and who went to the other observer meanwhile, and no more.
    moved = {
        u
        for u, home in fleet.homes.items()
        if fleet.zone[u] == "z0" and home.current_aggregator != before[u]
    }
    assert (
        set(told) - moved == {"director/z0-3", "host/z0-1", "host/z0-2"} - moved and len(moved) < 12
    )
    assert (
        fleet.ledger.directors["z0-3"].incarnation == 2
        and fleet.ledger.hosts["z0-1"].agent_incarnation == 2
    )
    assert fleet.live() == 8 and not fleet.ledger.zones["z0"].unknown_since
    # To a new leader the whole table goes, in parts.
    fleet.lead()
    sizes = []
    for _ in range(5):
        fleet.second()
        sizes += [len(r["members"]) for r in fleet.reports.values()]
    assert max(sizes) > 8 and all(
        len(fleet.reports[n]["members"]) <= 8 for n in ("o-z0-a", "o-z0-b")
    )
    assert all(state.is_complete for state in fleet.collector.aggregators.values())


def test_who_is_out_needs_a_vouch_of_each_zone_in_the_log():
    fleet = Fleet(zones=2, directors=2, hosts=2)
    fleet.second(12)
    fleet.put("hold", holder="s", inc=1)
    fleet.put("ask", holder="s", inc=1, n=1, units=["host/z0-0"], length=SECOND)
    unit = "host/z0-0"
    token = fleet.put(
        "drain", holder="s", inc=1, unit=unit, token=fleet.ledger.permits[unit].token
    )["token"]
    fleet.put(
        "list",
        v=2,
        hosts={
            "z0-0": {
                "zone": "z0",
                "kind": "k",
                "tenants": ["t"],
                "strength": 10,
                "classes": 1,
                "ready": False,
                "token": token,
            }
        },
    )
    directors = [u for u in fleet.words if u.startswith("director/")]
    for u in directors[:-1]:
        fleet.words[u] = fleet.words[u] | {"drained": {"z0-0": token}}
    fleet.quiet[unit] = 3 * SECOND
    fleet.second(5)

    def out():
        fleet.put("hold", holder="s", inc=1)
        fleet.index += 1
        entry = {"k": "out", "at": fleet.now, "holder": "s", "inc": 1, "unit": unit, "token": token}
        return json.loads(fleet.ledger.apply(fleet.index, json.dumps(entry).encode())).get("no", "")

    assert "directors of zone z1 have not all confirmed" in out()
    fleet.words[directors[-1]] = fleet.words[directors[-1]] | {"drained": {"z0-0": token}}
    fleet.second(3)
    assert fleet.ledger.permits[unit].state == "empty"
    for _ in range(7):  # nobody says anything any more
        fleet.now += SECOND
        fleet.put("tick")
    assert "was not heard, all of it, for a lease" in out()
    fleet.second(10)
    snapshot = fleet.ledger.snapshot()
    other = Ledger()
    other.restore(snapshot)
    assert other.snapshot() == snapshot and other.inspect() == fleet.ledger.inspect()
    # Proxies with old tables join a director: it confirms no more, and the host drains again.
    fleet.words[directors[0]] = WORD | {"version": "1"}
    fleet.second(2)
    assert (
        fleet.ledger.permits[unit].state == "draining" and "zone z0 have not all confirmed" in out()
    )
    fleet.words[directors[0]] = WORD | {"version": "1", "drained": {"z0-0": token}}
    fleet.second(3)
    assert out() == "" and fleet.ledger.permits[unit].state == "out"


def test_the_ledger_refuses_digests_that_say_too_much():
    fleet = Fleet(zones=1, directors=2, hosts=1)
    fleet.second(12)
    changed, least = fleet.ledger.zones["z0"].changed_index, RULES.lease * 101 // 100

    def digest(**more):
        return fleet.put("digest", made=fleet.now, **more)

    assert "heard 5 ago" in digest(lapsed={"z0-0": [1, 5, True]})["director/z0-0"]
    assert "no live lease" in digest(lapsed={"z0-0": [0, least, True]})["director/z0-0"]
    assert "0 is meant" in digest(vouch={"z0": [0, 0, {}]})["zone z0"]
    assert digest(vouch={"z0": [0, changed, {}]}) is True
    assert "heard since" in digest(lapsed={"z0-0": [1, least, True]})["director/z0-0"]
    assert "it came already" in digest(came={"z0-0": [1, "z0", ""]})["director/z0-0"]
    assert "it is over" in digest(came={"z0-0": [0, "z0", ""]})["director/z0-0"]
    assert "older than" in digest(directors={"z0-0": {"inc": 1, "n": 0}})["director/z0-0"]
    assert "not a host" in digest(hosts={"x": [1, 1, True, 0, 0, 0]})["host/x"]
    digest(zones={"z0": True})
    assert "unknown" in digest(lapsed={"z0-0": [1, least, True]})["director/z0-0"]
    assert "unknown" in digest(vouch={"z0": [0, changed, {}]})["zone z0"]
    fleet.put("hold", holder="s", inc=1)
    assert fleet.put("ask", holder="s", inc=1, n=1, units=["host/z0-0"], length=1)["state"] == {
        "host/z0-0": "asked"
    }
    assert (
        fleet.put("forget", unit="director/z0-0", by="ann") is True
    )  # of an unknown zone an operator may
    digest(zones={"z0": False})
    fleet.put("tick")
    assert fleet.ledger.permits["host/z0-0"].state == "granted"
    fleet.index += 1
    for kind, more in (
        ("join", {"director": "z0-1", "inc": 1, "zone": "z0"}),
        ("lapse", {"role": "director", "name": "z0-1", "inc": 1}),
    ):
        fleet.index += 1
        entry = json.dumps({"k": kind, "at": fleet.now} | more).encode()
        assert "behind observers" in json.loads(fleet.ledger.apply(fleet.index, entry))["no"]


def test_an_unknown_zones_directors_count_as_out_where_others_are_to_go():
    rules = DisruptionRules(
        **(vars(RULES) | {"budgets": (("fleet", 9, 1_000_000), ("directors", 2, 1_000_000))})
    )
    fleet = Fleet(zones=2, directors=2, hosts=1, rules=rules)
    fleet.second(12)
    fleet.put("hold", holder="s", inc=1)
    fleet.put("digest", made=fleet.now, zones={"z0": True})
    ask = fleet.put("ask", holder="s", inc=1, n=1, units=["director/z1-0"], length=1)
    assert ask["state"] == {"director/z1-0": "asked"} and not fleet.ledger.halts
    fleet.put("digest", made=fleet.now, zones={"z0": False})
    fleet.put("tick")
    assert fleet.ledger.permits["director/z1-0"].state == "granted"


def test_a_roof_is_never_under_the_figure_and_is_told_anew_where_it_is_passed():
    told = read_status("director/d", WORD, "")
    for figure in range(200):
        assert figure <= upper_bound(figure) <= figure + max(1, -(-figure // 8))
        assert not must_be_logged(
            told | {"proxies": upper_bound(figure)}, told | {"proxies": figure}, 900_000
        )
        assert must_be_logged(told | {"proxies": figure}, told | {"proxies": figure + 1}, 900_000)
    assert must_be_logged(told, told | {"near": 900_000}, 900_000) and not must_be_logged(
        told, told | {"near": 800_000}, 900_000
    )
    assert not must_be_logged(told, told | {"refused": 5, "bare": 3, "fulfilled": 7}, 900_000)


def test_terms_name_observers_by_zone_and_each_fault_has_its_place():
    def read(text):
        source = Source(
            "fleet.sexp",
            f'(fleet (keeper "k1" "127.0.0.1:1") (budget fleet) (budget directors) {text})',
        )
        form = Form(source, source.nodes[0])
        fleet = read_fleet(form, Facts("s", None, ("east", "west"), ()))
        form.done()
        return fleet, [str(f) for f in source.faults if "needs (number" not in str(f)]

    fleet, faults = read("""(observer "a" "127.0.0.1:2" (zone "east"))
      (observer "b" "127.0.0.1:3" (zone "east") (room 2048))""")
    assert not faults and [(o.zone, o.room) for o in fleet.observers] == [
        ("east", 16_384),
        ("east", 2_048),
    ]
    two = '(observer "a" "127.0.0.1:2" (zone "east")) (observer "b" "127.0.0.1:3" (zone "east"))'
    assert not read(f"{two} (lease 6s)")[1] and not read("(lease 2s)")[1]
    (short,) = read(f"{two}\n (lease 5.9s)")[1]
    assert (
        short.startswith("fleet.sexp:2:2: ") and "beside observers a lease is 6s at least" in short
    )
    _, faults = read("""
 (observer "a" "127.0.0.1:1" (zone "east"))
 (observer "a" "127.0.0.1:3" (zone "north") (room 7))
 (observer "c" (zone "west")) (observer "d" "127.0.0.1:4" (colour 1))""")
    found = {":".join(f.split(":")[1:3]): f for f in faults}
    expected = {
        "2:16": "another's address",
        "2:2": "one observer",
        "3:12": "named twice",
        "3:30": "unknown zone north",
        "3:45": "from 1024 to 16384",
        "3:2": "one observer",
        "4:2": "expected (observer",
        "4:31": "(zone ...) is missing",
        "4:59": "unknown word colour",
    }
    assert found.keys() == expected.keys(), faults
    assert all(cause in found[place] for place, cause in expected.items()), faults


@pytest.mark.parametrize("seed", range(24))
def test_histories_break_nothing(seed):
    assert play(seed)[1] == ""


@pytest.mark.parametrize("name", MUTANTS)
def test_each_wrong_part_is_caught_by_the_name_of_what_it_breaks(name):
    made, names, first = MUTANTS[name]
    assert any(
        play(seed, **made)[1].partition(":")[0] in names for seed in range(first, first + 16)
    )


@pytest.mark.parametrize("seed", [2, 3, 7])
def test_a_ledger_restored_again_and_again_answers_twisted_digests_as_one_that_went_on(seed):
    chance, one, other = random.Random(seed), Ledger(), Ledger()
    strange = ["host/h0-z0", "d0-z0", "z0", 0, 1, 10**9, True, False, None, [], {}]
    for n, (index, entry, _) in enumerate(play(seed)[0].history):
        held = json.loads(entry)
        if chance.random() < 0.2:
            parts = [held] + [v for v in held.values() if isinstance(v, dict)]
            parts += [v for part in parts[1:] for v in part.values() if isinstance(v, dict | list)]
            part = chance.choice([p for p in parts if p])
            at = (
                chance.choice(list(part)) if isinstance(part, dict) else chance.randrange(len(part))
            )
            if at not in ("k", "at"):
                part[at] = chance.choice([*strange, chance.randrange(index + 1)])
        packed = json.dumps(held).encode()
        assert one.apply(index, packed) == other.apply(index, packed)
        if n % 40 == 0:
            snapshot, other = other.snapshot(), Ledger()
            other.restore(snapshot)
            assert other.snapshot() == snapshot
    assert one.snapshot() == other.snapshot() and one.inspect() == other.inspect()
    assert {z: n for z, n in one.state.aggregated_by_zone.items() if n} == {
        z: n for z, n in other.state.aggregated_by_zone.items() if n
    }


def test_marks_reach_a_host_with_their_age_through_its_observer():
    one = HeartbeatAggregator("o", "z", 7, T, AggregatorRules(10 * SECOND, 0, 900_000))
    beats = {
        "beats": {u: {"inc": 1, "n": 1, "changed": 1, "zone": "z"} for u in ("host/a", "host/b")},
        "stamp": None,
    }
    answer = one.on_heartbeats(T, beats)
    assert (answer["marks"], answer["marked"]) == ({}, -1)
    one.on_drain_markers(T + SECOND, [("host/a", "stopped", 5), ("host/c", "leaving", 3)])
    answer = one.on_heartbeats(
        T + 4 * SECOND, beats
    )  # whoever it is: an order is told by its token and how old it is
    assert (answer["marks"], answer["marked"]) == ({"host/a": ["stopped", 5]}, 3 * SECOND)
