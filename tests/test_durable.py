"""Records torn or garbled, a journal killed at every write, a disk that is full, a ring that stays in bounds."""

import doctest

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.storage import records
from ironfall.storage.disk import Folder
from ironfall.storage.records import decode_records, encode_record
from ironfall.storage.segment_ring import SegmentRing
from ironfall.storage.write_ahead_log import WriteAheadLog
from tests.disks import Died, Disk

payloads = st.lists(st.binary(min_size=1, max_size=40), max_size=8)


def test_examples():
    assert doctest.testmod(records).failed == 0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(payloads, st.integers(0, 400), st.integers(0, 400), st.integers(1, 255))
def test_a_torn_or_garbled_file_tells_the_records_before_that_place_and_none_that_were_not_written(
    all_, end, at, flip
):
    whole = b"".join(map(encode_record, all_))
    assert decode_records(whole) == (all_, len(whole), "")
    data = bytearray(whole[:end])
    if at < len(data):
        data[at] ^= flip
    found, size, fault = decode_records(bytes(data))
    assert found == all_[: len(found)] and size == len(b"".join(map(encode_record, found)))
    assert fault or size == len(data)
    assert decode_records(bytes(64))[0] == []


def work(disk, confirmed):
    """Two snapshots among twelve records; what is confirmed is told as it is confirmed, what is tried before."""
    journal = WriteAheadLog(disk)
    journal.open()
    for n in range(12):
        confirmed["trying"] = n
        journal.append(b"record %d" % n)
        confirmed["state"] = n
        if n in (4, 8):
            journal.write_snapshot(b"up to %d" % n)


def state_of(found):
    state = int(found.snapshot.split()[-1]) if found.snapshot else -1
    for payload in found.records:
        number = int(payload.split()[-1])
        assert number == state + 1, "a record is missing, doubled or out of order"
        state = number
    return state


def test_killed_at_every_write_a_journal_has_all_that_was_confirmed_and_goes_on():
    counting = Disk()
    work(counting, {})
    for dies_at in range(1, counting.done + 1):
        for seed in range(6):
            disk, confirmed = Disk(seed, dies_at), {"state": -1, "trying": -1}
            with pytest.raises(Died):
                work(disk, confirmed)
            journal = WriteAheadLog(disk.crash())
            state = state_of(journal.open())
            # What was under way when it died may have come through or not; nothing else.
            assert confirmed["state"] <= state <= confirmed["trying"]
            journal.append(b"record %d" % (state + 1))
            assert state_of(WriteAheadLog(disk).open()) == state + 1


def test_a_full_disk_refuses_records_whole_and_takes_them_when_there_is_room():
    for full_from in range(1, 40):
        disk = Disk(full_from, full_from=full_from, full_until=full_from + 7)
        journal, held = WriteAheadLog(disk), []
        journal.open()
        for n in range(15):
            try:
                journal.append(b"record %d" % len(held))
                held.append(n)
                if n == 6:
                    journal.write_snapshot(b"up to %d" % (len(held) - 1))
            except OSError:
                pass
        assert state_of(WriteAheadLog(disk).open()) == len(held) - 1


def test_a_snapshot_that_cannot_be_read_gives_way_to_the_one_before_and_says_so():
    disk = Disk()
    work(disk, {})
    disk.files["2.snapshot"] = b"\0" * 40
    journal = WriteAheadLog(disk)
    found = journal.open()
    assert found.snapshot == b"up to 4" and found.faults and state_of(found) == 8


def test_a_snapshot_that_fails_over_a_garbled_one_is_no_snapshot():
    # Found by rereading: the garbled one's name was taken for proof that the new one had come to be.
    disk = Disk()
    work(disk, {})
    disk.files["2.snapshot"] = b"\0" * 40
    journal = WriteAheadLog(disk)
    journal.open()
    disk.full_from = disk.done + 1
    with pytest.raises(OSError):
        journal.write_snapshot(b"up to 8")
    assert state_of(WriteAheadLog(disk).open()) == 8


def test_a_ring_gives_back_in_order_counts_what_it_drops_and_finds_itself_again(tmp_path):
    folder = Folder(tmp_path)
    ring = SegmentRing(folder, 4000)
    put = 0
    for n in range(300):
        ring.append([(1 + n % 3, b"payload %d" % n)])
        put += 1 + n % 3
        assert ring.size <= 4000 + 100 and put == ring.dropped_weight + ring.weight
    some = ring.peek(5)
    assert ring.acknowledge(some) == sum(w for w, _ in some)
    folder.close()
    again = SegmentRing(Folder(tmp_path), 4000)
    # What was done of a part that is not yet done whole comes again: safe where a repeat changes nothing.
    assert again.weight == put - ring.dropped_weight
    given = []
    while some := again.peek(7):
        given += [int(p.split()[-1]) for _, p in some]
        again.acknowledge(some)
    assert given == sorted(given) and given[-1] == 299 and again.weight == 0


def test_a_folder_is_held_by_one_process_at_a_time(tmp_path):
    Folder(tmp_path)
    with pytest.raises(OSError, match="in use"):
        Folder(tmp_path)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(["put", "take", "crash"]), max_size=60), st.integers(0, 9))
def test_a_ring_under_crashes_never_gives_what_was_not_put_and_its_books_balance(steps, seed):
    disk = Disk(seed)
    ring, put = SegmentRing(disk, 600), 0
    for step in steps:
        if step == "put":
            put += 1
            ring.append([(1, b"%d" % put)])
        elif step == "take":
            some = ring.peek(3)
            assert all(1 <= int(p) <= put for _, p in some)
            assert ring.acknowledge(some) == len(some)
        else:
            ring = SegmentRing(disk.crash(), 600)
        assert ring.weight == sum(p.weight for p in ring.segments) and ring.size <= 700
