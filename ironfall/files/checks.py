"""Whether a set may be adopted, beside the one that stands: every problem with its place, and what would go out. Pure.

A problem refuses the set whole. A note is only told.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from ironfall.decisions.interface import ServiceSettings
from ironfall.files.merge import Merge
from ironfall.files.servers import Leave, ServerSet

LOPSIDED = 0.8  # of a zone's weight on one host, where it has others
FEW = 3  # hosts of a zone from which on that is asked


@dataclass(frozen=True)
class Allowed:
    """What one change may do without leave, as parts of the capacity that is ready."""

    remove: float = 0.3
    cold: float = 0.5


@dataclass
class Judged:
    problems: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


def _weights(merge: Merge, now: float) -> dict[str, tuple[str, float, float]]:
    """Zone, weight and age in ms, of each host that is ready."""
    found = {}
    for row in merge.merged(now):
        if row["state"] == "ready":
            weight = float(row.get("weight", 1.0))
            found[f"{row['name']}@{row['address']}"] = (
                row["zone"],
                weight,
                float(row.get("age_ms", 1e12)),
            )
    return found


def check(
    before: Merge,
    after: Merge,
    now: float,
    service: str,
    zones: tuple[str, ...],
    classes: tuple[str, ...],
    slow_start_time: int,
    allowed: Allowed,
    first: bool,
) -> Judged:
    """`first`: nothing stands yet, so that nothing can be removed. `cold_time` is in tenths of a millisecond."""
    judged = Judged()
    told = after.told
    if told.service != service:
        judged.problems.append(f"servers of {told.service!r}; this is {service!r}")
    _names(judged, after, now, zones)
    was, will = _weights(before, now), _weights(after, now)
    if any(zone not in zones for zone, _, _ in will.values()):
        return judged
    warm = {key for key, (_, _, age) in will.items() if age * 10 >= slow_start_time}
    known = bool(before.rows) or not first
    if will and not warm and known:
        judged.problems.append("no class would have a ready host that is warm")
    if not will and (known or told.hosts):
        judged.problems.append("no class would have a ready host")
    _classes(judged, after, classes, will, warm)
    leave = _leave(before.told, told)
    if known and was:
        _capacity(judged, was, will, allowed, leave)
    _fresh(judged, was, will, warm, allowed, leave, known)
    _lopsided(judged, told, will, now)
    return judged


def _classes(
    judged: Judged, after: Merge, classes: tuple[str, ...], will: Any, warm: set[str]
) -> None:
    kept: dict[str, set[str]] = {}
    for name, host in after.told.hosts.items():
        for kind in host.keep:
            kept.setdefault(kind, set()).add(name)
            if kind not in classes:
                judged.problems.append(
                    f"{host.place}: {kind!r} is none of the classes {', '.join(classes)}"
                )
    for kind in sorted(kept.keys() & set(classes)):
        left = [key for key in will if key.partition("@")[0] not in kept[kind]]
        if will and not warm.intersection(left):
            judged.problems.append(f"{kind} would have no ready host that is warm")


def _leave(before: ServerSet, told: ServerSet) -> Leave:
    # Leave counts for the change that it came with: one that was left standing allows nothing more.
    new, old = told.leave, before.leave
    if new is None or (
        old is not None
        and (new.remove, new.cold, new.owner, new.reason)
        == (old.remove, old.cold, old.owner, old.reason)
    ):
        return Leave()
    return new


def _names(judged: Judged, after: Merge, now: float, zones: tuple[str, ...]) -> None:
    told, registered = after.told, defaultdict(list)
    for row in after.rows.values():
        registered[row["name"]].append(row)
    addresses: dict[str, str] = {}
    for name, host in told.hosts.items():
        if host.zone and host.zone not in zones:
            judged.problems.append(
                f"{host.place}: {name} is in {host.zone!r}, none of {', '.join(zones)}"
            )
        if host.address and host.address in addresses:
            judged.problems.append(
                f"{host.place}: {name} has the address of {addresses[host.address]}"
            )
        addresses.setdefault(host.address, name)
        rows = registered.get(name, ())
        if not host.address and not rows:
            judged.notes.append(
                f"{host.place}: {name} is not listed by the registry and has no address here"
            )
        for row in rows:
            if host.address and row["address"] != host.address:
                judged.notes.append(
                    f"{host.place}: the registry has {name} at {row['address']}: that counts"
                )
            if host.zone and row["zone"] != host.zone:
                judged.notes.append(
                    f"{host.place}: the registry has {name} in {row['zone']}: that counts"
                )
    for pin in told.pins.values():
        if pin.until <= now:
            judged.notes.append(f"{pin.place}: the pin of {pin.name} has expired")
        if pin.name not in registered and pin.name not in told.hosts:
            judged.notes.append(f"{pin.place}: {pin.name}, which is pinned, is not listed")


def _capacity(judged: Judged, was: Any, will: Any, allowed: Allowed, leave: Leave) -> None:
    before, after = sum(w for _, w, _ in was.values()), sum(w for _, w, _ in will.values())
    most = max(allowed.remove, leave.remove)
    gone = 1 - after / before if before else 0.0
    if gone > most + 1e-9:
        judged.problems.append(
            f"{gone:.0%} of the ready capacity would go at once, over {most:.0%}; (leave (remove "
            f"{math.ceil(gone * 100)}%) ...) allows it once"
        )
    zones = {zone for zone, _, _ in was.values()} - {zone for zone, _, _ in will.values()}
    for zone in sorted(zones):
        if leave.remove < 1:
            judged.problems.append(
                f"no host of {zone} would be ready; (leave (remove 100%) ...) allows it once"
            )


def _fresh(
    judged: Judged, was: Any, will: Any, warm: set[str], allowed: Allowed, leave: Leave, known: bool
) -> None:
    total = sum(w for _, w, _ in will.values())
    cold = sum(w for key, (_, w, _) in will.items() if key not in was and key not in warm)
    most = max(allowed.cold, leave.cold)
    if known and total and cold / total > most + 1e-9:
        judged.problems.append(
            f"{cold / total:.0%} of the capacity would be cold hosts that appear at once, over "
            f"{most:.0%}; name them a part at a time, or (leave (cold ...) ...)"
        )


def _lopsided(judged: Judged, told: ServerSet, will: Any, now: float) -> None:
    zones: dict[str, dict[str, float]] = defaultdict(dict)
    for key, (zone, weight, _) in will.items():
        zones[zone][key] = weight
    for zone, hosts in zones.items():
        heaviest = max(hosts, key=lambda key: hosts[key])
        part = hosts[heaviest] / sum(hosts.values())
        name = heaviest.partition("@")[0]
        if (
            len(hosts) >= FEW
            and part > LOPSIDED
            and (name in told.pins or name in told.hosts or name in told.bounds)
        ):
            judged.problems.append(
                f"{heaviest} would be given {part:.0%} of what {zone} is: the others starve, or it "
                "falls; weigh it by less"
            )
        pinned = [
            key
            for key in hosts
            if (pin := told.pins.get(key.partition("@")[0])) and pin.until > now
        ]
        rest = [w for key, w in hosts.items() if key not in pinned]
        if pinned and rest and sum(rest) < 0.2 * sum(hosts.values()) and len(hosts) >= FEW:
            judged.notes.append(
                f"pins hold {1 - sum(rest) / sum(hosts.values()):.0%} of {zone}: little is left to "
                "learn there"
            )


@dataclass
class Difference:
    """What adopting would send, by the terms of the service: an estimate, since tables are the decisions' own."""

    leave: list[str]
    join: list[str]
    weigh: list[tuple[str, float, float]]
    lines: float = 0.0
    messages: float = 0.0
    seconds: float = 0.0
    portions: int = 0


def difference(
    before: Merge, after: Merge, now: float, terms: ServiceSettings, pace: float
) -> Difference:
    was, will = _weights(before, now), _weights(after, now)
    found = Difference(
        sorted(was.keys() - will.keys()),
        sorted(will.keys() - was.keys()),
        sorted(
            (k, was[k][1], will[k][1]) for k in was.keys() & will.keys() if was[k][1] != will[k][1]
        ),
    )
    proxies = max(1, terms.proxies)
    # A withdrawal goes to all proxies; a new line or weight to those of each zone's table, and each proxy has one.
    changed = len(found.leave) + len(found.join) + len(found.weigh)
    if changed:
        each = changed + terms.message_overhead
        found.lines = each * proxies
        # What leaves can't wait: all at once. The rest goes within half of the queue, as the decisions do it.
        rest = (len(found.join) + len(found.weigh)) * proxies
        room = max(1.0, 0.5 * terms.queue_limit - terms.message_overhead * proxies)
        found.portions = max(1, bool(found.leave) + math.ceil(rest / room))
        found.messages = found.portions * proxies
        found.lines += (found.portions - 1) * terms.message_overhead * proxies
        found.seconds = found.lines / pace
    return found
