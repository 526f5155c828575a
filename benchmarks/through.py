"""Exchanges a second through the proxy, beside a bare frame forwarder: the same frames, the same 50 connections.

Client, forwarder or proxy, and host are three processes; each connection has one exchange out at a time.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from gevent import socket  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from benchmarks.common import TERMS, Process, Registry, free_port, percentile  # noqa: E402
from ironfall.api.exchange import HEAD, Outbox, frame, frames  # noqa: E402
from ironfall.generated import ironfall_pb2 as pb  # noqa: E402

CONNECTIONS, SECONDS = 50, 6.0


def host(port):
    def serve(sock, _address):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        outbox = Outbox(sock)
        for one in frames(sock):
            if one.WhichOneof("what") == "exchange":
                outbox.put(frame(answer=pb.Answer(id=one.exchange.id, outcome=pb.FULFILLED)))

    StreamServer(("127.0.0.1", port), serve, backlog=256).serve_forever()


def read_frame(sock):
    held = b""
    while len(held) < 4 or len(held) < 4 + HEAD.unpack_from(held)[0]:
        more = sock.recv(65536)
        if not more:
            raise OSError("closed")
        held += more
    return held


def forwarder(port, to):
    def serve(sock, _address):
        far = socket.create_connection(("127.0.0.1", to))
        for one in (sock, far):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                far.sendall(read_frame(sock))
                sock.sendall(read_frame(far))
        except OSError:
            pass

    StreamServer(("127.0.0.1", port), serve, backlog=256).serve_forever()


def load(port):
    waits = []
    ends = time.monotonic() + SECONDS

    def run(n):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        number = 0
        while time.monotonic() < ends:
            number += 1
            begun = time.monotonic()
            sock.sendall(
                frame(
                    exchange=pb.Exchange(
                        id=number, kind=0, token=n << 32 | number, key=7, left_ms=4000
                    )
                )
            )
            read_frame(sock)
            waits.append(time.monotonic() - begun)

    gevent.joinall([gevent.spawn(run, n) for n in range(CONNECTIONS)], raise_error=True)
    return {
        "a_second": round(len(waits) / SECONDS),
        "p50_ms": round(percentile(waits, 0.5) * 1000, 2),
        "p99_ms": round(percentile(waits, 0.99) * 1000, 2),
    }


def main():
    far, near, plain = free_port(), free_port(), free_port()
    registry = Registry(1)
    registry.rows[0].update(address=f"127.0.0.1:{far}", zone="a")
    path = "/tmp/ironfall-through.sexp"
    with open(path, "w") as file:
        file.write(
            TERMS.format(
                registry=registry.port, port=free_port(), proxies=1, pace=10_000, queue=10_000
            )
        )
    with (
        Process("-m", "benchmarks.through", "--host", str(far), port=far),
        Process("-m", "benchmarks.through", "--forward", str(plain), str(far), port=plain),
        Process("-m", "ironfall", "proxy", path, "--as", f"p1,a,10,127.0.0.1:{near}", port=near),
    ):
        for _ in range(2):
            print(json.dumps({"bare": load(plain), "proxy": load(near)}), flush=True)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--host"]:
        host(int(sys.argv[2]))
    elif sys.argv[1:2] == ["--forward"]:
        forwarder(int(sys.argv[2]), int(sys.argv[3]))
    else:
        main()
