"""The published test vectors: all encodings are equivalent, and a proxy applies them as stated."""

import json
from pathlib import Path

from ironfall.lab.vectors import check, make

CASES = json.loads((Path(__file__).parents[1] / "docs" / "vectors" / "states.json").read_text())


def test_published_vectors_decode_alike_in_every_encoding():
    assert check(CASES) == []


def test_publisher_produces_the_published_vectors():
    # The compressed bytes are left out: they depend on the version of the library.
    produced = [{k: v for k, v in case.items() if not k.endswith("+zstd")} for case in make()]
    assert produced == [
        {k: v for k, v in case.items() if not k.endswith("+zstd")} for case in CASES
    ]
    assert {case["outcome"] for case in CASES} == {"applied", "repeated", "gap"}


def test_vectors_that_differ_from_the_implementation_are_reported():
    altered = json.loads(json.dumps(CASES))
    altered[2]["then held"]["checksum"] = "1"
    altered[3]["json"] = altered[3]["json"].replace("node2", "node3")
    assert len(check(altered)) == 2
