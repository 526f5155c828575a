"""Slow start of hosts that have just started, and the recovery ramp of hosts that come back."""

from ironfall.decisions.records import Host
from ironfall.decisions.time_units import SECOND

# Share of its weight that a host has when it comes back, and the time until it has all of it.
RECOVERY_START_SHARE = 0.25
RECOVERY_RAMP_TIME = 8 * SECOND
# A warming host is given at most this part of what it can carry, as its divisor: clients that
# retry, and proxies with old tables, add to its load.
WARMING_MARGIN = 2.0


class SlowStart:
    """How much load a host can carry while it warms up or comes back."""

    def __init__(self, warm_up_time: int, start_share: float) -> None:
        self.warm_up_time = warm_up_time
        self.start_share = start_share

    def warmth(self, now: int, host: Host) -> float:
        """Returns how far a host has warmed up, from 0 to 1."""
        if not host.started_at:
            return 1.0
        return min(1.0, max(0, now - host.started_at) / (self.warm_up_time or 1))

    def is_warming(self, now: int, host: Host) -> bool:
        """Returns whether a host is still warming up."""
        return self.warmth(now, host) < 1

    def effective_weight(self, now: int, host: Host, overload: float) -> float:
        """Returns the part of a host's learnt weight that it is given now."""
        warmth = self.warmth(now, host)
        ramp = (
            RECOVERY_START_SHARE
            + (1 - RECOVERY_START_SHARE) * (now - host.slow_start_since) / RECOVERY_RAMP_TIME
        )
        share = 1.0
        if warmth < 1:
            capacity = self.start_share + (1 - self.start_share) * warmth
            margin = max(WARMING_MARGIN, WARMING_MARGIN * overload)
            share = capacity * (1 + warmth) / margin
        return host.weight * host.slowness_factor * min(min(1.0, ramp), share)
