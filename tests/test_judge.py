"""Each rule of the judge catches the director that is wrong in just that; the right one is caught by none.

The days run side by side over loopback sockets. What they are judged by lies far from the limits on either side:
a wrong director breaks its rule by half as much again at least, or by counts in the dozens.
"""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from ironfall.lab.baseline_engines import BROKEN_RULES

DAY = Path(__file__).with_name("days") / "wrong.day"


@pytest.fixture(scope="module")
def reports(tmp_path_factory):
    folder = tmp_path_factory.mktemp("judged")
    running = {}
    for name in ["ironfall", *BROKEN_RULES]:
        words = [
            "-m",
            "ironfall",
            "lab",
            "play",
            str(DAY),
            "--as",
            name,
            "--folder",
            str(folder / name),
            "--quiet",
        ]
        running[name] = subprocess.Popen([sys.executable, *words], stdout=subprocess.DEVNULL)
    for process in running.values():
        process.wait(120)
    return {name: json.loads((folder / name / "report.json").read_text()) for name in running}


@pytest.mark.parametrize("name", BROKEN_RULES)
def test_a_wrong_director_is_caught(reports, name):
    broken = {rule for rule, found in reports[name]["rules"].items() if found["breaks"]}
    assert BROKEN_RULES[name] in broken


def test_the_right_one_is_not(reports):
    assert reports["ironfall"]["kept"], reports["ironfall"]["rules"]
    assert reports["ironfall"]["figure"] > 0.8
