"""Coverage-guided fuzzing of whatever reads bytes from outside: any bytes give a value or the codec's own error.

    pip install -r requirements-fuzz.txt
    python -m benchmarks.fuzz TARGET -max_total_time=60 -seed=1

Targets: graphite, lines, collectd, json, records, exchange, servers. An input that breaks one is written to a
file by the fuzzer and named; time and memory are bounded by `-timeout=2 -rss_limit_mb=512`.
"""

import sys
import tempfile
from pathlib import Path

import atheris

with atheris.instrument_imports():
    from ironfall.api import exchange
    from ironfall.files import notation
    from ironfall.metrics import collectd, collectd_text, graphite
    from ironfall.metrics.point import Malformed
    from ironfall.sexp import Unreadable
    from ironfall.storage.records import decode_records, encode_record

PASSWORD = "secret"


def read_graphite(data):
    point = graphite.parse_line(data)
    again = graphite.parse_line(graphite.format_line(point).strip())
    assert again.value == point.value and again.series == point.series, (point, again)


def read_lines(data):
    # Cut anywhere, the same lines come.
    lines, cut = graphite.Lines(), data[0] % (len(data) + 1) if data else 0
    whole = [x for x in graphite.Lines().feed(data) if isinstance(x, bytes)]
    parts = [
        x for part in (data[:cut], data[cut:]) for x in lines.feed(part) if isinstance(x, bytes)
    ]
    if len(data) < graphite.LINE_MOST:
        assert whole == parts
    assert len(lines.held) <= graphite.LINE_MOST


def read_collectd(data):
    for packet in (
        data,
        collectd.sign(data, "u", PASSWORD),
        collectd.encrypt(data, "u", PASSWORD, bytes(16)),
    ):
        try:
            lists = collectd.decode(packet, {"u": PASSWORD}.get)
        except Malformed:
            continue
        for one in lists:
            one.series()


def read_json(data):
    collectd_text.encode_json(collectd_text.decode_json(data))


def read_records(data):
    records, size, fault = decode_records(data)
    assert size <= len(data) and (fault or size == len(data)) and all(records)


def read_exchange(data):
    try:
        list(exchange.frames(_Once(data)))
    except OSError:
        pass


def read_servers(data):
    for name in ("a.sexp", "a.json"):
        try:
            notation.read_set([(name, data)])
        except Unreadable as wrong:
            assert wrong.faults


class _Once:
    """A socket that gives these bytes, and then closes."""

    def __init__(self, data):
        self.data = data

    def recv(self, most):
        data, self.data = self.data[:most], self.data[most:]
        return data


LIST = collectd.ValueList(
    "h", "p", "i", "gauge", "t", 1.5, 1.0, [(collectd.GAUGE, 1.0), (collectd.DERIVE, 2)]
)
SEEDS = {  # something well-formed to start from: from nothing a fuzzer takes hours to find a bracket's partner
    "graphite": [b"servers.node7.util 0.4 1733000000", b"a;b=c 1 -1"],
    "lines": [b"a b 1\nc d 2\n"],
    "collectd": collectd.encode([LIST]),
    "json": [collectd_text.encode_json([LIST]).encode()],
    "records": [encode_record(b"one") + encode_record(b"two")],
    "exchange": [exchange.frame(**{"answer": {"id": 1, "outcome": 1, "cause": "full"}})],
    "servers": [
        b'(servers "s" (by "o") (host "a" (address "127.0.0.1:9") (zone "z") (weight 1.5) (state drain))'
        b'(pin "a" (weight 1) (owner "o") (reason "r") (until "2026-12-01T15:00:00Z")) (bounds "b" (floor 1))'
        b'(leave (remove 60%) (owner "o") (reason "r")))',
        b'{"servers": "s", "hosts": [{"name": "a", "state": "drain"}], "pins": [], "bounds": []}',
    ],
}
TARGETS = {name[5:]: it for name, it in list(globals().items()) if name.startswith("read_")}


def main():
    target = TARGETS.get(sys.argv[1] if len(sys.argv) > 1 else "")
    if target is None:
        raise SystemExit(f"which of {', '.join(TARGETS)}?")

    def one(data):
        try:
            target(data)
        except Malformed:
            pass

    seeds = Path(tempfile.mkdtemp())
    for number, seed in enumerate(SEEDS[sys.argv[1]]):
        (seeds / str(number)).write_bytes(seed)
    atheris.Setup([sys.argv[0], *sys.argv[2:], str(seeds)], one, enable_python_coverage=True)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
