"""Membership changes, one at a time.

A configuration takes effect as soon as it is in the log, before it is committed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ironfall.consensus.configuration import Configuration
from ironfall.consensus.log import Entry, EntryKind
from ironfall.consensus.outcome import Outcome
from ironfall.consensus.role import Role

if TYPE_CHECKING:
    from ironfall.consensus.node import RaftNode


@dataclass(frozen=True)
class LoggedConfiguration:
    """A configuration and the index of its entry.

    The index is 0 for the initial configuration, and the snapshot's index for that of a snapshot.
    """

    index: int
    configuration: Configuration


class MembershipChanges:
    """The configurations in the log, and requests to change them.

    Attributes:
        configurations: In the order of the log. The first is committed; the last is in effect.
    """

    def __init__(self, node: RaftNode) -> None:
        self.node = node
        self.configurations: list[LoggedConfiguration] = []

    @property
    def current(self) -> Configuration:
        """The configuration in effect."""
        return self.configurations[-1].configuration

    def committed(self) -> Configuration:
        """Returns the last committed configuration."""
        commit_index = self.node.commit_index
        committed = [logged for logged in self.configurations if logged.index <= commit_index]
        return committed[-1].configuration

    # Changes to the log.

    def reset(self, index: int, configuration: Configuration) -> None:
        """Starts over with the configuration of a snapshot, or with the initial one."""
        self.configurations = [LoggedConfiguration(index, configuration)]

    def on_entries_appended(self, first_index: int, entries: Sequence[Entry]) -> None:
        """Puts new entries' configurations into effect."""
        for index, entry in enumerate(entries, first_index):
            if entry.kind == EntryKind.CONFIGURATION:
                configuration = Configuration.decode(entry.data)
                self.configurations.append(LoggedConfiguration(index, configuration))

    def on_log_truncated(self, index: int) -> None:
        """Drops the configurations of the entries from `index` on, which were removed."""
        while self.configurations[-1].index >= index:
            self.configurations.pop()

    def discard_before(self, index: int) -> None:
        """Keeps the configuration in effect at `index` and later ones, and drops those before."""
        later = [logged for logged in self.configurations if logged.index > index]
        earlier = [logged for logged in self.configurations if logged.index <= index]
        self.configurations = earlier[-1:] + later

    def on_committed(self, index: int) -> None:
        """Steps down if `index` is the latest configuration's and this leader is no voter in it."""
        node = self.node
        if node.role is not Role.LEADER or index != self.configurations[-1].index:
            return
        if node.identity not in self.current.voters:
            node.step_down("it was removed from the group")

    # Requests.

    def add(self, token: int, member: str) -> None:
        """See `RaftNode.add_member`."""
        if not self._admit(token):
            return
        if member in self.current.members:
            self._reply(token, Outcome.NO_CHANGE)
        elif len(self.current.members) >= self.node.limits.max_members:
            self._reply(token, Outcome.OVERLOADED)
        else:
            self.node.client_requests.register_proposal(token)
            self._change(self.current.with_learner(member))

    def remove(self, token: int, member: str) -> None:
        """See `RaftNode.remove_member`."""
        if not self._admit(token):
            return
        is_last_voter = self.current.voters == (member,)
        if member not in self.current.members or is_last_voter:
            self._reply(token, Outcome.NO_CHANGE)
        else:
            self.node.client_requests.register_proposal(token)
            self._change(self.current.without(member))

    def promote_if_caught_up(self, member: str, match_index: int) -> None:
        """Makes a learner a voter if it has all committed entries and no change is in progress."""
        is_caught_up = match_index >= self.node.commit_index
        if member in self.current.learners and is_caught_up and self._is_settled():
            self._change(self.current.with_promoted(member))

    def _admit(self, token: int) -> bool:
        if not self.node.client_requests.admit(token, 0):
            return False
        if not self._is_settled():
            self._reply(token, Outcome.CHANGE_IN_PROGRESS)
            return False
        return True

    def _is_settled(self) -> bool:
        """Returns whether the last change and an entry of this term are committed.

        A membership change before an entry of the term is committed is unsafe (Ongaro, 2015, "bug
        in single-server membership changes").
        """
        commit_index = self.node.commit_index
        is_change_committed = self.configurations[-1].index <= commit_index
        return is_change_committed and commit_index >= self.node.replication.first_index

    def _change(self, configuration: Configuration) -> None:
        node = self.node
        entry = Entry(node.term, EntryKind.CONFIGURATION, data=configuration.encode())
        node.append_entries([entry])
        node.replication.update_peers(node.log.last_index)
        node.replication.advance_commit_index()
        node.replication.send_new_entries()

    def _reply(self, token: int, outcome: Outcome) -> None:
        self.node.client_requests.reply(token, outcome)
