"""The replicated state machine of coordinators: the ledger, and the sessions of its clients.

A command is `NUMBER CLIENT`, a line end, and an entry for the ledger. Clients number their commands
from 1. An unknown client with a later number had a session that was discarded: its command may have
been applied before, and is not applied now. Pure and deterministic.
"""

import json
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ironfall.coordinator.limits import TICKS_PER_SECOND
from ironfall.disruption import Ledger

# Answers in place of the ledger's.
FORGOTTEN = b"forgotten"
FULL = b"full"

MIN_CLIENTS = 4096
MAX_ANSWERS = 4
MIN_IDLE_TICKS = 60 * TICKS_PER_SECOND
# Rows of clients, or of the ledger, in one chunk of a snapshot.
ROWS_PER_CHUNK = 256
FIRST_NUMBER = 1


@dataclass
class _ClientSession:
    """A client's last commands.

    Attributes:
        used_at: the ledger's time when its last command was applied.
        answers: the answers to its last commands, by number.
    """

    used_at: int
    answers: OrderedDict[int, bytes] = field(default_factory=OrderedDict)

    @property
    def last_number(self) -> int:
        return next(reversed(self.answers)) if self.answers else 0


def _ignore(index: int, answer: bytes) -> None:
    pass


class LedgerStateMachine:
    """Applies each command to the ledger once, however often a client repeats it.

    Attributes:
        ledger: the state.
        clients: sessions by client, least recently used first.
    """

    def __init__(
        self,
        on_applied: Callable[[int, bytes], None] = _ignore,
        min_clients: int = MIN_CLIENTS,
        max_answers: int = MAX_ANSWERS,
        min_idle: int = MIN_IDLE_TICKS,
    ) -> None:
        """Begins with an empty ledger.

        Args:
            on_applied: called with the index and answer of each command that is applied.
            min_clients: sessions kept; if the ledger's rules allow the fleet more members than
                that, one is kept for each member.
            max_answers: answers kept in each session.
            min_idle: a session used within this time is not discarded for a new one; by the
                ledger's time, in tenths of a millisecond.
        """
        self._on_applied = on_applied
        self._min_clients = min_clients
        self._max_answers = max_answers
        self._min_idle = min_idle
        self.ledger = Ledger()
        self.clients: OrderedDict[str, _ClientSession] = OrderedDict()

    @property
    def max_clients(self) -> int:
        """The number of sessions that are kept."""
        if not self.ledger.has_rules:
            return self._min_clients
        return max(self._min_clients, self.ledger.rules.members)

    @staticmethod
    def encode_command(client: str, number: int, entry: bytes) -> bytes:
        """Returns a command.

        Args:
            client: the client's name; empty for a leader, which never repeats a command.
            number: the number of the client's command, from 1.
            entry: the ledger's entry.
        """
        return b"%d %s\n%s" % (number, client.encode(), entry)

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a command.

        Returns:
            `INDEX`, a line end and the ledger's answer; or `FORGOTTEN` or `FULL` if the command was
            not applied.
        """
        head, _, entry = command.partition(b"\n")
        digits, _, name = head.partition(b" ")
        if not name:
            return self._apply_to_ledger(index, entry)
        return self._apply_once(index, name.decode(), int(digits), entry)

    def _apply_once(self, index: int, client: str, number: int, entry: bytes) -> bytes:
        session = self.clients.get(client)
        if session is None:
            if number != FIRST_NUMBER:
                return FORGOTTEN
            if not self._make_room():
                return FULL
            session = _ClientSession(self.ledger.now)
        if session.answers and number <= session.last_number:
            return session.answers.get(number, FORGOTTEN)
        answer = self._apply_to_ledger(index, entry)
        session.answers[number] = answer
        while len(session.answers) > self._max_answers:
            session.answers.popitem(last=False)
        session.used_at = self.ledger.now
        self.clients[client] = session
        self.clients.move_to_end(client)
        return answer

    def _make_room(self) -> bool:
        """Discards the least recently used session if necessary; returns whether there is room."""
        if len(self.clients) < self.max_clients:
            return True
        least_recently_used = next(iter(self.clients.values()))
        if self.ledger.now - least_recently_used.used_at < self._min_idle:
            return False
        self.clients.popitem(last=False)
        return True

    def _apply_to_ledger(self, index: int, entry: bytes) -> bytes:
        answer = self.ledger.apply(index, entry)
        self._on_applied(index, answer)
        return b"%d\n%s" % (index, answer)

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        return b"".join(self.snapshot_chunks())

    def snapshot_chunks(self, rows_per_chunk: int = ROWS_PER_CHUNK) -> Iterator[bytes]:
        """Returns the state as of this call; the chunks may be read while commands are applied."""
        clients = [
            (name, session.used_at, tuple(session.answers.items()))
            for name, session in self.clients.items()
        ]
        ledger_chunks = self.ledger.parts(rows_per_chunk)
        return _encode_chunks(clients, ledger_chunks, rows_per_chunk)

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        head, _, ledger = snapshot.partition(b"\n")
        self.ledger.restore(ledger)
        self.clients = OrderedDict()
        for name, used_at, answers in json.loads(head):
            session = _ClientSession(used_at)
            for number, answer in answers:
                session.answers[number] = answer.encode()
            self.clients[name] = session


_ClientRow = tuple[str, int, tuple[tuple[int, bytes], ...]]


def _encode_chunks(
    clients: list[_ClientRow], ledger_chunks: Iterator[bytes], rows_per_chunk: int
) -> Iterator[bytes]:
    """Encodes the clients as a JSON list in one line, and the ledger after it."""
    yield b"["
    for start in range(0, len(clients), rows_per_chunk):
        rows = [_encode_client(row) for row in clients[start : start + rows_per_chunk]]
        separator = b", " if start else b""
        yield separator + json.dumps(rows).encode()[1:-1]
    yield b"]\n"
    yield from ledger_chunks


def _encode_client(row: _ClientRow) -> list[object]:
    name, used_at, answers = row
    return [name, used_at, [[number, answer.decode()] for number, answer in answers]]
