"""Ten thousand held polls on one director: memory a poll, a change to all of them, beside a bare broadcast and beside
full tables polled each second.

    python -m benchmarks.polls [COUNT]

Proxies are simulated, over six processes; director, bare broadcaster and table server are processes of their own.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import resource  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402

from benchmarks import apply  # noqa: E402
from benchmarks.common import Process, Registry, director, free_port, percentile  # noqa: E402
from ironfall.api.http import Answer, Bounds, HttpClient, HttpServer  # noqa: E402

CHANGES = 20
TICK = os.sysconf("SC_CLK_TCK")


def cpu(process):
    """Seconds of processor time so far."""
    fields = Path(f"/proc/{process.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def held(port):
    return json.loads(HttpClient(("127.0.0.1", port)).call("GET", "/v1/status", 60).body)


def serve_tables(port, size):
    """Answers every request with a table of that many bytes, as a server without deltas."""
    server = HttpServer(
        ("127.0.0.1", port), Bounds(30_000, 4096, 5, 60, 5), lambda _: Answer(200, b"x" * size)
    )
    server.start()
    gevent.sleep(3600)


def poll_tables(port, first, count):
    clients = [HttpClient(("127.0.0.1", port), 10.0) for _ in range(count)]
    print(json.dumps({"bound": count}), flush=True)
    done = [0]

    def run(n, client):
        gevent.sleep((n % 100) / 100)
        while True:
            begun = time.monotonic()
            client.call("GET", "/table", 30)
            done[0] += 1
            gevent.sleep(max(0, begun + 1 - time.monotonic()))

    for n, client in enumerate(clients):
        gevent.spawn(run, n, client)
    while True:
        gevent.sleep(1)
        print(json.dumps({"at": time.monotonic(), "done": done[0]}), flush=True)


def main(count):
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    registry = Registry(apply.HOSTS)
    process = director(registry, count)
    row = {"proxies": count}
    with process:
        before, begun = process.memory(), time.monotonic()
        running = apply.Many(count, "--read", str(process.port), "{first}", "{count}")
        row["joined_and_bound_s"] = round(time.monotonic() - begun, 1)
        gevent.sleep(5)
        row["bytes_a_poll"] = round((process.memory() - before) / count)
        times, used = [], cpu(process)
        for n in range(CHANGES):
            begun = time.monotonic()
            registry.drain(n)
            times.append(max(one["at"] for one in running.line()) - begun)
            gevent.sleep(1)
        row["change_p50_ms"] = round(percentile(times, 0.5) * 1000)
        row["change_p99_ms"] = round(percentile(times, 0.99) * 1000)
        row["cpu_s_a_change"] = round((cpu(process) - used) / CHANGES, 3)
        status = held(process.port)
        row["turn"] = status["turn"]
        row["whole_states"] = {k: v for k, v in status["counts"].items() if k.startswith("whole")}
        running.end()
    print(json.dumps(row), flush=True)

    port = free_port()
    bare = Process("-m", "benchmarks.apply", "--bare", str(port), "260", port=port)
    with bare:
        before = bare.memory()
        running = apply.Many(count, "--read-bare", str(port), "260", "{count}")
        trigger = gevent.socket.create_connection(("127.0.0.1", port), 10)
        trigger.sendall(b"t")
        gevent.sleep(1)
        floor, used = [], cpu(bare)
        for _ in range(CHANGES):
            begun = time.monotonic()
            trigger.sendall(b"g")
            floor.append(max(one["at"] for one in running.line()) - begun)
            gevent.sleep(0.2)
        print(
            json.dumps(
                {
                    "bare": count,
                    "bytes_a_connection": round((bare.memory() - before) / count),
                    "change_p50_ms": round(percentile(floor, 0.5) * 1000),
                    "change_p99_ms": round(percentile(floor, 0.99) * 1000),
                    "cpu_s_a_change": round((cpu(bare) - used) / CHANGES, 3),
                    "ratio_p50": round(percentile(times, 0.5) / percentile(floor, 0.5), 1),
                }
            ),
            flush=True,
        )
        running.end()

    port, size = free_port(), 3657  # a table of 120 lines, as benchmarks of deltas have it
    tables = Process("-m", "benchmarks.polls", "--tables", str(port), str(size), port=port)
    with tables:
        running = apply.Many(
            count, "--poll-tables", str(port), "{first}", "{count}", module="benchmarks.polls"
        )
        gevent.sleep(6)
        used, begun, first = (
            cpu(tables),
            time.monotonic(),
            sum(one["done"] for one in latest(running)),
        )
        gevent.sleep(10)
        done = sum(one["done"] for one in latest(running)) - first
        seconds = time.monotonic() - begun
        print(
            json.dumps(
                {
                    "full tables, polled each second by": count,
                    "asked_a_second": round(done / seconds),
                    "cpu_share": round((cpu(tables) - used) / seconds, 2),
                    "mbytes_a_second": round(done * size / seconds / 1e6, 1),
                }
            ),
            flush=True,
        )
        running.end()


def latest(running):
    """The newest line of each, whatever has gathered."""
    found = []
    for process in running.running:
        now = time.monotonic()
        while (one := json.loads(process.stdout.readline()))["at"] < now:
            pass
        found.append(one)
    return found


if __name__ == "__main__":
    if sys.argv[1:2] == ["--tables"]:
        serve_tables(*map(int, sys.argv[2:4]))
    elif sys.argv[1:2] == ["--poll-tables"]:
        poll_tables(*map(int, sys.argv[2:5]))
    else:
        main(int(sys.argv[1]) if sys.argv[1:] else 10_000)
