"""Heartbeats and load of a fleet's members, kept as soft state beside the log; without I/O.

The messages and the reasons are in docs/observers.md.

    HeartbeatSender      a member's side: which aggregator it reports to, and what it sends there
    HeartbeatAggregator  one of a zone's two aggregators: what it heard of members, and its reports
    DigestCollector      at the coordinators' leader: makes digests of all aggregators' reports

Times are tenths of a millisecond of one machine's monotonic clock. Messages between two machines
carry only stamps and ages, as their clocks can't be compared.
"""

from ironfall.membership.aggregator import HeartbeatAggregator
from ironfall.membership.digest_collector import DigestCollector
from ironfall.membership.heartbeat_sender import HeartbeatSender
from ironfall.membership.members import AggregatorRules

__all__ = ["AggregatorRules", "DigestCollector", "HeartbeatAggregator", "HeartbeatSender"]
