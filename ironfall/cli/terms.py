"""`ironfall terms`: checks and shows the settings of a service."""

from pathlib import Path

import click

from ironfall.cli.common import FILE, main, terms_from
from ironfall.terms import show


@main.group()
def terms() -> None:
    """Check and show the settings of a service."""


@terms.command("check")
@click.argument("file", type=FILE)
def terms_check(file: Path) -> None:
    """Check whether FILE holds valid settings.

    Each fault is shown with its line and column. Exit 2 if there are any.
    """
    terms_from(file)
    click.echo(f"{file}: valid")


@terms.command("show")
@click.argument("file", type=FILE)
def terms_show(file: Path) -> None:
    """Show the settings in FILE and the values derived from them."""
    rows = show(terms_from(file))
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        click.echo(f"{name:{width}}  {value}")
