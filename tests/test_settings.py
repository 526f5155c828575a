"""Settings of several services in one process: instances share no state, orders don't depend on the names in the
settings, and absent keys have their documented defaults."""

import copy
import json
import random
import struct
from dataclasses import replace

import pytest

from ironfall.decisions.interface import RequestClass
from ironfall.platform.director import PlatformDirector
from ironfall.platform.startup import read_startup_config
from ironfall.platform_settings import read_service
from ironfall.simulator_adapter.frames import (
    EVENT_RECORD_BYTES,
    HOST_ENTRY,
    HOST_ENTRY_BYTES,
    ORDER_RECORD_BYTES,
    PROXY_JOINED,
    REPLY_HEADER,
    REQUEST_REPORT,
    UPSTREAM_REPORT,
)
from ironfall.simulator_adapter.instances import Instances
from tests.platform_rig import SETTINGS, RecordingLog

OTHER_SETTINGS = {
    "Dcs": ["east", "north", "west"],
    "RequestClasses": [
        {"Name": "deed", "Aim": 300.0, "Deadline": 900.0, "Worth": 9.0, "Effect": "side_effect"},
        {"Name": "browse", "Aim": 90.0, "Deadline": 300.0, "Worth": 1.0, "Effect": "pure"},
        {
            "Name": "hold",
            "Aim": 200.0,
            "Deadline": 700.0,
            "Worth": 2.0,
            "Effect": "token",
            "KeyScope": "all",
            "KeyTtl": 6000.0,
        },
    ],
    "Contract": {"StopSendingWithin": 1500.0, "Cold": 4000.0, "StartCapacity": 0.2},
    "FamilyInfo": {
        "ProxyCount": 9,
        "QueueCap": 900.0,
        "Overhead": 3.0,
        "MessagesMost": 0,
        "UpdateWindow": 5000.0,
        "Bare": 5000.0,
        "TransitMax": 200.0,
        "ReportEvery": 2000.0,
        "ThrottleBy": "silent",
        "LinesPerS": 1200.0,
    },
    "Prices": {"CrossZone": 0.12},
    "Report": {"Columns": []},
    "MembershipMode": "pushed",
}


class PlatformRun:
    """A platform director without sockets, on a simulated clock: feeds it events, and collects the orders it sends."""

    def __init__(self, tmp_path, settings, seed="8c1f", hosts=8):
        path = tmp_path / f"{len(list(tmp_path.iterdir()))}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": "127.0.0.1:1",
                    "discovery": "127.0.0.1:2",
                    "seed": seed,
                    "relay": {"address": "127.0.0.1:3"},
                    "settings": settings,
                }
            )
        )
        self.now, self.sent_calls, self.random_source = 100.0, [], random.Random(seed)
        self.settings, self.proxies = settings, min(6, settings["FamilyInfo"]["ProxyCount"])
        self.count_failures = lambda step, host_index: (
            9 if host_index == 3 and step > 100 else self.random_source.randrange(2)
        )
        self.hosts = [f"s-{n:02}" for n in range(hosts)]
        self.program = PlatformDirector(
            read_startup_config({"RELAY_CONFIG": str(path)}), RecordingLog(), lambda: self.now
        )
        self.program.event_loop.begin()
        self.step = 0

    def advance(self):
        """Plays the next tenth of a second of a scenario that is the same for all settings, except for names."""
        program, n = self.program, self.step
        zones, classes = self.settings["Dcs"], [c["Name"] for c in self.settings["RequestClasses"]]
        self.step, self.now = n + 1, self.now + 0.1
        if n == 5 or n in (200, 260):
            removed_hosts = {260: self.hosts[:1]}.get(n, [])
            rows = [
                {
                    "id": h,
                    "locality": zones[k % len(zones)],
                    "size": 1.0,
                    "up_since_ms": 0,
                    "phase": "leaving" if n >= 200 and k < 2 else "active",
                }
                for k, h in enumerate(self.hosts)
                if h not in removed_hosts
            ]
            entries, is_complete = program.watch.apply(
                {"revision": n, "complete": True, "members": rows}
            )
            program.event_loop.put("listed", entries, is_complete, True)
        if n in (10, 240):
            for proxy in range(self.proxies):
                program.on_proxy_joined(proxy, proxy % len(zones), 20.0)
                program.streams.attached.add(proxy)
        for k, host in enumerate(self.hosts if n % 10 == 3 and n > 20 else ()):
            failed = self.count_failures(n, k)
            rtt, queue = (
                80 + 10 * k + self.random_source.randrange(20),
                4 + (60 if 120 < n < 180 else 0),
            )
            self.receive_line(
                f"upstream_stats locality={zones[k % len(zones)]} endpoint={host} total=12 errors={failed} "
                f"rtt={rtt} interval=1000 metrics=queue:{queue}"
            )
        for proxy in range(self.proxies if n % 10 == 4 else 0):
            for name in classes:
                self.receive_line(
                    f"client_stats node={proxy} route={name} total=30 errors=1 interval=1000"
                )
        program.event_loop.step()
        while orders := program.outbox.next_call():
            self.sent_calls.append([json.loads(order) for order in orders])
            nonce = program.outbox.in_flight_nonce
            program.outbox.complete(len(orders))
            for proxy in range(self.proxies if nonce is not None else 0):
                program.on_nonce_confirmed(proxy, nonce)

    def receive_line(self, text):
        self.program.listener._handle_line(None, text.encode())

    def run(self):
        while self.step < 400:
            self.advance()
        return self.sent_calls


@pytest.mark.parametrize("first, second", [(SETTINGS, OTHER_SETTINGS), (OTHER_SETTINGS, SETTINGS)])
def test_two_directors_in_one_process_send_the_same_orders_as_each_alone(tmp_path, first, second):
    separate_runs = [PlatformRun(tmp_path, first).run(), PlatformRun(tmp_path, second, "77").run()]
    first_run, second_run = PlatformRun(tmp_path, first), PlatformRun(tmp_path, second, "77")
    while first_run.step < 400:
        first_run.advance()
        second_run.advance()
    assert json.dumps([first_run.sent_calls, second_run.sent_calls]) == json.dumps(separate_runs)
    assert all(sum(map(len, sent)) > 40 for sent in separate_runs)


@pytest.mark.parametrize("settings", [SETTINGS, OTHER_SETTINGS])
def test_renamed_zones_classes_and_hosts_in_the_same_order_get_the_same_orders(tmp_path, settings):
    original, renamed = PlatformRun(tmp_path, settings), copy.deepcopy(settings)
    renamed["Dcs"] = [f"zone-{n}" for n in range(len(settings["Dcs"]))]
    for n, request_class in enumerate(renamed["RequestClasses"]):
        request_class["Name"] = f"class-{n}"
    other = PlatformRun(tmp_path, renamed)
    other.hosts = [f"host-{n:02}.other" for n in range(len(other.hosts))]
    names = dict(zip(other.hosts, original.hosts, strict=True))
    names |= {
        f"class-{n}": request_class["Name"]
        for n, request_class in enumerate(settings["RequestClasses"])
    }

    def with_original_names(order):
        order = {**order, "endpoint": names[order["endpoint"]]} if "endpoint" in order else order
        return (
            {**order, "routes": [names[r] for r in order["routes"]]} if "routes" in order else order
        )

    assert [
        [with_original_names(order) for order in call] for call in other.run()
    ] == original.run()


class ProxyTables:
    """What the proxies hold after the orders sent so far: table entries, withdrawn hosts, and the table of each class."""

    def __init__(self, run):
        self.run, self.weights, self.withdrawn, self.assigned, self.calls_read = (
            run,
            {},
            set(),
            {},
            0,
        )

    def update(self):
        names = [request_class["Name"] for request_class in self.run.settings["RequestClasses"]]
        for call in self.run.sent_calls[self.calls_read :]:
            for order in call:
                if order["verb"] == "SET":
                    self.weights[order["cluster"], order["endpoint"]] = order["w"]
                elif order["verb"] in ("OUT", "IN"):
                    (self.withdrawn.add if order["verb"] == "OUT" else self.withdrawn.discard)(
                        order["endpoint"]
                    )
                elif order["verb"] == "USE":
                    self.assigned |= {
                        (order["node"], name): order["cluster"]
                        for name in order.get("routes", names)
                    }
        self.calls_read = len(self.run.sent_calls)

    def zones(self, proxy, name):
        """Returns the zones of the hosts that a proxy may pick for a class; none if the class has no table assigned."""
        count, table = len(self.run.settings["Dcs"]), self.assigned.get((proxy, name))
        return {
            self.run.hosts.index(host) % count
            for (t, host), w in self.weights.items()
            if t == table and w and host not in self.withdrawn
        }


def with_zone_local(settings, *names):
    settings = copy.deepcopy(settings)
    settings["FamilyInfo"]["HomeOnly"] = [
        request_class["Name"] in names for request_class in settings["RequestClasses"]
    ]
    return settings


@pytest.mark.parametrize(
    "settings, name", [(SETTINGS, "order"), (SETTINGS, "lookup"), (OTHER_SETTINGS, "deed")]
)
def test_a_zone_local_class_never_gets_a_host_of_another_zone(tmp_path, settings, name):
    # Guards against a zone-local class that uses the tables shared by all classes, which contain hosts of other zones.
    run = PlatformRun(tmp_path, with_zone_local(settings, name))
    tables, classes_with_several_zones = ProxyTables(run), set()
    while run.step < 400:
        run.advance()
        tables.update()
        for proxy in range(run.proxies):
            assert tables.zones(proxy, name) <= {proxy % len(settings["Dcs"])}
            names = [request_class["Name"] for request_class in settings["RequestClasses"]]
            classes_with_several_zones |= {n for n in names if len(tables.zones(proxy, n)) > 1}
    assert all(tables.zones(proxy, name) for proxy in range(run.proxies))
    assert classes_with_several_zones == {
        request_class["Name"] for request_class in settings["RequestClasses"]
    } - {name}


def test_failures_of_a_zones_hosts_do_not_leave_a_zone_local_class_without_a_host_for_long(
    tmp_path,
):
    run = PlatformRun(tmp_path, with_zone_local(SETTINGS, "order"), hosts=9)
    run.count_failures = lambda step, host_index: (
        12 if host_index % 2 and step > 100 else 0
    )  # all hosts of the second zone, which are fewer than half of the fleet
    tables, steps_without_host, longest = ProxyTables(run), dict.fromkeys(range(run.proxies), 0), 0
    while run.step < 400:
        run.advance()
        tables.update()
        for proxy in range(run.proxies):
            is_assigned = (proxy, "order") in tables.assigned
            steps_without_host[proxy] = (
                steps_without_host[proxy] + 1
                if is_assigned and not tables.zones(proxy, "order")
                else 0
            )
            longest = max(longest, steps_without_host[proxy])
    assert longest <= 10  # tenths of a second; the limit is 20


def test_a_proxy_that_joins_while_its_zone_has_no_host_is_still_assigned_a_table(tmp_path):
    run = PlatformRun(tmp_path, with_zone_local(SETTINGS, "order"))
    while run.step < 100:
        run.advance()
    entries, is_complete = run.program.watch.apply(
        {
            "revision": 9,
            "complete": True,
            "members": [
                {"id": h, "locality": "lagos", "size": 1.0, "up_since_ms": 0, "phase": "active"}
                for h in run.hosts[::2]
            ],
        }
    )
    run.program.event_loop.put("listed", entries, is_complete, True)
    for proxy in (1, 3):
        run.program.on_proxy_joined(proxy, 1, 20.0)
    calls_before_join, tables = len(run.sent_calls), ProxyTables(run)
    while run.step < 180:
        run.advance()
    tables.calls_read = calls_before_join
    tables.update()
    assert (1, "order") in tables.assigned and not tables.zones(1, "order")
    assert tables.zones(1, "lookup") == {0}


# The simulator adapter: many instances in one process.


def event_record(layout, *fields):
    return struct.pack(layout, *fields).ljust(EVENT_RECORD_BYTES, b"\0")


def play_batch(instances, number, events):
    """Plays one frame, and returns the order records of its reply by instance.

    `events` has, by instance, functions that make the event records from the offset of the instance's part of the tail,
    and that part.
    """
    body, tail = b"", b""
    for records, tail_part in events.values():
        body += b"".join(make(len(tail)) for make in records)
        tail += tail_part
    reply = instances.handle_frame(
        number, 1000.0 * number, len(body) // EVENT_RECORD_BYTES, body + tail
    )
    count, orders = REPLY_HEADER.unpack_from(reply)[1], {}
    for at in range(
        REPLY_HEADER.size, REPLY_HEADER.size + ORDER_RECORD_BYTES * count, ORDER_RECORD_BYTES
    ):
        orders.setdefault(int.from_bytes(reply[at + 1 : at + 3], "big"), []).append(
            reply[at : at + ORDER_RECORD_BYTES]
        )
    return orders


def batch_events(instance, settings, number, random_source):
    def host(n):
        return struct.pack(">IH", 0x0A000000 + n, 8000)

    if number == 1:
        encoded_settings = json.dumps(settings).encode()
        return [
            lambda at: event_record(">BHQII", 29, instance, instance, at, len(encoded_settings))
        ], encoded_settings
    zones, classes = len(settings["Dcs"]), len(settings["RequestClasses"])
    if number in (2, 12):
        entries = b"".join(
            HOST_ENTRY.pack(host(n), n % zones, 0, 0, 2 if number == 12 and n < 2 else 1, 1.0, 0.0)
            for n in range(6)
        )
        return [
            lambda at: event_record(">BBII", 19, instance, at, len(entries) // HOST_ENTRY_BYTES),
            lambda _: event_record(">BHBQB", 21, instance, 3, number, instance),
        ], entries
    records = [event_record(">BHI", 25, instance, 0)]
    if number == 3:
        records += [
            event_record(">BH", 20, instance)[:3] + PROXY_JOINED.pack(p, p % zones, 9.0, 0)
            for p in range(4)
        ]
    for n in range(6):
        fields = (
            n % zones,
            host(n),
            10,
            random_source.randrange(8),
            90.0,
            1000.0,
            0,
            0.0,
            0.0,
            0.0,
            0.0,
        )
        records.append(event_record(">BH", 18, instance)[:3] + UPSTREAM_REPORT.pack(*fields))
    records += [
        event_record(">BH", 24, instance)[:3] + REQUEST_REPORT.pack(30, 2, p, k, 1000.0)
        for p in range(4)
        for k in range(classes)
    ]
    return [
        lambda _, record=record: record.ljust(EVENT_RECORD_BYTES, b"\0") for record in records
    ], b""


def test_simulator_instances_with_other_settings_get_the_same_orders_as_each_alone():
    def orders_by_instance(settings_by_instance):
        instances, random_sources, orders = (
            Instances(),
            {i: random.Random(i) for i in settings_by_instance},
            {i: [] for i in settings_by_instance},
        )
        for number in range(1, 60):
            events = {
                i: batch_events(i, settings_by_instance[i], number, random_sources[i])
                for i in settings_by_instance
            }
            reply = play_batch(instances, number, events)
            for i in settings_by_instance:
                orders[i] += reply.get(i, [])
        return orders

    settings_by_instance = {1: SETTINGS, 2: OTHER_SETTINGS, 3: SETTINGS}
    together = orders_by_instance(settings_by_instance)
    for i, settings in settings_by_instance.items():
        assert together[i] == orders_by_instance({i: settings})[i] and len(together[i]) > 60


# Defaults.


def minimal_settings(**overrides):
    return {
        "Dcs": ["a"],
        "RequestClasses": [{"Name": "x", "Aim": 100.0, "Deadline": 300.0}],
        **overrides,
    }


def test_absent_settings_have_their_documented_defaults():
    service = read_service(minimal_settings(FamilyInfo={"ProxyCount": 3}))
    assert (
        service.message_limit == 0
        and not service.admits_by_share
        and not service.health_checks_allowed
        and not service.requests_host_list
    )
    assert (
        service.gauges == ()
        and service.cross_zone_price == 0.0
        and service.entries_per_second == 0.0
    )
    assert service.slow_start_time == 0 and service.classes[0] == RequestClass(
        1000, 3000, 1.0, "never", "", 0
    )
    assert read_service(minimal_settings(Report={"Columns": None})).gauges == ()
    assert (
        read_service(minimal_settings(FamilyInfo={"ThrottleBy": "per_second"})).admits_by_share
        is False
    )
    assert (
        read_service(minimal_settings(Contract={"AskWithin": 5.0}, New={"key": 1})).drain_grace
        == 10_000
    )


def test_a_class_with_a_latency_objective_of_zero_starts_a_director(tmp_path):
    # An objective of 0 means that it grows with a request's work. Dividing the priority weight by it raised an error
    # when the director started.
    settings = copy.deepcopy(SETTINGS)
    settings["RequestClasses"][0] |= {"Aim": 0.0, "AimStretch": 4.0}
    assert sum(map(len, PlatformRun(tmp_path, settings).run())) > 40


def test_overload_is_detected_when_the_best_latency_exceeds_the_latency_objective(tmp_path):
    # With a best latency above the latency objective the slack was negative, and so was the overload: a congested fleet
    # admitted more requests.
    settings = copy.deepcopy(OTHER_SETTINGS)
    settings["Report"]["Columns"] = ["q"]
    run = PlatformRun(tmp_path, settings)
    run.run()
    decisions = run.program.event_loop.engine
    load = decisions.load
    started = decisions.report_clock.started_at
    load.best_latency = load.latency_objective * 1.5
    for host in decisions.hosts.values():
        host.recent_latency.value, host.recent_latency.mass = load.latency_objective * 4, 20.0
        host.in_flight, host.gauged_at, host.successes_per_second = 500.0, started + 400_000, 10.0
    load.update(started + 400_000)
    assert load.overload > 1


def test_throughput_is_read_from_the_settings_and_changes_no_other_setting():
    changed = read_service(
        {**SETTINGS, "FamilyInfo": {**SETTINGS["FamilyInfo"], "LinesPerS": 900.0}}
    )
    assert replace(changed, entries_per_second=0.0) == read_service(SETTINGS)
