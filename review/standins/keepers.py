"""Three keepers as processes, with a way of its own for what each says to another."""

import random
import re
import sys
from pathlib import Path
from typing import Any

from gevent import subprocess

from ironfall.coordinator.client import CoordinatorClient
from review.standins.processes import ROOT, CaseNotRunError, Processes, free_port
from review.standins.record import Record
from review.standins.ways import Way, until

# As `deploy/balancer.toml` starts the director in service; the verb is another.
IRONFALL = "exec .venv/bin/python -m ironfall"
KEEPERS = ("k1", "k2", "k3")
SECOND = 10_000
READY_TIMEOUT_S = 20.0
STEP_TIMEOUT_S = 25.0
CLIENT_SEED = 5


class Keepers:
    """The keepers of a case.

    Attributes:
        addresses: Where each listens.
        ways: What the first of a pair says to the second goes over this.
        leader: Who led at the start.
    """

    def __init__(self, record: Record, processes: Processes, lease: str = "10s") -> None:
        self.record, self.processes, self._lease = record, processes, lease
        network = f"127.{1 + random.SystemRandom().randrange(250)}.3"
        ip = f"{network}.1"
        self.addresses = {name: (ip, free_port(ip)) for name in KEEPERS}
        self.ways = {
            (source, sink): Way(f"{network}.2", self.addresses[sink])
            for source in KEEPERS
            for sink in KEEPERS
            if source != sink
        }
        self.leader = ""

    def terms(self, who: str) -> Path:
        """Writes the example settings with this run's addresses, as one process is given them."""
        keepers = []
        for name, address in self.addresses.items():
            way = self.ways.get((who, name))
            ip, port = way.address if way else address
            keepers.append(f'(keeper "{name}" "{ip}:{port}")')
        text = (ROOT / "deploy/terms/fleet.sexp").read_text()
        text = text.replace("(lease 10s)", f"(lease {self._lease})")
        before, *_, after = re.split(r'\(keeper "k\d" "[\d.:]+"\)', text)
        path = self.processes.folder / f"{who}.sexp"
        path.write_text(before + " ".join(keepers) + after)
        return path

    def start(self) -> None:
        """Starts the keepers; waits until one leads and the rules are agreed."""
        for name in KEEPERS:
            disk = self.processes.folder / name
            words = f"keeper {self.terms(name)} --name {name} --disk {disk} --found"
            self.processes.start(name, f"{IRONFALL} --log json {words}")
        reader = self.client("looker")

        def has_rules() -> bool:
            status = reader.read_status(1.0)
            # The first entry of the ledger has the rules, and each later one is a tick.
            return not status.failure and status.body["ledger"]["now"] > 0

        if not until(has_rules, READY_TIMEOUT_S):
            raise CaseNotRunError("no keeper leads: " + self.processes.log("k1"))
        self.leader = str(reader.read_status(1.0).body["leader"])
        self.record.write("case", f"{self.leader} leads")

    def client(self, name: str, first: str = "") -> CoordinatorClient:
        """Returns a client that asks one keeper first, as it would by chance."""
        client = CoordinatorClient(list(self.addresses.items()), name, random.Random(CLIENT_SEED))
        if first:
            client.order.sort(key=lambda keeper: keeper != first)
        return client

    def permits(self) -> dict[str, Any]:
        """Returns the open permits, as a majority agreed."""
        status = self.client("reader").read_status(STEP_TIMEOUT_S)
        found: dict[str, Any] = status.body.get("ledger", {}).get("permits", {})
        return found

    def operator(self, *words: str) -> None:
        """Runs a command of `ironfall fleet`, as an operator does.

        Raises:
            CaseNotRunError: It failed.
        """
        verb, *rest = words
        command = [sys.executable, "-m", "ironfall", "fleet", verb, str(self.terms("operator"))]
        done = subprocess.run([*command, *rest], cwd=ROOT, capture_output=True, check=False)
        said = f"{done.stdout.decode()} {done.stderr.decode()}".strip()
        self.record.write("operator", f"{' '.join(words)}: exit {done.returncode}: {said}")
        if done.returncode:
            raise CaseNotRunError(f"{words} was not taken: {said}")

    def close(self) -> None:
        """Stops the ways."""
        for way in self.ways.values():
            way.stop()


def propose(client: CoordinatorClient, **entry: Any) -> Any:
    """Proposes an entry; returns the ledger's answer, or raises if it is not accepted."""
    answer = client.propose(entry, STEP_TIMEOUT_S)
    if not answer.is_accepted:
        raise CaseNotRunError(f"{entry}: {answer.failure} {answer.rejection} {answer.detail}")
    return answer.body["answer"]["ok"]
