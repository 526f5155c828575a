"""A turn's length at 120 hosts and 315 proxies, and the bytes of one changed line in tables of several sizes.

The live turn loop with its publication and channel, on a clock that is stepped; sums and acknowledgements of
simulated proxies. No sockets.
"""

import json
import random
import time

import structlog

from benchmarks.common import TERMS
from ironfall.api import codec
from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.events import EventKind
from ironfall.director.clock import Clock
from ironfall.director.long_poll_director import LongPollDirector
from ironfall.director.report_aggregation import ZoneHost
from ironfall.director.report_weighting import UpstreamReport
from ironfall.publication import Publication
from ironfall.terms import read_terms

HOSTS, PROXIES, SECONDS = 120, 315, 60


class Nothing:
    def watch_hosts(self):
        pass

    def health_check(self, host):
        pass

    def forget(self, host):
        pass


def turns():
    text = TERMS.format(registry=1, port=1, proxies=PROXIES, pace=20_000, queue=30_000)
    terms = read_terms("measured", text)
    at, chance = [1000.0], random.Random(1)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    live = LongPollDirector(
        terms, 1, Clock(lambda: at[0]), 1, DecisionEngine, structlog.get_logger()
    )
    live.tasks = Nothing()
    live.engine = DecisionEngine(live.orders, terms.service, random.Random(1), live.batch_time)
    rows = [
        {"name": f"h{n}", "address": f"127.0.0.{n + 1}:1", "zone": "abc"[n % 3], "state": "ready"}
        for n in range(HOSTS)
    ]
    live.put(EventKind.HOST_LIST, live.host_list.read(live.batch_time, rows, True), True, True)
    ids = list(live.host_list.names)
    for n in range(PROXIES):
        session = live.sessions.open(live.batch_time, str(n), f"p{n}", n % 3, 0)
        live.publication.join(session.number)
        live.report_aggregation.on_proxy_joined(session.number, 3.0)
        live.put(EventKind.PROXY_JOINED, session.number, n % 3, 3.0)
    live.clock.monotonic = time.monotonic  # a turn's length is measured on the real clock
    lengths = []
    for step in range(SECONDS * 20):
        now = 10_000_000 + step * 500
        for session in live.sessions.by_token.values():
            if session.unconfirmed and chance.random() < 0.5:
                for message in live.sessions.confirm(session, session.released):
                    live.on_message_confirmed(message)
        for _ in range(PROXIES // 20):  # each proxy reports once a second, of a third of the hosts
            proxy = chance.randrange(PROXIES)
            zone = proxy % 3
            for host in chance.sample(ids, 40):
                # Of many speeds, some failing by turns: weights move and hosts come and go all the while.
                place = ids.index(host)
                failed = chance.random() < (0.7 if place % 20 == step // 200 % 20 else 0.02)
                took = (600.0 + 20 * place) * (0.8 + 0.4 * chance.random()) * (not failed)
                report = UpstreamReport(1, failed, took, {"q": chance.random() * 4})
                key = ZoneHost(zone, host)
                live.report_aggregation.add_upstream(now, 10_000, proxy, key, report)
            live.report_aggregation.add_downstream(proxy, 0, 3, 0)
        begun = time.perf_counter()
        live.run_batch(now)
        live.sink.send_due(now)
        lengths.append(time.perf_counter() - begun)
    lengths.sort()
    print(
        json.dumps(
            {
                "hosts": HOSTS,
                "proxies": PROXIES,
                "turns": len(lengths),
                "versions": live.publication.version,
                "p50_ms": round(lengths[len(lengths) // 2] * 1000, 2),
                "p99_ms": round(lengths[int(0.99 * len(lengths))] * 1000, 2),
                "longest_ms": round(lengths[-1] * 1000, 2),
            }
        )
    )


def sizes():
    for size in (30, 120, 1_000):
        publication = Publication(1_764_600_000_000_000, 2)
        publication.join(0)
        for n in range(size):
            publication.set_weight(0, f"node{n}@127.0.{n // 250}.{n % 250}:9000", 1.0)
        publication.assign(0, 0, 0)
        publication.close()
        publication.set_weight(0, "node7@127.0.0.7:9000", 0.731)
        publication.close()
        row = {"lines": size}
        for what, start in (("changed", 1), ("whole", -1)):
            state = codec.pack_state(publication.delta(0, start, 2), [(2, 900, 8)])
            row[what] = len(codec.encode(state, codec.PROTOBUF)[0])
            row[f"{what}_zstd"] = len(codec.encode(state, codec.PROTOBUF, "zstd")[0])
        print(json.dumps(row))


if __name__ == "__main__":
    turns()
    sizes()
