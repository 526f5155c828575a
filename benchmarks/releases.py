"""Releases of 230 directors over many seeds: how they ended, their time against the shortest that budgets and channel
allow, false alarms, and the time until a harmful one was stopped.

    python -m benchmarks.releases [SEEDS [FIRST]]
"""

import random
import statistics
import sys
import time

from ironfall.lab.releases_sim import HARMS, UNHEARD, Broken, Sim, quantiles
from ironfall.rollout import CanaryAnalysis, RolloutPlan, StatusSample

DIRECTORS = 230


def play(kind, seeds, **about):
    ends, times, ratios, listens, stops, changed, broken, begun = (
        {},
        [],
        [],
        [],
        [],
        [],
        [],
        time.process_time(),
    )
    for seed in seeds:
        sim = Sim(seed, kind, DIRECTORS, **about)
        try:
            how = sim.run()
        except Broken as cause:
            how = "broken"
            broken.append(f"seed {seed}: {cause}")
        ends[how] = ends.get(how, 0) + 1
        times.append(float(sim.seconds))
        ratios.append(sim.seconds / sim.shortest())
        # Two listens in the first tenth, and one to the last wave, can't overlap with any other's work.
        fixed = (2 * RolloutPlan.min_analysis_time + 2 * RolloutPlan.settle_time) / 10_000 + 60
        listens.append(sim.seconds / (sim.shortest() + fixed))
        if sim.harmed_at:
            stops.append(float(sim.harmed_at - sim.start))
            changed.append(float(sim.harmed_with))
    spent = (time.process_time() - begun) / len(times)
    print(f"{kind or 'harmless'}{about or ''}: {ends}, {spent:.1f} s of processor each")
    print(f"  seconds: {quantiles(times)}")
    if not kind:
        print(
            f"  of the shortest by budgets and channel: {quantiles(ratios)}; with listening: {quantiles(listens)}"
        )
    if stops:
        print(
            f"  seconds to stop: {quantiles(stops)}; directors changed by then: {quantiles(changed)}"
        )
    for one in broken[:5]:
        print(f"  {one}")
    sys.stdout.flush()
    return len(broken), statistics.mean(ratios)


def judged(seed, level, worse, seconds=300):
    """One director on trial of a hundred in four zones, without any ledger: what is found, and when."""
    chance = random.Random(seed)
    bents = {f"d{n}": (f"z{n % 4}", chance.gauss(0, 0.002)) for n in range(100)}
    noise, analysis, rest = (
        dict.fromkeys(bents, 0.0),
        CanaryAnalysis(level, RolloutPlan.harm_thresholds),
        [n for n in bents if n != "d0"],
    )
    for second in range(1, seconds + 1):
        shocks = {f"z{n}": 0.01 + chance.gauss(0, 0.003) for n in range(4)}
        words = {}
        for name, (zone, bent) in bents.items():
            noise[name] = 0.7 * noise[name] + chance.gauss(0, 0.004)
            if chance.random() > 0.03:
                refused = max(0.0, shocks[zone] + bent + noise[name] + worse * (name == "d0"))
                words[name] = StatusSample(
                    zone, 1, second, 10, (refused, refused + 0.005, 0.02, 0.1)
                )
        analysis.observe(words, ["d0"], rest)
        if analysis.verdict()[0] == "harm":
            return "harm", second
    return analysis.verdict()[0], seconds


def test_of_one(seeds):
    for level, worse in (
        (0.01, 0.0),
        (0.2, 0.0),
        (0.01, 0.01),
        (0.01, 0.02),
        (0.01, 0.03),
        (0.01, 0.04),
    ):
        found = [judged(seed, level, worse) for seed in seeds]
        ends = {end: sum(f == end for f, _ in found) for end in ("harm", "fine", "")}
        when = [float(second) for end, second in found if end == "harm"]
        print(
            f"one director, level {level}, refused more by {worse}: {ends}",
            f"; {quantiles(when)}" if when else "",
        )
        sys.stdout.flush()


def main():
    seeds, first = (*map(int, sys.argv[1:]), *(10, 0)[len(sys.argv) - 1 :])
    span, broken = range(first, first + seeds), 0
    test_of_one(range(first, first + 20 * seeds))
    broken += play("", span, faults=False)[0]
    for kind in ("", *HARMS, *UNHEARD):
        broken += play(kind, span)[0]
    sys.exit(broken > 0)


if __name__ == "__main__":
    main()
