"""`ironfall metrics`: what a line would do, and drawn series."""

import sys
from pathlib import Path

import click

from ironfall.cli.common import FILE, main, terms_from


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
    click.echo(
        f"a reading of {gauge} of the host called {host}: {point.value * scale:g}, {age:.1f}s old"
    )
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
@click.option(
    "--last",
    default="1h",
    show_default=True,
    help="How far back the window goes: 90s, 15min, 2h, 3d.",
)
@click.option("--until", type=float, help="Where it ends, in seconds since 1970; now if left out.")
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="A PNG; to the terminal if left out.",
)
def metrics_plot(
    folder: Path, series: tuple[str, ...], last: str, until: float | None, out: Path | None
) -> None:
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
