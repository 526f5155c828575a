"""Who the members are: voters, and learners that are brought up to date and have no vote yet."""

import json
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Configuration:
    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        return self.voters + self.learners

    def quorum(self, has: set[str]) -> bool:
        return 2 * sum(v in has for v in self.voters) > len(self.voters)

    def agreed(self, matched: dict[str, int]) -> int:
        """The highest index that a majority of the voters have."""
        if not self.voters:
            return 0
        return sorted((matched.get(v, 0) for v in self.voters), reverse=True)[len(self.voters) // 2]

    def learning(self, one: str) -> "Configuration":
        return Configuration(self.voters, (*self.learners, one))

    def promoted(self, one: str) -> "Configuration":
        return Configuration((*self.voters, one), tuple(m for m in self.learners if m != one))

    def without(self, one: str) -> "Configuration":
        return Configuration(
            tuple(v for v in self.voters if v != one), tuple(m for m in self.learners if m != one)
        )

    def plain(self) -> list[list[str]]:
        return [list(self.voters), list(self.learners)]

    def data(self) -> bytes:
        return json.dumps(self.plain()).encode()

    @staticmethod
    def of(plain: Any) -> "Configuration":
        return Configuration(tuple(plain[0]), tuple(plain[1]))


def members_of(data: bytes) -> Configuration:
    return Configuration.of(json.loads(data))
