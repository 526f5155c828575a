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
    readings: tuple[tuple[str, str, float], ...] = field(default=())  # pattern, the module's name of the gauge, scale
    late: int = 300_000
    ahead: int = 20_000
    connections: int = 100
    lines: int = 20_000  # a second, of all connections together
    spool: int = 50_000  # points
    overflow: str = ""  # a folder; none: what the spool has no room for is dropped
    overflow_most: int = 64 * 2**20  # bytes, of each sender
    rounds: str = ""  # a folder of round-robin files; none: none are kept
    keep: str = "1s:1h,10s:1d,1min:30d"
    series: int = 2_000  # round-robin files
