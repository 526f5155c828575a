"""One log among a few keepers: `Member` is one keeper's part, without I/O, clock or chance of its own.

What happens is told to it, a method each: `ask`, `open`, `read`, `add`, `remove`; from peers `vote_wanted`, `voted`,
`offered`, `took`, `part_offered`, `took_part`, `gone_back`; from the disk `kept`, `disk_failed`; `woken` in time.
It acts through a `Way` and a `Machine` handed over at start. What the process round it must provide is in
docs/fleet.md, part "The process"; source: Ongaro, "Consensus: Bridging Theory and Practice" (2014).
"""

from ironfall.agreement.log import Entry, Log
from ironfall.agreement.member import Found, Member, identity
from ironfall.agreement.members import Members
from ironfall.agreement.sessions import Sessions
from ironfall.agreement.way import Bounds, Machine, Outcome, Way

__all__ = [
    "Bounds",
    "Entry",
    "Found",
    "Log",
    "Machine",
    "Member",
    "Members",
    "Outcome",
    "Sessions",
    "Way",
    "identity",
]
