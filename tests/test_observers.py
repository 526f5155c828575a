"""Heartbeat aggregators and the digest collector: cases, log volume, simulations, mutants."""

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

STATUS = {"proxies": 10, "binding": 5, "waiting": 0}
HOST_STATUS = {"up": True, "token": 0}
T = 10**10  # a reading of a monotonic clock


class Fleet:
    """Zones with two aggregators, members, the collector and the ledger; no message is lost or late.

    All have the same clock.
    """

    def __init__(self, zones=2, directors=2, hosts=3, rules=RULES):
        self.ledger, self.index, self.now, self.rules = Ledger(), 0, T, rules
        self.term = 0
        self.digest_sizes = []  # by second, the bytes of each digest
        self.apply_entry("rules", rules=rules.facts())
        self.zones = [f"z{n}" for n in range(zones)]
        self.aggregators = {
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
        self.statuses, self.zone_of, self.senders, self.idle_times = {}, {}, {}, {}
        for z in self.zones:
            for n in range(directors):
                self.add_member(f"director/{z}-{n}", z, STATUS | {"version": "1"})
            for n in range(hosts):
                self.add_member(f"host/{z}-{n}", z, HOST_STATUS)
        self.incarnations = dict.fromkeys(self.statuses, 1)
        self.silent_units, self.stopped_aggregators = set(), set()
        self.apply_entry(
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
                for u, z in self.zone_of.items()
                if u.startswith("host/")
            },
        )
        self.start_leader_term()

    def add_member(self, unit, zone, status):
        names = [name for name, aggregator in self.aggregators.items() if aggregator.zone == zone]
        self.statuses[unit], self.zone_of[unit] = status, zone
        self.senders[unit] = HeartbeatSender(zone, names, T, self.rules.lease, random.Random(unit))

    def start_leader_term(self):
        self.term += 1
        zones = {name: aggregator.zone for name, aggregator in self.aggregators.items()}
        self.collector = DigestCollector(self.term, self.now, zones, self.ledger)

    def apply_entry(self, kind, **fields):
        self.index += 1
        entry = {"k": kind, "at": self.now} | fields
        answer = json.loads(self.ledger.apply(self.index, json.dumps(entry).encode()))
        assert "ok" in answer, answer
        return answer["ok"]

    def send_heartbeat(self, unit):
        sender, target = self.senders[unit], self.senders[unit].target
        message = sender.make_message(
            self.now,
            {unit: (self.incarnations[unit], self.statuses[unit])},
            {unit: self.idle_times.get(unit, 0)},
        )
        if target in self.stopped_aggregators:
            return sender.on_failure(self.now, target)
        answer = self.aggregators[target].on_heartbeats(self.now, json.loads(json.dumps(message)))
        return sender.on_answer(self.now, target, json.loads(json.dumps(answer)))

    def send_report(self, name):
        report = self.aggregators[name].make_report(self.now)
        answer = self.collector.report(self.now, json.loads(json.dumps(report)))
        self.aggregators[name].on_report_answer(self.now, report, json.loads(json.dumps(answer)))
        return report

    def run_seconds(self, seconds=1, is_leading=True):
        for _ in range(seconds):
            for _ in range(10):
                self.now += SECOND // 10
                for unit in self.statuses:
                    if unit not in self.silent_units and self.now >= self.senders[unit].due_at:
                        self.send_heartbeat(unit)
            self.reports = {
                name: self.send_report(name)
                for name in self.aggregators
                if name not in self.stopped_aggregators
            }
            if is_leading:
                self.apply_entry("tick")
                entries = list(self.collector.digests(self.now, max(self.now, self.ledger.now)))
                self.digest_sizes.append([len(json.dumps(entry)) for entry in entries])
                for entry in entries:
                    self.apply_entry("digest", **{k: v for k, v in entry.items() if k != "k"})

    def count_live_directors(self):
        return sum(director.is_live for director in self.ledger.directors.values())


def test_a_stamp_proves_no_later_time_than_the_status_was_sent():
    # Sent half a second after the stamp was received, and more than three on its way; drift of 1 %.
    assert (
        latest_proven_time(T + 4 * SECOND, T, SECOND // 2, 0, 10_000)
        == T + SECOND // 2 - SECOND // 200
    )
    # Heard before the stamp was received: earlier than the stamp, also by the drift.
    assert latest_proven_time(T, T - SECOND, 0, SECOND, 10_000) == T - 2 * SECOND - SECOND // 100
    assert latest_proven_time(T, T, 5 * SECOND, 0, 0) == T


def test_a_heartbeat_counts_from_its_stamp_however_late_or_often_it_arrives():
    aggregator = HeartbeatAggregator("o", "z", 7, T, AggregatorRules(10 * SECOND, 0, 900_000))
    heartbeat = {"inc": 1, "n": 1, "changed": 1, "zone": "z", "word": HOST_STATUS}
    message = {"beats": {"host/h": heartbeat}, "stamp": None, "since": 0}
    answer = aggregator.on_heartbeats(T, message)
    # Without a stamp nothing proves when it was sent.
    assert answer["whole"] == ["host/h"] and not aggregator.members
    message |= {"stamp": answer["stamp"], "since": SECOND // 2}
    aggregator.on_heartbeats(T + 5 * SECOND, message)
    assert aggregator.members["host/h"].heard_at == T + SECOND // 2
    assert "no newer" in aggregator.on_heartbeats(T + 6 * SECOND, message)["refused"]["host/h"]
    # A stamp of another incarnation.
    assert aggregator.on_heartbeats(T, message | {"stamp": [6, T]})["whole"] == ["host/h"]
    assert aggregator.members["host/h"].heard_at == T + SECOND // 2
    later = {
        "beats": {"host/h": heartbeat | {"n": 2, "word": None}},
        "stamp": [7, T + 6 * SECOND],
        "since": 0,
    }
    assert not aggregator.on_heartbeats(T + 7 * SECOND, later)["whole"]
    changed = {
        "beats": {"host/h": heartbeat | {"n": 3, "changed": 3, "word": None}},
        "stamp": [7, T + 6 * SECOND],
    }
    # It claims a change without the new status.
    assert aggregator.on_heartbeats(T + 7 * SECOND, changed)["whole"] == ["host/h"]
    older = {"beats": {"host/h": heartbeat | {"inc": 0, "n": 9}}, "stamp": [7, T + 6 * SECOND]}
    assert "no newer" in aggregator.on_heartbeats(T + 7 * SECOND, older)["refused"]["host/h"]
    assert (
        "not this observer's"
        in aggregator.on_heartbeats(
            T, {"beats": {"host/x": heartbeat | {"zone": "y"}}, "stamp": [7, T]}
        )["refused"]["host/x"]
    )


def test_malformed_messages_are_rejected_with_the_place_and_change_nothing():
    aggregator, ledger = (
        HeartbeatAggregator("o", "z", 7, T, AggregatorRules(10 * SECOND, 0, 900_000)),
        Ledger(),
    )
    heartbeat = {"inc": 1, "n": 1, "changed": 1, "zone": "z", "word": HOST_STATUS}
    for heartbeats, cause in (
        ({"host/h": heartbeat | {"n": -1}}, "beats.host/h.n must be a whole number"),
        (
            {"host/a": heartbeat, "host/h": heartbeat | {"word": {"up": 1}}},
            "beats.host/h.word.up must be true or false",
        ),
        ({"planet/h": heartbeat}, "neither host/NAME nor director/NAME"),
        (
            {"director/d": heartbeat | {"word": {"drained": {"h": "x"}}}},
            "beats.director/d.word.drained must be a whole",
        ),
        ({"host/h": heartbeat | {"colour": 3}}, "unknown field beats.host/h.colour"),
        ({f"host/{n}": heartbeat for n in range(1_025)}, "1024 at most"),
        ([], "must be an object"),
    ):
        with pytest.raises(ValueError, match=cause.replace(".", r"\.")):
            aggregator.on_heartbeats(T, {"beats": heartbeats, "stamp": [7, T], "since": 0})
    assert not aggregator.members
    collector = DigestCollector(1, T, {"o": "z"}, ledger)
    report = aggregator.make_report(T)
    for fields, cause in (
        ({"floor": -1}, "floor"),
        ({"late": {"x": 1}}, "neither host/NAME"),
        ({"members": {"host/h": [1, 1, 0, HOST_STATUS]}}, "members.host/h must be a list"),
        ({"stamp": [1]}, "stamp"),
        ({"colour": 1}, "unknown field colour"),
    ):
        with pytest.raises(ValueError, match=cause):
            collector.report(T, report | fields)
    with pytest.raises(ValueError, match="have must be a whole number"):
        aggregator.on_report_answer(T, report, {"stamp": [1, T], "have": "x"})
    assert (
        not collector.aggregators
        and "no observer of the terms" in collector.report(T, report | {"zone": "y"})["why"]
    )


def test_contradicting_statuses_merge_to_the_pessimistic_values():
    fields = {"drained": {"h": 3, "g": 1}, "leaving": True, "token": 9, "silent": ["x"]}
    first = read_status("director/d", STATUS | fields, "")
    second = read_status(
        "director/d", STATUS | {"proxies": 12, "drained": {"h": 3, "g": 2}, "silent": ["y"]}, ""
    )
    merged = merge_worst("director/d", first, second)
    assert merged == merge_worst("director/d", second, first) | {"version": ""}
    assert (merged["proxies"], merged["drained"], merged["leaving"], merged["token"]) == (
        12,
        {"h": 3},
        False,
        0,
    )
    assert merged["silent"] == ["x", "y"]
    assert merge_worst("host/h", {"up": True, "token": 9}, {"up": False, "token": 3}) == {
        "up": False,
        "token": 3,
    }


def test_contradicting_aggregators_yield_the_pessimistic_evidence():
    fleet = Fleet(zones=1, directors=1, hosts=1)
    fleet.run_seconds(10)
    unit = "director/z0-0"
    current, other = sorted(
        fleet.aggregators, key=lambda name: unit not in fleet.aggregators[name].members
    )
    other_aggregator = fleet.aggregators[other]
    member = fleet.aggregators[current].members[unit]
    # The other aggregator claims the same heartbeat with a better status and a lower age.
    other_aggregator.on_heartbeats(
        fleet.now,
        {
            "beats": {
                unit: {
                    "inc": 1,
                    "n": member.number,
                    "changed": member.changed_number,
                    "zone": "z0",
                    "word": STATUS | {"proxies": 0, "drained": {"z0-0": 5}, "version": "1"},
                }
            },
            "stamp": [1, fleet.now],
            "since": 0,
        },
    )
    fleet.send_report(other)
    evidence = fleet.collector.evidence(unit)
    assert (evidence.word["proxies"], evidence.word["drained"]) == (
        10,
        {},
    ) and evidence.heard_at <= member.heard_at
    # A later status counts alone, whichever aggregator has the older one.
    member.changed_number += 1
    fleet.aggregators[current].record_difference(fleet.now, unit, member)
    fleet.send_report(current)
    assert fleet.collector.evidence(unit).word["proxies"] == 10


def test_a_contradiction_neither_ends_a_lease_nor_attests_a_zone():
    fleet = Fleet(zones=1, directors=3, hosts=3)
    fleet.run_seconds(10)
    unit = "director/z0-1"
    current, other = sorted(
        fleet.aggregators, key=lambda name: unit not in fleet.aggregators[name].members
    )
    member = fleet.aggregators[current].members[unit]
    fleet.aggregators[other].on_heartbeats(
        fleet.now,
        {
            "beats": {
                unit: {
                    "inc": 1,
                    "n": member.number,
                    "changed": member.changed_number,
                    "zone": "z0",
                    "word": STATUS | {"version": "1"},
                }
            },
            "stamp": [1, fleet.now],
            "since": 0,
        },
    )
    # The false claim grows old, while the member's aggregator still hears it.
    fleet.run_seconds(8)
    evidence = fleet.collector.evidence(unit)
    assert (
        evidence.heard_at < fleet.now - RULES.lease < evidence.latest_heard_at
        and fleet.count_live_directors() == 3
    )


def test_evidence_follows_a_member_to_the_other_aggregator_and_back():
    fleet = Fleet(zones=1, directors=3, hosts=3)
    fleet.run_seconds(10)
    sender = fleet.senders["director/z0-1"]
    first = sender.current_aggregator
    for name in (
        sender.aggregators[0] if sender.aggregators[0] != first else sender.aggregators[1],
        first,
    ):
        sender.current_aggregator, sender.stamp, sender.acknowledged = name, None, {}
        fleet.run_seconds(2)
        evidence = fleet.collector.evidence("director/z0-1")
        assert evidence.aggregator == name and evidence.heard_at > fleet.now - 3 * SECOND


def test_unchanging_members_add_nothing_to_the_log_whatever_their_number():
    counts = []
    for hosts in (5, 20, 80):
        fleet = Fleet(zones=3, directors=hosts // 5, hosts=hosts)
        fleet.run_seconds(12)
        assert (
            fleet.count_live_directors() == 3 * (hosts // 5)
            and fleet.collector.look(fleet.now)["pending"] == 0
        )
        fleet.digest_sizes = []
        fleet.run_seconds(20)
        counts.append(sum(len(sizes) for sizes in fleet.digest_sizes))
        report_bytes = len(json.dumps(fleet.reports["o-z0-a"]))
        # Reports don't grow with the number of members either.
        assert report_bytes < 300 and not fleet.reports["o-z0-a"]["members"]
    assert counts == [0, 0, 0]


def test_the_loss_of_a_zone_takes_one_entry_and_its_return_a_few():
    entries = []
    for hosts in (10, 160):
        fleet = Fleet(zones=2, directors=hosts // 10, hosts=hosts)
        fleet.run_seconds(15)
        fleet.digest_sizes = []
        fleet.silent_units = {unit for unit, zone in fleet.zone_of.items() if zone == "z0"}
        fleet.stopped_aggregators = {"o-z0-a", "o-z0-b"}
        fleet.run_seconds(20)
        # The zone is unknown, and no director has lapsed.
        assert fleet.ledger.zones["z0"].unknown_since and fleet.count_live_directors() == 2 * (
            hosts // 10
        )
        entries.append(sum(len(sizes) for sizes in fleet.digest_sizes))
        fleet.stopped_aggregators = set()
        # Aggregators and members restart in new incarnations.
        for name in ("o-z0-a", "o-z0-b"):
            fleet.aggregators[name] = HeartbeatAggregator(
                name,
                "z0",
                2,
                fleet.now,
                AggregatorRules(RULES.lease, RULES.drift, RULES.near_limit_share),
            )
        fleet.silent_units, fleet.digest_sizes = set(), []
        fleet.incarnations = {
            unit: 1 + (fleet.zone_of[unit] == "z0") for unit in fleet.incarnations
        }
        fleet.run_seconds(20)
        assert not fleet.ledger.zones["z0"].unknown_since and fleet.count_live_directors() == 2 * (
            hosts // 10
        )
        assert all(
            director.incarnation == 1 + (director.zone == "z0")
            for director in fleet.ledger.directors.values()
        )
        assert all(
            host.agent_incarnation == 1 + (host.zone == "z0")
            for host in fleet.ledger.hosts.values()
        )
        assert (
            max(len(sizes) for sizes in fleet.digest_sizes) <= 4
            and sum(map(len, fleet.digest_sizes)) <= 10
        )
    assert entries[0] == entries[1] == 1


def test_a_silent_director_lapses_where_an_aggregator_has_watched():
    fleet = Fleet(zones=2, directors=3, hosts=3)
    fleet.run_seconds(12)
    fleet.statuses["director/z0-0"] = STATUS | {"proxies": 11, "version": "1"}
    fleet.run_seconds(2)
    fleet.silent_units = {"director/z0-0"}
    fleet.run_seconds(4)
    assert fleet.count_live_directors() == 6
    fleet.run_seconds(5)
    director = fleet.ledger.directors["z0-0"]
    # Its last status is logged exactly, as both aggregators reported all the time.
    assert fleet.count_live_directors() == 5 and (
        director.is_live,
        director.has_reported,
        director.proxies,
    ) == (
        False,
        True,
        11,
    )
    # It sends heartbeats of the same incarnation again, and is answered that this one has ended.
    fleet.silent_units = set()
    fleet.run_seconds(3)
    assert (
        fleet.senders["director/z0-0"].ended_incarnations == {"director/z0-0": 1}
        and fleet.count_live_directors() == 5
    )
    fleet.incarnations["director/z0-0"] = 2
    fleet.run_seconds(3)
    assert fleet.count_live_directors() == 6 and fleet.ledger.directors["z0-0"].incarnation == 2


def test_a_director_lost_with_its_aggregator_has_no_known_final_status():
    fleet = Fleet(zones=1, directors=4, hosts=3)
    fleet.statuses["director/z0-0"] = STATUS | {"proxies": 0, "version": "1"}
    fleet.run_seconds(12)
    fleet.silent_units, fleet.stopped_aggregators = (
        {"director/z0-0"},
        {fleet.senders["director/z0-0"].current_aggregator},
    )
    fleet.run_seconds(20)
    director = fleet.ledger.directors["z0-0"]
    assert (
        director.is_live,
        director.proxies,
        director.has_reported,
        fleet.count_live_directors(),
    ) == (
        False,
        0,
        False,
        3,
    )
    # Its proxies are unaccounted for until it is back or forgotten.
    assert fleet.ledger.state.channel_load().unaccounted_proxies == 1


def test_members_of_a_dead_aggregator_stay_live():
    fleet = Fleet(zones=1, directors=6, hosts=6)
    fleet.run_seconds(12)
    before = {unit: sender.current_aggregator for unit, sender in fleet.senders.items()}
    assert set(before.values()) == {"o-z0-a", "o-z0-b"}
    fleet.stopped_aggregators, fleet.digest_sizes = {"o-z0-a"}, []
    fleet.run_seconds(20)
    assert {sender.current_aggregator for sender in fleet.senders.values()} == {
        "o-z0-b"
    } and fleet.count_live_directors() == 6
    assert not any(fleet.digest_sizes)


def test_a_new_leader_lapses_no_director_before_the_first_reports():
    fleet = Fleet(zones=2, directors=3, hosts=3)
    fleet.run_seconds(12)
    fleet.stopped_aggregators = set(fleet.aggregators)
    fleet.start_leader_term()
    fleet.run_seconds(5)
    assert fleet.count_live_directors() == 6 and not any(
        zone.unknown_since for zone in fleet.ledger.zones.values()
    )
    fleet.run_seconds(3)
    assert fleet.count_live_directors() == 6 and all(
        zone.unknown_since for zone in fleet.ledger.zones.values()
    )
    fleet.stopped_aggregators = set()
    fleet.run_seconds(10)
    assert fleet.count_live_directors() == 6 and not any(
        zone.unknown_since for zone in fleet.ledger.zones.values()
    )


def test_a_new_leader_has_a_higher_term_which_observers_report_by():
    fleet = Fleet(zones=1, directors=1, hosts=1)
    for term in (1, 2):
        fleet.run_seconds(2)
        stamps = [aggregator.leader_stamp for aggregator in fleet.aggregators.values()]
        assert [stamp.incarnation for stamp in stamps] == [term, term]
        fleet.start_leader_term()


def test_a_full_aggregator_sends_members_on_and_doubts_their_silence():
    aggregator = HeartbeatAggregator("o", "z", 7, T, AggregatorRules(10 * SECOND, 0, 900_000, 1))
    heartbeat = {"inc": 1, "n": 1, "changed": 1, "zone": "z", "word": HOST_STATUS}
    assert aggregator.on_heartbeats(
        T + SECOND, {"beats": {"host/a": heartbeat, "host/b": heartbeat}, "stamp": [7, T]}
    )["full"] == ["host/b"]
    assert len(aggregator.members) == 1 and aggregator.watching_since == T + SECOND
    sender = HeartbeatSender("z", ["o", "p"], T, 10 * SECOND, random.Random(1))
    sender.current_aggregator, answer = (
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
    sender.aggregators = ["o", "p"]
    sender.make_message(T, {"host/b": (1, HOST_STATUS)})
    sender.on_answer(T, "o", answer)
    assert sender.target == "p" and not sender.make_message(
        T + SECOND, {"host/b": (1, HOST_STATUS)}
    )["beats"]["host/b"].get("word")
    sender.on_answer(T + SECOND, "p", answer | {"full": [], "whole": ["host/b"]})
    assert (
        sender.current_aggregator == "p"
        and sender.make_message(T + 2 * SECOND, {"host/b": (1, HOST_STATUS)})["beats"]["host/b"][
            "word"
        ]
        == HOST_STATUS
    )


def test_members_of_a_dead_aggregator_spread_their_change_to_the_other():
    assert herd() == ""
    assert herd(Hasty).startswith("pace: ")


def test_a_zone_that_was_cut_off_is_updated_by_differences():
    fleet = Fleet(zones=2, directors=4, hosts=40)
    fleet.run_seconds(12)
    for name in ("o-z0-a", "o-z0-b"):
        fleet.aggregators[name].rules = replace(fleet.aggregators[name].rules, max_differences=8)
    send_report, before = (
        fleet.send_report,
        {unit: sender.current_aggregator for unit, sender in fleet.senders.items()},
    )
    fleet.send_report = lambda name: (
        send_report(name) if "z1" in name else fleet.aggregators[name].make_report(fleet.now)
    )
    fleet.run_seconds(60)
    assert fleet.ledger.zones["z0"].unknown_since
    fleet.incarnations = {
        unit: incarnation + (unit in ("host/z0-1", "host/z0-2", "director/z0-3"))
        for unit, incarnation in fleet.incarnations.items()
    }
    fleet.run_seconds(20)
    fleet.send_report, reported = send_report, []
    for _ in range(10):
        fleet.run_seconds()
        reported += [
            unit
            for name, report in fleet.reports.items()
            if name.startswith("o-z0")
            for unit in report["members"]
        ]
    # Only members that changed, or changed to the other aggregator, were reported.
    moved = {
        unit
        for unit, sender in fleet.senders.items()
        if fleet.zone_of[unit] == "z0" and sender.current_aggregator != before[unit]
    }
    assert (
        set(reported) - moved == {"director/z0-3", "host/z0-1", "host/z0-2"} - moved
        and len(moved) < 12
    )
    assert (
        fleet.ledger.directors["z0-3"].incarnation == 2
        and fleet.ledger.hosts["z0-1"].agent_incarnation == 2
    )
    assert fleet.count_live_directors() == 8 and not fleet.ledger.zones["z0"].unknown_since
    # A new leader gets all members, in several reports.
    fleet.start_leader_term()
    sizes = []
    for _ in range(5):
        fleet.run_seconds()
        sizes += [len(report["members"]) for report in fleet.reports.values()]
    assert max(sizes) > 8 and all(
        len(fleet.reports[name]["members"]) <= 8 for name in ("o-z0-a", "o-z0-b")
    )
    assert all(state.is_complete for state in fleet.collector.aggregators.values())


def test_taking_a_host_out_needs_a_logged_attestation_of_each_zone():
    fleet = Fleet(zones=2, directors=2, hosts=2)
    fleet.run_seconds(12)
    fleet.apply_entry("hold", holder="s", inc=1)
    fleet.apply_entry("ask", holder="s", inc=1, n=1, units=["host/z0-0"], length=SECOND)
    unit = "host/z0-0"
    token = fleet.apply_entry(
        "drain", holder="s", inc=1, unit=unit, token=fleet.ledger.permits[unit].token
    )["token"]
    fleet.apply_entry(
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
    directors = [director for director in fleet.statuses if director.startswith("director/")]
    for director in directors[:-1]:
        fleet.statuses[director] = fleet.statuses[director] | {"drained": {"z0-0": token}}
    fleet.idle_times[unit] = 3 * SECOND
    fleet.run_seconds(5)

    def take_out():
        fleet.apply_entry("hold", holder="s", inc=1)
        fleet.index += 1
        entry = {"k": "out", "at": fleet.now, "holder": "s", "inc": 1, "unit": unit, "token": token}
        return json.loads(fleet.ledger.apply(fleet.index, json.dumps(entry).encode())).get("no", "")

    assert "directors of zone z1 have not all confirmed" in take_out()
    fleet.statuses[directors[-1]] = fleet.statuses[directors[-1]] | {"drained": {"z0-0": token}}
    fleet.run_seconds(3)
    assert fleet.ledger.permits[unit].state == "empty"
    # No heartbeats arrive any more.
    for _ in range(7):
        fleet.now += SECOND
        fleet.apply_entry("tick")
    assert "was not heard, all of it, for a lease" in take_out()
    fleet.run_seconds(10)
    snapshot = fleet.ledger.snapshot()
    other = Ledger()
    other.restore(snapshot)
    assert other.snapshot() == snapshot and other.inspect() == fleet.ledger.inspect()
    # Proxies with old tables join a director: it no longer confirms, and the host drains again.
    fleet.statuses[directors[0]] = STATUS | {"version": "1"}
    fleet.run_seconds(2)
    assert (
        fleet.ledger.permits[unit].state == "draining"
        and "zone z0 have not all confirmed" in take_out()
    )
    fleet.statuses[directors[0]] = STATUS | {"version": "1", "drained": {"z0-0": token}}
    fleet.run_seconds(3)
    assert take_out() == "" and fleet.ledger.permits[unit].state == "out"


def test_the_ledger_rejects_parts_of_digests_that_it_can_refute():
    fleet = Fleet(zones=1, directors=2, hosts=1)
    fleet.run_seconds(12)
    changed, min_silence = fleet.ledger.zones["z0"].changed_index, RULES.lease * 101 // 100

    def digest(**fields):
        return fleet.apply_entry("digest", made=fleet.now, **fields)

    assert "heard 5 ago" in digest(lapsed={"z0-0": [1, 5, True]})["director/z0-0"]
    assert "no live lease" in digest(lapsed={"z0-0": [0, min_silence, True]})["director/z0-0"]
    assert "0 is meant" in digest(vouch={"z0": [0, 0, {}]})["zone z0"]
    assert digest(vouch={"z0": [0, changed, {}]}) is True
    assert "heard since" in digest(lapsed={"z0-0": [1, min_silence, True]})["director/z0-0"]
    assert "it came already" in digest(came={"z0-0": [1, "z0", ""]})["director/z0-0"]
    assert "it is over" in digest(came={"z0-0": [0, "z0", ""]})["director/z0-0"]
    assert "older than" in digest(directors={"z0-0": {"inc": 1, "n": 0}})["director/z0-0"]
    assert "not a host" in digest(hosts={"x": [1, 1, True, 0, 0, 0]})["host/x"]
    digest(zones={"z0": True})
    assert "unknown" in digest(lapsed={"z0-0": [1, min_silence, True]})["director/z0-0"]
    assert "unknown" in digest(vouch={"z0": [0, changed, {}]})["zone z0"]
    fleet.apply_entry("hold", holder="s", inc=1)
    assert fleet.apply_entry("ask", holder="s", inc=1, n=1, units=["host/z0-0"], length=1)[
        "state"
    ] == {"host/z0-0": "asked"}
    # An operator may forget a director of an unknown zone.
    assert fleet.apply_entry("forget", unit="director/z0-0", by="ann") is True
    digest(zones={"z0": False})
    fleet.apply_entry("tick")
    assert fleet.ledger.permits["host/z0-0"].state == "granted"
    fleet.index += 1
    for kind, fields in (
        ("join", {"director": "z0-1", "inc": 1, "zone": "z0"}),
        ("lapse", {"role": "director", "name": "z0-1", "inc": 1}),
    ):
        fleet.index += 1
        entry = json.dumps({"k": kind, "at": fleet.now} | fields).encode()
        assert "behind observers" in json.loads(fleet.ledger.apply(fleet.index, entry))["no"]


def test_directors_of_an_unknown_zone_use_up_the_directors_budget():
    rules = DisruptionRules(
        **(vars(RULES) | {"budgets": (("fleet", 9, 1_000_000), ("directors", 2, 1_000_000))})
    )
    fleet = Fleet(zones=2, directors=2, hosts=1, rules=rules)
    fleet.run_seconds(12)
    fleet.apply_entry("hold", holder="s", inc=1)
    fleet.apply_entry("digest", made=fleet.now, zones={"z0": True})
    ask = fleet.apply_entry("ask", holder="s", inc=1, n=1, units=["director/z1-0"], length=1)
    assert ask["state"] == {"director/z1-0": "asked"} and not fleet.ledger.halts
    fleet.apply_entry("digest", made=fleet.now, zones={"z0": False})
    fleet.apply_entry("tick")
    assert fleet.ledger.permits["director/z1-0"].state == "granted"


def test_an_upper_bound_is_never_below_the_figure_and_is_renewed_when_exceeded():
    logged = read_status("director/d", STATUS, "")
    for figure in range(200):
        assert figure <= upper_bound(figure) <= figure + max(1, -(-figure // 8))
        assert not must_be_logged(
            logged | {"proxies": upper_bound(figure)}, logged | {"proxies": figure}, 900_000
        )
        assert must_be_logged(
            logged | {"proxies": figure}, logged | {"proxies": figure + 1}, 900_000
        )
    assert must_be_logged(logged, logged | {"near": 900_000}, 900_000) and not must_be_logged(
        logged, logged | {"near": 800_000}, 900_000
    )
    assert not must_be_logged(logged, logged | {"refused": 5, "bare": 3, "fulfilled": 7}, 900_000)


def test_settings_of_aggregators_are_read_and_faults_have_their_place():
    def read(text):
        source = Source(
            "fleet.sexp",
            f'(fleet (keeper "k1" "127.0.0.1:1") (budget fleet) (budget directors) {text})',
        )
        form = Form(source, source.nodes[0])
        fleet = read_fleet(form, Facts("s", None, ("east", "west"), ()))
        form.done()
        return fleet, [str(fault) for fault in source.faults if "needs (number" not in str(fault)]

    fleet, faults = read("""(observer "a" "127.0.0.1:2" (zone "east"))
      (observer "b" "127.0.0.1:3" (zone "east") (room 2048))""")
    assert not faults and [
        (aggregator.zone, aggregator.room) for aggregator in fleet.observers
    ] == [
        ("east", 16_384),
        ("east", 2_048),
    ]
    two = '(observer "a" "127.0.0.1:2" (zone "east")) (observer "b" "127.0.0.1:3" (zone "east"))'
    assert not read(f"{two} (lease 6s)")[1] and not read("(lease 2s)")[1]
    (short,) = read(f"{two}\n (lease 5.9s)")[1]
    assert (
        short.startswith("fleet.sexp:2:2: ")
        and "with observers, a lease must be at least 6s" in short
    )
    _, faults = read("""
 (observer "a" "127.0.0.1:1" (zone "east"))
 (observer "a" "127.0.0.1:3" (zone "north") (room 7))
 (observer "c" (zone "west")) (observer "d" "127.0.0.1:4" (colour 1))""")
    found = {":".join(fault.split(":")[1:3]): fault for fault in faults}
    expected = {
        "2:16": "the address of another keeper or observer",
        "2:2": "only one observer",
        "3:12": "defined twice",
        "3:30": "unknown zone north",
        "3:45": "from 1024 to 16384",
        "3:2": "only one observer",
        "4:2": "expected (observer",
        "4:31": "(zone ...) is missing",
        "4:59": "unknown word colour",
    }
    assert found.keys() == expected.keys(), faults
    assert all(cause in found[place] for place, cause in expected.items()), faults


@pytest.mark.parametrize("seed", range(24))
def test_simulations_violate_no_invariant(seed):
    assert play(seed)[1] == ""


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_is_caught_by_an_invariant_that_it_violates(name):
    parts, invariants, first_seed = MUTANTS[name]
    assert any(
        play(seed, **parts)[1].partition(":")[0] in invariants
        for seed in range(first_seed, first_seed + 16)
    )


@pytest.mark.parametrize("seed", [2, 3, 7])
def test_a_ledger_restored_from_snapshots_answers_corrupted_digests_alike(seed):
    rng, ledger, restored = random.Random(seed), Ledger(), Ledger()
    odd_values = ["host/h0-z0", "d0-z0", "z0", 0, 1, 10**9, True, False, None, [], {}]
    for number, (index, entry, _) in enumerate(play(seed)[0].history):
        corrupted = json.loads(entry)
        if rng.random() < 0.2:
            parts = [corrupted] + [value for value in corrupted.values() if isinstance(value, dict)]
            parts += [
                value
                for part in parts[1:]
                for value in part.values()
                if isinstance(value, dict | list)
            ]
            part = rng.choice([candidate for candidate in parts if candidate])
            key = rng.choice(list(part)) if isinstance(part, dict) else rng.randrange(len(part))
            if key not in ("k", "at"):
                part[key] = rng.choice([*odd_values, rng.randrange(index + 1)])
        encoded = json.dumps(corrupted).encode()
        assert ledger.apply(index, encoded) == restored.apply(index, encoded)
        if number % 40 == 0:
            snapshot, restored = restored.snapshot(), Ledger()
            restored.restore(snapshot)
            assert restored.snapshot() == snapshot
    assert ledger.snapshot() == restored.snapshot() and ledger.inspect() == restored.inspect()
    assert {zone: number for zone, number in ledger.state.aggregated_by_zone.items() if number} == {
        zone: number for zone, number in restored.state.aggregated_by_zone.items() if number
    }


def test_drain_markers_reach_a_host_with_their_age_through_its_aggregator():
    aggregator = HeartbeatAggregator("o", "z", 7, T, AggregatorRules(10 * SECOND, 0, 900_000))
    message = {
        "beats": {
            unit: {"inc": 1, "n": 1, "changed": 1, "zone": "z"} for unit in ("host/a", "host/b")
        },
        "stamp": None,
    }
    answer = aggregator.on_heartbeats(T, message)
    assert (answer["marks"], answer["marked"]) == ({}, -1)
    aggregator.on_drain_markers(T + SECOND, [("host/a", "stopped", 5), ("host/c", "leaving", 3)])
    # Markers are answered even where the heartbeat does not count: their token and age suffice.
    answer = aggregator.on_heartbeats(T + 4 * SECOND, message)
    assert (answer["marks"], answer["marked"]) == ({"host/a": ["stopped", 5]}, 3 * SECOND)
