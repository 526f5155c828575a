"""Checks whether a set may replace the current one, and estimates the load of the change. Pure."""

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from ironfall.decisions.interface import ServiceSettings
from ironfall.files.merge import Merge
from ironfall.files.servers import Leave, ServerSet

MAX_HOST_SHARE = 0.8  # of its zone's weight
MIN_HOSTS_FOR_SHARE_CHECK = 3  # in smaller zones one host may have most of the weight


@dataclass(frozen=True)
class ChangeLimits:
    """What a change may do without `Leave`.

    Attributes:
        remove: The part of the ready capacity that it may remove.
        cold: The part of the capacity that may be new cold hosts.
    """

    remove: float = 0.3
    cold: float = 0.5


@dataclass
class CheckResult:
    """The result of `check`.

    Attributes:
        problems: Why the set is refused, with places; empty if it may be adopted.
        notes: What operators should know in either case.
    """

    problems: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


def _ready_hosts(merge: Merge, now: float) -> dict[str, tuple[str, float, float]]:
    """Returns the zone, the weight and the age in ms of each ready host."""
    ready = {}
    for row in merge.merged_rows(now):
        if row["state"] == "ready":
            weight = float(row.get("weight", 1.0))
            ready[f"{row['name']}@{row['address']}"] = (
                row["zone"],
                weight,
                float(row.get("age_ms", 1e12)),
            )
    return ready


def check(
    before: Merge,
    after: Merge,
    now: float,
    service: str,
    zones: tuple[str, ...],
    classes: tuple[str, ...],
    slow_start_time: int,
    limits: ChangeLimits,
    is_first: bool,
) -> CheckResult:
    """Checks whether a set may be adopted.

    Args:
        before: The current state.
        after: The state with the new set.
        now: Seconds since 1970.
        service: The name that the set must have.
        zones: The service's.
        classes: The service's.
        slow_start_time: Age from which a host is warm, in tenths of a millisecond.
        limits: What the change may do without leave.
        is_first: Whether neither a registry's list nor a set was in effect before, so that nothing
            can be removed.
    """
    result = CheckResult()
    new_set = after.server_set
    if new_set.service != service:
        result.problems.append(f"servers of service {new_set.service!r}, but this is {service!r}")
    _check_names(result, after, now, zones)
    old_hosts, new_hosts = _ready_hosts(before, now), _ready_hosts(after, now)
    if any(zone not in zones for zone, _, _ in new_hosts.values()):
        return result
    warm = {key for key, (_, _, age) in new_hosts.items() if age * 10 >= slow_start_time}
    has_old_state = bool(before.rows) or not is_first
    if new_hosts and not warm and has_old_state:
        result.problems.append("no class would have a ready host that is warm")
    if not new_hosts and (has_old_state or new_set.hosts):
        result.problems.append("no class would have a ready host")
    _check_classes(result, after, classes, new_hosts, warm)
    leave = _new_leave(before.server_set, new_set)
    if has_old_state and old_hosts:
        _check_removed_capacity(result, old_hosts, new_hosts, limits, leave)
    _check_cold_capacity(result, old_hosts, new_hosts, warm, limits, leave, has_old_state)
    _check_weight_shares(result, new_set, new_hosts, now)
    return result


def _check_classes(
    result: CheckResult, after: Merge, classes: tuple[str, ...], new_hosts: Any, warm: set[str]
) -> None:
    excluding_hosts: dict[str, set[str]] = {}
    for name, host in after.server_set.hosts.items():
        for class_name in host.keep:
            excluding_hosts.setdefault(class_name, set()).add(name)
            if class_name not in classes:
                result.problems.append(
                    f"{host.place}: no class {class_name!r}; expected one of: {', '.join(classes)}"
                )
    for class_name in sorted(excluding_hosts.keys() & set(classes)):
        remaining = [
            key for key in new_hosts if key.partition("@")[0] not in excluding_hosts[class_name]
        ]
        if new_hosts and not warm.intersection(remaining):
            result.problems.append(f"{class_name} would have no ready host that is warm")


def _new_leave(before: ServerSet, new_set: ServerSet) -> Leave:
    # Leave is for the change that brings it. If later sets still have it, it has no effect.
    new, old = new_set.leave, before.leave
    if new is None or (
        old is not None
        and (new.remove, new.cold, new.owner, new.reason)
        == (old.remove, old.cold, old.owner, old.reason)
    ):
        return Leave()
    return new


def _check_names(result: CheckResult, after: Merge, now: float, zones: tuple[str, ...]) -> None:
    new_set, registered = after.server_set, defaultdict(list)
    for row in after.rows.values():
        registered[row["name"]].append(row)
    addresses: dict[str, str] = {}
    for name, host in new_set.hosts.items():
        if host.zone and host.zone not in zones:
            result.problems.append(
                f"{host.place}: {name} is in zone {host.zone!r}; "
                f"expected one of: {', '.join(zones)}"
            )
        if host.address and host.address in addresses:
            result.problems.append(
                f"{host.place}: {name} has the same address as {addresses[host.address]}"
            )
        addresses.setdefault(host.address, name)
        rows = registered.get(name, ())
        if not host.address and not rows:
            result.notes.append(
                f"{host.place}: {name} is not listed by the registry and has no address in the "
                "file: the row has no effect until the registry lists it"
            )
        for row in rows:
            if host.address and row["address"] != host.address:
                result.notes.append(
                    f"{host.place}: the address of {name} is ignored; the registry has "
                    f"{row['address']}"
                )
            if host.zone and row["zone"] != host.zone:
                result.notes.append(
                    f"{host.place}: the zone of {name} is ignored; the registry has {row['zone']}"
                )
    for pin in new_set.pins.values():
        if pin.until <= now:
            result.notes.append(f"{pin.place}: the pin of {pin.name} has expired")
        if pin.name not in registered and pin.name not in new_set.hosts:
            result.notes.append(f"{pin.place}: the pinned host {pin.name} is not listed")


def _check_removed_capacity(
    result: CheckResult, old_hosts: Any, new_hosts: Any, limits: ChangeLimits, leave: Leave
) -> None:
    before, after = (
        sum(w for _, w, _ in old_hosts.values()),
        sum(w for _, w, _ in new_hosts.values()),
    )
    max_share = max(limits.remove, leave.remove)
    removed_share = 1 - after / before if before else 0.0
    if removed_share > max_share + 1e-9:
        result.problems.append(
            f"{removed_share:.0%} of the ready capacity would be removed at once, over the "
            f"limit of {max_share:.0%}; (leave (remove {math.ceil(removed_share * 100)}%) ...) "
            "allows it once"
        )
    zones = {zone for zone, _, _ in old_hosts.values()} - {
        zone for zone, _, _ in new_hosts.values()
    }
    for zone in sorted(zones):
        if leave.remove < 1:
            result.problems.append(
                f"no host of {zone} would be ready; (leave (remove 100%) ...) allows it once"
            )


def _check_cold_capacity(
    result: CheckResult,
    old_hosts: Any,
    new_hosts: Any,
    warm: set[str],
    limits: ChangeLimits,
    leave: Leave,
    has_old_state: bool,
) -> None:
    total = sum(w for _, w, _ in new_hosts.values())
    cold = sum(
        w for key, (_, w, _) in new_hosts.items() if key not in old_hosts and key not in warm
    )
    max_share = max(limits.cold, leave.cold)
    if has_old_state and total and cold / total > max_share + 1e-9:
        result.problems.append(
            f"{cold / total:.0%} of the capacity would be new cold hosts, over the limit of "
            f"{max_share:.0%}; add them in steps, or allow it with (leave (cold ...) ...)"
        )


def _check_weight_shares(
    result: CheckResult, new_set: ServerSet, new_hosts: Any, now: float
) -> None:
    zones: dict[str, dict[str, float]] = defaultdict(dict)
    for key, (zone, weight, _) in new_hosts.items():
        zones[zone][key] = weight
    for zone, hosts in zones.items():
        heaviest = max(hosts, key=lambda key: hosts[key])
        share = hosts[heaviest] / sum(hosts.values())
        name = heaviest.partition("@")[0]
        if (
            len(hosts) >= MIN_HOSTS_FOR_SHARE_CHECK
            and share > MAX_HOST_SHARE
            and (name in new_set.pins or name in new_set.hosts or name in new_set.bounds)
        ):
            result.problems.append(
                f"{heaviest} would get {share:.0%} of the requests of {zone}, over the limit of "
                f"{MAX_HOST_SHARE:.0%}: it would be overloaded, or the others get too few; give "
                "it less weight"
            )
        pinned = [
            key
            for key in hosts
            if (pin := new_set.pins.get(key.partition("@")[0])) and pin.until > now
        ]
        rest = [w for key, w in hosts.items() if key not in pinned]
        if (
            pinned
            and rest
            and sum(rest) < 0.2 * sum(hosts.values())
            and len(hosts) >= MIN_HOSTS_FOR_SHARE_CHECK
        ):
            result.notes.append(
                f"pins fix {1 - sum(rest) / sum(hosts.values()):.0%} of the weight of {zone}: "
                "learned weights have little effect there"
            )


@dataclass
class Difference:
    """An estimate of what a change sends to proxies; the decision engine makes the actual tables.

    Attributes:
        leaving: Hosts that are no longer ready.
        joining: Hosts that become ready.
        reweighted: Hosts with their old and new weights.
        lines: Sent to all proxies.
        messages: Sent to all proxies.
        seconds: Of the channel.
        portions: Publications in which the change is sent.
    """

    leaving: list[str]
    joining: list[str]
    reweighted: list[tuple[str, float, float]]
    lines: float = 0.0
    messages: float = 0.0
    seconds: float = 0.0
    portions: int = 0


def difference(
    before: Merge, after: Merge, now: float, settings: ServiceSettings, entries_per_second: float
) -> Difference:
    """Returns what the change from one state to another sends.

    Args:
        before: The current state.
        after: The new state.
        now: Seconds since 1970.
        settings: The service's.
        entries_per_second: Pace of the channel.
    """
    old_hosts, new_hosts = _ready_hosts(before, now), _ready_hosts(after, now)
    change = Difference(
        sorted(old_hosts.keys() - new_hosts.keys()),
        sorted(new_hosts.keys() - old_hosts.keys()),
        sorted(
            (key, old_hosts[key][1], new_hosts[key][1])
            for key in old_hosts.keys() & new_hosts.keys()
            if old_hosts[key][1] != new_hosts[key][1]
        ),
    )
    proxies = max(1, settings.proxies)
    # Each proxy has a table of its zone, so every changed line is sent to all proxies.
    changed = len(change.leaving) + len(change.joining) + len(change.reweighted)
    if changed:
        lines_per_proxy = changed + settings.message_overhead
        change.lines = lines_per_proxy * proxies
        # Withdrawals are sent at once, the rest in portions of half the queue, as the engine does.
        rest = (len(change.joining) + len(change.reweighted)) * proxies
        room = max(1.0, 0.5 * settings.queue_limit - settings.message_overhead * proxies)
        change.portions = max(1, bool(change.leaving) + math.ceil(rest / room))
        change.messages = change.portions * proxies
        change.lines += (change.portions - 1) * settings.message_overhead * proxies
        change.seconds = change.lines / entries_per_second
    return change
