"""Computes how many table entries may be written now within the limits of the channel."""

import math
from collections.abc import Callable, Collection

from ironfall.decisions.channel_budget import ChannelBudget
from ironfall.decisions.interface import ServiceSettings
from ironfall.decisions.time_units import SECOND, UPDATE_INTERVAL

# Shares of the channel that each purpose may fill; more urgent ones may fill more.
URGENT_SHARE = 0.95
EJECTION_SHARE = 0.9
ADMISSION_SHARE = 0.8
RECOVERY_SHARE = 0.75
REQUIRED_UPDATE_SHARE = 0.65
RESTART_SHARE = 0.6
ASSIGNMENT_SHARE = 0.5
ROUTINE_SHARE = 0.45
# Share of the queue reserved for other proxies while one proxy is sent all of its tables again.
RESYNCHRONIZATION_RESERVE = 0.45
# Maximum share of the queue that updates which aren't urgent may fill while assignments wait.
DEFERRABLE_QUEUE_SHARE = 0.5
# Share of the drain grace period within which all proxies of a shard must be assigned.
ASSIGNMENT_GRACE_SHARE = 0.5
# An update is considered lost after this multiple of the time that a full queue takes to send.
LOSS_FACTOR = 3
MIN_LOSS_SECONDS = 10.0
# Fixed number of entries in an assignment message, in addition to those of hosts and classes.
ASSIGNMENT_ENTRIES = 2


class ChannelCapacity:
    """The channel's limits, what was written to it, and the capacity that is reserved.

    Attributes:
        budget: The record of what was written and may still be queued.
        message_overhead: Cost of a message in entries, in addition to those it carries; includes
            the request to confirm it.
        message_window: Length of the sliding window over which messages are counted.
        message_limit: Maximum number of messages to a proxy per window; 0 for no limit.
        queue_limit: Maximum number of entries queued in the channel.
        deferrable_queue_limit: Maximum number of entries queued in the channel, for updates that
            aren't urgent, while assignments wait.
        awaited_drain_entries: While drains wait for capacity, the number of entries that must be
            free before they continue; else 0. Updates that aren't urgent wait until then.
        max_hosts_per_shard: Maximum number of hosts in a shard, by the channel's capacity.
        assignment_deadline: How long a proxy may stay unassigned before it becomes urgent.
        assignment_factor: While assignments wait for capacity, the share of
            `deferrable_queue_limit` that updates which aren't urgent may use; else 0.
    """

    def __init__(
        self, settings: ServiceSettings, request_confirmation: Callable[[int], None]
    ) -> None:
        send_rate = settings.entries_per_second or math.inf
        self.message_overhead = settings.message_overhead + 1
        self.message_window = settings.message_window
        self.message_limit = settings.message_limit
        self.queue_limit = settings.queue_limit
        loss_seconds = max(MIN_LOSS_SECONDS, LOSS_FACTOR * self.queue_limit / send_rate)
        self.budget = ChannelBudget(
            self.message_overhead,
            self.message_window,
            round(loss_seconds * SECOND),
            request_confirmation,
        )
        # Entries that the channel sends before the next update has been confirmed.
        self.deferrable_queue_limit = min(
            DEFERRABLE_QUEUE_SHARE * self.queue_limit,
            send_rate * (UPDATE_INTERVAL + 2 * settings.max_message_delay) / SECOND,
        )
        self.max_hosts_per_shard = _max_hosts_per_shard(settings, self.message_overhead)
        grace = min(settings.unassigned_limit, settings.drain_grace)
        self.assignment_deadline = max(0, (grace - settings.max_message_delay) // 2)
        self.awaited_drain_entries = 0.0
        self.assignment_factor = 0.0

    def available_entries(
        self, now: int, share: float, proxies: Collection[int] | None = None
    ) -> float:
        """Returns how many entries fit into a share of the limits.

        The limit of messages is checked for the given proxies; None stands for all.
        """
        messages = share * self.message_limit or math.inf
        if self.budget.max_messages(now, messages, proxies) >= messages:
            return 0.0
        is_deferrable = share < URGENT_SHARE
        if self.awaited_drain_entries and is_deferrable:
            return 0.0
        limit = self.queue_limit
        if self.assignment_factor and is_deferrable:
            limit = self.deferrable_queue_limit * self.assignment_factor
        return min(share * self.queue_limit, limit) - self.budget.unconfirmed_entries(now)

    def fits_one_entry_each(self, now: int, share: float, proxy_count: int) -> bool:
        """Returns whether a one-entry message to each of the proxies fits into a share."""
        needed = (1 + self.message_overhead) * proxy_count
        return self.available_entries(now, share) > needed

    def drains_can_continue(self, now: int) -> bool:
        """Returns whether drains are waiting for capacity that is now free."""
        return 0 < self.awaited_drain_entries <= self.available_entries(now, URGENT_SHARE)


def _max_hosts_per_shard(settings: ServiceSettings, message_overhead: float) -> float:
    """Returns how many hosts a shard may have.

    It is the number whose tables fit into the queue and can be sent to all proxies in half of the
    drain grace period; the other half is left for the drains. Per zone, it is at least the message
    overhead, since smaller shards would save little. There is no limit if a withdrawal costs an
    entry for every proxy.
    """
    if settings.notifies_all_proxies:
        return math.inf
    send_rate = settings.entries_per_second or math.inf
    sent_in_grace = ASSIGNMENT_GRACE_SHARE * send_rate * settings.drain_grace / SECOND
    entries_per_proxy = min(URGENT_SHARE * settings.queue_limit, sent_in_grace) / max(
        1, settings.proxies
    )
    zone_local_classes = sum(c.zone_local for c in settings.classes)
    entries_for_hosts = (
        entries_per_proxy - message_overhead - ASSIGNMENT_ENTRIES - len(settings.classes)
    )
    return settings.zones * max(message_overhead, entries_for_hosts / (1 + zone_local_classes))
