"""One spoilt figure in one report ends the director."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins2.platform import ZONES, Agent, Relay, heartbeat, write_config
from review.standins2.processes import Processes, Record, free_ports, run_case, until

HOSTS = 6
PROXIES = 4
RESTARTED = "s-1"
EVERY_S = 2.0  # the settings' ReportEvery
SOUND_MS = "31.5"
SPOILT_MS = "4.9e-324"  # in place of a latency: no host serves in that time
AFTER_S = 15.0


class Collector:
    """The collector of a zone: reports on the zone's hosts in each interval.

    The zone's proxies send to these alone, and no try gives no line.
    """

    def __init__(self, record: Record, zone: str, port: int) -> None:
        self.record, self.zone = record, zone
        self.spoils = ""
        self.reports = 0
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.sendall(f"telemetry locality={zone}\r\n".encode())
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        try:
            while True:
                time.sleep(EVERY_S)
                for number in range(ZONES.index(self.zone), HOSTS, len(ZONES)):
                    self._report(f"s-{number}")
        except OSError:
            self.record("the director's end of a collector's connection is gone", zone=self.zone)

    def _report(self, host: str) -> None:
        latency = SOUND_MS
        if host == self.spoils:
            latency, self.spoils = SPOILT_MS, ""
        line = (
            f"upstream_stats locality={self.zone} endpoint={host} total=60 errors=0 rtt=41.7 "
            f"interval={EVERY_S * 1000:.1f} metrics=queue:1,latency_ms:{latency}"
        )
        self.sock.sendall(f"{line}\r\n".encode())
        self.reports += 1
        self.record("report" if latency == SOUND_MS else "spoilt report", line=repr(line))


def play(record: Record, processes: Processes, trouble: bool) -> str:
    """Plays the case."""
    agent, relay = Agent(record), Relay(record, ["lookup", "order"])
    for number in range(HOSTS):
        host = f"s-{number}"
        agent.up_since_ms[host] = int((time.time() - 40) * 1000)
        agent.set(host, ZONES[number % 2], "active")
    for node in range(PROXIES):
        relay.join(node, ZONES[node % 2], [f"s-{node % 2}", f"s-{node % 2 + 2}"])
    (port,) = free_ports(1)
    config = processes.folder / "config.json"
    write_config(config, port, agent, relay)
    process = processes.start("n0", "serve", RELAY_CONFIG=str(config))
    until(lambda: heartbeat(port), 20, "the sign of life")
    until(lambda: all(relay.is_bound(node) for node in range(PROXIES)), 20, "the first binding")
    collectors = [Collector(record, zone, port) for zone in ZONES]
    time.sleep(4.5 * EVERY_S)
    processes.must_run("n0")
    # A host's process restarts. The next report on it covers tries from before.
    agent.up_since_ms[RESTARTED] = int(time.time() * 1000)
    agent.set(RESTARTED, ZONES[1], "active")
    time.sleep(0.3)
    if trouble:
        collectors[1].spoils = RESTARTED
    deadline = time.monotonic() + AFTER_S
    while process.poll() is None and time.monotonic() < deadline:
        time.sleep(0.05)
    record("reports", sent=sum(collector.reports for collector in collectors))
    if process.poll() is None:
        return "" if heartbeat(port) else "the director gives no sign of life"
    last = processes.log_path("n0").read_text(errors="replace").strip().splitlines()[-1]
    record("the director ended", status=process.returncode, last=last[:300])
    return f"the director ended by itself with {process.returncode}"


if __name__ == "__main__":
    run_case(__file__, play)
