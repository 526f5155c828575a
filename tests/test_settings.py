"""One customer's settings at another: nothing is kept beside an instance, no name means anything, and what the settings
leave out means what the page says."""

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
from tests.platform_rig import SETTINGS, Quiet

OTHER = {
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


class Served:
    """A director on the platform without its sockets: what it is told, by its own clock, and what it would send."""

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
        self.at, self.sent, self.chance = 100.0, [], random.Random(seed)
        self.settings, self.proxies = settings, min(6, settings["FamilyInfo"]["ProxyCount"])
        self.fails = lambda step, k: 9 if k == 3 and step > 100 else self.chance.randrange(2)
        self.hosts = [f"s-{n:02}" for n in range(hosts)]
        self.program = PlatformDirector(
            read_startup_config({"RELAY_CONFIG": str(path)}), Quiet(), lambda: self.at
        )
        self.program.event_loop.begin()
        self.step = 0

    def tenth(self):
        """A tenth of a second of a day that is the same for all, but for names."""
        it, n = self.program, self.step
        zones, classes = self.settings["Dcs"], [c["Name"] for c in self.settings["RequestClasses"]]
        self.step, self.at = n + 1, self.at + 0.1
        if n == 5 or n in (200, 260):
            gone = {260: self.hosts[:1]}.get(n, [])
            rows = [
                {
                    "id": h,
                    "locality": zones[k % len(zones)],
                    "size": 1.0,
                    "up_since_ms": 0,
                    "phase": "leaving" if n >= 200 and k < 2 else "active",
                }
                for k, h in enumerate(self.hosts)
                if h not in gone
            ]
            entries, whole = it.watch.apply({"revision": n, "complete": True, "members": rows})
            it.event_loop.put("listed", entries, whole, True)
        if n in (10, 240):
            for proxy in range(self.proxies):
                it.on_proxy_joined(proxy, proxy % len(zones), 20.0)
                it.streams.attached.add(proxy)
        for k, host in enumerate(self.hosts if n % 10 == 3 and n > 20 else ()):
            failed = self.fails(n, k)
            rtt, queue = 80 + 10 * k + self.chance.randrange(20), 4 + (60 if 120 < n < 180 else 0)
            self.line(
                f"upstream_stats locality={zones[k % len(zones)]} endpoint={host} total=12 errors={failed} "
                f"rtt={rtt} interval=1000 metrics=queue:{queue}"
            )
        for proxy in range(self.proxies if n % 10 == 4 else 0):
            for name in classes:
                self.line(f"client_stats node={proxy} route={name} total=30 errors=1 interval=1000")
        it.event_loop.step()
        while orders := it.outbox.next_call():
            self.sent.append([json.loads(order) for order in orders])
            nonce = it.outbox.in_flight_nonce
            it.outbox.complete(len(orders))
            for proxy in range(self.proxies if nonce is not None else 0):
                it.on_nonce_confirmed(proxy, nonce)

    def line(self, text):
        self.program.listener._handle_line(None, text.encode())

    def day(self):
        while self.step < 400:
            self.tenth()
        return self.sent


@pytest.mark.parametrize("first, second", [(SETTINGS, OTHER), (OTHER, SETTINGS)])
def test_two_directors_side_by_side_give_what_each_gives_alone(tmp_path, first, second):
    alone = [Served(tmp_path, first).day(), Served(tmp_path, second, "77").day()]
    one, other = Served(tmp_path, first), Served(tmp_path, second, "77")
    while one.step < 400:
        one.tenth()
        other.tenth()
    assert json.dumps([one.sent, other.sent]) == json.dumps(alone)
    assert all(sum(map(len, sent)) > 40 for sent in alone)


@pytest.mark.parametrize("settings", [SETTINGS, OTHER])
def test_other_names_that_sort_alike_give_the_same_orders_under_those_names(tmp_path, settings):
    usual, renamed = Served(tmp_path, settings), copy.deepcopy(settings)
    renamed["Dcs"] = [f"zone-{n}" for n in range(len(settings["Dcs"]))]
    for n, kind in enumerate(renamed["RequestClasses"]):
        kind["Name"] = f"class-{n}"
    other = Served(tmp_path, renamed)
    other.hosts = [f"host-{n:02}.other" for n in range(len(other.hosts))]
    names = dict(zip(other.hosts, usual.hosts, strict=True))
    names |= {f"class-{n}": kind["Name"] for n, kind in enumerate(settings["RequestClasses"])}

    def back(order):
        order = {**order, "endpoint": names[order["endpoint"]]} if "endpoint" in order else order
        return (
            {**order, "routes": [names[r] for r in order["routes"]]} if "routes" in order else order
        )

    assert [[back(order) for order in call] for call in other.day()] == usual.day()


class Standing:
    """What proxies hold by the orders sent: lines of tables, hosts that are out, the tables of each proxy's classes."""

    def __init__(self, it):
        self.it, self.lines, self.out, self.tables, self.read = it, {}, set(), {}, 0

    def look(self):
        names = [kind["Name"] for kind in self.it.settings["RequestClasses"]]
        for call in self.it.sent[self.read :]:
            for order in call:
                if order["verb"] == "SET":
                    self.lines[order["cluster"], order["endpoint"]] = order["w"]
                elif order["verb"] in ("OUT", "IN"):
                    (self.out.add if order["verb"] == "OUT" else self.out.discard)(
                        order["endpoint"]
                    )
                elif order["verb"] == "USE":
                    self.tables |= {
                        (order["node"], name): order["cluster"]
                        for name in order.get("routes", names)
                    }
        self.read = len(self.it.sent)

    def zones(self, proxy, name):
        """Of the hosts that a proxy may pick for a class; none where it was not bound for it."""
        count, table = len(self.it.settings["Dcs"]), self.tables.get((proxy, name))
        return {
            self.it.hosts.index(host) % count
            for (t, host), w in self.lines.items()
            if t == table and w and host not in self.out
        }


def home_only(settings, *names):
    settings = copy.deepcopy(settings)
    settings["FamilyInfo"]["HomeOnly"] = [
        kind["Name"] in names for kind in settings["RequestClasses"]
    ]
    return settings


@pytest.mark.parametrize(
    "settings, name", [(SETTINGS, "order"), (SETTINGS, "lookup"), (OTHER, "deed")]
)
def test_a_class_that_keeps_to_the_proxys_zone_is_never_named_a_host_of_another(
    tmp_path, settings, name
):
    # The rule on places: its requests went wherever the tables of all classes led.
    it = Served(tmp_path, home_only(settings, name))
    standing, others = Standing(it), set()
    while it.step < 400:
        it.tenth()
        standing.look()
        for proxy in range(it.proxies):
            assert standing.zones(proxy, name) <= {proxy % len(settings["Dcs"])}
            names = [kind["Name"] for kind in settings["RequestClasses"]]
            others |= {one for one in names if len(standing.zones(proxy, one)) > 1}
    assert all(standing.zones(proxy, name) for proxy in range(it.proxies))
    assert others == {kind["Name"] for kind in settings["RequestClasses"]} - {name}


def test_evidence_never_leaves_a_class_that_keeps_to_its_zone_without_a_host_for_long(tmp_path):
    it = Served(tmp_path, home_only(SETTINGS, "order"), hosts=9)
    it.fails = lambda step, k: (
        12 if k % 2 and step > 100 else 0
    )  # all of the second zone, fewer than half of the fleet
    standing, bare, longest = Standing(it), dict.fromkeys(range(it.proxies), 0), 0
    while it.step < 400:
        it.tenth()
        standing.look()
        for proxy in range(it.proxies):
            bound = (proxy, "order") in standing.tables
            bare[proxy] = bare[proxy] + 1 if bound and not standing.zones(proxy, "order") else 0
            longest = max(longest, bare[proxy])
    assert longest <= 10  # tenths of a second, of 20 allowed


def test_who_joins_while_its_zone_has_no_host_does_not_go_on_by_what_it_came_with(tmp_path):
    it = Served(tmp_path, home_only(SETTINGS, "order"))
    while it.step < 100:
        it.tenth()
    entries, whole = it.program.watch.apply(
        {
            "revision": 9,
            "complete": True,
            "members": [
                {"id": h, "locality": "lagos", "size": 1.0, "up_since_ms": 0, "phase": "active"}
                for h in it.hosts[::2]
            ],
        }
    )
    it.program.event_loop.put("listed", entries, whole, True)
    for proxy in (1, 3):
        it.program.on_proxy_joined(proxy, 1, 20.0)
    joined, standing = len(it.sent), Standing(it)
    while it.step < 180:
        it.tenth()
    standing.read = joined
    standing.look()
    assert (1, "order") in standing.tables and not standing.zones(1, "order")
    assert standing.zones(1, "lookup") == {0}


# the drill, many instances in one process


def record(form, *fields):
    return struct.pack(form, *fields).ljust(EVENT_RECORD_BYTES, b"\0")


def frame(bench, number, events):
    """`events`: by instance, its records, each made when it is known where its part of the tail begins, and that part;
    the reply's records by instance."""
    body, tail = b"", b""
    for records, more in events.values():
        body += b"".join(make(len(tail)) for make in records)
        tail += more
    reply = bench.handle_frame(
        number, 1000.0 * number, len(body) // EVENT_RECORD_BYTES, body + tail
    )
    count, found = REPLY_HEADER.unpack_from(reply)[1], {}
    for at in range(
        REPLY_HEADER.size, REPLY_HEADER.size + ORDER_RECORD_BYTES * count, ORDER_RECORD_BYTES
    ):
        found.setdefault(int.from_bytes(reply[at + 1 : at + 3], "big"), []).append(
            reply[at : at + ORDER_RECORD_BYTES]
        )
    return found


def happenings(it, settings, number, chance):
    def host(n):
        return struct.pack(">IH", 0x0A000000 + n, 8000)

    if number == 1:
        told = json.dumps(settings).encode()
        return [lambda at: record(">BHQII", 29, it, it, at, len(told))], told
    zones, classes = len(settings["Dcs"]), len(settings["RequestClasses"])
    if number in (2, 12):
        entries = b"".join(
            HOST_ENTRY.pack(host(n), n % zones, 0, 0, 2 if number == 12 and n < 2 else 1, 1.0, 0.0)
            for n in range(6)
        )
        return [
            lambda at: record(">BBII", 19, it, at, len(entries) // HOST_ENTRY_BYTES),
            lambda _: record(">BHBQB", 21, it, 3, number, it),
        ], entries
    made = [record(">BHI", 25, it, 0)]
    if number == 3:
        made += [
            record(">BH", 20, it)[:3] + PROXY_JOINED.pack(p, p % zones, 9.0, 0) for p in range(4)
        ]
    for n in range(6):
        about = (n % zones, host(n), 10, chance.randrange(8), 90.0, 1000.0, 0, 0.0, 0.0, 0.0, 0.0)
        made.append(record(">BH", 18, it)[:3] + UPSTREAM_REPORT.pack(*about))
    made += [
        record(">BH", 24, it)[:3] + REQUEST_REPORT.pack(30, 2, p, k, 1000.0)
        for p in range(4)
        for k in range(classes)
    ]
    return [lambda _, one=one: one.ljust(EVENT_RECORD_BYTES, b"\0") for one in made], b""


def test_instances_of_the_drill_with_other_settings_give_what_each_gives_alone():
    def played(which):
        bench, chances, found = (
            Instances(),
            {i: random.Random(i) for i in which},
            {i: [] for i in which},
        )
        for number in range(1, 60):
            events = {i: happenings(i, which[i], number, chances[i]) for i in which}
            reply = frame(bench, number, events)
            for i in which:
                found[i] += reply.get(i, [])
        return found

    both = {1: SETTINGS, 2: OTHER, 3: SETTINGS}
    together = played(both)
    for i, settings in both.items():
        assert together[i] == played({i: settings})[i] and len(together[i]) > 60


# what is left out


def least(**more):
    return {
        "Dcs": ["a"],
        "RequestClasses": [{"Name": "x", "Aim": 100.0, "Deadline": 300.0}],
        **more,
    }


def test_settings_that_are_left_out_mean_what_the_page_says():
    terms = read_service(least(FamilyInfo={"ProxyCount": 3}))
    assert (
        terms.message_limit == 0
        and not terms.admits
        and not terms.health_checks_allowed
        and not terms.requests_host_list
    )
    assert terms.gauges == () and terms.cross_zone_price == 0.0 and terms.entries_per_second == 0.0
    assert terms.slow_start_time == 0 and terms.classes[0] == RequestClass(
        1000, 3000, 1.0, "never", "", 0
    )
    assert read_service(least(Report={"Columns": None})).gauges == ()
    assert read_service(least(FamilyInfo={"ThrottleBy": "per_second"})).admits is False
    assert read_service(least(Contract={"AskWithin": 5.0}, New={"key": 1})).drain_grace == 10_000


def test_a_class_with_no_expected_time_of_its_own_starts_a_director(tmp_path):
    # Its aim may grow with the work alone; earnings by work were divided by nought, and the director did not start.
    settings = copy.deepcopy(SETTINGS)
    settings["RequestClasses"][0] |= {"Aim": 0.0, "AimStretch": 4.0}
    assert sum(map(len, Served(tmp_path, settings).day())) > 40


def test_where_hosts_take_longer_than_the_expected_time_strain_is_no_less_for_it(tmp_path):
    # What an answer takes at best was past the expected time of tight classes: the time left was below nought, and
    # strain with it, so that a jam let in more.
    settings = copy.deepcopy(OTHER)
    settings["Report"]["Columns"] = ["q"]
    it = Served(tmp_path, settings)
    it.day()
    decisions = it.program.event_loop.decisions
    load = decisions.load
    started = decisions.report_clock.started_at
    load.best_latency = load.latency_objective * 1.5
    for host in decisions.hosts.values():
        host.recent_latency.value, host.recent_latency.mass = load.latency_objective * 4, 20.0
        host.in_flight, host.gauged_at, host.successes_per_second = 500.0, started + 400_000, 10.0
    load.update(started + 400_000)
    assert load.overload > 1


def test_nothing_in_the_terms_is_a_figure_of_one_site():
    alike = read_service({**SETTINGS, "FamilyInfo": {**SETTINGS["FamilyInfo"], "LinesPerS": 900.0}})
    assert replace(alike, entries_per_second=0.0) == read_service(SETTINGS)
