"""Entries that the ledger applies a second of processor time, by kind, and its memory: 1,000 hosts, 230 directors, 50
tenants.

    python -m benchmarks.permits
"""

import json
import random
import sys
import time
import tracemalloc

from ironfall.disruption import DisruptionRules, Ledger
from ironfall.disruption.settings import SECOND

HOSTS, DIRECTORS, TENANTS, OPEN, WAITING = 1_000, 230, 50, 60, 500


class Bench:
    def __init__(self):
        self.ledger, self.index, self.now, self.chance, self.n = (
            Ledger(),
            0,
            3_600 * SECOND,
            random.Random(1),
            0,
        )
        self.times, self.sizes = {}, {}
        rules = DisruptionRules(
            budgets=(
                ("fleet", 1 << 30, 100_000),
                ("zone", 50, 1_000_000),
                ("kind", 1 << 30, 300_000),
                ("tenant", 30, 1_000_000),
                ("directors", 20, 1_000_000),
            ),
            max_unplanned_share=500_000,
        )
        self.do("rules", rules=rules.facts())
        for kind in range(4):
            self.do("load", **{"class": kind}, hours=[15_000] * 24)
        self.lines = {
            f"h{n}": {
                "zone": f"z{n % 8}",
                "kind": f"k{n % 4}",
                "tenants": [f"t{n % TENANTS}", f"t{n * 7 % 49 + 1}"],
                "strength": 100,
                "classes": 15,
                "ready": True,
            }
            for n in range(HOSTS)
        }
        for one in self.lines.values():
            one["tenants"] = sorted(set(one["tenants"]))
        self.do("list", v=1, hosts=self.lines)
        for n in range(DIRECTORS):
            self.do("join", director=f"d{n}", inc=1, zone=f"z{n % 8}")
        for n in range(10):
            self.do("hold", holder=f"s{n}", inc=1)
        self.do("words", directors={f"d{n}": self.word() for n in range(DIRECTORS)})

    def word(self, **more):
        self.n += 1
        word = {
            "proxies": 8,
            "binding": 40,
            "waiting": 20,
            "refused": 1_000,
            "fulfilled": 990_000,
            "near": 300_000,
        }
        return {"inc": 1, "n": self.n} | word | more

    def do(self, kind, as_kind="", **fields):
        self.index += 1
        entry = json.dumps({"k": kind, "at": self.now} | fields).encode()
        begun = time.process_time()
        answer = self.ledger.apply(self.index, entry)
        self.times.setdefault(as_kind or kind, []).append(time.process_time() - begun)
        self.sizes[as_kind or kind] = len(entry)
        return json.loads(answer)

    def step(self, kind, unit):
        permit = self.ledger.permits[unit]
        return self.do(kind, holder=permit.holder, inc=1, unit=unit, token=permit.token)

    def ask(self, number, host):
        self.do(
            "ask",
            holder=f"s{number % 10}",
            inc=1,
            n=number,
            units=[f"host/{host}"],
            length=600 * SECOND,
        )

    def run(self):
        hosts = list(self.lines)
        self.chance.shuffle(hosts)
        number = 0
        for second in range(60):
            self.now += SECOND
            for n in range(DIRECTORS):
                if (n + second) % 3 == 0:
                    self.do("join", director=f"d{n}", inc=1, zone=f"z{n % 8}")
            for n in range(10):
                self.do("hold", holder=f"s{n}", inc=1)
            while len(self.ledger.permits) < OPEN and len(self.ledger.requests) < 50 and hosts:
                number += 1
                self.ask(number, hosts.pop())
            for unit in [u for u, p in self.ledger.permits.items() if p.state == "granted"][:20]:
                self.step("drain", unit)
            drained = {
                u[5:]: p.token
                for u, p in self.ledger.permits.items()
                if p.state in ("draining", "empty")
            }
            self.do(
                "words",
                "words of all directors",
                directors={f"d{n}": self.word(drained=drained) for n in range(DIRECTORS)},
            )
            for n in range(20):
                self.do(
                    "words",
                    "words of one director",
                    directors={f"d{n}": self.word(drained=drained)},
                )
            self.do(
                "agents",
                "agents of 1,000 hosts",
                hosts={
                    h: {"inc": 1, "n": self.now, "up": True, "quiet": 10 * SECOND}
                    for h in self.lines
                },
            )
            for unit in [u for u, p in self.ledger.permits.items() if p.state == "empty"][:10]:
                self.step("out", unit)
            for unit in [u for u, p in self.ledger.permits.items() if p.state == "out"][:10]:
                self.step("back", unit)
            for unit in [
                u for u, p in self.ledger.permits.items() if p.state in ("returning", "undoing")
            ]:
                token = self.ledger.permits[unit].token
                self.do(
                    "agents",
                    "agents of one host",
                    hosts={unit[5:]: {"inc": 1, "n": self.now + 1, "up": True, "token": token}},
                )
                line = self.lines[unit[5:]] | {"token": token}
                self.do("list", "list, one host", v=self.index, hosts={unit[5:]: line})
                if len(hosts) < 100:
                    hosts.append(unit[5:])
            self.do("tick")
        while len(self.ledger.requests) < WAITING and hosts:
            number += 1
            self.ask(number, hosts.pop())
        for _ in range(20):
            self.now += SECOND
            self.ledger.state.requests_settled = False
            self.do("tick", f"tick that serves {len(self.ledger.requests)} asks")


def main():
    tracemalloc.start()
    held = Bench()
    held.run()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    bench = Bench()
    bench.times.clear()
    bench.run()
    rows = []
    for kind, times in bench.times.items():
        times.sort()
        rows.append(
            {
                "entry": kind,
                "bytes": bench.sizes[kind],
                "applied": len(times),
                "a second": round(len(times) / sum(times)),
                "p50 ms": round(times[len(times) // 2] * 1e3, 3),
                "p99 ms": round(times[len(times) * 99 // 100] * 1e3, 3),
            }
        )
    begun = time.process_time()
    packed = bench.ledger.snapshot()
    middle = time.process_time()
    Ledger().restore(packed)
    ended = time.process_time()
    json.dump(
        {
            "rows": rows,
            "permits open": len(bench.ledger.permits),
            "asks waiting": len(bench.ledger.requests),
            "memory MiB": round(memory / 2**20, 2),
            "snapshot KiB": len(packed) // 1024,
            "snapshot ms": round((middle - begun) * 1e3, 1),
            "restore ms": round((ended - middle) * 1e3, 1),
        },
        sys.stdout,
        indent=1,
    )


if __name__ == "__main__":
    main()
