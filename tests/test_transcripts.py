"""Whole exchanges among processes, held against text that a person has read and approved: docs/fleet.md says how."""

import contextlib
import random
import shutil
from pathlib import Path

import gevent
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from ironfall.lab.between import VANISHES, takes
from ironfall.lab.relayed import Holder
from ironfall.lab.transcript import Transcript
from ironfall.membership_server.client import AggregatorUnavailableError, HeartbeatClient
from ironfall.terms import read_terms
from tests.keepers import Faulted, until
from tests.observed import Observed
from tests.test_fleet_faults import HOSTS

WORD = {
    "proxies": 4,
    "binding": 0,
    "waiting": 0,
    "bare": 0,
    "refused": 0,
    "fulfilled": 1_000_000,
    "near": 0,
    "leaving": False,
    "token": 0,
    "drained": {},
    "silent": [],
    "took": {},
    "version": "1",
}
TRIES = 3  # an election that nobody made is another exchange: it is played again


class Text(SingleFileSnapshotExtension):
    _write_mode = WriteMode.TEXT
    file_extension = "txt"

    @classmethod
    def dirname(cls, *, test_location):
        return str(Path(test_location.filepath).parent / "transcripts")

    @classmethod
    def matches_test_location(cls, *, test_location, snapshot_location):
        return Path(snapshot_location).stem == cls.get_snapshot_name(test_location=test_location)


class Exchange(Faulted):
    """Keepers are called A, who leads first, then B and C, the next leader first."""

    def __init__(self, folder):
        self.transcript = Transcript()
        super().__init__(folder, tell=self.transcript.heard, lease="60s")

    def begin(self):
        self.holder = self.relayed.holder(self.keepers, HOSTS)
        self.first = self.leader()
        self.logs.begin()
        self.others = [name for name in self.names if name != self.first]

    def settle(self, *names):
        until(lambda: self.transcript.settled(names or self.names))

    def text(self):
        return self.transcript.text([self.first, *self.others], self.logs.since())


def played(folder, play, terms_led, exchange=Exchange):
    for attempt in range(TRIES):
        with exchange(folder / str(attempt)) as it:
            it.begin()
            try:
                text = play(it)
            except AssertionError:
                if len(it.transcript.led) <= terms_led:
                    raise
            if len(it.transcript.led) == terms_led:
                return text
    raise AssertionError(f"no leader lasted in {TRIES} tries")


def killed_in_a_grant(it):
    told, has = it.transcript, set()
    taken = takes(it.relayed.placed("ask"), "", it.first)

    def last(message):
        """Both have it on their disks, and the leader is not to know."""
        if not taken(message):
            return False
        has.add(message.source)
        if len(has) == 2 and it.first not in told.down:
            it.kill(it.first)
            told.killed(it.first, "A is killed, as B and C say that they have it")
        return True

    it.faults.at(last, VANISHES, times=1 << 30)
    told.part("holder asks for h1")
    assert it.holder.ask().is_accepted
    new = it.leader(it.first)
    it.others.sort(key=lambda name: name != new)
    it.settle(*it.others)
    told.came(it.first, "A is started again")
    it.start(it.first)
    it.settle()
    until(lambda: it.here(it.first).get("leader") == new)
    return it.text()


def halted_as_work_drains(it):
    told, registry, operator = (
        it.transcript,
        it.client("registry", it.first),
        it.client("operator", it.first),
    )
    version = 1

    def do(client, kind, **about):
        heard = client.propose({"k": kind, **about}, 10.0)
        assert heard.is_accepted, heard
        return heard.body

    def marked(since, want):
        """The registry is told what changed since this entry, and lists the host so."""
        nonlocal version
        ((unit, wanted, token),) = registry.poll_drain_markers(since - 1, 10.0).body["marks"]
        assert wanted == want
        version += 1
        do(
            registry,
            "list",
            v=version,
            hosts={"h1": HOSTS["h1"] | {"ready": want == "ready", "token": token}},
        )

    told.part("holder asks for h1")
    token = it.holder.ask().body["index"]
    told.part("holder drains it")
    drained = do(it.holder.client, "drain", holder="s", inc=1, unit="host/h1", token=token)["index"]
    told.part("the registry marks it")
    marked(drained, "leaving")
    told.part("operator halts all")
    halted = do(operator, "halt", scope="all", by="operator", reason="a look")["index"]
    told.part("the registry takes the mark back")
    marked(halted, "ready")
    told.part("holder asks for h2")
    it.holder.ask()
    told.part("operator lifts the halt")
    do(operator, "lift", scope="all", by="operator")
    until(lambda: "host/h2" in it.looker.read_status().body["ledger"]["permits"])
    it.settle()
    return it.text()


def taken_in_as_a_stranger(it):
    told, operator = it.transcript, it.client("operator", it.first)
    lost, other = it.others[::-1]
    told.killed(lost, "C is killed, and its disk lost", True)
    it.kill(lost)
    shutil.rmtree(it.disk(lost))
    told.part("holder asks for h1")
    assert it.holder.ask().is_accepted
    it.settle(it.first, other)
    told.came(lost, "C is started with a blank disk")
    it.start(lost)
    until(lambda: it.told(lost, "member of no group") and it.here(lost).get("role") == "stranger")
    told.part("holder asks for h2")
    assert it.holder.ask().is_accepted
    told.came(lost, "operator takes C in")
    assert operator.replace_member(lost).is_accepted
    until(lambda: it.here(lost).get("identity") in it.voters())
    # The leader goes by members that it has only written down: what it offers of them must have been heard here too.
    until(
        lambda: all(it.here(lost)["identity"] in it.here(name)["members"][0] for name in it.names)
    )
    it.settle()
    told.killed(other, "B is killed")
    it.kill(other)
    told.part("holder asks for h3")
    assert it.holder.ask().is_accepted
    it.settle(it.first, lost)
    return it.text()


class Zone(Exchange, Observed):
    """One zone with observers, and a member process there: a director and a host."""

    def __init__(self, folder):
        self.transcript, self.loops = Transcript(), []
        Observed.__init__(self, folder, tell=self.transcript.heard, lease="8s", names=("o3", "o4"))

    def begin(self):
        west = {f"h{n}": HOSTS["h1"] | {"zone": "west"} for n in range(1, 16)}
        self.holder = self.relayed.holder(self.keepers, HOSTS | west)
        self.first = self.leader()
        self.logs.begin()
        self.others = [name for name in self.names if name != self.first]
        terms = read_terms("d2", self.terms_of("d2").read_text())
        beats, units = (
            HeartbeatClient("west", terms.fleet.observers, terms.fleet.lease, random.Random(1)),
            {"director/d2": (1, WORD), "host/h1": (1, {"up": True, "token": 0})},
        )

        holds = Holder(self.client("holds"), "s", 1, 0)  # it keeps the lease of what asks

        def hold():
            while True:
                holds.do("hold", 2.0)
                gevent.sleep(2.0)

        def run():
            while True:
                gevent.sleep(beats.seconds_until_due())
                with contextlib.suppress(AggregatorUnavailableError):
                    beats.send_heartbeats(units)

        self.transcript.part("a director and a host come up in the west")
        self.loops = [gevent.spawn(run), gevent.spawn(hold)]

    def __exit__(self, *about):
        gevent.killall(self.loops)
        super().__exit__(*about)


def a_zone_lost_and_back(it):
    told, operator = it.transcript, it.client("operator", it.first)
    until(lambda: "d2" in it.ledger()["directors"])
    it.settle()
    told.part("both observers of the west are killed")
    for name in it.zones:
        it.kill(name)
    until(lambda: it.zone("west")[2])
    told.part("holder asks for h1")
    assert it.holder.ask().is_accepted
    told.part("operator halts the west, and lifts it")
    for kind, about in (("halt", {"reason": "a look"}), ("lift", {})):
        assert operator.propose(
            {"k": kind, "scope": "zone west", "by": "operator", **about}, 10.0
        ).is_accepted
    it.settle()
    assert it.ledger()["directors"]["d2"][0], "nobody there is taken for gone"
    told.part("one of them is started again")
    it.watch("o4")
    until(lambda: not it.zone("west")[2], 40)
    until(lambda: "host/h1" in it.ledger()["permits"])
    it.settle()
    return it.text()


def test_a_leader_killed_in_the_middle_of_a_grant(tmp_path, snapshot):
    assert played(tmp_path, killed_in_a_grant, 2) == snapshot(extension_class=Text)


def test_a_halt_as_work_drains_taken_back_and_lifted(tmp_path, snapshot):
    assert played(tmp_path, halted_as_work_drains, 1) == snapshot(extension_class=Text)


def test_a_keeper_with_a_lost_disk_is_a_stranger_until_it_is_taken_in(tmp_path, snapshot):
    assert played(tmp_path, taken_in_as_a_stranger, 1) == snapshot(extension_class=Text)


def test_a_zone_lost_with_its_observers_and_back(tmp_path, snapshot):
    assert played(tmp_path, a_zone_lost_and_back, 1, Zone) == snapshot(extension_class=Text)
