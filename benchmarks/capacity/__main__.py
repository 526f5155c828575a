"""Makes the tables of docs/CAPACITY.md from docs/capacity.toml, and takes measurements into it.

    python -m benchmarks.capacity [--check] [--take FILE.json ... [--as PREFIX]] [--plot]

`--check` changes nothing and names the first line of the page that differs. `--take` puts measurements of
`python -m benchmarks.scale --json` into the file, `--plot` draws docs/capacity.png; both make the page's tables anew.
"""

import argparse
import json
import sys
import tomllib
from pathlib import Path

import tomlkit

from benchmarks.capacity import figures, plot, roles, tables

DOCS = Path(__file__).parent.parent.parent / "docs"


def main(words: list[str], docs: Path = DOCS) -> int:
    parser = argparse.ArgumentParser(
        "python -m benchmarks.capacity", description=(__doc__ or "").splitlines()[0]
    )
    parser.add_argument(
        "--check", action="store_true", help="change nothing; fail where page and arithmetic differ"
    )
    parser.add_argument(
        "--take", nargs="+", type=Path, default=[], metavar="FILE", help="measurements, JSON"
    )
    parser.add_argument(
        "--as",
        dest="prefix",
        default="",
        metavar="PREFIX",
        help="before the names of what is taken",
    )
    parser.add_argument("--plot", action="store_true", help="draw capacity.png")
    asked = parser.parse_args(words)
    if asked.check and (asked.take or asked.plot):
        parser.error("--check changes nothing: neither --take nor --plot goes with it")
    path, page = docs / "capacity.toml", docs / "CAPACITY.md"
    where: Path = path
    try:
        before = text = path.read_text()
        for where in asked.take:
            document = tomlkit.parse(text)
            taken = figures.take(document, json.loads(where.read_text()), asked.prefix)
            text = tomlkit.dumps(document)
            print(f"{where.name}: {', '.join(taken)}")
        where = path
        capacity = figures.read(tomllib.loads(text))
        roles.check(capacity)
        where = page
        old = page.read_text()
        made = tables.printed(old, capacity)
    except (figures.Faulty, OSError, ValueError) as cause:
        print("\n".join(f"{where}: {fault}" for fault in str(cause).splitlines()), file=sys.stderr)
        return 2
    if asked.check:
        if wrong := tables.differs(old, made):
            print(f"{wrong}\nmake it with: python -m benchmarks.capacity", file=sys.stderr)
        return 1 if wrong else 0
    if text != before:
        path.write_text(text)
    page.write_text(made)
    if asked.plot:
        plot.draw(capacity, str(docs / "capacity.png"))
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
