"""The `(metrics ...)` part of a service's terms: where measurements go, where readings come from, what they mean."""

from dataclasses import dataclass, field

Address = tuple[str, int]


@dataclass(frozen=True)
class MetricsTerms:
    """Nothing is sent or listened for that is not named. Times are tenths of a millisecond."""

    prefix: str = "ironfall"
    every: int = 10_000
    graphite_to: Address | None = None
    graphite_listen: Address | None = None
    collectd_to: Address | None = None
    collectd_listen: Address | None = None
    must: str = ""  # "signed" or "encrypted": less is refused
    user: str = ""
    key_file: str = ""
    readings: tuple[tuple[str, str], ...] = field(default=())  # pattern and the module's name of the gauge
    late: int = 300_000
    ahead: int = 20_000
    connections: int = 100
    lines: int = 20_000  # a second, of all connections together
    spool: int = 50_000  # points
