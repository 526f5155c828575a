"""Starts the project's programs, keeps the record, and ends what was started."""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PYTHON = str(ROOT / ".venv/bin/python")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
STARTED = time.monotonic()


class CaseError(Exception):
    """The case could not run, for a cause that is no fault of the project."""


def now() -> float:
    """Returns the seconds since the start of the case."""
    return time.monotonic() - STARTED


def free_ports(count: int) -> list[int]:
    """Returns ports of 127.0.0.1 that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()

    def __call__(self, event: str, **fields: Any) -> None:
        """Writes a line: the time, the event and its fields."""
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{now():8.3f} {event} {shown}".rstrip() + "\n")
            self._file.flush()


class Processes:
    """The processes of a case, each with its output in a file of the temporary folder."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="ironfall-review-"))
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, *arguments: str, **environment: str) -> subprocess.Popen[bytes]:
        """Starts `python -m ironfall` with arguments, as the deploy file's `run` line does."""
        command = [PYTHON, "-m", "ironfall", *arguments]
        self.record("start", name=name, command=" ".join(command[1:]))
        with self.log_path(name).open("ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, **environment},
            )
        self.running[name] = process
        return process

    def log_path(self, name: str) -> Path:
        """Returns the file with a process's output."""
        return self.folder / f"{name}.log"

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process of this case."""
        self.record("signal", name=name, signal=signal.Signals(number).name)
        self.running[name].send_signal(number)

    def must_run(self, name: str) -> None:
        """Raises `CaseError` if a process has ended."""
        status = self.running[name].poll()
        if status is not None:
            last = self.log_path(name).read_text(errors="replace")[-400:]
            raise CaseError(f"{name} ended with {status}: {last}")

    def end(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + 3
        for process in self.running.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Waits for a condition; raises `CaseError` if it does not come in time."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise CaseError(f"{what} did not come within {seconds:g} s")
        time.sleep(0.02)


def run_case(file: str, play: Callable[[Record, Processes, bool], str]) -> None:
    """Plays a case and exits with 0, 1 or 2.

    `play` takes the record, the processes and whether the disruption comes; it returns what broke
    the rule, or an empty string if it held.
    """
    record = Record(Path(file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", trouble=int(trouble))
    processes = Processes(record)
    try:
        broken = play(record, processes, trouble)
        status = BROKEN if broken else HELD
        verdict = f"broken: {broken}" if broken else "held"
    except Exception as error:  # noqa: BLE001 - whatever stops a case, it could not run
        status, verdict = COULD_NOT_RUN, f"could not run: {type(error).__name__}: {error}"
    finally:
        processes.end()
    record("verdict", text=verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(status)
