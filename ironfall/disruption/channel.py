"""Capacity of the directors' channels to their proxies: the time until updates have arrived."""

from collections.abc import Mapping
from dataclasses import dataclass

from ironfall.disruption.records import Director, Permit
from ironfall.disruption.settings import SECOND, DisruptionRules
from ironfall.disruption.targets import director_target

FOREVER = 1 << 60
"""Time of work for which no director is left, in tenths of a millisecond."""


@dataclass(frozen=True, slots=True)
class ChannelWork:
    """The updates that the directors in service must send, with proxies spread evenly over them.

    `assignment_entries` is the number of table entries in the assignment of one proxy,
    `waiting_entries` the largest number that are already queued at one of the directors, and
    `drains` the number of hosts to withdraw.
    """

    directors: int
    staying_proxies: int
    moving_proxies: int
    assignment_entries: int
    waiting_entries: int
    drains: int


def channel_time(rules: DisruptionRules, work: ChannelWork) -> int:
    """Returns the time until all moving proxies are assigned and all draining hosts withdrawn.

    The time is in tenths of a millisecond. A message costs its entries, `message_overhead` and one
    entry for the version marker; a message that withdraws a host has one entry.
    """
    if not work.directors:
        return FOREVER
    moving_per_director = -(-work.moving_proxies // work.directors)
    proxies_per_director = -(-(work.staying_proxies + work.moving_proxies) // work.directors)
    assignments = moving_per_director * (rules.message_overhead + work.assignment_entries + 1)
    withdrawals = work.drains * proxies_per_director * (rules.message_overhead + 2)
    entries = work.waiting_entries + assignments + withdrawals
    return rules.max_message_delay + -(-entries * SECOND // rules.entries_per_second)


@dataclass(frozen=True, slots=True)
class ChannelLoad:
    """Counts of directors and proxies that the time of the channels depends on."""

    # Live directors without a permit, their proxies, and the most entries queued at one of them.
    serving_directors: int
    staying_proxies: int
    waiting_entries: int
    # Proxies of all other directors, less those of directors without a lease that live directors
    # reported as adopted.
    moving_proxies: int
    # The most table entries in an assignment that any director reported.
    assignment_entries: int
    # Proxies of directors without a lease that no live director reported as adopted; at least one
    # for each such director that never reported.
    unaccounted_proxies: int
    live_directors: int


def compute_channel_load(
    directors: Mapping[str, Director], permits: Mapping[str, Permit]
) -> ChannelLoad:
    """Computes the load from all directors.

    `LedgerState.channel_load` caches the result until a director changes.
    """
    adopted = _adopted_proxies(directors)
    serving = staying = waiting = moving = entries = unaccounted = live = 0
    for name, director in directors.items():
        unadopted = max(0, director.proxies - adopted.get(name, 0))
        entries = max(entries, director.assignment_entries)
        live += director.is_live
        if director.is_live and director_target(name) not in permits:
            serving += 1
            staying += director.proxies
            waiting = max(waiting, director.waiting_entries)
        elif director.is_live:
            moving += director.proxies
        else:
            moving += unadopted
            # A director that never reported may have had any number of proxies: it counts as one
            # unaccounted proxy until it is back or forgotten, which blocks drains.
            unaccounted += max(unadopted, not director.has_reported)
    return ChannelLoad(serving, staying, waiting, moving, entries, unaccounted, live)


def _adopted_proxies(directors: Mapping[str, Director]) -> dict[str, int]:
    """Returns, by director, how many of its present incarnation's proxies others adopted.

    Only the reports of live directors count.
    """
    adopted: dict[str, int] = {}
    for director in directors.values():
        if not director.is_live:
            continue
        for name, (incarnation, proxies) in director.adopted_proxies.items():
            if name in directors and directors[name].incarnation == incarnation:
                adopted[name] = adopted.get(name, 0) + proxies
    return adopted
