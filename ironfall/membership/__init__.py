"""Members at rest: who is alive, and words that change nothing, as soft state beside the log. No I/O, no clock, no
chance of its own. docs/observers.md has the messages and the reasons.

    Homing     a member's side: which observer it beats at, and what it says
    Observer   one of a zone's two: what it heard of members, and its reports of differences
    Collector  at the leader of the keepers: what all observers report, and the digests for the log made of it

Times are tenths of a millisecond of one machine's monotonic clock; between two machines go stamps and ages alone.
"""

from ironfall.membership.aggregator import HeartbeatAggregator
from ironfall.membership.digest_collector import DigestCollector
from ironfall.membership.heartbeat_sender import HeartbeatSender

__all__ = ["DigestCollector", "HeartbeatSender", "HeartbeatAggregator"]
