"""Keepers, and who asks them, as processes with a relay between any two; faults at exact messages."""

import shutil
import time
from datetime import datetime

import pytest

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
)  # fmt: skip
from tests.keepers import Faulted, until

SECOND = 10_000
HOST = {"zone": "east", "kind": "disk", "tenants": [], "strength": 9, "classes": 1, "ready": True, "token": 0,
        "started": 0}  # fmt: skip
HOSTS = {f"h{n}": HOST for n in range(40)}


class Holder:
    """Asks for one host after another, through relays."""

    def __init__(self, group):
        self.client, self.asked, self.group = group.client("holder"), 0, group
        assert group.ruled.wait(10.0)
        assert group.client("registry").ask({"k": "list", "v": 1, "hosts": HOSTS}).done and self.do("hold").done

    def do(self, kind, **about):
        return self.client.ask({"k": kind, "holder": "s", "inc": 1, **about}, 10.0)

    def ask(self):
        self.asked += 1
        return self.do("ask", n=self.asked, units=[f"host/h{self.asked}"], length=60 * SECOND)

    def granted(self):
        """What the history says of each: four may be out at once, and none more."""
        history, _ = self.group.judged()
        moved = [unit for one in history for unit, state, *_ in one.answer.get("moved", ()) if state == "granted"]
        assert len(moved) == len(set(moved)) <= 4
        return moved


def place_of(group, kind):
    """The index that the next entry of this kind is offered under."""
    found = []
    group.faults.at(offers(kind), act=lambda m: found.extend(i for s in m.said for i, _, e in s.entries
                                                             if e.get("k") == kind))  # fmt: skip
    return lambda: found[0] if found else 0


def replaced(group, old, began):
    """Who leads now, and how long that took; two votes in a row may be split, no more."""
    new = group.leader(old)
    took = datetime.fromisoformat(group.told(new, "leads")[-1]["timestamp"]).timestamp() - began[0]
    assert took < 4.0
    return new, took


@pytest.mark.parametrize("count, steps", [(3, ("offered", "taken", "answered")), (5, ("taken",))])
def test_a_leader_killed_at_each_step_of_a_grant_grants_it_once(tmp_path, count, steps):
    with Faulted(tmp_path, count, lease="60s") as group:
        holder, times = Holder(group), []
        for step in steps:
            old, began = group.leader(), []

            def kill(_message, old=old, began=began):
                group.kill(old)
                began.append(time.time())

            if step == "offered":  # on its own disk at most
                done = group.faults.at(offers("ask", old), VANISHES, kill, times=count - 1)
            elif step == "taken":  # on a majority of disks, and known to nobody
                done = group.faults.at(takes(place_of(group, "ask"), "", old), VANISHES, kill)
            else:  # on its way to who asked
                done = group.faults.at(answers(asks("ask"), 200), VANISHES, kill)
            heard = holder.ask()
            assert done.is_set() and heard.done, heard
            times.append(replaced(group, old, began)[1])
            group.start(old)
        assert sorted(times)[len(times) // 2] < 2.0, "a new leader within two seconds"
        assert holder.granted() == [f"host/h{n}" for n in range(1, len(steps) + 1)]


@pytest.mark.parametrize("way", ["hears nobody", "heard by nobody"])
def test_a_leader_cut_off_one_way_gives_way_and_grants_nothing_twice(tmp_path, way):
    with Faulted(tmp_path, lease="60s") as group:
        holder, old = Holder(group), group.leader()
        others, began = [n for n in group.names if n != old], []

        def cut(_message):
            began.append(time.time())
            for other in others:
                group.faults.cut(*((other, old) if way == "hears nobody" else (old, other)))

        done = group.faults.at(offers("ask", old), act=cut)
        heard = holder.ask()
        assert done.is_set() and heard.done, heard
        replaced(group, old, began)
        assert group.here(old)["role"] != "leader"
        assert holder.ask().done
        group.faults.mend()
        until(lambda: len({group.here(n).get("leader") for n in group.names}) == 1)
        assert holder.ask().done and holder.granted() == ["host/h1", "host/h2", "host/h3"]


def test_a_leader_stopped_in_the_middle_of_a_grant_grants_nothing_old(tmp_path):
    with Faulted(tmp_path, lease="60s") as group:
        holder, old, began = Holder(group), group.leader(), []

        def stop(_message):
            group.signal(old, "SIGSTOP")
            began.append(time.time())

        done = group.faults.at(takes(place_of(group, "ask"), "", old), act=stop)
        heard = holder.ask()  # the word that it is on most disks lies there, unread
        assert done.is_set() and heard.done, heard
        new, _ = replaced(group, old, began)
        assert holder.ask().done
        group.signal(old, "SIGCONT")
        until(lambda: group.here(old).get("leader") == new and group.here(old)["role"] == "follower")
        assert holder.ask().done and holder.granted() == ["host/h1", "host/h2", "host/h3"]


@pytest.mark.parametrize("fates", [(TWICE, Fate(2, 0.05)), (SPOILT, TORN)], ids=["late and twice", "spoilt and torn"])
def test_what_peers_and_askers_say_may_come_late_twice_or_spoilt(tmp_path, fates):
    with Faulted(tmp_path, seed=3, lease="60s") as group:
        holder = Holder(group)
        for fate in fates:
            group.faults.some(lambda m: True, fate, 0.15)
        heard = [holder.ask() for _ in range(8)]
        assert all(group.faults.counts[fate] > 3 for fate in fates)
        group.faults.mend()
        heard.append(holder.ask())
        assert all(h.why in ("", "doubt", "refused") for h in heard), heard
        assert len(holder.granted()) == 4


def test_a_client_that_closed_its_half_is_answered_and_one_torn_asks_again(tmp_path):
    with Faulted(tmp_path, lease="60s") as group:
        holder = Holder(group)
        for fate in (HALF_CLOSED, TORN, TWICE):
            done = group.faults.at(asks("ask"), fate)
            heard = holder.ask()
            assert done.is_set() and heard.done, heard
        done = group.faults.at(answers(asks("ask"), 200), TORN)
        assert holder.ask().done and done.is_set()
        assert holder.granted() == ["host/h1", "host/h2", "host/h3", "host/h4"]


def test_a_leader_back_with_an_older_disk_counts_for_nothing(tmp_path):
    with Faulted(tmp_path, lease="60s") as group:
        holder, old = Holder(group), group.leader()
        group.kill(old)
        shutil.copytree(group.disk(old), tmp_path / "copy")
        group.leader(old)
        assert holder.ask().done
        group.start(old)
        until(lambda: group.here(old).get("index", 0) >= group.looker.look().told["index"] - 1)
        group.kill(old)
        shutil.rmtree(group.disk(old))
        shutil.move(tmp_path / "copy", group.disk(old))
        told = group.faults.at(says("gone_back", "", old))
        group.start(old)
        until(lambda: group.here(old).get("role") == "stranger")
        assert told.is_set() and group.told(old, "disk lost")
        assert holder.ask().done
        for name in group.names:
            group.kill(name)
        group.names.remove(old)
        assert holder.granted() == ["host/h1", "host/h2"]
