"""Keepers, and who asks them, as processes with a relay between any two; faults at exact messages."""

import random
import shutil
import time

import gevent
import pytest

from ironfall.director.fleet_member import CoordinatorLedger
from ironfall.lab.between import (
    HALF_CLOSED,
    SPOILT,
    TORN,
    TWICE,
    VANISHES,
    Fate,
    answers,
    asks,
    offers,
    says,
    takes,
)
from ironfall.lab.fleet_judge import FleetJudge
from ironfall.lab.play import fleet_of
from ironfall.lab.relayed import Holder
from ironfall.lab.tape import read
from ironfall.lab.works import Works
from tests.keepers import Faulted, until
from tests.test_fleet_members import CompleteFleet

SECOND = 10_000
HOSTS = {
    f"h{n}": {"zone": "east", "kind": "disk", "strength": 9, "classes": 1, "ready": True}
    for n in range(40)
}


def grants(group, holder, match, fate=None, act=None, **about):
    """One host, with this fault on the way."""
    done = group.faults.at(match, fate or Fate(), act, **about)
    heard = holder.ask()
    assert done.is_set() and heard.is_accepted, heard


def replaced(group, old, began):
    """Who leads now, and how long that took; votes may be split, and the machine slow, but not for long."""
    new = group.leader(old)
    took = group.logs.last(new, "became leader") - began[0]
    assert took < 5.0
    return new, took


def test_a_leader_killed_at_each_step_of_a_grant_grants_it_once(tmp_path):
    with Faulted(tmp_path, lease="60s") as group:
        holder, times = group.relayed.holder(group.keepers, HOSTS), []
        for step in ("offered", "taken", "answered"):
            old, began = group.leader(), []

            def kill(_message, old=old, began=began):
                group.kill(old)
                began.append(time.time())

            if step == "offered":  # on its own disk at most
                grants(group, holder, offers("ask", old), VANISHES, kill, times=2)
            elif step == "taken":  # on most disks, and known to nobody
                grants(group, holder, takes(group.relayed.placed("ask"), "", old), VANISHES, kill)
            else:  # on its way to who asked
                grants(group, holder, answers(asks("ask"), 200), VANISHES, kill)
            times.append(replaced(group, old, began)[1])
            group.start(old)
        assert min(times) < 2.0, "a new leader within two seconds, where no vote was split"
        assert group.granted() == ["host/h1", "host/h2", "host/h3"]


def older(folder):
    """A disk from before is told so by the leader that it answered; False where that leads no more."""
    with Faulted(folder, lease="60s") as group:
        holder, old = group.relayed.holder(group.keepers, HOSTS), group.leader()
        group.kill(old)
        shutil.copytree(group.disk(old), folder / "copy")
        new, place = group.leader(old), group.relayed.placed("ask")
        assert holder.ask().is_accepted
        answered = group.faults.at(takes(place, old, new))
        group.start(old)
        assert answered.wait(10.0)
        group.kill(old)
        shutil.rmtree(group.disk(old))
        shutil.move(folder / "copy", group.disk(old))
        told = group.faults.at(says("gone_back", new, old))
        group.start(old)
        until(lambda: group.here(old).get("role") == "stranger" or group.leader() != new)
        if group.leader() != new:
            return False
        assert told.is_set() and group.told(old, "disk lost confirmed data, starts as a new member")
        assert holder.ask().is_accepted and group.granted(old) == ["host/h1", "host/h2"]
        return True


def test_a_leader_back_with_an_older_disk_counts_for_nothing(tmp_path):
    assert any(older(tmp_path / str(attempt)) for attempt in range(3))


@pytest.mark.parametrize("way, count", [("hears nobody", 5), ("heard by nobody", 3)])
def test_a_leader_cut_off_one_way_gives_way_and_grants_nothing_twice(tmp_path, way, count):
    with Faulted(tmp_path, count, lease="60s") as group:
        holder, old = group.relayed.holder(group.keepers, HOSTS), group.leader()
        others, began = [n for n in group.names if n != old], []

        def cut(_message):
            began.append(time.time())
            for other in others:
                group.faults.cut(*((other, old) if way == "hears nobody" else (old, other)))

        grants(group, holder, offers("ask", old), act=cut)
        replaced(group, old, began)
        assert group.here(old).get("role") != "leader"
        assert holder.ask().is_accepted
        group.faults.mend()
        until(lambda: len({group.here(n).get("leader") for n in group.names}) == 1)
        assert holder.ask().is_accepted and group.granted() == ["host/h1", "host/h2", "host/h3"]


def test_a_leader_stopped_in_the_middle_of_a_grant_grants_nothing_old(tmp_path):
    with Faulted(tmp_path, lease="60s") as group:
        holder, old, began = group.relayed.holder(group.keepers, HOSTS), group.leader(), []

        def stop(_message):
            group.signal(old, "SIGSTOP")
            began.append(time.time())

        # The word that it is on most disks lies there, unread.
        grants(group, holder, takes(group.relayed.placed("ask"), "", old), act=stop)
        new, _ = replaced(group, old, began)
        assert holder.ask().is_accepted
        group.signal(old, "SIGCONT")
        until(
            lambda: (
                group.here(old).get("leader") == new and group.here(old).get("role") == "follower"
            )
        )
        assert holder.ask().is_accepted and group.granted() == ["host/h1", "host/h2", "host/h3"]


@pytest.mark.parametrize(
    "fates", [(TWICE, Fate(2, 0.05)), (SPOILT, TORN)], ids=["late and twice", "spoilt and torn"]
)
def test_what_anybody_says_may_come_late_twice_spoilt_or_torn(tmp_path, fates):
    with Faulted(tmp_path, seed=3, lease="60s") as group:
        holder = group.relayed.holder(group.keepers, HOSTS)
        for fate in (HALF_CLOSED, *fates):
            grants(group, holder, asks("ask"), fate)
        grants(group, holder, answers(asks("ask"), 200), fates[1])
        for fate in fates:
            group.faults.some(lambda m: True, fate, 0.15)
        heard = [holder.ask() for _ in range(3)]
        assert all(group.faults.counts[fate] > 3 for fate in fates)
        assert all(h.failure in ("", "doubt") for h in heard), heard
        group.faults.mend()
        assert holder.ask().is_accepted and group.granted() == [
            "host/h1",
            "host/h2",
            "host/h3",
            "host/h4",
        ]


def test_a_halt_is_true_at_once_where_it_is_heard_and_in_a_lease_for_who_is_cut_off(tmp_path):
    lease = 3.0
    with Faulted(tmp_path, lease="3s", empty="1s") as group:
        assert group.relayed.ruled.wait(10.0)
        it = CompleteFleet(group)
        proxy, host = gevent.spawn(it.follow), it.lab.hosts["h03"]
        operator, tell = group.client("operator"), it.tape.teller("operator")
        holder = Holder(group.client("holder"), "s", 1, SECOND)

        def permit():
            return (
                group.looker.read_status(2.0)
                .body.get("ledger", {})
                .get("permits", {})
                .get("host/h03", {})
            )

        def step(kind):
            heard = holder.do(kind, unit="host/h03", token=until(permit)["token"])
            assert heard.is_accepted, heard

        def shown(state):
            return it.registry.rows.get(host.id, {}).get("state") == state

        def halts(what, **about):
            began = time.monotonic()
            assert operator.propose(
                {"k": what, "scope": "all", "by": "operator", **about}
            ).is_accepted
            tell(what, scope="all")
            return began

        works = Works(
            lambda who: CoordinatorLedger(group.client(who), 2.0),
            "s",
            1,
            3 * SECOND,
            random.Random(1),
            tell,
            it.live.log,
        )
        try:
            until(
                lambda: (
                    holder.do("hold").is_accepted and it.director.status()["member"]["lease_s"] > 0
                )
            )
            until(lambda: holder.do("ask", n=1, units=["host/h03"], length=SECOND).is_accepted)
            step("drain")
            until(lambda: shown("draining"))
            began = halts("halt", reason="a look")
            until(lambda: shown("ready"))
            assert time.monotonic() - began < 1.0
            halts("lift")
            until(lambda: not permit())
            until(lambda: holder.do("ask", n=2, units=["host/h03"], length=SECOND).is_accepted)
            until(lambda: permit().get("state") == "granted")
            step("drain")
            until(lambda: permit().get("state") == "empty")
            # As the word that it is out goes to the holder an exchange comes, and the agent waits for its end.
            late = gevent.spawn(gevent.sleep, 60.0)
            done = group.faults.at(answers(asks("out"), 200), act=lambda m: host.work.add(late))
            ordered = group.faults.at(
                lambda m: m.to is not None and b'"stopped"' in m.body and m.sink == "agents"
            )
            step("out")
            assert done.is_set() and ordered.wait(10.0)
            for keeper in group.names:
                group.faults.cut(keeper, "agents")
                group.faults.cut("agents", keeper)
            began = halts("halt", reason="a look")
            until(lambda: time.monotonic() > began + lease)
            host.work.discard(late)
            assert group.faults.at(asks("agents"), nth=2).wait(
                10.0
            )  # before each word it does what it is to do
            assert host.up, "an order from before the halt, carried out a lease after it"
            group.faults.mend()
            step("back")
            until(lambda: host.up and shown("ready") and not permit(), 20)
        finally:
            works.stop()
            proxy.kill()
            it.stop()
        group.granted()
    rules = FleetJudge(fleet_of(it.day, it.terms)).read(read(tmp_path / "all.tape")).verdict(0)
    assert not any(rule.breaks for rule in rules.values()), rules
