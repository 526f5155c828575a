"""Short days over loopback sockets, each with one hard case, judged by what crossed the sockets."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from ironfall.decisions.engine import DecisionEngine
from ironfall.director.recorded_batches import replay
from ironfall.lab.tape import read
from ironfall.terms import read_terms

DAYS = Path(__file__).with_name("days")
NAMES = ["cut", "killed", "lost", "swapped", "stopped", "writes"]
TERMS = DAYS.parent.parent / "deploy" / "terms" / "resale.sexp"


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    folder, running = tmp_path_factory.mktemp("days"), {}
    for name in NAMES:
        words = [
            "-m",
            "ironfall",
            "lab",
            "play",
            str(DAYS / f"{name}.day"),
            "--folder",
            str(folder / name),
            "--quiet",
        ]
        running[name] = subprocess.Popen([sys.executable, *words], stdout=subprocess.DEVNULL)
    for process in running.values():
        process.wait(120)
    return folder


@pytest.mark.parametrize("name", NAMES)
def test_the_rules_are_kept(played, name):
    report = json.loads((played / name / "report.json").read_text())
    assert report["kept"], report["rules"]
    assert report["figure"] > 0.6


@pytest.mark.parametrize("name", NAMES)
def test_the_module_gives_the_same_orders_for_the_recorded_turns(played, name):
    terms = read_terms(str(TERMS), TERMS.read_text()).service
    for turns in (played / name).glob("*.turns"):
        with open(turns) as lines:
            count, differing = replay(
                (line for line in lines if line.endswith("\n")), terms, DecisionEngine
            )
        assert count > 20 and not differing


def test_nobody_is_withdrawn_for_the_directors_own_standstill(played):
    said = [json.loads(line) for line in (played / "stopped" / "d1.log").read_text().splitlines()]
    assert any(row["event"] == "process stalled" for row in said)
    assert not [row for row in said if row["event"] == "withdraw"]


def test_swapped_hosts_are_hosts_of_their_own(played):
    """Taken for a restart under one address, each would get the other's learnt weight, zone and withdrawals."""
    meant = {row["host"] for row in read(played / "swapped" / "hosts.tape") if row["e"] == "came"}
    assert len([host for host in meant if host.startswith(("h01@", "h04@"))]) == 4


def test_failed_writes_did_run_and_only_once(played):
    ran = [
        row
        for row in read(played / "writes" / "hosts.tape")
        if row["e"] == "ran" and row["kind"] > 0
    ]
    assert len(ran) > 100 and len({row["token"] for row in ran}) == len(ran)
