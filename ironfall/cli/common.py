"""`main`, and what the verbs of several families read alike."""

import logging
import sys
from pathlib import Path
from typing import Any

import click
import structlog

from ironfall.terms import Terms, Unreadable, read_terms

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
@click.option(
    "--log",
    "form",
    type=click.Choice(["text", "json"]),
    default="text",
    help="Form of the logs on stderr.",
)
def main(form: str) -> None:
    """A control plane for a service's proxies.

    \b
    Examples:
      ironfall terms check deploy/terms/resale.sexp
      ironfall director deploy/terms/resale.sexp
      ironfall lab play deploy/days/small.day
    """
    set_up_logs(form)
