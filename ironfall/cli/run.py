"""Commands that run until SIGTERM: director, serve and proxy; and replay of a recording."""

import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
import structlog

from ironfall.cli.common import ADDRESS, FILE, main, terms_from


def run_director(
    file: Path,
    listen: Any,
    registry: Any,
    name: str,
    zone: str,
    seed: int | None,
    record: Path | None,
    make_engine: Any,
    readings: Any = None,
    files: str = "",
    store: str = "",
) -> None:
    """Runs a director until SIGTERM and exits with its code.

    Args:
        file: The settings.
        listen: Address in place of that of the settings; None for theirs.
        registry: Likewise.
        name: Of the director.
        zone: Of the director; empty for the first zone of the settings.
        seed: Of its random choices; None for a random one.
        record: File to which the inputs and orders of each batch are written; None for none.
        make_engine: Class of the decision engine.
        readings: Address for collectd in place of that of the settings; None for theirs.
        files: Path of the operators' servers in place of that of the settings; empty for theirs.
        store: With `files`, the folder in which adopted sets are kept; empty for none.
    """
    from ironfall.director.program import Program

    settings = terms_from(file)
    if readings:
        settings = replace(settings, metrics=replace(settings.metrics, collectd_listen=readings))
    if files:
        settings = replace(settings, files=replace(settings.files, path=files, store=store))
    settings = replace(
        settings, listen=listen or settings.listen, registry=registry or settings.registry
    )
    if zone and zone not in settings.zones:
        raise click.BadParameter(
            f"no zone {zone!r} in these settings; expected one of: {', '.join(settings.zones)}"
        )
    log = structlog.get_logger().bind(director=name)
    recording = open(record, "w", buffering=1) if record else None
    program = Program(settings, log, name, zone, seed, make_engine, recording)
    try:
        program.start()
    except OSError as cause:
        click.echo(f"can't listen on {settings.listen[0]}:{settings.listen[1]}: {cause}", err=True)
        sys.exit(1)
    sys.exit(program.wait())


def director_options(command: Any) -> Any:
    """Adds the argument and the options that all commands running a director have."""
    for option in (
        click.argument("file", type=FILE),
        click.option(
            "--listen", type=ADDRESS, help="Address in place of (listen ...) of the settings."
        ),
        click.option("--registry", type=ADDRESS, help="Address in place of that of the settings."),
        click.option("--name", default="director", help="Reported to the registry and logged."),
        click.option(
            "--zone", default="", help="Its zone; the first one of the settings if left out."
        ),
        click.option("--seed", type=int, help="Seed of its random choices; drawn if left out."),
        click.option(
            "--record",
            type=click.Path(path_type=Path),
            help="File to write every batch of decisions to, for `replay`.",
        ),
    ):
        command = option(command)
    return command


@main.command()
@director_options
def director(file: Path, **options: Any) -> None:
    """Run a director with the settings in FILE, until SIGTERM.

    \b
    Example:
      ironfall --log json director deploy/terms/resale.sexp --name d1
    """
    from ironfall.decisions.engine import DecisionEngine

    run_director(file, **options, make_engine=DecisionEngine)


@main.command()
def serve() -> None:
    """Run a director on the platform, until SIGTERM.

    RELAY_CONFIG and the other environment variables of docs/platform.md configure it.
    """
    from ironfall.platform.program import main as run

    sys.exit(run())


@main.command()
@click.argument("file", type=FILE)
@click.argument("turns", type=FILE)
def replay(file: Path, turns: Path) -> None:
    """Decide again on the batches recorded in TURNS, with the settings in FILE.

    Exit 1 if an order differs from the recorded one, or if TURNS has no batches.
    """
    from ironfall.decisions.engine import DecisionEngine
    from ironfall.director.recorded_batches import replay as replay_lines

    with open(turns) as lines:
        count, differing = replay_lines(lines, terms_from(file).service, DecisionEngine)
    click.echo(f"{count} batches, {len(differing)} with other orders")
    for text in differing[:5]:
        click.echo(f"  {text[:500]}")
    sys.exit(1 if differing or not count else 0)


@main.command()
@click.argument("file", type=FILE)
@click.option(
    "--as",
    "who",
    multiple=True,
    required=True,
    help="Proxies to run, one each: NAME,ZONE,RATE,HOST:PORT[,FIRST].",
)
@click.option(
    "--director",
    "directors",
    type=ADDRESS,
    multiple=True,
    help="Directors to try in turn; that of the settings if left out.",
)
@click.option("--registry", type=ADDRESS, help="Address in place of that of the settings.")
@click.option(
    "--tape", type=click.Path(path_type=Path), help="File to write the traffic on its sockets to."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Folder in which each proxy keeps its table over restarts.",
)
def proxy(
    file: Path,
    who: tuple[str, ...],
    directors: tuple[Any, ...],
    registry: Any,
    tape: Path | None,
    seed: int,
    keep: Path | None,
) -> None:
    """Run reference proxies with the settings in FILE, until SIGTERM.

    \b
    Example:
      ironfall proxy deploy/terms/resale.sexp --as p1,harbour,20,127.0.0.1:7701
    """
    import gevent

    from ironfall.lab.play import until_told
    from ironfall.lab.tape import Tape
    from ironfall.proxy.environment import ignore_event
    from ironfall.proxy.server import Proxy, ProxyConfig
    from ironfall.storage.disk import Folder

    settings = terms_from(file)
    settings = replace(settings, registry=registry or settings.registry)
    tape_file = Tape(tape) if tape else None
    proxies: list[Proxy] = []

    def start(number: int, text: str) -> None:
        parts = text.split(",")
        if len(parts) not in (4, 5) or parts[1] not in settings.zones:
            raise click.BadParameter(f"expected NAME,ZONE,RATE,HOST:PORT[,FIRST], not {text!r}")
        listen = ADDRESS.convert(parts[3], None, None)
        log_event = tape_file.teller(parts[0]) if tape_file else ignore_event
        director_addresses = list(directors) or [settings.listen]
        disk = Folder(keep / parts[0]) if keep else None
        config = ProxyConfig(
            settings=settings,
            name=parts[0],
            zone=parts[1],
            rate=float(parts[2]),
            listen=listen,
            directors=director_addresses,
            seed=seed * 1000 + number,
        )
        started = Proxy(config, log_event, disk=disk)
        started.start(int(parts[4]) if len(parts) == 5 else number)
        proxies.append(started)

    jobs = [gevent.spawn(start, number, text) for number, text in enumerate(who)]
    gevent.joinall(jobs, raise_error=True)

    def stop() -> None:
        for running in proxies:
            running.stop()

    until_told(tape_file, stop)
