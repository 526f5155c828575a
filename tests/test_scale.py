"""The frame of the scale measurements: the line, what is foretold, and what it refuses to begin."""

import io
import json
import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.scale import __main__ as command
from benchmarks.scale import frame


def measurement(play, **more):
    given = {
        "SIZES": (10, 20, 40, 160),
        "BY": "hosts",
        "FIGURES": {"bytes": "B"},
        "LEFT_OUT": "all",
        "PROCESSES": 0,
        "MEMORY_MB": lambda size: 1.0,
        "play": play,
    }
    return frame.What.of("made", SimpleNamespace(**given | more))


def driven(what, sizes=None, repeats=3):
    said = []
    progress = frame.Progress(io.StringIO())
    return frame.drive(what, sizes or what.sizes, repeats, 1, said.append, progress), said


@given(
    st.floats(-1e6, 1e6),
    st.floats(-1e3, 1e3),
    st.lists(st.integers(1, 10_000), min_size=2, unique=True),
)
def test_a_line_is_found_again_with_no_residual(fixed, slope, sizes):
    values = [fixed + slope * size for size in sizes]
    line = frame.fit(sizes, values)
    assert all(
        abs(line.at(s) - v) <= 1e-5 * (1 + max(map(abs, values)))
        for s, v in zip(sizes, values, strict=True)
    )


def test_the_residual_is_the_largest_departure_as_a_share():
    line = frame.fit([1, 2, 3], [10, 20, 60])
    shares = [abs(line.at(size) - value) / value for size, value in ((1, 10), (2, 20), (3, 60))]
    assert line.residual == pytest.approx(max(shares)) and 0.1 < line.residual < 1


def test_the_largest_size_alone_does_not_decide_the_fixed_cost():
    line = frame.fit(
        [10, 100, 1_000, 10_000], [110, 200, 1_100, 12_000]
    )  # 100 fixed, and a fifth more at the end
    assert line.fixed == pytest.approx(100, rel=0.1)


def test_a_size_is_foretold_by_those_before_it_and_before_it_is_played():
    order = []

    def play(size, chance):
        order.append(size)
        return {"bytes": 7.0 + 3 * size}

    what, said = measurement(play), []
    progress = frame.Progress(io.StringIO())
    found = frame.drive(
        what, what.sizes, 1, 1, lambda text: said.append((len(order), text)), progress
    )
    assert [at for at, text in said if "foretold" in text] == [2, 3]
    assert found.rows()["bytes"] | {"values": 0} == {
        "unit": "B",
        "counted": False,
        "values": 0,
        "fixed": pytest.approx(7),
        "slope": pytest.approx(3),
        "residual": pytest.approx(0),
        "predicted": pytest.approx(487),
        "measured": 487.0,
    }
    assert "BENDS" not in "".join(frame.account(found))


def test_a_prediction_that_is_off_by_more_than_a_quarter_names_the_sizes_on_both_sides_of_the_bend():
    found, _ = driven(
        measurement(lambda size, chance: {"bytes": size * (2.0 if size > 100 else 1.0)})
    )
    assert frame.account(found)[0].endswith("off -50.0% BENDS between 40 and 160 hosts")


def test_repeats_have_the_same_chance_and_their_median_counts():
    drawn, given = [], iter([5.0, 1.0, 3.0] * 4)

    def play(size, chance):
        drawn.append((size, chance.random()))
        return {"bytes": next(given)}

    found, _ = driven(measurement(play))
    assert found.values["bytes"] == [3.0] * 4
    assert len(set(drawn)) == 4


def test_a_count_that_differs_between_repeats_is_an_error_that_names_it():
    given = iter(range(99))
    what = measurement(
        lambda size, chance: {"bytes": next(given), "us": 1.0},
        FIGURES={"bytes": "B", "us": "us"},
        COUNTED=frozenset({"bytes"}),
    )
    with pytest.raises(
        frame.Refused,
        match=r"made at 10 hosts: counts that differ between repeats: bytes \(0, 1, 2\)",
    ):
        driven(what)


@pytest.mark.parametrize(
    ("play", "fault"),
    [
        (lambda size, chance: {}, "bytes stated or given"),
        (lambda size, chance: {"bytes": 1.0, "more": 1.0}, "more stated or given"),
        (lambda size, chance: {"bytes": float("nan")}, "bytes is no finite number"),
    ],
)
def test_a_play_that_gives_other_figures_than_stated_is_refused(play, fault):
    with pytest.raises(frame.Refused, match=fault):
        driven(measurement(play))


@pytest.mark.parametrize(
    ("more", "sizes", "kept", "fault"),
    [
        (
            {"MEMORY_MB": lambda size: size},
            (1, 2, 3, 501),
            False,
            "501 hosts is expected to take 501 MB; half of the",
        ),
        ({"PROCESSES": 201}, (1, 2, 3, 16), False, "starts 201 processes; 200 are the most"),
        ({}, (1, 8, 16), True, "3 sizes, 4 are the fewest"),
        ({}, (1, 2, 3, 15), True, "span 15.0 times, 16 are the least"),
    ],
)
def test_what_takes_too_much_of_the_machine_or_is_no_figure_is_not_begun(more, sizes, kept, fault):
    what = measurement(lambda size, chance: {"bytes": 1.0}, **more)
    with pytest.raises(frame.Refused, match=fault):
        frame.check(what, sizes, 1_000.0, kept)


def test_few_sizes_may_be_looked_at_and_are_called_no_figure():
    what = measurement(lambda size, chance: {"bytes": 1.0})
    frame.check(what, (1, 2), 1_000.0, False)
    found, _ = driven(what, (1, 2))
    assert (
        frame.account(found)[-1] == "A look and no figure: 2 sizes, 4 are the fewest for a slope."
    )


def test_the_machines_memory_is_read_from_its_line():
    assert frame.memory_mb("MemFree: 1 kB\nMemTotal:       2048 kB\n") == 2
    with pytest.raises(frame.Refused, match="no line MemTotal"):
        frame.memory_mb("MemFree: 1 kB\n")


@pytest.mark.parametrize("text", ["", "a", "1,,2", "0,1", "4,2", "2,2"])
def test_sizes_that_do_not_go_upward_are_refused(text):
    with pytest.raises(frame.Refused, match="--sizes"):
        frame.sizes_from(text)


def test_each_measurement_states_all_that_the_frame_asks_for():
    assert "holding" in frame.listed()
    for name in frame.listed():
        what = frame.load(name)
        assert not frame.no_figure(what.sizes) and what.processes <= frame.MOST_PROCESSES, name
        assert what.left_out.endswith(".") and what.memory(what.sizes[0]) <= what.memory(
            what.sizes[-1]
        ), name


def test_what_a_proxy_holds_goes_by_hosts_and_a_changed_line_does_not():
    what = frame.load("holding")
    few, many = (what.play(size, random.Random(1)) for size in (40, 640))
    assert many["held_bytes"] > 10 * few["held_bytes"]
    assert many["change_bytes"] <= few["change_bytes"] + 8  # the host's name is longer


def test_the_command_lists_refuses_and_writes(tmp_path, capsys):
    assert command.main([]) == 0 and "holding" in capsys.readouterr().out
    assert command.main(["nothing"]) == 2 and "no measurement 'nothing'" in capsys.readouterr().err
    out = tmp_path / "holding.json"
    assert (
        command.main(["holding", "--sizes", "10,20", "--json", str(out)]) == 2 and not out.exists()
    )
    assert (
        command.main(["holding", "--sizes", "4,8,16,64", "--repeats", "1", "--json", str(out)]) == 0
    )
    row = json.loads(out.read_text())
    assert (row["what"], row["sizes"], row["figures"]["state_bytes"]["counted"]) == (
        "holding",
        [4, 8, 16, 64],
        True,
    )
    assert (
        row["command"]
        == "python -m benchmarks.scale holding --sizes 4,8,16,64 --repeats 1 --seed 1"
    )
