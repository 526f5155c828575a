"""`ironfall lab`: days played and judged, their parts one by one, and the checks of the protocol."""

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
    """The laboratory: emulated hosts and clients, days with troubles, and the judge."""


@lab.command("director")
@director_options
@click.option(
    "--as",
    "policy",
    default="ironfall",
    help="ironfall, a baseline, or a wrong one; see lab/baseline_engines.py.",
)
@click.option(
    "--readings", type=ADDRESS, help="Where to listen for collectd, in place of the terms' address."
)
@click.option(
    "--files", default="", help="Operators' servers and weights, in place of the terms' path."
)
@click.option("--store", default="", help="Where what was adopted of them is kept.")
def lab_director(file: Path, policy: str, **about: Any) -> None:
    """Run a director with another's decisions: baselines, and wrong ones to try the judge on."""
    from ironfall.lab.baseline_engines import ENGINES

    if policy not in ENGINES:
        raise click.BadParameter(f"expected one of {', '.join(ENGINES)}", param_hint="--as")
    run_director(file, **about, decide=ENGINES[policy])


@lab.command("hosts")
@click.argument("day", type=FILE)
@click.option("--registry", type=ADDRESS, required=True)
@click.option("--control", type=ADDRESS, required=True)
@click.option("--tape", type=click.Path(path_type=Path), required=True)
@click.option("--seed", type=int, default=1)
@click.option("--net", default="127.0", help="The first half of the hosts' loopback addresses.")
@click.option(
    "--readings", multiple=True, help="ZONE,HOST:PORT of a director that hosts' collectd sends to."
)
@click.option(
    "--kept",
    type=click.Path(path_type=Path),
    help="A folder: agents and registry stand beside keepers.",
)
@click.option("--terms", "other", type=FILE, help="In place of the terms that the day names.")
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
    """Run the emulated hosts of DAY and a stand-in for their registry, until SIGTERM."""
    import gevent

    from ironfall.lab.day import load
    from ironfall.lab.play import serve_fleet, terms_of, until_told
    from ironfall.lab.tape import Tape

    written, read = Tape(tape), load(day)
    to = [
        (zone, ADDRESS.convert(address, None, None))
        for zone, _, address in (r.partition(",") for r in readings)
    ]
    terms = terms_from(other) if other else terms_of(read)
    served = gevent.spawn(serve_fleet, read, terms, registry, control, written, seed, net, to, kept)
    served.link_exception(lambda _: sys.exit(1))
    until_told(written)


@lab.command("clients")
@click.argument("day", type=FILE)
@click.option(
    "--proxy", "proxies", type=ADDRESS, multiple=True, required=True, help="In the day's order."
)
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
@click.option(
    "--as",
    "policy",
    default="ironfall",
    help="Whose decisions: ironfall, even, withdrawals-only, ...",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--folder", type=click.Path(path_type=Path), default=Path("runs/last"), show_default=True
)
@click.option("--json", "plain", is_flag=True, help="The report as JSON.")
@click.option("--quiet", is_flag=True, help="No progress on stderr.")
@click.option("--terms", "other", type=FILE, help="In place of the terms that the day names.")
def lab_play(
    day: Path, policy: str, seed: int, folder: Path, plain: bool, quiet: bool, other: Path | None
) -> None:
    """Play DAY over loopback sockets and judge it: exit 1 if a rule is broken, 2 if it could not be played.

    \b
    Example:
      ironfall lab play deploy/days/bad.day --as even --seed 3
    """
    from ironfall.lab.baseline_engines import ENGINES
    from ironfall.lab.day import BadDay, by_other_terms, load
    from ironfall.lab.play import LAG_MOST, Conductor, NotPlayed
    from ironfall.lab.report import as_json, as_text

    if policy not in ENGINES:
        raise click.BadParameter(f"expected one of {', '.join(ENGINES)}", param_hint="--as")

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
        click.echo(
            f"not counted: the clients were {played.verdict.lag:.2f}s late, this machine was too busy",
            err=True,
        )
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
def lab_model(
    proxies: int, versions: int, epochs: int, losses: int, repeats: int, mutant: str, most: int
) -> None:
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
