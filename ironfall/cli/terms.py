"""`ironfall terms`: check and show."""

from pathlib import Path

import click

from ironfall.cli.common import FILE, main, terms_from
from ironfall.terms import show


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
