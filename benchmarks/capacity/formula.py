"""Formulas that know their own text and the measurements they rest on, so that page and arithmetic can't differ."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from benchmarks.capacity.places import Place


@dataclass(frozen=True)
class Use:
    """A measurement that a formula rests on, at a size; `by`: what its sizes must count, nothing where any will do."""

    name: str
    size: Formula | None = None
    by: str = ""


@dataclass(frozen=True)
class Formula:
    text: str
    of: Callable[[Place], float]
    uses: tuple[Use, ...] = ()
    counts: tuple[str, ...] = ()
    loose: int = 0  # 2 a sum, 1 a product or a quotient, and in brackets where that matters

    def _join(
        self, sign: str, other: Formula | float, act: Callable[[float, float], float], swap: bool
    ) -> Formula:
        a, b = (formula(other), self) if swap else (self, formula(other))
        tight = sign in "*/"
        left = f"({a.text})" if tight and a.loose == 2 else a.text
        right = f"({b.text})" if b.loose >= {"+": 3, "-": 2, "*": 2, "/": 1}[sign] else b.text
        return Formula(
            f"{left} {sign} {right}",
            lambda p: act(a.of(p), b.of(p)),
            a.uses + b.uses,
            a.counts + b.counts,
            1 if tight else 2,
        )

    def __add__(self, other: Formula | float) -> Formula:
        return self._join("+", other, lambda a, b: a + b, False)

    def __radd__(self, other: float) -> Formula:
        return self._join("+", other, lambda a, b: a + b, True)

    def __sub__(self, other: Formula | float) -> Formula:
        return self._join("-", other, lambda a, b: a - b, False)

    def __mul__(self, other: Formula | float) -> Formula:
        return self._join("*", other, lambda a, b: a * b, False)

    def __rmul__(self, other: float) -> Formula:
        return self._join("*", other, lambda a, b: a * b, True)

    def __truediv__(self, other: Formula | float) -> Formula:
        return self._join("/", other, lambda a, b: a / b, False)

    def __rtruediv__(self, other: float) -> Formula:
        return self._join("/", other, lambda a, b: a / b, True)

    def missing(self, place: Place) -> list[str]:
        """What it rests on and nobody has measured."""
        figures = place.capacity
        return sorted(
            {u.name for u in self.uses if u.name not in figures.slopes}
            | {f"count.{c}" for c in self.counts if c not in figures.counts}
        )

    def beyond(self, place: Place) -> list[str]:
        """What is read at a size above the largest that was measured."""
        slopes = place.capacity.slopes
        return sorted(
            {
                u.name
                for u in self.uses
                if u.size is not None
                and u.name in slopes
                and u.size.of(place) > slopes[u.name].sizes[-1]
            }
        )


def formula(value: Formula | float) -> Formula:
    return value if isinstance(value, Formula) else Formula(f"{value:g}", lambda p: value)


def least(a: Formula, b: Formula) -> Formula:
    return Formula(
        f"min({a.text}, {b.text})",
        lambda p: min(a.of(p), b.of(p)),
        a.uses + b.uses,
        a.counts + b.counts,
    )


def asked(name: str) -> Formula:
    return Formula(name, lambda p: p.capacity.asked[name])


def assumed(name: str) -> Formula:
    return Formula(name, lambda p: p.capacity.assumed[name].value)


def known(text: str, value: float) -> Formula:
    """A bound of the code, by the name it has there."""
    return Formula(text, lambda p: value)


def line(name: str, size: Formula, by: str) -> Formula:
    """A measurement at a size."""
    return Formula(
        f"{name}[{size.text}]",
        lambda p: p.capacity.slopes[name].at(size.of(p)),
        (Use(name, size, by),),
    )


def each(name: str, by: str) -> Formula:
    """What one more costs: a measurement's slope, without its fixed cost."""
    return Formula(
        f"slope({name})", lambda p: p.capacity.slopes[name].slope, (Use(name, None, by),)
    )


def first(name: str, by: str) -> Formula:
    """What one more costs between the two smallest sizes: where whoever serves them is not behind yet."""

    def of(place: Place) -> float:
        slope = place.capacity.slopes[name]
        return (slope.values[1] - slope.values[0]) / (slope.sizes[1] - slope.sizes[0])

    return Formula(f"first({name})", of, (Use(name, None, by),))


def most(name: str, by: str = "") -> Formula:
    """The largest value that was measured, at whatever size."""
    return Formula(
        f"max({name})", lambda p: max(p.capacity.slopes[name].values), (Use(name, None, by),)
    )


def count(name: str) -> Formula:
    return Formula(name, lambda p: p.capacity.counts[name].value, (), (name,))
