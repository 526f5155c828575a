"""One log among a few keepers: `Member` is one keeper's part, without I/O, clock or chance of its own.

What happens is told to it, a method each: `ask`, `open`, `read`, `add`, `remove`; from peers `vote_wanted`, `voted`,
`offered`, `took`, `part_offered`, `took_part`, `gone_back`; from the disk `kept`, `disk_failed`; `woken` in time.
It acts through a `Way` and a `Machine` handed over at start. What the process round it must provide is in
docs/fleet.md, part "The process"; source: Ongaro, "Consensus: Bridging Theory and Practice" (2014).
"""

from ironfall.consensus.configuration import Configuration
from ironfall.consensus.environment import Machine, Outcome, RaftLimits, Way
from ironfall.consensus.log import Entry, Log
from ironfall.consensus.node import PersistedState, RaftNode, member_identity
from ironfall.consensus.sessions import Sessions

__all__ = [
    "RaftLimits",
    "Entry",
    "PersistedState",
    "Log",
    "Machine",
    "RaftNode",
    "Configuration",
    "Outcome",
    "Sessions",
    "Way",
    "member_identity",
]
