"""The published test vectors: all encodings are equivalent, and a proxy applies them as stated."""

import json
from pathlib import Path

from ironfall.lab.vectors import check, make

CASES = json.loads((Path(__file__).parents[1] / "docs" / "vectors" / "states.json").read_text())


def test_the_published_vectors_are_read_alike_in_every_form():
    assert check(CASES) == []


def test_the_publisher_still_makes_them():
    # The compressed bytes are left out: they depend on the version of the library.
    made = [{k: v for k, v in case.items() if not k.endswith("+zstd")} for case in make()]
    assert made == [{k: v for k, v in case.items() if not k.endswith("+zstd")} for case in CASES]
    assert {case["outcome"] for case in CASES} == {"applied", "repeated", "gap"}


def test_a_reader_that_takes_a_state_wrongly_is_found():
    spoiled = json.loads(json.dumps(CASES))
    spoiled[2]["then held"]["checksum"] = "1"
    spoiled[3]["json"] = spoiled[3]["json"].replace("node2", "node3")
    assert len(check(spoiled)) == 2
