"""Serving while a metrics receiver reads nothing for a minute, beside the same with one that reads, and with none.

One director process in each run, 60 simulated proxies in six others; a drain every second; from the list's change
to the last proxy that has applied it. Also what the spool says at the end.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from benchmarks import apply  # noqa: E402
from benchmarks.common import TERMS, Process, Registry, free_port, percentile  # noqa: E402
from ironfall.api.http import HttpClient  # noqa: E402

PROXIES = 60


class Receiver:
    def __init__(self):
        self.reads, self.bytes = Event(), 0
        self.reads.set()
        listener = gevent.socket.socket()
        listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 16 * 1024)
        listener.bind(("127.0.0.1", 0))
        listener.listen(16)
        self.server = StreamServer(listener, self.serve)
        self.server.start()

    def serve(self, sock, _address):
        try:
            while True:
                self.reads.wait()
                data = sock.recv(65536)
                if not data:
                    return
                self.bytes += len(data)
        except OSError:
            pass


def run(how):
    registry, receiver, port = Registry(apply.HOSTS), Receiver(), free_port()
    text = TERMS.format(
        registry=registry.port, port=port, proxies=PROXIES, pace=100_000_000, queue=10_000_000
    )
    if how != "none":
        send = f'(graphite (send "127.0.0.1:{receiver.server.server_port}"))'
        text = text.rstrip()[:-1] + f"\n (metrics (every 20ms) (spool 5000) {send}))\n"
    path = Path(tempfile.mkdtemp()) / "paused.sexp"
    path.write_text(text)
    with Process("-m", "ironfall", "director", str(path), "--seed", "1", port=port) as process:
        many = apply.Many(PROXIES, "--read", str(port), "{first}", "{count}")
        gevent.sleep(3)
        if how == "paused":
            receiver.reads.clear()
        times, before = [], process.memory()
        for n in range(apply.CHANGES):
            begun = time.monotonic()
            registry.drain(n)
            times.append(max(row["at"] for row in many.line()) - begun)
            gevent.sleep(60 / apply.CHANGES)
        status = json.loads(HttpClient(("127.0.0.1", port)).call("GET", "/v1/status", 5).body)
        grew = round((process.memory() - before) / 2**20, 1)
        row = {
            "receiver": how,
            "p50_ms": round(percentile(times, 0.5) * 1000, 1),
            "p99_ms": round(percentile(times, 0.99) * 1000, 1),
            "grew_mib": grew,
            "spool": status.get("spools", []),
        }
        many.end()
    print(json.dumps(row), flush=True)


if __name__ == "__main__":
    jobs = [gevent.spawn(run, how) for how in ("none", "reads", "paused")]
    gevent.joinall(jobs, raise_error=True)
