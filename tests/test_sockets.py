"""Reads whose time limit runs out while the process itself is stopped."""

import signal
import sys
import time
from pathlib import Path

import pytest
from gevent import socket, subprocess

from ironfall.platform.sockets import read, read_until
from tests.rig import until

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 1.0
# A process that reads with a timeout, and sends back what it has read.
READER = """
import sys
from ironfall.platform.sockets import dial, read
sock = dial(("127.0.0.1", int(sys.argv[1])), 10.0)
sock.sendall(b"reading")
try:
    received = read(sock, float(sys.argv[2]))
except TimeoutError:
    received = b"timed out"
sock.sendall(received)
"""
SLEEPING, STOPPED = "S", "T"


def state_of(process):
    """Returns the state of a process by the letter that Linux has for it."""
    return Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0]


@pytest.fixture
def reader():
    """A process with a read that has just begun, and the other end of its connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        command = [sys.executable, "-c", READER, str(server.getsockname()[1]), str(TIMEOUT_S)]
        process = subprocess.Popen(command, cwd=ROOT)
        try:
            server.settimeout(20.0)
            sock, _ = server.accept()
            with sock:
                assert sock.recv(100) == b"reading"
                yield process, sock
        finally:
            process.kill()
            process.wait()


def test_data_that_arrives_while_the_process_is_stopped_is_read_after_the_timeout(reader):
    # The event loop of a process that was stopped ends its timers before it looks at its sockets again, so that a
    # director took each peer for silent that had answered in time.
    process, sock = reader
    until(lambda: state_of(process) == SLEEPING)
    process.send_signal(signal.SIGSTOP)
    until(lambda: state_of(process) == STOPPED)
    deadline = time.monotonic() + TIMEOUT_S
    sock.sendall(b"in time")
    until(lambda: time.monotonic() > deadline)
    process.send_signal(signal.SIGCONT)
    assert sock.recv(100) == b"in time"


def test_data_that_arrived_before_a_deadline_is_read_after_it():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(b"in time")
        assert read_until(ours, time.monotonic()) == b"in time"


def test_a_peer_that_sends_nothing_in_time_is_reported():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        with pytest.raises(TimeoutError):
            read(ours, 0.01)
        with pytest.raises(TimeoutError):
            read_until(ours, time.monotonic())
