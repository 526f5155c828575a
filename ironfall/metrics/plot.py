"""Draws series as a PNG, or as text for a terminal."""

import time
from pathlib import Path

Points = list[tuple[float, float]]
BLOCKS = " ▁▂▃▄▅▆▇█"


def text(
    name: str, points: Points, since: float, until: float, width: int = 72, height: int = 8
) -> str:
    """Returns a block chart with its scale.

    Each column shows the mean of its points; a column without points is empty.

    >>> print(text("a.b", [(0.0, 0.0), (1.0, 1.0), (3.0, 2.0)], 0.0, 4.0, 4, 2))
    a.b  least 0, mean 1, most 2, last 2
        2 ┤   █
        0 ┤ █ █
    """
    if not points:
        return f"{name}  no points in this window"
    columns: list[list[float]] = [[] for _ in range(width)]
    for at, value in points:
        columns[min(width - 1, max(0, int((at - since) / (until - since) * width)))].append(value)
    means = [sum(column) / len(column) if column else None for column in columns]
    values = [v for _, v in points]
    low, high = min(0.0, *values), max(values)
    span = (high - low) or 1.0
    rows = [
        f"{name}  least {min(values):g}, mean {sum(values) / len(values):.4g}, most {high:g}, "
        f"last {values[-1]:g}"
    ]
    for row in range(height - 1, -1, -1):
        line = ""
        for mean in means:
            filled = 0 if mean is None else (mean - low) / span * height - row
            line += BLOCKS[0 if mean is None else max(0, min(8, round(filled * 8)))]
        label = high if row == height - 1 else low if row == 0 else None
        rows.append(f"{'' if label is None else f'{label:.4g}':>5} ┤{line}".rstrip())
    return "\n".join(rows)


def png(out: Path, series: list[tuple[str, Points]], since: float, until: float) -> None:
    """Writes a PNG with one panel for each series and a common time axis."""
    import matplotlib

    matplotlib.use("Agg")
    from datetime import datetime

    from matplotlib import pyplot as plt

    figure, panels = plt.subplots(
        len(series), 1, sharex=True, squeeze=False, figsize=(11, 1.2 + 2.1 * len(series))
    )
    for axes, (name, points) in zip(panels[:, 0], series, strict=True):
        axes.plot(
            [datetime.fromtimestamp(at) for at, _ in points], [v for _, v in points], linewidth=1.2
        )
        axes.set_title(name, loc="left", fontsize=9)
        axes.set_xlim(datetime.fromtimestamp(since), datetime.fromtimestamp(until))
        axes.grid(alpha=0.3)
        if not points:
            axes.text(0.5, 0.5, "no points in this window", ha="center", transform=axes.transAxes)
    panels[-1, 0].set_xlabel(time.strftime("local time, %Y-%m-%d", time.localtime(since)))
    figure.autofmt_xdate()
    figure.tight_layout()
    figure.savefig(out, dpi=110)
    plt.close(figure)
