"""Heartbeat aggregators as processes, beside coordinators and members, with injected faults."""

import contextlib
import json
import random
from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest

from ironfall.api.http import Answer, HttpClient
from ironfall.coordinator.client import CoordinatorAnswer
from ironfall.coordinator.sums import answer_checksum, with_checksum
from ironfall.director.fleet_member import CoordinatorLedger
from ironfall.disruption.settings import AggregatorSettings
from ironfall.lab.between import SPOILT, TORN, TWICE, VANISHES, Fate, asks
from ironfall.lab.relayed import Holder
from ironfall.lab.works import Works
from ironfall.membership_server.client import HeartbeatClient
from ironfall.membership_server.program import Program
from ironfall.terms import read_terms
from tests.disks import Disk as FakeDisk
from tests.keepers import ROOT, until
from tests.observed import SECOND, ZONES, Members, Observed
from tests.test_fleet_members import make_agent


class NullLog:
    def info(self, *_, **about): ...

    warning = error = info


@contextlib.contextmanager
def fleet(folder, **options):
    """Starts members behind aggregators, a proxy that follows its director, and a permit holder.

    All members are known to the ledger when it yields.
    """
    with Observed(folder, **options) as group:
        members = Members(group)
        proxy, record_event = gevent.spawn(members.follow), members.tape.teller("operators")
        works = Works(
            lambda who: CoordinatorLedger(group.client(who), 2.0),
            "s",
            1,
            6 * SECOND,
            random.Random(1),
            record_event,
            members.live.log,
        )
        holder = Holder(group.client("holder"), "s", 1, SECOND)
        try:
            until(members.joined, 40)
            until(lambda: holder.do("hold").is_accepted)
            yield group, members, holder, works
        finally:
            works.stop()
            proxy.kill()
            members.stop()
    members.judged()


def permit_of(group, unit="host/h03"):
    return group.ledger()["permits"].get(unit, {})


def wait_for_permit(group, holder, unit="host/h03", number=1):
    until(lambda: holder.do("ask", n=number, units=[unit], length=SECOND).is_accepted)
    until(lambda: permit_of(group, unit).get("state") == "granted")


def take_step(group, holder, kind, seconds=10.0, unit="host/h03"):
    return holder.do(kind, seconds, unit=unit, token=until(lambda: permit_of(group, unit))["token"])


def live_state(group):
    """Returns directors' leases and the count of unplanned losses of hosts.

    No fault between processes may change either.
    """
    ledger = group.ledger()
    return {name: row[:2] for name, row in ledger["directors"].items()}, ledger["scopes"]["fleet"][
        2
    ]


def is_heartbeat(source, *parts):
    return lambda message: (
        message.path == "/v1/observe/beats"
        and source in ("", message.source)
        and all(part in message.body for part in parts)
    )


def is_report(source):
    return lambda message: message.path == "/v1/fleet/observed" and source in ("", message.source)


TERMS = read_terms("observed.sexp", (ROOT / "deploy" / "terms" / "observed.sexp").read_text())


def test_malformed_messages_are_answered_with_the_place_of_the_fault():
    aggregators = (
        AggregatorSettings("o1", ("127.0.0.1", 0), "east", 1_024),
        *TERMS.fleet.observers[1:],
    )
    program = Program(
        replace(TERMS, fleet=replace(TERMS.fleet, observers=aggregators)), "o1", NullLog(), 1
    )
    program.server.start()  # without the loops: it makes no reports
    client, path = HttpClient(("127.0.0.1", program.server.port)), "/v1/observe/beats"

    def send(body, target=None, method="POST"):
        answer = client.call(method, target or with_checksum(path, body), 2.0, body)
        decoded = json.loads(answer.body)
        return answer.status, decoded.get("why", decoded)

    def message_of(units, stamp=None, **fields):
        heartbeat = {"inc": 1, "n": 1, "changed": 1, "zone": "east", "quiet": 0} | fields
        return json.dumps(
            {"beats": dict.fromkeys(units, heartbeat), "stamp": stamp, "since": 0}
        ).encode()

    assert send(b"{}", path)[0] == 400 and send(b"{}", path + "?sum=1")[0] == 408
    assert (
        send(b"{")[0] == 400
        and send(b"{}", "/v1/other")[0] == 404
        and send(b"", path, "GET")[0] == 405
    )
    assert send(message_of(["proxy/p1"])) == (
        400,
        "proxy/p1 is neither host/NAME nor director/NAME",
    )
    status, reason = send(message_of(["host/h1"], word={"up": 1, "token": 0}))
    assert status == 400 and reason.startswith("beats.host/h1")
    assert send(message_of([f"host/h{n}" for n in range(1_025)])) == (
        400,
        "beats are 1024 at most in a message",
    )
    stamp, word = send(message_of([]))[1]["stamp"], {"up": True, "token": 0}
    assert send(message_of([f"host/h{n}" for n in range(1_024)], stamp, word=word))[1]["full"] == []
    assert send(message_of(["host/h2000", "host/h1"], stamp, word=word, n=2))[1]["full"] == [
        "host/h2000"
    ]
    assert send(b"", "/v1/observe/look", "GET")[1]["members"] == 1_024
    program.stop()


def test_an_aggregator_superseded_by_another_of_its_name_exits_with_one():
    aggregators = (AggregatorSettings("o1", ("127.0.0.1", 0), "east"), *TERMS.fleet.observers[1:])
    program, reports = (
        Program(
            replace(TERMS, fleet=replace(TERMS.fleet, observers=aggregators)), "o1", NullLog(), 1
        ),
        [],
    )

    def answer_report(report, _seconds):
        reports.append(report)
        incarnation = report["inc"] + (1 if len(reports) == 3 else 0)
        return CoordinatorAnswer(
            "",
            {"stamp": [1, 5], "have": 0, "inc": incarnation, "wanted": [], "drop": [], "over": {}},
        )

    program.coordinators.send_report = answer_report
    program.coordinators.poll_drain_markers = lambda *_: CoordinatorAnswer("silent")
    program.start()
    assert program.done.wait(10.0) and program.status == 1
    assert [report["seq"] for report in reports] == [1, 2, 3] and reports[2]["stamp"] == [1, 5]


def test_drain_markers_age_from_the_request_and_older_ones_are_ignored():
    now = [100.0]
    client = HeartbeatClient(
        "east", TERMS.fleet.observers, 6 * SECOND, random.Random(1), lambda: now[0]
    )
    answer = {
        "stamp": [1, 1],
        "whole": [],
        "full": [],
        "refused": {},
        "over": {},
        "upstream": 0,
        "spread": 1,
    }

    def send(wanted, age):
        def call(*_):
            now[0] += 1.0  # the message's time in transit
            body = json.dumps(answer | {"marks": {"host/h0": [wanted, 7]}, "marked": age}).encode()
            return Answer(200, body, {"x-sum": answer_checksum(200, body)})

        client.clients = dict.fromkeys(
            client.clients, SimpleNamespace(call=call, close=lambda: None)
        )
        client.send_heartbeats({"host/h0": (1, {"up": True, "token": 0})})
        return client.drain_markers, client.markers_read_at

    assert send("stopped", SECOND) == ([("host/h0", "stopped", 7)], 99 * SECOND)
    assert send("ready", SECOND) == ([("host/h0", "ready", 7)], 100 * SECOND)
    assert send("stopped", 4 * SECOND) == ([("host/h0", "ready", 7)], 100 * SECOND), (
        "older markers, from another aggregator"
    )
    agent = make_agent(FakeDisk(), now=100 * SECOND)
    assert agent.ordered(105 * SECOND, "stopped", 7, 99 * SECOND) and agent.process.up, (
        "the marker is older than half a lease"
    )
    assert agent.ordered(105 * SECOND, "stopped", 7, 103 * SECOND) and not agent.process.up


def test_a_host_drains_and_returns_though_an_aggregator_is_killed_meanwhile(tmp_path):
    with fleet(tmp_path) as (group, members, _, works):
        host, killed = members.lab.hosts["h03"], []
        # The exact figure that it reported; the log has an upper bound of two.
        until(lambda: group.ledger()["directors"]["d1"][3] == 1)

        def kill(message):
            killed.append(message.sink)
            group.kill(message.sink)

        drain_reported = group.faults.at(is_heartbeat("d1", b'"drained":{"h03"'), VANISHES, kill)
        job = gevent.spawn(works.work, "h03", 4.0)
        assert drain_reported.wait(20.0), "the director reports that it has drained the host"
        until(lambda: not host.up, 60)
        group.watch(killed[0])
        until(lambda: works.ended and members.registry.rows[host.id]["state"] == "ready", 60)
        until(lambda: group.ledger()["permits"] == {} and group.knows(*ZONES))
        job.join()
        for name in ZONES:
            group.processes[name].terminate()
        assert {group.processes[name].wait(10) for name in ZONES} == {0}
    events = [row["e"] for row in members.judged() if "unit" in row and row["e"] != "shown"]
    assert events == ["stopped", "started"]


def test_suspended_aggregators_attest_no_drain_by_old_heartbeats(tmp_path):
    with fleet(tmp_path) as (group, members, holder, _):
        wait_for_permit(group, holder)
        assert take_step(group, holder, "drain").is_accepted
        until(lambda: permit_of(group).get("state") == "empty", 30)
        before = live_state(group)

        def suspend(_message):
            for name in ("o3", "o4"):
                group.signal(name, "SIGSTOP")

        # The holder's request is lost until a lease after the last attestation of the west.
        group.faults.at(asks("out"), VANISHES, suspend, times=1 << 30)
        assert take_step(group, holder, "out", 2.0).failure
        until(lambda: group.ledger()["now"] > group.zone("west")[1] + 7 * SECOND, 30)
        group.faults.steps.clear()
        answer = take_step(group, holder, "out")
        assert "zone west" in answer.rejection and members.lab.hosts["h03"].up, answer
        until(lambda: group.zone("west")[2], 30)
        now = group.ledger()["now"]
        assert live_state(group)[0] == before[0], "no director there has lapsed"
        for name in ("o3", "o4"):
            group.signal(name, "SIGCONT")
        until(lambda: take_step(group, holder, "out").is_accepted, 40)
        assert not group.zone("west")[2] and group.zone("west")[1] > now, (
            "by heartbeats since the aggregators were resumed"
        )
        assert take_step(group, holder, "back").is_accepted
        until(lambda: not permit_of(group) and members.lab.hosts["h03"].up, 40)
        assert live_state(group) == before


@pytest.mark.parametrize("fault", ["no answers", "no reports", "late reports"])
def test_members_leave_an_aggregator_cut_off_from_the_leader_and_stay_live(tmp_path, fault):
    with fleet(tmp_path, names=("o1", "o2")) as (group, members, holder, _):
        before, aggregator = (
            live_state(group),
            members.directors["d1"].member.coordinators.sender.current_aggregator,
        )
        if fault == "late reports":
            group.faults.some(is_report(aggregator), Fate(late=3.0), 1.0)
        for coordinator in group.names if fault != "late reports" else ():
            group.faults.cut(
                *((coordinator, aggregator) if fault == "no answers" else (aggregator, coordinator))
            )
        until(
            lambda: (
                members.directors["d1"].member.coordinators.sender.current_aggregator != aggregator
            ),
            30,
        )
        other = next(name for name in group.zones if name != aggregator)
        until(lambda: group.observer(other)["members"] == 6, 30)
        assert group.observer(aggregator), "it runs, and members could send heartbeats to it"
        changed_at = group.ledger()["now"]
        until(lambda: group.ledger()["now"] > changed_at + 9 * SECOND, 30)
        assert live_state(group) == before
        group.faults.mend()
        until(lambda: group.knows(aggregator), 20)
        assert live_state(group) == before


def test_messages_may_be_late_duplicated_corrupted_or_truncated(tmp_path):
    with fleet(tmp_path) as (group, members, _, works):
        before, host = live_state(group), members.lab.hosts["h03"]
        for fate in (Fate(2, 0.3), TWICE, SPOILT, TORN):
            group.faults.some(is_heartbeat(""), fate, 0.1)
            group.faults.some(is_report(""), fate, 0.1)
        gevent.spawn(works.work, "h03", 4.0)
        until(lambda: not host.up, 60)
        until(lambda: works.ended and members.registry.rows[host.id]["state"] == "ready", 60)
        until(
            lambda: all(
                group.faults.counts[fate] > 3 for fate in (Fate(2, 0.3), TWICE, SPOILT, TORN)
            ),
            60,
        )
        until(lambda: live_state(group) == before)


def test_messages_of_an_aggregators_former_incarnation_do_not_count(tmp_path):
    with fleet(tmp_path) as (group, members, _, works):
        aggregator, captured = (
            members.directors["d1"].member.coordinators.sender.current_aggregator,
            {},
        )
        for match in (is_heartbeat("d1"), is_report(aggregator)):
            group.faults.at(
                lambda message, match=match: match(message) and b'"stamp":[' in message.body,
                act=lambda message: captured.update({message.path: message}),
            )
        until(lambda: len(captured) == 2)
        group.kill(aggregator)
        group.watch(aggregator)
        members.directors["d1"].member.stop()  # its process goes on without sending heartbeats
        until(lambda: group.observer(aggregator))
        restarted_at = group.ledger()["now"]

        def resend(path, target):
            with contextlib.suppress(OSError):
                answer = HttpClient(target).call(
                    "POST", captured[path].first.split()[1], 1.0, captured[path].body
                )
                return SimpleNamespace(status=answer.status, body=json.loads(answer.body))

        def has_lapsed():
            """Sends both messages again; returns whether the director has lapsed."""
            aggregator_answer = resend("/v1/observe/beats", dict(group.observers)[aggregator])
            leader_answer = resend("/v1/fleet/observed", dict(group.keepers)[group.leader()])
            if aggregator_answer and leader_answer and leader_answer.status == 200:
                assert aggregator_answer.body["whole"] == ["director/d1"], (
                    "a stamp of another incarnation proves nothing"
                )
                assert leader_answer.body["why"], (
                    "a report of another incarnation does not count either"
                )
            return not group.ledger()["directors"]["d1"][0]

        until(has_lapsed, 60)
        assert group.ledger()["now"] > restarted_at + 6 * SECOND
        members.directors["d1"].member.start()
        until(lambda: group.ledger()["directors"]["d1"][0], 30)


def test_a_zone_without_aggregators_is_unknown_and_the_rest_goes_on(tmp_path):
    with fleet(tmp_path) as (group, members, holder, works):
        before, host = live_state(group), members.lab.hosts["h03"]
        wait_for_permit(group, holder)
        assert take_step(group, holder, "drain").is_accepted
        until(lambda: permit_of(group).get("state") == "empty", 30)
        for name in ("o3", "o4"):
            group.kill(name)
        until(lambda: group.zone("west")[2], 30)
        answer = take_step(group, holder, "out")
        assert answer.rejection and host.up, answer
        until(lambda: holder.do("ask", n=2, units=["host/h08"], length=SECOND).is_accepted)
        assert "host/h08" not in group.ledger()["permits"], "no permit is granted there"
        works.halt("zone east", 0)
        assert live_state(group) == before, "no director or host there counts as lost for it"
        turns = members.directors["d2"].director.batch_durations.get_total_count()
        until(lambda: members.directors["d2"].director.batch_durations.get_total_count() > turns)
        for name in ("o3", "o4"):
            group.watch(name)
        until(lambda: not group.zone("west")[2] and group.knows(*ZONES), 40)
        until(lambda: live_state(group) == before)


def test_directors_proxies_and_hosts_go_on_without_coordinators_and_aggregators(tmp_path):
    with fleet(tmp_path) as (group, members, _, _):
        for name in [*group.names, *group.zones]:
            group.kill(name)
        director = members.directors["d1"]
        until(lambda: members.live.counts.get("keepers unheard", 0) > 3, 30)
        turns = members.live.batch_durations.get_total_count()
        until(lambda: members.live.batch_durations.get_total_count() > turns + 3, 30)
        assert (
            all(host.up for host in members.lab.hosts.values())
            and director.status()["member"]["trouble"]
        )
        for name in group.names:
            group.start(name)
        for name in group.zones:
            group.watch(name)
        until(members.joined, 60)
