"""`ironfall fleet`, `keeper` and `observer` as operators run them: output and exit codes, on running coordinators."""

import contextlib
import json
import random
import re
import shutil
import sys

import gevent
import pytest
import structlog
from gevent import subprocess

from ironfall.coordinator.client import CoordinatorClient
from ironfall.coordinator.clock import SystemClock
from ironfall.coordinator.program import CoordinatorOptions, Program
from ironfall.lab.release_hands import LocalHands
from ironfall.membership_server.client import AggregatorUnavailableError, HeartbeatClient
from ironfall.terms import read_terms
from tests.disks import Disk
from tests.keepers import ROOT, Faulted, Group, until
from tests.observed import Observed

COMMAND_TIMEOUT_S = 60
IDENTITY = r"k\d/[0-9a-f]{8}"
MEMBERS = rf"{IDENTITY}, {IDENTITY}, {IDENTITY}"


def run_to_end(command):
    """Runs a command to its end; meanwhile this process serves its relays."""
    return subprocess.run(
        command, capture_output=True, text=True, cwd=ROOT, timeout=COMMAND_TIMEOUT_S
    )


def ironfall(*arguments):
    """Runs the program; meanwhile this process serves its relays."""
    command = [sys.executable, "-m", "ironfall", *map(str, arguments)]
    return run_to_end(command)


def check_lines(text, *patterns):
    """Asserts that a text consists of lines that match these patterns."""
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
def fleet_with_every_state(folder):
    """A fleet of 20 hosts; h9 sends no heartbeats; with a permit, a waiting request and a halt."""
    with HalfObserved(folder) as group:
        asker = group.asker("works")
        zones = {f"h{n}": "east" if n < 10 else "west" for n in range(20)}
        hosts = {
            name: {"zone": zone, "kind": "m", "strength": 4, "classes": 3, "ready": True}
            for name, zone in zones.items()
        }
        assert asker.propose({"k": "list", "v": 1, "hosts": hosts}).is_accepted
        client = HeartbeatClient(
            "east", group.terms.fleet.observers, group.terms.fleet.lease, random.Random(1)
        )

        def send_heartbeats(silent=""):
            units = {
                f"host/{name}": (1, {"up": True, "token": 0})
                for name, zone in zones.items()
                if zone == "east" and name != silent
            }
            with contextlib.suppress(AggregatorUnavailableError):  # the next ones succeed
                client.send_heartbeats(units)

        def renew():
            while True:
                send_heartbeats(silent="h9")
                asker.propose({"k": "hold", "holder": "works", "inc": 1})
                gevent.sleep(client.seconds_until_due())

        def total(figure):
            shown = group.standing().get("observed", {}).get("observers", {})
            return sum(one[figure] for one in shown.values())

        until(lambda: send_heartbeats() or (group.knows("o1", "o2") and total("members") == 10))
        renewing = gevent.spawn(renew)
        try:
            request = {"k": "ask", "holder": "works", "inc": 1, "length": 600_000}
            until(lambda: asker.propose({"k": "hold", "holder": "works", "inc": 1}).is_accepted)
            assert asker.propose({**request, "n": 1, "units": ["host/h1"]}).is_accepted
            assert asker.propose({**request, "n": 2, "units": ["host/h2", "host/h3"]}).is_accepted
            halt = {"k": "halt", "scope": "zone west", "by": "ann", "reason": "power work"}
            assert asker.propose(halt).is_accepted
            until(lambda: group.standing()["observed"]["unknown"] == ["west"], 40)
            until(lambda: total("gone") == 1, 40)
            yield group
        finally:
            renewing.kill()
            client.close()


def test_look_shows_the_whole_state(tmp_path):
    with fleet_with_every_state(tmp_path) as group:
        leader = group.leader()
        shown = ironfall("fleet", "look", group.file)
        plain = ironfall("fleet", "look", group.file, "--json")
    assert (shown.returncode, shown.stderr) == (0, "")
    answer = json.loads(plain.stdout)
    token = answer["ledger"]["permits"]["host/h1"]["token"]
    # All members send to the same aggregator of their zone, so it has all or none.
    heard = r"heard \d+\.\d s ago: (10 members, 1|0 members, 0) of them gone"
    check_lines(
        shown.stdout,
        rf"{leader} leads reign {answer['reign']}, entry \d+; members: {MEMBERS}",
        "unknown  zone west: no reports from its observers; "
        "no disruption is permitted there and no host is withdrawn",
        rf"observer o1 of east, {heard}",
        rf"observer o2 of east, {heard}",
        "observer o3 of west, not heard in this reign: 0 members, 0 of them gone",
        "observer o4 of west, not heard in this reign: 0 members, 0 of them gone",
        "halt     zone west by ann: power work",
        f"permit   host/h1 granted, held by works, token {token}",
        "waits    works/1/2: host/h2, host/h3; limited by: fleet, zone east",
        "out      fleet: 1 of 20, 0 of them unplanned; at most 2",
        "out      zone east: 1 of 10, 0 of them unplanned; at most 2",
        r"out      kind m: 1 of 20, 0 of them unplanned; at most \d+",
    )
    assert "10 members, 1 of them gone" in shown.stdout

    # Programs read the JSON, so its names stay.
    assert (plain.returncode, plain.stderr) == (0, "")
    assert set(answer) == {"index", "reign", "leader", "members", "ledger", "observed"}
    voters, learners = answer["members"]
    assert answer["leader"] == leader and learners == []
    assert all(re.fullmatch(IDENTITY, voter) for voter in voters) and len(voters) == 3
    assert 0 < answer["ledger"]["index"] <= answer["index"] and answer["reign"] > 0
    assert set(answer["ledger"]) == {
        *("now", "index", "permits", "asks", "halts", "directors", "scopes", "zones")
    }
    halt = answer["ledger"]["halts"]["zone west"]
    assert (halt["by"], halt["reason"], halt["own"]) == ("ann", "power work", False)
    permit = answer["ledger"]["permits"]["host/h1"]
    assert (permit["state"], permit["holder"], permit["ask"]) == ("granted", "works", "works/1/1")
    waits = answer["ledger"]["asks"]["works/1/2"]
    assert waits["units"] == ["host/h2", "host/h3"] and waits["short"] == ["fleet", "zone east"]
    assert answer["ledger"]["scopes"]["fleet"] == [20, 1, 0, 2]
    assert answer["observed"]["unknown"] == ["west"]
    observers = answer["observed"]["observers"]
    assert sorted(observers) == ["o1", "o2", "o3", "o4"]
    assert all(
        set(one) == {"zone", "heard", "members", "gone", "whole"} for one in observers.values()
    )
    assert observers["o1"]["heard"] >= 0 and observers["o3"]["heard"] == -1


def test_look_without_a_majority_shows_the_status_of_each_coordinator(tmp_path):
    with Group(tmp_path) as group:
        survivor = group.leader()
        reign, index = (group.here(survivor)[key] for key in ("reign", "index"))
        for name in group.names:
            if name != survivor:
                group.kill(name)
        shown = ironfall("fleet", "look", group.file)
        assert shown.returncode == 3
        assert re.fullmatch(r"no majority of the keepers answers: k\d: .+\n", shown.stderr), (
            shown.stderr
        )
        status = re.search(rf"^{survivor}: (.+), reign (\d+), entry (\d+)$", shown.stdout, re.M)
        assert status, shown.stdout
        assert status[1] in ("leader", "follower", "asking", "candidate")
        assert int(status[2]) >= reign and int(status[3]) >= index
        patterns = {name: rf"{name}: .*Connection refused" for name in group.names}
        check_lines(shown.stdout, *(patterns | {survivor: ".+"}).values())


def test_look_shows_a_coordinator_that_waits_to_be_added(tmp_path):
    group = Group(tmp_path, 1)
    try:
        group.start("k1")
        until(lambda: group.here("k1").get("role") == "stranger")
        shown = ironfall("fleet", "look", group.file)
    finally:
        group.__exit__()
    assert (shown.returncode, shown.stdout) == (3, "k1: stranger, reign 0, entry 0\n")


def test_look_shows_why_a_coordinator_must_not_lead(tmp_path):
    group, behind_s = Group(tmp_path, 1), [0.0]
    clock = SystemClock(wall=lambda: 1.7e9 - behind_s[0])
    options = CoordinatorOptions(may_found_group=True, seed=1, clock=clock)
    terms = read_terms(str(group.file), group.file.read_text())
    program = Program(terms, "k1", Disk(), structlog.get_logger(), options)
    program.start()
    try:
        until(lambda: group.looker.read_status(0.5).body.get("ledger", {}).get("now"))
        behind_s[0] = 30.0
        until(lambda: group.here("k1").get("off"))
        shown = ironfall("fleet", "look", group.file)
    finally:
        program.stop()
        group.__exit__()
    assert shown.returncode == 3
    check_lines(
        shown.stdout, r"k1: follower, reign \d+, entry \d+; its clock is 30\.0s behind the log"
    )


@pytest.fixture
def single_coordinator(tmp_path):
    """A group of one coordinator."""
    with Group(tmp_path, 1) as group:
        yield group


def check_fails(done, code, *parts):
    """Asserts that a command failed with this code, an error and no output."""
    assert (done.returncode, done.stdout) == (code, ""), done
    assert all(part in done.stderr for part in parts) and "Traceback" not in done.stderr, done


# ask, halt, lift


def test_ask_shows_the_entry_and_its_answer(single_coordinator):
    done = ironfall(
        "fleet", "ask", single_coordinator.file, '{"k": "hold", "holder": "works", "inc": 1}'
    )
    assert (done.returncode, done.stderr) == (0, "")
    check_lines(done.stdout, r'entry \d+: \{"ok": \{"until": \d+\}\}')
    holder = single_coordinator.asker("works")
    assert holder.propose({"k": "hold", "holder": "works", "inc": 1}).is_accepted, (
        "the entry took effect"
    )


def test_ask_says_why_an_entry_was_refused(single_coordinator):
    def ask(entry):
        return ironfall("fleet", "ask", single_coordinator.file, entry)

    check_fails(ask('{"k": "dance"}'), 1, "refused: unknown kind of entry; expected one of: ")
    check_fails(ask('{"k": "lift"}'), 1, "refused: scope is missing")
    check_fails(ask("{}"), 1, "refused: k1: entry: expected an object with its kind as k")
    check_fails(ask("{"), 2, "Invalid value for ENTRY: invalid JSON: ")
    check_fails(ask("[]"), 2, "Invalid value for ENTRY: expected a JSON object")


def test_halt_and_lift_change_the_ledger_and_report_it(single_coordinator):
    arguments = ("fleet", "halt", single_coordinator.file, "zone east", "--reason", "power work")
    done = ironfall(*arguments, "--by", "ann")
    assert (done.returncode, done.stderr) == (0, "")
    check_lines(
        done.stdout,
        r"entry \d+: zone east is halted; holders cut off from the keepers stop within a lease",
    )
    halts = single_coordinator.looker.read_status().body["ledger"]["halts"]
    assert {scope: (halt["by"], halt["reason"]) for scope, halt in halts.items()} == {
        "zone east": ("ann", "power work")
    }

    done = ironfall("fleet", "lift", single_coordinator.file, "zone east", "--by", "ben")
    assert (done.returncode, done.stderr) == (0, "")
    check_lines(done.stdout, r"entry \d+: zone east is no longer halted")
    assert not single_coordinator.looker.read_status().body["ledger"]["halts"]


def test_halt_and_lift_of_an_invalid_scope_are_refused(single_coordinator):
    halt = ironfall("fleet", "halt", single_coordinator.file, "shed 7", "--reason", "smoke")
    check_fails(halt, 1, "refused: scope must be all, zone NAME, tenant NAME or release NAME")
    lift = ironfall("fleet", "lift", single_coordinator.file, "shed 7")
    check_fails(lift, 1, "refused: scope must be all, zone NAME, tenant NAME or release NAME")


# replace

SEEDED = """
import random
from ironfall.cli import main
Random = random.Random
random.Random = lambda *seed: Random(*(seed or ({seed},)))
main()
"""


def seeded(seed, *arguments):
    """Runs a command with a seed for its random choices."""
    command = [sys.executable, "-c", SEEDED.format(seed=seed), *map(str, arguments)]
    return run_to_end(command)


def first_asked(name):
    """Returns a seed with which a client of three coordinators tries this one first."""

    def first(seed):
        addresses = [(f"k{n}", ("127.0.0.1", 1)) for n in (1, 2, 3)]
        return CoordinatorClient(addresses, "operator", random.Random(seed)).order[0]

    return next(seed for seed in range(100) if first(seed) == name)


def test_replace_adds_a_coordinator_that_lost_its_disk(tmp_path):
    with Group(tmp_path) as group:
        leader = group.leader()
        lost = next(name for name in group.names if name != leader)
        former = next(voter for voter in group.voters() if voter.startswith(lost))
        group.kill(lost)
        shutil.rmtree(group.disk(lost))
        group.start(lost)
        until(lambda: group.here(lost).get("role") == "stranger")

        other = next(name for name in group.names if name not in (leader, lost))
        done = seeded(first_asked(other), "fleet", "replace", group.file, lost)
        assert (done.returncode, done.stderr) == (0, "")
        check_lines(done.stdout, rf"{lost}/[0-9a-f]{{8}} is a member; replaced: {former}")
        until(lambda: group.here(lost).get("identity") in group.voters())
        again = seeded(first_asked(leader), "fleet", "replace", group.file, lost)
        assert (again.returncode, again.stderr) == (0, "")
        check_lines(again.stdout, rf"{group.here(lost)['identity']} is a member; replaced: none")


def test_replace_refuses_the_leader_and_an_unknown_name(single_coordinator):
    leader = ironfall("fleet", "replace", single_coordinator.file, "k1")
    check_fails(leader, 1, "refused: k1: replace: expected another keeper of k1")
    unknown = ironfall("fleet", "replace", single_coordinator.file, "k9")
    check_fails(unknown, 2, "Invalid value for KEEPER: expected one of: k1")


# release

# Appends an order to a file, or prints what `follow_orders` wrote about a director's processes.
SITE_COMMAND = """
import pathlib, sys
folder, *words = sys.argv[1:]
if words[0] == "runs":
    print((pathlib.Path(folder) / words[1]).read_text())
else:
    with open(pathlib.Path(folder) / "orders", "a") as orders:
        orders.write(" ".join(words) + chr(10))
"""
# The command with a plan whose waves are judged after a second.
SHORT_RELEASE = """
import functools, ironfall.rollout
from ironfall.cli import main
ironfall.rollout.RolloutPlan = functools.partial(
    ironfall.rollout.RolloutPlan, settle_time=0, min_analysis_time=0, analysis_timeout=10_000
)
main()
"""


def follow_orders(site, directors):
    """Executes the site's orders and writes down the running versions."""
    done = 0
    while True:
        for name in directors.zones:
            # By a rename, so that the command does not read a partial file.
            (site / "next").write_text(" ".join(directors.running_versions(name)))
            (site / "next").replace(site / name)
        lines = (site / "orders").read_text().splitlines()
        for order, name, what, token in map(str.split, lines[done:]):
            if order == "tell":
                directors.set_leaving(name, what == "leaving", int(token))
            else:
                directors.install_version(name, what, int(token))
        done = len(lines)
        gevent.sleep(0.02)


@contextlib.contextmanager
def directors_of_version_1(folder):
    """One coordinator and three directors; yields the group and the site's folder."""
    site = folder / "site"
    site.mkdir()
    (site / "orders").write_text("")
    (folder / "site.py").write_text(SITE_COMMAND)
    with Group(folder, 1) as group, open(folder / "directors.log", "w") as log:
        zones = {"d1": "east", "d2": "east", "d3": "west"}
        directors = LocalHands(group.file, zones, random.Random(1), log)
        following = None
        try:
            for name in zones:
                directors.start(name, "1")
            following = gevent.spawn(follow_orders, site, directors)
            until(lambda: versions(group) == {"d1": "1", "d2": "1", "d3": "1"})
            yield group, site
        finally:
            if following is not None:
                following.kill()
            directors.close()


@contextlib.contextmanager
def release(group, site, former, wanted, program=("-m", "ironfall")):
    """Runs the command; yields its process and its log."""
    log = group.folder / "release.log"
    arguments = ("fleet", "release", group.file, "r2", "--former", former, "--wanted", wanted)
    hands = f"{sys.executable} {group.folder / 'site.py'} {site}"
    process = run_until((*arguments, "--hands", hands), log, "release", program)
    try:
        yield process, log
    finally:
        process.kill()
        process.wait()


def versions(group):
    """The versions that live directors report."""
    directors = group.looker.read_status(1.0).body.get("ledger", {}).get("directors", {})
    return {name: row[2] for name, row in directors.items() if row[0]}


def test_release_changes_a_director_and_exits_with_1_once_all_are_rolled_back(tmp_path):
    with (
        directors_of_version_1(tmp_path) as (group, site),
        release(group, site, "1", "2") as (process, log),
    ):
        row = events(log)["release"]
        assert (row["release"], row["state"], row["why"]) == ("r2", "going on", "0 of 3 changed")
        until(lambda: sorted(versions(group).values()) == ["1", "1", "2"], 40)
        changed = next(name for name, version in versions(group).items() if version == "2")
        orders = (site / "orders").read_text().splitlines()
        assert re.fullmatch(rf"tell {changed} leaving \d+", orders[0]), orders
        assert any(re.fullmatch(rf"renew {changed} 2 \d+", order) for order in orders), orders
        assert process.poll() is None, "the rollout must wait: one director is too few to compare"

        halt = ("fleet", "halt", group.file, "release r2", "--by", "ann", "--reason")
        assert ironfall(*halt, "back: enough").returncode == 0
        until(lambda: process.poll() is not None, 40)
        assert process.returncode == 1
        row = events(log)["release"]
        assert (row["state"], row["why"]) == ("back: all are", "back: enough")
        until(lambda: versions(group) == {"d1": "1", "d2": "1", "d3": "1"})


def test_release_without_a_verdict_is_held_and_exits_with_0_once_the_hold_is_lifted(tmp_path):
    with (
        directors_of_version_1(tmp_path) as (group, site),
        release(group, site, "0", "1", ("-c", SHORT_RELEASE)) as (process, log),
    ):
        until(lambda: events(log)["release"]["state"] == "halted", 40)
        shown = ironfall("fleet", "look", group.file).stdout
        assert re.search(r"^halt     release r2 by release r2: held: wave \d+: ", shown, re.M)
        assert ironfall("fleet", "lift", group.file, "release r2").returncode == 0
        until(lambda: process.poll() is not None, 40)
        assert process.returncode == 0
        assert events(log)["release"]["state"] == "done"
        assert events(log)["wave confirmed"]["why"] == "an operator's word"
        assert (site / "orders").read_text() == "", "all directors had the version before"


def test_release_waits_while_it_is_halted(tmp_path):
    with directors_of_version_1(tmp_path) as (group, site):
        halt = ("fleet", "halt", group.file, "release r2", "--by", "ann", "--reason", "a look")
        assert ironfall(*halt).returncode == 0
        with release(group, site, "1", "2") as (process, log):
            row = events(log)["release"]
            assert (row["state"], row["why"]) == ("halted", "ann: a look")
            assert process.poll() is None and (site / "orders").read_text() == ""


# Errors of all commands

COMMANDS = {
    "look": ("FILE",),
    "ask": ("FILE", '{"k": "tick"}'),
    "halt": ("FILE", "all", "--reason", "smoke"),
    "lift": ("FILE", "all"),
    "replace": ("FILE", "k1"),
    "release": ("FILE", "r2", "--former", "1", "--wanted", "2", "--hands", "true"),
}


def run_command(name, file):
    return ironfall("fleet", name, *(file if word == "FILE" else word for word in COMMANDS[name]))


@pytest.mark.parametrize("name", COMMANDS)
def test_settings_without_coordinators_are_a_usage_error(name):
    done = run_command(name, ROOT / "deploy" / "terms" / "resale.sexp")
    check_fails(done, 2, "Invalid value for FILE: these settings have no (fleet ...) with keepers")


def test_unreadable_settings_are_a_usage_error(tmp_path):
    (tmp_path / "wrong.sexp").write_text('(service "x"')
    for name in COMMANDS:
        check_fails(run_command(name, tmp_path / "wrong.sexp"), 2, "wrong.sexp:1:")


def test_commands_exit_with_3_where_nobody_answers(tmp_path):
    group = Group(tmp_path, 1)  # none of them is started
    waiting = {
        name: gevent.spawn(run_command, name, group.file)
        for name in ("ask", "halt", "lift", "replace")
    }
    for waits in waiting.values():
        check_fails(waits.get(), 3, "silent: k1: ", "Connection refused")


# keeper and observer


def run_until(process_words, log_path, event, program=("-m", "ironfall")):
    """Starts the program and waits for a log event of it; returns its process."""
    command = [sys.executable, *program, "--log", "json", *map(str, process_words)]
    with open(log_path, "w") as log:
        process = subprocess.Popen(command, stderr=log, cwd=ROOT)
    until(lambda: process.poll() is not None or event in events(log_path))
    return process


def events(log_path):
    """Returns the last event of each name in a log; skips an incomplete last line."""
    lines = log_path.read_text().splitlines(keepends=True)
    rows = [json.loads(line) for line in lines if line.endswith("\n")]
    return {row["event"]: row for row in rows}


def check_runs_once(arguments, log_path, identity, second_words=()):
    """Asserts that a program logs its start and stop, and that a second one can't start.

    The second has the same address, and `second_words` in place of the last of `arguments`.
    """
    process = run_until(arguments, log_path, "listening")
    try:
        listening = events(log_path)["listening"]
        assert identity.items() <= listening.items() and listening["level"] == "info"
        second = ironfall(*arguments[: len(arguments) - len(second_words)], *second_words)
        check_fails(second, 1, "can't start: ", "Address already in use")
        process.terminate()
        assert process.wait(timeout=10) == 0
        assert identity.items() <= events(log_path)["stopped"].items()
    finally:
        process.kill()
        process.wait()


def test_keeper_runs_until_it_is_stopped(tmp_path):
    group = Group(tmp_path, 1)
    port = dict(group.keepers)["k1"][1]
    arguments = ("keeper", group.file, "--name", "k1", "--found", "--disk", tmp_path / "disk")
    check_runs_once(arguments, tmp_path / "log", {"keeper": "k1"}, (tmp_path / "second",))
    assert events(tmp_path / "log")["listening"]["port"] == port
    assert {"node started", "group created"} <= set(events(tmp_path / "log"))

    holding = run_until(arguments, tmp_path / "log", "became leader")
    try:
        check_fails(ironfall(*arguments), 1, "can't start: ", "is in use by another process")
    finally:
        holding.kill()
        holding.wait()
    check_fails(
        ironfall("keeper", group.file, "--name", "k9", "--disk", tmp_path / "other"),
        2,
        "Invalid value for --name: no keeper 'k9' in these settings; expected one of: k1",
    )
    assert not (tmp_path / "other").exists()


def test_observer_runs_until_it_is_stopped(tmp_path):
    group = Observed(tmp_path)
    try:
        port = dict(group.observers)["o3"][1]
        arguments = ("observer", group.file, "--name", "o3")
        check_runs_once(arguments, tmp_path / "log", {"observer": "o3"})
        listening = events(tmp_path / "log")["listening"]
        assert (listening["port"], listening["zone"]) == (port, "west")
        check_fails(
            ironfall("observer", group.file, "--name", "k1"),
            2,
            "Invalid value for --name: no observer 'k1' in these settings; "
            "expected one of: o1, o2, o3, o4",
        )
    finally:
        group.__exit__()
