"""Makes variants of the users' sites, to play the director under settings that nobody has looked at: each file of
changes here names the site it changes and what differs. `python deploy/sites/make.py ../given/kit` writes the whole
files, with what has to lie beside them, to `deploy/sites/made/`, which git ignores."""

import shutil
import sys
from pathlib import Path
from typing import Any

import tomlkit

HERE = Path(__file__).parent
BESIDE = ("real.json", "wire.json", "unlock.txt")


def changed(site: Any, changes: Any) -> Any:
    """Tables are changed key by key, all else is replaced whole; "" takes a key out."""
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(site.get(key), dict):
            changed(site[key], value)
        elif value == "":
            site.pop(key, None)
        else:
            site[key] = value
    return site


def main(kit: Path) -> int:
    for file in sorted(HERE.glob("*.toml")):
        changes = tomlkit.parse(file.read_text())
        base = kit / changes.pop("base")
        if not base.is_file():
            print(f"{file.name}: base: there is no {base}", file=sys.stderr)
            return 2
        made = HERE / "made" / file.stem
        made.mkdir(parents=True, exist_ok=True)
        site = changed(tomlkit.parse(base.read_text()), changes)
        (made / file.name).write_text(tomlkit.dumps(site))
        for name in BESIDE:
            shutil.copyfile(base.parent / name, made / name)
        print(made / file.name)
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
