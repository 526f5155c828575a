"""Checks of requests and permits against scope budgets, host capacity and channel time."""

from collections.abc import Iterable

from ironfall.disruption.capacity import HOUR, HOURS, CapacityByMask, ClassNeed, lacks_capacity
from ironfall.disruption.channel import FOREVER, ChannelWork, channel_time
from ironfall.disruption.records import Permit, PermitRequest, PermitState
from ironfall.disruption.state import LedgerState
from ironfall.disruption.targets import (
    director_names,
    director_target,
    host_names,
    host_target,
    is_host,
)

CAPACITY_SCOPE = "strength"
"""Stored name of the scope that represents the capacity of the hosts."""
CHANNEL_SCOPE = "channel"
"""Stored name of the scope that represents the channels of the directors."""


class Budgets:
    """Checks whether targets may be out of service, now or under any conditions.

    Scopes are returned by name, limits as text; an empty string means that there is none.
    """

    def __init__(self, state: LedgerState) -> None:
        """Takes the state to check against, which it never changes."""
        self.state = state

    # requests

    def shortages(self, request: PermitRequest) -> list[str]:
        """Returns every scope that has no room for the request now, and targets with a permit.

        Until the request is `reservation_age` old, the rest is checked only if the scope budgets
        have room. This saves time: hundreds of requests may wait at each tick.
        """
        state = self.state
        added = self._added_outages(request.targets)
        uncertain = state.directors_in_unknown_zones() if state.zones else []
        if uncertain and "directors" in added:
            added["directors"] += len(uncertain)
        lacking = [s for s, count in added.items() if not state.scopes.has_room(s, count)]
        if lacking and state.now - request.requested_at < state.rules.reservation_age:
            return lacking
        hosts = host_names(request.targets)
        if hosts and self._lacks_capacity_for(request, hosts):
            lacking.append(CAPACITY_SCOPE)
        directors = {*uncertain, *director_names(request.targets)}
        if self.is_channel_short(len(hosts), sorted(directors)):
            lacking.append(CHANNEL_SCOPE)
        return lacking + [target for target in request.targets if target in state.permits]

    def shortages_without_planned(self, request: PermitRequest) -> list[str]:
        """Returns the scopes without room for the request even if no permit were open."""
        scopes = self.state.scopes
        added = self._added_outages(request.targets)
        lacking = [s for s, count in added.items() if not scopes.has_room_without_planned(s, count)]
        if lacking:
            return lacking
        hosts = host_names(request.targets)
        if hosts:
            available = [self.state.capacity.in_service, self.state.capacity.planned]
            removed = self._present_capacity_of(hosts)
            if lacks_capacity(self.capacity_needs(request.duration), available, removed):
                lacking.append(CAPACITY_SCOPE)
        directors = sorted(set(director_names(request.targets)))
        if self.is_channel_short_without_planned(len(hosts), directors):
            lacking.append(CHANNEL_SCOPE)
        return lacking

    def infeasibility(self, request: PermitRequest) -> str:
        """Returns the limit that the request exceeds even with nothing else out of service."""
        for scope, count in self._total_outages(request.targets).items():
            limit = self.state.scopes.limit(scope)
            if count > limit:
                return f"{scope} allows {limit} out, and {count} are asked for"
        if self._is_capacity_infeasible(request):
            return "strength: what is left does not carry the load at any hour"
        return self._channel_infeasibility(request)

    def _is_capacity_infeasible(self, request: PermitRequest) -> bool:
        hosts = host_names(request.targets)
        if not hosts:
            return False
        capacity, rules = self.state.capacity, self.state.rules
        removed: CapacityByMask = {}
        for name in hosts:
            host = self.state.hosts[name]
            removed[host.class_mask] = removed.get(host.class_mask, 0) + host.capacity
        hours = request.duration // HOUR + 1
        return all(
            lacks_capacity(capacity.needs(rules, hour, hours), [capacity.total], removed)
            for hour in range(HOURS)
        )

    def _channel_infeasibility(self, request: PermitRequest) -> str:
        state = self.state
        if not state.directors:
            return ""
        hosts = host_names(request.targets)
        directors = director_names(request.targets)
        # The proxies of the requested directors, with all other directors in service.
        moving = sum(state.directors[name].proxies for name in directors)
        work = ChannelWork(
            directors=len(state.directors) - len(directors),
            staying_proxies=state.proxies - moving,
            moving_proxies=moving,
            assignment_entries=state.channel_load().assignment_entries,
            waiting_entries=0,
            drains=len(hosts),
        )
        time, limit = channel_time(state.rules, work), self._channel_limit(len(hosts))
        if time <= limit:
            return ""
        needed = "for ever" if time >= FOREVER else str(time)
        return f"channel: it takes {needed}, and {limit} is allowed"

    # open permits

    def is_anything_exceeded(self, duration: int) -> bool:
        """Returns whether any scope is over its limit; if not, no permit needs to be checked.

        Capacity is compared with the load of the next `duration`.
        """
        if self.state.scopes.over_budget or self._is_capacity_exceeded(duration):
            return True
        return self.is_channel_short(0, [])

    def exceeded_scope(self, target: str, permit: Permit) -> str:
        """Returns a scope of the target that stays over its limit after all undoing permits end."""
        for scope in self.state.scopes_of(target):
            if self.state.scopes.is_exceeded(scope):
                return scope
        if is_host(target) and self._is_capacity_exceeded(permit.duration):
            return CAPACITY_SCOPE
        return CHANNEL_SCOPE if self.is_channel_short(0, []) else ""

    # scopes

    def _added_outages(self, targets: list[str]) -> dict[str, int]:
        """Returns how many more targets would be out, by scope; failed ones are counted already."""
        added: dict[str, int] = {}
        for target in targets:
            for scope in self.state.scopes_of(target):
                added[scope] = added.get(scope, 0) + self.state.is_serving(target)
        return added

    def _total_outages(self, targets: list[str]) -> dict[str, int]:
        """Returns how many of the targets are in each scope."""
        total: dict[str, int] = {}
        for target in targets:
            for scope in self.state.scopes_of(target):
                total[scope] = total.get(scope, 0) + 1
        return total

    # capacity

    def capacity_needs(self, duration: int) -> list[ClassNeed]:
        """Returns the capacity needed by sets of traffic classes from now until `duration` ends."""
        state = self.state
        hours = (state.now % HOUR + duration) // HOUR + 1
        return state.capacity.needs(state.rules, state.hour(), hours)

    def _lacks_capacity_for(self, request: PermitRequest, hosts: list[str]) -> bool:
        permits = self.state.permits
        # All hosts that are out are taken to stay out for the longest remaining duration of the
        # request and the open permits, because shorter work may overrun.
        durations = [request.duration, 0]
        for permit in permits.values():
            elapsed = self.state.now - permit.since if permit.state is PermitState.OUT else 0
            durations.append(permit.duration - elapsed)
        removed = self._present_capacity_of(
            name for name in hosts if host_target(name) not in permits
        )
        available = [self.state.capacity.in_service]
        return lacks_capacity(self.capacity_needs(max(durations)), available, removed)

    def _present_capacity_of(self, names: Iterable[str]) -> CapacityByMask:
        """Returns the present capacity, by class mask, of the named hosts that are in service."""
        removed: CapacityByMask = {}
        for name in names:
            host = self.state.hosts[name]
            if self.state.is_serving(host_target(name)):
                present = self.state.present_capacity(host)
                removed[host.class_mask] = removed.get(host.class_mask, 0) + present
        return removed

    def _is_capacity_exceeded(self, duration: int) -> bool:
        available = [self.state.capacity.in_service, self.state.capacity.undoing]
        return lacks_capacity(self.capacity_needs(duration), available, {})

    # channel

    def is_channel_short(self, drains: int, directors: list[str]) -> bool:
        """Returns whether more work would exceed the time limit of the directors' channels.

        The work under way counts too. `drains` is the number of hosts to drain, `directors` the
        names of the directors to stop.
        """
        state = self.state
        if not state.directors and not directors:
            return False
        leaving = [
            name
            for name in directors
            if director_target(name) not in state.permits and state.directors[name].is_live
        ]
        moving = sum(state.directors[name].proxies for name in leaving)
        load = state.channel_load()
        work = ChannelWork(
            directors=load.serving_directors - len(leaving),
            staying_proxies=load.staying_proxies - moving,
            moving_proxies=load.moving_proxies + moving,
            assignment_entries=load.assignment_entries,
            waiting_entries=load.waiting_entries,
            drains=state.undrained_permits + drains,
        )
        return channel_time(state.rules, work) > self._channel_limit(work.drains)

    def is_channel_short_without_planned(self, drains: int, directors: list[str]) -> bool:
        """Returns whether the work would exceed the channels' time limit if no permit were open."""
        state = self.state
        if not state.directors and not directors:
            return False
        leaving = [
            name
            for name in directors
            if director_target(name) not in state.permits and state.directors[name].is_live
        ]
        returned = [state.directors[name] for name in director_names(list(state.permits))]
        returned = [director for director in returned if director.is_live]
        returned_proxies = sum(director.proxies for director in returned)
        moving = sum(state.directors[name].proxies for name in leaving)
        load = state.channel_load()
        work = ChannelWork(
            directors=load.serving_directors + len(returned) - len(leaving),
            staying_proxies=load.staying_proxies + returned_proxies - moving,
            moving_proxies=load.moving_proxies - returned_proxies + moving,
            assignment_entries=load.assignment_entries,
            waiting_entries=0,
            drains=drains,
        )
        return channel_time(state.rules, work) > self._channel_limit(drains)

    def _channel_limit(self, drains: int) -> int:
        rules = self.state.rules
        return min(rules.unassigned_limit, rules.drain_grace) if drains else rules.unassigned_limit
