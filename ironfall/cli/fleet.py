"""`ironfall keeper`, and `ironfall fleet`: what operators see and say of what is agreed."""

import sys
from pathlib import Path

import click
import structlog

from ironfall.cli.common import FILE, main, terms_from


@main.command()
@click.argument("file", type=FILE)
@click.option("--name", required=True, help="Which keeper of the terms this is.")
@click.option("--disk", type=click.Path(file_okay=False, path_type=Path), required=True, help="A folder of its own.")
@click.option("--found", is_flag=True, help="A group may begin, where no keeper of it has anything on its disk.")
@click.option("--seed", type=int, help="Of its chance; a fresh one if left out.")
def keeper(file: Path, name: str, disk: Path, found: bool, seed: int | None) -> None:
    """Run one keeper of the terms in FILE, until SIGTERM.

    \b
    Example:
      ironfall --log json keeper deploy/terms/fleet.sexp --name k1 --disk /var/lib/ironfall/k1
    """
    from ironfall.durable.disk import Folder
    from ironfall.keeper.program import Program

    terms = terms_from(file)
    if name not in dict(terms.fleet.keepers):
        known = ", ".join(dict(terms.fleet.keepers)) or "none"
        raise click.BadParameter(f"{name!r} is no keeper of these terms; they name: {known}", param_hint="--name")
    try:
        program = Program(terms, name, Folder(disk), structlog.get_logger().bind(keeper=name), found, seed)
        program.start()
    except OSError as cause:
        click.echo(f"can't start: {cause}", err=True)
        sys.exit(1)
    sys.exit(program.wait())
