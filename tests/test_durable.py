"""Storage under faults: truncated and corrupted records, crashes in every operation, full disks, and ring limits."""

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


def test_doctests():
    assert doctest.testmod(records).failed == 0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(payloads, st.integers(0, 400), st.integers(0, 400), st.integers(1, 255))
def test_decoding_returns_exactly_the_records_before_the_first_fault(
    written, end, flipped_at, flipped_bits
):
    complete = b"".join(map(encode_record, written))
    assert decode_records(complete) == (written, len(complete), "")
    data = bytearray(complete[:end])
    if flipped_at < len(data):
        data[flipped_at] ^= flipped_bits
    recovered, size, fault = decode_records(bytes(data))
    assert recovered == written[: len(recovered)] and size == len(
        b"".join(map(encode_record, recovered))
    )
    assert fault or size == len(data)
    assert decode_records(bytes(64))[0] == []


def write_records(disk, progress):
    """Writes twelve records and two snapshots; `progress` has the last record attempted and the last confirmed."""
    log = WriteAheadLog(disk)
    log.open()
    for n in range(12):
        progress["attempted"] = n
        log.append(b"record %d" % n)
        progress["confirmed"] = n
        if n in (4, 8):
            log.write_snapshot(b"up to %d" % n)


def last_record_number(recovered):
    last = int(recovered.snapshot.split()[-1]) if recovered.snapshot else -1
    for payload in recovered.records:
        number = int(payload.split()[-1])
        assert number == last + 1, "a record is missing, duplicated or out of order"
        last = number
    return last


def test_log_recovers_all_confirmed_records_after_a_crash_in_any_operation():
    counting = Disk()
    write_records(counting, {})
    for dies_at in range(1, counting.done + 1):
        for seed in range(6):
            disk, progress = Disk(seed, dies_at), {"confirmed": -1, "attempted": -1}
            with pytest.raises(Died):
                write_records(disk, progress)
            log = WriteAheadLog(disk.crash())
            last = last_record_number(log.open())
            # Only the record being written at the crash may be there or not.
            assert progress["confirmed"] <= last <= progress["attempted"]
            log.append(b"record %d" % (last + 1))
            assert last_record_number(WriteAheadLog(disk).open()) == last + 1


def test_append_on_a_full_disk_fails_completely_and_succeeds_again_with_room():
    for full_from in range(1, 40):
        disk = Disk(full_from, full_from=full_from, full_until=full_from + 7)
        log, confirmed = WriteAheadLog(disk), []
        log.open()
        for n in range(15):
            try:
                log.append(b"record %d" % len(confirmed))
                confirmed.append(n)
                if n == 6:
                    log.write_snapshot(b"up to %d" % (len(confirmed) - 1))
            except OSError:
                pass
        assert last_record_number(WriteAheadLog(disk).open()) == len(confirmed) - 1


def test_unreadable_snapshot_is_reported_and_the_previous_one_is_used():
    disk = Disk()
    write_records(disk, {})
    disk.files["2.snapshot"] = b"\0" * 40
    log = WriteAheadLog(disk)
    recovered = log.open()
    assert (
        recovered.snapshot == b"up to 4" and recovered.faults and last_record_number(recovered) == 8
    )


def test_failed_snapshot_over_an_unreadable_one_is_not_taken_for_written():
    # After a failure, the file of the unreadable snapshot must not pass for the new one, which has the same name.
    disk = Disk()
    write_records(disk, {})
    disk.files["2.snapshot"] = b"\0" * 40
    log = WriteAheadLog(disk)
    log.open()
    disk.full_from = disk.done + 1
    with pytest.raises(OSError):
        log.write_snapshot(b"up to 8")
    assert last_record_number(WriteAheadLog(disk).open()) == 8


def test_ring_returns_records_in_order_counts_drops_and_recovers(tmp_path):
    folder = Folder(tmp_path)
    ring = SegmentRing(folder, 4000)
    appended_weight = 0
    for n in range(300):
        ring.append([(1 + n % 3, b"payload %d" % n)])
        appended_weight += 1 + n % 3
        assert ring.size <= 4000 + 100 and appended_weight == ring.dropped_weight + ring.weight
    records_read = ring.peek(5)
    assert ring.acknowledge(records_read) == sum(weight for weight, _ in records_read)
    folder.close()
    again = SegmentRing(Folder(tmp_path), 4000)
    # Acknowledged records of a segment with others left are returned again; readers tolerate duplicates.
    assert again.weight == appended_weight - ring.dropped_weight
    numbers = []
    while records_read := again.peek(7):
        numbers += [int(payload.split()[-1]) for _, payload in records_read]
        again.acknowledge(records_read)
    assert numbers == sorted(numbers) and numbers[-1] == 299 and again.weight == 0


def test_directory_is_locked_by_one_process_at_a_time(tmp_path):
    Folder(tmp_path)
    with pytest.raises(OSError, match="in use"):
        Folder(tmp_path)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(st.sampled_from(["append", "acknowledge", "crash"]), max_size=60), st.integers(0, 9)
)
def test_ring_returns_only_appended_records_and_keeps_its_bounds_over_crashes(steps, seed):
    disk = Disk(seed)
    ring, appended = SegmentRing(disk, 600), 0
    for step in steps:
        if step == "append":
            appended += 1
            ring.append([(1, b"%d" % appended)])
        elif step == "acknowledge":
            records_read = ring.peek(3)
            assert all(1 <= int(payload) <= appended for _, payload in records_read)
            assert ring.acknowledge(records_read) == len(records_read)
        else:
            ring = SegmentRing(disk.crash(), 600)
        assert ring.weight == sum(segment.weight for segment in ring.segments) and ring.size <= 700
