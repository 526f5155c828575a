"""The names that operators and peers rely on are those of before the code's own names were changed (`tests/names`)."""

from pathlib import Path

import pytest

from tests.names import outer_names
from tests.names.inventory import KINDS

NAMES = Path(__file__).with_name("names")


@pytest.mark.parametrize("kind", KINDS)
def test_no_name_that_others_rely_on_has_gone(kind):
    before = set((NAMES / f"{kind}.txt").read_text().splitlines())
    assert len(before) >= 3
    assert not sorted(before - KINDS[kind]())


def test_a_renamed_log_field_is_noticed(monkeypatch, tmp_path):
    """The inventory reads the program's text: one field that is called otherwise makes one line go."""
    package = tmp_path / "ironfall"
    package.mkdir()
    (package / "one.py").write_text(
        'log.info("begun", term=1)\n(log.error("end" if a else "stop"))\n'
    )
    monkeypatch.setattr("tests.names.inventory.ROOT", tmp_path)
    assert KINDS["log_events"]() == {"info begun: term", "error end: ", "error stop: "}


@pytest.mark.parametrize("kind", outer_names.KINDS)
def test_no_name_on_a_wire_or_in_stored_data_has_gone(kind):
    before = set((NAMES / f"{kind}.txt").read_text().splitlines())
    assert len(before) >= 3
    assert not sorted(before - outer_names.KINDS[kind]())


def test_a_renamed_key_is_noticed(monkeypatch, tmp_path):
    """A key that one package reads and another writes is held in both."""
    for package, text in (("cli", 'term = view["reign"]'), ("coordinator", '{"reign": 3}')):
        folder = tmp_path / "ironfall" / package
        folder.mkdir(parents=True)
        (folder / "view.py").write_text(text + '\nraise ValueError("term")\nlog.info("begun")\n')
    monkeypatch.setattr("tests.names.outer_names.ROOT", tmp_path)
    assert outer_names.texts() == {"cli: reign", "coordinator: reign"}


def test_lists_of_known_fields_are_read_name_by_name():
    collector = outer_names.OuterTexts()
    collector.visit(
        outer_names.ast.parse(
            'fields = JsonFields(answer, "", "stamp have")\nprose = "no such unit"'
        )
    )
    assert collector.found == {"stamp", "have"}
