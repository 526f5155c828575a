"""The programs that run until SIGTERM, and the replay of what one recorded."""

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
    decide: Any,
    readings: Any = None,
    files: str = "",
    store: str = "",
) -> None:
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
        click.option(
            "--record", type=click.Path(path_type=Path), help="Write every turn to this file."
        ),
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
    from ironfall.decisions.engine import DecisionEngine

    run_director(file, **about, decide=DecisionEngine)


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
    from ironfall.decisions.engine import DecisionEngine
    from ironfall.director.recorded_batches import replay as again

    with open(turns) as lines:
        count, differing = again(lines, terms_from(file).service, DecisionEngine)
    click.echo(f"{count} turns, {len(differing)} with other orders")
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
    help="NAME,ZONE,RATE,HOST:PORT[,FIRST]; one proxy each.",
)
@click.option(
    "--director",
    "directors",
    type=ADDRESS,
    multiple=True,
    help="Dialled in turn; the terms' if left out.",
)
@click.option("--registry", type=ADDRESS, help="In place of the terms' registry.")
@click.option(
    "--tape", type=click.Path(path_type=Path), help="Write what crosses its sockets to this file."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--keep", type=click.Path(path_type=Path), help="A folder: what each holds outlives it there."
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
    """Run obedient proxies by the terms in FILE, until SIGTERM.

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

    read = terms_from(file)
    read = replace(read, registry=registry or read.registry)
    written = Tape(tape) if tape else None
    proxies: list[Proxy] = []

    def start(n: int, text: str) -> None:
        parts = text.split(",")
        if len(parts) not in (4, 5) or parts[1] not in read.zones:
            raise click.BadParameter(f"expected NAME,ZONE,RATE,HOST:PORT[,FIRST], not {text!r}")
        listen = ADDRESS.convert(parts[3], None, None)
        log_event = written.teller(parts[0]) if written else ignore_event
        dialled = list(directors) or [read.listen]
        disk = Folder(keep / parts[0]) if keep else None
        config = ProxyConfig(
            settings=read,
            name=parts[0],
            zone=parts[1],
            rate=float(parts[2]),
            listen=listen,
            directors=dialled,
            seed=seed * 1000 + n,
        )
        one = Proxy(config, log_event, disk=disk)
        one.start(int(parts[4]) if len(parts) == 5 else n)
        proxies.append(one)

    jobs = [gevent.spawn(start, n, text) for n, text in enumerate(who)]
    gevent.joinall(jobs, raise_error=True)

    def stop() -> None:
        for one in proxies:
            one.stop()

    until_told(written, stop)
