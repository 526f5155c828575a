"""Slow start of hosts that have just started, and the recovery ramp of restored hosts."""

from ironfall.decisions.records import Host
from ironfall.decisions.time_units import SECOND

# Share of its weight that a restored host starts with, and the time until it has its full weight.
RECOVERY_START_SHARE = 0.25
RECOVERY_RAMP_TIME = 8 * SECOND
# At the start of its warm-up, a host's capacity is divided by at least this, because retrying
# clients and proxies with outdated tables add to its load.
WARMING_MARGIN = 2.0


class SlowStart:
    """Computes the weight of hosts that warm up or were just restored."""

    def __init__(self, warm_up_time: int, start_share: float) -> None:
        self.warm_up_time = warm_up_time
        self.start_share = start_share

    def warm_up_progress(self, now: int, host: Host) -> float:
        """Returns how far a host has warmed up, from 0 to 1."""
        if not host.started_at:
            return 1.0
        return min(1.0, max(0, now - host.started_at) / (self.warm_up_time or 1))

    def is_warming(self, now: int, host: Host) -> bool:
        """Returns whether a host is still warming up."""
        return self.warm_up_progress(now, host) < 1

    def effective_weight(self, now: int, host: Host, overload: float) -> float:
        """Returns a host's learned weight, reduced by slowness, warm-up and recovery ramp."""
        warm_up_progress = self.warm_up_progress(now, host)
        ramp = (
            RECOVERY_START_SHARE
            + (1 - RECOVERY_START_SHARE) * (now - host.slow_start_since) / RECOVERY_RAMP_TIME
        )
        share = 1.0
        if warm_up_progress < 1:
            capacity = self.start_share + (1 - self.start_share) * warm_up_progress
            margin = max(WARMING_MARGIN, WARMING_MARGIN * overload)
            share = capacity * (1 + warm_up_progress) / margin
        return host.weight * host.slowness_factor * min(min(1.0, ramp), share)
