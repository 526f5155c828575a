"""Tests that are known to fail are named in one file: they pass CI, are printed, and fail it once they pass."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_red():\n    assert 0\n\ndef test_green():\n    pass\n"
GREEN = TESTS.replace("assert 0", "pass")


@pytest.mark.parametrize(
    "tests, red, code, said",
    [
        (
            TESTS,
            "# one\ntest_a.py::test_red | cause | issue 7\n",
            0,
            "known red: test_a.py::test_red | cause | issue 7",
        ),
        (GREEN, "test_a.py::test_red | it can't | issue 7\n", 1, "1 passed, 1 failed"),
        (TESTS, "", 1, "1 passed, 1 failed"),
        (
            TESTS,
            "test_a.py::test_red | it can't\n",
            4,
            "KNOWN-RED.txt:1: expected TEST | CAUSE | ISSUE",
        ),
        (
            TESTS,
            "test_a.py::test_gone | it can't | issue 7\n",
            4,
            "there is no test test_a.py::test_gone",
        ),
        (
            TESTS,
            "".join(f"test_b.py::test_{n} | it can't | issue 7\n" for n in range(4)),
            4,
            "4 tests, 3 at the most",
        ),
        (
            "import pytest\n@pytest.mark.xfail\n" + TESTS,
            "",
            4,
            "named in KNOWN-RED.txt, not marked",
        ),
    ],
)
def test_just_the_tests_of_the_file_may_fail_and_none_of_them_may_pass(
    tmp_path, tests, red, code, said
):
    shutil.copy(Path(__file__).parent / "conftest.py", tmp_path)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "test_a.py").write_text(tests)
    (tmp_path / "KNOWN-RED.txt").write_text(red)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert run.returncode == code and said in run.stdout + run.stderr
