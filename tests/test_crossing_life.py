"""Races with signals, new configurations, restarts and greenlets that end.

The tests use real sockets and force each order of events: a fake waits at a gate, or acts once the director has
reached a certain point. Each test was seen to fail without the fix that it guards; `docs/platform.md` lists them.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from gevent import socket
from gevent.event import Event

from tests.platform_rig import (
    REPORT,
    SETTINGS,
    Agent,
    PlatformRig,
    Relay,
    has_sent_all,
    start_flood,
)
from tests.rig import until

ROOT = Path(__file__).parent.parent


def test_a_greenlet_that_ends_without_an_error_ends_the_program(rig):
    rig.director.greenlets[1].kill(block=False)
    rig.director.is_done.wait(5)
    assert rig.director.has_failed


@pytest.mark.parametrize("change", [{"node": float("inf")}, {"nonce": float("inf")}])
def test_a_malformed_event_breaks_its_own_feed_alone(rig, change):
    for sock in rig.relay.feeds[:1]:
        rig.relay._send(
            sock, {"method": "done", "params": {"node": 1, "nonce": 1, "latency": 1.0, **change}}
        )
    until(lambda: rig.count("news broken") == 1 and len(rig.relay.feeds) == 2)


def test_a_half_written_configuration_is_read_again(rig):
    config, other = rig.path.read_text(), Agent()
    rig.path.write_text(config[: len(config) // 2])
    rig.director.reload()
    assert rig.log.events[-1][0] == "new configuration not applied; keeping the current addresses"
    rig.path.write_text(
        config.replace("{}:{}".format(*rig.agent.address), "{}:{}".format(*other.address))
    )
    until(lambda: other.requests, 2.0)
    other.server.stop(0)


def test_confirmations_of_calls_from_before_a_restart_confirm_nothing(rig, tmp_path):
    # There are 65,536 nonces. Counted from 0 at each start, calls before and after a restart had the same ones.
    before = [order["nonce_out"] for order in rig.relay.orders if order["verb"] == "SYNC"]
    (tmp_path / "next").mkdir()
    with PlatformRig(tmp_path / "next", relay=rig.relay, seed="5") as after:
        until(lambda: after.director.outbox.versions and has_sent_all(after))
        for nonce in before:
            rig.relay.confirm(nonce)
        assert not set(before) & set(after.director.outbox.versions)
        until(lambda: set(before) <= set(after.director.streams.confirmations.proxies_by_nonce))
        assert all(u.entries_by_proxy for u in after.director.event_loop.engine.budget.updates)
        rig.relay.stop = lambda stop=rig.relay.stop: None
    del rig.relay.stop


def test_changing_the_relay_address_back_and_forth_leaves_two_feeds(rig):
    other = Relay()
    other.attached = {1: {**rig.relay.attached[1], "cold": False}}
    first_address = rig.director.relay.address
    for _ in range(3):
        rig.director.subscription.change_address(other.address)
        rig.director.subscription.change_address(first_address)
    until(
        lambda: (
            len(rig.relay.feeds) == 2
            and not other.feeds
            and not rig.director.subscription.retiring_greenlets
        )
    )
    assert rig.director.streams.attached == {1} and len(rig.director.streams.feeds) == 2
    other.stop()


def config_text(port, relay, agent):
    return json.dumps(
        {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "settings": SETTINGS,
            "discovery": "{}:{}".format(*agent.address),
            "relay": {"address": "{}:{}".format(*relay.address)},
        }
    )


def start_program(tmp_path, relay, agent):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    path = tmp_path / "config.json"
    if not path.exists():
        path.write_text(config_text(port, relay, agent))
    log = open(tmp_path / "log", "w")
    environment = {**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
    process = subprocess.Popen(
        [sys.executable, "-m", "ironfall", "serve"], env=environment, stderr=log
    )
    return process, port


@pytest.mark.parametrize("moment", ["call", "dial", "reload", "flood"])
def test_sigterm_during_a_call_a_dial_a_reload_or_a_flood_exits_0_in_time(tmp_path, moment):
    relay, agent, call_received = Relay(), Agent(), Event()
    process, port = start_program(tmp_path, relay, agent)
    sender = None

    def terminate_during_call(sock, call):
        process.send_signal(signal.SIGTERM)
        call_received.set()
        raise OSError

    if moment == "dial":
        until(lambda: relay.feeds or process.poll() is not None)
        relay.server.stop(0)
        process.send_signal(signal.SIGTERM)
    else:
        until(lambda: len(relay.feeds) == 2)
        if moment == "call":
            relay.answers = [terminate_during_call]
            relay.attach(1)
            call_received.wait()
        if moment == "flood":
            sender = start_flood(
                ("127.0.0.1", port), b"telemetry locality=lagos\r\n" + REPORT * 64, 100_000
            )
            sender.stdout.read(1)
        if moment == "reload":
            for _ in range(3):
                process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
    started = time.monotonic()
    process.send_signal(signal.SIGTERM)
    until(lambda: process.poll() is not None)
    assert process.returncode == 0 and time.monotonic() - started < 0.7
    assert "Traceback" not in (tmp_path / "log").read_text()
    if sender:
        sender.kill()
        sender.wait()
    relay.stop()
    agent.server.stop(0)


def test_sighup_during_startup_is_handled_once_the_program_runs(
    tmp_path,
):
    relay, old, new = Relay(), Agent(), Agent()
    path = tmp_path / "config.json"
    os.mkfifo(path)  # the program blocks when it opens the file, until there is a writer
    process, port = start_program(tmp_path, relay, old)
    writer = []

    def open_for_writing():
        try:
            writer.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
        except OSError:
            return False
        return True

    until(open_for_writing)
    process.send_signal(signal.SIGHUP)
    (tmp_path / "next").write_text(config_text(port, relay, new))
    os.rename(tmp_path / "next", path)
    os.write(writer[0], config_text(port, relay, old).encode())
    os.close(writer[0])
    until(lambda: new.requests or process.poll() is not None)
    assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    until(lambda: process.poll() is not None)
    for part in (relay, old.server, new.server):
        part.stop()
