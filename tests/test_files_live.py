"""Operators' files in a running director: renames, writes, faults, restarts, pins, restoring."""

import json
import os
import time
from datetime import UTC, datetime
from pathlib import Path

import gevent
import pytest
from click.testing import CliRunner

from ironfall.api.http import HttpClient
from ironfall.api.registry import BadList
from ironfall.cli import main
from ironfall.files.reader import read
from ironfall.files.terms import FilesTerms
from tests.rig import TERMS, Rig, until
from tests.test_director import bound

ZONES = ("harbour", "hill", "plain")


class WatchedPath:
    """The path that a test's director watches."""

    def __init__(self, folder, **terms):
        self.path = folder / "servers.sexp"
        defaults = {"settle": 400, "poll": 2_000, "store": str(folder / "store")}
        self.terms = FilesTerms(path=str(self.path), **{**defaults, **terms})

    def rig(self, **more):
        return Rig(hosts=9, files=self.terms, **more)

    def rename(self, text):
        fresh = self.path.with_suffix(".new")
        fresh.write_text(text)
        os.replace(fresh, self.path)


def server_set(*rows, by="ops"):
    return f'(servers "resale" (by "{by}")\n  ' + "\n  ".join(rows) + ")\n"


def drain(*hosts):
    return server_set(*(f'(host "{host}" (state drain))' for host in hosts))


def ready(running):
    return {e.host.partition("@")[0] for e in running.live.host_list.entries.values() if e.ready}


def adopted(running, number, seconds=10):
    files = running.program.files
    until(
        lambda: (
            files.adoption and files.adoption.number == number and files.file_state == "adopted"
        ),
        seconds,
    )


def refused(running, what, seconds=10):
    files = running.program.files
    until(lambda: any(what in cause for cause in files.refusal.get("causes", ())), seconds)


def host_state(running, name):
    hosts = running.live.engine.hosts.values()
    return next(h for h in hosts if running.live.host_list.names[h.id].startswith(f"{name}@"))


def test_a_renamed_file_is_adopted_and_reaches_proxies_as_a_withdrawal(tmp_path):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:
        peer = bound(running)
        watched.rename(drain("h1"))
        adopted(running, 1)
        until(lambda: any(h.startswith("h1@") for h in running.live.publication.outs))
        watched.rename(drain())
        adopted(running, 2)
        until(lambda: not running.live.publication.outs)
        assert peer and running.program.files.status()["adopted"]["by"] == "ops"


@pytest.mark.parametrize("has_inotify", [True, False])
def test_a_file_written_in_place_is_adopted_once_it_is_complete(tmp_path, monkeypatch, has_inotify):
    if not has_inotify:  # as on a network file system: polling finds the change
        monkeypatch.setattr(
            "ironfall.files.watch.INotify", lambda **_: (_ for _ in ()).throw(OSError())
        )
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:
        text = drain("h1", "h2")
        with open(watched.path, "w") as file:
            for n in range(0, len(text), 9):  # a slow writer, which could die at any of these
                file.write(text[n : n + 9])
                file.flush()
                gevent.sleep(0.01)
                assert ready(running) >= {"h1", "h2"}
        adopted(running, 1)
        assert not ready(running) & {"h1", "h2"}


def test_a_truncated_file_is_refused_with_its_cause_and_the_adopted_set_stays(tmp_path):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:
        watched.rename(drain("h1"))
        adopted(running, 1)
        watched.path.write_text(drain("h1", "h2")[:-12])
        refused(running, "servers.sexp:")
        assert "h1" not in ready(running) and "h2" in ready(running)
        status = json.loads(HttpClient(running.address).call("GET", "/v1/status", 5).body)["files"]
        assert status["standing"] == "refused" and status["adopted"]["number"] == 1
        watched.rename(drain("h2"))
        adopted(running, 2)
        assert not running.program.files.refusal and "h1" in ready(running)


def test_the_adopted_set_stays_if_the_file_is_deleted(tmp_path):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:
        watched.rename(
            server_set(
                '(host "n1" (address "127.0.8.1:9") (zone "hill"))', '(host "h1" (state drain))'
            )
        )
        adopted(running, 1)
        watched.path.unlink()
        until(lambda: running.program.files.file_state == "missing")
        assert "n1" in ready(running) and "h1" not in ready(running)


@pytest.mark.parametrize(
    ("make", "what"),
    [
        (lambda p: os.mkfifo(p), "is not a regular file"),
        (lambda p: p.mkdir(), "the folder has no fragments"),
        (lambda p: p.symlink_to(p), "Too many levels"),
        (lambda p: p.write_bytes(b"(servers\xff"), "invalid UTF-8"),
        (lambda p: p.write_text("(" * 5000), "nested 5000 deep"),
        (lambda p: p.write_text("x" * 3000), "over the limit"),
        (lambda p: p.write_text(drain("h0", "h3", "h6")), "of harbour would be ready"),
        (
            lambda p: p.write_text(drain(*(f"h{n}" for n in range(9)))),
            "no class would have a ready host",
        ),
    ],
)
def test_an_invalid_path_content_or_change_is_refused_with_its_cause(tmp_path, make, what):
    watched = WatchedPath(tmp_path, most=2500 if "limit" in what else 16 << 20)
    with watched.rig() as running:
        make(watched.path)
        refused(running, what)
        assert len(ready(running)) == 9
        gevent.sleep(0.05)
        if watched.path.is_dir():
            watched.path.rmdir()
        else:
            watched.path.unlink()
        watched.rename(drain("h1"))
        adopted(running, 1)


def test_a_file_without_read_permission_is_reported(tmp_path):
    path = tmp_path / "a.sexp"
    path.write_text(drain("h1"))
    path.chmod(0)
    found = read(str(path), 1000)
    assert "Permission denied" in found.get("cause", "") or os.getuid() == 0


def test_fragments_of_a_folder_behind_a_link_that_is_replaced(tmp_path):
    watched = WatchedPath(tmp_path)
    for name, hosts in (("one", ("h1",)), ("two", ("h2", "h4"))):
        (tmp_path / name).mkdir()
        for n, host in enumerate(hosts):
            (tmp_path / name / f"{n}.sexp").write_text(drain(host).replace('(by "ops")', ""))
    watched.path.symlink_to(tmp_path / "one")
    with watched.rig() as running:
        adopted(running, 1)
        assert "h1" not in ready(running)
        (tmp_path / "link").symlink_to(tmp_path / "two")
        os.replace(tmp_path / "link", watched.path)
        adopted(running, 2)
        assert not ready(running) & {"h2", "h4"} and "h1" in ready(running)
        # One broken fragment blocks the changes of the others, too.
        (tmp_path / "two" / "0.sexp").write_text(drain("h5").replace('(by "ops")', ""))
        (tmp_path / "two" / "9.sexp").write_text("(servers")
        refused(running, "9.sexp:1:1")
        assert "h5" in ready(running)
        (tmp_path / "two" / "9.sexp").unlink()
        adopted(running, 3)
        assert not ready(running) & {"h5", "h4"} and "h2" in ready(running)


def test_two_racing_writers_end_with_the_set_of_one(tmp_path):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:

        def write(host):
            for _ in range(60):
                watched.path.write_text(drain(host))
                gevent.sleep(0.003)

        gevent.joinall([gevent.spawn(write, host) for host in ("h1", "h2")])
        until(lambda: running.program.files.file_state == "adopted")
        gevent.sleep(0.3)
        assert len({"h1", "h2"} - ready(running)) == 1


def test_a_restart_adopts_the_stored_set_before_the_first_proxy_joins(tmp_path):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:
        new = '(host "n1" (address "127.0.8.1:9") (zone "hill") (warm yes))'
        watched.rename(server_set(new, '(host "h1" (state drain))'))
        adopted(running, 1)
    watched.path.write_text("(half")
    running = Rig(hosts=9, files=watched.terms)
    assert "n1" in {e.host.partition("@")[0] for e in running.live.host_list.entries.values()}
    with running:
        until(lambda: len(ready(running)) == 9)
        assert "h1" not in ready(running) and "n1" in ready(running)
        assert running.program.files.history()[0]["number"] == 1


def test_a_set_stored_but_not_published_at_a_crash_is_adopted_at_the_restart(tmp_path, monkeypatch):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:

        def killed(merge, is_fresh):
            raise gevent.GreenletExit  # the rest of the adoption is not run

        monkeypatch.setattr(running.program.files, "_publish", killed)
        watched.rename(drain("h1"))
        until(lambda: running.program.files.greenlets[0].dead)
        assert "h1" in ready(running) and not running.program.files.adoption
    with watched.rig() as running:
        adopted(running, 1)
        assert "h1" not in ready(running)


def test_a_large_set_goes_out_in_portions_within_the_queue(tmp_path):
    watched = WatchedPath(tmp_path)
    queue = 400.0
    with watched.rig(service={"queue_limit": queue, "proxies": 9}) as running:
        pairs = [bound(running, f"p{n}") for n in range(6)]
        live, before = running.live, running.live.publication.version
        new = [
            f'(host "n{n}" (address "127.0.8.{n + 1}:9") (zone "{ZONES[n % 3]}") (warm yes))'
            for n in range(90)
        ]
        watched.rename(server_set(*new, '(leave (cold 100%) (owner "o") (reason "r"))'))

        def follow(peer, holding):
            # Confirms each table; unconfirmed ones delay the next portion.
            while len(holding.lines(0)) < 90:
                status, state = peer.poll(version=holding.version, wait_ms=500)
                if status == 200:
                    holding.apply(state)

        gevent.joinall(
            [gevent.spawn(follow, *pair) for pair in pairs], timeout=40, raise_error=True
        )
        assert all(len(holding.lines(0)) >= 90 for _, holding in pairs)
        assert live.channel.max_backlog <= queue and live.publication.version >= before + 2


def test_a_director_serves_with_a_truncated_store_or_one_in_use(tmp_path):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:
        watched.rename(drain("h1"))
        adopted(running, 1)
        watched.rename(drain("h2"))
        adopted(running, 2)
        with Rig(hosts=9, files=watched.terms) as second:
            assert "in use" in second.program.files.store_state
            adopted(second, 1)
    journal = next((tmp_path / "store").glob("*.journal"))
    journal.write_bytes(journal.read_bytes()[:-20])
    watched.path.unlink()
    with watched.rig() as running:
        assert running.program.files.adoption.number == 1 and running.program.files.store.faults
        until(lambda: len(ready(running)) == 8)


def test_a_pin_fixes_a_weight_until_it_expires(tmp_path):
    watched = WatchedPath(tmp_path)
    ends = datetime.fromtimestamp(time.time() + 3, UTC).isoformat()
    with watched.rig() as running:
        pin = f'(pin "h1" (weight 0.7) (owner "ops") (reason "r") (until "{ends}"))'
        watched.rename(server_set(pin, '(bounds "h2" (floor 1.5) (cap 2))'))
        adopted(running, 1)
        until(
            lambda: (
                host_state(running, "h1").weight == 0.7 and host_state(running, "h2").weight == 1.5
            )
        )
        assert (host_state(running, "h1").min_weight, host_state(running, "h1").max_weight) == (
            0.7,
            0.7,
        )
        assert "h1" in running.program.files.status()["pins"]
        until(lambda: host_state(running, "h1").max_weight > 1000)
        assert (
            host_state(running, "h2").max_weight == 2 and not running.program.files.status()["pins"]
        )


def test_a_host_serves_all_classes_but_the_excluded_one(tmp_path):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:
        peer, holding = bound(running)

        def serves(kind, host):
            return any(h.startswith(f"{host}@") for h in holding.lines(kind))

        def follow():
            while True:
                status, state = peer.poll(version=holding.version, wait_ms=500)
                if status == 200:
                    holding.apply(state)

        job = gevent.spawn(follow)
        watched.rename(server_set('(host "h0" (keep "hold"))'))
        adopted(running, 1)
        until(
            lambda: not serves(1, "h0") and serves(0, "h0") and serves(2, "h0") and serves(1, "h3"),
            15,
        )
        watched.rename(server_set())
        adopted(running, 2)
        until(lambda: serves(1, "h0"), 60)
        assert not job.dead
        job.kill()


def test_a_clock_change_neither_ends_nor_prolongs_a_pin(tmp_path):
    watched = WatchedPath(tmp_path)
    ends = datetime.fromtimestamp(time.time() + 60, UTC).isoformat()
    with watched.rig() as running:
        files, jump = running.program.files, [0.0]
        watched.rename(
            server_set(f'(pin "h1" (weight 0.7) (owner "ops") (reason "r") (until "{ends}"))')
        )
        adopted(running, 1)
        until(lambda: host_state(running, "h1").max_weight == 0.7)
        files.wall = lambda: time.time() + jump[0]
        jump[0] = 3600.0
        # Guards against merging the registry's next answer by the changed clock.
        rows = [dict(row) for row in running.registry.rows]
        rows[2]["state"] = "draining"
        running.registry.set(rows)
        until(lambda: "h2" not in ready(running))
        gevent.sleep(0.3)
        assert host_state(running, "h1").max_weight == 0.7


def test_the_command_line_shows_history_and_status_and_restores_a_set(tmp_path):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:
        at = ["--director", f"127.0.0.1:{running.address[1]}"]

        def call(*words):
            # In a greenlet, as the director runs in this process.
            return gevent.spawn(CliRunner().invoke, main, ["files", *words, *at]).get()

        for number, host in enumerate(("h1", "h2"), 1):
            watched.rename(drain(host))
            adopted(running, number)
        assert call("history").output.count("hosts leave") == 2 and call("status").exit_code == 0
        assert call("revert", "1").exit_code == 0 and call("revert", "9").exit_code == 2
        adopted(running, 3)
        assert "h1" not in ready(running) and "h2" in ready(running)
        watched.rename("(wrong")
        refused(running, "servers.sexp")
        assert call("status").exit_code == 1


def test_check_diff_and_plan_without_a_director(tmp_path):
    old, new, rows = tmp_path / "old.sexp", tmp_path / "new.sexp", tmp_path / "list.json"
    old.write_text(drain("h1"))
    new.write_text(drain("h1", "h2"))
    zones = ("harbour", "hill", "plain")
    rows.write_text(
        json.dumps(
            {
                "hosts": [
                    {
                        "name": f"h{n}",
                        "address": f"127.0.8.{n}:9",
                        "zone": zones[n % 3],
                        "state": "ready",
                    }
                    for n in range(9)
                ]
            }
        )
    )

    def call(*words):
        return CliRunner().invoke(main, ["files", *map(str, words), "--registry", str(rows)])

    assert call("check", TERMS, new).exit_code == 0
    found = call("diff", TERMS, old, new)
    assert found.exit_code == 0 and "leaves  h2@" in found.output and "lines" in found.output
    assert "1 portions" in call("plan", TERMS, old, new).output
    new.write_text(drain("h0", "h3", "h6"))
    found = call("check", TERMS, new)
    assert found.exit_code == 1 and "refused: no host of harbour" in found.output
    new.write_text("(servers")
    assert call("check", TERMS, new).exit_code == 2


def test_a_malformed_registry_answer_changes_nothing(tmp_path):
    watched = WatchedPath(tmp_path)
    with watched.rig() as running:
        for invalid in (
            7,
            [3],
            [{"name": "x"}],
            [{"name": "x", "address": "y", "zone": "nowhere", "state": "ready"}],
        ):
            with pytest.raises(BadList):
                running.program.files.registry(invalid, True)
        assert len(ready(running)) == 9 and len(running.program.files.merge.rows) == 9


def test_faults_in_the_settings_of_files_are_reported(tmp_path):
    text, path = Path(TERMS).read_text().rstrip()[:-1], tmp_path / "t.sexp"
    invalid = {
        "(files (settle 1s))": 'needs (path "FILE")',
        '(files (path "x") (remove 130%))': "at most",
    }
    for part, what in invalid.items():
        path.write_text(text + part + ")")
        found = CliRunner().invoke(main, ["terms", "check", str(path)])
        assert found.exit_code == 2 and what in found.output
