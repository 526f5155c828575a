"""Observers as processes beside keepers and members: a host's way out and back, and faults at exact messages."""

import contextlib
import json
import random
from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest

from ironfall.api.http import Answer, HttpClient
from ironfall.coordinator.client import CoordinatorAnswer
from ironfall.coordinator.sums import answered, asked
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
from tests.test_fleet_members import agent_of


class Quiet:
    def info(self, *_, **about): ...

    warning = error = info


@contextlib.contextmanager
def fleet(folder, **about):
    """Members behind observers, known to the ledger, a proxy that follows, and somebody who holds a lease."""
    with Observed(folder, **about) as group:
        it = Members(group)
        proxy, tell = gevent.spawn(it.follow), it.tape.teller("operators")
        works = Works(
            lambda who: CoordinatorLedger(group.client(who), 2.0),
            "s",
            1,
            6 * SECOND,
            random.Random(1),
            tell,
            it.live.log,
        )
        holder = Holder(group.client("holder"), "s", 1, SECOND)
        try:
            until(it.joined, 40)
            until(lambda: holder.do("hold").done)
            yield group, it, holder, works
        finally:
            works.stop()
            proxy.kill()
            it.stop()
    it.judged()


def permit(group, unit="host/h03"):
    return group.ledger()["permits"].get(unit, {})


def granted(group, holder, unit="host/h03", number=1):
    until(lambda: holder.do("ask", n=number, units=[unit], length=SECOND).done)
    until(lambda: permit(group, unit).get("state") == "granted")


def step(group, holder, kind, seconds=10.0, unit="host/h03"):
    return holder.do(kind, seconds, unit=unit, token=until(lambda: permit(group, unit))["token"])


def lives(group):
    """Directors with a lease, and hosts lost by themselves: no fault between processes may change either."""
    ledger = group.ledger()
    return {name: one[:2] for name, one in ledger["directors"].items()}, ledger["scopes"]["fleet"][
        2
    ]


def beats(source, *parts):
    return lambda m: (
        m.path == "/v1/observe/beats"
        and source in ("", m.source)
        and all(p in m.body for p in parts)
    )


def reports(source):
    return lambda m: m.path == "/v1/fleet/observed" and source in ("", m.source)


TERMS = read_terms("observed.sexp", (ROOT / "deploy" / "terms" / "observed.sexp").read_text())


def test_what_an_observer_can_not_take_is_answered_with_its_place():
    own = (AggregatorSettings("o1", ("127.0.0.1", 0), "east", 1_024), *TERMS.fleet.observers[1:])
    program = Program(replace(TERMS, fleet=replace(TERMS.fleet, observers=own)), "o1", Quiet(), 1)
    program.server.start()  # and no loops: nobody is reported to
    client, path = HttpClient(("127.0.0.1", program.server.port)), "/v1/observe/beats"

    def said(body, to=None, method="POST"):
        answer = client.call(method, to or asked(path, body), 2.0, body)
        told = json.loads(answer.body)
        return answer.status, told.get("why", told)

    def beats(units, stamp=None, **more):
        one = {"inc": 1, "n": 1, "changed": 1, "zone": "east", "quiet": 0} | more
        return json.dumps({"beats": dict.fromkeys(units, one), "stamp": stamp, "since": 0}).encode()

    assert said(b"{}", path)[0] == 400 and said(b"{}", path + "?sum=1")[0] == 408
    assert (
        said(b"{")[0] == 400
        and said(b"{}", "/v1/other")[0] == 404
        and said(b"", path, "GET")[0] == 405
    )
    assert said(beats(["proxy/p1"])) == (400, "proxy/p1 is neither host/NAME nor director/NAME")
    status, why = said(beats(["host/h1"], word={"up": 1, "token": 0}))
    assert status == 400 and why.startswith("beats.host/h1")
    assert said(beats([f"host/h{n}" for n in range(1_025)])) == (
        400,
        "beats are 1024 at most in a message",
    )
    stamp, word = said(beats([]))[1]["stamp"], {"up": True, "token": 0}
    assert said(beats([f"host/h{n}" for n in range(1_024)], stamp, word=word))[1]["full"] == []
    assert said(beats(["host/h2000", "host/h1"], stamp, word=word, n=2))[1]["full"] == [
        "host/h2000"
    ]
    assert said(b"", "/v1/observe/look", "GET")[1]["members"] == 1_024
    program.stop()


def test_of_two_observers_of_one_name_the_one_begun_first_ends_with_one():
    own = (AggregatorSettings("o1", ("127.0.0.1", 0), "east"), *TERMS.fleet.observers[1:])
    program, said = (
        Program(replace(TERMS, fleet=replace(TERMS.fleet, observers=own)), "o1", Quiet(), 1),
        [],
    )

    def observed(report, _seconds):
        said.append(report)
        later = report["inc"] + (1 if len(said) == 3 else 0)
        return CoordinatorAnswer(
            "", {"stamp": [1, 5], "have": 0, "inc": later, "wanted": [], "drop": [], "over": {}}
        )

    program.coordinators.observed = observed
    program.coordinators.marks = lambda *_: CoordinatorAnswer("silent")
    program.start()
    assert program.done.wait(10.0) and program.status == 1
    assert [report["seq"] for report in said] == [1, 2, 3] and said[2]["stamp"] == [1, 5]


def test_marks_are_as_old_as_when_they_were_asked_for_and_older_ones_count_for_nothing():
    now = [100.0]
    way = HeartbeatClient(
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

    def said(want, age):
        def call(*_):
            now[0] += 1.0  # on its way
            body = json.dumps(answer | {"marks": {"host/h0": [want, 7]}, "marked": age}).encode()
            return Answer(200, body, {"x-sum": answered(200, body)})

        way.clients = dict.fromkeys(way.clients, SimpleNamespace(call=call, close=lambda: None))
        way.send_heartbeats({"host/h0": (1, {"up": True, "token": 0})})
        return way.drain_markers, way.markers_read_at

    assert said("stopped", SECOND) == ([("host/h0", "stopped", 7)], 99 * SECOND)
    assert said("ready", SECOND) == ([("host/h0", "ready", 7)], 100 * SECOND)
    assert said("stopped", 4 * SECOND) == ([("host/h0", "ready", 7)], 100 * SECOND), (
        "another observer's, from before"
    )
    agent = agent_of(FakeDisk(), now=100 * SECOND)
    assert agent.ordered(105 * SECOND, "stopped", 7, 99 * SECOND) and agent.process.up, (
        "half of a lease ago"
    )
    assert agent.ordered(105 * SECOND, "stopped", 7, 103 * SECOND) and not agent.process.up


def test_a_host_goes_out_and_comes_back_though_an_observer_is_killed_as_it_drains(tmp_path):
    with fleet(tmp_path) as (group, it, _, works):
        host, killed = it.lab.hosts["h03"], []
        until(
            lambda: group.ledger()["directors"]["d1"][3] == 1
        )  # as it said, where the log has a roof of two

        def kill(message):
            killed.append(message.sink)
            group.kill(message.sink)

        done = group.faults.at(beats("d1", b'"drained":{"h03"'), VANISHES, kill)
        job = gevent.spawn(works.work, "h03", 4.0)
        assert done.wait(20.0), "the director says that it has drained it"
        until(lambda: not host.up, 60)
        group.watch(killed[0])
        until(lambda: works.ended and it.registry.rows[host.id]["state"] == "ready", 60)
        until(lambda: group.ledger()["permits"] == {} and group.knows(*ZONES))
        job.join()
        for name in ZONES:
            group.processes[name].terminate()
        assert {group.processes[name].wait(10) for name in ZONES} == {0}
    told = [row["e"] for row in it.judged() if "unit" in row and row["e"] != "shown"]
    assert told == ["stopped", "started"]


def test_observers_that_stood_still_let_nothing_out_by_what_they_heard_before(tmp_path):
    with fleet(tmp_path) as (group, it, holder, _):
        granted(group, holder)
        assert step(group, holder, "drain").done
        until(lambda: permit(group).get("state") == "empty", 30)
        before = lives(group)

        def stop(_message):
            for name in ("o3", "o4"):
                group.signal(name, "SIGSTOP")

        # The holder's word is lost until a lease after the last that was vouched for of the west.
        group.faults.at(asks("out"), VANISHES, stop, times=1 << 30)
        assert step(group, holder, "out", 2.0).why
        until(lambda: group.ledger()["now"] > group.zone("west")[1] + 7 * SECOND, 30)
        group.faults.steps.clear()
        heard = step(group, holder, "out")
        assert "zone west" in heard.no and it.lab.hosts["h03"].up, heard
        until(lambda: group.zone("west")[2], 30)
        now = group.ledger()["now"]
        assert lives(group)[0] == before[0], "nobody there is taken for gone"
        for name in ("o3", "o4"):
            group.signal(name, "SIGCONT")
        until(lambda: step(group, holder, "out").done, 40)
        assert not group.zone("west")[2] and group.zone("west")[1] > now, (
            "by what was heard since they went on"
        )
        assert step(group, holder, "back").done
        until(lambda: not permit(group) and it.lab.hosts["h03"].up, 40)
        assert lives(group) == before


@pytest.mark.parametrize("way", ["hears nobody", "heard by nobody", "heard late"])
def test_members_of_an_observer_cut_off_from_the_leader_change_and_are_not_lost(tmp_path, way):
    with fleet(tmp_path, names=("o1", "o2")) as (group, it, holder, _):
        before, home = (
            lives(group),
            it.directors["d1"].member.coordinators.sender.current_aggregator,
        )
        if way == "heard late":
            group.faults.some(reports(home), Fate(late=3.0), 1.0)
        for keeper in group.names if way != "heard late" else ():
            group.faults.cut(*((keeper, home) if way == "hears nobody" else (home, keeper)))
        until(lambda: it.directors["d1"].member.coordinators.sender.current_aggregator != home, 30)
        other = next(name for name in group.zones if name != home)
        until(lambda: group.observer(other)["members"] == 6, 30)
        assert group.observer(home), "it is there, and members could beat at it"
        begun = group.ledger()["now"]
        until(lambda: group.ledger()["now"] > begun + 9 * SECOND, 30)
        assert lives(group) == before
        group.faults.mend()
        until(lambda: group.knows(home), 20)
        assert lives(group) == before


def test_what_members_and_observers_say_may_come_late_twice_spoilt_or_torn(tmp_path):
    with fleet(tmp_path) as (group, it, _, works):
        before, host = lives(group), it.lab.hosts["h03"]
        for fate in (Fate(2, 0.3), TWICE, SPOILT, TORN):
            group.faults.some(beats(""), fate, 0.1)
            group.faults.some(reports(""), fate, 0.1)
        gevent.spawn(works.work, "h03", 4.0)
        until(lambda: not host.up, 60)
        until(lambda: works.ended and it.registry.rows[host.id]["state"] == "ready", 60)
        until(
            lambda: all(
                group.faults.counts[fate] > 3 for fate in (Fate(2, 0.3), TWICE, SPOILT, TORN)
            ),
            60,
        )
        until(lambda: lives(group) == before)


def test_an_observer_that_was_restarted_counts_for_nothing_by_its_former_incarnations_messages(
    tmp_path,
):
    with fleet(tmp_path) as (group, it, _, works):
        home, said = it.directors["d1"].member.coordinators.sender.current_aggregator, {}
        for match in (beats("d1"), reports(home)):
            group.faults.at(
                lambda m, match=match: match(m) and b'"stamp":[' in m.body,
                act=lambda m: said.update({m.path: m}),
            )
        until(lambda: len(said) == 2)
        group.kill(home)
        group.watch(home)
        it.directors["d1"].member.stop()  # its process goes on, and says nothing any more
        until(lambda: group.observer(home))
        lost = group.ledger()["now"]

        def again(path, to):
            with contextlib.suppress(OSError):
                answer = HttpClient(to).call(
                    "POST", said[path].first.split()[1], 1.0, said[path].body
                )
                return SimpleNamespace(status=answer.status, told=json.loads(answer.body))

        def repeated():
            """All of it said again and again, until the director is taken for gone, as it is."""
            member = again("/v1/observe/beats", dict(group.observers)[home])
            leader = again("/v1/fleet/observed", dict(group.keepers)[group.leader()])
            if member and leader and leader.status == 200:
                assert member.told["whole"] == ["director/d1"], (
                    "a stamp of another incarnation proves nothing"
                )
                assert leader.told["why"], "nor does a report of it"
            return not group.ledger()["directors"]["d1"][0]

        until(repeated, 60)
        assert group.ledger()["now"] > lost + 6 * SECOND
        it.directors["d1"].member.start()
        until(lambda: group.ledger()["directors"]["d1"][0], 30)


def test_a_zone_whose_observers_are_both_dead_is_unknown_and_all_else_goes_on(tmp_path):
    with fleet(tmp_path) as (group, it, holder, works):
        before, host = lives(group), it.lab.hosts["h03"]
        granted(group, holder)
        assert step(group, holder, "drain").done
        until(lambda: permit(group).get("state") == "empty", 30)
        for name in ("o3", "o4"):
            group.kill(name)
        until(lambda: group.zone("west")[2], 30)
        heard = step(group, holder, "out")
        assert heard.no and host.up, heard
        until(lambda: holder.do("ask", n=2, units=["host/h08"], length=SECOND).done)
        assert "host/h08" not in group.ledger()["permits"], "nothing begins there"
        works.halt("zone east", 0)
        assert lives(group) == before, "no director or host there is dead for it"
        turns = it.directors["d2"].director.lengths.get_total_count()
        until(lambda: it.directors["d2"].director.lengths.get_total_count() > turns)
        for name in ("o3", "o4"):
            group.watch(name)
        until(lambda: not group.zone("west")[2] and group.knows(*ZONES), 40)
        until(lambda: lives(group) == before)


def test_directors_proxies_and_hosts_go_on_with_all_keepers_and_observers_dead(tmp_path):
    with fleet(tmp_path) as (group, it, _, _):
        for name in [*group.names, *group.zones]:
            group.kill(name)
        director = it.directors["d1"]
        until(lambda: it.live.counts.get("keepers unheard", 0) > 3, 30)
        turns = it.live.lengths.get_total_count()
        until(lambda: it.live.lengths.get_total_count() > turns + 3, 30)
        assert (
            all(host.up for host in it.lab.hosts.values())
            and director.status()["member"]["trouble"]
        )
        for name in group.names:
            group.start(name)
        for name in group.zones:
            group.watch(name)
        until(it.joined, 60)
