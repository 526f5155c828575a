"""Capacity of the directors' channels: the time that reassignments and drains take."""

from collections.abc import Mapping
from dataclasses import dataclass

from ironfall.disruption.records import Director, Permit
from ironfall.disruption.settings import SECOND, DisruptionRules
from ironfall.disruption.targets import director_target

FOREVER = 1 << 60
"""The time of work that no director is left to do."""


@dataclass(frozen=True, slots=True)
class ChannelWork:
    """What the directors in service must send: proxies are spread evenly over them.

    `assignment_entries` are the table entries of one proxy's assignment, `waiting_entries` the most
    that wait already at any of the directors.
    """

    directors: int
    staying_proxies: int
    moving_proxies: int
    assignment_entries: int
    waiting_entries: int
    drains: int


def channel_time(rules: DisruptionRules, work: ChannelWork) -> int:
    """Time until all moving proxies are assigned and all draining hosts are withdrawn.

    In tenths of a millisecond. A message costs its entries, the rules' overhead and a marker; one
    that withdraws a host has one entry.
    """
    if not work.directors:
        return FOREVER
    joining = -(-work.moving_proxies // work.directors)
    own = -(-(work.staying_proxies + work.moving_proxies) // work.directors)
    assignments = joining * (rules.message_overhead + work.assignment_entries + 1)
    withdrawals = work.drains * own * (rules.message_overhead + 2)
    entries = work.waiting_entries + assignments + withdrawals
    return rules.max_message_delay + -(-entries * SECOND // rules.entries_per_second)


@dataclass(frozen=True, slots=True)
class ChannelLoad:
    """The directors and proxies that the channel's capacity depends on."""

    # Live directors without a permit, their proxies, and the most entries that wait at one of them.
    serving_directors: int
    staying_proxies: int
    waiting_entries: int
    # Proxies of all other directors that no live director reported as adopted.
    moving_proxies: int
    # The most table entries of an assignment.
    assignment_entries: int
    # Proxies of directors without a lease that no live director reported as adopted.
    unaccounted_proxies: int
    live_directors: int


def compute_channel_load(
    directors: Mapping[str, Director], permits: Mapping[str, Permit]
) -> ChannelLoad:
    """Walks all directors; `LedgerState.channel_load` keeps the result until a director changes."""
    adopted = _adopted_proxies(directors)
    serving = staying = waiting = moving = entries = unaccounted = live = 0
    for name, director in directors.items():
        left = max(0, director.proxies - adopted.get(name, 0))
        entries = max(entries, director.assignment_entries)
        live += director.is_live
        if director.is_live and director_target(name) not in permits:
            serving += 1
            staying += director.proxies
            waiting = max(waiting, director.waiting_entries)
        elif director.is_live:
            moving += director.proxies
        else:
            moving += left
            # One that never reported may have had any number of proxies, until it is back or
            # forgotten.
            unaccounted += max(left, not director.has_reported)
    return ChannelLoad(serving, staying, waiting, moving, entries, unaccounted, live)


def _adopted_proxies(directors: Mapping[str, Director]) -> dict[str, int]:
    """By director, how many proxies of its present incarnation live directors report as adopted."""
    adopted: dict[str, int] = {}
    for director in directors.values():
        if not director.is_live:
            continue
        for name, (incarnation, proxies) in director.adopted_proxies.items():
            if name in directors and directors[name].incarnation == incarnation:
                adopted[name] = adopted.get(name, 0) + proxies
    return adopted
