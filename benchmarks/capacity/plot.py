"""Slopes against limits: the worst of what goes by a size, each in a panel, up to the size asked for."""

from dataclasses import dataclass, replace
from textwrap import wrap
from typing import Any

from benchmarks.capacity.figures import Capacity
from benchmarks.capacity.formula import Use
from benchmarks.capacity.places import OCCASIONS, Place, spread
from benchmarks.capacity.roles import ROWS, WHOLE, Row, cells

PANELS, COLUMNS = 12, 4
TINY = 1e-9
PART = 0.25  # of a need, below which a figure is not what it goes by


@dataclass(frozen=True)
class Panel:
    row: Row
    on: str
    use: Use
    factor: float


def panels(capacity: Capacity) -> list[Panel]:
    """Of each row with a limit the figure that most of its need comes from, if it is read at a size; worst first, and
    each figure once."""
    found: dict[str, Panel] = {}
    for row in ROWS:
        worst = {
            (name, n): c
            for name in row.on
            for n, c in enumerate(cells(capacity, row, name))
            if c.factor
        }
        if not worst:
            continue
        on, n = max(worst, key=lambda key: worst[key].factor or 0.0)
        cell = worst[on, n]
        parts = {
            use: 1 - _without(row, use, cell.place) / (cell.need or 1.0) for use in row.need.uses
        }
        use = max(parts, key=lambda one: parts[one], default=None)
        if use is None or use.size is None or parts[use] < PART:
            continue
        if cell.factor and cell.factor > (found[use.name].factor if use.name in found else 0.0):
            found[use.name] = Panel(row, on, use, cell.factor)
    return sorted(found.values(), key=lambda p: -p.factor)[:PANELS]


def _without(row: Row, use: Use, place: Place) -> float:
    """The need, were this figure as good as nought."""
    slope, capacity = place.capacity.slopes[use.name], place.capacity
    little = replace(
        slope, slope=TINY * slope.slope, values=tuple(TINY * value for value in slope.values)
    )
    return row.need.of(
        replace(place, capacity=replace(capacity, slopes={**capacity.slopes, use.name: little}))
    )


def draw(capacity: Capacity, out: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    shown = panels(capacity)
    rows = max(1, -(-len(shown) // COLUMNS))
    figure, axes = plt.subplots(rows, COLUMNS, figsize=(4 * COLUMNS, 3.3 * rows), squeeze=False)
    for place, panel in zip(axes.flat, shown, strict=False):
        _panel(place, capacity, panel)
    full = max(axes.flat, key=lambda place: len(place.get_legend_handles_labels()[0]))
    full.legend(fontsize=6)
    for place in list(axes.flat)[len(shown) :]:
        place.set_axis_off()
    figure.tight_layout()
    figure.savefig(out, dpi=80)


def _panel(axes: Any, capacity: Capacity, panel: Panel) -> None:
    slope, size, row = capacity.slopes[panel.use.name], panel.use.size, panel.row
    assert size is not None
    services = spread(capacity.asked) if row.services else (WHOLE,)
    places = [Place(capacity, service, OCCASIONS[panel.on]) for service in services]
    wanted = [size.of(place) for place in places]
    sizes = sorted({*slope.sizes, *wanted})
    axes.loglog(slope.sizes, slope.values, "o", label="measured")
    axes.loglog(sizes, [max(1e-9, slope.fixed + slope.slope * s) for s in sizes], "-", label="line")
    if (level := limit_of(panel, places[-1])) > 0:
        axes.axhline(level, color="tab:red", label="limit, all else as it is there")
    for at in sorted(set(wanted)):
        axes.axvline(
            at, color="gray", linestyle=":", label="sizes asked for" if at == wanted[0] else None
        )
    axes.set_title(
        "\n".join(wrap(f"{row.role}: {row.what}; factor {panel.factor:,.3g}", 44)), fontsize=8
    )
    axes.set_xlabel(slope.by, fontsize=8)
    axes.set_ylabel(f"{slope.name}, {slope.unit}", fontsize=8)
    axes.tick_params(labelsize=7, which="both")
    axes.grid(alpha=0.3)


def limit_of(panel: Panel, place: Place) -> float:
    """The figure's value at which the need is the limit, the rest of the need as it is; 0 where the rest is over it."""
    assert panel.row.limit is not None and panel.use.size is not None
    rest, need, limit = (
        _without(panel.row, panel.use, place),
        panel.row.need.of(place),
        panel.row.limit.of(place),
    )
    if limit <= rest or need <= rest:
        return 0.0
    return (
        place.capacity.slopes[panel.use.name].at(panel.use.size.of(place))
        * (limit - rest)
        / (need - rest)
    )
