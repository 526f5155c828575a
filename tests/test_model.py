"""The protocol explored in the small: everything holds in every state, and each mutant is caught by what should."""

import pytest

from ironfall.lab.model import MUTANTS, Bounds, Explorer, Rules


@pytest.mark.parametrize(
    "bounds", [Bounds(1, 3, 1), Bounds(1, 2, 2), Bounds(2, 2, 1, losses=0, repeats=0)], ids=str
)
def test_everything_holds_in_every_state(bounds):
    count, wrong, way = Explorer(bounds, Rules()).explore(50_000)
    assert not wrong, (wrong, way)
    assert count > 300


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_is_caught(name):
    mutant, what = MUTANTS[name]
    _, wrong, way = Explorer(Bounds(1, 3, 2), mutant()).explore(20_000)
    assert wrong.startswith(f"{what}:") and way, wrong
