"""From a change of the list to its being applied at every proxy, beside a bare broadcast of the same bytes.

The channel's pace is set out of the way: what is measured is the program. Proxies are simulated: the protocol's
client end, without a data plane, dealt over six processes. The director is a process of its own, as is the bare
broadcaster.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from gevent import socket  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from benchmarks.common import Process, Registry, director, free_port, percentile  # noqa: E402
from ironfall.api import codec  # noqa: E402
from ironfall.api.http import HttpClient  # noqa: E402
from ironfall.generated import ironfall_pb2 as pb  # noqa: E402
from ironfall.publication import Holding  # noqa: E402

HOSTS, CHANGES, PROCESSES = 120, 45, 6


def bare(port, size):
    """Writes `size` bytes to every connection when a byte comes on any first one; waits for a byte from each."""
    socks = []

    def serve(sock, _address):
        kind = sock.recv(1)
        if kind == b"r":
            socks.append(sock)
            while sock.recv(100):
                pass
        else:
            while sock.recv(1):
                for one in socks:
                    one.sendall(b"x" * size)

    StreamServer(("127.0.0.1", port), serve, backlog=1024).serve_forever()


class Reader:
    def __init__(self, address, name, zone):
        self.client, self.holding, self.out, self.moved = (
            HttpClient(address, 5.0),
            Holding(2, {}),
            {},
            Event(),
        )
        self.name, self.zone, self.size, self.joins = name, zone, 0, 0
        self.join()

    def join(self):
        body, form = codec.encode(pb.Join(proxy=self.name, zone=self.zone, rate=1), codec.PROTOBUF)
        form["Accept"] = codec.PROTOBUF
        while (answer := self.client.call("POST", "/v1/join", 60, body, form)).status != 200:
            gevent.sleep(int(answer.headers.get("retry-after", 1)) * random.random())
        self.joined = pb.Joined.FromString(answer.body)
        self.holding.join(self.joined.epoch, self.joined.version)
        self.joins += 1

    def run(self):
        headers = {"Accept": codec.PROTOBUF, "Accept-Encoding": "zstd"}
        while True:
            path = f"/v1/poll?session={self.joined.session}&epoch={self.joined.epoch}&version={self.holding.version}"
            answer = self.client.call("GET", path, 90, headers=headers)
            if answer.status == 410:
                self.join()
            if answer.status != 200:
                continue
            encoding = answer.headers.get("content-encoding", "")
            state = codec.decode(pb.State, answer.body, codec.PROTOBUF, encoding, 1 << 24)
            self.holding.apply(codec.unpack_state(state))
            self.size = len(answer.body)
            now = time.monotonic()
            for turn in state.turns:
                if turn.out:
                    self.out[turn.host.split("@")[0]] = now
            self.moved.set()


def read_many(port, first, count):
    """Some of the proxies, in a process of its own: a line on stdout when they are bound, and for each change
    the moment at which the last of them had applied it."""
    readers = []
    for n in range(first, first + count):  # polls as soon as it has joined, as a proxy does
        readers.append(Reader(("127.0.0.1", port), f"p{n}", "abc"[n % 3]))
        gevent.spawn(readers[-1].run)
    while not all(len(r.holding.binds) == 2 for r in readers):
        gevent.sleep(0.05)
    print(json.dumps({"bound": count}), flush=True)
    for n in range(CHANGES):
        while waits := next((r for r in readers if f"h{n}" not in r.out), None):
            waits.moved.clear()
            waits.moved.wait(10)
        print(
            json.dumps({"at": max(r.out[f"h{n}"] for r in readers), "size": readers[0].size}),
            flush=True,
        )


def read_bare(port, size, count):
    socks = [socket.create_connection(("127.0.0.1", port), 10) for _ in range(count)]
    for sock in socks:
        sock.settimeout(None)
        sock.sendall(b"r")

    def read(sock):
        got = 0
        while got < size:
            got += len(sock.recv(65536))
        sock.sendall(b"a")

    print(json.dumps({"bound": count}), flush=True)
    for _ in range(CHANGES):
        gevent.joinall([gevent.spawn(read, sock) for sock in socks], raise_error=True)
        print(json.dumps({"at": time.monotonic()}), flush=True)


class Many:
    """Proxies dealt over a few processes: one that played hundreds would measure itself."""

    def __init__(self, count, *words, module="benchmarks.apply"):
        each = -(-count // min(PROCESSES, count))
        self.running, first = [], 0
        while first < count:
            mine = min(each, count - first)
            filled = [w.format(first=first, count=mine) for w in words]
            self.running.append(
                subprocess.Popen(
                    [sys.executable, "-m", module, *filled], stdout=subprocess.PIPE, text=True
                )
            )
            first += mine
        self.line()

    def line(self):
        return [json.loads(process.stdout.readline()) for process in self.running]

    def end(self):
        for process in self.running:
            process.terminate()
            process.wait()


def measure(count):
    registry = Registry(HOSTS)
    process = director(registry, count)
    with process:
        many = Many(count, "--read", str(process.port), "{first}", "{count}")
        gevent.sleep(2)
        times, size = [], 0
        for n in range(CHANGES):
            begun = time.monotonic()
            registry.drain(n)
            told = many.line()
            times.append(max(row["at"] for row in told) - begun)
            size = told[0]["size"]
            gevent.sleep(0.05)
        status = HttpClient(("127.0.0.1", process.port)).call("GET", "/v1/status", 5).body
        many.end()
    return times, size, json.loads(status)


def measure_bare(count, size):
    port = free_port()
    with Process("-m", "benchmarks.apply", "--bare", str(port), str(size), port=port):
        many = Many(count, "--read-bare", str(port), str(size), "{count}")
        trigger = socket.create_connection(("127.0.0.1", port), 10)
        trigger.sendall(b"t")
        gevent.sleep(0.5)
        times = []
        for _ in range(CHANGES):
            begun = time.monotonic()
            trigger.sendall(b"g")
            times.append(max(row["at"] for row in many.line()) - begun)
            gevent.sleep(0.05)
        many.end()
    return times


def main():
    rows = []
    for count in (9, 40, 315):
        times, size, status = measure(count)
        floor = measure_bare(count, size + 160)  # with the head of an answer
        row = {"proxies": count, "bytes": size}
        for name, values in (("applied", times), ("bare", floor)):
            row[f"{name}_p50_ms"] = round(percentile(values, 0.5) * 1000, 1)
            row[f"{name}_p99_ms"] = round(percentile(values, 0.99) * 1000, 1)
        row["order_to_applied"], row["turn"] = status["order_to_applied"], status["turn"]
        rows.append(row)
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--bare"]:
        bare(int(sys.argv[2]), int(sys.argv[3]))
    elif sys.argv[1:2] == ["--read"]:
        read_many(*map(int, sys.argv[2:5]))
    elif sys.argv[1:2] == ["--read-bare"]:
        read_bare(*map(int, sys.argv[2:5]))
    else:
        main()
