"""`ironfall lab`: runs and judges emulated days, their parts, and checks of the protocol."""

import json
import sys
from pathlib import Path
from typing import Any

import click

from ironfall.cli.common import ADDRESS, FILE, main, terms_from
from ironfall.cli.run import director_options, run_director
from ironfall.terms import Unreadable


@main.group()
def lab() -> None:
    """Emulate hosts and clients, play days with faults, and judge the result."""


@lab.command("director")
@director_options
@click.option(
    "--as",
    "policy",
    default="ironfall",
    help="Decision engine: ironfall, a baseline or a faulty one; see lab/baseline_engines.py.",
)
@click.option(
    "--readings", type=ADDRESS, help="Address for collectd in place of that of the settings."
)
@click.option(
    "--files", default="", help="Path of the operators' servers, in place of that of the settings."
)
@click.option("--store", default="", help="With --files, the folder to keep adopted sets in.")
def lab_director(file: Path, policy: str, **options: Any) -> None:
    """Run a director with another decision engine, a baseline or one that the judge must reject."""
    from ironfall.lab.baseline_engines import ENGINES

    if policy not in ENGINES:
        raise click.BadParameter(f"expected one of: {', '.join(ENGINES)}", param_hint="--as")
    run_director(file, **options, make_engine=ENGINES[policy])


@lab.command("hosts")
@click.argument("day", type=FILE)
@click.option("--registry", type=ADDRESS, required=True)
@click.option("--control", type=ADDRESS, required=True)
@click.option("--tape", type=click.Path(path_type=Path), required=True)
@click.option("--seed", type=int, default=1)
@click.option("--net", default="127.0", help="First two numbers of the hosts' loopback addresses.")
@click.option(
    "--readings",
    multiple=True,
    help="ZONE,HOST:PORT of a director to which the hosts' collectd sends.",
)
@click.option(
    "--kept",
    type=click.Path(path_type=Path),
    help="Folder for the state of agents and registry when they run with keepers.",
)
@click.option("--terms", "other", type=FILE, help="Settings in place of those that the day names.")
def lab_hosts(
    day: Path,
    registry: Any,
    control: Any,
    tape: Path,
    seed: int,
    net: str,
    readings: tuple[str, ...],
    kept: Path | None,
    other: Path | None,
) -> None:
    """Run the emulated hosts of DAY and an emulated registry, until SIGTERM."""
    import gevent

    from ironfall.lab.day import load
    from ironfall.lab.play import serve_fleet, terms_of, until_told
    from ironfall.lab.tape import Tape

    tape_file, loaded = Tape(tape), load(day)
    collectd_targets = [
        (zone, ADDRESS.convert(address, None, None))
        for zone, _, address in (target.partition(",") for target in readings)
    ]
    terms = terms_from(other) if other else terms_of(loaded)
    serving = gevent.spawn(
        serve_fleet,
        loaded,
        terms,
        registry,
        control,
        tape_file,
        seed,
        net,
        collectd_targets,
        kept,
    )
    serving.link_exception(lambda _: sys.exit(1))
    until_told(tape_file)


@lab.command("clients")
@click.argument("day", type=FILE)
@click.option(
    "--proxy",
    "proxies",
    type=ADDRESS,
    multiple=True,
    required=True,
    help="Proxies, in the day's order.",
)
@click.option(
    "--starts", type=float, required=True, help="Start of the day: monotonic time, in seconds."
)
@click.option("--tape", type=click.Path(path_type=Path), required=True)
@click.option("--seed", type=int, default=1)
def lab_clients(day: Path, proxies: tuple[Any, ...], starts: float, tape: Path, seed: int) -> None:
    """Send all requests of DAY to the proxies, at times drawn in advance.

    Ends after the last answer.
    """
    from ironfall.lab.clients import Clients
    from ironfall.lab.day import load
    from ironfall.lab.play import terms_of
    from ironfall.lab.tape import Tape

    loaded, tape_file = load(day), Tape(tape)
    Clients(loaded, terms_of(loaded), list(proxies), tape_file.teller("clients"), seed).run(starts)
    tape_file.flush()


@lab.command("play")
@click.argument("day", type=FILE)
@click.option(
    "--as",
    "policy",
    default="ironfall",
    help="Decision engine: ironfall, even, withdrawals-only, ...",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--folder", type=click.Path(path_type=Path), default=Path("runs/last"), show_default=True
)
@click.option("--json", "print_json", is_flag=True, help="Print the report as JSON.")
@click.option("--quiet", is_flag=True, help="Print no progress on stderr.")
@click.option("--terms", "other", type=FILE, help="Settings in place of those that the day names.")
def lab_play(
    day: Path,
    policy: str,
    seed: int,
    folder: Path,
    print_json: bool,
    quiet: bool,
    other: Path | None,
) -> None:
    """Play DAY over loopback sockets and judge it.

    Exit 1 if a rule is broken, 2 if the day could not be played.

    \b
    Example:
      ironfall lab play deploy/days/bad.day --as even --seed 3
    """
    from ironfall.lab.baseline_engines import ENGINES
    from ironfall.lab.day import BadDay, by_other_terms, load
    from ironfall.lab.play import LAG_MOST, Conductor, NotPlayed
    from ironfall.lab.report import as_json, as_text

    if policy not in ENGINES:
        raise click.BadParameter(f"expected one of: {', '.join(ENGINES)}", param_hint="--as")

    def print_progress(text: str) -> None:
        if not quiet:
            click.echo(text, err=True)

    try:
        day = by_other_terms(day, other, folder / "played.day") if other else day
        played = Conductor(load(day), folder, policy, seed, print_progress).play()
    except (BadDay, Unreadable, NotPlayed, OSError) as error:
        click.echo(error, err=True)
        sys.exit(2)
    report = as_json(played.verdict)
    (folder / "report.json").write_text(json.dumps(report, indent=1))
    click.echo(json.dumps(report) if print_json else as_text(played.verdict, played.events))
    if played.verdict.lag > LAG_MOST:
        click.echo(
            f"not counted: the clients were {played.verdict.lag:.2f}s late, over the limit of "
            f"{LAG_MOST:g}s; this machine was too busy",
            err=True,
        )
        sys.exit(2)
    sys.exit(0 if played.verdict.kept else 1)


@lab.command("conform")
@click.argument("address", type=ADDRESS)
@click.option("--zone", required=True, help="A zone that proxies may join.")
@click.option("--classes", default=1, show_default=True, help="Number of classes of the service.")
def lab_conform(address: Any, zone: str, classes: int) -> None:
    """Test a server of the long-poll protocol at ADDRESS against docs/api.md.

    Exit 1 if a check fails.

    \b
    Example:
      ironfall lab conform 127.0.0.1:7601 --zone hill --classes 3
    """
    from ironfall.lab.conform import Conform

    results = Conform(address, zone, classes).run()
    for name, fault in results:
        click.echo(f"{'failed' if fault else 'passed':6}  {name}{': ' + fault if fault else ''}")
    failed = sum(bool(fault) for _, fault in results)
    click.echo(f"{len(results) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


@lab.command("model")
@click.option("--proxies", default=1, show_default=True)
@click.option("--versions", default=3, show_default=True)
@click.option("--epochs", default=2, show_default=True)
@click.option(
    "--losses", default=1, show_default=True, help="Most messages that are lost or overtaken."
)
@click.option("--repeats", default=1, show_default=True, help="Most messages that arrive twice.")
@click.option("--mutant", default="", help="Rules with one fault; `list` prints their names.")
@click.option("--most", default=1_000_000, show_default=True, help="Most states to visit.")
def lab_model(
    proxies: int, versions: int, epochs: int, losses: int, repeats: int, mutant: str, most: int
) -> None:
    """Visit every state of a small model of the long-poll protocol.

    Exit 1 if an invariant does not hold.

    \b
    Example:
      ironfall lab model --proxies 2 --versions 2 --epochs 1
    """
    from ironfall.lab.model import MUTANTS, Bounds, Explorer, Rules

    if mutant and mutant not in MUTANTS:
        for name, (_, invariant) in MUTANTS.items():
            click.echo(f"{name}: violates {invariant}")
        sys.exit(0 if mutant == "list" else 2)
    rules = MUTANTS[mutant][0]() if mutant else Rules()
    explorer = Explorer(Bounds(proxies, versions, epochs, 1, repeats, losses), rules)
    count, violation, steps = explorer.explore(
        most, lambda states: click.echo(f"{states} states", err=True)
    )
    click.echo(f"{count} states: {violation or 'all invariants hold'}")
    for step in steps:
        click.echo(f"  {step}")
    sys.exit(1 if violation else 0)


@lab.command("judge")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def lab_judge(folder: Path) -> None:
    """Judge a played day again, from its tapes in FOLDER."""
    from ironfall.lab.play import judge_folder
    from ironfall.lab.report import as_text

    verdict = judge_folder(folder)
    click.echo(as_text(verdict, []))
    sys.exit(0 if verdict.kept else 1)
