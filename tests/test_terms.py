"""Settings files are validated as a whole, and each error names its place."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.terms import Unreadable, read_terms

FILES = sorted((Path(__file__).parent.parent / "deploy" / "terms").glob("*.sexp"))
RESALE = next(f for f in FILES if f.stem == "resale").read_text()


def faults_of(text):
    """Returns the errors that the text is rejected for, as operators read them."""
    with pytest.raises(Unreadable) as caught:
        read_terms("t", text)
    return [str(fault) for fault in caught.value.faults]


@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_each_example_file_is_accepted(path):
    assert read_terms(str(path), path.read_text()).service.drain_grace > 0


@pytest.mark.parametrize(
    ("old", "new", "place", "message"),
    [
        ("(grace 3s)", "(grace 3)", "7:10", "expected a time with a unit"),
        ("(grace 3s)", "(grace 3h)", "7:10", "expected a time with a unit"),
        (
            "(grace 3s)",
            "(grace 500ms)",
            "7:3",
            "the grace of 500ms must exceed the delay of the slowest message",
        ),
        ("(grace 3s)", "", "2:1", "(grace ...) is missing"),
        ("(grace 3s)", "(grace 3s) (grace 4s)", "7:14", "occurs a second time"),
        ("(grace 3s)", "(graze 3s) (grace 3s)", "7:3", "unknown word graze"),
        ("(queue 3000)", "(queue 60)", "10:3", "doesn't hold one withdrawal"),
        (
            "(pace 3000)",
            "(pace 20)",
            "10:3",
            "longer than the grace minus the delay of the slowest message",
        ),
        ("(share 0.2)", "(share 1.5)", "9:3", "at most 1"),
        ("(gauges inflight)", "(gauges smell)", "11:43", "unknown gauge smell"),
        ("(key-life 8s)", "", "5:3", "a keyed class needs (key-life TIME)"),
        ("(abandon 6s)", "(abandon 1s)", "4:3", "longer than the abandon time"),
        ("(proxies 9)", "(proxies nine)", "14:12", "expected a whole number"),
        ('"127.0.0.1:7601"', '"somewhere"', "16:11", "expected an address"),
        ("(mode asked)", "(mode maybe)", "15:43", "expected one of watched, asked"),
        ('"harbour" "hill"', '"hill" "hill"', "3:17", "named twice"),
    ],
)
def test_fault_is_reported_with_its_line_and_column(old, new, place, message):
    assert old in RESALE
    found = faults_of(RESALE.replace(old, new, 1))
    assert any(fault.startswith(f"t:{place}: ") and message in fault for fault in found), found


def test_all_faults_are_reported_together():
    text = RESALE.replace("(grace 3s)", "(grace 3)").replace("(proxies 9)", "(proxies -1)")
    assert len(faults_of(text)) >= 2


@pytest.mark.parametrize(
    "text", ["", "(", ")", '(service "a', "(service [x])", "hello", "((((", "(service)", '"x"']
)
def test_text_that_is_no_settings_file_is_refused(text):
    assert faults_of(text)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(0, len(RESALE) - 1),
    st.text(alphabet='()"; \n0s5mxé-', max_size=4),
    st.integers(0, 6),
)
def test_edited_file_is_accepted_or_refused_with_places(at, inserted, removed):
    try:
        read_terms("t", RESALE[:at] + inserted + RESALE[at + removed :])
    except Unreadable as error:
        assert error.faults
        assert all(fault.line >= 1 and fault.column >= 1 for fault in error.faults)
