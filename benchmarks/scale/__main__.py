"""Plays one measurement by size and fits a line to it.

    python -m benchmarks.scale [WHAT] [--sizes A,B,C,D] [--json FILE] [--repeats N] [--seed N]

Without WHAT: the measurements there are. What is measured goes to standard output, the progress to standard error.
"""

import argparse
import datetime
import json
import sys
from pathlib import Path

from benchmarks.scale import frame


def say(text: str) -> None:
    print(text, flush=True)


def main(words: list[str]) -> int:
    parser = argparse.ArgumentParser(
        "python -m benchmarks.scale", description=__doc__.splitlines()[0]
    )
    parser.add_argument("what", nargs="?", help="a measurement; without one, those there are")
    parser.add_argument(
        "--sizes", help="whole numbers upward, with commas between; the measurement's own without"
    )
    parser.add_argument(
        "--json", type=Path, help="where the figures go; wants four sizes over sixteen times"
    )
    parser.add_argument(
        "--repeats", type=int, default=3, help="plays of each size, of which the median counts"
    )
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args(words)
    if not asked.what:
        for name, line in frame.listed().items():
            print(f"{name:<20} {line}")
        return 0
    try:
        if asked.repeats < 1:
            raise frame.Refused(f"--repeats {asked.repeats}: one or more are wanted")
        what = frame.load(asked.what)
        sizes = frame.sizes_from(asked.sizes) if asked.sizes else what.sizes
        frame.check(
            what, sizes, frame.memory_mb(Path("/proc/meminfo").read_text()), asked.json is not None
        )
        if asked.json and not asked.json.absolute().parent.is_dir():
            raise frame.Refused(f"--json {asked.json}: there is no folder {asked.json.parent}")
        say(
            f"{what.name}, by {what.by}, median of {asked.repeats}, seed {asked.seed}. Left out: {what.left_out}"
        )
        found = frame.drive(what, sizes, asked.repeats, asked.seed, say, frame.Progress(sys.stderr))
    except frame.Refused as cause:
        print(f"refused: {cause}", file=sys.stderr)
        return 2
    print("\n".join(frame.account(found)))
    if asked.json:
        said = ",".join(map(str, sizes))
        command = f"python -m benchmarks.scale {what.name} --sizes {said} --repeats {asked.repeats} --seed {asked.seed}"
        row = frame.kept(
            found, datetime.date.today().isoformat(), asked.seed, asked.repeats, command
        )
        asked.json.write_text(json.dumps(row, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
