"""The proxy on a request's way, by exchanges a second: what it adds to going to the host directly, and its time.

Open loop at an even pace over loopback; the host answers at once. By turns the same exchanges go to the host directly
and through the proxy, a process of its own; each is timed from its sending. Added is the difference of the percentiles,
the middle one of some turns, and holds one hop more over loopback with its waking of a process.
"""

import os
import statistics
import tempfile
import time
from pathlib import Path

import gevent
from gevent import socket

from benchmarks.common import TERMS, Process, Registry, free_port, percentile
from benchmarks.scale._machine import Spans, cores, yardstick_on
from ironfall.api.exchange import frame, frames
from ironfall.generated import ironfall_pb2 as pb
from tests.rig import until

SIZES = (50, 125, 320, 800)
BY = "exchanges a second"
FIGURES = {
    "added_ms_p50": "ms",
    "added_ms_p99": "ms",
    "direct_ms_p99": "ms",
    "cpu_us_exchange": "us",
    "cpu_ms_s": "ms/s",
    "yardstick_ms": "ms",
}
LEFT_OUT = "A director and its reports; one host, one line in the table, small exchanges over eight connections."
PROCESSES = 2
CONNECTIONS, TURNS, SECONDS = 8, 3, 2.0


def MEMORY_MB(_size):
    return 200


class Load:
    def __init__(self, port):
        self.out, self.waits, self.last = {}, [], 0
        self.socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]
        for sock in self.socks:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reading = [gevent.spawn(self._read, sock) for sock in self.socks]

    def _read(self, sock):
        for one in frames(sock):
            if one.answer.outcome != pb.FULFILLED:
                raise RuntimeError(f"an exchange was not fulfilled: {one.answer.cause}")
            self.waits.append(1000 * (time.monotonic() - self.out.pop(one.answer.id)))

    def run(self, rate, seconds):
        begun = time.monotonic()
        for n in range(round(rate * seconds)):
            gevent.sleep(max(0, begun + n / rate - time.monotonic()))
            self.last += 1
            data = frame(
                exchange=pb.Exchange(id=self.last, kind=0, token=self.last, key=7, left_ms=4000)
            )
            self.out[self.last] = time.monotonic()
            self.socks[n % CONNECTIONS].sendall(data)
        until(lambda: not self.out)

    def close(self):
        gevent.killall(self.reading)
        for sock in self.socks:
            sock.close()


def cpu_ms(process):
    return int(Path(f"/proc/{process.process.pid}/schedstat").read_text().split()[0]) / 1e6


def play(size, chance):
    registry, usual_cores = Registry(1), os.sched_getaffinity(0)
    core, rest = cores()
    far, near = free_port(), free_port()
    registry.rows[0].update(address=f"127.0.0.1:{far}", zone="a")
    path = Path(tempfile.mkdtemp(prefix="ironfall-scale-")) / "through.sexp"
    path.write_text(
        TERMS.format(registry=registry.port, port=free_port(), proxies=1, pace=10_000, queue=10_000)
    )
    os.sched_setaffinity(0, rest)
    try:
        with (
            Process("-m", "benchmarks.through", "--host", str(far), port=far),
            Process(
                "-m", "ironfall", "proxy", str(path), "--as", f"p1,a,10,127.0.0.1:{near}", port=near
            ) as proxy,
        ):
            os.sched_setaffinity(proxy.process.pid, {core})
            return measure(size, Load(far), Load(near), proxy, core)
    finally:
        registry.server.stop(0)
        os.sched_setaffinity(0, usual_cores)


def measure(rate, direct, through, proxy, core):
    spans = Spans(lambda: yardstick_on(core))
    for load in (direct, through):
        load.run(rate, 0.5)
        load.waits.clear()

    def turn():
        before = cpu_ms(proxy)
        through.run(rate, SECONDS)
        cpu = cpu_ms(proxy) - before
        return {"cpu_us_exchange": 1000 * cpu / round(rate * SECONDS), "cpu_ms_s": cpu / SECONDS}

    added = []
    for _ in range(TURNS):
        direct.run(rate, SECONDS)
        spans.take(turn)
        added.append(
            {
                f"added_ms_{name}": percentile(through.waits, part) - percentile(direct.waits, part)
                for name, part in (("p50", 0.5), ("p99", 0.99))
            }
            | {"direct_ms_p99": percentile(direct.waits, 0.99)}
        )
        through.waits, direct.waits = [], []
    for load in (direct, through):
        load.close()
    return {
        **spans.middle(),
        **{name: statistics.median(one[name] for one in added) for name in added[0]},
    }
