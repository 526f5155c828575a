"""`ironfall VERB`: the programs and their tools. Exit codes: 0 done, 1 a rule or check failed, 2 bad input."""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import logging  # noqa: E402
import sys  # noqa: E402
from dataclasses import replace  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import click  # noqa: E402
import structlog  # noqa: E402

from ironfall.terms import Terms, Unreadable, read_terms, show  # noqa: E402

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


class Address(click.ParamType[tuple[str, int]]):
    name = "HOST:PORT"

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[str, int]:
        if isinstance(value, tuple):
            return value
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            self.fail(f"{value!r} is no address such as 127.0.0.1:7401", param, ctx)
        return host, int(port)


ADDRESS = Address()


def set_up_logs(form: str) -> None:
    # Sorted keys: two runs that decide alike log alike.
    shown: Any = structlog.processors.JSONRenderer(sort_keys=True)
    if form == "text":
        shown = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            shown,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def terms_from(path: Path) -> Terms:
    try:
        return read_terms(str(path), path.read_text())
    except (Unreadable, UnicodeDecodeError) as wrong:
        click.echo(wrong, err=True)
        sys.exit(2)


@click.group()
@click.option("--log", "form", type=click.Choice(["text", "json"]), default="text", help="Form of the logs on stderr.")
def main(form: str) -> None:
    """A control plane for a service's proxies.

    \b
    Examples:
      ironfall terms check deploy/terms/resale.sexp
      ironfall director deploy/terms/resale.sexp
      ironfall lab play deploy/days/small.day
    """
    set_up_logs(form)


@main.group()
def terms() -> None:
    """Check and show the terms of a service."""


@terms.command("check")
@click.argument("file", type=FILE)
def terms_check(file: Path) -> None:
    """Say whether FILE can be started from; each fault with its line and column. Exit 2 if it can't."""
    terms_from(file)
    click.echo(f"{file}: good")


@terms.command("show")
@click.argument("file", type=FILE)
def terms_show(file: Path) -> None:
    """Show the figures that follow from FILE."""
    rows = show(terms_from(file))
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        click.echo(f"{name:{width}}  {value}")


def _run_director(file: Path, listen: Any, registry: Any, name: str, zone: str, seed: int | None,
                  record: Path | None, decide: Any, readings: Any = None, files: str = "", store: str = "",
                  ) -> None:  # fmt: skip
    from ironfall.director.program import Program

    read = terms_from(file)
    if readings:
        read = replace(read, metrics=replace(read.metrics, collectd_listen=readings))
    if files:
        read = replace(read, files=replace(read.files, path=files, store=store))
    read = replace(read, listen=listen or read.listen, registry=registry or read.registry)
    if zone and zone not in read.zones:
        raise click.BadParameter(f"{zone!r} is none of the zones {', '.join(read.zones)}")
    log = structlog.get_logger().bind(director=name)
    tape = open(record, "w", buffering=1) if record else None
    program = Program(read, log, name, zone, seed, decide, tape)
    try:
        program.start()
    except OSError as cause:
        click.echo(f"can't listen on {read.listen[0]}:{read.listen[1]}: {cause}", err=True)
        sys.exit(1)
    sys.exit(program.wait())


def director_options(command: Any) -> Any:
    for option in (
        click.argument("file", type=FILE),
        click.option("--listen", type=ADDRESS, help="In place of the terms' (listen ...)."),
        click.option("--registry", type=ADDRESS, help="In place of the terms' registry."),
        click.option("--name", default="director", help="Told to the registry and in logs."),
        click.option("--zone", default="", help="The zone it stands in; the first if left out."),
        click.option("--seed", type=int, help="Of its chance; a fresh one if left out."),
        click.option("--record", type=click.Path(path_type=Path), help="Write every turn to this file."),
    ):
        command = option(command)
    return command


@main.command()
@director_options
def director(file: Path, **about: Any) -> None:
    """Run a director by the terms in FILE, until SIGTERM.

    \b
    Example:
      ironfall --log json director deploy/terms/resale.sexp --name d1
    """
    from ironfall.logic import Director

    _run_director(file, **about, decide=Director)


@main.group()
def metrics() -> None:
    """Measurements and readings by Graphite and collectd."""


@metrics.command("explain")
@click.argument("file", type=FILE)
@click.argument("line")
def metrics_explain(file: Path, line: str) -> None:
    """Say what a Graphite LINE would do to a director by the terms in FILE, and why. Exit 1 where it does nothing.

    \b
    Example:
      ironfall metrics explain deploy/terms/charts.sexp 'servers.node7.queue 4 1733000000'
    """
    import time

    from ironfall.metrics.graphite import parse_line
    from ironfall.metrics.mapping import Mapping
    from ironfall.metrics.point import Malformed

    read = terms_from(file).metrics
    try:
        point = parse_line(line.encode())
    except Malformed as wrong:
        click.echo(f"no line: {wrong}")
        sys.exit(1)
    found = Mapping(list(read.readings)).find(point.series)
    if found is None:
        patterns = ", ".join(pattern for pattern, _, _ in read.readings) or "none"
        click.echo(f"{point.series} fits no reading; the patterns are: {patterns}")
        sys.exit(1)
    host, gauge, scale = found
    age = time.time() - point.at if point.at else 0.0
    click.echo(f"a reading of {gauge} of the host called {host}: {point.value * scale:g}, {age:.1f}s old")
    if age > read.late / 10_000:
        click.echo(f"left out: older than (late {read.late / 10_000:g}s)")
        sys.exit(1)
    if -age > read.ahead / 10_000:
        click.echo(f"left out: from the future by more than (ahead {read.ahead / 10_000:g}s)")
        sys.exit(1)
    click.echo("taken, if the host is listed, started before it, and no newer reading has come")


@metrics.command("plot")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.argument("series", nargs=-1)
@click.option("--last", default="1h", show_default=True, help="How far back the window goes: 90s, 15min, 2h, 3d.")
@click.option("--until", type=float, help="Where it ends, in seconds since 1970; now if left out.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="A PNG; to the terminal if left out.")
def metrics_plot(folder: Path, series: tuple[str, ...], last: str, until: float | None, out: Path | None) -> None:
    """Draw SERIES of the round-robin files in FOLDER; `*` and `?` fit many. Without SERIES: say which there are.

    \b
    Example:
      ironfall metrics plot rounds 'ironfall.*.order_to_applied_ms.*' --last 15min --out applied.png
    """
    import time
    from fnmatch import fnmatchcase

    from ironfall.metrics import plot
    from ironfall.metrics.point import Malformed
    from ironfall.metrics.rounds import series_of, window

    there = series_of(folder)
    if not series:
        click.echo("\n".join(there) or f"{folder} has no series")
        return
    names = [name for name in there if any(fnmatchcase(name, pattern) for pattern in series)]
    if not names:
        click.echo(f"no series in {folder} fits {', '.join(series)}", err=True)
        sys.exit(2)
    if len(names) > 40:
        click.echo(f"{len(names)} series fit; at most 40 are drawn at once", err=True)
        sys.exit(2)
    try:
        ends = until or time.time()
        begins = ends - _seconds_back(last)
        drawn = [(name, window(there[name], begins, ends)) for name in names]
    except Malformed as wrong:
        click.echo(wrong, err=True)
        sys.exit(2)
    if out:
        plot.png(out, drawn, begins, ends)
        click.echo(f"{out}: {len(drawn)} series")
    else:
        click.echo("\n\n".join(plot.text(name, points, begins, ends) for name, points in drawn))


def _seconds_back(text: str) -> float:
    from ironfall.metrics.point import Malformed

    for unit, seconds in (("min", 60), ("s", 1), ("h", 3600), ("d", 86400)):
        if text.endswith(unit) and text[: -len(unit)].replace(".", "", 1).isdigit():
            return float(text[: -len(unit)]) * seconds
    raise Malformed(f"{text!r} is no time such as 90s, 15min, 2h or 3d")


@main.group()
def files() -> None:
    """Servers and weights from files: check them, see what they would do, and go back."""


ANY = click.Path(path_type=Path)


def _read_servers(path: Path) -> Any:
    from ironfall.files.reader import read
    from ironfall.files.servers import ServerSet

    found = read(str(path), 1 << 30)
    if "set" not in found:
        for fault in found.get("faults", [f"{path}: {found.get('cause')}"]):
            click.echo(fault, err=True)
        sys.exit(2)
    return ServerSet.from_json(found["set"])


def _rows(path: Path | None) -> Any:
    """The registry's rows: its answer kept in a file, or none."""
    try:
        told = json.loads(path.read_text()) if path else []
        return told["hosts"] if isinstance(told, dict) else told
    except (ValueError, KeyError) as wrong:
        click.echo(f"{path}: no registry's answer: {type(wrong).__name__} {wrong}", err=True)
        sys.exit(2)


def _compared(terms_file: Path, old: Path | None, new: Path, registry: Path | None) -> Any:
    import time

    from ironfall.files.checks import Allowed, check, difference
    from ironfall.files.merge import Merge, Misshapen

    terms, now = terms_from(terms_file), time.time()
    try:
        before = Merge().registry(_rows(registry), True)
    except Misshapen as wrong:
        click.echo(f"{registry}: {wrong}", err=True)
        sys.exit(2)
    if old:
        before = before.adopt(_read_servers(old), now, True)
    after = before.adopt(_read_servers(new), now, old is None)
    allowed = Allowed(terms.files.remove, terms.files.cold)
    judged = check(before, after, now, terms.name, terms.zones, terms.classes, terms.service.cold_time,
                   allowed, old is None and not before.rows)  # fmt: skip
    return judged, difference(before, after, now, terms.service, terms.lines_each_second), terms


def _say_judged(judged: Any) -> None:
    for note in judged.notes:
        click.echo(f"note: {note}", err=True)
    for problem in judged.problems:
        click.echo(f"refused: {problem}", err=True)


REGISTRY = click.option("--registry", "listed", type=FILE, help="The registry's answer as JSON, to check against.")


@files.command("check")
@click.argument("file", type=FILE)
@click.argument("new", type=ANY)
@click.option("--standing", type=ANY, help="The set that stands, to see what the change removes.")
@REGISTRY
def files_check(file: Path, new: Path, standing: Path | None, listed: Path | None) -> None:
    """Say whether NEW, a file or a folder of fragments, would be adopted by the terms in FILE.

    Exit 1 where it would be refused, 2 where it can't be read; each fault with its place.

    \b
    Example:
      ironfall files check deploy/terms/resale.sexp servers.sexp --standing servers.sexp.old
    """
    judged, _, _ = _compared(file, standing, new, listed)
    _say_judged(judged)
    if judged.problems:
        sys.exit(1)
    click.echo(f"{new}: good")


@files.command("diff")
@click.argument("file", type=FILE)
@click.argument("old", type=ANY)
@click.argument("new", type=ANY)
@REGISTRY
def files_diff(file: Path, old: Path, new: Path, listed: Path | None) -> None:
    """Show what going from OLD to NEW would send: hosts, lines, messages, seconds of the channel."""
    judged, would, _ = _compared(file, old, new, listed)
    _say_judged(judged)
    for what, hosts in (("leaves", would.leave), ("comes", would.join)):
        for host in hosts:
            click.echo(f"{what:7} {host}")
    for host, before, after in would.weigh:
        click.echo(f"weighs  {host} {before:g} -> {after:g}")
    click.echo(f"about {would.lines:g} lines in {would.messages:g} messages, {would.seconds:.2f}s of the channel")
    sys.exit(1 if judged.problems else 0)


@files.command("plan")
@click.argument("file", type=FILE)
@click.argument("old", type=ANY)
@click.argument("new", type=ANY)
@REGISTRY
def files_plan(file: Path, old: Path, new: Path, listed: Path | None) -> None:
    """Say in how many portions going from OLD to NEW would go out, and how long they take."""
    judged, would, terms = _compared(file, old, new, listed)
    _say_judged(judged)
    click.echo(f"{would.portions} portions over {would.seconds:.2f}s at {terms.lines_each_second:g} lines a second")
    if would.leave:
        click.echo(f"first: {len(would.leave)} withdrawals, which can't wait")
    if would.join or would.weigh:
        click.echo(f"then: {len(would.join)} new hosts and {len(would.weigh)} weights, as the channel has room")
    sys.exit(1 if judged.problems else 0)


def _ask_files(director: Any, number: int = 0) -> Any:
    from ironfall.api.http import HttpClient

    try:
        answer = HttpClient(director).call("GET", f"/v1/files?number={number}", 10)
    except OSError as cause:
        click.echo(f"no director answers at {director[0]}:{director[1]}: {cause}", err=True)
        sys.exit(2)
    if answer.status != 200:
        click.echo(bytes(answer.body).decode("utf-8", "replace").strip(), err=True)
        sys.exit(2)
    return json.loads(answer.body)


DIRECTOR = click.option("--director", type=ADDRESS, required=True, help="A running one.")


@files.command("status")
@DIRECTOR
def files_status(director: Any) -> None:
    """Show what a director has adopted, what it refused and why. Exit 1 where what stands in the file was refused."""
    status = _ask_files(director)["status"]
    click.echo(json.dumps(status, indent=1))
    sys.exit(1 if status["refused"] else 0)


@files.command("history")
@DIRECTOR
@click.option("--json", "plain", is_flag=True)
def files_history(director: Any, plain: bool) -> None:
    """Show each adoption: who, when, what, and what it did."""
    import time

    history = _ask_files(director)["history"]
    if plain:
        click.echo(json.dumps(history))
        return
    for one in history:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(one["at"]))
        click.echo(f"{one['number']:>4}  {when}  {one['by']}  {one['digest']}  {one['summary']}")
        if one["effect"]:
            click.echo(f"      {one['effect']}")


@files.command("revert")
@click.argument("number", type=int)
@DIRECTOR
@click.option("--to", type=ANY, help="Where to write it; the file that the director watches if left out.")
def files_revert(number: int, director: Any, to: Path | None) -> None:
    """Write adoption NUMBER back to the watched file, whole; it is then checked and adopted as any other change."""
    from ironfall.files.revert import NotWritten, write_back

    texts = _ask_files(director, number)
    path = to or Path(_ask_files(director)["status"]["path"])
    try:
        write_back(path, texts)
    except (OSError, NotWritten) as wrong:
        click.echo(wrong, err=True)
        sys.exit(1)
    click.echo(f"{path}: as it was at adoption {number}; ironfall files status tells when it is adopted")


@main.command()
def serve() -> None:
    """Run a director on the platform, as RELAY_CONFIG and its kin tell, until SIGTERM (docs/platform.md)."""
    from ironfall.platform.program import main as run

    sys.exit(run())


@main.command()
@click.argument("file", type=FILE)
@click.argument("turns", type=FILE)
def replay(file: Path, turns: Path) -> None:
    """Put recorded TURNS to the decisions again, by the terms in FILE: exit 1 where an order differs."""
    from ironfall.director.turns import replay as again
    from ironfall.logic import Director

    with open(turns) as lines:
        count, differing = again(lines, terms_from(file).service, Director)
    click.echo(f"{count} turns, {len(differing)} with other orders")
    for text in differing[:5]:
        click.echo(f"  {text[:500]}")
    sys.exit(1 if differing or not count else 0)


@main.command()
@click.argument("file", type=FILE)
@click.option("--as", "who", multiple=True, required=True, help="NAME,ZONE,RATE,HOST:PORT[,FIRST]; one proxy each.")
@click.option("--director", "directors", type=ADDRESS, multiple=True, help="Dialled in turn; the terms' if left out.")
@click.option("--registry", type=ADDRESS, help="In place of the terms' registry.")
@click.option("--tape", type=click.Path(path_type=Path), help="Write what crosses its sockets to this file.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--keep", type=click.Path(path_type=Path), help="A folder: what each holds outlives it there.")
def proxy(file: Path, who: tuple[str, ...], directors: tuple[Any, ...], registry: Any, tape: Path | None,
          seed: int, keep: Path | None) -> None:  # fmt: skip
    """Run obedient proxies by the terms in FILE, until SIGTERM.

    \b
    Example:
      ironfall proxy deploy/terms/resale.sexp --as p1,harbour,20,127.0.0.1:7701
    """
    import gevent

    from ironfall.durable.disk import Folder
    from ironfall.lab.play import until_told
    from ironfall.lab.tape import Tape
    from ironfall.proxy.program import Proxy, quiet

    read = terms_from(file)
    read = replace(read, registry=registry or read.registry)
    written = Tape(tape) if tape else None
    proxies: list[Proxy] = []

    def start(n: int, text: str) -> None:
        parts = text.split(",")
        if len(parts) not in (4, 5) or parts[1] not in read.zones:
            raise click.BadParameter(f"expected NAME,ZONE,RATE,HOST:PORT[,FIRST], not {text!r}")
        listen = ADDRESS.convert(parts[3], None, None)
        tell = written.teller(parts[0]) if written else quiet
        dialled = list(directors) or [read.listen]
        disk = Folder(keep / parts[0]) if keep else None
        one = Proxy(read, parts[0], parts[1], float(parts[2]), listen, dialled, seed * 1000 + n, tell, None, disk)
        one.start(int(parts[4]) if len(parts) == 5 else n)
        proxies.append(one)

    jobs = [gevent.spawn(start, n, text) for n, text in enumerate(who)]
    gevent.joinall(jobs, raise_error=True)

    def stop() -> None:
        for one in proxies:
            one.stop()

    until_told(written, stop)


@main.group()
def lab() -> None:
    """The laboratory: emulated hosts and clients, days with troubles, and the judge."""


@lab.command("director")
@director_options
@click.option("--as", "policy", default="ironfall", help="ironfall, a baseline, or a wrong one; see lab/others.py.")
@click.option("--readings", type=ADDRESS, help="Where to listen for collectd, in place of the terms' address.")
@click.option("--files", default="", help="Operators' servers and weights, in place of the terms' path.")
@click.option("--store", default="", help="Where what was adopted of them is kept.")
def lab_director(file: Path, policy: str, **about: Any) -> None:
    """Run a director with another's decisions: baselines, and wrong ones to try the judge on."""
    from ironfall.lab.others import DIRECTORS

    if policy not in DIRECTORS:
        raise click.BadParameter(f"expected one of {', '.join(DIRECTORS)}", param_hint="--as")
    _run_director(file, **about, decide=DIRECTORS[policy])


@lab.command("hosts")
@click.argument("day", type=FILE)
@click.option("--registry", type=ADDRESS, required=True)
@click.option("--control", type=ADDRESS, required=True)
@click.option("--tape", type=click.Path(path_type=Path), required=True)
@click.option("--seed", type=int, default=1)
@click.option("--net", default="127.0", help="The first half of the hosts' loopback addresses.")
@click.option("--readings", multiple=True, help="ZONE,HOST:PORT of a director that hosts' collectd sends to.")
def lab_hosts(day: Path, registry: Any, control: Any, tape: Path, seed: int, net: str,
              readings: tuple[str, ...]) -> None:  # fmt: skip
    """Run the emulated hosts of DAY and a stand-in for their registry, until SIGTERM."""
    import gevent

    from ironfall.lab.day import load
    from ironfall.lab.play import serve_fleet, terms_of, until_told
    from ironfall.lab.tape import Tape

    written, read = Tape(tape), load(day)
    to = [(zone, ADDRESS.convert(address, None, None)) for zone, _, address in (r.partition(",") for r in readings)]
    served = gevent.spawn(serve_fleet, read, terms_of(read), registry, control, written, seed, net, to)
    served.link_exception(lambda _: sys.exit(1))
    until_told(written)


@lab.command("clients")
@click.argument("day", type=FILE)
@click.option("--proxy", "proxies", type=ADDRESS, multiple=True, required=True, help="In the day's order.")
@click.option("--starts", type=float, required=True, help="Monotonic time, in seconds.")
@click.option("--tape", type=click.Path(path_type=Path), required=True)
@click.option("--seed", type=int, default=1)
def lab_clients(day: Path, proxies: tuple[Any, ...], starts: float, tape: Path, seed: int) -> None:
    """Ask the proxies all exchanges of DAY, at times drawn ahead, and end after the last answer."""
    from ironfall.lab.clients import Clients
    from ironfall.lab.day import load
    from ironfall.lab.play import terms_of
    from ironfall.lab.tape import Tape

    read, written = load(day), Tape(tape)
    Clients(read, terms_of(read), list(proxies), written.teller("clients"), seed).run(starts)
    written.flush()


@lab.command("play")
@click.argument("day", type=FILE)
@click.option("--as", "policy", default="ironfall", help="Whose decisions: ironfall, even, withdrawals-only, ...")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path), default=Path("runs/last"), show_default=True)
@click.option("--json", "plain", is_flag=True, help="The report as JSON.")
@click.option("--quiet", is_flag=True, help="No progress on stderr.")
@click.option("--terms", "other", type=FILE, help="In place of the terms that the day names.")
def lab_play(day: Path, policy: str, seed: int, folder: Path, plain: bool, quiet: bool, other: Path | None) -> None:
    """Play DAY over loopback sockets and judge it: exit 1 if a rule is broken, 2 if it could not be played.

    \b
    Example:
      ironfall lab play deploy/days/bad.day --as even --seed 3
    """
    from ironfall.lab.day import BadDay, by_other_terms, load
    from ironfall.lab.others import DIRECTORS
    from ironfall.lab.play import LAG_MOST, Conductor, NotPlayed
    from ironfall.lab.report import as_json, as_text

    if policy not in DIRECTORS:
        raise click.BadParameter(f"expected one of {', '.join(DIRECTORS)}", param_hint="--as")

    def say(text: str) -> None:
        if not quiet:
            click.echo(text, err=True)

    try:
        day = by_other_terms(day, other, folder / "played.day") if other else day
        played = Conductor(load(day), folder, policy, seed, say).play()
    except (BadDay, Unreadable, NotPlayed, OSError) as wrong:
        click.echo(wrong, err=True)
        sys.exit(2)
    report = as_json(played.verdict)
    (folder / "report.json").write_text(json.dumps(report, indent=1))
    click.echo(json.dumps(report) if plain else as_text(played.verdict, played.events))
    if played.verdict.lag > LAG_MOST:
        click.echo(f"not counted: the clients were {played.verdict.lag:.2f}s late, this machine was too busy", err=True)
        sys.exit(2)
    sys.exit(0 if played.verdict.kept else 1)


@lab.command("conform")
@click.argument("address", type=ADDRESS)
@click.option("--zone", required=True, help="One that proxies may join in.")
@click.option("--classes", default=1, show_default=True, help="How many classes the service has.")
def lab_conform(address: Any, zone: str, classes: int) -> None:
    """Ask a server of the long-poll protocol at ADDRESS all that docs/api.md promises; exit 1 where it does otherwise.

    \b
    Example:
      ironfall lab conform 127.0.0.1:7601 --zone hill --classes 3
    """
    from ironfall.lab.conform import Conform

    found = Conform(address, zone, classes).run()
    for name, wrong in found:
        click.echo(f"{'wrong' if wrong else 'kept ':5}  {name}{': ' + wrong if wrong else ''}")
    failed = sum(bool(wrong) for _, wrong in found)
    click.echo(f"{len(found) - failed} kept, {failed} not")
    sys.exit(1 if failed else 0)


@lab.command("model")
@click.option("--proxies", default=1, show_default=True)
@click.option("--versions", default=3, show_default=True)
@click.option("--epochs", default=2, show_default=True)
@click.option("--losses", default=1, show_default=True, help="Messages lost or overtaken, at most.")
@click.option("--repeats", default=1, show_default=True, help="Messages that come twice, at most.")
@click.option("--mutant", default="", help="With one thing wrong; `list` names them.")
@click.option("--most", default=1_000_000, show_default=True, help="States.")
def lab_model(proxies: int, versions: int, epochs: int, losses: int, repeats: int, mutant: str, most: int) -> None:
    """Visit every state of the long-poll protocol in the small; exit 1 where something that must hold does not.

    \b
    Example:
      ironfall lab model --proxies 2 --versions 2 --epochs 1
    """
    from ironfall.lab.model import MUTANTS, Bounds, Explorer, Rules

    if mutant and mutant not in MUTANTS:
        for name, (_, what) in MUTANTS.items():
            click.echo(f"{name}: caught by {what}")
        sys.exit(0 if mutant == "list" else 2)
    rules = MUTANTS[mutant][0]() if mutant else Rules()
    explorer = Explorer(Bounds(proxies, versions, epochs, 1, repeats, losses), rules)
    count, wrong, way = explorer.explore(most, lambda n: click.echo(f"{n} states", err=True))
    click.echo(f"{count} states: {wrong or 'everything holds in each'}")
    for step in way:
        click.echo(f"  {step}")
    sys.exit(1 if wrong else 0)


@lab.command("judge")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def lab_judge(folder: Path) -> None:
    """Judge the tapes of a day played earlier once more."""
    from ironfall.lab.play import judge_folder
    from ironfall.lab.report import as_text

    verdict = judge_folder(folder)
    click.echo(as_text(verdict, []))
    sys.exit(0 if verdict.kept else 1)
