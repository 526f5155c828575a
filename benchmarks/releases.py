"""Releases of 230 directors over many seeds: how they ended, their time against the shortest that budgets and channel
allow, false alarms, and the time until a harmful one was stopped.

    python -m benchmarks.releases [SEEDS [FIRST]]
"""

import statistics
import sys
import time

from ironfall.lab.releases_sim import HARMS, UNHEARD, Broken, Sim, quantiles
from ironfall.releases import Order

DIRECTORS = 230


def play(kind, seeds, **about):
    ends, times, ratios, listens, stops, changed, broken, begun = {}, [], [], [], [], [], [], time.process_time()
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
        fixed = (2 * Order.least + 2 * Order.settle) / 10_000 + 60
        listens.append(sim.seconds / (sim.shortest() + fixed))
        if sim.harmed_at:
            stops.append(float(sim.harmed_at - sim.start))
            changed.append(float(sim.harmed_with))
    spent = (time.process_time() - begun) / len(times)
    print(f"{kind or 'harmless'}{about or ''}: {ends}, {spent:.1f} s of processor each")
    print(f"  seconds: {quantiles(times)}")
    if not kind:
        print(f"  of the shortest by budgets and channel: {quantiles(ratios)}; with listening: {quantiles(listens)}")
    if stops:
        print(f"  seconds to stop: {quantiles(stops)}; directors changed by then: {quantiles(changed)}")
    for one in broken[:5]:
        print(f"  {one}")
    sys.stdout.flush()
    return len(broken), statistics.mean(ratios)


def main():
    seeds, first = (*map(int, sys.argv[1:]), *(10, 0)[len(sys.argv) - 1 :])
    span, broken = range(first, first + seeds), 0
    broken += play("", span, faults=False)[0]
    for kind in ("", *HARMS, *UNHEARD):
        broken += play(kind, span)[0]
    sys.exit(broken > 0)


if __name__ == "__main__":
    main()
