"""Codecs beside each other and beside a registry client: values a second on one core, and bytes a value."""

import json
import time

import graphyte

from benchmarks.common import percentile
from ironfall.metrics import collectd
from ironfall.metrics.collectd_text import decode_json, encode_json
from ironfall.metrics.graphite import Lines, format_line, parse_line
from ironfall.metrics.mapping import Mapping
from ironfall.metrics.point import Point
from ironfall.metrics.readings import Readings

COUNT, ROUNDS = 20_000, 5
NOW = 1_733_000_000.0


def points():
    return [
        Point(f"servers.node{n % 400}.inflight", n * 0.37, NOW + n // 400) for n in range(COUNT)
    ]


def lists():
    return [
        collectd.ValueList(
            f"node{n % 400}",
            "exchanges",
            "",
            "gauge",
            "inflight",
            NOW + n // 400,
            1.0,
            [(collectd.GAUGE, n * 0.37)],
        )
        for n in range(COUNT)
    ]


def measure(name, work, size=0):
    times = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        work()
        times.append(time.process_time() - begun)
    row = {"codec": name, "values_a_second": round(COUNT / percentile(times, 0.5))}
    print(json.dumps({**row, "bytes_a_value": round(size / COUNT, 1)} if size else row), flush=True)


def main():
    made, listed = points(), lists()
    text = b"".join(map(format_line, made))
    measure("graphite, write", lambda: [format_line(p) for p in made], len(text))
    measure("graphite, read", lambda: [parse_line(line) for line in Lines().feed(text)])
    client = graphyte.Sender("127.0.0.1")
    measure(
        "graphyte (registry client), write",
        lambda: [client.build_message(p.series, p.value, p.at) for p in made],
        sum(len(client.build_message(p.series, p.value, p.at)) for p in made),
    )
    packets = collectd.encode(listed)
    measure("collectd, write", lambda: collectd.encode(listed), sum(map(len, packets)))
    measure("collectd, read", lambda: [collectd.decode(p) for p in packets])
    signed = [collectd.sign(p, "u", "secret") for p in packets]
    sealed = [collectd.encrypt(p, "u", "secret", bytes(16)) for p in packets]
    measure(
        "collectd signed, read",
        lambda: [collectd.decode(p, lambda _: "secret") for p in signed],
        sum(map(len, signed)),
    )
    measure(
        "collectd encrypted, read",
        lambda: [collectd.decode(p, lambda _: "secret") for p in sealed],
        sum(map(len, sealed)),
    )
    posts = [encode_json(listed[n : n + 100]).encode() for n in range(0, COUNT, 100)]
    measure(
        "collectd JSON, write",
        lambda: [encode_json(listed[n : n + 100]) for n in range(0, COUNT, 100)],
        sum(map(len, posts)),
    )
    measure("collectd JSON, read", lambda: [decode_json(p) for p in posts])
    mapping, readings = Mapping([("servers.{host}.inflight", "rif", 1.0)]), Readings(30.0, 2.0)
    readings.listed({f"node{n}": (b"%d" % n, 0.0) for n in range(400)})

    def take():
        for p in made:
            host, gauge, scale = mapping.find(p.series)
            readings.take(NOW + 50, host, gauge, p.value * scale, p.at)

    measure("mapping and readings", take)
    measure("mapping, names that fit nothing", lambda: [mapping.find(p.series + "x") for p in made])


if __name__ == "__main__":
    main()
