"""A point of a series, and the error for input that can't be decoded."""

from dataclasses import dataclass


class Malformed(Exception):
    """Input could not be decoded; the text says what is wrong, and where in the input."""


@dataclass(frozen=True, slots=True)
class Point:
    """One value of a series at one time.

    Attributes:
        series: The name of the series, a dotted path.
        value: The value.
        at: The time in seconds since 1970; 0 for the time of receipt by the receiver's clock.
        tags: Names and values of the tags.
    """

    series: str
    value: float
    at: float
    tags: tuple[tuple[str, str], ...] = ()
