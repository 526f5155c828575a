"""The capacity page: made by its script alone, from a file that is read whole or not at all."""

import copy
import json
import random
import re
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest
import tomlkit
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.capacity import __main__ as command
from benchmarks.capacity import figures, plot, roles, tables
from benchmarks.capacity.bounds import BOUNDS_OF_TODAY
from benchmarks.capacity.formula import asked, first, formula, line
from benchmarks.capacity.places import (
    OCCASIONS,
    SAID,
    Place,
    Service,
    service_hosts,
    spread,
    weights,
)
from benchmarks.scale import frame

DOCS = Path(__file__).parent.parent / "docs"
HELD = tomllib.loads((DOCS / "capacity.toml").read_text())


# With few measurements, for the tests that read it again and again.
SMALL = {
    "asked": HELD["asked"],
    "assumed": HELD["assumed"],
    "slope": {what: HELD["slope"][what] for what in ("holding", "entries")},
}


def changed(held=HELD, **asked_for):
    return figures.read(held | {"asked": held["asked"] | asked_for})


def filled():
    """The file with all that any formula rests on, the values made up."""
    held = copy.deepcopy(HELD)
    formulas = [one for row in roles.ROWS for one in (row.need, row.limit) if one]
    for n, use in enumerate(use for one in formulas for use in one.uses):
        what, _, figure = use.name.partition(".")
        if figure not in held["slope"].get(what, {}):
            document = tomlkit.document()
            figures.take(
                document,
                measured(what, use.by or "any", tuple((n + 1.0) * k for k in (1, 2, 4, 16))),
            )
            held["slope"].setdefault(what, {})[figure] = document.unwrap()["slope"][what]["bytes"]
    return held


def places(held, path=()):
    """Every key of the file, by its path; lists are values."""
    for name, one in held.items():
        yield (*path, name)
        if isinstance(one, dict):
            yield from places(one, (*path, name))


def faults(held):
    try:
        figures.read(held)
    except figures.Faulty as cause:
        return str(cause)
    return ""


def measured(
    what="made", by="hosts", values=(10.0, 20.0, 40.0, 160.0), sizes=(10, 20, 40, 160), **more
):
    line = frame.fit(sizes, values)
    row = {
        "unit": "B",
        "counted": True,
        "values": list(values),
        "fixed": line.fixed,
        "slope": line.slope,
        "residual": line.residual,
        "predicted": 160.0,
        "measured": values[-1],
    }
    return {
        "what": what,
        "by": by,
        "day": "2026-12-02",
        "seed": 1,
        "repeats": 3,
        "sizes": list(sizes),
        "left_out": "all",
        "command": "python -m made",
        "figures": {"bytes": row | more},
    }


# the page


def test_page_and_script_agree(capsys):
    assert command.main(["--check"]) == 0, capsys.readouterr().err


def test_a_page_that_differs_fails_the_check_and_its_first_line_is_named(tmp_path, capsys):
    page = (DOCS / "CAPACITY.md").read_text()
    at = next(n for n, text in enumerate(page.splitlines()) if text.startswith("| hosts | 93,000"))
    (tmp_path / "CAPACITY.md").write_text(page.replace("| hosts | 93,000", "| hosts | 93,001", 1))
    (tmp_path / "capacity.toml").write_text((DOCS / "capacity.toml").read_text())
    assert command.main(["--check"], tmp_path) == 1
    assert f"line {at + 1} of the page: | hosts | 93,001" in capsys.readouterr().err
    assert command.main([], tmp_path) == 0 and (tmp_path / "CAPACITY.md").read_text() == page


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("<!-- table: factors -->", "<!-- table: factor -->", "table factor is unknown"),
        ("<!-- table: ranking -->", "<!-- table: factors -->", "table factors is there twice"),
        ("<!-- table: ranking -->", "", "the page has no table ranking"),
    ],
)
def test_a_page_whose_markers_do_not_fit_is_refused(old, new, fault):
    page = (DOCS / "CAPACITY.md").read_text().replace(old, new)
    with pytest.raises(figures.Faulty, match=fault):
        tables.printed(page, changed())


def test_a_number_of_the_operators_that_changes_changes_the_tables():
    held = filled()
    usual = changed(held)
    before = {name: make(usual) for name, make in tables.TABLES.items()}
    for name, value in held["asked"].items():
        other = changed(held, **{name: value * 2})
        differ = {table for table, make in tables.TABLES.items() if make(other) != before[table]}
        assert "asked" in differ and (len(differ) > 1 or name == "zone_loss_per_days"), name


def test_every_number_of_the_operators_is_in_a_formula_or_said_to_be_in_none():
    texts = " ".join(f"{row.need.text} {row.limit.text if row.limit else ''}" for row in roles.ROWS)
    texts += " ".join(b.need.text for b in BOUNDS_OF_TODAY) + SAID["proxies"]
    for one in OCCASIONS.values():
        texts += f" {one.changes.text} {one.turned.text} {one.hosts.text} {one.service_hosts.text}"
    used = set(re.findall(r"\w+", texts))
    assert {n for n in figures.ASKED if n not in used} == {
        "routes_a_service",
        "zipf_exponent",
        "zone_loss_per_days",
    }
    assert {n for n in figures.ASSUMED if n not in used} == set()


# the file


def test_the_file_without_any_key_or_with_one_more_names_it():
    for path in places(SMALL):
        if (
            len(path) < 2
            or path[0] == "slope"
            and len(path) < 4
            or path[-1] in ("predicted", "bend")
        ):
            continue
        held = copy.deepcopy(SMALL)
        table = held
        for name in path[:-1]:
            table = table[name]
        del table[path[-1]]
        assert f"{'.'.join(path)}: missing" in faults(held), path
        table["strange"] = 1
        assert f"{'.'.join(path[:-1])}.strange: unknown" in faults(held), path
    assert faults(SMALL | {"more": {}}) == "more: unknown"


@given(
    st.sampled_from(
        [
            p
            for p in places(SMALL)
            if len(p) == (4 if p[0] == "slope" else 2 if p[0] == "asked" else 3)
        ]
    ),
    st.sampled_from([None, [], {}, "", True, float("nan"), float("inf"), -1, "x"]),
)
def test_a_value_of_the_wrong_kind_is_named_or_is_one_that_may_be(path, value):
    held = copy.deepcopy(SMALL)
    table = held
    for name in path[:-1]:
        table = table[name]
    table[path[-1]] = value
    found, key = faults(held), path[-1]
    right = (
        key in ("unit", "why", "left_out", "command", "by")
        and value == "x"
        or key == "unit"
        and value == ""
        or key == "counted"
        and value is True
        or key in ("predicted", "seed", "repeats")
        and value == -1
    )
    assert right == (not found), found
    assert right or any(text.startswith(".".join(path)) for text in found.splitlines())


@given(st.data())
def test_a_slope_that_is_not_of_the_line_through_its_values_is_refused(data):
    names = [(w, f) for w, rows in SMALL["slope"].items() for f in rows]
    what, figure = data.draw(st.sampled_from(names))
    key = data.draw(st.sampled_from(["fixed", "slope", "residual"]))
    held = copy.deepcopy(SMALL)
    row = held["slope"][what][figure]
    row[key] += max(map(abs, row["values"])) + 1
    assert f"slope.{what}.{figure}.{key}: " in faults(held)


@pytest.mark.parametrize(
    ("sizes", "values", "fault"),
    [
        ([10, 20, 40], [1.0, 2.0, 4.0], "3 sizes, 4 are the fewest"),
        ([10, 20, 40, 80], [1.0, 2.0, 4.0, 8.0], "span 8.0 times"),
        ([10, 40, 20, 160], [1.0, 2.0, 4.0, 8.0], "whole numbers upward"),
        ([10, 20, 40, 160], [1.0, 2.0, 4.0], "one number for each size"),
        ([], [], "none"),
    ],
)
def test_a_slope_of_too_few_sizes_or_too_small_a_span_is_no_figure(sizes, values, fault):
    held = copy.deepcopy(HELD)
    next(iter(next(iter(held["slope"].values())).values())).update(sizes=sizes, values=values)
    assert fault in faults(held)


def test_a_measurement_is_taken_in_place_of_the_one_before_and_keeps_what_was_said_of_its_bend():
    document = tomlkit.parse((DOCS / "capacity.toml").read_text())
    assert figures.take(document, measured(), "other-") == ["other-made.bytes"]
    assert figures.take(document, measured()) == ["made.bytes"]
    document["slope"]["made"]["bytes"]["bend"] = "here is why"
    figures.take(document, measured(values=(20.0, 40.0, 80.0, 330.0)))
    held = tomllib.loads(tomlkit.dumps(document))
    slope = figures.read(held).slopes["made.bytes"]
    assert (
        slope.values[-1] == 330
        and slope.bend == "here is why"
        and slope.predicted == pytest.approx(320)
    )
    assert {name: held[name] for name in ("asked", "assumed")} == {
        name: HELD[name] for name in ("asked", "assumed")
    }


def test_a_virtual_day_is_taken_by_its_hosts_without_the_file_that_it_wrote():
    step = {
        "step": "rack",
        "entries": 9,
        "bytes": 90,
        "cpu_s": 0.12345678,
        "longest_ms": 1.0,
        "longest_kind": "list",
        "open": 2,
        "kinds": {},
    }
    still = step | {"entries": 0, "longest_kind": "", "kinds": {"part": {"longest_s": 0.0054321}}}
    made = {
        "what": "day",
        "hosts": 930,
        "directors": 120,
        "hours": 24,
        "day": "2026-12-02",
        "seed": 1,
        "command": "python -m made --json /there/it --after /there/a.json /b.json --seed 1",
        "left_out": "all",
        "findings": ["one"],
        "steps": [step, still],
    }
    document = tomlkit.parse((DOCS / "capacity.toml").read_text())
    assert figures.take(document, made) == figures.take(document, made) == ["day.of-930"]
    capacity = figures.read(tomllib.loads(tomlkit.dumps(document)))
    assert capacity.days["of-930"].steps[0].cpu_s == 0.123457
    assert "| rack | 0 | 9.0e-05 | 0.123 | part 5.43 ms |  | 2 |" in "\n".join(
        tables.days(capacity)
    )
    assert capacity.days["of-930"].command == "python -m made --after a.json b.json --seed 1"
    assert "- one" in tables.days(capacity)
    with pytest.raises(figures.Faulty, match="measured.steps.0.open: missing"):
        figures.take(document, made | {"steps": [{n: v for n, v in step.items() if n != "open"}]})


@pytest.mark.parametrize(
    "made",
    [
        {},
        [],
        measured() | {"sizes": [1, 2]},
        measured() | {"command": ""},
        measured() | {"more": 1},
        measured(residual="none"),
        measured(unit=3),
        {k: v for k, v in measured().items() if k != "day"},
    ],
)
def test_what_is_no_measurement_is_not_taken_and_the_file_stays(tmp_path, capsys, made):
    for name in ("CAPACITY.md", "capacity.toml"):
        (tmp_path / name).write_text((DOCS / name).read_text())
    (tmp_path / "made.json").write_text(json.dumps(made))
    assert command.main(["--take", str(tmp_path / "made.json")], tmp_path) == 2
    assert "made.json: measured" in capsys.readouterr().err
    assert (tmp_path / "capacity.toml").read_text() == (DOCS / "capacity.toml").read_text()


def test_what_the_frame_writes_is_taken(tmp_path):
    what = frame.load("entries")
    found = frame.drive(
        what, (1, 2, 4, 16), 1, 1, lambda text: None, frame.Progress(open(tmp_path / "out", "w"))
    )
    document = tomlkit.parse((DOCS / "capacity.toml").read_text())
    figures.take(document, frame.kept(found, "2026-12-02", 1, 1, "python -m made"))
    slopes = figures.read(tomllib.loads(tomlkit.dumps(document))).slopes
    assert slopes["entries.restart_entries"].slope == pytest.approx(6)


def test_sizes_that_count_something_else_than_a_formula_takes_them_for_are_refused():
    held = copy.deepcopy(HELD)
    held["slope"]["holding"]["held_bytes"]["by"] = "proxies"
    with pytest.raises(
        figures.Faulty, match="slope.holding.held_bytes.by: 'proxies'.*takes it for 'hosts'"
    ):
        roles.check(figures.read(held))


# the arithmetic


@given(st.integers(2, 5_000), st.floats(0, 2))
def test_the_shares_of_a_spread_are_all_of_it(services, exponent):
    total, squares = weights(services, exponent)
    shares = [rank**-exponent / total for rank in range(1, services + 1)]
    assert sum(shares) == pytest.approx(1) and 1 / services <= squares * (1 + 1e-9) <= 1 + 1e-6
    mean, high, largest = spread({"services": services, "zipf_exponent": exponent})
    assert mean.share <= largest.share and high.share <= largest.share == pytest.approx(shares[0])


@given(st.floats(1, 100), st.floats(1, 100), st.floats(1, 100))
def test_a_formulas_text_says_what_it_does(a, b, c):
    place = Place(
        changed(SMALL, hosts=a, zones=b, regions=c), Service("all", 1.0), OCCASIONS["calm"]
    )
    hosts, zones, regions = asked("hosts"), asked("zones"), asked("regions")
    for one in (
        hosts * (zones + regions),
        hosts / (zones * regions),
        hosts - (zones - regions),
        1 / (hosts / zones),
        (hosts + 2) / 3 * zones,
        2 * hosts - zones / regions,
        hosts / zones / regions,
    ):
        assert eval(one.text, {"hosts": a, "zones": b, "regions": c}) == pytest.approx(
            one.of(place)
        ), one.text


def test_within_the_span_a_figure_is_what_was_measured_and_beyond_it_is_marked():
    document = tomlkit.parse((DOCS / "capacity.toml").read_text())
    figures.take(document, measured(values=(10.0, 20.0, 50.0, 170.0)))
    capacity = figures.read(tomllib.loads(tomlkit.dumps(document)))
    slope, place = (
        capacity.slopes["made.bytes"],
        Place(capacity, Service("all", 1.0), OCCASIONS["calm"]),
    )
    assert [slope.at(size) for size in (10, 20, 30, 160)] == [10, 20, 35, 170]
    assert first("made.bytes", "hosts").of(place) == 1
    assert slope.at(170) == pytest.approx(170 + 10 * slope.slope)
    assert replace(slope, slope=-1.0).at(170) == 170
    assert line("made.bytes", formula(160), "hosts").beyond(place) == []
    assert line("made.bytes", formula(161), "hosts").beyond(place) == ["made.bytes"]


def test_without_its_measurement_a_row_has_no_figure_and_is_named_as_not_measured():
    held = copy.deepcopy(HELD)
    held["slope"] = {}
    capacity = figures.read(held)
    for row in roles.ROWS:
        for name in row.on:
            for cell in roles.cells(capacity, row, name):
                assert (cell.need is None) == bool(row.need.uses or row.limit and row.limit.uses), (
                    row.what
                )
    told = "\n".join(tables.unmeasured(capacity))
    assert all(f"`{use.name}`" in told for row in roles.ROWS for use in row.need.uses)
    assert not any(w.row.need.uses for w in tables.ranked(capacity))
    assert plot.panels(capacity) == []


def test_safety_comes_before_comfort_and_then_the_highest_factor():
    over = tables.ranking(changed())[2:]
    kinds = [line.split(" | ")[3] for line in over]
    assert kinds == sorted(kinds, key=lambda kind: kind != "safety")
    highest = [w.factor for w in tables.ranked(changed())]
    assert highest == sorted(highest, reverse=True)


def test_a_mechanism_shows_its_factors_beside_those_without():
    held = copy.deepcopy(HELD)
    held["mechanism"] = {
        "observers": {"what": "members at rest cost the log nothing", "module": "there"}
    }
    document = tomlkit.parse(tomlkit.dumps(held))
    rest = measured("observed-rest", "members", (1.0, 1.0, 1.0, 1.0))
    rest["figures"] = {"entries_s": rest["figures"]["bytes"]}
    figures.take(document, rest)
    figures.take(
        document,
        measured("keeper-entries", "askers", (900.0, 950.0, 960.0, 960.0))
        | {
            "figures": {
                "entries_s": measured(values=(900.0, 950.0, 960.0, 960.0))["figures"]["bytes"]
            }
        },
    )
    capacity = figures.read(tomllib.loads(tomlkit.dumps(document)))
    row = next(row for row in roles.ROWS if row.what == "entries at rest")
    assert tables.worst_of(capacity, row, "observers").factor == pytest.approx(1 / 960)
    assert any(
        "| observers | keeper and ledger: entries at rest |" in text
        for text in tables.mechanisms(capacity)
    )
    assert tables.factors(capacity)[0].endswith("| carried by | with observers |")


def test_where_line_and_limit_cross_the_need_is_the_limit():
    capacity, chance = changed(), random.Random(1)
    for panel in plot.panels(capacity):
        services = spread(capacity.asked) if panel.row.services else (roles.WHOLE,)
        place = Place(capacity, chance.choice(services), OCCASIONS[panel.on])
        if level := plot.limit_of(panel, place):
            slope = capacity.slopes[panel.use.name]
            flat = replace(slope, slope=0.0, values=(level,) * len(slope.values))
            other = replace(
                place, capacity=replace(capacity, slopes={**capacity.slopes, slope.name: flat})
            )
            assert panel.row.need.of(other) == pytest.approx(panel.row.limit.of(other)), (
                panel.row.what
            )


def test_a_bound_of_today_binds_by_what_the_code_has():
    rows = {row[0]: row for row in (tables._bound(changed(), b) for b in BOUNDS_OF_TODAY)}
    assert len(rows) == len(BOUNDS_OF_TODAY)
    first = BOUNDS_OF_TODAY[0]
    bound = "set by `(hosts N)`" if first.settable else "**yes**"
    assert first.name == "hosts of the ledger" and rows[first.name][4] == (
        bound if first.value < 93_000 else "no"
    )
    assert rows["exchanges in hand of a proxy"][4] == "no"
    few = {
        b.name: tables._bound(changed(hosts=1_000, directors=200), b)[4] for b in BOUNDS_OF_TODAY
    }
    assert few["hosts of the ledger"] == few["askers"] == "no"
    assert service_hosts.text in next(b for b in BOUNDS_OF_TODAY if "hosts met" in b.name).need.text
