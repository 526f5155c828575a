"""The long-poll protocol, explored exhaustively within small bounds.

All invariants hold in every state, and each mutant violates the invariant that it is listed with.
"""

import pytest

from ironfall.lab.model import MUTANTS, Bounds, Explorer, Rules


@pytest.mark.parametrize(
    "bounds", [Bounds(1, 3, 1), Bounds(1, 2, 2), Bounds(2, 2, 1, losses=0, repeats=0)], ids=str
)
def test_all_invariants_hold_in_every_state(bounds):
    count, violation, path = Explorer(bounds, Rules()).explore(50_000)
    assert not violation, (violation, path)
    assert count > 300


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_violates_its_invariant(name):
    mutant, invariant = MUTANTS[name]
    _, violation, path = Explorer(Bounds(1, 3, 2), mutant()).explore(20_000)
    assert violation.startswith(f"{invariant}:") and path, violation
