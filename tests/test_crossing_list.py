"""Races between answers of the discovery agent and other events, such as address changes and older lists.

The tests use real sockets and force each order of events: a fake waits at a gate, or acts once the director has
reached a certain point. Each test was seen to fail without the fix that it guards; `docs/platform.md` lists them.
"""

import json
import time

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from ironfall.platform import list_watch
from tests.platform_rig import Agent, PlatformRig
from tests.rig import until


class RawAgent:
    """A fake agent that sends `answers` byte for byte, one for each request; the last one is repeated."""

    def __init__(self, *answers):
        self.answers, self.requests = list(answers), []
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _):
        file = sock.makefile("rb")
        try:
            while line := file.readline():
                while file.readline() not in (b"\r\n", b""):
                    pass
                self.requests.append(line.split()[1].decode())
                answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
                data = answer(self.requests[-1]) if callable(answer) else answer
                for piece in [data] if isinstance(data, bytes) else data:
                    sock.sendall(piece)
        except OSError:
            pass
        finally:
            sock.close()


def http_answer(revision, *rows, complete=True):
    body = json.dumps({"revision": revision, "complete": complete, "members": list(rows)}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


ROWS = [Agent.row(f"s-{n}", n) for n in range(4)]
SURROGATE = {**ROWS[0], "id": "\ud800"}


def endless():
    yield b"HTTP/1.1 200 OK\r\nX: "
    while True:
        yield b"x" * 60_000


@pytest.mark.parametrize(
    "bad",
    [
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        http_answer(2, SURROGATE),
        b"\x00\xff",
        endless,
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        http_answer("x"),
        http_answer(-1),
        http_answer(2, 7, None, {}),
    ],
)
def test_a_malformed_answer_of_the_agent_loses_nothing_else(tmp_path, bad):
    agent = RawAgent(
        http_answer(1, *ROWS),
        lambda _: bad() if callable(bad) else bad,
        http_answer(3, {**ROWS[1], "phase": "leaving"}, complete=False),
    )
    with PlatformRig(tmp_path, agent=agent) as rig:
        until(lambda: not rig.director.hosts.entries[b"s-1"].listing.ready)
        assert len(rig.director.hosts.entries) == 4 and not rig.director.is_done.is_set()


def test_bytes_after_an_answer_are_ignored(tmp_path):
    left = http_answer(9, {**ROWS[1], "phase": "left"}, complete=False)
    agent = RawAgent(
        http_answer(1, *ROWS) + left,
        http_answer(2, {**ROWS[2], "phase": "leaving"}, complete=False),
    )
    with PlatformRig(tmp_path, agent=agent) as rig:
        until(lambda: not rig.director.hosts.entries[b"s-2"].listing.ready)
        assert rig.director.hosts.entries[b"s-1"].listing.ready and rig.director.watch.revision == 2
        assert rig.count("list failures") == 0


def test_an_answer_of_the_old_agent_is_dropped_after_an_address_change(tmp_path):
    other, gate, requested = Agent(), Event(), Event()

    def blocked_answer(path):
        requested.set()
        gate.wait()
        return http_answer(50, {**ROWS[1], "phase": "leaving"}, complete=False)

    agent = RawAgent(http_answer(40, *ROWS), blocked_answer)
    with PlatformRig(tmp_path, agent=agent) as rig:
        requested.wait()
        client = rig.director.watch.client
        end, client.end = (
            client.end,
            lambda: None,
        )  # as if the answer had arrived before the call could be stopped
        other.version = 41
        rig.director.watch.change_address(other.address)
        gate.set()
        client.end = end
        until(lambda: other.requests)
        assert other.requests[0] == -1  # a request for the complete list
        until(lambda: client.sock is None)
        assert rig.director.hosts.entries[b"s-1"].listing.ready


def test_an_agent_address_changed_during_a_dial_is_polled_next(tmp_path, monkeypatch):
    other, dialled, gate, dial = Agent(), Event(), Event(), gevent.socket.create_connection

    def blocked_dial(*args):
        dialled.set()
        gate.wait()
        return dial(*args)

    with PlatformRig(tmp_path) as rig:
        watch = rig.director.watch
        rig.agent.mute = True
        monkeypatch.setattr("gevent.socket.create_connection", blocked_dial)
        watch.client.close()
        dialled.wait()
        request_count = len(rig.agent.requests)
        watch.change_address(other.address)
        gate.set()
        until(lambda: other.requests, list_watch.POLL_WAIT_S / 2)
        assert len(rig.agent.requests) == request_count
        rig.agent.mute = False
    other.server.stop(0)


def test_a_permanently_reset_list_is_accepted_after_the_agents_longest_lag(tmp_path, monkeypatch):
    monkeypatch.setattr(list_watch, "MAX_LAG_S", 0.5)
    with PlatformRig(tmp_path) as rig:
        rig.agent.set("s-1", "leaving")
        until(lambda: not rig.director.hosts.entries[b"s-1"].listing.ready)
        rig.agent.version, rig.agent.changed_rows = 0, {}
        rig.agent.set("s-2", "leaving")
        until(lambda: not rig.director.hosts.entries[b"s-2"].listing.ready)
        assert rig.director.watch.revision == 1 and rig.count("older lists") >= 2


def test_an_agent_that_lags_briefly_changes_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(list_watch, "MAX_LAG_S", 5.0)
    with PlatformRig(tmp_path) as rig:
        rig.agent.set("s-1", "leaving")
        until(lambda: not rig.director.hosts.entries[b"s-1"].listing.ready)
        rows, version = dict(rig.agent.rows), rig.agent.version
        rig.agent.version, rig.agent.rows["s-1"] = 0, Agent.row("s-1", 1)
        rig.director.watch.is_synced = False
        until(lambda: rig.count("older lists") >= 2)
        rig.agent.version, rig.agent.rows = version, rows
        rig.agent.set("s-2", "leaving")
        until(lambda: not rig.director.hosts.entries[b"s-2"].listing.ready)
        assert not rig.director.hosts.entries[b"s-1"].listing.ready


def test_a_change_missed_by_the_watch_is_found_by_a_resync(tmp_path, monkeypatch):
    monkeypatch.setattr(list_watch, "MAX_LAG_S", 0.5)
    with PlatformRig(tmp_path) as rig:
        updates = []
        rig.director.watch.on_update = lambda update: (
            updates.append(update),
            rig.director._on_host_list(update),
        )
        until(lambda: rig.agent.requests.count(-1) >= 3)
        assert not updates  # an unchanged list causes no batch
        rig.agent.rows["s-1"] = Agent.row("s-1", 1, "leaving")  # without a new version
        until(lambda: not rig.director.hosts.entries[b"s-1"].listing.ready)
        assert rig.count("changes found by resync") == 1


def test_an_agent_that_never_waits_is_polled_at_a_bounded_rate(tmp_path):
    agent = RawAgent(http_answer(1, *ROWS), http_answer(1, complete=False))
    with PlatformRig(tmp_path, agent=agent):
        started, before = time.monotonic(), len(agent.requests)
        until(lambda: time.monotonic() - started > 1.0)
        assert 5 < len(agent.requests) - before < 45  # a watch ends after 0.2 s without a call
    agent = RawAgent(*[http_answer(n, *ROWS) for n in range(1, 5000)])
    with PlatformRig(tmp_path, agent=agent):
        started, before = time.monotonic(), len(agent.requests)
        until(lambda: time.monotonic() - started > 1.0)
        assert len(agent.requests) - before < 110


def test_an_unreadable_change_causes_a_resync(tmp_path):
    leaving = {**ROWS[1], "phase": "leaving"}

    def complete_on_request(path):
        return (
            http_answer(2, complete=False)
            if "index" in path
            else http_answer(2, ROWS[0], leaving, *ROWS[2:])
        )

    agent = RawAgent(
        http_answer(1, *ROWS),
        http_answer(2, {**leaving, "size": "x"}, complete=False),
        complete_on_request,
    )
    with PlatformRig(tmp_path, agent=agent) as rig:
        until(
            lambda: not rig.director.hosts.entries[b"s-1"].listing.ready, list_watch.MAX_LAG_S / 2
        )


def test_a_slow_list_is_given_more_time_until_it_is_complete(tmp_path, monkeypatch):
    monkeypatch.setattr(list_watch, "POLL_WAIT_S", 0.2)
    monkeypatch.setattr(list_watch, "ANSWER_MARGIN_S", 0.1)

    def slow_answer(path):
        data = http_answer(2, *ROWS[:2]) if "index" not in path else http_answer(2, complete=False)
        for at in range(0, len(data), 20):
            gevent.sleep(0.02)  # the complete answer takes about half a second
            yield data[at : at + 20]

    agent = RawAgent(slow_answer)
    with PlatformRig(tmp_path, agent=agent) as rig:
        until(lambda: rig.director.watch.revision == 2)
        assert set(rig.director.hosts.entries) == {b"s-0", b"s-1"}
