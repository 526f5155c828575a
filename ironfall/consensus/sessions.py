"""Client sessions: part of the replicated state, so that a retried command takes effect only once.

A session's number is the index of the entry that opened it, so that none is used twice. When the
table is full, the least recently used session is discarded. Use is ordered by log index, so all
members discard the same session.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any


class Sessions:
    """The last answers of each session; the least recently used session comes first."""

    def __init__(self, max_sessions: int, max_answers: int) -> None:
        self.max_sessions = max_sessions
        self.max_answers = max_answers
        # By session number: the answers by command number.
        self.answers: OrderedDict[int, OrderedDict[int, bytes]] = OrderedDict()

    def open(self, index: int) -> bytes:
        """Opens a session with the number `index`, and returns the number as text."""
        while len(self.answers) >= self.max_sessions:
            self.answers.popitem(last=False)
        self.answers[index] = OrderedDict()
        return b"%d" % index

    def apply(self, session: int, number: int, effect: Callable[[], bytes]) -> bytes | None:
        """Applies a command unless it was applied before.

        Args:
            session: Number of the client's session.
            number: Number of the command, which increases within a session.
            effect: Applies the command and returns the answer.

        Returns:
            The new or stored answer; None if the session or the answer was discarded.
        """
        answers = self.answers.get(session)
        if answers is None:
            return None
        self.answers.move_to_end(session)
        if answers and number <= next(reversed(answers)):
            return answers.get(number)
        answer = effect()
        answers[number] = answer
        while len(answers) > self.max_answers:
            answers.popitem(last=False)
        return answer

    def to_json(self) -> list[Any]:
        """Returns the stored form: a list of session numbers, each with its answers."""
        return [
            [session, [[number, answer.hex()] for number, answer in answers.items()]]
            for session, answers in self.answers.items()
        ]

    def restore(self, stored: list[Any]) -> None:
        """Replaces all sessions by those in the stored form."""
        self.answers = OrderedDict()
        for session, answers in stored:
            self.answers[session] = OrderedDict(
                (number, bytes.fromhex(answer)) for number, answer in answers
            )
