"""A proxy restarts while the director's two feeds of news are broken in turn; it is never bound."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins2.platform import (
    BARE_MS,
    BARE_SLACK_S,
    ZONES,
    Agent,
    BareWatch,
    Relay,
    heartbeat,
    write_config,
)
from review.standins2.processes import Processes, Record, free_ports, run_case, until

HOSTS = 8
PROXIES = 6
RESTARTED = 2
STANDING = ["s-0", "s-2", "s-4"]
RESTART_S = 0.35
# From the reset of a connection until the relay takes connections again.
CUT_S = 0.5
SETTLE_S = 6.0
DRAIN_EVERY_S = 1.5
AFTER_S = 15.0


def play(record: Record, processes: Processes, trouble: bool) -> str:
    """Plays the case."""
    agent, relay = Agent(record), Relay(record, ["lookup", "order"])
    for number in range(HOSTS):
        agent.set(f"s-{number}", ZONES[number % 2], "active")
    for node in range(PROXIES):
        relay.join(node, ZONES[node % 2], [f"s-{node % 2 + step}" for step in (0, 2, 4)])
    (port,) = free_ports(1)
    config = processes.folder / "config.json"
    write_config(config, port, agent, relay)
    processes.start("n0", "serve", RELAY_CONFIG=str(config))
    until(lambda: heartbeat(port), 20, "the sign of life")
    until(lambda: all(relay.is_bound(node) for node in range(PROXIES)), 20, "the first binding")
    until(lambda: len(relay.feeds) > 1, 5, "the second feed")
    watch = BareWatch(record, agent, relay, set())
    time.sleep(2)
    began = time.monotonic()
    if trouble:
        relay.cut_way(silent=relay.feeds[1], reset=relay.feeds[0])
    time.sleep(0.05)
    relay.leave(RESTARTED)
    time.sleep(RESTART_S)
    relay.join(RESTARTED, ZONES[0], STANDING)
    time.sleep(max(0.0, began + CUT_S - time.monotonic()))
    relay.mend_way()
    time.sleep(SETTLE_S)
    record("bound after the restart", node=RESTARTED, bound=relay.is_bound(RESTARTED))
    # An operator takes three hosts out, one after another; five stay.
    for host in STANDING:
        agent.set(host, ZONES[0], "leaving")
        time.sleep(DRAIN_EVERY_S)
    time.sleep(AFTER_S)
    processes.must_run("n0")
    limit = BARE_MS / 1000 + BARE_SLACK_S
    record("longest without a line", seconds=round(watch.longest, 1), limit=limit)
    return f"{watch.worst}, limit {limit:.1f} s" if watch.longest > limit else ""


if __name__ == "__main__":
    run_case(__file__, play)
