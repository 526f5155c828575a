"""What a turn of the decisions costs at full fleet: all proxies come to one director within two seconds, and a quarter
of the hosts is replaced. A model of the platform's channel and proxies (tests/fleet.py), no sockets.
"""

import random
import statistics
import time

from tests.fleet import Fleet, names, terms


def played(hosts, proxies, seconds=20):
    fleet, listed, spent = (
        Fleet(terms(proxies=proxies, queue_limit=24.0 * proxies)),
        names(b"a", hosts),
        [],
    )
    chance = random.Random(7)
    turn = [0.0]

    def timed(call):
        def run(*about):
            begun = time.perf_counter()
            call(*about)
            turn[0] += time.perf_counter() - begun

        return run

    for name in (
        "on_timer",
        "on_host_list",
        "on_proxy_joined",
        "on_version_applied",
        "on_upstream_report",
        "on_request_report",
    ):
        setattr(fleet.director, name, timed(getattr(fleet.director, name)))
    fleet.list(listed)
    for step in range(seconds * 10):
        if step < 20:
            for proxy in range(step * proxies // 20, (step + 1) * proxies // 20):
                fleet.join(proxy, chance.sample(listed, 5))
        if step in (20, 26, 32, 38):
            first = (step - 20) // 6 * (hosts // 16)
            fleet.list(
                names(b"b", hosts)[first : first + hosts // 16], listed[first : first + hosts // 16]
            )
        for host in chance.sample(listed, 8):
            fleet.director.on_upstream_report(
                fleet.now, 0, host, 20, 1, 2_500, 20_000, {"q": 1.0, "lat_ms": 200.0}
            )
        fleet.close()
        fleet.run(0.1)
        spent.append(turn[0] * 1000)
        turn[0] = 0.0
    return spent, fleet


def main():
    for hosts, proxies in ((200, 1_600), (500, 1_600)):
        spent, fleet = played(hosts, proxies)
        busy = sorted(x for x in spent if x > 1)
        unbound = len(fleet.unbound())
        bound, limit = max(fleet.bound_after.values()) / 10_000, fleet.service.queue_limit
        print(
            f"{hosts} hosts, {proxies} proxies, {fleet.director.fleet.shard_count} parts: of {len(busy)} turns over 1 ms"
        )
        print(
            f"  median {statistics.median(busy):.1f}, worst {busy[-1]:.1f} ms; last bound after {bound:.1f} s"
        )
        print(
            f"  unbound {unbound}, late {len(fleet.late)}, {fleet.most_waiting:.0f} of {limit:.0f} lines"
        )


if __name__ == "__main__":
    main()
