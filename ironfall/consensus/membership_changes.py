"""Changes of a group's members, one at a time.

A configuration counts from the moment it is in the log, before it is committed.
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
    """A configuration, and the index of its entry; 0 for the initial one."""

    index: int
    configuration: Configuration


class MembershipChanges:
    """The configurations in the log, and requests to change them.

    Attributes:
        configurations: in the order of the log; the first is committed, the last one counts.
    """

    def __init__(self, node: RaftNode) -> None:
        self.node = node
        self.configurations: list[LoggedConfiguration] = []

    @property
    def current(self) -> Configuration:
        """The configuration that counts."""
        return self.configurations[-1].configuration

    def committed(self) -> Configuration:
        """Returns the last committed configuration."""
        commit_index = self.node.commit_index
        committed = [logged for logged in self.configurations if logged.index <= commit_index]
        return committed[-1].configuration

    # Changes of the log.

    def reset(self, index: int, configuration: Configuration) -> None:
        """Begins with the configuration of a snapshot, or the initial one."""
        self.configurations = [LoggedConfiguration(index, configuration)]

    def on_entries_appended(self, first_index: int, entries: Sequence[Entry]) -> None:
        """Notes the configurations among new entries."""
        for index, entry in enumerate(entries, first_index):
            if entry.kind == EntryKind.CONFIGURATION:
                configuration = Configuration.decode(entry.data)
                self.configurations.append(LoggedConfiguration(index, configuration))

    def on_log_truncated(self, index: int) -> None:
        """Entries from `index` on were removed."""
        while self.configurations[-1].index >= index:
            self.configurations.pop()

    def discard_before(self, index: int) -> None:
        """Keeps the configuration as of `index`, and later ones."""
        later = [logged for logged in self.configurations if logged.index > index]
        earlier = [logged for logged in self.configurations if logged.index <= index]
        self.configurations = earlier[-1:] + later

    def on_committed(self, index: int) -> None:
        """Steps down when a configuration without this member as a voter is committed."""
        node = self.node
        if node.role is not Role.LEADER or index != self.configurations[-1].index:
            return
        if node.identity not in self.current.voters:
            node.step_down("it was removed")

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
            self.node.client_requests.expect(token)
            self._change(self.current.with_learner(member))

    def remove(self, token: int, member: str) -> None:
        """See `RaftNode.remove_member`."""
        if not self._admit(token):
            return
        is_last_voter = self.current.voters == (member,)
        if member not in self.current.members or is_last_voter:
            self._reply(token, Outcome.NO_CHANGE)
        else:
            self.node.client_requests.expect(token)
            self._change(self.current.without(member))

    def promote_if_caught_up(self, member: str, match_index: int) -> None:
        """Makes a learner a voter when it has all that is committed."""
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

        Changing members before an entry of the term is committed is unsafe (Ongaro, 2015, "bug in
        single-server membership changes").
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
