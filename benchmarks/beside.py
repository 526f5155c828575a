"""Exchanges through the proxy while a metrics receiver reads nothing, beside one that reads, and none: small days.

Three plays of a day without troubles, side by side; the latency is from when an exchange was asked for to its answer.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import re  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402

from benchmarks.common import percentile  # noqa: E402
from benchmarks.paused import Receiver  # noqa: E402
from ironfall.lab.tape import read  # noqa: E402

LENGTH = 75  # seconds, of which the receiver reads nothing for all but the first three


def run(how):
    receiver, folder = Receiver(), Path(tempfile.mkdtemp())
    terms = Path("deploy/terms/resale.sexp").read_text()
    if how != "none":
        send = f'(metrics (every 20ms) (spool 5000) (graphite (send "127.0.0.1:{receiver.server.server_port}")))'
        terms = terms.rstrip()[:-1] + send + ")\n"
    (folder / "terms.sexp").write_text(terms)
    lines = Path("deploy/days/small.day").read_text().splitlines()
    lines = [line for line in lines if not line.startswith("at ")]
    day = re.sub(
        r"(?m)^length .*",
        f"length {LENGTH}s",
        re.sub(r"(?m)^terms .*", "terms terms.sexp", "\n".join(lines)),
    )
    (folder / "quiet.day").write_text(day + "\n")
    if how == "paused":
        gevent.spawn_later(8, receiver.reads.clear)
    words = [
        "-m",
        "ironfall",
        "lab",
        "play",
        str(folder / "quiet.day"),
        "--quiet",
        "--folder",
        str(folder / "run"),
    ]
    process = subprocess.Popen([sys.executable, *words], stdout=subprocess.DEVNULL)
    process.wait()
    asked, times = {}, []
    for row in read(folder / "run" / "clients.tape"):
        if row["e"] == "asked":
            asked[row["token"]] = row["at"]
        elif row["e"] == "ended" and row["token"] in asked:
            times.append((row["t"] - asked[row["token"]]) / 10)
    row = {"receiver": how, "exit": process.returncode, "exchanges": len(times)}
    print(
        json.dumps(
            {**row, **{f"p{p}_ms": round(percentile(times, p / 100), 1) for p in (50, 99, 99.9)}}
        ),
        flush=True,
    )


if __name__ == "__main__":
    jobs = [gevent.spawn(run, how) for how in ("none", "reads", "paused")]
    gevent.joinall(jobs, raise_error=True)
