"""The output and exit codes of the commands, which run against real programs where they need any.

`tests/test_fleet_commands.py` covers `ironfall fleet`, `keeper` and `observer`, and
`tests/test_names.py` covers `terms show`.
"""

import contextlib
import json
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from ironfall.api.http import HttpClient
from ironfall.generated import ironfall_pb2 as pb
from ironfall.lab.play import LAG_MOST
from ironfall.lab.tape import read
from ironfall.metrics.point import Point
from ironfall.metrics.retention import archives
from ironfall.metrics.rounds import Rounds
from tests.platform_rig import Agent, Relay
from tests.rig import TERMS, until
from tests.test_crossing_life import start_program

ROOT = Path(__file__).parent.parent
CHARTS = ROOT / "deploy" / "terms" / "charts.sexp"
TURNS = Path(__file__).with_name("stored") / "record.turns"
DAY = f"""terms {TERMS}
length 2s
hosts harbour 2 cores 4
hosts hill    2 cores 4
hosts plain   2 cores 4
proxies hill 1
director hill
demand 30
class listing share 40% work 10ms
class hold    share 30% work 10ms
class settle  share 30% work 10ms
"""


def ironfall(*words):
    """Runs a command to its end."""
    command = [sys.executable, "-m", "ironfall", *map(str, words)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)


def free_ports(count):
    """Returns free ports of 127.0.0.1, all bound at the same time so that they differ."""
    with contextlib.ExitStack() as held:
        socks = [held.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]


def accepts_connections(port):
    with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1):
        return True
    return False


class Program:
    """A command that runs until it is stopped; `log` is the file with its standard error."""

    def __init__(self, log, *words, form="json"):
        self.log = log
        command = [sys.executable, "-m", "ironfall", "--log", form, *map(str, words)]
        with open(log, "w") as stderr:
            self.process = subprocess.Popen(command, cwd=ROOT, stderr=stderr)

    def until(self, true):
        until(lambda: self.process.poll() is not None or true(), 30)
        assert self.process.poll() is None, self.log.read_text()

    def events(self, name):
        lines = self.log.read_text().splitlines(keepends=True)
        whole = [json.loads(line) for line in lines if line.endswith("\n")]
        return [event for event in whole if event["event"] == name]

    def stop(self):
        """Returns the exit code."""
        self.process.terminate()
        try:
            return self.process.wait(20)
        except subprocess.TimeoutExpired:
            self.process.kill()
            raise


class Service:
    """Emulated hosts with a registry, a director with operators' files, and a proxy."""

    def __init__(self, folder):
        self.folder, self.day, self.programs = folder, folder / "short.day", {}
        self.day.write_text(DAY)
        self.servers, self.terms = folder / "servers.sexp", folder / "terms.sexp"
        files = f'(files (path "{self.servers}") (store "{folder / "store"}") (settle 400ms))'
        self.terms.write_text(f"{TERMS.read_text().rstrip()[:-1]} {files})\n")

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def start(self):
        registry, self.control, self.client_port = free_ports(3)
        self.registry = f"127.0.0.1:{registry}"
        listed = ("--registry", self.registry)
        tape = ("--tape", self.folder / "hosts.tape")
        control = ("--control", f"127.0.0.1:{self.control}")
        hosts = self.run("hosts", "lab", "hosts", self.day, *listed, *control, *tape)
        hosts.until(lambda: accepts_connections(registry) and accepts_connections(self.control))
        record = ("--record", self.folder / "d1.turns")
        listen = ("--listen", "127.0.0.1:0", "--name", "d1")
        director = self.run("director", "director", self.terms, *listen, *listed, *record)
        director.until(lambda: director.events("listening"))
        self.director = director.events("listening")[0]["address"]
        until(lambda: self.status()["hosts"] == 6, 30)
        tape = ("--tape", self.folder / "proxy.tape")
        named = ("--as", f"p1,hill,20,127.0.0.1:{self.client_port}", "--director", self.director)
        proxy = self.run("proxy", "proxy", self.terms, *named, *listed, *tape)
        proxy.until(lambda: accepts_connections(self.client_port))

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        """Returns the exit codes of all, the newest program first."""
        running = reversed(self.programs.items())
        return {name: program.stop() for name, program in running}

    def run(self, name, *words):
        self.programs[name] = Program(self.folder / f"{name}.log", *words)
        return self.programs[name]

    def status(self):
        host, _, port = self.director.partition(":")
        return json.loads(HttpClient((host, int(port))).call("GET", "/v1/status", 5).body)

    def adopt(self, number, text):
        fresh = self.servers.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self.servers)
        self.adopted(number)

    def adopted(self, number):
        until(lambda: self.status()["files"]["adopted"].get("number") == number, 30)


@pytest.fixture(scope="module")
def service(tmp_path_factory):
    with Service(tmp_path_factory.mktemp("service")) as running:
        yield running
        assert running.stop() == {"proxy": 0, "director": 0, "hosts": 0}


def drain(*hosts, by="ops"):
    rows = "".join(f'\n  (host "{host}" (state drain))' for host in hosts)
    return f'(servers "resale" (by "{by}"){rows})\n'


# ironfall terms, files and metrics, without a running program


def test_terms_check_prints_that_a_file_is_valid_or_the_place_of_a_fault(tmp_path):
    valid = ironfall("terms", "check", TERMS)
    assert (valid.returncode, valid.stdout, valid.stderr) == (0, f"{TERMS}: valid\n", "")
    invalid = tmp_path / "wrong.sexp"
    invalid.write_text('(service "x"')
    result = ironfall("terms", "check", invalid)
    assert (result.returncode, result.stdout) == (2, "")
    assert result.stderr.startswith(f"{invalid}:1:1: ")


@pytest.fixture
def change(tmp_path):
    """Settings, two server sets and a registry's answer: a host leaves, one joins, one is reweighted."""
    rows = [
        {"name": f"h{n}", "address": f"127.0.8.{n + 1}:9", "zone": zone, "state": "ready"}
        for n, zone in enumerate(("harbour", "hill", "plain") * 3)
    ]
    listed, old, new = tmp_path / "list.json", tmp_path / "old.sexp", tmp_path / "new.sexp"
    listed.write_text(json.dumps({"hosts": rows}))
    old.write_text(drain("h8"))
    new.write_text('(servers "resale" (by "ops") (host "h1" (state drain)) (host "h2" (weight 2)))')
    return TERMS, old, new, "--registry", listed


def test_files_check_prints_that_a_set_is_valid(change):
    terms, old, new, *listed = change
    result = ironfall("files", "check", terms, new, "--standing", old, *listed)
    assert (result.returncode, result.stdout) == (0, f"{new}: valid\n"), result.stderr


def test_files_diff_prints_the_changed_hosts_and_the_load(change):
    result = ironfall("files", "diff", *change)
    *hosts, cost = result.stdout.splitlines()
    assert result.returncode == 0, result.stderr
    assert hosts == [
        "leaves  h1@127.0.8.2:9",
        "comes   h8@127.0.8.9:9",
        "weighs  h2@127.0.8.3:9 1 -> 2",
    ]
    assert re.fullmatch(
        r"about [\d.]+ lines in [\d.]+ messages, \d+\.\d\ds of the channel", cost
    ), cost


def test_files_plan_prints_the_portions_of_a_change(change):
    result = ironfall("files", "plan", *change)
    portions, *steps = result.stdout.splitlines()
    assert result.returncode == 0, result.stderr
    assert re.fullmatch(r"\d+ portions over \d+\.\d\ds at 3000 lines a second", portions), portions
    assert steps == [
        "first: 1 withdrawals, all at once",
        "then: 1 new hosts and 1 weights, as the channel has room",
    ]


@pytest.mark.parametrize(
    ("line", "code", "last"),
    [
        (
            "servers.n7.queue 4",
            0,
            "used if the host is listed and started before the reading, and ",
        ),
        ("servers.n7.queue 4 1000", 1, "ignored: older than (late 30s)"),
        ("servers.n7.queue 4 99000000000", 1, "ignored: from the future by more than (ahead "),
        ("other.n7 4", 1, "other.n7 matches no reading; the patterns are: servers.{host}.queue, "),
        ("no line at all", 1, "invalid line: "),
    ],
)
def test_metrics_explain_prints_the_effect_of_a_line(line, code, last):
    result = ironfall("metrics", "explain", CHARTS, line)
    assert (result.returncode, result.stderr) == (code, "")
    *before, said = result.stdout.splitlines()
    assert said.startswith(last), said
    for text in before:
        assert re.fullmatch(r"reading q of host n7: 4, -?[\d.]+s old", text), text


def test_metrics_plot_lists_the_series_and_writes_a_file(tmp_path):
    now, folder, picture = time.time(), tmp_path / "rounds", tmp_path / "picture.png"
    rounds = Rounds(folder, archives("1s:1min"), 10, lambda: now)
    for name in ("ironfall.d1.polls", "ironfall.d1.turns"):
        rounds.put(Point(name, 4.0, int(now) - 5))
    rounds.flush()
    assert ironfall("metrics", "plot", folder).stdout == "ironfall.d1.polls\nironfall.d1.turns\n"
    drawn = ironfall("metrics", "plot", folder, "*", "--last", "50s", "--out", picture)
    assert (drawn.returncode, drawn.stdout) == (0, f"{picture}: 2 series\n"), drawn.stderr
    none = ironfall("metrics", "plot", folder, "other.*")
    assert (none.returncode, none.stderr) == (2, f"no series in {folder} matches other.*\n")


# ironfall files against a running director


def test_files_commands_show_the_adopted_sets_and_restore_one(service):
    at = ("--director", service.director)
    for number, host in enumerate(("h01", "h03"), 1):
        service.adopt(number, drain(host, by=f"operator{number}"))
    shown = ironfall("files", "status", *at)
    status = json.loads(shown.stdout)
    assert shown.returncode == 0 and status["path"] == str(service.servers)
    assert status["standing"] == "adopted" and status["refused"] == {}
    assert {k: status["adopted"][k] for k in ("number", "by")} == {"number": 2, "by": "operator2"}

    plain = json.loads(ironfall("files", "history", *at, "--json").stdout)
    assert [(one["number"], one["by"]) for one in plain] == [(1, "operator1"), (2, "operator2")]
    history = ironfall("files", "history", *at).stdout.splitlines()
    heads = [line for line in history if not line.startswith("      ")]
    for one, line in zip(plain, heads, strict=True):
        assert re.match(rf" +{one['number']}  \d{{4}}-\d\d-\d\d \d\d:\d\d:\d\d  ", line), line
        assert line.endswith(f"  {one['by']}  {one['digest']}  {one['summary']}")

    copy = service.folder / "copy.sexp"
    reverted = ironfall("files", "revert", "1", *at, "--to", copy)
    said = (
        "restored from adoption 1; `ironfall files status` shows when the director has adopted it"
    )
    assert (reverted.returncode, reverted.stdout) == (0, f"{copy}: {said}\n"), reverted.stderr
    assert copy.read_text() == drain("h01", by="operator1")
    assert ironfall("files", "revert", "1", *at).stdout == f"{service.servers}: {said}\n"
    service.adopted(3)
    unknown = ironfall("files", "revert", "9", *at)
    assert unknown.returncode == 2 and "no adoption 9 is kept here" in unknown.stderr

    service.servers.write_text("(wrong")
    until(lambda: service.status()["files"]["refused"], 30)
    refused = ironfall("files", "status", *at)
    causes = json.loads(refused.stdout)["refused"]["causes"]
    assert refused.returncode == 1 and causes[0].startswith("servers.sexp:1:"), causes


def test_files_status_reports_that_no_director_answers():
    with socket.socket() as held:  # bound, and nobody listens
        held.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{held.getsockname()[1]}"
        result = ironfall("files", "status", "--director", address)
    assert (result.returncode, result.stdout) == (2, "")
    assert result.stderr.startswith(f"no director answers at {address}: ")


# Commands that run until they are stopped


def test_a_director_logs_its_start_and_stop_and_its_record_replays(service, tmp_path):
    record, listed = tmp_path / "d2.turns", ("--registry", service.registry)
    words = (TERMS, "--listen", "127.0.0.1:0", "--name", "d2", "--record", record, *listed)
    director = Program(tmp_path / "log", "director", *words)

    def hosts():
        return {line["host"].partition("@")[0] for line in director.events("line")}

    try:
        director.until(lambda: hosts() == {f"h0{n}" for n in range(1, 7)})
    finally:
        code = director.stop()
    assert code == 0, director.log.read_text()
    (begun,), (ended,) = director.events("listening"), director.events("stopped")
    assert begun["director"] == ended["director"] == "d2" and begun["level"] == "info"
    assert begun["epoch"] > 0 and begun["address"].startswith("127.0.0.1:")
    recorded = len(record.read_text().splitlines())
    again = ironfall("replay", TERMS, record)
    assert (again.returncode, again.stderr) == (0, "")
    assert again.stdout == f"{recorded} batches, 0 with other orders\n"
    assert recorded > 1 and ended["turns"] > 0


def test_replay_prints_the_batches_whose_orders_differ(tmp_path):
    lines = TURNS.read_text().splitlines()
    turn = json.loads(lines[1])
    turn["orders"].pop()
    changed = tmp_path / "changed.turns"
    changed.write_text("\n".join([lines[0], json.dumps(turn), *lines[2:]]) + "\n")
    result = ironfall("replay", TERMS, changed)
    count, difference = result.stdout.splitlines()
    assert (result.returncode, count) == (1, f"{len(lines)} batches, 1 with other orders")
    assert difference.startswith(f"  batch 2 at {turn['now']}: [[")


def test_lab_director_runs_another_engine_with_its_own_files(service, tmp_path):
    servers, store = tmp_path / "own.sexp", tmp_path / "store"
    servers.write_text(drain("h01"))
    listed = ("--registry", service.registry, "--listen", "127.0.0.1:0")
    own = ("--as", "even", "--files", servers, "--store", store)
    director = Program(tmp_path / "log", "lab", "director", TERMS, *listed, *own, form="text")

    def listening():
        return re.search(r"listening +address=([\d.:]+) ", director.log.read_text())

    try:
        director.until(listening)
        address = listening()[1]

        def status():
            return json.loads(ironfall("files", "status", "--director", address).stdout)

        director.until(lambda: "server set adopted" in director.log.read_text())
        shown = status()
    finally:
        code = director.stop()
    assert code == 0 and shown["path"] == str(servers) and store.is_dir()
    assert (shown["standing"], shown["adopted"]["number"]) == ("adopted", 1)


def test_lab_hosts_are_in_the_registry_and_accept_faults(service):
    host, _, port = service.registry.partition(":")
    told = json.loads(HttpClient((host, int(port))).call("GET", "/v1/list", 5).body)
    assert told["whole"] and [row["name"] for row in told["hosts"]] == [
        f"h0{n}" for n in range(1, 7)
    ]
    with (
        socket.create_connection(("127.0.0.1", service.control), 5) as sock,
        sock.makefile("rw") as lines,
    ):
        lines.write(json.dumps(["late", [], 0.0]) + "\n")
        lines.flush()
        assert lines.readline() == "ok\n"


def test_lab_clients_send_requests_through_the_proxy_and_all_write_tapes(service, tmp_path):
    tape, starts = tmp_path / "clients.tape", time.monotonic() + 1
    proxy = ("--proxy", f"127.0.0.1:{service.client_port}")
    result = ironfall("lab", "clients", service.day, *proxy, "--starts", starts, "--tape", tape)
    assert (result.returncode, result.stderr) == (0, "")
    rows = list(read(tape))
    asked = {row["token"] for row in rows if row["e"] == "asked"}
    ended = {row["token"] for row in rows if row["e"] == "ended"}
    assert asked and asked == ended and rows[-1]["e"] == "asked all"
    assert rows[-1]["exchanges"] == len(asked)
    done = {r["token"] for r in rows if r["e"] == "ended" and r["outcome"] == pb.FULFILLED}
    hosts, proxies = service.folder / "hosts.tape", service.folder / "proxy.tape"
    until(lambda: done <= {row["token"] for row in read(hosts) if row["e"] == "ran"}, 30)
    until(lambda: done <= {row["token"] for row in read(proxies) if row["e"] == "try"}, 30)
    assert done and {"starts", "joined", "told"} <= {row["e"] for row in read(proxies)}


def test_serve_logs_the_agreed_settings_and_fails_without_a_configuration(tmp_path):
    relay, agent = Relay(), Agent()
    running, _ = start_program(tmp_path, relay, agent)

    def events():
        lines = (tmp_path / "log").read_text().splitlines(keepends=True)
        return {e["event"]: e for e in (json.loads(x) for x in lines if x.endswith("\n"))}

    try:
        until(lambda: "service settings" in events() or running.poll() is not None, 30)
        running.send_signal(signal.SIGTERM)
        until(lambda: running.poll() is not None, 30)
    finally:
        running.kill()
        relay.stop()
        agent.server.stop(0)
    ready, settings = events()["ready"], events()["service settings"]
    assert running.returncode == 0
    assert (ready["director"], ready["hosts"], ready["proxies"]) == ("n0", 6, 0)
    assert (settings["proxies"], settings["drain_grace_ms"], settings["cold_ms"]) == (
        20,
        3000,
        10000,
    )
    environment = {"PYTHONPATH": str(ROOT), "RELAY_CONFIG": str(tmp_path / "none.json")}
    command = [sys.executable, "-m", "ironfall", "serve"]
    refused = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60)
    assert refused.returncode == 2 and refused.stderr.startswith("ironfall serve: ")


# ironfall lab: commands that end by themselves


def test_lab_conform_prints_each_check_and_the_counts(service):
    words = ("--zone", "hill", "--classes", "3")
    result = ironfall("lab", "conform", service.director, *words)
    *checks, count = result.stdout.splitlines()
    assert (result.returncode, count) == (0, "11 passed, 0 failed"), result.stdout
    assert len(checks) == 11 and all(line.startswith("passed  ") for line in checks)
    with socket.socket() as held:  # bound, and nobody listens
        held.bind(("127.0.0.1", 0))
        result = ironfall("lab", "conform", f"127.0.0.1:{held.getsockname()[1]}", *words)
    *checks, count = result.stdout.splitlines()
    assert (result.returncode, count) == (1, "0 passed, 11 failed")
    assert all(re.match(r"failed  [^:]+: .*refused", line) for line in checks), checks


def test_lab_model_counts_states_lists_mutants_and_prints_the_steps_to_a_violation():
    bounds = ("--versions", "1", "--epochs", "1")
    result = ironfall("lab", "model", *bounds)
    assert result.returncode == 0
    assert re.fullmatch(r"\d+ states: all invariants hold\n", result.stdout)
    listed = ironfall("lab", "model", "--mutant", "list")
    caught = dict(line.split(": violates ") for line in listed.stdout.splitlines())
    assert listed.returncode == 0 and caught["believes receipts"] == "receipt"
    invalid = ironfall("lab", "model", "--mutant", "believes receipts")
    verdict, *way = invalid.stdout.splitlines()
    assert invalid.returncode == 1 and re.match(r"\d+ states: receipt: ", verdict)
    assert way and all(step.startswith("  ") for step in way)


def test_lab_play_prints_its_report_and_lab_judge_prints_the_same_from_the_tapes(tmp_path):
    day, folders = tmp_path / "short.day", {name: tmp_path / name for name in ("text", "json")}
    day.write_text(DAY + "at 1s drain h01 for 0.5s\n")
    plays = {}
    for name, options in (("text", ()), ("json", ("--json", "--quiet"))):
        words = ("lab", "play", day, "--folder", folders[name], *options)
        command = [sys.executable, "-m", "ironfall", *map(str, words)]
        plays[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )
    said = {name: process.communicate(timeout=60) for name, process in plays.items()}
    reports = {n: json.loads((f / "report.json").read_text()) for n, f in folders.items()}
    for name, report in reports.items():
        too_busy = report["client_lag_s"] > LAG_MOST  # then the report does not count
        expected = 2 if too_busy else 0 if report["kept"] else 1
        assert plays[name].returncode == expected, said[name]
        assert report["exchanges"] > 20 and len(report["rules"]) == 5
    assert json.loads(said["json"][0]) == reports["json"]

    text, progress = said["text"]
    judged = ironfall("lab", "judge", folders["text"])
    assert judged.returncode == (0 if reports["text"]["kept"] else 1)
    assert "drain h01 for 0.5s" in progress and " drain h01 for 0.5s\n" in text
    assert re.sub(" +drain h01 for 0.5s", "", text) == judged.stdout
    lines = judged.stdout.splitlines()
    assert lines[0].split() == ["second", "asked", "earned", "late", "refused", "failed"]
    assert f"figure: {reports['text']['figure']:.3f} of the earnings asked for" in judged.stdout
    assert f"{reports['text']['exchanges']} exchanges, " in judged.stdout
    assert sum(line.startswith(("kept ", "BROKEN ")) for line in lines) == 5


def test_the_recovery_benchmark_reports_the_bytes_of_the_journal():
    command = "from benchmarks.files import recovery; recovery(count=10)"
    done = subprocess.run(
        [sys.executable, "-c", command], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stderr
    shown = json.loads(done.stdout)
    assert shown["records"] == 10 and shown["last"] == 5 and shown["bytes"] > 0
