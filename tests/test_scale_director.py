"""What one change costs a director's neighbours goes by the change, and by who holds what, not by the fleet: counts."""

import json
from types import SimpleNamespace

import pytest

from ironfall.api import codec
from ironfall.lab.registry import Registry
from ironfall.platform.order_outbox import OrderOutbox
from ironfall.publication import Publication
from tests.fleet import SECOND, Fleet, names, terms


def settled(hosts, proxies):
    fleet = Fleet(
        terms(proxies=proxies, queue_limit=24.0 * proxies, entries_per_second=3.0 * proxies),
        3 * proxies,
    )
    listed = names(b"a", hosts)
    fleet.list(listed)
    for proxy in range(proxies):
        fleet.join(proxy, listed[:5])
    fleet.close()
    fleet.run(20)
    assert not fleet.unbound()
    return fleet, listed


def report(fleet, listed):
    """Of each zone on each host, the same of all: nothing to move a weight for."""
    for zone in range(fleet.service.zones):
        for host in listed:
            fleet.director.on_upstream_report(
                fleet.now, zone, host, 20, 0, 3_000, 2 * SECOND, {"q": 1.0, "lat_ms": 300.0}
            )
    for proxy in fleet.joined_at:
        fleet.director.on_request_report(fleet.now, proxy, 0, 40, 0)


@pytest.mark.parametrize(("hosts", "proxies"), [(34, 40), (34, 160), (136, 40), (136, 160)])
def test_a_drain_is_a_message_to_each_proxy_whose_table_names_the_host_and_to_nobody_else(
    hosts, proxies
):
    fleet, listed = settled(hosts, proxies)
    holders = {p for p in fleet.joined_at if listed[0] in fleet.named_hosts(p)}
    assert 0 < len(holders) < proxies
    fleet.list(listed)  # nothing drains: nobody is told anything
    assert fleet.pending == {}
    fleet.list(listed[1:], listed[:1])
    assert fleet.pending == dict.fromkeys(holders, 1)


@pytest.mark.parametrize(("hosts", "proxies"), [(34, 40), (136, 40), (34, 160)])
def test_at_rest_nobody_is_written_to_however_many_hosts_and_proxies_there_are(hosts, proxies):
    fleet, listed = settled(hosts, proxies)
    for _ in range(15):
        report(fleet, listed)
        fleet.run(2)
    written = []
    fleet._write = lambda proxy, lines: written.append(proxy)
    for _ in range(15):
        report(fleet, listed)
        fleet.run(2)
    assert written == []


@pytest.mark.parametrize("hosts", [34, 544, 8_704])
def test_a_drain_is_as_many_bytes_to_the_relay_however_many_hosts_are_listed(hosts):
    outbox = OrderOutbox(("lookup", "order"))
    for n in range(hosts):
        outbox.set_weight(0, b"host%05d" % n, 1.0)
    outbox.request_confirmation(1)
    while outbox.next_call():
        outbox.complete(len(outbox.sent))
    outbox.withdraw(b"host00007", True)
    outbox.request_confirmation(2)
    drain, mark = outbox.next_call()
    assert drain == '{"verb":"OUT","endpoint":"host00007"}'
    assert json.loads(mark) == {"verb": "SYNC", "nonce_out": outbox.in_flight_nonce, "set": 0}


@pytest.mark.parametrize("hosts", [34, 544, 8_704])
def test_a_changed_line_is_as_many_bytes_to_a_proxy_however_many_hosts_its_table_names(hosts):
    publication = Publication(1_764_600_000_000_000, 2)
    publication.join(0)
    for n in range(hosts):
        publication.set_weight(0, f"host{n:05}@127.0.0.1:9000", 1.0)
    publication.assign(0, 0, 0)
    publication.close()
    publication.set_weight(0, "host00007@127.0.0.1:9000", 0.5)
    publication.close()
    state = codec.pack_state(publication.delta(0, publication.version - 1, publication.version), [])
    assert len(state.lines) == 1
    assert len(codec.encode(state, codec.PROTOBUF)[0]) == 54


@pytest.mark.parametrize("hosts", [34, 544, 8_704])
def test_the_list_tells_a_watcher_the_rows_that_changed_and_no_others(hosts):
    usual = {"address": ("127.0.0.1", 80), "zone": "a", "incarnation": 1, "started": 1.0}
    rows = [SimpleNamespace(name=f"h{n}", id=f"h{n}", **usual) for n in range(hosts)]
    fleet = SimpleNamespace(hosts={row.name: row for row in rows}, listed=None)
    registry = Registry(("127.0.0.1", 0), fleet, lambda _what, **_about: None)
    for row in rows:
        registry._row(row, "ready", 0)
    before = registry.version
    registry._show("h7", registry._describe(rows[7], "draining"))
    asked = {"after": before, "wait_ms": 0}
    request = SimpleNamespace(
        method="GET", path="/v1/list", query={}, number=lambda name, usual: asked[name]
    )
    told = json.loads(registry.handle(request).body)
    assert not told["whole"] and [row["name"] for row in told["hosts"]] == ["h7"]
