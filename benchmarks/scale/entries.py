"""Bytes of entries and answers that grow with the hosts named in them, and the entries that restarts of hosts cost.

A list as the registry tells it at its start, all in one; the words of hosts that share a process, all in one; the marks
of hosts that drain, as each poll is answered. And each host drained, stopped, started and seen back by its own permit.
"""

import json

from ironfall.disruption import DisruptionRules, Ledger
from ironfall.disruption.settings import SECOND

SIZES = (8, 34, 136, 544)
BY = "hosts"
FIGURES = {
    "list_bytes": "B",
    "words_bytes": "B",
    "marks_bytes": "B",
    "restart_entries": "entries",
    "restart_marks": "changes",
}
LEFT_OUT = "No keepers, sockets or log; words once a second, leases and ticks are counted as rest and not here."
COUNTED = frozenset(FIGURES)
PROCESSES = 0
TENANTS = 4  # of a host: 115 tenants of a service with 34 hosts are 3.4 for each


def MEMORY_MB(size):
    return 60 + size * 0.01


class Played:
    """A ledger whose entries are counted, but those that come at rest too."""

    def __init__(self, hosts, chance):
        self.ledger, self.index, self.now, self.version = Ledger(), 0, 3_600 * SECOND, 0
        self.counted, self.marked, self.marks = 0, 0, []
        self.hosts = {f"host{n:05}": self.row(n, chance) for n in range(hosts)}
        free = [(scope, 1 << 30, 1_000_000) for scope in ("fleet", "directors")]
        self.do(
            "rules",
            rules=DisruptionRules(
                budgets=tuple(free),
                load_margin=0,
                reservation_age=1 << 40,
                max_unplanned_share=1_000_000,
            ).facts(),
        )
        self.list(self.hosts)
        self.do("join", director="d0", inc=1, zone="z0")
        self.do("hold", holder="h", inc=1)
        self.words()
        self.do("agents", hosts={name: self.agent(1, 1) for name in self.hosts})
        self.counted = self.marked = 0

    @staticmethod
    def row(n, chance):
        return {
            "zone": f"zone-{n % 3}",
            "kind": "8 cores",
            "strength": chance.randint(5_000, 9_999),
            "classes": 3,
            "tenants": [f"tenant-{n * TENANTS + k:06}" for k in range(TENANTS)],
            "ready": True,
            "token": 0,
            "started": 17_330_000_000_000,
        }

    def do(self, kind, **fields):
        self.index += 1
        self.counted += 1
        answer = json.loads(
            self.ledger.apply(self.index, json.dumps({"k": kind, "at": self.now} | fields).encode())
        )
        if "ok" not in answer:
            raise RuntimeError(f"{kind} was answered {answer}")
        before, self.marks = self.marks, list(self.ledger.drain_markers())
        self.marked += before != self.marks
        return answer

    def rest(self, kind, **fields):
        self.do(kind, **fields)
        self.counted -= 1

    def list(self, rows):
        self.version += 1
        self.do("list", v=self.version, hosts=rows)

    def words(self, **more):
        self.now += 1
        self.rest("words", directors={"d0": {"inc": 1, "n": self.now, "proxies": 1} | more})

    @staticmethod
    def agent(incarnation, number, **more):
        return {"inc": incarnation, "n": number, "up": True, "quiet": 60 * SECOND} | more

    def restart(self, number, name, stays=False):
        unit, row = f"host/{name}", self.hosts[name]

        def step(kind):
            self.do(kind, holder="h", inc=1, unit=unit, token=self.ledger.permits[unit].token)
            return self.ledger.permits[unit].token if unit in self.ledger.permits else 0

        self.rest("join", director="d0", inc=1, zone="z0")
        self.rest("hold", holder="h", inc=1)
        self.do("ask", holder="h", inc=1, n=number, units=[unit], length=60 * SECOND)
        self.rest("tick")
        token = step("drain")
        if stays:
            return
        self.list({name: row | {"ready": False, "token": token}})
        self.now += 6 * SECOND  # over `empty`, within a lease
        self.words(drained={name: token})
        self.rest("agents", hosts={name: self.agent(1, self.now, token=token)})
        token = step("out")
        self.rest("agents", hosts={name: self.agent(1, self.now + 1, up=False, token=token)})
        token = step("back")
        self.rest("agents", hosts={name: self.agent(2, self.now + 2, token=token)})
        self.list({name: row | {"token": token}})
        if unit in self.ledger.permits:
            raise RuntimeError(f"{unit} is not back but {self.ledger.permits[unit].state}")


def play(size, chance):
    played = Played(size, chance)
    for number, name in enumerate(played.hosts, 1):
        played.restart(number, name)
    restarts = {"restart_entries": played.counted, "restart_marks": played.marked}
    for number, name in enumerate(played.hosts, size + 1):
        played.restart(number, name, stays=True)
    marks = {"index": played.index, "marks": played.marks}
    listed = {"k": "list", "at": played.now, "v": 1, "hosts": played.hosts, "gone": []}
    words = {
        name: {"inc": 1, "n": (1 << 32) + 1, "up": True, "quiet": 0, "token": 0}
        for name in played.hosts
    }
    entry = {"k": "agents", "at": played.now, "hosts": words}
    sizes = {"list_bytes": listed, "words_bytes": entry, "marks_bytes": marks}
    return {
        name: len(json.dumps(one, separators=(",", ":"))) for name, one in sizes.items()
    } | restarts
