"""The root command `main`, and argument types and helpers shared by the commands."""

import logging
import sys
from pathlib import Path
from typing import Any

import click
import structlog

from ironfall.terms import Terms, Unreadable, read_terms

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


class Address(click.ParamType[tuple[str, int]]):
    """A host and a port, separated by a colon."""

    name = "HOST:PORT"

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[str, int]:
        """Returns the host and the port; fails with a usage error if the text is not an address."""
        if isinstance(value, tuple):
            return value
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            self.fail(
                f"{value!r} is not an address; expected HOST:PORT, such as 127.0.0.1:7401",
                param,
                ctx,
            )
        return host, int(port)


ADDRESS = Address()


def set_up_logs(form: str) -> None:
    """Makes structlog write to stderr, as `json` or `text`.

    Keys are sorted, so that runs with the same decisions write the same lines.
    """
    renderer: Any = structlog.processors.JSONRenderer(sort_keys=True)
    if form == "text":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def terms_from(path: Path) -> Terms:
    """Reads a settings file; prints its faults and exits with 2 if it is not valid."""
    try:
        return read_terms(str(path), path.read_text())
    except (Unreadable, UnicodeDecodeError) as error:
        click.echo(error, err=True)
        sys.exit(2)


@click.group()
@click.option(
    "--log",
    "form",
    type=click.Choice(["text", "json"]),
    default="text",
    help="Format of the logs on stderr.",
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
