"""The cached tables of a proxy: damaged files, crashes while writing, hosts drained during a restart, no servers."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.proxy.server import Proxy, ProxyConfig
from ironfall.proxy.table_cache import (
    CACHE_FILE,
    decode_tables,
    encode_tables,
    load_tables,
    save_tables,
)
from ironfall.publication import MILLION, Holding
from ironfall.publication.holding import CachedState
from ironfall.storage.records import encode_record
from ironfall.terms import read_terms
from tests.disks import Died, Disk
from tests.rig import TERMS, ListStub, until
from tests.test_proxy import StubHost

TERMS_READ = read_terms(str(TERMS), TERMS.read_text())
hosts = st.sampled_from(["a@127.0.0.1:1", "b@127.0.0.1:2", "ü@127.0.0.1:3"])
cached_states = st.builds(
    CachedState,
    st.dictionaries(hosts, st.integers(1, 2**60)),
    st.sets(hosts),
    st.none() | st.tuples(st.integers(0, MILLION), st.integers(0, 3)),
)


def config(settings):
    return ProxyConfig(settings, "p1", "hill", 10, ("127.0.0.1", 0), [("127.0.0.1", 9)], seed=1)


def tables_with_host(n, classes=2):
    tables = Holding(classes, {f"h{n}@127.0.0.1:1": n + 1})
    tables.outs = {"x@127.0.0.1:2"}
    return tables


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(cached_states, min_size=1, max_size=4))
def test_cached_tables_are_read_back_unchanged(states):
    assert decode_tables(encode_tables(states), len(states)) == states
    with pytest.raises(ValueError):
        decode_tables(encode_tables(states), len(states) + 1)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_rejected_with_a_reason(data):
    disk = Disk()
    disk.files[CACHE_FILE] = data
    assert load_tables(disk, 2)[0] is None and load_tables(disk, 2)[1] or not data
    disk.files[CACHE_FILE] = encode_record(data or b"x")
    assert load_tables(disk, 2)[0] is None and load_tables(disk, 2)[1]


def test_crash_at_any_write_leaves_the_previous_or_the_new_cache():
    counting = Disk()
    for n in range(4):
        save_tables(counting, tables_with_host(n))
    for dies_at in range(1, counting.done + 1):
        for seed in range(6):
            disk, saved = Disk(seed, dies_at), -1
            with pytest.raises(Died):
                for n in range(4):
                    save_tables(disk, tables_with_host(n))
                    saved = n
            states, fault = load_tables(disk.crash(), 2)
            assert not fault
            number = int(next(iter(states[0].table)).split("@")[0][1:]) if states else -1
            assert number in (saved, saved + 1)
            assert not states or states[0].outs == {"x@127.0.0.1:2"}
            save_tables(disk, tables_with_host(9))
            assert load_tables(disk, 2)[0][0].table == {"h9@127.0.0.1:1": 10}


def test_restarted_proxy_routes_by_its_cache_when_no_server_answers():
    host, disk = StubHost("h1"), Disk()
    terms = replace(TERMS_READ, registry=("127.0.0.1", 9))
    first = Proxy(config(terms), initial_table={host.id: 1}, disk=disk)
    first.start()
    first.on_tables_changed()
    until(lambda: CACHE_FILE in disk.files)
    first.stop()
    again = Proxy(config(terms), disk=disk)
    assert again.tables.lines(0) == {host.id: 1}
    disk.files[CACHE_FILE] = disk.files[CACHE_FILE][:-3]
    assert load_tables(disk, len(terms.classes))[0] is None  # a truncated file counts as missing


def test_host_drained_during_the_restart_is_withdrawn_unless_it_is_the_last():
    registry, disk = ListStub(3), Disk()
    ids = [f"{row['name']}@{row['address']}" for row in registry.rows]
    save_tables(disk, Holding(3, {host: MILLION for host in ids}))
    registry.rows[1]["state"] = "draining"
    terms = replace(TERMS_READ, registry=("127.0.0.1", registry.server.port))
    proxy = Proxy(config(terms), disk=disk)
    assert set(proxy.tables.lines(0)) == {ids[0], ids[2]}
    registry.rows = [{**row, "state": "draining"} for row in registry.rows[:2]] + [registry.rows[2]]
    save_tables(disk, Holding(3, {ids[0]: MILLION}))
    proxy = Proxy(config(terms), disk=disk)
    assert set(proxy.tables.lines(0)) == {
        ids[0]
    }  # the last host stays: without it the table would be empty
