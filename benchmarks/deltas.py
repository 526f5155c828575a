"""Bytes and processor time of a change, by table and fleet size, in each form: publication and codec alone, no sockets.

python -m benchmarks.deltas [PLOT.png]
"""

import json
import sys
import time

import zstandard

from ironfall.api import codec
from ironfall.publication import Publication

SIZES = (10, 30, 120, 500, 1_000, 3_000)
FLEETS = (10, 100, 1_000, 10_000)


def published(size, proxies=1):
    found = Publication(1_733_000_000_000_000, 1)
    for n in range(proxies):
        found.join(n)
    for n in range(size):
        found.set_weight(0, f"host{n}@127.{n // 250}.1.{n % 250 + 1}:9000", 1 + n / 7)
    for n in range(proxies):
        found.assign(n, 0, 0)
    found.close()
    return found


def change(publication, lines, step):
    for n in range(lines):
        publication.set_weight(0, f"host{n}@127.{n // 250}.1.{n % 250 + 1}:9000", 2 + n / 3 + step)
    publication.close()


def by_size():
    rows = []
    for size in SIZES:
        publication = published(size)
        change(publication, 1, 1)
        now = publication.version
        row = {"hosts": size}
        for name, start in (("one line", now - 1), ("whole", -1)):
            message = codec.pack_state(publication.delta(0, start, now))
            for form, accept in (("protobuf", codec.PROTOBUF), ("json", codec.JSON)):
                body, _ = codec.encode(message, accept)
                row[f"{name}, {form}"] = len(body)
                row[f"{name}, {form}, zstd"] = len(zstandard.ZstdCompressor(level=1).compress(body))
        begun = time.process_time()
        for step in range(2, 102):
            change(publication, 1, step)
            codec.encode_state(
                publication.delta(0, publication.version - 1, publication.version),
                [],
                codec.PROTOBUF,
            )
        row["us a delta"] = round((time.process_time() - begun) * 1e4)
        rows.append(row)
        print(json.dumps(row), flush=True)
    return rows


def by_fleet():
    rows = []
    for proxies in FLEETS:
        publication = published(120, proxies)
        change(publication, 1, 1)
        begun, total = time.process_time(), 0
        for n in range(proxies):
            delta = publication.delta(n, publication.version - 1, publication.version)
            total += len(
                codec.encode_state(delta, [(publication.version, 1000, 8)], codec.PROTOBUF)[0]
            )
        row = {
            "proxies": proxies,
            "bytes a proxy": round(total / proxies, 1),
            "us a proxy": round((time.process_time() - begun) / proxies * 1e6, 1),
        }
        rows.append(row)
        print(json.dumps(row), flush=True)
    return rows


def draw(sizes, fleets, out):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, (left, right) = plt.subplots(1, 2, figsize=(11, 4.2))
    drawn = (
        "one line, protobuf",
        "one line, json",
        "whole, protobuf",
        "whole, protobuf, zstd",
        "whole, json, zstd",
    )
    for name in drawn:
        left.loglog([r["hosts"] for r in sizes], [r[name] for r in sizes], marker="o", label=name)
    left.set(
        xlabel="hosts in the table",
        ylabel="bytes of an answer",
        title="A change against the table's size",
    )
    for name in ("us a proxy", "bytes a proxy"):
        right.semilogx(
            [r["proxies"] for r in fleets], [r[name] for r in fleets], marker="o", label=name
        )
    right.set(
        xlabel="proxies told the same change",
        title="A change against the fleet's size",
        ylim=(0, None),
    )
    for axes in (left, right):
        axes.grid(alpha=0.3)
        axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(out, dpi=90)


if __name__ == "__main__":
    by_sizes, by_fleets = by_size(), by_fleet()
    if sys.argv[1:]:
        draw(by_sizes, by_fleets, sys.argv[1])
