"""Snapshots: making them in steps, writing, installing and restoring them.

A snapshot consists of a JSON header, a line feed, and the snapshot of the state machine.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING, Any

from ironfall.consensus.configuration import Configuration
from ironfall.consensus.log import Entry, Log

if TYPE_CHECKING:
    from ironfall.consensus.node import RaftNode

HEADER_END = b"\n"


@dataclass(frozen=True)
class SnapshotHeader:
    """What a snapshot holds besides the state machine's snapshot.

    Attributes:
        index: Index of the last entry that the snapshot replaces.
        term: Term of that entry.
        configuration: The configuration as of that entry.
        sessions: Stored form of the client sessions as of that entry.
    """

    index: int
    term: int
    configuration: Configuration
    sessions: list[Any]

    def encode(self) -> bytes:
        """Returns the stored form, with the line feed."""
        fields = [self.index, self.term, self.configuration.to_json(), self.sessions]
        return json.dumps(fields).encode() + HEADER_END

    @staticmethod
    def decode(line: bytes) -> SnapshotHeader:
        """Reads the stored form, without the line feed."""
        index, term, configuration, sessions = json.loads(line)
        return SnapshotHeader(index, term, Configuration.from_json(configuration), sessions)


def _split(snapshot: bytes) -> tuple[SnapshotHeader, bytes]:
    line, _, state = snapshot.partition(HEADER_END)
    return SnapshotHeader.decode(line), state


@dataclass
class SnapshotInProgress:
    """A snapshot that is being made.

    Attributes:
        index: Index of the last entry that the snapshot replaces.
        remaining_chunks: Chunks of the state machine's snapshot that are not made yet.
        made_parts: The parts made so far, starting with the header.
    """

    index: int
    remaining_chunks: Iterator[bytes]
    made_parts: list[bytes]


class Snapshots:
    """The last snapshot, and the one that is being made.

    Attributes:
        data: The last snapshot; empty if there is none.
        index: Index of the last entry that it replaces.
        in_progress: The snapshot that is being made, if any.
    """

    def __init__(self, node: RaftNode) -> None:
        self.node = node
        self.data = b""
        self.index = 0
        self.in_progress: SnapshotInProgress | None = None

    def start_if_due(self) -> None:
        """Starts a snapshot of the committed state if the log exceeds its limits.

        The snapshot is made in steps, because a large one takes longer than an election timeout.
        """
        if self.in_progress is not None or not self._is_due():
            return
        node = self.node
        term = node.log.term_at(node.commit_index)
        assert term is not None, (
            f"cannot make a snapshot: entry {node.commit_index} is not in the log"
        )
        configuration = node.membership_changes.committed()
        header = SnapshotHeader(node.commit_index, term, configuration, node.sessions.to_json())
        chunks = node.state_machine.snapshot_chunks()
        self.in_progress = SnapshotInProgress(node.commit_index, chunks, [header.encode()])

    def _is_due(self) -> bool:
        log = self.node.log
        limits = self.node.limits
        is_long = (
            len(log.entries) > limits.max_log_entries + limits.retained_entries
            or log.size > limits.max_log_bytes
        )
        return is_long and self.node.commit_index - self.index > limits.max_log_entries // 2

    def make_next_chunks(self) -> None:
        """Makes the next chunks of the snapshot in progress, and writes it once complete."""
        in_progress = self.in_progress
        if in_progress is None:
            return
        max_chunks = self.node.limits.snapshot_chunks_per_step
        chunks = list(islice(in_progress.remaining_chunks, max_chunks))
        in_progress.made_parts += chunks
        if len(chunks) == max_chunks:
            return
        self.in_progress = None
        self.data = b"".join(in_progress.made_parts)
        self.index = in_progress.index
        self._discard_entries()
        self._write()

    def _discard_entries(self) -> None:
        """Discards the entries that the snapshot replaces, except a few for lagging peers.

        Discards those too if the log would exceed half of its limit in bytes.
        """
        log = self.node.log
        limits = self.node.limits
        log.discard_up_to(max(log.base_index, self.index - limits.retained_entries))
        if log.size > limits.max_log_bytes // 2:
            log.discard_up_to(self.index)

    def _write(self) -> None:
        node = self.node
        entries = node.log.entries_after(self.index)
        node.environment.write_snapshot(node.begin_write(), self.index, self.data, entries)
        node.membership_changes.discard_before(self.index)

    def install(self, index: int, snapshot: bytes) -> None:
        """Replaces the state and the log by a leader's snapshot.

        Entries after the snapshot are kept if the log matches it.

        Args:
            index: Index of the last entry that the snapshot replaces.
            snapshot: The complete snapshot.
        """
        node = self.node
        header, _ = _split(snapshot)
        has_matching_entry = node.log.term_at(index) == header.term
        kept_entries: list[Entry] = []
        if has_matching_entry:
            kept_entries = node.log.entries_after(index)
        self.restore(snapshot)
        node.membership_changes.on_entries_appended(index + 1, kept_entries)
        node.log.append(kept_entries)
        if not has_matching_entry:
            node.pending_writes.replace_log()
        node.log_receiver.matched_index = max(node.log_receiver.matched_index, index)
        self._write()

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state and the log by those of a snapshot."""
        node = self.node
        header, state = _split(snapshot)
        # The snapshot in progress is of the state that is replaced here.
        self.in_progress = None
        self.data = snapshot
        self.index = header.index
        node.sessions.restore(header.sessions)
        node.state_machine.restore(state)
        node.log = Log(header.index, header.term)
        node.commit_index = header.index
        node.membership_changes.reset(header.index, header.configuration)
