"""The members of a group: voters, and learners, which receive the log but have no vote yet."""

import json
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Configuration:
    """The identities of a group's members.

    Attributes:
        voters: Members that count towards a majority.
        learners: Members that are brought up to date before they become voters.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    def has_quorum(self, members: AbstractSet[str]) -> bool:
        """Returns whether `members` include a majority of the voters."""
        return 2 * sum(voter in members for voter in self.voters) > len(self.voters)

    def quorum_value(self, values: Mapping[str, int]) -> int:
        """Returns the highest value that a majority of voters have reached; 0 without voters."""
        if not self.voters:
            return 0
        reached = sorted((values.get(voter, 0) for voter in self.voters), reverse=True)
        return reached[len(self.voters) // 2]

    def with_learner(self, member: str) -> "Configuration":
        """Returns this configuration with `member` added as a learner."""
        return Configuration(self.voters, (*self.learners, member))

    def with_promoted(self, member: str) -> "Configuration":
        """Returns this configuration with the learner `member` made a voter."""
        return Configuration((*self.voters, member), _without(self.learners, member))

    def without(self, member: str) -> "Configuration":
        """Returns this configuration without `member`."""
        return Configuration(_without(self.voters, member), _without(self.learners, member))

    def to_json(self) -> list[list[str]]:
        """Returns the stored form: a list of voters and a list of learners."""
        return [list(self.voters), list(self.learners)]

    def encode(self) -> bytes:
        """Returns the data of a configuration entry."""
        return json.dumps(self.to_json()).encode()

    @staticmethod
    def from_json(stored: Any) -> "Configuration":
        """Reads the stored form."""
        voters, learners = stored[0], stored[1]
        return Configuration(tuple(voters), tuple(learners))

    @staticmethod
    def decode(data: bytes) -> "Configuration":
        """Reads the data of a configuration entry."""
        return Configuration.from_json(json.loads(data))


def _without(members: tuple[str, ...], removed: str) -> tuple[str, ...]:
    return tuple(member for member in members if member != removed)
