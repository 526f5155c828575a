"""The agreement among keepers: seeds of the simulation, states of the explorer, and the pace of the core alone.

    python -m benchmarks.agreement sim [first] [count] [keepers] | states [most] | pace [keepers]

`pace`: appends a second through leader and followers in one process, messages and disks in memory: what the core costs.
"""

import random
import sys
import time
from collections import deque

from ironfall.consensus import Configuration, PersistedState, RaftLimits, RaftNode
from ironfall.lab import agreement_model as model
from ironfall.lab.agreement_sim import run


def sim(first=0, count=3_000, keepers=3):
    began, confirmed, wrong = time.monotonic(), 0, 0
    for seed in range(first, first + count):
        played, fault = run(seed, keepers=keepers)
        confirmed += sum(act.end >= 0 for act in played.acts)
        if fault:
            wrong += 1
            print("\n".join([*played.told, fault]))
    print(
        f"{count} seeds, {keepers} keepers: {wrong} wrong, {confirmed} confirmed, {time.monotonic() - began:.0f} s"
    )
    return wrong


def states(most=200_000):
    wrongs = 0
    for small in (
        model.Small(stands=1, asks=1, repeats=1),
        model.Small(stands=2, asks=0),
        model.Small(stands=1, asks=1, deaths=1),
        model.Small(stands=1, asks=1, late=1),
        model.Small(stands=1, asks=0, changes=2, way=model.LED),
        model.Small(stands=4, asks=0, batch=1, way=model.LED_AGAIN),
        model.Small(stands=2, asks=1, reads=1, way=model.AGREED + model.LED_TWICE),
        model.Small(stands=1, asks=2, way=model.LED),
        model.Small(stands=2, asks=0, deaths=1, way=model.LED),
    ):
        began = time.monotonic()
        count, wrong, way = model.explore(model.Timeless, small, most)
        wrongs += bool(wrong)
        found = f"{wrong} {way}" if wrong else "all visited, all hold"
        print(f"{count} states, {time.monotonic() - began:.0f} s, {found}: {small}", flush=True)
    return wrongs


class Wire:
    def __init__(self, me, mail, seed):
        self.me, self.mail, self.done = me, mail, 0
        self.random_source = random.Random(seed)

    def now(self):
        return int(time.monotonic() * 10_000)

    def send(self, to, message):
        self.mail.append((to, "on_message", (self.me, message)))

    def reply(self, token, outcome, answer):
        self.done += outcome.value == "done"

    def __getattr__(self, what):
        if what in ("write_hard_state", "append_entries", "write_snapshot"):
            return lambda number, *about: self.mail.append((self.me, "on_write_durable", (number,)))
        return lambda *about: None


class Nothing:
    def apply(self, index, entry):
        return b""

    def snapshot_chunks(self):
        return iter([b""])


def pace(keepers=3, seconds=3.0):
    mail, names = deque(), tuple(f"k{n}" for n in range(keepers))
    wires = {n: Wire(n, mail, seed) for seed, n in enumerate(names)}
    held = {
        n: RaftNode(
            n,
            RaftLimits(),
            wires[n],
            Nothing(),
            PersistedState(initial_configuration=Configuration(names)),
        )
        for n in names
    }

    def deliver():
        while mail:
            to, what, about = mail.popleft()
            getattr(held[to], what)(*about)

    deliver()
    leader, wire = held["k0"], wires["k0"]
    leader.election.start()
    deliver()
    leader.open_session(0)
    deliver()
    session, number, began = leader.commit_index, 0, time.monotonic()
    while time.monotonic() - began < seconds:
        for _ in range(64):
            number += 1
            leader.propose(number, session, number, b"x" * 100)
        deliver()
    each = (wire.done - 1) / (time.monotonic() - began)
    print(f"{each:.0f} appends a second, {keepers} keepers in one process, 64 at once")
    return wire.done - 1 != number


if __name__ == "__main__":
    what, *about = sys.argv[1:] or ("pace",)
    sys.exit(bool({"sim": sim, "states": states, "pace": pace}[what](*map(int, about))))
