"""The state that a coordinator's node starts from, and the delays between failed starts."""

import random
from dataclasses import dataclass

from ironfall.consensus import Configuration, PersistedState
from ironfall.coordinator.disk import DiskLostError, MemberStore

MIN_DELAY_S = 0.5
MAX_DELAY_S = 30.0


@dataclass(frozen=True)
class StartWarning:
    """A log event and its cause."""

    event: str
    cause: str


@dataclass(frozen=True)
class StartState:
    """The state that a node starts from.

    Attributes:
        persisted: the node's state.
        warnings: to be logged by the event loop, as the thread that reads the disk must not log.
    """

    persisted: PersistedState
    warnings: list[StartWarning]


def read_disk(store: MemberStore, initial_configuration: Configuration | None) -> StartState:
    """Reads the disk; begins a new incarnation if it is blank or lost confirmed data.

    Args:
        store: the disk.
        initial_configuration: the group's, if known; made durable unless the disk has one.

    Raises:
        OSError: the disk failed.
    """
    try:
        persisted, faults = store.open()
    except FileNotFoundError:
        return StartState(store.begin_incarnation(), [])
    except DiskLostError as lost:
        return _begin_incarnation(store, str(lost))
    has_group = persisted.snapshot or persisted.initial_configuration.voters
    if initial_configuration is not None and not has_group:
        persisted = store.begin_group(initial_configuration, persisted.entries)
    return StartState(persisted, [StartWarning("disk repaired", fault) for fault in faults])


def replace_rolled_back_disk(store: MemberStore) -> StartState:
    """Begins a new incarnation in place of a state that was rolled back.

    Raises:
        OSError: the disk failed.
    """
    return _begin_incarnation(store, "its state is older than what this member acknowledged")


def _begin_incarnation(store: MemberStore, reason: str) -> StartState:
    return StartState(
        store.begin_incarnation(),
        [StartWarning("disk lost confirmed data, starts as a new member", reason)],
    )


class RestartBackoff:
    """Delays between starts while the disk fails; they double, with jitter."""

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source
        self._delay_s = MIN_DELAY_S

    def next_delay_s(self) -> float:
        """Returns the next delay, between half and one and a half times its mean."""
        delay_s = self._delay_s * (0.5 + self._random_source.random())
        self._delay_s = min(MAX_DELAY_S, 2 * self._delay_s)
        return delay_s

    def reset(self) -> None:
        """Returns to the shortest delay, after a successful write."""
        self._delay_s = MIN_DELAY_S
