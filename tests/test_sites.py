"""Variants of sites are made whole from the files they change, with what lies beside them."""

import importlib.util
from pathlib import Path

import tomlkit

MAKE = Path(__file__).parent.parent / "deploy" / "sites" / "make.py"


def test_a_variant_is_the_site_but_for_what_its_file_names(tmp_path, monkeypatch, capsys):
    spec = importlib.util.spec_from_file_location("make", MAKE)
    make = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(make)
    monkeypatch.setattr(make, "HERE", tmp_path / "sites")
    for folder in ("kit/one", "sites"):
        (tmp_path / folder).mkdir(parents=True)
    for name in make.BESIDE:
        (tmp_path / "kit/one" / name).write_text(name)
    (tmp_path / "kit/one/a.toml").write_text(
        'name = "a"\nstock = "x"\n[fam]\nhead = 6\npick = "two"\n[[class]]\nname = "k"\n'
    )
    (tmp_path / "sites/b.toml").write_text(
        'base = "one/a.toml"\nname = "b"\nstock = ""\n[fam]\nhead = 9\n'
        '[[class]]\nname = "m"\n[[class]]\nname = "n"\n'
    )
    assert make.main(tmp_path / "kit") == 0
    made = tmp_path / "sites/made/b"
    assert tomlkit.parse((made / "b.toml").read_text()).unwrap() == {
        "name": "b",
        "fam": {"head": 9, "pick": "two"},
        "class": [{"name": "m"}, {"name": "n"}],
    }
    assert all((made / name).read_text() == name for name in make.BESIDE)
    (tmp_path / "sites/b.toml").write_text('base = "two/a.toml"\n')
    assert (
        make.main(tmp_path / "kit") == 2 and "b.toml: base: there is no" in capsys.readouterr().err
    )
