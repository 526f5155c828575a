"""`ironfall metrics`: explains Graphite lines and plots recorded series."""

import sys
from pathlib import Path

import click

from ironfall.cli.common import FILE, main, terms_from


@main.group()
def metrics() -> None:
    """Explain readings received by Graphite and collectd, and plot recorded metrics."""


@metrics.command("explain")
@click.argument("file", type=FILE)
@click.argument("line")
def metrics_explain(file: Path, line: str) -> None:
    """Explain what a director with the settings in FILE would do with a Graphite LINE.

    Exit 1 if it would ignore the line.

    \b
    Example:
      ironfall metrics explain deploy/terms/charts.sexp 'servers.node7.queue 4 1733000000'
    """
    import time

    from ironfall.metrics.graphite import parse_line
    from ironfall.metrics.mapping import Mapping
    from ironfall.metrics.point import Malformed

    settings = terms_from(file).metrics
    try:
        point = parse_line(line.encode())
    except Malformed as error:
        click.echo(f"invalid line: {error}")
        sys.exit(1)
    match = Mapping(list(settings.readings)).find(point.series)
    if match is None:
        patterns = ", ".join(pattern for pattern, _, _ in settings.readings) or "none"
        click.echo(f"{point.series} matches no reading; the patterns are: {patterns}")
        sys.exit(1)
    host, gauge, scale = match
    age = time.time() - point.at if point.at else 0.0
    click.echo(f"reading {gauge} of host {host}: {point.value * scale:g}, {age:.1f}s old")
    if age > settings.late / 10_000:
        click.echo(f"ignored: older than (late {settings.late / 10_000:g}s)")
        sys.exit(1)
    if -age > settings.ahead / 10_000:
        click.echo(f"ignored: from the future by more than (ahead {settings.ahead / 10_000:g}s)")
        sys.exit(1)
    click.echo(
        "used if the host is listed and started before the reading, and no newer one has arrived"
    )


@metrics.command("plot")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.argument("series", nargs=-1)
@click.option(
    "--last",
    default="1h",
    show_default=True,
    help="Length of the window: 90s, 15min, 2h or 3d.",
)
@click.option(
    "--until", type=float, help="End of the window, in seconds since 1970; now if left out."
)
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="PNG file to write; if left out, the plot goes to the terminal.",
)
def metrics_plot(
    folder: Path, series: tuple[str, ...], last: str, until: float | None, out: Path | None
) -> None:
    """Plot SERIES of the round-robin files in FOLDER; names may have the wildcards `*` and `?`.

    Without SERIES, list the names of all series.

    \b
    Example:
      ironfall metrics plot rounds 'ironfall.*.order_to_applied_ms.*' --last 15min --out applied.png
    """
    import time
    from fnmatch import fnmatchcase

    from ironfall.metrics import plot
    from ironfall.metrics.point import Malformed
    from ironfall.metrics.rounds import series_of, window

    available = series_of(folder)
    if not series:
        click.echo("\n".join(available) or f"{folder} has no series")
        return
    names = [name for name in available if any(fnmatchcase(name, pattern) for pattern in series)]
    if not names:
        click.echo(f"no series in {folder} matches {', '.join(series)}", err=True)
        sys.exit(2)
    if len(names) > 40:
        click.echo(f"{len(names)} series match; at most 40 can be plotted at once", err=True)
        sys.exit(2)
    try:
        end = until or time.time()
        begin = end - _duration_s(last)
        plotted = [(name, window(available[name], begin, end)) for name in names]
    except Malformed as error:
        click.echo(error, err=True)
        sys.exit(2)
    if out:
        plot.png(out, plotted, begin, end)
        click.echo(f"{out}: {len(plotted)} series")
    else:
        click.echo("\n\n".join(plot.text(name, points, begin, end) for name, points in plotted))


def _duration_s(text: str) -> float:
    from ironfall.metrics.point import Malformed

    for unit, seconds in (("min", 60), ("s", 1), ("h", 3600), ("d", 86400)):
        if text.endswith(unit) and text[: -len(unit)].replace(".", "", 1).isdigit():
            return float(text[: -len(unit)]) * seconds
    raise Malformed(f"{text!r} is not a duration such as 90s, 15min, 2h or 3d")
