"""The project's programs as separate processes, in a temporary folder, and free loopback ports."""

import contextlib
import os
import shutil
import signal
import socket
import subprocess
import tempfile
from pathlib import Path

from review.standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
STOP_TIMEOUT_S = 5.0


class CaseNotRunError(Exception):
    """The case could not run; nothing is known of the rule."""


def is_troubled() -> bool:
    """Returns whether the disruption is to happen: it is left out with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip: str) -> int:
    """Returns a port of a loopback address that nobody listens on now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        port: int = sock.getsockname()[1]
        return port


class Processes:
    """The processes of a case; all of them have ended after `close`.

    Attributes:
        folder: A temporary folder, removed by `close`.
        running: The processes by name.
    """

    def __init__(self, record: Record) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self._record = record

    def start(self, name: str, command: str, **environment: str) -> None:
        """Starts a command of the deploy file's form, by `/bin/sh -c` from the root."""
        self._record.write("case", f"start {name}: {command}")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | environment,
                start_new_session=True,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this case started."""
        self._record.write("case", f"{number.name} to {name}")
        self.running[name].send_signal(number)

    def exit_code(self, name: str) -> int | None:
        """Returns the exit code; None while it runs."""
        return self.running[name].poll()

    def log(self, name: str) -> str:
        """Returns what a process has written to standard output and standard error."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for process in self.running.values():
            if process.poll() is None:
                # A stopped process takes SIGTERM only once it goes on.
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.running.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_TIMEOUT_S)
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
