"""One value of one series at one time, and what can be wrong with the bytes that should be one."""

from dataclasses import dataclass


class Malformed(Exception):
    """The bytes are not what they should be; the text says what, and where in them."""


@dataclass(frozen=True, slots=True)
class Point:
    """`series` is a dotted path; `at` is seconds since 1970, 0 for "now" by the receiver's clock."""

    series: str
    value: float
    at: float
    tags: tuple[tuple[str, str], ...] = ()
