"""Bounds of the messages between members, aggregators and the leader.

Times are in tenths of a millisecond.
"""

from ironfall.disruption.settings import SECOND

MAX_HEARTBEATS_PER_MESSAGE = 1_024
MAX_REPORT_DIFFERENCES = 1_024
LATE_AFTER = 3 * SECOND
"""Reports carry the individual age of a member that was not heard for so long."""
