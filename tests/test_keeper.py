"""Coordinators as processes that are killed, are suspended or lose their disks; a coordinator in
this process with a faulty disk; and parts of a coordinator.
"""

import errno
import json
import os
import random
import shutil
import subprocess
import sys
import time
from dataclasses import replace

import gevent
import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.api.http import Answer, Bounds, HttpServer
from ironfall.consensus import Configuration, Entry, HardState
from ironfall.coordinator.client import CoordinatorClient
from ironfall.coordinator.clock import ClockCheck, SystemClock
from ironfall.coordinator.disk import DiskLostError, MemberStore
from ironfall.coordinator.limits import COORDINATOR_LIMITS
from ironfall.coordinator.program import CoordinatorOptions, Program
from ironfall.coordinator.state_machine import FORGOTTEN, FULL, LedgerStateMachine
from ironfall.coordinator.stored_records import AppendWrite, SnapshotWrite
from ironfall.coordinator.sums import CHECKSUM_HEADER, answer_checksum
from ironfall.disruption import Ledger
from ironfall.terms import read_terms
from tests.disks import Died, Disk
from tests.keepers import Group, terms_with, until

SECOND = 10_000


def list_entry(version):
    """A host list; the ledger rejects it if it is applied a second time."""
    return {"k": "list", "v": version, "hosts": {}}


@pytest.fixture
def group(tmp_path):
    with Group(tmp_path) as found:
        yield found


def has_list_version(group, version):
    """Asserts that the ledger's host list is at exactly this version."""
    assert f"no newer than {version}" in group.asker("judge").propose(list_entry(version)).rejection
    return True


# Processes.


def test_each_proposal_is_applied_once_while_leaders_are_killed(group):
    client, results = group.asker("registry"), []

    def propose_all():
        for version in range(1, 301):
            results.append(client.propose(list_entry(version), 20.0))

    proposing = gevent.spawn(propose_all)
    for done_count in (30, 130):
        until(lambda count=done_count: len(results) > count)
        killed = group.leader()
        group.kill(killed)
        group.leader(killed)
        group.start(killed)
    proposing.join(20.0)
    assert len(results) == 300 and all(result.is_accepted for result in results), [
        result for result in results if not result.is_accepted
    ]
    indexes = [result.body["index"] for result in results]
    assert indexes == sorted(set(indexes))
    assert has_list_version(group, 300)
    until(lambda: len({group.here(name).get("reign") for name in group.names}) == 1)


def test_a_suspended_leader_steps_down_and_answers_no_stale_read(group):
    old = group.leader()
    term = group.looker.read_status().body["reign"]
    group.signal(old, "SIGSTOP")
    new = group.leader(old)
    assert group.asker("registry").propose(list_entry(1)).is_accepted
    client = CoordinatorClient(
        [k for k in group.keepers if k[0] == old], "reader", random.Random(1)
    )
    reading = gevent.spawn(client.read_status, 0.3)
    until(lambda: client.read_connections.clients and client.read_connections.clients[old].sock)
    group.signal(old, "SIGCONT")
    result = reading.get()  # the request waited in the socket, and is handled before any timer
    assert result.failure or result.body["reign"] > term
    client.close()
    until(
        lambda: group.here(old).get("role") == "follower" and group.here(old).get("leader") == new
    )
    assert has_list_version(group, 1)
    for name in group.names:
        if name != new:
            group.kill(name)
    assert group.looker.read_status(0.3).failure, "a minority must not answer a read"


@pytest.mark.parametrize("is_older_copy", [False, True], ids=["blank", "older copy"])
def test_a_coordinator_that_lost_data_counts_only_after_it_is_replaced(group, is_older_copy):
    lost, registry = next(n for n in group.names if n != group.leader()), group.asker("registry")
    before, copy = group.voters(), group.folder / "copy"
    group.kill(lost)
    if is_older_copy:
        shutil.copytree(group.disk(lost), copy)
        group.start(lost)
        until(lambda: group.here(lost).get("role") == "follower")
    assert registry.propose(list_entry(1)).is_accepted
    # Only the leader that it acknowledged entries to detects an older copy: if the leader changes
    # meanwhile, it is tried again.
    for _ in range(5):
        until(
            lambda: (
                not is_older_copy
                or group.here(lost).get("index", 0) >= group.looker.read_status().body["index"] - 1
            )
        )
        term = group.looker.read_status().body["reign"]
        group.kill(lost)
        shutil.rmtree(group.disk(lost))
        if is_older_copy:
            shutil.copytree(copy, group.disk(lost))
        group.start(lost, "--found")
        until(
            lambda term=term: (
                group.told(lost, "member of no group")
                or group.looker.read_status().body.get("reign", term) != term
            )
        )
        if group.told(lost, "member of no group"):
            break
    until(lambda: group.here(lost).get("role") == "stranger")
    assert (
        bool(group.told(lost, "disk lost confirmed data, starts as a new member")) == is_older_copy
    )
    assert registry.propose(list_entry(2)).is_accepted and group.voters() == before
    assert group.looker.replace_member(lost).is_accepted
    until(lambda: group.here(lost).get("identity") in group.voters())
    # The new member counts: with another one killed, two are a majority.
    other = next(n for n in group.names if n not in (lost, group.leader()))
    group.kill(other)
    assert registry.propose(list_entry(3)).is_accepted and has_list_version(group, 3)


def test_a_restart_of_all_keeps_the_log_and_cuts_torn_tails(group):
    members = group.voters()
    client = group.asker("registry")
    assert all(client.propose(list_entry(v)).is_accepted for v in range(1, 20))
    for name in group.names:
        group.kill(name)
    # What a crash in the middle of a write leaves, and what an unsynced disk leaves.
    for name, tail in zip(group.names, (b"\0\0\1\0half a record", b"\0" * 40, b""), strict=True):
        with open(group.disk(name) / "2.journal", "ab") as journal:
            journal.write(tail)
    for name in group.names:
        group.start(name)
    group.leader()
    assert group.voters() == members and has_list_version(group, 19)
    assert client.propose(list_entry(20)).is_accepted  # its session was kept
    assert [len(group.told(n, "disk repaired")) for n in group.names] == [1, 1, 0]


def test_a_terminated_leader_transfers_its_leadership(group):
    old = group.leader()
    group.signal(old, "SIGTERM")
    new = group.leader(old)
    assert group.processes[old].wait(5) == 0
    assert any(
        "the coordinator is stopping" in line["said"]
        for line in group.told(old, "consensus state changed")
    )
    successors = [
        n
        for n in group.names
        if any(
            "takes over the leadership" in line["said"]
            for line in group.told(n, "consensus state changed")
        )
    ]
    assert successors and new != old, "by a transfer, not by an election time-out"


# A group of one, in this process.


class FaultyDisk(Disk):
    """A disk whose syncs can fail, or wait for a byte from the pipe `sync_gate`."""

    def __init__(self):
        super().__init__()
        self.sync_fails, self.sync_gate, self.syncs = False, -1, 0

    def sync(self, name):
        if self.sync_gate >= 0:
            os.read(self.sync_gate, 1)
        if self.sync_fails:
            raise OSError(errno.EIO, "sync failed")
        super().sync(name)
        self.syncs += 1


class RecordingLog:
    def __init__(self):
        self.events = []

    def __getattr__(self, level):
        return lambda event, **fields: self.events.append((event, fields))


class SingleCoordinator:
    def __init__(self):
        text = terms_with(1)
        self.disk, self.log, self.clock_offset_s = FaultyDisk(), RecordingLog(), 0.0
        terms = read_terms("fleet", text)
        limits = replace(COORDINATOR_LIMITS, election_timeout=SECOND // 5, disk_timeout=SECOND // 4)
        clock = SystemClock(wall=lambda: 1.7e9 + self.clock_offset_s)
        options = CoordinatorOptions(may_found_group=True, seed=1, limits=limits, clock=clock)
        self.program = Program(terms, "k1", self.disk, self.log, options)
        self.client = CoordinatorClient(terms.fleet.keepers, "one", random.Random(1))
        self.program.start()
        assert self.client.propose({"k": "hold", "holder": "before", "inc": 1}, 10.0).is_accepted

    def fields_of(self, event):
        return [fields for name, fields in self.log.events if name == event]

    def holders(self):
        return set(self.program.member.state_machine.ledger.holders)


@pytest.fixture
def single():
    single = SingleCoordinator()
    yield single
    single.disk.sync_fails, single.disk.full_from = False, -1
    single.program.stop()
    single.client.close()


@pytest.mark.parametrize("fault", ["full", "failing"])
def test_a_failing_disk_ends_leadership_and_no_confirmed_entry_is_lost(single, fault):
    if fault == "full":
        single.disk.full_from = single.disk.done + 1
    else:
        single.disk.sync_fails = True
    during = single.client.propose({"k": "hold", "holder": "during", "inc": 1}, 1.0)
    assert during.failure == "doubt" and single.fields_of("disk failed")
    single.disk.full_from, single.disk.sync_fails = -1, False
    assert single.client.propose({"k": "hold", "holder": "after", "inc": 1}, 15.0).is_accepted
    assert single.holders() - {"during"} == {"before", "after"}


def test_a_slow_sync_ends_leadership_and_blocks_no_request(single):
    reading, writing = os.pipe()
    single.disk.sync_gate = reading
    proposing = gevent.spawn(single.client.propose, {"k": "hold", "holder": "late", "inc": 1}, 20.0)
    until(
        lambda: any(
            "takes too long" in fields["said"]
            for fields in single.fields_of("consensus state changed")
        )
    )
    assert (
        single.client.read_own_status("k1").body["role"] != "leader"
    )  # the event loop is not blocked
    single.disk.sync_gate = -1
    os.write(writing, b"x" * 100)
    assert proposing.get(timeout=20.0).is_accepted and "late" in single.holders()


def test_a_coordinator_whose_clock_went_back_does_not_lead(single):
    member = single.program.member
    time_before = member.state_machine.ledger.now
    single.clock_offset_s = -30.0
    assert (
        single.client.propose({"k": "hold", "holder": "early", "inc": 1}, 0.5).failure == "silent"
    )
    assert "behind the log" in single.fields_of("wall clock is off, will not lead")[0]["cause"]
    assert "behind the log" in single.client.read_own_status("k1").body["off"]
    single.clock_offset_s = 1.0
    assert single.client.propose({"k": "hold", "holder": "early", "inc": 1}, 15.0).is_accepted
    assert member.state_machine.ledger.now > time_before


def test_polls_return_changed_markers_and_fail_without_a_leader(single):
    def propose(kind, **fields):
        return single.client.propose({"k": kind, **fields})

    host = {"zone": "east", "kind": "disk", "strength": 9, "classes": 1, "ready": True}
    hosts = {f"h{n}": host for n in range(20)}
    until(lambda: single.program.member.state_machine.ledger.has_rules)
    assert (
        propose("list", v=1, hosts=hosts).is_accepted
        and propose("hold", holder="me", inc=1).is_accepted
    )
    index = single.client.poll_drain_markers(0, 0.0).body["index"]
    poll = gevent.spawn(single.client.poll_drain_markers, index, 10.0)
    granted = propose("ask", holder="me", inc=1, n=1, units=["host/h3"], length=SECOND)
    token = granted.body["index"]
    assert propose("drain", holder="me", inc=1, unit="host/h3", token=token).is_accepted
    polled = poll.get(timeout=5.0).body
    assert [m[:2] for m in polled["marks"]] == [["host/h3", "leaving"]] and polled["index"] > token
    single.disk.sync_fails = True
    assert single.client.propose({"k": "tick"}, 0.5).failure and until(
        lambda: single.client.poll_drain_markers(0, 0.0).failure == "silent"
    )


# Parts.


def test_a_clock_is_off_if_most_voters_disagree_but_not_if_one_does():
    clock = ClockCheck()
    clock.on_peer_time("k2", 70 * SECOND, 5 * SECOND)
    assert not clock.find_fault(65 * SECOND, 5 * SECOND, 0, 3)
    clock.on_peer_time("k3", 71 * SECOND, 5 * SECOND)
    assert "apart" in clock.find_fault(65 * SECOND, 5 * SECOND, 0, 3)
    assert not clock.find_fault(69 * SECOND + 5_000, 5 * SECOND, 0, 3)
    assert not clock.find_fault(65 * SECOND, 11 * SECOND, 0, 3), "old readings are ignored"
    assert "behind the log" in clock.find_fault(65 * SECOND, 11 * SECOND, 67 * SECOND, 3)


def test_an_unknown_client_with_a_later_number_is_answered_forgotten():
    machine = LedgerStateMachine(min_clients=2, max_answers=2)

    def apply(index, client, number, time=SECOND):
        return machine.apply(
            index, LedgerStateMachine.encode_command(client, number, b'{"k":"tick","at":%d}' % time)
        )

    first = apply(1, "a", 1)
    assert first.startswith(b"1\n") and apply(2, "a", 1) == first and machine.ledger.index == 1
    assert apply(3, "b", 2) == FORGOTTEN
    assert apply(4, "b", 1) and apply(5, "c", 1) == FULL
    # Numbers may be left out, but a lower one is not applied after that.
    assert apply(6, "b", 9, 100 * SECOND)
    assert apply(7, "b", 8) == FORGOTTEN
    assert apply(8, "c", 1) not in (FULL, FORGOTTEN) and apply(9, "a", 2) == FORGOTTEN
    restored = LedgerStateMachine(min_clients=2, max_answers=2)
    restored.restore(machine.snapshot())
    assert restored.snapshot() == machine.snapshot()


def entries(term, *numbers):
    return [Entry(term, "ask", 7, n, b'{"n":%d}\n' % n) for n in numbers]


WRITES = st.lists(
    st.one_of(
        st.tuples(st.just("keep"), st.integers(1, 99)),
        st.tuples(st.just("append"), st.integers(0, 3), st.integers(1, 3)),
        st.tuples(st.just("snapshot"), st.integers(0, 5)),
    ),
    min_size=1,
    max_size=12,
)


@settings(max_examples=150, deadline=None)
@given(WRITES, st.integers(0, 60), st.integers(0, 999), st.integers(1, 4))
def test_confirmed_writes_survive_a_crash_at_any_disk_operation(
    drawn, crashes_after, seed, batch_size
):
    disk = Disk(seed)
    store = MemberStore(disk, "k1")
    store.begin_incarnation()
    boots, base, snapshot, log = 0, 0, b"", []
    states, writes = [(0, b"", [])], []
    for kind, *values in drawn:
        if kind == "keep":
            boots += values[0]
            writes.append(HardState(boots, boots, "k2"))
        elif kind == "append":
            start = base + max(0, len(log) - values[0])
            added = entries(len(writes), *range(values[1]))
            log = log[: start - base] + added
            writes.append(AppendWrite(start + 1, added))
        else:
            base, log = base + min(values[0], len(log)), log[min(values[0], len(log)) :]
            snapshot = b"state at %d" % base
            writes.append(SnapshotWrite(base, snapshot, log))
        states.append((boots, snapshot, log))
    disk.dies_at, confirmed = disk.done + 1 + crashes_after, 0
    try:
        while confirmed < len(writes):
            store.write(writes[confirmed : confirmed + batch_size])
            confirmed = min(len(writes), confirmed + batch_size)
    except Died:
        pass
    found, _ = MemberStore(disk.crash(), "k1").open()
    possible = states[confirmed : confirmed + batch_size + 1]
    assert (found.boot_id, found.snapshot, found.entries) in possible


def test_a_disk_that_lacks_confirmed_data_is_reported_as_lost():
    def filled_disk():
        disk = Disk()
        store = MemberStore(disk, "k1")
        with pytest.raises(FileNotFoundError):
            store.open()
        store.begin_incarnation()
        store.begin_group(Configuration(("k1/a", "k2/b")))
        for n in range(1, 6):
            store.write([AppendWrite(n, entries(1, n))])
        return disk, store

    disk, store = filled_disk()
    data = disk.files["2.journal"]
    record_size = len(data) // 5
    for offset in range(4 * record_size):
        disk.files["2.journal"] = data[:offset] + bytes([data[offset] ^ 0x41]) + data[offset + 1 :]
        with pytest.raises(DiskLostError):
            MemberStore(disk, "k1").open()
    for offset in range(4 * record_size, 5 * record_size):  # the last record may have been torn
        disk.files["2.journal"] = data[:offset]
        assert len(MemberStore(disk, "k1").open()[0].entries) == 4
        disk.files["2.journal"] = data
    for cut in (None, -1):
        disk, store = filled_disk()
        snapshot = disk.files.pop("2.snapshot")
        disk.files |= {"2.snapshot": snapshot[:cut]} if cut else {}
        with pytest.raises(DiskLostError):
            MemberStore(disk, "k1").open()
    former = store.identity
    assert store.begin_incarnation().boot_id == 0 and store.identity != former
    assert MemberStore(disk, "k1").open()[0].entries == []
    with pytest.raises(OSError, match="belongs to coordinator k1, not to k2"):
        MemberStore(disk, "k2").open()


def test_the_client_imports_neither_consensus_nor_ledger():
    # Derived from imported names, so that a package that moves is still found.
    forbidden = (Configuration.__module__.rpartition(".")[0], Ledger.__module__.rpartition(".")[0])
    code = (
        "import sys, ironfall.coordinator.client;"
        f" print([m for m in sys.modules if m.startswith({forbidden})])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout
        == "[]\n"
    )


@pytest.mark.parametrize("status", [404, 405, 413, 431])
def test_a_refusal_of_a_request_that_may_be_corrupted_is_final_only_when_repeated(status):
    # A byte that was changed on the way to a coordinator made the path unknown, and the client gave up its proposal.
    script, requests = [], []

    def handle(request):
        requests.append(request.path)
        answer_status, answer = script.pop(0)
        body = json.dumps(answer).encode()
        return Answer(answer_status, body, {CHECKSUM_HEADER: answer_checksum(answer_status, body)})

    server = HttpServer(("127.0.0.1", 0), Bounds(9, 4096, 2, 60, 2), handle)
    server.start()
    client = CoordinatorClient([("k0", ("127.0.0.1", server.port))], "me", random.Random(3))
    done = (200, {"index": 5, "answer": {"ok": True}})
    script[:] = (status, {"why": "no entMies"}), (status, {"why": "no eNtries"}), done
    assert client.propose({"k": "tick"}).is_accepted and len(requests) == 3
    script[:] = (status, {"why": "no entries"}), (status, {"why": "no entries"})
    assert client.propose({"k": "tick"}).failure == "refused" and not script
    client.close()
    server.stop()


def test_a_proposal_keeps_its_number_until_its_outcome_is_known():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    script, received, now = [], [], [0.0]

    def handle(request):
        received.append(json.loads(bytes(request.body)))
        status, answer = script.pop(0)
        if status == 0:
            request.sock.close()
        if not script:
            now[0] += 10.0  # past the deadline
        body = json.dumps(answer).encode()
        return Answer(status, body, {CHECKSUM_HEADER: answer_checksum(status, body)})

    servers = [HttpServer(("127.0.0.1", 0), Bounds(9, 4096, 2, 60, 2), handle) for _ in range(2)]
    for server in servers:
        server.start()
    client = CoordinatorClient(
        [(f"k{n}", ("127.0.0.1", s.port)) for n, s in enumerate(servers)],
        "me",
        random.Random(3),
        lambda: now[0],
    )
    done = (200, {"index": 5, "answer": {"ok": True}})

    def propose(*answers):
        script[:], received[:] = answers, []
        result = client.propose({"k": "tick"})
        assert not script
        assert len({(body["asker"], body["number"]) for body in received}) == 1, (
            "retries have the same client name and number"
        )
        return result, received[0]["asker"], received[0]["number"]

    result, client_name, number = propose(
        (421, {"leader": "k1"}), (409, {"why": "doubt"}), (0, {}), (503, {"why": "none"}), done
    )
    assert result.is_accepted and result.body["index"] == 5 and number == 1
    assert propose(done)[1:] == (client_name, 2)
    assert propose((400, {"why": "k"}))[0].failure == "refused"
    assert propose((429, {"why": "full"}))[0].failure == "full"
    assert propose((409, {"why": "doubt"}))[0].failure == "doubt"
    assert propose((200, {"index": 6, "answer": {"no": "so"}}))[0].rejection == "so"
    assert propose((410, {"why": "forgotten"}))[0].failure == "forgotten"
    assert propose(done)[1] != client_name and client.last_number == 1
    client.close()
    for server in servers:
        server.stop()
    client.monotonic = time.monotonic
    assert client.propose({"k": "tick"}, 0.3).failure == "silent"
