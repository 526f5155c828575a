"""The conductor: sets up a day's processes, brings its troubles at their times, and has it judged."""

import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
import structlog
from gevent.server import StreamServer

from ironfall.coordinator.client import CoordinatorClient
from ironfall.director.fleet_member import CoordinatorLedger
from ironfall.files.notation import read_set
from ironfall.lab.agents import Again, Beating, Kept, Ways, watch, watch_observed
from ironfall.lab.between import SPOILT, TORN, TWICE, Between, Faults
from ironfall.lab.clients import rates
from ironfall.lab.day import KEEPERS, OBSERVERS, Day, Trouble, beside, load, part_of, seconds_of
from ironfall.lab.fleet_judge import Fleet as FleetFacts
from ironfall.lab.fleet_judge import FleetJudge
from ironfall.lab.hosts import Fleet
from ironfall.lab.judge import Judge, Verdict
from ironfall.lab.nodes import Nodes, To
from ironfall.lab.registry import Registry, kind_of
from ironfall.lab.tape import SECOND, Tape, read
from ironfall.lab.wires import Wire
from ironfall.lab.works import Works
from ironfall.membership_server.client import HeartbeatClient
from ironfall.storage.disk import Disk, Folder
from ironfall.terms import Terms, read_terms

COMES_UP = 20.0  # seconds that a process of the day may take to be there
LAG_MOST = 0.25  # seconds: a day whose clients were later than that says more of this machine than of a director
BETWEEN = {
    "spoil": SPOILT,
    "twice": TWICE,
    "torn": TORN,
}  # what becomes of a part of what keepers say and are told


class NotPlayed(Exception):
    """The day could not be played; the text says which part failed."""


def terms_of(day: Day) -> Terms:
    path = Path(day.file).parent / day.terms
    return read_terms(str(path), path.read_text())


PORTS = itertools.count(
    10_000
)  # below those that the system gives out itself (32,768 and up on Linux)


def free_ports(ip: str, count: int) -> list[int]:
    """Ports that nobody listens on, of an address that no other play uses, each found once: one that the system gave
    out may be another listener's before it is listened on here."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((ip, next(PORTS)))
            ports.append(sock.getsockname()[1])
    return ports


def serve_fleet(
    day: Day,
    terms: Terms,
    registry: tuple[str, int],
    control: tuple[str, int],
    tape: Tape,
    seed: int,
    net: str,
    readings: list[To],
    kept: Path | None = None,
) -> None:
    """The process of hosts and registry; troubles come as lines of JSON on the control address. `readings`: the
    directors that hosts' own collectd sends to. `kept`: a folder of registry and agents, which then stand beside the
    keepers of the terms."""
    fleet = Fleet(day, terms, tape.teller, seed, net)
    listing = Registry(registry, fleet, tape.teller("registry"))
    fleet.start()
    if kept and terms.fleet.keepers:
        beside_keepers(fleet, listing, terms, Folder(kept), seed)
    listing.start()
    if day.readings and readings:
        Nodes(fleet, day.readings, readings, seed)

    def command(sock: socket.socket, _address: Any) -> None:
        with sock.makefile("rw") as lines:
            for line in lines:
                what, words, seconds = json.loads(line)
                if what == "late":
                    listing.late = seconds
                else:
                    fleet.trouble(what, words, seconds)
                lines.write("ok\n")
                lines.flush()

    StreamServer(control, command).serve_forever()


def beside_keepers(
    fleet: Fleet,
    listing: Registry,
    terms: Terms,
    disk: Disk,
    seed: int,
    agents: Terms | None = None,
) -> list[Again | Beating]:
    """What stops the host's end of it again. `agents`: their own copy of the terms, where they have one."""
    chance, log, lease = random.Random(seed), structlog.get_logger(), terms.fleet.lease

    def keepers(who: str) -> Ways:
        own = agents if agents and who == "agents" else terms
        return Ways(CoordinatorClient(own.fleet.keepers, who, chance), lease / SECOND / 4)

    def wall(at: float) -> int:
        return int((time.time() - time.monotonic() + at) * SECOND)

    def now() -> int:
        return int(time.monotonic() * SECOND)

    listing.beside(
        keepers("registry"),
        keepers("registry"),
        Kept(disk, "registry"),
        wall,
        chance,
        log,
        terms.fleet.hosts,
    )
    # A keeper that tells marks may not have heard its leader for a while, half of a lease at the most.
    if observers := (agents or terms).fleet.observers:
        _, beating = watch_observed(
            fleet,
            lambda zone: HeartbeatClient(zone, observers, lease, chance),
            Kept(disk, "agents"),
            now,
            lease // 2,
            log,
        )
        return [*listing.jobs, *beating]
    _, jobs = watch(fleet, keepers, Kept(disk, "agents"), now, lease // 2, chance, log)
    return [*listing.jobs, *jobs]


def fleet_of(day: Day, terms: Terms) -> FleetFacts:
    """What the fleet's judge goes by: what must be known of within a lease, under way within another."""
    fleet, notice = terms.fleet, terms.fleet.lease + 3 * SECOND
    return FleetFacts(
        {line.name: (line.zone, kind_of(line), ()) for line in day.hosts},
        dict(day.directors),
        fleet.rules(terms.service).budgets,
        fleet.lease,
        round(fleet.drift * 1_000_000),
        notice,
        notice,
        fleet.begin + fleet.drain + 2 * fleet.back + round(day.length * SECOND),
    )


def until_told(tape: Tape | None, also: Callable[[], None] = lambda: None) -> None:
    """Wait for SIGTERM or SIGINT, writing the tape out now and then."""
    done = gevent.event.Event()
    for which in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(which, done.set)
    while not done.wait(0.5):
        if tape:
            tape.flush()
    also()
    if tape:
        tape.flush()


@dataclass
class Played:
    verdict: Verdict
    folder: Path
    events: list[tuple[float, str]]


class Conductor:
    def __init__(
        self, day: Day, folder: Path, director: str, seed: int, say: Callable[[str], None]
    ) -> None:
        self.day, self.folder, self.director, self.seed, self.say = day, folder, director, seed, say
        self.terms = terms_of(day)
        self.terms_file = Path(day.file).parent / day.terms
        self.chance = random.Random(seed)
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.wires: list[Wire] = []
        self.between = Between(Faults(random.Random(seed)))
        self.starts_of = Counter[str]()  # of each director
        self.net = f"127.{1 + os.getpid() % 254}"
        self.ip = f"{self.net}.0.1"
        folder.mkdir(parents=True, exist_ok=True)
        self.filed: Path | None = None
        if any(t.what in ("adopt", "err", "scribble") for t in day.troubles):
            self.filed = folder / "servers.sexp"
            self.filed.unlink(missing_ok=True)
            for store in folder.glob("store-*"):
                shutil.rmtree(store)
        for old in [*folder.glob("*.tape"), *folder.glob("*.log"), *folder.glob("*.turns")]:
            old.unlink()
        for old in [*folder.glob("disk-*"), folder / "kept"]:
            shutil.rmtree(old, ignore_errors=True)
        self.tape = Tape(folder / "operators.tape")
        self.works: Works | None = None
        known = {name for name, _ in self._others()}
        for t in day.troubles:
            needs = t.what in ("work", "halt", "deaf", "mute", *BETWEEN)
            if needs and not known or t.words and t.words[0] in {*KEEPERS, *OBSERVERS} - known:
                raise NotPlayed(
                    f"{day.file}:{t.line}: {t.what} needs keepers or observers that {day.terms} names"
                )

    def _others(self) -> list[tuple[str, tuple[str, int]]]:
        """Keepers and observers, as all may find them."""
        fleet = self.terms.fleet
        return [*fleet.keepers, *((one.name, one.address) for one in fleet.observers)]

    def _start(self, name: str, *words: str) -> None:
        log = open(self.folder / f"{name}.log", "ab")
        # Each a group of its own: an interrupt at the terminal is handed on by the conductor, in its order.
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", "ironfall", *words],
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        log.close()

    def _there(self, name: str, address: tuple[str, int]) -> None:
        ends = time.monotonic() + COMES_UP
        while time.monotonic() < ends:
            try:
                gevent.socket.create_connection(address, 0.5).close()
                return
            except OSError:
                if self.running[name].poll() is not None:
                    break
                gevent.sleep(0.05)
        raise NotPlayed(f"{name} did not come up; see {self.folder / name}.log")

    def play(self) -> Played:
        try:
            return self._play()
        finally:
            self._end()

    def _play(self) -> Played:
        day = self.day
        ports = free_ports(self.ip, 2 + len(day.directors) + len(day.proxies))
        registry, self.control = (self.ip, ports[0]), (self.ip, ports[1])
        self.director_at = {
            name: (self.ip, ports[2 + n]) for n, (name, _) in enumerate(day.directors)
        }
        proxies = {
            name: (self.ip, ports[2 + len(day.directors) + n])
            for n, (name, _) in enumerate(day.proxies)
        }
        self.registry = registry
        self.read_at: dict[str, tuple[str, int]] = {}
        if day.readings and self.terms.metrics.readings:
            self.read_at = dict(
                zip(
                    self.director_at,
                    [(self.ip, p) for p in free_ports(self.ip, len(day.directors))],
                    strict=True,
                )
            )
        self._start_keepers()
        read = [
            w
            for name, zone in day.directors
            if name in self.read_at
            for w in ("--readings", f"{zone},{_text(self.read_at[name])}")
        ]
        self._start(
            "hosts",
            "lab",
            "hosts",
            day.file,
            "--registry",
            _text(registry),
            "--control",
            _text(self.control),
            "--tape",
            str(self.folder / "hosts.tape"),
            "--seed",
            str(self.seed),
            "--net",
            self.net,
            *read,
            *self.beside,
        )
        for name, _ in day.directors:
            self._start_director(name)
        self._there("hosts", self.control)
        for name, _ in day.directors:
            self._there(name, self.director_at[name])
        named = {}
        for zone in sorted({z for _, z in day.proxies}):
            dials = []
            for name, own in day.directors:
                wire = Wire(self.director_at[name], (zone, own), (self.ip, 0))
                self.wires.append(wire)
                dials += ["--director", f"{self.ip}:{wire.port}"]
                named[f"{self.ip}:{wire.port}"] = name
            asked = rates(day, self.seed)
            own_words = []
            for n, (name, place) in enumerate(day.proxies):
                if place == zone:
                    first = n % len(day.directors)
                    own_words += [
                        "--as",
                        f"{name},{zone},{asked[n]:.3f},{_text(proxies[name])},{first}",
                    ]
            tape = str(self.folder / f"proxies-{zone}.tape")
            self._start(
                f"proxies-{zone}",
                "proxy",
                str(self._proxy_terms()),
                *own_words,
                *dials,
                "--registry",
                _text(registry),
                "--tape",
                tape,
                "--seed",
                str(self.seed),
            )
        for name, zone in day.proxies:
            self._there(f"proxies-{zone}", proxies[name])
        starts = time.monotonic() + 1.5
        to = [word for address in proxies.values() for word in ("--proxy", _text(address))]
        self._start(
            "clients",
            "lab",
            "clients",
            day.file,
            "--starts",
            str(starts),
            "--seed",
            str(self.seed),
            "--tape",
            str(self.folder / "clients.tape"),
            *to,
        )
        events = self._troubles(starts)
        # Clients end by themselves: the longest abandon time after the last exchange.
        self._wait_clients(starts)
        self._end()
        meta = {
            "starts": int(starts * SECOND),
            "directors": named,
            "day": day.file,
            "seed": self.seed,
            "director": self.director,
        }
        (self.folder / "meta.json").write_text(json.dumps(meta))
        return Played(judge(day, self.terms, self.folder, meta), self.folder, events)

    def _start_keepers(self) -> None:
        """Where the terms name keepers: at free ports of this play, and so by a copy of the terms."""
        self.beside: list[str] = []
        keepers = self.terms.fleet.keepers
        if not keepers:
            return
        text, others = self.terms_file.read_text(), self._others()
        for (_, address), port in zip(others, free_ports(self.ip, len(others)), strict=True):
            text = text.replace(f'"{_text(address)}"', f'"{self.ip}:{port}"')
        self.terms_file = self.folder / "fleet.sexp"
        self.terms_file.write_text(text)
        self.terms = read_terms(str(self.terms_file), text)
        self.beside = ["--kept", str(self.folder / "kept"), "--terms", self._own_terms("hosts")]
        for name, _ in self.terms.fleet.keepers:
            self._start_keeper(name)
        for one in self.terms.fleet.observers:
            self._start_observer(one.name)
        for name, address in self._others():
            self._there(name, address)
        fleet, log = self.terms.fleet, structlog.get_logger()

        own = [
            (name, self.between.way("operators", name, address)) for name, address in fleet.keepers
        ]

        def way(who: str) -> CoordinatorLedger:
            return CoordinatorLedger(
                CoordinatorClient(own, who, self.chance), fleet.lease / SECOND / 4
            )

        self.works = Works(
            way,
            "operators",
            time.time_ns() // 1_000_000,
            fleet.lease,
            self.chance,
            self.tape.teller("operators"),
            log,
        )

    def _own_terms(self, name: str) -> str:
        """A file of its own where there are keepers: with relays in it to all that it may speak to of them."""
        if not self.terms.fleet.keepers:
            return str(self.terms_file)
        own = self.folder / f"fleet-{name}.sexp"
        own.write_text(self.between.copy(self.terms_file.read_text(), name, self._others()))
        return str(own)

    def _start_keeper(self, name: str) -> None:
        self._start(
            name,
            "--log",
            "json",
            "keeper",
            self._own_terms(name),
            "--name",
            name,
            "--disk",
            str(self.folder / f"disk-{name}"),
            "--found",
        )

    def _start_observer(self, name: str) -> None:
        self._start(name, "--log", "json", "observer", self._own_terms(name), "--name", name)

    def _again(self, name: str) -> None:
        starts = {KEEPERS: self._start_keeper, OBSERVERS: self._start_observer}
        next((start for names, start in starts.items() if name in names), self._start_director)(
            name
        )

    def _start_director(self, name: str) -> None:
        zone = dict(self.day.directors)[name]
        self.starts_of[name] += 1
        count = self.starts_of[name]
        seed = self.seed * 1000 + sorted(self.director_at).index(name) * 100 + count
        read = ["--readings", _text(self.read_at[name])] if name in self.read_at else []
        if self.filed:
            read += ["--files", str(self.filed), "--store", str(self.folder / f"store-{name}")]
        self._start(
            name,
            "--log",
            "json",
            "lab",
            "director",
            self._own_terms(name),
            "--as",
            self.director,
            "--listen",
            _text(self.director_at[name]),
            "--registry",
            _text(self.registry),
            "--name",
            name,
            "--zone",
            zone,
            "--seed",
            str(seed),
            "--record",
            str(self.folder / f"{name}-{count}.turns"),
            *read,
        )

    def _proxy_terms(self) -> Path:
        """The terms proxies go by. A proxy asks them before it tries again, whatever was ordered: to see the judge
        catch a director that orders what is not safe, its proxies must believe that all is."""
        if self.director != "repeating":
            return self.terms_file
        trusting = self.folder / "trusting.sexp"
        trusting.write_text(
            self.terms_file.read_text().replace("(repeatable never)", "(repeatable always)")
        )
        return trusting

    def _troubles(self, starts: float) -> list[tuple[float, str]]:
        events = []
        for trouble in self.day.troubles:
            gevent.sleep(max(0.0, starts + trouble.at - time.monotonic()))
            text = " ".join([trouble.what, *trouble.words]) + (
                f" for {trouble.seconds:g}s" if trouble.seconds else ""
            )
            self.say(f"{trouble.at:5.1f}s {text}")
            events.append((trouble.at, text))
            self._bring(trouble)
        return events

    def _bring(self, trouble: Trouble) -> None:
        what, words, seconds = trouble.what, trouble.words, trouble.seconds
        names = [host.name for host in self.day.hosts]
        if what == "kill":
            self._signal(words[0], signal.SIGKILL)
            self.running[words[0]].wait()
            gevent.spawn_later(seconds, self._again, words[0])
        elif what == "restart" and words[0] in OBSERVERS:
            self._signal(words[0], signal.SIGTERM)
            if self.running[words[0]].wait(5):
                raise NotPlayed(f"{words[0]} did not end with 0; see {self.folder}/{words[0]}.log")
            self._again(words[0])
        elif what == "stop":
            self._signal(words[0], signal.SIGSTOP)
            gevent.spawn_later(seconds, self._signal, words[0], signal.SIGCONT)
        elif what == "break":
            for wire in self.wires:
                wire.drop(part_of(words[0]), self.chance)
        elif what in ("deaf", "mute"):
            ends = [(other, words[0]) for other in self.between.others(words[0])]
            for source, sink in ends if what == "deaf" else [end[::-1] for end in ends]:
                self.between.faults.cut(source, sink)
                gevent.spawn_later(seconds, self.between.faults.join, source, sink)
        elif what in BETWEEN:
            ended = self.between.faults.some(lambda _: True, BETWEEN[what], part_of(words[0]))
            gevent.spawn_later(seconds, ended)
        elif what in ("adopt", "err", "scribble"):
            self._file(what, words)
        elif what in ("work", "halt"):
            assert self.works is not None
            gevent.spawn(
                getattr(self.works, what),
                words[0] if words[0] in ("all", *names) else f"zone {words[0]}",
                seconds,
            )
        elif what == "late":
            self._command("late", [], seconds_of(words[0]))
            gevent.spawn_later(seconds, self._command, "late", [], 0.0)
        else:
            if what == "cut":
                across = [w for w in self.wires if words[0] in w.zones and w.zones[0] != w.zones[1]]
                for wire in across:
                    wire.cut()
                    gevent.spawn_later(seconds, wire.heal)
            self._command(what, list(words), seconds)

    def _file(self, what: str, words: tuple[str, ...]) -> None:
        """An operator's change: whole by a rename (`err`: one that no director may adopt), or a part in place."""
        assert self.filed is not None
        data = beside(self.day, words[0]).read_bytes()
        if what == "scribble":
            self.filed.write_bytes(data[: int(len(data) * part_of(words[1]))])
            return
        fresh = self.filed.with_suffix(".new")
        fresh.write_bytes(data)
        if what == "adopt":
            told = read_set([(words[0], data)])
            self.tape.teller("operators")(
                "filed", drained=[h.name for h in told.hosts.values() if h.state != "ready"]
            )
            self.tape.flush()
        fresh.replace(self.filed)

    def _signal(self, name: str, which: signal.Signals) -> None:
        process = self.running[name]
        if process.poll() is None:
            process.send_signal(which)

    def _command(self, what: str, words: list[str], seconds: float) -> None:
        with (
            gevent.socket.create_connection(self.control, 2.0) as sock,
            sock.makefile("rw") as lines,
        ):
            lines.write(json.dumps([what, words, seconds]) + "\n")
            lines.flush()
            if lines.readline() != "ok\n":
                raise NotPlayed(
                    f"the hosts did not take {what} {' '.join(words)}; see {self.folder}/hosts.log"
                )

    def _wait_clients(self, starts: float) -> None:
        longest = max(c.deadline for c in self.terms.service.classes) / SECOND
        ends = starts + self.day.length + longest + 10
        while self.running["clients"].poll() is None:
            if time.monotonic() > ends:
                raise NotPlayed("the clients did not end")
            gevent.sleep(0.1)
        if self.running["clients"].returncode:
            raise NotPlayed(f"the clients failed; see {self.folder}/clients.log")
        for name, process in self.running.items():
            if name != "clients" and process.poll() is not None:
                raise NotPlayed(
                    f"{name} ended on its own with {process.returncode}; see {self.folder}/{name}.log"
                )

    def _end(self) -> None:
        if self.works:
            self.works.stop()
        self.between.faults.mend()
        # Directors first: the polls that they let go tell the tape that their proxies were joined until now.
        for names in (set(dict(self.day.directors)), set(self.running)):
            for name in sorted(names & set(self.running)):
                if self.running[name].poll() is None:
                    self.running[name].send_signal(signal.SIGCONT)
                    self.running[name].terminate()
            gevent.sleep(0.5)
        for process in self.running.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.between.stop()


def judge(day: Day, terms: Terms, folder: Path, meta: dict[str, Any]) -> Verdict:
    judging = Judge(day, terms, meta)
    tapes = sorted(folder.glob("*.tape"))
    judging.read(read(*tapes))
    verdict = judging.verdict()
    if terms.fleet.keepers:
        rows = list(read(*tapes))
        verdict.rules |= FleetJudge(fleet_of(day, terms)).read(rows).verdict(rows[-1]["t"])
    return verdict


def judge_folder(folder: Path) -> Verdict:
    meta = json.loads((folder / "meta.json").read_text())
    day = load(meta["day"])
    return judge(day, terms_of(day), folder, meta)


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
