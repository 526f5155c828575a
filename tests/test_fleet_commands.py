"""The commands of `ironfall fleet` as operators run them: their output and exit codes on running coordinators."""

import contextlib
import json
import random
import re
import sys

import gevent
import gevent.subprocess

from ironfall.membership_server.client import AggregatorUnavailableError, HeartbeatClient
from tests.keepers import ROOT, Faulted, Group, until
from tests.observed import Observed

COMMAND_TIMEOUT_S = 60
IDENTITY = r"k\d/[0-9a-f]{8}"
MEMBERS = rf"{IDENTITY}, {IDENTITY}, {IDENTITY}"


def ironfall(*words):
    """Runs the program; the event loop goes on, for relays of this process."""
    command = [sys.executable, "-m", "ironfall", *map(str, words)]
    return gevent.subprocess.run(
        command, capture_output=True, text=True, cwd=ROOT, timeout=COMMAND_TIMEOUT_S
    )


def matches(text, *patterns):
    """Asserts that a text has these lines and no others."""
    lines = text.splitlines()
    assert len(lines) == len(patterns), text
    for line, pattern in zip(lines, patterns, strict=True):
        assert re.fullmatch(pattern, line), (line, pattern)


class HalfObserved(Observed):
    """Coordinators whose aggregators run in zone east alone."""

    def __enter__(self):
        Faulted.__enter__(self)
        for name, zone in self.zones.items():
            if zone == "east":
                self.watch(name)
        until(lambda: self.observer("o1") and self.observer("o2"))
        return self


@contextlib.contextmanager
def busy_fleet(folder):
    """20 hosts, of which h9 falls silent; a permit, a request that waits, and a halt."""
    with HalfObserved(folder) as group:
        asker = group.asker("works")
        zones = {f"h{n}": "east" if n < 10 else "west" for n in range(20)}
        hosts = {
            name: {"zone": zone, "kind": "m", "strength": 4, "classes": 3, "ready": True}
            for name, zone in zones.items()
        }
        assert asker.ask({"k": "list", "v": 1, "hosts": hosts}).done
        client = HeartbeatClient(
            "east", group.terms.fleet.observers, group.terms.fleet.lease, random.Random(1)
        )

        def beat(silent=""):
            units = {
                f"host/{name}": (1, {"up": True, "token": 0})
                for name, zone in zones.items()
                if zone == "east" and name != silent
            }
            with contextlib.suppress(AggregatorUnavailableError):  # the next one is heard
                client.send_heartbeats(units)

        def renew():
            while True:
                beat(silent="h9")
                asker.ask({"k": "hold", "holder": "works", "inc": 1})
                gevent.sleep(client.seconds_until_due())

        def total(figure):
            shown = group.standing().get("observed", {}).get("observers", {})
            return sum(one[figure] for one in shown.values())

        until(lambda: beat() or (group.knows("o1", "o2") and total("members") == 10))
        renewing = gevent.spawn(renew)
        try:
            request = {"k": "ask", "holder": "works", "inc": 1, "length": 600_000}
            until(lambda: asker.ask({"k": "hold", "holder": "works", "inc": 1}).done)
            assert asker.ask({**request, "n": 1, "units": ["host/h1"]}).done
            assert asker.ask({**request, "n": 2, "units": ["host/h2", "host/h3"]}).done
            halt = {"k": "halt", "scope": "zone west", "by": "ann", "reason": "power work"}
            assert asker.ask(halt).done
            until(lambda: group.standing()["observed"]["unknown"] == ["west"], 40)
            until(lambda: total("gone") == 1, 40)
            yield group
        finally:
            renewing.kill()
            client.close()


def test_look_shows_all_that_stands(tmp_path):
    with busy_fleet(tmp_path) as group:
        leader = group.leader()
        shown = ironfall("fleet", "look", group.file)
        plain = ironfall("fleet", "look", group.file, "--json")
    assert (shown.returncode, shown.stderr) == (0, "")
    told = json.loads(plain.stdout)
    token = told["ledger"]["permits"]["host/h1"]["token"]
    # An aggregator of the zone hears all of its members, or none: each member chooses one.
    heard = r"heard \d+\.\d s ago: (10 members, 1|0 members, 0) of them gone"
    matches(
        shown.stdout,
        rf"{leader} leads reign {told['reign']}, entry \d+; members: {MEMBERS}",
        "unknown  zone west: none of its observers is heard; "
        "nothing there begins, and no host goes out",
        rf"observer o1 of east, {heard}",
        rf"observer o2 of east, {heard}",
        "observer o3 of west, not heard in this reign: 0 members, 0 of them gone",
        "observer o4 of west, not heard in this reign: 0 members, 0 of them gone",
        "halt     zone west by ann: power work",
        f"permit   host/h1 granted, held by works, token {token}",
        "waits    works/1/2: host/h2, host/h3; short: fleet, zone east",
        "out      fleet: 1 of 20, 0 of them unplanned; at most 2",
        "out      zone east: 1 of 10, 0 of them unplanned; at most 2",
        r"out      kind m: 1 of 20, 0 of them unplanned; at most \d+",
    )
    assert "10 members, 1 of them gone" in shown.stdout

    # The names are those of the wire, for whoever reads the JSON.
    assert (plain.returncode, plain.stderr) == (0, "")
    assert set(told) == {"index", "reign", "leader", "members", "ledger", "observed"}
    voters, learners = told["members"]
    assert told["leader"] == leader and learners == []
    assert all(re.fullmatch(IDENTITY, voter) for voter in voters) and len(voters) == 3
    assert 0 < told["ledger"]["index"] <= told["index"] and told["reign"] > 0
    assert set(told["ledger"]) == {
        *("now", "index", "permits", "asks", "halts", "directors", "scopes", "zones")
    }
    halt = told["ledger"]["halts"]["zone west"]
    assert (halt["by"], halt["reason"], halt["own"]) == ("ann", "power work", False)
    permit = told["ledger"]["permits"]["host/h1"]
    assert (permit["state"], permit["holder"], permit["ask"]) == ("granted", "works", "works/1/1")
    waits = told["ledger"]["asks"]["works/1/2"]
    assert waits["units"] == ["host/h2", "host/h3"] and waits["short"] == ["fleet", "zone east"]
    assert told["ledger"]["scopes"]["fleet"] == [20, 1, 0, 2]
    assert told["observed"]["unknown"] == ["west"]
    observers = told["observed"]["observers"]
    assert sorted(observers) == ["o1", "o2", "o3", "o4"]
    assert all(
        set(one) == {"zone", "heard", "members", "gone", "whole"} for one in observers.values()
    )
    assert observers["o1"]["heard"] >= 0 and observers["o3"]["heard"] == -1


def test_look_without_a_majority_shows_what_each_says_of_itself(tmp_path):
    with Group(tmp_path) as group:
        alone = group.leader()
        reign, index = (group.here(alone)[key] for key in ("reign", "index"))
        for name in group.names:
            if name != alone:
                group.kill(name)
        shown = ironfall("fleet", "look", group.file)
        assert shown.returncode == 3
        assert re.fullmatch(r"no majority answers: k\d: .+\n", shown.stderr), shown.stderr
        status = re.search(rf"^{alone}: (.+), reign (\d+), entry (\d+)$", shown.stdout, re.M)
        assert status, shown.stdout
        assert status[1] in ("leader", "follower", "asking", "candidate")
        assert int(status[2]) >= reign and int(status[3]) >= index
        patterns = {name: rf"{name}: .*Connection refused" for name in group.names}
        matches(shown.stdout, *(patterns | {alone: ".+"}).values())


def test_look_shows_a_coordinator_that_waits_to_be_added(tmp_path):
    group = Group(tmp_path, 1)
    try:
        group.start("k1")
        until(lambda: group.here("k1").get("role") == "stranger")
        shown = ironfall("fleet", "look", group.file)
    finally:
        group.__exit__()
    assert (shown.returncode, shown.stdout) == (3, "k1: stranger, reign 0, entry 0\n")
