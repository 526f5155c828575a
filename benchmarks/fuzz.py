"""Coverage-guided fuzzing of whatever reads bytes from outside: any bytes give a value or the codec's own error.

    pip install -r requirements-fuzz.txt
    python -m benchmarks.fuzz TARGET -max_total_time=60 -seed=1

Targets: graphite, lines, collectd, json, putval, records, exchange. An input that breaks one is written to a file by
the fuzzer and named; time and memory are bounded by `-timeout=2 -rss_limit_mb=512`.
"""

import sys

import atheris

with atheris.instrument_imports():
    from ironfall.api import exchange
    from ironfall.durable.records import unseal
    from ironfall.metrics import collectd, collectd_text, graphite
    from ironfall.metrics.point import Malformed

PASSWORD = "secret"


def read_graphite(data):
    point = graphite.parse_line(data)
    again = graphite.parse_line(graphite.format_line(point).strip())
    assert again.value == point.value and again.series == point.series, (point, again)


def read_lines(data):
    # Cut anywhere, the same lines come.
    lines, cut = graphite.Lines(), data[0] % (len(data) + 1) if data else 0
    whole = [x for x in graphite.Lines().feed(data) if isinstance(x, bytes)]
    parts = [x for part in (data[:cut], data[cut:]) for x in lines.feed(part) if isinstance(x, bytes)]
    if len(data) < graphite.LINE_MOST:
        assert whole == parts
    assert len(lines.held) <= graphite.LINE_MOST


def read_collectd(data):
    for packet in (data, collectd.sign(data, "u", PASSWORD), collectd.encrypt(data, "u", PASSWORD, bytes(16))):
        try:
            lists = collectd.decode(packet, {"u": PASSWORD}.get)
        except Malformed:
            continue
        for one in lists:
            one.series()


def read_json(data):
    collectd_text.encode_json(collectd_text.decode_json(data))


def read_putval(data):
    for one in collectd_text.decode_putval(data.decode("utf-8", "replace")):
        collectd_text.encode_putval(one)


def read_records(data):
    records, size, fault = unseal(data)
    assert size <= len(data) and (fault or size == len(data)) and all(records)


def read_exchange(data):
    try:
        list(exchange.frames(_Once(data)))
    except OSError:
        pass


class _Once:
    """A socket that gives these bytes, and then closes."""

    def __init__(self, data):
        self.data = data

    def recv(self, most):
        data, self.data = self.data[:most], self.data[most:]
        return data


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

    atheris.Setup([sys.argv[0], *sys.argv[2:]], one)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
