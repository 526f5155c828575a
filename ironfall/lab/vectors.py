"""Test vectors of the long-poll protocol: the same states in each form, and what a proxy holds after them.

`docs/vectors/states.json` is for writers of other proxies, and holds our two codecs to each other: whoever decodes
every form of every case to the same fields, applies them in order and gets the same checksums, reads it as we do.
"""

import json
from pathlib import Path
from typing import Any

import zstandard

from ironfall.api import codec
from ironfall.generated import ironfall_pb2 as pb
from ironfall.publication import Delta, Holding, Publication

FILE = Path(__file__).parents[2] / "docs" / "vectors" / "states.json"
EPOCH = 1_733_000_000_000_000
FORMS = (("protobuf", codec.PROTOBUF), ("json", codec.JSON))


def story() -> list[tuple[str, Delta, list[tuple[int, int, int]]]]:
    """A session in the order in which its answers come, each with what it shows."""
    published = Publication(EPOCH, 2, max_versions=3)
    published.join(7)
    found = []

    def turn(what: str, start: int | None = None, to: int | None = None) -> None:
        costs = published.close()
        carried = [(published.version, 1_500, costs[7] + 7)] if 7 in costs else []
        start = published.version - 1 if start is None else start
        found.append(
            (what, published.delta(7, start, published.version if to is None else to), carried)
        )

    published.withdraw("node9@127.0.2.9:9000", True)
    turn("an unbound proxy is told of a withdrawal")
    for n, weight in enumerate((1.0, 0.333333, 2.5)):
        published.set_weight(3, f"node{n}@127.0.2.{n + 1}:9000", weight)
    published.assign(7, 3, 0)
    turn("all classes are bound to table 3: its lines whole")
    published.set_weight(3, "node1@127.0.2.2:9000", 0.5)
    published.admit(0b01, 0.75, 2)
    turn("a weight moves, class 0 is let in by three quarters")
    published.set_weight(3, "node2@127.0.2.3:9000", 0.0)
    published.withdraw("node9@127.0.2.9:9000", False)
    turn("a line is removed, a host may be picked again")
    published.set_weight(5, "nöde@127.0.3.1:9000", 1e-9)
    published.assign(7, 5, 0b10)
    turn("class 1 goes by another table; a name beyond ASCII; a weight that rounds to the least")
    published.set_weight(3, "node0@127.0.2.1:9000", 1.25)
    published.set_weight(3, "node0@127.0.2.1:9000", 1.5)
    turn("two changes of one line in one version")
    found.append(("the same again, as by a retry: nothing changes", found[-1][1], []))
    for n in range(40):
        published.set_weight(5, f"host{n}@127.0.4.{n + 1}:9000", 1 + n / 7)
    turn("large enough to be compressed")
    published.withdraw("host1@127.0.4.2:9000", True)
    turn("a whole state, in place of all before", start=-1)
    published.set_weight(3, "node0@127.0.2.1:9000", 1.0)
    published.close()
    published.set_weight(3, "node0@127.0.2.1:9000", 3.0)
    turn("two versions in one answer: the line goes once", start=published.version - 1)
    published.set_weight(3, "node1@127.0.2.2:9000", 1.0)
    published.close()
    published.set_weight(3, "node1@127.0.2.2:9000", 2.0)
    turn("a version is missed: a gap, and nothing of it is taken")
    return found


def make() -> list[dict[str, Any]]:
    holding, cases = Holding(2, {"node0@127.0.2.1:9000": 1_000_000}), []
    holding.join(EPOCH, 0)
    for what, delta, carried in story():
        outcome = holding.apply(delta)
        case: dict[str, Any] = {"what": what}
        for name, form in FORMS:
            body, _ = codec.encode(codec.pack_state(delta, carried), form)
            case[name] = body.hex() if name == "protobuf" else body.decode()
            case[f"{name}+zstd"] = zstandard.ZstdCompressor(level=3).compress(body).hex()
        case["fields"] = fields(delta)
        case["outcome"] = outcome.value
        case["then held"] = {
            "version": holding.version,
            "checksum": str(holding.sum),
            "picks": [dict(sorted(holding.lines(kind).items())) for kind in range(2)],
        }
        cases.append(case)
    return cases


def fields(delta: Delta) -> dict[str, Any]:
    return {
        "epoch": delta.epoch,
        "start": delta.start,
        "to": delta.to,
        "checksum": str(delta.checksum),
        "binds": {str(k): t for k, t in sorted(delta.binds.items())},
        "lines": [list(x) for x in delta.lines],
        "turns": [list(x) for x in delta.outs],
        "admits": [list(x) for x in delta.admits],
    }


def check(cases: list[dict[str, Any]]) -> list[str]:
    """What of the cases this codec and this proxy's side read otherwise; nothing where all agree."""
    holding, wrong = Holding(2, {"node0@127.0.2.1:9000": 1_000_000}), []
    holding.join(cases[0]["fields"]["epoch"], cases[0]["fields"]["start"])
    for case in cases:
        for name, form in FORMS:
            plain = bytes.fromhex(case[name]) if name == "protobuf" else case[name].encode()
            for body, encoding in ((plain, ""), (bytes.fromhex(case[f"{name}+zstd"]), "zstd")):
                delta = codec.unpack_state(codec.decode(pb.State, body, form, encoding, 1 << 20))
                if fields(delta) != case["fields"]:
                    wrong.append(f"{case['what']}: {name} {encoding} is read as {fields(delta)}")
        outcome = holding.apply(delta)
        held = {
            "version": holding.version,
            "checksum": str(holding.sum),
            "picks": [dict(sorted(holding.lines(kind).items())) for kind in range(2)],
        }
        if outcome.value != case["outcome"] or held != case["then held"]:
            wrong.append(f"{case['what']}: {outcome.value}, and then held are {held}")
    return wrong


def main() -> None:
    FILE.parent.mkdir(parents=True, exist_ok=True)
    FILE.write_text(json.dumps(make(), indent=1, ensure_ascii=False) + "\n")


if __name__ == "__main__":
    main()
