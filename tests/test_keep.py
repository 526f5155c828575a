"""What a proxy holds, over its restart: torn, killed while written, drained meanwhile, and with nobody there."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.proxy.keep import NAME, load, pack, save, unpack
from ironfall.proxy.program import Proxy
from ironfall.publication import MILLION, Holding
from ironfall.publication.holding import CachedState
from ironfall.storage.records import encode_record
from ironfall.terms import read_terms
from tests.disks import Died, Disk
from tests.rig import TERMS, ListStub, until
from tests.test_proxy import StubHost

TERMS_READ = read_terms(str(TERMS), TERMS.read_text())
hosts = st.sampled_from(["a@127.0.0.1:1", "b@127.0.0.1:2", "ü@127.0.0.1:3"])
kepts = st.builds(
    CachedState,
    st.dictionaries(hosts, st.integers(1, 2**60)),
    st.sets(hosts),
    st.none() | st.tuples(st.integers(0, MILLION), st.integers(0, 3)),
)


def holding(n, classes=2):
    found = Holding(classes, {f"h{n}@127.0.0.1:1": n + 1})
    found.outs = {"x@127.0.0.1:2"}
    return found


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(kepts, min_size=1, max_size=4))
def test_what_is_kept_comes_back(kept):
    assert unpack(pack(kept), len(kept)) == kept
    with pytest.raises(ValueError):
        unpack(pack(kept), len(kept) + 1)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=60))
def test_any_bytes_are_tables_or_named_as_none(data):
    disk = Disk()
    disk.files[NAME] = data
    assert load(disk, 2)[0] is None and load(disk, 2)[1] or not data
    disk.files[NAME] = encode_record(data or b"x")
    assert load(disk, 2)[0] is None and load(disk, 2)[1]


def test_killed_at_every_write_it_has_the_last_whole_one():
    counting = Disk()
    for n in range(4):
        save(counting, holding(n))
    for dies_at in range(1, counting.done + 1):
        for seed in range(6):
            disk, saved = Disk(seed, dies_at), -1
            with pytest.raises(Died):
                for n in range(4):
                    save(disk, holding(n))
                    saved = n
            kept, wrong = load(disk.crash(), 2)
            assert not wrong
            number = int(next(iter(kept[0].table)).split("@")[0][1:]) if kept else -1
            assert number in (saved, saved + 1)
            assert not kept or kept[0].outs == {"x@127.0.0.1:2"}
            save(disk, holding(9))
            assert load(disk, 2)[0][0].table == {"h9@127.0.0.1:1": 10}


def test_a_proxy_that_restarts_picks_at_once_with_nobody_there():
    host, disk = StubHost("h1"), Disk()
    terms = replace(TERMS_READ, registry=("127.0.0.1", 9))
    first = Proxy(
        terms,
        "p1",
        "hill",
        10,
        ("127.0.0.1", 0),
        [("127.0.0.1", 9)],
        1,
        standing={host.id: 1},
        disk=disk,
    )
    first.start()
    first._changed()
    until(lambda: NAME in disk.files)
    first.stop()
    again = Proxy(terms, "p1", "hill", 10, ("127.0.0.1", 0), [("127.0.0.1", 9)], 1, disk=disk)
    assert again.holding.lines(0) == {host.id: 1}
    disk.files[NAME] = disk.files[NAME][:-3]
    assert load(disk, len(terms.classes))[0] is None  # torn: as if there were none


def test_who_was_drained_meanwhile_is_not_sent_to():
    registry, disk = ListStub(3), Disk()
    ids = [f"{row['name']}@{row['address']}" for row in registry.rows]
    save(disk, Holding(3, {host: MILLION for host in ids}))
    registry.rows[1]["state"] = "draining"
    terms = replace(TERMS_READ, registry=("127.0.0.1", registry.server.port))
    proxy = Proxy(terms, "p1", "hill", 10, ("127.0.0.1", 0), [("127.0.0.1", 9)], 1, disk=disk)
    assert set(proxy.holding.lines(0)) == {ids[0], ids[2]}
    registry.rows = [{**row, "state": "draining"} for row in registry.rows[:2]] + [registry.rows[2]]
    save(disk, Holding(3, {ids[0]: MILLION}))
    proxy = Proxy(terms, "p1", "hill", 10, ("127.0.0.1", 0), [("127.0.0.1", 9)], 1, disk=disk)
    assert set(proxy.holding.lines(0)) == {
        ids[0]
    }  # a last line is not taken away: it would have none
