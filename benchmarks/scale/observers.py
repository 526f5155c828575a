"""Members behind observers: what the log, an observer and the leader bear each second, beside an entry for each word.

Zones of 76 directors and 592 hosts, two observers each; a virtual clock, a beat a second of every member.
"""

import json
import time

from ironfall.disruption import DisruptionRules, Ledger
from ironfall.disruption.settings import SECOND
from ironfall.membership import AggregatorRules, DigestCollector, HeartbeatAggregator

DIRECTORS, HOSTS = 76, 592
SIZES = tuple((DIRECTORS + HOSTS) * zones for zones in (2, 8, 32, 157))
BY = "members"
FIGURES = {
    "rest_entries": "1/s",
    "rest_report_bytes": "B/s",
    "drain_entries": "1/s",
    "drain_log_bytes": "B/s",
    "zone_entries": "entries",
    "storm_entries": "entries",
    "storm_s": "s",
    "leader_new_s": "s",
    "observer_ms_s": "ms/s",
    "leader_ms_s": "ms/s",
    "leader_drain_ms_s": "ms/s",
    "leader_peak_ms_s": "ms/s",
    "before_entries": "1/s",
    "before_ms_s": "ms/s",
    "before_log_bytes": "B/s",
}
COUNTED = frozenset(name for name, unit in FIGURES.items() if unit != "ms/s")
LEFT_OUT = "HTTP and JSON between member and observer, sockets, the agreement and disks: the pure parts alone."
PROCESSES = 0
RULES = DisruptionRules(
    hosts=200_000,
    directors=20_000,
    max_unplanned_share=1_000_000,
    budgets=(
        ("fleet", 10_000, 1_000_000),
        ("zone", 100, 1_000_000),
        ("directors", 1_000, 1_000_000),
    ),
)
DIRECTOR = {"proxies": 40, "binding": 5, "waiting": 0, "version": "1"}


def MEMORY_MB(size):
    return 60 + size * 0.004


class Fleet:
    def __init__(self, size):
        self.ledger, self.index, self.now, self.n = Ledger(), 0, 10**10, 0
        self.zones = [f"z{n}" for n in range(size // (DIRECTORS + HOSTS))]
        self.put("rules", rules=RULES.facts())
        self.observers = {
            f"{z}{x}": HeartbeatAggregator(
                f"{z}{x}",
                z,
                1,
                self.now,
                AggregatorRules(RULES.lease, RULES.drift, RULES.near_limit_share),
            )
            for z in self.zones
            for x in "ab"
        }
        self.members = {}
        for n, zone in enumerate(self.zones):
            hosts = [f"h{zone}-{i}" for i in range(HOSTS)]
            one = {
                "zone": zone,
                "kind": "k",
                "tenants": ["t"],
                "strength": 10,
                "classes": 1,
                "ready": True,
            }
            self.put("list", v=n + 1, hosts=dict.fromkeys(hosts, one))
            units = [
                *(f"director/d{zone}-{i}" for i in range(DIRECTORS)),
                *(f"host/{h}" for h in hosts),
            ]
            self.members[zone + "a"], self.members[zone + "b"] = units[::2], units[1::2]
        self.stamps, self.changed, self.inc, self.drained = dict.fromkeys(self.observers), 2, 1, {}
        self.lead()

    def lead(self):
        terms = {name: one.zone for name, one in self.observers.items()}
        self.collector = DigestCollector(self.index, self.now, terms, self.ledger)

    def put(self, kind, **fields):
        self.index += 1
        answer = json.loads(
            self.ledger.apply(self.index, json.dumps({"k": kind, "at": self.now} | fields).encode())
        )
        assert "ok" in answer, answer
        return answer["ok"]

    def beats(self, name):
        zone, beats = self.observers[name].zone, {}
        for unit in self.members[name]:
            beats[unit] = beat = {
                "inc": self.inc,
                "n": self.n,
                "changed": self.changed,
                "zone": zone,
                "quiet": 0,
            }
            if self.n == self.changed:
                beat["word"] = (
                    DIRECTOR | {"drained": self.drained}
                    if unit[0] == "d"
                    else {"up": True, "token": 0}
                )
        return {"beats": beats, "stamp": self.stamps[name], "since": SECOND - 100}

    def second(self, dead=()):
        self.now, self.n = self.now + SECOND, self.n + 1
        found = {"observer": 0.0, "leader": 0.0, "reports": 0, "entries": 0, "log": 0}
        for name, one in self.observers.items():
            if one.zone in dead:
                continue
            message, began = self.beats(name), time.thread_time()
            self.stamps[name] = one.on_heartbeats(self.now, message)["stamp"]
            report = one.make_report(self.now)
            said = json.dumps(report)
            found["observer"] += time.thread_time() - began
            found["reports"] += len(said)
            began = time.thread_time()
            answer = json.dumps(self.collector.report(self.now, json.loads(said)))
            found["leader"] += time.thread_time() - began
            one.on_report_answer(self.now, report, json.loads(answer))
        began = time.thread_time()
        self.put("tick")
        for entry in list(self.collector.digests(self.now, self.now)):
            found["entries"] += 1
            found["log"] += len(json.dumps(entry))
            self.put("digest", **{k: v for k, v in entry.items() if k != "k"})
        found["leader"] += time.thread_time() - began
        return found

    def settled(self):
        return not self.collector.dirty_units and all(
            state.is_complete for state in self.collector.aggregators.values()
        )


def until(fleet, most=120):
    """Seconds, entries and the most of the leader's time in one second, until all is known."""
    entries, peak = 0, 0.0
    for second in range(1, most):
        found = fleet.second()
        entries, peak = entries + found["entries"], max(peak, found["leader"])
        if second > 1 and fleet.settled():
            return second, entries, peak
    raise AssertionError(f"not known after {most} seconds")


def mean(fleet, seconds, dead=()):
    rows = [fleet.second(dead) for _ in range(seconds)]
    return {name: sum(row[name] for row in rows) / seconds for name in rows[0]}


def play(size, chance):
    fleet = Fleet(size)
    storm, storm_entries, storm_peak = until(fleet)
    assert sum(d.is_live for d in fleet.ledger.directors.values()) == DIRECTORS * len(fleet.zones)
    mean(fleet, 12)
    rest = mean(fleet, 10)
    fleet.lead()
    fleet.second()
    level, _, level_peak = until(fleet)
    mean(fleet, 10)
    fleet.put("hold", holder="s", inc=1)
    unit = "host/" + fleet.members[fleet.zones[-1] + "b"][-1][5:]
    fleet.put("ask", holder="s", inc=1, n=1, units=[unit], length=SECOND)
    token = fleet.put(
        "drain", holder="s", inc=1, unit=unit, token=fleet.ledger.permits[unit].token
    )["token"]
    fleet.drained, fleet.changed = {unit[5:]: token}, fleet.n + 1  # every director confirms
    drain = mean(fleet, 5)
    fleet.put("back", holder="s", inc=1, unit=unit, token=token)
    fleet.drained, fleet.changed = {}, fleet.n + 1
    mean(fleet, 3)
    lost = sum(fleet.second(fleet.zones[:1])["entries"] for _ in range(20))
    before = words(fleet)
    return {
        "rest_entries": rest["entries"],
        "rest_report_bytes": rest["reports"],
        "drain_entries": drain["entries"],
        "drain_log_bytes": drain["log"],
        "zone_entries": float(lost),
        "storm_entries": float(storm_entries),
        "storm_s": float(storm),
        "leader_new_s": float(level),
        "observer_ms_s": 1_000 * rest["observer"],
        "leader_ms_s": 1_000 * rest["leader"],
        "leader_drain_ms_s": 1_000 * drain["leader"],
        "leader_peak_ms_s": 1_000 * max(storm_peak, level_peak),
        **before,
    }


def words(fleet):
    """An entry for each member's word each second, as without observers: a hundredth of them is applied."""
    units = [unit for units in fleet.members.values() for unit in units]
    some, size, spent = units[:: max(1, len(units) // 600)], 0, 0.0
    for n, unit in enumerate(some):
        name, word = unit.partition("/")[2], {"inc": 9, "n": n + 1}
        if unit.startswith("director/"):
            fleet.put("join", director=name, inc=9, zone=fleet.ledger.directors[name].zone)
            entry = {
                "k": "words",
                "at": fleet.now,
                "directors": {name: word | {k: v for k, v in DIRECTOR.items() if k != "version"}},
            }
        else:
            entry = {
                "k": "agents",
                "at": fleet.now,
                "hosts": {name: word | {"up": True, "quiet": 0, "token": 0}},
            }
        packed = json.dumps(entry).encode()
        began = time.thread_time()
        fleet.index += 1
        fleet.ledger.apply(fleet.index, packed)
        spent, size = spent + time.thread_time() - began, size + len(packed)
    share = len(units) / len(some)
    return {
        "before_entries": float(len(units)),
        "before_ms_s": 1_000 * spent * share,
        "before_log_bytes": size * share,
    }
