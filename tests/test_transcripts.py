"""Whole exchanges among processes, held against text that a person has read and approved: docs/fleet.md says how."""

import shutil
from pathlib import Path

from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from ironfall.lab.between import VANISHES, takes
from ironfall.lab.transcript import Transcript
from tests.keepers import Faulted, until
from tests.test_fleet_faults import HOSTS

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


def played(folder, play, reigns):
    for attempt in range(TRIES):
        with Exchange(folder / str(attempt)) as it:
            it.begin()
            try:
                text = play(it)
            except AssertionError:
                if len(it.transcript.led) <= reigns:
                    raise
            if len(it.transcript.led) == reigns:
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
    assert it.holder.ask().done
    new = it.leader(it.first)
    it.others.sort(key=lambda name: name != new)
    it.settle(*it.others)
    told.came(it.first, "A is started again")
    it.start(it.first)
    it.settle()
    until(lambda: it.here(it.first).get("leader") == new)
    return it.text()


def halted_as_work_drains(it):
    told, registry, operator = it.transcript, it.client("registry", it.first), it.client("operator", it.first)
    version = 1

    def do(client, kind, **about):
        heard = client.ask({"k": kind, **about}, 10.0)
        assert heard.done, heard
        return heard.told

    def marked(since, want):
        """The registry is told what changed since this entry, and lists the host so."""
        nonlocal version
        ((unit, wanted, token),) = registry.marks(since - 1, 10.0).told["marks"]
        assert wanted == want
        version += 1
        do(registry, "list", v=version, hosts={"h1": HOSTS["h1"] | {"ready": want == "ready", "token": token}})

    told.part("holder asks for h1")
    token = it.holder.ask().told["index"]
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
    until(lambda: "host/h2" in it.looker.look().told["ledger"]["permits"])
    it.settle()
    return it.text()


def taken_in_as_a_stranger(it):
    told, operator = it.transcript, it.client("operator", it.first)
    lost, other = it.others[::-1]
    told.killed(lost, "C is killed, and its disk lost", True)
    it.kill(lost)
    shutil.rmtree(it.disk(lost))
    told.part("holder asks for h1")
    assert it.holder.ask().done
    it.settle(it.first, other)
    told.came(lost, "C is started with a blank disk")
    it.start(lost)
    until(lambda: it.told(lost, "stranger") and it.here(lost).get("role") == "stranger")
    told.part("holder asks for h2")
    assert it.holder.ask().done
    told.came(lost, "operator takes C in")
    assert operator.replace(lost).done
    until(lambda: it.here(lost).get("identity") in it.voters())
    it.settle()
    told.killed(other, "B is killed")
    it.kill(other)
    told.part("holder asks for h3")
    assert it.holder.ask().done
    it.settle(it.first, lost)
    return it.text()


def test_a_leader_killed_in_the_middle_of_a_grant(tmp_path, snapshot):
    assert played(tmp_path, killed_in_a_grant, 2) == snapshot(extension_class=Text)


def test_a_halt_as_work_drains_taken_back_and_lifted(tmp_path, snapshot):
    assert played(tmp_path, halted_as_work_drains, 1) == snapshot(extension_class=Text)


def test_a_keeper_with_a_lost_disk_is_a_stranger_until_it_is_taken_in(tmp_path, snapshot):
    assert played(tmp_path, taken_in_as_a_stranger, 1) == snapshot(extension_class=Text)
