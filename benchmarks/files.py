"""Operators' files: from rename to applied, at size, under wreckage, and recovery.

    python -m benchmarks.files applied|wreck|size|recovery

`applied`: 315 simulated proxies in six processes, each change drains one more host. `wreck`: a writer process writes a
thousand partial and malformed files in place at full speed, whole ones by rename in between, while a proxy polls.
`size`: ten thousand hosts. `recovery`: a journal of a hundred thousand records. The director is a process of its own.
"""

from gevent import monkey

monkey.patch_all()

import hashlib  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402

from benchmarks import apply  # noqa: E402
from benchmarks.common import TERMS, Process, Registry, free_port, percentile  # noqa: E402
from ironfall.api.http import HttpClient  # noqa: E402
from ironfall.files.notation import read_set  # noqa: E402
from ironfall.files.store import Adoption, Store, pack  # noqa: E402
from ironfall.storage.disk import Folder  # noqa: E402
from ironfall.terms import Unreadable  # noqa: E402


def started(registry, folder, proxies=9, more=""):
    port = free_port()
    text = TERMS.format(
        registry=registry.port, port=port, proxies=proxies, pace=100_000_000, queue=10_000_000
    )
    files = f'(files (path "{folder}/servers.sexp") (store "{folder}/store") (remove 100%) (cold 100%) {more})'
    path = folder / "terms.sexp"
    path.write_text(text.rstrip()[:-1] + f"\n {files})\n")
    return Process("-m", "ironfall", "director", str(path), "--seed", "1", port=port)


def rename(folder, text):
    (folder / "servers.new").write_text(text)
    os.replace(folder / "servers.new", folder / "servers.sexp")


def drains(hosts):
    return (
        '(servers "measured" (by "bench")\n'
        + "\n".join(f'(host "{h}" (state drain))' for h in hosts)
        + ")\n"
    )


def ask(port, number=0):
    answer = HttpClient(("127.0.0.1", port)).call("GET", f"/v1/files?number={number}", 30)
    return json.loads(answer.body)


def applied():
    folder, registry = Path(tempfile.mkdtemp()), Registry(apply.HOSTS)
    with started(registry, folder, 315) as process:
        many = apply.Many(315, "--read", str(process.port), "{first}", "{count}")
        gevent.sleep(3)
        times, took = [], []
        for n in range(apply.CHANGES):
            begun = time.monotonic()
            rename(folder, drains(f"h{k}" for k in range(n + 1)))
            times.append(max(row["at"] for row in many.line()) - begun)
            took.append(ask(process.port)["status"]["took"])
            gevent.sleep(0.2)
        many.end()
    print(sorted((round(t * 1000), n) for n, t in enumerate(times))[-6:], file=sys.stderr)
    print(
        json.dumps(
            {
                "proxies": 315,
                "changes": len(times),
                "rename_to_applied_p50_ms": round(percentile(times, 0.5) * 1000, 1),
                "p99_ms": round(percentile(times, 0.99) * 1000, 1),
                **{f"{k}_p50": percentile([t[k] for t in took], 0.5) for k in took[0]},
                **{f"{k}_most": max(t[k] for t in took) for k in took[0]},
            }
        )
    )


def spoiled(chance, text):
    data = bytearray(text.encode())
    for _ in range(chance.randint(1, 3)):
        at = chance.randrange(len(data))
        how = chance.random()
        if how < 0.4:
            del data[at:]
        elif how < 0.7:
            data[at : at + chance.randint(1, 20)] = chance.randbytes(chance.randint(0, 20))
        else:
            data[at] ^= 1 << chance.randrange(8)
        data = data or bytearray(b" ")
    return bytes(data)


def write_wreckage(folder, count):
    """The writer's process: says the digest of each text as it begins to write it."""
    chance, path = random.Random(1), Path(folder) / "servers.sexp"
    for n in range(count):
        text = (
            drains(f"h{chance.randrange(40)}" for _ in range(1))
            if n % 25 == 0
            else drains(["h50", "h51"])
        )
        data = text.encode() if n % 25 == 0 else spoiled(chance, text)
        print(json.dumps([hashlib.sha256(data).hexdigest(), n % 25 == 0]), flush=True)
        if n % 25 == 0:
            (Path(folder) / "whole").write_bytes(data)
            os.replace(Path(folder) / "whole", path)
            time.sleep(0.5)
        else:
            with open(path, "wb", buffering=0) as file:
                half = chance.randrange(len(data) + 1)
                file.write(data[:half])
                time.sleep(chance.choice((0, 0, 0.001, 0.02)))
                file.write(data[half:])
            time.sleep(chance.choice((0, 0, 0, 0.3)))


def wreck(count=1000):
    folder, registry = Path(tempfile.mkdtemp()), Registry(60)
    with started(registry, folder) as process:
        reader = apply.Reader(("127.0.0.1", process.port), "p1", "a")
        seen, states = set(), [0]

        def look():
            while True:
                reader.moved.wait()
                reader.moved.clear()
                states[0] += 1
                seen.update(h.split("@")[0] for h in reader.holding.outs)

        running = [gevent.spawn(reader.run), gevent.spawn(look)]
        writer = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.files", "--wreck", str(folder), str(count)],
            stdout=subprocess.PIPE,
            text=True,
        )
        written = [json.loads(line) for line in writer.stdout]
        gevent.sleep(3)
        told = ask(process.port)
        # Every adopted text is one that was written, whole, and reads as a set: no mixture, no part.
        digests, adopted, strangers, unreadable = {d for d, _ in written}, 0, 0, 0
        named = set()
        for one in told["history"]:
            (text,) = ask(process.port, one["number"]).values()
            adopted += 1
            strangers += hashlib.sha256(text.encode()).hexdigest() not in digests
            try:
                named |= set(read_set([("servers.sexp", text.encode())]).hosts)
            except Unreadable:
                unreadable += 1
        row = {
            "written": len(written),
            "whole": sum(w for _, w in written),
            "adopted": adopted,
            "not as written": strangers,
            "not readable": unreadable,
            "states seen by the proxy": states[0],
            "withdrawn though in no adopted set": sorted(seen - named),
            "status": told["status"]["counts"],
            "withdrawn": len(seen),
            "director": process.process.poll(),
            "reader failed": any(r.dead for r in running),
        }
        gevent.killall(running)
    print(json.dumps(row))


def size(count=10_000):
    folder, registry = Path(tempfile.mkdtemp()), Registry(3)
    at = [f"127.{n // 250 + 60}.1.{n % 250 + 1}:9000" for n in range(count)]
    hosts = "\n".join(
        f'(host "n{n}" (address "{at[n]}") (zone "{"abc"[n % 3]}") (warm yes))'
        for n in range(count)
    )
    text = f'(servers "measured"\n{hosts})\n'
    with started(registry, folder, 9) as process:
        readers = [
            apply.Reader(("127.0.0.1", process.port), f"p{n}", "abc"[n % 3]) for n in range(9)
        ]
        running = [gevent.spawn(reader.run) for reader in readers]
        gevent.sleep(3)
        before, begun = process.memory(), time.monotonic()
        rename(folder, text)
        while not ask(process.port)["status"]["adopted"]:
            gevent.sleep(0.02)
        took = time.monotonic() - begun
        gevent.sleep(8)
        status = json.loads(
            HttpClient(("127.0.0.1", process.port)).call("GET", "/v1/status", 30).body
        )
        begun = time.monotonic()
        rename(folder, text.replace('(host "n7"', '(host "n7" (state drain)', 1))
        while ask(process.port)["status"]["adopted"]["number"] != 2:
            gevent.sleep(0.02)
        again = time.monotonic() - begun
        print(
            json.dumps(
                {
                    "hosts": count,
                    "bytes": len(text),
                    "adopt_s": round(took, 2),
                    "one_more_change_s": round(again, 2),
                    "director_mib_before": before >> 20,
                    "after": process.memory() >> 20,
                    "turn": status["turn"],
                    "history_bytes": sum(f.stat().st_size for f in (folder / "store").iterdir()),
                }
            )
        )
        gevent.killall(running)


class Unsynced(Folder):
    """To write a hundred thousand records in less than an hour; what is measured is the reading."""

    def sync(self, name):
        pass


def recovery(count=100_000):
    folder = Path(tempfile.mkdtemp())
    disk = Unsynced(folder)
    store = Store(disk)
    store.open()
    text = drains(["h1", "h2"])
    packed = pack({"servers.sexp": text})
    for number in range(1, count // 2 + 1):
        # Straight into the journal: the store itself makes a snapshot long before.
        one = Adoption(number, time.time(), "bench", f"d{number}", packed, {}, "2 hosts leave")
        store.journal.append(json.dumps({"kind": "adopted", "adoption": one.as_json()}).encode())
        store.journal.append(
            json.dumps({"kind": "effect", "number": number, "effect": "in 10s: 2 lines"}).encode()
        )
    disk.close()
    journal_bytes = sum(path.stat().st_size for path in folder.iterdir())
    begun = time.monotonic()
    again = Store(Folder(folder))
    last = again.open()
    print(
        json.dumps(
            {
                "records": count,
                "bytes": journal_bytes,
                "last": last.number,
                "open_s": round(time.monotonic() - begun, 2),
            }
        )
    )


if __name__ == "__main__":
    if sys.argv[1:2] == ["--wreck"]:
        write_wreckage(sys.argv[2], int(sys.argv[3]))
    else:
        {"applied": applied, "wreck": wreck, "size": size, "recovery": recovery}[sys.argv[1]]()
