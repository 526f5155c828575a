"""Every scenario in tests/scenarios/, by the runner in tests/play.py, and the doctests."""

import doctest
import importlib
from pathlib import Path

import pytest

from tests import play


@pytest.mark.parametrize(
    "path", sorted(Path(__file__).with_name("scenarios").glob("*.txt")), ids=lambda p: p.stem
)
def test_scenario(path):
    play.play(path.read_text())


@pytest.mark.parametrize("name", ["tests.play", "ironfall.lab.day", "ironfall.api.exchange"])
def test_examples(name):
    assert doctest.testmod(importlib.import_module(name)).failed == 0
