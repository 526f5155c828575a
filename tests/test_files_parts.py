"""The parts of `ironfall.files`: notation, merge, checks, detection of changes, store."""

import json
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.files.checks import ChangeLimits, check, difference
from ironfall.files.merge import InvalidRowsError, Merge
from ironfall.files.notation import read_set
from ironfall.files.servers import ServerSet
from ironfall.files.store import MAX_ADOPTIONS, Adoption, Store, pack
from ironfall.files.taking import ChangeDetector
from ironfall.storage.disk import Folder
from ironfall.terms import Unreadable
from tests.disks import Died, Disk
from tests.rig import TERMS

NOW = 1_790_000_000.0
ZONES = ("harbour", "hill", "plain")
CLASSES = ("listing", "hold", "settle")
GOOD = """(servers "resale" (by "ops")
  (host "h1" (state drain) (keep "hold" "settle"))
  (host "n1" (address "127.0.9.9:9000") (zone "hill") (weight 1.5))
  (pin "h2" (weight 0.5) (owner "ops") (reason "slow disk") (until "2030-01-01T00:00:00Z"))
  (bounds "h3" (floor 0.5) (cap 2)))
"""
AS_JSON = json.dumps(
    {
        "servers": "resale",
        "by": "ops",
        "hosts": [
            {"name": "h1", "state": "drain", "keep": ["hold", "settle"]},
            {"name": "n1", "address": "127.0.9.9:9000", "zone": "hill", "weight": 1.5},
        ],
        "pins": [
            {
                "name": "h2",
                "weight": 0.5,
                "owner": "ops",
                "reason": "slow disk",
                "until": "2030-01-01T00:00:00Z",
            }
        ],
        "bounds": [{"name": "h3", "floor": 0.5, "cap": 2}],
    }
)


def rows(count=9, **changed):
    return [
        {
            "name": f"h{n}",
            "address": f"127.0.9.{n + 1}:9000",
            "zone": ZONES[n % 3],
            "state": "ready",
            **changed.get(f"h{n}", {}),
        }
        for n in range(count)
    ]


def parse(text, name="a.sexp"):
    return read_set([(name, text.encode())])


def faults(*fragments):
    with pytest.raises(Unreadable) as error:
        read_set(
            [(name, text if isinstance(text, bytes) else text.encode()) for name, text in fragments]
        )
    return str(error.value)


def check_change(text, before=None, now=NOW, limits=None, first=False, registry=None):
    current = before or Merge().with_registry_rows(
        registry if registry is not None else rows(), True
    )
    after = current.adopt(parse(text), now, first)
    is_first_state = first and not current.rows
    found = check(
        current,
        after,
        now,
        "resale",
        ZONES,
        CLASSES,
        100_000,
        limits or ChangeLimits(),
        is_first_state,
    )
    return found, after


# Notation


def test_both_notations_give_the_same_set():
    a, b = parse(GOOD).as_json(), parse(AS_JSON, "a.json").as_json()
    for found in (a, b):
        for part in ("hosts", "pins", "bounds"):
            for one in found[part].values():
                one.pop("place")
    assert a == b and a["hosts"]["n1"]["weight"] == 1.5
    assert ServerSet.from_json(json.loads(json.dumps(parse(GOOD).as_json()))) == parse(GOOD)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, len(GOOD.rstrip()) - 1), st.integers(0, len(AS_JSON) - 1))
def test_a_truncated_file_is_refused(at, other):
    faults(("a.sexp", GOOD[:at]))
    faults(("a.json", AS_JSON[:other]))


@pytest.mark.parametrize(
    ("text", "place", "what"),
    [
        ('(servers "s"\n  (host "a" (wieght 2)))', "a.sexp:2:21", "unknown word 'wieght'"),
        (
            '(servers "s"\n  (host "a")\n (host "a"))',
            "a.sexp:3:2",
            "given twice; the first is at a.sexp:2:3",
        ),
        (
            '(servers "s" (host "a" (weight 0)))',
            "a.sexp:1:32",
            "to take a host out of service, drain it",
        ),
        ('(servers "s" (host "a" (weight 1e9)))', "a.sexp:1:32", "expected a number from"),
        (
            '(servers "s" (host "a" (address "127.0.0.1:9")))',
            "a.sexp:1:14",
            "an address but no zone",
        ),
        (
            '(servers "s" (host "a" (address "300.0.0.1:9") (zone "z")))',
            "a.sexp:1:33",
            "expected an address",
        ),
        ('(servers "s" (pin "a" (weight 1)))', "a.sexp:1:14", "pin needs owner"),
        (
            '(servers "s" (pin "a" (weight 1) (owner "o") (reason "r") (until "soon")))',
            "a.sexp:1:66",
            "expected a time",
        ),
        ('(servers "s" (bounds "a" (floor 2) (cap 1)))', "a.sexp:1:14", "above its cap"),
        ('(servers "s")\n(servers "s")', "a.sexp:2:1", "nothing else"),
        ('(servers "s" (leave (remove 60)))', "a.sexp:1:29", "expected a percentage"),
        ("(" * 500 + ")" * 500, "a.sexp:1:1", "nested 500 deep"),
        ("", "a.sexp:1:1", "expected one list"),
        (
            "\n os\\",
            "a.sexp:2:2",
            "a backslash with nothing after it",
        ),  # the parser library raises IndexError for this
    ],
)
def test_faults_are_reported_with_their_places(text, place, what):
    found = faults(("a.sexp", text))
    assert place in found and what in found


def test_invalid_bytes_invalid_json_and_contradicting_fragments_are_reported():
    assert "a.sexp:2:2: invalid UTF-8" in faults(("a.sexp", b'(servers\n \xff "x")'))
    assert "'servers' is given twice in one object" in faults(
        ("a.json", '{"servers": "s", "servers": "t"}')
    )
    assert "hosts[1]" in faults(
        ("a.json", '{"servers": "s", "hosts": [{"name": "a"}, {"name": "b", "x": 1}]}')
    )
    assert "nested too deeply" in faults(("a.json", '{"servers":' + "[" * 100_000))
    assert "servers of service 't', but an earlier fragment has 's'" in faults(
        ("a.sexp", '(servers "s")'), ("b.sexp", '(servers "t")')
    )
    assert "the first is at a.sexp" in faults(
        ("a.sexp", '(servers "s" (host "a"))'),
        ("b.json", '{"servers": "s", "hosts": [{"name": "a"}]}'),
    )


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.data())
def test_any_bytes_give_a_set_or_faults(data):
    text = bytearray(data.draw(st.sampled_from([GOOD, AS_JSON])).encode())
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(text) - 1))
        text[at : at + data.draw(st.integers(0, 9))] = data.draw(st.binary(max_size=9))
    for name in ("a.sexp", "a.json"):
        try:
            read_set([(name, bytes(text))])
        except Unreadable as error:
            assert error.faults


# Merge


def states(merge, now=NOW):
    return {row["name"]: (row["state"], row.get("weight", 1.0)) for row in merge.merged_rows(now)}


def test_precedence_of_the_registry_and_the_file():
    both = (
        Merge()
        .with_registry_rows(rows(h4={"state": "draining"}), True)
        .adopt(
            parse("""(servers "resale"
      (host "h1" (state drain)) (host "h2" (state gone)) (host "h3" (weight 3)) (host "h4" (state ready))
      (host "h5" (weight 3)) (pin "h5" (weight 2) (owner "o") (reason "r") (until "2026-10-01T00:00:00Z"))
      (host "h6" (address "127.0.9.99:1") (zone "hill")) (host "new" (address "127.0.9.98:1") (zone "hill")))"""),
            NOW,
            False,
        )
    )
    before = 1_790_000_000.0  # before the pin expires
    found = states(both, before)
    assert found["h1"][0] == "draining" and "h2" not in found and found["h3"] == ("ready", 3)
    assert (
        found["h4"][0] == "draining"
        and found["h5"] == ("ready", 2.0)
        and found["new"] == ("ready", 1.0)
    )
    assert states(both, NOW * 2)["h5"] == ("ready", 3)
    assert (
        sum(row["name"] == "h6" for row in both.merged_rows(NOW)) == 1
    )  # the registry decides where it runs


def test_a_host_added_by_a_file_is_cold_and_keeps_its_age_over_adoptions():
    merge = Merge().with_registry_rows(rows(), True)
    one = '(servers "resale" (host "n" (address "127.0.9.98:1") (zone "hill")))'
    first = merge.adopt(parse(one), NOW, False)
    assert first.merged_rows(NOW + 5)[-1]["age_ms"] == 5000
    second = first.adopt(parse(one + "\n"), NOW + 50, False)
    assert second.merged_rows(NOW + 60)[-1]["age_ms"] == 60_000
    assert (
        "age_ms"
        not in merge.adopt(
            parse(one.replace('"hill"', '"hill") (warm yes')), NOW, False
        ).merged_rows(NOW)[-1]
    )


def test_registry_changes_are_merged_and_malformed_ones_change_nothing():
    merge = Merge().with_registry_rows(rows(3), True)
    after = merge.with_registry_rows(
        [{"name": "h1", "address": "127.0.9.2:9000", "zone": "hill", "state": "gone"}], False
    )
    assert set(states(after)) == {"h0", "h2"} and set(states(merge)) == {"h0", "h1", "h2"}
    for malformed in (7, [7], [{}], [{"name": "a"}]):
        with pytest.raises(InvalidRowsError):
            merge.with_registry_rows(malformed, True)


# Checks


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ('(servers "other")', "this is 'resale'"),
        (
            '(servers "resale" (host "n" (address "127.0.9.98:1") (zone "moor")))',
            "in zone 'moor'; expected one of: harbour",
        ),
        (
            '(servers "resale" (host "h0" (state drain)) (host "h3" (state drain)) (host "h6" (state drain)))',
            "of harbour",
        ),
        (
            '(servers "resale" (host "h0" (state drain)) (host "h1" (state drain)) (host "h2" (state gone)))',
            "33% of the ready capacity would be removed",
        ),
        (
            '(servers "resale" ' + "".join(f'(host "h{n}" (state drain))' for n in range(9)) + ")",
            "no class would have",
        ),
        (
            '(servers "resale" '
            + "".join(f'(host "n{n}" (address "127.0.8.{n}:1") (zone "hill"))' for n in range(20))
            + ")",
            "of the capacity would be new cold hosts, over the limit of 50%",
        ),
        (
            '(servers "resale" (host "n" (address "127.0.9.98:1") (zone "hill")) '
            '(host "m" (address "127.0.9.98:1") (zone "hill")))',
            "has the same address as n",
        ),
        ('(servers "resale" (host "h1" (keep "buy")))', "no class 'buy'; expected one of: "),
        (
            '(servers "resale" '
            + "".join(f'(host "h{n}" (keep "hold" "settle"))' for n in range(9))
            + ")",
            "settle would",
        ),
        ('(servers "resale" (host "h1" (weight 40)))', "would get 95% of the requests of hill"),
        (
            '(servers "resale" (pin "h1" (weight 0.001) (owner "o") (reason "r") (until "2030-01-01T00:00:00Z"))'
            '(pin "h4" (weight 0.001) (owner "o") (reason "r") (until "2030-01-01T00:00:00Z"))'
            '(pin "h7" (weight 0.001) (owner "o") (reason "r") (until "2030-01-01T00:00:00Z")))',
            "33% of the ready",
        ),
    ],
)
def test_a_set_that_breaks_a_rule_is_refused(text, what):
    found, _ = check_change(text)
    assert any(what in problem for problem in found.problems), found


def test_a_set_without_warm_hosts_is_refused():
    found, _ = check_change(
        '(servers "resale")', registry=rows(3, **{f"h{n}": {"age_ms": 10} for n in range(3)})
    )
    assert "no class would have a ready host that is warm" in found.problems


def test_leave_applies_only_to_the_change_that_brings_it():
    leave = '(leave (remove 70%) (owner "o") (reason "r"))'
    two = '(host "h0" (state drain)) (host "h1" (state drain))'
    four = two + '(host "h2" (state drain)) (host "h4" (state drain))'
    found, after = check_change(f'(servers "resale" {leave} {four})')
    assert not found.problems
    six = four + '(host "h5" (state drain)) (host "h7" (state drain))'
    again, _ = check_change(f'(servers "resale" {leave} {six})', before=after)
    assert any("of the ready capacity" in problem for problem in again.problems)
    assert check_change(f'(servers "resale" {four})')[0].problems


def test_a_first_set_without_a_registry_may_add_any_number_of_hosts():
    hosts = "".join(
        f'(host "n{n}" (address "127.0.8.{n}:1") (zone "{ZONES[n % 3]}"))' for n in range(20)
    )
    found, after = check_change(f'(servers "resale" {hosts})', before=Merge(), first=True)
    assert not found.problems and len(after.merged_rows(NOW)) == 20


def test_a_difference_lists_leaving_hosts_and_counts_portions():
    from ironfall.terms import read_terms

    terms = read_terms(str(TERMS), TERMS.read_text())
    before = Merge().with_registry_rows(rows(60), True)
    drains = before.adopt(parse('(servers "resale" (host "h0" (state drain)))'), NOW, False)
    found = difference(before, drains, NOW, terms.service, terms.entries_per_second)
    assert (
        found.leaving == ["h0@127.0.9.1:9000"] and found.portions == 1 and 0 < found.seconds < 0.1
    )
    many = "".join(
        f'(host "n{n}" (address "127.0.8.{n}:1") (zone "hill") (warm yes))' for n in range(250)
    )
    more = before.adopt(parse(f'(servers "resale" {many})'), NOW, False)
    found = difference(before, more, NOW, terms.service, terms.entries_per_second)
    assert len(found.joining) == 250 and found.portions == 2 and found.lines >= 250 * 9
    assert difference(before, before, NOW, terms.service, 1.0).lines == 0


# Detection of changes


def test_a_renamed_file_is_adopted_at_once_and_one_written_in_place_after_two_equal_readings():
    detector = ChangeDetector(0.2)
    assert detector.observe(0.0, "a", was_renamed=True) and detector.on_read(0.0, "A") == "take"
    detector.set_adopted("A")
    assert (
        not detector.observe(1.0, "b")
        and not detector.observe(1.05, "b")
        and detector.observe(1.11, "b")
    )
    assert detector.on_read(1.11, "B1") == "again" and not detector.observe(1.2, "b")
    assert (
        detector.observe(1.35, "b") and detector.on_read(1.35, "B2") == "again"
    )  # still being written
    assert detector.observe(1.6, "b") and detector.on_read(1.6, "B2") == "take"
    detector.set_refused("B2")
    assert not detector.observe(9.0, "b")
    assert (
        not detector.observe(9.1, "c")
        and detector.observe(9.3, "c")
        and detector.on_read(9.3, "B2") == "same"
    )
    assert detector.observe(10.0, "a", True) and detector.on_read(10.0, "A") == "same"


def test_failed_readings_are_retried_at_growing_intervals_then_only_after_a_change():
    detector, now, tries = ChangeDetector(0.2), 0.0, 0
    while now < 1000:
        if detector.observe(now, "a"):
            assert detector.on_read(now, "") == "again"
            tries += 1
        now += 0.05
    assert tries == 12
    assert (
        not detector.observe(now, None)
        and not detector.observe(now, "a")
        and detector.observe(now + 1, "a")
    )


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 3), st.booleans(), st.integers(0, 4)), max_size=40))
def test_only_a_renamed_file_or_two_equal_readings_are_adopted(steps):
    detector, now, seen, renames = ChangeDetector(0.2), 0.0, [], False
    for signature, renamed, digest in steps:
        now += 0.15
        if detector.signature != signature:
            seen, renames = [], renamed
        if detector.observe(now, signature, renamed):
            seen.append(digest)
            if detector.on_read(now, str(digest)) == "take":
                assert renames or seen[-2:] == [digest, digest]
                detector.set_adopted(str(digest))


# Store


def adoption(number):
    text = f'(servers "resale" (by "o{number}"))'
    return Adoption(
        number, NOW + number, f"o{number}", f"d{number}", pack({"a.sexp": text}), {}, "nothing"
    )


def write_adoptions(disk, confirmed, count=6):
    store = Store(disk)
    store.open()
    for number in range(1, count + 1):
        confirmed["trying"] = number
        store.adopted(adoption(number))
        confirmed["state"] = number
        store.effect(number, f"effect {number}")


def test_a_store_killed_at_any_write_has_the_last_confirmed_adoption(monkeypatch):
    monkeypatch.setattr("ironfall.files.store.RECORDS_PER_SNAPSHOT", 4)
    counting = Disk()
    write_adoptions(counting, {})
    for dies_at in range(1, counting.done + 1):
        for seed in range(4):
            disk, confirmed = Disk(seed, dies_at), {"state": 0, "trying": 0}
            with pytest.raises(Died):
                write_adoptions(disk, confirmed)
            store = Store(disk.crash())
            last = store.open()
            number = last.number if last else 0
            assert confirmed["state"] <= number <= confirmed["trying"]
            assert [a.number for a in store.adoptions] == list(range(1, number + 1))
            if last:
                assert last.server_set == parse(last.texts["a.sexp"])
            store.adopted(adoption(number + 1))
            assert Store(disk).open().number == number + 1


def test_adoptions_on_a_full_disk_are_written_once_it_has_room():
    disk = Disk(full_from=1, full_until=10)
    store, refused = Store(disk), 0
    store.open()
    for number in range(1, 30):
        try:
            store.adopted(adoption(number))
        except OSError:
            refused += 1
    assert refused and store.adoptions[-1].number == 29 and not store.unwritten
    again = Store(disk)
    assert again.open().number == 29 and len(again.adoptions) == 29


def test_the_size_of_the_store_and_its_history_are_bounded(tmp_path):
    store = Store(Folder(tmp_path))
    store.open()
    for number in range(1, 600):
        store.adopted(adoption(number))
    assert len(store.adoptions) == MAX_ADOPTIONS
    assert sum(f.stat().st_size for f in tmp_path.iterdir()) < 600_000
    store.disk.close()
    again = Store(Folder(tmp_path))
    assert again.open().number == 599 and len(again.adoptions) == MAX_ADOPTIONS


def test_unreadable_records_are_reported_and_skipped(tmp_path):
    disk = Disk()
    store = Store(disk)
    store.open()
    store.adopted(adoption(1))
    for payload in (
        b"{",
        b"[]",
        b'{"kind": "adopted"}',
        b'{"kind": "adopted", "adoption": {"number": 9}}',
    ):
        store.journal.append(payload)
    store.adopted(adoption(2))
    again = Store(disk)
    assert again.open().number == 2 and len(again.faults) == 4
    disk = Disk()
    store = Store(disk)
    store.open()
    store.adopted(adoption(1))
    store.adopted(
        replace(adoption(2), packed=pack({"a.sexp": "(servers"}))
    )  # as from an older notation
    again = Store(disk)
    assert again.open().number == 1 and "adoption 2" in again.faults[0]


def test_the_order_of_fragments_does_not_change_the_set():
    pieces = [
        (f"{n}.sexp", f'(servers "resale" (host "h{n}" (weight {n + 1})))'.encode())
        for n in range(9)
    ]
    shuffled = random.Random(1).sample(pieces, 9)
    assert read_set(pieces).hosts.keys() == read_set(shuffled).hosts.keys()
