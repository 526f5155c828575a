"""Ledgers at a size, without keepers: built by entries alone, their walks counted and their entries timed."""

import functools
import json
import statistics
import time
import tracemalloc
from collections import OrderedDict

from ironfall.disruption import DisruptionRules, Ledger
from ironfall.disruption.settings import SECOND

# The fleet asked for: 93,000 hosts in 157 zones and 2,700 services of 34 hosts and 115 tenants; 8,100 restarts a day,
# of ten minutes each, are 56 permits open at any time.
ZONE, SERVICE, TENANTS, KINDS = 592, 34, 115, 16
OPEN = 56 / 93_000
LISTED = 8_000  # hosts an entry
ENTRIES, SPENT = 200, 0.5  # of one kind that are timed: so many, or for so many seconds


class Walks:
    """How many records were walked over, in all tables that share it."""

    def __init__(self):
        self.count = 0


class Walked(dict):
    """Counts each record handed out by a walk; what is looked up by its name is not walked over."""

    def __init__(self, held, walks):
        super().__init__(held)
        self.walks = walks

    def _each(self, walk):
        for one in walk:
            self.walks.count += 1
            yield one

    def __iter__(self):
        return self._each(super().__iter__())

    def keys(self):
        return self._each(super().keys())

    def values(self):
        return self._each(super().values())

    def items(self):
        return self._each(super().items())


class WalkedInOrder(OrderedDict):
    """The same of a table that keeps an order; it is walked by `values` alone."""

    walks = Walks()

    def values(self):
        for one in super().values():
            self.walks.count += 1
            yield one


class Fleet:
    """`tenants`, `zones`: of the whole fleet; none given: those of its services, and as many as so many hosts have."""

    def __init__(self, hosts, directors, tenants=0, zones=0):
        self.ledger, self.index, self.now, self.number = Ledger(), 0, 36_000 * SECOND, 0
        half = 500_000
        rules = DisruptionRules(
            budgets=(
                ("fleet", 1 << 30, 100_000),
                ("zone", 1 << 30, 200_000),
                ("kind", 1 << 30, 200_000),
                ("tenant", 1 << 30, half),
                ("directors", 1 << 30, 100_000),
            ),
            hosts=max(16_384, hosts),
            directors=max(4_096, directors),
            begin_timeout=86_400 * SECOND,
        )
        self.do("rules", rules=rules.facts())
        for kind in range(4):
            self.do("load", **{"class": kind}, hours=[hosts * 5] * 24)
        self.hosts = [f"h{n}" for n in range(hosts)]
        self.directors = [f"d{n}" for n in range(directors)]
        zones = zones or -(-hosts // ZONE)
        for n, name in enumerate(self.directors):
            assert "ok" in self.do("join", director=name, inc=1, zone=f"z{n % zones}")
        for start in range(0, directors, 1_000):
            said = {name: self.word() for name in self.directors[start : start + 1_000]}
            assert self.do("words", directors=said) == {"ok": True}
        for start in range(0, hosts, LISTED):
            lines = {
                f"h{n}": self.line(n, zones, tenants)
                for n in range(start, min(hosts, start + LISTED))
            }
            assert "ok" in self.do("list", v=start + 1, hosts=lines)
        self.do("hold", holder="work", inc=1)
        # Far apart, so that no scope is short. One drains, the others are to begin.
        count = max(1, round(hosts * OPEN))
        units = [f"host/h{n * (hosts // count)}" for n in range(count)]
        answer = self.do("ask", holder="work", inc=1, n=1, units=units, length=600 * SECOND)
        assert answer["ok"]["state"] == dict.fromkeys(units, "granted"), answer
        assert "ok" in self.do(
            "drain", holder="work", inc=1, unit=units[0], token=answer["ok"]["token"]
        )

    def line(self, n, zones, tenants):
        service, place = divmod(n, SERVICE)
        own = [
            f"t{service}-{t}"
            for t in range(TENANTS)
            if place in (t % SERVICE, (t + SERVICE // 2) % SERVICE)
        ]
        if tenants:
            own = sorted({f"t{t % tenants}" for t in range(7 * n, 7 * n + 7)})
        return {
            "zone": f"z{n % zones}",
            "kind": f"k{n % KINDS}",
            "tenants": own,
            "strength": 100,
            "classes": 15,
            "ready": True,
            "token": 0,
            "started": 0,
        }

    def word(self):
        self.number += 1
        return {
            "inc": 1,
            "n": self.number,
            "proxies": 8,
            "binding": 40,
            "waiting": 20,
            "bare": 0,
            "refused": 0,
            "fulfilled": 1_000_000,
            "near": 0,
            "drained": {},
            "silent": [],
            "leaving": False,
            "token": 0,
        }

    def entry(self, kind, **fields):
        return json.dumps({"k": kind, "at": self.now} | fields, separators=(",", ":")).encode()

    def do(self, kind, **fields):
        self.index += 1
        return json.loads(self.ledger.apply(self.index, self.entry(kind, **fields)))

    # entries of one second of calm

    def agent(self, n):
        """One host's word, as its agent says it each second."""
        self.number += 1
        word = {"inc": 1, "n": self.number, "up": True, "quiet": 0, "token": 0}
        return self.entry("agents", hosts={self.hosts[n * 7_919 % len(self.hosts)]: word})

    def said(self, n):
        return self.entry(
            "words", directors={self.directors[n * 7_919 % len(self.directors)]: self.word()}
        )

    def tick(self, _n):
        self.now += SECOND
        return self.entry("tick")

    def changed(self, n):
        """A host whose line of the list changes: it starts anew."""
        name = self.hosts[n * 7_919 % len(self.hosts)]
        host = self.ledger.hosts[name]
        line = {
            "zone": host.zone,
            "kind": host.kind,
            "tenants": host.tenants,
            "strength": host.capacity,
            "classes": host.class_mask,
            "ready": True,
            "token": host.marker_token,
            "started": 1 + n,
        }
        return self.entry("list", v=self.ledger.state.list_version + 1, hosts={name: line})

    def timed(self, entry):
        """The median's microseconds of processor time, of entries that are all applied."""
        took, until = [], time.process_time() + SPENT
        while len(took) < ENTRIES and (len(took) < 5 or time.process_time() < until):
            data = entry(len(took))
            self.index += 1
            began = time.process_time()
            answer = self.ledger.apply(self.index, data)
            took.append(time.process_time() - began)
            assert answer.startswith(b'{"ok":'), answer
        return statistics.median(took) * 1e6

    def walked(self, entry):
        """Records of any table that one entry walks over, the second time that it comes."""
        ledger, state, walks = self.ledger, self.ledger.state, Walks()
        tables = ("hosts", "directors", "holders", "permits", "halts", "halt_history")
        for name in tables:
            setattr(state, name, Walked(getattr(state, name), walks))
        state.scopes.counts = Walked(state.scopes.counts, walks)
        state.requests = WalkedInOrder(state.requests)
        state.requests.walks = walks
        try:
            for n in range(2):
                walks.count = 0
                self.index += 1
                answer = ledger.apply(self.index, entry(n))
                assert answer.startswith(b'{"ok":'), answer
            return walks.count
        finally:
            for name in tables:
                setattr(state, name, dict(dict.items(getattr(state, name))))
            state.scopes.counts = dict(dict.items(state.scopes.counts))
            state.requests = OrderedDict(OrderedDict.items(state.requests))


@functools.lru_cache(1)
def memory(hosts, directors, tenants=0):
    """Bytes that a ledger takes up. Traced, which takes longer than all that is timed: once for all repeats."""
    tracemalloc.start()
    fleet = Fleet(hosts, directors, tenants)
    whole = tracemalloc.get_traced_memory()[0]
    fleet.ledger = None
    size = whole - tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def packed(fleet):
    """Milliseconds of a snapshot, its bytes, milliseconds until another ledger stands as it says."""
    began = time.process_time()
    snapshot = fleet.ledger.snapshot()
    middle = time.process_time()
    other = Ledger()
    other.restore(snapshot)
    ended = time.process_time()
    assert other.index == fleet.ledger.index
    return (middle - began) * 1e3, len(snapshot), (ended - middle) * 1e3
