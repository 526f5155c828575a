"""Directors as processes of this machine, and the hands that a release has on them: what a site would have of its own.

    python -m ironfall.lab.release_hands TERMS NAME ZONE VERSION

runs one director that says this version and takes its orders, a JSON array [leaving, token] a line, from its standard
input. A version that begins with `broken` ends before it joins.
"""

import json
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import IO, Any

import gevent
from gevent.fileobject import FileObject

from ironfall.disruption import Fence

PATIENCE = 5.0  # seconds that a director may take to stop
PAUSE, MOST = 0.2, 2.0  # seconds before one that ended by itself is started again


class LocalHands:
    """`SiteActions` over processes; `start` brings each up the first time. A process that ends by itself is started again,
    with a growing pause, as a site's supervisor would."""

    def __init__(
        self, terms: Path, zones: dict[str, str], chance: random.Random, log: IO[str]
    ) -> None:
        self.terms, self.zones, self.chance, self.log = terms, zones, chance, log
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self.versions: dict[str, str] = {}
        self.fence = Fence()
        self.jobs: dict[str, gevent.Greenlet] = {}
        self.history: list[tuple[str, str]] = []  # what was started as which

    def start(self, director: str, version: str) -> None:
        self.versions[director] = version
        self.history.append((director, version))
        self.jobs[director] = gevent.spawn(self._keep, director, version)

    def _keep(self, director: str, version: str) -> None:
        wait = PAUSE
        while True:
            command = [
                sys.executable,
                "-m",
                "ironfall.lab.release_hands",
                str(self.terms),
                director,
                self.zones[director],
                version,
            ]
            process = self.processes[director] = subprocess.Popen(
                command, stdin=subprocess.PIPE, stderr=self.log, text=True, bufsize=1
            )
            while process.poll() is None:
                gevent.sleep(0.05)
            gevent.sleep(wait * (0.8 + 0.4 * self.chance.random()))
            wait = min(MOST, 2 * wait)

    def stop(self, director: str) -> None:
        if job := self.jobs.pop(director, None):
            job.kill()
        if process := self.processes.pop(director, None):
            process.terminate()
            with gevent.Timeout(PATIENCE, False):
                while process.poll() is None:
                    gevent.sleep(0.02)
            process.kill()
            process.wait()

    def close(self) -> None:
        for director in list(self.processes):
            self.stop(director)

    # Hands

    def set_leaving(self, director: str, is_leaving: bool, token: int) -> None:
        process = self.processes.get(director)
        if process is not None and process.stdin is not None and self.fence.allows(director, token):
            try:
                process.stdin.write(json.dumps([is_leaving, token]) + "\n")
            except (OSError, ValueError):
                pass  # it is gone; told again at the next look

    def install_version(self, director: str, version: str, token: int) -> None:
        if self.fence.allows(director, token):
            self.versions[director] = version  # ordered at once, done in a while
            gevent.spawn(self._renew, director, version)

    def _renew(self, director: str, version: str) -> None:
        self.stop(director)
        if self.versions[director] == version:
            self.start(director, version)

    def running_versions(self, director: str) -> list[str]:
        return [self.versions[director]] if director in self.versions else []


def main(terms: str, name: str, zone: str, version: str) -> int:
    import structlog

    from ironfall.cli.common import set_up_logs
    from ironfall.director.program import Program
    from ironfall.terms import read_terms

    if version.startswith("broken"):
        return 1
    set_up_logs("json")
    read = replace(read_terms(terms, Path(terms).read_text()), listen=("127.0.0.1", 0))
    program = Program(read, structlog.get_logger().bind(director=name), name, zone)
    if program.member is None:
        raise SystemExit(f"{terms} has no (fleet ...) with keepers")
    member: Any = program.member
    member.lease.identity = replace(member.lease.identity, version=version)

    def listen() -> None:
        for line in FileObject(sys.stdin.buffer):
            leaving, token = json.loads(line)
            member.set_leaving(int(token), bool(leaving))

    program.start()
    gevent.spawn(listen)
    return program.wait()


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:5]))
