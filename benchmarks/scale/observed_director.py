"""Directors' membership in calm behind observers, beside a word each second to three keepers, in one run.

`before_` is `member`: words to the keepers. Processor time of control is that of keepers, and of observers behind which
members are. `before_words_s` below the number of members: the keepers are behind.
"""

import tempfile
from pathlib import Path

from benchmarks.scale import member
from benchmarks.scale._observed import SHARED, calm

SIZES = (25, 50, 100, 200, 400)
BY = "members"
FIGURES = {
    "entries_s": "1/s",
    "words_s": "1/s",
    "control_cpu_ms_s": "ms/s",
    "member_cpu_us_s": "us/s",
    "member_bytes_out_s": "B/s",
    "member_bytes_in_s": "B/s",
    "before_entries_s": "1/s",
    "before_words_s": "1/s",
    "before_control_cpu_ms_s": "ms/s",
    "before_member_cpu_us_s": "us/s",
    "before_member_bytes_out_s": "B/s",
    "before_member_bytes_in_s": "B/s",
}
LEFT_OUT = member.LEFT_OUT
PROCESSES = 7 + -(-SIZES[-1] // SHARED)
SECONDS = 10.0


def MEMORY_MB(size):
    return 600 + size * 0.5


def play(size, chance):
    with tempfile.TemporaryDirectory() as folder:
        found = calm(size, chance, Path(folder), 0, SECONDS)
    before = member.play(size, chance)
    return {
        "entries_s": found["entries_s"],
        "words_s": found["beats_s"],
        "control_cpu_ms_s": found["observer_cpu_ms_s"] + found["keepers_cpu_ms_s"],
        "before_entries_s": before["entries_s"],
        "before_words_s": before["words_s"],
        "before_control_cpu_ms_s": before["keeper_cpu_ms_s"],
        "before_member_cpu_us_s": 1e3 * before["cpu_ms_s"] / size,
        "before_member_bytes_out_s": before["bytes_out_s"] / size,
        "before_member_bytes_in_s": before["bytes_in_s"] / size,
    } | {
        name: found[name] for name in ("member_cpu_us_s", "member_bytes_out_s", "member_bytes_in_s")
    }
