"""Heartbeats and load of the members of a fleet as soft state beside the log; pure, without I/O.

The messages and the reasons are in docs/observers.md.

    HeartbeatSender      a member's side: which aggregator it reports to, and what it sends there
    HeartbeatAggregator  one of a zone's two: what it heard of members, and its reports
    DigestCollector      at the coordinators' leader: all aggregators' reports, made into digests

Times are tenths of a millisecond of one machine's monotonic clock. Between two machines, messages
carry stamps and ages alone.
"""

from ironfall.membership.aggregator import HeartbeatAggregator
from ironfall.membership.digest_collector import DigestCollector
from ironfall.membership.heartbeat_sender import HeartbeatSender
from ironfall.membership.members import AggregatorRules

__all__ = ["AggregatorRules", "DigestCollector", "HeartbeatAggregator", "HeartbeatSender"]
